// Customers' limits at a takeover: what runs for a customer counts, whoever started it and whatever
// has become of its job.
#include "support/FakeFleet.h"

#include <cstdlib>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

constexpr core::Resources ExecutorCapacity{4000, 8000, 0};
constexpr core::Resources Limit{4000, 0, 0};
constexpr Millis CutTime(40'000);
constexpr Millis LongRun(60'000);

work::StepSpec makeStep(std::uint32_t Tasks, Millis RunTime = LongRun) {
  work::StepSpec Step;
  Step.TaskCount_ = Tasks;
  Step.Need_ = {1000, 100, 0};
  Step.EstimatedMs_ = RunTime.count();
  return Step;
}

work::JobSpec makeJob(std::initializer_list<work::StepSpec> Steps) {
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  Spec.Steps_ = Steps;
  return Spec;
}

/// \returns options; MASTICDRIFT_TRACE_SEED requests the decisions of a seed, 0 stands for the
/// tests without seeds.
FakeFleetOptions makeOptions(unsigned Seed = 0) {
  FakeFleetOptions Options;
  const char *Traced = std::getenv("MASTICDRIFT_TRACE_SEED");
  Options.Trace_ = Traced != nullptr && std::to_string(Seed) == Traced;
  if (Seed > 0)
    Options.Seed_ = Seed;
  return Options;
}

/// One executor; customer "c" may use four cores.
void setUp(FakeFleet &Fleet) {
  Fleet.limitCustomer("c", Limit);
  Fleet.addExecutor("e0", ExecutorCapacity);
  Fleet.run(Millis(100));
}

/// Adds an executor that has none of the runs which are under way.
void addEmptyExecutor(FakeFleet &Fleet, const std::string &Id = "empty") {
  Fleet.addExecutor(Id, ExecutorCapacity);
  Fleet.run(Millis(100));
}

void expectNoViolations(const FakeFleet &Fleet, unsigned Seed = 0) {
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "seed %u: %s", Seed, Violation.c_str());
}

} // namespace

// --- A job is cancelled while nobody leads ---

// Guards against a limit that is exceeded because the runs of a job that had ended before the new
// leader read it count for nobody while they are being stopped.
Test(SchedulerQuota, runsOfAJobThatWasCancelledBeforeTheTermCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  addEmptyExecutor(Fleet);
  Fleet.loseLeader();
  Fleet.cancel("old");
  Fleet.loseStops("e0", Millis(3000));
  Fleet.takeOver();
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(2500));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 4);
  expectNoViolations(Fleet);
  Fleet.run(Millis(2000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 0);
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// Guards against the same while the executor of these runs does not answer.
Test(SchedulerQuota, runsOfACancelledJobCountBeforeTheirExecutorAnswers) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet);
  Fleet.loseLeader();
  Fleet.cancel("old");
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// Guards against the same when the runs are reported before the record of their job is read.
Test(SchedulerQuota, runsThatAreReportedBeforeTheirEndedJobIsReadCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet);
  Fleet.loseLeader();
  Fleet.cancel("old");
  Fleet.loseStops("e0", Millis(3000));
  Fleet.delayJobRead("old", Millis(300));
  Fleet.takeOver();
  Fleet.run(Millis(400));
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(1500));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 4);
  expectNoViolations(Fleet);
  Fleet.run(Millis(3000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// --- A job is cancelled under a leader ---

// Guards against a limit that is exceeded because the next leader cannot tell the size of runs that
// the earlier one was stopping.
Test(SchedulerQuota, runsThatTheEarlierLeaderWasStoppingCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet);
  Fleet.loseStops("e0", Millis(4000));
  Fleet.cancel("old");
  Fleet.run(Millis(1000));
  Fleet.takeOver();
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(2000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 4);
  expectNoViolations(Fleet);
  Fleet.run(Millis(3000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// Guards against the same when the job is cancelled under the new leader, which does not reach the
// executor.
Test(SchedulerQuota, unreportedRunsOfAJobThatIsCancelledInTheTermCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.run(Millis(500));
  Fleet.cancel("old");
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// --- An executor that does not answer runs more than the stored progress tells ---

// Guards against a limit that is exceeded because a task has ended on one executor while another
// one, which does not answer, has a copy of it.
Test(SchedulerQuota, anUnreportedCopyOfACompletedTaskCounts) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.limitCustomer("c", {8000, 0, 0});
  Fleet.slowDown("e0", 20);
  work::StepSpec Step = makeStep(4, Millis(1000));
  Step.AllowDuplicates_ = true;
  Fleet.submit("old", makeJob({Step}));
  Fleet.run(Millis(300));
  addEmptyExecutor(Fleet);
  Fleet.addExecutor("empty-2", ExecutorCapacity);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.run(Millis(3000));
  cr_assert(Fleet.stateOf("old") == work::JobState::Completed);
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  Fleet.submit("next", makeJob({makeStep(8)}));
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 8);
  expectNoViolations(Fleet);
}

// Guards against a limit that is exceeded because the earlier leader has begun the next step of a
// job before it could store that the step before has ended.
Test(SchedulerQuota, unreportedRunsOfTheNextStepCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  work::StepSpec Second = makeStep(4);
  Second.DependsOn_ = {0};
  Fleet.submit("old", makeJob({makeStep(1, Millis(1000)), Second}));
  Fleet.run(Millis(500));
  Fleet.setStoreDown(true);
  Fleet.run(Millis(2000));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  Fleet.setStoreDown(false);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  addEmptyExecutor(Fleet);
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(20'000));
  expectNoViolations(Fleet);
}

// Guards against the same with a next step whose tasks may have copies.
Test(SchedulerQuota, unreportedCopiesOfTheNextStepCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  work::StepSpec Second = makeStep(4);
  Second.DependsOn_ = {0};
  Second.AllowDuplicates_ = true;
  Fleet.submit("old", makeJob({makeStep(1, Millis(1000)), Second}));
  Fleet.run(Millis(500));
  Fleet.setStoreDown(true);
  Fleet.run(Millis(2000));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  Fleet.setStoreDown(false);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  addEmptyExecutor(Fleet);
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(20'000));
  expectNoViolations(Fleet);
}

// --- What the rest of the fleet may do meanwhile ---

// Guards against a customer whose new jobs wait for an executor that does not answer, although all
// its earlier runs are known to be over.
Test(SchedulerQuota, runsThatAreKnownToBeOverDoNotCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet, "far");
  addEmptyExecutor(Fleet);
  Fleet.loseLeader();
  Fleet.cancel("old");
  Fleet.takeOver();
  Fleet.disconnectLeader("far", CutTime);
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 0);
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// Guards against a customer whose new jobs wait because of a step that cannot have begun: a run of
// the step before it is known.
Test(SchedulerQuota, aStepAfterAKnownRunDoesNotCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  work::StepSpec Second = makeStep(4);
  Second.DependsOn_ = {0};
  Fleet.submit("old", makeJob({makeStep(1), Second}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet, "far");
  addEmptyExecutor(Fleet);
  Fleet.takeOver();
  Fleet.disconnectLeader("far", CutTime);
  Fleet.submit("next", makeJob({makeStep(3)}));
  Fleet.run(Millis(1000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 3);
  expectNoViolations(Fleet);
}

// Guards against a customer that waits although it is within its limit, because steps that never
// run at the same time count together, and against counting another step than the largest.
Test(SchedulerQuota, unreportedStepsOfAChainCountOnce) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.limitCustomer("c", {8000, 0, 0});
  work::StepSpec Second = makeStep(3);
  Second.DependsOn_ = {0};
  work::StepSpec Third = makeStep(2);
  Third.DependsOn_ = {0, 1};
  Fleet.submit("old", makeJob({makeStep(4), Second, Third}));
  Fleet.run(Millis(500));
  addEmptyExecutor(Fleet);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  addEmptyExecutor(Fleet, "empty-2");
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(500));
  Fleet.submit("more", makeJob({makeStep(4)}));
  Fleet.run(Millis(500));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 4);
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  cr_expect_eq(Fleet.executorsRunning("more").size(), 0);
  expectNoViolations(Fleet);
}

// Guards against an executor that gets no starts of any customer while the runs of a job that has
// ended are being stopped there.
Test(SchedulerQuota, anExecutorWithRunsOfAnEndedJobGetsOtherStarts) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(2)}));
  Fleet.run(Millis(1000));
  Fleet.loseLeader();
  Fleet.cancel("old");
  Fleet.loseStops("e0", Millis(3000));
  Fleet.takeOver();
  Fleet.submit("other", makeJob({makeStep(4)}), "q", "d");
  Fleet.run(Millis(1000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 2);
  cr_expect_eq(Fleet.executorsRunning("other").size(), 2);
  expectNoViolations(Fleet);
}

// Guards against ended jobs that stay in memory and in the log although no earlier leader has
// started them, while an executor does not answer.
Test(SchedulerQuota, aJobOfTheTermIsFinishedWhileAnExecutorDoesNotAnswer) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(1)}));
  Fleet.run(Millis(500));
  addEmptyExecutor(Fleet);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.submit("next", makeJob({makeStep(1, Millis(200))}));
  Fleet.run(Millis(1000));
  cr_assert(Fleet.stateOf("next") == work::JobState::Completed);
  cr_expect_not(Fleet.leader().counts().Accounted_);
  cr_expect_eq(Fleet.leader().counts().Jobs_, 1);
  expectNoViolations(Fleet);
}

// --- The capacity of the executor that does not answer is not what its runs were started for ---

// Guards against a limit that is exceeded because an executor whose capacity has shrunk is taken to
// have no more runs than would fit on it now.
Test(SchedulerQuota, runsOnAnExecutorThatHasShrunkCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet);
  Fleet.setCapacity("e0", {1000, 8000, 0});
  Fleet.run(Millis(2000));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(1500));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 0);
  expectNoViolations(Fleet);
}

// Guards against the same with an executor that has left the list: the new leader may know no more
// of it than its address.
Test(SchedulerQuota, runsOnAnExecutorOfUnknownCapacityCount) {
  FakeFleetOptions Options = makeOptions();
  Options.ForgetsUnlistedEntries_ = true;
  FakeFleet Fleet(Options);
  setUp(Fleet);
  Fleet.submit("old", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  addEmptyExecutor(Fleet);
  Fleet.setListed("e0", false);
  Fleet.run(Millis(500));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(1500));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 0);
  expectNoViolations(Fleet);
}

// --- Runs that the stored progress does not show ---

// Guards against a limit that is exceeded because a copy of a task runs on where the new leader
// does not reach it, while the stored progress shows the task as done.
Test(SchedulerQuota, anUnreportedCopyOfATaskThatWasDoneBeforeTheTermCounts) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.limitCustomer("c", {8000, 0, 0});
  Fleet.slowDown("e0", 20);
  work::StepSpec Step = makeStep(4, Millis(1000));
  Step.AllowDuplicates_ = true;
  Fleet.submit("old", makeJob({Step}));
  Fleet.run(Millis(300));
  addEmptyExecutor(Fleet);
  addEmptyExecutor(Fleet, "empty-2");
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.run(Millis(3000));
  cr_assert(Fleet.stateOf("old") == work::JobState::Completed);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.submit("next", makeJob({makeStep(8)}));
  Fleet.run(Millis(1000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 4);
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 8);
  expectNoViolations(Fleet);
}

// Guards against the same when several leaders in a row have started copies of a task.
Test(SchedulerQuota, allUnreportedCopiesOfATaskCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.limitCustomer("c", {8000, 0, 0});
  work::StepSpec Step = makeStep(4);
  Step.AllowDuplicates_ = true;
  Fleet.submit("old", makeJob({Step}));
  Fleet.run(Millis(300));
  addEmptyExecutor(Fleet);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.run(Millis(3000));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 8);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.disconnectLeader("empty", CutTime);
  addEmptyExecutor(Fleet, "empty-2");
  addEmptyExecutor(Fleet, "empty-3"); // room for both jobs later
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 8);
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 4);
  expectNoViolations(Fleet);
}

// Guards against the same when the earlier leader has begun the next step beside a copy that it
// could not stop, and could not store that the step before has ended.
Test(SchedulerQuota, unreportedCopiesCountBesideTheRunsOfTheNextStep) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  Fleet.limitCustomer("c", {8000, 0, 0});
  work::StepSpec First = makeStep(4, Millis(2000));
  First.AllowDuplicates_ = true;
  work::StepSpec Second = makeStep(4);
  Second.DependsOn_ = {0};
  Fleet.submit("old", makeJob({First, Second}));
  Fleet.run(Millis(300));
  addEmptyExecutor(Fleet);
  Fleet.stallRunsAt("e0");
  Fleet.loseStops("e0", CutTime);
  for (int I = 0; I < 100 && Fleet.executorsRunning("old").size() < 8; ++I)
    Fleet.run(Millis(100));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 8); // the copies have started
  Fleet.setStoreDown(true);
  Fleet.run(Millis(2200));
  cr_assert_eq(Fleet.startsOf({"old", 0, 1, 0}), 1);
  Fleet.setStoreDown(false);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.disconnectLeader("empty", CutTime);
  addEmptyExecutor(Fleet, "empty-2");
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(1000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 8);
  Fleet.run(Millis(20'000));
  expectNoViolations(Fleet);
}

// Guards against a limit that is exceeded because an occurrence was due by the clock of the earlier
// leader and is not by that of the new one.
Test(SchedulerQuota, unreportedRunsOfAnOccurrenceThatIsNotDueYetCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  work::JobSpec Recurring = makeJob({makeStep(4)});
  Recurring.RunCount_ = 1;
  Recurring.FirstRunMs_ = Fleet.nowMs() + 300;
  Recurring.IntervalMs_ = 1000;
  Fleet.submit("old", Recurring);
  Fleet.run(Millis(500));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  addEmptyExecutor(Fleet);
  Fleet.setLeaderClock(Millis(-2000));
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(20'000));
  expectNoViolations(Fleet);
}

// Guards against the same when the job was cancelled while nobody led: later, its occurrence does
// not become due any more.
Test(SchedulerQuota, unreportedRunsOfAnEndedJobThatIsNotDueYetCount) {
  FakeFleet Fleet(makeOptions());
  setUp(Fleet);
  work::JobSpec Recurring = makeJob({makeStep(4)});
  Recurring.RunCount_ = 1;
  Recurring.FirstRunMs_ = Fleet.nowMs() + 300;
  Recurring.IntervalMs_ = 1000;
  Fleet.submit("old", Recurring);
  Fleet.run(Millis(500));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 4);
  addEmptyExecutor(Fleet);
  Fleet.loseLeader();
  Fleet.cancel("old");
  Fleet.setLeaderClock(Millis(-500));
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", CutTime);
  Fleet.run(Millis(1000));
  Fleet.submit("next", makeJob({makeStep(4)}));
  Fleet.run(Millis(20'000));
  expectNoViolations(Fleet);
}

// --- Orders that are carried out late ---

// Guards against a run that counts for nobody because its start was on its way when its job ended,
// and the executor has restarted meanwhile.
Test(SchedulerQuota, aLateStartOfAJobThatHasEndedCounts) {
  FakeFleetOptions Options = makeOptions();
  Options.LateOrdersSurviveRestart_ = true;
  FakeFleet Fleet(Options);
  setUp(Fleet);
  Fleet.limitCustomer("c", {1000, 0, 0});
  Fleet.delayNextStarts({Millis(9000)});
  Fleet.submit("old", makeJob({makeStep(1)}));
  Fleet.run(Millis(200));
  addEmptyExecutor(Fleet);
  Fleet.cancel("old");
  Fleet.run(Millis(5000));
  Fleet.crash("e0", Millis(500));
  Fleet.loseStops("e0", Millis(12'000)); // of the new incarnation, too
  Fleet.run(Millis(550));
  Fleet.loseStops("e0", Millis(12'000));
  Fleet.run(Millis(3500));
  cr_assert_eq(Fleet.executorsRunning("old").size(), 1);
  Fleet.submit("next", makeJob({makeStep(1)}));
  Fleet.run(Millis(2000));
  cr_expect_eq(Fleet.executorsRunning("old").size(), 1);
  expectNoViolations(Fleet);
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.executorsRunning("next").size(), 1);
  expectNoViolations(Fleet);
}

// --- Random faults ---

namespace {

constexpr int StormExecutors = 5;
constexpr int StormJobs = 60;
const std::vector<std::pair<std::string, core::Resources>> StormLimits{
    {"a", {4000, 0, 0}}, {"b", {0, 1500, 0}}, {"c", {6000, 2000, 0}}};

work::StepSpec makeRandomStep(std::mt19937 &Random, std::uint32_t EarlierSteps) {
  work::StepSpec Step = makeStep(1 + Random() % 4, Millis(200 + Random() % 5000));
  Step.Need_ = {static_cast<std::int64_t>(250 * (1 + Random() % 4)),
                static_cast<std::int64_t>(100 * (1 + Random() % 3)), 0};
  for (std::uint32_t Earlier = 0; Earlier < EarlierSteps; ++Earlier)
    if (Random() % 2 == 0)
      Step.DependsOn_.push_back(Earlier);
  Step.AllowDuplicates_ = Random() % 3 == 0;
  Step.Gang_ = !Step.AllowDuplicates_ && Random() % 4 == 0;
  return Step;
}

work::JobSpec makeRandomJob(std::mt19937 &Random, const FakeFleet &Fleet) {
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  const std::uint32_t Steps = 1 + Random() % 3;
  for (std::uint32_t I = 0; I < Steps; ++I)
    Spec.Steps_.push_back(makeRandomStep(Random, I));
  work::StepSpec &Last = Spec.Steps_.back();
  Last.LongRunning_ = !Last.Gang_ && Random() % 5 == 0;
  if (Random() % 6 == 0) {
    Spec.RunCount_ = 1 + Random() % 3;
    Spec.FirstRunMs_ = Fleet.nowMs() + static_cast<std::int64_t>(Random() % 1500);
    Spec.IntervalMs_ = static_cast<std::int64_t>(500 + Random() % 2500);
  }
  return Spec;
}

std::string jobName(unsigned Index) { return "j" + std::to_string(Index); }
std::string randomExecutor(std::mt19937 &Random) {
  return "e" + std::to_string(Random() % StormExecutors);
}

void cancelRandomJobs(FakeFleet &Fleet, std::mt19937 &Random, unsigned Submitted, unsigned Count) {
  for (; Count > 0; --Count)
    Fleet.cancel(jobName(Random() % Submitted));
}

/// The leader is lost, with jobs cancelled while nobody leads, or is replaced and goes on for a
/// while; some executors are out of the new leader's reach.
void takeOverAtRandom(FakeFleet &Fleet, std::mt19937 &Random, unsigned Submitted) {
  Fleet.setStoreDown(false);
  Fleet.setLeaderClock(Millis(Random() % 1000) - Millis(500));
  switch (Random() % 3) {
  case 0:
    Fleet.loseLeader();
    Fleet.run(Millis(Random() % 700));
    cancelRandomJobs(Fleet, Random, Submitted, Random() % 5);
    Fleet.run(Millis(Random() % 700));
    Fleet.takeOver();
    break;
  case 1:
    Fleet.takeOver();
    break;
  default:
    Fleet.takeOver(Millis(500 + Random() % 2500));
    break;
  }
  for (unsigned Cut = Random() % 4; Cut > 0; --Cut)
    Fleet.disconnectLeader(randomExecutor(Random), Millis(500 + Random() % 20'000));
}

void playStorm(unsigned Seed) {
  FakeFleetOptions Options = makeOptions(Seed);
  Options.LostAnswerProbability_ = 0.05;
  Options.LateOrderProbability_ = 0.03;
  Options.LateAnswerProbability_ = 0.1;
  Options.FailedRunProbability_ = 0.05;
  FakeFleet Fleet(Options);
  std::mt19937 Random(Seed);
  for (const auto &[Customer, UpperLimit] : StormLimits)
    Fleet.limitCustomer(Customer, UpperLimit);
  for (int K = 0; K < StormExecutors; ++K)
    Fleet.addExecutor("e" + std::to_string(K), ExecutorCapacity);
  Fleet.run(Millis(100));
  core::TimePoint StoreBackAt = Fleet.now();
  for (unsigned I = 0; I < StormJobs; ++I) {
    Fleet.submit(jobName(I), makeRandomJob(Random, Fleet), "q",
                 StormLimits[Random() % StormLimits.size()].first);
    switch (Random() % 12) {
    case 0:
      Fleet.crash(randomExecutor(Random), Millis(300 + Random() % 4000));
      break;
    case 1:
      Fleet.disconnect(randomExecutor(Random), Millis(500 + Random() % 12'000));
      break;
    case 2:
      Fleet.disconnectLeader(randomExecutor(Random), Millis(500 + Random() % 12'000));
      break;
    case 3:
      Fleet.loseStops(randomExecutor(Random), Millis(500 + Random() % 4000));
      break;
    case 4:
      Fleet.setStoreDown(true);
      StoreBackAt = Fleet.now() + Millis(500 + Random() % 4000);
      break;
    case 5:
      Fleet.slowDown(randomExecutor(Random), Random() % 2 == 0 ? 1 : 8);
      break;
    case 6:
    case 7:
    case 8:
      takeOverAtRandom(Fleet, Random, I + 1);
      break;
    case 9:
    case 10:
      cancelRandomJobs(Fleet, Random, I + 1, 1 + Random() % 3);
      break;
    default:
      break;
    }
    Fleet.run(Millis(Random() % 700));
    if (Fleet.now() >= StoreBackAt)
      Fleet.setStoreDown(false);
  }
  Fleet.setStoreDown(false);
  Fleet.run(Millis(20'000));
  for (unsigned I = 0; I < StormJobs; ++I)
    if (I % 2 == 0)
      Fleet.cancel(jobName(I));
  Fleet.run(Millis(100'000));
  for (unsigned I = 0; I < StormJobs; ++I)
    Fleet.cancel(jobName(I));
  Fleet.run(Millis(30'000));
  for (unsigned I = 0; I < StormJobs; ++I)
    cr_expect(work::isFinal(Fleet.stateOf(jobName(I))), "seed %u: job %u is open", Seed, I);
  // Nothing counts any more that is over.
  Fleet.submit("last", makeJob({makeStep(4)}), "q", "a");
  Fleet.run(Millis(2000));
  cr_expect_eq(Fleet.executorsRunning("last").size(), 4, "seed %u: the limit is not free", Seed);
  expectNoViolations(Fleet, Seed);
}

} // namespace

// Guards against limits that are exceeded, and against limits that stay taken by runs that are
// over, while leaders, executors, paths and the store fail and jobs are cancelled.
Test(SchedulerQuota, randomFaultsBringNoCustomerOverItsLimit) {
  const char *Range = std::getenv("MASTICDRIFT_STORM_SEEDS");
  const unsigned Seeds = Range == nullptr ? 40 : static_cast<unsigned>(std::atoi(Range));
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed)
    playStorm(Seed);
  for (const unsigned Seed : {180U, 191U, 576U}) // failed once
    playStorm(Seed);
}
