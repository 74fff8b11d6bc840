/// \file
/// Run time and size estimates from past ratios of actual to declared values, per team and job
/// family.
///
/// Example:
/// \code
///   applyEstimate(History, Job, LargestWorker); // before addPending()
///   // after a task of the job has succeeded:
///   recordObservation(History, Team, Family, DeclaredRun, ActualRun, DeclaredSize, PeakUsage);
/// \endcode
#ifndef MASTICDRIFT_POLICY_LEARN_H
#define MASTICDRIFT_POLICY_LEARN_H

#include "masticdrift/policy/Queue.h"

#include <list>

namespace masticdrift::policy {

/// Sliding window of ratios of one quantity. Quantiles of a window are robust against outliers.
struct RatioWindow {
  static constexpr std::size_t Capacity = 24;
  std::array<float, Capacity> Values_{};
  std::uint32_t Count_ = 0; ///< values seen; the last Capacity of them are stored
};

/// Ratios of one job family of a team.
struct FamilyRatios {
  RatioWindow RunTime_;
  RatioWindow Cores_;
  RatioWindow Memory_;
};

/// Ratios of all families. The least recently observed family is dropped when the limit is reached.
struct RunHistory {
  std::size_t MaxFamilies_ = 4096;    ///< about 350 bytes each
  std::uint32_t MinObservations_ = 5; ///< with fewer, the declared value is used
  std::list<std::pair<std::string, FamilyRatios>> Recent_; ///< most recently observed first
  std::unordered_map<std::string, std::list<std::pair<std::string, FamilyRatios>>::iterator> ByKey_;
};

/// Expected run time and resources of a task.
struct Estimate {
  Duration RunTime_{};
  Resources Size_;
  bool FromHistory_ = false; ///< false if all values are the declared ones
};

/// Records a successful task. Tasks that failed, were stopped or were throttled must not be
/// recorded.
/// \param Peak peak usage as reported by the worker; amounts of zero are ignored.
void recordObservation(RunHistory &History, std::string_view Team, std::string_view Family,
                       Duration DeclaredRun, Duration ActualRun, const Resources &DeclaredSize,
                       const Resources &Peak);

/// Estimates run time and size of a task.
/// \returns the run time at the 80% quantile of the ratios, and the size at the highest ratio plus
/// a tenth, limited to between a tenth of the declared size and four times that size. Accelerators
/// are as declared.
Estimate estimate(const RunHistory &History, std::string_view Team, std::string_view Family,
                  Duration DeclaredRun, const Resources &DeclaredSize);

/// Replaces the declared size and run time of a pending job by their estimates.
/// \param Largest capacity of the largest worker; the size is not raised above it.
void applyEstimate(const RunHistory &History, PendingJob &Job, const Resources &Largest);

/// Returns the quantile of a window at \p Fraction, or 1 if the window is empty.
double quantile(const RatioWindow &Window, double Fraction);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_LEARN_H
