/// \file
/// Removes obsolete records from the log: the steps of a job as soon as it has ended, the job
/// itself once its state no longer has to be reported.
#ifndef MASTICDRIFT_DAEMON_RETENTION_H
#define MASTICDRIFT_DAEMON_RETENTION_H

#include "masticdrift/daemon/FleetContext.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace masticdrift::daemon {

/// Ended jobs that one append removes at most.
inline constexpr std::size_t MaxJobsPerRemoval = 200;

/// \returns the time until the next removal after one of \p Jobs ended jobs.
core::Millis pauseAfterRemoval(std::size_t Jobs);

/// Runs on the leader. A failed removal is retried; a lost one only costs space.
class Retention {
public:
  explicit Retention(FleetContext &Context) : Context_(Context) {}

  /// Schedules the removal of a job's steps; the end of the job must be durable, and all its runs
  /// over: until then a later leader needs the steps to tell what they use.
  void onJobFinished(const std::string &Id) { FinishedJobs_.push_back(Id); }

  /// Starts the removals that are due.
  ///
  /// \param WallMs wall-clock time.
  ///
  /// Cost: low while nothing is due, so it may be called often.
  void removeDue(core::TimePoint Now, std::int64_t WallMs);

private:
  void removeSpecs();
  void removeJobs(core::TimePoint Now, std::int64_t WallMs);
  void append(const char *Topic, std::vector<platform::KeyedRecord> Records,
              std::vector<std::string> RetryIds);

  FleetContext &Context_;
  std::vector<std::string> FinishedJobs_; ///< jobs whose steps are still in the log
  core::TimePoint NextSpecRemoval_{};
  core::TimePoint NextJobRemoval_{};
  int AppendsInFlight_ = 0;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_RETENTION_H
