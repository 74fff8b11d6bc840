// Who waits when there is more work than room: surges of one customer, work that is too late, and
// calls for advice.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;
using tests::makeJob;

namespace {

constexpr int Executors = 12;
constexpr core::Resources Capacity{16'000, 65'536, 0}; ///< 192 tasks of one core in all
constexpr std::int64_t HotCores = 64;
constexpr double Rate = 4; ///< jobs a second that each customer may submit

/// Urgent jobs of 0.5 s and batches of 4 s, as on the users' deployments, with advice for both.
work::Manifest makeManifest() {
  work::Queue Urgent;
  Urgent.Name_ = "q";
  Urgent.Pool_ = "pool";
  Urgent.MaxAttempts_ = 4;
  Urgent.Stretch_ = 1.5;
  Urgent.TargetMs_ = 500;
  Urgent.Advice_ = work::AdvicePolicy{18, 0.3, 2500};
  work::Queue Batch = Urgent;
  Batch.Name_ = "batch";
  Batch.Priority_ = 2;
  Batch.Stretch_ = 2.2;
  Batch.TargetMs_ = 1200;
  Batch.Advice_ = work::AdvicePolicy{390, 5.5, 2500};
  work::Manifest Manifest;
  Manifest.Queues_ = {Urgent, Batch};
  Manifest.Pools_["pool"] = {"pool", false};
  Manifest.Customers_["hot"] = {"hot", Rate, {HotCores * 1000, 0, 0}};
  Manifest.Customers_["calm"] = {"calm", Rate, {0, 0, 0}};
  return Manifest;
}

class Site {
public:
  explicit Site(int Advisers = 8) : Fleet_(makeOptions(Advisers)) {
    Fleet_.setManifest(makeManifest());
    for (int I = 0; I < Executors; ++I)
      Fleet_.addExecutor("e" + std::to_string(I), Capacity);
    Fleet_.run(Millis(500));
  }

  FakeFleet &fleet() { return Fleet_; }

  std::string submit(const std::string &Customer, std::uint32_t Tasks, std::int64_t Ms,
                     const std::string &Queue = "q") {
    std::string Id = Customer + std::to_string(Next_++);
    Fleet_.submit(Id, makeJob(Tasks, Ms), Queue, Customer);
    return Id;
  }

  /// \returns how many of the jobs have completed within \p Limit.
  int completedWithin(const std::vector<std::string> &Jobs, Millis Limit) const {
    int Count = 0;
    for (const std::string &Id : Jobs) {
      const auto Time = Fleet_.completionTimeOf(Id);
      Count += Time && *Time <= Limit ? 1 : 0;
    }
    return Count;
  }

private:
  static FakeFleetOptions makeOptions(int Advisers) {
    FakeFleetOptions Options;
    Options.Advisers_ = Advisers;
    return Options;
  }

  FakeFleet Fleet_;
  int Next_ = 0;
};

constexpr Millis UrgentObjective{1300};

} // namespace

// --- One customer's surge ---

// Load: one customer submits seven times its rate for 8 s, another one keeps to its own. Guards
// against jobs within the rate that wait behind the surge.
Test(SchedulerSurge, customersWithinTheirRateLoseNothing) {
  Site Small;
  std::vector<std::string> Calm;
  for (int Second = 0; Second < 8; ++Second)
    for (int I = 0; I < 28; ++I) {
      Small.submit("hot", 8, 500);
      if (I % 7 == 0)
        Calm.push_back(Small.submit("calm", 8, 500));
      Small.fleet().run(Millis(1000 / 28));
    }
  Small.fleet().run(Millis(5000));
  const int InTime = Small.completedWithin(Calm, UrgentObjective);
  cr_expect_geq(10 * InTime, 9 * static_cast<int>(Calm.size()), "%d of %zu", InTime, Calm.size());
  cr_expect(Small.fleet().violations().empty());
}

// Load: a customer submits urgent jobs and batches, together more than its rate and its limit.
// Guards against its batches going first because they came while it was within its rate: 911 of one
// customer's urgent jobs waited behind its own batches.
Test(SchedulerSurge, urgentJobsGoBeforeBatchesOfTheSameCustomer) {
  Site Small;
  std::vector<std::string> Urgent;
  for (int Second = 0; Second < 8; ++Second)
    for (int I = 0; I < 8; ++I) {
      if (I % 2 == 0)
        Small.submit("hot", 24, 4000, "batch");
      Urgent.push_back(Small.submit("hot", 8, 500));
      Small.fleet().run(Millis(125));
    }
  Small.fleet().run(Millis(10'000));
  const int Useful = Small.completedWithin(Urgent, 3 * UrgentObjective);
  cr_expect_geq(10 * Useful, 8 * static_cast<int>(Urgent.size()), "%d of %zu", Useful,
                Urgent.size());
  cr_expect(Small.fleet().violations().empty());
}

// --- Work that is too late ---

// Load: one customer's jobs of thousands of tiny steps, all too late, while nearly all room is
// free. Guards against a backlog that takes all calls for advice: overdue steps have their turn
// while half of the pool is free, and went before the jobs of all other customers for as long as
// they lasted.
Test(SchedulerSurge, overdueTinyStepsLeaveCallsToOthers) {
  Site Small(1);
  for (int I = 0; I < 4; ++I) {
    work::JobSpec Tiny = makeJob(1, 1, 1000);
    for (work::StepSpec &Step : Tiny.Steps_) {
      Step.Need_ = {1, 1, 0};
      Step.DependsOn_.clear();
    }
    Small.fleet().submit("tiny" + std::to_string(I), Tiny, "q", "hot");
  }
  Small.fleet().run(Millis(5000));
  std::vector<std::string> Calm;
  for (int I = 0; I < 10; ++I) {
    Calm.push_back(Small.submit("calm", 8, 500));
    Small.fleet().run(Millis(300));
  }
  Small.fleet().run(Millis(3000));
  const int InTime = Small.completedWithin(Calm, UrgentObjective);
  cr_expect_geq(InTime, 9, "%d of %zu", InTime, Calm.size());
  cr_expect(Small.fleet().violations().empty());
}

// Load: batches that are far too late beside urgent jobs that fill the room. Guards against a share
// of the room for what is of no use that is counted in starts: a late task of 4 s took as much as
// eight urgent ones.
Test(SchedulerSurge, workThatIsTooLateTakesLittleRoom) {
  Site Small;
  for (int I = 0; I < 12; ++I)
    Small.submit("calm", 40, 4000, "batch");
  Small.fleet().setManifest([] {
    work::Manifest Manifest = makeManifest();
    Manifest.Customers_["calm"].Weight_ = 1000;
    return Manifest;
  }());
  std::vector<std::string> Urgent;
  // Urgent jobs take four fifths of the room, while more and more batches become too late.
  Small.fleet().run(Millis(2000));
  for (int I = 0; I < 600; ++I) {
    Urgent.push_back(Small.submit("calm", 12, 500));
    Small.fleet().run(Millis(40));
  }
  Small.fleet().run(Millis(2000));
  const int InTime = Small.completedWithin(Urgent, 2 * UrgentObjective);
  cr_expect_geq(10 * InTime, 8 * static_cast<int>(Urgent.size()), "%d of %zu", InTime,
                Urgent.size());
  cr_expect(Small.fleet().violations().empty());
}

// --- Calls for advice ---

// Load: jobs of two steps whose first one takes 4 s and is declared as 1 s. Guards against calls
// for the second step that are repeated all the while because their tickets expire.
Test(SchedulerSurge, adviceIsRequestedAheadWhenTheStepBeforeIsAboutToEnd) {
  Site Small;
  for (int I = 0; I < Executors; ++I)
    Small.fleet().slowDown("e" + std::to_string(I), 4);
  const std::size_t Before = Small.fleet().adviceCallCount();
  constexpr std::size_t Jobs = 4;
  for (std::size_t I = 0; I < Jobs; ++I)
    Small.fleet().submit("chain" + std::to_string(I), makeJob(4, 1000, 2), "batch", "calm");
  Small.fleet().run(Millis(12'000));
  for (std::size_t I = 0; I < Jobs; ++I)
    cr_expect(Small.fleet().stateOf("chain" + std::to_string(I)) == work::JobState::Completed);
  const std::size_t Calls = Small.fleet().adviceCallCount() - Before;
  // One for each step, and one more where a ticket has expired.
  cr_expect_leq(Calls, 4 * Jobs, "%zu calls", Calls);
}
