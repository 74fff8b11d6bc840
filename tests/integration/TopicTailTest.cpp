// Loading a topic, tested against a fake log service.
#include "masticdrift/daemon/TopicTail.h"

#include "masticdrift/http/Server.h"

#include <chrono>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

/// Serves the newest records as three pages of one record each and leaves reads unanswered.
struct FakeLogService {
  asio::io_context Loop_;
  std::vector<http::Responder> UnansweredReads_;
  std::size_t FailingReads_ = 0;       ///< reads that are refused before the others
  std::vector<std::string> ReadWaits_; ///< for how long each read may wait for records, in ms
  http::Server Server_;
  http::LoopClient Client_{Loop_, std::chrono::seconds(10), 10};
  platform::Store Store_{Client_, "127.0.0.1:" + std::to_string(Server_.port())};

  FakeLogService()
      : Server_(options(Loop_),
                [this](const http::Request &HttpRequest, const http::Responder &Respond) {
                  answer(HttpRequest, Respond);
                }) {}

  static http::ServerOptions options(asio::io_context &Loop) {
    http::ServerOptions Options;
    Options.Loop_ = &Loop;
    return Options;
  }

  void answer(const http::Request &HttpRequest, const http::Responder &Respond) {
    if (HttpRequest.Path_ != "/log-newest") {
      ReadWaits_.push_back(http::queryValue(HttpRequest.Query_, "wait_ms"));
      if (ReadWaits_.size() <= FailingReads_)
        Respond({503, "{}", "application/json", {}, false});
      else
        UnansweredReads_.push_back(Respond);
      return;
    }
    const char Page = HttpRequest.Query_.ends_with("key1")   ? '2'
                      : HttpRequest.Query_.ends_with("key2") ? '3'
                                                             : '1';
    const std::string More = Page == '3' ? "false" : "true";
    Respond({200,
             std::string(R"({"items":[{"key":"key)") + Page + R"(","value":"eA==","offset":)" +
                 Page + R"(}],"has_more":)" + More + R"(,"end":4})",
             "application/json",
             {},
             false});
  }

  /// \returns the time until all records are loaded.
  Millis measureLoad(daemon::TailOptions Options, bool Expedite) {
    bool Loaded = false;
    std::size_t Records = 0;
    daemon::TopicTail Tail(
        Loop_, Store_, std::move(Options),
        {[&](const auto &) { ++Records; }, [&](const auto &) { Loaded = true; }});
    const core::TimePoint StartedAt = core::Clock::now();
    Tail.start();
    if (Expedite)
      Tail.expedite();
    while (!Loaded)
      Loop_.run_one();
    cr_expect_eq(Records, 3);
    return std::chrono::duration_cast<Millis>(core::Clock::now() - StartedAt);
  }
};

daemon::TailOptions tailOptions(bool ThrottleLoad) {
  daemon::TailOptions Options;
  Options.Topic_ = "keyed.jobs";
  Options.ThrottleLoad_ = ThrottleLoad;
  return Options;
}

/// Two pauses of at least 200 ms between three pages.
constexpr Millis MinThrottledLoadTime{400};

} // namespace

// Guards against machines that start at the same time and fill the link between regions with
// records that only a later leader needs, while the new leader discovers the executors.
Test(TopicTail, aThrottledLoadPausesBetweenPages) {
  FakeLogService LogService;
  cr_expect_geq(LogService.measureLoad(tailOptions(true), false).count(),
                MinThrottledLoadTime.count());
}

// Guards against a takeover that waits for the pauses of a throttled load.
Test(TopicTail, anExpeditedLoadDoesNotPause) {
  FakeLogService LogService;
  cr_expect_lt(LogService.measureLoad(tailOptions(true), true).count(),
               MinThrottledLoadTime.count());
  cr_expect_lt(LogService.measureLoad(tailOptions(false), false).count(),
               MinThrottledLoadTime.count());
}

// Guards against a return of the store that is noticed seconds late: the first read after an outage
// waited for new records.
Test(TopicTail, theFirstReadAfterAFailureDoesNotWaitForRecords) {
  FakeLogService LogService;
  LogService.FailingReads_ = 1;
  daemon::TopicTail Tail(LogService.Loop_, LogService.Store_, tailOptions(false),
                         {[](const auto &) {}, [](const auto &) {}});
  Tail.start();
  while (LogService.ReadWaits_.size() < 2)
    LogService.Loop_.run_one();
  cr_expect_neq(LogService.ReadWaits_[0], "0");
  cr_expect_eq(LogService.ReadWaits_[1], "0");
}
