// Which daemon carries the orders for the executors of a failure domain.
#include "masticdrift/daemon/RelayTable.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint Start{std::chrono::hours(1)};

daemon::RelayTable tableOf() {
  daemon::RelayTable Out;
  Out.offer({"small", "10.0.0.1:1", "multan-a", 0.12}, Start);
  Out.offer({"large-1", "10.0.0.2:1", "multan-a", 0.5}, Start);
  Out.offer({"large-2", "10.0.0.3:1", "multan-a", 0.5}, Start);
  Out.offer({"other", "10.0.0.4:1", "sukkur-a", 0.5}, Start);
  return Out;
}

} // namespace

Test(RelayTable, picksTheLargestOfTheDomainAndStaysWithIt) {
  daemon::RelayTable Table = tableOf();
  cr_expect(Table.pick("multan-a", Start) == "10.0.0.2:1");
  Table.offer({"large-2", "10.0.0.3:1", "multan-a", 0.5}, Start + Millis(500));
  cr_expect(Table.pick("multan-a", Start + Millis(600)) == "10.0.0.2:1");
}

// Guards against small machines that can't carry orders beside their callers.
Test(RelayTable, leavesADomainWithoutALargeMachineToTheLeader) {
  daemon::RelayTable Table;
  Table.offer({"small", "10.0.0.1:1", "multan-a", 0.12}, Start);
  cr_expect(Table.pick("multan-a", Start).empty());
}

// Guards against orders that go to a daemon that is gone.
Test(RelayTable, leavesOutWhoIsNotHeardOrHasFailed) {
  daemon::RelayTable Table = tableOf();
  Table.failed("10.0.0.2:1", Start);
  cr_expect(Table.pick("multan-a", Start) == "10.0.0.3:1");
  Table.offer({"large-1", "10.0.0.2:1", "multan-a", 0.5}, Start + Millis(3000));
  cr_expect(Table.pick("multan-a", Start + Millis(3000)) == "10.0.0.2:1");
  cr_expect(Table.pick("sukkur-a", Start + Millis(3000)).empty());
}
