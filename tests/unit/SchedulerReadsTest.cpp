// The work of a leader follows from what happens, not from the size of the fleet around it.
#include "support/FakeFleet.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

constexpr std::size_t RunsPerExecutor = 4;
constexpr core::Resources Capacity{16'000, 65'536, 0};

work::JobSpec makeJob(std::uint32_t Tasks, std::int64_t Ms, bool LongRunning) {
  work::StepSpec Step;
  Step.TaskCount_ = Tasks;
  Step.Need_ = {2000, 500, 0};
  Step.EstimatedMs_ = Ms;
  Step.LongRunning_ = LongRunning;
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  Spec.Steps_ = {Step};
  return Spec;
}

/// Customers have limits, as on the users' deployments.
work::Manifest makeManifest() {
  work::Queue Checks;
  Checks.Name_ = "q";
  Checks.Pool_ = "pool";
  Checks.MaxAttempts_ = 4;
  Checks.Stretch_ = 2;
  Checks.Advice_ = work::AdvicePolicy{20, 0.3, 2000};
  work::Manifest Manifest;
  Manifest.Queues_ = {Checks};
  for (const char *Customer : {"standing", "c"})
    Manifest.Customers_[Customer] = {Customer, 100'000, {1'000'000'000, 0, 0}};
  return Manifest;
}

/// A fleet of \p Executors with four runs each that last, and a small job every 100 ms.
class Site {
public:
  explicit Site(int Executors) : Fleet_(FakeFleetOptions{}) {
    Fleet_.setManifest(makeManifest());
    for (int I = 0; I < Executors; ++I)
      Fleet_.addExecutor("e" + std::to_string(I), Capacity);
    Fleet_.run(Millis(500));
    for (int I = 0; I < Executors / 10; ++I)
      Fleet_.submit("standing" + std::to_string(I),
                    makeJob(static_cast<std::uint32_t>(10 * RunsPerExecutor), 1000, true), "q",
                    "standing");
    Fleet_.run(Millis(8000));
  }

  FakeFleet &fleet() { return Fleet_; }

  /// \returns the states that are read in 3 s.
  lead::StatesRead readsOfWork() {
    Fleet_.leader().takeStatesRead();
    for (int I = 0; I < 30; ++I) {
      Fleet_.submit("job" + std::to_string(I), makeJob(2, 200, false));
      Fleet_.run(Millis(100));
    }
    return Fleet_.leader().takeStatesRead();
  }

private:
  FakeFleet Fleet_;
};

} // namespace

// --- The same work beside more runs ---

// Guards against passes that read all runs of the site: with 1,100 executors the leader spent most
// of its processor on runs that had not changed since the pass before, and jobs waited for it.
Test(SchedulerReads, passesReadTheRunsThatChange) {
  Site Small(100);
  Site Large(400);
  cr_assert_eq(Small.fleet().runCount(), 100 * RunsPerExecutor);
  cr_assert_eq(Large.fleet().runCount(), 400 * RunsPerExecutor);
  const lead::StatesRead Before = Small.readsOfWork();
  const lead::StatesRead After = Large.readsOfWork();
  // Each executor reports about every two seconds, twice in all, and a pass reads each report once.
  constexpr std::uint64_t Reports = 800;
  cr_expect_leq(After.Runs_, Before.Runs_ + Reports * RunsPerExecutor,
                "%lu runs, %lu on the small site", static_cast<unsigned long>(After.Runs_),
                static_cast<unsigned long>(Before.Runs_));
}

// Guards against rounds that walk over all executors after each event.
Test(SchedulerReads, roundsReadTheExecutorsWithEvents) {
  Site Large(400);
  Large.fleet().leader().takeStatesRead();
  Large.fleet().run(Millis(3000));
  // Walks for what is due by time, and room for the events.
  constexpr std::uint64_t WalksPerSecond = 80;
  cr_expect_leq(Large.fleet().leader().takeStatesRead().Executors_, 3 * WalksPerSecond * 400);
}

// --- One job among many ---

// Guards against a walk over all runs of the site for each job that is read.
Test(SchedulerReads, aNewJobReadsNoRuns) {
  Site Large(400);
  Large.fleet().leader().takeStatesRead();
  Large.fleet().submit("job", makeJob(2, 200, false));
  cr_expect_lt(Large.fleet().leader().takeStatesRead().Runs_, 10);
}

// Guards against a walk over all runs of the site for each job that is cancelled.
Test(SchedulerReads, aCancelledJobReadsItsOwnRuns) {
  Site Large(400);
  Large.fleet().leader().takeStatesRead();
  Large.fleet().cancel("standing0");
  // Each is read once, with the others on its executor.
  constexpr std::uint64_t Runs = 10 * RunsPerExecutor;
  cr_expect_leq(Large.fleet().leader().takeStatesRead().Runs_, Runs * RunsPerExecutor);
}
