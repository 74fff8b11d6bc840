/// \file
/// Group commit of job records to a topic of the log service.
#ifndef MASTICDRIFT_DAEMON_JOBWRITER_H
#define MASTICDRIFT_DAEMON_JOBWRITER_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/work/Ledger.h"
#include "platform/Store.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace masticdrift::daemon {

/// Outcome of an append on behalf of a caller.
enum class WriteOutcome {
  Stored,
  Refused, ///< not stored now and not stored later
  Unknown, ///< may be stored already or later
};

/// Appends the records of callers in batches, with one append call at a time.
///
/// The records of an unanswered call are sent again, which is safe because each record is complete
/// under its own key. A record that was part of an unanswered call is never reported as refused.
class JobWriter {
public:
  using Callback = std::function<void(WriteOutcome)>;

  /// \param OnStored called for each stored record, before the callback of its write.
  JobWriter(platform::Store &Store, std::string Topic,
            std::function<void(std::uint64_t Offset, const work::LogRecord &)> OnStored);

  /// Appends \p Entries in one call.
  ///
  /// \param Deadline latest time for \p OnDone; enforced by expire().
  /// \param OnDone called once with the outcome.
  void write(std::vector<work::LogRecord> Entries, core::TimePoint Deadline, Callback OnDone);

  /// Completes the write whose last record has this key as stored, because the record was read back
  /// from the log.
  void confirmStored(std::string_view Key);

  /// Completes the writes whose deadline has passed and sends the queued ones. To be called about
  /// every 50 ms.
  void expire(core::TimePoint Now);

  bool idle() const { return Queued_.empty() && InFlight_.empty(); }

private:
  struct PendingWrite {
    std::vector<work::LogRecord> Entries_;
    core::TimePoint Deadline_;
    Callback OnDone_;
    bool MayBeStored_ = false; ///< was part of an unanswered call
  };
  void flush();
  void onAppended(const platform::AppendResult &Result, core::TimePoint SentAt);
  void logFailure(const std::vector<PendingWrite> &Batch, const platform::AppendResult &Result,
                  core::TimePoint SentAt) const;

  platform::Store &Store_;
  const std::string Topic_;
  const std::function<void(std::uint64_t, const work::LogRecord &)> OnStored_;
  std::deque<PendingWrite> Queued_;
  std::vector<PendingWrite> InFlight_;
  bool CallInFlight_ = false;
  std::uint64_t CallNumber_ = 0; ///< of the last call; answers of earlier calls are ignored
  core::Millis AppendTimeout_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

/// Shortest timeout of an append call, for a service that answers quickly.
inline constexpr core::Millis MinAppendTimeout{500};
/// Longest timeout of an append call. A store that is a hundred times slower than usual takes 0.4 s
/// for the answer and 0.3 s for each append queued before it; a retry only lengthens that queue.
inline constexpr core::Millis MaxAppendTimeout{2000};
/// Timeout of the next call as a multiple of the last call's duration.
inline constexpr int AppendTimeoutFactor = 4;

/// \returns the timeout of the next append call after one that took \p CallTime.
core::Millis nextAppendTimeout(core::Duration CallTime);

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_JOBWRITER_H
