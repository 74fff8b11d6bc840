/// \file
/// HTTP server based on RESTinio and Asio.
#ifndef MASTICDRIFT_HTTP_SERVER_H
#define MASTICDRIFT_HTTP_SERVER_H

#include "masticdrift/http/Message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
} // namespace asio

namespace masticdrift::http {

/// Sends the response to one request. May be called once, from any thread, also after the handler
/// has returned.
using Responder = std::function<void(Response)>;

/// Handles a request on a server thread. Must not block.
using Handler = std::function<void(Request, Responder)>;

/// Settings of a Server.
struct ServerOptions {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0;                      ///< 0 selects a free port
  unsigned ThreadCount_ = 2;                    ///< worker threads
  std::size_t MaxBodyBytes_ = 1U << 20U;        ///< larger bodies are rejected with BodyTooLarge
  std::chrono::milliseconds ReadTimeout_{5000}; ///< timeout for reading one complete request
  /// Memory for all connections with their requests, their answers and the kernel's buffers, in
  /// bytes. 64 MiB hold 10 bodies of the default limit while they are served, and a thousand
  /// ordinary requests. Connections without requests get half of it at most.
  std::size_t MaxHeldBytes_ = 64U << 20U;
  std::size_t MaxConnections_ = 2048; ///< open at the same time
  /// Connections that the kernel holds until they are accepted; 0 for the most that it allows.
  int MaxPendingConnections_ = 0;
  /// What a request takes beside its content while it is served, in bytes.
  std::size_t ServedRequestBytes_ = 4U << 10U;
  /// Buffers of the kernel for each connection, in bytes; 0 for its default.
  std::size_t ReceiveBufferBytes_ = 0;
  std::size_t SendBufferBytes_ = 0;
  /// Time from the first to the last byte of a request.
  std::chrono::milliseconds RequestTimeout_{10'000};
  asio::io_context *Loop_ = nullptr; ///< event loop to run on; ThreadCount_ is ignored
};

/// HTTP server that runs until it is destroyed.
///
/// Rejects oversized bodies with BodyTooLarge. A body over four times the limit, an oversized
/// header or a read timeout closes the connection without a response.
///
/// Keeps to its memory and number of connections also when clients don't keep to their limits: it
/// closes the connection with the largest unfinished request or unread answer, or the one that has
/// been inactive for the longest time, or the one that needs more. Nothing of an unfinished request
/// has run.
class Server {
public:
  /// Binds the address and starts serving.
  ///
  /// \throws std::system_error when the address cannot be bound.
  Server(const ServerOptions &Options, Handler OnRequest);
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  ~Server();

  /// \returns the bound port.
  std::uint16_t port() const;

  /// Closes open connections and joins all threads. Idempotent.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::http

#endif // MASTICDRIFT_HTTP_SERVER_H
