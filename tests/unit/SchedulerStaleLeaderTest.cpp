// A leader that goes on after a newer term has begun, because it and the new leader reach no
// executor in common.
#include "support/FakeFleet.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

work::JobSpec makeJob(std::int64_t Ms) {
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  work::StepSpec Step;
  Step.TaskCount_ = 1;
  Step.Need_ = {1000, 100, 0};
  Step.EstimatedMs_ = Ms;
  Spec.Steps_.push_back(Step);
  return Spec;
}

void addExecutor(FakeFleet &Fleet, const std::string &Id) {
  Fleet.addExecutor(Id, {4000, 8000, 0});
  Fleet.run(Millis(100));
}

void expectNoViolations(const FakeFleet &Fleet) {
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}

} // namespace

// Guards against two runs at the same time: a leader that is cut off from the store and from the
// other executors goes on renewing the lease of a run that the new leader takes for lapsed.
Test(SchedulerStaleLeader, leaderCutOffFromTheNewOneStopsRenewingLeases) {
  constexpr Millis CutTime(40'000);
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutor(Fleet, "e0");
  Fleet.submit("j1", makeJob(30'000));
  Fleet.run(Millis(1000));
  cr_assert_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  addExecutor(Fleet, "e1");
  Fleet.run(Millis(1000));
  Fleet.disconnectLeader("e1", CutTime);
  Fleet.takeOver(CutTime);
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.run(Millis(60'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against two runs at the same time: a leader that no longer reaches an executor takes its
// lease for lapsed, although the new leader renews it, and starts the task elsewhere.
Test(SchedulerStaleLeader, leaseThatTheNewLeaderRenewsIsNotTakenForLapsed) {
  constexpr Millis CutTime(40'000);
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutor(Fleet, "e0");
  Fleet.submit("j1", makeJob(30'000));
  Fleet.run(Millis(1000));
  cr_assert_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  addExecutor(Fleet, "e1");
  Fleet.run(Millis(1000));
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.run(Millis(3000));
  Fleet.takeOver(CutTime);
  Fleet.disconnectLeader("e1", CutTime);
  Fleet.run(Millis(60'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  expectNoViolations(Fleet);
}

// Guards against two runs at the same time: a stale leader reads a job only when the new leader has
// begun it, takes it for one that an earlier leader has begun, and starts it on another executor.
Test(SchedulerStaleLeader, jobThatTheNewLeaderHasBegunIsNotStarted) {
  constexpr Millis Pause(1500);
  constexpr Millis CutTime(5000);
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutor(Fleet, "e0");
  addExecutor(Fleet, "e1");
  Fleet.disconnectLeader("e0", 2 * CutTime);
  Fleet.run(Millis(3000));
  Fleet.setLateness({Pause, Pause, Millis(0), Millis(0)});
  Fleet.run(Millis(20));
  Fleet.takeOver(CutTime);
  Fleet.disconnectLeader("e1", CutTime);
  Fleet.submit("j1", makeJob(4000));
  Fleet.run(Millis(20'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  expectNoViolations(Fleet);
}

// Guards against two runs at the same time: a leader has learned that a later term has begun, and
// starts the waiting tasks in the pass after which it steps down.
Test(SchedulerStaleLeader, nothingIsStartedOnceALaterTermIsKnown) {
  constexpr Millis Tick(10);
  for (int Ticks = 0; Ticks < 4; ++Ticks) {
    FakeFleet Fleet(FakeFleetOptions{});
    addExecutor(Fleet, "e0");
    addExecutor(Fleet, "e1");
    Fleet.submit("j1", makeJob(4000));
    Fleet.run(Ticks * Tick);
    if (Fleet.leader().counts().Running_ > 0)
      continue;
    Fleet.leader().onHoldResult("e0", fleet::OrderOutcome::Fenced, {}, Fleet.now(), Fleet.now());
    Fleet.run(Millis(1000));
    cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 0, "fenced after %d ticks", Ticks);
  }
}
