#include "masticdrift/routing/Choose.h"

#include <algorithm>
#include <tuple>

namespace masticdrift::routing {

std::vector<std::size_t> chooseDomains(std::span<const DomainView> Domains,
                                       std::string_view OwnDomain, std::string_view OwnRegion) {
  std::vector<std::size_t> Order;
  for (std::size_t I = 0; I < Domains.size(); ++I)
    if (Domains[I].Reachable_ && !Domains[I].Owner_.empty())
      Order.push_back(I);
  const auto Rank = [&](std::size_t I) {
    const DomainView &View = Domains[I];
    const bool Full = View.FreeSlots_ <= 0;
    const bool Foreign = View.Region_ != OwnRegion;
    const bool Other = View.Name_ != OwnDomain;
    return std::tuple(Full, Foreign, Other, View.Queued_ - View.FreeSlots_,
                      std::string_view(View.Name_));
  };
  std::ranges::sort(Order, {}, Rank);
  return Order;
}

} // namespace masticdrift::routing
