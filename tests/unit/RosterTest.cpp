// The roster of executors that may have runs, and what the scheduler makes of it.
#include "masticdrift/lead/Roster.h"
#include "support/FakeFleet.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;

namespace {

constexpr const char *Address = "10.1.0.7:8444";

void applyTo(lead::Roster &Executors, const work::LogRecord &Record) {
  lead::applyRosterRecord(Executors, Record.Key_, Record.Value_);
}

work::JobSpec makeJob(std::uint32_t Tasks, std::int64_t Ms) {
  work::JobSpec Spec;
  Spec.Steps_.emplace_back();
  Spec.Steps_[0].TaskCount_ = Tasks;
  Spec.Steps_[0].Need_ = {1000, 100, 0};
  Spec.Steps_[0].EstimatedMs_ = Ms;
  return Spec;
}

/// A scheduler whose orders go nowhere.
lead::Scheduler makeScheduler(bool RosterComplete, core::TimePoint Now) {
  lead::SchedulerActions Actions;
  Actions.Hold_ = [](const fleet::ExecutorInfo &, std::uint64_t, std::int64_t, Millis) {};
  return {7, lead::SchedulerTiming{}, std::move(Actions), Now, RosterComplete};
}

fleet::ExecutorInfo makeExecutor(const std::string &Id) {
  fleet::ExecutorInfo Info;
  Info.Id_ = Id;
  Info.Address_ = Address;
  Info.Pool_ = "pool";
  Info.Capacity_ = {4000, 8000, 0};
  return Info;
}

} // namespace

// --- Records ---

Test(RosterRecords, entriesAreAddedMovedAndRemoved) {
  lead::Roster Executors;
  applyTo(Executors, lead::encodeRosterEntry("i-1", Address));
  applyTo(Executors, lead::encodeRosterEntry("i-2", Address));
  applyTo(Executors, lead::encodeRosterEntry("i-2", "10.1.0.8:8444"));
  applyTo(Executors, lead::encodeRosterRemoval("i-1"));
  cr_assert_eq(Executors.size(), 1);
  cr_expect_str_eq(Executors.at("i-2").c_str(), "10.1.0.8:8444");
}

// Guards against a claim or heartbeat that is taken for an executor.
Test(RosterRecords, otherRecordsOfTheTopicHaveNoEffect) {
  lead::Roster Executors;
  lead::applyRosterRecord(Executors, "leader", "value");
  cr_expect(Executors.empty());
}

// Guards against executors that stay in the roster because their removal expired from the history.
Test(RosterRecords, aReloadDropsExecutorsWithoutARecord) {
  lead::Roster Executors;
  applyTo(Executors, lead::encodeRosterEntry("i-1", Address));
  applyTo(Executors, lead::encodeRosterEntry("i-2", Address));
  lead::retainRosterKeys(Executors, {"leader", lead::encodeRosterEntry("i-2", Address).Key_});
  cr_expect(!Executors.contains("i-1"));
  cr_expect(Executors.contains("i-2"));
}

// --- Starts wait for the roster ---

// Guards against a start on an executor that a later leader would not ask for its runs.
Test(SchedulerRoster, nothingStartsBeforeTheExecutorIsRecorded) {
  FakeFleet Fleet({});
  Fleet.setStoreDown(true);
  Fleet.addExecutor("e0", {4000, 8000, 0});
  Fleet.submitBegun("j1", makeJob(2, 300), Fleet.term());
  Fleet.run(Millis(2000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 0);
  Fleet.setStoreDown(false);
  Fleet.run(Millis(2000));
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
}

// Guards against a restarted executor whose runs a later leader would ask for at the old address.
Test(SchedulerRoster, anExecutorWithANewAddressIsRecordedAgain) {
  const core::TimePoint Now{std::chrono::hours(1)};
  lead::Scheduler Scheduler = makeScheduler(true, Now);
  fleet::ExecutorInfo Info = makeExecutor("i-1");
  Scheduler.onExecutor(Info, Now);
  Scheduler.onExecutorRecorded("i-1", Info.Address_);
  cr_expect(Scheduler.unrecordedExecutors().empty());
  Info.Address_ = "10.1.0.8:8444";
  Scheduler.onExecutor(Info, Now);
  // The confirmation of the record with the old address arrives late.
  Scheduler.onExecutorRecorded("i-1", Address);
  cr_assert_eq(Scheduler.unrecordedExecutors().size(), 1);
  cr_expect_str_eq(Scheduler.unrecordedExecutors().at("i-1").c_str(), "10.1.0.8:8444");
}

// --- Takeovers ---

// Guards against inherited tasks that start while an executor outside the roster may run them,
// after a leader that kept no roster.
Test(SchedulerRoster, withoutACompleteRosterAllLeasesMustLapse) {
  const core::TimePoint Start{std::chrono::hours(1)};
  for (const bool RosterComplete : {true, false}) {
    lead::Scheduler Scheduler = makeScheduler(RosterComplete, Start);
    Scheduler.onExecutor(makeExecutor("i-1"), Start);
    Scheduler.tick(Start, 0);
    Scheduler.onHoldResult("i-1", fleet::OrderOutcome::Done, {}, Start, Start + Millis(5));
    Scheduler.onHeartbeatStored(Start + Millis(10'000));
    Scheduler.tick(Start + Millis(10'000), 0);
    cr_expect_eq(Scheduler.counts().Accounted_, RosterComplete);
    Scheduler.onHeartbeatStored(Start + Millis(10'600));
    Scheduler.tick(Start + Millis(10'600), 0);
    cr_expect(Scheduler.counts().Accounted_);
  }
}

// Guards against a roster that grows forever, and against the removal of an executor whose lease
// may still keep runs alive.
Test(SchedulerRoster, anExecutorWithoutEntryIsTrackedUntilItsLeaseHasLapsed) {
  const core::TimePoint Start{std::chrono::hours(1)};
  lead::Scheduler Scheduler = makeScheduler(true, Start);
  Scheduler.onExecutor(makeExecutor("i-1"), Start);
  Scheduler.onExecutorGone("i-1");
  Scheduler.tick(Start, 0);
  Scheduler.onHoldResult("i-1", fleet::OrderOutcome::NoAnswer, {}, Start, Start + Millis(900));
  cr_expect(Scheduler.isTracked("i-1"));
  Scheduler.tick(Start + Millis(1000), 0);
  cr_expect(Scheduler.isTracked("i-1"));
  Scheduler.onHoldResult("i-1", fleet::OrderOutcome::NoAnswer, {}, Start + Millis(1000),
                         Start + Millis(10'590));
  // A later leader may have renewed the lease while no heartbeat is stored.
  Scheduler.tick(Start + Millis(10'600), 0);
  cr_expect(Scheduler.isTracked("i-1"));
  Scheduler.onHeartbeatStored(Start + Millis(10'600));
  Scheduler.tick(Start + Millis(10'600), 0);
  cr_expect(!Scheduler.isTracked("i-1"));
}

// Guards against an executor that is forgotten although a start order without an answer may still
// be carried out there.
Test(SchedulerRoster, anExecutorIsTrackedWhileAStartMayStillArrive) {
  FakeFleet Fleet({});
  Fleet.addExecutor("e0", {4000, 8000, 0});
  Fleet.run(Millis(20'000));
  Fleet.loseNextStartAnswer();
  Fleet.submit("j1", makeJob(1, 60'000));
  Fleet.run(Millis(100));
  Fleet.disconnect("e0", Millis(60'000));
  Fleet.leader().onExecutorGone("e0");
  Fleet.run(Millis(12'000));
  cr_expect(Fleet.leader().isTracked("e0"));
  Fleet.run(Millis(8000));
  cr_expect(!Fleet.leader().isTracked("e0"));
}

// Guards against a new leader that waits for the lease of a drained executor, which has left or is
// about to leave: until then no inherited task would start.
Test(SchedulerRoster, aTakeoverDoesNotWaitForADrainedExecutor) {
  FakeFleet Fleet({});
  Fleet.addExecutor("e0", {4000, 8000, 0});
  Fleet.addExecutor("e1", {4000, 8000, 0});
  Fleet.run(Millis(500));
  Fleet.drain("e0", Millis(60'000));
  Fleet.run(Millis(500));
  cr_expect(!Fleet.leader().belongsInRoster("e0"));
  Fleet.disconnect("e0", Millis(60'000));
  Fleet.takeOver();
  Fleet.run(Millis(500));
  cr_expect(Fleet.leader().counts().Accounted_);
}

// Guards against a later leader that waits for the lease of an executor that was drained when this
// term began and has left since.
Test(SchedulerRoster, anExecutorThatDrainsAlreadyIsNotRecorded) {
  const core::TimePoint Start{std::chrono::hours(1)};
  lead::Scheduler Scheduler = makeScheduler(true, Start);
  fleet::ExecutorInfo Info = makeExecutor("i-1");
  Scheduler.onExecutor(makeExecutor("i-2"), Start);
  Info.Draining_ = true;
  Scheduler.onExecutor(Info, Start);
  Info.Id_ = "i-2";
  Scheduler.onExecutor(Info, Start);
  cr_expect(Scheduler.unrecordedExecutors().empty());
  cr_expect(!Scheduler.belongsInRoster("i-1"));
}

// Guards against a second run of a task that is still running on a draining executor when the
// leader changes.
Test(SchedulerRoster, aDrainingExecutorWithARunStaysInTheRoster) {
  FakeFleet Fleet({});
  Fleet.addExecutor("e0", {4000, 8000, 0});
  Fleet.run(Millis(500));
  Fleet.submit("j1", makeJob(1, 3000));
  Fleet.run(Millis(500));
  Fleet.drain("e0", Millis(60'000));
  Fleet.addExecutor("e1", {4000, 8000, 0});
  Fleet.run(Millis(500));
  cr_expect(Fleet.leader().belongsInRoster("e0"));
  Fleet.disconnect("e0", Millis(2500));
  Fleet.takeOver();
  Fleet.run(Millis(6000));
  cr_expect_eq(Fleet.startsOf({"j1", 0, 0, 0}), 1);
  cr_expect(Fleet.stateOf("j1") == work::JobState::Completed);
  cr_expect(Fleet.violations().empty());
}

// Guards against a start on an executor that was taken out of the roster and stops draining.
Test(SchedulerRoster, anExecutorThatStopsDrainingIsRecordedAgain) {
  const core::TimePoint Start{std::chrono::hours(1)};
  lead::Scheduler Scheduler = makeScheduler(true, Start);
  fleet::ExecutorInfo Info = makeExecutor("i-1");
  Scheduler.onExecutor(Info, Start);
  Scheduler.onExecutorRecorded("i-1", Info.Address_);
  Scheduler.tick(Start, 0);
  Scheduler.onHoldResult("i-1", fleet::OrderOutcome::Done, {}, Start, Start + Millis(5));
  Info.Draining_ = true;
  Scheduler.onExecutor(Info, Start + Millis(10));
  Scheduler.tick(Start + Millis(20), 0);
  cr_expect(!Scheduler.belongsInRoster("i-1"));
  Info.Draining_ = false;
  Scheduler.onExecutor(Info, Start + Millis(30));
  cr_expect(Scheduler.unrecordedExecutors().contains("i-1"));
}

// Guards against a task that starts again because the executor that has reported its end is
// forgotten before the end is durable, and the next leader does not ask it.
Test(SchedulerRoster, anExecutorIsTrackedUntilItsEndsAreDurable) {
  FakeFleet Fleet({});
  Fleet.addExecutor("e0", {4000, 8000, 0});
  Fleet.submit("j1", makeJob(1, 500));
  Fleet.run(Millis(300));
  Fleet.setStoreDown(true);
  Fleet.run(Millis(1000));
  Fleet.disconnect("e0", Millis(60'000));
  Fleet.leader().onExecutorGone("e0");
  Fleet.run(Millis(15'000));
  cr_expect(Fleet.leader().isTracked("e0"));
  Fleet.setStoreDown(false);
  Fleet.run(Millis(2000));
  cr_expect(!Fleet.leader().isTracked("e0"));
}
