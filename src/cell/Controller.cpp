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

/// Most start decisions of one round; the rest follows in the next one, after the timer thread has
/// served others.
constexpr std::size_t DecisionsPerRound = 256;
/// A start whose append had an unknown result is looked up in the replayed state after this time.
constexpr core::Millis SettleAfter{5000};
/// A worker is asked this long after the expected end of a task, then after growing parts of the
/// time it has run.
constexpr core::Millis LookMargin{30};
constexpr core::Millis ShortestLook{200};
constexpr int LookDivisor = 4;

using TaskKey = std::pair<std::string, std::uint32_t>;

/// Progress of a task whose start was decided or found by replay.
enum class Phase {
  Recording, ///< the Start record is on its way
  Sending,   ///< the Start is in force and the worker has not confirmed it
  Running,   ///< the worker has confirmed the task
  Recovered, ///< started by an earlier owner; the worker has not reported yet
  Ending,    ///< the End record is on its way
};

struct ActiveTask {
  std::shared_ptr<const jobs::JobSpec> Spec_;
  std::uint32_t Attempt_ = 0;
  std::string Worker_;
  std::string Boot_; ///< generation of the worker's lease that the start names
  Phase Phase_ = Phase::Recording;
  TimePoint Since_; ///< start of the phase
  TimePoint Started_;
  TimePoint LookAt_ = TimePoint::max(); ///< when the worker should be asked whether it has ended
  bool InFlight_ = false;               ///< a start command is outstanding
  bool Stopping_ = false;               ///< the worker was told to stop it
};

struct WorkerEntry {
  legacy::Instance Instance_;
  WorkerLease Lease_;
  std::vector<legacy::TaskAck> Acks_;
  std::string EndedBoot_; ///< last generation whose tasks were declared ended
};

std::string workerTaskId(std::string_view Job, std::uint32_t Task) {
  return std::string(Job) + "#" + std::to_string(Task);
}

std::optional<TaskKey> parseTaskId(std::string_view Id) {
  const std::size_t Hash = Id.rfind('#');
  if (Hash == std::string_view::npos || Id.size() - Hash > 8)
    return std::nullopt;
  std::uint32_t Number = 0;
  for (const char C : Id.substr(Hash + 1)) {
    if (C < '0' || C > '9')
      return std::nullopt;
    Number = Number * 10 + static_cast<std::uint32_t>(C - '0');
  }
  return TaskKey{std::string(Id.substr(0, Hash)), Number};
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

/// Run time that is assumed when none is declared.
constexpr core::Duration DefaultRun = std::chrono::minutes(1);

core::Duration declaredRun(const jobs::JobSpec &Spec) {
  return Spec.DeclaredRunMs_ > 0 ? core::Duration(core::Millis(Spec.DeclaredRunMs_)) : DefaultRun;
}

policy::PendingJob pendingOf(const jobs::JobSpec &Spec, std::vector<std::uint32_t> Tasks,
                             TimePoint Now) {
  policy::PendingJob To;
  To.Id_ = Spec.Id_;
  To.Team_ = Spec.Team_;
  To.Family_ = Spec.Family_;
  To.Kind_ = policyKind(Spec.Kind_);
  To.Urgent_ = Spec.Urgent_;
  To.Checkpointable_ = Spec.Kind_ == jobs::JobKind::Batch && !Spec.Urgent_;
  To.Throttleable_ = Spec.Kind_ == jobs::JobKind::Batch && !Spec.Urgent_;
  To.Idempotent_ = Spec.Idempotent_;
  To.Size_ = Spec.Need_;
  To.RunTime_ = declaredRun(Spec);
  To.QueuedAt_ = Now;
  To.Waiting_ = std::move(Tasks);
  return To;
}

policy::Placement placementOf(const jobs::JobSpec &Spec, std::uint32_t Task, TimePoint Now) {
  const policy::PendingJob From = pendingOf(Spec, {}, Now);
  policy::Placement To;
  To.Job_ = From.Id_;
  To.Task_ = Task;
  To.Team_ = From.Team_;
  To.Family_ = From.Family_;
  To.Kind_ = From.Kind_;
  To.Urgent_ = From.Urgent_;
  To.Checkpointable_ = From.Checkpointable_;
  To.Throttleable_ = From.Throttleable_;
  To.Idempotent_ = From.Idempotent_;
  To.Size_ = From.Size_;
  To.FullSize_ = From.Size_;
  To.Started_ = Now;
  if (To.Kind_ != policy::JobKind::Service)
    To.ExpectedEnd_ = Now + From.RunTime_;
  return To;
}

} // namespace

struct Controller::Impl : std::enable_shared_from_this<Impl> {
  Impl(ControllerOptions Options, ControllerHooks Hooks, core::Timers &Timers,
       legacy::WorkerClient &Client, const jobs::DomainState &State)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)), Timers_(Timers), Client_(Client),
        State_(State) {}

  // --- Changes from outside, on the timer thread ---

  void acquired(std::uint64_t Term) {
    Term_ = Term;
    rebuild();
    core::log(core::LogLevel::Info, "controller active",
              {{"term", std::to_string(Term)},
               {"running", std::to_string(Active_.size())},
               {"waiting", std::to_string(Pending_.WaitingTasks_)}});
  }

  void lost() {
    Term_ = 0;
    Active_.clear();
    ByWorker_.clear();
    Workers_.clear();
    Cell_ = {};
    Pending_ = {};
    Shares_ = {};
    Quarantine_ = {};
    Quarantine_.Rules_.FirstBackOff_ = Options_.QuarantineProbe_;
  }

  /// Builds the policy's view from the replayed state. Workers get work once they have answered
  /// this owner.
  void rebuild() {
    const TimePoint Now = core::Clock::now();
    const auto Listed = std::move(Listed_);
    const auto Teams = Quotas_;
    const std::uint64_t Term = Term_;
    lost();
    Term_ = Term;
    applyWorkers(Listed);
    applyTeams(Teams);
    for (const auto &[Worker, Tasks] : State_.runningByWorker())
      for (const jobs::RunningTask &One : Tasks)
        recover(Worker, One, Now);
    for (const jobs::RunnableJob &One : State_.runnable()) {
      std::vector<std::uint32_t> Tasks;
      for (const jobs::RunnableTask &Each : One.Tasks_)
        Tasks.push_back(Each.Task_);
      addWaiting(*One.Spec_, std::move(Tasks), Now);
    }
  }

  void recover(const std::string &Worker, const jobs::RunningTask &One, TimePoint Now) {
    entryOf(Worker, Now);
    policy::WorkerIndex Where =
        policy::addWorker(Cell_, Worker, rackOf(Worker), capacityOf(Worker));
    policy::taskRunning(Cell_, Shares_, Where, placementOf(*One.Spec_, One.Task_, Now), Now);
    ActiveTask Task;
    Task.Spec_ = One.Spec_;
    Task.Attempt_ = One.Attempt_;
    Task.Worker_ = Worker;
    Task.Boot_ = bootOf(One);
    Task.Phase_ = Phase::Recovered;
    Task.Since_ = Now;
    Task.Started_ = Now;
    Task.Stopping_ = false;
    addActive({One.Spec_->Id_, One.Task_}, std::move(Task));
  }

  static std::string bootOf(const jobs::RunningTask &One) { return One.LeaseGeneration_; }

  WorkerEntry &entryOf(const std::string &Name, TimePoint Now) {
    auto [Place, Added] = Workers_.try_emplace(Name);
    if (Added) {
      Place->second.Instance_.Name_ = Name;
      Place->second.Lease_.Since_ = Now;
    }
    return Place->second;
  }

  std::string rackOf(const std::string &Worker) const {
    const auto Found = Workers_.find(Worker);
    return Found == Workers_.end() ? "" : Found->second.Instance_.Rack_;
  }

  core::Resources capacityOf(const std::string &Worker) const {
    const auto Found = Workers_.find(Worker);
    return Found == Workers_.end() ? core::Resources{} : Found->second.Instance_.Capacity_;
  }

  void applyWorkers(std::vector<legacy::Instance> List) {
    const TimePoint Now = core::Clock::now();
    std::set<std::string> Names;
    for (const legacy::Instance &One : List) {
      Names.insert(One.Name_);
      entryOf(One.Name_, Now).Instance_ = One;
      const policy::WorkerIndex Index = policy::addWorker(
          Cell_, One.Name_, One.Rack_, One.Capacity_, One.Leaving_ || !answered(One.Name_, Now));
      (void)Index;
    }
    for (auto &[Name, Entry] : Workers_)
      if (!Names.contains(Name) && !Entry.Instance_.Leaving_) {
        Entry.Instance_.Leaving_ = true;
        if (const auto Index = policy::findWorker(Cell_, Name))
          policy::setLeaving(Cell_, *Index, true);
      }
    Listed_ = std::move(List);
    policy::setCapacity(Shares_, Cell_.Capacity_);
  }

  bool answered(const std::string &Name, TimePoint Now) const {
    const auto Found = Workers_.find(Name);
    return Found != Workers_.end() && usable(Found->second.Lease_, Options_.Lease_, Now);
  }

  void applyTeams(const std::vector<TeamQuota> &Teams) {
    Quotas_ = Teams;
    for (const TeamQuota &One : Teams) {
      policy::Allotment Limit;
      Limit.Resources_ = One.Work_;
      policy::setTeam(Shares_, One.Name_, One.Weight_, Limit);
    }
  }

  void addWaiting(const jobs::JobSpec &Spec, std::vector<std::uint32_t> Tasks, TimePoint Now) {
    // A record that was replayed while the view was rebuilt is in both; it must not count twice.
    const policy::PendingJob *Known = policy::findPending(Pending_, Spec.Id_);
    std::erase_if(Tasks, [&](std::uint32_t Task) {
      return Active_.contains({Spec.Id_, Task}) ||
             (Known && std::ranges::find(Known->Waiting_, Task) != Known->Waiting_.end());
    });
    if (Tasks.empty())
      return;
    policy::PendingJob Job = pendingOf(Spec, std::move(Tasks), Now);
    Job.RunTime_ =
        policy::estimate(Learned_, Spec.Team_, Spec.Family_, Job.RunTime_, Job.Size_).RunTime_;
    policy::addPending(Pending_, std::move(Job));
  }

  void addActive(const TaskKey &Key, ActiveTask Task) {
    ByWorker_[Task.Worker_].insert(Key);
    Active_.insert_or_assign(Key, std::move(Task));
  }

  void eraseActive(std::map<TaskKey, ActiveTask>::iterator Place) {
    ByWorker_[Place->second.Worker_].erase(Place->first);
    Active_.erase(Place);
  }

  /// Calls \p Work for each active task of a worker.
  template <typename Function> void forTasksOn(const std::string &Worker, Function Work) {
    const auto Keys = ByWorker_.find(Worker);
    if (Keys == ByWorker_.end())
      return;
    for (const TaskKey &Key : Keys->second)
      if (const auto Found = Active_.find(Key); Found != Active_.end())
        Work(Found->first, Found->second);
  }

  // --- Replayed records ---

  void onChange(const jobs::Change &What) {
    if (Term_ == 0)
      return;
    const TimePoint Now = core::Clock::now();
    switch (What.Kind_) {
    case jobs::ChangeKind::Accepted:
      return accepted(What.Job_, Now);
    case jobs::ChangeKind::CancelRequested:
      return cancelled(What.Job_, Now);
    case jobs::ChangeKind::Started:
      return started(What, Now);
    case jobs::ChangeKind::Ended:
    case jobs::ChangeKind::Requeued:
    case jobs::ChangeKind::Held:
      return ended(What, Now);
    default:
      return;
    }
  }

  void accepted(const std::string &Id, TimePoint Now) {
    const auto Job = State_.find(Id);
    if (!Job || Job->CancelRequested_)
      return;
    std::vector<std::uint32_t> Tasks(Job->Spec_->TaskCount_);
    for (std::uint32_t I = 0; I < Tasks.size(); ++I)
      Tasks[I] = I;
    addWaiting(*Job->Spec_, std::move(Tasks), Now);
    scheduleRound();
  }

  void cancelled(const std::string &Id, TimePoint Now) {
    policy::cancel(Pending_, Id);
    for (auto Place = Active_.lower_bound({Id, 0});
         Place != Active_.end() && Place->first.first == Id; ++Place)
      stopTask(Place->first, Place->second, Now);
  }

  void started(const jobs::Change &What, TimePoint Now) {
    const auto Found = Active_.find({What.Job_, What.Task_});
    if (Found == Active_.end() || Found->second.Attempt_ != What.Attempt_)
      return;
    enter(Found->second, Phase::Sending, Now);
    sendStart(Found->first, Found->second, Now);
  }

  void ended(const jobs::Change &What, TimePoint Now) {
    const TaskKey Key{What.Job_, What.Task_};
    const auto Found = Active_.find(Key);
    if (Found == Active_.end() || Found->second.Attempt_ != What.Attempt_)
      return;
    if (const auto Entry = Workers_.find(Found->second.Worker_); Entry != Workers_.end())
      Entry->second.Acks_.push_back({workerTaskId(What.Job_, What.Task_), What.Attempt_});
    const auto Spec = Found->second.Spec_;
    policy::taskEnded(Cell_, Shares_, What.Job_, What.Task_, Now);
    eraseActive(Found);
    if (What.Kind_ == jobs::ChangeKind::Requeued)
      addWaiting(*Spec, {What.Task_}, Now);
    scheduleRound();
  }

  // --- Decisions ---

  void scheduleRound() {
    if (std::exchange(RoundPosted_, true))
      return;
    Timers_.post([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock()) {
        Self->RoundPosted_ = false;
        Self->round();
      }
    });
  }

  void round() {
    const TimePoint Now = core::Clock::now();
    if (Term_ == 0 || !Hooks_.HoldsLease_(Now))
      return;
    policy::DecideLimits Limits;
    Limits.MaxDecisions_ = DecisionsPerRound;
    const std::vector<policy::Decision> Decisions =
        policy::decide(Cell_, Pending_, Shares_, Now, Limits);
    core::observe("masticdrift_decision_seconds",
                  std::chrono::duration<double>(core::Clock::now() - Now).count());
    std::vector<journal::Entry> Records;
    std::vector<TaskKey> Keys;
    for (const policy::Decision &One : Decisions)
      if (One.Kind_ == policy::DecisionKind::Start)
        decideStart(One, Now, Records, Keys);
      else
        preempt(One, Now);
    if (!Records.empty())
      recordStarts(std::move(Records), std::move(Keys));
    if (Pending_.LimitsReached_)
      scheduleRound();
  }

  void decideStart(const policy::Decision &One, TimePoint Now, std::vector<journal::Entry> &Records,
                   std::vector<TaskKey> &Keys) {
    const auto Known = State_.findTask(One.Job_, One.Task_);
    const bool Startable =
        Known && !Known->CancelRequested_ && Known->Task_.State_ == jobs::TaskState::Queued;
    if (!Startable) {
      policy::taskEnded(Cell_, Shares_, One.Job_, One.Task_, Now);
      return;
    }
    ActiveTask Task;
    Task.Spec_ = Known->Spec_;
    Task.Attempt_ = Known->Task_.Attempt_ + 1;
    Task.Worker_ = One.Worker_;
    Task.Boot_ = Workers_[One.Worker_].Lease_.Boot_;
    Task.Started_ = Now;
    enter(Task, Phase::Recording, Now);
    jobs::Start Record;
    Record.Job_ = One.Job_;
    Record.Task_ = One.Task_;
    Record.Attempt_ = Task.Attempt_;
    Record.Worker_ = One.Worker_;
    Record.LeaseGeneration_ = Task.Boot_;
    Record.Term_ = Term_;
    Records.push_back(jobs::toEntry(Record));
    Keys.emplace_back(One.Job_, One.Task_);
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
            Self->undoStart(Key);
      });
    });
  }

  /// The Start was certainly not recorded: the task waits again.
  void undoStart(const TaskKey &Key) {
    const auto Found = Active_.find(Key);
    if (Found == Active_.end() || Found->second.Phase_ != Phase::Recording)
      return;
    const TimePoint Now = core::Clock::now();
    const auto Spec = Found->second.Spec_;
    policy::taskEnded(Cell_, Shares_, Key.first, Key.second, Now);
    eraseActive(Found);
    const auto Known = State_.findTask(Key.first, Key.second);
    if (Known && !Known->CancelRequested_)
      addWaiting(*Spec, {Key.second}, Now);
  }

  static void enter(ActiveTask &Task, Phase Next, TimePoint Now) {
    Task.Phase_ = Next;
    Task.Since_ = Now;
  }

  // --- Commands to workers ---

  void sendStart(const TaskKey &Key, ActiveTask &Task, TimePoint Now) {
    const auto Entry = Workers_.find(Task.Worker_);
    if (Task.InFlight_ || Entry == Workers_.end() || !Hooks_.HoldsLease_(Now))
      return;
    legacy::StartRequest Out;
    Out.Id_ = workerTaskId(Key.first, Key.second);
    Out.Term_ = Term_;
    Out.Boot_ = Task.Boot_;
    Out.Attempt_ = Task.Attempt_;
    Out.Need_ = Task.Spec_->Need_;
    Out.RunMs_ = Task.Spec_->Kind_ == jobs::JobKind::Service ? 0 : Task.Spec_->DeclaredRunMs_;
    Out.Command_ = Task.Spec_->Command_;
    Task.InFlight_ = true;
    core::count("masticdrift_task_starts_total");
    Client_.startTask(
        Entry->second.Instance_.Address_, Out,
        [Weak = weak_from_this(), Key, Attempt = Task.Attempt_, Term = Term_](WorkerStatus Status) {
          const auto Self = Weak.lock();
          if (!Self)
            return;
          Self->Timers_.post([Self, Key, Attempt, Term, Status] {
            if (Self->Term_ == Term)
              Self->startAnswered(Key, Attempt, Status);
          });
        });
  }

  void startAnswered(const TaskKey &Key, std::uint32_t Attempt, WorkerStatus Status) {
    const auto Found = Active_.find(Key);
    if (Found == Active_.end() || Found->second.Attempt_ != Attempt)
      return;
    ActiveTask &Task = Found->second;
    const TimePoint Now = core::Clock::now();
    Task.InFlight_ = false;
    if (Task.Phase_ != Phase::Sending)
      return;
    if (Status == WorkerStatus::Done) {
      enter(Task, Phase::Running, Now);
      Task.Started_ = Now;
      Task.LookAt_ = firstLook(*Task.Spec_, Now);
      stopIfCancelled(Key, Task, Now);
    } else if (legacy::hadNoEffect(Status) && Status != WorkerStatus::StaleTerm) {
      recordEnd(Key, Task, TaskOutcome::NeverRan, 0, Now);
    }
    // NoAnswer: the same attempt is sent again with the next tick until the worker answers or its
    // lease has ended.
  }

  /// A task's end is learned with a lease renewal. Waiting for the regular one would leave its room
  /// unused for seconds, so the worker is asked when the task is expected to have ended.
  TimePoint firstLook(const jobs::JobSpec &Spec, TimePoint Now) const {
    if (Spec.Kind_ == jobs::JobKind::Service)
      return TimePoint::max();
    return Now +
           policy::estimate(Learned_, Spec.Team_, Spec.Family_, declaredRun(Spec), Spec.Need_)
               .RunTime_ +
           LookMargin;
  }

  void stopIfCancelled(const TaskKey &Key, ActiveTask &Task, TimePoint Now) {
    const auto Known = State_.findTask(Key.first, Key.second);
    if (Known && Known->CancelRequested_)
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
                         Self->Timers_.post([Self, Worker] { Self->renewSoon(Worker); });
                     });
  }

  void preempt(const policy::Decision &One, TimePoint Now) {
    const TaskKey Key{One.Job_, One.Task_};
    const auto Found = Active_.find(Key);
    const auto Entry = Workers_.find(One.Worker_);
    if (Found == Active_.end() || Entry == Workers_.end() ||
        Found->second.Phase_ != Phase::Running || !Hooks_.HoldsLease_(Now)) {
      policy::preemptFailed(Cell_, One.Job_, One.Task_);
      return;
    }
    const std::string &Address = Entry->second.Instance_.Address_;
    const std::string Id = workerTaskId(Key.first, Key.second);
    auto Done = [Weak = weak_from_this(), Key, How = One.Method_,
                 Worker = One.Worker_](WorkerStatus Status) {
      if (const auto Self = Weak.lock())
        Self->Timers_.post(
            [Self, Key, How, Worker, Status] { Self->preempted(Key, How, Worker, Status); });
    };
    switch (One.Method_) {
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

  void preempted(const TaskKey &Key, policy::PreemptionMethod How, const std::string &Worker,
                 WorkerStatus Status) {
    const auto Found = Active_.find(Key);
    if (Found == Active_.end())
      return;
    const TimePoint Now = core::Clock::now();
    if (Status != WorkerStatus::Done) {
      policy::preemptFailed(Cell_, Key.first, Key.second);
      Found->second.Stopping_ = false;
    } else if (How == policy::PreemptionMethod::Throttle) {
      policy::taskThrottled(Cell_, Shares_, Key.first, Key.second, Now);
      scheduleRound();
    } else if (How == policy::PreemptionMethod::Checkpoint) {
      recordEnd(Key, Found->second, TaskOutcome::Checkpointed, 0, Now);
    } else {
      renewSoon(Worker);
    }
  }

  /// Records how an attempt ended. The task keeps its room until the record has been replayed.
  void recordEnd(const TaskKey &Key, ActiveTask &Task, TaskOutcome Outcome, std::int32_t Exit,
                 TimePoint Now) {
    jobs::End Record;
    Record.Job_ = Key.first;
    Record.Task_ = Key.second;
    Record.Attempt_ = Task.Attempt_;
    Record.Outcome_ = Outcome;
    Record.Term_ = Term_;
    Record.ExitCode_ = Exit;
    Record.RunAgain_ = Outcome != TaskOutcome::Failed || Task.Attempt_ < Options_.MostAttempts_;
    enter(Task, Phase::Ending, Now);
    Hooks_.Append_({jobs::toEntry(Record)}, [Weak = weak_from_this(), Key, Attempt = Task.Attempt_,
                                             Term = Term_](std::error_code Error, std::uint64_t) {
      const auto Self = Weak.lock();
      if (!Self || !Error)
        return;
      Self->Timers_.post([Self, Key, Attempt, Term] { Self->endNotRecorded(Key, Attempt, Term); });
    });
  }

  /// The End was not recorded, or it is not known. The worker keeps the task's outcome and reports
  /// it again with the next renewal; a second End of the same attempt has no effect.
  void endNotRecorded(const TaskKey &Key, std::uint32_t Attempt, std::uint64_t Term) {
    const auto Found = Active_.find(Key);
    if (Term_ == Term && Found != Active_.end() && Found->second.Attempt_ == Attempt &&
        Found->second.Phase_ == Phase::Ending)
      enter(Found->second, Phase::Running, core::Clock::now());
  }

  // --- Worker leases ---

  void tick() {
    const TimePoint Now = core::Clock::now();
    if (Term_ == 0 || !Hooks_.HoldsLease_(Now))
      return;
    for (auto &[Name, Entry] : Workers_) {
      if (shouldRenew(Entry.Lease_, Options_.Lease_, Now))
        renew(Name, Entry, Now);
      else if (certainlyEnded(Entry.Lease_, Options_.Lease_, Now))
        workerEnded(Name, Entry, Now);
    }
    std::set<std::string> Look;
    for (auto &[Key, Task] : Active_) {
      if (Task.Phase_ == Phase::Sending && !Task.InFlight_)
        sendStart(Key, Task, Now);
      if (Task.Phase_ == Phase::Running && Task.LookAt_ <= Now)
        Look.insert(Task.Worker_);
    }
    for (const std::string &Worker : Look)
      renewSoon(Worker);
    settleRecording(Now);
    policy::allowProbes(Quarantine_, Cell_, Now);
    round();
    publish(Now);
  }

  void renewSoon(const std::string &Name) {
    const auto Found = Workers_.find(Name);
    const TimePoint Now = core::Clock::now();
    if (Found != Workers_.end() && Term_ != 0 && !Found->second.Lease_.InFlight_ &&
        Hooks_.HoldsLease_(Now) && usable(Found->second.Lease_, Options_.Lease_, Now))
      renew(Name, Found->second, Now);
  }

  void renew(const std::string &Name, WorkerEntry &Entry, TimePoint Now) {
    if (Entry.Instance_.Address_.empty())
      return;
    legacy::LeaseRequest Out;
    Out.Term_ = Term_;
    Out.Owner_ = Options_.Instance_;
    Out.TtlMs_ = core::toMillis(Options_.Lease_.Ttl_);
    Out.Acks_ = Entry.Acks_;
    Entry.Lease_.InFlight_ = true;
    Entry.Lease_.LastSent_ = Now;
    Client_.lease(Entry.Instance_.Address_, Out,
                  [Weak = weak_from_this(), Name, Now, Term = Term_,
                   Acks = Out.Acks_.size()](WorkerStatus Status, legacy::LeaseAnswer Answer) {
                    const auto Self = Weak.lock();
                    if (!Self)
                      return;
                    Self->Timers_.post(
                        [Self, Name, Now, Term, Acks, Status, Answer = std::move(Answer)] {
                          if (Self->Term_ == Term)
                            Self->leaseAnswered(Name, Now, Acks, Status, Answer);
                        });
                  });
  }

  void leaseAnswered(const std::string &Name, TimePoint Sent, std::size_t Acks, WorkerStatus Status,
                     const legacy::LeaseAnswer &Answer) {
    const auto Found = Workers_.find(Name);
    if (Found == Workers_.end())
      return;
    WorkerEntry &Entry = Found->second;
    Entry.Lease_.InFlight_ = false;
    if (Status != WorkerStatus::Done)
      return;
    const TimePoint Now = core::Clock::now();
    Entry.Lease_.AnsweredSent_ = Sent;
    Entry.Lease_.Boot_ = Answer.Boot_;
    Entry.Acks_.erase(Entry.Acks_.begin(), Entry.Acks_.begin() + static_cast<std::ptrdiff_t>(Acks));
    if (const auto Index = policy::findWorker(Cell_, Name))
      policy::setLeaving(Cell_, *Index, Entry.Instance_.Leaving_);
    policy::setCapacity(Shares_, Cell_.Capacity_);
    reconcile(Name, Entry, Sent, Answer, Now);
    scheduleRound();
  }

  /// Compares what the worker reports with what is recorded.
  void reconcile(const std::string &Name, WorkerEntry &Entry, TimePoint Sent,
                 const legacy::LeaseAnswer &Answer, TimePoint Now) {
    std::map<TaskKey, const legacy::WorkerTask *> Reported;
    for (const legacy::WorkerTask &One : Answer.Tasks_) {
      const auto Key = parseTaskId(One.Id_);
      if (!Key)
        continue;
      const auto Found = Active_.find(*Key);
      const bool Ours = Found != Active_.end() && Found->second.Worker_ == Name &&
                        Found->second.Attempt_ == One.Attempt_;
      if (Ours)
        Reported.emplace(*Key, &One);
      else
        dropForeign(Entry, One);
    }
    forTasksOn(Name, [&](const TaskKey &Key, ActiveTask &Task) {
      const auto Found = Reported.find(Key);
      if (Found != Reported.end())
        reported(Key, Task, *Found->second, Now);
      else if (Task.Since_ < Sent)
        missing(Key, Task, Answer.Boot_, Now);
    });
  }

  /// A task that is not recorded as running there: an attempt that is over, or one of an abandoned
  /// Start.
  void dropForeign(WorkerEntry &Entry, const legacy::WorkerTask &One) {
    if (One.State_ == WorkerTaskState::Running)
      Client_.stopTask(Entry.Instance_.Address_, One.Id_, Term_, [](WorkerStatus) {});
    else
      Entry.Acks_.push_back({One.Id_, One.Attempt_});
  }

  void reported(const TaskKey &Key, ActiveTask &Task, const legacy::WorkerTask &One,
                TimePoint Now) {
    if (Task.Phase_ == Phase::Recording || Task.Phase_ == Phase::Ending)
      return;
    if (One.State_ == WorkerTaskState::Running) {
      if (Task.Phase_ != Phase::Running)
        enter(Task, Phase::Running, Now);
      if (Task.LookAt_ <= Now)
        Task.LookAt_ =
            Now + std::max<core::Duration>(ShortestLook, (Now - Task.Started_) / LookDivisor);
      if (!Task.Stopping_)
        stopIfCancelled(Key, Task, Now);
      return;
    }
    const bool Succeeded = One.State_ == WorkerTaskState::Finished;
    if (One.State_ != WorkerTaskState::Stopped) {
      if (const auto Index = policy::findWorker(Cell_, Task.Worker_))
        policy::recordTaskEnd(Quarantine_, Cell_, *Index, Key.first, Task.Started_, Succeeded, Now);
      if (Succeeded)
        policy::recordObservation(Learned_, Task.Spec_->Team_, Task.Spec_->Family_,
                                  declaredRun(*Task.Spec_), Now - Task.Started_, Task.Spec_->Need_,
                                  {});
    }
    const TaskOutcome Outcome = Succeeded                               ? TaskOutcome::Succeeded
                                : One.State_ == WorkerTaskState::Failed ? TaskOutcome::Failed
                                                                        : TaskOutcome::Stopped;
    recordEnd(Key, Task, Outcome, One.ExitCode_, Now);
  }

  /// The worker answered and does not know the task.
  void missing(const TaskKey &Key, ActiveTask &Task, const std::string &Boot, TimePoint Now) {
    switch (Task.Phase_) {
    case Phase::Recording:
    case Phase::Ending:
      return;
    case Phase::Sending:
      // A start that is still on its way names the old generation and will be refused.
      // It may have reached the worker in the old generation, so the task may have run.
      if (Boot != Task.Boot_)
        recordEnd(Key, Task, TaskOutcome::Lost, 0, Now);
      return;
    case Phase::Recovered:
      // The worker has accepted the higher term, so a start of the earlier owner can't arrive any
      // more. In the same generation it would still know a task that it had started.
      return recordEnd(Key, Task, Boot == Task.Boot_ ? TaskOutcome::NeverRan : TaskOutcome::Lost, 0,
                       Now);
    case Phase::Running:
      return recordEnd(Key, Task, TaskOutcome::Lost, 0, Now);
    }
  }

  /// The worker's lease has certainly ended, and with it all its tasks.
  void workerEnded(const std::string &Name, WorkerEntry &Entry, TimePoint Now) {
    forTasksOn(Name, [&](const TaskKey &Key, ActiveTask &Task) {
      if (Task.Phase_ != Phase::Recording && Task.Phase_ != Phase::Ending)
        recordEnd(Key, Task, TaskOutcome::Lost, 0, Now);
    });
    if (const auto Index = policy::findWorker(Cell_, Name))
      policy::setLeaving(Cell_, *Index, true);
    policy::setCapacity(Shares_, Cell_.Capacity_);
    // From here the worker is treated as new: renewals start again.
    Entry.Lease_ = {};
    Entry.Lease_.Since_ = Now;
  }

  /// Looks up starts whose append had an unknown result.
  void settleRecording(TimePoint Now) {
    std::vector<TaskKey> Undone;
    for (auto &[Key, Task] : Active_) {
      if (Task.Phase_ != Phase::Recording || Now - Task.Since_ < SettleAfter)
        continue;
      const auto Known = State_.findTask(Key.first, Key.second);
      if (Known && Known->Task_.State_ == jobs::TaskState::Running &&
          Known->Task_.Attempt_ == Task.Attempt_ && Known->Task_.Term_ == Term_) {
        enter(Task, Phase::Sending, Now);
        sendStart(Key, Task, Now);
      } else {
        Undone.push_back(Key);
      }
    }
    for (const TaskKey &Key : Undone)
      undoStart(Key);
  }

  void publish(TimePoint Now) {
    ControllerStats New;
    New.Active_ = true;
    New.Workers_ = Workers_.size();
    for (const auto &[Name, Entry] : Workers_)
      if (usable(Entry.Lease_, Options_.Lease_, Now))
        ++New.UsableWorkers_;
    New.Waiting_ = Pending_.WaitingTasks_;
    New.Running_ = Active_.size();
    New.Free_ = Cell_.Capacity_ - Cell_.Used_;
    New.UsedPart_ = policy::utilization(Cell_);
    const std::lock_guard Lock(StatsMutex_);
    Stats_ = New;
  }

  const ControllerOptions Options_;
  const ControllerHooks Hooks_;
  core::Timers &Timers_;
  legacy::WorkerClient &Client_;
  const jobs::DomainState &State_;

  // Only the timer thread uses the members below.
  std::uint64_t Term_ = 0; ///< 0 while this daemon is not the owner
  std::map<std::string, WorkerEntry> Workers_;
  std::map<TaskKey, ActiveTask> Active_;
  std::map<std::string, std::set<TaskKey>> ByWorker_; ///< keys of Active_
  policy::CellView Cell_;
  policy::PendingWork Pending_;
  policy::Shares Shares_;
  policy::RunHistory Learned_;
  policy::Quarantine Quarantine_;
  std::vector<legacy::Instance> Listed_;
  std::vector<TeamQuota> Quotas_;
  bool RoundPosted_ = false;

  mutable std::mutex StatsMutex_;
  ControllerStats Stats_;
};

Controller::Controller(ControllerOptions Options, ControllerHooks Hooks, core::Timers &Timers,
                       legacy::WorkerClient &Client, const jobs::DomainState &State)
    : Impl_(std::make_shared<Impl>(std::move(Options), std::move(Hooks), Timers, Client, State)) {}

Controller::~Controller() = default;

void Controller::start() {
  Impl_->Timers_.every(Impl_->Options_.Tick_, [Weak = std::weak_ptr(Impl_)] {
    if (const auto Self = Weak.lock())
      Self->tick();
  });
}

void Controller::acquired(std::uint64_t Term) {
  Impl_->Timers_.post([Self = Impl_, Term] { Self->acquired(Term); });
}

void Controller::lost() {
  Impl_->Timers_.post([Self = Impl_] {
    Self->lost();
    const std::lock_guard Lock(Self->StatsMutex_);
    Self->Stats_ = {};
  });
}

void Controller::setWorkers(std::vector<legacy::Instance> Workers) {
  Impl_->Timers_.post([Self = Impl_, Workers = std::move(Workers)]() mutable {
    if (Self->Term_ == 0)
      Self->Listed_ = std::move(Workers);
    else
      Self->applyWorkers(std::move(Workers));
  });
}

void Controller::setTeams(std::vector<TeamQuota> Teams) {
  Impl_->Timers_.post([Self = Impl_, Teams = std::move(Teams)] { Self->applyTeams(Teams); });
}

void Controller::onChange(const jobs::Change &What) {
  Impl_->Timers_.post([Self = Impl_, What] { Self->onChange(What); });
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
