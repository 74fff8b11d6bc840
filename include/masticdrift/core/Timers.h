/// \file
/// Timers that run their callbacks on one thread.
#ifndef MASTICDRIFT_CORE_TIMERS_H
#define MASTICDRIFT_CORE_TIMERS_H

#include "masticdrift/core/Clock.h"

#include <functional>
#include <memory>

namespace masticdrift::core {

/// Runs callbacks on one dedicated thread. A callback must not block: it would delay all others.
class Timers {
public:
  Timers();
  Timers(const Timers &) = delete;
  Timers &operator=(const Timers &) = delete;
  /// Calls stop().
  ~Timers();

  /// Runs \p Callback on the timer thread as soon as possible.
  void post(std::function<void()> Callback);

  /// Runs \p Callback once after \p Delay.
  void after(Duration Delay, std::function<void()> Callback);

  /// Runs \p Callback every \p Period, first after one period. A late run does not shift later
  /// ones; after a pause longer than a period, missed runs are skipped.
  void every(Duration Period, std::function<void()> Callback);

  /// Stops the thread and joins it; callbacks that have not run are dropped. Idempotent. Must not
  /// be called from a callback.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_TIMERS_H
