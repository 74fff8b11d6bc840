#include "masticdrift/lead/RoomPlan.h"

#include <algorithm>

namespace masticdrift::lead {

void accumulateReleases(RoomAccount &Account) {
  std::ranges::sort(Account.Releases_, {}, &RoomRelease::At_);
  core::Resources Sum;
  for (RoomRelease &Release : Account.Releases_)
    Release.Amount_ = Sum += Release.Amount_;
}

core::Resources roomWithin(const RoomAccount &Account, core::TimePoint By) {
  const auto Later = std::ranges::upper_bound(Account.Releases_, By, {}, &RoomRelease::At_);
  return Later == Account.Releases_.begin() ? Account.Free_
                                            : Account.Free_ + std::prev(Later)->Amount_;
}

std::uint32_t slotsIn(const core::Resources &Room, const core::Resources &Need,
                      std::uint32_t MaxTasks) {
  const auto Available = core::amounts(Room);
  const auto Required = core::amounts(Need);
  std::int64_t Slots = MaxTasks;
  for (std::size_t I = 0; I < core::ResourceKinds; ++I)
    if (Required[I] > 0)
      Slots = std::min(Slots, Available[I] / Required[I]);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Slots, 0));
}

std::uint32_t slotsWithin(const RoomAccount &Account, const core::Resources &Need,
                          core::TimePoint By, std::uint32_t MaxTasks,
                          const core::Resources &Withheld) {
  return slotsIn(roomWithin(Account, By) - Withheld, Need, MaxTasks);
}

void claim(RoomAccount &Account, const core::Resources &Need, std::uint32_t Tasks) {
  Account.Free_ -= Need * Tasks;
}

void claim(RoomPlan &Plan, std::uint32_t Ordinal, const core::Resources &Need,
           std::uint32_t Tasks) {
  if (Tasks == 0)
    return;
  Plan.Claimed_[Ordinal] += Need * Tasks;
  for (auto &[By, Rooms] : Plan.Executors_)
    Rooms[Ordinal] -= Need * Tasks;
}

} // namespace masticdrift::lead
