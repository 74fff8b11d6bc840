#include "masticdrift/daemon/OrderRelay.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/daemon/OrderDesk.h"

#include <algorithm>

namespace masticdrift::daemon {

namespace {

/// Between two batches to the same leader. Each batch costs the leader about 0.1 ms, so that six
/// domains take 6% of a core at most.
constexpr core::Millis ResultSpacing{10};
constexpr core::Millis ResultTimeout{600};

} // namespace

void OrderRelay::carry(const protocol::OrdersCall &Call) {
  for (const protocol::RelayedOrder &One : Call.Orders_)
    carryOrder(Context_.Client_, One,
               [this, Held = std::weak_ptr<bool>(Alive_), Number = One.Number_,
                ReplyTo = Call.ReplyTo_](const platform::LeaseRenewalResult &Answer) {
                 if (!Held.expired())
                   add(ReplyTo, {Number, Answer.Outcome_, Answer.Report_.ClockMs_, Answer.Report_});
               });
}

void OrderRelay::add(const std::string &ReplyTo, protocol::RelayedResult Result) {
  Results_[ReplyTo].push_back(std::move(Result));
  if (std::exchange(Armed_, true))
    return;
  // The first result after a rest goes at once.
  Timer_.expires_after(
      std::max(core::Duration(0), FlushedAt_ + ResultSpacing - core::Clock::now()));
  Timer_.async_wait([this, Held = std::weak_ptr<bool>(Alive_)](std::error_code Error) {
    if (!Error && !Held.expired())
      flush();
  });
}

void OrderRelay::flush() {
  Armed_ = false;
  FlushedAt_ = core::Clock::now();
  for (auto &[ReplyTo, Results] : std::exchange(Results_, {})) {
    http::ClientRequest Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + ReplyTo + protocol::ResultsPath;
    Call.Body_ = core::pack(protocol::ResultsCall{std::move(Results)});
    Call.Timeout_ = ResultTimeout;
    Context_.Client_.send(std::move(Call), [Leader = ReplyTo](const http::ClientResult &Result) {
      if (Result.Transfer_ != http::Transfer::Complete)
        core::log(core::LogLevel::Warning, "results of orders were not taken",
                  {{"leader", Leader}, {"detail", Result.Error_}});
    });
  }
}

} // namespace masticdrift::daemon
