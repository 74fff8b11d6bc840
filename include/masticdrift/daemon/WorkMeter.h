/// \file
/// Counts how often a recurring piece of work is done and how long it takes.
#ifndef MASTICDRIFT_DAEMON_WORKMETER_H
#define MASTICDRIFT_DAEMON_WORKMETER_H

#include "masticdrift/core/Clock.h"

#include <cstddef>
#include <string>

namespace masticdrift::daemon {

/// Work that was done since the meter was read.
struct WorkMeter {
  std::size_t Count_ = 0;
  core::Duration Time_{0};
};

/// Notes that the work was done once.
void noteWork(WorkMeter &Meter, core::Duration Taken);

/// Reads a meter and resets it.
///
/// \param Since length of the time for which the meter has counted.
/// \returns how often the work was done a second and the milliseconds a second that it took, such
/// as "33/s 120 ms/s".
std::string takeRate(WorkMeter &Meter, core::Duration Since);

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_WORKMETER_H
