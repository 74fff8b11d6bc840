#include "masticdrift/policy/Explain.h"

#include <algorithm>

namespace masticdrift::policy {
namespace {

std::uint32_t fittingCopies(const Resources &Size, const Resources &Free, std::uint32_t MaxCopies) {
  std::int64_t Count = MaxCopies;
  const auto Need = amounts(Size);
  const auto Available = amounts(Free);
  for (std::size_t I = 0; I < Need.size(); ++I)
    if (Need[I] > 0)
      Count = std::min(Count, std::max<std::int64_t>(0, Available[I]) / Need[I]);
  return static_cast<std::uint32_t>(Count);
}

/// Returns the earliest time at which one task fits on a worker if running tasks end as expected.
std::optional<TimePoint> earliestStart(const CellView &Cell, const PendingJob &Job, TimePoint Now) {
  std::optional<TimePoint> Earliest;
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
      if (!Earliest || End < *Earliest)
        Earliest = End;
      break;
    }
  }
  return Earliest;
}

} // namespace

Explanation explain(const CellView &Cell, const PendingWork &Pending, const Shares &Teams,
                    std::string_view Id, TimePoint Now) {
  Explanation Result;
  const PendingJob *Job = findPending(Pending, Id);
  if (Job == nullptr) {
    Result.Text_ = "the job has no waiting tasks";
    return Result;
  }
  Result.Tasks_ = static_cast<std::uint32_t>(Job->Waiting_.size());
  const auto Reserved = Pending.Reservations_.find(Id);
  if (Reserved != Pending.Reservations_.end() &&
      Reserved->second.EstimatedStart_ != TimePoint::max())
    Result.EstimatedStart_ = std::max(Now, Reserved->second.EstimatedStart_);
  if (const auto Infeasible = findInfeasibility(Cell, *Job)) {
    Result.Reason_ = WaitReason::NoFittingWorker;
    Result.Text_ = "no worker fits: the job requests " + std::to_string(Infeasible->Requested_) +
                   " " + std::string(core::ResourceNames[Infeasible->Kind_]) +
                   (Infeasible->Kind_ == 0 ? " (thousandths)" : "") +
                   ", the largest available amount is " + std::to_string(Infeasible->Largest_);
    return Result;
  }
  const bool Gang = Job->Kind_ == JobKind::Gang;
  const Resources RequestedAtOnce =
      Gang ? Job->Size_ * static_cast<std::int64_t>(Result.Tasks_) : Job->Size_;
  const auto Team = findTeam(Teams, Job->Team_);
  if (Team && !withinLimit(Teams, *Team, RequestedAtOnce)) {
    Result.Reason_ = WaitReason::Limit;
    Result.Text_ = "team " + Job->Team_ + " is at its limit";
    Result.EstimatedStart_.reset();
    return Result;
  }
  if (Reserved != Pending.Reservations_.end() && Reserved->second.Urgent_) {
    Result.Reason_ = WaitReason::FreeingRoom;
    Result.Text_ = "resources are being freed by preemption";
    return Result;
  }
  const TimePoint End = Job->Kind_ == JobKind::Service ? TimePoint::max() : Now + Job->RunTime_;
  std::uint32_t FittingHealthy = 0;
  std::uint32_t FittingUnreserved = 0;
  std::uint32_t FittingQuarantined = 0;
  for (const Worker &Host : Cell.Workers_) {
    if (!Host.Present_ || Host.Leaving_)
      continue;
    const std::uint32_t FittingHere = fittingCopies(Job->Size_, freeOf(Host), Result.Tasks_);
    if (Host.Health_ != Health::Healthy) {
      FittingQuarantined += FittingHere;
      continue;
    }
    FittingHealthy += FittingHere;
    if (FittingHere > 0 && detail::fitsOn(Cell, Host, Job->Size_, Job->Id_, End, Job->Urgent_))
      FittingUnreserved += FittingHere;
  }
  Result.FittingTasks_ = std::min(FittingUnreserved, Result.Tasks_);
  const std::uint32_t Needed = Gang ? Result.Tasks_ : 1;
  bool Outranked = false;
  if (Team)
    for (const TeamQueue &Other : Pending.Teams_) {
      const auto Index = findTeam(Teams, Other.Team_);
      const bool HasWaiting = std::any_of(Other.Waiting_.begin(), Other.Waiting_.end(),
                                          [](const auto &Class) { return !Class.empty(); });
      Outranked = Outranked || (Index && *Index != *Team && HasWaiting &&
                                rankOf(Teams, *Index) < rankOf(Teams, *Team));
    }
  if (FittingUnreserved >= Needed) {
    // The job fits now, so only the order of the queue delays it.
    Result.Reason_ = Outranked ? WaitReason::Share : WaitReason::Next;
    Result.Text_ = Outranked ? "teams further below their share go first" : "the job starts next";
    if (!Outranked)
      Result.EstimatedStart_ = Now;
    return Result;
  }
  if (!Result.EstimatedStart_ && !Gang)
    Result.EstimatedStart_ = earliestStart(Cell, *Job, Now);
  if (FittingHealthy >= Needed) {
    Result.Reason_ = WaitReason::ReservedForGang;
    Result.Text_ =
        "the free resources are reserved for a gang or a large task that has waited longer";
  } else if (FittingHealthy + FittingQuarantined >= Needed) {
    Result.Reason_ = WaitReason::Quarantine;
    Result.Text_ = "the free resources are on quarantined workers";
  } else if (Gang) {
    Result.Reason_ = WaitReason::GangTasks;
    Result.Text_ = "resources are free for " + std::to_string(Result.FittingTasks_) + " of " +
                   std::to_string(Result.Tasks_) + " gang tasks";
  } else if (Outranked) {
    Result.Reason_ = WaitReason::Share;
    Result.Text_ = "all fitting workers are full, and teams further below their share go first";
    // Resources that become free go to those teams first, so there is no estimate.
    Result.EstimatedStart_.reset();
  } else {
    Result.Reason_ = WaitReason::NoRoom;
    Result.Text_ = "all fitting workers are full";
  }
  return Result;
}

} // namespace masticdrift::policy
