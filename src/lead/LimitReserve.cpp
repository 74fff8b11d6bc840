#include "masticdrift/lead/LimitReserve.h"

#include "masticdrift/lead/detail/Times.h"

#include <algorithm>
#include <cmath>

namespace masticdrift::lead {

namespace {

/// Half-life of the peak demand of a customer's first-priority work.
constexpr double PeakHalfLifeS = 8;
/// At most 1/MaxReserveDivisor of a limit is reserved.
constexpr std::int64_t MaxReserveDivisor = 2;

/// \returns true when the use of each limited resource that a task needs is so low that even the
/// largest reserve would be free.
bool leavesLargestReserve(const core::Resources &Used, const core::Resources &Need,
                          const core::Resources &Limit) {
  const auto UsedAmounts = core::amounts(Used);
  const auto NeedAmounts = core::amounts(Need);
  const auto LimitAmounts = core::amounts(Limit);
  for (std::size_t I = 0; I < core::ResourceKinds; ++I)
    if (LimitAmounts[I] > 0 && NeedAmounts[I] > 0 &&
        UsedAmounts[I] + LimitAmounts[I] / MaxReserveDivisor >= LimitAmounts[I])
      return false;
  return true;
}

} // namespace

void updatePeak(DemandPeak &Peak, const core::Resources &Limit, core::TimePoint Now) {
  const double ElapsedSeconds = detail::isUnset(Peak.UpdatedAt_)
                                    ? 0
                                    : std::chrono::duration<double>(Now - Peak.UpdatedAt_).count();
  const double DecayFactor = std::exp2(-ElapsedSeconds / PeakHalfLifeS);
  const auto Decayed = [DecayFactor](std::int64_t Highest, std::int64_t Current,
                                     std::int64_t LimitAmount) {
    const std::int64_t Amount =
        std::max(static_cast<std::int64_t>(static_cast<double>(Highest) * DecayFactor), Current);
    return LimitAmount == 0 ? Amount : std::min(Amount, LimitAmount);
  };
  Peak.UpdatedAt_ = Now;
  Peak.Highest_ = {
      Decayed(Peak.Highest_.MilliCores_, Peak.Demand_.MilliCores_, Limit.MilliCores_),
      Decayed(Peak.Highest_.MemoryMb_, Peak.Demand_.MemoryMb_, Limit.MemoryMb_),
      Decayed(Peak.Highest_.Accelerators_, Peak.Demand_.Accelerators_, Limit.Accelerators_)};
}

core::Resources reserveOf(const DemandPeak &Peak, const core::Resources &Limit) {
  const auto ReserveOf = [](std::int64_t Highest, std::int64_t InUse, std::int64_t LimitAmount) {
    return std::clamp<std::int64_t>(Highest - InUse, 0, LimitAmount / MaxReserveDivisor);
  };
  const core::Resources &Highest = Peak.Highest_;
  const core::Resources &InUse = Peak.InUse_;
  return {ReserveOf(Highest.MilliCores_, InUse.MilliCores_, Limit.MilliCores_),
          ReserveOf(Highest.MemoryMb_, InUse.MemoryMb_, Limit.MemoryMb_),
          ReserveOf(Highest.Accelerators_, InUse.Accelerators_, Limit.Accelerators_)};
}

bool fitsLimit(const core::Resources &Used, const core::Resources &Need,
               const core::Resources &Limit) {
  const auto Fits = [](std::int64_t UsedAmount, std::int64_t NeedAmount, std::int64_t LimitAmount) {
    return LimitAmount == 0 || NeedAmount == 0 || UsedAmount + NeedAmount <= LimitAmount;
  };
  return Fits(Used.MilliCores_, Need.MilliCores_, Limit.MilliCores_) &&
         Fits(Used.MemoryMb_, Need.MemoryMb_, Limit.MemoryMb_) &&
         Fits(Used.Accelerators_, Need.Accelerators_, Limit.Accelerators_);
}

bool fitsBesideReserve(const core::Resources &Used, const core::Resources &Need,
                       const core::Resources &Limit, const core::Resources &Reserved) {
  return fitsLimit(Used + Reserved, Need, Limit) ||
         (fitsLimit(Used, Need, Limit) && leavesLargestReserve(Used, Need, Limit));
}

std::uint32_t slotsBesideReserve(const RoomAccount &Account, const core::Resources &Need,
                                 core::TimePoint By, std::uint32_t MaxTasks,
                                 const core::Resources &Limit, const core::Resources &Reserved) {
  std::uint32_t Slots = slotsWithin(Account, Need, By, MaxTasks, Reserved);
  // The reserve is at most half of the limit, so this adds one task or none.
  core::Resources Used = Limit - roomWithin(Account, By) + Need * Slots;
  for (; Slots < MaxTasks && fitsBesideReserve(Used, Need, Limit, Reserved); ++Slots)
    Used += Need;
  return Slots;
}

} // namespace masticdrift::lead
