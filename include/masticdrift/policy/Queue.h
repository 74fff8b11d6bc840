/// \file
/// Pending durable work of one failure domain, ordered by class, share and age.
///
/// Example:
/// \code
///   if (auto Why = impossible(Cell, Job)) refuse(ResourceNames[Why->Kind_], Why->Largest_);
///   addPending(Pending, Job);
///   for (const Decision &One : decide(Cell, Pending, Shares, Now, {})) carryOut(One);
/// \endcode
#ifndef MASTICDRIFT_POLICY_QUEUE_H
#define MASTICDRIFT_POLICY_QUEUE_H

#include "masticdrift/policy/Shares.h"

#include <span>
#include <tuple>

namespace masticdrift::policy {

/// A job with tasks that wait for a start.
struct PendingJob {
  std::string Id_;
  std::string Team_;
  std::string Family_; ///< jobs of the same family resemble each other in run time and size
  JobKind Kind_ = JobKind::Batch;
  bool Urgent_ = false;
  bool Checkpointable_ = false;
  bool Throttleable_ = false;
  bool Idempotent_ = true;
  Resources Size_; ///< per task, as it is reserved on the worker (see applyEstimate)
  Duration RunTime_ = std::chrono::minutes(1); ///< expected run time; not used for services
  TimePoint QueuedAt_;                         ///< age counts from here
  /// Task numbers that wait. A task that has to run again is added with addPending.
  std::vector<std::uint32_t> Waiting_;
  std::uint64_t Sequence_ = 0; ///< set by addPending
  std::uint32_t Shape_ = 0;    ///< index into PendingWork::Shapes_, set by addPending
};

/// Order of classes: all urgent work, then services, then batch and gang work.
enum class WorkClass : std::uint8_t { Urgent, Service, Ordinary };
inline constexpr std::size_t WorkClassCount = 3;

using JobIndex = std::uint32_t;
using ShapeIndex = std::uint32_t;
/// Time queued, sequence, job and its shape.
using AgeKey = std::tuple<TimePoint, std::uint64_t, JobIndex, ShapeIndex>;

/// A kind of task that fits or does not fit wherever another of the same shape does.
struct Shape {
  JobKind Kind_ = JobKind::Batch;
  bool Urgent_ = false;
  bool Idempotent_ = true;
  Resources Size_;
  std::uint32_t Tasks_ = 1; ///< of a gang
  Duration RunTime_{};      ///< rounded up to a power of four seconds, for backfill
  /// freedLogEnd() of the cell when a task last did not fit; the largest value: never tried.
  std::uint64_t CheckedUpTo_ = UINT64_MAX;
  std::uint32_t Jobs_ = 0;             ///< waiting jobs of this shape
  std::uint32_t PositionInActive_ = 0; ///< in PendingWork::ActiveShapes_ of its class
  /// Waiting jobs by index into PendingWork::Teams_, oldest first.
  std::map<std::uint32_t, std::set<AgeKey>> Waiting_;
};

/// Room kept for a job that waits for all its tasks.
struct Reservation {
  std::vector<WorkerIndex> Workers_; ///< one entry per task
  TimePoint Since_;
  TimePoint EstimatedStart_ = TimePoint::max();
  bool Exclusive_ = false; ///< no backfill any more
  bool Urgent_ = false;    ///< room that is being freed by preemption
};

/// Waiting jobs of one team by class, oldest first.
struct TeamQueue {
  std::string Team_;
  std::array<std::set<AgeKey>, WorkClassCount> Waiting_;
};

/// All pending work.
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
  std::size_t Tasks_ = 0;           ///< waiting tasks
  TimePoint NextReservationAt_{};   ///< reservations are looked for at a low rate
  std::uint32_t PreemptOffset_ = 0; ///< where the next search for victims starts
  std::uint32_t PlanOffset_ = 0;    ///< where the next plan for a reservation starts
  bool LimitsReached_ = false;      ///< the last decide() stopped at its budget
};

WorkClass classOf(const PendingJob &Job);

/// Adds a job, or more waiting tasks of a pending job of the same id.
void addPending(PendingWork &Pending, PendingJob Job);

const PendingJob *findPending(const PendingWork &Pending, std::string_view Id);

/// Removes all waiting tasks of a job. Reserved room is given back by the next decide().
/// \returns false when the job has no waiting task. Cost: logarithmic.
bool cancel(PendingWork &Pending, std::string_view Id);

/// Cancels up to \p Most jobs from the end of \p Ids and removes them from it, so that a wave of
/// cancellations is worked off between decisions.
/// \returns the number of jobs that had waiting tasks.
std::size_t cancelSome(PendingWork &Pending, std::vector<std::string> &Ids, std::size_t MaxJobs);

/// Removes one waiting task (the lowest), or all of a gang, after their start.
/// \returns the numbers of the tasks.
std::vector<std::uint32_t> takeWaiting(PendingWork &Pending, std::string_view Id);

/// Why a job can never run in this cell.
struct Infeasibility {
  std::size_t Kind_ = 0;       ///< index into core::ResourceNames
  std::int64_t Requested_ = 0; ///< for gangs by all tasks if only their sum is too large
  std::int64_t Largest_ = 0;   ///< largest amount available
};

/// Checks a job against the empty cell; leaving workers do not count, quarantined ones do.
/// Cost: linear in the number of workers.
std::optional<Infeasibility> findInfeasibility(const CellView &Cell, const PendingJob &Job);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_QUEUE_H
