// standin-instances: simulates the platform's list of live and leaving instances.
#include "standins/common/Program.h"

#include <map>

#include <CLI/CLI.hpp>

using namespace masticdrift;
using namespace masticdrift::standins;

namespace {

class InstanceList {
public:
  explicit InstanceList(asio::io_context &Io) : Io_(Io) {}

  void handle(const http::Request &Incoming, const ReplyCallback &Answer) {
    if (Incoming.Path_ != "/instances")
      return Answer(errorReply(404, "unknown path"));
    ++Reads_;
    if (Outage_ != "none") {
      Reply Response = errorReply(503, "outage");
      Response.Mode_ = Outage_ == "hang" ? ReplyMode::Hang : ReplyMode::Complete;
      return Answer(std::move(Response));
    }
    Json Entries = Json::array();
    for (const auto &[Name, Entry] : VisibleEntries_)
      Entries.push_back(Entry);
    Reply Response = jsonReply({{"instances", Entries}});
    const std::string ETag = '"' + std::to_string(std::hash<std::string>{}(Response.Body_)) + '"';
    if (http::findHeader(Incoming.Headers_, "If-None-Match") == ETag)
      Response = {304, ""};
    Response.Headers_.emplace_back("ETag", ETag);
    runAfter(Io_, std::chrono::milliseconds(DelayMs_), [Answer, Response] { Answer(Response); });
  }

  Json evidence() const { return {{"reads", Reads_}, {"entries", VisibleEntries_.size()}}; }

  /// "set" merges members into the entry with the same name, so that one member can change alone.
  Json control(const Json &Body) {
    assignIfPresent(Body, "outage", Outage_);
    assignIfPresent(Body, "delay_ms", DelayMs_);
    assignIfPresent(Body, "lag_ms", LagMs_);
    const Json Set = Body.value("set", Json::array());
    const Json Remove = Body.value("remove", Json::array());
    runAfter(Io_, std::chrono::milliseconds(LagMs_), [this, Set, Remove] {
      for (const Json &Entry : Set) {
        Json &Current = VisibleEntries_[Entry.at("name").get<std::string>()];
        if (Current.is_null())
          Current = {{"state", "live"}};
        Current.update(Entry);
      }
      for (const Json &Name : Remove)
        VisibleEntries_.erase(Name.get<std::string>());
    });
    return Json::object();
  }

private:
  asio::io_context &Io_;
  std::map<std::string, Json> VisibleEntries_;
  std::string Outage_ = "none"; ///< none, refuse (503) or hang (no response)
  std::int64_t DelayMs_ = 0;
  std::int64_t LagMs_ = 0; ///< delay before a change becomes visible
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
  const HttpStub Server(
      Io, Port,
      withControlRoutes([&](const Json &Body) { return List.control(Body); },
                        [&] { return List.evidence(); },
                        [&](const http::Request &Incoming, const ReplyCallback &Answer) {
                          List.handle(Incoming, Answer);
                        }));
  return runProgram(Io, {{"port", Server.port()}});
}
