// The path on the users' platform through real processes: entry, log service, election, orders.
#include "support/PlatformFleet.h"

#include <csignal>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr const char *First = "00000000000000a1";
constexpr const char *Second = "00000000000000a2";

/// A kill is noticed and settled within 2.5 s; the rest is the job's own time and a slow machine.
constexpr Millis TakeoverTime{15'000};

void expectOnce(PlatformFleet &All, std::size_t Tasks) {
  const Json Seen = All.evidence();
  cr_expect(Seen["doubled"].empty(), "%s", Seen.dump().c_str());
  cr_expect_eq(Seen["starts"].size(), Tasks, "%s", Seen.dump().c_str());
}

} // namespace

// --- A calm day ---

Test(PlatformCalm, anyDaemonTakesAJobAndAnyTellsItsState) {
  PlatformFleet All;
  for (int I = 0; I < 3; ++I) {
    const std::string Id = "00000000000000b" + std::to_string(I);
    cr_assert_eq(All.submit(I, Id, {3, 100, 2}).Answer_.Status_, 200);
    cr_expect(All.awaitState((I + 1) % 3, Id, "completed", Millis(8000)));
  }
  expectOnce(All, 18);
}

// Guards against a job that is accepted twice because its first answer was lost.
Test(PlatformCalm, aRepeatedSubmissionIsOneJob) {
  PlatformFleet All;
  for (int I = 0; I < 3; ++I)
    cr_expect_eq(All.submit(I, First, {2, 200}).Answer_.Status_, 200);
  cr_expect(All.awaitState(0, First, "completed", Millis(8000)));
  cr_expect_eq(All.submit(2, First, {2, 200}).Answer_.Status_, 200);
  expectOnce(All, 2);
}

Test(PlatformCalm, aCancelledJobStops) {
  PlatformFleet All;
  cr_assert_eq(All.submit(0, First, {2, 60'000}).Answer_.Status_, 200);
  cr_assert(All.awaitState(1, First, "running", Millis(5000)));
  cr_expect_eq(All.call(2, "DELETE", std::string("/q/") + First).Answer_.Status_, 200);
  cr_expect(All.awaitState(1, First, "cancelled", Millis(5000)));
}

// --- Bad input ---

// Guards against a malformed request that is stored, or that harms the next one.
Test(PlatformInput, badRequestsAreRefusedAndNothingIsLost) {
  PlatformFleet All(1);
  const std::string Path = std::string("/q/") + First;
  const std::string Good = R"({"spec":"ms=50","steps":[{"count":1,"cpu":100}]})";
  cr_expect_eq(All.call(0, "POST", Path, "{\"steps\":").Answer_.Status_, 400);
  cr_expect_eq(All.call(0, "POST", Path, R"({"spec":"x","steps":[{"count":0}]})").Answer_.Status_,
               400);
  cr_expect_eq(All.call(0, "POST", Path, std::string(120'000, 'x')).Answer_.Status_, 413);
  cr_expect_eq(All.call(0, "POST", Path, Good, "stolen").Answer_.Status_, 401);
  cr_expect_eq(All.call(0, "POST", "/unknown/00000000000000a1", Good).Answer_.Status_, 404);
  const http::ClientResult Unknown = All.call(0, "GET", Path);
  cr_expect_eq(Unknown.Answer_.Status_, 410, "%d %s %s", Unknown.Answer_.Status_,
               Unknown.Error_.c_str(), Unknown.Answer_.Body_.c_str());
  cr_expect_eq(All.call(0, "POST", Path, Good).Answer_.Status_, 200);
  cr_expect(All.awaitState(0, First, "completed", Millis(8000)));
  expectOnce(All, 1);
}

// --- The leader is lost ---

// Guards against tasks that are lost or run twice when the leader is killed.
Test(PlatformTakeover, aKilledLeaderLosesNoJob) {
  PlatformFleet All;
  const int Leader = All.leader();
  const int Other = (Leader + 1) % 3;
  cr_assert_eq(All.submit(Other, First, {4, 3000, 2}).Answer_.Status_, 200);
  cr_assert(All.awaitState(Other, First, "running", Millis(5000)));
  All.daemon(Leader).signal(SIGKILL);
  cr_expect_eq(All.submit(Other, Second, {2, 100}).Answer_.Status_, 200);
  cr_expect(All.awaitState(Other, Second, "completed", TakeoverTime));
  cr_expect(All.awaitState(Other, First, "completed", TakeoverTime));
  expectOnce(All, 10);
}

// Guards against a new leader that does not know of an executor that has joined moments ago: what
// the last one started there would start again elsewhere.
Test(PlatformTakeover, executorsThatHaveJustJoinedAreAccountedFor) {
  PlatformFleet All(3, 1);
  const int Leader = All.leader();
  const int Other = (Leader + 1) % 3;
  // Followers rest after the first news and miss the second for a while.
  All.control({{"join", "i-first"}});
  cr_assert_eq(All.submit(Other, First, {16, 500}).Answer_.Status_, 200);
  cr_assert(waitFor(Millis(5000), [&] { return All.evidence()["starts"].size() == 16; }));
  All.control({{"join", "i-last"}});
  cr_assert_eq(All.submit(Other, Second, {4, 5000}).Answer_.Status_, 200);
  cr_assert(waitFor(Millis(5000), [&] { return All.evidence()["starts"].size() == 20; }));
  // The other executors have room again when the next leader begins.
  cr_assert(All.awaitState(Leader, First, "completed", Millis(5000)));
  All.daemon(Leader).signal(SIGTERM);
  cr_expect(All.awaitState(Other, Second, "completed", TakeoverTime));
  expectOnce(All, 20);
}

// Guards against a leader on the smallest machine for longer than it takes a larger one to join.
Test(PlatformTakeover, aSmallLeaderHandsOverToALargerMachine) {
  PlatformFleet All(1, 4, 0.12);
  cr_assert_eq(All.submit(0, First, {2, 4000}).Answer_.Status_, 200);
  All.add(0.5);
  cr_expect(waitFor(Millis(8000), [&] { return All.leader() == 1; }));
  cr_expect(All.awaitState(1, First, "completed", Millis(10'000)));
  expectOnce(All, 2);
}

// Guards against a planned stop that cuts requests or leaves a gap.
Test(PlatformTakeover, aStoppedLeaderHandsOver) {
  PlatformFleet All;
  const int Leader = All.leader();
  const int Other = (Leader + 1) % 3;
  All.daemon(Leader).signal(SIGTERM);
  cr_expect_eq(All.submit(Other, First, {2, 100}).Answer_.Status_, 200);
  cr_expect(All.awaitState(Other, First, "completed", Millis(8000)));
  cr_expect_eq(All.daemon(Leader).wait(Millis(8000)).value_or(-1), 0);
  expectOnce(All, 2);
}

// --- The store is away ---

// Guards against refusals that come late or are not true.
Test(PlatformStore, whileItRefusesSubmissionsAreRefusedAtOnceAndWorkGoesOn) {
  PlatformFleet All;
  cr_assert_eq(All.submit(0, First, {2, 1500}).Answer_.Status_, 200);
  cr_assert(All.awaitState(0, First, "running", Millis(5000)));
  All.control({{"store", "refuse"}});
  cr_expect(waitFor(Millis(5000), [&] { return !All.ready(0) && !All.ready(1) && !All.ready(2); }));
  const core::TimePoint Begin = core::Clock::now();
  const http::ClientResult Refused = All.submit(1, Second, {1, 100});
  cr_expect_eq(Refused.Answer_.Status_, 503);
  cr_expect_not(http::findHeader(Refused.Answer_.Headers_, "Retry-After").empty());
  cr_expect_lt(core::toMillis(core::Clock::now() - Begin), 1000);
  All.control({{"store", "up"}});
  cr_expect(All.awaitState(2, First, "completed", Millis(10'000)));
  cr_expect_eq(All.call(0, "GET", std::string("/q/") + Second).Answer_.Status_, 410);
  expectOnce(All, 2);
}

// Guards against a leader that the store refuses and that keeps everybody waiting until its silence
// is noticed.
Test(PlatformStore, aRefusedLeaderIsReplaced) {
  PlatformFleet All;
  const int Leader = All.leader();
  const int Other = (Leader + 1) % 3;
  All.control({{"refused_daemon", PlatformFleet::nameOf(Leader)}});
  const core::TimePoint Begin = core::Clock::now();
  cr_expect(waitFor(TakeoverTime, [&] {
    const int Now = All.leader();
    return Now >= 0 && Now != Leader;
  }));
  // 0.5 s of silence after the refusal is known, and the turns of two daemons; 2.3 s without that.
  cr_expect_lt(core::toMillis(core::Clock::now() - Begin), 2200);
  cr_expect_eq(All.submit(Other, First, {2, 100}).Answer_.Status_, 200);
  cr_expect(All.awaitState(Other, First, "completed", Millis(8000)));
  expectOnce(All, 2);
}

// Guards against states that are out of date at a daemon that the store refuses: callers there
// would wait for the store although their jobs are done.
Test(PlatformStore, aRefusedDaemonShowsStatesAsTheyAre) {
  PlatformFleet All;
  const int Leader = All.leader();
  const int Other = (Leader + 1) % 3;
  All.control({{"refused_daemon", PlatformFleet::nameOf(Other)}});
  cr_assert(waitFor(Millis(5000), [&] { return !All.ready(Other); }));
  cr_assert_eq(All.submit(Leader, First, {1, 500}).Answer_.Status_, 200);
  cr_expect(All.awaitState(Other, First, "running", Millis(2000)));
  cr_expect(All.awaitState(Other, First, "completed", Millis(5000)));
}

// Pattern: a small machine starts and loads many jobs gently. Guards against a number of pending
// jobs that is too low because most have not been read, and against a daemon that takes no callers
// until then.
Test(PlatformStore, aDaemonThatStillLoadsTellsOnlyWhatItKnows) {
  PlatformFleet All(1, 1);
  for (int I = 0; I < 8; ++I)
    cr_assert_eq(All.submit(0, "00000000000000c" + std::to_string(I), {8, 60'000}).Answer_.Status_,
                 200);
  // 24 pages of one record, 0.2 s apart.
  All.control({{"page_records", 1}});
  All.add(0.12);
  cr_assert(waitFor(Millis(3000), [&] { return All.ready(1); }));
  cr_expect_eq(All.call(1, "GET", "/q/").Answer_.Status_, 503);
  cr_expect(All.stateOf(1, "00000000000000c7") == All.stateOf(0, "00000000000000c7"));
  cr_expect(waitFor(Millis(15'000), [&] {
    return All.call(1, "GET", "/q/").Answer_.Body_ == All.call(0, "GET", "/q/").Answer_.Body_;
  }));
}

// Guards against an accepted job that is answered with a refusal because its answer was lost.
Test(PlatformStore, aLostAnswerIsNoRefusal) {
  PlatformFleet All;
  All.control({{"store", "lose"}});
  const int Status = All.submit(0, First, {1, 100}).Answer_.Status_;
  cr_expect(Status == 200 || Status == 502 || Status == 504, "%d", Status);
  All.control({{"store", "up"}});
  cr_expect(waitFor(Millis(10'000), [&] {
    return All.submit(1, First, {1, 100}).Answer_.Status_ == 200 &&
           All.stateOf(2, First) == "completed";
  }));
  expectOnce(All, 1);
}

// --- Executors misbehave ---

// Guards against a job that waits for an executor that has died.
Test(PlatformExecutors, workOfACrashedExecutorStartsAgain) {
  PlatformFleet All(3, 2);
  cr_assert_eq(All.submit(0, First, {6, 2000}).Answer_.Status_, 200);
  cr_assert(All.awaitState(0, First, "running", Millis(5000)));
  All.control({{"executor", "i-0"}, {"crash", true}});
  cr_expect(All.awaitState(0, First, "completed", TakeoverTime));
  cr_expect(All.evidence()["doubled"].empty());
}
