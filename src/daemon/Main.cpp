// Entry point of the daemon, masticdriftd.
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
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  std::ostringstream Content;
  Content << File.rdbuf();
  return Content.str();
}

core::LogLevel parseLogLevel(std::string_view Name) {
  if (Name == "debug")
    return core::LogLevel::Debug;
  if (Name == "warning")
    return core::LogLevel::Warning;
  return Name == "error" ? core::LogLevel::Error : core::LogLevel::Info;
}

/// Signals that stop the daemon; they are blocked in all threads and received by waiting for them.
sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

bool consumePendingSignal(const sigset_t &Signals) {
  const timespec NoWait{};
  return sigtimedwait(&Signals, nullptr, &NoWait) > 0;
}

int run(const settings::Settings &Settings) {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  core::initLog(Settings.Instance_.Name_, parseLogLevel(Settings.LogLevel_));
  daemon::Daemon Daemon(Settings, [] { ::kill(::getpid(), SIGTERM); });
  const daemon::Ports Ports = Daemon.ports();
  std::cout << "{\"caller_port\":" << Ports.Caller_ << ",\"operator_port\":" << Ports.Operator_
            << ",\"peer_port\":" << Ports.Peer_ << "}" << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  // Stored because every step of the stop checks it, but the signal can be received only once.
  bool StopForced = false;
  const bool Idle =
      Daemon.stop([&] { return StopForced = StopForced || consumePendingSignal(Signals); });
  return Idle ? Stopped : NotIdle;
}

/// Runs in deployments of the first version, which use the product's own settings format.
int runFirstVersion(const std::string &Path, const std::string &SettingsText, bool CheckOnly) {
  const settings::ParsedSettings Parsed = settings::parse(SettingsText);
  for (const settings::ValidationError &Mistake : Parsed.Errors_)
    std::cerr << "masticdriftd: " << Path << ": " << core::describe(Mistake.Kind_).Id_ << ' '
              << Mistake.text() << '\n';
  if (!Parsed.Errors_.empty())
    return BadSettings;
  return CheckOnly ? Stopped : run(Parsed.Settings_);
}

int runOnPlatform(const std::string &Path, const std::string &SettingsText, bool CheckOnly) {
  platform::MachineSettings Settings;
  std::string ParseError;
  if (!platform::decodeSettings(SettingsText, Settings, ParseError)) {
    std::cerr << "masticdriftd: " << Path << ": "
              << core::describe(core::ErrorKind::SettingsInvalid).Id_ << ' ' << ParseError << '\n';
    return BadSettings;
  }
  if (CheckOnly)
    return Stopped;
  std::signal(SIGPIPE, SIG_IGN);
  core::initLog(Settings.Instance_, core::LogLevel::Info, core::LogTarget::StandardOutput);
  return daemon::runFleetDaemon(Settings, Path) ? Stopped : NotIdle;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("masticdrift daemon, runs on each entry instance");
  std::string Path;
  bool CheckOnly = false;
  App.set_version_flag("--version", MASTICDRIFT_VERSION);
  bool OnPlatform = false;
  App.add_option("--settings", Path, "Settings file (JSON)")
      ->envname("MASTICDRIFT_SETTINGS")
      ->required();
  App.add_flag("--platform", OnPlatform,
               "Read the settings file in the format of the platform's machines");
  App.add_flag("--check", CheckOnly, "Check the settings and exit");
  App.footer("Exit codes: 0 stopped or settings are valid, 1 can't start, 2 settings are invalid, "
             "3 stopped before all work had ended");
  CLI11_PARSE(App, Argc, Argv);
  const auto SettingsText = readFile(Path);
  if (!SettingsText) {
    std::cerr << "masticdriftd: cannot read settings file " << Path << '\n';
    return BadSettings;
  }
  try {
    return OnPlatform ? runOnPlatform(Path, *SettingsText, CheckOnly)
                      : runFirstVersion(Path, *SettingsText, CheckOnly);
  } catch (const std::exception &Error) {
    std::cerr << "masticdriftd: " << Error.what() << '\n';
    return Failed;
  }
}
