// Which jobs are accepted under a backlog: a customer's surge, a full pool, and jobs that can never
// run.
#include "masticdrift/lead/Admission.h"
#include "masticdrift/lead/RateTokens.h"

#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using core::Resources;
using lead::AdmissionControl;
using lead::AdmissionDecision;
using lead::AdmissionOutcome;
using lead::AdmissionRequest;
using lead::CapacityCatalog;
using lead::RateTokens;

namespace {

constexpr Resources TaskNeed{2000, 500, 0};
constexpr Resources CustomerLimit{100'000, 1'000'000, 0};
constexpr Resources PoolRoom{1'000'000, 4'000'000, 0};

/// A job of 0.6 s with an objective of 2 s, of no use after 6 s.
AdmissionRequest makeRequest(std::string_view JobId = "job") {
  AdmissionRequest Request;
  Request.Customer_ = "mfi";
  Request.Pool_ = "pool";
  Request.JobId_ = JobId;
  Request.Chain_ = Millis(600);
  Request.Objective_ = Millis(2000);
  Request.ValueExpiry_ = Millis(6000);
  Request.CustomerLimit_ = CustomerLimit;
  return Request;
}

AdmissionControl makeControl() {
  AdmissionControl Control;
  Control.beginSurvey();
  Control.addRoom("pool", PoolRoom);
  return Control;
}

/// Adds work that fills the customer's limit for \p Time.
void fillLimit(AdmissionControl &Control, Millis Time, int Priority = 0, bool InTime = true) {
  Control.add("mfi", "pool", Priority, InTime, lead::resourceTime(TaskNeed, 50, Time));
}

} // namespace

// --- A customer's surge ---

// Load: one customer submits several times its rate. Guards against a backlog that grows for
// minutes with jobs that are of no use before they start, and against refusals of jobs that would
// only be late: a quiet day of 1,100 executors had 102 of them, and nine jobs were not served.
Test(Admission, workBeyondTheRateStandsBehindAllOther) {
  AdmissionControl Control = makeControl();
  AdmissionRequest Surge = makeRequest();
  Surge.OverRate_ = true;
  fillLimit(Control, Millis(2500), 2);
  fillLimit(Control, Millis(2500), 0, false);
  cr_expect(Control.decide(Surge).Outcome_ == AdmissionOutcome::Accepted);
  fillLimit(Control, Millis(1000), 0, false);
  const AdmissionDecision Decision = Control.decide(Surge);
  cr_expect(Decision.Outcome_ == AdmissionOutcome::CustomerBacklog);
  cr_expect_eq(Decision.Wait_.count(), 6000);
  cr_expect(Control.decide(makeRequest()).Outcome_ == AdmissionOutcome::Accepted);
  cr_expect_geq(Decision.RetryAfter_.count(), 1000);
}

// Guards against refusals of work within the rate that is late at worst, and against jobs that are
// accepted although they can only be useless.
Test(Admission, workWithinTheRateIsRefusedOnlyWhenItWouldBeUseless) {
  AdmissionControl Control = makeControl();
  fillLimit(Control, Millis(5000));
  cr_expect(Control.decide(makeRequest()).Outcome_ == AdmissionOutcome::Accepted);
  fillLimit(Control, Millis(1000));
  cr_expect(Control.decide(makeRequest()).Outcome_ == AdmissionOutcome::CustomerBacklog);
}

// Guards against one customer's backlog that closes the doors to the others.
Test(Admission, otherCustomersAreNotRefused) {
  AdmissionControl Control = makeControl();
  fillLimit(Control, Millis(20'000));
  AdmissionRequest Other = makeRequest();
  Other.Customer_ = "coop";
  cr_expect(Control.decide(Other).Outcome_ == AdmissionOutcome::Accepted);
}

// Guards against urgent jobs that are refused because of work that starts after them.
Test(Admission, lessUrgentWorkDoesNotCount) {
  AdmissionControl Control = makeControl();
  fillLimit(Control, Millis(60'000), 2);
  fillLimit(Control, Millis(60'000), 0, false); // late, so it starts after work in time
  cr_expect(Control.decide(makeRequest()).Outcome_ == AdmissionOutcome::Accepted);
  AdmissionRequest Batch = makeRequest();
  Batch.Priority_ = 2;
  cr_expect(Control.decide(Batch).Outcome_ == AdmissionOutcome::CustomerBacklog);
}

// --- A full pool ---

// Load: all customers together submit more than the pool can do. Guards against jobs that wait in
// vain because no single customer is at its limit.
Test(Admission, aFullPoolIsNoticed) {
  AdmissionControl Control = makeControl();
  for (int I = 0; I < 20; ++I)
    Control.add("c" + std::to_string(I), "pool", 0, true,
                lead::resourceTime(TaskNeed, 50, Millis(3000)));
  cr_expect(Control.decide(makeRequest()).Outcome_ == AdmissionOutcome::PoolBacklog);
  AdmissionRequest Elsewhere = makeRequest();
  Elsewhere.Pool_ = "other";
  cr_expect(Control.decide(Elsewhere).Outcome_ == AdmissionOutcome::Accepted);
}

// Guards against refusals from a state that is not known: a leader that has just begun.
Test(Admission, withoutASurveyAllIsAccepted) {
  const AdmissionControl Control;
  cr_expect(Control.decide(makeRequest()).Outcome_ == AdmissionOutcome::Accepted);
}

// Guards against callers that all come back in the same second.
Test(Admission, returnsAreSpread) {
  AdmissionControl Control = makeControl();
  fillLimit(Control, Millis(8000));
  std::set<std::int64_t> Delays;
  for (int I = 0; I < 50; ++I) {
    const std::string Id = "job" + std::to_string(I);
    const AdmissionDecision Decision = Control.decide(makeRequest(Id));
    cr_assert(Decision.Outcome_ == AdmissionOutcome::CustomerBacklog);
    cr_expect_geq(Decision.RetryAfter_.count(), 8000 - 5400);
    Delays.insert(Decision.RetryAfter_.count());
  }
  cr_expect_gt(Delays.size(), 20);
}

// --- Jobs that can never run ---

// Guards against jobs that wait for good for an executor of their size.
Test(CapacityCatalog, tasksLargerThanAnyExecutorDoNotFit) {
  CapacityCatalog Catalog;
  Catalog.add("pool", {"a", "r1"}, {16'000, 32'768, 0});
  Catalog.add("pool", {"b", "r2"}, {8'000, 65'536, 0});
  cr_expect(Catalog.mayFit("pool", "", {16'000, 1000, 0}));
  cr_expect(Catalog.mayFit("pool", "", {1000, 65'536, 0}));
  cr_expect(!Catalog.mayFit("pool", "", {16'000, 65'536, 0}), "no executor has both");
  cr_expect(!Catalog.mayFit("pool", "", {1000, 1000, 1}), "there are no accelerators");
  cr_expect(!Catalog.mayFit("pool", "b", {16'000, 1000, 0}));
}

// Guards against refusals of what may fit when more is known.
Test(CapacityCatalog, whatIsNotKnownMayFit) {
  CapacityCatalog Catalog;
  cr_expect(Catalog.mayFit("pool", "", {1'000'000, 1000, 0}));
  Catalog.add("pool", {"a"}, {16'000, 32'768, 0});
  cr_expect(Catalog.mayFit("pool", "c", {16'000, 1000, 0}));
}

// --- A customer's rate ---

// Load: a customer submits long and urgent jobs at three times its rate. Guards against its long
// jobs going before its urgent ones because they came while there were tokens.
Test(RateTokens, urgentJobsTakeTheTokensOfOthers) {
  const core::TimePoint Start{std::chrono::hours(1)};
  constexpr double Rate = 10;
  RateTokens Tokens = lead::refilled({}, Rate, Start);
  int UrgentOver = 0;
  int LongOver = 0;
  for (int I = 0; I < 30; ++I) {
    Tokens = lead::refilled(Tokens, Rate, Start + Millis(100 * I));
    UrgentOver += lead::takeToken(Tokens, Rate, true) ? 1 : 0;
    LongOver += lead::takeToken(Tokens, Rate, false) ? 1 : 0;
    LongOver += lead::takeToken(Tokens, Rate, false) ? 1 : 0;
  }
  cr_expect_eq(UrgentOver, 0, "%d urgent jobs over a rate that they alone keep to", UrgentOver);
  cr_expect_geq(LongOver, 45, "%d", LongOver);
}

// Guards against a debt of urgent jobs that keeps others out for long after a surge.
Test(RateTokens, theDebtOfASurgeIsBounded) {
  const core::TimePoint Start{std::chrono::hours(1)};
  constexpr double Rate = 10;
  RateTokens Tokens = lead::refilled({}, Rate, Start);
  for (int I = 0; I < 1000; ++I) {
    Tokens = lead::refilled(Tokens, Rate, Start + Millis(10 * I));
    lead::takeToken(Tokens, Rate, true);
  }
  const RateTokens Later = lead::refilled(Tokens, Rate, Start + Millis(12'200));
  cr_expect(!lead::exceedsRate(Later, false));
}
