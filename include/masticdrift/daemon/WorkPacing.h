/// \file
/// Bounds the share of the processor that a recurring piece of work takes.
#ifndef MASTICDRIFT_DAEMON_WORKPACING_H
#define MASTICDRIFT_DAEMON_WORKPACING_H

#include "masticdrift/core/Clock.h"

#include <algorithm>

namespace masticdrift::daemon {

/// When a piece of work may be done again.
struct WorkPacing {
  /// Pause after the work, in multiples of the time that it took.
  int PauseFactor_ = 1;
  /// Longest pause. Work that takes longer than its share of this gets more than its share.
  core::Millis MaxPause_{60};
  core::TimePoint NextAt_{};
};

/// \returns true when the work may be done.
inline bool mayWork(const WorkPacing &Pacing, core::TimePoint Now) { return Now >= Pacing.NextAt_; }

/// Notes that the work was done.
/// \param Begin,End when; includes the time for which the process did not run meanwhile.
inline void noteWork(WorkPacing &Pacing, core::TimePoint Begin, core::TimePoint End) {
  Pacing.NextAt_ =
      End + std::min<core::Duration>(Pacing.PauseFactor_ * (End - Begin), Pacing.MaxPause_);
}

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_WORKPACING_H
