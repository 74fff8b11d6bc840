// How long a task that lasts stays down when its executor is lost or an order is lost on the way.
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
/// Longest time between two requests to an executor on which nothing ends.
constexpr Millis HoldCycle{2000};
constexpr Millis CycleStep{100};
constexpr Millis MeasureStep{10};

FakeFleetOptions orders(bool Relayed) {
  FakeFleetOptions Options;
  Options.Relayed_ = Relayed;
  return Options;
}

/// Starts the task on "first". It would start next on "second" and then on "third", because larger
/// executors are less loaded by it.
void startOnFirst(FakeFleet &Fleet, Millis Offset) {
  Fleet.addExecutor("first", {16'000, 8000, 0});
  Fleet.addExecutor("second", {8000, 8000, 0});
  Fleet.addExecutor("third", {4000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("lasting", tests::makeLasting(1));
  Fleet.run(Millis(3000) + Offset);
  cr_assert_eq(Fleet.executorsRunning("lasting"), std::vector<std::string>{"first"});
}

/// \returns the time until the task runs on \p Executor, or a time beyond all bounds.
Millis measureGap(FakeFleet &Fleet, const std::string &Executor) {
  constexpr Millis MaxTime{30'000};
  Millis Gap{0};
  while (Gap < MaxTime && Fleet.executorsRunning("lasting") != std::vector<std::string>{Executor}) {
    Fleet.run(MeasureStep);
    Gap += MeasureStep;
  }
  return Gap;
}

void expectInTime(FakeFleet &Fleet, Millis Gap, bool Relayed, Millis Offset) {
  cr_expect_leq(Gap.count(), MaxRestartGap.count(),
                "down for %ld ms (%s, lost %ld ms into the cycle of requests)",
                static_cast<long>(Gap.count()), Relayed ? "relayed" : "direct",
                static_cast<long>(Offset.count()));
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}

template <typename Scenario> void forEachMoment(Scenario Play) {
  for (const bool Relayed : {false, true})
    for (Millis Offset{0}; Offset < HoldCycle; Offset += CycleStep)
      Play(Relayed, Offset);
}

} // namespace

// --- The executor is lost ---

// Guards against a lost executor whose lease is prolonged by requests that it does not answer: its
// tasks stay down for longer than a lease.
Test(SchedulerRestartGap, tasksOfALostExecutorStartAgainInTime) {
  forEachMoment([](bool Relayed, Millis Offset) {
    FakeFleet Fleet(orders(Relayed));
    startOnFirst(Fleet, Offset);
    Fleet.crash("first", ForGood);
    expectInTime(Fleet, measureGap(Fleet, "second"), Relayed, Offset);
  });
}

// --- A start order is lost ---

// Guards against a start order to an executor that has just been lost: each repetition prolonged
// the lease that has to be waited for.
Test(SchedulerRestartGap, aStartAtALostExecutorCostsOneLease) {
  forEachMoment([](bool Relayed, Millis Offset) {
    FakeFleet Fleet(orders(Relayed));
    startOnFirst(Fleet, Offset);
    Fleet.crash("second", ForGood);
    Fleet.drain("first", Millis(60'000));
    while (!Fleet.executorsRunning("lasting").empty())
      Fleet.run(MeasureStep);
    expectInTime(Fleet, measureGap(Fleet, "third"), Relayed, Offset);
  });
}

// Guards against a run that may start late and keeps its task down although its executor answers.
Test(SchedulerRestartGap, aLateStartOrderIsSettledWhereTheExecutorAnswers) {
  forEachMoment([](bool Relayed, Millis Offset) {
    FakeFleet Fleet(orders(Relayed));
    startOnFirst(Fleet, Offset);
    Fleet.delayNextStarts({Millis(11'000), Millis(11'000), Millis(11'000)});
    Fleet.drain("first", Millis(60'000));
    while (!Fleet.executorsRunning("lasting").empty())
      Fleet.run(MeasureStep);
    Millis Gap{0};
    for (; Gap < Millis(30'000) && Fleet.executorsRunning("lasting").empty(); Gap += MeasureStep)
      Fleet.run(MeasureStep);
    expectInTime(Fleet, Gap, Relayed, Offset);
    Fleet.run(Millis(15'000));
    expectInTime(Fleet, Gap, Relayed, Offset);
  });
}
