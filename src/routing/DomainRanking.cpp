#include "masticdrift/routing/DomainRanking.h"

#include <algorithm>
#include <tuple>

namespace masticdrift::routing {

std::vector<std::size_t> rankDomains(std::span<const DomainView> Domains,
                                     std::string_view OwnDomain, std::string_view OwnRegion) {
  std::vector<std::size_t> RankedDomains;
  for (std::size_t Index = 0; Index < Domains.size(); ++Index)
    if (Domains[Index].OwnerReachable_ && !Domains[Index].Owner_.empty())
      RankedDomains.push_back(Index);
  const auto SortKey = [&](std::size_t Index) {
    const DomainView &Domain = Domains[Index];
    const bool Full = Domain.FreeSlots_ <= 0;
    const bool OtherRegion = Domain.Region_ != OwnRegion;
    const bool OtherDomain = Domain.Name_ != OwnDomain;
    return std::tuple(Full, OtherRegion, OtherDomain, Domain.QueuedRequests_ - Domain.FreeSlots_,
                      std::string_view(Domain.Name_));
  };
  std::ranges::sort(RankedDomains, {}, SortKey);
  return RankedDomains;
}

} // namespace masticdrift::routing
