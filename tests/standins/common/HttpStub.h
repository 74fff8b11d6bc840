/// \file
/// HTTP server of the stand-ins on Asio: one thread, no locks, and answers that can be broken on
/// purpose.
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

/// How an answer is put on the connection.
enum class ReplyMode {
  Complete, ///< with its declared length
  Close,    ///< nothing is sent, the connection is closed
  Hang,     ///< nothing is sent, the connection stays open
  Truncate, ///< the declared length is sent, half of the body follows, the connection is closed
  NoContentLength, ///< no declared length, the body ends with the connection
};

struct Reply {
  int Status_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
  http::Headers Headers_;
  ReplyMode Mode_ = ReplyMode::Complete;
};

/// Answers one request; call at most once, on the thread of the io_context.
using ReplyCallback = std::function<void(Reply)>;
using StubHandler = std::function<void(http::Request, ReplyCallback)>;

/// Listens on 127.0.0.1 and counts its connections and bytes.
class HttpStub {
public:
  /// \param MaxConnections further connections are closed at once and counted as refused.
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
