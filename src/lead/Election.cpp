#include "masticdrift/lead/Election.h"

#include <algorithm>

#include <xxhash.h>

namespace masticdrift::lead {

namespace {

constexpr double SmallMachineCores = 0.2;
constexpr unsigned RanksPerSize = 8;

/// \returns the time since the leader counts as gone; negative while it does not.
core::Duration leaderGoneFor(const ElectionView &View, const ElectionTiming &Timing) {
  core::Duration Silence = View.Now_ - View.NewestReadAt_;
  if (View.NewestRecord_ == nullptr || View.NewestRecord_->Released_)
    return Silence;
  // A record that was found on start may already be old. Its age on the wall clock is only a hint,
  // which is good enough: a premature claim costs a takeover and nothing else.
  if (View.FoundOnStart_)
    Silence += std::max<core::Duration>(core::Millis(View.WallMs_ - View.NewestRecord_->WallMs_),
                                        core::Duration(0));
  if (View.LeaderUnavailable_)
    return Silence - Timing.RefusedSilenceTimeout_;
  const bool Unanswered = View.Now_ - View.LeaderAnsweredAt_ >= Timing.UnansweredSilenceTimeout_;
  return Silence - (Unanswered ? Timing.UnansweredSilenceTimeout_ : Timing.SilenceTimeout_);
}

} // namespace

bool isClaim(const LeadershipRecord &Record, std::uint64_t Offset) {
  return Record.Term_ == Offset + 1 && !Record.Released_;
}

bool isPreferredLeader(double Cores) { return Cores >= SmallMachineCores; }

unsigned claimRank(std::string_view Instance, double Cores) {
  const auto Rank =
      static_cast<unsigned>(XXH3_64bits(Instance.data(), Instance.size()) % RanksPerSize);
  return Cores < SmallMachineCores ? RanksPerSize + Rank : Rank;
}

bool isLeaderGone(const ElectionView &View, const ElectionTiming &Timing) {
  // Without access to the store a daemon cannot tell whether the leader is silent.
  if (View.Now_ - View.LastReadAt_ > Timing.SilenceTimeout_)
    return false;
  return leaderGoneFor(View, Timing) >= core::Duration(0);
}

bool shouldClaim(const ElectionView &View, const ElectionTiming &Timing) {
  if (!isLeaderGone(View, Timing))
    return false;
  const core::Duration KnownGoneFor = View.Now_ - View.LeaderGoneSince_;
  core::Duration GoneFor = leaderGoneFor(View, Timing);
  // After a start or an outage the turns of all daemons would have passed before any of them could
  // claim, so they count from when this daemon read the newest record or noticed the loss.
  if (View.FoundOnStart_)
    GoneFor = View.Now_ - View.NewestReadAt_;
  else if (GoneFor - KnownGoneFor >= Timing.RestartTurnsAfter_)
    GoneFor = KnownGoneFor;
  core::Duration StoreDelay = std::clamp<core::Duration>(
      Timing.StoreDelayFactor_ * (View.FastestStoreTime_ - Timing.NearStoreTime_),
      core::Duration(0), Timing.MaxStoreDelay_);
  // A leader hands over to a larger machine, which may be the most distant one of the last turn.
  const bool Released = View.NewestRecord_ != nullptr && View.NewestRecord_->Released_;
  if (Released && View.Rank_ >= RanksPerSize)
    StoreDelay = Timing.MaxStoreDelay_;
  return GoneFor >= Timing.ClaimInterval_ * static_cast<int>(View.Rank_) + StoreDelay;
}

} // namespace masticdrift::lead
