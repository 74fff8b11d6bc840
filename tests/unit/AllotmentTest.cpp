#include "masticdrift/config/Allotment.h"

#include <algorithm>
#include <numeric>
#include <random>

#include <criterion/criterion.h>

using namespace masticdrift;

// Guards against rounding errors that give a team more or less than its limit (P4).
Test(AllotmentSplit, partsSumExactlyToTheLimitForRandomInputs) {
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937_64 Random(Seed);
    const auto Draw = [&](std::int64_t Max) {
      return std::uniform_int_distribution<std::int64_t>(0, Max)(Random);
    };
    for (int Round = 0; Round < 100; ++Round) {
      std::vector<config::Domain> Domains;
      const auto DomainCount = 1 + Draw(12);
      for (std::int64_t I = 0; I < DomainCount; ++I)
        Domains.push_back({"d" + std::to_string(I), "r", Draw(Round % 2 == 0 ? 5 : 100'000)});
      const config::Limit TeamLimit{Draw(10'000'000'000),
                                    {Draw(10'000'000'000), Draw(100), Draw(Round % 3)}};
      const auto Parts = config::splitLimit(TeamLimit, Domains);
      config::Limit Sum;
      for (const config::Limit &Part : Parts) {
        cr_assert(Part.Slots_ >= 0 && core::fits({}, Part.Resources_));
        Sum.Slots_ += Part.Slots_;
        Sum.Resources_ += Part.Resources_;
      }
      cr_assert(Sum == TeamLimit, "seed %u round %d", Seed, Round);
      // Every domain gets its exact proportion, rounded up or down.
      const std::int64_t WeightSum = std::accumulate(
          Domains.begin(), Domains.end(), std::int64_t{0},
          [](std::int64_t Total, const config::Domain &Domain) { return Total + Domain.Weight_; });
      for (std::size_t I = 0; I < Parts.size() && WeightSum > 0; ++I) {
        const std::int64_t Exact = TeamLimit.Slots_ * Domains[I].Weight_ / WeightSum;
        cr_assert(Parts[I].Slots_ == Exact || Parts[I].Slots_ == Exact + 1);
      }
    }
  }
}

// Guards against allotments that differ when the same domains are listed in another order.
Test(AllotmentSplit, theOrderOfTheDomainsDoesNotMatter) {
  const std::vector<config::Domain> Domains{{"a", "r", 1}, {"b", "r", 1}, {"c", "r", 1}};
  const config::Limit TeamLimit{10, {10'000, 100, 1}};
  const auto Parts = config::splitLimit(TeamLimit, Domains);
  std::vector<config::Domain> Reversed(Domains.rbegin(), Domains.rend());
  auto PartsOfReversed = config::splitLimit(TeamLimit, Reversed);
  std::ranges::reverse(PartsOfReversed);
  cr_assert(Parts == PartsOfReversed);
  cr_assert_eq(Parts[0].Slots_, 4);
  cr_assert_eq(Parts[1].Slots_, 3);
}

// Guards against fractions of a core, which would be capacity that no task can use.
Test(AllotmentSplit, wholeCoresStayWhole) {
  const std::vector<config::Domain> Domains{{"a", "r", 1}, {"b", "r", 1}, {"c", "r", 1}};
  for (const config::Limit &Part : config::splitLimit({0, {10'000, 0, 0}}, Domains))
    cr_assert_eq(Part.Resources_.MilliCores_ % 1000, 0);
}

Test(AllotmentSplit, withoutWeightsThePartsAreEqual) {
  const std::vector<std::int64_t> Weights{0, 0, 0};
  cr_assert((config::splitAmount(7, Weights) == std::vector<std::int64_t>{3, 2, 2}));
  cr_assert(config::splitAmount(7, {}).empty());
}
