/// \file
/// Workers that fail every task get no work but probes with back-off.
#ifndef MASTICDRIFT_POLICY_QUARANTINE_H
#define MASTICDRIFT_POLICY_QUARANTINE_H

#include "masticdrift/policy/Cell.h"

namespace masticdrift::policy {

/// Record of one worker.
struct WorkerRecord {
  std::vector<std::string> FailedJobs_; ///< different jobs that failed in a row, at most the bound
  TimePoint FirstFailureAt_{};          ///< of the failures in a row
  std::uint32_t FailedProbes_ = 0;      ///< in a row
  TimePoint NextProbeAt_{};
};

struct QuarantineRules {
  std::uint32_t ConsecutiveFailures_ = 3; ///< of different jobs: a job that always fails is not a
                                          ///< fault of the worker
  Duration FirstBackOff_ = std::chrono::seconds(30); ///< doubles with each failed probe
  Duration MaxBackOff_ = std::chrono::minutes(30);
};

/// Records of the workers that failed a task recently; workers without failures have none.
struct Quarantine {
  QuarantineRules Rules_;
  std::unordered_map<std::string, WorkerRecord> Workers_;
};

/// Records the end of a task and changes the health of its worker in \p Cell. Ends by checkpoint,
/// stop or loss of the worker must not be recorded. The success of a task that started before the
/// first failure says nothing about the worker's present state and is ignored.
/// \param Started when the task started.
/// \returns true when the worker's health changed.
bool recordTaskEnd(Quarantine &Records, CellView &Cell, WorkerIndex HostIndex, std::string_view Job,
                   TimePoint Started, bool Succeeded, TimePoint Now);

/// Opens the workers whose back-off is over for one probe. Call it before decide(), for example
/// every second. Cost: linear in the workers with a record.
void allowProbes(Quarantine &Records, CellView &Cell, TimePoint Now);

/// Forgets a replaced worker and makes it healthy.
void forgetWorker(Quarantine &Records, CellView &Cell, WorkerIndex HostIndex);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_QUARANTINE_H
