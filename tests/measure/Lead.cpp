// Measures the scheduler at the size of the largest deployments, in virtual time.
#include "Load.h"

#include "support/FakeFleet.h"

#include <cmath>

namespace masticdrift::measure {

namespace {

/// One kind of job, with the values that a site file gives.
struct JobKind {
  const char *Queue_;
  double PerSecond_; ///< arrival rate for 350 executors
  double Steps_;     ///< mean
  double Width_;     ///< mean tasks of a step
  std::int64_t Ms_;  ///< mean run time
  core::Resources Need_;
};

constexpr int ReferenceExecutors = 350;
constexpr int SimulatedSeconds = 20;

const JobKind JobKinds[] = {{"checks", 35, 1.6, 9.5, 800, {2200, 4100, 0}},
                            {"batches", 4.15, 2, 14, 6000, {4500, 8300, 0}}};

work::Manifest makeManifest() {
  work::Manifest Result;
  Result.Version_ = 1;
  Result.Pools_["pool"] = {"pool", false};
  const auto AddQueue = [&Result](const char *Name, int Priority, work::AdvicePolicy Advice) {
    work::Queue Queue;
    Queue.Name_ = Name;
    Queue.Pool_ = "pool";
    Queue.Priority_ = Priority;
    Queue.MaxAttempts_ = 4;
    Queue.Stretch_ = 2;
    Queue.Advice_ = Advice;
    Result.Queues_.push_back(Queue);
  };
  AddQueue("checks", 0, {23, 0.33, 2500});
  AddQueue("batches", 2, {390, 5.5, 2500});
  return Result;
}

work::JobSpec randomJob(const JobKind &Kind, std::mt19937_64 &Random) {
  std::exponential_distribution<> Exponential(1);
  const auto Draw = [&](double Mean) {
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(std::lround(Mean * Exponential(Random))));
  };
  work::JobSpec Spec;
  Spec.Payload_ = std::string(300, 'p');
  const std::uint32_t Steps = std::min<std::uint32_t>(Draw(Kind.Steps_), 4);
  for (std::uint32_t I = 0; I < Steps; ++I) {
    work::StepSpec Step;
    Step.TaskCount_ = std::min<std::uint32_t>(Draw(Kind.Width_), 60);
    Step.Need_ = Kind.Need_;
    Step.EstimatedMs_ =
        std::max<std::int64_t>(100, static_cast<std::int64_t>(static_cast<double>(Kind.Ms_) *
                                                              (0.5 + Exponential(Random) / 2)));
    if (I > 0)
      Step.DependsOn_ = {I - 1};
    Spec.Steps_.push_back(Step);
  }
  return Spec;
}

} // namespace

nlohmann::ordered_json runLead(std::uint64_t Seed, int Executors) {
  tests::FakeFleetOptions Options;
  Options.Seed_ = static_cast<unsigned>(Seed);
  tests::FakeFleet Fleet(Options);
  Fleet.setManifest(makeManifest());
  for (int I = 0; I < Executors; ++I)
    Fleet.addExecutor("i-" + std::to_string(1000 + I), {16'000, 32'768, 0});
  Fleet.run(core::Millis(500));
  std::mt19937_64 Random(Seed);
  std::size_t Jobs = 0;
  constexpr core::Millis Slice{20};
  for (core::Millis Elapsed{0}; Elapsed < core::Millis(1000 * SimulatedSeconds); Elapsed += Slice) {
    for (const JobKind &Kind : JobKinds) {
      std::poisson_distribution<> Arrivals(Kind.PerSecond_ * Executors / ReferenceExecutors *
                                           static_cast<double>(Slice.count()) / 1000);
      for (int Remaining = Arrivals(Random); Remaining > 0; --Remaining)
        Fleet.submit("job" + std::to_string(Jobs++), randomJob(Kind, Random), Kind.Queue_);
    }
    Fleet.run(Slice);
  }
  const double Seconds = std::chrono::duration<double>(Fleet.decisionTime()).count();
  std::size_t Completed = 0;
  for (std::size_t I = 0; I < Jobs; ++I)
    Completed += Fleet.stateOf("job" + std::to_string(I)) == work::JobState::Completed ? 1 : 0;
  return {{"executors", Executors},
          {"jobs", Jobs},
          {"completed", Completed},
          {"starts_per_s", static_cast<double>(Fleet.startCount()) / SimulatedSeconds},
          {"decision_cores", Seconds / SimulatedSeconds},
          {"us_per_start", 1e6 * Seconds / static_cast<double>(Fleet.startCount())},
          {"broken", Fleet.violations().size()}};
}

} // namespace masticdrift::measure
