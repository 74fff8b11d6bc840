/// \file
/// This daemon's copy of the "config" stream: replay, freshness, submissions, keys.
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

struct ConfigReplicaOptions {
  std::string InstanceName_;
  std::uint64_t Incarnation_ = 0;
  std::size_t FleetSize_ = 0; ///< daemons of the fleet
  core::Duration FreshnessBound_ = core::Millis(5000);
  /// No submission is started when the store has not been read for this time.
  core::Duration MaxStoreAge_ = core::Millis(3000);
  core::Duration PollInterval_ = core::Millis(250);
  core::Duration BatchWindow_ = core::Millis(20);
  double AppendsPerSecond_ = 20;
  core::Duration LogRetention_ = std::chrono::hours(24);
};

struct ConfigReplicaHooks {
  /// The version in force or an allotment changed.
  std::function<void()> OnChange_;
  /// Whether this daemon writes the snapshots of the stream.
  std::function<bool()> WritesSnapshots_;
  /// Names of the members of the own domain, from its stream.
  std::function<std::set<std::string>()> Members_;
};

/// Answer to a submission, a grant or a revocation.
struct ConfigResponse {
  core::Failure Error_;       ///< none when accepted
  std::uint64_t Version_ = 0; ///< version in force after it, or the one that won
  std::string KeyId_;         ///< of a grant or revocation
  std::string Key_;           ///< of a grant: the secret, told once
};

/// Thread-safe. Callbacks run on the timer thread.
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

  /// Reads the stream as soon as possible.
  void readNow();

  const config::ConfigState &state() const;

  /// \returns whether a configuration has been loaded since the start, from the log or a peer.
  bool loaded() const;

  /// \returns whether keyed work may be accepted: the configuration was current at most the bound
  /// ago.
  bool fresh(core::TimePoint Now) const;

  /// \returns the age of the last confirmation; nothing when there was none.
  std::optional<core::Duration> age(core::TimePoint Now) const;

  /// \returns the offset up to which the stream has been applied.
  std::uint64_t offset() const;

  /// Submits a new version that builds on \p BaseVersion. A repeated \p SubmissionId has no second
  /// effect. Errors: ConfigurationInvalid and its kin, VersionConflict, StoreUnavailable (certainly
  /// not taken), AppendUnknown.
  void submit(std::string_view SubmissionId, std::string_view Text, std::uint64_t BaseVersion,
              std::string_view Author, Callback Done);

  /// Grants a new key to a team. Errors: ConfigurationInvalid for an unknown team,
  /// StoreUnavailable, AppendUnknown.
  void grant(std::string_view Team, std::string_view Author, Callback Done);

  /// Revokes a key. Errors: UnknownKey, StoreUnavailable, AppendUnknown.
  void revoke(std::string_view KeyId, std::string_view Author, Callback Done);

  /// Fills config offset, store age and confirmation of a reply to a probe.
  void fillProbeReply(protocol::ProbeReply &Reply, core::TimePoint Now) const;

  /// Takes a reply to a probe that was created at \p SentAt.
  void onProbeReply(core::TimePoint SentAt, const protocol::ProbeReply &Reply);

  /// Another daemon is about to append.
  void onPending(const protocol::Pending &Message);

  /// \returns the answer to a peer that has no access to the store.
  protocol::ConfigCopy copyForPeer(const protocol::ConfigFetch &Request) const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::replica

#endif // MASTICDRIFT_REPLICA_CONFIGREPLICA_H
