// Blames crashes of executors on the runs that they had just started.
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/Suspicion.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>

namespace masticdrift::lead {

using detail::isUnset;

bool Scheduler::hasSurvivedStart(const ExecutorState &Executor, const Run &ActiveRun) const {
  return ActiveRun.StartClockMs_ != 0 &&
         Executor.ClockMs_ >= ActiveRun.StartClockMs_ + Timing_.StartSurvivalTime_.count();
}

/// Records the runs that a lost executor may have started last. A draining executor leaves on
/// purpose and gets no starts.
/// \param Survivors runs that the executor has started after its crash.
/// \returns the number of crashes that were counted.
std::size_t Scheduler::suspectStartedRuns(ExecutorState &Executor, bool Crashed,
                                          std::span<const fleet::ReportedRun> Survivors,
                                          core::TimePoint Now) {
  if (Executor.Info_.Draining_)
    return 0;
  std::vector<work::TaskRef> Counted;
  for (const auto &Entry : Executor.Runs_) {
    const RunKey &Key = Entry.first;
    const Run &ActiveRun = Entry.second;
    TrackedJob *Job = findJob(Key.first);
    const bool Listed = std::ranges::any_of(Survivors, [&](const fleet::ReportedRun &Row) {
      return Row.Task_ == Key.first && Row.Run_ == Key.second;
    });
    const bool Answered = !isUnset(ActiveRun.ConfirmedAt_);
    const core::TimePoint StartedAt = Answered ? ActiveRun.ConfirmedAt_ : ActiveRun.OrderSentAt_;
    const core::Millis NoticeTime =
        Answered ? Timing_.LossNoticeTime_ : Timing_.UnansweredNoticeTime_;
    if (Job == nullptr || Job->Ended_ || Listed || hasSurvivedStart(Executor, ActiveRun) ||
        Now - StartedAt > Timing_.StartSurvivalTime_ + NoticeTime)
      continue;
    if (!addSuspicion(Job->Progress_, Key.first,
                      {Key.second, Executor.Info_.Id_, Executor.Incarnation_, Crashed,
                       Executor.Info_.Address_, Answered}))
      continue;
    SuspectJobs_.insert(Job->Id_);
    markDirty(*Job);
    if (Crashed)
      Counted.push_back(Key.first);
  }
  for (const work::TaskRef &Task : Counted)
    countCrash(*findJob(Task), Task, Executor.Info_.Id_, Now);
  return Counted.size();
}

/// Handles that an executor has crashed: another one answers at its address, or a new incarnation.
void Scheduler::onExecutorCrashed(ExecutorState &Executor,
                                  std::span<const fleet::ReportedRun> Survivors,
                                  core::TimePoint Now) {
  if (Executor.Info_.Draining_)
    return;
  const std::size_t Suspects = suspectStartedRuns(Executor, true, Survivors, Now);
  const std::size_t Recorded = onAnswerAfterSilence(Executor, 0, Now);
  if (Actions_.CountCrash_)
    Actions_.CountCrash_(Suspects + Recorded);
}

/// Settles what is recorded against runs on an executor that was silent, also by earlier leaders.
/// \param Incarnation the incarnation that answers, 0 when it is another executor.
/// \returns the number of crashes that were counted.
std::size_t Scheduler::onAnswerAfterSilence(const ExecutorState &Executor, std::int64_t Incarnation,
                                            core::TimePoint Now) {
  forgetSettledSuspects();
  std::size_t Counted = 0;
  for (const std::string &Id : SuspectJobs_) {
    TrackedJob &Job = Jobs_.at(Id);
    if (Incarnation != 0 && dismissSilence(Job.Progress_, Executor.Info_.Id_, Incarnation))
      markDirty(Job);
    for (const work::TaskRef &Task :
         confirmCrash(Job.Progress_, Id, Executor.Info_.Id_, Incarnation)) {
      ++Counted;
      markDirty(Job);
      countCrash(Job, Task, Executor.Info_.Id_, Now);
    }
  }
  return Counted;
}

/// Counts crashes of executors that have not been asked since: another one is listed at the
/// address.
void Scheduler::onExecutorReplaced(std::string_view Address, std::string_view ExecutorId,
                                   core::TimePoint Now) {
  forgetSettledSuspects();
  for (const std::string &Id : SuspectJobs_) {
    TrackedJob &Job = Jobs_.at(Id);
    for (const work::TaskRef &Task : confirmReplacement(Job.Progress_, Id, Address, ExecutorId)) {
      markDirty(Job);
      countCrash(Job, Task, ExecutorId, Now);
    }
  }
}

/// Counts crashes under an earlier leader whose executors have been replaced since.
void Scheduler::settleInheritedSuspicions(TrackedJob &Job, core::TimePoint Now) {
  if (Job.Progress_.Suspects_.empty())
    return;
  Job.LastCrashAt_ = Now;
  for (const auto &[Id, Executor] : Executors_)
    if (Executor.Listed_)
      for (const work::TaskRef &Task :
           confirmReplacement(Job.Progress_, Job.Id_, Executor.Info_.Address_, Id)) {
        markDirty(Job);
        countCrash(Job, Task, Id, Now);
      }
}

void Scheduler::forgetSettledSuspects() {
  std::erase_if(SuspectJobs_, [this](const std::string &Id) {
    const auto Found = Jobs_.find(Id);
    return Found == Jobs_.end() || Found->second.Ended_ ||
           Found->second.Progress_.Suspects_.empty();
  });
}

/// Gives the job up when executors have crashed too often under one of its tasks.
void Scheduler::countCrash(TrackedJob &Job, const work::TaskRef &Task, std::string_view ExecutorId,
                           core::TimePoint Now) {
  const std::size_t Crashes = crashCount(Job.Progress_, Task);
  Job.CrashFlush_ = NextFlush_;
  Job.LastCrashAt_ = Now;
  logDecision("task_suspected", Task, 0, ExecutorId,
              std::to_string(Crashes) + " of " + std::to_string(Timing_.MaxCrashes_) + " crashes");
  const TrackedStep *Step = findStep(Job, Task);
  const bool Done = Step == nullptr || Step->Tasks_[Task.Index_].State_ == TaskState::Done;
  const bool Proven = Crashes >= Timing_.MaxUnconfirmedCrashes_ ||
                      (Crashes >= Timing_.MaxCrashes_ &&
                       confirmedCrashCount(Job.Progress_, Task) >= Timing_.MinConfirmedCrashes_);
  if (!Proven || Job.Ended_ || Done)
    return;
  endJob(Job, work::JobState::Failed, Now, work::FailureReason::CrashesExecutors);
}

/// Ends the trial of a suspect task when its run is being stopped or the executor has survived its
/// start. Suspect tasks that the executor has survived are cleared.
void Scheduler::checkTrial(ExecutorState &Executor) {
  if (!Executor.Trial_)
    return;
  const Run &TrialRun = Executor.Runs_.at(*Executor.Trial_);
  if (TrialRun.State_ != RunState::Stopping && !hasSurvivedStart(Executor, TrialRun))
    return;
  Executor.Trial_.reset();
  PlacementDue_ = true;
  for (const auto &[Key, ActiveRun] : Executor.Runs_) {
    TrackedJob *Job = findJob(Key.first);
    if (Job == nullptr || !hasSurvivedStart(Executor, ActiveRun) ||
        !clearTask(Job->Progress_, Key.first))
      continue;
    markDirty(*Job);
    logDecision("task_cleared", Key.first, Key.second, Executor.Info_.Id_,
                "the executor has survived its start");
  }
}

} // namespace masticdrift::lead
