#include "masticdrift/daemon/OrderRelay.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/daemon/OrderRouter.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace masticdrift::daemon {

namespace {

/// Shortest interval between batches to the same leader. Each batch costs the leader about 0.1 ms
/// of processor time, so that relays of six failure domains take at most 6% of a core.
constexpr core::Millis MinResultInterval{10};
/// Results are merged while this many batches have no acknowledgement, so that a leader that is
/// behind gets fewer and larger batches. Unbounded, each would need one more connection to it.
constexpr int MaxBatchesInFlight = 2;
/// The leader counts the orders of results that arrive later as lost.
constexpr core::Millis ResultTimeout{1500};
/// Time for which a result that lists ends is sent again. A lease outlasts it, and with it the time
/// in which the leader may learn of a completion without having started the task again.
constexpr core::Millis EndRetention{6000};
/// Time after which a leader that sent no orders is forgotten.
constexpr core::Millis LeaderRetention{60'000};

} // namespace

void OrderRelay::forward(protocol::OrdersRequest Request) {
  const std::vector<protocol::RelayedOrder> Incomplete =
      Payloads_.restore(Request, core::Clock::now());
  Outgoing_[Request.ReplyTo_].Interval_ =
      std::max(MinResultInterval, core::Millis(Request.ResultIntervalMs_));
  if (!Incomplete.empty())
    core::log(core::LogLevel::Warning, "starts without payload are returned to the leader",
              {{"leader", Request.ReplyTo_}, {"count", std::to_string(Incomplete.size())}});
  for (const protocol::RelayedOrder &Order : Incomplete)
    addResult(Request.ReplyTo_, {Order.OrderId_, fleet::OrderOutcome::NotSent, 0, {}});
  for (const protocol::RelayedOrder &Order : Request.Orders_)
    sendOrder(
        Context_.Client_, Order,
        [this, Alive = std::weak_ptr<bool>(Alive_), OrderId = Order.OrderId_,
         ReplyTo = Request.ReplyTo_](const platform::LeaseRenewalResult &Answer) {
          if (!Alive.expired())
            addResult(ReplyTo, {OrderId, Answer.Outcome_, Answer.Report_.ClockMs_, Answer.Report_});
        });
}

void OrderRelay::addResult(const std::string &ReplyTo, protocol::RelayedResult Result) {
  Outgoing_[ReplyTo].Results_.push_back({std::move(Result), core::Clock::now()});
  scheduleFlush();
}

/// Arms the timer for the earliest batch. The first result after an idle time is sent at once.
void OrderRelay::scheduleFlush() {
  if (TimerArmed_)
    return;
  const core::TimePoint Now = core::Clock::now();
  std::optional<core::Duration> Delay;
  for (const auto &[ReplyTo, Batch] : Outgoing_)
    if (!Batch.Results_.empty() && Batch.InFlight_ < MaxBatchesInFlight) {
      const core::Duration DueIn =
          std::max<core::Duration>(core::Duration(0), Batch.FlushedAt_ + Batch.Interval_ - Now);
      Delay = Delay ? std::min(*Delay, DueIn) : DueIn;
    }
  if (!Delay)
    return;
  TimerArmed_ = true;
  Timer_.expires_after(*Delay);
  Timer_.async_wait([this, Alive = std::weak_ptr<bool>(Alive_)](std::error_code Error) {
    if (!Error && !Alive.expired())
      flush();
  });
}

void OrderRelay::flush() {
  TimerArmed_ = false;
  const core::TimePoint Now = core::Clock::now();
  for (auto &[ReplyTo, Batch] : Outgoing_) {
    if (Batch.Results_.empty() || Batch.InFlight_ >= MaxBatchesInFlight ||
        Now < Batch.FlushedAt_ + Batch.Interval_)
      continue;
    Batch.FlushedAt_ = Now;
    send(ReplyTo, Batch);
  }
  std::erase_if(Outgoing_, [Now](const auto &Entry) {
    return Entry.second.Results_.empty() && Entry.second.InFlight_ == 0 &&
           Now - Entry.second.FlushedAt_ > LeaderRetention;
  });
  scheduleFlush();
}

void OrderRelay::send(const std::string &ReplyTo, Outgoing &Batch) {
  ++Batch.InFlight_;
  http::ClientRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = "http://" + ReplyTo + protocol::ResultsPath;
  const auto Sent = std::make_shared<std::vector<AnsweredOrder>>(std::exchange(Batch.Results_, {}));
  protocol::ResultsRequest Message;
  for (const AnsweredOrder &Answered : *Sent)
    Message.Results_.push_back(Answered.Result_);
  Request.Body_ = core::pack(Message);
  Request.Timeout_ = ResultTimeout;
  Context_.Client_.send(std::move(Request), [this, Alive = std::weak_ptr<bool>(Alive_),
                                             LeaderAddress = ReplyTo,
                                             Sent](const http::ClientResult &Result) {
    if (Result.Transfer_ != http::Transfer::Complete)
      core::log(core::LogLevel::Warning, "failed to return results of orders to leader",
                {{"leader", LeaderAddress}, {"detail", Result.Error_}});
    if (Alive.expired())
      return;
    Outgoing &Batch = Outgoing_[LeaderAddress];
    --Batch.InFlight_;
    // Nobody listens at the address of a leader that is gone.
    if (Result.Transfer_ != http::Transfer::Complete &&
        Result.Transfer_ != http::Transfer::NotConnected)
      keepEnds(Batch, std::move(*Sent));
    scheduleFlush();
  });
}

void OrderRelay::keepEnds(Outgoing &Batch, std::vector<AnsweredOrder> Undelivered) {
  const core::TimePoint Now = core::Clock::now();
  for (AnsweredOrder &Answered : Undelivered)
    if (!Answered.Result_.Report_.Ended_.empty() && Now - Answered.AnsweredAt_ < EndRetention)
      Batch.Results_.push_back(std::move(Answered));
}

} // namespace masticdrift::daemon
