// Occurrences that are due by the wall clock of one leader and not yet by that of the next.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

/// The clocks of two leaders differ by at most 10 s.
constexpr Millis ClockDifference{3000};

} // namespace

// Guards against a second run of a completed task: the next leader, whose clock is behind, has not
// taken up the occurrence when the leases of the silent executor that ran it lapse.
Test(SchedulerEarlyOccurrence, theCompletionOfAnOccurrenceThatIsBegunAnewIsNotUsed) {
  tests::FakeFleet Fleet({});
  for (const char *Id : {"e0", "e1"})
    Fleet.addExecutor(Id, {4000, 8000, 0});
  Fleet.run(Millis(11'000));
  work::JobSpec Spec = tests::makeJob(1, 1000);
  Spec.RunCount_ = 1;
  Spec.FirstRunMs_ = Fleet.nowMs() + 500;
  Spec.IntervalMs_ = 1000;
  Fleet.submit("j1", Spec);
  Fleet.run(Millis(800));
  cr_assert_eq(Fleet.executorsRunning("j1").size(), 1);
  Fleet.disconnect(Fleet.executorsRunning("j1").front(), Millis(25'000));
  Fleet.setLeaderClock(-ClockDifference);
  // The first heartbeat of the next leader is stored when the leases have lapsed.
  Fleet.setStoreDown(true);
  Fleet.takeOver();
  Fleet.run(Millis(11'000));
  Fleet.setStoreDown(false);
  Fleet.run(Millis(60'000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}
