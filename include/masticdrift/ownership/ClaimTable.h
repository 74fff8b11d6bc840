/// \file
/// Replay of the ownership records of one domain stream (design, section 8).
#ifndef MASTICDRIFT_OWNERSHIP_CLAIMTABLE_H
#define MASTICDRIFT_OWNERSHIP_CLAIMTABLE_H

#include "masticdrift/ownership/Records.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::ownership {

/// One daemon that is a member of the domain.
struct DomainMember {
  std::uint64_t Incarnation_ = 0;
  std::string Address_;
  std::uint64_t JoinOffset_ = 0;
  MSGPACK_DEFINE_ARRAY(Incarnation_, Address_, JoinOffset_)
  bool operator==(const DomainMember &) const = default;
};

/// Replayed ownership state of a domain; snapshots store it in this form.
struct ClaimState {
  std::uint64_t Term_ = 0;
  std::string Owner_; ///< empty before the first claim and after a release
  std::uint64_t OwnerIncarnation_ = 0;
  /// Offset of the last valid Claim, Renew or Release, or of the last record that removed a
  /// member. Removals count because a consent that a removed member gave must not be used any more.
  std::uint64_t Version_ = 0;
  std::uint64_t OwnerReadOffset_ = 0; ///< the owner has read all records up to here, or more
  std::uint64_t AppliedOffset_ = 0;   ///< offset of the last applied record
  bool Released_ = false;             ///< the last owner released the lease
  std::map<std::string, DomainMember> Members_;
  MSGPACK_DEFINE_ARRAY(Term_, Owner_, OwnerIncarnation_, Version_, OwnerReadOffset_, AppliedOffset_,
                       Released_, Members_)
  bool operator==(const ClaimState &) const = default;
};

/// Effect of a record.
enum class ClaimEvent { Ignored, MembersChanged, Claimed, Renewed, Released };

/// Result of applying one record.
struct ApplyResult {
  ClaimEvent Event_ = ClaimEvent::Ignored;
  bool VersionChanged_ = false;
  std::string Instance_;          ///< author of a Claim, Renew or Release
  std::uint64_t Incarnation_ = 0; ///< incarnation of the author
  std::uint64_t Nonce_ = 0;       ///< nonce of a Claim or Renew
};

/// Replays ownership records in offset order. Deterministic: the same records give the same state
/// at every daemon.
class ClaimTable {
public:
  /// \param CheckVersion whether a Claim must name the current version; false only in tests, which
  /// show the faults that the check prevents.
  explicit ClaimTable(bool CheckVersion = true) : CheckVersion_(CheckVersion) {}

  /// Applies one record. Records of other types and malformed ones only advance the applied offset.
  ApplyResult apply(std::uint64_t Offset, journal::RecordType Type, std::string_view Body);

  const ClaimState &state() const { return State_; }
  /// Replaces the state by that of a snapshot.
  void restore(ClaimState State) { State_ = std::move(State); }

  /// \returns whether this incarnation of the instance is a member.
  bool isMember(std::string_view Instance, std::uint64_t Incarnation) const;

  /// Lists the members of which at least one must consent before \p Instance may claim.
  ///
  /// The owner has read at least all records up to OwnerReadOffset_. So its member list contains
  /// all members that joined up to there or, if none of them is left, the member that joined first
  /// (an owner without other members cannot use promises).
  ///
  /// \returns the members; empty if \p Instance is one of them or no consent is needed.
  std::vector<std::string> requiredConsenters(std::string_view Instance) const;

private:
  bool CheckVersion_;
  ClaimState State_;
};

} // namespace masticdrift::ownership

#endif // MASTICDRIFT_OWNERSHIP_CLAIMTABLE_H
