#include "masticdrift/lead/Roster.h"

#include "masticdrift/fleet/Orders.h"

namespace masticdrift::lead {

namespace {

constexpr std::string_view KeyPrefix = "executor/";
/// Longest key that the log service can store.
constexpr std::size_t MaxKeyBytes = 255;
static_assert(KeyPrefix.size() + fleet::MaxExecutorIdBytes <= MaxKeyBytes);

std::string rosterKey(std::string_view ExecutorId) {
  return std::string(KeyPrefix) + std::string(ExecutorId);
}

} // namespace

work::LogRecord encodeRosterEntry(std::string_view ExecutorId, std::string_view Address) {
  return {rosterKey(ExecutorId), std::string(Address)};
}

work::LogRecord encodeRosterRemoval(std::string_view ExecutorId) {
  return {rosterKey(ExecutorId), {}};
}

void applyRosterRecord(Roster &Executors, std::string_view Key, std::string_view Value) {
  if (!Key.starts_with(KeyPrefix))
    return;
  std::string Id(Key.substr(KeyPrefix.size()));
  if (Value.empty())
    Executors.erase(Id);
  else
    Executors[std::move(Id)] = Value;
}

void retainRosterKeys(Roster &Executors, const std::set<std::string> &Keys) {
  std::erase_if(Executors,
                [&](const auto &Entry) { return !Keys.contains(rosterKey(Entry.first)); });
}

} // namespace masticdrift::lead
