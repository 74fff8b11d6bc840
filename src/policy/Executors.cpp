#include "masticdrift/policy/Executors.h"

#include <algorithm>

namespace masticdrift::policy {
namespace {

/// Weight of a new latency in the smoothed value.
constexpr double Smoothing = 0.2;

std::uint32_t taken(const Executor &One, core::TimePoint Now) {
  std::uint32_t Count = One.Outstanding_;
  for (const core::TimePoint &Until : One.HeldUntil_)
    Count += Until > Now ? 1 : 0;
  return Count;
}

bool usable(const Executors &Pool, const Executor &One, core::TimePoint Now) {
  if (One.Leaving_ || taken(One, Now) >= Pool.Limits_.Slots_)
    return false;
  return !One.EjectedUntil_ || (*One.EjectedUntil_ <= Now && !One.Trial_);
}

void eject(Executors &Pool, std::size_t Index, core::TimePoint Now) {
  Executor &One = Pool.All_[Index];
  const std::uint32_t Doublings = std::min(One.Ejections_, 16U);
  One.EjectedUntil_ = Now + std::min<core::Duration>(Pool.Limits_.EjectAtMost_,
                                                     Pool.Limits_.EjectFor_ * (1LL << Doublings));
  ++One.Ejections_;
  One.FailuresInRow_ = 0;
  Pool.Answers_[Index] = 0;
}

void dropOutstanding(Executor &One) {
  if (One.Outstanding_ > 0)
    --One.Outstanding_;
}

void refreshMedian(Executors &Pool) {
  std::vector<double> Latencies;
  for (const Executor &One : Pool.All_)
    if (One.LatencyMs_ > 0 && !One.Leaving_)
      Latencies.push_back(One.LatencyMs_);
  if (Latencies.empty())
    return;
  auto Middle = Latencies.begin() + static_cast<std::ptrdiff_t>(Latencies.size() / 2);
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  Pool.MedianMs_ = *Middle;
}

/// \returns true when \p One is an outlier. The median is refreshed first: under rising load it
/// would lag behind, and the whole pool would look slow.
bool isSlow(Executors &Pool, const Executor &One) {
  const auto AboveMedian = [&] {
    return One.LatencyMs_ > Pool.Limits_.SlowFactor_ * Pool.MedianMs_ &&
           One.LatencyMs_ > Pool.MedianMs_ + Pool.Limits_.SlowAtLeastMs_;
  };
  if (Pool.All_.size() <= 2 || Pool.MedianMs_ <= 0 || !AboveMedian())
    return false;
  refreshMedian(Pool);
  const auto Ejected = std::ranges::count_if(
      Pool.All_, [&](const Executor &It) { return &It != &One && It.EjectedUntil_.has_value(); });
  return AboveMedian() && static_cast<double>(Ejected + 1) <=
                              Pool.Limits_.MostSlow_ * static_cast<double>(Pool.All_.size());
}

void fail(Executors &Pool, std::size_t Index, core::TimePoint Now) {
  Executor &One = Pool.All_[Index];
  const bool WasTrial = One.Trial_;
  One.Trial_ = false;
  ++One.FailuresInRow_;
  const bool AlreadyEjected = One.EjectedUntil_.has_value();
  if (WasTrial || (!AlreadyEjected && One.FailuresInRow_ >= Pool.Limits_.FailuresInRow_))
    eject(Pool, Index, Now);
}

} // namespace

std::size_t addExecutor(Executors &Pool, std::string_view Name) {
  for (std::size_t I = 0; I < Pool.All_.size(); ++I)
    if (Pool.All_[I].Name_ == Name) {
      Pool.All_[I].Leaving_ = false;
      return I;
    }
  Pool.All_.push_back({.Name_ = std::string(Name)});
  Pool.Answers_.push_back(0);
  return Pool.All_.size() - 1;
}

void setLeaving(Executors &Pool, std::string_view Name) {
  for (Executor &One : Pool.All_)
    if (One.Name_ == Name)
      One.Leaving_ = true;
}

std::optional<std::size_t> chooseExecutor(const Executors &Pool, core::TimePoint Now) {
  std::optional<std::size_t> Best;
  std::uint32_t BestTaken = 0;
  for (std::size_t I = 0; I < Pool.All_.size(); ++I) {
    const Executor &One = Pool.All_[I];
    if (!usable(Pool, One, Now))
      continue;
    if (One.EjectedUntil_)
      return I;
    const std::uint32_t Taken = taken(One, Now);
    if (!Best || Taken < BestTaken ||
        (Taken == BestTaken && One.LatencyMs_ < Pool.All_[*Best].LatencyMs_)) {
      Best = I;
      BestTaken = Taken;
    }
  }
  return Best;
}

std::uint32_t freeSlots(const Executors &Pool, core::TimePoint Now) {
  std::uint32_t Sum = 0;
  for (const Executor &One : Pool.All_)
    if (usable(Pool, One, Now))
      Sum += One.EjectedUntil_ ? 1 : Pool.Limits_.Slots_ - taken(One, Now);
  return Sum;
}

void takeSlot(Executors &Pool, std::size_t Index, core::TimePoint Now) {
  Executor &One = Pool.All_[Index];
  std::erase_if(One.HeldUntil_, [Now](core::TimePoint Until) { return Until <= Now; });
  ++One.Outstanding_;
  if (One.EjectedUntil_)
    One.Trial_ = true;
}

bool openConnection(Executors &Pool, std::size_t Index) {
  Executor &One = Pool.All_[Index];
  if (One.Connections_ >= Pool.Limits_.Connections_)
    return false;
  ++One.Connections_;
  return true;
}

void closeConnection(Executors &Pool, std::size_t Index) {
  if (Pool.All_[Index].Connections_ > 0)
    --Pool.All_[Index].Connections_;
}

void finishRequest(Executors &Pool, std::size_t Index, core::TimePoint Now, core::Duration Elapsed,
                   bool Succeeded) {
  dropOutstanding(Pool.All_[Index]);
  if (!Succeeded) {
    fail(Pool, Index, Now);
    return;
  }
  Executor &One = Pool.All_[Index];
  const double Ms = std::chrono::duration<double, std::milli>(Elapsed).count();
  const bool Back = One.Trial_;
  One.Trial_ = false;
  One.FailuresInRow_ = 0;
  // The latency before the ejection says nothing about an executor that works again.
  One.LatencyMs_ =
      One.LatencyMs_ == 0 || Back ? Ms : One.LatencyMs_ + Smoothing * (Ms - One.LatencyMs_);
  ++Pool.Answers_[Index];
  if (++Pool.SinceMedian_ >= 64 || Pool.MedianMs_ == 0) {
    Pool.SinceMedian_ = 0;
    refreshMedian(Pool);
  }
  const bool Slow = isSlow(Pool, One);
  const bool Judged =
      Back || (!One.EjectedUntil_ && Pool.Answers_[Index] >= Pool.Limits_.LeastAnswers_);
  if (Slow && Judged) {
    eject(Pool, Index, Now);
  } else if (Back) {
    One.EjectedUntil_.reset();
    One.Ejections_ = 0;
  }
}

void releaseSlot(Executors &Pool, std::size_t Index) {
  dropOutstanding(Pool.All_[Index]);
  // The next request may be the trial.
  Pool.All_[Index].Trial_ = false;
}

void holdSlot(Executors &Pool, std::size_t Index, core::TimePoint Now, core::TimePoint Until,
              core::Duration Given) {
  dropOutstanding(Pool.All_[Index]);
  Pool.All_[Index].HeldUntil_.push_back(Until);
  const double GivenMs = std::chrono::duration<double, std::milli>(Given).count();
  if (GivenMs < Pool.Limits_.FairFactor_ * Pool.MedianMs_)
    Pool.All_[Index].Trial_ = false; // the next request is the trial
  else
    fail(Pool, Index, Now);
}

} // namespace masticdrift::policy
