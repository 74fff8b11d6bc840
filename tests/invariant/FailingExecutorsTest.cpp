// Promises about interactive requests while executors fail in every way.
#include "invariant/RequestChecks.h"

using namespace masticdrift;
using namespace masticdrift::testing;

// Guards against a request that runs twice because it is sent again after a fault (also by
// libcurl), and against a "not run" for a request that reached an executor.
Test(FailingExecutors, answersAreTrueAndNothingRunsTwice) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  cr_assert(keyWorksEverywhere(All, Key));
  for (const int IdempotentEvery : {0, 2}) {
    const std::string Scope = IdempotentEvery == 0 ? "non-idempotent" : "mixed";
    Callers Load(
        All, All.names(),
        {.Callers_ = 24, .DeadlineMs_ = 800, .Key_ = Key, .IdempotentEvery_ = IdempotentEvery},
        Scope);
    int Number = 1;
    for (const char *Failure :
         {"close_without_answer", "silent", "truncate", "no_length", "fail"}) {
      // A healthy phase first, so that idle connections exist when the executor starts to fail.
      cr_expect(Load.await(100, core::Millis(10'000), "completed"), "before %s", Failure);
      // Executors that failed in an earlier phase may still be ejected and would miss this one.
      const bool Again = serveAgain(All, Number);
      if (!Again)
        for (const std::string &Name : All.names())
          std::printf("%s\n", Api(All, Name).status().dump().c_str());
      cr_expect(Again, "executors %d stay ejected before %s", Number, Failure);
      switchExecutors(All, Number, {{"failure", Failure}});
      cr_expect(Load.await(100, core::Millis(10'000)), "during %s", Failure);
      // Refusals alone can make up the answers; at least one request has to meet the failing
      // executor.
      if (std::string_view(Failure) == "fail")
        cr_expect(Load.await(1, core::Millis(10'000), "failed"), "no request met the failure");
      switchExecutors(All, Number, {{"failure", "none"}});
      Number = 3 - Number;
    }
    switchExecutors(All, Number, {{"leaving", true}});
    cr_expect(Load.await(100, core::Millis(10'000)), "during leaving");
    switchExecutors(All, Number, {{"leaving", false}});
    const auto &Answers = Load.finish();
    const Json Executors = settledEvidence(All);
    expectPromisesKept(Scope.c_str(), Answers, Executors, false);
    const Verdict Result = judge(Answers, Executors, false);
    cr_expect(Load.answers("completed") > 0 && Load.answers("failed") > 0 &&
                  Load.answers("unknown") > 0,
              "%s: the faults were not met: %s", Scope.c_str(), Result.text().c_str());
  }
}
