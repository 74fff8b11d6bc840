// Customers' limits at a takeover: what runs for a customer counts, whoever started it and whatever
// has become of its job.
#include "support/FakeFleet.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

constexpr core::Resources ExecutorCapacity{4000, 8000, 0};
constexpr core::Resources Limit{4000, 0, 0};
constexpr Millis CutTime(40'000);
constexpr Millis LongRun(60'000);

work::StepSpec makeStep(std::uint32_t Tasks, Millis RunTime = LongRun) {
  work::StepSpec Step;
  Step.TaskCount_ = Tasks;
  Step.Need_ = {1000, 100, 0};
  Step.EstimatedMs_ = RunTime.count();
  return Step;
}

work::JobSpec makeJob(std::initializer_list<work::StepSpec> Steps) {
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  Spec.Steps_ = Steps;
  return Spec;
}

/// One executor; customer "c" may use four cores.
void setUp(FakeFleet &Fleet) {
  Fleet.limitCustomer("c", Limit);
  Fleet.addExecutor("e0", ExecutorCapacity);
  Fleet.run(Millis(100));
}

/// Adds an executor that has none of the runs which are under way.
void addEmptyExecutor(FakeFleet &Fleet) {
  Fleet.addExecutor("empty", ExecutorCapacity);
  Fleet.run(Millis(100));
}

void expectNoViolations(const FakeFleet &Fleet) {
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}

} // namespace

// --- A job is cancelled while nobody leads ---

// Guards against a limit that is exceeded because the runs of a job that had ended before the new
// leader read it count for nobody while they are being stopped.
Test(SchedulerQuota, runsOfAJobThatWasCancelledBeforeTheTermCount) {
  FakeFleet Fleet(FakeFleetOptions{});
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  addEmptyExecutor(Fleet);
  Fleet.loseLeader();
  Fleet.cancel("old");
  Fleet.loseStops("e0", Millis(3000));
  Fleet.takeOver();
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(2500));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 4);
  expectNoViolations(Fleet);
  Fleet.run(Millis(2000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 0);
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// Guards against the same while the executor of these runs does not answer.
Test(SchedulerQuota, runsOfACancelledJobCountBeforeTheirExecutorAnswers) {
  FakeFleet Fleet(FakeFleetOptions{});
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet);
  Fleet.loseLeader();
  Fleet.cancel("old");
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// --- A job is cancelled under a leader ---

// Guards against a limit that is exceeded because the next leader cannot tell the size of runs that
// the earlier one was stopping.
Test(SchedulerQuota, runsThatTheEarlierLeaderWasStoppingCount) {
  FakeFleet Fleet(FakeFleetOptions{});
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet);
  Fleet.loseStops("e0", Millis(4000));
  Fleet.cancel("old");
  Fleet.run(Millis(1000));
  Fleet.takeOver();
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(2000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 4);
  expectNoViolations(Fleet);
  Fleet.run(Millis(3000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// Guards against the same when the job is cancelled under the new leader, which does not reach the
// executor.
Test(SchedulerQuota, unreportedRunsOfAJobThatIsCancelledInTheTermCount) {
  FakeFleet Fleet(FakeFleetOptions{});
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.run(Millis(500));
  Fleet.cancel("old");
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// --- An executor that does not answer runs more than the stored progress tells ---

// Guards against a limit that is exceeded because a task has ended on one executor while another
// one, which does not answer, has a copy of it.
Test(SchedulerQuota, anUnreportedCopyOfACompletedTaskCounts) {
  FakeFleet Fleet(FakeFleetOptions{});
  setUp(Fleet);
  Fleet.limitCustomer("c", {8000, 0, 0});
  Fleet.slowDown("e0", 20);
  work::StepSpec Step = makeStep(4, Millis(1000));
  Step.AllowDuplicates_ = true;
  Fleet.submit("old", makeJob({Step}));
  Fleet.run(Millis(300));
  addEmptyExecutor(Fleet);
  Fleet.addExecutor("empty-2", ExecutorCapacity);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.run(Millis(3000));
  cr_assert(Fleet.stateOf("old") == work::JobState::Completed);
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  Fleet.submit("next", makeJob({makeStep(8)}));
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 8);
  expectNoViolations(Fleet);
}

// Guards against a limit that is exceeded because the earlier leader has begun the next step of a
// job before it could store that the step before has ended.
Test(SchedulerQuota, unreportedRunsOfTheNextStepCount) {
  FakeFleet Fleet(FakeFleetOptions{});
  setUp(Fleet);
  work::StepSpec Second = makeStep(4);
  Second.DependsOn_ = {0};
  Fleet.submit("old", makeJob({makeStep(1, Millis(1000)), Second}));
  Fleet.run(Millis(500));
  Fleet.setStoreDown(true);
  Fleet.run(Millis(2000));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  Fleet.setStoreDown(false);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  addEmptyExecutor(Fleet);
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(20'000));
  expectNoViolations(Fleet);
}

// --- What the rest of the fleet may do meanwhile ---

// Guards against an executor that gets no starts of any customer while the runs of a job that has
// ended are being stopped there.
Test(SchedulerQuota, anExecutorWithRunsOfAnEndedJobGetsOtherStarts) {
  FakeFleet Fleet(FakeFleetOptions{});
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(2)}));
  Fleet.run(Millis(1000));
  Fleet.loseLeader();
  Fleet.cancel("old");
  Fleet.loseStops("e0", Millis(3000));
  Fleet.takeOver();
  Fleet.submit("other", makeJob({makeStep(4)}), "q", "d");
  Fleet.run(Millis(1000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 2);
  cr_expect_eq(Fleet.executorsRunning("other").size(), 2);
  expectNoViolations(Fleet);
}
