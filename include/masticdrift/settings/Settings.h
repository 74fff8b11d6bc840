/// \file
/// Settings file of a daemon.
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

/// Identity of this daemon.
struct Instance {
  std::string Name_, Domain_, Region_;
};

/// A failure domain of the fleet.
struct FleetDomain {
  std::string Name_, Region_;
};

/// The fleet that this daemon belongs to.
struct Fleet {
  std::string Name_;
  std::int64_t EntryInstances_ = 0; ///< number of daemons in the whole fleet
  std::vector<FleetDomain> Domains_;
};

/// HTTP listener for callers.
struct CallerListener {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0; ///< 0: chosen by the kernel
  std::int64_t Threads_ = 4;
  std::int64_t MaxBodyBytes_ = 1 << 20;
  core::Millis ReadTimeout_{5000};
};

/// HTTP listener for operators.
struct OperatorListener {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  std::vector<std::string> KeyHashes_; ///< SHA-256 of operator keys, in lower-case hexadecimal
};

/// Listener for other daemons.
struct PeerListener {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
};

/// Services of the platform that the daemon uses.
struct Platform {
  std::string LogUrl_, InstancesUrl_;
};

/// Durations; sections 6 to 13 of the design explain them.
struct Timing {
  core::Millis ProbeOwnDomain_{1000};     ///< interval of probes to a member of the local domain
  core::Millis ProbeOtherDomain_{2000};   ///< interval of probes to each other domain
  core::Millis OwnerLease_{4000};         ///< lease and promises, from the send time of a renewal
  core::Millis OwnerRenew_{1000};         ///< interval of lease renewals
  core::Millis LeaseMargin_{500};         ///< clock margin before a claim and on worker leases
  core::Millis StoreGiveUp_{10000};       ///< store outage after which an owner gives up its lease
  core::Millis StoreReachable_{3000};     ///< largest store age of a member that reaches the store
  core::Millis ConfigurationFresh_{5000}; ///< largest age of the configuration for keyed work
  core::Millis PollStream_{1000};         ///< interval of reads of a stream
  core::Millis PollInstances_{1000};      ///< interval of reads of the instance list
  core::Millis StoreTimeout_{2000};       ///< timeout of a call to the log or the instance list
  core::Millis BatchClose_{20};           ///< time that a group commit collects records
  core::Millis StoreRetention_{86400000}; ///< retention time of the log
  core::Millis DefaultDeadline_{2000};    ///< deadline of requests that state none
  core::Millis SlotGrace_{250};           ///< time that a slot stays taken after the deadline
  core::Millis IdleConnection_{10000};    ///< idle time after which an executor connection closes
  core::Millis ConnectionLife_{60000};    ///< maximum age of an executor connection
  core::Millis EjectExecutor_{5000};      ///< time from an ejection to the first trial request
  core::Millis WorkerLease_{10000};       ///< lease of a worker's tasks
  core::Millis WorkerRenew_{3333};        ///< interval of renewals of a worker's lease
  core::Millis WorkerTimeout_{2000};      ///< timeout of a call to a worker
  core::Millis QuarantineProbe_{30000};   ///< interval of probes of a quarantined worker
  core::Millis EvictMember_{30000};       ///< silence after which a member is evicted
  core::Millis StopGrace_{30000};         ///< longest wait of a graceful stop
};

/// Limits on load and concurrency.
struct Limits {
  std::int64_t QueuePerTeam_ = 200; ///< waiting interactive requests per team
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
  /// Peer addresses ("host:port") by instance name; they override the instance list.
  std::map<std::string, std::string, std::less<>> Routes_;
  Timing Timing_;
  Limits Limits_;
  std::string LogLevel_ = "info"; ///< debug, info, warning or error
};

/// Description of one setting.
struct SettingInfo {
  std::string Pointer_;                   ///< JSON pointer; "*" matches any element or key
  std::string_view Type_;                 ///< string, integer, choice
  std::string_view Unit_;                 ///< empty when the setting has no unit
  std::optional<std::int64_t> Min_, Max_; ///< inclusive range of integers
  std::string Default_;                   ///< as JSON; empty when the setting is required
  std::string_view Help_;
};

/// \returns all settings in the order of the documentation, with the ranges that parse() enforces.
std::span<const SettingInfo> settingTable();

/// \returns the table as Markdown, for docs/settings.md.
std::string settingTableMarkdown();

/// Result of parse().
struct ParsedSettings {
  Settings Settings_; ///< valid only when Errors_ is empty
  std::vector<ValidationError> Errors_;
};

/// Parses and validates a settings text.
ParsedSettings parse(std::string_view Text);

} // namespace masticdrift::settings

#endif // MASTICDRIFT_SETTINGS_SETTINGS_H
