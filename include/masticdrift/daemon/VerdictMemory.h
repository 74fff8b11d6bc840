/// \file
/// What a daemon has learned from its calls to the advice service, for the next leader.
///
/// The service handles one call at a time for each daemon. Without this a new leader would ask for
/// everything again while all tasks wait.
#ifndef MASTICDRIFT_DAEMON_VERDICTMEMORY_H
#define MASTICDRIFT_DAEMON_VERDICTMEMORY_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/fleet/Orders.h"
#include "masticdrift/protocol/PeerMessages.h"

#include <deque>
#include <vector>

namespace masticdrift::daemon {

/// Remembers the answers of the last seconds, in bounded size.
class VerdictMemory {
public:
  /// Adds the answer to a call.
  void add(const protocol::AdviseRequest &Call, const std::vector<fleet::AdvisedExecutor> &Allowed,
           core::TimePoint Now);

  /// \returns the verdicts that are kept, the newest first.
  std::vector<protocol::KnownVerdicts> list(core::TimePoint Now) const;

  /// \returns the same, and forgets them.
  std::vector<protocol::KnownVerdicts> take(core::TimePoint Now);

private:
  struct Entry {
    protocol::KnownVerdicts Verdicts_;
    core::TimePoint AnsweredAt_;
    std::size_t Bytes_ = 0; ///< of the ids and tickets
  };
  std::deque<Entry> Entries_; ///< the oldest first
  std::size_t Bytes_ = 0;
};

/// Verdicts of older calls concern steps that have started by then, or jobs that are too late.
inline constexpr core::Millis VerdictRetention{10'000};
/// Limit of the ids and tickets of a daemon (13 ms on a link of 10 Mbit/s).
inline constexpr std::size_t MaxVerdictBytes = 16'384;

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_VERDICTMEMORY_H
