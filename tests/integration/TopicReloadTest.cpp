// Repeated loading of a topic, tested against a fake log service.
#include "masticdrift/daemon/TopicTail.h"
#include "masticdrift/http/Server.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

http::ServerOptions optionsFor(asio::io_context &Loop) {
  http::ServerOptions Options;
  Options.Loop_ = &Loop;
  return Options;
}

} // namespace

// Guards against a leader that never reads a record again that it has missed: the reader is past
// its offset, so only the newest records still show it.
Test(TopicTail, aReloadReadsTheNewestRecordsAgain) {
  asio::io_context Loop;
  int LoadCount = 0;
  http::Server Server(optionsFor(Loop), [&](const http::Request &HttpRequest,
                                            const http::Responder &Respond) {
    if (HttpRequest.Path_ == "/log-newest") {
      ++LoadCount;
      Respond({200,
               R"({"items":[{"key":"key1","value":"eA==","offset":1}],"has_more":false,"end":4})",
               "application/json",
               {},
               false});
      return;
    }
    // The end 4 and the first retained offset 0, without records.
    std::string Header(16, '\0');
    Header[7] = 4;
    Respond({200, Header, "application/octet-stream", {}, false});
  });
  http::LoopClient Client{Loop, std::chrono::seconds(10), 10};
  platform::Store Store{Client, "127.0.0.1:" + std::to_string(Server.port())};
  daemon::TailOptions Options;
  Options.Topic_ = "keyed.specs";
  Options.ReadPause_ = [] { return Millis(80); };
  int RecordCount = 0;
  daemon::TopicTail Tail(Loop, Store, Options,
                         {[&](const auto &) { ++RecordCount; }, [](const auto &) {}});
  Tail.start();
  Loop.run_for(Millis(300));
  cr_assert_eq(LoadCount, 1);
  Tail.reload();
  Loop.run_for(Millis(300));
  cr_expect_eq(LoadCount, 2);
  cr_expect_eq(RecordCount, 2);
  cr_expect(Tail.caughtUp());
}
