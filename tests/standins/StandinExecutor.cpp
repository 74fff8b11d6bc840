// standin-executor: simulates several executors in one process, each on its own port.
#include "masticdrift/core/Clock.h"
#include "standins/common/Program.h"

#include <charconv>
#include <map>

#include <CLI/CLI.hpp>

using namespace masticdrift;
using namespace masticdrift::standins;

namespace {

struct RunRecord {
  std::string Id_;
  int RunCount_ = 0;
  std::int64_t StartMs_ = 0; ///< start of the last run
  std::int64_t EndMs_ = 0;   ///< end of the last run; 0 while it is running
};

struct Settings {
  std::int64_t ServiceMs_ = 0;   ///< default for requests without a service time
  std::int64_t SlowMs_ = 0;      ///< added to the service time
  std::string Failure_ = "none"; ///< none, fail, silent, truncate, no_length, close_without_answer
  bool Leaving_ = false;
};

std::int64_t parseIntOr(std::string_view Text, std::int64_t Default) {
  std::from_chars(Text.data(), Text.data() + Text.size(), Default);
  return Default;
}

/// \returns the service time that the request asks for in the X-Work-Ms header, or in a body that
/// starts with "work-ms=N " for clients behind a daemon, which forwards only the body; otherwise
/// \p Default.
std::int64_t workMillis(const http::Request &Incoming, std::int64_t Default) {
  constexpr std::string_view Prefix = "work-ms=";
  std::string_view Body = Incoming.Body_;
  if (Body.starts_with(Prefix))
    Default = parseIntOr(Body.substr(Prefix.size()), Default);
  return parseIntOr(http::findHeader(Incoming.Headers_, "X-Work-Ms"), Default);
}

class Executor {
public:
  Executor(asio::io_context &Io, std::size_t Slots, std::size_t Connections)
      : Io_(Io), Slots_(Slots),
        Server_(
            Io, 0,
            [this](const http::Request &Incoming, const ReplyCallback &Answer) {
              handle(Incoming, Answer);
            },
            Connections) {}

  std::uint16_t port() const { return Server_.port(); }

  void control(const Json &Body) {
    assignIfPresent(Body, "service_ms", Settings_.ServiceMs_);
    assignIfPresent(Body, "slow_ms", Settings_.SlowMs_);
    assignIfPresent(Body, "failure", Settings_.Failure_);
    assignIfPresent(Body, "leaving", Settings_.Leaving_);
  }

  /// \returns the number of requests that were not rejected.
  std::uint64_t received() const { return Received_; }

  Json evidence() const {
    Json Requests = Json::array();
    for (const auto &[Id, Entry] : Runs_)
      Requests.push_back({{"id", Id},
                          {"times", Entry.RunCount_},
                          {"start_ms", Entry.StartMs_},
                          {"end_ms", Entry.EndMs_}});
    return {{"slots", Slots_},
            {"busy", BusySlots_},
            {"peak_slots", PeakSlots_},
            {"peak_connections", Server_.counts().Peak_},
            {"open_connections", Server_.counts().Open_},
            {"refused_connections", Server_.counts().Refused_},
            {"refused_full", RefusedFull_},
            {"refused_leaving", RefusedLeaving_},
            {"requests", Requests}};
  }

private:
  void handle(const http::Request &Incoming, const ReplyCallback &Answer) {
    if (Incoming.Method_ != "POST" || Incoming.Path_ != "/run")
      return Answer(errorReply(404, "unknown path"));
    if (Settings_.Leaving_ || BusySlots_ >= Slots_) {
      ++(Settings_.Leaving_ ? RefusedLeaving_ : RefusedFull_);
      Reply Response = errorReply(503, Settings_.Leaving_ ? "leaving" : "full");
      Response.Headers_.emplace_back("Masticdrift-Not-Run", "true");
      if (Settings_.Leaving_)
        Response.Headers_.emplace_back("Masticdrift-Leaving", "true");
      return Answer(std::move(Response));
    }
    ++Received_;
    PeakSlots_ = std::max(PeakSlots_, ++BusySlots_);
    const std::string Id(http::findHeader(Incoming.Headers_, "Masticdrift-Request-Id"));
    RunRecord &Entry = Runs_[Id];
    ++Entry.RunCount_;
    Entry.StartMs_ = core::wallMillis();
    Entry.EndMs_ = 0;
    const std::int64_t WorkMs = workMillis(Incoming, Settings_.ServiceMs_) + Settings_.SlowMs_;
    const std::int64_t DeadlineMs =
        parseIntOr(http::findHeader(Incoming.Headers_, "Masticdrift-Deadline-Ms"), INT64_MAX);
    runAfter(Io_, core::Millis(std::min(WorkMs, DeadlineMs)),
             [this, Id, Answer, Body = Incoming.Body_, BeforeDeadline = WorkMs < DeadlineMs] {
               --BusySlots_;
               Runs_[Id].EndMs_ = core::wallMillis();
               Answer(BeforeDeadline ? makeReply(Body) : errorReply(504, "deadline passed"));
             });
  }

  Reply makeReply(const std::string &Body) const {
    if (Settings_.Failure_ == "fail")
      return errorReply(500, "failed on request");
    Reply Response{200, "echo:" + Body, "application/octet-stream"};
    if (Settings_.Failure_ == "silent")
      Response.Mode_ = ReplyMode::Hang;
    else if (Settings_.Failure_ == "truncate")
      Response.Mode_ = ReplyMode::Truncate;
    else if (Settings_.Failure_ == "no_length")
      Response.Mode_ = ReplyMode::NoContentLength;
    else if (Settings_.Failure_ == "close_without_answer")
      Response.Mode_ = ReplyMode::Close;
    return Response;
  }

  asio::io_context &Io_;
  std::size_t Slots_;
  std::size_t BusySlots_ = 0;
  std::size_t PeakSlots_ = 0;
  std::uint64_t Received_ = 0;
  std::uint64_t RefusedFull_ = 0;
  std::uint64_t RefusedLeaving_ = 0;
  Settings Settings_;
  std::map<std::string, RunRecord> Runs_;
  HttpStub Server_;
};

using Executors = std::map<std::string, std::unique_ptr<Executor>>;

Json evidenceOf(const Executors &AllExecutors) {
  Json Response = Json::object();
  std::map<std::string, int> RunCounts;
  for (const auto &[Name, Entry] : AllExecutors) {
    Response[Name] = Entry->evidence();
    for (const Json &Request : Response[Name]["requests"])
      RunCounts[Request["id"].get<std::string>()] += Request["times"].get<int>();
  }
  Json Repeated = Json::object();
  for (const auto &[Id, Count] : RunCounts)
    if (Count > 1)
      Repeated[Id] = Count;
  return {{"executors", Response}, {"repeated", Repeated}};
}

} // namespace

int main(int Argc, char **Argv) {
  dieWithParent();
  CLI::App App("Executors, each on its own port");
  std::uint16_t Port = 0;
  std::vector<std::string> Names;
  std::size_t Slots = 8;
  std::size_t Connections = 64;
  App.add_option("--port", Port, "Control port on 127.0.0.1, 0 for any");
  App.add_option("--executor", Names, "Name of an executor; repeat for several")->required();
  App.add_option("--slots", Slots, "Slots of each executor");
  App.add_option("--connections", Connections, "Connection limit of each executor");
  CLI11_PARSE(App, Argc, Argv);
  asio::io_context Io;
  Executors AllExecutors;
  Json Ports = Json::object();
  for (const std::string &Name : Names) {
    AllExecutors[Name] = std::make_unique<Executor>(Io, Slots, Connections);
    Ports[Name] = AllExecutors[Name]->port();
  }
  // Without "executor" the settings apply to all executors.
  const auto ApplyControl = [&](const Json &Body) {
    if (const auto Name = Body.find("executor"); Name != Body.end())
      AllExecutors.at(Name->get<std::string>())->control(Body);
    else
      for (auto &[Unused, Entry] : AllExecutors)
        Entry->control(Body);
    // Cheap to query, unlike GET /evidence, which lists every request.
    Json Received = Json::object();
    for (const auto &[Name, Entry] : AllExecutors)
      Received[Name] = Entry->received();
    return Json{{"received", Received}};
  };
  const HttpStub Control(Io, Port,
                         withControlRoutes(
                             ApplyControl, [&] { return evidenceOf(AllExecutors); },
                             [](const http::Request &, const ReplyCallback &Answer) {
                               Answer(errorReply(404, "unknown path"));
                             }));
  return runProgram(Io, {{"port", Control.port()}, {"executors", Ports}});
}
