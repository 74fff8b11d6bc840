// Completions that are listed in results which come too late.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

const work::TaskRef OnlyTask{"j1", 0, 0, 0};

FakeFleetOptions relayed() {
  FakeFleetOptions Options;
  Options.Relayed_ = true;
  return Options;
}

/// Adds two executors; the only task of j1 runs when this returns.
void startRun(FakeFleet &Fleet, std::int64_t RunMs) {
  Fleet.addExecutor("e0", {4000, 8000, 0});
  Fleet.addExecutor("e1", {4000, 8000, 0});
  Fleet.run(Millis(11'000));
  Fleet.submit("j1", tests::makeJob(1, RunMs));
  Fleet.run(Millis(300));
  cr_assert_eq(Fleet.executorsRunning("j1").size(), 1);
}

} // namespace

// --- The executor counts as answering: each late result shows that it does ---

// Guards against a job that is not completed although its executor reports the end again and again:
// only the lease was renewed from late results, and the ends that they list were dropped.
Test(SchedulerLateCompletion, countsWhileAllResultsAreLate) {
  for (const Millis Delay : {Millis(1500), Millis(2000), Millis(2500)}) {
    FakeFleet Fleet(relayed());
    startRun(Fleet, 500);
    Fleet.delayHoldResults(Delay);
    Fleet.run(Millis(6000));
    cr_expect(Fleet.stateOf("j1") == work::JobState::Completed, "with results %ld ms late",
              static_cast<long>(Delay.count()));
    cr_expect_eq(Fleet.startsOf(OnlyTask), 1);
  }
}

// --- The executor counts as silent, and its lease runs out ---

// Guards against a second run of a task whose completion the executor has listed: the result that
// lists it arrives before the lease is over, but results of a silent executor were ignored. The
// executor is out of reach afterwards.
Test(SchedulerLateCompletion, preventsASecondRunOfTheTask) {
  for (const Millis Delay : {Millis(2000), Millis(3000), Millis(4000)}) {
    FakeFleet Fleet(relayed());
    startRun(Fleet, 2500);
    const std::string Executor = Fleet.executorsRunning("j1").front();
    Fleet.delayHoldResults(Delay);
    Fleet.run(Millis(2600));
    cr_assert(Fleet.executorsRunning("j1").empty());
    Fleet.delayHoldResults(Millis(0));
    Fleet.disconnectLeader(Executor, Millis(20'000));
    Fleet.run(Millis(25'000));
    cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
    cr_expect_eq(Fleet.startsOf(OnlyTask), 1, "%d starts with results %ld ms late",
                 Fleet.startsOf(OnlyTask), static_cast<long>(Delay.count()));
    for (const std::string &Violation : Fleet.violations())
      cr_expect(false, "%s", Violation.c_str());
  }
}
