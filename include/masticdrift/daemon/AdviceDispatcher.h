/// \file
/// Distributes calls to the advice service over the daemons, because the service handles one call
/// at a time from each.
#ifndef MASTICDRIFT_DAEMON_ADVICEDISPATCHER_H
#define MASTICDRIFT_DAEMON_ADVICEDISPATCHER_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/fleet/Orders.h"
#include "masticdrift/lead/Scheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticdrift::daemon {

/// One call to the advice service.
struct AdviceCall {
  work::TaskRef Step_;
  std::vector<std::string> Executors_;
  double ExpectedMs_ = 0;                    ///< expected duration
  std::pair<int, core::TimePoint> Priority_; ///< lower values go first
};

/// Decides which daemon makes which call, and when. Does no I/O.
class AdviceDispatcher {
public:
  /// Makes a call at the daemon with this peer address; this daemon has the empty address.
  using SendFunction = std::function<void(const std::string &Address, AdviceCall Call)>;

  explicit AdviceDispatcher(SendFunction Send) : Send_(std::move(Send)) {}

  /// Adds a daemon that can make calls, or renews it. Must be repeated within \c AdviserTimeout.
  void registerAdviser(const std::string &Address, core::TimePoint Now);

  /// Queues a call and dispatches.
  void enqueue(AdviceCall Call, core::TimePoint Now);

  /// Marks the daemon at \p Address as free again and dispatches.
  ///
  /// \param Answered false makes the daemon pause before its next call.
  void onCallFinished(const std::string &Address, bool Answered, core::TimePoint Now);

  /// Sends waiting calls to free daemons, in the order of their priorities. A short call may follow
  /// another one before that is answered, because the way to a daemon and back takes as long as the
  /// call itself.
  void dispatch(core::TimePoint Now);

  /// \returns how many calls keep all available daemons busy, with a short one on its way and one
  /// waiting for each.
  lead::AdviceLimits limits(core::TimePoint Now) const;

private:
  struct Adviser {
    core::TimePoint LastSeenAt_;
    core::TimePoint BackoffUntil_{};
    int Calls_ = 0;        ///< without an answer
    bool HasLong_ = false; ///< one of them is long
  };
  static bool isAvailable(const std::string &Address, const Adviser &State, core::TimePoint Now);
  /// \returns the daemon that is to make a call of \p ExpectedMs, or end().
  std::map<std::string, Adviser>::iterator chooseAdviser(double ExpectedMs, core::TimePoint Now);

  const SendFunction Send_;
  std::map<std::string, Adviser> Advisers_;
  std::vector<AdviceCall> WaitingCalls_;
};

/// Daemons that were silent for longer get no calls.
inline constexpr core::Millis AdviserTimeout{1600};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ADVICEDISPATCHER_H
