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

/// A member of the domain.
struct DomainMember {
  std::uint64_t Incarnation_ = 0;
  std::string Address_;
  std::uint64_t JoinOffset_ = 0;
  MSGPACK_DEFINE_ARRAY(Incarnation_, Address_, JoinOffset_)
  bool operator==(const DomainMember &) const = default;
};

/// Replayed state; goes into snapshots as it is.
struct ClaimState {
  std::uint64_t Term_ = 0;
  std::string Owner_; ///< empty before the first claim and after a release
  std::uint64_t OwnerIncarnation_ = 0;
  /// Offset of the last valid Claim, Renew or Release, or of the last record that removed a
  /// member. Removals count because a consent given by a removed member must not be used any more.
  std::uint64_t Version_ = 0;
  std::uint64_t OwnerReadOffset_ = 0; ///< prefix that the owner is known to have read
  std::uint64_t AppliedOffset_ = 0;   ///< last offset applied
  bool Released_ = false;             ///< the last owner released the lease
  std::map<std::string, DomainMember> Members_;
  MSGPACK_DEFINE_ARRAY(Term_, Owner_, OwnerIncarnation_, Version_, OwnerReadOffset_, AppliedOffset_,
                       Released_, Members_)
  bool operator==(const ClaimState &) const = default;
};

/// What a record did.
enum class ClaimEvent { Ignored, MembersChanged, Claimed, Renewed, Released };

/// Result of applying one record.
struct ApplyResult {
  ClaimEvent Event_ = ClaimEvent::Ignored;
  bool VersionChanged_ = false;
  std::string Instance_;          ///< author of a Claim, Renew or Release
  std::uint64_t Incarnation_ = 0; ///< of the author
  std::uint64_t Nonce_ = 0;       ///< of a Claim or Renew
};

/// Replays records in offset order. Pure; the same input gives the same state everywhere.
class ClaimTable {
public:
  /// \param CheckVersion false only in tests that show what the version prevents.
  explicit ClaimTable(bool CheckVersion = true) : CheckVersion_(CheckVersion) {}

  /// Applies one record. Records of other types and malformed ones only advance the position.
  ApplyResult apply(std::uint64_t Offset, journal::RecordType Type, std::string_view Body);

  const ClaimState &state() const { return State_; }
  void restore(ClaimState State) { State_ = std::move(State); }

  /// \returns whether this incarnation is a member.
  bool isMember(std::string_view Instance, std::uint64_t Incarnation) const;

  /// Members of which one has to consent before \p Instance may claim.
  ///
  /// The owner's member view is at least the prefix OwnerReadOffset_. Any view that the owner can
  /// have contains all members that joined in that prefix, or, when none is left of them, the
  /// member that joined first (an owner without other members cannot use promises).
  /// \returns an empty list when \p Instance is such a member itself or no consent is needed.
  std::vector<std::string> requiredConsenters(std::string_view Instance) const;

private:
  bool CheckVersion_;
  ClaimState State_;
};

} // namespace masticdrift::ownership

#endif // MASTICDRIFT_OWNERSHIP_CLAIMTABLE_H
