#include "standins/common/TaskExecutors.h"

#include "masticdrift/core/Clock.h"

namespace masticdrift::standins {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds StopDelay{50};
constexpr milliseconds CrashDelay{10}; ///< from the start of a deadly task to the crash
constexpr milliseconds DownTime{3000}; ///< until another executor answers after a crash
constexpr std::int64_t MaxLeaseMs = 10'000;
constexpr int MemoryMb = 32'768;
/// Need of each task of PlatformFleet::submit(); start orders do not tell it.
constexpr int MilliCoresPerTask = 500;

Reply closedConnection() {
  Reply Out;
  Out.Mode_ = ReplyMode::Close;
  return Out;
}

/// \returns the run time in a payload with "ms=N", 100 ms without one.
milliseconds parseRunTime(const std::string &Payload) {
  const std::size_t Target = Payload.find("ms=");
  return milliseconds(Target == std::string::npos ? 100 : std::stoi(Payload.substr(Target + 3)));
}

} // namespace

TaskExecutors::TaskExecutors(asio::io_context &Io, int Count, int Cores) : Io_(Io), Cores_(Cores) {
  for (int I = 0; I < Count; ++I)
    add("i-" + std::to_string(I));
}

void TaskExecutors::add(const std::string &Id) {
  Executor &Added = Executors_[Id];
  Added.Name_ = Id;
  Added.Id_ = Id;
  Added.StartTime_ = steady_clock::now();
  Added.StartWallMs_ = core::wallMillis();
  Added.MilliCores_ = 1000 * Cores_;
}

std::map<std::string, Json> TaskExecutors::entries(const std::string &Address) const {
  std::map<std::string, Json> Out;
  for (const auto &[Name, Entry] : Executors_)
    if (!Entry.Crashed_)
      Out[Entry.Id_] = {
          {"service", "pool"},
          {"address", Address + "/e/" + Name},
          {"zone", "lahore-a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"capacity", {{"cpu", Entry.MilliCores_}, {"mem_mb", MemoryMb}, {"gpu", 0}}},
          {"labels", {"a", "r1-1"}},
          {"born", Entry.StartWallMs_},
          {"sequence", 1}};
  return Out;
}

std::int64_t TaskExecutors::clockMs(const Executor &Target) const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - Target.StartTime_).count();
}

bool TaskExecutors::handle(const http::Request &Incoming, const ReplyCallback &Answer) {
  const std::vector<std::string> Parts = http::pathSegments(Incoming.Path_);
  if (Parts.size() != 3 || Parts[0] != "e")
    return false;
  const auto Found = Executors_.find(Parts[1]);
  if (Found == Executors_.end()) {
    Answer(errorReply(404, "no such executor"));
    return true;
  }
  Executor &Target = Found->second;
  if (Target.Silent_) {
    Reply Out;
    Out.Mode_ = ReplyMode::Hang;
    Answer(std::move(Out));
    return true;
  }
  if (Target.Crashed_) {
    Answer(closedConnection());
    return true;
  }
  if (const std::string_view Wanted =
          http::findHeader(Incoming.Headers_, "X-Masticdrift-Target-Instance");
      !Wanted.empty() && Wanted != Target.Id_) {
    Answer(errorReply(421, "another executor"));
    return true;
  }
  withJson(Incoming, Answer, [&](const Json &Order) {
    const auto Token = Order.value("fencing_token", std::uint64_t{0});
    if (Token < Target.FencingToken_)
      return Answer(jsonReply({{"clock_ms", clockMs(Target)}, {"reason", "fence"}}, 409));
    Target.FencingToken_ = Token;
    if (Parts[2] == "hold")
      hold(Target, Order, Answer);
    else
      Answer(Parts[2] == "run-start"  ? start(Target, Order)
             : Parts[2] == "run-stop" ? stop(Target, Order)
                                      : jsonReply({{"clock_ms", clockMs(Target)}}));
  });
  return true;
}

void TaskExecutors::renewLease(Executor &Target, const Json &Order) {
  const std::int64_t LeaseEndMs =
      std::min(Order.value("until_ms", std::int64_t{0}), clockMs(Target) + MaxLeaseMs);
  Target.LeaseEnd_ = std::max(Target.LeaseEnd_, Target.StartTime_ + milliseconds(LeaseEndMs));
  runAfter(Io_, std::chrono::duration_cast<milliseconds>(Target.LeaseEnd_ - steady_clock::now()),
           [this, Id = Target.Name_] {
             Executor &Current = Executors_.at(Id);
             while (steady_clock::now() >= Current.LeaseEnd_ && !Current.Running_.empty())
               end(Current, Current.Running_.begin()->first, "lapsed");
           });
}

bool TaskExecutors::isRunningElsewhere(const Executor &Target, const std::string &Name) const {
  return std::ranges::any_of(Executors_, [&](const auto &Entry) {
    return &Entry.second != &Target && Entry.second.Running_.contains(Name);
  });
}

Reply TaskExecutors::start(Executor &Target, const Json &Order) {
  const auto Name = Order.at("task").get<std::string>();
  const auto Run = Order.at("run").get<std::uint64_t>();
  const auto Reject = [&](const char *Reason) {
    return jsonReply({{"clock_ms", clockMs(Target)}, {"reason", Reason}}, 409);
  };
  if (const auto LastEndedRun = Target.LastEndedRuns_.find(Name);
      LastEndedRun != Target.LastEndedRuns_.end() && Run <= LastEndedRun->second)
    return Reject("old");
  if (Order.value("until_ms", std::int64_t{0}) <= clockMs(Target))
    return Reject("late");
  renewLease(Target, Order);
  if (const auto RunningTask = Target.Running_.find(Name); RunningTask != Target.Running_.end())
    return RunningTask->second.Run_ == Run ? jsonReply({{"clock_ms", clockMs(Target)}})
                                           : Reject("old");
  if (isRunningElsewhere(Target, Name) || AcknowledgedTasks_.contains(Name))
    DuplicatedTasks_.insert(Name);
  ++Starts_[Name];
  Target.Running_[Name] = {Run, steady_clock::now(), parseRunTime(Order.value("spec", "")),
                           ++Generation_};
  if (static_cast<int>(Target.Running_.size()) * MilliCoresPerTask > Target.MilliCores_)
    OverCapacityTasks_.insert(Name);
  runAfter(Io_, Target.Running_[Name].RunTime_,
           [this, Id = Target.Name_, Name, TaskGeneration = Generation_] {
             finish(Id, Name, TaskGeneration);
           });
  if (DeadlyTasks_.contains(Name))
    runAfter(Io_, CrashDelay, [this, Id = Target.Name_, Name, TaskGeneration = Generation_] {
      crash(Id, Name, TaskGeneration);
    });
  return jsonReply({{"clock_ms", clockMs(Target)}});
}

void TaskExecutors::crash(const std::string &ExecutorName, const std::string &Name,
                          std::uint64_t Generation) {
  auto &Target = Executors_.at(ExecutorName);
  const auto Found = Target.Running_.find(Name);
  if (Found == Target.Running_.end() || Found->second.Generation_ != Generation)
    return;
  ++Crashes_[Name];
  const auto PendingHolds = std::exchange(Target.PendingHolds_, {});
  const std::string Id = Target.Id_;
  Target = {};
  Target.Name_ = ExecutorName;
  Target.Id_ = Id;
  Target.Crashed_ = true;
  for (const auto &Resume : PendingHolds)
    Resume();
  runAfter(Io_, DownTime, [this, ExecutorName] { replace(ExecutorName); });
}

void TaskExecutors::replace(const std::string &ExecutorName) {
  const std::string OldId = Executors_.at(ExecutorName).Id_;
  Executors_.at(ExecutorName) = {};
  add(ExecutorName);
  const std::string NewId = ExecutorName + "-" + std::to_string(++Generation_);
  Executors_.at(ExecutorName).Id_ = NewId;
  OnReplacement_(OldId, NewId);
}

void TaskExecutors::finish(const std::string &ExecutorName, const std::string &Name,
                           std::uint64_t Generation) {
  auto &Target = Executors_.at(ExecutorName);
  const auto Found = Target.Running_.find(Name);
  if (Found != Target.Running_.end() && Found->second.Generation_ == Generation && !Target.Stalled_)
    end(Target, Name, "done");
}

Reply TaskExecutors::stop(Executor &Target, const Json &Order) {
  const auto Name = Order.at("task").get<std::string>();
  const auto Run = Order.at("run").get<std::uint64_t>();
  Target.LastEndedRuns_[Name] = std::max(Target.LastEndedRuns_[Name], Run);
  if (Target.Running_.contains(Name))
    runAfter(Io_, StopDelay, [this, Id = Target.Name_, Name, Run] {
      Executor &Current = Executors_.at(Id);
      const auto Found = Current.Running_.find(Name);
      if (Found != Current.Running_.end() && Found->second.Run_ <= Run)
        end(Current, Name, "stopped");
    });
  return jsonReply({{"clock_ms", clockMs(Target)}});
}

void TaskExecutors::end(Executor &Target, const std::string &Name, const char *Outcome) {
  const std::uint64_t Run = Target.Running_.at(Name).Run_;
  Target.Running_.erase(Name);
  Target.LastEndedRuns_[Name] = std::max(Target.LastEndedRuns_[Name], Run);
  Target.EndedTasks_.push_back(Json::array({Target.NextEndSequence_++, Name, Run, Outcome, ""}));
  for (auto &Resume : std::exchange(Target.PendingHolds_, {}))
    Resume();
}

Json TaskExecutors::taskReport(const Executor &Target) const {
  Json Running = Json::array();
  for (const auto &[Name, Entry] : Target.Running_) {
    const auto Elapsed =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - Entry.StartedAt_);
    const std::int64_t Percent =
        Target.Stalled_
            ? 0
            : std::min<std::int64_t>(99, 100 * Elapsed / std::max(Entry.RunTime_, milliseconds(1)));
    Running.push_back(Json::array({Name, Entry.Run_, "", Percent, 1000}));
  }
  return {{"clock_ms", clockMs(Target)},
          {"born", Target.StartWallMs_},
          {"running", std::move(Running)},
          {"ended", Target.EndedTasks_}};
}

void TaskExecutors::hold(Executor &Target, const Json &Order, const ReplyCallback &Answer) {
  const auto AcknowledgedUpTo = Order.value("seen_upto", std::uint64_t{0});
  std::erase_if(Target.EndedTasks_, [&](const Json &Row) {
    const bool IsAcknowledged = Row[0].get<std::uint64_t>() <= AcknowledgedUpTo;
    if (IsAcknowledged && Row[3] == "done")
      AcknowledgedTasks_.insert(Row[1].get<std::string>());
    return IsAcknowledged;
  });
  if (Order.contains("until_ms"))
    renewLease(Target, Order);
  const milliseconds Wait(Order.value("wait_ms", 0));
  if (Wait.count() == 0 || !Target.EndedTasks_.empty())
    return Answer(jsonReply(taskReport(Target)));
  const auto Sent = std::make_shared<bool>(false);
  const auto SendOnce = [this, Name = Target.Name_, Id = Target.Id_, Answer, Sent] {
    const Executor &Current = Executors_.at(Name);
    if (std::exchange(*Sent, true) || Current.Silent_)
      return;
    if (Current.Crashed_ || Current.Id_ != Id)
      Answer(closedConnection());
    else
      Answer(jsonReply(taskReport(Current)));
  };
  Target.PendingHolds_.push_back(SendOnce);
  runAfter(Io_, Wait, SendOnce);
}

void TaskExecutors::control(const Json &Body) {
  if (Body.contains("deadly"))
    DeadlyTasks_.insert(Body["deadly"].get<std::string>());
  if (!Body.contains("executor"))
    return;
  Executor &Target = Executors_.at(Body["executor"].get<std::string>());
  assignIfPresent(Body, "silent", Target.Silent_);
  assignIfPresent(Body, "still", Target.Stalled_);
  assignIfPresent(Body, "cpu", Target.MilliCores_);
  if (Body.value("crash", false)) {
    const std::string Name = Target.Name_;
    Target = {};
    add(Name);
  }
}

Json TaskExecutors::evidence() const {
  Json Running = Json::array();
  for (const auto &[Id, One] : Executors_)
    for (const auto &[Name, Entry] : One.Running_)
      Running.push_back(Name);
  return {{"starts", Starts_},
          {"doubled", DuplicatedTasks_},
          {"running", Running},
          {"over_capacity", OverCapacityTasks_},
          {"crashes", Crashes_}};
}

} // namespace masticdrift::standins
