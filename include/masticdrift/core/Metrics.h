/// \file
/// Process-wide metrics, exported in the Prometheus text format.
#ifndef MASTICDRIFT_CORE_METRICS_H
#define MASTICDRIFT_CORE_METRICS_H

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace masticdrift::core {

enum class MetricType { Counter, Gauge, Histogram };

/// One row of the closed list of metrics.
struct MetricInfo {
  std::string_view Name_;
  MetricType Type_;
  std::string_view Help_;
};

/// \returns every metric that the daemon exports. A name outside this list is a programming error.
std::span<const MetricInfo> metricTable();

using Labels = std::initializer_list<std::pair<std::string, std::string>>;

/// Adds \p Amount to a counter. Thread-safe.
void count(std::string_view Name, Labels LabelValues = {}, double Amount = 1);

/// Sets a gauge. Thread-safe.
void setGauge(std::string_view Name, double Value, Labels LabelValues = {});

/// Records \p Seconds in a histogram. Thread-safe.
void observe(std::string_view Name, double Seconds, Labels LabelValues = {});

/// \returns all metrics in the Prometheus text format.
std::string renderMetrics();

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_METRICS_H
