/// \file
/// Sends the leader's orders to executors, directly or, when there are many executors, through
/// daemons in their failure domains (relays).
#ifndef MASTICDRIFT_DAEMON_ORDERROUTER_H
#define MASTICDRIFT_DAEMON_ORDERROUTER_H

#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/RelayTable.h"
#include "masticdrift/lead/Model.h"
#include "masticdrift/protocol/PayloadCache.h"
#include "platform/Executors.h"

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

namespace masticdrift::daemon {

/// Reports exactly one result for each order of the term, also when its relay is lost. Orders for
/// relays are collected and sent in batches by flush(). At the beginning of a term they wait for
/// the relays to report; without any, they are sent directly, a limited number at a time.
class OrderRouter {
public:
  using OrderCallback = std::function<void(const platform::OrderResponse &)>;
  using HoldCallback = std::function<void(const platform::LeaseRenewalResult &)>;

  /// What tells how far the orders are behind.
  struct Delays {
    core::Duration LongestWait_{0}; ///< of an order for its batch
    std::size_t LostResults_ = 0;   ///< orders whose results were overdue
  };

  explicit OrderRouter(FleetContext &Context) : Context_(Context) {}

  /// Adds a daemon that can relay orders, or renews it.
  void registerRelay(const protocol::Hello &Hello, core::TimePoint Now) {
    Relays_.registerRelay(Hello, Now);
  }

  /// Drops the orders of an earlier term: those that were not sent are never sent, and no results
  /// are reported for the others.
  void beginTerm(core::TimePoint Now);

  /// Starts one run of a task.
  void start(const fleet::ExecutorInfo &Executor, const fleet::StartOrder &Order,
             OrderCallback OnAnswer);
  /// Stops a run.
  ///
  /// \param Token the leader's fencing token.
  void stop(const fleet::ExecutorInfo &Executor, const lead::RunKey &Run, std::uint64_t Token,
            OrderCallback OnAnswer);
  /// Sets the speed of a run, in percent of its full speed.
  void pace(const fleet::ExecutorInfo &Executor, const lead::RunKey &Run, std::uint64_t Token,
            int Percent, OrderCallback OnAnswer);
  /// Renews the leases on an executor, acknowledges run ends and requests the executor's report.
  ///
  /// \param SeenUpTo highest number of the acknowledged run ends.
  /// \param UntilMs end of the lease on the executor's clock, 0 to leave it unchanged.
  /// \param Wait the executor answers after this time, or at once when a run has ended.
  /// \param OnLateAnswer is called when the result arrives after it was reported as lost.
  void hold(const fleet::ExecutorInfo &Executor, std::uint64_t Token, std::uint64_t SeenUpTo,
            std::int64_t UntilMs, core::Millis Wait, HoldCallback OnAnswer,
            HoldCallback OnLateAnswer = nullptr);

  /// Sends the collected orders, and reports relayed orders as unanswered when their results are
  /// overdue.
  void flush(core::TimePoint Now);

  /// \returns the limit of concurrent start orders, which grows with the machines that send them.
  int startLimit() const;

  /// \returns the time that orders wait for their batch on average, which rounds that follow each
  /// other sooner cannot save; 0 without relays.
  core::Millis minOrderWait() const;

  /// \returns the delays since the previous call.
  Delays takeDelays() { return std::exchange(Delays_, {}); }

  /// Handles results of orders that were sent through a relay.
  void onResults(const protocol::ResultsRequest &Request);

private:
  struct PendingOrder {
    std::string RelayAddress_; ///< empty while the order has no relay
    core::TimePoint RoutedAt_;
    core::TimePoint Deadline_;
    HoldCallback OnAnswer_;
    HoldCallback OnLateAnswer_; ///< empty for all but holds
    bool IsHold_ = false;
    bool Sent_ = false; ///< in a batch that was sent
  };
  /// The orders that wait for the next batch to a relay.
  struct Batch {
    std::vector<protocol::RelayedOrder> Orders_;
    core::TimePoint SentAt_{};
    int InFlight_ = 0; ///< batches without an acknowledgement
    protocol::SentPayloads Payloads_;
    core::TimePoint LastResultAt_{}; ///< when results came back last
  };

  /// An order without a relay.
  struct UnroutedOrder {
    std::string Domain_; ///< of its executor
    protocol::RelayedOrder Order_;
  };

  /// A hold whose result was reported as lost.
  struct LostHold {
    core::TimePoint LostAt_;
    HoldCallback OnLateAnswer_;
  };

  void route(const fleet::ExecutorInfo &Executor, protocol::RelayedOrder Order,
             HoldCallback OnAnswer, HoldCallback OnLateAnswer = nullptr);
  /// Adds an order to the batch of a relay or, without a relay, sends it to its executor.
  ///
  /// \returns false when the order has to wait.
  bool passOn(UnroutedOrder &Unrouted, core::TimePoint Now);
  void passOnUnrouted(core::TimePoint Now);
  void sendDirectly(const protocol::RelayedOrder &Order);
  void send(const std::string &RelayAddress, Batch &Outgoing, core::TimePoint Now);
  void onBatchFailed(const std::string &RelayAddress, const http::ClientResult &Result);
  /// Notes how long the oldest order of a batch has waited.
  void recordWait(const Batch &Outgoing, core::TimePoint Now);
  void expireOverdue(core::TimePoint Now);
  void onLateResult(const protocol::RelayedResult &Result);
  /// \returns the shortest interval between batches from and to each relay.
  core::Millis batchInterval() const;
  core::TimePoint resultDeadline(const protocol::RelayedOrder &Order, core::TimePoint Now) const;
  bool usesRelays() const;
  /// \returns the number of executors that this machine can serve without relays.
  std::size_t directCapacity() const;

  FleetContext &Context_;
  RelayTable Relays_;
  std::uint64_t NextOrder_ = 1;
  std::unordered_map<std::uint64_t, PendingOrder> PendingOrders_;
  std::unordered_map<std::uint64_t, LostHold> LostHolds_;
  std::deque<UnroutedOrder> Unrouted_;
  std::size_t DirectInFlight_ = 0; ///< orders without a relay that were sent to their executors
  core::TimePoint RelaysAwaitedUntil_{};
  std::uint64_t Generation_ = 0;                      ///< of Batches_; changes with each term
  std::map<std::string, Batch, std::less<>> Batches_; ///< by the relay's peer address
  core::TimePoint LastExpiryCheckAt_{};
  Delays Delays_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

/// Sends one order to its executor.
///
/// \param OnAnswer is called once.
void sendOrder(http::LoopClient &Client, const protocol::RelayedOrder &Order,
               OrderRouter::HoldCallback OnAnswer);

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ORDERROUTER_H
