/// \file
/// Splits team limits into per-domain allotments.
#ifndef MASTICDRIFT_CONFIG_ALLOTMENT_H
#define MASTICDRIFT_CONFIG_ALLOTMENT_H

#include "masticdrift/config/Configuration.h"

#include <cstdint>
#include <span>
#include <vector>

namespace masticdrift::config {

/// Splits \p Total in proportion to \p Weights by the largest remainder method. Equal remainders go
/// to the lower index.
///
/// \param Total at least 0; Total times the largest weight must fit in 63 bits.
/// \param Weights each at least 0. When all are 0, the parts are as equal as possible.
/// \returns one part per weight; the parts sum to Total. Empty without weights.
std::vector<std::int64_t> splitAmount(std::int64_t Total, std::span<const std::int64_t> Weights);

/// Splits a team limit over all domains. A whole number of cores is split into whole cores, because
/// a fraction of a core in each domain would be room that no task fits.
///
/// \returns one part per domain, in the order of \p Domains. The parts sum to the limit in every
/// kind and do not depend on the order of the domains.
std::vector<Limit> splitLimit(const Limit &TeamLimit, std::span<const Domain> Domains);

} // namespace masticdrift::config

#endif // MASTICDRIFT_CONFIG_ALLOTMENT_H
