// Calls to a queue that needs no key, and to one that does, as real processes.
#include "support/PlatformFleet.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr const char *Job = "00000000000000a1";
constexpr const char *NoKey = "";
constexpr const char *UnknownKey = "withdrawn-key";
constexpr const char *LongTask = R"({"spec":"ms=60000","steps":[{"count":1,"cpu":100}]})";
constexpr int Gone = 410;

/// The daemons that answer a look in different ways: the leader, and one that asks it.
constexpr int DaemonCount = 2;

std::string path(std::string_view Queue) { return "/" + std::string(Queue) + "/" + Job; }

int status(PlatformFleet &Fleet, int Daemon, const std::string &Method, std::string_view Queue,
           const std::string &Key) {
  return Fleet.call(Daemon, Method, path(Queue), {}, Key).Answer_.Status_;
}

/// Submits a job that runs on.
void submitLongJob(PlatformFleet &Fleet, std::string_view Queue, const std::string &Key) {
  cr_assert_eq(Fleet.call(0, "POST", path(Queue), LongTask, Key).Answer_.Status_, 200);
  cr_assert(waitFor(Millis(5000), [&] { return !Fleet.evidence()["running"].empty(); }));
}

bool awaitNothingRuns(PlatformFleet &Fleet) {
  return waitFor(Millis(5000), [&] { return Fleet.evidence()["running"].empty(); });
}

} // namespace

// --- Looks ---

// Guards against a running job that is said not to exist, because the key with which it was
// submitted has been withdrawn, or because the call has another key or none.
Test(OpenQueueLooks, needNoKey) {
  PlatformFleet Fleet(DaemonCount);
  submitLongJob(Fleet, "open", CallerKey);
  for (int Daemon = 0; Daemon < DaemonCount; ++Daemon)
    for (const char *Key : {CallerKey, UnknownKey, NoKey, OtherCallerKey})
      cr_expect_eq(status(Fleet, Daemon, "GET", "open", Key), 200, "daemon %d, key '%s'", Daemon,
                   Key);
}

// Guards against a job without an owner that is said not to exist when the caller has a key.
Test(OpenQueueLooks, findAJobThatWasSubmittedWithoutAKey) {
  PlatformFleet Fleet(DaemonCount);
  submitLongJob(Fleet, "open", NoKey);
  for (int Daemon = 0; Daemon < DaemonCount; ++Daemon)
    for (const char *Key : {NoKey, CallerKey})
      cr_expect_eq(status(Fleet, Daemon, "GET", "open", Key), 200, "daemon %d, key '%s'", Daemon,
                   Key);
}

// --- Cancellations ---

// Guards against a job that can't be stopped, because no key is left with which it was submitted.
Test(OpenQueueCancellations, needNoKey) {
  for (const char *Key : {UnknownKey, NoKey}) {
    PlatformFleet Fleet(DaemonCount);
    submitLongJob(Fleet, "open", CallerKey);
    cr_expect_eq(status(Fleet, 1, "DELETE", "open", Key), 200, "key '%s'", Key);
    cr_expect(awaitNothingRuns(Fleet), "key '%s'", Key);
  }
}

// --- Queues that need a key ---

// Guards against jobs of a queue that needs a key which strangers see or cancel, directly or
// through a queue that needs none.
Test(KeyedQueue, isClosedToOtherCustomersAndStrangers) {
  PlatformFleet Fleet(DaemonCount);
  submitLongJob(Fleet, "q", CallerKey);
  for (int Daemon = 0; Daemon < DaemonCount; ++Daemon)
    for (const char *Method : {"GET", "DELETE"}) {
      cr_expect_eq(status(Fleet, Daemon, Method, "q", OtherCallerKey), Gone);
      cr_expect_eq(status(Fleet, Daemon, Method, "q", UnknownKey), 401);
      for (const char *Key : {NoKey, UnknownKey, OtherCallerKey})
        cr_expect_eq(status(Fleet, Daemon, Method, "open", Key), Gone, "%s, key '%s'", Method, Key);
    }
  cr_expect_eq(status(Fleet, 1, "GET", "q", CallerKey), 200);
  cr_expect_eq(Fleet.evidence()["running"].size(), 1);
}

// Guards against a job that is said not to exist after its queue has come to need a key: nobody has
// the key of a job without an owner.
Test(KeyedQueue, showsJobsWithoutAnOwnerToItsCallers) {
  PlatformFleet Fleet(DaemonCount);
  submitLongJob(Fleet, "open", NoKey);
  Json Manifest = initialManifest();
  Manifest["version"] = 2;
  for (Json &Route : Manifest["routes"])
    Route["allow_anonymous"] = false;
  Fleet.control({{"manifest", Manifest}});
  cr_assert(waitFor(Millis(5000), [&] { return status(Fleet, 1, "GET", "open", NoKey) == 401; }));
  cr_expect_eq(status(Fleet, 1, "GET", "open", CallerKey), 200);
}
