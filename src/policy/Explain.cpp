#include "masticdrift/policy/Explain.h"

#include <algorithm>

namespace masticdrift::policy {
namespace {

std::uint32_t copies(const Resources &Size, const Resources &Room, std::uint32_t Most) {
  std::int64_t Count = Most;
  const auto Need = amounts(Size);
  const auto Has = amounts(Room);
  for (std::size_t I = 0; I < Need.size(); ++I)
    if (Need[I] > 0)
      Count = std::min(Count, std::max<std::int64_t>(0, Has[I]) / Need[I]);
  return static_cast<std::uint32_t>(Count);
}

/// Earliest time at which one task fits on a worker if running tasks end as expected.
std::optional<TimePoint> firstRoom(const CellView &Cell, const PendingJob &Job, TimePoint Now) {
  std::optional<TimePoint> First;
  for (const Worker &Host : Cell.Workers_) {
    if (!acceptsWork(Host) || !Host.Reserved_.empty() || !core::fits(Job.Size_, Host.Capacity_))
      continue;
    std::vector<std::pair<TimePoint, PlacementIndex>> Ends;
    for (const PlacementIndex Index : Host.Placements_)
      if (const TimePoint End = expectedEnd(Cell.Placements_[Index], Now); End != TimePoint::max())
        Ends.emplace_back(End, Index);
    std::sort(Ends.begin(), Ends.end());
    Resources Free = freeOf(Host);
    for (const auto &[End, Index] : Ends) {
      Free += Cell.Placements_[Index].Size_;
      if (!core::fits(Job.Size_, Free))
        continue;
      if (!First || End < *First)
        First = End;
      break;
    }
  }
  return First;
}

} // namespace

Explanation explain(const CellView &Cell, const PendingWork &Pending, const Shares &Teams,
                    std::string_view Id, TimePoint Now) {
  Explanation Why;
  const PendingJob *Job = findPending(Pending, Id);
  if (Job == nullptr) {
    Why.Text_ = "the job has no waiting tasks";
    return Why;
  }
  Why.Tasks_ = static_cast<std::uint32_t>(Job->Waiting_.size());
  const auto Kept = Pending.Reservations_.find(Id);
  if (Kept != Pending.Reservations_.end() && Kept->second.EstimatedStart_ != TimePoint::max())
    Why.EstimatedStart_ = std::max(Now, Kept->second.EstimatedStart_);
  if (const auto Never = impossible(Cell, *Job)) {
    Why.Reason_ = WaitReason::NoFittingWorker;
    Why.Text_ = "no fitting worker: asks for " + std::to_string(Never->Asked_) + " " +
                std::string(core::ResourceNames[Never->Kind_]) +
                (Never->Kind_ == 0 ? " (thousandths)" : "") + ", the largest available amount is " +
                std::to_string(Never->Largest_);
    return Why;
  }
  const bool Gang = Job->Kind_ == JobKind::Gang;
  const Resources AtOnce = Gang ? Job->Size_ * static_cast<std::int64_t>(Why.Tasks_) : Job->Size_;
  const auto Team = findTeam(Teams, Job->Team_);
  if (Team && !withinLimit(Teams, *Team, AtOnce)) {
    Why.Reason_ = WaitReason::Limit;
    Why.Text_ = "team " + Job->Team_ + " is at its limit";
    Why.EstimatedStart_.reset();
    return Why;
  }
  if (Kept != Pending.Reservations_.end() && Kept->second.Urgent_) {
    Why.Reason_ = WaitReason::FreeingRoom;
    Why.Text_ = "room is being freed by preemption";
    return Why;
  }
  const TimePoint End = Job->Kind_ == JobKind::Service ? TimePoint::max() : Now + Job->Run_;
  std::uint32_t Free = 0;
  std::uint32_t Unreserved = 0;
  std::uint32_t Quarantined = 0;
  for (const Worker &Host : Cell.Workers_) {
    if (!Host.Present_ || Host.Leaving_)
      continue;
    const std::uint32_t Here = copies(Job->Size_, freeOf(Host), Why.Tasks_);
    if (Host.Health_ != Health::Healthy) {
      Quarantined += Here;
      continue;
    }
    Free += Here;
    if (Here > 0 && detail::fitsOn(Cell, Host, Job->Size_, Job->Id_, End, Job->Urgent_))
      Unreserved += Here;
  }
  Why.FittingTasks_ = std::min(Unreserved, Why.Tasks_);
  const std::uint32_t Needed = Gang ? Why.Tasks_ : 1;
  bool Behind = false;
  if (Team)
    for (const TeamQueue &Other : Pending.Teams_) {
      const auto Index = findTeam(Teams, Other.Team_);
      const bool Waits = std::any_of(Other.Waiting_.begin(), Other.Waiting_.end(),
                                     [](const auto &Class) { return !Class.empty(); });
      Behind = Behind ||
               (Index && *Index != *Team && Waits && rankOf(Teams, *Index) < rankOf(Teams, *Team));
    }
  if (Unreserved >= Needed) {
    // Room for the job is free right now, so only the order of the queue holds it back.
    Why.Reason_ = Behind ? WaitReason::Share : WaitReason::Next;
    Why.Text_ = Behind ? "teams further below their share go first" : "starts next";
    if (!Behind)
      Why.EstimatedStart_ = Now;
    return Why;
  }
  if (!Why.EstimatedStart_ && !Gang)
    Why.EstimatedStart_ = firstRoom(Cell, *Job, Now);
  if (Free >= Needed) {
    Why.Reason_ = WaitReason::ReservedForGang;
    Why.Text_ = "the free room is reserved for a gang or a large task that waits longer";
  } else if (Free + Quarantined >= Needed) {
    Why.Reason_ = WaitReason::Quarantine;
    Why.Text_ = "the free room is on quarantined workers";
  } else if (Gang) {
    Why.Reason_ = WaitReason::GangTasks;
    Why.Text_ = "room for " + std::to_string(Why.FittingTasks_) + " of " +
                std::to_string(Why.Tasks_) + " gang tasks";
  } else if (Behind) {
    Why.Reason_ = WaitReason::Share;
    Why.Text_ = "all fitting workers are full, and teams further below their share go first";
    // Room that appears first goes to those teams.
    Why.EstimatedStart_.reset();
  } else {
    Why.Reason_ = WaitReason::NoRoom;
    Why.Text_ = "all fitting workers are full";
  }
  return Why;
}

} // namespace masticdrift::policy
