/// \file
/// Output of answers for people.
#ifndef MASTICDRIFT_CTL_PRINT_H
#define MASTICDRIFT_CTL_PRINT_H

#include <string>
#include <string_view>

namespace masticdrift::ctl {

/// Prints an answer body: as it is with \p Json, otherwise arrays of objects as a table and objects
/// as lines of "name value". A body that is not JSON is printed as it is.
void printBody(std::string_view Body, bool Json);

/// \returns the named string or number of a JSON object as text, or an empty string.
std::string memberText(std::string_view Body, std::string_view Name);

} // namespace masticdrift::ctl

#endif // MASTICDRIFT_CTL_PRINT_H
