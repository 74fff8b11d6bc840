/// \file
/// Group commit to one stream.
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

struct AppenderOptions {
  std::string Stream_; ///< also the label of the metrics
  std::string Writer_;
  std::uint64_t Incarnation_ = 0;
  core::Duration MaxBatchAge_ = std::chrono::milliseconds(20); ///< age at which a batch is closed
  std::size_t MaxBatchBytes_ = 64U << 10U;                     ///< size at which a batch is closed
  double AppendsPerSecond_ = 20;
  double Burst_ = 20; ///< appends that can follow each other without waiting
  /// Counted from the first entry of a batch. After it no new attempt is started.
  core::Duration BatchDeadline_ = std::chrono::seconds(3);
  core::Duration RetryDelay_ =
      std::chrono::milliseconds(100);        ///< doubled per attempt, up to 4 times
  std::size_t MaxBufferedBytes_ = 4U << 20U; ///< the batch being sent included
  std::size_t MaxAppendBytes_ = 512U << 10U; ///< of one call
};

/// Sends bytes to the log; the signature of legacy::LogClient::append bound to a stream.
using AppendFunction =
    std::function<void(std::string Bytes, std::function<void(std::error_code, std::uint64_t)>)>;

/// \returns an AppendFunction on \p Client, which must outlive it.
AppendFunction appendTo(legacy::LogClient &Client, std::string Stream);

/// Collects entries into batches and appends them one after another. Thread-safe.
///
/// At most one append is outstanding. An attempt whose answer is lost is repeated with the same
/// sequence; replay skips the copies.
class Appender {
public:
  using Callback = std::function<void(std::error_code, std::uint64_t Offset)>;
  using ClockFunction = std::function<core::TimePoint()>;

  /// \param Timers must outlive this object and the HTTP client behind \p Send, whose callbacks
  /// post to it. Stop it before what the callbacks use is destroyed. \param Now the clock of batch
  /// deadlines and of the append budget.
  Appender(AppenderOptions Options, AppendFunction Send, core::Timers &Timers,
           ClockFunction Now = core::Clock::now);
  Appender(const Appender &) = delete;
  Appender &operator=(const Appender &) = delete;
  /// Drops what is buffered; callbacks that have not run are not called.
  ~Appender();

  /// Appends \p Entries in order and within one batch.
  ///
  /// \param Done called once, on the timer thread, with the offset of the batch. Errors:
  /// StoreUnavailable when the entries were certainly not written (buffer full, no attempt could be
  /// made, every attempt certainly failed); AppendUnknown when they may have been; BodyTooLarge for
  /// a call over MaxAppendBytes_; Stopping after stop().
  void append(std::vector<Entry> Entries, Callback Done);

  /// Tells the appender that replay has seen one of its own batches, which settles a batch whose
  /// answer was lost. Call it from the tailer's end-of-batch hook; batches of others are ignored.
  void observed(const BatchInfo &Info, std::uint64_t Offset);

  /// Refuses new entries with Stopping; what is buffered is still sent.
  void stop();

  /// \returns true when nothing is buffered or outstanding.
  bool idle() const;

  /// \returns bytes waiting, the batch being sent included.
  std::size_t bufferedBytes() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::journal

#endif // MASTICDRIFT_JOURNAL_APPENDER_H
