/// \file
/// Control loop of a domain's owner for durable jobs: worker leases, task starts and ends,
/// preemption and recovery.
#ifndef MASTICDRIFT_CELL_CONTROLLER_H
#define MASTICDRIFT_CELL_CONTROLLER_H

#include "masticdrift/cell/WorkerLease.h"
#include "masticdrift/core/Timers.h"
#include "masticdrift/jobs/DomainState.h"
#include "masticdrift/legacy/InstanceList.h"
#include "masticdrift/legacy/WorkerClient.h"
#include "masticdrift/policy/Explain.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace masticdrift::cell {

struct ControllerOptions {
  std::string Instance_;
  std::string Domain_;
  WorkerLeaseTiming LeaseTiming_;
  core::Duration TickInterval_ = core::Millis(50);
  std::uint32_t MaxAttempts_ = 5; ///< attempts of an idempotent task that fails
  /// Delay before the first probe of a quarantined worker; doubles with each failed probe.
  core::Duration FirstProbeDelay_ = std::chrono::seconds(30);
};

/// Weight and resource limit of one team in this domain.
struct TeamQuota {
  std::string Name_;
  double Weight_ = 1;
  core::Resources Allotment_; ///< part of the team's limit that this domain may use
};

using AppendFunction = std::function<void(std::vector<journal::Entry>,
                                          std::function<void(std::error_code, std::uint64_t)>)>;

/// Functions that the controller calls.
struct ControllerHooks {
  /// Returns whether this daemon holds the domain's lease; called immediately before each command
  /// to a worker.
  std::function<bool(core::TimePoint)> HoldsLease_;
  /// Appends to the domain stream.
  AppendFunction Append_;
};

/// Snapshot of the controller's state for status and metrics.
struct ControllerStats {
  bool Active_ = false;
  std::size_t Workers_ = 0;
  std::size_t UsableWorkers_ = 0;
  std::size_t WaitingTasks_ = 0;
  std::size_t RunningTasks_ = 0;
  core::Resources FreeResources_;
  double Utilization_ = 0; ///< used fraction of the scarcest resource, 0 to 1
};

/// Schedules the tasks of one domain while this daemon owns it.
///
/// Runs on the thread of the given timers; all functions are thread-safe.
///
/// A task is sent to a worker only after its Start record has been replayed under the owner's own
/// term, and its end is acknowledged to the worker only after the End record has been replayed.
class Controller {
public:
  /// \param Timers timers with a dedicated thread, so that decisions don't delay heartbeats. They
  /// must be stopped before this object is destroyed.
  Controller(ControllerOptions Options, ControllerHooks Hooks, core::Timers &Timers,
             legacy::WorkerClient &Client, const jobs::DomainState &State);
  Controller(const Controller &) = delete;
  Controller &operator=(const Controller &) = delete;
  ~Controller();

  /// Starts the periodic tick.
  void start();

  /// Starts scheduling under \p Term, whose lease was acquired. Rebuilds the scheduling state from
  /// the replayed records.
  void onLeaseAcquired(std::uint64_t Term);
  /// Stops scheduling after the lease was lost; no further command is sent to a worker.
  void onLeaseLost();

  /// Replaces the list of workers of this domain.
  void setWorkers(std::vector<legacy::Instance> Workers);
  /// Replaces the teams' weights and resource limits.
  void setTeams(std::vector<TeamQuota> Teams);

  /// Applies the effect of a replayed record.
  void onChange(const jobs::Change &Change);

  /// Explains why a job waits; \p Done is called on the timer thread.
  void explain(std::string_view Job, std::function<void(policy::Explanation)> Done) const;

  /// \returns a copy of the statistics as of the last tick.
  ControllerStats stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::cell

#endif // MASTICDRIFT_CELL_CONTROLLER_H
