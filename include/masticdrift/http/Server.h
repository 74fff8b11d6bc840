/// \file
/// HTTP server on RESTinio and Asio.
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

/// Answers one request; may be called once, from any thread, also after the handler returned.
using Responder = std::function<void(Response)>;

/// Called on a server thread for each request. Must not block.
using Handler = std::function<void(Request, Responder)>;

struct ServerOptions {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0;                      ///< 0 lets the kernel choose
  unsigned ThreadCount_ = 2;                    ///< worker threads
  std::size_t MaxBodyBytes_ = 1U << 20U;        ///< bytes; larger bodies get BodyTooLarge
  std::chrono::milliseconds ReadTimeout_{5000}; ///< time for one whole request to arrive
  asio::io_context *Loop_ = nullptr; ///< runs the server on this loop; ThreadCount_ is ignored then
};

/// Runs until destroyed. Answers oversized bodies with BodyTooLarge; a body over four times the
/// limit, an oversized header or a slow sender loses its connection without an answer.
class Server {
public:
  /// Binds and starts.
  /// \throws std::system_error when the address can't be bound.
  Server(const ServerOptions &Options, Handler OnRequest);
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  ~Server();

  /// \returns the bound port.
  std::uint16_t port() const;

  /// Stops and joins all threads; open connections are closed. Idempotent.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::http

#endif // MASTICDRIFT_HTTP_SERVER_H
