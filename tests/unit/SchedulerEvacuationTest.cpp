// Tests of the rules on places: evacuated failure domains, cold executors and allowed regions.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;
using tests::makeGang;
using tests::makeJob;
using tests::makeLasting;

namespace {

constexpr core::Resources Capacity{4000, 65'536, 0};
constexpr int ExecutorsPerDomain = 4;
/// Tasks of one core that fit into one domain.
constexpr std::uint32_t DomainSlots = 16;

/// Executors lahore0 to lahore3 and karachi0 to karachi3 in two failure domains.
void addDomains(FakeFleet &Fleet) {
  for (int I = 0; I < ExecutorsPerDomain; ++I)
    for (const std::string Domain : {"lahore", "karachi"})
      Fleet.addExecutor(Domain + std::to_string(I), Capacity, Domain);
  Fleet.run(Millis(300));
}

std::size_t runsIn(const FakeFleet &Fleet, const std::string &Job, const std::string &Domain) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Fleet.executorsRunning(Job), [&](const std::string &Id) { return Id.starts_with(Domain); }));
}

} // namespace

// --- An evacuation comes ---

// Load: more tasks than one domain holds. Guards against starts in a domain after its evacuation
// was read, and against tasks that are stopped there: what runs goes on to its end.
Test(SchedulerEvacuation, nothingStartsInTheDomainAndWhatRunsThereEnds) {
  FakeFleet Fleet(FakeFleetOptions{});
  addDomains(Fleet);
  Fleet.submit("before", makeJob(2 * DomainSlots, 3000));
  Fleet.run(Millis(500));
  cr_assert_eq(runsIn(Fleet, "before", "lahore"), DomainSlots);
  Fleet.evacuate("lahore");
  Fleet.submit("after", makeJob(DomainSlots, 1000));
  Fleet.run(Millis(2000));
  cr_expect_eq(runsIn(Fleet, "before", "lahore"), DomainSlots);
  cr_expect_eq(Fleet.leader().counts().RunsInEvacuation_.at("lahore"), DomainSlots);
  Fleet.run(Millis(4000));
  cr_expect(Fleet.stateOf("before") == work::JobState::Completed);
  cr_expect(Fleet.stateOf("after") == work::JobState::Completed);
  cr_expect_eq(Fleet.leader().counts().RunsInEvacuation_.at("lahore"), 0);
  cr_expect(Fleet.violations().empty());
}

// Load: tasks that last, on both domains. Guards against lasting tasks that an evacuation stops.
Test(SchedulerEvacuation, lastingTasksStay) {
  FakeFleet Fleet(FakeFleetOptions{});
  addDomains(Fleet);
  Fleet.submit("watch", makeLasting(DomainSlots));
  Fleet.run(Millis(1000));
  const std::size_t RunsThere = runsIn(Fleet, "watch", "lahore");
  cr_assert_gt(RunsThere, 0);
  Fleet.evacuate("lahore");
  Fleet.run(Millis(5000));
  cr_expect_eq(runsIn(Fleet, "watch", "lahore"), RunsThere);
  cr_expect(Fleet.violations().empty());
}

// Load: a gang that fits into either domain, and one that needs both. Guards against a gang that
// is started in part, and against one that waits although the other domain has room for it.
Test(SchedulerEvacuation, gangsStartAsAWholeElsewhereOrWait) {
  FakeFleet Fleet(FakeFleetOptions{});
  addDomains(Fleet);
  Fleet.evacuate("karachi");
  Fleet.submit("small", makeGang(DomainSlots / 2, 500));
  Fleet.submit("large", makeGang(DomainSlots + 1, 500));
  Fleet.run(Millis(3000));
  cr_expect(Fleet.stateOf("small") == work::JobState::Completed);
  cr_expect(Fleet.executorsRunning("large").empty());
  Fleet.withdrawEvacuation("karachi");
  Fleet.run(Millis(3000));
  cr_expect(Fleet.stateOf("large") == work::JobState::Completed);
  cr_expect(Fleet.violations().empty());
}

// Load: a queue whose starts need advice. Guards against calls about executors that may not be
// used: no start would follow, and other steps wait for the call.
Test(SchedulerEvacuation, noAdviceIsRequestedAboutTheDomain) {
  FakeFleetOptions Options;
  Options.Advisers_ = 2;
  FakeFleet Fleet(Options);
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Queue.MaxAttempts_ = 4;
  Queue.Stretch_ = 2;
  Queue.Advice_ = work::AdvicePolicy{20, 0.3, 2500};
  work::Manifest Manifest;
  Manifest.Queues_ = {Queue};
  Fleet.setManifest(Manifest);
  addDomains(Fleet);
  Fleet.evacuate("lahore");
  Fleet.evacuate("karachi");
  const std::size_t CallsBefore = Fleet.adviceCallCount();
  Fleet.submit("job", makeJob(4, 500));
  Fleet.run(Millis(2000));
  cr_expect_eq(Fleet.adviceCallCount(), CallsBefore);
  Fleet.withdrawEvacuation("karachi");
  Fleet.run(Millis(3000));
  cr_expect(Fleet.stateOf("job") == work::JobState::Completed);
  cr_expect(Fleet.violations().empty());
}

// --- Overlaps, withdrawals and takeovers ---

// Guards against a withdrawal that ends the other evacuation as well, or that is not noticed.
Test(SchedulerEvacuation, oneOfTwoIsWithdrawn) {
  FakeFleet Fleet(FakeFleetOptions{});
  addDomains(Fleet);
  Fleet.evacuate("lahore", Millis(200));
  Fleet.evacuate("karachi", Millis(400));
  Fleet.run(Millis(600));
  Fleet.submit("job", makeJob(4, 300));
  Fleet.run(Millis(2500));
  cr_expect(Fleet.executorsRunning("job").empty());
  Fleet.withdrawEvacuation("lahore");
  Fleet.run(Millis(200));
  cr_expect_eq(runsIn(Fleet, "job", "lahore"), 4);
  Fleet.run(Millis(1000));
  cr_expect(Fleet.stateOf("job") == work::JobState::Completed);
  cr_expect(Fleet.violations().empty());
}

// Load: work arrives while leaders are lost. Guards against a leader that starts tasks in the
// domain because it has not taken over the evacuation.
Test(SchedulerEvacuation, staysInForceOverALostLeader) {
  FakeFleet Fleet(FakeFleetOptions{});
  addDomains(Fleet);
  Fleet.submit("before", makeJob(2 * DomainSlots, 2000));
  Fleet.run(Millis(300));
  Fleet.evacuate("lahore", Millis(1000));
  Fleet.run(Millis(100));
  Fleet.takeOver(Millis(500)); // before the first leader has read the request
  for (int I = 0; I < 5; ++I) {
    Fleet.submit("job" + std::to_string(I), makeJob(8, 400));
    Fleet.run(Millis(1500));
    Fleet.takeOver();
  }
  Fleet.run(Millis(20'000));
  for (int I = 0; I < 5; ++I)
    cr_expect(Fleet.stateOf("job" + std::to_string(I)) == work::JobState::Completed);
  cr_expect(Fleet.violations().empty(), "%s",
            Fleet.violations().empty() ? "" : Fleet.violations().front().c_str());
}

// Load: random orders without answers and leaders that are lost, in 40 seeds. Guards against starts
// of the domain that come from repeated orders or from tasks that were moved there.
Test(SchedulerEvacuation, holdsUnderLostAnswersAndTakeovers) {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.LostAnswerProbability_ = 0.1;
    Options.FailedRunProbability_ = 0.05;
    FakeFleet Fleet(Options);
    addDomains(Fleet);
    for (int I = 0; I < 12; ++I) {
      Fleet.submit("job" + std::to_string(I), makeJob(6, 300 + 50 * I, 2));
      if (I == 2)
        Fleet.evacuate("lahore", Millis(50 * (Seed % 5)));
      if (I == 5)
        Fleet.evacuate("karachi");
      if (I == 6)
        Fleet.takeOver(Millis(100 * (Seed % 4)));
      if (I == 8)
        Fleet.withdrawEvacuation("karachi");
      Fleet.run(Millis(400));
    }
    Fleet.run(Millis(30'000));
    cr_expect(Fleet.violations().empty(), "seed %u: %s", Seed,
              Fleet.violations().empty() ? "" : Fleet.violations().front().c_str());
  }
}

// --- Coming back ---

// Load: fewer tasks than one domain holds. Guards against tasks on executors that are still slow
// while others have room.
Test(SchedulerEvacuation, coldExecutorsComeLater) {
  FakeFleet Fleet(FakeFleetOptions{});
  Fleet.setRegions({{"lahore", "punjab"}, {"karachi", "sindh"}});
  Fleet.takeOver();
  addDomains(Fleet);
  for (int I = 0; I < ExecutorsPerDomain; ++I)
    Fleet.setCold("lahore" + std::to_string(I), Millis(5000));
  Fleet.submit("job", makeJob(ExecutorsPerDomain, 3000));
  Fleet.run(Millis(300));
  cr_expect_eq(runsIn(Fleet, "job", "karachi"), ExecutorsPerDomain);
}

// Load: a backlog beside executors that bear two starts a second. Guards against a cold executor
// that gets all the work that fits into it at once.
Test(SchedulerEvacuation, coldExecutorsGetStartsAtTheirRate) {
  FakeFleet Fleet(FakeFleetOptions{});
  Fleet.setRegions({{"lahore", "punjab"}});
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Queue.MaxAttempts_ = 4;
  work::Manifest Manifest;
  Manifest.Queues_ = {Queue};
  Manifest.Pools_["pool"] = {"pool", false, 2};
  Fleet.setManifest(Manifest);
  Fleet.takeOver();
  Fleet.addExecutor("lahore0", {64'000, 65'536, 0}, "lahore");
  Fleet.run(Millis(500));
  Fleet.setCold("lahore0", Millis(10'000));
  Fleet.submit("job", makeJob(64, 60'000));
  Fleet.run(Millis(3000));
  const std::size_t Runs = Fleet.executorsRunning("job").size();
  cr_expect_geq(Runs, 4);
  cr_expect_leq(Runs, 8, "%zu runs", Runs);
}

// --- Regions ---

// Load: a queue and a customer that may run in one region only, with a backlog. Guards against
// starts elsewhere, and against other queues that wait because of it.
Test(SchedulerEvacuation, queuesAndCustomersStayInTheirRegions) {
  FakeFleet Fleet(FakeFleetOptions{});
  Fleet.setRegions({{"lahore", "punjab"}, {"karachi", "sindh"}});
  work::Queue Home;
  Home.Name_ = "home";
  Home.Pool_ = "pool";
  Home.MaxAttempts_ = 4;
  Home.AllowedRegions_ = {"sindh"};
  work::Queue Open = Home;
  Open.Name_ = "q";
  Open.AllowedRegions_ = {};
  work::Manifest Manifest;
  Manifest.Queues_ = {Home, Open};
  Manifest.Customers_["local"] = {"local", 100, {}, {"punjab"}};
  Fleet.setManifest(Manifest);
  Fleet.takeOver();
  addDomains(Fleet);
  Fleet.submit("home", makeJob(2 * DomainSlots, 2000), "home");
  Fleet.submit("open", makeJob(4, 2000), "q");
  Fleet.submit("local", makeJob(4, 2000), "q", "local");
  Fleet.submit("nowhere", makeJob(4, 2000), "home", "local");
  Fleet.run(Millis(500));
  cr_expect_eq(runsIn(Fleet, "home", "lahore"), 0);
  cr_expect_gt(runsIn(Fleet, "home", "karachi"), 0);
  cr_expect_eq(Fleet.executorsRunning("open").size(), 4);
  cr_expect_eq(runsIn(Fleet, "local", "lahore"), 4);
  cr_expect(Fleet.executorsRunning("nowhere").empty());
}
