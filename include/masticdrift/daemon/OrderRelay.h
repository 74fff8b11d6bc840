/// \file
/// Forwards orders of a leader to executors and returns the results in batches.
#ifndef MASTICDRIFT_DAEMON_ORDERRELAY_H
#define MASTICDRIFT_DAEMON_ORDERRELAY_H

#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/protocol/PayloadCache.h"

#include <map>
#include <memory>

#include <asio/steady_timer.hpp>

namespace masticdrift::daemon {

/// Makes no decisions. Orders carry the leader's fencing token, so executors refuse those of a
/// leader that was replaced.
class OrderRelay {
public:
  explicit OrderRelay(FleetContext &Context) : Context_(Context), Timer_(Context.Loop_) {}

  /// Sends orders to their executors; the results go to the leader that is named in the request.
  void forward(protocol::OrdersRequest Request);

private:
  struct AnsweredOrder {
    protocol::RelayedResult Result_;
    core::TimePoint AnsweredAt_;
  };
  /// Results for one leader.
  struct Outgoing {
    std::vector<AnsweredOrder> Results_;
    core::Millis Interval_{0}; ///< shortest interval between two batches
    core::TimePoint FlushedAt_{};
    int InFlight_ = 0; ///< batches without an acknowledgement
  };

  void addResult(const std::string &ReplyTo, protocol::RelayedResult Result);
  void scheduleFlush();
  void flush();
  void send(const std::string &ReplyTo, Outgoing &Batch);
  /// Sends those results of a failed batch again that list ends.
  void keepEnds(Outgoing &Batch, std::vector<AnsweredOrder> Undelivered);

  FleetContext &Context_;
  protocol::ReceivedPayloads Payloads_;
  asio::steady_timer Timer_;
  bool TimerArmed_ = false;
  std::map<std::string, Outgoing> Outgoing_; ///< by the leader's peer address
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ORDERRELAY_H
