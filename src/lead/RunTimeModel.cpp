#include "masticdrift/lead/RunTimeModel.h"

#include <algorithm>
#include <cmath>

namespace masticdrift::lead {

namespace {

/// Smallest weight of a new sample: a change of the work prevails after some 20 runs.
constexpr double MinSampleWeight = 0.05;
/// Errors count up to a factor of e, so that a few tasks that take many times as long as the others
/// don't move the level.
constexpr double MaxLogError = 1;
/// Variance of what no level can tell (about 10 percent); keeps weights finite.
constexpr double MinVariance = 0.01;
/// Runs from which on a level counts as a prediction.
constexpr std::uint32_t MinSamples = 4;
/// Tail that is aimed at.
constexpr double TailQuantile = 0.9;
/// Step of the tail's logarithm for each run.
constexpr double TailStep = 0.05;
/// Runs of an executor that weigh as much as the assumption that it has average speed.
constexpr double ExecutorPriorRuns = 4;
/// Confidence reaches one half at this number of runs with small errors.
constexpr double HalfConfidenceRuns = 8;
/// Longest run time that is learned from.
constexpr core::Millis MaxRunTime{3'600'000};
constexpr std::size_t MaxQueues = 64;
constexpr std::size_t MaxSteps = 8; ///< for each queue
constexpr std::size_t MaxCustomers = 256;
constexpr std::size_t MaxExecutors = 4096;
/// Entries that go to later leaders (some kilobytes).
constexpr std::size_t MaxSummaryQueues = 32;
constexpr std::size_t MaxSummaryCustomers = 64;
/// A level of an earlier leader counts as so many runs at most.
constexpr std::uint32_t MaxInheritedSamples = 20;

bool isUsable(core::Millis Time) { return Time.count() > 0 && Time <= MaxRunTime; }

double logOf(core::Millis Time) { return std::log(static_cast<double>(Time.count())); }

core::Millis fromLog(double Value) {
  const double Limit = std::log(static_cast<double>(MaxRunTime.count()));
  return core::Millis(std::llround(std::exp(std::min(Value, Limit))));
}

double weightOf(std::uint32_t Samples) {
  return std::max(MinSampleWeight, 1.0 / static_cast<double>(Samples));
}

void addSample(LogLevel &Level, double Value) {
  const double Error =
      Level.Samples_ == 0 ? 0 : std::clamp(Value - Level.Mean_, -MaxLogError, MaxLogError);
  if (Level.Samples_ == 0)
    Level.Mean_ = Value;
  const double Weight = weightOf(++Level.Samples_);
  Level.Mean_ += Weight * Error;
  if (Level.Samples_ > 1)
    Level.SquaredError_ += weightOf(Level.Samples_ - 1) * (Error * Error - Level.SquaredError_);
}

/// Weighted by the inverse of the variances.
void combine(double &Mean, double &Variance, bool &Known, double OtherMean, double OtherVariance) {
  const double Precision = 1 / std::max(OtherVariance, MinVariance);
  if (!Known) {
    Mean = OtherMean;
    Variance = 1 / Precision;
    Known = true;
    return;
  }
  const double Sum = 1 / Variance + Precision;
  Mean = (Mean / Variance + OtherMean * Precision) / Sum;
  Variance = 1 / Sum;
}

std::string customerKey(const RunFeatures &Features) {
  return std::string(Features.Queue_) + '\n' + std::string(Features.Customer_);
}

} // namespace

const LogLevel *RunTimeModel::customerLevel(const RunFeatures &Features) const {
  const auto Found = Customers_.find(customerKey(Features));
  return Found == Customers_.end() || Found->second.Samples_ < MinSamples ? nullptr
                                                                          : &Found->second;
}

RunTimeModel::LogPrediction RunTimeModel::predictLog(const RunFeatures &Features,
                                                     double LogEstimate, bool HasEstimate) const {
  LogPrediction Result;
  const auto Found = Queues_.find(Features.Queue_);
  if (Found == Queues_.end()) {
    Result.Mean_ = LogEstimate;
    return Result;
  }
  const QueueRunTimes &Queue = Found->second;
  if (HasEstimate && Queue.Correction_.Samples_ >= MinSamples)
    combine(Result.Mean_, Result.Variance_, Result.Known_, LogEstimate + Queue.Correction_.Mean_,
            Queue.Correction_.SquaredError_);
  const auto Step = Queue.Steps_.find(Features.Step_);
  const LogLevel &Level = Step != Queue.Steps_.end() && Step->second.Samples_ >= MinSamples
                              ? Step->second
                              : Queue.Level_;
  if (Level.Samples_ >= MinSamples) {
    const LogLevel *Customer = customerLevel(Features);
    const double Offset = Customer == nullptr ? 0 : Customer->Mean_;
    const double Variance = Customer == nullptr
                                ? Level.SquaredError_
                                : std::min(Level.SquaredError_, Customer->SquaredError_);
    combine(Result.Mean_, Result.Variance_, Result.Known_, Level.Mean_ + Offset, Variance);
  }
  if (!Result.Known_)
    Result.Mean_ = LogEstimate;
  return Result;
}

void RunTimeModel::addRun(const RunFeatures &Features, core::Millis Estimate, core::Millis RunTime,
                          std::string_view ExecutorId) {
  if (!isUsable(RunTime))
    return;
  auto Found = Queues_.find(Features.Queue_);
  if (Found == Queues_.end()) {
    if (Queues_.size() >= MaxQueues)
      return;
    Found = Queues_.emplace(std::string(Features.Queue_), QueueRunTimes{}).first;
  }
  ++Version_;
  QueueRunTimes &Queue = Found->second;
  const bool HasEstimate = isUsable(Estimate);
  const double LogEstimate = HasEstimate ? logOf(Estimate) : 0;
  // What the executor's speed accounts for is not learned about the work.
  const double LogTime = logOf(RunTime) - std::log(slownessOf(ExecutorId));
  const LogPrediction Before = predictLog(Features, LogEstimate, HasEstimate);
  if (Before.Known_) {
    const double Error = logOf(RunTime) - Before.Mean_;
    const double Weight = weightOf(Queue.Level_.Samples_ + 1);
    Queue.PredictionError_ += Weight * (std::abs(Error) - Queue.PredictionError_);
    if (HasEstimate)
      Queue.EstimateError_ +=
          Weight * (std::abs(logOf(RunTime) - LogEstimate) - Queue.EstimateError_);
    Queue.TailFactor_ =
        std::max(0.0, Queue.TailFactor_ +
                          TailStep * (Error > Queue.TailFactor_ ? TailQuantile : TailQuantile - 1));
    if (Executors_.size() < MaxExecutors || Executors_.contains(std::string(ExecutorId)))
      addSample(Executors_[std::string(ExecutorId)], Error);
  }
  if (HasEstimate)
    addSample(Queue.Correction_, LogTime - LogEstimate);
  const double LevelBefore = Queue.Level_.Mean_;
  const bool HadLevel = Queue.Level_.Samples_ >= MinSamples;
  addSample(Queue.Level_, LogTime);
  if (Queue.Steps_.size() < MaxSteps || Queue.Steps_.contains(Features.Step_))
    addSample(Queue.Steps_[Features.Step_], LogTime);
  if (HadLevel && (Customers_.size() < MaxCustomers || Customers_.contains(customerKey(Features))))
    addSample(Customers_[customerKey(Features)], LogTime - LevelBefore);
}

RunTimePrediction RunTimeModel::predict(const RunFeatures &Features, core::Millis Estimate,
                                        core::Millis StepMean, std::uint32_t StepRuns) const {
  const bool HasEstimate = isUsable(Estimate);
  const LogPrediction Class = predictLog(Features, HasEstimate ? logOf(Estimate) : 0, HasEstimate);
  const auto Found = Queues_.find(Features.Queue_);
  const double Tail = Found == Queues_.end() ? 0 : Found->second.TailFactor_;
  double Mean = Class.Mean_;
  double Variance = Class.Variance_;
  bool Known = Class.Known_ || HasEstimate;
  if (StepRuns > 0 && isUsable(StepMean))
    // Runs of one step differ about as much as the predictions err.
    combine(Mean, Variance, Known, logOf(StepMean), Class.Variance_ / StepRuns);
  if (!Known)
    return {std::max(Estimate, core::Millis(0)), std::max(Estimate, core::Millis(0)), 0};
  const double Samples =
      StepRuns + (Class.Known_ && Found != Queues_.end() ? Found->second.Level_.Samples_ : 0);
  return {fromLog(Mean), fromLog(Mean + Tail),
          Samples / (Samples + HalfConfidenceRuns) / (1 + Variance)};
}

double RunTimeModel::slownessOf(std::string_view ExecutorId) const {
  const auto Found = Executors_.find(std::string(ExecutorId));
  if (Found == Executors_.end())
    return 1;
  const double Runs = Found->second.Samples_;
  return std::exp(Found->second.Mean_ * Runs / (Runs + ExecutorPriorRuns));
}

void RunTimeModel::forgetExecutor(std::string_view ExecutorId) {
  Executors_.erase(std::string(ExecutorId));
}

RunTimeSummary RunTimeModel::summary() const {
  RunTimeSummary Result;
  for (const auto &[Name, Queue] : Queues_)
    if (Result.Queues_.size() < MaxSummaryQueues)
      Result.Queues_.emplace_back(Name, Queue);
  for (const auto &[Key, Level] : Customers_)
    if (Level.Samples_ >= MinSamples)
      Result.Customers_.emplace_back(Key, Level);
  std::ranges::sort(Result.Customers_, [](const auto &Left, const auto &Right) {
    return std::pair(Right.second.Samples_, Left.first) <
           std::pair(Left.second.Samples_, Right.first);
  });
  if (Result.Customers_.size() > MaxSummaryCustomers)
    Result.Customers_.resize(MaxSummaryCustomers);
  return Result;
}

void RunTimeModel::restore(const RunTimeSummary &Summary) {
  const auto Inherit = [](LogLevel Level) {
    const bool Valid = std::isfinite(Level.Mean_) && std::isfinite(Level.SquaredError_) &&
                       Level.SquaredError_ >= 0;
    Level.Samples_ = std::min(Level.Samples_, MaxInheritedSamples);
    return Valid ? Level : LogLevel{};
  };
  for (const auto &[Name, Saved] : Summary.Queues_) {
    if (Queues_.size() >= MaxQueues || Queues_.contains(Name))
      continue;
    QueueRunTimes &Queue = Queues_[Name];
    Queue.Correction_ = Inherit(Saved.Correction_);
    Queue.Level_ = Inherit(Saved.Level_);
    for (const auto &[Step, Level] : Saved.Steps_)
      if (Queue.Steps_.size() < MaxSteps)
        Queue.Steps_[Step] = Inherit(Level);
    const auto Finite = [](double Value) {
      return std::isfinite(Value) ? std::max(Value, 0.0) : 0.0;
    };
    Queue.TailFactor_ = Finite(Saved.TailFactor_);
    Queue.EstimateError_ = Finite(Saved.EstimateError_);
    Queue.PredictionError_ = Finite(Saved.PredictionError_);
  }
  for (const auto &[Key, Level] : Summary.Customers_)
    if (Customers_.size() < MaxCustomers)
      Customers_.try_emplace(Key, Inherit(Level));
}

std::vector<RunTimeErrors> RunTimeModel::errors() const {
  std::vector<RunTimeErrors> Result;
  for (const auto &[Name, Queue] : Queues_)
    Result.push_back({Name, Queue.Level_.Samples_, Queue.EstimateError_, Queue.PredictionError_});
  return Result;
}

} // namespace masticdrift::lead
