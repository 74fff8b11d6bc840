// How long a task stays down that fails under a new leader while executors are not heard of.
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
constexpr Millis MeasureStep{10};

/// Starts the task on "first", and changes the leader, who does not reach "third".
void takeOverWithoutThird(FakeFleet &Fleet) {
  Fleet.addExecutor("first", {16'000, 8000, 0});
  Fleet.addExecutor("second", {8000, 8000, 0});
  Fleet.addExecutor("third", {4000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("lasting", tests::makeLasting(1));
  Fleet.run(Millis(3000));
  cr_assert_eq(Fleet.executorsRunning("lasting"), std::vector<std::string>{"first"});
  Fleet.takeOver();
  Fleet.disconnectLeader("third", ForGood);
  Fleet.run(Millis(300));
}

/// \returns the time until the task runs again, or a time beyond all bounds.
Millis measureGap(FakeFleet &Fleet) {
  constexpr Millis MaxTime{30'000};
  Millis Gap{0};
  for (; Gap < MaxTime && Fleet.executorsRunning("lasting").empty(); Gap += MeasureStep)
    Fleet.run(MeasureStep);
  return Gap;
}

} // namespace

// --- The task fails while another executor is not heard of ---

// Guards against a task that waits until all executors are heard of although the new leader has
// seen its run and its end.
Test(SchedulerInheritedRestart, aTaskWhoseRunWasSeenStartsAgain) {
  FakeFleet Fleet({});
  takeOverWithoutThird(Fleet);
  Fleet.failRunsOf("lasting");
  const Millis Gap = measureGap(Fleet);
  cr_expect_leq(Gap.count(), MaxRestartGap.count(), "down for %ld ms",
                static_cast<long>(Gap.count()));
  Fleet.run(Millis(15'000));
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}

// --- The run is not seen ---

// Guards against a second run of a task whose run is on the executor that is not heard of.
Test(SchedulerInheritedRestart, aTaskWhoseRunWasNotSeenWaits) {
  FakeFleet Fleet({});
  takeOverWithoutThird(Fleet);
  Fleet.disconnectLeader("first", ForGood);
  Fleet.takeOver();
  Fleet.disconnectLeader("first", ForGood);
  Fleet.run(Millis(30'000));
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}

// --- Attempts that are not heard of ---

// Guards against a start beyond the limit of attempts: the earlier leader could not store the
// failures that it had seen, and the executors that still list them are not heard of.
Test(SchedulerInheritedRestart, aTaskWithALimitWaitsForFailuresThatAreNotStored) {
  constexpr int MaxAttempts = 4;
  const work::TaskRef Task{"batch", 0, 0, 0};
  FakeFleet Fleet({});
  for (const std::string Id : {"first", "second", "third"})
    Fleet.addExecutor(Id, {4000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("batch", tests::makeJob(1, 60'000));
  Fleet.run(Millis(500));
  Fleet.holdProgress(true);
  while (Fleet.startsOf(Task) < MaxAttempts) {
    Fleet.failRunsOf("batch");
    Fleet.run(Millis(500));
  }
  const std::vector<std::string> Last = Fleet.executorsRunning("batch");
  cr_assert_eq(Last.size(), 1);
  Fleet.loseLeader();
  Fleet.holdProgress(false);
  Fleet.takeOver();
  for (const std::string Id : {"first", "second", "third"})
    if (Id != Last.front())
      Fleet.disconnectLeader(Id, Millis(3000));
  Fleet.run(Millis(500));
  Fleet.failRunsOf("batch");
  Fleet.run(Millis(10'000));
  cr_expect_eq(Fleet.startsOf(Task), MaxAttempts);
  cr_expect(Fleet.stateOf("batch") == work::JobState::Failed);
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}
