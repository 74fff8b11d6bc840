#include "masticdrift/membership/Freshness.h"

#include <algorithm>

namespace masticdrift::membership {

std::optional<core::TimePoint> unanimousAsOf(const OwnConfig &Self,
                                             std::span<const ConfigEvidence> Others,
                                             const std::set<std::string> &Members,
                                             std::size_t FleetSize, core::TimePoint Now) {
  if (!Self.ConfirmsConfig_)
    return std::nullopt;
  std::set<std::string> Missing = Members;
  Missing.erase(Self.Name_);
  std::set<std::string> Confirmed{Self.Name_};
  core::TimePoint Oldest = Now;
  for (const auto &Each : Others) {
    if (Each.Name_ == Self.Name_)
      continue;
    // A daemon that differs or is uncertain may know of a newer configuration, member or not.
    if (!Each.ConfirmsConfig_ || Each.ConfigOffset_ != Self.ConfigOffset_)
      return std::nullopt;
    Oldest = std::min(Oldest, Each.AsOf_);
    Missing.erase(Each.Name_);
    Confirmed.insert(Each.Name_);
  }
  if (!Missing.empty() || Confirmed.size() < FleetSize)
    return std::nullopt;
  return Oldest;
}

void Freshness::advance(core::TimePoint To) {
  if (!AsOf_ || To > *AsOf_)
    AsOf_ = To;
}

void Freshness::direct(core::TimePoint ReadSent) { advance(ReadSent); }

void Freshness::relayed(core::TimePoint ProbeSent, core::Duration StoreAge,
                        std::uint64_t PeerOffset, std::uint64_t OwnOffset) {
  if (StoreAge >= core::Duration::zero() && OwnOffset >= PeerOffset)
    advance(ProbeSent - StoreAge);
}

void Freshness::unanimous(core::TimePoint AsOf) { advance(AsOf); }

bool Freshness::fresh(core::TimePoint Now) const { return AsOf_ && Now - *AsOf_ <= Bound_; }

} // namespace masticdrift::membership
