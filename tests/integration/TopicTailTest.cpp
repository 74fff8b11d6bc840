// How a topic is loaded and followed, against a log service of our own.
#include "masticdrift/daemon/TopicTail.h"

#include "masticdrift/http/Server.h"

#include <chrono>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

/// Serves three pages of newest records, one record each, and leaves reads unanswered.
struct Service {
  asio::io_context Loop_;
  std::vector<http::Responder> Held_;
  http::Server Server_;
  http::LoopClient Client_{Loop_, std::chrono::seconds(10), 10};
  platform::Store Store_{Client_, "127.0.0.1:" + std::to_string(Server_.port())};

  Service()
      : Server_(options(Loop_), [this](const http::Request &From, const http::Responder &To) {
          answer(From, To);
        }) {}

  static http::ServerOptions options(asio::io_context &Loop) {
    http::ServerOptions Out;
    Out.Loop_ = &Loop;
    return Out;
  }

  void answer(const http::Request &From, const http::Responder &To) {
    if (From.Path_ != "/log-newest") {
      Held_.push_back(To);
      return;
    }
    const char Page = From.Query_.ends_with("key1")   ? '2'
                      : From.Query_.ends_with("key2") ? '3'
                                                      : '1';
    const std::string More = Page == '3' ? "false" : "true";
    To({200,
        std::string(R"({"items":[{"key":"key)") + Page + R"(","value":"eA==","offset":)" + Page +
            R"(}],"has_more":)" + More + R"(,"end":4})",
        "application/json",
        {},
        false});
  }

  /// \returns how long it takes until all records are loaded.
  Millis load(daemon::TailOptions Options, bool Hurry) {
    bool Loaded = false;
    std::size_t Records = 0;
    daemon::TopicTail Tail(
        Loop_, Store_, std::move(Options),
        {[&](const auto &) { ++Records; }, [&](const auto &) { Loaded = true; }});
    const core::TimePoint Begin = core::Clock::now();
    Tail.start();
    if (Hurry)
      Tail.hurry();
    while (!Loaded)
      Loop_.run_one();
    cr_expect_eq(Records, 3);
    return std::chrono::duration_cast<Millis>(core::Clock::now() - Begin);
  }
};

daemon::TailOptions topic(bool Gentle) {
  daemon::TailOptions Out;
  Out.Topic_ = "keyed.jobs";
  Out.Gentle_ = Gentle;
  return Out;
}

/// Two rests between three pages.
constexpr Millis GentleTime{400};

} // namespace

// Pattern: all machines start at the same time. Guards against a link between regions that is full
// of records that only a later leader needs, while the new leader looks for the executors.
Test(TopicTail, aGentleLoadRestsBetweenPages) {
  Service At;
  cr_expect_geq(At.load(topic(true), false).count(), GentleTime.count());
}

// Guards against a takeover that waits for rests.
Test(TopicTail, aHurriedLoadDoesNotRest) {
  Service At;
  cr_expect_lt(At.load(topic(true), true).count(), GentleTime.count());
  cr_expect_lt(At.load(topic(false), false).count(), GentleTime.count());
}
