/// \file
/// Structured logging: one JSON object per line, written to standard error, or to standard output
/// without blocking the caller.
#ifndef MASTICDRIFT_CORE_LOG_H
#define MASTICDRIFT_CORE_LOG_H

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace masticdrift::core {

enum class LogLevel { Debug, Info, Warning, Error };

/// One named value of a log line.
struct LogField {
  std::string_view Key_;
  std::string Value_;
};

/// Destination of log lines.
enum class LogTarget {
  StandardError,  ///< written synchronously by the calling thread
  StandardOutput, ///< written by a background thread; lines are dropped when it lags
};

/// Sets the instance name in every line, the lowest level that is written, and the destination.
/// When \p Target is not standard error, call this before the first log line.
void initLog(std::string_view Instance, LogLevel MinLevel,
             LogTarget Target = LogTarget::StandardError);

/// \returns the number of lines dropped because the background writer lagged.
std::size_t droppedLogLines();

/// Writes one line. Thread-safe.
///
/// \param Level the severity.
/// \param Event a short description of what happened.
/// \param Fields values of this event; the request id goes under "request_id". Must not contain an
/// API key in clear text.
void log(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields = {});

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_LOG_H
