// standin-executor: many executors in one process, each on its own port.
#include "masticdrift/core/Clock.h"
#include "standins/common/Program.h"

#include <charconv>
#include <map>

#include <CLI/CLI.hpp>

using namespace masticdrift;
using namespace masticdrift::standins;

namespace {

struct Run {
  std::string Id_;
  int Times_ = 0;
  std::int64_t StartMs_ = 0; ///< of the last run
  std::int64_t EndMs_ = 0;   ///< 0 while running
};

struct Switches {
  std::int64_t ServiceMs_ = 0;   ///< service time when the request names none
  std::int64_t SlowMs_ = 0;      ///< added to the service time
  std::string Failure_ = "none"; ///< none, fail, silent, truncate, no_length, close_without_answer
  bool Leaving_ = false;
};

std::int64_t numberOr(std::string_view Text, std::int64_t Default) {
  std::from_chars(Text.data(), Text.data() + Text.size(), Default);
  return Default;
}

/// The service time that the request names: header X-Work-Ms, or a body that starts with
/// "work-ms=N " for clients behind a daemon, which forwards only the body.
std::int64_t workMillis(const http::Request &Incoming, std::int64_t Default) {
  constexpr std::string_view Prefix = "work-ms=";
  std::string_view Body = Incoming.Body_;
  if (Body.starts_with(Prefix))
    Default = numberOr(Body.substr(Prefix.size()), Default);
  return numberOr(http::findHeader(Incoming.Headers_, "X-Work-Ms"), Default);
}

class Executor {
public:
  Executor(asio::io_context &Io, std::size_t Slots, std::size_t Connections)
      : Io_(Io), Slots_(Slots), Server_(
                                    Io, 0,
                                    [this](const http::Request &Incoming, const Respond &Answer) {
                                      handle(Incoming, Answer);
                                    },
                                    Connections) {}

  std::uint16_t port() const { return Server_.port(); }

  void control(const Json &Body) {
    assignIfPresent(Body, "service_ms", Switches_.ServiceMs_);
    assignIfPresent(Body, "slow_ms", Switches_.SlowMs_);
    assignIfPresent(Body, "failure", Switches_.Failure_);
    assignIfPresent(Body, "leaving", Switches_.Leaving_);
  }

  /// Requests that were not refused.
  std::uint64_t received() const { return Received_; }

  Json evidence() const {
    Json All = Json::array();
    for (const auto &[Id, Of] : Runs_)
      All.push_back(
          {{"id", Id}, {"times", Of.Times_}, {"start_ms", Of.StartMs_}, {"end_ms", Of.EndMs_}});
    return {{"slots", Slots_},
            {"busy", Busy_},
            {"peak_slots", Peak_},
            {"peak_connections", Server_.counts().Peak_},
            {"open_connections", Server_.counts().Open_},
            {"refused_connections", Server_.counts().Refused_},
            {"refused_full", RefusedFull_},
            {"refused_leaving", RefusedLeaving_},
            {"requests", All}};
  }

private:
  void handle(const http::Request &Incoming, const Respond &Answer) {
    if (Incoming.Method_ != "POST" || Incoming.Path_ != "/run")
      return Answer(errorReply(404, "unknown path"));
    if (Switches_.Leaving_ || Busy_ >= Slots_) {
      ++(Switches_.Leaving_ ? RefusedLeaving_ : RefusedFull_);
      Reply Out = errorReply(503, Switches_.Leaving_ ? "leaving" : "full");
      Out.Headers_.emplace_back("Masticdrift-Not-Run", "true");
      if (Switches_.Leaving_)
        Out.Headers_.emplace_back("Masticdrift-Leaving", "true");
      return Answer(std::move(Out));
    }
    ++Received_;
    Peak_ = std::max(Peak_, ++Busy_);
    const std::string Id(http::findHeader(Incoming.Headers_, "Masticdrift-Request-Id"));
    Run &Of = Runs_[Id];
    ++Of.Times_;
    Of.StartMs_ = core::wallMillis();
    Of.EndMs_ = 0;
    const std::int64_t Work = workMillis(Incoming, Switches_.ServiceMs_) + Switches_.SlowMs_;
    const std::int64_t Deadline =
        numberOr(http::findHeader(Incoming.Headers_, "Masticdrift-Deadline-Ms"), INT64_MAX);
    later(Io_, core::Millis(std::min(Work, Deadline)),
          [this, Id, Answer, Body = Incoming.Body_, InTime = Work < Deadline] {
            --Busy_;
            Runs_[Id].EndMs_ = core::wallMillis();
            Answer(InTime ? answerFor(Body) : errorReply(504, "deadline passed"));
          });
  }

  Reply answerFor(const std::string &Body) const {
    if (Switches_.Failure_ == "fail")
      return errorReply(500, "failed on request");
    Reply Out{200, "echo:" + Body, "application/octet-stream"};
    if (Switches_.Failure_ == "silent")
      Out.Form_ = Form::Hang;
    else if (Switches_.Failure_ == "truncate")
      Out.Form_ = Form::Truncate;
    else if (Switches_.Failure_ == "no_length")
      Out.Form_ = Form::NoLength;
    else if (Switches_.Failure_ == "close_without_answer")
      Out.Form_ = Form::Close;
    return Out;
  }

  asio::io_context &Io_;
  std::size_t Slots_;
  std::size_t Busy_ = 0;
  std::size_t Peak_ = 0;
  std::uint64_t Received_ = 0;
  std::uint64_t RefusedFull_ = 0;
  std::uint64_t RefusedLeaving_ = 0;
  Switches Switches_;
  std::map<std::string, Run> Runs_;
  HttpStub Server_;
};

using Executors = std::map<std::string, std::unique_ptr<Executor>>;

Json evidenceOf(const Executors &All) {
  Json Out = Json::object();
  std::map<std::string, int> Times;
  for (const auto &[Name, Of] : All) {
    Out[Name] = Of->evidence();
    for (const Json &Request : Out[Name]["requests"])
      Times[Request["id"].get<std::string>()] += Request["times"].get<int>();
  }
  Json Repeated = Json::object();
  for (const auto &[Id, Count] : Times)
    if (Count > 1)
      Repeated[Id] = Count;
  return {{"executors", Out}, {"repeated", Repeated}};
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
  Executors All;
  Json Ports = Json::object();
  for (const std::string &Name : Names) {
    All[Name] = std::make_unique<Executor>(Io, Slots, Connections);
    Ports[Name] = All[Name]->port();
  }
  // Without "executor" a switch applies to all of them.
  const auto Change = [&](const Json &Body) {
    if (const auto Name = Body.find("executor"); Name != Body.end())
      All.at(Name->get<std::string>())->control(Body);
    else
      for (auto &[Unused, Of] : All)
        Of->control(Body);
    // Cheap to ask for, unlike the evidence, which lists every request.
    Json Received = Json::object();
    for (const auto &[Name, Of] : All)
      Received[Name] = Of->received();
    return Json{{"received", Received}};
  };
  const HttpStub Control(Io, Port,
                         withControls(
                             Change, [&] { return evidenceOf(All); },
                             [](const http::Request &, const Respond &Answer) {
                               Answer(errorReply(404, "unknown path"));
                             }));
  return runProgram(Io, {{"port", Control.port()}, {"executors", Ports}});
}
