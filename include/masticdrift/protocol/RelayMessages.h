/// \file
/// Orders that a leader lets other daemons carry to executors near them, and their results.
///
/// Both go one way in batches. A batch that is lost is an order without an answer, which the leader
/// has to expect of executors anyway.
#ifndef MASTICDRIFT_PROTOCOL_RELAYMESSAGES_H
#define MASTICDRIFT_PROTOCOL_RELAYMESSAGES_H

#include "masticdrift/fleet/Orders.h"

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::protocol {

inline constexpr const char *OrdersPath = "/peer/orders";
inline constexpr const char *ResultsPath = "/peer/results";

enum class RelayKind : std::uint8_t { Start, Stop, Pace, Hold };

/// One order on its way to an executor.
struct RelayedOrder {
  std::uint64_t OrderId_ = 0;   ///< names the order within the leader's process
  std::uint8_t Kind_ = 0;       ///< a RelayKind
  std::string ExecutorAddress_; ///< of the executor
  std::string ExecutorId_;
  fleet::StartOrder Order_;    ///< a stop and a pace use its task, run and token; a hold its token
                               ///< and the end of the lease, 0 to leave it
  std::uint64_t SeenUpTo_ = 0; ///< ends acknowledged by a hold
  std::int64_t WaitMs_ = 0;    ///< of a hold
  int Percent_ = 0;            ///< of a pace
  std::int64_t TimeoutMs_ = 0; ///< for the executor's answer
  MSGPACK_DEFINE_ARRAY(OrderId_, Kind_, ExecutorAddress_, ExecutorId_, Order_, SeenUpTo_, WaitMs_,
                       Percent_, TimeoutMs_)
};

struct OrdersRequest {
  std::string ReplyTo_; ///< the leader's peer address
  std::vector<RelayedOrder> Orders_;
  MSGPACK_DEFINE_ARRAY(ReplyTo_, Orders_)
};

/// What an executor answered.
struct RelayedResult {
  std::uint64_t OrderId_ = 0;
  fleet::OrderOutcome Outcome_ = fleet::OrderOutcome::NoAnswer;
  std::int64_t ClockMs_ = 0;
  fleet::Report Report_; ///< of a hold
  MSGPACK_DEFINE_ARRAY(OrderId_, Outcome_, ClockMs_, Report_)
};

struct ResultsRequest {
  std::vector<RelayedResult> Results_;
  MSGPACK_DEFINE_ARRAY(Results_)
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_RELAYMESSAGES_H
