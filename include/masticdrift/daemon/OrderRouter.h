/// \file
/// The leader's way to executors: directly, or through daemons near them when there are many.
#ifndef MASTICDRIFT_DAEMON_ORDERROUTER_H
#define MASTICDRIFT_DAEMON_ORDERROUTER_H

#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/RelayTable.h"
#include "masticdrift/lead/Model.h"
#include "masticdrift/protocol/RelayMessages.h"
#include "platform/Executors.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace masticdrift::daemon {

/// Each order gets exactly one result, also when the daemon that carries it is lost. Orders for
/// other daemons leave in batches with flush().
class OrderRouter {
public:
  using OrderCallback = std::function<void(const platform::OrderAnswer &)>;
  using HoldCallback = std::function<void(const platform::HoldAnswer &)>;

  explicit OrderRouter(FleetContext &Context) : Context_(Context) {}

  void registerRelay(const protocol::Hello &Hello, core::TimePoint Now) {
    Relays_.registerRelay(Hello, Now);
  }

  void start(const fleet::ExecutorInfo &Executor, const fleet::StartOrder &Order,
             OrderCallback OnAnswer);
  void stop(const fleet::ExecutorInfo &Executor, const lead::RunKey &Run, std::uint64_t Token,
            OrderCallback OnAnswer);
  void pace(const fleet::ExecutorInfo &Executor, const lead::RunKey &Run, std::uint64_t Token,
            int Percent, OrderCallback OnAnswer);
  /// \param UntilMs end of the lease on the executor's clock, 0 to leave it.
  void hold(const fleet::ExecutorInfo &Executor, std::uint64_t Token, std::uint64_t SeenUpTo,
            std::int64_t UntilMs, core::Millis Wait, HoldCallback OnAnswer);

  /// Sends what has been collected, and ends the waiting for results that are overdue.
  void flush(core::TimePoint Now);

  /// Results of orders that another daemon has carried.
  void onResults(const protocol::ResultsRequest &Request);

private:
  struct PendingOrder {
    std::string RelayAddress_;
    core::TimePoint Deadline_;
    HoldCallback OnAnswer_;
  };
  struct Batch {
    std::vector<protocol::RelayedOrder> Orders_;
    core::TimePoint SentAt_{};
  };

  void route(const fleet::ExecutorInfo &Executor, protocol::RelayedOrder Order,
             HoldCallback OnAnswer);
  void send(const std::string &RelayAddress, Batch &Outgoing, core::TimePoint Now);
  void expireOverdue(core::TimePoint Now);

  FleetContext &Context_;
  RelayTable Relays_;
  std::uint64_t NextOrderId_ = 1;
  std::unordered_map<std::uint64_t, PendingOrder> PendingOrders_;
  std::map<std::string, Batch, std::less<>> Batches_; ///< by relay
  core::TimePoint LastExpiryCheckAt_{};
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

/// Carries one order to its executor. \param Done runs once.
void sendOrder(http::LoopClient &Client, const protocol::RelayedOrder &Order,
               OrderRouter::HoldCallback OnAnswer);

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ORDERROUTER_H
