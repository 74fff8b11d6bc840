#include "support/PlatformFleet.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <asio.hpp>

namespace masticdrift::testing {

namespace {

constexpr core::Millis StartTime{10'000};
constexpr core::Millis CallTime{5000};
constexpr int PortsOfDaemon = 3; ///< callers, ready, peers

/// \returns the first of \p Count ports in a row that are free now.
int freePorts(int Count) {
  for (int Try = 0; Try < 100; ++Try) {
    asio::io_context Io;
    asio::ip::tcp::acceptor First(Io, {asio::ip::make_address("127.0.0.1"), 0});
    const int Port = First.local_endpoint().port();
    bool Free = Port + Count < 65'535;
    for (int I = 1; Free && I < Count; ++I) {
      asio::ip::tcp::acceptor Next(Io);
      std::error_code Error;
      Next.open(asio::ip::tcp::v4());
      // As the daemons do: other tests leave thousands of closed connections behind.
      Next.set_option(asio::socket_base::reuse_address(true));
      Next.bind({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(Port + I)}, Error);
      Free = !Error;
    }
    if (Free)
      return Port;
  }
  throw std::runtime_error("no free ports");
}

std::string at(int Port) { return "127.0.0.1:" + std::to_string(Port); }

Json manifest() {
  return {{"version", 1},
          {"routes",
           {{{"name", "q"},
             {"host", "queue.example"},
             {"path_prefix", "/q/"},
             {"service", "pool"},
             {"priority", 0},
             {"max_attempts", 3},
             {"stretch", 2.0},
             {"target_completion_ms", 400},
             {"advice", {{"decide_ms", 1}, {"each_ms", 0.1}, {"valid_ms", 2500}}}}}},
          {"services", {{{"name", "pool"}, {"admission_check", false}}}},
          {"tenants", {{{"name", "mfi"}, {"api_keys", {CallerKey}}, {"weight", 100}}}},
          {"limits", {{"max_body_bytes", 100'000}}}};
}

} // namespace

std::string PlatformFleet::nameOf(int Daemon) {
  return "public-lahore-a-" + std::to_string(Daemon + 1);
}

PlatformFleet::PlatformFleet(int Daemons, int Executors, double Cores) {
  std::string Path = (std::filesystem::temp_directory_path() / "masticdrift-XXXXXX").string();
  if (mkdtemp(Path.data()) == nullptr)
    throw std::runtime_error("can't create " + Path);
  Folder_ = Path;
  Platform_ = std::make_unique<Process>(
      "standin-platform", std::vector<std::string>{"--executors", std::to_string(Executors)},
      Folder_ + "/platform.log");
  PlatformPort_ = Platform_->ready().at("port").get<int>();
  control({{"manifest", manifest()}});
  for (int I = 0; I < Daemons; ++I)
    add(Cores);
  for (int I = 0; I < Daemons; ++I)
    if (!waitFor(StartTime, [&] { return ready(I); }))
      throw std::runtime_error("daemon " + std::to_string(I + 1) +
                               " is not ready: " + Daemons_[static_cast<std::size_t>(I)]->errors());
  if (!waitFor(StartTime, [&] { return leader() >= 0; }))
    throw std::runtime_error("no daemon leads");
}

void PlatformFleet::add(double Cores) {
  const int Port = freePorts(PortsOfDaemon);
  const std::string Name = nameOf(static_cast<int>(Daemons_.size()));
  FirstPorts_.push_back(Port);
  const std::string File = Folder_ + "/" + Name + ".json";
  std::ofstream(File) << Json{{"node_name", Name},
                              {"ip", "127.0.0.1"},
                              {"zone", "lahore-a"},
                              {"region", "punjab"},
                              {"bind_addresses", {{"frontend", at(Port)}, {"ready", at(Port + 1)}}},
                              {"internal_ports", {Port + 2, Port + 2}},
                              {"limits", {{"cpu_share", Cores}, {"cores", 1}}},
                              {"platform", {{"address", at(PlatformPort_) + "/d/" + Name}}},
                              {"advice", at(PlatformPort_)}};
  Daemons_.push_back(std::make_unique<Process>(
      "masticdriftd", std::vector<std::string>{"--platform", "--settings", File},
      Folder_ + "/" + Name + ".log"));
}

PlatformFleet::~PlatformFleet() {
  Daemons_.clear();
  Platform_.reset();
  if (std::getenv("MASTICDRIFT_KEEP") == nullptr) {
    std::error_code Ignored; // a leftover directory harms nobody
    std::filesystem::remove_all(Folder_, Ignored);
  }
}

http::ClientResult PlatformFleet::send(const std::string &Method, const std::string &Url,
                                       std::string Body, http::Headers Headers,
                                       core::Millis Timeout) {
  http::ClientRequest Call;
  Call.Method_ = Method;
  Call.Url_ = "http://" + Url;
  Call.Body_ = std::move(Body);
  Call.Headers_ = std::move(Headers);
  Call.Timeout_ = Timeout;
  Call.FreshConnection_ = true;
  return Client_.sendAndWait(std::move(Call));
}

http::ClientResult PlatformFleet::call(int Daemon, const std::string &Method,
                                       const std::string &Path, std::string Body,
                                       const std::string &Key) {
  http::Headers Headers{{"Host", "queue.example"},
                        {"Content-Type", "application/json"},
                        {"X-Masticdrift-Request-Deadline", "3000"}};
  if (!Key.empty())
    Headers.emplace_back("Authorization", "Token " + Key);
  return send(Method, at(FirstPorts_.at(static_cast<std::size_t>(Daemon))) + Path, std::move(Body),
              std::move(Headers), CallTime);
}

http::ClientResult PlatformFleet::submit(int Daemon, const std::string &Id, const SimpleJob &What) {
  Json Steps = Json::array();
  for (int I = 0; I < What.Steps_; ++I) {
    Steps.push_back(
        {{"count", What.Tasks_}, {"cpu", 500}, {"mem_mb", 100}, {"estimated_ms", What.Ms_}});
    if (I > 0)
      Steps.back()["depends_on"] = {I - 1};
  }
  return call(Daemon, "POST", "/q/" + Id,
              Json{{"spec", "ms=" + std::to_string(What.Ms_)}, {"steps", Steps}}.dump());
}

std::string PlatformFleet::stateOf(int Daemon, const std::string &Id) {
  const http::ClientResult Result = call(Daemon, "GET", "/q/" + Id);
  if (Result.Transfer_ != http::Transfer::Complete || Result.Answer_.Status_ != 200)
    return {};
  return Json::parse(Result.Answer_.Body_).value("state", "");
}

bool PlatformFleet::awaitState(int Daemon, const std::string &Id, const std::string &State,
                               core::Millis Deadline) {
  return waitFor(Deadline, [&] { return stateOf(Daemon, Id) == State; });
}

void PlatformFleet::control(const Json &Switches) {
  send("POST", at(PlatformPort_) + "/control", Switches.dump(), {}, CallTime);
}

Json PlatformFleet::evidence() {
  return Json::parse(send("GET", at(PlatformPort_) + "/evidence", {}, {}, CallTime).Answer_.Body_);
}

bool PlatformFleet::ready(int Daemon) {
  const int Port = FirstPorts_.at(static_cast<std::size_t>(Daemon)) + 1;
  const http::ClientResult Result = send("GET", at(Port) + "/ready", {}, {}, CallTime);
  return Result.Transfer_ == http::Transfer::Complete && Result.Answer_.Status_ == 200;
}

int PlatformFleet::leader() {
  for (std::size_t I = 0; I < Daemons_.size(); ++I) {
    if (!Daemons_[I]->running())
      continue;
    const http::ClientResult Result =
        send("GET", at(FirstPorts_[I] + 2) + "/metrics", {}, {}, CallTime);
    if (Result.Answer_.Body_.find("\nmasticdrift_leader 1") != std::string::npos)
      return static_cast<int>(I);
  }
  return -1;
}

} // namespace masticdrift::testing
