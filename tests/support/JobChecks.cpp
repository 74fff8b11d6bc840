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

SubmittedJob submitUntilAccepted(Fleet &Cluster, const std::string &Daemon, const Json &Job,
                                 const std::string &Key, core::Millis Deadline) {
  SubmittedJob Submitted{{}, Job, Daemon};
  Api DaemonApi(Cluster, Daemon);
  waitFor(Deadline, [&] {
    const Reply Answer = DaemonApi.submitJob("print", Job, Key);
    if (Answer.Status_ == 202 || Answer.Status_ == 200)
      Submitted.Id_ = Answer.json().value("id", "");
    return !Submitted.Id_.empty();
  });
  return Submitted;
}

std::string ownerOf(Fleet &Cluster, const std::string &Domain) {
  for (const std::string &Name : Cluster.namesIn(Domain)) {
    // Skips daemons that have exited, because they do not answer.
    const Json Status = Cluster.process(Name).running() ? Api(Cluster, Name).status() : Json();
    if (Status.is_object() && Status.value("is_owner", false))
      return Name;
  }
  return {};
}

std::vector<std::string> domainsOf(Fleet &Cluster) {
  std::vector<std::string> Domains;
  for (const std::string &Name : Cluster.names()) {
    const std::string Domain = Name.substr(0, Name.rfind('-'));
    if (Domains.empty() || Domains.back() != Domain)
      Domains.push_back(Domain);
  }
  return Domains;
}

Json awaitAllSucceeded(Fleet &Cluster, const std::vector<SubmittedJob> &Jobs,
                       const std::string &QueriedDaemon, const std::string &Key,
                       core::Millis Deadline) {
  Api DaemonApi(Cluster, QueriedDaemon);
  Json LastStatus;
  std::size_t SucceededCount = 0;
  const bool AllSucceeded = waitFor(Deadline, [&] {
    for (; SucceededCount < Jobs.size(); ++SucceededCount) {
      LastStatus = DaemonApi.job(Jobs[SucceededCount].Id_, Key).json();
      if (!LastStatus.is_object() || LastStatus.value("state", "") != "succeeded")
        return false;
    }
    return true;
  });
  return AllSucceeded ? Json() : LastStatus.is_null() ? Json("no answer") : LastStatus;
}

std::vector<std::string> violations(const Json &Evidence, const std::vector<SubmittedJob> &Jobs) {
  std::vector<std::string> Violations;
  if (Evidence.at("overcommitted").get<bool>())
    Violations.push_back("a worker was overcommitted");
  if (Evidence.at("peak_copies").get<int>() > 1)
    Violations.push_back("tasks that ran on two workers at once: " +
                         Evidence.at("duplicates").dump());
  std::map<std::string, int> Succeeded;
  for (const Json &Event : Evidence.at("tasks"))
    if (Event.at("reason") == "done")
      ++Succeeded[Event.at("id").get<std::string>()];
  std::size_t Expected = 0;
  for (const SubmittedJob &Job : Jobs)
    for (int Task = 0; Task < Job.Body_.at("tasks").get<int>(); ++Task) {
      ++Expected;
      const std::string Id = Job.Id_ + "#" + std::to_string(Task);
      if (Succeeded[Id] != 1)
        Violations.push_back(Id + " succeeded " + std::to_string(Succeeded[Id]) + " times");
    }
  if (Succeeded.size() > Expected)
    Violations.push_back(std::to_string(Succeeded.size() - Expected) +
                         " tasks that belong to no accepted job ran");
  return Violations;
}

std::int64_t firstStartAfter(const Json &Evidence, const std::string &Domain, std::int64_t WallMs) {
  std::int64_t EarliestMs = -1;
  for (const Json &Event : Evidence.at("tasks")) {
    const auto DelayMs = Event.at("start_ms").get<std::int64_t>() - WallMs;
    if (Event.at("id").get<std::string>().starts_with(Domain + "/") && DelayMs > 0 &&
        (EarliestMs < 0 || DelayMs < EarliestMs))
      EarliestMs = DelayMs;
  }
  return EarliestMs;
}

std::string join(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

} // namespace masticdrift::testing
