/// \file
/// Selects the daemon that relays orders to the executors of a failure domain. Does no I/O.
#ifndef MASTICDRIFT_DAEMON_RELAYTABLE_H
#define MASTICDRIFT_DAEMON_RELAYTABLE_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/protocol/PeerMessages.h"

#include <map>
#include <string>
#include <string_view>

namespace masticdrift::daemon {

/// The daemons that can relay orders.
class RelayTable {
public:
  /// Adds a daemon that can relay orders, or renews it. Must be repeated within \c RelayTimeout.
  void registerRelay(const protocol::Hello &Hello, core::TimePoint Now);

  /// Excludes a daemon for some time after a request to it failed.
  void markFailed(std::string_view PeerAddress, core::TimePoint Now);

  /// Selects the daemon on the largest machine of a failure domain. The selection stays the same
  /// while that daemon is available, so that its connections are reused.
  ///
  /// \returns its peer address, or an empty view when the leader has to send the orders itself.
  std::string_view relayFor(std::string_view Domain, core::TimePoint Now) const;

private:
  struct Relay {
    std::string Domain_;
    double Cores_ = 0;
    core::TimePoint LastSeenAt_;
    core::TimePoint BackoffUntil_{};
  };
  std::map<std::string, Relay, std::less<>> Relays_; ///< by peer address
};

/// Daemons that were silent for longer, about three hellos, get no orders.
inline constexpr core::Millis RelayTimeout{1600};
/// Number of executors to which a leader sends orders itself. 48 executors take a fifth of the
/// smallest leader seen (0.07 of 0.25 cores); 350 take all of 0.5 cores in bursts.
inline constexpr std::size_t MaxDirectExecutors = 100;

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_RELAYTABLE_H
