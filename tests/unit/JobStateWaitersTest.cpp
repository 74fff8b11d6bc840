// When the leader answers queries for jobs whose end is being written.
#include "masticdrift/daemon/JobStateWaiters.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint StartTime{std::chrono::hours(1)};

void applyEntry(work::JobTable &Ledger, const work::LogRecord &Entry) {
  static std::uint64_t Offset = 0;
  Ledger.apply(++Offset, Entry.Key_, Entry.Value_);
}

void applyState(work::JobTable &Ledger, std::string_view JobId, work::JobState State) {
  work::ProgressRecord Record;
  Record.State_ = State;
  applyEntry(Ledger, work::encodeProgress(JobId, Record));
}

work::JobTable ledgerWithRunningJob(std::string_view JobId) {
  work::JobTable Ledger;
  applyEntry(Ledger, work::encodeAccepted(JobId, {{}, "c", 0}));
  applyState(Ledger, JobId, work::JobState::Running);
  return Ledger;
}

} // namespace

// Guards against callers who learn of the end of their job only with their next poll, because the
// query was answered just before the end was durable.
Test(JobStateWaiters, answersOnceTheEndIsDurable) {
  work::JobTable Ledger = ledgerWithRunningJob("j1");
  daemon::JobStateWaiters Waiters;
  std::vector<protocol::JobStateReply> Replies;
  Waiters.add("j1", StartTime + Millis(200), [&](const auto &Reply) { Replies.push_back(Reply); });
  Waiters.answerReady(Ledger, StartTime + Millis(10));
  cr_assert(Replies.empty());
  applyState(Ledger, "j1", work::JobState::Completed);
  Waiters.answerReady(Ledger, StartTime + Millis(20));
  cr_assert_eq(Replies.size(), 1);
  cr_expect(Replies[0].Known_);
  cr_expect(Replies[0].Customer_ == "c");
  cr_expect_eq(Replies[0].State_, static_cast<std::uint8_t>(work::JobState::Completed));
  cr_expect_eq(Waiters.size(), 0);
}

// Guards against replies that are held back for as long as the store is slow or unavailable.
Test(JobStateWaiters, answersAtTheDeadline) {
  const work::JobTable Ledger = ledgerWithRunningJob("j1");
  daemon::JobStateWaiters Waiters;
  std::vector<protocol::JobStateReply> Replies;
  Waiters.add("j1", StartTime + Millis(200), [&](const auto &Reply) { Replies.push_back(Reply); });
  Waiters.answerReady(Ledger, StartTime + Millis(199));
  cr_expect(Replies.empty());
  Waiters.answerReady(Ledger, StartTime + Millis(200));
  cr_assert_eq(Replies.size(), 1);
  cr_expect_eq(Replies[0].State_, static_cast<std::uint8_t>(work::JobState::Running));
}

// Guards against a query that is never answered because its job was removed from the log meanwhile.
Test(JobStateWaiters, answersForARemovedJob) {
  work::JobTable Ledger = ledgerWithRunningJob("j1");
  daemon::JobStateWaiters Waiters;
  std::vector<protocol::JobStateReply> Replies;
  Waiters.add("j1", StartTime + Millis(200), [&](const auto &Reply) { Replies.push_back(Reply); });
  for (const work::LogRecord &Entry : work::encodeTombstones("j1"))
    applyEntry(Ledger, Entry);
  Waiters.answerReady(Ledger, StartTime);
  cr_assert_eq(Replies.size(), 1);
  cr_expect(Replies[0].Answered_);
  cr_expect_not(Replies[0].Known_);
}
