// Runs that lapse before their job is read, and a further change of the leader.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

// Guards against a second run of a task that has completed: a leader gave its run up with the lease
// before it had read the job, recorded that the silent executor has no runs, and was replaced
// before the voided run was stored.
Test(SchedulerLapseBeforeRead, aLaterLeaderKnowsTheRunsThatWereGivenUp) {
  for (const int TimeBeforeTakeover : {100, 4000})
    for (int Lead = 6000; Lead <= 13'000; Lead += 250) {
      tests::FakeFleetOptions Options;
      tests::FakeFleet Fleet(Options);
      for (const char *Id : {"e0", "e1"})
        Fleet.addExecutor(Id, {4000, 8000, 0});
      Fleet.run(Millis(11'000));
      Fleet.submit("j1", tests::makeJob(1, 1000));
      Fleet.run(Millis(500));
      cr_assert_eq(Fleet.executorsRunning("j1").size(), 1);
      Fleet.disconnect(Fleet.executorsRunning("j1").front(), Millis(25'000));
      Fleet.run(Millis(TimeBeforeTakeover));
      Fleet.delayJobRead("j1", Millis(20'000));
      Fleet.takeOver();
      Fleet.run(Millis(Lead));
      Fleet.takeOver();
      Fleet.run(Millis(60'000));
      cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
      for (const std::string &Violation : Fleet.violations())
        cr_expect(false, "second takeover %d ms after the first, %d ms after the loss: %s", Lead,
                  TimeBeforeTakeover, Violation.c_str());
    }
}
