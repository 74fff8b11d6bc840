/// \file
/// Child processes of tests.
#ifndef MASTICDRIFT_TESTING_PROCESS_H
#define MASTICDRIFT_TESTING_PROCESS_H

#include "masticdrift/core/Clock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

namespace masticdrift::testing {

using Json = nlohmann::json;

/// One child process. It is killed on destruction, and by the kernel when the thread that started
/// it ends, so start processes on the main thread of the test.
class Process {
public:
  /// Starts a program.
  ///
  /// \param Program an absolute path, or a name in MASTICDRIFT_BIN_DIR.
  /// \param Arguments without the program's name.
  /// \param ErrorFile receives standard error.
  /// \throws std::system_error when the process cannot be created.
  Process(const std::string &Program, const std::vector<std::string> &Arguments,
          std::string ErrorFile);
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process();

  /// Reads the one JSON line that the program prints when it is ready.
  /// \throws std::runtime_error, with the end of standard error, when none arrives in time.
  Json ready(core::Millis Deadline = core::Millis(5000));

  /// Sends a signal to the process.
  /// \returns false when its exit status has already been collected.
  bool signal(int Number);

  /// Waits for the end of the process.
  /// \returns the exit code, 128 plus the signal number when a signal ended it, or no value
  /// after \p Deadline.
  std::optional<int> wait(core::Millis Deadline);

  bool running();
  pid_t pid() const { return Pid_; }

  /// \returns what the program has written to standard error so far.
  std::string errors() const;

private:
  std::string Name_;
  std::string ErrorFile_;
  pid_t Pid_ = -1;
  int Output_ = -1;
  std::optional<int> Exit_;
};

/// Polls \p Condition every 20 ms until it holds.
/// \returns false when it does not hold within \p Deadline.
bool waitFor(core::Millis Deadline, const std::function<bool()> &Condition);

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTING_PROCESS_H
