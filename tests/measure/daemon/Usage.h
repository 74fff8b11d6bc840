/// \file
/// Resource usage of a process, from /proc.
#ifndef MASTICDRIFT_MEASURE_DAEMON_USAGE_H
#define MASTICDRIFT_MEASURE_DAEMON_USAGE_H

#include <map>
#include <string>
#include <string_view>

#include <sys/types.h>

namespace masticdrift::measure {

/// CPU time and memory of a process.
struct Usage {
  double CpuSeconds_ = 0; ///< user and system time
  double ResidentMb_ = 0;
};

/// \returns the usage of a process so far.
Usage usageOf(pid_t Process);

/// \returns the sum over all label values of a metric in the Prometheus text format.
double metricSum(std::string_view Text, std::string_view Name);

} // namespace masticdrift::measure

#endif // MASTICDRIFT_MEASURE_DAEMON_USAGE_H
