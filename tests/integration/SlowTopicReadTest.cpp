// Reading a topic over a full link, tested against a log service whose responses arrive slowly.
#include "masticdrift/daemon/TopicTail.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio.hpp>
#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

constexpr Millis LongPollTime{100};
/// TopicTail gives a silent service this time: the long poll and 1.3 s for the response.
constexpr Millis SilentReadTimeout = LongPollTime + Millis(1300);
/// Longest pause of TopicTail between two attempts.
constexpr Millis MaxRetryDelay{800};
/// For the scheduling of a busy machine.
constexpr Millis Tolerance{500};
/// Longer than an attempt without extra time and than one with the first step of it.
constexpr Millis SlowResponseTime{3000};
constexpr Millis PieceInterval{50};
constexpr std::size_t PieceCount = SlowResponseTime / PieceInterval;
constexpr Millis Deadline{20000};

/// How a response is sent.
enum class Pace { AtOnce, Slow, Never };

/// Log service on one topic with the record "key1". Responses are sent at the given pace.
class PacedLogService {
public:
  explicit PacedLogService(asio::io_context &Loop) : Loop_(Loop) { accept(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  }

  Pace LoadPace_ = Pace::AtOnce;
  Pace ReadPace_ = Pace::AtOnce;
  std::vector<core::TimePoint> ReadTimes_; ///< when each read arrived

private:
  struct Connection {
    explicit Connection(asio::io_context &Loop) : Socket_(Loop), Timer_(Loop) {}
    asio::ip::tcp::socket Socket_;
    asio::steady_timer Timer_;
    std::string Received_;
    std::string Response_;
    std::size_t Sent_ = 0;
  };

  void accept() {
    auto Next = std::make_shared<Connection>(Loop_);
    Acceptor_.async_accept(Next->Socket_, [this, Next](std::error_code Error) {
      if (Error)
        return;
      receive(Next);
      accept();
    });
  }

  void receive(const std::shared_ptr<Connection> &From) {
    asio::async_read_until(From->Socket_, asio::dynamic_buffer(From->Received_), "\r\n\r\n",
                           [this, From](std::error_code Error, std::size_t Size) {
                             if (Error)
                               return;
                             const std::string Request = From->Received_.substr(0, Size);
                             From->Received_.erase(0, Size);
                             answer(From, Request.starts_with("GET /log-newest"));
                           });
  }

  void answer(const std::shared_ptr<Connection> &To, bool IsLoad) {
    // A read returns the end 4, the first offset 0 and the record 3 with the key "key1".
    using namespace std::string_literals;
    const std::string Body =
        IsLoad ? R"({"items":[{"key":"key1","value":"eA==","offset":1}],"has_more":false,"end":3})"s
               : "\0\0\0\0\0\0\0\4\0\0\0\0\0\0\0\0\0\0\0\6\4key1x"s;
    To->Response_ =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
    To->Sent_ = 0;
    if (!IsLoad)
      ReadTimes_.push_back(core::Clock::now());
    switch (IsLoad ? LoadPace_ : ReadPace_) {
    case Pace::AtOnce:
      send(To, 1, 1);
      break;
    case Pace::Slow:
      send(To, 1, PieceCount);
      break;
    case Pace::Never:
      Silent_.push_back(To); // keeps the connection open
      break;
    }
  }

  /// Sends one of \p Count pieces and the rest after a pause.
  void send(const std::shared_ptr<Connection> &To, std::size_t Piece, std::size_t Count) {
    const std::size_t End = To->Response_.size() * Piece / Count;
    const std::size_t Begin = std::exchange(To->Sent_, End);
    asio::async_write(To->Socket_, asio::buffer(To->Response_.data() + Begin, End - Begin),
                      [this, To, Piece, Count](std::error_code Error, std::size_t) {
                        if (Error)
                          return;
                        if (Piece == Count) {
                          receive(To);
                          return;
                        }
                        To->Timer_.expires_after(PieceInterval);
                        To->Timer_.async_wait([this, To, Piece, Count](std::error_code Cancelled) {
                          if (!Cancelled)
                            send(To, Piece + 1, Count);
                        });
                      });
  }

  asio::io_context &Loop_;
  std::vector<std::shared_ptr<Connection>> Silent_;
  asio::ip::tcp::acceptor Acceptor_{Loop_, {asio::ip::address_v4::loopback(), 0}};
};

/// A reader of the paced service.
struct Reader {
  asio::io_context Loop_;
  PacedLogService Service_{Loop_};
  http::LoopClient Client_{Loop_, std::chrono::seconds(10), 10};
  platform::Store Store_{Client_, Service_.address()};
  std::size_t RecordCount_ = 0;
  daemon::TopicTail Tail_{
      Loop_, Store_, options(), {[this](const auto &) { ++RecordCount_; }, [](const auto &) {}}};

  static daemon::TailOptions options() {
    daemon::TailOptions Options;
    Options.Topic_ = "keyed.op";
    Options.LongPollTime_ = LongPollTime;
    return Options;
  }

  /// \returns false if the condition does not hold by the deadline.
  template <typename Condition> bool runUntil(Condition Holds) {
    const core::TimePoint End = core::Clock::now() + Deadline;
    while (!Holds() && core::Clock::now() < End)
      Loop_.run_one_until(End);
    return Holds();
  }

  /// Waits for further reads and checks that each comes when the one before it was given up after
  /// the time that a silent service is given.
  void expectReadsAtIntervals(std::size_t Count) {
    const std::size_t First = Service_.ReadTimes_.size();
    cr_assert(runUntil([&] { return Service_.ReadTimes_.size() > First + Count; }));
    for (std::size_t I = First + 1; I <= First + Count; ++I) {
      const auto Interval =
          std::chrono::duration_cast<Millis>(Service_.ReadTimes_[I] - Service_.ReadTimes_[I - 1]);
      cr_expect_leq(Interval.count(), (SilentReadTimeout + MaxRetryDelay + Tolerance).count(),
                    "read %zu came after %lld ms", I, static_cast<long long>(Interval.count()));
      cr_expect_geq(Interval.count(), SilentReadTimeout.count());
    }
  }

  http::ClientResult get(Millis Timeout) {
    http::ClientRequest Request;
    Request.Url_ = "http://" + Service_.address() + "/log-read";
    Request.Timeout_ = Timeout;
    std::optional<http::ClientResult> Result;
    Client_.send(std::move(Request), [&](http::ClientResult Outcome) { Result = Outcome; });
    cr_assert(runUntil([&] { return Result.has_value(); }));
    return *Result;
  }
};

} // namespace

// Guards against a read that is given up while its bytes arrive and begins anew each time: over a
// full link it never ends, and the repeated bytes keep the link full.
Test(SlowTopicRead, aReadWhoseBytesArriveSlowlyIsDelivered) {
  Reader Slow;
  Slow.Service_.ReadPace_ = Pace::Slow;
  Slow.Tail_.start();
  cr_assert(Slow.runUntil([&] { return Slow.Tail_.caughtUp(); }), "not delivered, %zu reads",
            Slow.Service_.ReadTimes_.size());
  cr_expect_eq(Slow.RecordCount_, 2);
}

// Guards against extra time that stays after the link is free again.
Test(SlowTopicRead, aCompleteAnswerEndsTheExtraTime) {
  Reader Slow;
  Slow.Service_.ReadPace_ = Pace::Slow;
  Slow.Tail_.start();
  cr_assert(Slow.runUntil([&] { return Slow.Tail_.caughtUp(); }));
  // The next read is slow again and is given up like the first one.
  Slow.expectReadsAtIntervals(1);
}

// Guards against the same for a page of the newest records.
Test(SlowTopicRead, aPageWhoseBytesArriveSlowlyIsDelivered) {
  Reader Slow;
  Slow.Service_.LoadPace_ = Pace::Slow;
  Slow.Tail_.start();
  cr_assert(Slow.runUntil([&] { return Slow.Tail_.loaded(); }), "not loaded");
}

// Guards against a longer wait on a silent connection: the return of the store is noticed late.
Test(SlowTopicRead, aSilentServiceIsAskedAtTheSameIntervals) {
  Reader Silent;
  Silent.Service_.ReadPace_ = Pace::Never;
  Silent.Tail_.start();
  Silent.expectReadsAtIntervals(4);
}

// Guards against a store that is cut off while the link is full and whose return is noticed late,
// because the time that was added for slow responses is spent on a silent connection.
Test(SlowTopicRead, aServiceThatFallsSilentAfterSlowResponsesIsAskedAtTheSameIntervals) {
  Reader Slow;
  Slow.Service_.ReadPace_ = Pace::Slow;
  Slow.Tail_.start();
  cr_assert(Slow.runUntil([&] { return Slow.Service_.ReadTimes_.size() == 2; }));
  Slow.Service_.ReadPace_ = Pace::Never;
  // The second response is slow and is given up with some extra time; silent ones follow.
  cr_assert(Slow.runUntil([&] { return Slow.Service_.ReadTimes_.size() == 3; }));
  Slow.expectReadsAtIntervals(3);
}

// Guards against a count of received bytes that takes a silent connection for a slow one: a handle
// that is used again must not keep the count of its last response.
Test(SlowTopicRead, onlyBytesOfTheResponseAreCounted) {
  Reader Slow;
  cr_assert(Slow.get(Millis(1000)).Transfer_ == http::Transfer::Complete);
  Slow.Service_.ReadPace_ = Pace::Never;
  const http::ClientResult Silent = Slow.get(Millis(300));
  cr_expect(Silent.Transfer_ == http::Transfer::NoAnswer);
  cr_expect_eq(Silent.BytesIn_, 0);
  Slow.Service_.ReadPace_ = Pace::Slow;
  const http::ClientResult Partial = Slow.get(SlowResponseTime * 4 / 5);
  cr_expect(Partial.Transfer_ == http::Transfer::Truncated);
  cr_expect_gt(Partial.Answer_.Body_.size(), 0);
  cr_expect_gt(Partial.BytesIn_, Partial.Answer_.Body_.size());
}
