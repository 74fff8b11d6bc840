/// \file
/// A server whose answers are lost.
#ifndef MASTICDRIFT_TESTS_SUPPORT_RESETTINGSERVER_H
#define MASTICDRIFT_TESTS_SUPPORT_RESETTINGSERVER_H

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace masticdrift::tests {

/// Answers the first request on each connection. Resets the connection after it has read a second
/// one, as if it had carried that one out and its answer were lost. From the first reset on, the
/// status of its answers may be another one.
class ResettingServer {
public:
  /// \param StatusAfterReset status line of the answers after the first reset.
  explicit ResettingServer(asio::io_context &Loop, std::string_view StatusAfterReset = "200 OK")
      : Acceptor_(Loop, {asio::ip::address_v4::loopback(), 0}),
        StatusAfterReset_(StatusAfterReset) {
    accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  }
  /// \returns the number of requests that were read as a whole.
  int requestCount() const { return RequestCount_; }
  int connectionCount() const { return ConnectionCount_; }

private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket Socket) : Socket_(std::move(Socket)) {}
    asio::ip::tcp::socket Socket_;
    std::string Received_;
    int RequestCount_ = 0;
  };

  void accept() {
    Acceptor_.async_accept([this](std::error_code Error, asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      ++ConnectionCount_;
      readRequest(std::make_shared<Connection>(std::move(Socket)));
      accept();
    });
  }

  void readRequest(const std::shared_ptr<Connection> &Client) {
    asio::async_read_until(
        Client->Socket_, asio::dynamic_buffer(Client->Received_), "\r\n\r\n",
        [this, Client](std::error_code Error, std::size_t HeaderSize) {
          if (Error)
            return;
          constexpr std::string_view LengthHeader = "Content-Length: ";
          const std::size_t Begin = Client->Received_.find(LengthHeader);
          const std::size_t BodySize =
              Begin < HeaderSize
                  ? std::stoul(Client->Received_.substr(Begin + LengthHeader.size(), 9))
                  : 0;
          const std::size_t Size = HeaderSize + BodySize;
          const std::size_t Missing =
              Size > Client->Received_.size() ? Size - Client->Received_.size() : 0;
          asio::async_read(Client->Socket_, asio::dynamic_buffer(Client->Received_),
                           asio::transfer_exactly(Missing),
                           [this, Client, Size](std::error_code BodyError, std::size_t) {
                             if (BodyError)
                               return;
                             Client->Received_.erase(0, Size);
                             answer(Client);
                           });
        });
  }

  void answer(const std::shared_ptr<Connection> &Client) {
    ++RequestCount_;
    if (++Client->RequestCount_ > 1) {
      Client->Socket_.set_option(asio::socket_base::linger(true, 0));
      Client->Socket_.close();
      Status_ = StatusAfterReset_;
      return;
    }
    asio::write(Client->Socket_,
                asio::buffer("HTTP/1.1 " + Status_ + "\r\nContent-Length: 2\r\n\r\n{}"));
    readRequest(Client);
  }

  asio::ip::tcp::acceptor Acceptor_;
  std::string Status_ = "200 OK";
  std::string StatusAfterReset_;
  int RequestCount_ = 0;
  int ConnectionCount_ = 0;
};

} // namespace masticdrift::tests

#endif // MASTICDRIFT_TESTS_SUPPORT_RESETTINGSERVER_H
