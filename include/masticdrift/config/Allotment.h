/// \file
/// Splits the resource limits of teams into one allotment per failure domain.
#ifndef MASTICDRIFT_CONFIG_ALLOTMENT_H
#define MASTICDRIFT_CONFIG_ALLOTMENT_H

#include "masticdrift/config/Configuration.h"

#include <cstdint>
#include <span>
#include <vector>

namespace masticdrift::config {

/// Splits \p Total in proportion to \p Weights by the largest remainder method. Of equal
/// remainders, the one with the lower index is rounded up first.
///
/// \param Total at least 0; Total times the largest weight must fit in 63 bits.
/// \param Weights each at least 0. When all are 0, they count as equal.
/// \returns one part per weight; the parts sum to Total. Empty when \p Weights is empty.
std::vector<std::int64_t> splitAmount(std::int64_t Total, std::span<const std::int64_t> Weights);

/// Splits a team limit over all domains. A whole number of cores is split into whole cores, because
/// a fraction of a core in each domain would be capacity that no task can use.
///
/// \returns one part per domain, in the order of \p Domains. The parts sum to the limit for every
/// resource, and a domain's part does not depend on the order of the domains.
std::vector<Limit> splitLimit(const Limit &TeamLimit, std::span<const Domain> Domains);

} // namespace masticdrift::config

#endif // MASTICDRIFT_CONFIG_ALLOTMENT_H
