#include "masticdrift/http/Server.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <vector>

#include <sys/wait.h>

#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

/// Exit code and output of one run of masticdriftctl.
struct Run {
  int ExitCode_ = -1;
  std::string Output_; ///< standard output and standard error
};

Run run(const std::string &Arguments) {
  const std::string Command =
      std::string(MASTICDRIFT_BIN_DIR "masticdriftctl ") + Arguments + " 2>&1 </dev/null";
  Run Result;
  std::FILE *Pipe = popen(Command.c_str(), "r");
  cr_assert_not_null(Pipe);
  std::array<char, 4096> Buffer{};
  for (std::size_t Size = 0; (Size = std::fread(Buffer.data(), 1, Buffer.size(), Pipe)) > 0;)
    Result.Output_.append(Buffer.data(), Size);
  const int Status = pclose(Pipe);
  Result.ExitCode_ = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  cr_log_info("%s", Result.Output_.c_str());
  return Result;
}

bool outputContains(const Run &Result, std::string_view Text) {
  return Result.Output_.find(Text) != std::string::npos;
}

const std::string ExampleConfiguration =
    MASTICDRIFT_SOURCE_DIR "/examples/roshan/configuration.json";

/// HTTP server that answers with a function of the test and records the requests.
class Stub {
public:
  explicit Stub(std::function<http::Response(const http::Request &)> Answer)
      : Server_({}, [this, Answer](http::Request Incoming, http::Responder Respond) {
          http::Response Reply = Answer(Incoming);
          const std::lock_guard Lock(Mutex_);
          Seen_.push_back(std::move(Incoming));
          Respond(std::move(Reply));
        }) {}

  std::string option() const {
    return " --server http://127.0.0.1:" + std::to_string(Server_.port());
  }
  std::vector<http::Request> seen() {
    const std::lock_guard Lock(Mutex_);
    return Seen_;
  }

private:
  std::mutex Mutex_;
  std::vector<http::Request> Seen_;
  http::Server Server_;
};

} // namespace

// Guards against wrong exit codes, which scripts depend on; the tests check each row of the table.
Test(CtlOffline, checkAndDiff) {
  cr_assert_eq(run("config check " + ExampleConfiguration).ExitCode_, 0);
  cr_assert_eq(run("config check /nonexistent").ExitCode_, 2);
  cr_assert_eq(run("config chekc").ExitCode_, 2);
  const Run Wrong =
      run("config check " MASTICDRIFT_SOURCE_DIR "/examples/roshan/settings-lahore-a-1.json");
  cr_assert_eq(Wrong.ExitCode_, 1);
  cr_assert(outputContains(Wrong, "/instance: unknown key"));
  const Run Json = run("config check --json " MASTICDRIFT_SOURCE_DIR
                       "/examples/roshan/settings-lahore-a-1.json");
  cr_assert_eq(Json.ExitCode_, 1);
  cr_assert(outputContains(Json, R"("correct":false)"));
  const Run Diff = run("config diff " + ExampleConfiguration +
                       " " MASTICDRIFT_SOURCE_DIR "/examples/samvarp/configuration.json");
  cr_assert_eq(Diff.ExitCode_, 0);
  cr_assert(outputContains(Diff, "~ fleet: roshan -> samvarp"));
  cr_assert(
      outputContains(run("config diff --json " + ExampleConfiguration + " " + ExampleConfiguration),
                     R"("changes":[])"));
}

Test(CtlOffline, helpListsTheExitCodes) {
  const Run Help = run("--help");
  cr_assert_eq(Help.ExitCode_, 0);
  cr_assert(outputContains(Help, "outcome unknown"));
}

Test(CtlOffline, completionOffersCommandsAndOptions) {
  const Run Script = run("completion");
  cr_assert_eq(Script.ExitCode_, 0);
  cr_assert(outputContains(Script, "'config') words='"));
  cr_assert(outputContains(Script, "--base-version"));
}

Test(CtlExitCodes, noConnection) {
  cr_assert_eq(run("status --server http://127.0.0.1:1").ExitCode_, 3);
  cr_assert_eq(run("key revoke k1 --server http://127.0.0.1:1").ExitCode_, 3);
}

Test(CtlExitCodes, conflictRefusalAndUnknown) {
  Stub Conflict([](const http::Request &) {
    return http::Response{409, R"({"id":"MD-601","message":"version 8 by amina","ran":"not_run"})"};
  });
  const std::string Submit =
      "config submit " + ExampleConfiguration + " --base-version 7 --author bilal";
  const Run ConflictRun = run(Submit + Conflict.option());
  cr_assert_eq(ConflictRun.ExitCode_, 4);
  cr_assert(outputContains(ConflictRun, "version 8 by amina"));
  Stub Refused([](const http::Request &) {
    return http::Response{401, R"({"id":"MD-202","message":"key is not known","ran":"not_run"})"};
  });
  const Run RefusedRun = run("key list" + Refused.option());
  cr_assert_eq(RefusedRun.ExitCode_, 1);
  cr_assert(outputContains(RefusedRun, "MD-202: key is not known (not run)"));
  Stub Unknown([](const http::Request &) {
    return http::Response{504, R"({"id":"MD-502","message":"no answer","ran":"may_have_run"})"};
  });
  const Run UnknownRun = run(Submit + Unknown.option());
  cr_assert_eq(UnknownRun.ExitCode_, 5);
  cr_assert(outputContains(UnknownRun, "repeat with --submission-id "));
}

Test(CtlConfig, submitSendsItsHeadersAndWaitsUntilInForce) {
  std::atomic<int> Asked = 0;
  Stub Daemon([&](const http::Request &Incoming) {
    if (Incoming.Path_ == "/v1/inforce")
      return http::Response{200, ++Asked < 3 ? R"({"version":8,"all":false,"instances":[]})"
                                             : R"({"version":8,"all":true,"instances":[]})"};
    return http::Response{200, R"({"version":8})"};
  });
  const Run Done =
      run("config submit " + ExampleConfiguration + " --base-version 7 --author bilal --wait" +
          Daemon.option() + " --operator-key secret");
  cr_assert_eq(Done.ExitCode_, 0);
  cr_assert(outputContains(Done, "version 8"));
  cr_assert(!outputContains(Done, "secret"));
  const auto Seen = Daemon.seen();
  cr_assert_eq(Seen.size(), 4);
  cr_assert(Seen[0].Method_ == "POST" && Seen[0].Path_ == "/v1/config");
  cr_assert(http::findHeader(Seen[0].Headers_, "Masticdrift-Base-Version") == "7");
  cr_assert(http::findHeader(Seen[0].Headers_, "Masticdrift-Author") == "bilal");
  cr_assert(http::findHeader(Seen[0].Headers_, "Authorization") == "Bearer secret");
  cr_assert(!http::findHeader(Seen[0].Headers_, "Masticdrift-Request-Id").empty());
  cr_assert(Seen[1].Query_ == "version=8");
}

Test(CtlConfig, aVersionThatDoesNotComeIntoForceIsReported) {
  Stub Daemon([&](const http::Request &Incoming) {
    if (Incoming.Path_ == "/v1/inforce")
      return http::Response{
          200, R"({"version":8,"all":false,"instances":[{"name":"lahore-a-2","in_force":false}]})"};
    return http::Response{200, R"({"version":8})"};
  });
  const Run Late = run("config submit " + ExampleConfiguration +
                       " --base-version 7 --wait --wait-ms 300" + Daemon.option());
  cr_assert_eq(Late.ExitCode_, 1);
  cr_assert(outputContains(Late, "missing: lahore-a-2"));
}

// Guards against sending an invalid text to the daemon, which would cost an append to the log.
Test(CtlConfig, aWrongTextIsNotSent) {
  Stub Daemon([](const http::Request &) { return http::Response{200, R"({"version":8})"}; });
  cr_assert_eq(run("config submit " MASTICDRIFT_SOURCE_DIR
                   "/examples/roshan/settings-lahore-a-1.json --base-version 7" +
                   Daemon.option())
                   .ExitCode_,
               1);
  cr_assert(Daemon.seen().empty());
}

Test(CtlConfig, showPrintsTheText) {
  Stub Daemon([](const http::Request &) {
    return http::Response{200, R"({"version":8,"text":"{\n  \"fleet\": \"roshan\"\n}"})"};
  });
  cr_assert(outputContains(run("config show" + Daemon.option()), "  \"fleet\": \"roshan\"\n"));
  cr_assert(outputContains(run("config show --json" + Daemon.option()), R"({"version":8,)"));
}

// Guards against an environment variable that overrides an option of the same command, as CLI11's
// own environment handling did.
Test(CtlKeys, keysComeFromTheEnvironmentOrAFile) {
  Stub Daemon([](const http::Request &) {
    return http::Response{200, R"([{"key_id":"k1","team":"punjab-rural"}])"};
  });
  setenv("MASTICDRIFT_OPERATOR_KEY", "from-environment", 1);
  const Run List = run("key list" + Daemon.option());
  cr_assert_eq(List.ExitCode_, 0);
  cr_assert(outputContains(List, "key_id  team\nk1      punjab-rural\n"));
  const std::string File = std::string(MASTICDRIFT_BIN_DIR "ctl-test-key");
  std::ofstream(File) << "from-file\n";
  cr_assert_eq(
      run("key revoke k1 --author amina --operator-key @" + File + Daemon.option()).ExitCode_, 0);
  std::remove(File.c_str());
  const auto Seen = Daemon.seen();
  cr_assert(http::findHeader(Seen[0].Headers_, "Authorization") == "Bearer from-environment");
  cr_assert(http::findHeader(Seen[1].Headers_, "Authorization") == "Bearer from-file");
  cr_assert(Seen[1].Method_ == "DELETE" && Seen[1].Path_ == "/v1/keys/k1");
}

Test(CtlCaller, jobsAndRequestsUseTheirPaths) {
  Stub Daemon([](const http::Request &) { return http::Response{200, R"({"state":"accepted"})"}; });
  const std::string File = std::string(MASTICDRIFT_BIN_DIR "ctl-test-job.json");
  std::ofstream(File) << R"({"kind":"batch","tasks":1})";
  const std::string ServerOptions = Daemon.option() + " --key secret";
  cr_assert_eq(run("job submit print " + File + " --request-id r1" + ServerOptions).ExitCode_, 0);
  cr_assert_eq(run("job status lahore-a/punjab-rural/r1 --json" + ServerOptions).ExitCode_, 0);
  cr_assert_eq(run("job cancel lahore-a/punjab-rural/r1" + ServerOptions).ExitCode_, 0);
  cr_assert_eq(run("job status lahore-a/r1" + ServerOptions).ExitCode_, 2);
  cr_assert_eq(run("job list" + ServerOptions).ExitCode_, 0);
  cr_assert_eq(
      run("request reorder-check " + File + " --deadline-ms 700" + ServerOptions).ExitCode_, 0);
  std::remove(File.c_str());
  const auto Seen = Daemon.seen();
  cr_assert_eq(Seen.size(), 5);
  cr_assert(Seen[0].Path_ == "/v1/queues/print/jobs");
  cr_assert(Seen[0].Body_ == R"({"kind":"batch","tasks":1,"request_id":"r1"})");
  cr_assert(Seen[1].Method_ == "GET" && Seen[1].Path_ == "/v1/jobs/lahore-a/punjab-rural/r1");
  cr_assert(Seen[2].Method_ == "DELETE" && Seen[2].Path_ == "/v1/jobs/lahore-a/punjab-rural/r1");
  cr_assert(Seen[3].Path_ == "/v1/jobs");
  cr_assert(Seen[4].Path_ == "/v1/queues/reorder-check/requests");
  cr_assert(http::findHeader(Seen[4].Headers_, "Masticdrift-Deadline-Ms") == "700");
  cr_assert(http::findHeader(Seen[4].Headers_, "Masticdrift-Idempotent") == "false");
}

Test(CtlOperator, auditPassesItsFilters) {
  Stub Daemon([](const http::Request &) { return http::Response{200, "[]"}; });
  cr_assert_eq(run("audit --since 5 --by amina --object 'version 8'" + Daemon.option()).ExitCode_,
               0);
  cr_assert(Daemon.seen()[0].Query_ == "since=5&author=amina&object=version%208");
  cr_assert_eq(run("drain" + Daemon.option()).ExitCode_, 0);
  cr_assert(Daemon.seen()[1].Method_ == "POST" && Daemon.seen()[1].Path_ == "/v1/drain");
}

// Guards against keys in usage errors, which end up in terminal and CI logs.
Test(CtlKeys, aKeyIsNotRepeatedInUsageErrors) {
  for (const char *Key : {"--operator-key topsecret", "--operator-key=topsecret"}) {
    const Run Wrong = run("config check " + ExampleConfiguration + " " + Key);
    cr_assert_eq(Wrong.ExitCode_, 2);
    cr_assert(!outputContains(Wrong, "topsecret"));
  }
}
