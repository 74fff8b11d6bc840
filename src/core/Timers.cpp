#include "masticdrift/core/Timers.h"

#include <atomic>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace masticdrift::core {

struct Timers::Impl {
  Impl() : Guard_(Context_.get_executor()), Thread_([this] { Context_.run(); }) {}

  void repeat(const std::shared_ptr<asio::steady_timer> &Timer, Duration Period,
              const std::shared_ptr<std::function<void()>> &Callback) {
    Timer->async_wait([this, Timer, Period, Callback](std::error_code Error) {
      if (Error)
        return;
      (*Callback)();
      // Skips the runs that were missed during a pause longer than a period.
      const auto Now = asio::steady_timer::clock_type::now();
      auto Next = Timer->expiry() + Period;
      if (Next < Now)
        Next = Now + Period;
      Timer->expires_at(Next);
      repeat(Timer, Period, Callback);
    });
  }

  asio::io_context Context_;
  asio::executor_work_guard<asio::io_context::executor_type> Guard_;
  std::atomic<bool> Stopped_{false};
  std::thread Thread_;
};

Timers::Timers() : Impl_(std::make_unique<Impl>()) {}

Timers::~Timers() { stop(); }

void Timers::post(std::function<void()> Callback) {
  asio::post(Impl_->Context_, std::move(Callback));
}

void Timers::after(Duration Delay, std::function<void()> Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(Impl_->Context_, Delay);
  Timer->async_wait([Timer, Callback = std::move(Callback)](std::error_code Error) {
    if (!Error)
      Callback();
  });
}

void Timers::every(Duration Period, std::function<void()> Callback) {
  Impl_->repeat(std::make_shared<asio::steady_timer>(Impl_->Context_, Period), Period,
                std::make_shared<std::function<void()>>(std::move(Callback)));
}

void Timers::stop() {
  if (Impl_->Stopped_.exchange(true))
    return;
  Impl_->Context_.stop();
  Impl_->Thread_.join();
}

} // namespace masticdrift::core
