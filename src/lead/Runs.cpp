// Executors, their leases, and the start and stop orders of their runs.
#include "masticdrift/lead/Capacity.h"
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>
#include <limits>

namespace masticdrift::lead {

namespace {

using detail::isUnset;
using detail::leaseUpperBound;
using fleet::OrderOutcome;

/// Filling runs are paused (0 percent) when a response time exceeds this fraction of its target.
constexpr double SlowDownFraction = 0.75;
/// Filling runs speed up again when all response times are below this fraction of their targets.
constexpr double SpeedUpFraction = 0.45;
constexpr int PaceStepPercent = 25;
/// Minimum time between a change of the pace and the next increase.
constexpr core::Millis MinPaceInterval{1000};
/// An executor that did not answer a start order gets no new runs for this long; by then its
/// reports show whether the run was started.
constexpr core::Millis AvoidAfterNoAnswer{300};
/// An executor that refused an order gets no new runs for this long.
constexpr core::Millis AvoidAfterRefusal{1000};

/// \returns true when a start order got no answer and the executor has not answered since.
bool hasUnansweredStart(const ExecutorState &Executor) {
  return std::ranges::any_of(Executor.Runs_, [&](const auto &Entry) {
    const Run &Ordered = Entry.second;
    return Ordered.State_ == RunState::Starting && Ordered.UnansweredStarts_ > 0 &&
           Ordered.OrderSentAt_ >= Executor.LastAnswerAt_;
  });
}

/// \returns the reason for giving up the runs of an executor, with the ages of what is known of it.
std::string describeLapse(const ExecutorState &Executor, core::TimePoint Now) {
  const auto AgeOf = [Now](core::TimePoint Time) {
    return isUnset(Time) ? std::string("never")
                         : std::to_string(core::toMillis(Now - Time)) + " ms ago";
  };
  return "lease lapsed, last answer " + AgeOf(Executor.LastAnswerAt_) + ", last lease ended " +
         AgeOf(Executor.GrantedUntil_);
}

} // namespace

void Scheduler::onExecutor(const fleet::ExecutorInfo &Info, core::TimePoint Now) {
  const bool WasKnown = Executors_.contains(Info.Id_);
  ExecutorState &Executor = Executors_[Info.Id_];
  if (!WasKnown) {
    Executor.Ordinal_ = static_cast<std::uint32_t>(ByOrdinal_.size());
    ByOrdinal_.push_back(&Executor);
    Executor.LeaseEnd_ = TermStart_ + leaseUpperBound(Timing_.Lease_, Timing_.ClockRateMargin_) +
                         Timing_.StaleLeaderTime_;
    Executor.NextHoldAt_ = Now;
    Executor.Incarnation_ = Info.IncarnationStartMs_;
    onExecutorReplaced(Info.Address_, Info.Id_, Now);
  }
  if (WasKnown && Info.IncarnationStartMs_ > Executor.Incarnation_ && Executor.Incarnation_ != 0 &&
      Executor.Reported_) {
    // Only the executor's own reports show which orders have reached the new incarnation.
    onUnmetIncarnation(Executor, "the executor list shows a new incarnation", Now);
  }
  if (WasKnown && Executor.Info_.Address_ != Info.Address_)
    Executor.Recorded_ = false;
  if (Info.Draining_)
    Unrecorded_.erase(Info.Id_); // gets no starts
  else if (!Executor.Recorded_)
    Unrecorded_[Info.Id_] = Info.Address_;
  if (Info.Draining_ && isUnset(Executor.DrainEnd_)) {
    Executor.DrainEnd_ = Now + core::Millis(Info.DrainRemainingMs_);
    logDecision("executor_draining", {}, 0, Info.Id_, std::to_string(Info.DrainRemainingMs_));
  } else if (!Info.Draining_) {
    Executor.DrainEnd_ = {};
  }
  if (WasKnown && Executor.Info_.Capacity_ != Info.Capacity_)
    logDecision("capacity_changed", {}, 0, Info.Id_,
                describeCapacityChange(Executor, Info.Capacity_));
  Executor.Info_ = Info;
  Executor.Listed_ = true;
  updatePlace(Executor, Now);
  Capacities_.add(Info.Pool_, Info.Labels_, Info.Capacity_);
  noteChange(Executor);
  PlacementDue_ = true;
}

void Scheduler::onExecutorGone(std::string_view Id) {
  const auto Found = Executors_.find(Id);
  if (Found == Executors_.end() || !Found->second.Listed_)
    return;
  Found->second.Listed_ = false;
  noteChange(Found->second);
}

void Scheduler::onInheritedExecutor(std::string_view Id, std::string_view Address) {
  if (const auto Found = Executors_.find(Id); Found != Executors_.end())
    Found->second.InheritedRuns_ = true;
  onExecutorRecorded(Id, Address);
}

bool Scheduler::belongsInRoster(std::string_view ExecutorId) const {
  const auto Found = Executors_.find(ExecutorId);
  return Found != Executors_.end() && (Found->second.Recorded_ || Unrecorded_.contains(ExecutorId));
}

/// Takes a draining executor out of the roster when it has no runs and the effects of their ends
/// are durable, so that a later leader does not wait for its answer after it has left. It is
/// recorded again if it stops draining.
void Scheduler::releaseDrained(ExecutorState &Executor) {
  if (Executor.Info_.Draining_ && Executor.Reported_ && Executor.Runs_.empty() &&
      Executor.OpenStarts_.empty() && Executor.UnackedEnds_.empty())
    Executor.Recorded_ = false;
}

void Scheduler::onExecutorRecorded(std::string_view Id, std::string_view Address) {
  const auto Found = Executors_.find(Id);
  if (Found == Executors_.end() || Found->second.Info_.Address_ != Address)
    return;
  Found->second.Recorded_ = true;
  noteChange(Found->second);
  Unrecorded_.erase(Found->first);
  PlacementDue_ = true;
}

void Scheduler::onHeartbeatStored(core::TimePoint SentAt) {
  ConfirmedAt_ = std::max(ConfirmedAt_, SentAt);
  NextSweepAt_ = {}; // leases may be over by it
}

/// A later leader may start the tasks of an executor that it does not reach once all leases of this
/// leader have lapsed, which it derives from the beginning of its own term.
core::TimePoint Scheduler::leaseLimit() const {
  return ConfirmedAt_ + Timing_.StaleLeaderTime_ + Timing_.Lease_;
}

std::int64_t Scheduler::grantLease(ExecutorState &Executor, core::TimePoint Now) {
  Executor.GrantedUntil_ = std::min<core::TimePoint>(Now + Timing_.Lease_, leaseLimit());
  Executor.GrantedUntilMs_ =
      Executor.ClockMs_ + core::toMillis(Executor.GrantedUntil_ - Executor.ClockReadAt_);
  extendLeaseEnd(Executor, Now - Executor.ClockLag_);
  return Executor.GrantedUntilMs_;
}

void Scheduler::extendLeaseEnd(ExecutorState &Executor, core::TimePoint Now) {
  Executor.LeaseEnd_ =
      std::max(Executor.LeaseEnd_, Now + leaseUpperBound(Timing_.Lease_, Timing_.ClockRateMargin_));
  EndsHidden_ = EndsHidden_ || Executor.ReportFull_;
  if (Executor.Silent_)
    noteRoomChange(Executor);
}

bool Scheduler::awaitsHeartbeat(core::TimePoint Now) const {
  return std::ranges::any_of(Executors_, [&](const auto &Entry) {
    const ExecutorState &Executor = Entry.second;
    return (Executor.Silent_ || !Executor.Reported_) && !Executor.Runs_.empty() &&
           ConfirmedAt_ < Executor.LeaseEnd_ && Now >= Executor.LeaseEnd_;
  });
}

Run &Scheduler::addRun(ExecutorState &Executor, TrackedJob *Job, const work::TaskRef &Task,
                       std::uint64_t Number, RunState State, core::TimePoint Now) {
  Run &NewRun = Executor.Runs_[{Task, Number}];
  NewRun.Task_ = Task;
  NewRun.Number_ = Number;
  NewRun.ExecutorId_ = Executor.Info_.Id_;
  NewRun.State_ = State;
  NewRun.OrderedAt_ = Now;
  NewRun.Progress_.StartedAt_ = Now;
  noteChange(Executor);
  if (Job == nullptr) {
    ++Executor.UnsizedRuns_;
    WithUnknownJobs_.insert(Executor.Ordinal_);
    return NewRun;
  }
  const work::StepSpec &Spec = stepSpec(*Job, Task);
  NewRun.CountedInUse_ = true;
  NewRun.Need_ = Spec.Need_;
  NewRun.Fills_ = Spec.BestEffort_;
  NewRun.HasResponseTarget_ = Spec.TargetMs_ > 0;
  NewRun.TargetMs_ = Spec.TargetMs_;
  NewRun.Customer_ = Job->Acceptance_.Customer_;
  Executor.Used_ += NewRun.Need_;
  if (NewRun.Fills_) {
    Executor.Used_.MilliCores_ -= NewRun.Need_.MilliCores_;
    Executor.FillMilliCores_ += NewRun.Need_.MilliCores_;
  }
  UsedByCustomer_[NewRun.Customer_] += NewRun.Need_;
  RunCounts_.add(NewRun.Customer_, 1);
  TrackedStep &Step = *findStep(*Job, Task);
  TrackedTask &Tracked = Step.Tasks_[Task.Index_];
  ++Job->ActiveRuns_;
  ++Tracked.ActiveRuns_;
  ++Step.RunsPerExecutor_[Executor.Ordinal_];
  if (Tracked.State_ == TaskState::Waiting) {
    Tracked.State_ = TaskState::Placed;
    --Step.WaitingTasks_;
  }
  return NewRun;
}

void Scheduler::removeRun(ExecutorState &Executor, const RunKey &Key, core::TimePoint Now) {
  const auto Found = Executor.Runs_.find(Key);
  if (Found == Executor.Runs_.end())
    return;
  settleAssumedRun(Found->second);
  noteChange(Executor);
  const Run Removed = std::move(Found->second);
  Executor.Runs_.erase(Found);
  Executor.UnsizedRuns_ -= Removed.CountedInUse_ ? 0 : 1;
  if (Executor.Trial_ == Key)
    Executor.Trial_.reset();
  PlacementDue_ = true;
  TrackedJob *Job = findJob(Removed.Task_);
  if (Job == nullptr || !Removed.CountedInUse_)
    return;
  Executor.Used_ -= Removed.Need_;
  if (Removed.Fills_) {
    Executor.Used_.MilliCores_ += Removed.Need_.MilliCores_;
    Executor.FillMilliCores_ -= Removed.Need_.MilliCores_;
  }
  UsedByCustomer_[Removed.Customer_] -= Removed.Need_;
  RunCounts_.remove(Removed.Customer_, 1);
  TrackedStep &Step = *findStep(*Job, Removed.Task_);
  TrackedTask &Task = Step.Tasks_[Removed.Task_.Index_];
  --Job->ActiveRuns_;
  --Task.ActiveRuns_;
  --Step.RunsPerExecutor_[Executor.Ordinal_];
  if (!Removed.Checkpoint_.empty())
    Task.Checkpoint_ = Removed.Checkpoint_;
  if (Task.State_ != TaskState::Placed || Task.ActiveRuns_ > 0)
    return;
  Task.State_ = TaskState::Waiting;
  ++Step.WaitingTasks_;
  if (stepSpec(*Job, Removed.Task_).Gang_ && !Job->Ended_)
    stopStepRuns(*Job, Removed.Task_, "gang is not complete", Now);
}

bool Scheduler::mayStillStart(const ExecutorState &Executor, const RunKey &Key) {
  const auto Found = Executor.OpenStarts_.find(Key);
  return Found != Executor.OpenStarts_.end() &&
         (!isUnset(Found->second.LostAt_) || (Found->second.InFlight_ && !Found->second.Settled_));
}

void Scheduler::settleListedStart(ExecutorState &Executor, const RunKey &Key) {
  const auto Found = Executor.OpenStarts_.find(Key);
  // One of several orders may have started the run, and the others may still be on their way.
  if (Found == Executor.OpenStarts_.end() || Found->second.Sent_ > 1)
    return;
  if (Found->second.InFlight_)
    Found->second.Settled_ = true;
  else
    Executor.OpenStarts_.erase(Found);
}

void Scheduler::settleStart(ExecutorState &Executor, const RunKey &Key, OrderOutcome Outcome,
                            core::TimePoint Now) {
  const auto Found = Executor.OpenStarts_.find(Key);
  if (Found == Executor.OpenStarts_.end())
    return;
  OpenStart &Open = Found->second;
  Open.InFlight_ = false;
  if ((Outcome == OrderOutcome::NoAnswer || Outcome == OrderOutcome::ResultLost) && !Open.Settled_)
    Open.LostAt_ = Now;
  if (isUnset(Open.LostAt_))
    Executor.OpenStarts_.erase(Found);
}

void Scheduler::sendStart(ExecutorState &Executor, Run &ActiveRun, core::TimePoint Now) {
  ActiveRun.OrderInFlight_ = true;
  ActiveRun.OrderSentAt_ = Now;
  OpenStart &Open = Executor.OpenStarts_[{ActiveRun.Task_, ActiveRun.Number_}];
  ++Open.Sent_;
  Open.InFlight_ = true;
  Open.Settled_ = false;
  // A new incarnation that the leader has not met has another clock, by which a lease may begin
  // now.
  extendLeaseEnd(Executor, Now);
  ActiveRun.Order_.LeaseEndMs_ = Executor.GrantedUntil_ - Now > Timing_.MinStartLease_
                                     ? Executor.GrantedUntilMs_
                                     : grantLease(Executor, Now);
  ++StartsInFlight_;
  // The payload is not kept with each run: it has up to four kilobytes, and a job thousands of
  // runs.
  fleet::StartOrder Order = ActiveRun.Order_;
  if (const TrackedJob *Job = findJob(ActiveRun.Task_))
    Order.Payload_ = Job->Spec_.Payload_;
  Actions_.Start_(Executor.Info_, Order);
}

void Scheduler::sendStop(ExecutorState &Executor, Run &ActiveRun, core::TimePoint Now) {
  ActiveRun.OrderInFlight_ = true;
  ActiveRun.OrderSentAt_ = Now;
  Actions_.Stop_(Executor.Info_, {ActiveRun.Task_, ActiveRun.Number_});
}

void Scheduler::stopRun(ExecutorState &Executor, Run &ActiveRun, std::string_view Reason,
                        core::TimePoint Now) {
  if (ActiveRun.State_ == RunState::Stopping)
    return;
  ActiveRun.State_ = RunState::Stopping;
  ActiveRun.OrderRetryAt_ = Now;
  Executor.OrdersPending_ = true;
  noteDue(Executor);
  logDecision("stop", ActiveRun.Task_, ActiveRun.Number_, Executor.Info_.Id_, Reason);
  if (!ActiveRun.OrderInFlight_)
    sendStop(Executor, ActiveRun, Now);
}

std::vector<ExecutorState *> Scheduler::executorsWithRunsOf(const TrackedStep &Step) {
  std::vector<ExecutorState *> Found;
  for (const auto &[Ordinal, Runs] : Step.RunsPerExecutor_)
    if (Runs > 0)
      Found.push_back(ByOrdinal_[Ordinal]);
  // Not in the order of the hash table, so that orders go out in the same order each time.
  std::ranges::sort(Found, {}, &ExecutorState::Ordinal_);
  return Found;
}

template <typename Visitor>
void Scheduler::visitRuns(ExecutorState &Executor, const work::TaskRef &First,
                          const work::TaskRef &Last, Visitor Visit) {
  ++StatesRead_.Executors_;
  for (auto Entry = Executor.Runs_.lower_bound({First, 0});
       Entry != Executor.Runs_.end() && !(Last < Entry->first.first); ++Entry) {
    ++StatesRead_.Runs_;
    Visit(Entry->second);
  }
}

core::TimePoint Scheduler::expectedEndOf(const TrackedJob &Job, std::uint32_t Occurrence,
                                         std::uint32_t Step) {
  const TrackedStep &Tracked = Job.Occurrences_[Occurrence].Steps_[Step];
  const work::TaskRef First{Job.Id_, Occurrence, Step, 0};
  const work::TaskRef Last{Job.Id_, Occurrence, Step,
                           static_cast<std::uint32_t>(Tracked.Tasks_.size())};
  core::TimePoint Latest{};
  for (ExecutorState *Executor : executorsWithRunsOf(Tracked))
    visitRuns(*Executor, First, Last,
              [&](const Run &ActiveRun) { Latest = std::max(Latest, ActiveRun.ExpectedEndAt_); });
  return Latest;
}

void Scheduler::stopJobRuns(TrackedJob &Job, std::string_view Reason, core::TimePoint Now) {
  if (Job.ActiveRuns_ == 0)
    return;
  for (std::uint32_t K = 0; K < Job.Occurrences_.size(); ++K)
    for (std::uint32_t I = 0; I < Job.Occurrences_[K].Steps_.size(); ++I)
      stopStepRuns(Job, {Job.Id_, K, I, 0}, Reason, Now);
}

void Scheduler::stopStepRuns(TrackedJob &Job, const work::TaskRef &Task, std::string_view Reason,
                             core::TimePoint Now) {
  const TrackedStep &Step = Job.Occurrences_[Task.Occurrence_].Steps_[Task.Step_];
  const work::TaskRef First{Job.Id_, Task.Occurrence_, Task.Step_, 0};
  work::TaskRef Last = First;
  Last.Index_ = std::numeric_limits<std::uint32_t>::max();
  for (ExecutorState *Executor : executorsWithRunsOf(Step))
    visitRuns(*Executor, First, Last,
              [&](Run &ActiveRun) { stopRun(*Executor, ActiveRun, Reason, Now); });
}

/// Stops all runs of a task except \p EndedRun.
void Scheduler::stopCopies(const work::TaskRef &Task, std::uint64_t EndedRun, core::TimePoint Now) {
  for (ExecutorState *Executor : executorsWithRunsOf(*findStep(*findJob(Task), Task)))
    visitRuns(*Executor, Task, Task, [&](Run &ActiveRun) {
      if (ActiveRun.Number_ != EndedRun)
        stopRun(*Executor, ActiveRun, "another run of the task has completed", Now);
    });
}

void Scheduler::onStartResult(std::string_view ExecutorId, const RunKey &Key, OrderOutcome Outcome,
                              std::int64_t ClockMs, core::TimePoint SentAt, core::TimePoint Now) {
  // Placement pauses at the limit of concurrent starts and resumes as soon as one is answered.
  PlacementDue_ = PlacementDue_ || StartsInFlight_ >= StartLimit_;
  --StartsInFlight_;
  const auto Entry = Executors_.find(ExecutorId);
  if (Entry == Executors_.end())
    return;
  ExecutorState &Executor = Entry->second;
  noteChange(Executor);
  Fenced_ = Fenced_ || Outcome == OrderOutcome::Fenced;
  settleStart(Executor, Key, Outcome, Now);
  noticeClock(Executor, Outcome, ClockMs, SentAt, Now);
  const auto Found = Executor.Runs_.find(Key);
  // A run that was over and has to be prevented after a restart gets new orders while an earlier
  // one awaits its result, which says nothing about these.
  if (Found == Executor.Runs_.end() || SentAt < Found->second.OrderSentAt_)
    return;
  Run &StartedRun = Found->second;
  StartedRun.OrderInFlight_ = false;
  const bool FromThisIncarnation = SentAt >= Executor.MetAt_;
  Executor.OrdersPending_ = Executor.OrdersPending_ || Outcome != OrderOutcome::Done ||
                            StartedRun.State_ != RunState::Starting;
  if (Outcome != OrderOutcome::Done)
    logDecision("start_result", Key.first, Key.second, ExecutorId, fleet::nameOf(Outcome));
  // A report can confirm the run while a repeated start is in flight. The result of that order then
  // says nothing about the run; later reports do.
  if (Outcome != OrderOutcome::Done && !isUnset(StartedRun.ConfirmedAt_))
    return;
  switch (Outcome) {
  case OrderOutcome::Done:
    StartedRun.UnansweredStarts_ = 0;
    // The order may have been delayed in transit, which must not count as run time.
    if (isUnset(StartedRun.ConfirmedAt_))
      StartedRun.Progress_.StartedAt_ = Now;
    StartedRun.ConfirmedAt_ = Now;
    if (FromThisIncarnation && ClockMs > 0 && ClockMs >= Executor.ClockMs_) {
      StartedRun.StartClockMs_ = ClockMs;
      if (Executor.Trial_ == Key)
        Executor.ReportDueAt_ = Now + std::chrono::duration_cast<core::Duration>(
                                          Timing_.StartSurvivalTime_ * Timing_.ClockRateMargin_);
      Executor.ClockMs_ = ClockMs;
      Executor.ClockReadAt_ = Now;
      Executor.ClockLag_ = {};
    }
    if (StartedRun.State_ == RunState::Starting)
      StartedRun.State_ = RunState::Running;
    if (TrackedJob *Job = findJob(Key.first);
        Job != nullptr && Job->Progress_.State_ == work::JobState::Queued) {
      Job->Progress_.State_ = work::JobState::Running;
      markDirty(*Job);
    }
    return;
  case OrderOutcome::Fenced:
    return;
  case OrderOutcome::NoAnswer:
  case OrderOutcome::ResultLost:
    ++StartedRun.UnansweredStarts_;
    StartedRun.OrderRetryAt_ = Now + Timing_.OrderRetryDelay_;
    Executor.AvoidUntil_ = std::max(Executor.AvoidUntil_, Now + AvoidAfterNoAnswer);
    if (hasUnansweredStart(Executor) && !Executor.Silent_ && !Executor.AnswerOverdue_)
      Executor.ReportDueAt_ = Now;
    return;
  case OrderOutcome::Superseded:
    // An earlier unanswered order may have started the run, which may already have ended. It cannot
    // start any more, so the next reports show its outcome.
    if (FromThisIncarnation) {
      StartedRun.State_ = RunState::Stopping;
      StartedRun.StopAnsweredAt_ = Now;
    } else {
      stopRun(Executor, StartedRun, "start refused by an earlier incarnation", Now);
    }
    return;
  case OrderOutcome::TicketInvalid:
    if (TrackedJob *Job = findJob(Key.first))
      findStep(*Job, Key.first)->Advice_[Executor.Ordinal_].ValidUntil_ = {};
    break;
  case OrderOutcome::LeaseOver:
    Executor.Reported_ = false;
    Executor.NextHoldAt_ = Now;
    break;
  default:
    Executor.AvoidUntil_ = Now + AvoidAfterRefusal;
    break;
  }
  // An earlier unanswered order may still be carried out; only a stop rules that out.
  if (StartedRun.UnansweredStarts_ > 0 || mayStillStart(Executor, Key))
    stopRun(Executor, StartedRun, "start refused after an unanswered start order", Now);
  else
    removeRun(Executor, Key, Now);
}

/// Requests the report of a new incarnation whose clock an answer has shown, be its order outdated
/// or refused.
void Scheduler::noticeClock(ExecutorState &Executor, OrderOutcome Outcome, std::int64_t ClockMs,
                            core::TimePoint SentAt, core::TimePoint Now) {
  if (Outcome != OrderOutcome::OtherInstance && ClockMs > 0 && ClockMs < Executor.ClockMs_ &&
      SentAt >= Executor.ClockReadAt_)
    onUnmetIncarnation(Executor, "its clock has started anew", Now);
}

/// Handles that an incarnation which has not reported yet carries out orders. The leases of these
/// orders were computed for the clock of its predecessor.
void Scheduler::onUnmetIncarnation(ExecutorState &Executor, std::string_view Evidence,
                                   core::TimePoint Now) {
  logDecision("executor_reborn", {}, 0, Executor.Info_.Id_, Evidence);
  Executor.LeaseEnd_ = std::max(Executor.LeaseEnd_,
                                Now + leaseUpperBound(Timing_.MaxLease_, Timing_.ClockRateMargin_));
  EndsHidden_ = EndsHidden_ || Executor.ReportFull_;
  noteChange(Executor);
  // The report was requested already; another request would make the answer outdated.
  if (!Executor.Reported_)
    return;
  Executor.Reported_ = false;
  Executor.HoldInFlight_ = false;
  Executor.NextHoldAt_ = Now;
}

void Scheduler::onStopResult(std::string_view ExecutorId, const RunKey &Key, OrderOutcome Outcome,
                             std::int64_t ClockMs, core::TimePoint SentAt, core::TimePoint Now) {
  const auto Entry = Executors_.find(ExecutorId);
  if (Entry == Executors_.end())
    return;
  ExecutorState &Executor = Entry->second;
  noteChange(Executor);
  Fenced_ = Fenced_ || Outcome == OrderOutcome::Fenced;
  noticeClock(Executor, Outcome, ClockMs, SentAt, Now);
  const auto Found = Executor.Runs_.find(Key);
  if (Found == Executor.Runs_.end() || SentAt < Found->second.OrderSentAt_)
    return;
  Found->second.OrderInFlight_ = false;
  const bool FromThisIncarnation = SentAt >= Executor.MetAt_;
  if (Outcome == OrderOutcome::Done && FromThisIncarnation) {
    Found->second.StopAnsweredAt_ = Now;
    return;
  }
  Executor.OrdersPending_ = true;
  Found->second.OrderRetryAt_ = FromThisIncarnation ? Now + Timing_.HoldRetryDelay_ : Now;
  logDecision("stop_result", Key.first, Key.second, ExecutorId, fleet::nameOf(Outcome));
}

void Scheduler::removeAllRuns(ExecutorState &Executor, std::string_view Reason,
                              core::TimePoint Now) {
  logDecision("runs_lost", {}, 0, Executor.Info_.Id_, Reason);
  while (!Executor.Runs_.empty()) {
    const RunKey Key = Executor.Runs_.begin()->first;
    logDecision("run_over", Key.first, Key.second, Executor.Info_.Id_, Reason);
    removeRun(Executor, Key, Now);
  }
  Executor.Reported_ = false;
  Executor.Used_ = {};
  Executor.FillMilliCores_ = 0;
  Executor.NextHoldAt_ = Now;
  noteChange(Executor);
}

void Scheduler::tickExecutor(ExecutorState &Executor, core::TimePoint Now) {
  std::erase_if(Executor.OpenStarts_, [&](const auto &Entry) {
    return !Entry.second.InFlight_ && Now - Entry.second.LostAt_ >= Timing_.MaxOrderDelay_;
  });
  if (!isUnset(Executor.DrainHoldsFrom_) && Now >= Executor.DrainHoldsFrom_) {
    Executor.DrainHoldsFrom_ = {};
    Executor.SilenceInherited_ = true;
  }
  // A later leader that reaches the executor renews its lease.
  if ((Executor.Silent_ || !Executor.Reported_) && ConfirmedAt_ >= Executor.LeaseEnd_ &&
      !Executor.Runs_.empty()) {
    for (const auto &[Key, ActiveRun] : Executor.Runs_)
      if (TrackedJob *Job = findJob(Key.first))
        voidRuns(*Job, Key.first, Key.second);
      else if (!FinalJobs_.contains(Key.first.Job_))
        LapsedBeforeRead_[Key.first] = {std::max(LapsedBeforeRead_[Key.first].Number_, Key.second),
                                        Now};
    removeAllRuns(Executor, describeLapse(Executor, Now), Now);
  }
  if (!isUnset(Executor.DrainEnd_))
    stopDrainingRuns(Executor, Now);
  releaseDrained(Executor);
  if (Executor.OrdersPending_) {
    Executor.OrdersPending_ = false;
    for (auto &[Key, ActiveRun] : Executor.Runs_)
      Executor.OrdersPending_ = tickRun(Executor, ActiveRun, Now) || Executor.OrdersPending_;
  }
  // The request in flight may wait for an end for longer.
  const bool ReportDue = !isUnset(Executor.ReportDueAt_) && Now >= Executor.ReportDueAt_;
  if (!ReportDue && (Executor.HoldInFlight_ || Now < Executor.NextHoldAt_))
    return;
  const bool EndsPending = !Executor.UnackedEnds_.empty();
  if (!ReportDue && (EndsPending || Executor.LeaseWithheld_) &&
      Now - Executor.LastHoldAt_ < Timing_.UnackedHoldSpacing_)
    return;
  Executor.ReportDueAt_ = {};
  // An executor that may be lost is only queried. Each renewal of its lease would postpone the time
  // at which its runs are certain to be over.
  const bool Renew = Executor.Reported_ && !Executor.Silent_ && !Executor.AnswerOverdue_ &&
                     !Executor.LeaseWithheld_ && !hasUnansweredStart(Executor);
  core::Millis Wait = holdWait(Executor, Now);
  if (!Renew || EndsPending || ReportDue)
    Wait = core::Millis(0);
  // Only a report that is due overlaps with another request; else an earlier one was given up.
  if (!Executor.HoldInFlight_)
    Executor.HoldsValidSince_ = Now;
  Executor.HoldInFlight_ = true;
  Executor.LastHoldAt_ = Now;
  const std::int64_t UntilMs = Renew && Now < leaseLimit() ? grantLease(Executor, Now) : 0;
  // A silent executor may have restarted, and a new incarnation numbers its ends from the beginning
  // again, so nothing is acknowledged.
  Actions_.Hold_(Executor.Info_, Renew ? Executor.DurableEnd_ : 0, UntilMs, Wait);
}

bool Scheduler::tickRun(ExecutorState &Executor, Run &ActiveRun, core::TimePoint Now) {
  const bool OrderPending =
      ActiveRun.State_ == RunState::Stopping
          ? isUnset(ActiveRun.StopAnsweredAt_)
          : ActiveRun.State_ == RunState::Starting && ActiveRun.UnansweredStarts_ > 0;
  if (!OrderPending || ActiveRun.OrderInFlight_ || Now < ActiveRun.OrderRetryAt_)
    return OrderPending;
  if (ActiveRun.State_ == RunState::Stopping)
    sendStop(Executor, ActiveRun, Now);
  else if (ActiveRun.UnansweredStarts_ >= Timing_.MaxStartAttempts_ ||
           Now - ActiveRun.OrderedAt_ >= Timing_.MaxStartRepeatTime_)
    stopRun(Executor, ActiveRun, "start order was not answered", Now);
  else if (exceedsCapacity(Executor))
    stopRun(Executor, ActiveRun, "capacity has shrunk before the start was answered", Now);
  else if (!isEntryCurrent(Executor, Now, Timing_.MaxListDelay_))
    stopRun(Executor, ActiveRun, "executor has restarted before the start was answered", Now);
  else if (!Executor.Silent_ && !Executor.AnswerOverdue_ && Executor.Recorded_ &&
           !Executor.LeaseWithheld_ && mayGrantLeases(Now) &&
           // Each order to a lost executor prolongs the time until the run is certain to be over.
           Now - Executor.LastAnswerAt_ <= Timing_.MaxRepeatAnswerAge_)
    sendStart(Executor, ActiveRun, Now);
  return true;
}

void Scheduler::stopDrainingRuns(ExecutorState &Executor, core::TimePoint Now) {
  const auto TimeLeft = Executor.DrainEnd_ - Now - Timing_.DrainMargin_;
  for (auto &[Key, ActiveRun] : Executor.Runs_) {
    const TrackedJob *Job = findJob(ActiveRun.Task_);
    if (Job == nullptr || isUnset(ActiveRun.ConfirmedAt_))
      continue;
    const auto Elapsed = Now - ActiveRun.ConfirmedAt_;
    const int Percent = ActiveRun.Progress_.Percent_;
    const auto RunTimeLeft = Percent > 0 ? Elapsed * (100 - Percent) / Percent : core::Duration(0);
    const bool NeverEnds = stepSpec(*Job, ActiveRun.Task_).LongRunning_;
    if (NeverEnds || TimeLeft <= core::Duration(0) || RunTimeLeft > TimeLeft)
      stopRun(Executor, ActiveRun, "executor is draining", Now);
  }
}

void Scheduler::adjustPace(ExecutorState &Executor, core::TimePoint Now) {
  double WorstRatio = -1;
  for (const auto &[Key, ActiveRun] : Executor.Runs_)
    if (ActiveRun.HasResponseTarget_)
      WorstRatio = std::max(WorstRatio,
                            ActiveRun.ReportedMetric_ / static_cast<double>(ActiveRun.TargetMs_));
  if (WorstRatio < 0 || Actions_.Pace_ == nullptr)
    return;
  const bool SpeedUp =
      WorstRatio < SpeedUpFraction && Now - Executor.PaceChangedAt_ >= MinPaceInterval;
  if (!SpeedUp && WorstRatio <= SlowDownFraction)
    return;
  for (auto &[Key, ActiveRun] : Executor.Runs_) {
    const int PacePercent = SpeedUp ? std::min(100, ActiveRun.PacePercent_ + PaceStepPercent) : 0;
    if (!ActiveRun.Fills_ || PacePercent == ActiveRun.PacePercent_ ||
        ActiveRun.State_ != RunState::Running)
      continue;
    ActiveRun.PacePercent_ = PacePercent;
    Executor.PaceChangedAt_ = Now;
    logDecision("pace", ActiveRun.Task_, ActiveRun.Number_, Executor.Info_.Id_,
                std::to_string(PacePercent));
    Actions_.Pace_(Executor.Info_, Key, PacePercent);
  }
}

bool Scheduler::isAccountedFor(const ExecutorState &Executor) {
  return Executor.Reported_ || Executor.Replaced_ || !Executor.InheritedRuns_ ||
         Executor.SilenceInherited_;
}

void Scheduler::updateAccounted(core::TimePoint Now, std::int64_t WallMs) {
  if (Accounted_)
    return;
  const bool LeasesLapsed =
      ConfirmedAt_ >= TermStart_ + leaseUpperBound(Timing_.Lease_, Timing_.ClockRateMargin_) +
                          Timing_.StaleLeaderTime_;
  const bool AllReported =
      !Executors_.empty() && std::ranges::all_of(Executors_, [](const auto &Entry) {
        return isAccountedFor(Entry.second);
      });
  // An earlier leader may have recorded that the leases of an executor end sooner than all others.
  const bool AllAccountedFor =
      !Executors_.empty() && std::ranges::all_of(Executors_, [this](const auto &Entry) {
        const ExecutorState &Executor = Entry.second;
        return isAccountedFor(Executor) ||
               (!Executor.RunsKnown_ && ConfirmedAt_ >= Executor.LeaseEnd_);
      });
  AllContacted_ =
      RosterComplete_ && std::ranges::all_of(Executors_, [](const auto &Entry) {
        return Entry.second.Reported_ || Entry.second.Silent_ || !Entry.second.InheritedRuns_;
      });
  if (!LeasesLapsed && !(RosterComplete_ && AllAccountedFor))
    return;
  Accounted_ = true;
  AccountedAt_ = Now;
  AccountedByReports_ = !LeasesLapsed && AllReported;
  PlacementDue_ = true;
  UnknownRunsLapsed_ = !RosterComplete_ || !AllReported;
  if (UnknownRunsLapsed_)
    for (auto &[Id, Job] : Jobs_)
      voidUnknownRuns(Job, WallMs);
  logDecision("accounted", {}, 0, {},
              AllReported ? "all executors answered" : "leases have lapsed");
}

} // namespace masticdrift::lead
