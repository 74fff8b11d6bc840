#include "Load.h"

#include "masticdrift/policy/Executors.h"
#include "masticdrift/policy/RequestQueue.h"

#include <cmath>
#include <deque>

namespace masticdrift::measure {

nlohmann::ordered_json runInteractive(std::uint64_t Seed, bool Baseline, double Load) {
  using core::Millis;
  constexpr int ExecutorCount = 48;
  constexpr double ServiceMs = 80; // median; the mean is 90 ms
  const double PerSecond = Load * ExecutorCount * 8 / 0.0906;
  const std::array<double, 6> Weights{6, 4, 2, 1, 1, 1};
  const std::array<double, 6> Demand{11.4, 4.8, 2.4, 1.3, 1.3, 1.3};
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> ArrivalGap(PerSecond);
  std::normal_distribution<double> Normal(0, 0.5);
  std::discrete_distribution<int> TeamDistribution(Demand.begin(), Demand.end());
  RequestQueue Queue;
  ExecutorPool Pool;
  for (int I = 0; I < ExecutorCount; ++I)
    addExecutor(Pool, "e" + std::to_string(I));
  for (std::size_t I = 0; I < Weights.size(); ++I)
    setTeam(Queue, "t" + std::to_string(I), Weights[I], 1000);
  setSlotCapacity(Queue, ExecutorCount * 8);
  struct RunningRequest {
    std::string Team_;
    std::size_t Executor_;
    core::Duration Ran_;
    TimePoint Deadline_;
    bool Late_;
  };
  std::multimap<TimePoint, RunningRequest> Ends;
  std::deque<QueuedRequest> Fifo;
  std::vector<double> Waits;
  std::array<double, 6> Slots{};
  double Samples = 0;
  std::size_t Offered = 0;
  std::size_t Refused = 0;
  std::size_t Expired = 0;
  std::size_t InTime = 0;
  const TimePoint Begin{std::chrono::seconds(1000)};
  const TimePoint WarmUpEnd = Begin + std::chrono::seconds(10);
  const TimePoint Stop = Begin + std::chrono::seconds(60);
  TimePoint Now = Begin;
  TimePoint NextSample = WarmUpEnd;
  TimePoint NextArrival = Begin;
  std::uint64_t Id = 0;
  std::vector<QueuedRequest> ExpiredRequests;
  while (Now < Stop) {
    if (!Ends.empty() && Ends.begin()->first <= NextArrival) {
      Now = Ends.begin()->first;
      const RunningRequest Finished = Ends.begin()->second;
      Ends.erase(Ends.begin());
      if (Finished.Late_)
        holdSlot(Pool, Finished.Executor_, Now, Now + Millis(250), Finished.Ran_);
      else
        finishRequest(Pool, Finished.Executor_, Now, Finished.Ran_, true);
      finishSlot(Queue, Finished.Team_, Finished.Ran_);
      if (Now >= WarmUpEnd)
        InTime += Finished.Late_ ? 0 : 1;
    } else {
      Now = NextArrival;
      NextArrival += std::chrono::duration_cast<core::Duration>(
          std::chrono::duration<double>(ArrivalGap(Random)));
      QueuedRequest Arriving{++Id, "t" + std::to_string(TeamDistribution(Random)), Now,
                             Now + Millis(2000)};
      Offered += Now >= WarmUpEnd ? 1 : 0;
      if (Baseline)
        Fifo.push_back(std::move(Arriving));
      else if (pushRequest(Queue, std::move(Arriving), Now).Admission_ != Admission::Queued)
        Refused += Now >= WarmUpEnd ? 1 : 0;
    }
    for (;;) {
      const auto Executor = chooseExecutor(Pool, Now);
      if (!Executor)
        break;
      std::optional<QueuedRequest> Request;
      if (!Baseline) {
        ExpiredRequests.clear();
        Request = popRequest(Queue, Now, ExpiredRequests);
        Expired += Now >= WarmUpEnd ? ExpiredRequests.size() : 0;
      } else {
        // The baseline also drops expired requests; otherwise its waiting times grow without bound.
        while (!Fifo.empty() && Fifo.front().Deadline_ <= Now) {
          Fifo.pop_front();
          Expired += Now >= WarmUpEnd ? 1 : 0;
        }
        if (!Fifo.empty()) {
          Request = Fifo.front();
          Fifo.pop_front();
        }
      }
      if (!Request)
        break;
      takeSlot(Pool, *Executor, Now);
      if (Now >= WarmUpEnd)
        Waits.push_back(std::chrono::duration<double>(Now - Request->Arrived_).count());
      auto Run = std::chrono::duration_cast<core::Duration>(
          std::chrono::duration<double, std::milli>(ServiceMs * std::exp(Normal(Random))));
      const bool Late = Now + Run > Request->Deadline_;
      if (Late)
        Run = Request->Deadline_ - Now;
      Ends.emplace(Now + Run,
                   RunningRequest{Request->Team_, *Executor, Run, Request->Deadline_, Late});
    }
    if (Now >= NextSample) {
      NextSample += Millis(10);
      ++Samples;
      for (const auto &[At, Running] : Ends)
        Slots[static_cast<std::size_t>(Running.Team_[1] - '0')] += 1;
    }
  }
  double MaxDeviation = 0;
  for (std::size_t I = 0; I < Slots.size(); ++I)
    MaxDeviation = std::max(MaxDeviation,
                            std::abs(Slots[I] / Samples / (ExecutorCount * 8) - Weights[I] / 15));
  nlohmann::ordered_json Result;
  Result["measure"] = "interactive";
  Result["policy"] = Baseline ? "fifo-first-fit" : "masticdrift";
  Result["seed"] = Seed;
  Result["load"] = Load;
  Result["offered"] = Offered;
  Result["in_time"] = InTime;
  Result["refused_at_once"] = Refused;
  Result["expired_in_queue"] = Expired;
  Result["wait_p50_s"] = percentile(Waits, 0.5);
  Result["wait_p99_s"] = percentile(Waits, 0.99);
  Result["share_distance_mean"] = MaxDeviation;
  return Result;
}

} // namespace masticdrift::measure
