/// \file
/// Who leads: records of the leadership topic and the decision to claim it.
///
/// A claim is an append that holds only at the end of the topic, so one of several claims wins and
/// its offset numbers the term. The leader appends a beat the same way; a beat that finds another
/// end shows that the term is over.
#ifndef MASTICDRIFT_LEAD_ELECTION_H
#define MASTICDRIFT_LEAD_ELECTION_H

#include "masticdrift/core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::lead {

/// An executor without an entry in the list on which runs may go on.
struct UnlistedExecutor {
  std::string Id_;
  std::string Address_;
  MSGPACK_DEFINE_ARRAY(Id_, Address_)
};

/// A claim, a beat or a release of the leadership.
struct LeadershipRecord {
  std::string Instance_;
  std::string PeerAddress_;                ///< where other daemons reach the leader
  std::uint64_t Term_ = 0;                 ///< the claim's offset plus one
  bool Released_ = false;                  ///< the leader has given up
  std::int64_t WallMs_ = 0;                ///< when it was written, the writer's wall clock
  std::string Incarnation_;                ///< of the writing process
  std::vector<UnlistedExecutor> Unlisted_; ///< a later leader must account for these too
  MSGPACK_DEFINE_ARRAY(Instance_, PeerAddress_, Term_, Released_, WallMs_, Incarnation_, Unlisted_)
};

/// Times of the election.
struct ElectionTiming {
  core::Millis HeartbeatInterval_{700};
  /// Three beats and a slow store's answer.
  core::Millis SilenceTimeout_{2300};
  /// Silence that is enough when the leader's address refuses connections, because its process is
  /// gone, or when it says that the store refuses it.
  core::Millis RefusedSilenceTimeout_{500};
  /// Between the claims of different daemons, so that most are not made in vain.
  core::Millis ClaimInterval_{120};
  /// When a daemon sees that the leader has been gone for this long already, the eight turns of the
  /// larger machines, turns count from then.
  core::Millis RestartTurnsAfter_{960};
  /// A daemon's turn comes this many times as much later as a call to the store takes it more than
  /// within a region: a leader makes two for each submission and one for each end, and loses the
  /// store when the regions are cut from each other.
  int StoreDelayFactor_ = 40;
  /// Above a call within a region (0.9 ms one way), below one between regions (8 ms).
  core::Millis NearStoreTime_{6};
  core::Millis MaxStoreDelay_{480}; ///< four turns; a far daemon is still better than none
};

/// What a daemon knows when it decides.
struct ElectionView {
  core::TimePoint Now_;
  core::TimePoint LastReadAt_;                     ///< last answer to a read of the topic
  core::TimePoint NewestReadAt_;                   ///< when the newest record was read
  const LeadershipRecord *NewestRecord_ = nullptr; ///< null when the topic is empty
  std::int64_t WallMs_ = 0;
  bool FoundOnStart_ = false;          ///< the newest record was there when this process began
  bool LeaderUnavailable_ = false;     ///< the leader is known to be gone or cut off
  unsigned Rank_ = 0;                  ///< place in the order of claims
  core::TimePoint LeaderGoneSince_;    ///< since when leaderIsGone() has been true
  core::Duration FastestStoreTime_{0}; ///< that the fastest call to the store took
};

/// A daemon's place in the order of claims.
///
/// \param Cores processor share of its machine. A leader of 350 executors used 0.32 cores, so
/// smaller machines claim only when no larger one does. \returns 0 to 7 on machines of at least 0.2
/// cores, 8 to 15 on smaller ones.
unsigned claimRank(std::string_view Instance, double Cores);

/// \returns true for machines that hold ready what a leader needs; others read it when they claim.
bool isPreferredLeader(double Cores);

/// \returns true when there is no leader, as far as this daemon can know.
bool isLeaderGone(const ElectionView &View, const ElectionTiming &Timing);

/// \returns true when this daemon should claim the leadership now: the leader is gone, and daemons
/// with a lower rank have had their turns.
bool shouldClaim(const ElectionView &View, const ElectionTiming &Timing);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_ELECTION_H
