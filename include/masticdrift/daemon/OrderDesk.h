/// \file
/// The leader's way to executors: directly, or through daemons near them when there are many.
#ifndef MASTICDRIFT_DAEMON_ORDERDESK_H
#define MASTICDRIFT_DAEMON_ORDERDESK_H

#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/RelayTable.h"
#include "masticdrift/lead/Model.h"
#include "masticdrift/protocol/Relay.h"
#include "platform/Executors.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace masticdrift::daemon {

/// Each order gets exactly one result, also when the daemon that carries it is lost. Orders for
/// other daemons leave in batches with flush().
class OrderDesk {
public:
  using Answered = std::function<void(const platform::OrderResponse &)>;
  using Listed = std::function<void(const platform::LeaseRenewalResult &)>;

  explicit OrderDesk(FleetContext &Context) : Context_(Context) {}

  void offer(const protocol::Hello &From, core::TimePoint Now) { Relays_.offer(From, Now); }

  void start(const fleet::ExecutorInfo &At, const fleet::StartOrder &Order, Answered Done);
  void stop(const fleet::ExecutorInfo &At, const lead::RunKey &Which, std::uint64_t Token,
            Answered Done);
  void pace(const fleet::ExecutorInfo &At, const lead::RunKey &Which, std::uint64_t Token,
            int Percent, Answered Done);
  /// \param UntilMs end of the lease on the executor's clock, 0 to leave it.
  void hold(const fleet::ExecutorInfo &At, std::uint64_t Token, std::uint64_t SeenUpTo,
            std::int64_t UntilMs, core::Millis Wait, Listed Done);

  /// Sends what has been collected, and ends the waiting for results that are overdue.
  void flush(core::TimePoint Now);

  /// Results of orders that another daemon has carried.
  void onResults(const protocol::ResultsCall &Call);

private:
  struct Pending {
    std::string Relay_;
    core::TimePoint Deadline_;
    Listed Done_;
  };
  struct Batch {
    std::vector<protocol::RelayedOrder> Orders_;
    core::TimePoint SentAt_{};
  };

  void give(const fleet::ExecutorInfo &At, protocol::RelayedOrder Order, Listed Done);
  void send(const std::string &Relay, Batch &What, core::TimePoint Now);
  void expire(core::TimePoint Now);

  FleetContext &Context_;
  RelayTable Relays_;
  std::uint64_t NextNumber_ = 1;
  std::unordered_map<std::uint64_t, Pending> Pending_;
  std::map<std::string, Batch, std::less<>> Batches_; ///< by relay
  core::TimePoint ExpiredAt_{};
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

/// Carries one order to its executor. \param Done runs once.
void carryOrder(http::LoopClient &Client, const protocol::RelayedOrder &Order,
                OrderDesk::Listed Done);

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ORDERDESK_H
