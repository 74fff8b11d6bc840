/// \file
/// Tracking of a member's promises not to claim a domain.
#ifndef MASTICDRIFT_OWNERSHIP_PROMISETRACKER_H
#define MASTICDRIFT_OWNERSHIP_PROMISETRACKER_H

#include "masticdrift/core/Clock.h"

#include <cstdint>
#include <optional>

namespace masticdrift::ownership {

/// Tracks the promise of one member incarnation. Reads no clock: the caller passes all times.
class PromiseTracker {
public:
  /// \param Length duration of a promise on this member's clock, safety margin included.
  explicit PromiseTracker(core::Duration Length) : Length_(Length) {}

  /// Grants a promise not to claim before \p Now plus the promise length.
  ///
  /// \param Version claim version that the requesting owner has read.
  /// \returns false while a claim or a consent on that version or a later one is open.
  bool grant(std::uint64_t Version, core::TimePoint Now);

  /// \returns whether no promise is in force.
  bool expired(core::TimePoint Now) const { return !Until_ || Now >= *Until_; }

  /// \returns the end of the last promise.
  std::optional<core::TimePoint> until() const { return Until_; }

  /// Refuses promises to owners that have not read beyond \p Version: a claim on this version was
  /// sent by this member, or with its consent, and can still take effect.
  void blockVersion(std::uint64_t Version);

  /// Refuses all promises from now on; the member is leaving the domain.
  void refuseAll() { RefusesAll_ = true; }

  /// \returns the latest version on which a claim or consent may be open; 0 for none.
  std::uint64_t blockedVersion() const { return BlockedVersion_; }

private:
  core::Duration Length_;
  std::optional<core::TimePoint> Until_;
  std::uint64_t BlockedVersion_ = 0;
  bool HasBlockedVersion_ = false;
  bool RefusesAll_ = false;
};

} // namespace masticdrift::ownership

#endif // MASTICDRIFT_OWNERSHIP_PROMISETRACKER_H
