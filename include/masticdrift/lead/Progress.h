/// \file
/// Estimates the progress of runs and decides which of them would end sooner on another executor.
///
/// An executor can become slow, or its tasks can stall, while it still answers requests. Without
/// this detection a job would wait for its slowest task.
///
/// Example:
/// \code
///   addSample(Run.Progress_, Row.ProgressPercent_, Now);
///   if (shouldMove({Run.Progress_, TypicalTime, RestartOverhead}, Now))
///     stopAndRestartElsewhere(Run);
/// \endcode
#ifndef MASTICDRIFT_LEAD_PROGRESS_H
#define MASTICDRIFT_LEAD_PROGRESS_H

#include "masticdrift/core/Clock.h"

#include <cstdint>
#include <optional>

namespace masticdrift::lead {

/// Progress of one run, derived from the percentages that its executor reports.
struct Progress {
  core::TimePoint StartedAt_{};
  core::TimePoint SampleAt_{};   ///< time of the last sample
  core::TimePoint AdvancedAt_{}; ///< time of the last report with a higher percentage
  int Percent_ = 0;
  double PercentPerMs_ = 0; ///< recent rate, 0 while unknown
  bool FromStart_ = true;   ///< false for runs resumed from a checkpoint or adopted
};

/// A run that could be stopped and restarted on another executor.
struct MoveCandidate {
  const Progress &Progress_;
  /// Run time of comparable tasks on other executors; declared run times are too inaccurate to
  /// justify stopping a run.
  std::optional<core::Millis> TypicalTime_;
  core::Millis RestartOverhead_;       ///< time lost by stopping the run and starting it elsewhere
  bool ResumesFromCheckpoint_ = false; ///< a restart continues from a checkpoint
};

/// Updates the progress with a report.
/// \param Percent completed work, 0 to 100.
void addSample(Progress &RunProgress, int Percent, core::TimePoint Now);

/// Detects a run whose percentage no longer rises.
/// \param DeclaredTime declared run time, used while the run is still at 0%.
/// \returns true when the percentage has been constant for much longer than one percent of the work
/// takes.
bool isStalled(const Progress &RunProgress, core::Millis DeclaredTime, core::TimePoint Now);

/// \returns the time until completion at the recent rate, or nothing while the rate is unknown.
std::optional<core::Millis> remainingTime(const Progress &RunProgress, core::TimePoint Now);

/// \returns true when a restart on another executor would complete well before the current run.
bool shouldMove(const MoveCandidate &Candidate, core::TimePoint Now);

/// Running mean of the ratio of actual to declared run time for one kind of task.
struct RunTimeRatio {
  double Ratio_ = 1;
  double MeanDeviation_ = 0; ///< mean absolute deviation from Ratio_
  std::uint32_t Samples_ = 0;
};

/// Adds the ratio of an ended run.
void addSample(RunTimeRatio &Estimate, double Ratio);

/// \returns the mean ratio, or nothing while there are too few samples or they deviate too much.
std::optional<double> trustedRatio(const RunTimeRatio &Estimate);

/// Slowness of an executor: its run times in multiples of the typical run time.
struct Slowness {
  double Factor_ = 1;
  core::TimePoint UpdatedAt_{};
};

/// Adds the factor of one ended or projected run.
void addSample(Slowness &Estimate, double Factor, core::TimePoint Now);

/// \returns the factor at \p Now. Samples decay, so that a recovered executor gets work again.
double slownessFactor(const Slowness &Estimate, core::TimePoint Now);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_PROGRESS_H
