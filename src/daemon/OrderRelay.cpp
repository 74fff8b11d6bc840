#include "masticdrift/daemon/OrderRelay.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/daemon/OrderRouter.h"

#include <algorithm>

namespace masticdrift::daemon {

namespace {

/// Shortest interval between batches to the same leader. Each batch costs the leader about 0.1 ms
/// of processor time, so that relays of six failure domains take at most 6% of a core.
constexpr core::Millis MinResultInterval{10};
constexpr core::Millis ResultTimeout{600};

} // namespace

void OrderRelay::forward(const protocol::OrdersRequest &Request) {
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
  Results_[ReplyTo].push_back(std::move(Result));
  if (std::exchange(TimerArmed_, true))
    return;
  // The first result after an idle time is sent at once.
  Timer_.expires_after(
      std::max(core::Duration(0), LastFlushAt_ + MinResultInterval - core::Clock::now()));
  Timer_.async_wait([this, Alive = std::weak_ptr<bool>(Alive_)](std::error_code Error) {
    if (!Error && !Alive.expired())
      flush();
  });
}

void OrderRelay::flush() {
  TimerArmed_ = false;
  LastFlushAt_ = core::Clock::now();
  for (auto &[ReplyTo, Results] : std::exchange(Results_, {})) {
    http::ClientRequest Request;
    Request.Method_ = "POST";
    Request.Url_ = "http://" + ReplyTo + protocol::ResultsPath;
    Request.Body_ = core::pack(protocol::ResultsRequest{std::move(Results)});
    Request.Timeout_ = ResultTimeout;
    Context_.Client_.send(
        std::move(Request), [LeaderAddress = ReplyTo](const http::ClientResult &Result) {
          if (Result.Transfer_ != http::Transfer::Complete)
            core::log(core::LogLevel::Warning, "failed to return results of orders to leader",
                      {{"leader", LeaderAddress}, {"detail", Result.Error_}});
        });
  }
}

} // namespace masticdrift::daemon
