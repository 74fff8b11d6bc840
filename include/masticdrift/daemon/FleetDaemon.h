/// \file
/// The daemon on the platform: construction, start and graceful stop.
#ifndef MASTICDRIFT_DAEMON_FLEETDAEMON_H
#define MASTICDRIFT_DAEMON_FLEETDAEMON_H

#include "platform/Settings.h"

#include <string>

namespace masticdrift::daemon {

/// Runs the daemon until a stop signal has been handled.
///
/// \param SettingsPath settings file, read again on SIGHUP.
/// \returns true if every request was answered before the daemon stopped.
/// \throws std::system_error if an address cannot be bound.
bool runFleetDaemon(const platform::MachineSettings &Settings, const std::string &SettingsPath);

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_FLEETDAEMON_H
