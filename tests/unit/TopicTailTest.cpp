// Tests of TopicTail against a store whose answers arrive in a given order.
#include "masticdrift/daemon/TopicTail.h"
#include "masticdrift/http/LoopClient.h"
#include "masticdrift/http/Server.h"

#include <optional>

#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Text;
  for (int I = Bytes - 1; I >= 0; --I)
    Text += static_cast<char>(Value >> (8 * I));
  return Text;
}

/// \returns the answer to a read: the end, the first offset and the values of records of key "x".
http::Response makeReadAnswer(std::uint64_t End, const std::vector<std::string> &Values) {
  http::Response Answer;
  Answer.Body_ = bigEndian(End, 8) + bigEndian(0, 8);
  for (const std::string &Value : Values)
    Answer.Body_ += bigEndian(2 + Value.size(), 4) + '\1' + 'x' + Value;
  return Answer;
}

} // namespace

// The answer to a running read arrives after that of a later one, which has delivered newer
// records. Guards against delivering the older records again: an executor that has returned to the
// list, for example, would count as removed.
Test(TopicTail, aLateAnswerDeliversNoOldRecords) {
  asio::io_context Loop;
  std::optional<http::Responder> RunningRead;
  http::ServerOptions Options;
  Options.Loop_ = &Loop;
  int Reads = 0;
  const http::Server Server(Options, [&](const http::Request &From, const http::Responder &To) {
    if (From.Path_.starts_with("/log-newest"))
      To({200, R"({"items":[],"has_more":false,"end":0})", "application/json", {}, false});
    else if (++Reads == 1)
      RunningRead = To;
    else if (Reads == 2)
      To(makeReadAnswer(2, {"old", "new"}));
  });
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  platform::Store Store(Client, "127.0.0.1:" + std::to_string(Server.port()));
  std::vector<std::string> Delivered;
  daemon::TopicTail Tail(
      Loop, Store, {"keyed.servers"},
      {[&](const platform::KeyedRecord &Record) { Delivered.push_back(Record.Value_); },
       [](const auto &) {}});
  Tail.start();
  while (!RunningRead)
    Loop.run_one();
  const core::TimePoint Before = core::Clock::now();
  std::optional<bool> CaughtUp;
  Tail.catchUp(core::Millis(1000), [&](bool Complete) { CaughtUp = Complete; });
  while (!CaughtUp)
    Loop.run_one();
  cr_assert(*CaughtUp);
  cr_expect(Tail.readUpTo() >= Before);
  const core::TimePoint ReadUpTo = Tail.readUpTo();
  (*RunningRead)(makeReadAnswer(1, {"old"}));
  while (Reads < 3)
    Loop.run_one();
  cr_expect(Tail.readUpTo() == ReadUpTo, "the late answer is the older one");
  cr_assert_eq(Delivered.size(), 2, "%zu records", Delivered.size());
  cr_expect(Delivered.back() == "new");
}
