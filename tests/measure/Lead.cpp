// The leader's decisions at the size of the grown deployments, in virtual time.
#include "Load.h"

#include "support/FakeFleet.h"

#include <cmath>

namespace masticdrift::measure {

namespace {

/// One kind of job, in the shape that a site file gives.
struct Kind {
  const char *Queue_;
  double PerSecond_; ///< for 350 executors
  double Steps_;     ///< mean
  double Width_;     ///< mean tasks of a step
  std::int64_t Ms_;  ///< mean run time
  core::Resources Need_;
};

constexpr int ReferenceExecutors = 350;
constexpr int PlayedSeconds = 20;

const Kind Kinds[] = {{"checks", 35, 1.6, 9.5, 800, {2200, 4100, 0}},
                      {"batches", 4.15, 2, 14, 6000, {4500, 8300, 0}}};

work::Manifest manifestOf() {
  work::Manifest Out;
  Out.Version_ = 1;
  Out.Pools_["pool"] = {"pool", false};
  const auto Add = [&Out](const char *Name, int Priority, work::AdvicePolicy Advice) {
    work::Queue Queue;
    Queue.Name_ = Name;
    Queue.Pool_ = "pool";
    Queue.Priority_ = Priority;
    Queue.MaxAttempts_ = 4;
    Queue.Stretch_ = 2;
    Queue.Advice_ = Advice;
    Out.Queues_.push_back(Queue);
  };
  Add("checks", 0, {23, 0.33, 2500});
  Add("batches", 2, {390, 5.5, 2500});
  return Out;
}

work::JobSpec drawJob(const Kind &Of, std::mt19937_64 &Random) {
  std::exponential_distribution<> Around(1);
  const auto Draw = [&](double Mean) {
    return std::max<std::uint32_t>(1,
                                   static_cast<std::uint32_t>(std::lround(Mean * Around(Random))));
  };
  work::JobSpec Spec;
  Spec.Payload_ = std::string(300, 'p');
  const std::uint32_t Steps = std::min<std::uint32_t>(Draw(Of.Steps_), 4);
  for (std::uint32_t I = 0; I < Steps; ++I) {
    work::StepSpec Step;
    Step.TaskCount_ = std::min<std::uint32_t>(Draw(Of.Width_), 60);
    Step.Need_ = Of.Need_;
    Step.EstimatedMs_ = std::max<std::int64_t>(
        100, static_cast<std::int64_t>(static_cast<double>(Of.Ms_) * (0.5 + Around(Random) / 2)));
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
  Fleet.setManifest(manifestOf());
  for (int I = 0; I < Executors; ++I)
    Fleet.addExecutor("i-" + std::to_string(1000 + I), {16'000, 32'768, 0});
  Fleet.run(core::Millis(500));
  std::mt19937_64 Random(Seed);
  std::size_t Jobs = 0;
  constexpr core::Millis Slice{20};
  for (core::Millis At{0}; At < core::Millis(1000 * PlayedSeconds); At += Slice) {
    for (const Kind &One : Kinds) {
      std::poisson_distribution<> Arrivals(One.PerSecond_ * Executors / ReferenceExecutors *
                                           static_cast<double>(Slice.count()) / 1000);
      for (int Left = Arrivals(Random); Left > 0; --Left)
        Fleet.submit("job" + std::to_string(Jobs++), drawJob(One, Random), One.Queue_);
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
          {"starts_per_s", static_cast<double>(Fleet.starts()) / PlayedSeconds},
          {"decision_cores", Seconds / PlayedSeconds},
          {"us_per_start", 1e6 * Seconds / static_cast<double>(Fleet.starts())},
          {"broken", Fleet.broken().size()}};
}

} // namespace masticdrift::measure
