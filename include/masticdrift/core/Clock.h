/// \file
/// The clock of every lease and deadline.
#ifndef MASTICDRIFT_CORE_CLOCK_H
#define MASTICDRIFT_CORE_CLOCK_H

#include <chrono>

namespace masticdrift::core {

/// Monotonic clock that also counts while the machine is suspended.
///
/// std::chrono::steady_clock stops during suspension, so a lease measured with it would outlive its
/// real end.
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

/// \returns wall-clock time in milliseconds since the Unix epoch, for logs and the audit trail
/// only.
std::int64_t wallMillis() noexcept;

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_CLOCK_H
