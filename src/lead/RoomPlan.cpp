#include "masticdrift/lead/RoomPlan.h"

#include <algorithm>

namespace masticdrift::lead {

void accumulateReleases(RoomAccount &Account) {
  std::ranges::sort(Account.Releases_, {}, &RoomRelease::After_);
  core::Resources Sum;
  for (RoomRelease &Release : Account.Releases_)
    Release.Amount_ = Sum += Release.Amount_;
}

core::Resources roomWithin(const RoomAccount &Account, core::Duration Horizon) {
  const auto Later = std::ranges::upper_bound(Account.Releases_, Horizon, {}, &RoomRelease::After_);
  return Later == Account.Releases_.begin() ? Account.Free_
                                            : Account.Free_ + std::prev(Later)->Amount_;
}

std::uint32_t slotsWithin(const RoomAccount &Account, const core::Resources &Need,
                          core::Duration Horizon, std::uint32_t MaxTasks,
                          const core::Resources &Withheld) {
  const auto Available = core::amounts(roomWithin(Account, Horizon) - Withheld);
  const auto Required = core::amounts(Need);
  std::int64_t Slots = MaxTasks;
  for (std::size_t I = 0; I < core::ResourceKinds; ++I)
    if (Required[I] > 0)
      Slots = std::min(Slots, Available[I] / Required[I]);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Slots, 0));
}

void claim(RoomAccount &Account, const core::Resources &Need, std::uint32_t Tasks) {
  Account.Free_ -= Need * Tasks;
}

} // namespace masticdrift::lead
