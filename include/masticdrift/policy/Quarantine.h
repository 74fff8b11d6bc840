/// \file
/// Quarantine of workers that fail every task, with probes at increasing intervals.
#ifndef MASTICDRIFT_POLICY_QUARANTINE_H
#define MASTICDRIFT_POLICY_QUARANTINE_H

#include "masticdrift/policy/Cell.h"

namespace masticdrift::policy {

/// Recent failures of one worker.
struct WorkerRecord {
  /// Distinct jobs that failed consecutively; at most ConsecutiveFailures_.
  std::vector<std::string> FailedJobs_;
  TimePoint FirstFailureAt_{};     ///< time of the first of the consecutive failures
  std::uint32_t FailedProbes_ = 0; ///< number of consecutive failed probes
  TimePoint NextProbeAt_{};
};

/// Parameters of the quarantine.
struct QuarantineRules {
  std::uint32_t ConsecutiveFailures_ = 3; ///< of distinct jobs: one job that always fails is not a
                                          ///< fault of the worker
  Duration FirstBackOff_ = std::chrono::seconds(30); ///< doubles with each failed probe
  Duration MaxBackOff_ = std::chrono::minutes(30);
};

/// Records of the workers that failed a task recently; other workers have no record.
struct Quarantine {
  QuarantineRules Rules_;
  std::unordered_map<std::string, WorkerRecord> Workers_;
};

/// Records the end of a task and updates the health of its worker in \p Cell. Ends by checkpoint,
/// stop or loss of the worker must not be recorded. The success of a task that started before the
/// first failure is ignored, because it says nothing about the worker's current state.
/// \param Started time at which the task started.
/// \returns true if the worker's health changed.
bool recordTaskEnd(Quarantine &Records, CellView &Cell, WorkerIndex HostIndex, std::string_view Job,
                   TimePoint Started, bool Succeeded, TimePoint Now);

/// Allows one probe on every quarantined worker whose back-off has expired. Call it before
/// decide(), for example every second.
/// Cost: linear in the number of workers with a record.
void allowProbes(Quarantine &Records, CellView &Cell, TimePoint Now);

/// Deletes the record of a worker that was replaced, and marks the worker as healthy.
void forgetWorker(Quarantine &Records, CellView &Cell, WorkerIndex HostIndex);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_QUARANTINE_H
