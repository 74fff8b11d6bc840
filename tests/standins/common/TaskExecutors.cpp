#include "standins/common/TaskExecutors.h"

#include "masticdrift/core/Clock.h"

namespace masticdrift::standins {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds StopTime{50};
constexpr std::int64_t LongestLeaseMs = 10'000;
constexpr int MemoryMb = 32'768;

/// Run time of a task: the payload says "ms=N".
milliseconds workOf(const std::string &Payload) {
  const std::size_t At = Payload.find("ms=");
  return milliseconds(At == std::string::npos ? 100 : std::stoi(Payload.substr(At + 3)));
}

} // namespace

TaskExecutors::TaskExecutors(asio::io_context &Io, int Count, int Cores) : Io_(Io), Cores_(Cores) {
  for (int I = 0; I < Count; ++I)
    add("i-" + std::to_string(I));
}

void TaskExecutors::add(const std::string &Id) {
  Executor &Made = All_[Id];
  Made.Id_ = Id;
  Made.Born_ = steady_clock::now();
  Made.BornMs_ = core::wallMillis();
}

std::map<std::string, Json> TaskExecutors::entries(const std::string &Address) const {
  std::map<std::string, Json> Out;
  for (const auto &[Id, One] : All_)
    Out[Id] = {{"service", "pool"},
               {"address", Address + "/e/" + Id},
               {"zone", "lahore-a"},
               {"version", "v1"},
               {"slots", 8},
               {"state", "ready"},
               {"capacity", {{"cpu", 1000 * Cores_}, {"mem_mb", MemoryMb}, {"gpu", 0}}},
               {"labels", {"a", "r1-1"}},
               {"born", One.BornMs_},
               {"sequence", 1}};
  return Out;
}

std::int64_t TaskExecutors::clockOf(const Executor &At) const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - At.Born_).count();
}

bool TaskExecutors::handle(const http::Request &Incoming, const Respond &Answer) {
  const std::vector<std::string> Parts = http::pathSegments(Incoming.Path_);
  if (Parts.size() != 3 || Parts[0] != "e")
    return false;
  const auto Found = All_.find(Parts[1]);
  if (Found == All_.end()) {
    Answer(errorReply(404, "no such executor"));
    return true;
  }
  Executor &At = Found->second;
  if (At.Silent_) {
    Reply Out;
    Out.Form_ = Form::Hang;
    Answer(std::move(Out));
    return true;
  }
  withJson(Incoming, Answer, [&](const Json &Order) {
    const auto Token = Order.value("fencing_token", std::uint64_t{0});
    if (Token < At.Token_)
      return Answer(jsonReply({{"clock_ms", clockOf(At)}, {"reason", "fence"}}, 409));
    At.Token_ = Token;
    if (Parts[2] == "hold")
      hold(At, Order, Answer);
    else
      Answer(Parts[2] == "run-start"  ? start(At, Order)
             : Parts[2] == "run-stop" ? stop(At, Order)
                                      : jsonReply({{"clock_ms", clockOf(At)}}));
  });
  return true;
}

void TaskExecutors::renew(Executor &At, const Json &Order) {
  const std::int64_t Until =
      std::min(Order.value("until_ms", std::int64_t{0}), clockOf(At) + LongestLeaseMs);
  At.LeaseEnd_ = std::max(At.LeaseEnd_, At.Born_ + milliseconds(Until));
  later(Io_, std::chrono::duration_cast<milliseconds>(At.LeaseEnd_ - steady_clock::now()),
        [this, Id = At.Id_] {
          Executor &Then = All_.at(Id);
          while (steady_clock::now() >= Then.LeaseEnd_ && !Then.Running_.empty())
            end(Then, Then.Running_.begin()->first, "lapsed");
        });
}

bool TaskExecutors::runsElsewhere(const Executor &At, const std::string &Name) const {
  return std::ranges::any_of(All_, [&](const auto &One) {
    return &One.second != &At && One.second.Running_.contains(Name);
  });
}

Reply TaskExecutors::start(Executor &At, const Json &Order) {
  const auto Name = Order.at("task").get<std::string>();
  const auto Run = Order.at("run").get<std::uint64_t>();
  const auto Refuse = [&](const char *Why) {
    return jsonReply({{"clock_ms", clockOf(At)}, {"reason", Why}}, 409);
  };
  if (const auto Over = At.Over_.find(Name); Over != At.Over_.end() && Run <= Over->second)
    return Refuse("old");
  if (Order.value("until_ms", std::int64_t{0}) <= clockOf(At))
    return Refuse("late");
  renew(At, Order);
  if (const auto There = At.Running_.find(Name); There != At.Running_.end())
    return There->second.Run_ == Run ? jsonReply({{"clock_ms", clockOf(At)}}) : Refuse("old");
  if (runsElsewhere(At, Name) || Noted_.contains(Name))
    Doubled_.insert(Name);
  ++Starts_[Name];
  At.Running_[Name] = {Run, steady_clock::now(), workOf(Order.value("spec", "")), ++Generation_};
  later(Io_, At.Running_[Name].Work_,
        [this, Id = At.Id_, Name, Mine = Generation_] { finish(Id, Name, Mine); });
  return jsonReply({{"clock_ms", clockOf(At)}});
}

void TaskExecutors::finish(const std::string &Id, const std::string &Name,
                           std::uint64_t Generation) {
  Executor &At = All_.at(Id);
  const auto Found = At.Running_.find(Name);
  if (Found != At.Running_.end() && Found->second.Generation_ == Generation && !At.Still_)
    end(At, Name, "done");
}

Reply TaskExecutors::stop(Executor &At, const Json &Order) {
  const auto Name = Order.at("task").get<std::string>();
  const auto Run = Order.at("run").get<std::uint64_t>();
  At.Over_[Name] = std::max(At.Over_[Name], Run);
  if (At.Running_.contains(Name))
    later(Io_, StopTime, [this, Id = At.Id_, Name, Run] {
      Executor &Then = All_.at(Id);
      const auto Found = Then.Running_.find(Name);
      if (Found != Then.Running_.end() && Found->second.Run_ <= Run)
        end(Then, Name, "stopped");
    });
  return jsonReply({{"clock_ms", clockOf(At)}});
}

void TaskExecutors::end(Executor &At, const std::string &Name, const char *How) {
  const std::uint64_t Run = At.Running_.at(Name).Run_;
  At.Running_.erase(Name);
  At.Over_[Name] = std::max(At.Over_[Name], Run);
  At.Ended_.push_back(Json::array({At.NextEnd_++, Name, Run, How, ""}));
  for (auto &Wake : std::exchange(At.Waiting_, {}))
    Wake();
}

Json TaskExecutors::lists(const Executor &At) const {
  Json Running = Json::array();
  for (const auto &[Name, One] : At.Running_) {
    const auto Spent =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - One.StartedAt_);
    const std::int64_t Percent =
        At.Still_ ? 0
                  : std::min<std::int64_t>(99, 100 * Spent / std::max(One.Work_, milliseconds(1)));
    Running.push_back(Json::array({Name, One.Run_, "", Percent, 1000}));
  }
  return {{"clock_ms", clockOf(At)},
          {"born", At.BornMs_},
          {"running", std::move(Running)},
          {"ended", At.Ended_}};
}

void TaskExecutors::hold(Executor &At, const Json &Order, const Respond &Answer) {
  const auto Seen = Order.value("seen_upto", std::uint64_t{0});
  std::erase_if(At.Ended_, [&](const Json &Row) {
    const bool Forget = Row[0].get<std::uint64_t>() <= Seen;
    if (Forget && Row[3] == "done")
      Noted_.insert(Row[1].get<std::string>());
    return Forget;
  });
  if (Order.contains("until_ms"))
    renew(At, Order);
  const milliseconds Wait(Order.value("wait_ms", 0));
  if (Wait.count() == 0 || !At.Ended_.empty())
    return Answer(jsonReply(lists(At)));
  const auto Done = std::make_shared<bool>(false);
  const auto Send = [this, Id = At.Id_, Answer, Done] {
    if (!std::exchange(*Done, true) && !All_.at(Id).Silent_)
      Answer(jsonReply(lists(All_.at(Id))));
  };
  At.Waiting_.push_back(Send);
  later(Io_, Wait, Send);
}

void TaskExecutors::control(const Json &Body) {
  if (!Body.contains("executor"))
    return;
  Executor &At = All_.at(Body["executor"].get<std::string>());
  assignIfPresent(Body, "silent", At.Silent_);
  assignIfPresent(Body, "still", At.Still_);
  if (Body.value("crash", false)) {
    const std::string Id = At.Id_;
    At = {};
    add(Id);
  }
}

Json TaskExecutors::evidence() const { return {{"starts", Starts_}, {"doubled", Doubled_}}; }

} // namespace masticdrift::standins
