// The memory of accepted jobs: what a job counts, who may have more, and for how long it counts.
#include "masticdrift/daemon/MachineShares.h"
#include "masticdrift/daemon/WorkLimit.h"
#include "masticdrift/lead/JobMemory.h"
#include "masticdrift/lead/Model.h"
#include "masticdrift/work/Ledger.h"
#include "support/FakeFleet.h"

#include <string>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using lead::AdmissionOutcome;

namespace {

constexpr std::size_t Limit = 1'000'000;

work::JobSpec makeJob(std::size_t Steps, std::uint32_t TasksPerStep) {
  work::JobSpec Spec;
  Spec.Steps_.resize(Steps);
  for (work::StepSpec &Step : Spec.Steps_)
    Step.TaskCount_ = TasksPerStep;
  return Spec;
}

AdmissionOutcome outcomeOf(std::size_t Held, std::size_t HeldByCustomer, std::size_t JobBytes) {
  return lead::admitMemory({Limit, Held, HeldByCustomer}, JobBytes, "j").Outcome_;
}

/// Applies a record as if it had been read at the next offset.
struct ReadTable {
  work::JobTable Table_;
  std::uint64_t Offset_ = 0;

  void read(const work::LogRecord &Record) { Table_.apply(++Offset_, Record.Key_, Record.Value_); }
  void accept(const std::string &Id, const std::string &Customer, std::uint64_t Bytes) {
    work::AcceptedRecord Record;
    Record.Customer_ = Customer;
    Record.MemoryBytes_ = Bytes;
    read(work::encodeAccepted(Id, Record));
  }
  void end(const std::string &Id) {
    work::ProgressRecord Progress;
    Progress.State_ = work::JobState::Completed;
    read(work::encodeProgress(Id, Progress));
  }
  void remove(const std::string &Id) {
    for (const work::LogRecord &Record : work::encodeTombstones(Id))
      read(Record);
  }
};

} // namespace

// --- What a job counts ---

// Guards against jobs that are weighed by their processor time: steps and tasks take memory
// whatever they need.
Test(WorkMemory, stepsTasksAndOccurrencesCount) {
  const std::size_t One = lead::jobMemory(makeJob(1, 1));
  cr_expect_geq(lead::jobMemory(makeJob(1001, 1)) - One,
                1000U * (2U * sizeof(work::StepSpec) + sizeof(lead::TrackedStep)));
  cr_expect_geq(lead::jobMemory(makeJob(1, 1001)) - One, 1000 * sizeof(lead::TrackedTask));
  work::JobSpec Recurring = makeJob(1, 1);
  Recurring.RunCount_ = 1001;
  cr_expect_geq(lead::jobMemory(Recurring) - One, 1000 * sizeof(lead::TrackedStep));
  work::JobSpec Named = makeJob(1, 1);
  Named.Steps_[0].Image_ = std::string(10'000, 'i');
  cr_expect_geq(lead::jobMemory(Named) - One, 19'800);
}

// --- Who may have more ---

// Guards against one customer that keeps all others out.
Test(WorkMemory, oneCustomerLeavesHalfToOthers) {
  std::size_t Held = 0;
  while (outcomeOf(Held, Held, 10'000) == AdmissionOutcome::Accepted)
    Held += 10'000;
  cr_expect_eq(Held, Limit / 2);
  cr_expect(outcomeOf(Held, 0, 100'000) == AdmissionOutcome::Accepted);
}

// Guards against customers that keep out one which has nothing yet.
Test(WorkMemory, aCustomerWithoutJobsFindsRoomBesideMany) {
  constexpr int Customers = 9;
  std::size_t Held[Customers] = {};
  std::size_t Total = 0;
  for (bool Any = true; Any;) {
    Any = false;
    for (std::size_t &Own : Held)
      if (outcomeOf(Total, Own, 1000) == AdmissionOutcome::Accepted) {
        Own += 1000;
        Total += 1000;
        Any = true;
      }
  }
  cr_expect_leq(Total, Limit / 10 * 9);
  cr_expect(outcomeOf(Total, 0, 50'000) == AdmissionOutcome::Accepted);
}

// Guards against a single job that is refused in calm, and against one that is told to come back
// although it can never be accepted.
Test(WorkMemory, aSingleJobMayTakeAllThereIs) {
  cr_expect(outcomeOf(0, 0, Limit) == AdmissionOutcome::Accepted);
  const lead::AdmissionDecision Never = lead::admitMemory({Limit, 0, 0}, Limit + 1, "j");
  cr_expect(Never.Outcome_ == AdmissionOutcome::ImpossibleMemory);
  cr_expect_eq(Never.RetryAfter_.count(), 0);
  const lead::AdmissionDecision Later = lead::admitMemory({Limit, Limit, 0}, 1, "j");
  cr_expect(Later.Outcome_ == AdmissionOutcome::MemoryBacklog);
  cr_expect_geq(Later.RetryAfter_.count(), 1000);
}

// Guards against a limit of nothing where none is known.
Test(WorkMemory, withoutALimitAllIsAccepted) {
  cr_expect(lead::admitMemory({}, Limit, "j").Outcome_ == AdmissionOutcome::Accepted);
}

// --- For how long ---

// Guards against a sum that only grows, or that forgets jobs which still take memory.
Test(WorkMemory, aJobCountsUntilItsEntryIsRemoved) {
  ReadTable Log;
  Log.accept("j1", "mfi", 50'000);
  Log.accept("j2", "coop", 70'000);
  const work::HeldWork &Held = Log.Table_.held();
  cr_expect_geq(Held.of("mfi"), 50'000);
  cr_expect_lt(Held.of("mfi"), 60'000);
  cr_expect_eq(Held.total(), Held.of("mfi") + Held.of("coop"));
  Log.end("j1");
  cr_expect_gt(Held.of("mfi"), 0, "the entry of an ended job is kept");
  cr_expect_lt(Held.of("mfi"), 5000);
  Log.remove("j1");
  cr_expect_eq(Held.of("mfi"), 0);
  Log.remove("j2");
  cr_expect_eq(Held.total(), 0);
}

// Guards against steps that are read before the acceptance and counted for nobody, or twice.
Test(WorkMemory, stepsWithoutAnAcceptanceCount) {
  ReadTable Log;
  const work::JobSpec Spec = makeJob(1000, 1);
  Log.Table_.applySpec("j1", work::encodeSpec("j1", Spec).Value_);
  const work::HeldWork &Held = Log.Table_.held();
  cr_expect_geq(Held.total(), 1000 * sizeof(work::StepSpec));
  Log.accept("j1", "mfi", 2'000'000);
  cr_expect_eq(Held.total(), Held.of("mfi"));
  Log.remove("j1");
  cr_expect_eq(Held.total(), 0);
}

// Guards against an ended job whose steps are still tracked because runs are left.
Test(WorkMemory, anEndedJobWithRunsCountsInFull) {
  ReadTable Log;
  Log.accept("j1", "mfi", 50'000);
  Log.Table_.applySpec("j1", work::encodeSpec("j1", makeJob(1, 1)).Value_);
  Log.end("j1");
  cr_expect_geq(Log.Table_.held().of("mfi"), 50'000);
  Log.Table_.applySpec("j1", {});
  cr_expect_lt(Log.Table_.held().of("mfi"), 5000);
}

// --- The smallest machine ---

// Guards against a leader on a large machine that accepts more than the next one can hold.
Test(WorkLimit, theSmallestMachineDecides) {
  const core::TimePoint Start{std::chrono::hours(1)};
  daemon::WorkLimit OfLeader(128U << 20U);
  cr_expect_eq(OfLeader.current(Start), 128U << 20U);
  OfLeader.noteDaemon("10.0.0.2:1", 40U << 20U, Start);
  OfLeader.noteDaemon("10.0.0.3:1", 0, Start); // of an earlier version
  cr_expect_eq(OfLeader.current(Start), 40U << 20U);
  daemon::WorkLimit OfNext(256U << 20U);
  OfNext.noteLeader(OfLeader.current(Start), Start);
  cr_expect_eq(OfNext.current(Start), 40U << 20U);
  // A machine that is gone for good does not count for ever.
  cr_expect_eq(OfNext.current(Start + std::chrono::hours(1)), 256U << 20U);
}

// --- Runs ---

// Guards against a gang that waits for ever: all of its tasks must run at the same time.
Test(WorkMemory, aGangBeyondTheRunLimitIsRefused) {
  tests::FakeFleet Fleet({});
  Fleet.run(Millis(100));
  Fleet.leader().setRunLimit(20);
  work::JobSpec Spec = makeJob(1, 21);
  const auto Decide = [&] {
    return Fleet.leader().admit("j1", {}, Spec, {}, core::Clock::now()).Outcome_;
  };
  cr_expect(Decide() != AdmissionOutcome::ImpossibleMemory);
  Spec.Steps_[0].Gang_ = true;
  cr_expect(Decide() == AdmissionOutcome::ImpossibleMemory);
}
