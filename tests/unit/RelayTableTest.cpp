// Selection of the daemon that relays orders to the executors of a failure domain.
#include "masticdrift/daemon/RelayTable.h"

#include <map>
#include <string>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint StartTime{std::chrono::hours(1)};

constexpr double LinkMbps = 200;

protocol::Hello makeHello(const std::string &Instance, const std::string &Address,
                          const std::string &Domain, double Cores, double Mbps = LinkMbps) {
  return {Instance, Address, Domain, Cores, false, Mbps};
}

daemon::RelayTable makeTable() {
  daemon::RelayTable Table;
  Table.registerRelay(makeHello("small", "10.0.0.1:1", "multan-a", 0.12), StartTime);
  Table.registerRelay(makeHello("large-1", "10.0.0.2:1", "multan-a", 0.5), StartTime);
  Table.registerRelay(makeHello("large-2", "10.0.0.3:1", "multan-a", 0.5), StartTime);
  Table.registerRelay(makeHello("other", "10.0.0.4:1", "sukkur-a", 0.5), StartTime);
  return Table;
}

std::string executorId(std::size_t I) { return "e" + std::to_string(I); }

/// \returns how many executors of a domain each relay serves.
std::map<std::string, std::size_t> countByRelay(daemon::RelayTable &Table, std::string_view Domain,
                                                std::size_t Executors) {
  std::map<std::string, std::size_t> Counts;
  for (std::size_t I = 0; I < Executors; ++I)
    ++Counts[std::string(Table.relayFor(executorId(I), Domain, StartTime))];
  return Counts;
}

} // namespace

// --- Selection ---

// Guards against relays that alternate between equal machines, so that connections are not reused.
Test(RelayTable, prefersTheLargestMachineOfTheDomainAndKeepsIt) {
  daemon::RelayTable Table = makeTable();
  cr_expect(Table.relayFor("e1", "multan-a", StartTime) == "10.0.0.2:1");
  Table.registerRelay(makeHello("large-2", "10.0.0.3:1", "multan-a", 0.5), StartTime + Millis(500));
  cr_expect(Table.relayFor("e1", "multan-a", StartTime + Millis(600)) == "10.0.0.2:1");
  cr_expect(Table.relayFor("e2", "multan-a", StartTime + Millis(600)) == "10.0.0.2:1");
}

// A domain of small machines with thin links. Guards against a leader that makes all calls itself
// through its own link because no machine is large enough to relay for the whole domain.
Test(RelayTable, smallMachinesShareTheExecutorsOfTheirDomain) {
  daemon::RelayTable Table;
  constexpr double ThinLinkMbps = 2;
  for (int I = 0; I < 3; ++I)
    Table.registerRelay(
        makeHello("small", "10.0.0." + std::to_string(I) + ":1", "multan-a", 0.12, ThinLinkMbps),
        StartTime);
  const std::size_t Capacity = daemon::relayCapacity(0.12, ThinLinkMbps);
  const auto Counts = countByRelay(Table, "multan-a", 3 * Capacity);
  cr_expect_eq(Counts.size(), 3);
  for (const auto &[Address, Count] : Counts)
    cr_expect_eq(Count, Capacity, "%s", Address.c_str());
}

// Guards against one relay that carries all executors of a domain while others have room.
Test(RelayTable, executorsBeyondTheCapacityGoToTheNextRelay) {
  daemon::RelayTable Table = makeTable();
  const std::size_t Large = daemon::relayCapacity(0.5, LinkMbps);
  const auto Counts = countByRelay(Table, "multan-a", 2 * Large + 1);
  cr_expect_eq(Counts.at("10.0.0.2:1"), Large);
  cr_expect_eq(Counts.at("10.0.0.3:1"), Large);
  cr_expect_eq(Counts.at("10.0.0.1:1"), 1);
}

// Guards against executors that nobody serves when there are more than all relays can carry.
Test(RelayTable, anOverloadIsSharedInProportion) {
  daemon::RelayTable Table;
  Table.registerRelay(makeHello("a", "10.0.0.1:1", "multan-a", 0.12), StartTime);
  Table.registerRelay(makeHello("b", "10.0.0.2:1", "multan-a", 0.24), StartTime);
  const std::size_t Small = daemon::relayCapacity(0.12, LinkMbps);
  const std::size_t Large = daemon::relayCapacity(0.24, LinkMbps);
  const auto Counts = countByRelay(Table, "multan-a", 2 * (Small + Large));
  cr_expect_leq(Counts.at("10.0.0.1:1"), 2 * Small + 1);
  cr_expect_leq(Counts.at("10.0.0.2:1"), 2 * Large + 1);
}

// --- Failures ---

// Guards against orders that are sent to a daemon that is gone.
Test(RelayTable, skipsDaemonsThatFailedOrTimedOut) {
  daemon::RelayTable Table = makeTable();
  cr_expect(Table.relayFor("e1", "multan-a", StartTime) == "10.0.0.2:1");
  Table.markFailed("10.0.0.2:1", StartTime);
  cr_expect(Table.relayFor("e1", "multan-a", StartTime) == "10.0.0.3:1");
  Table.registerRelay(makeHello("large-1", "10.0.0.2:1", "multan-a", 0.5),
                      StartTime + Millis(3000));
  cr_expect(Table.relayFor("e1", "multan-a", StartTime + Millis(3000)) == "10.0.0.2:1");
}

// Guards against small machines that keep the executors which they took over from a large one.
Test(RelayTable, aLargerDaemonThatComesBackTakesItsExecutorsBack) {
  daemon::RelayTable Table = makeTable();
  Table.markFailed("10.0.0.2:1", StartTime);
  Table.markFailed("10.0.0.3:1", StartTime);
  cr_expect(Table.relayFor("e1", "multan-a", StartTime) == "10.0.0.1:1");
  const core::TimePoint Later = StartTime + Millis(1000);
  Table.registerRelay(makeHello("small", "10.0.0.1:1", "multan-a", 0.12), Later);
  Table.registerRelay(makeHello("large-1", "10.0.0.2:1", "multan-a", 0.5), Later);
  cr_expect(Table.relayFor("e1", "multan-a", Later) == "10.0.0.1:1", "its pause is not over");
  const core::TimePoint Back = StartTime + Millis(2500);
  Table.registerRelay(makeHello("small", "10.0.0.1:1", "multan-a", 0.12), Back);
  Table.registerRelay(makeHello("large-1", "10.0.0.2:1", "multan-a", 0.5), Back);
  cr_expect(Table.relayFor("e1", "multan-a", Back) == "10.0.0.2:1");
}

// Guards against a leader that has to serve a whole domain which has lost its daemons.
Test(RelayTable, aDomainWithoutRelaysIsServedByAnother) {
  daemon::RelayTable Table = makeTable();
  const core::TimePoint Later = StartTime + Millis(3000);
  cr_expect(Table.relayFor("e1", "sukkur-a", Later).empty(), "all have timed out");
  Table.registerRelay(makeHello("large-1", "10.0.0.2:1", "multan-a", 0.5), Later);
  cr_expect(Table.relayFor("e1", "sukkur-a", Later) == "10.0.0.2:1");
}

// Guards against relays that look full because executors which have left still count.
Test(RelayTable, executorsThatHaveLeftMakeRoom) {
  daemon::RelayTable Table = makeTable();
  const std::size_t Large = daemon::relayCapacity(0.5, LinkMbps);
  countByRelay(Table, "multan-a", Large);
  const core::TimePoint Later = StartTime + Millis(60'000);
  for (const auto *Address : {"10.0.0.2:1", "10.0.0.3:1"})
    Table.registerRelay(makeHello("large", Address, "multan-a", 0.5), Later);
  cr_expect(Table.relayFor("new", "multan-a", Later) == "10.0.0.2:1");
}

// --- Starts in flight ---

// Guards against executors that stay empty beside thousands of waiting tasks: many relays were
// limited to the starts that the smallest machine can send alone.
Test(RelayTable, theLimitOfStartsGrowsWithTheRelays) {
  const int LimitOfOne = daemon::startLimit(0, LinkMbps);
  cr_expect_eq(daemon::startLimit(1, LinkMbps), LimitOfOne);
  cr_expect_eq(daemon::startLimit(8, LinkMbps), 8 * LimitOfOne);
}

// Guards against a thin link that is filled with starts, so that lease renewals wait behind them.
Test(RelayTable, theLimitOfStartsIsBoundedByTheLeadersLink) {
  constexpr double ThinLinkMbps = 2;
  cr_expect_eq(daemon::startLimit(8, ThinLinkMbps), daemon::startLimit(0, ThinLinkMbps));
  cr_expect_lt(daemon::startLimit(100, 20), 100 * daemon::startLimit(0, 20));
}

// --- Before all daemons have reported ---

// Guards against a new leader that gives the first relay that reports all executors, also those of
// other failure domains, which then keep it.
Test(RelayTable, anExecutorIsServedByARelayOfItsDomainThatHasRoom) {
  daemon::RelayTable Table;
  cr_expect(!Table.isServed("e1", "multan-a", StartTime));
  Table.registerRelay(makeHello("large-1", "10.0.0.2:1", "multan-a", 0.5), StartTime);
  cr_expect(Table.isServed("e1", "multan-a", StartTime));
  cr_expect(!Table.isServed("e1", "sukkur-a", StartTime), "a relay of another domain");
  const std::size_t Capacity = daemon::relayCapacity(0.5, LinkMbps);
  countByRelay(Table, "multan-a", Capacity);
  cr_expect(!Table.isServed(executorId(Capacity), "multan-a", StartTime), "the relay is full");
  cr_expect(Table.isServed(executorId(0), "multan-a", StartTime), "it keeps its relay");
  Table.markFailed("10.0.0.2:1", StartTime);
  cr_expect(!Table.isServed(executorId(0), "multan-a", StartTime), "the relay has failed");
}
