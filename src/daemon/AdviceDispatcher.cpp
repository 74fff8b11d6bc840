#include "masticdrift/daemon/AdviceDispatcher.h"

#include <algorithm>

namespace masticdrift::daemon {

namespace {

/// Calls above this time leave the last free daemon to shorter ones.
constexpr double LongCallMs = 150;
constexpr std::size_t KeptForShortCalls = 1;
/// Rest of an adviser whose call brought no answer.
constexpr core::Millis FailedRest{800};

} // namespace

void AdviceDesk::offer(const std::string &Adviser, core::TimePoint Now) {
  Advisers_[Adviser].SeenAt_ = Now;
}

void AdviceDesk::ask(AdviceJob Job, core::TimePoint Now) {
  Waiting_.push_back(std::move(Job));
  dispatch(Now);
}

void AdviceDesk::done(const std::string &Adviser, bool Answered, core::TimePoint Now) {
  const auto Found = Advisers_.find(Adviser);
  if (Found == Advisers_.end())
    return;
  Found->second.Busy_ = false;
  if (!Answered)
    Found->second.RestUntil_ = Now + FailedRest;
  dispatch(Now);
}

void AdviceDesk::dispatch(core::TimePoint Now) {
  std::erase_if(Advisers_, [&](const auto &One) {
    return !One.second.Busy_ && !One.first.empty() && Now - One.second.SeenAt_ > AdviserLife;
  });
  std::ranges::sort(Waiting_, {}, &AdviceJob::Urgency_);
  std::vector<std::string> Free;
  for (const auto &[Name, One] : Advisers_)
    if (!One.Busy_ && Now >= One.RestUntil_ && (Name.empty() || Now - One.SeenAt_ <= AdviserLife))
      Free.push_back(Name);
  const std::size_t Reserve = Advisers_.size() > 1 ? KeptForShortCalls : 0;
  // This daemon, with the empty name, comes first in the map and is asked last.
  std::vector<AdviceJob> Left;
  for (AdviceJob &Job : Waiting_) {
    if (Free.empty() || (Job.ExpectedMs_ > LongCallMs && Free.size() <= Reserve)) {
      Left.push_back(std::move(Job));
      continue;
    }
    const std::string Name = Free.back();
    Free.pop_back();
    Advisers_[Name].Busy_ = true;
    Out_(Name, std::move(Job));
  }
  Waiting_ = std::move(Left);
}

} // namespace masticdrift::daemon
