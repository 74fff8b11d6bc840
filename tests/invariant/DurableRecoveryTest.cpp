// Recovery of a domain with many accepted jobs, and from a log that has forgotten their records.
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

/// Jobs of one task that needs a whole worker, accepted in one domain.
/// \returns the number of accepted jobs.
std::size_t submitMany(Fleet &All, const std::string &Key, std::size_t Count, int RunMs) {
  std::atomic<std::size_t> Next = 0;
  std::atomic<std::size_t> Accepted = 0;
  std::vector<std::thread> Callers;
  // A submission waits for its group commit, so many callers share one.
  for (std::size_t I = 0; I < 16; ++I)
    Callers.emplace_back([&, I] {
      for (std::size_t Number = Next++; Number < Count; Number = Next++) {
        const Json Job{{"kind", "batch"},
                       {"cores", 4},
                       {"run_ms", RunMs},
                       {"domain", Domain},
                       {"request_id", "many-" + std::to_string(Number)}};
        const auto &Through = All.names()[I % All.names().size()];
        if (!submitUntilAccepted(All, Through, Job, Key, core::Millis(20'000)).Id_.empty())
          ++Accepted;
      }
    });
  for (std::thread &One : Callers)
    One.join();
  return Accepted;
}

FleetSpec tinyCell() {
  FleetSpec Spec = roshan(1, 2);
  Spec.WorkerSize_ = {4'000, 8'192, 0};
  return Spec;
}

std::size_t jobsKnownTo(Fleet &All, const std::string &Name) {
  const Json Status = Api(All, Name).status();
  std::size_t Sum = 0;
  if (Status.is_object())
    for (const auto &[State, Number] : Status.at("jobs").items())
      Sum += Number.get<std::size_t>();
  return Sum;
}

/// Milliseconds from the start of a new process until it knows all jobs, -1 if it never does.
std::int64_t replayTime(Fleet &All, const std::string &Name, std::size_t Jobs) {
  const core::TimePoint Begin = core::Clock::now();
  All.restart(Name);
  if (!waitFor(core::Millis(20'000), [&] { return jobsKnownTo(All, Name) == Jobs; }))
    return -1;
  return core::toMillis(core::Clock::now() - Begin);
}

void recoverWith(std::size_t Count) {
  Fleet All(tinyCell());
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  const std::int64_t Begin = core::wallMillis();
  cr_assert_eq(submitMany(All, Key, Count, 3'000), Count);
  const std::int64_t Submitted = core::wallMillis() - Begin;

  std::string Standby;
  std::int64_t ToStart = -1;
  { // The owner dies.
    const std::string Owner = ownerOf(All, Domain);
    cr_assert_not(Owner.empty());
    for (const std::string &Name : All.namesIn(Domain))
      if (Name != Owner)
        Standby = Name;
    const std::int64_t Killed = core::wallMillis();
    All.kill(Owner);
    cr_assert(waitFor(core::Millis(20'000), [&] {
      ToStart = firstStartAfter(All.evidence(Standin::Worker), Domain, Killed);
      return ToStart > 0;
    }));
    cr_assert_eq(jobsKnownTo(All, Standby), Count);
    All.restart(Owner);
    Standby = Owner;
  }
  const std::int64_t Replay = replayTime(All, Standby, Count);
  std::printf(
      "{\"scenario\":\"recovery\",\"jobs\":%zu,\"submit_ms\":%lld,\"kill_to_start_ms\":%lld,"
      "\"start_to_replayed_ms\":%lld,\"command\":\"build/tests/"
      "invariant_DurableRecoveryTest --jobs 1 --filter Recovery/*\"}\n",
      Count, static_cast<long long>(Submitted), static_cast<long long>(ToStart),
      static_cast<long long>(Replay));
  std::fflush(stdout);
  cr_assert_geq(Replay, 0, "%s knows %zu jobs", Standby.c_str(), jobsKnownTo(All, Standby));
  const Json Evidence = All.evidence(Standin::Worker);
  cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1);
  cr_assert_not(Evidence.at("overcommitted").get<bool>());
}

} // namespace

// Guards against a takeover whose length grows with the number of waiting jobs, and against jobs
// that a new owner or a new daemon does not know.
Test(Recovery, newOwnerStartsOneThousandJobs) { recoverWith(1'000); }

Test(Recovery, newOwnerStartsTenThousandJobs) { recoverWith(10'000); }

// Guards against jobs that are lost when the log has dropped the records that accepted them.
Test(Retention, newDaemonLoadsTheSnapshot) {
  constexpr std::size_t Count = 200;
  Fleet All(tinyCell());
  { // Snapshots every 4 s.
    for (const std::string &Name : All.names()) {
      Json Settings = All.settings(Name);
      Settings["timing"]["store_retention_ms"] = 8'000;
      std::ofstream(All.directory() + "/" + Name + ".json") << Settings.dump(2) << "\n";
      All.restart(Name);
    }
  }
  cr_assert(bringUp(All, defaultConfiguration(), core::Millis(40'000)),
            "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  cr_assert_eq(submitMany(All, Key, Count, 3'000), Count);
  const std::string Stream = std::string("domain.") + Domain;
  const auto LogOf = [&] { return All.evidence(Standin::Log).at("streams").at(Stream); };
  const auto Next = LogOf().at("next").get<std::uint64_t>();
  { // The log drops every record that accepted a job.
    All.control(Standin::Log, {{"retention_records", 40}});
    cr_assert(waitFor(core::Millis(60'000),
                      [&] { return LogOf().at("first").get<std::uint64_t>() > Next; }),
              "%s", LogOf().dump().c_str());
  }
  const std::string Owner = ownerOf(All, Domain);
  cr_assert_not(Owner.empty());
  std::string Fresh;
  for (const std::string &Name : All.namesIn(Domain))
    if (Name != Owner)
      Fresh = Name;
  { // A new daemon has all jobs.
    const std::int64_t Replay = replayTime(All, Fresh, Count);
    std::printf("{\"scenario\":\"retention\",\"jobs\":%zu,\"log\":%s,\"start_to_replayed_ms\":%lld}"
                "\n",
                Count, LogOf().dump().c_str(), static_cast<long long>(Replay));
    std::fflush(stdout);
    cr_assert_geq(Replay, 0, "%s knows %zu jobs", Fresh.c_str(), jobsKnownTo(All, Fresh));
  }
  { // And goes on with them as the owner, after all others of its domain have died.
    // It may claim once the owner's renewals name it as a member; an owner renews every second.
    const auto Joined = LogOf().at("next").get<std::uint64_t>();
    cr_assert(waitFor(core::Millis(20'000),
                      [&] { return LogOf().at("next").get<std::uint64_t>() >= Joined + 10; }));
    for (const std::string &Name : All.namesIn(Domain))
      if (Name != Fresh)
        All.kill(Name);
    const std::int64_t Killed = core::wallMillis();
    cr_assert(waitFor(core::Millis(20'000), [&] {
      return firstStartAfter(All.evidence(Standin::Worker), Domain, Killed) > 0;
    }));
    const Json Evidence = All.evidence(Standin::Worker);
    cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1);
    cr_assert_eq(ownerOf(All, Domain), Fresh);
  }
}
