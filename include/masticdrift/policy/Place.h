/// \file
/// Placement and preemption decisions.
#ifndef MASTICDRIFT_POLICY_PLACE_H
#define MASTICDRIFT_POLICY_PLACE_H

#include "masticdrift/policy/Queue.h"

namespace masticdrift::policy {

/// Whether a task is started or preempted.
enum class DecisionKind : std::uint8_t { Start, Preempt };

/// A start or preemption that the owner has to execute.
struct Decision {
  DecisionKind Kind_ = DecisionKind::Start;
  PreemptionMethod Method_ = PreemptionMethod::Checkpoint; ///< only for DecisionKind::Preempt
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::string Worker_;
  WorkerIndex WorkerIndex_ = 0;
};

/// Limits of one decide() call and parameters of reservations.
struct DecideLimits {
  std::size_t MaxDecisions_ = 64;
  std::size_t MaxStartAttempts_ = 2000; ///< attempts to start a job
  /// Waiting time after which resources are reserved for a gang or a task that does not fit.
  Duration ReserveAfter_ = std::chrono::seconds(5);
  /// Age from which a reservation allows no backfill, so that wrong run time estimates cannot delay
  /// the job indefinitely.
  Duration ExclusiveAfter_ = std::chrono::seconds(120);
  /// Maximum fraction of the cell that may be reserved; one reservation is always allowed.
  double MaxReservedFraction_ = 0.25;
  bool AllowPreemption_ = true;
};

/// Decides which tasks to start and which to preempt. \p Cell, \p Pending and \p Teams are updated
/// as if every decision were executed: started tasks are placed and no longer pending; preempted
/// tasks stay placed with Placement::PendingPreemption_ set until the caller reports the result
/// with taskEnded(), taskThrottled() or preemptFailed(). A start that failed is reverted with
/// taskEnded() and addPending().
/// \returns the decisions in the order of execution; the tasks of a gang are adjacent.
/// Cost: linear in the number of teams with pending work and of decisions; sublinear in the number
/// of workers.
std::vector<Decision> decide(CellView &Cell, PendingWork &Pending, Shares &Teams, TimePoint Now,
                             const DecideLimits &Limits);

/// Adds a placement that was replayed or reported by a worker, and its usage to the team.
void taskRunning(CellView &Cell, Shares &Teams, WorkerIndex HostIndex, Placement NewPlacement,
                 TimePoint Now);

/// Removes a placement, and its usage from the team.
/// \returns the removed placement, or nothing if (job, task) is not placed.
std::optional<Placement> taskEnded(CellView &Cell, Shares &Teams, std::string_view Job,
                                   std::uint32_t Task, TimePoint Now);

/// Records that a task was throttled, and lowers the team's usage.
void taskThrottled(CellView &Cell, Shares &Teams, std::string_view Job, std::uint32_t Task,
                   TimePoint Now);

/// Returns the expected end of a task. An overdue task is expected to run for another half of its
/// run time so far, at least for one second.
TimePoint expectedEnd(const Placement &Placed, TimePoint Now);

namespace detail {

/// Returns whether a task of \p Size that ends at \p End can start on \p Host now without using
/// resources that are reserved for other jobs.
bool fitsOn(const CellView &Cell, const Worker &Host, const Resources &Size, std::string_view Job,
            TimePoint End, bool Urgent);

/// Returns a worker for one task of a job, or nothing if no worker fits.
std::optional<WorkerIndex> findWorkerFor(const CellView &Cell, const PendingJob &Job,
                                         TimePoint Now);

} // namespace detail

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_PLACE_H
