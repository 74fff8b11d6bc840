#include "masticdrift/daemon/StandbyTable.h"

#include "masticdrift/daemon/RelayTable.h"

#include <algorithm>

namespace masticdrift::daemon {

void StandbyTable::registerDaemon(const protocol::Hello &Hello, core::TimePoint Now) {
  Daemons_[Hello.PeerAddress_] = {Hello.Cores_, Now};
  std::erase_if(Daemons_,
                [Now](const auto &Entry) { return Now - Entry.second.LastSeenAt_ > RelayTimeout; });
}

bool StandbyTable::isStandby(std::string_view PeerAddress, core::TimePoint Now) const {
  const auto Found = Daemons_.find(PeerAddress);
  if (Found == Daemons_.end())
    return false;
  const auto Before = std::ranges::count_if(Daemons_, [&](const auto &Entry) {
    const bool Larger = Entry.second.Cores_ > Found->second.Cores_;
    const bool Equal = Entry.second.Cores_ == Found->second.Cores_;
    return Now - Entry.second.LastSeenAt_ <= RelayTimeout &&
           (Larger || (Equal && Entry.first < PeerAddress));
  });
  return static_cast<std::size_t>(Before) < StandbyCount;
}

} // namespace masticdrift::daemon
