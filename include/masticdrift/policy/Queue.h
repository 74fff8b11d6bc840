/// \file
/// Pending jobs of one failure domain, ordered by class, share and age.
///
/// Example:
/// \code
///   if (auto Reason = findInfeasibility(Cell, Job))
///     refuse(ResourceNames[Reason->Kind_], Reason->Largest_);
///   addPending(Pending, Job);
///   for (const Decision &Next : decide(Cell, Pending, Shares, Now, {}))
///     execute(Next);
/// \endcode
#ifndef MASTICDRIFT_POLICY_QUEUE_H
#define MASTICDRIFT_POLICY_QUEUE_H

#include "masticdrift/policy/Shares.h"

#include <span>
#include <tuple>

namespace masticdrift::policy {

/// A job with tasks that wait to be started.
struct PendingJob {
  std::string Id_;
  std::string Team_;
  std::string Family_; ///< jobs of one family have similar run times and sizes
  JobKind Kind_ = JobKind::Batch;
  bool Urgent_ = false;
  bool Checkpointable_ = false;
  bool Throttleable_ = false;
  bool Idempotent_ = true;
  Resources Size_; ///< per task, as allocated on the worker (see applyEstimate())
  Duration RunTime_ = std::chrono::minutes(1); ///< expected run time; not used for services
  TimePoint QueuedAt_;                         ///< start of the job's age
  /// Numbers of the waiting tasks. A task that has to run again is added with addPending().
  std::vector<std::uint32_t> Waiting_;
  std::uint64_t Sequence_ = 0; ///< set by addPending()
  std::uint32_t Shape_ = 0;    ///< index into PendingWork::Shapes_, set by addPending()
};

/// Priority classes, highest first: urgent jobs, then services, then batch jobs and gangs.
enum class WorkClass : std::uint8_t { Urgent, Service, Ordinary };
inline constexpr std::size_t WorkClassCount = 3;

using JobIndex = std::uint32_t;
using ShapeIndex = std::uint32_t;
/// Sort key of a waiting job: time queued, sequence number, job and shape.
using AgeKey = std::tuple<TimePoint, std::uint64_t, JobIndex, ShapeIndex>;

/// Scheduling-relevant properties shared by waiting jobs: if a task of one of them fits on a
/// worker, so does a task of the others.
struct Shape {
  JobKind Kind_ = JobKind::Batch;
  bool Urgent_ = false;
  bool Idempotent_ = true;
  Resources Size_;
  std::uint32_t Tasks_ = 1; ///< number of tasks of a gang; otherwise 1
  Duration RunTime_{};      ///< rounded up to a power of four seconds; for backfill
  /// freedLogEnd() of the cell when a task last did not fit; UINT64_MAX if never tried.
  std::uint64_t CheckedUpTo_ = UINT64_MAX;
  std::uint32_t Jobs_ = 0;             ///< waiting jobs of this shape
  std::uint32_t PositionInActive_ = 0; ///< index into PendingWork::ActiveShapes_ of its class
  /// Waiting jobs per team (index into PendingWork::Teams_), oldest first.
  std::map<std::uint32_t, std::set<AgeKey>> Waiting_;
};

/// Resources reserved for a waiting job.
struct Reservation {
  std::vector<WorkerIndex> Workers_; ///< one entry per task
  TimePoint Since_;
  TimePoint EstimatedStart_ = TimePoint::max();
  bool Exclusive_ = false; ///< backfill is disabled
  bool Urgent_ = false;    ///< the resources are being freed by preemption
};

/// Waiting jobs of one team by class, oldest first.
struct TeamQueue {
  std::string Team_;
  std::array<std::set<AgeKey>, WorkClassCount> Waiting_;
};

/// All pending jobs of a failure domain.
struct PendingWork {
  std::vector<PendingJob> Jobs_;
  std::vector<JobIndex> FreeJobs_;
  std::unordered_map<std::string, JobIndex> ById_;
  std::vector<TeamQueue> Teams_;
  std::unordered_map<std::string, std::uint32_t> TeamsByName_;
  std::vector<Shape> Shapes_;
  std::vector<ShapeIndex> FreeShapes_;
  std::array<std::vector<ShapeIndex>, WorkClassCount> ActiveShapes_; ///< shapes with waiting jobs
  std::map<std::tuple<JobKind, bool, bool, std::array<std::int64_t, core::ResourceKinds>,
                      std::uint32_t, std::int64_t>,
           ShapeIndex>
      ShapesByKey_;
  std::map<std::string, Reservation, std::less<>> Reservations_;
  std::uint64_t NextSequence_ = 1;
  std::size_t WaitingTasks_ = 0;
  TimePoint NextReservationAt_{};   ///< new reservations are made at a limited rate
  std::uint32_t PreemptOffset_ = 0; ///< worker at which the next search for victims starts
  std::uint32_t PlanOffset_ = 0;    ///< worker at which the next reservation plan starts
  bool LimitsReached_ = false;      ///< the last decide() stopped at its DecideLimits
};

WorkClass classOf(const PendingJob &Job);

/// Adds a job, or adds waiting tasks to the pending job with the same id.
void addPending(PendingWork &Pending, PendingJob Job);

const PendingJob *findPending(const PendingWork &Pending, std::string_view Id);

/// Removes all waiting tasks of a job. The next decide() drops the job's reservation.
/// \returns false if the job has no waiting task.
/// Cost: logarithmic.
bool cancel(PendingWork &Pending, std::string_view Id);

/// Cancels up to \p MaxJobs jobs from the end of \p Ids and removes them from it, so that a large
/// number of cancellations is processed in steps between decisions.
/// \returns the number of cancelled jobs that had waiting tasks.
std::size_t cancelSome(PendingWork &Pending, std::vector<std::string> &Ids, std::size_t MaxJobs);

/// Removes the waiting task with the lowest number, or all tasks of a gang, when they are started.
/// \returns the numbers of the removed tasks.
std::vector<std::uint32_t> takeWaiting(PendingWork &Pending, std::string_view Id);

/// Why a job can never run in a cell: the limiting resource.
struct Infeasibility {
  std::size_t Kind_ = 0;       ///< index into core::ResourceNames
  std::int64_t Requested_ = 0; ///< per task; for all tasks if only a gang's sum is too large
  std::int64_t Largest_ = 0;   ///< largest amount available
};

/// Checks whether a job could run if the cell were empty. Leaving workers are not counted,
/// quarantined ones are.
/// \returns the limiting resource, or nothing if the job can run.
/// Cost: linear in the number of workers.
std::optional<Infeasibility> findInfeasibility(const CellView &Cell, const PendingJob &Job);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_QUEUE_H
