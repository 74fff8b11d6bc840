// Sockets of LoopClient after connection attempts that time out.
#include "masticdrift/http/LoopClient.h"
#include "masticdrift/http/Server.h"

#include <algorithm>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

using namespace masticdrift;

namespace {

/// Listens, but completes no further connection: its backlog is full.
class DeafServer {
public:
  DeafServer() : Acceptor_(Loop_, {asio::ip::address_v4::loopback(), 0}) {
    Acceptor_.listen(0);
    for (int I = 0; I < 4; ++I)
      Fillers_.emplace_back(Loop_).async_connect(Acceptor_.local_endpoint(),
                                                 [](std::error_code) {});
    Loop_.poll();
  }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port()) + "/deaf";
  }

private:
  asio::io_context Loop_;
  asio::ip::tcp::acceptor Acceptor_;
  std::list<asio::ip::tcp::socket> Fillers_;
};

} // namespace

// Guards against orders and answers that reach a wrong peer: a descriptor that libcurl had closed
// without the callback was closed a second time when it belonged to another connection.
Test(LoopClientSockets, aTimedOutConnectionAttemptIsClosedOnce) {
  constexpr int Attempts = 6;
  const DeafServer Deaf;
  auto Loop = std::make_unique<asio::io_context>();
  auto Client = std::make_unique<http::LoopClient>(*Loop, std::chrono::seconds(10), 32);
  int Open = Attempts;
  for (int I = 0; I < Attempts; ++I) {
    http::ClientRequest Outgoing;
    Outgoing.Method_ = "POST";
    Outgoing.Url_ = Deaf.url();
    Outgoing.Body_ = "body";
    Outgoing.Timeout_ = std::chrono::milliseconds(150);
    Client->send(std::move(Outgoing), [&](const http::ClientResult &Result) {
      cr_expect(Result.Transfer_ == http::Transfer::NotConnected);
      --Open;
    });
  }
  while (Open > 0)
    Loop->run_one();
  // These get the numbers that the attempts have freed.
  std::vector<int> Descriptors(Attempts);
  for (int &Descriptor : Descriptors)
    Descriptor = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  Client.reset();
  Loop.reset();
  for (const int Descriptor : Descriptors)
    cr_expect_eq(::fcntl(Descriptor, F_GETFD), FD_CLOEXEC, "descriptor %d was closed", Descriptor);
}

// Guards against a client that takes more descriptors than its process has left: each request of a
// caller may need a connection to the leader.
Test(LoopClientSockets, connectionsAreLimited) {
  constexpr std::size_t MaxConnections = 3;
  constexpr std::size_t Requests = 12;
  asio::io_context Loop;
  http::ServerOptions Options;
  Options.Loop_ = &Loop;
  std::vector<http::Responder> Waiting;
  http::Server Server(Options, [&](const http::Request &, const http::Responder &Respond) {
    Waiting.push_back(Respond);
  });
  http::LoopClient Client(Loop, std::chrono::seconds(10), 32, MaxConnections);
  std::size_t Complete = 0;
  for (std::size_t I = 0; I < Requests; ++I) {
    http::ClientRequest Outgoing;
    Outgoing.Url_ = "http://127.0.0.1:" + std::to_string(Server.port()) + "/";
    Outgoing.Timeout_ = std::chrono::seconds(30);
    Client.send(std::move(Outgoing), [&](const http::ClientResult &Result) {
      Complete += Result.Transfer_ == http::Transfer::Complete;
    });
  }
  while (Complete < Requests) {
    Loop.run_one();
    cr_assert_leq(Waiting.size(), MaxConnections);
    if (Waiting.size() < std::min(MaxConnections, Requests - Complete))
      continue;
    for (const http::Responder &Respond : std::exchange(Waiting, {}))
      Respond({200, "{}", "application/json", {}, false});
  }
}
