#include "masticdrift/policy/Learn.h"

#include <algorithm>
#include <cmath>

namespace masticdrift::policy {
namespace {

std::string keyOf(std::string_view Team, std::string_view Family) {
  std::string Key(Team);
  Key += '\n'; // not allowed in names
  Key += Family;
  return Key;
}

void add(RatioWindow &Window, double Ratio) {
  // Bounds keep one absurd declaration from producing infinite or zero estimates.
  Window.Values_[Window.Count_ % RatioWindow::Kept] =
      static_cast<float>(std::clamp(Ratio, 0.001, 1000.0));
  ++Window.Count_;
}

std::int64_t scaled(std::int64_t Declared, const RatioWindow &Window, std::int64_t Step) {
  if (Window.Count_ == 0 || Declared <= 0)
    return Declared;
  const double Ratio = std::clamp(quantile(Window, 1) * 1.1, 0.1, 4.0);
  // Steps keep the number of different sizes small, so that work shares shapes in the queue.
  const auto Steps = static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Declared) * Ratio / static_cast<double>(Step)));
  return std::max<std::int64_t>(1, Steps) * Step;
}

} // namespace

double quantile(const RatioWindow &Window, double Part) {
  const std::size_t Count = std::min<std::size_t>(Window.Count_, RatioWindow::Kept);
  if (Count == 0)
    return 1;
  std::array<float, RatioWindow::Kept> Sorted = Window.Values_;
  const auto End = Sorted.begin() + static_cast<std::ptrdiff_t>(Count);
  std::sort(Sorted.begin(), End);
  const auto At = static_cast<std::size_t>(std::ceil(Part * static_cast<double>(Count)));
  return Sorted[std::min(Count - 1, At == 0 ? 0 : At - 1)];
}

void observe(Learned &Known, std::string_view Team, std::string_view Family, Duration DeclaredRun,
             Duration RealRun, const Resources &DeclaredSize, const Resources &Peak) {
  std::string Key = keyOf(Team, Family);
  auto Found = Known.ByKey_.find(Key);
  if (Found == Known.ByKey_.end()) {
    if (Known.Recent_.size() >= Known.MostFamilies_) {
      Known.ByKey_.erase(Known.Recent_.back().first);
      Known.Recent_.pop_back();
    }
    Known.Recent_.emplace_front(Key, FamilyRatios{});
    Found = Known.ByKey_.emplace(std::move(Key), Known.Recent_.begin()).first;
  } else {
    Known.Recent_.splice(Known.Recent_.begin(), Known.Recent_, Found->second);
  }
  FamilyRatios &Ratios = Found->second->second;
  if (DeclaredRun.count() > 0)
    add(Ratios.Run_,
        static_cast<double>(RealRun.count()) / static_cast<double>(DeclaredRun.count()));
  if (DeclaredSize.MilliCores_ > 0 && Peak.MilliCores_ > 0)
    add(Ratios.Cores_,
        static_cast<double>(Peak.MilliCores_) / static_cast<double>(DeclaredSize.MilliCores_));
  if (DeclaredSize.MemoryMb_ > 0 && Peak.MemoryMb_ > 0)
    add(Ratios.Memory_,
        static_cast<double>(Peak.MemoryMb_) / static_cast<double>(DeclaredSize.MemoryMb_));
}

Estimate estimate(const Learned &Known, std::string_view Team, std::string_view Family,
                  Duration DeclaredRun, const Resources &DeclaredSize) {
  Estimate Result{DeclaredRun, DeclaredSize, false};
  const auto Found = Known.ByKey_.find(keyOf(Team, Family));
  if (Found == Known.ByKey_.end())
    return Result;
  const FamilyRatios &Ratios = Found->second->second;
  if (Ratios.Run_.Count_ >= Known.LeastSeen_) {
    Result.Learned_ = true;
    Result.Run_ = Duration(static_cast<Duration::rep>(static_cast<double>(DeclaredRun.count()) *
                                                      quantile(Ratios.Run_, 0.8)));
  }
  if (Ratios.Cores_.Count_ >= Known.LeastSeen_) {
    Result.Learned_ = true;
    Result.Size_.MilliCores_ = scaled(DeclaredSize.MilliCores_, Ratios.Cores_, 100);
  }
  if (Ratios.Memory_.Count_ >= Known.LeastSeen_) {
    Result.Learned_ = true;
    Result.Size_.MemoryMb_ = scaled(DeclaredSize.MemoryMb_, Ratios.Memory_, 128);
  }
  return Result;
}

void applyEstimate(const Learned &Known, PendingJob &Job, const Resources &Largest) {
  const Estimate Expected = estimate(Known, Job.Team_, Job.Family_, Job.Run_, Job.Size_);
  Job.Run_ = Expected.Run_;
  // A declared size above the largest worker stays as it is, so that impossible() names it.
  const auto Bound = [](std::int64_t Value, std::int64_t Declared, std::int64_t Most) {
    return Declared > Most ? Declared : std::min(Value, Most);
  };
  Job.Size_.MilliCores_ =
      Bound(Expected.Size_.MilliCores_, Job.Size_.MilliCores_, Largest.MilliCores_);
  Job.Size_.MemoryMb_ = Bound(Expected.Size_.MemoryMb_, Job.Size_.MemoryMb_, Largest.MemoryMb_);
}

} // namespace masticdrift::policy
