/// \file
/// What the parts of a daemon on the platform share. All of it is used on one loop.
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

inline constexpr const char *JobsTopic = "keyed.jobs";
inline constexpr const char *SpecsTopic = "keyed.specs";
inline constexpr const char *LeadTopic = "keyed.lead";
inline constexpr const char *ConfigTopic = "keyed.op";
inline constexpr const char *ConfigKey = "config";
inline constexpr const char *ExecutorsTopic = "keyed.servers";

/// An executor of the list, kept for a while after its entry went away.
struct RosterEntry {
  fleet::ExecutorInfo Info_;
  bool Listed_ = true;
  core::TimePoint ChangedAt_{};
};

struct FleetContext {
  asio::io_context &Loop_;
  http::LoopClient &Client_;
  platform::Store &Store_;
  const platform::MachineSettings &Settings_;
  std::string PeerAddress_;
  std::string Incarnation_; ///< of this process
  core::TimePoint StartedAt_;
  work::JobTable Ledger_;
  std::optional<work::Manifest> Manifest_;
  std::map<std::string, RosterEntry, std::less<>> Roster_;
  bool Stopping_ = false;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_FLEETCONTEXT_H
