#include "masticdrift/jobs/Job.h"

#include <array>

namespace masticdrift::jobs {

bool mayRunAgain(const JobSpec &Spec, TaskOutcome Outcome) {
  switch (Outcome) {
  case TaskOutcome::NeverRan:
  case TaskOutcome::Checkpointed:
    return true;
  case TaskOutcome::Succeeded:
    return Spec.Kind_ == JobKind::Service;
  case TaskOutcome::Failed:
  case TaskOutcome::Stopped:
  case TaskOutcome::Lost:
    return Spec.Idempotent_ || Spec.Kind_ == JobKind::Service;
  }
  return false;
}

JobState stateOf(const std::vector<Task> &Tasks) {
  std::array<std::size_t, 6> CountByState{};
  for (const Task &JobTask : Tasks)
    ++CountByState.at(static_cast<std::size_t>(JobTask.State_));
  const auto CountOf = [&](TaskState State) {
    return CountByState.at(static_cast<std::size_t>(State));
  };
  if (CountOf(TaskState::Queued) == Tasks.size())
    return JobState::Queued;
  if (CountOf(TaskState::Running) + CountOf(TaskState::Queued) > 0)
    return JobState::Running;
  if (CountOf(TaskState::Held) > 0)
    return JobState::Unknown;
  if (CountOf(TaskState::Failed) > 0)
    return JobState::Failed;
  if (CountOf(TaskState::Cancelled) > 0)
    return JobState::Cancelled;
  return JobState::Succeeded;
}

bool isValid(const JobSpec &Spec) {
  return !Spec.Id_.empty() && Spec.Kind_ <= JobKind::Service && Spec.TaskCount_ >= 1 &&
         Spec.TaskCount_ <= MaxTasks && Spec.Need_.MilliCores_ >= 0 && Spec.Need_.MemoryMb_ >= 0 &&
         Spec.Need_.Accelerators_ >= 0 && Spec.DeclaredRunMs_ >= 0;
}

std::string_view nameOf(JobKind Kind) {
  switch (Kind) {
  case JobKind::Batch:
    return "batch";
  case JobKind::Gang:
    return "gang";
  case JobKind::Service:
    return "service";
  }
  return "batch";
}

std::string_view nameOf(JobState State) {
  switch (State) {
  case JobState::Queued:
    return "queued";
  case JobState::Running:
    return "running";
  case JobState::Succeeded:
    return "succeeded";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  case JobState::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view nameOf(TaskState State) {
  switch (State) {
  case TaskState::Queued:
    return "queued";
  case TaskState::Running:
    return "running";
  case TaskState::Succeeded:
    return "succeeded";
  case TaskState::Failed:
    return "failed";
  case TaskState::Cancelled:
    return "cancelled";
  case TaskState::Held:
    return "held";
  }
  return "held";
}

} // namespace masticdrift::jobs
