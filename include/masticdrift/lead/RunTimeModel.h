/// \file
/// Learns from ended runs how long tasks will run.
///
/// Declared run times are estimates of the submitters. The model corrects them by what it has seen
/// and weighs them against levels that it has learned, each by the errors that it has made so far.
/// It works on logarithms, because run times of one queue differ by factors.
///
/// Example:
/// \code
///   Model.addRun({"checks", "mfi", 0}, Estimate, RunTime, "executor-7");
///   const core::Millis Expected = Model.predict({"checks", "mfi", 0}, Estimate).Mean_;
/// \endcode
#ifndef MASTICDRIFT_LEAD_RUNTIMEMODEL_H
#define MASTICDRIFT_LEAD_RUNTIMEMODEL_H

#include "masticdrift/core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::lead {

/// What a task's run time may depend on.
struct RunFeatures {
  std::string_view Queue_;
  std::string_view Customer_;
  std::uint32_t Step_ = 0;
};

/// Expected run time of a task on an executor of average speed.
struct RunTimePrediction {
  core::Millis Mean_{0};
  core::Millis Tail_{0};  ///< nine of ten runs are shorter
  double Confidence_ = 0; ///< 0 for the estimate alone, up to 1 for many runs that agree
};

/// Moving average of a logarithm and of the squared errors that it has made as a prediction.
struct LogLevel {
  double Mean_ = 0;
  double SquaredError_ = 1; ///< of predictions before each update
  std::uint32_t Samples_ = 0;
  MSGPACK_DEFINE_ARRAY(Mean_, SquaredError_, Samples_)

  bool operator==(const LogLevel &) const = default;
};

/// What is learned about one queue.
struct QueueRunTimes {
  LogLevel Correction_;                     ///< of the estimate
  LogLevel Level_;                          ///< of the run time itself
  std::map<std::uint32_t, LogLevel> Steps_; ///< by step number
  double TailFactor_ = 0;      ///< logarithm of the ratio of the tail to the prediction
  double EstimateError_ = 0;   ///< mean absolute logarithmic error of the estimate
  double PredictionError_ = 0; ///< the same of the prediction
  MSGPACK_DEFINE_ARRAY(Correction_, Level_, Steps_, TailFactor_, EstimateError_, PredictionError_)

  bool operator==(const QueueRunTimes &) const = default;
};

/// State of a model that a later leader goes on with.
struct RunTimeSummary {
  std::vector<std::pair<std::string, QueueRunTimes>> Queues_;
  /// Run times of customers relative to their queues, by queue and customer.
  std::vector<std::pair<std::string, LogLevel>> Customers_;
  MSGPACK_DEFINE_ARRAY(Queues_, Customers_)

  bool operator==(const RunTimeSummary &) const = default;
};

/// Mean absolute logarithmic errors; 0.1 stands for about 10 percent.
struct RunTimeErrors {
  std::string Queue_;
  std::uint32_t Runs_ = 0;
  double Estimate_ = 0;
  double Prediction_ = 0;
};

/// Model of run times. Holds at most some hundred entries.
class RunTimeModel {
public:
  /// Adds a run that has ended as done. Times and estimates that make no sense are ignored.
  ///
  /// \param Estimate declared run time, 0 when there is none.
  void addRun(const RunFeatures &Features, core::Millis Estimate, core::Millis RunTime,
              std::string_view ExecutorId);

  /// Predicts the run time of a task.
  ///
  /// \param StepMean mean run time of the step's ended tasks.
  /// \param StepRuns number of these, 0 for none.
  /// \returns the estimate without confidence while nothing is known.
  RunTimePrediction predict(const RunFeatures &Features, core::Millis Estimate,
                            core::Millis StepMean = core::Millis(0),
                            std::uint32_t StepRuns = 0) const;

  /// \returns the run time on an executor as a multiple of that on an average one.
  double slownessOf(std::string_view ExecutorId) const;

  void forgetExecutor(std::string_view ExecutorId);

  /// \returns what a later leader needs, in bounded size.
  RunTimeSummary summary() const;
  /// Takes over the summary of an earlier leader. It counts like a few runs of this term, so that
  /// new runs soon prevail.
  void restore(const RunTimeSummary &Summary);
  /// \returns a number that changes with each run.
  std::uint64_t version() const { return Version_; }

  /// \returns the errors made so far, by queue.
  std::vector<RunTimeErrors> errors() const;

private:
  struct LogPrediction {
    double Mean_ = 0;
    double Variance_ = 1;
    bool Known_ = false;
  };
  LogPrediction predictLog(const RunFeatures &Features, double LogEstimate, bool HasEstimate) const;
  const LogLevel *customerLevel(const RunFeatures &Features) const;

  std::map<std::string, QueueRunTimes, std::less<>> Queues_;
  std::unordered_map<std::string, LogLevel> Customers_; ///< by queue and customer
  std::unordered_map<std::string, LogLevel> Executors_; ///< slowness, by id
  std::uint64_t Version_ = 0;
};

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_RUNTIMEMODEL_H
