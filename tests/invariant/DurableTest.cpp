// Durable work runs exactly once while owners die or pause and workers fall silent.
#include "support/JobChecks.h"

#include <cstdio>
#include <map>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// A claim is won about 5 s after the owner's end; the rest is for the jobs themselves.
constexpr core::Millis CompletionDeadline{40'000};
constexpr core::Millis TakeoverDeadline{15'000};

/// Submits 30 jobs, each through the next daemon.
std::vector<SubmittedJob> submitThirtyJobs(Fleet &TestFleet, const std::string &Key) {
  std::vector<SubmittedJob> Jobs;
  Jobs.reserve(30);
  for (int I = 0; I < 30; ++I)
    Jobs.push_back(submitUntilAccepted(
        TestFleet, TestFleet.names()[static_cast<std::size_t>(I) % TestFleet.names().size()],
        mixedJob("batch-" + std::to_string(I), I), Key, core::Millis(10'000)));
  return Jobs;
}

/// A small cell, so that work is still waiting when the fault comes.
FleetSpec smallFleet() {
  FleetSpec Spec = roshan(1, 2);
  Spec.WorkerSize_ = {2'000, 8'192, 0};
  return Spec;
}

void assertAccepted(const std::vector<SubmittedJob> &Jobs) {
  for (const SubmittedJob &Job : Jobs)
    cr_assert_not(Job.Id_.empty(), "%s was not accepted through %s", Job.Body_.dump().c_str(),
                  Job.Daemon_.c_str());
}

/// Submits every job again through another daemon: the first job is returned and nothing runs.
void assertResubmissionsAreDuplicates(Fleet &TestFleet, const std::vector<SubmittedJob> &Jobs,
                                      const std::string &Daemon, const std::string &Key) {
  const std::size_t Before = TestFleet.evidence(Standin::Worker).at("tasks").size();
  Api DaemonApi(TestFleet, Daemon);
  for (const SubmittedJob &Job : Jobs) {
    const Reply Answer = DaemonApi.submitJob("print", Job.Body_, Key);
    const Json Body = Answer.json();
    cr_assert(Body.is_object() && Body.value("id", "") == Job.Id_ &&
                  Body.value("duplicate", false) && Body.value("state", "") == "succeeded",
              "%s again through %s: %d %s", Job.Id_.c_str(), Daemon.c_str(), Answer.Status_,
              Answer.Body_.c_str());
  }
  cr_assert_eq(TestFleet.evidence(Standin::Worker).at("tasks").size(), Before,
               "a resubmission started tasks");
}

} // namespace

// Guards against a task that is started twice, or never, because its owner died around the start.
Test(KilledOwners, everyTaskSucceedsExactlyOnce) {
  Fleet TestFleet(smallFleet());
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  const std::vector<SubmittedJob> Jobs = submitThirtyJobs(TestFleet, Key);
  assertAccepted(Jobs);

  std::map<std::string, std::int64_t> KillMsByDomain;
  std::int64_t LastKillMs = 0;
  std::string LiveDaemon;
  { // Kill the owner of each domain while its tasks run and others wait.
    for (const std::string &Domain : domainsOf(TestFleet)) {
      const std::string Owner = ownerOf(TestFleet, Domain);
      cr_assert_not(Owner.empty(), "%s has no owner", Domain.c_str());
      KillMsByDomain[Domain] = LastKillMs = core::wallMillis();
      TestFleet.kill(Owner);
      for (const std::string &Name : TestFleet.namesIn(Domain))
        if (Name != Owner)
          LiveDaemon = Name;
    }
  }
  { // Every job succeeds, every task once.
    const Json Unfinished = awaitAllSucceeded(TestFleet, Jobs, LiveDaemon, Key, CompletionDeadline);
    cr_assert(Unfinished.is_null(), "%s", Unfinished.dump().c_str());
    const Json Evidence = TestFleet.evidence(Standin::Worker);
    const auto Violations = violations(Evidence, Jobs);
    cr_assert(Violations.empty(), "%s", join(Violations).c_str());
    std::size_t LaterStarts = 0;
    std::int64_t LastEndMs = 0;
    for (const Json &Event : Evidence.at("tasks")) {
      LastEndMs = std::max(LastEndMs, Event.at("end_ms").get<std::int64_t>());
      LaterStarts += Event.at("start_ms").get<std::int64_t>() > LastKillMs ? 1U : 0U;
    }
    std::printf("{\"scenario\":\"killed_owner\",\"starts_after_kill\":%zu,"
                "\"kill_to_last_end_ms\":%lld}\n",
                LaterStarts, static_cast<long long>(LastEndMs - LastKillMs));
    cr_assert_gt(LaterStarts, 0U, "no work was left when the owners were killed");
    for (const auto &[Domain, KillMs] : KillMsByDomain)
      std::printf("{\"scenario\":\"killed_owner\",\"domain\":\"%s\",\"kill_to_start_ms\":%lld}\n",
                  Domain.c_str(),
                  static_cast<long long>(firstStartAfter(Evidence, Domain, KillMs)));
    std::fflush(stdout);
  }
  { // The same request ids again, through another daemon.
    assertResubmissionsAreDuplicates(TestFleet, Jobs, LiveDaemon, Key);
  }
}

// Guards against an owner that goes on with its decisions after it slept through its lease.
Test(PausedOwners, oldOwnerHasNoEffect) {
  Fleet TestFleet(smallFleet());
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  const std::vector<SubmittedJob> Jobs = submitThirtyJobs(TestFleet, Key);
  assertAccepted(Jobs);

  std::map<std::string, std::string> PausedByDomain;
  std::string ActiveDaemon;
  { // Stop the owner of each domain beyond its lease and the takeover.
    for (const std::string &Domain : domainsOf(TestFleet)) {
      PausedByDomain[Domain] = ownerOf(TestFleet, Domain);
      cr_assert_not(PausedByDomain[Domain].empty(), "%s has no owner", Domain.c_str());
    }
    for (const auto &[Domain, Owner] : PausedByDomain)
      TestFleet.pause(Owner);
    cr_assert(waitFor(TakeoverDeadline,
                      [&] {
                        for (const auto &[Domain, FormerOwner] : PausedByDomain) {
                          bool HasNewOwner = false;
                          for (const std::string &Name : TestFleet.namesIn(Domain)) {
                            if (Name == FormerOwner)
                              continue;
                            ActiveDaemon = Name;
                            const Json Status = Api(TestFleet, Name).status();
                            HasNewOwner = HasNewOwner ||
                                          (Status.is_object() && Status.value("is_owner", false));
                          }
                          if (!HasNewOwner)
                            return false;
                        }
                        return true;
                      }),
              "a paused owner was not replaced");
    // The new owners have reached the workers with their higher terms.
    cr_assert(waitFor(TakeoverDeadline,
                      [&] {
                        const Json Workers = TestFleet.evidence(Standin::Worker).at("workers");
                        for (const auto &[Name, WorkerState] : Workers.items())
                          for (const auto &[Domain, FormerOwner] : PausedByDomain)
                            if (WorkerState.at("owner") == FormerOwner)
                              return false;
                        return true;
                      }),
              "a worker was not taken over");
  }
  std::int64_t ResumedMs = 0;
  { // Wake the old owners while the work goes on.
    ResumedMs = core::wallMillis();
    for (const auto &[Domain, Owner] : PausedByDomain)
      TestFleet.resume(Owner);
    const Json Unfinished =
        awaitAllSucceeded(TestFleet, Jobs, ActiveDaemon, Key, CompletionDeadline);
    cr_assert(Unfinished.is_null(), "%s", Unfinished.dump().c_str());
  }
  { // Once each, and the workers still belong to the new owners.
    const Json Evidence = TestFleet.evidence(Standin::Worker);
    const auto Violations = violations(Evidence, Jobs);
    cr_assert(Violations.empty(), "%s", join(Violations).c_str());
    std::size_t LaterStarts = 0;
    for (const Json &Event : Evidence.at("tasks"))
      LaterStarts += Event.at("start_ms").get<std::int64_t>() > ResumedMs ? 1U : 0U;
    cr_assert_gt(LaterStarts, 0U, "no work was left when the owners woke");
    std::uint64_t LowerTerm = 0;
    for (const auto &[Name, WorkerState] : Evidence.at("workers").items()) {
      LowerTerm += WorkerState.at("lower_term").get<std::uint64_t>();
      for (const auto &[Domain, FormerOwner] : PausedByDomain)
        cr_assert(WorkerState.at("owner") != FormerOwner, "%s went back to %s", Name.c_str(),
                  FormerOwner.c_str());
    }
    std::printf("{\"scenario\":\"paused_owner\",\"lower_term\":%llu}\n",
                static_cast<unsigned long long>(LowerTerm));
    std::fflush(stdout);
    assertResubmissionsAreDuplicates(TestFleet, Jobs, ActiveDaemon, Key);
  }
}

// Guards against a second copy of a task while a cut-off worker may still run the first.
Test(SilentWorkers, rerunsOnlyAfterTheWorkersLease) {
  Fleet TestFleet(roshan(1, 2));
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  Api FirstDaemon(TestFleet, TestFleet.names().front());
  const auto SubmitJob = [&](bool Idempotent) {
    // Longer than a worker's lease of 10 s, so that a rerun before its end would overlap.
    const Json Job{{"kind", "batch"},
                   {"tasks", 4},
                   {"run_ms", 25'000},
                   {"idempotent", Idempotent},
                   {"domain", "lahore-a"},
                   {"cores", 2},
                   {"request_id", Idempotent ? "again" : "once"}};
    return submitUntilAccepted(TestFleet, TestFleet.names().front(), Job, Key,
                               core::Millis(10'000));
  };
  const SubmittedJob IdempotentJob = SubmitJob(true);
  const SubmittedJob NonIdempotentJob = SubmitJob(false);
  assertAccepted({IdempotentJob, NonIdempotentJob});
  cr_assert(waitFor(core::Millis(10'000),
                    [&] { return TestFleet.evidence(Standin::Worker).at("tasks").size() == 8; }),
            "the tasks did not start");

  std::string SilentWorker;
  std::map<std::string, bool> TasksOnSilentWorker; ///< task id: idempotent
  { // A worker that runs tasks of both kinds stops answering; best fit fills one worker first.
    const Json Evidence = TestFleet.evidence(Standin::Worker);
    SilentWorker = Evidence.at("tasks").front().at("worker");
    for (const Json &Event : Evidence.at("tasks"))
      if (Event.at("worker") == SilentWorker) {
        const auto Id = Event.at("id").get<std::string>();
        TasksOnSilentWorker[Id] = Id.starts_with(IdempotentJob.Id_ + "#");
      }
    cr_assert_not(TasksOnSilentWorker.empty(), "no task ran on %s", SilentWorker.c_str());
    TestFleet.control(Standin::Worker, {{"worker", SilentWorker}, {"silent", true}});
  }
  { // Idempotent tasks succeed elsewhere; the others are held.
    const Json Unfinished = awaitAllSucceeded(TestFleet, {IdempotentJob}, TestFleet.names().back(),
                                              Key, core::Millis(70'000));
    cr_assert(Unfinished.is_null(), "%s", Unfinished.dump().c_str());
    Json Status;
    cr_assert(waitFor(core::Millis(15'000),
                      [&] {
                        Status = FirstDaemon.job(NonIdempotentJob.Id_, Key).json();
                        return Status.is_object() && Status.value("state", "") == "unknown";
                      }),
              "%s", Status.dump().c_str());
    TestFleet.control(Standin::Worker, {{"worker", SilentWorker}, {"silent", false}});
  }
  { // Starts and ends at the workers.
    const Json Evidence = TestFleet.evidence(Standin::Worker);
    cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1, "%s", Evidence.dump().c_str());
    cr_assert_not(Evidence.at("overcommitted").get<bool>());
    std::map<std::string, std::vector<Json>> RunsByTask;
    for (const Json &Event : Evidence.at("tasks"))
      RunsByTask[Event.at("id").get<std::string>()].push_back(Event);
    std::size_t Reruns = 0;
    for (const auto &[Id, Idempotent] : TasksOnSilentWorker) {
      const std::vector<Json> &TaskRuns = RunsByTask[Id];
      cr_assert_eq(TaskRuns.size(), Idempotent ? 2U : 1U, "%s ran %zu times", Id.c_str(),
                   TaskRuns.size());
      if (!Idempotent)
        continue;
      ++Reruns;
      const auto GapMs = TaskRuns[1].at("start_ms").get<std::int64_t>() -
                         TaskRuns[0].at("end_ms").get<std::int64_t>();
      cr_assert_geq(GapMs, 0, "%s started %lld ms before its first attempt ended", Id.c_str(),
                    static_cast<long long>(-GapMs));
      std::printf("{\"scenario\":\"silent_worker\",\"task\":\"%s\",\"gap_ms\":%lld}\n", Id.c_str(),
                  static_cast<long long>(GapMs));
    }
    std::printf("{\"scenario\":\"silent_worker\",\"reruns\":%zu,\"held\":%zu}\n", Reruns,
                TasksOnSilentWorker.size() - Reruns);
    std::fflush(stdout);
    cr_assert(Reruns > 0 && Reruns < TasksOnSilentWorker.size(),
              "one kind of task did not run on the worker");
  }
}
