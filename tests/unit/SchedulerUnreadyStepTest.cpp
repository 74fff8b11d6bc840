// Runs of steps that are not ready by what is stored when another leader takes over.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <cstdlib>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

constexpr std::uint32_t FirstStep = 0;
constexpr std::uint32_t SecondStep = 1;

work::TaskRef taskOf(std::uint32_t Step) { return {"j1", 0, Step, 0}; }

} // namespace

// Guards against a second run of a completed task: its step was begun before the completion of the
// step before it was stored, the executor of that one has left with its ends, and the leases of the
// silent one that ran the task have lapsed when the step is begun anew.
Test(SchedulerUnreadyStep, theCompletionOfAStepThatIsBegunAnewIsNotUsed) {
  tests::FakeFleetOptions Options;
  Options.Trace_ = std::getenv("MASTICDRIFT_TRACE") != nullptr;
  tests::FakeFleet Fleet(Options);
  for (const char *Id : {"e0", "e1", "e2"})
    Fleet.addExecutor(Id, {4000, 8000, 0});
  Fleet.run(Millis(11'000));
  Fleet.submit("j1", tests::makeJob(1, 1000, 2));
  Fleet.run(Millis(500));
  cr_assert_eq(Fleet.startsOf(taskOf(FirstStep)), 1);
  const std::string First = Fleet.executorsRunning("j1").front();
  Fleet.drain(First, Millis(60'000));
  Fleet.holdProgress(true);
  Fleet.run(Millis(900));
  cr_assert_eq(Fleet.startsOf(taskOf(SecondStep)), 1);
  const std::string Second = Fleet.executorsRunning("j1").front();
  cr_assert_neq(First, Second);
  Fleet.disconnect(Second, Millis(20'000));
  Fleet.shutDown(First);
  Fleet.loseLeader();
  Fleet.run(Millis(1000));
  Fleet.takeOver();
  Fleet.holdProgress(false);
  Fleet.run(Millis(60'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}
