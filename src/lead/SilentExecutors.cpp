// Hands what is known of silent executors over to the next leader.
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/Silence.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

using detail::isUnset;

/// Silences shorter than this are not recorded: most end by themselves, and the record would delay
/// the renewal of the leases.
constexpr core::Millis MinRecordedSilence{400};
/// Interval at which a record is written again, with the shorter remaining time.
constexpr core::Millis RecordInterval{2000};
/// Shortest time between heartbeats with such records, which all daemons read.
constexpr core::Millis RecordSpacing{600};
/// Limits of the records that are written with one heartbeat, which must not be delayed by its size
/// on a slow link, and of the runs in one record.
constexpr std::size_t MaxRecordBytes = 32'000;
constexpr std::size_t MaxRecordedRuns = 128;

} // namespace

/// \returns true when every run that the executor may have is known, and what is known of runs that
/// have ended or were given up is durable.
bool Scheduler::knowsRunsOf(const ExecutorState &Executor) const {
  const bool Complete = Executor.RunsKnown_ || Executor.SilenceInherited_ ||
                        (Accounted_ && !UnknownRunsLapsed_) ||
                        (RosterComplete_ && !Executor.InheritedRuns_);
  return Complete && voidsAreStored() && !Executor.ReportFull_ && Executor.PostponedEnds_.empty() &&
         Executor.UnackedEnds_.empty() && Executor.WithheldEnds_.empty() &&
         Executor.UnsizedRuns_ == 0;
}

SilenceRecord Scheduler::describeSilence(const ExecutorState &Executor, core::TimePoint Now) const {
  SilenceRecord Record;
  Record.RunsKnown_ = knowsRunsOf(Executor);
  Record.LeaseRemainingMs_ =
      std::max<std::int64_t>(core::toMillis(Executor.LeaseEnd_ - Now) + 1, 0);
  if (!Record.RunsKnown_)
    return Record;
  std::set<RunKey> Keys;
  for (const auto &[Key, ActiveRun] : Executor.Runs_)
    Keys.insert(Key);
  for (const auto &[Key, Open] : Executor.OpenStarts_)
    if (mayStillStart(Executor, Key))
      Keys.insert(Key);
  for (const auto &[Task, Number] : Keys)
    Record.Runs_.push_back({Task.Job_, Task.Occurrence_, Task.Step_, Task.Index_, Number});
  return Record;
}

std::vector<work::LogRecord> Scheduler::takeSilenceChanges(core::TimePoint Now) {
  std::vector<work::LogRecord> Changes;
  std::size_t Bytes = 0;
  const bool TooSoon = Now - SilencesWrittenAt_ < RecordSpacing;
  for (auto &[Id, Executor] : Executors_) {
    if (Executor.LeaseWithheld_ && !Executor.Silent_) {
      Changes.push_back(encodeSilenceRemoval(Id));
      continue;
    }
    const bool Due = isUnset(Executor.SilenceRecordedAt_)
                         ? Now - Executor.SilentSince_ >= MinRecordedSilence
                         : Now - Executor.SilenceRecordedAt_ >= RecordInterval;
    if (TooSoon || !Executor.Silent_ || !Executor.Recorded_ || !Due || Bytes >= MaxRecordBytes)
      continue;
    SilenceRecord Record = describeSilence(Executor, Now);
    if (Record.Runs_.size() > MaxRecordedRuns)
      Record = {Record.LeaseRemainingMs_, false, {}};
    const bool Settled = Record.RunsKnown_ && Record.Runs_.empty() && Record.LeaseRemainingMs_ == 0;
    if (Settled && Executor.SilenceSettled_)
      continue;
    Executor.SilenceSettled_ = Settled;
    Executor.LeaseWithheld_ = true;
    Executor.SilenceRecordedAt_ = SilencesWrittenAt_ = Now;
    Changes.push_back(encodeSilence(Id, Record));
    Bytes += Changes.back().Key_.size() + Changes.back().Value_.size();
  }
  return Changes;
}

bool Scheduler::hasSilenceToClear() const {
  return std::ranges::any_of(Executors_, [](const auto &Entry) {
    return Entry.second.LeaseWithheld_ && !Entry.second.Silent_;
  });
}

bool Scheduler::isSilenceRecorded(std::string_view ExecutorId) const {
  const auto Found = Executors_.find(ExecutorId);
  return Found != Executors_.end() && Found->second.LeaseWithheld_;
}

void Scheduler::onSilenceChangesStored(std::span<const work::LogRecord> Changes,
                                       core::TimePoint Now) {
  for (const work::LogRecord &Change : Changes) {
    const auto Found = Executors_.find(silentExecutorOf(Change.Key_));
    if (Found == Executors_.end() || !Change.Value_.empty())
      continue;
    ExecutorState &Executor = Found->second;
    Executor.LeaseWithheld_ = false;
    Executor.SilenceRecordedAt_ = {};
    Executor.SilenceSettled_ = false;
    Executor.NextHoldAt_ = std::min(Executor.NextHoldAt_, Now);
    noteChange(Executor);
    PlacementDue_ = true;
  }
}

void Scheduler::onInheritedSilence(std::string_view ExecutorId, const KnownSilence &Known,
                                   core::TimePoint Now) {
  const auto Found = Executors_.find(ExecutorId);
  if (Found == Executors_.end() || Known.Void_)
    return;
  ExecutorState &Executor = Found->second;
  Executor.SilenceInherited_ = Known.Record_.RunsKnown_;
  Executor.LeaseWithheld_ = true;
  Executor.Silent_ = true;
  Executor.SilentSince_ = Now;
  Executor.LeaseEnd_ = std::min(Executor.LeaseEnd_, Known.LeaseEnd_);
  noteChange(Executor);
  for (const SilentRun &Recorded : Known.Record_.Runs_)
    assumeRun(Executor, {Recorded.Job_, Recorded.Occurrence_, Recorded.Step_, Recorded.Index_},
              Recorded.Number_, Now);
  logDecision("silence_inherited", {}, 0, ExecutorId,
              (Known.Record_.RunsKnown_ ? std::to_string(Executor.Runs_.size()) : "unknown") +
                  " runs, lease over in " +
                  std::to_string(core::toMillis(Executor.LeaseEnd_ - Now)) + " ms");
}

/// Adds a run that a silent executor may have, unless an earlier leader has given it up.
void Scheduler::assumeRun(ExecutorState &Executor, const work::TaskRef &Task, std::uint64_t Number,
                          core::TimePoint Now) {
  const auto Voided = VoidedRuns_.find(Task);
  if (Voided != VoidedRuns_.end() && Number <= Voided->second.UpTo_)
    return;
  TrackedJob *Job = findJob(Task);
  Run &Assumed = addRun(Executor, Job, Task, Number, RunState::Running, Now);
  // Any report of the executor shows whether it has the run: it then knows this leader's token, so
  // no earlier order starts the run any more.
  Assumed.ConfirmedAt_ = Now;
  Assumed.StartClockMs_ = -Timing_.StartSurvivalTime_.count();
  Assumed.Progress_.FromStart_ = false;
  if (Job == nullptr)
    return;
  Assumed.Assumed_ = true;
  TrackedStep &Step = *findStep(*Job, Task);
  ++Step.Tasks_[Task.Index_].AssumedRuns_;
  noteInheritedRun(Step, Task);
  // The run of a task that has ended counts until it is known to be over.
  if (Job->Ended_ || Step.Tasks_[Task.Index_].State_ == TaskState::Done)
    stopRun(Executor, Assumed, "task needs no run", Now);
  if (stepSpec(*Job, Task).Gang_)
    Step.LastGangRun_ = std::max(Step.LastGangRun_, Number);
}

/// Settles that an executor has listed a run that was assumed, or that the run is over.
void Scheduler::settleAssumedRun(Run &Settled) {
  if (!std::exchange(Settled.Assumed_, false))
    return;
  if (TrackedJob *Job = findJob(Settled.Task_))
    --findStep(*Job, Settled.Task_)->Tasks_[Settled.Task_.Index_].AssumedRuns_;
}

bool Scheduler::isLaterThanAssumed(const fleet::ReportedRun &Row) const {
  return std::ranges::none_of(Executors_, [&](const auto &Entry) {
    return std::ranges::any_of(Entry.second.Runs_, [&](const auto &Other) {
      return Other.first.first == Row.Task_ && Other.second.Assumed_ &&
             Other.first.second >= Row.Run_;
    });
  });
}

/// Removes the assumed runs of a task that another executor runs under a higher number: the earlier
/// leader has started that one when the others were over.
void Scheduler::dropAssumedRuns(const work::TaskRef &Task, std::uint64_t Below,
                                core::TimePoint Now) {
  for (auto &[Id, Executor] : Executors_) {
    std::vector<RunKey> Over;
    for (const auto &[Key, ActiveRun] : Executor.Runs_)
      if (Key.first == Task && Key.second < Below && ActiveRun.Assumed_)
        Over.push_back(Key);
    for (const RunKey &Key : Over) {
      logDecision("run_over", Key.first, Key.second, Id, "a later run of the task was started");
      removeRun(Executor, Key, Now);
    }
  }
}

} // namespace masticdrift::lead
