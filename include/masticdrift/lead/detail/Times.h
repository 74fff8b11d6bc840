/// \file
/// Helpers for points in time and leases.
#ifndef MASTICDRIFT_LEAD_DETAIL_TIMES_H
#define MASTICDRIFT_LEAD_DETAIL_TIMES_H

#include "masticdrift/core/Clock.h"

namespace masticdrift::lead::detail {

/// Allowance for the transit time of the order that carries a lease end.
inline constexpr core::Millis LeaseSlack{250};

/// Largest difference between the wall clocks of two leaders that is allowed for.
inline constexpr core::Millis MaxClockDifference{10'000};

/// \returns true when \p Time was never set.
inline bool isUnset(core::TimePoint Time) { return Time == core::TimePoint{}; }

/// \returns the time after which a lease has ended even on an executor with a slower clock.
inline core::Duration leaseUpperBound(core::Millis Lease, double ClockRateMargin) {
  return std::chrono::duration_cast<core::Duration>(Lease * ClockRateMargin) + LeaseSlack;
}

} // namespace masticdrift::lead::detail

#endif // MASTICDRIFT_LEAD_DETAIL_TIMES_H
