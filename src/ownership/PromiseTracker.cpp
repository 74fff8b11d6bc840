#include "masticdrift/ownership/PromiseTracker.h"

#include <algorithm>

namespace masticdrift::ownership {

bool PromiseTracker::grant(std::uint64_t Version, core::TimePoint Now) {
  if (RefusesAll_ || (HasBlockedVersion_ && Version <= BlockedVersion_))
    return false;
  Until_ = std::max(Until_.value_or(Now), Now + Length_);
  return true;
}

void PromiseTracker::blockVersion(std::uint64_t Version) {
  BlockedVersion_ = HasBlockedVersion_ ? std::max(BlockedVersion_, Version) : Version;
  HasBlockedVersion_ = true;
}

} // namespace masticdrift::ownership
