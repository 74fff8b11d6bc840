// standin-trial: plays one case of the review against separate processes of the project: daemons
// and standin-platform. A proxy in this program stands between the daemons and the store.
//
// Usage: standin-trial CASE DAEMON PLATFORM RECORD FOLDER. With TROUBLE=0 the disruption is left
// out. Exits with 0 when the rule held, 1 when it was broken, 2 when the case could not run.
#include "masticdrift/core/Clock.h"
#include "masticdrift/http/Client.h"
#include "masticdrift/http/LoopClient.h"
#include "standins/common/HttpStub.h"
#include "standins/common/Program.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <span>
#include <sstream>
#include <thread>

#include <sys/wait.h>
#include <unistd.h>

using namespace masticdrift;
using namespace masticdrift::standins;
using namespace std::chrono_literals;

namespace {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;
constexpr int DaemonCount = 3;
constexpr const char *FirstKey = "6x73d3zji9n73hh2b9wu";
constexpr const char *SecondKey = "3fexd9dnn2ctnfzs989a";

/// A child process that ends with this one.
class Child {
public:
  Child(std::vector<std::string> Command, const std::string &Settings,
        const std::string &OutputFile) {
    Pid_ = fork();
    if (Pid_ != 0)
      return;
    dieWithParent();
    const int Output = open(OutputFile.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    if (!Settings.empty())
      setenv("MASTICDRIFT_SETTINGS", Settings.c_str(), 1);
    std::vector<char *> Arguments;
    Arguments.reserve(Command.size() + 1);
    for (std::string &Word : Command)
      Arguments.push_back(Word.data());
    Arguments.push_back(nullptr);
    execv(Arguments.front(), Arguments.data());
    _exit(NotRun);
  }
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;
  ~Child() {
    if (Pid_ <= 0)
      return;
    kill(Pid_, SIGKILL);
    waitpid(Pid_, nullptr, 0);
  }

  void signal(int Number) const { kill(Pid_, Number); }

private:
  pid_t Pid_ = -1;
};

/// Stands before the store: forwards calls, and can go down while it carries out a call.
class StoreProxy {
public:
  explicit StoreProxy(std::string Target)
      : Target_(std::move(Target)), Client_(Io_, 30s, 100),
        Stub_(Io_, 0, [this](const http::Request &Incoming, const ReplyCallback &Answer) {
          handle(Incoming, Answer);
        }) {
    Thread_ = std::thread([this] { Io_.run(); });
  }
  StoreProxy(const StoreProxy &) = delete;
  StoreProxy &operator=(const StoreProxy &) = delete;
  ~StoreProxy() {
    Io_.stop();
    Thread_.join();
  }

  std::uint16_t port() const { return Stub_.port(); }

  /// The store goes down while it carries out the append of the record \p Key: the channels of
  /// calls under way are closed without a response, and for \p Time calls get 503.
  void goDownAfter(const std::string &Key, std::chrono::milliseconds Time) {
    asio::post(Io_, [this, Key, Time] {
      LastRecord_ = Key;
      DownTime_ = Time;
    });
  }

  int refusedCalls() const { return RefusedCalls_; }
  bool wentDown() const { return WentDown_; }

private:
  void handle(const http::Request &Incoming, const ReplyCallback &Answer) {
    if (Down_) {
      ++RefusedCalls_;
      return Answer(errorReply(503, "down"));
    }
    const bool IsLast = !LastRecord_.empty() && Incoming.Path_.ends_with("/log-append") &&
                        Incoming.Body_.find(LastRecord_) != std::string::npos;
    http::ClientRequest Request;
    Request.Method_ = Incoming.Method_;
    Request.Url_ = "http://" + Target_ + Incoming.Path_ +
                   (Incoming.Query_.empty() ? "" : "?" + Incoming.Query_);
    Request.Body_ = Incoming.Body_;
    Request.Timeout_ = 40s;
    if (IsLast)
      goDown();
    Client_.send(std::move(Request), [this, Answer](const http::ClientResult &Result) {
      Reply Out;
      Out.Status_ = Result.Answer_.Status_;
      Out.Body_ = Result.Answer_.Body_;
      Out.ContentType_ = Result.Answer_.ContentType_;
      // What was under way when the store went down gets no response.
      if (Down_ || Result.Transfer_ != http::Transfer::Complete)
        Out.Mode_ = ReplyMode::Close;
      Answer(std::move(Out));
    });
  }

  void goDown() {
    LastRecord_.clear();
    Down_ = WentDown_ = true;
    runAfter(Io_, DownTime_, [this] { Down_ = false; });
  }

  const std::string Target_;
  asio::io_context Io_;
  http::LoopClient Client_;
  HttpStub Stub_;
  std::string LastRecord_;
  std::chrono::milliseconds DownTime_{0};
  bool Down_ = false;
  std::atomic<bool> WentDown_{false};
  std::atomic<int> RefusedCalls_{0};
  std::thread Thread_;
};

/// \returns the first of \p Count consecutive ports that are free now.
int freePorts(int Count) {
  constexpr int FirstPort = 10'000;
  constexpr int Range = 20'000;
  for (int Port = FirstPort + getpid() * 64 % Range; Port < FirstPort + 2 * Range; Port += Count) {
    asio::io_context Io;
    bool Free = true;
    for (int I = 0; Free && I < Count; ++I) {
      asio::ip::tcp::acceptor Acceptor(Io);
      std::error_code Error;
      Acceptor.open(asio::ip::tcp::v4());
      Acceptor.set_option(asio::socket_base::reuse_address(true));
      Acceptor.bind({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(Port + I)},
                    Error);
      Free = !Error;
    }
    if (Free)
      return Port;
  }
  throw std::runtime_error("no free ports");
}

std::string loopback(int Port) { return "127.0.0.1:" + std::to_string(Port); }

/// A small deployment.
class Trial {
public:
  Trial(std::string Daemon, const std::string &Platform, const std::string &RecordFile,
        std::string Folder)
      : Daemon_(std::move(Daemon)), Folder_(std::move(Folder)), Record_(RecordFile),
        Start_(std::chrono::steady_clock::now()) {
    const std::string Output = Folder_ + "/platform.log";
    Platform_ = std::make_unique<Child>(
        std::vector<std::string>{Platform, "--executors", "8", "--cores", "8"}, "", Output);
    await(10s, [&] {
      std::ifstream File(Output);
      std::string Line;
      if (!std::getline(File, Line) || File.eof())
        return false;
      PlatformPort_ = Json::parse(Line).at("port").get<int>();
      return true;
    });
    Store_ = std::make_unique<StoreProxy>(loopback(PlatformPort_));
  }

  void setManifest(int Version, const Json &Keys, bool AllowAnonymous) {
    const Json Manifest{{"version", Version},
                        {"routes",
                         {{{"name", "r-cpihhac"},
                           {"host", "nony24.example"},
                           {"path_prefix", "/lohu930/"},
                           {"kind", "unsafe"},
                           {"timeout_ms", 3000},
                           {"target_completion_ms", 400},
                           {"priority", 0},
                           {"service", "pool"},
                           {"max_attempts", 4},
                           {"stretch", 1.5},
                           {"allow_anonymous", AllowAnonymous}}}},
                        {"services", {{{"name", "pool"}, {"admission_check", false}}}},
                        {"tenants",
                         {{{"name", "kaje80"},
                           {"api_keys", Keys},
                           {"weight", 10},
                           {"upper_limit", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}}},
                        {"limits", {{"max_body_bytes", 262'144}}}};
    platformCall("POST", "/control", Json{{"manifest", Manifest}});
    note("manifest " + std::to_string(Version) + " is stored, keys " + Keys.dump());
  }

  void startDaemons() {
    const int Port = freePorts(3 * DaemonCount);
    for (int I = 0; I < DaemonCount; ++I) {
      const std::string Name = "public-lahore-a-" + std::to_string(I + 1);
      const std::string File = Folder_ + "/" + Name + ".json";
      const int Base = Port + 3 * I;
      Ports_.push_back(Base);
      std::ofstream(File) << Json{
          {"node_name", Name},
          {"role", "daemon"},
          {"machine_class", "public"},
          {"serves", {"public"}},
          {"ip", "127.0.0.1"},
          {"zone", "lahore-a"},
          {"region", "punjab"},
          {"zones", {{"lahore-a", "punjab"}}},
          {"bind_addresses", {{"frontend", loopback(Base)}, {"ready", loopback(Base + 1)}}},
          {"internal_ports", {Base + 2, Base + 2}},
          {"limits",
           {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", 260}, {"link_mbps", 1000.0}}},
          {"heartbeat_ms", 1500},
          {"bounds",
           {{"contact_ms", 3000}, {"grace_s", 6}, {"hold_max_ms", 10'000}, {"status_s", 120}}},
          {"orders", "invoke"},
          {"advice", loopback(PlatformPort_)},
          {"platform", {{"address", loopback(Store_->port()) + "/d/" + Name}, {"form", "log"}}}};
      Daemons_.push_back(std::make_unique<Child>(std::vector<std::string>{Daemon_, "--platform"},
                                                 File, Folder_ + "/" + Name + ".log"));
    }
    for (const int Base : Ports_)
      await(20s,
            [&] { return statusOf(send("GET", loopback(Base + 1) + "/ready", "", "")) == 200; });
    note("all daemons are ready");
  }

  /// A call of a requester. \returns the status, 0 without an answer.
  int call(int Daemon, const std::string &Method, const std::string &Id, const std::string &Key,
           const std::string &Body = {}) {
    const http::ClientResult Result =
        send(Method, loopback(Ports_.at(static_cast<std::size_t>(Daemon))) + "/lohu930/" + Id, Body,
             Key);
    const int Status = statusOf(Result);
    note(Method + " " + Id + " at daemon " + std::to_string(Daemon + 1) +
         (Key.empty() ? " without key" : " with key " + Key) + ": " +
         (Status == 0 ? "no answer" : std::to_string(Status) + " " + Result.Answer_.Body_));
    return Status;
  }

  /// \returns how many runs of the job have started, by what the executors have seen.
  int startsOf(const std::string &Id) {
    int Starts = 0;
    const Json Evidence = platformCall("GET", "/evidence", {});
    for (const auto &[Task, Count] : Evidence.at("starts").items())
      if (Task.starts_with(Id))
        Starts += Count.get<int>();
    return Starts;
  }

  void note(const std::string &Text) {
    const auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - Start_);
    Record_ << static_cast<double>(Now.count()) / 1000 << " s  " << Text << std::endl;
  }

  static void await(std::chrono::milliseconds Limit, const std::function<bool()> &Condition) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!Condition()) {
      if (std::chrono::steady_clock::now() >= End)
        throw std::runtime_error("a condition was not met in time");
      std::this_thread::sleep_for(50ms);
    }
  }

  StoreProxy &store() { return *Store_; }

  /// The executor crashes and starts again under its id. Nothing runs on it any more.
  void crashExecutor(const std::string &Id) {
    platformCall("POST", "/control", Json{{"executor", Id}, {"crash", true}});
    note("executor " + Id + " crashes and starts again");
  }

  /// \returns the state of a job; empty without an answer.
  std::string stateOf(const std::string &Id) {
    const http::ClientResult Result =
        send("GET", loopback(Ports_.front()) + "/lohu930/" + Id, "", FirstKey);
    if (statusOf(Result) != 200)
      note("GET " + Id + ": " + std::to_string(statusOf(Result)));
    std::string State =
        statusOf(Result) == 200 ? Json::parse(Result.Answer_.Body_).value("state", "") : "";
    if (State == "failed")
      note("GET " + Id + ": " + Result.Answer_.Body_);
    return State;
  }

private:
  static int statusOf(const http::ClientResult &Result) {
    return Result.Transfer_ == http::Transfer::Complete ? Result.Answer_.Status_ : 0;
  }

  http::ClientResult send(const std::string &Method, const std::string &Url,
                          const std::string &Body, const std::string &Key) {
    http::ClientRequest Request;
    Request.Method_ = Method;
    Request.Url_ = "http://" + Url;
    Request.Body_ = Body;
    Request.Headers_ = {{"Host", "nony24.example"},
                        {"Content-Type", "application/json"},
                        {"X-Masticdrift-Request-Deadline", "3000"}};
    if (!Key.empty())
      Request.Headers_.emplace_back("Authorization", "Token " + Key);
    Request.Timeout_ = 3500ms;
    Request.FreshConnection_ = true;
    return Client_.sendAndWait(std::move(Request));
  }

  Json platformCall(const std::string &Method, const std::string &Path, const Json &Body) {
    const http::ClientResult Result =
        send(Method, loopback(PlatformPort_) + Path, Body.is_null() ? "" : Body.dump(), "");
    return Json::parse(Result.Answer_.Body_);
  }

  std::string Daemon_;
  std::string Folder_;
  std::ofstream Record_;
  std::chrono::steady_clock::time_point Start_;
  http::Client Client_;
  int PlatformPort_ = 0;
  std::unique_ptr<Child> Platform_;
  std::unique_ptr<StoreProxy> Store_;
  std::vector<std::unique_ptr<Child>> Daemons_;
  std::vector<int> Ports_;
};

std::string jobBody(bool LongRunning, int Tasks = 2) {
  Json Step{{"count", Tasks}, {"cpu", 500}, {"mem_mb", 100}, {"estimated_ms", 300}};
  if (LongRunning)
    Step["long_running"] = true;
  return Json{{"spec", LongRunning ? "ms=60000" : "ms=300"}, {"steps", Json::array({Step})}}.dump();
}

/// Jobs whose submission was refused by every attempt must not run.
int playRefused(Trial &Play, bool Trouble) {
  constexpr int Attempts = 4; // as many as the requesters of the sites make at most
  Play.setManifest(1, {FirstKey}, false);
  Play.startDaemons();
  for (int I = 0; I < DaemonCount; ++I) // leaves reused channels behind
    Trial::await(20s, [&] {
      return Play.call(I, "POST", "00000000000000a" + std::to_string(I), FirstKey,
                       jobBody(false)) == 200;
    });
  std::this_thread::sleep_for(2s);
  const std::string Id = "5c0e7a21d94b36f8";
  if (Trouble)
    Play.store().goDownAfter("a" + Id, 5000ms);
  bool AllRefused = true;
  for (int I = 0; I < Attempts; ++I) {
    const int Status = Play.call(I % DaemonCount, "POST", Id, FirstKey, jobBody(false));
    AllRefused = AllRefused && (Status == 503 || Status == 429);
    if (Status == 200)
      break;
    std::this_thread::sleep_for(1s); // Retry-After
  }
  Play.note("the store went down: " + std::string(Play.store().wentDown() ? "yes" : "no") +
            ", calls refused by it: " + std::to_string(Play.store().refusedCalls()));
  if (Trouble && !Play.store().wentDown())
    return NotRun;
  std::this_thread::sleep_for(15s);
  Play.call(0, "GET", Id, FirstKey);
  const int Starts = Play.startsOf(Id);
  Play.note("runs of the job that executors have started: " + std::to_string(Starts));
  if (!Trouble && Starts == 0)
    return NotRun;
  return AllRefused && Starts > 0 ? Broken : Held;
}

/// An accepted job on a route that needs no key must not be answered 410.
int playOpenRoute(Trial &Play, bool Trouble) {
  Play.setManifest(1, {FirstKey, SecondKey}, true);
  Play.startDaemons();
  const std::string Id = "5c0e7a21d94b36f8";
  Trial::await(20s, [&] { return Play.call(0, "POST", Id, FirstKey, jobBody(true)) == 200; });
  std::this_thread::sleep_for(4s); // visible_ms is 3 s
  if (Play.call(0, "GET", Id, FirstKey) != 200 || Play.startsOf(Id) == 0)
    return NotRun;
  if (Trouble)
    Play.setManifest(2, {SecondKey}, true);
  std::this_thread::sleep_for(4s); // config_apply_ms is 2.5 s
  int Gone = 0;
  for (int I = 0; I < 2 * DaemonCount; ++I) {
    Gone += Play.call(I % DaemonCount, "GET", Id, FirstKey) == 410 ? 1 : 0;
    std::this_thread::sleep_for(300ms);
  }
  Play.note("for comparison, with the tenant's other key:");
  Play.call(0, "GET", Id, SecondKey);
  return Gone > 0 ? Broken : Held;
}

/// Jobs whose tasks never end as failed must not be shown as failed while executors crash.
int playCrashes(Trial &Play, bool Trouble) {
  constexpr int ExecutorCount = 8; // one of them is a share of 0.125
  constexpr auto JobInterval = 100ms;
  constexpr int JobsPerCrash = 3;
  constexpr int Jobs = 600;
  constexpr int Tasks = 16;
  Play.setManifest(1, {FirstKey}, false);
  Play.startDaemons();
  std::minstd_rand Random(7);
  std::vector<std::string> Accepted;
  auto NextAt = std::chrono::steady_clock::now();
  int Crashes = 0;
  for (int I = 0; I < Jobs; ++I) {
    std::ostringstream Id;
    Id << std::hex << std::setw(16) << std::setfill('0') << 0xc0de0000 + I;
    if (Play.call(I % DaemonCount, "POST", Id.str(), FirstKey, jobBody(false, Tasks)) == 200)
      Accepted.push_back(Id.str());
    if (Trouble && I % JobsPerCrash == 0) {
      Play.crashExecutor("i-" + std::to_string(Random() % ExecutorCount));
      ++Crashes;
    }
    NextAt += JobInterval;
    std::this_thread::sleep_until(NextAt);
  }
  std::this_thread::sleep_for(15s); // finish_s is 14 s
  int Failed = 0;
  for (const std::string &Id : Accepted)
    Failed += Play.stateOf(Id) == "failed" ? 1 : 0;
  Play.note(std::to_string(Accepted.size()) + " jobs were accepted, " + std::to_string(Crashes) +
            " crashes, jobs shown as failed: " + std::to_string(Failed) +
            "; no executor has listed an end as failed");
  return Failed > 0 ? Broken : Held;
}

} // namespace

int main(int Argc, char **Argv) {
  const std::span<char *> Arguments(Argv, static_cast<std::size_t>(Argc));
  if (Arguments.size() != 6)
    return NotRun;
  const char *TroubleText = std::getenv("TROUBLE");
  const bool Trouble = TroubleText == nullptr || std::string_view(TroubleText) != "0";
  const std::string Case = Arguments[1];
  try {
    Trial Play(Arguments[2], Arguments[3], Arguments[4], Arguments[5]);
    int Result = NotRun;
    if (Case == "refused")
      Result = playRefused(Play, Trouble);
    else if (Case == "crashes")
      Result = playCrashes(Play, Trouble);
    else if (Case == "open-route")
      Result = playOpenRoute(Play, Trouble);
    Play.note(Result == Broken ? "BROKEN" : (Result == Held ? "held" : "could not run"));
    return Result;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << std::endl;
    return NotRun;
  }
}
