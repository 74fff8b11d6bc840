// Invariants of interactive requests while executors fail in each simulated way.
#include "invariant/RequestChecks.h"

using namespace masticdrift;
using namespace masticdrift::testing;

// Guards against a request that runs twice because it is sent again after a failure (by the daemon
// or by libcurl), and against the outcome "not run" for a request that reached an executor.
Test(FailingExecutors, outcomesAreCorrectAndNothingRunsTwice) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  cr_assert(awaitKeyEverywhere(TestFleet, Key));
  for (const int IdempotentEvery : {0, 2}) {
    const std::string Scope = IdempotentEvery == 0 ? "non-idempotent" : "mixed";
    LoadGenerator Load(
        TestFleet, TestFleet.names(),
        {.CallerCount_ = 24, .DeadlineMs_ = 800, .Key_ = Key, .IdempotentEvery_ = IdempotentEvery},
        Scope);
    int ExecutorNumber = 1;
    for (const char *Failure :
         {"close_without_answer", "silent", "truncate", "no_length", "fail"}) {
      // A healthy phase first, so that idle connections exist when the executor starts to fail.
      cr_expect(Load.awaitAnswers(100, core::Millis(10'000), "completed"),
                "too few completed requests before %s", Failure);
      // Executors that failed in an earlier phase may still be ejected and would miss this phase.
      const bool Readmitted = awaitReadmission(TestFleet, ExecutorNumber);
      if (!Readmitted)
        for (const std::string &Name : TestFleet.names())
          std::printf("%s\n", Api(TestFleet, Name).status().dump().c_str());
      cr_expect(Readmitted, "executors %d stay ejected before %s", ExecutorNumber, Failure);
      setExecutorSwitches(TestFleet, ExecutorNumber, {{"failure", Failure}});
      cr_expect(Load.awaitAnswers(100, core::Millis(10'000)), "too few answers during %s", Failure);
      // All of these answers can be refusals, so wait until a request has failed on the failing
      // executor.
      if (std::string_view(Failure) == "fail")
        cr_expect(Load.awaitAnswers(1, core::Millis(10'000), "failed"),
                  "no request failed on the failing executors");
      setExecutorSwitches(TestFleet, ExecutorNumber, {{"failure", "none"}});
      ExecutorNumber = 3 - ExecutorNumber;
    }
    setExecutorSwitches(TestFleet, ExecutorNumber, {{"leaving", true}});
    cr_expect(Load.awaitAnswers(100, core::Millis(10'000)),
              "too few answers while executors are leaving");
    setExecutorSwitches(TestFleet, ExecutorNumber, {{"leaving", false}});
    const auto &Records = Load.stop();
    const Json Executors = evidenceWhenIdle(TestFleet);
    expectInvariants(Scope.c_str(), Records, Executors, false);
    const CheckResult Result = checkAnswers(Records, Executors, false);
    cr_expect(Load.countAnswers("completed") > 0 && Load.countAnswers("failed") > 0 &&
                  Load.countAnswers("unknown") > 0,
              "%s: the failures had no effect: %s", Scope.c_str(), Result.summary().c_str());
  }
}
