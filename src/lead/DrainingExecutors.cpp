// Hands the runs that draining executors may have over to the next leader.
#include "masticdrift/lead/Drain.h"
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

using detail::isUnset;

/// Interval at which a record that has changed is written again.
constexpr core::Millis RecordInterval{2000};
/// Shortest time between heartbeats with such records, which all daemons read.
constexpr core::Millis RecordSpacing{600};
/// Limits of the records that are written with one heartbeat, and of the runs in one record.
constexpr std::size_t MaxRecordBytes = 16'000;
constexpr std::size_t MaxRecordedRuns = 128;

bool hasStoppedDraining(const ExecutorState &Executor) {
  return Executor.Listed_ && !Executor.Info_.Draining_;
}

} // namespace

/// \returns the runs that the executor may have. Those that it has reported as ended count until it
/// is known to have been told that this is stored: before, a later leader may not know of the end.
DrainRecord Scheduler::describeDrain(const ExecutorState &Executor, core::TimePoint Now) const {
  DrainRecord Record;
  // The executor refuses orders of earlier leaders since its first report, until it restarts. One
  // that does not know yet that it was replaced sends some after that report.
  if (!RosterComplete_ || Executor.InheritedRuns_)
    Record.EarlierOrdersMs_ =
        std::max<std::int64_t>(core::toMillis(Executor.RunsKnownSince_ + Timing_.StaleLeaderTime_ +
                                              Timing_.MaxOrderDelay_ - Now) +
                                   1,
                               0);
  std::set<RunKey> Keys(Executor.ReportedEnds_.begin(), Executor.ReportedEnds_.end());
  for (const auto &[Key, ActiveRun] : Executor.Runs_)
    Keys.insert(Key);
  for (const auto &[Key, Open] : Executor.OpenStarts_)
    if (mayStillStart(Executor, Key))
      Keys.insert(Key);
  for (const auto &[Task, Number] : Keys)
    Record.Runs_.push_back({Task.Job_, Task.Occurrence_, Task.Step_, Task.Index_, Number});
  return Record;
}

std::vector<work::LogRecord> Scheduler::takeDrainChanges(core::TimePoint Now) {
  std::vector<work::LogRecord> Changes;
  std::size_t Bytes = 0;
  const bool TooSoon = Now - DrainsWrittenAt_ < RecordSpacing;
  for (auto &[Id, Executor] : Executors_) {
    if (Executor.StartsWithheld_ && (hasStoppedDraining(Executor) || !Executor.Recorded_)) {
      Changes.push_back(encodeDrainRemoval(Id));
      continue;
    }
    const bool Due =
        isUnset(Executor.DrainRecordedAt_) || Now - Executor.DrainRecordedAt_ >= RecordInterval;
    if (TooSoon || !Due || !Executor.Info_.Draining_ || !Executor.Recorded_ ||
        !Executor.Reported_ || Executor.ReportFull_ || !voidsAreStored() || Bytes >= MaxRecordBytes)
      continue;
    const DrainRecord Record = describeDrain(Executor, Now);
    // The record of an earlier leader holds sooner.
    const bool EarlierHolds = Executor.StartsWithheld_ && isUnset(Executor.DrainRecordedAt_) &&
                              Record.EarlierOrdersMs_ > 0;
    work::LogRecord Change = encodeDrain(Id, Record);
    if (EarlierHolds || Record.Runs_.size() > MaxRecordedRuns ||
        Change.Value_ == Executor.DrainRecord_)
      continue;
    Executor.StartsWithheld_ = true;
    Executor.DrainRecordedAt_ = DrainsWrittenAt_ = Now;
    Bytes += Change.Key_.size() + Change.Value_.size();
    Changes.push_back(std::move(Change));
  }
  return Changes;
}

void Scheduler::onDrainChangesStored(std::span<const work::LogRecord> Changes) {
  for (const work::LogRecord &Change : Changes) {
    const auto Found = Executors_.find(drainingExecutorOf(Change.Key_));
    if (Found == Executors_.end())
      continue;
    ExecutorState &Executor = Found->second;
    // Changes may hold the removal of a void record and after it a new one.
    Executor.StartsWithheld_ = !Change.Value_.empty();
    Executor.DrainRecord_ = Change.Value_;
    noteChange(Executor);
    if (Executor.StartsWithheld_)
      continue;
    Executor.DrainRecordedAt_ = {};
    PlacementDue_ = true;
  }
}

bool Scheduler::isDrainRecorded(std::string_view ExecutorId) const {
  const auto Found = Executors_.find(ExecutorId);
  return Found != Executors_.end() && Found->second.StartsWithheld_;
}

bool Scheduler::hasDrainToClear() const {
  return std::ranges::any_of(Executors_, [](const auto &Entry) {
    return Entry.second.StartsWithheld_ && hasStoppedDraining(Entry.second);
  });
}

void Scheduler::onInheritedDrain(std::string_view ExecutorId, const KnownDrain &Known,
                                 core::TimePoint Now) {
  const auto Found = Executors_.find(ExecutorId);
  if (Found == Executors_.end() || Known.Void_)
    return;
  ExecutorState &Executor = Found->second;
  Executor.StartsWithheld_ = true;
  // The record of its silence is newer and names fewer runs.
  if (Executor.SilenceInherited_)
    return;
  Executor.DrainHoldsFrom_ = Known.HoldsFrom_;
  for (const SilentRun &Recorded : Known.Record_.Runs_)
    assumeRun(Executor, {Recorded.Job_, Recorded.Occurrence_, Recorded.Step_, Recorded.Index_},
              Recorded.Number_, Now);
  logDecision(
      "drain_inherited", {}, 0, ExecutorId,
      std::to_string(Executor.Runs_.size()) + " runs, holds in " +
          std::to_string(std::max<std::int64_t>(core::toMillis(Known.HoldsFrom_ - Now), 0)) +
          " ms");
}

} // namespace masticdrift::lead
