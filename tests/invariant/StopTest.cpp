// Graceful stop of an owner and isolation of a failure domain: properties P9 and P6, and section 13
// of the design.
#include "DaemonTraffic.h"

#include <algorithm>
#include <csignal>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// Time after the end of all faults within which every daemon serves all queues again.
constexpr core::Millis RecoveryDeadline{10'000};

} // namespace

// Guards against a daemon that cannot be stopped while a request hangs.
Test(OwnerStops, aSecondSignalForcesTheEnd) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Owner = ownerIn(TestFleet, "lahore-a");
  cr_assert(!Owner.empty());
  Traffic SlowRequests(TestFleet, {Owner},
                       {.Queue_ = "status", .WorkMs_ = 4500, .DeadlineMs_ = 5000});
  cr_assert(waitFor(core::Millis(3000), [&] {
    return Api(TestFleet, Owner).status().value("requests_in_flight", 0) > 0;
  }));
  const Step Label("two signals");
  Process &Daemon = TestFleet.process(Owner);
  Daemon.signal(SIGTERM);
  // The kernel merges a second signal that arrives before the first is handled, so wait until the
  // daemon logs that it is stopping.
  cr_assert(waitFor(core::Millis(1000),
                    [&] { return Daemon.errors().find("stopping") != std::string::npos; }));
  Daemon.signal(SIGTERM);
  const auto Code = Daemon.wait(core::Millis(2000));
  cr_assert(Code.has_value(), "still running 2 s after the second signal");
  cr_assert_eq(*Code, 3, "exit code %d", *Code);
}

// Guards against an isolated domain that stops serving open queues, accepts keys that may have been
// revoked, or does not recover.
Test(DomainCut, servesWhatItCanAndRecovers) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::vector<std::string> Names = TestFleet.names();
  const std::vector<std::string> CutDaemons = TestFleet.namesIn("karachi-a");
  const std::vector<std::string> OtherDaemons = difference(Names, CutDaemons);
  const std::string Key = Api(TestFleet, Names.front()).createKey("mfi");
  std::string Refusal = awaitServing(TestFleet, Names, "reorder", Key, core::Millis(5000));
  cr_assert(Refusal.empty(), "%s", Refusal.c_str());

  Traffic KeyedTraffic(TestFleet, Names,
                       {.Queue_ = "reorder", .Key_ = Key, .WorkMs_ = 20, .SendersPerDaemon_ = 2});
  Traffic OpenTraffic(TestFleet, Names,
                      {.Queue_ = "status", .WorkMs_ = 20, .SendersPerDaemon_ = 2});
  cr_assert(waitFor(core::Millis(3000), [&] { return OpenTraffic.samples().size() > 100; }));
  core::TimePoint CutAt;
  core::TimePoint HealedAt;
  {
    const Step Label("karachi-a is cut off for 10 s");
    TestFleet.cutDomain("karachi-a");
    CutAt = core::Clock::now();
    cr_assert(waitFor(core::Millis(12'000),
                      [&] { return core::Clock::now() >= CutAt + core::Millis(10'000); }));
  }
  {
    const Step Label("after the end of the fault all queues are served");
    TestFleet.clearFaults();
    HealedAt = core::Clock::now();
    Refusal = awaitServing(TestFleet, Names, "reorder", Key, RecoveryDeadline);
    cr_expect(Refusal.empty(), "%s", Refusal.c_str());
    std::fprintf(stderr, "  keyed requests served everywhere %lld ms after the end\n",
                 static_cast<long long>(core::toMillis(core::Clock::now() - HealedAt)));
    Refusal = awaitServing(TestFleet, Names, "status", {}, RecoveryDeadline);
    cr_expect(Refusal.empty(), "%s", Refusal.c_str());
  }
  const std::vector<Sample> KeyedSamples = KeyedTraffic.finish();
  const std::vector<Sample> OpenSamples = OpenTraffic.finish();
  const auto IsInCutDomain = [&](const Sample &Request) {
    return std::ranges::find(CutDaemons, Request.Daemon_) != CutDaemons.end();
  };
  std::size_t KeyedRefused = 0;
  std::size_t Unserved = 0;
  const auto CheckServed = [&](const Sample &Request, const char *Group) {
    if (Request.completed())
      return;
    if (++Unserved <= 8)
      std::fprintf(stderr, "  %s, %lld ms after the cut: %s\n", Group,
                   static_cast<long long>(core::toMillis(Request.Sent_ - CutAt)),
                   Request.text().c_str());
  };
  for (const Sample &Request : KeyedSamples) {
    if (!IsInCutDomain(Request)) {
      CheckServed(Request, "keyed elsewhere");
    } else if (Request.Sent_ > CutAt + core::Millis(6000) && Request.Answered_ < HealedAt) {
      ++KeyedRefused;
      const std::string Text = Request.text();
      cr_expect(Request.Answer_.errorId() == "MD-205" && Request.Answer_.Outcome_ == "not_run",
                "%s", Text.c_str());
    }
  }
  for (const Sample &Request : OpenSamples)
    CheckServed(Request, IsInCutDomain(Request) ? "open in the cut domain" : "open elsewhere");
  std::fprintf(stderr, "  %zu keyed refused in the cut domain; %zu of %zu others not served\n",
               KeyedRefused, Unserved, KeyedSamples.size() + OpenSamples.size());
  cr_expect_gt(KeyedRefused, 0U);
  cr_expect_eq(Unserved, 0U);
  const std::string Contradiction =
      findContradiction(TestFleet, concatenated(KeyedSamples, OpenSamples));
  cr_expect(Contradiction.empty(), "%s", Contradiction.c_str());
}
