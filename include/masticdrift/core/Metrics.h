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

/// Name, type and help text of one exported metric.
struct MetricInfo {
  std::string_view Name_;
  MetricType Type_;
  std::string_view Help_;
};

/// \returns all metrics that the daemon exports. The functions below throw std::logic_error for a
/// name that is not in this table.
std::span<const MetricInfo> metricTable();

using Labels = std::initializer_list<std::pair<std::string, std::string>>;

/// Adds \p Amount to the counter \p Name. Thread-safe.
void count(std::string_view Name, Labels LabelValues = {}, double Amount = 1);

/// Sets the gauge \p Name to \p Value. Thread-safe.
void setGauge(std::string_view Name, double Value, Labels LabelValues = {});

/// Records \p Seconds in the histogram \p Name. Thread-safe.
void observe(std::string_view Name, double Seconds, Labels LabelValues = {});

/// \returns all metrics in the Prometheus text format.
std::string renderMetrics();

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_METRICS_H
