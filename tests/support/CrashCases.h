/// \file
/// Fleets, jobs and expectations shared by the tests of tasks that crash executors.
#ifndef MASTICDRIFT_TESTS_SUPPORT_CRASHCASES_H
#define MASTICDRIFT_TESTS_SUPPORT_CRASHCASES_H

#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <cstdlib>
#include <string>

#include <criterion/criterion.h>

namespace masticdrift::tests {

/// A task may be started twice more after three executors have crashed under it.
inline constexpr int MaxCrashes = 5;
inline constexpr ReturnAs Returns[] = {ReturnAs::NewId, ReturnAs::SameId};
inline const work::TaskRef Deadly{"deadly", 0, 0, 0};

/// \returns options; MASTICDRIFT_TRACE_SEED requests the decisions of a seed, 0 stands for the
/// tests without seeds.
inline FakeFleetOptions makeOptions(ReturnAs Return = ReturnAs::NewId, unsigned Seed = 0) {
  FakeFleetOptions Options;
  const char *Traced = std::getenv("MASTICDRIFT_TRACE_SEED");
  Options.Trace_ = Traced != nullptr && std::to_string(Seed) == Traced;
  Options.DeadlyReturn_ = Return;
  if (Seed > 0)
    Options.Seed_ = Seed;
  return Options;
}

inline void addExecutors(FakeFleet &Fleet, int Count, std::int64_t Cores = 4) {
  for (int I = 0; I < Count; ++I)
    Fleet.addExecutor("e" + std::to_string(I), {Cores * 1000, 8000, 0});
  Fleet.run(core::Millis(100));
}

inline std::string jobName(int Number) { return "j" + std::to_string(Number); }

inline void submitSound(FakeFleet &Fleet, int Jobs, std::uint32_t Tasks, std::int64_t Ms) {
  for (int I = 0; I < Jobs; ++I)
    Fleet.submit(jobName(I), makeJob(Tasks, Ms));
}

inline void submitDeadly(FakeFleet &Fleet, work::JobSpec Spec = makeJob(1, 2000),
                         const work::TaskRef &Task = Deadly) {
  Fleet.makeDeadly(Task);
  Fleet.submit(Task.Job_, std::move(Spec));
}

/// Advances the clock until the deadly task has crashed \p Count executors.
inline bool awaitCrashes(FakeFleet &Fleet, int Count, core::Millis Timeout = core::Millis(60'000),
                         const work::TaskRef &Task = Deadly) {
  for (const core::TimePoint End = Fleet.now() + Timeout; Fleet.now() < End;
       Fleet.run(core::Millis(1)))
    if (Fleet.crashesBy(Task) >= Count)
      return true;
  return false;
}

/// Advances the clock until a task has been started \p Count times.
inline bool awaitStarts(FakeFleet &Fleet, const work::TaskRef &Task, int Count,
                        core::Millis Timeout = core::Millis(60'000)) {
  for (const core::TimePoint End = Fleet.now() + Timeout; Fleet.now() < End;
       Fleet.run(core::Millis(1)))
    if (Fleet.startsOf(Task) >= Count)
      return true;
  return false;
}

inline void expectNoViolations(const FakeFleet &Fleet, const std::string &Case) {
  for (const std::string &Violation : Fleet.violations())
    cr_expect(false, "%s: %s", Case.c_str(), Violation.c_str());
}

inline void expectState(const FakeFleet &Fleet, const std::string &Job, work::JobState State,
                        const std::string &Case) {
  cr_expect(Fleet.stateOf(Job) == State, "%s: job %s is %s", Case.c_str(), Job.c_str(),
            std::string(nameOf(Fleet.stateOf(Job))).c_str());
}

inline void expectCompleted(const FakeFleet &Fleet, int Jobs, const std::string &Case) {
  for (int I = 0; I < Jobs; ++I)
    expectState(Fleet, jobName(I), work::JobState::Completed, Case);
}

inline void expectGivenUp(const FakeFleet &Fleet, const std::string &Case,
                          const work::TaskRef &Task = Deadly) {
  expectState(Fleet, Task.Job_, work::JobState::Failed, Case);
  cr_expect_geq(Fleet.crashesBy(Task), 2, "%s: %d crashes by %s", Case.c_str(),
                Fleet.crashesBy(Task), Task.Job_.c_str());
  cr_expect_leq(Fleet.crashesBy(Task), MaxCrashes, "%s: %d crashes by %s", Case.c_str(),
                Fleet.crashesBy(Task), Task.Job_.c_str());
}

inline std::string caseName(ReturnAs Return) {
  return Return == ReturnAs::NewId ? "return as a new id" : "return under the same id";
}

inline std::string caseName(ReturnAs Return, const std::string &Name, long long Value) {
  return caseName(Return) + ", " + Name + ' ' + std::to_string(Value);
}

/// Replaces the leader \p Delay after crashes \p First to \p Last of a deadly task.
inline void playTakeovers(ReturnAs Return, core::Millis Delay, core::Millis OldLeaderTime,
                          int First = 1, int Last = MaxCrashes) {
  FakeFleet Fleet(makeOptions(Return));
  addExecutors(Fleet, 5);
  submitSound(Fleet, 5, 3, 3000);
  submitDeadly(Fleet);
  for (int I = First; I <= Last; ++I) {
    if (!awaitCrashes(Fleet, I))
      break;
    Fleet.run(Delay);
    Fleet.takeOver(OldLeaderTime);
  }
  Fleet.run(core::Millis(90'000));
  const std::string Case = caseName(Return, "takeover after ms", Delay.count()) +
                           ", old leader goes on for " + std::to_string(OldLeaderTime.count()) +
                           " ms";
  expectGivenUp(Fleet, Case);
  expectCompleted(Fleet, 5, Case);
  expectNoViolations(Fleet, Case);
}

} // namespace masticdrift::tests

#endif // MASTICDRIFT_TESTS_SUPPORT_CRASHCASES_H
