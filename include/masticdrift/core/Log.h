/// \file
/// Structured logging: one JSON object a line, on standard error or, without ever blocking the
/// caller, on standard output.
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

/// Where lines go.
enum class LogTarget {
  StandardError,  ///< written by the caller
  StandardOutput, ///< written by a thread of its own; lines are dropped when it lags
};

/// Sets the instance name that every line carries and the lowest level that is written.
/// Must come before the first line when \p Target is not standard error.
void initLog(std::string_view Instance, LogLevel MinLevel,
             LogTarget Target = LogTarget::StandardError);

/// \returns how many lines were dropped because the writer lagged.
std::size_t droppedLogLines();

/// Writes one line. Thread-safe.
///
/// \param Level the severity.
/// \param Event a short sentence that says what happened.
/// \param Fields values of this event; the request id goes under "request_id". Never a key in clear
/// text.
void log(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields = {});

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_LOG_H
