// standin-trial: plays one case of the review against daemons in processes of their own. This
// program is their platform and their requester.
//
// Usage: standin-trial CASE DAEMON RECORD FOLDER. With TROUBLE=0 the disruption is left
// out. Exits with 0 when the rule held, 1 when it was broken, 2 when the case could not run.
#include "masticdrift/http/Client.h"
#include "standins/common/HttpStub.h"
#include "standins/common/TaskExecutors.h"
#include "standins/common/TopicLog.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
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
constexpr int ExecutorCount = 8; ///< one of them is a share of 0.125
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

/// The users' platform: store, executors and advice on one address, as in standin-platform. The
/// store can go down while it carries out a call, and a start order can arrive late.
class Platform {
public:
  explicit Platform(int ExecutorCount)
      : Log_(Io_), Executors_(Io_, ExecutorCount, 8),
        Stub_(Io_, 0, [this](const http::Request &Incoming, const ReplyCallback &Answer) {
          handle(Incoming, Answer);
        }) {
    announce();
    Thread_ = std::thread([this] { Io_.run(); });
  }
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;
  ~Platform() {
    Io_.stop();
    Thread_.join();
  }

  std::uint16_t port() const { return Stub_.port(); }

  /// Runs \p Action in the platform's own thread and waits for its result.
  template <typename Function> auto run(Function Action) {
    return asio::post(Io_, asio::use_future(std::move(Action))).get();
  }

  void setManifest(const Json &Manifest) {
    run([&] { Log_.put("keyed.op", "config", Manifest.dump()); });
  }

  /// The store goes down while it carries out the append of the record \p Key: the channels of
  /// calls under way are closed without a response, and for \p Time calls get 503.
  void goDownAfter(const std::string &Key, std::chrono::milliseconds Time) {
    run([&] {
      LastRecord_ = Key;
      DownTime_ = Time;
    });
  }

  /// The first start order of the task gets no answer and is kept until deliverLateStart().
  void delayStartOf(const std::string &Task) {
    run([&] { DelayedTask_ = Task; });
  }

  /// \returns the executor that the delayed order is for; empty while there is none.
  std::string delayedFor() {
    return run([&] { return DelayedFor_; });
  }

  void deliverLateStart() {
    run([&] {
      if (DelayedOrder_)
        Executors_.handle(*DelayedOrder_, [this](const Reply &Answer) {
          LateAnswer_ = std::to_string(Answer.Status_) + " " + Answer.Body_;
        });
    });
  }

  std::string lateAnswer() {
    return run([&] { return LateAnswer_; });
  }

  /// The executor crashes, which sends nothing, and starts again under its id. Nothing runs on it
  /// any more.
  /// \param Heartbeat time until it first writes to the store.
  void crash(const std::string &Id, std::chrono::milliseconds Heartbeat) {
    run([&] {
      const Json Running = Executors_.evidence().at("running");
      for (const Json &Task : Running)
        if (StartedOn_[Task.get<std::string>()] == Id)
          ++CrashesUnder_[Task.get<std::string>()];
      Executors_.control({{"executor", Id}, {"crash", true}});
      runAfter(Io_, Heartbeat, [this] { announce(); });
    });
  }

  /// \returns the most executors that have crashed under one task of the job.
  int crashesUnder(const std::string &JobId) {
    return run([&] {
      int Most = 0;
      for (const auto &[Task, Count] : CrashesUnder_)
        if (Task.starts_with(JobId))
          Most = std::max(Most, Count);
      return Most;
    });
  }

  Json evidence() {
    return run([&] { return Executors_.evidence(); });
  }

  int refusedCalls() {
    return run([&] { return RefusedCalls_; });
  }

private:
  void announce() {
    for (const auto &[Id, Entry] : Executors_.entries("127.0.0.1:" + std::to_string(Stub_.port())))
      Log_.put("keyed.servers", Id, Entry.dump());
  }

  void handle(const http::Request &Incoming, const ReplyCallback &Answer) {
    if (Incoming.Path_.find("/log-") != std::string::npos)
      handleStoreCall(Incoming, Answer);
    else if (Incoming.Path_.ends_with("/run-start"))
      handleStart(Incoming, Answer);
    else if (!Executors_.handle(Incoming, Answer))
      Answer(errorReply(404, "unknown path"));
  }

  void handleStoreCall(const http::Request &Incoming, const ReplyCallback &Answer) {
    if (Down_) {
      ++RefusedCalls_;
      return Answer(errorReply(503, "down"));
    }
    if (!LastRecord_.empty() && Incoming.Path_.ends_with("/log-append") &&
        Incoming.Body_.find(LastRecord_) != std::string::npos) {
      LastRecord_.clear();
      Down_ = true;
      runAfter(Io_, DownTime_, [this] { Down_ = false; });
    }
    Log_.handle(Incoming, [this, Answer](Reply Out) {
      // What was under way when the store went down gets no response.
      if (Down_)
        Out.Mode_ = ReplyMode::Close;
      Answer(std::move(Out));
    });
  }

  void handleStart(const http::Request &Incoming, const ReplyCallback &Answer) {
    const Json Order = Json::parse(Incoming.Body_, nullptr, false);
    const std::string Task = Order.is_object() ? Order.value("task", "") : "";
    const std::vector<std::string> Parts = http::pathSegments(Incoming.Path_);
    const std::string Executor = Parts.size() == 3 ? Parts[1] : "";
    if (!DelayedTask_.empty() && Task == DelayedTask_) {
      DelayedTask_.clear();
      DelayedOrder_ = Incoming;
      DelayedFor_ = Executor;
      Reply Out;
      Out.Mode_ = ReplyMode::Hang;
      return Answer(std::move(Out));
    }
    Executors_.handle(Incoming, [this, Answer, Task, Executor](const Reply &Out) {
      if (Out.Status_ == 200)
        StartedOn_[Task] = Executor;
      Answer(Out);
    });
  }

  asio::io_context Io_;
  TopicLog Log_;
  TaskExecutors Executors_;
  HttpStub Stub_;
  std::string LastRecord_;
  std::chrono::milliseconds DownTime_{0};
  bool Down_ = false;
  int RefusedCalls_ = 0;
  std::string DelayedTask_;
  std::string DelayedFor_;
  std::optional<http::Request> DelayedOrder_;
  std::string LateAnswer_;
  std::map<std::string, std::string> StartedOn_;
  std::map<std::string, int> CrashesUnder_;
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
  Trial(std::string Daemon, const std::string &RecordFile, std::string Folder)
      : Daemon_(std::move(Daemon)), Folder_(std::move(Folder)), Record_(RecordFile),
        Start_(std::chrono::steady_clock::now()), Platform_(ExecutorCount) {}

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
    Platform_.setManifest(Manifest);
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
          {"advice", loopback(Platform_.port())},
          {"platform", {{"address", loopback(Platform_.port()) + "/d/" + Name}, {"form", "log"}}}};
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
    const Json Evidence = Platform_.evidence();
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

  Platform &platform() { return Platform_; }

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

  std::string Daemon_;
  std::string Folder_;
  std::ofstream Record_;
  std::chrono::steady_clock::time_point Start_;
  http::Client Client_;
  Platform Platform_;
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
    Play.platform().goDownAfter("a" + Id, 5000ms);
  bool AllRefused = true;
  for (int I = 0; I < Attempts; ++I) {
    const int Status = Play.call(I % DaemonCount, "POST", Id, FirstKey, jobBody(false));
    AllRefused = AllRefused && (Status == 503 || Status == 429);
    if (Status == 200)
      break;
    std::this_thread::sleep_for(1s); // Retry-After
  }
  const int RefusedCalls = Play.platform().refusedCalls();
  Play.note("calls that the store has refused: " + std::to_string(RefusedCalls));
  if (Trouble && RefusedCalls == 0)
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
      const std::string Executor = "i-" + std::to_string(Random() % ExecutorCount);
      Play.platform().crash(Executor, 0ms);
      Play.note("executor " + Executor + " crashes and starts again");
      ++Crashes;
    }
    NextAt += JobInterval;
    std::this_thread::sleep_until(NextAt);
  }
  std::this_thread::sleep_for(15s); // finish_s is 14 s
  int Failed = 0;
  int FewCrashes = 0;
  for (const std::string &Id : Accepted) {
    if (Play.stateOf(Id) != "failed")
      continue;
    ++Failed;
    const int Under = Play.platform().crashesUnder(Id);
    FewCrashes += Under < 2 ? 1 : 0;
    Play.note("executors that have crashed under one of its tasks: " + std::to_string(Under) +
              " at most");
  }
  Play.note(std::to_string(Accepted.size()) + " jobs were accepted, " + std::to_string(Crashes) +
            " crashes, jobs shown as failed: " + std::to_string(Failed) +
            " (with less than two crashes under each task: " + std::to_string(FewCrashes) +
            "); no executor has listed an end as failed");
  return Failed > 0 ? Broken : Held;
}

/// A task whose end was acknowledged must not be started again.
int playLateStart(Trial &Play, bool Trouble) {
  Play.setManifest(1, {FirstKey}, false);
  Play.startDaemons();
  const std::string Id = "5c0e7a21d94b36f8";
  const std::string Task = Id + ".0.0.0";
  Play.platform().delayStartOf(Task);
  Trial::await(20s, [&] { return Play.call(0, "POST", Id, FirstKey, jobBody(false, 1)) == 200; });
  Trial::await(10s, [&] { return Play.stateOf(Id) == "completed"; });
  const std::string Executor = Play.platform().delayedFor();
  Play.note(
      "the job is completed; a start order of its task for " + Executor +
      " had no answer and is still on its way; started runs: " + std::to_string(Play.startsOf(Id)));
  std::this_thread::sleep_for(2s);
  if (Trouble) {
    Play.platform().crash(Executor, 1000ms); // heartbeat_ms is 1,500
    Play.note("executor " + Executor + " crashes and starts again");
  }
  std::this_thread::sleep_for(200ms);
  Play.platform().deliverLateStart();
  Play.note("the late start order arrives at " + Executor + ": " + Play.platform().lateAnswer());
  std::this_thread::sleep_for(4s);
  const int Starts = Play.startsOf(Id);
  const Json Doubled = Play.platform().evidence().at("doubled");
  Play.note("started runs: " + std::to_string(Starts) +
            ", tasks started after an acknowledged end or beside another run: " + Doubled.dump());
  return Doubled.empty() ? Held : Broken;
}

} // namespace

int main(int Argc, char **Argv) {
  const std::span<char *> Arguments(Argv, static_cast<std::size_t>(Argc));
  if (Arguments.size() != 5)
    return NotRun;
  const char *TroubleText = std::getenv("TROUBLE");
  const bool Trouble = TroubleText == nullptr || std::string_view(TroubleText) != "0";
  const std::string Case = Arguments[1];
  try {
    Trial Play(Arguments[2], Arguments[3], Arguments[4]);
    int Result = NotRun;
    if (Case == "refused")
      Result = playRefused(Play, Trouble);
    else if (Case == "late-start")
      Result = playLateStart(Play, Trouble);
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
