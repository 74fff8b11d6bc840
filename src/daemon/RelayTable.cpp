#include "masticdrift/daemon/RelayTable.h"

#include "masticdrift/lead/Scheduler.h"

#include <algorithm>
#include <utility>

namespace masticdrift::daemon {

namespace {

/// Orders and reports of one executor take about 1 ms of processor time a second; a relay spends a
/// third of its processor on them.
constexpr double ExecutorsPerCore = 300;
/// Starts with payloads of 1 to 4 KB and reports add up to about 40 kbit/s for an executor; a relay
/// spends less than half of its link on them.
constexpr double ExecutorsPerMbps = 10;
/// A start with its payload takes up to 4.5 KB, as after a takeover, when the relays have none yet;
/// a quarter of a second of the link carries this many.
constexpr double StartsPerMbps = 7;
/// Pause of a daemon after a failed request; longer than RelayTimeout, so that a daemon that is
/// gone has timed out by then.
constexpr core::Millis FailureBackoff{2000};
/// Executors get a hold every 2 s; one without orders for this long has left.
constexpr core::Millis AssignmentLifetime{30'000};
constexpr core::Millis PruneInterval{10'000};

} // namespace

std::size_t relayCapacity(double Cores, double LinkMbps) {
  return static_cast<std::size_t>(
      std::max(1.0, std::min(Cores * ExecutorsPerCore, LinkMbps * ExecutorsPerMbps)));
}

int startLimit(std::size_t Relays, double LinkMbps) {
  constexpr int LimitOfOne = lead::SchedulerTiming{}.MaxStartsInFlight_;
  const int ByLink = std::max(LimitOfOne, static_cast<int>(LinkMbps * StartsPerMbps));
  return std::clamp(static_cast<int>(Relays) * LimitOfOne, LimitOfOne, ByLink);
}

void RelayTable::registerRelay(const protocol::Hello &Hello, core::TimePoint Now) {
  Relay &Daemon = Relays_[Hello.PeerAddress_];
  const bool WasAvailable = std::exchange(Daemon.Available_, false);
  Daemon.Domain_ = Hello.Domain_;
  Daemon.Capacity_ = relayCapacity(Hello.Cores_, Hello.LinkMbps_);
  Daemon.LastSeenAt_ = Now;
  Daemon.Available_ = isAvailable(Daemon, Now);
  if (WasAvailable || !Daemon.Available_)
    return;
  // A daemon that has come back may be larger than those that stand in for it.
  const bool LargerThanAnyInUse = std::ranges::any_of(Relays_, [&](const auto &Other) {
    return Other.second.Assigned_ > 0 && Other.second.Domain_ == Daemon.Domain_ &&
           Other.second.Capacity_ < Daemon.Capacity_;
  });
  if (LargerThanAnyInUse)
    releaseAssignments();
}

void RelayTable::markFailed(std::string_view PeerAddress, core::TimePoint Now) {
  if (const auto Entry = Relays_.find(PeerAddress); Entry != Relays_.end()) {
    Entry->second.BackoffUntil_ = Now + FailureBackoff;
    Entry->second.Available_ = false;
  }
}

bool RelayTable::isAvailable(const Relay &Daemon, core::TimePoint Now) {
  return Now - Daemon.LastSeenAt_ <= RelayTimeout && Now >= Daemon.BackoffUntil_;
}

void RelayTable::releaseAssignments() {
  RelayOf_.clear();
  for (auto &[Address, Daemon] : Relays_)
    Daemon.Assigned_ = 0;
  ActiveRelays_ = 0;
}

void RelayTable::unassign(Relay &Daemon) {
  if (--Daemon.Assigned_ == 0)
    --ActiveRelays_;
}

void RelayTable::pruneAssignments(core::TimePoint Now) {
  if (Now - PrunedAt_ < PruneInterval)
    return;
  PrunedAt_ = Now;
  std::erase_if(RelayOf_, [&](const auto &Entry) {
    if (Now - Entry.second.LastUsedAt_ < AssignmentLifetime)
      return false;
    unassign(Relays_.find(Entry.second.PeerAddress_)->second);
    return true;
  });
}

RelayTable::RelayMap::iterator RelayTable::chooseRelay(std::string_view Domain,
                                                       core::TimePoint Now) {
  auto Best = Relays_.end();
  const auto IsBetter = [](const Relay &Left, const Relay &Right) {
    const bool LeftHasRoom = Left.Assigned_ < Left.Capacity_;
    const bool RightHasRoom = Right.Assigned_ < Right.Capacity_;
    if (LeftHasRoom != RightHasRoom)
      return LeftHasRoom;
    if (LeftHasRoom)
      return Left.Capacity_ > Right.Capacity_;
    return Left.Assigned_ * Right.Capacity_ < Right.Assigned_ * Left.Capacity_;
  };
  for (auto Entry = Relays_.begin(); Entry != Relays_.end(); ++Entry)
    if (isAvailable(Entry->second, Now) && (Domain.empty() || Entry->second.Domain_ == Domain) &&
        (Best == Relays_.end() || IsBetter(Entry->second, Best->second)))
      Best = Entry;
  return Best;
}

std::string_view RelayTable::relayFor(std::string_view ExecutorId, std::string_view Domain,
                                      core::TimePoint Now) {
  pruneAssignments(Now);
  if (const auto Found = RelayOf_.find(ExecutorId); Found != RelayOf_.end()) {
    const auto Entry = Relays_.find(Found->second.PeerAddress_);
    Found->second.LastUsedAt_ = Now;
    if (isAvailable(Entry->second, Now))
      return Entry->first;
    unassign(Entry->second);
    RelayOf_.erase(Found);
  }
  auto Chosen = chooseRelay(Domain, Now);
  if (Chosen == Relays_.end())
    Chosen = chooseRelay({}, Now);
  if (Chosen == Relays_.end())
    return {};
  if (Chosen->second.Assigned_++ == 0)
    ++ActiveRelays_;
  RelayOf_.emplace(ExecutorId, Assignment{Chosen->first, Now});
  return Chosen->first;
}

bool RelayTable::isServed(std::string_view ExecutorId, std::string_view Domain,
                          core::TimePoint Now) const {
  if (const auto Found = RelayOf_.find(ExecutorId);
      Found != RelayOf_.end() && isAvailable(Relays_.find(Found->second.PeerAddress_)->second, Now))
    return true;
  return std::ranges::any_of(Relays_, [&](const auto &Entry) {
    const Relay &Daemon = Entry.second;
    return Daemon.Domain_ == Domain && Daemon.Assigned_ < Daemon.Capacity_ &&
           isAvailable(Daemon, Now);
  });
}

} // namespace masticdrift::daemon
