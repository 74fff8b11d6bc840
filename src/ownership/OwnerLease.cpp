#include "masticdrift/ownership/OwnerLease.h"

#include <algorithm>

namespace masticdrift::ownership {

void OwnerLease::beginTerm(std::uint64_t Term, core::TimePoint SentAt) {
  Term_ = Term;
  Until_ = SentAt + Length_;
  Promises_.clear();
}

void OwnerLease::endTerm() {
  Term_ = 0;
  Until_ = {};
  Promises_.clear();
}

void OwnerLease::confirmRenewal(core::TimePoint SentAt) {
  if (Term_ != 0)
    Until_ = std::max(Until_, SentAt + Length_);
}

void OwnerLease::addPromise(const MemberId &Member, std::uint64_t Term, core::TimePoint SentAt) {
  if (Term_ == 0 || Term != Term_)
    return;
  auto &LatestSentAt = Promises_[Member];
  LatestSentAt = std::max(LatestSentAt, SentAt);
}

void OwnerLease::applyPromises(const std::set<MemberId> &View, const std::set<MemberId> &Evicting) {
  if (Term_ == 0)
    return;
  std::erase_if(Promises_, [&](const auto &Promise) { return !View.contains(Promise.first); });
  const bool HasStayingMember =
      std::ranges::any_of(View, [&](const MemberId &Id) { return !Evicting.contains(Id); });
  if (!HasStayingMember || Promises_.size() != View.size())
    return;
  const auto OldestPromise = std::ranges::min_element(
      Promises_, {}, [](const auto &Promise) -> const core::TimePoint & { return Promise.second; });
  Until_ = std::max(Until_, OldestPromise->second + Length_);
}

} // namespace masticdrift::ownership
