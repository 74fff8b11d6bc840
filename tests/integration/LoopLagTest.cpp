// How late an event loop runs, as the daemon reports it.
#include "masticdrift/daemon/LoopLag.h"
#include "masticdrift/core/Metrics.h"

#include <chrono>
#include <string>
#include <thread>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <criterion/criterion.h>

using namespace masticdrift;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Blockade{600};

/// Runs the loop for a moment with one handler that keeps it busy for \c Blockade.
void runWithABlockade(asio::io_context &Loop) {
  asio::post(Loop, [] { std::this_thread::sleep_for(Blockade); });
  Loop.run_for(Blockade + milliseconds(50));
}

} // namespace

// Guards against a daemon that is behind while its metrics and its log tell of no delay.
Test(LoopLag, aBlockedLoopShowsTheDelayOfItsTimers) {
  asio::io_context Loop;
  daemon::LoopLag Lag(Loop);
  Lag.start();
  runWithABlockade(Loop);
  const core::Duration Longest = Lag.takeLongest();
  cr_expect_geq(core::toMillis(Longest), 400);
  cr_expect_lt(Longest, Blockade);
  cr_expect(core::renderMetrics().find("masticdrift_loop_lag_seconds_bucket") != std::string::npos);
}

// Guards against a figure that still tells of a delay that is over.
Test(LoopLag, aReportedDelayIsNotReportedAgain) {
  asio::io_context Loop;
  daemon::LoopLag Lag(Loop);
  Lag.start();
  runWithABlockade(Loop);
  Lag.takeLongest();
  cr_expect_eq(core::toMillis(Lag.takeLongest()), 0);
}

// Guards against a timer that runs on after its daemon component has gone.
Test(LoopLag, theMeasurementEndsWithItsObject) {
  asio::io_context Loop;
  {
    daemon::LoopLag Lag(Loop);
    Lag.start();
  }
  cr_expect_leq(Loop.run_for(milliseconds(300)), 1);
  cr_expect(Loop.stopped());
}
