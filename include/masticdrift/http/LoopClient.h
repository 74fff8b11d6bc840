/// \file
/// Asynchronous HTTP client based on libcurl that runs on the caller's Asio event loop.
#ifndef MASTICDRIFT_HTTP_LOOPCLIENT_H
#define MASTICDRIFT_HTTP_LOOPCLIENT_H

#include "masticdrift/http/Client.h"

#include <asio/io_context.hpp>

namespace masticdrift::http {

/// HTTP client with the contract of Client, but without its own thread: exchanges and callbacks run
/// on the thread of the event loop.
///
/// Cost: one readiness notification per event of a connection; an idle exchange costs nothing.
class LoopClient {
public:
  /// \param Loop event loop; must outlive the client and be run by a single thread.
  /// \param MaxIdleTime idle time after which a connection is closed.
  /// \param MaxCachedConnections maximum number of cached connections over all hosts.
  /// \param MaxConnections maximum number of open connections over all hosts; further exchanges
  /// wait for one, within their timeouts. 0 for no limit.
  LoopClient(asio::io_context &Loop, std::chrono::seconds MaxIdleTime, long MaxCachedConnections,
             long MaxConnections = 0);
  LoopClient(const LoopClient &) = delete;
  LoopClient &operator=(const LoopClient &) = delete;
  /// Cancels the exchanges in flight without calling their callbacks.
  ~LoopClient();

  /// Starts an exchange. \p Done is called exactly once, from the event loop and never from within
  /// send().
  void send(ClientRequest Request, Callback Done);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::http

#endif // MASTICDRIFT_HTTP_LOOPCLIENT_H
