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

template <typename T> Entry entryOf(RecordType Type, const T &Record) {
  return {Type, core::pack(Record)};
}

/// Calls to make after the lock was released.
using Actions = std::vector<std::function<void()>>;

} // namespace

/// A claim that was sent on the current version.
struct OpenClaim {
  TimePoint Sent_;
  std::optional<TimePoint> OldLeaseEnd_; ///< nothing when the old owner released
};

struct OwnershipDriver::Impl : std::enable_shared_from_this<OwnershipDriver::Impl> {
  Impl(OwnershipOptions Options, OwnershipHooks Hooks)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)), Table_(Options_.CheckVersion_),
        Book_(Options_.Lease_ + Options_.Margin_), Lease_(Options_.Lease_) {}

  const ClaimState &state() const { return Table_.state(); }

  bool isOwner() const {
    return state().Owner_ == Options_.Instance_ &&
           state().OwnerIncarnation_ == Options_.Incarnation_ && Lease_.term() == state().Term_;
  }

  bool isMember() const { return Table_.isMember(Options_.Instance_, Options_.Incarnation_); }

  void publish() {
    // Nobody may act on a term whose start the callback has not been told.
    const bool Announced = Lease_.term() != 0 && Lease_.term() == Announced_;
    Until_.store(Announced ? Lease_.until().time_since_epoch().count() : 0);
    OwnTerm_.store(Announced ? Lease_.term() : 0);
  }

  /// Appends without blocking; \p Busy is false again when the append was answered.
  void append(std::vector<Entry> Records, bool Impl::*Busy, Actions &Todo) {
    this->*Busy = true;
    Todo.push_back([this, Self = weak_from_this(), Records = std::move(Records), Busy] {
      Hooks_.Append_(Records, [Self, Busy](std::error_code Error, std::uint64_t) {
        const auto Alive = Self.lock();
        if (!Alive)
          return;
        {
          const std::lock_guard Lock(Alive->Mutex_);
          (*Alive).*Busy = false;
        }
        if (!Error && Alive->Hooks_.ReadNow_)
          Alive->Hooks_.ReadNow_();
      });
    });
  }

  /// All other members, in the owner's view as of its last read.
  std::set<MemberId> view() const {
    std::set<MemberId> Out;
    for (const auto &[Name, Each] : state().Members_)
      if (Name != Options_.Instance_ || Each.Incarnation_ != Options_.Incarnation_)
        Out.emplace(Name, Each.Incarnation_);
    return Out;
  }

  void loseTerm() {
    const auto Term = Lease_.term();
    if (Term == 0)
      return;
    Lease_.end();
    RenewSent_.clear();
    publish();
    if (Reported_ == Term)
      Transitions_.push_back({false, Term, {}});
  }

  void onClaimed(const Applied &Result, TimePoint Now) {
    loseTerm();
    Evicting_.clear();
    if (Result.Instance_ != Options_.Instance_ || Result.Incarnation_ != Options_.Incarnation_)
      return;
    const auto Found = Claims_.find(Result.Nonce_);
    if (Found == Claims_.end())
      return; // cannot happen within one incarnation; without a send time there is no lease
    Lease_.begin(state().Term_, Found->second.Sent_);
    SlotsFreeAt_ = Found->second.OldLeaseEnd_ ? *Found->second.OldLeaseEnd_ +
                                                    Options_.LongestDeadline_ + Options_.SlotGrace_
                                              : Now;
    LastRenew_ = Found->second.Sent_;
  }

  /// Reports a term once its lease is held. A claim that is read late, when others may have owned
  /// the domain since, is not reported.
  void report(TimePoint Now) {
    if (!isOwner() || !Lease_.holds(Now) || Reported_ == Lease_.term())
      return;
    Reported_ = Lease_.term();
    Transitions_.push_back({true, Reported_, SlotsFreeAt_});
  }

  /// Calls the callbacks in the order of the transitions, without the lock.
  void deliver() {
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
      Announced_ = Next.Term_;
      publish();
    }
  }

  void onRecord(std::uint64_t Offset, RecordType Type, std::string_view Body, TimePoint Now) {
    {
      const std::lock_guard Lock(Mutex_);
      // Records of one batch share an offset: a prefix counts as read when the next batch begins.
      if (Offset > state().ReadTo_)
        SettledTo_ = state().ReadTo_;
      Settled_ = false;
      const Applied Result = Table_.apply(Offset, Type, Body);
      if (Result.VersionChanged_)
        VersionRead_ = Now;
      switch (Result.Event_) {
      case ClaimEvent::Ignored:
        break;
      case ClaimEvent::MembersChanged:
        std::erase_if(Evicting_,
                      [&](const auto &Each) { return !Table_.isMember(Each.first, Each.second); });
        break;
      case ClaimEvent::Claimed:
        onClaimed(Result, Now);
        break;
      case ClaimEvent::Renewed:
        if (isOwner())
          if (const auto Sent = RenewSent_.find(Result.Nonce_); Sent != RenewSent_.end()) {
            Lease_.confirm(Sent->second);
            RenewSent_.erase(RenewSent_.begin(), std::next(Sent));
            publish();
          }
        break;
      case ClaimEvent::Released:
        loseTerm();
        break;
      }
      if (Result.Event_ == ClaimEvent::Claimed)
        Claims_.clear();
      if (Result.VersionChanged_)
        ConsentVersion_.reset();
      if (Type == RecordType::Leave)
        if (const auto Own = core::unpack<Leave>(Body); Own &&
                                                        Own->Instance_ == Options_.Instance_ &&
                                                        Own->Incarnation_ == Options_.Incarnation_)
          LeaveRead_ = true;
      report(Now);
    }
    deliver();
  }

  static void run(Actions &Todo) {
    for (auto &Each : Todo)
      Each();
  }

  void tickJoin(TimePoint Now, Actions &Todo) {
    if (isMember() || Stopping_ || JoinBusy_ || !due(LastJoin_, Now))
      return;
    LastJoin_ = Now;
    append({entryOf(RecordType::Join,
                    Join{Options_.Instance_, Options_.Incarnation_, Options_.Address_})},
           &Impl::JoinBusy_, Todo);
  }

  bool due(const std::optional<TimePoint> &Last, TimePoint Now) const {
    return !Last || Now - *Last >= Options_.RetryAfter_;
  }

  void tickOwner(TimePoint Now, Actions &Todo) {
    if (!RenewBusy_ && Now - LastRenew_ >= Options_.RenewEvery_) {
      LastRenew_ = Now;
      // Confirming one of these would not extend the lease any more.
      std::erase_if(RenewSent_,
                    [&](const auto &Each) { return Now - Each.second > Options_.Lease_; });
      const std::uint64_t Nonce = ++NextNonce_;
      RenewSent_[Nonce] = Now;
      append({entryOf(RecordType::Renew,
                      Renew{Options_.Instance_, Options_.Incarnation_, state().Term_,
                            Settled_ ? state().ReadTo_ : SettledTo_, Nonce})},
             &Impl::RenewBusy_, Todo);
    }
    if (Stopping_)
      return;
    std::vector<MemberId> Dead;
    for (const auto &Id : view())
      if (missedTooLong(Id, Now))
        Dead.push_back(Id);
    evict(Dead, Now, Todo);
  }

  bool missedTooLong(const MemberId &Id, TimePoint Now) {
    const auto Known = SeenSince_.try_emplace(Id, Now).first->second;
    const auto Missed = Hooks_.MissedFor_ ? Hooks_.MissedFor_(Id.first, Now) : std::nullopt;
    return std::min(Missed.value_or(Now - Known), Now - Known) > Options_.EvictAfter_;
  }

  void evict(const std::vector<MemberId> &Dead, TimePoint Now, Actions &Todo) {
    if (Dead.empty() || EvictBusy_ || !due(LastEvict_, Now))
      return;
    LastEvict_ = Now;
    std::vector<Entry> Records;
    for (const auto &Id : Dead) {
      Evicting_.insert(Id);
      Records.push_back(entryOf(RecordType::Evict, Evict{Id.first, Id.second, state().Term_}));
    }
    append(std::move(Records), &Impl::EvictBusy_, Todo);
  }

  /// Whether the old lease has ended for this member, consent aside.
  bool oldLeaseEnded(TimePoint Now) const {
    if (state().Owner_.empty())
      return true;
    if (Now < VersionRead_ + Options_.Lease_ + Options_.Margin_)
      return false;
    return !Options_.HonourPromises_ || Book_.expired(Now);
  }

  void tickClaimant(TimePoint Now, Actions &Todo) {
    const bool Current = Settled_ && LastRead_ && Now - *LastRead_ <= Options_.ClaimReadAge_;
    if (Stopping_ || !isMember() || !Current)
      return;
    // Two missed renewals; earlier than the claim, since the removal starts its wait anew.
    if (Now - VersionRead_ > 3 * Options_.RenewEvery_)
      evictGone(Now, Todo);
    if (!oldLeaseEnded(Now))
      return;
    const auto Consenters =
        Options_.AskConsent_ ? Table_.consenters(Options_.Instance_) : std::vector<std::string>();
    if (!Consenters.empty() && ConsentVersion_ != state().Version_) {
      askConsent(Consenters, Now, Todo);
      return;
    }
    if (ClaimBusy_ || !due(LastClaim_, Now))
      return;
    LastClaim_ = Now;
    const std::uint64_t Nonce = ++NextNonce_;
    OpenClaim Open{Now, std::nullopt};
    if (!state().Owner_.empty()) {
      // All conditions hold by now, so the old lease ended at the latest when the last one did.
      Open.OldLeaseEnd_ = std::max(VersionRead_ + Options_.Lease_ + Options_.Margin_,
                                   Book_.until().value_or(TimePoint{}));
      if (!Consenters.empty())
        Open.OldLeaseEnd_ = std::max(*Open.OldLeaseEnd_, ConsentAt_);
    }
    Claims_[Nonce] = Open;
    if (Options_.BlockWhileClaimOpen_)
      Book_.block(state().Version_);
    append({entryOf(RecordType::Claim, Claim{Options_.Instance_, Options_.Incarnation_,
                                             state().Term_ + 1, state().Version_, Nonce})},
           &Impl::ClaimBusy_, Todo);
  }

  /// Evicts terminated instances while no owner does it.
  void evictGone(TimePoint Now, Actions &Todo) {
    if (!Hooks_.IsGone_)
      return;
    std::vector<MemberId> Gone;
    for (const auto &Id : view())
      if (Hooks_.IsGone_(Id.first))
        Gone.push_back(Id);
    evict(Gone, Now, Todo);
  }

  void askConsent(const std::vector<std::string> &Members, TimePoint Now, Actions &Todo) {
    if (!due(LastAsk_, Now) || !Hooks_.AskConsent_)
      return;
    LastAsk_ = Now;
    for (const auto &Member : Members)
      Todo.push_back([this, Self = weak_from_this(), Member,
                      Request = protocol::ConsentRequest{state().Term_, state().Version_}] {
        Hooks_.AskConsent_(
            Member, Request, [Self, Request](const std::optional<protocol::Consent> &Answer) {
              const auto Alive = Self.lock();
              if (!Alive || !Answer || !Answer->Granted_ || Answer->Version_ != Request.Version_ ||
                  Answer->Term_ != Request.Term_)
                return;
              const std::lock_guard Lock(Alive->Mutex_);
              if (Alive->state().Version_ != Request.Version_)
                return;
              Alive->ConsentVersion_ = Request.Version_;
              Alive->ConsentAt_ = core::TimePoint{};
              Alive->ConsentPending_ = true;
            });
      });
  }

  /// Whether a Leave has to be written.
  bool leaves() const {
    return (LastJoin_ && !LeaveRead_) || state().Members_.contains(Options_.Instance_);
  }

  void tickStop(TimePoint Now, Actions &Todo) {
    if (isOwner() && Now < SlotsFreeAt_) {
      tickOwner(Now, Todo);
      return;
    }
    Book_.close();
    const auto Term = Lease_.term();
    const bool Owns = isOwner();
    loseTerm();
    if (Owns)
      ReleaseTerm_ = Term;
    if (StopBusy_ || !due(LastStop_, Now))
      return;
    std::vector<Entry> Records;
    if (ReleaseTerm_ != 0 && state().Term_ == ReleaseTerm_ && state().Owner_ == Options_.Instance_)
      Records.push_back(entryOf(RecordType::Release,
                                Release{Options_.Instance_, Options_.Incarnation_, ReleaseTerm_}));
    // Also when no Join was read back: it may have been written.
    if (leaves())
      Records.push_back(
          entryOf(RecordType::Leave, Leave{Options_.Instance_, Options_.Incarnation_}));
    if (Records.empty())
      return;
    LastStop_ = Now;
    append(std::move(Records), &Impl::StopBusy_, Todo);
  }

  void tick(TimePoint Now) {
    Actions Todo;
    {
      const std::lock_guard Lock(Mutex_);
      if (std::exchange(ConsentPending_, false))
        ConsentAt_ = Now;
      std::erase_if(SeenSince_, [&](const auto &Each) {
        return !Table_.isMember(Each.first.first, Each.first.second);
      });
      if (Finished_) {
        tickStop(Now, Todo);
      } else {
        if (!LastRead_)
          return; // the stream has not been replayed yet
        tickJoin(Now, Todo);
        if (isOwner())
          tickOwner(Now, Todo);
        else
          tickClaimant(Now, Todo);
      }
      report(Now);
    }
    deliver();
    run(Todo);
  }

  /// Whether another member has to take over because only this owner is cut off from the store.
  bool yields(TimePoint Now) const {
    if (!LastRead_ || Now - *LastRead_ <= Options_.YieldAfter_ || !Hooks_.StoreAge_)
      return false;
    return std::ranges::any_of(state().Members_, [&](const auto &Each) {
      if (Each.first == Options_.Instance_)
        return false;
      const auto Age = Hooks_.StoreAge_(Each.first, Now);
      return Age && *Age < Options_.YieldMemberAge_;
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
    const bool Foreign = Message.Term_ == state().Term_ &&
                         (state().Owner_ != Sender || state().OwnerIncarnation_ != Incarnation);
    if (Stale || Foreign || Lease_.holds(Now))
      return;
    Reply.PromiseGranted_ = Book_.promise(std::max(Message.Version_, state().Version_), Now);
    Reply.PromiseTerm_ = Message.Term_;
  }

  protocol::Consent onConsentRequest(const protocol::ConsentRequest &Request, TimePoint Now) {
    const std::lock_guard Lock(Mutex_);
    protocol::Consent Answer{false, Request.Term_, Request.Version_};
    if (Request.Term_ < state().Term_ || Request.Version_ < state().Version_ || Lease_.holds(Now) ||
        !Book_.expired(Now) || Finished_ || !LastRead_)
      return Answer;
    Book_.block(Request.Version_);
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

  std::mutex DeliverMutex_; ///< taken before Mutex_; keeps callbacks in order
  mutable std::mutex Mutex_;
  std::deque<Transition> Transitions_; ///< not delivered yet
  std::uint64_t Reported_ = 0;         ///< last term put into Transitions_ as acquired
  std::uint64_t Announced_ = 0;        ///< last term whose OnAcquired_ has returned
  bool LeaveRead_ = false;             ///< the own Leave was read back
  ClaimTable Table_;
  PromiseBook Book_;
  OwnerLease Lease_;
  std::atomic<std::int64_t> Until_{0};
  std::atomic<std::uint64_t> OwnTerm_{0};
  TimePoint VersionRead_{};
  std::optional<TimePoint> LastRead_; ///< send time of the last complete read
  bool Settled_ = false;              ///< nothing was read since the last complete read
  std::uint64_t SettledTo_ = 0;       ///< all records up to this offset are applied
  std::uint64_t NextNonce_ = 0;
  std::map<std::uint64_t, OpenClaim> Claims_;    ///< by nonce, on the current version
  std::map<std::uint64_t, TimePoint> RenewSent_; ///< by nonce
  /// Evictions that may have taken effect without having been read back.
  std::set<MemberId> Evicting_;
  std::map<MemberId, TimePoint> SeenSince_;
  std::optional<std::uint64_t> ConsentVersion_;
  TimePoint ConsentAt_{};
  bool ConsentPending_ = false; ///< a consent arrived; the next tick dates it
  TimePoint SlotsFreeAt_{};
  TimePoint LastRenew_{};
  std::optional<TimePoint> LastJoin_;
  std::optional<TimePoint> LastClaim_;
  std::optional<TimePoint> LastAsk_;
  std::optional<TimePoint> LastEvict_;
  std::optional<TimePoint> LastStop_;
  std::uint64_t ReleaseTerm_ = 0;
  bool JoinBusy_ = false;
  bool RenewBusy_ = false;
  bool ClaimBusy_ = false;
  bool EvictBusy_ = false;
  bool StopBusy_ = false;
  bool Stopping_ = false;
  bool Finished_ = false;
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
  Impl_->Settled_ = true;
  Impl_->SettledTo_ = Impl_->state().ReadTo_;
  Impl_->LastRead_ = std::max(Impl_->LastRead_.value_or(Sent), Sent);
}

void OwnershipDriver::tick(TimePoint Now) { Impl_->tick(Now); }

void OwnershipDriver::fillProbe(protocol::Probe &Message, TimePoint Now) {
  const std::lock_guard Lock(Impl_->Mutex_);
  Message.Term_ = Impl_->state().Term_;
  Message.Version_ = Impl_->state().Version_;
  Message.RequestsPromise_ = Impl_->isOwner() && !Impl_->yields(Now);
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
  Impl_->Lease_.promised({std::string(Member), Incarnation}, Reply.PromiseTerm_, Sent);
  Impl_->Lease_.applyPromises(Impl_->view(), Impl_->Evicting_);
  Impl_->publish();
}

protocol::Consent OwnershipDriver::onConsentRequest(const protocol::ConsentRequest &Request,
                                                    TimePoint Now) {
  return Impl_->onConsentRequest(Request, Now);
}

bool OwnershipDriver::holds(TimePoint Now) const {
  return Now.time_since_epoch().count() < Impl_->Until_.load();
}

TimePoint OwnershipDriver::leaseUntil() const {
  return TimePoint(core::Duration(Impl_->Until_.load()));
}

std::uint64_t OwnershipDriver::ownTerm() const { return Impl_->OwnTerm_.load(); }

ClaimState OwnershipDriver::state() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->state();
}

void OwnershipDriver::restore(ClaimState State, TimePoint Now) {
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->Table_.restore(std::move(State));
  Impl_->VersionRead_ = Now;
  Impl_->Settled_ = false;
}

void OwnershipDriver::beginStop() {
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->Stopping_ = true;
}

void OwnershipDriver::finishStop(TimePoint Now) {
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    Impl_->Stopping_ = true;
    Impl_->Finished_ = true;
  }
  Impl_->tick(Now);
}

bool OwnershipDriver::left() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->Finished_ && !Impl_->leaves() &&
         (Impl_->state().Owner_ != Impl_->Options_.Instance_ ||
          Impl_->state().OwnerIncarnation_ != Impl_->Options_.Incarnation_);
}

} // namespace masticdrift::ownership
