/// \file
/// Jobs made of steps, as the scheduler sees them.
#ifndef MASTICDRIFT_WORK_JOB_H
#define MASTICDRIFT_WORK_JOB_H

#include "masticdrift/core/Resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::work {

/// A group of equal tasks of a job.
struct StepSpec {
  std::uint32_t TaskCount_ = 1;
  core::Resources Need_; ///< of one task
  std::int64_t EstimatedMs_ = 0;
  std::vector<std::uint32_t> DependsOn_; ///< earlier steps that must have ended
  bool Checkpointing_ = false;
  bool Gang_ = false;            ///< all tasks of one run work only together
  bool SameRack_ = false;        ///< slower when spread over racks
  bool AllowDuplicates_ = false; ///< copies may run at the same time
  bool LongRunning_ = false;     ///< runs until the job is cancelled
  bool BestEffort_ = false;      ///< uses only processor time that others leave
  std::string RequiredLabel_;
  std::string PreferredRack_;
  std::string Image_;
  std::uint32_t MaxPerExecutor_ = 0; ///< 0 for no limit
  std::uint32_t MaxUnavailable_ = 0; ///< tasks that may be unavailable at the same time
  std::int64_t TargetMs_ = 0;        ///< limit of the task's own response times, 0 for none
  MSGPACK_DEFINE_ARRAY(TaskCount_, Need_, EstimatedMs_, DependsOn_, Checkpointing_, Gang_,
                       SameRack_, AllowDuplicates_, LongRunning_, BestEffort_, RequiredLabel_,
                       PreferredRack_, Image_, MaxPerExecutor_, MaxUnavailable_, TargetMs_)

  bool operator==(const StepSpec &) const = default;
};

/// What a caller submits.
struct JobSpec {
  std::string Payload_; ///< handed to every task unchanged
  std::vector<StepSpec> Steps_;
  std::uint32_t RunCount_ = 0;  ///< occurrences of a timed job, 0 for a job that runs once
  std::int64_t FirstRunMs_ = 0; ///< wall-clock time of the first occurrence
  std::int64_t IntervalMs_ = 0; ///< between occurrences
  MSGPACK_DEFINE_ARRAY(Payload_, Steps_, RunCount_, FirstRunMs_, IntervalMs_)

  bool operator==(const JobSpec &) const = default;
};

/// Names one task of one occurrence of a job.
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

enum class JobState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

/// \returns true when a job in \p State never changes again.
constexpr bool isFinal(JobState State) { return State >= JobState::Completed; }

/// \returns the stable lower-case name of \p State.
std::string_view nameOf(JobState State);

/// \returns how many occurrences a job has, at least 1.
constexpr std::uint32_t occurrenceCount(const JobSpec &Spec) {
  return Spec.RunCount_ == 0 ? 1 : Spec.RunCount_;
}

/// \returns why the steps can't form a job (empty, no tasks, a step that depends on a later one),
/// or an empty view when they can.
std::string_view validationError(const JobSpec &Spec);

} // namespace masticdrift::work

MSGPACK_ADD_ENUM(masticdrift::work::JobState)

#endif // MASTICDRIFT_WORK_JOB_H
