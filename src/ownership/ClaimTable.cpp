#include "masticdrift/ownership/ClaimTable.h"

#include <algorithm>

namespace masticdrift::ownership {

namespace {

using journal::RecordType;

bool ownedBy(const ClaimState &State, std::string_view Instance, std::uint64_t Incarnation) {
  return State.Owner_ == Instance && State.OwnerIncarnation_ == Incarnation;
}

bool hasMember(const ClaimState &State, const std::string &Instance, std::uint64_t Incarnation) {
  const auto Found = State.Members_.find(Instance);
  return Found != State.Members_.end() && Found->second.Incarnation_ == Incarnation;
}

ApplyResult removeMember(ClaimState &State, std::uint64_t Offset, const std::string &Instance,
                         std::uint64_t Incarnation) {
  if (!hasMember(State, Instance, Incarnation))
    return {};
  State.Members_.erase(Instance);
  State.Version_ = Offset;
  return {ClaimEvent::MembersChanged, true, Instance, Incarnation, 0};
}

ApplyResult applyJoin(ClaimState &State, std::uint64_t Offset, const Join &Record) {
  const auto Found = State.Members_.find(Record.Instance_);
  const bool IsRejoin = Found != State.Members_.end();
  if (IsRejoin && Record.Incarnation_ <= Found->second.Incarnation_)
    return {};
  State.Members_[Record.Instance_] = {Record.Incarnation_, Record.Address_, Offset};
  if (IsRejoin)
    State.Version_ = Offset;
  return {ClaimEvent::MembersChanged, IsRejoin, Record.Instance_, Record.Incarnation_, 0};
}

ApplyResult applyClaim(ClaimState &State, std::uint64_t Offset, const Claim &Record,
                       bool CheckVersion) {
  if (!hasMember(State, Record.Instance_, Record.Incarnation_) || Record.Term_ != State.Term_ + 1 ||
      (CheckVersion && Record.BaseVersion_ != State.Version_))
    return {};
  State.Term_ = Record.Term_;
  State.Owner_ = Record.Instance_;
  State.OwnerIncarnation_ = Record.Incarnation_;
  State.Version_ = Offset;
  // The claimant holds no lease before it has read its own claim, and with it all earlier records.
  State.OwnerReadOffset_ = Offset;
  State.Released_ = false;
  return {ClaimEvent::Claimed, true, Record.Instance_, Record.Incarnation_, Record.Nonce_};
}

ApplyResult applyRenew(ClaimState &State, std::uint64_t Offset, const Renew &Record) {
  if (Record.Term_ != State.Term_ || !ownedBy(State, Record.Instance_, Record.Incarnation_) ||
      !hasMember(State, Record.Instance_, Record.Incarnation_))
    return {};
  State.Version_ = Offset;
  State.OwnerReadOffset_ =
      std::max(State.OwnerReadOffset_, std::min(Record.OwnerReadOffset_, Offset));
  return {ClaimEvent::Renewed, true, Record.Instance_, Record.Incarnation_, Record.Nonce_};
}

ApplyResult applyRelease(ClaimState &State, std::uint64_t Offset, const Release &Record) {
  if (Record.Term_ != State.Term_ || !ownedBy(State, Record.Instance_, Record.Incarnation_))
    return {};
  State.Owner_.clear();
  State.OwnerIncarnation_ = 0;
  State.Version_ = Offset;
  State.Released_ = true;
  return {ClaimEvent::Released, true, Record.Instance_, Record.Incarnation_, 0};
}

template <typename T, typename HandlerFunction>
ApplyResult decodeAndApply(std::string_view Body, HandlerFunction Handler) {
  const auto Record = core::unpack<T>(Body);
  return Record ? Handler(*Record) : ApplyResult{};
}

} // namespace

ApplyResult ClaimTable::apply(std::uint64_t Offset, RecordType Type, std::string_view Body) {
  State_.AppliedOffset_ = std::max(State_.AppliedOffset_, Offset);
  switch (Type) {
  case RecordType::Join:
    return decodeAndApply<Join>(
        Body, [&](const Join &Record) { return applyJoin(State_, Offset, Record); });
  case RecordType::Leave:
    return decodeAndApply<Leave>(Body, [&](const Leave &Record) {
      // A Leave also ends earlier incarnations: the instance may stop before its own Join took
      // effect.
      const auto Found = State_.Members_.find(Record.Instance_);
      return Found != State_.Members_.end() && Found->second.Incarnation_ <= Record.Incarnation_
                 ? removeMember(State_, Offset, Record.Instance_, Found->second.Incarnation_)
                 : ApplyResult{};
    });
  case RecordType::Evict:
    return decodeAndApply<Evict>(Body, [&](const Evict &Record) {
      return Record.Term_ == State_.Term_
                 ? removeMember(State_, Offset, Record.Instance_, Record.Incarnation_)
                 : ApplyResult{};
    });
  case RecordType::Claim:
    return decodeAndApply<Claim>(Body, [&](const Claim &Record) {
      return applyClaim(State_, Offset, Record, CheckVersion_);
    });
  case RecordType::Renew:
    return decodeAndApply<Renew>(
        Body, [&](const Renew &Record) { return applyRenew(State_, Offset, Record); });
  case RecordType::Release:
    return decodeAndApply<Release>(
        Body, [&](const Release &Record) { return applyRelease(State_, Offset, Record); });
  default:
    return {};
  }
}

bool ClaimTable::isMember(std::string_view Instance, std::uint64_t Incarnation) const {
  return hasMember(State_, std::string(Instance), Incarnation);
}

std::vector<std::string> ClaimTable::requiredConsenters(std::string_view Instance) const {
  if (State_.Owner_.empty())
    return {};
  std::vector<std::string> ViewMembers;
  const std::pair<const std::string, DomainMember> *FirstJoined = nullptr;
  for (const auto &Member : State_.Members_) {
    if (ownedBy(State_, Member.first, Member.second.Incarnation_))
      continue;
    if (Member.second.JoinOffset_ <= State_.OwnerReadOffset_)
      ViewMembers.push_back(Member.first);
    if (FirstJoined == nullptr || Member.second.JoinOffset_ < FirstJoined->second.JoinOffset_)
      FirstJoined = &Member;
  }
  if (std::ranges::find(ViewMembers, Instance) != ViewMembers.end())
    return {};
  if (!ViewMembers.empty())
    return ViewMembers;
  if (FirstJoined == nullptr || FirstJoined->first == Instance)
    return {};
  return {FirstJoined->first};
}

} // namespace masticdrift::ownership
