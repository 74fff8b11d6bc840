// Hand-overs of the leadership between daemons in platform mode, as real processes: somebody renews
// the leases at all times.
#include "support/PlatformFleet.h"

#include <csignal>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr const char *JobId = "00000000000000a1";
constexpr double SmallCores = 0.12;
constexpr double LargeCores = 0.5;

/// Longer than the leases that a leader has granted when it hands over, and with the time before it
/// shorter than those that one without the store may grant.
constexpr Millis OutageTime{7800};
constexpr Millis TakeoverTime{5000};

void expectStartedOnce(PlatformFleet &Fleet, std::size_t Tasks) {
  const Json Evidence = Fleet.evidence();
  cr_expect_eq(Evidence["starts"].size(), Tasks, "%s", Evidence.dump().c_str());
  for (const auto &[Task, Starts] : Evidence["starts"].items())
    cr_expect_eq(Starts.get<int>(), 1, "%s", Evidence.dump().c_str());
}

} // namespace

// --- A small machine leads, and a large one joins ---

// Guards against leases that lapse because the leader has stepped down, while its release cannot be
// stored and nobody else can lead.
Test(HandOver, theLeaderRenewsLeasesUntilItsReleaseIsStored) {
  PlatformFleet Fleet(1, 2, SmallCores);
  cr_assert_eq(Fleet.submit(0, JobId, {2, 12'000}).Answer_.Status_, 200);
  cr_assert(Fleet.awaitState(0, JobId, "running", Millis(5000)));
  Fleet.control({{"held_daemon", PlatformFleet::nameOf(0)}, {"held_topics", {"keyed.lead"}}});
  Fleet.addDaemon(LargeCores);
  cr_assert(waitFor(Millis(2000), [&] {
    return Fleet.metrics(0).find("\nmasticdrift_hand_overs_total 1") != std::string::npos;
  }));
  Fleet.control({{"store", "refuse"}});
  std::this_thread::sleep_for(OutageTime);
  cr_expect_eq(Fleet.leader(), 0, "nobody else can lead yet");
  Fleet.control({{"store", "up"}, {"held_daemon", "none"}});
  cr_expect(Fleet.awaitState(1, JobId, "completed", Millis(20'000)));
  expectStartedOnce(Fleet, 2);
}

// --- A small machine prepares to lead, and a large one is ready ---

// Guards against a fleet without a leader while a daemon that has won the election still reads what
// a leader needs, although another one could lead at once.
Test(HandOver, aDaemonThatPreparesHandsOverToALargerOne) {
  PlatformFleet Fleet(1, 2, LargeCores);
  Fleet.addDaemon(SmallCores);
  cr_assert(waitFor(Millis(5000), [&] { return Fleet.ready(1); }));
  // The small machine cannot fence earlier leaders, which is the first thing that it prepares.
  Fleet.control({{"held_daemon", PlatformFleet::nameOf(1)}, {"held_topics", {"keyed.jobs"}}});
  Fleet.daemon(0).signal(SIGKILL);
  cr_assert(waitFor(TakeoverTime, [&] {
    return Fleet.metrics(1).find("\nmasticdrift_takeovers_total 1") != std::string::npos;
  }));
  Fleet.addDaemon(LargeCores);
  cr_expect(waitFor(TakeoverTime, [&] { return Fleet.leader() == 2; }));
}

// --- The leader is stopped ---

// Guards against a leader that is stopped and steps down while the store cannot take its release,
// so that nobody renews the leases.
Test(HandOver, aStoppedLeaderLeadsUntilItsReleaseIsStored) {
  PlatformFleet Fleet(2, 2);
  const int Leader = Fleet.leader();
  const int Other = 1 - Leader;
  cr_assert_eq(Fleet.submit(Other, JobId, {2, 12'000}).Answer_.Status_, 200);
  cr_assert(Fleet.awaitState(Other, JobId, "running", Millis(5000)));
  Fleet.control({{"store", "refuse"}});
  Fleet.daemon(Leader).signal(SIGTERM);
  std::this_thread::sleep_for(Millis(1000));
  cr_expect_eq(Fleet.leader(), Leader, "nobody else can lead yet");
  Fleet.control({{"store", "up"}});
  cr_expect(waitFor(TakeoverTime, [&] { return Fleet.leader() == Other; }));
  cr_expect_eq(Fleet.daemon(Leader).wait(Millis(8000)).value_or(-1), 0);
  cr_expect(Fleet.awaitState(Other, JobId, "completed", Millis(20'000)));
  expectStartedOnce(Fleet, 2);
}
