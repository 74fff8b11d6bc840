/// \file
/// Replayed state of a domain's durable work.
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

/// What a record did.
enum class ChangeKind : std::uint8_t {
  None,            ///< not a record of durable work
  Malformed,       ///< undecodable or out of range
  StaleTerm,       ///< carries a term that is not in force
  UnknownJob,      ///< names a job or task that does not exist (any more)
  NotApplicable,   ///< does not fit the task's state, for example an attempt that is not current
  Accepted,        ///< first Accept of an id
  Duplicate,       ///< later Accept of an id; the job's state is the answer
  CancelRequested, ///< first Cancel of an unfinished job
  Started,         ///< the attempt is in force and may be sent to the worker
  Ended,           ///< the task is finished
  Requeued,        ///< the attempt ended and the task waits for another one
  Held,            ///< the task is held
};

struct Change {
  ChangeKind Kind_ = ChangeKind::None;
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0;
  std::string Worker_;       ///< of Started, Ended, Requeued and Held
  bool JobFinished_ = false; ///< the job reached a final state, or a held one was settled
};

/// A task that waits for a start.
struct RunnableTask {
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0; ///< the attempt that a Start has to name
};

/// The waiting tasks of one job.
struct RunnableJob {
  std::shared_ptr<const JobSpec> Spec_;
  std::uint64_t AcceptSequence_ = 0;
  std::vector<RunnableTask> Tasks_;
  std::uint32_t Running_ = 0; ///< number of the job's running tasks
};

/// A task whose Start is in force.
struct RunningTask {
  std::shared_ptr<const JobSpec> Spec_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0;
  std::string Worker_;
  std::uint64_t Term_ = 0;
  std::uint64_t StartOffset_ = 0;
  bool CancelRequested_ = false;
  std::string LeaseGeneration_; ///< generation of the worker's lease that the Start names
};

/// One task with what belongs to its job.
struct TaskView {
  std::shared_ptr<const JobSpec> Spec_;
  Task Task_;
  bool CancelRequested_ = false;
};

struct DomainStateOptions {
  /// Finished jobs that are kept, so that a resubmission returns the first outcome. Must be the
  /// same at all daemons of a domain, since replay drops the oldest ones above it.
  std::size_t MaxFinishedJobs_ = 5'000;
};

/// Numbers of jobs by state.
using JobCounts = std::map<JobState, std::size_t>;

/// Applies records in offset order. apply(), encode() and decode() are for the replay thread; all
/// reads are thread-safe.
///
/// Jobs are sharded by hash of the id, each shard under its own lock. The result depends only on
/// the records applied, so all daemons reach the same state.
class DomainState {
public:
  explicit DomainState(DomainStateOptions Options = {});
  DomainState(const DomainState &) = delete;
  DomainState &operator=(const DomainState &) = delete;
  ~DomainState();

  /// Applies one record.
  ///
  /// \param Record any entry of the domain stream; others than those of Records.h have no effect.
  /// \param Offset of the batch.
  /// \param TermInForce term in force at this record; Start, End and Hold of another term have no
  /// effect.
  /// \returns what changed.
  Change apply(const journal::Entry &Record, std::uint64_t Offset, std::uint64_t TermInForce);

  /// \returns a copy of the job, nothing when it is not known (any more).
  std::optional<Job> find(std::string_view Id) const;

  /// \returns one task of a job, nothing when it is not known (any more). Cost: constant, unlike
  /// find().
  std::optional<TaskView> findTask(std::string_view Id, std::uint32_t TaskIndex) const;

  /// \returns copies of all jobs of \p Team in order of acceptance, all teams when it is empty.
  std::vector<Job> list(std::string_view Team = {}) const;

  /// \returns waiting tasks of unfinished jobs that are not being cancelled, by acceptance.
  std::vector<RunnableJob> runnable() const;

  /// \returns the running tasks of \p Worker, ordered by job and task.
  std::vector<RunningTask> runningOn(std::string_view Worker) const;

  /// \returns all running tasks by worker.
  std::map<std::string, std::vector<RunningTask>> runningByWorker() const;

  JobCounts counts() const;

  /// \returns the state as bytes; equal for equal histories.
  std::string encode() const;

  /// Replaces the state.
  ///
  /// \returns false when \p Bytes are malformed; the state is then unchanged.
  bool decode(std::string_view Bytes);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::jobs

#endif // MASTICDRIFT_JOBS_DOMAINSTATE_H
