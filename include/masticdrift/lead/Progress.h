/// \file
/// How fast runs get on, and which of them would end sooner if they were started elsewhere.
///
/// Answers the pattern of executors that turn slow or on which tasks stand still while they go on
/// answering: the job then waits for its slowest task.
///
/// Example:
/// \code
///   observe(Run.Progress_, Row.ProgressPercent_, Now);
///   if (shouldMove({Run.Progress_, Typical, Overhead}, Now))
///     stopAndStartElsewhere(Run);
/// \endcode
#ifndef MASTICDRIFT_LEAD_PROGRESS_H
#define MASTICDRIFT_LEAD_PROGRESS_H

#include "masticdrift/core/Clock.h"

#include <cstdint>
#include <optional>

namespace masticdrift::lead {

/// What the reported percentages of one run tell.
struct Progress {
  core::TimePoint StartedAt_{};
  core::TimePoint SampleAt_{}; ///< last report
  core::TimePoint MovedAt_{};  ///< last report with a higher percentage than before
  int Percent_ = 0;
  double PerMs_ = 0;      ///< recent percent per millisecond, 0 while unknown
  bool FromStart_ = true; ///< false for a run that goes on from a checkpoint or was adopted
};

/// A run whose end is waited for.
struct Watched {
  const Progress &Progress_;
  /// Run time of its like on other executors. Declared times are too rough to give a run up for.
  std::optional<core::Millis> Typical_;
  core::Millis Overhead_; ///< lost by a start elsewhere: the stop and the way there
  bool Keeps_ = false;    ///< goes on from a checkpoint when started elsewhere
};

/// Takes a report in.
/// \param Percent work done, 0 to 100.
void observe(Progress &Of, int Percent, core::TimePoint Now);

/// \param Declared the declared run time, for runs that have not moved yet.
/// \returns true when the run has stood still for much longer than one percent of its work takes.
bool standsStill(const Progress &Of, core::Millis Declared, core::TimePoint Now);

/// \returns the time until the end at the recent rate, or nothing while the rate is unknown.
std::optional<core::Millis> remaining(const Progress &Of, core::TimePoint Now);

/// \returns true when a start elsewhere would end well before the run does here.
bool shouldMove(const Watched &Of, core::TimePoint Now);

/// Run times of one kind of task in multiples of the declared time.
struct RunTimes {
  double Ratio_ = 1;
  double Spread_ = 0; ///< mean distance from the ratio
  std::uint32_t Seen_ = 0;
};

/// Takes the run time of an ended run in.
void observe(RunTimes &Of, double Ratio);

/// \returns the ratio when enough runs have ended close to it.
std::optional<double> ratioOf(const RunTimes &Of);

/// How slow an executor is: the run times there in multiples of the typical ones.
struct Slowness {
  double Factor_ = 1;
  core::TimePoint At_{};
};

/// Takes the run time of one ended or projected run in.
void observe(Slowness &Of, double Factor, core::TimePoint Now);

/// \returns the factor now; what was observed fades, so that a recovered executor is tried again.
double factorOf(const Slowness &Of, core::TimePoint Now);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_PROGRESS_H
