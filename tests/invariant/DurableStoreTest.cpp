// Durable work while the log service is unavailable or its answers are lost.
#include "support/JobChecks.h"

#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

constexpr core::Millis CompletionDeadline{40'000};
constexpr core::Millis OutageDuration{12'000};

std::size_t endedBetween(const Json &Evidence, std::int64_t FromMs, std::int64_t ToMs) {
  std::size_t Count = 0;
  for (const Json &Event : Evidence.at("tasks"))
    if (Event.at("reason") == "done" && Event.at("end_ms").get<std::int64_t>() > FromMs &&
        Event.at("end_ms").get<std::int64_t>() < ToMs)
      ++Count;
  return Count;
}

/// One submission during an outage and the answer to its caller.
struct Submission {
  Json Body_;
  std::string Id_;
  std::string Error_;
  std::string Outcome_;
  int Status_ = 0;
};

Submission submitOnce(Fleet &TestFleet, const std::string &Daemon, const std::string &RequestId,
                      const std::string &Key) {
  const Json Job{{"kind", "batch"}, {"tasks", 1}, {"run_ms", 300}, {"request_id", RequestId}};
  const Reply Answer = Api(TestFleet, Daemon).submitJob("print", Job, Key);
  return {Job, Answer.Status_ == 202 ? Answer.json().value("id", "") : "", Answer.errorId(),
          Answer.Outcome_, Answer.Status_};
}

Json configurationWithService() {
  Json Configuration = defaultConfiguration();
  Configuration["services"] = Json::array({{{"name", "watcher"},
                                            {"team", "mfi"},
                                            {"replicas", 2},
                                            {"cores", 1},
                                            {"memory_mb", 256},
                                            {"run", "watch"}}});
  return Configuration;
}

void runOutage(const char *Mode) {
  Fleet TestFleet(roshan(1, 2));
  cr_assert(bringUp(TestFleet, configurationWithService()), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  std::vector<SubmittedJob> Accepted;
  Accepted.reserve(6);
  for (int I = 0; I < 6; ++I)
    Accepted.push_back(submitUntilAccepted(TestFleet,
                                           TestFleet.names()[static_cast<std::size_t>(I)],
                                           {{"kind", "batch"},
                                            {"tasks", 2},
                                            {"run_ms", 6'000},
                                            {"request_id", "before-" + std::to_string(I)}},
                                           Key, core::Millis(10'000)));
  cr_assert(waitFor(core::Millis(10'000),
                    [&] {
                      return TestFleet.evidence(Standin::Worker).at("tasks").size() ==
                             14; // 12 tasks and 2 replicas
                    }),
            "%s", TestFleet.evidence(Standin::Worker).dump().c_str());

  const std::int64_t BeginMs = core::wallMillis();
  std::int64_t EndMs = 0;
  std::vector<Submission> Submissions;
  std::vector<std::vector<Submission>> SubmissionsByDaemon(TestFleet.names().size());
  std::vector<std::thread> Submitters;
  std::atomic<bool> Stop = false;
  { // During the outage accepted tasks continue and new jobs are refused.
    TestFleet.control(Standin::Log, {{"outage", Mode}});
    for (std::size_t I = 0; I < TestFleet.names().size(); ++I)
      Submitters.emplace_back([&, I] {
        for (int Number = 0; !Stop; ++Number)
          SubmissionsByDaemon[I].push_back(
              submitOnce(TestFleet, TestFleet.names()[I],
                         "during-" + std::to_string(I) + "-" + std::to_string(Number), Key));
      });
    waitFor(OutageDuration * 2,
            [&] { return core::wallMillis() - BeginMs >= OutageDuration.count(); });
    const Json Evidence = TestFleet.evidence(Standin::Worker);
    EndMs = core::wallMillis();
    std::printf("{\"scenario\":\"store_outage\",\"mode\":\"%s\",\"ended_during\":%zu}\n", Mode,
                endedBetween(Evidence, BeginMs, EndMs));
    cr_assert_eq(endedBetween(Evidence, BeginMs, EndMs), 12U,
                 "accepted tasks did not finish during the outage: %s", Evidence.dump().c_str());
    for (const Json &Event : Evidence.at("tasks"))
      cr_assert(Event.at("reason").is_null() || Event.at("reason") == "done", "%s",
                Event.dump().c_str());
    TestFleet.control(Standin::Log, {{"outage", "none"}});
    // Continue to submit past the end of the outage until a job is accepted.
    const std::string RequestId = "after-" + std::string(Mode);
    Accepted.push_back(submitUntilAccepted(
        TestFleet, TestFleet.names().back(),
        {{"kind", "batch"}, {"tasks", 1}, {"run_ms", 300}, {"request_id", RequestId}}, Key,
        core::Millis(15'000)));
    Stop = true;
    for (std::thread &Submitter : Submitters)
      Submitter.join();
    cr_assert_not(Accepted.back().Id_.empty(), "no job was accepted after the outage");
    for (const auto &DaemonSubmissions : SubmissionsByDaemon)
      Submissions.insert(Submissions.end(), DaemonSubmissions.begin(), DaemonSubmissions.end());
  }
  { // Tasks that ended during the outage are recorded afterwards.
    const Json Unfinished =
        awaitAllSucceeded(TestFleet, Accepted, TestFleet.names().back(), Key, CompletionDeadline);
    cr_assert(Unfinished.is_null(), "%s", Unfinished.dump().c_str());
  }
  std::map<std::string, std::size_t> CountByResult;
  std::vector<std::string> RefusedIds;
  std::vector<SubmittedJob> UnknownOutcome;
  { // Classify the answers and resubmit jobs whose outcome is unknown.
    for (const Submission &Attempt : Submissions) {
      ++CountByResult[Attempt.Id_.empty() ? Attempt.Error_ : "accepted"];
      if (!Attempt.Id_.empty())
        Accepted.push_back({Attempt.Id_, Attempt.Body_, ""});
      else if (Attempt.Outcome_ == "not_run")
        RefusedIds.push_back(Attempt.Body_.at("request_id"));
      else if (Attempt.Error_ == "MD-502")
        UnknownOutcome.push_back(submitUntilAccepted(TestFleet, TestFleet.names().front(),
                                                     Attempt.Body_, Key, CompletionDeadline));
      else
        cr_assert_fail("%d %s %s", Attempt.Status_, Attempt.Error_.c_str(),
                       Attempt.Outcome_.c_str());
    }
    for (const auto &[Result, Number] : CountByResult)
      std::printf("{\"scenario\":\"store_outage\",\"mode\":\"%s\",\"told\":\"%s\",\"count\":%zu}\n",
                  Mode, Result.c_str(), Number);
    std::fflush(stdout);
    cr_assert_gt(Submissions.size(), 0U);
    // A job with an unknown outcome that is resubmitted with its request id runs once, whether or
    // not the first submission was recorded.
    for (const SubmittedJob &Job : UnknownOutcome) {
      cr_assert_not(Job.Id_.empty(), "%s", Job.Body_.dump().c_str());
      Accepted.push_back(Job);
    }
    const Json Unfinished =
        awaitAllSucceeded(TestFleet, Accepted, TestFleet.names().back(), Key, CompletionDeadline);
    cr_assert(Unfinished.is_null(), "%s", Unfinished.dump().c_str());
  }
  { // No refused submission created a job, every accepted job ran once, and no service replica was
    // restarted.
    const Json Evidence = TestFleet.evidence(Standin::Worker);
    cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1);
    cr_assert_not(Evidence.at("overcommitted").get<bool>());
    std::map<std::string, int> StartsByTask;
    for (const Json &Event : Evidence.at("tasks"))
      ++StartsByTask[Event.at("id").get<std::string>()];
    for (const auto &[Id, Number] : StartsByTask)
      cr_assert_eq(Number, 1, "%s was started %d times", Id.c_str(), Number);
    for (const SubmittedJob &Job : Accepted)
      cr_assert_eq(StartsByTask[Job.Id_ + "#0"], 1, "%s", Job.Id_.c_str());
    for (const std::string &Request : RefusedIds)
      for (const std::string &Domain : domainsOf(TestFleet)) {
        const std::string Id = Domain + "/mfi/" + Request;
        const Reply Answer = Api(TestFleet, TestFleet.names().back()).job(Id, Key);
        cr_assert_eq(Answer.Status_, 404, "%s was refused as not run: %s", Id.c_str(),
                     Answer.Body_.c_str());
        cr_assert_eq(StartsByTask.count(Id + "#0"), 0U, "%s was refused and ran", Id.c_str());
      }
  }
}

} // namespace

// Guards against tasks that stop during a store outage, and against a "not run" answer for a job
// that was recorded.
Test(StoreRefuses, callersAreToldTheTruth) { runOutage("refuse"); }

Test(StoreHangs, callersAreToldTheTruth) { runOutage("hang"); }

// Guards against a duplicate record when an append took effect but its answer was lost.
Test(LostAnswers, nothingTwiceAndNothingLost) {
  Fleet TestFleet(roshan(1, 2));
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  std::vector<SubmittedJob> Jobs;
  { // Lose answers to records of acceptance, start and end. The switch counts down, so it is set
    // again for each job.
    for (int I = 0; I < 20; ++I) {
      TestFleet.control(Standin::Log,
                        {{"lose_answers", 3}, {"lose_mode", I % 2 == 0 ? "close" : "hang"}});
      Jobs.push_back(submitUntilAccepted(
          TestFleet, TestFleet.names()[static_cast<std::size_t>(I) % TestFleet.names().size()],
          mixedJob("lost-" + std::to_string(I), I), Key, core::Millis(15'000)));
      cr_assert_not(Jobs.back().Id_.empty(), "%s", Jobs.back().Body_.dump().c_str());
    }
  }
  { // Every task ran once.
    const Json Unfinished =
        awaitAllSucceeded(TestFleet, Jobs, TestFleet.names().back(), Key, CompletionDeadline);
    cr_assert(Unfinished.is_null(), "%s", Unfinished.dump().c_str());
    const auto Violations = violations(TestFleet.evidence(Standin::Worker), Jobs);
    cr_assert(Violations.empty(), "%s", join(Violations).c_str());
    const auto LostAnswerCount = TestFleet.evidence(Standin::Log).at("answers_lost").get<int>();
    std::printf("{\"scenario\":\"lost_answers\",\"answers_lost\":%d,\"jobs\":%zu}\n",
                LostAnswerCount, Jobs.size());
    std::fflush(stdout);
    cr_assert_gt(LostAnswerCount, 20);
  }
}
