// Takeovers with a backlog while some executor does not answer the next leader.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;
using tests::makeJob;

namespace {

constexpr int Executors = 4;
constexpr int Cores = 4; ///< of each executor; each task needs one
/// Within this time a new leader has asked the executors and the advice service. The leases of the
/// one that does not answer take 10.5 s.
constexpr Millis SoonAfterTakeover{1500};

/// \returns options of a fleet on which each executor may run each step.
FakeFleetOptions makeOptions() {
  FakeFleetOptions Options;
  Options.AdviceYield_ = 1;
  return Options;
}

/// Adds the executors, and advice to the only queue.
void setUp(FakeFleet &Fleet, std::int64_t LimitCores) {
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Queue.MaxAttempts_ = 4;
  Queue.Stretch_ = 100;
  Queue.Advice_ = work::AdvicePolicy{20, 0.3, 2000};
  work::Manifest Manifest;
  Manifest.Queues_ = {Queue};
  Manifest.Customers_["c"] = {"c", 1000, {LimitCores * 1000, 0, 0}};
  Fleet.setManifest(Manifest);
  for (int I = 0; I < Executors; ++I)
    Fleet.addExecutor("e" + std::to_string(I), {std::int64_t{Cores} * 1000, 8000, 0});
  Fleet.run(Millis(100));
}

/// Loses an executor and the leader at the same moment, so that nobody has recorded its runs.
void loseExecutorAndLeader(FakeFleet &Fleet) {
  Fleet.disconnect("e0", Millis(30'000));
  Fleet.loseLeader();
  Fleet.run(Millis(500));
  Fleet.takeOver();
}

void expectNoViolations(const FakeFleet &Fleet) {
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}

} // namespace

// --- Jobs that the earlier leader has not begun ---

// Guards against a site that stands still for a whole lease after a takeover, because one executor
// of many does not answer, although most of the waiting jobs have never had a run.
Test(SchedulerBacklogTakeover, jobsThatWereNeverBegunStartAtOnce) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet, 0);
  // Takes all room for long enough that the others are not even asked for.
  Fleet.submit("running", makeJob(Executors * Cores, 1200));
  Fleet.run(Millis(300));
  for (int I = 0; I < 10; ++I)
    Fleet.submit("waiting" + std::to_string(I), makeJob(Cores, 400));
  Fleet.run(Millis(100));
  loseExecutorAndLeader(Fleet);
  Fleet.run(SoonAfterTakeover);
  int Begun = 0;
  for (int I = 0; I < 10; ++I)
    Begun += Fleet.startsOf({"waiting" + std::to_string(I), 0, 0, 0}) > 0 ? 1 : 0;
  cr_expect_geq(Begun, 3, "%d of 10 jobs have started", Begun);
  Fleet.run(Millis(40'000));
  for (int I = 0; I < 10; ++I)
    cr_expect(Fleet.stateOf("waiting" + std::to_string(I)) == work::JobState::Completed);
  cr_expect(Fleet.stateOf("running") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against a second run of a job that was begun: its tasks wait for the silent executor.
Test(SchedulerBacklogTakeover, jobsThatWereBegunWait) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet, 0);
  Fleet.submit("running", makeJob(Executors * Cores, 60'000));
  Fleet.run(Millis(600));
  loseExecutorAndLeader(Fleet);
  Fleet.run(SoonAfterTakeover);
  for (std::uint32_t Task = 0; Task < Executors * Cores; ++Task)
    cr_expect_eq(Fleet.startsOf({"running", 0, 0, Task}), 1);
  expectNoViolations(Fleet);
}

// --- Limits of customers ---

// Guards against a customer whose limit counts as used up by what may run unseen: the executor that
// does not answer has room for four tasks, not for a backlog of forty.
Test(SchedulerBacklogTakeover, unseenRunsTakeNoMoreThanTheirExecutorsHold) {
  constexpr std::int64_t LimitCores = Executors * Cores + Cores;
  FakeFleet Fleet(makeOptions());
  setUp(Fleet, LimitCores);
  Fleet.submit("begun", makeJob(40, 1000));
  Fleet.run(Millis(600));
  loseExecutorAndLeader(Fleet);
  Fleet.run(Millis(1000));
  Fleet.submit("later", makeJob(Cores, 300));
  Fleet.run(Millis(1000));
  cr_expect_gt(Fleet.startsOf({"later", 0, 0, 0}), 0);
  Fleet.run(Millis(30'000));
  cr_expect(Fleet.stateOf("begun") == work::JobState::Completed);
  expectNoViolations(Fleet);
}
