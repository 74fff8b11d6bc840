/// \file
/// Explains why a job is waiting.
#ifndef MASTICDRIFT_POLICY_EXPLAIN_H
#define MASTICDRIFT_POLICY_EXPLAIN_H

#include "masticdrift/policy/Place.h"

namespace masticdrift::policy {

/// Reason why a job is waiting.
enum class WaitReason : std::uint8_t {
  NotWaiting,      ///< the job is not pending
  Next,            ///< the job fits and starts with one of the next decisions
  Limit,           ///< the job's team is at its limit
  Share,           ///< teams further below their share go first
  NoFittingWorker, ///< no worker of the cell has enough capacity
  NoRoom,          ///< all workers with enough capacity are full
  GangTasks,       ///< the gang's tasks do not all fit yet
  Quarantine,      ///< only quarantined workers have free resources
  ReservedForGang, ///< the free resources are reserved for a gang or a large task
  FreeingRoom,     ///< other tasks are being preempted for this urgent job
};

/// Result of explain().
struct Explanation {
  WaitReason Reason_ = WaitReason::NotWaiting;
  std::string Text_;               ///< one sentence for the user
  std::uint32_t FittingTasks_ = 0; ///< number of tasks that fit now, at most Tasks_
  std::uint32_t Tasks_ = 0;        ///< number of waiting tasks
  std::optional<TimePoint> EstimatedStart_;
};

/// Explains why a job is currently waiting. Intended for status queries, not for the decision loop.
/// Cost: linear in the number of workers.
Explanation explain(const CellView &Cell, const PendingWork &Pending, const Shares &Teams,
                    std::string_view Id, TimePoint Now);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_EXPLAIN_H
