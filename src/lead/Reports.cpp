// Processes the reports of executors: running and ended runs, and new incarnations.
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/Suspicion.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

using detail::isUnset;
using detail::leaseUpperBound;
using detail::MaxClockDifference;
using fleet::OrderOutcome;

/// \returns true when the end was processed; all up to ProcessedEnd_ were, except those left
/// unprocessed because their job is unknown.
bool isProcessed(const ExecutorState &Executor, std::uint64_t SequenceNumber) {
  if (Executor.WithheldEnds_.contains(SequenceNumber))
    return true;
  return SequenceNumber <= Executor.ProcessedEnd_ &&
         std::ranges::find(Executor.UnackedEnds_, std::pair(SequenceNumber, NoFlush)) ==
             Executor.UnackedEnds_.end();
}

} // namespace

void Scheduler::onHoldResult(std::string_view ExecutorId, OrderOutcome Outcome,
                             const fleet::Report &Report, core::TimePoint SentAt,
                             core::TimePoint Now) {
  const auto Entry = Executors_.find(ExecutorId);
  if (Entry == Executors_.end())
    return;
  ExecutorState &Executor = Entry->second;
  noteChange(Executor);
  if (SentAt < Executor.HoldsValidSince_) {
    noticeIncarnation(Executor, Report, Now);
    return;
  }
  const bool NewerInFlight = Executor.HoldInFlight_ && SentAt < Executor.LastHoldAt_;
  Executor.HoldInFlight_ = NewerInFlight;
  Fenced_ = Fenced_ || Outcome == OrderOutcome::Fenced;
  if (Outcome != OrderOutcome::Done) {
    if (NewerInFlight)
      return; // the newer request shows whether the executor still answers
    // A result that was lost between daemons does not make an executor silent: the next request,
    // without a wait, shows whether it answers.
    Executor.AnswerOverdue_ = true;
    if (Outcome == OrderOutcome::ResultLost && Executor.Reported_ && !Executor.Silent_ &&
        Now - Executor.LastAnswerAt_ < Timing_.MaxResultLoss_) {
      Executor.NextHoldAt_ = Now;
      return;
    }
    // Once another executor answers at its address, this one has crashed or shut down, and its runs
    // have ended with it. A missing answer or a refused connection proves nothing, because paths
    // can be cut while the runs go on; then only the end of the lease does.
    if (Outcome == OrderOutcome::OtherInstance && !Executor.Replaced_) {
      onExecutorCrashed(Executor, {}, Now);
      removeAllRuns(Executor, "another executor answers at its address", Now);
      Executor.Replaced_ = true;
      Executor.LeaseEnd_ = Now;
    }
    if (!Executor.Silent_) {
      logDecision("executor_silent", {}, 0, ExecutorId, fleet::nameOf(Outcome));
      if (Outcome == OrderOutcome::NoAnswer || Outcome == OrderOutcome::NotSent ||
          Outcome == OrderOutcome::ResultLost)
        suspectStartedRuns(Executor, false, {}, Now);
      Executor.SilentSince_ = Now;
    }
    Executor.Silent_ = true;
    Executor.NextHoldAt_ = Now + Timing_.HoldRetryDelay_;
    return;
  }
  Executor.HoldsValidSince_ = SentAt;
  const bool WasLost = Executor.Silent_ || !Executor.Reported_;
  if (WasLost)
    logDecision("executor_answers", {}, 0, ExecutorId, std::to_string(Report.Running_.size()));
  Executor.Silent_ = false;
  Executor.AnswerOverdue_ = false;
  Executor.Replaced_ = false;
  if (Report.IncarnationStartMs_ != 0 && Executor.Incarnation_ != 0 &&
      Report.IncarnationStartMs_ != Executor.Incarnation_) {
    onExecutorCrashed(Executor, Report.Running_, Now);
    handleRestart(Executor, Report, SentAt, Now);
  }
  if (WasLost && Report.IncarnationStartMs_ != 0)
    onAnswerAfterSilence(Executor, Report.IncarnationStartMs_, Now);
  if (Report.IncarnationStartMs_ != 0)
    Executor.Incarnation_ = Report.IncarnationStartMs_;
  Executor.Reported_ = true;
  if (!std::exchange(Executor.RunsKnown_, true))
    Executor.RunsKnownSince_ = Now;
  Executor.ReportedEnds_.clear();
  for (const fleet::ReportedEnd &Row : Report.Ended_)
    Executor.ReportedEnds_.emplace_back(Row.Task_, Row.Run_);
  Executor.ReportFull_ = Report.Ended_.size() >= fleet::MaxReportedEnds;
  EndsHidden_ = EndsHidden_ || Executor.ReportFull_;
  Executor.LastAnswerAt_ = Now;
  Executor.ClockMs_ = Report.ClockMs_;
  Executor.ClockReadAt_ = Now;
  Executor.ClockLag_ = {};
  processEnds(Executor, Report.Ended_, Now);
  for (const fleet::ReportedRun &Row : Report.Running_)
    processRunning(Executor, Row, Now);
  removeMissingRuns(Executor, Report, SentAt, Now);
  checkTrial(Executor);
  checkProgress(Executor, Now);
  adjustPace(Executor, Now);
  Executor.NextHoldAt_ = Report.Ended_.empty()
                             ? Now
                             : Now + (!Executor.PostponedEnds_.empty() ? Timing_.UnackedHoldSpacing_
                                                                       : Timing_.HoldSpacing_);
  PlacementDue_ = true;
}

void Scheduler::onLateHoldResult(std::string_view ExecutorId, const fleet::Report &Report,
                                 core::TimePoint Now) {
  const auto Entry = Executors_.find(ExecutorId);
  if (Entry == Executors_.end())
    return;
  ExecutorState &Executor = Entry->second;
  noteChange(Executor);
  noticeIncarnation(Executor, Report, Now);
  processLateEnds(Executor, Report, Now);
  if (!Executor.AnswerOverdue_ || !Executor.Reported_ || Executor.Silent_ ||
      Report.IncarnationStartMs_ != Executor.Incarnation_)
    return;
  // By the executor's clock, which tells how long the result was on its way.
  const core::TimePoint AnsweredAt = std::min<core::TimePoint>(
      Now, Executor.ClockReadAt_ + core::Millis(Report.ClockMs_ - Executor.ClockMs_));
  if (Now - AnsweredAt >= Timing_.MaxResultLoss_)
    return;
  Executor.LastAnswerAt_ = Now;
  // Leases are computed from the newest reading of the clock: the error of an old one grows. This
  // one is behind by the time that the result was on its way, which makes leases shorter.
  const core::TimePoint ReadAt =
      Executor.ClockReadAt_ - Executor.ClockLag_ +
      std::chrono::duration_cast<core::Duration>(
          std::max(core::Millis(0), core::Millis(Report.ClockMs_ - Executor.ClockMs_)) *
          Timing_.ClockRateMargin_);
  Executor.ClockLag_ = std::max<core::Duration>(Now - ReadAt, core::Duration(0));
  Executor.ClockMs_ = std::max(Executor.ClockMs_, Report.ClockMs_);
  Executor.ClockReadAt_ = Now;
  Executor.AnswerOverdue_ = false;
  Executor.HoldInFlight_ = false;
  Executor.NextHoldAt_ = Now;
}

/// Applies the ends that a late report lists. They stay true however long the report was on its
/// way, unlike its list of running tasks.
void Scheduler::processLateEnds(ExecutorState &Executor, const fleet::Report &Report,
                                core::TimePoint Now) {
  const bool ShowsNewEnds =
      !Report.Ended_.empty() && Report.Ended_.back().SequenceNumber_ > Executor.ProcessedEnd_;
  // Each incarnation numbers its ends from the beginning.
  if (!ShowsNewEnds || Report.IncarnationStartMs_ != Executor.Incarnation_)
    return;
  logDecision("late_ends", {}, 0, Executor.Info_.Id_, std::to_string(Report.Ended_.size()));
  processEnds(Executor, Report.Ended_, Now);
  PlacementDue_ = true;
}

/// Requests the report of a new incarnation that an outdated answer has shown.
void Scheduler::noticeIncarnation(ExecutorState &Executor, const fleet::Report &Report,
                                  core::TimePoint Now) {
  // Without a report a request is in flight already; another would make its answer outdated.
  if (Executor.Reported_ && Executor.Incarnation_ != 0 &&
      Report.IncarnationStartMs_ > Executor.Incarnation_)
    onUnmetIncarnation(Executor, "an outdated answer shows a new incarnation", Now);
}

void Scheduler::processEnds(ExecutorState &Executor, std::span<const fleet::ReportedEnd> Rows,
                            core::TimePoint Now) {
  Executor.PostponedEnds_.clear();
  for (const fleet::ReportedEnd &Row : Rows)
    if (Row.Kind_ == fleet::EndKind::LeaseLapsed)
      Executor.LastLapse_ = std::max(Executor.LastLapse_, Row.SequenceNumber_);
  for (const fleet::ReportedEnd &Row : Rows) {
    if (!mustWaitForJob(Executor, Row, Rows.back().SequenceNumber_, Now)) {
      processEnd(Executor, Row, Now);
      continue;
    }
    // Later ends are processed, so that their tasks do not start again, but not acknowledged,
    // because an acknowledgement covers all ends before it.
    Executor.PostponedEnds_.push_back(Row);
    WithUnknownJobs_.insert(Executor.Ordinal_);
    if (Row.SequenceNumber_ <= Executor.ProcessedEnd_)
      continue;
    Executor.ProcessedEnd_ = Row.SequenceNumber_;
    noteUnackedEnd(Executor, Row.SequenceNumber_, NoFlush);
  }
}

void Scheduler::noteUnackedEnd(ExecutorState &Executor, std::uint64_t SequenceNumber,
                               std::uint64_t Flush) {
  Executor.UnackedEnds_.emplace_back(SequenceNumber, Flush);
  WithUnackedEnds_.insert(Executor.Ordinal_);
}

/// Applies what executors reported about runs of the job before its record was read.
void Scheduler::reconcileLateJob(TrackedJob &Job, core::TimePoint Now) {
  // A copy, because processEnds() may add executors that have unknown jobs left.
  for (const std::uint32_t Ordinal : std::set<std::uint32_t>(WithUnknownJobs_)) {
    if (ByOrdinal_[Ordinal] == nullptr ||
        (ByOrdinal_[Ordinal]->UnsizedRuns_ == 0 && ByOrdinal_[Ordinal]->PostponedEnds_.empty())) {
      WithUnknownJobs_.erase(Ordinal);
      continue;
    }
    ExecutorState &Executor = *ByOrdinal_[Ordinal];
    ++StatesRead_.Executors_;
    StatesRead_.Runs_ += Executor.Runs_.size();
    std::vector<Run> EarlyRuns;
    for (const auto &[Key, EarlyRun] : Executor.Runs_)
      if (Key.first.Job_ == Job.Id_ && !EarlyRun.CountedInUse_ &&
          findStep(Job, Key.first) != nullptr)
        EarlyRuns.push_back(EarlyRun);
    for (const Run &EarlyRun : EarlyRuns) {
      Executor.Runs_.erase({EarlyRun.Task_, EarlyRun.Number_});
      --Executor.UnsizedRuns_;
      Run &NewRun = addRun(Executor, &Job, EarlyRun.Task_, EarlyRun.Number_, EarlyRun.State_, Now);
      if (tokenOf(EarlyRun.Number_) < Token_)
        noteInheritedRun(*findStep(Job, EarlyRun.Task_), EarlyRun.Task_);
      NewRun.ConfirmedAt_ = EarlyRun.ConfirmedAt_;
      NewRun.StartClockMs_ = EarlyRun.StartClockMs_;
      NewRun.StopAnsweredAt_ = EarlyRun.StopAnsweredAt_;
      NewRun.OrderInFlight_ = EarlyRun.OrderInFlight_;
      NewRun.OrderSentAt_ = EarlyRun.OrderSentAt_;
      NewRun.OrderRetryAt_ = EarlyRun.OrderRetryAt_;
      NewRun.Progress_ = EarlyRun.Progress_;
      NewRun.Checkpoint_ = EarlyRun.Checkpoint_;
    }
    if (!Executor.PostponedEnds_.empty())
      processEnds(Executor, std::vector<fleet::ReportedEnd>(Executor.PostponedEnds_), Now);
  }
}

/// \returns true while the end of a run must not be acknowledged because its job is unknown. An
/// earlier leader that is still active may have accepted and started a job that this leader has not
/// read yet; an acknowledgement would lose the result of the run. A job is stored before its runs
/// start, so one that is still unknown after all jobs were read that were stored before the end was
/// reported does not exist: the end is then processed without it and acknowledged.
/// \param LastReported the highest end number of the same report.
bool Scheduler::mustWaitForJob(ExecutorState &Executor, const fleet::ReportedEnd &End,
                               std::uint64_t LastReported, core::TimePoint Now) {
  if (isProcessed(Executor, End.SequenceNumber_) || Jobs_.contains(End.Task_.Job_) ||
      FinalJobs_.contains(End.Task_.Job_))
    return false;
  if (isUnset(Executor.UnknownJobSince_) || End.SequenceNumber_ > Executor.UnknownJobUpTo_) {
    Executor.UnknownJobSince_ = Now;
    Executor.UnknownJobUpTo_ = LastReported;
    logDecision("end_of_unknown_job", End.Task_, End.Run_, Executor.Info_.Id_,
                fleet::nameOf(End.Kind_));
  }
  return JobsReadUpTo_ <= Executor.UnknownJobSince_;
}

void Scheduler::processEnd(ExecutorState &Executor, const fleet::ReportedEnd &End,
                           core::TimePoint Now) {
  if (isProcessed(Executor, End.SequenceNumber_))
    return;
  Executor.ProcessedEnd_ = std::max(Executor.ProcessedEnd_, End.SequenceNumber_);
  settleListedStart(Executor, {End.Task_, End.Run_});
  logDecision("end", End.Task_, End.Run_, Executor.Info_.Id_, fleet::nameOf(End.Kind_));
  if (mustWithhold(Executor, End)) {
    withhold(Executor, End);
    return;
  }
  if (End.Kind_ == fleet::EndKind::Done)
    Executor.FailedJobs_.clear();
  else if (End.Kind_ == fleet::EndKind::Failed)
    recordFailure(Executor, End, Now);
  const std::size_t DirtyBefore = DirtyJobs_.size();
  TrackedJob *Job = findJob(End.Task_);
  if (tokenOf(End.Run_) == Token_ && !Executor.Runs_.contains({End.Task_, End.Run_}))
    reportReappeared(Executor, End.Task_, End.Run_, "has ended");
  if (Job != nullptr) {
    const auto KnownRun = Executor.Runs_.find({End.Task_, End.Run_});
    // After an accounting by lapsed leases, ends of restarted tasks are expected.
    if (KnownRun == Executor.Runs_.end() && AccountedByReports_ && tokenOf(End.Run_) < Token_ &&
        findStep(*Job, End.Task_)->Tasks_[End.Task_.Index_].RunCounter_ > 0)
      reportUnaccounted(Executor, End.Task_, End.Run_, "has ended");
    if (KnownRun != Executor.Runs_.end() && !End.Checkpoint_.empty())
      KnownRun->second.Checkpoint_ = End.Checkpoint_;
    if (KnownRun != Executor.Runs_.end() && End.Kind_ == fleet::EndKind::Done)
      recordRunTime(*Job, Executor, KnownRun->second, Now);
    // Marked as Stopping so that the consequences of the end send no stop to the ended run.
    if (KnownRun != Executor.Runs_.end())
      KnownRun->second.State_ = RunState::Stopping;
    // No earlier leader can have started the task again: it ran in this term, in which its executor
    // reports to nobody else. Where attempts are limited, executors that have not reported may
    // still list failures of earlier runs that no leader has stored.
    if (KnownRun != Executor.Runs_.end() && tokenOf(End.Run_) < Token_ &&
        !KnownRun->second.Assumed_ && stepSpec(*Job, End.Task_).LongRunning_)
      findStep(*Job, End.Task_)->Tasks_[End.Task_.Index_].RunsKnown_ = true;
    if (!Job->Ended_)
      applyEnd(*Job, End, Executor.Info_.Id_, KnownRun != Executor.Runs_.end(), Now);
  }
  removeRun(Executor, {End.Task_, End.Run_}, Now);
  const bool Durable =
      Job == nullptr || (DirtyJobs_.size() == DirtyBefore && !DirtyJobs_.contains(End.Task_.Job_));
  const std::uint64_t Flush = Durable ? 0 : NextFlush_;
  const auto Postponed =
      std::ranges::find(Executor.UnackedEnds_, std::pair(End.SequenceNumber_, NoFlush));
  if (Postponed != Executor.UnackedEnds_.end())
    Postponed->second = Flush;
  else
    noteUnackedEnd(Executor, End.SequenceNumber_, Flush);
  // Ends without a durable effect are acknowledged with the next hold request.
  while (!Executor.UnackedEnds_.empty() && Executor.UnackedEnds_.front().second <= DurableFlush_) {
    Executor.DurableEnd_ = Executor.UnackedEnds_.front().first;
    Executor.UnackedEnds_.erase(Executor.UnackedEnds_.begin());
  }
}

std::uint64_t Scheduler::lastStartOf(const TrackedJob &Job, const work::TaskRef &Task) const {
  const TrackedStep &Step = Job.Occurrences_[Task.Occurrence_].Steps_[Task.Step_];
  return stepSpec(Job, Task).Gang_ ? Step.LastGangRun_ : Step.Tasks_[Task.Index_].RunCounter_;
}

/// Notes that the runs of a task up to a number count as over because leases have lapsed. The task
/// starts again once that is durable.
void Scheduler::voidRuns(TrackedJob &Job, const work::TaskRef &Task, std::uint64_t UpTo) {
  if (Job.Ended_ || stepSpec(Job, Task).AllowDuplicates_)
    return;
  VoidRecord &Record = VoidedRuns_[Task];
  const std::uint64_t LastStart = lastStartOf(Job, Task);
  if (Record.LastStart_ != LastStart)
    Record.RestartedAfter_ = Record.UpTo_;
  Record.UpTo_ = std::max(Record.UpTo_, UpTo);
  Record.LastStart_ = LastStart;
  auto &Stored = Job.Progress_.Voided_;
  const auto Found = std::ranges::find_if(Stored, [&Task](const work::VoidedRuns &Voided) {
    return Voided.Occurrence_ == Task.Occurrence_ && Voided.Step_ == Task.Step_ &&
           Voided.Index_ == Task.Index_;
  });
  if (Found == Stored.end())
    Stored.push_back({Task.Occurrence_, Task.Step_, Task.Index_, UpTo});
  else
    Found->UpTo_ = std::max(Found->UpTo_, UpTo);
  Job.VoidFlush_ = LastVoidFlush_ = NextFlush_;
  markDirty(Job);
}

bool Scheduler::voidsAreStored() const {
  return LapsedBeforeRead_.empty() && DurableFlush_ >= LastVoidFlush_;
}

/// Voids the runs of earlier terms that no executor has listed. Those that did not answer may have
/// completed them before their leases lapsed. That includes steps that are not ready: an earlier
/// leader begins a step before the completion of those that it depends on is durable, and an
/// occurrence when its own clock shows the time.
void Scheduler::voidUnknownRuns(TrackedJob &Job, std::int64_t WallMs) {
  if (!Job.Inherited_)
    return;
  const std::int64_t DueBeforeMs = WallMs + MaxClockDifference.count();
  for (std::uint32_t K = 0; K < Job.Occurrences_.size(); ++K)
    for (std::uint32_t I = 0;
         I < Job.Spec_.Steps_.size() && Job.Occurrences_[K].DueMs_ < DueBeforeMs; ++I) {
      const TrackedStep &Step = Job.Occurrences_[K].Steps_[I];
      for (std::uint32_t Index = 0; Index < Step.Tasks_.size(); ++Index)
        if (Step.Tasks_[Index].State_ == TaskState::Waiting)
          voidRuns(Job, {Job.Id_, K, I, Index}, runNumber(Token_, 0));
    }
}

/// Voids the runs of a job that count as over since before it was read.
void Scheduler::voidRunsOfLateJob(TrackedJob &Job, std::int64_t WallMs) {
  auto Entry = LapsedBeforeRead_.lower_bound({Job.Id_, 0, 0, 0});
  while (Entry != LapsedBeforeRead_.end() && Entry->first.Job_ == Job.Id_) {
    const TrackedStep *Step = findStep(Job, Entry->first);
    if (Step != nullptr && Step->Tasks_[Entry->first.Index_].State_ != TaskState::Done)
      voidRuns(Job, Entry->first, Entry->second.Number_);
    Entry = LapsedBeforeRead_.erase(Entry);
  }
  if (UnknownRunsLapsed_)
    voidUnknownRuns(Job, WallMs);
}

/// \returns true when a voided run has completed and its task may have been started again. An
/// executor without running tasks has nothing that lapses with its lease, so the completion
/// outlives it. A run that the lease has ended later shows that the completion is void.
bool Scheduler::mustWithhold(const ExecutorState &Executor, const fleet::ReportedEnd &End) {
  if (End.Kind_ != fleet::EndKind::Done || End.SequenceNumber_ < Executor.LastLapse_)
    return false;
  const auto Voided = VoidedRuns_.find(End.Task_);
  if (Voided == VoidedRuns_.end() || End.Run_ > Voided->second.UpTo_)
    return false;
  const TrackedJob *Job = findJob(End.Task_);
  return Job == nullptr || End.Run_ <= Voided->second.RestartedAfter_ ||
         Voided->second.LastStart_ != lastStartOf(*Job, End.Task_);
}

/// Leaves an end without effect and unacknowledged: acknowledged, it would count as the completion
/// of a task that was started after it. The later run decides.
void Scheduler::withhold(ExecutorState &Executor, const fleet::ReportedEnd &End) {
  logDecision("end_withheld", End.Task_, End.Run_, Executor.Info_.Id_,
              "the task was started again after the lease had lapsed");
  Executor.WithheldEnds_.insert(End.SequenceNumber_);
  const auto Postponed =
      std::ranges::find(Executor.UnackedEnds_, std::pair(End.SequenceNumber_, NoFlush));
  if (Postponed == Executor.UnackedEnds_.end())
    noteUnackedEnd(Executor, End.SequenceNumber_, NoFlush);
}

/// Logs a run of this term that the leader took for over. Its task may have been started again.
void Scheduler::reportReappeared(const ExecutorState &Executor, const work::TaskRef &Task,
                                 std::uint64_t Number, std::string_view State) {
  ++ReappearedRuns_;
  logDecision("reappeared_run", Task, Number, Executor.Info_.Id_, State);
}

/// Logs a run of an earlier term that this leader learns of after it has started inherited tasks.
void Scheduler::reportUnaccounted(const ExecutorState &Executor, const work::TaskRef &Task,
                                  std::uint64_t Number, std::string_view State) {
  ++UnaccountedRuns_;
  logDecision("unaccounted_run", Task, Number, Executor.Info_.Id_, State);
}

void Scheduler::recordFailure(ExecutorState &Executor, const fleet::ReportedEnd &End,
                              core::TimePoint Now) {
  TrackedJob *Job = findJob(End.Task_);
  if (Job == nullptr)
    return;
  Job->FailedOn_.insert(Executor.Info_.Id_);
  // When the job has failed on several executors, the job is the cause and not the executors.
  if (Job->FailedOn_.size() > 1) {
    for (const std::string &Id : Job->FailedOn_)
      if (const auto Entry = Executors_.find(Id); Entry != Executors_.end())
        Entry->second.FailedJobs_.erase(Job->Id_);
    return;
  }
  Executor.FailedJobs_.insert(Job->Id_);
  if (Executor.FailedJobs_.size() < static_cast<std::size_t>(Timing_.MinFailedJobs_))
    return;
  Executor.AvoidUntil_ = Now + Timing_.AvoidFailingTime_;
  logDecision("executor_avoided", End.Task_, End.Run_, Executor.Info_.Id_,
              std::to_string(Executor.FailedJobs_.size()) + " jobs failed in a row");
}

void Scheduler::applyEnd(TrackedJob &Job, const fleet::ReportedEnd &End,
                         std::string_view ExecutorId, bool RunWasKnown, core::TimePoint Now) {
  const work::StepSpec &Spec = stepSpec(Job, End.Task_);
  TrackedTask &Task = findStep(Job, End.Task_)->Tasks_[End.Task_.Index_];
  if (End.Kind_ == fleet::EndKind::Failed) {
    Task.AvoidExecutor_ = ExecutorId;
    // A failed run leaves no checkpoint worth keeping. Failures of long-running tasks do not count
    // against the attempts.
    if (!Spec.LongRunning_)
      countFailure(Job, End.Task_, End.Run_, Now);
    return;
  }
  if (End.Kind_ != fleet::EndKind::Done || Spec.LongRunning_)
    return;
  if (!Spec.Gang_) {
    finishTask(Job, End.Task_, Now);
    if (Task.ActiveRuns_ > (RunWasKnown ? 1 : 0))
      stopCopies(End.Task_, End.Run_, Now);
    return;
  }
  work::TaskRef Member = End.Task_;
  for (Member.Index_ = 0; Member.Index_ < Spec.TaskCount_; ++Member.Index_)
    finishTask(Job, Member, Now);
}

void Scheduler::noteInheritedRun(TrackedStep &Step, const work::TaskRef &Task) {
  if (!std::exchange(Step.Tasks_[Task.Index_].InheritedRun_, true))
    ++Step.InheritedRuns_;
}

/// \returns true when the task of a run that was not known needs it.
bool Scheduler::needsRun(const TrackedJob &Job, const TrackedStep &Step,
                         const fleet::ReportedRun &Row, core::TimePoint Now) {
  const work::StepSpec &Spec = stepSpec(Job, Row.Task_);
  const TrackedTask &Task = Step.Tasks_[Row.Task_.Index_];
  if (Task.AssumedRuns_ > 0 && !Spec.AllowDuplicates_ && !Spec.Gang_)
    dropAssumedRuns(Row.Task_, Row.Run_, Now);
  const bool OnlyAssumed =
      Task.State_ == TaskState::Placed && Task.ActiveRuns_ == Task.AssumedRuns_;
  return Task.State_ == TaskState::Waiting ||
         (OnlyAssumed && (Spec.AllowDuplicates_ || (Spec.Gang_ && isLaterThanAssumed(Row))));
}

void Scheduler::processRunning(ExecutorState &Executor, const fleet::ReportedRun &Row,
                               core::TimePoint Now) {
  settleListedStart(Executor, {Row.Task_, Row.Run_});
  const auto Found = Executor.Runs_.find({Row.Task_, Row.Run_});
  if (Found == Executor.Runs_.end()) {
    TrackedJob *Job = findJob(Row.Task_);
    TrackedStep *Step = Job == nullptr ? nullptr : findStep(*Job, Row.Task_);
    const bool Wanted = Step != nullptr && !Job->Ended_ && needsRun(*Job, *Step, Row, Now);
    if (tokenOf(Row.Run_) == Token_)
      reportReappeared(Executor, Row.Task_, Row.Run_, "is running");
    else if (Accounted_ && tokenOf(Row.Run_) < Token_)
      reportUnaccounted(Executor, Row.Task_, Row.Run_, "is running");
    Run &NewRun = addRun(Executor, Job, Row.Task_, Row.Run_, RunState::Running, Now);
    NewRun.ConfirmedAt_ = Now;
    if (Step != nullptr && tokenOf(Row.Run_) < Token_)
      noteInheritedRun(*Step, Row.Task_);
    // Another leader has ordered the start, maybe just now. Only suspect tasks have to survive it.
    const bool Suspect = Job != nullptr && crashCount(Job->Progress_, Row.Task_) > 0;
    NewRun.StartClockMs_ = Executor.ClockMs_ - (Suspect ? 0 : Timing_.StartSurvivalTime_.count());
    NewRun.Progress_.FromStart_ = false;
    addSample(NewRun.Progress_, Row.ProgressPercent_, Now);
    updateExpectedEnd(NewRun, Now);
    NewRun.Checkpoint_ = Row.Checkpoint_;
    if (Wanted) {
      if (stepSpec(*Job, Row.Task_).Gang_) {
        Step->LastGangRun_ = std::max(Step->LastGangRun_, Row.Run_);
        // Not before the new run is added: a member without a run stops the others.
        if (Step->Tasks_[Row.Task_.Index_].AssumedRuns_ > 0)
          dropAssumedRuns(Row.Task_, Row.Run_, Now);
      }
      if (!Executor.Trial_ && crashCount(Job->Progress_, Row.Task_) > 0)
        Executor.Trial_ = {Row.Task_, Row.Run_};
      logDecision("adopted", Row.Task_, Row.Run_, Executor.Info_.Id_, {});
    } else {
      stopRun(Executor, NewRun, "task needs no run", Now);
    }
    return;
  }
  Run &KnownRun = Found->second;
  settleAssumedRun(KnownRun);
  if (isUnset(KnownRun.ConfirmedAt_))
    KnownRun.ConfirmedAt_ = Now;
  if (KnownRun.StartClockMs_ == 0)
    KnownRun.StartClockMs_ = Executor.ClockMs_;
  KnownRun.UnansweredStarts_ = 0;
  if (KnownRun.State_ == RunState::Starting)
    KnownRun.State_ = RunState::Running;
  addSample(KnownRun.Progress_, Row.ProgressPercent_, Now);
  updateExpectedEnd(KnownRun, Now);
  KnownRun.ReportedMetric_ = Row.LoadMetric_;
  if (!Row.Checkpoint_.empty())
    KnownRun.Checkpoint_ = Row.Checkpoint_;
}

void Scheduler::removeMissingRuns(ExecutorState &Executor, const fleet::Report &Report,
                                  core::TimePoint SentAt, core::TimePoint Now) {
  // The ends of missing runs may be among those that did not fit into the report.
  if (Executor.ReportFull_)
    return;
  std::set<RunKey> ListedRuns;
  for (const fleet::ReportedRun &Row : Report.Running_)
    ListedRuns.insert({Row.Task_, Row.Run_});
  // The outcome of a run is only known once its end is processed.
  for (const fleet::ReportedEnd &Row : Executor.PostponedEnds_)
    ListedRuns.insert({Row.Task_, Row.Run_});
  std::vector<RunKey> EndedRuns;
  for (auto &[Key, ActiveRun] : Executor.Runs_) {
    if (ListedRuns.contains(Key))
      continue;
    const bool Vanished = !isUnset(ActiveRun.ConfirmedAt_) && ActiveRun.ConfirmedAt_ <= SentAt;
    const bool Prevented =
        !isUnset(ActiveRun.StopAnsweredAt_) && ActiveRun.StopAnsweredAt_ <= SentAt;
    if (Prevented || (Vanished && !mayStillStart(Executor, Key))) {
      EndedRuns.push_back(Key);
    } else if (Vanished) {
      // Only an earlier incarnation had the run, and one of its other orders may come late.
      ActiveRun.ConfirmedAt_ = {};
      stopRun(Executor, ActiveRun, "an unanswered start may reach the new incarnation", Now);
    }
  }
  for (const RunKey &Key : EndedRuns) {
    logDecision("run_over", Key.first, Key.second, Executor.Info_.Id_,
                "missing from the executor's report");
    removeRun(Executor, Key, Now);
  }
}

/// \param SentAt when the request was sent; the report lacks runs that have started since.
void Scheduler::handleRestart(ExecutorState &Executor, const fleet::Report &Report,
                              core::TimePoint SentAt, core::TimePoint Now) {
  logDecision("runs_lost", {}, 0, Executor.Info_.Id_, "executor has restarted");
  Executor.MetAt_ = Now;
  Executor.LeaseEnd_ = std::max(Executor.LeaseEnd_,
                                Now + leaseUpperBound(Timing_.MaxLease_, Timing_.ClockRateMargin_));
  std::set<RunKey> ListedRuns;
  for (const fleet::ReportedRun &Row : Report.Running_)
    ListedRuns.insert({Row.Task_, Row.Run_});
  for (const fleet::ReportedEnd &Row : Report.Ended_)
    ListedRuns.insert({Row.Task_, Row.Run_});
  // Starts carry the time of their round, which is earlier than that of its holds.
  const core::TimePoint HoldRound = std::min(SentAt, Executor.LastHoldAt_);
  std::vector<RunKey> EndedRuns;
  Executor.OrdersPending_ = true;
  for (auto &[Key, ActiveRun] : Executor.Runs_) {
    // A start that was answered after the request was sent may be later than the report; the next
    // one shows it. The order's time does not tell, because a pass takes it before it sends orders.
    const bool ConfirmedSince = ActiveRun.ConfirmedAt_ >= SentAt && !mayStillStart(Executor, Key);
    if (!ConfirmedSince)
      ActiveRun.ConfirmedAt_ = {};
    ActiveRun.StartClockMs_ = 0;
    ActiveRun.StopAnsweredAt_ = {};
    if (ConfirmedSince || ListedRuns.contains(Key))
      continue;
    const bool MayHaveStarted = mayStillStart(Executor, Key) || ActiveRun.OrderSentAt_ >= HoldRound;
    if (!MayHaveStarted) {
      EndedRuns.push_back(Key);
    } else if (mayStillStart(Executor, Key) && Executor.OpenStarts_.at(Key).InFlight_) {
      // The order may still reach the new incarnation, and is repeated when it gets no answer.
      if (ActiveRun.State_ == RunState::Running)
        ActiveRun.State_ = RunState::Starting;
    } else {
      stopRun(Executor, ActiveRun, "an unanswered start may reach the new incarnation", Now);
    }
  }
  resetIncarnation(Executor);
  for (const RunKey &Key : EndedRuns) {
    logDecision("run_over", Key.first, Key.second, Executor.Info_.Id_, "executor has restarted");
    removeRun(Executor, Key, Now);
  }
  preventOpenStarts(Executor, ListedRuns, Now);
}

/// Stops runs that are over at the leader and whose start order may still be carried out. A new
/// incarnation does not know which runs have ended, so it would start them unless a stop arrives
/// first. Their tasks start nowhere else until the stops are answered.
void Scheduler::preventOpenStarts(ExecutorState &Executor, const std::set<RunKey> &ListedRuns,
                                  core::TimePoint Now) {
  for (const auto &[Key, Open] : Executor.OpenStarts_)
    if (mayStillStart(Executor, Key) && !Executor.Runs_.contains(Key) && !ListedRuns.contains(Key))
      stopRun(Executor,
              addRun(Executor, findJob(Key.first), Key.first, Key.second, RunState::Starting, Now),
              "a late start may reach the new incarnation", Now);
}

void Scheduler::resetIncarnation(ExecutorState &Executor) {
  Executor.ProcessedEnd_ = 0;
  Executor.DurableEnd_ = 0;
  Executor.ClockMs_ = 0;
  Executor.GrantedUntil_ = {};
  Executor.GrantedUntilMs_ = 0;
  Executor.UnackedEnds_.clear();
  Executor.WithheldEnds_.clear();
  Executor.LastLapse_ = 0;
  Executor.PostponedEnds_.clear();
  Executor.UnknownJobSince_ = {};
  Executor.FailedJobs_.clear();
}

} // namespace masticdrift::lead
