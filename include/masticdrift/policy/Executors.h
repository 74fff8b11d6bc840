/// \file
/// Choice of an executor for one interactive request, ejection and trial requests.
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

/// One executor as seen by the owner of its failure domain.
struct Executor {
  std::string Name_;
  std::uint32_t Outstanding_ = 0;          ///< requests in progress
  std::vector<core::TimePoint> HeldUntil_; ///< slots of requests that timed out
  std::uint32_t Connections_ = 0;          ///< open connections, kept by the caller
  double LatencyMs_ = 0;                   ///< smoothed; 0 until the first answer
  std::uint32_t ConsecutiveFailures_ = 0;
  std::uint32_t Ejections_ = 0; ///< in a row, for the back-off
  std::optional<core::TimePoint> EjectedUntil_;
  bool TrialInProgress_ = false; ///< a trial request is in progress
  bool Leaving_ = false;
};

/// Bounds of the pool.
struct ExecutorLimits {
  std::uint32_t Slots_ = 8;        ///< per executor
  std::uint32_t Connections_ = 16; ///< per executor; leaves room for stale ones of earlier owners
  std::uint32_t ConsecutiveFailures_ = 5;
  /// A slow executor is also slower than the median by this; below it, times differ by chance.
  double MinSlowMarginMs_ = 25;
  /// Slow executors are ejected up to this part of the pool: when all are slow, the load is the
  /// cause.
  double MaxEjectedFraction_ = 0.5;
  double SlowFactor_ = 3; ///< times the median latency
  /// An executor that had less time than this many medians is not blamed for a time-out; a slower
  /// one would be ejected as slow.
  double MinTimeFactor_ = 3;
  /// Fewer answers than this do not move the smoothed latency enough to eject an executor.
  std::uint32_t MinAnswers_ = 10;
  core::Duration FirstEjection_ = core::Millis(2000); ///< doubles with each failed trial
  core::Duration MaxEjection_ = core::Millis(60000);
};

/// All executors of one pool in one failure domain.
struct ExecutorPool {
  ExecutorLimits Limits_;
  std::vector<Executor> Members_;
  std::vector<std::uint32_t> AnswerCounts_; ///< per executor since the last ejection
  double MedianLatencyMs_ = 0;              ///< refreshed every 64 answers
  std::uint32_t AnswersSinceMedian_ = 0;
};

/// Adds an executor, or marks a known one as present and not leaving.
/// \returns its index, which stays valid for the life of \p Pool.
std::size_t addExecutor(ExecutorPool &Pool, std::string_view Name);

/// Gives a leaving or vanished executor no new requests.
void setLeaving(ExecutorPool &Pool, std::string_view Name);

/// \returns the executor with the fewest outstanding requests, then the lowest smoothed latency, or
/// nothing when no slot is free. An ejected executor whose time is over is chosen first, for one
/// trial request. Cost: linear in the number of executors of the pool.
std::optional<std::size_t> chooseExecutor(const ExecutorPool &Pool, core::TimePoint Now);

/// \returns the slots that chooseExecutor could still hand out.
std::uint32_t freeSlots(const ExecutorPool &Pool, core::TimePoint Now);

/// Takes one slot; marks the request as the trial request of an ejected executor.
void takeSlot(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now);

/// \returns true when one more connection may be opened; counts it.
bool openConnection(ExecutorPool &Pool, std::size_t Index);
void closeConnection(ExecutorPool &Pool, std::size_t Index);

/// Frees the slot and learns from the answer. A failure is an error of the transfer or of the
/// executor, not a refusal because it was full or leaving (use releaseSlot).
void finishRequest(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now,
                   core::Duration Elapsed, bool Succeeded);

/// Frees the slot without a verdict.
void releaseSlot(ExecutorPool &Pool, std::size_t Index);

/// Ends a request that timed out: counts as a failure, and the slot stays taken until \p Until
/// (deadline plus grace period), because the executor may still be working.
/// \param Given time that the executor had; less than \c MinTimeFactor_ times the pool's median
/// says nothing about it.
void holdSlot(ExecutorPool &Pool, std::size_t Index, core::TimePoint Now, core::TimePoint Until,
              core::Duration TimeGiven);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_EXECUTORS_H
