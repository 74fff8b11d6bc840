/// \file
/// Asynchronous HTTP client based on libcurl.
#ifndef MASTICDRIFT_HTTP_CLIENT_H
#define MASTICDRIFT_HTTP_CLIENT_H

#include "masticdrift/http/Message.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace masticdrift::http {

/// An HTTP request to send.
struct ClientRequest {
  std::string Method_ = "GET";
  std::string Url_;
  std::string Body_;
  Headers Headers_;
  std::chrono::milliseconds Timeout_{2000}; ///< timeout of the whole exchange, connect included
  /// Ends the exchange when no byte of the response arrives for this long, from the start of the
  /// exchange on. Without effect when it is not shorter than Timeout_, or zero. Not supported by
  /// Client.
  std::chrono::milliseconds MaxSilence_{0};
  /// Opens a new connection that is not reused. Required for requests that must not be sent twice:
  /// libcurl resends a request when a reused connection fails before the first response byte.
  bool FreshConnection_ = false;
  /// Sends the request once at most, so that its response is that of its only copy. A reused
  /// connection that fails before the first response byte ends the exchange as NoAnswer. Not
  /// supported by Client, which offers FreshConnection_.
  bool SendOnce_ = false;
  /// Called on the client's thread when the connection is established, immediately before the first
  /// byte is sent; false ends the exchange as NotConnected. May be empty.
  std::function<bool()> MaySend_;
};

/// Result of an exchange.
enum class Transfer {
  Complete,     ///< the whole response was received
  NotConnected, ///< no connection, or MaySend_ returned false; nothing was sent
  Truncated,    ///< the response began but is incomplete, or declares no length
  NoAnswer,     ///< sent at least in part, without a response
};

/// Result of an exchange with its response or error.
struct ClientResult {
  Transfer Transfer_ = Transfer::NoAnswer;
  Response Answer_;          ///< valid when Transfer_ is Complete
  std::string Error_;        ///< error message; empty when Transfer_ is Complete
  std::size_t BytesOut_ = 0; ///< header and body bytes sent
  std::size_t BytesIn_ = 0;  ///< header and body bytes received
  /// libcurl sent the request again after a reused connection had failed. The result is that of the
  /// last copy; an earlier one may have been carried out, or may be later.
  bool EarlierCopySent_ = false;
};

using Callback = std::function<void(ClientResult)>;

/// Runs all exchanges on one internal thread. Callbacks run on that thread and must not block.
class Client {
public:
  /// \param ConnectionsPerHost maximum number of connections to one address; 0: no limit.
  /// \param MaxIdleTime idle time after which a connection is closed.
  /// \param MaxConnectionAge age after which a connection is not reused, so that a half-open
  /// connection is not kept for long.
  explicit Client(long ConnectionsPerHost = 0,
                  std::chrono::seconds MaxIdleTime = std::chrono::seconds(10),
                  std::chrono::seconds MaxConnectionAge = std::chrono::seconds(60));
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;
  /// Cancels the exchanges in flight; their callbacks report NotConnected, NoAnswer or
  /// Truncated.
  ~Client();

  /// Starts an exchange. \p Done is called exactly once.
  void send(ClientRequest Request, Callback Done);

  /// Sends a request and blocks until its exchange ends. Must not be called from a callback.
  ///
  /// \returns the result of the exchange.
  ClientResult sendAndWait(ClientRequest Request);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::http

#endif // MASTICDRIFT_HTTP_CLIENT_H
