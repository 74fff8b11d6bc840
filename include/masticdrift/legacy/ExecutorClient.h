/// \file
/// HTTP client that forwards interactive requests to executors.
///
/// The namespace legacy holds the clients of the platform's first version, which masticdriftd uses
/// when it runs without --platform.
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

/// Result of sending one request to an executor.
enum class ExecutorResult {
  Completed,    ///< complete response with a status below 500
  Failed,       ///< complete response with a status of 500 or more: the request ran and failed
  Refused,      ///< the executor reported that it did not run the request
  NotConnected, ///< nothing was sent
  Truncated,    ///< the response is incomplete
  NoAnswer,     ///< sent without a response: the request may have run
};

struct ExecutorRequest {
  std::string Address_; ///< host:port
  std::string RequestId_;
  std::string ContentType_;
  std::string Body_;
  core::Millis ResponseTimeout_{0}; ///< also sent to the executor as its deadline
  bool Idempotent_ = false;         ///< false forces a new connection, so that libcurl can't resend
  /// Called immediately before the first byte is sent; returning false ends the request with
  /// NotConnected.
  std::function<bool()> MaySend_;
};

struct ExecutorAnswer {
  ExecutorResult Result_ = ExecutorResult::NoAnswer;
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;
  std::string Error_;    ///< error message; empty if the response is complete
  bool Leaving_ = false; ///< the executor announced that it is shutting down
};

/// HTTP client for all executors of a failure domain. Thread-safe.
class ExecutorClient {
public:
  /// \param ConnectionsPerExecutor maximum number of connections to one executor.
  /// \param IdleTimeout connections that stay idle longer are closed.
  /// \param MaxConnectionAge connections older than this are not reused.
  ExecutorClient(int ConnectionsPerExecutor, std::chrono::seconds IdleTimeout,
                 std::chrono::seconds MaxConnectionAge);
  ~ExecutorClient();

  /// Sends \p Request asynchronously.
  ///
  /// \param Done called exactly once, on the HTTP client's thread.
  void send(ExecutorRequest Request, std::function<void(ExecutorAnswer)> Done);

private:
  std::unique_ptr<http::Client> HttpClient_;
};

} // namespace masticdrift::legacy

#endif // MASTICDRIFT_LEGACY_EXECUTORCLIENT_H
