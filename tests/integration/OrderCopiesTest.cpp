// Orders on connections that are reset before the answer.
#include "masticdrift/daemon/OrderRouter.h"
#include "platform/Executors.h"
#include "support/ResettingServer.h"

#include <chrono>
#include <optional>

#include <criterion/criterion.h>

using namespace masticdrift;
using fleet::OrderOutcome;

namespace {

constexpr core::Millis Timeout(300);

using SendOrder = std::function<void(std::function<void(platform::OrderResponse)>)>;

OrderOutcome outcomeOf(asio::io_context &Loop, const SendOrder &Send) {
  std::optional<OrderOutcome> Outcome;
  Send([&](const platform::OrderResponse &Answer) { Outcome = Answer.Outcome_; });
  while (!Outcome)
    Loop.run_one();
  return *Outcome;
}

/// Lets the router send its batches and runs the loop for \p Time.
void runFor(asio::io_context &Loop, daemon::OrderRouter &Router, core::Millis Time) {
  const auto End = std::chrono::steady_clock::now() + Time;
  while (std::chrono::steady_clock::now() < End) {
    Router.flush(core::Clock::now());
    Loop.run_for(core::Millis(5));
    Loop.restart();
  }
}

/// A leader that sends all orders through the relay at \p RelayAddress.
struct Leader {
  Leader(asio::io_context &Loop, const std::string &RelayAddress)
      : Client_(Loop, std::chrono::seconds(10), 10),
        Store_(Client_, "127.0.0.1:1"), Context_{Loop, Client_, Store_, Settings_, "127.0.0.1:2",
                                                 {},   {},      {},     {},        false},
        Router_(Context_) {
    for (std::size_t I = 0; I <= daemon::MaxDirectExecutors; ++I)
      Context_.ExecutorEntries_["e" + std::to_string(I)] = {};
    Router_.registerRelay({"relay", RelayAddress, "a", 1.0, false}, core::Clock::now());
    Executor_.Id_ = "e1";
    Executor_.Domain_ = "a";
  }

  http::LoopClient Client_;
  platform::Store Store_;
  platform::MachineSettings Settings_;
  daemon::FleetContext Context_;
  daemon::OrderRouter Router_;
  fleet::ExecutorInfo Executor_;
};

} // namespace

// Guards against two runs at the same time: one copy of a start is refused, so the task starts on
// another executor, and the other copy is carried out.
Test(OrderCopies, aStartIsSentOnce) {
  asio::io_context Loop;
  tests::ResettingServer Executor(Loop);
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  const SendOrder Start = [&](const auto &OnDone) {
    platform::sendStart(Client, {Executor.address(), "e1"},
                        {{"job", 0, 0, 0}, 1, {}, 1000, 5, {}, {}}, Timeout, OnDone);
  };
  cr_assert(outcomeOf(Loop, Start) == OrderOutcome::Done);
  cr_expect(outcomeOf(Loop, Start) == OrderOutcome::NoAnswer);
  cr_expect_eq(Executor.requestCount(), 2);
}

// Guards against the same through a relay: each copy of a batch is carried out.
Test(OrderCopies, aBatchWithAStartIsSentOnce) {
  asio::io_context Loop;
  tests::ResettingServer Relay(Loop);
  Leader Sender(Loop, Relay.address());
  for (const int Batch : {1, 2}) {
    Sender.Router_.start(Sender.Executor_, {{"job", 0, 0, 0}, 1, {}, 1000, 5, {}, {}},
                         [](const platform::OrderResponse &) {});
    runFor(Loop, Sender.Router_, core::Millis(150));
    cr_expect_eq(Relay.requestCount(), Batch);
  }
}

// Guards against executors that count as silent whenever a connection is reset.
Test(OrderCopies, aBatchWithoutStartsIsRepeated) {
  asio::io_context Loop;
  tests::ResettingServer Relay(Loop);
  Leader Sender(Loop, Relay.address());
  for (int Batch = 0; Batch < 2; ++Batch) {
    Sender.Router_.hold(Sender.Executor_, 5, 0, 1000, core::Millis(0),
                        [](const platform::LeaseRenewalResult &) {});
    runFor(Loop, Sender.Router_, core::Millis(150));
  }
  cr_expect_eq(Relay.requestCount(), 3);
}
