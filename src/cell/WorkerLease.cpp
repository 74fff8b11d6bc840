#include "masticdrift/cell/WorkerLease.h"

#include <algorithm>

namespace masticdrift::cell {

namespace {

/// \returns the latest time at which a renewal can have reached the worker: this owner's last one,
/// or one of an earlier owner, which sent nothing after this owner acquired the domain's lease.
core::TimePoint latestRenewalArrival(const WorkerLease &Lease, const WorkerLeaseTiming &Timing) {
  const core::TimePoint OwnArrival =
      Lease.LastSentAt_ ? *Lease.LastSentAt_ + Timing.RequestTimeout_ : Lease.FirstContact_;
  return std::max(OwnArrival, Lease.FirstContact_ + Timing.RequestTimeout_);
}

/// \returns true while renewals are withheld so that the lease can expire.
bool isUnresponsive(const WorkerLease &Lease, const WorkerLeaseTiming &Timing,
                    core::TimePoint Now) {
  return Now - Lease.LastAnsweredSentAt_.value_or(Lease.FirstContact_) > Timing.Ttl_;
}

} // namespace

bool shouldRenew(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now) {
  if (Lease.InFlight_ || isUnresponsive(Lease, Timing, Now))
    return false;
  return !Lease.LastSentAt_ || Now - *Lease.LastSentAt_ >= Timing.RenewInterval_;
}

bool hasExpired(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now) {
  return isUnresponsive(Lease, Timing, Now) && !Lease.InFlight_ &&
         Now > latestRenewalArrival(Lease, Timing) + Timing.Ttl_ + Timing.SafetyMargin_;
}

bool isUsable(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now) {
  return Lease.LastAnsweredSentAt_ && Now - *Lease.LastAnsweredSentAt_ < Timing.Ttl_;
}

} // namespace masticdrift::cell
