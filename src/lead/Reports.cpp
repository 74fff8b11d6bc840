// What executors report: runs that go on, runs that have ended, and new incarnations.
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

using detail::never;
using detail::stretched;
using fleet::OrderOutcome;

/// An executor whose run of unknown size is being stopped gets no new work for this long.
constexpr core::Millis UnknownRunRest{1500};

} // namespace

void Scheduler::onHold(std::string_view Executor, OrderOutcome Outcome, const fleet::Report &Report,
                       core::TimePoint SentAt, core::TimePoint Now) {
  const auto Host = Executors_.find(Executor);
  if (Host == Executors_.end())
    return;
  ExecutorState &At = Host->second;
  if (SentAt < At.LastHold_)
    return; // a newer request is on its way
  At.HoldOutstanding_ = false;
  Fenced_ = Fenced_ || Outcome == OrderOutcome::Fenced;
  if (Outcome != OrderOutcome::Done) {
    // A draining executor whose entry is gone and that does not answer has left; all that ran on it
    // has ended with it.
    if (!At.Listed_ && At.Info_.Draining_ && SentAt >= At.UnlistedAt_ + Times_.LeaveMargin_) {
      loseAll(At, "executor has left", Now);
      At.LeaseEnd_ = Now;
    }
    if (!At.Silent_)
      note("executor_silent", {}, 0, Executor, fleet::nameOf(Outcome));
    At.Silent_ = true;
    At.NextHold_ = Now + Times_.HoldRetry_;
    return;
  }
  if (At.Silent_ || !At.Held_)
    note("executor_answers", {}, 0, Executor, std::to_string(Report.Running_.size()));
  At.Silent_ = false;
  if (Report.IncarnationStartMs_ != 0 && At.Born_ != 0 && Report.IncarnationStartMs_ != At.Born_)
    reborn(At, Report, Now);
  if (Report.IncarnationStartMs_ != 0)
    At.Born_ = Report.IncarnationStartMs_;
  At.Held_ = true;
  At.LastAnswer_ = Now;
  At.ClockMs_ = Report.ClockMs_;
  At.ClockAt_ = Now;
  takeEnds(At, Report.Ended_, Now);
  for (const fleet::ReportedRun &Row : Report.Running_)
    takeRunning(At, Row, Now);
  settleMissing(At, Report, SentAt, Now);
  watchProgress(At, Now);
  shieldServing(At, Now);
  At.NextHold_ = Report.Ended_.empty()
                     ? Now
                     : Now + (!At.Postponed_.empty() ? Times_.UnackedHold_ : Times_.HoldSpacing_);
  PlaceDue_ = true;
}

void Scheduler::takeEnds(ExecutorState &At, std::span<const fleet::ReportedEnd> Rows,
                         core::TimePoint Now) {
  At.Postponed_.clear();
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    if (mustWaitForJob(At, Rows[I], Now)) {
      // Later ends wait too: an acknowledgement covers all before it.
      At.Postponed_.assign(Rows.begin() + static_cast<std::ptrdiff_t>(I), Rows.end());
      return;
    }
    takeEnd(At, Rows[I], Now);
  }
}

/// Executors may have told of runs of this job before it was read.
void Scheduler::settleLateJob(JobRun &Job, core::TimePoint Now) {
  for (auto &[Id, At] : Executors_) {
    std::vector<Run> Early;
    for (const auto &[Key, One] : At.Runs_)
      if (Key.first.Job_ == Job.Id_ && !One.Counted_ && stepOf(Job, Key.first) != nullptr)
        Early.push_back(One);
    for (const Run &One : Early) {
      At.Runs_.erase({One.Task_, One.Number_});
      Run &Made = addRun(At, &Job, One.Task_, One.Number_, One.State_, Now);
      Made.ConfirmedAt_ = One.ConfirmedAt_;
      Made.StoppedAt_ = One.StoppedAt_;
      Made.OrderOutstanding_ = One.OrderOutstanding_;
      Made.NextOrderAt_ = One.NextOrderAt_;
      Made.Progress_ = One.Progress_;
      Made.Checkpoint_ = One.Checkpoint_;
    }
    if (!At.Postponed_.empty())
      takeEnds(At, std::vector<fleet::ReportedEnd>(At.Postponed_), Now);
  }
}

/// An earlier leader that goes on for a while may have accepted and run a job that this one has not
/// read yet. To acknowledge the end of its run would lose it.
bool Scheduler::mustWaitForJob(ExecutorState &At, const fleet::ReportedEnd &End,
                               core::TimePoint Now) {
  if (End.SequenceNumber_ <= At.Processed_ || Jobs_.contains(End.Task_.Job_) ||
      Final_.contains(End.Task_.Job_)) {
    At.UnknownSince_ = {};
    return false;
  }
  if (never(At.UnknownSince_)) {
    At.UnknownSince_ = Now;
    note("end_of_unknown_job", End.Task_, End.Run_, At.Info_.Id_, fleet::nameOf(End.Kind_));
  }
  return Now - At.UnknownSince_ < Times_.UnknownJob_;
}

void Scheduler::takeEnd(ExecutorState &At, const fleet::ReportedEnd &End, core::TimePoint Now) {
  if (End.SequenceNumber_ <= At.Processed_)
    return;
  At.Processed_ = End.SequenceNumber_;
  note("end", End.Task_, End.Run_, At.Info_.Id_, fleet::nameOf(End.Kind_));
  if (End.Kind_ == fleet::EndKind::Done)
    At.FailedJobs_.clear();
  else if (End.Kind_ == fleet::EndKind::Failed)
    judgeFailure(At, End, Now);
  const std::size_t DirtyBefore = Dirty_.size();
  JobRun *Job = jobOf(End.Task_);
  if (Job != nullptr) {
    const auto Known = At.Runs_.find({End.Task_, End.Run_});
    if (Known != At.Runs_.end() && !End.Checkpoint_.empty())
      Known->second.Checkpoint_ = End.Checkpoint_;
    if (Known != At.Runs_.end() && End.Kind_ == fleet::EndKind::Done)
      learnRunTime(*Job, At, Known->second, Now);
    // It has ended, so nothing that follows from its end needs to stop it.
    if (Known != At.Runs_.end())
      Known->second.State_ = RunState::Stopping;
    if (!Job->Ended_)
      applyEnd(*Job, End, At.Info_.Id_, Known != At.Runs_.end(), Now);
  }
  dropRun(At, {End.Task_, End.Run_}, Now);
  const bool Durable =
      Job == nullptr || (Dirty_.size() == DirtyBefore && !Dirty_.contains(End.Task_.Job_));
  At.Unacked_.emplace_back(End.SequenceNumber_, Durable ? 0 : NextFlush_);
  // Ends that change nothing durable are acknowledged with the next request.
  while (!At.Unacked_.empty() && At.Unacked_.front().second <= Flushed_) {
    At.Seen_ = At.Unacked_.front().first;
    At.Unacked_.erase(At.Unacked_.begin());
  }
}

void Scheduler::judgeFailure(ExecutorState &At, const fleet::ReportedEnd &End,
                             core::TimePoint Now) {
  JobRun *Job = jobOf(End.Task_);
  if (Job == nullptr)
    return;
  Job->FailedOn_.insert(At.Info_.Id_);
  // A job that fails elsewhere too is at fault itself.
  if (Job->FailedOn_.size() > 1) {
    for (const std::string &Id : Job->FailedOn_)
      if (const auto Host = Executors_.find(Id); Host != Executors_.end())
        Host->second.FailedJobs_.erase(Job->Id_);
    return;
  }
  At.FailedJobs_.insert(Job->Id_);
  if (At.FailedJobs_.size() < static_cast<std::size_t>(Times_.FailedJobsToAvoid_))
    return;
  At.AvoidUntil_ = Now + Times_.AvoidFailing_;
  note("executor_avoided", End.Task_, End.Run_, At.Info_.Id_,
       std::to_string(At.FailedJobs_.size()) + " jobs failed in a row");
}

void Scheduler::applyEnd(JobRun &Job, const fleet::ReportedEnd &End, std::string_view Executor,
                         bool RunWasKnown, core::TimePoint Now) {
  const work::StepSpec &Spec = specOf(Job, End.Task_);
  TaskRun &Task = stepOf(Job, End.Task_)->Tasks_[End.Task_.Index_];
  if (End.Kind_ == fleet::EndKind::Failed) {
    Task.Avoid_ = Executor;
    // A failed run does not leave a checkpoint worth keeping.
    if (!Spec.LongRunning_)
      countFailure(Job, End.Task_, End.Run_, Now);
    return;
  }
  if (End.Kind_ != fleet::EndKind::Done || Spec.LongRunning_)
    return;
  if (!Spec.Gang_) {
    finishTask(Job, End.Task_, Now);
    if (Task.Runs_ > (RunWasKnown ? 1 : 0))
      stopCopies(End.Task_, End.Run_, Now);
    return;
  }
  work::TaskRef Member = End.Task_;
  for (Member.Index_ = 0; Member.Index_ < Spec.TaskCount_; ++Member.Index_)
    finishTask(Job, Member, Now);
}

void Scheduler::takeRunning(ExecutorState &At, const fleet::ReportedRun &Row, core::TimePoint Now) {
  const auto Found = At.Runs_.find({Row.Task_, Row.Run_});
  if (Found == At.Runs_.end()) {
    JobRun *Job = jobOf(Row.Task_);
    StepRun *Step = Job == nullptr ? nullptr : stepOf(*Job, Row.Task_);
    const bool Wanted = Job != nullptr && !Job->Ended_ &&
                        Step->Tasks_[Row.Task_.Index_].State_ == TaskState::Waiting;
    Run &Made = addRun(At, Job, Row.Task_, Row.Run_, RunState::Running, Now);
    Made.ConfirmedAt_ = Now;
    Made.Progress_.FromStart_ = false;
    observe(Made.Progress_, Row.ProgressPercent_, Now);
    Made.Checkpoint_ = Row.Checkpoint_;
    if (Job == nullptr)
      At.AvoidUntil_ = Now + UnknownRunRest;
    if (Wanted) {
      if (specOf(*Job, Row.Task_).Gang_)
        Step->GangCounter_ = std::max(Step->GangCounter_, Row.Run_);
      note("adopted", Row.Task_, Row.Run_, At.Info_.Id_, {});
    } else {
      stopRun(At, Made, "not wanted", Now);
    }
    return;
  }
  Run &Known = Found->second;
  if (never(Known.ConfirmedAt_))
    Known.ConfirmedAt_ = Now;
  Known.Unanswered_ = 0;
  if (Known.State_ == RunState::Starting)
    Known.State_ = RunState::Running;
  observe(Known.Progress_, Row.ProgressPercent_, Now);
  Known.Figure_ = Row.LoadMetric_;
  if (!Row.Checkpoint_.empty())
    Known.Checkpoint_ = Row.Checkpoint_;
}

void Scheduler::settleMissing(ExecutorState &At, const fleet::Report &Report,
                              core::TimePoint SentAt, core::TimePoint Now) {
  std::set<RunKey> There;
  for (const fleet::ReportedRun &Row : Report.Running_)
    There.insert({Row.Task_, Row.Run_});
  std::vector<RunKey> Over;
  for (const auto &[Key, One] : At.Runs_) {
    if (There.contains(Key))
      continue;
    const bool Vanished = !never(One.ConfirmedAt_) && One.ConfirmedAt_ <= SentAt;
    const bool Prevented = !never(One.StoppedAt_) && One.StoppedAt_ <= SentAt;
    if (Vanished || Prevented)
      Over.push_back(Key);
  }
  for (const RunKey &Key : Over) {
    note("run_over", Key.first, Key.second, At.Info_.Id_, "no longer listed");
    dropRun(At, Key, Now);
  }
}

void Scheduler::reborn(ExecutorState &At, const fleet::Report &Report, core::TimePoint Now) {
  note("runs_lost", {}, 0, At.Info_.Id_, "executor started again");
  At.LeaseEnd_ = std::max(At.LeaseEnd_, Now + stretched(Times_.LongestLease_, Times_.LeaseMargin_));
  std::set<RunKey> There;
  for (const fleet::ReportedRun &Row : Report.Running_)
    There.insert({Row.Task_, Row.Run_});
  for (const fleet::ReportedEnd &Row : Report.Ended_)
    There.insert({Row.Task_, Row.Run_});
  std::vector<RunKey> Over;
  At.Unsettled_ = true;
  for (auto &[Key, One] : At.Runs_) {
    One.ConfirmedAt_ = {};
    One.StoppedAt_ = {};
    if (There.contains(Key) || One.OrderOutstanding_)
      continue; // an order on its way may still reach the new incarnation
    if (One.Unanswered_ > 0)
      stopRun(At, One, "a late copy may reach the new incarnation", Now);
    else
      Over.push_back(Key);
  }
  forgetIncarnation(At);
  for (const RunKey &Key : Over) {
    note("run_over", Key.first, Key.second, At.Info_.Id_, "executor started again");
    dropRun(At, Key, Now);
  }
  preventLostStarts(At, Now);
}

/// A new incarnation does not know which runs have ended, so it would carry out a start that comes
/// late. A stop that arrives first prevents that.
void Scheduler::preventLostStarts(ExecutorState &At, core::TimePoint Now) {
  for (const auto &[Key, GivenUpAt] : std::exchange(At.LostStarts_, {}))
    if (Now - GivenUpAt < Times_.LatestOrder_ && !At.Runs_.contains(Key))
      stopRun(At, addRun(At, nullptr, Key.first, Key.second, RunState::Starting, Now),
              "a late start may reach the new incarnation", Now);
}

void Scheduler::forgetIncarnation(ExecutorState &At) {
  At.Processed_ = 0;
  At.Seen_ = 0;
  At.ClockMs_ = 0;
  At.Unacked_.clear();
  At.FailedJobs_.clear();
}

} // namespace masticdrift::lead
