// Executors, their leases and the runs on them.
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

using detail::never;
using detail::stretched;
using fleet::OrderOutcome;

/// Response times above this part of the target slow filling runs down.
constexpr double ServingAlarm = 0.75;
/// Response times below this part of the target let filling runs speed up again.
constexpr double ServingCalm = 0.45;
constexpr int PaceStep = 25; ///< percent
constexpr core::Millis PaceRest{1000};
/// Rest of an executor that left a start order unanswered; lists tell within this time whether it
/// is there.
constexpr core::Millis UnansweredRest{300};
/// Rest of an executor that refused an order.
constexpr core::Millis RefusalRest{1000};

} // namespace

void Scheduler::onExecutor(const fleet::ExecutorInfo &Info, core::TimePoint Now) {
  const bool Known = Executors_.contains(Info.Id_);
  ExecutorState &At = Executors_[Info.Id_];
  if (!Known) {
    At.Slot_ = static_cast<std::uint32_t>(BySlot_.size());
    BySlot_.push_back(&At);
    At.LeaseEnd_ = TermStart_ + stretched(Times_.Lease_, Times_.LeaseMargin_) + Times_.StaleLeader_;
    At.NextHold_ = Now;
    At.Born_ = Info.IncarnationStartMs_;
  }
  if (Known && Info.IncarnationStartMs_ > At.Born_ && At.Born_ != 0 && At.Held_) {
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
  Made.Fills_ = Spec.BestEffort_;
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
  Which.Order_.LeaseEndMs_ = untilOf(At, Now);
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
  AllAsked_ = ListComplete && std::ranges::all_of(Executors_, [](const auto &One) {
                return One.second.Held_ || One.second.Silent_;
              });
  if (!Bound && !(ListComplete && AllHeld))
    return;
  Accounted_ = true;
  PlaceDue_ = true;
  note("accounted", {}, 0, {}, Bound && !AllHeld ? "leases have lapsed" : "all executors answered");
}

} // namespace masticdrift::lead
