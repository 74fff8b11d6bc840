// Durable tasks succeed exactly once while owners are killed or paused and workers stop answering.
#include "support/JobChecks.h"

#include <cstdio>
#include <map>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// A new owner holds the lease about 5 s after the old one ends; the rest is for the jobs to run.
constexpr core::Millis CompletionDeadline{40'000};
constexpr core::Millis TakeoverDeadline{15'000};

/// Submits 30 jobs, through all daemons in turn.
std::vector<SubmittedJob> submitThirtyJobs(Fleet &TestFleet, const std::string &Key) {
  std::vector<SubmittedJob> Jobs;
  Jobs.reserve(30);
  for (int I = 0; I < 30; ++I)
    Jobs.push_back(submitUntilAccepted(
        TestFleet, TestFleet.names()[static_cast<std::size_t>(I) % TestFleet.names().size()],
        mixedJob("batch-" + std::to_string(I), I), Key, core::Millis(10'000)));
  return Jobs;
}

/// Small workers, so that tasks are still waiting when the fault is injected.
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

/// Submits every job again through another daemon and checks that the existing job is returned and
/// no task starts.
void assertResubmissionsAreDuplicates(Fleet &TestFleet, const std::vector<SubmittedJob> &Jobs,
                                      const std::string &Daemon, const std::string &Key) {
  const std::size_t Before = TestFleet.evidence(Standin::Worker).at("tasks").size();
  Api DaemonApi(TestFleet, Daemon);
  for (const SubmittedJob &Job : Jobs) {
    const Reply Answer = DaemonApi.submitJob("print", Job.Body_, Key);
    const Json Body = Answer.json();
    cr_assert(Body.is_object() && Body.value("id", "") == Job.Id_ &&
                  Body.value("duplicate", false) && Body.value("state", "") == "succeeded",
              "resubmission of %s through %s: %d %s", Job.Id_.c_str(), Daemon.c_str(),
              Answer.Status_, Answer.Body_.c_str());
  }
  cr_assert_eq(TestFleet.evidence(Standin::Worker).at("tasks").size(), Before,
               "a resubmission started tasks");
}

} // namespace

// Guards against a task that runs twice or never because its owner was killed while starting it.
Test(KilledOwners, everyTaskSucceedsExactlyOnce) {
  Fleet TestFleet(smallFleet());
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  const std::vector<SubmittedJob> Jobs = submitThirtyJobs(TestFleet, Key);
  assertAccepted(Jobs);

  std::map<std::string, std::int64_t> KillMsByDomain;
  std::int64_t LastKillMs = 0;
  std::string LiveDaemon;
  { // Kill the owner of each domain while some tasks run and others wait.
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
  { // Every job succeeds and every task runs once.
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
    cr_assert_gt(LaterStarts, 0U, "no task was waiting when the owners were killed");
    for (const auto &[Domain, KillMs] : KillMsByDomain)
      std::printf("{\"scenario\":\"killed_owner\",\"domain\":\"%s\",\"kill_to_start_ms\":%lld}\n",
                  Domain.c_str(),
                  static_cast<long long>(firstStartAfter(Evidence, Domain, KillMs)));
    std::fflush(stdout);
  }
  { // Submit the same request ids through another daemon.
    assertResubmissionsAreDuplicates(TestFleet, Jobs, LiveDaemon, Key);
  }
}

// Guards against an owner that continues to act on its decisions after a pause longer than its
// lease.
Test(PausedOwners, oldOwnerHasNoEffect) {
  Fleet TestFleet(smallFleet());
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  const std::vector<SubmittedJob> Jobs = submitThirtyJobs(TestFleet, Key);
  assertAccepted(Jobs);

  std::map<std::string, std::string> PausedByDomain;
  std::string ActiveDaemon;
  { // Pause the owner of each domain until its lease has expired and another daemon took over.
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
    // Wait until the new owners have registered their higher terms with the workers.
    cr_assert(waitFor(TakeoverDeadline,
                      [&] {
                        const Json Workers = TestFleet.evidence(Standin::Worker).at("workers");
                        for (const auto &[Name, WorkerState] : Workers.items())
                          for (const auto &[Domain, FormerOwner] : PausedByDomain)
                            if (WorkerState.at("owner") == FormerOwner)
                              return false;
                        return true;
                      }),
              "a worker still belongs to a paused owner");
  }
  std::int64_t ResumedMs = 0;
  { // Resume the old owners while tasks still run.
    ResumedMs = core::wallMillis();
    for (const auto &[Domain, Owner] : PausedByDomain)
      TestFleet.resume(Owner);
    const Json Unfinished =
        awaitAllSucceeded(TestFleet, Jobs, ActiveDaemon, Key, CompletionDeadline);
    cr_assert(Unfinished.is_null(), "%s", Unfinished.dump().c_str());
  }
  { // Every task ran once, and the workers still belong to the new owners.
    const Json Evidence = TestFleet.evidence(Standin::Worker);
    const auto Violations = violations(Evidence, Jobs);
    cr_assert(Violations.empty(), "%s", join(Violations).c_str());
    std::size_t LaterStarts = 0;
    for (const Json &Event : Evidence.at("tasks"))
      LaterStarts += Event.at("start_ms").get<std::int64_t>() > ResumedMs ? 1U : 0U;
    cr_assert_gt(LaterStarts, 0U, "no task was waiting when the owners resumed");
    std::uint64_t LowerTerm = 0;
    for (const auto &[Name, WorkerState] : Evidence.at("workers").items()) {
      LowerTerm += WorkerState.at("lower_term").get<std::uint64_t>();
      for (const auto &[Domain, FormerOwner] : PausedByDomain)
        cr_assert(WorkerState.at("owner") != FormerOwner, "%s belongs to the old owner %s again",
                  Name.c_str(), FormerOwner.c_str());
    }
    std::printf("{\"scenario\":\"paused_owner\",\"lower_term\":%llu}\n",
                static_cast<unsigned long long>(LowerTerm));
    std::fflush(stdout);
    assertResubmissionsAreDuplicates(TestFleet, Jobs, ActiveDaemon, Key);
  }
}

// Guards against a second copy of a task while an unreachable worker may still run the first.
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
  std::map<std::string, bool> TasksOnSilentWorker; ///< by task id; true for idempotent
  { // A worker that runs idempotent and other tasks stops answering. Best fit fills one worker
    // first,
    // so it has both kinds.
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
  { // Idempotent tasks succeed on another worker; the others stay in state "unknown".
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
  { // Compare the starts and ends in the workers' records.
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
              "the silent worker did not run both idempotent and other tasks");
  }
}
