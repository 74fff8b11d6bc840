#include "support/PlatformFleet.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <asio.hpp>
#include <unistd.h>

namespace masticdrift::testing {

namespace {

constexpr core::Millis StartTimeout{10'000};
constexpr core::Millis CallTimeout{5000};

/// Below the ports that the system gives to outgoing connections, so that those of other tests
/// neither use the ports up nor take one before the daemon binds it.
constexpr int FirstPort = 10'000;
constexpr int PortRange = 20'000;

bool isFree(int Port) {
  asio::io_context Io;
  asio::ip::tcp::acceptor Acceptor(Io);
  std::error_code Error;
  Acceptor.open(asio::ip::tcp::v4());
  // Set as in the daemons, because earlier tests leave closed connections behind.
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.bind({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(Port)}, Error);
  return !Error;
}

/// \returns the first of \p Count consecutive ports that are free now. Never returns a port twice
/// until the range is used up, and starts at a place of its own in each process.
int freePorts(int Count) {
  constexpr int PortsPerProcess = 64;
  static int Offset = static_cast<int>(getpid()) * PortsPerProcess % PortRange;
  for (int Tried = 0; Tried < PortRange; Tried += Count) {
    const int Port = FirstPort + Offset;
    Offset = (Offset + Count) % (PortRange - Count);
    bool Free = true;
    for (int I = 0; Free && I < Count; ++I)
      Free = isFree(Port + I);
    if (Free)
      return Port;
  }
  throw std::runtime_error("no consecutive free ports found");
}

std::string loopbackAddress(int Port) { return "127.0.0.1:" + std::to_string(Port); }

Json route(std::string_view Name, bool AllowAnonymous) {
  return {{"name", Name},
          {"host", "queue.example"},
          {"path_prefix", "/" + std::string(Name) + "/"},
          {"service", "pool"},
          {"priority", 0},
          {"max_attempts", 3},
          {"stretch", 2.0},
          {"target_completion_ms", 400},
          {"allow_anonymous", AllowAnonymous},
          {"advice", {{"decide_ms", 1}, {"each_ms", 0.1}, {"valid_ms", 2500}}}};
}

} // namespace

Json initialManifest() {
  return {{"version", 1},
          {"routes", Json::array({route("q", false), route("open", true)})},
          {"services", {{{"name", "pool"}, {"admission_check", false}}}},
          {"tenants",
           {{{"name", "mfi"}, {"api_keys", {CallerKey}}, {"weight", 100}},
            {{"name", "coop"}, {"api_keys", {OtherCallerKey}}, {"weight", 100}}}},
          {"limits", {{"max_body_bytes", 100'000}}}};
}

std::string PlatformFleet::nameOf(int Daemon) {
  return "public-lahore-a-" + std::to_string(Daemon + 1);
}

std::string PlatformFleet::platformAddress() const { return loopbackAddress(PlatformPort_); }

PlatformFleet::PlatformFleet(int Daemons, int Executors, double Cores, bool Places, Json Limits)
    : Places_(Places), Limits_(std::move(Limits)) {
  std::string Path = (std::filesystem::temp_directory_path() / "masticdrift-XXXXXX").string();
  if (mkdtemp(Path.data()) == nullptr)
    throw std::runtime_error("cannot create directory " + Path);
  Directory_ = Path;
  Platform_ = std::make_unique<Process>(
      "standin-platform", std::vector<std::string>{"--executors", std::to_string(Executors)},
      Directory_ + "/platform.log");
  PlatformPort_ = Platform_->ready().at("port").get<int>();
  control({{"manifest", initialManifest()}});
  for (int I = 0; I < Daemons; ++I)
    addDaemon(Cores);
  for (int I = 0; I < Daemons; ++I)
    if (!waitFor(StartTimeout, [&] { return ready(I); }))
      throw std::runtime_error("daemon " + std::to_string(I + 1) +
                               " is not ready: " + Daemons_[static_cast<std::size_t>(I)]->errors());
  if (!waitFor(StartTimeout, [&] { return leader() >= 0; }))
    throw std::runtime_error("no daemon became leader in time");
}

void PlatformFleet::addDaemon(double Cores) {
  const int Port = freePorts(ServersPerDaemon);
  const std::string Name = nameOf(static_cast<int>(Daemons_.size()));
  BasePorts_.push_back(Port);
  const std::string File = Directory_ + "/" + Name + ".json";
  Json Settings{{"node_name", Name},
                {"ip", "127.0.0.1"},
                {"zone", "lahore-a"},
                {"region", "punjab"},
                {"bind_addresses",
                 {{"frontend", loopbackAddress(Port)}, {"ready", loopbackAddress(Port + 1)}}},
                {"internal_ports", {Port + 2, Port + 2}},
                {"limits", {{"cpu_share", Cores}, {"cores", 1}}},
                {"platform", {{"address", loopbackAddress(PlatformPort_) + "/d/" + Name}}},
                {"advice", loopbackAddress(PlatformPort_)}};
  Settings["limits"].update(Limits_);
  if (Places_) {
    Settings["contracts"] = {"places"};
    Settings["zones"] = {{"lahore-a", "punjab"}, {"karachi-a", "sindh"}};
  }
  std::ofstream(File) << Settings;
  Daemons_.push_back(std::make_unique<Process>(
      "masticdriftd", std::vector<std::string>{"--platform", "--settings", File},
      Directory_ + "/" + Name + ".log"));
}

PlatformFleet::~PlatformFleet() {
  Daemons_.clear();
  Platform_.reset();
  if (std::getenv("MASTICDRIFT_KEEP") == nullptr) {
    std::error_code Ignored; // a leftover directory is harmless
    std::filesystem::remove_all(Directory_, Ignored);
  }
}

http::ClientResult PlatformFleet::send(const std::string &Method, const std::string &Url,
                                       std::string Body, http::Headers Headers,
                                       core::Millis Timeout) {
  http::ClientRequest Request;
  Request.Method_ = Method;
  Request.Url_ = "http://" + Url;
  Request.Body_ = std::move(Body);
  Request.Headers_ = std::move(Headers);
  Request.Timeout_ = Timeout;
  Request.FreshConnection_ = true;
  return Client_.sendAndWait(std::move(Request));
}

http::ClientResult PlatformFleet::call(int Daemon, const std::string &Method,
                                       const std::string &Path, std::string Body,
                                       const std::string &Key) {
  http::Headers Headers{{"Host", "queue.example"},
                        {"Content-Type", "application/json"},
                        {"X-Masticdrift-Request-Deadline", "3000"}};
  if (!Key.empty())
    Headers.emplace_back("Authorization", "Token " + Key);
  return send(Method, loopbackAddress(BasePorts_.at(static_cast<std::size_t>(Daemon))) + Path,
              std::move(Body), std::move(Headers), CallTimeout);
}

http::ClientResult PlatformFleet::submit(int Daemon, const std::string &Id, const SimpleJob &Job) {
  Json Steps = Json::array();
  for (int I = 0; I < Job.StepCount_; ++I) {
    Steps.push_back({{"count", Job.TasksPerStep_},
                     {"cpu", 500},
                     {"mem_mb", 100},
                     {"estimated_ms", Job.TaskMs_}});
    if (I > 0)
      Steps.back()["depends_on"] = {I - 1};
  }
  return call(Daemon, "POST", "/q/" + Id,
              Json{{"spec", "ms=" + std::to_string(Job.TaskMs_)}, {"steps", Steps}}.dump());
}

std::string PlatformFleet::stateOf(int Daemon, const std::string &Id) {
  const http::ClientResult Result = call(Daemon, "GET", "/q/" + Id);
  if (Result.Transfer_ != http::Transfer::Complete || Result.Answer_.Status_ != 200)
    return {};
  return Json::parse(Result.Answer_.Body_).value("state", "");
}

bool PlatformFleet::awaitState(int Daemon, const std::string &Id, const std::string &State,
                               core::Millis Timeout) {
  return waitFor(Timeout, [&] { return stateOf(Daemon, Id) == State; });
}

void PlatformFleet::control(const Json &Switches) {
  send("POST", loopbackAddress(PlatformPort_) + "/control", Switches.dump(), {}, CallTimeout);
}

Json PlatformFleet::evidence() {
  return Json::parse(
      send("GET", loopbackAddress(PlatformPort_) + "/evidence", {}, {}, CallTimeout).Answer_.Body_);
}

bool PlatformFleet::ready(int Daemon) {
  const http::ClientResult Result =
      send("GET", loopbackAddress(readyPort(Daemon)) + "/ready", {}, {}, CallTimeout);
  return Result.Transfer_ == http::Transfer::Complete && Result.Answer_.Status_ == 200;
}

std::string PlatformFleet::metrics(int Daemon) {
  return send("GET", loopbackAddress(peerPort(Daemon)) + "/metrics", {}, {}, CallTimeout)
      .Answer_.Body_;
}

int PlatformFleet::leader() {
  for (int I = 0; I < static_cast<int>(Daemons_.size()); ++I)
    if (daemon(I).running() && metrics(I).find("\nmasticdrift_leader 1") != std::string::npos)
      return I;
  return -1;
}

} // namespace masticdrift::testing
