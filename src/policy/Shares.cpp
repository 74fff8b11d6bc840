#include "masticdrift/policy/Shares.h"

#include <algorithm>
#include <cmath>

namespace masticdrift::policy {

TeamIndex findOrAddTeam(Shares &Teams, std::string_view Team) {
  const auto [Found, IsNew] =
      Teams.ByName_.try_emplace(std::string(Team), static_cast<TeamIndex>(Teams.Teams_.size()));
  if (IsNew)
    Teams.Teams_.push_back({.Name_ = std::string(Team)});
  return Found->second;
}

std::optional<TeamIndex> findTeam(const Shares &Teams, std::string_view Team) {
  const auto Found = Teams.ByName_.find(std::string(Team));
  if (Found == Teams.ByName_.end())
    return std::nullopt;
  return Found->second;
}

void setTeam(Shares &Teams, std::string_view Team, double Weight, const Allotment &Limit) {
  TeamShare &Share = Teams.Teams_[findOrAddTeam(Teams, Team)];
  Share.Weight_ = std::max(Weight, 1e-6);
  Share.Limit_ = Limit;
}

void setCapacity(Shares &Teams, const Resources &Capacity) { Teams.Capacity_ = Capacity; }

void addUsage(Shares &Teams, TeamIndex Team, const Resources &Change, TimePoint Now) {
  decay(Teams, Team, Now);
  Teams.Teams_[Team].CurrentUsage_ += Change;
}

double dominantShare(const Shares &Teams, const Resources &Amount) {
  const auto Parts = amounts(Amount);
  const auto Capacity = amounts(Teams.Capacity_);
  double Largest = 0;
  for (std::size_t I = 0; I < Parts.size(); ++I)
    if (Capacity[I] > 0)
      Largest = std::max(Largest, static_cast<double>(Parts[I]) / static_cast<double>(Capacity[I]));
  return Largest;
}

void decay(Shares &Teams, TeamIndex Team, TimePoint Now) {
  TeamShare &Share = Teams.Teams_[Team];
  if (Now <= Share.UpdatedAt_)
    return;
  const double HalfLives = std::chrono::duration<double>(Now - Share.UpdatedAt_).count() /
                           std::chrono::duration<double>(Teams.HalfLife_).count();
  const double Retained = std::exp2(-HalfLives);
  Share.DecayedUsage_ =
      Retained * Share.DecayedUsage_ + (1 - Retained) * dominantShare(Teams, Share.CurrentUsage_);
  Share.UpdatedAt_ = Now;
}

double rankOf(const Shares &Teams, TeamIndex Team) {
  const TeamShare &Share = Teams.Teams_[Team];
  return (dominantShare(Teams, Share.CurrentUsage_) + Share.DecayedUsage_) / 2 / Share.Weight_;
}

bool withinLimit(const Shares &Teams, TeamIndex Team, const Resources &Need) {
  const TeamShare &Share = Teams.Teams_[Team];
  const auto Limit = amounts(Share.Limit_.Resources_);
  const auto Running = amounts(Share.CurrentUsage_);
  const auto Requested = amounts(Need);
  for (std::size_t I = 0; I < Limit.size(); ++I)
    if (Requested[I] > 0 && Running[I] > Limit[I] - Requested[I])
      return false;
  return true;
}

std::vector<double> shareDeviations(const Shares &Teams, std::span<const TeamIndex> ActiveTeams) {
  double Used = 0;
  double Weights = 0;
  for (const TeamIndex Team : ActiveTeams) {
    Used += dominantShare(Teams, Teams.Teams_[Team].CurrentUsage_);
    Weights += Teams.Teams_[Team].Weight_;
  }
  std::vector<double> Result;
  for (const TeamIndex Team : ActiveTeams)
    Result.push_back(dominantShare(Teams, Teams.Teams_[Team].CurrentUsage_) -
                     Used * Teams.Teams_[Team].Weight_ / Weights);
  return Result;
}

} // namespace masticdrift::policy
