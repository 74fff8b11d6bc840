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

enum class JobKind : std::uint8_t { Batch, Gang, Service };

enum class JobState : std::uint8_t { Queued, Running, Succeeded, Failed, Cancelled, Unknown };

enum class TaskState : std::uint8_t {
  Queued,
  Running, ///< a Start record is in force
  Succeeded,
  Failed,
  Cancelled,
  Held, ///< whether the task ran is unknown; it is never run again
};

/// How an attempt ended, as far as the owner knows.
enum class TaskOutcome : std::uint8_t {
  Succeeded,
  Failed,       ///< ended with a failure
  Stopped,      ///< stopped on command after it had started
  Checkpointed, ///< stopped with its progress kept
  Lost,         ///< the worker's lease ended; whether the task ran to its end is unknown
  NeverRan,     ///< the worker certainly never started it
};

/// Largest number of tasks of a job.
inline constexpr std::uint32_t MaxTasks = 10'000;

/// What a caller submitted.
struct JobSpec {
  std::string Id_; ///< "<domain>/<team>/<request id>"
  std::string Team_;
  std::string Queue_;
  JobKind Kind_ = JobKind::Batch;
  std::uint32_t TaskCount_ = 1;
  core::Resources Need_;           ///< of each task
  std::int64_t DeclaredRunMs_ = 0; ///< milliseconds, 0 when not declared
  bool Idempotent_ = false;
  bool Urgent_ = false;
  std::string RequestId_;
  std::string Command_;
  std::int64_t AcceptedWallMs_ = 0;
  std::string Family_; ///< jobs of one family have similar run times
  MSGPACK_DEFINE_ARRAY(Id_, Team_, Queue_, Kind_, TaskCount_, Need_, DeclaredRunMs_, Idempotent_,
                       Urgent_, RequestId_, Command_, AcceptedWallMs_, Family_)
  bool operator==(const JobSpec &) const = default;
};

struct Task {
  TaskState State_ = TaskState::Queued;
  std::uint32_t Attempt_ = 0; ///< of the last Start, 0 before the first one
  std::string Worker_;        ///< of the last Start
  std::uint64_t Term_ = 0;    ///< of the last Start
  std::uint64_t Offset_ = 0;  ///< of the record that led to this state
  std::int32_t ExitCode_ = 0;
  std::string Reason_;          ///< of a Hold
  std::string LeaseGeneration_; ///< of the last Start
  MSGPACK_DEFINE_ARRAY(State_, Attempt_, Worker_, Term_, Offset_, ExitCode_, Reason_,
                       LeaseGeneration_)
  bool operator==(const Task &) const = default;
};

struct Job {
  std::shared_ptr<const JobSpec> Spec_;
  JobState State_ = JobState::Queued;
  std::uint64_t AcceptOffset_ = 0;
  std::uint64_t AcceptSequence_ = 0; ///< order of acceptance in the domain, from 1
  std::uint64_t FinishSequence_ = 0; ///< order of finishing in the domain, 0 while unfinished
  bool CancelRequested_ = false;
  std::string CancelledBy_;
  std::vector<Task> Tasks_;
};

/// \returns true for Succeeded, Failed, Cancelled and Unknown.
constexpr bool isFinished(JobState State) {
  return State != JobState::Queued && State != JobState::Running;
}

/// \returns true for states that no record but a late End of a held task changes.
constexpr bool isFinished(TaskState State) {
  return State != TaskState::Queued && State != TaskState::Running;
}

/// \returns true when a task may run again after \p Outcome. Tasks of jobs that are not idempotent
/// run again only when the attempt certainly did not run or kept its progress.
bool mayRunAgain(const JobSpec &Spec, TaskOutcome Outcome);

/// Derives the state of a job from its tasks.
JobState stateOf(const std::vector<Task> &Tasks);

/// Checks a decoded specification against the ranges of its fields.
bool isValid(const JobSpec &Spec);

/// \returns "batch", "gang" or "service".
std::string_view nameOf(JobKind Kind);

/// \returns the state's name in lower case.
std::string_view nameOf(JobState State);

/// \returns the state's name in lower case.
std::string_view nameOf(TaskState State);

} // namespace masticdrift::jobs

MSGPACK_ADD_ENUM(masticdrift::jobs::JobKind);
MSGPACK_ADD_ENUM(masticdrift::jobs::JobState);
MSGPACK_ADD_ENUM(masticdrift::jobs::TaskState);
MSGPACK_ADD_ENUM(masticdrift::jobs::TaskOutcome);

#endif // MASTICDRIFT_JOBS_JOB_H
