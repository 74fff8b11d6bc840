// Tests of the scheduler in virtual time, with fake executors that follow the platform's contract.
#include "support/FakeFleet.h"

#include <cstdlib>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

work::JobSpec makeJob(std::uint32_t Tasks, std::int64_t Ms, std::uint32_t Steps = 1) {
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  for (std::uint32_t I = 0; I < Steps; ++I) {
    work::StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.Need_ = {1000, 100, 0};
    Step.EstimatedMs_ = Ms;
    if (I > 0)
      Step.DependsOn_ = {I - 1};
    Spec.Steps_.push_back(Step);
  }
  return Spec;
}

/// \returns true when MASTICDRIFT_TRACE_SEED requests the decisions of \p Seed; 0 stands for the
/// tests without seeds.
bool isTraced(unsigned Seed) {
  const char *Wanted = std::getenv("MASTICDRIFT_TRACE_SEED");
  return Wanted != nullptr && std::to_string(Seed) == Wanted;
}

FakeFleetOptions defaultOptions() {
  FakeFleetOptions Options;
  Options.Trace_ = isTraced(0);
  return Options;
}

void addExecutors(FakeFleet &Fleet, int Count, std::int64_t Cores = 4) {
  for (int I = 0; I < Count; ++I)
    Fleet.addExecutor("e" + std::to_string(I), {Cores * 1000, 8000, 0});
  Fleet.run(Millis(100));
}

void expectNoViolations(const FakeFleet &Fleet, unsigned Seed = 0) {
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "seed %u: %s", Seed, Violation.c_str());
}

} // namespace

// --- Placement without faults ---

Test(SchedulerPlacement, twoStepJobCompletesInOrder) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2);
  Fleet.submit("j1", makeJob(3, 500, 2));
  Fleet.run(Millis(700));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 1, 0}) + Fleet.startsOf({"j1", 0, 0, 0}), 2);
  Fleet.run(Millis(1000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against starts beyond an executor's capacity.
Test(SchedulerPlacement, tasksWaitForFreeCapacity) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 1);
  Fleet.submit("j1", makeJob(10, 300));
  Fleet.run(Millis(250));
  cr_expect_eq(Fleet.executorsRunning("j1").size(), 4);
  Fleet.run(Millis(1500));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against a customer that uses more than its upper limit.
Test(SchedulerPlacement, customerStaysWithinItsLimit) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2);
  work::Manifest Manifest;
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Manifest.Queues_.push_back(Queue);
  Manifest.Customers_["c"] = {"c", 10, {3000, 0, 0}};
  Fleet.setManifest(Manifest);
  Fleet.submit("j1", makeJob(8, 1000));
  Fleet.run(Millis(300));
  cr_expect_eq(Fleet.executorsRunning("j1").size(), 3);
}

// A customer near its limit submits short urgent jobs beside long batches. Guards against urgent
// jobs that wait for the end of the same customer's batch tasks.
Test(SchedulerPlacement, limitReservesCapacityForUrgentJobs) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 4);
  work::Manifest Manifest;
  work::Queue Urgent;
  Urgent.Name_ = "q";
  Urgent.Pool_ = "pool";
  work::Queue Batch = Urgent;
  Batch.Name_ = "batch";
  Batch.Priority_ = 2;
  Manifest.Queues_ = {Urgent, Batch};
  Manifest.Customers_["c"] = {"c", 10, {8000, 0, 0}};
  Fleet.setManifest(Manifest);
  Fleet.submit("u0", makeJob(3, 300));
  Fleet.run(Millis(500));
  Fleet.submit("b0", makeJob(20, 5000), "batch");
  Fleet.run(Millis(500));
  Fleet.submit("u1", makeJob(3, 300));
  Fleet.run(Millis(500));
  cr_expect(Fleet.stateOf("u1") == work::JobState::Completed);
  cr_expect_geq(Fleet.executorsRunning("b0").size(), 4);
}

// Guards against starts on executors that the queue's policy does not allow.
Test(SchedulerPlacement, startsWaitForAdvice) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 6);
  work::Manifest Manifest;
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Queue.MaxAttempts_ = 2;
  Queue.Advice_ = work::AdvicePolicy{200, 1, 2500};
  Manifest.Queues_.push_back(Queue);
  Fleet.setManifest(Manifest);
  Fleet.submit("j1", makeJob(2, 300));
  Fleet.run(Millis(150));
  cr_expect_eq(Fleet.executorsRunning("j1").size(), 0);
  Fleet.run(Millis(1500));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
}

// --- Lost answers and late orders ---

// Guards against a second run of a task whose start order got no answer. When the run has already
// ended, the executor refuses the repeated order, which does not mean that the task never ran.
Test(SchedulerLostAnswers, refusedRetryDoesNotProveThatTheTaskNeverRan) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2);
  // The run ends after 650 ms, before the leader gives up the unanswered start after 700 ms.
  Fleet.loseNextStartAnswer();
  Fleet.submit("j1", makeJob(1, 650));
  Fleet.run(Millis(5000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

Test(SchedulerLostAnswers, lostAnswersDoNotLoseOrDuplicateTasks) {
  for (unsigned Seed = 1; Seed <= 25; ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.Trace_ = isTraced(Seed);
    Options.LostAnswerProbability_ = 0.2;
    FakeFleet Fleet(Options);
    addExecutors(Fleet, 4);
    for (int I = 0; I < 6; ++I)
      Fleet.submit("j" + std::to_string(I), makeJob(4, 300 + 150 * I, 2));
    Fleet.run(Millis(40'000));
    for (int I = 0; I < 6; ++I)
      cr_expect(Fleet.stateOf("j" + std::to_string(I)) == work::JobState::Completed,
                "seed %u: job %d is %s", Seed, I,
                std::string(nameOf(Fleet.stateOf("j" + std::to_string(I)))).c_str());
    expectNoViolations(Fleet, Seed);
  }
}

// Guards against treating a run as never started because a repeated order found no connection,
// although a report has confirmed the run in the meantime.
Test(SchedulerLostAnswers, unconnectedRetryDoesNotProveThatTheTaskNeverRan) {
  for (unsigned Seed = 1; Seed <= 25; ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.Trace_ = isTraced(Seed);
    Options.LostAnswerProbability_ = 0.3;
    Options.NoConnectionProbability_ = 0.3;
    Options.MaxHoldJitterMs_ = 300;
    FakeFleet Fleet(Options);
    addExecutors(Fleet, 4);
    for (int I = 0; I < 6; ++I)
      Fleet.submit("j" + std::to_string(I), makeJob(4, 2500, 2));
    Fleet.run(Millis(60'000));
    for (int I = 0; I < 6; ++I)
      cr_expect(Fleet.stateOf("j" + std::to_string(I)) == work::JobState::Completed,
                "seed %u: job %d", Seed, I);
    expectNoViolations(Fleet, Seed);
  }
}

// Guards against a start order that is carried out seconds late, beside a newer run elsewhere.
Test(SchedulerLostAnswers, lateOrdersDoNotDuplicateTasks) {
  for (unsigned Seed = 1; Seed <= 25; ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.Trace_ = isTraced(Seed);
    Options.LateOrderProbability_ = 0.15;
    FakeFleet Fleet(Options);
    addExecutors(Fleet, 4);
    for (int I = 0; I < 6; ++I)
      Fleet.submit("j" + std::to_string(I), makeJob(4, 400, 2));
    Fleet.run(Millis(40'000));
    for (int I = 0; I < 6; ++I)
      cr_expect(Fleet.stateOf("j" + std::to_string(I)) == work::JobState::Completed,
                "seed %u: job %d", Seed, I);
    expectNoViolations(Fleet, Seed);
  }
}

// --- Failing executors ---

// Guards against restarting a task while its silent executor still holds a lease.
Test(SchedulerExecutors, tasksOfASilentExecutorRestartAfterItsLease) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2, 1);
  work::JobSpec Spec = makeJob(2, 20'000);
  Fleet.submit("j1", Spec);
  Fleet.run(Millis(1000));
  Fleet.disconnect("e0", Millis(60'000));
  Fleet.addExecutor("e9", {4000, 8000, 0});
  Fleet.run(Millis(5000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}) + Fleet.startsOf({"j1", 0, 0, 1}), 2);
  Fleet.run(Millis(6000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}) + Fleet.startsOf({"j1", 0, 0, 1}), 3);
  expectNoViolations(Fleet);
}

// Many jobs that always fail. Guards against avoiding executors because of such jobs, which removed
// capacity when it was needed most.
Test(SchedulerExecutors, alwaysFailingJobsDoNotMarkExecutorsAsFailing) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2);
  for (int I = 0; I < 4; ++I) {
    Fleet.failAllRunsOf("p" + std::to_string(I));
    Fleet.submit("p" + std::to_string(I), makeJob(2, 100));
    Fleet.run(Millis(150));
  }
  Fleet.run(Millis(400));
  Fleet.submit("j1", makeJob(8, 300));
  Fleet.run(Millis(200));
  cr_expect_eq(Fleet.executorsRunning("j1").size(), 8);
}

// An executor fails all its runs. Guards against jobs that use up their attempts there.
Test(SchedulerExecutors, failingExecutorIsAvoided) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 4);
  Fleet.failAllRunsAt("e0");
  for (int I = 0; I < 12; ++I) {
    Fleet.submit("j" + std::to_string(I), makeJob(4, 200));
    Fleet.run(Millis(250));
  }
  Fleet.run(Millis(3000));
  for (int I = 0; I < 12; ++I)
    cr_expect(Fleet.stateOf("j" + std::to_string(I)) == work::JobState::Completed, "job %d", I);
}

// A restarted executor has no runs, so its tasks can restart without waiting for the lease to
// lapse.
Test(SchedulerExecutors, tasksOfARestartedExecutorRestartAtOnce) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 1);
  Fleet.submit("j1", makeJob(2, 4000));
  Fleet.run(Millis(1000));
  Fleet.crash("e0", Millis(500));
  Fleet.run(Millis(2500));
  cr_expect_eq(Fleet.executorsRunning("j1").size(), 2);
  Fleet.run(Millis(5000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// A new incarnation numbers its ends from 1 again. Guards against acknowledging them with the end
// numbers of the previous incarnation.
Test(SchedulerExecutors, endsOfARestartedExecutorAreReadBeforeAcknowledgement) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 1);
  for (int I = 0; I < 5; ++I) {
    Fleet.submit("s" + std::to_string(I), makeJob(4, 100));
    Fleet.run(Millis(300));
  }
  Fleet.crash("e0", Millis(1));
  Fleet.submit("j1", makeJob(1, 100));
  Fleet.run(Millis(5000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against placing long-running tasks last because their objective has passed.
Test(SchedulerExecutors, longRunningTasksRestartAfterTheirObjective) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2);
  work::JobSpec Spec = makeJob(2, 500);
  Spec.Steps_[0].LongRunning_ = true;
  Fleet.submit("j1", Spec);
  Fleet.run(Millis(30'000));
  const std::string ExecutorId = Fleet.executorsRunning("j1").front();
  // Short jobs use up the remaining capacity.
  for (int I = 0; I < 20; ++I)
    Fleet.submit("s" + std::to_string(I), makeJob(4, 2000));
  Fleet.crash(ExecutorId, Millis(300));
  Fleet.run(Millis(4000));
  cr_expect_eq(Fleet.executorsRunning("j1").size(), 2);
  expectNoViolations(Fleet);
}

// --- New incarnations and takeovers ---

// Guards against a late start order that reaches a new incarnation, which does not know that the
// run has ended in the previous one.
Test(SchedulerExecutors, lateStartsDoNotRunOnARestartedExecutor) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.Trace_ = isTraced(Seed);
    Options.LateOrderProbability_ = 0.4;
    // Late enough that the leader has noticed the restart; earlier orders cannot be prevented.
    Options.LateOrderDelay_ = Millis(4000);
    Options.LateOrdersSurviveRestart_ = true;
    FakeFleet Fleet(Options);
    addExecutors(Fleet, 2);
    for (int I = 0; I < 4; ++I)
      Fleet.submit("j" + std::to_string(I), makeJob(4, 300));
    Fleet.run(Millis(1900));
    Fleet.crash("e0", Millis(50));
    Fleet.run(Millis(30'000));
    expectNoViolations(Fleet, Seed);
  }
}

// Guards against a leader that acknowledges the end of a run before it has read the job: the task
// would start again.
Test(SchedulerTakeover, endsOfJobsThatAreReadLateAreNotLost) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2);
  Fleet.submit("j1", makeJob(3, 600));
  Fleet.run(Millis(300));
  // The first leader cannot acknowledge the ends, because its records are not stored.
  Fleet.setStoreDown(true);
  Fleet.run(Millis(700));
  Fleet.delayJobRead("j1", Millis(1500));
  Fleet.takeOver();
  Fleet.setStoreDown(false);
  Fleet.run(Millis(20'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// --- Slow executors and stalled runs ---

// Tasks stall on an executor that still answers. Guards against jobs that wait for them until the
// executor recovers.
Test(SchedulerSlowExecutors, jobsDoNotWaitForStalledTasks) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 4);
  Fleet.stallRunsAt("e0");
  Fleet.submit("j1", makeJob(8, 800));
  Fleet.run(Millis(5000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// An executor is several times slower than the others. Guards against wide steps that take as long
// as their slowest task.
Test(SchedulerSlowExecutors, jobsDoNotWaitForASlowExecutor) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 4, 8);
  Fleet.slowDown("e0", 8);
  for (int I = 0; I < 3; ++I)
    Fleet.submit("j" + std::to_string(I), makeJob(8, 1000));
  Fleet.run(Millis(10'000));
  for (int I = 0; I < 3; ++I) {
    const auto CompletionTime = Fleet.completionTimeOf("j" + std::to_string(I));
    cr_assert(CompletionTime.has_value(), "job %d has not ended", I);
    // Detected after about two run times, followed by a stop and a restart; 8 s without moving.
    cr_expect_lt(CompletionTime->count(), 4500, "job %d", I);
  }
  expectNoViolations(Fleet);
}

// Guards against moving a healthy run because comparable tasks are shorter.
Test(SchedulerSlowExecutors, singleLongTaskIsNotMoved) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2, 8);
  Fleet.submit("j1", makeJob(6, 500));
  Fleet.run(Millis(900));
  Fleet.slowDown("e0", 4);
  Fleet.submit("j2", makeJob(1, 900));
  Fleet.run(Millis(6000));
  cr_expect_eq(Fleet.startsOf({"j2", 0, 0, 0}), 1);
  expectNoViolations(Fleet);
}

Test(SchedulerTakeover, newLeaderAdoptsRunningTasks) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2);
  Fleet.submit("j1", makeJob(4, 3000));
  Fleet.run(Millis(1000));
  Fleet.takeOver();
  Fleet.run(Millis(4000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  for (std::uint32_t I = 0; I < 4; ++I)
    cr_expect_eq(Fleet.startsOf({"j1", 0, 0, I}), 1);
  expectNoViolations(Fleet);
}

// A silent executor can only have runs of jobs that an earlier leader began. Guards against new
// jobs that wait for it while other executors are idle.
Test(SchedulerTakeover, newJobsDoNotWaitForASilentExecutor) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 3);
  Fleet.submit("old", makeJob(2, 20'000));
  Fleet.run(Millis(1000));
  Fleet.disconnect("e0", Millis(60'000));
  Fleet.takeOver();
  Fleet.submit("new", makeJob(2, 300));
  Fleet.run(Millis(1000));
  cr_expect(Fleet.stateOf("new") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against urgent jobs that wait for the lease of a silent executor although their tasks
// allow duplicates.
Test(SchedulerTakeover, duplicableTasksDoNotWaitForASilentExecutor) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 3);
  work::JobSpec Copies = makeJob(2, 800, 2);
  for (work::StepSpec &Step : Copies.Steps_)
    Step.AllowDuplicates_ = true;
  Fleet.submit("copies", Copies);
  Fleet.submit("plain", makeJob(2, 800, 2));
  Fleet.run(Millis(400));
  Fleet.disconnect("e0", Millis(60'000));
  Fleet.takeOver();
  Fleet.run(Millis(4500));
  cr_expect(Fleet.stateOf("copies") == work::JobState::Completed);
  Fleet.run(Millis(20'000));
  cr_expect(Fleet.stateOf("plain") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against a duplicate run that continues or is started again after an unreported run of an
// earlier leader has completed the task. Found by a randomized run of the orders scenario, which
// reported a second execution (TWICE).
Test(SchedulerTakeover, copyStopsWhenAnUnreportedRunCompletes) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 3);
  work::JobSpec Copies = makeJob(1, 6000, 2);
  Copies.Steps_[0].AllowDuplicates_ = true;
  Fleet.submit("copies", Copies);
  Fleet.run(Millis(500));
  const std::vector<std::string> First = Fleet.executorsRunning("copies");
  cr_assert_eq(First.size(), 1);
  Fleet.disconnect(First.front(), Millis(6000)); // the run ends while disconnected
  Fleet.takeOver();
  Fleet.run(Millis(5000));
  cr_assert_eq(Fleet.startsOf({"copies", 0, 0, 0}), 2);
  Fleet.run(Millis(1600));
  cr_expect_eq(Fleet.startsOf({"copies", 0, 1, 0}), 1);
  cr_expect_eq(Fleet.executorsRunning("copies").size(), 1,
               "the duplicate of the first step has 0.7 s left");
  Fleet.run(Millis(8000));
  cr_expect(Fleet.stateOf("copies") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against duplicates that exceed a customer's limit together with unreported runs.
Test(SchedulerTakeover, copiesCountInAdditionToUnreportedRuns) {
  FakeFleet Fleet(defaultOptions());
  work::Manifest Manifest;
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Manifest.Queues_.push_back(Queue);
  Manifest.Customers_["c"] = {"c", 10, {5000, 0, 0}};
  Fleet.setManifest(Manifest);
  addExecutors(Fleet, 3, 2);
  work::JobSpec Copies = makeJob(4, 20'000);
  Copies.Steps_[0].AllowDuplicates_ = true;
  Fleet.submit("copies", Copies);
  Fleet.run(Millis(1000));
  std::vector<std::string> Executors = Fleet.executorsRunning("copies");
  cr_assert_eq(Executors.size(), 4);
  for (const std::string &ExecutorId : Executors)
    Fleet.disconnect(ExecutorId, Millis(60'000));
  Fleet.takeOver();
  Fleet.run(Millis(3000));
  // Four runs may be active without a report, and one more fits.
  cr_expect_leq(Fleet.executorsRunning("copies").size(), 5);
}

// A store that answers slowly. Guards against a second append before the first start.
Test(SchedulerTakeover, jobBegunWithItsAcceptanceStartsWithoutTheStore) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 2);
  Fleet.setStoreDown(true);
  Fleet.submitBegun("j1", makeJob(2, 1000), Fleet.term());
  Fleet.submit("j2", makeJob(2, 1000));
  Fleet.run(Millis(300));
  cr_expect_eq(Fleet.executorsRunning("j1").size(), 2);
  cr_expect_eq(Fleet.executorsRunning("j2").size(), 0);
}

// Guards against a second start of a job that a stale leader began after the new one read the log.
Test(SchedulerTakeover, jobBegunByAStaleLeaderWaitsForSilentExecutors) {
  FakeFleet Fleet(defaultOptions());
  addExecutors(Fleet, 3);
  Fleet.disconnect("e0", Millis(60'000));
  Fleet.takeOver();
  Fleet.submitBegun("j1", makeJob(2, 1000), Fleet.term() - 1);
  Fleet.run(Millis(3000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 0);
  Fleet.run(Millis(10'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// For a customer with an upper limit, runs that may be active without a report count as used; the
// rest of the limit is available.
Test(SchedulerTakeover, limitCountsUnreportedRuns) {
  FakeFleet Fleet(defaultOptions());
  work::Manifest Manifest;
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Manifest.Queues_.push_back(Queue);
  Manifest.Customers_["c"] = {"c", 10, {4000, 0, 0}};
  Fleet.setManifest(Manifest);
  addExecutors(Fleet, 3, 2);
  Fleet.submit("old", makeJob(2, 20'000));
  Fleet.run(Millis(1000));
  for (const std::string &ExecutorId : Fleet.executorsRunning("old"))
    Fleet.disconnect(ExecutorId, Millis(60'000));
  Fleet.takeOver();
  Fleet.submit("new", makeJob(3, 400));
  Fleet.run(Millis(350));
  cr_expect_eq(Fleet.executorsRunning("new").size(), 2);
  Fleet.run(Millis(1000));
  cr_expect(Fleet.stateOf("new") == work::JobState::Completed);
}

// Guards against attempts beyond the limit when a new leader reads failed ends that its predecessor
// could not make durable. They come from different executors and in any order.
Test(SchedulerTakeover, failedRunsCountInAnyReadOrder) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.FailedRunProbability_ = 1;
    Options.MaxHoldJitterMs_ = 20;
    FakeFleet Fleet(Options);
    addExecutors(Fleet, 6);
    Fleet.submit("j1", makeJob(1, 100));
    Fleet.run(Millis(50));
    Fleet.setStoreDown(true);
    Fleet.run(Millis(2500));
    cr_assert_eq(Fleet.startsOf({"j1", 0, 0, 0}), 4);
    Fleet.setStoreDown(false);
    Fleet.takeOver();
    Fleet.run(Millis(3000));
    cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 4);
    cr_expect(Fleet.stateOf("j1") == work::JobState::Failed);
  }
}

// Guards against two leaders that both start tasks: the executors must fence the old one.
Test(SchedulerTakeover, staleLeaderIsFenced) {
  for (unsigned Seed = 1; Seed <= 25; ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.Trace_ = isTraced(Seed);
    Options.LostAnswerProbability_ = 0.05;
    Options.LateOrderProbability_ = 0.03;
    FakeFleet Fleet(Options);
    addExecutors(Fleet, 4);
    for (int I = 0; I < 10; ++I) {
      Fleet.submit("j" + std::to_string(I), makeJob(5, 700, 2));
      Fleet.run(Millis(250));
      if (I == 4 || I == 7)
        Fleet.takeOver(Millis(3000));
    }
    Fleet.run(Millis(60'000));
    for (int I = 0; I < 10; ++I)
      cr_expect(Fleet.stateOf("j" + std::to_string(I)) == work::JobState::Completed,
                "seed %u: job %d", Seed, I);
    expectNoViolations(Fleet, Seed);
  }
}

// --- Random faults ---

Test(SchedulerRandomFaults, noTaskIsLostDuplicatedOrOvercommitted) {
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.Trace_ = isTraced(Seed);
    Options.LostAnswerProbability_ = 0.08;
    Options.LateOrderProbability_ = 0.05;
    Options.FailedRunProbability_ = 0.03;
    FakeFleet Fleet(Options);
    std::mt19937 Random(Seed);
    addExecutors(Fleet, 6);
    for (int I = 0; I < 40; ++I) {
      Fleet.submit("j" + std::to_string(I),
                   makeJob(1 + Random() % 6, static_cast<std::int64_t>(200 + Random() % 2500), 2));
      const std::string ExecutorId = "e" + std::to_string(Random() % 6);
      switch (Random() % 8) {
      case 0:
        Fleet.crash(ExecutorId, Millis(300 + Random() % 4000));
        break;
      case 1:
        Fleet.disconnect(ExecutorId, Millis(500 + Random() % 12'000));
        break;
      case 2:
        Fleet.takeOver(Millis(Random() % 2 == 0 ? 0 : Random() % 5000));
        break;
      default:
        break;
      }
      Fleet.run(Millis(Random() % 900));
    }
    Fleet.run(Millis(150'000));
    for (int I = 0; I < 40; ++I) {
      const work::JobState State = Fleet.stateOf("j" + std::to_string(I));
      cr_expect(work::isFinal(State), "seed %u: job %d is %s", Seed, I,
                std::string(nameOf(State)).c_str());
    }
    expectNoViolations(Fleet, Seed);
  }
}
