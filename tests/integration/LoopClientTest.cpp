// Tests of LoopClient against http::Server.
#include "masticdrift/http/LoopClient.h"
#include "masticdrift/http/Server.h"

#include "support/ResettingServer.h"

#include <optional>
#include <string>

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

// Guards against a request that libcurl sends a second time on a fresh connection: the answer to
// one of the two says nothing about the other, which may still be carried out.
Test(LoopClient, aRequestOnAReusedConnectionIsSentOnce) {
  asio::io_context Loop;
  tests::ResettingServer Server(Loop);
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  http::ClientRequest Outgoing;
  Outgoing.Method_ = "POST";
  Outgoing.Url_ = "http://" + Server.address() + "/order";
  Outgoing.Body_ = "body";
  Outgoing.Timeout_ = std::chrono::milliseconds(300);
  Outgoing.SendOnce_ = true;
  cr_assert_eq(exchange(Loop, Client, Outgoing).Answer_.Status_, 200);
  cr_expect(exchange(Loop, Client, Outgoing).Transfer_ == http::Transfer::NoAnswer);
  cr_expect_eq(Server.requestCount(), 2);
  cr_expect_eq(Server.connectionCount(), 1);
}

// Guards against requests that fail although repeating them is harmless, when a connection that is
// reused has been reset.
Test(LoopClient, anyOtherRequestOnAReusedConnectionIsRepeated) {
  asio::io_context Loop;
  tests::ResettingServer Server(Loop);
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  http::ClientRequest Outgoing;
  Outgoing.Method_ = "POST";
  Outgoing.Url_ = "http://" + Server.address() + "/look";
  Outgoing.Body_ = "body";
  Outgoing.Timeout_ = std::chrono::milliseconds(300);
  cr_assert_eq(exchange(Loop, Client, Outgoing).Answer_.Status_, 200);
  cr_expect_eq(exchange(Loop, Client, Outgoing).Answer_.Status_, 200);
  cr_expect_eq(Server.requestCount(), 3);
}
