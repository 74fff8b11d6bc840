/// \file
/// Replay of one stream.
#ifndef MASTICDRIFT_JOURNAL_TAILER_H
#define MASTICDRIFT_JOURNAL_TAILER_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Timers.h"
#include "masticdrift/journal/Batch.h"
#include "masticdrift/journal/Snapshot.h"
#include "masticdrift/legacy/LogClient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace masticdrift::journal {

/// Records that expired before they were read.
struct Gap {
  std::uint64_t Needed_ = 0; ///< offset that replay needed
  std::uint64_t First_ = 0;  ///< oldest offset that is left
};

/// Where replay stands: everything below NextOffset_ has been applied.
struct Position {
  std::uint64_t NextOffset_ = 0;
  std::vector<WriterSequence> Sequences_;
};

/// Functions that replay calls, all on the timer thread. Only OnEntry_ is required.
struct TailerHooks {
  /// Called for each entry in order, exactly once. \p Index counts the entries of a batch from 0.
  std::function<void(std::uint64_t Offset, std::uint32_t Index, const BatchInfo &, const Entry &)>
      OnEntry_;
  /// Called after the last entry of a batch, and for each copy that was skipped (\p Copy true).
  std::function<void(std::uint64_t Offset, const BatchInfo &, bool Copy)> OnBatchEnd_;
  /// Called when a read reached the end of the stream and everything up to it has been applied.
  std::function<void()> OnCaughtUp_;
  /// Called once for each gap that no snapshot covers; repeated when the gap changes.
  std::function<void(const Gap &)> OnGap_;
  /// Replaces the replayed state by a snapshot. \returns false when it can't be decoded; the gap
  /// is then reported.
  std::function<bool(const SnapshotBody &, std::uint64_t BaseOffset)> LoadSnapshot_;
};

struct TailerOptions {
  std::string Stream_;
  core::Duration Interval_ = std::chrono::milliseconds(500);
  std::uint32_t MaxRecords_ = 256; ///< of one read
  RecordType SnapshotType_ = RecordType::Snapshot;
  /// Records kept while waiting for a complete snapshot; older ones are dropped above it.
  std::size_t MaxCollectedBytes_ = 64U << 20U;
};

/// Reads records; the signature of legacy::LogClient::read bound to a stream.
using ReadFunction = std::function<void(std::uint64_t From, std::uint32_t Max,
                                        std::function<void(std::error_code, legacy::ReadResult)>)>;

/// \returns a ReadFunction on \p Client, which must outlive it.
ReadFunction readFrom(legacy::LogClient &Client, std::string Stream);

/// Polls a stream and delivers its entries. Thread-safe; hooks run on the timer thread, so they
/// never overlap each other or other timer functions.
///
/// Copies of a batch are skipped: of each writer incarnation only rising sequences are delivered.
/// When records that are needed have expired, the tailer reads on from the oldest record, loads the
/// last complete snapshot and applies the records after it.
class Tailer {
public:
  /// \param Timers must outlive this object and the HTTP client behind \p Read, whose callbacks
  /// post to it. Stop it before what the callbacks use is destroyed.
  Tailer(TailerOptions Options, ReadFunction Read, core::Timers &Timers, TailerHooks Hooks,
         std::function<core::TimePoint()> Now = core::Clock::now);
  Tailer(const Tailer &) = delete;
  Tailer &operator=(const Tailer &) = delete;
  ~Tailer();

  /// Starts polling, first at once.
  void start();

  /// Stops polling; after a return on the timer thread no hook is called any more. Idempotent.
  void stop();

  /// Reads as soon as possible; when a read is under way, again after it.
  void readNow();

  /// Continues at a position that was copied from a peer, together with the state as of it. Call it
  /// on the timer thread or before start(). Positions behind the present one are ignored.
  ///
  /// \returns true when the position was taken.
  bool resume(const Position &Start);

  /// \returns the send time of the last read that reached the end of the stream and was applied;
  /// nothing before the first one or while there is a gap.
  std::optional<core::TimePoint> completeAsOf() const;

  /// \returns the offset after the last one applied.
  std::uint64_t nextOffset() const;

  /// \returns where replay stands. Consistent with the replayed state when called on the timer
  /// thread outside the hook OnEntry_, for example in OnBatchEnd_: that is where snapshots are
  /// taken.
  Position position() const;

  /// \returns the gap that no snapshot covers, if any.
  std::optional<Gap> gap() const;

  /// \returns base offset and last offset of the last complete snapshot seen; no bytes.
  std::optional<CompleteSnapshot> lastSnapshot() const;

  /// \returns the number of reads sent.
  std::uint64_t reads() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::journal

#endif // MASTICDRIFT_JOURNAL_TAILER_H
