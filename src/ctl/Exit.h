/// \file
/// Exit codes of masticdriftctl, in one table for the program and its help text.
#ifndef MASTICDRIFT_CTL_EXIT_H
#define MASTICDRIFT_CTL_EXIT_H

#include <array>
#include <string_view>

namespace masticdrift::ctl {

enum class Exit { Ok = 0, Refused = 1, Usage = 2, Unreachable = 3, Conflict = 4, Unknown = 5 };

/// An exit code and its description in the help text.
struct ExitRow {
  Exit Code_;
  std::string_view Meaning_;
};

inline constexpr std::array ExitTable{
    ExitRow{Exit::Ok, "done"},
    ExitRow{Exit::Refused, "refused or failed; the message says whether anything ran"},
    ExitRow{Exit::Usage, "wrong arguments, or a file that cannot be read"},
    ExitRow{Exit::Unreachable, "no connection to the server, or no answer to a read"},
    ExitRow{Exit::Conflict, "another version was submitted on the same base version"},
    ExitRow{Exit::Unknown, "outcome unknown: it may have taken effect; repeat with the same id"},
};

} // namespace masticdrift::ctl

#endif // MASTICDRIFT_CTL_EXIT_H
