// Team limits, leaving executors and silent connections between daemons.
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

/// \returns all runs of requests whose id starts with \p Prefix, over all executors.
std::vector<Interval> runsOfPrefix(const Json &Executors, const std::string &Prefix) {
  std::vector<Interval> All;
  for (const Json &One : Executors)
    for (const Json &Request : One.at("requests"))
      if (Request.at("id").get<std::string>().starts_with(Prefix))
        All.push_back({Request.at("start_ms"), Request.at("end_ms")});
  return All;
}

/// \returns the largest number of intervals that overlap. Times are whole milliseconds, so an
/// interval that ends in the millisecond in which another starts does not overlap it.
int mostAtOnce(const std::vector<Interval> &All) {
  std::vector<std::pair<std::int64_t, int>> Events;
  Events.reserve(2 * All.size());
  for (const Interval &One : All) {
    Events.emplace_back(One.Start_, 1);
    Events.emplace_back(One.End_, -1);
  }
  std::ranges::sort(Events);
  int Now = 0;
  int Most = 0;
  for (const auto &[Time, Change] : Events) {
    Now += Change;
    Most = std::max(Most, Now);
  }
  return Most;
}

} // namespace

// Guards against a team that runs more than its limit because several owners each give it slots.
Test(TeamLimit, isKeptAcrossAllDomains) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("small");
  Callers Load(All, All.names(), {.Callers_ = 30, .WorkMs_ = 100, .DeadlineMs_ = 2000, .Key_ = Key},
               "limit");
  cr_expect(Load.await(60, core::Millis(20'000), "completed"),
            "the team's requests are not served");
  const auto &Answers = Load.finish();
  const Json Executors = settledEvidence(All);
  const int Most = mostAtOnce(runsOfPrefix(Executors, "limit-"));
  std::printf("most at once: %d of 6\n", Most);
  cr_expect_leq(Most, 6, "limit of 6 slots across the fleet, %d ran at once", Most);
  // The split must not starve a domain: together the parts reach the limit.
  cr_expect_geq(Most, 3, "only %d of 6 slots were used under load", Most);
  const Verdict Result = judge(Answers, Executors, false);
  cr_expect(Result.Faults_.empty(), "%s", Result.text().c_str());
}

// Guards against new work for an executor that the platform is about to take away.
Test(LeavingExecutor, getsNoNewRequestAfterAFewSeconds) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  Callers Load(All, All.names(), {.Callers_ = 24, .WorkMs_ = 50, .Key_ = Key}, "leave");
  cr_expect(Load.await(200, core::Millis(20'000), "completed"), "no load");
  const std::string Leaving = "lahore-a-executor-1";
  const std::string Url = All.settings(All.names().front()).at("platform").at("instances_url");
  const Json List = call("GET", Url + "/instances").json();
  Json Entry;
  for (const Json &One : List.at("instances"))
    if (One.at("name") == Leaving)
      Entry = One;
  cr_assert(Entry.is_object(), "%s is not listed", Leaving.c_str());
  Entry["state"] = "leaving";
  const std::int64_t Since = core::wallMillis();
  All.control(Standin::Instances, {{"set", Json::array({Entry})}});
  // The list is polled every second; 3 s allow for one lost poll.
  constexpr std::int64_t FewSeconds = 3000;
  cr_expect(waitFor(core::Millis(10'000),
                    [&] { return core::wallMillis() > Since + FewSeconds + 2000; }));
  const auto &Answers = Load.finish();
  const Json Executors = settledEvidence(All);
  std::int64_t Last = 0;
  for (const Json &Request : Executors.at(Leaving).at("requests"))
    Last = std::max(Last, Request.at("start_ms").get<std::int64_t>());
  std::printf("last start %lld ms after the list said leaving\n",
              static_cast<long long>(Last - Since));
  cr_expect_leq(Last, Since + FewSeconds, "a request started %lld ms after the list said leaving",
                static_cast<long long>(Last - Since));
  cr_expect_gt(Last, 0, "the executor was never used");
  const Verdict Result = judge(Answers, Executors, false);
  cr_expect(Result.Faults_.empty(), "%s", Result.text().c_str());
}

// Guards against a connection between daemons that has become silent: requests on it must not run
// twice, and a new connection must take its place.
Test(SilentPeers, requestsEndTruthfullyAndAreServedAgain) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  const std::vector<std::string> Members = All.namesIn("lahore-a");
  const std::string Owner = ownerOf(All, Members);
  const std::string Other = Members.front() == Owner ? Members.back() : Members.front();
  Callers Load(
      All, {Other},
      {.Callers_ = 12, .WorkMs_ = 30, .DeadlineMs_ = 1500, .Key_ = Key, .IdempotentEvery_ = 2},
      "silent");
  cr_expect(Load.await(100, core::Millis(20'000), "completed"), "no load");
  All.silencePeer(Other, Owner);
  // Three missed heartbeats of a second, a new connection, and the deadline of what was under way.
  cr_expect(Load.await(100, core::Millis(8'000), "completed"), "not served again within 8 s");
  const auto &Answers = Load.finish();
  const Verdict Result = judge(Answers, settledEvidence(All), false);
  std::printf("%s\n", Result.text().c_str());
  cr_expect(Result.Faults_.empty(), "%s", Result.text().c_str());
}
