/// \file
/// Submission of durable jobs and checks of their runs against the workers' records, for tests.
#ifndef MASTICDRIFT_TESTING_JOBCHECKS_H
#define MASTICDRIFT_TESTING_JOBCHECKS_H

#include "support/Api.h"

#include <cstdint>
#include <string>
#include <vector>

namespace masticdrift::testing {

/// A submitted job and the daemon that received it.
struct SubmittedJob {
  std::string Id_; ///< empty when it was not accepted
  Json Body_;
  std::string Daemon_; ///< daemon that received it
};

/// \returns a batch job with 2 to 4 tasks of 300 to 1500 ms, every second one idempotent.
Json mixedJob(const std::string &RequestId, int Number);

/// Submits a job through a daemon and retries with the same request id until it is accepted.
SubmittedJob submitUntilAccepted(Fleet &Cluster, const std::string &Daemon, const Json &Job,
                                 const std::string &Key, core::Millis Deadline);

/// \returns the daemon that reports itself as the owner of the domain, empty when none does.
std::string ownerOf(Fleet &Cluster, const std::string &Domain);

/// \returns the names of all failure domains of the fleet.
std::vector<std::string> domainsOf(Fleet &Cluster);

/// Waits until all jobs have succeeded.
/// \returns null on success, otherwise the last status of the first job that has not succeeded.
Json awaitAllSucceeded(Fleet &Cluster, const std::vector<SubmittedJob> &Jobs,
                       const std::string &QueriedDaemon, const std::string &Key,
                       core::Millis Deadline);

/// Checks the workers' records: every task of \p Jobs succeeded exactly once, no task ran on two
/// workers at once and no worker was overcommitted.
/// \returns one line per violation.
std::vector<std::string> violations(const Json &Evidence, const std::vector<SubmittedJob> &Jobs);

/// \returns the milliseconds from \p WallMs to the first start after it in a domain, -1 without
/// one.
std::int64_t firstStartAfter(const Json &Evidence, const std::string &Domain, std::int64_t WallMs);

/// \returns the lines, each followed by a line break.
std::string join(const std::vector<std::string> &Lines);

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTING_JOBCHECKS_H
