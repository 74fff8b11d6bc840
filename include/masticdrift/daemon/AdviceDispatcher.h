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
struct AdviceJob {
  work::TaskRef Step_;
  std::vector<std::string> Executors_;
  double ExpectedMs_ = 0;
  std::pair<int, core::TimePoint> Urgency_; ///< lower goes first
};

/// Decides which call goes to which daemon when. No I/O.
class AdviceDesk {
public:
  /// Carries a call out at the daemon with this peer address; empty for this one.
  using Send = std::function<void(const std::string &Adviser, AdviceJob Job)>;

  explicit AdviceDesk(Send Out) : Out_(std::move(Out)) {}

  /// A daemon can make calls. Repeated at least every \c AdviserLife.
  void offer(const std::string &Adviser, core::TimePoint Now);

  void ask(AdviceJob Job, core::TimePoint Now);

  /// A call at \p Adviser ended.
  void done(const std::string &Adviser, bool Answered, core::TimePoint Now);

  /// Hands out what can be handed out.
  void dispatch(core::TimePoint Now);

private:
  struct Adviser {
    core::TimePoint SeenAt_;
    core::TimePoint RestUntil_{};
    bool Busy_ = false;
  };
  const Send Out_;
  std::map<std::string, Adviser> Advisers_;
  std::vector<AdviceJob> Waiting_;
};

/// An adviser that was not heard from for this long is not asked.
inline constexpr core::Millis AdviserLife{1600};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ADVICEDISPATCHER_H
