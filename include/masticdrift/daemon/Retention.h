/// \file
/// Removes what is not needed any more from the log: the steps of ended jobs at once, the jobs
/// themselves after the time that their state has to be known.
#ifndef MASTICDRIFT_DAEMON_RETENTION_H
#define MASTICDRIFT_DAEMON_RETENTION_H

#include "masticdrift/daemon/FleetContext.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace masticdrift::daemon {

/// Used by the leader. What it could not remove it tries again; a lost removal costs space only.
class Retention {
public:
  explicit Retention(FleetContext &Context) : Context_(Context) {}

  /// The end of a job is durable.
  void onJobEnded(const std::string &Id) { EndedJobs_.push_back(Id); }

  /// Removes what is due; cheap when called often.
  /// \param WallMs wall clock.
  void removeDue(core::TimePoint Now, std::int64_t WallMs);

private:
  void removeSpecs();
  void removeJobs(std::int64_t WallMs);
  void append(const char *Topic, std::vector<platform::KeyedRecord> Records,
              std::vector<std::string> RetryIds);

  FleetContext &Context_;
  std::vector<std::string> EndedJobs_; ///< jobs whose steps still stand in the log
  core::TimePoint NextSpecRemoval_{};
  core::TimePoint NextJobRemoval_{};
  int AppendsInFlight_ = 0; ///< appends without an answer
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_RETENTION_H
