// A large fleet with a backlog, as after a takeover: starts travel through many relays, and each
// result takes tens of milliseconds.
#include "support/FakeFleet.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

constexpr int ExecutorCount = 200;
constexpr int TasksPerJob = 20;
constexpr int JobCount = 40;
/// One way; a batch waits for the one before it.
constexpr Millis RelayLatency{25};
/// Two round trips of start orders.
constexpr Millis FillTime{4 * RelayLatency.count()};
constexpr int RelayCount = 8;

work::JobSpec makeJob() {
  work::StepSpec Step;
  Step.TaskCount_ = TasksPerJob;
  Step.Need_ = {1000, 100, 0};
  Step.EstimatedMs_ = 5000;
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  Spec.Steps_ = {Step};
  return Spec;
}

/// \returns the runs after FillTime, with a limit for \p Relays machines.
std::size_t fillFleet(int Relays) {
  FakeFleetOptions Options;
  Options.Latency_ = RelayLatency;
  Options.Relayed_ = true;
  FakeFleet Fleet(Options);
  for (int I = 0; I < ExecutorCount; ++I)
    Fleet.addExecutor("e" + std::to_string(I), {4000, 8000, 0});
  Fleet.run(Millis(1000));
  Fleet.leader().setStartLimit(Relays * lead::SchedulerTiming{}.MaxStartsInFlight_);
  for (int I = 0; I < JobCount; ++I)
    Fleet.submit("j" + std::to_string(I), makeJob());
  Fleet.run(FillTime);
  cr_expect(Fleet.violations().empty());
  return Fleet.runCount();
}

} // namespace

// Guards against a fleet that fills slowly although most of it is free: the starts in flight were
// limited to what one small machine can send, whatever the number of relays.
Test(SchedulerStartLimit, aBacklogStartsAtOnceThroughManyRelays) {
  const std::size_t Runs = fillFleet(RelayCount);
  cr_expect_eq(Runs, static_cast<std::size_t>(TasksPerJob * JobCount), "%zu runs", Runs);
}

// Guards against a leader without relays that sends more starts than it can serve in time.
Test(SchedulerStartLimit, oneMachineKeepsToItsLimit) {
  cr_expect_leq(fillFleet(1),
                static_cast<std::size_t>(3 * lead::SchedulerTiming{}.MaxStartsInFlight_));
}
