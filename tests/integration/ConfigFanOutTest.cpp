// How a configuration reaches the daemons of a failure domain, as real processes.
#include "support/PlatformFleet.h"

#include <csignal>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr int DaemonCount = 6;
constexpr int QueueCount = 1500;

/// Time in which a configuration must be in force on sites with dozens of daemons.
constexpr Millis ConfigTimeout{4000};

/// Daemons learn of each other with their hellos, twice a second.
constexpr Millis SettleTimeout{10'000};

Json largeManifest(int Version) {
  Json Manifest = initialManifest();
  Manifest["version"] = Version;
  const Json Template = Manifest["routes"][0];
  for (int I = 0; I < QueueCount; ++I) {
    Json Route = Template;
    Route["name"] = "queue-" + std::to_string(I) + "-of-" + std::to_string(Version);
    Route["path_prefix"] = "/" + Route["name"].get<std::string>() + "/";
    Manifest["routes"].push_back(std::move(Route));
  }
  return Manifest;
}

std::size_t configBytesRead(PlatformFleet &Fleet, int Daemon) {
  const Json Evidence = Fleet.evidence();
  const Json Bytes = Evidence["bytes_read"].value("keyed.op", Json::object());
  return Bytes.value(PlatformFleet::nameOf(Daemon), std::size_t(0));
}

bool inForce(PlatformFleet &Fleet, int Daemon, int Version) {
  const std::string Line = "\nmasticdrift_config_version " + std::to_string(Version) + "\n";
  return Fleet.metrics(Daemon).find(Line) != std::string::npos;
}

bool inForceAtAll(PlatformFleet &Fleet, int Version, int Except = -1) {
  for (int I = 0; I < DaemonCount; ++I)
    if (I != Except && !inForce(Fleet, I, Version))
      return false;
  return true;
}

/// \returns the daemons that read the whole of a large configuration from the log service.
std::vector<int> readersOf(PlatformFleet &Fleet, const std::vector<std::size_t> &BytesBefore,
                           const Json &Manifest) {
  std::vector<int> Readers;
  const std::size_t Size = Manifest.dump().size();
  for (int I = 0; I < DaemonCount; ++I)
    if (configBytesRead(Fleet, I) - BytesBefore[static_cast<std::size_t>(I)] >= Size)
      Readers.push_back(I);
  return Readers;
}

std::vector<std::size_t> configBytesReadByAll(PlatformFleet &Fleet) {
  std::vector<std::size_t> Bytes;
  Bytes.reserve(DaemonCount);
  for (int I = 0; I < DaemonCount; ++I)
    Bytes.push_back(configBytesRead(Fleet, I));
  return Bytes;
}

/// Puts configurations in force until the leader and one more daemon are the only ones that read
/// them from the log service.
/// \returns the version in force, or 0.
/// \param Version version in force before.
int awaitFanOut(PlatformFleet &Fleet, int Version = 1) {
  const bool Settled = waitFor(SettleTimeout, [&] {
    const std::vector<std::size_t> Before = configBytesReadByAll(Fleet);
    const Json Manifest = largeManifest(++Version);
    Fleet.control({{"manifest", Manifest}});
    return waitFor(ConfigTimeout, [&] { return inForceAtAll(Fleet, Version); }) &&
           readersOf(Fleet, Before, Manifest).size() <= 2;
  });
  return Settled ? Version : 0;
}

} // namespace

// --- A calm store ---

// Guards against a configuration that every daemon reads from the log service: the copies fill a
// link between two regions, and the leases of the executors behind it lapse.
Test(ConfigFanOut, oneDaemonOfADomainReadsAConfigurationForTheOthers) {
  PlatformFleet Fleet(DaemonCount, 1);
  const int Version = awaitFanOut(Fleet);
  cr_assert_gt(Version, 0, "more than two daemons read each configuration");
}

// --- Loss of the daemon that reads ---

// Guards against daemons that stay on an old configuration because they wait for one that hangs.
Test(ConfigFanOut, aPausedReaderDoesNotDelayTheOthers) {
  PlatformFleet Fleet(DaemonCount, 1);
  int Version = awaitFanOut(Fleet);
  cr_assert_gt(Version, 0, "more than two daemons read each configuration");
  for (int Paused = 0; Paused < DaemonCount; ++Paused) {
    Fleet.daemon(Paused).signal(SIGSTOP);
    Fleet.control({{"manifest", largeManifest(++Version)}});
    cr_expect(waitFor(ConfigTimeout, [&] { return inForceAtAll(Fleet, Version, Paused); }),
              "version %d is not in force while daemon %d is paused", Version, Paused + 1);
    Fleet.daemon(Paused).signal(SIGCONT);
    cr_expect(waitFor(SettleTimeout, [&] { return inForce(Fleet, Paused, Version); }));
    Version = awaitFanOut(Fleet, Version);
    cr_assert_gt(Version, 0, "after the pause of daemon %d", Paused + 1);
  }
}

// Guards against daemons that stay on an old configuration because they rely on one that can't read
// the log service itself.
Test(ConfigFanOut, aReaderWithoutTheStoreDoesNotDelayTheOthers) {
  PlatformFleet Fleet(DaemonCount, 1);
  int Version = awaitFanOut(Fleet);
  cr_assert_gt(Version, 0, "more than two daemons read each configuration");
  for (int Refused = 0; Refused < DaemonCount; ++Refused) {
    Fleet.control({{"refused_daemon", PlatformFleet::nameOf(Refused)}});
    Fleet.control({{"manifest", largeManifest(++Version)}});
    cr_expect(waitFor(ConfigTimeout, [&] { return inForceAtAll(Fleet, Version, Refused); }),
              "version %d is not in force while daemon %d is refused", Version, Refused + 1);
    Fleet.control({{"refused_daemon", "none"}});
    cr_expect(waitFor(SettleTimeout, [&] { return inForce(Fleet, Refused, Version); }));
    Version = awaitFanOut(Fleet, Version);
    cr_assert_gt(Version, 0, "after daemon %d was refused", Refused + 1);
  }
}

// Guards against a daemon that joins and stays without the newest configuration.
Test(ConfigFanOut, aDaemonThatJoinsHasTheNewestConfiguration) {
  PlatformFleet Fleet(DaemonCount, 1);
  int Version = awaitFanOut(Fleet);
  cr_assert_gt(Version, 0, "more than two daemons read each configuration");
  Fleet.addDaemon(0.25);
  Fleet.control({{"manifest", largeManifest(++Version)}});
  cr_expect(waitFor(ConfigTimeout, [&] { return inForce(Fleet, DaemonCount, Version); }));
}
