#include "masticdrift/work/Job.h"

#include <algorithm>

namespace masticdrift::work {

std::string_view nameOf(JobState State) {
  switch (State) {
  case JobState::Queued:
    return "queued";
  case JobState::Running:
    return "running";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "queued";
}

std::string_view nameOf(FailureReason Reason) {
  switch (Reason) {
  case FailureReason::None:
    return "";
  case FailureReason::AttemptsSpent:
    return "attempts_spent";
  case FailureReason::CrashesExecutors:
    return "crashes_executors";
  }
  return "";
}

std::size_t specMemory(const JobSpec &Spec) {
  constexpr std::size_t BytesPerAllocation = 16;
  std::size_t Bytes = sizeof(JobSpec) + Spec.Payload_.size() + BytesPerAllocation;
  for (const StepSpec &Step : Spec.Steps_)
    Bytes += sizeof(StepSpec) + Step.RequiredLabel_.capacity() + Step.PreferredRack_.capacity() +
             Step.Image_.capacity() + Step.DependsOn_.size() * sizeof(std::uint32_t) +
             BytesPerAllocation;
  return Bytes;
}

std::string_view validationError(const JobSpec &Spec) {
  if (Spec.Steps_.empty())
    return "the job has no steps";
  for (std::size_t I = 0; I < Spec.Steps_.size(); ++I) {
    if (Spec.Steps_[I].TaskCount_ == 0)
      return "a step has no tasks";
    if (std::ranges::any_of(Spec.Steps_[I].DependsOn_,
                            [I](std::uint32_t StepIndex) { return StepIndex >= I; }))
      return "a step depends on itself or a later one";
  }
  if (Spec.RunCount_ > 1 && Spec.IntervalMs_ <= 0)
    return "a recurring job has no interval";
  return {};
}

} // namespace masticdrift::work
