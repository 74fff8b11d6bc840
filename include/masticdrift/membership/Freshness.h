/// \file
/// Tracks how recently the configuration is known to have been current (design, section 9).
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

/// Configuration state that another daemon reported.
struct ConfigEvidence {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t ConfigOffset_ = 0;
  bool ConfirmsConfig_ = false;
  core::TimePoint AsOf_; ///< send time of the answered probe, on the clock of this daemon
};

/// Configuration state of this daemon, its part of a unanimous confirmation.
struct OwnConfig {
  std::string Name_;
  std::uint64_t ConfigOffset_ = 0;
  bool ConfirmsConfig_ = false;
};

/// Determines whether all daemons of the fleet confirm the same configuration.
///
/// \param Self configuration state of this daemon.
/// \param Others the newest evidence of every other daemon.
/// \param Members names of all members that the log lists as not having left.
/// \param FleetSize number of daemons according to the settings.
/// \param Now current time.
/// \returns the time as of which the configuration was current, which is the send time of the
/// oldest probe; nothing when a daemon is missing, has another offset or does not confirm.
std::optional<core::TimePoint> confirmedAsOf(const OwnConfig &Self,
                                             std::span<const ConfigEvidence> Others,
                                             const std::set<std::string> &Members,
                                             std::size_t FleetSize, core::TimePoint Now);

/// Holds the latest time as of which the configuration is known to have been current.
class Freshness {
public:
  explicit Freshness(core::Duration MaxAge = core::Millis(5000)) : MaxAge_(MaxAge) {}

  /// Records a complete read of the config stream whose request was sent at \p ReadSent.
  void recordRead(core::TimePoint ReadSent);

  /// Records a reply to a probe sent at \p ProbeSent.
  ///
  /// \param StoreAge age of the replier's last complete read; negative when there was none.
  /// \param PeerOffset config offset of the replier.
  /// \param OwnOffset config offset of this daemon; the report is ignored when it is lower than
  /// \p PeerOffset.
  void recordPeerReport(core::TimePoint ProbeSent, core::Duration StoreAge,
                        std::uint64_t PeerOffset, std::uint64_t OwnOffset);

  /// Records a unanimous confirmation, see confirmedAsOf().
  void recordUnanimous(core::TimePoint AsOf);

  /// \returns the latest time as of which the configuration was current.
  std::optional<core::TimePoint> currentAsOf() const { return AsOf_; }

  /// \returns whether the configuration was current within the maximum age before \p Now.
  bool isFresh(core::TimePoint Now) const;

private:
  void advance(core::TimePoint AsOf);

  core::Duration MaxAge_;
  std::optional<core::TimePoint> AsOf_;
};

} // namespace masticdrift::membership

#endif // MASTICDRIFT_MEMBERSHIP_FRESHNESS_H
