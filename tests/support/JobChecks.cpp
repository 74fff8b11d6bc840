#include "support/JobChecks.h"

#include <map>

namespace masticdrift::testing {

Json mixedJob(const std::string &RequestId, int Number) {
  return {{"kind", "batch"},
          {"tasks", 2 + Number % 3},
          {"run_ms", 300 + (Number * 400) % 1600 % 1201},
          {"idempotent", Number % 2 == 0},
          {"request_id", RequestId}};
}

SubmittedJob submitUntilAccepted(Fleet &Of, const std::string &Daemon, const Json &Job,
                                 const std::string &Key, core::Millis Deadline) {
  SubmittedJob To{{}, Job, Daemon};
  Api At(Of, Daemon);
  waitFor(Deadline, [&] {
    const Reply Answer = At.submitJob("print", Job, Key);
    if (Answer.Status_ == 202 || Answer.Status_ == 200)
      To.Id_ = Answer.json().value("id", "");
    return !To.Id_.empty();
  });
  return To;
}

std::string ownerOf(Fleet &Of, const std::string &Domain) {
  for (const std::string &Name : Of.namesIn(Domain)) {
    // A stopped or ended daemon does not answer.
    const Json Status = Of.process(Name).running() ? Api(Of, Name).status() : Json();
    if (Status.is_object() && Status.value("is_owner", false))
      return Name;
  }
  return {};
}

std::vector<std::string> domainsOf(Fleet &Of) {
  std::vector<std::string> To;
  for (const std::string &Name : Of.names()) {
    const std::string Domain = Name.substr(0, Name.rfind('-'));
    if (To.empty() || To.back() != Domain)
      To.push_back(Domain);
  }
  return To;
}

Json awaitAllSucceeded(Fleet &Of, const std::vector<SubmittedJob> &Jobs, const std::string &Through,
                       const std::string &Key, core::Millis Deadline) {
  Api At(Of, Through);
  Json Last;
  std::size_t Done = 0;
  const bool All = waitFor(Deadline, [&] {
    for (; Done < Jobs.size(); ++Done) {
      Last = At.job(Jobs[Done].Id_, Key).json();
      if (!Last.is_object() || Last.value("state", "") != "succeeded")
        return false;
    }
    return true;
  });
  return All ? Json() : Last.is_null() ? Json("no answer") : Last;
}

std::vector<std::string> violations(const Json &Evidence, const std::vector<SubmittedJob> &Jobs) {
  std::vector<std::string> To;
  if (Evidence.at("overcommitted").get<bool>())
    To.push_back("a worker was overcommitted");
  if (Evidence.at("peak_copies").get<int>() > 1)
    To.push_back("tasks in two places at once: " + Evidence.at("duplicates").dump());
  std::map<std::string, int> Succeeded;
  for (const Json &Event : Evidence.at("tasks"))
    if (Event.at("reason") == "done")
      ++Succeeded[Event.at("id").get<std::string>()];
  std::size_t Expected = 0;
  for (const SubmittedJob &One : Jobs)
    for (int Task = 0; Task < One.Body_.at("tasks").get<int>(); ++Task) {
      ++Expected;
      const std::string Id = One.Id_ + "#" + std::to_string(Task);
      if (Succeeded[Id] != 1)
        To.push_back(Id + " succeeded " + std::to_string(Succeeded[Id]) + " times");
    }
  if (Succeeded.size() > Expected)
    To.push_back(std::to_string(Succeeded.size() - Expected) + " tasks of no accepted job ran");
  return To;
}

std::int64_t firstStartAfter(const Json &Evidence, const std::string &Domain, std::int64_t WallMs) {
  std::int64_t Best = -1;
  for (const Json &Event : Evidence.at("tasks")) {
    const auto Wait = Event.at("start_ms").get<std::int64_t>() - WallMs;
    if (Event.at("id").get<std::string>().starts_with(Domain + "/") && Wait > 0 &&
        (Best < 0 || Wait < Best))
      Best = Wait;
  }
  return Best;
}

std::string join(const std::vector<std::string> &Lines) {
  std::string To;
  for (const std::string &Line : Lines)
    To += Line + "\n";
  return To;
}

} // namespace masticdrift::testing
