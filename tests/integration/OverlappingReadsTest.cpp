// Reads of a topic that overlap: the running read and one that catches up.
#include "masticdrift/daemon/TopicTail.h"

#include "masticdrift/http/Server.h"

#include <chrono>
#include <vector>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

/// Serves an empty topic that ends at offset 4 and leaves its reads to the test.
struct HeldReads {
  asio::io_context Loop_;
  std::vector<http::Responder> Reads_;
  http::Server Server_;
  http::LoopClient Client_{Loop_, std::chrono::seconds(10), 10};
  platform::Store Store_{Client_, "127.0.0.1:" + std::to_string(Server_.port())};

  HeldReads()
      : Server_(options(Loop_), [this](const http::Request &Call, const http::Responder &Respond) {
          if (Call.Path_ == "/log-newest")
            Respond({200, R"({"items":[],"has_more":false,"end":4})", "application/json"});
          else
            Reads_.push_back(Respond);
        }) {}

  static http::ServerOptions options(asio::io_context &Loop) {
    http::ServerOptions Options;
    Options.Loop_ = &Loop;
    return Options;
  }

  /// Runs the loop until \p Done, at most 5 s.
  template <typename Condition> void runUntil(Condition Done) {
    const core::TimePoint Deadline = core::Clock::now() + Millis(5000);
    while (!Done() && core::Clock::now() < Deadline)
      Loop_.run_one_for(Millis(100));
    cr_assert(Done());
  }

  /// Answers a read with records from offset 4 on.
  void answer(std::size_t Read, const std::vector<platform::KeyedRecord> &Records) {
    std::string Body(15, '\0');
    Body[7] = static_cast<char>(4 + Records.size());
    Body += '\0';
    Reads_.at(Read)({200, Body + platform::encodeRecords(Records), "application/octet-stream"});
  }
};

} // namespace

// Guards against an older record that replaces a newer one, such as an executor that counts as
// ready again, when the running read is answered after another one has caught up.
Test(OverlappingReads, aLateAnswerDeliversNothingTwice) {
  HeldReads LogService;
  daemon::TailOptions Options;
  Options.Topic_ = "keyed.servers";
  std::vector<std::string> Delivered;
  daemon::TopicTail Tail(
      LogService.Loop_, LogService.Store_, Options,
      {[&](const platform::KeyedRecord &Record) { Delivered.push_back(Record.Value_); },
       [](const auto &) {}});
  Tail.start();
  LogService.runUntil([&] { return LogService.Reads_.size() == 1; });
  bool CaughtUp = false;
  Tail.catchUp(Millis(5000), [&](bool Complete) { CaughtUp = Complete; });
  LogService.runUntil([&] { return LogService.Reads_.size() == 2; });
  LogService.answer(1, {{4, "i-1", "ready"}, {5, "i-1", "draining"}});
  LogService.runUntil([&] { return CaughtUp; });
  LogService.answer(0, {{4, "i-1", "ready"}});
  LogService.runUntil([&] { return LogService.Reads_.size() == 3; });
  cr_assert_eq(Delivered.size(), 2);
  cr_expect_str_eq(Delivered.back().c_str(), "draining");
  cr_expect_eq(Tail.nextOffset(), 6);
}
