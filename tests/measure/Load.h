/// \file
/// Simulated loads of the two reference deployments, scheduled either by package policy or by a
/// baseline of first in, first out with first fit. Time is virtual; workers exist only as entries
/// in the cell view.
#ifndef MASTICDRIFT_MEASURE_LOAD_H
#define MASTICDRIFT_MEASURE_LOAD_H

#include "masticdrift/policy/Learn.h"
#include "masticdrift/policy/Place.h"
#include "masticdrift/policy/Quarantine.h"

#include <nlohmann/json.hpp>

#include <random>

namespace masticdrift::measure {

using namespace masticdrift::policy;

/// Size of the workers of a deployment in section 1.6 of the design page.
struct DeploymentProfile {
  std::string Name_;
  Resources Worker_;
  std::int64_t AcceleratorsEvery_ = 0; ///< every n-th worker has 4 accelerators; 0 for none
};

DeploymentProfile roshan();
DeploymentProfile samvarp();

/// Parameters of one simulated load.
struct LoadOptions {
  std::string Name_;  ///< steady, overload or faults
  double Load_ = 0.8; ///< offered work as a fraction of the capacity
  bool Faults_ = false;
  std::uint64_t Seed_ = 1;
  bool Baseline_ = false;
  int Seconds_ = 1800;
  int WarmUpSeconds_ = 300;
};

/// Simulates one load.
/// \returns the measured values.
nlohmann::ordered_json runLoad(const DeploymentProfile &Profile, const LoadOptions &Options);

/// Simulates interactive requests on 48 executors.
/// \param Load offered work as a fraction of the capacity, 1.5 for overload.
/// \returns the measured values.
nlohmann::ordered_json runInteractive(std::uint64_t Seed, bool Baseline, double Load);

/// Measures the decision time at one cell size.
/// \param Full whether the cell is full or 70% used.
nlohmann::ordered_json runScale(std::uint64_t Seed, std::uint32_t Workers, bool Full);

/// Measures the start of an urgent job with and without 1,000 jobs cancelled at once.
nlohmann::ordered_json runCancelWave(std::uint64_t Seed);

/// Measures the processor time of the leader's decisions under the load of an enlarged deployment:
/// short checks and long batches on \p Executors executors, advice on every queue.
nlohmann::ordered_json runLead(std::uint64_t Seed, int Executors);

/// \returns the value at \p Quantile (0 to 1), 0 without values.
double percentile(std::vector<double> Values, double Quantile);

} // namespace masticdrift::measure

#endif // MASTICDRIFT_MEASURE_LOAD_H
