// Tests of the stand-ins and the test harness, because a faulty one would invalidate all other
// integration tests.
#include "masticdrift/core/Pack.h"
#include "support/Fleet.h"

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using http::Transfer;

namespace {

struct StoredRecord {
  std::uint64_t Offset_ = 0;
  std::string Bytes_;
  MSGPACK_DEFINE_ARRAY(Offset_, Bytes_)
};

struct StoredRecords {
  std::uint64_t First_ = 0;
  std::uint64_t Next_ = 0;
  std::vector<StoredRecord> Records_;
  MSGPACK_DEFINE_ARRAY(First_, Next_, Records_)
};

/// A running stand-in and an HTTP client for it.
class StandinProcess {
public:
  explicit StandinProcess(const std::string &Program,
                          const std::vector<std::string> &Arguments = {})
      : Process_(Program, Arguments, "/dev/null"), Ready_(Process_.ready()) {}

  http::ClientResult send(const std::string &Method, const std::string &Path,
                          const std::string &Body = {}, http::Headers Headers = {}, int Port = 0) {
    http::ClientRequest Request;
    Request.Method_ = Method;
    Request.Url_ =
        "http://127.0.0.1:" + std::to_string(Port == 0 ? Ready_["port"].get<int>() : Port) + Path;
    Request.Body_ = Body;
    Request.Headers_ = std::move(Headers);
    Request.Timeout_ = core::Millis(400);
    Request.FreshConnection_ = true;
    return Client_.sendAndWait(std::move(Request));
  }

  Json control(const Json &Body) {
    const auto Result = send("POST", "/control", Body.dump());
    cr_assert_eq(Result.Answer_.Status_, 200, "%s", Result.Answer_.Body_.c_str());
    return Json::parse(Result.Answer_.Body_);
  }

  Json evidence() { return Json::parse(send("GET", "/evidence").Answer_.Body_); }

  Process Process_;
  Json Ready_;
  http::Client Client_;
};

StoredRecords readStream(StandinProcess &Log, const std::string &Query) {
  const auto Result = Log.send("GET", "/streams/s/records?" + Query);
  const auto Read = core::unpack<StoredRecords>(Result.Answer_.Body_);
  cr_assert(Read.has_value());
  return *Read;
}

int status(const http::ClientResult &Result) {
  return Result.Transfer_ == Transfer::Complete ? Result.Answer_.Status_ : 0;
}

const std::string AppendPath = "/streams/s/records";

} // namespace

// Guards against wrong offsets, which replay depends on.
Test(StandinLogService, offsetsRiseAndReadsStartWhereAsked) {
  StandinProcess Log("standin-log");
  for (const char *Bytes : {"a", "b", "c"})
    cr_assert_eq(status(Log.send("POST", AppendPath, Bytes)), 200);
  const StoredRecords Read = readStream(Log, "from=1&max=1");
  cr_assert_eq(Read.First_, 0);
  cr_assert_eq(Read.Next_, 3);
  cr_assert_eq(Read.Records_.size(), 1);
  cr_assert(Read.Records_[0].Offset_ == 1 && Read.Records_[0].Bytes_ == "b");
  cr_assert_eq(Log.evidence()["streams"]["s"]["appends"], 3);
}

// Guards against an outage that still lets appends take effect.
Test(StandinLogService, anOutageRefusesOrHangsWithoutEffect) {
  StandinProcess Log("standin-log");
  Log.control({{"outage", "refuse"}});
  cr_assert_eq(status(Log.send("POST", AppendPath, "x")), 503);
  Log.control({{"outage", "hang"}});
  cr_assert(Log.send("POST", AppendPath, "x").Transfer_ == Transfer::NoAnswer);
  Log.control({{"outage", "none"}});
  cr_assert_eq(readStream(Log, "from=0").Next_, 0);
}

// Guards against a lost response whose append is not stored, or is stored twice.
Test(StandinLogService, aLostAnswerStillTakesEffectOnce) {
  StandinProcess Log("standin-log");
  Log.control({{"lose_answers", 1}});
  cr_assert(Log.send("POST", AppendPath, "x").Transfer_ == Transfer::NoAnswer);
  Log.control({{"lose_answers", 1}, {"lose_mode", "hang"}});
  cr_assert(Log.send("POST", AppendPath, "y").Transfer_ == Transfer::NoAnswer);
  cr_assert_eq(status(Log.send("POST", AppendPath, "z")), 200);
  cr_assert_eq(readStream(Log, "from=0").Next_, 3);
}

// Guards against a log without limits, which would hide daemons that append too much.
Test(StandinLogService, rateAndRetentionAreLimited) {
  StandinProcess Log("standin-log");
  Log.control({{"retention_records", 2}});
  for (int I = 0; I < 5; ++I)
    Log.send("POST", AppendPath, "x");
  const StoredRecords Read = readStream(Log, "from=0");
  cr_assert(Read.First_ == 3 && Read.Next_ == 5 && Read.Records_.front().Offset_ == 3);
  Log.control({{"retention_ms", 50}});
  cr_assert(waitFor(core::Millis(2000), [&] { return readStream(Log, "from=0").First_ == 5; }));
  Log.control({{"rate_limit", 2}});
  int Refused = 0;
  for (int I = 0; I < 5; ++I)
    Refused += status(Log.send("POST", AppendPath, "x")) == 429 ? 1 : 0;
  cr_assert_geq(Refused, 2);
}

// Guards against a list without lag: the platform's list is updated with a delay.
Test(StandinInstanceList, changesBecomeVisibleAfterTheLag) {
  StandinProcess List("standin-instances");
  const auto Read = [&] { return Json::parse(List.send("GET", "/instances").Answer_.Body_); };
  List.control({{"set", Json::array({{{"name", "a"}, {"kind", "entry"}}})}});
  cr_assert_eq(Read()["instances"][0]["state"], "live");
  List.control({{"lag_ms", 300}, {"set", Json::array({{{"name", "a"}, {"state", "leaving"}}})}});
  cr_assert_eq(Read()["instances"][0]["state"], "live");
  cr_assert(
      waitFor(core::Millis(3000), [&] { return Read()["instances"][0]["state"] == "leaving"; }));
  cr_assert_eq(Read()["instances"][0]["kind"], "entry");
  List.control({{"lag_ms", 0}, {"remove", {"a"}}});
  cr_assert(Read()["instances"].empty());
}

namespace {

constexpr const char *OneWorker = "--worker=w";

int renew(StandinProcess &Worker, int Term, int TtlMs, Json *Body = nullptr, const Json &Ack = {}) {
  Json Lease = {{"term", Term}, {"owner", "o"}, {"ttl_ms", TtlMs}};
  if (!Ack.is_null())
    Lease["ack"] = Ack;
  const auto Result = Worker.send("PUT", "/w/w/lease", Lease.dump());
  if (Body != nullptr)
    *Body = Json::parse(Result.Answer_.Body_);
  return status(Result);
}

int startTask(StandinProcess &Worker, const std::string &Id, int Term, int RunMs,
              double Cores = 1) {
  const Json Task = {
      {"term", Term}, {"attempt", 1}, {"cores", Cores}, {"memory_mb", 100}, {"run_ms", RunMs}};
  return status(Worker.send("PUT", "/w/w/tasks/" + Id, Task.dump()));
}

} // namespace

// Guards against workers that accept commands from a replaced owner.
Test(StandinWorkers, commandsOfALowerTermAreRefused) {
  StandinProcess Worker("standin-worker", {OneWorker});
  cr_assert_eq(startTask(Worker, "t", 1, 0), 410); // no lease yet
  cr_assert_eq(renew(Worker, 5, 5000), 200);
  cr_assert_eq(startTask(Worker, "t", 5, 0), 201);
  cr_assert_eq(renew(Worker, 4, 5000), 409);
  cr_assert_eq(startTask(Worker, "u", 4, 0), 409);
  cr_assert_eq(status(Worker.send("DELETE", "/w/w/tasks/t?term=4")), 409);
  cr_assert_eq(status(Worker.send("POST", "/w/w/tasks/t/throttle", R"({"term":4})")), 409);
  cr_assert_eq(status(Worker.send("POST", "/w/w/tasks/t/checkpoint", R"({"term":4})")), 409);
  cr_assert_eq(Worker.evidence()["workers"]["w"]["used"]["memory_mb"], 100);
}

// Guards against lost task ends and against a second run after a repeated start.
Test(StandinWorkers, aTaskRunsOnceAndIsKeptUntilAcknowledged) {
  StandinProcess Worker("standin-worker", {OneWorker});
  renew(Worker, 1, 5000);
  cr_assert_eq(startTask(Worker, "d%2Ft%2F1", 1, 30), 201);
  cr_assert_eq(startTask(Worker, "d%2Ft%2F1", 1, 30), 200);
  Json Lease;
  cr_assert(waitFor(core::Millis(3000), [&] {
    renew(Worker, 1, 5000, &Lease);
    return Lease["tasks"][0]["state"] == "finished";
  }));
  cr_assert_eq(Lease["tasks"][0]["id"], "d/t/1");
  renew(Worker, 1, 5000, &Lease, {"d/t/1"});
  cr_assert(Lease["tasks"].empty());
  const Json Evidence = Worker.evidence();
  cr_assert_eq(Evidence["tasks"].size(), 1);
  cr_assert_eq(Evidence["peak_copies"], 1);
}

// Guards against overcommitted workers (P1).
Test(StandinWorkers, aTaskWithoutRoomIsRefused) {
  StandinProcess Worker("standin-worker", {OneWorker, "--cores=2"});
  renew(Worker, 1, 5000);
  cr_assert_eq(startTask(Worker, "a", 1, 0, 1.5), 201);
  cr_assert_eq(startTask(Worker, "b", 1, 0, 1), 507);
  cr_assert_eq(status(Worker.send("POST", "/w/w/tasks/a/throttle", R"({"term":1,"cores":1})")),
               200);
  cr_assert_eq(startTask(Worker, "b", 1, 0, 1), 201);
  const Json Evidence = Worker.evidence();
  cr_assert_eq(Evidence["overcommitted"], false);
  cr_assert_eq(Evidence["workers"]["w"]["no_room"], 1);
  cr_assert_eq(Evidence["workers"]["w"]["peak"]["cores"], 2.0);
}

// Guards against tasks that outlive their lease, even if the worker process was paused (P2).
Test(StandinWorkers, theEndOfALeaseStopsAllTasks) {
  StandinProcess Worker("standin-worker", {OneWorker});
  renew(Worker, 1, 300);
  startTask(Worker, "a", 1, 0);
  startTask(Worker, "b", 1, 500);
  Worker.Process_.signal(SIGSTOP);
  std::this_thread::sleep_for(core::Millis(700));
  Worker.Process_.signal(SIGCONT);
  cr_assert_eq(startTask(Worker, "c", 1, 0), 410);
  for (const Json &Task : Worker.evidence()["tasks"]) {
    cr_assert_eq(Task["reason"], "lease ended");
    const auto Ran = Task["end_ms"].get<std::int64_t>() - Task["start_ms"].get<std::int64_t>();
    cr_assert_leq(Ran, 310);
  }
}

// Guards against fault settings without effect.
Test(StandinWorkers, faultsCanBeSwitchedOnAndOff) {
  StandinProcess Worker("standin-worker", {OneWorker});
  renew(Worker, 1, 5000);
  Worker.control({{"worker", "w"}, {"lose_answers", 1}});
  cr_assert_eq(startTask(Worker, "lost", 1, 0), 0);
  cr_assert_eq(startTask(Worker, "lost", 1, 0), 200);
  Worker.control({{"silent", true}});
  cr_assert_eq(startTask(Worker, "silent", 1, 0), 0);
  Worker.control({{"silent", false}, {"leaving", true}});
  cr_assert_eq(startTask(Worker, "leaving", 1, 0), 503);
  Worker.control({{"leaving", false}, {"refuse", true}});
  cr_assert_eq(startTask(Worker, "refused", 1, 0), 503);
  Worker.control({{"refuse", false}, {"fail_all", true}});
  cr_assert_eq(startTask(Worker, "failed", 1, 0), 201);
  cr_assert(waitFor(core::Millis(3000),
                    [&] { return Worker.evidence()["tasks"][1]["reason"] == "failed"; }));
  cr_assert_eq(Worker.evidence()["tasks"].size(), 2);
  Json Before;
  Json After;
  renew(Worker, 1, 5000, &Before);
  Worker.control({{"restart", true}});
  renew(Worker, 1, 5000, &After);
  cr_assert(Before["boot"] != After["boot"] && After["tasks"].empty());
}

namespace {

const std::vector<std::string> OneExecutor{"--executor=e", "--slots=2", "--connections=3"};

http::ClientResult run(StandinProcess &Executor, const std::string &Id, const std::string &Body,
                       http::Headers Extra = {}) {
  Extra.emplace_back("Masticdrift-Request-Id", Id);
  return Executor.send("POST", "/run", Body, std::move(Extra),
                       Executor.Ready_["executors"]["e"].get<int>());
}

} // namespace

// Guards against responses that are incomplete or belong to another request (P5).
Test(StandinExecutors, anAnswerEchoesItsOwnRequest) {
  StandinProcess Executor("standin-executor", OneExecutor);
  const auto Result = run(Executor, "r", "body");
  cr_assert_eq(status(Result), 200);
  cr_assert(Result.Answer_.Body_ == "echo:body");
  cr_assert_eq(status(run(Executor, "r", "body")), 200);
  const Json Evidence = Executor.evidence();
  cr_assert_eq(Evidence["repeated"]["r"], 2);
  cr_assert_eq(Evidence["executors"]["e"]["peak_slots"], 1);
}

// Guards against a rejection that reports "not run" although the request ran (P6).
Test(StandinExecutors, aFullOrLeavingExecutorRunsNothing) {
  StandinProcess Executor("standin-executor", OneExecutor);
  std::atomic<int> Done{0};
  for (const char *Id : {"a", "b"}) {
    http::ClientRequest Request{
        "POST",
        "http://127.0.0.1:" + std::to_string(Executor.Ready_["executors"]["e"].get<int>()) + "/run",
        "work-ms=300 x",
        {{"Masticdrift-Request-Id", Id}}};
    Executor.Client_.send(std::move(Request), [&Done](const auto &) { ++Done; });
  }
  cr_assert(waitFor(core::Millis(2000),
                    [&] { return Executor.evidence()["executors"]["e"]["busy"] == 2; }));
  const auto Refused = run(Executor, "c", "x");
  cr_assert_eq(status(Refused), 503);
  cr_assert(http::findHeader(Refused.Answer_.Headers_, "Masticdrift-Not-Run") == "true");
  cr_assert(waitFor(core::Millis(2000), [&] { return Done == 2; }));
  Executor.control({{"leaving", true}});
  cr_assert_eq(status(run(Executor, "d", "x")), 503);
  cr_assert_eq(Executor.evidence()["executors"]["e"]["requests"].size(), 2);
}

// Guards against requests that keep running past their deadline, when their slot counts as free.
Test(StandinExecutors, workStopsAtItsDeadline) {
  StandinProcess Executor("standin-executor", OneExecutor);
  cr_assert_eq(
      status(run(Executor, "a", "x", {{"X-Work-Ms", "5000"}, {"Masticdrift-Deadline-Ms", "50"}})),
      504);
  cr_assert_eq(Executor.evidence()["executors"]["e"]["busy"], 0);
}

// Guards against injected faults whose responses look complete.
Test(StandinExecutors, brokenAnswersAreBrokenAsChosen) {
  StandinProcess Executor("standin-executor", OneExecutor);
  const auto RunWithFailure = [&](const char *Failure) {
    Executor.control({{"executor", "e"}, {"failure", Failure}});
    return run(Executor, Failure, "body");
  };
  cr_assert_eq(status(RunWithFailure("fail")), 500);
  cr_assert(RunWithFailure("silent").Transfer_ == Transfer::NoAnswer);
  cr_assert(RunWithFailure("close_without_answer").Transfer_ == Transfer::NoAnswer);
  cr_assert(RunWithFailure("truncate").Transfer_ == Transfer::Truncated);
  cr_assert(RunWithFailure("no_length").Transfer_ == Transfer::Truncated);
  cr_assert_eq(status(RunWithFailure("none")), 200);
  cr_assert_eq(Executor.evidence()["executors"]["e"]["requests"].size(), 6);
}

namespace {

/// A proxy in front of a log service.
struct ProxiedLog {
  StandinProcess Log_{"standin-log"};
  StandinProcess Proxy_{"standin-proxy",
                        {"--target=127.0.0.1:" + std::to_string(Log_.Ready_["port"].get<int>())}};

  http::ClientResult append(bool FreshConnection = true) {
    http::ClientRequest Request{
        "POST",
        "http://127.0.0.1:" + std::to_string(Proxy_.Ready_["links"]["default"].get<int>()) +
            AppendPath,
        std::string(1000, 'x'),
        {}};
    Request.Timeout_ = core::Millis(400);
    Request.FreshConnection_ = FreshConnection;
    return Proxy_.Client_.sendAndWait(std::move(Request));
  }

  Json link() { return Proxy_.evidence()["links"]["default"]; }
  std::uint64_t appended() { return readStream(Log_, "from=0").Next_; }
};

} // namespace

// Guards against a cut link that forwards bytes, or a healed link that stays cut.
Test(StandinProxy, aCutLinkRefusesUntilHealed) {
  ProxiedLog Path;
  cr_assert_eq(status(Path.append(false)), 200);
  cr_assert_eq(Path.link()["open"], 1);
  cr_assert_geq(Path.link()["bytes_up"].get<int>(), 1000);
  Path.Proxy_.control({{"cut", true}});
  cr_assert_eq(Path.link()["open"], 0);
  cr_assert(Path.append().Transfer_ == Transfer::NotConnected);
  Path.Proxy_.control({{"heal", true}});
  cr_assert_eq(status(Path.append()), 200);
  cr_assert_eq(Path.appended(), 2);
}

// Guards against silenced connections that report an error, or that also affect new connections.
Test(StandinProxy, silencedConnectionsStaySilentWhileNewOnesWork) {
  ProxiedLog Path;
  cr_assert_eq(status(Path.append(false)), 200);
  Path.Proxy_.control({{"silence_existing", true}});
  cr_assert(Path.append(false).Transfer_ == Transfer::NoAnswer);
  cr_assert_eq(status(Path.append()), 200);
  Path.Proxy_.control({{"silence_all", true}});
  cr_assert(Path.append().Transfer_ == Transfer::NoAnswer);
  Path.Proxy_.control({{"heal", true}});
  cr_assert_eq(status(Path.append()), 200);
  cr_assert_eq(Path.appended(), 3);
}

// Guards against dropped responses whose request had no effect.
Test(StandinProxy, droppedAnswersHaveTakenEffect) {
  ProxiedLog Path;
  Path.Proxy_.control({{"drop_answers", 1}});
  cr_assert(Path.append().Transfer_ == Transfer::NoAnswer);
  cr_assert_eq(status(Path.append()), 200);
  cr_assert_eq(Path.appended(), 2);
}

// Guards against truncation in the wrong direction or at the wrong offset.
Test(StandinProxy, connectionsAreTruncatedPerDirection) {
  ProxiedLog Path;
  Path.Proxy_.control({{"direction", "up"}, {"truncate_after_bytes", 500}});
  cr_assert(Path.append().Transfer_ == Transfer::NoAnswer);
  cr_assert_eq(Path.appended(), 0);
  Path.Proxy_.control({{"heal", true}});
  Path.Proxy_.control({{"direction", "down"}, {"truncate_after_bytes", 60}});
  cr_assert(Path.append().Transfer_ == Transfer::Truncated);
  cr_assert_eq(Path.appended(), 1);
}

// Guards against links that are faster than configured.
Test(StandinProxy, delayAndBandwidthSlowALink) {
  ProxiedLog Path;
  const auto MeasureAppendMs = [&] {
    const core::TimePoint Start = core::Clock::now();
    cr_assert_eq(status(Path.append()), 200);
    return core::toMillis(core::Clock::now() - Start);
  };
  Path.Proxy_.control({{"delay_ms", 50}});
  cr_assert_geq(MeasureAppendMs(), 100);
  Path.Proxy_.control({{"heal", true}});
  Path.Proxy_.control({{"direction", "up"}, {"bandwidth_bytes_per_s", 10'000}});
  cr_assert_geq(MeasureAppendMs(), 100);
}

// Guards against leftover processes and wrong exit codes.
Test(ProcessHarness, exitsAndSignalsAreReported) {
  StandinProcess Log("standin-log");
  Log.Process_.signal(SIGTERM);
  cr_assert_eq(Log.Process_.wait(core::Millis(3000)).value_or(-1), 0);
  StandinProcess Killed("standin-log");
  Killed.Process_.signal(SIGKILL);
  cr_assert_eq(Killed.Process_.wait(core::Millis(3000)).value_or(-1), 128 + SIGKILL);
  bool Thrown = false;
  try {
    Process Missing("no-such-program", {}, "/dev/null");
    Missing.ready();
  } catch (const std::runtime_error &) {
    Thrown = true;
  }
  cr_assert(Thrown);
}

// Guards against a harness that passes wrong settings to daemons or loses them after a restart. A
// script replaces the daemon, so that the test does not depend on masticdriftd.
Test(FleetHarness, settingsLinksAndEntriesFollowTheDaemons) {
  const std::string Script =
      (std::filesystem::temp_directory_path() / ("fleet-" + std::to_string(getpid()))).string();
  std::ofstream(Script) << "#!/bin/sh\n"
                           "echo '{\"caller_port\":1,\"operator_port\":2,\"peer_port\":'$$'}'\n"
                           "exec sleep 60\n";
  std::filesystem::permissions(Script, std::filesystem::perms::owner_all);
  FleetSpec Spec = roshan();
  Spec.Daemon_ = Script;
  Fleet TestFleet(Spec);
  cr_assert_eq(TestFleet.names().size(), 7);
  cr_assert_eq(TestFleet.namesIn("lahore-a").size(), 3);
  cr_assert(TestFleet.operatorUrl("karachi-a-2") == "http://127.0.0.1:2");

  const Json Settings = TestFleet.settings("karachi-a-2");
  cr_assert_eq(Settings["instance"]["region"], "Sindh");
  cr_assert_eq(Settings["fleet"]["entry_instances"], 7);
  cr_assert_eq(Settings["fleet"]["domains"].size(), 3);
  cr_assert_eq(Settings["routes"].size(), 6);
  // printf %s operator-secret | sha256sum
  cr_assert_eq(Settings["operator"]["key_hashes"][0],
               "ec585b7be286a5088d8687af4ce027f389cd098e2bb0dee876d5521fa4468f59");

  const auto Entry = [&](const std::string &Name) {
    const auto Result = TestFleet.client().sendAndWait(
        {"GET", Settings["platform"]["instances_url"].get<std::string>() + "/instances", "", {}});
    const Json All = Json::parse(Result.Answer_.Body_)["instances"];
    cr_assert_eq(All.size(), 7 + 6 + 6);
    for (const Json &Instance : All)
      if (Instance["name"] == Name)
        return Instance;
    return Json();
  };
  cr_assert_eq(Entry("karachi-a-worker-2")["cores"], 16);
  cr_assert_eq(Entry("karachi-a-executor-2")["pool"], "reorder-desk");
  const Json Before = Entry("karachi-a-2");
  cr_assert_eq(Before["kind"], "entry");
  TestFleet.restart("karachi-a-2");
  cr_assert(Entry("karachi-a-2")["address"] != Before["address"]);

  const std::string Log = Settings["platform"]["log_url"].get<std::string>() + AppendPath;
  TestFleet.cutDomain("karachi-a");
  cr_assert(TestFleet.client().sendAndWait({"POST", Log, "x", {}}).Transfer_ ==
            Transfer::NotConnected);
  TestFleet.clearFaults();
  cr_assert_eq(status(TestFleet.client().sendAndWait({"POST", Log, "x", {}})), 200);
  TestFleet.pause("lahore-a-1");
  TestFleet.kill("lahore-a-1");
  cr_assert_not(TestFleet.process("lahore-a-1").running());
  std::filesystem::remove(Script);
}
