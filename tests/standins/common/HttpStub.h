/// \file
/// Single-threaded Asio HTTP server of the stand-ins, without locks, that can send faulty
/// responses.
#ifndef MASTICDRIFT_STANDINS_COMMON_HTTPSTUB_H
#define MASTICDRIFT_STANDINS_COMMON_HTTPSTUB_H

#include "masticdrift/http/Message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio.hpp>

namespace masticdrift::standins {

/// How a response is sent.
enum class ReplyMode {
  Complete,        ///< with a Content-Length
  Close,           ///< nothing is sent, the connection is closed
  Hang,            ///< nothing is sent, the connection stays open
  Truncate,        ///< full Content-Length with half of the body; then the connection is closed
  NoContentLength, ///< without a Content-Length; the end of the connection ends the body
};

struct Reply {
  int Status_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
  http::Headers Headers_;
  ReplyMode Mode_ = ReplyMode::Complete;
};

/// Sends the response to one request. Call at most once, on the thread of the io_context.
using ReplyCallback = std::function<void(Reply)>;
using StubHandler = std::function<void(http::Request, ReplyCallback)>;

/// HTTP server on 127.0.0.1 that counts connections and bytes.
class HttpStub {
public:
  /// \param MaxConnections connections beyond this limit are closed immediately and counted as
  /// refused.
  /// \throws std::system_error when the port can't be bound.
  HttpStub(asio::io_context &Io, std::uint16_t Port, StubHandler OnRequest,
           std::size_t MaxConnections = SIZE_MAX);
  HttpStub(const HttpStub &) = delete;
  HttpStub &operator=(const HttpStub &) = delete;
  ~HttpStub();

  struct Counts {
    std::size_t Open_ = 0;
    std::size_t Peak_ = 0;
    std::size_t Accepted_ = 0;
    std::size_t Refused_ = 0;
    std::uint64_t BytesIn_ = 0;
    std::uint64_t BytesOut_ = 0;
  };

  std::uint16_t port() const;
  const Counts &counts() const { return Counts_; }

private:
  friend class StubConnection;
  void accept();

  asio::ip::tcp::acceptor Acceptor_;
  StubHandler OnRequest_;
  std::size_t MaxConnections_;
  Counts Counts_;
};

} // namespace masticdrift::standins

#endif // MASTICDRIFT_STANDINS_COMMON_HTTPSTUB_H
