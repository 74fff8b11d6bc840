#include "masticdrift/daemon/OrderRouter.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"

#include <algorithm>

namespace masticdrift::daemon {

namespace {

using protocol::RelayKind;

/// Executors answer orders within a few milliseconds; one that is five times slower takes tens.
constexpr core::Millis OrderTimeout{450};
/// Added to the wait of a hold order, which returns the executor's lists of runs.
constexpr core::Millis HoldAnswerMargin{350};
/// Added to an order's timeout for the way through a relay: two batches, two hops and the relay's
/// event loop.
constexpr core::Millis RelayAllowance{400};
/// Shortest interval between batches to the same relay.
constexpr core::Millis MinBatchInterval{20};
/// Headers and acknowledgements of a batch and of the results that it brings, in bits.
constexpr double BatchOverheadBits = 2500;
/// The overhead of all batches takes at most this share of the leader's link.
constexpr double MaxOverheadShare = 0.2;
/// Batches are merged while this many have no acknowledgement, so that a loaded link gets fewer.
constexpr int MaxBatchesInFlight = 2;
constexpr core::Millis BatchTimeout{1200};
/// A relay that has returned results within this time is not given up when a batch is late.
constexpr core::Millis RelaySilence{1000};
/// Time for which a result that was reported as lost is still of use: it shows that the executor
/// has answered a moment ago.
constexpr core::Millis LostHoldRetention{5000};
/// Time at the beginning of a term in which orders wait for a relay in their failure domain: longer
/// than the interval at which daemons report to their leader.
constexpr core::Millis RelayWait{600};
/// Interval between checks for overdue results.
constexpr core::Millis ExpiryCheckInterval{50};
/// A check that follows the one before by more is late, like the leader, whose rounds take less.
constexpr core::Millis MaxExpiryCheckGap{200};

platform::LeaseRenewalResult toHoldAnswer(const platform::OrderResponse &Answer) {
  platform::LeaseRenewalResult HoldAnswer;
  HoldAnswer.Outcome_ = Answer.Outcome_;
  HoldAnswer.Report_.ClockMs_ = Answer.ClockMs_;
  return HoldAnswer;
}

OrderRouter::HoldCallback toHoldCallback(OrderRouter::OrderCallback OnAnswer) {
  return [OnAnswer = std::move(OnAnswer)](const platform::LeaseRenewalResult &Answer) {
    OnAnswer({Answer.Outcome_, Answer.Report_.ClockMs_});
  };
}

/// \returns a number that no other order has, in any process: no two processes lead the same term.
std::uint64_t orderId(std::uint64_t Term, std::uint64_t OrderOfTerm) {
  constexpr unsigned OrderBits = 32;
  return (Term << OrderBits) + OrderOfTerm;
}

protocol::RelayedOrder makeOrder(RelayKind Kind, const lead::RunKey &Run, std::uint64_t Token) {
  protocol::RelayedOrder Order;
  Order.Kind_ = static_cast<std::uint8_t>(Kind);
  Order.Order_.Task_ = Run.first;
  Order.Order_.Run_ = Run.second;
  Order.Order_.FencingToken_ = Token;
  Order.TimeoutMs_ = OrderTimeout.count();
  return Order;
}

} // namespace

void sendOrder(http::LoopClient &Client, const protocol::RelayedOrder &Order,
               OrderRouter::HoldCallback OnAnswer) {
  const platform::ExecutorEndpoint Target{Order.ExecutorAddress_, Order.ExecutorId_};
  const core::Millis Timeout(Order.TimeoutMs_);
  const fleet::StartOrder &Details = Order.Order_;
  const auto OnOrderAnswer = [OnAnswer](const platform::OrderResponse &Answer) {
    OnAnswer(toHoldAnswer(Answer));
  };
  switch (static_cast<RelayKind>(Order.Kind_)) {
  case RelayKind::Start:
    platform::sendStart(Client, Target, Details, Timeout, OnOrderAnswer);
    return;
  case RelayKind::Stop:
    platform::sendStop(Client, Target, Details.Task_, Details.Run_, Details.FencingToken_, Timeout,
                       OnOrderAnswer);
    return;
  case RelayKind::Pace:
    platform::sendPace(Client, Target, Details.Task_, Details.Run_, Details.FencingToken_,
                       Order.Percent_, Timeout, OnOrderAnswer);
    return;
  case RelayKind::Hold:
    platform::sendLeaseRenewal(Client, Target, Details.FencingToken_, Order.SeenUpTo_,
                               Details.LeaseEndMs_, core::Millis(Order.WaitMs_), Timeout,
                               std::move(OnAnswer));
    return;
  }
  platform::LeaseRenewalResult UnknownKindAnswer;
  UnknownKindAnswer.Outcome_ = fleet::OrderOutcome::NotSent;
  OnAnswer(UnknownKindAnswer);
}

void OrderRouter::beginTerm(core::TimePoint Now) {
  PendingOrders_.clear();
  Unrouted_.clear();
  DirectInFlight_ = 0;
  RelaysAwaitedUntil_ = Now + RelayWait;
  LostHolds_.clear();
  Batches_.clear();
  Delays_ = {};
  ++Generation_;
}

std::size_t OrderRouter::directCapacity() const {
  return std::min(MaxDirectExecutors,
                  relayCapacity(Context_.Settings_.Cores_, Context_.Settings_.LinkMbps_));
}

bool OrderRouter::usesRelays() const { return Context_.ExecutorEntries_.size() > directCapacity(); }

int OrderRouter::startLimit() const {
  return daemon::startLimit(usesRelays() ? Relays_.activeRelays() : 0,
                            Context_.Settings_.LinkMbps_);
}

core::Millis OrderRouter::batchInterval() const {
  const double BitsPerMs = MaxOverheadShare * Context_.Settings_.LinkMbps_ * 1000;
  const double IntervalMs =
      static_cast<double>(Relays_.activeRelays()) * BatchOverheadBits / BitsPerMs;
  return std::max(MinBatchInterval, core::Millis(static_cast<std::int64_t>(IntervalMs)));
}

core::Millis OrderRouter::minOrderWait() const {
  return usesRelays() ? batchInterval() / 2 : core::Millis(0);
}

void OrderRouter::start(const fleet::ExecutorInfo &Executor, const fleet::StartOrder &Order,
                        OrderCallback OnAnswer) {
  protocol::RelayedOrder Relayed =
      makeOrder(RelayKind::Start, {Order.Task_, Order.Run_}, Order.FencingToken_);
  Relayed.Order_ = Order;
  route(Executor, std::move(Relayed), toHoldCallback(std::move(OnAnswer)));
}

void OrderRouter::stop(const fleet::ExecutorInfo &Executor, const lead::RunKey &Run,
                       std::uint64_t Token, OrderCallback OnAnswer) {
  route(Executor, makeOrder(RelayKind::Stop, Run, Token), toHoldCallback(std::move(OnAnswer)));
}

void OrderRouter::pace(const fleet::ExecutorInfo &Executor, const lead::RunKey &Run,
                       std::uint64_t Token, int Percent, OrderCallback OnAnswer) {
  protocol::RelayedOrder Relayed = makeOrder(RelayKind::Pace, Run, Token);
  Relayed.Percent_ = Percent;
  route(Executor, std::move(Relayed), toHoldCallback(std::move(OnAnswer)));
}

void OrderRouter::hold(const fleet::ExecutorInfo &Executor, std::uint64_t Token,
                       std::uint64_t SeenUpTo, std::int64_t UntilMs, core::Millis Wait,
                       HoldCallback OnAnswer, HoldCallback OnLateAnswer) {
  protocol::RelayedOrder Relayed = makeOrder(RelayKind::Hold, {}, Token);
  Relayed.Order_.LeaseEndMs_ = UntilMs;
  Relayed.SeenUpTo_ = SeenUpTo;
  Relayed.WaitMs_ = Wait.count();
  Relayed.TimeoutMs_ = (Wait + HoldAnswerMargin).count();
  route(Executor, std::move(Relayed), std::move(OnAnswer), std::move(OnLateAnswer));
}

void OrderRouter::route(const fleet::ExecutorInfo &Executor, protocol::RelayedOrder Order,
                        HoldCallback OnAnswer, HoldCallback OnLateAnswer) {
  Order.ExecutorAddress_ = Executor.Address_;
  Order.ExecutorId_ = Executor.Id_;
  if (!usesRelays()) {
    sendOrder(Context_.Client_, Order, std::move(OnAnswer));
    return;
  }
  const core::TimePoint Now = core::Clock::now();
  Order.OrderId_ = orderId(Order.Order_.FencingToken_, NextOrder_++);
  PendingOrders_[Order.OrderId_] = {{},
                                    Now,
                                    resultDeadline(Order, Now),
                                    std::move(OnAnswer),
                                    std::move(OnLateAnswer),
                                    static_cast<RelayKind>(Order.Kind_) == RelayKind::Hold};
  UnroutedOrder Unrouted{Executor.Domain_, std::move(Order)};
  if (!passOn(Unrouted, Now))
    Unrouted_.push_back(std::move(Unrouted));
}

core::TimePoint OrderRouter::resultDeadline(const protocol::RelayedOrder &Order,
                                            core::TimePoint Now) const {
  return Now + core::Millis(Order.TimeoutMs_) + RelayAllowance + 2 * batchInterval();
}

bool OrderRouter::passOn(UnroutedOrder &Unrouted, core::TimePoint Now) {
  const auto Pending = PendingOrders_.find(Unrouted.Order_.OrderId_);
  if (Pending == PendingOrders_.end())
    return true; // overdue
  const std::string &ExecutorId = Unrouted.Order_.ExecutorId_;
  if (Now < RelaysAwaitedUntil_ && !Relays_.isServed(ExecutorId, Unrouted.Domain_, Now))
    return false;
  const std::string_view RelayAddress = Relays_.relayFor(ExecutorId, Unrouted.Domain_, Now);
  if (!RelayAddress.empty()) {
    Pending->second.RelayAddress_ = RelayAddress;
    Pending->second.Deadline_ = resultDeadline(Unrouted.Order_, Now);
    Batches_[std::string(RelayAddress)].Orders_.push_back(std::move(Unrouted.Order_));
    return true;
  }
  if (DirectInFlight_ >= directCapacity())
    return false;
  sendDirectly(Unrouted.Order_);
  return true;
}

void OrderRouter::passOnUnrouted(core::TimePoint Now) {
  for (UnroutedOrder &Unrouted : std::exchange(Unrouted_, {}))
    if (!passOn(Unrouted, Now))
      Unrouted_.push_back(std::move(Unrouted));
}

void OrderRouter::sendDirectly(const protocol::RelayedOrder &Order) {
  ++DirectInFlight_;
  auto OnAnswer = std::move(PendingOrders_.extract(Order.OrderId_).mapped().OnAnswer_);
  sendOrder(Context_.Client_, Order,
            [this, Generation = Generation_, Alive = std::weak_ptr<bool>(Alive_),
             OnAnswer = std::move(OnAnswer)](const platform::LeaseRenewalResult &Answer) {
              if (!Alive.expired() && Generation == Generation_)
                --DirectInFlight_;
              OnAnswer(Answer);
            });
}

void OrderRouter::flush(core::TimePoint Now) {
  passOnUnrouted(Now);
  const core::Millis Interval = batchInterval();
  for (auto &[RelayAddress, Outgoing] : Batches_)
    if (!Outgoing.Orders_.empty() && Outgoing.InFlight_ < MaxBatchesInFlight &&
        Now - Outgoing.SentAt_ >= Interval)
      send(RelayAddress, Outgoing, Now);
  expireOverdue(Now);
}

void OrderRouter::send(const std::string &RelayAddress, Batch &Outgoing, core::TimePoint Now) {
  // Orders that are overdue were reported as not sent.
  std::erase_if(Outgoing.Orders_, [this](const protocol::RelayedOrder &Order) {
    const auto Pending = PendingOrders_.find(Order.OrderId_);
    if (Pending == PendingOrders_.end())
      return true;
    Pending->second.Sent_ = true;
    return false;
  });
  if (Outgoing.Orders_.empty())
    return;
  recordWait(Outgoing, Now);
  Outgoing.SentAt_ = Now;
  ++Outgoing.InFlight_;
  http::ClientRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = "http://" + RelayAddress + protocol::OrdersPath;
  // Each copy of a batch would carry out its starts; the other orders may be repeated.
  Request.SendOnce_ =
      std::ranges::any_of(Outgoing.Orders_, [](const protocol::RelayedOrder &Order) {
        return static_cast<RelayKind>(Order.Kind_) == RelayKind::Start;
      });
  protocol::OrdersRequest Message{
      Context_.PeerAddress_, std::exchange(Outgoing.Orders_, {}), {}, batchInterval().count()};
  Outgoing.Payloads_.extract(Message, Now);
  Request.Body_ = core::pack(Message);
  Request.Timeout_ = BatchTimeout;
  core::count("masticdrift_relay_bytes_total", {}, static_cast<double>(Request.Body_.size()));
  // The relay may have sent the orders even if this request fails, so they stay pending until their
  // results arrive or are overdue.
  Context_.Client_.send(std::move(Request),
                        [this, RelayAddress, Generation = Generation_,
                         Alive = std::weak_ptr<bool>(Alive_)](const http::ClientResult &Result) {
                          if (Alive.expired() || Generation != Generation_)
                            return;
                          --Batches_[RelayAddress].InFlight_;
                          if (Result.Transfer_ != http::Transfer::Complete)
                            onBatchFailed(RelayAddress, Result);
                        });
}

void OrderRouter::recordWait(const Batch &Outgoing, core::TimePoint Now) {
  const core::Duration Wait = Now - PendingOrders_.at(Outgoing.Orders_.front().OrderId_).RoutedAt_;
  Delays_.LongestWait_ = std::max(Delays_.LongestWait_, Wait);
  core::observe("masticdrift_order_wait_seconds", std::chrono::duration<double>(Wait).count());
}

void OrderRouter::onBatchFailed(const std::string &RelayAddress, const http::ClientResult &Result) {
  core::log(core::LogLevel::Warning, "failed to send orders to relay",
            {{"relay", RelayAddress}, {"detail", Result.Error_}});
  const core::TimePoint Now = core::Clock::now();
  Batches_[RelayAddress].Payloads_.clear();
  // A batch that is late while results come back waits in a queue; other relays would not help.
  if (Result.Transfer_ == http::Transfer::NotConnected ||
      Now - Batches_[RelayAddress].LastResultAt_ > RelaySilence)
    Relays_.markFailed(RelayAddress, Now);
}

void OrderRouter::expireOverdue(core::TimePoint Now) {
  if (Now - LastExpiryCheckAt_ < ExpiryCheckInterval)
    return;
  const core::TimePoint PreviousCheckAt = std::exchange(LastExpiryCheckAt_, Now);
  // What has arrived while this process was late is read before the next check.
  const core::TimePoint DueBy = Now - PreviousCheckAt > MaxExpiryCheckGap ? PreviousCheckAt : Now;
  std::vector<PendingOrder> Overdue;
  std::erase_if(PendingOrders_, [&](auto &Entry) {
    if (DueBy < Entry.second.Deadline_)
      return false;
    if (Entry.second.OnLateAnswer_ && Entry.second.Sent_)
      LostHolds_[Entry.first] = {Now, std::move(Entry.second.OnLateAnswer_)};
    Overdue.push_back(std::move(Entry.second));
    return true;
  });
  std::erase_if(LostHolds_, [Now](const auto &Entry) {
    return Now - Entry.second.LostAt_ >= LostHoldRetention;
  });
  if (!Overdue.empty()) {
    core::log(
        core::LogLevel::Warning, "no results of relayed orders before their deadlines",
        {{"count", std::to_string(Overdue.size())}, {"relay", Overdue.front().RelayAddress_}});
    core::count("masticdrift_relayed_orders_lost_total", {}, static_cast<double>(Overdue.size()));
    Delays_.LostResults_ += Overdue.size();
  }
  for (const PendingOrder &Order : Overdue) {
    if (!Order.Sent_)
      Delays_.LongestWait_ = std::max(Delays_.LongestWait_, Now - Order.RoutedAt_);
    if (Order.Sent_ && Batches_[Order.RelayAddress_].LastResultAt_ < Order.RoutedAt_)
      Relays_.markFailed(Order.RelayAddress_, Now);
    // A hold that waited too long at the leader itself says nothing about the executor either.
    platform::LeaseRenewalResult Answer;
    Answer.Outcome_ = Order.Sent_ || Order.IsHold_ ? fleet::OrderOutcome::ResultLost
                                                   : fleet::OrderOutcome::NotSent;
    Order.OnAnswer_(Answer);
  }
}

void OrderRouter::onLateResult(const protocol::RelayedResult &Result) {
  const auto Node = LostHolds_.extract(Result.OrderId_);
  if (Node.empty() || Result.Outcome_ != fleet::OrderOutcome::Done)
    return;
  platform::LeaseRenewalResult Answer;
  Answer.Outcome_ = Result.Outcome_;
  Answer.Report_ = Result.Report_;
  Answer.Report_.ClockMs_ = Result.ClockMs_;
  Node.mapped().OnLateAnswer_(Answer);
}

void OrderRouter::onResults(const protocol::ResultsRequest &Request) {
  for (const protocol::RelayedResult &Result : Request.Results_) {
    auto Node = PendingOrders_.extract(Result.OrderId_);
    if (Node.empty()) {
      onLateResult(Result);
      // Already counted as lost, or of an earlier process at this address.
      core::count("masticdrift_relayed_results_unmatched_total");
      continue;
    }
    Batch &Through = Batches_[Node.mapped().RelayAddress_];
    Through.LastResultAt_ = core::Clock::now();
    if (Result.Outcome_ == fleet::OrderOutcome::NotSent)
      Through.Payloads_.clear(); // the relay may have restarted and lack payloads
    platform::LeaseRenewalResult Answer;
    Answer.Outcome_ = Result.Outcome_;
    Answer.Report_ = Result.Report_;
    Answer.Report_.ClockMs_ = Result.ClockMs_;
    Node.mapped().OnAnswer_(Answer);
  }
}

} // namespace masticdrift::daemon
