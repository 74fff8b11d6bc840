// Random faults while the leader is late: its rounds begin and end late, results wait for it, and
// its orders leave long after they were decided.
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

constexpr unsigned ExecutorCount = 6;
constexpr unsigned JobCount = 30;
constexpr std::uint32_t LastingTasks = 3;
constexpr const char *LastingJob = "lasting";

/// Time in which all jobs end once no new faults occur.
constexpr Millis SettlingTime{200'000};
/// Time in which the runs of a cancelled job end.
constexpr Millis CancelTime{30'000};

FakeFleetOptions makeOptions(unsigned Seed) {
  FakeFleetOptions Options;
  Options.Seed_ = Seed;
  const char *Traced = std::getenv("MASTICDRIFT_TRACE_SEED");
  Options.Trace_ = Traced != nullptr && std::to_string(Seed) == Traced;
  Options.LostAnswerProbability_ = 0.05;
  Options.LateOrderProbability_ = 0.05;
  Options.LateAnswerProbability_ = 0.1;
  Options.FailedRunProbability_ = 0.02;
  Options.MaxHoldJitterMs_ = 100;
  Options.Relayed_ = Seed % 2 == 0;
  Options.LateOrdersSurviveRestart_ = true;
  // Nothing can prevent these.
  Options.LateOrdersMissUnmetIncarnations_ = true;
  if (Seed % 3 == 0)
    Options.RestartListDelay_ = std::nullopt;
  if (Seed % 5 == 0)
    Options.ListExpiry_ = Millis(3000);
  return Options;
}

/// Plays random faults under leaders that are late in phases.
class LateLeaderStorm {
public:
  explicit LateLeaderStorm(unsigned Seed) : Seed_(Seed), Random_(Seed), Fleet_(makeOptions(Seed)) {}

  void play() {
    for (unsigned I = 0; I < ExecutorCount; ++I)
      Fleet_.addExecutor("e" + std::to_string(I), {4000, 8000, 0});
    Fleet_.run(Millis(100));
    Fleet_.submit(LastingJob, tests::makeLasting(LastingTasks));
    for (unsigned I = 0; I < JobCount; ++I) {
      submitJob("j" + std::to_string(I));
      changeLateness();
      causeFault();
      Fleet_.run(anyTime(0, 900));
    }
    settle();
    checkJobs();
    for (const std::string &Violation : Fleet_.violations())
      cr_expect(false, "seed %u: %s", Seed_, Violation.c_str());
  }

private:
  Millis anyTime(unsigned Min, unsigned Max) { return Millis(Min + Random_() % (Max - Min)); }

  std::string anyExecutor() {
    return Fleet_.latestAt("e" + std::to_string(Random_() % ExecutorCount));
  }

  void submitJob(const std::string &Id) {
    const auto Ms = static_cast<std::int64_t>(200 + Random_() % 2500);
    if (Random_() % 5 == 0)
      Fleet_.submit(Id, tests::makeGang(2 + Random_() % 2, Ms));
    else
      Fleet_.submit(Id, tests::makeJob(1 + Random_() % 5, Ms, 2));
  }

  void changeLateness() {
    switch (Random_() % 5) {
    case 0:
      Fleet_.setLateness({});
      break;
    case 1:
      Fleet_.setLateness({Millis(20), Millis(300), Millis(100), Millis(400)});
      break;
    case 2:
      Fleet_.setLateness({Millis(200), Millis(3000), Millis(300), Millis(2000)});
      break;
    default:
      break;
    }
  }

  void causeFault() {
    switch (Random_() % 14) {
    case 0:
    case 1:
      if (const std::string Id = anyExecutor(); Fleet_.isUp(Id))
        Fleet_.crash(Id, anyTime(200, 4000));
      break;
    case 2:
    case 3:
    case 4:
      Fleet_.disconnect(anyExecutor(), anyTime(1000, 12'000));
      break;
    case 5:
      if (const std::string Id = anyExecutor(); Fleet_.isUp(Id))
        Fleet_.abort(Id, anyTime(200, 4000), tests::ReturnAs::NewId);
      break;
    case 6:
      Fleet_.drain(anyExecutor(), Millis(30'000));
      break;
    case 7:
      Fleet_.stopDraining(anyExecutor());
      break;
    case 8:
      Fleet_.setStoreDown(Random_() % 2 == 0);
      break;
    case 9:
      Fleet_.loseStops(anyExecutor(), anyTime(200, 4000));
      break;
    case 10:
    case 11:
      Fleet_.takeOver(Random_() % 2 == 0 ? Millis(0) : anyTime(0, 4000));
      if (Random_() % 2 == 0)
        Fleet_.disconnectLeader(anyExecutor(), anyTime(200, 12'000));
      break;
    default:
      break;
    }
  }

  void settle() {
    Fleet_.setLateness({});
    Fleet_.setStoreDown(false);
    Fleet_.addExecutor("spare", {8000, 8000, 0});
    Fleet_.run(SettlingTime);
  }

  void checkJobs() {
    for (unsigned I = 0; I < JobCount; ++I)
      cr_expect(work::isFinal(Fleet_.stateOf("j" + std::to_string(I))), "seed %u: job %u is open",
                Seed_, I);
    cr_expect_eq(Fleet_.executorsRunning(LastingJob).size(), LastingTasks,
                 "seed %u: the lasting job has %zu tasks at work", Seed_,
                 Fleet_.executorsRunning(LastingJob).size());
    Fleet_.cancel(LastingJob);
    Fleet_.run(CancelTime);
    cr_expect(Fleet_.executorsRunning(LastingJob).empty(), "seed %u: a cancelled job runs on",
              Seed_);
  }

  unsigned Seed_;
  std::mt19937 Random_;
  FakeFleet Fleet_;
};

} // namespace

// Guards against lost, duplicated and overcommitted tasks under a leader that has too much to do.
Test(SchedulerLateLeader, noTaskIsLostDuplicatedOrOvercommitted) {
  constexpr unsigned DefaultSeeds = 100;
  const char *Range = std::getenv("MASTICDRIFT_STORM_SEEDS");
  const unsigned Seeds = Range == nullptr ? DefaultSeeds : std::stoul(Range);
  const char *First = std::getenv("MASTICDRIFT_STORM_FIRST");
  for (unsigned Seed = First == nullptr ? 1 : std::stoul(First); Seed <= Seeds; ++Seed)
    LateLeaderStorm(Seed).play();
}
