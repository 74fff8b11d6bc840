#include "masticdrift/ownership/OwnershipDriver.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace masticdrift::ownership {

namespace {

using core::TimePoint;
using journal::Entry;
using journal::RecordType;

template <typename T> Entry makeEntry(RecordType Type, const T &Record) {
  return {Type, core::pack(Record)};
}

/// Calls to run after the lock is released.
using DeferredCalls = std::vector<std::function<void()>>;

} // namespace

/// A claim on the current version that was sent and not read back.
struct OpenClaim {
  TimePoint SentAt_;
  std::optional<TimePoint> OldLeaseEnd_; ///< nothing if the old owner released the lease
};

struct OwnershipDriver::Impl : std::enable_shared_from_this<OwnershipDriver::Impl> {
  Impl(OwnershipOptions Options, OwnershipHooks Hooks)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)), Table_(Options_.CheckVersion_),
        PromiseTracker_(Options_.LeaseDuration_ + Options_.SafetyMargin_),
        Lease_(Options_.LeaseDuration_) {}

  const ClaimState &state() const { return Table_.state(); }

  bool isOwner() const {
    return state().Owner_ == Options_.Instance_ &&
           state().OwnerIncarnation_ == Options_.Incarnation_ && Lease_.term() == state().Term_;
  }

  bool isMember() const { return Table_.isMember(Options_.Instance_, Options_.Incarnation_); }

  void publishLease() {
    // A term takes effect only after OnAcquired_ has returned for it.
    const bool Announced = Lease_.term() != 0 && Lease_.term() == AnnouncedTerm_;
    LeaseUntilNs_.store(Announced ? Lease_.until().time_since_epoch().count() : 0);
    OwnTerm_.store(Announced ? Lease_.term() : 0);
  }

  /// Appends without blocking; \p InFlight is true until the append is answered.
  void append(std::vector<Entry> Records, bool Impl::*InFlight, DeferredCalls &Calls) {
    this->*InFlight = true;
    Calls.push_back([this, Weak = weak_from_this(), Records = std::move(Records), InFlight] {
      Hooks_.Append_(Records, [Weak, InFlight](std::error_code Error, std::uint64_t) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        {
          const std::lock_guard Lock(Self->Mutex_);
          (*Self).*InFlight = false;
        }
        if (!Error && Self->Hooks_.ReadNow_)
          Self->Hooks_.ReadNow_();
      });
    });
  }

  /// \returns all other members, as of the last read.
  std::set<MemberId> otherMembers() const {
    std::set<MemberId> Members;
    for (const auto &[Name, Member] : state().Members_)
      if (Name != Options_.Instance_ || Member.Incarnation_ != Options_.Incarnation_)
        Members.emplace(Name, Member.Incarnation_);
    return Members;
  }

  void onTermLost() {
    const auto Term = Lease_.term();
    if (Term == 0)
      return;
    Lease_.endTerm();
    RenewSentAt_.clear();
    publishLease();
    if (QueuedTerm_ == Term)
      Transitions_.push_back({false, Term, {}});
  }

  void onClaimed(const ApplyResult &Result, TimePoint Now) {
    onTermLost();
    Evicting_.clear();
    if (Result.Instance_ != Options_.Instance_ || Result.Incarnation_ != Options_.Incarnation_)
      return;
    const auto OwnClaim = OpenClaims_.find(Result.Nonce_);
    if (OwnClaim == OpenClaims_.end())
      return; // not possible within one incarnation; without a send time there is no lease
    Lease_.beginTerm(state().Term_, OwnClaim->second.SentAt_);
    SlotsFreeAt_ =
        OwnClaim->second.OldLeaseEnd_
            ? *OwnClaim->second.OldLeaseEnd_ + Options_.MaxRequestDeadline_ + Options_.SlotGrace_
            : Now;
    LastRenewAt_ = OwnClaim->second.SentAt_;
  }

  /// Queues the acquisition of a term once its lease is held. A claim that is read too late, when
  /// another member may have owned the domain since, is not queued.
  void queueAcquired(TimePoint Now) {
    if (!isOwner() || !Lease_.holds(Now) || QueuedTerm_ == Lease_.term())
      return;
    QueuedTerm_ = Lease_.term();
    Transitions_.push_back({true, QueuedTerm_, SlotsFreeAt_});
  }

  /// Calls OnAcquired_ and OnLost_ in the order of the transitions, without holding the lock.
  void deliverTransitions() {
    const std::lock_guard Delivering(DeliverMutex_);
    for (;;) {
      Transition Next;
      {
        const std::lock_guard Lock(Mutex_);
        if (Transitions_.empty())
          return;
        Next = Transitions_.front();
        Transitions_.pop_front();
      }
      if (!Next.Acquired_) {
        if (Hooks_.OnLost_)
          Hooks_.OnLost_(Next.Term_);
        continue;
      }
      if (Hooks_.OnAcquired_)
        Hooks_.OnAcquired_(Next.Term_, Next.SlotsFreeAt_);
      const std::lock_guard Lock(Mutex_);
      AnnouncedTerm_ = Next.Term_;
      publishLease();
    }
  }

  void onRecord(std::uint64_t Offset, RecordType Type, std::string_view Body, TimePoint Now) {
    {
      const std::lock_guard Lock(Mutex_);
      // Records of one batch share an offset: a batch is complete when the next one begins.
      if (Offset > state().AppliedOffset_)
        CompleteOffset_ = state().AppliedOffset_;
      CaughtUp_ = false;
      const ApplyResult Result = Table_.apply(Offset, Type, Body);
      if (Result.VersionChanged_)
        VersionReadAt_ = Now;
      switch (Result.Event_) {
      case ClaimEvent::Ignored:
        break;
      case ClaimEvent::MembersChanged:
        std::erase_if(Evicting_,
                      [&](const auto &Id) { return !Table_.isMember(Id.first, Id.second); });
        break;
      case ClaimEvent::Claimed:
        onClaimed(Result, Now);
        break;
      case ClaimEvent::Renewed:
        if (isOwner())
          if (const auto Sent = RenewSentAt_.find(Result.Nonce_); Sent != RenewSentAt_.end()) {
            Lease_.confirmRenewal(Sent->second);
            RenewSentAt_.erase(RenewSentAt_.begin(), std::next(Sent));
            publishLease();
          }
        break;
      case ClaimEvent::Released:
        onTermLost();
        break;
      }
      if (Result.Event_ == ClaimEvent::Claimed)
        OpenClaims_.clear();
      if (Result.VersionChanged_)
        ConsentVersion_.reset();
      if (Type == RecordType::Leave)
        if (const auto OwnLeave = core::unpack<Leave>(Body);
            OwnLeave && OwnLeave->Instance_ == Options_.Instance_ &&
            OwnLeave->Incarnation_ == Options_.Incarnation_)
          OwnLeaveRead_ = true;
      queueAcquired(Now);
    }
    deliverTransitions();
  }

  static void runCalls(DeferredCalls &Calls) {
    for (auto &Call : Calls)
      Call();
  }

  void tickJoin(TimePoint Now, DeferredCalls &Calls) {
    if (isMember() || Stopping_ || JoinInFlight_ || !isDue(LastJoinAt_, Now))
      return;
    LastJoinAt_ = Now;
    append({makeEntry(RecordType::Join,
                      Join{Options_.Instance_, Options_.Incarnation_, Options_.Address_})},
           &Impl::JoinInFlight_, Calls);
  }

  bool isDue(const std::optional<TimePoint> &Last, TimePoint Now) const {
    return !Last || Now - *Last >= Options_.RetryInterval_;
  }

  void tickOwner(TimePoint Now, DeferredCalls &Calls) {
    if (!RenewInFlight_ && Now - LastRenewAt_ >= Options_.RenewInterval_) {
      LastRenewAt_ = Now;
      // A renewal older than the lease duration can't extend the lease any more.
      std::erase_if(RenewSentAt_, [&](const auto &Renewal) {
        return Now - Renewal.second > Options_.LeaseDuration_;
      });
      const std::uint64_t Nonce = ++LastNonce_;
      RenewSentAt_[Nonce] = Now;
      append({makeEntry(RecordType::Renew,
                        Renew{Options_.Instance_, Options_.Incarnation_, state().Term_,
                              CaughtUp_ ? state().AppliedOffset_ : CompleteOffset_, Nonce})},
             &Impl::RenewInFlight_, Calls);
    }
    if (Stopping_)
      return;
    std::vector<MemberId> Unresponsive;
    for (const auto &Id : otherMembers())
      if (isUnresponsive(Id, Now))
        Unresponsive.push_back(Id);
    evictMembers(Unresponsive, Now, Calls);
  }

  bool isUnresponsive(const MemberId &Id, TimePoint Now) {
    const auto FirstSeen = FirstSeenAt_.try_emplace(Id, Now).first->second;
    const auto SinceReply =
        Hooks_.TimeSinceReply_ ? Hooks_.TimeSinceReply_(Id.first, Now) : std::nullopt;
    return std::min(SinceReply.value_or(Now - FirstSeen), Now - FirstSeen) > Options_.EvictAfter_;
  }

  void evictMembers(const std::vector<MemberId> &Members, TimePoint Now, DeferredCalls &Calls) {
    if (Members.empty() || EvictInFlight_ || !isDue(LastEvictAt_, Now))
      return;
    LastEvictAt_ = Now;
    std::vector<Entry> Records;
    for (const auto &Id : Members) {
      Evicting_.insert(Id);
      Records.push_back(makeEntry(RecordType::Evict, Evict{Id.first, Id.second, state().Term_}));
    }
    append(std::move(Records), &Impl::EvictInFlight_, Calls);
  }

  /// \returns whether the old lease has ended as far as this member can tell without a consent.
  bool oldLeaseEnded(TimePoint Now) const {
    if (state().Owner_.empty())
      return true;
    if (Now < VersionReadAt_ + Options_.LeaseDuration_ + Options_.SafetyMargin_)
      return false;
    return !Options_.HonourPromises_ || PromiseTracker_.expired(Now);
  }

  void tickClaimant(TimePoint Now, DeferredCalls &Calls) {
    const bool HasFreshRead =
        CaughtUp_ && LastCompleteReadAt_ && Now - *LastCompleteReadAt_ <= Options_.MaxClaimReadAge_;
    if (Stopping_ || !isMember() || !HasFreshRead)
      return;
    // Two renewals were missed. Evicting comes before claiming, since the removal of a member
    // restarts the wait for the old lease's end.
    if (Now - VersionReadAt_ > 3 * Options_.RenewInterval_)
      evictTerminated(Now, Calls);
    if (!oldLeaseEnded(Now))
      return;
    const auto Consenters = Options_.RequireConsent_ ? Table_.requiredConsenters(Options_.Instance_)
                                                     : std::vector<std::string>();
    if (!Consenters.empty() && ConsentVersion_ != state().Version_) {
      requestConsent(Consenters, Now, Calls);
      return;
    }
    if (ClaimInFlight_ || !isDue(LastClaimAt_, Now))
      return;
    LastClaimAt_ = Now;
    const std::uint64_t Nonce = ++LastNonce_;
    OpenClaim NewClaim{Now, std::nullopt};
    if (!state().Owner_.empty()) {
      // All conditions for a claim hold, so the old lease ended no later than the last one was met.
      NewClaim.OldLeaseEnd_ =
          std::max(VersionReadAt_ + Options_.LeaseDuration_ + Options_.SafetyMargin_,
                   PromiseTracker_.until().value_or(TimePoint{}));
      if (!Consenters.empty())
        NewClaim.OldLeaseEnd_ = std::max(*NewClaim.OldLeaseEnd_, ConsentReceivedAt_);
    }
    OpenClaims_[Nonce] = NewClaim;
    if (Options_.BlockWhileClaimOpen_)
      PromiseTracker_.blockVersion(state().Version_);
    append({makeEntry(RecordType::Claim, Claim{Options_.Instance_, Options_.Incarnation_,
                                               state().Term_ + 1, state().Version_, Nonce})},
           &Impl::ClaimInFlight_, Calls);
  }

  /// Evicts terminated instances while there is no owner to do it.
  void evictTerminated(TimePoint Now, DeferredCalls &Calls) {
    if (!Hooks_.IsTerminated_)
      return;
    std::vector<MemberId> Terminated;
    for (const auto &Id : otherMembers())
      if (Hooks_.IsTerminated_(Id.first))
        Terminated.push_back(Id);
    evictMembers(Terminated, Now, Calls);
  }

  void requestConsent(const std::vector<std::string> &Members, TimePoint Now,
                      DeferredCalls &Calls) {
    if (!isDue(LastConsentRequestAt_, Now) || !Hooks_.RequestConsent_)
      return;
    LastConsentRequestAt_ = Now;
    for (const auto &Member : Members)
      Calls.push_back([this, Weak = weak_from_this(), Member,
                       Request = protocol::ConsentRequest{state().Term_, state().Version_}] {
        Hooks_.RequestConsent_(
            Member, Request, [Weak, Request](const std::optional<protocol::Consent> &Answer) {
              const auto Self = Weak.lock();
              if (!Self || !Answer || !Answer->Granted_ || Answer->Version_ != Request.Version_ ||
                  Answer->Term_ != Request.Term_)
                return;
              const std::lock_guard Lock(Self->Mutex_);
              if (Self->state().Version_ != Request.Version_)
                return;
              Self->ConsentVersion_ = Request.Version_;
              Self->ConsentReceivedAt_ = core::TimePoint{};
              Self->ConsentArrived_ = true;
            });
      });
  }

  /// \returns whether a Leave record must be written.
  bool mustLeave() const {
    return (LastJoinAt_ && !OwnLeaveRead_) || state().Members_.contains(Options_.Instance_);
  }

  void tickStop(TimePoint Now, DeferredCalls &Calls) {
    if (isOwner() && Now < SlotsFreeAt_) {
      tickOwner(Now, Calls);
      return;
    }
    PromiseTracker_.refuseAll();
    const auto Term = Lease_.term();
    const bool WasOwner = isOwner();
    onTermLost();
    if (WasOwner)
      ReleaseTerm_ = Term;
    if (StopInFlight_ || !isDue(LastStopAt_, Now))
      return;
    std::vector<Entry> Records;
    if (ReleaseTerm_ != 0 && state().Term_ == ReleaseTerm_ && state().Owner_ == Options_.Instance_)
      Records.push_back(makeEntry(
          RecordType::Release, Release{Options_.Instance_, Options_.Incarnation_, ReleaseTerm_}));
    // Written even if no Join was read back, since the Join may have been appended.
    if (mustLeave())
      Records.push_back(
          makeEntry(RecordType::Leave, Leave{Options_.Instance_, Options_.Incarnation_}));
    if (Records.empty())
      return;
    LastStopAt_ = Now;
    append(std::move(Records), &Impl::StopInFlight_, Calls);
  }

  void tick(TimePoint Now) {
    DeferredCalls Calls;
    {
      const std::lock_guard Lock(Mutex_);
      if (std::exchange(ConsentArrived_, false))
        ConsentReceivedAt_ = Now;
      std::erase_if(FirstSeenAt_, [&](const auto &Seen) {
        return !Table_.isMember(Seen.first.first, Seen.first.second);
      });
      if (FinishRequested_) {
        tickStop(Now, Calls);
      } else {
        if (!LastCompleteReadAt_)
          return; // the stream has not been replayed yet
        tickJoin(Now, Calls);
        if (isOwner())
          tickOwner(Now, Calls);
        else
          tickClaimant(Now, Calls);
      }
      queueAcquired(Now);
    }
    deliverTransitions();
    runCalls(Calls);
  }

  /// \returns whether this owner cannot reach the store while another member can, so that the other
  /// has to take over.
  bool shouldYield(TimePoint Now) const {
    if (!LastCompleteReadAt_ || Now - *LastCompleteReadAt_ <= Options_.YieldAfter_ ||
        !Hooks_.StoreReadAge_)
      return false;
    return std::ranges::any_of(state().Members_, [&](const auto &Member) {
      if (Member.first == Options_.Instance_)
        return false;
      const auto Age = Hooks_.StoreReadAge_(Member.first, Now);
      return Age && *Age < Options_.MaxYieldTargetReadAge_;
    });
  }

  void fillReply(std::string_view Sender, std::uint64_t Incarnation, const protocol::Probe &Message,
                 protocol::ProbeReply &Reply, TimePoint Now) {
    const std::lock_guard Lock(Mutex_);
    Reply.Owner_ = state().Owner_;
    Reply.Term_ = state().Term_;
    if (!Message.RequestsPromise_)
      return;
    const bool Stale = Message.Term_ < state().Term_;
    const bool FromNonOwner =
        Message.Term_ == state().Term_ &&
        (state().Owner_ != Sender || state().OwnerIncarnation_ != Incarnation);
    if (Stale || FromNonOwner || Lease_.holds(Now))
      return;
    Reply.PromiseGranted_ =
        PromiseTracker_.grant(std::max(Message.Version_, state().Version_), Now);
    Reply.PromiseTerm_ = Message.Term_;
  }

  protocol::Consent onConsentRequest(const protocol::ConsentRequest &Request, TimePoint Now) {
    const std::lock_guard Lock(Mutex_);
    protocol::Consent Answer{false, Request.Term_, Request.Version_};
    if (Request.Term_ < state().Term_ || Request.Version_ < state().Version_ || Lease_.holds(Now) ||
        !PromiseTracker_.expired(Now) || FinishRequested_ || !LastCompleteReadAt_)
      return Answer;
    PromiseTracker_.blockVersion(Request.Version_);
    Answer.Granted_ = true;
    return Answer;
  }

  OwnershipOptions Options_;
  OwnershipHooks Hooks_;
  struct Transition {
    bool Acquired_ = false;
    std::uint64_t Term_ = 0;
    TimePoint SlotsFreeAt_{};
  };

  std::mutex DeliverMutex_; ///< locked before Mutex_; keeps callbacks in order
  mutable std::mutex Mutex_;
  std::deque<Transition> Transitions_; ///< not delivered yet
  std::uint64_t QueuedTerm_ = 0;       ///< last acquired term put into Transitions_
  std::uint64_t AnnouncedTerm_ = 0;    ///< last term whose OnAcquired_ has returned
  bool OwnLeaveRead_ = false;          ///< this daemon's Leave was read back
  ClaimTable Table_;
  PromiseTracker PromiseTracker_;
  OwnerLease Lease_;
  std::atomic<std::int64_t> LeaseUntilNs_{0};
  std::atomic<std::uint64_t> OwnTerm_{0};
  TimePoint VersionReadAt_{};
  std::optional<TimePoint> LastCompleteReadAt_; ///< send time of the last complete read
  bool CaughtUp_ = false;                       ///< no record was read since the last complete read
  std::uint64_t CompleteOffset_ = 0;            ///< all records up to this offset are applied
  std::uint64_t LastNonce_ = 0;
  std::map<std::uint64_t, OpenClaim> OpenClaims_;  ///< by nonce, on the current version
  std::map<std::uint64_t, TimePoint> RenewSentAt_; ///< by nonce
  /// Evictions that may have taken effect without having been read back.
  std::set<MemberId> Evicting_;
  std::map<MemberId, TimePoint> FirstSeenAt_;
  std::optional<std::uint64_t> ConsentVersion_;
  TimePoint ConsentReceivedAt_{};
  bool ConsentArrived_ = false; ///< the next tick sets ConsentReceivedAt_
  TimePoint SlotsFreeAt_{};
  TimePoint LastRenewAt_{};
  std::optional<TimePoint> LastJoinAt_;
  std::optional<TimePoint> LastClaimAt_;
  std::optional<TimePoint> LastConsentRequestAt_;
  std::optional<TimePoint> LastEvictAt_;
  std::optional<TimePoint> LastStopAt_;
  std::uint64_t ReleaseTerm_ = 0;
  bool JoinInFlight_ = false;
  bool RenewInFlight_ = false;
  bool ClaimInFlight_ = false;
  bool EvictInFlight_ = false;
  bool StopInFlight_ = false;
  bool Stopping_ = false;
  bool FinishRequested_ = false;
};

OwnershipDriver::OwnershipDriver(OwnershipOptions Options, OwnershipHooks Hooks)
    : Impl_(std::make_shared<Impl>(std::move(Options), std::move(Hooks))) {}

OwnershipDriver::~OwnershipDriver() = default;

void OwnershipDriver::onRecord(std::uint64_t Offset, RecordType Type, std::string_view Body,
                               TimePoint Now) {
  Impl_->onRecord(Offset, Type, Body, Now);
}

void OwnershipDriver::onReadComplete(TimePoint Sent) {
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->CaughtUp_ = true;
  Impl_->CompleteOffset_ = Impl_->state().AppliedOffset_;
  Impl_->LastCompleteReadAt_ = std::max(Impl_->LastCompleteReadAt_.value_or(Sent), Sent);
}

void OwnershipDriver::tick(TimePoint Now) { Impl_->tick(Now); }

void OwnershipDriver::fillProbe(protocol::Probe &Message, TimePoint Now) {
  const std::lock_guard Lock(Impl_->Mutex_);
  Message.Term_ = Impl_->state().Term_;
  Message.Version_ = Impl_->state().Version_;
  Message.RequestsPromise_ = Impl_->isOwner() && !Impl_->shouldYield(Now);
}

void OwnershipDriver::fillReply(std::string_view Sender, std::uint64_t Incarnation,
                                const protocol::Probe &Message, protocol::ProbeReply &Reply,
                                TimePoint Now) {
  Impl_->fillReply(Sender, Incarnation, Message, Reply, Now);
}

void OwnershipDriver::onProbeReply(std::string_view Member, std::uint64_t Incarnation,
                                   TimePoint Sent, const protocol::ProbeReply &Reply) {
  const std::lock_guard Lock(Impl_->Mutex_);
  if (!Reply.PromiseGranted_ || !Impl_->isOwner())
    return;
  Impl_->Lease_.addPromise({std::string(Member), Incarnation}, Reply.PromiseTerm_, Sent);
  Impl_->Lease_.applyPromises(Impl_->otherMembers(), Impl_->Evicting_);
  Impl_->publishLease();
}

protocol::Consent OwnershipDriver::onConsentRequest(const protocol::ConsentRequest &Request,
                                                    TimePoint Now) {
  return Impl_->onConsentRequest(Request, Now);
}

bool OwnershipDriver::holds(TimePoint Now) const {
  return Now.time_since_epoch().count() < Impl_->LeaseUntilNs_.load();
}

TimePoint OwnershipDriver::leaseEnd() const {
  return TimePoint(core::Duration(Impl_->LeaseUntilNs_.load()));
}

std::uint64_t OwnershipDriver::ownTerm() const { return Impl_->OwnTerm_.load(); }

ClaimState OwnershipDriver::state() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->state();
}

void OwnershipDriver::restore(ClaimState State, TimePoint Now) {
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->Table_.restore(std::move(State));
  Impl_->VersionReadAt_ = Now;
  Impl_->CaughtUp_ = false;
}

void OwnershipDriver::beginStop() {
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->Stopping_ = true;
}

void OwnershipDriver::finishStop(TimePoint Now) {
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    Impl_->Stopping_ = true;
    Impl_->FinishRequested_ = true;
  }
  Impl_->tick(Now);
}

bool OwnershipDriver::hasLeft() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->FinishRequested_ && !Impl_->mustLeave() &&
         (Impl_->state().Owner_ != Impl_->Options_.Instance_ ||
          Impl_->state().OwnerIncarnation_ != Impl_->Options_.Incarnation_);
}

} // namespace masticdrift::ownership
