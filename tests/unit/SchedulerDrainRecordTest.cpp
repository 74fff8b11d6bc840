// Records of draining executors whose heartbeat was not stored.
#include "support/FakeFleet.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

constexpr Millis TermAge{11'000};
constexpr Millis ForGood{3'600'000};
/// Longer than the interval at which records are written again.
constexpr Millis RewriteTime{2100};

} // namespace

// Guards against a takeover that waits for a whole lease: the heartbeat with the record failed
// while the store was away, and the record was never written again.
Test(SchedulerDrainRecord, aRecordIsWrittenUntilItIsStored) {
  FakeFleet Fleet(FakeFleetOptions{});
  Fleet.addExecutor("e0", {4000, 8000, 0});
  Fleet.run(TermAge);
  work::StepSpec Step;
  Step.TaskCount_ = 1;
  Step.Need_ = {1000, 100, 0};
  Step.EstimatedMs_ = ForGood.count();
  work::JobSpec Job;
  Job.Payload_ = "payload";
  Job.Steps_ = {Step};
  Fleet.submit("long", Job);
  Fleet.run(Millis(1000));
  cr_assert_eq(Fleet.executorsRunning("long").size(), 1);
  Fleet.setStoreDown(true);
  Fleet.drain("e0", ForGood);
  Fleet.run(Millis(1000));
  lead::Scheduler &Leader = Fleet.leader();
  cr_assert_eq(Leader.takeDrainChanges(Fleet.now()).size(), 1);
  cr_expect(Leader.takeDrainChanges(Fleet.now()).empty(), "it is on its way");
  const auto Again = Leader.takeDrainChanges(Fleet.now() + RewriteTime);
  cr_assert_eq(Again.size(), 1, "it was not stored");
  Leader.onDrainChangesStored(Again);
  cr_expect(Leader.takeDrainChanges(Fleet.now() + 2 * RewriteTime).empty());
}
