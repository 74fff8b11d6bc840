/// \file
/// Queue of interactive requests that wait for an executor slot at the owner of a failure domain,
/// shared among teams by stride scheduling.
///
/// Example:
/// \code
///   auto Result = pushRequest(Queue, {Id, "team", Now, Deadline}, Now);
///   if (Result.Admission_ != Admission::Queued) refuse(Id, Result.RetryAfter_);
///   while (auto Next = popRequest(Queue, Now, Shed)) send(*Next);
///   for (auto &Request : Shed) refuse(Request.Id_, ...); // "not run"
/// \endcode
#ifndef MASTICDRIFT_POLICY_REQUESTQUEUE_H
#define MASTICDRIFT_POLICY_REQUESTQUEUE_H

#include "masticdrift/core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticdrift::policy {

/// A request that has not been sent to an executor yet.
struct QueuedRequest {
  std::uint64_t Id_ = 0; ///< chosen by the caller
  std::string Team_;
  core::TimePoint Arrived_;
  core::TimePoint Deadline_;
};

/// Whether a request was queued, or why it was refused.
enum class Admission : std::uint8_t {
  Queued,
  QueueFull, ///< the team's queue or the whole queue is full
  TooLate,   ///< the expected wait is too long for the deadline
};

/// Result of pushRequest().
struct AdmissionResult {
  Admission Admission_ = Admission::Queued;
  core::Duration RetryAfter_{}; ///< hint for the caller of a refused request
};

/// Queue and slots of one team.
struct RequestTeam {
  std::string Name_;
  double Weight_ = 1;
  std::uint32_t SlotLimit_ = std::numeric_limits<std::uint32_t>::max(); ///< see Allotment::Slots_
  std::uint32_t Slots_ = 0;                                             ///< taken by popRequest()
  double Pass_ = 0; ///< requests started / weight; the lowest is served first
  std::deque<QueuedRequest> Waiting_;
};

/// Limits of a request queue.
struct RequestQueueLimits {
  std::size_t MaxPerTeam_ = 256; ///< waiting requests of one team
  std::size_t MaxTotal_ = 4096;  ///< waiting requests of all teams
  /// A request is refused if its expected wait exceeds this fraction of the time to its deadline;
  /// the rest of that time is left for the executor.
  double WaitFraction_ = 0.05;
};

/// The waiting interactive requests of one pool.
struct RequestQueue {
  RequestQueueLimits Limits_;
  std::vector<RequestTeam> Teams_;
  std::unordered_map<std::string, std::size_t> ByName_;
  std::set<std::pair<double, std::size_t>> Ready_; ///< (pass, team) with waiting requests and slots
  std::size_t Waiting_ = 0;
  double Pass_ = 0;                ///< pass of the last started request; idle teams resume here
  double SmoothedServiceMs_ = 50;  ///< moving average of the time that a slot is held
  std::uint32_t SlotsInUse_ = 0;   ///< taken by popRequest()
  std::uint32_t SlotCapacity_ = 0; ///< slots of the pool, set by setSlotCapacity()
};

/// Sets the weight and the slot limit of a team. Unknown teams have weight 1 and no limit.
void setTeam(RequestQueue &Queue, std::string_view TeamName, double Weight,
             std::uint32_t SlotLimit);

/// Sets the total number of slots of all usable executors, for the expected wait.
void setSlotCapacity(RequestQueue &Queue, std::uint32_t Slots);

/// Queues a request or refuses it. A refused request was not run.
/// Cost: linear in the number of teams with waiting requests, for the expected wait.
AdmissionResult pushRequest(RequestQueue &Queue, QueuedRequest Request, core::TimePoint Now);

/// Takes the next request by weighted share among the teams below their slot limit, and counts its
/// slot.
/// \param Shed receives requests whose deadline has passed; they were not run.
/// \returns nothing if no request can be started.
std::optional<QueuedRequest> popRequest(RequestQueue &Queue, core::TimePoint Now,
                                        std::vector<QueuedRequest> &Shed);

/// Releases the slot of a request taken by popRequest().
/// \param HeldFor time for which the slot was in use.
void finishSlot(RequestQueue &Queue, std::string_view TeamName, core::Duration HeldFor);

/// Removes a waiting request, for example because its caller has disconnected.
/// \returns false if the request is not waiting.
/// Cost: linear in the length of the team's queue.
bool removeRequest(RequestQueue &Queue, std::string_view TeamName, std::uint64_t Id);

/// Removes all waiting requests whose deadline has passed.
/// \returns the removed requests.
/// Cost: linear in the number of waiting requests.
std::vector<QueuedRequest> shedExpired(RequestQueue &Queue, core::TimePoint Now);

/// Returns the expected wait of a request of \p TeamName that arrives now.
core::Duration expectedWait(const RequestQueue &Queue, std::string_view TeamName);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_REQUESTQUEUE_H
