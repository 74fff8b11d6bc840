#include "masticdrift/policy/Executors.h"

#include <algorithm>

namespace masticdrift::policy {
namespace {

/// Weight of a new latency in the moving average.
constexpr double NewLatencyWeight = 0.2;

std::uint32_t slotsInUse(const Executor &Member, core::TimePoint Now) {
  std::uint32_t Count = Member.Outstanding_;
  for (const core::TimePoint &Until : Member.HeldUntil_)
    Count += Until > Now ? 1 : 0;
  return Count;
}

bool usable(const ExecutorPool &Pool, const Executor &Member, core::TimePoint Now) {
  if (Member.Leaving_ || slotsInUse(Member, Now) >= Pool.Limits_.Slots_)
    return false;
  return !Member.EjectedUntil_ || (*Member.EjectedUntil_ <= Now && !Member.TrialInProgress_);
}

void eject(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now) {
  Executor &Member = Pool.Members_[Index];
  const std::uint32_t Doublings = std::min(Member.Ejections_, 16U);
  Member.EjectedUntil_ =
      Now + std::min<core::Duration>(Pool.Limits_.MaxEjection_,
                                     Pool.Limits_.FirstEjection_ * (1LL << Doublings));
  ++Member.Ejections_;
  Member.ConsecutiveFailures_ = 0;
  Pool.AnswerCounts_[Index] = 0;
}

void dropOutstanding(Executor &Member) {
  if (Member.Outstanding_ > 0)
    --Member.Outstanding_;
}

void refreshMedian(ExecutorPool &Pool) {
  std::vector<double> Latencies;
  for (const Executor &Member : Pool.Members_)
    if (Member.LatencyMs_ > 0 && !Member.Leaving_)
      Latencies.push_back(Member.LatencyMs_);
  if (Latencies.empty())
    return;
  auto Median = Latencies.begin() + static_cast<std::ptrdiff_t>(Latencies.size() / 2);
  std::nth_element(Latencies.begin(), Median, Latencies.end());
  Pool.MedianLatencyMs_ = *Median;
}

/// Returns whether \p Member is a latency outlier that may be ejected. Updates the median before
/// the final comparison: under rising load an old median would make the whole pool look slow.
bool isSlow(ExecutorPool &Pool, const Executor &Member) {
  const auto AboveMedian = [&] {
    return Member.LatencyMs_ > Pool.Limits_.SlowFactor_ * Pool.MedianLatencyMs_ &&
           Member.LatencyMs_ > Pool.MedianLatencyMs_ + Pool.Limits_.MinSlowMarginMs_;
  };
  if (Pool.Members_.size() <= 2 || Pool.MedianLatencyMs_ <= 0 || !AboveMedian())
    return false;
  refreshMedian(Pool);
  const auto Ejected = std::ranges::count_if(Pool.Members_, [&](const Executor &Other) {
    return &Other != &Member && Other.EjectedUntil_.has_value();
  });
  return AboveMedian() &&
         static_cast<double>(Ejected + 1) <=
             Pool.Limits_.MaxEjectedFraction_ * static_cast<double>(Pool.Members_.size());
}

void recordFailure(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now) {
  Executor &Member = Pool.Members_[Index];
  const bool WasTrial = Member.TrialInProgress_;
  Member.TrialInProgress_ = false;
  ++Member.ConsecutiveFailures_;
  const bool AlreadyEjected = Member.EjectedUntil_.has_value();
  if (WasTrial ||
      (!AlreadyEjected && Member.ConsecutiveFailures_ >= Pool.Limits_.ConsecutiveFailures_))
    eject(Pool, Index, Now);
}

} // namespace

std::size_t addExecutor(ExecutorPool &Pool, std::string_view Name) {
  for (std::size_t I = 0; I < Pool.Members_.size(); ++I)
    if (Pool.Members_[I].Name_ == Name) {
      Pool.Members_[I].Leaving_ = false;
      return I;
    }
  Pool.Members_.push_back({.Name_ = std::string(Name)});
  Pool.AnswerCounts_.push_back(0);
  return Pool.Members_.size() - 1;
}

void setLeaving(ExecutorPool &Pool, std::string_view Name) {
  for (Executor &Member : Pool.Members_)
    if (Member.Name_ == Name)
      Member.Leaving_ = true;
}

std::optional<std::size_t> chooseExecutor(const ExecutorPool &Pool, core::TimePoint Now) {
  std::optional<std::size_t> Best;
  std::uint32_t BestInUse = 0;
  for (std::size_t I = 0; I < Pool.Members_.size(); ++I) {
    const Executor &Member = Pool.Members_[I];
    if (!usable(Pool, Member, Now))
      continue;
    if (Member.EjectedUntil_)
      return I;
    const std::uint32_t InUse = slotsInUse(Member, Now);
    if (!Best || InUse < BestInUse ||
        (InUse == BestInUse && Member.LatencyMs_ < Pool.Members_[*Best].LatencyMs_)) {
      Best = I;
      BestInUse = InUse;
    }
  }
  return Best;
}

std::uint32_t freeSlots(const ExecutorPool &Pool, core::TimePoint Now) {
  std::uint32_t Sum = 0;
  for (const Executor &Member : Pool.Members_)
    if (usable(Pool, Member, Now))
      Sum += Member.EjectedUntil_ ? 1 : Pool.Limits_.Slots_ - slotsInUse(Member, Now);
  return Sum;
}

void takeSlot(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now) {
  Executor &Member = Pool.Members_[Index];
  std::erase_if(Member.HeldUntil_, [Now](core::TimePoint Until) { return Until <= Now; });
  ++Member.Outstanding_;
  if (Member.EjectedUntil_)
    Member.TrialInProgress_ = true;
}

bool recordConnectionOpened(ExecutorPool &Pool, std::size_t Index) {
  Executor &Member = Pool.Members_[Index];
  if (Member.Connections_ >= Pool.Limits_.Connections_)
    return false;
  ++Member.Connections_;
  return true;
}

void recordConnectionClosed(ExecutorPool &Pool, std::size_t Index) {
  if (Pool.Members_[Index].Connections_ > 0)
    --Pool.Members_[Index].Connections_;
}

void finishRequest(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now,
                   core::Duration Elapsed, bool Succeeded) {
  dropOutstanding(Pool.Members_[Index]);
  if (!Succeeded) {
    recordFailure(Pool, Index, Now);
    return;
  }
  Executor &Member = Pool.Members_[Index];
  const double Ms = std::chrono::duration<double, std::milli>(Elapsed).count();
  const bool WasTrial = Member.TrialInProgress_;
  Member.TrialInProgress_ = false;
  Member.ConsecutiveFailures_ = 0;
  // Latencies from before the ejection are not representative of an executor that has recovered.
  Member.LatencyMs_ = Member.LatencyMs_ == 0 || WasTrial
                          ? Ms
                          : Member.LatencyMs_ + NewLatencyWeight * (Ms - Member.LatencyMs_);
  ++Pool.AnswerCounts_[Index];
  if (++Pool.AnswersSinceMedian_ >= 64 || Pool.MedianLatencyMs_ == 0) {
    Pool.AnswersSinceMedian_ = 0;
    refreshMedian(Pool);
  }
  const bool Slow = isSlow(Pool, Member);
  const bool MayEject =
      WasTrial || (!Member.EjectedUntil_ && Pool.AnswerCounts_[Index] >= Pool.Limits_.MinAnswers_);
  if (Slow && MayEject) {
    eject(Pool, Index, Now);
  } else if (WasTrial) {
    Member.EjectedUntil_.reset();
    Member.Ejections_ = 0;
  }
}

void releaseSlot(ExecutorPool &Pool, std::size_t Index) {
  dropOutstanding(Pool.Members_[Index]);
  // If the request was a trial, the next one becomes the trial instead.
  Pool.Members_[Index].TrialInProgress_ = false;
}

void holdSlot(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now, core::TimePoint Until,
              core::Duration TimeGiven) {
  dropOutstanding(Pool.Members_[Index]);
  Pool.Members_[Index].HeldUntil_.push_back(Until);
  const double TimeGivenMs = std::chrono::duration<double, std::milli>(TimeGiven).count();
  if (TimeGivenMs < Pool.Limits_.MinTimeFactor_ * Pool.MedianLatencyMs_)
    Pool.Members_[Index].TrialInProgress_ = false; // the next request becomes the trial
  else
    recordFailure(Pool, Index, Now);
}

} // namespace masticdrift::policy
