#include "masticdrift/policy/Place.h"

#include <algorithm>
#include <bit>
#include <queue>

namespace masticdrift::policy {
namespace {

using std::chrono::seconds;

/// fits() over the kinds that are asked for, so that a worker that is overfull in one kind can
/// still take work that needs none of it.
bool fitsAsked(const Resources &Need, const Resources &Room) {
  return (Need.MilliCores_ <= 0 || Need.MilliCores_ <= Room.MilliCores_) &&
         (Need.MemoryMb_ <= 0 || Need.MemoryMb_ <= Room.MemoryMb_) &&
         (Need.Accelerators_ <= 0 || Need.Accelerators_ <= Room.Accelerators_);
}

/// Room that a preemption frees.
Resources freedBy(const Placement &One, PreemptHow How) {
  return How == PreemptHow::Throttle ? One.Size_ - throttledSize(One.FullSize_) : One.Size_;
}

TimePoint endOf(const PendingJob &Job, TimePoint Now) {
  return Job.Kind_ == JobKind::Service ? TimePoint::max() : Now + Job.Run_;
}

/// Takes a PendingJob or a Shape.
template <typename Work> bool mayProbe(const Work &Job) {
  return Job.Kind_ == JobKind::Batch && !Job.Urgent_ && Job.Idempotent_;
}

/// Best fit over the index: fewest free accelerators, then least free of the scarce resource.
std::optional<WorkerIndex> bestFit(const CellView &Cell, const PendingJob &Job, TimePoint End) {
  constexpr std::uint32_t N = detail::FreeIndex::Buckets;
  const detail::FreeIndex &Free = Cell.Index_;
  if (Free.Cells_.empty())
    return std::nullopt;
  const auto [Row0, Other0] = detail::bucketsOf(Cell, Job.Size_);
  for (std::uint32_t Level = detail::levelOf(Job.Size_.Accelerators_);
       Level < detail::FreeIndex::AcceleratorLevels; ++Level) {
    std::uint64_t Rows = Free.FilledRows_[Level] >> Row0 << Row0;
    for (; Rows != 0; Rows &= Rows - 1) {
      const auto Row = static_cast<std::uint32_t>(std::countr_zero(Rows));
      std::uint64_t Others = Free.Filled_[Level][Row] >> Other0 << Other0;
      for (; Others != 0; Others &= Others - 1) {
        const auto Other = static_cast<std::uint32_t>(std::countr_zero(Others));
        for (const WorkerIndex Index : Free.Cells_[(Level * N + Row) * N + Other])
          if (detail::fitsOn(Cell, Cell.Workers_[Index], Job.Size_, Job.Id_, End, Job.Urgent_))
            return Index;
      }
    }
  }
  return std::nullopt;
}

std::uint32_t inRack(const CellView &Cell, const std::string &Job, const std::string &Rack) {
  const auto Racks = Cell.ServiceRacks_.find(Job);
  if (Racks == Cell.ServiceRacks_.end())
    return 0;
  const auto Found = Racks->second.find(Rack);
  return Found == Racks->second.end() ? 0 : Found->second;
}

/// Worker in the rack with the fewest tasks of the service; best fit within the rack.
std::optional<WorkerIndex> spread(const CellView &Cell, const PendingJob &Job, WorkerIndex Fit) {
  std::uint32_t Fewest = inRack(Cell, Job.Id_, Cell.Workers_[Fit].Rack_);
  WorkerIndex Best = Fit;
  for (auto Rack = Cell.Racks_.begin(); Rack != Cell.Racks_.end() && Fewest > 0; ++Rack) {
    const std::uint32_t Count = inRack(Cell, Job.Id_, Rack->first);
    if (Count >= Fewest)
      continue;
    std::optional<WorkerIndex> Here;
    for (const WorkerIndex Index : Rack->second) {
      const Worker &Host = Cell.Workers_[Index];
      if (acceptsWork(Host) &&
          detail::fitsOn(Cell, Host, Job.Size_, Job.Id_, TimePoint::max(), Job.Urgent_) &&
          (!Here || amounts(freeOf(Host))[Cell.Scarce_] <
                        amounts(freeOf(Cell.Workers_[*Here]))[Cell.Scarce_]))
        Here = Index;
    }
    if (Here) {
      Fewest = Count;
      Best = *Here;
    }
  }
  return Best;
}

/// Workers on which room appeared since an entry of CellView::Freed_, with what was free then.
struct FreedWorkers {
  std::uint64_t From_ = UINT64_MAX;
  std::uint64_t End_ = 0;
  std::vector<std::pair<Resources, WorkerIndex>> Workers_;
  Resources Most_;
};

/// State of one decide() call.
struct Pass {
  CellView &Cell_;
  PendingWork &Pending_;
  Shares &Teams_;
  TimePoint Now_;
  const Budget &Limits_;
  std::vector<Decision> Decisions_;
  std::size_t Examined_ = 0;
  double MeanRank_ = 0;
  FreedWorkers Freed_;

  [[nodiscard]] bool exhausted() const {
    return Decisions_.size() >= Limits_.MaxDecisions_ || Examined_ >= Limits_.MaxExamined_;
  }
};

Placement placementOf(const PendingJob &Job, std::uint32_t Task, TimePoint Now) {
  return {.Job_ = Job.Id_,
          .Task_ = Task,
          .Team_ = Job.Team_,
          .Family_ = Job.Family_,
          .Kind_ = Job.Kind_,
          .Urgent_ = Job.Urgent_,
          .Checkpointable_ = Job.Checkpointable_,
          .Throttleable_ = Job.Throttleable_,
          .Idempotent_ = Job.Idempotent_,
          .Size_ = Job.Size_,
          .Started_ = Now,
          .ExpectedEnd_ = endOf(Job, Now)};
}

void dropReservation(Pass &In, const std::string &Job) {
  const auto Found = In.Pending_.Reservations_.find(Job);
  if (Found == In.Pending_.Reservations_.end())
    return;
  for (const WorkerIndex Index : Found->second.Workers_)
    unreserve(In.Cell_, Index, Job);
  In.Pending_.Reservations_.erase(Found);
}

/// Gives back the room reserved for one task, preferably on the worker where it starts.
void usePart(Pass &In, const std::string &Job, WorkerIndex Where) {
  const auto Found = In.Pending_.Reservations_.find(Job);
  if (Found == In.Pending_.Reservations_.end())
    return;
  std::vector<WorkerIndex> &Workers = Found->second.Workers_;
  auto At = std::find(Workers.begin(), Workers.end(), Where);
  if (At == Workers.end())
    At = Workers.end() - 1;
  std::vector<ReservedPart> &Parts = In.Cell_.Workers_[*At].Reserved_;
  const auto Part = std::find_if(Parts.begin(), Parts.end(),
                                 [&](const ReservedPart &One) { return One.Job_ == Job; });
  if (Part != Parts.end()) {
    Parts.erase(Part);
    // Room that was kept is free again when the task starts elsewhere.
    if (*At != Where)
      noteRoom(In.Cell_, *At);
  }
  Workers.erase(At);
  if (Workers.empty())
    In.Pending_.Reservations_.erase(Found);
}

std::optional<WorkerIndex> findWorker(Pass &In, const PendingJob &Job) {
  const auto Own = In.Pending_.Reservations_.find(Job.Id_);
  if (Own != In.Pending_.Reservations_.end())
    for (const WorkerIndex Index : Own->second.Workers_) {
      const Worker &Host = In.Cell_.Workers_[Index];
      if (acceptsWork(Host) &&
          detail::fitsOn(In.Cell_, Host, Job.Size_, Job.Id_, endOf(Job, In.Now_), Job.Urgent_))
        return Index;
    }
  return detail::findWorkerFor(In.Cell_, Job, In.Now_);
}

void recordStart(Pass &In, const std::string &Job, std::uint32_t Task, WorkerIndex Where) {
  In.Decisions_.push_back({.Kind_ = DecisionKind::Start,
                           .Job_ = Job,
                           .Task_ = Task,
                           .Worker_ = In.Cell_.Workers_[Where].Name_,
                           .WorkerIndex_ = Where});
}

/// Starts one task, or all of a gang.
bool start(Pass &In, JobIndex Index) {
  PendingWork &Pending = In.Pending_;
  const TeamIndex Team = teamIndex(In.Teams_, Pending.Jobs_[Index].Team_);
  if (Pending.Jobs_[Index].Kind_ != JobKind::Gang) {
    const PendingJob &Job = Pending.Jobs_[Index];
    const auto Where = findWorker(In, Job);
    if (!Where)
      return false;
    const std::uint32_t Task = Job.Waiting_.back();
    const std::string Id = Job.Id_;
    place(In.Cell_, *Where, placementOf(Job, Task, In.Now_));
    addUsage(In.Teams_, Team, Job.Size_, In.Now_);
    takeWaiting(Pending, Id);
    usePart(In, Id, *Where);
    recordStart(In, Id, Task, *Where);
    return true;
  }
  const PendingJob Job = Pending.Jobs_[Index];
  std::vector<std::pair<std::uint32_t, WorkerIndex>> Placed;
  for (auto Task = Job.Waiting_.rbegin(); Task != Job.Waiting_.rend(); ++Task) {
    const auto Where = findWorker(In, Job);
    if (!Where) {
      for (const auto &[Number, Host] : Placed)
        unplace(In.Cell_, Job.Id_, Number);
      return false;
    }
    place(In.Cell_, *Where, placementOf(Job, *Task, In.Now_));
    Placed.emplace_back(*Task, *Where);
  }
  const auto Count = static_cast<std::int64_t>(Placed.size());
  addUsage(In.Teams_, Team, Job.Size_ * Count, In.Now_);
  dropReservation(In, Job.Id_);
  takeWaiting(Pending, Job.Id_);
  for (const auto &[Task, Where] : Placed)
    recordStart(In, Job.Id_, Task, Where);
  return true;
}

/// Collects the workers on which room appeared since entry \p From, each once.
const FreedWorkers &freedSince(Pass &In, std::uint64_t From) {
  FreedWorkers &Since = In.Freed_;
  const std::uint64_t End = freedEnd(In.Cell_);
  // A list that starts earlier holds more workers than needed, which costs less than a new list.
  if (Since.From_ <= From && Since.End_ == End)
    return Since;
  Since = {.From_ = From, .End_ = End};
  const auto Offset = static_cast<std::ptrdiff_t>(From - In.Cell_.FreedBase_);
  std::vector<WorkerIndex> Distinct(In.Cell_.Freed_.begin() + Offset, In.Cell_.Freed_.end());
  std::sort(Distinct.begin(), Distinct.end());
  Distinct.erase(std::unique(Distinct.begin(), Distinct.end()), Distinct.end());
  for (const WorkerIndex Index : Distinct) {
    const Worker &Host = In.Cell_.Workers_[Index];
    if (!acceptsWork(Host) && Host.Health_ != Health::Probing)
      continue;
    const Resources Free = freeOf(Host);
    Since.Workers_.emplace_back(Free, Index);
    Since.Most_ = {std::max(Since.Most_.MilliCores_, Free.MilliCores_),
                   std::max(Since.Most_.MemoryMb_, Free.MemoryMb_),
                   std::max(Since.Most_.Accelerators_, Free.Accelerators_)};
  }
  return Since;
}

/// \returns true when no task of the shape fits, known from its last trial and the workers on which
/// room appeared since. The free amounts may be older than the last start of this pass, which only
/// lets a worker pass the first check. Room reserved for a job itself counts as taken, because jobs
/// with a reservation are tried before.
bool stillFails(Pass &In, ShapeIndex Index) {
  Shape &Kind = In.Pending_.Shapes_[Index];
  if (Kind.FailedAt_ == UINT64_MAX || Kind.FailedAt_ < In.Cell_.FreedBase_)
    return false;
  const FreedWorkers &Since = freedSince(In, Kind.FailedAt_);
  const TimePoint Ends =
      Kind.Kind_ == JobKind::Service ? TimePoint::max() : In.Now_ + Kind.Run_ / 4;
  if (fitsAsked(Kind.Size_, Since.Most_))
    for (const auto &[Free, Where] : Since.Workers_) {
      if (!fitsAsked(Kind.Size_, Free))
        continue;
      const Worker &Host = In.Cell_.Workers_[Where];
      const bool Takes = acceptsWork(Host) || (Host.Health_ == Health::Probing && mayProbe(Kind));
      if (Takes && detail::fitsOn(In.Cell_, Host, Kind.Size_, {}, Ends, Kind.Urgent_))
        return false;
    }
  Kind.FailedAt_ = Since.End_;
  return true;
}

Resources askedAtOnce(const PendingJob &Job) {
  return Job.Kind_ == JobKind::Gang ? Job.Size_ * static_cast<std::int64_t>(Job.Waiting_.size())
                                    : Job.Size_;
}

/// Times at which tasks of \p Job fit on workers, earliest first, one entry per task.
std::vector<std::pair<TimePoint, WorkerIndex>> planRoom(Pass &In, const PendingJob &Job,
                                                        std::size_t Tasks) {
  std::vector<std::pair<TimePoint, WorkerIndex>> Times;
  std::vector<std::pair<TimePoint, Resources>> Ends;
  // A part of a large cell is enough for a good plan; all of it takes milliseconds.
  constexpr WorkerIndex Enough = 256;
  const auto Count = static_cast<WorkerIndex>(In.Cell_.Workers_.size());
  for (WorkerIndex I = 0; I < Count && (I < Enough || Times.size() < 2 * Tasks); ++I) {
    const WorkerIndex Index = (In.Pending_.PlanOffset_ + I) % Count;
    const Worker &Host = In.Cell_.Workers_[Index];
    if (!acceptsWork(Host) || !Host.Reserved_.empty() || !fitsAsked(Job.Size_, Host.Capacity_))
      continue;
    Ends.clear();
    for (const PlacementIndex Entry : Host.Placements_) {
      const Placement &One = In.Cell_.Placements_[Entry];
      const TimePoint End = expectedEnd(One, In.Now_);
      if (End != TimePoint::max())
        Ends.emplace_back(End, One.Size_);
    }
    std::sort(Ends.begin(), Ends.end(),
              [](const auto &A, const auto &B) { return A.first < B.first; });
    Resources Free = freeOf(Host);
    TimePoint At = In.Now_;
    std::size_t Found = 0;
    for (std::size_t End = 0;; ++End) {
      while (Found < Tasks && fitsAsked(Job.Size_, Free)) {
        Free -= Job.Size_;
        Times.emplace_back(At, Index);
        ++Found;
      }
      if (End == Ends.size() || Found == Tasks)
        break;
      Free += Ends[End].second;
      At = Ends[End].first;
    }
  }
  In.Pending_.PlanOffset_ = Count > Enough ? (In.Pending_.PlanOffset_ + Enough) % Count : 0;
  if (Times.size() < Tasks)
    return {};
  const auto Last = Times.begin() + static_cast<std::ptrdiff_t>(Tasks);
  std::partial_sort(Times.begin(), Last, Times.end());
  Times.erase(Last, Times.end());
  return Times;
}

/// Reserves room for all waiting tasks of a gang, or for one task of another job.
bool makeReservation(Pass &In, const PendingJob &Job, TimePoint Since) {
  const std::size_t Tasks = Job.Kind_ == JobKind::Gang ? Job.Waiting_.size() : 1;
  const auto Times = planRoom(In, Job, Tasks);
  if (Times.empty())
    return false;
  Reservation Kept{.Since_ = Since,
                   .EstimatedStart_ = Times.back().first,
                   .Strict_ = In.Now_ - Since > In.Limits_.StrictAfter_};
  for (const auto &[At, Index] : Times) {
    reserve(In.Cell_, Index, {Job.Id_, Job.Size_, Kept.EstimatedStart_, Kept.Strict_, false});
    Kept.Workers_.push_back(Index);
  }
  In.Pending_.Reservations_.insert_or_assign(Job.Id_, std::move(Kept));
  return true;
}

double reservedPart(const Pass &In) {
  Resources Sum;
  for (const auto &[Id, Kept] : In.Pending_.Reservations_)
    if (const PendingJob *Job = findPending(In.Pending_, Id); Job != nullptr && !Kept.Urgent_)
      Sum += Job->Size_ * static_cast<std::int64_t>(Kept.Workers_.size());
  return dominantPart(In.Teams_, Sum);
}

/// Drops reservations of jobs that are gone and renews those that cannot be kept.
void maintainReservations(Pass &In) {
  std::vector<std::string> Drop;
  std::vector<std::string> Renew;
  for (auto &[Id, Kept] : In.Pending_.Reservations_) {
    const PendingJob *Job = findPending(In.Pending_, Id);
    if (Job == nullptr) {
      Drop.push_back(Id);
      continue;
    }
    const bool Lost =
        std::any_of(Kept.Workers_.begin(), Kept.Workers_.end(),
                    [&](WorkerIndex Index) { return !acceptsWork(In.Cell_.Workers_[Index]); });
    if (Kept.Urgent_) {
      // The preemption took too long or its worker is gone; look for other victims.
      if (Lost || In.Now_ - Kept.Since_ > seconds(10))
        Drop.push_back(Id);
      continue;
    }
    if (!Kept.Strict_ && In.Now_ - Kept.Since_ > In.Limits_.StrictAfter_) {
      Kept.Strict_ = true;
      for (const WorkerIndex Index : Kept.Workers_)
        for (ReservedPart &Part : In.Cell_.Workers_[Index].Reserved_)
          if (Part.Job_ == Id)
            Part.Strict_ = true;
    }
    if (Lost || (!Kept.Strict_ && In.Now_ > Kept.EstimatedStart_ + seconds(1)))
      Renew.push_back(Id);
  }
  for (const std::string &Id : Drop)
    dropReservation(In, Id);
  // One plan per call bounds its time; the others are renewed by the next calls.
  if (Renew.size() > 1)
    Renew.resize(1);
  for (const std::string &Id : Renew) {
    const TimePoint Since = In.Pending_.Reservations_.at(Id).Since_;
    dropReservation(In, Id);
    makeReservation(In, *findPending(In.Pending_, Id), Since);
  }
}

bool mayReserve(const Pass &In, const PendingJob &Job, double Rank) {
  if (In.Now_ - Job.Queued_ < In.Limits_.ReserveAfter_)
    return false;
  // Teams above their share get no room kept, unless the job has waited very long.
  if (Rank > In.MeanRank_ && In.Now_ - Job.Queued_ < In.Limits_.StrictAfter_ * 2)
    return false;
  return In.Pending_.Reservations_.find(Job.Id_) == In.Pending_.Reservations_.end();
}

struct Victim {
  PlacementIndex Index_ = 0;
  PreemptHow How_ = PreemptHow::Checkpoint;
  double Rank_ = 0;
  Duration Lost_{};
};

struct PreemptPlan {
  WorkerIndex Where_ = 0;
  std::vector<Victim> Victims_;
  std::pair<PreemptHow, double> Cost_{PreemptHow::Stop, 0};
};

std::optional<PreemptHow> preemptBy(const Placement &One) {
  if (One.Urgent_ || One.Preempting_)
    return std::nullopt;
  const bool Service = One.Kind_ == JobKind::Service;
  if (One.Checkpointable_ && !Service)
    return PreemptHow::Checkpoint;
  if (One.Throttleable_ && !One.Throttled_)
    return PreemptHow::Throttle;
  if (One.Idempotent_ && !Service)
    return PreemptHow::Stop;
  return std::nullopt;
}

/// Victims on one worker that free room for \p Job, the cheapest first.
std::optional<PreemptPlan> planPreempt(const Pass &In, const PendingJob &Job, WorkerIndex Where,
                                       PreemptHow Most) {
  const Worker &Host = In.Cell_.Workers_[Where];
  if (!acceptsWork(Host) || !fitsAsked(Job.Size_, Host.Capacity_))
    return std::nullopt;
  Resources Free = freeOf(Host);
  for (const ReservedPart &Part : Host.Reserved_)
    if (Part.Urgent_ || Part.Strict_)
      Free -= Part.Amount_;
  std::vector<Victim> Choice;
  for (const PlacementIndex Index : Host.Placements_) {
    const Placement &One = In.Cell_.Placements_[Index];
    if (One.Preempting_)
      Free += freedBy(One, *One.Preempting_);
    const auto How = preemptBy(One);
    if (!How || *How > Most)
      continue;
    const auto Team = findTeam(In.Teams_, One.Team_);
    Choice.push_back({Index, *How, Team ? rankOf(In.Teams_, *Team) : 0, In.Now_ - One.Started_});
  }
  std::sort(Choice.begin(), Choice.end(), [&](const Victim &A, const Victim &B) {
    const bool GangA = In.Cell_.Placements_[A.Index_].Kind_ == JobKind::Gang;
    const bool GangB = In.Cell_.Placements_[B.Index_].Kind_ == JobKind::Gang;
    // A gang is preempted as a whole, so its tasks come last among equals. Among the rest, teams
    // furthest above their share come first, then the work that loses least.
    return std::tuple{A.How_, GangA, -A.Rank_, A.Lost_} <
           std::tuple{B.How_, GangB, -B.Rank_, B.Lost_};
  });
  PreemptPlan Plan{.Where_ = Where};
  for (const Victim &One : Choice) {
    if (fitsAsked(Job.Size_, Free))
      break;
    const Resources Gain = freedBy(In.Cell_.Placements_[One.Index_], One.How_);
    // A throttled task frees no memory; do not disturb it in vain.
    const bool Helps = (Job.Size_.MilliCores_ > Free.MilliCores_ && Gain.MilliCores_ > 0) ||
                       (Job.Size_.MemoryMb_ > Free.MemoryMb_ && Gain.MemoryMb_ > 0) ||
                       (Job.Size_.Accelerators_ > Free.Accelerators_ && Gain.Accelerators_ > 0);
    if (!Helps)
      continue;
    Free += Gain;
    Plan.Victims_.push_back(One);
  }
  if (!fitsAsked(Job.Size_, Free))
    return std::nullopt;
  for (std::size_t I = Plan.Victims_.size(); I-- > 0;) {
    const Resources Gain =
        freedBy(In.Cell_.Placements_[Plan.Victims_[I].Index_], Plan.Victims_[I].How_);
    if (!fitsAsked(Job.Size_, Free - Gain))
      continue;
    Free -= Gain;
    Plan.Victims_.erase(Plan.Victims_.begin() + static_cast<std::ptrdiff_t>(I));
  }
  Plan.Cost_ = {PreemptHow::Checkpoint, 0};
  for (const Victim &One : Plan.Victims_) {
    const Placement &What = In.Cell_.Placements_[One.Index_];
    const double Tasks =
        What.Kind_ == JobKind::Gang ? static_cast<double>(In.Cell_.ByJob_.at(What.Job_).size()) : 1;
    Plan.Cost_.first = std::max(Plan.Cost_.first, One.How_);
    Plan.Cost_.second += Tasks * dominantPart(In.Teams_, What.Size_);
  }
  return Plan;
}

void preempt(Pass &In, PlacementIndex Index, PreemptHow How) {
  Placement &One = In.Cell_.Placements_[Index];
  if (One.Preempting_)
    return;
  One.Preempting_ = How;
  In.Decisions_.push_back({.Kind_ = DecisionKind::Preempt,
                           .How_ = How,
                           .Job_ = One.Job_,
                           .Task_ = One.Task_,
                           .Worker_ = In.Cell_.Workers_[One.Worker_].Name_,
                           .WorkerIndex_ = One.Worker_});
}

/// Frees room for one task of an urgent job by checkpoint, throttle or stop, in that order.
bool freeRoom(Pass &In, const PendingJob &Job) {
  // Enough workers for a cheap choice without looking at all of a large cell.
  constexpr std::size_t EnoughPlans = 8;
  const auto Count = static_cast<WorkerIndex>(In.Cell_.Workers_.size());
  std::optional<PreemptPlan> Best;
  for (const PreemptHow Most : {PreemptHow::Checkpoint, PreemptHow::Throttle, PreemptHow::Stop}) {
    std::size_t Plans = 0;
    for (WorkerIndex I = 0; I < Count && Plans < EnoughPlans; ++I) {
      const WorkerIndex Where = (In.Pending_.PreemptOffset_ + I) % Count;
      auto Plan = planPreempt(In, Job, Where, Most);
      if (!Plan)
        continue;
      ++Plans;
      if (!Best || Plan->Cost_ < Best->Cost_)
        Best = std::move(Plan);
    }
    if (Best)
      break;
  }
  if (!Best)
    return false;
  In.Pending_.PreemptOffset_ = (Best->Where_ + 1) % Count;
  for (const Victim &One : Best->Victims_) {
    const Placement What = In.Cell_.Placements_[One.Index_];
    if (What.Kind_ == JobKind::Gang && One.How_ != PreemptHow::Throttle)
      for (const auto &[Task, Index] : In.Cell_.ByJob_.at(What.Job_))
        preempt(In, Index, One.How_);
    else
      preempt(In, One.Index_, One.How_);
  }
  reserve(In.Cell_, Best->Where_, {Job.Id_, Job.Size_, In.Now_, true, true});
  Reservation &Kept = In.Pending_.Reservations_[Job.Id_];
  if (Kept.Workers_.empty()) {
    Kept.Since_ = In.Now_;
    Kept.Urgent_ = true;
  }
  Kept.Workers_.push_back(Best->Where_);
  return true;
}

/// Frees room for the urgent jobs that did not fit, by share and age.
void freeRoomForUrgent(Pass &In) {
  std::vector<std::tuple<double, AgeKey>> Blocked;
  for (const TeamQueue &Queue : In.Pending_.Teams_)
    for (const AgeKey &Age : Queue.Waiting_[static_cast<std::size_t>(WorkClass::Urgent)])
      Blocked.emplace_back(rankOf(In.Teams_, teamIndex(In.Teams_, Queue.Team_)), Age);
  std::sort(Blocked.begin(), Blocked.end());
  for (const auto &[Rank, Age] : Blocked) {
    const PendingJob &Job = In.Pending_.Jobs_[std::get<2>(Age)];
    const TeamIndex Team = teamIndex(In.Teams_, Job.Team_);
    for (;;) {
      const auto Kept = In.Pending_.Reservations_.find(Job.Id_);
      const std::size_t Planned =
          Kept == In.Pending_.Reservations_.end() ? 0 : Kept->second.Workers_.size();
      if (Planned >= Job.Waiting_.size() || In.exhausted() ||
          !withinLimit(In.Teams_, Team, Job.Size_ * static_cast<std::int64_t>(Planned + 1)))
        break;
      if (!freeRoom(In, Job))
        break;
    }
  }
}

/// Reserves room for the oldest job of each team, the team with the lowest rank first.
void reserveForOldest(Pass &In, std::size_t Row) {
  PendingWork &Pending = In.Pending_;
  const std::size_t Most = 2 + In.Cell_.Present_ / 48;
  if (Pending.Reservations_.size() >= Most)
    return;
  std::vector<std::tuple<double, AgeKey>> Oldest;
  for (const TeamQueue &Queue : Pending.Teams_)
    if (!Queue.Waiting_[Row].empty()) {
      const AgeKey &Age = *Queue.Waiting_[Row].begin();
      const double Rank = rankOf(In.Teams_, teamIndex(In.Teams_, Queue.Team_));
      if (mayReserve(In, Pending.Jobs_[std::get<2>(Age)], Rank))
        Oldest.emplace_back(Rank, Age);
    }
  std::sort(Oldest.begin(), Oldest.end());
  // Planning looks at all workers, so only one plan is made at a time.
  for (const auto &[Rank, Age] : Oldest) {
    const PendingJob &Job = Pending.Jobs_[std::get<2>(Age)];
    if (!withinLimit(In.Teams_, teamIndex(In.Teams_, Job.Team_), askedAtOnce(Job)))
      continue;
    if (!Pending.Reservations_.empty() &&
        reservedPart(In) + dominantPart(In.Teams_, askedAtOnce(Job)) > In.Limits_.MostReserved_)
      continue;
    makeReservation(In, Job, In.Now_);
    return;
  }
}

/// Shapes of one class that may fit. It only shrinks during a pass, because starts take room.
class Fitting {
public:
  Fitting(Pass &In, std::size_t Row) : In_(In), MayFit_(In.Pending_.Shapes_.size()) {
    for (const ShapeIndex Kind : In.Pending_.Active_[Row])
      if (!stillFails(In, Kind))
        Shapes_.push_back(Kind);
    for (const ShapeIndex Kind : Shapes_)
      MayFit_[Kind] = 1;
  }

  [[nodiscard]] bool empty() const { return Shapes_.empty(); }
  [[nodiscard]] std::size_t size() const { return Shapes_.size(); }

  /// \returns the queues with a job of a shape that may fit.
  [[nodiscard]] std::set<std::uint32_t> queues() const {
    std::set<std::uint32_t> Result;
    for (const ShapeIndex Kind : Shapes_)
      for (const auto &[Queue, Jobs] : In_.Pending_.Shapes_[Kind].Waiting_)
        Result.insert(Queue);
    return Result;
  }

  /// Drops the shapes that no longer fit or have no waiting jobs.
  void refresh() {
    std::erase_if(Shapes_, [&](ShapeIndex Kind) {
      if (In_.Pending_.Shapes_[Kind].Jobs_ > 0 && !stillFails(In_, Kind))
        return false;
      MayFit_[Kind] = 0;
      return true;
    });
  }

  void drop(ShapeIndex Kind) {
    MayFit_[Kind] = 0;
    In_.Pending_.Shapes_[Kind].FailedAt_ = freedEnd(In_.Cell_);
    std::erase(Shapes_, Kind);
  }

  /// \returns the team's oldest job of a shape that may fit and within the team's limit.
  [[nodiscard]] std::optional<JobIndex> oldest(std::uint32_t Queue, std::size_t Row) const {
    const PendingWork &Pending = In_.Pending_;
    const std::set<AgeKey> &Waiting = Pending.Teams_[Queue].Waiting_[Row];
    const TeamIndex Team = teamIndex(In_.Teams_, Pending.Teams_[Queue].Team_);
    const auto Allowed = [&](JobIndex Index) {
      return withinLimit(In_.Teams_, Team, askedAtOnce(Pending.Jobs_[Index]));
    };
    // A long queue is not walked when few shapes can fit.
    if (Waiting.size() <= 4 * Shapes_.size()) {
      for (const AgeKey &Age : Waiting) {
        const JobIndex Index = std::get<2>(Age);
        if (MayFit_[std::get<3>(Age)] != 0 && Allowed(Index))
          return Index;
      }
      return std::nullopt;
    }
    const AgeKey *First = nullptr;
    for (const ShapeIndex Kind : Shapes_) {
      const auto Found = Pending.Shapes_[Kind].Waiting_.find(Queue);
      if (Found == Pending.Shapes_[Kind].Waiting_.end())
        continue;
      const AgeKey &Age = *Found->second.begin();
      if ((First == nullptr || Age < *First) && Allowed(std::get<2>(Age)))
        First = &Age;
    }
    if (First == nullptr)
      return std::nullopt;
    return std::get<2>(*First);
  }

private:
  Pass &In_;
  std::vector<ShapeIndex> Shapes_;
  std::vector<std::uint8_t> MayFit_; ///< by shape; small enough to stay in the cache
};

/// Works through one class: the team with the lowest rank starts its oldest work that fits.
void runClass(Pass &In, WorkClass Class) {
  PendingWork &Pending = In.Pending_;
  const auto Row = static_cast<std::size_t>(Class);
  Fitting Shapes(In, Row);
  using Turn = std::pair<double, std::uint32_t>;
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> Turns;
  const auto RankOf = [&](std::uint32_t Queue) {
    return rankOf(In.Teams_, teamIndex(In.Teams_, Pending.Teams_[Queue].Team_));
  };
  // With few shapes left, most teams have none of them and need no turn.
  constexpr std::size_t Few = 64;
  bool Narrowed = false;
  const auto Narrow = [&] {
    if (Narrowed || Shapes.size() > Few)
      return;
    Narrowed = true;
    Turns = {};
    for (const std::uint32_t Queue : Shapes.queues())
      Turns.emplace(RankOf(Queue), Queue);
  };
  Narrow();
  if (!Narrowed)
    for (std::uint32_t Queue = 0; Queue < Pending.Teams_.size(); ++Queue)
      if (!Pending.Teams_[Queue].Waiting_[Row].empty())
        Turns.emplace(RankOf(Queue), Queue);
  while (!Turns.empty() && !Shapes.empty()) {
    if (In.exhausted()) {
      Pending.MoreToDo_ = true;
      return;
    }
    const std::uint32_t Queue = Turns.top().second;
    Turns.pop();
    const auto Index = Shapes.oldest(Queue, Row);
    if (!Index)
      continue;
    ++In.Examined_;
    const ShapeIndex Kind = Pending.Jobs_[*Index].Shape_;
    if (start(In, *Index))
      Shapes.refresh();
    else
      Shapes.drop(Kind);
    Turns.emplace(RankOf(Queue), Queue);
    Narrow();
  }
  if (Class == WorkClass::Urgent) {
    if (In.Limits_.Preempt_)
      freeRoomForUrgent(In);
  } else if (In.Now_ >= Pending.NextReservation_) {
    reserveForOldest(In, Row);
  }
}

/// Tries the jobs with reserved room, the oldest first.
void startReserved(Pass &In, bool Urgent) {
  std::vector<std::pair<TimePoint, std::string>> Order;
  for (const auto &[Id, Kept] : In.Pending_.Reservations_)
    if (Kept.Urgent_ == Urgent)
      Order.emplace_back(Kept.Since_, Id);
  std::sort(Order.begin(), Order.end());
  for (const auto &[Since, Id] : Order) {
    if (In.exhausted())
      return;
    for (;;) {
      const auto Found = In.Pending_.ById_.find(Id);
      if (Found == In.Pending_.ById_.end() || !In.Pending_.Reservations_.contains(Id))
        break;
      const PendingJob &Job = In.Pending_.Jobs_[Found->second];
      if (!withinLimit(In.Teams_, teamIndex(In.Teams_, Job.Team_), askedAtOnce(Job)) ||
          !start(In, Found->second))
        break;
    }
  }
}

} // namespace

namespace detail {

bool fitsOn(const CellView &Cell, const Worker &Host, const Resources &Size, std::string_view Job,
            TimePoint End, bool Urgent) {
  const Resources Free = freeOf(Host);
  if (!fitsAsked(Size, Free))
    return false;
  if (Host.Health_ == Health::Probing && !Host.Placements_.empty())
    return false;
  if (Host.Reserved_.empty())
    return true;
  Resources Held;
  bool Blocks = false;
  TimePoint Until = TimePoint::max();
  for (const ReservedPart &Part : Host.Reserved_) {
    if (Part.Job_ == Job || (Urgent && !Part.Urgent_ && !Part.Strict_) ||
        (!Part.Strict_ && End <= Part.Until_))
      continue;
    Held += Part.Amount_;
    Until = std::min(Until, Part.Strict_ ? TimePoint::min() : Part.Until_);
    Blocks = true;
  }
  if (!Blocks)
    return true;
  // The task may stay beyond the start of the reserved work if there is room for both then.
  Resources Later = Free;
  for (const PlacementIndex Index : Host.Placements_) {
    const Placement &One = Cell.Placements_[Index];
    if (One.Preempting_)
      Later += freedBy(One, *One.Preempting_);
    else if (One.ExpectedEnd_ <= Until)
      Later += One.Size_;
  }
  const Resources Both = Size + Held;
  return (Size.MilliCores_ <= 0 || Both.MilliCores_ <= Later.MilliCores_) &&
         (Size.MemoryMb_ <= 0 || Both.MemoryMb_ <= Later.MemoryMb_) &&
         (Size.Accelerators_ <= 0 || Both.Accelerators_ <= Later.Accelerators_);
}

std::optional<WorkerIndex> findWorkerFor(const CellView &Cell, const PendingJob &Job,
                                         TimePoint Now) {
  const TimePoint End = endOf(Job, Now);
  // Probes come first: otherwise a worker would stay unused until the cell is full.
  if (mayProbe(Job))
    for (const WorkerIndex Index : Cell.Probing_)
      if (fitsOn(Cell, Cell.Workers_[Index], Job.Size_, Job.Id_, End, false))
        return Index;
  const auto Fit = bestFit(Cell, Job, End);
  if (!Fit || Job.Kind_ != JobKind::Service)
    return Fit;
  return spread(Cell, Job, *Fit);
}

} // namespace detail

TimePoint expectedEnd(const Placement &One, TimePoint Now) {
  if (One.ExpectedEnd_ == TimePoint::max() || One.ExpectedEnd_ > Now)
    return One.ExpectedEnd_;
  return Now + std::max<Duration>(seconds(1), (Now - One.Started_) / 2);
}

void taskRunning(CellView &Cell, Shares &Teams, WorkerIndex Where, Placement What, TimePoint Now) {
  if (findPlacement(Cell, What.Job_, What.Task_) != nullptr)
    return;
  addUsage(Teams, teamIndex(Teams, What.Team_), What.Size_, Now);
  place(Cell, Where, std::move(What));
}

std::optional<Placement> taskEnded(CellView &Cell, Shares &Teams, std::string_view Job,
                                   std::uint32_t Task, TimePoint Now) {
  auto Gone = release(Cell, Job, Task);
  if (Gone)
    addUsage(Teams, teamIndex(Teams, Gone->Team_), Resources{} - Gone->Size_, Now);
  return Gone;
}

void taskThrottled(CellView &Cell, Shares &Teams, std::string_view Job, std::uint32_t Task,
                   TimePoint Now) {
  const Placement *One = findPlacement(Cell, Job, Task);
  if (One == nullptr)
    return;
  const Resources Before = One->Size_;
  throttled(Cell, Job, Task);
  addUsage(Teams, teamIndex(Teams, One->Team_), One->Size_ - Before, Now);
}

std::vector<Decision> decide(CellView &Cell, PendingWork &Pending, Shares &Teams, TimePoint Now,
                             const Budget &Limits) {
  Pass In{.Cell_ = Cell, .Pending_ = Pending, .Teams_ = Teams, .Now_ = Now, .Limits_ = Limits};
  Pending.MoreToDo_ = false;
  refreshScarce(Cell);
  setCapacity(Teams, Cell.Capacity_);
  double Weights = 0;
  double Used = 0;
  for (const TeamQueue &Queue : Pending.Teams_) {
    const TeamIndex Team = teamIndex(Teams, Queue.Team_);
    decay(Teams, Team, Now);
    Weights += Teams.Teams_[Team].Weight_;
    Used += rankOf(Teams, Team) * Teams.Teams_[Team].Weight_;
  }
  In.MeanRank_ = Weights > 0 ? Used / Weights : 0;
  maintainReservations(In);
  startReserved(In, true);
  runClass(In, WorkClass::Urgent);
  startReserved(In, false);
  runClass(In, WorkClass::Service);
  runClass(In, WorkClass::Ordinary);
  if (Now >= Pending.NextReservation_)
    Pending.NextReservation_ = Now + std::chrono::milliseconds(200);
  return std::move(In.Decisions_);
}

} // namespace masticdrift::policy
