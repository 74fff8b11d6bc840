/// \file
/// Timers on one thread.
#ifndef MASTICDRIFT_CORE_TIMERS_H
#define MASTICDRIFT_CORE_TIMERS_H

#include "masticdrift/core/Clock.h"

#include <functional>
#include <memory>

namespace masticdrift::core {

/// Runs functions later on a thread of its own. The functions must not block.
class Timers {
public:
  Timers();
  Timers(const Timers &) = delete;
  Timers &operator=(const Timers &) = delete;
  /// Stops and joins; what has not run is dropped.
  ~Timers();

  /// Runs \p Callback on the timer thread as soon as possible.
  void post(std::function<void()> Callback);

  /// Runs \p Callback once after \p Delay.
  void after(Duration Delay, std::function<void()> Callback);

  /// Runs \p Callback every \p Period, first after one period; a late run does not shift the later
  /// ones.
  void every(Duration Period, std::function<void()> Callback);

  /// Stops and joins. Idempotent; must not be called from a timer function.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_TIMERS_H
