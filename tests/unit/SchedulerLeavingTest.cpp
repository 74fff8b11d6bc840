// Takeovers while executors that were draining do not answer: they hold back the tasks that may run
// there, and no others.
#include "masticdrift/core/Pack.h"
#include "masticdrift/lead/Drain.h"
#include "masticdrift/lead/Election.h"
#include "support/FakeFleet.h"

#include <cstdlib>
#include <random>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

/// Leases that a leader before the first one might have granted are over after this time.
constexpr Millis TermAge{11'000};
/// All leases of earlier leaders are over this long after a takeover.
constexpr Millis MaxLeaseWait{10'600};
/// A takeover and one round trip to the executors, with two scheduling rounds.
constexpr Millis RoundTrip{100};
/// A heartbeat and the time until the leader has met its effects.
constexpr Millis HeartbeatTime{1500};
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

/// Runs the fleet until the job runs on \p Count executors.
///
/// \returns the time that it took, or \p MaxTime if it does not.
Millis awaitRuns(FakeFleet &Fleet, const std::string &Job, std::size_t Count, Millis MaxTime) {
  constexpr Millis Step{10};
  Millis Waited{0};
  for (; Waited < MaxTime && Fleet.executorsRunning(Job).size() < Count; Waited += Step)
    Fleet.run(Step);
  return Waited;
}

void expectNoViolations(const FakeFleet &Fleet, const std::string &Context = {}) {
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s %s", Context.c_str(), Violation.c_str());
}

/// Starts a fleet whose only executor is full: it runs "first", and "second", which was begun too,
/// waits for room.
void fillExecutor(FakeFleet &Fleet, const work::JobSpec &Second, std::int64_t FirstMs = 60'000) {
  Fleet.addExecutor("e0", {2000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("first", makeJob(2, FirstMs));
  cr_assert(awaitRuns(Fleet, "first", 2, Millis(2000)) < Millis(2000));
  Fleet.submit("second", Second);
  Fleet.run(Millis(500));
}

/// The executor is lost for good together with its leader while the store is away.
void loseDuringOutage(FakeFleet &Fleet) {
  Fleet.setStoreDown(true);
  Fleet.run(Millis(5000));
  Fleet.crash("e0", ForGood);
  Fleet.loseLeader();
  Fleet.run(Millis(2000));
  Fleet.setStoreDown(false);
  Fleet.addExecutor("e9", {4000, 8000, 0});
  Fleet.takeOver();
}

/// The same for an executor that has drained for a while.
void leaveDuringOutage(FakeFleet &Fleet) {
  Fleet.drain("e0", ForGood);
  Fleet.run(HeartbeatTime);
  loseDuringOutage(Fleet);
}

/// The leadership record of the version before the records of draining executors.
struct EarlierRecord {
  std::string Instance_, PeerAddress_;
  std::uint64_t Term_ = 0;
  bool Released_ = false;
  std::int64_t WallMs_ = 0;
  std::string Incarnation_;
  std::vector<lead::UnlistedExecutor> Unlisted_;
  bool RosterComplete_ = false, SilencesHold_ = false;
  MSGPACK_DEFINE_ARRAY(Instance_, PeerAddress_, Term_, Released_, WallMs_, Incarnation_, Unlisted_,
                       RosterComplete_, SilencesHold_)
};

/// A start order is under way for 8 s to an executor that drains, has a record, restarts and is
/// lost together with its leader.
///
/// \param Inherited the order is that of the leader before the one that writes the record.
void restartBeforeLateStart(bool Inherited) {
  FakeFleetOptions Options;
  Options.LateOrdersSurviveRestart_ = true;
  FakeFleet Fleet(Options);
  Fleet.addExecutor("e0", {2000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("first", makeJob(1, 60'000));
  Fleet.run(Millis(200));
  Fleet.delayNextStarts({Millis(8000), Millis(8000), Millis(8000)});
  Fleet.submit("late", makeJob(1, 2000));
  Fleet.run(Millis(100));
  Fleet.drain("e0", ForGood);
  Fleet.run(Millis(100));
  if (Inherited)
    Fleet.takeOver();
  Fleet.run(Millis(4000));
  cr_assert_eq(Fleet.startsOf({"late", 0, 0, 0}), 0);
  Fleet.crash("e0", Millis(300));
  Fleet.loseLeader();
  Fleet.run(Millis(400));
  Fleet.addExecutor("e9", {4000, 8000, 0});
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", Millis(6000));
  Fleet.run(Millis(40'000));
  cr_expect(Fleet.stateOf("late") == work::JobState::Completed);
  cr_expect_eq(Fleet.startsOf({"late", 0, 0, 0}), 1);
  expectNoViolations(Fleet);
}

} // namespace

// --- An executor leaves together with its leader ---

// Guards against tasks that wait for the lease of a leaving executor on which they can't run.
Test(SchedulerLeaving, otherTasksStartAtOnce) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(2, 1000));
  leaveDuringOutage(Fleet);
  cr_expect_leq(awaitRuns(Fleet, "second", 2, Millis(20'000)).count(), RoundTrip.count());
  expectNoViolations(Fleet);
}

// Guards against the same for tasks that last, which are down meanwhile.
Test(SchedulerLeaving, otherLastingTasksStartAtOnce) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(2, 1000, true));
  leaveDuringOutage(Fleet);
  cr_expect_leq(awaitRuns(Fleet, "second", 2, Millis(20'000)).count(), RoundTrip.count());
  expectNoViolations(Fleet);
}

// Guards against a second run of a task that may still run on the leaving executor.
Test(SchedulerLeaving, itsOwnTasksWaitForTheLease) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(1, 1000), 5000 + 15'000);
  Fleet.drain("e0", ForGood);
  Fleet.run(HeartbeatTime);
  Fleet.setStoreDown(true);
  Fleet.run(Millis(1000));
  Fleet.disconnect("e0", Millis(30'000));
  Fleet.loseLeader();
  Fleet.run(Millis(1000));
  Fleet.setStoreDown(false);
  Fleet.addExecutor("e9", {4000, 8000, 0});
  Fleet.takeOver();
  cr_expect_leq(awaitRuns(Fleet, "second", 1, Millis(20'000)).count(), RoundTrip.count());
  Fleet.run(MaxLeaseWait + HeartbeatTime);
  for (const std::string &Executor : Fleet.executorsRunning("first"))
    cr_expect_eq(Executor, "e9");
  cr_expect_eq(Fleet.executorsRunning("first").size(), 2);
  Fleet.run(Millis(60'000));
  cr_expect(Fleet.stateOf("first") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against the same wait after a further takeover: the record of the first leader holds, that
// of a leader that has just begun does not yet.
Test(SchedulerLeaving, theRecordOutlivesALeader) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(2, 1000));
  Fleet.drain("e0", ForGood);
  Fleet.run(HeartbeatTime);
  Fleet.takeOver();
  leaveDuringOutage(Fleet);
  cr_expect_leq(awaitRuns(Fleet, "second", 2, Millis(20'000)).count(), RoundTrip.count());
  expectNoViolations(Fleet);
}

// Guards against an old record that holds back a task which has been stopped there meanwhile.
Test(SchedulerLeaving, theRecordFollowsTheRunsThatEnd) {
  FakeFleet Fleet(FakeFleetOptions{});
  Fleet.addExecutor("e0", {2000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("lasting", makeJob(1, 1000, true));
  Fleet.submit("first", makeJob(1, 60'000));
  cr_assert(awaitRuns(Fleet, "lasting", 1, Millis(2000)) < Millis(2000));
  cr_assert(awaitRuns(Fleet, "first", 1, Millis(2000)) < Millis(2000));
  Fleet.loseStops("e0", Millis(1500));
  Fleet.drain("e0", ForGood);
  Fleet.run(Millis(5000));
  leaveDuringOutage(Fleet);
  cr_expect_leq(awaitRuns(Fleet, "lasting", 1, Millis(20'000)).count(), RoundTrip.count());
  cr_expect(Fleet.executorsRunning("first").empty());
  expectNoViolations(Fleet);
}

// Guards against a run that is stopped because an old record names an earlier run of its task.
Test(SchedulerLeaving, aRunThatHasMovedGoesOn) {
  FakeFleet Fleet(FakeFleetOptions{});
  Fleet.addExecutor("e0", {2000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("lasting", makeJob(1, 1000, true));
  Fleet.submit("first", makeJob(1, 60'000));
  cr_assert(awaitRuns(Fleet, "lasting", 1, Millis(2000)) < Millis(2000));
  Fleet.addExecutor("e1", {1000, 8000, 0});
  Fleet.loseStops("e0", Millis(1500));
  Fleet.drain("e0", ForGood);
  Fleet.run(Millis(1200));
  loseDuringOutage(Fleet);
  cr_expect_eq(Fleet.startsOf({"lasting", 0, 0, 0}), 2);
  Fleet.run(Millis(20'000));
  cr_expect_eq(Fleet.startsOf({"lasting", 0, 0, 0}), 2);
  expectNoViolations(Fleet);
}

// Guards against the same for a gang, all of whose members would be stopped.
Test(SchedulerLeaving, aGangThatHasMovedGoesOn) {
  FakeFleet Fleet(FakeFleetOptions{});
  Fleet.addExecutor("e0", {1000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.addExecutor("e1", {1000, 8000, 0});
  work::JobSpec Gang = makeJob(2, 60'000);
  Gang.Steps_.front().Gang_ = true;
  Fleet.submit("gang", Gang);
  cr_assert(awaitRuns(Fleet, "gang", 2, Millis(2000)) < Millis(2000));
  Fleet.addExecutor("e2", {1000, 8000, 0});
  Fleet.drain("e0", Millis(20'000));
  Fleet.run(Millis(1200));
  loseDuringOutage(Fleet);
  for (std::uint32_t I = 0; I < 2; ++I)
    cr_assert_eq(Fleet.startsOf({"gang", 0, 0, I}), 2);
  Fleet.run(RoundTrip);
  cr_expect_eq(Fleet.leader().counts().Running_, 2);
  Fleet.run(Millis(70'000));
  for (std::uint32_t I = 0; I < 2; ++I)
    cr_expect_eq(Fleet.startsOf({"gang", 0, 0, I}), 2);
  cr_expect(Fleet.stateOf("gang") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against an executor whose runs are counted twice, and never settled, when records of its
// draining and of its silence are stored.
Test(SchedulerLeaving, aRecordOfItsSilenceCountsOnce) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(2, 1000), 20'000);
  Fleet.drain("e0", ForGood);
  Fleet.run(HeartbeatTime);
  Fleet.crash("e0", ForGood);
  Fleet.run(Millis(3000));
  Fleet.addExecutor("e9", {4000, 8000, 0});
  Fleet.takeOver();
  Fleet.run(Millis(50'000));
  cr_expect(Fleet.stateOf("first") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against a record that a leader of an earlier version has not kept.
Test(SchedulerLeaving, aVoidRecordSparesNoWait) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(2, 1000));
  Fleet.drain("e0", ForGood);
  Fleet.run(HeartbeatTime);
  Fleet.crash("e0", ForGood);
  Fleet.voidDrains();
  Fleet.addExecutor("e9", {4000, 8000, 0});
  Fleet.takeOver();
  cr_expect_gt(awaitRuns(Fleet, "second", 2, Millis(20'000)).count(), 5000);
  expectNoViolations(Fleet);
}

// --- The executor stays ---

// Guards against starts that the stored record rules out: a leader that reads it starts the task
// elsewhere.
Test(SchedulerLeaving, nothingStartsBeforeTheRecordIsRemoved) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(1, 20'000), 6000);
  Fleet.drain("e0", ForGood);
  Fleet.run(HeartbeatTime);
  Fleet.setStoreDown(true);
  Fleet.run(Millis(4200));
  cr_assert(Fleet.executorsRunning("first").empty());
  Fleet.stopDraining("e0");
  Fleet.run(Millis(500));
  cr_expect(Fleet.executorsRunning("second").empty());
  Fleet.disconnect("e0", Millis(4000));
  Fleet.loseLeader();
  Fleet.setStoreDown(false);
  Fleet.addExecutor("e9", {4000, 8000, 0});
  Fleet.takeOver();
  Fleet.run(Millis(60'000));
  cr_expect(Fleet.stateOf("second") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against an executor that gets no work any more after it has been draining.
Test(SchedulerLeaving, anExecutorThatStopsDrainingGetsWork) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(1, 1000), 4000);
  Fleet.drain("e0", ForGood);
  Fleet.run(HeartbeatTime);
  Fleet.setStoreDown(true);
  Fleet.run(Millis(3000));
  Fleet.stopDraining("e0");
  Fleet.run(Millis(500));
  Fleet.setStoreDown(false);
  cr_expect_leq(awaitRuns(Fleet, "second", 1, Millis(20'000)).count(), RoundTrip.count());
  expectNoViolations(Fleet);
}

// Guards against the same under a leader that has inherited the record.
Test(SchedulerLeaving, anExecutorThatStopsDrainingGetsWorkFromTheNextLeader) {
  FakeFleet Fleet(FakeFleetOptions{});
  Fleet.addExecutor("e0", {2000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("long", makeJob(1, 60'000));
  Fleet.submit("short", makeJob(1, 4000));
  Fleet.run(Millis(200));
  Fleet.submit("second", makeJob(1, 1000));
  Fleet.run(Millis(200));
  Fleet.drain("e0", ForGood);
  Fleet.run(HeartbeatTime);
  Fleet.takeOver();
  Fleet.run(Millis(3000));
  cr_assert(Fleet.leader().isDrainRecorded("e0"));
  Fleet.stopDraining("e0");
  cr_expect_leq(awaitRuns(Fleet, "second", 1, Millis(20'000)).count(), RoundTrip.count());
  expectNoViolations(Fleet);
}

// Guards against records of executors that are not in the roster any more.
Test(SchedulerLeaving, anExecutorWithoutRunsHasNoRecord) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(1, 1000), 4000);
  Fleet.drain("e0", ForGood);
  Fleet.run(HeartbeatTime);
  cr_expect(Fleet.leader().isDrainRecorded("e0"));
  Fleet.run(Millis(4000));
  for (int I = 0; I < 30; ++I) {
    cr_expect(!Fleet.leader().isDrainRecorded("e0"));
    Fleet.run(Millis(100));
  }
}

// --- What the executor may have ---

// Guards against a second run of a task whose completion only the lost leader knew.
Test(SchedulerLeaving, reportedEndsCountWhileTheyAreNotStored) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(1, 1000), 3000);
  Fleet.holdProgress(true);
  Fleet.drain("e0", ForGood);
  Fleet.run(Millis(7000));
  cr_assert(Fleet.executorsRunning("first").empty());
  Fleet.disconnect("e0", Millis(6000));
  Fleet.addExecutor("e9", {4000, 8000, 0});
  Fleet.takeOver();
  Fleet.holdProgress(false);
  Fleet.run(Millis(30'000));
  cr_expect(Fleet.stateOf("first") == work::JobState::Completed);
  for (std::uint32_t I = 0; I < 2; ++I)
    cr_expect_eq(Fleet.startsOf({"first", 0, 0, I}), 1);
  expectNoViolations(Fleet);
}

// Guards against a second run of the tasks of an executor that its leader has never reached.
Test(SchedulerLeaving, anExecutorThatNeverAnsweredIsNotRecorded) {
  FakeFleet Fleet(FakeFleetOptions{});
  fillExecutor(Fleet, makeJob(1, 1000), 15'000);
  Fleet.drain("e0", ForGood);
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", ForGood);
  Fleet.run(Millis(2500));
  Fleet.addExecutor("e9", {4000, 8000, 0});
  Fleet.takeOver();
  Fleet.disconnectLeader("e0", ForGood);
  Fleet.run(Millis(60'000));
  cr_expect(Fleet.stateOf("first") == work::JobState::Completed);
  expectNoViolations(Fleet);
}

// Guards against a second run of a task whose start is still on its way to a new incarnation, which
// no leader has met.
Test(SchedulerLeaving, startsOnTheirWayCount) { restartBeforeLateStart(false); }

// Guards against the same when the start is that of an earlier leader than the one that has
// recorded the executor.
Test(SchedulerLeaving, startsOfEarlierLeadersCount) { restartBeforeLateStart(true); }

// --- Records ---

// Guards against heartbeats that are late because records make them long.
Test(SchedulerLeaving, recordsAreBounded) {
  constexpr std::uint32_t MaxRecordedRuns = 128;
  constexpr std::size_t MaxBytes = 16'000 + 4000; // the last record may go beyond the limit
  FakeFleet Fleet(FakeFleetOptions{});
  constexpr int Count = 40;
  constexpr std::uint32_t RunsPerExecutor = 60;
  for (int I = 0; I < Count; ++I)
    Fleet.addExecutor("e" + std::to_string(I), {std::int64_t{RunsPerExecutor} * 1000, 8000, 0});
  Fleet.run(TermAge);
  Fleet.submit("first", makeJob(Count * RunsPerExecutor, 3'000'000));
  cr_assert(awaitRuns(Fleet, "first", std::size_t{Count} * RunsPerExecutor, Millis(9000)) <
            Millis(9000));
  Fleet.addExecutor("large", {std::int64_t{MaxRecordedRuns + 1} * 1000, 20'000, 0});
  Fleet.submit("wide", makeJob(MaxRecordedRuns + 1, 3'000'000));
  cr_assert(awaitRuns(Fleet, "wide", MaxRecordedRuns + 1, Millis(9000)) < Millis(9000));
  Fleet.setStoreDown(true);
  Fleet.drain("large", ForGood);
  for (int I = 0; I < Count; ++I)
    Fleet.drain("e" + std::to_string(I), ForGood);
  Fleet.run(Millis(1000));
  std::set<std::string> Recorded;
  for (int Heartbeat = 0; Heartbeat < 4; ++Heartbeat) {
    const auto Changes = Fleet.leader().takeDrainChanges(Fleet.now() + Heartbeat * Millis(700));
    std::size_t Bytes = 0;
    for (const work::LogRecord &Change : Changes)
      Bytes += Change.Key_.size() + Change.Value_.size();
    cr_expect_leq(Bytes, MaxBytes);
    cr_expect(Fleet.leader().takeDrainChanges(Fleet.now() + Heartbeat * Millis(700)).empty());
    for (const work::LogRecord &Change : Changes)
      Recorded.insert(Change.Key_);
  }
  cr_expect_eq(Recorded.size(), static_cast<std::size_t>(Count));
  cr_expect(!Fleet.leader().isDrainRecorded("large"));
}

// Guards against records that daemons of the version before this one can't read, and the reverse.
Test(SchedulerLeaving, recordsAreReadByEarlierVersions) {
  const lead::LeadershipRecord Written{"d", "a:1", 7, false, 5, "i", {}, true, true, true};
  const auto Old = core::unpack<EarlierRecord>(core::pack(Written));
  cr_assert(Old.has_value());
  cr_expect(Old->Term_ == 7 && Old->RosterComplete_ && Old->SilencesHold_);
  const auto New = core::unpack<lead::LeadershipRecord>(
      core::pack(EarlierRecord{"d", "a:1", 7, false, 5, "i", {}, true, true}));
  cr_assert(New.has_value());
  cr_expect(New->SilencesHold_ && !New->DrainsHold_);
  const work::LogRecord Drain = lead::encodeDrain("e0", {500, {{"j", 0, 0, 1, 9}}});
  cr_expect(lead::silentExecutorOf(Drain.Key_).empty());
  lead::DrainTable Drains;
  lead::applyDrainRecord(Drains, Drain.Key_, Drain.Value_, core::TimePoint{});
  cr_assert(Drains.contains("e0"));
  cr_expect(Drains.at("e0").HoldsFrom_ >= core::TimePoint(Millis(500)));
  cr_expect_eq(Drains.at("e0").Record_.Runs_.front().Number_, 9);
  lead::voidDrains(Drains);
  cr_expect(!lead::allDrainsHold(Drains));
  lead::retainDrainKeys(Drains, {Drain.Key_});
  cr_expect_eq(Drains.size(), 1);
  const work::LogRecord Removal = lead::encodeDrainRemoval("e0");
  lead::applyDrainRecord(Drains, Removal.Key_, Removal.Value_, core::TimePoint{});
  cr_expect(Drains.empty());
}

// --- Random sequences ---

// Guards against two runs of one task, and starts that a stored record rules out, in any order of
// drains, returns, losses, outages and takeovers with late orders.
Test(SchedulerLeaving, randomSequencesNeverDoubleATask) {
  constexpr unsigned DefaultSeeds = 100;
  constexpr int Steps = 30;
  const char *Given = std::getenv("MASTICDRIFT_LEAVING_SEEDS");
  const char *Traced = std::getenv("MASTICDRIFT_TRACE_SEED");
  const unsigned Seeds = Given == nullptr ? DefaultSeeds : std::stoul(Given);
  for (unsigned Seed = Traced == nullptr ? 1 : std::stoul(Traced);
       Seed <= (Traced == nullptr ? Seeds : std::stoul(Traced)); ++Seed) {
    FakeFleetOptions Options;
    Options.Seed_ = Seed;
    Options.Trace_ = Traced != nullptr;
    Options.LostAnswerProbability_ = 0.02;
    Options.LateOrderProbability_ = 0.03;
    Options.LateAnswerProbability_ = 0.05;
    Options.MaxHoldJitterMs_ = 20;
    Options.LateOrdersSurviveRestart_ = Options.LateOrdersMissUnmetIncarnations_ = true;
    FakeFleet Fleet(Options);
    std::mt19937 Random(Seed);
    const auto Draw = [&](int Below) { return static_cast<int>(Random() % Below); };
    int Executors = 0;
    std::vector<std::string> Present;
    const auto Join = [&] {
      Present.push_back("e" + std::to_string(Executors++));
      Fleet.addExecutor(Present.back(), {4000, 8000, 0});
    };
    for (int I = 0; I < 5; ++I)
      Join();
    Fleet.run(TermAge);
    Fleet.submit("lasting", makeJob(3, 1000, true));
    for (int I = 0; I < Steps; ++I) {
      work::JobSpec Spec = makeJob(1 + static_cast<std::uint32_t>(Draw(4)), 300 + 100 * Draw(60));
      Spec.Steps_.front().Gang_ = Draw(5) == 0;
      Fleet.submit("job" + std::to_string(I), Spec);
      const std::size_t Chosen = Random() % Present.size();
      const std::string Id = Present[Chosen];
      switch (Draw(11)) {
      case 0:
      case 1:
      case 2:
        Fleet.drain(Id, Millis(2000 + 100 * Draw(150)));
        break;
      case 3:
        Fleet.stopDraining(Id);
        break;
      case 8:
        // It restarts under the same id.
        Fleet.drain(Id, Millis(2000 + 100 * Draw(150)));
        Fleet.run(Millis(100 * Draw(30)));
        Fleet.crash(Id, Millis(300 + 100 * Draw(40)));
        break;
      case 4:
        // It leaves for good, and another executor comes.
        Fleet.drain(Id, Millis(100 * Draw(30)));
        Fleet.run(Millis(100 * Draw(30)));
        if (Draw(2) == 0)
          Fleet.shutDown(Id);
        else
          Fleet.crash(Id, ForGood);
        Present.erase(Present.begin() + static_cast<std::ptrdiff_t>(Chosen));
        Join();
        break;
      case 5:
        Fleet.disconnect(Id, Millis(500 + 100 * Draw(120)));
        break;
      case 6:
        Fleet.disconnectLeader(Id, Millis(500 + 100 * Draw(120)));
        break;
      case 7:
        Fleet.setStoreDown(true);
        Fleet.run(Millis(100 * Draw(60)));
        if (Draw(2) == 0)
          Fleet.loseLeader();
        Fleet.run(Millis(100 * Draw(20)));
        Fleet.setStoreDown(false);
        Fleet.takeOver();
        break;
      default:
        // The earlier leader may go on for a while, as one that is cut off from the store does.
        Fleet.takeOver(Millis(Draw(2) * 100 * Draw(80)));
        break;
      }
      Fleet.run(Millis(100 * Draw(40)));
    }
    for (const std::string &Id : Present)
      Fleet.stopDraining(Id);
    Fleet.run(Millis(90'000));
    expectNoViolations(Fleet, "seed " + std::to_string(Seed));
    for (int I = 0; I < Steps; ++I)
      cr_expect(Fleet.stateOf("job" + std::to_string(I)) == work::JobState::Completed,
                "seed %u: job%d is not completed", Seed, I);
  }
}
