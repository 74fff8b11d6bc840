// Writes that the log service carries out late, around a change of leader, with daemons as real
// processes: what a caller was told is stored must be known to the new leader.
#include "support/PlatformFleet.h"

#include <algorithm>
#include <future>
#include <set>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr Millis TakeoverTimeout{6000};
/// Shorter than the time for which a daemon waits for the leader's answer to a forwarded write, so
/// that several writes are open when the leader changes.
constexpr Millis CallInterval{250};

std::string jobId(std::size_t Number) {
  constexpr std::size_t FirstId = 100;
  return "0000000000000" + std::to_string(FirstId + Number);
}

/// Makes the writes of the leader late until the other daemon leads, which then reads the job
/// records late. \p Call is made at the other daemon all the while.
///
/// \returns the answers to the calls, by number.
std::vector<int> callDuringTakeover(PlatformFleet &Fleet, std::size_t MaxCalls,
                                    const std::function<int(std::size_t)> &Call) {
  const int OldLeader = Fleet.leader();
  const int NewLeader = 1 - OldLeader;
  Fleet.control({{"held_daemon", PlatformFleet::nameOf(OldLeader)},
                 {"held_topics", {"keyed.jobs", "keyed.lead"}},
                 {"late_reader", PlatformFleet::nameOf(NewLeader)},
                 {"late_topic", "keyed.jobs"}});
  std::vector<std::future<int>> Answers;
  const core::TimePoint StartedAt = core::Clock::now();
  while (Fleet.leader() != NewLeader && Answers.size() < MaxCalls &&
         core::Clock::now() - StartedAt < TakeoverTimeout) {
    Answers.push_back(std::async(std::launch::async, Call, Answers.size()));
    std::this_thread::sleep_for(CallInterval);
  }
  cr_assert(waitFor(TakeoverTimeout, [&] { return Fleet.leader() == NewLeader; }));
  Fleet.control({{"held_daemon", "none"}});
  std::vector<int> Statuses;
  Statuses.reserve(Answers.size());
  for (std::future<int> &Answer : Answers)
    Statuses.push_back(Answer.get());
  Fleet.control({{"late_reader", "none"}});
  return Statuses;
}

/// Waits until \p Holds is true for each call that was answered 200.
///
/// \returns the ids of the jobs for which it does not become true.
std::string missedJobs(const std::vector<int> &Statuses,
                       const std::function<bool(const std::string &)> &Holds) {
  std::set<std::string> Missed;
  for (std::size_t I = 0; I < Statuses.size(); ++I)
    if (Statuses[I] == 200)
      Missed.insert(jobId(I));
  cr_assert(!Missed.empty(), "no call was answered 200");
  waitFor(Millis(10'000), [&] {
    std::erase_if(Missed, Holds);
    return Missed.empty();
  });
  std::string Ids;
  for (const std::string &Id : Missed)
    Ids += Id + " ";
  return Ids;
}

} // namespace

// Guards against an accepted job that never runs: the former leader stores it late and answers the
// daemon that has forwarded it and that leads by now; only the job table of that daemon learned of
// the job, not its scheduler.
Test(LateWrites, aJobThatTheFormerLeaderStoresLateRuns) {
  PlatformFleet Fleet(2);
  const int NewLeader = 1 - Fleet.leader();
  const std::vector<int> Statuses = callDuringTakeover(Fleet, 24, [&](std::size_t Number) {
    return Fleet.submit(NewLeader, jobId(Number), {1, 100}).Answer_.Status_;
  });
  const std::string Waiting = missedJobs(
      Statuses, [&](const std::string &Id) { return Fleet.stateOf(NewLeader, Id) == "completed"; });
  cr_expect(Waiting.empty(), "accepted jobs that don't run: %s", Waiting.c_str());
  cr_expect(Fleet.evidence()["doubled"].empty());
}

// Guards against tasks that run on although the cancellation of their job was confirmed, in the
// same way.
Test(LateWrites, aCancellationThatTheFormerLeaderStoresLateStopsTheTasks) {
  constexpr std::size_t JobCount = 16;
  PlatformFleet Fleet(2);
  const int NewLeader = 1 - Fleet.leader();
  for (std::size_t I = 0; I < JobCount; ++I)
    cr_assert_eq(Fleet.submit(NewLeader, jobId(I), {1, 60'000}).Answer_.Status_, 200);
  cr_assert(waitFor(Millis(5000), [&] { return Fleet.evidence()["running"].size() == JobCount; }));
  const std::vector<int> Statuses = callDuringTakeover(Fleet, JobCount, [&](std::size_t Number) {
    return Fleet.call(NewLeader, "DELETE", "/q/" + jobId(Number)).Answer_.Status_;
  });
  const std::string Running = missedJobs(Statuses, [&](const std::string &Id) {
    const Json Tasks = Fleet.evidence()["running"];
    return std::ranges::find(Tasks, Json(Id + ".0.0.0")) == Tasks.end();
  });
  cr_expect(Running.empty(), "cancelled jobs that run on: %s", Running.c_str());
  cr_expect(Fleet.evidence()["doubled"].empty());
}

// Guards against specifications that stay in the log for good: the answer to the append of their
// job's end was lost, and only reading the record back confirmed it.
Test(LateWrites, theSpecificationIsRemovedWhenTheJobsEndIsReadBack) {
  PlatformFleet Fleet(1);
  cr_assert_eq(Fleet.submit(0, jobId(0), {1, 1500}).Answer_.Status_, 200);
  cr_assert(Fleet.awaitState(0, jobId(0), "running", Millis(5000)));
  cr_assert_eq(Fleet.evidence()["records"]["keyed.specs"], 1);
  Fleet.control({{"store", "lose"}});
  cr_assert(Fleet.awaitState(0, jobId(0), "completed", Millis(5000)));
  Fleet.control({{"store", "up"}});
  cr_expect(waitFor(Millis(5000), [&] { return Fleet.evidence()["records"]["keyed.specs"] >= 2; }),
            "the specification of a completed job is kept");
}
