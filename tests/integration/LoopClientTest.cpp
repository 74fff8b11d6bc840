// Tests of LoopClient against http::Server.
#include "masticdrift/http/LoopClient.h"
#include "masticdrift/http/Server.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

http::ClientResult exchange(asio::io_context &Loop, http::LoopClient &Client,
                            http::ClientRequest Outgoing) {
  std::optional<http::ClientResult> Result;
  Client.send(std::move(Outgoing),
              [&](http::ClientResult Outcome) { Result = std::move(Outcome); });
  while (!Result)
    Loop.run_one();
  return *Result;
}

http::ClientRequest makeRequest(const http::Server &Server, const std::string &Path) {
  http::ClientRequest Outgoing;
  Outgoing.Method_ = "POST";
  Outgoing.Url_ = "http://127.0.0.1:" + std::to_string(Server.port()) + Path;
  Outgoing.Body_ = "body";
  Outgoing.Timeout_ = std::chrono::milliseconds(300);
  return Outgoing;
}

} // namespace

// Guards against a timeout on a reused connection that is reported as NotConnected: the caller was
// then told that the request had not been sent.
Test(LoopClient, aTimeOutOnAReusedConnectionIsNotCalledUnsent) {
  asio::io_context Loop;
  std::vector<http::Responder> PendingResponders;
  http::Server Server({}, [&](const http::Request &From, const http::Responder &To) {
    if (From.Path_ == "/silent")
      PendingResponders.push_back(To);
    else
      To({200, From.Body_, "text/plain", {}, false});
  });
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  cr_assert(exchange(Loop, Client, makeRequest(Server, "/echo")).Answer_.Body_ == "body");
  cr_expect(exchange(Loop, Client, makeRequest(Server, "/silent")).Transfer_ ==
            http::Transfer::NoAnswer);
}

Test(LoopClient, aRefusedConnectionIsCalledUnsent) {
  asio::io_context Loop;
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  auto Server = std::make_unique<http::Server>(
      http::ServerOptions{}, [](const http::Request &, const http::Responder &) {});
  const http::ClientRequest Outgoing = makeRequest(*Server, "/gone");
  Server.reset();
  cr_expect(exchange(Loop, Client, Outgoing).Transfer_ == http::Transfer::NotConnected);
}

namespace {

/// Accepts connections, answers the first request and resets the connection of every later one
/// after it has been read, like a server whose answer is lost.
class ResettingServer {
public:
  explicit ResettingServer(asio::io_context &Loop)
      : Acceptor_(Loop, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port()) + "/order";
  }
  int requestCount() const { return RequestCount_; }
  int connectionCount() const { return ConnectionCount_; }

private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket Socket) : Socket_(std::move(Socket)) {}
    asio::ip::tcp::socket Socket_;
    std::string Received_;
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
    asio::async_read_until(Client->Socket_, asio::dynamic_buffer(Client->Received_), "\r\n\r\nbody",
                           [this, Client](std::error_code Error, std::size_t Size) {
                             if (Error)
                               return;
                             Client->Received_.erase(0, Size);
                             answer(Client);
                           });
  }

  void answer(const std::shared_ptr<Connection> &Client) {
    if (++RequestCount_ > 1) {
      Client->Socket_.set_option(asio::socket_base::linger(true, 0));
      Client->Socket_.close();
      return;
    }
    asio::write(Client->Socket_,
                asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    readRequest(Client);
  }

  asio::ip::tcp::acceptor Acceptor_;
  int RequestCount_ = 0;
  int ConnectionCount_ = 0;
};

} // namespace

// Guards against a request that libcurl sends a second time on a fresh connection: the answer to
// one of the two says nothing about the other, which may still be carried out.
Test(LoopClient, aRequestOnAReusedConnectionIsSentOnce) {
  asio::io_context Loop;
  ResettingServer Server(Loop);
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  http::ClientRequest Outgoing;
  Outgoing.Method_ = "POST";
  Outgoing.Url_ = Server.url();
  Outgoing.Body_ = "body";
  Outgoing.Timeout_ = std::chrono::milliseconds(300);
  cr_assert_eq(exchange(Loop, Client, Outgoing).Answer_.Status_, 200);
  cr_expect(exchange(Loop, Client, Outgoing).Transfer_ == http::Transfer::NoAnswer);
  cr_expect_eq(Server.requestCount(), 2);
  cr_expect_eq(Server.connectionCount(), 1);
}
