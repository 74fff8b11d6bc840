#include "support/Process.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace masticdrift::testing {

namespace {

/// Runs in the child between fork and exec, where only async-signal-safe calls are allowed.
[[noreturn]] void runChild(const char *Path, char *const *Arguments, int Output, int Errors,
                           pid_t Parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(127);
  const int Input = open("/dev/null", O_RDONLY | O_CLOEXEC);
  dup2(Input, STDIN_FILENO);
  dup2(Output, STDOUT_FILENO);
  dup2(Errors, STDERR_FILENO);
  close_range(3, ~0U, 0);
  sigset_t EmptyMask;
  sigemptyset(&EmptyMask);
  sigprocmask(SIG_SETMASK, &EmptyMask, nullptr);
  execv(Path, Arguments);
  _exit(127);
}

} // namespace

Process::Process(const std::string &Program, const std::vector<std::string> &Arguments,
                 std::string ErrorFile)
    : Name_(Program), ErrorFile_(std::move(ErrorFile)) {
  std::string Path = Program.starts_with('/') ? Program : MASTICDRIFT_BIN_DIR + Program;
  std::vector<std::string> ArgumentCopies(Arguments);
  std::vector<char *> Pointers{Path.data()};
  for (std::string &Argument : ArgumentCopies)
    Pointers.push_back(Argument.data());
  Pointers.push_back(nullptr);
  std::array<int, 2> Pipe{};
  if (pipe2(Pipe.data(), O_CLOEXEC) != 0)
    throw std::system_error(errno, std::generic_category(), "pipe2");
  const int Errors =
      open(ErrorFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
  const pid_t Parent = getpid();
  Pid_ = fork();
  if (Pid_ == 0)
    runChild(Path.c_str(), Pointers.data(), Pipe[1], Errors, Parent);
  const int ForkError = errno;
  close(Pipe[1]);
  close(Errors);
  Output_ = Pipe[0];
  if (Pid_ < 0) {
    close(Output_);
    throw std::system_error(ForkError, std::generic_category(), "fork");
  }
}

Process::~Process() {
  signal(SIGKILL);
  wait(core::Millis(5000));
  close(Output_);
}

Json Process::ready(core::Millis Deadline) {
  const core::TimePoint DeadlineTime = core::Clock::now() + Deadline;
  std::string Line;
  while (Line.find('\n') == std::string::npos) {
    const std::int64_t RemainingMs = core::toMillis(DeadlineTime - core::Clock::now());
    pollfd Poll{Output_, POLLIN, 0};
    if (RemainingMs <= 0 || poll(&Poll, 1, static_cast<int>(RemainingMs)) <= 0)
      throw std::runtime_error(
          Name_ + " printed no ready line before the deadline; standard error: " + errors());
    std::array<char, 4096> Buffer{};
    const ssize_t Size = read(Output_, Buffer.data(), Buffer.size());
    if (Size <= 0)
      throw std::runtime_error(Name_ + " exited before it was ready; standard error: " + errors());
    Line.append(Buffer.data(), static_cast<std::size_t>(Size));
  }
  return Json::parse(Line.substr(0, Line.find('\n')));
}

bool Process::signal(int Number) {
  // The kernel does not reuse the id of a process until its exit status has been collected, so the
  // signal cannot reach another process.
  return !Exit_ && kill(Pid_, Number) == 0;
}

std::optional<int> Process::wait(core::Millis Deadline) {
  waitFor(Deadline, [this] { return !running(); });
  return Exit_;
}

bool Process::running() {
  int Status = 0;
  if (!Exit_ && waitpid(Pid_, &Status, WNOHANG) == Pid_)
    Exit_ = WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  return !Exit_;
}

std::string Process::errors() const {
  std::ostringstream Text;
  Text << std::ifstream(ErrorFile_).rdbuf();
  return Text.str();
}

bool waitFor(core::Millis Deadline, const std::function<bool()> &Condition) {
  const core::TimePoint DeadlineTime = core::Clock::now() + Deadline;
  while (!Condition()) {
    if (core::Clock::now() >= DeadlineTime)
      return false;
    std::this_thread::sleep_for(core::Millis(20));
  }
  return true;
}

} // namespace masticdrift::testing
