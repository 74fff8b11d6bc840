#include "masticdrift/policy/Place.h"

#include <algorithm>
#include <bit>
#include <queue>

namespace masticdrift::policy {
namespace {

using std::chrono::seconds;

/// Like fits(), but ignores resources that are not requested, so that a worker that is
/// overcommitted in one resource can still take tasks that need none of it.
bool fitsRequested(const Resources &Need, const Resources &Available) {
  return (Need.MilliCores_ <= 0 || Need.MilliCores_ <= Available.MilliCores_) &&
         (Need.MemoryMb_ <= 0 || Need.MemoryMb_ <= Available.MemoryMb_) &&
         (Need.Accelerators_ <= 0 || Need.Accelerators_ <= Available.Accelerators_);
}

/// Returns the resources that a preemption frees.
Resources resourcesFreedBy(const Placement &Placed, PreemptionMethod Method) {
  return Method == PreemptionMethod::Throttle ? Placed.Size_ - throttledSize(Placed.FullSize_)
                                              : Placed.Size_;
}

TimePoint endIfStarted(const PendingJob &Job, TimePoint Now) {
  return Job.Kind_ == JobKind::Service ? TimePoint::max() : Now + Job.RunTime_;
}

/// Returns whether a task may run on a probing worker.
/// \param Job a PendingJob or a Shape.
template <typename Work> bool mayRunAsProbe(const Work &Job) {
  return Job.Kind_ == JobKind::Batch && !Job.Urgent_ && Job.Idempotent_;
}

/// Searches the index for the best fit: fewest free accelerators, then the smallest free amount of
/// the scarce resource.
std::optional<WorkerIndex> bestFit(const CellView &Cell, const PendingJob &Job, TimePoint End) {
  constexpr std::uint32_t PerKind = detail::FreeIndex::BucketsPerKind;
  const detail::FreeIndex &Free = Cell.Index_;
  if (Free.WorkersByBucket_.empty())
    return std::nullopt;
  const auto [MinScarceBucket, MinOtherBucket] = detail::bucketsOf(Cell, Job.Size_);
  for (std::uint32_t Level = detail::levelOf(Job.Size_.Accelerators_);
       Level < detail::FreeIndex::AcceleratorLevels; ++Level) {
    std::uint64_t ScarceBuckets = Free.NonEmptyScarce_[Level] >> MinScarceBucket << MinScarceBucket;
    for (; ScarceBuckets != 0; ScarceBuckets &= ScarceBuckets - 1) {
      const auto ScarceBucket = static_cast<std::uint32_t>(std::countr_zero(ScarceBuckets));
      std::uint64_t OtherBuckets =
          Free.NonEmptyOther_[Level][ScarceBucket] >> MinOtherBucket << MinOtherBucket;
      for (; OtherBuckets != 0; OtherBuckets &= OtherBuckets - 1) {
        const auto OtherBucket = static_cast<std::uint32_t>(std::countr_zero(OtherBuckets));
        for (const WorkerIndex Index :
             Free.WorkersByBucket_[(Level * PerKind + ScarceBucket) * PerKind + OtherBucket])
          if (detail::fitsOn(Cell, Cell.Workers_[Index], Job.Size_, Job.Id_, End, Job.Urgent_))
            return Index;
      }
    }
  }
  return std::nullopt;
}

std::uint32_t tasksInRack(const CellView &Cell, const std::string &Job, const std::string &Rack) {
  const auto Racks = Cell.ServiceRacks_.find(Job);
  if (Racks == Cell.ServiceRacks_.end())
    return 0;
  const auto Found = Racks->second.find(Rack);
  return Found == Racks->second.end() ? 0 : Found->second;
}

/// Returns a worker in the rack with the fewest tasks of the service; best fit within the rack.
std::optional<WorkerIndex> spreadOverRacks(const CellView &Cell, const PendingJob &Job,
                                           WorkerIndex BestFitHost) {
  std::uint32_t Fewest = tasksInRack(Cell, Job.Id_, Cell.Workers_[BestFitHost].Rack_);
  WorkerIndex Best = BestFitHost;
  for (auto Rack = Cell.Racks_.begin(); Rack != Cell.Racks_.end() && Fewest > 0; ++Rack) {
    const std::uint32_t Count = tasksInRack(Cell, Job.Id_, Rack->first);
    if (Count >= Fewest)
      continue;
    std::optional<WorkerIndex> BestInRack;
    for (const WorkerIndex Index : Rack->second) {
      const Worker &Host = Cell.Workers_[Index];
      if (acceptsWork(Host) &&
          detail::fitsOn(Cell, Host, Job.Size_, Job.Id_, TimePoint::max(), Job.Urgent_) &&
          (!BestInRack || amounts(freeOf(Host))[Cell.ScarceResource_] <
                              amounts(freeOf(Cell.Workers_[*BestInRack]))[Cell.ScarceResource_]))
        BestInRack = Index;
    }
    if (BestInRack) {
      Fewest = Count;
      Best = *BestInRack;
    }
  }
  return Best;
}

/// Workers on which resources became free since an entry of CellView::FreedLog_, with their free
/// resources when the list was made.
struct FreedWorkers {
  std::uint64_t FirstEntry_ = UINT64_MAX;
  std::uint64_t EndEntry_ = 0;
  std::vector<std::pair<Resources, WorkerIndex>> Workers_;
  /// Maximum free amount of each resource; the maxima may be those of different workers.
  Resources MaxPerResource_;
};

/// State of one decide() call.
struct DecideContext {
  CellView &Cell_;
  PendingWork &Pending_;
  Shares &Teams_;
  TimePoint Now_;
  const DecideLimits &Limits_;
  std::vector<Decision> Decisions_;
  std::size_t StartAttempts_ = 0;
  double MeanRank_ = 0;
  FreedWorkers FreedSince_;

  [[nodiscard]] bool limitsReached() const {
    return Decisions_.size() >= Limits_.MaxDecisions_ ||
           StartAttempts_ >= Limits_.MaxStartAttempts_;
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
          .ExpectedEnd_ = endIfStarted(Job, Now)};
}

void dropReservation(DecideContext &Context, const std::string &Job) {
  const auto Found = Context.Pending_.Reservations_.find(Job);
  if (Found == Context.Pending_.Reservations_.end())
    return;
  for (const WorkerIndex Index : Found->second.Workers_)
    unreserve(Context.Cell_, Index, Job);
  Context.Pending_.Reservations_.erase(Found);
}

/// Drops the reservation of one task, preferably the one on the worker where the task starts.
void consumeReservation(DecideContext &Context, const std::string &Job, WorkerIndex HostIndex) {
  const auto Found = Context.Pending_.Reservations_.find(Job);
  if (Found == Context.Pending_.Reservations_.end())
    return;
  std::vector<WorkerIndex> &Workers = Found->second.Workers_;
  auto HostEntry = std::find(Workers.begin(), Workers.end(), HostIndex);
  if (HostEntry == Workers.end())
    HostEntry = Workers.end() - 1;
  std::vector<WorkerReservation> &Reserved = Context.Cell_.Workers_[*HostEntry].Reserved_;
  const auto HostReservation =
      std::find_if(Reserved.begin(), Reserved.end(),
                   [&](const WorkerReservation &Candidate) { return Candidate.Job_ == Job; });
  if (HostReservation != Reserved.end()) {
    Reserved.erase(HostReservation);
    // If the task starts on another worker, the reserved resources become free.
    if (*HostEntry != HostIndex)
      recordFreed(Context.Cell_, *HostEntry);
  }
  Workers.erase(HostEntry);
  if (Workers.empty())
    Context.Pending_.Reservations_.erase(Found);
}

std::optional<WorkerIndex> chooseWorker(DecideContext &Context, const PendingJob &Job) {
  const auto OwnReservation = Context.Pending_.Reservations_.find(Job.Id_);
  if (OwnReservation != Context.Pending_.Reservations_.end())
    for (const WorkerIndex Index : OwnReservation->second.Workers_) {
      const Worker &Host = Context.Cell_.Workers_[Index];
      if (acceptsWork(Host) && detail::fitsOn(Context.Cell_, Host, Job.Size_, Job.Id_,
                                              endIfStarted(Job, Context.Now_), Job.Urgent_))
        return Index;
    }
  return detail::findWorkerFor(Context.Cell_, Job, Context.Now_);
}

void recordStart(DecideContext &Context, const std::string &Job, std::uint32_t Task,
                 WorkerIndex HostIndex) {
  Context.Decisions_.push_back({.Kind_ = DecisionKind::Start,
                                .Job_ = Job,
                                .Task_ = Task,
                                .Worker_ = Context.Cell_.Workers_[HostIndex].Name_,
                                .WorkerIndex_ = HostIndex});
}

/// Starts one task of a job, or all tasks of a gang.
/// \returns false if not all of them fit; no task is started then.
bool startJob(DecideContext &Context, JobIndex Index) {
  PendingWork &Pending = Context.Pending_;
  const TeamIndex Team = findOrAddTeam(Context.Teams_, Pending.Jobs_[Index].Team_);
  if (Pending.Jobs_[Index].Kind_ != JobKind::Gang) {
    const PendingJob &Job = Pending.Jobs_[Index];
    const auto HostIndex = chooseWorker(Context, Job);
    if (!HostIndex)
      return false;
    const std::uint32_t Task = Job.Waiting_.back();
    const std::string Id = Job.Id_;
    place(Context.Cell_, *HostIndex, placementOf(Job, Task, Context.Now_));
    addUsage(Context.Teams_, Team, Job.Size_, Context.Now_);
    takeWaiting(Pending, Id);
    consumeReservation(Context, Id, *HostIndex);
    recordStart(Context, Id, Task, *HostIndex);
    return true;
  }
  const PendingJob Job = Pending.Jobs_[Index];
  std::vector<std::pair<std::uint32_t, WorkerIndex>> Placed;
  for (auto Task = Job.Waiting_.rbegin(); Task != Job.Waiting_.rend(); ++Task) {
    const auto HostIndex = chooseWorker(Context, Job);
    if (!HostIndex) {
      for (const auto &[TaskNumber, Host] : Placed)
        undoPlace(Context.Cell_, Job.Id_, TaskNumber);
      return false;
    }
    place(Context.Cell_, *HostIndex, placementOf(Job, *Task, Context.Now_));
    Placed.emplace_back(*Task, *HostIndex);
  }
  const auto Count = static_cast<std::int64_t>(Placed.size());
  addUsage(Context.Teams_, Team, Job.Size_ * Count, Context.Now_);
  dropReservation(Context, Job.Id_);
  takeWaiting(Pending, Job.Id_);
  for (const auto &[Task, HostIndex] : Placed)
    recordStart(Context, Job.Id_, Task, HostIndex);
  return true;
}

/// Returns the distinct workers on which resources became free since entry \p From of the log or an
/// earlier one. Workers that do not accept work and are not probing are left out.
/// \pre \p From is at least CellView::FreedLogStart_, because older entries have been dropped.
const FreedWorkers &freedSince(DecideContext &Context, std::uint64_t From) {
  FreedWorkers &Freed = Context.FreedSince_;
  const std::uint64_t End = freedLogEnd(Context.Cell_);
  // A list with an earlier first entry contains more workers than needed, but reusing it is cheaper
  // than building a new one.
  if (Freed.FirstEntry_ <= From && Freed.EndEntry_ == End)
    return Freed;
  Freed = {.FirstEntry_ = From, .EndEntry_ = End};
  const auto Offset = static_cast<std::ptrdiff_t>(From - Context.Cell_.FreedLogStart_);
  std::vector<WorkerIndex> Distinct(Context.Cell_.FreedLog_.begin() + Offset,
                                    Context.Cell_.FreedLog_.end());
  std::sort(Distinct.begin(), Distinct.end());
  Distinct.erase(std::unique(Distinct.begin(), Distinct.end()), Distinct.end());
  for (const WorkerIndex Index : Distinct) {
    const Worker &Host = Context.Cell_.Workers_[Index];
    if (!acceptsWork(Host) && Host.Health_ != Health::Probing)
      continue;
    const Resources Free = freeOf(Host);
    Freed.Workers_.emplace_back(Free, Index);
    Freed.MaxPerResource_ = {std::max(Freed.MaxPerResource_.MilliCores_, Free.MilliCores_),
                             std::max(Freed.MaxPerResource_.MemoryMb_, Free.MemoryMb_),
                             std::max(Freed.MaxPerResource_.Accelerators_, Free.Accelerators_)};
  }
  return Freed;
}

/// Returns whether no task of a shape fits, based on its last attempt and the workers on which
/// resources became free since then. The recorded free amounts may be older than the last start of
/// this decide() call; this can only let a worker pass the first check. A job's own reservation
/// counts as used, because jobs with a reservation are tried before.
bool stillDoesNotFit(DecideContext &Context, ShapeIndex Index) {
  Shape &TaskShape = Context.Pending_.Shapes_[Index];
  if (TaskShape.CheckedUpTo_ == UINT64_MAX || TaskShape.CheckedUpTo_ < Context.Cell_.FreedLogStart_)
    return false;
  const FreedWorkers &Freed = freedSince(Context, TaskShape.CheckedUpTo_);
  const TimePoint EarliestEnd = TaskShape.Kind_ == JobKind::Service
                                    ? TimePoint::max()
                                    : Context.Now_ + TaskShape.RunTime_ / 4;
  if (fitsRequested(TaskShape.Size_, Freed.MaxPerResource_))
    for (const auto &[Free, HostIndex] : Freed.Workers_) {
      if (!fitsRequested(TaskShape.Size_, Free))
        continue;
      const Worker &Host = Context.Cell_.Workers_[HostIndex];
      const bool AcceptsTask =
          acceptsWork(Host) || (Host.Health_ == Health::Probing && mayRunAsProbe(TaskShape));
      if (AcceptsTask &&
          detail::fitsOn(Context.Cell_, Host, TaskShape.Size_, {}, EarliestEnd, TaskShape.Urgent_))
        return false;
    }
  TaskShape.CheckedUpTo_ = Freed.EndEntry_;
  return true;
}

Resources requestedAtOnce(const PendingJob &Job) {
  return Job.Kind_ == JobKind::Gang ? Job.Size_ * static_cast<std::int64_t>(Job.Waiting_.size())
                                    : Job.Size_;
}

/// Plans at which times and on which workers tasks of \p Job fit.
/// \returns one entry per task, earliest first; empty if too few starts were found.
std::vector<std::pair<TimePoint, WorkerIndex>>
planStarts(DecideContext &Context, const PendingJob &Job, std::size_t Tasks) {
  std::vector<std::pair<TimePoint, WorkerIndex>> Starts;
  std::vector<std::pair<TimePoint, Resources>> Ends;
  // Part of a large cell is enough for a good plan; examining the whole cell takes milliseconds.
  constexpr WorkerIndex MinHosts = 256;
  const auto Count = static_cast<WorkerIndex>(Context.Cell_.Workers_.size());
  for (WorkerIndex I = 0; I < Count && (I < MinHosts || Starts.size() < 2 * Tasks); ++I) {
    const WorkerIndex Index = (Context.Pending_.PlanOffset_ + I) % Count;
    const Worker &Host = Context.Cell_.Workers_[Index];
    if (!acceptsWork(Host) || !Host.Reserved_.empty() || !fitsRequested(Job.Size_, Host.Capacity_))
      continue;
    Ends.clear();
    for (const PlacementIndex Entry : Host.Placements_) {
      const Placement &Placed = Context.Cell_.Placements_[Entry];
      const TimePoint End = expectedEnd(Placed, Context.Now_);
      if (End != TimePoint::max())
        Ends.emplace_back(End, Placed.Size_);
    }
    std::sort(Ends.begin(), Ends.end(),
              [](const auto &A, const auto &B) { return A.first < B.first; });
    Resources Free = freeOf(Host);
    TimePoint StartTime = Context.Now_;
    std::size_t Planned = 0;
    for (std::size_t End = 0;; ++End) {
      while (Planned < Tasks && fitsRequested(Job.Size_, Free)) {
        Free -= Job.Size_;
        Starts.emplace_back(StartTime, Index);
        ++Planned;
      }
      if (End == Ends.size() || Planned == Tasks)
        break;
      Free += Ends[End].second;
      StartTime = Ends[End].first;
    }
  }
  Context.Pending_.PlanOffset_ =
      Count > MinHosts ? (Context.Pending_.PlanOffset_ + MinHosts) % Count : 0;
  if (Starts.size() < Tasks)
    return {};
  const auto Last = Starts.begin() + static_cast<std::ptrdiff_t>(Tasks);
  std::partial_sort(Starts.begin(), Last, Starts.end());
  Starts.erase(Last, Starts.end());
  return Starts;
}

/// Reserves resources for all waiting tasks of a gang, or for one task of another job.
/// \returns false if there is no plan for all of them.
bool makeReservation(DecideContext &Context, const PendingJob &Job, TimePoint Since) {
  const std::size_t Tasks = Job.Kind_ == JobKind::Gang ? Job.Waiting_.size() : 1;
  const auto Starts = planStarts(Context, Job, Tasks);
  if (Starts.empty())
    return false;
  Reservation NewReservation{.Since_ = Since,
                             .EstimatedStart_ = Starts.back().first,
                             .Exclusive_ = Context.Now_ - Since > Context.Limits_.ExclusiveAfter_};
  for (const auto &[StartTime, Index] : Starts) {
    reserve(Context.Cell_, Index,
            {Job.Id_, Job.Size_, NewReservation.EstimatedStart_, NewReservation.Exclusive_, false});
    NewReservation.Workers_.push_back(Index);
  }
  Context.Pending_.Reservations_.insert_or_assign(Job.Id_, std::move(NewReservation));
  return true;
}

double reservedFraction(const DecideContext &Context) {
  Resources Sum;
  for (const auto &[Id, Reserved] : Context.Pending_.Reservations_)
    if (const PendingJob *Job = findPending(Context.Pending_, Id);
        Job != nullptr && !Reserved.Urgent_)
      Sum += Job->Size_ * static_cast<std::int64_t>(Reserved.Workers_.size());
  return dominantShare(Context.Teams_, Sum);
}

/// Drops reservations of jobs that are no longer pending, and replaces those that cannot be met.
void maintainReservations(DecideContext &Context) {
  std::vector<std::string> ToDrop;
  std::vector<std::string> ToRenew;
  for (auto &[Id, Reserved] : Context.Pending_.Reservations_) {
    const PendingJob *Job = findPending(Context.Pending_, Id);
    if (Job == nullptr) {
      ToDrop.push_back(Id);
      continue;
    }
    const bool HostLost =
        std::any_of(Reserved.Workers_.begin(), Reserved.Workers_.end(),
                    [&](WorkerIndex Index) { return !acceptsWork(Context.Cell_.Workers_[Index]); });
    if (Reserved.Urgent_) {
      // The preemption took longer than 10 s or its worker no longer accepts work: choose others.
      if (HostLost || Context.Now_ - Reserved.Since_ > seconds(10))
        ToDrop.push_back(Id);
      continue;
    }
    if (!Reserved.Exclusive_ && Context.Now_ - Reserved.Since_ > Context.Limits_.ExclusiveAfter_) {
      Reserved.Exclusive_ = true;
      for (const WorkerIndex Index : Reserved.Workers_)
        for (WorkerReservation &HostReservation : Context.Cell_.Workers_[Index].Reserved_)
          if (HostReservation.Job_ == Id)
            HostReservation.Exclusive_ = true;
    }
    if (HostLost || (!Reserved.Exclusive_ && Context.Now_ > Reserved.EstimatedStart_ + seconds(1)))
      ToRenew.push_back(Id);
  }
  for (const std::string &Id : ToDrop)
    dropReservation(Context, Id);
  // Planning once per call bounds its duration; the next calls replace the others.
  if (ToRenew.size() > 1)
    ToRenew.resize(1);
  for (const std::string &Id : ToRenew) {
    const TimePoint Since = Context.Pending_.Reservations_.at(Id).Since_;
    dropReservation(Context, Id);
    makeReservation(Context, *findPending(Context.Pending_, Id), Since);
  }
}

bool mayReserve(const DecideContext &Context, const PendingJob &Job, double Rank) {
  if (Context.Now_ - Job.QueuedAt_ < Context.Limits_.ReserveAfter_)
    return false;
  // No reservations for teams above the mean rank, unless the job has waited very long.
  if (Rank > Context.MeanRank_ &&
      Context.Now_ - Job.QueuedAt_ < Context.Limits_.ExclusiveAfter_ * 2)
    return false;
  return Context.Pending_.Reservations_.find(Job.Id_) == Context.Pending_.Reservations_.end();
}

struct Victim {
  PlacementIndex Index_ = 0;
  PreemptionMethod Method_ = PreemptionMethod::Checkpoint;
  double Rank_ = 0;
  Duration LostRunTime_{};
};

struct PreemptionPlan {
  WorkerIndex HostIndex_ = 0;
  std::vector<Victim> Victims_;
  std::pair<PreemptionMethod, double> Cost_{PreemptionMethod::Stop, 0};
};

std::optional<PreemptionMethod> preemptionMethodFor(const Placement &Placed) {
  if (Placed.Urgent_ || Placed.PendingPreemption_)
    return std::nullopt;
  const bool Service = Placed.Kind_ == JobKind::Service;
  if (Placed.Checkpointable_ && !Service)
    return PreemptionMethod::Checkpoint;
  if (Placed.Throttleable_ && !Placed.Throttled_)
    return PreemptionMethod::Throttle;
  if (Placed.Idempotent_ && !Service)
    return PreemptionMethod::Stop;
  return std::nullopt;
}

/// Selects victims on one worker whose preemption makes a task of \p Job fit, cheapest first.
/// \param LastAllowed methods after this one in order of preference are not used.
/// \returns nothing if the task cannot be made to fit.
std::optional<PreemptionPlan> planPreemption(const DecideContext &Context, const PendingJob &Job,
                                             WorkerIndex HostIndex, PreemptionMethod LastAllowed) {
  const Worker &Host = Context.Cell_.Workers_[HostIndex];
  if (!acceptsWork(Host) || !fitsRequested(Job.Size_, Host.Capacity_))
    return std::nullopt;
  Resources Free = freeOf(Host);
  for (const WorkerReservation &HostReservation : Host.Reserved_)
    if (HostReservation.Urgent_ || HostReservation.Exclusive_)
      Free -= HostReservation.Amount_;
  std::vector<Victim> Candidates;
  for (const PlacementIndex Index : Host.Placements_) {
    const Placement &Placed = Context.Cell_.Placements_[Index];
    if (Placed.PendingPreemption_)
      Free += resourcesFreedBy(Placed, *Placed.PendingPreemption_);
    const auto Method = preemptionMethodFor(Placed);
    if (!Method || *Method > LastAllowed)
      continue;
    const auto Team = findTeam(Context.Teams_, Placed.Team_);
    Candidates.push_back(
        {Index, *Method, Team ? rankOf(Context.Teams_, *Team) : 0, Context.Now_ - Placed.Started_});
  }
  std::sort(Candidates.begin(), Candidates.end(), [&](const Victim &A, const Victim &B) {
    const bool GangA = Context.Cell_.Placements_[A.Index_].Kind_ == JobKind::Gang;
    const bool GangB = Context.Cell_.Placements_[B.Index_].Kind_ == JobKind::Gang;
    // A gang is preempted as a whole, so for equal methods its tasks come last. Then the teams with
    // the highest rank come first, then the tasks that lose the least run time.
    return std::tuple{A.Method_, GangA, -A.Rank_, A.LostRunTime_} <
           std::tuple{B.Method_, GangB, -B.Rank_, B.LostRunTime_};
  });
  PreemptionPlan Plan{.HostIndex_ = HostIndex};
  for (const Victim &Candidate : Candidates) {
    if (fitsRequested(Job.Size_, Free))
      break;
    const Resources Gain =
        resourcesFreedBy(Context.Cell_.Placements_[Candidate.Index_], Candidate.Method_);
    // Throttling frees no memory, so skip victims that free nothing that is needed.
    const bool Helps = (Job.Size_.MilliCores_ > Free.MilliCores_ && Gain.MilliCores_ > 0) ||
                       (Job.Size_.MemoryMb_ > Free.MemoryMb_ && Gain.MemoryMb_ > 0) ||
                       (Job.Size_.Accelerators_ > Free.Accelerators_ && Gain.Accelerators_ > 0);
    if (!Helps)
      continue;
    Free += Gain;
    Plan.Victims_.push_back(Candidate);
  }
  if (!fitsRequested(Job.Size_, Free))
    return std::nullopt;
  for (std::size_t I = Plan.Victims_.size(); I-- > 0;) {
    const Resources Gain = resourcesFreedBy(Context.Cell_.Placements_[Plan.Victims_[I].Index_],
                                            Plan.Victims_[I].Method_);
    if (!fitsRequested(Job.Size_, Free - Gain))
      continue;
    Free -= Gain;
    Plan.Victims_.erase(Plan.Victims_.begin() + static_cast<std::ptrdiff_t>(I));
  }
  Plan.Cost_ = {PreemptionMethod::Checkpoint, 0};
  for (const Victim &Chosen : Plan.Victims_) {
    const Placement &Placed = Context.Cell_.Placements_[Chosen.Index_];
    const double Tasks = Placed.Kind_ == JobKind::Gang
                             ? static_cast<double>(Context.Cell_.ByJob_.at(Placed.Job_).size())
                             : 1;
    Plan.Cost_.first = std::max(Plan.Cost_.first, Chosen.Method_);
    Plan.Cost_.second += Tasks * dominantShare(Context.Teams_, Placed.Size_);
  }
  return Plan;
}

void preempt(DecideContext &Context, PlacementIndex Index, PreemptionMethod Method) {
  Placement &Placed = Context.Cell_.Placements_[Index];
  if (Placed.PendingPreemption_)
    return;
  Placed.PendingPreemption_ = Method;
  Context.Decisions_.push_back({.Kind_ = DecisionKind::Preempt,
                                .Method_ = Method,
                                .Job_ = Placed.Job_,
                                .Task_ = Placed.Task_,
                                .Worker_ = Context.Cell_.Workers_[Placed.Worker_].Name_,
                                .WorkerIndex_ = Placed.Worker_});
}

/// Preempts tasks for one task of an urgent job by checkpoint, throttle or stop, in that order.
/// \returns false if no worker can be freed.
bool preemptFor(DecideContext &Context, const PendingJob &Job) {
  // Enough candidates for a cheap choice without examining all workers of a large cell.
  constexpr std::size_t MaxPlans = 8;
  const auto Count = static_cast<WorkerIndex>(Context.Cell_.Workers_.size());
  std::optional<PreemptionPlan> Best;
  for (const PreemptionMethod LastAllowed :
       {PreemptionMethod::Checkpoint, PreemptionMethod::Throttle, PreemptionMethod::Stop}) {
    std::size_t Plans = 0;
    for (WorkerIndex I = 0; I < Count && Plans < MaxPlans; ++I) {
      const WorkerIndex HostIndex = (Context.Pending_.PreemptOffset_ + I) % Count;
      auto Plan = planPreemption(Context, Job, HostIndex, LastAllowed);
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
  Context.Pending_.PreemptOffset_ = (Best->HostIndex_ + 1) % Count;
  for (const Victim &Chosen : Best->Victims_) {
    const Placement Placed = Context.Cell_.Placements_[Chosen.Index_];
    if (Placed.Kind_ == JobKind::Gang && Chosen.Method_ != PreemptionMethod::Throttle)
      for (const auto &[Task, Index] : Context.Cell_.ByJob_.at(Placed.Job_))
        preempt(Context, Index, Chosen.Method_);
    else
      preempt(Context, Chosen.Index_, Chosen.Method_);
  }
  reserve(Context.Cell_, Best->HostIndex_, {Job.Id_, Job.Size_, Context.Now_, true, true});
  Reservation &Reserved = Context.Pending_.Reservations_[Job.Id_];
  if (Reserved.Workers_.empty()) {
    Reserved.Since_ = Context.Now_;
    Reserved.Urgent_ = true;
  }
  Reserved.Workers_.push_back(Best->HostIndex_);
  return true;
}

/// Preempts tasks for the urgent jobs that did not fit, ordered by team rank and age.
void preemptForUrgent(DecideContext &Context) {
  std::vector<std::tuple<double, AgeKey>> Blocked;
  for (const TeamQueue &Queue : Context.Pending_.Teams_)
    for (const AgeKey &Age : Queue.Waiting_[static_cast<std::size_t>(WorkClass::Urgent)])
      Blocked.emplace_back(rankOf(Context.Teams_, findOrAddTeam(Context.Teams_, Queue.Team_)), Age);
  std::sort(Blocked.begin(), Blocked.end());
  for (const auto &[Rank, Age] : Blocked) {
    const PendingJob &Job = Context.Pending_.Jobs_[std::get<2>(Age)];
    const TeamIndex Team = findOrAddTeam(Context.Teams_, Job.Team_);
    for (;;) {
      const auto Existing = Context.Pending_.Reservations_.find(Job.Id_);
      const std::size_t ReservedHosts =
          Existing == Context.Pending_.Reservations_.end() ? 0 : Existing->second.Workers_.size();
      if (ReservedHosts >= Job.Waiting_.size() || Context.limitsReached() ||
          !withinLimit(Context.Teams_, Team,
                       Job.Size_ * static_cast<std::int64_t>(ReservedHosts + 1)))
        break;
      if (!preemptFor(Context, Job))
        break;
    }
  }
}

/// Makes one reservation, for the oldest job of the lowest-ranked team that may have one.
void reserveForOldest(DecideContext &Context, std::size_t ClassIndex) {
  PendingWork &Pending = Context.Pending_;
  const std::size_t MaxReservations = 2 + Context.Cell_.PresentWorkers_ / 48;
  if (Pending.Reservations_.size() >= MaxReservations)
    return;
  std::vector<std::tuple<double, AgeKey>> Oldest;
  for (const TeamQueue &Queue : Pending.Teams_)
    if (!Queue.Waiting_[ClassIndex].empty()) {
      const AgeKey &Age = *Queue.Waiting_[ClassIndex].begin();
      const double Rank = rankOf(Context.Teams_, findOrAddTeam(Context.Teams_, Queue.Team_));
      if (mayReserve(Context, Pending.Jobs_[std::get<2>(Age)], Rank))
        Oldest.emplace_back(Rank, Age);
    }
  std::sort(Oldest.begin(), Oldest.end());
  // Planning can examine all workers, so only one reservation is made per call.
  for (const auto &[Rank, Age] : Oldest) {
    const PendingJob &Job = Pending.Jobs_[std::get<2>(Age)];
    if (!withinLimit(Context.Teams_, findOrAddTeam(Context.Teams_, Job.Team_),
                     requestedAtOnce(Job)))
      continue;
    if (!Pending.Reservations_.empty() &&
        reservedFraction(Context) + dominantShare(Context.Teams_, requestedAtOnce(Job)) >
            Context.Limits_.MaxReservedFraction_)
      continue;
    makeReservation(Context, Job, Context.Now_);
    return;
  }
}

/// Shapes of one class that may fit. The set only shrinks during a decide() call, because starts
/// consume resources.
class FittingShapes {
public:
  FittingShapes(DecideContext &Context, std::size_t ClassIndex)
      : Context_(Context), MayFit_(Context.Pending_.Shapes_.size()) {
    for (const ShapeIndex ShapeId : Context.Pending_.ActiveShapes_[ClassIndex])
      if (!stillDoesNotFit(Context, ShapeId))
        Shapes_.push_back(ShapeId);
    for (const ShapeIndex ShapeId : Shapes_)
      MayFit_[ShapeId] = 1;
  }

  [[nodiscard]] bool empty() const { return Shapes_.empty(); }
  [[nodiscard]] std::size_t size() const { return Shapes_.size(); }

  /// Returns the indices of the queues with a job of a shape that may fit.
  [[nodiscard]] std::set<std::uint32_t> queues() const {
    std::set<std::uint32_t> Result;
    for (const ShapeIndex ShapeId : Shapes_)
      for (const auto &[Queue, Jobs] : Context_.Pending_.Shapes_[ShapeId].Waiting_)
        Result.insert(Queue);
    return Result;
  }

  /// Drops shapes that no longer fit or have no waiting jobs.
  void refresh() {
    std::erase_if(Shapes_, [&](ShapeIndex ShapeId) {
      if (Context_.Pending_.Shapes_[ShapeId].Jobs_ > 0 && !stillDoesNotFit(Context_, ShapeId))
        return false;
      MayFit_[ShapeId] = 0;
      return true;
    });
  }

  void drop(ShapeIndex ShapeId) {
    MayFit_[ShapeId] = 0;
    Context_.Pending_.Shapes_[ShapeId].CheckedUpTo_ = freedLogEnd(Context_.Cell_);
    std::erase(Shapes_, ShapeId);
  }

  /// Returns the team's oldest job that has a shape that may fit and is within the team's limit.
  [[nodiscard]] std::optional<JobIndex> oldestFitting(std::uint32_t Queue,
                                                      std::size_t ClassIndex) const {
    const PendingWork &Pending = Context_.Pending_;
    const std::set<AgeKey> &Waiting = Pending.Teams_[Queue].Waiting_[ClassIndex];
    const TeamIndex Team = findOrAddTeam(Context_.Teams_, Pending.Teams_[Queue].Team_);
    const auto Allowed = [&](JobIndex Index) {
      return withinLimit(Context_.Teams_, Team, requestedAtOnce(Pending.Jobs_[Index]));
    };
    // Do not scan a long queue if few shapes can fit.
    if (Waiting.size() <= 4 * Shapes_.size()) {
      for (const AgeKey &Age : Waiting) {
        const JobIndex Index = std::get<2>(Age);
        if (MayFit_[std::get<3>(Age)] != 0 && Allowed(Index))
          return Index;
      }
      return std::nullopt;
    }
    const AgeKey *Oldest = nullptr;
    for (const ShapeIndex ShapeId : Shapes_) {
      const auto Found = Pending.Shapes_[ShapeId].Waiting_.find(Queue);
      if (Found == Pending.Shapes_[ShapeId].Waiting_.end())
        continue;
      const AgeKey &Age = *Found->second.begin();
      if ((Oldest == nullptr || Age < *Oldest) && Allowed(std::get<2>(Age)))
        Oldest = &Age;
    }
    if (Oldest == nullptr)
      return std::nullopt;
    return std::get<2>(*Oldest);
  }

private:
  DecideContext &Context_;
  std::vector<ShapeIndex> Shapes_;
  std::vector<std::uint8_t> MayFit_; ///< by shape; small enough to stay in the CPU cache
};

/// Schedules one class: repeatedly starts the oldest fitting job of the lowest-ranked team.
void scheduleClass(DecideContext &Context, WorkClass Class) {
  PendingWork &Pending = Context.Pending_;
  const auto ClassIndex = static_cast<std::size_t>(Class);
  FittingShapes Shapes(Context, ClassIndex);
  using RankedQueue = std::pair<double, std::uint32_t>;
  std::priority_queue<RankedQueue, std::vector<RankedQueue>, std::greater<>> QueuesByRank;
  const auto RankOf = [&](std::uint32_t Queue) {
    return rankOf(Context.Teams_, findOrAddTeam(Context.Teams_, Pending.Teams_[Queue].Team_));
  };
  // With few shapes left, most teams have no job of these shapes and are skipped.
  constexpr std::size_t FewShapes = 64;
  bool Narrowed = false;
  const auto Narrow = [&] {
    if (Narrowed || Shapes.size() > FewShapes)
      return;
    Narrowed = true;
    QueuesByRank = {};
    for (const std::uint32_t Queue : Shapes.queues())
      QueuesByRank.emplace(RankOf(Queue), Queue);
  };
  Narrow();
  if (!Narrowed)
    for (std::uint32_t Queue = 0; Queue < Pending.Teams_.size(); ++Queue)
      if (!Pending.Teams_[Queue].Waiting_[ClassIndex].empty())
        QueuesByRank.emplace(RankOf(Queue), Queue);
  while (!QueuesByRank.empty() && !Shapes.empty()) {
    if (Context.limitsReached()) {
      Pending.LimitsReached_ = true;
      return;
    }
    const std::uint32_t Queue = QueuesByRank.top().second;
    QueuesByRank.pop();
    const auto Index = Shapes.oldestFitting(Queue, ClassIndex);
    if (!Index)
      continue;
    ++Context.StartAttempts_;
    const ShapeIndex ShapeId = Pending.Jobs_[*Index].Shape_;
    if (startJob(Context, *Index))
      Shapes.refresh();
    else
      Shapes.drop(ShapeId);
    QueuesByRank.emplace(RankOf(Queue), Queue);
    Narrow();
  }
  if (Class == WorkClass::Urgent) {
    if (Context.Limits_.AllowPreemption_)
      preemptForUrgent(Context);
  } else if (Context.Now_ >= Pending.NextReservationAt_) {
    reserveForOldest(Context, ClassIndex);
  }
}

/// Tries to start the jobs with a reservation, oldest reservation first.
void startReserved(DecideContext &Context, bool Urgent) {
  std::vector<std::pair<TimePoint, std::string>> Order;
  for (const auto &[Id, Reserved] : Context.Pending_.Reservations_)
    if (Reserved.Urgent_ == Urgent)
      Order.emplace_back(Reserved.Since_, Id);
  std::sort(Order.begin(), Order.end());
  for (const auto &[Since, Id] : Order) {
    if (Context.limitsReached())
      return;
    for (;;) {
      const auto Found = Context.Pending_.ById_.find(Id);
      if (Found == Context.Pending_.ById_.end() || !Context.Pending_.Reservations_.contains(Id))
        break;
      const PendingJob &Job = Context.Pending_.Jobs_[Found->second];
      if (!withinLimit(Context.Teams_, findOrAddTeam(Context.Teams_, Job.Team_),
                       requestedAtOnce(Job)) ||
          !startJob(Context, Found->second))
        break;
    }
  }
}

} // namespace

namespace detail {

bool fitsOn(const CellView &Cell, const Worker &Host, const Resources &Size, std::string_view Job,
            TimePoint End, bool Urgent) {
  const Resources Free = freeOf(Host);
  if (!fitsRequested(Size, Free))
    return false;
  if (Host.Health_ == Health::Probing && !Host.Placements_.empty())
    return false;
  if (Host.Reserved_.empty())
    return true;
  Resources ReservedByOthers;
  bool AnyReserved = false;
  TimePoint EarliestUse = TimePoint::max();
  for (const WorkerReservation &HostReservation : Host.Reserved_) {
    if (HostReservation.Job_ == Job ||
        (Urgent && !HostReservation.Urgent_ && !HostReservation.Exclusive_) ||
        (!HostReservation.Exclusive_ && End <= HostReservation.Until_))
      continue;
    ReservedByOthers += HostReservation.Amount_;
    EarliestUse = std::min(EarliestUse,
                           HostReservation.Exclusive_ ? TimePoint::min() : HostReservation.Until_);
    AnyReserved = true;
  }
  if (!AnyReserved)
    return true;
  // The task may outlast the start of the reserved work if both fit at that time.
  Resources FreeThen = Free;
  for (const PlacementIndex Index : Host.Placements_) {
    const Placement &Placed = Cell.Placements_[Index];
    if (Placed.PendingPreemption_)
      FreeThen += resourcesFreedBy(Placed, *Placed.PendingPreemption_);
    else if (Placed.ExpectedEnd_ <= EarliestUse)
      FreeThen += Placed.Size_;
  }
  const Resources Combined = Size + ReservedByOthers;
  return (Size.MilliCores_ <= 0 || Combined.MilliCores_ <= FreeThen.MilliCores_) &&
         (Size.MemoryMb_ <= 0 || Combined.MemoryMb_ <= FreeThen.MemoryMb_) &&
         (Size.Accelerators_ <= 0 || Combined.Accelerators_ <= FreeThen.Accelerators_);
}

std::optional<WorkerIndex> findWorkerFor(const CellView &Cell, const PendingJob &Job,
                                         TimePoint Now) {
  const TimePoint End = endIfStarted(Job, Now);
  // Probing workers come first; otherwise they would stay unused until the cell is full.
  if (mayRunAsProbe(Job))
    for (const WorkerIndex Index : Cell.Probing_)
      if (fitsOn(Cell, Cell.Workers_[Index], Job.Size_, Job.Id_, End, false))
        return Index;
  const auto BestFitHost = bestFit(Cell, Job, End);
  if (!BestFitHost || Job.Kind_ != JobKind::Service)
    return BestFitHost;
  return spreadOverRacks(Cell, Job, *BestFitHost);
}

} // namespace detail

TimePoint expectedEnd(const Placement &Placed, TimePoint Now) {
  if (Placed.ExpectedEnd_ == TimePoint::max() || Placed.ExpectedEnd_ > Now)
    return Placed.ExpectedEnd_;
  return Now + std::max<Duration>(seconds(1), (Now - Placed.Started_) / 2);
}

void taskRunning(CellView &Cell, Shares &Teams, WorkerIndex HostIndex, Placement NewPlacement,
                 TimePoint Now) {
  if (findPlacement(Cell, NewPlacement.Job_, NewPlacement.Task_) != nullptr)
    return;
  addUsage(Teams, findOrAddTeam(Teams, NewPlacement.Team_), NewPlacement.Size_, Now);
  place(Cell, HostIndex, std::move(NewPlacement));
}

std::optional<Placement> taskEnded(CellView &Cell, Shares &Teams, std::string_view Job,
                                   std::uint32_t Task, TimePoint Now) {
  auto Removed = release(Cell, Job, Task);
  if (Removed)
    addUsage(Teams, findOrAddTeam(Teams, Removed->Team_), Resources{} - Removed->Size_, Now);
  return Removed;
}

void taskThrottled(CellView &Cell, Shares &Teams, std::string_view Job, std::uint32_t Task,
                   TimePoint Now) {
  const Placement *Placed = findPlacement(Cell, Job, Task);
  if (Placed == nullptr)
    return;
  const Resources Before = Placed->Size_;
  applyThrottle(Cell, Job, Task);
  addUsage(Teams, findOrAddTeam(Teams, Placed->Team_), Placed->Size_ - Before, Now);
}

std::vector<Decision> decide(CellView &Cell, PendingWork &Pending, Shares &Teams, TimePoint Now,
                             const DecideLimits &Limits) {
  DecideContext Context{
      .Cell_ = Cell, .Pending_ = Pending, .Teams_ = Teams, .Now_ = Now, .Limits_ = Limits};
  Pending.LimitsReached_ = false;
  updateScarceResource(Cell);
  setCapacity(Teams, Cell.Capacity_);
  double Weights = 0;
  double RankSum = 0;
  for (const TeamQueue &Queue : Pending.Teams_) {
    const TeamIndex Team = findOrAddTeam(Teams, Queue.Team_);
    decay(Teams, Team, Now);
    Weights += Teams.Teams_[Team].Weight_;
    RankSum += rankOf(Teams, Team) * Teams.Teams_[Team].Weight_;
  }
  Context.MeanRank_ = Weights > 0 ? RankSum / Weights : 0;
  maintainReservations(Context);
  startReserved(Context, true);
  scheduleClass(Context, WorkClass::Urgent);
  startReserved(Context, false);
  scheduleClass(Context, WorkClass::Service);
  scheduleClass(Context, WorkClass::Ordinary);
  if (Now >= Pending.NextReservationAt_)
    Pending.NextReservationAt_ = Now + std::chrono::milliseconds(200);
  return std::move(Context.Decisions_);
}

} // namespace masticdrift::policy
