/// \file
/// The daemon: creates all components from the settings and connects them.
#ifndef MASTICDRIFT_DAEMON_DAEMON_H
#define MASTICDRIFT_DAEMON_DAEMON_H

#include "masticdrift/settings/Settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace masticdrift::daemon {

/// Ports that the daemon listens on.
struct Ports {
  std::uint16_t Caller_ = 0;
  std::uint16_t Operator_ = 0;
  std::uint16_t Peer_ = 0;
};

class Daemon {
public:
  /// Binds all listeners and starts all threads.
  ///
  /// \param OnDrain called when an operator requests a graceful stop.
  /// \throws std::exception if a listener cannot be bound.
  Daemon(settings::Settings Settings, std::function<void()> OnDrain);
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  ~Daemon();

  Ports ports() const;

  /// Stops gracefully: announces the stop, refuses new work, waits for work in progress and
  /// releases the lease.
  ///
  /// \param StopForced polled while waiting; true ends the wait.
  /// \returns true if all work ended within the grace period of the settings.
  bool stop(const std::function<bool()> &StopForced);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_DAEMON_H
