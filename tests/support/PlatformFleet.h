/// \file
/// Daemons on the users' platform as separate processes, with the stand-in of the platform.
#ifndef MASTICDRIFT_TESTING_PLATFORMFLEET_H
#define MASTICDRIFT_TESTING_PLATFORMFLEET_H

#include "masticdrift/http/Client.h"
#include "support/Process.h"

#include <memory>
#include <string>
#include <vector>

namespace masticdrift::testing {

/// Key of the customer in the configuration that the fleet starts with.
inline constexpr const char *CallerKey = "caller-key";

/// A submission with one step of equal tasks, each running for some time.
struct SimpleJob {
  int TasksPerStep_ = 1;
  int TaskMs_ = 100;
  int StepCount_ = 1; ///< one after the other
};

/// Starts the stand-in and the daemons, and stops them on destruction.
class PlatformFleet {
public:
  /// Returns when every daemon reports ready.
  /// \throws std::runtime_error when one does not.
  explicit PlatformFleet(int Daemons = 3, int Executors = 4, double Cores = 0.25);
  PlatformFleet(const PlatformFleet &) = delete;
  PlatformFleet &operator=(const PlatformFleet &) = delete;
  ~PlatformFleet();

  static std::string nameOf(int Daemon);

  /// Starts one more daemon on a machine with this processor share.
  void addDaemon(double Cores);

  /// A caller's request to one daemon. \param Path of the queue ("/q/") and the job's id.
  http::ClientResult call(int Daemon, const std::string &Method, const std::string &Path,
                          std::string Body = {}, const std::string &Key = CallerKey);
  http::ClientResult submit(int Daemon, const std::string &Id, const SimpleJob &Job);
  /// \returns the state that a daemon shows for a job, empty when it shows none.
  std::string stateOf(int Daemon, const std::string &Id);
  bool awaitState(int Daemon, const std::string &Id, const std::string &State,
                  core::Millis Deadline);

  /// Sends switches to the stand-in.
  void control(const Json &Switches);
  Json evidence();
  bool ready(int Daemon);
  /// \returns the daemon that says that it leads, or -1.
  int leader();
  Process &daemon(int Daemon) { return *Daemons_.at(static_cast<std::size_t>(Daemon)); }

private:
  http::ClientResult send(const std::string &Method, const std::string &Url, std::string Body,
                          http::Headers Headers, core::Millis Timeout);

  std::string Directory_;
  http::Client Client_;
  std::unique_ptr<Process> Platform_;
  int PlatformPort_ = 0;
  std::vector<int> BasePorts_; ///< callers; ready and peers follow
  std::vector<std::unique_ptr<Process>> Daemons_;
};

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTING_PLATFORMFLEET_H
