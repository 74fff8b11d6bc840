// Evacuations of a failure domain, as real processes: all executors are in domain "lahore-a".
#include "support/PlatformFleet.h"

#include <csignal>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr const char *Evacuated = "\nmasticdrift_evacuated{domain=\"lahore-a\"} 1\n";
/// Time in which a request must be in force; the platform's setting.
constexpr Millis ForceTimeout{5000};
/// Time for a takeover on a calm machine and a job of 0.1 s.
constexpr Millis JobTimeout{15'000};
/// Time in which tasks that may start are started, several times over.
constexpr Millis WatchTime{1500};

void request(PlatformFleet &Fleet, const std::string &Key, const std::string &Value = "{}") {
  Fleet.control({{"operator", {{"key", Key}, {"value", Value}}}});
}

/// \returns the index of a leader other than \p Except at which the evacuation is in force, or -1.
int awaitForce(PlatformFleet &Fleet, Millis Timeout, int Except = -1) {
  int Leader = -1;
  waitFor(Timeout, [&] {
    Leader = Fleet.leader();
    return Leader >= 0 && Leader != Except &&
           Fleet.metrics(Leader).find(Evacuated) != std::string::npos;
  });
  return Leader;
}

std::size_t starts(PlatformFleet &Fleet) { return Fleet.evidence()["starts"].size(); }

/// \returns true when something starts although nothing may.
bool startsAnything(PlatformFleet &Fleet, std::size_t Before) {
  return waitFor(WatchTime, [&] { return starts(Fleet) > Before; });
}

} // namespace

// --- A request in calm ---

// Guards against a request that no daemon reads, and against one that stays after its withdrawal.
Test(Evacuation, nothingStartsUntilItIsWithdrawn) {
  PlatformFleet Fleet(3, 2, 0.25, true);
  cr_assert_eq(Fleet.submit(0, "00000000000000a1", {}).Answer_.Status_, 200);
  cr_assert(Fleet.awaitState(0, "00000000000000a1", "completed", JobTimeout));
  request(Fleet, "evacuate/lahore-a");
  cr_assert_geq(awaitForce(Fleet, ForceTimeout), 0);
  const std::size_t Before = starts(Fleet);
  cr_assert_eq(Fleet.submit(1, "00000000000000a2", {}).Answer_.Status_, 200);
  cr_expect(!startsAnything(Fleet, Before));
  request(Fleet, "evacuate/lahore-a", "");
  cr_expect(Fleet.awaitState(1, "00000000000000a2", "completed", JobTimeout));
}

// Guards against a mistyped request that stops work, and against one that nobody hears of.
Test(Evacuation, anUnknownDomainAndOtherRequestsChangeNothing) {
  PlatformFleet Fleet(2, 2, 0.25, true);
  request(Fleet, "evacuate/lahore");
  request(Fleet, "wave/1", R"({"wave":1,"machines":[],"duration_s":20,"upper_limit":1})");
  const auto Counts = [&](const std::string &Outcome) {
    return Fleet.metrics(Fleet.leader())
               .find("masticdrift_operator_requests_total{outcome=\"" + Outcome + "\"} 1") !=
           std::string::npos;
  };
  cr_expect(
      waitFor(ForceTimeout, [&] { return Counts("unknown_domain") && Counts("not_served"); }));
  cr_assert_eq(Fleet.submit(0, "00000000000000a3", {}).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(0, "00000000000000a3", "completed", JobTimeout));
}

// Guards against deployments without the rules on places that obey a request all the same.
Test(Evacuation, isNotServedWhereTheRulesAreNotInForce) {
  PlatformFleet Fleet(2, 2);
  request(Fleet, "evacuate/lahore-a");
  cr_assert_eq(Fleet.submit(0, "00000000000000a4", {}).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(0, "00000000000000a4", "completed", JobTimeout));
}

// --- Lost leaders ---

// Guards against a request that is lost with the leader that has read it.
Test(Evacuation, staysInForceWhenTheLeaderIsKilled) {
  PlatformFleet Fleet(3, 2, 0.25, true);
  request(Fleet, "evacuate/lahore-a");
  const int First = awaitForce(Fleet, ForceTimeout);
  cr_assert_geq(First, 0);
  const std::size_t Before = starts(Fleet);
  const int Other = (First + 1) % 3;
  cr_assert_eq(Fleet.submit(Other, "00000000000000a5", {}).Answer_.Status_, 200);
  Fleet.daemon(First).signal(SIGKILL);
  cr_assert_geq(awaitForce(Fleet, JobTimeout, First), 0);
  cr_expect(!startsAnything(Fleet, Before));
  request(Fleet, "evacuate/lahore-a", "");
  cr_expect(Fleet.awaitState(Other, "00000000000000a5", "completed", JobTimeout));
}

// Guards against a leader that leads before it has read a request which was confirmed while the
// one before it was paused.
Test(Evacuation, isReadByTheNextLeaderBeforeItsFirstStart) {
  PlatformFleet Fleet(3, 2, 0.25, true);
  const int First = Fleet.leader();
  const int Other = (First + 1) % 3;
  Fleet.daemon(First).signal(SIGSTOP);
  request(Fleet, "evacuate/lahore-a");
  const std::size_t Before = starts(Fleet);
  Fleet.submit(Other, "00000000000000a6", {});
  const bool Held = waitFor(JobTimeout, [&] {
    for (int I = 0; I < 3; ++I)
      if (I != First && Fleet.metrics(I).find(Evacuated) != std::string::npos)
        return true;
    return false;
  });
  cr_expect(Held, "no other daemon leads with the evacuation in force");
  cr_expect(!startsAnything(Fleet, Before));
  Fleet.daemon(First).signal(SIGCONT);
  cr_expect(!startsAnything(Fleet, Before));
}

// Guards against a leader that can't read the store when the request comes and goes on starting
// tasks: another one takes over and serves the request.
Test(Evacuation, isServedWhenTheStoreRefusesTheLeader) {
  PlatformFleet Fleet(3, 2, 0.25, true);
  const int First = Fleet.leader();
  Fleet.control({{"refused_daemon", PlatformFleet::nameOf(First)}});
  request(Fleet, "evacuate/lahore-a");
  cr_assert_geq(awaitForce(Fleet, JobTimeout, First), 0);
  const std::size_t Before = starts(Fleet);
  cr_assert_eq(Fleet.submit((First + 1) % 3, "00000000000000a7", {}).Answer_.Status_, 200);
  cr_expect(!startsAnything(Fleet, Before));
}
