/// \file
/// The replicated table of jobs and the log records that it is built from.
///
/// All records of a job have keys that begin with a letter for the kind and end with the job's id;
/// the log keeps the newest record of each key, so each record stands for itself.
#ifndef MASTICDRIFT_WORK_LEDGER_H
#define MASTICDRIFT_WORK_LEDGER_H

#include "masticdrift/work/Job.h"
#include "masticdrift/work/Manifest.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticdrift::work {

/// A job was accepted. Written by the daemon that took it, before it answers and after the job's
/// steps, which only a leader needs and which stand in a topic of their own.
struct AcceptedRecord {
  Queue Queue_;          ///< its terms at that time, without host and path
  std::string Customer_; ///< empty on an open queue without key
  std::int64_t AcceptedMs_ = 0;
  MSGPACK_DEFINE_ARRAY(Queue_, Customer_, AcceptedMs_)
};

/// A caller cancelled a job.
struct CancelledRecord {
  std::int64_t CancelledMs_ = 0;
  MSGPACK_DEFINE_ARRAY(CancelledMs_)
};

/// Failed runs of one task.
struct FailureCount {
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0; ///< 0 for a gang
  /// Numbers of the failed runs. A new leader reads their ends in any order, so no highest number
  /// can stand for them.
  std::vector<std::uint64_t> Runs_;
  MSGPACK_DEFINE_ARRAY(Occurrence_, Step_, Index_, Runs_)
};

/// Finished tasks of one step of one occurrence; one byte a task, 1 when done.
struct StepProgress {
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::vector<bool> Done_;
  MSGPACK_DEFINE_ARRAY(Occurrence_, Step_, Done_)
};

/// Everything the leader knows of a job that must outlive it. Only the leader writes it.
struct ProgressRecord {
  JobState State_ = JobState::Queued;
  std::uint64_t Term_ = 0; ///< of the leader that began the job
  std::uint32_t FinishedOccurrences_ = 0;
  std::vector<StepProgress> Steps_;
  std::vector<FailureCount> Failures_;
  std::int64_t FinalMs_ = 0; ///< when the job became final, wall clock
  MSGPACK_DEFINE_ARRAY(State_, Term_, FinishedOccurrences_, Steps_, Failures_, FinalMs_)
};

/// One job of the table.
struct JobTableEntry {
  std::string Id_;
  bool Accepted_ = false;
  std::uint64_t AcceptedOffset_ = 0;
  AcceptedRecord Acceptance_;
  bool HasSpec_ = false; ///< Spec_ has been read; daemons that can't lead leave it out
  JobSpec Spec_;
  bool Cancelled_ = false;
  std::uint64_t StartedTerm_ = 0; ///< of the leader that accepted and began it in one append
  std::optional<ProgressRecord> Progress_;
  std::uint64_t ProgressOffset_ = 0;

  /// \returns the state that callers are shown.
  JobState state() const;
};

/// A record ready to be appended.
struct LogRecord {
  std::string Key_;
  std::string Value_;
};

LogRecord encodeAccepted(std::string_view Id, const AcceptedRecord &Record);
LogRecord encodeCancelled(std::string_view Id, const CancelledRecord &Record);
LogRecord encodeProgress(std::string_view Id, const ProgressRecord &Record);
/// The leader of \p Term takes the job on with its acceptance. Goes before the accepted entry, in
/// the same append. It is not the leader's alone to write, so it says no more than who may have
/// begun.
LogRecord encodeStarted(std::string_view Id, std::uint64_t Term);
/// \returns the job that an accepted entry is about, or an empty view for another entry.
std::string_view acceptedJobId(const LogRecord &Entry);
/// The steps of a job, for the topic of specifications.
LogRecord encodeSpec(std::string_view Id, const JobSpec &Spec);
/// Entries without values that make the log forget a job.
std::vector<LogRecord> encodeTombstones(std::string_view Id);

/// What applying a record changed.
struct JobTableChange {
  enum class Kind { None, Accepted, Specified, Cancelled, Progressed, Removed, Unreadable };
  Kind Kind_ = Kind::None;
  std::string Id_;
};

/// The table. Records may be applied more than once; the result is the same.
class JobTable {
public:
  /// Applies the record at \p Offset.
  JobTableChange apply(std::uint64_t Offset, std::string_view Key, std::string_view Value);

  /// Applies a record of the topic of specifications; no value when the job has ended.
  JobTableChange applySpec(std::string_view Id, std::string_view Value);

  /// \returns the job, or null when it was never accepted.
  const JobTableEntry *find(std::string_view Id) const;

  /// \returns accepted, uncancelled jobs of \p Queue whose first task has not started.
  std::size_t pendingCount(std::string_view Queue) const;

  const std::unordered_map<std::string, JobTableEntry> &jobs() const { return Jobs_; }

private:
  void updateQueued(const JobTableEntry &Job);

  std::unordered_map<std::string, JobTableEntry> Jobs_;
  std::map<std::string, std::set<std::string>, std::less<>> QueuedByQueue_;
};

} // namespace masticdrift::work

#endif // MASTICDRIFT_WORK_LEDGER_H
