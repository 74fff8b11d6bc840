// Which executors a new leader accounts for before it restarts the tasks of its predecessor.
#include "support/PlatformFleet.h"

#include <csignal>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr const char *JobId = "00000000000000a1";
/// A leader whose machine is gone is replaced within 2.5 s; the rest covers the job's run time, the
/// lease of an executor that does not answer, and slow machines.
constexpr Millis TakeoverTimeout{25'000};

void expectTasksStartedOnce(PlatformFleet &Fleet, std::size_t TaskCount) {
  const Json Evidence = Fleet.evidence();
  cr_expect(Evidence["doubled"].empty(), "%s", Evidence.dump().c_str());
  cr_expect_eq(Evidence["starts"].size(), TaskCount, "%s", Evidence.dump().c_str());
}

/// Starts a fleet with one daemon and a job whose tasks run on both executors.
void startTasksOnBothExecutors(PlatformFleet &Fleet) {
  cr_assert_eq(Fleet.submit(0, JobId, {4, 6000}).Answer_.Status_, 200);
  cr_assert(waitFor(Millis(5000), [&] { return Fleet.evidence()["starts"].size() == 4; }));
}

} // namespace

// --- The executor loses the store, and the leader its machine ---

// Guards against a second run of a task whose executor lost its list entry after the last heartbeat
// of the earlier leader: neither the list nor the heartbeat names it to the next leader (TWICE).
Test(ExecutorRoster, tasksOfAnExecutorThatExpiresBetweenTwoLeadersRunOnce) {
  PlatformFleet Fleet(1, 2);
  startTasksOnBothExecutors(Fleet);
  Fleet.daemon(0).signal(SIGKILL);
  Fleet.control({{"unlist", "i-1"}});
  Fleet.addDaemon(0.25);
  cr_expect(waitFor(TakeoverTimeout, [&] { return Fleet.stateOf(1, JobId) == "completed"; }));
  expectTasksStartedOnce(Fleet, 4);
}
