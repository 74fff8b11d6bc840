#include "masticdrift/lead/Progress.h"

#include <algorithm>
#include <cmath>

namespace masticdrift::lead {

namespace {

/// Shorter intervals between reports give no useful rate, because percentages are whole numbers.
constexpr core::Millis MinSampleInterval{80};
/// Weight of the newest interval in the moving average of the rate.
constexpr double RateWeight = 0.6;
/// A run is stalled when its percentage has been constant for as long as this many percent took on
/// average, and for at least MinStallTime, which spans several reports.
constexpr int StallPercent = 6;
constexpr core::Millis MinStallTime{700};
/// A run that is still at 0% is stalled after this fraction of its declared run time, but not
/// before MinInitialStallTime.
constexpr double InitialStallFraction = 0.5;
constexpr core::Millis MinInitialStallTime{1200};
/// A ratio is trusted from this number of samples on, if their mean deviation relative to it is at
/// most MaxRelativeDeviation.
constexpr std::uint32_t MinRatioSamples = 8;
constexpr double MaxRelativeDeviation = 0.3;
/// Minimum weight of the newest sample of a ratio.
constexpr double RatioWeight = 0.1;
/// The remaining time here must exceed the time elsewhere by this factor plus this time, because
/// the typical run time is only an estimate.
constexpr double MinMoveGainFactor = 1.6;
constexpr core::Millis MinMoveGain{300};
/// Weight of the newest sample of an executor's slowness, and the half-life of its decay.
constexpr double SlownessWeight = 0.35;
constexpr double SlownessHalfLifeMs = 2500;
/// Bounds the effect of a single run on its executor's slowness.
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
  // Requires recent reports: without them the executor is silent, which is handled elsewhere.
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
