// Starts that reach a new incarnation which the leader has not met, before the executor is lost.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

/// \returns the number of violations.
std::size_t play(bool Relayed, Millis Offset, Millis Cut) {
  tests::FakeFleetOptions Options;
  Options.Relayed_ = Relayed;
  tests::FakeFleet Fleet(Options);
  Fleet.addExecutor("e0", {16'000, 8000, 0});
  Fleet.addExecutor("e1", {4000, 8000, 0});
  Fleet.run(Millis(15'000) + Offset);
  Fleet.crash("e0", Millis(10));
  Fleet.run(Millis(20));
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  Spec.Steps_.resize(1);
  Spec.Steps_[0].TaskCount_ = 1;
  Spec.Steps_[0].Need_ = {1000, 100, 0};
  Spec.Steps_[0].EstimatedMs_ = 30'000;
  Fleet.loseNextStartAnswer();
  Fleet.submit("j1", Spec);
  int Ms = 0;
  for (; Ms < 2000 && Fleet.startsOf({"j1", 0, 0, 0}) == 0; Ms += 5)
    Fleet.run(Millis(5));
  if (Fleet.executorsRunning("j1") == std::vector<std::string>{"e0"})
    Fleet.disconnect("e0", Cut);
  Fleet.run(Millis(40'000));
  return Fleet.violations().size();
}

} // namespace

// Guards against a second run of a task on an executor that restarted just before it was cut off.
Test(SchedulerUnmetLease, aStartAtAnUnmetIncarnationRunsOnce) {
  for (const bool Relayed : {false, true})
    for (const int Cut : {4000, 5000, 6000, 7000, 8000, 9000, 12'000}) {
      int Bad = 0;
      int Cases = 0;
      for (int Offset = 0; Offset < 2000; Offset += 50, ++Cases)
        Bad += play(Relayed, Millis(Offset), Millis(Cut)) > 0 ? 1 : 0;
      cr_expect_eq(Bad, 0, "%d of %d moments, cut for %d ms, %s", Bad, Cases, Cut,
                   Relayed ? "relayed" : "direct");
    }
}
