/// \file
/// Why a job waits.
#ifndef MASTICDRIFT_POLICY_EXPLAIN_H
#define MASTICDRIFT_POLICY_EXPLAIN_H

#include "masticdrift/policy/Place.h"

namespace masticdrift::policy {

enum class WaitReason : std::uint8_t {
  NotWaiting,      ///< the job is not pending
  Next,            ///< it fits and starts with one of the next decisions
  Limit,           ///< its team is at its limit
  Share,           ///< teams further below their share go first
  NoFittingWorker, ///< no worker of the cell has the capacity
  NoRoom,          ///< workers with the capacity are full
  GangTasks,       ///< waiting for room for all tasks of the gang
  Quarantine,      ///< only quarantined workers have room
  ReservedForGang, ///< the room is reserved for a gang or another large task
  FreeingRoom,     ///< urgent: other work is being preempted
};

struct Explanation {
  WaitReason Reason_ = WaitReason::NotWaiting;
  std::string Text_;               ///< one sentence for the caller
  std::uint32_t FittingTasks_ = 0; ///< for gangs: n of m tasks fit now
  std::uint32_t Tasks_ = 0;
  std::optional<TimePoint> EstimatedStart_;
};

/// Explains the current wait of a job. Cost: linear in the number of workers; meant for status
/// queries, not for the decision loop.
Explanation explain(const CellView &Cell, const PendingWork &Pending, const Shares &Teams,
                    std::string_view Id, TimePoint Now);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_EXPLAIN_H
