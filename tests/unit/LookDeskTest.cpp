// When the leader answers looks at jobs whose end is being written.
#include "masticdrift/daemon/LookDesk.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint Start{std::chrono::hours(1)};

void put(work::JobTable &To, const work::LogRecord &Entry) {
  static std::uint64_t Offset = 0;
  To.apply(++Offset, Entry.Key_, Entry.Value_);
}

void putState(work::JobTable &To, std::string_view Id, work::JobState State) {
  work::ProgressRecord Record;
  Record.State_ = State;
  put(To, work::encodeProgress(Id, Record));
}

work::JobTable ledgerWith(std::string_view Id) {
  work::JobTable Out;
  put(Out, work::encodeAccepted(Id, {{}, "c", 0}));
  putState(Out, Id, work::JobState::Running);
  return Out;
}

} // namespace

// Guards against callers who learn of the end of their job one look late.
Test(LookDesk, aLookIsAnsweredOnceTheEndIsDurable) {
  work::JobTable Known = ledgerWith("j1");
  daemon::LookDesk Desk;
  std::vector<protocol::LookReply> Replies;
  Desk.wait("j1", Start + Millis(200), [&](const auto &One) { Replies.push_back(One); });
  Desk.settle(Known, Start + Millis(10));
  cr_assert(Replies.empty());
  putState(Known, "j1", work::JobState::Completed);
  Desk.settle(Known, Start + Millis(20));
  cr_assert_eq(Replies.size(), 1);
  cr_expect(Replies[0].Known_);
  cr_expect(Replies[0].Customer_ == "c");
  cr_expect_eq(Replies[0].State_, static_cast<std::uint8_t>(work::JobState::Completed));
  cr_expect_eq(Desk.waiting(), 0);
}

// Guards against answers that are held back while the store is slow or away.
Test(LookDesk, aLookWaitsNoLongerThanItsTime) {
  const work::JobTable Known = ledgerWith("j1");
  daemon::LookDesk Desk;
  std::vector<protocol::LookReply> Replies;
  Desk.wait("j1", Start + Millis(200), [&](const auto &One) { Replies.push_back(One); });
  Desk.settle(Known, Start + Millis(199));
  cr_expect(Replies.empty());
  Desk.settle(Known, Start + Millis(200));
  cr_assert_eq(Replies.size(), 1);
  cr_expect_eq(Replies[0].State_, static_cast<std::uint8_t>(work::JobState::Running));
}

// Guards against a look that is never answered because its job was removed from the log meanwhile.
Test(LookDesk, aLookAtAForgottenJobIsAnswered) {
  work::JobTable Known = ledgerWith("j1");
  daemon::LookDesk Desk;
  std::vector<protocol::LookReply> Replies;
  Desk.wait("j1", Start + Millis(200), [&](const auto &One) { Replies.push_back(One); });
  for (const work::LogRecord &One : work::encodeTombstones("j1"))
    put(Known, One);
  Desk.settle(Known, Start);
  cr_assert_eq(Replies.size(), 1);
  cr_expect(Replies[0].Answered_);
  cr_expect_not(Replies[0].Known_);
}
