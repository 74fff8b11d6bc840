#include "masticdrift/lead/Election.h"

#include <algorithm>

#include <xxhash.h>

namespace masticdrift::lead {

namespace {

constexpr double SmallMachineCores = 0.2; // cores

/// \returns for how long the leader has counted as gone; negative while it does not.
core::Duration leaderGoneFor(const ElectionView &View, const ElectionTiming &Timing) {
  core::Duration Silence = View.Now_ - View.NewestReadAt_;
  if (View.NewestRecord_ == nullptr || View.NewestRecord_->Released_)
    return Silence;
  // A record found on start may be old already; its age by the wall clock is only a hint, since a
  // claim that comes too early costs a takeover and nothing else.
  if (View.FoundOnStart_)
    Silence += std::max<core::Duration>(core::Millis(View.WallMs_ - View.NewestRecord_->WallMs_),
                                        core::Duration(0));
  return Silence -
         (View.LeaderUnavailable_ ? Timing.RefusedSilenceTimeout_ : Timing.SilenceTimeout_);
}

} // namespace

bool isPreferredLeader(double Cores) { return Cores >= SmallMachineCores; }

unsigned claimRank(std::string_view Instance, double Cores) {
  constexpr unsigned RanksPerSize = 8;
  const auto Rank =
      static_cast<unsigned>(XXH3_64bits(Instance.data(), Instance.size()) % RanksPerSize);
  return Cores < SmallMachineCores ? RanksPerSize + Rank : Rank;
}

bool isLeaderGone(const ElectionView &View, const ElectionTiming &Timing) {
  // A daemon that does not reach the store can't know whether the leader is silent.
  if (View.Now_ - View.LastReadAt_ > Timing.SilenceTimeout_)
    return false;
  return leaderGoneFor(View, Timing) >= core::Duration(0);
}

bool shouldClaim(const ElectionView &View, const ElectionTiming &Timing) {
  if (!isLeaderGone(View, Timing))
    return false;
  const core::Duration KnownGoneFor = View.Now_ - View.LeaderGoneSince_;
  core::Duration GoneFor = leaderGoneFor(View, Timing);
  // On start, and after an outage, the turns of all would be over before anyone could claim.
  if (View.FoundOnStart_)
    GoneFor = View.Now_ - View.NewestReadAt_;
  else if (GoneFor - KnownGoneFor >= Timing.RestartTurnsAfter_)
    GoneFor = KnownGoneFor;
  const core::Duration StoreDelay = std::clamp<core::Duration>(
      Timing.StoreDelayFactor_ * (View.FastestStoreTime_ - Timing.NearStoreTime_),
      core::Duration(0), Timing.MaxStoreDelay_);
  return GoneFor >= Timing.ClaimInterval_ * static_cast<int>(View.Rank_) + StoreDelay;
}

} // namespace masticdrift::lead
