/// \file
/// State of the other daemons as reported by heartbeats.
#ifndef MASTICDRIFT_MEMBERSHIP_PEERTABLE_H
#define MASTICDRIFT_MEMBERSHIP_PEERTABLE_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Resources.h"
#include "masticdrift/membership/Freshness.h"
#include "masticdrift/protocol/Messages.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::membership {

/// A daemon as given by the list of daemons.
struct Member {
  std::string Name_;
  std::string Domain_;
  std::string Region_;
  std::string Address_; ///< "host:port" of its peer port
  bool operator==(const Member &) const = default;
};

/// A peer and its last reply.
struct Peer {
  Member Member_;
  core::TimePoint ListedSince_; ///< when it was first listed
  std::optional<core::TimePoint>
      LastAnsweredProbeSent_; ///< send time of the last probe it answered
  std::uint64_t Incarnation_ = 0;
  std::uint64_t ConfigOffset_ = 0;
  bool ConfirmsConfig_ = false;
  std::optional<core::TimePoint>
      StoreAsOf_; ///< time as of which its last complete config read was current
  std::string Owner_;
  std::uint64_t Term_ = 0;
  core::Resources Free_;
  std::int64_t FreeSlots_ = 0;
};

/// State of another domain as reported by its representative.
struct DomainView {
  std::string Domain_;
  std::string Representative_;
  core::TimePoint AsOf_;
  std::string Owner_;
  std::uint64_t Term_ = 0;
  core::Resources Free_;
  std::int64_t FreeSlots_ = 0;
  std::vector<protocol::MemberSummary> Members_;
};

/// Table of peers and other domains. Thread-safe.
class PeerTable {
public:
  PeerTable(std::string OwnName, std::string Domain);

  /// Replaces the list of daemons; the entry of this daemon is skipped.
  void setMembers(const std::vector<Member> &Members, core::TimePoint Now);

  /// Records the reply of \p Name to the probe sent at \p Sent. Ignores replies of earlier
  /// incarnations and replies that a newer one has overtaken.
  void onReply(std::string_view Name, std::uint64_t Incarnation, core::TimePoint Sent,
               const protocol::ProbeReply &Reply);

  std::vector<Peer> peers() const;
  std::optional<Peer> find(std::string_view Name) const;
  /// \returns the latest reports of other domains, by domain.
  std::map<std::string, DomainView> domains() const;

  /// \returns the time since the last probe that \p Name answered was sent or, without a reply,
  /// since it was first listed; nothing for an unknown name.
  std::optional<core::Duration> timeSinceReply(std::string_view Name, core::TimePoint Now) const;

  /// \returns the age of the last complete store read that \p Name reported; nothing for an unknown
  /// name or without such a read.
  std::optional<core::Duration> storeAge(std::string_view Name, core::TimePoint Now) const;

  /// \returns one entry per peer of this daemon's domain that has replied, for replies to other
  /// domains.
  std::vector<protocol::MemberSummary> summary(core::TimePoint Now) const;

  /// \returns the newest evidence of every other daemon in this and the other domains.
  std::vector<ConfigEvidence> evidence() const;

  /// An owner and its term, as reported by a peer.
  struct KnownOwner {
    std::string Owner_;
    std::uint64_t Term_ = 0;
  };
  /// \returns the owner of \p Domain with the highest term that any of its members reported;
  /// nothing when none reported one.
  std::optional<KnownOwner> owner(std::string_view Domain) const;

private:
  std::string OwnName_;
  std::string Domain_;
  mutable std::mutex Mutex_;
  std::map<std::string, Peer, std::less<>> Peers_;
  std::map<std::string, DomainView> Domains_;
};

} // namespace masticdrift::membership

#endif // MASTICDRIFT_MEMBERSHIP_PEERTABLE_H
