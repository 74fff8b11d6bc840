/// \file
/// Settings of one daemon.
#ifndef MASTICDRIFT_SETTINGS_SETTINGS_H
#define MASTICDRIFT_SETTINGS_SETTINGS_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/settings/Reader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::settings {

struct Instance {
  std::string Name_, Domain_, Region_;
};

struct FleetDomain {
  std::string Name_, Region_;
};

struct Fleet {
  std::string Name_;
  std::int64_t EntryInstances_ = 0; ///< daemons of the whole fleet
  std::vector<FleetDomain> Domains_;
};

/// Listener for callers.
struct CallerListener {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0; ///< 0: chosen by the kernel
  std::int64_t Threads_ = 4;
  std::int64_t MaxBodyBytes_ = 1 << 20;
  core::Millis ReadTimeout_{5000};
};

/// Listener for operators.
struct OperatorListener {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  std::vector<std::string> KeyHashes_; ///< SHA-256 of operator keys, hex in lower case
};

/// Listener for other daemons.
struct PeerListener {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
};

struct Platform {
  std::string LogUrl_, InstancesUrl_;
};

/// Durations of sections 6 to 13 of the design page.
struct Timing {
  core::Millis ProbeOwnDomain_{1000};     ///< between probes to a member of the own domain
  core::Millis ProbeOtherDomain_{2000};   ///< between probes to another domain
  core::Millis OwnerLease_{4000};         ///< from the send time of a renewal; also of promises
  core::Millis OwnerRenew_{1000};         ///< between renewals
  core::Millis LeaseMargin_{500};         ///< added by claimants and to worker leases
  core::Millis StoreGiveUp_{10000};       ///< an owner without the store this long gives up
  core::Millis StoreReachable_{3000};     ///< a member counts as reaching the store below this age
  core::Millis ConfigurationFresh_{5000}; ///< bound of the configuration's age for keyed work
  core::Millis PollStream_{1000};         ///< between reads of a stream
  core::Millis PollInstances_{1000};      ///< between reads of the instance list
  core::Millis StoreTimeout_{2000};       ///< one exchange with the log or instance list
  core::Millis BatchClose_{20};           ///< a group commit closes after this time
  core::Millis StoreRetention_{86400000}; ///< how long the log keeps records
  core::Millis DefaultDeadline_{2000};    ///< of requests that name none
  core::Millis SlotGrace_{250};           ///< a slot stays taken this long after the deadline
  core::Millis IdleConnection_{10000};    ///< idle executor connections are closed
  core::Millis ConnectionLife_{60000};    ///< every executor connection is closed
  core::Millis EjectExecutor_{5000};      ///< an ejected executor gets its first trial request
  core::Millis WorkerLease_{10000};       ///< lease of a worker's tasks
  core::Millis WorkerRenew_{3333};        ///< between renewals of a worker's lease
  core::Millis WorkerTimeout_{2000};      ///< one exchange with a worker
  core::Millis QuarantineProbe_{30000};   ///< between probes of a quarantined worker
  core::Millis EvictMember_{30000};       ///< an unheard member is evicted
  core::Millis StopGrace_{30000};         ///< a graceful stop waits at most this long
};

struct Limits {
  std::int64_t QueuePerTeam_ = 200; ///< interactive requests waiting per team
  core::Millis MaxDeadline_{5000};  ///< longest request deadline
  std::int64_t SlotsPerExecutor_ = 8;
  std::int64_t ConnectionsPerExecutor_ = 16;
  std::int64_t AppendsPerSecond_ = 20;
  std::int64_t RetryPercent_ = 10; ///< retries per hundred requests
};

/// All settings of one daemon.
struct Settings {
  Instance Instance_;
  Fleet Fleet_;
  CallerListener Caller_;
  OperatorListener Operator_;
  PeerListener Peer_;
  Platform Platform_;
  /// Addresses ("host:port") that replace the listed peer address of the named instances.
  std::map<std::string, std::string, std::less<>> Routes_;
  Timing Timing_;
  Limits Limits_;
  std::string LogLevel_ = "info"; ///< debug, info, warning or error
};

/// One row of the table of all settings.
struct SettingInfo {
  std::string Pointer_;                   ///< JSON pointer; "*" stands for any element or key
  std::string_view Type_;                 ///< string, integer, choice
  std::string_view Unit_;                 ///< empty without a unit
  std::optional<std::int64_t> Min_, Max_; ///< inclusive range of integers
  std::string Default_;                   ///< as JSON; empty for required settings
  std::string_view Help_;
};

/// \returns every setting in the order of the documentation. parse() checks ranges against it.
std::span<const SettingInfo> settingTable();

/// \returns the table as Markdown, for docs/settings.md.
std::string settingTableMarkdown();

struct ParsedSettings {
  Settings Settings_; ///< meaningful only without mistakes
  std::vector<ValidationError> Errors_;
};

/// Reads and checks a settings text.
ParsedSettings parse(std::string_view Text);

} // namespace masticdrift::settings

#endif // MASTICDRIFT_SETTINGS_SETTINGS_H
