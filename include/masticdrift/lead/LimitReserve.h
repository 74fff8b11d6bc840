/// \file
/// The part of a customer's limit that its less urgent work leaves free, so that the customer's
/// next urgent job does not wait for long tasks.
#ifndef MASTICDRIFT_LEAD_LIMITRESERVE_H
#define MASTICDRIFT_LEAD_LIMITRESERVE_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Resources.h"
#include "masticdrift/lead/RoomPlan.h"

#include <cstdint>

namespace masticdrift::lead {

/// Decaying peak demand of a customer's first-priority work.
struct DemandPeak {
  core::Resources Highest_; ///< in use and waiting, as far as the limit lets it run at once
  core::Resources Demand_;  ///< in use and waiting at the last placement pass
  core::Resources InUse_;
  core::TimePoint UpdatedAt_;
};

/// Updates the peak from the present demand.
void updatePeak(DemandPeak &Peak, const core::Resources &Limit, core::TimePoint Now);

/// \returns the part of the limit that less urgent work must leave free, at most half of it.
core::Resources reserveOf(const DemandPeak &Peak, const core::Resources &Limit);

/// \returns true when \p Need fits beside \p Used; a limit of 0 means that there is none.
bool fitsLimit(const core::Resources &Used, const core::Resources &Need,
               const core::Resources &Limit);

/// Decides whether less urgent work may start within the limit. A customer that uses less than half
/// of its limit is not held back: its work would wait although nothing is short.
bool fitsBesideReserve(const core::Resources &Used, const core::Resources &Need,
                       const core::Resources &Limit, const core::Resources &Reserved);

/// Determines how many tasks fitsBesideReserve() lets start by the time \p By.
///
/// \param Account the room within \p Limit.
/// \returns the number of tasks, at most \p MaxTasks.
std::uint32_t slotsBesideReserve(const RoomAccount &Account, const core::Resources &Need,
                                 core::TimePoint By, std::uint32_t MaxTasks,
                                 const core::Resources &Limit, const core::Resources &Reserved);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_LIMITRESERVE_H
