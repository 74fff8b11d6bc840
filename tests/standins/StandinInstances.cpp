// standin-instances: the platform's list of live and leaving instances.
#include "standins/common/Program.h"

#include <map>

#include <CLI/CLI.hpp>

using namespace masticdrift;
using namespace masticdrift::standins;

namespace {

class InstanceList {
public:
  explicit InstanceList(asio::io_context &Io) : Io_(Io) {}

  void handle(const http::Request &Incoming, const Respond &Answer) {
    if (Incoming.Path_ != "/instances")
      return Answer(errorReply(404, "unknown path"));
    ++Reads_;
    if (Outage_ != "none") {
      Reply Out = errorReply(503, "outage");
      Out.Form_ = Outage_ == "hang" ? Form::Hang : Form::Whole;
      return Answer(std::move(Out));
    }
    Json All = Json::array();
    for (const auto &[Name, Entry] : Visible_)
      All.push_back(Entry);
    Reply Out = jsonReply({{"instances", All}});
    const std::string Tag = '"' + std::to_string(std::hash<std::string>{}(Out.Body_)) + '"';
    if (http::findHeader(Incoming.Headers_, "If-None-Match") == Tag)
      Out = {304, ""};
    Out.Headers_.emplace_back("ETag", Tag);
    later(Io_, std::chrono::milliseconds(DelayMs_), [Answer, Out] { Answer(Out); });
  }

  Json evidence() const { return {{"reads", Reads_}, {"entries", Visible_.size()}}; }

  /// "set" merges members into the entry of the same name, so a state can be changed alone.
  Json control(const Json &Body) {
    assignIfPresent(Body, "outage", Outage_);
    assignIfPresent(Body, "delay_ms", DelayMs_);
    assignIfPresent(Body, "lag_ms", LagMs_);
    const Json Set = Body.value("set", Json::array());
    const Json Remove = Body.value("remove", Json::array());
    later(Io_, std::chrono::milliseconds(LagMs_), [this, Set, Remove] {
      for (const Json &Entry : Set) {
        Json &Kept = Visible_[Entry.at("name").get<std::string>()];
        if (Kept.is_null())
          Kept = {{"state", "live"}};
        Kept.update(Entry);
      }
      for (const Json &Name : Remove)
        Visible_.erase(Name.get<std::string>());
    });
    return Json::object();
  }

private:
  asio::io_context &Io_;
  std::map<std::string, Json> Visible_;
  std::string Outage_ = "none"; ///< none, refuse (503) or hang (no answer)
  std::int64_t DelayMs_ = 0;
  std::int64_t LagMs_ = 0; ///< time until a change becomes visible
  std::uint64_t Reads_ = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  dieWithParent();
  CLI::App App("List of live and leaving instances");
  std::uint16_t Port = 0;
  App.add_option("--port", Port, "Port on 127.0.0.1, 0 for any");
  CLI11_PARSE(App, Argc, Argv);
  asio::io_context Io;
  InstanceList List(Io);
  const HttpStub Server(Io, Port,
                        withControls([&](const Json &Body) { return List.control(Body); },
                                     [&] { return List.evidence(); },
                                     [&](const http::Request &Incoming, const Respond &Answer) {
                                       List.handle(Incoming, Answer);
                                     }));
  return runProgram(Io, {{"port", Server.port()}});
}
