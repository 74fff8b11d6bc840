// Graceful stop of an owner with requests in flight: property P9.
#include "DaemonTraffic.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// A claim waits for 4.5 s without a renewal, and executor slots wait 5 s more. A released lease
/// needs neither, so the next owner must serve sooner than a claim could.
constexpr core::Millis ReleasedTakeoverDeadline{4000};
constexpr core::Millis StopDeadline{20'000};

} // namespace

// Guards against a graceful stop that truncates answers, loses requests, or leaves the domain
// without an owner until the lease expires.
Test(OwnerStops, everyCallerHasItsAnswerAndTheNextOwnerServes) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::vector<std::string> Names = TestFleet.names();
  const std::string Key = Api(TestFleet, Names.front()).createKey("mfi");
  const std::string Refusal = awaitServing(TestFleet, Names, "reorder", Key, core::Millis(5000));
  cr_assert(Refusal.empty(), "%s", Refusal.c_str());
  const std::string Owner = ownerIn(TestFleet, "lahore-a");
  cr_assert(!Owner.empty());
  const std::vector<std::string> Peers = difference(TestFleet.namesIn("lahore-a"), {Owner});

  // Four senders at each daemon of the domain: 12 requests in flight on 16 slots.
  const TrafficOptions SlowRequests{.Queue_ = "reorder",
                                    .Key_ = Key,
                                    .WorkMs_ = 800,
                                    .DeadlineMs_ = 4000,
                                    .SendersPerDaemon_ = 4};
  Traffic ThroughOwner(TestFleet, {Owner}, SlowRequests);
  Traffic ThroughPeers(TestFleet, Peers, SlowRequests);
  cr_assert(waitFor(core::Millis(8000), [&] {
    return ThroughOwner.samples().size() >= 8 && ThroughPeers.samples().size() >= 16 &&
           Api(TestFleet, Owner).status().value("requests_in_flight", 0) >= 8;
  }));
  core::TimePoint SignalledAt;
  core::TimePoint ExitedAt;
  {
    const Step Label("SIGTERM to the owner with requests in flight");
    SignalledAt = core::Clock::now();
    const auto Code = TestFleet.stop(Owner, StopDeadline);
    ExitedAt = core::Clock::now();
    cr_expect(Code.has_value(), "the owner did not exit within 20 s");
    cr_expect_eq(Code.value_or(-1), 0, "exit code %d", Code.value_or(-1));
  }
  {
    const Step Label("the next owner serves");
    cr_expect(waitFor(ReleasedTakeoverDeadline,
                      [&] {
                        return std::ranges::any_of(Peers, [&](const std::string &Name) {
                          const Json Status = Api(TestFleet, Name).status();
                          return Status.value("is_owner", false) &&
                                 Status.value("free_slots", 0) > 0;
                        });
                      }),
              "no owner with free slots within 4 s of the exit");
    std::fprintf(stderr, "  next owner with free slots %lld ms after the exit\n",
                 static_cast<long long>(core::toMillis(core::Clock::now() - ExitedAt)));
  }
  const std::vector<Sample> AtOwner = ThroughOwner.finish();
  const std::vector<Sample> AtPeers = ThroughPeers.finish();
  std::size_t InFlight = 0;
  for (const Sample &Request : AtOwner) {
    const std::string Text = Request.text();
    if (Request.Sent_ < SignalledAt && Request.Answered_ > SignalledAt) {
      ++InFlight;
      cr_expect(Request.completed(), "in flight at the signal: %s", Text.c_str());
    }
    // A request of 800 ms that the exit interrupts was sent long before it; a request sent within
    // 100 ms of the exit may find the port closed.
    const bool Refused =
        Request.Sent_ >= ExitedAt - core::Millis(100) && !Request.Answer_.Complete_;
    cr_expect(Request.completed() || Request.Answer_.Outcome_ == "not_run" || Refused,
              "%lld ms after the signal: %s",
              static_cast<long long>(core::toMillis(Request.Sent_ - SignalledAt)), Text.c_str());
  }
  std::size_t NotRun = 0;
  for (const Sample &Request : AtPeers) {
    const std::string Text = Request.text();
    InFlight += Request.Sent_ < SignalledAt && Request.Answered_ > SignalledAt ? 1 : 0;
    NotRun += Request.Answer_.Outcome_ == "not_run" ? 1 : 0;
    cr_expect(Request.completed() || Request.Answer_.Outcome_ == "not_run",
              "%lld ms after the signal: %s",
              static_cast<long long>(core::toMillis(Request.Sent_ - SignalledAt)), Text.c_str());
  }
  std::fprintf(stderr, "  %zu in flight at the signal; %zu of %zu at peers refused as not run\n",
               InFlight, NotRun, AtPeers.size());
  cr_expect_geq(InFlight, 8U);
  const std::string Contradiction = findContradiction(TestFleet, concatenated(AtOwner, AtPeers));
  cr_expect(Contradiction.empty(), "%s", Contradiction.c_str());
}
