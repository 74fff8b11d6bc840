#include "masticdrift/policy/RequestQueue.h"

#include <algorithm>

namespace masticdrift::policy {
namespace {

std::size_t findOrAddTeam(RequestQueue &Queue, std::string_view Name) {
  auto [Found, IsNew] = Queue.ByName_.try_emplace(std::string(Name), Queue.Teams_.size());
  if (IsNew)
    Queue.Teams_.push_back({.Name_ = std::string(Name)});
  return Found->second;
}

bool isReady(const RequestTeam &Team) {
  return !Team.Waiting_.empty() && Team.Slots_ < Team.SlotLimit_;
}

/// Applies a change to a team and keeps RequestQueue::Ready_ consistent.
template <typename Change> void updateTeam(RequestQueue &Queue, std::size_t Index, Change Apply) {
  RequestTeam &Team = Queue.Teams_[Index];
  if (isReady(Team))
    Queue.Ready_.erase({Team.Pass_, Index});
  Apply(Team);
  if (isReady(Team))
    Queue.Ready_.insert({Team.Pass_, Index});
}

core::Duration durationFromMs(double Value) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::milli>(Value));
}

/// Returns the expected wait in milliseconds of a request behind \p Ahead requests of \p Team.
double expectedWaitMs(const RequestQueue &Queue, const RequestTeam &Team, std::size_t Ahead) {
  if (Queue.SlotCapacity_ == 0)
    return 0;
  if (Queue.SlotsInUse_ < Queue.SlotCapacity_ && Team.Slots_ < Team.SlotLimit_ && Ahead == 0)
    return 0;
  double Weights = Team.Weight_;
  for (const auto &[Pass, Index] : Queue.Ready_)
    if (&Queue.Teams_[Index] != &Team)
      Weights += Queue.Teams_[Index].Weight_;
  double Slots = static_cast<double>(Queue.SlotCapacity_) * Team.Weight_ / Weights;
  Slots = std::max(1.0, std::min(Slots, static_cast<double>(Team.SlotLimit_)));
  return Queue.SmoothedServiceMs_ * static_cast<double>(Ahead + 1) / Slots;
}

} // namespace

void setTeam(RequestQueue &Queue, std::string_view TeamName, double Weight,
             std::uint32_t SlotLimit) {
  updateTeam(Queue, findOrAddTeam(Queue, TeamName), [&](RequestTeam &Team) {
    Team.Weight_ = std::max(Weight, 1e-6);
    Team.SlotLimit_ = SlotLimit;
  });
}

void setSlotCapacity(RequestQueue &Queue, std::uint32_t Slots) { Queue.SlotCapacity_ = Slots; }

AdmissionResult pushRequest(RequestQueue &Queue, QueuedRequest Request, core::TimePoint Now) {
  const std::size_t Index = findOrAddTeam(Queue, Request.Team_);
  const RequestTeam &Team = Queue.Teams_[Index];
  const double WaitMs = expectedWaitMs(Queue, Team, Team.Waiting_.size());
  if (Team.Waiting_.size() >= Queue.Limits_.MaxPerTeam_ ||
      Queue.Waiting_ >= Queue.Limits_.MaxTotal_)
    return {Admission::QueueFull, durationFromMs(std::max(WaitMs, 100.0))};
  const double RemainingMs =
      std::chrono::duration<double, std::milli>(Request.Deadline_ - Now).count();
  if (RemainingMs <= 0 || WaitMs > RemainingMs * Queue.Limits_.WaitFraction_)
    return {Admission::TooLate, durationFromMs(std::max(WaitMs, 100.0))};
  updateTeam(Queue, Index, [&](RequestTeam &Target) {
    if (Target.Waiting_.empty() && Target.Slots_ == 0)
      Target.Pass_ = std::max(Target.Pass_, Queue.Pass_);
    Target.Waiting_.push_back(std::move(Request));
  });
  ++Queue.Waiting_;
  return {};
}

std::optional<QueuedRequest> popRequest(RequestQueue &Queue, core::TimePoint Now,
                                        std::vector<QueuedRequest> &Shed) {
  while (!Queue.Ready_.empty()) {
    const std::size_t Index = Queue.Ready_.begin()->second;
    std::optional<QueuedRequest> Next;
    updateTeam(Queue, Index, [&](RequestTeam &Team) {
      QueuedRequest Front = std::move(Team.Waiting_.front());
      Team.Waiting_.pop_front();
      --Queue.Waiting_;
      if (Front.Deadline_ <= Now) {
        Shed.push_back(std::move(Front));
        return;
      }
      Queue.Pass_ = Team.Pass_;
      Team.Pass_ += 1 / Team.Weight_;
      ++Team.Slots_;
      ++Queue.SlotsInUse_;
      Next = std::move(Front);
    });
    if (Next)
      return Next;
  }
  return std::nullopt;
}

void finishSlot(RequestQueue &Queue, std::string_view TeamName, core::Duration HeldFor) {
  updateTeam(Queue, findOrAddTeam(Queue, TeamName), [&](RequestTeam &Team) {
    if (Team.Slots_ == 0)
      return;
    --Team.Slots_;
    --Queue.SlotsInUse_;
  });
  const double Ms = std::chrono::duration<double, std::milli>(HeldFor).count();
  Queue.SmoothedServiceMs_ += 0.05 * (Ms - Queue.SmoothedServiceMs_);
}

bool removeRequest(RequestQueue &Queue, std::string_view TeamName, std::uint64_t Id) {
  bool Removed = false;
  updateTeam(Queue, findOrAddTeam(Queue, TeamName), [&](RequestTeam &Team) {
    Removed =
        std::erase_if(Team.Waiting_, [Id](const auto &Waiting) { return Waiting.Id_ == Id; }) > 0;
  });
  if (Removed)
    --Queue.Waiting_;
  return Removed;
}

std::vector<QueuedRequest> shedExpired(RequestQueue &Queue, core::TimePoint Now) {
  std::vector<QueuedRequest> Expired;
  for (std::size_t I = 0; I < Queue.Teams_.size(); ++I)
    updateTeam(Queue, I, [&](RequestTeam &Team) {
      std::erase_if(Team.Waiting_, [&](QueuedRequest &Waiting) {
        if (Waiting.Deadline_ > Now)
          return false;
        Expired.push_back(std::move(Waiting));
        return true;
      });
    });
  Queue.Waiting_ -= Expired.size();
  return Expired;
}

core::Duration expectedWait(const RequestQueue &Queue, std::string_view TeamName) {
  const auto Found = Queue.ByName_.find(std::string(TeamName));
  if (Found == Queue.ByName_.end())
    return {};
  const RequestTeam &Team = Queue.Teams_[Found->second];
  return durationFromMs(expectedWaitMs(Queue, Team, Team.Waiting_.size()));
}

} // namespace masticdrift::policy
