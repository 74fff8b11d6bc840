// End-to-end test over separate processes: configuration, keys, interactive requests and a durable
// job.
#include "support/Api.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// Waits until a job reaches \p State.
/// \returns the last status read.
Json awaitJob(Api &Caller, const std::string &JobId, const std::string &Key,
              const std::string &State, core::Millis Deadline = core::Millis(10'000)) {
  Json Status;
  waitFor(Deadline, [&] {
    Status = Caller.job(JobId, Key).json();
    return Status.is_object() && Status.value("state", "") == State;
  });
  return Status;
}

} // namespace

Test(WholePath, servesRequestsAndJobsThroughEveryDaemon) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  Api FirstDaemon(TestFleet, TestFleet.names().front());
  const std::string Key = FirstDaemon.createKey("mfi");

  // An interactive request through each daemon. The key was granted at the first one, so the others
  // may not know it yet (MD-202).
  for (const std::string &Name : TestFleet.names()) {
    Api Daemon(TestFleet, Name);
    Reply LastReply;
    cr_assert(waitFor(core::Millis(5000), [&] {
      LastReply = Daemon.request("reorder", "check 17", {.Key_ = Key, .Id_ = "r-" + Name});
      return LastReply.errorId() != "MD-202";
    }));
    cr_assert_eq(LastReply.Status_, 200, "%s: %d %s", Name.c_str(), LastReply.Status_,
                 LastReply.Body_.c_str());
    cr_assert(LastReply.Body_.find("check 17") != std::string::npos, "%s", LastReply.Body_.c_str());
  }

  // A batch job, submitted to one daemon and read from another.
  Api LastDaemon(TestFleet, TestFleet.names().back());
  const Reply Accepted = FirstDaemon.submitJob(
      "print", {{"kind", "batch"}, {"tasks", 3}, {"run_ms", 200}, {"request_id", "b1"}}, Key);
  cr_assert_eq(Accepted.Status_, 202, "%d %s", Accepted.Status_, Accepted.Body_.c_str());
  const std::string JobId = Accepted.json().at("id");
  const Json FinalStatus = awaitJob(LastDaemon, JobId, Key, "succeeded");
  cr_assert(FinalStatus.value("state", "") == "succeeded", "%s", FinalStatus.dump().c_str());

  // The worker stand-in recorded that each task ran once.
  const Json Evidence = TestFleet.evidence(Standin::Worker);
  cr_assert_eq(Evidence.at("tasks").size(), 3U, "%s", Evidence.dump().c_str());
  cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1);
}
