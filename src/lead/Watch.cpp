// Run times, and runs that are too slow where they are.
#include "masticdrift/lead/Scheduler.h"

#include <algorithm>
#include <set>

namespace masticdrift::lead {

namespace {

/// Wait of a request to an executor where no end is expected; the platform allows 2 s.
constexpr core::Millis IdleHoldWait{1900};
/// A run is overdue after this part of its typical time more.
constexpr double OverduePart = 0.25;
/// Ended tasks of a step after which they tell more than the estimate.
constexpr std::uint32_t EnoughEnded = 2;

std::string runTimesKey(const JobRun &Job, const work::StepSpec &Spec) {
  return Job.Queue_.Name_ + '/' + Spec.Image_;
}

bool ends(const work::StepSpec &Spec) { return !Spec.LongRunning_; }

/// Tasks that fill take what is left, and far from its data a task is slow on every executor.
bool paceIsItsOwn(const ExecutorState &At, const work::StepSpec &Spec) {
  return !Spec.BestEffort_ &&
         (Spec.PreferredRack_.empty() ||
          std::ranges::find(At.Info_.Labels_, Spec.PreferredRack_) != At.Info_.Labels_.end());
}

double timesOf(core::Duration Took, core::Millis Expected) {
  return std::chrono::duration<double, std::milli>(Took).count() /
         static_cast<double>(std::max<std::int64_t>(Expected.count(), 1));
}

} // namespace

std::optional<core::Millis> Scheduler::typicalTime(const JobRun &Job,
                                                   const work::TaskRef &Task) const {
  const work::StepSpec &Spec = specOf(Job, Task);
  const StepRun &Step = Job.Occurrences_[Task.Occurrence_].Steps_[Task.Step_];
  if (Step.EndedRuns_ >= EnoughEnded)
    return std::chrono::duration_cast<core::Millis>(Step.EndedTime_ / Step.EndedRuns_);
  const auto Known = RunTimes_.find(runTimesKey(Job, Spec));
  if (Known == RunTimes_.end())
    return std::nullopt;
  const auto Ratio = ratioOf(Known->second);
  if (!Ratio)
    return std::nullopt;
  return core::Millis(static_cast<std::int64_t>(*Ratio * static_cast<double>(Spec.EstimatedMs_)));
}

void Scheduler::learnRunTime(JobRun &Job, ExecutorState &At, const Run &Ended,
                             core::TimePoint Now) {
  const work::StepSpec &Spec = specOf(Job, Ended.Task_);
  if (!ends(Spec) || !Ended.Progress_.FromStart_ || Ended.Pace_ < 100 || !paceIsItsOwn(At, Spec))
    return;
  const core::Duration Took = Now - Ended.Progress_.StartedAt_;
  if (const auto Typical = typicalTime(Job, Ended.Task_))
    observe(At.Slowness_, timesOf(Took, *Typical), Now);
  StepRun &Step = *stepOf(Job, Ended.Task_);
  Step.EndedTime_ += Took;
  ++Step.EndedRuns_;
  observe(RunTimes_[runTimesKey(Job, Spec)], timesOf(Took, core::Millis(Spec.EstimatedMs_)));
}

/// Judges what runs on an executor. A run that is slow alone may just be longer than its like; when
/// runs of several jobs are slow, the executor is.
void Scheduler::watchProgress(ExecutorState &At, core::TimePoint Now) {
  std::vector<std::pair<Run *, bool>> Suspects; // true for a run that stands still
  std::set<std::string_view> SlowJobs;
  std::size_t Judged = 0;
  std::size_t Slow = 0;
  for (auto &[Key, One] : At.Runs_) {
    JobRun *Job = jobOf(One.Task_);
    if (Job == nullptr || Job->Ended_ || One.State_ != RunState::Running || One.Pace_ < 100)
      continue;
    const work::StepSpec &Spec = specOf(*Job, One.Task_);
    // Tasks that last are at work at 100 percent; before that they start up like any other.
    if (Spec.BestEffort_ || (!ends(Spec) && One.Progress_.Percent_ >= 100))
      continue;
    if (standsStill(One.Progress_, core::Millis(Spec.EstimatedMs_), Now)) {
      At.AvoidUntil_ = std::max(At.AvoidUntil_, Now + Times_.AvoidStill_);
      Suspects.emplace_back(&One, true);
      continue;
    }
    const auto Typical = typicalTime(*Job, One.Task_);
    const auto Left = remaining(One.Progress_, Now);
    if (!ends(Spec) || !paceIsItsOwn(At, Spec) || !Typical || !Left || !One.Progress_.FromStart_)
      continue;
    const double Times = timesOf(Now - One.Progress_.StartedAt_ + *Left, *Typical);
    observe(At.Slowness_, Times, Now);
    ++Judged;
    if (Times < Times_.SlowFactor_)
      continue;
    ++Slow;
    SlowJobs.insert(Job->Id_);
    const Watched What{One.Progress_, Typical,
                       Spec.AllowDuplicates_ ? core::Millis(0) : Times_.MoveTime_,
                       !One.Checkpoint_.empty()};
    if (shouldMove(What, Now))
      Suspects.emplace_back(&One, false);
  }
  const bool ExecutorIsSlow =
      SlowJobs.size() >= static_cast<std::size_t>(Times_.SlowJobsToMove_) && 2 * Slow > Judged;
  for (const auto &[Which, Still] : Suspects)
    if (Still || ExecutorIsSlow)
      moveRun(At, *Which, Still ? "stands still" : "too slow", Now);
}

void Scheduler::moveRun(ExecutorState &At, Run &Which, std::string_view Why, core::TimePoint Now) {
  JobRun &Job = *jobOf(Which.Task_);
  StepRun &Step = *stepOf(Job, Which.Task_);
  TaskRun &Task = Step.Tasks_[Which.Task_.Index_];
  const work::StepSpec &Spec = specOf(Job, Which.Task_);
  if (Spec.Gang_ || Task.Moves_ >= Times_.MostMoves_)
    return;
  ++Task.Moves_;
  Task.Avoid_ = At.Info_.Id_;
  stopRun(At, Which,
          std::string(Why) + " at " + std::to_string(Which.Progress_.Percent_) + "% after " +
              std::to_string(core::toMillis(Now - Which.Progress_.StartedAt_)) + " ms",
          Now);
  // A task that allows copies need not wait until this run is known to be over.
  if (Spec.AllowDuplicates_ && Task.State_ == TaskState::Placed) {
    Task.State_ = TaskState::Waiting;
    ++Step.Waiting_;
    if (!Which.Checkpoint_.empty())
      Task.Checkpoint_ = Which.Checkpoint_;
    PlaceDue_ = true;
  }
}

void Scheduler::stopCopies(const work::TaskRef &Task, std::uint64_t Ended, core::TimePoint Now) {
  for (auto &[Id, At] : Executors_)
    for (auto &[Key, One] : At.Runs_)
      if (One.Task_ == Task && One.Number_ != Ended)
        stopRun(At, One, "another copy has ended", Now);
}

core::Millis Scheduler::holdWaitOf(const ExecutorState &At, core::TimePoint Now) const {
  core::Millis Wait = IdleHoldWait;
  bool Serves = false;
  bool Fills = false;
  for (const auto &[Key, One] : At.Runs_) {
    Serves = Serves || One.Serves_;
    Fills = Fills || One.Fills_;
    const auto Job = Jobs_.find(One.Task_.Job_);
    if (Job == Jobs_.end() || One.State_ != RunState::Running) {
      Wait = std::min(Wait, Times_.HoldWait_);
      continue;
    }
    const work::StepSpec &Spec = specOf(Job->second, One.Task_);
    if (!ends(Spec) && One.Progress_.Percent_ >= 100)
      continue;
    const auto Typical = typicalTime(Job->second, One.Task_);
    const core::Millis Expected = Typical.value_or(core::Millis(Spec.EstimatedMs_));
    const core::Millis Overdue = std::chrono::duration_cast<core::Millis>(
        One.Progress_.StartedAt_ + Expected + Expected * OverduePart - Now);
    Wait = std::min(Wait, std::max(Overdue, Typical ? Times_.OverdueHoldWait_ : Times_.HoldWait_));
  }
  // Figures of serving tasks are acted on only where something fills beside them.
  return Serves && Fills ? std::min(Wait, Times_.HoldWait_) : Wait;
}

} // namespace masticdrift::lead
