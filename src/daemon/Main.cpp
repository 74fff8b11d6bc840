// masticdriftd: the daemon.
#include "masticdrift/core/Log.h"
#include "masticdrift/daemon/Daemon.h"
#include "masticdrift/daemon/FleetDaemon.h"
#include "masticdrift/settings/Settings.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

using namespace masticdrift;

namespace {

enum ExitCode : int { Stopped = 0, Failed = 1, BadSettings = 2, NotIdle = 3 };

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return std::nullopt;
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

core::LogLevel levelOf(std::string_view Name) {
  if (Name == "debug")
    return core::LogLevel::Debug;
  if (Name == "warning")
    return core::LogLevel::Warning;
  return Name == "error" ? core::LogLevel::Error : core::LogLevel::Info;
}

/// Signals that are handled by waiting for them, blocked in all threads.
sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

bool signalPending(const sigset_t &Set) {
  const timespec NoWait{};
  return sigtimedwait(&Set, nullptr, &NoWait) > 0;
}

int run(const settings::Settings &Settings) {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  core::initLog(Settings.Instance_.Name_, levelOf(Settings.LogLevel_));
  daemon::Daemon Daemon(Settings, [] { ::kill(::getpid(), SIGTERM); });
  const daemon::Ports Ports = Daemon.ports();
  std::cout << "{\"caller_port\":" << Ports.Caller_ << ",\"operator_port\":" << Ports.Operator_
            << ",\"peer_port\":" << Ports.Peer_ << "}" << std::endl;
  int Received = 0;
  sigwait(&Signals, &Received);
  // Remembered, because each step of the stop asks and the signal is taken only once.
  bool Forced = false;
  const bool Idle = Daemon.stop([&] { return Forced = Forced || signalPending(Signals); });
  return Idle ? Stopped : NotIdle;
}

/// Runs on the deployments of the first version, with settings of the product's own.
int runAlone(const std::string &Path, const std::string &Text, bool Check) {
  const settings::ParsedSettings Parsed = settings::parse(Text);
  for (const settings::ValidationError &One : Parsed.Errors_)
    std::cerr << "masticdriftd: " << Path << ": " << core::describe(One.Kind_).Id_ << ' '
              << One.text() << '\n';
  if (!Parsed.Errors_.empty())
    return BadSettings;
  return Check ? Stopped : run(Parsed.Settings_);
}

int runOnPlatform(const std::string &Path, const std::string &Text, bool Check) {
  platform::MachineSettings Settings;
  std::string Mistake;
  if (!platform::decodeSettings(Text, Settings, Mistake)) {
    std::cerr << "masticdriftd: " << Path << ": "
              << core::describe(core::ErrorKind::SettingsInvalid).Id_ << ' ' << Mistake << '\n';
    return BadSettings;
  }
  if (Check)
    return Stopped;
  std::signal(SIGPIPE, SIG_IGN);
  core::initLog(Settings.Instance_, core::LogLevel::Info, core::LogTarget::StandardOutput);
  return daemon::runFleetDaemon(Settings, Path) ? Stopped : NotIdle;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("masticdrift daemon: one on each entry instance");
  std::string Path;
  bool Check = false;
  App.set_version_flag("--version", MASTICDRIFT_VERSION);
  bool OnPlatform = false;
  App.add_option("--settings", Path, "Settings file (JSON)")
      ->envname("MASTICDRIFT_SETTINGS")
      ->required();
  App.add_flag("--platform", OnPlatform, "The settings file is the machine's, in its own format");
  App.add_flag("--check", Check, "Check the settings and exit");
  App.footer("Exit codes: 0 stopped or settings are valid, 1 can't start, 2 settings are invalid, "
             "3 stopped before all work had ended");
  CLI11_PARSE(App, Argc, Argv);
  const auto Text = readFile(Path);
  if (!Text) {
    std::cerr << "masticdriftd: can't read " << Path << '\n';
    return BadSettings;
  }
  try {
    return OnPlatform ? runOnPlatform(Path, *Text, Check) : runAlone(Path, *Text, Check);
  } catch (const std::exception &Reason) {
    std::cerr << "masticdriftd: " << Reason.what() << '\n';
    return Failed;
  }
}
