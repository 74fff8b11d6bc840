#include "masticdrift/daemon/AdviceDispatcher.h"

#include <algorithm>

namespace masticdrift::daemon {

namespace {

/// Calls that are expected to take longer leave the last free daemon to shorter ones.
constexpr double LongCallThresholdMs = 150;
constexpr std::size_t AdvisersKeptForShortCalls = 1;
/// Pause of an adviser after a call without an answer.
constexpr core::Millis FailureBackoff{800};

} // namespace

void AdviceDispatcher::registerAdviser(const std::string &Address, core::TimePoint Now) {
  Advisers_[Address].LastSeenAt_ = Now;
}

void AdviceDispatcher::enqueue(AdviceCall Call, core::TimePoint Now) {
  WaitingCalls_.push_back(std::move(Call));
  dispatch(Now);
}

void AdviceDispatcher::onCallFinished(const std::string &Address, bool Answered,
                                      core::TimePoint Now) {
  const auto Entry = Advisers_.find(Address);
  if (Entry == Advisers_.end())
    return;
  Entry->second.Busy_ = false;
  if (!Answered)
    Entry->second.BackoffUntil_ = Now + FailureBackoff;
  dispatch(Now);
}

void AdviceDispatcher::dispatch(core::TimePoint Now) {
  std::erase_if(Advisers_, [&](const auto &Entry) {
    return !Entry.second.Busy_ && !Entry.first.empty() &&
           Now - Entry.second.LastSeenAt_ > AdviserTimeout;
  });
  std::ranges::sort(WaitingCalls_, {}, &AdviceCall::Priority_);
  std::vector<std::string> FreeAdvisers;
  for (const auto &[Address, State] : Advisers_)
    if (!State.Busy_ && Now >= State.BackoffUntil_ &&
        (Address.empty() || Now - State.LastSeenAt_ <= AdviserTimeout))
      FreeAdvisers.push_back(Address);
  const std::size_t KeptAdvisers = Advisers_.size() > 1 ? AdvisersKeptForShortCalls : 0;
  // This daemon's empty address sorts first, so this daemon is used last.
  std::vector<AdviceCall> Remaining;
  for (AdviceCall &Call : WaitingCalls_) {
    if (FreeAdvisers.empty() ||
        (Call.ExpectedMs_ > LongCallThresholdMs && FreeAdvisers.size() <= KeptAdvisers)) {
      Remaining.push_back(std::move(Call));
      continue;
    }
    const std::string Address = FreeAdvisers.back();
    FreeAdvisers.pop_back();
    Advisers_[Address].Busy_ = true;
    Send_(Address, std::move(Call));
  }
  WaitingCalls_ = std::move(Remaining);
}

} // namespace masticdrift::daemon
