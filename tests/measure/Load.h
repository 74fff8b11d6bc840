/// \file
/// Loads shaped like those of the two users, and a driver that runs them against the decisions of
/// package policy or against first in first out with first fit. Time is virtual; workers are
/// entries in the cell view.
#ifndef MASTICDRIFT_MEASURE_LOAD_H
#define MASTICDRIFT_MEASURE_LOAD_H

#include "masticdrift/policy/Learn.h"
#include "masticdrift/policy/Place.h"
#include "masticdrift/policy/Quarantine.h"

#include <nlohmann/json.hpp>

#include <random>

namespace masticdrift::measure {

using namespace masticdrift::policy;

/// One user of section 1.6 of the design page.
struct DeploymentProfile {
  std::string Name_;
  Resources Worker_;
  std::int64_t AcceleratorsEvery_ = 0; ///< every n-th worker has 4; 0 for none
};

DeploymentProfile roshan();
DeploymentProfile samvarp();

struct LoadOptions {
  std::string Name_;  ///< steady, overload or faults
  double Load_ = 0.8; ///< offered work as part of the capacity
  bool Faults_ = false;
  std::uint64_t Seed_ = 1;
  bool Baseline_ = false;
  int Seconds_ = 1800;
  int WarmUpSeconds_ = 300;
};

/// Runs one load. \returns the measured values.
nlohmann::ordered_json runLoad(const DeploymentProfile &Profile, const LoadOptions &Options);

/// Interactive requests at 1.5 times the capacity of 48 executors.
nlohmann::ordered_json runInteractive(std::uint64_t Seed, bool Baseline, double Load);

/// Decision time at one cell size. \param Wave cancels 1,000 jobs at once now and then.
nlohmann::ordered_json runScale(std::uint64_t Seed, std::uint32_t Workers, bool Full);
nlohmann::ordered_json runCancelWave(std::uint64_t Seed);

/// Processor time of the leader's decisions for a load in the shape of the grown deployments: short
/// checks and long batches on \p Executors executors, advice on every queue.
nlohmann::ordered_json runLead(std::uint64_t Seed, int Executors);

double percentile(std::vector<double> Values, double Quantile);

} // namespace masticdrift::measure

#endif // MASTICDRIFT_MEASURE_LOAD_H
