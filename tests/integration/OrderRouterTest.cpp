// Orders that a leader sends through another daemon, and the results that come back.
#include "masticdrift/daemon/OrderRouter.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/http/Server.h"

#include <chrono>

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
          if (auto Batch = core::unpack<protocol::OrdersRequest>(From.Body_))
            Orders_.insert(Orders_.end(), Batch->Orders_.begin(), Batch->Orders_.end());
          To({200, {}, "text/plain", {}, false});
        }) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(Server_.port()); }
  const std::vector<protocol::RelayedOrder> &orders() const { return Orders_; }

private:
  static http::ServerOptions makeOptions(asio::io_context &Loop) {
    http::ServerOptions Options;
    Options.Loop_ = &Loop;
    return Options;
  }

  std::vector<protocol::RelayedOrder> Orders_;
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
    Router_.registerRelay({"relay", Through.address(), "a", 1.0, false}, core::Clock::now());
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
  void beginTerm(std::uint64_t Term) {
    Term_ = Term;
    Router_.beginTerm();
  }

  void onResult(std::uint64_t OrderId, OrderOutcome Outcome) {
    protocol::ResultsRequest Results;
    Results.Results_.push_back({OrderId, Outcome, 0, {}});
    Router_.onResults(Results);
  }

  const std::vector<OrderOutcome> &outcomes() const { return Outcomes_; }

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
