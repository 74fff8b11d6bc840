#include "masticdrift/daemon/RelayTable.h"

namespace masticdrift::daemon {

namespace {

/// Smaller machines need their processor for their own callers.
constexpr double LeastCores = 0.2;
/// Rest of a daemon whose call failed; long enough for its offers to stop if it is gone.
constexpr core::Millis FailedRest{2000};

} // namespace

void RelayTable::offer(const protocol::Hello &From, core::TimePoint Now) {
  Relay &One = Relays_[From.PeerAddress_];
  One.Domain_ = From.Domain_;
  One.Cores_ = From.Cores_;
  One.SeenAt_ = Now;
}

void RelayTable::failed(std::string_view PeerAddress, core::TimePoint Now) {
  if (const auto Found = Relays_.find(PeerAddress); Found != Relays_.end())
    Found->second.RestUntil_ = Now + FailedRest;
}

std::string_view RelayTable::pick(std::string_view Domain, core::TimePoint Now) const {
  const std::pair<const std::string, Relay> *Best = nullptr;
  for (const auto &Each : Relays_) {
    const Relay &One = Each.second;
    if (One.Domain_ != Domain || One.Cores_ < LeastCores || Now - One.SeenAt_ > RelayLife ||
        Now < One.RestUntil_)
      continue;
    if (Best == nullptr || One.Cores_ > Best->second.Cores_)
      Best = &Each;
  }
  return Best == nullptr ? std::string_view() : std::string_view(Best->first);
}

} // namespace masticdrift::daemon
