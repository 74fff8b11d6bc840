/// \file
/// The ownership lease that this daemon holds.
#ifndef MASTICDRIFT_OWNERSHIP_OWNERLEASE_H
#define MASTICDRIFT_OWNERSHIP_OWNERLEASE_H

#include "masticdrift/core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace masticdrift::ownership {

/// A member and its incarnation.
using MemberId = std::pair<std::string, std::uint64_t>;

/// Lease of one term, extended by confirmed renewals and by promises. Reads no clock: the caller
/// passes all times.
class OwnerLease {
public:
  /// \param Length duration for which a claim, a renewal or a promise extends the lease.
  explicit OwnerLease(core::Duration Length) : Length_(Length) {}

  /// Starts a term whose claim was sent at \p SentAt.
  void beginTerm(std::uint64_t Term, core::TimePoint SentAt);

  /// Ends the term.
  void endTerm();

  /// Extends the lease by a renewal that was sent at \p SentAt and has been read back.
  void confirmRenewal(core::TimePoint SentAt);

  /// Stores the promise that \p Member gave in reply to a probe sent at \p SentAt.
  void addPromise(const MemberId &Member, std::uint64_t Term, core::TimePoint SentAt);

  /// Extends the lease to the oldest of the members' latest promises plus the lease length, if all
  /// members in \p View have promised.
  ///
  /// \param View all other members, from the last read of the stream.
  /// \param Evicting members whose eviction has been sent and not read back. At least one member of
  /// \p View must not be among them, since a claimant may already have read the eviction.
  void applyPromises(const std::set<MemberId> &View, const std::set<MemberId> &Evicting);

  /// \returns whether the lease is held at \p Now.
  bool holds(core::TimePoint Now) const { return Term_ != 0 && Now < Until_; }
  std::uint64_t term() const { return Term_; }
  core::TimePoint until() const { return Until_; }

private:
  core::Duration Length_;
  std::uint64_t Term_ = 0;
  core::TimePoint Until_{};
  std::map<MemberId, core::TimePoint> Promises_;
};

} // namespace masticdrift::ownership

#endif // MASTICDRIFT_OWNERSHIP_OWNERLEASE_H
