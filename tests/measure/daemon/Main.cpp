// Measures running daemons: added latency, CPU time per request, idle cost, durable starts and
// memory per job. Prints one JSON object per line. Nothing is random; times are wall-clock times of
// the machine that runs the program.
#include "Usage.h"
#include "support/Api.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::TimePoint;

namespace {

constexpr int LatencyRequests = 2000;
constexpr int LoadThreads = 48;
constexpr core::Millis LoadTime{5000};
constexpr core::Millis IdleTime{20'000};
constexpr core::Millis SettleTime{10'000};
constexpr int StartedTasks = 1000;
constexpr int WaitingJobs = 5000;

using OrderedJson = nlohmann::ordered_json;

/// Number of executors and workers in each domain, and of tasks.
struct Size {
  int Executors_ = 0;
  int Workers_ = 0;
  int Tasks_ = 0; ///< long-running ones, in domain lahore-a
};

/// Raises the team limits so that they do not restrict the measurement.
Json largeLimits(Json Configuration) {
  for (Json &Team : Configuration["teams"])
    Team["limit"] = {
        {"slots", 100'000}, {"cores", 100'000}, {"memory_mb", 100'000'000}, {"accelerators", 0}};
  return Configuration;
}

void print(const OrderedJson &Line) { std::cout << Line.dump() << std::endl; }

double percentile(std::vector<double> &Values, double Quantile) {
  std::ranges::sort(Values);
  return Values.empty()
             ? 0
             : Values[static_cast<std::size_t>(Quantile * static_cast<double>(Values.size() - 1))];
}

struct Target {
  std::string Url_;
  http::Headers Headers_;
};

/// Sends requests one after another.
/// \returns the times of the successful ones in milliseconds.
std::vector<double> measureTimes(http::Client &Client, const Target &Destination) {
  std::vector<double> Times;
  for (int I = 0; I < LatencyRequests; ++I) {
    http::ClientRequest Request{"POST", Destination.Url_, "check " + std::to_string(I),
                                Destination.Headers_};
    const TimePoint Start = core::Clock::now();
    const http::ClientResult Answer = Client.sendAndWait(std::move(Request));
    if (Answer.Answer_.Status_ == 200)
      Times.push_back(
          std::chrono::duration<double, std::milli>(core::Clock::now() - Start).count());
  }
  return Times;
}

std::string ownerOf(Fleet &TestFleet, const std::string &Domain) {
  for (const std::string &Name : TestFleet.namesIn(Domain))
    if (Api(TestFleet, Name).status().value("is_owner", false))
      return Name;
  return {};
}

std::string daemonOtherThan(Fleet &TestFleet, const std::string &Domain, const std::string &Owner) {
  for (const std::string &Name : TestFleet.namesIn(Domain))
    if (Name != Owner)
      return Name;
  return Owner;
}

void measureLatency(Fleet &TestFleet) {
  const std::string Owner = ownerOf(TestFleet, "lahore-a");
  const std::string Other = daemonOtherThan(TestFleet, "lahore-a", Owner);
  const int Port = TestFleet.ready(Standin::Executor).at("executors").at("lahore-a-executor-1");
  const std::string Path = "/v1/queues/status/requests";
  http::Client Client;
  const std::vector<std::pair<std::string, Target>> Paths{
      {"direct", {"http://127.0.0.1:" + std::to_string(Port) + "/run", {}}},
      {"owner_idempotent",
       {TestFleet.callerUrl(Owner) + Path, {{"Masticdrift-Idempotent", "true"}}}},
      {"owner_non_idempotent", {TestFleet.callerUrl(Owner) + Path, {}}},
      {"one_hop_idempotent",
       {TestFleet.callerUrl(Other) + Path, {{"Masticdrift-Idempotent", "true"}}}}};
  for (const auto &[Name, Destination] : Paths) {
    std::vector<double> Times = measureTimes(Client, Destination);
    print({{"measure", "latency"},
           {"way", Name},
           {"answered", Times.size()},
           {"p50_ms", percentile(Times, 0.5)},
           {"p99_ms", percentile(Times, 0.99)}});
  }
}

void measureThroughput(Fleet &TestFleet) {
  const std::string Owner = ownerOf(TestFleet, "lahore-a");
  const pid_t Pid = TestFleet.process(Owner).pid();
  const measure::Usage Before = measure::usageOf(Pid);
  std::atomic<std::int64_t> Answered{0};
  const TimePoint End = core::Clock::now() + LoadTime;
  std::vector<std::thread> Threads;
  Threads.reserve(LoadThreads);
  for (int I = 0; I < LoadThreads; ++I)
    Threads.emplace_back([&] {
      http::Client Client;
      while (core::Clock::now() < End) {
        const auto Answer =
            Client.sendAndWait({"POST",
                                TestFleet.callerUrl(Owner) + "/v1/queues/status/requests",
                                "check",
                                {{"Masticdrift-Idempotent", "true"}}});
        if (Answer.Answer_.Status_ == 200)
          ++Answered;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  const double Cpu = measure::usageOf(Pid).CpuSeconds_ - Before.CpuSeconds_;
  const double Seconds = std::chrono::duration<double>(LoadTime).count();
  print({{"measure", "throughput"},
         {"callers", LoadThreads},
         {"requests_per_s", static_cast<double>(Answered) / Seconds},
         {"requests_per_cpu_s", static_cast<double>(Answered) / Cpu},
         {"daemon_cpu_cores", Cpu / Seconds}});
}

std::string metricsOf(Fleet &TestFleet, const std::string &Name) {
  return call("GET", TestFleet.operatorUrl(Name) + "/metrics").Body_;
}

/// Sleeps for \p IdleDuration while the daemons are idle; the measurement covers this time.
void idleFor(core::Duration IdleDuration) { std::this_thread::sleep_for(IdleDuration); }

void startTasks(Fleet &TestFleet, const std::string &Key, int Tasks) {
  Api DaemonApi(TestFleet, ownerOf(TestFleet, "lahore-a"));
  const Reply Accepted = DaemonApi.submitJob("print",
                                             {{"kind", "batch"},
                                              {"tasks", Tasks},
                                              {"run_ms", 3'600'000},
                                              {"cores", 0.5},
                                              {"memory_mb", 64},
                                              {"request_id", "long"},
                                              {"domain", "lahore-a"}},
                                             Key);
  const std::string Id = Accepted.json().value("id", "");
  const TimePoint Start = core::Clock::now();
  const bool AllRunning = waitFor(core::Millis(120'000), [&] {
    const Json Status = DaemonApi.job(Id, Key).json();
    return Status.is_object() && Status.contains("task_counts") &&
           Status.at("task_counts").value("running", 0) == Tasks;
  });
  print({{"measure", "start_long_tasks"},
         {"tasks", Tasks},
         {"all_running", AllRunning},
         {"seconds", std::chrono::duration<double>(core::Clock::now() - Start).count()}});
}

void measureIdle(Fleet &TestFleet, const Size &FleetSize) {
  struct Sample {
    measure::Usage Usage_;
    double Peer_ = 0, Control_ = 0, Appends_ = 0;
  };
  const auto Read = [&](const std::string &Name) {
    const std::string Text = metricsOf(TestFleet, Name);
    return Sample{measure::usageOf(TestFleet.process(Name).pid()),
                  measure::metricSum(Text, "masticdrift_peer_bytes_total"),
                  measure::metricSum(Text, "masticdrift_control_bytes_total"),
                  measure::metricSum(Text, "masticdrift_appends_total")};
  };
  std::map<std::string, Sample> Before;
  for (const std::string &Name : TestFleet.names())
    Before[Name] = Read(Name);
  idleFor(IdleTime);
  const double Seconds = std::chrono::duration<double>(IdleTime).count();
  for (const std::string &Name : TestFleet.names()) {
    const Sample After = Read(Name);
    const Sample &StartSample = Before[Name];
    print({{"measure", "rest"},
           {"executors", FleetSize.Executors_},
           {"workers", FleetSize.Workers_},
           {"tasks", Name.starts_with("lahore-a") ? FleetSize.Tasks_ : 0},
           {"daemon", Name},
           {"owner", Api(TestFleet, Name).status().value("is_owner", false)},
           {"cpu_percent_of_core",
            100 * (After.Usage_.CpuSeconds_ - StartSample.Usage_.CpuSeconds_) / Seconds},
           {"resident_mb", After.Usage_.ResidentMb_},
           {"peer_bytes_per_s", (After.Peer_ - StartSample.Peer_) / Seconds},
           {"platform_bytes_per_s", (After.Control_ - StartSample.Control_) / Seconds},
           {"appends_per_s", (After.Appends_ - StartSample.Appends_) / Seconds}});
  }
}

double appendsAt(Fleet &TestFleet) {
  double Sum = 0;
  const Json Evidence = TestFleet.evidence(Standin::Log);
  for (const auto &[Name, Stream] : Evidence.at("streams").items())
    Sum += Stream.value("appends", 0.0);
  return Sum;
}

void measureStarts(Fleet &TestFleet, const std::string &Key) {
  const std::string Owner = ownerOf(TestFleet, "lahore-a");
  const pid_t Pid = TestFleet.process(Owner).pid();
  const measure::Usage Before = measure::usageOf(Pid);
  const double AppendsBefore = appendsAt(TestFleet);
  const TimePoint Start = core::Clock::now();
  Api DaemonApi(TestFleet, Owner);
  const Reply Accepted = DaemonApi.submitJob("print",
                                             {{"kind", "batch"},
                                              {"tasks", StartedTasks},
                                              {"run_ms", 50},
                                              {"cores", 0.5},
                                              {"memory_mb", 64},
                                              {"request_id", "starts"},
                                              {"domain", "lahore-a"}},
                                             Key);
  const std::string Id = Accepted.json().value("id", "");
  const bool Done = waitFor(core::Millis(60'000), [&] {
    return DaemonApi.job(Id, Key).json().value("state", "") == "succeeded";
  });
  const double Seconds = std::chrono::duration<double>(core::Clock::now() - Start).count();
  const double Cpu = measure::usageOf(Pid).CpuSeconds_ - Before.CpuSeconds_;
  print({{"measure", "starts"},
         {"tasks", StartedTasks},
         {"all_succeeded", Done},
         {"tasks_per_s", StartedTasks / Seconds},
         {"cpu_ms_per_task", 1000 * Cpu / StartedTasks},
         {"appends_per_task", (appendsAt(TestFleet) - AppendsBefore) / StartedTasks}});
}

void measureMemory(Fleet &TestFleet, const std::string &Key) {
  const std::string Owner = ownerOf(TestFleet, "lahore-a");
  const pid_t Pid = TestFleet.process(Owner).pid();
  const measure::Usage Before = measure::usageOf(Pid);
  std::atomic<int> Next{0};
  std::atomic<int> Accepted{0};
  const TimePoint Start = core::Clock::now();
  std::vector<std::thread> Threads;
  Threads.reserve(LoadThreads);
  for (int I = 0; I < 16; ++I)
    Threads.emplace_back([&] {
      for (int Number = Next++; Number < WaitingJobs; Number = Next++) {
        const Json Job{{"kind", "batch"},
                       {"cores", 15},
                       {"memory_mb", 1000},
                       {"run_ms", 3'600'000},
                       {"request_id", "m" + std::to_string(Number)},
                       {"domain", "lahore-a"}};
        if (Api(TestFleet, Owner).submitJob("print", Job, Key).Status_ == 202)
          ++Accepted;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  const double Seconds = std::chrono::duration<double>(core::Clock::now() - Start).count();
  const double GrowthMb = measure::usageOf(Pid).ResidentMb_ - Before.ResidentMb_;
  print({{"measure", "waiting_jobs"},
         {"accepted", Accepted.load()},
         {"accepts_per_s", Accepted / Seconds},
         {"owner_kb_per_job", 1024 * GrowthMb / std::max(1, Accepted.load())}});
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Argument = [&](int Position, int Default) {
    return Argc > Position ? std::atoi(Argv[Position]) : Default;
  };
  const Size FleetSize{Argument(1, 4), Argument(2, 4), Argument(3, 0)};
  Fleet TestFleet(roshan(FleetSize.Executors_, FleetSize.Workers_));
  if (!bringUp(TestFleet, largeLimits(defaultConfiguration()))) {
    std::cerr << "the fleet did not come up\n";
    return 1;
  }
  const std::string Key = Api(TestFleet, ownerOf(TestFleet, "lahore-a")).createKey("mfi");
  if (FleetSize.Tasks_ > 0) {
    startTasks(TestFleet, Key, FleetSize.Tasks_);
    idleFor(SettleTime); // excludes the start commands from the idle cost
  }
  measureIdle(TestFleet, FleetSize);
  if (Argc > 1)
    return 0;
  measureLatency(TestFleet);
  measureThroughput(TestFleet);
  measureStarts(TestFleet, Key);
  measureMemory(TestFleet, Key);
  return 0;
}
