// When a daemon claims the leadership, the table of jobs, and how calls for advice are spread.
#include "masticdrift/lead/Election.h"
#include "masticdrift/daemon/AdviceDesk.h"
#include "masticdrift/work/Ledger.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint Start{std::chrono::hours(1)};

lead::ElectionView viewAt(Millis SinceNews, const lead::LeadRecord *Newest) {
  lead::ElectionView View;
  View.Now_ = Start + SinceNews;
  View.ReadAt_ = View.Now_;
  View.NewsAt_ = Start;
  View.Newest_ = Newest;
  View.WallMs_ = 1'000'000;
  return View;
}

} // namespace

// --- Election ---

Test(Election, aSilentLeaderIsReplacedAndABeatingOneIsNot) {
  const lead::LeadRecord Beat{"a", "x", 5, false, 1'000'000, "i", {}};
  const lead::ElectionTiming Times;
  cr_expect(!lead::shouldClaim(viewAt(Times.Silence_ - Millis(1), &Beat), Times));
  cr_expect(lead::shouldClaim(viewAt(Times.Silence_, &Beat), Times));
}

// Guards against a takeover by a daemon that itself has lost the store.
Test(Election, whoDoesNotReachTheStoreClaimsNothing) {
  const lead::LeadRecord Beat{"a", "x", 5, false, 1'000'000, "i", {}};
  lead::ElectionView View = viewAt(Millis(10'000), &Beat);
  View.ReadAt_ = Start;
  cr_expect(!lead::shouldClaim(View, {}));
}

Test(Election, aGoneOrReleasedLeaderIsReplacedSooner) {
  lead::LeadRecord Beat{"a", "x", 5, false, 1'000'000, "i", {}};
  lead::ElectionView View = viewAt(Millis(600), &Beat);
  View.Refused_ = true;
  cr_expect(lead::shouldClaim(View, {}));
  View.Refused_ = false;
  cr_expect(!lead::shouldClaim(View, {}));
  Beat.Released_ = true;
  cr_expect(lead::shouldClaim(View, {}));
}

// After all machines were down, the record's own age counts.
Test(Election, anOldRecordFoundOnStartNeedsNoFurtherSilence) {
  const lead::LeadRecord Beat{"a", "x", 5, false, 1'000'000 - 5000, "i", {}};
  lead::ElectionView View = viewAt(Millis(10), &Beat);
  cr_expect(!lead::shouldClaim(View, {}));
  View.FoundOnStart_ = true;
  cr_expect(lead::shouldClaim(View, {}));
}

Test(Election, claimsAreStaggeredByRank) {
  lead::ElectionView View = viewAt(Millis(2300), nullptr);
  View.Rank_ = 7;
  View.GoneSince_ = View.Now_;
  const lead::LeadRecord Beat{"a", "x", 5, false, 1'000'000, "i", {}};
  View.Newest_ = &Beat;
  cr_expect(!lead::shouldClaim(View, {}));
  View.Rank_ = 0;
  cr_expect(lead::shouldClaim(View, {}));
}

// Pattern: the store or all machines were away for seconds. Guards against claims of all daemons at
// the same moment, one of which may be the smallest machine.
Test(Election, claimsAreStaggeredAfterALongOutageToo) {
  const lead::LeadRecord Beat{"a", "x", 5, false, 1'000'000 - 20'000, "i", {}};
  const lead::ElectionTiming Times;
  lead::ElectionView View = viewAt(Millis(10), &Beat);
  View.FoundOnStart_ = true;
  View.GoneSince_ = View.Now_;
  View.Rank_ = 8;
  cr_expect(!lead::shouldClaim(View, Times));
  View.Now_ = View.ReadAt_ = View.GoneSince_ + 8 * Times.Stagger_;
  cr_expect(lead::shouldClaim(View, Times));
}

// Guards against a takeover that is slow because turns begin only after the loss was noticed.
Test(Election, turnsRunWhileTheLossIsBeingNoticed) {
  const lead::LeadRecord Beat{"a", "x", 5, false, 1'000'000, "i", {}};
  const lead::ElectionTiming Times;
  lead::ElectionView View = viewAt(Times.SilenceWhenRefused_ + 4 * Times.Stagger_, &Beat);
  View.Refused_ = true;
  View.GoneSince_ = View.Now_;
  View.Rank_ = 4;
  cr_expect(lead::shouldClaim(View, Times));
  View.Rank_ = 5;
  cr_expect(!lead::shouldClaim(View, Times));
}

// Pattern: two regions, the store in one of them. Guards against a leader in the other region,
// whose every append takes a long way and whose term ends when the regions are cut from each other.
Test(Election, whoIsFarFromTheStoreClaimsLater) {
  const lead::LeadRecord Beat{"a", "x", 5, false, 1'000'000, "i", {}};
  const lead::ElectionTiming Times;
  lead::ElectionView View = viewAt(Times.Silence_, &Beat);
  View.GoneSince_ = View.Now_;
  View.StoreTime_ = Millis(18);
  cr_expect(!lead::shouldClaim(View, Times));
  View.Now_ = View.ReadAt_ = View.Now_ + 3 * Times.Stagger_;
  cr_expect(!lead::shouldClaim(View, Times), "three near daemons have their turns first");
  // At a store that is slow for everyone, nobody waits for long.
  View.StoreTime_ = Millis(3000);
  View.Now_ = View.ReadAt_ = View.GoneSince_ + 4 * Times.Stagger_;
  cr_expect(lead::shouldClaim(View, Times));
}

// Pattern: a large fleet with a few larger machines. Guards against a leader on the smallest
// machine, which can't keep up with the executors.
Test(Election, smallMachinesClaimAfterLargerOnes) {
  for (int I = 0; I < 50; ++I)
    for (int K = 0; K < 50; ++K)
      cr_expect_lt(lead::rankOf("large-" + std::to_string(I), 0.25),
                   lead::rankOf("small-" + std::to_string(K), 0.12));
}

// --- The table of jobs ---

Test(JobTable, recordsInAnyNumberGiveTheSameTable) {
  work::JobTable Table;
  work::AcceptedRecord Job;
  Job.Queue_.Name_ = "q";
  const work::LogRecord Accepted = work::encodeAccepted("j", Job);
  cr_expect(Table.apply(3, Accepted.Key_, Accepted.Value_).Kind_ ==
            work::JobTableChange::Kind::Accepted);
  cr_expect(Table.apply(9, Accepted.Key_, Accepted.Value_).Kind_ ==
            work::JobTableChange::Kind::None);
  cr_expect_eq(Table.pendingCount("q"), 1);
  work::ProgressRecord Progress;
  Progress.State_ = work::JobState::Completed;
  const work::LogRecord Final = work::encodeProgress("j", Progress);
  Table.apply(7, Final.Key_, Final.Value_);
  // An older record that is read again must not bring the job back.
  Progress.State_ = work::JobState::Running;
  const work::LogRecord Older = work::encodeProgress("j", Progress);
  Table.apply(5, Older.Key_, Older.Value_);
  cr_expect(Table.find("j")->state() == work::JobState::Completed);
  cr_expect_eq(Table.pendingCount("q"), 0);
  for (const work::LogRecord &One : work::encodeTombstones("j"))
    Table.apply(11, One.Key_, One.Value_);
  cr_expect_null(Table.find("j"));
}

// Guards against a job that a leader starts without its steps, and against steps that stay in
// memory after the job has ended.
Test(JobTable, stepsComeBeforeOrAfterTheRecord) {
  work::JobSpec Spec;
  Spec.Steps_.resize(2);
  const std::string Steps = work::encodeSpec("j", Spec).Value_;
  const work::LogRecord Accepted = work::encodeAccepted("j", {});
  work::JobTable Before;
  cr_expect(Before.applySpec("j", Steps).Kind_ == work::JobTableChange::Kind::Specified);
  cr_expect_null(Before.find("j"), "steps alone are no job");
  Before.apply(1, Accepted.Key_, Accepted.Value_);
  cr_expect(Before.find("j")->HasSpec_);
  cr_expect_eq(Before.find("j")->Spec_.Steps_.size(), 2);
  work::JobTable After;
  After.apply(1, Accepted.Key_, Accepted.Value_);
  cr_expect_not(After.find("j")->HasSpec_);
  After.applySpec("j", Steps);
  cr_expect(After.find("j")->HasSpec_);
  work::ProgressRecord Progress;
  Progress.State_ = work::JobState::Completed;
  const work::LogRecord Final = work::encodeProgress("j", Progress);
  After.apply(2, Final.Key_, Final.Value_);
  cr_expect(After.find("j")->Spec_.Steps_.empty());
  cr_expect(After.applySpec("j", Steps).Kind_ == work::JobTableChange::Kind::None);
}

// Guards against a completed job that a late cancel turns into a cancelled one.
Test(JobTable, aFinalStateStays) {
  work::JobTable Table;
  const work::LogRecord Accepted = work::encodeAccepted("j", {});
  Table.apply(1, Accepted.Key_, Accepted.Value_);
  work::ProgressRecord Progress;
  Progress.State_ = work::JobState::Completed;
  const work::LogRecord Final = work::encodeProgress("j", Progress);
  Table.apply(2, Final.Key_, Final.Value_);
  const work::LogRecord Cancel = work::encodeCancelled("j", {5});
  Table.apply(3, Cancel.Key_, Cancel.Value_);
  cr_expect(Table.find("j")->state() == work::JobState::Completed);
}

Test(JobTable, unreadableRecordsChangeNothing) {
  work::JobTable Table;
  cr_expect(Table.apply(1, "aj", "\xc1").Kind_ == work::JobTableChange::Kind::Unreadable);
  cr_expect_null(Table.find("j"));
}

// --- Advice ---

// Pattern: long calls for batches arrive before short ones for urgent checks. Guards against
// checks that wait behind them at every daemon.
Test(Advice, longCallsLeaveADaemonToShortOnes) {
  std::vector<std::pair<std::string, double>> Sent;
  daemon::AdviceDesk Desk([&](const std::string &Adviser, const daemon::AdviceJob &Job) {
    Sent.emplace_back(Adviser, Job.ExpectedMs_);
  });
  Desk.offer("", Start);
  Desk.offer("p1", Start);
  Desk.offer("p2", Start);
  for (int I = 0; I < 5; ++I)
    Desk.ask({{}, {}, 500, {2, Start}}, Start);
  cr_assert_eq(Sent.size(), 2);
  Desk.ask({{}, {}, 30, {0, Start}}, Start);
  cr_assert_eq(Sent.size(), 3);
  cr_expect(Sent.back().first.empty());
  // One free daemon is kept; with a second one the next long call goes out.
  Desk.done("p1", true, Start);
  cr_expect_eq(Sent.size(), 3);
  Desk.done("", true, Start);
  cr_expect_eq(Sent.size(), 4);
}

// Guards against an adviser that is asked again and again though it does not answer.
Test(Advice, anAdviserWithoutAnswerRests) {
  std::vector<std::string> Sent;
  daemon::AdviceDesk Desk(
      [&](const std::string &Adviser, const daemon::AdviceJob &) { Sent.push_back(Adviser); });
  Desk.offer("", Start);
  Desk.offer("p1", Start);
  Desk.ask({{}, {}, 30, {0, Start}}, Start);
  cr_assert(Sent.back() == "p1");
  Desk.done("p1", false, Start);
  Desk.ask({{}, {}, 30, {0, Start}}, Start);
  cr_expect(Sent.back().empty());
}
