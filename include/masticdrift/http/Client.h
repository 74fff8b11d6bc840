/// \file
/// Asynchronous HTTP client on libcurl.
#ifndef MASTICDRIFT_HTTP_CLIENT_H
#define MASTICDRIFT_HTTP_CLIENT_H

#include "masticdrift/http/Message.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace masticdrift::http {

struct ClientRequest {
  std::string Method_ = "GET";
  std::string Url_;
  std::string Body_;
  Headers Headers_;
  std::chrono::milliseconds Timeout_{2000}; ///< whole exchange, connect included
  /// A fresh connection that is not kept. Required for requests that must not be sent twice:
  /// libcurl repeats a request when a reused connection dies before the first answer byte.
  bool FreshConnection_ = false;
  /// Asked on the client's thread when the connection is there, immediately before the first byte
  /// is sent; false ends the exchange as NotConnected. May be empty.
  std::function<bool()> MaySend_;
};

/// How an exchange ended.
enum class Transfer {
  Complete,     ///< the whole answer arrived
  NotConnected, ///< no connection or no permission, so nothing was sent
  Truncated,    ///< the answer started and did not end as declared, or had no declared length
  NoAnswer,     ///< sent, or partly sent, and no answer arrived
};

struct ClientResult {
  Transfer Transfer_ = Transfer::NoAnswer;
  Response Answer_;          ///< valid when Transfer_ is Complete
  std::string Error_;        ///< libcurl's message otherwise
  std::size_t BytesOut_ = 0; ///< header and body bytes sent
  std::size_t BytesIn_ = 0;  ///< header and body bytes received
};

using Callback = std::function<void(ClientResult)>;

/// Runs all exchanges on one thread of its own; callbacks run on that thread and must not block.
class Client {
public:
  /// \param ConnectionsPerHost upper limit of connections to one address, 0 for none.
  /// \param MaxIdleTime connections idle longer are closed.
  /// \param MaxConnectionAge connections older than this are not reused, so that a silently dead
  /// one is not kept for long.
  explicit Client(long ConnectionsPerHost = 0,
                  std::chrono::seconds MaxIdleTime = std::chrono::seconds(10),
                  std::chrono::seconds MaxConnectionAge = std::chrono::seconds(60));
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;
  /// Cancels what is in flight; its callbacks report NoAnswer.
  ~Client();

  /// Starts an exchange. \p Done is called exactly once.
  void send(ClientRequest Request, Callback Done);

  /// Sends and waits. Must not be called from a callback.
  ClientResult sendAndWait(ClientRequest Request);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::http

#endif // MASTICDRIFT_HTTP_CLIENT_H
