// Tests of LoopClient against http::Server.
#include "masticdrift/http/LoopClient.h"
#include "masticdrift/http/Server.h"

#include "support/ResettingServer.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

constexpr std::chrono::milliseconds RequestTimeout(300);

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
  Outgoing.Timeout_ = RequestTimeout;
  return Outgoing;
}

/// For many requests at a time, which a loaded machine takes some time to send.
constexpr std::chrono::milliseconds HeldTimeout(1000);
/// Time for which the client's event loop runs nothing.
constexpr std::chrono::milliseconds Blockade(1500);

/// A server whose responses are sent when the test says so.
class HeldServer {
public:
  HeldServer()
      : Server_({}, [this](const http::Request &, const http::Responder &To) {
          const std::lock_guard Lock(Mutex_);
          Held_.push_back(To);
        }) {}

  const http::Server &server() const { return Server_; }
  std::size_t requests() {
    const std::lock_guard Lock(Mutex_);
    return Held_.size();
  }
  void answerAll() {
    const std::lock_guard Lock(Mutex_);
    for (const http::Responder &To : Held_)
      To({200, "answer", "text/plain", {}, false});
  }

private:
  std::mutex Mutex_;
  std::vector<http::Responder> Held_;
  http::Server Server_;
};

/// Sends \p Count requests and runs the loop until the server has received them.
void sendAndAwaitReceipt(asio::io_context &Loop, http::LoopClient &Client, HeldServer &Server,
                         std::size_t Count, std::vector<http::ClientResult> &Results,
                         std::chrono::milliseconds MaxSilence = {}) {
  for (std::size_t I = 0; I < Count; ++I) {
    http::ClientRequest Outgoing = makeRequest(Server.server(), "/held");
    Outgoing.MaxSilence_ = MaxSilence;
    Outgoing.Timeout_ = HeldTimeout;
    Client.send(std::move(Outgoing),
                [&](http::ClientResult Outcome) { Results.push_back(std::move(Outcome)); });
  }
  const auto End = std::chrono::steady_clock::now() + HeldTimeout / 2;
  while (Server.requests() < Count && std::chrono::steady_clock::now() < End)
    Loop.run_for(std::chrono::milliseconds(1));
  cr_assert_eq(Server.requests(), Count);
  cr_assert(Results.empty());
}

void awaitResults(asio::io_context &Loop, const std::vector<http::ClientResult> &Results,
                  std::size_t Count) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (Results.size() < Count && std::chrono::steady_clock::now() < End) {
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(5));
  }
  cr_assert_eq(Results.size(), Count);
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

// --- The client's event loop is late ---

// Guards against servers that are taken for silent because this process was late: their responses
// arrived in time and waited in their sockets.
Test(LoopClient, responsesThatHaveArrivedCountHoweverLateTheyAreRead) {
  constexpr std::size_t Count = 200;
  asio::io_context Loop;
  HeldServer Server;
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  std::vector<http::ClientResult> Results;
  sendAndAwaitReceipt(Loop, Client, Server, Count, Results);
  Server.answerAll();
  std::this_thread::sleep_for(Blockade);
  awaitResults(Loop, Results, Count);
  cr_expect_eq(
      std::ranges::count(Results, http::Transfer::Complete, &http::ClientResult::Transfer_), Count);
}

// The same with a limit on the pauses of a response.
Test(LoopClient, aResponseThatHasArrivedIsNoSilence) {
  asio::io_context Loop;
  HeldServer Server;
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  std::vector<http::ClientResult> Results;
  sendAndAwaitReceipt(Loop, Client, Server, 1, Results,
                      HeldTimeout - std::chrono::milliseconds(10));
  Server.answerAll();
  std::this_thread::sleep_for(Blockade);
  awaitResults(Loop, Results, 1);
  cr_expect(Results.front().Transfer_ == http::Transfer::Complete);
}

// Guards against a server that counts as out of reach because this process did not get to continue
// the connection attempt.
Test(LoopClient, aConnectionThatIsContinuedLateIsUsed) {
  asio::io_context Loop;
  http::Server Server({}, [](const http::Request &From, const http::Responder &To) {
    To({200, From.Body_, "text/plain", {}, false});
  });
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  std::vector<http::ClientResult> Results;
  Client.send(makeRequest(Server, "/echo"),
              [&](http::ClientResult Outcome) { Results.push_back(std::move(Outcome)); });
  Loop.run_one(); // the exchange begins
  Loop.run_one(); // libcurl begins to connect
  std::this_thread::sleep_for(Blockade);
  awaitResults(Loop, Results, 1);
  cr_expect(Results.front().Transfer_ == http::Transfer::Complete, "%s",
            Results.front().Error_.c_str());
}

// Guards against an order that is carried out long after its sender has given it up, because its
// process was stopped for that time.
Test(LoopClient, aRequestThatWaitedForLongIsNotSent) {
  constexpr std::chrono::milliseconds LongBlockade(4000);
  asio::io_context Loop;
  std::atomic<int> Received = 0;
  http::Server Server({}, [&](const http::Request &From, const http::Responder &To) {
    ++Received;
    To({200, From.Body_, "text/plain", {}, false});
  });
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  std::vector<http::ClientResult> Results;
  Client.send(makeRequest(Server, "/echo"),
              [&](http::ClientResult Outcome) { Results.push_back(std::move(Outcome)); });
  Loop.run_one(); // the exchange begins
  Loop.run_one(); // libcurl begins to connect
  std::this_thread::sleep_for(LongBlockade);
  awaitResults(Loop, Results, 1);
  cr_expect(Results.front().Transfer_ == http::Transfer::NotConnected);
  cr_expect_eq(Received.load(), 0);
}

// Guards against an exchange without end after the loop was late.
Test(LoopClient, aServerThatNeverAnswersTimesOutAfterALateLoop) {
  constexpr std::size_t Count = 50;
  asio::io_context Loop;
  HeldServer Server;
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  std::vector<http::ClientResult> Results;
  sendAndAwaitReceipt(Loop, Client, Server, Count, Results);
  std::this_thread::sleep_for(Blockade);
  const auto ReadAt = std::chrono::steady_clock::now();
  awaitResults(Loop, Results, Count);
  cr_expect_lt(std::chrono::steady_clock::now() - ReadAt, HeldTimeout);
  cr_expect_eq(
      std::ranges::count(Results, http::Transfer::NoAnswer, &http::ClientResult::Transfer_), Count);
}

// Guards against a timeout that is not kept while the loop is on time.
Test(LoopClient, aServerThatNeverAnswersTimesOutInTime) {
  asio::io_context Loop;
  HeldServer Server;
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  const auto SentAt = std::chrono::steady_clock::now();
  cr_expect(exchange(Loop, Client, makeRequest(Server.server(), "/held")).Transfer_ ==
            http::Transfer::NoAnswer);
  const auto Taken = std::chrono::steady_clock::now() - SentAt;
  cr_expect_geq(Taken, RequestTimeout);
  cr_expect_lt(Taken, RequestTimeout * 2);
}
