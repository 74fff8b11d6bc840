// Selection of the daemon that relays orders to the executors of a failure domain.
#include "masticdrift/daemon/RelayTable.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint StartTime{std::chrono::hours(1)};

daemon::RelayTable makeTable() {
  daemon::RelayTable Table;
  Table.registerRelay({"small", "10.0.0.1:1", "multan-a", 0.12}, StartTime);
  Table.registerRelay({"large-1", "10.0.0.2:1", "multan-a", 0.5}, StartTime);
  Table.registerRelay({"large-2", "10.0.0.3:1", "multan-a", 0.5}, StartTime);
  Table.registerRelay({"other", "10.0.0.4:1", "sukkur-a", 0.5}, StartTime);
  return Table;
}

} // namespace

// Guards against relays that alternate between equal machines, so that connections are not reused.
Test(RelayTable, prefersTheLargestMachineOfTheDomainAndKeepsIt) {
  daemon::RelayTable Table = makeTable();
  cr_expect(Table.relayFor("multan-a", StartTime) == "10.0.0.2:1");
  Table.registerRelay({"large-2", "10.0.0.3:1", "multan-a", 0.5}, StartTime + Millis(500));
  cr_expect(Table.relayFor("multan-a", StartTime + Millis(600)) == "10.0.0.2:1");
}

// Guards against relays on machines that are too small to relay orders and serve callers as well.
Test(RelayTable, returnsNothingForADomainOfSmallMachines) {
  daemon::RelayTable Table;
  Table.registerRelay({"small", "10.0.0.1:1", "multan-a", 0.12}, StartTime);
  cr_expect(Table.relayFor("multan-a", StartTime).empty());
}

// Guards against orders that are sent to a daemon that is gone.
Test(RelayTable, skipsDaemonsThatFailedOrTimedOut) {
  daemon::RelayTable Table = makeTable();
  Table.markFailed("10.0.0.2:1", StartTime);
  cr_expect(Table.relayFor("multan-a", StartTime) == "10.0.0.3:1");
  Table.registerRelay({"large-1", "10.0.0.2:1", "multan-a", 0.5}, StartTime + Millis(3000));
  cr_expect(Table.relayFor("multan-a", StartTime + Millis(3000)) == "10.0.0.2:1");
  cr_expect(Table.relayFor("sukkur-a", StartTime + Millis(3000)).empty());
}
