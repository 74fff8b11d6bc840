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

Applied removeMember(ClaimState &State, std::uint64_t Offset, const std::string &Instance,
                     std::uint64_t Incarnation) {
  if (!hasMember(State, Instance, Incarnation))
    return {};
  State.Members_.erase(Instance);
  State.Version_ = Offset;
  return {ClaimEvent::MembersChanged, true, Instance, Incarnation, 0};
}

Applied applyJoin(ClaimState &State, std::uint64_t Offset, const Join &Record) {
  const auto Found = State.Members_.find(Record.Instance_);
  const bool Known = Found != State.Members_.end();
  if (Known && Record.Incarnation_ <= Found->second.Incarnation_)
    return {};
  State.Members_[Record.Instance_] = {Record.Incarnation_, Record.Address_, Offset};
  if (Known)
    State.Version_ = Offset;
  return {ClaimEvent::MembersChanged, Known, Record.Instance_, Record.Incarnation_, 0};
}

Applied applyClaim(ClaimState &State, std::uint64_t Offset, const Claim &Record,
                   bool CheckVersion) {
  if (!hasMember(State, Record.Instance_, Record.Incarnation_) || Record.Term_ != State.Term_ + 1 ||
      (CheckVersion && Record.BaseVersion_ != State.Version_))
    return {};
  State.Term_ = Record.Term_;
  State.Owner_ = Record.Instance_;
  State.OwnerIncarnation_ = Record.Incarnation_;
  State.Version_ = Offset;
  // The claimant holds nothing before it has read its own claim, and with it this prefix.
  State.MemberOffset_ = Offset;
  State.Released_ = false;
  return {ClaimEvent::Claimed, true, Record.Instance_, Record.Incarnation_, Record.Nonce_};
}

Applied applyRenew(ClaimState &State, std::uint64_t Offset, const Renew &Record) {
  if (Record.Term_ != State.Term_ || !ownedBy(State, Record.Instance_, Record.Incarnation_) ||
      !hasMember(State, Record.Instance_, Record.Incarnation_))
    return {};
  State.Version_ = Offset;
  State.MemberOffset_ = std::max(State.MemberOffset_, std::min(Record.MemberOffset_, Offset));
  return {ClaimEvent::Renewed, true, Record.Instance_, Record.Incarnation_, Record.Nonce_};
}

Applied applyRelease(ClaimState &State, std::uint64_t Offset, const Release &Record) {
  if (Record.Term_ != State.Term_ || !ownedBy(State, Record.Instance_, Record.Incarnation_))
    return {};
  State.Owner_.clear();
  State.OwnerIncarnation_ = 0;
  State.Version_ = Offset;
  State.Released_ = true;
  return {ClaimEvent::Released, true, Record.Instance_, Record.Incarnation_, 0};
}

template <typename T, typename Apply> Applied decoded(std::string_view Body, Apply With) {
  const auto Record = core::unpack<T>(Body);
  return Record ? With(*Record) : Applied{};
}

} // namespace

Applied ClaimTable::apply(std::uint64_t Offset, RecordType Type, std::string_view Body) {
  State_.ReadTo_ = std::max(State_.ReadTo_, Offset);
  switch (Type) {
  case RecordType::Join:
    return decoded<Join>(Body, [&](const Join &R) { return applyJoin(State_, Offset, R); });
  case RecordType::Leave:
    return decoded<Leave>(Body, [&](const Leave &R) {
      // An instance that stops before its Join took effect also ends its earlier incarnations.
      const auto Found = State_.Members_.find(R.Instance_);
      return Found != State_.Members_.end() && Found->second.Incarnation_ <= R.Incarnation_
                 ? removeMember(State_, Offset, R.Instance_, Found->second.Incarnation_)
                 : Applied{};
    });
  case RecordType::Evict:
    return decoded<Evict>(Body, [&](const Evict &R) {
      return R.Term_ == State_.Term_ ? removeMember(State_, Offset, R.Instance_, R.Incarnation_)
                                     : Applied{};
    });
  case RecordType::Claim:
    return decoded<Claim>(
        Body, [&](const Claim &R) { return applyClaim(State_, Offset, R, CheckVersion_); });
  case RecordType::Renew:
    return decoded<Renew>(Body, [&](const Renew &R) { return applyRenew(State_, Offset, R); });
  case RecordType::Release:
    return decoded<Release>(Body,
                            [&](const Release &R) { return applyRelease(State_, Offset, R); });
  default:
    return {};
  }
}

bool ClaimTable::isMember(std::string_view Instance, std::uint64_t Incarnation) const {
  return hasMember(State_, std::string(Instance), Incarnation);
}

std::vector<std::string> ClaimTable::consenters(std::string_view Instance) const {
  if (State_.Owner_.empty())
    return {};
  std::vector<std::string> InView;
  const std::pair<const std::string, DomainMember> *First = nullptr;
  for (const auto &Each : State_.Members_) {
    if (ownedBy(State_, Each.first, Each.second.Incarnation_))
      continue;
    if (Each.second.JoinOffset_ <= State_.MemberOffset_)
      InView.push_back(Each.first);
    if (First == nullptr || Each.second.JoinOffset_ < First->second.JoinOffset_)
      First = &Each;
  }
  if (std::ranges::find(InView, Instance) != InView.end())
    return {};
  if (!InView.empty())
    return InView;
  if (First == nullptr || First->first == Instance)
    return {};
  return {First->first};
}

} // namespace masticdrift::ownership
