// Tests of progress estimates and move decisions, which are based on reported percentages.
#include "masticdrift/lead/Progress.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint Start{std::chrono::hours(1)};

/// \returns the progress of a run that started at Start and reports \p PerReport percent more every
/// 200 ms.
lead::Progress runOf(int Reports, int PerReport) {
  lead::Progress Result;
  Result.StartedAt_ = Start;
  for (int I = 1; I <= Reports; ++I)
    lead::addSample(Result, I * PerReport, Start + I * Millis(200));
  return Result;
}

} // namespace

// --- Runs with progress ---

Test(Progress, remainingTimeFollowsTheRate) {
  const lead::Progress Run = runOf(3, 10);
  const auto TimeLeft = lead::remainingTime(Run, Start + Millis(600));
  cr_assert(TimeLeft.has_value());
  cr_expect_eq(TimeLeft->count(), 1400);
  cr_expect_not(lead::isStalled(Run, Millis(2000), Start + Millis(600)));
}

Test(Progress, noEstimateBeforeTheFirstReport) {
  lead::Progress Run;
  Run.StartedAt_ = Start;
  cr_expect_not(lead::remainingTime(Run, Start + Millis(5000)).has_value());
  cr_expect_not(lead::isStalled(Run, Millis(100), Start + Millis(5000)));
}

// Guards against a rate that includes the work restored from a checkpoint.
Test(Progress, resumedRunUsesItsOwnRate) {
  lead::Progress Run;
  Run.StartedAt_ = Start;
  Run.FromStart_ = false;
  lead::addSample(Run, 60, Start + Millis(200));
  lead::addSample(Run, 64, Start + Millis(600));
  cr_expect_eq(lead::remainingTime(Run, Start + Millis(600))->count(), 3600);
}

// --- Stalled runs ---

Test(Progress, stalledAfterSeveralUnchangedReports) {
  lead::Progress Run = runOf(2, 10);
  for (int I = 3; I <= 6; ++I)
    lead::addSample(Run, 20, Start + I * Millis(200));
  cr_expect(lead::isStalled(Run, Millis(2000), Start + Millis(1200)));
}

// Guards against long tasks being treated as stalled because their percentage rises rarely.
Test(Progress, longRunsMayRepeatAPercentage) {
  lead::Progress Run;
  Run.StartedAt_ = Start;
  for (int I = 1; I <= 20; ++I)
    lead::addSample(Run, I / 5, Start + I * Millis(200));
  cr_expect_not(lead::isStalled(Run, Millis(100'000), Start + Millis(4000)));
}

// Guards against treating runs on a silent executor as stalled: they may still make progress.
Test(Progress, silentRunIsNotStalled) {
  const lead::Progress Run = runOf(2, 10);
  cr_expect_not(lead::isStalled(Run, Millis(2000), Start + Millis(9000)));
}

// --- Move decisions and run time estimates ---

Test(ShouldMove, onlyWhenComparableRunsAreMuchFaster) {
  const lead::Progress Slow = runOf(5, 2);
  const core::TimePoint Now = Start + Millis(1000);
  cr_expect(lead::shouldMove({Slow, Millis(800), Millis(400)}, Now));
  cr_expect_not(lead::shouldMove({Slow, std::nullopt, Millis(400)}, Now));
  cr_expect_not(lead::shouldMove({Slow, Millis(8000), Millis(400)}, Now));
}

Test(RunTimeRatio, isTrustedWhenManyRunsAgree) {
  lead::RunTimeRatio Agreeing;
  lead::RunTimeRatio Scattered;
  for (int I = 0; I < 20; ++I) {
    lead::addSample(Agreeing, 1.9 + 0.2 * (I % 2));
    lead::addSample(Scattered, I % 2 == 0 ? 0.3 : 4);
  }
  cr_assert(lead::trustedRatio(Agreeing).has_value());
  cr_expect(*lead::trustedRatio(Agreeing) > 1.8 && *lead::trustedRatio(Agreeing) < 2.2);
  cr_expect_not(lead::trustedRatio(Scattered).has_value());
}

// Guards against avoiding an executor after it has recovered.
Test(Slowness, decaysOverTime) {
  lead::Slowness Estimate;
  for (int I = 0; I < 10; ++I)
    lead::addSample(Estimate, 6, Start);
  cr_expect(lead::slownessFactor(Estimate, Start) > 4);
  cr_expect(lead::slownessFactor(Estimate, Start + Millis(15'000)) < 1.2);
}
