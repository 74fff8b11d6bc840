/// \file
/// Asynchronous HTTP client on libcurl that runs on a caller's Asio loop.
#ifndef MASTICDRIFT_HTTP_LOOPCLIENT_H
#define MASTICDRIFT_HTTP_LOOPCLIENT_H

#include "masticdrift/http/Client.h"

#include <asio/io_context.hpp>

namespace masticdrift::http {

/// Same contract as Client without a thread: exchanges and callbacks run on the loop's thread.
///
/// Cost: one readiness wake-up for each event of a connection; idle exchanges cost nothing.
class LoopClient {
public:
  /// \param Loop must outlive the client and be run by one thread.
  /// \param MaxIdleTime connections idle longer are closed.
  /// \param MaxCachedConnections kept connections over all hosts.
  LoopClient(asio::io_context &Loop, std::chrono::seconds MaxIdleTime, long MaxCachedConnections);
  LoopClient(const LoopClient &) = delete;
  LoopClient &operator=(const LoopClient &) = delete;
  /// Drops what is in flight without calling back.
  ~LoopClient();

  /// Starts an exchange. \p Done is called exactly once, later, on the loop.
  void send(ClientRequest Request, Callback Done);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::http

#endif // MASTICDRIFT_HTTP_LOOPCLIENT_H
