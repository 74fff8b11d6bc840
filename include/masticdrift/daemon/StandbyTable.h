/// \file
/// Selects the daemons that prepare to take over from the leader. Does no I/O.
#ifndef MASTICDRIFT_DAEMON_STANDBYTABLE_H
#define MASTICDRIFT_DAEMON_STANDBYTABLE_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/protocol/PeerMessages.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace masticdrift::daemon {

/// Number of standbys: one may be lost together with the leader and another be restarting.
inline constexpr std::size_t StandbyCount = 3;

/// The daemons that have sent hellos. Standbys read all that a leader needs, so that they lead
/// within one round trip; over a thin link others would load for seconds first.
class StandbyTable {
public:
  /// Adds a daemon, or renews it. Must be repeated within \c RelayTimeout.
  void registerDaemon(const protocol::Hello &Hello, core::TimePoint Now);

  /// \returns true for the \c StandbyCount daemons on the largest machines.
  bool isStandby(std::string_view PeerAddress, core::TimePoint Now) const;

private:
  struct Daemon {
    double Cores_ = 0;
    core::TimePoint LastSeenAt_;
  };
  std::map<std::string, Daemon, std::less<>> Daemons_; ///< by peer address
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_STANDBYTABLE_H
