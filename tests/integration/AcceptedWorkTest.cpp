// What accepted jobs hold in the daemons. The daemons are real processes; their machines are small
// by their settings.
#include "support/ClientCrowd.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// Jobs whose steps together take more than the machine's memory.
constexpr int ManyStepJobs = 60;
constexpr int StepsPerJob = 1900;
/// Jobs with as many tasks as a job may have.
constexpr int ManyTaskJobs = 40;
constexpr int TasksPerJob = 20'000;
/// Jobs that are cancelled as soon as they are accepted.
constexpr int CancelledJobs = 40'000;
constexpr int CancellingClients = 16;
/// Tasks that run for longer than the test, all at the same time.
constexpr int RunningTaskJobs = 2;

/// Clients that submit such jobs at a daemon whose leader is held up.
constexpr int HeldUpClients = 400;

/// Time in which a caller gets its answer beside the crowd; only bounds the wait.
constexpr core::Millis AnswerTimeout{30'000};
/// Time in which tasks are started that all run; only bounds the wait.
constexpr core::Millis RunningTime{15'000};
/// Time in which another daemon leads after the loss of the leader; only bounds the wait.
constexpr core::Millis TakeoverTimeout{60'000};

/// \returns the id of the \p Number-th job of a crowd.
std::string jobId(int Number) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "d%015x", static_cast<unsigned>(Number));
  return Text;
}

/// \returns a job of \p Steps steps of \p Tasks short tasks.
std::string jobOf(int Steps, int Tasks) {
  const std::string Step =
      R"({"count":)" + std::to_string(Tasks) + R"(,"cpu":1,"mem_mb":1,"estimated_ms":1})";
  std::string Body = R"({"spec":"ms=1","steps":[)" + Step;
  for (int I = 1; I < Steps; ++I)
    Body += ',' + Step;
  return Body + "]}";
}

/// A crowd that submits jobs.
struct Submissions {
  int Accepted_ = 0;
  int Refused_ = 0;

  /// Submits \p Count jobs and checks that each is accepted or refused with the time to return.
  void submit(PlatformFleet &Fleet, int Daemon, int Count, const std::string &Body,
              const std::string &Queue = "/q/", const std::string &Key = CallerKey) {
    for (int I = 0; I < Count; ++I) {
      const http::Response Answer = Fleet.call(Daemon, "POST", Queue + jobId(I), Body, Key).Answer_;
      cr_assert(Answer.Status_ == 200 || Answer.Status_ == 429, "job %d: status %d %s", I,
                Answer.Status_, Answer.Body_.c_str());
      if (Answer.Status_ == 200) {
        ++Accepted_;
      } else {
        ++Refused_;
        cr_expect(!http::findHeader(Answer.Headers_, "Retry-After").empty());
      }
    }
  }
};

/// Checks that an ordinary job of another customer is served by \p Daemon.
void checkOtherCustomer(PlatformFleet &Fleet, int Daemon, const std::string &Id) {
  const std::string Body =
      R"({"spec":"ms=50","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":50}]})";
  const http::Response Answer =
      Fleet.call(Daemon, "POST", "/q/" + Id, Body, OtherCallerKey).Answer_;
  cr_expect_eq(Answer.Status_, 200, "status %d %s", Answer.Status_, Answer.Body_.c_str());
  cr_expect(waitFor(AnswerTimeout, [&] {
    const http::Response State = Fleet.call(Daemon, "GET", "/q/" + Id, {}, OtherCallerKey).Answer_;
    return State.Status_ == 200 && State.Body_.find("completed") != std::string::npos;
  }));
}

} // namespace

// --- One customer's backlog ---

// Guards against jobs of many small steps, which take little processor time and twenty times their
// size in memory.
Test(AcceptedWork, jobsOfManySteps) {
  CrowdScene Scene({96, 2200});
  Submissions Crowd;
  Crowd.submit(Scene.fleet(), 0, ManyStepJobs, jobOf(StepsPerJob, 1));
  cr_expect_gt(Crowd.Accepted_, 0);
  Scene.checkBounds();
  checkOtherCustomer(Scene.fleet(), 0, "00000000000000b3");
  Scene.checkBounds();
}

// Guards against jobs of many tasks, whose state is kept one by one.
Test(AcceptedWork, jobsOfManyTasks) {
  CrowdScene Scene({96, 2200});
  Submissions Crowd;
  Crowd.submit(Scene.fleet(), 0, ManyTaskJobs, jobOf(1, TasksPerJob));
  cr_expect_gt(Crowd.Accepted_, 0);
  Scene.checkBounds();
  checkOtherCustomer(Scene.fleet(), 0, "00000000000000b3");
  Scene.checkBounds();
}

// Guards against a queue without keys, through which anybody fills the memory of all.
Test(AcceptedWork, jobsOfAnonymousCallers) {
  CrowdScene Scene({96, 2200});
  Submissions Crowd;
  Crowd.submit(Scene.fleet(), 0, ManyStepJobs, jobOf(StepsPerJob, 1), "/open/", {});
  cr_expect_gt(Crowd.Accepted_, 0);
  Scene.checkBounds();
  checkOtherCustomer(Scene.fleet(), 0, "00000000000000b3");
  Scene.checkBounds();
}

// --- The daemons that follow ---

// Guards against a backlog that ends one leader after the other: the next one reads all of it.
Test(AcceptedWork, theNextLeaderReadsTheBacklog) {
  CrowdScene Scene({96, 2200}, 3);
  PlatformFleet &Fleet = Scene.fleet();
  Submissions Crowd;
  Crowd.submit(Fleet, 0, ManyStepJobs, jobOf(StepsPerJob, 1));
  cr_expect_gt(Crowd.Accepted_, 0);
  for (int Daemon = 0; Daemon < 3; ++Daemon)
    Scene.checkBounds(Daemon);
  const int First = Fleet.leader();
  cr_assert_geq(First, 0);
  Fleet.daemon(First).signal(SIGKILL);
  cr_assert(waitFor(TakeoverTimeout, [&] { return Fleet.leader() >= 0; }));
  const int Second = Fleet.leader();
  for (int Daemon = 0; Daemon < 3; ++Daemon)
    if (Daemon != First)
      Scene.checkBounds(Daemon);
  checkOtherCustomer(Fleet, Second, "00000000000000b3");
  for (int Daemon = 0; Daemon < 3; ++Daemon)
    if (Daemon != First)
      Scene.checkBounds(Daemon);
}

// Guards against jobs that a daemon stores itself, past the leader's decision, while the leader's
// own appends get no answer.
Test(AcceptedWork, jobsStoredBesideALeaderThatIsHeldUp) {
  CrowdScene Scene({96, 8192}, 2);
  PlatformFleet &Fleet = Scene.fleet();
  const int Leader = Fleet.leader();
  cr_assert_geq(Leader, 0);
  const int Follower = 1 - Leader;
  Fleet.control({{"held_daemon", PlatformFleet::nameOf(Leader)}, {"held_topics", {"keyed.specs"}}});
  const std::string Body = jobOf(StepsPerJob, 1);
  for (int I = 0; I < HeldUpClients && Scene.awaitRead(Follower); ++I)
    Scene.join(Follower).send(
        submissionHeader("X-Masticdrift-Request-Deadline: 10000\r\nContent-Length: " +
                             std::to_string(Body.size()),
                         jobId(I)) +
        Body);
  Scene.checkBounds(Follower);
  Fleet.control({{"held_daemon", ""}});
  Scene.checkBounds(Leader);
  Scene.checkBounds(Follower);
  checkOtherCustomer(Fleet, Follower, "00000000000000b3");
}

// --- Runs ---

// Guards against tasks that need next to nothing, so that thousands run at the same time, each with
// a copy of the payload.
Test(AcceptedWork, tasksThatAllRunAtTheSameTime) {
  CrowdScene Scene({96, 2200});
  PlatformFleet &Fleet = Scene.fleet();
  std::string Body = jobOf(1, TasksPerJob);
  Body.replace(Body.find("ms=1"), 4, "ms=600000 " + std::string(3980, 'x'));
  Submissions Crowd;
  Crowd.submit(Fleet, 0, RunningTaskJobs, Body);
  cr_expect_gt(Crowd.Accepted_, 0);
  // The starts go out a hundred at a time.
  waitFor(RunningTime, [&] { return statusKb(Fleet.daemon(0), "VmHWM") >= 96 * 1024L; });
  Scene.checkBounds();
  checkOtherCustomer(Fleet, 0, "00000000000000b3");
  Scene.checkBounds();
}

// --- Jobs that have ended ---

// Guards against entries of ended jobs, which are kept so that their state can be asked for.
Test(AcceptedWork, jobsThatAreCancelledAtOnce) {
  CrowdScene Scene({48, 2200});
  PlatformFleet &Fleet = Scene.fleet();
  const std::string Body = jobOf(1, 1);
  std::atomic<int> Next = 0;
  std::atomic<int> Odd = 0;
  std::vector<std::thread> Clients;
  Clients.reserve(CancellingClients);
  for (int I = 0; I < CancellingClients; ++I)
    Clients.emplace_back([&] {
      for (int Job = Next++; Job < CancelledJobs; Job = Next++) {
        const int Status = Fleet.call(0, "POST", "/q/" + jobId(Job), Body).Answer_.Status_;
        Odd += Status != 200 && Status != 429;
        if (Status == 200)
          Fleet.call(0, "DELETE", "/q/" + jobId(Job));
      }
    });
  for (std::thread &Client : Clients)
    Client.join();
  cr_expect_eq(Odd, 0, "%d answers that are neither 200 nor 429", Odd.load());
  Scene.checkBounds();
  checkOtherCustomer(Fleet, 0, "00000000000000b3");
}

// --- Jobs that cannot be served ---

// Guards against a job that no record of the store holds: its append was repeated until its
// deadline, together with those of other callers.
Test(AcceptedWork, aJobThatNoRecordHoldsIsRefusedAtOnce) {
  CrowdScene Scene({96, 2200});
  PlatformFleet &Fleet = Scene.fleet();
  Json Manifest = initialManifest();
  Manifest["version"] = 2;
  Manifest["limits"]["max_body_bytes"] = 1'000'000;
  Fleet.control({{"manifest", Manifest}});
  cr_assert(waitFor(AnswerTimeout, [&] {
    return Fleet.metrics(0).find("masticdrift_config_version 2") != std::string::npos;
  }));
  cr_expect_eq(Fleet.call(0, "POST", "/q/" + jobId(0), jobOf(15'000, 1)).Answer_.Status_, 400);
  checkOtherCustomer(Fleet, 0, "00000000000000b3");
}

// Guards against a payload beyond the limit of the platform, which every start would carry.
Test(AcceptedWork, aJobWithALargePayloadIsRefused) {
  CrowdScene Scene({96, 2200});
  std::string Body = jobOf(1, 1);
  Body.replace(Body.find("ms=1"), 4, std::string(4001, 'x'));
  cr_expect_eq(Scene.fleet().call(0, "POST", "/q/" + jobId(0), Body).Answer_.Status_, 400);
}

// --- A single job within the limits ---

// Guards against a bound that a caller meets which keeps to the configuration: a job of the largest
// body with the smallest steps.
Test(AcceptedWork, aJobOfTheLargestBodyIsServed) {
  CrowdScene Scene({96, 2200});
  PlatformFleet &Fleet = Scene.fleet();
  const std::string Body = jobOf(2000, 1);
  cr_assert_lt(Body.size(), 100'000U);
  cr_expect_eq(Fleet.call(0, "POST", "/q/" + jobId(0), Body).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(0, jobId(0), "completed", AnswerTimeout));
  Scene.checkBounds();
}
