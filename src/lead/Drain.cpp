#include "masticdrift/lead/Drain.h"

#include "masticdrift/core/Pack.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

constexpr std::string_view KeyPrefix = "draining/";
/// Allows for the clock rates of the two machines between which a span is passed on.
constexpr double ClockRateMargin = 1.02;

std::string drainKey(std::string_view ExecutorId) {
  return std::string(KeyPrefix) + std::string(ExecutorId);
}

} // namespace

work::LogRecord encodeDrain(std::string_view ExecutorId, const DrainRecord &Record) {
  return {drainKey(ExecutorId), core::pack(Record)};
}

work::LogRecord encodeDrainRemoval(std::string_view ExecutorId) {
  return {drainKey(ExecutorId), {}};
}

std::string_view drainingExecutorOf(std::string_view Key) {
  return Key.starts_with(KeyPrefix) ? Key.substr(KeyPrefix.size()) : std::string_view();
}

void applyDrainRecord(DrainTable &Drains, std::string_view Key, std::string_view Value,
                      core::TimePoint ReadAt) {
  const std::string Id(drainingExecutorOf(Key));
  if (Id.empty())
    return;
  auto Record = core::unpack<DrainRecord>(Value);
  if (!Record) {
    Drains.erase(Id);
    return;
  }
  const auto Remaining = std::chrono::duration_cast<core::Duration>(
      core::Millis(std::max<std::int64_t>(Record->EarlierOrdersMs_, 0)) * ClockRateMargin);
  Drains[Id] = {std::move(*Record), ReadAt + Remaining, false};
}

void retainDrainKeys(DrainTable &Drains, const std::set<std::string> &Keys) {
  std::erase_if(Drains, [&](const auto &Entry) { return !Keys.contains(drainKey(Entry.first)); });
}

void voidDrains(DrainTable &Drains) {
  for (auto &[Id, Known] : Drains)
    Known.Void_ = true;
}

bool allDrainsHold(const DrainTable &Drains) {
  return std::ranges::none_of(Drains, [](const auto &Entry) { return Entry.second.Void_; });
}

} // namespace masticdrift::lead
