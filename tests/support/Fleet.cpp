#include "support/Fleet.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <openssl/evp.h>

namespace masticdrift::testing {

namespace {

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  EVP_Digest(Text.data(), Text.size(), Digest.data(), &Size, EVP_sha256(), nullptr);
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (unsigned I = 0; I < Size; ++I) {
    Hex += Digits[Digest[I] >> 4U];
    Hex += Digits[Digest[I] & 15U];
  }
  return Hex;
}

std::string localAddress(const Json &Port) {
  return "127.0.0.1:" + std::to_string(Port.get<int>());
}

std::string makeDirectory() {
  std::string Path = (std::filesystem::temp_directory_path() / "masticdrift-XXXXXX").string();
  if (mkdtemp(Path.data()) == nullptr)
    throw std::runtime_error("cannot create the directory " + Path);
  return Path;
}

/// Number of workers that share a rack and its failures.
constexpr int WorkersPerRack = 8;

std::string peerLink(const std::string &From, const std::string &To) {
  return "peer." + From + "." + To;
}

} // namespace

FleetSpec roshan(int Executors, int Workers) {
  return {"roshan",
          {{"lahore-a", "Punjab", 3, Executors, Workers},
           {"faisalabad-b", "Punjab", 2, Executors, Workers},
           {"karachi-a", "Sindh", 2, Executors, Workers}},
          "reorder-desk",
          {16'000, 32'768, 0}};
}

FleetSpec samvarp(int Executors, int Workers) {
  return {"samvarp",
          {{"sudvestur-a", "Sudvestur", 3, Executors, Workers},
           {"sudvestur-b", "Sudvestur", 2, Executors, Workers},
           {"nordaustur-a", "Nordaustur", 2, Executors, Workers}},
          "lestur",
          {32'000, 65'536, 0}};
}

Fleet::Fleet(FleetSpec Spec) : Spec_(std::move(Spec)), Directory_(makeDirectory()) {
  for (const DomainSpec &Domain : Spec_.Domains_)
    for (int I = 1; I <= Domain.DaemonCount_; ++I) {
      Names_.push_back(Domain.Name_ + "-" + std::to_string(I));
      Daemons_[Names_.back()] = {Domain.Name_, Domain.Region_, nullptr, {}};
    }
  startStandins();
  addLinks();
  registerUpstreams();
  for (const std::string &Name : Names_) {
    writeSettings(Name);
    launch(Name);
  }
  for (const std::string &Name : Names_)
    awaitReady(Name);
}

Fleet::~Fleet() {
  // Signals all processes first, because each destructor waits for its process.
  for (auto &[Name, Entry] : Daemons_)
    if (Entry.Process_)
      Entry.Process_->signal(SIGKILL);
  Daemons_.clear();
  Standins_.clear();
  std::error_code IgnoredError;
  if (std::getenv("MASTICDRIFT_KEEP") == nullptr)
    std::filesystem::remove_all(Directory_, IgnoredError);
}

void Fleet::startStandins() {
  std::vector<std::string> Workers{
      "--cores",        std::to_string(Spec_.WorkerSize_.MilliCores_ / 1000),
      "--memory-mb",    std::to_string(Spec_.WorkerSize_.MemoryMb_),
      "--accelerators", std::to_string(Spec_.WorkerSize_.Accelerators_)};
  std::vector<std::string> Executors{"--slots", std::to_string(Spec_.SlotsPerExecutor_),
                                     "--connections",
                                     std::to_string(Spec_.ConnectionsPerExecutor_)};
  for (const DomainSpec &Domain : Spec_.Domains_) {
    for (int I = 1; I <= Domain.WorkerCount_; ++I)
      Workers.insert(Workers.end(), {"--worker", Domain.Name_ + "-worker-" + std::to_string(I)});
    for (int I = 1; I <= Domain.ExecutorCount_; ++I)
      Executors.insert(Executors.end(),
                       {"--executor", Domain.Name_ + "-executor-" + std::to_string(I)});
  }
  const auto StartStandin = [this](Standin Kind, const std::string &Program,
                                   const std::vector<std::string> &Arguments) {
    Standins_[Kind] =
        std::make_unique<Process>(Program, Arguments, Directory_ + "/" + Program + ".log");
  };
  StartStandin(Standin::Log, "standin-log", {});
  StartStandin(Standin::Instances, "standin-instances", {});
  StartStandin(Standin::Proxy, "standin-proxy", {});
  StartStandin(Standin::Worker, "standin-worker", Workers);
  StartStandin(Standin::Executor, "standin-executor", Executors);
  for (auto &[Kind, Child] : Standins_)
    Ready_[Kind] = Child->ready();
}

void Fleet::addLinks() {
  Json NewLinks = Json::array();
  for (const std::string &Name : Names_) {
    NewLinks.push_back(
        {{"name", "log." + Name}, {"target", localAddress(Ready_[Standin::Log]["port"])}});
    NewLinks.push_back({{"name", "instances." + Name},
                        {"target", localAddress(Ready_[Standin::Instances]["port"])}});
    for (const std::string &Peer : Names_)
      if (Peer != Name)
        NewLinks.push_back({{"name", peerLink(Name, Peer)}});
  }
  Links_ = control(Standin::Proxy, {{"add", NewLinks}})["links"];
}

void Fleet::registerUpstreams() {
  Json Entries = Json::array();
  const Json &Ports = Ready_[Standin::Executor]["executors"];
  const std::string Workers = localAddress(Ready_[Standin::Worker]["port"]) + "/w/";
  for (const DomainSpec &Domain : Spec_.Domains_) {
    const auto MakeEntry = [&](const std::string &Name, const char *Kind, int Number) -> Json {
      const std::string Rack =
          Domain.Name_ + "-rack-" + std::to_string((Number - 1) / WorkersPerRack + 1);
      return {{"name", Name},           {"kind", Kind},
              {"domain", Domain.Name_}, {"region", Domain.Region_},
              {"rack", Rack},           {"state", "live"}};
    };
    for (int I = 1; I <= Domain.ExecutorCount_; ++I) {
      Json Entry = MakeEntry(Domain.Name_ + "-executor-" + std::to_string(I), "executor", I);
      Entry["address"] = localAddress(Ports.at(Entry["name"].get<std::string>()));
      Entry.update({{"pool", Spec_.Pool_},
                    {"slots", Spec_.SlotsPerExecutor_},
                    {"connections", Spec_.ConnectionsPerExecutor_}});
      Entries.push_back(Entry);
    }
    for (int I = 1; I <= Domain.WorkerCount_; ++I) {
      Json Entry = MakeEntry(Domain.Name_ + "-worker-" + std::to_string(I), "worker", I);
      Entry["address"] = Workers + Entry["name"].get<std::string>();
      Entry.update({{"cores", Spec_.WorkerSize_.MilliCores_ / 1000},
                    {"memory_mb", Spec_.WorkerSize_.MemoryMb_},
                    {"accelerators", Spec_.WorkerSize_.Accelerators_}});
      Entries.push_back(Entry);
    }
  }
  control(Standin::Instances, {{"set", Entries}});
}

void Fleet::writeSettings(const std::string &Name) {
  const Daemon &Instance = daemon(Name);
  Json Domains = Json::array();
  for (const DomainSpec &Domain : Spec_.Domains_)
    Domains.push_back({{"name", Domain.Name_}, {"region", Domain.Region_}});
  Json Routes = Json::object();
  for (const std::string &Peer : Names_)
    if (Peer != Name)
      Routes[Peer] = localAddress(Links_[peerLink(Name, Peer)]);
  const Json Listener = {{"address", "127.0.0.1"}, {"port", 0}};
  Json Operator = Listener;
  Operator["key_hashes"] = Json::array({sha256Hex(OperatorToken)});
  const Json Settings = {
      {"instance", {{"name", Name}, {"domain", Instance.Domain_}, {"region", Instance.Region_}}},
      {"fleet", {{"name", Spec_.Name_}, {"entry_instances", Names_.size()}, {"domains", Domains}}},
      {"caller", Listener},
      {"operator", Operator},
      {"peer", Listener},
      {"platform",
       {{"log_url", "http://" + localAddress(Links_["log." + Name])},
        {"instances_url", "http://" + localAddress(Links_["instances." + Name])}}},
      {"routes", Routes},
      {"log_level", "info"}};
  std::ofstream(Directory_ + "/" + Name + ".json") << Settings.dump(2) << "\n";
}

void Fleet::launch(const std::string &Name) {
  daemon(Name).Process_ = std::make_unique<Process>(
      Spec_.Daemon_, std::vector<std::string>{"--settings", Directory_ + "/" + Name + ".json"},
      Directory_ + "/" + Name + ".log");
}

void Fleet::awaitReady(const std::string &Name) {
  Daemon &Instance = daemon(Name);
  Instance.Ports_ = Instance.Process_->ready(core::Millis(10'000));
  const std::string Address = localAddress(Instance.Ports_.at("peer_port"));
  Json InboundLinks = Json::array();
  for (const std::string &Peer : Names_)
    if (Peer != Name)
      InboundLinks.push_back(peerLink(Peer, Name));
  control(Standin::Proxy, {{"links", InboundLinks}, {"target", Address}});
  const Json Entry = {{"name", Name},
                      {"kind", "entry"},
                      {"domain", Instance.Domain_},
                      {"region", Instance.Region_},
                      {"rack", Name},
                      {"address", Address},
                      {"state", "live"}};
  control(Standin::Instances, {{"set", Json::array({Entry})}});
}

std::vector<std::string> Fleet::namesIn(const std::string &Domain) const {
  std::vector<std::string> DomainNames;
  for (const std::string &Name : Names_)
    if (Daemons_.at(Name).Domain_ == Domain)
      DomainNames.push_back(Name);
  return DomainNames;
}

std::string Fleet::callerUrl(const std::string &Name) const {
  return "http://" + localAddress(Daemons_.at(Name).Ports_.at("caller_port"));
}

std::string Fleet::operatorUrl(const std::string &Name) const {
  return "http://" + localAddress(Daemons_.at(Name).Ports_.at("operator_port"));
}

Process &Fleet::process(const std::string &Name) { return *daemon(Name).Process_; }

Json Fleet::settings(const std::string &Name) const {
  return Json::parse(std::ifstream(Directory_ + "/" + Name + ".json"));
}

void Fleet::kill(const std::string &Name) {
  process(Name).signal(SIGKILL);
  process(Name).wait(core::Millis(5000));
}

std::optional<int> Fleet::stop(const std::string &Name, core::Millis Deadline) {
  process(Name).signal(SIGTERM);
  return process(Name).wait(Deadline);
}

void Fleet::pause(const std::string &Name) { process(Name).signal(SIGSTOP); }

void Fleet::resume(const std::string &Name) { process(Name).signal(SIGCONT); }

void Fleet::restart(const std::string &Name) {
  kill(Name);
  launch(Name);
  awaitReady(Name);
}

void Fleet::cutPeer(const std::string &A, const std::string &B) {
  control(Standin::Proxy, {{"links", {peerLink(A, B), peerLink(B, A)}}, {"cut", true}});
}

void Fleet::silencePeer(const std::string &A, const std::string &B) {
  control(Standin::Proxy,
          {{"links", {peerLink(A, B), peerLink(B, A)}}, {"silence_existing", true}});
}

void Fleet::cutStore(const std::string &Name) {
  control(Standin::Proxy, {{"link", "log." + Name}, {"cut", true}});
}

void Fleet::cutDomain(const std::string &Domain, bool IncludingPlatform) {
  Json CutLinks = Json::array();
  for (const std::string &Name : namesIn(Domain)) {
    for (const std::string &Peer : Names_)
      if (daemon(Peer).Domain_ != Domain) {
        CutLinks.push_back(peerLink(Name, Peer));
        CutLinks.push_back(peerLink(Peer, Name));
      }
    if (IncludingPlatform) {
      CutLinks.push_back("log." + Name);
      CutLinks.push_back("instances." + Name);
    }
  }
  control(Standin::Proxy, {{"links", CutLinks}, {"cut", true}});
}

void Fleet::setLatencies(core::Millis InRegion, core::Millis BetweenRegions) {
  Json SameRegionLinks = Json::array();
  Json CrossRegionLinks = Json::array();
  for (const std::string &From : Names_)
    for (const std::string &To : Names_)
      if (From != To)
        (daemon(From).Region_ == daemon(To).Region_ ? SameRegionLinks : CrossRegionLinks)
            .push_back(peerLink(From, To));
  control(Standin::Proxy, {{"links", SameRegionLinks}, {"delay_ms", InRegion.count()}});
  control(Standin::Proxy, {{"links", CrossRegionLinks}, {"delay_ms", BetweenRegions.count()}});
}

void Fleet::clearFaults() {
  for (auto &[Name, Instance] : Daemons_)
    Instance.Process_->signal(SIGCONT);
  control(Standin::Proxy, {{"heal", true}});
  control(Standin::Log,
          {{"outage", "none"}, {"delay_ms", 0}, {"effect_delay_ms", 0}, {"lose_answers", 0}});
  control(Standin::Instances, {{"outage", "none"}, {"delay_ms", 0}});
}

Json Fleet::evidence(Standin Kind) { return sendToStandin(Kind, "GET", "/evidence", {}); }

Json Fleet::control(Standin Kind, const Json &Body) {
  return sendToStandin(Kind, "POST", "/control", Body.dump());
}

Json Fleet::sendToStandin(Standin Kind, const std::string &Method, const std::string &Path,
                          const std::string &Body) {
  http::ClientRequest Request;
  Request.Method_ = Method;
  Request.Url_ = "http://" + localAddress(Ready_.at(Kind)["port"]) + Path;
  Request.Body_ = Body;
  Request.Timeout_ = core::Millis(5000);
  const http::ClientResult Result = Client_.sendAndWait(std::move(Request));
  if (Result.Transfer_ != http::Transfer::Complete || Result.Answer_.Status_ != 200)
    throw std::runtime_error(Method + " " + Path + " at a stand-in: " + Result.Error_ +
                             Result.Answer_.Body_);
  return Json::parse(Result.Answer_.Body_);
}

} // namespace masticdrift::testing
