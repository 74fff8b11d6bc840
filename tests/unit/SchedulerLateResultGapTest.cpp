// How long a task that lasts stays down when results on a full link arrive after its executor was
// lost.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

// Guards against results on a full link that renew the lease of an executor after it was lost: its
// tasks stay down for longer than a lease.
Test(SchedulerLateResultGap, lateResultsDoNotProlongTheWaitForALostExecutor) {
  constexpr Millis MaxRestartGap{6000 + 3000};
  for (const Millis Delay : {Millis(0), Millis(500), Millis(1000), Millis(1500), Millis(2000)}) {
    Millis Longest{0};
    for (Millis Offset{0}; Offset < Millis(4000); Offset += Millis(100)) {
      tests::FakeFleetOptions Options;
      Options.Relayed_ = true;
      tests::FakeFleet Fleet(Options);
      Fleet.addExecutor("first", {16'000, 8000, 0});
      Fleet.addExecutor("second", {8000, 8000, 0});
      Fleet.run(Millis(11'000));
      Fleet.submit("lasting", tests::makeLasting(1));
      Fleet.run(Millis(1000));
      Fleet.delayHoldResults(Delay);
      Fleet.run(Millis(3000) + Offset);
      cr_assert_eq(Fleet.executorsRunning("lasting"), std::vector<std::string>{"first"});
      Fleet.crash("first", Millis(3'600'000));
      // The results that are on their way arrive late; all others are in time again.
      Fleet.delayHoldResults(Millis(0));
      Millis Gap{0};
      for (; Gap < Millis(30'000) && Fleet.executorsRunning("lasting").empty(); Gap += Millis(10))
        Fleet.run(Millis(10));
      Longest = std::max(Longest, Gap);
    }
    cr_expect_leq(Longest.count(), MaxRestartGap.count(),
                  "down for %ld ms with results %ld ms late", static_cast<long>(Longest.count()),
                  static_cast<long>(Delay.count()));
  }
}
