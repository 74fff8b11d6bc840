// Gangs that lose a member together with the leader.
#include "support/FakeFleet.h"

#include <cstdlib>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;
using tests::ReturnAs;

// Guards against a gang that goes on without a member: the next leader adopts the runs of the other
// members, and nobody reports the one that went with its executor.
Test(SchedulerGangTakeover, aGangThatLosesAMemberWithTheLeaderStartsAgain) {
  for (const ReturnAs Return : {ReturnAs::SameId, ReturnAs::NewId}) {
    FakeFleetOptions Options;
    Options.Trace_ = std::getenv("MASTICDRIFT_TRACE_SEED") != nullptr;
    FakeFleet Fleet(Options);
    for (int I = 0; I < 4; ++I)
      Fleet.addExecutor("e" + std::to_string(I), {4000, 8000, 0});
    Fleet.run(Millis(100));
    work::JobSpec Spec;
    Spec.Payload_ = "payload";
    work::StepSpec Step;
    Step.TaskCount_ = 4;
    Step.Need_ = {1000, 100, 0};
    Step.EstimatedMs_ = 5000;
    Step.Gang_ = true;
    Spec.Steps_.push_back(Step);
    Fleet.submit("gang", Spec);
    Fleet.run(Millis(2000));
    cr_assert_eq(Fleet.executorsRunning("gang").size(), 4);
    Fleet.abort("e1", Millis(3000), Return);
    Fleet.takeOver();
    Fleet.run(Millis(60'000));
    cr_expect(Fleet.stateOf("gang") == work::JobState::Completed);
    for (const std::string &Violation : Fleet.violations())
      cr_expect(false, "%s", Violation.c_str());
  }
}
