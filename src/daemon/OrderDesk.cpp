#include "masticdrift/daemon/OrderDesk.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"

namespace masticdrift::daemon {

namespace {

using protocol::RelayKind;

/// An executor answers an order in a few milliseconds; one five times slower in tens.
constexpr core::Millis OrderTimeout{450};
/// Added to the wait of a request for an executor's lists.
constexpr core::Millis HoldAnswerTime{350};
/// Added for the way through another daemon: two batches, two hops and its loop.
constexpr core::Millis RelayTime{400};
/// Between two batches to the same daemon.
constexpr core::Millis BatchSpacing{20};
constexpr core::Millis BatchTimeout{600};
/// Between looks for overdue results.
constexpr core::Millis ExpireSpacing{50};

platform::LeaseRenewalResult withoutReport(const platform::OrderResponse &Answer) {
  platform::LeaseRenewalResult Out;
  Out.Outcome_ = Answer.Outcome_;
  Out.Report_.ClockMs_ = Answer.ClockMs_;
  return Out;
}

OrderDesk::Listed listing(OrderDesk::Answered Done) {
  return [Done = std::move(Done)](const platform::LeaseRenewalResult &Answer) {
    Done({Answer.Outcome_, Answer.Report_.ClockMs_});
  };
}

protocol::RelayedOrder orderOf(RelayKind Kind, const lead::RunKey &Which, std::uint64_t Token) {
  protocol::RelayedOrder Out;
  Out.Kind_ = static_cast<std::uint8_t>(Kind);
  Out.Order_.Task_ = Which.first;
  Out.Order_.Run_ = Which.second;
  Out.Order_.FencingToken_ = Token;
  Out.TimeoutMs_ = OrderTimeout.count();
  return Out;
}

} // namespace

void carryOrder(http::LoopClient &Client, const protocol::RelayedOrder &Order,
                OrderDesk::Listed Done) {
  const platform::ExecutorEndpoint To{Order.Address_, Order.Executor_};
  const core::Millis Timeout(Order.TimeoutMs_);
  const fleet::StartOrder &What = Order.Order_;
  const auto Plain = [Done](const platform::OrderResponse &Answer) { Done(withoutReport(Answer)); };
  switch (static_cast<RelayKind>(Order.Kind_)) {
  case RelayKind::Start:
    platform::sendStart(Client, To, What, Timeout, Plain);
    return;
  case RelayKind::Stop:
    platform::sendStop(Client, To, What.Task_, What.Run_, What.FencingToken_, Timeout, Plain);
    return;
  case RelayKind::Pace:
    platform::sendPace(Client, To, What.Task_, What.Run_, What.FencingToken_, Order.Percent_,
                       Timeout, Plain);
    return;
  case RelayKind::Hold:
    platform::sendLeaseRenewal(Client, To, What.FencingToken_, Order.SeenUpTo_, What.LeaseEndMs_,
                               core::Millis(Order.WaitMs_), Timeout, std::move(Done));
    return;
  }
  platform::LeaseRenewalResult Unknown;
  Unknown.Outcome_ = fleet::OrderOutcome::NotSent;
  Done(Unknown);
}

void OrderDesk::start(const fleet::ExecutorInfo &At, const fleet::StartOrder &Order,
                      Answered Done) {
  protocol::RelayedOrder Out =
      orderOf(RelayKind::Start, {Order.Task_, Order.Run_}, Order.FencingToken_);
  Out.Order_ = Order;
  give(At, std::move(Out), listing(std::move(Done)));
}

void OrderDesk::stop(const fleet::ExecutorInfo &At, const lead::RunKey &Which, std::uint64_t Token,
                     Answered Done) {
  give(At, orderOf(RelayKind::Stop, Which, Token), listing(std::move(Done)));
}

void OrderDesk::pace(const fleet::ExecutorInfo &At, const lead::RunKey &Which, std::uint64_t Token,
                     int Percent, Answered Done) {
  protocol::RelayedOrder Out = orderOf(RelayKind::Pace, Which, Token);
  Out.Percent_ = Percent;
  give(At, std::move(Out), listing(std::move(Done)));
}

void OrderDesk::hold(const fleet::ExecutorInfo &At, std::uint64_t Token, std::uint64_t SeenUpTo,
                     std::int64_t UntilMs, core::Millis Wait, Listed Done) {
  protocol::RelayedOrder Out = orderOf(RelayKind::Hold, {}, Token);
  Out.Order_.LeaseEndMs_ = UntilMs;
  Out.SeenUpTo_ = SeenUpTo;
  Out.WaitMs_ = Wait.count();
  Out.TimeoutMs_ = (Wait + HoldAnswerTime).count();
  give(At, std::move(Out), std::move(Done));
}

void OrderDesk::give(const fleet::ExecutorInfo &At, protocol::RelayedOrder Order, Listed Done) {
  Order.Address_ = At.Address_;
  Order.Executor_ = At.Id_;
  const core::TimePoint Now = core::Clock::now();
  const std::string_view Relay = Context_.Roster_.size() > DirectExecutors
                                     ? Relays_.pick(At.Domain_, Now)
                                     : std::string_view();
  if (Relay.empty()) {
    carryOrder(Context_.Client_, Order, std::move(Done));
    return;
  }
  Order.Number_ = NextNumber_++;
  Pending_[Order.Number_] = {std::string(Relay), Now + core::Millis(Order.TimeoutMs_) + RelayTime,
                             std::move(Done)};
  Batches_[std::string(Relay)].Orders_.push_back(std::move(Order));
}

void OrderDesk::flush(core::TimePoint Now) {
  for (auto &[Relay, What] : Batches_)
    if (!What.Orders_.empty() && Now - What.SentAt_ >= BatchSpacing)
      send(Relay, What, Now);
  expire(Now);
}

void OrderDesk::send(const std::string &Relay, Batch &What, core::TimePoint Now) {
  What.SentAt_ = Now;
  http::ClientRequest Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + Relay + protocol::OrdersPath;
  Call.Body_ =
      core::pack(protocol::OrdersCall{Context_.PeerAddress_, std::exchange(What.Orders_, {})});
  Call.Timeout_ = BatchTimeout;
  // Its orders may have gone out all the same, so their results are waited for.
  Context_.Client_.send(std::move(Call), [this, Relay, Held = std::weak_ptr<bool>(Alive_)](
                                             const http::ClientResult &Result) {
    if (Held.expired() || Result.Transfer_ == http::Transfer::Complete)
      return;
    core::log(core::LogLevel::Warning, "orders were not taken",
              {{"relay", Relay}, {"detail", Result.Error_}});
    Relays_.failed(Relay, core::Clock::now());
  });
}

void OrderDesk::expire(core::TimePoint Now) {
  if (Now - ExpiredAt_ < ExpireSpacing)
    return;
  ExpiredAt_ = Now;
  std::vector<Pending> Overdue;
  std::erase_if(Pending_, [&](auto &One) {
    if (Now < One.second.Deadline_)
      return false;
    Overdue.push_back(std::move(One.second));
    return true;
  });
  if (!Overdue.empty()) {
    core::log(core::LogLevel::Warning, "relayed orders have no result",
              {{"count", std::to_string(Overdue.size())}, {"relay", Overdue.front().Relay_}});
    core::count("masticdrift_relayed_orders_lost_total", {}, static_cast<double>(Overdue.size()));
  }
  for (const Pending &One : Overdue) {
    Relays_.failed(One.Relay_, Now);
    One.Done_({});
  }
}

void OrderDesk::onResults(const protocol::ResultsCall &Call) {
  for (const protocol::RelayedResult &One : Call.Results_) {
    auto Node = Pending_.extract(One.Number_);
    if (Node.empty())
      continue; // counted as lost already
    platform::LeaseRenewalResult Answer;
    Answer.Outcome_ = One.Outcome_;
    Answer.Report_ = One.Report_;
    Answer.Report_.ClockMs_ = One.ClockMs_;
    Node.mapped().Done_(Answer);
  }
}

} // namespace masticdrift::daemon
