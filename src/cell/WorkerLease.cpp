#include "masticdrift/cell/WorkerLease.h"

#include <algorithm>

namespace masticdrift::cell {

namespace {

/// Latest time at which a renewal can have reached the worker: this owner's last one, or one of an
/// earlier owner, which sent nothing after this owner won the lease.
core::TimePoint latestRenewal(const WorkerLease &Lease, const WorkerLeaseTiming &Timing) {
  const core::TimePoint Own = Lease.LastSent_ ? *Lease.LastSent_ + Timing.Timeout_ : Lease.Since_;
  return std::max(Own, Lease.Since_ + Timing.Timeout_);
}

/// True while renewals are withheld so that the lease can end.
bool silent(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now) {
  return Now - Lease.AnsweredSent_.value_or(Lease.Since_) > Timing.Ttl_;
}

} // namespace

bool shouldRenew(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now) {
  if (Lease.InFlight_ || silent(Lease, Timing, Now))
    return false;
  return !Lease.LastSent_ || Now - *Lease.LastSent_ >= Timing.Renew_;
}

bool certainlyEnded(const WorkerLease &Lease, const WorkerLeaseTiming &Timing,
                    core::TimePoint Now) {
  return silent(Lease, Timing, Now) && !Lease.InFlight_ &&
         Now > latestRenewal(Lease, Timing) + Timing.Ttl_ + Timing.Margin_;
}

bool usable(const WorkerLease &Lease, const WorkerLeaseTiming &Timing, core::TimePoint Now) {
  return Lease.AnsweredSent_ && Now - *Lease.AnsweredSent_ < Timing.Ttl_;
}

} // namespace masticdrift::cell
