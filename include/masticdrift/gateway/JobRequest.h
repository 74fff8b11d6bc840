/// \file
/// Reads a submitted job.
#ifndef MASTICDRIFT_GATEWAY_JOBREQUEST_H
#define MASTICDRIFT_GATEWAY_JOBREQUEST_H

#include "masticdrift/config/ConfigState.h"
#include "masticdrift/core/Error.h"
#include "masticdrift/jobs/Job.h"
#include "masticdrift/legacy/InstanceList.h"

#include <span>
#include <string_view>

namespace masticdrift::gateway {

/// A job as read from a request body, or the first mistake.
struct ParsedJob {
  core::Failure Error_;
  jobs::JobSpec Spec_;     ///< without id
  std::string HomeDomain_; ///< home domain named by the caller, may be empty
};

/// Reads the JSON body of a job submission: kind, tasks, cores, memory_mb, accelerators, run_ms,
/// idempotent, command, family, request_id, domain.
ParsedJob parseJob(std::string_view Body);

/// Checks whether a job can ever run in its home domain.
///
/// \param Spec the job.
/// \param HomeDomain its home domain.
/// \param Instances the platform's list.
/// \param Allotment what the team may use in the domain.
/// \returns ImpossibleSize with the resource and the largest amount available, or no failure.
/// Nothing is refused while no worker of the domain is listed.
core::Failure checkJobFits(const jobs::JobSpec &Spec, std::string_view HomeDomain,
                           std::span<const legacy::Instance> Instances,
                           const config::Limit &Allotment);

} // namespace masticdrift::gateway

#endif // MASTICDRIFT_GATEWAY_JOBREQUEST_H
