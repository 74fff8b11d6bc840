#include "masticdrift/routing/Dispatcher.h"

#include "masticdrift/config/Allotment.h"
#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/policy/Executors.h"
#include "masticdrift/policy/RequestQueue.h"
#include "masticdrift/policy/RetryBudget.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace masticdrift::routing {

namespace {

using core::ErrorKind;
using core::TimePoint;
using legacy::ExecutorResult;

/// Maximum number of sends of one request, including the first.
constexpr int MaxAttempts = 3;
/// An attempt of an idempotent request gets the remaining time divided by this, so that a retry is
/// still possible if the executor does not answer.
constexpr int IdempotentTimeDivisor = 2;
/// Shorter attempts would time out even on a healthy executor.
constexpr core::Millis MinAttemptTime{100};

/// Interval at which queued requests are checked in the absence of other events. The end of an
/// executor's ejection raises no event, and a new request that is refused because the queue is full
/// does not dispatch the queued ones either.
constexpr core::Millis SweepInterval{50};

/// A submitted request that has no final outcome yet.
struct PendingRequest {
  InteractiveRequest Request_;
  OutcomeCallback OnDone_;
  int AttemptCount_ = 0;
  std::optional<Outcome> EarlierOutcome_; ///< of the last attempt that may have run
};

/// One attempt to run a request on an executor.
struct ExecutorAttempt {
  std::uint64_t Id_ = 0;
  std::size_t ExecutorIndex_ = 0;
  std::string Address_;
  std::shared_ptr<PendingRequest> Pending_;
  TimePoint SentAt_;
  TimePoint AttemptDeadline_; ///< deadline sent to the executor
};

using Completions = std::vector<std::pair<OutcomeCallback, Outcome>>;

void invokeCallbacks(Completions &Finished) {
  for (auto &[OnDone, Result] : Finished)
    OnDone(std::move(Result));
}

/// Executors and request queue of one pool. Each pool has its own lock.
struct ExecutorPool {
  std::string Name_;
  std::mutex Mutex_;
  policy::ExecutorPool Executors_;
  std::vector<std::string> Addresses_; ///< by executor index
  policy::RequestQueue Queue_;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingRequest>> QueuedRequests_;
  std::uint64_t NextId_ = 1;
  bool SweepScheduled_ = false;
};

/// \returns the outcome of the whole request. If the last attempt did not run, an earlier attempt
/// that may have run determines the outcome.
Outcome finalOutcome(const PendingRequest &Pending, Outcome LastOutcome) {
  if (Pending.EarlierOutcome_ && certainlyNotRun(LastOutcome))
    return *Pending.EarlierOutcome_;
  return LastOutcome;
}

void finish(const PendingRequest &Pending, Outcome LastOutcome) {
  Pending.OnDone_(finalOutcome(Pending, std::move(LastOutcome)));
}

/// Converts the answer of an executor, which is the upstream of the error kinds and of
/// Outcome::Status_.
Outcome toOutcome(legacy::ExecutorAnswer Answer) {
  switch (Answer.Result_) {
  case ExecutorResult::Completed: {
    Outcome Result;
    Result.Ran_ = core::RunState::Ran;
    Result.Status_ = Answer.Status_;
    Result.ContentType_ = std::move(Answer.ContentType_);
    Result.Body_ = std::move(Answer.Body_);
    return Result;
  }
  case ExecutorResult::Failed: {
    Outcome Result = failedOutcome(ErrorKind::UpstreamFailed,
                                   "executor answered " + std::to_string(Answer.Status_));
    Result.Status_ = Answer.Status_;
    return Result;
  }
  case ExecutorResult::Refused:
    return failedOutcome(ErrorKind::UpstreamRefused,
                         "executor refused the request before running it");
  case ExecutorResult::NotConnected:
    return failedOutcome(ErrorKind::NoUpstream, "executor is not reachable: " + Answer.Error_);
  case ExecutorResult::Truncated:
    return failedOutcome(ErrorKind::AnswerTruncated,
                         "executor's answer is incomplete: " + Answer.Error_);
  case ExecutorResult::NoAnswer:
    break;
  }
  return failedOutcome(ErrorKind::OutcomeUnknown, "executor did not answer: " + Answer.Error_);
}

} // namespace

struct Dispatcher::Impl : std::enable_shared_from_this<Impl> {
  Impl(DispatcherOptions Options, core::Timers &Timers, std::function<bool(TimePoint)> HoldsLease)
      : Options_(Options), Timers_(Timers), HoldsLease_(std::move(HoldsLease)),
        Client_(static_cast<int>(Options.ConnectionsPerExecutor_), Options.IdleConnectionTimeout_,
                Options.MaxConnectionAge_) {
    RetryBudget_.TokensPerRequest_ = Options_.RetryPercent_ * 10;
  }

  std::shared_ptr<ExecutorPool> findPool(const std::string &Name) const {
    const std::lock_guard Lock(PoolsMutex_);
    const auto Found = Pools_.find(Name);
    return Found == Pools_.end() ? nullptr : Found->second;
  }

  std::vector<std::shared_ptr<ExecutorPool>> allPools() const {
    const std::lock_guard Lock(PoolsMutex_);
    std::vector<std::shared_ptr<ExecutorPool>> Pools;
    for (const auto &[Name, Pool] : Pools_)
      Pools.push_back(Pool);
    return Pools;
  }

  std::shared_ptr<ExecutorPool> findOrCreatePool(const std::string &Name) {
    const std::lock_guard Lock(PoolsMutex_);
    auto &Pool = Pools_[Name];
    if (!Pool) {
      Pool = std::make_shared<ExecutorPool>();
      Pool->Name_ = Name;
      Pool->Executors_.Limits_.Slots_ = Options_.SlotsPerExecutor_;
      Pool->Executors_.Limits_.Connections_ = Options_.ConnectionsPerExecutor_;
      Pool->Executors_.Limits_.FirstEjection_ = Options_.EjectionPeriod_;
      Pool->Queue_.Limits_.MaxPerTeam_ = Options_.MaxQueuedPerTeam_;
    }
    return Pool;
  }

  void setExecutors(std::span<const legacy::Instance> Executors) {
    std::map<std::string, std::vector<const legacy::Instance *>> ByPool;
    for (const legacy::Instance &Executor : Executors)
      ByPool[Executor.Pool_].push_back(&Executor);
    for (const auto &[Name, Members] : ByPool)
      updatePool(*findOrCreatePool(Name), Members);
    for (const auto &Pool : allPools())
      if (!ByPool.contains(Pool->Name_))
        updatePool(*Pool, {});
    applyTeamQuotas();
    dispatchAll();
  }

  static void updatePool(ExecutorPool &Pool, const std::vector<const legacy::Instance *> &Members) {
    const std::lock_guard Lock(Pool.Mutex_);
    std::vector<bool> Listed(Pool.Executors_.Members_.size(), false);
    std::uint32_t UsableExecutors = 0;
    for (const legacy::Instance *Executor : Members) {
      const std::size_t Index = policy::addExecutor(Pool.Executors_, Executor->Name_);
      if (Index >= Pool.Addresses_.size())
        Pool.Addresses_.resize(Index + 1);
      if (Index < Listed.size())
        Listed[Index] = true;
      Pool.Addresses_[Index] = Executor->Address_;
      if (Executor->Leaving_)
        policy::setLeaving(Pool.Executors_, Executor->Name_);
      else
        ++UsableExecutors;
    }
    for (std::size_t I = 0; I < Listed.size(); ++I)
      if (!Listed[I])
        policy::setLeaving(Pool.Executors_, Pool.Executors_.Members_[I].Name_);
    policy::setSlotCapacity(Pool.Queue_, UsableExecutors * Pool.Executors_.Limits_.Slots_);
  }

  void setTeamQuotas(std::span<const TeamSlotQuota> Teams) {
    {
      const std::lock_guard Lock(PoolsMutex_);
      TeamQuotas_.assign(Teams.begin(), Teams.end());
    }
    applyTeamQuotas();
    dispatchAll();
  }

  /// Splits each team's slot quota over the pools in proportion to their executors. The parts add
  /// up to the quota.
  void applyTeamQuotas() {
    const auto Pools = allPools();
    std::vector<TeamSlotQuota> Teams;
    {
      const std::lock_guard Lock(PoolsMutex_);
      Teams = TeamQuotas_;
    }
    std::vector<std::int64_t> PoolWeights;
    for (const auto &Pool : Pools) {
      const std::lock_guard Lock(Pool->Mutex_);
      PoolWeights.push_back(static_cast<std::int64_t>(Pool->Executors_.Members_.size()));
    }
    for (const TeamSlotQuota &Team : Teams) {
      const std::vector<std::int64_t> SlotsPerPool = config::splitAmount(Team.Slots_, PoolWeights);
      for (std::size_t I = 0; I < Pools.size(); ++I) {
        const std::lock_guard Lock(Pools[I]->Mutex_);
        policy::setTeam(Pools[I]->Queue_, Team.Name_, Team.Weight_,
                        static_cast<std::uint32_t>(SlotsPerPool[I]));
      }
    }
  }

  void onLeaseAcquired(TimePoint SlotsFreeAt) {
    SlotsFreeAt_ = SlotsFreeAt;
    IsOwner_ = true;
    const auto Delay = std::max(core::Duration::zero(), SlotsFreeAt - core::Clock::now());
    Timers_.after(Delay, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->dispatchAll();
    });
  }

  void onLeaseLost() {
    IsOwner_ = false;
    Completions Finished;
    for (const auto &Pool : allPools()) {
      const std::lock_guard Lock(Pool->Mutex_);
      for (const auto &[Id, Pending] : Pool->QueuedRequests_) {
        policy::removeRequest(Pool->Queue_, Pending->Request_.Team_, Id);
        Finished.emplace_back(
            Pending->OnDone_,
            finalOutcome(*Pending, failedOutcome(ErrorKind::NotOwner,
                                                 "this daemon lost the ownership of the domain")));
      }
      Pool->QueuedRequests_.clear();
    }
    invokeCallbacks(Finished);
  }

  void submit(InteractiveRequest Request, OutcomeCallback OnDone) {
    const TimePoint Now = core::Clock::now();
    if (!IsOwner_ || !HoldsLease_(Now))
      return OnDone(failedOutcome(ErrorKind::NotOwner, "this daemon does not own the domain"));
    if (Now >= Request.Deadline_)
      return OnDone(failedOutcome(ErrorKind::DeadlineExpired,
                                  "deadline passed before the request was queued"));
    const auto Pool = findPool(Request.Pool_);
    if (!Pool)
      return OnDone(failedOutcome(ErrorKind::NoUpstream,
                                  "pool \"" + Request.Pool_ + "\" has no executor in this domain"));
    {
      const std::lock_guard Lock(RetryBudgetMutex_);
      policy::countRequest(RetryBudget_);
    }
    auto Pending = std::make_shared<PendingRequest>();
    Pending->Request_ = std::move(Request);
    Pending->OnDone_ = std::move(OnDone);
    enqueue(Pool, Pending, Now);
  }

  void enqueue(const std::shared_ptr<ExecutorPool> &Pool,
               const std::shared_ptr<PendingRequest> &Pending, TimePoint Now) {
    std::optional<Outcome> Refusal;
    {
      const std::lock_guard Lock(Pool->Mutex_);
      // Checked under the lock: a request queued after onLeaseLost() cleared the queue would never
      // be answered.
      if (!IsOwner_)
        Refusal =
            failedOutcome(ErrorKind::NotOwner, "this daemon lost the ownership of the domain");
      else
        Refusal = pushToQueue(*Pool, Pending, Now);
    }
    if (Refusal)
      return finish(*Pending, std::move(*Refusal));
    dispatchQueued(Pool);
    scheduleSweep(Pool);
  }

  /// Queues a request; the caller holds the pool's lock.
  /// \returns the refusal, or nothing if the request was queued.
  static std::optional<Outcome>
  pushToQueue(ExecutorPool &Pool, const std::shared_ptr<PendingRequest> &Pending, TimePoint Now) {
    const std::uint64_t Id = Pool.NextId_++;
    const policy::AdmissionResult Admission = policy::pushRequest(
        Pool.Queue_, {Id, Pending->Request_.Team_, Now, Pending->Request_.Deadline_}, Now);
    if (Admission.Admission_ != policy::Admission::Queued)
      return toRefusal(Admission);
    Pool.QueuedRequests_.emplace(Id, Pending);
    return std::nullopt;
  }

  static Outcome toRefusal(const policy::AdmissionResult &Admission) {
    const std::string RetryHint =
        ", retry after " + std::to_string(core::toMillis(Admission.RetryAfter_)) + " ms";
    return Admission.Admission_ == policy::Admission::QueueFull
               ? failedOutcome(ErrorKind::QueueFull, "the team's queue is full" + RetryHint)
               : failedOutcome(ErrorKind::DeadlineExpired,
                               "no executor slot is expected to be free before the deadline" +
                                   RetryHint);
  }

  /// Schedules a sweep if requests are queued and no sweep is scheduled.
  void scheduleSweep(const std::shared_ptr<ExecutorPool> &Pool) {
    {
      const std::lock_guard Lock(Pool->Mutex_);
      if (Pool->QueuedRequests_.empty() || Pool->SweepScheduled_)
        return;
      Pool->SweepScheduled_ = true;
    }
    Timers_.after(SweepInterval, [Weak = weak_from_this(), Pool] {
      if (const auto Self = Weak.lock())
        Self->sweepQueue(Pool);
    });
  }

  /// Fails expired requests and dispatches queued ones while slots are free.
  void sweepQueue(const std::shared_ptr<ExecutorPool> &Pool) {
    Completions Finished;
    {
      const std::lock_guard Lock(Pool->Mutex_);
      Pool->SweepScheduled_ = false;
      collectExpired(*Pool, policy::shedExpired(Pool->Queue_, core::Clock::now()), Finished);
    }
    invokeCallbacks(Finished);
    dispatchQueued(Pool);
    scheduleSweep(Pool);
  }

  /// Moves expired requests from the pool to \p Finished; the caller holds the pool's lock.
  static void collectExpired(ExecutorPool &Pool, const std::vector<policy::QueuedRequest> &Expired,
                             Completions &Finished) {
    for (const policy::QueuedRequest &Request : Expired) {
      auto Node = Pool.QueuedRequests_.extract(Request.Id_);
      if (!Node.empty())
        Finished.emplace_back(
            Node.mapped()->OnDone_,
            finalOutcome(*Node.mapped(),
                         failedOutcome(ErrorKind::DeadlineExpired,
                                       "deadline passed while the request was queued")));
    }
  }

  void dispatchAll() {
    for (const auto &Pool : allPools())
      dispatchQueued(Pool);
  }

  /// Sends queued requests while slots are free.
  void dispatchQueued(const std::shared_ptr<ExecutorPool> &Pool) {
    const TimePoint Now = core::Clock::now();
    if (!IsOwner_ || Now < SlotsFreeAt_.load())
      return;
    std::vector<ExecutorAttempt> Attempts;
    Completions Finished;
    {
      const std::lock_guard Lock(Pool->Mutex_);
      std::vector<policy::QueuedRequest> Expired;
      while (const auto ExecutorIndex = policy::chooseExecutor(Pool->Executors_, Now)) {
        const auto NextRequest = policy::popRequest(Pool->Queue_, Now, Expired);
        if (!NextRequest)
          break;
        Attempts.push_back(startAttempt(*Pool, *ExecutorIndex, NextRequest->Id_, Now));
      }
      collectExpired(*Pool, Expired, Finished);
    }
    invokeCallbacks(Finished);
    for (ExecutorAttempt &Attempt : Attempts)
      send(Pool, std::move(Attempt));
  }

  ExecutorAttempt startAttempt(ExecutorPool &Pool, std::size_t ExecutorIndex, std::uint64_t Id,
                               TimePoint Now) const {
    policy::takeSlot(Pool.Executors_, ExecutorIndex, Now);
    ExecutorAttempt Attempt;
    Attempt.Id_ = Id;
    Attempt.ExecutorIndex_ = ExecutorIndex;
    Attempt.Address_ = Pool.Addresses_[ExecutorIndex];
    auto Node = Pool.QueuedRequests_.extract(Id);
    Attempt.Pending_ = std::move(Node.mapped());
    Attempt.SentAt_ = Now;
    const core::Duration RemainingTime = Attempt.Pending_->Request_.Deadline_ - Now;
    const bool IsLastAttempt = ++Attempt.Pending_->AttemptCount_ >= MaxAttempts;
    const bool ReserveRetryTime = Attempt.Pending_->Request_.Idempotent_ && !IsLastAttempt &&
                                  RemainingTime / IdempotentTimeDivisor >= MinAttemptTime;
    Attempt.AttemptDeadline_ =
        Now + (ReserveRetryTime ? RemainingTime / IdempotentTimeDivisor : RemainingTime);
    return Attempt;
  }

  void send(const std::shared_ptr<ExecutorPool> &Pool, ExecutorAttempt Attempt) {
    // The lease is checked immediately before the send, not when the slot was taken, because it can
    // expire in between.
    const TimePoint Now = core::Clock::now();
    if (!HoldsLease_(Now)) {
      releaseSlots(*Pool, Attempt, core::Duration::zero());
      return finish(
          *Attempt.Pending_,
          failedOutcome(ErrorKind::LeaseLapsed, "this daemon's lease on the domain has expired"));
    }
    legacy::ExecutorRequest Outgoing;
    const InteractiveRequest &Request = Attempt.Pending_->Request_;
    Outgoing.Address_ = Attempt.Address_;
    Outgoing.RequestId_ = Request.RequestId_;
    Outgoing.ContentType_ = Request.ContentType_;
    Outgoing.Body_ = Request.Body_;
    Outgoing.Idempotent_ = Request.Idempotent_;
    // At least 1 ms, because libcurl takes zero as no timeout.
    Outgoing.ResponseTimeout_ = std::max(
        core::Millis(1), std::chrono::duration_cast<core::Millis>(Attempt.AttemptDeadline_ - Now));
    // Checked again once the connection is established: the daemon may have been paused meanwhile.
    Outgoing.MaySend_ = [Weak = weak_from_this()] {
      const auto Self = Weak.lock();
      return Self && Self->HoldsLease_(core::Clock::now());
    };
    ++InFlight_;
    if (Attempt.Pending_->AttemptCount_ > 1)
      core::count("masticdrift_retries_total", {{"where", "executor"}});
    Client_.send(std::move(Outgoing),
                 [Weak = weak_from_this(), Pool, Attempt](legacy::ExecutorAnswer Answer) mutable {
                   if (const auto Self = Weak.lock())
                     Self->onAnswer(Pool, std::move(Attempt), std::move(Answer));
                 });
  }

  void onAnswer(const std::shared_ptr<ExecutorPool> &Pool, ExecutorAttempt Attempt,
                legacy::ExecutorAnswer Answer) {
    const TimePoint Now = core::Clock::now();
    const ExecutorResult AnswerResult = Answer.Result_;
    const bool Answered =
        AnswerResult == ExecutorResult::Completed || AnswerResult == ExecutorResult::Failed;
    const bool NotRun =
        AnswerResult == ExecutorResult::Refused || AnswerResult == ExecutorResult::NotConnected;
    if (Answer.Leaving_)
      markLeaving(*Pool, Attempt);
    if (Answered) {
      const std::lock_guard Lock(Pool->Mutex_);
      policy::finishRequest(Pool->Executors_, Attempt.ExecutorIndex_, Now, Now - Attempt.SentAt_,
                            AnswerResult == ExecutorResult::Completed);
      policy::finishSlot(Pool->Queue_, Attempt.Pending_->Request_.Team_, Now - Attempt.SentAt_);
    } else if (NotRun) {
      releaseAfterNotRun(*Pool, Attempt, AnswerResult, Now);
    } else {
      holdSlots(Pool, Attempt, Now);
    }
    if (Answered || NotRun)
      --InFlight_;
    const bool Retryable = NotRun || (AnswerResult != ExecutorResult::Completed &&
                                      Attempt.Pending_->Request_.Idempotent_);
    Outcome Result = toOutcome(std::move(Answer));
    if (Result.Kind_ != ErrorKind::None && !certainlyNotRun(Result))
      Attempt.Pending_->EarlierOutcome_ = Result;
    if (Retryable && retry(Pool, Attempt, Now))
      return;
    finish(*Attempt.Pending_, std::move(Result));
    dispatchQueued(Pool);
  }

  static void releaseAfterNotRun(ExecutorPool &Pool, const ExecutorAttempt &Attempt,
                                 ExecutorResult AnswerResult, TimePoint Now) {
    const std::lock_guard Lock(Pool.Mutex_);
    if (AnswerResult == ExecutorResult::Refused)
      policy::releaseSlot(Pool.Executors_, Attempt.ExecutorIndex_);
    else
      policy::finishRequest(Pool.Executors_, Attempt.ExecutorIndex_, Now, Now - Attempt.SentAt_,
                            false);
    policy::finishSlot(Pool.Queue_, Attempt.Pending_->Request_.Team_, Now - Attempt.SentAt_);
  }

  /// Keeps the slots of the executor and the team occupied until the attempt's deadline plus
  /// SlotGrace_, because the executor may still be running the request.
  void holdSlots(const std::shared_ptr<ExecutorPool> &Pool, const ExecutorAttempt &Attempt,
                 TimePoint Now) {
    const TimePoint Until = Attempt.AttemptDeadline_ + Options_.SlotGrace_;
    {
      const std::lock_guard Lock(Pool->Mutex_);
      policy::holdSlot(Pool->Executors_, Attempt.ExecutorIndex_, Now, Until,
                       Attempt.AttemptDeadline_ - Attempt.SentAt_);
    }
    Timers_.after(std::max(core::Duration::zero(), Until - Now),
                  [Weak = weak_from_this(), Pool, Team = Attempt.Pending_->Request_.Team_,
                   HeldTime = Until - Attempt.SentAt_] {
                    const auto Self = Weak.lock();
                    if (!Self)
                      return;
                    {
                      const std::lock_guard Lock(Pool->Mutex_);
                      policy::finishSlot(Pool->Queue_, Team, HeldTime);
                    }
                    --Self->InFlight_;
                    Self->dispatchQueued(Pool);
                  });
  }

  static void releaseSlots(ExecutorPool &Pool, const ExecutorAttempt &Attempt,
                           core::Duration HeldTime) {
    const std::lock_guard Lock(Pool.Mutex_);
    policy::releaseSlot(Pool.Executors_, Attempt.ExecutorIndex_);
    policy::finishSlot(Pool.Queue_, Attempt.Pending_->Request_.Team_, HeldTime);
  }

  static void markLeaving(ExecutorPool &Pool, const ExecutorAttempt &Attempt) {
    const std::lock_guard Lock(Pool.Mutex_);
    policy::setLeaving(Pool.Executors_, Pool.Executors_.Members_[Attempt.ExecutorIndex_].Name_);
  }

  bool retry(const std::shared_ptr<ExecutorPool> &Pool, const ExecutorAttempt &Attempt,
             TimePoint Now) {
    if (Attempt.Pending_->AttemptCount_ >= MaxAttempts ||
        Now + MinAttemptTime >= Attempt.Pending_->Request_.Deadline_)
      return false;
    {
      const std::lock_guard Lock(RetryBudgetMutex_);
      if (!policy::takeRetry(RetryBudget_))
        return false;
    }
    enqueue(Pool, Attempt.Pending_, Now);
    return true;
  }

  DispatcherStats stats() const {
    DispatcherStats Stats;
    Stats.RequestsInFlight_ = InFlight_;
    const TimePoint Now = core::Clock::now();
    const bool MaySend = IsOwner_ && Now >= SlotsFreeAt_.load();
    for (const auto &Pool : allPools()) {
      const std::lock_guard Lock(Pool->Mutex_);
      Stats.QueuedRequests_ += static_cast<std::int64_t>(Pool->QueuedRequests_.size());
      if (MaySend)
        Stats.FreeSlots_ += policy::freeSlots(Pool->Executors_, Now);
    }
    return Stats;
  }

  const DispatcherOptions Options_;
  core::Timers &Timers_;
  const std::function<bool(TimePoint)> HoldsLease_;
  std::atomic<bool> IsOwner_{false};
  std::atomic<TimePoint> SlotsFreeAt_{TimePoint{}};
  std::atomic<std::int64_t> InFlight_{0};
  mutable std::mutex PoolsMutex_;
  std::map<std::string, std::shared_ptr<ExecutorPool>> Pools_;
  std::vector<TeamSlotQuota> TeamQuotas_;
  std::mutex RetryBudgetMutex_;
  policy::RetryBudget RetryBudget_;
  legacy::ExecutorClient Client_; // declared last, because its callbacks use the other members
};

Dispatcher::Dispatcher(DispatcherOptions Options, core::Timers &Timers,
                       std::function<bool(TimePoint)> HoldsLease)
    : Impl_(std::make_shared<Impl>(Options, Timers, std::move(HoldsLease))) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setExecutors(std::span<const legacy::Instance> Executors) {
  Impl_->setExecutors(Executors);
}
void Dispatcher::setTeamQuotas(std::span<const TeamSlotQuota> Teams) {
  Impl_->setTeamQuotas(Teams);
}
void Dispatcher::onLeaseAcquired(TimePoint SlotsFreeAt) { Impl_->onLeaseAcquired(SlotsFreeAt); }
void Dispatcher::onLeaseLost() { Impl_->onLeaseLost(); }
void Dispatcher::submit(InteractiveRequest Request, OutcomeCallback OnDone) {
  Impl_->submit(std::move(Request), std::move(OnDone));
}
DispatcherStats Dispatcher::stats() const { return Impl_->stats(); }

} // namespace masticdrift::routing
