// Tests that the scheduler takes nothing for over because it is missing: from
// the executor list, from an answer or from the part of a topic that has been
// read.
#include "support/AbsenceStorm.h"

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

FakeFleetOptions optionsFor(unsigned Seed) {
  FakeFleetOptions Options;
  Options.Seed_ = Seed;
  const char *Traced = std::getenv("MASTICDRIFT_TRACE_SEED");
  Options.Trace_ = Traced != nullptr && std::to_string(Seed) == Traced;
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

// --- Executors that leave the list ---

// Guards against a second run of a task whose draining executor has left the
// list, because it lost its path to the store, and whose answer to one hold
// request is lost.
Test(SchedulerAbsence, lostAnswerIsNoShutdown) {
  FakeFleet Fleet(optionsFor(0));
  addExecutors(Fleet, 2);
  Fleet.submit("j1", makeJob(1, 9000));
  Fleet.run(Millis(500));
  const std::string ExecutorId = Fleet.executorsRunning("j1").front();
  Fleet.drain(ExecutorId, Millis(60'000));
  Fleet.run(Millis(500));
  Fleet.setListed(ExecutorId, false);
  Fleet.run(Millis(1000));
  Fleet.loseNextHoldAnswer(ExecutorId);
  Fleet.run(Millis(12'000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against tasks that wait for the lease of an executor whose planned shutdown is proven by
// another executor at its address.
Test(SchedulerAbsence, anotherExecutorAtTheAddressIsAShutdown) {
  FakeFleet Fleet(optionsFor(0));
  addExecutors(Fleet, 2);
  Fleet.submit("j1", makeJob(1, 9000));
  Fleet.run(Millis(500));
  const std::string ExecutorId = Fleet.executorsRunning("j1").front();
  Fleet.drain(ExecutorId, Millis(60'000));
  Fleet.run(Millis(500));
  Fleet.shutDown(ExecutorId);
  Fleet.run(Millis(3000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 2);
  Fleet.run(Millis(12'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against tasks that wait for the lease of a crashed executor although another one answers
// at its address already.
Test(SchedulerAbsence, tasksOfAReplacedExecutorRestartAtOnce) {
  FakeFleet Fleet(optionsFor(0));
  addExecutors(Fleet, 2);
  Fleet.submit("j1", makeJob(1, 9000));
  Fleet.run(Millis(500));
  Fleet.shutDown(Fleet.executorsRunning("j1").front());
  Fleet.run(Millis(3000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 2);
  expectNoViolations(Fleet);
}

// Guards against a new leader that waits for the lease of an executor that was replaced before its
// term: after several takeovers in a row inherited tasks would never start.
Test(SchedulerAbsence, aTakeoverDoesNotWaitForAReplacedExecutor) {
  FakeFleet Fleet(optionsFor(0));
  addExecutors(Fleet, 3);
  Fleet.submit("j1", makeJob(3, 9000));
  Fleet.run(Millis(500));
  Fleet.shutDown(Fleet.executorsRunning("j1").front());
  Fleet.takeOver();
  Fleet.run(Millis(1000));
  cr_expect(Fleet.leader().counts().Accounted_);
  cr_expect_eq(Fleet.executorsRunning("j1").size(), 3);
  expectNoViolations(Fleet);
}

// --- Runs that are missing from a report ---

// Guards against restarting a task whose end is reported but left unprocessed,
// because an earlier end in the same report belongs to a job that has not been
// read yet.
Test(SchedulerAbsence, postponedEndIsNoMissingRun) {
  FakeFleet Fleet(optionsFor(0));
  addExecutors(Fleet, 1);
  Fleet.submit("unread", makeJob(1, 600));
  Fleet.submit("j1", makeJob(1, 2200));
  Fleet.run(Millis(300));
  // The first leader cannot acknowledge the end of the first job.
  Fleet.setStoreDown(true);
  Fleet.run(Millis(700));
  Fleet.delayJobRead("unread", Millis(2000));
  Fleet.takeOver();
  Fleet.setStoreDown(false);
  Fleet.run(Millis(8000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  cr_expect_eq(Fleet.startsOf({"unread", 0, 0, 0}), 1);
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against restarting a task of a known job after a takeover, because its end is reported
// behind the end of a job that has not been read yet.
Test(SchedulerAbsence, endBehindAPostponedEndCounts) {
  FakeFleet Fleet(optionsFor(0));
  addExecutors(Fleet, 1);
  Fleet.submit("unread", makeJob(1, 300));
  Fleet.submit("j1", makeJob(1, 600));
  Fleet.run(Millis(200));
  // The first leader can acknowledge neither end.
  Fleet.setStoreDown(true);
  Fleet.run(Millis(800));
  Fleet.delayJobRead("unread", Millis(2000));
  Fleet.takeOver();
  Fleet.setStoreDown(false);
  Fleet.run(Millis(1000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  Fleet.run(Millis(8000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  cr_expect_eq(Fleet.startsOf({"unread", 0, 0, 0}), 1);
  cr_expect(Fleet.stateOf("unread") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// More runs end than one report holds, because no end can be acknowledged.
// Guards against restarting the tasks whose ends do not fit into the report.
Test(SchedulerAbsence, endBeyondAFullReportIsNoMissingRun) {
  FakeFleet Fleet(optionsFor(0));
  Fleet.addExecutor("e0", {600'000, 60'000, 0});
  Fleet.run(Millis(100));
  Fleet.submit("j1", makeJob(550, 1000));
  Fleet.run(Millis(500));
  cr_assert_eq(Fleet.startCount(), 550);
  Fleet.setStoreDown(true);
  Fleet.run(Millis(4000));
  Fleet.setStoreDown(false);
  Fleet.run(Millis(8000));
  cr_expect_eq(Fleet.startCount(), 550, "%zu starts", Fleet.startCount());
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against restarting tasks after a takeover whose ends do not fit into an executor's first
// report to the new leader.
Test(SchedulerAbsence, endBeyondAFullReportCountsAfterATakeover) {
  FakeFleet Fleet(optionsFor(0));
  Fleet.addExecutor("e0", {600'000, 60'000, 0});
  Fleet.run(Millis(100));
  Fleet.submit("j1", makeJob(550, 1000));
  Fleet.run(Millis(500));
  cr_assert_eq(Fleet.startCount(), 550);
  Fleet.setStoreDown(true);
  Fleet.run(Millis(4000));
  Fleet.takeOver();
  Fleet.run(Millis(12'000));
  Fleet.setStoreDown(false);
  Fleet.run(Millis(8000));
  cr_expect_eq(Fleet.startCount(), 550, "%zu starts", Fleet.startCount());
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// --- Jobs that have not been read yet ---

// The new leader cannot read a job for longer than any fixed wait. Guards
// against acknowledging the ends of its runs before, which would start the
// tasks again.
Test(SchedulerAbsence, endsWaitUntilTheJobsCanBeRead) {
  FakeFleet Fleet(optionsFor(0));
  addExecutors(Fleet, 2);
  Fleet.submit("j1", makeJob(3, 600));
  Fleet.run(Millis(300));
  Fleet.setStoreDown(true);
  Fleet.run(Millis(700));
  Fleet.delayJobRead("j1", Millis(6000));
  Fleet.takeOver();
  Fleet.setStoreDown(false);
  Fleet.run(Millis(20'000));
  for (std::uint32_t I = 0; I < 3; ++I)
    cr_expect_eq(Fleet.startsOf({"j1", 0, 0, I}), 1);
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against starts beside runs of a job that has not been read: their size
// is unknown, and their stops may be lost for longer than any fixed time.
Test(SchedulerAbsence, runsOfUnreadJobsTakeRoom) {
  FakeFleet Fleet(optionsFor(0));
  addExecutors(Fleet, 1);
  Fleet.submit("unread", makeJob(4, 9000));
  Fleet.run(Millis(1000));
  Fleet.delayJobRead("unread", Millis(8000));
  Fleet.loseStops("e0", Millis(5000));
  Fleet.takeOver();
  Fleet.submit("j1", makeJob(2, 1000));
  Fleet.run(Millis(25'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  cr_expect(Fleet.stateOf("unread") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against a second run of a task that has completed: the lease of its silent executor lapses
// before its job is read, so nothing noted that a completion there no longer counts.
Test(SchedulerAbsence, runsThatLapseBeforeTheirJobIsReadAreVoid) {
  // The earlier leader has recorded the runs of the silent executor, or has not noticed the
  // silence.
  for (const Millis TimeBeforeTakeover : {Millis(4000), Millis(100)}) {
    FakeFleet Fleet(optionsFor(0));
    addExecutors(Fleet, 2);
    Fleet.run(Millis(11'000));
    Fleet.submit("j1", makeJob(1, 1000));
    Fleet.run(Millis(500));
    cr_assert_eq(Fleet.executorsRunning("j1").size(), 1);
    const std::string Silent = Fleet.executorsRunning("j1").front();
    Fleet.disconnect(Silent, Millis(25'000));
    Fleet.run(TimeBeforeTakeover);
    Fleet.delayJobRead("j1", Millis(14'000));
    Fleet.takeOver();
    Fleet.run(Millis(50'000));
    cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
    cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 2);
    expectNoViolations(Fleet);
  }
}

// --- Random faults ---

// Guards against lost, duplicated and overcommitted tasks while executors leave
// the list and run on, and while two leaders reach different executors.
Test(SchedulerAbsence, noTaskIsLostDuplicatedOrOvercommitted) {
  const char *Range = std::getenv("MASTICDRIFT_STORM_SEEDS");
  const unsigned Seeds = Range == nullptr ? 150 : static_cast<unsigned>(std::atoi(Range));
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed)
    tests::playAbsenceStorm(optionsFor(Seed));
  tests::playAbsenceStorm(optionsFor(273)); // failed once
}
