/// \file
/// State of the "config" stream. Replay in offset order gives the same state on every instance.
#ifndef MASTICDRIFT_CONFIG_CONFIGSTATE_H
#define MASTICDRIFT_CONFIG_CONFIGSTATE_H

#include "masticdrift/config/Records.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::config {

/// Whether a presented key may be used.
enum class KeyStatus { Valid, Unknown, Revoked };

/// Result of looking up a presented key.
struct KeyLookup {
  KeyStatus Status_ = KeyStatus::Unknown;
  std::string Team_;  ///< set when the status is Valid or Revoked
  std::string KeyId_; ///< set when the status is Valid or Revoked
};

/// A granted key, without its hash.
struct KeyInfo {
  std::string KeyId_, Team_;
  std::string GrantedBy_;
  std::int64_t GrantedMs_ = 0;
  bool Revoked_ = false;
  std::string RevokedBy_;
  std::int64_t RevokedMs_ = 0;
};

/// Decision on a submission.
enum class SubmitOutcome : std::uint8_t { Accepted, Conflict, Invalid };

/// Result of a submission after replay.
struct SubmitResult {
  SubmitOutcome Outcome_ = SubmitOutcome::Invalid;
  std::uint64_t Version_ = 0; ///< Accepted: its version; Conflict: the version accepted instead
  std::string WinningAuthor_; ///< Conflict: author of the version accepted instead
  std::string Message_;       ///< Invalid: the first validation error
};

/// One entry of the audit trail.
struct AuditEntry {
  std::uint64_t Offset_ = 0;
  std::int64_t WallMs_ = 0; ///< wall clock of the instance that wrote the record
  std::string Author_;
  std::string Action_; ///< submit, key_grant, key_revoke, give
  std::string Object_; ///< "version 8", a key id, or a team
  bool Accepted_ = false;
  std::string Detail_; ///< reason of a rejection, or a summary of the change
  MSGPACK_DEFINE_ARRAY(Offset_, WallMs_, Author_, Action_, Object_, Accepted_, Detail_)
};

/// One accepted version of the configuration.
struct VersionInfo {
  std::uint64_t Version_ = 0;
  std::uint64_t Offset_ = 0;
  std::string Author_, SubmissionId_;
  std::int64_t WallMs_ = 0;
  std::vector<std::string> Changes_; ///< first lines of diff() against the previous version
  MSGPACK_DEFINE_ARRAY(Version_, Offset_, Author_, SubmissionId_, WallMs_, Changes_)
};

/// State that replay of the "config" stream builds. All functions are thread-safe; apply() and
/// load() are called by one thread only.
///
/// The newest MaxRetainedEntries audit entries, versions and submission results are retained. Older
/// ones are dropped deterministically, so that all instances hold the same state.
class ConfigState {
public:
  /// About two days at the target load of 2,400 changes a day; under 2 MB in a snapshot.
  static constexpr std::size_t MaxRetainedEntries = 5000;

  ConfigState();
  ConfigState(const ConfigState &) = delete;
  ConfigState &operator=(const ConfigState &) = delete;
  ~ConfigState();

  /// Applies one record. Ignores positions at or before the last applied one, ConfigSnapshot
  /// records, record types of other streams and records that cannot be decoded.
  ///
  /// \returns true when the configuration version or the set of valid keys changed.
  bool apply(std::uint64_t Offset, std::uint32_t Index, const journal::Entry &Entry);

  /// \returns the serialized state, including the position of the last applied record.
  std::string encode() const;

  /// Replaces the state by one from encode().
  ///
  /// \returns false, with the state unchanged, when the bytes are malformed or the encoded position
  /// is not after the current one; a snapshot therefore never reverts the state.
  bool load(std::string_view Bytes);

  /// \returns the configuration in force; never null. Version_ is 0 before the first version.
  std::shared_ptr<const Configuration> current() const;
  /// \returns the number of the version in force, 0 for none.
  std::uint64_t version() const;
  /// \returns the canonical text of the version in force, empty for none.
  std::string text() const;
  /// \returns the offset of the last applied record, or nothing before the first.
  std::optional<std::uint64_t> appliedOffset() const;

  /// Looks up a key by its id and compares its hash in constant time. A key whose team is not in
  /// the current configuration is reported as Unknown.
  KeyLookup findKey(std::string_view PresentedKey) const;
  /// \returns the key with this id, also when it is revoked; nothing when the id is unknown.
  std::optional<KeyInfo> key(std::string_view KeyId) const;
  /// \returns all keys, ordered by id.
  std::vector<KeyInfo> keys() const;

  /// \returns the result of a submission; nothing when its record has not been replayed or its
  /// result is no longer retained.
  std::optional<SubmitResult> result(std::string_view SubmissionId) const;
  /// \returns accepted versions, oldest first.
  std::vector<VersionInfo> history() const;
  /// \returns the audit trail, oldest first.
  std::vector<AuditEntry> audit() const;

  /// \returns the part of the team's limit that \p Domain may use: its part of the split plus all
  /// transfers made under the current limit. Zero for unknown names. The allotments of all domains
  /// sum to the limit.
  Limit allotment(std::string_view Team, std::string_view Domain) const;
  /// \returns the version in which the team's limit or the set of domains last changed; 0 for an
  /// unknown team. AllotmentTransfer records carry it.
  std::uint64_t limitVersion(std::string_view Team) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::config

#endif // MASTICDRIFT_CONFIG_CONFIGSTATE_H
