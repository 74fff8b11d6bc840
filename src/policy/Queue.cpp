#include "masticdrift/policy/Queue.h"

#include <algorithm>

namespace masticdrift::policy {
namespace {

/// Rounds up to a power of four, at most 2^30. The coarse steps keep the number of shapes small.
std::int64_t nextPowerOfFour(std::int64_t Min) {
  std::int64_t Value = 1;
  while (Value < Min && Value < (std::int64_t{1} << 30))
    Value *= 4;
  return Value;
}

auto shapeKey(const PendingJob &Job) {
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Job.RunTime_).count();
  const std::int64_t Run = Job.Kind_ == JobKind::Service ? 0 : nextPowerOfFour(Seconds + 1);
  const std::uint32_t Tasks =
      Job.Kind_ == JobKind::Gang ? static_cast<std::uint32_t>(Job.Waiting_.size()) : 1;
  return std::tuple{Job.Kind_, Job.Urgent_, Job.Idempotent_, amounts(Job.Size_), Tasks, Run};
}

ShapeIndex findOrAddShape(PendingWork &Pending, const PendingJob &Job) {
  const auto Key = shapeKey(Job);
  const auto Found = Pending.ShapesByKey_.find(Key);
  if (Found != Pending.ShapesByKey_.end())
    return Found->second;
  ShapeIndex Index = 0;
  if (Pending.FreeShapes_.empty()) {
    Index = static_cast<ShapeIndex>(Pending.Shapes_.size());
    Pending.Shapes_.emplace_back();
  } else {
    Index = Pending.FreeShapes_.back();
    Pending.FreeShapes_.pop_back();
  }
  Pending.Shapes_[Index] = {.Kind_ = Job.Kind_,
                            .Urgent_ = Job.Urgent_,
                            .Idempotent_ = Job.Idempotent_,
                            .Size_ = Job.Size_,
                            .Tasks_ = std::get<4>(Key),
                            .RunTime_ = std::chrono::seconds(std::get<5>(Key))};
  Pending.ShapesByKey_.emplace(Key, Index);
  return Index;
}

std::uint32_t findOrAddQueue(PendingWork &Pending, const std::string &Team) {
  const auto [Found, IsNew] =
      Pending.TeamsByName_.try_emplace(Team, static_cast<std::uint32_t>(Pending.Teams_.size()));
  if (IsNew)
    Pending.Teams_.push_back({.Team_ = Team});
  return Found->second;
}

void addToQueues(PendingWork &Pending, JobIndex Index) {
  PendingJob &Job = Pending.Jobs_[Index];
  const auto Class = static_cast<std::size_t>(classOf(Job));
  const ShapeIndex ShapeId = findOrAddShape(Pending, Job);
  Job.Shape_ = ShapeId;
  Shape &JobShape = Pending.Shapes_[ShapeId];
  if (JobShape.Jobs_++ == 0) {
    JobShape.PositionInActive_ = static_cast<std::uint32_t>(Pending.ActiveShapes_[Class].size());
    Pending.ActiveShapes_[Class].push_back(ShapeId);
  }
  const AgeKey Age{Job.QueuedAt_, Job.Sequence_, Index, ShapeId};
  const std::uint32_t QueueIndex = findOrAddQueue(Pending, Job.Team_);
  JobShape.Waiting_[QueueIndex].insert(Age);
  Pending.Teams_[QueueIndex].Waiting_[Class].insert(Age);
}

void removeFromQueues(PendingWork &Pending, JobIndex Index) {
  const PendingJob &Job = Pending.Jobs_[Index];
  const auto Class = static_cast<std::size_t>(classOf(Job));
  const ShapeIndex ShapeId = Job.Shape_;
  Shape &JobShape = Pending.Shapes_[ShapeId];
  const AgeKey Age{Job.QueuedAt_, Job.Sequence_, Index, ShapeId};
  const std::uint32_t QueueIndex = findOrAddQueue(Pending, Job.Team_);
  Pending.Teams_[QueueIndex].Waiting_[Class].erase(Age);
  const auto Found = JobShape.Waiting_.find(QueueIndex);
  Found->second.erase(Age);
  if (Found->second.empty())
    JobShape.Waiting_.erase(Found);
  if (--JobShape.Jobs_ > 0)
    return;
  std::vector<ShapeIndex> &ActiveShapes = Pending.ActiveShapes_[Class];
  ActiveShapes[JobShape.PositionInActive_] = ActiveShapes.back();
  Pending.Shapes_[ActiveShapes.back()].PositionInActive_ = JobShape.PositionInActive_;
  ActiveShapes.pop_back();
  Pending.ShapesByKey_.erase(shapeKey(Job));
  Pending.FreeShapes_.push_back(ShapeId);
}

void freeJobEntry(PendingWork &Pending, JobIndex Index) {
  Pending.ById_.erase(Pending.Jobs_[Index].Id_);
  Pending.Jobs_[Index] = {};
  Pending.FreeJobs_.push_back(Index);
}

} // namespace

WorkClass classOf(const PendingJob &Job) {
  if (Job.Urgent_)
    return WorkClass::Urgent;
  return Job.Kind_ == JobKind::Service ? WorkClass::Service : WorkClass::Ordinary;
}

void addPending(PendingWork &Pending, PendingJob Job) {
  if (Job.Waiting_.empty())
    return;
  const auto Existing = Pending.ById_.find(Job.Id_);
  if (Existing != Pending.ById_.end()) {
    const JobIndex Index = Existing->second;
    removeFromQueues(Pending, Index);
    std::vector<std::uint32_t> &Waiting = Pending.Jobs_[Index].Waiting_;
    Pending.WaitingTasks_ -= Waiting.size();
    Waiting.insert(Waiting.end(), Job.Waiting_.begin(), Job.Waiting_.end());
    std::sort(Waiting.begin(), Waiting.end(), std::greater<>());
    Waiting.erase(std::unique(Waiting.begin(), Waiting.end()), Waiting.end());
    Pending.WaitingTasks_ += Waiting.size();
    addToQueues(Pending, Index);
    return;
  }
  JobIndex Index = 0;
  if (Pending.FreeJobs_.empty()) {
    Index = static_cast<JobIndex>(Pending.Jobs_.size());
    Pending.Jobs_.emplace_back();
  } else {
    Index = Pending.FreeJobs_.back();
    Pending.FreeJobs_.pop_back();
  }
  Job.Sequence_ = Pending.NextSequence_++;
  std::sort(Job.Waiting_.begin(), Job.Waiting_.end(), std::greater<>());
  Job.Waiting_.erase(std::unique(Job.Waiting_.begin(), Job.Waiting_.end()), Job.Waiting_.end());
  Pending.WaitingTasks_ += Job.Waiting_.size();
  Pending.ById_.emplace(Job.Id_, Index);
  Pending.Jobs_[Index] = std::move(Job);
  addToQueues(Pending, Index);
}

const PendingJob *findPending(const PendingWork &Pending, std::string_view Id) {
  const auto Found = Pending.ById_.find(std::string(Id));
  return Found == Pending.ById_.end() ? nullptr : &Pending.Jobs_[Found->second];
}

bool cancel(PendingWork &Pending, std::string_view Id) {
  const auto Found = Pending.ById_.find(std::string(Id));
  if (Found == Pending.ById_.end())
    return false;
  const JobIndex Index = Found->second;
  Pending.WaitingTasks_ -= Pending.Jobs_[Index].Waiting_.size();
  removeFromQueues(Pending, Index);
  freeJobEntry(Pending, Index);
  return true;
}

std::size_t cancelSome(PendingWork &Pending, std::vector<std::string> &Ids, std::size_t MaxJobs) {
  std::size_t Cancelled = 0;
  for (; MaxJobs > 0 && !Ids.empty(); --MaxJobs) {
    Cancelled += cancel(Pending, Ids.back()) ? 1 : 0;
    Ids.pop_back();
  }
  return Cancelled;
}

std::vector<std::uint32_t> takeWaiting(PendingWork &Pending, std::string_view Id) {
  const auto Found = Pending.ById_.find(std::string(Id));
  if (Found == Pending.ById_.end())
    return {};
  const JobIndex Index = Found->second;
  PendingJob &Job = Pending.Jobs_[Index];
  std::vector<std::uint32_t> Taken;
  if (Job.Kind_ == JobKind::Gang) {
    removeFromQueues(Pending, Index);
    Taken.assign(Job.Waiting_.rbegin(), Job.Waiting_.rend());
    freeJobEntry(Pending, Index);
  } else if (Job.Waiting_.size() == 1) {
    Taken = Job.Waiting_;
    removeFromQueues(Pending, Index);
    freeJobEntry(Pending, Index);
  } else {
    // Only a gang's shape depends on the number of waiting tasks.
    Taken.push_back(Job.Waiting_.back());
    Job.Waiting_.pop_back();
  }
  Pending.WaitingTasks_ -= Taken.size();
  return Taken;
}

std::optional<Infeasibility> findInfeasibility(const CellView &Cell, const PendingJob &Job) {
  const auto Need = amounts(Job.Size_);
  std::array<std::int64_t, core::ResourceKinds> Largest{};
  std::array<std::int64_t, core::ResourceKinds> LargestWithOthers{};
  Resources Sum;
  std::int64_t FittingTasks = 0;
  const auto Tasks = static_cast<std::int64_t>(Job.Waiting_.size());
  for (const Worker &Host : Cell.Workers_) {
    if (!Host.Present_ || Host.Leaving_)
      continue;
    const auto Capacity = amounts(Host.Capacity_);
    Sum += Host.Capacity_;
    std::int64_t FittingHere = Tasks;
    for (std::size_t I = 0; I < Need.size(); ++I) {
      Largest[I] = std::max(Largest[I], Capacity[I]);
      bool OthersFit = true;
      for (std::size_t J = 0; J < Need.size(); ++J)
        OthersFit = OthersFit && (J == I || Need[J] <= Capacity[J]);
      if (OthersFit)
        LargestWithOthers[I] = std::max(LargestWithOthers[I], Capacity[I]);
      if (Need[I] > 0)
        FittingHere = std::min(FittingHere, Capacity[I] / Need[I]);
    }
    FittingTasks += FittingHere;
  }
  for (std::size_t I = 0; I < Need.size(); ++I)
    if (Need[I] > Largest[I])
      return Infeasibility{I, Need[I], Largest[I]};
  // Each amount is available on some worker, but no worker has all of them: report the resource
  // that comes closest.
  if (FittingTasks == 0) {
    std::size_t Closest = 0;
    double BestFraction = -1;
    for (std::size_t I = 0; I < Need.size(); ++I) {
      if (Need[I] <= 0)
        continue;
      const double Fraction =
          static_cast<double>(LargestWithOthers[I]) / static_cast<double>(Need[I]);
      if (Fraction > BestFraction) {
        BestFraction = Fraction;
        Closest = I;
      }
    }
    return Infeasibility{Closest, Need[Closest], LargestWithOthers[Closest]};
  }
  if (Job.Kind_ != JobKind::Gang || FittingTasks >= Tasks)
    return std::nullopt;
  // Report the resource of which the gang needs the largest fraction of the cell's capacity.
  const auto CellCapacity = amounts(Sum);
  std::size_t Bottleneck = 0;
  double LargestFraction = -1;
  for (std::size_t I = 0; I < Need.size(); ++I) {
    if (Need[I] <= 0)
      continue;
    const double Fraction =
        static_cast<double>(Need[I] * Tasks) / static_cast<double>(CellCapacity[I]);
    if (Fraction > LargestFraction) {
      LargestFraction = Fraction;
      Bottleneck = I;
    }
  }
  return Infeasibility{Bottleneck, Need[Bottleneck] * Tasks, Need[Bottleneck] * FittingTasks};
}

} // namespace masticdrift::policy
