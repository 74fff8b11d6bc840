#include "masticdrift/cell/Controller.h"

#include "masticdrift/core/Error.h"
#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/jobs/Records.h"
#include "masticdrift/policy/Learn.h"
#include "masticdrift/policy/Quarantine.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>

namespace masticdrift::cell {

namespace {

using core::TimePoint;
using jobs::TaskOutcome;
using legacy::WorkerStatus;
using legacy::WorkerTaskState;

/// Further decisions follow in the next round, so that the timer thread can run other work in
/// between.
constexpr std::size_t MaxDecisionsPerRound = 256;
/// Delay after which a start whose append had an unknown result is looked up in the replayed state.
constexpr core::Millis UnknownAppendTimeout{5000};
/// A worker is queried this long after the expected end of a task. Later queries follow after the
/// task's run time so far divided by EndQueryDivisor, at least MinEndQueryInterval apart.
constexpr core::Millis EndQueryMargin{30};
constexpr core::Millis MinEndQueryInterval{200};
constexpr int EndQueryDivisor = 4;

using TaskKey = std::pair<std::string, std::uint32_t>;

/// State of a task whose start was decided or replayed.
enum class Phase {
  Recording, ///< the Start record is being appended
  Sending,   ///< the Start record was replayed; the worker has not confirmed the task
  Running,   ///< the worker has confirmed the task
  Recovered, ///< started by an earlier owner; the worker has not reported yet
  Ending,    ///< the End record is being appended
};

struct ActiveTask {
  std::shared_ptr<const jobs::JobSpec> Spec_;
  std::uint32_t Attempt_ = 0;
  std::string Worker_;
  std::string LeaseGeneration_; ///< worker's lease generation in the Start record
  Phase Phase_ = Phase::Recording;
  TimePoint PhaseSince_; ///< start of the phase
  TimePoint Started_;
  TimePoint EndQueryAt_ = TimePoint::max(); ///< when to query the worker for the task's end
  bool InFlight_ = false;                   ///< a start command is outstanding
  bool Stopping_ = false;                   ///< a stop or checkpoint command was sent
};

struct WorkerEntry {
  legacy::Instance Instance_;
  WorkerLease Lease_;
  std::vector<legacy::TaskAck> Acks_;
  std::string EndedGeneration_; ///< last generation whose tasks were recorded as ended
};

std::string workerTaskId(std::string_view Job, std::uint32_t Task) {
  return std::string(Job) + "#" + std::to_string(Task);
}

std::optional<TaskKey> parseTaskId(std::string_view Id) {
  const std::size_t HashPos = Id.rfind('#');
  if (HashPos == std::string_view::npos || Id.size() - HashPos > 8)
    return std::nullopt;
  std::uint32_t Number = 0;
  for (const char Digit : Id.substr(HashPos + 1)) {
    if (Digit < '0' || Digit > '9')
      return std::nullopt;
    Number = Number * 10 + static_cast<std::uint32_t>(Digit - '0');
  }
  return TaskKey{std::string(Id.substr(0, HashPos)), Number};
}

policy::JobKind policyKind(jobs::JobKind Kind) {
  switch (Kind) {
  case jobs::JobKind::Batch:
    return policy::JobKind::Batch;
  case jobs::JobKind::Gang:
    return policy::JobKind::Gang;
  case jobs::JobKind::Service:
    return policy::JobKind::Service;
  }
  return policy::JobKind::Batch;
}

/// Assumed run time of a job that declares none.
constexpr core::Duration DefaultRunTime = std::chrono::minutes(1);

core::Duration declaredRunTime(const jobs::JobSpec &Spec) {
  return Spec.DeclaredRunMs_ > 0 ? core::Duration(core::Millis(Spec.DeclaredRunMs_))
                                 : DefaultRunTime;
}

policy::PendingJob toPendingJob(const jobs::JobSpec &Spec, std::vector<std::uint32_t> Tasks,
                                TimePoint Now) {
  policy::PendingJob Job;
  Job.Id_ = Spec.Id_;
  Job.Team_ = Spec.Team_;
  Job.Family_ = Spec.Family_;
  Job.Kind_ = policyKind(Spec.Kind_);
  Job.Urgent_ = Spec.Urgent_;
  Job.Checkpointable_ = Spec.Kind_ == jobs::JobKind::Batch && !Spec.Urgent_;
  Job.Throttleable_ = Spec.Kind_ == jobs::JobKind::Batch && !Spec.Urgent_;
  Job.Idempotent_ = Spec.Idempotent_;
  Job.Size_ = Spec.Need_;
  Job.RunTime_ = declaredRunTime(Spec);
  Job.QueuedAt_ = Now;
  Job.Waiting_ = std::move(Tasks);
  return Job;
}

policy::Placement toPlacement(const jobs::JobSpec &Spec, std::uint32_t Task, TimePoint Now) {
  const policy::PendingJob Job = toPendingJob(Spec, {}, Now);
  policy::Placement Placement;
  Placement.Job_ = Job.Id_;
  Placement.Task_ = Task;
  Placement.Team_ = Job.Team_;
  Placement.Family_ = Job.Family_;
  Placement.Kind_ = Job.Kind_;
  Placement.Urgent_ = Job.Urgent_;
  Placement.Checkpointable_ = Job.Checkpointable_;
  Placement.Throttleable_ = Job.Throttleable_;
  Placement.Idempotent_ = Job.Idempotent_;
  Placement.Size_ = Job.Size_;
  Placement.FullSize_ = Job.Size_;
  Placement.Started_ = Now;
  if (Placement.Kind_ != policy::JobKind::Service)
    Placement.ExpectedEnd_ = Now + Job.RunTime_;
  return Placement;
}

} // namespace

struct Controller::Impl : std::enable_shared_from_this<Impl> {
  Impl(ControllerOptions Options, ControllerHooks Hooks, core::Timers &Timers,
       legacy::WorkerClient &Client, const jobs::DomainState &State)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)), Timers_(Timers), Client_(Client),
        State_(State) {}

  // --- Changes of ownership, workers and teams ---

  void onLeaseAcquired(std::uint64_t Term) {
    Term_ = Term;
    rebuild();
    core::log(core::LogLevel::Info, "controller active",
              {{"term", std::to_string(Term)},
               {"running", std::to_string(Active_.size())},
               {"waiting", std::to_string(Pending_.WaitingTasks_)}});
  }

  void reset() {
    Term_ = 0;
    Active_.clear();
    ByWorker_.clear();
    Workers_.clear();
    Cell_ = {};
    Pending_ = {};
    Shares_ = {};
    Quarantine_ = {};
    Quarantine_.Rules_.FirstBackOff_ = Options_.FirstProbeDelay_;
  }

  /// Builds the scheduling state from the replayed records. A worker gets tasks once it has
  /// answered a renewal of this owner.
  void rebuild() {
    const TimePoint Now = core::Clock::now();
    const auto Workers = std::move(WorkerList_);
    const auto Teams = TeamQuotas_;
    const std::uint64_t Term = Term_;
    reset();
    Term_ = Term;
    applyWorkers(Workers);
    applyTeams(Teams);
    for (const auto &[Worker, Tasks] : State_.runningByWorker())
      for (const jobs::RunningTask &Task : Tasks)
        recover(Worker, Task, Now);
    for (const jobs::RunnableJob &Job : State_.runnable()) {
      std::vector<std::uint32_t> Tasks;
      for (const jobs::RunnableTask &Task : Job.Tasks_)
        Tasks.push_back(Task.Task_);
      addPendingTasks(*Job.Spec_, std::move(Tasks), Now);
    }
  }

  void recover(const std::string &Worker, const jobs::RunningTask &Recorded, TimePoint Now) {
    findOrAddWorker(Worker, Now);
    policy::WorkerIndex Index =
        policy::addWorker(Cell_, Worker, rackOf(Worker), capacityOf(Worker));
    policy::taskRunning(Cell_, Shares_, Index, toPlacement(*Recorded.Spec_, Recorded.Task_, Now),
                        Now);
    ActiveTask Task;
    Task.Spec_ = Recorded.Spec_;
    Task.Attempt_ = Recorded.Attempt_;
    Task.Worker_ = Worker;
    Task.LeaseGeneration_ = leaseGenerationOf(Recorded);
    Task.Phase_ = Phase::Recovered;
    Task.PhaseSince_ = Now;
    Task.Started_ = Now;
    Task.Stopping_ = false;
    addActive({Recorded.Spec_->Id_, Recorded.Task_}, std::move(Task));
  }

  static std::string leaseGenerationOf(const jobs::RunningTask &Task) {
    return Task.LeaseGeneration_;
  }

  WorkerEntry &findOrAddWorker(const std::string &Name, TimePoint Now) {
    auto [It, Inserted] = Workers_.try_emplace(Name);
    if (Inserted) {
      It->second.Instance_.Name_ = Name;
      It->second.Lease_.FirstContact_ = Now;
    }
    return It->second;
  }

  std::string rackOf(const std::string &Worker) const {
    const auto Found = Workers_.find(Worker);
    return Found == Workers_.end() ? "" : Found->second.Instance_.Rack_;
  }

  core::Resources capacityOf(const std::string &Worker) const {
    const auto Found = Workers_.find(Worker);
    return Found == Workers_.end() ? core::Resources{} : Found->second.Instance_.Capacity_;
  }

  void applyWorkers(std::vector<legacy::Instance> Instances) {
    const TimePoint Now = core::Clock::now();
    std::set<std::string> Names;
    for (const legacy::Instance &Instance : Instances) {
      Names.insert(Instance.Name_);
      findOrAddWorker(Instance.Name_, Now).Instance_ = Instance;
      const policy::WorkerIndex Index =
          policy::addWorker(Cell_, Instance.Name_, Instance.Rack_, Instance.Capacity_,
                            Instance.Leaving_ || !isWorkerUsable(Instance.Name_, Now));
      (void)Index;
    }
    for (auto &[Name, Entry] : Workers_)
      if (!Names.contains(Name) && !Entry.Instance_.Leaving_) {
        Entry.Instance_.Leaving_ = true;
        if (const auto Index = policy::findWorker(Cell_, Name))
          policy::setLeaving(Cell_, *Index, true);
      }
    WorkerList_ = std::move(Instances);
    policy::setCapacity(Shares_, Cell_.Capacity_);
  }

  bool isWorkerUsable(const std::string &Name, TimePoint Now) const {
    const auto Found = Workers_.find(Name);
    return Found != Workers_.end() && isUsable(Found->second.Lease_, Options_.LeaseTiming_, Now);
  }

  void applyTeams(const std::vector<TeamQuota> &Teams) {
    TeamQuotas_ = Teams;
    for (const TeamQuota &Team : Teams) {
      policy::Allotment Limit;
      Limit.Resources_ = Team.Allotment_;
      policy::setTeam(Shares_, Team.Name_, Team.Weight_, Limit);
    }
  }

  void addPendingTasks(const jobs::JobSpec &Spec, std::vector<std::uint32_t> Tasks, TimePoint Now) {
    // A record replayed during rebuild() is in the replayed state and arrives as a change too; its
    // tasks must not be added twice.
    const policy::PendingJob *Existing = policy::findPending(Pending_, Spec.Id_);
    std::erase_if(Tasks, [&](std::uint32_t Task) {
      return Active_.contains({Spec.Id_, Task}) ||
             (Existing && std::ranges::find(Existing->Waiting_, Task) != Existing->Waiting_.end());
    });
    if (Tasks.empty())
      return;
    policy::PendingJob Job = toPendingJob(Spec, std::move(Tasks), Now);
    Job.RunTime_ =
        policy::estimate(RunHistory_, Spec.Team_, Spec.Family_, Job.RunTime_, Job.Size_).RunTime_;
    policy::addPending(Pending_, std::move(Job));
  }

  void addActive(const TaskKey &Key, ActiveTask Task) {
    ByWorker_[Task.Worker_].insert(Key);
    Active_.insert_or_assign(Key, std::move(Task));
  }

  void eraseActive(std::map<TaskKey, ActiveTask>::iterator It) {
    ByWorker_[It->second.Worker_].erase(It->first);
    Active_.erase(It);
  }

  /// Calls \p Callback for each active task of a worker.
  template <typename Function> void forEachTaskOn(const std::string &Worker, Function Callback) {
    const auto Keys = ByWorker_.find(Worker);
    if (Keys == ByWorker_.end())
      return;
    for (const TaskKey &Key : Keys->second)
      if (const auto Found = Active_.find(Key); Found != Active_.end())
        Callback(Found->first, Found->second);
  }

  // --- Replayed records ---

  void onChange(const jobs::Change &Change) {
    if (Term_ == 0)
      return;
    const TimePoint Now = core::Clock::now();
    switch (Change.Kind_) {
    case jobs::ChangeKind::Accepted:
      return onJobAccepted(Change.Job_, Now);
    case jobs::ChangeKind::CancelRequested:
      return onCancelRequested(Change.Job_, Now);
    case jobs::ChangeKind::Started:
      return onTaskStarted(Change, Now);
    case jobs::ChangeKind::Ended:
    case jobs::ChangeKind::Requeued:
    case jobs::ChangeKind::Held:
      return onTaskEnded(Change, Now);
    default:
      return;
    }
  }

  void onJobAccepted(const std::string &Id, TimePoint Now) {
    const auto Job = State_.find(Id);
    if (!Job || Job->CancelRequested_)
      return;
    std::vector<std::uint32_t> Tasks(Job->Spec_->TaskCount_);
    for (std::uint32_t I = 0; I < Tasks.size(); ++I)
      Tasks[I] = I;
    addPendingTasks(*Job->Spec_, std::move(Tasks), Now);
    scheduleDecisionRound();
  }

  void onCancelRequested(const std::string &Id, TimePoint Now) {
    policy::cancel(Pending_, Id);
    for (auto It = Active_.lower_bound({Id, 0}); It != Active_.end() && It->first.first == Id; ++It)
      stopTask(It->first, It->second, Now);
  }

  void onTaskStarted(const jobs::Change &Change, TimePoint Now) {
    const auto Found = Active_.find({Change.Job_, Change.Task_});
    if (Found == Active_.end() || Found->second.Attempt_ != Change.Attempt_)
      return;
    enterPhase(Found->second, Phase::Sending, Now);
    sendStart(Found->first, Found->second, Now);
  }

  void onTaskEnded(const jobs::Change &Change, TimePoint Now) {
    const TaskKey Key{Change.Job_, Change.Task_};
    const auto Found = Active_.find(Key);
    if (Found == Active_.end() || Found->second.Attempt_ != Change.Attempt_)
      return;
    if (const auto Entry = Workers_.find(Found->second.Worker_); Entry != Workers_.end())
      Entry->second.Acks_.push_back({workerTaskId(Change.Job_, Change.Task_), Change.Attempt_});
    const auto Spec = Found->second.Spec_;
    policy::taskEnded(Cell_, Shares_, Change.Job_, Change.Task_, Now);
    eraseActive(Found);
    if (Change.Kind_ == jobs::ChangeKind::Requeued)
      addPendingTasks(*Spec, {Change.Task_}, Now);
    scheduleDecisionRound();
  }

  // --- Decisions ---

  void scheduleDecisionRound() {
    if (std::exchange(RoundScheduled_, true))
      return;
    Timers_.post([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock()) {
        Self->RoundScheduled_ = false;
        Self->runDecisionRound();
      }
    });
  }

  void runDecisionRound() {
    const TimePoint Now = core::Clock::now();
    if (Term_ == 0 || !Hooks_.HoldsLease_(Now))
      return;
    policy::DecideLimits Limits;
    Limits.MaxDecisions_ = MaxDecisionsPerRound;
    const std::vector<policy::Decision> Decisions =
        policy::decide(Cell_, Pending_, Shares_, Now, Limits);
    core::observe("masticdrift_decision_seconds",
                  std::chrono::duration<double>(core::Clock::now() - Now).count());
    std::vector<journal::Entry> Records;
    std::vector<TaskKey> Keys;
    for (const policy::Decision &Decision : Decisions)
      if (Decision.Kind_ == policy::DecisionKind::Start)
        prepareStart(Decision, Now, Records, Keys);
      else
        preempt(Decision, Now);
    if (!Records.empty())
      recordStarts(std::move(Records), std::move(Keys));
    if (Pending_.LimitsReached_)
      scheduleDecisionRound();
  }

  void prepareStart(const policy::Decision &Decision, TimePoint Now,
                    std::vector<journal::Entry> &Records, std::vector<TaskKey> &Keys) {
    const auto Replayed = State_.findTask(Decision.Job_, Decision.Task_);
    const bool Startable = Replayed && !Replayed->CancelRequested_ &&
                           Replayed->Task_.State_ == jobs::TaskState::Queued;
    if (!Startable) {
      policy::taskEnded(Cell_, Shares_, Decision.Job_, Decision.Task_, Now);
      return;
    }
    ActiveTask Task;
    Task.Spec_ = Replayed->Spec_;
    Task.Attempt_ = Replayed->Task_.Attempt_ + 1;
    Task.Worker_ = Decision.Worker_;
    Task.LeaseGeneration_ = Workers_[Decision.Worker_].Lease_.Generation_;
    Task.Started_ = Now;
    enterPhase(Task, Phase::Recording, Now);
    jobs::Start Record;
    Record.Job_ = Decision.Job_;
    Record.Task_ = Decision.Task_;
    Record.Attempt_ = Task.Attempt_;
    Record.Worker_ = Decision.Worker_;
    Record.LeaseGeneration_ = Task.LeaseGeneration_;
    Record.Term_ = Term_;
    Records.push_back(jobs::toEntry(Record));
    Keys.emplace_back(Decision.Job_, Decision.Task_);
    addActive(Keys.back(), std::move(Task));
  }

  void recordStarts(std::vector<journal::Entry> Records, std::vector<TaskKey> Keys) {
    Hooks_.Append_(std::move(Records), [Weak = weak_from_this(), Keys = std::move(Keys),
                                        Term = Term_](std::error_code Error, std::uint64_t) {
      const auto Self = Weak.lock();
      if (!Self || core::kindOf(Error) != core::ErrorKind::StoreUnavailable)
        return;
      Self->Timers_.post([Self, Keys, Term] {
        if (Self->Term_ == Term)
          for (const TaskKey &Key : Keys)
            Self->revertStart(Key);
      });
    });
  }

  /// Returns a task to the queue after its Start record was certainly not appended.
  void revertStart(const TaskKey &Key) {
    const auto Found = Active_.find(Key);
    if (Found == Active_.end() || Found->second.Phase_ != Phase::Recording)
      return;
    const TimePoint Now = core::Clock::now();
    const auto Spec = Found->second.Spec_;
    policy::taskEnded(Cell_, Shares_, Key.first, Key.second, Now);
    eraseActive(Found);
    const auto Replayed = State_.findTask(Key.first, Key.second);
    if (Replayed && !Replayed->CancelRequested_)
      addPendingTasks(*Spec, {Key.second}, Now);
  }

  static void enterPhase(ActiveTask &Task, Phase Next, TimePoint Now) {
    Task.Phase_ = Next;
    Task.PhaseSince_ = Now;
  }

  // --- Commands to workers ---

  void sendStart(const TaskKey &Key, ActiveTask &Task, TimePoint Now) {
    const auto Entry = Workers_.find(Task.Worker_);
    if (Task.InFlight_ || Entry == Workers_.end() || !Hooks_.HoldsLease_(Now))
      return;
    legacy::StartRequest Request;
    Request.Id_ = workerTaskId(Key.first, Key.second);
    Request.Term_ = Term_;
    Request.Boot_ = Task.LeaseGeneration_;
    Request.Attempt_ = Task.Attempt_;
    Request.Need_ = Task.Spec_->Need_;
    Request.RunMs_ = Task.Spec_->Kind_ == jobs::JobKind::Service ? 0 : Task.Spec_->DeclaredRunMs_;
    Request.Command_ = Task.Spec_->Command_;
    Task.InFlight_ = true;
    core::count("masticdrift_task_starts_total");
    Client_.startTask(
        Entry->second.Instance_.Address_, Request,
        [Weak = weak_from_this(), Key, Attempt = Task.Attempt_, Term = Term_](WorkerStatus Status) {
          const auto Self = Weak.lock();
          if (!Self)
            return;
          Self->Timers_.post([Self, Key, Attempt, Term, Status] {
            if (Self->Term_ == Term)
              Self->onStartAnswer(Key, Attempt, Status);
          });
        });
  }

  void onStartAnswer(const TaskKey &Key, std::uint32_t Attempt, WorkerStatus Status) {
    const auto Found = Active_.find(Key);
    if (Found == Active_.end() || Found->second.Attempt_ != Attempt)
      return;
    ActiveTask &Task = Found->second;
    const TimePoint Now = core::Clock::now();
    Task.InFlight_ = false;
    if (Task.Phase_ != Phase::Sending)
      return;
    if (Status == WorkerStatus::Done) {
      enterPhase(Task, Phase::Running, Now);
      Task.Started_ = Now;
      Task.EndQueryAt_ = firstEndQuery(*Task.Spec_, Now);
      stopIfCancelled(Key, Task, Now);
    } else if (legacy::hadNoEffect(Status) && Status != WorkerStatus::StaleTerm) {
      recordEnd(Key, Task, TaskOutcome::NeverRan, 0, Now);
    }
    // After NoAnswer or StaleTerm the task stays in the phase Sending: each tick sends the same
    // attempt again until the worker answers otherwise or its lease has expired.
  }

  /// \returns when to query the worker for the end of a task that has just started.
  ///
  /// Workers report ended tasks in the answer to a lease renewal. Waiting for the regular renewal
  /// would leave the task's resources unused for seconds, so an extra renewal is sent when the task
  /// is expected to have ended.
  TimePoint firstEndQuery(const jobs::JobSpec &Spec, TimePoint Now) const {
    if (Spec.Kind_ == jobs::JobKind::Service)
      return TimePoint::max();
    return Now +
           policy::estimate(RunHistory_, Spec.Team_, Spec.Family_, declaredRunTime(Spec),
                            Spec.Need_)
               .RunTime_ +
           EndQueryMargin;
  }

  void stopIfCancelled(const TaskKey &Key, ActiveTask &Task, TimePoint Now) {
    const auto Replayed = State_.findTask(Key.first, Key.second);
    if (Replayed && Replayed->CancelRequested_)
      stopTask(Key, Task, Now);
  }

  void stopTask(const TaskKey &Key, ActiveTask &Task, TimePoint Now) {
    if (Task.Phase_ != Phase::Running && Task.Phase_ != Phase::Recovered &&
        Task.Phase_ != Phase::Sending)
      return;
    const auto Entry = Workers_.find(Task.Worker_);
    if (Entry == Workers_.end() || !Hooks_.HoldsLease_(Now))
      return;
    Task.Stopping_ = true;
    Client_.stopTask(Entry->second.Instance_.Address_, workerTaskId(Key.first, Key.second), Term_,
                     [Weak = weak_from_this(), Worker = Task.Worker_](WorkerStatus) {
                       if (const auto Self = Weak.lock())
                         Self->Timers_.post([Self, Worker] { Self->renewIfUsable(Worker); });
                     });
  }

  void preempt(const policy::Decision &Decision, TimePoint Now) {
    const TaskKey Key{Decision.Job_, Decision.Task_};
    const auto Found = Active_.find(Key);
    const auto Entry = Workers_.find(Decision.Worker_);
    if (Found == Active_.end() || Entry == Workers_.end() ||
        Found->second.Phase_ != Phase::Running || !Hooks_.HoldsLease_(Now)) {
      policy::preemptFailed(Cell_, Decision.Job_, Decision.Task_);
      return;
    }
    const std::string &Address = Entry->second.Instance_.Address_;
    const std::string Id = workerTaskId(Key.first, Key.second);
    auto Done = [Weak = weak_from_this(), Key, Method = Decision.Method_,
                 Worker = Decision.Worker_](WorkerStatus Status) {
      if (const auto Self = Weak.lock())
        Self->Timers_.post([Self, Key, Method, Worker, Status] {
          Self->onPreemptionAnswer(Key, Method, Worker, Status);
        });
    };
    switch (Decision.Method_) {
    case policy::PreemptionMethod::Checkpoint:
      Found->second.Stopping_ = true;
      return Client_.checkpoint(Address, Id, Term_, std::move(Done));
    case policy::PreemptionMethod::Throttle:
      return Client_.throttle(Address, Id, Term_, std::move(Done));
    case policy::PreemptionMethod::Stop:
      Found->second.Stopping_ = true;
      return Client_.stopTask(Address, Id, Term_, std::move(Done));
    }
  }

  void onPreemptionAnswer(const TaskKey &Key, policy::PreemptionMethod Method,
                          const std::string &Worker, WorkerStatus Status) {
    const auto Found = Active_.find(Key);
    if (Found == Active_.end())
      return;
    const TimePoint Now = core::Clock::now();
    if (Status != WorkerStatus::Done) {
      policy::preemptFailed(Cell_, Key.first, Key.second);
      Found->second.Stopping_ = false;
    } else if (Method == policy::PreemptionMethod::Throttle) {
      policy::taskThrottled(Cell_, Shares_, Key.first, Key.second, Now);
      scheduleDecisionRound();
    } else if (Method == policy::PreemptionMethod::Checkpoint) {
      recordEnd(Key, Found->second, TaskOutcome::Checkpointed, 0, Now);
    } else {
      renewIfUsable(Worker);
    }
  }

  /// Appends the End record of an attempt. The task's resources stay allocated until the record has
  /// been replayed.
  void recordEnd(const TaskKey &Key, ActiveTask &Task, TaskOutcome Outcome, std::int32_t ExitCode,
                 TimePoint Now) {
    jobs::End Record;
    Record.Job_ = Key.first;
    Record.Task_ = Key.second;
    Record.Attempt_ = Task.Attempt_;
    Record.Outcome_ = Outcome;
    Record.Term_ = Term_;
    Record.ExitCode_ = ExitCode;
    Record.RunAgain_ = Outcome != TaskOutcome::Failed || Task.Attempt_ < Options_.MaxAttempts_;
    enterPhase(Task, Phase::Ending, Now);
    Hooks_.Append_({jobs::toEntry(Record)}, [Weak = weak_from_this(), Key, Attempt = Task.Attempt_,
                                             Term = Term_](std::error_code Error, std::uint64_t) {
      const auto Self = Weak.lock();
      if (!Self || !Error)
        return;
      Self->Timers_.post(
          [Self, Key, Attempt, Term] { Self->onEndNotRecorded(Key, Attempt, Term); });
    });
  }

  /// Handles an End record that was not appended, or whose append had an unknown result. The worker
  /// keeps the task's outcome and reports it again with the next renewal; a second End of the same
  /// attempt has no effect.
  void onEndNotRecorded(const TaskKey &Key, std::uint32_t Attempt, std::uint64_t Term) {
    const auto Found = Active_.find(Key);
    if (Term_ == Term && Found != Active_.end() && Found->second.Attempt_ == Attempt &&
        Found->second.Phase_ == Phase::Ending)
      enterPhase(Found->second, Phase::Running, core::Clock::now());
  }

  // --- Worker leases ---

  void tick() {
    const TimePoint Now = core::Clock::now();
    if (Term_ == 0 || !Hooks_.HoldsLease_(Now))
      return;
    for (auto &[Name, Entry] : Workers_) {
      if (shouldRenew(Entry.Lease_, Options_.LeaseTiming_, Now))
        sendRenewal(Name, Entry, Now);
      else if (hasExpired(Entry.Lease_, Options_.LeaseTiming_, Now))
        onWorkerLeaseExpired(Name, Entry, Now);
    }
    std::set<std::string> WorkersToQuery;
    for (auto &[Key, Task] : Active_) {
      if (Task.Phase_ == Phase::Sending && !Task.InFlight_)
        sendStart(Key, Task, Now);
      if (Task.Phase_ == Phase::Running && Task.EndQueryAt_ <= Now)
        WorkersToQuery.insert(Task.Worker_);
    }
    for (const std::string &Worker : WorkersToQuery)
      renewIfUsable(Worker);
    resolveUnknownStarts(Now);
    policy::allowProbes(Quarantine_, Cell_, Now);
    runDecisionRound();
    updateStats(Now);
  }

  void renewIfUsable(const std::string &Name) {
    const auto Found = Workers_.find(Name);
    const TimePoint Now = core::Clock::now();
    if (Found != Workers_.end() && Term_ != 0 && !Found->second.Lease_.InFlight_ &&
        Hooks_.HoldsLease_(Now) && isUsable(Found->second.Lease_, Options_.LeaseTiming_, Now))
      sendRenewal(Name, Found->second, Now);
  }

  void sendRenewal(const std::string &Name, WorkerEntry &Entry, TimePoint SentAt) {
    if (Entry.Instance_.Address_.empty())
      return;
    legacy::LeaseRequest Request;
    Request.Term_ = Term_;
    Request.Owner_ = Options_.Instance_;
    Request.TtlMs_ = core::toMillis(Options_.LeaseTiming_.Ttl_);
    Request.Acks_ = Entry.Acks_;
    Entry.Lease_.InFlight_ = true;
    Entry.Lease_.LastSentAt_ = SentAt;
    Client_.lease(
        Entry.Instance_.Address_, Request,
        [Weak = weak_from_this(), Name, SentAt, Term = Term_,
         AckCount = Request.Acks_.size()](WorkerStatus Status, legacy::LeaseAnswer Answer) {
          const auto Self = Weak.lock();
          if (!Self)
            return;
          Self->Timers_.post(
              [Self, Name, SentAt, Term, AckCount, Status, Answer = std::move(Answer)] {
                if (Self->Term_ == Term)
                  Self->onLeaseAnswer(Name, SentAt, AckCount, Status, Answer);
              });
        });
  }

  void onLeaseAnswer(const std::string &Name, TimePoint SentAt, std::size_t AckCount,
                     WorkerStatus Status, const legacy::LeaseAnswer &Answer) {
    const auto Found = Workers_.find(Name);
    if (Found == Workers_.end())
      return;
    WorkerEntry &Entry = Found->second;
    Entry.Lease_.InFlight_ = false;
    if (Status != WorkerStatus::Done)
      return;
    const TimePoint Now = core::Clock::now();
    Entry.Lease_.LastAnsweredSentAt_ = SentAt;
    Entry.Lease_.Generation_ = Answer.Boot_;
    Entry.Acks_.erase(Entry.Acks_.begin(),
                      Entry.Acks_.begin() + static_cast<std::ptrdiff_t>(AckCount));
    if (const auto Index = policy::findWorker(Cell_, Name))
      policy::setLeaving(Cell_, *Index, Entry.Instance_.Leaving_);
    policy::setCapacity(Shares_, Cell_.Capacity_);
    reconcile(Name, Entry, SentAt, Answer, Now);
    scheduleDecisionRound();
  }

  /// Compares the tasks that the worker reports with the recorded ones.
  void reconcile(const std::string &Name, WorkerEntry &Entry, TimePoint SentAt,
                 const legacy::LeaseAnswer &Answer, TimePoint Now) {
    std::map<TaskKey, const legacy::WorkerTask *> ReportedTasks;
    for (const legacy::WorkerTask &WorkerTask : Answer.Tasks_) {
      const auto Key = parseTaskId(WorkerTask.Id_);
      if (!Key)
        continue;
      const auto Found = Active_.find(*Key);
      const bool IsCurrent = Found != Active_.end() && Found->second.Worker_ == Name &&
                             Found->second.Attempt_ == WorkerTask.Attempt_;
      if (IsCurrent)
        ReportedTasks.emplace(*Key, &WorkerTask);
      else
        discardUnknownTask(Entry, WorkerTask);
    }
    forEachTaskOn(Name, [&](const TaskKey &Key, ActiveTask &Task) {
      const auto Found = ReportedTasks.find(Key);
      if (Found != ReportedTasks.end())
        onTaskReported(Key, Task, *Found->second, Now);
      else if (Task.PhaseSince_ < SentAt)
        onTaskMissing(Key, Task, Answer.Boot_, Now);
    });
  }

  /// Stops or acknowledges a task that is not recorded as running on this worker: an attempt that
  /// has ended, or one of an abandoned Start.
  void discardUnknownTask(WorkerEntry &Entry, const legacy::WorkerTask &WorkerTask) {
    if (WorkerTask.State_ == WorkerTaskState::Running)
      Client_.stopTask(Entry.Instance_.Address_, WorkerTask.Id_, Term_, [](WorkerStatus) {});
    else
      Entry.Acks_.push_back({WorkerTask.Id_, WorkerTask.Attempt_});
  }

  void onTaskReported(const TaskKey &Key, ActiveTask &Task, const legacy::WorkerTask &WorkerTask,
                      TimePoint Now) {
    if (Task.Phase_ == Phase::Recording || Task.Phase_ == Phase::Ending)
      return;
    if (WorkerTask.State_ == WorkerTaskState::Running) {
      if (Task.Phase_ != Phase::Running)
        enterPhase(Task, Phase::Running, Now);
      if (Task.EndQueryAt_ <= Now)
        Task.EndQueryAt_ = Now + std::max<core::Duration>(MinEndQueryInterval,
                                                          (Now - Task.Started_) / EndQueryDivisor);
      if (!Task.Stopping_)
        stopIfCancelled(Key, Task, Now);
      return;
    }
    const bool Succeeded = WorkerTask.State_ == WorkerTaskState::Finished;
    if (WorkerTask.State_ != WorkerTaskState::Stopped) {
      if (const auto Index = policy::findWorker(Cell_, Task.Worker_))
        policy::recordTaskEnd(Quarantine_, Cell_, *Index, Key.first, Task.Started_, Succeeded, Now);
      if (Succeeded)
        policy::recordObservation(RunHistory_, Task.Spec_->Team_, Task.Spec_->Family_,
                                  declaredRunTime(*Task.Spec_), Now - Task.Started_,
                                  Task.Spec_->Need_, {});
    }
    const TaskOutcome Outcome = Succeeded ? TaskOutcome::Succeeded
                                : WorkerTask.State_ == WorkerTaskState::Failed
                                    ? TaskOutcome::Failed
                                    : TaskOutcome::Stopped;
    recordEnd(Key, Task, Outcome, WorkerTask.ExitCode_, Now);
  }

  /// Handles a task that the worker does not know.
  void onTaskMissing(const TaskKey &Key, ActiveTask &Task, const std::string &Generation,
                     TimePoint Now) {
    switch (Task.Phase_) {
    case Phase::Recording:
    case Phase::Ending:
      return;
    case Phase::Sending:
      // A start command still in flight names the old generation and will be refused. But it may
      // have reached the worker in the old generation, so the task may have run.
      if (Generation != Task.LeaseGeneration_)
        recordEnd(Key, Task, TaskOutcome::Lost, 0, Now);
      return;
    case Phase::Recovered:
      // The worker has accepted the higher term, so it refuses start commands of the earlier owner.
      // In the same generation it would still know a task that it had started.
      return recordEnd(
          Key, Task,
          Generation == Task.LeaseGeneration_ ? TaskOutcome::NeverRan : TaskOutcome::Lost, 0, Now);
    case Phase::Running:
      return recordEnd(Key, Task, TaskOutcome::Lost, 0, Now);
    }
  }

  /// Records the worker's tasks as lost: its lease has certainly expired, so it has stopped them.
  void onWorkerLeaseExpired(const std::string &Name, WorkerEntry &Entry, TimePoint Now) {
    forEachTaskOn(Name, [&](const TaskKey &Key, ActiveTask &Task) {
      if (Task.Phase_ != Phase::Recording && Task.Phase_ != Phase::Ending)
        recordEnd(Key, Task, TaskOutcome::Lost, 0, Now);
    });
    if (const auto Index = policy::findWorker(Cell_, Name))
      policy::setLeaving(Cell_, *Index, true);
    policy::setCapacity(Shares_, Cell_.Capacity_);
    // The worker is treated as new from here on, so renewals start again.
    Entry.Lease_ = {};
    Entry.Lease_.FirstContact_ = Now;
  }

  /// Resolves starts whose append had an unknown result from the replayed state.
  void resolveUnknownStarts(TimePoint Now) {
    std::vector<TaskKey> NotRecorded;
    for (auto &[Key, Task] : Active_) {
      if (Task.Phase_ != Phase::Recording || Now - Task.PhaseSince_ < UnknownAppendTimeout)
        continue;
      const auto Replayed = State_.findTask(Key.first, Key.second);
      if (Replayed && Replayed->Task_.State_ == jobs::TaskState::Running &&
          Replayed->Task_.Attempt_ == Task.Attempt_ && Replayed->Task_.Term_ == Term_) {
        enterPhase(Task, Phase::Sending, Now);
        sendStart(Key, Task, Now);
      } else {
        NotRecorded.push_back(Key);
      }
    }
    for (const TaskKey &Key : NotRecorded)
      revertStart(Key);
  }

  void updateStats(TimePoint Now) {
    ControllerStats Stats;
    Stats.Active_ = true;
    Stats.Workers_ = Workers_.size();
    for (const auto &[Name, Entry] : Workers_)
      if (isUsable(Entry.Lease_, Options_.LeaseTiming_, Now))
        ++Stats.UsableWorkers_;
    Stats.WaitingTasks_ = Pending_.WaitingTasks_;
    Stats.RunningTasks_ = Active_.size();
    Stats.FreeResources_ = Cell_.Capacity_ - Cell_.Used_;
    Stats.Utilization_ = policy::utilization(Cell_);
    const std::lock_guard Lock(StatsMutex_);
    Stats_ = Stats;
  }

  const ControllerOptions Options_;
  const ControllerHooks Hooks_;
  core::Timers &Timers_;
  legacy::WorkerClient &Client_;
  const jobs::DomainState &State_;

  // Used on the timer thread only:
  std::uint64_t Term_ = 0; ///< 0 unless this daemon is the owner
  std::map<std::string, WorkerEntry> Workers_;
  std::map<TaskKey, ActiveTask> Active_;
  std::map<std::string, std::set<TaskKey>> ByWorker_; ///< keys of Active_, by worker name
  policy::CellView Cell_;
  policy::PendingWork Pending_;
  policy::Shares Shares_;
  policy::RunHistory RunHistory_;
  policy::Quarantine Quarantine_;
  std::vector<legacy::Instance> WorkerList_;
  std::vector<TeamQuota> TeamQuotas_;
  bool RoundScheduled_ = false;

  mutable std::mutex StatsMutex_;
  ControllerStats Stats_;
};

Controller::Controller(ControllerOptions Options, ControllerHooks Hooks, core::Timers &Timers,
                       legacy::WorkerClient &Client, const jobs::DomainState &State)
    : Impl_(std::make_shared<Impl>(std::move(Options), std::move(Hooks), Timers, Client, State)) {}

Controller::~Controller() = default;

void Controller::start() {
  Impl_->Timers_.every(Impl_->Options_.TickInterval_, [Weak = std::weak_ptr(Impl_)] {
    if (const auto Self = Weak.lock())
      Self->tick();
  });
}

void Controller::onLeaseAcquired(std::uint64_t Term) {
  Impl_->Timers_.post([Self = Impl_, Term] { Self->onLeaseAcquired(Term); });
}

void Controller::onLeaseLost() {
  Impl_->Timers_.post([Self = Impl_] {
    Self->reset();
    const std::lock_guard Lock(Self->StatsMutex_);
    Self->Stats_ = {};
  });
}

void Controller::setWorkers(std::vector<legacy::Instance> Workers) {
  Impl_->Timers_.post([Self = Impl_, Workers = std::move(Workers)]() mutable {
    if (Self->Term_ == 0)
      Self->WorkerList_ = std::move(Workers);
    else
      Self->applyWorkers(std::move(Workers));
  });
}

void Controller::setTeams(std::vector<TeamQuota> Teams) {
  Impl_->Timers_.post([Self = Impl_, Teams = std::move(Teams)] { Self->applyTeams(Teams); });
}

void Controller::onChange(const jobs::Change &Change) {
  Impl_->Timers_.post([Self = Impl_, Change] { Self->onChange(Change); });
}

void Controller::explain(std::string_view Job,
                         std::function<void(policy::Explanation)> Done) const {
  Impl_->Timers_.post([Self = Impl_, Job = std::string(Job), Done = std::move(Done)] {
    Done(policy::explain(Self->Cell_, Self->Pending_, Self->Shares_, Job, core::Clock::now()));
  });
}

ControllerStats Controller::stats() const {
  const std::lock_guard Lock(Impl_->StatsMutex_);
  return Impl_->Stats_;
}

} // namespace masticdrift::cell
