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

/// Sends of one request, the first included.
constexpr int MostAttempts = 3;
/// An idempotent request gives its executor this part of the time left, so that a silent one leaves
/// room for a retry.
constexpr int IdempotentTimeDivisor = 2;
/// Shorter attempts would time out on a healthy executor.
constexpr core::Millis ShortestAttempt{100};

/// Interval in which waiting requests are looked at when nothing else happens. An executor that
/// becomes usable after an ejection raises no event, and a new request that is refused because of
/// the length of the queue would not send the waiting ones either.
constexpr core::Millis SweepInterval{50};

/// A request between submit() and its outcome.
struct Pending {
  InteractiveRequest Request_;
  OutcomeCallback Done_;
  int Attempts_ = 0;
  std::optional<Outcome> Earlier_; ///< of the last attempt that may have run
};

/// One request on its way to one executor.
struct Sending {
  std::uint64_t Id_ = 0;
  std::size_t Executor_ = 0;
  std::string Address_;
  std::shared_ptr<Pending> Work_;
  TimePoint SentAt_;
  TimePoint AttemptEnd_; ///< deadline given to the executor
};

using Outcomes = std::vector<std::pair<OutcomeCallback, Outcome>>;

void finishAll(Outcomes &All) {
  for (auto &[Done, Result] : All)
    Done(std::move(Result));
}

/// Executors and queue of one pool, the unit of locking.
struct Pool {
  std::string Name_;
  std::mutex Mutex_;
  policy::ExecutorPool Executors_;
  std::vector<std::string> Addresses_; ///< by executor index
  policy::RequestQueue Queue_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Pending>> Waiting_;
  std::uint64_t NextId_ = 1;
  bool SweepPlanned_ = false;
};

/// \returns the outcome of the whole request: a retry that did not run says nothing about an
/// earlier attempt that may have.
Outcome settled(const Pending &Work, Outcome Last) {
  if (Work.Earlier_ && certainlyNotRun(Last))
    return *Work.Earlier_;
  return Last;
}

void finish(const Pending &Work, Outcome Last) { Work.Done_(settled(Work, std::move(Last))); }

Outcome outcomeOf(legacy::ExecutorAnswer Answer) {
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
    Outcome Result =
        failed(ErrorKind::UpstreamFailed, "executor answered " + std::to_string(Answer.Status_));
    Result.Status_ = Answer.Status_;
    return Result;
  }
  case ExecutorResult::Refused:
    return failed(ErrorKind::UpstreamRefused, "executor refused the request before running it");
  case ExecutorResult::NotConnected:
    return failed(ErrorKind::NoUpstream, "executor is not reachable: " + Answer.Error_);
  case ExecutorResult::Truncated:
    return failed(ErrorKind::AnswerTruncated, "answer is not whole: " + Answer.Error_);
  case ExecutorResult::NoAnswer:
    break;
  }
  return failed(ErrorKind::OutcomeUnknown, "no answer: " + Answer.Error_);
}

} // namespace

struct Dispatcher::Impl : std::enable_shared_from_this<Impl> {
  Impl(DispatcherOptions Options, core::Timers &Timers, std::function<bool(TimePoint)> HoldsLease)
      : Options_(Options), Timers_(Timers), HoldsLease_(std::move(HoldsLease)),
        Client_(static_cast<int>(Options.ConnectionsPerExecutor_), Options.IdleConnection_,
                Options.ConnectionLife_) {
    Budget_.TokensPerRequest_ = Options_.RetryPercent_ * 10;
  }

  std::shared_ptr<Pool> findPool(const std::string &Name) const {
    const std::lock_guard Lock(PoolsMutex_);
    const auto Found = Pools_.find(Name);
    return Found == Pools_.end() ? nullptr : Found->second;
  }

  std::vector<std::shared_ptr<Pool>> allPools() const {
    const std::lock_guard Lock(PoolsMutex_);
    std::vector<std::shared_ptr<Pool>> All;
    for (const auto &[Name, One] : Pools_)
      All.push_back(One);
    return All;
  }

  std::shared_ptr<Pool> poolFor(const std::string &Name) {
    const std::lock_guard Lock(PoolsMutex_);
    auto &Slot = Pools_[Name];
    if (!Slot) {
      Slot = std::make_shared<Pool>();
      Slot->Name_ = Name;
      Slot->Executors_.Limits_.Slots_ = Options_.SlotsPerExecutor_;
      Slot->Executors_.Limits_.Connections_ = Options_.ConnectionsPerExecutor_;
      Slot->Executors_.Limits_.FirstEjection_ = Options_.EjectFor_;
      Slot->Queue_.Limits_.MaxPerTeam_ = Options_.QueuePerTeam_;
    }
    return Slot;
  }

  void setExecutors(std::span<const legacy::Instance> Executors) {
    std::map<std::string, std::vector<const legacy::Instance *>> ByPool;
    for (const legacy::Instance &One : Executors)
      ByPool[One.Pool_].push_back(&One);
    for (const auto &[Name, Members] : ByPool)
      updatePool(*poolFor(Name), Members);
    for (const auto &One : allPools())
      if (!ByPool.contains(One->Name_))
        updatePool(*One, {});
    applyTeams();
    pumpAll();
  }

  static void updatePool(Pool &Into, const std::vector<const legacy::Instance *> &Members) {
    const std::lock_guard Lock(Into.Mutex_);
    std::vector<bool> Listed(Into.Executors_.Members_.size(), false);
    std::uint32_t Usable = 0;
    for (const legacy::Instance *One : Members) {
      const std::size_t Index = policy::addExecutor(Into.Executors_, One->Name_);
      if (Index >= Into.Addresses_.size())
        Into.Addresses_.resize(Index + 1);
      if (Index < Listed.size())
        Listed[Index] = true;
      Into.Addresses_[Index] = One->Address_;
      if (One->Leaving_)
        policy::setLeaving(Into.Executors_, One->Name_);
      else
        ++Usable;
    }
    for (std::size_t I = 0; I < Listed.size(); ++I)
      if (!Listed[I])
        policy::setLeaving(Into.Executors_, Into.Executors_.Members_[I].Name_);
    policy::setSlotCapacity(Into.Queue_, Usable * Into.Executors_.Limits_.Slots_);
  }

  void setTeams(std::span<const TeamSlots> Teams) {
    {
      const std::lock_guard Lock(PoolsMutex_);
      Teams_.assign(Teams.begin(), Teams.end());
    }
    applyTeams();
    pumpAll();
  }

  /// Splits each team's allotment over the pools by their executors, so that the parts sum to it.
  void applyTeams() {
    const auto All = allPools();
    std::vector<TeamSlots> Teams;
    {
      const std::lock_guard Lock(PoolsMutex_);
      Teams = Teams_;
    }
    std::vector<std::int64_t> Weights;
    for (const auto &One : All) {
      const std::lock_guard Lock(One->Mutex_);
      Weights.push_back(static_cast<std::int64_t>(One->Executors_.Members_.size()));
    }
    for (const TeamSlots &Team : Teams) {
      const std::vector<std::int64_t> Parts = config::splitAmount(Team.Slots_, Weights);
      for (std::size_t I = 0; I < All.size(); ++I) {
        const std::lock_guard Lock(All[I]->Mutex_);
        policy::setTeam(All[I]->Queue_, Team.Name_, Team.Weight_,
                        static_cast<std::uint32_t>(Parts[I]));
      }
    }
  }

  void acquired(TimePoint SlotsFreeAt) {
    SlotsFreeAt_ = SlotsFreeAt;
    Owner_ = true;
    const auto Wait = std::max(core::Duration::zero(), SlotsFreeAt - core::Clock::now());
    Timers_.after(Wait, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->pumpAll();
    });
  }

  void lost() {
    Owner_ = false;
    Outcomes Done;
    for (const auto &One : allPools()) {
      const std::lock_guard Lock(One->Mutex_);
      for (const auto &[Id, Work] : One->Waiting_) {
        policy::removeRequest(One->Queue_, Work->Request_.Team_, Id);
        Done.emplace_back(
            Work->Done_, settled(*Work, failed(ErrorKind::NotOwner, "the domain has a new owner")));
      }
      One->Waiting_.clear();
    }
    finishAll(Done);
  }

  void submit(InteractiveRequest Request, OutcomeCallback Done) {
    const TimePoint Now = core::Clock::now();
    if (!Owner_ || !HoldsLease_(Now))
      return Done(failed(ErrorKind::NotOwner, "this daemon does not own the domain"));
    if (Now >= Request.Deadline_)
      return Done(
          failed(ErrorKind::DeadlineExpired, "deadline passed before the request was queued"));
    const auto Target = findPool(Request.Pool_);
    if (!Target)
      return Done(
          failed(ErrorKind::NoUpstream, "pool \"" + Request.Pool_ + "\" has no executor here"));
    {
      const std::lock_guard Lock(BudgetMutex_);
      policy::countRequest(Budget_);
    }
    auto Work = std::make_shared<Pending>();
    Work->Request_ = std::move(Request);
    Work->Done_ = std::move(Done);
    enqueue(Target, Work, Now);
  }

  void enqueue(const std::shared_ptr<Pool> &Into, const std::shared_ptr<Pending> &Work,
               TimePoint Now) {
    std::optional<Outcome> Refusal;
    {
      const std::lock_guard Lock(Into->Mutex_);
      // Under the lock: a request queued after lost() emptied the queue would never be answered.
      if (!Owner_)
        Refusal = failed(ErrorKind::NotOwner, "the domain has a new owner");
      else
        Refusal = push(*Into, Work, Now);
    }
    if (Refusal)
      return finish(*Work, std::move(*Refusal));
    pump(Into);
    planSweep(Into);
  }

  /// \returns the refusal, or nothing when the request was queued. Needs the pool's lock.
  static std::optional<Outcome> push(Pool &Into, const std::shared_ptr<Pending> &Work,
                                     TimePoint Now) {
    const std::uint64_t Id = Into.NextId_++;
    const policy::AdmissionResult Answer = policy::pushRequest(
        Into.Queue_, {Id, Work->Request_.Team_, Now, Work->Request_.Deadline_}, Now);
    if (Answer.Admission_ != policy::Admission::Queued)
      return refusalOf(Answer);
    Into.Waiting_.emplace(Id, Work);
    return std::nullopt;
  }

  static Outcome refusalOf(const policy::AdmissionResult &Answer) {
    const std::string Hint =
        ", retry after " + std::to_string(core::toMillis(Answer.RetryAfter_)) + " ms";
    return Answer.Admission_ == policy::Admission::QueueFull
               ? failed(ErrorKind::QueueFull, "the team's queue is full" + Hint)
               : failed(ErrorKind::DeadlineExpired,
                        "no slot is expected before the deadline" + Hint);
  }

  /// Plans a sweep if requests are waiting and none is planned.
  void planSweep(const std::shared_ptr<Pool> &Of) {
    {
      const std::lock_guard Lock(Of->Mutex_);
      if (Of->Waiting_.empty() || Of->SweepPlanned_)
        return;
      Of->SweepPlanned_ = true;
    }
    Timers_.after(SweepInterval, [Weak = weak_from_this(), Of] {
      if (const auto Self = Weak.lock())
        Self->sweep(Of);
    });
  }

  /// Answers expired requests and sends others for which there is room.
  void sweep(const std::shared_ptr<Pool> &Of) {
    Outcomes Done;
    {
      const std::lock_guard Lock(Of->Mutex_);
      Of->SweepPlanned_ = false;
      takeShed(*Of, policy::shedExpired(Of->Queue_, core::Clock::now()), Done);
    }
    finishAll(Done);
    pump(Of);
    planSweep(Of);
  }

  /// Needs the pool's lock.
  static void takeShed(Pool &From, const std::vector<policy::QueuedRequest> &Shed, Outcomes &Done) {
    for (const policy::QueuedRequest &One : Shed) {
      auto Node = From.Waiting_.extract(One.Id_);
      if (!Node.empty())
        Done.emplace_back(
            Node.mapped()->Done_,
            settled(*Node.mapped(), failed(ErrorKind::DeadlineExpired,
                                           "deadline passed while the request was queued")));
    }
  }

  void pumpAll() {
    for (const auto &One : allPools())
      pump(One);
  }

  /// Sends waiting requests while slots are free.
  void pump(const std::shared_ptr<Pool> &From) {
    const TimePoint Now = core::Clock::now();
    if (!Owner_ || Now < SlotsFreeAt_.load())
      return;
    std::vector<Sending> Sends;
    Outcomes Done;
    {
      const std::lock_guard Lock(From->Mutex_);
      std::vector<policy::QueuedRequest> Shed;
      while (const auto Executor = policy::chooseExecutor(From->Executors_, Now)) {
        const auto Next = policy::popRequest(From->Queue_, Now, Shed);
        if (!Next)
          break;
        Sends.push_back(takeSlot(*From, *Executor, Next->Id_, Now));
      }
      takeShed(*From, Shed, Done);
    }
    finishAll(Done);
    for (Sending &One : Sends)
      send(From, std::move(One));
  }

  Sending takeSlot(Pool &From, std::size_t Executor, std::uint64_t Id, TimePoint Now) const {
    policy::takeSlot(From.Executors_, Executor, Now);
    Sending One;
    One.Id_ = Id;
    One.Executor_ = Executor;
    One.Address_ = From.Addresses_[Executor];
    auto Node = From.Waiting_.extract(Id);
    One.Work_ = std::move(Node.mapped());
    One.SentAt_ = Now;
    const core::Duration Left = One.Work_->Request_.Deadline_ - Now;
    const bool Last = ++One.Work_->Attempts_ >= MostAttempts;
    const bool Halve =
        One.Work_->Request_.Idempotent_ && !Last && Left / IdempotentTimeDivisor >= ShortestAttempt;
    One.AttemptEnd_ = Now + (Halve ? Left / IdempotentTimeDivisor : Left);
    return One;
  }

  void send(const std::shared_ptr<Pool> &From, Sending One) {
    // The lease is checked here, immediately before the bytes leave, and not where the slot was
    // taken.
    const TimePoint Now = core::Clock::now();
    if (!HoldsLease_(Now)) {
      giveBack(*From, One, core::Duration::zero());
      return finish(*One.Work_, failed(ErrorKind::LeaseLapsed, "the domain's lease has ended"));
    }
    legacy::ExecutorRequest Out;
    const InteractiveRequest &Request = One.Work_->Request_;
    Out.Address_ = One.Address_;
    Out.RequestId_ = Request.RequestId_;
    Out.ContentType_ = Request.ContentType_;
    Out.Body_ = Request.Body_;
    Out.Idempotent_ = Request.Idempotent_;
    // At least 1 ms: zero would mean no timeout to libcurl.
    Out.Remaining_ =
        std::max(core::Millis(1), std::chrono::duration_cast<core::Millis>(One.AttemptEnd_ - Now));
    // Checked again when the connection is there: the daemon may have been paused since.
    Out.MaySend_ = [Weak = weak_from_this()] {
      const auto Self = Weak.lock();
      return Self && Self->HoldsLease_(core::Clock::now());
    };
    ++InFlight_;
    if (One.Work_->Attempts_ > 1)
      core::count("masticdrift_retries_total", {{"where", "executor"}});
    Client_.send(std::move(Out),
                 [Weak = weak_from_this(), From, One](legacy::ExecutorAnswer Answer) mutable {
                   if (const auto Self = Weak.lock())
                     Self->answered(From, std::move(One), std::move(Answer));
                 });
  }

  void answered(const std::shared_ptr<Pool> &From, Sending One, legacy::ExecutorAnswer Answer) {
    const TimePoint Now = core::Clock::now();
    const ExecutorResult How = Answer.Result_;
    const bool Whole = How == ExecutorResult::Completed || How == ExecutorResult::Failed;
    const bool NotRun = How == ExecutorResult::Refused || How == ExecutorResult::NotConnected;
    if (Answer.Leaving_)
      markLeaving(*From, One);
    if (Whole) {
      const std::lock_guard Lock(From->Mutex_);
      policy::finishRequest(From->Executors_, One.Executor_, Now, Now - One.SentAt_,
                            How == ExecutorResult::Completed);
      policy::finishSlot(From->Queue_, One.Work_->Request_.Team_, Now - One.SentAt_);
    } else if (NotRun) {
      refused(*From, One, How, Now);
    } else {
      hold(From, One, Now);
    }
    if (Whole || NotRun)
      --InFlight_;
    const bool Retryable =
        NotRun || (How != ExecutorResult::Completed && One.Work_->Request_.Idempotent_);
    Outcome Result = outcomeOf(std::move(Answer));
    if (Result.Kind_ != ErrorKind::None && !certainlyNotRun(Result))
      One.Work_->Earlier_ = Result;
    if (Retryable && retry(From, One, Now))
      return;
    finish(*One.Work_, std::move(Result));
    pump(From);
  }

  static void refused(Pool &From, const Sending &One, ExecutorResult How, TimePoint Now) {
    const std::lock_guard Lock(From.Mutex_);
    if (How == ExecutorResult::Refused)
      policy::releaseSlot(From.Executors_, One.Executor_);
    else
      policy::finishRequest(From.Executors_, One.Executor_, Now, Now - One.SentAt_, false);
    policy::finishSlot(From.Queue_, One.Work_->Request_.Team_, Now - One.SentAt_);
  }

  /// The executor may still be working: the slots of executor and team stay taken until its
  /// deadline plus grace.
  void hold(const std::shared_ptr<Pool> &From, const Sending &One, TimePoint Now) {
    const TimePoint Until = One.AttemptEnd_ + Options_.SlotGrace_;
    {
      const std::lock_guard Lock(From->Mutex_);
      policy::holdSlot(From->Executors_, One.Executor_, Now, Until, One.AttemptEnd_ - One.SentAt_);
    }
    Timers_.after(std::max(core::Duration::zero(), Until - Now),
                  [Weak = weak_from_this(), From, Team = One.Work_->Request_.Team_,
                   Held = Until - One.SentAt_] {
                    const auto Self = Weak.lock();
                    if (!Self)
                      return;
                    {
                      const std::lock_guard Lock(From->Mutex_);
                      policy::finishSlot(From->Queue_, Team, Held);
                    }
                    --Self->InFlight_;
                    Self->pump(From);
                  });
  }

  static void giveBack(Pool &From, const Sending &One, core::Duration Held) {
    const std::lock_guard Lock(From.Mutex_);
    policy::releaseSlot(From.Executors_, One.Executor_);
    policy::finishSlot(From.Queue_, One.Work_->Request_.Team_, Held);
  }

  static void markLeaving(Pool &From, const Sending &One) {
    const std::lock_guard Lock(From.Mutex_);
    policy::setLeaving(From.Executors_, From.Executors_.Members_[One.Executor_].Name_);
  }

  bool retry(const std::shared_ptr<Pool> &From, const Sending &One, TimePoint Now) {
    if (One.Work_->Attempts_ >= MostAttempts ||
        Now + ShortestAttempt >= One.Work_->Request_.Deadline_)
      return false;
    {
      const std::lock_guard Lock(BudgetMutex_);
      if (!policy::takeRetry(Budget_))
        return false;
    }
    enqueue(From, One.Work_, Now);
    return true;
  }

  DispatcherStats stats() const {
    DispatcherStats Sum;
    Sum.InFlight_ = InFlight_;
    const TimePoint Now = core::Clock::now();
    const bool Usable = Owner_ && Now >= SlotsFreeAt_.load();
    for (const auto &One : allPools()) {
      const std::lock_guard Lock(One->Mutex_);
      Sum.Waiting_ += static_cast<std::int64_t>(One->Waiting_.size());
      if (Usable)
        Sum.FreeSlots_ += policy::freeSlots(One->Executors_, Now);
    }
    return Sum;
  }

  const DispatcherOptions Options_;
  core::Timers &Timers_;
  const std::function<bool(TimePoint)> HoldsLease_;
  std::atomic<bool> Owner_{false};
  std::atomic<TimePoint> SlotsFreeAt_{TimePoint{}};
  std::atomic<std::int64_t> InFlight_{0};
  mutable std::mutex PoolsMutex_;
  std::map<std::string, std::shared_ptr<Pool>> Pools_;
  std::vector<TeamSlots> Teams_;
  std::mutex BudgetMutex_;
  policy::RetryBudget Budget_;
  legacy::ExecutorClient Client_; // last member: its callbacks use the others
};

Dispatcher::Dispatcher(DispatcherOptions Options, core::Timers &Timers,
                       std::function<bool(TimePoint)> HoldsLease)
    : Impl_(std::make_shared<Impl>(Options, Timers, std::move(HoldsLease))) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setExecutors(std::span<const legacy::Instance> Executors) {
  Impl_->setExecutors(Executors);
}
void Dispatcher::setTeams(std::span<const TeamSlots> Teams) { Impl_->setTeams(Teams); }
void Dispatcher::acquired(TimePoint SlotsFreeAt) { Impl_->acquired(SlotsFreeAt); }
void Dispatcher::lost() { Impl_->lost(); }
void Dispatcher::submit(InteractiveRequest Request, OutcomeCallback Done) {
  Impl_->submit(std::move(Request), std::move(Done));
}
DispatcherStats Dispatcher::stats() const { return Impl_->stats(); }

} // namespace masticdrift::routing
