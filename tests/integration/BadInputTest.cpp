// Wrong and hostile input at the callers' and operators' ports: each gets the documented answer,
// and the daemon goes on serving.
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

/// A TCP connection that can send what no HTTP client sends.
class RawConnection {
public:
  explicit RawConnection(const std::string &Url) : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(static_cast<std::uint16_t>(std::stoi(Url.substr(Url.rfind(':') + 1))));
    inet_pton(AF_INET, "127.0.0.1", &To.sin_addr);
    Connected_ = connect(Socket_, reinterpret_cast<const sockaddr *>(&To), sizeof To) == 0;
  }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;
  ~RawConnection() { close(Socket_); }

  bool connected() const { return Connected_; }

  /// \returns whether everything was taken; the peer may close before that.
  bool write(std::string_view Bytes) const {
    while (!Bytes.empty()) {
      const ssize_t Taken = send(Socket_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Taken <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Taken));
    }
    return true;
  }

  /// Waits for the peer to close the connection.
  /// \returns whether it did within \p Deadline.
  bool awaitClose(core::Millis Deadline) {
    const core::TimePoint End = core::Clock::now() + Deadline;
    while (core::Clock::now() < End) {
      pollfd Wait{Socket_, POLLIN, 0};
      if (poll(&Wait, 1, 50) <= 0)
        continue;
      std::array<char, 4096> Part{};
      const ssize_t Got = recv(Socket_, Part.data(), Part.size(), 0);
      if (Got <= 0)
        return Got == 0 || errno == ECONNRESET;
      Received_.append(Part.data(), static_cast<std::size_t>(Got));
    }
    return false;
  }

  const std::string &received() const { return Received_; }

private:
  int Socket_;
  bool Connected_ = false;
  std::string Received_;
};

void expectRefused(const char *Scope, const Reply &Got, int Status, const std::string &Id) {
  cr_expect(Got.Complete_, "%s: no complete answer", Scope);
  cr_expect_eq(Got.Status_, Status, "%s: %d %s", Scope, Got.Status_, Got.Body_.c_str());
  cr_expect(Got.errorId() == Id, "%s: %s", Scope, Got.Body_.c_str());
  cr_expect(Got.Outcome_ == "not_run", "%s: outcome \"%s\"", Scope, Got.Outcome_.c_str());
}

/// The daemon still serves a normal request.
void expectServes(const char *Scope, Api &At, const std::string &Key) {
  const Reply Got = At.request("reorder", "still here", {.Key_ = Key});
  cr_expect_eq(Got.Status_, 200, "after %s: %d %s", Scope, Got.Status_, Got.Body_.c_str());
  cr_expect(Got.Outcome_ == "completed", "after %s: %s", Scope, Got.Outcome_.c_str());
  cr_expect(Got.Body_.find("still here") != std::string::npos, "after %s: %s", Scope,
            Got.Body_.c_str());
}

} // namespace

// Guards against answers without a stable id, a false outcome, and damage to later requests.
Test(BadInput, callersGetTheDocumentedAnswerAndTheDaemonServesOn) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  Api At(All, All.names().front());
  const std::string Key = At.createKey("mfi");
  const std::string Url = All.callerUrl(All.names().front());
  const http::Headers WithKey{{"Authorization", "Bearer " + Key}};
  const auto Check = [&](const char *Scope, const Reply &Got, int Status, const std::string &Id) {
    expectRefused(Scope, Got, Status, Id);
    expectServes(Scope, At, Key);
  };
  expectServes("start", At, Key);

  Check("broken JSON", call("POST", Url + "/v1/queues/print/jobs", "{\"kind\": ", WithKey), 400,
        "MD-101");
  Check("unknown field", At.submitJob("print", {{"corse", 1}}, Key), 400, "MD-105");
  Check("unknown queue", At.request("prnt", "x", {.Key_ = Key}), 404, "MD-301");
  Check("unknown queue of a job", At.submitJob("prnt", {{"tasks", 1}}, Key), 404, "MD-301");
  Check("no key", At.request("reorder", "x"), 401, "MD-201");
  Check("wrong key", At.request("reorder", "x", {.Key_ = "wrong"}), 401, "MD-202");
  Check("wrong key of a job", At.submitJob("print", {{"tasks", 1}}, "wrong"), 401, "MD-202");
  Check("impossible size", At.submitJob("print", {{"cores", 64}}, Key), 422, "MD-302");
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

// Guards against a daemon that reads without bounds or waits without end. The outcome of an
// oversized body is checked in OversizedBodyTest.
Test(BadInput, oversizedAndSlowRequestsAreCutOff) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  Api At(All, All.names().front());
  const std::string Key = At.createKey("mfi");
  const std::string Url = All.callerUrl(All.names().front());

  const Reply Large = At.request("reorder", std::string(1'048'577, 'x'), {.Key_ = Key});
  cr_expect_eq(Large.Status_, 413, "%d %s", Large.Status_, Large.Body_.c_str());
  cr_expect(Large.errorId() == "MD-102", "%s", Large.Body_.c_str());
  expectServes("an oversized body", At, Key);

  {
    RawConnection Raw(Url);
    cr_assert(Raw.connected());
    Raw.write("POST /v1/queues/reorder/requests HTTP/1.1\r\nHost: a\r\nX-Large: " +
              std::string(20'000, 'x') + "\r\nContent-Length: 1\r\n\r\nx");
    cr_expect(Raw.awaitClose(core::Millis(3000)), "oversized header: the connection stays open");
    cr_expect(Raw.received().find(" 200 ") == std::string::npos, "%s", Raw.received().c_str());
  }
  expectServes("an oversized header", At, Key);

  // The read timeout is 5 s for the whole request, so single bytes must not extend it.
  RawConnection Slow(Url);
  cr_assert(Slow.connected());
  Slow.write("POST /v1/queues/reorder/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n");
  const core::TimePoint Start = core::Clock::now();
  bool Closed = false;
  while (!Closed && core::Clock::now() - Start < core::Millis(9000)) {
    Slow.write("x");
    Closed = Slow.awaitClose(core::Millis(500));
  }
  cr_expect(Closed, "slow sender: the connection stays open");
  cr_expect(Slow.received().find(" 200 ") == std::string::npos, "%s", Slow.received().c_str());
  expectServes("a slow sender", At, Key);
}

// Guards against operator answers without a stable id.
Test(BadInput, operatorsGetTheDocumentedAnswer) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Name = All.names().front();
  Api At(All, Name);
  const std::string Key = At.createKey("mfi");
  const http::Headers Submission{{"Masticdrift-Base-Version", "1"}, {"Masticdrift-Author", "test"}};

  expectRefused("no key", call("GET", All.operatorUrl(Name) + "/v1/status"), 401, "MD-201");
  expectRefused(
      "a team's key",
      call("GET", All.operatorUrl(Name) + "/v1/status", {}, {{"Authorization", "Bearer " + Key}}),
      401, "MD-202");
  expectRefused("unknown path", At.operatorCall("GET", "/v1/confg"), 404, "MD-108");
  expectRefused("unknown page", At.operatorCall("GET", "/v1/config/nothing"), 404, "MD-108");
  expectRefused("wrong method", At.operatorCall("PUT", "/v1/config", "{}"), 405, "MD-109");
  expectRefused("wrong method on keys", At.operatorCall("DELETE", "/v1/keys"), 405, "MD-109");
  expectRefused("broken configuration",
                At.operatorCall("POST", "/v1/config", "{\"fleet\": ", Submission), 400, "MD-101");
  expectRefused("no base version", At.operatorCall("POST", "/v1/config", "{}"), 400, "MD-110");
  expectRefused(
      "malformed base version",
      At.operatorCall("POST", "/v1/config", "{}",
                      {{"Masticdrift-Base-Version", "1x"}, {"Masticdrift-Author", "test"}}),
      400, "MD-107");
  expectRefused("malformed version", At.operatorCall("GET", "/v1/inforce?version=new"), 400,
                "MD-107");
  expectRefused("malformed time", At.operatorCall("GET", "/v1/audit?since=yesterday"), 400,
                "MD-107");
  expectRefused("broken key request", At.operatorCall("POST", "/v1/keys", "{\"team\""), 400,
                "MD-101");
  expectServes("wrong operator calls", At, Key);
}
