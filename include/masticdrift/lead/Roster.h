/// \file
/// The roster: all executors that may have runs, kept in the leadership topic.
///
/// The executor list cannot tell a new leader where its predecessors have started tasks, because an
/// executor that loses the store loses its entry and keeps its runs. A leader therefore records an
/// executor before it starts anything there, and removes it when its leases have lapsed.
/// Records are appended together with a heartbeat, at the known end of the topic, and a claim
/// succeeds only there too: the winner has read the complete roster, and nothing that an earlier
/// leader still sends can change it.
#ifndef MASTICDRIFT_LEAD_ROSTER_H
#define MASTICDRIFT_LEAD_ROSTER_H

#include "masticdrift/work/Ledger.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace masticdrift::lead {

/// Addresses of the recorded executors, by executor id.
using Roster = std::map<std::string, std::string, std::less<>>;

/// \returns the record that adds an executor or changes its address.
/// \param Address must not be empty.
work::LogRecord encodeRosterEntry(std::string_view ExecutorId, std::string_view Address);

/// \returns the record that removes an executor.
work::LogRecord encodeRosterRemoval(std::string_view ExecutorId);

/// Applies a record of the leadership topic; records of other kinds have no effect.
void applyRosterRecord(Roster &Executors, std::string_view Key, std::string_view Value);

/// Removes the executors whose records are not among \p Keys, the keys of the topic's newest
/// records.
void retainRosterKeys(Roster &Executors, const std::set<std::string> &Keys);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_ROSTER_H
