/// \file
/// Measures how late an event loop runs its handlers.
#ifndef MASTICDRIFT_DAEMON_LOOPLAG_H
#define MASTICDRIFT_DAEMON_LOOPLAG_H

#include "masticdrift/core/Clock.h"

#include <memory>

#include <asio/io_context.hpp>

namespace masticdrift::daemon {

/// Compares the time at which a periodic timer was due with the time at which it ran, and records
/// the difference in the histogram masticdrift_loop_lag_seconds. Used on the loop that it measures.
class LoopLag {
public:
  explicit LoopLag(asio::io_context &Loop);
  LoopLag(const LoopLag &) = delete;
  LoopLag &operator=(const LoopLag &) = delete;
  /// Calls stop().
  ~LoopLag();

  /// Begins to measure. Must be called once.
  void start();

  /// Ends the measurement, so that the loop can run out of work. Idempotent.
  void stop();

  /// \returns the longest lag since the previous call.
  core::Duration takeLongest();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_LOOPLAG_H
