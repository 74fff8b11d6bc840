#include "masticdrift/http/detail/ConnectionBudget.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

namespace masticdrift::http::detail {

namespace {

/// Shortest interval between two log lines; a crowd of clients causes thousands of closings.
constexpr std::chrono::seconds LogInterval{1};
/// Part of the memory that connections without requests may take.
constexpr std::size_t ConnectionShareDivisor = 2;

/// Less than the header of any answer, so that an answer has ended when this and its body are sent.
constexpr std::size_t MinHeaderBytes = 32;

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

bool isClosable(const BudgetShare &Share) {
  return !Share.Closing_ && (Share.State_ != ConnectionState::Serving || Share.Writing_);
}

/// \returns true when a connection holds nothing but its own memory.
bool isIdle(const BudgetShare &Share) {
  return Share.State_ == ConnectionState::Idle && Share.Answers_.empty();
}

std::size_t maxConnections(const BudgetLimits &Limits) {
  if (Limits.ConnectionBytes_ == 0)
    return Limits.Connections_;
  const std::size_t WithinMemory =
      Limits.HeldBytes_ / ConnectionShareDivisor / Limits.ConnectionBytes_;
  return std::max<std::size_t>(std::min(Limits.Connections_, WithinMemory), 1);
}

} // namespace

ConnectionBudget::ConnectionBudget(BudgetLimits Limits)
    : Limits_(Limits), MaxConnections_(detail::maxConnections(Limits)) {}

bool ConnectionBudget::add(BudgetShare &Share) {
  const std::lock_guard Lock(Mutex_);
  if (Shares_.size() - Closing_ >= MaxConnections_) {
    const auto Oldest =
        std::ranges::find_if(Shares_, [](const BudgetShare *Other) { return isClosable(*Other); });
    if (Oldest == Shares_.end()) {
      noteClosed(Share, CloseReason::Connections);
      return false;
    }
    close(**Oldest, CloseReason::Connections);
  }
  Share.Position_ = Shares_.insert(Shares_.end(), &Share);
  if (!makeRoom(Share)) {
    noteClosed(Share, CloseReason::Memory);
    Shares_.erase(Share.Position_);
    return false;
  }
  ById_[Share.ConnectionId_] = &Share;
  return true;
}

void ConnectionBudget::remove(BudgetShare &Share) {
  const std::lock_guard Lock(Mutex_);
  if (Share.Closing_) {
    ClosingBytes_ -= Share.HeldBytes_ + Limits_.ConnectionBytes_;
    --Closing_;
  }
  HeldBytes_ -= Share.HeldBytes_;
  ById_.erase(Share.ConnectionId_);
  Shares_.erase(Share.Position_);
}

std::size_t ConnectionBudget::total() const {
  return HeldBytes_ + Shares_.size() * Limits_.ConnectionBytes_;
}

void ConnectionBudget::updateHeld(BudgetShare &Share) {
  const std::size_t HeldBytes =
      std::accumulate(Share.Answers_.begin(), Share.Answers_.end(), Share.RequestBytes_);
  if (Share.Closing_)
    ClosingBytes_ += HeldBytes - Share.HeldBytes_;
  HeldBytes_ += HeldBytes - Share.HeldBytes_;
  Share.HeldBytes_ = HeldBytes;
}

void ConnectionBudget::close(BudgetShare &Share, CloseReason Reason) {
  markClosing(Share, Reason);
  Share.Close_();
}

void ConnectionBudget::markClosing(BudgetShare &Share, CloseReason Reason) {
  Share.Closing_ = true;
  ClosingBytes_ += Share.HeldBytes_ + Limits_.ConnectionBytes_;
  ++Closing_;
  noteClosed(Share, Reason);
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
             {"held_bytes", std::to_string(total())},
             {"connections", std::to_string(Shares_.size())},
             {"closed", std::to_string(std::exchange(ClosedSinceLog_, 0))}});
}

void ConnectionBudget::onUnfinished(std::function<void()> Watch) {
  const std::lock_guard Lock(Mutex_);
  Watch_ = std::move(Watch);
}

void ConnectionBudget::setState(BudgetShare &Share, ConnectionState State,
                                BudgetShare::Clock::time_point Now) {
  if (State == ConnectionState::Receiving && Share.State_ != ConnectionState::Receiving) {
    Share.RequestBegunAt_ = Now;
    if (Watch_ && !std::exchange(Watched_, true))
      Watch_();
  }
  Share.State_ = State;
}

void ConnectionBudget::onWaiting(BudgetShare &Share, std::size_t RequestBytes,
                                 ConnectionState State, BudgetShare::Clock::time_point Now) {
  const std::lock_guard Lock(Mutex_);
  Share.RequestBytes_ = RequestBytes;
  updateHeld(Share);
  setState(Share, State, Now);
}

BudgetShare *ConnectionBudget::largestClosable(const BudgetShare &Except) {
  BudgetShare *Largest = nullptr;
  for (BudgetShare *Share : Shares_)
    if (Share != &Except && isClosable(*Share) && !isIdle(*Share) &&
        (Largest == nullptr || Share->HeldBytes_ > Largest->HeldBytes_))
      Largest = Share;
  return Largest;
}

BudgetShare *ConnectionBudget::longestIdle(const BudgetShare &Except) {
  const auto Found = std::ranges::find_if(Shares_, [&Except](const BudgetShare *Share) {
    return Share != &Except && isClosable(*Share) && isIdle(*Share);
  });
  return Found == Shares_.end() ? nullptr : *Found;
}

bool ConnectionBudget::makeRoom(BudgetShare &Share) {
  const auto Used = [this] { return total() - ClosingBytes_; };
  if (Used() <= Limits_.HeldBytes_)
    return true;
  auto IdleBytes = Limits_.ConnectionBytes_ *
                   static_cast<std::size_t>(std::ranges::count_if(Shares_, [&](const auto *Other) {
                     return Other != &Share && isClosable(*Other) && isIdle(*Other);
                   }));
  while (Used() > Limits_.HeldBytes_) {
    BudgetShare *Next = largestClosable(Share);
    if (Next == nullptr || Next->HeldBytes_ < Share.HeldBytes_) {
      // Idle connections are not closed in vain.
      if (IdleBytes < Used() - Limits_.HeldBytes_)
        return false;
      Next = longestIdle(Share);
      IdleBytes -= Limits_.ConnectionBytes_;
    }
    close(*Next, CloseReason::Memory);
  }
  return true;
}

bool ConnectionBudget::onReceived(BudgetShare &Share, std::size_t RequestBytes,
                                  ConnectionState State, BudgetShare::Clock::time_point Now) {
  const std::lock_guard Lock(Mutex_);
  Shares_.splice(Shares_.end(), Shares_, Share.Position_);
  Share.RequestBytes_ = RequestBytes;
  updateHeld(Share);
  setState(Share, State, Now);
  if (Share.Closing_)
    return false;
  if (makeRoom(Share))
    return true;
  markClosing(Share, CloseReason::Memory);
  return false;
}

void ConnectionBudget::onAnswer(std::uint64_t ConnectionId, std::size_t Bytes) {
  const std::lock_guard Lock(Mutex_);
  const auto Found = ById_.find(ConnectionId);
  if (Found == ById_.end())
    return;
  Found->second->Answers_.push_back(Bytes + MinHeaderBytes);
  updateHeld(*Found->second);
  // The answer is sent even if nothing can be closed for it.
  makeRoom(*Found->second);
}

void ConnectionBudget::onWriting(BudgetShare &Share) {
  const std::lock_guard Lock(Mutex_);
  Share.Writing_ = true;
}

void ConnectionBudget::onWritten(BudgetShare &Share, std::size_t Bytes) {
  const std::lock_guard Lock(Mutex_);
  Share.Writing_ = false;
  if (Share.Answers_.empty())
    return;
  // Each write is a part of one answer, which also has a header.
  std::size_t &Left = Share.Answers_.front();
  Left -= std::min(Left, Bytes);
  if (Left == 0)
    Share.Answers_.erase(Share.Answers_.begin());
  updateHeld(Share);
}

bool ConnectionBudget::closeSlow(BudgetShare::Clock::time_point Now) {
  const std::lock_guard Lock(Mutex_);
  bool AnyUnfinished = false;
  for (BudgetShare *Share : Shares_) {
    if (Share->State_ != ConnectionState::Receiving || Share->Closing_)
      continue;
    if (Now - Share->RequestBegunAt_ >= Limits_.RequestTime_)
      close(*Share, CloseReason::SlowRequest);
    else
      AnyUnfinished = true;
  }
  Watched_ = AnyUnfinished;
  return AnyUnfinished;
}

std::size_t ConnectionBudget::heldBytes() const {
  const std::lock_guard Lock(Mutex_);
  return total();
}

std::size_t ConnectionBudget::connections() const {
  const std::lock_guard Lock(Mutex_);
  return Shares_.size();
}

} // namespace masticdrift::http::detail
