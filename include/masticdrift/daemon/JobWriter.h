/// \file
/// Group commit of accepted and cancelled jobs.
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

/// How an append on behalf of a caller ended.
enum class WriteOutcome {
  Stored,
  Refused, ///< nothing was done and nothing will be
  Unknown, ///< may be stored now or later
};

/// Appends records of callers, several in one call, one call at a time.
///
/// Records are repeated after an unanswered call; that is safe because each stands for itself under
/// its key. A record that was once in an unanswered call is never reported as refused.
class JobWriter {
public:
  using Callback = std::function<void(WriteOutcome)>;

  /// \param Applied gets each stored record before its callback runs.
  JobWriter(platform::Store &Store, std::string Topic,
            std::function<void(std::uint64_t Offset, const work::LogRecord &)> Applied);

  /// Appends \p Entries together; \p Done runs once, by \p Deadline at the latest (see expire).
  void write(std::vector<work::LogRecord> Entries, core::TimePoint Deadline, Callback Done);

  /// The record with this key was read back from the log, so what ends with it is stored.
  void seen(std::string_view Key);

  /// Ends the waiting of records whose deadline has passed. To be called every 50 ms or so.
  void expire(core::TimePoint Now);

  bool idle() const { return Waiting_.empty() && Sent_.empty(); }

private:
  struct Item {
    std::vector<work::LogRecord> Entries_;
    core::TimePoint Deadline_;
    Callback Done_;
    bool Uncertain_ = false; ///< was in an unanswered call
  };
  void flush();
  void onAppended(const platform::AppendResult &Result, core::TimePoint SentAt);
  void logFailure(const std::vector<Item> &Batch, const platform::AppendResult &Result,
                  core::TimePoint SentAt) const;

  platform::Store &Store_;
  const std::string Topic_;
  const std::function<void(std::uint64_t, const work::LogRecord &)> Applied_;
  std::deque<Item> Waiting_;
  std::vector<Item> Sent_;
  bool Outstanding_ = false;
  std::uint64_t Call_ = 0; ///< number of the call that is waited for
  core::Millis Timeout_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

/// Limit of an append call while the service answers quickly, at least.
inline constexpr core::Millis LeastAppendTimeout{500};
/// Limit otherwise. A store a hundred times slower than usual takes 0.4 s for the answer and 0.3 s
/// for each append before it; a repeat only adds to that queue.
inline constexpr core::Millis MostAppendTimeout{2000};
/// Limit in multiples of the last call's time.
inline constexpr int AppendTimeoutFactor = 4;

/// \returns the limit of the next append after one that took \p Took.
core::Millis nextAppendTimeout(core::Duration Took);

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_JOBWRITER_H
