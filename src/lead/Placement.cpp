// Placement: decides which waiting task starts next, and on which executor.
#include "masticdrift/lead/Capacity.h"
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/Suspicion.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>
#include <limits>
#include <span>

namespace masticdrift::lead {

namespace {

/// Interval of placement passes without an event, for occurrences and timeouts that become due.
constexpr core::Millis PlacementInterval{100};
/// Longest time for which it is not looked whether the steps before one are about to end.
constexpr core::Millis MaxAheadCheckInterval{200};
/// Advice is requested about executors that are known to be allowed, and whose tickets have
/// expired, before others of the same load: each of them is usable.
constexpr double RenewalBonus = 1;
/// Work that exceeds its customer's rate or is too late gets one of so many calls for advice at
/// most, so that a long call for it does not hold up work in time.
constexpr std::size_t LateCallShare = 2;

/// Limit of executors in one advice request; the service accepts 100.
constexpr std::size_t MaxExecutorsPerCall = 60;
/// Ratio of the slots for which advice is requested to the slots needed, because executors may fill
/// up in the meantime.
constexpr double AdviceReserveFactor = 1.3;
/// Determines the minimum number of executors in an advice request: so many that their time per
/// executor adds up to this fraction of the request's fixed time.
constexpr double MinExecutorTimeFraction = 0.3;
/// Initial estimate of the yield, the fraction of executors that advice allows.
constexpr double InitialYield = 0.5;
/// Weight of a new sample of the yield.
constexpr double YieldWeight = 0.1;
/// Minimum yield that is assumed.
constexpr double MinYield = 0.1;
/// Advice for the next step is requested when the current step is expected to end within the
/// duration of the request plus this time.
constexpr core::Millis PrefetchSlack{400};

/// Time after a search among all executors for one to request advice about, without a result, in
/// which a step does not search again. Shorter than the time in which most executors report.
constexpr core::Millis SearchInterval{40};

/// An executor with a withheld end gets no new runs from this number of unacknowledged ends on: its
/// reports hold at most fleet::MaxReportedEnds, and each repeats all of them.
constexpr std::size_t MaxEndsBehindWithheld = 100;
/// One part in so many of the work that is started goes to work that is past its value or its
/// objective, while there is any. More would delay work that can still be in time. Counted in
/// resource time: one start in 16 gave it 40 percent where overdue tasks are twelve times as large.
constexpr double WorkPerOverdueWork = 16;
/// Limit of the work that overdue work can be owed, in thousandths of a core times milliseconds
/// (100 core-seconds); it bounds the burst after a quiet time.
constexpr double MaxOverdueCredit = 1e8;
/// Steps that have the turn of overdue work at the same time.
constexpr std::size_t MaxOverdueTurns = 8;
/// A lasting task counts as this long when its turn is charged.
constexpr core::Millis LastingTurnTime{1000};
/// Time for which a step has the turn of overdue work, in which its advice can be requested.
constexpr core::Millis OverdueTurnTime{1000};

/// Copies of one task that may run unreported: each leader starts at most one beside those of
/// earlier leaders, and leases rarely outlast two takeovers.
constexpr std::int64_t MaxUnreportedCopies = 2;

/// Penalties relative to the load of an executor, which ranges from 0 to 1.
constexpr double OtherRackPenalty = 2;
constexpr double FailedTaskPenalty = 1.5;
constexpr double InterferencePenalty = 3;
constexpr double FailingExecutorPenalty = 0.5;
/// Added to the cost of starting a suspect task for each run that a crash would take along.
constexpr double TrialLoadPenalty = 0.5;
/// Added for each multiple of the typical run time beyond the first.
constexpr double SlownessPenalty = 0.5;
/// Added for urgent work for each multiple of the run time on an average executor beyond the first.
/// As large as the whole range of loads, so that urgent work gets fast executors while they have
/// room, and other work the rest.
constexpr double UrgentSlownessPenalty = 1;
/// Work is given up for its objective when this fraction of its expected run time is too long:
/// predictions err, and executors differ in speed.
constexpr double ShortestRunFraction = 0.8;
/// At most 1/MaxReserveDivisor of a pool is kept free for urgent work that waits for advice. Work
/// of a pool that is less than half full must start in any case.
constexpr std::int64_t MaxReserveDivisor = 4;
/// A cold executor counts like one on which runs take twice as long.
constexpr double ColdPenalty = SlownessPenalty;

using detail::isUnset;
using detail::MaxClockDifference;

/// A step with waiting tasks and the fields that determine its order.
struct Candidate {
  int UrgencyClass_ = 0;
  int Priority_ = 0;
  core::TimePoint Deadline_;
  TrackedJob *Job_ = nullptr;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  bool Overdue_ = false;
  WaitReason Wait_ = WaitReason::None;
  WaitFigures Figures_{};
};

/// \returns the time before a start at which its advice is requested.
core::Duration adviceHorizon(const work::AdvicePolicy &Policy) {
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double, std::milli>(
             Policy.FixedMs_ * (1 + MinExecutorTimeFraction))) +
         PrefetchSlack;
}

// Urgency classes, the first to be placed first.
constexpr int TurnUrgencyClass = -1;    ///< work that is too late and has its turn
constexpr int InTimeUrgencyClass = 0;   ///< can still reach its objective
constexpr int LateUrgencyClass = 1;     ///< can still be of some use
constexpr int OverRateUrgencyClass = 2; ///< exceeds its customer's rate
constexpr int UselessUrgencyClass = 3;  ///< too late

/// \returns the urgency class of a step whose longest chain takes \p Chain from now on.
/// \param Deadline,ExpiresAt objective, and the time from which on the job is of no use.
int urgencyClass(bool OverRate, bool Lasting, core::Millis Chain, core::TimePoint Deadline,
                 core::TimePoint ExpiresAt, core::TimePoint Now) {
  // Tasks that run until they are cancelled never lose their value.
  if (Lasting)
    return OverRate ? OverRateUrgencyClass : InTimeUrgencyClass;
  const core::Duration Shortest =
      std::chrono::duration_cast<core::Duration>(Chain * ShortestRunFraction);
  if (Now + Shortest > ExpiresAt)
    return UselessUrgencyClass;
  if (OverRate)
    return OverRateUrgencyClass;
  return Now + Shortest > Deadline ? LateUrgencyClass : InTimeUrgencyClass;
}

bool isMoreUrgent(const Candidate &Left, const Candidate &Right) {
  return std::tie(Left.UrgencyClass_, Left.Priority_, Left.Deadline_, Left.Job_->Id_,
                  Left.Occurrence_, Left.Step_) < std::tie(Right.UrgencyClass_, Right.Priority_,
                                                           Right.Deadline_, Right.Job_->Id_,
                                                           Right.Occurrence_, Right.Step_);
}

} // namespace

/// One placement pass over all steps with waiting tasks.
struct PlacementPass {
  Scheduler &Scheduler_;
  core::TimePoint Now_;
  /// Resources of tasks that an earlier leader may have started and that no executor has reported
  /// yet, by customer.
  std::unordered_map<std::string, core::Resources> UnknownUse_;
  RoomIndex &Index_;
  /// Ordinals of the executors that accept new runs, by the index of their pool.
  std::vector<std::vector<std::uint32_t>> OpenExecutors_;
  RoomPlan Plan_;
  /// Needs for which no executor that is not fully advised has unclaimed room, by pool and label.
  std::map<std::pair<std::string_view, std::string_view>, std::vector<core::Resources>>
      ExhaustedNeeds_;
  /// Room of a pool, and the urgent work that is about to take it.
  struct PoolRoom {
    core::Resources Free_;     ///< of all executors that accept runs
    core::Resources Capacity_; ///< the same
    core::Resources Urgent_;   ///< needs of urgent tasks that wait for a ticket or for an order
  };
  std::map<std::string_view, PoolRoom> PoolRooms_; ///< of the pools that were asked for
  /// Number of tasks by step whose only run is about to count as over.
  std::map<const TrackedStep *, std::uint32_t> LapsingTasks_;
  /// Runs by customer that steps will need when their advice arrives.
  std::unordered_map<std::string, std::size_t> ClaimedRuns_;

  /// Counts the tasks on executors that do not answer and whose leases end within the time of an
  /// advice request. The other members of a gang would still have to be stopped.
  void countLapsingTasks() {
    for (std::size_t Ordinal = 0; Ordinal < Index_.Executors_.size(); ++Ordinal) {
      if (!Index_.Executors_[Ordinal].Silent_)
        continue;
      const ExecutorState &Executor = *Scheduler_.ByOrdinal_[Ordinal];
      noteRead(Executor);
      for (const auto &[Key, Lapsing] : Executor.Runs_) {
        TrackedJob *Job = Scheduler_.findJob(Lapsing.Task_);
        if (Job == nullptr || Job->Ended_ || !Job->Queue_.Advice_ ||
            Scheduler_.stepSpec(*Job, Lapsing.Task_).Gang_ ||
            Executor.LeaseEnd_ - Now_ > adviceHorizon(*Job->Queue_.Advice_))
          continue;
        const TrackedStep &Step = *Scheduler_.findStep(*Job, Lapsing.Task_);
        const TrackedTask &Task = Step.Tasks_[Lapsing.Task_.Index_];
        if (Task.State_ == TaskState::Placed && Task.ActiveRuns_ == 1)
          ++LapsingTasks_[&Step];
      }
    }
  }

  void noteRead(const ExecutorState &Executor) const {
    ++Scheduler_.StatesRead_.Executors_;
    Scheduler_.StatesRead_.Runs_ += Executor.Runs_.size();
  }

  /// \returns the number of tasks that wait or are about to.
  std::uint32_t tasksToAdvise(const TrackedStep &Step) const {
    if (LapsingTasks_.empty())
      return Step.WaitingTasks_;
    const auto Found = LapsingTasks_.find(&Step);
    return Step.WaitingTasks_ + (Found == LapsingTasks_.end() ? 0 : Found->second);
  }

  void sumUnknownUse(std::int64_t WallMs) {
    if (Scheduler_.Accounted_)
      return;
    const std::int64_t DueBeforeMs = WallMs + MaxClockDifference.count();
    std::int64_t Unreported = Scheduler_.RosterComplete_ ? 0 : 1;
    core::Resources LargestCapacity;
    for (const auto &[Id, Executor] : Scheduler_.Executors_) {
      LargestCapacity = core::max(LargestCapacity, Executor.Info_.Capacity_);
      if (Executor.InheritedRuns_ && !Executor.Reported_ && !Executor.Replaced_ &&
          !Executor.SilenceInherited_)
        ++Unreported;
    }
    const std::int64_t Copies = std::min<std::int64_t>(Unreported, MaxUnreportedCopies);
    for (const auto &[Id, Job] : Scheduler_.Jobs_)
      if (Job.Inherited_)
        for (const TrackedOccurrence &Occurrence : Job.Occurrences_)
          if (Occurrence.DueMs_ < DueBeforeMs)
            UnknownUse_[Job.Acceptance_.Customer_] += unknownUse(Job.Spec_, Occurrence, Copies);
    // The capacity of an executor may have shrunk under its runs, and is unknown once it has left
    // the list.
    if (Scheduler_.RosterComplete_)
      boundUnknownUse(LargestCapacity * Unreported);
  }

  /// Customers cannot use more than the room of the executors that have not reported. Filling tasks
  /// are not bound by an executor's cores.
  void boundUnknownUse(const core::Resources &Room) {
    std::set<std::string_view> Filling;
    for (const auto &[Id, Job] : Scheduler_.Jobs_)
      if (Job.Inherited_ && std::ranges::any_of(Job.Spec_.Steps_, &work::StepSpec::BestEffort_))
        Filling.insert(Job.Acceptance_.Customer_);
    for (auto &[Customer, Use] : UnknownUse_) {
      if (!Filling.contains(Customer))
        Use.MilliCores_ = std::min(Use.MilliCores_, Room.MilliCores_);
      Use.MemoryMb_ = std::min(Use.MemoryMb_, Room.MemoryMb_);
      Use.Accelerators_ = std::min(Use.Accelerators_, Room.Accelerators_);
    }
  }

  /// \returns the most that the unreported runs of an occurrence may use, with at most \p Copies of
  /// a task that allows them. The earlier leader may have begun steps that are not ready by the
  /// stored progress, but no run of a step beside one of a step that it depends on; so of a chain
  /// of steps only the largest counts. Copies are the exception: they may run on when their task is
  /// done.
  static core::Resources unknownUse(const work::JobSpec &Spec, const TrackedOccurrence &Occurrence,
                                    std::int64_t Copies) {
    core::Resources Total;
    std::map<std::size_t, core::Resources> ChainUse; // by the last step of the chain
    std::vector<bool> RulesOutLater(Occurrence.Steps_.size());
    for (std::size_t I = 0; I < Occurrence.Steps_.size(); ++I) {
      const TrackedStep &Step = Occurrence.Steps_[I];
      const work::StepSpec &StepSpec = Spec.Steps_[I];
      const auto &Earlier = StepSpec.DependsOn_;
      const bool NotBegun =
          std::ranges::any_of(Earlier, [&](std::uint32_t Other) { return RulesOutLater[Other]; });
      RulesOutLater[I] = NotBegun || (!StepSpec.AllowDuplicates_ && Step.InheritedRuns_ > 0);
      if (NotBegun)
        continue;
      if (StepSpec.AllowDuplicates_) {
        Total += StepSpec.Need_ * (static_cast<std::int64_t>(Step.Tasks_.size()) * Copies);
        continue;
      }
      core::Resources Use = StepSpec.Need_ * unseenTasks(Step);
      for (const std::uint32_t Other : Earlier)
        if (const auto Chain = ChainUse.extract(Other); !Chain.empty()) {
          Use = core::max(Use, Chain.mapped());
          break;
        }
      ChainUse[I] = Use;
    }
    for (const auto &[Last, Use] : ChainUse)
      Total += Use;
    return Total;
  }

  /// \returns the number of tasks that may have an unreported run.
  static std::int64_t unseenTasks(const TrackedStep &Step) {
    return std::ranges::count_if(Step.Tasks_, [](const TrackedTask &Task) {
      return Task.State_ == TaskState::Waiting && !Task.InheritedRun_;
    });
  }

  /// Takes over what has changed since the last pass, and collects the executors that accept new
  /// runs.
  void refreshRooms() {
    for (const std::uint32_t Ordinal : std::exchange(Scheduler_.StaleRooms_, {}))
      if (ExecutorState *Executor = Scheduler_.ByOrdinal_[Ordinal]) {
        Executor->RoomStale_ = false;
        noteRead(*Executor);
        refresh(Index_, *Executor, acceptsWork(*Executor));
      }
    OpenExecutors_ = openExecutors(Index_);
  }

  /// Begins the plan of the room that is free or will be released.
  void planRoom() {
    refreshRooms();
    Plan_.Claimed_.resize(Index_.Executors_.size());
  }

  /// \returns the accounts of a customer's limit, those of steps that are not ready last, or null
  /// without a limit.
  std::pair<RoomAccount *, RoomAccount *> limitAccounts(const std::string &Name) {
    const auto Customer = Scheduler_.Manifest_.Customers_.find(Name);
    if (Customer == Scheduler_.Manifest_.Customers_.end() ||
        Customer->second.UpperLimit_ == core::Resources{})
      return {};
    const auto [Account, IsNew] = Plan_.Customers_.try_emplace(Name);
    if (!IsNew)
      return {&Account->second, &Plan_.CustomersAhead_.at(Name)};
    const auto FreeOf = [](std::int64_t Limit, std::int64_t Used) {
      return Limit == 0 ? UnlimitedRoom : Limit - Used;
    };
    const core::Resources Used = usedBy(Name);
    const core::Resources &Limit = Customer->second.UpperLimit_;
    Account->second = accountOf(Index_, Name,
                                {FreeOf(Limit.MilliCores_, Used.MilliCores_),
                                 FreeOf(Limit.MemoryMb_, Used.MemoryMb_),
                                 FreeOf(Limit.Accelerators_, Used.Accelerators_)});
    return {&Account->second, &(Plan_.CustomersAhead_[Name] = Account->second)};
  }

  /// \returns the unclaimed room of all executors at time \p By, by ordinal.
  const std::vector<core::Resources> &roomBy(core::TimePoint By) {
    const auto [Rooms, IsNew] = Plan_.Executors_.try_emplace(By);
    if (IsNew)
      Rooms->second = roomOfExecutors(Index_, Plan_.Claimed_, By);
    return Rooms->second;
  }

  bool acceptsWork(const ExecutorState &Executor) const {
    return Scheduler_.acceptsWork(Executor, Now_);
  }

  /// \returns true when a crash of the executor could only come from a run that starts there now.
  bool isFreeOfFreshRuns(const ExecutorState &Executor) const {
    return std::ranges::all_of(Executor.Runs_, [&](const auto &Entry) {
      const Run &Other = Entry.second;
      const core::TimePoint StartedAt =
          isUnset(Other.ConfirmedAt_) ? Other.OrderedAt_ : Other.ConfirmedAt_;
      return Now_ - StartedAt >= Scheduler_.Timing_.StartSurvivalTime_;
    });
  }

  /// \returns the ordinals of the executors that have accepted new runs when they changed last.
  std::span<const std::uint32_t> openExecutorsOf(const TrackedJob &Job) const {
    const auto Found = Index_.Pools_.find(Job.Queue_.Pool_);
    return Found == Index_.Pools_.end() ? std::span<const std::uint32_t>()
                                        : OpenExecutors_[Found->second];
  }

  static bool hasLabel(const ExecutorState &Executor, std::string_view Label) {
    return Label.empty() ||
           std::ranges::find(Executor.Info_.Labels_, Label) != Executor.Info_.Labels_.end();
  }

  /// \returns true when the step may run on the executor by its label and the job's regions.
  static bool isEligible(const TrackedJob &Job, const work::StepSpec &Spec,
                         const ExecutorState &Executor) {
    return hasLabel(Executor, Spec.RequiredLabel_) &&
           (!Job.Regions_ || Job.Regions_->contains(Executor.Region_));
  }

  /// Calls \p Visit with each executor on which the step may start, regardless of its free
  /// capacity: the executor accepts work and, on queues with advice, the step has a valid ticket
  /// for it.
  /// \param Concerns decides by the ordinal whether an executor is of interest.
  template <typename Visitor, typename Filter>
  void visitAllowed(const TrackedJob &Job, const TrackedStep &Step, const work::StepSpec &Spec,
                    Filter Concerns, Visitor Visit) const {
    if (!Job.Queue_.Advice_) {
      for (const std::uint32_t Ordinal : openExecutorsOf(Job))
        if (ExecutorState &Executor = *Scheduler_.ByOrdinal_[Ordinal];
            Concerns(Ordinal) && acceptsWork(Executor) && isEligible(Job, Spec, Executor))
          Visit(Executor);
      return;
    }
    for (const auto &[Ordinal, Advice] : Step.Advice_) {
      if (!Advice.Allowed_ || !Concerns(Ordinal))
        continue;
      ExecutorState *Executor = Scheduler_.ByOrdinal_[Ordinal];
      if (Executor != nullptr && isValid(Advice, *Executor) && acceptsWork(*Executor) &&
          Executor->Info_.Pool_ == Job.Queue_.Pool_ && isEligible(Job, Spec, *Executor))
        Visit(*Executor);
    }
  }

  template <typename Visitor>
  void visitAllowed(const TrackedJob &Job, const TrackedStep &Step, const work::StepSpec &Spec,
                    Visitor Visit) const {
    visitAllowed(
        Job, Step, Spec, [](std::uint32_t) { return true; }, Visit);
  }

  /// \returns true when the executor had room for a task of the step when the pass began. It has
  /// no more since, because runs are only added.
  bool hadRoom(std::uint32_t Ordinal, const work::StepSpec &Spec) const {
    return Ordinal < Index_.Executors_.size() &&
           core::fits(executorNeed(Spec), Index_.Executors_[Ordinal].Account_.Free_);
  }

  bool isValid(const ExecutorAdvice &Advice, const ExecutorState &Executor) const {
    return Advice.Allowed_ && Advice.Incarnation_ == Executor.Incarnation_ &&
           Now_ < Advice.ValidUntil_;
  }

  double coldStartRate(const ExecutorState &Executor) const {
    const auto Pool = Scheduler_.Manifest_.Pools_.find(Executor.Info_.Pool_);
    return Pool == Scheduler_.Manifest_.Pools_.end() ? 0 : Pool->second.ColdStartsPerS_;
  }

  /// \returns the starts that a cold executor bears now.
  std::uint32_t coldStarts(const ExecutorState &Executor) const {
    const double Rate = coldStartRate(Executor);
    if (Rate <= 0)
      return std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(coldStartsBy(Executor, Rate));
  }

  /// Token bucket with a capacity of one second, and of one start at least.
  double coldStartsBy(const ExecutorState &Executor, double Rate) const {
    const double Since = std::chrono::duration<double>(Now_ - Executor.ColdStartsAt_).count();
    return std::min(std::max(Rate, 1.0), Executor.ColdStarts_ + Rate * Since);
  }

  void takeColdStart(ExecutorState &Executor) const {
    if (Now_ >= Executor.ColdUntil_)
      return;
    const double Rate = coldStartRate(Executor);
    if (Rate <= 0)
      return;
    Executor.ColdStarts_ = coldStartsBy(Executor, Rate) - 1;
    Executor.ColdStartsAt_ = Now_;
  }

  /// \returns how many more tasks of the step fit on the executor, at most \p MaxTasks.
  std::uint32_t freeSlots(const ExecutorState &Executor, const TrackedStep &Step,
                          const work::StepSpec &Spec, std::uint32_t MaxTasks) const {
    if (Now_ < Executor.ColdUntil_)
      MaxTasks = std::min(MaxTasks, coldStarts(Executor));
    core::Resources FreeRoom = Executor.Info_.Capacity_ - Executor.Used_;
    core::Resources Need = Spec.Need_;
    if (Spec.BestEffort_)
      Need.MilliCores_ = 0;
    std::uint32_t Count = 0;
    std::uint32_t RunsHere = 0;
    if (const auto Found = Step.RunsPerExecutor_.find(Executor.Ordinal_);
        Found != Step.RunsPerExecutor_.end())
      RunsHere = Found->second;
    while (Count < MaxTasks && core::fits(Need, FreeRoom) &&
           (Spec.MaxPerExecutor_ == 0 || RunsHere + Count < Spec.MaxPerExecutor_)) {
      FreeRoom -= Need;
      ++Count;
    }
    return Count;
  }

  /// \returns true when a filling task and a task with a response time target would share the
  /// executor.
  bool interferes(const ExecutorState &Executor, const work::StepSpec &Spec) const {
    if (!Spec.BestEffort_ && Spec.TargetMs_ == 0)
      return false;
    return std::ranges::any_of(Executor.Runs_, [&](const auto &Entry) {
      return (Spec.BestEffort_ && Entry.second.HasResponseTarget_) ||
             (Spec.TargetMs_ > 0 && Entry.second.Fills_);
    });
  }

  double placementCost(const TrackedJob &Job, const ExecutorState &Executor,
                       const work::StepSpec &Spec, const TrackedTask &Task) const {
    const double Capacity =
        static_cast<double>(std::max<std::int64_t>(Executor.Info_.Capacity_.MilliCores_, 1));
    double Cost = static_cast<double>(Executor.Used_.MilliCores_ + Executor.FillMilliCores_ +
                                      Spec.Need_.MilliCores_) /
                  Capacity;
    if (!hasLabel(Executor, Spec.PreferredRack_))
      Cost += OtherRackPenalty;
    if (Task.AvoidExecutor_ == Executor.Info_.Id_)
      Cost += FailedTaskPenalty;
    if (!Executor.FailedJobs_.empty())
      Cost += FailingExecutorPenalty;
    Cost += SlownessPenalty * (slownessFactor(Executor.Slowness_, Now_) - 1);
    if (Now_ < Executor.ColdUntil_)
      Cost += ColdPenalty;
    if (Job.Queue_.Priority_ == 0 && !Spec.LongRunning_)
      Cost += UrgentSlownessPenalty * (Executor.RunTimeFactor_ - 1);
    if (interferes(Executor, Spec))
      Cost += InterferencePenalty;
    return Cost;
  }

  /// \returns true when the step may start on an executor at whose address none has crashed under
  /// the task.
  bool hasUncrashedExecutor(const Candidate &Waiting, const TrackedStep &Step,
                            const work::StepSpec &Spec, const work::TaskRef &Task) const {
    bool Found = false;
    visitAllowed(*Waiting.Job_, Step, Spec, [&](const ExecutorState &Executor) {
      Found = Found || (core::fits(Spec.Need_, Executor.Info_.Capacity_) &&
                        !hasCrashedAt(Waiting.Job_->Progress_, Task, Executor.Info_.Address_));
    });
    return Found;
  }

  /// \param Isolated true for a task that may have crashed executors: it goes to one without other
  /// runs that start now, and not where one has crashed under it while there are others. An
  /// executor that crashes by itself again and again is empty each time.
  ExecutorState *chooseExecutor(const Candidate &Waiting, const TrackedStep &Step,
                                const work::StepSpec &Spec, const work::TaskRef &Task,
                                bool Isolated, std::string_view Rack = {}) const {
    const TrackedJob &Job = *Waiting.Job_;
    const bool AvoidsCrashed = Isolated && hasUncrashedExecutor(Waiting, Step, Spec, Task);
    ExecutorState *Best = nullptr;
    double LowestCost = std::numeric_limits<double>::infinity();
    const auto HadRoom = [&](std::uint32_t Ordinal) { return hadRoom(Ordinal, Spec); };
    visitAllowed(Job, Step, Spec, HadRoom, [&](ExecutorState &Executor) {
      if (freeSlots(Executor, Step, Spec, 1) == 0 || Executor.Trial_ ||
          (!Rack.empty() && fleet::rackOf(Executor.Info_) != Rack) ||
          (Spec.BestEffort_ && interferes(Executor, Spec)) ||
          (Isolated && !isFreeOfFreshRuns(Executor)) ||
          (AvoidsCrashed && hasCrashedAt(Job.Progress_, Task, Executor.Info_.Address_)))
        return;
      double Cost = placementCost(Job, Executor, Spec, Step.Tasks_[Task.Index_]);
      if (Isolated)
        Cost += TrialLoadPenalty * static_cast<double>(Executor.Runs_.size());
      // Ties are broken by ordinal, so that the choice does not depend on hash table order.
      if (Cost < LowestCost || (Cost == LowestCost && Executor.Ordinal_ < Best->Ordinal_)) {
        LowestCost = Cost;
        Best = &Executor;
      }
    });
    return Best;
  }

  /// \returns the part of a customer's limit that its less urgent work must leave free.
  core::Resources reservedFor(const std::string &Customer, const core::Resources &Limit) const {
    const auto Found = Scheduler_.UrgentPeaks_.find(Customer);
    return Found == Scheduler_.UrgentPeaks_.end() ? core::Resources()
                                                  : reserveOf(Found->second, Limit);
  }

  /// Updates the peak demand of first-priority work.
  void updatePeaks() {
    for (auto &[Customer, Peak] : Scheduler_.UrgentPeaks_)
      Peak.Demand_ = Peak.InUse_ = {};
    for (const auto &[Id, Job] : Scheduler_.Jobs_)
      if (Job.Queue_.Priority_ == 0 && !Job.Ended_ && Now_ < Job.ValueExpiresAt_)
        for (const TrackedOccurrence &Occurrence : Job.Occurrences_)
          for (std::size_t I = 0; I < Occurrence.Steps_.size(); ++I)
            if (const TrackedStep &Step = Occurrence.Steps_[I]; Occurrence.Due_ && Step.Ready_) {
              DemandPeak &Peak = Scheduler_.UrgentPeaks_[Job.Acceptance_.Customer_];
              const core::Resources &Need = Job.Spec_.Steps_[I].Need_;
              const auto OpenTasks =
                  static_cast<std::int64_t>(Step.Tasks_.size()) - Step.DoneTasks_;
              Peak.Demand_ += Need * OpenTasks;
              Peak.InUse_ += Need * (OpenTasks - Step.WaitingTasks_);
            }
    for (auto &[Name, Peak] : Scheduler_.UrgentPeaks_) {
      const auto Customer = Scheduler_.Manifest_.Customers_.find(Name);
      updatePeak(Peak,
                 Customer == Scheduler_.Manifest_.Customers_.end() ? core::Resources()
                                                                   : Customer->second.UpperLimit_,
                 Now_);
    }
  }

  /// \returns what counts as used by a customer.
  core::Resources usedBy(const std::string &Customer) const {
    core::Resources Used = Scheduler_.UsedByCustomer_[Customer];
    if (const auto Found = UnknownUse_.find(Customer); Found != UnknownUse_.end())
      Used += Found->second;
    return Used;
  }

  /// \returns why the customer's limit does not allow another task, or WaitReason::None.
  WaitReason checkLimit(const TrackedJob &Job, const core::Resources &Need) const {
    const auto Customer = Scheduler_.Manifest_.Customers_.find(Job.Acceptance_.Customer_);
    if (Customer == Scheduler_.Manifest_.Customers_.end())
      return WaitReason::None;
    const core::Resources &Limit = Customer->second.UpperLimit_;
    const core::Resources Used = usedBy(Customer->first);
    if (!fitsLimit(Used, Need, Limit))
      return WaitReason::CustomerLimit;
    if (Job.Queue_.Priority_ > 0 &&
        !fitsBesideReserve(Used, Need, Limit, reservedFor(Customer->first, Limit)))
      return WaitReason::CustomerReserve;
    return WaitReason::None;
  }

  /// \returns how many more runs the limit allows the job's customer.
  std::size_t runsLeft(const TrackedJob &Job) const {
    const std::size_t Free =
        Scheduler_.RunLimit_ - std::min(Scheduler_.RunCounts_.total(), Scheduler_.RunLimit_);
    return Free - std::min(Scheduler_.RunCounts_.of(Job.Acceptance_.Customer_), Free);
  }

  /// Claims runs for \p Wanted tasks of a step that may start soon.
  ///
  /// \returns how many of them the limit of runs allows, beside those claimed before.
  std::uint32_t claimRuns(const TrackedJob &Job, const work::StepSpec &Spec, std::uint32_t Wanted) {
    std::size_t &Claimed = ClaimedRuns_[Job.Acceptance_.Customer_];
    const std::size_t Left = runsLeft(Job);
    const std::size_t Unclaimed = Left - std::min(Claimed, Left);
    if (Spec.Gang_ && Wanted > Unclaimed)
      return 0;
    const auto Allowed = static_cast<std::uint32_t>(std::min<std::size_t>(Wanted, Unclaimed));
    Claimed += Allowed;
    return Allowed;
  }

  void startTask(ExecutorState &Executor, const Candidate &Waiting, TrackedStep &Step,
                 const work::TaskRef &Task, std::uint64_t Number) {
    TrackedJob &Job = *Waiting.Job_;
    chargeTurn(Waiting);
    takeColdStart(Executor);
    poolRoom(Job).Free_ -= executorNeed(Job.Spec_.Steps_[Waiting.Step_]);
    TrackedTask &Tracked = Step.Tasks_[Task.Index_];
    Run &NewRun = Scheduler_.addRun(Executor, &Job, Task, Number, RunState::Starting, Now_);
    NewRun.Order_ = {Task, Number, {}, 0, Scheduler_.Token_, Tracked.Checkpoint_, {}};
    if (const auto Found = Step.Advice_.find(Executor.Ordinal_); Found != Step.Advice_.end()) {
      NewRun.Order_.Ticket_ = Found->second.Ticket_;
      ++Scheduler_.AdvisedStarts_;
    }
    Scheduler_.updateExpectedEnd(NewRun, Now_);
    if (isUnset(Step.FirstStartAt_))
      Step.FirstStartAt_ = Now_;
    if (const std::size_t Crashes = crashCount(Job.Progress_, Task); Crashes > 0) {
      Executor.Trial_ = {Task, Number};
      Scheduler_.logDecision("suspect_starts", Task, Number, Executor.Info_.Id_,
                             std::to_string(Crashes) + " crashes");
    }
    Scheduler_.logDecision("start", Task, Number, Executor.Info_.Id_, Tracked.Checkpoint_);
    Scheduler_.sendStart(Executor, NewRun, Now_);
  }

  /// \returns true while another crash under the task might not be counted: the last one is not
  /// durable yet, or it is open whether one has happened under an earlier leader.
  bool waitsForSuspicion(const Candidate &Waiting, const work::TaskRef &Task) const {
    const TrackedJob &Job = *Waiting.Job_;
    return (Scheduler_.DurableFlush_ < Job.CrashFlush_ && crashCount(Job.Progress_, Task) > 0) ||
           (!Scheduler_.Accounted_ && hasOpenSuspicion(Job.Progress_, Task));
  }

  /// \returns true while overdue work may go first: it is owed some, or half of the pool is free,
  /// so that it takes no room from other work.
  bool mayHaveTurn(const TrackedJob &Job) {
    return Scheduler_.OverdueCredit_ > 0 || isHalfFree(poolRoom(Job));
  }

  static bool isHalfFree(const PoolRoom &Room) {
    return 2 * Room.Free_.MilliCores_ >= Room.Capacity_.MilliCores_ &&
           2 * Room.Free_.MemoryMb_ >= Room.Capacity_.MemoryMb_;
  }

  /// Accounts for a start of overdue work that has its turn, or of other work.
  void chargeTurn(const Candidate &Waiting) {
    const work::StepSpec &Spec = Waiting.Job_->Spec_.Steps_[Waiting.Step_];
    const core::Millis Time =
        Spec.LongRunning_ ? LastingTurnTime : Waiting.Job_->ExpectedTimes_[Waiting.Step_];
    const double Work =
        static_cast<double>(Spec.Need_.MilliCores_) * static_cast<double>(Time.count());
    const double Change = Waiting.UrgencyClass_ == TurnUrgencyClass
                              ? (isHalfFree(poolRoom(*Waiting.Job_)) ? 0 : -Work)
                              : (Waiting.Overdue_ ? 0 : Work / WorkPerOverdueWork);
    double &Credit = Scheduler_.OverdueCredit_;
    Credit = std::clamp(Credit + Change, -MaxOverdueCredit, MaxOverdueCredit);
  }

  PoolRoom &poolRoom(const TrackedJob &Job) {
    const auto [Entry, IsNew] = PoolRooms_.try_emplace(Job.Queue_.Pool_);
    if (IsNew)
      for (const std::uint32_t Ordinal : openExecutorsOf(Job)) {
        const core::Resources &Free = Index_.Executors_[Ordinal].Account_.Free_;
        Entry->second.Free_ += core::max(Free, {});
        Entry->second.Capacity_ += Scheduler_.ByOrdinal_[Ordinal]->Info_.Capacity_;
      }
    return Entry->second;
  }

  static bool isUrgent(const Candidate &Waiting) {
    return Waiting.Job_->Queue_.Priority_ == 0 && Waiting.UrgencyClass_ <= LateUrgencyClass;
  }

  /// Keeps room free for urgent tasks that have none yet because they wait for advice or for an
  /// order. Without it longer tasks, which have their tickets already, take that room meanwhile.
  void reserveForUrgent(const Candidate &Waiting, const TrackedStep &Step,
                        const work::StepSpec &Spec) {
    if (isUrgent(Waiting) && !Spec.LongRunning_ &&
        (Waiting.Wait_ == WaitReason::NoRoom || Waiting.Wait_ == WaitReason::StartsInFlight))
      poolRoom(*Waiting.Job_).Urgent_ += executorNeed(Spec) * Step.WaitingTasks_;
  }

  /// \returns true when a task that needs \p Need may not take the room that is left for urgent
  /// work. At most a quarter of the pool is kept free, and lasting tasks and overdue work that has
  /// its turn need not leave any.
  bool isReservedForUrgent(const Candidate &Waiting, const work::StepSpec &Spec,
                           const core::Resources &Need) {
    if (isUrgent(Waiting) || Spec.LongRunning_ || Waiting.UrgencyClass_ == TurnUrgencyClass)
      return false;
    const PoolRoom &Room = poolRoom(*Waiting.Job_);
    const auto Takes = [](std::int64_t Free, std::int64_t Urgent, std::int64_t Capacity,
                          std::int64_t Amount) {
      return Amount > 0 && Free - Amount < std::min(Urgent, Capacity / MaxReserveDivisor);
    };
    return Takes(Room.Free_.MilliCores_, Room.Urgent_.MilliCores_, Room.Capacity_.MilliCores_,
                 Need.MilliCores_) ||
           Takes(Room.Free_.MemoryMb_, Room.Urgent_.MemoryMb_, Room.Capacity_.MemoryMb_,
                 Need.MemoryMb_);
  }

  /// \param AllMayStart false to start only tasks whose earlier runs are all known.
  /// \returns why tasks of the step still wait.
  WaitReason placeTasks(const Candidate &Waiting, TrackedStep &Step, const work::StepSpec &Spec,
                        bool AllMayStart) {
    WaitReason Reason = WaitReason::None;
    work::TaskRef Task{Waiting.Job_->Id_, Waiting.Occurrence_, Waiting.Step_, 0};
    for (; Task.Index_ < Step.Tasks_.size() && Step.WaitingTasks_ > 0; ++Task.Index_) {
      TrackedTask &Tracked = Step.Tasks_[Task.Index_];
      if (Tracked.State_ != TaskState::Waiting)
        continue;
      if (!AllMayStart && !Tracked.RunsKnown_) {
        Reason = WaitReason::EarlierRuns;
        continue;
      }
      if (Scheduler_.StartsInFlight_ >= Scheduler_.StartLimit_)
        return WaitReason::StartsInFlight;
      if (runsLeft(*Waiting.Job_) == 0)
        return WaitReason::RunLimit;
      if (const WaitReason Exceeded = checkLimit(*Waiting.Job_, Spec.Need_);
          Exceeded != WaitReason::None)
        return Exceeded;
      if (Waiting.UrgencyClass_ == TurnUrgencyClass && !mayHaveTurn(*Waiting.Job_))
        return WaitReason::OverdueTurn;
      if (isReservedForUrgent(Waiting, Spec, executorNeed(Spec)))
        return WaitReason::UrgentReserve;
      if (waitsForSuspicion(Waiting, Task)) {
        Reason = WaitReason::Suspect;
        continue;
      }
      const bool Suspect = crashCount(Waiting.Job_->Progress_, Task) > 0;
      const bool Isolated =
          Suspect && Now_ - Waiting.Job_->LastCrashAt_ < Scheduler_.Timing_.MaxTrialWait_;
      ExecutorState *Executor = chooseExecutor(Waiting, Step, Spec, Task, Isolated);
      if (Executor == nullptr && Suspect) {
        Reason = WaitReason::Suspect;
        continue; // other tasks of the step need no executor of their own
      }
      if (Executor == nullptr)
        return WaitReason::NoRoom;
      startTask(*Executor, Waiting, Step, Task,
                runNumber(Scheduler_.Token_, ++Tracked.RunCounter_));
    }
    return Reason;
  }

  /// Starts all tasks of a gang, or none of them.
  /// \returns why the gang still waits.
  WaitReason placeGang(const Candidate &Waiting, TrackedStep &Step, const work::StepSpec &Spec) {
    if (Scheduler_.StartsInFlight_ >= Scheduler_.StartLimit_)
      return WaitReason::StartsInFlight;
    if (Step.WaitingTasks_ < Step.Tasks_.size())
      return WaitReason::EarlierRuns;
    if (runsLeft(*Waiting.Job_) < Spec.TaskCount_)
      return WaitReason::RunLimit;
    if (const WaitReason Exceeded = checkLimit(*Waiting.Job_, Spec.Need_ * Spec.TaskCount_);
        Exceeded != WaitReason::None)
      return Exceeded;
    if (isReservedForUrgent(Waiting, Spec, executorNeed(Spec) * Spec.TaskCount_))
      return WaitReason::UrgentReserve;
    std::vector<std::string> Racks;
    if (Spec.SameRack_)
      Racks = racksWithRoom(Waiting, Step, Spec);
    Racks.emplace_back(); // no rack in particular, as the last choice
    bool Suspect = false;
    for (std::uint32_t I = 0; I < Spec.TaskCount_; ++I) {
      if (waitsForSuspicion(Waiting, memberOf(Waiting, I)))
        return WaitReason::Suspect;
      Suspect = Suspect || crashCount(Waiting.Job_->Progress_, memberOf(Waiting, I)) > 0;
    }
    // A gang that finds no room apart from other starts runs beside them.
    for (const bool Isolated : {true, false})
      for (const std::string &Rack : Racks)
        if (Isolated <= Suspect && placeGangInRack(Waiting, Step, Spec, Isolated, Rack))
          return WaitReason::None;
    return WaitReason::NoRoom;
  }

  /// \returns the racks in which the step may start, in the order of their names.
  std::vector<std::string> racksWithRoom(const Candidate &Waiting, const TrackedStep &Step,
                                         const work::StepSpec &Spec) const {
    std::set<std::string_view> Racks;
    visitAllowed(*Waiting.Job_, Step, Spec, [&](const ExecutorState &Executor) {
      if (freeSlots(Executor, Step, Spec, 1) > 0)
        Racks.insert(fleet::rackOf(Executor.Info_));
    });
    return {Racks.begin(), Racks.end()};
  }

  static work::TaskRef memberOf(const Candidate &Waiting, std::uint32_t Index) {
    return {Waiting.Job_->Id_, Waiting.Occurrence_, Waiting.Step_, Index};
  }

  bool placeGangInRack(const Candidate &Waiting, TrackedStep &Step, const work::StepSpec &Spec,
                       bool Isolated, std::string_view Rack) {
    // Resources are reserved temporarily, so that the choice of later members accounts for them.
    std::vector<ExecutorState *> Chosen;
    core::Resources CountedNeed = Spec.Need_;
    if (Spec.BestEffort_)
      CountedNeed.MilliCores_ = 0;
    for (std::uint32_t I = 0; I < Spec.TaskCount_; ++I) {
      ExecutorState *Executor =
          chooseExecutor(Waiting, Step, Spec, memberOf(Waiting, I), Isolated, Rack);
      if (Executor == nullptr)
        break;
      Executor->Used_ += CountedNeed;
      ++Step.RunsPerExecutor_[Executor->Ordinal_];
      Chosen.push_back(Executor);
    }
    for (ExecutorState *Executor : Chosen) {
      Executor->Used_ -= CountedNeed;
      --Step.RunsPerExecutor_[Executor->Ordinal_];
    }
    if (Chosen.size() < Spec.TaskCount_)
      return false;
    std::string Checkpoint;
    for (const TrackedTask &Tracked : Step.Tasks_)
      if (!Tracked.Checkpoint_.empty())
        Checkpoint = Tracked.Checkpoint_;
    Step.LastGangRun_ = std::max(Step.LastGangRun_ + 1, runNumber(Scheduler_.Token_, 1));
    for (std::uint32_t I = 0; I < Spec.TaskCount_; ++I) {
      Step.Tasks_[I].Checkpoint_ = Checkpoint;
      startTask(*Chosen[I], Waiting, Step, memberOf(Waiting, I), Step.LastGangRun_);
    }
    return true;
  }

  /// \returns how many more tasks of the step will fit on an executor at time \p By beside what
  /// other steps have claimed, at most \p MaxTasks.
  std::uint32_t unclaimedSlots(std::uint32_t Ordinal, const TrackedStep &Step,
                               const work::StepSpec &Spec, core::TimePoint By,
                               std::uint32_t MaxTasks) {
    if (Spec.MaxPerExecutor_ > 0) {
      const auto Found = Step.RunsPerExecutor_.find(Ordinal);
      const std::uint32_t RunsHere = Found == Step.RunsPerExecutor_.end() ? 0 : Found->second;
      MaxTasks =
          std::min(MaxTasks, Spec.MaxPerExecutor_ - std::min(Spec.MaxPerExecutor_, RunsHere));
    }
    return slotsIn(roomBy(By)[Ordinal], executorNeed(Spec), MaxTasks);
  }

  /// \returns what a task of the step takes of an executor's capacity.
  static core::Resources executorNeed(const work::StepSpec &Spec) {
    core::Resources Need = Spec.Need_;
    if (Spec.BestEffort_)
      Need.MilliCores_ = 0;
    return Need;
  }

  /// Claims room on an executor for at most \p MaxTasks tasks of the step.
  /// \returns the number of tasks.
  std::uint32_t claimSlots(std::uint32_t Ordinal, const TrackedStep &Step,
                           const work::StepSpec &Spec, core::TimePoint By, std::uint32_t MaxTasks) {
    if (MaxTasks == 0)
      return 0;
    const std::uint32_t Slots = unclaimedSlots(Ordinal, Step, Spec, By, MaxTasks);
    claim(Plan_, Ordinal, executorNeed(Spec), Slots);
    return Slots;
  }

  /// \returns how many tasks of the step that wait, or are about to, its customer's limit will
  /// allow to start by the time \p By.
  std::uint32_t tasksWithinLimit(const Candidate &Waiting, const TrackedStep &Step,
                                 const work::StepSpec &Spec, core::TimePoint By) {
    const std::string &Customer = Waiting.Job_->Acceptance_.Customer_;
    const auto [Account, AccountAhead] = limitAccounts(Customer);
    if (Account == nullptr)
      return tasksToAdvise(Step);
    const RoomAccount &Room = Step.Ready_ ? *Account : *AccountAhead;
    // A gang starts as a whole.
    const std::uint32_t StartedTogether = Spec.Gang_ ? Step.WaitingTasks_ : 1;
    const core::Resources Need = Spec.Need_ * StartedTogether;
    const std::uint32_t MaxStarts = tasksToAdvise(Step) / StartedTogether;
    if (Waiting.Job_->Queue_.Priority_ == 0)
      return StartedTogether * slotsWithin(Room, Need, By, MaxStarts);
    const core::Resources &Limit = Scheduler_.Manifest_.Customers_.at(Customer).UpperLimit_;
    return StartedTogether *
           slotsBesideReserve(Room, Need, By, MaxStarts, Limit, reservedFor(Customer, Limit));
  }

  /// Claims the customer's limit for \p Tasks tasks of the step.
  void claimLimit(const Candidate &Waiting, const TrackedStep &Step, const work::StepSpec &Spec,
                  std::uint32_t Tasks) {
    const auto [Account, AccountAhead] = limitAccounts(Waiting.Job_->Acceptance_.Customer_);
    if (Account == nullptr)
      return;
    if (Step.Ready_)
      claim(*Account, Spec.Need_, Tasks);
    claim(*AccountAhead, Spec.Need_, Tasks);
  }

  bool mayCallAdviser(double CallTimeMs, int UrgencyClass) const {
    const std::size_t Share = UrgencyClass >= OverRateUrgencyClass ? LateCallShare : 1;
    const auto IsBelow = [Share](std::size_t Outstanding, std::size_t Limit) {
      return Outstanding < std::max<std::size_t>(Limit / Share, 1);
    };
    return IsBelow(Scheduler_.OutstandingAdvice_.size(), Scheduler_.AdviceLimits_.Calls_) &&
           (CallTimeMs <= LongAdviceMs ||
            IsBelow(Scheduler_.OutstandingLongCalls_, Scheduler_.AdviceLimits_.LongCalls_));
  }

  /// \returns true when an earlier step found no unclaimed room for a task that needs no more.
  bool isExhausted(const TrackedJob &Job, const work::StepSpec &Spec) const {
    const auto Found = ExhaustedNeeds_.find({Job.Queue_.Pool_, Spec.RequiredLabel_});
    return Found != ExhaustedNeeds_.end() &&
           std::ranges::any_of(Found->second, [&](const core::Resources &Need) {
             return core::fits(Need, executorNeed(Spec));
           });
  }

  /// Claims room for the waiting tasks of a step, and requests advice when the valid tickets do not
  /// suffice for those that can start soon.
  /// \returns why no advice was requested.
  WaitReason requestAdvice(Candidate &Waiting, TrackedStep &Step, const work::StepSpec &Spec) {
    if (!Waiting.Job_->Queue_.Advice_)
      return WaitReason::NoRoom;
    const work::AdvicePolicy &Policy = *Waiting.Job_->Queue_.Advice_;
    const core::TimePoint By = Now_ + adviceHorizon(Policy);
    const std::uint32_t WithinLimit = tasksWithinLimit(Waiting, Step, Spec, By);
    if (WithinLimit == 0)
      return WaitReason::CustomerLimit;
    const std::uint32_t Wanted = claimRuns(*Waiting.Job_, Spec, WithinLimit);
    Waiting.Figures_.Wanted_ = Wanted;
    if (Wanted == 0)
      return WaitReason::RunLimit;
    claimLimit(Waiting, Step, Spec, Wanted);
    std::uint32_t Covered = 0;
    const auto IsMissing = [&](std::uint32_t) { return Covered < Wanted; };
    visitAllowed(*Waiting.Job_, Step, Spec, IsMissing, [&](const ExecutorState &Executor) {
      Covered += claimSlots(Executor.Ordinal_, Step, Spec, By, Wanted - Covered);
    });
    Waiting.Figures_.Covered_ = Covered;
    if (Step.AdvicePending_) {
      for (const std::uint32_t Ordinal : Step.AskedExecutors_)
        if (Scheduler_.ByOrdinal_[Ordinal] != nullptr)
          Covered += claimSlots(Ordinal, Step, Spec, By, Wanted - Covered);
      return WaitReason::AdvicePending;
    }
    if (Covered >= Wanted)
      return WaitReason::Covered;
    if (Now_ < Step.AdviceRetryAt_)
      return WaitReason::RetryDelay;
    if (Now_ < Step.NextSearchAt_)
      return Step.Wait_.Reason_;
    if (isExhausted(*Waiting.Job_, Spec))
      return WaitReason::ExhaustedNeed;
    if (!mayCallAdviser(Policy.FixedMs_, Waiting.UrgencyClass_))
      return WaitReason::CallLimit;
    std::vector<std::pair<double, const ExecutorState *>> Unadvised;
    bool AnyRoom = false;
    const std::vector<core::Resources> &Rooms = roomBy(By);
    const core::Resources Need = executorNeed(Spec);
    for (const std::uint32_t Ordinal : openExecutorsOf(*Waiting.Job_)) {
      if (!core::fits(Need, Rooms[Ordinal]) || unclaimedSlots(Ordinal, Step, Spec, By, 1) == 0)
        continue;
      const ExecutorState &Executor = *Scheduler_.ByOrdinal_[Ordinal];
      if (!isEligible(*Waiting.Job_, Spec, Executor))
        continue;
      AnyRoom = true;
      const auto Found = Step.Advice_.find(Ordinal);
      if (Found == Step.Advice_.end() ||
          (Found->second.Allowed_ && !isValid(Found->second, Executor)))
        Unadvised.emplace_back(placementCost(*Waiting.Job_, Executor, Spec, {}) -
                                   (Found == Step.Advice_.end() ? 0 : RenewalBonus),
                               &Executor);
    }
    const bool Restricted = Waiting.Job_->Regions_.has_value();
    if (!AnyRoom && Spec.MaxPerExecutor_ == 0 && !Restricted)
      ExhaustedNeeds_[{Waiting.Job_->Queue_.Pool_, Spec.RequiredLabel_}].push_back(
          executorNeed(Spec));
    if (Unadvised.empty()) {
      Step.NextSearchAt_ = Now_ + SearchInterval;
      if (AnyRoom)
        return WaitReason::AllAdvised;
      return Restricted ? WaitReason::AllowedRegions : WaitReason::NoRoom;
    }
    return callAdviser(Waiting, Step, Spec, By, Wanted - Covered, std::move(Unadvised))
               ? WaitReason::AdvicePending
               : WaitReason::CallLimit;
  }

  /// Requests advice about the executors of \p Unadvised with the lowest costs.
  /// \param Wanted number of tasks that need an executor.
  /// \returns false when the limit of calls does not allow it.
  bool callAdviser(const Candidate &Waiting, TrackedStep &Step, const work::StepSpec &Spec,
                   core::TimePoint By, std::uint32_t Wanted,
                   std::vector<std::pair<double, const ExecutorState *>> Unadvised) {
    const std::size_t MaxChosen = std::min(Unadvised.size(), MaxExecutorsPerCall);
    std::ranges::partial_sort(
        Unadvised, Unadvised.begin() + static_cast<std::ptrdiff_t>(MaxChosen), {},
        [](const auto &Entry) { return std::pair(Entry.first, Entry.second->Ordinal_); });
    Unadvised.resize(MaxChosen);
    const double MissingSlots = Wanted * AdviceReserveFactor;
    const work::AdvicePolicy &Policy = *Waiting.Job_->Queue_.Advice_;
    const auto MinExecutors = static_cast<std::size_t>(MinExecutorTimeFraction * Policy.FixedMs_ /
                                                       std::max(Policy.PerExecutorMs_, 0.1));
    std::vector<const ExecutorState *> Chosen;
    for (double ExpectedSlots = 0; const auto &[Cost, Executor] : Unadvised) {
      if (ExpectedSlots >= MissingSlots && Chosen.size() >= MinExecutors)
        break;
      const bool HasTicket = Step.Advice_.contains(Executor->Ordinal_);
      ExpectedSlots += unclaimedSlots(Executor->Ordinal_, Step, Spec, By, Wanted) *
                       (HasTicket ? 1.0 : adviceYield(*Waiting.Job_));
      Chosen.push_back(Executor);
    }
    const double CallTimeMs =
        Policy.FixedMs_ + Policy.PerExecutorMs_ * static_cast<double>(Chosen.size());
    if (!mayCallAdviser(CallTimeMs, Waiting.UrgencyClass_))
      return false;
    std::vector<std::string> ExecutorIds;
    Step.AskedExecutors_.clear();
    for (const ExecutorState *Executor : Chosen) {
      Wanted -= claimSlots(Executor->Ordinal_, Step, Spec, By, Wanted);
      ExecutorIds.push_back(Executor->Info_.Id_);
      Step.AskedExecutors_.push_back(Executor->Ordinal_);
    }
    Step.AdvicePending_ = true;
    Scheduler_.beginJob(*Waiting.Job_); // stored by the time of the answer
    const work::TaskRef Task{Waiting.Job_->Id_, Waiting.Occurrence_, Waiting.Step_, 0};
    ++Scheduler_.AdviceCalls_;
    Scheduler_.OutstandingAdvice_[Task] = CallTimeMs > LongAdviceMs;
    Scheduler_.OutstandingLongCalls_ += CallTimeMs > LongAdviceMs ? 1 : 0;
    Scheduler_.Actions_.RequestAdvice_(
        Task, std::move(ExecutorIds), CallTimeMs,
        {Waiting.UrgencyClass_ * 100 + Waiting.Priority_, Waiting.Deadline_});
    return true;
  }

  double adviceYield(const TrackedJob &Job) const {
    const auto Found = Scheduler_.AdviceYield_.find(Job.Queue_.Name_);
    return std::max(MinYield,
                    Found == Scheduler_.AdviceYield_.end() ? InitialYield : Found->second);
  }

  /// \returns the expected time of a call for advice about a whole step.
  core::Duration callTimeOf(const TrackedJob &Job, const work::StepSpec &Spec) const {
    const work::AdvicePolicy &Policy = *Job.Queue_.Advice_;
    const double Asked = std::min(static_cast<double>(MaxExecutorsPerCall),
                                  Spec.TaskCount_ * AdviceReserveFactor / adviceYield(Job));
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double, std::milli>(Policy.FixedMs_ + Policy.PerExecutorMs_ * Asked));
  }

  /// \returns true when all runs of the earlier steps are expected to end by the time that advice
  /// for this step arrives. Tickets that arrive much earlier expire unused.
  bool isNearlyReady(const TrackedJob &Job, std::uint32_t Occurrence, std::uint32_t Index,
                     TrackedStep &Step) const {
    const work::StepSpec &Spec = Job.Spec_.Steps_[Index];
    if (!Job.Queue_.Advice_ || Spec.DependsOn_.empty() || Now_ < Step.NextAheadCheckAt_)
      return false;
    for (const std::uint32_t Earlier : Spec.DependsOn_) {
      const TrackedStep &EarlierStep = Job.Occurrences_[Occurrence].Steps_[Earlier];
      if (EarlierStep.DoneTasks_ < EarlierStep.Tasks_.size() &&
          (!EarlierStep.Ready_ || EarlierStep.WaitingTasks_ > 0))
        return false;
    }
    core::TimePoint EndAt = Now_;
    for (const std::uint32_t Earlier : Spec.DependsOn_)
      EndAt = std::max(EndAt, Scheduler_.expectedEndOf(Job, Occurrence, Earlier));
    const core::TimePoint AskAt = EndAt - callTimeOf(Job, Spec) - PrefetchSlack;
    if (Now_ >= AskAt)
      return true;
    Step.NextAheadCheckAt_ = std::min<core::TimePoint>(AskAt, Now_ + MaxAheadCheckInterval);
    return false;
  }

  /// Notes the class of a waiting step, and where the step belongs in the order of placement.
  /// \returns nothing when the step need not be looked at.
  std::optional<Candidate> candidateOf(TrackedJob &Job, std::uint32_t Occurrence,
                                       std::uint32_t Index) const {
    TrackedOccurrence &Tracked = Job.Occurrences_[Occurrence];
    TrackedStep &Step = Tracked.Steps_[Index];
    if (tasksToAdvise(Step) == 0)
      return std::nullopt;
    const bool Lasting = Job.Spec_.Steps_[Index].LongRunning_;
    const core::Millis Delay = dueDelay(Job, Tracked);
    const core::TimePoint Deadline = Job.Deadline_ + Delay;
    const int Class = urgencyClass(Job.OverRate_, Lasting, Job.RemainingChains_[Index], Deadline,
                                   Job.ValueExpiresAt_ + Delay, Now_);
    // Only work that can be in time is worth a call before its turn.
    if (!Step.Ready_ &&
        (Class != InTimeUrgencyClass || !isNearlyReady(Job, Occurrence, Index, Step)))
      return std::nullopt;
    const bool Useless = Class == UselessUrgencyClass;
    const bool Overdue = Step.WaitingTasks_ > 0 && (Useless || (Lasting && Now_ > Deadline));
    // Work that is too late is done in the order of its acceptance.
    return Candidate{Class,  Useless ? 0 : Job.Queue_.Priority_, Deadline, &Job, Occurrence, Index,
                     Overdue};
  }

  /// \returns the time from the acceptance of a job until an occurrence is due.
  static core::Millis dueDelay(const TrackedJob &Job, const TrackedOccurrence &Occurrence) {
    if (Job.Spec_.RunCount_ == 0)
      return core::Millis(0);
    return std::max(core::Millis(Occurrence.DueMs_ - Job.Acceptance_.AcceptedMs_), core::Millis(0));
  }

  /// Adds the waiting work of an occurrence to the survey for admissions.
  void survey(const TrackedJob &Job, const TrackedOccurrence &Occurrence) const {
    core::Millis Chain{0};
    for (std::size_t I = 0; I < Occurrence.Steps_.size(); ++I)
      if (Occurrence.Steps_[I].WaitingTasks_ > 0)
        Chain = std::max(Chain, Job.RemainingChains_[I]);
    const core::Millis Delay = dueDelay(Job, Occurrence);
    const int Class = urgencyClass(Job.OverRate_, false, Chain, Job.Deadline_ + Delay,
                                   Job.ValueExpiresAt_ + Delay, Now_);
    if (Class == UselessUrgencyClass)
      return;
    for (std::size_t I = 0; I < Occurrence.Steps_.size(); ++I)
      Scheduler_.surveyStep(Job, I, Occurrence.Steps_[I], Class == InTimeUrgencyClass);
  }

  /// Begins a survey when one is due.
  bool beginSurvey() const {
    if (Now_ < Scheduler_.NextSurveyAt_)
      return false;
    Scheduler_.NextSurveyAt_ = Now_ + Scheduler_.Timing_.SurveyInterval_;
    Scheduler_.Admission_.beginSurvey();
    for (const ExecutorState *Executor : Scheduler_.ByOrdinal_)
      if (Executor != nullptr && Executor->Listed_ && !Executor->Evacuated_ &&
          !Executor->Info_.Draining_)
        Scheduler_.Admission_.addRoom(Executor->Info_.Pool_, Executor->Info_.Capacity_);
    return true;
  }

  /// Requests advice for the steps in their order, except that every second call is for a step
  /// without the turn of overdue work. While half of a pool is free, overdue steps have their turn
  /// in any case, and one customer's backlog of small ones would take all calls.
  ///
  /// \param MayStart which steps: those that may start, or those for which runs of earlier leaders
  /// are unknown.
  void requestAdvice(std::span<Candidate> Candidates, bool MayStart);

  /// Notes why each step waits, and logs those that have waited for long.
  void noteRests(std::span<const Candidate> Candidates) const;
};

namespace {

TrackedStep &stepOf(const Candidate &Waiting) {
  return Waiting.Job_->Occurrences_[Waiting.Occurrence_].Steps_[Waiting.Step_];
}

const work::StepSpec &specOf(const Candidate &Waiting) {
  return Waiting.Job_->Spec_.Steps_[Waiting.Step_];
}

/// Gives overdue steps the turn that they are owed: those that have waited longest for it go before
/// all other work. Without it they would never start while more urgent work keeps coming.
void grantTurns(PlacementPass &Pass, std::span<Candidate> Candidates, core::TimePoint Now) {
  std::vector<Candidate *> Others;
  std::size_t Granted = 0;
  for (Candidate &Waiting : Candidates) {
    if (!Waiting.Overdue_ || !Pass.mayHaveTurn(*Waiting.Job_))
      continue;
    const core::TimePoint TurnAt = stepOf(Waiting).TurnAt_;
    if (isUnset(TurnAt) || Now - TurnAt >= OverdueTurnTime) {
      Others.push_back(&Waiting);
    } else {
      Waiting.UrgencyClass_ = TurnUrgencyClass;
      ++Granted;
    }
  }
  std::ranges::sort(Others, [](const Candidate *Left, const Candidate *Right) {
    return std::pair(stepOf(*Left).TurnAt_, Left->Deadline_) <
           std::pair(stepOf(*Right).TurnAt_, Right->Deadline_);
  });
  for (std::size_t I = 0; I < Others.size() && Granted + I < MaxOverdueTurns; ++I) {
    Others[I]->UrgencyClass_ = TurnUrgencyClass;
    stepOf(*Others[I]).TurnAt_ = Now;
  }
}

} // namespace

void PlacementPass::requestAdvice(std::span<Candidate> Candidates, bool MayStart) {
  const auto Visit = [&](Candidate &Waiting) {
    const bool Startable =
        !Waiting.Job_->Inherited_ || Scheduler_.mayStart(*Waiting.Job_, specOf(Waiting));
    if (tasksToAdvise(stepOf(Waiting)) == 0 || Startable != MayStart)
      return;
    const WaitReason Reason = Scheduler_.OutstandingAdvice_.size() < Scheduler_.AdviceLimits_.Calls_
                                  ? requestAdvice(Waiting, stepOf(Waiting), specOf(Waiting))
                                  : WaitReason::CallLimit;
    if (Waiting.Wait_ == WaitReason::NoRoom && Waiting.Job_->Queue_.Advice_)
      Waiting.Wait_ = Reason;
  };
  // The steps with a turn are the first ones.
  auto Turn = Candidates.begin();
  const auto TurnsEnd = std::ranges::find_if(Candidates, [](const Candidate &Waiting) {
    return Waiting.UrgencyClass_ != TurnUrgencyClass;
  });
  auto Other = TurnsEnd;
  bool &LastCallWasTurn = Scheduler_.LastCallWasTurn_;
  while (Turn != TurnsEnd || Other != Candidates.end()) {
    const bool TakesTurn = Turn != TurnsEnd && (!LastCallWasTurn || Other == Candidates.end());
    const std::size_t CallsBefore = Scheduler_.OutstandingAdvice_.size();
    Visit(TakesTurn ? *Turn++ : *Other++);
    if (Scheduler_.OutstandingAdvice_.size() > CallsBefore)
      LastCallWasTurn = TakesTurn;
  }
}

void PlacementPass::noteRests(std::span<const Candidate> Candidates) const {
  for (const Candidate &Waiting : Candidates) {
    TrackedStep &Step = stepOf(Waiting);
    const work::StepSpec &Spec = specOf(Waiting);
    const bool HasStarted = Step.WaitingTasks_ < Waiting.Figures_.Waiting_;
    noteWait(Step.Wait_, HasStarted || !Step.Ready_ ? WaitReason::None : Waiting.Wait_, Now_);
    if (!Scheduler_.WaitLogBudget_.take(Step.Wait_, Now_))
      continue;
    WaitFigures Figures = Waiting.Figures_;
    visitAllowed(*Waiting.Job_, Step, Spec, [&](const ExecutorState &Executor) {
      ++Figures.Tickets_;
      Figures.TicketsWithRoom_ += freeSlots(Executor, Step, Spec, 1);
    });
    for (const std::uint32_t Ordinal : openExecutorsOf(*Waiting.Job_))
      if (const ExecutorState &Executor = *Scheduler_.ByOrdinal_[Ordinal];
          isEligible(*Waiting.Job_, Spec, Executor))
        Figures.OpenWithRoom_ += freeSlots(Executor, Step, Spec, 1);
    if (const auto Customer =
            Scheduler_.Manifest_.Customers_.find(Waiting.Job_->Acceptance_.Customer_);
        Customer != Scheduler_.Manifest_.Customers_.end()) {
      Figures.Used_ = usedBy(Customer->first);
      Figures.Limit_ = Customer->second.UpperLimit_;
      if (Waiting.Job_->Queue_.Priority_ > 0)
        Figures.Reserved_ = reservedFor(Customer->first, Figures.Limit_);
    }
    Scheduler_.logDecision("step_waits", {Waiting.Job_->Id_, Waiting.Occurrence_, Waiting.Step_, 0},
                           0, {}, describeWait(Step.Wait_, Figures, Now_));
  }
}

bool Scheduler::acceptsWork(const ExecutorState &Executor, core::TimePoint Now) const {
  return Executor.Listed_ && Executor.Recorded_ && Executor.Reported_ && !Executor.Silent_ &&
         !Executor.AnswerOverdue_ && !Executor.LeaseWithheld_ && !Executor.Info_.Draining_ &&
         !Executor.StartsWithheld_ && !Executor.Evacuated_ && Now >= Executor.AvoidUntil_ &&
         Executor.UnsizedRuns_ == 0 &&
         (Executor.WithheldEnds_.empty() || Executor.UnackedEnds_.size() < MaxEndsBehindWithheld) &&
         isEntryCurrent(Executor, Now, Timing_.MaxListDelay_);
}

void Scheduler::place(core::TimePoint Now, std::int64_t WallMs) {
  PlacementDue_ = false;
  NextPlacementAt_ = Now + PlacementInterval;
  PlacementPass Pass{*this, Now, {}, Rooms_, {}, {}, {}, {}, {}};
  Pass.refreshRooms();
  Pass.countLapsingTasks();
  Pass.sumUnknownUse(WallMs);
  Pass.updatePeaks();
  const bool Surveys = Pass.beginSurvey();
  std::vector<Candidate> Candidates;
  for (auto &[Id, Job] : Jobs_) {
    if (Job.Ended_)
      continue;
    for (std::uint32_t K = 0; K < Job.Occurrences_.size(); ++K) {
      TrackedOccurrence &Occurrence = Job.Occurrences_[K];
      Occurrence.Due_ = Occurrence.Due_ || Occurrence.DueMs_ <= WallMs;
      if (!Occurrence.Due_)
        break;
      if (Surveys)
        Pass.survey(Job, Occurrence);
      for (std::uint32_t I = 0; I < Occurrence.Steps_.size(); ++I)
        if (auto Waiting = Pass.candidateOf(Job, K, I))
          Candidates.push_back(*Waiting);
    }
  }
  WaitingSteps_ = Candidates.size();
  for (const Candidate &Waiting : Candidates)
    if (!Waiting.Job_->Queue_.Advice_)
      beginJob(*Waiting.Job_); // its queue had advice when it was read
  grantTurns(Pass, Candidates, Now);
  std::ranges::sort(Candidates, isMoreUrgent);
  for (Candidate &Waiting : Candidates) {
    TrackedStep &Step = stepOf(Waiting);
    if (!Step.Ready_ || Step.WaitingTasks_ == 0)
      continue;
    Waiting.Figures_.Waiting_ = Step.WaitingTasks_;
    const bool MayStart = mayStart(*Waiting.Job_, specOf(Waiting));
    if (Waiting.Job_->BegunFlush_ == NoFlush)
      Waiting.Wait_ = WaitReason::NoRoom; // it has no advice yet; the request tells why
    else if (!recordsAllowStart(*Waiting.Job_) || (specOf(Waiting).Gang_ && !MayStart))
      Waiting.Wait_ = WaitReason::EarlierRuns;
    else if (specOf(Waiting).Gang_)
      Waiting.Wait_ = Pass.placeGang(Waiting, Step, specOf(Waiting));
    else
      Waiting.Wait_ = Pass.placeTasks(Waiting, Step, specOf(Waiting), MayStart);
    Pass.reserveForUrgent(Waiting, Step, specOf(Waiting));
  }
  Pass.planRoom();
  // Steps that may not start yet, because runs of earlier leaders are unknown, come last.
  for (const bool MayStart : {true, false})
    Pass.requestAdvice(Candidates, MayStart);
  Pass.noteRests(Candidates);
}

void Scheduler::onAdvice(const work::TaskRef &Task, std::span<const std::string> Asked,
                         const std::optional<std::vector<fleet::AdvisedExecutor>> &Allowed,
                         core::TimePoint Now) {
  if (const auto Call = OutstandingAdvice_.extract(Task); !Call.empty()) {
    OutstandingLongCalls_ -= Call.mapped() ? 1 : 0;
    PlacementDue_ = true; // there may be steps whose calls had to wait for this one
  }
  TrackedJob *Job = findJob(Task);
  if (Job == nullptr)
    return;
  TrackedStep &Step = *findStep(*Job, Task);
  Step.AdvicePending_ = false;
  Step.AskedExecutors_.clear();
  if (!Allowed || !Job->Queue_.Advice_) {
    Step.AdviceRetryAt_ = Now + Timing_.AdviceRetryDelay_;
    return;
  }
  double &Yield = AdviceYield_.try_emplace(Job->Queue_.Name_, InitialYield).first->second;
  if (!Asked.empty())
    Yield += YieldWeight *
             (static_cast<double>(Allowed->size()) / static_cast<double>(Asked.size()) - Yield);
  for (const std::string &Id : Asked)
    if (const auto Found = Executors_.find(Id); Found != Executors_.end())
      Step.Advice_[Found->second.Ordinal_].Allowed_ = false;
  const core::Millis TicketLife(Job->Queue_.Advice_->TicketValidMs_);
  for (const fleet::AdvisedExecutor &Advised : *Allowed) {
    const auto Found = Executors_.find(Advised.Executor_);
    if (Found != Executors_.end()) {
      ++Verdicts_;
      Step.Advice_[Found->second.Ordinal_] = {true, Advised.Ticket_,
                                              Now + TicketLife - Timing_.TicketMargin_,
                                              Found->second.Incarnation_};
    }
  }
  PlacementDue_ = true;
}

void Scheduler::onInheritedAdvice(const work::TaskRef &Task,
                                  std::span<const fleet::AdvisedExecutor> Allowed,
                                  std::span<const std::string> Excluded, core::Millis Age,
                                  core::TimePoint Now) {
  TrackedJob *Job = findJob(Task);
  if (Job == nullptr || Job->Ended_ || !Job->Queue_.Advice_)
    return;
  TrackedStep &Step = *findStep(*Job, Task);
  const core::Millis TicketLife(Job->Queue_.Advice_->TicketValidMs_);
  for (const fleet::AdvisedExecutor &Advised : Allowed) {
    const auto Found = Executors_.find(Advised.Executor_);
    if (Found == Executors_.end())
      continue;
    // A ticket for another incarnation is refused, and a new one requested.
    const bool IsNew =
        Step.Advice_
            .try_emplace(Found->second.Ordinal_,
                         ExecutorAdvice{true, Advised.Ticket_,
                                        Now + TicketLife - Age - Timing_.TicketMargin_,
                                        Found->second.Incarnation_})
            .second;
    Verdicts_ += IsNew ? 1 : 0;
  }
  if (!Allowed.empty())
    beginJob(*Job); // it may start without a call of this leader
  for (const std::string &Id : Excluded)
    if (const auto Found = Executors_.find(Id); Found != Executors_.end())
      Step.Advice_.try_emplace(Found->second.Ordinal_, ExecutorAdvice{});
  PlacementDue_ = true;
}

} // namespace masticdrift::lead
