/// \file
/// Memory that jobs take in the daemons, and whether there is enough for one more.
#ifndef MASTICDRIFT_LEAD_JOBMEMORY_H
#define MASTICDRIFT_LEAD_JOBMEMORY_H

#include "masticdrift/lead/Admission.h"
#include "masticdrift/work/Job.h"

#include <cstddef>
#include <string_view>

namespace masticdrift::lead {

/// \returns the memory that a job takes in a leader from its acceptance to its end, in bytes. Other
/// daemons hold less of it. Runs are not included.
std::size_t jobMemory(const work::JobSpec &Spec);

/// Memory for jobs, in bytes.
struct WorkMemory {
  std::size_t Limit_ = 0; ///< for all jobs; 0 for no limit
  std::size_t Held_ = 0;  ///< taken by all jobs
  std::size_t HeldByCustomer_ = 0;
};

/// Decides whether there is memory for a job of \p JobBytes.
///
/// A customer may take as much as is free. So a customer that submits all it can leaves half of the
/// memory to others, two of them a third, and one that has nothing yet always finds room for some.
///
/// \param JobId spreads the times at which refused callers return.
AdmissionDecision admitMemory(const WorkMemory &Memory, std::size_t JobBytes,
                              std::string_view JobId);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_JOBMEMORY_H
