#include "masticdrift/daemon/RelayTable.h"

namespace masticdrift::daemon {

namespace {

/// Smaller machines need their processor time for their own callers.
constexpr double MinRelayCores = 0.2;
/// Pause of a daemon after a failed request; longer than RelayTimeout, so that a daemon that is
/// gone has timed out by then.
constexpr core::Millis FailureBackoff{2000};

} // namespace

void RelayTable::registerRelay(const protocol::Hello &Hello, core::TimePoint Now) {
  Relay &Daemon = Relays_[Hello.PeerAddress_];
  Daemon.Domain_ = Hello.Domain_;
  Daemon.Cores_ = Hello.Cores_;
  Daemon.LastSeenAt_ = Now;
}

void RelayTable::markFailed(std::string_view PeerAddress, core::TimePoint Now) {
  if (const auto Entry = Relays_.find(PeerAddress); Entry != Relays_.end())
    Entry->second.BackoffUntil_ = Now + FailureBackoff;
}

std::string_view RelayTable::relayFor(std::string_view Domain, core::TimePoint Now) const {
  const std::pair<const std::string, Relay> *Best = nullptr;
  for (const auto &Entry : Relays_) {
    const Relay &Daemon = Entry.second;
    if (Daemon.Domain_ != Domain || Daemon.Cores_ < MinRelayCores ||
        Now - Daemon.LastSeenAt_ > RelayTimeout || Now < Daemon.BackoffUntil_)
      continue;
    if (Best == nullptr || Daemon.Cores_ > Best->second.Cores_)
      Best = &Entry;
  }
  return Best == nullptr ? std::string_view() : std::string_view(Best->first);
}

} // namespace masticdrift::daemon
