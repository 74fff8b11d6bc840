#include "masticdrift/daemon/ConfigReaderTable.h"

#include "masticdrift/daemon/RelayTable.h"

#include <tuple>

namespace masticdrift::daemon {

namespace {

/// Time after the first hello from which on the table is complete; daemons send two a second.
constexpr core::Millis RegistrationTime{1200};

} // namespace

void ConfigReaderTable::registerDaemon(const protocol::Hello &Hello, core::TimePoint Now) {
  if (FirstHelloAt_ == core::TimePoint{})
    FirstHelloAt_ = Now;
  Daemons_[Hello.PeerAddress_] = {Hello.Domain_, Hello.LinkMbps_, Hello.Cores_, Now};
  std::erase_if(Daemons_,
                [Now](const auto &Entry) { return Now - Entry.second.LastSeenAt_ > RelayTimeout; });
}

std::optional<std::string> ConfigReaderTable::sourceFor(std::string_view PeerAddress,
                                                        core::TimePoint Now) const {
  const auto Self = Daemons_.find(PeerAddress);
  if (Self == Daemons_.end() || Now - FirstHelloAt_ < RegistrationTime)
    return std::nullopt;
  // Equal machines are told apart by their addresses, so that the choice stays the same.
  auto Reader = Self;
  for (auto Entry = Daemons_.begin(); Entry != Daemons_.end(); ++Entry) {
    const Daemon &Other = Entry->second;
    const Daemon &Best = Reader->second;
    if (Other.Domain_ == Self->second.Domain_ && Now - Other.LastSeenAt_ <= RelayTimeout &&
        std::tie(Best.LinkMbps_, Best.Cores_, Entry->first) <
            std::tie(Other.LinkMbps_, Other.Cores_, Reader->first))
      Reader = Entry;
  }
  return Reader == Self ? std::string() : Reader->first;
}

} // namespace masticdrift::daemon
