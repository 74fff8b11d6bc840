#include "masticdrift/lead/Progress.h"

#include <algorithm>
#include <cmath>

namespace masticdrift::lead {

namespace {

/// Reports closer together say little about the rate: a percentage is a whole number.
constexpr core::Millis MinSampleInterval{80};
/// Weight of the newest span in the rate.
constexpr double RateWeight = 0.6;
/// A run stands still when its percentage has not risen for the time that this many percent took
/// before, and at least for several reports.
constexpr int StallPercent = 6;
constexpr core::Millis MinStallTime{700};
/// The same for a run that has not moved at all: a part of its declared time, and the least time.
constexpr double InitialStallFraction = 0.5;
constexpr core::Millis MinInitialStallTime{1200};
/// Ended runs after which a ratio is trusted, and how far from it they may lie on average.
constexpr std::uint32_t MinRatioSamples = 8;
constexpr double MaxRelativeDeviation = 0.3;
constexpr double RatioWeight = 0.1;
/// A start elsewhere must end this much sooner, in multiples of its own time and absolutely: the
/// typical time is an estimate.
constexpr double MinMoveGainFactor = 1.6;
constexpr core::Millis MinMoveGain{300};
/// Weight of an observation of an executor's slowness, and how fast it fades.
constexpr double SlownessWeight = 0.35;
constexpr double SlownessHalfLifeMs = 2500;
/// A single run can't say more than this about its executor.
constexpr double MaxSlownessFactor = 8;

double millis(core::Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

void addSample(Progress &RunProgress, int Percent, core::TimePoint Now) {
  if (RunProgress.SampleAt_ == core::TimePoint{}) {
    RunProgress.SampleAt_ = RunProgress.AdvancedAt_ =
        RunProgress.FromStart_ ? RunProgress.StartedAt_ : Now;
    RunProgress.Percent_ = RunProgress.FromStart_ ? 0 : Percent;
  }
  if (Percent > RunProgress.Percent_)
    RunProgress.AdvancedAt_ = Now;
  const core::Duration Interval = Now - RunProgress.SampleAt_;
  if (Interval < MinSampleInterval)
    return;
  const double Rate = std::max(0, Percent - RunProgress.Percent_) / millis(Interval);
  RunProgress.PercentPerMs_ =
      RunProgress.PercentPerMs_ == 0
          ? Rate
          : RunProgress.PercentPerMs_ + RateWeight * (Rate - RunProgress.PercentPerMs_);
  RunProgress.Percent_ = Percent;
  RunProgress.SampleAt_ = Now;
}

bool isStalled(const Progress &RunProgress, core::Millis DeclaredTime, core::TimePoint Now) {
  // Reports must have come since: an executor that is silent is another matter.
  if (RunProgress.SampleAt_ == core::TimePoint{} || Now - RunProgress.SampleAt_ >= MinStallTime)
    return false;
  const double StalledMs = millis(RunProgress.SampleAt_ - RunProgress.AdvancedAt_);
  if (RunProgress.Percent_ == 0)
    return StalledMs >=
           std::max(InitialStallFraction * millis(DeclaredTime), millis(MinInitialStallTime));
  const double MsPerPercent =
      millis(RunProgress.AdvancedAt_ - RunProgress.StartedAt_) / RunProgress.Percent_;
  return StalledMs >= std::max(StallPercent * MsPerPercent, millis(MinStallTime));
}

std::optional<core::Millis> remainingTime(const Progress &RunProgress, core::TimePoint Now) {
  if (RunProgress.PercentPerMs_ <= 0)
    return std::nullopt;
  const double LeftMs = (100 - RunProgress.Percent_) / RunProgress.PercentPerMs_ -
                        millis(Now - RunProgress.SampleAt_);
  return core::Millis(static_cast<std::int64_t>(std::max(0.0, LeftMs)));
}

bool shouldMove(const MoveCandidate &Candidate, core::TimePoint Now) {
  const auto TimeHere = remainingTime(Candidate.Progress_, Now);
  if (!TimeHere || !Candidate.TypicalTime_)
    return false;
  const double WorkFraction =
      Candidate.ResumesFromCheckpoint_ ? (100 - Candidate.Progress_.Percent_) / 100.0 : 1.0;
  const double TimeElsewhereMs =
      WorkFraction * millis(*Candidate.TypicalTime_) + millis(Candidate.RestartOverhead_);
  return millis(*TimeHere) > MinMoveGainFactor * TimeElsewhereMs + millis(MinMoveGain);
}

void addSample(RunTimeRatio &Estimate, double Ratio) {
  const double Weight = std::max(RatioWeight, 1.0 / ++Estimate.Samples_);
  Estimate.Ratio_ += Weight * (Ratio - Estimate.Ratio_);
  Estimate.MeanDeviation_ += Weight * (std::abs(Ratio - Estimate.Ratio_) - Estimate.MeanDeviation_);
}

std::optional<double> trustedRatio(const RunTimeRatio &Estimate) {
  if (Estimate.Samples_ < MinRatioSamples ||
      Estimate.MeanDeviation_ > MaxRelativeDeviation * Estimate.Ratio_)
    return std::nullopt;
  return Estimate.Ratio_;
}

void addSample(Slowness &Estimate, double Factor, core::TimePoint Now) {
  const double Previous = slownessFactor(Estimate, Now);
  Estimate.Factor_ =
      Previous +
      SlownessWeight * (std::clamp(Factor, 1 / MaxSlownessFactor, MaxSlownessFactor) - Previous);
  Estimate.UpdatedAt_ = Now;
}

double slownessFactor(const Slowness &Estimate, core::TimePoint Now) {
  if (Estimate.UpdatedAt_ == core::TimePoint{})
    return 1;
  return 1 + (Estimate.Factor_ - 1) *
                 std::exp2(-millis(Now - Estimate.UpdatedAt_) / SlownessHalfLifeMs);
}

} // namespace masticdrift::lead
