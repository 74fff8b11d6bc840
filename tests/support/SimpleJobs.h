/// \file
/// Jobs for tests of the scheduler in virtual time.
#ifndef MASTICDRIFT_TESTS_SUPPORT_SIMPLEJOBS_H
#define MASTICDRIFT_TESTS_SUPPORT_SIMPLEJOBS_H

#include "masticdrift/work/Job.h"

#include <cstdint>

namespace masticdrift::tests {

/// \returns a job of steps that run one after the other, each with equal tasks of one core.
inline work::JobSpec makeJob(std::uint32_t Tasks, std::int64_t Ms, std::uint32_t Steps = 1) {
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  for (std::uint32_t I = 0; I < Steps; ++I) {
    work::StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.Need_ = {1000, 100, 0};
    Step.EstimatedMs_ = Ms;
    if (I > 0)
      Step.DependsOn_ = {I - 1};
    Spec.Steps_.push_back(Step);
  }
  return Spec;
}

/// \returns a job of one gang.
inline work::JobSpec makeGang(std::uint32_t Members, std::int64_t Ms) {
  work::JobSpec Spec = makeJob(Members, Ms);
  Spec.Steps_[0].Gang_ = true;
  return Spec;
}

/// \returns a job whose tasks run until it is cancelled.
inline work::JobSpec makeLasting(std::uint32_t Tasks) {
  work::JobSpec Spec = makeJob(Tasks, 1000);
  Spec.Steps_[0].LongRunning_ = true;
  return Spec;
}

} // namespace masticdrift::tests

#endif // MASTICDRIFT_TESTS_SUPPORT_SIMPLEJOBS_H
