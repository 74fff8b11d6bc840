/// \file
/// Random faults around executors that leave the list and leaders that reach different executors.
#ifndef MASTICDRIFT_TESTS_SUPPORT_ABSENCESTORM_H
#define MASTICDRIFT_TESTS_SUPPORT_ABSENCESTORM_H

#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <random>
#include <string>

#include <criterion/criterion.h>

namespace masticdrift::tests {

/// Plays a random sequence of faults around executors that leave the list and leaders that reach
/// different executors.
///
/// \param Options seed and tracing; the probabilities are those of the storm.
/// \param ResultsAreLate orders go through relays, and some results arrive after they were given
/// up.
inline void playAbsenceStorm(FakeFleetOptions Options, bool ResultsAreLate = false) {
  using core::Millis;
  const unsigned Seed = Options.Seed_;
  Options.LostAnswerProbability_ = 0.08;
  Options.LateOrderProbability_ = 0.08;
  Options.FailedRunProbability_ = 0.02;
  Options.MaxHoldJitterMs_ = 100;
  Options.Relayed_ = ResultsAreLate;
  FakeFleet Fleet(Options);
  std::mt19937 Random(Seed);
  const auto Cores = static_cast<std::int64_t>(2 + Random() % 3);
  for (int I = 0; I < 5; ++I)
    Fleet.addExecutor("e" + std::to_string(I), {Cores * 1000, 8000, 0});
  Fleet.run(Millis(100));
  const auto AnyExecutor = [&] { return "e" + std::to_string(Random() % 5); };
  const auto AnyTime = [&](unsigned Max) { return Millis(200 + Random() % Max); };
  for (int I = 0; I < 30; ++I) {
    Fleet.submit("j" + std::to_string(I),
                 makeJob(1 + Random() % 5, static_cast<std::int64_t>(200 + Random() % 4000), 2));
    switch (Random() % 12) {
    case 0:
      Fleet.crash(AnyExecutor(), AnyTime(3000));
      break;
    case 1:
      Fleet.disconnect(AnyExecutor(), AnyTime(12'000));
      break;
    case 2:
      for (int K = 0; K < 3; ++K)
        Fleet.setListed(AnyExecutor(), Random() % 2 == 0);
      break;
    case 3:
      Fleet.drain(AnyExecutor(), Millis(30'000));
      break;
    case 4:
      Fleet.loseNextHoldAnswer(AnyExecutor());
      break;
    case 5:
      Fleet.loseStops(AnyExecutor(), AnyTime(4000));
      break;
    case 6:
      Fleet.setStoreDown(Random() % 2 == 0);
      break;
    case 7:
    case 8: {
      // The old leader goes on for seconds; the new one does not reach some
      // executors, or reads some jobs late.
      for (int K = 0; K <= I; ++K)
        if (Random() % 4 == 0)
          Fleet.delayJobRead("j" + std::to_string(K), AnyTime(6000));
      Fleet.takeOver(Millis(Random() % 2 == 0 ? 0 : Random() % 4000));
      for (int K = 0; K < 2; ++K)
        Fleet.disconnectLeader(AnyExecutor(), AnyTime(12'000));
      break;
    }
    default:
      break;
    }
    if (ResultsAreLate && Random() % 4 == 0)
      Fleet.delayHoldResults(Millis(Random() % 3 == 0 ? 0 : Random() % 2000));
    Fleet.run(Millis(Random() % 900));
  }
  Fleet.delayHoldResults(Millis(0));
  Fleet.setStoreDown(false);
  for (int K = 0; K < 5; ++K)
    Fleet.setListed("e" + std::to_string(K), true);
  Fleet.addExecutor("spare", {4000, 8000, 0});
  Fleet.run(Millis(200'000));
  for (int I = 0; I < 30; ++I) {
    const work::JobState State = Fleet.stateOf("j" + std::to_string(I));
    cr_expect(work::isFinal(State), "seed %u: job %d is %s", Seed, I,
              std::string(nameOf(State)).c_str());
  }
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "seed %u: %s", Seed, Violation.c_str());
}

} // namespace masticdrift::tests

#endif // MASTICDRIFT_TESTS_SUPPORT_ABSENCESTORM_H
