/// \file
/// Executors whose capacity changes while they run.
#ifndef MASTICDRIFT_LEAD_CAPACITY_H
#define MASTICDRIFT_LEAD_CAPACITY_H

#include "masticdrift/lead/Model.h"

#include <string>

namespace masticdrift::lead {

/// \returns true when the runs of an executor, including those that are starting or being stopped,
/// need more than its capacity.
bool exceedsCapacity(const ExecutorState &Executor);

/// \returns false while the executor list may still show the capacity and the labels of an earlier
/// incarnation.
///
/// \param MaxListDelay time after the first report of an incarnation for which its entry is waited
/// for.
bool isEntryCurrent(const ExecutorState &Executor, core::TimePoint Now, core::Millis MaxListDelay);

/// Describes a change of an executor's capacity for the log.
///
/// \param NewCapacity the capacity that is about to replace the known one.
/// \returns the capacity before and after, and what is in use, each as millicores, memory in
/// mebibytes and accelerators.
std::string describeCapacityChange(const ExecutorState &Executor,
                                   const core::Resources &NewCapacity);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_CAPACITY_H
