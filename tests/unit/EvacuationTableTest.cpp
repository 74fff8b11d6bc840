// The evacuations in force follow from the operators' records, in whatever order they are read.
#include "masticdrift/work/Evacuations.h"

#include <criterion/criterion.h>

using masticdrift::work::Evacuation;
using masticdrift::work::EvacuationTable;
using enum masticdrift::work::EvacuationChange;

namespace {

EvacuationTable makeTable() { return EvacuationTable({"lahore-a", "karachi-a"}); }

} // namespace

// --- Requests and withdrawals ---

// Guards against one request that ends or hides another one.
Test(EvacuationTable, requestsForTwoDomainsOverlap) {
  EvacuationTable Table = makeTable();
  cr_expect(Table.apply("lahore-a", false, 3) == Requested);
  cr_expect(Table.apply("karachi-a", false, 4) == Requested);
  cr_expect(Table.apply("lahore-a", true, 5) == Withdrawn);
  cr_expect(!Table.contains("lahore-a"));
  cr_expect(Table.contains("karachi-a"));
}

// Guards against a request that is announced anew each time the records are loaded again.
Test(EvacuationTable, aRepeatedRecordChangesNothing) {
  EvacuationTable Table = makeTable();
  cr_expect(Table.apply("lahore-a", false, 3) == Requested);
  cr_expect(Table.apply("lahore-a", false, 3) == None);
  cr_expect(Table.apply("lahore-a", false, 7) == None);
  cr_expect(Table.list() == std::vector<Evacuation>({{"lahore-a", 7}}));
}

// Guards against an older withdrawal that is read late and ends a newer request.
Test(EvacuationTable, anOlderWithdrawalDoesNotEndANewerRequest) {
  EvacuationTable Table = makeTable();
  Table.apply("lahore-a", false, 9);
  cr_expect(Table.apply("lahore-a", true, 5) == None);
  cr_expect(Table.contains("lahore-a"));
}

// Guards against a mistyped name that is taken for a request and reported as in force.
Test(EvacuationTable, aNameThatIsNoFailureDomainChangesNothing) {
  EvacuationTable Table = makeTable();
  cr_expect(Table.apply("lahore", false, 3) == UnknownDomain);
  cr_expect(Table.list().empty());
}

// --- Records that were lost or come from another daemon ---

// Guards against an evacuation that stays in force for good because its withdrawal has expired.
Test(EvacuationTable, whatIsMissingAfterALoadWasWithdrawn) {
  EvacuationTable Table = makeTable();
  Table.apply("lahore-a", false, 3);
  Table.apply("karachi-a", false, 4);
  cr_expect(Table.retain({"karachi-a"}) == std::vector<Evacuation>({{"lahore-a", 3}}));
  cr_expect(!Table.contains("lahore-a"));
}

// Guards against a daemon that leads with the evacuations of some seconds ago: while it follows
// another daemon, that one's list is the newest.
Test(EvacuationTable, theListOfTheSourceReplacesAnOlderOne) {
  EvacuationTable Table = makeTable();
  Table.apply("lahore-a", false, 3);
  cr_expect(Table.replace({{"karachi-a", 6}, {"nowhere", 7}}));
  cr_expect(Table.list() == std::vector<Evacuation>({{"karachi-a", 6}}));
  cr_expect(!Table.replace({{"karachi-a", 6}}));
}
