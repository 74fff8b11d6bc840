// What is learned about run times, under loads whose declared times are wrong in different ways.
#include "masticdrift/lead/RunTimeModel.h"
#include "masticdrift/core/Pack.h"

#include <cmath>
#include <limits>
#include <random>
#include <string>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using lead::RunFeatures;
using lead::RunTimeModel;

namespace {

constexpr RunFeatures Checks{"checks", "mfi", 0};

/// Draws run times and declared times of a load.
class Load {
public:
  /// \param Spread,EstimateError standard deviations of the logarithms of the run time and of the
  /// declared one relative to it.
  Load(double MeanMs, double Spread, double EstimateError)
      : MeanMs_(MeanMs), Spread_(Spread), EstimateError_(EstimateError) {}

  /// \returns the declared and the actual time of a task.
  std::pair<Millis, Millis> next() {
    std::normal_distribution<> Normal;
    const double Time = MeanMs_ * std::exp(Spread_ * Normal(Random_));
    const double Declared = Time * std::exp(EstimateError_ * Normal(Random_));
    return {Millis(std::llround(Declared)), Millis(std::llround(Time))};
  }

private:
  std::mt19937 Random_{7};
  double MeanMs_;
  double Spread_;
  double EstimateError_;
};

double logError(Millis Predicted, Millis Actual) {
  return std::abs(
      std::log(static_cast<double>(Predicted.count()) / static_cast<double>(Actual.count())));
}

/// \returns the mean errors of estimate and prediction over \p Runs further runs.
std::pair<double, double> meanErrors(RunTimeModel &Model, Load &Work, int Runs,
                                     const RunFeatures &Features = Checks) {
  double OfEstimate = 0;
  double OfPrediction = 0;
  for (int I = 0; I < Runs; ++I) {
    const auto [Declared, Actual] = Work.next();
    OfEstimate += logError(Declared, Actual) / Runs;
    OfPrediction += logError(Model.predict(Features, Declared).Mean_, Actual) / Runs;
    Model.addRun(Features, Declared, Actual, "e" + std::to_string(I % 10));
  }
  return {OfEstimate, OfPrediction};
}

} // namespace

// --- Estimates of different worth ---

// Load: estimates are off by a factor of about two and a half, run times vary by a third. Guards
// against a model that goes on trusting such estimates.
Test(RunTimeModel, badEstimatesGiveWayToLearnedLevels) {
  RunTimeModel Model;
  Load Work(700, 0.3, 0.9);
  meanErrors(Model, Work, 100);
  const auto [OfEstimate, OfPrediction] = meanErrors(Model, Work, 300);
  cr_expect_lt(OfPrediction, 0.6 * OfEstimate, "%f, estimate %f", OfPrediction, OfEstimate);
}

// Load: run times vary by a factor of two, and the estimates tell by how much. Guards against a
// model that replaces good estimates by a mean.
Test(RunTimeModel, goodEstimatesAreKept) {
  RunTimeModel Model;
  Load Work(3800, 0.6, 0.1);
  meanErrors(Model, Work, 100);
  const auto [OfEstimate, OfPrediction] = meanErrors(Model, Work, 300);
  cr_expect_lt(OfPrediction, 1.1 * OfEstimate, "%f, estimate %f", OfPrediction, OfEstimate);
}

// Load: all estimates are half of the run time. Guards against a bias that is not corrected.
Test(RunTimeModel, aBiasOfTheEstimatesIsCorrected) {
  RunTimeModel Model;
  for (int I = 0; I < 30; ++I)
    Model.addRun(Checks, Millis(500 + 10 * I), Millis(1000 + 20 * I), "e1");
  const Millis Predicted = Model.predict(Checks, Millis(600)).Mean_;
  cr_expect_lt(logError(Predicted, Millis(1200)), 0.15, "%ld ms", Predicted.count());
}

// --- Uneven work and changes ---

// Load: three of a hundred tasks take seven times as long. Guards against a mean that such tasks
// move, and against a tail that does not know them.
Test(RunTimeModel, fewLongTasksDoNotMoveTheMean) {
  RunTimeModel Model;
  std::mt19937 Random(3);
  std::normal_distribution<> Normal;
  for (int I = 0; I < 1000; ++I) {
    const double Factor = (I % 100 < 3 ? 7 : 1) * std::exp(0.2 * Normal(Random));
    Model.addRun(Checks, Millis(0), Millis(std::llround(680 * Factor)), "e1");
  }
  const lead::RunTimePrediction Predicted = Model.predict(Checks, Millis(0));
  cr_expect_lt(logError(Predicted.Mean_, Millis(680)), 0.2, "%ld ms", Predicted.Mean_.count());
  cr_expect_gt(Predicted.Tail_.count(), Predicted.Mean_.count() * 11 / 10);
}

// Load: tasks become five times as long from one moment on. Guards against a level that stays for
// minutes at what was learned before.
Test(RunTimeModel, aChangeOfTheWorkIsFollowed) {
  RunTimeModel Model;
  Load Before(400, 0.2, 1);
  Load After(2000, 0.2, 1);
  meanErrors(Model, Before, 300);
  meanErrors(Model, After, 60);
  const auto [OfEstimate, OfPrediction] = meanErrors(Model, After, 100);
  cr_expect_lt(OfPrediction, 0.5, "%f", OfPrediction);
}

// Load: the first tasks of a step take twice as long as those of other jobs. Guards against the
// other tasks of the step being expected to end much earlier.
Test(RunTimeModel, aJobsFirstTasksTellAboutItsOthers) {
  RunTimeModel Model;
  Load Work(1000, 0.4, 1);
  meanErrors(Model, Work, 200);
  const Millis Alone = Model.predict(Checks, Millis(0)).Mean_;
  const Millis WithStep = Model.predict(Checks, Millis(0), Millis(2500), 8).Mean_;
  cr_expect_gt(WithStep.count(), Alone.count() * 3 / 2, "%ld and %ld ms", WithStep.count(),
               Alone.count());
}

// --- Customers and executors ---

// Load: two customers of one queue, one with tasks of four times the length. Guards against one
// level for both.
Test(RunTimeModel, customersAreToldApart) {
  RunTimeModel Model;
  for (int I = 0; I < 200; ++I) {
    Model.addRun({"checks", "short", 0}, Millis(0), Millis(500 + I % 50), "e1");
    Model.addRun({"checks", "long", 0}, Millis(0), Millis(2000 + I % 200), "e1");
  }
  const Millis Short = Model.predict({"checks", "short", 0}, Millis(0)).Mean_;
  const Millis Long = Model.predict({"checks", "long", 0}, Millis(0)).Mean_;
  cr_expect_gt(Long.count(), 2 * Short.count(), "%ld and %ld ms", Long.count(), Short.count());
}

// Load: one executor of four takes twice as long. Guards against its speed being learned as a
// property of the work, and against trust in a single run.
Test(RunTimeModel, theSpeedOfAnExecutorIsLearned) {
  RunTimeModel Model;
  for (int I = 0; I < 120; ++I)
    Model.addRun(Checks, Millis(1000), Millis(I % 4 == 0 ? 2000 : 1000),
                 "e" + std::to_string(I % 4));
  cr_expect_gt(Model.slownessOf("e0"), 1.4, "%f", Model.slownessOf("e0"));
  cr_expect_lt(Model.slownessOf("e1"), 1.15, "%f", Model.slownessOf("e1"));
  cr_expect_eq(Model.slownessOf("unknown"), 1.0);
  Model.forgetExecutor("e0");
  cr_expect_eq(Model.slownessOf("e0"), 1.0);
}

// --- Missing and bad data ---

// Guards against predictions without a run, and against times that make no sense.
Test(RunTimeModel, theEstimateIsUsedWhileNothingIsKnown) {
  RunTimeModel Model;
  cr_expect_eq(Model.predict(Checks, Millis(900)).Mean_.count(), 900);
  cr_expect_eq(Model.predict(Checks, Millis(900)).Confidence_, 0);
  cr_expect_eq(Model.predict(Checks, Millis(-5)).Mean_.count(), 0);
  for (int I = 0; I < 50; ++I) {
    Model.addRun(Checks, Millis(900), Millis(0), "e1");
    Model.addRun(Checks, Millis(900), Millis(-20), "e1");
    Model.addRun(Checks, Millis(900), Millis(std::int64_t{1} << 60), "e1");
  }
  cr_expect_eq(Model.predict(Checks, Millis(900)).Mean_.count(), 900);
}

// Guards against a model that grows with names that callers choose.
Test(RunTimeModel, itsSizeIsBounded) {
  RunTimeModel Model;
  for (int I = 0; I < 20'000; ++I) {
    const std::string Name = std::to_string(I % 2000);
    Model.addRun({"q" + Name, "c" + Name, static_cast<std::uint32_t>(I % 100)}, Millis(100),
                 Millis(100), "e" + Name);
  }
  cr_expect_leq(Model.errors().size(), 64);
  cr_expect_leq(core::pack(Model.summary()).size(), 32'768);
}

// --- A lost leader ---

// Guards against a new leader that begins with the estimates although a standby knows better.
Test(RunTimeModel, aLaterLeaderGoesOnWithTheSummary) {
  RunTimeModel Model;
  Load Work(700, 0.3, 0.9);
  meanErrors(Model, Work, 300);
  const auto Stored = core::unpack<lead::RunTimeSummary>(core::pack(Model.summary()));
  cr_assert(Stored.has_value());
  RunTimeModel Next;
  Next.restore(*Stored);
  const Millis Before = Model.predict(Checks, Millis(5000)).Mean_;
  const Millis After = Next.predict(Checks, Millis(5000)).Mean_;
  cr_expect_lt(logError(Before, After), 0.05, "%ld and %ld ms", Before.count(), After.count());
}

// Guards against figures of a broken summary that spread into all predictions.
Test(RunTimeModel, aBrokenSummaryIsIgnored) {
  lead::RunTimeSummary Broken;
  lead::QueueRunTimes Queue;
  Queue.Level_ = {std::numeric_limits<double>::quiet_NaN(), -1, 1000};
  Queue.TailFactor_ = std::numeric_limits<double>::infinity();
  Broken.Queues_ = {{"checks", Queue}};
  RunTimeModel Model;
  Model.restore(Broken);
  cr_expect_eq(Model.predict(Checks, Millis(800)).Mean_.count(), 800);
  cr_expect_eq(Model.predict(Checks, Millis(800)).Tail_.count(), 800);
}
