/// \file
/// What the owner knows of one worker's lease.
#ifndef MASTICDRIFT_CELL_WORKERLEASE_H
#define MASTICDRIFT_CELL_WORKERLEASE_H

#include "masticdrift/core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace masticdrift::cell {

struct WorkerLeaseTiming {
  core::Duration Ttl_ = core::Millis(10'000);           ///< lease that one renewal grants
  core::Duration RenewInterval_ = core::Millis(3'333);  ///< between renewals
  core::Duration RequestTimeout_ = core::Millis(2'000); ///< of one exchange
  core::Duration SafetyMargin_ = core::Millis(500);     ///< for clock drift and pauses
};

/// Lease of one worker as its owner sees it. Plain data; see the functions below.
struct WorkerLease {
  std::string
      Generation_; ///< generation of the lease; a new one means that all earlier tasks have ended
  core::TimePoint FirstContact_{}; ///< when this owner first dealt with the worker
  std::optional<core::TimePoint>
      LastAnsweredSentAt_;                    ///< send time of the last renewal that was answered
  std::optional<core::TimePoint> LastSentAt_; ///< send time of the last renewal
  bool InFlight_ = false;
};

/// \returns true when a renewal should be sent now.
///
/// A worker that has not answered for a whole lease gets no renewals until the lease has certainly
/// ended: a renewal whose answer is lost would extend it without the owner's knowledge.
bool shouldRenew(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now);

/// \returns true when the worker has certainly stopped all tasks of the last known generation.
bool hasExpired(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now);

/// \returns true when the worker may get new tasks: it answered within its lease.
bool isUsable(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now);

} // namespace masticdrift::cell

#endif // MASTICDRIFT_CELL_WORKERLEASE_H
