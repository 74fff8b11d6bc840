/// \file
/// Load balancing of interactive requests over executors, with outlier ejection and trial requests.
///
/// Example:
/// \code
///   if (auto Index = chooseExecutor(Pool, Now)) {
///     takeSlot(Pool, *Index, Now);
///     // send; later:
///     finishRequest(Pool, *Index, Now, Elapsed, /*Succeeded=*/true);
///   }
/// \endcode
#ifndef MASTICDRIFT_POLICY_EXECUTORS_H
#define MASTICDRIFT_POLICY_EXECUTORS_H

#include "masticdrift/core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::policy {

/// State of an executor as seen by the owner of its failure domain.
struct Executor {
  std::string Name_;
  std::uint32_t Outstanding_ = 0;          ///< requests in progress
  std::vector<core::TimePoint> HeldUntil_; ///< slots still occupied by timed-out requests
  std::uint32_t Connections_ = 0;          ///< open connections, see recordConnectionOpened()
  double LatencyMs_ = 0;                   ///< moving average; 0 until the first answer
  std::uint32_t ConsecutiveFailures_ = 0;
  std::uint32_t Ejections_ = 0; ///< number of consecutive ejections, for the back-off
  std::optional<core::TimePoint> EjectedUntil_;
  bool TrialInProgress_ = false;
  bool Leaving_ = false;
};

/// Limits of a pool.
struct ExecutorLimits {
  std::uint32_t Slots_ = 8;        ///< per executor
  std::uint32_t Connections_ = 16; ///< per executor; allows for stale ones of earlier owners
  std::uint32_t ConsecutiveFailures_ = 5;
  /// Minimum difference between a slow executor and the median latency; smaller differences are
  /// noise.
  double MinSlowMarginMs_ = 25;
  /// A slow executor is ejected only while at most this fraction of the pool is ejected: if all
  /// executors are slow, the cause is the load.
  double MaxEjectedFraction_ = 0.5;
  double SlowFactor_ = 3; ///< a slow executor takes more than this many medians
  /// A timeout counts as a failure only if the executor had at least this many median latencies. An
  /// executor that needs more time would be ejected as slow.
  double MinTimeFactor_ = 3;
  /// Minimum number of answers before an executor is ejected as slow; fewer do not move the average
  /// latency enough.
  std::uint32_t MinAnswers_ = 10;
  core::Duration FirstEjection_ = core::Millis(2000); ///< doubles with each failed trial
  core::Duration MaxEjection_ = core::Millis(60000);
};

/// The executors of one pool in one failure domain.
struct ExecutorPool {
  ExecutorLimits Limits_;
  std::vector<Executor> Members_;
  std::vector<std::uint32_t> AnswerCounts_; ///< per executor, since its last ejection
  double MedianLatencyMs_ = 0;              ///< updated every 64 answers
  std::uint32_t AnswersSinceMedian_ = 0;
};

/// Adds an executor, or clears the leaving state of a known one.
/// \returns its index, which stays valid for the lifetime of \p Pool.
std::size_t addExecutor(ExecutorPool &Pool, std::string_view Name);

/// Marks an executor that is leaving or has vanished; it gets no new requests.
void setLeaving(ExecutorPool &Pool, std::string_view Name);

/// Chooses the executor with the fewest slots in use, then with the lowest average latency. An
/// executor whose ejection has expired is chosen first, for one trial request.
/// \returns nothing if no slot is free.
/// Cost: linear in the number of executors of the pool.
std::optional<std::size_t> chooseExecutor(const ExecutorPool &Pool, core::TimePoint Now);

/// Returns the number of slots that chooseExecutor() can still assign.
std::uint32_t freeSlots(const ExecutorPool &Pool, core::TimePoint Now);

/// Takes a slot. On an ejected executor, the request becomes its trial request.
void takeSlot(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now);

/// Records that a connection to an executor is opened.
/// \returns false if the limit is reached; the connection must then not be opened.
bool recordConnectionOpened(ExecutorPool &Pool, std::size_t Index);
/// Records that a connection to an executor was closed. A count of 0 stays 0: the connection may
/// not have been recorded as opened, for example because the limit was reached.
void recordConnectionClosed(ExecutorPool &Pool, std::size_t Index);

/// Frees the slot of a completed request and updates latency and failure counts.
/// \param Succeeded false after an error of the transfer or of the executor. If the executor
/// refused the request because it is full or leaving, call releaseSlot() instead.
void finishRequest(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now,
                   core::Duration Elapsed, bool Succeeded);

/// Frees the slot without counting a success or a failure.
void releaseSlot(ExecutorPool &Pool, std::size_t Index);

/// Ends a request that timed out. The timeout counts as a failure. The slot stays in use until
/// \p Until (deadline plus grace period), because the executor may still work on the request.
/// \param TimeGiven time that the executor had. If it is less than ExecutorLimits::MinTimeFactor_
/// times the median latency, the timeout is not counted as a failure.
void holdSlot(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now, core::TimePoint Until,
              core::Duration TimeGiven);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_EXECUTORS_H
