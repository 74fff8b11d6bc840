/// \file
/// A deployment of daemons and stand-ins on one machine.
#ifndef MASTICDRIFT_TESTING_FLEET_H
#define MASTICDRIFT_TESTING_FLEET_H

#include "masticdrift/core/Resources.h"
#include "masticdrift/http/Client.h"
#include "support/Process.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace masticdrift::testing {

/// Bearer token of operators in tests.
inline constexpr const char *OperatorToken = "operator-secret";

/// Instances of one failure domain.
struct DomainSpec {
  std::string Name_;
  std::string Region_;
  int DaemonCount_ = 0;
  int ExecutorCount_ = 0;
  int WorkerCount_ = 0;
};

/// Domains and sizes of a test deployment.
struct FleetSpec {
  std::string Name_;
  std::vector<DomainSpec> Domains_;
  std::string Pool_;           ///< pool of all executors
  core::Resources WorkerSize_; ///< capacity of each worker
  int SlotsPerExecutor_ = 8;
  int ConnectionsPerExecutor_ = 64;
  std::string Daemon_ = "masticdriftd"; ///< program of the daemons
};

/// Deployment of Roshan Cheque Services Trust with 7 daemons.
///
/// \param Executors executors in each domain.
/// \param Workers workers in each domain.
FleetSpec roshan(int Executors = 2, int Workers = 2);

/// Deployment of Samvarp Varalestrar with 7 daemons.
FleetSpec samvarp(int Executors = 2, int Workers = 2);

/// The stand-ins of a fleet.
enum class Standin { Log, Instances, Worker, Executor, Proxy };

/// Starts all processes of a deployment and stops them on destruction. Daemons are called DOMAIN-1,
/// DOMAIN-2, ..., executors DOMAIN-executor-1, ..., workers DOMAIN-worker-1, ...
///
/// Every connection of a daemon to another daemon, to the log service and to the instance list
/// goes through the proxy, on links called peer.FROM.TO, log.NAME and instances.NAME. Files are
/// kept when the environment variable MASTICDRIFT_KEEP is set.
class Fleet {
public:
  /// Returns when every daemon has printed its ports.
  /// \throws std::runtime_error when a process does not start.
  explicit Fleet(FleetSpec Spec = roshan());
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;
  ~Fleet();

  /// \returns the number of failure domains.
  std::size_t domains() const { return Spec_.Domains_.size(); }
  const std::vector<std::string> &names() const { return Names_; }
  /// \returns the names of the daemons of one domain.
  std::vector<std::string> namesIn(const std::string &Domain) const;
  std::string callerUrl(const std::string &Name) const;
  std::string operatorUrl(const std::string &Name) const;
  Process &process(const std::string &Name);
  Json settings(const std::string &Name) const;
  const std::string &directory() const { return Directory_; }
  http::Client &client() { return Client_; }

  /// Ends a daemon with SIGKILL. Its entry in the instance list stays.
  void kill(const std::string &Name);
  /// Stops a daemon with SIGTERM and waits for its exit code.
  std::optional<int> stop(const std::string &Name, core::Millis Deadline = core::Millis(20'000));
  void pause(const std::string &Name);
  void resume(const std::string &Name);
  /// Kills the daemon if it runs and starts it with new ports.
  void restart(const std::string &Name);

  /// Cuts two daemons off from each other, in both directions.
  void cutPeer(const std::string &A, const std::string &B);
  /// Stops all traffic on the existing connections between two daemons without closing them; new
  /// connections work.
  void silencePeer(const std::string &A, const std::string &B);
  /// Cuts a daemon off from the log service.
  void cutStore(const std::string &Name);
  /// Cuts a domain off from all other domains, and from the platform when \p IncludingPlatform is
  /// set.
  void cutDomain(const std::string &Domain, bool IncludingPlatform = true);
  /// Sets the one-way latency of the links between daemons, within and between regions.
  void setLatencies(core::Millis InRegion = core::Millis(1),
                    core::Millis BetweenRegions = core::Millis(8));
  /// Ends all faults of the network, the log service and the instance list and resumes paused
  /// daemons. Also removes the latencies set by setLatencies().
  void clearFaults();

  /// \returns the line with which a stand-in reported its ports.
  const Json &ready(Standin Kind) const { return Ready_.at(Kind); }
  /// \returns the answer of the stand-in's GET /evidence.
  Json evidence(Standin Kind);
  /// Sends fault switches or entries to the stand-in's POST /control.
  /// \returns its answer.
  Json control(Standin Kind, const Json &Body);

private:
  struct Daemon {
    std::string Domain_;
    std::string Region_;
    std::unique_ptr<Process> Process_;
    Json Ports_;
  };

  void startStandins();
  void addLinks();
  void registerUpstreams();
  void writeSettings(const std::string &Name);
  void launch(const std::string &Name);
  void awaitReady(const std::string &Name);
  Json sendToStandin(Standin Kind, const std::string &Method, const std::string &Path,
                     const std::string &Body);
  Daemon &daemon(const std::string &Name) { return Daemons_.at(Name); }

  FleetSpec Spec_;
  std::string Directory_;
  http::Client Client_;
  std::vector<std::string> Names_;
  std::map<Standin, std::unique_ptr<Process>> Standins_;
  std::map<Standin, Json> Ready_;
  Json Links_; ///< proxy ports by link
  std::map<std::string, Daemon> Daemons_;
};

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTING_FLEET_H
