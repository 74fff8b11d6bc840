#include "masticdrift/work/Evacuations.h"

namespace masticdrift::work {

EvacuationChange EvacuationTable::apply(std::string_view Domain, bool Withdrawn,
                                        std::uint64_t Offset) {
  if (!KnownDomains_.empty() && !KnownDomains_.contains(Domain))
    return EvacuationChange::UnknownDomain;
  const auto Found = Offsets_.find(Domain);
  if (Found != Offsets_.end() && Offset <= Found->second)
    return EvacuationChange::None;
  if (!Withdrawn) {
    const bool IsNew = Found == Offsets_.end();
    Offsets_[std::string(Domain)] = Offset;
    return IsNew ? EvacuationChange::Requested : EvacuationChange::None;
  }
  if (Found == Offsets_.end())
    return EvacuationChange::None;
  Offsets_.erase(Found);
  return EvacuationChange::Withdrawn;
}

std::vector<Evacuation> EvacuationTable::retain(const std::set<std::string, std::less<>> &Domains) {
  std::vector<Evacuation> Withdrawn;
  std::erase_if(Offsets_, [&](const auto &Entry) {
    if (Domains.contains(Entry.first))
      return false;
    Withdrawn.push_back({Entry.first, Entry.second});
    return true;
  });
  return Withdrawn;
}

bool EvacuationTable::replace(const std::vector<Evacuation> &Evacuations) {
  std::map<std::string, std::uint64_t, std::less<>> Offsets;
  for (const Evacuation &Request : Evacuations)
    if (KnownDomains_.empty() || KnownDomains_.contains(Request.Domain_))
      Offsets[Request.Domain_] = Request.Offset_;
  if (Offsets == Offsets_)
    return false;
  Offsets_ = std::move(Offsets);
  return true;
}

std::vector<Evacuation> EvacuationTable::list() const {
  std::vector<Evacuation> Evacuations;
  for (const auto &[Domain, Offset] : Offsets_)
    Evacuations.push_back({Domain, Offset});
  return Evacuations;
}

} // namespace masticdrift::work
