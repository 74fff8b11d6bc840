/// \file
/// The daemon on the users' platform: wiring, start and graceful stop.
#ifndef MASTICDRIFT_DAEMON_FLEETDAEMON_H
#define MASTICDRIFT_DAEMON_FLEETDAEMON_H

#include "platform/Settings.h"

#include <string>

namespace masticdrift::daemon {

/// Runs until a stop signal has been served.
///
/// \param SettingsPath read again on SIGHUP.
/// \returns true when every request had its answer before the end.
/// \throws std::system_error when an address can't be bound.
bool runFleetDaemon(const platform::MachineSettings &Settings, const std::string &SettingsPath);

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_FLEETDAEMON_H
