/// \file
/// Why a step with waiting tasks neither starts one nor has advice requested for it.
#ifndef MASTICDRIFT_LEAD_WAITREASON_H
#define MASTICDRIFT_LEAD_WAITREASON_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Resources.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace masticdrift::lead {

/// Reason for which a step waits after a placement pass.
enum class WaitReason : std::uint8_t {
  None,            ///< a task was started, or none waits
  EarlierRuns,     ///< runs of earlier leaders are unknown, or a record is not durable yet
  StartsInFlight,  ///< limit of concurrent start orders
  CustomerLimit,   ///< the customer's limit allows no further task soon
  CustomerReserve, ///< the rest of the limit is kept free for more urgent work of the customer
  OverdueTurn,     ///< overdue work that has used up its turn
  Suspect,         ///< a task that may crash executors waits for one of its own
  NoRoom,          ///< no executor on which the step may start has room
  AdvicePending,   ///< advice was requested and has not arrived
  Covered,         ///< tickets suffice for the tasks that can start soon
  RetryDelay,      ///< the last request got no usable answer
  ExhaustedNeed,   ///< earlier steps have claimed all room for tasks of this size
  AllAdvised,      ///< advice is known for every executor with unclaimed room
  CallLimit,       ///< limit of outstanding requests for advice
  AllowedRegions,  ///< no room in the regions in which the job may run
  UrgentReserve,   ///< the room is kept free for more urgent work that waits for advice
  RunLimit,        ///< the customer's runs take all memory that is free for runs
};

inline constexpr std::size_t WaitReasons = static_cast<std::size_t>(WaitReason::RunLimit) + 1;

/// Number of tasks by the reason for which their step waits.
using WaitCounts = std::array<std::size_t, WaitReasons>;

/// \returns the name of a reason in logs and metrics.
std::string_view nameOf(WaitReason Reason);

/// Why a step waits, and since when.
struct StepWait {
  WaitReason Reason_ = WaitReason::None;
  core::TimePoint Since_{}; ///< when the reason was first noted without a break
  bool Logged_ = false;
};

/// Figures that tell whether a wait is justified, in tasks and executors.
struct WaitFigures {
  std::uint32_t Waiting_ = 0;
  std::uint32_t Wanted_ = 0;  ///< tasks that the customer's limit lets start soon
  std::uint32_t Covered_ = 0; ///< of these, tasks with claimed room on executors with tickets
  std::uint32_t Tickets_ = 0; ///< executors on which the step may start
  std::uint32_t TicketsWithRoom_ = 0; ///< of these, executors with room now
  std::uint32_t OpenWithRoom_ = 0;    ///< executors of the pool with room now
  core::Resources Used_;              ///< by the customer
  core::Resources Reserved_;          ///< for more urgent work of the customer
  core::Resources Limit_;             ///< of the customer; 0 without a limit
};

/// Notes the reason for which a step waits after a placement pass.
void noteWait(StepWait &Noted, WaitReason Reason, core::TimePoint Now);

/// Bounds the log lines about waiting steps.
class WaitLogBudget {
public:
  /// \returns true when the wait has lasted so long that it is to be logged now; once for each
  /// wait.
  bool take(StepWait &Logged, core::TimePoint Now);

private:
  core::TimePoint WindowBegin_{};
  int LinesInWindow_ = 0;
};

/// \returns the text of the log line about a wait.
std::string describeWait(const StepWait &Logged, const WaitFigures &Figures, core::TimePoint Now);

/// \returns the reasons with tasks and their numbers, such as "covered 12, call_limit 3".
std::string describeCounts(const WaitCounts &Counts);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_WAITREASON_H
