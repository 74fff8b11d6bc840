// The whole path through separate processes: configuration, keys, an interactive request and
// durable jobs.
#include "support/Api.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// Waits until a job reaches \p State; returns the last status seen.
Json awaitJob(Api &At, const std::string &Id, const std::string &Key, const std::string &State,
              core::Millis Deadline = core::Millis(10'000)) {
  Json Last;
  waitFor(Deadline, [&] {
    Last = At.job(Id, Key).json();
    return Last.is_object() && Last.value("state", "") == State;
  });
  return Last;
}

} // namespace

Test(WholePath, servesRequestsAndJobsThroughEveryDaemon) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  Api First(All, All.names().front());
  const std::string Key = First.createKey("mfi");

  // An interactive request through each daemon; the key was granted at the first one.
  for (const std::string &Name : All.names()) {
    Api At(All, Name);
    Reply Answer;
    cr_assert(waitFor(core::Millis(5000), [&] {
      Answer = At.request("reorder", "check 17", {.Key_ = Key, .Id_ = "r-" + Name});
      return Answer.errorId() != "MD-202";
    }));
    cr_assert_eq(Answer.Status_, 200, "%s: %d %s", Name.c_str(), Answer.Status_,
                 Answer.Body_.c_str());
    cr_assert(Answer.Body_.find("check 17") != std::string::npos, "%s", Answer.Body_.c_str());
  }

  // A batch, submitted at one daemon and read at another.
  Api Other(All, All.names().back());
  const Reply Accepted = First.submitJob(
      "print", {{"kind", "batch"}, {"tasks", 3}, {"run_ms", 200}, {"request_id", "b1"}}, Key);
  cr_assert_eq(Accepted.Status_, 202, "%d %s", Accepted.Status_, Accepted.Body_.c_str());
  const std::string Id = Accepted.json().at("id");
  const Json Done = awaitJob(Other, Id, Key, "succeeded");
  cr_assert(Done.value("state", "") == "succeeded", "%s", Done.dump().c_str());

  // The stand-in's record: each task ran once.
  const Json Evidence = All.evidence(Standin::Worker);
  cr_assert_eq(Evidence.at("tasks").size(), 3U, "%s", Evidence.dump().c_str());
  cr_assert_eq(Evidence.at("peak_copies").get<int>(), 1);
}
