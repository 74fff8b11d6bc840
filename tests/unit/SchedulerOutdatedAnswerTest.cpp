// Answers that are outdated, or come from another incarnation than their order was meant for, and
// show a new incarnation.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <functional>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

constexpr const char *ExecutorId = "e0";
constexpr Millis DownTime{1};

/// Lets an executor with another task restart after a task's end was acknowledged, and its new
/// incarnation answer. A late start order of the task follows before the next report.
void playLateStart(const std::function<void(FakeFleet &, const fleet::Report &)> &Answer) {
  FakeFleetOptions Options;
  Options.LateOrdersSurviveRestart_ = true;
  Options.RestartListDelay_ = std::nullopt;
  FakeFleet Fleet(Options);
  Fleet.addExecutor(ExecutorId, {4000, 8000, 0});
  Fleet.run(Millis(100));
  Fleet.delayNextStarts({Millis(4000)});
  Fleet.submit("j1", tests::makeJob(1, 300));
  Fleet.submit("other", tests::makeJob(1, 60'000));
  Fleet.run(Millis(3700));
  cr_assert(Fleet.stateOf("j1") == work::JobState::Completed);
  cr_assert_eq(Fleet.executorsRunning("other").size(), 1);
  Fleet.crash(ExecutorId, DownTime);
  Fleet.run(DownTime);
  fleet::Report Report;
  Report.IncarnationStartMs_ = Fleet.nowMs();
  Report.ClockMs_ = 1;
  Fleet.run(Millis(50));
  cr_assert(Fleet.isUp(ExecutorId));
  Answer(Fleet, Report);
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s", Violation.c_str());
}

} // namespace

// Guards against a start after the acknowledged end of the task: the leader drops the answer of a
// new incarnation because it has one to a newer request, and sends no stop in time.
Test(SchedulerOutdatedAnswer, anAnswerToAnEarlierRequestShowsANewIncarnation) {
  playLateStart([](FakeFleet &Fleet, const fleet::Report &Report) {
    constexpr Millis Age{3000}; // a later request was answered
    Fleet.leader().onHoldResult(ExecutorId, fleet::OrderOutcome::Done, Report, Fleet.now() - Age,
                                Fleet.now());
  });
}

// Guards against the same by a result that counted as lost before.
Test(SchedulerOutdatedAnswer, aLateResultShowsANewIncarnation) {
  playLateStart([](FakeFleet &Fleet, const fleet::Report &Report) {
    Fleet.leader().onLateHoldResult(ExecutorId, Report, Fleet.now());
  });
}

// Guards against the same by the answer to a stop.
Test(SchedulerOutdatedAnswer, theAnswerToAStopShowsANewIncarnation) {
  playLateStart([](FakeFleet &Fleet, const fleet::Report &) { Fleet.cancel("other"); });
}
