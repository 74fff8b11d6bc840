/// \file
/// Weighted dominant resource fairness with decayed usage, and hard limits per team.
#ifndef MASTICDRIFT_POLICY_SHARES_H
#define MASTICDRIFT_POLICY_SHARES_H

#include "masticdrift/policy/Cell.h"

#include <limits>
#include <span>

namespace masticdrift::policy {

/// Maximum usage of one team in a failure domain.
struct Allotment {
  std::uint32_t Slots_ = std::numeric_limits<std::uint32_t>::max(); ///< executor slots
  Resources Resources_{std::numeric_limits<std::int64_t>::max(),
                       std::numeric_limits<std::int64_t>::max(),
                       std::numeric_limits<std::int64_t>::max()};
};

/// Weight, limit and usage of one team.
struct TeamShare {
  std::string Name_;
  double Weight_ = 1;
  Allotment Limit_;
  Resources CurrentUsage_;  ///< sum of the team's placements
  double DecayedUsage_ = 0; ///< exponentially decayed average of the dominant share
  TimePoint UpdatedAt_{};   ///< time of the last update of DecayedUsage_
};

/// All teams of a failure domain.
struct Shares {
  Resources Capacity_; ///< set by setCapacity()
  /// Half-life of past usage. Long enough to average over jobs of different sizes, short enough
  /// that a team that was idle does not monopolise the cell.
  Duration HalfLife_ = std::chrono::seconds(60);
  std::vector<TeamShare> Teams_;
  std::unordered_map<std::string, std::uint32_t> ByName_;
};

using TeamIndex = std::uint32_t;

/// Returns the index of a team. An unknown team is added with weight 1 and no limit.
TeamIndex findOrAddTeam(Shares &Teams, std::string_view Team);
std::optional<TeamIndex> findTeam(const Shares &Teams, std::string_view Team);

/// Sets the weight and the limit of a team from the configuration and its current allotment.
void setTeam(Shares &Teams, std::string_view Team, double Weight, const Allotment &Limit);

/// Sets the capacity to which shares are relative, usually CellView::Capacity_.
void setCapacity(Shares &Teams, const Resources &Capacity);

/// Adds \p Change, which may be negative, to the current usage of a team.
void addUsage(Shares &Teams, TeamIndex Team, const Resources &Change, TimePoint Now);

/// Returns the dominant share of \p Amount: the highest fraction of the capacity in any resource.
double dominantShare(const Shares &Teams, const Resources &Amount);

/// Updates the decayed usage of a team to \p Now.
void decay(Shares &Teams, TeamIndex Team, TimePoint Now);

/// Returns the rank of a team: the mean of its current and decayed dominant shares, divided by its
/// weight. The team with the lowest rank is served first. Call decay() before.
double rankOf(const Shares &Teams, TeamIndex Team);

/// Returns whether the team stays within its limit if its usage grows by \p Need.
bool withinLimit(const Shares &Teams, TeamIndex Team, const Resources &Need);

/// Returns how far the dominant share of each team in \p ActiveTeams deviates from its weighted
/// share of their total; positive if the team uses more.
std::vector<double> shareDeviations(const Shares &Teams, std::span<const TeamIndex> ActiveTeams);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_SHARES_H
