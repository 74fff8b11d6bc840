// Recovery of a domain with many accepted jobs, also after the log has expired their records.
#include "support/JobChecks.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

constexpr const char *Domain = "lahore-a";

/// Submits jobs to one domain, each with one task that needs a whole worker.
/// \returns the number of accepted jobs.
std::size_t submitJobs(Fleet &TestFleet, const std::string &Key, std::size_t Count, int RunMs) {
  std::atomic<std::size_t> Next = 0;
  std::atomic<std::size_t> Accepted = 0;
  std::vector<std::thread> Submitters;
  // Each submission waits for a group commit, so concurrent callers share one.
  for (std::size_t I = 0; I < 16; ++I)
    Submitters.emplace_back([&, I] {
      for (std::size_t Number = Next++; Number < Count; Number = Next++) {
        const Json Job{{"kind", "batch"},
                       {"cores", 4},
                       {"run_ms", RunMs},
                       {"domain", Domain},
                       {"request_id", "many-" + std::to_string(Number)}};
        const auto &Daemon = TestFleet.names()[I % TestFleet.names().size()];
        if (!submitUntilAccepted(TestFleet, Daemon, Job, Key, core::Millis(20'000)).Id_.empty())
          ++Accepted;
      }
    });
  for (std::thread &Submitter : Submitters)
    Submitter.join();
  return Accepted;
}

/// Two workers per domain that run one task each.
FleetSpec tinyFleet() {
  FleetSpec Spec = roshan(1, 2);
  Spec.WorkerSize_ = {4'000, 8'192, 0};
  return Spec;
}

std::size_t jobsKnownTo(Fleet &TestFleet, const std::string &Name) {
  const Json Status = Api(TestFleet, Name).status();
  std::size_t JobCount = 0;
  if (Status.is_object())
    for (const auto &[State, Count] : Status.at("jobs").items())
      JobCount += Count.get<std::size_t>();
  return JobCount;
}

/// Restarts a daemon.
/// \returns the milliseconds until it knows all jobs, -1 when it does not within 20 s.
std::int64_t measureReplayMs(Fleet &TestFleet, const std::string &Name, std::size_t Jobs) {
  const core::TimePoint Start = core::Clock::now();
  TestFleet.restart(Name);
  if (!waitFor(core::Millis(20'000), [&] { return jobsKnownTo(TestFleet, Name) == Jobs; }))
    return -1;
  return core::toMillis(core::Clock::now() - Start);
}

void testRecovery(std::size_t Count) {
  Fleet TestFleet(tinyFleet());
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  const std::int64_t BeginMs = core::wallMillis();
  cr_assert_eq(submitJobs(TestFleet, Key, Count, 3'000), Count);
  const std::int64_t SubmitMs = core::wallMillis() - BeginMs;

  std::string Standby;
  std::int64_t KillToStartMs = -1;
  { // Kill the owner.
    const std::string Owner = ownerOf(TestFleet, Domain);
    cr_assert_not(Owner.empty());
    for (const std::string &Name : TestFleet.namesIn(Domain))
      if (Name != Owner)
        Standby = Name;
    const std::int64_t KillMs = core::wallMillis();
    TestFleet.kill(Owner);
    cr_assert(waitFor(core::Millis(20'000), [&] {
      KillToStartMs = firstStartAfter(TestFleet.evidence(Standin::Worker), Domain, KillMs);
      return KillToStartMs > 0;
    }));
    cr_assert_eq(jobsKnownTo(TestFleet, Standby), Count);
    TestFleet.restart(Owner);
    Standby = Owner;
  }
  const std::int64_t ReplayMs = measureReplayMs(TestFleet, Standby, Count);
  std::printf(
      "{\"scenario\":\"recovery\",\"jobs\":%zu,\"submit_ms\":%lld,\"kill_to_start_ms\":%lld,"
      "\"start_to_replayed_ms\":%lld,\"command\":\"build/tests/"
      "invariant_DurableRecoveryTest --jobs 1 --filter Recovery/*\"}\n",
      Count, static_cast<long long>(SubmitMs), static_cast<long long>(KillToStartMs),
      static_cast<long long>(ReplayMs));
  std::fflush(stdout);
  cr_assert_geq(ReplayMs, 0, "%s knows %zu jobs", Standby.c_str(), jobsKnownTo(TestFleet, Standby));
  const Json Evidence = TestFleet.evidence(Standin::Worker);
  cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1);
  cr_assert_not(Evidence.at("overcommitted").get<bool>());
}

} // namespace

// Guards against a takeover time that grows with the number of waiting jobs, and against jobs that
// are unknown to a new owner or a restarted daemon.
Test(Recovery, newOwnerStartsOneThousandJobs) { testRecovery(1'000); }

Test(Recovery, newOwnerStartsTenThousandJobs) { testRecovery(10'000); }

// Guards against jobs that are lost when the log has expired the records that accepted them.
Test(Retention, newDaemonLoadsTheSnapshot) {
  constexpr std::size_t Count = 200;
  Fleet TestFleet(tinyFleet());
  { // A retention of 8 s makes the daemons write a snapshot every 4 s.
    for (const std::string &Name : TestFleet.names()) {
      Json Settings = TestFleet.settings(Name);
      Settings["timing"]["store_retention_ms"] = 8'000;
      std::ofstream(TestFleet.directory() + "/" + Name + ".json") << Settings.dump(2) << "\n";
      TestFleet.restart(Name);
    }
  }
  cr_assert(bringUp(TestFleet, defaultConfiguration(), core::Millis(40'000)),
            "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  cr_assert_eq(submitJobs(TestFleet, Key, Count, 3'000), Count);
  const std::string Stream = std::string("domain.") + Domain;
  const auto StreamEvidence = [&] {
    return TestFleet.evidence(Standin::Log).at("streams").at(Stream);
  };
  const auto NextOffset = StreamEvidence().at("next").get<std::uint64_t>();
  { // Expire every record that accepted a job.
    TestFleet.control(Standin::Log, {{"retention_records", 40}});
    cr_assert(
        waitFor(core::Millis(60'000),
                [&] { return StreamEvidence().at("first").get<std::uint64_t>() > NextOffset; }),
        "%s", StreamEvidence().dump().c_str());
  }
  const std::string Owner = ownerOf(TestFleet, Domain);
  cr_assert_not(Owner.empty());
  std::string NewDaemon;
  for (const std::string &Name : TestFleet.namesIn(Domain))
    if (Name != Owner)
      NewDaemon = Name;
  { // A restarted daemon knows all jobs.
    const std::int64_t ReplayMs = measureReplayMs(TestFleet, NewDaemon, Count);
    std::printf("{\"scenario\":\"retention\",\"jobs\":%zu,\"log\":%s,\"start_to_replayed_ms\":%lld}"
                "\n",
                Count, StreamEvidence().dump().c_str(), static_cast<long long>(ReplayMs));
    std::fflush(stdout);
    cr_assert_geq(ReplayMs, 0, "%s knows %zu jobs", NewDaemon.c_str(),
                  jobsKnownTo(TestFleet, NewDaemon));
  }
  { // It starts the remaining jobs as the owner after all other daemons of its domain are killed.
    // It may claim only once the owner's renewals name it as a member; an owner renews every
    // second.
    const auto OffsetAtJoin = StreamEvidence().at("next").get<std::uint64_t>();
    cr_assert(waitFor(core::Millis(20'000), [&] {
      return StreamEvidence().at("next").get<std::uint64_t>() >= OffsetAtJoin + 10;
    }));
    for (const std::string &Name : TestFleet.namesIn(Domain))
      if (Name != NewDaemon)
        TestFleet.kill(Name);
    const std::int64_t KillMs = core::wallMillis();
    cr_assert(waitFor(core::Millis(20'000), [&] {
      return firstStartAfter(TestFleet.evidence(Standin::Worker), Domain, KillMs) > 0;
    }));
    const Json Evidence = TestFleet.evidence(Standin::Worker);
    cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1);
    cr_assert_eq(ownerOf(TestFleet, Domain), NewDaemon);
  }
}
