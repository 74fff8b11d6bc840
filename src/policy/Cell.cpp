#include "masticdrift/policy/Cell.h"

#include <algorithm>
#include <bit>

namespace masticdrift::policy {
namespace {

/// Maximum number of entries of CellView::FreedLog_; a full log drops its older half.
constexpr std::size_t FreedLogCapacity = 4096;

bool countsInCapacity(const Worker &Host) { return acceptsWork(Host); }

bool isIndexable(const Worker &Host) { return acceptsWork(Host); }

void removeFromIndex(CellView &Cell, WorkerIndex Index) {
  Worker &Host = Cell.Workers_[Index];
  if (Host.BucketIndex_ == UINT32_MAX)
    return;
  detail::FreeIndex &Free = Cell.Index_;
  std::vector<WorkerIndex> &Bucket = Free.WorkersByBucket_[Host.BucketIndex_];
  Bucket[Host.PositionInBucket_] = Bucket.back();
  Cell.Workers_[Bucket.back()].PositionInBucket_ = Host.PositionInBucket_;
  Bucket.pop_back();
  if (Bucket.empty()) {
    constexpr std::uint32_t PerKind = detail::FreeIndex::BucketsPerKind;
    const std::uint32_t OtherBucket = Host.BucketIndex_ % PerKind;
    const std::uint32_t ScarceBucket = Host.BucketIndex_ / PerKind % PerKind;
    const std::uint32_t Level = Host.BucketIndex_ / PerKind / PerKind;
    Free.NonEmptyOther_[Level][ScarceBucket] &= ~(1ULL << OtherBucket);
    if (Free.NonEmptyOther_[Level][ScarceBucket] == 0)
      Free.NonEmptyScarce_[Level] &= ~(1ULL << ScarceBucket);
  }
  Host.BucketIndex_ = UINT32_MAX;
}

void addToIndex(CellView &Cell, WorkerIndex Index) {
  Worker &Host = Cell.Workers_[Index];
  if (!isIndexable(Host))
    return;
  constexpr std::uint32_t PerKind = detail::FreeIndex::BucketsPerKind;
  const Resources Free = freeOf(Host);
  const auto [ScarceBucket, OtherBucket] = detail::bucketsOf(Cell, Free);
  const std::uint32_t Level = detail::levelOf(Free.Accelerators_);
  Host.BucketIndex_ = (Level * PerKind + ScarceBucket) * PerKind + OtherBucket;
  std::vector<WorkerIndex> &Bucket = Cell.Index_.WorkersByBucket_[Host.BucketIndex_];
  Host.PositionInBucket_ = static_cast<std::uint32_t>(Bucket.size());
  Bucket.push_back(Index);
  Cell.Index_.NonEmptyOther_[Level][ScarceBucket] |= 1ULL << OtherBucket;
  Cell.Index_.NonEmptyScarce_[Level] |= 1ULL << ScarceBucket;
}

/// Applies a change to a worker and keeps the cell's capacity and the index consistent.
template <typename Change> void updateWorker(CellView &Cell, WorkerIndex Index, Change Apply) {
  if (Cell.Index_.WorkersByBucket_.empty())
    Cell.Index_.WorkersByBucket_.resize(
        static_cast<std::size_t>(detail::FreeIndex::AcceleratorLevels) *
        detail::FreeIndex::BucketsPerKind * detail::FreeIndex::BucketsPerKind);
  removeFromIndex(Cell, Index);
  Worker &Host = Cell.Workers_[Index];
  if (countsInCapacity(Host))
    Cell.Capacity_ -= Host.Capacity_;
  Apply(Host);
  if (countsInCapacity(Host))
    Cell.Capacity_ += Host.Capacity_;
  addToIndex(Cell, Index);
}

void updateProbingSet(CellView &Cell, WorkerIndex Index) {
  const Worker &Host = Cell.Workers_[Index];
  if (Host.Present_ && !Host.Leaving_ && Host.Health_ == Health::Probing)
    Cell.Probing_.insert(Index);
  else
    Cell.Probing_.erase(Index);
}

std::optional<PlacementIndex> findPlacementIndex(const CellView &Cell, std::string_view Job,
                                                 std::uint32_t Task) {
  const auto Found = Cell.ByJob_.find(std::string(Job));
  if (Found == Cell.ByJob_.end())
    return std::nullopt;
  const auto Entry = Found->second.find(Task);
  if (Entry == Found->second.end())
    return std::nullopt;
  return Entry->second;
}

} // namespace

void recordFreed(CellView &Cell, WorkerIndex Index) {
  if (Cell.FreedLog_.size() >= FreedLogCapacity) {
    const auto Half = static_cast<std::ptrdiff_t>(FreedLogCapacity / 2);
    Cell.FreedLog_.erase(Cell.FreedLog_.begin(), Cell.FreedLog_.begin() + Half);
    Cell.FreedLogStart_ += FreedLogCapacity / 2;
  }
  Cell.FreedLog_.push_back(Index);
}

namespace detail {

std::uint32_t bucketOf(std::int64_t Units) {
  if (Units < 4)
    return static_cast<std::uint32_t>(std::max<std::int64_t>(Units, 0));
  const auto Value = static_cast<std::uint64_t>(Units);
  const auto Exponent = static_cast<std::uint32_t>(std::bit_width(Value) - 1); // at least 2
  const auto Quarter = static_cast<std::uint32_t>(Value >> (Exponent - 2) & 3);
  return std::min(4 * (Exponent - 1) + Quarter, FreeIndex::BucketsPerKind - 1);
}

std::pair<std::uint32_t, std::uint32_t> bucketsOf(const CellView &Cell, const Resources &Amount) {
  // In units of 0.1 core and of 128 MB, 48 buckets cover 800 cores and 1 TB.
  const std::uint32_t Cores = bucketOf(Amount.MilliCores_ / 100);
  const std::uint32_t Memory = bucketOf(Amount.MemoryMb_ / 128);
  return Cell.ScarceResource_ == 0 ? std::pair{Cores, Memory} : std::pair{Memory, Cores};
}

std::uint32_t levelOf(std::int64_t Accelerators) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Accelerators, 0, FreeIndex::AcceleratorLevels - 1));
}

} // namespace detail

WorkerIndex addWorker(CellView &Cell, std::string_view Name, std::string_view Rack,
                      const Resources &Capacity, bool Leaving) {
  const auto [Found, IsNew] = Cell.WorkersByName_.try_emplace(
      std::string(Name), static_cast<WorkerIndex>(Cell.Workers_.size()));
  const WorkerIndex Index = Found->second;
  if (IsNew) {
    Cell.Workers_.push_back({.Name_ = std::string(Name), .Present_ = false});
    Cell.Workers_.back().Rack_ = Rack;
    Cell.Racks_[std::string(Rack)].push_back(Index);
  } else if (Cell.Workers_[Index].Rack_ != Rack) {
    std::erase(Cell.Racks_[Cell.Workers_[Index].Rack_], Index);
    Cell.Workers_[Index].Rack_ = Rack;
    Cell.Racks_[std::string(Rack)].push_back(Index);
  }
  const Worker &Old = Cell.Workers_[Index];
  if (Old.Present_ && Old.Capacity_ == Capacity && Old.Leaving_ == Leaving)
    return Index;
  if (!Old.Present_)
    ++Cell.PresentWorkers_;
  updateWorker(Cell, Index, [&](Worker &Host) {
    Host.Capacity_ = Capacity;
    Host.Leaving_ = Leaving;
    Host.Present_ = true;
  });
  updateProbingSet(Cell, Index);
  recordFreed(Cell, Index);
  return Index;
}

void removeWorker(CellView &Cell, std::string_view Name) {
  const auto Found = findWorker(Cell, Name);
  if (!Found || !Cell.Workers_[*Found].Present_)
    return;
  --Cell.PresentWorkers_;
  updateWorker(Cell, *Found, [](Worker &Host) {
    Host.Present_ = false;
    Host.Reserved_.clear();
  });
  updateProbingSet(Cell, *Found);
}

void setLeaving(CellView &Cell, WorkerIndex Index, bool Leaving) {
  updateWorker(Cell, Index, [=](Worker &Host) { Host.Leaving_ = Leaving; });
  updateProbingSet(Cell, Index);
  recordFreed(Cell, Index);
}

void setHealth(CellView &Cell, WorkerIndex Index, Health NewHealth) {
  updateWorker(Cell, Index, [=](Worker &Host) { Host.Health_ = NewHealth; });
  updateProbingSet(Cell, Index);
  recordFreed(Cell, Index);
}

std::optional<WorkerIndex> findWorker(const CellView &Cell, std::string_view Name) {
  const auto Found = Cell.WorkersByName_.find(std::string(Name));
  if (Found == Cell.WorkersByName_.end())
    return std::nullopt;
  return Found->second;
}

PlacementIndex place(CellView &Cell, WorkerIndex HostIndex, Placement NewPlacement) {
  if (const auto Existing = findPlacementIndex(Cell, NewPlacement.Job_, NewPlacement.Task_))
    return *Existing;
  PlacementIndex Index = 0;
  if (Cell.FreePlacements_.empty()) {
    Index = static_cast<PlacementIndex>(Cell.Placements_.size());
    Cell.Placements_.emplace_back();
  } else {
    Index = Cell.FreePlacements_.back();
    Cell.FreePlacements_.pop_back();
  }
  NewPlacement.Worker_ = HostIndex;
  NewPlacement.InUse_ = true;
  NewPlacement.FullSize_ = NewPlacement.Size_;
  Cell.ByJob_[NewPlacement.Job_][NewPlacement.Task_] = Index;
  if (NewPlacement.Kind_ == JobKind::Service)
    ++Cell.ServiceRacks_[NewPlacement.Job_][Cell.Workers_[HostIndex].Rack_];
  Cell.Used_ += NewPlacement.Size_;
  updateWorker(Cell, HostIndex, [&](Worker &Host) {
    Host.Used_ += NewPlacement.Size_;
    Host.Placements_.push_back(Index);
  });
  Cell.Placements_[Index] = std::move(NewPlacement);
  return Index;
}

namespace {

std::optional<Placement> remove(CellView &Cell, std::string_view Job, std::uint32_t Task) {
  const auto Found = Cell.ByJob_.find(std::string(Job));
  if (Found == Cell.ByJob_.end())
    return std::nullopt;
  const auto Entry = Found->second.find(Task);
  if (Entry == Found->second.end())
    return std::nullopt;
  const PlacementIndex Index = Entry->second;
  Found->second.erase(Entry);
  if (Found->second.empty())
    Cell.ByJob_.erase(Found);
  Placement Removed = std::move(Cell.Placements_[Index]);
  Cell.Placements_[Index] = {};
  Cell.FreePlacements_.push_back(Index);
  if (Removed.Kind_ == JobKind::Service) {
    const auto Racks = Cell.ServiceRacks_.find(Removed.Job_);
    const auto Rack = Racks->second.find(Cell.Workers_[Removed.Worker_].Rack_);
    if (Rack != Racks->second.end() && --Rack->second == 0)
      Racks->second.erase(Rack);
    if (Racks->second.empty())
      Cell.ServiceRacks_.erase(Racks);
  }
  Cell.Used_ -= Removed.Size_;
  updateWorker(Cell, Removed.Worker_, [&](Worker &Host) {
    Host.Used_ -= Removed.Size_;
    const auto Position = std::find(Host.Placements_.begin(), Host.Placements_.end(), Index);
    *Position = Host.Placements_.back();
    Host.Placements_.pop_back();
  });
  return Removed;
}

} // namespace

std::optional<Placement> release(CellView &Cell, std::string_view Job, std::uint32_t Task) {
  std::optional<Placement> Removed = remove(Cell, Job, Task);
  if (Removed)
    recordFreed(Cell, Removed->Worker_);
  return Removed;
}

void undoPlace(CellView &Cell, std::string_view Job, std::uint32_t Task) {
  remove(Cell, Job, Task);
}

void applyThrottle(CellView &Cell, std::string_view Job, std::uint32_t Task) {
  const auto Found = findPlacementIndex(Cell, Job, Task);
  if (!Found)
    return;
  Placement &Placed = Cell.Placements_[*Found];
  Placed.PendingPreemption_.reset();
  if (Placed.Throttled_)
    return;
  Placed.Throttled_ = true;
  const Resources Before = Placed.Size_;
  Placed.Size_ = throttledSize(Placed.FullSize_);
  Cell.Used_ += Placed.Size_ - Before;
  const Resources Change = Placed.Size_ - Before;
  updateWorker(Cell, Placed.Worker_, [&](Worker &Host) { Host.Used_ += Change; });
  recordFreed(Cell, Placed.Worker_);
}

void preemptFailed(CellView &Cell, std::string_view Job, std::uint32_t Task) {
  if (const auto Found = findPlacementIndex(Cell, Job, Task))
    Cell.Placements_[*Found].PendingPreemption_.reset();
}

const Placement *findPlacement(const CellView &Cell, std::string_view Job, std::uint32_t Task) {
  const auto Found = findPlacementIndex(Cell, Job, Task);
  return Found ? &Cell.Placements_[*Found] : nullptr;
}

Resources throttledSize(const Resources &Full) {
  return {Full.MilliCores_ / 4, Full.MemoryMb_, Full.Accelerators_};
}

void reserve(CellView &Cell, WorkerIndex HostIndex, WorkerReservation NewReservation) {
  Cell.Workers_[HostIndex].Reserved_.push_back(std::move(NewReservation));
}

void unreserve(CellView &Cell, WorkerIndex HostIndex, std::string_view Job) {
  if (std::erase_if(Cell.Workers_[HostIndex].Reserved_,
                    [Job](const WorkerReservation &Reserved) { return Reserved.Job_ == Job; }) > 0)
    recordFreed(Cell, HostIndex);
}

void updateScarceResource(CellView &Cell) {
  const auto Used = amounts(Cell.Used_);
  const auto Capacity = amounts(Cell.Capacity_);
  if (Capacity[0] <= 0 || Capacity[1] <= 0)
    return;
  const double Cores = static_cast<double>(Used[0]) / static_cast<double>(Capacity[0]);
  const double Memory = static_cast<double>(Used[1]) / static_cast<double>(Capacity[1]);
  // The margin of 0.05 prevents repeated rebuilds when both resources are used about equally.
  const std::size_t Scarce =
      Cell.ScarceResource_ == 0 ? (Memory > Cores + 0.05 ? 1 : 0) : (Cores > Memory + 0.05 ? 0 : 1);
  if (Scarce == Cell.ScarceResource_)
    return;
  for (WorkerIndex I = 0; I < Cell.Workers_.size(); ++I)
    removeFromIndex(Cell, I);
  Cell.ScarceResource_ = Scarce;
  for (WorkerIndex I = 0; I < Cell.Workers_.size(); ++I)
    addToIndex(Cell, I);
}

double utilization(const CellView &Cell) {
  const auto Used = amounts(Cell.Used_);
  const auto Capacity = amounts(Cell.Capacity_);
  double Highest = 0;
  for (std::size_t I = 0; I < Used.size(); ++I)
    if (Capacity[I] > 0)
      Highest = std::max(Highest, static_cast<double>(Used[I]) / static_cast<double>(Capacity[I]));
  return Highest;
}

std::string checkCell(const CellView &Cell) {
  std::string Faults;
  Resources Used;
  std::vector<Resources> PerWorker(Cell.Workers_.size());
  std::size_t InUse = 0;
  for (const Placement &Placed : Cell.Placements_) {
    if (!Placed.InUse_)
      continue;
    ++InUse;
    Used += Placed.Size_;
    PerWorker[Placed.Worker_] += Placed.Size_;
  }
  if (Used != Cell.Used_)
    Faults += "sum of the placements' sizes differs from Used_; ";
  if (InUse + Cell.FreePlacements_.size() != Cell.Placements_.size())
    Faults += "number of free placement entries is wrong; ";
  Resources Capacity;
  for (WorkerIndex I = 0; I < Cell.Workers_.size(); ++I) {
    const Worker &Host = Cell.Workers_[I];
    if (Host.Used_ != PerWorker[I])
      Faults += "worker " + Host.Name_ + ": Used_ differs from the sum of its placements; ";
    if (countsInCapacity(Host))
      Capacity += Host.Capacity_;
    if ((Host.BucketIndex_ != UINT32_MAX) != isIndexable(Host))
      Faults += "worker " + Host.Name_ + ": must be indexed if and only if it accepts work; ";
    else if (Host.BucketIndex_ != UINT32_MAX &&
             Cell.Index_.WorkersByBucket_[Host.BucketIndex_][Host.PositionInBucket_] != I)
      Faults +=
          "worker " + Host.Name_ + ": index bucket does not contain it at the recorded position; ";
  }
  if (Capacity != Cell.Capacity_)
    Faults += "sum of the workers' capacities differs from Capacity_; ";
  return Faults;
}

} // namespace masticdrift::policy
