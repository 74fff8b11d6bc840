// Which waiting task starts next, and where.
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>

namespace masticdrift::lead {

namespace {

/// Without an event a pass is made this often, for times that come due.
constexpr core::Millis PassInterval{100};
/// Executors named in one call of advice; the service takes 100.
constexpr std::size_t MaxAdvised = 60;
/// Answers asked beyond the expected need, for executors that fill up meanwhile.
constexpr double AdviceReserve = 1.3;
/// A call names at least as many executors as prolong it by this part of its fixed time.
constexpr double AdviceWidening = 0.3;
/// Assumed part of good answers before any was seen, and the weight of a new observation.
constexpr double FirstYield = 0.5;
constexpr double YieldWeight = 0.1;
constexpr double LeastYield = 0.1;
/// Advice for the next step is asked when the present one ends within its time and this much more.
constexpr core::Millis PrefetchSlack{400};

/// Half-life of the room that a customer's limit keeps for its first-priority work.
constexpr double PeakHalfLifeS = 8;
/// At most this part of a limit is kept.
constexpr std::int64_t MostKeptDivisor = 2;

/// Penalties on the 0..1 scale of an executor's load.
constexpr double OtherRackPenalty = 2;
constexpr double AvoidPenalty = 1.5;
constexpr double DisturbPenalty = 3;
constexpr double FailingPenalty = 0.5;
/// Added for each multiple of the typical run time.
constexpr double SlowWeight = 0.5;

using detail::never;

bool within(const core::Resources &Used, const core::Resources &Need,
            const core::Resources &Limit) {
  const auto Kind = [](std::int64_t U, std::int64_t N, std::int64_t L) {
    return L == 0 || N == 0 || U + N <= L;
  };
  return Kind(Used.MilliCores_, Need.MilliCores_, Limit.MilliCores_) &&
         Kind(Used.MemoryMb_, Need.MemoryMb_, Limit.MemoryMb_) &&
         Kind(Used.Accelerators_, Need.Accelerators_, Limit.Accelerators_);
}

/// A step with waiting tasks.
struct Candidate {
  int Class_ = 0; ///< 0 in time, 1 beyond the customer's rate, 2 worthless
  int Priority_ = 0;
  core::TimePoint Deadline_;
  JobRun *Job_ = nullptr;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
};

bool goesFirst(const Candidate &A, const Candidate &B) {
  return std::tie(A.Class_, A.Priority_, A.Deadline_, A.Job_->Id_, A.Occurrence_, A.Step_) <
         std::tie(B.Class_, B.Priority_, B.Deadline_, B.Job_->Id_, B.Occurrence_, B.Step_);
}

} // namespace

/// One pass over everything that waits.
struct PlacementPass {
  Scheduler &Of_;
  core::TimePoint Now_;
  /// What an earlier leader may have started and no executor has told of yet, by customer.
  std::unordered_map<std::string, core::Resources> Unknown_;
  std::map<std::string_view, std::vector<ExecutorState *>> Hosts_;

  void sumUnknown() {
    if (Of_.Accounted_)
      return;
    for (const auto &[Id, Job] : Of_.Jobs_)
      if (Job.Inherited_ && !Job.Ended_)
        for (const OccurrenceRun &Occurrence : Job.Occurrences_)
          for (std::size_t I = 0; I < Occurrence.Steps_.size(); ++I)
            if (const StepRun &Step = Occurrence.Steps_[I]; Occurrence.Due_ && Step.Ready_) {
              const work::StepSpec &Spec = Job.Spec_.Steps_[I];
              // A copy that this leader has started leaves the unseen run where it may be.
              const auto Open = static_cast<std::int64_t>(Step.Tasks_.size()) - Step.Done_;
              Unknown_[Job.What_.Customer_] +=
                  Spec.Need_ * (Spec.AllowDuplicates_ ? Open : std::int64_t{Step.Waiting_});
            }
  }

  /// Executors that take new work at all, by pool.
  void listHosts() {
    for (auto &[Id, At] : Of_.Executors_)
      if (takesWork(At))
        Hosts_[At.Info_.Pool_].push_back(&At);
  }

  bool takesWork(const ExecutorState &At) const {
    return At.Listed_ && At.Held_ && !At.Silent_ && !At.Info_.Draining_ && Now_ >= At.AvoidUntil_;
  }

  std::span<ExecutorState *const> hostsOf(const JobRun &Job) const {
    const auto Found = Hosts_.find(Job.Queue_.Pool_);
    return Found == Hosts_.end() ? std::span<ExecutorState *const>() : Found->second;
  }

  static bool hasLabel(const ExecutorState &At, std::string_view Label) {
    return Label.empty() || std::ranges::find(At.Info_.Labels_, Label) != At.Info_.Labels_.end();
  }

  /// Calls \p Visit with each executor on which the step may start now, room aside: one that takes
  /// work and, on queues with advice, has a valid ticket.
  template <typename Visitor>
  void visitAllowed(const JobRun &Job, const StepRun &Step, const work::StepSpec &Spec,
                    Visitor Visit) const {
    if (!Job.Queue_.Advice_) {
      for (ExecutorState *At : hostsOf(Job))
        if (hasLabel(*At, Spec.RequiredLabel_))
          Visit(*At);
      return;
    }
    for (const auto &[Slot, One] : Step.Advice_) {
      ExecutorState *At = Of_.BySlot_[Slot];
      if (At != nullptr && valid(One, *At) && takesWork(*At) &&
          At->Info_.Pool_ == Job.Queue_.Pool_ && hasLabel(*At, Spec.RequiredLabel_))
        Visit(*At);
    }
  }

  bool valid(const Advice &Of, const ExecutorState &At) const {
    return Of.May_ && Of.Born_ == At.Born_ && Now_ < Of.ValidUntil_;
  }

  /// \returns how many more tasks of the step fit, at most \p Most.
  std::uint32_t slots(const ExecutorState &At, const StepRun &Step, const work::StepSpec &Spec,
                      std::uint32_t Most) const {
    core::Resources Room = At.Info_.Capacity_ - At.Used_;
    core::Resources Need = Spec.Need_;
    if (Spec.BestEffort_)
      Need.MilliCores_ = 0;
    std::uint32_t Count = 0;
    std::uint32_t Here = 0;
    if (const auto Found = Step.PerExecutor_.find(At.Slot_); Found != Step.PerExecutor_.end())
      Here = Found->second;
    while (Count < Most && core::fits(Need, Room) &&
           (Spec.MaxPerExecutor_ == 0 || Here + Count < Spec.MaxPerExecutor_)) {
      Room -= Need;
      ++Count;
    }
    return Count;
  }

  bool disturbs(const ExecutorState &At, const work::StepSpec &Spec) const {
    return std::ranges::any_of(At.Runs_, [&](const auto &One) {
      return (Spec.BestEffort_ && One.second.Serves_) || (Spec.TargetMs_ > 0 && One.second.Fills_);
    });
  }

  double costOf(const ExecutorState &At, const work::StepSpec &Spec, const TaskRun &Task) const {
    const double Capacity =
        static_cast<double>(std::max<std::int64_t>(At.Info_.Capacity_.MilliCores_, 1));
    double Cost =
        static_cast<double>(At.Used_.MilliCores_ + At.FillMilliCores_ + Spec.Need_.MilliCores_) /
        Capacity;
    if (!hasLabel(At, Spec.PreferredRack_))
      Cost += OtherRackPenalty;
    if (Task.Avoid_ == At.Info_.Id_)
      Cost += AvoidPenalty;
    if (!At.FailedJobs_.empty())
      Cost += FailingPenalty;
    Cost += SlowWeight * (factorOf(At.Slowness_, Now_) - 1);
    if (disturbs(At, Spec))
      Cost += DisturbPenalty;
    return Cost;
  }

  ExecutorState *choose(const JobRun &Job, const StepRun &Step, const work::StepSpec &Spec,
                        const TaskRun &Task, std::string_view Rack = {}) const {
    ExecutorState *Best = nullptr;
    double Least = std::numeric_limits<double>::infinity();
    visitAllowed(Job, Step, Spec, [&](ExecutorState &At) {
      if (slots(At, Step, Spec, 1) == 0 || (!Rack.empty() && fleet::rackOf(At.Info_) != Rack) ||
          (Spec.BestEffort_ && disturbs(At, Spec)))
        return;
      const double Cost = costOf(At, Spec, Task);
      // Equal costs go by number, so that the choice does not depend on the order of a table.
      if (Cost < Least || (Cost == Least && At.Slot_ < Best->Slot_)) {
        Least = Cost;
        Best = &At;
      }
    });
    return Best;
  }

  /// \returns what a customer's less urgent work must leave of its limit, so that the next urgent
  /// job does not wait for the end of long tasks of the same customer.
  core::Resources keptFor(const std::string &Customer, const core::Resources &Limit) const {
    const auto Found = Of_.UrgentPeaks_.find(Customer);
    if (Found == Of_.UrgentPeaks_.end())
      return {};
    const auto Kept = [](std::int64_t Highest, std::int64_t Now, std::int64_t Most) {
      return std::clamp<std::int64_t>(Highest - Now, 0, Most / MostKeptDivisor);
    };
    const core::Resources &Highest = Found->second.Highest_;
    const core::Resources &InUse = Found->second.InUse_;
    return {Kept(Highest.MilliCores_, InUse.MilliCores_, Limit.MilliCores_),
            Kept(Highest.MemoryMb_, InUse.MemoryMb_, Limit.MemoryMb_),
            Kept(Highest.Accelerators_, InUse.Accelerators_, Limit.Accelerators_)};
  }

  /// Takes down what first-priority work uses and waits for.
  void updatePeaks() {
    for (auto &[Customer, Peak] : Of_.UrgentPeaks_)
      Peak.Now_ = Peak.InUse_ = {};
    for (const auto &[Id, Job] : Of_.Jobs_)
      if (Job.Queue_.Priority_ == 0 && !Job.Ended_ && !Job.OverShare_)
        for (const OccurrenceRun &Occurrence : Job.Occurrences_)
          for (std::size_t I = 0; I < Occurrence.Steps_.size(); ++I)
            if (const StepRun &Step = Occurrence.Steps_[I]; Occurrence.Due_ && Step.Ready_) {
              Scheduler::Peak &Peak = Of_.UrgentPeaks_[Job.What_.Customer_];
              const core::Resources &Need = Job.Spec_.Steps_[I].Need_;
              const auto Open = static_cast<std::int64_t>(Step.Tasks_.size()) - Step.Done_;
              Peak.Now_ += Need * Open;
              Peak.InUse_ += Need * (Open - Step.Waiting_);
            }
    for (auto &[Customer, Peak] : Of_.UrgentPeaks_) {
      const double Passed =
          never(Peak.At_) ? 0 : std::chrono::duration<double>(Now_ - Peak.At_).count();
      const double Left = std::exp2(-Passed / PeakHalfLifeS);
      const auto Decayed = [Left](std::int64_t Highest, std::int64_t Current) {
        return std::max(static_cast<std::int64_t>(static_cast<double>(Highest) * Left), Current);
      };
      Peak.At_ = Now_;
      Peak.Highest_ = {Decayed(Peak.Highest_.MilliCores_, Peak.Now_.MilliCores_),
                       Decayed(Peak.Highest_.MemoryMb_, Peak.Now_.MemoryMb_),
                       Decayed(Peak.Highest_.Accelerators_, Peak.Now_.Accelerators_)};
    }
  }

  bool withinLimit(const JobRun &Job, const core::Resources &Need) const {
    const auto Customer = Of_.Manifest_.Customers_.find(Job.What_.Customer_);
    if (Customer == Of_.Manifest_.Customers_.end())
      return true;
    core::Resources Used = Of_.UsedBy_[Job.What_.Customer_];
    if (Job.Queue_.Priority_ > 0)
      Used += keptFor(Job.What_.Customer_, Customer->second.UpperLimit_);
    if (const auto Found = Unknown_.find(Job.What_.Customer_); Found != Unknown_.end())
      Used += Found->second;
    return within(Used, Need, Customer->second.UpperLimit_);
  }

  void start(ExecutorState &At, JobRun &Job, StepRun &Step, const work::TaskRef &Task,
             std::uint64_t Number) const {
    TaskRun &Which = Step.Tasks_[Task.Index_];
    Run &Made = Of_.addRun(At, &Job, Task, Number, RunState::Starting, Now_);
    Made.Order_ = {Task, Number, Job.Spec_.Payload_, 0, Of_.Token_, Which.Checkpoint_, {}};
    if (const auto Found = Step.Advice_.find(At.Slot_); Found != Step.Advice_.end())
      Made.Order_.Ticket_ = Found->second.Ticket_;
    if (never(Step.FirstStart_))
      Step.FirstStart_ = Now_;
    Of_.note("start", Task, Number, At.Info_.Id_, Which.Checkpoint_);
    Of_.orderStart(At, Made, Now_);
  }

  void placeTasks(const Candidate &What, StepRun &Step, const work::StepSpec &Spec) const {
    work::TaskRef Task{What.Job_->Id_, What.Occurrence_, What.Step_, 0};
    for (; Task.Index_ < Step.Tasks_.size() && Step.Waiting_ > 0; ++Task.Index_) {
      TaskRun &Which = Step.Tasks_[Task.Index_];
      if (Which.State_ != TaskState::Waiting)
        continue;
      if (Of_.StartsOnTheWay_ >= Of_.Times_.StartsOnTheWay_ || !withinLimit(*What.Job_, Spec.Need_))
        return;
      ExecutorState *At = choose(*What.Job_, Step, Spec, Which);
      if (At == nullptr)
        return;
      start(*At, *What.Job_, Step, Task, runNumber(Of_.Token_, ++Which.RunCounter_));
    }
  }

  /// Starts all tasks of a gang or none.
  void placeGang(const Candidate &What, StepRun &Step, const work::StepSpec &Spec) const {
    if (Of_.StartsOnTheWay_ >= Of_.Times_.StartsOnTheWay_ || Step.Waiting_ < Step.Tasks_.size() ||
        !withinLimit(*What.Job_, Spec.Need_ * Spec.TaskCount_))
      return;
    std::vector<std::string> Racks;
    if (Spec.SameRack_)
      for (const auto &[Id, At] : Of_.Executors_)
        if (std::ranges::find(Racks, fleet::rackOf(At.Info_)) == Racks.end())
          Racks.emplace_back(fleet::rackOf(At.Info_));
    Racks.emplace_back(); // any rack, last
    for (const std::string &Rack : Racks)
      if (placeGangOn(What, Step, Spec, Rack))
        return;
  }

  bool placeGangOn(const Candidate &What, StepRun &Step, const work::StepSpec &Spec,
                   std::string_view Rack) const {
    // Room is taken provisionally, so that later members see it.
    std::vector<ExecutorState *> Hosts;
    core::Resources Counted = Spec.Need_;
    if (Spec.BestEffort_)
      Counted.MilliCores_ = 0;
    for (std::uint32_t I = 0; I < Spec.TaskCount_; ++I) {
      ExecutorState *At = choose(*What.Job_, Step, Spec, Step.Tasks_[I], Rack);
      if (At == nullptr)
        break;
      At->Used_ += Counted;
      ++Step.PerExecutor_[At->Slot_];
      Hosts.push_back(At);
    }
    for (ExecutorState *At : Hosts) {
      At->Used_ -= Counted;
      --Step.PerExecutor_[At->Slot_];
    }
    if (Hosts.size() < Spec.TaskCount_)
      return false;
    std::string Checkpoint;
    for (const TaskRun &One : Step.Tasks_)
      if (!One.Checkpoint_.empty())
        Checkpoint = One.Checkpoint_;
    Step.GangCounter_ = std::max(Step.GangCounter_ + 1, runNumber(Of_.Token_, 1));
    for (std::uint32_t I = 0; I < Spec.TaskCount_; ++I) {
      Step.Tasks_[I].Checkpoint_ = Checkpoint;
      start(*Hosts[I], *What.Job_, Step, {What.Job_->Id_, What.Occurrence_, What.Step_, I},
            Step.GangCounter_);
    }
    return true;
  }

  /// Asks for advice when the tickets at hand can't place all waiting tasks.
  void ask(const Candidate &What, StepRun &Step, const work::StepSpec &Spec,
           std::uint32_t Wanted) const {
    if (!What.Job_->Queue_.Advice_ || Step.Asking_ || Now_ < Step.AskAgainAt_)
      return;
    std::uint32_t Have = 0;
    visitAllowed(*What.Job_, Step, Spec,
                 [&](const ExecutorState &At) { Have += slots(At, Step, Spec, Wanted); });
    if (Have >= Wanted)
      return;
    std::vector<std::pair<double, const ExecutorState *>> Open;
    for (const ExecutorState *At : hostsOf(*What.Job_)) {
      if (slots(*At, Step, Spec, 1) == 0 || !hasLabel(*At, Spec.RequiredLabel_))
        continue;
      const auto Found = Step.Advice_.find(At->Slot_);
      if (Found == Step.Advice_.end() || (Found->second.May_ && !valid(Found->second, *At)))
        Open.emplace_back(costOf(*At, Spec, {}), At);
    }
    if (Open.empty())
      return;
    std::ranges::sort(Open, {}, &std::pair<double, const ExecutorState *>::first);
    const double Missing = (Wanted - Have) * AdviceReserve;
    const work::AdvicePolicy &Policy = *What.Job_->Queue_.Advice_;
    const auto Least = static_cast<std::size_t>(AdviceWidening * Policy.FixedMs_ /
                                                std::max(Policy.PerExecutorMs_, 0.1));
    std::vector<std::string> Names;
    for (double Expected = 0; const auto &[Price, At] : Open) {
      if ((Expected >= Missing && Names.size() >= Least) || Names.size() >= MaxAdvised)
        break;
      const bool Known = Step.Advice_.contains(At->Slot_);
      Expected += slots(*At, Step, Spec, Wanted) * (Known ? 1.0 : yieldOf(*What.Job_));
      Names.push_back(At->Info_.Id_);
    }
    const double Cost = Policy.FixedMs_ + Policy.PerExecutorMs_ * static_cast<double>(Names.size());
    Step.Asking_ = true;
    Of_.Out_.Advise_({What.Job_->Id_, What.Occurrence_, What.Step_, 0}, std::move(Names), Cost,
                     {What.Class_ * 100 + What.Priority_, What.Deadline_});
  }

  double yieldOf(const JobRun &Job) const {
    const auto Found = Of_.AdviceYield_.find(Job.Queue_.Name_);
    return std::max(LeastYield, Found == Of_.AdviceYield_.end() ? FirstYield : Found->second);
  }

  /// \returns true when all earlier steps end about when advice for this one could be there.
  bool nearlyReady(const JobRun &Job, std::uint32_t Occurrence, std::uint32_t Index) const {
    const work::StepSpec &Spec = Job.Spec_.Steps_[Index];
    if (!Job.Queue_.Advice_ || Spec.DependsOn_.empty())
      return false;
    const auto Cost = core::Millis(static_cast<std::int64_t>(
        Job.Queue_.Advice_->FixedMs_ + Job.Queue_.Advice_->PerExecutorMs_ * Spec.TaskCount_ * 2));
    for (const std::uint32_t Earlier : Spec.DependsOn_) {
      const StepRun &Before = Job.Occurrences_[Occurrence].Steps_[Earlier];
      if (Before.Done_ == Before.Tasks_.size())
        continue;
      if (!Before.Ready_ || Before.Waiting_ > 0 || never(Before.FirstStart_))
        return false;
      const core::Millis Estimated(Job.Spec_.Steps_[Earlier].EstimatedMs_);
      if (Now_ + Cost + PrefetchSlack < Before.FirstStart_ + Estimated)
        return false;
    }
    return true;
  }
};

void Scheduler::place(core::TimePoint Now, std::int64_t WallMs) {
  NextPlace_ = Now + PassInterval;
  PlacementPass Pass{*this, Now, {}, {}};
  Pass.listHosts();
  Pass.sumUnknown();
  Pass.updatePeaks();
  std::vector<Candidate> Waiting;
  for (auto &[Id, Job] : Jobs_) {
    if (Job.Ended_)
      continue;
    for (std::uint32_t K = 0; K < Job.Occurrences_.size(); ++K) {
      OccurrenceRun &Occurrence = Job.Occurrences_[K];
      Occurrence.Due_ = Occurrence.Due_ || Occurrence.DueMs_ <= WallMs;
      if (!Occurrence.Due_)
        break;
      for (std::uint32_t I = 0; I < Occurrence.Steps_.size(); ++I)
        if (const StepRun &Step = Occurrence.Steps_[I];
            Step.Waiting_ > 0 && (Step.Ready_ || Pass.nearlyReady(Job, K, I))) {
          // Tasks that run until cancelled are worth the same at any time.
          const bool Lasts = Job.Spec_.Steps_[I].LongRunning_;
          const int Class = Now > Job.Worthless_ && !Lasts ? 2 : (Job.OverShare_ ? 1 : 0);
          Waiting.push_back({Class, Job.Queue_.Priority_, Job.Deadline_, &Job, K, I});
        }
    }
  }
  std::ranges::sort(Waiting, goesFirst);
  for (const Candidate &What : Waiting) {
    StepRun &Step = What.Job_->Occurrences_[What.Occurrence_].Steps_[What.Step_];
    const work::StepSpec &Spec = What.Job_->Spec_.Steps_[What.Step_];
    if (Step.Ready_ && mayStart(*What.Job_, Spec)) {
      if (Spec.Gang_)
        Pass.placeGang(What, Step, Spec);
      else
        Pass.placeTasks(What, Step, Spec);
    }
    if (Step.Waiting_ > 0)
      Pass.ask(What, Step, Spec, Step.Waiting_);
  }
}

void Scheduler::onAdvice(const work::TaskRef &Task, std::span<const std::string> Asked,
                         const std::optional<std::vector<fleet::AdvisedExecutor>> &Good,
                         core::TimePoint Now) {
  JobRun *Job = jobOf(Task);
  if (Job == nullptr)
    return;
  StepRun &Step = *stepOf(*Job, Task);
  Step.Asking_ = false;
  if (!Good || !Job->Queue_.Advice_) {
    Step.AskAgainAt_ = Now + Times_.AdviceRetry_;
    return;
  }
  double &Yield = AdviceYield_.try_emplace(Job->Queue_.Name_, FirstYield).first->second;
  if (!Asked.empty())
    Yield += YieldWeight *
             (static_cast<double>(Good->size()) / static_cast<double>(Asked.size()) - Yield);
  for (const std::string &Id : Asked)
    if (const auto Host = Executors_.find(Id); Host != Executors_.end())
      Step.Advice_[Host->second.Slot_].May_ = false;
  const core::Millis Valid(Job->Queue_.Advice_->TicketValidMs_);
  for (const fleet::AdvisedExecutor &One : *Good) {
    const auto Host = Executors_.find(One.Executor_);
    if (Host != Executors_.end())
      Step.Advice_[Host->second.Slot_] = {true, One.Ticket_, Now + Valid - Times_.TicketMargin_,
                                          Host->second.Born_};
  }
  PlaceDue_ = true;
}

} // namespace masticdrift::lead
