// Which daemons read the configuration from the log service.
#include "masticdrift/daemon/ConfigReaderTable.h"
#include "masticdrift/daemon/RelayTable.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint Start = core::TimePoint{} + std::chrono::hours(1);
/// All daemons send hellos twice a second, so the table is complete by then.
const core::TimePoint Settled = Start + Millis(1500);

protocol::Hello helloOf(std::string Address, std::string Domain, double LinkMbps = 10) {
  protocol::Hello Hello;
  Hello.PeerAddress_ = std::move(Address);
  Hello.Domain_ = std::move(Domain);
  Hello.LinkMbps_ = LinkMbps;
  Hello.Cores_ = 0.12;
  return Hello;
}

daemon::ConfigReaderTable makeTable(const std::vector<protocol::Hello> &Hellos) {
  daemon::ConfigReaderTable Table;
  for (const core::TimePoint At : {Start, Settled})
    for (const protocol::Hello &Hello : Hellos)
      Table.registerDaemon(Hello, At);
  return Table;
}

} // namespace

Test(ConfigReaderTable, theDaemonWithTheWidestLinkOfADomainReads) {
  const auto Table = makeTable(
      {helloOf("a1", "a"), helloOf("a2", "a", 200), helloOf("a3", "a"), helloOf("b1", "b")});
  cr_expect_eq(*Table.sourceFor("a1", Settled), "a2");
  cr_expect_eq(*Table.sourceFor("a3", Settled), "a2");
  cr_expect_eq(*Table.sourceFor("a2", Settled), "");
  cr_expect_eq(*Table.sourceFor("b1", Settled), "");
}

// Guards against daemons that name each other as sources: neither would read the log service.
Test(ConfigReaderTable, ofEqualDaemonsExactlyOneReads) {
  const auto Table = makeTable({helloOf("a1", "a"), helloOf("a2", "a"), helloOf("a3", "a")});
  cr_expect_eq(*Table.sourceFor("a1", Settled), "");
  cr_expect_eq(*Table.sourceFor("a2", Settled), "a1");
  cr_expect_eq(*Table.sourceFor("a3", Settled), "a1");
}

// Guards against a source that is gone and is named for good.
Test(ConfigReaderTable, aDaemonWithoutHellosIsNotNamed) {
  auto Table = makeTable({helloOf("a1", "a"), helloOf("a2", "a", 200)});
  const core::TimePoint Later = Settled + daemon::RelayTimeout + Millis(1);
  Table.registerDaemon(helloOf("a1", "a"), Later);
  cr_expect_eq(*Table.sourceFor("a1", Later), "");
}

// Guards against a new leader that sends all daemons to the log service because it does not know
// the others of their domain yet.
Test(ConfigReaderTable, nothingIsNamedBeforeAllDaemonsHaveSentHellos) {
  daemon::ConfigReaderTable Table;
  Table.registerDaemon(helloOf("a1", "a"), Start);
  cr_expect_not(Table.sourceFor("a1", Start).has_value());
  cr_expect_not(Table.sourceFor("unknown", Settled).has_value());
}
