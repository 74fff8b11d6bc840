// Invalid and hostile input on the caller and operator ports gets the documented error, and the
// daemon keeps serving requests.
#include "support/Api.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// A TCP connection that sends arbitrary bytes, including invalid HTTP.
class RawConnection {
public:
  explicit RawConnection(const std::string &Url) : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(Url.substr(Url.rfind(':') + 1))));
    inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
    Connected_ =
        connect(Socket_, reinterpret_cast<const sockaddr *>(&Address), sizeof Address) == 0;
  }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;
  ~RawConnection() { close(Socket_); }

  bool connected() const { return Connected_; }

  /// \returns true if all bytes were sent; the peer may close the connection earlier.
  bool write(std::string_view Bytes) const {
    while (!Bytes.empty()) {
      const ssize_t Sent = send(Socket_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    }
    return true;
  }

  /// Waits for the peer to close the connection.
  /// \returns true if it did so within \p Timeout.
  bool awaitClose(core::Millis Timeout) {
    const core::TimePoint End = core::Clock::now() + Timeout;
    while (core::Clock::now() < End) {
      pollfd Poll{Socket_, POLLIN, 0};
      if (poll(&Poll, 1, 50) <= 0)
        continue;
      std::array<char, 4096> Buffer{};
      const ssize_t Count = recv(Socket_, Buffer.data(), Buffer.size(), 0);
      if (Count <= 0)
        return Count == 0 || errno == ECONNRESET;
      Received_.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
    return false;
  }

  const std::string &received() const { return Received_; }

private:
  int Socket_;
  bool Connected_ = false;
  std::string Received_;
};

void expectRefused(const char *Scope, const Reply &Answer, int Status, const std::string &ErrorId) {
  cr_expect(Answer.Complete_, "%s: the answer is incomplete", Scope);
  cr_expect_eq(Answer.Status_, Status, "%s: status %d, body %s", Scope, Answer.Status_,
               Answer.Body_.c_str());
  cr_expect(Answer.errorId() == ErrorId, "%s: unexpected error id, body %s", Scope,
            Answer.Body_.c_str());
  cr_expect(Answer.Outcome_ == "not_run", "%s: outcome \"%s\"", Scope, Answer.Outcome_.c_str());
}

/// Expects that the daemon still serves a valid request.
void expectServes(const char *Scope, Api &Daemon, const std::string &Key) {
  const Reply Answer = Daemon.request("reorder", "still here", {.Key_ = Key});
  cr_expect_eq(Answer.Status_, 200, "after %s: status %d, body %s", Scope, Answer.Status_,
               Answer.Body_.c_str());
  cr_expect(Answer.Outcome_ == "completed", "after %s: outcome %s", Scope, Answer.Outcome_.c_str());
  cr_expect(Answer.Body_.find("still here") != std::string::npos, "after %s: %s", Scope,
            Answer.Body_.c_str());
}

} // namespace

// Guards against errors without a stable id or with a wrong outcome, and against invalid requests
// that make later ones fail.
Test(BadInput, callersGetTheDocumentedAnswerAndTheDaemonKeepsServing) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  Api Daemon(TestFleet, TestFleet.names().front());
  const std::string Key = Daemon.createKey("mfi");
  const std::string Url = TestFleet.callerUrl(TestFleet.names().front());
  const http::Headers WithKey{{"Authorization", "Bearer " + Key}};
  const auto Check = [&](const char *Scope, const Reply &Answer, int Status,
                         const std::string &ErrorId) {
    expectRefused(Scope, Answer, Status, ErrorId);
    expectServes(Scope, Daemon, Key);
  };
  expectServes("start", Daemon, Key);

  Check("broken JSON", call("POST", Url + "/v1/queues/print/jobs", "{\"kind\": ", WithKey), 400,
        "MD-101");
  Check("unknown field", Daemon.submitJob("print", {{"corse", 1}}, Key), 400, "MD-105");
  Check("unknown queue", Daemon.request("prnt", "x", {.Key_ = Key}), 404, "MD-301");
  Check("unknown queue of a job", Daemon.submitJob("prnt", {{"tasks", 1}}, Key), 404, "MD-301");
  Check("no key", Daemon.request("reorder", "x"), 401, "MD-201");
  Check("wrong key", Daemon.request("reorder", "x", {.Key_ = "wrong"}), 401, "MD-202");
  Check("wrong key of a job", Daemon.submitJob("print", {{"tasks", 1}}, "wrong"), 401, "MD-202");
  Check("impossible size", Daemon.submitJob("print", {{"cores", 64}}, Key), 422, "MD-302");
  for (const char *Deadline : {"soon", "-1", "0", "5001", "12ms", "99999999999999999999"})
    Check(Deadline,
          call("POST", Url + "/v1/queues/reorder/requests", "x",
               {{"Authorization", "Bearer " + Key}, {"Masticdrift-Deadline-Ms", Deadline}}),
          400, "MD-107");
  Check("unknown path", call("GET", Url + "/v1/queue", {}, WithKey), 404, "MD-108");
  Check("wrong method", call("GET", Url + "/v1/queues/reorder/requests", {}, WithKey), 405,
        "MD-109");
  Check("wrong method on a job", call("PUT", Url + "/v1/jobs/lahore-a/mfi/1", "x", WithKey), 405,
        "MD-109");
}

// Guards against a daemon that reads or waits without a limit. The outcome of an oversized body is
// checked in OversizedBodyTest.
Test(BadInput, oversizedAndSlowRequestsAreCutOff) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  Api Daemon(TestFleet, TestFleet.names().front());
  const std::string Key = Daemon.createKey("mfi");
  const std::string Url = TestFleet.callerUrl(TestFleet.names().front());

  const Reply Large = Daemon.request("reorder", std::string(1'048'577, 'x'), {.Key_ = Key});
  cr_expect_eq(Large.Status_, 413, "%d %s", Large.Status_, Large.Body_.c_str());
  cr_expect(Large.errorId() == "MD-102", "%s", Large.Body_.c_str());
  expectServes("an oversized body", Daemon, Key);

  {
    RawConnection Connection(Url);
    cr_assert(Connection.connected());
    Connection.write("POST /v1/queues/reorder/requests HTTP/1.1\r\nHost: a\r\nX-Large: " +
                     std::string(20'000, 'x') + "\r\nContent-Length: 1\r\n\r\nx");
    cr_expect(Connection.awaitClose(core::Millis(3000)),
              "oversized header: the daemon did not close the connection");
    cr_expect(Connection.received().find(" 200 ") == std::string::npos, "%s",
              Connection.received().c_str());
  }
  expectServes("an oversized header", Daemon, Key);

  // The read timeout of 5 s covers the whole request, so single bytes must not extend it.
  RawConnection SlowConnection(Url);
  cr_assert(SlowConnection.connected());
  SlowConnection.write(
      "POST /v1/queues/reorder/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n");
  const core::TimePoint Start = core::Clock::now();
  bool Closed = false;
  while (!Closed && core::Clock::now() - Start < core::Millis(9000)) {
    SlowConnection.write("x");
    Closed = SlowConnection.awaitClose(core::Millis(500));
  }
  cr_expect(Closed, "slow sender: the daemon did not close the connection");
  cr_expect(SlowConnection.received().find(" 200 ") == std::string::npos, "%s",
            SlowConnection.received().c_str());
  expectServes("a slow sender", Daemon, Key);
}

// Guards against errors on the operator port without a stable id.
Test(BadInput, operatorsGetTheDocumentedAnswer) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Name = TestFleet.names().front();
  Api Daemon(TestFleet, Name);
  const std::string Key = Daemon.createKey("mfi");
  const http::Headers Submission{{"Masticdrift-Base-Version", "1"}, {"Masticdrift-Author", "test"}};

  expectRefused("no key", call("GET", TestFleet.operatorUrl(Name) + "/v1/status"), 401, "MD-201");
  expectRefused("a team's key",
                call("GET", TestFleet.operatorUrl(Name) + "/v1/status", {},
                     {{"Authorization", "Bearer " + Key}}),
                401, "MD-202");
  expectRefused("unknown path", Daemon.operatorCall("GET", "/v1/confg"), 404, "MD-108");
  expectRefused("unknown page", Daemon.operatorCall("GET", "/v1/config/nothing"), 404, "MD-108");
  expectRefused("wrong method", Daemon.operatorCall("PUT", "/v1/config", "{}"), 405, "MD-109");
  expectRefused("wrong method on keys", Daemon.operatorCall("DELETE", "/v1/keys"), 405, "MD-109");
  expectRefused("broken configuration",
                Daemon.operatorCall("POST", "/v1/config", "{\"fleet\": ", Submission), 400,
                "MD-101");
  expectRefused("no base version", Daemon.operatorCall("POST", "/v1/config", "{}"), 400, "MD-110");
  expectRefused(
      "malformed base version",
      Daemon.operatorCall("POST", "/v1/config", "{}",
                          {{"Masticdrift-Base-Version", "1x"}, {"Masticdrift-Author", "test"}}),
      400, "MD-107");
  expectRefused("malformed version", Daemon.operatorCall("GET", "/v1/inforce?version=new"), 400,
                "MD-107");
  expectRefused("malformed time", Daemon.operatorCall("GET", "/v1/audit?since=yesterday"), 400,
                "MD-107");
  expectRefused("broken key request", Daemon.operatorCall("POST", "/v1/keys", "{\"team\""), 400,
                "MD-101");
  expectServes("wrong operator calls", Daemon, Key);
}
