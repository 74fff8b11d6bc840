#include "masticdrift/ownership/OwnerLease.h"

#include <algorithm>

namespace masticdrift::ownership {

void OwnerLease::begin(std::uint64_t Term, core::TimePoint Sent) {
  Term_ = Term;
  Until_ = Sent + Length_;
  Promises_.clear();
}

void OwnerLease::end() {
  Term_ = 0;
  Until_ = {};
  Promises_.clear();
}

void OwnerLease::confirm(core::TimePoint Sent) {
  if (Term_ != 0)
    Until_ = std::max(Until_, Sent + Length_);
}

void OwnerLease::promised(const MemberId &From, std::uint64_t Term, core::TimePoint Sent) {
  if (Term_ == 0 || Term != Term_)
    return;
  auto &Latest = Promises_[From];
  Latest = std::max(Latest, Sent);
}

void OwnerLease::applyPromises(const std::set<MemberId> &View, const std::set<MemberId> &Leaving) {
  if (Term_ == 0)
    return;
  std::erase_if(Promises_, [&](const auto &Entry) { return !View.contains(Entry.first); });
  const bool Stays =
      std::ranges::any_of(View, [&](const MemberId &Each) { return !Leaving.contains(Each); });
  if (!Stays || Promises_.size() != View.size())
    return;
  const auto Oldest = std::ranges::min_element(
      Promises_, {}, [](const auto &Entry) -> const core::TimePoint & { return Entry.second; });
  Until_ = std::max(Until_, Oldest->second + Length_);
}

} // namespace masticdrift::ownership
