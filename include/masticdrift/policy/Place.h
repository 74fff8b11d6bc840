/// \file
/// Placement decisions.
#ifndef MASTICDRIFT_POLICY_PLACE_H
#define MASTICDRIFT_POLICY_PLACE_H

#include "masticdrift/policy/Queue.h"

namespace masticdrift::policy {

enum class DecisionKind : std::uint8_t { Start, Preempt };

/// One thing that the owner has to carry out.
struct Decision {
  DecisionKind Kind_ = DecisionKind::Start;
  PreemptionMethod Method_ = PreemptionMethod::Checkpoint; ///< for Preempt
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::string Worker_;
  WorkerIndex WorkerIndex_ = 0;
};

/// Bounds of one decide() call and the times of the reservation rules.
struct DecideLimits {
  std::size_t MaxDecisions_ = 64;
  std::size_t MaxShapesTried_ = 2000; ///< shapes of work tried
  /// A gang or a task that does not fit gets room reserved after this wait.
  Duration ReserveAfter_ = std::chrono::seconds(5);
  /// An older reservation allows no backfill, so that wrong run times cannot delay it for ever.
  Duration ExclusiveAfter_ = std::chrono::seconds(120);
  /// Part of the cell that may be reserved; one reservation is always allowed.
  double MaxReservedFraction_ = 0.25;
  bool AllowPreemption_ = true;
};

/// Decides what to start and what to preempt. The view, the queue and the shares are changed as if
/// every decision were carried out: started tasks are placed and no longer pending; preempted ones
/// stay placed, marked, until the caller reports what became of them (taskEnded, throttled or
/// preemptFailed). A start that could not be carried out is undone with taskEnded and addPending.
/// \returns the decisions in the order to carry them out; the tasks of a gang are adjacent.
/// Cost: linear in the teams with pending work and in the decisions; below linear in the workers.
std::vector<Decision> decide(CellView &Cell, PendingWork &Pending, Shares &Teams, TimePoint Now,
                             const DecideLimits &Limits);

/// Adds a placement found by replay or on a worker, with the team's usage.
void taskRunning(CellView &Cell, Shares &Teams, WorkerIndex HostIndex, Placement NewPlacement,
                 TimePoint Now);

/// Removes a placement with the team's usage.
/// \returns the removed placement, or nothing when it is not known.
std::optional<Placement> taskEnded(CellView &Cell, Shares &Teams, std::string_view Job,
                                   std::uint32_t Task, TimePoint Now);

/// Confirms that a task was throttled, with the team's usage.
void taskThrottled(CellView &Cell, Shares &Teams, std::string_view Job, std::uint32_t Task,
                   TimePoint Now);

/// \returns the time at which the placement is expected to end; a task that runs longer than
/// expected is expected to run half as long again as it has.
TimePoint expectedEnd(const Placement &Placed, TimePoint Now);

namespace detail {

/// \returns true when a task of \p Size that ends at \p End may start on \p Host now without taking
/// room that is reserved for other jobs.
bool fitsOn(const CellView &Cell, const Worker &Host, const Resources &Size, std::string_view Job,
            TimePoint End, bool Urgent);

/// \returns the worker for one task of a job, or nothing.
std::optional<WorkerIndex> findWorkerFor(const CellView &Cell, const PendingJob &Job,
                                         TimePoint Now);

} // namespace detail

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_PLACE_H
