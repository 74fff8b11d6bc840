/// \file
/// State of the "config" stream, replayed in offset order with the same result everywhere.
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

enum class SubmitOutcome : std::uint8_t { Accepted, Conflict, Invalid };

/// What became of a submission.
struct SubmitResult {
  SubmitOutcome Outcome_ = SubmitOutcome::Invalid;
  std::uint64_t Version_ = 0; ///< Accepted: its version; Conflict: the version that won
  std::string WinningAuthor_; ///< Conflict: author of the version that won
  std::string Message_;       ///< Invalid: the first mistake
};

/// One line of the audit trail.
struct AuditEntry {
  std::uint64_t Offset_ = 0;
  std::int64_t WallMs_ = 0; ///< clock of the instance that wrote the record
  std::string Author_;
  std::string Action_; ///< submit, key_grant, key_revoke, give
  std::string Object_; ///< "version 8", a key id, or a team
  bool Accepted_ = false;
  std::string Detail_; ///< reason of a rejection, or what was changed
  MSGPACK_DEFINE_ARRAY(Offset_, WallMs_, Author_, Action_, Object_, Accepted_, Detail_)
};

/// One accepted version.
struct VersionInfo {
  std::uint64_t Version_ = 0;
  std::uint64_t Offset_ = 0;
  std::string Author_, SubmissionId_;
  std::int64_t WallMs_ = 0;
  std::vector<std::string> Changes_; ///< first lines of diff() to the version before
  MSGPACK_DEFINE_ARRAY(Version_, Offset_, Author_, SubmissionId_, WallMs_, Changes_)
};

/// Replayed state. All functions are thread-safe; apply() and load() are called by one thread.
///
/// Audit entries, versions and submission results are kept up to MaxRetainedEntries each; older
/// ones are dropped in the same way everywhere.
class ConfigState {
public:
  /// About two days at the target of 2,400 changes a day; under 2 MB in a snapshot.
  static constexpr std::size_t MaxRetainedEntries = 5000;

  ConfigState();
  ConfigState(const ConfigState &) = delete;
  ConfigState &operator=(const ConfigState &) = delete;
  ~ConfigState();

  /// Applies one record. Positions at or before the last applied one, ConfigSnapshot and records of
  /// other packages change nothing. Undecodable records are skipped.
  ///
  /// \returns true when the configuration version or the set of valid keys changed.
  bool apply(std::uint64_t Offset, std::uint32_t Index, const journal::Entry &Entry);

  /// \returns the whole state with the position of the last applied record.
  std::string encode() const;

  /// Replaces the state by an encoded one.
  ///
  /// \returns false, with nothing changed, when the bytes are malformed or the encoded position is
  /// not after this state's position; a snapshot therefore never reverts anything.
  bool load(std::string_view Bytes);

  /// \returns the version in force; never null. Version_ is 0 before the first version.
  std::shared_ptr<const Configuration> current() const;
  /// \returns the number of the version in force, 0 for none.
  std::uint64_t version() const;
  /// \returns the canonical text of the version in force, empty for none.
  std::string text() const;
  /// \returns the offset of the last applied record, or nothing before the first.
  std::optional<std::uint64_t> appliedOffset() const;

  /// Looks up a key by its id and compares its hash in constant time. A key whose team is not in
  /// the current configuration is Unknown.
  KeyLookup findKey(std::string_view PresentedKey) const;
  std::optional<KeyInfo> key(std::string_view KeyId) const;
  /// \returns all keys, ordered by id.
  std::vector<KeyInfo> keys() const;

  /// \returns what became of a submission; nothing when its record has not been replayed.
  std::optional<SubmitResult> result(std::string_view SubmissionId) const;
  /// \returns accepted versions, oldest first.
  std::vector<VersionInfo> history() const;
  /// \returns the audit trail, oldest first.
  std::vector<AuditEntry> audit() const;

  /// \returns what \p Domain may use of the team's limit: its part of the split, with all moves
  /// made under the current limit. Zero for unknown names. Over all domains it sums to the limit.
  Limit allotment(std::string_view Team, std::string_view Domain) const;
  /// \returns the version in which the team's limit, or the split of limits over the domains, last
  /// changed; 0 for an unknown team. Give records name it.
  std::uint64_t limitVersion(std::string_view Team) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::config

#endif // MASTICDRIFT_CONFIG_CONFIGSTATE_H
