/// \file
/// Sends one interactive request to one executor.
#ifndef MASTICDRIFT_LEGACY_EXECUTORCLIENT_H
#define MASTICDRIFT_LEGACY_EXECUTORCLIENT_H

#include "masticdrift/core/Clock.h"

#include <functional>
#include <memory>
#include <string>

namespace masticdrift::http {
class Client;
} // namespace masticdrift::http

namespace masticdrift::legacy {

/// How one send to an executor ended.
enum class ExecutorResult {
  Completed,    ///< whole answer with a status below 500
  Failed,       ///< whole answer with a status of 500 or more: the executor ran it and failed
  Refused,      ///< the executor says that it did not run it
  NotConnected, ///< nothing was sent
  Truncated,    ///< the answer is not whole
  NoAnswer,     ///< sent, no answer: the work may have run
};

struct ExecutorRequest {
  std::string Address_; ///< host:port
  std::string RequestId_;
  std::string ContentType_;
  std::string Body_;
  core::Millis Remaining_{0}; ///< time left for the answer; sent along as the executor's deadline
  bool Idempotent_ = false;   ///< false forces a fresh connection, so that the library can't resend
  /// Asked immediately before the first byte is sent; false ends the request as NotConnected.
  std::function<bool()> MaySend_;
};

struct ExecutorAnswer {
  ExecutorResult Result_ = ExecutorResult::NoAnswer;
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;
  std::string Error_;
  bool Leaving_ = false; ///< the executor announced that it is leaving
};

/// Client of all executors of a domain. Thread-safe.
class ExecutorClient {
public:
  /// \param ConnectionsPerExecutor upper limit of connections to one executor.
  /// \param IdleTimeout connections idle longer are closed.
  /// \param MaxConnectionAge older connections are not reused.
  ExecutorClient(int ConnectionsPerExecutor, std::chrono::seconds IdleTimeout,
                 std::chrono::seconds MaxConnectionAge);
  ~ExecutorClient();

  /// Sends \p Request; \p Done is called exactly once, on the client's thread.
  void send(ExecutorRequest Request, std::function<void(ExecutorAnswer)> Done);

private:
  std::unique_ptr<http::Client> HttpClient_;
};

} // namespace masticdrift::legacy

#endif // MASTICDRIFT_LEGACY_EXECUTORCLIENT_H
