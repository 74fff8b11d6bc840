/// \file
/// Which daemon carries the orders for the executors of a failure domain. No I/O.
#ifndef MASTICDRIFT_DAEMON_RELAYTABLE_H
#define MASTICDRIFT_DAEMON_RELAYTABLE_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/protocol/PeerMessages.h"

#include <map>
#include <string>
#include <string_view>

namespace masticdrift::daemon {

/// Daemons that have offered help.
class RelayTable {
public:
  /// A daemon can carry orders. Repeated at least every \c RelayTimeout.
  void registerRelay(const protocol::Hello &Hello, core::TimePoint Now);

  /// A call to the daemon failed; it rests.
  void markFailed(std::string_view PeerAddress, core::TimePoint Now);

  /// \returns the peer address of the daemon for a failure domain: the largest machine there that
  /// was heard from, or an empty view when the leader has to do it itself. Stays the same while the
  /// daemon is heard, so that its connections are used again.
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

/// A daemon that was not heard from for this long gets no orders; three offers.
inline constexpr core::Millis RelayTimeout{1600};
/// Executors that a leader serves itself. 48 take a fifth of the smallest leader seen (0.07 of 0.25
/// cores); 350 take all of 0.5 cores in bursts.
inline constexpr std::size_t MaxDirectExecutors = 100;

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_RELAYTABLE_H
