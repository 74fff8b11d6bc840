// The fake fleet follows the platform where storms depend on it.
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using tests::FakeFleet;
using tests::FakeFleetOptions;

// Guards against storms in which a new incarnation answers a request that its predecessor was
// waiting to answer: the leader would hear of a restart sooner than from a real executor, whose
// connections end with it.
Test(FakeFleet, aRestartLeavesWaitingRequestsWithoutAnswer) {
  constexpr Millis RequestTimeout{700}; // after the wait of a request
  constexpr Millis HoldCycle{2000};     // longest time between two requests
  constexpr Millis OffsetStep{100};
  constexpr Millis MeasureStep{10};
  for (Millis Offset{0}; Offset < HoldCycle; Offset += OffsetStep) {
    FakeFleetOptions Options;
    Options.RestartListDelay_ = std::nullopt;
    FakeFleet Fleet(Options);
    // The task is placed on the larger executor first.
    Fleet.addExecutor("large", {16'000, 8000, 0});
    Fleet.addExecutor("small", {4000, 8000, 0});
    Fleet.run(Millis(100));
    Fleet.submit("j1", tests::makeJob(1, 60'000));
    Fleet.run(Millis(3000) + Offset);
    cr_assert_eq(Fleet.executorsRunning("j1"), std::vector<std::string>{"large"});
    Fleet.crash("large", Millis(1));
    Millis Gap{0};
    for (; Gap < RequestTimeout && Fleet.startsOf({"j1", 0, 0, 0}) < 2; Gap += MeasureStep)
      Fleet.run(MeasureStep);
    cr_expect_eq(Gap.count(), RequestTimeout.count(), "started again after %ld ms, offset %ld ms",
                 static_cast<long>(Gap.count()), static_cast<long>(Offset.count()));
  }
}
