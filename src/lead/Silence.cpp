#include "masticdrift/lead/Silence.h"

#include "masticdrift/core/Pack.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

constexpr std::string_view KeyPrefix = "silent/";
/// Allows for the clock rates of the two machines between which a span is passed on.
constexpr double ClockRateMargin = 1.02;

std::string silenceKey(std::string_view ExecutorId) {
  return std::string(KeyPrefix) + std::string(ExecutorId);
}

} // namespace

work::LogRecord encodeSilence(std::string_view ExecutorId, const SilenceRecord &Record) {
  return {silenceKey(ExecutorId), core::pack(Record)};
}

work::LogRecord encodeSilenceRemoval(std::string_view ExecutorId) {
  return {silenceKey(ExecutorId), {}};
}

std::string_view silentExecutorOf(std::string_view Key) {
  return Key.starts_with(KeyPrefix) ? Key.substr(KeyPrefix.size()) : std::string_view();
}

void applySilenceRecord(SilenceTable &Silences, std::string_view Key, std::string_view Value,
                        core::TimePoint ReadAt) {
  const std::string Id(silentExecutorOf(Key));
  if (Id.empty())
    return;
  auto Record = core::unpack<SilenceRecord>(Value);
  if (!Record) {
    Silences.erase(Id);
    return;
  }
  const auto Remaining = std::chrono::duration_cast<core::Duration>(
      core::Millis(std::max<std::int64_t>(Record->LeaseRemainingMs_, 0)) * ClockRateMargin);
  Silences[Id] = {std::move(*Record), ReadAt + Remaining, false};
}

void retainSilenceKeys(SilenceTable &Silences, const std::set<std::string> &Keys) {
  std::erase_if(Silences,
                [&](const auto &Entry) { return !Keys.contains(silenceKey(Entry.first)); });
}

void voidSilences(SilenceTable &Silences) {
  for (auto &[Id, Known] : Silences)
    Known.Void_ = true;
}

bool allSilencesHold(const SilenceTable &Silences) {
  return std::ranges::none_of(Silences, [](const auto &Entry) { return Entry.second.Void_; });
}

} // namespace masticdrift::lead
