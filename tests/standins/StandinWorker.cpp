// standin-worker: many workers in one process, on one port under /w/NAME.
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

/// One attempt of a task, from its start until the owner acknowledges its end.
struct Task {
  std::int64_t Attempt_ = 0;
  std::string State_ = "running"; ///< running, finished, failed or stopped
  std::string Reason_;            ///< why it ended
  int Exit_ = 0;
  Resources Size_;
  TimePoint Start_;
  TimePoint End_ = Never; ///< planned end
  std::size_t Event_ = 0; ///< index in the evidence
};

struct Switches {
  bool FailAll_ = false;
  bool Refuse_ = false;
  bool Silent_ = false;
  bool Leaving_ = false;
  std::int64_t LoseAnswers_ = 0;
  std::int64_t SlowStartMs_ = 0;
  std::int64_t DelayMs_ = 0;
};

struct Worker {
  std::string Boot_;
  Resources Capacity_;
  Resources Used_;
  Resources Peak_;
  std::int64_t Term_ = 0;
  std::string Owner_;
  TimePoint LeaseEnd_; ///< no lease when in the past
  bool Overcommitted_ = false;
  std::uint64_t NoRoom_ = 0;
  std::uint64_t LowerTerm_ = 0;
  Switches Switches_;
  std::map<std::string, Task> Tasks_;
};

Json toJson(const Resources &Of) {
  return {{"cores", static_cast<double>(Of.MilliCores_) / 1000},
          {"memory_mb", Of.MemoryMb_},
          {"accelerators", Of.Accelerators_}};
}

Resources resourcesFrom(const Json &Body) {
  return {std::llround(Body.value("cores", 0.0) * 1000), Body.value("memory_mb", std::int64_t{0}),
          Body.value("accelerators", std::int64_t{0})};
}

std::string newBoot() {
  static std::random_device Source;
  return std::to_string(Source()) + "-" + std::to_string(Source());
}

/// Converts a point of the boot clock for the evidence.
std::int64_t wallOf(TimePoint Time) {
  return core::wallMillis() - core::toMillis(core::Clock::now() - Time);
}

class Workers {
public:
  explicit Workers(asio::io_context &Io) : Io_(Io), Ticker_(Io) { tick(); }

  void add(const std::string &Name, const Resources &Capacity) {
    Worker &New = Workers_[Name];
    New.Boot_ = newBoot();
    New.Capacity_ = Capacity;
  }

  void handle(const http::Request &Incoming, const Respond &Answer) {
    // A process that was stopped sees the end of its leases before anything else.
    sweep();
    const auto Path = http::pathSegments(Incoming.Path_);
    if (Path.size() < 3 || Path[0] != "w" || !Workers_.contains(Path[1]))
      return Answer(errorReply(404, "unknown worker"));
    Worker &At = Workers_[Path[1]];
    if (At.Switches_.Silent_)
      return Answer({.Form_ = Form::Hang});
    const bool Starts = Path[2] == "tasks" && Incoming.Method_ == "PUT";
    const std::int64_t Delay = At.Switches_.DelayMs_ + (Starts ? At.Switches_.SlowStartMs_ : 0);
    later(Io_, core::Millis(Delay), [this, Name = Path[1], &At, Path, Incoming, Answer] {
      sweep();
      withJson(Incoming, Answer, [&](const Json &Body) {
        Reply Out = command(Name, At, Path, Incoming, Body);
        if (At.Switches_.LoseAnswers_ > 0) {
          --At.Switches_.LoseAnswers_;
          Out.Form_ = Form::Close;
        }
        Answer(std::move(Out));
      });
    });
  }

  /// "worker" names one worker, otherwise a switch applies to all. "add" adds or replaces workers,
  /// "restart": true gives a new boot id and loses tasks, lease and term.
  Json control(const Json &Body) {
    sweep();
    for (const Json &New : Body.value("add", Json::array()))
      add(New.at("name"), resourcesFrom(New));
    if (const auto Name = Body.find("worker"); Name != Body.end())
      change(Workers_.at(Name->get<std::string>()), Body);
    else
      for (auto &[Unused, At] : Workers_)
        change(At, Body);
    return Json::object();
  }

  Json evidence() {
    sweep();
    Json All = Json::object();
    bool Overcommitted = false;
    for (const auto &[Name, At] : Workers_) {
      Overcommitted = Overcommitted || At.Overcommitted_;
      All[Name] = {{"capacity", toJson(At.Capacity_)},
                   {"used", toJson(At.Used_)},
                   {"peak", toJson(At.Peak_)},
                   {"overcommitted", At.Overcommitted_},
                   {"no_room", At.NoRoom_},
                   {"lower_term", At.LowerTerm_},
                   {"term", At.Term_},
                   {"owner", At.Owner_}};
    }
    int Peak = 0;
    Json Duplicates = Json::object();
    for (const auto &[Id, Count] : Copies_) {
      Peak = std::max(Peak, Count.second);
      if (Count.second > 1)
        Duplicates[Id] = Count.second;
    }
    return {{"workers", All},
            {"tasks", Events_},
            {"overcommitted", Overcommitted},
            {"peak_copies", Peak},
            {"duplicates", Duplicates}};
  }

private:
  Reply command(const std::string &Name, Worker &At, const std::vector<std::string> &Path,
                const http::Request &Incoming, const Json &Body) {
    const std::string QueryTerm = http::queryValue(Incoming.Query_, "term");
    const std::int64_t Term = QueryTerm.empty() ? Body.value("term", std::int64_t{0})
                                                : std::strtoll(QueryTerm.c_str(), nullptr, 10);
    if (Term < At.Term_) {
      ++At.LowerTerm_;
      return jsonReply({{"error", "lower term"}, {"term", At.Term_}}, 409);
    }
    const std::string &Method = Incoming.Method_;
    if (Path[2] == "lease" && Method == "PUT")
      return renew(At, Term, Body);
    if (Path[2] != "tasks" || Path.size() < 4)
      return errorReply(404, "unknown path");
    // Task ids may contain '/', encoded or not; an action is the last segment of a POST.
    std::string Id = Path[3];
    const std::size_t IdEnd = Path.size() - (Method == "POST" ? 1 : 0);
    for (std::size_t I = 4; I < IdEnd; ++I)
      Id += "/" + Path[I];
    if (Method == "PUT")
      return start(Name, At, Id, Term, Body);
    const auto Found = At.Tasks_.find(Id);
    if (Found == At.Tasks_.end())
      return errorReply(404, "unknown task");
    if (Method == "DELETE") {
      finish(At, Found->second, "stopped", "stopped by owner", core::Clock::now());
      return jsonReply(taskJson(Id, Found->second));
    }
    if (Method == "POST" && Path.back() == "checkpoint")
      return checkpoint(At, Id, Found->second);
    if (Method == "POST" && Path.back() == "throttle")
      return throttle(At, Id, Found->second, Body);
    return errorReply(404, "unknown path");
  }

  static Json taskJson(const std::string &Id, const Task &Of) {
    return {{"id", Id},
            {"attempt", Of.Attempt_},
            {"state", Of.State_},
            {"exit", Of.Exit_},
            {"reason", Of.Reason_}};
  }

  Reply renew(Worker &At, std::int64_t Term, const Json &Body) {
    At.Term_ = Term;
    At.Owner_ = Body.value("owner", std::string());
    At.LeaseEnd_ = core::Clock::now() + core::Millis(Body.value("ttl_ms", std::int64_t{10'000}));
    for (const Json &Ack : Body.value("ack", Json::array())) {
      // An ack is a task id, or {"id", "attempt"} to acknowledge exactly one attempt.
      const std::string Id =
          Ack.is_string() ? Ack.get<std::string>() : Ack.at("id").get<std::string>();
      const auto Found = At.Tasks_.find(Id);
      if (Found != At.Tasks_.end() && Found->second.State_ != "running" &&
          (Ack.is_string() || Ack.at("attempt") == Found->second.Attempt_))
        At.Tasks_.erase(Found);
    }
    Json Tasks = Json::array();
    for (const auto &[Id, Of] : At.Tasks_)
      Tasks.push_back(taskJson(Id, Of));
    return jsonReply({{"boot", At.Boot_},
                      {"term", At.Term_},
                      {"tasks", Tasks},
                      {"leaving", At.Switches_.Leaving_},
                      {"usage", toJson(At.Used_)}});
  }

  Reply start(const std::string &Name, Worker &At, const std::string &Id, std::int64_t Term,
              const Json &Body) {
    const auto Attempt = Body.value("attempt", std::int64_t{0});
    const auto Known = At.Tasks_.find(Id);
    if (Known != At.Tasks_.end() && Known->second.Attempt_ == Attempt)
      return jsonReply(taskJson(Id, Known->second));
    if (Known != At.Tasks_.end() &&
        (Known->second.State_ == "running" || Attempt < Known->second.Attempt_))
      return errorReply(409, "another attempt of the task is known");
    const TimePoint Now = core::Clock::now();
    if (Term > At.Term_ || At.LeaseEnd_ <= Now)
      return errorReply(410, "no lease under this term");
    if (Body.value("boot", At.Boot_) != At.Boot_)
      return errorReply(410, "start names an earlier generation of the lease");
    if (At.Switches_.Leaving_ || At.Switches_.Refuse_)
      return errorReply(503, At.Switches_.Leaving_ ? "leaving" : "refused");
    Task New;
    New.Attempt_ = Attempt;
    New.Size_ = resourcesFrom(Body);
    New.Start_ = Now;
    if (!core::fits(At.Used_ + New.Size_, At.Capacity_)) {
      ++At.NoRoom_;
      return errorReply(507, "no room");
    }
    const bool Fails = Body.value("fail", false) || At.Switches_.FailAll_;
    New.Exit_ = Fails ? 1 : Body.value("exit", 0);
    const auto RunMs = Body.value("run_ms", std::int64_t{0});
    if (At.Switches_.FailAll_)
      New.End_ = Now + core::Millis(10);
    else if (RunMs > 0)
      New.End_ = Now + core::Millis(std::max<std::int64_t>(
                           1, RunMs - Body.value("progress_ms", std::int64_t{0})));
    New.Event_ = Events_.size();
    Events_.push_back({{"worker", Name},
                       {"id", Id},
                       {"attempt", Attempt},
                       {"term", Term},
                       {"start_ms", core::wallMillis()},
                       {"end_ms", nullptr},
                       {"reason", nullptr}});
    use(At, New.Size_);
    At.Tasks_[Id] = New;
    Copies_[Id].second = std::max(Copies_[Id].second, ++Copies_[Id].first);
    return jsonReply(taskJson(Id, New), 201);
  }

  /// Stops the task and reports its progress; a later start with "progress_ms" continues there.
  Reply checkpoint(Worker &At, const std::string &Id, Task &Of) {
    if (Of.State_ != "running")
      return errorReply(409, "task has ended");
    const TimePoint Now = core::Clock::now();
    finish(At, Of, "stopped", "checkpoint", Now);
    Json Out = taskJson(Id, Of);
    Out["progress_ms"] = core::toMillis(Now - Of.Start_);
    return jsonReply(Out);
  }

  /// Changes the task's cores ("cores", default half of them); its remaining run time grows in
  /// proportion.
  Reply throttle(Worker &At, const std::string &Id, Task &Of, const Json &Body) {
    if (Of.State_ != "running")
      return errorReply(409, "task has ended");
    Resources Size = Of.Size_;
    Size.MilliCores_ = Body.contains("cores") ? resourcesFrom(Body).MilliCores_
                                              : std::max<std::int64_t>(1, Size.MilliCores_ / 2);
    if (Size.MilliCores_ <= 0)
      return errorReply(400, "cores must be positive");
    if (!core::fits(At.Used_ - Of.Size_ + Size, At.Capacity_)) {
      ++At.NoRoom_;
      return errorReply(507, "no room");
    }
    const TimePoint Now = core::Clock::now();
    if (Of.End_ != Never)
      Of.End_ = Now + core::Millis(core::toMillis(Of.End_ - Now) * Of.Size_.MilliCores_ /
                                   Size.MilliCores_);
    At.Used_ -= Of.Size_;
    use(At, Size);
    Of.Size_ = Size;
    return jsonReply(taskJson(Id, Of));
  }

  static void use(Worker &At, const Resources &Size) {
    At.Used_ += Size;
    At.Overcommitted_ = At.Overcommitted_ || !core::fits(At.Used_, At.Capacity_);
    At.Peak_ = {std::max(At.Peak_.MilliCores_, At.Used_.MilliCores_),
                std::max(At.Peak_.MemoryMb_, At.Used_.MemoryMb_),
                std::max(At.Peak_.Accelerators_, At.Used_.Accelerators_)};
  }

  void finish(Worker &At, Task &Of, const char *State, const char *Reason, TimePoint When) {
    if (Of.State_ != "running")
      return;
    Of.State_ = State;
    Of.Reason_ = Reason;
    if (Of.State_ == "stopped")
      Of.Exit_ = 143; // as after SIGTERM
    At.Used_ -= Of.Size_;
    Json &Event = Events_[Of.Event_];
    Event["end_ms"] = wallOf(When);
    Event["reason"] = Reason;
    --Copies_[Event["id"].get<std::string>()].first;
  }

  /// Ends what has ended by now: leases first, then tasks whose run time is over.
  void sweep() {
    const TimePoint Now = core::Clock::now();
    for (auto &[Name, At] : Workers_) {
      const bool Lapsed = At.LeaseEnd_ != TimePoint{} && At.LeaseEnd_ <= Now;
      for (auto &[Id, Of] : At.Tasks_)
        if (Lapsed)
          finish(At, Of, "stopped", "lease ended", At.LeaseEnd_);
        else if (Of.End_ <= Now)
          finish(At, Of, Of.Exit_ == 0 ? "finished" : "failed", Of.Exit_ == 0 ? "done" : "failed",
                 Of.End_);
      if (Lapsed) {
        // A start that names the old generation may still be on its way and must not run.
        At.Boot_ = newBoot();
        At.LeaseEnd_ = {};
      }
    }
  }

  void tick() {
    sweep();
    Ticker_.expires_after(core::Millis(5));
    Ticker_.async_wait([this](std::error_code Error) {
      if (!Error)
        tick();
    });
  }

  void change(Worker &At, const Json &Body) {
    assignIfPresent(Body, "fail_all", At.Switches_.FailAll_);
    assignIfPresent(Body, "refuse", At.Switches_.Refuse_);
    assignIfPresent(Body, "silent", At.Switches_.Silent_);
    assignIfPresent(Body, "leaving", At.Switches_.Leaving_);
    assignIfPresent(Body, "lose_answers", At.Switches_.LoseAnswers_);
    assignIfPresent(Body, "slow_start_ms", At.Switches_.SlowStartMs_);
    assignIfPresent(Body, "delay_ms", At.Switches_.DelayMs_);
    if (!Body.value("restart", false))
      return;
    for (auto &[Id, Of] : At.Tasks_)
      finish(At, Of, "stopped", "worker restarted", core::Clock::now());
    At.Tasks_.clear();
    At.Boot_ = newBoot();
    At.Term_ = 0;
    At.LeaseEnd_ = {};
  }

  asio::io_context &Io_;
  asio::steady_timer Ticker_;
  std::map<std::string, Worker> Workers_;
  Json Events_ = Json::array();
  std::map<std::string, std::pair<int, int>> Copies_; ///< task id: running now, peak
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
  Workers All(Io);
  for (const std::string &Name : Names)
    All.add(Name, Capacity);
  const HttpStub Server(Io, Port,
                        withControls([&](const Json &Body) { return All.control(Body); },
                                     [&] { return All.evidence(); },
                                     [&](const http::Request &Incoming, const Respond &Answer) {
                                       All.handle(Incoming, Answer);
                                     }));
  return runProgram(Io, {{"port", Server.port()}});
}
