/// \file
/// Runs daemons in platform mode as separate processes, with a stand-in for the platform.
#ifndef MASTICDRIFT_TESTING_PLATFORMFLEET_H
#define MASTICDRIFT_TESTING_PLATFORMFLEET_H

#include "masticdrift/http/Client.h"
#include "support/Process.h"

#include <memory>
#include <string>
#include <vector>

namespace masticdrift::testing {

/// API key of the customer in the initial configuration.
inline constexpr const char *CallerKey = "caller-key";

/// API key of a second customer in the initial configuration.
inline constexpr const char *OtherCallerKey = "other-caller-key";

/// \returns the configuration that a fleet starts with: two customers, queue "q", which needs a
/// key, and queue "open", which needs none.
Json initialManifest();

/// A submission with one or more steps of equal tasks.
struct SimpleJob {
  int TasksPerStep_ = 1;
  int TaskMs_ = 100;
  int StepCount_ = 1; ///< executed one after the other
};

/// Starts the stand-in and the daemons, and stops them on destruction.
class PlatformFleet {
public:
  /// Servers of a daemon, on consecutive ports: for callers, for readiness, for other daemons.
  static constexpr int ServersPerDaemon = 3;

  /// Returns when every daemon reports ready and one of them leads.
  ///
  /// \throws std::runtime_error if that does not happen in time.
  /// \param Places the rules on places are in force, in domains "lahore-a" and "karachi-a".
  /// \param Limits added to the limits of the daemons' machines.
  explicit PlatformFleet(int Daemons = 3, int Executors = 4, double Cores = 0.25,
                         bool Places = false, Json Limits = Json::object());
  PlatformFleet(const PlatformFleet &) = delete;
  PlatformFleet &operator=(const PlatformFleet &) = delete;
  ~PlatformFleet();

  static std::string nameOf(int Daemon);

  /// \returns the address of the stand-in; executor ID has /e/ID appended to it.
  std::string platformAddress() const;

  /// Starts another daemon on a machine with \p Cores as its processor share.
  void addDaemon(double Cores);

  /// Sends a caller's request to one daemon.
  ///
  /// \param Path path prefix of the queue ("/q/"), followed by the job's id.
  http::ClientResult call(int Daemon, const std::string &Method, const std::string &Path,
                          std::string Body = {}, const std::string &Key = CallerKey);
  http::ClientResult submit(int Daemon, const std::string &Id, const SimpleJob &Job);
  /// \returns the state that a daemon reports for a job, empty if it reports none.
  std::string stateOf(int Daemon, const std::string &Id);
  bool awaitState(int Daemon, const std::string &Id, const std::string &State,
                  core::Millis Timeout);

  /// Sends control switches to the stand-in.
  void control(const Json &Switches);
  Json evidence();
  bool ready(int Daemon);
  /// \returns the metrics of a daemon as text, empty when it does not answer.
  std::string metrics(int Daemon);
  /// \returns the index of the daemon that reports itself as leader, or -1.
  int leader();
  /// \returns the port on which a daemon receives requests of callers.
  int callerPort(int Daemon) const { return BasePorts_.at(static_cast<std::size_t>(Daemon)); }
  /// \returns the port on which a daemon tells whether it is ready.
  int readyPort(int Daemon) const { return callerPort(Daemon) + 1; }
  /// \returns the port for other daemons and for metrics.
  int peerPort(int Daemon) const { return callerPort(Daemon) + 2; }
  Process &daemon(int Daemon) { return *Daemons_.at(static_cast<std::size_t>(Daemon)); }

private:
  http::ClientResult send(const std::string &Method, const std::string &Url, std::string Body,
                          http::Headers Headers, core::Millis Timeout);

  std::string Directory_;
  bool Places_ = false;
  Json Limits_;
  http::Client Client_;
  std::unique_ptr<Process> Platform_;
  int PlatformPort_ = 0;
  std::vector<int> BasePorts_; ///< for callers; the others follow
  std::vector<std::unique_ptr<Process>> Daemons_;
};

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTING_PLATFORMFLEET_H
