/// \file
/// Interactive requests that wait for an executor slot at the owner of a failure domain.
///
/// Example:
/// \code
///   auto Answer = pushRequest(Queue, {Id, "team", Now, Deadline}, Now);
///   if (Answer.Admission_ != Admission::Queued) refuse(Id, Answer.RetryAfter_);
///   while (auto Next = popRequest(Queue, Now, Shed)) send(*Next);
///   for (auto &One : Shed) refuse(One.Id_, ...);   // "not run"
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

/// A request that has not been sent to an executor.
struct QueuedRequest {
  std::uint64_t Id_ = 0; ///< chosen by the caller
  std::string Team_;
  core::TimePoint Arrived_;
  core::TimePoint Deadline_;
};

enum class Admission : std::uint8_t {
  Queued,
  QueueFull, ///< the team's queue is at its bound
  TooLate,   ///< the request would not get a slot in time for its deadline
};

struct AdmissionResult {
  Admission Admission_ = Admission::Queued;
  core::Duration RetryAfter_{}; ///< hint for the caller when refused
};

/// Queue and slots of one team.
struct RequestTeam {
  std::string Name_;
  double Weight_ = 1;
  std::uint32_t SlotLimit_ = std::numeric_limits<std::uint32_t>::max(); ///< the team's allotment
  std::uint32_t Slots_ = 0;                                             ///< taken by pop
  double Pass_ = 0; ///< requests started divided by the weight; the lowest goes first
  std::deque<QueuedRequest> Waiting_;
};

struct RequestQueueLimits {
  std::size_t MaxPerTeam_ = 256; ///< waiting requests of one team
  std::size_t MaxTotal_ = 4096;  ///< waiting requests of all teams
  /// A request is shed when its expected wait exceeds this part of the time to its deadline; the
  /// rest of that time is left for the executor.
  double WaitFraction_ = 0.05;
};

/// All waiting interactive requests of one pool.
struct RequestQueue {
  RequestQueueLimits Limits_;
  std::vector<RequestTeam> Teams_;
  std::unordered_map<std::string, std::size_t> ByName_;
  std::set<std::pair<double, std::size_t>> Ready_; ///< (pass, team) with waiting requests and slots
  std::size_t Waiting_ = 0;
  double Pass_ = 0;                ///< pass of the last pop; a team that was idle resumes here
  double SmoothedServiceMs_ = 50;  ///< smoothed time that a request holds its slot
  std::uint32_t SlotsInUse_ = 0;   ///< taken by pop
  std::uint32_t SlotCapacity_ = 0; ///< slots of the pool, set by setSlotCapacity
};

/// Sets the weight and the slot allotment of a team; unknown teams get weight 1 and no limit.
void setTeam(RequestQueue &Queue, std::string_view TeamName, double Weight,
             std::uint32_t SlotLimit);

/// Tells how many slots all usable executors have together; used for the expected wait.
void setSlotCapacity(RequestQueue &Queue, std::uint32_t Slots);

/// Queues a request or refuses it. A refused request was not run.
/// Cost: logarithmic in the number of teams.
AdmissionResult pushRequest(RequestQueue &Queue, QueuedRequest Request, core::TimePoint Now);

/// Takes the next request by share among the teams below their slot limit, and counts its slot.
/// \param Shed receives the requests whose deadline can no longer be met; they were not run.
/// \returns nothing when no request may run.
std::optional<QueuedRequest> popRequest(RequestQueue &Queue, core::TimePoint Now,
                                        std::vector<QueuedRequest> &Shed);

/// Gives back the slot of a request taken by popRequest.
/// \param Held how long the slot was taken.
void finishSlot(RequestQueue &Queue, std::string_view TeamName, core::Duration HeldFor);

/// Removes a waiting request, for example because its caller has gone.
/// \returns false when it is not waiting. Cost: linear in the team's queue.
bool removeRequest(RequestQueue &Queue, std::string_view TeamName, std::uint64_t Id);

/// Removes all waiting requests whose deadline has passed. Cost: linear in the waiting requests.
std::vector<QueuedRequest> shedExpired(RequestQueue &Queue, core::TimePoint Now);

/// \returns the expected wait of a request of \p Team that arrives now.
core::Duration expectedWait(const RequestQueue &Queue, std::string_view TeamName);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_REQUESTQUEUE_H
