/// \file
/// Parses and checks job submissions.
#ifndef MASTICDRIFT_GATEWAY_JOBREQUEST_H
#define MASTICDRIFT_GATEWAY_JOBREQUEST_H

#include "masticdrift/config/ConfigState.h"
#include "masticdrift/core/Error.h"
#include "masticdrift/jobs/Job.h"
#include "masticdrift/legacy/InstanceList.h"

#include <span>
#include <string_view>

namespace masticdrift::gateway {

/// A job parsed from a request body, or the first error in it.
struct ParsedJob {
  core::Failure Error_;
  jobs::JobSpec Spec_;     ///< without job id
  std::string HomeDomain_; ///< home domain given by the caller, may be empty
};

/// Parses the JSON body of a job submission: kind, tasks, cores, memory_mb, accelerators, run_ms,
/// idempotent, command, family, request_id, domain.
ParsedJob parseJob(std::string_view Body);

/// Checks whether a job can ever run in its home domain.
///
/// \param Spec the job.
/// \param HomeDomain the home domain of the job.
/// \param Instances the platform's instance list.
/// \param Allotment the team's resource limit in the domain.
/// \returns ImpossibleSize with the resource and the largest available amount, or no failure. No
/// job is refused while no worker of the domain is listed.
core::Failure checkJobFits(const jobs::JobSpec &Spec, std::string_view HomeDomain,
                           std::span<const legacy::Instance> Instances,
                           const config::Limit &Allotment);

} // namespace masticdrift::gateway

#endif // MASTICDRIFT_GATEWAY_JOBREQUEST_H
