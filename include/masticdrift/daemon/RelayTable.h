/// \file
/// Selects the daemons that relay orders to executors. Does no I/O.
#ifndef MASTICDRIFT_DAEMON_RELAYTABLE_H
#define MASTICDRIFT_DAEMON_RELAYTABLE_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/protocol/PeerMessages.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace masticdrift::daemon {

/// \returns the number of executors whose orders a daemon can carry beside its other work.
std::size_t relayCapacity(double Cores, double LinkMbps);

/// Determines the limit of concurrent start orders.
///
/// \param Relays number of daemons that send the orders; 0 when the leader sends them itself.
/// \param LinkMbps bandwidth of the leader's link, over which the orders reach the relays.
/// \returns what the relays can send at a time, and not more than the link carries; at least what
/// one machine can send.
int startLimit(std::size_t Relays, double LinkMbps);

/// The daemons that can relay orders, and the executors that each of them serves.
///
/// An executor keeps its relay while that is available, so that connections are reused. Relays are
/// filled one after the other, the largest first: few relays make full batches.
class RelayTable {
public:
  /// Adds a daemon that can relay orders, or renews it. Must be repeated within \c RelayTimeout.
  void registerRelay(const protocol::Hello &Hello, core::TimePoint Now);

  /// Excludes a daemon for some time after a request to it failed.
  void markFailed(std::string_view PeerAddress, core::TimePoint Now);

  /// Selects the relay of an executor: one in its failure domain, or another one where the domain
  /// has none.
  ///
  /// \returns its peer address, or an empty view when the leader has to send the orders itself.
  std::string_view relayFor(std::string_view ExecutorId, std::string_view Domain,
                            core::TimePoint Now);

  /// \returns true when relayFor() finds a relay in the executor's failure domain that is not full.
  bool isServed(std::string_view ExecutorId, std::string_view Domain, core::TimePoint Now) const;

  /// \returns the number of relays that serve executors.
  std::size_t activeRelays() const { return ActiveRelays_; }

private:
  struct Relay {
    std::string Domain_;
    std::size_t Capacity_ = 0;
    std::size_t Assigned_ = 0; ///< number of executors
    core::TimePoint LastSeenAt_;
    core::TimePoint BackoffUntil_{};
    bool Available_ = false; ///< at the last hello
  };
  using RelayMap = std::map<std::string, Relay, std::less<>>;

  static bool isAvailable(const Relay &Daemon, core::TimePoint Now);
  /// \returns the relay that takes the next executor, within \p Domain or, when it is empty, in all
  /// domains; the end of the map when none is available.
  RelayMap::iterator chooseRelay(std::string_view Domain, core::TimePoint Now);
  void releaseAssignments();
  void unassign(Relay &Daemon);

  /// Forgets executors that have had no orders for some time.
  void pruneAssignments(core::TimePoint Now);

  struct Assignment {
    std::string PeerAddress_;
    core::TimePoint LastUsedAt_;
  };

  RelayMap Relays_;                                        ///< by peer address
  std::map<std::string, Assignment, std::less<>> RelayOf_; ///< by executor id
  std::size_t ActiveRelays_ = 0;                           ///< relays with executors
  core::TimePoint PrunedAt_{};
};

/// Daemons that were silent for longer, about three hellos, get no orders.
inline constexpr core::Millis RelayTimeout{1600};
/// Number of executors to which a leader sends orders itself, if its own machine can carry them. 48
/// executors take a fifth of the smallest leader seen (0.07 of 0.25 cores); 350 take all of 0.5
/// cores in bursts.
inline constexpr std::size_t MaxDirectExecutors = 100;

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_RELAYTABLE_H
