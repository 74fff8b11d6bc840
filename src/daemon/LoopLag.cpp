#include "masticdrift/daemon/LoopLag.h"

#include "masticdrift/core/Metrics.h"

#include <algorithm>
#include <utility>

#include <asio/steady_timer.hpp>

namespace masticdrift::daemon {

namespace {

/// Interval between measurements, short enough to meet most of the handlers that block the loop
/// for a noticeable time.
constexpr core::Millis MeasurementInterval{100};

} // namespace

struct LoopLag::Impl : std::enable_shared_from_this<LoopLag::Impl> {
  explicit Impl(asio::io_context &Loop) : Timer_(Loop) {}

  void arm() {
    Timer_.expires_after(MeasurementInterval);
    Timer_.async_wait([Self = shared_from_this()](std::error_code Error) {
      if (!Error && !Self->Closed_)
        Self->measure();
    });
  }

  void measure() {
    const core::Duration Lag = std::chrono::steady_clock::now() - Timer_.expiry();
    Longest_ = std::max(Longest_, Lag);
    core::observe("masticdrift_loop_lag_seconds", std::chrono::duration<double>(Lag).count());
    arm();
  }

  asio::steady_timer Timer_;
  core::Duration Longest_{0};
  bool Closed_ = false;
};

LoopLag::LoopLag(asio::io_context &Loop) : Impl_(std::make_shared<Impl>(Loop)) {}

LoopLag::~LoopLag() { stop(); }

void LoopLag::start() { Impl_->arm(); }

void LoopLag::stop() {
  Impl_->Closed_ = true;
  Impl_->Timer_.cancel();
}

core::Duration LoopLag::takeLongest() { return std::exchange(Impl_->Longest_, core::Duration(0)); }

} // namespace masticdrift::daemon
