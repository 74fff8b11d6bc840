/// \file
/// Executors, the orders they get and what they report, free of any wire format.
#ifndef MASTICDRIFT_FLEET_ORDERS_H
#define MASTICDRIFT_FLEET_ORDERS_H

#include "masticdrift/core/Resources.h"
#include "masticdrift/work/Job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace masticdrift::fleet {

/// One executor as the instance list describes it.
struct ExecutorInfo {
  std::string Id_;
  std::string Address_;
  std::string Pool_;
  std::string Domain_;
  std::vector<std::string> Labels_; ///< kind and rack
  core::Resources Capacity_;
  bool Draining_ = false;
  std::int64_t DrainRemainingMs_ = 0;   ///< least time left while draining
  std::int64_t IncarnationStartMs_ = 0; ///< start of this incarnation, Unix milliseconds
};

/// \returns the label that names the executor's rack, or an empty view.
inline std::string_view rackOf(const ExecutorInfo &Executor) {
  return Executor.Labels_.empty() ? std::string_view{} : std::string_view(Executor.Labels_.back());
}

/// An order to start one run of a task.
struct StartOrder {
  work::TaskRef Task_;
  std::uint64_t Run_ = 0;
  std::string Payload_;
  std::int64_t LeaseEndMs_ = 0;    ///< end of the lease on the executor's clock
  std::uint64_t FencingToken_ = 0; ///< fencing token
  std::string Checkpoint_;         ///< empty for a start from the beginning
  std::string Ticket_;             ///< empty on queues without advice
  MSGPACK_DEFINE_ARRAY(Task_, Run_, Payload_, LeaseEndMs_, FencingToken_, Checkpoint_, Ticket_)
};

enum class OrderOutcome {
  Done,          ///< carried out, now or before
  Fenced,        ///< a higher token was seen
  Superseded,    ///< an equal or higher run was stopped or ended there
  LeaseOver,     ///< the lease end lies in the past
  NoRoom,        ///< the executor guards its capacity
  TicketInvalid, ///< a new ticket is needed
  OtherInstance, ///< another incarnation answers at the address
  Unhealthy,     ///< refused, nothing was done
  Malformed,     ///< the executor does not understand the order
  NoAnswer,      ///< may have been carried out, or may be later
  NotSent,       ///< no connection, nothing was sent
};

/// \returns the stable lower-case name of \p Outcome.
std::string_view nameOf(OrderOutcome Outcome);

/// A run that an executor lists as running.
struct ReportedRun {
  work::TaskRef Task_;
  std::uint64_t Run_ = 0;
  std::string Checkpoint_;
  int ProgressPercent_ = 0;
  double LoadMetric_ =
      0; ///< response time (ms) of a serving task, else thousandths of a core in use
  MSGPACK_DEFINE_ARRAY(Task_, Run_, Checkpoint_, ProgressPercent_, LoadMetric_)
};

enum class EndKind { Done, Failed, Stopped, LeaseLapsed, GangBroken, GangIncomplete };

/// \returns the stable lower-case name of \p Kind.
std::string_view nameOf(EndKind Kind);

} // namespace masticdrift::fleet

MSGPACK_ADD_ENUM(masticdrift::fleet::EndKind)

namespace masticdrift::fleet {

/// A run that an executor lists as ended.
struct ReportedEnd {
  std::uint64_t SequenceNumber_ = 0; ///< rises by one within an incarnation
  work::TaskRef Task_;
  std::uint64_t Run_ = 0;
  EndKind Kind_ = EndKind::Done;
  std::string Checkpoint_;
  MSGPACK_DEFINE_ARRAY(SequenceNumber_, Task_, Run_, Kind_, Checkpoint_)
};

/// An executor's lists of runs.
struct Report {
  std::int64_t ClockMs_ = 0;            ///< the executor's clock when it answered
  std::int64_t IncarnationStartMs_ = 0; ///< 0 when not reported
  std::vector<ReportedRun> Running_;
  std::vector<ReportedEnd> Ended_;
  MSGPACK_DEFINE_ARRAY(ClockMs_, IncarnationStartMs_, Running_, Ended_)
};

/// An executor that may run a step and the ticket that shows it.
struct AdvisedExecutor {
  std::string Executor_;
  std::string Ticket_;
};

} // namespace masticdrift::fleet

MSGPACK_ADD_ENUM(masticdrift::fleet::OrderOutcome)

#endif // MASTICDRIFT_FLEET_ORDERS_H
