#include "masticdrift/core/Clock.h"

#include <ctime>

namespace masticdrift::core {

Clock::time_point Clock::now() noexcept {
  timespec Now{};
  ::clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec));
}

std::int64_t wallMillis() noexcept {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace masticdrift::core
