// Tests of the leader election, the job ledger and the distribution of advice requests.
#include "masticdrift/lead/Election.h"
#include "masticdrift/daemon/AdviceDispatcher.h"
#include "masticdrift/work/Ledger.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint Start{std::chrono::hours(1)};

lead::ElectionView viewAt(Millis SinceNewest, const lead::LeadershipRecord *NewestRecord) {
  lead::ElectionView View;
  View.Now_ = Start + SinceNewest;
  View.LastReadAt_ = View.Now_;
  View.NewestReadAt_ = Start;
  View.LeaderAnsweredAt_ = View.Now_;
  View.NewestRecord_ = NewestRecord;
  View.WallMs_ = 1'000'000;
  return View;
}

} // namespace

// --- Election ---

Test(Election, leaderIsReplacedOnlyAfterTheSilenceTimeout) {
  const lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000, "i", {}};
  const lead::ElectionTiming Timing;
  cr_expect(!lead::shouldClaim(viewAt(Timing.SilenceTimeout_ - Millis(1), &Heartbeat), Timing));
  cr_expect(lead::shouldClaim(viewAt(Timing.SilenceTimeout_, &Heartbeat), Timing));
}

// Guards against a term that begins a second time, with run numbers that were used before, when a
// daemon reads its own heartbeat after it has given up the leadership.
Test(Election, onlyAClaimBeginsATerm) {
  lead::LeadershipRecord Record{"a", "x", 5, false, 1'000'000, "i", {}};
  cr_expect(lead::isClaim(Record, 4));
  cr_expect(!lead::isClaim(Record, 5));
  cr_expect(!lead::isClaim(Record, 9));
  Record.Released_ = true;
  cr_expect(!lead::isClaim(Record, 4));
}

// Guards against a takeover by a daemon that has itself lost the connection to the store.
Test(Election, daemonWithoutStoreAccessDoesNotClaim) {
  const lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000, "i", {}};
  lead::ElectionView View = viewAt(Millis(10'000), &Heartbeat);
  View.LastReadAt_ = Start;
  cr_expect(!lead::shouldClaim(View, {}));
}

Test(Election, unavailableOrReleasedLeaderIsReplacedSooner) {
  lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000, "i", {}};
  lead::ElectionView View = viewAt(Millis(600), &Heartbeat);
  View.LeaderUnavailable_ = true;
  cr_expect(lead::shouldClaim(View, {}));
  View.LeaderUnavailable_ = false;
  cr_expect(!lead::shouldClaim(View, {}));
  Heartbeat.Released_ = true;
  cr_expect(lead::shouldClaim(View, {}));
}

// Guards against a leader that is gone and counts as late for three heartbeats, although it does
// not answer other daemons either: nothing starts meanwhile.
Test(Election, aLeaderThatDoesNotAnswerIsReplacedSooner) {
  const lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000, "i", {}};
  const lead::ElectionTiming Timing;
  lead::ElectionView View = viewAt(2 * Timing.HeartbeatInterval_, &Heartbeat);
  View.LeaderAnsweredAt_ = Start;
  cr_expect(lead::shouldClaim(View, Timing));
}

// Guards against a leader that is replaced because of one lost answer, or a cut between two
// daemons.
Test(Election, aLeaderThatAnswersOrWritesIsNotReplacedSooner) {
  const lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000, "i", {}};
  const lead::ElectionTiming Timing;
  lead::ElectionView View = viewAt(2 * Timing.HeartbeatInterval_, &Heartbeat);
  View.LeaderAnsweredAt_ = Start + Millis(1);
  cr_expect(!lead::shouldClaim(View, Timing), "it has answered since");
  View = viewAt(2 * Timing.HeartbeatInterval_ - Millis(1), &Heartbeat);
  View.LeaderAnsweredAt_ = Start - Millis(10'000);
  cr_expect(!lead::shouldClaim(View, Timing), "its heartbeats arrive");
}

// Guards against a hand-over to a larger machine that a small one wins, which hands over in turn:
// nobody leads meanwhile.
Test(Election, afterAHandOverSmallMachinesWaitForTheMostDistantLargerOne) {
  const lead::LeadershipRecord Release{"a", "x", 5, true, 1'000'000, "i", {}};
  const lead::ElectionTiming Timing;
  lead::ElectionView View = viewAt(7 * Timing.ClaimInterval_ + Timing.MaxStoreDelay_, &Release);
  View.LeaderGoneSince_ = Start;
  View.Rank_ = 8;
  cr_expect(!lead::shouldClaim(View, Timing));
  View.Rank_ = 7;
  View.FastestStoreTime_ = Millis(100);
  cr_expect(lead::shouldClaim(View, Timing));
}

// After an outage of all machines, the age of the newest record counts as silence.
Test(Election, oldRecordFoundOnStartAllowsAnImmediateClaim) {
  const lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000 - 5000, "i", {}};
  lead::ElectionView View = viewAt(Millis(10), &Heartbeat);
  cr_expect(!lead::shouldClaim(View, {}));
  View.FoundOnStart_ = true;
  cr_expect(lead::shouldClaim(View, {}));
}

Test(Election, claimsAreStaggeredByRank) {
  lead::ElectionView View = viewAt(Millis(2300), nullptr);
  View.Rank_ = 7;
  View.LeaderGoneSince_ = View.Now_;
  const lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000, "i", {}};
  View.NewestRecord_ = &Heartbeat;
  cr_expect(!lead::shouldClaim(View, {}));
  View.Rank_ = 0;
  cr_expect(lead::shouldClaim(View, {}));
}

// After the store or all machines were unavailable for seconds, all daemons notice the loss at the
// same time. Guards against simultaneous claims, one of which may come from the smallest machine.
Test(Election, claimsAreStaggeredAfterALongOutage) {
  const lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000 - 20'000, "i", {}};
  const lead::ElectionTiming Timing;
  lead::ElectionView View = viewAt(Millis(10), &Heartbeat);
  View.FoundOnStart_ = true;
  View.LeaderGoneSince_ = View.Now_;
  View.Rank_ = 8;
  cr_expect(!lead::shouldClaim(View, Timing));
  View.Now_ = View.LastReadAt_ = View.LeaderGoneSince_ + 8 * Timing.ClaimInterval_;
  cr_expect(lead::shouldClaim(View, Timing));
}

// Guards against slow takeovers because the claim delays start only when the loss is noticed.
Test(Election, turnsCountFromTheSilenceTimeout) {
  const lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000, "i", {}};
  const lead::ElectionTiming Timing;
  lead::ElectionView View =
      viewAt(Timing.RefusedSilenceTimeout_ + 4 * Timing.ClaimInterval_, &Heartbeat);
  View.LeaderUnavailable_ = true;
  View.LeaderGoneSince_ = View.Now_;
  View.Rank_ = 4;
  cr_expect(lead::shouldClaim(View, Timing));
  View.Rank_ = 5;
  cr_expect(!lead::shouldClaim(View, Timing));
}

// Two regions, with the store in one of them. Guards against a leader in the other region, whose
// appends are slow and whose term ends when the connection between the regions fails.
Test(Election, distantDaemonsClaimLater) {
  const lead::LeadershipRecord Heartbeat{"a", "x", 5, false, 1'000'000, "i", {}};
  const lead::ElectionTiming Timing;
  lead::ElectionView View = viewAt(Timing.SilenceTimeout_, &Heartbeat);
  View.LeaderGoneSince_ = View.Now_;
  View.FastestStoreTime_ = Millis(18);
  cr_expect(!lead::shouldClaim(View, Timing));
  View.Now_ = View.LastReadAt_ = View.Now_ + 3 * Timing.ClaimInterval_;
  cr_expect(!lead::shouldClaim(View, Timing), "three daemons near the store claim first");
  // The delay is bounded, so that a store that is slow for all daemons does not delay them long.
  View.FastestStoreTime_ = Millis(3000);
  View.Now_ = View.LastReadAt_ = View.LeaderGoneSince_ + 4 * Timing.ClaimInterval_;
  cr_expect(lead::shouldClaim(View, Timing));
}

// A large fleet with a few larger machines. Guards against a leader on the smallest machine, which
// cannot keep up with the executors.
Test(Election, smallMachinesClaimAfterLargerOnes) {
  for (int I = 0; I < 50; ++I)
    for (int K = 0; K < 50; ++K)
      cr_expect_lt(lead::claimRank("large-" + std::to_string(I), 0.25),
                   lead::claimRank("small-" + std::to_string(K), 0.12));
}

// --- Job ledger ---

Test(JobTable, repeatedRecordsGiveTheSameTable) {
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
  // An older record that is read again must not reopen the job.
  Progress.State_ = work::JobState::Running;
  const work::LogRecord OlderEntry = work::encodeProgress("j", Progress);
  Table.apply(5, OlderEntry.Key_, OlderEntry.Value_);
  cr_expect(Table.find("j")->state() == work::JobState::Completed);
  cr_expect_eq(Table.pendingCount("q"), 0);
  for (const work::LogRecord &Entry : work::encodeTombstones("j"))
    Table.apply(11, Entry.Key_, Entry.Value_);
  cr_expect_null(Table.find("j"));
}

// Guards against jobs that are started without their steps.
Test(JobTable, stepsMayArriveBeforeOrAfterTheAcceptance) {
  work::JobSpec Spec;
  Spec.Steps_.resize(2);
  const std::string Steps = work::encodeSpec("j", Spec).Value_;
  const work::LogRecord Accepted = work::encodeAccepted("j", {});
  work::JobTable Before;
  cr_expect(Before.applySpec("j", Steps).Kind_ == work::JobTableChange::Kind::Specified);
  cr_expect_null(Before.find("j"), "steps alone do not make a job");
  Before.apply(1, Accepted.Key_, Accepted.Value_);
  cr_expect(Before.find("j")->HasSpec_);
  cr_expect_eq(Before.find("j")->Spec_.Steps_.size(), 2);
  work::JobTable After;
  After.apply(1, Accepted.Key_, Accepted.Value_);
  cr_expect_not(After.find("j")->HasSpec_);
  After.applySpec("j", Steps);
  cr_expect(After.find("j")->HasSpec_);
  cr_expect(After.applySpec("j", Steps).Kind_ == work::JobTableChange::Kind::None);
}

namespace {

/// Records of a job with two steps, of which the first is done.
struct EndedJobRecords {
  EndedJobRecords() {
    work::JobSpec Spec;
    Spec.Steps_.resize(2);
    Steps_ = work::encodeSpec("j", Spec).Value_;
    work::ProgressRecord Progress;
    Progress.State_ = work::JobState::Failed;
    Progress.Steps_.push_back({0, 0, {true}});
    Progress.Failures_.push_back({0, 1, 0, {7}});
    Final_ = work::encodeProgress("j", Progress);
  }
  void apply(work::JobTable &Table, std::uint64_t Offset, const work::LogRecord &Record) const {
    Table.apply(Offset, Record.Key_, Record.Value_);
  }

  work::LogRecord Accepted_ = work::encodeAccepted("j", {});
  std::string Steps_;
  work::LogRecord Final_;
};

void expectKept(const work::JobTable &Table) {
  cr_expect(Table.find("j")->HasSpec_);
  cr_expect_eq(Table.find("j")->Spec_.Steps_.size(), 2);
  cr_expect_eq(Table.find("j")->Progress_->Steps_.size(), 1);
  cr_expect_eq(Table.find("j")->Progress_->Failures_.size(), 1);
}

void expectDropped(const work::JobTable &Table) {
  cr_expect_not(Table.find("j")->HasSpec_);
  cr_expect(Table.find("j")->Spec_.Steps_.empty());
  cr_expect(Table.find("j")->Progress_->Steps_.empty());
  cr_expect(Table.find("j")->Progress_->Failures_.empty());
  cr_expect(Table.find("j")->state() == work::JobState::Failed);
}

} // namespace

// Guards against a leader that cannot tell what the runs of an ended job use, and against steps
// that stay in memory, or come back, after their removal from the log was read.
Test(JobTable, anEndedJobKeepsItsStepsUntilTheirRemovalIsRead) {
  const EndedJobRecords Records;
  work::JobTable Table;
  Table.applySpec("j", Records.Steps_);
  Records.apply(Table, 1, Records.Accepted_);
  Records.apply(Table, 2, Records.Final_);
  expectKept(Table);
  cr_expect(Table.applySpec("j", {}).Kind_ == work::JobTableChange::Kind::None);
  expectDropped(Table);
  cr_expect(Table.applySpec("j", Records.Steps_).Kind_ == work::JobTableChange::Kind::None);
  Records.apply(Table, 3, Records.Final_);
  expectDropped(Table);
}

// Guards against steps that stay in memory because their removal was read before the end of the
// job, from the other topic, and against steps of an open job that are dropped too early.
Test(JobTable, theRemovalOfStepsMayBeReadBeforeTheEndOfTheJob) {
  const EndedJobRecords Records;
  work::JobTable Table;
  Table.applySpec("j", Records.Steps_);
  Records.apply(Table, 1, Records.Accepted_);
  Table.applySpec("j", {});
  cr_expect(Table.find("j")->HasSpec_);
  cr_expect_eq(Table.find("j")->Spec_.Steps_.size(), 2);
  Records.apply(Table, 2, Records.Final_);
  expectDropped(Table);
  cr_expect(Table.applySpec("j", Records.Steps_).Kind_ == work::JobTableChange::Kind::None);
  expectDropped(Table);
}

// Guards against the progress of ended jobs that fills the memory of daemons that read no steps,
// and against a leader that lacks the steps because it has read them after the end.
Test(JobTable, anEndedJobWithoutStepsDropsItsProgressAtOnce) {
  const EndedJobRecords Records;
  work::JobTable Table;
  Records.apply(Table, 1, Records.Accepted_);
  Records.apply(Table, 2, Records.Final_);
  expectDropped(Table);
  cr_expect(Table.applySpec("j", Records.Steps_).Kind_ == work::JobTableChange::Kind::Specified);
  cr_expect_eq(Table.find("j")->Spec_.Steps_.size(), 2);
  Table.applySpec("j", {});
  expectDropped(Table);
}

// Guards against a late cancellation that changes the state of a completed job.
Test(JobTable, finalStateDoesNotChange) {
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

// Long advice requests for batches arrive before short ones for urgent checks. Guards against
// checks that wait behind long requests at every daemon.
Test(Advice, longCallsLeaveOneAdviserFree) {
  std::vector<std::pair<std::string, double>> Sent;
  daemon::AdviceDispatcher Dispatcher(
      [&](const std::string &Adviser, const daemon::AdviceCall &Job) {
        Sent.emplace_back(Adviser, Job.ExpectedMs_);
      });
  Dispatcher.registerAdviser("", Start);
  Dispatcher.registerAdviser("p1", Start);
  Dispatcher.registerAdviser("p2", Start);
  for (int I = 0; I < 5; ++I)
    Dispatcher.enqueue({{}, {}, 500, {2, Start}}, Start);
  cr_assert_eq(Sent.size(), 2);
  Dispatcher.enqueue({{}, {}, 30, {0, Start}}, Start);
  cr_assert_eq(Sent.size(), 3);
  cr_expect(Sent.back().first.empty());
  // One free daemon is reserved; with a second one the next long request is sent.
  Dispatcher.onCallFinished("p1", true, Start);
  cr_expect_eq(Sent.size(), 3);
  Dispatcher.onCallFinished("", true, Start);
  cr_expect_eq(Sent.size(), 4);
}

// Guards against repeated requests to an adviser that does not answer.
Test(Advice, adviserWithoutAnswerIsNotAskedAgain) {
  std::vector<std::string> Sent;
  daemon::AdviceDispatcher Dispatcher(
      [&](const std::string &Adviser, const daemon::AdviceCall &) { Sent.push_back(Adviser); });
  Dispatcher.registerAdviser("", Start);
  Dispatcher.registerAdviser("p1", Start);
  Dispatcher.enqueue({{}, {}, 30, {0, Start}}, Start);
  cr_assert(Sent.back() == "p1");
  Dispatcher.onCallFinished("p1", false, Start);
  Dispatcher.enqueue({{}, {}, 30, {0, Start}}, Start);
  cr_expect(Sent.back().empty());
}
