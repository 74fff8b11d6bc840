// Executors, their leases and the runs on them.
#include "masticdrift/lead/Scheduler.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

using fleet::OrderOutcome;

/// Response times above this part of the target slow filling runs down.
constexpr double ServingAlarm = 0.75;
/// Response times below this part of the target let filling runs speed up again.
constexpr double ServingCalm = 0.45;
constexpr int PaceStep = 25; ///< percent
constexpr core::Millis PaceRest{1000};
/// An executor whose run of unknown size is being stopped gets no new work for this long.
constexpr core::Millis UnknownRunRest{1500};
/// Rest of an executor that left a start order unanswered; lists tell within this time whether it
/// is there.
constexpr core::Millis UnansweredRest{300};
/// Rest of an executor that refused an order.
constexpr core::Millis RefusalRest{1000};
/// Added to the end of a lease for time that an order spends on its way.
constexpr core::Millis LeaseSlack{250};

core::Duration stretched(core::Millis Lease, double Margin) {
  return std::chrono::duration_cast<core::Duration>(Lease * Margin) + LeaseSlack;
}

bool never(core::TimePoint At) { return At == core::TimePoint{}; }

} // namespace

void Scheduler::onExecutor(const fleet::ExecutorInfo &Info, core::TimePoint Now) {
  const bool Known = Executors_.contains(Info.Id_);
  ExecutorState &At = Executors_[Info.Id_];
  if (!Known) {
    At.Slot_ = static_cast<std::uint32_t>(BySlot_.size());
    BySlot_.push_back(&At);
    At.LeaseEnd_ = TermStart_ + stretched(Times_.Lease_, Times_.LeaseMargin_) + Times_.StaleLeader_;
    At.NextHold_ = Now;
    At.Born_ = Info.Born_;
  }
  if (Known && Info.Born_ > At.Born_ && At.Born_ != 0 && At.Held_) {
    // Only its own lists tell which orders have reached the new incarnation.
    note("executor_reborn", {}, 0, Info.Id_, "the list shows a new incarnation");
    At.Held_ = false;
    At.HoldOutstanding_ = false;
    At.NextHold_ = Now;
  }
  if (Info.Draining_ && never(At.DrainEnd_)) {
    At.DrainEnd_ = Now + core::Millis(Info.DrainRemainingMs_);
    note("executor_draining", {}, 0, Info.Id_, std::to_string(Info.DrainRemainingMs_));
  } else if (!Info.Draining_) {
    At.DrainEnd_ = {};
  }
  At.Info_ = Info;
  At.Listed_ = true;
  PlaceDue_ = true;
}

void Scheduler::onExecutorGone(std::string_view Id, core::TimePoint Now) {
  const auto Found = Executors_.find(Id);
  if (Found == Executors_.end() || !Found->second.Listed_)
    return;
  Found->second.Listed_ = false;
  Found->second.UnlistedAt_ = Now;
}

std::int64_t Scheduler::untilOf(const ExecutorState &At, core::TimePoint Now) const {
  return At.ClockMs_ + core::toMillis(Now - At.ClockAt_) + Times_.Lease_.count();
}

void Scheduler::renewed(ExecutorState &At, core::TimePoint Now) {
  At.LeaseEnd_ = std::max(At.LeaseEnd_, Now + stretched(Times_.Lease_, Times_.LeaseMargin_));
}

Run &Scheduler::addRun(ExecutorState &At, JobRun *Job, const work::TaskRef &Task,
                       std::uint64_t Number, RunState State, core::TimePoint Now) {
  Run &Made = At.Runs_[{Task, Number}];
  Made.Task_ = Task;
  Made.Number_ = Number;
  Made.Executor_ = At.Info_.Id_;
  Made.State_ = State;
  Made.OrderedAt_ = Now;
  Made.Progress_.StartedAt_ = Now;
  if (Job == nullptr)
    return Made;
  const work::StepSpec &Spec = specOf(*Job, Task);
  Made.Counted_ = true;
  Made.Need_ = Spec.Need_;
  Made.Fills_ = Spec.Fills_;
  Made.Serves_ = Spec.TargetMs_ > 0;
  Made.TargetMs_ = Spec.TargetMs_;
  Made.Customer_ = Job->What_.Customer_;
  At.Used_ += Made.Need_;
  if (Made.Fills_) {
    At.Used_.MilliCores_ -= Made.Need_.MilliCores_;
    At.FillMilliCores_ += Made.Need_.MilliCores_;
  }
  UsedBy_[Made.Customer_] += Made.Need_;
  StepRun &Step = *stepOf(*Job, Task);
  TaskRun &Which = Step.Tasks_[Task.Index_];
  ++Job->Runs_;
  ++Which.Runs_;
  ++Step.PerExecutor_[At.Slot_];
  if (Which.State_ == TaskState::Waiting) {
    Which.State_ = TaskState::Placed;
    --Step.Waiting_;
  }
  return Made;
}

void Scheduler::dropRun(ExecutorState &At, const RunKey &Which, core::TimePoint Now) {
  const auto Found = At.Runs_.find(Which);
  if (Found == At.Runs_.end())
    return;
  const Run Old = std::move(Found->second);
  At.Runs_.erase(Found);
  PlaceDue_ = true;
  JobRun *Job = jobOf(Old.Task_);
  if (Job == nullptr || !Old.Counted_)
    return;
  At.Used_ -= Old.Need_;
  if (Old.Fills_) {
    At.Used_.MilliCores_ += Old.Need_.MilliCores_;
    At.FillMilliCores_ -= Old.Need_.MilliCores_;
  }
  UsedBy_[Old.Customer_] -= Old.Need_;
  StepRun &Step = *stepOf(*Job, Old.Task_);
  TaskRun &Task = Step.Tasks_[Old.Task_.Index_];
  --Job->Runs_;
  --Task.Runs_;
  --Step.PerExecutor_[At.Slot_];
  if (!Old.Checkpoint_.empty())
    Task.Checkpoint_ = Old.Checkpoint_;
  if (Task.State_ != TaskState::Placed || Task.Runs_ > 0)
    return;
  Task.State_ = TaskState::Waiting;
  ++Step.Waiting_;
  if (specOf(*Job, Old.Task_).Gang_ && !Job->Ended_)
    stopStep(*Job, Old.Task_, "gang is not complete", Now);
}

void Scheduler::orderStart(ExecutorState &At, Run &Which, core::TimePoint Now) {
  Which.OrderOutstanding_ = true;
  Which.Order_.UntilMs_ = untilOf(At, Now);
  renewed(At, Now);
  ++StartsOnTheWay_;
  Out_.Start_(At.Info_, Which.Order_);
}

void Scheduler::orderStop(ExecutorState &At, Run &Which, core::TimePoint) {
  Which.OrderOutstanding_ = true;
  Out_.Stop_(At.Info_, {Which.Task_, Which.Number_});
}

void Scheduler::stopRun(ExecutorState &At, Run &Which, std::string_view Why, core::TimePoint Now) {
  if (Which.State_ == RunState::Stopping)
    return;
  Which.State_ = RunState::Stopping;
  Which.NextOrderAt_ = Now;
  At.Unsettled_ = true;
  note("stop", Which.Task_, Which.Number_, At.Info_.Id_, Why);
  if (!Which.OrderOutstanding_)
    orderStop(At, Which, Now);
}

void Scheduler::stopAllOf(JobRun &Job, std::string_view Why, core::TimePoint Now) {
  if (Job.Runs_ == 0)
    return;
  for (auto &[Id, At] : Executors_)
    for (auto &[Key, One] : At.Runs_)
      if (One.Task_.Job_ == Job.Id_)
        stopRun(At, One, Why, Now);
}

void Scheduler::stopStep(JobRun &Job, const work::TaskRef &Task, std::string_view Why,
                         core::TimePoint Now) {
  for (auto &[Id, At] : Executors_)
    for (auto &[Key, One] : At.Runs_)
      if (One.Task_.Job_ == Job.Id_ && One.Task_.Occurrence_ == Task.Occurrence_ &&
          One.Task_.Step_ == Task.Step_)
        stopRun(At, One, Why, Now);
}

void Scheduler::onStarted(std::string_view Executor, const RunKey &Which, OrderOutcome Outcome,
                          std::int64_t ClockMs, core::TimePoint Now) {
  // Placement stops at the limit and goes on as soon as there is room below it.
  PlaceDue_ = PlaceDue_ || StartsOnTheWay_ >= Times_.StartsOnTheWay_;
  --StartsOnTheWay_;
  const auto Host = Executors_.find(Executor);
  if (Host == Executors_.end())
    return;
  ExecutorState &At = Host->second;
  Fenced_ = Fenced_ || Outcome == OrderOutcome::Fenced;
  const auto Found = At.Runs_.find(Which);
  if (Found == At.Runs_.end())
    return;
  Run &Started = Found->second;
  Started.OrderOutstanding_ = false;
  if (Outcome == OrderOutcome::NoAnswer)
    At.LostStarts_.emplace_back(Which, Now);
  At.Unsettled_ =
      At.Unsettled_ || Outcome != OrderOutcome::Done || Started.State_ != RunState::Starting;
  if (Outcome != OrderOutcome::Done)
    note("start_result", Which.first, Which.second, Executor, fleet::nameOf(Outcome));
  // A list can confirm the run while a repeated order is on its way. What becomes of that order
  // says nothing about the run then; the lists do.
  if (Outcome != OrderOutcome::Done && !never(Started.ConfirmedAt_))
    return;
  switch (Outcome) {
  case OrderOutcome::Done:
    Started.Unanswered_ = 0;
    // The order may have waited on its way, which says nothing about the executor.
    if (never(Started.ConfirmedAt_))
      Started.Progress_.StartedAt_ = Now;
    Started.ConfirmedAt_ = Now;
    if (ClockMs > 0 && ClockMs >= At.ClockMs_) {
      At.ClockMs_ = ClockMs;
      At.ClockAt_ = Now;
    }
    if (Started.State_ == RunState::Starting)
      Started.State_ = RunState::Running;
    if (JobRun *Job = jobOf(Which.first);
        Job != nullptr && Job->Progress_.State_ == work::JobState::Queued) {
      Job->Progress_.State_ = work::JobState::Running;
      markDirty(*Job);
    }
    return;
  case OrderOutcome::Fenced:
    return;
  case OrderOutcome::NoAnswer:
    ++Started.Unanswered_;
    Started.NextOrderAt_ = Now + Times_.OrderRetry_;
    At.AvoidUntil_ = std::max(At.AvoidUntil_, Now + UnansweredRest);
    return;
  case OrderOutcome::Superseded:
    // An unanswered copy may have started the run and the run may have ended. It can't start any
    // more, so the next lists tell what became of it.
    Started.State_ = RunState::Stopping;
    Started.StoppedAt_ = Now;
    return;
  case OrderOutcome::TicketInvalid:
    if (JobRun *Job = jobOf(Which.first))
      stepOf(*Job, Which.first)->Advice_[At.Slot_].ValidUntil_ = {};
    break;
  case OrderOutcome::LeaseOver:
    At.Held_ = false;
    At.NextHold_ = Now;
    break;
  default:
    At.AvoidUntil_ = Now + RefusalRest;
    break;
  }
  // An earlier copy of the order may still be carried out; only a stop settles that.
  if (Started.Unanswered_ > 0)
    stopRun(At, Started, "refused after an unanswered start", Now);
  else
    dropRun(At, Which, Now);
}

void Scheduler::onStopped(std::string_view Executor, const RunKey &Which, OrderOutcome Outcome,
                          core::TimePoint Now) {
  const auto Host = Executors_.find(Executor);
  if (Host == Executors_.end())
    return;
  ExecutorState &At = Host->second;
  Fenced_ = Fenced_ || Outcome == OrderOutcome::Fenced;
  const auto Found = At.Runs_.find(Which);
  if (Found == At.Runs_.end())
    return;
  Found->second.OrderOutstanding_ = false;
  if (Outcome == OrderOutcome::Done) {
    Found->second.StoppedAt_ = Now;
    return;
  }
  At.Unsettled_ = true;
  Found->second.NextOrderAt_ = Now + Times_.HoldRetry_;
  note("stop_result", Which.first, Which.second, Executor, fleet::nameOf(Outcome));
}

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
  if (Report.Born_ != 0 && At.Born_ != 0 && Report.Born_ != At.Born_)
    reborn(At, Report, Now);
  if (Report.Born_ != 0)
    At.Born_ = Report.Born_;
  At.Held_ = true;
  At.LastAnswer_ = Now;
  At.ClockMs_ = Report.ClockMs_;
  At.ClockAt_ = Now;
  takeEnds(At, Report.Ended_, Now);
  for (const fleet::RunningRow &Row : Report.Running_)
    takeRunning(At, Row, Now);
  settleMissing(At, Report, SentAt, Now);
  watchProgress(At, Now);
  shieldServing(At, Now);
  At.NextHold_ = Report.Ended_.empty()
                     ? Now
                     : Now + (!At.Postponed_.empty() ? Times_.UnackedHold_ : Times_.HoldSpacing_);
  PlaceDue_ = true;
}

void Scheduler::takeEnds(ExecutorState &At, std::span<const fleet::EndRow> Rows,
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
      takeEnds(At, std::vector<fleet::EndRow>(At.Postponed_), Now);
  }
}

/// An earlier leader that goes on for a while may have accepted and run a job that this one has not
/// read yet. To acknowledge the end of its run would lose it.
bool Scheduler::mustWaitForJob(ExecutorState &At, const fleet::EndRow &End, core::TimePoint Now) {
  if (End.Number_ <= At.Processed_ || Jobs_.contains(End.Task_.Job_) ||
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

void Scheduler::takeEnd(ExecutorState &At, const fleet::EndRow &End, core::TimePoint Now) {
  if (End.Number_ <= At.Processed_)
    return;
  At.Processed_ = End.Number_;
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
      applyEnd(*Job, End, At.Info_.Id_, Now);
  }
  dropRun(At, {End.Task_, End.Run_}, Now);
  const bool Durable =
      Job == nullptr || (Dirty_.size() == DirtyBefore && !Dirty_.contains(End.Task_.Job_));
  At.Unacked_.emplace_back(End.Number_, Durable ? 0 : NextFlush_);
  // Ends that change nothing durable are acknowledged with the next request.
  while (!At.Unacked_.empty() && At.Unacked_.front().second <= Flushed_) {
    At.Seen_ = At.Unacked_.front().first;
    At.Unacked_.erase(At.Unacked_.begin());
  }
}

void Scheduler::judgeFailure(ExecutorState &At, const fleet::EndRow &End, core::TimePoint Now) {
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

void Scheduler::applyEnd(JobRun &Job, const fleet::EndRow &End, std::string_view Executor,
                         core::TimePoint Now) {
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
    if (Task.Runs_ > 1)
      stopCopies(End.Task_, End.Run_, Now);
    return;
  }
  work::TaskRef Member = End.Task_;
  for (Member.Index_ = 0; Member.Index_ < Spec.Count_; ++Member.Index_)
    finishTask(Job, Member, Now);
}

void Scheduler::takeRunning(ExecutorState &At, const fleet::RunningRow &Row, core::TimePoint Now) {
  const auto Found = At.Runs_.find({Row.Task_, Row.Run_});
  if (Found == At.Runs_.end()) {
    JobRun *Job = jobOf(Row.Task_);
    StepRun *Step = Job == nullptr ? nullptr : stepOf(*Job, Row.Task_);
    const bool Wanted = Job != nullptr && !Job->Ended_ &&
                        Step->Tasks_[Row.Task_.Index_].State_ == TaskState::Waiting;
    Run &Made = addRun(At, Job, Row.Task_, Row.Run_, RunState::Running, Now);
    Made.ConfirmedAt_ = Now;
    Made.Progress_.FromStart_ = false;
    observe(Made.Progress_, Row.Percent_, Now);
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
  observe(Known.Progress_, Row.Percent_, Now);
  Known.Figure_ = Row.Figure_;
  if (!Row.Checkpoint_.empty())
    Known.Checkpoint_ = Row.Checkpoint_;
}

void Scheduler::settleMissing(ExecutorState &At, const fleet::Report &Report,
                              core::TimePoint SentAt, core::TimePoint Now) {
  std::set<RunKey> There;
  for (const fleet::RunningRow &Row : Report.Running_)
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
  for (const fleet::RunningRow &Row : Report.Running_)
    There.insert({Row.Task_, Row.Run_});
  for (const fleet::EndRow &Row : Report.Ended_)
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

void Scheduler::loseAll(ExecutorState &At, std::string_view Why, core::TimePoint Now) {
  note("runs_lost", {}, 0, At.Info_.Id_, Why);
  while (!At.Runs_.empty()) {
    const RunKey Key = At.Runs_.begin()->first;
    note("run_over", Key.first, Key.second, At.Info_.Id_, Why);
    dropRun(At, Key, Now);
  }
  At.Held_ = false;
  At.Used_ = {};
  At.FillMilliCores_ = 0;
  At.NextHold_ = Now;
}

void Scheduler::tickExecutor(ExecutorState &At, core::TimePoint Now) {
  std::erase_if(At.LostStarts_,
                [&](const auto &One) { return Now - One.second >= Times_.LatestOrder_; });
  if ((At.Silent_ || !At.Held_) && Now >= At.LeaseEnd_ && !At.Runs_.empty())
    loseAll(At, "lease lapsed", Now);
  if (!never(At.DrainEnd_))
    drain(At, Now);
  if (At.Unsettled_) {
    At.Unsettled_ = false;
    for (auto &[Key, One] : At.Runs_)
      At.Unsettled_ = tickRun(At, One, Now) || At.Unsettled_;
  }
  if (At.HoldOutstanding_ || Now < At.NextHold_)
    return;
  const bool Waiting = !At.Unacked_.empty();
  if (Waiting && Now - At.LastHold_ < Times_.UnackedHold_)
    return;
  // A silent executor is only looked at: each order with a lease end would put off the time when
  // its runs are surely over.
  const bool Renew = At.Held_ && !At.Silent_;
  core::Millis Wait = holdWaitOf(At, Now);
  if (!Renew || Waiting)
    Wait = core::Millis(0);
  At.HoldOutstanding_ = true;
  At.LastHold_ = Now;
  if (Renew)
    renewed(At, Now);
  // After a silence another incarnation may answer, whose ends are numbered anew.
  Out_.Hold_(At.Info_, Renew ? At.Seen_ : 0, Renew ? untilOf(At, Now) : 0, Wait);
}

bool Scheduler::tickRun(ExecutorState &At, Run &Which, core::TimePoint Now) {
  const bool Unsettled = Which.State_ == RunState::Stopping
                             ? never(Which.StoppedAt_)
                             : Which.State_ == RunState::Starting && Which.Unanswered_ > 0;
  if (!Unsettled || Which.OrderOutstanding_ || Now < Which.NextOrderAt_)
    return Unsettled;
  if (Which.State_ == RunState::Stopping)
    orderStop(At, Which, Now);
  else if (Which.Unanswered_ >= Times_.StartAttempts_)
    stopRun(At, Which, "start was not answered", Now);
  else if (!At.Silent_)
    orderStart(At, Which, Now);
  return true;
}

void Scheduler::drain(ExecutorState &At, core::TimePoint Now) {
  const auto Left = At.DrainEnd_ - Now - Times_.DrainMargin_;
  for (auto &[Key, One] : At.Runs_) {
    const JobRun *Job = jobOf(One.Task_);
    if (Job == nullptr || never(One.ConfirmedAt_))
      continue;
    const auto Elapsed = Now - One.ConfirmedAt_;
    const int Percent = One.Progress_.Percent_;
    const auto Remaining = Percent > 0 ? Elapsed * (100 - Percent) / Percent : core::Duration(0);
    const bool NeverEnds = specOf(*Job, One.Task_).LongRunning_;
    if (NeverEnds || Left <= core::Duration(0) || Remaining > Left)
      stopRun(At, One, "executor is draining", Now);
  }
}

void Scheduler::shieldServing(ExecutorState &At, core::TimePoint Now) {
  double Worst = -1;
  for (const auto &[Key, One] : At.Runs_)
    if (One.Serves_)
      Worst = std::max(Worst, One.Figure_ / static_cast<double>(One.TargetMs_));
  if (Worst < 0 || Out_.Pace_ == nullptr)
    return;
  const bool Faster = Worst < ServingCalm && Now - At.PacedAt_ >= PaceRest;
  if (!Faster && Worst <= ServingAlarm)
    return;
  for (auto &[Key, One] : At.Runs_) {
    const int Pace = Faster ? std::min(100, One.Pace_ + PaceStep) : 0;
    if (!One.Fills_ || Pace == One.Pace_ || One.State_ != RunState::Running)
      continue;
    One.Pace_ = Pace;
    At.PacedAt_ = Now;
    note("pace", One.Task_, One.Number_, At.Info_.Id_, std::to_string(Pace));
    Out_.Pace_(At.Info_, Key, Pace);
  }
}

std::vector<fleet::ExecutorInfo> Scheduler::unlisted() const {
  std::vector<fleet::ExecutorInfo> Out;
  for (const auto &[Id, At] : Executors_)
    if (!At.Listed_ && !At.Runs_.empty())
      Out.push_back(At.Info_);
  return Out;
}

void Scheduler::updateAccounted(core::TimePoint Now) {
  if (Accounted_)
    return;
  const bool Bound =
      Now >= TermStart_ + stretched(Times_.Lease_, Times_.LeaseMargin_) + Times_.StaleLeader_;
  const bool ListComplete = !FreshList_ || Now >= TermStart_ + Times_.ListSettles_;
  const bool AllHeld = !Executors_.empty() && std::ranges::all_of(Executors_, [](const auto &One) {
    return One.second.Held_;
  });
  if (!Bound && !(ListComplete && AllHeld))
    return;
  Accounted_ = true;
  PlaceDue_ = true;
  note("accounted", {}, 0, {}, Bound && !AllHeld ? "leases have lapsed" : "all executors answered");
}

} // namespace masticdrift::lead
