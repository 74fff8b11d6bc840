// Attempts to submit a job whose outcome is open.
#include "masticdrift/daemon/SubmissionAttempts.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using daemon::WriteOutcome;

namespace {

constexpr const char *Job = "00000000000000a1";
constexpr const char *OtherJob = "00000000000000a2";
const core::TimePoint Start{std::chrono::hours(1)};

WriteOutcome attempt(daemon::SubmissionAttempts &Attempts, const char *JobId,
                     WriteOutcome Outcome) {
  Attempts.begin(JobId);
  return Attempts.end(JobId, Outcome, Start);
}

} // namespace

// --- A single attempt ---

// Guards against refusals that are withheld from callers who could go elsewhere.
Test(SubmissionAttempts, theOutcomeOfASingleAttemptIsReported) {
  for (const WriteOutcome Outcome :
       {WriteOutcome::Stored, WriteOutcome::Refused, WriteOutcome::Unknown}) {
    daemon::SubmissionAttempts Attempts;
    cr_expect(attempt(Attempts, Job, Outcome) == Outcome);
  }
}

// --- Repeated attempts ---

// Guards against a caller who is told that its job never runs, while its earlier attempt is stored.
Test(SubmissionAttempts, aRefusalAfterAnUnknownOutcomeIsUnknown) {
  daemon::SubmissionAttempts Attempts;
  attempt(Attempts, Job, WriteOutcome::Unknown);
  cr_expect(attempt(Attempts, Job, WriteOutcome::Refused) == WriteOutcome::Unknown);
  cr_expect(attempt(Attempts, OtherJob, WriteOutcome::Refused) == WriteOutcome::Refused);
  cr_expect(attempt(Attempts, Job, WriteOutcome::Stored) == WriteOutcome::Stored);
}

// Guards against the same while the earlier attempt is still under way: its caller has given up.
Test(SubmissionAttempts, aRefusalBesideARunningAttemptIsUnknown) {
  daemon::SubmissionAttempts Attempts;
  Attempts.begin(Job);
  cr_expect(attempt(Attempts, Job, WriteOutcome::Refused) == WriteOutcome::Unknown);
  cr_expect(Attempts.end(Job, WriteOutcome::Refused, Start) == WriteOutcome::Refused);
  cr_expect(attempt(Attempts, Job, WriteOutcome::Refused) == WriteOutcome::Refused);
}

// --- Memory ---

// Guards against memory that grows with the number of jobs, and against jobs that are forgotten
// while a late append may still be stored.
Test(SubmissionAttempts, jobsAreForgottenOnceLateAppendsWereRead) {
  daemon::SubmissionAttempts Attempts;
  attempt(Attempts, OtherJob, WriteOutcome::Refused);
  cr_expect_eq(Attempts.size(), 0);
  attempt(Attempts, Job, WriteOutcome::Unknown);
  Attempts.forgetSettled(Start + daemon::MaxAppendDelay - Millis(1));
  cr_expect(attempt(Attempts, Job, WriteOutcome::Refused) == WriteOutcome::Unknown);
  Attempts.forgetSettled(Start + daemon::MaxAppendDelay);
  cr_expect_eq(Attempts.size(), 0);
  cr_expect(attempt(Attempts, Job, WriteOutcome::Refused) == WriteOutcome::Refused);
}
