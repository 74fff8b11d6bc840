// Leases of executors whose results arrive after they were reported as lost.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

// Guards against a second run of a task: leases were computed from a reading of the executor's slow
// clock that grew older with each late result, and outlasted the wait for the lost executor.
Test(SchedulerLateResultClock, aLostExecutorKeepsNoLongerLeaseThanTheLeaderWaitsFor) {
  for (const Millis Delay : {Millis(1000), Millis(1500), Millis(2000), Millis(2500)})
    for (const Millis LateFor : {Millis(10'000), Millis(30'000), Millis(60'000)}) {
      tests::FakeFleetOptions Options;
      Options.Relayed_ = true;
      tests::FakeFleet Fleet(Options);
      for (const char *Id : {"e0", "e1"})
        Fleet.addExecutor(Id, {4000, 8000, 0});
      Fleet.run(Millis(11'000));
      Fleet.submit("lasting", tests::makeLasting(1));
      Fleet.run(Millis(1000));
      cr_assert_eq(Fleet.runCount(), 1);
      Fleet.delayHoldResults(Delay);
      Fleet.run(LateFor);
      const auto Running = Fleet.executorsRunning("lasting");
      const int Before = Fleet.startsOf({"lasting", 0, 0, 0});
      if (!Running.empty())
        Fleet.disconnect(Running.front(), Millis(25'000));
      Fleet.run(Millis(20'000));
      for (const std::string &Violation : Fleet.violations())
        cr_expect(false, "%s", Violation.c_str());
    }
}
