// Learns run times, and moves runs that are stalled or too slow on their executor.
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>
#include <set>

namespace masticdrift::lead {

namespace {

using detail::isUnset;

/// Wait time of a hold request when no end is expected; the platform allows up to 2 s.
constexpr core::Millis MaxHoldWait{1900};
/// Wait time while a run that no report has listed is being stopped: its task waits for the next
/// report.
constexpr core::Millis PreventionHoldWait{50};
/// Wait time while an executor has yet to survive the start of a suspect task.
constexpr core::Millis TrialHoldWait{100};
/// A run is overdue when it exceeds its typical run time by this fraction.
constexpr double OverdueFraction = 0.25;
/// Number of completed runs of a step from which their mean replaces the estimate.
constexpr std::uint32_t MinCompletedRuns = 2;

std::string runTimesKey(const TrackedJob &Job, const work::StepSpec &Spec) {
  return Job.Queue_.Name_ + '/' + Spec.Image_;
}

bool runsToEnd(const work::StepSpec &Spec) { return !Spec.LongRunning_; }

/// \returns true when the run time reflects the speed of the executor. Filling tasks only get the
/// processor time that is left, and a task outside its preferred rack is slow on every executor.
bool speedIsComparable(const ExecutorState &Executor, const work::StepSpec &Spec) {
  return !Spec.BestEffort_ && (Spec.PreferredRack_.empty() ||
                               std::ranges::find(Executor.Info_.Labels_, Spec.PreferredRack_) !=
                                   Executor.Info_.Labels_.end());
}

double ratioToExpected(core::Duration RunTime, core::Millis Expected) {
  return std::chrono::duration<double, std::milli>(RunTime).count() /
         static_cast<double>(std::max<std::int64_t>(Expected.count(), 1));
}

} // namespace

std::optional<core::Millis> Scheduler::typicalRunTime(const TrackedJob &Job,
                                                      const work::TaskRef &Task) const {
  const work::StepSpec &Spec = stepSpec(Job, Task);
  const TrackedStep &Step = Job.Occurrences_[Task.Occurrence_].Steps_[Task.Step_];
  if (Step.CompletedRuns_ >= MinCompletedRuns)
    return std::chrono::duration_cast<core::Millis>(Step.CompletedRunTime_ / Step.CompletedRuns_);
  const auto Found = RunTimeRatios_.find(runTimesKey(Job, Spec));
  if (Found == RunTimeRatios_.end())
    return std::nullopt;
  const auto Ratio = trustedRatio(Found->second);
  if (!Ratio)
    return std::nullopt;
  return core::Millis(static_cast<std::int64_t>(*Ratio * static_cast<double>(Spec.EstimatedMs_)));
}

RunTimePrediction Scheduler::expectedRunTime(const TrackedJob &Job,
                                             const work::TaskRef &Task) const {
  const TrackedStep &Step = Job.Occurrences_[Task.Occurrence_].Steps_[Task.Step_];
  const core::Millis StepMean =
      Step.CompletedRuns_ == 0
          ? core::Millis(0)
          : std::chrono::duration_cast<core::Millis>(Step.CompletedRunTime_ / Step.CompletedRuns_);
  return RunTimes_.predict({Job.Queue_.Name_, Job.Acceptance_.Customer_, Task.Step_},
                           core::Millis(stepSpec(Job, Task).EstimatedMs_), StepMean,
                           Step.CompletedRuns_);
}

/// Estimates the end of a run by its progress, else by the run time of its like.
void Scheduler::updateExpectedEnd(Run &ActiveRun, core::TimePoint Now) const {
  const auto Job = Jobs_.find(ActiveRun.Task_.Job_);
  if (Job == Jobs_.end() || !ActiveRun.CountedInUse_)
    return;
  const work::StepSpec &Spec = stepSpec(Job->second, ActiveRun.Task_);
  if (!runsToEnd(Spec))
    return;
  if (const auto TimeLeft = remainingTime(ActiveRun.Progress_, Now))
    ActiveRun.ExpectedEndAt_ = Now + *TimeLeft;
  else
    ActiveRun.ExpectedEndAt_ =
        ActiveRun.Progress_.StartedAt_ + std::chrono::duration_cast<core::Duration>(
                                             expectedRunTime(Job->second, ActiveRun.Task_).Mean_ *
                                             RunTimes_.slownessOf(ActiveRun.ExecutorId_));
}

void Scheduler::recordRunTime(TrackedJob &Job, ExecutorState &Executor, const Run &EndedRun,
                              core::TimePoint Now) {
  const work::StepSpec &Spec = stepSpec(Job, EndedRun.Task_);
  if (!runsToEnd(Spec) || !EndedRun.Progress_.FromStart_ || EndedRun.PacePercent_ < 100 ||
      !speedIsComparable(Executor, Spec))
    return;
  const core::Duration RunTime = Now - EndedRun.Progress_.StartedAt_;
  if (const auto Typical = typicalRunTime(Job, EndedRun.Task_))
    addSample(Executor.Slowness_, ratioToExpected(RunTime, *Typical), Now);
  TrackedStep &Step = *findStep(Job, EndedRun.Task_);
  Step.CompletedRunTime_ += RunTime;
  ++Step.CompletedRuns_;
  RunTimes_.addRun({Job.Queue_.Name_, Job.Acceptance_.Customer_, EndedRun.Task_.Step_},
                   core::Millis(Spec.EstimatedMs_),
                   std::chrono::duration_cast<core::Millis>(RunTime), Executor.Info_.Id_);
  Executor.RunTimeFactor_ = RunTimes_.slownessOf(Executor.Info_.Id_);
  addSample(RunTimeRatios_[runTimesKey(Job, Spec)],
            ratioToExpected(RunTime, core::Millis(Spec.EstimatedMs_)));
}

/// Updates the executor's slowness and moves stalled and slow runs. A single slow run may just have
/// more work than comparable tasks; when runs of several jobs are slow, the executor is the cause.
void Scheduler::checkProgress(ExecutorState &Executor, core::TimePoint Now) {
  std::vector<std::pair<Run *, bool>> Suspects; // run, and true when it is stalled
  std::set<std::string_view> SlowJobs;
  std::size_t JudgedRuns = 0;
  std::size_t SlowRuns = 0;
  for (auto &[Key, ActiveRun] : Executor.Runs_) {
    TrackedJob *Job = findJob(ActiveRun.Task_);
    if (Job == nullptr || Job->Ended_ || ActiveRun.State_ != RunState::Running ||
        ActiveRun.PacePercent_ < 100)
      continue;
    const work::StepSpec &Spec = stepSpec(*Job, ActiveRun.Task_);
    // A long-running task reports 100 percent while it works; below that it is still starting up.
    if (Spec.BestEffort_ || (!runsToEnd(Spec) && ActiveRun.Progress_.Percent_ >= 100))
      continue;
    if (isStalled(ActiveRun.Progress_, core::Millis(Spec.EstimatedMs_), Now)) {
      Executor.AvoidUntil_ = std::max(Executor.AvoidUntil_, Now + Timing_.AvoidStalledTime_);
      Suspects.emplace_back(&ActiveRun, true);
      continue;
    }
    const auto Typical = typicalRunTime(*Job, ActiveRun.Task_);
    const auto TimeLeft = remainingTime(ActiveRun.Progress_, Now);
    if (!runsToEnd(Spec) || !speedIsComparable(Executor, Spec) || !Typical || !TimeLeft ||
        !ActiveRun.Progress_.FromStart_)
      continue;
    const double Ratio =
        ratioToExpected(Now - ActiveRun.Progress_.StartedAt_ + *TimeLeft, *Typical);
    addSample(Executor.Slowness_, Ratio, Now);
    ++JudgedRuns;
    if (Ratio < Timing_.SlowFactor_)
      continue;
    ++SlowRuns;
    SlowJobs.insert(Job->Id_);
    const MoveCandidate Move{ActiveRun.Progress_, Typical,
                             Spec.AllowDuplicates_ ? core::Millis(0) : Timing_.MoveTime_,
                             !ActiveRun.Checkpoint_.empty()};
    if (shouldMove(Move, Now))
      Suspects.emplace_back(&ActiveRun, false);
  }
  const bool ExecutorIsSlow = SlowJobs.size() >= static_cast<std::size_t>(Timing_.MinSlowJobs_) &&
                              2 * SlowRuns > JudgedRuns;
  for (const auto &[Suspect, Stalled] : Suspects)
    if (Stalled || ExecutorIsSlow)
      moveRun(Executor, *Suspect, Stalled ? "run is stalled" : "run is slow", Now);
}

void Scheduler::moveRun(ExecutorState &Executor, Run &ActiveRun, std::string_view Reason,
                        core::TimePoint Now) {
  TrackedJob &Job = *findJob(ActiveRun.Task_);
  TrackedStep &Step = *findStep(Job, ActiveRun.Task_);
  TrackedTask &Tracked = Step.Tasks_[ActiveRun.Task_.Index_];
  const work::StepSpec &Spec = stepSpec(Job, ActiveRun.Task_);
  if (Spec.Gang_ || Tracked.Moves_ >= Timing_.MaxMoves_)
    return;
  ++Tracked.Moves_;
  Tracked.AvoidExecutor_ = Executor.Info_.Id_;
  stopRun(Executor, ActiveRun,
          std::string(Reason) + " at " + std::to_string(ActiveRun.Progress_.Percent_) + "% after " +
              std::to_string(core::toMillis(Now - ActiveRun.Progress_.StartedAt_)) + " ms",
          Now);
  // A task that allows duplicates can restart before this run is known to be over.
  if (Spec.AllowDuplicates_ && Tracked.State_ == TaskState::Placed) {
    Tracked.State_ = TaskState::Waiting;
    ++Step.WaitingTasks_;
    if (!ActiveRun.Checkpoint_.empty())
      Tracked.Checkpoint_ = ActiveRun.Checkpoint_;
    PlacementDue_ = true;
  }
}

core::Millis Scheduler::holdWait(const ExecutorState &Executor, core::TimePoint Now) const {
  core::Millis Wait = Executor.Trial_ ? TrialHoldWait : MaxHoldWait;
  bool HasTarget = false;
  bool Fills = false;
  for (const auto &[Key, ActiveRun] : Executor.Runs_) {
    HasTarget = HasTarget || ActiveRun.HasResponseTarget_;
    Fills = Fills || ActiveRun.Fills_;
    if (ActiveRun.State_ == RunState::Stopping && isUnset(ActiveRun.ConfirmedAt_))
      Wait = std::min(Wait, PreventionHoldWait);
    const auto Job = Jobs_.find(ActiveRun.Task_.Job_);
    if (Job == Jobs_.end() || ActiveRun.State_ != RunState::Running) {
      Wait = std::min(Wait, Timing_.HoldWait_);
      continue;
    }
    const work::StepSpec &Spec = stepSpec(Job->second, ActiveRun.Task_);
    if (!runsToEnd(Spec) && ActiveRun.Progress_.Percent_ >= 100)
      continue;
    const auto Typical = typicalRunTime(Job->second, ActiveRun.Task_);
    const core::Millis Expected = Typical.value_or(core::Millis(Spec.EstimatedMs_));
    const core::Millis Overdue = std::chrono::duration_cast<core::Millis>(
        ActiveRun.Progress_.StartedAt_ + Expected + Expected * OverdueFraction - Now);
    Wait =
        std::min(Wait, std::max(Overdue, Typical ? Timing_.OverdueHoldWait_ : Timing_.HoldWait_));
  }
  // Reported response times matter only while a filling run shares the executor.
  return HasTarget && Fills ? std::min(Wait, Timing_.HoldWait_) : Wait;
}

} // namespace masticdrift::lead
