// Load: tasks that need next to nothing, so that the room of the executors bounds nothing.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;

namespace {

constexpr std::size_t RunLimit = 20;

/// \returns a job whose tasks all fit at the same time and outlast the test.
work::JobSpec makeTinyTasks(std::uint32_t Count) {
  work::JobSpec Spec = tests::makeJob(Count, 60'000);
  Spec.Steps_[0].Need_ = {1, 1, 0};
  return Spec;
}

/// Four executors, a limit of runs, and a customer with a thousand tiny tasks.
struct Scene {
  Scene() : Fleet_({}) {
    for (int I = 0; I < 4; ++I)
      Fleet_.addExecutor("e" + std::to_string(I), {100'000, 100'000, 0});
    Fleet_.run(Millis(1000));
    Fleet_.leader().setRunLimit(RunLimit);
    Fleet_.submit("many", makeTinyTasks(1000), "q", "one");
    Fleet_.run(Millis(1000));
  }
  FakeFleet Fleet_;
};

} // namespace

// Guards against a leader whose memory is filled by runs: each takes ten times the memory of a
// waiting task.
Test(SchedulerRunLimit, aCustomerLeavesHalfOfTheRunsToOthers) {
  Scene Small;
  cr_expect_eq(Small.Fleet_.runCount(), RunLimit / 2, "%zu runs", Small.Fleet_.runCount());
  cr_expect(Small.Fleet_.violations().empty());
}

// Guards against tasks that wait for the limit of runs and claim the room of the executors
// meanwhile, so that no other job gets advice.
Test(SchedulerRunLimit, anotherCustomersJobIsServed) {
  Scene Small;
  Small.Fleet_.submit("other", tests::makeJob(1, 500), "q", "two");
  Small.Fleet_.run(Millis(2000));
  cr_expect(Small.Fleet_.stateOf("other") == work::JobState::Completed);
  cr_expect(Small.Fleet_.violations().empty());
}
