#include "masticdrift/policy/Learn.h"

#include <algorithm>
#include <cmath>

namespace masticdrift::policy {
namespace {

std::string familyKey(std::string_view Team, std::string_view Family) {
  std::string Key(Team);
  Key += '\n'; // not allowed in names, so keys are unique
  Key += Family;
  return Key;
}

void addRatio(RatioWindow &Window, double Ratio) {
  // Clamping prevents infinite or zero estimates from extreme declared values.
  Window.Values_[Window.Count_ % RatioWindow::Capacity] =
      static_cast<float>(std::clamp(Ratio, 0.001, 1000.0));
  ++Window.Count_;
}

std::int64_t scaled(std::int64_t Declared, const RatioWindow &Window, std::int64_t Step) {
  if (Window.Count_ == 0 || Declared <= 0)
    return Declared;
  const double Ratio = std::clamp(quantile(Window, 1) * 1.1, 0.1, 4.0);
  // Rounding up to steps limits the number of distinct sizes, so that jobs share shapes in the
  // queue.
  const auto Steps = static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Declared) * Ratio / static_cast<double>(Step)));
  return std::max<std::int64_t>(1, Steps) * Step;
}

} // namespace

double quantile(const RatioWindow &Window, double Fraction) {
  const std::size_t Count = std::min<std::size_t>(Window.Count_, RatioWindow::Capacity);
  if (Count == 0)
    return 1;
  std::array<float, RatioWindow::Capacity> Sorted = Window.Values_;
  const auto End = Sorted.begin() + static_cast<std::ptrdiff_t>(Count);
  std::sort(Sorted.begin(), End);
  const auto Rank = static_cast<std::size_t>(std::ceil(Fraction * static_cast<double>(Count)));
  return Sorted[std::min(Count - 1, Rank == 0 ? 0 : Rank - 1)];
}

void recordObservation(RunHistory &History, std::string_view Team, std::string_view Family,
                       Duration DeclaredRun, Duration ActualRun, const Resources &DeclaredSize,
                       const Resources &Peak) {
  std::string Key = familyKey(Team, Family);
  auto Found = History.ByKey_.find(Key);
  if (Found == History.ByKey_.end()) {
    if (History.Recent_.size() >= History.MaxFamilies_) {
      History.ByKey_.erase(History.Recent_.back().first);
      History.Recent_.pop_back();
    }
    History.Recent_.emplace_front(Key, FamilyRatios{});
    Found = History.ByKey_.emplace(std::move(Key), History.Recent_.begin()).first;
  } else {
    History.Recent_.splice(History.Recent_.begin(), History.Recent_, Found->second);
  }
  FamilyRatios &Ratios = Found->second->second;
  if (DeclaredRun.count() > 0)
    addRatio(Ratios.RunTime_,
             static_cast<double>(ActualRun.count()) / static_cast<double>(DeclaredRun.count()));
  if (DeclaredSize.MilliCores_ > 0 && Peak.MilliCores_ > 0)
    addRatio(Ratios.Cores_,
             static_cast<double>(Peak.MilliCores_) / static_cast<double>(DeclaredSize.MilliCores_));
  if (DeclaredSize.MemoryMb_ > 0 && Peak.MemoryMb_ > 0)
    addRatio(Ratios.Memory_,
             static_cast<double>(Peak.MemoryMb_) / static_cast<double>(DeclaredSize.MemoryMb_));
}

Estimate estimate(const RunHistory &History, std::string_view Team, std::string_view Family,
                  Duration DeclaredRun, const Resources &DeclaredSize) {
  Estimate Result{DeclaredRun, DeclaredSize, false};
  const auto Found = History.ByKey_.find(familyKey(Team, Family));
  if (Found == History.ByKey_.end())
    return Result;
  const FamilyRatios &Ratios = Found->second->second;
  if (Ratios.RunTime_.Count_ >= History.MinObservations_) {
    Result.FromHistory_ = true;
    Result.RunTime_ = Duration(static_cast<Duration::rep>(static_cast<double>(DeclaredRun.count()) *
                                                          quantile(Ratios.RunTime_, 0.8)));
  }
  if (Ratios.Cores_.Count_ >= History.MinObservations_) {
    Result.FromHistory_ = true;
    Result.Size_.MilliCores_ = scaled(DeclaredSize.MilliCores_, Ratios.Cores_, 100);
  }
  if (Ratios.Memory_.Count_ >= History.MinObservations_) {
    Result.FromHistory_ = true;
    Result.Size_.MemoryMb_ = scaled(DeclaredSize.MemoryMb_, Ratios.Memory_, 128);
  }
  return Result;
}

void applyEstimate(const RunHistory &History, PendingJob &Job, const Resources &Largest) {
  const Estimate Expected = estimate(History, Job.Team_, Job.Family_, Job.RunTime_, Job.Size_);
  Job.RunTime_ = Expected.RunTime_;
  // Keep a declared size above the largest worker, so that findInfeasibility() reports it.
  const auto CapAtLargest = [](std::int64_t Value, std::int64_t Declared, std::int64_t Max) {
    return Declared > Max ? Declared : std::min(Value, Max);
  };
  Job.Size_.MilliCores_ =
      CapAtLargest(Expected.Size_.MilliCores_, Job.Size_.MilliCores_, Largest.MilliCores_);
  Job.Size_.MemoryMb_ =
      CapAtLargest(Expected.Size_.MemoryMb_, Job.Size_.MemoryMb_, Largest.MemoryMb_);
}

} // namespace masticdrift::policy
