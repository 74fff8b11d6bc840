#include "masticdrift/membership/PeerTable.h"

#include <algorithm>
#include <utility>

namespace masticdrift::membership {

PeerTable::PeerTable(std::string OwnName, std::string Domain)
    : OwnName_(std::move(OwnName)), Domain_(std::move(Domain)) {}

void PeerTable::setMembers(const std::vector<Member> &Members, core::TimePoint Now) {
  const std::lock_guard Lock(Mutex_);
  std::map<std::string, Peer, std::less<>> NewPeers;
  for (const auto &Each : Members) {
    if (Each.Name_ == OwnName_)
      continue;
    auto &Entry = NewPeers[Each.Name_];
    if (const auto Known = Peers_.find(Each.Name_); Known != Peers_.end())
      Entry = std::move(Known->second);
    else
      Entry.ListedSince_ = Now;
    Entry.Member_ = Each;
  }
  Peers_ = std::move(NewPeers);
  std::erase_if(Domains_, [&](const auto &Entry) {
    return std::ranges::none_of(
        Peers_, [&](const auto &Each) { return Each.second.Member_.Domain_ == Entry.first; });
  });
}

void PeerTable::onReply(std::string_view Name, std::uint64_t Incarnation, core::TimePoint Sent,
                        const protocol::ProbeReply &Reply) {
  const std::lock_guard Lock(Mutex_);
  const auto Found = Peers_.find(Name);
  if (Found == Peers_.end())
    return;
  Peer &Entry = Found->second;
  if (Incarnation < Entry.Incarnation_)
    return;
  if (Incarnation == Entry.Incarnation_ && Entry.LastAnsweredProbeSent_ &&
      Sent < *Entry.LastAnsweredProbeSent_)
    return; // overtaken by a newer reply
  if (Incarnation > Entry.Incarnation_)
    Entry.StoreAsOf_.reset();
  Entry.Incarnation_ = Incarnation;
  Entry.LastAnsweredProbeSent_ = Sent;
  Entry.ConfigOffset_ = Reply.ConfigOffset_;
  Entry.ConfirmsConfig_ = Reply.ConfirmsConfig_;
  if (Reply.StoreAgeMs_ >= 0)
    Entry.StoreAsOf_ = Sent - core::Millis(Reply.StoreAgeMs_);
  Entry.Owner_ = Reply.Owner_;
  Entry.Term_ = Reply.Term_;
  Entry.Free_ = Reply.Free_;
  Entry.FreeSlots_ = Reply.FreeSlots_;
  const std::string &Domain = Entry.Member_.Domain_;
  if (Domain == Domain_)
    return;
  auto &View = Domains_[Domain];
  if (View.AsOf_ > Sent)
    return;
  View = {Domain,      Entry.Member_.Name_, Sent,          Reply.Owner_, Reply.Term_,
          Reply.Free_, Reply.FreeSlots_,    Reply.Members_};
}

std::vector<Peer> PeerTable::peers() const {
  const std::lock_guard Lock(Mutex_);
  std::vector<Peer> Result;
  Result.reserve(Peers_.size());
  for (const auto &[Name, Entry] : Peers_)
    Result.push_back(Entry);
  return Result;
}

std::optional<Peer> PeerTable::find(std::string_view Name) const {
  const std::lock_guard Lock(Mutex_);
  const auto Found = Peers_.find(Name);
  return Found == Peers_.end() ? std::nullopt : std::optional(Found->second);
}

std::map<std::string, DomainView> PeerTable::domains() const {
  const std::lock_guard Lock(Mutex_);
  return Domains_;
}

std::optional<core::Duration> PeerTable::timeSinceReply(std::string_view Name,
                                                        core::TimePoint Now) const {
  const std::lock_guard Lock(Mutex_);
  const auto Found = Peers_.find(Name);
  if (Found == Peers_.end())
    return std::nullopt;
  return Now - Found->second.LastAnsweredProbeSent_.value_or(Found->second.ListedSince_);
}

std::optional<core::Duration> PeerTable::storeAge(std::string_view Name,
                                                  core::TimePoint Now) const {
  const std::lock_guard Lock(Mutex_);
  const auto Found = Peers_.find(Name);
  if (Found == Peers_.end() || !Found->second.StoreAsOf_)
    return std::nullopt;
  return Now - *Found->second.StoreAsOf_;
}

std::vector<protocol::MemberSummary> PeerTable::summary(core::TimePoint Now) const {
  const std::lock_guard Lock(Mutex_);
  std::vector<protocol::MemberSummary> Result;
  for (const auto &[Name, Entry] : Peers_) {
    if (Entry.Member_.Domain_ != Domain_ || !Entry.LastAnsweredProbeSent_)
      continue;
    // Rounds up, so that the reported age is never too low.
    Result.push_back({Name, Entry.Incarnation_, Entry.ConfigOffset_, Entry.ConfirmsConfig_,
                      core::toMillis(Now - *Entry.LastAnsweredProbeSent_) + 1});
  }
  return Result;
}

std::vector<ConfigEvidence> PeerTable::evidence() const {
  const std::lock_guard Lock(Mutex_);
  std::map<std::string, ConfigEvidence, std::less<>> Newest;
  const auto AddIfNewer = [&](ConfigEvidence Each) {
    const auto Known = Newest.find(Each.Name_);
    if (Known == Newest.end() || Each.Incarnation_ > Known->second.Incarnation_ ||
        (Each.Incarnation_ == Known->second.Incarnation_ && Each.AsOf_ > Known->second.AsOf_))
      Newest[Each.Name_] = std::move(Each);
  };
  for (const auto &[Name, Entry] : Peers_)
    if (Entry.LastAnsweredProbeSent_)
      AddIfNewer({Name, Entry.Incarnation_, Entry.ConfigOffset_, Entry.ConfirmsConfig_,
                  *Entry.LastAnsweredProbeSent_});
  for (const auto &[Domain, View] : Domains_)
    for (const auto &Each : View.Members_)
      if (Each.Name_ != OwnName_)
        AddIfNewer({Each.Name_, Each.Incarnation_, Each.ConfigOffset_, Each.ConfirmsConfig_,
                    View.AsOf_ - core::Millis(std::max<std::int64_t>(Each.AgeMs_, 0))});
  std::vector<ConfigEvidence> Result;
  Result.reserve(Newest.size());
  for (auto &[Name, Each] : Newest)
    Result.push_back(std::move(Each));
  return Result;
}

std::optional<PeerTable::KnownOwner> PeerTable::owner(std::string_view Domain) const {
  const std::lock_guard Lock(Mutex_);
  std::optional<KnownOwner> Highest;
  for (const auto &[Name, Entry] : Peers_)
    if (Entry.Member_.Domain_ == Domain && !Entry.Owner_.empty() &&
        (!Highest || Entry.Term_ > Highest->Term_))
      Highest = KnownOwner{Entry.Owner_, Entry.Term_};
  return Highest;
}

} // namespace masticdrift::membership
