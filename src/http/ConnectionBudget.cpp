#include "masticdrift/http/detail/ConnectionBudget.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"

#include <algorithm>
#include <string>
#include <utility>

namespace masticdrift::http::detail {

namespace {

/// Shortest interval between two log lines; a crowd of clients causes thousands of closings.
constexpr std::chrono::seconds LogInterval{1};

std::string_view nameOf(CloseReason Reason) {
  switch (Reason) {
  case CloseReason::Memory:
    return "memory";
  case CloseReason::Connections:
    return "connections";
  case CloseReason::SlowRequest:
    return "slow_request";
  }
  return "unknown";
}

} // namespace

void ConnectionBudget::add(BudgetShare &Share) {
  const std::lock_guard Lock(Mutex_);
  Share.Position_ = Shares_.insert(Shares_.end(), &Share);
  if (Shares_.size() <= Limits_.Connections_)
    return;
  const auto Oldest = std::ranges::find_if(
      Shares_, [](const BudgetShare *Other) { return Other->Waiting_ && !Other->Closing_; });
  if (Oldest != Shares_.end())
    close(**Oldest, CloseReason::Connections);
}

void ConnectionBudget::remove(BudgetShare &Share) {
  const std::lock_guard Lock(Mutex_);
  setHeld(Share, 0);
  Shares_.erase(Share.Position_);
}

void ConnectionBudget::setHeld(BudgetShare &Share, std::size_t HeldBytes) {
  HeldBytes_ += HeldBytes - Share.HeldBytes_;
  Share.HeldBytes_ = HeldBytes;
}

void ConnectionBudget::close(BudgetShare &Share, CloseReason Reason) {
  Share.Closing_ = true;
  noteClosed(Share, Reason);
  Share.Close_();
}

void ConnectionBudget::noteClosed(const BudgetShare &Share, CloseReason Reason) {
  core::count("masticdrift_connections_closed_total", {{"reason", std::string(nameOf(Reason))}});
  ++ClosedSinceLog_;
  const auto Now = BudgetShare::Clock::now();
  if (Now - LoggedAt_ < LogInterval)
    return;
  LoggedAt_ = Now;
  core::log(core::LogLevel::Warning, "connection closed to keep to the server's limits",
            {{"reason", std::string(nameOf(Reason))},
             {"request_bytes", std::to_string(Share.HeldBytes_)},
             {"held_bytes", std::to_string(HeldBytes_)},
             {"connections", std::to_string(Shares_.size())},
             {"closed", std::to_string(std::exchange(ClosedSinceLog_, 0))}});
}

void ConnectionBudget::onUnfinished(std::function<void()> Watch) {
  const std::lock_guard Lock(Mutex_);
  Watch_ = std::move(Watch);
}

void ConnectionBudget::onWaiting(BudgetShare &Share, std::size_t HeldBytes) {
  const std::lock_guard Lock(Mutex_);
  setHeld(Share, HeldBytes);
  Share.Waiting_ = true;
}

BudgetShare *ConnectionBudget::largestUnfinished(const BudgetShare &Except) {
  BudgetShare *Largest = nullptr;
  for (BudgetShare *Share : Shares_)
    if (Share != &Except && Share->Waiting_ && Share->WithinRequest_ && !Share->Closing_ &&
        (Largest == nullptr || Share->HeldBytes_ > Largest->HeldBytes_))
      Largest = Share;
  return Largest;
}

bool ConnectionBudget::onReceived(BudgetShare &Share, std::size_t HeldBytes, bool WithinRequest,
                                  BudgetShare::Clock::time_point Now) {
  const std::lock_guard Lock(Mutex_);
  Shares_.splice(Shares_.end(), Shares_, Share.Position_);
  Share.Waiting_ = false;
  if (WithinRequest && !Share.WithinRequest_)
    Share.RequestBegunAt_ = Now;
  Share.WithinRequest_ = WithinRequest;
  if (Share.Closing_)
    return false;
  if (WithinRequest && Watch_ && !std::exchange(Watched_, true))
    Watch_();
  setHeld(Share, HeldBytes);
  while (HeldBytes_ > Limits_.HeldBytes_) {
    BudgetShare *Largest = largestUnfinished(Share);
    if (Largest == nullptr || Largest->HeldBytes_ <= Share.HeldBytes_) {
      Share.Closing_ = true;
      noteClosed(Share, CloseReason::Memory);
      return false;
    }
    // Its memory is free as soon as the connection is closed, before much more is received.
    close(*Largest, CloseReason::Memory);
    setHeld(*Largest, 0);
  }
  return true;
}

bool ConnectionBudget::closeSlow(BudgetShare::Clock::time_point Now) {
  const std::lock_guard Lock(Mutex_);
  bool AnyUnfinished = false;
  for (BudgetShare *Share : Shares_) {
    if (!Share->WithinRequest_ || Share->Closing_)
      continue;
    if (Share->Waiting_ && Now - Share->RequestBegunAt_ >= Limits_.RequestTime_)
      close(*Share, CloseReason::SlowRequest);
    else
      AnyUnfinished = true;
  }
  Watched_ = AnyUnfinished;
  return AnyUnfinished;
}

std::size_t ConnectionBudget::heldBytes() const {
  const std::lock_guard Lock(Mutex_);
  return HeldBytes_;
}

std::size_t ConnectionBudget::connections() const {
  const std::lock_guard Lock(Mutex_);
  return Shares_.size();
}

} // namespace masticdrift::http::detail
