// standin-worker: simulates several workers in one process, on one port under /w/NAME.
#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Resources.h"
#include "standins/common/Program.h"

#include <cmath>
#include <map>
#include <random>

#include <CLI/CLI.hpp>

using namespace masticdrift;
using namespace masticdrift::standins;
using core::Resources;
using core::TimePoint;

namespace {

constexpr TimePoint Never = TimePoint::max();

/// One task attempt, kept from its start until the owner acknowledges its end.
struct Task {
  std::int64_t Attempt_ = 0;
  std::string State_ = "running"; ///< running, finished, failed or stopped
  std::string Reason_;            ///< why the attempt ended
  int ExitCode_ = 0;
  Resources Allocation_;
  TimePoint StartTime_;
  TimePoint PlannedEnd_ = Never;
  std::size_t EventIndex_ = 0; ///< index in the evidence
};

struct Settings {
  bool FailAll_ = false;
  bool Refuse_ = false;
  bool Silent_ = false;
  bool Leaving_ = false;
  std::int64_t LoseAnswers_ = 0;
  std::int64_t SlowStartMs_ = 0;
  std::int64_t DelayMs_ = 0;
};

struct Worker {
  std::string BootId_;
  Resources Capacity_;
  Resources Used_;
  Resources PeakUsage_;
  std::int64_t Term_ = 0;
  std::string Owner_;
  TimePoint LeaseEnd_; ///< there is no lease when this is in the past
  bool Overcommitted_ = false;
  std::uint64_t NoRoomCount_ = 0;
  std::uint64_t LowerTermCount_ = 0;
  Settings Settings_;
  std::map<std::string, Task> Tasks_;
};

Json toJson(const Resources &Entry) {
  return {{"cores", static_cast<double>(Entry.MilliCores_) / 1000},
          {"memory_mb", Entry.MemoryMb_},
          {"accelerators", Entry.Accelerators_}};
}

Resources resourcesFrom(const Json &Body) {
  return {std::llround(Body.value("cores", 0.0) * 1000), Body.value("memory_mb", std::int64_t{0}),
          Body.value("accelerators", std::int64_t{0})};
}

std::string newBootId() {
  static std::random_device Source;
  return std::to_string(Source()) + "-" + std::to_string(Source());
}

/// Converts a time of the boot clock to wall-clock milliseconds.
std::int64_t toWallMillis(TimePoint Time) {
  return core::wallMillis() - core::toMillis(core::Clock::now() - Time);
}

class Workers {
public:
  explicit Workers(asio::io_context &Io) : Io_(Io), ExpiryTimer_(Io) { scheduleExpiryCheck(); }

  void add(const std::string &Name, const Resources &Capacity) {
    Worker &New = Workers_[Name];
    New.BootId_ = newBootId();
    New.Capacity_ = Capacity;
  }

  void handle(const http::Request &Incoming, const ReplyCallback &Answer) {
    // After the process was paused (SIGSTOP), expired leases end before any request is served.
    endExpired();
    const auto Path = http::pathSegments(Incoming.Path_);
    if (Path.size() < 3 || Path[0] != "w" || !Workers_.contains(Path[1]))
      return Answer(errorReply(404, "unknown worker"));
    Worker &Target = Workers_[Path[1]];
    if (Target.Settings_.Silent_)
      return Answer({.Mode_ = ReplyMode::Hang});
    const bool IsStart = Path[2] == "tasks" && Incoming.Method_ == "PUT";
    const std::int64_t Delay =
        Target.Settings_.DelayMs_ + (IsStart ? Target.Settings_.SlowStartMs_ : 0);
    runAfter(Io_, core::Millis(Delay), [this, Name = Path[1], &Target, Path, Incoming, Answer] {
      endExpired();
      withJson(Incoming, Answer, [&](const Json &Body) {
        Reply Response = handleCommand(Name, Target, Path, Incoming, Body);
        if (Target.Settings_.LoseAnswers_ > 0) {
          --Target.Settings_.LoseAnswers_;
          Response.Mode_ = ReplyMode::Close;
        }
        Answer(std::move(Response));
      });
    });
  }

  /// "worker" names one worker, otherwise the settings apply to all. "add" adds or replaces
  /// workers, "restart": true assigns a new boot id and drops tasks, lease and term.
  Json control(const Json &Body) {
    endExpired();
    for (const Json &New : Body.value("add", Json::array()))
      add(New.at("name"), resourcesFrom(New));
    if (const auto Name = Body.find("worker"); Name != Body.end())
      applySettings(Workers_.at(Name->get<std::string>()), Body);
    else
      for (auto &[Unused, Target] : Workers_)
        applySettings(Target, Body);
    return Json::object();
  }

  Json evidence() {
    endExpired();
    Json WorkerStats = Json::object();
    bool Overcommitted = false;
    for (const auto &[Name, Target] : Workers_) {
      Overcommitted = Overcommitted || Target.Overcommitted_;
      WorkerStats[Name] = {{"capacity", toJson(Target.Capacity_)},
                           {"used", toJson(Target.Used_)},
                           {"peak", toJson(Target.PeakUsage_)},
                           {"overcommitted", Target.Overcommitted_},
                           {"no_room", Target.NoRoomCount_},
                           {"lower_term", Target.LowerTermCount_},
                           {"term", Target.Term_},
                           {"owner", Target.Owner_}};
    }
    int Peak = 0;
    Json Duplicates = Json::object();
    for (const auto &[Id, Count] : RunningCopies_) {
      Peak = std::max(Peak, Count.second);
      if (Count.second > 1)
        Duplicates[Id] = Count.second;
    }
    return {{"workers", WorkerStats},
            {"tasks", Events_},
            {"overcommitted", Overcommitted},
            {"peak_copies", Peak},
            {"duplicates", Duplicates}};
  }

private:
  Reply handleCommand(const std::string &Name, Worker &Target, const std::vector<std::string> &Path,
                      const http::Request &Incoming, const Json &Body) {
    const std::string QueryTerm = http::queryValue(Incoming.Query_, "term");
    const std::int64_t Term = QueryTerm.empty() ? Body.value("term", std::int64_t{0})
                                                : std::strtoll(QueryTerm.c_str(), nullptr, 10);
    if (Term < Target.Term_) {
      ++Target.LowerTermCount_;
      return jsonReply({{"error", "lower term"}, {"term", Target.Term_}}, 409);
    }
    const std::string &Method = Incoming.Method_;
    if (Path[2] == "lease" && Method == "PUT")
      return renew(Target, Term, Body);
    if (Path[2] != "tasks" || Path.size() < 4)
      return errorReply(404, "unknown path");
    // Task ids may contain '/', encoded or not; an action is the last segment of a POST.
    std::string Id = Path[3];
    const std::size_t IdEnd = Path.size() - (Method == "POST" ? 1 : 0);
    for (std::size_t I = 4; I < IdEnd; ++I)
      Id += "/" + Path[I];
    if (Method == "PUT")
      return start(Name, Target, Id, Term, Body);
    const auto Found = Target.Tasks_.find(Id);
    if (Found == Target.Tasks_.end())
      return errorReply(404, "unknown task");
    if (Method == "DELETE") {
      finish(Target, Found->second, "stopped", "stopped by owner", core::Clock::now());
      return jsonReply(taskJson(Id, Found->second));
    }
    if (Method == "POST" && Path.back() == "checkpoint")
      return checkpoint(Target, Id, Found->second);
    if (Method == "POST" && Path.back() == "throttle")
      return throttle(Target, Id, Found->second, Body);
    return errorReply(404, "unknown path");
  }

  static Json taskJson(const std::string &Id, const Task &Entry) {
    return {{"id", Id},
            {"attempt", Entry.Attempt_},
            {"state", Entry.State_},
            {"exit", Entry.ExitCode_},
            {"reason", Entry.Reason_}};
  }

  Reply renew(Worker &Target, std::int64_t Term, const Json &Body) {
    Target.Term_ = Term;
    Target.Owner_ = Body.value("owner", std::string());
    Target.LeaseEnd_ =
        core::Clock::now() + core::Millis(Body.value("ttl_ms", std::int64_t{10'000}));
    for (const Json &Ack : Body.value("ack", Json::array())) {
      // An ack is a task id, or {"id", "attempt"} to acknowledge exactly one attempt.
      const std::string Id =
          Ack.is_string() ? Ack.get<std::string>() : Ack.at("id").get<std::string>();
      const auto Found = Target.Tasks_.find(Id);
      if (Found != Target.Tasks_.end() && Found->second.State_ != "running" &&
          (Ack.is_string() || Ack.at("attempt") == Found->second.Attempt_))
        Target.Tasks_.erase(Found);
    }
    Json Tasks = Json::array();
    for (const auto &[Id, Entry] : Target.Tasks_)
      Tasks.push_back(taskJson(Id, Entry));
    return jsonReply({{"boot", Target.BootId_},
                      {"term", Target.Term_},
                      {"tasks", Tasks},
                      {"leaving", Target.Settings_.Leaving_},
                      {"usage", toJson(Target.Used_)}});
  }

  Reply start(const std::string &Name, Worker &Target, const std::string &Id, std::int64_t Term,
              const Json &Body) {
    const auto Attempt = Body.value("attempt", std::int64_t{0});
    const auto Existing = Target.Tasks_.find(Id);
    if (Existing != Target.Tasks_.end() && Existing->second.Attempt_ == Attempt)
      return jsonReply(taskJson(Id, Existing->second));
    if (Existing != Target.Tasks_.end() &&
        (Existing->second.State_ == "running" || Attempt < Existing->second.Attempt_))
      return errorReply(409, "another attempt of the task is known");
    const TimePoint Now = core::Clock::now();
    if (Term > Target.Term_ || Target.LeaseEnd_ <= Now)
      return errorReply(410, "no lease under this term");
    if (Body.value("boot", Target.BootId_) != Target.BootId_)
      return errorReply(410, "start names an earlier generation of the lease");
    if (Target.Settings_.Leaving_ || Target.Settings_.Refuse_)
      return errorReply(503, Target.Settings_.Leaving_ ? "leaving" : "refused");
    Task New;
    New.Attempt_ = Attempt;
    New.Allocation_ = resourcesFrom(Body);
    New.StartTime_ = Now;
    if (!core::fits(Target.Used_ + New.Allocation_, Target.Capacity_)) {
      ++Target.NoRoomCount_;
      return errorReply(507, "no room");
    }
    const bool ShouldFail = Body.value("fail", false) || Target.Settings_.FailAll_;
    New.ExitCode_ = ShouldFail ? 1 : Body.value("exit", 0);
    const auto RunMs = Body.value("run_ms", std::int64_t{0});
    if (Target.Settings_.FailAll_)
      New.PlannedEnd_ = Now + core::Millis(10);
    else if (RunMs > 0)
      New.PlannedEnd_ = Now + core::Millis(std::max<std::int64_t>(
                                  1, RunMs - Body.value("progress_ms", std::int64_t{0})));
    New.EventIndex_ = Events_.size();
    Events_.push_back({{"worker", Name},
                       {"id", Id},
                       {"attempt", Attempt},
                       {"term", Term},
                       {"start_ms", core::wallMillis()},
                       {"end_ms", nullptr},
                       {"reason", nullptr}});
    allocate(Target, New.Allocation_);
    Target.Tasks_[Id] = New;
    RunningCopies_[Id].second = std::max(RunningCopies_[Id].second, ++RunningCopies_[Id].first);
    return jsonReply(taskJson(Id, New), 201);
  }

  /// Stops the task and reports its progress; a later start with "progress_ms" resumes there.
  Reply checkpoint(Worker &Target, const std::string &Id, Task &Entry) {
    if (Entry.State_ != "running")
      return errorReply(409, "task has ended");
    const TimePoint Now = core::Clock::now();
    finish(Target, Entry, "stopped", "checkpoint", Now);
    Json Response = taskJson(Id, Entry);
    Response["progress_ms"] = core::toMillis(Now - Entry.StartTime_);
    return jsonReply(Response);
  }

  /// Changes the task's cores ("cores", by default half of them); the remaining run time scales
  /// inversely.
  Reply throttle(Worker &Target, const std::string &Id, Task &Entry, const Json &Body) {
    if (Entry.State_ != "running")
      return errorReply(409, "task has ended");
    Resources Allocation = Entry.Allocation_;
    Allocation.MilliCores_ = Body.contains("cores")
                                 ? resourcesFrom(Body).MilliCores_
                                 : std::max<std::int64_t>(1, Allocation.MilliCores_ / 2);
    if (Allocation.MilliCores_ <= 0)
      return errorReply(400, "cores must be positive");
    if (!core::fits(Target.Used_ - Entry.Allocation_ + Allocation, Target.Capacity_)) {
      ++Target.NoRoomCount_;
      return errorReply(507, "no room");
    }
    const TimePoint Now = core::Clock::now();
    if (Entry.PlannedEnd_ != Never)
      Entry.PlannedEnd_ =
          Now + core::Millis(core::toMillis(Entry.PlannedEnd_ - Now) *
                             Entry.Allocation_.MilliCores_ / Allocation.MilliCores_);
    Target.Used_ -= Entry.Allocation_;
    allocate(Target, Allocation);
    Entry.Allocation_ = Allocation;
    return jsonReply(taskJson(Id, Entry));
  }

  static void allocate(Worker &Target, const Resources &Allocation) {
    Target.Used_ += Allocation;
    Target.Overcommitted_ = Target.Overcommitted_ || !core::fits(Target.Used_, Target.Capacity_);
    Target.PeakUsage_ = {std::max(Target.PeakUsage_.MilliCores_, Target.Used_.MilliCores_),
                         std::max(Target.PeakUsage_.MemoryMb_, Target.Used_.MemoryMb_),
                         std::max(Target.PeakUsage_.Accelerators_, Target.Used_.Accelerators_)};
  }

  void finish(Worker &Target, Task &Entry, const char *State, const char *Reason,
              TimePoint EndTime) {
    if (Entry.State_ != "running")
      return;
    Entry.State_ = State;
    Entry.Reason_ = Reason;
    if (Entry.State_ == "stopped")
      Entry.ExitCode_ = 143; // exit code after SIGTERM
    Target.Used_ -= Entry.Allocation_;
    Json &Event = Events_[Entry.EventIndex_];
    Event["end_ms"] = toWallMillis(EndTime);
    Event["reason"] = Reason;
    --RunningCopies_[Event["id"].get<std::string>()].first;
  }

  /// Ends expired leases with their tasks, and tasks whose run time is over.
  void endExpired() {
    const TimePoint Now = core::Clock::now();
    for (auto &[Name, Target] : Workers_) {
      const bool LeaseExpired = Target.LeaseEnd_ != TimePoint{} && Target.LeaseEnd_ <= Now;
      for (auto &[Id, Entry] : Target.Tasks_)
        if (LeaseExpired)
          finish(Target, Entry, "stopped", "lease ended", Target.LeaseEnd_);
        else if (Entry.PlannedEnd_ <= Now)
          finish(Target, Entry, Entry.ExitCode_ == 0 ? "finished" : "failed",
                 Entry.ExitCode_ == 0 ? "done" : "failed", Entry.PlannedEnd_);
      if (LeaseExpired) {
        // A start with the old generation may still be in flight and must not run.
        Target.BootId_ = newBootId();
        Target.LeaseEnd_ = {};
      }
    }
  }

  void scheduleExpiryCheck() {
    endExpired();
    ExpiryTimer_.expires_after(core::Millis(5));
    ExpiryTimer_.async_wait([this](std::error_code Error) {
      if (!Error)
        scheduleExpiryCheck();
    });
  }

  void applySettings(Worker &Target, const Json &Body) {
    assignIfPresent(Body, "fail_all", Target.Settings_.FailAll_);
    assignIfPresent(Body, "refuse", Target.Settings_.Refuse_);
    assignIfPresent(Body, "silent", Target.Settings_.Silent_);
    assignIfPresent(Body, "leaving", Target.Settings_.Leaving_);
    assignIfPresent(Body, "lose_answers", Target.Settings_.LoseAnswers_);
    assignIfPresent(Body, "slow_start_ms", Target.Settings_.SlowStartMs_);
    assignIfPresent(Body, "delay_ms", Target.Settings_.DelayMs_);
    if (!Body.value("restart", false))
      return;
    for (auto &[Id, Entry] : Target.Tasks_)
      finish(Target, Entry, "stopped", "worker restarted", core::Clock::now());
    Target.Tasks_.clear();
    Target.BootId_ = newBootId();
    Target.Term_ = 0;
    Target.LeaseEnd_ = {};
  }

  asio::io_context &Io_;
  asio::steady_timer ExpiryTimer_;
  std::map<std::string, Worker> Workers_;
  Json Events_ = Json::array();
  std::map<std::string, std::pair<int, int>>
      RunningCopies_; ///< by task id: current and peak number
};

} // namespace

int main(int Argc, char **Argv) {
  dieWithParent();
  CLI::App App("Workers under /w/NAME");
  std::uint16_t Port = 0;
  std::vector<std::string> Names;
  double Cores = 16;
  Resources Capacity{0, 32'768, 0};
  App.add_option("--port", Port, "Port on 127.0.0.1, 0 for any");
  App.add_option("--worker", Names, "Name of a worker; repeat for several");
  App.add_option("--cores", Cores, "Cores of each worker");
  App.add_option("--memory-mb", Capacity.MemoryMb_, "Memory of each worker");
  App.add_option("--accelerators", Capacity.Accelerators_, "Accelerators of each worker");
  CLI11_PARSE(App, Argc, Argv);
  Capacity.MilliCores_ = std::llround(Cores * 1000);
  asio::io_context Io;
  Workers AllWorkers(Io);
  for (const std::string &Name : Names)
    AllWorkers.add(Name, Capacity);
  const HttpStub Server(
      Io, Port,
      withControlRoutes([&](const Json &Body) { return AllWorkers.control(Body); },
                        [&] { return AllWorkers.evidence(); },
                        [&](const http::Request &Incoming, const ReplyCallback &Answer) {
                          AllWorkers.handle(Incoming, Answer);
                        }));
  return runProgram(Io, {{"port", Server.port()}});
}
