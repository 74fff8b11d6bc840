/// \file
/// Local replica of the "config" stream: replay, freshness, submissions and keys.
#ifndef MASTICDRIFT_REPLICA_CONFIGREPLICA_H
#define MASTICDRIFT_REPLICA_CONFIGREPLICA_H

#include "masticdrift/config/ConfigState.h"
#include "masticdrift/config/Key.h"
#include "masticdrift/core/Error.h"
#include "masticdrift/core/Timers.h"
#include "masticdrift/legacy/LogClient.h"
#include "masticdrift/membership/Freshness.h"
#include "masticdrift/membership/PeerTable.h"
#include "masticdrift/protocol/Link.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace masticdrift::replica {

/// Parameters of a ConfigReplica.
struct ConfigReplicaOptions {
  std::string InstanceName_;
  std::uint64_t Incarnation_ = 0;
  std::size_t FleetSize_ = 0; ///< number of daemons in the fleet
  core::Duration FreshnessBound_ = core::Millis(5000);
  /// Submissions are refused when the last complete read of the store is older than this.
  core::Duration MaxStoreAge_ = core::Millis(3000);
  core::Duration PollInterval_ = core::Millis(250);
  core::Duration BatchWindow_ = core::Millis(20);
  double AppendsPerSecond_ = 20;
  core::Duration LogRetention_ = std::chrono::hours(24);
};

/// Callbacks of a ConfigReplica.
struct ConfigReplicaHooks {
  /// Called after a new version, a change of the valid keys or a loaded snapshot.
  std::function<void()> OnChange_;
  /// Returns whether this daemon writes the snapshots of the stream.
  std::function<bool()> WritesSnapshots_;
  /// Returns the names of the members of the local domain, as its stream lists them.
  std::function<std::set<std::string>()> Members_;
};

/// Result of a submission, a grant or a revocation.
struct ConfigResponse {
  core::Failure Error_;       ///< no error when accepted
  std::uint64_t Version_ = 0; ///< version in force, or the version accepted instead on a conflict
  std::string KeyId_;         ///< id of the granted or revoked key
  std::string Key_;           ///< secret of a granted key; returned only here
};

/// Replays the "config" stream, tracks how fresh the replica is and appends changes. Thread-safe.
/// Callbacks run on the timer thread.
class ConfigReplica {
public:
  using Callback = std::function<void(ConfigResponse)>;

  ConfigReplica(ConfigReplicaOptions Options, ConfigReplicaHooks Hooks, legacy::LogClient &Log,
                core::Timers &Timers, protocol::Link &Peers, membership::PeerTable &Table);
  ConfigReplica(const ConfigReplica &) = delete;
  ConfigReplica &operator=(const ConfigReplica &) = delete;
  ~ConfigReplica();

  void start();
  void stop();

  /// Starts a read of the stream without waiting for the next poll.
  void readNow();

  /// \returns the replayed state.
  const config::ConfigState &state() const;

  /// \returns whether the state has been loaded since the start, from the log or from a peer.
  bool loaded() const;

  /// \returns whether requests with a key may be accepted: the configuration was confirmed to be
  /// current within the freshness bound.
  bool fresh(core::TimePoint Now) const;

  /// \returns the time since the configuration was last known to be current; nothing when it never
  /// was.
  std::optional<core::Duration> age(core::TimePoint Now) const;

  /// \returns the offset up to which the stream has been applied.
  std::uint64_t offset() const;

  /// Submits a new version based on \p BaseVersion. Idempotent by \p SubmissionId.
  ///
  /// Errors: ConfigurationInvalid and other validation errors, VersionConflict, StoreUnavailable
  /// (not appended), AppendUnknown.
  void submit(std::string_view SubmissionId, std::string_view Text, std::uint64_t BaseVersion,
              std::string_view Author, Callback Done);

  /// Grants a new key to a team.
  ///
  /// Errors: ConfigurationInvalid for an unknown team, Internal when no key can be generated,
  /// StoreUnavailable, AppendUnknown.
  void grant(std::string_view Team, std::string_view Author, Callback Done);

  /// Revokes a key.
  ///
  /// Errors: UnknownKey, StoreUnavailable, AppendUnknown.
  void revoke(std::string_view KeyId, std::string_view Author, Callback Done);

  /// Sets the config offset, the store age and the confirmation in a probe reply.
  void fillProbeReply(protocol::ProbeReply &Reply, core::TimePoint Now) const;

  /// Updates the freshness from a peer's reply to a probe that was created at \p SentAt.
  void onProbeReply(core::TimePoint SentAt, const protocol::ProbeReply &Reply);

  /// Handles the announcement that another daemon is about to append a record.
  void onPending(const protocol::Pending &Message);

  /// \returns the encoded state for a peer that cannot reach the store.
  protocol::ConfigCopy copyForPeer(const protocol::ConfigFetch &Request) const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::replica

#endif // MASTICDRIFT_REPLICA_CONFIGREPLICA_H
