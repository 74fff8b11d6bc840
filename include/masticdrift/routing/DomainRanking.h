/// \file
/// Which failure domain should serve an interactive request.
#ifndef MASTICDRIFT_ROUTING_DOMAINRANKING_H
#define MASTICDRIFT_ROUTING_DOMAINRANKING_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::routing {

/// What is known of one failure domain at the daemon that received a request.
struct DomainView {
  std::string Name_;
  std::string Region_;
  std::string Owner_;               ///< instance that owns the domain, empty when none is known
  std::int64_t FreeSlots_ = 0;      ///< executor slots free when the owner was last heard
  std::int64_t QueuedRequests_ = 0; ///< requests waiting there
  bool OwnerReachable_ = false;     ///< the owner answered a recent probe, or is this daemon
};

/// Orders the domains in which a request may be served.
///
/// Domains with a free slot come before full ones; then the own domain, then the own region, so
/// that requests cross the link between regions only when everything nearer is full or gone.
///
/// \param Domains all domains known.
/// \param OwnDomain the receiving daemon's failure domain.
/// \param OwnRegion its region.
/// \returns indexes into \p Domains, best first; domains without a reachable owner are left out.
std::vector<std::size_t> rankDomains(std::span<const DomainView> Domains,
                                     std::string_view OwnDomain, std::string_view OwnRegion);

} // namespace masticdrift::routing

#endif // MASTICDRIFT_ROUTING_DOMAINRANKING_H
