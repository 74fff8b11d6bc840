#include "masticdrift/lead/JobMemory.h"

#include "masticdrift/lead/Model.h"
#include "masticdrift/work/Ledger.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

/// The specification is in the job table and in the scheduler's state of the job.
constexpr std::size_t CopiesOfSpec = 2;
/// Progress is in both, too, and an element of a growing vector takes up to twice its size.
constexpr std::size_t BytesPerStepProgress = CopiesOfSpec * 2 * sizeof(work::StepProgress);
/// Expected time of a step and of the chain of steps from it on.
constexpr std::size_t BytesPerStepTimes = 2 * sizeof(core::Millis);
/// Besides the records: keys, ids and names of the job, and its places in the leader's indexes.
constexpr std::size_t BytesOfNames = 1024;
constexpr std::size_t BytesPerAllocation = 16;
/// When a caller is to return whose job found no memory. Jobs end within seconds, and the entries
/// of ended ones are removed two minutes later.
constexpr core::Millis MemoryRetryAfter{5000};

} // namespace

std::size_t jobMemory(const work::JobSpec &Spec) {
  const std::size_t Occurrences = work::occurrenceCount(Spec);
  std::size_t Bytes = sizeof(TrackedJob) + BytesOfNames + CopiesOfSpec * work::specMemory(Spec) +
                      Occurrences * (sizeof(TrackedOccurrence) + BytesPerAllocation);
  for (const work::StepSpec &Step : Spec.Steps_)
    Bytes += BytesPerStepTimes +
             Occurrences * (sizeof(TrackedStep) + BytesPerStepProgress + BytesPerAllocation +
                            Step.TaskCount_ * sizeof(TrackedTask));
  return Bytes;
}

AdmissionDecision admitMemory(const WorkMemory &Memory, std::size_t JobBytes,
                              std::string_view JobId) {
  AdmissionDecision Decision;
  if (Memory.Limit_ == 0)
    return Decision;
  if (JobBytes > Memory.Limit_) {
    Decision.Outcome_ = AdmissionOutcome::ImpossibleMemory;
    return Decision;
  }
  const std::size_t Free = Memory.Limit_ - std::min(Memory.Held_, Memory.Limit_);
  if (Memory.HeldByCustomer_ + JobBytes <= Free)
    return Decision;
  Decision.Outcome_ = AdmissionOutcome::MemoryBacklog;
  Decision.RetryAfter_ = retryAfter(MemoryRetryAfter, JobId);
  return Decision;
}

} // namespace masticdrift::lead
