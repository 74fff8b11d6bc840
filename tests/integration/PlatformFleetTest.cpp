// Entry service, log service, election and orders of daemons in platform mode, as real processes.
#include "support/PlatformFleet.h"

#include <csignal>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr const char *FirstJob = "00000000000000a1";
constexpr const char *SecondJob = "00000000000000a2";

/// A killed leader is replaced within 2.5 s; the rest covers the job's run time and slow machines.
constexpr Millis TakeoverTimeout{15'000};

/// A leader reads a changed entry of the executor list within 0.3 s; the rest covers slow machines.
constexpr Millis ListReadTime{1500};

void expectTasksStartedOnce(PlatformFleet &Fleet, std::size_t TaskCount) {
  const Json Evidence = Fleet.evidence();
  cr_expect(Evidence["doubled"].empty(), "%s", Evidence.dump().c_str());
  cr_expect_eq(Evidence["starts"].size(), TaskCount, "%s", Evidence.dump().c_str());
}

} // namespace

// --- Normal operation ---

Test(PlatformNormal, anyDaemonAcceptsAJobAndReportsItsState) {
  PlatformFleet Fleet;
  for (int I = 0; I < 3; ++I) {
    const std::string Id = "00000000000000b" + std::to_string(I);
    cr_assert_eq(Fleet.submit(I, Id, {3, 100, 2}).Answer_.Status_, 200);
    cr_expect(Fleet.awaitState((I + 1) % 3, Id, "completed", Millis(8000)));
  }
  expectTasksStartedOnce(Fleet, 18);
}

// Guards against a job that is accepted twice because the first answer was lost and it was
// submitted again.
Test(PlatformNormal, aRepeatedSubmissionStartsOneJob) {
  PlatformFleet Fleet;
  for (int I = 0; I < 3; ++I)
    cr_expect_eq(Fleet.submit(I, FirstJob, {2, 200}).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(0, FirstJob, "completed", Millis(8000)));
  cr_expect_eq(Fleet.submit(2, FirstJob, {2, 200}).Answer_.Status_, 200);
  expectTasksStartedOnce(Fleet, 2);
}

Test(PlatformNormal, aCancelledJobStops) {
  PlatformFleet Fleet;
  cr_assert_eq(Fleet.submit(0, FirstJob, {2, 60'000}).Answer_.Status_, 200);
  cr_assert(Fleet.awaitState(1, FirstJob, "running", Millis(5000)));
  cr_expect_eq(Fleet.call(2, "DELETE", std::string("/q/") + FirstJob).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(1, FirstJob, "cancelled", Millis(5000)));
}

// --- Invalid input ---

// Guards against malformed requests that are stored or that affect later requests.
Test(PlatformInput, badRequestsAreRefusedAndNothingIsLost) {
  PlatformFleet Fleet(1);
  const std::string Path = std::string("/q/") + FirstJob;
  const std::string ValidBody = R"({"spec":"ms=50","steps":[{"count":1,"cpu":100}]})";
  cr_expect_eq(Fleet.call(0, "POST", Path, "{\"steps\":").Answer_.Status_, 400);
  cr_expect_eq(Fleet.call(0, "POST", Path, R"({"spec":"x","steps":[{"count":0}]})").Answer_.Status_,
               400);
  cr_expect_eq(Fleet.call(0, "POST", Path, std::string(120'000, 'x')).Answer_.Status_, 413);
  cr_expect_eq(Fleet.call(0, "POST", Path, ValidBody, "stolen").Answer_.Status_, 401);
  cr_expect_eq(Fleet.call(0, "POST", "/unknown/00000000000000a1", ValidBody).Answer_.Status_, 404);
  const http::ClientResult UnknownJob = Fleet.call(0, "GET", Path);
  cr_expect_eq(UnknownJob.Answer_.Status_, 410, "%d %s %s", UnknownJob.Answer_.Status_,
               UnknownJob.Error_.c_str(), UnknownJob.Answer_.Body_.c_str());
  cr_expect_eq(Fleet.call(0, "POST", Path, ValidBody).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(0, FirstJob, "completed", Millis(8000)));
  expectTasksStartedOnce(Fleet, 1);
}

// --- Loss of the leader ---

// Guards against tasks that are lost or started twice when the leader is killed.
Test(PlatformTakeover, aKilledLeaderLosesNoJob) {
  PlatformFleet Fleet;
  const int Leader = Fleet.leader();
  const int OtherDaemon = (Leader + 1) % 3;
  cr_assert_eq(Fleet.submit(OtherDaemon, FirstJob, {4, 3000, 2}).Answer_.Status_, 200);
  cr_assert(Fleet.awaitState(OtherDaemon, FirstJob, "running", Millis(5000)));
  Fleet.daemon(Leader).signal(SIGKILL);
  cr_expect_eq(Fleet.submit(OtherDaemon, SecondJob, {2, 100}).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(OtherDaemon, SecondJob, "completed", TakeoverTimeout));
  cr_expect(Fleet.awaitState(OtherDaemon, FirstJob, "completed", TakeoverTimeout));
  expectTasksStartedOnce(Fleet, 10);
}

// Guards against a new leader that has not read the entry of an executor that joined shortly before
// the takeover: it would start the tasks that run there again elsewhere.
Test(PlatformTakeover, executorsThatHaveJustJoinedAreAccountedFor) {
  PlatformFleet Fleet(3, 1);
  const int Leader = Fleet.leader();
  const int OtherDaemon = (Leader + 1) % 3;
  // Followers pause after the first entry, so they read the second one later.
  Fleet.control({{"join", "i-first"}});
  cr_assert_eq(Fleet.submit(OtherDaemon, FirstJob, {16, 500}).Answer_.Status_, 200);
  cr_assert(waitFor(Millis(5000), [&] { return Fleet.evidence()["starts"].size() == 16; }));
  Fleet.control({{"join", "i-last"}});
  cr_assert_eq(Fleet.submit(OtherDaemon, SecondJob, {4, 5000}).Answer_.Status_, 200);
  cr_assert(waitFor(Millis(5000), [&] { return Fleet.evidence()["starts"].size() == 20; }));
  // The other executors have free slots again when the next leader takes over.
  cr_assert(Fleet.awaitState(Leader, FirstJob, "completed", Millis(5000)));
  Fleet.daemon(Leader).signal(SIGTERM);
  cr_expect(Fleet.awaitState(OtherDaemon, SecondJob, "completed", TakeoverTimeout));
  expectTasksStartedOnce(Fleet, 20);
}

// Guards against a leader that stays on the smallest machine although a larger one has joined.
Test(PlatformTakeover, aSmallLeaderHandsOverToALargerMachine) {
  PlatformFleet Fleet(1, 4, 0.12);
  cr_assert_eq(Fleet.submit(0, FirstJob, {2, 4000}).Answer_.Status_, 200);
  Fleet.addDaemon(0.5);
  cr_expect(waitFor(Millis(8000), [&] { return Fleet.leader() == 1; }));
  cr_expect(Fleet.awaitState(1, FirstJob, "completed", Millis(10'000)));
  expectTasksStartedOnce(Fleet, 2);
}

// Guards against a planned stop that aborts requests or leaves the fleet without a leader.
Test(PlatformTakeover, aStoppedLeaderHandsOver) {
  PlatformFleet Fleet;
  const int Leader = Fleet.leader();
  const int OtherDaemon = (Leader + 1) % 3;
  Fleet.daemon(Leader).signal(SIGTERM);
  cr_expect_eq(Fleet.submit(OtherDaemon, FirstJob, {2, 100}).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(OtherDaemon, FirstJob, "completed", Millis(8000)));
  cr_expect_eq(Fleet.daemon(Leader).wait(Millis(8000)).value_or(-1), 0);
  expectTasksStartedOnce(Fleet, 2);
}

// --- Store failures ---

// Guards against refusals that are sent late or for jobs that were stored.
Test(PlatformStore, submissionsAreRefusedAtOnceAndJobsContinueWhileTheStoreRefuses) {
  PlatformFleet Fleet;
  cr_assert_eq(Fleet.submit(0, FirstJob, {2, 1500}).Answer_.Status_, 200);
  cr_assert(Fleet.awaitState(0, FirstJob, "running", Millis(5000)));
  Fleet.control({{"store", "refuse"}});
  cr_expect(
      waitFor(Millis(5000), [&] { return !Fleet.ready(0) && !Fleet.ready(1) && !Fleet.ready(2); }));
  const core::TimePoint StartedAt = core::Clock::now();
  const http::ClientResult Response = Fleet.submit(1, SecondJob, {1, 100});
  cr_expect_eq(Response.Answer_.Status_, 503);
  cr_expect_not(http::findHeader(Response.Answer_.Headers_, "Retry-After").empty());
  cr_expect_lt(core::toMillis(core::Clock::now() - StartedAt), 1000);
  Fleet.control({{"store", "up"}});
  cr_expect(Fleet.awaitState(2, FirstJob, "completed", Millis(10'000)));
  cr_expect_eq(Fleet.call(0, "GET", std::string("/q/") + SecondJob).Answer_.Status_, 410);
  expectTasksStartedOnce(Fleet, 2);
}

// Guards against a leader that the store refuses and that is replaced only after the full silence
// timeout.
Test(PlatformStore, aLeaderThatTheStoreRefusesIsReplaced) {
  PlatformFleet Fleet;
  const int Leader = Fleet.leader();
  const int OtherDaemon = (Leader + 1) % 3;
  Fleet.control({{"refused_daemon", PlatformFleet::nameOf(Leader)}});
  const core::TimePoint StartedAt = core::Clock::now();
  cr_expect(waitFor(TakeoverTimeout, [&] {
    const int CurrentLeader = Fleet.leader();
    return CurrentLeader >= 0 && CurrentLeader != Leader;
  }));
  // 0.5 s of silence once the refusal is known, plus the staggered claims of two daemons. Without
  // the shorter timeout the silence alone is 2.3 s.
  cr_expect_lt(core::toMillis(core::Clock::now() - StartedAt), 2200);
  cr_expect_eq(Fleet.submit(OtherDaemon, FirstJob, {2, 100}).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(OtherDaemon, FirstJob, "completed", Millis(8000)));
  expectTasksStartedOnce(Fleet, 2);
}

// Guards against outdated states at a daemon that the store refuses: its callers would wait for the
// store although their jobs have completed.
Test(PlatformStore, aDaemonThatTheStoreRefusesReportsCurrentStates) {
  PlatformFleet Fleet;
  const int Leader = Fleet.leader();
  const int OtherDaemon = (Leader + 1) % 3;
  Fleet.control({{"refused_daemon", PlatformFleet::nameOf(OtherDaemon)}});
  cr_assert(waitFor(Millis(5000), [&] { return !Fleet.ready(OtherDaemon); }));
  cr_assert_eq(Fleet.submit(Leader, FirstJob, {1, 500}).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(OtherDaemon, FirstJob, "running", Millis(2000)));
  cr_expect(Fleet.awaitState(OtherDaemon, FirstJob, "completed", Millis(5000)));
}

// A small machine starts and loads many jobs with pauses. Guards against a number of pending jobs
// that is too low because most jobs have not been read yet, and against a daemon that is not ready
// until it has read them all.
Test(PlatformStore, aDaemonThatStillLoadsRefusesThePendingCount) {
  PlatformFleet Fleet(1, 1);
  // As many as can still be of use: of larger ones the last would be refused.
  for (int I = 0; I < 8; ++I)
    cr_assert_eq(
        Fleet.submit(0, "00000000000000c" + std::to_string(I), {5, 60'000}).Answer_.Status_, 200);
  // 24 pages of one record, 0.2 s apart.
  Fleet.control({{"page_records", 1}});
  Fleet.addDaemon(0.12);
  cr_assert(waitFor(Millis(3000), [&] { return Fleet.ready(1); }));
  cr_expect_eq(Fleet.call(1, "GET", "/q/").Answer_.Status_, 503);
  cr_expect(Fleet.stateOf(1, "00000000000000c7") == Fleet.stateOf(0, "00000000000000c7"));
  cr_expect(waitFor(Millis(15'000), [&] {
    return Fleet.call(1, "GET", "/q/").Answer_.Body_ == Fleet.call(0, "GET", "/q/").Answer_.Body_;
  }));
}

// Guards against a refusal of a job that was stored, after the store's answer to the append was
// lost.
Test(PlatformStore, aLostStoreAnswerIsNotReportedAsRefusal) {
  PlatformFleet Fleet;
  Fleet.control({{"store", "lose"}});
  const int Status = Fleet.submit(0, FirstJob, {1, 100}).Answer_.Status_;
  cr_expect(Status == 200 || Status == 502 || Status == 504, "%d", Status);
  Fleet.control({{"store", "up"}});
  cr_expect(waitFor(Millis(10'000), [&] {
    return Fleet.submit(1, FirstJob, {1, 100}).Answer_.Status_ == 200 &&
           Fleet.stateOf(2, FirstJob) == "completed";
  }));
  expectTasksStartedOnce(Fleet, 1);
}

// --- Executor failures ---

// Guards against a job that waits for a crashed executor.
Test(PlatformExecutors, tasksOfACrashedExecutorAreRestarted) {
  PlatformFleet Fleet(3, 2);
  cr_assert_eq(Fleet.submit(0, FirstJob, {6, 2000}).Answer_.Status_, 200);
  cr_assert(Fleet.awaitState(0, FirstJob, "running", Millis(5000)));
  Fleet.control({{"executor", "i-0"}, {"crash", true}});
  cr_expect(Fleet.awaitState(0, FirstJob, "completed", TakeoverTimeout));
  cr_expect(Fleet.evidence()["doubled"].empty());
}

// Guards against starts on an executor that has shrunk, also by the next leader, and against free
// capacity that stays unused after it has grown again.
Test(PlatformExecutors, anExecutorThatHasShrunkIsNotOverfilled) {
  PlatformFleet Fleet(3, 1);
  const int Leader = Fleet.leader();
  const int OtherDaemon = (Leader + 1) % 3;
  Fleet.control({{"executor", "i-0"}, {"cpu", 1000}});
  std::this_thread::sleep_for(ListReadTime);
  cr_assert_eq(Fleet.submit(OtherDaemon, FirstJob, {6, 1000}).Answer_.Status_, 200);
  cr_assert(waitFor(Millis(5000), [&] { return Fleet.evidence()["starts"].size() >= 3; }));
  Fleet.daemon(Leader).signal(SIGKILL);
  cr_expect(Fleet.awaitState(OtherDaemon, FirstJob, "completed", TakeoverTimeout));
  Fleet.control({{"executor", "i-0"}, {"cpu", 4000}});
  cr_assert_eq(Fleet.submit(OtherDaemon, SecondJob, {8, 5000}).Answer_.Status_, 200);
  cr_expect(waitFor(Millis(3000), [&] { return Fleet.evidence()["running"].size() == 8; }));
  cr_expect(Fleet.evidence()["over_capacity"].empty(), "%s", Fleet.evidence().dump().c_str());
  expectTasksStartedOnce(Fleet, 14);
}
