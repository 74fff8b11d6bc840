/// \file
/// Bash completion generated from the command tree.
#ifndef MASTICDRIFT_CTL_COMPLETION_H
#define MASTICDRIFT_CTL_COMPLETION_H

#include <string>

#include <CLI/CLI.hpp>

namespace masticdrift::ctl {

/// \returns a bash script that completes the commands and options under \p Root, and file names.
std::string completionScript(const CLI::App &Root);

} // namespace masticdrift::ctl

#endif // MASTICDRIFT_CTL_COMPLETION_H
