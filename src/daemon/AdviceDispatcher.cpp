#include "masticdrift/daemon/AdviceDispatcher.h"

#include <algorithm>

namespace masticdrift::daemon {

namespace {

/// Long calls leave the last free daemon to shorter ones.
constexpr std::size_t AdvisersKeptForShortCalls = 1;
/// Pause of an adviser after a call without an answer.
constexpr core::Millis FailureBackoff{800};
/// Short calls that one daemon may have outstanding.
constexpr int MaxShortCalls = 2;
/// Calls for each available daemon: those on their way and one that waits.
constexpr std::size_t CallsPerAdviser = MaxShortCalls + 1;

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
  Adviser &State = Entry->second;
  State.Calls_ = std::max(State.Calls_ - 1, 0);
  State.HasLong_ = State.HasLong_ && State.Calls_ > 0;
  if (!Answered)
    Entry->second.BackoffUntil_ = Now + FailureBackoff;
  dispatch(Now);
}

bool AdviceDispatcher::isAvailable(const std::string &Address, const Adviser &State,
                                   core::TimePoint Now) {
  return Now >= State.BackoffUntil_ &&
         (Address.empty() || Now - State.LastSeenAt_ <= AdviserTimeout);
}

lead::AdviceLimits AdviceDispatcher::limits(core::TimePoint Now) const {
  const auto Available = static_cast<std::size_t>(std::ranges::count_if(
      Advisers_, [Now](const auto &Entry) { return isAvailable(Entry.first, Entry.second, Now); }));
  return {CallsPerAdviser * std::max<std::size_t>(Available, 1),
          std::max<std::size_t>(Available, 1)};
}

void AdviceDispatcher::dispatch(core::TimePoint Now) {
  std::erase_if(Advisers_, [&](const auto &Entry) {
    return Entry.second.Calls_ == 0 && !Entry.first.empty() &&
           Now - Entry.second.LastSeenAt_ > AdviserTimeout;
  });
  std::ranges::sort(WaitingCalls_, {}, &AdviceCall::Priority_);
  std::vector<AdviceCall> Remaining;
  for (AdviceCall &Call : WaitingCalls_) {
    const auto Chosen = chooseAdviser(Call.ExpectedMs_, Now);
    if (Chosen == Advisers_.end()) {
      Remaining.push_back(std::move(Call));
      continue;
    }
    ++Chosen->second.Calls_;
    Chosen->second.HasLong_ = Chosen->second.HasLong_ || Call.ExpectedMs_ > lead::LongAdviceMs;
    Send_(Chosen->first, std::move(Call));
  }
  WaitingCalls_ = std::move(Remaining);
}

std::map<std::string, AdviceDispatcher::Adviser>::iterator
AdviceDispatcher::chooseAdviser(double ExpectedMs, core::TimePoint Now) {
  const bool Long = ExpectedMs > lead::LongAdviceMs;
  auto Best = Advisers_.end();
  std::size_t Idle = 0;
  // This daemon's empty address sorts first, so this daemon is used last.
  for (auto Entry = Advisers_.begin(); Entry != Advisers_.end(); ++Entry) {
    const Adviser &State = Entry->second;
    if (!isAvailable(Entry->first, State, Now) || State.HasLong_ ||
        State.Calls_ >= (Long ? 1 : MaxShortCalls))
      continue;
    Idle += State.Calls_ == 0 ? 1 : 0;
    if (Best == Advisers_.end() || State.Calls_ <= Best->second.Calls_)
      Best = Entry;
  }
  const std::size_t KeptAdvisers = Advisers_.size() > 1 ? AdvisersKeptForShortCalls : 0;
  return Long && Idle <= KeptAdvisers ? Advisers_.end() : Best;
}

} // namespace masticdrift::daemon
