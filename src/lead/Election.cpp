#include "masticdrift/lead/Election.h"

#include <algorithm>

#include <xxhash.h>

namespace masticdrift::lead {

namespace {

constexpr double SmallMachine = 0.2; // cores

/// \returns for how long the leader has counted as gone; negative while it does not.
core::Duration goneFor(const ElectionView &View, const ElectionTiming &Times) {
  core::Duration Quiet = View.Now_ - View.NewsAt_;
  if (View.Newest_ == nullptr || View.Newest_->Released_)
    return Quiet;
  // A record found on start may be old already; its age by the wall clock is only a hint, since a
  // claim that comes too early costs a takeover and nothing else.
  if (View.FoundOnStart_)
    Quiet += std::max<core::Duration>(core::Millis(View.WallMs_ - View.Newest_->WallMs_),
                                      core::Duration(0));
  return Quiet - (View.Refused_ ? Times.SilenceWhenRefused_ : Times.Silence_);
}

} // namespace

bool mayLead(double Cores) { return Cores >= SmallMachine; }

unsigned rankOf(std::string_view Instance, double Cores) {
  constexpr unsigned Places = 8;
  const auto Place = static_cast<unsigned>(XXH3_64bits(Instance.data(), Instance.size()) % Places);
  return Cores < SmallMachine ? Places + Place : Place;
}

bool leaderIsGone(const ElectionView &View, const ElectionTiming &Times) {
  // A daemon that does not reach the store can't know whether the leader is silent.
  if (View.Now_ - View.ReadAt_ > Times.Silence_)
    return false;
  return goneFor(View, Times) >= core::Duration(0);
}

bool shouldClaim(const ElectionView &View, const ElectionTiming &Times) {
  if (!leaderIsGone(View, Times))
    return false;
  const core::Duration Seen = View.Now_ - View.GoneSince_;
  core::Duration Gone = goneFor(View, Times);
  // On start, and after an outage, the turns of all would be over before anyone could claim.
  if (View.FoundOnStart_)
    Gone = View.Now_ - View.NewsAt_;
  else if (Gone - Seen >= Times.CountAnew_)
    Gone = Seen;
  const core::Duration Far =
      std::clamp<core::Duration>(Times.FarFactor_ * (View.StoreTime_ - Times.NearStore_),
                                 core::Duration(0), Times.MostForFar_);
  return Gone >= Times.Stagger_ * static_cast<int>(View.Rank_) + Far;
}

} // namespace masticdrift::lead
