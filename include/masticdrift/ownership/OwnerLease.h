/// \file
/// End of the lease that this daemon holds.
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

/// Lease of one term, from confirmed renewals and from promises. Pure; all times are passed in.
class OwnerLease {
public:
  explicit OwnerLease(core::Duration Length) : Length_(Length) {}

  /// Starts a term whose claim was sent at \p SentAt.
  void beginTerm(std::uint64_t Term, core::TimePoint SentAt);

  /// Ends the term.
  void endTerm();

  /// A renewal that was sent at \p SentAt has been read back.
  void confirmRenewal(core::TimePoint SentAt);

  /// \p Member promised in reply to a probe sent at \p SentAt.
  void addPromise(const MemberId &Member, std::uint64_t Term, core::TimePoint SentAt);

  /// Extends the lease to the oldest of the latest promises plus the length, if all members of
  /// the view promised.
  ///
  /// \param View all other members, from the last read of the stream.
  /// \param Evicting members whose eviction has been sent and not read back; at least one member
  /// of the view must be outside it, since a claimant may already have read the eviction.
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
