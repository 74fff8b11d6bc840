/// \file
/// Planning of the service jobs that the configuration requires in a domain.
#ifndef MASTICDRIFT_CELL_SERVICES_H
#define MASTICDRIFT_CELL_SERVICES_H

#include "masticdrift/config/Configuration.h"
#include "masticdrift/jobs/Job.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::cell {

/// Prefix of the request ids of service jobs; callers can't use it.
inline constexpr std::string_view ServiceRequestIdPrefix = "service.";

/// Changes that make a domain's service jobs match the configuration.
struct ServicePlan {
  std::vector<jobs::JobSpec> Accept_;
  /// Job ids, dependents before their dependencies; jobs of removed replicas come last.
  std::vector<std::string> Cancel_;
};

/// \returns the domain that runs a replica: the domain set for the service, else one chosen round
/// robin.
std::string_view domainOfReplica(const config::Configuration &Config,
                                 const config::Service &Service, std::int64_t Replica);

/// Plans the service jobs of one domain.
///
/// A replica is accepted when at least one replica of every service that it depends on runs. A
/// replica whose definition changed is cancelled first and accepted again, under a new generation,
/// once it has ended.
///
/// \param Config the configuration in force.
/// \param Domain the domain to plan for.
/// \param Existing the domain's service jobs, finished ones included.
/// \param RunsInOtherDomain returns whether a service without a replica in this domain is known to
/// run.
ServicePlan planServices(const config::Configuration &Config, std::string_view Domain,
                         std::span<const jobs::Job> Existing,
                         const std::function<bool(const config::Service &)> &RunsInOtherDomain);

} // namespace masticdrift::cell

#endif // MASTICDRIFT_CELL_SERVICES_H
