/// \file
/// Records of silent executors, kept in the leadership topic beside the roster.
///
/// A new leader must not start a task that may still run on an executor which does not answer. What
/// its predecessor knew of such an executor spares it most of the wait: the runs that the executor
/// may have, and when the last lease that it may hold is over. The record promises that no leader
/// grants the executor a lease, or starts anything there, before the record is removed.
///
/// The end of the lease is passed on as a time span. It counts from the moment at which a daemon
/// reads the record, which is later than the record was written, so it needs no common clock.
#ifndef MASTICDRIFT_LEAD_SILENCE_H
#define MASTICDRIFT_LEAD_SILENCE_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/work/Job.h"
#include "masticdrift/work/Ledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::lead {

/// A run that a silent executor may have.
struct SilentRun {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;
  std::uint64_t Number_ = 0;
  MSGPACK_DEFINE_ARRAY(Job_, Occurrence_, Step_, Index_, Number_)
};

/// What a leader knows of a silent executor.
struct SilenceRecord {
  /// Every lease that the executor may hold ends within this time after the writing.
  std::int64_t LeaseRemainingMs_ = 0;
  /// Runs_ are all runs that the executor may have. False when it has not answered the writer, or
  /// has reported ends whose effect is not durable.
  bool RunsKnown_ = false;
  std::vector<SilentRun> Runs_;
  MSGPACK_DEFINE_ARRAY(LeaseRemainingMs_, RunsKnown_, Runs_)
};

/// A record of a silent executor as read by a daemon.
struct KnownSilence {
  SilenceRecord Record_;
  core::TimePoint LeaseEnd_{}; ///< every lease of the executor is over, on this daemon's clock
  /// A leader that does not keep these records has led since, so the record promises nothing.
  bool Void_ = false;
};

/// The silent executors, by id.
using SilenceTable = std::map<std::string, KnownSilence, std::less<>>;

/// \returns the record of a silent executor.
work::LogRecord encodeSilence(std::string_view ExecutorId, const SilenceRecord &Record);

/// \returns the record that removes a silent executor from the table.
work::LogRecord encodeSilenceRemoval(std::string_view ExecutorId);

/// \returns the executor of a record of this kind, or an empty view for any other record.
std::string_view silentExecutorOf(std::string_view Key);

/// Applies a record of the leadership topic; records of other kinds have no effect.
///
/// \param ReadAt when the record was read.
void applySilenceRecord(SilenceTable &Silences, std::string_view Key, std::string_view Value,
                        core::TimePoint ReadAt);

/// Removes the executors whose records are not among \p Keys, the keys of the topic's newest
/// records.
void retainSilenceKeys(SilenceTable &Silences, const std::set<std::string> &Keys);

/// Marks all records as void.
void voidSilences(SilenceTable &Silences);

/// \returns true when no record is void.
bool allSilencesHold(const SilenceTable &Silences);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_SILENCE_H
