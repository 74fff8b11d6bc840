// Connections to a server whose event loop is behind.
#include "masticdrift/http/Server.h"

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

constexpr std::size_t Clients = 40;

/// Does other work in each round of an event loop.
class BusyWork {
public:
  explicit BusyWork(asio::io_context &Loop) : Loop_(Loop) { next(); }
  void stop() { Stopped_ = true; }
  int rounds() const { return Rounds_; }

private:
  void next() {
    asio::post(Loop_, [this] {
      if (Stopped_)
        return;
      ++Rounds_;
      // The work itself is the fault: it keeps the loop from all else.
      const auto End = std::chrono::steady_clock::now() + std::chrono::milliseconds(5);
      while (std::chrono::steady_clock::now() < End) {
      }
      next();
    });
  }

  asio::io_context &Loop_;
  bool Stopped_ = false;
  int Rounds_ = 0;
};

/// A client with a connection of its own that sends one request.
struct OneRequest {
  explicit OneRequest(asio::io_context &Loop) : Socket_(Loop) {}
  asio::ip::tcp::socket Socket_;
  std::string Received_;
};

} // namespace

// Guards against requests that time out before their connections are accepted: a loop that is
// behind accepted two connections in each of its rounds, and each retry added one.
Test(ServerAccept, manyNewConnectionsAreServedInFewRoundsOfABusyLoop) {
  asio::io_context Loop;
  http::ServerOptions Options;
  Options.Loop_ = &Loop;
  http::Server Server(Options, [](const http::Request &, const http::Responder &Respond) {
    Respond({200, "{}", "application/json", {}, false});
  });

  asio::io_context ClientLoop;
  std::vector<std::unique_ptr<OneRequest>> Requests;
  const asio::ip::tcp::endpoint Target(asio::ip::address_v4::loopback(), Server.port());
  // The kernel completes the connections; the server accepts them once its loop runs.
  for (std::size_t I = 0; I < Clients; ++I) {
    Requests.push_back(std::make_unique<OneRequest>(ClientLoop));
    Requests.back()->Socket_.connect(Target);
    asio::write(Requests.back()->Socket_,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  }
  std::size_t Answered = 0;
  for (const auto &Request : Requests)
    asio::async_read_until(Request->Socket_, asio::dynamic_buffer(Request->Received_), "{}",
                           [&Answered](std::error_code Error, std::size_t) { Answered += !Error; });

  BusyWork Work(Loop);
  constexpr int MaxRounds = 12; // accepting, reading and answering take some rounds each
  while (Answered < Clients && Work.rounds() < 10 * MaxRounds) {
    Loop.run_one();
    ClientLoop.poll();
    ClientLoop.restart();
  }
  Work.stop();
  cr_expect_eq(Answered, Clients);
  cr_expect_leq(Work.rounds(), MaxRounds, "%d rounds", Work.rounds());
}
