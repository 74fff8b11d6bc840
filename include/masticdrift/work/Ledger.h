/// \file
/// Replicated table of jobs and the log records from which it is built.
///
/// The key of a record is a letter for its kind, followed by the job id. The log is compacted: it
/// keeps only the newest record of each key, so every record is complete in itself.
#ifndef MASTICDRIFT_WORK_LEDGER_H
#define MASTICDRIFT_WORK_LEDGER_H

#include "masticdrift/work/HeldWork.h"
#include "masticdrift/work/Job.h"
#include "masticdrift/work/Manifest.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticdrift::work {

/// Acceptance of a job. The daemon that received the job writes it after the specification and
/// before it answers the caller. Specifications are in a topic of their own, because only a leader
/// needs them.
struct AcceptedRecord {
  Queue Queue_;          ///< configuration of the queue at acceptance, without host and path
  std::string Customer_; ///< empty when an anonymous queue was called without a key
  std::int64_t AcceptedMs_ = 0;
  /// Memory that the job takes in a leader; 0 from daemons that do not know it.
  std::uint64_t MemoryBytes_ = 0;
  MSGPACK_DEFINE_ARRAY(Queue_, Customer_, AcceptedMs_, MemoryBytes_)
};

/// Cancellation of a job by a caller.
struct CancelledRecord {
  std::int64_t CancelledMs_ = 0;
  MSGPACK_DEFINE_ARRAY(CancelledMs_)
};

/// Failed runs of one task or gang.
struct FailureCount {
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0; ///< 0 for a gang
  /// Numbers of the failed runs. A new leader reads the ends of runs in any order, so the highest
  /// number alone does not identify them.
  std::vector<std::uint64_t> Runs_;
  MSGPACK_DEFINE_ARRAY(Occurrence_, Step_, Index_, Runs_)
};

/// A run whose executor was lost right after it had started the run.
struct SuspectRun {
  std::uint64_t Run_ = 0;
  std::string ExecutorId_;
  std::int64_t Incarnation_ = 0; ///< of the executor, 0 when unknown
  /// The executor has crashed. False while it is only known not to answer.
  bool Crashed_ = false;
  std::string Address_;  ///< of the executor
  bool Started_ = false; ///< the executor has confirmed the start
  MSGPACK_DEFINE_ARRAY(Run_, ExecutorId_, Incarnation_, Crashed_, Address_, Started_)

  bool operator==(const SuspectRun &) const = default;
};

/// A task that may crash the executors that start it.
struct SuspectTask {
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;
  std::vector<SuspectRun> Runs_;
  MSGPACK_DEFINE_ARRAY(Occurrence_, Step_, Index_, Runs_)
};

/// Finished tasks of one step of one occurrence.
struct StepProgress {
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::vector<bool> Done_; ///< by task, packed as one byte each, 1 when done
  MSGPACK_DEFINE_ARRAY(Occurrence_, Step_, Done_)
};

/// Runs of a task that were given up when the leases of their executors had lapsed. They may have
/// completed before, on executors that did not answer.
struct VoidedRuns {
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;
  std::uint64_t UpTo_ = 0; ///< highest number of these runs
  MSGPACK_DEFINE_ARRAY(Occurrence_, Step_, Index_, UpTo_)
};

/// State of a job that must survive a change of leader. Written only by the leader.
struct ProgressRecord {
  JobState State_ = JobState::Queued;
  std::uint64_t Term_ = 0; ///< term of the leader that started the job
  std::uint32_t FinishedOccurrences_ = 0;
  std::vector<StepProgress> Steps_;
  std::vector<FailureCount> Failures_;
  std::int64_t FinalMs_ = 0; ///< wall-clock time at which the job reached a final state
  std::vector<SuspectTask> Suspects_;
  FailureReason FailureReason_ = FailureReason::None;
  /// Stored before any of these tasks starts again.
  std::vector<VoidedRuns> Voided_;
  MSGPACK_DEFINE_ARRAY(State_, Term_, FinishedOccurrences_, Steps_, Failures_, FinalMs_, Suspects_,
                       FailureReason_, Voided_)
};

/// A row of the job table.
struct JobTableEntry {
  std::string Id_;
  bool Accepted_ = false;
  std::uint64_t AcceptedOffset_ = 0;
  AcceptedRecord Acceptance_;
  /// Spec_ has been read; daemons that cannot lead do not read it. The log keeps the specification
  /// of an ended job until all its runs are over.
  bool HasSpec_ = false;
  bool SpecRemoved_ = false; ///< its specification was removed from the log
  JobSpec Spec_;
  bool Cancelled_ = false;
  std::uint64_t StartedTerm_ = 0; ///< term of the leader that accepted and started it in one append
  std::optional<ProgressRecord> Progress_;
  std::uint64_t ProgressOffset_ = 0;
  std::size_t HeldBytes_ = 0;  ///< what the job counts in JobTable::held()
  bool CustomerKnown_ = false; ///< it is counted for the customer of its acceptance

  /// \returns the state that is reported to callers.
  JobState state() const;
  /// \returns why the job has failed, None unless state() is Failed.
  FailureReason failureReason() const;
};

/// An encoded record, ready to be appended to the log.
struct LogRecord {
  std::string Key_;
  std::string Value_;
};

/// Encode the records above under the keys of job \p Id.
LogRecord encodeAccepted(std::string_view Id, const AcceptedRecord &Record);
LogRecord encodeCancelled(std::string_view Id, const CancelledRecord &Record);
LogRecord encodeProgress(std::string_view Id, const ProgressRecord &Record);

/// Encodes that the leader of \p Term starts a job together with its acceptance. The record
/// precedes the accepted record in the same append. Such appends are not restricted to the current
/// leader, so the record only tells which leader may have started the job.
LogRecord encodeStarted(std::string_view Id, std::uint64_t Term);

/// \returns the job id of an accepted record, or an empty view for any other record.
std::string_view acceptedJobId(const LogRecord &Record);

/// Encodes a specification for the topic of specifications.
LogRecord encodeSpec(std::string_view Id, const JobSpec &Spec);

/// \returns records without values, which make the log delete all records of a job.
std::vector<LogRecord> encodeTombstones(std::string_view Id);

/// Effect of an applied record.
struct JobTableChange {
  enum class Kind { None, Accepted, Begun, Specified, Cancelled, Progressed, Removed, Unreadable };
  Kind Kind_ = Kind::None;
  std::string Id_;
};

/// Table of all known jobs. Applying a record more than once has no further effect.
class JobTable {
public:
  using ChangeHandler = std::function<void(const JobTableChange &)>;

  /// \param OnChange called after each change, whichever way the record was learned: the first
  /// application of a record is the only one that shows its effect. Must not apply records.
  void onChange(ChangeHandler OnChange) { OnChange_ = std::move(OnChange); }

  /// Applies the record at \p Offset.
  JobTableChange apply(std::uint64_t Offset, std::string_view Key, std::string_view Value);

  /// Applies a record of the topic of specifications; its value is empty when the job has
  /// ended and its runs are over.
  JobTableChange applySpec(std::string_view Id, std::string_view Value);

  /// \returns the job, or null when no acceptance is known.
  const JobTableEntry *find(std::string_view Id) const;

  /// \returns the number of accepted, uncancelled jobs of \p Queue that have not started a task.
  std::size_t pendingCount(std::string_view Queue) const;

  const std::unordered_map<std::string, JobTableEntry> &jobs() const { return Jobs_; }

  /// \returns the memory that the jobs of the table take in a leader, which holds more of each than
  /// the table.
  const HeldWork &held() const { return Held_; }

private:
  /// Updates what a job counts in held().
  void updateHeld(JobTableEntry &Job);
  void erase(std::unordered_map<std::string, JobTableEntry>::iterator Position);
  JobTableChange applyRecord(std::uint64_t Offset, std::string_view Key, std::string_view Value);
  JobTableChange applySpecRecord(std::string_view Id, std::string_view Value);
  /// Updates the set of queued jobs after \p Job has changed.
  void updateQueued(const JobTableEntry &Job);
  JobTableChange reported(JobTableChange Change) const;

  std::unordered_map<std::string, JobTableEntry> Jobs_;
  std::map<std::string, std::set<std::string>, std::less<>> QueuedByQueue_;
  HeldWork Held_;
  ChangeHandler OnChange_;
};

} // namespace masticdrift::work

#endif // MASTICDRIFT_WORK_LEDGER_H
