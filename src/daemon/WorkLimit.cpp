#include "masticdrift/daemon/WorkLimit.h"

#include "masticdrift/daemon/MachineShares.h"

#include <algorithm>

namespace masticdrift::daemon {

namespace {

/// Time for which a machine counts after it was last heard of: a daemon that is cut off or restarts
/// may lead when it is back.
constexpr core::Millis ShareRetention{600'000};
/// Addresses that are kept. Daemons that were replaced leave theirs behind.
constexpr std::size_t MaxShares = 4096;

} // namespace

void WorkLimit::noteDaemon(const std::string &PeerAddress, std::size_t Bytes, core::TimePoint Now) {
  if (Bytes == 0)
    return;
  if (Shares_.size() >= MaxShares && !Shares_.contains(PeerAddress))
    std::erase_if(
        Shares_, [Now](const auto &Entry) { return Now - Entry.second.NotedAt_ > ShareRetention; });
  if (Shares_.size() < MaxShares || Shares_.contains(PeerAddress))
    Shares_[PeerAddress] = {std::max(Bytes, sharesOf(0, 0).AcceptedWorkBytes_), Now};
}

std::size_t WorkLimit::current(core::TimePoint Now) const {
  std::size_t Limit = OwnBytes_;
  for (const auto &[Address, Share] : Shares_)
    if (Now - Share.NotedAt_ <= ShareRetention)
      Limit = std::min(Limit, Share.Bytes_);
  return Limit;
}

} // namespace masticdrift::daemon
