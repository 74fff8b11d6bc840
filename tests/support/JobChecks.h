/// \file
/// Submitting and judging durable jobs by the workers' evidence, for tests.
#ifndef MASTICDRIFT_TESTING_JOBCHECKS_H
#define MASTICDRIFT_TESTING_JOBCHECKS_H

#include "support/Api.h"

#include <cstdint>
#include <string>
#include <vector>

namespace masticdrift::testing {

struct SubmittedJob {
  std::string Id_; ///< empty when it was not accepted
  Json Body_;
  std::string Daemon_; ///< daemon that took it
};

/// A job of the mix used by the durable scenarios: 2 to 4 tasks of 300 to 1500 ms.
Json mixedJob(const std::string &RequestId, int Number);

/// Submits through a daemon, again with the same request id until it is accepted.
SubmittedJob submitUntilAccepted(Fleet &Cluster, const std::string &Daemon, const Json &Job,
                                 const std::string &Key, core::Millis Deadline);

/// \returns the daemon that says that it owns the domain, empty when none does.
std::string ownerOf(Fleet &Cluster, const std::string &Domain);

/// \returns the names of all failure domains of the fleet.
std::vector<std::string> domainsOf(Fleet &Cluster);

/// Waits until all jobs have succeeded.
/// \returns the status of the first job that has not, or null.
Json awaitAllSucceeded(Fleet &Cluster, const std::vector<SubmittedJob> &Jobs,
                       const std::string &QueriedDaemon, const std::string &Key,
                       core::Millis Deadline);

/// Checks at the workers that every task of \p Jobs reached its own end exactly once, that no task
/// ran in two places at once and that no worker was overcommitted.
/// \returns one line per violation.
std::vector<std::string> violations(const Json &Evidence, const std::vector<SubmittedJob> &Jobs);

/// \returns the milliseconds from \p WallMs to the first start after it in a domain, -1 without
/// one.
std::int64_t firstStartAfter(const Json &Evidence, const std::string &Domain, std::int64_t WallMs);

std::string join(const std::vector<std::string> &Lines);

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTING_JOBCHECKS_H
