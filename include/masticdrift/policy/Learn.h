/// \file
/// Ratios of real to declared run time and size, per team and job family.
///
/// Example:
/// \code
///   applyEstimate(Learned, Job);              // before addPending
///   observe(Learned, Job, ActualRun, PeakUse);  // after the task ended
/// \endcode
#ifndef MASTICDRIFT_POLICY_LEARN_H
#define MASTICDRIFT_POLICY_LEARN_H

#include "masticdrift/policy/Queue.h"

#include <list>

namespace masticdrift::policy {

/// The last ratios of one quantity. Quantiles of a window are not moved by a few outliers.
struct RatioWindow {
  static constexpr std::size_t Capacity = 24;
  std::array<float, Capacity> Values_{};
  std::uint32_t Count_ = 0; ///< values seen; the window holds the last Kept of them
};

/// What is known of one family of a team.
struct FamilyRatios {
  RatioWindow RunTime_;
  RatioWindow Cores_;
  RatioWindow Memory_;
};

/// Learned ratios of all families, bounded by forgetting the family that was used longest ago.
struct RunHistory {
  std::size_t MaxFamilies_ = 4096;    ///< about 350 bytes each
  std::uint32_t MinObservations_ = 5; ///< with fewer observations the declared values are used
  std::list<std::pair<std::string, FamilyRatios>> Recent_; ///< most recently used first
  std::unordered_map<std::string, std::list<std::pair<std::string, FamilyRatios>>::iterator> ByKey_;
};

/// What a task is expected to need.
struct Estimate {
  Duration RunTime_{};
  Resources Size_;
  bool FromHistory_ = false;
};

/// Records one finished task. Tasks that failed, were stopped or throttled must not be recorded.
/// \param Peak highest usage seen, as reported by the worker; empty amounts are ignored.
void recordObservation(RunHistory &History, std::string_view Team, std::string_view Family,
                       Duration DeclaredRun, Duration ActualRun, const Resources &DeclaredSize,
                       const Resources &Peak);

/// \returns the expected run time (80% of the seen ratios are at most this) and the size to reserve
/// (the highest seen ratio plus a tenth, never below a tenth of the declared size nor above four
/// times of it). Accelerators are always reserved as declared.
Estimate estimate(const RunHistory &History, std::string_view Team, std::string_view Family,
                  Duration DeclaredRun, const Resources &DeclaredSize);

/// Replaces the declared size and run time of a pending job by the estimate.
/// \param Largest amounts of the largest worker; the size is not raised above them.
void applyEstimate(const RunHistory &History, PendingJob &Job, const Resources &Largest);

/// \returns the value below which \p Part of the window lies, or 1 when it is empty.
double quantile(const RatioWindow &Window, double Fraction);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_LEARN_H
