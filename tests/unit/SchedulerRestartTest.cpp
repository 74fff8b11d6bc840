// Tests of the scheduler with executors that start again under the same id while orders to their
// earlier incarnation are on their way or have no answer.
#include "support/FakeFleet.h"

#include <cstdlib>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

work::JobSpec makeJob(std::uint32_t Tasks, std::int64_t Ms, std::uint32_t Steps = 1) {
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  for (std::uint32_t I = 0; I < Steps; ++I) {
    work::StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.Need_ = {1000, 100, 0};
    Step.EstimatedMs_ = Ms;
    if (I > 0)
      Step.DependsOn_ = {I - 1};
    Spec.Steps_.push_back(Step);
  }
  return Spec;
}

/// \returns options with late orders that reach later incarnations; MASTICDRIFT_TRACE_SEED requests
/// the decisions of a seed, 0 stands for the tests without seeds.
FakeFleetOptions makeOptions(unsigned Seed = 0) {
  FakeFleetOptions Options;
  const char *Traced = std::getenv("MASTICDRIFT_TRACE_SEED");
  Options.Trace_ = Traced != nullptr && std::to_string(Seed) == Traced;
  Options.LateOrdersSurviveRestart_ = true;
  if (Seed > 0)
    Options.Seed_ = Seed;
  return Options;
}

void addExecutors(FakeFleet &Fleet, int Count, std::int64_t Cores = 4) {
  for (int I = 0; I < Count; ++I)
    Fleet.addExecutor("e" + std::to_string(I), {Cores * 1000, 8000, 0});
  Fleet.run(Millis(100));
}

void expectNoViolations(const FakeFleet &Fleet, unsigned Seed = 0) {
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "seed %u: %s", Seed, Violation.c_str());
}

} // namespace

// A report lists a run whose start order is still waiting for its answer; then the executor
// restarts. Guards against a run that is neither repeated nor given up, so that its job never ends
// (seed 572 of the random faults).
Test(SchedulerRestart, confirmedRunWithAnOrderInFlightIsNotForgotten) {
  FakeFleet Fleet(makeOptions());
  addExecutors(Fleet, 1);
  Fleet.submit("short", makeJob(1, 100));
  Fleet.run(Millis(100));
  // While an end is not durable, hold requests are answered at once.
  Fleet.setStoreDown(true);
  Fleet.loseNextStartAnswer();
  Fleet.submitBegun("long", makeJob(1, 4000), Fleet.term());
  Fleet.run(Millis(150));
  cr_assert_eq(Fleet.startsOf({"long", 0, 0, 0}), 1);
  Fleet.crash("e0", Millis(1));
  Fleet.run(Millis(1000));
  Fleet.setStoreDown(false);
  Fleet.run(Millis(20'000));
  cr_expect(Fleet.stateOf("long") == work::JobState::Completed);
  expectNoViolations(Fleet);
}
