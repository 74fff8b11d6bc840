/// \file
/// Selects the daemons that read the configuration from the log service. Does no I/O.
#ifndef MASTICDRIFT_DAEMON_CONFIGREADERTABLE_H
#define MASTICDRIFT_DAEMON_CONFIGREADERTABLE_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/protocol/PeerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace masticdrift::daemon {

/// The daemons that have sent hellos to the leader. In each failure domain the one with the widest
/// link reads the configuration and passes it on.
class ConfigReaderTable {
public:
  /// Adds a daemon, or renews it. Must be repeated within \c RelayTimeout.
  void registerDaemon(const protocol::Hello &Hello, core::TimePoint Now);

  /// \returns the peer address of the daemon from which \p PeerAddress gets the configuration;
  /// empty when it reads the log service itself, and nothing until all daemons have had the time to
  /// send a hello.
  std::optional<std::string> sourceFor(std::string_view PeerAddress, core::TimePoint Now) const;

private:
  struct Daemon {
    std::string Domain_;
    double LinkMbps_ = 0;
    double Cores_ = 0;
    core::TimePoint LastSeenAt_;
  };
  std::map<std::string, Daemon, std::less<>> Daemons_; ///< by peer address
  core::TimePoint FirstHelloAt_{};
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_CONFIGREADERTABLE_H
