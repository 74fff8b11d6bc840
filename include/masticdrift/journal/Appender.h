/// \file
/// Group commit of entries to one log stream.
#ifndef MASTICDRIFT_JOURNAL_APPENDER_H
#define MASTICDRIFT_JOURNAL_APPENDER_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Timers.h"
#include "masticdrift/journal/Batch.h"
#include "masticdrift/legacy/LogClient.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace masticdrift::journal {

/// Settings of an Appender.
struct AppenderOptions {
  std::string Stream_; ///< name of the stream; also the "stream" label of the metrics
  std::string Writer_;
  std::uint64_t Incarnation_ = 0;
  core::Duration MaxBatchAge_ = std::chrono::milliseconds(20); ///< age at which a batch is sent
  std::size_t MaxBatchBytes_ = 64U << 10U;                     ///< size at which a batch is sent
  double AppendsPerSecond_ = 20;
  double Burst_ = 20; ///< size of the token bucket, in appends
  /// Deadline of a batch, counted from its first entry. No attempt is started after it.
  core::Duration BatchDeadline_ = std::chrono::seconds(3);
  /// Delay after the first attempt; doubled per attempt, up to 4 times this.
  core::Duration RetryDelay_ = std::chrono::milliseconds(100);
  std::size_t MaxBufferedBytes_ = 4U << 20U; ///< buffer limit, including the batch being sent
  std::size_t MaxAppendBytes_ = 512U << 10U; ///< limit of one append() call
};

/// Appends bytes to one stream, as legacy::LogClient::append does.
using AppendFunction =
    std::function<void(std::string Bytes, std::function<void(std::error_code, std::uint64_t)>)>;

/// \returns an AppendFunction that appends to \p Stream through \p Client, which must outlive it.
AppendFunction appendTo(legacy::LogClient &Client, std::string Stream);

/// Groups entries into batches and appends the batches one after another. Thread-safe.
///
/// At most one append is in flight. After a lost answer the batch is sent again with the same
/// sequence number; replay skips the duplicates.
class Appender {
public:
  using Callback = std::function<void(std::error_code, std::uint64_t Offset)>;
  using ClockFunction = std::function<core::TimePoint()>;

  /// \param Timers must outlive this object and the HTTP client behind \p Send, whose callbacks
  /// post to it. Stop it before destroying what the callbacks use.
  /// \param Now the clock for batch deadlines and the append rate.
  Appender(AppenderOptions Options, AppendFunction Send, core::Timers &Timers,
           ClockFunction Now = core::Clock::now);
  Appender(const Appender &) = delete;
  Appender &operator=(const Appender &) = delete;
  /// Drops the buffered entries without calling their callbacks.
  ~Appender();

  /// Appends \p Entries in order, all in the same batch.
  ///
  /// \param Done called once, on the timer thread, with the offset of the batch. Errors:
  /// StoreUnavailable when the entries were not written (buffer full, no attempt made, or every
  /// attempt definitely failed); AppendUnknown when they may have been written; BodyTooLarge above
  /// MaxAppendBytes_; Stopping after stop().
  void append(std::vector<Entry> Entries, Callback Done);

  /// Reports a batch that replay has read. When it is the batch in flight, its callers succeed even
  /// if the answer was lost. Call it from TailerHooks::OnBatchEnd_; batches of other writers are
  /// ignored.
  void observed(const BatchInfo &Info, std::uint64_t Offset);

  /// Refuses new entries with Stopping; buffered entries are still sent.
  void stop();

  /// \returns true when nothing is buffered or in flight.
  bool idle() const;

  /// \returns the number of buffered bytes, including the batch being sent.
  std::size_t bufferedBytes() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::journal

#endif // MASTICDRIFT_JOURNAL_APPENDER_H
