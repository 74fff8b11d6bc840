// Random takeovers while the progress of the jobs is not stored, executors leave and others are cut
// off for longer than a lease.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <cstdlib>
#include <random>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

namespace {

constexpr unsigned Executors = 8;
constexpr int Jobs = 30;

std::string executorName(unsigned Index) { return "e" + std::to_string(Index); }

void playStorm(unsigned Seed) {
  FakeFleetOptions Options;
  Options.Seed_ = Seed;
  const char *Traced = std::getenv("MASTICDRIFT_TRACE_SEED");
  Options.Trace_ = Traced != nullptr && std::to_string(Seed) == Traced;
  Options.LostAnswerProbability_ = 0.05;
  Options.MaxHoldJitterMs_ = 100;
  FakeFleet Fleet(Options);
  std::mt19937 Random(Seed);
  for (unsigned I = 0; I < Executors; ++I)
    Fleet.addExecutor(executorName(I), {3000, 8000, 0});
  Fleet.run(Millis(100));
  unsigned Left = 0;
  for (int I = 0; I < Jobs; ++I) {
    Fleet.submit("j" + std::to_string(I),
                 tests::makeJob(1 + Random() % 4, static_cast<std::int64_t>(200 + Random() % 2000),
                                1 + Random() % 3));
    const std::string Any = executorName(Random() % Executors);
    switch (Random() % 9) {
    case 0:
    case 1:
      Fleet.disconnect(Any, Millis(2000 + Random() % 22'000));
      break;
    case 2:
      Fleet.drain(Any, Millis(30'000));
      break;
    case 3:
      if (Left++ < 3)
        Fleet.shutDown(Any);
      break;
    case 4:
      Fleet.holdProgress(Random() % 3 != 0);
      break;
    case 5:
      Fleet.setStoreDown(Random() % 2 == 0);
      break;
    case 6:
      Fleet.takeOver(Millis(Random() % 2 == 0 ? 0 : Random() % 3000));
      break;
    case 7:
      Fleet.disconnectLeader(Any, Millis(500 + Random() % 12'000));
      break;
    default:
      break;
    }
    Fleet.run(Millis(Random() % 1200));
  }
  Fleet.holdProgress(false);
  Fleet.setStoreDown(false);
  Fleet.addExecutor("spare", {8000, 16'000, 0});
  Fleet.run(Millis(200'000));
  for (int I = 0; I < Jobs; ++I)
    cr_expect(work::isFinal(Fleet.stateOf("j" + std::to_string(I))), "seed %u: job %d is open",
              Seed, I);
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "seed %u: %s", Seed, Violation.c_str());
}

} // namespace

// Guards against lost and duplicated tasks when a leader takes over before the completions of its
// predecessor are stored.
Test(SchedulerUnreadyStorm, noTaskIsLostOrDuplicated) {
  constexpr unsigned DefaultSeeds = 150;
  const char *Range = std::getenv("MASTICDRIFT_STORM_SEEDS");
  const unsigned Seeds = Range == nullptr ? DefaultSeeds : std::stoul(Range);
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed)
    playStorm(Seed);
}
