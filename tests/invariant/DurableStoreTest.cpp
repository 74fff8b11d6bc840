// Durable work while the log service is away, loses its answers, or forgets old records.
#include "support/JobChecks.h"

#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

constexpr core::Millis AllDone{40'000};
constexpr core::Millis OutageLength{12'000};

std::size_t endedBetween(const Json &Evidence, std::int64_t From, std::int64_t To) {
  std::size_t Count = 0;
  for (const Json &Event : Evidence.at("tasks"))
    if (Event.at("reason") == "done" && Event.at("end_ms").get<std::int64_t>() > From &&
        Event.at("end_ms").get<std::int64_t>() < To)
      ++Count;
  return Count;
}

/// One submission during an outage and what its caller was told.
struct Told {
  Json Body_;
  std::string Id_;
  std::string Error_;
  std::string Outcome_;
  int Status_ = 0;
};

Told submitOnce(Fleet &All, const std::string &Through, const std::string &Id,
                const std::string &Key) {
  const Json Job{{"kind", "batch"}, {"tasks", 1}, {"run_ms", 300}, {"request_id", Id}};
  const Reply Answer = Api(All, Through).submitJob("print", Job, Key);
  return {Job, Answer.Status_ == 202 ? Answer.json().value("id", "") : "", Answer.errorId(),
          Answer.Outcome_, Answer.Status_};
}

Json configurationWithService() {
  Json Text = defaultConfiguration();
  Text["services"] = Json::array({{{"name", "watcher"},
                                   {"team", "mfi"},
                                   {"replicas", 2},
                                   {"cores", 1},
                                   {"memory_mb", 256},
                                   {"run", "watch"}}});
  return Text;
}

void runOutage(const char *Mode) {
  Fleet All(roshan(1, 2));
  cr_assert(bringUp(All, configurationWithService()), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  std::vector<SubmittedJob> Accepted;
  Accepted.reserve(6);
  for (int I = 0; I < 6; ++I)
    Accepted.push_back(submitUntilAccepted(All, All.names()[static_cast<std::size_t>(I)],
                                           {{"kind", "batch"},
                                            {"tasks", 2},
                                            {"run_ms", 6'000},
                                            {"request_id", "before-" + std::to_string(I)}},
                                           Key, core::Millis(10'000)));
  cr_assert(waitFor(core::Millis(10'000),
                    [&] {
                      return All.evidence(Standin::Worker).at("tasks").size() ==
                             14; // 12 tasks and 2 replicas
                    }),
            "%s", All.evidence(Standin::Worker).dump().c_str());

  const std::int64_t Begin = core::wallMillis();
  std::int64_t End = 0;
  std::vector<Told> Submissions;
  std::vector<std::vector<Told>> Answers(All.names().size());
  std::vector<std::thread> Callers;
  std::atomic<bool> Stop = false;
  { // The store is away: work goes on, new work is refused.
    All.control(Standin::Log, {{"outage", Mode}});
    for (std::size_t I = 0; I < All.names().size(); ++I)
      Callers.emplace_back([&, I] {
        for (int Number = 0; !Stop; ++Number)
          Answers[I].push_back(
              submitOnce(All, All.names()[I],
                         "during-" + std::to_string(I) + "-" + std::to_string(Number), Key));
      });
    waitFor(OutageLength * 2, [&] { return core::wallMillis() - Begin >= OutageLength.count(); });
    const Json Evidence = All.evidence(Standin::Worker);
    End = core::wallMillis();
    std::printf("{\"scenario\":\"store_outage\",\"mode\":\"%s\",\"ended_during\":%zu}\n", Mode,
                endedBetween(Evidence, Begin, End));
    cr_assert_eq(endedBetween(Evidence, Begin, End), 12U, "tasks did not go on: %s",
                 Evidence.dump().c_str());
    for (const Json &Event : Evidence.at("tasks"))
      cr_assert(Event.at("reason").is_null() || Event.at("reason") == "done", "%s",
                Event.dump().c_str());
    All.control(Standin::Log, {{"outage", "none"}});
    // Submissions across the end of the outage, until one is accepted again.
    const std::string After = "after-" + std::string(Mode);
    Accepted.push_back(submitUntilAccepted(
        All, All.names().back(),
        {{"kind", "batch"}, {"tasks", 1}, {"run_ms", 300}, {"request_id", After}}, Key,
        core::Millis(15'000)));
    Stop = true;
    for (std::thread &One : Callers)
      One.join();
    cr_assert_not(Accepted.back().Id_.empty(), "no job was accepted after the outage");
    for (const auto &Part : Answers)
      Submissions.insert(Submissions.end(), Part.begin(), Part.end());
  }
  { // Ends of the outage are recorded.
    const Json Open = awaitAllSucceeded(All, Accepted, All.names().back(), Key, AllDone);
    cr_assert(Open.is_null(), "%s", Open.dump().c_str());
  }
  std::map<std::string, std::size_t> Counts;
  std::vector<std::string> Refused;
  std::vector<SubmittedJob> Unknown;
  { // Each caller was told the truth.
    for (const Told &One : Submissions) {
      ++Counts[One.Id_.empty() ? One.Error_ : "accepted"];
      if (!One.Id_.empty())
        Accepted.push_back({One.Id_, One.Body_, ""});
      else if (One.Outcome_ == "not_run")
        Refused.push_back(One.Body_.at("request_id"));
      else if (One.Error_ == "MD-502")
        Unknown.push_back(submitUntilAccepted(All, All.names().front(), One.Body_, Key, AllDone));
      else
        cr_assert_fail("%d %s %s", One.Status_, One.Error_.c_str(), One.Outcome_.c_str());
    }
    for (const auto &[What, Number] : Counts)
      std::printf("{\"scenario\":\"store_outage\",\"mode\":\"%s\",\"told\":\"%s\",\"count\":%zu}\n",
                  Mode, What.c_str(), Number);
    std::fflush(stdout);
    cr_assert_gt(Submissions.size(), 0U);
    // An unknown one that is submitted again with its id runs once, whether it was taken or not.
    for (const SubmittedJob &One : Unknown) {
      cr_assert_not(One.Id_.empty(), "%s", One.Body_.dump().c_str());
      Accepted.push_back(One);
    }
    const Json Open = awaitAllSucceeded(All, Accepted, All.names().back(), Key, AllDone);
    cr_assert(Open.is_null(), "%s", Open.dump().c_str());
  }
  { // No refused submission has a job, every accepted one ran once, the services are the first
    // ones.
    const Json Evidence = All.evidence(Standin::Worker);
    cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1);
    cr_assert_not(Evidence.at("overcommitted").get<bool>());
    std::map<std::string, int> Starts;
    for (const Json &Event : Evidence.at("tasks"))
      ++Starts[Event.at("id").get<std::string>()];
    for (const auto &[Id, Number] : Starts)
      cr_assert_eq(Number, 1, "%s was started %d times", Id.c_str(), Number);
    for (const SubmittedJob &One : Accepted)
      cr_assert_eq(Starts[One.Id_ + "#0"], 1, "%s", One.Id_.c_str());
    for (const std::string &Request : Refused)
      for (const std::string &Domain : domainsOf(All)) {
        const std::string Id = Domain + "/mfi/" + Request;
        const Reply Answer = Api(All, All.names().back()).job(Id, Key);
        cr_assert_eq(Answer.Status_, 404, "%s was refused as not run: %s", Id.c_str(),
                     Answer.Body_.c_str());
        cr_assert_eq(Starts.count(Id + "#0"), 0U, "%s was refused and ran", Id.c_str());
      }
  }
}

} // namespace

// Guards against work that stops with the store, and against an untrue "not run" to a new job.
Test(StoreRefuses, callersAreToldTheTruth) { runOutage("refuse"); }

Test(StoreHangs, callersAreToldTheTruth) { runOutage("hang"); }

// Guards against a second copy of a record whose append took effect without an answer.
Test(LostAnswers, nothingTwiceAndNothingLost) {
  Fleet All(roshan(1, 2));
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  std::vector<SubmittedJob> Jobs;
  { // Accepts, starts and ends among the lost answers; the switch counts down, so set it anew.
    for (int I = 0; I < 20; ++I) {
      All.control(Standin::Log,
                  {{"lose_answers", 3}, {"lose_mode", I % 2 == 0 ? "close" : "hang"}});
      Jobs.push_back(
          submitUntilAccepted(All, All.names()[static_cast<std::size_t>(I) % All.names().size()],
                              mixedJob("lost-" + std::to_string(I), I), Key, core::Millis(15'000)));
      cr_assert_not(Jobs.back().Id_.empty(), "%s", Jobs.back().Body_.dump().c_str());
    }
  }
  { // Everything ran once.
    const Json Open = awaitAllSucceeded(All, Jobs, All.names().back(), Key, AllDone);
    cr_assert(Open.is_null(), "%s", Open.dump().c_str());
    const auto Wrong = violations(All.evidence(Standin::Worker), Jobs);
    cr_assert(Wrong.empty(), "%s", join(Wrong).c_str());
    const auto Lost = All.evidence(Standin::Log).at("answers_lost").get<int>();
    std::printf("{\"scenario\":\"lost_answers\",\"answers_lost\":%d,\"jobs\":%zu}\n", Lost,
                Jobs.size());
    std::fflush(stdout);
    cr_assert_gt(Lost, 20);
  }
}
