#include "masticdrift/core/Metrics.h"

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <stdexcept>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace masticdrift::core {

namespace {

using enum MetricType;

constexpr std::array Table{
    MetricInfo{"masticdrift_requests_total", Counter, "Interactive requests by outcome and kind"},
    MetricInfo{"masticdrift_request_seconds", Histogram, "Time from receipt to answer"},
    MetricInfo{"masticdrift_forwards_total", Counter, "Requests forwarded to an owner"},
    MetricInfo{"masticdrift_retries_total", Counter, "Sends after the first of a request"},
    MetricInfo{"masticdrift_slots_in_use", Gauge, "Executor slots taken in the owned domain"},
    MetricInfo{"masticdrift_queue_length", Gauge, "Interactive requests waiting at this owner"},
    MetricInfo{"masticdrift_owner", Gauge, "1 while this daemon holds its domain's lease"},
    MetricInfo{"masticdrift_lease_seconds", Gauge, "Seconds until the held lease ends"},
    MetricInfo{"masticdrift_takeovers_total", Counter, "Claims won by this daemon"},
    MetricInfo{"masticdrift_appends_total", Counter, "Appends to the log by stream and result"},
    MetricInfo{"masticdrift_records_total", Counter, "Records appended by stream"},
    MetricInfo{"masticdrift_store_age_seconds", Gauge, "Time since the last complete config read"},
    MetricInfo{"masticdrift_config_version", Gauge, "Configuration version in force"},
    MetricInfo{"masticdrift_config_bytes_total", Counter,
               "Bytes of configurations by where they were read from"},
    MetricInfo{"masticdrift_config_source_lost_total", Counter,
               "Times that the daemon from which the configuration is read was out of date"},
    MetricInfo{"masticdrift_config_fresh", Gauge, "1 while the configuration counts as current"},
    MetricInfo{"masticdrift_peer_bytes_total", Counter, "Bytes between daemons by direction"},
    MetricInfo{"masticdrift_peer_reconnects_total", Counter, "Peer connections made again"},
    MetricInfo{"masticdrift_control_bytes_total", Counter, "Control bytes by link"},
    MetricInfo{"masticdrift_jobs", Gauge, "Durable jobs of the domain by state"},
    MetricInfo{"masticdrift_task_starts_total", Counter, "Task starts sent to workers"},
    MetricInfo{"masticdrift_submissions_total", Counter, "Submissions by outcome"},
    MetricInfo{"masticdrift_connections_closed_total", Counter,
               "Connections closed to keep to a server's limits, by reason"},
    MetricInfo{"masticdrift_admission_refusals_total", Counter,
               "Jobs that the leader did not accept, by reason"},
    MetricInfo{"masticdrift_run_time_error", Gauge,
               "Mean absolute logarithmic error of run times, by queue and source"},
    MetricInfo{"masticdrift_looks_total", Counter, "Looks at jobs by the source of the state"},
    MetricInfo{"masticdrift_submission_seconds", Histogram, "Time from receipt to answer"},
    MetricInfo{"masticdrift_run_ends_total", Counter, "Ended runs taken in, by kind"},
    MetricInfo{"masticdrift_advice_seconds", Histogram, "Time of one call for advice"},
    MetricInfo{"masticdrift_store_seconds", Histogram, "Time of one store call, by call"},
    MetricInfo{"masticdrift_store_failures_total", Counter, "Store calls without a usable answer"},
    MetricInfo{
        "masticdrift_topic_bytes_total", Counter,
        "Bytes read from a topic of the log service, by topic and whether the read was given up"},
    MetricInfo{"masticdrift_leader", Gauge, "1 while this daemon leads"},
    MetricInfo{"masticdrift_hand_overs_total", Counter, "Hand-overs that this leader has begun"},
    MetricInfo{"masticdrift_takeover_seconds", Histogram,
               "Time from a claim that was won until this daemon leads"},
    MetricInfo{"masticdrift_waiting_tasks", Gauge, "Tasks that could start, at the leader"},
    MetricInfo{"masticdrift_waiting_tasks_by_reason", Gauge,
               "Waiting tasks by the reason for which none of their step was started or asked for"},
    MetricInfo{"masticdrift_work_bytes", Gauge,
               "Memory that the known jobs take in a leader, at the leader"},
    MetricInfo{"masticdrift_work_limit_bytes", Gauge,
               "Memory that they may take on the smallest machine"},
    MetricInfo{"masticdrift_running_tasks", Gauge, "Runs at executors, at the leader"},
    MetricInfo{"masticdrift_silent_executors", Gauge, "Executors that don't answer"},
    MetricInfo{"masticdrift_evacuated", Gauge,
               "1 while the leader starts nothing in a failure domain, by domain"},
    MetricInfo{"masticdrift_evacuated_domain_runs", Gauge,
               "Runs left in an evacuated failure domain, by domain"},
    MetricInfo{"masticdrift_operator_requests_total", Counter,
               "Operators' records other than configurations that were read, by outcome"},
    MetricInfo{"masticdrift_executors_over_capacity", Gauge,
               "Executors whose runs need more than their capacity"},
    MetricInfo{"masticdrift_unaccounted_runs", Gauge,
               "Runs of earlier terms that were reported too late to rule out a second start"},
    MetricInfo{"masticdrift_reappeared_runs", Gauge,
               "Runs of this term that were reported after they had been taken for over"},
    MetricInfo{"masticdrift_advice_calls_outstanding", Gauge,
               "Calls to the advice service without an answer"},
    MetricInfo{"masticdrift_advice_verdicts", Gauge,
               "Executors that the advice service has allowed, this term"},
    MetricInfo{"masticdrift_advised_starts", Gauge, "Starts with such a verdict, this term"},
    MetricInfo{"masticdrift_relay_bytes_total", Counter,
               "Bytes of the batches of orders that were sent to relays"},
    MetricInfo{"masticdrift_relayed_orders_lost_total", Counter,
               "Orders through other daemons without a result"},
    MetricInfo{"masticdrift_relayed_results_unmatched_total", Counter,
               "Results of relayed orders that were lost before or that this process did not send"},
    MetricInfo{"masticdrift_missed_jobs_total", Counter,
               "Stored jobs that the leader's check found missing, by kind"},
    MetricInfo{"masticdrift_executor_crashes_total", Counter,
               "Crashes of executors by the number of suspect tasks"},
    MetricInfo{"masticdrift_failed_jobs_total", Counter, "Jobs that ended as failed, by reason"},
    MetricInfo{"masticdrift_executor_entries_rejected_total", Counter,
               "Entries of the executor list that name no executor to use, by the rejected part"},
    MetricInfo{"masticdrift_log_lines_dropped", Gauge, "Log lines dropped by a slow reader"},
    MetricInfo{"masticdrift_decision_seconds", Histogram,
               "Time of one scheduling round, on the users' platform without placement"},
    MetricInfo{"masticdrift_placement_seconds", Histogram,
               "Time of one pass that places waiting tasks"},
    MetricInfo{"masticdrift_loop_lag_seconds", Histogram,
               "Delay of a timer of the event loop, ten times a second"},
    MetricInfo{"masticdrift_order_wait_seconds", Histogram,
               "Time that the oldest order of a batch waited for it to be sent to a relay"},
    MetricInfo{"masticdrift_results_seconds", Histogram,
               "Time that the leader took to handle one batch of results from a relay"},
};

// Roughly exponential, from 0.1 ms to 6.5 s.
const prometheus::Histogram::BucketBoundaries BucketBoundsSeconds{
    0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 6.5};

const MetricInfo &infoOf(std::string_view Name) {
  const auto *Found = std::ranges::find(Table, Name, &MetricInfo::Name_);
  if (Found == Table.end())
    throw std::logic_error("metric " + std::string(Name) + " is not in the table");
  return *Found;
}

/// Registers metric families on first use and finds them by name.
class Families {
public:
  template <typename Builder> auto &family(std::string_view Name, Builder MakeBuilder) {
    const std::lock_guard Lock(Mutex_);
    auto &RegisteredFamily = ByName_[std::string(Name)];
    if (RegisteredFamily == nullptr)
      RegisteredFamily = &MakeBuilder()
                              .Name(std::string(Name))
                              .Help(std::string(infoOf(Name).Help_))
                              .Register(Registry_);
    using Family = std::remove_reference_t<decltype(MakeBuilder().Register(Registry_))>;
    return *static_cast<Family *>(RegisteredFamily);
  }
  std::string render() const { return prometheus::TextSerializer().Serialize(Registry_.Collect()); }

private:
  std::mutex Mutex_;
  prometheus::Registry Registry_;
  std::map<std::string, void *, std::less<>> ByName_;
};

Families &families() {
  static Families Instance;
  return Instance;
}

std::map<std::string, std::string> toMap(Labels LabelValues) {
  return {LabelValues.begin(), LabelValues.end()};
}

} // namespace

std::span<const MetricInfo> metricTable() { return Table; }

void count(std::string_view Name, Labels LabelValues, double Amount) {
  families()
      .family(Name, [] { return prometheus::BuildCounter(); })
      .Add(toMap(LabelValues))
      .Increment(Amount);
}

void setGauge(std::string_view Name, double Value, Labels LabelValues) {
  families()
      .family(Name, [] { return prometheus::BuildGauge(); })
      .Add(toMap(LabelValues))
      .Set(Value);
}

void observe(std::string_view Name, double Seconds, Labels LabelValues) {
  families()
      .family(Name, [] { return prometheus::BuildHistogram(); })
      .Add(toMap(LabelValues), BucketBoundsSeconds)
      .Observe(Seconds);
}

std::string renderMetrics() { return families().render(); }

} // namespace masticdrift::core
