/// \file
/// Promises not to claim that a member has given.
#ifndef MASTICDRIFT_OWNERSHIP_PROMISETRACKER_H
#define MASTICDRIFT_OWNERSHIP_PROMISETRACKER_H

#include "masticdrift/core/Clock.h"

#include <cstdint>
#include <optional>

namespace masticdrift::ownership {

/// Keeps the promise of one member incarnation. Pure; all times are passed in.
class PromiseTracker {
public:
  /// \param Length how long a promise lasts on this member's clock, margin included.
  explicit PromiseTracker(core::Duration Length) : Length_(Length) {}

  /// Promises not to claim until Now + length.
  ///
  /// \param Version claim version that the asking owner has read.
  /// \returns false while a claim or a consent on that version or a later one is open.
  bool grant(std::uint64_t Version, core::TimePoint Now);

  /// \returns whether no promise is running.
  bool expired(core::TimePoint Now) const { return !Until_ || Now >= *Until_; }

  /// \returns the end of the last promise.
  std::optional<core::TimePoint> until() const { return Until_; }

  /// Refuses promises to owners that have read no further than \p Version: a claim that names it
  /// was sent by this member, or with its consent, and can still take effect.
  void blockVersion(std::uint64_t Version);

  /// Refuses all promises from now on; the member is about to leave.
  void refuseAll() { RefusesAll_ = true; }

  /// \returns the version on which a claim or consent may be open, 0 for none.
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
