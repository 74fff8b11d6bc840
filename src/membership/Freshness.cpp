#include "masticdrift/membership/Freshness.h"

#include <algorithm>

namespace masticdrift::membership {

std::optional<core::TimePoint> confirmedAsOf(const OwnConfig &Self,
                                             std::span<const ConfigEvidence> Others,
                                             const std::set<std::string> &Members,
                                             std::size_t FleetSize, core::TimePoint Now) {
  if (!Self.ConfirmsConfig_)
    return std::nullopt;
  std::set<std::string> Missing = Members;
  Missing.erase(Self.Name_);
  std::set<std::string> Confirmed{Self.Name_};
  core::TimePoint Oldest = Now;
  for (const auto &Evidence : Others) {
    if (Evidence.Name_ == Self.Name_)
      continue;
    // A daemon with another offset or without confirmation may know a newer configuration, even if
    // it is not a member.
    if (!Evidence.ConfirmsConfig_ || Evidence.ConfigOffset_ != Self.ConfigOffset_)
      return std::nullopt;
    Oldest = std::min(Oldest, Evidence.AsOf_);
    Missing.erase(Evidence.Name_);
    Confirmed.insert(Evidence.Name_);
  }
  if (!Missing.empty() || Confirmed.size() < FleetSize)
    return std::nullopt;
  return Oldest;
}

void Freshness::advance(core::TimePoint AsOf) {
  if (!AsOf_ || AsOf > *AsOf_)
    AsOf_ = AsOf;
}

void Freshness::recordRead(core::TimePoint ReadSent) { advance(ReadSent); }

void Freshness::recordPeerReport(core::TimePoint ProbeSent, core::Duration StoreAge,
                                 std::uint64_t PeerOffset, std::uint64_t OwnOffset) {
  if (StoreAge >= core::Duration::zero() && OwnOffset >= PeerOffset)
    advance(ProbeSent - StoreAge);
}

void Freshness::recordUnanimous(core::TimePoint AsOf) { advance(AsOf); }

bool Freshness::isFresh(core::TimePoint Now) const { return AsOf_ && Now - *AsOf_ <= MaxAge_; }

} // namespace masticdrift::membership
