/// \file
/// Structured logging: one JSON object a line on standard error.
#ifndef MASTICDRIFT_CORE_LOG_H
#define MASTICDRIFT_CORE_LOG_H

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

/// Sets the instance name that every line carries and the lowest level that is written.
void initLog(std::string_view Instance, LogLevel Lowest);

/// Writes one line. Thread-safe.
///
/// \param Level the severity.
/// \param Event a short sentence that says what happened.
/// \param Fields values of this event; the request id goes under "request_id". Never a key in clear
/// text.
void log(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields = {});

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_LOG_H
