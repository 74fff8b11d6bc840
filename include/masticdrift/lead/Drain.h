/// \file
/// Records of draining executors, kept in the leadership topic beside the roster.
///
/// A draining executor often leaves together with its leader, or while the store is away, so that
/// the next leader finds it in the roster and gets no answer. The record tells which runs it may
/// have. It promises that no leader starts anything else there before the record is removed: the
/// runs that it may have only become fewer, and an old record errs on the side of waiting. Unlike
/// the record of a silent executor (see Silence.h) it says nothing about leases.
#ifndef MASTICDRIFT_LEAD_DRAIN_H
#define MASTICDRIFT_LEAD_DRAIN_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/lead/Silence.h"
#include "masticdrift/work/Ledger.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::lead {

/// What a leader knows of a draining executor.
struct DrainRecord {
  /// Start orders of leaders before the writer, which the executor would carry out if it restarted,
  /// arrive within this time after the writing.
  std::int64_t EarlierOrdersMs_ = 0;
  /// All runs that the executor may have, and those that have ended there and are not known to be
  /// acknowledged.
  std::vector<SilentRun> Runs_;
  MSGPACK_DEFINE_ARRAY(EarlierOrdersMs_, Runs_)
};

/// A record of a draining executor as read by a daemon.
struct KnownDrain {
  DrainRecord Record_;
  core::TimePoint HoldsFrom_{}; ///< no other run can start from then on, on this daemon's clock
  /// A leader that does not keep these records has led since, so the record promises nothing.
  bool Void_ = false;
};

/// The recorded draining executors, by id.
using DrainTable = std::map<std::string, KnownDrain, std::less<>>;

/// \returns the record of a draining executor.
work::LogRecord encodeDrain(std::string_view ExecutorId, const DrainRecord &Record);

/// \returns the record that removes a draining executor from the table.
work::LogRecord encodeDrainRemoval(std::string_view ExecutorId);

/// \returns the executor of a record of this kind, or an empty view for any other record.
std::string_view drainingExecutorOf(std::string_view Key);

/// Applies a record of the leadership topic; records of other kinds have no effect.
///
/// \param ReadAt when the record was read.
void applyDrainRecord(DrainTable &Drains, std::string_view Key, std::string_view Value,
                      core::TimePoint ReadAt);

/// Removes the executors whose records are not among \p Keys, the keys of the topic's newest
/// records.
void retainDrainKeys(DrainTable &Drains, const std::set<std::string> &Keys);

/// Marks all records as void.
void voidDrains(DrainTable &Drains);

/// \returns true when no record is void.
bool allDrainsHold(const DrainTable &Drains);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_DRAIN_H
