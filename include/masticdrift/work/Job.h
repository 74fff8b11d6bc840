/// \file
/// Specification and state of multi-step jobs.
#ifndef MASTICDRIFT_WORK_JOB_H
#define MASTICDRIFT_WORK_JOB_H

#include "masticdrift/core/Resources.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::work {

/// A group of identical tasks within a job.
struct StepSpec {
  std::uint32_t TaskCount_ = 1;
  core::Resources Need_;                 ///< resources of one task
  std::int64_t EstimatedMs_ = 0;         ///< estimated run time of one task
  std::vector<std::uint32_t> DependsOn_; ///< indexes of earlier steps that must end first
  bool Checkpointing_ = false;           ///< tasks resume from their last checkpoint
  bool Gang_ = false;                    ///< all tasks must run at the same time
  bool SameRack_ = false;                ///< runs slower when spread over several racks
  bool AllowDuplicates_ = false;         ///< several copies of a task may run at the same time
  bool LongRunning_ = false;             ///< runs until the job is cancelled
  bool BestEffort_ = false;              ///< uses only CPU time that other tasks leave idle
  std::string RequiredLabel_;            ///< executor label, empty for none
  std::string PreferredRack_;            ///< empty for none
  std::string Image_;
  std::uint32_t MaxPerExecutor_ = 0; ///< 0 for no limit
  std::uint32_t MaxUnavailable_ = 0; ///< tasks that may be unavailable at the same time
  std::int64_t TargetMs_ = 0;        ///< target response time of a serving task, 0 for none
  MSGPACK_DEFINE_ARRAY(TaskCount_, Need_, EstimatedMs_, DependsOn_, Checkpointing_, Gang_,
                       SameRack_, AllowDuplicates_, LongRunning_, BestEffort_, RequiredLabel_,
                       PreferredRack_, Image_, MaxPerExecutor_, MaxUnavailable_, TargetMs_)

  bool operator==(const StepSpec &) const = default;
};

/// A job as submitted by a caller.
struct JobSpec {
  std::string Payload_; ///< passed to every task unchanged
  std::vector<StepSpec> Steps_;
  std::uint32_t RunCount_ = 0;  ///< occurrences of a recurring job, 0 for a job that runs once
  std::int64_t FirstRunMs_ = 0; ///< wall-clock time of the first occurrence
  std::int64_t IntervalMs_ = 0; ///< time between occurrences
  MSGPACK_DEFINE_ARRAY(Payload_, Steps_, RunCount_, FirstRunMs_, IntervalMs_)

  bool operator==(const JobSpec &) const = default;
};

/// Identifies one task of one occurrence of a job.
struct TaskRef {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;
  MSGPACK_DEFINE_ARRAY(Job_, Occurrence_, Step_, Index_)

  bool operator==(const TaskRef &) const = default;
  bool operator<(const TaskRef &Other) const {
    return std::tie(Job_, Occurrence_, Step_, Index_) <
           std::tie(Other.Job_, Other.Occurrence_, Other.Step_, Other.Index_);
  }
};

/// Lifecycle of a job. Final states start at Completed.
enum class JobState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

/// \returns true when \p State is a final state.
constexpr bool isFinal(JobState State) { return State >= JobState::Completed; }

/// \returns the stable lower-case name of \p State.
std::string_view nameOf(JobState State);

/// Why a job ended as failed.
enum class FailureReason : std::uint8_t {
  None,
  AttemptsSpent,   ///< a task or gang failed as often as its queue allows
  CrashesExecutors ///< executors crashed whenever they started one of its tasks
};

/// \returns the stable lower-case name of \p Reason, empty for None.
std::string_view nameOf(FailureReason Reason);

/// \returns the number of occurrences of a job, at least 1.
constexpr std::uint32_t occurrenceCount(const JobSpec &Spec) {
  return Spec.RunCount_ == 0 ? 1 : Spec.RunCount_;
}

/// \returns the memory that a specification takes, in bytes.
std::size_t specMemory(const JobSpec &Spec);

/// Validates a specification.
///
/// \returns what is wrong (no steps, a step without tasks, a step that depends on itself or a later
/// one, no interval between occurrences), or an empty view when it is valid.
std::string_view validationError(const JobSpec &Spec);

} // namespace masticdrift::work

MSGPACK_ADD_ENUM(masticdrift::work::JobState)
MSGPACK_ADD_ENUM(masticdrift::work::FailureReason)

#endif // MASTICDRIFT_WORK_JOB_H
