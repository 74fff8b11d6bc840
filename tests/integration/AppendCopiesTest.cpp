// Appends and submissions of which libcurl sends a second copy, because a reused connection was
// reset: the refusal of the second copy says nothing about the first.
#include "masticdrift/core/Error.h"
#include "masticdrift/legacy/LogClient.h"
#include "platform/Store.h"
#include "support/PlatformFleet.h"
#include "support/ResettingServer.h"

#include <future>
#include <optional>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;
using platform::AppendOutcome;

namespace {

constexpr const char *WarmUpJob = "00000000000000a0";
constexpr const char *Job = "00000000000000a1";
constexpr int Refused = 503;
constexpr Millis RetryInterval{300};
/// The reads that a daemon has sent before an outage are answered within this time.
constexpr Millis LongPollTime{1300};

/// Appends a record twice on one connection, which the server resets after the second request.
///
/// \param StatusOfSecondCopy status line of the answer to the copy that libcurl sends after that.
/// \returns the outcome of the second append.
AppendOutcome outcomeOfRepeatedAppend(std::string_view StatusOfSecondCopy) {
  asio::io_context Loop;
  tests::ResettingServer Server(Loop, StatusOfSecondCopy);
  http::LoopClient Client(Loop, std::chrono::seconds(10), 10);
  platform::Store Store(Client, Server.address());
  const std::vector<platform::KeyedRecord> Records{{0, "key", "value"}};
  AppendOutcome Last = AppendOutcome::Unknown;
  for (int I = 0; I < 2; ++I) {
    std::optional<platform::AppendResult> Result;
    Store.append("keyed.jobs", Records, {}, Millis(1000),
                 [&](platform::AppendResult Append) { Result = std::move(Append); });
    while (!Result)
      Loop.run_one();
    Last = Result->Outcome_;
  }
  cr_assert_eq(Server.requestCount(), 3);
  return Last;
}

/// Submits the job at \p Daemon while the store carries out the append of its acceptance and goes
/// down, and again during the outage.
///
/// \returns the statuses of the attempts.
std::vector<int> submitDuringOutage(PlatformFleet &Fleet, int Daemon) {
  constexpr int Attempts = 3;
  Fleet.control({{"outage_after", std::string("a") + Job}});
  std::vector<int> Statuses;
  for (int I = 0; I < Attempts; ++I) {
    Statuses.push_back(Fleet.submit(Daemon, Job, {1, 100}).Answer_.Status_);
    std::this_thread::sleep_for(RetryInterval);
  }
  Fleet.control({{"store", "up"}});
  return Statuses;
}

/// Leaves connections behind that are reused by the next submission at \p Daemon.
void warmUp(PlatformFleet &Fleet, int Daemon) {
  cr_assert_eq(Fleet.submit(Daemon, WarmUpJob, {1, 100}).Answer_.Status_, 200);
  cr_assert(Fleet.awaitState(Daemon, WarmUpJob, "completed", Millis(8000)));
}

void expectTruthfulAnswers(PlatformFleet &Fleet, int Daemon, const std::vector<int> &Statuses) {
  cr_assert(Fleet.awaitState(Daemon, Job, "completed", Millis(15'000)),
            "the store has carried out the append, so the job must run");
  for (const int Status : Statuses)
    cr_expect_neq(Status, Refused, "a job that runs was refused");
}

} // namespace

// --- The client of the log service ---

// Guards against an append that is taken for refused although its first copy may be stored.
Test(AppendCopies, theRefusalOfASecondCopyLeavesTheOutcomeOpen) {
  cr_expect(outcomeOfRepeatedAppend("503 Service Unavailable") == AppendOutcome::Unknown);
  cr_expect(outcomeOfRepeatedAppend("429 Too Many Requests") == AppendOutcome::Unknown);
}

// Guards against a conditional append that is taken for rejected because its own first copy has
// moved the end of the partition.
Test(AppendCopies, aMovedEndAfterASecondCopyLeavesTheOutcomeOpen) {
  cr_expect(outcomeOfRepeatedAppend("412 Precondition Failed") == AppendOutcome::Unknown);
}

// Guards against appends that fail although one of their copies is confirmed.
Test(AppendCopies, theConfirmationOfASecondCopyCounts) {
  cr_expect(outcomeOfRepeatedAppend("200 OK") == AppendOutcome::Stored);
}

// Guards against the same in the client of the first, assumed platform.
Test(AppendCopies, theOtherLogClientLeavesTheOutcomeOpenToo) {
  asio::io_context Loop;
  tests::ResettingServer Server(Loop, "503 Service Unavailable");
  const auto WorkGuard = asio::make_work_guard(Loop);
  std::thread ServerThread([&] { Loop.run(); });
  core::ErrorKind Last{};
  {
    http::Client Client;
    legacy::LogClient Log(Client, {"http://" + Server.address()});
    for (int I = 0; I < 2; ++I) {
      std::promise<std::error_code> Done;
      Log.append("stream", "bytes",
                 [&](std::error_code Error, std::uint64_t) { Done.set_value(Error); });
      Last = core::kindOf(Done.get_future().get());
    }
  }
  Loop.stop();
  ServerThread.join();
  cr_expect(Last == core::ErrorKind::AppendUnknown);
}

// --- Submissions ---

// Guards against a caller who is told by every attempt that its job never runs, while the job runs:
// the first copy of the append was stored as the store went down.
Test(SubmissionCopies, aJobThatMayBeStoredIsNotRefusedByTheLeader) {
  PlatformFleet Fleet(2);
  const int Leader = Fleet.leader();
  warmUp(Fleet, Leader);
  expectTruthfulAnswers(Fleet, Leader, submitDuringOutage(Fleet, Leader));
}

// Guards against the same when another daemon forwards the submission to the leader.
Test(SubmissionCopies, aJobThatMayBeStoredIsNotRefusedByAnotherDaemon) {
  PlatformFleet Fleet(2);
  const int Other = 1 - Fleet.leader();
  warmUp(Fleet, Other);
  expectTruthfulAnswers(Fleet, Other, submitDuringOutage(Fleet, Other));
}

// Guards against a leader that refuses a repeated submission of a job in its own job table, because
// it can't read the log at the moment.
Test(SubmissionCopies, aLeaderWithoutTheStoreConfirmsTheJobsThatItKnows) {
  PlatformFleet Fleet(2);
  const int Leader = Fleet.leader();
  const int Other = 1 - Leader;
  warmUp(Fleet, Leader);
  // The other daemon can't read of the job, so it forwards the repetition.
  Fleet.control({{"refused_daemon", PlatformFleet::nameOf(Other)}});
  std::this_thread::sleep_for(LongPollTime);
  cr_assert_eq(Fleet.submit(Leader, Job, {1, 100}).Answer_.Status_, 200);
  Fleet.control({{"store", "refuse"}});
  std::this_thread::sleep_for(LongPollTime);
  const int Status = Fleet.submit(Other, Job, {1, 100}).Answer_.Status_;
  Fleet.control({{"store", "up"}, {"refused_daemon", "none"}});
  cr_expect_eq(Status, 200, "answered %d", Status);
}
