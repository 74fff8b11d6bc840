/// \file
/// Attempts to submit a job whose outcome is open, at one daemon.
#ifndef MASTICDRIFT_DAEMON_SUBMISSIONATTEMPTS_H
#define MASTICDRIFT_DAEMON_SUBMISSIONATTEMPTS_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/daemon/JobWriter.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace masticdrift::daemon {

/// Remembers the submissions that may be stored although their callers were not told so. A caller
/// repeats such a submission under the same job id, and a refusal of the repetition would say that
/// the job never runs.
class SubmissionAttempts {
public:
  /// Begins an attempt to store the job.
  void begin(std::string_view JobId);

  /// Ends an attempt.
  ///
  /// \param Outcome outcome of this attempt on its own.
  /// \returns the outcome to report: a refusal becomes unknown while another attempt of the same
  ///   job may be stored.
  WriteOutcome end(std::string_view JobId, WriteOutcome Outcome, core::TimePoint Now);

  /// Forgets the jobs whose open attempts can't be stored any more.
  ///
  /// \param ReadUpTo time up to which this daemon has read all stored records.
  void forgetSettled(core::TimePoint ReadUpTo);

  /// \returns the number of jobs with attempts of open outcome.
  std::size_t size() const { return Jobs_.size(); }

private:
  struct OpenJob {
    int Running_ = 0;                 ///< attempts that have not ended
    bool MayBeStored_ = false;        ///< an attempt has ended without a known outcome
    core::TimePoint LastUnknownAt_{}; ///< when the last such attempt ended
  };
  std::unordered_map<std::string, OpenJob> Jobs_;
};

/// Time after which the store carries out no append that got no answer.
inline constexpr core::Millis MaxAppendDelay{13'000};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_SUBMISSIONATTEMPTS_H
