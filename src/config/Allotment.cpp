#include "masticdrift/config/Allotment.h"

#include <algorithm>
#include <numeric>

namespace masticdrift::config {

std::vector<std::int64_t> splitAmount(std::int64_t Total, std::span<const std::int64_t> Weights) {
  std::vector<std::int64_t> Parts(Weights.size(), 0);
  if (Weights.empty())
    return Parts;
  std::vector<std::int64_t> EffectiveWeights(Weights.begin(), Weights.end());
  std::int64_t WeightSum =
      std::accumulate(EffectiveWeights.begin(), EffectiveWeights.end(), std::int64_t{0});
  if (WeightSum == 0) {
    std::ranges::fill(EffectiveWeights, 1);
    WeightSum = static_cast<std::int64_t>(EffectiveWeights.size());
  }
  std::int64_t Unassigned = Total;
  std::vector<std::int64_t> Remainders(EffectiveWeights.size());
  for (std::size_t I = 0; I < EffectiveWeights.size(); ++I) {
    Parts[I] = Total * EffectiveWeights[I] / WeightSum;
    Remainders[I] = Total * EffectiveWeights[I] % WeightSum;
    Unassigned -= Parts[I];
  }
  std::vector<std::size_t> ByRemainder(EffectiveWeights.size());
  std::iota(ByRemainder.begin(), ByRemainder.end(), 0);
  std::ranges::stable_sort(ByRemainder, std::ranges::greater{},
                           [&](std::size_t I) { return Remainders[I]; });
  // Each part was rounded down by less than one unit, so one extra unit per part is enough.
  for (std::size_t I = 0; Unassigned > 0; ++I, --Unassigned)
    ++Parts[ByRemainder[I]];
  return Parts;
}

std::vector<Limit> splitLimit(const Limit &TeamLimit, std::span<const Domain> Domains) {
  std::vector<std::size_t> ByName(Domains.size());
  std::iota(ByName.begin(), ByName.end(), 0);
  // Sorted by name, so that reordering the domains in the configuration changes no allotment.
  std::ranges::sort(ByName, {},
                    [&](std::size_t I) -> const std::string & { return Domains[I].Name_; });
  std::vector<std::int64_t> Weights;
  Weights.reserve(Domains.size());
  for (const std::size_t I : ByName)
    Weights.push_back(Domains[I].Weight_);
  std::vector<Limit> Parts(Domains.size());
  const auto Split = [&](std::int64_t Total, std::int64_t Unit, auto Field) {
    const std::vector<std::int64_t> Amounts = splitAmount(Total / Unit, Weights);
    for (std::size_t I = 0; I < ByName.size(); ++I)
      Field(Parts[ByName[I]]) = Amounts[I] * Unit;
  };
  const core::Resources &Resources = TeamLimit.Resources_;
  constexpr std::int64_t MilliPerCore = 1000;
  const std::int64_t CoreUnit = Resources.MilliCores_ % MilliPerCore == 0 ? MilliPerCore : 1;
  Split(TeamLimit.Slots_, 1, [](Limit &Part) -> std::int64_t & { return Part.Slots_; });
  Split(Resources.MilliCores_, CoreUnit,
        [](Limit &Part) -> std::int64_t & { return Part.Resources_.MilliCores_; });
  Split(Resources.MemoryMb_, 1,
        [](Limit &Part) -> std::int64_t & { return Part.Resources_.MemoryMb_; });
  Split(Resources.Accelerators_, 1,
        [](Limit &Part) -> std::int64_t & { return Part.Resources_.Accelerators_; });
  return Parts;
}

} // namespace masticdrift::config
