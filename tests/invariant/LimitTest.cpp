// Limits of teams, executors in state "leaving" and silent connections between daemons.
#include "Callers.h"

#include <cstdio>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

struct Interval {
  std::int64_t Start_ = 0;
  std::int64_t End_ = 0;
};

/// \returns the runs on all executors of requests whose id starts with \p Prefix.
std::vector<Interval> runsOfPrefix(const Json &Executors, const std::string &Prefix) {
  std::vector<Interval> Intervals;
  for (const Json &Executor : Executors)
    for (const Json &Request : Executor.at("requests"))
      if (Request.at("id").get<std::string>().starts_with(Prefix))
        Intervals.push_back({Request.at("start_ms"), Request.at("end_ms")});
  return Intervals;
}

/// \returns the largest number of intervals that overlap. Times are whole milliseconds, so an
/// interval that ends in the millisecond in which another starts does not overlap it.
int maxConcurrent(const std::vector<Interval> &Intervals) {
  std::vector<std::pair<std::int64_t, int>> Events;
  Events.reserve(2 * Intervals.size());
  for (const Interval &Run : Intervals) {
    Events.emplace_back(Run.Start_, 1);
    Events.emplace_back(Run.End_, -1);
  }
  std::ranges::sort(Events);
  int Current = 0;
  int Peak = 0;
  for (const auto &[AtMs, Change] : Events) {
    Current += Change;
    Peak = std::max(Peak, Current);
  }
  return Peak;
}

} // namespace

// Guards against a team that exceeds its limit because several owners each grant it slots.
Test(TeamLimit, isKeptAcrossAllDomains) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("small");
  LoadGenerator Requests(TestFleet, TestFleet.names(),
                         {.CallerCount_ = 30, .WorkMs_ = 100, .DeadlineMs_ = 2000, .Key_ = Key},
                         "limit");
  cr_expect(Requests.awaitAnswers(60, core::Millis(20'000), "completed"),
            "fewer than 60 requests of the team completed within 20 s");
  const auto &Answers = Requests.stop();
  const Json Executors = evidenceWhenIdle(TestFleet);
  const int Peak = maxConcurrent(runsOfPrefix(Executors, "limit-"));
  std::printf("most at once: %d of 6\n", Peak);
  cr_expect_leq(Peak, 6, "limit of 6 slots across the fleet, %d ran at once", Peak);
  // The split of the limit must not starve a domain: at least half of the limit is used under load.
  cr_expect_geq(Peak, 3, "only %d of 6 slots were used under load", Peak);
  const CheckResult Check = checkAnswers(Answers, Executors, false);
  cr_expect(Check.Violations_.empty(), "%s", Check.summary().c_str());
}

// Guards against new requests to an executor that the platform is about to remove.
Test(LeavingExecutor, getsNoNewRequestAfterAFewSeconds) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  LoadGenerator Requests(TestFleet, TestFleet.names(),
                         {.CallerCount_ = 24, .WorkMs_ = 50, .Key_ = Key}, "leave");
  cr_expect(Requests.awaitAnswers(200, core::Millis(20'000), "completed"),
            "the load did not start");
  const std::string LeavingName = "lahore-a-executor-1";
  const std::string InstancesUrl =
      TestFleet.settings(TestFleet.names().front()).at("platform").at("instances_url");
  const Json InstanceList = call("GET", InstancesUrl + "/instances").json();
  Json Entry;
  for (const Json &Instance : InstanceList.at("instances"))
    if (Instance.at("name") == LeavingName)
      Entry = Instance;
  cr_assert(Entry.is_object(), "%s is not listed", LeavingName.c_str());
  Entry["state"] = "leaving";
  const std::int64_t ChangedMs = core::wallMillis();
  TestFleet.control(Standin::Instances, {{"set", Json::array({Entry})}});
  // The list is polled every second; 3 s allow for one lost poll.
  constexpr std::int64_t ReactionLimitMs = 3000;
  cr_expect(waitFor(core::Millis(10'000),
                    [&] { return core::wallMillis() > ChangedMs + ReactionLimitMs + 2000; }));
  const auto &Answers = Requests.stop();
  const Json Executors = evidenceWhenIdle(TestFleet);
  std::int64_t LastStartMs = 0;
  for (const Json &Request : Executors.at(LeavingName).at("requests"))
    LastStartMs = std::max(LastStartMs, Request.at("start_ms").get<std::int64_t>());
  std::printf("last start %lld ms after the list said leaving\n",
              static_cast<long long>(LastStartMs - ChangedMs));
  cr_expect_leq(LastStartMs, ChangedMs + ReactionLimitMs,
                "a request started %lld ms after the list said leaving",
                static_cast<long long>(LastStartMs - ChangedMs));
  cr_expect_gt(LastStartMs, 0, "the executor never ran a request");
  const CheckResult Check = checkAnswers(Answers, Executors, false);
  cr_expect(Check.Violations_.empty(), "%s", Check.summary().c_str());
}

// Guards against requests that run twice or stay unserved when a connection between daemons carries
// no more traffic without being closed; a new connection must replace it.
Test(SilentPeers, requestsEndTruthfullyAndAreServedAgain) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  const std::vector<std::string> Members = TestFleet.namesIn("lahore-a");
  const std::string Owner = findOwner(TestFleet, Members);
  const std::string OtherDaemon = Members.front() == Owner ? Members.back() : Members.front();
  LoadGenerator Requests(
      TestFleet, {OtherDaemon},
      {.CallerCount_ = 12, .WorkMs_ = 30, .DeadlineMs_ = 1500, .Key_ = Key, .IdempotentEvery_ = 2},
      "silent");
  cr_expect(Requests.awaitAnswers(100, core::Millis(20'000), "completed"),
            "the load did not start");
  TestFleet.silencePeer(OtherDaemon, Owner);
  // 8 s cover three missed heartbeats of 1 s, a new connection and the deadline of requests in
  // flight.
  cr_expect(Requests.awaitAnswers(100, core::Millis(8'000), "completed"),
            "not served again within 8 s");
  const auto &Answers = Requests.stop();
  const CheckResult Check = checkAnswers(Answers, evidenceWhenIdle(TestFleet), false);
  std::printf("%s\n", Check.summary().c_str());
  cr_expect(Check.Violations_.empty(), "%s", Check.summary().c_str());
}
