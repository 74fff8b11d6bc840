#include "masticdrift/lead/Admission.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace masticdrift::lead {

namespace {

/// Refused callers return within this time after the earliest useful moment.
constexpr core::Millis ReturnSpread{2000};
constexpr core::Millis MinRetryAfter{1000};
/// A backlog is known for no longer ahead: work ends early, and customers' limits change.
constexpr core::Millis MaxRetryAfter{20'000};
/// Longest wait that is told apart.
constexpr double MaxDrainMs = 3'600'000;

std::size_t priorityIndex(int Priority) {
  return static_cast<std::size_t>(
      std::clamp(Priority, 0, static_cast<int>(AdmissionPriorities) - 1));
}

/// \returns the work that is started before a job of \p Priority.
ResourceTime workBefore(const WaitingWork &Work, int Priority, bool OverRate) {
  ResourceTime Sum;
  const std::size_t Last = priorityIndex(Priority);
  for (std::size_t I = 0; I < AdmissionPriorities; ++I) {
    if (I <= Last || OverRate)
      Sum += Work.InTime_[I];
    if (I <= Last && OverRate)
      Sum += Work.Other_[I];
  }
  return Sum;
}

double drainMs(double Work, std::int64_t Room) {
  return Room <= 0 ? 0 : std::min(Work / static_cast<double>(Room), MaxDrainMs);
}

void addShape(std::vector<core::Resources> &Shapes, const core::Resources &Capacity) {
  if (std::ranges::any_of(Shapes, [&](const auto &Shape) { return core::fits(Capacity, Shape); }))
    return;
  std::erase_if(Shapes, [&](const auto &Shape) { return core::fits(Shape, Capacity); });
  Shapes.push_back(Capacity);
}

} // namespace

core::Millis retryAfter(core::Millis Wait, std::string_view JobId) {
  const auto Spread = core::Millis(static_cast<std::int64_t>(
      std::hash<std::string_view>{}(JobId) % static_cast<std::size_t>(ReturnSpread.count())));
  return std::clamp(Wait + Spread, MinRetryAfter, MaxRetryAfter);
}

std::string_view nameOf(AdmissionOutcome Outcome) {
  switch (Outcome) {
  case AdmissionOutcome::Accepted:
    return "accepted";
  case AdmissionOutcome::CustomerBacklog:
    return "customer_backlog";
  case AdmissionOutcome::PoolBacklog:
    return "pool_backlog";
  case AdmissionOutcome::ImpossibleSize:
    return "impossible_size";
  case AdmissionOutcome::UnknownPool:
    return "unknown_pool";
  case AdmissionOutcome::MemoryBacklog:
    return "memory_backlog";
  case AdmissionOutcome::ImpossibleMemory:
    return "impossible_memory";
  }
  return "unknown";
}

ResourceTime resourceTime(const core::Resources &Need, double Tasks, core::Millis Time) {
  const double Factor = Tasks * static_cast<double>(Time.count());
  return {static_cast<double>(Need.MilliCores_) * Factor,
          static_cast<double>(Need.MemoryMb_) * Factor,
          static_cast<double>(Need.Accelerators_) * Factor};
}

core::Millis drainTime(const ResourceTime &Work, const core::Resources &Room) {
  return core::Millis(std::llround(
      std::max({drainMs(Work.CoreMs_, Room.MilliCores_), drainMs(Work.MemoryMs_, Room.MemoryMb_),
                drainMs(Work.AcceleratorMs_, Room.Accelerators_)})));
}

void AdmissionControl::beginSurvey() {
  Customers_.clear();
  Pools_.clear();
  Rooms_.clear();
}

void AdmissionControl::add(std::string_view Customer, std::string_view Pool, int Priority,
                           bool InTime, const ResourceTime &Work) {
  const std::size_t Index = priorityIndex(Priority);
  auto Entry = Pools_.find(Pool);
  if (Entry == Pools_.end())
    Entry = Pools_.emplace(std::string(Pool), WaitingWork{}).first;
  WaitingWork &OfPool = Entry->second;
  WaitingWork &OfCustomer = Customers_[std::string(Customer)];
  for (WaitingWork *Waiting : {&OfPool, &OfCustomer})
    (InTime ? Waiting->InTime_ : Waiting->Other_)[Index] += Work;
}

void AdmissionControl::addRoom(std::string_view Pool, const core::Resources &Capacity) {
  const auto Found = Rooms_.find(Pool);
  if (Found == Rooms_.end())
    Rooms_.emplace(std::string(Pool), Capacity);
  else
    Found->second += Capacity;
}

AdmissionDecision AdmissionControl::decide(const AdmissionRequest &Request) const {
  AdmissionDecision Decision;
  // A job that would only be late is better late than sent back: it comes later still. Work beyond
  // its customer's rate stands behind more.
  Decision.Allowed_ = std::max(Request.ValueExpiry_ - Request.Chain_, core::Millis(0));
  core::Millis CustomerWait{0};
  if (const auto Found = Customers_.find(std::string(Request.Customer_)); Found != Customers_.end())
    CustomerWait = drainTime(workBefore(Found->second, Request.Priority_, Request.OverRate_),
                             Request.CustomerLimit_);
  core::Millis PoolWait{0};
  const auto Pool = Pools_.find(Request.Pool_);
  const auto Room = Rooms_.find(Request.Pool_);
  if (Pool != Pools_.end() && Room != Rooms_.end())
    PoolWait =
        drainTime(workBefore(Pool->second, Request.Priority_, Request.OverRate_), Room->second);
  Decision.Wait_ = std::max(CustomerWait, PoolWait);
  if (Decision.Wait_ <= Decision.Allowed_)
    return Decision;
  Decision.Outcome_ =
      CustomerWait >= PoolWait ? AdmissionOutcome::CustomerBacklog : AdmissionOutcome::PoolBacklog;
  Decision.RetryAfter_ = retryAfter(Decision.Wait_ - Decision.Allowed_, Request.JobId_);
  return Decision;
}

void CapacityCatalog::add(std::string_view Pool, const std::vector<std::string> &Labels,
                          const core::Resources &Capacity) {
  if (Capacity == core::Resources{})
    return;
  Shapes &OfPool = Pools_[std::string(Pool)];
  addShape(OfPool.Any_, Capacity);
  for (const std::string &Label : Labels)
    addShape(OfPool.ByLabel_[Label], Capacity);
}

bool CapacityCatalog::mayFit(std::string_view Pool, std::string_view Label,
                             const core::Resources &Need) const {
  const auto Found = Pools_.find(Pool);
  if (Found == Pools_.end())
    return true;
  const std::vector<core::Resources> *Shapes = &Found->second.Any_;
  if (!Label.empty()) {
    const auto OfLabel = Found->second.ByLabel_.find(Label);
    if (OfLabel == Found->second.ByLabel_.end())
      return true; // an executor with the label may join
    Shapes = &OfLabel->second;
  }
  return std::ranges::any_of(*Shapes, [&](const auto &Shape) { return core::fits(Need, Shape); });
}

} // namespace masticdrift::lead
