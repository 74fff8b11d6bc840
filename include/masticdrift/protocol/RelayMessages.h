/// \file
/// Orders that the leader sends to executors through daemons in their failure domain (relays), and
/// the results.
///
/// Both are one-way messages with a batch of items. To the leader a lost batch looks like executors
/// that did not answer, which it has to handle anyway.
#ifndef MASTICDRIFT_PROTOCOL_RELAYMESSAGES_H
#define MASTICDRIFT_PROTOCOL_RELAYMESSAGES_H

#include "masticdrift/fleet/Orders.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::protocol {

inline constexpr const char *OrdersPath = "/peer/orders";
inline constexpr const char *ResultsPath = "/peer/results";

/// Kind of a relayed order.
enum class RelayKind : std::uint8_t { Start, Stop, Pace, Hold };

/// One order for an executor.
struct RelayedOrder {
  std::uint64_t OrderId_ = 0; ///< unique among the orders of all terms
  std::uint8_t Kind_ = 0;     ///< a RelayKind
  std::string ExecutorAddress_;
  std::string ExecutorId_;
  /// Stop and pace orders use the task, run and token; a hold uses the token and the lease end, 0
  /// to leave the lease unchanged.
  fleet::StartOrder Order_;
  std::uint64_t SeenUpTo_ = 0; ///< hold: highest number of the acknowledged run ends
  std::int64_t WaitMs_ = 0;    ///< hold: the executor answers after this time at the latest
  int Percent_ = 0;            ///< pace: share of the full speed
  std::int64_t TimeoutMs_ = 0; ///< of the wait for the executor's answer
  MSGPACK_DEFINE_ARRAY(OrderId_, Kind_, ExecutorAddress_, ExecutorId_, Order_, SeenUpTo_, WaitMs_,
                       Percent_, TimeoutMs_)
};

/// A batch of orders for a relay.
struct OrdersRequest {
  std::string ReplyTo_; ///< the leader's peer address
  std::vector<RelayedOrder> Orders_;
  /// Payloads of the starts by job, whose tasks all have the same. The starts carry none, and
  /// payloads that the relay has from earlier batches are left out.
  std::map<std::string, std::string> Payloads_;
  std::int64_t ResultIntervalMs_ = 0; ///< shortest interval between batches of results
  MSGPACK_DEFINE_ARRAY(ReplyTo_, Orders_, Payloads_, ResultIntervalMs_)
};

/// An executor's answer to a relayed order.
struct RelayedResult {
  std::uint64_t OrderId_ = 0;
  fleet::OrderOutcome Outcome_ = fleet::OrderOutcome::NoAnswer;
  std::int64_t ClockMs_ = 0; ///< the executor's clock when it answered
  fleet::Report Report_;     ///< answer to a hold
  MSGPACK_DEFINE_ARRAY(OrderId_, Outcome_, ClockMs_, Report_)
};

/// A batch of results for the leader.
struct ResultsRequest {
  std::vector<RelayedResult> Results_;
  MSGPACK_DEFINE_ARRAY(Results_)
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_RELAYMESSAGES_H
