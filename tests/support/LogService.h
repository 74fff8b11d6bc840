/// \file
/// In-process log service for unit tests.
#ifndef MASTICDRIFT_TESTS_SUPPORT_LOGSERVICE_H
#define MASTICDRIFT_TESTS_SUPPORT_LOGSERVICE_H

#include "masticdrift/core/Pack.h"
#include "masticdrift/http/Server.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace masticdrift::tests {

/// Response of the service to one append.
enum class AppendBehavior {
  Acknowledge,         ///< stores the record and answers with its offset
  AcceptWithoutAnswer, ///< stores the record and never answers
  DropWithoutAnswer,   ///< discards the record and never answers
  Refuse,              ///< discards the record and answers 503
  TooMany,             ///< discards the record and answers 429
  Fail,                ///< stores the record and answers 500
};

/// Serves one stream under every name. Each append consumes the next planned behavior; without a
/// plan, records are acknowledged.
class LogService {
public:
  LogService()
      : Server_({}, [this](http::Request HttpRequest, http::Responder Respond) {
          handle(HttpRequest, std::move(Respond));
        }) {}

  std::string url() const { return "http://127.0.0.1:" + std::to_string(Server_.port()); }

  void plan(std::initializer_list<AppendBehavior> Behaviors) {
    const std::lock_guard Lock(Mutex_);
    Plan_.insert(Plan_.end(), Behaviors);
  }

  /// Sets the behavior of appends after the end of the plan.
  void setDefaultBehavior(AppendBehavior Behavior) {
    const std::lock_guard Lock(Mutex_);
    DefaultBehavior_ = Behavior;
  }

  /// Answers all reads with 503.
  void failReads(bool On) {
    const std::lock_guard Lock(Mutex_);
    FailReads_ = On;
  }

  /// Appends a record as another writer would.
  /// \returns its offset.
  std::uint64_t put(std::string Bytes) {
    const std::lock_guard Lock(Mutex_);
    Records_.push_back(std::move(Bytes));
    return Records_.size() - 1;
  }

  /// Drops all records below \p FirstOffset.
  void expire(std::uint64_t FirstOffset) {
    const std::lock_guard Lock(Mutex_);
    FirstOffset_ = FirstOffset;
  }

  std::vector<std::string> records() const {
    const std::lock_guard Lock(Mutex_);
    return Records_;
  }

  std::size_t appends() const {
    const std::lock_guard Lock(Mutex_);
    return Appends_;
  }

private:
  void handle(const http::Request &HttpRequest, http::Responder Respond) {
    const std::lock_guard Lock(Mutex_);
    if (HttpRequest.Method_ == "GET")
      return read(HttpRequest, Respond);
    ++Appends_;
    AppendBehavior Behavior = DefaultBehavior_;
    if (!Plan_.empty()) {
      Behavior = Plan_.front();
      Plan_.pop_front();
    }
    if (Behavior == AppendBehavior::Refuse)
      return Respond({503, "{}"});
    if (Behavior == AppendBehavior::TooMany)
      return Respond({429, "{}"});
    if (Behavior != AppendBehavior::DropWithoutAnswer)
      Records_.push_back(HttpRequest.Body_);
    if (Behavior == AppendBehavior::Acknowledge)
      return Respond({200, "{\"offset\":" + std::to_string(Records_.size() - 1) + "}"});
    if (Behavior == AppendBehavior::Fail)
      return Respond({500, "{}"});
    Unanswered_.push_back(std::move(Respond));
  }

  void read(const http::Request &HttpRequest, const http::Responder &Respond) {
    if (FailReads_)
      return Respond({503, "{}"});
    const std::uint64_t From = std::max<std::uint64_t>(
        FirstOffset_, std::stoull(http::queryValue(HttpRequest.Query_, "from")));
    const std::uint64_t Max = std::stoull(http::queryValue(HttpRequest.Query_, "max"));
    std::vector<std::tuple<std::uint64_t, std::vector<char>>> Entries;
    for (std::uint64_t Offset = From; Offset < Records_.size() && Entries.size() < Max; ++Offset)
      Entries.emplace_back(Offset,
                           std::vector<char>(Records_[Offset].begin(), Records_[Offset].end()));
    Respond({200,
             core::pack(std::make_tuple(FirstOffset_, static_cast<std::uint64_t>(Records_.size()),
                                        Entries)),
             "application/msgpack"});
  }

  mutable std::mutex Mutex_;
  std::deque<AppendBehavior> Plan_;
  AppendBehavior DefaultBehavior_ = AppendBehavior::Acknowledge;
  bool FailReads_ = false;
  std::vector<std::string> Records_;
  std::uint64_t FirstOffset_ = 0;
  std::size_t Appends_ = 0;
  std::vector<http::Responder> Unanswered_; ///< held to keep the connections open
  http::Server Server_;                     ///< declared last, so that it stops first
};

/// Polls \p Condition every 2 ms until it holds.
///
/// \returns false after \p Limit.
inline bool waitFor(const std::function<bool()> &Condition,
                    std::chrono::milliseconds Limit = std::chrono::milliseconds(10'000)) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

} // namespace masticdrift::tests

#endif // MASTICDRIFT_TESTS_SUPPORT_LOGSERVICE_H
