#include "masticdrift/lead/Capacity.h"

namespace masticdrift::lead {

namespace {

std::string toText(const core::Resources &Amounts) {
  return std::to_string(Amounts.MilliCores_) + '/' + std::to_string(Amounts.MemoryMb_) + '/' +
         std::to_string(Amounts.Accelerators_);
}

} // namespace

bool exceedsCapacity(const ExecutorState &Executor) {
  return !core::fits(Executor.Used_, Executor.Info_.Capacity_);
}

bool isEntryCurrent(const ExecutorState &Executor, core::TimePoint Now, core::Millis MaxListDelay) {
  const std::int64_t ListedIncarnation = Executor.Info_.IncarnationStartMs_;
  return ListedIncarnation == 0 || ListedIncarnation >= Executor.Incarnation_ ||
         Now - Executor.MetAt_ >= MaxListDelay;
}

std::string describeCapacityChange(const ExecutorState &Executor,
                                   const core::Resources &NewCapacity) {
  return "before " + toText(Executor.Info_.Capacity_) + " after " + toText(NewCapacity) +
         " in use " + toText(Executor.Used_);
}

} // namespace masticdrift::lead
