/// \file
/// Queues interactive requests at the owner of a domain and sends them to its executors.
#ifndef MASTICDRIFT_ROUTING_DISPATCHER_H
#define MASTICDRIFT_ROUTING_DISPATCHER_H

#include "masticdrift/core/Timers.h"
#include "masticdrift/legacy/ExecutorClient.h"
#include "masticdrift/legacy/InstanceList.h"
#include "masticdrift/routing/Request.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace masticdrift::routing {

struct DispatcherOptions {
  std::uint32_t SlotsPerExecutor_ = 8;
  std::uint32_t ConnectionsPerExecutor_ = 16;
  std::size_t MaxQueuedPerTeam_ = 200;
  std::int64_t RetryPercent_ = 10;
  core::Duration SlotGrace_ =
      core::Millis(250); ///< a slot stays occupied this long after a timeout
  core::Duration EjectionPeriod_ =
      core::Millis(5000); ///< until the first trial request; each failed trial doubles it
  std::chrono::seconds IdleConnectionTimeout_{10};
  std::chrono::seconds MaxConnectionAge_{60};
};

/// Weight and slot quota of one team in this domain.
struct TeamSlotQuota {
  std::string Name_;
  double Weight_ = 1;
  std::int64_t Slots_ = 0; ///< this domain's part of the team's slot limit
};

struct DispatcherStats {
  std::int64_t FreeSlots_ = 0;
  std::int64_t QueuedRequests_ = 0;
  std::int64_t RequestsInFlight_ = 0; ///< sent but unanswered, including slots held after a timeout
};

/// Sends requests to the executors of the owned domain. Thread-safe; each executor pool has its own
/// lock.
class Dispatcher {
public:
  /// \param HoldsLease called immediately before each send; if it returns false, the request fails
  /// as not run.
  Dispatcher(DispatcherOptions Options, core::Timers &Timers,
             std::function<bool(core::TimePoint)> HoldsLease);
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;
  ~Dispatcher();

  /// Replaces the list of executors of this domain. Executors that are leaving or no longer listed
  /// get no new requests.
  void setExecutors(std::span<const legacy::Instance> Executors);

  /// Replaces the weights and slot quotas of all teams.
  void setTeamQuotas(std::span<const TeamSlotQuota> Teams);

  /// Starts accepting requests after the lease was acquired. Nothing is sent before \p SlotsFreeAt,
  /// because requests of the previous owner may occupy the slots until then.
  void onLeaseAcquired(core::TimePoint SlotsFreeAt);

  /// Stops accepting requests after the lease was lost. Queued requests fail as not run unless an
  /// earlier attempt may have run.
  void onLeaseLost();

  /// Queues a request. \p OnDone is called exactly once, possibly before this returns.
  ///
  /// Errors: NotOwner, NoUpstream, QueueFull, TeamLimit, DeadlineExpired, LeaseLapsed,
  /// UpstreamRefused (all of them mean not run); UpstreamFailed, AnswerTruncated, OutcomeUnknown,
  /// RetryBudgetSpent.
  void submit(InteractiveRequest Request, OutcomeCallback OnDone);

  DispatcherStats stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::routing

#endif // MASTICDRIFT_ROUTING_DISPATCHER_H
