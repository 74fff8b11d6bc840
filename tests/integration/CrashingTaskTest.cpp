// A task that crashes every executor which starts it, with daemons as real processes.
#include "support/PlatformFleet.h"

#include <csignal>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr const char *DeadlyJob = "00000000000000d1";
constexpr const char *DeadlyTask = "00000000000000d1.0.0.1";
constexpr int SoundJobs = 4;
constexpr int TasksPerJob = 4;
/// A task may be started twice more after three executors have crashed under it.
constexpr int MaxCrashes = 5;
/// Up to five crashes: each executor is replaced after 3 s, and a killed leader within 2.5 s. The
/// rest covers the jobs' run time and slow machines.
constexpr Millis Timeout{40'000};

std::string soundJob(int Number) { return "00000000000000a" + std::to_string(Number); }

void startJobs(PlatformFleet &Fleet) {
  Fleet.control({{"deadly", DeadlyTask}});
  for (int I = 0; I < SoundJobs; ++I)
    cr_assert_eq(Fleet.submit(0, soundJob(I), {TasksPerJob, 3000}).Answer_.Status_, 200);
  cr_assert_eq(Fleet.submit(0, DeadlyJob, {2, 1000}).Answer_.Status_, 200);
}

int crashes(PlatformFleet &Fleet) { return Fleet.evidence()["crashes"].value(DeadlyTask, 0); }

/// Expects that the deadly job alone fails, after few crashes.
void expectDeadlyJobGivenUp(PlatformFleet &Fleet, int Daemon) {
  cr_expect(Fleet.awaitState(Daemon, DeadlyJob, "failed", Timeout), "%s after %d crashes",
            Fleet.stateOf(Daemon, DeadlyJob).c_str(), crashes(Fleet));
  for (int I = 0; I < SoundJobs; ++I)
    cr_expect(Fleet.awaitState(Daemon, soundJob(I), "completed", Timeout), "%s is %s",
              soundJob(I).c_str(), Fleet.stateOf(Daemon, soundJob(I)).c_str());
  const http::ClientResult State = Fleet.call(Daemon, "GET", std::string("/q/") + DeadlyJob);
  cr_expect_eq(Json::parse(State.Answer_.Body_).value("reason", ""), "crashes_executors", "%s",
               State.Answer_.Body_.c_str());
  const Json Evidence = Fleet.evidence();
  cr_expect_geq(crashes(Fleet), 2);
  cr_expect_leq(crashes(Fleet), MaxCrashes, "%s", Evidence.dump().c_str());
  cr_expect(Evidence["doubled"].empty(), "%s", Evidence.dump().c_str());
}

} // namespace

// Guards against a task that is started without end while each start crashes an executor with all
// its tasks, and against blaming the tasks beside it.
Test(CrashingTask, isGivenUpAndTheOthersComplete) {
  PlatformFleet Fleet;
  startJobs(Fleet);
  expectDeadlyJobGivenUp(Fleet, 0);
  const int Leader = Fleet.leader();
  cr_assert_geq(Leader, 0);
  const std::string Metric = "masticdrift_failed_jobs_total{reason=\"crashes_executors\"} 1";
  cr_expect(Fleet.metrics(Leader).find(Metric) != std::string::npos, "no %s", Metric.c_str());
}

// Guards against a count of crashes that begins again with the next leader: the one that has
// ordered the starts is killed after the first or the second crash.
Test(CrashingTask, isGivenUpAlthoughTheLeaderIsKilled) {
  for (const int Count : {1, 2}) {
    PlatformFleet Fleet;
    const int Leader = Fleet.leader();
    cr_assert_geq(Leader, 0);
    startJobs(Fleet);
    cr_assert(waitFor(Timeout, [&] { return crashes(Fleet) >= Count; }));
    Fleet.daemon(Leader).signal(SIGKILL);
    expectDeadlyJobGivenUp(Fleet, (Leader + 1) % 3);
  }
}
