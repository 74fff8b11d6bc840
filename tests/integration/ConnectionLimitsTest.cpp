// What connections hold in each of their states, from the first byte of a request to the last byte
// of its answer. The daemon is a real process; its machine is small by its settings.
#include "support/ClientCrowd.h"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>
#include <sys/resource.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// Machine with many descriptors, on which memory runs out first.
constexpr SmallMachine ManyDescriptors{96, 8192};
/// Machine with few descriptors.
constexpr SmallMachine FewDescriptors{96, 600};

/// Clients whose header fields together take more than the machine's memory.
constexpr int HeaderClients = 1500;
/// Fields of one request, some 70 kB, within the limits of the parser.
constexpr std::size_t HeaderFieldCount = 60;
constexpr std::size_t HeaderValueSize = 1150;
/// Connections without a request.
constexpr int IdleClients = 1900;
/// Clients whose requests are being served, more than the machine has descriptors.
constexpr int ServedClients = 900;
/// Clients whose large requests are being served.
constexpr int LargeServedClients = 400;
/// Clients that send on behind a request that is being served.
constexpr int SendingOnClients = 900;
constexpr std::size_t SentOnBytes = 256U << 10U;
/// Clients that read no answer.
constexpr int UnreadClients = 1900;
constexpr int RequestsBeforeReading = 2;
constexpr int UpgradeClients = 40;
constexpr int ReturningClients = 100;
constexpr int ReturningConnections = 6000;

constexpr std::size_t Megabyte = 1U << 20U;
constexpr core::Millis CrowdTimeout{60'000};

/// \returns the id of the \p Number-th job of a crowd.
std::string jobId(int Number) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "c%015x", static_cast<unsigned>(Number));
  return Text;
}

/// \returns a whole submission of \p Body.
std::string submission(int Number, const std::string &Body) {
  return submissionHeader("X-Masticdrift-Request-Deadline: 10000\r\nContent-Length: " +
                              std::to_string(Body.size()),
                          jobId(Number)) +
         Body;
}

std::string smallJob() {
  return R"({"spec":"ms=50","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":50}]})";
}

/// \returns a job of many steps within the body limit of the configuration.
std::string largeJob() {
  std::string Body = R"({"spec":"ms=1","steps":[{"count":1,"cpu":1})";
  for (int Step = 1; Step < 4700; ++Step)
    Body += R"(,{"count":1,"cpu":1})";
  return Body + "]}";
}

/// Makes the daemon wait for its store in each submission, until released.
class HeldSubmissions {
public:
  explicit HeldSubmissions(PlatformFleet &Fleet) : Fleet_(Fleet) {
    Fleet_.control({{"held_daemon", PlatformFleet::nameOf(0)}, {"held_topics", {"keyed.specs"}}});
  }
  HeldSubmissions(const HeldSubmissions &) = delete;
  HeldSubmissions &operator=(const HeldSubmissions &) = delete;
  ~HeldSubmissions() { Fleet_.control({{"held_daemon", ""}}); }

private:
  PlatformFleet &Fleet_;
};

/// Submits jobs on connections of their own, each when the daemon has read the one before, until
/// the daemon reads no more.
std::vector<RawClient *> submitOneByOne(CrowdScene &Scene, int Clients, const std::string &Body) {
  std::vector<RawClient *> Joined;
  for (int I = 0; I < Clients && Scene.awaitRead(); ++I) {
    Joined.push_back(&Scene.join());
    Joined.back()->send(submission(I, Body));
  }
  return Joined;
}

/// Clients that connect again as soon as they are closed, until they have made a number of
/// connections together.
class ReturningCrowd {
public:
  /// \param Request sent on each connection.
  ReturningCrowd(int Port, int Clients, int Connections, std::string Request)
      : Target_(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(Port)),
        Request_(std::move(Request)), Remaining_(Connections) {
    for (int I = 0; I < Clients; ++I)
      connect(std::make_shared<Client>(Loop_));
    Thread_ = std::thread([this] { Loop_.run(); });
  }
  ReturningCrowd(const ReturningCrowd &) = delete;
  ReturningCrowd &operator=(const ReturningCrowd &) = delete;
  ~ReturningCrowd() {
    Loop_.stop();
    Thread_.join();
  }

  bool done() const { return Remaining_ <= 0; }

private:
  struct Client {
    explicit Client(asio::io_context &Loop) : Socket_(Loop) {}
    asio::ip::tcp::socket Socket_;
    char Byte_ = 0;
  };

  void connect(const std::shared_ptr<Client> &One) {
    if (--Remaining_ < 0)
      return;
    One->Socket_ = asio::ip::tcp::socket(Loop_);
    One->Socket_.async_connect(Target_, [this, One](std::error_code Error) {
      if (Error)
        connect(One);
      else
        asio::async_write(One->Socket_, asio::buffer(Request_),
                          [this, One](std::error_code, std::size_t) { awaitClose(One); });
    });
  }

  /// Reads what the server sends until it closes the connection.
  void awaitClose(const std::shared_ptr<Client> &One) {
    One->Socket_.async_read_some(asio::buffer(&One->Byte_, 1),
                                 [this, One](std::error_code Error, std::size_t) {
                                   if (Error)
                                     connect(One);
                                   else
                                     awaitClose(One);
                                 });
  }

  asio::io_context Loop_;
  const asio::ip::tcp::endpoint Target_;
  const std::string Request_;
  std::atomic<int> Remaining_;
  std::thread Thread_;
};

} // namespace

// --- While a request arrives ---

// Guards against header fields that are not counted any more once the body has begun.
Test(ConnectionLimits, headerFieldsBeforeAChunk) {
  CrowdScene Scene(ManyDescriptors);
  const std::string Request = submissionHeader(headerFields(HeaderFieldCount, HeaderValueSize) +
                                               "Transfer-Encoding: chunked") +
                              chunks(1, 1);
  for (int I = 0; I < HeaderClients; ++I)
    Scene.join().send(Request);
  Scene.check();
}

// Guards against the fields of the trailing part, which are kept like those of the header.
Test(ConnectionLimits, fieldsInTheTrailingPart) {
  CrowdScene Scene(ManyDescriptors);
  const std::string Request = submissionHeader("Transfer-Encoding: chunked") + chunks(1, 1) +
                              "0\r\n" + headerFields(HeaderFieldCount, HeaderValueSize);
  for (int I = 0; I < HeaderClients; ++I)
    Scene.join().send(Request);
  Scene.check();
}

// Guards against many short fields, each of which takes far more memory than its bytes.
Test(ConnectionLimits, manyShortFields) {
  CrowdScene Scene(ManyDescriptors);
  const std::string Request =
      "POST /q/00000000000000b1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" +
      [] {
        std::string Fields;
        for (int I = 0; I < 62; ++I)
          Fields += "a:b\r\n";
        return Fields;
      }() +
      "\r\n" + chunks(1, 1);
  for (int I = 0; I < IdleClients; ++I)
    Scene.join().send(Request);
  Scene.check();
}

// Guards against an account that loses track of a request: after one that asks for an upgrade, a
// parser that goes on differently from the library's takes all bytes for something else.
Test(ConnectionLimits, chunksBehindARequestForAnUpgrade) {
  CrowdScene Scene(ManyDescriptors);
  const std::string Request =
      "GET /q/ HTTP/1.1\r\nHost: queue.example\r\nConnection: upgrade\r\nUpgrade: none\r\n\r\n" +
      submissionHeader("Transfer-Encoding: chunked");
  const std::string Chunks = chunks(1, Megabyte / 4);
  for (int I = 0; I < UpgradeClients; ++I) {
    RawClient &Client = Scene.join();
    if (Client.send(Request))
      Client.send(Chunks);
  }
  Scene.check();
}

// --- Connections themselves ---

// Guards against connections whose own memory is not counted, to all servers of the daemon.
Test(ConnectionLimits, connectionsWithoutARequestToAllServers) {
  CrowdScene Scene(ManyDescriptors);
  PlatformFleet &Fleet = Scene.fleet();
  for (int I = 0; I < IdleClients; ++I)
    for (const int Port : {Fleet.callerPort(0), Fleet.readyPort(0), Fleet.peerPort(0)})
      Scene.joinAt(Port).send("GET /");
  Scene.check();
}

// --- While a request is being served ---

// Guards against connections without a bound while none of them waits for data: the daemon ran out
// of descriptors.
Test(ConnectionLimits, requestsThatAreBeingServed) {
  CrowdScene Scene(FewDescriptors);
  {
    const HeldSubmissions Held(Scene.fleet());
    submitOneByOne(Scene, ServedClients, smallJob());
    Scene.checkBounds();
  }
  Scene.check();
}

// Guards against a server that accepts no connection any more once it has run out of descriptors.
Test(ConnectionLimits, noDescriptorIsLeft) {
  CrowdScene Scene(FewDescriptors);
  const rlimit Limit{FewDescriptors.Descriptors_, FewDescriptors.Descriptors_};
  cr_assert_eq(prlimit(Scene.fleet().daemon(0).pid(), RLIMIT_NOFILE, &Limit, nullptr), 0);
  {
    const HeldSubmissions Held(Scene.fleet());
    submitOneByOne(Scene, ServedClients, smallJob());
    Scene.checkBounds();
  }
  Scene.check();
}

// Guards against copies of a request that exist while it is being served and are not counted.
Test(ConnectionLimits, largeRequestsThatAreBeingServed) {
  CrowdScene Scene(ManyDescriptors);
  {
    const HeldSubmissions Held(Scene.fleet());
    submitOneByOne(Scene, LargeServedClients, largeJob());
    Scene.checkBounds();
  }
  // What was accepted is work, whose bounds are others.
  cr_expect(waitFor(CrowdTimeout,
                    [&] { return Scene.fleet().call(0, "GET", "/q/").Answer_.Status_ == 200; }));
}

// Guards against bytes behind a request that wait in the kernel's buffers, which count as memory of
// the machine.
Test(ConnectionLimits, bytesBehindARequestThatIsBeingServed) {
  CrowdScene Scene(ManyDescriptors);
  {
    const HeldSubmissions Held(Scene.fleet());
    const std::string Further(SentOnBytes, 'x');
    for (RawClient *Client : submitOneByOne(Scene, SendingOnClients, smallJob()))
      Client->sendAvailable(Further);
    Scene.checkBounds();
  }
  Scene.check();
}

// --- While an answer is sent ---

// Guards against answers that nobody reads.
Test(ConnectionLimits, answersThatNobodyReads) {
  CrowdScene Scene(ManyDescriptors);
  std::string Requests;
  for (int I = 0; I < RequestsBeforeReading; ++I)
    Requests += "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
  for (int I = 0; I < UnreadClients; ++I)
    Scene.joinAt(Scene.fleet().peerPort(0)).sendAvailable(Requests);
  Scene.check();
}

// --- Clients that come again ---

// Guards against a crowd that outruns the closing of its connections.
Test(ConnectionLimits, clientsThatComeAgain) {
  CrowdScene Scene(FewDescriptors);
  const std::string Chunks = chunks(1, Megabyte / 16);
  const ReturningCrowd Crowd(Scene.fleet().callerPort(0), ReturningClients, ReturningConnections,
                             submissionHeader("Transfer-Encoding: chunked") + Chunks);
  cr_expect(waitFor(CrowdTimeout, [&] {
    Scene.countDescriptors();
    return Crowd.done() || !Scene.fleet().daemon(0).running();
  }));
  Scene.check();
}

// --- All at once ---

// Guards against bounds of the single servers that together exceed the machine's memory.
Test(ConnectionLimits, crowdsAtAllServers) {
  CrowdScene Scene(ManyDescriptors);
  PlatformFleet &Fleet = Scene.fleet();
  const std::string Header = submissionHeader("Transfer-Encoding: chunked");
  const std::string TinyChunks = chunks(1, Megabyte / 4);
  const std::string LargeChunks = chunks(Megabyte / 16, 15);
  const std::string Fields = submissionHeader(headerFields(HeaderFieldCount, HeaderValueSize) +
                                              "Transfer-Encoding: chunked") +
                             chunks(1, 1);
  for (int I = 0; I < UpgradeClients; ++I)
    for (const int Port : {Fleet.callerPort(0), Fleet.readyPort(0), Fleet.peerPort(0)}) {
      Scene.joinAt(Port).send(Header + TinyChunks);
      Scene.joinAt(Port).send(Header + LargeChunks);
      for (int J = 0; J < 10; ++J)
        Scene.joinAt(Port).send(Fields);
    }
  Scene.check();
}
