#include "masticdrift/policy/Explain.h"
#include "masticdrift/policy/Learn.h"
#include "masticdrift/policy/Quarantine.h"

#include <criterion/criterion.h>

using namespace masticdrift::policy;
using std::chrono::seconds;

namespace {

PendingJob makeJob(std::string Id, JobKind Kind, Resources Size, std::uint32_t Tasks) {
  PendingJob Job;
  Job.Id_ = std::move(Id);
  Job.Team_ = "a";
  Job.Kind_ = Kind;
  Job.Size_ = Size;
  Job.QueuedAt_ = TimePoint{seconds(1000)};
  for (std::uint32_t I = 0; I < Tasks; ++I)
    Job.Waiting_.push_back(I);
  return Job;
}

CellView makeCell() {
  CellView Cell;
  addWorker(Cell, "w0", "r0", {16'000, 32'768, 0});
  addWorker(Cell, "w1", "r0", {8000, 65'536, 4});
  return Cell;
}

} // namespace

// Guards against accepting a job that can never run, and against reporting the wrong resource.
Test(PolicyImpossible, namesTheResourceAndTheLargestAmount) {
  const CellView Cell = makeCell();
  auto Why = findInfeasibility(Cell, makeJob("j", JobKind::Batch, {17'000, 1024, 0}, 1));
  cr_assert(Why && Why->Kind_ == 0 && Why->Largest_ == 16'000);
  Why = findInfeasibility(Cell, makeJob("j", JobKind::Batch, {1000, 1024, 5}, 1));
  cr_assert(Why && Why->Kind_ == 2 && Why->Largest_ == 4);
  // Each amount is available, but not on one worker: with 4 accelerators there are only 8 cores.
  Why = findInfeasibility(Cell, makeJob("j", JobKind::Batch, {12'000, 1024, 4}, 1));
  cr_assert(Why && Why->Kind_ == 0 && Why->Largest_ == 8000);
  Why = findInfeasibility(Cell, makeJob("j", JobKind::Gang, {8000, 1024, 0}, 4));
  cr_assert(Why && Why->Kind_ == 0 && Why->Requested_ == 32'000 && Why->Largest_ == 24'000);
  cr_assert(!findInfeasibility(Cell, makeJob("j", JobKind::Gang, {8000, 1024, 0}, 3)));
}

// Guards against cancellations in large numbers that block the event loop or leave entries behind.
Test(PolicyCancel, manyCancellationsAreProcessedInSteps) {
  PendingWork Pending;
  std::vector<std::string> Ids;
  for (int I = 0; I < 3000; ++I) {
    addPending(Pending, makeJob("j" + std::to_string(I), JobKind::Batch, {1000, 1024, 0}, 2));
    if (I % 3 != 0)
      Ids.push_back("j" + std::to_string(I));
  }
  Ids.emplace_back("unknown");
  std::size_t Cancelled = 0;
  int Steps = 0;
  for (; !Ids.empty(); ++Steps)
    Cancelled += cancelSome(Pending, Ids, 100);
  cr_assert_eq(Cancelled, 2000);
  cr_assert_eq(Steps, 21);
  cr_assert_eq(Pending.WaitingTasks_, 2000);
  cr_assert_eq(Pending.ShapesByKey_.size(), 1);
}

// Guards against duplicate tasks when a task is requeued while others of its job are waiting.
Test(PolicyQueue, aTaskQueuedAgainJoinsItsJob) {
  PendingWork Pending;
  addPending(Pending, makeJob("j", JobKind::Batch, {1000, 1024, 0}, 3));
  cr_assert(takeWaiting(Pending, "j") == std::vector<std::uint32_t>{0});
  addPending(Pending, makeJob("j", JobKind::Batch, {1000, 1024, 0}, 1));
  addPending(Pending, makeJob("j", JobKind::Batch, {1000, 1024, 0}, 1));
  cr_assert_eq(Pending.WaitingTasks_, 3);
  for (std::uint32_t I = 0; I < 3; ++I)
    cr_assert(takeWaiting(Pending, "j") == std::vector<std::uint32_t>{I});
  cr_assert(findPending(Pending, "j") == nullptr);
  cr_assert_eq(Pending.WaitingTasks_, 0);
}

// Guards against shares that ignore weights or past usage.
Test(PolicyShares, aTeamWithMoreWeightMayUseMore) {
  Shares Teams;
  setCapacity(Teams, {100'000, 100'000, 10});
  setTeam(Teams, "a", 3, {});
  setTeam(Teams, "b", 1, {});
  const TimePoint Now{seconds(1000)};
  addUsage(Teams, 0, {30'000, 1000, 0}, Now);
  addUsage(Teams, 1, {1000, 0, 1}, Now);
  cr_assert_float_eq(rankOf(Teams, 0), rankOf(Teams, 1), 1e-9);
  addUsage(Teams, 0, {-30'000, -1000, 0}, Now + seconds(600));
  addUsage(Teams, 1, {-1000, 0, -1}, Now + seconds(600));
  cr_assert(rankOf(Teams, 0) > 0.04, "past usage was dropped immediately");
  decay(Teams, 0, Now + seconds(2000));
  cr_assert(rankOf(Teams, 0) < 0.001, "past usage did not decay");
}

// Guards against an estimate that depends on one outlier, and against unbounded memory.
Test(PolicyLearn, outliersAndMemory) {
  RunHistory History;
  History.MaxFamilies_ = 10;
  const Resources Declared{4000, 8192, 1};
  for (int I = 0; I < 20; ++I)
    recordObservation(History, "a", "f", seconds(100), seconds(I == 10 ? 100'000 : 20), Declared,
                      {1000, 2048, 0});
  const Estimate Learned = estimate(History, "a", "f", seconds(100), Declared);
  cr_assert(Learned.RunTime_ >= seconds(19) && Learned.RunTime_ <= seconds(21));
  cr_assert(Learned.Size_.MilliCores_ >= 1000 && Learned.Size_.MilliCores_ <= 1200);
  cr_assert(Learned.Size_.MemoryMb_ >= 2048 && Learned.Size_.MemoryMb_ <= 2432);
  cr_assert_eq(Learned.Size_.Accelerators_, 1);
  cr_assert(estimate(History, "b", "f", seconds(100), Declared).RunTime_ == seconds(100));
  for (int I = 0; I < 100; ++I)
    recordObservation(History, "a", "g" + std::to_string(I), seconds(1), seconds(1), Declared, {});
  cr_assert_eq(History.Recent_.size(), 10);
  cr_assert_eq(History.ByKey_.size(), 10);
}

// Guards against a worker that fails every task and so empties the queue, and against quarantining
// a worker because of one failing job.
Test(PolicyQuarantine, threeDifferentJobsThenProbesWithBackOff) {
  CellView Cell = makeCell();
  Quarantine Records;
  TimePoint Now{seconds(1000)};
  for (int I = 0; I < 10; ++I)
    cr_assert(!recordTaskEnd(Records, Cell, 0, "same", Now, false, Now));
  recordTaskEnd(Records, Cell, 0, "second", Now, false, Now);
  cr_assert(Cell.Workers_[0].Health_ == Health::Healthy);
  cr_assert(recordTaskEnd(Records, Cell, 0, "third", Now, false, Now));
  cr_assert(Cell.Workers_[0].Health_ == Health::Quarantined);
  // The success of a task that started before the failures does not end the quarantine.
  cr_assert(!recordTaskEnd(Records, Cell, 0, "earlier", Now - seconds(60), true, Now));
  cr_assert(Cell.Workers_[0].Health_ == Health::Quarantined);
  allowProbes(Records, Cell, Now + seconds(29));
  cr_assert(Cell.Workers_[0].Health_ == Health::Quarantined);
  Now += seconds(30);
  allowProbes(Records, Cell, Now);
  cr_assert(Cell.Workers_[0].Health_ == Health::Probing);
  recordTaskEnd(Records, Cell, 0, "fourth", Now, false, Now);
  allowProbes(Records, Cell, Now + seconds(59));
  cr_assert(Cell.Workers_[0].Health_ == Health::Quarantined, "the back-off did not increase");
  Now += seconds(60);
  allowProbes(Records, Cell, Now);
  // A probing worker gets only one task, which is an idempotent batch task.
  PendingWork Pending;
  Shares Teams;
  PendingJob Fixed = makeJob("fixed", JobKind::Batch, {12'000, 1024, 0}, 1);
  Fixed.Idempotent_ = false;
  addPending(Pending, Fixed);
  cr_assert(decide(Cell, Pending, Teams, Now, {}).empty());
  addPending(Pending, makeJob("probe", JobKind::Batch, {1000, 1024, 0}, 3));
  const auto Started = decide(Cell, Pending, Teams, Now, {});
  cr_assert_eq(Started.size(), 3);
  cr_assert_eq(std::count_if(Started.begin(), Started.end(),
                             [](const Decision &Decided) { return Decided.WorkerIndex_ == 0; }),
               1);
  cr_assert(recordTaskEnd(Records, Cell, 0, "probe", Now, true, Now));
  cr_assert(Cell.Workers_[0].Health_ == Health::Healthy);
  cr_assert(Records.Workers_.empty());
}

// Guards against explanations that give the wrong reason.
Test(PolicyExplain, eachReasonIsNamed) {
  CellView Cell = makeCell();
  PendingWork Pending;
  Shares Teams;
  TimePoint Now{seconds(1000)};
  const auto Why = [&](const char *Id) { return explain(Cell, Pending, Teams, Id, Now); };
  cr_assert(Why("none").Reason_ == WaitReason::NotWaiting);
  setTeam(Teams, "a", 1, {8, {20'000, 100'000, 8}});
  addPending(Pending, makeJob("never", JobKind::Batch, {99'000, 1024, 0}, 1));
  cr_assert(Why("never").Reason_ == WaitReason::NoFittingWorker);
  addPending(Pending, makeJob("next", JobKind::Batch, {1000, 1024, 0}, 1));
  cr_assert(Why("next").Reason_ == WaitReason::Next);
  taskRunning(Cell, Teams, 0,
              {.Job_ = "r",
               .Team_ = "b",
               .Size_ = {15'500, 1024, 0},
               .Started_ = Now,
               .ExpectedEnd_ = Now + seconds(50)},
              Now);
  addPending(Pending, makeJob("gang", JobKind::Gang, {8000, 1024, 0}, 2));
  const auto Gang = Why("gang");
  cr_assert(Gang.Reason_ == WaitReason::GangTasks);
  cr_assert_eq(Gang.FittingTasks_, 1);
  cr_assert(Gang.Text_ == "resources are free for 1 of 2 gang tasks", "%s", Gang.Text_.c_str());
  addPending(Pending, makeJob("full", JobKind::Batch, {16'000, 1024, 0}, 1));
  const auto Full = Why("full");
  cr_assert(Full.Reason_ == WaitReason::NoRoom);
  cr_assert(Full.EstimatedStart_ == Now + seconds(50));
  // A team without usage is waiting too, so freed resources go to that team first.
  Teams.Teams_[findOrAddTeam(Teams, "a")].DecayedUsage_ = 0.5;
  PendingJob LowUsage = makeJob("poor", JobKind::Batch, {16'000, 1024, 0}, 1);
  LowUsage.Team_ = "c";
  findOrAddTeam(Teams, "c");
  addPending(Pending, LowUsage);
  cr_assert(Why("full").Reason_ == WaitReason::Share);
  cr_assert(!Why("full").EstimatedStart_);
  cancel(Pending, "poor");
  Teams.Teams_[findOrAddTeam(Teams, "a")].DecayedUsage_ = 0;
  taskRunning(Cell, Teams, 1,
              {.Job_ = "mine",
               .Team_ = "a",
               .Size_ = {6000, 1024, 0},
               .Started_ = Now,
               .ExpectedEnd_ = Now + seconds(50)},
              Now);
  cr_assert(Why("full").Reason_ == WaitReason::Limit);
  taskEnded(Cell, Teams, "mine", 0, Now);
  taskEnded(Cell, Teams, "r", 0, Now);
  setHealth(Cell, 0, Health::Quarantined);
  cr_assert(Why("full").Reason_ == WaitReason::Quarantine);
  setHealth(Cell, 0, Health::Healthy);
  reserve(Cell, 0, {"other", {16'000, 1024, 0}, Now, true, false});
  cr_assert(Why("full").Reason_ == WaitReason::ReservedForGang);
}
