/// \file
/// Whether the configuration is known to have been current recently (design, section 9).
#ifndef MASTICDRIFT_MEMBERSHIP_FRESHNESS_H
#define MASTICDRIFT_MEMBERSHIP_FRESHNESS_H

#include "masticdrift/core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace masticdrift::membership {

/// What one daemon said about its configuration.
struct ConfigEvidence {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t ConfigOffset_ = 0;
  bool ConfirmsConfig_ = false;
  core::TimePoint AsOf_; ///< when the probe that it answered was sent, on this daemon's clock
};

/// This daemon's own part of a unanimous confirmation.
struct OwnConfig {
  std::string Name_;
  std::uint64_t ConfigOffset_ = 0;
  bool ConfirmsConfig_ = false;
};

/// Decides whether all daemons of the fleet confirm the same configuration.
///
/// \param Self this daemon.
/// \param Others the newest evidence of every other daemon.
/// \param Members names of all members known from the log that have not left.
/// \param FleetSize number of daemons in the settings.
/// \param Now the present.
/// \returns the time as of which the configuration was current: the oldest probe; nothing when a
/// daemon is missing, differs or does not confirm.
std::optional<core::TimePoint> confirmedAsOf(const OwnConfig &Self,
                                             std::span<const ConfigEvidence> Others,
                                             const std::set<std::string> &Members,
                                             std::size_t FleetSize, core::TimePoint Now);

/// Keeps the latest time as of which the configuration is known to have been current.
class Freshness {
public:
  explicit Freshness(core::Duration MaxAge = core::Millis(5000)) : MaxAge_(MaxAge) {}

  /// Records a complete read of the config stream that was sent at \p ReadSent.
  void recordRead(core::TimePoint ReadSent);

  /// Records a reply to a probe sent at \p ProbeSent.
  ///
  /// \param StoreAge age of the replier's last complete read.
  /// \param PeerOffset config offset of the replier.
  /// \param OwnOffset config offset of this daemon; a lower one than the replier's shows nothing.
  void recordPeerReport(core::TimePoint ProbeSent, core::Duration StoreAge,
                        std::uint64_t PeerOffset, std::uint64_t OwnOffset);

  /// Records a unanimous confirmation.
  void recordUnanimous(core::TimePoint AsOf);

  /// \returns the latest time as of which the configuration was current.
  std::optional<core::TimePoint> currentAsOf() const { return AsOf_; }

  /// \returns whether the configuration was current at most the bound before \p Now.
  bool isFresh(core::TimePoint Now) const;

private:
  void advance(core::TimePoint AsOf);

  core::Duration MaxAge_;
  std::optional<core::TimePoint> AsOf_;
};

} // namespace masticdrift::membership

#endif // MASTICDRIFT_MEMBERSHIP_FRESHNESS_H
