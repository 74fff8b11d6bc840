/// \file
/// Durable jobs and their tasks.
#ifndef MASTICDRIFT_JOBS_JOB_H
#define MASTICDRIFT_JOBS_JOB_H

#include "masticdrift/core/Resources.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::jobs {

/// Kind of a job. A gang starts all tasks together; a service runs until it is cancelled.
enum class JobKind : std::uint8_t { Batch, Gang, Service };

/// State of a job, derived from the states of its tasks.
enum class JobState : std::uint8_t { Queued, Running, Succeeded, Failed, Cancelled, Unknown };

/// State of a task.
enum class TaskState : std::uint8_t {
  Queued,
  Running, ///< a Start record is in force
  Succeeded,
  Failed,
  Cancelled,
  Held, ///< unknown whether the task ran; it is never started again
};

/// How an attempt ended, as far as the owner of the domain knows.
enum class TaskOutcome : std::uint8_t {
  Succeeded,
  Failed,       ///< ended with an error
  Stopped,      ///< stopped on request after it had started
  Checkpointed, ///< stopped, with its progress saved
  Lost,         ///< the worker's lease ended; unknown whether the task ran to completion
  NeverRan,     ///< the worker never started it
};

/// Maximum number of tasks of a job.
inline constexpr std::uint32_t MaxTasks = 10'000;

/// A job as submitted by a caller.
struct JobSpec {
  std::string Id_; ///< "<domain>/<team>/<request id>"
  std::string Team_;
  std::string Queue_;
  JobKind Kind_ = JobKind::Batch;
  std::uint32_t TaskCount_ = 1;
  core::Resources Need_;           ///< resources of each task
  std::int64_t DeclaredRunMs_ = 0; ///< declared run time, 0 when not declared
  bool Idempotent_ = false;        ///< tasks may safely run more than once
  bool Urgent_ = false;
  std::string RequestId_;
  std::string Command_;
  std::int64_t AcceptedWallMs_ = 0;
  std::string Family_; ///< jobs of one family have similar run times
  MSGPACK_DEFINE_ARRAY(Id_, Team_, Queue_, Kind_, TaskCount_, Need_, DeclaredRunMs_, Idempotent_,
                       Urgent_, RequestId_, Command_, AcceptedWallMs_, Family_)
  bool operator==(const JobSpec &) const = default;
};

/// State of one task.
struct Task {
  TaskState State_ = TaskState::Queued;
  std::uint32_t Attempt_ = 0; ///< attempt of the last Start, 0 before the first one
  std::string Worker_;        ///< worker of the last Start
  std::uint64_t Term_ = 0;    ///< term of the last Start
  std::uint64_t Offset_ = 0;  ///< offset of the record that led to this state
  std::int32_t ExitCode_ = 0;
  std::string Reason_;          ///< reason of a Hold
  std::string LeaseGeneration_; ///< generation of the worker's lease, from the last Start
  MSGPACK_DEFINE_ARRAY(State_, Attempt_, Worker_, Term_, Offset_, ExitCode_, Reason_,
                       LeaseGeneration_)
  bool operator==(const Task &) const = default;
};

/// A job and its tasks.
struct Job {
  std::shared_ptr<const JobSpec> Spec_;
  JobState State_ = JobState::Queued;
  std::uint64_t AcceptOffset_ = 0;
  std::uint64_t AcceptSequence_ = 0; ///< position in the domain's order of acceptance, from 1
  std::uint64_t FinishSequence_ = 0; ///< position in the order of completion, 0 while unfinished
  bool CancelRequested_ = false;
  std::string CancelledBy_;
  std::vector<Task> Tasks_;
};

/// \returns true when \p State is Succeeded, Failed, Cancelled or Unknown.
constexpr bool isFinished(JobState State) {
  return State != JobState::Queued && State != JobState::Running;
}

/// \returns true for final states. Only a late End of a held task still changes such a state.
constexpr bool isFinished(TaskState State) {
  return State != TaskState::Queued && State != TaskState::Running;
}

/// Tells whether a task may run again after an attempt. A task of a job that is not idempotent may
/// do so only when the attempt certainly never ran or saved its progress; a service always may.
///
/// \returns true when another attempt is allowed after \p Outcome.
bool mayRunAgain(const JobSpec &Spec, TaskOutcome Outcome);

/// \returns the state of a job with \p Tasks.
JobState stateOf(const std::vector<Task> &Tasks);

/// \returns true when all fields of a decoded specification are in range.
bool isValid(const JobSpec &Spec);

/// \returns "batch", "gang" or "service".
std::string_view nameOf(JobKind Kind);

/// \returns the name of \p State in lower case.
std::string_view nameOf(JobState State);

/// \returns the name of \p State in lower case.
std::string_view nameOf(TaskState State);

} // namespace masticdrift::jobs

MSGPACK_ADD_ENUM(masticdrift::jobs::JobKind);
MSGPACK_ADD_ENUM(masticdrift::jobs::JobState);
MSGPACK_ADD_ENUM(masticdrift::jobs::TaskState);
MSGPACK_ADD_ENUM(masticdrift::jobs::TaskOutcome);

#endif // MASTICDRIFT_JOBS_JOB_H
