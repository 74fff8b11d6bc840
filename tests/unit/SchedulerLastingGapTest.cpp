// How long a task that lasts stays down on a queue with advice when its next start is lost.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

/// A task that lasts has to run again within this time after its last run.
constexpr Millis MaxRestartGap{6000 + 3000};
/// Leases that a leader before the first one might have granted are over after this time.
constexpr Millis TermAge{11'000};
/// Longer than any run in these tests.
constexpr Millis ForGood{3'600'000};
/// Longest time between two requests to an executor on which nothing ends.
constexpr Millis HoldCycle{2000};
constexpr Millis CycleStep{100};
constexpr Millis MeasureStep{10};
/// Time of an advice request about three executors.
constexpr Millis AdviceTime{470};

/// \returns a manifest whose only queue needs advice for each step.
work::Manifest makeAdvisedManifest() {
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Queue.MaxAttempts_ = 4;
  Queue.Stretch_ = 2;
  Queue.Advice_ = work::AdvicePolicy{450, 6.5, 2500};
  work::Manifest Manifest;
  Manifest.Version_ = 2;
  Manifest.Queues_ = {Queue};
  Manifest.Pools_["pool"] = {"pool", false};
  return Manifest;
}

FakeFleetOptions advisedOrders(bool Relayed) {
  FakeFleetOptions Options;
  Options.Relayed_ = Relayed;
  Options.Advisers_ = 4;
  Options.AdviceYield_ = 1;
  return Options;
}

/// Starts the task on "first". It would start next on "second" and then on "third", because larger
/// executors are less loaded by it.
void startOnFirst(FakeFleet &Fleet, Millis Offset) {
  Fleet.setManifest(makeAdvisedManifest());
  Fleet.addExecutor("first", {16'000, 8000, 0});
  Fleet.addExecutor("second", {12'000, 8000, 0});
  Fleet.addExecutor("third", {4000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("lasting", tests::makeLasting(1));
  Fleet.run(Millis(4000) + Offset);
  cr_assert_eq(Fleet.executorsRunning("lasting"), std::vector<std::string>{"first"});
}

/// \returns the time until the task runs again, or a time beyond all bounds.
Millis measureGap(FakeFleet &Fleet) {
  constexpr Millis MaxTime{30'000};
  Millis Gap{0};
  for (; Gap < MaxTime && Fleet.executorsRunning("lasting").empty(); Gap += MeasureStep)
    Fleet.run(MeasureStep);
  return Gap;
}

/// Plays a scenario at all moments of the cycle of requests, and checks its longest gap.
template <typename Scenario> void expectInTime(bool Relayed, Scenario Play) {
  Millis Longest{0};
  for (Millis Offset{0}; Offset < HoldCycle; Offset += CycleStep) {
    FakeFleet Fleet(advisedOrders(Relayed));
    startOnFirst(Fleet, Offset);
    Longest = std::max(Longest, Play(Fleet));
    Fleet.run(Millis(15'000));
    for (const std::string &Violation : Fleet.violations())
      cr_expect(false, "%s", Violation.c_str());
  }
  cr_expect_leq(Longest.count(), MaxRestartGap.count(), "down for %ld ms (%s)",
                static_cast<long>(Longest.count()), Relayed ? "relayed" : "direct");
}

/// Fails the run, and loses the executor of the next one before its start order arrives.
Millis loseNextExecutor(FakeFleet &Fleet) {
  Fleet.failRunsOf("lasting");
  Fleet.run(AdviceTime);
  Fleet.crash("second", ForGood);
  return AdviceTime + measureGap(Fleet);
}

/// Fails the run, and loses the answer to the next start order.
Millis loseNextAnswer(FakeFleet &Fleet) {
  Fleet.loseNextStartAnswer();
  Fleet.failRunsOf("lasting");
  return measureGap(Fleet);
}

/// Fails the run, and loses the next start order.
Millis loseNextStart(FakeFleet &Fleet) {
  Fleet.delayNextStarts({ForGood});
  Fleet.failRunsOf("lasting");
  return measureGap(Fleet);
}

/// Loses the executor of the run.
Millis loseExecutor(FakeFleet &Fleet) {
  Fleet.crash("first", ForGood);
  return measureGap(Fleet);
}

} // namespace

// --- The task fails, and its next start is lost ---

// Guards against a failed task whose next executor is lost: repeated start orders and the request
// for advice after the lease add to the wait for it.
Test(SchedulerLastingGap, aStartAtALostExecutorCostsOneLease) {
  for (const bool Relayed : {false, true})
    expectInTime(Relayed, loseNextExecutor);
}

// Guards against a failed task that waits for a lease because of one lost answer.
Test(SchedulerLastingGap, aLostAnswerCostsNoLease) {
  for (const bool Relayed : {false, true})
    expectInTime(Relayed, loseNextAnswer);
}

// Guards against a failed task that waits for a lease although its executor answers.
Test(SchedulerLastingGap, aLostStartOrderCostsNoLease) {
  for (const bool Relayed : {false, true})
    expectInTime(Relayed, loseNextStart);
}

// --- The executor is lost ---

// Guards against a task that requests advice only when the lease of its lost executor is over.
Test(SchedulerLastingGap, aLostExecutorCostsOneLease) {
  for (const bool Relayed : {false, true})
    expectInTime(Relayed, loseExecutor);
}
