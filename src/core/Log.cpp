#include "masticdrift/core/Log.h"

#include <algorithm>
#include <memory>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace masticdrift::core {

namespace {

/// Lines that may wait for the writer; about 2 MB.
constexpr std::size_t MaxWaitingLines = 4096;
/// Bytes of a line about a task.
constexpr std::size_t UsualLine = 256;

std::string InstanceName;                         // NOLINT: set once before threads start
LogTarget Destination = LogTarget::StandardError; // NOLINT: set once before threads start

std::shared_ptr<spdlog::details::thread_pool> &writer() {
  static std::shared_ptr<spdlog::details::thread_pool> Pool;
  return Pool;
}

std::shared_ptr<spdlog::logger> makeLogger() {
  constexpr const char *Name = "masticdrift";
  if (Destination == LogTarget::StandardError) {
    auto Made =
        std::make_shared<spdlog::logger>(Name, std::make_shared<spdlog::sinks::stderr_sink_mt>());
    Made->flush_on(spdlog::level::info);
    return Made;
  }
  writer() = std::make_shared<spdlog::details::thread_pool>(MaxWaitingLines, 1);
  auto Made = std::make_shared<spdlog::async_logger>(
      Name, std::make_shared<spdlog::sinks::stdout_sink_mt>(), writer(),
      spdlog::async_overflow_policy::overrun_oldest);
  Made->flush_on(spdlog::level::warn);
  return Made;
}

spdlog::level::level_enum toSpdlog(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warning:
    return spdlog::level::warn;
  case LogLevel::Error:
    return spdlog::level::err;
  }
  return spdlog::level::info;
}

spdlog::logger &logger() {
  static const std::shared_ptr<spdlog::logger> Logger = [] {
    auto Made = makeLogger();
    Made->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\",%v}");
    return Made;
  }();
  return *Logger;
}

bool isPlain(std::string_view Text) {
  return std::ranges::all_of(
      Text, [](char One) { return One >= ' ' && One <= '~' && One != '"' && One != '\\'; });
}

/// Appends "key":"value". Nearly all values are plain, and a JSON object per line costs five times
/// as much as the rest of the line.
void appendField(std::string &Line, std::string_view Key, std::string_view Value) {
  Line += '"';
  Line += Key;
  Line += "\":";
  if (!isPlain(Value)) {
    Line += nlohmann::json(Value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return;
  }
  Line += '"';
  Line += Value;
  Line += '"';
}

} // namespace

void initLog(std::string_view Instance, LogLevel Lowest, LogTarget Target) {
  InstanceName = Instance;
  Destination = Target;
  logger().set_level(toSpdlog(Lowest));
}

std::size_t droppedLogLines() { return writer() == nullptr ? 0 : writer()->overrun_counter(); }

void log(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields) {
  if (!logger().should_log(toSpdlog(Level)))
    return;
  std::string Line;
  Line.reserve(UsualLine);
  appendField(Line, "instance", InstanceName);
  Line += ',';
  appendField(Line, "event", Event);
  for (const LogField &Field : Fields) {
    Line += ',';
    appendField(Line, Field.Key_, Field.Value_);
  }
  // The pattern supplies the braces, so that time and level come first.
  logger().log(toSpdlog(Level), std::string_view(Line));
}

} // namespace masticdrift::core
