#include "masticdrift/policy/RequestQueue.h"

#include <algorithm>

namespace masticdrift::policy {
namespace {

std::size_t teamIndex(RequestQueue &Queue, std::string_view Name) {
  auto [Found, IsNew] = Queue.ByName_.try_emplace(std::string(Name), Queue.Teams_.size());
  if (IsNew)
    Queue.Teams_.push_back({.Name_ = std::string(Name)});
  return Found->second;
}

bool ready(const RequestTeam &Team) {
  return !Team.Waiting_.empty() && Team.Slots_ < Team.SlotLimit_;
}

/// Changes a team and keeps the order of the ready teams.
template <typename Change> void update(RequestQueue &Queue, std::size_t Index, Change Apply) {
  RequestTeam &Team = Queue.Teams_[Index];
  if (ready(Team))
    Queue.Ready_.erase({Team.Pass_, Index});
  Apply(Team);
  if (ready(Team))
    Queue.Ready_.insert({Team.Pass_, Index});
}

core::Duration fromMs(double Value) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::milli>(Value));
}

/// Wait in milliseconds of a request at position \p Ahead of \p Team.
double waitMs(const RequestQueue &Queue, const RequestTeam &Team, std::size_t Ahead) {
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
  return Queue.ServiceMs_ * static_cast<double>(Ahead + 1) / Slots;
}

} // namespace

void setTeam(RequestQueue &Queue, std::string_view Team, double Weight, std::uint32_t SlotLimit) {
  update(Queue, teamIndex(Queue, Team), [&](RequestTeam &One) {
    One.Weight_ = std::max(Weight, 1e-6);
    One.SlotLimit_ = SlotLimit;
  });
}

void setSlotCapacity(RequestQueue &Queue, std::uint32_t Slots) { Queue.SlotCapacity_ = Slots; }

AdmissionResult pushRequest(RequestQueue &Queue, QueuedRequest Request, core::TimePoint Now) {
  const std::size_t Index = teamIndex(Queue, Request.Team_);
  const RequestTeam &Team = Queue.Teams_[Index];
  const double Wait = waitMs(Queue, Team, Team.Waiting_.size());
  if (Team.Waiting_.size() >= Queue.Limits_.PerTeam_ || Queue.Waiting_ >= Queue.Limits_.Total_)
    return {Admission::QueueFull, fromMs(std::max(Wait, 100.0))};
  const double Left = std::chrono::duration<double, std::milli>(Request.Deadline_ - Now).count();
  if (Left <= 0 || Wait > Left * Queue.Limits_.WaitFraction_)
    return {Admission::TooLate, fromMs(std::max(Wait, 100.0))};
  update(Queue, Index, [&](RequestTeam &One) {
    if (One.Waiting_.empty() && One.Slots_ == 0)
      One.Pass_ = std::max(One.Pass_, Queue.Pass_);
    One.Waiting_.push_back(std::move(Request));
  });
  ++Queue.Waiting_;
  return {};
}

std::optional<QueuedRequest> popRequest(RequestQueue &Queue, core::TimePoint Now,
                                        std::vector<QueuedRequest> &Shed) {
  while (!Queue.Ready_.empty()) {
    const std::size_t Index = Queue.Ready_.begin()->second;
    std::optional<QueuedRequest> Next;
    update(Queue, Index, [&](RequestTeam &Team) {
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

void finishSlot(RequestQueue &Queue, std::string_view Team, core::Duration Held) {
  update(Queue, teamIndex(Queue, Team), [&](RequestTeam &One) {
    if (One.Slots_ == 0)
      return;
    --One.Slots_;
    --Queue.SlotsInUse_;
  });
  const double Ms = std::chrono::duration<double, std::milli>(Held).count();
  Queue.ServiceMs_ += 0.05 * (Ms - Queue.ServiceMs_);
}

bool removeRequest(RequestQueue &Queue, std::string_view Team, std::uint64_t Id) {
  bool Removed = false;
  update(Queue, teamIndex(Queue, Team), [&](RequestTeam &One) {
    Removed = std::erase_if(One.Waiting_, [Id](const auto &It) { return It.Id_ == Id; }) > 0;
  });
  if (Removed)
    --Queue.Waiting_;
  return Removed;
}

std::vector<QueuedRequest> shedExpired(RequestQueue &Queue, core::TimePoint Now) {
  std::vector<QueuedRequest> Expired;
  for (std::size_t I = 0; I < Queue.Teams_.size(); ++I)
    update(Queue, I, [&](RequestTeam &One) {
      std::erase_if(One.Waiting_, [&](QueuedRequest &It) {
        if (It.Deadline_ > Now)
          return false;
        Expired.push_back(std::move(It));
        return true;
      });
    });
  Queue.Waiting_ -= Expired.size();
  return Expired;
}

core::Duration expectedWait(const RequestQueue &Queue, std::string_view Team) {
  const auto Found = Queue.ByName_.find(std::string(Team));
  if (Found == Queue.ByName_.end())
    return {};
  const RequestTeam &One = Queue.Teams_[Found->second];
  return fromMs(waitMs(Queue, One, One.Waiting_.size()));
}

} // namespace masticdrift::policy
