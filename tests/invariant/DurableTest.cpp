// Durable work runs exactly once while owners die or pause and workers fall silent.
#include "support/JobChecks.h"

#include <cstdio>
#include <map>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// A claim is won about 5 s after the owner's end; the rest is for the jobs themselves.
constexpr core::Millis AllDone{40'000};
constexpr core::Millis Takeover{15'000};

/// Submits 30 jobs, each through the next daemon.
std::vector<SubmittedJob> submitThirty(Fleet &All, const std::string &Key) {
  std::vector<SubmittedJob> Jobs;
  Jobs.reserve(30);
  for (int I = 0; I < 30; ++I)
    Jobs.push_back(
        submitUntilAccepted(All, All.names()[static_cast<std::size_t>(I) % All.names().size()],
                            mixedJob("batch-" + std::to_string(I), I), Key, core::Millis(10'000)));
  return Jobs;
}

/// A small cell, so that work is still waiting when the fault comes.
FleetSpec smallCell() {
  FleetSpec Spec = roshan(1, 2);
  Spec.WorkerSize_ = {2'000, 8'192, 0};
  return Spec;
}

void assertAccepted(const std::vector<SubmittedJob> &Jobs) {
  for (const SubmittedJob &One : Jobs)
    cr_assert_not(One.Id_.empty(), "%s was not accepted through %s", One.Body_.dump().c_str(),
                  One.Daemon_.c_str());
}

/// Submits every job again through another daemon: the first job is returned and nothing runs.
void assertResubmissionsAreDuplicates(Fleet &All, const std::vector<SubmittedJob> &Jobs,
                                      const std::string &Through, const std::string &Key) {
  const std::size_t Before = All.evidence(Standin::Worker).at("tasks").size();
  Api At(All, Through);
  for (const SubmittedJob &One : Jobs) {
    const Reply Answer = At.submitJob("print", One.Body_, Key);
    const Json Body = Answer.json();
    cr_assert(Body.is_object() && Body.value("id", "") == One.Id_ &&
                  Body.value("duplicate", false) && Body.value("state", "") == "succeeded",
              "%s again through %s: %d %s", One.Id_.c_str(), Through.c_str(), Answer.Status_,
              Answer.Body_.c_str());
  }
  cr_assert_eq(All.evidence(Standin::Worker).at("tasks").size(), Before,
               "a resubmission started tasks");
}

} // namespace

// Guards against a task that is started twice, or never, because its owner died around the start.
Test(KilledOwners, everyTaskSucceedsExactlyOnce) {
  Fleet All(smallCell());
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  const std::vector<SubmittedJob> Jobs = submitThirty(All, Key);
  assertAccepted(Jobs);

  std::map<std::string, std::int64_t> KilledAt;
  std::int64_t LastKill = 0;
  std::string Alive;
  { // Kill the owner of each domain while its tasks run and others wait.
    for (const std::string &Domain : domainsOf(All)) {
      const std::string Owner = ownerOf(All, Domain);
      cr_assert_not(Owner.empty(), "%s has no owner", Domain.c_str());
      KilledAt[Domain] = LastKill = core::wallMillis();
      All.kill(Owner);
      for (const std::string &Name : All.namesIn(Domain))
        if (Name != Owner)
          Alive = Name;
    }
  }
  { // Every job succeeds, every task once.
    const Json Open = awaitAllSucceeded(All, Jobs, Alive, Key, AllDone);
    cr_assert(Open.is_null(), "%s", Open.dump().c_str());
    const Json Evidence = All.evidence(Standin::Worker);
    const auto Wrong = violations(Evidence, Jobs);
    cr_assert(Wrong.empty(), "%s", join(Wrong).c_str());
    std::size_t Later = 0;
    std::int64_t LastEnd = 0;
    for (const Json &Event : Evidence.at("tasks")) {
      LastEnd = std::max(LastEnd, Event.at("end_ms").get<std::int64_t>());
      Later += Event.at("start_ms").get<std::int64_t>() > LastKill ? 1U : 0U;
    }
    std::printf("{\"scenario\":\"killed_owner\",\"starts_after_kill\":%zu,"
                "\"kill_to_last_end_ms\":%lld}\n",
                Later, static_cast<long long>(LastEnd - LastKill));
    cr_assert_gt(Later, 0U, "no work was left when the owners were killed");
    for (const auto &[Domain, At] : KilledAt)
      std::printf("{\"scenario\":\"killed_owner\",\"domain\":\"%s\",\"kill_to_start_ms\":%lld}\n",
                  Domain.c_str(), static_cast<long long>(firstStartAfter(Evidence, Domain, At)));
    std::fflush(stdout);
  }
  { // The same request ids again, through another daemon.
    assertResubmissionsAreDuplicates(All, Jobs, Alive, Key);
  }
}

// Guards against an owner that goes on with its decisions after it slept through its lease.
Test(PausedOwners, oldOwnerHasNoEffect) {
  Fleet All(smallCell());
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  const std::vector<SubmittedJob> Jobs = submitThirty(All, Key);
  assertAccepted(Jobs);

  std::map<std::string, std::string> Paused;
  std::string Awake;
  { // Stop the owner of each domain beyond its lease and the takeover.
    for (const std::string &Domain : domainsOf(All)) {
      Paused[Domain] = ownerOf(All, Domain);
      cr_assert_not(Paused[Domain].empty(), "%s has no owner", Domain.c_str());
    }
    for (const auto &[Domain, Owner] : Paused)
      All.pause(Owner);
    cr_assert(waitFor(Takeover,
                      [&] {
                        for (const auto &[Domain, Old] : Paused) {
                          bool Owned = false;
                          for (const std::string &Name : All.namesIn(Domain)) {
                            if (Name == Old)
                              continue;
                            Awake = Name;
                            const Json Status = Api(All, Name).status();
                            Owned =
                                Owned || (Status.is_object() && Status.value("is_owner", false));
                          }
                          if (!Owned)
                            return false;
                        }
                        return true;
                      }),
              "a paused owner was not replaced");
    // The new owners have reached the workers with their higher terms.
    cr_assert(waitFor(Takeover,
                      [&] {
                        const Json Workers = All.evidence(Standin::Worker).at("workers");
                        for (const auto &[Name, At] : Workers.items())
                          for (const auto &[Domain, Old] : Paused)
                            if (At.at("owner") == Old)
                              return false;
                        return true;
                      }),
              "a worker was not taken over");
  }
  std::int64_t ResumedAt = 0;
  { // Wake the old owners while the work goes on.
    ResumedAt = core::wallMillis();
    for (const auto &[Domain, Owner] : Paused)
      All.resume(Owner);
    const Json Open = awaitAllSucceeded(All, Jobs, Awake, Key, AllDone);
    cr_assert(Open.is_null(), "%s", Open.dump().c_str());
  }
  { // Once each, and the workers still belong to the new owners.
    const Json Evidence = All.evidence(Standin::Worker);
    const auto Wrong = violations(Evidence, Jobs);
    cr_assert(Wrong.empty(), "%s", join(Wrong).c_str());
    std::size_t Later = 0;
    for (const Json &Event : Evidence.at("tasks"))
      Later += Event.at("start_ms").get<std::int64_t>() > ResumedAt ? 1U : 0U;
    cr_assert_gt(Later, 0U, "no work was left when the owners woke");
    std::uint64_t LowerTerm = 0;
    for (const auto &[Name, At] : Evidence.at("workers").items()) {
      LowerTerm += At.at("lower_term").get<std::uint64_t>();
      for (const auto &[Domain, Old] : Paused)
        cr_assert(At.at("owner") != Old, "%s went back to %s", Name.c_str(), Old.c_str());
    }
    std::printf("{\"scenario\":\"paused_owner\",\"lower_term\":%llu}\n",
                static_cast<unsigned long long>(LowerTerm));
    std::fflush(stdout);
    assertResubmissionsAreDuplicates(All, Jobs, Awake, Key);
  }
}

// Guards against a second copy of a task while a cut-off worker may still run the first.
Test(SilentWorkers, rerunsOnlyAfterTheWorkersLease) {
  Fleet All(roshan(1, 2));
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  Api At(All, All.names().front());
  const auto Submit = [&](bool Idempotent) {
    // Longer than a worker's lease of 10 s, so that a rerun before its end would overlap.
    const Json Job{{"kind", "batch"},
                   {"tasks", 4},
                   {"run_ms", 25'000},
                   {"idempotent", Idempotent},
                   {"domain", "lahore-a"},
                   {"cores", 2},
                   {"request_id", Idempotent ? "again" : "once"}};
    return submitUntilAccepted(All, All.names().front(), Job, Key, core::Millis(10'000));
  };
  const SubmittedJob Again = Submit(true);
  const SubmittedJob Once = Submit(false);
  assertAccepted({Again, Once});
  cr_assert(waitFor(core::Millis(10'000),
                    [&] { return All.evidence(Standin::Worker).at("tasks").size() == 8; }),
            "the tasks did not start");

  std::string Cut;
  std::map<std::string, bool> OnCut; ///< task id: idempotent
  { // A worker that runs tasks of both kinds stops answering; best fit fills one worker first.
    const Json Evidence = All.evidence(Standin::Worker);
    Cut = Evidence.at("tasks").front().at("worker");
    for (const Json &Event : Evidence.at("tasks"))
      if (Event.at("worker") == Cut) {
        const auto Id = Event.at("id").get<std::string>();
        OnCut[Id] = Id.starts_with(Again.Id_ + "#");
      }
    cr_assert_not(OnCut.empty(), "no task ran on %s", Cut.c_str());
    All.control(Standin::Worker, {{"worker", Cut}, {"silent", true}});
  }
  { // Idempotent tasks succeed elsewhere; the others are held.
    const Json Open =
        awaitAllSucceeded(All, {Again}, All.names().back(), Key, core::Millis(70'000));
    cr_assert(Open.is_null(), "%s", Open.dump().c_str());
    Json Status;
    cr_assert(waitFor(core::Millis(15'000),
                      [&] {
                        Status = At.job(Once.Id_, Key).json();
                        return Status.is_object() && Status.value("state", "") == "unknown";
                      }),
              "%s", Status.dump().c_str());
    All.control(Standin::Worker, {{"worker", Cut}, {"silent", false}});
  }
  { // Starts and ends at the workers.
    const Json Evidence = All.evidence(Standin::Worker);
    cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1, "%s", Evidence.dump().c_str());
    cr_assert_not(Evidence.at("overcommitted").get<bool>());
    std::map<std::string, std::vector<Json>> Runs;
    for (const Json &Event : Evidence.at("tasks"))
      Runs[Event.at("id").get<std::string>()].push_back(Event);
    std::size_t Reruns = 0;
    for (const auto &[Id, Idempotent] : OnCut) {
      const std::vector<Json> &Of = Runs[Id];
      cr_assert_eq(Of.size(), Idempotent ? 2U : 1U, "%s ran %zu times", Id.c_str(), Of.size());
      if (!Idempotent)
        continue;
      ++Reruns;
      const auto Gap =
          Of[1].at("start_ms").get<std::int64_t>() - Of[0].at("end_ms").get<std::int64_t>();
      cr_assert_geq(Gap, 0, "%s started %lld ms before its first attempt ended", Id.c_str(),
                    static_cast<long long>(-Gap));
      std::printf("{\"scenario\":\"silent_worker\",\"task\":\"%s\",\"gap_ms\":%lld}\n", Id.c_str(),
                  static_cast<long long>(Gap));
    }
    std::printf("{\"scenario\":\"silent_worker\",\"reruns\":%zu,\"held\":%zu}\n", Reruns,
                OnCut.size() - Reruns);
    std::fflush(stdout);
    cr_assert(Reruns > 0 && Reruns < OnCut.size(), "one kind of task did not run on the worker");
  }
}
