#include "masticdrift/lead/Election.h"

#include <algorithm>

#include <xxhash.h>

namespace masticdrift::lead {

namespace {

constexpr double SmallMachine = 0.2; // cores

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
  if (View.Newest_ == nullptr || View.Newest_->Released_)
    return true;
  core::Duration Quiet = View.Now_ - View.NewsAt_;
  // A record found on start may be old already; its age by the wall clock is only a hint, since a
  // claim that comes too early costs a takeover and nothing else.
  if (View.FoundOnStart_)
    Quiet += std::max<core::Duration>(core::Millis(View.WallMs_ - View.Newest_->WallMs_),
                                      core::Duration(0));
  return Quiet >= (View.Refused_ ? Times.SilenceWhenRefused_ : Times.Silence_);
}

bool shouldClaim(const ElectionView &View, const ElectionTiming &Times) {
  // Turns count from here and not from the last news: after an outage all would be due at once.
  const core::Duration Far =
      std::min<core::Duration>(Times.FarFactor_ * View.StoreTime_, Times.MostForFar_);
  return leaderIsGone(View, Times) &&
         View.Now_ - View.GoneSince_ >= Times.Stagger_ * static_cast<int>(View.Rank_) + Far;
}

} // namespace masticdrift::lead
