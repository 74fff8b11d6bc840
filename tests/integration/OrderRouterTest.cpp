// Orders that a leader sends through another daemon, and the results that come back.
#include "masticdrift/daemon/OrderRouter.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/http/Server.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using fleet::OrderOutcome;

namespace {

constexpr std::chrono::seconds Deadline(5);

/// The relay of a failure domain: acknowledges batches and keeps their orders.
class Relay {
public:
  explicit Relay(asio::io_context &Loop)
      : Server_(makeOptions(Loop), [this](const http::Request &From, const http::Responder &To) {
          auto Batch = core::unpack<protocol::OrdersRequest>(From.Body_);
          PayloadCount_ += Batch ? Batch->Payloads_.size() : 0;
          if (Batch)
            Orders_.insert(Orders_.end(), Batch->Orders_.begin(), Batch->Orders_.end());
          if (Stalled_)
            Unanswered_.push_back(To);
          else
            To({200, {}, "text/plain", {}, false});
        }) {}

  /// Stops to acknowledge batches, as behind a link that is full.
  void stall() { Stalled_ = true; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Server_.port()); }
  const std::vector<protocol::RelayedOrder> &orders() const { return Orders_; }
  /// \returns the number of payloads in all batches.
  std::size_t payloads() const { return PayloadCount_; }

private:
  static http::ServerOptions makeOptions(asio::io_context &Loop) {
    http::ServerOptions Options;
    Options.Loop_ = &Loop;
    return Options;
  }

  std::vector<protocol::RelayedOrder> Orders_;
  std::size_t PayloadCount_ = 0;
  bool Stalled_ = false;
  std::vector<http::Responder> Unanswered_;
  http::Server Server_;
};

/// A process that leads one term and sends all orders through the relay.
class Leader {
public:
  Leader(asio::io_context &Loop, const Relay &Through, std::uint64_t Term)
      : Loop_(Loop), Client_(Loop, std::chrono::seconds(10), 10),
        Store_(Client_, "127.0.0.1:1"), Context_{Loop, Client_, Store_, Settings_, "127.0.0.1:2",
                                                 {},   {},      {},     {},        false},
        Router_(Context_), Term_(Term) {
    for (std::size_t I = 0; I <= daemon::MaxDirectExecutors; ++I)
      Context_.ExecutorEntries_["e" + std::to_string(I)] = {};
    registerRelay(Through);
  }
  /// A leader without a relay, at the beginning of its term.
  Leader(asio::io_context &Loop, std::uint64_t Term)
      : Loop_(Loop), Client_(Loop, std::chrono::seconds(10), 10),
        Store_(Client_, "127.0.0.1:1"), Context_{Loop, Client_, Store_, Settings_, "127.0.0.1:2",
                                                 {},   {},      {},     {},        false},
        Router_(Context_), Term_(Term) {
    for (std::size_t I = 0; I <= daemon::MaxDirectExecutors; ++I)
      Context_.ExecutorEntries_["e" + std::to_string(I)] = {};
    Router_.beginTerm(core::Clock::now());
  }

  void registerRelay(const Relay &Through) {
    // Its machine can serve the whole fleet.
    Router_.registerRelay({"relay", Through.address(), "a", 2.0, false, 1000}, core::Clock::now());
  }
  /// Requests the reports of \p Count executors at one address.
  void holdAll(std::size_t Count, const std::string &Address) {
    for (std::size_t I = 0; I < Count; ++I) {
      fleet::ExecutorInfo Executor;
      Executor.Id_ = "e" + std::to_string(I);
      Executor.Domain_ = "a";
      Executor.Address_ = Address;
      Router_.hold(Executor, Term_, 0, 1000, core::Millis(0),
                   [this](const platform::LeaseRenewalResult &Answer) {
                     Outcomes_.push_back(Answer.Outcome_);
                   });
    }
  }
  /// Runs the loop and flushes as a leader does, for \p Time.
  void runFor(std::chrono::milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End) {
      Router_.flush(core::Clock::now());
      Loop_.restart();
      Loop_.run_for(std::chrono::milliseconds(10));
    }
  }

  /// Sends the start of a task, unless \p KeepsBatch is set.
  void start(const std::string &Job, bool KeepsBatch = false) {
    fleet::ExecutorInfo Executor;
    Executor.Id_ = "e1";
    Executor.Domain_ = "a";
    Router_.start(
        Executor, {{Job, 0, 0, 0}, 1, {}, 1000, Term_, {}, {}},
        [this](const platform::OrderResponse &Answer) { Outcomes_.push_back(Answer.Outcome_); });
    if (!KeepsBatch)
      Router_.flush(core::Clock::now());
  }
  void flush() { Router_.flush(core::Clock::now()); }
  /// Requests the report of the executor.
  void hold() {
    fleet::ExecutorInfo Executor;
    Executor.Id_ = "e1";
    Executor.Domain_ = "a";
    Router_.hold(Executor, Term_, 0, 1000, core::Millis(0),
                 [this](const platform::LeaseRenewalResult &Answer) {
                   Outcomes_.push_back(Answer.Outcome_);
                 });
    Router_.flush(core::Clock::now());
  }
  /// Runs the loop until \p Count orders have an outcome.
  void awaitOutcomes(std::size_t Count) {
    const auto End = std::chrono::steady_clock::now() + Deadline;
    while (Outcomes_.size() < Count && std::chrono::steady_clock::now() < End) {
      Loop_.restart();
      Loop_.run_one_for(std::chrono::milliseconds(20));
      Router_.flush(core::Clock::now());
    }
    cr_assert_eq(Outcomes_.size(), Count);
  }
  void beginTerm(std::uint64_t Term) {
    Term_ = Term;
    Router_.beginTerm(core::Clock::now());
  }

  void onResult(std::uint64_t OrderId, OrderOutcome Outcome) {
    protocol::ResultsRequest Results;
    Results.Results_.push_back({OrderId, Outcome, 0, {}});
    Router_.onResults(Results);
  }

  const std::vector<OrderOutcome> &outcomes() const { return Outcomes_; }
  daemon::OrderRouter::Delays takeDelays() { return Router_.takeDelays(); }

private:
  asio::io_context &Loop_;
  http::LoopClient Client_;
  platform::Store Store_;
  platform::MachineSettings Settings_;
  daemon::FleetContext Context_;
  daemon::OrderRouter Router_;
  std::uint64_t Term_;
  std::vector<OrderOutcome> Outcomes_;
};

/// The executors of a fleet, at one address: keep their orders without an answer.
class UnansweringExecutors {
public:
  explicit UnansweringExecutors(asio::io_context &Loop)
      : Server_(makeOptions(Loop), [this](const http::Request &, const http::Responder &To) {
          Unanswered_.push_back(To);
        }) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(Server_.port()); }
  /// \returns the number of orders received.
  std::size_t orders() const { return Unanswered_.size(); }

private:
  static http::ServerOptions makeOptions(asio::io_context &Loop) {
    http::ServerOptions Options;
    Options.Loop_ = &Loop;
    return Options;
  }

  std::vector<http::Responder> Unanswered_;
  http::Server Server_;
};

/// Runs the loop until the relay has received \p Count orders.
void awaitOrders(asio::io_context &Loop, const Relay &Receiver, std::size_t Count) {
  const auto End = std::chrono::steady_clock::now() + Deadline;
  while (Receiver.orders().size() < Count && std::chrono::steady_clock::now() < End)
    Loop.run_one_until(End);
  cr_assert_eq(Receiver.orders().size(), Count);
}

} // namespace

// Guards against two runs at the same time: the result of an order of an earlier process at the
// leader's address settles an order of the present one, which is still on its way.
Test(OrderRouter, aResultOfAnEarlierProcessSettlesNoOrder) {
  asio::io_context Loop;
  Relay Through(Loop);
  Leader Earlier(Loop, Through, 5);
  Earlier.start("first");
  awaitOrders(Loop, Through, 1);
  Leader Present(Loop, Through, 9);
  Present.start("second");
  awaitOrders(Loop, Through, 2);

  Present.onResult(Through.orders()[0].OrderId_, OrderOutcome::TicketInvalid);
  cr_expect(Present.outcomes().empty());

  Present.onResult(Through.orders()[1].OrderId_, OrderOutcome::Done);
  cr_assert_eq(Present.outcomes().size(), 1);
  cr_expect(Present.outcomes().front() == OrderOutcome::Done);
}

// Guards against a repeated result that settles another order.
Test(OrderRouter, aResultSettlesItsOrderOnce) {
  asio::io_context Loop;
  Relay Through(Loop);
  Leader Present(Loop, Through, 5);
  Present.start("first");
  awaitOrders(Loop, Through, 1);
  const std::uint64_t OrderId = Through.orders()[0].OrderId_;
  Present.onResult(OrderId, OrderOutcome::Done);
  Present.onResult(OrderId, OrderOutcome::NotSent);
  cr_expect_eq(Present.outcomes().size(), 1);
}

// Guards against an order that is sent when its leader leads again, long after the task has been
// started by another one.
Test(OrderRouter, anOrderOfAnEarlierTermIsNotSent) {
  asio::io_context Loop;
  Relay Through(Loop);
  Leader Present(Loop, Through, 5);
  Present.start("first", true);
  Present.beginTerm(9);
  Present.start("second");
  awaitOrders(Loop, Through, 1);
  cr_expect_str_eq(Through.orders()[0].Order_.Task_.Job_.c_str(), "second");
}

// --- Relays that fail ---

// A relay acknowledges a batch and never returns results. Guards against an order without an
// outcome, and against an executor that is taken for silent because of its relay.
Test(OrderRouter, anOrderWithoutAResultHasAnUnknownOutcome) {
  asio::io_context Loop;
  Relay Through(Loop);
  Leader Present(Loop, Through, 5);
  Present.start("first");
  awaitOrders(Loop, Through, 1);
  Present.hold();
  Present.awaitOutcomes(2);
  for (const OrderOutcome Outcome : Present.outcomes())
    cr_expect(Outcome == OrderOutcome::ResultLost);
  Present.onResult(Through.orders()[0].OrderId_, OrderOutcome::Done);
  cr_expect_eq(Present.outcomes().size(), 2, "a late result settles nothing");
}

// Batches wait in a full link. Guards against orders that leave the leader's queue after their
// deadline, and against a start that counts as unknown although it was never sent.
Test(OrderRouter, aStartThatWasNotSentIsReportedAsSuch) {
  asio::io_context Loop;
  Relay Through(Loop);
  Leader Present(Loop, Through, 5);
  Through.stall();
  for (const char *Job : {"first", "second"}) {
    Present.start(Job, true);
    const auto End = std::chrono::steady_clock::now() + Deadline;
    const std::size_t Before = Through.orders().size();
    while (Through.orders().size() == Before && std::chrono::steady_clock::now() < End) {
      Present.flush();
      Loop.run_one_for(std::chrono::milliseconds(20));
    }
  }
  cr_assert_eq(Through.orders().size(), 2);
  Present.start("third");
  Present.hold();
  Present.awaitOutcomes(4);
  cr_expect_eq(std::ranges::count(Present.outcomes(), OrderOutcome::NotSent), 1);
  cr_expect_eq(std::ranges::count(Present.outcomes(), OrderOutcome::ResultLost), 3);
  cr_expect_eq(Through.orders().size(), 2);
}

// Guards against a batch whose starts come back without a payload and are then lost: the relay has
// restarted, and the leader takes the payload for known.
Test(OrderRouter, aPayloadIsSentAgainAfterARelayHasReturnedAStart) {
  asio::io_context Loop;
  Relay Through(Loop);
  Leader Present(Loop, Through, 5);
  Present.start("first");
  awaitOrders(Loop, Through, 1);
  cr_expect_eq(Through.payloads(), 1);
  Present.onResult(Through.orders()[0].OrderId_, OrderOutcome::NotSent);
  Present.start("first", true);
  const auto End = std::chrono::steady_clock::now() + Deadline;
  while (Through.orders().size() < 2 && std::chrono::steady_clock::now() < End) {
    Present.flush();
    Loop.run_one_for(std::chrono::milliseconds(20));
  }
  cr_expect_eq(Through.payloads(), 2);
}

// --- The first round of a term, before any relay has reported ---

constexpr std::size_t FleetSize = 300;

// Guards against a leader that opens a connection to each of its many executors at the beginning of
// its term, and takes most of them for silent because it cannot serve so many.
Test(OrderRouter, theFirstRoundWaitsForTheRelays) {
  asio::io_context Loop;
  Relay Through(Loop);
  UnansweringExecutors Fleet(Loop);
  Leader Present(Loop, 5);
  Present.holdAll(FleetSize, Fleet.address());
  Present.runFor(std::chrono::milliseconds(100));
  Present.registerRelay(Through);
  Present.runFor(std::chrono::milliseconds(400));
  cr_expect_eq(Fleet.orders(), 0);
  cr_expect_eq(Through.orders().size(), FleetSize);
  cr_expect(Present.outcomes().empty());
}

// Guards against orders that wait for relays which never report.
Test(OrderRouter, withoutRelaysOrdersGoOutDirectly) {
  asio::io_context Loop;
  UnansweringExecutors Fleet(Loop);
  Leader Present(Loop, 5);
  Present.holdAll(10, Fleet.address());
  Present.runFor(std::chrono::milliseconds(1000));
  cr_expect_eq(Fleet.orders(), 10);
}

// Guards against a leader without relays whose calls delay each other until all of them time out,
// and against an order that never gets an outcome because it waits for its turn.
Test(OrderRouter, withoutRelaysFewOrdersGoOutAtATime) {
  asio::io_context Loop;
  UnansweringExecutors Fleet(Loop);
  Leader Present(Loop, 5);
  Present.holdAll(FleetSize, Fleet.address());
  Present.runFor(std::chrono::milliseconds(800));
  cr_expect_leq(Fleet.orders(), daemon::MaxDirectExecutors);
  cr_expect_gt(Fleet.orders(), 0);
  Present.awaitOutcomes(FleetSize);
}

// --- The leader is late ---

// Guards against results that count as lost, and relays that count as failed, because the leader
// did not run while the results arrived.
Test(OrderRouter, resultsThatArriveWhileTheLeaderIsLateAreReadFirst) {
  constexpr std::chrono::milliseconds Blockade(1500);
  asio::io_context Loop;
  Relay Through(Loop);
  Leader Present(Loop, Through, 5);
  Present.hold();
  awaitOrders(Loop, Through, 1);
  Present.runFor(std::chrono::milliseconds(100));
  std::this_thread::sleep_for(Blockade);
  Present.flush();
  cr_expect(Present.outcomes().empty());
  Present.onResult(Through.orders()[0].OrderId_, OrderOutcome::Done);
  cr_assert_eq(Present.outcomes().size(), 1);
  cr_expect(Present.outcomes().front() == OrderOutcome::Done);
}

// Guards against an order without an outcome at a leader that is late all the time.
Test(OrderRouter, anOrderOfALateLeaderGetsAnOutcome) {
  constexpr std::chrono::milliseconds Blockade(600);
  constexpr int Rounds = 4;
  asio::io_context Loop;
  Relay Through(Loop);
  Leader Present(Loop, Through, 5);
  Present.hold();
  awaitOrders(Loop, Through, 1);
  for (int I = 0; I < Rounds; ++I) {
    std::this_thread::sleep_for(Blockade);
    Present.flush();
  }
  cr_assert_eq(Present.outcomes().size(), 1);
  cr_expect(Present.outcomes().front() == OrderOutcome::ResultLost);
}

// --- What tells of delays ---

// Guards against a leader whose orders wait while its state tells of no delay.
Test(OrderRouter, theDelaysTellOfWaitingOrdersAndLostResults) {
  asio::io_context Loop;
  Relay Through(Loop);
  Leader Present(Loop, Through, 5);
  Through.stall();
  Present.start("first");
  Present.start("second", true);
  Loop.run_for(std::chrono::milliseconds(100));
  Present.flush();
  cr_expect_geq(core::toMillis(Present.takeDelays().LongestWait_), 100);
  Present.awaitOutcomes(2);
  cr_expect_eq(Present.takeDelays().LostResults_, 2);
  cr_expect_eq(Present.takeDelays().LostResults_, 0, "counted once");
}
