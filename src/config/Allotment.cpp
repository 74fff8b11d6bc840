#include "masticdrift/config/Allotment.h"

#include <algorithm>
#include <numeric>

namespace masticdrift::config {

std::vector<std::int64_t> splitAmount(std::int64_t Total, std::span<const std::int64_t> Weights) {
  std::vector<std::int64_t> Parts(Weights.size(), 0);
  if (Weights.empty())
    return Parts;
  std::vector<std::int64_t> Each(Weights.begin(), Weights.end());
  std::int64_t Sum = std::accumulate(Each.begin(), Each.end(), std::int64_t{0});
  if (Sum == 0) {
    std::ranges::fill(Each, 1);
    Sum = static_cast<std::int64_t>(Each.size());
  }
  std::int64_t Left = Total;
  std::vector<std::int64_t> Remainders(Each.size());
  for (std::size_t I = 0; I < Each.size(); ++I) {
    Parts[I] = Total * Each[I] / Sum;
    Remainders[I] = Total * Each[I] % Sum;
    Left -= Parts[I];
  }
  std::vector<std::size_t> Order(Each.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::ranges::stable_sort(Order, std::ranges::greater{},
                           [&](std::size_t I) { return Remainders[I]; });
  // Fewer than one unit per part is left, because each part was rounded down by less than one.
  for (std::size_t I = 0; Left > 0; ++I, --Left)
    ++Parts[Order[I]];
  return Parts;
}

std::vector<Limit> splitLimit(const Limit &Whole, std::span<const Domain> Domains) {
  std::vector<std::size_t> Order(Domains.size());
  std::iota(Order.begin(), Order.end(), 0);
  // By name, so that reordering the text moves nothing.
  std::ranges::sort(Order, {},
                    [&](std::size_t I) -> const std::string & { return Domains[I].Name_; });
  std::vector<std::int64_t> Weights;
  Weights.reserve(Domains.size());
  for (const std::size_t I : Order)
    Weights.push_back(Domains[I].Weight_);
  std::vector<Limit> Parts(Domains.size());
  const auto Split = [&](std::int64_t Total, std::int64_t Unit, auto Target) {
    const std::vector<std::int64_t> Amounts = splitAmount(Total / Unit, Weights);
    for (std::size_t I = 0; I < Order.size(); ++I)
      Target(Parts[Order[I]]) = Amounts[I] * Unit;
  };
  const core::Resources &Sum = Whole.Resources_;
  constexpr std::int64_t MilliPerCore = 1000;
  const std::int64_t CoreUnit = Sum.MilliCores_ % MilliPerCore == 0 ? MilliPerCore : 1;
  Split(Whole.Slots_, 1, [](Limit &Part) -> std::int64_t & { return Part.Slots_; });
  Split(Sum.MilliCores_, CoreUnit,
        [](Limit &Part) -> std::int64_t & { return Part.Resources_.MilliCores_; });
  Split(Sum.MemoryMb_, 1, [](Limit &Part) -> std::int64_t & { return Part.Resources_.MemoryMb_; });
  Split(Sum.Accelerators_, 1,
        [](Limit &Part) -> std::int64_t & { return Part.Resources_.Accelerators_; });
  return Parts;
}

} // namespace masticdrift::config
