// Tests of the notes on why steps wait.
#include "masticdrift/lead/WaitReason.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using lead::StepWait;
using lead::WaitLogBudget;
using lead::WaitReason;

namespace {

constexpr core::TimePoint Begin{std::chrono::hours(1)};

} // namespace

// Guards against a line in each placement pass, and against none for a step that is passed over.
Test(WaitReason, isLoggedOnceAfterASecond) {
  WaitLogBudget Budget;
  StepWait Noted;
  int Lines = 0;
  for (Millis Time(0); Time < Millis(3000); Time += Millis(50)) {
    lead::noteWait(Noted, WaitReason::Covered, Begin + Time);
    const bool Logged = Budget.take(Noted, Begin + Time);
    cr_expect(!Logged || Time >= Millis(1000));
    Lines += Logged ? 1 : 0;
  }
  cr_expect_eq(Lines, 1);
}

// Guards against a wait that counts time before the step was asked for or started.
Test(WaitReason, beginsAnewWithAnotherReason) {
  WaitLogBudget Budget;
  StepWait Noted;
  lead::noteWait(Noted, WaitReason::Covered, Begin);
  lead::noteWait(Noted, WaitReason::None, Begin + Millis(900));
  lead::noteWait(Noted, WaitReason::Covered, Begin + Millis(901));
  cr_expect(!Budget.take(Noted, Begin + Millis(1500)));
  cr_expect(Budget.take(Noted, Begin + Millis(1901)));
}

// Guards against a backlog that fills the log.
Test(WaitReason, linesAreBounded) {
  WaitLogBudget Budget;
  int Lines = 0;
  for (int I = 0; I < 1000; ++I) {
    StepWait Noted;
    lead::noteWait(Noted, WaitReason::CustomerLimit, Begin);
    Lines += Budget.take(Noted, Begin + Millis(1500)) ? 1 : 0;
  }
  cr_expect_eq(Lines, 20);
}

// Guards against reasons whose names were not added or are used twice.
Test(WaitReason, reasonsHaveNames) {
  lead::WaitCounts Counts;
  Counts.fill(1);
  const std::string Text = lead::describeCounts(Counts);
  cr_expect_eq(
      Text,
      "none 1, earlier_runs 1, starts_in_flight 1, customer_limit 1, customer_reserve 1, "
      "overdue_turn 1, suspect 1, no_room 1, advice_pending 1, covered 1, retry_delay 1, "
      "exhausted_need 1, all_advised 1, call_limit 1, allowed_regions 1, urgent_reserve 1, "
      "run_limit 1",
      "%s", Text.c_str());
}
