/// \file
/// What this daemon knows of every other daemon, from heartbeats.
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

/// A daemon as listed from outside.
struct Member {
  std::string Name_;
  std::string Domain_;
  std::string Region_;
  std::string Address_; ///< "host:port" of its peer port
  bool operator==(const Member &) const = default;
};

/// One peer and its last reply.
struct Peer {
  Member Member_;
  core::TimePoint ListedSince_; ///< when it was first listed
  std::optional<core::TimePoint>
      LastAnsweredProbeSent_; ///< send time of the last probe it answered
  std::uint64_t Incarnation_ = 0;
  std::uint64_t ConfigOffset_ = 0;
  bool ConfirmsConfig_ = false;
  std::optional<core::TimePoint> StoreAsOf_; ///< its last complete config read, at the latest
  std::string Owner_;
  std::uint64_t Term_ = 0;
  core::Resources Free_;
  std::int64_t FreeSlots_ = 0;
};

/// What the representative of another domain reported.
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

/// Table of peers. Thread-safe.
class PeerTable {
public:
  PeerTable(std::string Self, std::string Domain);

  /// Replaces the list of daemons; this daemon itself is skipped.
  void setMembers(const std::vector<Member> &Members, core::TimePoint Now);

  /// Records the reply of \p Name to a probe sent at \p Sent.
  void onReply(std::string_view Name, std::uint64_t Incarnation, core::TimePoint Sent,
               const protocol::ProbeReply &Reply);

  std::vector<Peer> peers() const;
  std::optional<Peer> find(std::string_view Name) const;
  /// \returns the latest reports of other domains, by domain.
  std::map<std::string, DomainView> domains() const;

  /// \returns how long \p Name has not replied; nothing for an unknown name.
  std::optional<core::Duration> timeSinceReply(std::string_view Name, core::TimePoint Now) const;

  /// \returns the age of the store read that \p Name reported, grown by the time since; nothing
  /// when it never reached the store.
  std::optional<core::Duration> storeAge(std::string_view Name, core::TimePoint Now) const;

  /// \returns one entry for each peer of the own domain, for replies to other domains.
  std::vector<protocol::MemberSummary> summary(core::TimePoint Now) const;

  /// \returns the newest evidence of every other daemon, own domain and others.
  std::vector<ConfigEvidence> evidence() const;

  /// Owner of \p Domain with the highest term that any peer reported.
  struct KnownOwner {
    std::string Owner_;
    std::uint64_t Term_ = 0;
  };
  std::optional<KnownOwner> owner(std::string_view Domain) const;

private:
  std::string Self_;
  std::string Domain_;
  mutable std::mutex Mutex_;
  std::map<std::string, Peer, std::less<>> Peers_;
  std::map<std::string, DomainView> Domains_;
};

} // namespace masticdrift::membership

#endif // MASTICDRIFT_MEMBERSHIP_PEERTABLE_H
