#include "masticdrift/protocol/Link.h"

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::protocol;
using namespace std::chrono_literals;

namespace {

std::string addressOf(std::uint16_t Port) { return "127.0.0.1:" + std::to_string(Port); }

template <typename Condition> bool eventually(Condition Check, std::chrono::milliseconds Within) {
  const auto Deadline = std::chrono::steady_clock::now() + Within;
  while (std::chrono::steady_clock::now() < Deadline) {
    if (Check())
      return true;
    std::this_thread::sleep_for(5ms);
  }
  return Check();
}

/// TCP relay that can cut its connections, or silence them for good while new ones work.
class Relay {
public:
  explicit Relay(std::uint16_t Target)
      : Target_(asio::ip::make_address("127.0.0.1"), Target),
        Acceptor_(Context_, {asio::ip::make_address("127.0.0.1"), 0}),
        Port_(Acceptor_.local_endpoint().port()) {
    accept();
    Thread_ = std::thread([this] { Context_.run(); });
  }
  ~Relay() {
    Context_.stop();
    Thread_.join();
  }
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  std::uint16_t port() const { return Port_; }

  void cut() {
    asio::post(Context_, [this] {
      for (auto &Each : Pipes_) {
        std::error_code Ignored;
        Each->Client_.close(Ignored);
        Each->Server_.close(Ignored);
      }
      Pipes_.clear();
    });
  }

  /// Existing connections stay open and carry nothing more until release().
  void silence() {
    asio::post(Context_, [this] {
      for (auto &Each : Pipes_)
        Each->Silent_ = true;
    });
  }

  void release() {
    asio::post(Context_, [this] {
      for (auto &Each : Pipes_)
        if (std::exchange(Each->Silent_, false)) {
          forward(Each, true);
          forward(Each, false);
        }
    });
  }

private:
  struct Pipe {
    explicit Pipe(asio::ip::tcp::socket Client)
        : Client_(std::move(Client)), Server_(Client_.get_executor()) {}
    asio::ip::tcp::socket Client_;
    asio::ip::tcp::socket Server_;
    std::array<char, 4096> Up_{};
    std::array<char, 4096> Down_{};
    std::size_t UpHeld_ = 0;
    std::size_t DownHeld_ = 0;
    bool Silent_ = false;
  };

  void accept() {
    Acceptor_.async_accept([this](std::error_code Error, asio::ip::tcp::socket Client) {
      if (Error)
        return;
      auto Fresh = std::make_shared<Pipe>(std::move(Client));
      std::error_code Refused;
      Fresh->Server_.connect(Target_, Refused);
      if (!Refused) {
        Pipes_.push_back(Fresh);
        read(Fresh, true);
        read(Fresh, false);
      }
      accept();
    });
  }

  void read(const std::shared_ptr<Pipe> &On, bool Up) {
    auto &From = Up ? On->Client_ : On->Server_;
    From.async_read_some(asio::buffer(Up ? On->Up_ : On->Down_),
                         [this, On, Up](std::error_code Error, std::size_t Size) {
                           if (Error) {
                             std::error_code Ignored;
                             if (!On->Silent_)
                               (Up ? On->Server_ : On->Client_).close(Ignored);
                             return;
                           }
                           (Up ? On->UpHeld_ : On->DownHeld_) = Size;
                           if (!On->Silent_)
                             forward(On, Up);
                         });
  }

  void forward(const std::shared_ptr<Pipe> &On, bool Up) {
    auto &Held = Up ? On->UpHeld_ : On->DownHeld_;
    if (Held == 0)
      return;
    std::error_code Error;
    asio::write(Up ? On->Server_ : On->Client_,
                asio::buffer((Up ? On->Up_ : On->Down_).data(), std::exchange(Held, 0)), Error);
    if (!Error)
      read(On, Up);
  }

  asio::io_context Context_;
  asio::ip::tcp::endpoint Target_;
  asio::ip::tcp::acceptor Acceptor_;
  std::uint16_t Port_;
  std::vector<std::shared_ptr<Pipe>> Pipes_;
  std::thread Thread_;
};

/// A link that answers every ConfigFetch and counts what it receives by body.
struct Peer {
  explicit Peer(const std::string &Name, core::Duration SendTimeout = 5s)
      : Link_(options(Name, SendTimeout), [this](const Envelope &In) {
          {
            const std::lock_guard Lock(Mutex_);
            ++Received_[In.Body_];
          }
          if (static_cast<MessageKind>(In.Kind_) == MessageKind::ConfigFetch && Answers_)
            Link_.reply(In, MessageKind::ConfigCopy, "answer to " + In.Body_);
        }) {}

  static LinkOptions options(const std::string &Name, core::Duration SendTimeout) {
    LinkOptions Options;
    Options.Name_ = Name;
    Options.Incarnation_ = 1;
    Options.SendTimeout_ = SendTimeout;
    return Options;
  }

  int received(const std::string &Body) {
    const std::lock_guard Lock(Mutex_);
    const auto Found = Received_.find(Body);
    return Found == Received_.end() ? 0 : Found->second;
  }

  std::mutex Mutex_;
  std::map<std::string, int> Received_;
  std::atomic<bool> Answers_{true};
  Link Link_;
};

std::pair<std::error_code, std::string>
callAndWait(Link &By, const std::string &To, const std::string &Body, core::Duration Timeout) {
  auto Done = std::make_shared<std::promise<std::pair<std::error_code, std::string>>>();
  By.call(To, MessageKind::ConfigFetch, Body, Timeout,
          [Done](std::error_code Error, const Envelope &Reply) {
            Done->set_value({Error, Reply.Body_}); // throws when called twice
          });
  return Done->get_future().get();
}

void join(Peer &A, Peer &B) {
  A.Link_.setRoute("b", addressOf(B.Link_.port()));
  B.Link_.setRoute("a", addressOf(A.Link_.port()));
  cr_assert(eventually([&] { return A.Link_.connected("b") && B.Link_.connected("a"); }, 5s));
}

} // namespace

// Guards against replies that reach the wrong call.
Test(Link, everyCallGetsItsOwnReply) {
  Peer A("a");
  Peer B("b");
  join(A, B);
  std::atomic<int> Right{0};
  for (int I = 0; I < 200; ++I)
    A.Link_.call("b", MessageKind::ConfigFetch, std::to_string(I), 5s,
                 [&Right, I](std::error_code Error, const Envelope &Reply) {
                   if (!Error && Reply.Body_ == "answer to " + std::to_string(I))
                     ++Right;
                 });
  cr_assert(eventually([&] { return Right == 200; }, 5s), "%d of 200", Right.load());
}

// Guards against a "nothing was sent" that is untrue, and against waiting for a dead peer.
Test(Link, anUnreachablePeerIsReportedAtOnce) {
  Peer A("a");
  cr_assert(A.Link_.send("b", MessageKind::Notice, 0, "x") == core::ErrorKind::PeerUnreachable);
  {
    Peer B("b");
    A.Link_.setRoute("b", addressOf(B.Link_.port()));
    cr_assert(eventually([&] { return A.Link_.connected("b"); }, 5s));
  }
  cr_assert(eventually([&] { return !A.Link_.connected("b"); }, 5s));
  const auto Start = std::chrono::steady_clock::now();
  cr_assert(callAndWait(A.Link_, "b", "x", 5s).first == core::ErrorKind::PeerUnreachable);
  cr_assert(std::chrono::steady_clock::now() - Start < 2s);
}

// Guards against calls that end twice or with the wrong verdict on whether the peer has the
// message.
Test(Link, aSilentPeerGivesAnUnknownOutcome) {
  Peer A("a");
  Peer B("b");
  join(A, B);
  B.Answers_ = false;
  cr_assert(callAndWait(A.Link_, "b", "x", 300ms).first == core::ErrorKind::OutcomeUnknown);
  cr_assert_eq(B.received("x"), 1);
}

// Guards against a reply that is taken from a daemon that was not asked.
Test(Link, lateAndForeignRepliesAreDropped) {
  Peer A("a");
  Peer B("b");
  Peer C("c");
  join(A, B);
  C.Link_.setRoute("a", addressOf(A.Link_.port()));
  cr_assert(eventually([&] { return C.Link_.connected("a"); }, 5s));
  B.Answers_ = false;
  std::atomic<int> Calls{0};
  std::error_code Last;
  A.Link_.call("b", MessageKind::ConfigFetch, "x", 500ms,
               [&](std::error_code Error, const Envelope &) {
                 Last = Error;
                 ++Calls;
               });
  cr_assert(eventually([&] { return B.received("x") == 1; }, 2s));
  // c answers with every id that a can have used: the ids start at a random number, so it learns
  // the right one from nobody; b's own id space is used for the late reply below.
  for (std::uint64_t Id = 0; Id < 10; ++Id)
    C.Link_.send("a", MessageKind::ConfigCopy, Id, "foreign");
  cr_assert(eventually([&] { return Calls == 1; }, 2s));
  cr_assert(Last == core::ErrorKind::OutcomeUnknown);
  std::this_thread::sleep_for(100ms);
  cr_assert_eq(Calls.load(), 1);
}

// Guards against memory that grows without bound and against frames that are cut.
Test(Link, sizesAreLimited) {
  Peer A("a");
  Peer B("b");
  join(A, B);
  const std::string Largest(4U << 20U, 'x');
  const auto [Error, Reply] = callAndWait(A.Link_, "b", Largest.substr(0, (4U << 20U) - 100), 5s);
  cr_assert(!Error, "%s", Error.message().c_str());
  cr_assert(A.Link_.send("b", MessageKind::Notice, 0, Largest + "x") ==
            core::ErrorKind::BodyTooLarge);
}

// Guards against a full queue that blocks or hides that a message was not sent.
Test(Link, aFullQueueRefuses) {
  Peer B("b");
  Relay Between(B.Link_.port());
  Peer A("a");
  A.Link_.setRoute("b", addressOf(Between.port()));
  cr_assert(eventually([&] { return A.Link_.connected("b"); }, 5s));
  cr_assert(!A.Link_.send("b", MessageKind::Notice, 0, "first"));
  cr_assert(eventually([&] { return B.received("first") == 1; }, 5s));
  Between.silence();
  std::this_thread::sleep_for(100ms);
  std::error_code Error;
  for (int I = 0; I < 100 && !Error; ++I) // 100 MB, far more than the kernel buffers
    Error = A.Link_.send("b", MessageKind::Notice, 0, std::string(1U << 20U, 'x'));
  cr_assert(Error == core::ErrorKind::PeerUnreachable);
}

// Guards against a second delivery after a connection is lost (P7).
Test(Link, aMessageIsDeliveredAtMostOnceWhenConnectionsAreCut) {
  Peer B("b");
  Relay Between(B.Link_.port());
  Peer A("a");
  A.Link_.setRoute("b", addressOf(Between.port()));
  int Accepted = 0;
  for (int I = 0; I < 3000; ++I) {
    if (I % 150 == 149)
      Between.cut();
    if (I % 400 == 399)
      A.Link_.reconnect("b");
    const auto Error =
        A.Link_.send("b", MessageKind::Notice, 0, std::to_string(I) + std::string(500, '.'));
    Accepted += Error ? 0 : 1;
    std::this_thread::sleep_for(500us);
  }
  std::this_thread::sleep_for(500ms);
  const std::lock_guard Lock(B.Mutex_);
  for (const auto &[Body, Times] : B.Received_)
    cr_assert_eq(Times, 1, "%s was delivered %d times", Body.substr(0, 8).c_str(), Times);
  cr_assert_leq(B.Received_.size(), static_cast<std::size_t>(Accepted));
  cr_assert_gt(B.Received_.size(), 500U, "only %zu of %d arrived", B.Received_.size(), Accepted);
}

// Guards against a peer that stays unreachable behind a connection whose state a device has lost,
// and against messages that come out of it after their deadline.
Test(Link, aSilentConnectionIsReplacedAndItsMessagesExpire) {
  Peer B("b");
  Relay Between(B.Link_.port());
  Peer A("a", 400ms);
  A.Link_.setRoute("b", addressOf(Between.port()));
  B.Link_.setRoute("a", addressOf(A.Link_.port()));
  cr_assert(eventually([&] { return A.Link_.connected("b") && B.Link_.connected("a"); }, 5s));
  cr_assert(!callAndWait(A.Link_, "b", "before", 2s).first);
  Between.silence();
  std::this_thread::sleep_for(50ms);
  cr_assert(!A.Link_.send("b", MessageKind::Notice, 0, "stuck"));
  cr_assert(callAndWait(A.Link_, "b", "unanswered", 300ms).first ==
            core::ErrorKind::OutcomeUnknown);
  A.Link_.reconnect("b");
  cr_assert(eventually([&] { return A.Link_.connected("b"); }, 5s));
  const auto [Error, Reply] = callAndWait(A.Link_, "b", "after", 2s);
  cr_assert(!Error, "%s", Error.message().c_str());
  std::this_thread::sleep_for(400ms);
  Between.release();
  std::this_thread::sleep_for(300ms);
  cr_assert_eq(B.received("stuck"), 0, "delivered after its deadline");
  cr_assert_eq(B.received("unanswered"), 0, "delivered after its deadline");
}

// Guards against use of a closed link and against calls that never end.
Test(Link, stopEndsOpenCalls) {
  std::atomic<int> Ended{0};
  Peer B("b");
  B.Answers_ = false;
  {
    Peer A("a");
    join(A, B);
    for (int I = 0; I < 20; ++I)
      A.Link_.call("b", MessageKind::ConfigFetch, std::to_string(I), 10s,
                   [&](std::error_code Error, const Envelope &) { Ended += Error ? 1 : 0; });
    A.Link_.stop();
    cr_assert(A.Link_.send("b", MessageKind::Notice, 0, "x") == core::ErrorKind::Stopping);
  }
  cr_assert_eq(Ended.load(), 20);
}

// Guards against callbacks of nng that run after their connection was destroyed.
Test(Link, connectionsCanBeReplacedUnderLoad) {
  Peer A("a");
  Peer B("b");
  join(A, B);
  std::atomic<int> Ended{0};
  for (int I = 0; I < 300; ++I) {
    for (int J = 0; J < 5; ++J)
      A.Link_.call("b", MessageKind::ConfigFetch, std::to_string(I), 1s,
                   [&](std::error_code, const Envelope &) { ++Ended; });
    if (I % 3 == 0)
      A.Link_.reconnect("b");
    if (I % 7 == 0)
      B.Link_.reconnect("a");
    std::this_thread::sleep_for(2ms);
  }
  cr_assert(eventually([&] { return Ended == 1500; }, 5s), "%d of 1500", Ended.load());
}
