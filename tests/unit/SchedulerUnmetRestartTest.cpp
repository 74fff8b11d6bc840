// Late start orders that reach a new incarnation before the leader has met it. Known red: see
// KNOWN-RED.txt.
#include "support/FakeFleet.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

FakeFleetOptions makeOptions() {
  FakeFleetOptions Options;
  Options.LateOrdersSurviveRestart_ = true;
  return Options;
}

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

// Guards against a start after the acknowledged end of the task: the late first order reaches a new
// incarnation in the 0.8 s before the leader meets it.
Test(SchedulerUnmetRestart, endedTaskDoesNotStartAgain) {
  FakeFleet Fleet(makeOptions());
  addExecutor(Fleet, "e0");
  Fleet.delayNextStarts({Millis(4000)});
  Fleet.submit("j1", makeJob(300));
  Fleet.run(Millis(3700));
  cr_assert(Fleet.stateOf("j1") == work::JobState::Completed);
  Fleet.crash("e0", Millis(100));
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  expectNoViolations(Fleet);
}

// Guards against two runs at the same time: the lease of a silent executor has lapsed and its task
// runs elsewhere when a late order reaches a new incarnation that the leader has not met.
Test(SchedulerUnmetRestart, taskOfASilentExecutorRunsOnce) {
  FakeFleet Fleet(makeOptions());
  addExecutor(Fleet, "e0");
  Fleet.run(Millis(15'000));
  Fleet.delayNextStarts({Millis(11'500)});
  Fleet.submit("j1", makeJob(20'000));
  Fleet.run(Millis(100));
  addExecutor(Fleet, "e1");
  Fleet.crash("e0", Millis(11'000));
  Fleet.run(Millis(60'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  expectNoViolations(Fleet);
}
