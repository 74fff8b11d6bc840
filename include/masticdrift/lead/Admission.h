/// \file
/// Decides whether a job is accepted, by the work that waits before it.
///
/// A job that cannot be done in time is refused at once, with the time at which coming back makes
/// sense, instead of waiting behind a backlog in vain and delaying others. The decision errs on the
/// side of accepting: it assumes that all room and the whole limit of the customer are used for
/// what waits, and counts nothing that runs.
#ifndef MASTICDRIFT_LEAD_ADMISSION_H
#define MASTICDRIFT_LEAD_ADMISSION_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Resources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticdrift::lead {

/// Why a job is accepted or refused. The values are part of the protocol between daemons.
enum class AdmissionOutcome : std::uint8_t {
  Accepted = 0,
  CustomerBacklog = 1,  ///< the customer's limit is full for longer than the objective allows
  PoolBacklog = 2,      ///< the pool is
  ImpossibleSize = 3,   ///< no executor of the pool is large enough for one of its tasks
  UnknownPool = 4,      ///< its queue names a pool that the configuration does not have
  MemoryBacklog = 5,    ///< the known jobs leave no memory for it
  ImpossibleMemory = 6, ///< it takes more memory than there is for all jobs
};

/// \returns the name of an outcome in logs and metrics.
std::string_view nameOf(AdmissionOutcome Outcome);

struct AdmissionDecision {
  AdmissionOutcome Outcome_ = AdmissionOutcome::Accepted;
  core::Millis Wait_{0};       ///< time for which the work before the job takes all room
  core::Millis Allowed_{0};    ///< longest wait with which the job is still of use
  core::Millis RetryAfter_{0}; ///< when coming back makes sense; 0 when it never does
};

/// \returns when a refused caller is to return, \p Wait from now or within the two seconds after,
/// so that not all return at once.
core::Millis retryAfter(core::Millis Wait, std::string_view JobId);

/// Amounts of resources multiplied by milliseconds.
struct ResourceTime {
  double CoreMs_ = 0; ///< thousandths of a core times ms
  double MemoryMs_ = 0;
  double AcceleratorMs_ = 0;

  ResourceTime &operator+=(const ResourceTime &Other) {
    CoreMs_ += Other.CoreMs_;
    MemoryMs_ += Other.MemoryMs_;
    AcceleratorMs_ += Other.AcceleratorMs_;
    return *this;
  }
};

/// \returns what \p Tasks tasks take in \p Time each.
ResourceTime resourceTime(const core::Resources &Need, double Tasks, core::Millis Time);

/// \returns how long \p Work takes with \p Room; a resource of which there is 0 counts as
/// unlimited.
core::Millis drainTime(const ResourceTime &Work, const core::Resources &Room);

/// Queue priorities that are told apart; lower ones count as the last.
inline constexpr std::size_t AdmissionPriorities = 4;

/// Work that waits for a customer or in a pool.
struct WaitingWork {
  /// By queue priority: work that can be in time and is within its customer's rate.
  std::array<ResourceTime, AdmissionPriorities> InTime_;
  /// All other work that may still be of use; it is started later.
  std::array<ResourceTime, AdmissionPriorities> Other_;
};

/// What decides about a job.
struct AdmissionRequest {
  std::string_view Customer_;
  std::string_view Pool_;
  std::string_view JobId_; ///< spreads the times at which refused callers return
  int Priority_ = 0;
  bool OverRate_ = false;       ///< its customer submits more than its rate
  core::Millis Chain_{0};       ///< run time of the longest chain of steps
  core::Millis Objective_{0};   ///< completion objective
  core::Millis ValueExpiry_{0}; ///< from then on the job is of no use
  core::Resources CustomerLimit_;
};

/// Work that waits at the leader, as of the last survey and of the jobs accepted since.
class AdmissionControl {
public:
  /// Begins a survey of all waiting work.
  void beginSurvey();
  /// Adds work to the survey, or work that was accepted since.
  void add(std::string_view Customer, std::string_view Pool, int Priority, bool InTime,
           const ResourceTime &Work);
  /// Adds the room of an executor to the survey.
  void addRoom(std::string_view Pool, const core::Resources &Capacity);

  /// Decides about a job.
  AdmissionDecision decide(const AdmissionRequest &Request) const;

private:
  std::unordered_map<std::string, WaitingWork> Customers_;
  std::map<std::string, WaitingWork, std::less<>> Pools_;
  std::map<std::string, core::Resources, std::less<>> Rooms_; ///< by pool
};

/// Capacities of the executors that were seen in this term, by pool and label.
class CapacityCatalog {
public:
  void add(std::string_view Pool, const std::vector<std::string> &Labels,
           const core::Resources &Capacity);

  /// \returns true when an executor of the pool with \p Label (any, when empty) may be large enough
  /// for \p Need. Without any executor of the pool this cannot be ruled out.
  bool mayFit(std::string_view Pool, std::string_view Label, const core::Resources &Need) const;

private:
  struct Shapes {
    std::vector<core::Resources> Any_; ///< different capacities, none within another
    std::map<std::string, std::vector<core::Resources>, std::less<>> ByLabel_;
  };
  std::map<std::string, Shapes, std::less<>> Pools_;
};

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_ADMISSION_H
