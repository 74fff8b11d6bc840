/// \file
/// Weighted dominant-resource shares with decayed usage, and the hard limits of teams.
#ifndef MASTICDRIFT_POLICY_SHARES_H
#define MASTICDRIFT_POLICY_SHARES_H

#include "masticdrift/policy/Cell.h"

#include <limits>
#include <span>

namespace masticdrift::policy {

/// What one team may use in this failure domain at most.
struct Allotment {
  std::uint32_t Slots_ = std::numeric_limits<std::uint32_t>::max(); ///< executor slots
  Resources Resources_{std::numeric_limits<std::int64_t>::max(),
                       std::numeric_limits<std::int64_t>::max(),
                       std::numeric_limits<std::int64_t>::max()};
};

/// Usage of one team.
struct TeamShare {
  std::string Name_;
  double Weight_ = 1;
  Allotment Limit_;
  Resources CurrentUsage_;  ///< sizes of all placements of the team
  double DecayedUsage_ = 0; ///< decayed average of the dominant share
  TimePoint UpdatedAt_{};   ///< time up to which DecayedUsage_ is counted
};

/// All teams of a failure domain.
struct Shares {
  Resources Capacity_; ///< set by setCapacity
  /// Usage older than this counts half. Long enough to even out job sizes, short enough that a team
  /// that was idle does not monopolise the cell.
  Duration HalfLife_ = std::chrono::seconds(60);
  std::vector<TeamShare> Teams_;
  std::unordered_map<std::string, std::uint32_t> ByName_;
};

using TeamIndex = std::uint32_t;

/// \returns the index of a team, which is added with weight 1 and no limit when unknown.
TeamIndex findOrAddTeam(Shares &Teams, std::string_view Team);
std::optional<TeamIndex> findTeam(const Shares &Teams, std::string_view Team);

/// Sets weight and limit from the configuration and the current allotment.
void setTeam(Shares &Teams, std::string_view Team, double Weight, const Allotment &Limit);

/// Sets the capacity against which shares are counted (CellView::Capacity_).
void setCapacity(Shares &Teams, const Resources &Capacity);

/// Records that the team's placements grew or shrank by \p Change.
void addUsage(Shares &Teams, TeamIndex Team, const Resources &Change, TimePoint Now);

/// \returns the largest part of any resource that \p Amount is of the capacity.
double dominantShare(const Shares &Teams, const Resources &Amount);

/// Brings the decayed usage up to \p Now.
void decay(Shares &Teams, TeamIndex Team, TimePoint Now);

/// \returns the order of teams: the mean of current and decayed dominant share, divided by the
/// weight. The lowest goes first. Decayed usage must be up to date.
double rankOf(const Shares &Teams, TeamIndex Team);

/// \returns true when the team may use \p Need more.
bool withinLimit(const Shares &Teams, TeamIndex Team, const Resources &Need);

/// \returns the distance of each team in \p Busy from its share of what these teams use together,
/// as part of the cell; positive when it uses more.
std::vector<double> shareDeviations(const Shares &Teams, std::span<const TeamIndex> ActiveTeams);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_SHARES_H
