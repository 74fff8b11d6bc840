/// \file
/// Owner side of interactive requests: queue, executor slots, sends and retries.
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
  core::Duration SlotGrace_ = core::Millis(250); ///< a slot stays taken this long after a timeout
  core::Duration EjectionPeriod_ = core::Millis(5000); ///< until the first trial request; doubles
  std::chrono::seconds IdleConnectionTimeout_{10};
  std::chrono::seconds MaxConnectionAge_{60};
};

/// What one team may use in this domain.
struct TeamSlotQuota {
  std::string Name_;
  double Weight_ = 1;
  std::int64_t Slots_ = 0; ///< the domain's allotment of the team's limit
};

struct DispatcherStats {
  std::int64_t FreeSlots_ = 0;
  std::int64_t QueuedRequests_ = 0;
  std::int64_t RequestsInFlight_ =
      0; ///< sent and not answered, slots held after a timeout included
};

/// Hands requests to the executors of the owned domain. Thread-safe; each executor pool has its own
/// lock.
class Dispatcher {
public:
  /// \param HoldsLease asked immediately before each send; false fails the request as not run.
  Dispatcher(DispatcherOptions Options, core::Timers &Timers,
             std::function<bool(core::TimePoint)> HoldsLease);
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;
  ~Dispatcher();

  /// Replaces the list of executors of this domain. Executors that are leaving or gone get no new
  /// requests.
  void setExecutors(std::span<const legacy::Instance> Executors);

  /// Replaces weights and allotments.
  void setTeamQuotas(std::span<const TeamSlotQuota> Teams);

  /// The lease was won; nothing is sent before \p SlotsFreeAt.
  void onLeaseAcquired(core::TimePoint SlotsFreeAt);

  /// The lease was lost: waiting requests fail as not run.
  void onLeaseLost();

  /// Queues a request. \p OnDone is called exactly once, possibly before this returns.
  ///
  /// Errors: NotOwner, NoUpstream, QueueFull, TeamLimit, DeadlineExpired, LeaseLapsed,
  /// UpstreamRefused (all not run); UpstreamFailed, AnswerTruncated, OutcomeUnknown,
  /// RetryBudgetSpent.
  void submit(InteractiveRequest Request, OutcomeCallback OnDone);

  DispatcherStats stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::routing

#endif // MASTICDRIFT_ROUTING_DISPATCHER_H
