/// \file
/// Compares the leader's scheduler with the stored jobs.
#ifndef MASTICDRIFT_DAEMON_STOREDJOBCHECK_H
#define MASTICDRIFT_DAEMON_STOREDJOBCHECK_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/lead/Scheduler.h"
#include "masticdrift/work/Ledger.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace masticdrift::daemon {

/// Differences between the job table and the scheduler.
struct StoredJobGaps {
  std::vector<std::string> Unknown_;      ///< accepted and not final, unknown to the scheduler
  std::vector<std::string> NotCancelled_; ///< cancelled, and not ended in the scheduler
  std::vector<std::string> WithoutSpec_;  ///< wait for their specification for too long
  bool empty() const { return Unknown_.empty() && NotCancelled_.empty() && WithoutSpec_.empty(); }
};

/// Finds stored jobs that the scheduler does not act on. Normally there are none, because the
/// scheduler hears of every change of the job table.
class StoredJobCheck {
public:
  /// Forgets the waiting times, for a new term.
  void reset(core::TimePoint Now);

  /// \returns true when the next check is due.
  bool due(core::TimePoint Now) const { return Now >= NextAt_; }

  /// Compares the table with the scheduler.
  ///
  /// \returns the jobs that differ; a job is named again in later checks until it is taken up.
  StoredJobGaps check(const work::JobTable &Table, const lead::Scheduler &Scheduler,
                      core::TimePoint Now);

private:
  core::TimePoint NextAt_{};
  std::unordered_map<std::string, core::TimePoint> WaitingSince_; ///< jobs without specification
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_STOREDJOBCHECK_H
