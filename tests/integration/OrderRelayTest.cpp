// Results that a relay returns to the leader.
#include "masticdrift/daemon/OrderRelay.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/http/Server.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <vector>

#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

constexpr std::chrono::seconds Deadline(5);
/// Shorter than the time after which the relay gives up a batch.
constexpr std::chrono::milliseconds ObservationTime(400);
/// Longer than the time after which the relay gives up a batch.
constexpr std::chrono::milliseconds GiveUpTime(2500);

/// A leader that receives results and acknowledges them only when it is told to.
class BusyLeader {
public:
  explicit BusyLeader(asio::io_context &Loop)
      : Server_(makeOptions(Loop), [this](const http::Request &From, const http::Responder &To) {
          const auto Results = core::unpack<protocol::ResultsRequest>(From.Body_);
          for (const protocol::RelayedResult &Result : Results->Results_)
            Orders_.insert(Result.OrderId_);
          ++Batches_;
          if (Acknowledges_)
            acknowledge(To);
          else
            Unanswered_.push_back(To);
        }) {}

  /// Acknowledges all batches from now on.
  void catchUp() {
    Acknowledges_ = true;
    for (const http::Responder &Waiting : std::exchange(Unanswered_, {}))
      acknowledge(Waiting);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(Server_.port()); }
  std::size_t unacknowledged() const { return Unanswered_.size(); }
  std::size_t batches() const { return Batches_; }
  /// \returns the orders whose results have arrived.
  const std::set<std::uint64_t> &orders() const { return Orders_; }

private:
  static http::ServerOptions makeOptions(asio::io_context &Loop) {
    http::ServerOptions Options;
    Options.Loop_ = &Loop;
    return Options;
  }
  static void acknowledge(const http::Responder &To) { To({200, {}, "text/plain", {}, false}); }

  bool Acknowledges_ = false;
  std::size_t Batches_ = 0;
  std::set<std::uint64_t> Orders_;
  std::vector<http::Responder> Unanswered_;
  http::Server Server_;
};

/// An executor on which one run has completed.
class Executor {
public:
  explicit Executor(asio::io_context &Loop)
      : Server_(makeOptions(Loop), [](const http::Request &, const http::Responder &To) {
          To({200,
              R"({"clock_ms":9,"running":[],"ended":[[1,"5c0e7a21d94b36f8.0.0.0",1,"done",""]]})",
              "application/json",
              {},
              false});
        }) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(Server_.port()); }

private:
  static http::ServerOptions makeOptions(asio::io_context &Loop) {
    http::ServerOptions Options;
    Options.Loop_ = &Loop;
    return Options;
  }

  http::Server Server_;
};

/// A daemon that relays orders.
class Relay {
public:
  explicit Relay(asio::io_context &Loop)
      : Client_(Loop, std::chrono::seconds(10), 100),
        Store_(Client_, "127.0.0.1:1"), Context_{Loop, Client_, Store_, Settings_, "127.0.0.1:2",
                                                 {},   {},      {},     {},        false},
        Relay_(Context_) {}

  /// Forwards one order in a batch of its own. Without an executor, nobody listens at its address.
  void forward(const BusyLeader &From, std::uint64_t OrderId,
               protocol::RelayKind Kind = protocol::RelayKind::Stop, const Executor *To = nullptr) {
    protocol::OrdersRequest Batch;
    Batch.ReplyTo_ = From.address();
    protocol::RelayedOrder Order;
    Order.OrderId_ = OrderId;
    Order.Kind_ = static_cast<std::uint8_t>(Kind);
    Order.ExecutorId_ = "e1";
    Order.ExecutorAddress_ = To == nullptr ? "127.0.0.1:1" : To->address();
    Order.TimeoutMs_ = 450;
    Batch.Orders_.push_back(Order);
    Relay_.forward(std::move(Batch));
  }

private:
  http::LoopClient Client_;
  platform::Store Store_;
  platform::MachineSettings Settings_;
  daemon::FleetContext Context_;
  daemon::OrderRelay Relay_;
};

/// Forwards \p Count orders, numbered from 1, about one in each interval between batches.
void forwardOneByOne(asio::io_context &Loop, Relay &Through, const BusyLeader &From,
                     std::uint64_t Count) {
  const auto Begin = std::chrono::steady_clock::now();
  for (std::uint64_t I = 1; I <= Count; ++I) {
    Through.forward(From, I);
    Loop.run_until(Begin + I * ObservationTime / Count);
    Loop.restart();
  }
}

} // namespace

// --- The leader is behind ---

// Guards against a leader that never catches up: a relay that goes on sending opens one more
// connection for each batch, and the leader accepts them instead of reading results.
Test(OrderRelay, fewBatchesAreOnTheirWayToALeaderThatIsBehind) {
  asio::io_context Loop;
  BusyLeader Leader(Loop);
  Relay Through(Loop);
  forwardOneByOne(Loop, Through, Leader, 20);
  cr_expect_geq(Leader.unacknowledged(), 1);
  cr_expect_leq(Leader.unacknowledged(), 2);
}

// --- The leader catches up ---

// Guards against results that are lost because their batch had to wait, and against a relay that
// stays quiet after its batches were acknowledged.
Test(OrderRelay, resultsThatHadToWaitArriveTogether) {
  constexpr std::uint64_t Orders = 20;
  asio::io_context Loop;
  BusyLeader Leader(Loop);
  Relay Through(Loop);
  forwardOneByOne(Loop, Through, Leader, Orders);
  Leader.catchUp();
  const auto End = std::chrono::steady_clock::now() + Deadline;
  while (Leader.orders().size() < Orders && std::chrono::steady_clock::now() < End)
    Loop.run_one_until(End);
  cr_expect_eq(Leader.orders().size(), Orders);
  cr_expect_lt(Leader.batches(), Orders / 2);
}

// --- The leader does not acknowledge a batch in time ---

// Guards against a completion that its executor has listed and the leader never learns of: its task
// starts again when the executor's lease is taken for lapsed.
Test(OrderRelay, endsAreSentAgain) {
  asio::io_context Loop;
  BusyLeader Leader(Loop);
  Executor Completed(Loop);
  Relay Through(Loop);
  Through.forward(Leader, 1, protocol::RelayKind::Hold, &Completed);
  Loop.run_for(GiveUpTime);
  cr_expect_eq(Leader.batches(), 2);
  Leader.catchUp();
  Loop.restart();
  Loop.run_for(GiveUpTime);
  cr_expect_eq(Leader.batches(), 2, "results that were acknowledged are not sent again");
}

// Guards against a leader that is behind and gets more to read, because results that it has counted
// as lost are sent again.
Test(OrderRelay, otherResultsAreNotSentAgain) {
  asio::io_context Loop;
  BusyLeader Leader(Loop);
  Relay Through(Loop);
  Through.forward(Leader, 1);
  Loop.run_for(GiveUpTime);
  cr_expect_eq(Leader.batches(), 1);
}
