#include "Load.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <unordered_set>

namespace masticdrift::measure {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Workers = 48;
constexpr int WorkersPerRack = 8;
const TimePoint Begin{seconds(10'000)};
/// Interval between decisions, equal to that of a group commit of the log.
constexpr Duration Tick = milliseconds(50);
/// Assumed times from the decision to the confirmation by the worker.
constexpr Duration CheckpointTime = milliseconds(1500);
constexpr Duration ThrottleTime = milliseconds(100);
constexpr Duration StopTime = milliseconds(300);
/// Lease of a worker plus margin; its tasks may run on another worker only after this time.
constexpr Duration LeaseWithMargin = milliseconds(10'500);

struct Team {
  const char *Name_;
  double Weight_;
  double Demand_; ///< offered work relative to the share
};

/// Two large teams, one of which asks for about twice its share; all ask for more than their share
/// at 1.5 times capacity.
constexpr std::array<Team, 6> Teams{{{"large", 6, 1.9},
                                     {"second", 4, 1.2},
                                     {"third", 2, 1.2},
                                     {"small-a", 1, 1.3},
                                     {"small-b", 1, 1.3},
                                     {"small-c", 1, 1.3}}};

/// A job as declared, with its true size and run time, which the policy does not see.
struct SimulatedJob {
  PendingJob Declared_;
  TimePoint ArrivesAt_;
  Duration RunTime_{};
  Resources Size_;
  bool AlwaysFails_ = false;
  std::set<WorkerIndex> FailedOn_;
  std::map<std::uint32_t, Duration> Remaining_; ///< by task, after a checkpoint
  std::set<std::uint32_t> Started_;
  std::uint32_t Tasks_ = 0;
  std::uint32_t SucceededTasks_ = 0;
  bool Ended_ = false;
};

struct Running {
  TimePoint EndsAt_;
  TimePoint StartedAt_;
  Duration Remaining_{};
  std::uint64_t Ticket_ = 0;
  bool Throttled_ = false;
  bool Fails_ = false;
};

enum class EventKind : std::uint8_t { TaskEnd, Preempted, LeaseEnd, WorkerBack };

struct Event {
  EventKind Kind_;
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::uint64_t Ticket_ = 0;
  PreemptionMethod Method_ = PreemptionMethod::Stop;
  WorkerIndex Worker_ = 0;
};

class Driver {
public:
  Driver(const DeploymentProfile &Profile, const LoadOptions &Options)
      : Profile_(Profile), Options_(Options), Random_(Options.Seed_) {
    for (int I = 0; I < Workers; ++I)
      addWorker(Cell_, "w" + std::to_string(I), "r" + std::to_string(I / WorkersPerRack),
                capacity(I));
    for (const Team &Owner : Teams)
      setTeam(Shares_, Owner.Name_, Owner.Weight_, {});
    setCapacity(Shares_, Cell_.Capacity_);
    generate();
  }

  nlohmann::ordered_json run() {
    const TimePoint Stop = Begin + seconds(Options_.Seconds_);
    std::size_t Next = 0;
    for (Now_ = Begin; Now_ < Stop; Now_ += Tick) {
      while (Next < Order_.size() && Jobs_.at(Order_[Next]).ArrivesAt_ <= Now_)
        submit(Jobs_.at(Order_[Next++]));
      handleEvents();
      if (Options_.Faults_)
        injectFaults();
      if ((Now_ - Begin) % seconds(300) == Duration{} && Now_ > Begin)
        cancelWave();
      if ((Now_ - Begin) % seconds(1) == Duration{})
        allowProbes(Quarantine_, Cell_, Now_);
      decideNow();
      if ((Now_ - Begin) % seconds(1) == Duration{} &&
          Now_ - Begin >= seconds(Options_.WarmUpSeconds_))
        sample();
    }
    drain();
    return result();
  }

private:
  [[nodiscard]] Resources capacity(int I) const {
    Resources Capacity = Profile_.Worker_;
    if (Profile_.AcceleratorsEvery_ > 0 && I % Profile_.AcceleratorsEvery_ == 0)
      Capacity.Accelerators_ = 4;
    return Capacity;
  }

  double uniform(double From, double To) {
    return std::uniform_real_distribution<double>(From, To)(Random_);
  }
  double logNormal(double Median, double Sigma) {
    return Median * std::exp(std::normal_distribution<double>(0, Sigma)(Random_));
  }

  struct Family {
    double RunRatio_; ///< declared to real
    double CoresRatio_;
    double MemoryRatio_;
    double RunMedian_;
    double Cores_;
    double MemoryPerCore_;
  };

  /// Generates all jobs of the run and sorts them by arrival.
  void generate() {
    const double Cores = static_cast<double>(Cell_.Capacity_.MilliCores_) / 1000;
    const double Weights = 15;
    const double MemoryMbPerCore = static_cast<double>(Profile_.Worker_.MemoryMb_) * 1000 /
                                   static_cast<double>(Profile_.Worker_.MilliCores_);
    for (const Team &Owner : Teams) {
      std::vector<Family> Families;
      Families.reserve(8);
      for (int I = 0; I < 8; ++I)
        Families.push_back({logNormal(1.5, 0.8), std::max(0.8, logNormal(1.7, 0.4)),
                            std::max(0.8, logNormal(1.7, 0.4)), logNormal(25, 0.6),
                            std::clamp(logNormal(1.2, 0.7), 0.3, 6.0),
                            MemoryMbPerCore * uniform(0.3, 0.7)});
      const double Offered =
          Cores * Options_.Load_ / 1.5 * Owner.Weight_ / Weights * Owner.Demand_; // cores in use
      // Services make up a tenth of the offered work and run until the end.
      double Services = Offered * 0.1;
      while (Services > 0) {
        SimulatedJob Job = make(Owner, Families[0], JobKind::Service, 3);
        Job.ArrivesAt_ = Begin + milliseconds(static_cast<int>(uniform(0, 10'000)));
        Services -= static_cast<double>(Job.Size_.MilliCores_) * 3 / 1000;
        store(std::move(Job));
      }
      double Seconds = 0;
      double SubmittedAheadCoreSeconds = 0; // relative to the offered rate
      while (Seconds < Options_.Seconds_) {
        const double Pick = uniform(0, 1);
        const bool Gang = Pick < 0.04;
        const bool Urgent = Pick > 0.95;
        const Family &Kind = Families[static_cast<std::size_t>(uniform(0, 8))];
        const auto Tasks = static_cast<std::uint32_t>(
            Gang ? uniform(4, 17) : (uniform(0, 1) < 0.3 ? uniform(2, 9) : 1));
        SimulatedJob Job =
            make(Owner, Kind, Gang ? JobKind::Gang : JobKind::Batch, Urgent ? 1 : Tasks);
        Job.Declared_.Urgent_ = Urgent;
        const double Rare = uniform(0, 1);
        if (Rare < 0.01)
          Job.Declared_.Size_.MilliCores_ =
              Profile_.Worker_.MilliCores_ * 2; // exceeds every worker
        else if (Rare < 0.02)
          Job.AlwaysFails_ = true;
        else
          SubmittedAheadCoreSeconds += static_cast<double>(Job.Size_.MilliCores_) / 1000 *
                                       Job.Tasks_ *
                                       std::chrono::duration<double>(Job.RunTime_).count();
        Job.ArrivesAt_ = Begin + milliseconds(static_cast<std::int64_t>(Seconds * 1000));
        store(std::move(Job));
        // Arrivals are bursty, but their mean rate equals the offered rate.
        const double Gap = SubmittedAheadCoreSeconds / (Offered * 0.9) * uniform(0, 2);
        Seconds += Gap;
        SubmittedAheadCoreSeconds = std::max(0.0, SubmittedAheadCoreSeconds - Gap * Offered * 0.9);
      }
    }
    std::sort(Order_.begin(), Order_.end(), [&](const auto &A, const auto &B) {
      return std::tie(Jobs_.at(A).ArrivesAt_, A) < std::tie(Jobs_.at(B).ArrivesAt_, B);
    });
  }

  SimulatedJob make(const Team &Owner, const Family &Kind, JobKind What, std::uint32_t Tasks) {
    SimulatedJob Job;
    Job.Tasks_ = Tasks;
    PendingJob &Declared = Job.Declared_;
    Declared.Id_ = std::string(Owner.Name_) + "/" + std::to_string(Jobs_.size());
    Declared.Team_ = Owner.Name_;
    Declared.Family_ = "f" + std::to_string(static_cast<int>(Kind.RunMedian_ * 1000));
    Declared.Kind_ = What;
    Declared.Checkpointable_ = uniform(0, 1) < 0.6;
    Declared.Throttleable_ = uniform(0, 1) < 0.5;
    Declared.Idempotent_ = uniform(0, 1) < 0.8;
    const double Cores = std::clamp(Kind.Cores_ * logNormal(1, 0.1), 0.2, 8.0);
    const double Memory = Cores * Kind.MemoryPerCore_ * logNormal(1, 0.1);
    const double Run = std::clamp(logNormal(Kind.RunMedian_, 0.5), 1.0, 400.0);
    Job.Size_ = {static_cast<std::int64_t>(Cores * 1000), static_cast<std::int64_t>(Memory), 0};
    if (Profile_.AcceleratorsEvery_ > 0 && What != JobKind::Service && uniform(0, 1) < 0.05)
      Job.Size_.Accelerators_ = uniform(0, 1) < 0.7 ? 1 : 2;
    Job.RunTime_ = milliseconds(static_cast<std::int64_t>(Run * 1000));
    Declared.RunTime_ = milliseconds(
        static_cast<std::int64_t>(std::max(1.0, Run * Kind.RunRatio_ * logNormal(1, 0.3)) * 1000));
    // Sizes are declared in steps of half a core and 512 MB.
    // A gang task is declared with at most half a worker; services, which never end, run on most
    // workers and would block a larger task indefinitely.
    Declared.Size_ = {std::min<std::int64_t>(
                          Profile_.Worker_.MilliCores_ / (What == JobKind::Gang ? 2 : 1),
                          500 * static_cast<std::int64_t>(std::ceil(Cores * Kind.CoresRatio_ * 2))),
                      std::min<std::int64_t>(Profile_.Worker_.MemoryMb_,
                                             512 * static_cast<std::int64_t>(std::ceil(
                                                       Memory * Kind.MemoryRatio_ / 512))),
                      Job.Size_.Accelerators_};
    for (std::uint32_t I = 0; I < Tasks; ++I)
      Declared.Waiting_.push_back(I);
    return Job;
  }

  void store(SimulatedJob Job) {
    std::string Id = Job.Declared_.Id_;
    Order_.push_back(Id);
    Jobs_.emplace(std::move(Id), std::move(Job));
  }

  void submit(SimulatedJob &Job) {
    Job.Declared_.QueuedAt_ = Now_;
    if (findInfeasibility(Cell_, Job.Declared_)) {
      ++Refused_;
      Job.Ended_ = true;
      return;
    }
    enqueue(Job, Job.Declared_.Waiting_);
  }

  void enqueue(SimulatedJob &Job, std::vector<std::uint32_t> Tasks) {
    if (Job.Ended_)
      return;
    PendingJob What = Job.Declared_;
    What.Waiting_ = std::move(Tasks);
    if (Options_.Baseline_) {
      Waiting_ += What.Waiting_.size();
      WaitingByTeam_[What.Team_] += What.Waiting_.size();
      Fifo_.push_back(std::move(What));
      return;
    }
    applyEstimate(RunHistory_, What, Profile_.Worker_);
    addPending(Pending_, std::move(What));
  }

  void started(const std::string &Id, std::uint32_t Task, WorkerIndex Worker) {
    SimulatedJob &Job = Jobs_.at(Id);
    ++Starts_;
    recordStartOn(Worker);
    if (Job.Started_.insert(Task).second && Now_ - Begin >= seconds(Options_.WarmUpSeconds_)) {
      const double Wait = std::chrono::duration<double>(Now_ - Job.Declared_.QueuedAt_).count();
      (Job.Declared_.Urgent_ ? UrgentWaits_ : Waits_).push_back(Wait);
      if (Job.Declared_.Kind_ == JobKind::Gang)
        GangWaits_.push_back(Wait);
    }
    const auto Remaining = Job.Remaining_.find(Task);
    Running Now{.StartedAt_ = Now_,
                .Remaining_ = Remaining != Job.Remaining_.end() ? Remaining->second : Job.RunTime_,
                .Ticket_ = ++Ticket_};
    if (Job.Declared_.Kind_ == JobKind::Service)
      Now.Remaining_ = seconds(Options_.Seconds_ * 10);
    if (Job.AlwaysFails_ || isFaulty(Worker)) {
      Now.Fails_ = true;
      Now.Remaining_ = milliseconds(500);
    }
    Now.EndsAt_ = Now_ + Now.Remaining_;
    Events_.emplace(
        Now.EndsAt_,
        Event{.Kind_ = EventKind::TaskEnd, .Job_ = Id, .Task_ = Task, .Ticket_ = Ticket_});
    RealUsed_ += Job.Size_;
    RealUsedByWorker_[Worker] += Job.Size_;
    Running_[{Id, Task}] = Now;
  }

  [[nodiscard]] bool isFaulty(WorkerIndex Worker) const {
    return Options_.Faults_ && (Worker == 5 || Worker == 29) && Now_ >= Begin + seconds(400) &&
           Now_ < Begin + seconds(1500);
  }

  void recordStartOn(WorkerIndex Worker) {
    if (!Options_.Faults_ || Now_ < Begin + seconds(400) || Now_ >= Begin + seconds(1500))
      return;
    ++StartsDuringFault_;
    if (isFaulty(Worker) && ++StartsOnFaulty_[Worker] > 10)
      ++FaultyStartsAfterTen_;
  }

  void stopRunning(const std::string &Id, std::uint32_t Task, WorkerIndex Worker) {
    const auto Found = Running_.find({Id, Task});
    if (Found == Running_.end())
      return;
    RealUsed_ -= Jobs_.at(Id).Size_;
    RealUsedByWorker_[Worker] -= Jobs_.at(Id).Size_;
    Running_.erase(Found);
  }

  void handleEvents() {
    while (!Events_.empty() && Events_.begin()->first <= Now_) {
      const Event DueEvent = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      switch (DueEvent.Kind_) {
      case EventKind::TaskEnd:
        taskEnd(DueEvent);
        break;
      case EventKind::Preempted:
        preempted(DueEvent);
        break;
      case EventKind::LeaseEnd:
        leaseEnd(DueEvent.Worker_);
        break;
      case EventKind::WorkerBack:
        LostWorkers_.erase(DueEvent.Worker_);
        addWorker(Cell_, Cell_.Workers_[DueEvent.Worker_].Name_,
                  Cell_.Workers_[DueEvent.Worker_].Rack_,
                  Cell_.Workers_[DueEvent.Worker_].Capacity_);
        break;
      }
    }
  }

  void taskEnd(const Event &DueEvent) {
    const auto Found = Running_.find({DueEvent.Job_, DueEvent.Task_});
    if (Found == Running_.end() || Found->second.Ticket_ != DueEvent.Ticket_)
      return;
    const Running State = Found->second;
    const Placement *Current = findPlacement(Cell_, DueEvent.Job_, DueEvent.Task_);
    if (Current == nullptr || LostWorkers_.contains(Current->Worker_))
      return; // the scheduler learns of the end only after the lease
    const WorkerIndex Host = Current->Worker_;
    stopRunning(DueEvent.Job_, DueEvent.Task_, Host);
    const auto EndedPlacement = taskEnded(Cell_, Shares_, DueEvent.Job_, DueEvent.Task_, Now_);
    SimulatedJob &Job = Jobs_.at(DueEvent.Job_);
    if (!Options_.Baseline_)
      recordTaskEnd(Quarantine_, Cell_, Host, DueEvent.Job_, State.StartedAt_, !State.Fails_, Now_);
    if (State.Fails_) {
      Job.FailedOn_.insert(Host);
      // A job is abandoned after failures on three different workers.
      if (Job.FailedOn_.size() >= 3) {
        Job.Ended_ = true;
        GoodJobsGivenUp_ += Job.AlwaysFails_ ? 0 : 1;
        dropWaiting(DueEvent.Job_);
        return;
      }
      enqueue(Job, {DueEvent.Task_});
      return;
    }
    if (!Options_.Baseline_ && !State.Throttled_ && !Job.Remaining_.contains(DueEvent.Task_))
      recordObservation(RunHistory_, Job.Declared_.Team_, Job.Declared_.Family_,
                        Job.Declared_.RunTime_, Job.RunTime_, Job.Declared_.Size_, Job.Size_);
    if (++Job.SucceededTasks_ == Job.Tasks_)
      Job.Ended_ = true;
    ++Finished_;
    FinishedCoreSeconds_ += static_cast<double>(Job.Size_.MilliCores_) / 1000 *
                            std::chrono::duration<double>(Job.RunTime_).count();
  }

  void preempted(const Event &DueEvent) {
    const auto Found = Running_.find({DueEvent.Job_, DueEvent.Task_});
    if (Found == Running_.end() || Found->second.Ticket_ != DueEvent.Ticket_)
      return;
    Running &State = Found->second;
    const Placement *Current = findPlacement(Cell_, DueEvent.Job_, DueEvent.Task_);
    if (Current == nullptr || LostWorkers_.contains(Current->Worker_))
      return;
    SimulatedJob &Job = Jobs_.at(DueEvent.Job_);
    ++Preemptions_[static_cast<std::size_t>(DueEvent.Method_)];
    if (DueEvent.Method_ == PreemptionMethod::Throttle) {
      // A throttled task keeps a quarter of its cores, so the rest takes four times as long.
      State.Throttled_ = true;
      State.EndsAt_ = Now_ + (State.EndsAt_ - Now_) * 4;
      State.Ticket_ = ++Ticket_;
      Events_.emplace(State.EndsAt_, Event{.Kind_ = EventKind::TaskEnd,
                                           .Job_ = DueEvent.Job_,
                                           .Task_ = DueEvent.Task_,
                                           .Ticket_ = Ticket_});
      taskThrottled(Cell_, Shares_, DueEvent.Job_, DueEvent.Task_, Now_);
      return;
    }
    if (DueEvent.Method_ == PreemptionMethod::Checkpoint)
      Job.Remaining_[DueEvent.Task_] = std::max<Duration>(milliseconds(100), State.EndsAt_ - Now_);
    else
      LostCoreSeconds_ += static_cast<double>(Job.Size_.MilliCores_) / 1000 *
                          std::chrono::duration<double>(Now_ - State.StartedAt_).count();
    stopRunning(DueEvent.Job_, DueEvent.Task_, Current->Worker_);
    taskEnded(Cell_, Shares_, DueEvent.Job_, DueEvent.Task_, Now_);
    enqueue(Job, {DueEvent.Task_});
  }

  void injectFaults() {
    if ((Now_ - Begin) % seconds(60) != Duration{} || Now_ == Begin)
      return;
    const auto Worker = static_cast<WorkerIndex>(uniform(0, Workers));
    if (LostWorkers_.contains(Worker) || Worker == 5 || Worker == 29)
      return;
    LostWorkers_.insert(Worker);
    removeWorker(Cell_, Cell_.Workers_[Worker].Name_);
    Events_.emplace(Now_ + LeaseWithMargin, Event{.Kind_ = EventKind::LeaseEnd, .Worker_ = Worker});
    Events_.emplace(Now_ + seconds(120), Event{.Kind_ = EventKind::WorkerBack, .Worker_ = Worker});
  }

  void leaseEnd(WorkerIndex Worker) {
    const std::vector<PlacementIndex> Lost = Cell_.Workers_[Worker].Placements_;
    for (const PlacementIndex Index : Lost) {
      const std::string Id = Cell_.Placements_[Index].Job_;
      const std::uint32_t Task = Cell_.Placements_[Index].Task_;
      stopRunning(Id, Task, Worker);
      taskEnded(Cell_, Shares_, Id, Task, Now_);
      enqueue(Jobs_.at(Id), {Task});
    }
  }

  void dropWaiting(const std::string &Id) {
    if (!Options_.Baseline_) {
      cancel(Pending_, Id);
      return;
    }
    std::erase_if(Fifo_, [&](const PendingJob &Job) {
      if (Job.Id_ != Id)
        return false;
      Waiting_ -= Job.Waiting_.size();
      WaitingByTeam_[Job.Team_] -= Job.Waiting_.size();
      return true;
    });
  }

  /// Cancels up to 200 waiting jobs of the large team that have not started.
  void cancelWave() {
    std::vector<std::string> Ids;
    for (const std::string &Id : Order_) {
      SimulatedJob &Job = Jobs_.at(Id);
      if (Job.ArrivesAt_ > Now_ || Ids.size() >= 200)
        break;
      if (!Job.Ended_ && Job.Started_.empty() && Job.Declared_.Team_ == "large" &&
          !Job.Declared_.Urgent_ && Job.Declared_.Kind_ != JobKind::Service && uniform(0, 1) < 0.3)
        Ids.push_back(Id);
    }
    Cancelled_ += Ids.size();
    for (const std::string &Id : Ids)
      Jobs_.at(Id).Ended_ = true;
    if (!Options_.Baseline_) {
      while (!Ids.empty())
        cancelSome(Pending_, Ids, 64);
      return;
    }
    const std::unordered_set<std::string> CancelledIds(Ids.begin(), Ids.end());
    std::erase_if(Fifo_, [&](const PendingJob &Job) {
      if (!CancelledIds.contains(Job.Id_))
        return false;
      Waiting_ -= Job.Waiting_.size();
      WaitingByTeam_[Job.Team_] -= Job.Waiting_.size();
      return true;
    });
  }

  void decideNow() {
    if (Options_.Baseline_) {
      placeFirstInFirstOut();
      return;
    }
    for (const Decision &Decided : decide(Cell_, Pending_, Shares_, Now_, {})) {
      if (Decided.Kind_ == DecisionKind::Start) {
        started(Decided.Job_, Decided.Task_, Decided.WorkerIndex_);
        continue;
      }
      const Duration Delay = Decided.Method_ == PreemptionMethod::Checkpoint ? CheckpointTime
                             : Decided.Method_ == PreemptionMethod::Throttle ? ThrottleTime
                                                                             : StopTime;
      const auto Found = Running_.find({Decided.Job_, Decided.Task_});
      if (Found != Running_.end())
        Events_.emplace(Now_ + Delay, Event{.Kind_ = EventKind::Preempted,
                                            .Job_ = Decided.Job_,
                                            .Task_ = Decided.Task_,
                                            .Ticket_ = Found->second.Ticket_,
                                            .Method_ = Decided.Method_});
    }
  }

  /// Baseline policy: the oldest job starts on the first worker with enough free resources, and all
  /// others wait behind it.
  void placeFirstInFirstOut() {
    while (!Fifo_.empty()) {
      PendingJob &Job = Fifo_.front();
      std::vector<std::uint32_t> Placed;
      bool Blocked = false;
      for (const std::uint32_t Task : Job.Waiting_) {
        WorkerIndex Worker = 0;
        while (Worker < Workers && !(acceptsWork(Cell_.Workers_[Worker]) &&
                                     core::fits(Job.Size_, freeOf(Cell_.Workers_[Worker]))))
          ++Worker;
        if (Worker == Workers) {
          Blocked = true;
          break;
        }
        taskRunning(Cell_, Shares_, Worker,
                    {.Job_ = Job.Id_,
                     .Task_ = Task,
                     .Team_ = Job.Team_,
                     .Kind_ = Job.Kind_,
                     .Size_ = Job.Size_,
                     .Started_ = Now_},
                    Now_);
        Placed.push_back(Task);
      }
      if (Blocked && Job.Kind_ == JobKind::Gang) {
        for (const std::uint32_t Task : Placed)
          taskEnded(Cell_, Shares_, Job.Id_, Task, Now_);
        return;
      }
      for (const std::uint32_t Task : Placed)
        started(Job.Id_, Task, findPlacement(Cell_, Job.Id_, Task)->Worker_);
      Waiting_ -= Placed.size();
      WaitingByTeam_[Job.Team_] -= Placed.size();
      std::erase_if(Job.Waiting_, [&](std::uint32_t Task) {
        return std::find(Placed.begin(), Placed.end(), Task) != Placed.end();
      });
      if (Blocked)
        return;
      Fifo_.pop_front();
    }
  }

  /// Records the use of the scarce resource and the deviations from the shares, once per second.
  void sample() {
    const std::size_t Waiting = Options_.Baseline_ ? Waiting_ : Pending_.WaitingTasks_;
    ++Samples_;
    const auto Whole = amounts(Cell_.Capacity_);
    if (Waiting > 0) {
      const auto Reserved = amounts(Cell_.Used_);
      // Cores are the scarce resource of both deployments; memory is reported as well.
      ReservedCores_.push_back(static_cast<double>(Reserved[0]) / static_cast<double>(Whole[0]));
      ReservedMemory_.push_back(static_cast<double>(Reserved[1]) / static_cast<double>(Whole[1]));
      RealCores_.push_back(static_cast<double>(RealUsed_.MilliCores_) /
                           static_cast<double>(Whole[0]));
    }
    for (WorkerIndex I = 0; I < Workers; ++I) {
      ++WorkerSamples_;
      MemoryOverloads_ +=
          RealUsedByWorker_[I].MemoryMb_ > Cell_.Workers_[I].Capacity_.MemoryMb_ ? 1 : 0;
      CoreOverloads_ +=
          RealUsedByWorker_[I].MilliCores_ > Cell_.Workers_[I].Capacity_.MilliCores_ ? 1 : 0;
    }
    std::vector<TeamIndex> Busy;
    for (const Team &Owner : Teams)
      if (waitingOf(Owner.Name_) > 0)
        Busy.push_back(*findTeam(Shares_, Owner.Name_));
    if (Busy.size() != Teams.size())
      return;
    const std::vector<double> Deviations = shareDeviations(Shares_, Busy);
    double MaxDeviation = 0;
    ++FullSamples_;
    for (std::size_t I = 0; I < Deviations.size(); ++I) {
      MaxDeviation = std::max(MaxDeviation, std::abs(Deviations[I]));
      DistanceSum_[I] += Deviations[I];
    }
    Distances_.push_back(MaxDeviation);
  }

  [[nodiscard]] std::size_t waitingOf(const std::string &Name) const {
    if (Options_.Baseline_) {
      const auto Found = WaitingByTeam_.find(Name);
      return Found == WaitingByTeam_.end() ? 0 : Found->second;
    }
    const auto Found = Pending_.TeamsByName_.find(Name);
    if (Found == Pending_.TeamsByName_.end())
      return 0;
    std::size_t Sum = 0;
    for (const auto &Class : Pending_.Teams_[Found->second].Waiting_)
      Sum += Class.size();
    return Sum;
  }

  /// Submits the remaining jobs and runs until none waits, for at most 7200 s, to count jobs that
  /// never started.
  void drain() {
    for (const std::string &Id : Order_)
      if (Jobs_.at(Id).ArrivesAt_ > Now_ - Tick)
        submit(Jobs_.at(Id));
    const TimePoint Last = Now_ + seconds(7200);
    for (; Now_ < Last; Now_ += milliseconds(500)) {
      handleEvents();
      allowProbes(Quarantine_, Cell_, Now_);
      decideNow();
      if ((Options_.Baseline_ ? Waiting_ : Pending_.WaitingTasks_) == 0)
        break;
    }
    for (const auto &[Id, Job] : Jobs_)
      if (!Job.Ended_ && Job.Started_.size() < Job.Tasks_)
        ++NeverStarted_;
  }

  static double mean(const std::vector<double> &Values) {
    double Sum = 0;
    for (const double Value : Values)
      Sum += Value;
    return Values.empty() ? 0 : Sum / static_cast<double>(Values.size());
  }

  nlohmann::ordered_json result() {
    double MeanDeviation = 0;
    for (const double Sum : DistanceSum_)
      MeanDeviation = std::max(MeanDeviation, FullSamples_ > 0 ? std::abs(Sum) / FullSamples_ : 0);
    nlohmann::ordered_json Result;
    Result["measure"] = Options_.Name_;
    Result["user"] = Profile_.Name_;
    Result["policy"] = Options_.Baseline_ ? "fifo-first-fit" : "masticdrift";
    Result["seed"] = Options_.Seed_;
    Result["load"] = Options_.Load_;
    Result["jobs"] = Jobs_.size();
    Result["finished_tasks"] = Finished_;
    Result["finished_core_s"] = std::round(FinishedCoreSeconds_);
    Result["refused_impossible"] = Refused_;
    Result["cancelled"] = Cancelled_;
    Result["urgent_wait_p50_s"] = percentile(UrgentWaits_, 0.5);
    Result["urgent_wait_p99_s"] = percentile(UrgentWaits_, 0.99);
    Result["wait_p50_s"] = percentile(Waits_, 0.5);
    Result["wait_p99_s"] = percentile(Waits_, 0.99);
    Result["gang_wait_p99_s"] = percentile(GangWaits_, 0.99);
    Result["reserved_cores_while_waiting"] = mean(ReservedCores_);
    Result["reserved_memory_while_waiting"] = mean(ReservedMemory_);
    Result["real_cores_while_waiting"] = mean(RealCores_);
    Result["overfull_memory_part"] = MemoryOverloads_ / std::max(1.0, WorkerSamples_);
    Result["overfull_cores_part"] = CoreOverloads_ / std::max(1.0, WorkerSamples_);
    Result["share_distance_mean"] = MeanDeviation;
    Result["share_distance_p95_1s"] = percentile(Distances_, 0.95);
    Result["share_samples"] = FullSamples_;
    Result["checkpoints"] = Preemptions_[0];
    Result["throttles"] = Preemptions_[1];
    Result["stops"] = Preemptions_[2];
    Result["stopped_core_s"] = std::round(LostCoreSeconds_);
    if (Options_.Faults_) {
      Result["bad_worker_starts_after_ten"] = FaultyStartsAfterTen_;
      Result["bad_worker_part_of_starts"] =
          static_cast<double>(FaultyStartsAfterTen_) / std::max(1.0, StartsDuringFault_);
      Result["good_jobs_given_up"] = GoodJobsGivenUp_;
    }
    Result["never_started"] = NeverStarted_;
    return Result;
  }

  DeploymentProfile Profile_;
  LoadOptions Options_;
  std::mt19937_64 Random_;
  TimePoint Now_ = Begin;
  CellView Cell_;
  PendingWork Pending_;
  Shares Shares_;
  RunHistory RunHistory_;
  Quarantine Quarantine_;
  std::deque<PendingJob> Fifo_;
  std::size_t Waiting_ = 0;
  std::map<std::string, std::size_t> WaitingByTeam_;
  std::unordered_map<std::string, SimulatedJob> Jobs_;
  std::vector<std::string> Order_;
  std::map<std::pair<std::string, std::uint32_t>, Running> Running_;
  std::multimap<TimePoint, Event> Events_;
  std::set<WorkerIndex> LostWorkers_;
  std::uint64_t Ticket_ = 0;
  Resources RealUsed_;
  std::array<Resources, Workers> RealUsedByWorker_{};
  std::vector<double> UrgentWaits_, Waits_, GangWaits_, ReservedCores_, ReservedMemory_, RealCores_,
      Distances_;
  std::array<double, Teams.size()> DistanceSum_{};
  std::array<std::size_t, 3> Preemptions_{};
  std::map<WorkerIndex, std::size_t> StartsOnFaulty_;
  std::size_t Starts_ = 0, Finished_ = 0, Refused_ = 0, Cancelled_ = 0, FaultyStartsAfterTen_ = 0,
              GoodJobsGivenUp_ = 0, NeverStarted_ = 0, Samples_ = 0;
  double FinishedCoreSeconds_ = 0, LostCoreSeconds_ = 0, MemoryOverloads_ = 0, CoreOverloads_ = 0,
         WorkerSamples_ = 0, FullSamples_ = 0, StartsDuringFault_ = 0;
};

} // namespace

DeploymentProfile roshan() { return {"roshan", {16'000, 32'768, 0}, 0}; }
DeploymentProfile samvarp() { return {"samvarp", {32'000, 65'536, 0}, 3}; }

double percentile(std::vector<double> Values, double Quantile) {
  if (Values.empty())
    return 0;
  const auto At = static_cast<std::size_t>(Quantile * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + static_cast<std::ptrdiff_t>(At), Values.end());
  return Values[At];
}

nlohmann::ordered_json runLoad(const DeploymentProfile &Profile, const LoadOptions &Options) {
  return Driver(Profile, Options).run();
}

} // namespace masticdrift::measure
