/// \file
/// Spreads calls for advice over the daemons; the service takes one call at a time from each.
#ifndef MASTICDRIFT_DAEMON_ADVICEDISPATCHER_H
#define MASTICDRIFT_DAEMON_ADVICEDISPATCHER_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/fleet/Orders.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticdrift::daemon {

/// One call for advice.
struct AdviceCall {
  work::TaskRef Step_;
  std::vector<std::string> Executors_;
  double ExpectedMs_ = 0;
  std::pair<int, core::TimePoint> Priority_; ///< lower goes first
};

/// Decides which call goes to which daemon when. No I/O.
class AdviceDispatcher {
public:
  /// Carries a call out at the daemon with this peer address; empty for this one.
  using SendFunction = std::function<void(const std::string &Address, AdviceCall Call)>;

  explicit AdviceDispatcher(SendFunction Send) : Send_(std::move(Send)) {}

  /// A daemon can make calls. Repeated at least every \c AdviserTimeout.
  void registerAdviser(const std::string &Address, core::TimePoint Now);

  void enqueue(AdviceCall Call, core::TimePoint Now);

  /// A call at \p Address ended.
  void onCallFinished(const std::string &Address, bool Answered, core::TimePoint Now);

  /// Hands out what can be handed out.
  void dispatch(core::TimePoint Now);

private:
  struct Adviser {
    core::TimePoint LastSeenAt_;
    core::TimePoint BackoffUntil_{};
    bool Busy_ = false;
  };
  const SendFunction Send_;
  std::map<std::string, Adviser> Advisers_;
  std::vector<AdviceCall> WaitingCalls_;
};

/// An adviser that was not heard from for this long is not asked.
inline constexpr core::Millis AdviserTimeout{1600};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ADVICEDISPATCHER_H
