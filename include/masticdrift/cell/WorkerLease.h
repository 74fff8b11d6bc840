/// \file
/// Owner-side state of one worker's lease.
#ifndef MASTICDRIFT_CELL_WORKERLEASE_H
#define MASTICDRIFT_CELL_WORKERLEASE_H

#include "masticdrift/core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace masticdrift::cell {

/// Durations of the lease protocol between an owner and a worker.
struct WorkerLeaseTiming {
  core::Duration Ttl_ = core::Millis(10'000);           ///< lease duration that one renewal grants
  core::Duration RenewInterval_ = core::Millis(3'333);  ///< time between renewals
  core::Duration RequestTimeout_ = core::Millis(2'000); ///< timeout of one lease request
  core::Duration SafetyMargin_ = core::Millis(500);     ///< margin for clock drift and pauses
};

/// State of one worker's lease as known to the owner. Plain data; the functions below interpret it.
struct WorkerLease {
  std::string Generation_; ///< lease generation; a new one means that all earlier tasks have ended
  core::TimePoint FirstContact_{}; ///< when this owner first knew of the worker
  /// Send time of the last renewal that was answered.
  std::optional<core::TimePoint> LastAnsweredSentAt_;
  std::optional<core::TimePoint> LastSentAt_; ///< send time of the last renewal
  bool InFlight_ = false;                     ///< a renewal is outstanding
};

/// \returns true when a renewal should be sent now.
///
/// A worker that has not answered for a whole lease duration gets no renewals until its lease has
/// certainly expired: a renewal whose answer is lost would extend the lease without the owner's
/// knowledge.
bool shouldRenew(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now);

/// \returns true when the lease has certainly expired, so that the worker has stopped all tasks of
/// the last known generation.
bool hasExpired(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now);

/// \returns true when the worker may get new tasks: it answered a renewal sent less than one lease
/// duration ago.
bool isUsable(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now);

} // namespace masticdrift::cell

#endif // MASTICDRIFT_CELL_WORKERLEASE_H
