// Takeovers while executors do not answer: what the earlier leader has recorded of them spares the
// next one most of the wait, and never leads to two runs of a task.
#include "support/FakeFleet.h"

#include <cstdlib>
#include <random>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

/// A task that lasts has to run again within this time after its last run.
constexpr Millis MaxRestartGap{6000 + 3000};
/// Leases that a leader before the first one might have granted are over after this time.
constexpr Millis TermAge{11'000};
/// Longer than any run in these tests.
constexpr Millis ForGood{3'600'000};

work::JobSpec makeJob(std::uint32_t Tasks, std::int64_t Ms, bool LongRunning = false) {
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  work::StepSpec Step;
  Step.TaskCount_ = Tasks;
  Step.Need_ = {1000, 100, 0};
  Step.EstimatedMs_ = Ms;
  Step.LongRunning_ = LongRunning;
  Spec.Steps_.push_back(Step);
  return Spec;
}

void addExecutors(FakeFleet &Fleet, int Count, std::int64_t MilliCores = 4000) {
  for (int I = 0; I < Count; ++I)
    Fleet.addExecutor("e" + std::to_string(I), {MilliCores, 8000, 0});
  Fleet.run(TermAge);
}

/// Runs the fleet until the job runs on \p Count executors.
///
/// \returns the time that it took, or \p MaxTime if it does not.
Millis awaitRuns(FakeFleet &Fleet, const std::string &Job, std::size_t Count, Millis MaxTime) {
  constexpr Millis Step{50};
  Millis Waited{0};
  for (; Waited < MaxTime && Fleet.executorsRunning(Job).size() < Count; Waited += Step)
    Fleet.run(Step);
  return Waited;
}

void expectNoViolations(const FakeFleet &Fleet, const std::string &Context = {}) {
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s %s", Context.c_str(), Violation.c_str());
}

} // namespace

// --- An executor is lost, then the leader ---

// Guards against tasks that last and stay down although there is room: each new leader counted the
// leases of lost executors anew.
Test(SchedulerSilence, tasksOfALostExecutorWaitForOneLeaseOnly) {
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutors(Fleet, 2);
  Fleet.submit("lasting", makeJob(2, 1000, true));
  cr_assert(awaitRuns(Fleet, "lasting", 2, Millis(2000)) < Millis(2000));
  const std::string Lost = Fleet.executorsRunning("lasting").front();
  Fleet.crash(Lost, ForGood);
  Fleet.run(Millis(5000));
  Fleet.takeOver();
  const Millis Gap = Millis(5000) + awaitRuns(Fleet, "lasting", 2, Millis(20'000));
  cr_expect_leq(Gap.count(), MaxRestartGap.count(), "the task runs again after %ld ms",
                static_cast<long>(Gap.count()));
  expectNoViolations(Fleet);
}

// Guards against a wait that begins anew with each of several leaders.
Test(SchedulerSilence, severalTakeoversCostOneWait) {
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutors(Fleet, 2);
  Fleet.submit("lasting", makeJob(2, 1000, true));
  cr_assert(awaitRuns(Fleet, "lasting", 2, Millis(2000)) < Millis(2000));
  Fleet.crash(Fleet.executorsRunning("lasting").front(), ForGood);
  Millis Gap{0};
  for (const Millis Time : {Millis(2500), Millis(1500), Millis(1500)}) {
    Fleet.run(Time);
    Gap += Time;
    Fleet.takeOver();
  }
  Gap += awaitRuns(Fleet, "lasting", 2, Millis(20'000));
  cr_expect_leq(Gap.count(), MaxRestartGap.count(), "the task runs again after %ld ms",
                static_cast<long>(Gap.count()));
  expectNoViolations(Fleet);
}

// Guards against the same when no leader but the first one has ever reached the lost executor, so
// that its runs are unknown.
Test(SchedulerSilence, theLeasesOfAnExecutorWithUnknownRunsAreWaitedForOnce) {
  constexpr Millis MaxLeaseWait{10'600};
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutors(Fleet, 2);
  Fleet.submit("lasting", makeJob(2, 1000, true));
  cr_assert(awaitRuns(Fleet, "lasting", 2, Millis(2000)) < Millis(2000));
  Fleet.crash(Fleet.executorsRunning("lasting").front(), ForGood);
  Fleet.takeOver();
  Millis Gap{0};
  for (const Millis Time : {Millis(8000), Millis(1500)}) {
    Fleet.run(Time);
    Gap += Time;
    Fleet.takeOver();
  }
  Gap += awaitRuns(Fleet, "lasting", 2, Millis(20'000));
  // One lease, as long as a leader that was cut off might have granted it, and two heartbeats.
  cr_expect_leq(Gap.count(), MaxLeaseWait.count() + 1500, "the task runs again after %ld ms",
                static_cast<long>(Gap.count()));
  expectNoViolations(Fleet);
}

// Guards against a lost executor that holds back tasks which cannot run there.
Test(SchedulerSilence, otherTasksStartAtOnce) {
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutors(Fleet, 3, 2000);
  Fleet.submit("first", makeJob(6, 60'000));
  cr_assert(awaitRuns(Fleet, "first", 6, Millis(2000)) < Millis(2000));
  // Begun by this leader, and without room.
  Fleet.submit("second", makeJob(2, 1000));
  Fleet.run(Millis(500));
  Fleet.crash("e0", ForGood);
  Fleet.run(Millis(5000));
  Fleet.takeOver();
  Fleet.run(Millis(200));
  Fleet.addExecutor("e9", {2000, 8000, 0});
  cr_expect_lt(awaitRuns(Fleet, "second", 2, Millis(20'000)).count(), 1500);
  expectNoViolations(Fleet);
}

// --- The executor is only cut off ---

// Guards against a run that is started again, or given up, because its executor was silent for a
// while around a takeover.
Test(SchedulerSilence, runsOfAnExecutorThatAnswersAgainGoOn) {
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutors(Fleet, 2);
  Fleet.submit("job", makeJob(2, 30'000));
  cr_assert(awaitRuns(Fleet, "job", 2, Millis(2000)) < Millis(2000));
  Fleet.disconnect(Fleet.executorsRunning("job").front(), Millis(4500));
  Fleet.run(Millis(3500));
  Fleet.takeOver();
  Fleet.run(Millis(40'000));
  cr_expect(Fleet.stateOf("job") == work::JobState::Completed);
  for (std::uint32_t I = 0; I < 2; ++I)
    cr_expect_eq(Fleet.startsOf({"job", 0, 0, I}), 1);
  expectNoViolations(Fleet);
}

// Guards against an executor that gets no work any more after it has been silent, and against one
// that gets work while a record still says that it has none.
Test(SchedulerSilence, anExecutorThatAnswersAgainGetsWork) {
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutors(Fleet, 1);
  Fleet.disconnect("e0", Millis(9000));
  Fleet.run(Millis(5000));
  Fleet.setStoreDown(true);
  Fleet.run(Millis(4500));
  Fleet.submit("job", makeJob(1, 1000));
  Fleet.run(Millis(500));
  cr_expect(Fleet.executorsRunning("job").empty());
  Fleet.setStoreDown(false);
  Fleet.run(Millis(4000));
  cr_expect(Fleet.stateOf("job") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against two runs at the same time: the leader renews the lease of an executor that answers
// again, while the record still tells the next leader when its lease is over.
Test(SchedulerSilence, noLeaseIsRenewedWhileTheRecordStands) {
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutors(Fleet, 2);
  Fleet.submit("job", makeJob(1, 40'000));
  cr_assert(awaitRuns(Fleet, "job", 1, Millis(2000)) < Millis(2000));
  const std::string Silent = Fleet.executorsRunning("job").front();
  Fleet.disconnect(Silent, Millis(5000));
  Fleet.run(Millis(4500));
  Fleet.setStoreDown(true);
  Fleet.run(Millis(1500));
  Fleet.setStoreDown(false);
  Fleet.disconnect(Silent, Millis(20'000));
  Fleet.takeOver();
  Fleet.run(Millis(60'000));
  cr_expect(Fleet.stateOf("job") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against a second run of a task whose completion was known to the earlier leader only: the
// record would tell that the executor has no run of it.
Test(SchedulerSilence, runsAreUnknownWhileReportedEndsAreNotStored) {
  FakeFleet Fleet(FakeFleetOptions{});
  addExecutors(Fleet, 2);
  Fleet.submit("job", makeJob(1, 1000));
  cr_assert(awaitRuns(Fleet, "job", 1, Millis(2000)) < Millis(2000));
  const std::string Silent = Fleet.executorsRunning("job").front();
  Fleet.holdProgress(true);
  Fleet.run(Millis(1500));
  Fleet.disconnect(Silent, Millis(6500));
  Fleet.run(Millis(4500));
  Fleet.takeOver();
  Fleet.holdProgress(false);
  Fleet.run(Millis(40'000));
  cr_expect(Fleet.stateOf("job") == work::JobState::Completed);
  cr_expect_eq(Fleet.startsOf({"job", 0, 0, 0}), 1);
  expectNoViolations(Fleet);
}

// Guards against two completed runs of a task: the executor that completed the first one left the
// list and was forgotten with its lease, and its completion acknowledged when it came back.
Test(SchedulerSilence, theCompletionOfAForgottenExecutorIsNotUsed) {
  // Whether the executor is forgotten before the leases count as lapsed depends on the time between
  // a heartbeat and a request to the executor. The outage shifts the heartbeats.
  for (Millis Outage{700}; Outage < Millis(1700); Outage += Millis(50)) {
    FakeFleet Fleet(FakeFleetOptions{});
    addExecutors(Fleet, 2);
    Fleet.submit("job", makeJob(1, 5000));
    cr_assert(awaitRuns(Fleet, "job", 1, Millis(2000)) < Millis(2000));
    const std::string Lost = Fleet.executorsRunning("job").front();
    Fleet.disconnect(Lost, Millis(13'500));
    Fleet.takeOver();
    Fleet.setListed(Lost, false);
    Fleet.run(Millis(3000));
    Fleet.setStoreDown(true);
    Fleet.run(Outage);
    Fleet.setStoreDown(false);
    Fleet.run(Millis(10'000));
    cr_assert_eq(Fleet.startsOf({"job", 0, 0, 0}), 2);
    Fleet.setListed(Lost, true);
    Fleet.run(Millis(20'000));
    cr_expect(Fleet.stateOf("job") == work::JobState::Completed);
    expectNoViolations(Fleet, "outage of " + std::to_string(Outage.count()) + " ms");
  }
}

// --- Random sequences ---

// Guards against two runs of one task in any order of takeovers, losses, cuts and outages.
Test(SchedulerSilence, randomSequencesNeverDoubleATask) {
  constexpr unsigned DefaultSeeds = 150;
  constexpr int ExecutorCount = 5;
  constexpr int Steps = 30;
  const char *Given = std::getenv("MASTICDRIFT_SILENCE_SEEDS");
  const unsigned Seeds = Given == nullptr ? DefaultSeeds : std::stoul(Given);
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.LostAnswerProbability_ = 0.02;
    Options.MaxHoldJitterMs_ = 20;
    Options.ListExpiry_ = Millis(3000);
    FakeFleet Fleet(Options);
    std::mt19937 Random(Seed);
    const auto Draw = [&](int Below) { return static_cast<int>(Random() % Below); };
    const auto AnyExecutor = [&] { return "e" + std::to_string(Draw(ExecutorCount)); };
    addExecutors(Fleet, ExecutorCount);
    Fleet.submit("lasting", makeJob(3, 1000, true));
    for (int I = 0; I < Steps; ++I) {
      Fleet.submit("job" + std::to_string(I),
                   makeJob(1 + static_cast<std::uint32_t>(Draw(4)), 300 + 100 * Draw(60)));
      switch (Draw(8)) {
      case 0:
        Fleet.crash(AnyExecutor(), Millis(500 + 100 * Draw(120)));
        break;
      case 1:
      case 2:
        Fleet.disconnect(AnyExecutor(), Millis(500 + 100 * Draw(120)));
        break;
      case 3:
        Fleet.disconnectLeader(AnyExecutor(), Millis(500 + 100 * Draw(120)));
        break;
      case 4:
        Fleet.setStoreDown(true);
        Fleet.run(Millis(100 * Draw(60)));
        Fleet.setStoreDown(false);
        break;
      default:
        // The earlier leader may go on for a while, as one that is cut off from the store does.
        Fleet.takeOver(Millis(Draw(2) * 100 * Draw(80)));
        break;
      }
      Fleet.run(Millis(100 * Draw(40)));
    }
    Fleet.run(Millis(60'000));
    expectNoViolations(Fleet, "seed " + std::to_string(Seed));
    for (int I = 0; I < Steps; ++I)
      cr_expect(Fleet.stateOf("job" + std::to_string(I)) == work::JobState::Completed,
                "seed %u: job%d is not completed", Seed, I);
  }
}
