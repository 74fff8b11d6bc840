/// \file
/// Ranks the failure domains that can serve an interactive request.
#ifndef MASTICDRIFT_ROUTING_DOMAINRANKING_H
#define MASTICDRIFT_ROUTING_DOMAINRANKING_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::routing {

/// State of one failure domain as known to the daemon that received a request.
struct DomainView {
  std::string Name_;
  std::string Region_;
  std::string Owner_;               ///< instance that owns the domain, empty if unknown
  std::int64_t FreeSlots_ = 0;      ///< free executor slots in the owner's last report
  std::int64_t QueuedRequests_ = 0; ///< requests queued at the owner
  bool OwnerReachable_ = false;     ///< the owner answered a recent probe or is this daemon
};

/// Ranks the domains in which a request may be served.
///
/// Domains with a free slot come before full ones; among equals, the receiver's own region comes
/// first, and in it the receiver's own domain. Requests thus cross the link between regions only if
/// every domain of the own region is full or unreachable.
///
/// \param Domains all known domains.
/// \param OwnDomain the receiving daemon's failure domain.
/// \param OwnRegion the receiving daemon's region.
/// \returns indexes into \p Domains, best first; domains without a reachable owner are
/// left out.
std::vector<std::size_t> rankDomains(std::span<const DomainView> Domains,
                                     std::string_view OwnDomain, std::string_view OwnRegion);

} // namespace masticdrift::routing

#endif // MASTICDRIFT_ROUTING_DOMAINRANKING_H
