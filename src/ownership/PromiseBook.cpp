#include "masticdrift/ownership/PromiseBook.h"

#include <algorithm>

namespace masticdrift::ownership {

bool PromiseBook::promise(std::uint64_t Version, core::TimePoint Now) {
  if (Closed_ || (HasBlock_ && Version <= Blocked_))
    return false;
  Until_ = std::max(Until_.value_or(Now), Now + Length_);
  return true;
}

void PromiseBook::block(std::uint64_t Version) {
  Blocked_ = HasBlock_ ? std::max(Blocked_, Version) : Version;
  HasBlock_ = true;
}

} // namespace masticdrift::ownership
