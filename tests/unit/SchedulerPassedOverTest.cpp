// Tests of steps that are passed over although room and their customer's limit allow a start.
#include "support/FakeFleet.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

/// One call for advice about some 20 executors, and the time until its answer is used.
constexpr Millis OneCall{800};
constexpr std::int64_t LimitCores = 16;
constexpr int Executors = 24;

work::JobSpec makeJob(std::uint32_t Tasks, std::int64_t Ms, std::int64_t MilliCores) {
  work::StepSpec Step;
  Step.TaskCount_ = Tasks;
  Step.Need_ = {MilliCores, 500, 0};
  Step.EstimatedMs_ = Ms;
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  Spec.Steps_ = {Step};
  return Spec;
}

/// A fleet with far more room than the limit of its only customer, and more advisers than needed.
FakeFleet makeFleet() {
  FakeFleetOptions Options;
  Options.Advisers_ = 20;
  return FakeFleet(Options);
}

void prepare(FakeFleet &Fleet) {
  work::Queue Urgent;
  Urgent.Name_ = "q";
  Urgent.Pool_ = "pool";
  Urgent.MaxAttempts_ = 4;
  Urgent.Stretch_ = 100;
  Urgent.Advice_ = work::AdvicePolicy{20, 0.3, 2500};
  work::Queue Batch = Urgent;
  Batch.Name_ = "batch";
  Batch.Priority_ = 2;
  Batch.Advice_ = work::AdvicePolicy{430, 6, 2500};
  work::Manifest Manifest;
  Manifest.Queues_ = {Urgent, Batch};
  Manifest.Customers_["c"] = {"c", 100, {LimitCores * 1000, 0, 0}};
  Fleet.setManifest(Manifest);
  for (int I = 0; I < Executors; ++I)
    Fleet.addExecutor("e" + std::to_string(I), {16'000, 65'536, 0});
  Fleet.run(Millis(100));
}

/// Runs urgent work of four times the limit until it has ended.
void runUrgentBurst(FakeFleet &Fleet) {
  Fleet.submit("urgent", makeJob(32, 300, 2000), "q");
  Fleet.run(Millis(3000));
  cr_assert(Fleet.stateOf("urgent") == work::JobState::Completed);
}

} // namespace

// Guards against a job of which nothing runs while its customer uses less than half of its limit:
// the limit's reserve for urgent work, at most half of it, and the need of one task together were
// more than was free, for as long as the peak of an urgent burst lasted.
Test(SchedulerPassedOver, reserveHoldsNothingBackBelowHalfOfTheLimit) {
  FakeFleet Fleet = makeFleet();
  prepare(Fleet);
  runUrgentBurst(Fleet);
  Fleet.submit("first", makeJob(1, 20'000, 6000), "batch");
  Fleet.run(OneCall);
  cr_assert_eq(Fleet.executorsRunning("first").size(), 1);
  Fleet.submit("second", makeJob(1, 20'000, 6000), "batch");
  Fleet.run(OneCall);
  cr_expect_eq(Fleet.executorsRunning("second").size(), 1);
  cr_expect(Fleet.violations().empty());
}

// The same for a gang that needs more than half of the limit.
Test(SchedulerPassedOver, reserveDoesNotStopALargeGang) {
  FakeFleet Fleet = makeFleet();
  prepare(Fleet);
  runUrgentBurst(Fleet);
  work::JobSpec Gang = makeJob(5, 2000, 2000);
  Gang.Steps_[0].Gang_ = true;
  Fleet.submit("gang", Gang, "batch");
  Fleet.run(OneCall);
  cr_expect_eq(Fleet.executorsRunning("gang").size(), 5);
  cr_expect(Fleet.violations().empty());
}

// Guards against a reserve that is sized by a backlog instead of by what the limit lets run: 16 s
// after a burst of four times the limit, still half of the limit was kept free for urgent work.
Test(SchedulerPassedOver, reserveAfterABurstIsBoundedByTheLimit) {
  FakeFleet Fleet = makeFleet();
  prepare(Fleet);
  runUrgentBurst(Fleet);
  Fleet.run(Millis(13'000));
  // Two half-lives of the peak have passed: a quarter of the limit may be kept free.
  Fleet.submit("batch", makeJob(32, 20'000, 1000), "batch");
  Fleet.run(Millis(3000));
  cr_expect_geq(Fleet.executorsRunning("batch").size(), 12);
  cr_expect(Fleet.violations().empty());
}

// A step waits for an overdue run of the step before it. Guards against room that it claims ahead
// of steps that can start: a gang of the same customer was not asked for until that run ended.
Test(SchedulerPassedOver, stepThatIsNotReadyClaimsNoRoomBeforeAReadyOne) {
  FakeFleet Fleet = makeFleet();
  prepare(Fleet);
  constexpr int Overdue = 40;
  for (int I = 0; I < Executors; ++I)
    Fleet.slowDown("e" + std::to_string(I), Overdue);
  work::JobSpec Chain = makeJob(1, 500, 1000);
  Chain.Steps_.push_back(makeJob(12, 500, 1000).Steps_[0]);
  Chain.Steps_[1].DependsOn_ = {0};
  Fleet.submit("chain", Chain, "batch");
  Fleet.run(Millis(2000));
  cr_assert_eq(Fleet.executorsRunning("chain").size(), 1);
  work::JobSpec Gang = makeJob(6, 2000, 2000);
  Gang.Steps_[0].Gang_ = true;
  Fleet.submit("gang", Gang, "batch");
  Fleet.run(OneCall);
  cr_expect_eq(Fleet.executorsRunning("gang").size(), 6);
  cr_expect(Fleet.violations().empty());
}
