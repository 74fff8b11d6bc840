/// \file
/// Leader election: the records of the leadership topic and the decision to claim the leadership.
///
/// A claim is an append that succeeds only at the end of the topic, so exactly one of several
/// concurrent claims wins; its offset determines the term number. The leader appends heartbeats in
/// the same way. A heartbeat that fails because the topic has a newer record ends the term.
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

/// Part of the records that were written before the roster existed.
struct UnlistedExecutor {
  std::string Id_;
  std::string Address_;
  MSGPACK_DEFINE_ARRAY(Id_, Address_)
};

/// A claim, a heartbeat or a release of the leadership.
struct LeadershipRecord {
  std::string Instance_;
  std::string PeerAddress_;                ///< where other daemons reach the leader
  std::uint64_t Term_ = 0;                 ///< offset of the claim plus one
  bool Released_ = false;                  ///< the leader has given up the leadership
  std::int64_t WallMs_ = 0;                ///< time of writing on the writer's wall clock
  std::string Incarnation_;                ///< identifies the process that wrote the record
  std::vector<UnlistedExecutor> Unlisted_; ///< always empty; keeps the positions of the fields
  bool RosterComplete_ = false;            ///< no executor outside the roster may have runs
  /// The records of silent executors in the topic hold; see Silence.h.
  bool SilencesHold_ = false;
  /// The same for the records of draining executors; see Drain.h.
  bool DrainsHold_ = false;
  MSGPACK_DEFINE_ARRAY(Instance_, PeerAddress_, Term_, Released_, WallMs_, Incarnation_, Unlisted_,
                       RosterComplete_, SilencesHold_, DrainsHold_)
};

/// Timeouts and delays of the election.
struct ElectionTiming {
  core::Millis HeartbeatInterval_{700};
  /// Time without a new record after which the leader counts as gone. Covers three heartbeats plus
  /// one answer of a slow store.
  core::Millis SilenceTimeout_{2300};
  /// Silence timeout that replaces SilenceTimeout_ when the leader's process is gone (its address
  /// refuses connections) or when the leader reports that the store refuses it.
  core::Millis RefusedSilenceTimeout_{500};
  /// Silence timeout that replaces SilenceTimeout_ when the leader has not answered this daemon for
  /// as long either. Two heartbeats, or two hellos and the timeout of the second.
  core::Millis UnansweredSilenceTimeout_{1400};
  /// Delay between the claims of daemons with consecutive ranks, so that few
  /// claims are made in vain.
  core::Millis ClaimInterval_{120};
  /// Maximum delay in noticing the loss of the leader that is deducted from a daemon's claim delay.
  /// A daemon that notices the loss this late or later counts its claim delay from that time on.
  /// Equals the eight turns of the larger machines.
  core::Millis RestartTurnsAfter_{960};
  /// Multiplier from a daemon's additional store latency to its additional claim delay. A leader
  /// calls the store twice for each submission and once for each end of a run, and loses the store
  /// when the regions are cut off from each other.
  int StoreDelayFactor_ = 40;
  /// Store latency up to which a daemon's claim gets no additional delay. Above the time of a call
  /// within a region (0.9 ms one way), below that of a call between regions (8 ms).
  core::Millis NearStoreTime_{6};
  /// Maximum additional claim delay due to store latency. Equals four turns: a leader in another
  /// region is still better than none.
  core::Millis MaxStoreDelay_{480};
};

/// State on which a daemon bases its election decision.
struct ElectionView {
  core::TimePoint Now_;
  core::TimePoint LastReadAt_;                     ///< last answer to a read of the topic
  core::TimePoint NewestReadAt_;                   ///< when the newest record was read
  const LeadershipRecord *NewestRecord_ = nullptr; ///< null when the topic is empty
  std::int64_t WallMs_ = 0;
  bool FoundOnStart_ = false;          ///< the newest record is older than this process
  bool LeaderUnavailable_ = false;     ///< the leader is known to be gone or cut off from the store
  core::TimePoint LeaderAnsweredAt_{}; ///< last answer of the leader to this daemon
  unsigned Rank_ = 0;                  ///< position in the claim order
  core::TimePoint LeaderGoneSince_;    ///< when isLeaderGone() became true
  core::Duration FastestStoreTime_{0}; ///< duration of the fastest call to the store
};

/// Computes a daemon's position in the claim order from its name and the size of its machine.
///
/// \param Cores processor share of the machine. A leader of 350 executors used 0.32 cores, so
/// smaller machines claim only when no larger one does.
///
/// \returns 0 to 7 on machines with at least 0.2 cores, 8 to 15 on smaller ones.
unsigned claimRank(std::string_view Instance, double Cores);

/// \returns true when the record at \p Offset of the leadership topic begins a term; heartbeats and
/// releases continue or end one.
bool isClaim(const LeadershipRecord &Record, std::uint64_t Offset);

/// \returns true for machines that keep the data that a leader needs in memory; other machines read
/// it when they claim the leadership.
bool isPreferredLeader(double Cores);

/// \returns true when, as far as this daemon can tell, there is no leader.
bool isLeaderGone(const ElectionView &View, const ElectionTiming &Timing);

/// \returns true when this daemon should claim the leadership now: the leader is gone and the turns
/// of all daemons with lower ranks have passed.
bool shouldClaim(const ElectionView &View, const ElectionTiming &Timing);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_ELECTION_H
