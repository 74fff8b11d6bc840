// Property tests of the placement policy: random jobs on a small cell. After every step, the
// invariants of placements are checked against the plain lists of workers and placements, without
// the index that the decisions use.
#include "masticdrift/policy/Place.h"
#include "masticdrift/policy/Quarantine.h"

#include <criterion/criterion.h>

#include <random>

using namespace masticdrift::policy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Simulation {
  explicit Simulation(std::uint64_t Seed) : Random_(Seed) {
    for (int I = 0; I < 12; ++I)
      addWorker(Cell_, "w" + std::to_string(I), "r" + std::to_string(I / 4), capacity(I));
    setTeam(Teams_, "a", 3, {});
    setTeam(Teams_, "b", 1, {});
    setTeam(Teams_, "c", 1, {8, {20'000, 60'000, 2}});
    setTeam(Teams_, "d", 2, {});
  }

  static Resources capacity(int I) { return {16'000, 32'768, I % 3 == 0 ? 4 : 0}; }

  std::uint32_t below(std::uint32_t Bound) {
    return std::uniform_int_distribution<std::uint32_t>(0, Bound - 1)(Random_);
  }

  void submit() {
    PendingJob Job;
    Job.Id_ = "j" + std::to_string(NextJob_++);
    Job.Team_ = std::string(1, static_cast<char>('a' + below(4)));
    const std::uint32_t Kind = below(10);
    Job.Kind_ = Kind == 0 ? JobKind::Service : Kind <= 2 ? JobKind::Gang : JobKind::Batch;
    Job.Urgent_ = below(12) == 0;
    Job.Checkpointable_ = below(2) == 0;
    Job.Throttleable_ = below(3) == 0;
    Job.Idempotent_ = below(4) != 0;
    Job.Size_ = {500L * (1 + below(below(8) == 0 ? 32 : 8)), 512L * (1 + below(16)),
                 below(6) == 0 ? 1 + below(4) : 0};
    Job.RunTime_ = seconds(1 + below(60));
    Job.QueuedAt_ = Now_;
    const std::uint32_t Tasks = Job.Kind_ == JobKind::Batch && below(2) == 0 ? 1 : 1 + below(6);
    for (std::uint32_t I = 0; I < Tasks; ++I)
      Job.Waiting_.push_back(I);
    const auto Team = findTeam(Teams_, Job.Team_);
    const Resources All =
        Job.Kind_ == JobKind::Gang ? Job.Size_ * static_cast<std::int64_t>(Tasks) : Job.Size_;
    if (findInfeasibility(Cell_, Job) ||
        !masticdrift::core::fits(All, Teams_.Teams_[*Team].Limit_.Resources_))
      return;
    Submitted_[Job.Id_] = Job;
    addPending(Pending_, Job);
  }

  void requeue(const Placement &Removed) {
    PendingJob Job = Submitted_.at(Removed.Job_);
    Job.Waiting_ = {Removed.Task_};
    addPending(Pending_, Job);
  }

  /// Schedules the end of a started task. Actual run times are between a quarter and four times of
  /// the expected ones.
  void scheduleEnd(const Decision &Decided) {
    const Placement *Placed = findPlacement(Cell_, Decided.Job_, Decided.Task_);
    const Duration Run = Placed->Kind_ == JobKind::Service
                             ? seconds(100 + below(200))
                             : Submitted_.at(Decided.Job_).RunTime_ * (1 + below(16)) / 4;
    Ends_.emplace(Now_ + Run, std::pair{Decided.Job_, Decided.Task_});
  }

  void endDue() {
    while (!Ends_.empty() && Ends_.begin()->first <= Now_) {
      const auto [Job, Task] = Ends_.begin()->second;
      Ends_.erase(Ends_.begin());
      taskEnded(Cell_, Teams_, Job, Task, Now_);
    }
  }

  void forgetEnd(const std::string &Job, std::uint32_t Task) {
    std::erase_if(Ends_, [&](const auto &Entry) { return Entry.second == std::pair{Job, Task}; });
  }

  void confirmPreempted() {
    for (const Decision &Decided : std::exchange(Preempted_, {})) {
      const Placement *Placed = findPlacement(Cell_, Decided.Job_, Decided.Task_);
      if (Placed == nullptr)
        continue;
      if (below(10) == 0) {
        preemptFailed(Cell_, Decided.Job_, Decided.Task_);
      } else if (Decided.Method_ == PreemptionMethod::Throttle) {
        taskThrottled(Cell_, Teams_, Decided.Job_, Decided.Task_, Now_);
      } else {
        forgetEnd(Decided.Job_, Decided.Task_);
        requeue(*taskEnded(Cell_, Teams_, Decided.Job_, Decided.Task_, Now_));
      }
    }
  }

  void loseWorker() {
    const auto HostIndex = static_cast<WorkerIndex>(below(12));
    Worker &Host = Cell_.Workers_[HostIndex];
    if (!Host.Present_)
      return;
    removeWorker(Cell_, Host.Name_);
    const std::vector<PlacementIndex> LostPlacements = Host.Placements_;
    for (const PlacementIndex Index : LostPlacements) {
      const Placement Lost = Cell_.Placements_[Index];
      forgetEnd(Lost.Job_, Lost.Task_);
      requeue(*taskEnded(Cell_, Teams_, Lost.Job_, Lost.Task_, Now_));
    }
  }

  void returnWorkers() {
    for (int I = 0; I < 12; ++I)
      if (below(3) == 0)
        addWorker(Cell_, "w" + std::to_string(I), "r" + std::to_string(I / 4), capacity(I));
  }

  void decideAll(std::uint64_t Seed, int Step) {
    DecideLimits Limits;
    Limits.MaxDecisions_ = 100'000;
    Limits.MaxStartAttempts_ = 100'000;
    std::map<std::string, std::size_t> GangWaiting;
    for (const auto &[Id, Index] : Pending_.ById_)
      if (Pending_.Jobs_[Index].Kind_ == JobKind::Gang)
        GangWaiting[Id] = Pending_.Jobs_[Index].Waiting_.size();
    std::map<std::string, std::size_t> GangStarted;
    for (const Decision &Decided : decide(Cell_, Pending_, Teams_, Now_, Limits)) {
      if (Decided.Kind_ == DecisionKind::Preempt) {
        Preempted_.push_back(Decided);
        continue;
      }
      scheduleEnd(Decided);
      if (Submitted_.at(Decided.Job_).Kind_ == JobKind::Gang)
        ++GangStarted[Decided.Job_];
    }
    for (const auto &[Id, Count] : GangStarted)
      cr_assert_eq(Count, GangWaiting.at(Id), "seed %lu step %d: gang %s was started partially",
                   Seed, Step, Id.c_str());
  }

  void check(std::uint64_t Seed, int Step) const {
    const std::string Faults = checkCell(Cell_);
    cr_assert(Faults.empty(), "seed %lu step %d: %s", Seed, Step, Faults.c_str());
    std::vector<Resources> Used(Cell_.Workers_.size());
    std::map<std::string, Resources> PerTeam;
    for (const Placement &Placed : Cell_.Placements_)
      if (Placed.InUse_) {
        Used[Placed.Worker_] += Placed.Size_;
        PerTeam[Placed.Team_] += Placed.Size_;
      }
    for (std::size_t I = 0; I < Used.size(); ++I)
      cr_assert(masticdrift::core::fits(Used[I], Cell_.Workers_[I].Capacity_),
                "seed %lu step %d: worker %zu is overcommitted", Seed, Step, I);
    for (const TeamShare &Team : Teams_.Teams_) {
      cr_assert(PerTeam[Team.Name_] == Team.CurrentUsage_,
                "seed %lu step %d: usage of team %s differs from its placements", Seed, Step,
                Team.Name_.c_str());
      cr_assert(masticdrift::core::fits(Team.CurrentUsage_, Team.Limit_.Resources_),
                "seed %lu step %d: team %s is above its limit", Seed, Step, Team.Name_.c_str());
    }
    std::vector<std::array<std::int64_t, 3>> Free;
    for (const Worker &Host : Cell_.Workers_)
      if (acceptsWork(Host) && Host.Reserved_.empty())
        Free.push_back(amounts(Host.Capacity_ - Host.Used_));
    std::size_t Tasks = 0;
    for (const auto &[Id, Index] : Pending_.ById_) {
      Tasks += Pending_.Jobs_[Index].Waiting_.size();
      checkNotIdle(Pending_.Jobs_[Index], Free, Seed, Step);
    }
    cr_assert_eq(Tasks, Pending_.WaitingTasks_,
                 "seed %lu step %d: number of waiting tasks is wrong", Seed, Step);
    for (const auto &[Id, Reserved] : Pending_.Reservations_)
      cr_assert(Reserved.Workers_.size() <= 6,
                "seed %lu step %d: reservation of job %s has too many workers", Seed, Step,
                Id.c_str());
  }

  /// Checks that a waiting job fits only where resources are reserved or its team is at its limit.
  void checkNotIdle(const PendingJob &Job, const std::vector<std::array<std::int64_t, 3>> &Free,
                    std::uint64_t Seed, int Step) const {
    const bool Gang = Job.Kind_ == JobKind::Gang;
    const auto Needed = static_cast<std::int64_t>(Gang ? Job.Waiting_.size() : 1);
    if (!withinLimit(Teams_, *findTeam(Teams_, Job.Team_), Job.Size_ * Needed))
      return;
    std::int64_t FittingTasks = 0;
    const auto Requested = amounts(Job.Size_);
    for (const auto &Available : Free) {
      std::int64_t Fitting = Needed;
      for (std::size_t I = 0; I < Requested.size() && Fitting > 0; ++I)
        if (Requested[I] > 0)
          Fitting =
              Requested[I] > Available[I] ? 0 : std::min(Fitting, Available[I] / Requested[I]);
      FittingTasks += Fitting;
    }
    cr_assert(FittingTasks < Needed, "seed %lu step %d: job %s waits although it fits", Seed, Step,
              Job.Id_.c_str());
  }

  std::mt19937_64 Random_;
  TimePoint Now_{seconds(1000)};
  CellView Cell_;
  PendingWork Pending_;
  Shares Teams_;
  std::map<std::string, PendingJob> Submitted_;
  std::multimap<TimePoint, std::pair<std::string, std::uint32_t>> Ends_;
  std::vector<Decision> Preempted_;
  int NextJob_ = 0;
};

void run(std::uint64_t Seed) {
  std::printf("seed %lu\n", Seed);
  Simulation Sim(Seed);
  for (int Step = 0; Step < 1500; ++Step) {
    Sim.Now_ += milliseconds(200 + Sim.below(1500));
    Sim.endDue();
    Sim.confirmPreempted();
    for (std::uint32_t I = Sim.below(4); I > 0; --I)
      Sim.submit();
    if (Sim.below(100) == 0)
      Sim.loseWorker();
    if (Sim.below(30) == 0)
      Sim.returnWorkers();
    if (Sim.below(20) == 0 && !Sim.Pending_.ById_.empty())
      cancel(Sim.Pending_, std::string(Sim.Pending_.ById_.begin()->first));
    Sim.decideAll(Seed, Step);
    Sim.check(Seed, Step);
  }
  // No starvation: without new jobs, every waiting task is started eventually.
  for (int I = 0; I < 12; ++I)
    addWorker(Sim.Cell_, "w" + std::to_string(I), "r" + std::to_string(I / 4),
              Simulation::capacity(I));
  int Step = 1500;
  for (; Step < 200'000 && (Sim.Pending_.WaitingTasks_ > 0 || !Sim.Ends_.empty()); ++Step) {
    Sim.Now_ += seconds(1);
    Sim.endDue();
    Sim.confirmPreempted();
    Sim.decideAll(Seed, Step);
    if (Step % 50 == 0)
      Sim.check(Seed, Step);
  }
  cr_assert_eq(Sim.Pending_.WaitingTasks_, 0, "seed %lu: %zu tasks were never started", Seed,
               Sim.Pending_.WaitingTasks_);
  cr_assert(Sim.Cell_.Used_ == Resources{}, "seed %lu: resources are still in use at the end",
            Seed);
}

PendingJob makeJob(std::string Id, std::string Team, JobKind Kind, Resources Size, Duration Run,
                   std::uint32_t Tasks, TimePoint Queued) {
  PendingJob Job;
  Job.Id_ = std::move(Id);
  Job.Team_ = std::move(Team);
  Job.Kind_ = Kind;
  Job.Size_ = Size;
  Job.RunTime_ = Run;
  Job.QueuedAt_ = Queued;
  for (std::uint32_t I = 0; I < Tasks; ++I)
    Job.Waiting_.push_back(I);
  return Job;
}

} // namespace

// Guards against overcommitted workers, exceeded limits, partially started gangs, idle capacity and
// lost tasks.
Test(PolicyProperties, randomWorkSeed1) { run(1); }
Test(PolicyProperties, randomWorkSeed2) { run(2); }
Test(PolicyProperties, randomWorkSeed3) { run(3); }
Test(PolicyProperties, randomWorkSeed4) { run(4); }

// Guards against starvation of a gang by a steady stream of small tasks whose declared run times
// are far too short, so that backfill delays the gang.
Test(PolicyProperties, aGangStartsDespiteASteadyStreamOfSmallTasks) {
  constexpr std::uint64_t Seed = 5;
  std::printf("seed %lu\n", Seed);
  std::mt19937_64 Random(Seed);
  CellView Cell;
  PendingWork Pending;
  Shares Teams;
  TimePoint Now{seconds(1000)};
  for (int I = 0; I < 8; ++I)
    addWorker(Cell, "w" + std::to_string(I), "r0", {16'000, 32'768, 0});
  std::multimap<TimePoint, std::pair<std::string, std::uint32_t>> Ends;
  int Next = 0;
  TimePoint GangStarted{};
  const TimePoint Submitted = Now + seconds(100);
  for (int Step = 0; Step < 3000 && GangStarted == TimePoint{}; ++Step) {
    Now += milliseconds(200);
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      taskEnded(Cell, Teams, Ends.begin()->second.first, Ends.begin()->second.second, Now);
      Ends.erase(Ends.begin());
    }
    while (Pending.WaitingTasks_ < 200)
      addPending(Pending, makeJob("s" + std::to_string(Next++), "small", JobKind::Batch,
                                  {1000, 1024, 0}, seconds(1), 1, Now));
    if (Now == Submitted)
      addPending(Pending,
                 makeJob("gang", "large", JobKind::Gang, {12'000, 8192, 0}, seconds(60), 8, Now));
    for (const Decision &Decided : decide(Cell, Pending, Teams, Now, {})) {
      if (Decided.Job_ == "gang")
        GangStarted = Now;
      Ends.emplace(Now + seconds(5 + Random() % 30), std::pair{Decided.Job_, Decided.Task_});
    }
  }
  cr_assert(GangStarted != TimePoint{}, "the gang did not start within 500 s");
  // 120 s until the reservation disables backfill, then at most 35 s for the longest task.
  cr_assert(GangStarted - Submitted <= seconds(170), "the gang waited %ld s",
            static_cast<long>((GangStarted - Submitted) / seconds(1)));
}

// Guards against a deadlock of two gangs that each hold half of the resources the other needs.
Test(PolicyProperties, twoGangsThatNeedTheWholeCellRunOneAfterTheOther) {
  CellView Cell;
  PendingWork Pending;
  Shares Teams;
  TimePoint Now{seconds(1000)};
  for (int I = 0; I < 4; ++I)
    addWorker(Cell, "w" + std::to_string(I), "r0", {16'000, 32'768, 0});
  taskRunning(Cell, Teams, 0,
              {.Job_ = "old",
               .Team_ = "c",
               .Size_ = {16'000, 1, 0},
               .Started_ = Now,
               .ExpectedEnd_ = Now + seconds(20)},
              Now);
  addPending(Pending, makeJob("g1", "a", JobKind::Gang, {16'000, 1024, 0}, seconds(10), 4, Now));
  addPending(Pending, makeJob("g2", "b", JobKind::Gang, {16'000, 1024, 0}, seconds(10), 4, Now));
  std::vector<std::string> Order;
  std::multimap<TimePoint, std::pair<std::string, std::uint32_t>> Ends;
  Ends.emplace(Now + seconds(20), std::pair{std::string("old"), 0U});
  for (int Step = 0; Step < 100; ++Step) {
    Now += seconds(1);
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      taskEnded(Cell, Teams, Ends.begin()->second.first, Ends.begin()->second.second, Now);
      Ends.erase(Ends.begin());
    }
    const auto Decisions = decide(Cell, Pending, Teams, Now, {});
    cr_assert(Decisions.empty() || Decisions.size() == 4);
    for (const Decision &Decided : Decisions)
      Ends.emplace(Now + seconds(10), std::pair{Decided.Job_, Decided.Task_});
    if (!Decisions.empty())
      Order.push_back(Decisions.front().Job_);
  }
  cr_assert_eq(Order.size(), 2);
}

// Guards against stopping tasks for an urgent job when a checkpoint or throttling is enough.
Test(PolicyPreemption, checkpointThenThrottleThenStop) {
  TimePoint Now{seconds(1000)};
  const auto MethodChosen = [&](bool CanCheckpoint, bool CanThrottle) {
    CellView Cell;
    PendingWork Pending;
    Shares Teams;
    addWorker(Cell, "w", "r", {16'000, 32'768, 0});
    for (std::uint32_t I = 0; I < 4; ++I)
      taskRunning(Cell, Teams, 0,
                  {.Job_ = "b",
                   .Task_ = I,
                   .Team_ = "a",
                   .Checkpointable_ = CanCheckpoint && I == 2,
                   .Throttleable_ = CanThrottle && I == 1,
                   .Size_ = {4000, 1024, 0},
                   .Started_ = Now,
                   .ExpectedEnd_ = Now + seconds(1000)},
                  Now);
    PendingJob Job = makeJob("u", "b", JobKind::Batch, {3000, 1024, 0}, seconds(1), 1, Now);
    Job.Urgent_ = true;
    addPending(Pending, Job);
    const auto First = decide(Cell, Pending, Teams, Now, {});
    cr_assert_eq(First.size(), 1);
    cr_assert(First[0].Kind_ == DecisionKind::Preempt);
    cr_assert(decide(Cell, Pending, Teams, Now, {}).empty(),
              "a second preemption was decided for the same task");
    if (First[0].Method_ == PreemptionMethod::Throttle)
      taskThrottled(Cell, Teams, First[0].Job_, First[0].Task_, Now);
    else
      taskEnded(Cell, Teams, First[0].Job_, First[0].Task_, Now);
    const auto Second = decide(Cell, Pending, Teams, Now, {});
    cr_assert_eq(Second.size(), 1);
    cr_assert(Second[0].Kind_ == DecisionKind::Start && Second[0].Job_ == "u");
    return First[0].Method_;
  };
  cr_assert(MethodChosen(true, true) == PreemptionMethod::Checkpoint);
  cr_assert(MethodChosen(false, true) == PreemptionMethod::Throttle);
  cr_assert(MethodChosen(false, false) == PreemptionMethod::Stop);
}

// Guards against preempting a task that cannot be run again, for example a print job.
Test(PolicyPreemption, aTaskThatIsNotIdempotentIsNeverStopped) {
  TimePoint Now{seconds(1000)};
  CellView Cell;
  PendingWork Pending;
  Shares Teams;
  addWorker(Cell, "w", "r", {16'000, 32'768, 0});
  taskRunning(Cell, Teams, 0,
              {.Job_ = "print",
               .Team_ = "a",
               .Idempotent_ = false,
               .Size_ = {16'000, 1024, 0},
               .Started_ = Now,
               .ExpectedEnd_ = Now + seconds(1000)},
              Now);
  PendingJob Job = makeJob("u", "b", JobKind::Batch, {3000, 1024, 0}, seconds(1), 1, Now);
  Job.Urgent_ = true;
  addPending(Pending, Job);
  cr_assert(decide(Cell, Pending, Teams, Now, {}).empty());
}

// Guards against placing all replicas of a service in one rack.
Test(PolicyPlacement, servicesAreSpreadOverRacks) {
  CellView Cell;
  PendingWork Pending;
  Shares Teams;
  TimePoint Now{seconds(1000)};
  for (int I = 0; I < 12; ++I)
    addWorker(Cell, "w" + std::to_string(I), "r" + std::to_string(I / 4), {16'000, 32'768, 0});
  addPending(Pending, makeJob("s", "a", JobKind::Service, {1000, 1024, 0}, seconds(1), 6, Now));
  std::map<std::string, int> Racks;
  for (const Decision &Decided : decide(Cell, Pending, Teams, Now, {}))
    ++Racks[Cell.Workers_[Decided.WorkerIndex_].Rack_];
  cr_assert_eq(Racks.size(), 3);
  for (const auto &[Rack, Count] : Racks)
    cr_assert_eq(Count, 2);
}

// Guards against fragmentation: single free accelerators on many workers.
Test(PolicyPlacement, acceleratorsStayUnfragmented) {
  CellView Cell;
  PendingWork Pending;
  Shares Teams;
  TimePoint Now{seconds(1000)};
  for (int I = 0; I < 4; ++I)
    addWorker(Cell, "w" + std::to_string(I), "r0", {16'000, 32'768, 4});
  addWorker(Cell, "plain", "r0", {16'000, 32'768, 0});
  addPending(Pending, makeJob("one", "a", JobKind::Batch, {1000, 1024, 1}, seconds(60), 4, Now));
  addPending(Pending, makeJob("none", "a", JobKind::Batch, {1000, 1024, 0}, seconds(60), 3, Now));
  std::map<std::string, std::set<std::string>> Workers;
  for (const Decision &Decided : decide(Cell, Pending, Teams, Now, {}))
    Workers[Decided.Job_].insert(Decided.Worker_);
  cr_assert_eq(Workers["one"].size(), 1, "tasks with one accelerator were spread over workers");
  cr_assert(Workers["none"].size() == 1);
}

// Guards against backfill that uses resources reserved for a gang, and against missing backfill.
Test(PolicyPlacement, shortWorkRunsBehindAReservationAndLongWorkDoesNot) {
  CellView Cell;
  PendingWork Pending;
  Shares Teams;
  TimePoint Now{seconds(1000)};
  for (int I = 0; I < 2; ++I)
    addWorker(Cell, "w" + std::to_string(I), "r0", {16'000, 32'768, 0});
  taskRunning(Cell, Teams, 0,
              {.Job_ = "old",
               .Team_ = "c",
               .Size_ = {16'000, 1024, 0},
               .Started_ = Now,
               .ExpectedEnd_ = Now + seconds(100)},
              Now);
  addPending(Pending, makeJob("g", "a", JobKind::Gang, {16'000, 1024, 0}, seconds(10), 2, Now));
  Now += seconds(10);
  cr_assert(decide(Cell, Pending, Teams, Now, {}).empty());
  cr_assert_eq(Pending.Reservations_.size(), 1);
  addPending(Pending, makeJob("long", "b", JobKind::Batch, {1000, 512, 0}, seconds(500), 1, Now));
  addPending(Pending, makeJob("short", "b", JobKind::Batch, {1000, 512, 0}, seconds(30), 1, Now));
  const auto Started = decide(Cell, Pending, Teams, Now, {});
  cr_assert_eq(Started.size(), 1);
  cr_assert(Started[0].Job_ == "short");
}
