#include "masticdrift/daemon/OrderRelay.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/daemon/OrderDesk.h"

namespace masticdrift::daemon {

namespace {

/// Results that arrive within this time go back together.
constexpr core::Millis ResultSpacing{20};
constexpr core::Millis ResultTimeout{600};

} // namespace

void OrderRelay::carry(const protocol::OrdersCall &Call) {
  for (const protocol::RelayedOrder &One : Call.Orders_)
    carryOrder(Context_.Client_, One,
               [this, Held = std::weak_ptr<bool>(Alive_), Number = One.Number_,
                ReplyTo = Call.ReplyTo_](const platform::HoldAnswer &Answer) {
                 if (!Held.expired())
                   add(ReplyTo, {Number, Answer.Outcome_, Answer.Report_.ClockMs_, Answer.Report_});
               });
}

void OrderRelay::add(const std::string &ReplyTo, protocol::RelayedResult Result) {
  Results_[ReplyTo].push_back(std::move(Result));
  if (std::exchange(Armed_, true))
    return;
  Timer_.expires_after(ResultSpacing);
  Timer_.async_wait([this, Held = std::weak_ptr<bool>(Alive_)](std::error_code Error) {
    if (!Error && !Held.expired())
      flush();
  });
}

void OrderRelay::flush() {
  Armed_ = false;
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
