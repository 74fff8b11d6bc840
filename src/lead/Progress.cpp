#include "masticdrift/lead/Progress.h"

#include <algorithm>
#include <cmath>

namespace masticdrift::lead {

namespace {

/// Reports closer together say little about the rate: a percentage is a whole number.
constexpr core::Millis LeastSpan{80};
/// Weight of the newest span in the rate.
constexpr double RateWeight = 0.6;
/// A run stands still when its percentage has not risen for the time that this many percent took
/// before, and at least for several reports.
constexpr int StillPercent = 6;
constexpr core::Millis LeastStill{700};
/// The same for a run that has not moved at all: a part of its declared time, and the least time.
constexpr double StillPart = 0.5;
constexpr core::Millis LeastStillAtStart{1200};
/// Ended runs after which a ratio is trusted, and how far from it they may lie on average.
constexpr std::uint32_t EnoughSeen = 8;
constexpr double MostSpread = 0.3;
constexpr double RatioWeight = 0.1;
/// A start elsewhere must end this much sooner, in multiples of its own time and absolutely: the
/// typical time is an estimate.
constexpr double LeastGain = 1.6;
constexpr core::Millis LeastGainTime{300};
/// Weight of an observation of an executor's slowness, and how fast it fades.
constexpr double SlownessWeight = 0.35;
constexpr double SlownessHalfLifeMs = 2500;
/// A single run can't say more than this about its executor.
constexpr double MostFactor = 8;

double millis(core::Duration Of) { return std::chrono::duration<double, std::milli>(Of).count(); }

} // namespace

void observe(Progress &Of, int Percent, core::TimePoint Now) {
  if (Of.SampleAt_ == core::TimePoint{}) {
    Of.SampleAt_ = Of.MovedAt_ = Of.FromStart_ ? Of.StartedAt_ : Now;
    Of.Percent_ = Of.FromStart_ ? 0 : Percent;
  }
  if (Percent > Of.Percent_)
    Of.MovedAt_ = Now;
  const core::Duration Span = Now - Of.SampleAt_;
  if (Span < LeastSpan)
    return;
  const double Rate = std::max(0, Percent - Of.Percent_) / millis(Span);
  Of.PerMs_ = Of.PerMs_ == 0 ? Rate : Of.PerMs_ + RateWeight * (Rate - Of.PerMs_);
  Of.Percent_ = Percent;
  Of.SampleAt_ = Now;
}

bool standsStill(const Progress &Of, core::Millis Declared, core::TimePoint Now) {
  // Reports must have come since: an executor that is silent is another matter.
  if (Of.SampleAt_ == core::TimePoint{} || Now - Of.SampleAt_ >= LeastStill)
    return false;
  const double Still = millis(Of.SampleAt_ - Of.MovedAt_);
  if (Of.Percent_ == 0)
    return Still >= std::max(StillPart * millis(Declared), millis(LeastStillAtStart));
  const double EachPercent = millis(Of.MovedAt_ - Of.StartedAt_) / Of.Percent_;
  return Still >= std::max(StillPercent * EachPercent, millis(LeastStill));
}

std::optional<core::Millis> remaining(const Progress &Of, core::TimePoint Now) {
  if (Of.PerMs_ <= 0)
    return std::nullopt;
  const double Left = (100 - Of.Percent_) / Of.PerMs_ - millis(Now - Of.SampleAt_);
  return core::Millis(static_cast<std::int64_t>(std::max(0.0, Left)));
}

bool shouldMove(const Watched &Of, core::TimePoint Now) {
  const auto Here = remaining(Of.Progress_, Now);
  if (!Here || !Of.Typical_)
    return false;
  const double Part = Of.Keeps_ ? (100 - Of.Progress_.Percent_) / 100.0 : 1.0;
  const double There = Part * millis(*Of.Typical_) + millis(Of.Overhead_);
  return millis(*Here) > LeastGain * There + millis(LeastGainTime);
}

void observe(RunTimes &Of, double Ratio) {
  const double Weight = std::max(RatioWeight, 1.0 / ++Of.Seen_);
  Of.Ratio_ += Weight * (Ratio - Of.Ratio_);
  Of.Spread_ += Weight * (std::abs(Ratio - Of.Ratio_) - Of.Spread_);
}

std::optional<double> ratioOf(const RunTimes &Of) {
  if (Of.Seen_ < EnoughSeen || Of.Spread_ > MostSpread * Of.Ratio_)
    return std::nullopt;
  return Of.Ratio_;
}

void observe(Slowness &Of, double Factor, core::TimePoint Now) {
  const double Before = factorOf(Of, Now);
  Of.Factor_ = Before + SlownessWeight * (std::clamp(Factor, 1 / MostFactor, MostFactor) - Before);
  Of.At_ = Now;
}

double factorOf(const Slowness &Of, core::TimePoint Now) {
  if (Of.At_ == core::TimePoint{})
    return 1;
  return 1 + (Of.Factor_ - 1) * std::exp2(-millis(Now - Of.At_) / SlownessHalfLifeMs);
}

} // namespace masticdrift::lead
