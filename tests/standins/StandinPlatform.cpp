// standin-platform: simulates the users' platform on one address: log service, executors and
// placement advice.
#include "standins/common/TaskExecutors.h"
#include "standins/common/TopicLog.h"

#include <CLI/CLI.hpp>

using namespace masticdrift;
using namespace masticdrift::standins;

namespace {

/// \returns the bytes that \p Text, an even number of hexadecimal digits, stands for.
std::string fromHex(std::string_view Text) {
  constexpr int Base = 16;
  std::string Bytes;
  for (std::size_t I = 0; I + 1 < Text.size(); I += 2)
    Bytes += static_cast<char>(std::stoi(std::string(Text.substr(I, 2)), nullptr, Base));
  return Bytes;
}

/// Answers that every executor may run every step.
void advise(const http::Request &Incoming, const ReplyCallback &Answer) {
  withJson(Incoming, Answer, [&](const Json &Body) {
    Json Permitted = Json::array();
    for (const Json &Worker : Body.at("workers"))
      Permitted.push_back(Json::array({Worker, "ticket"}));
    Answer(jsonReply({{"good", Permitted}, {"valid_ms", 2500}}));
  });
}

} // namespace

int main(int Argc, char **Argv) {
  dieWithParent();
  CLI::App App("The users' platform: log service, executors and advice");
  std::uint16_t Port = 0;
  int ExecutorCount = 4;
  int Cores = 4;
  App.add_option("--port", Port, "Port on 127.0.0.1, 0 for any");
  App.add_option("--executors", ExecutorCount, "Number of executors");
  App.add_option("--cores", Cores, "Cores of each executor");
  CLI11_PARSE(App, Argc, Argv);
  asio::io_context Io;
  TopicLog Log(Io);
  TaskExecutors Executors(Io, ExecutorCount, Cores);
  std::string Address;
  const auto Announce = [&] {
    for (const auto &[Id, Entry] : Executors.entries(Address))
      Log.put("keyed.servers", Id, Entry.dump());
  };
  Executors.onReplacement([&](const std::string &OldId, const std::string &NewId) {
    Log.put("keyed.servers", OldId, {});
    Log.put("keyed.servers", NewId, Executors.entries(Address).at(NewId).dump());
  });
  const HttpStub Server(
      Io, Port,
      withControlRoutes(
          [&](const Json &Body) {
            Log.control(Body);
            Executors.control(Body);
            if (Body.contains("manifest"))
              Log.put("keyed.op", "config", Body["manifest"].dump());
            // An operator's record; an empty value removes it.
            if (Body.contains("operator"))
              Log.put("keyed.op", Body["operator"]["key"].get<std::string>(),
                      Body["operator"].value("value", ""));
            if (Body.contains("join")) {
              const auto Id = Body["join"].get<std::string>();
              Executors.add(Id);
              Log.put("keyed.servers", Id, Executors.entries(Address).at(Id).dump());
            }
            // An entry by another writer, with any bytes as key and value.
            if (Body.contains("raw_entry"))
              Log.put("keyed.servers", fromHex(Body["raw_entry"]["key"].get<std::string>()),
                      fromHex(Body["raw_entry"]["value"].get<std::string>()));
            // The entry expires as if the executor had lost the store; its tasks run on.
            if (Body.contains("unlist"))
              Log.put("keyed.servers", Body["unlist"].get<std::string>(), {});
            if (Body.value("crash", false) || Body.contains("cpu"))
              Announce();
            return Json::object();
          },
          [&] {
            Json Evidence = Executors.evidence();
            Evidence["records"] = Log.evidence();
            Evidence["bytes_read"] = Log.bytesRead();
            return Evidence;
          },
          [&](const http::Request &Incoming, const ReplyCallback &Answer) {
            if (Incoming.Path_ == "/advise")
              advise(Incoming, Answer);
            else if (!Log.handle(Incoming, Answer) && !Executors.handle(Incoming, Answer))
              Answer(errorReply(404, "unknown path"));
          }));
  Address = "127.0.0.1:" + std::to_string(Server.port());
  Announce();
  return runProgram(Io, {{"port", Server.port()}});
}
