/// \file
/// The owner's loop over durable work: worker leases, starts, ends, preemption and recovery.
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
  std::uint32_t MaxAttempts_ = 5;                             ///< of an idempotent task that fails
  core::Duration FirstProbeDelay_ = std::chrono::seconds(30); ///< until the first probe; doubles
};

/// A team's part of this domain.
struct TeamQuota {
  std::string Name_;
  double Weight_ = 1;
  core::Resources Allotment_; ///< the domain's allotment of the team's limit
};

using AppendFunction = std::function<void(std::vector<journal::Entry>,
                                          std::function<void(std::error_code, std::uint64_t)>)>;

struct ControllerHooks {
  /// Asked immediately before each command to a worker.
  std::function<bool(core::TimePoint)> HoldsLease_;
  /// Appends to the domain stream.
  AppendFunction Append_;
};

struct ControllerStats {
  bool Active_ = false;
  std::size_t Workers_ = 0;
  std::size_t UsableWorkers_ = 0;
  std::size_t WaitingTasks_ = 0; ///< tasks
  std::size_t RunningTasks_ = 0; ///< tasks
  core::Resources FreeResources_;
  double Utilization_ = 0; ///< of the scarcest resource
};

/// Runs on the timer thread it is given; all functions are thread-safe.
///
/// A task is sent to a worker only after its Start record has been replayed under the owner's own
/// term, and its end is acknowledged to the worker only after the End record has been replayed.
class Controller {
public:
  /// \param Timers a thread of its own, so that decisions don't delay heartbeats. Must be stopped
  /// before this object is destroyed.
  Controller(ControllerOptions Options, ControllerHooks Hooks, core::Timers &Timers,
             legacy::WorkerClient &Client, const jobs::DomainState &State);
  Controller(const Controller &) = delete;
  Controller &operator=(const Controller &) = delete;
  ~Controller();

  void start();

  /// The domain's lease was won for \p Term. Rebuilds everything from the replayed state.
  void onLeaseAcquired(std::uint64_t Term);
  /// The lease was lost; nothing more is sent.
  void onLeaseLost();

  /// Replaces the list of workers of this domain.
  void setWorkers(std::vector<legacy::Instance> Workers);
  /// Replaces weights and allotments.
  void setTeams(std::vector<TeamQuota> Teams);

  /// A record was replayed.
  void onChange(const jobs::Change &Change);

  /// Explains why a job waits; \p Done is called on the timer thread.
  void explain(std::string_view Job, std::function<void(policy::Explanation)> Done) const;

  ControllerStats stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::cell

#endif // MASTICDRIFT_CELL_CONTROLLER_H
