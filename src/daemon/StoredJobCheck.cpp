#include "masticdrift/daemon/StoredJobCheck.h"

namespace masticdrift::daemon {

namespace {

constexpr core::Millis CheckInterval{1000};
/// A leader reads specifications every 80 ms; a read that times out is repeated within this time.
constexpr core::Millis MaxSpecWait{2000};

} // namespace

void StoredJobCheck::reset(core::TimePoint Now) {
  NextAt_ = Now + CheckInterval;
  WaitingSince_.clear();
}

StoredJobGaps StoredJobCheck::check(const work::JobTable &Table, const lead::Scheduler &Scheduler,
                                    core::TimePoint Now) {
  NextAt_ = Now + CheckInterval;
  StoredJobGaps Gaps;
  std::unordered_map<std::string, core::TimePoint> StillWaiting;
  for (const auto &[Id, Job] : Table.jobs()) {
    if (!Job.Accepted_)
      continue;
    const lead::JobKnowledge Knowledge = Scheduler.knowledgeOf(Id);
    if (Knowledge == lead::JobKnowledge::Ended)
      continue;
    if (work::isFinal(Job.state())) {
      if (Knowledge == lead::JobKnowledge::Tracked)
        Gaps.NotCancelled_.push_back(Id);
    } else if (Knowledge == lead::JobKnowledge::Unknown && Job.HasSpec_) {
      Gaps.Unknown_.push_back(Id);
    } else if (Knowledge == lead::JobKnowledge::Unknown) {
      const auto Waiting = WaitingSince_.find(Id);
      const core::TimePoint Since = Waiting == WaitingSince_.end() ? Now : Waiting->second;
      StillWaiting.emplace(Id, Since);
      if (Now - Since >= MaxSpecWait)
        Gaps.WithoutSpec_.push_back(Id);
    }
  }
  WaitingSince_ = std::move(StillWaiting);
  return Gaps;
}

} // namespace masticdrift::daemon
