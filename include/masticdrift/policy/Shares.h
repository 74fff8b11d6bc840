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
  Resources Work_{std::numeric_limits<std::int64_t>::max(),
                  std::numeric_limits<std::int64_t>::max(),
                  std::numeric_limits<std::int64_t>::max()};
};

/// Usage of one team.
struct TeamShare {
  std::string Name_;
  double Weight_ = 1;
  Allotment Limit_;
  Resources Running_;   ///< sizes of all placements of the team
  double Usage_ = 0;    ///< decayed average of the dominant share
  TimePoint Updated_{}; ///< time up to which Usage_ is counted
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
TeamIndex teamIndex(Shares &All, std::string_view Team);
std::optional<TeamIndex> findTeam(const Shares &All, std::string_view Team);

/// Sets weight and limit from the configuration and the current allotment.
void setTeam(Shares &All, std::string_view Team, double Weight, const Allotment &Limit);

/// Sets the capacity against which shares are counted (CellView::Capacity_).
void setCapacity(Shares &All, const Resources &Capacity);

/// Records that the team's placements grew or shrank by \p Change.
void addUsage(Shares &All, TeamIndex Team, const Resources &Change, TimePoint Now);

/// \returns the largest part of any resource that \p Amount is of the capacity.
double dominantPart(const Shares &All, const Resources &Amount);

/// Brings the decayed usage up to \p Now.
void decay(Shares &All, TeamIndex Team, TimePoint Now);

/// \returns the order of teams: the mean of current and decayed dominant share, divided by the
/// weight. The lowest goes first. Decayed usage must be up to date.
double rankOf(const Shares &All, TeamIndex Team);

/// \returns true when the team may use \p Need more.
bool withinLimit(const Shares &All, TeamIndex Team, const Resources &Need);

/// \returns the distance of each team in \p Busy from its share of what these teams use together,
/// as part of the cell; positive when it uses more.
std::vector<double> distances(const Shares &All, std::span<const TeamIndex> Busy);

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_SHARES_H
