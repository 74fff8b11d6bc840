/// \file
/// Executors, the orders sent to them and their reports, independent of any wire format.
#ifndef MASTICDRIFT_FLEET_ORDERS_H
#define MASTICDRIFT_FLEET_ORDERS_H

#include "masticdrift/core/Resources.h"
#include "masticdrift/work/Job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace masticdrift::fleet {

/// Longest id of an executor: with the prefix that the roster puts before it, it still fits into a
/// key of the log service.
inline constexpr std::size_t MaxExecutorIdBytes = 246;

/// An executor as described by the instance list.
struct ExecutorInfo {
  std::string Id_;
  std::string Address_;
  std::string Pool_;
  std::string Domain_;
  std::vector<std::string> Labels_; ///< kind and, last, the rack
  core::Resources Capacity_;
  bool Draining_ = false;
  std::int64_t DrainRemainingMs_ = 0;   ///< minimum time left while draining
  std::int64_t IncarnationStartMs_ = 0; ///< start time of this incarnation, Unix milliseconds
  std::int64_t ColdRemainingMs_ = 0;    ///< time for which the executor is still slow, 0 when warm
};

/// \returns the label that names the executor's rack, or an empty view.
inline std::string_view rackOf(const ExecutorInfo &Executor) {
  return Executor.Labels_.empty() ? std::string_view{} : std::string_view(Executor.Labels_.back());
}

/// Order to start one run of a task.
struct StartOrder {
  work::TaskRef Task_;
  std::uint64_t Run_ = 0;
  std::string Payload_;
  std::int64_t LeaseEndMs_ = 0; ///< end of the lease, by the executor's clock
  std::uint64_t FencingToken_ = 0;
  std::string Checkpoint_; ///< empty for a start from the beginning
  std::string Ticket_;     ///< empty on queues without advice
  MSGPACK_DEFINE_ARRAY(Task_, Run_, Payload_, LeaseEndMs_, FencingToken_, Checkpoint_, Ticket_)
};

/// Result of an order to an executor.
enum class OrderOutcome {
  Done,          ///< executed, now or by an earlier order
  Fenced,        ///< the executor has seen a higher fencing token
  Superseded,    ///< a run with the same or a higher number was stopped or has ended
  LeaseOver,     ///< the end of the lease is in the past
  NoRoom,        ///< the executor checks its capacity and has none left
  TicketInvalid, ///< a new ticket is needed
  OtherInstance, ///< another incarnation of the executor listens on the address
  Unhealthy,     ///< overloaded or unavailable; the order was rejected without effect
  Malformed,     ///< the executor cannot decode the order
  NoAnswer,      ///< unknown: the order may have been executed, or may be later
  NotSent,       ///< not sent, because no connection could be opened
  /// Unknown like NoAnswer, because the relay did not return a result in time. It says nothing
  /// about the executor.
  ResultLost,
};

/// \returns the stable lower-case name of \p Outcome.
std::string_view nameOf(OrderOutcome Outcome);

/// A run that an executor reports as running.
struct ReportedRun {
  work::TaskRef Task_;
  std::uint64_t Run_ = 0;
  std::string Checkpoint_;
  int ProgressPercent_ = 0;
  double LoadMetric_ = 0; ///< response time (ms) of a serving task, else CPU use (millicores)
  MSGPACK_DEFINE_ARRAY(Task_, Run_, Checkpoint_, ProgressPercent_, LoadMetric_)
};

/// Reason for the end of a run.
enum class EndKind {
  Done,          ///< the task completed
  Failed,        ///< the task failed
  Stopped,       ///< ended by a stop order
  LeaseLapsed,   ///< the lease ended without a renewal
  GangBroken,    ///< another run of the gang ended
  GangIncomplete ///< the other runs of the gang did not start
};

/// \returns the stable lower-case name of \p Kind.
std::string_view nameOf(EndKind Kind);

} // namespace masticdrift::fleet

MSGPACK_ADD_ENUM(masticdrift::fleet::EndKind)

namespace masticdrift::fleet {

/// A run that an executor reports as ended.
struct ReportedEnd {
  std::uint64_t SequenceNumber_ = 0; ///< increases by one within an incarnation
  work::TaskRef Task_;
  std::uint64_t Run_ = 0;
  EndKind Kind_ = EndKind::Done;
  std::string Checkpoint_;
  MSGPACK_DEFINE_ARRAY(SequenceNumber_, Task_, Run_, Kind_, Checkpoint_)
};

/// Executors report at most this many ends at a time; later ends follow once these are
/// acknowledged.
inline constexpr std::size_t MaxReportedEnds = 500;

/// Running and ended runs of an executor.
struct Report {
  std::int64_t ClockMs_ = 0;            ///< executor's clock at the time of the response
  std::int64_t IncarnationStartMs_ = 0; ///< 0 when not reported
  std::vector<ReportedRun> Running_;
  std::vector<ReportedEnd> Ended_;
  MSGPACK_DEFINE_ARRAY(ClockMs_, IncarnationStartMs_, Running_, Ended_)
};

/// An executor that is allowed to run a step, with the ticket that proves it.
struct AdvisedExecutor {
  std::string Executor_;
  std::string Ticket_;
};

} // namespace masticdrift::fleet

MSGPACK_ADD_ENUM(masticdrift::fleet::OrderOutcome)

#endif // MASTICDRIFT_FLEET_ORDERS_H
