#include "masticdrift/daemon/SubmissionAttempts.h"

namespace masticdrift::daemon {

void SubmissionAttempts::begin(std::string_view JobId) { ++Jobs_[std::string(JobId)].Running_; }

WriteOutcome SubmissionAttempts::end(std::string_view JobId, WriteOutcome Outcome,
                                     core::TimePoint Now) {
  const auto Found = Jobs_.find(std::string(JobId));
  if (Found == Jobs_.end())
    return Outcome;
  OpenJob &Job = Found->second;
  --Job.Running_;
  if (Outcome == WriteOutcome::Unknown) {
    Job.MayBeStored_ = true;
    Job.LastUnknownAt_ = Now;
  }
  if (Outcome == WriteOutcome::Refused && (Job.MayBeStored_ || Job.Running_ > 0))
    Outcome = WriteOutcome::Unknown;
  if (Job.Running_ == 0 && !Job.MayBeStored_)
    Jobs_.erase(Found);
  return Outcome;
}

void SubmissionAttempts::forgetSettled(core::TimePoint ReadUpTo) {
  std::erase_if(Jobs_, [ReadUpTo](const auto &Entry) {
    const OpenJob &Job = Entry.second;
    return Job.Running_ == 0 && ReadUpTo >= Job.LastUnknownAt_ + MaxAppendDelay;
  });
}

} // namespace masticdrift::daemon
