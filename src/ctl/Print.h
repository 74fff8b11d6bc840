/// \file
/// Human-readable output of response bodies.
#ifndef MASTICDRIFT_CTL_PRINT_H
#define MASTICDRIFT_CTL_PRINT_H

#include <string>
#include <string_view>

namespace masticdrift::ctl {

/// Prints a response body to standard output: unchanged with \p Json, otherwise arrays of objects
/// as tables and objects as lines of "name value". A body that is not JSON is printed unchanged.
void printBody(std::string_view Body, bool Json);

/// \returns the member \p Name of the JSON object \p Body as text, or an empty string when there is
/// none.
std::string memberText(std::string_view Body, std::string_view Name);

} // namespace masticdrift::ctl

#endif // MASTICDRIFT_CTL_PRINT_H
