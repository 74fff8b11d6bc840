#include "masticdrift/membership/Heartbeat.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <utility>

namespace masticdrift::membership {

struct Heartbeat::Impl : std::enable_shared_from_this<Heartbeat::Impl> {
  Impl(HeartbeatOptions Options, HeartbeatHooks Hooks, core::Timers &Timers, protocol::Link &Link,
       PeerTable &Table)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)), Timers_(Timers), Link_(Link),
        Table_(Table) {}

  struct ProbeTarget {
    Member Member_;
    int Misses_ = 0;
  };

  /// \returns the other members of this daemon's domain.
  std::vector<Member> ownDomainMembers() {
    const std::lock_guard Lock(Mutex_);
    std::vector<Member> Result;
    for (const auto &[Name, Each] : ProbeTargets_)
      if (Each.Member_.Domain_ == Options_.Domain_)
        Result.push_back(Each.Member_);
    return Result;
  }

  /// \returns one daemon of each other domain.
  std::vector<Member> representatives() {
    const std::lock_guard Lock(Mutex_);
    std::map<std::string, std::vector<Member>> ByDomain;
    for (const auto &[Name, Each] : ProbeTargets_)
      if (Each.Member_.Domain_ != Options_.Domain_)
        ByDomain[Each.Member_.Domain_].push_back(Each.Member_);
    std::vector<Member> Result;
    Result.reserve(ByDomain.size());
    for (const auto &[Domain, Members] : ByDomain)
      Result.push_back(Members[RepresentativeIndex_[Domain] % Members.size()]);
    return Result;
  }

  void probe(const Member &To) {
    protocol::Probe Message;
    Message.Domain_ = Options_.Domain_;
    Message.RequestsSummary_ = To.Domain_ != Options_.Domain_;
    // Read before the hook runs, because leases start at this time.
    const core::TimePoint Sent = core::Clock::now();
    if (Hooks_.FillProbe_)
      Hooks_.FillProbe_(To, Message);
    const core::Duration Timeout =
        Message.RequestsSummary_ ? Options_.OtherDomainInterval_ : Options_.OwnDomainInterval_;
    Link_.call(To.Name_, protocol::MessageKind::Probe, core::pack(Message), Timeout,
               [Weak = weak_from_this(), To, Sent](std::error_code Error,
                                                   const protocol::Envelope &Reply) {
                 const auto Self = Weak.lock();
                 if (!Self)
                   return;
                 const auto Decoded =
                     Error ? std::nullopt : core::unpack<protocol::ProbeReply>(Reply.Body_);
                 if (Decoded)
                   Self->onReply(To, Reply.Incarnation_, Sent, *Decoded);
                 else
                   Self->onMiss(To);
               });
  }

  void onReply(const Member &From, std::uint64_t Incarnation, core::TimePoint Sent,
               const protocol::ProbeReply &Reply) {
    {
      const std::lock_guard Lock(Mutex_);
      if (const auto Found = ProbeTargets_.find(From.Name_); Found != ProbeTargets_.end())
        Found->second.Misses_ = 0;
    }
    Table_.onReply(From.Name_, Incarnation, Sent, Reply);
    if (Hooks_.OnReply_)
      Hooks_.OnReply_(From, Incarnation, Sent, Reply);
  }

  void onMiss(const Member &To) {
    bool Reconnect = false;
    {
      const std::lock_guard Lock(Mutex_);
      const auto Found = ProbeTargets_.find(To.Name_);
      if (Found == ProbeTargets_.end())
        return;
      Reconnect = ++Found->second.Misses_ >= Options_.MissesBeforeReconnect_;
      if (Reconnect)
        Found->second.Misses_ = 0;
      if (To.Domain_ != Options_.Domain_)
        ++RepresentativeIndex_[To.Domain_];
    }
    if (Reconnect)
      Link_.reconnect(To.Name_);
    if (Hooks_.OnMiss_)
      Hooks_.OnMiss_(To);
  }

  HeartbeatOptions Options_;
  HeartbeatHooks Hooks_;
  core::Timers &Timers_;
  protocol::Link &Link_;
  PeerTable &Table_;
  std::mutex Mutex_;
  std::map<std::string, ProbeTarget, std::less<>> ProbeTargets_;
  std::map<std::string, std::size_t> RepresentativeIndex_;
};

Heartbeat::Heartbeat(HeartbeatOptions Options, HeartbeatHooks Hooks, core::Timers &Timers,
                     protocol::Link &Link, PeerTable &Table)
    : Impl_(std::make_shared<Impl>(std::move(Options), std::move(Hooks), Timers, Link, Table)) {}

Heartbeat::~Heartbeat() = default;

void Heartbeat::start() {
  Impl_->Timers_.every(Impl_->Options_.OwnDomainInterval_, [Weak = std::weak_ptr(Impl_)] {
    if (const auto Self = Weak.lock())
      for (const auto &To : Self->ownDomainMembers())
        Self->probe(To);
  });
  Impl_->Timers_.every(Impl_->Options_.OtherDomainInterval_, [Weak = std::weak_ptr(Impl_)] {
    if (const auto Self = Weak.lock())
      for (const auto &To : Self->representatives())
        Self->probe(To);
  });
}

void Heartbeat::setMembers(const std::vector<Member> &Members) {
  std::vector<std::string> RemovedNames;
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    std::map<std::string, Impl::ProbeTarget, std::less<>> NewTargets;
    for (const auto &Each : Members) {
      if (Each.Name_ == Impl_->Options_.InstanceName_)
        continue;
      auto &Entry = NewTargets[Each.Name_];
      if (const auto Known = Impl_->ProbeTargets_.find(Each.Name_);
          Known != Impl_->ProbeTargets_.end())
        Entry = Known->second;
      Entry.Member_ = Each;
    }
    for (const auto &[Name, Each] : Impl_->ProbeTargets_)
      if (!NewTargets.contains(Name))
        RemovedNames.push_back(Name);
    Impl_->ProbeTargets_ = std::move(NewTargets);
  }
  Impl_->Table_.setMembers(Members, core::Clock::now());
  for (const auto &Name : RemovedNames)
    Impl_->Link_.removeRoute(Name);
  for (const auto &Each : Members)
    if (Each.Name_ != Impl_->Options_.InstanceName_)
      Impl_->Link_.setRoute(Each.Name_, Each.Address_);
}

void Heartbeat::onProbe(const protocol::Envelope &Message) {
  const auto Probe = core::unpack<protocol::Probe>(Message.Body_);
  if (!Probe)
    return;
  protocol::ProbeReply Reply;
  Reply.Domain_ = Impl_->Options_.Domain_;
  if (Probe->RequestsSummary_)
    Reply.Members_ = Impl_->Table_.summary(core::Clock::now());
  if (Impl_->Hooks_.FillReply_)
    Impl_->Hooks_.FillReply_(Message, *Probe, Reply);
  Impl_->Link_.reply(Message, protocol::MessageKind::ProbeReply, core::pack(Reply));
}

} // namespace masticdrift::membership
