/// \file
/// The clock that measures leases and deadlines, and wall-clock time for logs.
#ifndef MASTICDRIFT_CORE_CLOCK_H
#define MASTICDRIFT_CORE_CLOCK_H

#include <chrono>

namespace masticdrift::core {

/// Monotonic clock that also counts while the machine is suspended.
///
/// std::chrono::steady_clock stops during suspension, so a lease measured with it would last longer
/// than its holder was granted.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;

  /// \returns the time since boot (CLOCK_BOOTTIME).
  static time_point now() noexcept;
};

using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;

/// \returns \p Value in whole milliseconds, rounded down.
constexpr std::int64_t toMillis(Duration Value) {
  return std::chrono::duration_cast<Millis>(Value).count();
}

/// Reads the wall clock, which can jump. Use it only for logs and the audit trail.
///
/// \returns milliseconds since the Unix epoch.
std::int64_t wallMillis() noexcept;

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_CLOCK_H
