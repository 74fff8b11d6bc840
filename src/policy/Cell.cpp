#include "masticdrift/policy/Cell.h"

#include <algorithm>
#include <bit>

namespace masticdrift::policy {
namespace {

/// Size of the log of freed workers; older entries are dropped by half.
constexpr std::size_t FreedKept = 4096;

bool counts(const Worker &One) { return acceptsWork(One); }

bool indexed(const Worker &One) { return acceptsWork(One); }

void indexRemove(CellView &Cell, WorkerIndex Index) {
  Worker &One = Cell.Workers_[Index];
  if (One.Bucket_ == UINT32_MAX)
    return;
  detail::FreeIndex &Free = Cell.Index_;
  std::vector<WorkerIndex> &Bucket = Free.Cells_[One.Bucket_];
  Bucket[One.Position_] = Bucket.back();
  Cell.Workers_[Bucket.back()].Position_ = One.Position_;
  Bucket.pop_back();
  if (Bucket.empty()) {
    constexpr std::uint32_t N = detail::FreeIndex::Buckets;
    const std::uint32_t Other = One.Bucket_ % N;
    const std::uint32_t Row = One.Bucket_ / N % N;
    const std::uint32_t Level = One.Bucket_ / N / N;
    Free.Filled_[Level][Row] &= ~(1ULL << Other);
    if (Free.Filled_[Level][Row] == 0)
      Free.FilledRows_[Level] &= ~(1ULL << Row);
  }
  One.Bucket_ = UINT32_MAX;
}

void indexAdd(CellView &Cell, WorkerIndex Index) {
  Worker &One = Cell.Workers_[Index];
  if (!indexed(One))
    return;
  constexpr std::uint32_t N = detail::FreeIndex::Buckets;
  const Resources Free = freeOf(One);
  const auto [Row, Other] = detail::bucketsOf(Cell, Free);
  const std::uint32_t Level = detail::levelOf(Free.Accelerators_);
  One.Bucket_ = (Level * N + Row) * N + Other;
  std::vector<WorkerIndex> &Bucket = Cell.Index_.Cells_[One.Bucket_];
  One.Position_ = static_cast<std::uint32_t>(Bucket.size());
  Bucket.push_back(Index);
  Cell.Index_.Filled_[Level][Row] |= 1ULL << Other;
  Cell.Index_.FilledRows_[Level] |= 1ULL << Row;
}

/// Changes a worker and keeps the sums and the index.
template <typename Change> void update(CellView &Cell, WorkerIndex Index, Change Apply) {
  if (Cell.Index_.Cells_.empty())
    Cell.Index_.Cells_.resize(static_cast<std::size_t>(detail::FreeIndex::AcceleratorLevels) *
                              detail::FreeIndex::Buckets * detail::FreeIndex::Buckets);
  indexRemove(Cell, Index);
  Worker &One = Cell.Workers_[Index];
  if (counts(One))
    Cell.Capacity_ -= One.Capacity_;
  Apply(One);
  if (counts(One))
    Cell.Capacity_ += One.Capacity_;
  indexAdd(Cell, Index);
}

void syncProbing(CellView &Cell, WorkerIndex Index) {
  const Worker &One = Cell.Workers_[Index];
  if (One.Present_ && !One.Leaving_ && One.Health_ == Health::Probing)
    Cell.Probing_.insert(Index);
  else
    Cell.Probing_.erase(Index);
}

std::optional<PlacementIndex> findIndex(const CellView &Cell, std::string_view Job,
                                        std::uint32_t Task) {
  const auto Found = Cell.ByJob_.find(std::string(Job));
  if (Found == Cell.ByJob_.end())
    return std::nullopt;
  const auto One = Found->second.find(Task);
  if (One == Found->second.end())
    return std::nullopt;
  return One->second;
}

} // namespace

void noteRoom(CellView &Cell, WorkerIndex Index) {
  if (Cell.Freed_.size() >= FreedKept) {
    const auto Half = static_cast<std::ptrdiff_t>(FreedKept / 2);
    Cell.Freed_.erase(Cell.Freed_.begin(), Cell.Freed_.begin() + Half);
    Cell.FreedBase_ += FreedKept / 2;
  }
  Cell.Freed_.push_back(Index);
}

namespace detail {

std::uint32_t bucketOf(std::int64_t Units) {
  if (Units < 4)
    return static_cast<std::uint32_t>(std::max<std::int64_t>(Units, 0));
  const auto Value = static_cast<std::uint64_t>(Units);
  const auto Log = static_cast<std::uint32_t>(std::bit_width(Value) - 1); // at least 2
  const auto Sub = static_cast<std::uint32_t>(Value >> (Log - 2) & 3);
  return std::min(4 * (Log - 1) + Sub, FreeIndex::Buckets - 1);
}

std::pair<std::uint32_t, std::uint32_t> bucketsOf(const CellView &Cell, const Resources &Amount) {
  // Units of a tenth of a core and of 128 MB: 48 buckets reach 800 cores and 1 TB.
  const std::uint32_t Cores = bucketOf(Amount.MilliCores_ / 100);
  const std::uint32_t Memory = bucketOf(Amount.MemoryMb_ / 128);
  return Cell.Scarce_ == 0 ? std::pair{Cores, Memory} : std::pair{Memory, Cores};
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
    ++Cell.Present_;
  update(Cell, Index, [&](Worker &One) {
    One.Capacity_ = Capacity;
    One.Leaving_ = Leaving;
    One.Present_ = true;
  });
  syncProbing(Cell, Index);
  noteRoom(Cell, Index);
  return Index;
}

void removeWorker(CellView &Cell, std::string_view Name) {
  const auto Found = findWorker(Cell, Name);
  if (!Found || !Cell.Workers_[*Found].Present_)
    return;
  --Cell.Present_;
  update(Cell, *Found, [](Worker &One) {
    One.Present_ = false;
    One.Reserved_.clear();
  });
  syncProbing(Cell, *Found);
}

void setLeaving(CellView &Cell, WorkerIndex Index, bool Leaving) {
  update(Cell, Index, [=](Worker &One) { One.Leaving_ = Leaving; });
  syncProbing(Cell, Index);
  noteRoom(Cell, Index);
}

void setHealth(CellView &Cell, WorkerIndex Index, Health Value) {
  update(Cell, Index, [=](Worker &One) { One.Health_ = Value; });
  syncProbing(Cell, Index);
  noteRoom(Cell, Index);
}

std::optional<WorkerIndex> findWorker(const CellView &Cell, std::string_view Name) {
  const auto Found = Cell.WorkersByName_.find(std::string(Name));
  if (Found == Cell.WorkersByName_.end())
    return std::nullopt;
  return Found->second;
}

PlacementIndex place(CellView &Cell, WorkerIndex Where, Placement What) {
  if (const auto Known = findIndex(Cell, What.Job_, What.Task_))
    return *Known;
  PlacementIndex Index = 0;
  if (Cell.FreePlacements_.empty()) {
    Index = static_cast<PlacementIndex>(Cell.Placements_.size());
    Cell.Placements_.emplace_back();
  } else {
    Index = Cell.FreePlacements_.back();
    Cell.FreePlacements_.pop_back();
  }
  What.Worker_ = Where;
  What.Live_ = true;
  What.FullSize_ = What.Size_;
  Cell.ByJob_[What.Job_][What.Task_] = Index;
  if (What.Kind_ == JobKind::Service)
    ++Cell.ServiceRacks_[What.Job_][Cell.Workers_[Where].Rack_];
  Cell.Used_ += What.Size_;
  update(Cell, Where, [&](Worker &One) {
    One.Used_ += What.Size_;
    One.Placements_.push_back(Index);
  });
  Cell.Placements_[Index] = std::move(What);
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
  Placement Gone = std::move(Cell.Placements_[Index]);
  Cell.Placements_[Index] = {};
  Cell.FreePlacements_.push_back(Index);
  if (Gone.Kind_ == JobKind::Service) {
    const auto Racks = Cell.ServiceRacks_.find(Gone.Job_);
    const auto Rack = Racks->second.find(Cell.Workers_[Gone.Worker_].Rack_);
    if (Rack != Racks->second.end() && --Rack->second == 0)
      Racks->second.erase(Rack);
    if (Racks->second.empty())
      Cell.ServiceRacks_.erase(Racks);
  }
  Cell.Used_ -= Gone.Size_;
  update(Cell, Gone.Worker_, [&](Worker &One) {
    One.Used_ -= Gone.Size_;
    const auto At = std::find(One.Placements_.begin(), One.Placements_.end(), Index);
    *At = One.Placements_.back();
    One.Placements_.pop_back();
  });
  return Gone;
}

} // namespace

std::optional<Placement> release(CellView &Cell, std::string_view Job, std::uint32_t Task) {
  std::optional<Placement> Gone = remove(Cell, Job, Task);
  if (Gone)
    noteRoom(Cell, Gone->Worker_);
  return Gone;
}

void unplace(CellView &Cell, std::string_view Job, std::uint32_t Task) { remove(Cell, Job, Task); }

void throttled(CellView &Cell, std::string_view Job, std::uint32_t Task) {
  const auto Found = findIndex(Cell, Job, Task);
  if (!Found)
    return;
  Placement &One = Cell.Placements_[*Found];
  One.Preempting_.reset();
  if (One.Throttled_)
    return;
  One.Throttled_ = true;
  const Resources Before = One.Size_;
  One.Size_ = throttledSize(One.FullSize_);
  Cell.Used_ += One.Size_ - Before;
  const Resources Change = One.Size_ - Before;
  update(Cell, One.Worker_, [&](Worker &Host) { Host.Used_ += Change; });
  noteRoom(Cell, One.Worker_);
}

void preemptFailed(CellView &Cell, std::string_view Job, std::uint32_t Task) {
  if (const auto Found = findIndex(Cell, Job, Task))
    Cell.Placements_[*Found].Preempting_.reset();
}

const Placement *findPlacement(const CellView &Cell, std::string_view Job, std::uint32_t Task) {
  const auto Found = findIndex(Cell, Job, Task);
  return Found ? &Cell.Placements_[*Found] : nullptr;
}

Resources throttledSize(const Resources &Full) {
  return {Full.MilliCores_ / 4, Full.MemoryMb_, Full.Accelerators_};
}

void reserve(CellView &Cell, WorkerIndex Where, ReservedPart Part) {
  Cell.Workers_[Where].Reserved_.push_back(std::move(Part));
}

void unreserve(CellView &Cell, WorkerIndex Where, std::string_view Job) {
  if (std::erase_if(Cell.Workers_[Where].Reserved_,
                    [Job](const ReservedPart &One) { return One.Job_ == Job; }) > 0)
    noteRoom(Cell, Where);
}

void refreshScarce(CellView &Cell) {
  const auto Used = amounts(Cell.Used_);
  const auto Capacity = amounts(Cell.Capacity_);
  if (Capacity[0] <= 0 || Capacity[1] <= 0)
    return;
  const double Cores = static_cast<double>(Used[0]) / static_cast<double>(Capacity[0]);
  const double Memory = static_cast<double>(Used[1]) / static_cast<double>(Capacity[1]);
  // The margin prevents rebuilding the index when both are used about equally.
  const std::size_t Scarce =
      Cell.Scarce_ == 0 ? (Memory > Cores + 0.05 ? 1 : 0) : (Cores > Memory + 0.05 ? 0 : 1);
  if (Scarce == Cell.Scarce_)
    return;
  for (WorkerIndex I = 0; I < Cell.Workers_.size(); ++I)
    indexRemove(Cell, I);
  Cell.Scarce_ = Scarce;
  for (WorkerIndex I = 0; I < Cell.Workers_.size(); ++I)
    indexAdd(Cell, I);
}

double usedPart(const CellView &Cell) {
  const auto Used = amounts(Cell.Used_);
  const auto Capacity = amounts(Cell.Capacity_);
  double Most = 0;
  for (std::size_t I = 0; I < Used.size(); ++I)
    if (Capacity[I] > 0)
      Most = std::max(Most, static_cast<double>(Used[I]) / static_cast<double>(Capacity[I]));
  return Most;
}

std::string checkCell(const CellView &Cell) {
  std::string Faults;
  Resources Used;
  std::vector<Resources> PerWorker(Cell.Workers_.size());
  std::size_t Live = 0;
  for (const Placement &One : Cell.Placements_) {
    if (!One.Live_)
      continue;
    ++Live;
    Used += One.Size_;
    PerWorker[One.Worker_] += One.Size_;
  }
  if (Used != Cell.Used_)
    Faults += "sum of placements differs from Used_; ";
  if (Live + Cell.FreePlacements_.size() != Cell.Placements_.size())
    Faults += "free placements are miscounted; ";
  Resources Capacity;
  for (WorkerIndex I = 0; I < Cell.Workers_.size(); ++I) {
    const Worker &One = Cell.Workers_[I];
    if (One.Used_ != PerWorker[I])
      Faults += "worker " + One.Name_ + " has a wrong sum; ";
    if (counts(One))
      Capacity += One.Capacity_;
    if ((One.Bucket_ != UINT32_MAX) != indexed(One))
      Faults += "worker " + One.Name_ + " is wrongly indexed; ";
    else if (One.Bucket_ != UINT32_MAX && Cell.Index_.Cells_[One.Bucket_][One.Position_] != I)
      Faults += "worker " + One.Name_ + " is not where the index says; ";
  }
  if (Capacity != Cell.Capacity_)
    Faults += "sum of capacities differs from Capacity_; ";
  return Faults;
}

} // namespace masticdrift::policy
