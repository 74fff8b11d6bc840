#include "Load.h"

#include <chrono>

namespace masticdrift::measure {
namespace {

using SteadyClock = std::chrono::steady_clock;

/// A cell with 340 teams in which a third of the workers have 4 accelerators; a twentieth of
/// the jobs are gangs and a tenth services.
struct LargeCell {
  LargeCell(std::uint64_t Seed, std::uint32_t Workers) : Random_(Seed), Workers_(Workers) {
    for (std::uint32_t I = 0; I < Workers; ++I)
      addWorker(Cell_, "worker-" + std::to_string(I), "rack-" + std::to_string(I / 8),
                {32'000, 65'536, I % 3 == 0 ? 4 : 0});
    for (int I = 0; I < 340; ++I)
      setTeam(Teams_, "team-" + std::to_string(I), 1 + I % 5,
              {8, {Workers * 2000L, Workers * 4096L, Workers}});
  }

  std::uint32_t below(std::uint32_t Bound) {
    return std::uniform_int_distribution<std::uint32_t>(0, Bound - 1)(Random_);
  }

  PendingJob makeJob(bool Urgent) {
    PendingJob Job;
    Job.Id_ = "domain/team/" + std::to_string(Next_++);
    Job.Team_ = "team-" + std::to_string(below(340));
    const std::uint32_t Kind = below(20);
    Job.Kind_ = Kind == 0 ? JobKind::Gang : Kind <= 2 ? JobKind::Service : JobKind::Batch;
    Job.Urgent_ = Urgent;
    if (Urgent)
      Job.Kind_ = JobKind::Batch;
    Job.Checkpointable_ = below(2) == 0;
    Job.Throttleable_ = below(2) == 0;
    Job.Size_ = {500L * (1 + below(8)), 512L * (1 + below(16)), below(10) == 0 ? 1 + below(2) : 0};
    Job.RunTime_ = std::chrono::seconds(5 + below(300));
    Job.QueuedAt_ = Now_;
    const std::uint32_t Tasks = Job.Kind_ == JobKind::Gang ? 2 + below(15) : 1;
    for (std::uint32_t I = 0; I < Tasks; ++I)
      Job.Waiting_.push_back(I);
    return Job;
  }

  std::vector<Decision> decideNow() {
    const auto Before = SteadyClock::now();
    auto Decisions = decide(Cell_, Pending_, Teams_, Now_, {});
    LastMs_ = std::chrono::duration<double, std::milli>(SteadyClock::now() - Before).count();
    return Decisions;
  }

  void recordDecisions(const std::vector<Decision> &Decisions) {
    for (const Decision &Decided : Decisions)
      if (Decided.Kind_ == DecisionKind::Start)
        Running_.emplace_back(Decided.Job_, Decided.Task_);
      else
        Preempted_.push_back(Decided);
  }

  void endTasks(std::size_t Count) {
    for (; Count > 0 && !Running_.empty(); --Count) {
      const std::uint32_t At = below(static_cast<std::uint32_t>(Running_.size()));
      std::swap(Running_[At], Running_.back());
      const auto [Job, Task] = std::move(Running_.back());
      Running_.pop_back();
      taskEnded(Cell_, Teams_, Job, Task, Now_);
    }
  }

  void confirmPreempted() {
    for (const Decision &Decided : Preempted_) {
      if (Decided.Method_ == PreemptionMethod::Throttle)
        taskThrottled(Cell_, Teams_, Decided.Job_, Decided.Task_, Now_);
      else
        taskEnded(Cell_, Teams_, Decided.Job_, Decided.Task_, Now_);
    }
    Preempted_.clear();
  }

  std::mt19937_64 Random_;
  std::uint32_t Workers_;
  CellView Cell_;
  PendingWork Pending_;
  Shares Teams_;
  TimePoint Now_{std::chrono::seconds(10'000)};
  std::uint64_t Next_ = 0;
  std::vector<std::pair<std::string, std::uint32_t>> Running_;
  std::vector<Decision> Preempted_;
  double LastMs_ = 0;
};

void fill(LargeCell &Cell, bool Full) {
  const double Target = Full ? 0.97 : 0.7;
  for (int Round = 0; Round < 3000 && utilization(Cell.Cell_) < Target; ++Round) {
    for (std::uint32_t I = 0; I < 64; ++I)
      addPending(Cell.Pending_, Cell.makeJob(false));
    Cell.Now_ += std::chrono::milliseconds(50);
    Cell.recordDecisions(Cell.decideNow());
    Cell.confirmPreempted();
  }
}

} // namespace

nlohmann::ordered_json runScale(std::uint64_t Seed, std::uint32_t Workers, bool Full) {
  LargeCell Cell(Seed, Workers);
  fill(Cell, Full);
  const std::uint32_t StartsPerRound = std::max(1U, 10 * Workers / 1800); // 200 starts/s at 1,800
  if (Full)
    for (std::uint32_t I = 0; I < 10 * Workers; ++I)
      addPending(Cell.Pending_, Cell.makeJob(false));
  std::vector<double> DecisionMs;
  std::size_t Starts = 0;
  double PolicySeconds = 0;
  constexpr int Rounds = 3000;
  for (int Round = 0; Round < Rounds; ++Round) {
    Cell.Now_ += std::chrono::milliseconds(50);
    const auto Before = SteadyClock::now();
    // As many tasks arrive as end; a gang counts as several starts.
    Cell.endTasks(StartsPerRound);
    while (Cell.Pending_.WaitingTasks_ < (Full ? 10 * Workers : StartsPerRound))
      addPending(Cell.Pending_, Cell.makeJob(Cell.below(20) == 0));
    Cell.confirmPreempted();
    PolicySeconds += std::chrono::duration<double>(SteadyClock::now() - Before).count();
    const auto Decisions = Cell.decideNow();
    PolicySeconds += Cell.LastMs_ / 1000;
    if (Round >= 200) {
      DecisionMs.push_back(Cell.LastMs_);
      for (const Decision &Decided : Decisions)
        Starts += Decided.Kind_ == DecisionKind::Start ? 1 : 0;
    } else {
      PolicySeconds = 0;
    }
    Cell.recordDecisions(Decisions);
  }
  nlohmann::ordered_json Result;
  Result["measure"] = "scale";
  Result["seed"] = Seed;
  Result["workers"] = Workers;
  Result["cell"] = Full ? "full" : "70% used";
  Result["running_tasks"] = Cell.Running_.size();
  Result["pending_tasks"] = Cell.Pending_.WaitingTasks_;
  Result["decide_p50_ms"] = percentile(DecisionMs, 0.5);
  Result["decide_p99_ms"] = percentile(DecisionMs, 0.99);
  Result["decide_max_ms"] = percentile(DecisionMs, 1);
  Result["starts"] = Starts;
  Result["placements_per_s"] = static_cast<double>(Starts) / PolicySeconds;
  return Result;
}

nlohmann::ordered_json runCancelWave(std::uint64_t Seed) {
  LargeCell Cell(Seed, 1800);
  fill(Cell, true);
  std::vector<double> WithWaveMs;
  std::vector<double> WithoutWaveMs;
  for (int Round = 0; Round < 60; ++Round) {
    const bool Wave = Round % 2 == 0;
    std::vector<std::string> Ids;
    for (int I = 0; I < 1000; ++I) {
      PendingJob Job = Cell.makeJob(false);
      if (Wave)
        Ids.push_back(Job.Id_);
      addPending(Cell.Pending_, std::move(Job));
    }
    Cell.endTasks(40);
    Cell.Now_ += std::chrono::milliseconds(50);
    Cell.recordDecisions(Cell.decideNow());
    Cell.confirmPreempted();
    PendingJob Urgent = Cell.makeJob(true);
    Urgent.Size_ = {500, 512, 0};
    const std::string Id = Urgent.Id_;
    Cell.endTasks(40);
    // The urgent job arrives directly after the cancellations; one loop processes both.
    const auto Before = SteadyClock::now();
    bool Started = false;
    addPending(Cell.Pending_, std::move(Urgent));
    for (int Attempt = 0; Attempt < 200 && !Started; ++Attempt) {
      cancelSome(Cell.Pending_, Ids, 128);
      const auto Decisions = Cell.decideNow();
      for (const Decision &Decided : Decisions)
        Started = Started || (Decided.Kind_ == DecisionKind::Start && Decided.Job_ == Id);
      Cell.recordDecisions(Decisions);
      if (!Started)
        Cell.confirmPreempted();
    }
    const double Ms =
        std::chrono::duration<double, std::milli>(SteadyClock::now() - Before).count();
    if (Started)
      (Wave ? WithWaveMs : WithoutWaveMs).push_back(Ms);
    while (!Ids.empty())
      cancelSome(Cell.Pending_, Ids, 128);
    Cell.confirmPreempted();
  }
  // Measure all cancellations in a single call.
  std::vector<std::string> Ids;
  for (int I = 0; I < 1000; ++I) {
    PendingJob Job = Cell.makeJob(false);
    Ids.push_back(Job.Id_);
    addPending(Cell.Pending_, std::move(Job));
  }
  const auto Before = SteadyClock::now();
  cancelSome(Cell.Pending_, Ids, 1000);
  const double WaveMs =
      std::chrono::duration<double, std::milli>(SteadyClock::now() - Before).count();
  nlohmann::ordered_json Result;
  Result["measure"] = "cancel-wave";
  Result["seed"] = Seed;
  Result["workers"] = 1800;
  Result["urgent_start_with_wave_max_ms"] = percentile(WithWaveMs, 1);
  Result["urgent_start_without_wave_max_ms"] = percentile(WithoutWaveMs, 1);
  Result["urgent_starts"] = WithWaveMs.size() + WithoutWaveMs.size();
  Result["cancel_1000_ms"] = WaveMs;
  return Result;
}

} // namespace masticdrift::measure
