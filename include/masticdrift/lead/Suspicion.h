/// \file
/// Finds the tasks that crash the executors which start them.
///
/// Such a task crashes its executor right after the start. The executor loses all its runs, but
/// only those that it had just started come into question. These are recorded as suspect when the
/// executor falls silent, and count when it turns out to have crashed.
///
/// Example:
/// \code
///   addSuspicion(Job.Progress_, Task, {Run.Number_, ExecutorId, Incarnation, false, Address});
///   // later the executor answers as a new incarnation
///   for (const work::TaskRef &Task :
///        confirmCrash(Job.Progress_, Job.Id_, ExecutorId, NewIncarnation))
///     if (crashCount(Job.Progress_, Task) >= Limit)
///       endJob(Job, work::JobState::Failed, Now, work::FailureReason::CrashesExecutors);
/// \endcode
#ifndef MASTICDRIFT_LEAD_SUSPICION_H
#define MASTICDRIFT_LEAD_SUSPICION_H

#include "masticdrift/work/Ledger.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace masticdrift::lead {

/// \returns how many executors have crashed right after they had started the task.
std::size_t crashCount(const work::ProgressRecord &Record, const work::TaskRef &Task);

/// \returns how many of these executors had confirmed the start.
std::size_t confirmedCrashCount(const work::ProgressRecord &Record, const work::TaskRef &Task);

/// Records that the executor of \p Run was lost right after it had started the run. Repeated calls
/// for one run have no further effect, except that a crash replaces a mere silence.
/// \returns true when the record has changed.
bool addSuspicion(work::ProgressRecord &Record, const work::TaskRef &Task, work::SuspectRun Run);

/// Counts the suspicions against runs on an executor that has crashed.
/// \param Job id of the job.
/// \param Incarnation the incarnation that answers after the crash, 0 when unknown; suspicions
/// against its own runs are left as they are.
/// \returns the tasks whose count has changed.
std::vector<work::TaskRef> confirmCrash(work::ProgressRecord &Record, std::string_view Job,
                                        std::string_view ExecutorId, std::int64_t Incarnation);

/// Counts the suspicions against runs on executors that another one has replaced.
/// \param Address address of the present executor.
/// \param ExecutorId the present executor.
/// \returns the tasks whose count has changed.
std::vector<work::TaskRef> confirmReplacement(work::ProgressRecord &Record, std::string_view Job,
                                              std::string_view Address,
                                              std::string_view ExecutorId);

/// \returns true while it is not known whether an executor has crashed under the task.
bool hasOpenSuspicion(const work::ProgressRecord &Record, const work::TaskRef &Task);

/// \returns true when an executor at \p Address has crashed under the task.
bool hasCrashedAt(const work::ProgressRecord &Record, const work::TaskRef &Task,
                  std::string_view Address);

/// Removes the suspicions against runs on an executor that was silent and has not crashed.
/// \returns true when the record has changed.
bool dismissSilence(work::ProgressRecord &Record, std::string_view ExecutorId,
                    std::int64_t Incarnation);

/// Removes all suspicions against a task whose executor has survived its start.
/// \returns true when the record has changed.
bool clearTask(work::ProgressRecord &Record, const work::TaskRef &Task);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_SUSPICION_H
