/// \file
/// State shared by the components of a daemon on the platform. All of it is used on one event loop.
#ifndef MASTICDRIFT_DAEMON_FLEETCONTEXT_H
#define MASTICDRIFT_DAEMON_FLEETCONTEXT_H

#include "masticdrift/fleet/Orders.h"
#include "masticdrift/http/LoopClient.h"
#include "masticdrift/work/Ledger.h"
#include "masticdrift/work/Manifest.h"
#include "platform/Settings.h"
#include "platform/Store.h"

#include <map>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

namespace masticdrift::daemon {

// Topics of the log service.
inline constexpr const char *JobsTopic = "keyed.jobs";         ///< job records, except the steps
inline constexpr const char *SpecsTopic = "keyed.specs";       ///< steps of jobs, read by leaders
inline constexpr const char *LeadershipTopic = "keyed.lead";   ///< records of the leader election
inline constexpr const char *ConfigTopic = "keyed.op";         ///< configuration
inline constexpr const char *ConfigKey = "config";             ///< key of the configuration record
inline constexpr const char *ExecutorsTopic = "keyed.servers"; ///< executor list

/// An executor of the executor list, kept for some time after its entry was removed.
struct ExecutorEntry {
  fleet::ExecutorInfo Info_;
  bool Listed_ = true;          ///< has an entry in the executor list
  core::TimePoint ChangedAt_{}; ///< when the entry was last written or removed
};

/// State shared by the components of a daemon.
struct FleetContext {
  asio::io_context &Loop_;
  http::LoopClient &Client_;
  platform::Store &Store_;
  const platform::MachineSettings &Settings_;
  std::string PeerAddress_;                ///< where other daemons reach this one
  std::string Incarnation_;                ///< random id of this process
  work::JobTable JobTable_;                ///< jobs, as far as they were read
  std::optional<work::Manifest> Manifest_; ///< configuration in force, if it was read
  std::map<std::string, ExecutorEntry, std::less<>> ExecutorEntries_; ///< by executor id
  bool Stopping_ = false;                                             ///< the daemon shuts down
  std::size_t WorkShareBytes_ = 0; ///< memory that this machine has for accepted jobs
  work::HeldWork UnstoredWork_;    ///< memory of the jobs that this daemon is storing
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_FLEETCONTEXT_H
