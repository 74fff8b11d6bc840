/// \file
/// State of a domain's durable jobs, built by replaying its log records.
#ifndef MASTICDRIFT_JOBS_DOMAINSTATE_H
#define MASTICDRIFT_JOBS_DOMAINSTATE_H

#include "masticdrift/jobs/Job.h"
#include "masticdrift/jobs/Records.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::jobs {

/// Effect of a record.
enum class ChangeKind : std::uint8_t {
  None,            ///< the record does not concern durable jobs
  Malformed,       ///< cannot be decoded, or a field is out of range
  StaleTerm,       ///< the term of the record is not in force
  UnknownJob,      ///< the job or task does not exist or is no longer kept
  NotApplicable,   ///< not valid in the task's state, for example not the current attempt
  Accepted,        ///< first Accept of a job id
  Duplicate,       ///< later Accept of a job id; the existing job is unchanged
  CancelRequested, ///< first Cancel of an unfinished job
  Started,         ///< the attempt is recorded and may be sent to the worker
  Ended,           ///< the task has finished
  Requeued,        ///< the attempt ended and the task waits for the next one
  Held,            ///< the task is held
};

/// Effect of a record on a job or task.
struct Change {
  ChangeKind Kind_ = ChangeKind::None;
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0;
  std::string Worker_;       ///< set for Started, Ended, Requeued and Held
  bool JobFinished_ = false; ///< the job reached a final state or a held one was settled
};

/// A task that waits to be started.
struct RunnableTask {
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0; ///< attempt number that the next Start must have
};

/// The waiting tasks of one job.
struct RunnableJob {
  std::shared_ptr<const JobSpec> Spec_;
  std::uint64_t AcceptSequence_ = 0;
  std::vector<RunnableTask> Tasks_;
  std::uint32_t Running_ = 0; ///< number of the job's running tasks
};

/// A task that runs according to its last Start.
struct RunningTask {
  std::shared_ptr<const JobSpec> Spec_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0;
  std::string Worker_;
  std::uint64_t Term_ = 0;
  std::uint64_t StartOffset_ = 0;
  bool CancelRequested_ = false;
  std::string LeaseGeneration_; ///< generation of the worker's lease, from the Start
};

/// A task together with the properties of its job.
struct TaskView {
  std::shared_ptr<const JobSpec> Spec_;
  Task Task_;
  bool CancelRequested_ = false;
};

/// Options of DomainState.
struct DomainStateOptions {
  /// Maximum number of finished jobs that are kept, so that a resubmission returns the first
  /// outcome. Must be the same on all daemons of a domain, because replay drops the oldest finished
  /// jobs above this number.
  std::size_t MaxFinishedJobs_ = 5'000;
};

/// Number of jobs in each state.
using JobCounts = std::map<JobState, std::size_t>;

/// Replays records in offset order. apply(), encode() and decode() may be called only by the replay
/// thread; all other functions are thread-safe.
///
/// Jobs are sharded by the hash of their id, and each shard has its own lock. The state depends
/// only on the applied records, so all daemons reach the same state.
class DomainState {
public:
  explicit DomainState(DomainStateOptions Options = {});
  DomainState(const DomainState &) = delete;
  DomainState &operator=(const DomainState &) = delete;
  ~DomainState();

  /// Applies one record.
  ///
  /// \param Record any entry of the domain's stream; types not in Records.h have no effect.
  /// \param Offset offset of the batch that contains the record.
  /// \param TermInForce term in force at the record; a Start, End or Hold with another term has no
  /// effect.
  /// \returns what changed.
  Change apply(const journal::Entry &Record, std::uint64_t Offset, std::uint64_t TermInForce);

  /// \returns a copy of the job, or no value when it does not exist or is no longer kept.
  std::optional<Job> find(std::string_view Id) const;

  /// \returns one task of a job, or no value when it does not exist or is no longer kept.
  /// \remark Cost: constant, whereas find() copies all tasks.
  std::optional<TaskView> findTask(std::string_view Id, std::uint32_t TaskIndex) const;

  /// \returns copies of the jobs of \p Team, or of all teams when it is empty, in order of
  /// acceptance.
  std::vector<Job> list(std::string_view Team = {}) const;

  /// \returns the waiting tasks of unfinished jobs without a cancel request, in order of
  /// acceptance.
  std::vector<RunnableJob> runnable() const;

  /// \returns the running tasks of \p Worker, ordered by job and task.
  std::vector<RunningTask> runningOn(std::string_view Worker) const;

  /// \returns all running tasks by worker.
  std::map<std::string, std::vector<RunningTask>> runningByWorker() const;

  /// \returns the number of jobs in each state.
  JobCounts counts() const;

  /// \returns the encoded state; equal sequences of records give equal bytes.
  std::string encode() const;

  /// Replaces the state by a decoded one.
  ///
  /// \returns false when \p Bytes are malformed, in which case the state is unchanged.
  bool decode(std::string_view Bytes);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::jobs

#endif // MASTICDRIFT_JOBS_DOMAINSTATE_H
