/// \file
/// Replay of one log stream.
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

/// A range of records that expired before they were read.
struct Gap {
  std::uint64_t Needed_ = 0; ///< next offset that replay needed
  std::uint64_t First_ = 0;  ///< oldest offset still available
};

/// Replay position: all records below NextOffset_ have been applied.
struct Position {
  std::uint64_t NextOffset_ = 0;
  std::vector<WriterSequence> Sequences_;
};

/// Callbacks of a tailer, all called on the timer thread. Only OnEntry_ is required.
struct TailerHooks {
  /// Called for each entry in order, exactly once. \p Index counts the entries of a batch from 0.
  std::function<void(std::uint64_t Offset, std::uint32_t Index, const BatchInfo &, const Entry &)>
      OnEntry_;
  /// Called after the last entry of a batch, and with \p Copy set for each skipped duplicate.
  std::function<void(std::uint64_t Offset, const BatchInfo &, bool Copy)> OnBatchEnd_;
  /// Called when a read has reached the end of the stream and all its records are applied.
  std::function<void()> OnCaughtUp_;
  /// Called once for a gap that no snapshot covers, and again when the gap changes.
  std::function<void(const Gap &)> OnGap_;
  /// Replaces the replayed state by a snapshot.
  ///
  /// \returns false when the snapshot cannot be decoded; the gap is then reported.
  std::function<bool(const SnapshotBody &, std::uint64_t BaseOffset)> LoadSnapshot_;
};

/// Settings of a Tailer.
struct TailerOptions {
  std::string Stream_;
  core::Duration Interval_ = std::chrono::milliseconds(500);
  std::uint32_t MaxRecords_ = 256; ///< limit of one read
  RecordType SnapshotType_ = RecordType::Snapshot;
  /// Limit of the records buffered until a snapshot is complete; the oldest are dropped above it.
  std::size_t MaxCollectedBytes_ = 64U << 20U;
};

/// Reads records of one stream, as legacy::LogClient::read does.
using ReadFunction = std::function<void(std::uint64_t From, std::uint32_t Max,
                                        std::function<void(std::error_code, legacy::ReadResult)>)>;

/// \returns a ReadFunction that reads \p Stream through \p Client, which must outlive it.
ReadFunction readFrom(legacy::LogClient &Client, std::string Stream);

/// Polls a stream and delivers its entries. Thread-safe; hooks run on the timer thread, so they
/// never run concurrently with each other or with other timer callbacks.
///
/// Duplicate batches are skipped: only increasing sequence numbers of a writer incarnation are
/// delivered. When needed records have expired, the tailer continues at the oldest available
/// record, loads the last complete snapshot and applies the records after it.
class Tailer {
public:
  /// \param Timers must outlive this object and the HTTP client behind \p Read, whose callbacks
  /// post to it. Stop it before destroying what the callbacks use.
  Tailer(TailerOptions Options, ReadFunction Read, core::Timers &Timers, TailerHooks Hooks,
         std::function<core::TimePoint()> Now = core::Clock::now);
  Tailer(const Tailer &) = delete;
  Tailer &operator=(const Tailer &) = delete;
  ~Tailer();

  /// Starts polling; the first read is sent immediately.
  void start();

  /// Stops polling. When called on the timer thread, no hook runs after it returns. Idempotent.
  void stop();

  /// Reads as soon as possible; a read in flight is followed by another one.
  void readNow();

  /// Continues at a position copied from a peer together with the state at that position. Call it
  /// on the timer thread or before start(). A position that is not ahead of this one is ignored.
  ///
  /// \returns true when the position was adopted.
  bool resume(const Position &Start);

  /// \returns the send time of the last read that reached the end of the stream and was applied;
  /// std::nullopt before the first such read and while there is a gap.
  std::optional<core::TimePoint> completeAsOf() const;

  /// \returns the offset after the last applied record.
  std::uint64_t nextOffset() const;

  /// \returns the replay position. It matches the replayed state when called on the timer thread
  /// outside OnEntry_, for example in OnBatchEnd_, where snapshots are taken.
  Position position() const;

  /// \returns the gap that no snapshot covers, if any.
  std::optional<Gap> gap() const;

  /// \returns the offsets of the last complete snapshot read, without its bytes.
  std::optional<CompleteSnapshot> lastSnapshot() const;

  /// \returns the number of reads sent.
  std::uint64_t reads() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::journal

#endif // MASTICDRIFT_JOURNAL_TAILER_H
