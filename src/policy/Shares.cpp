#include "masticdrift/policy/Shares.h"

#include <algorithm>
#include <cmath>

namespace masticdrift::policy {

TeamIndex teamIndex(Shares &All, std::string_view Team) {
  const auto [Found, IsNew] =
      All.ByName_.try_emplace(std::string(Team), static_cast<TeamIndex>(All.Teams_.size()));
  if (IsNew)
    All.Teams_.push_back({.Name_ = std::string(Team)});
  return Found->second;
}

std::optional<TeamIndex> findTeam(const Shares &All, std::string_view Team) {
  const auto Found = All.ByName_.find(std::string(Team));
  if (Found == All.ByName_.end())
    return std::nullopt;
  return Found->second;
}

void setTeam(Shares &All, std::string_view Team, double Weight, const Allotment &Limit) {
  TeamShare &One = All.Teams_[teamIndex(All, Team)];
  One.Weight_ = std::max(Weight, 1e-6);
  One.Limit_ = Limit;
}

void setCapacity(Shares &All, const Resources &Capacity) { All.Capacity_ = Capacity; }

void addUsage(Shares &All, TeamIndex Team, const Resources &Change, TimePoint Now) {
  decay(All, Team, Now);
  All.Teams_[Team].Running_ += Change;
}

double dominantPart(const Shares &All, const Resources &Amount) {
  const auto Parts = amounts(Amount);
  const auto Whole = amounts(All.Capacity_);
  double Most = 0;
  for (std::size_t I = 0; I < Parts.size(); ++I)
    if (Whole[I] > 0)
      Most = std::max(Most, static_cast<double>(Parts[I]) / static_cast<double>(Whole[I]));
  return Most;
}

void decay(Shares &All, TeamIndex Team, TimePoint Now) {
  TeamShare &One = All.Teams_[Team];
  if (Now <= One.Updated_)
    return;
  const double Halves = std::chrono::duration<double>(Now - One.Updated_).count() /
                        std::chrono::duration<double>(All.HalfLife_).count();
  const double Keep = std::exp2(-Halves);
  One.Usage_ = Keep * One.Usage_ + (1 - Keep) * dominantPart(All, One.Running_);
  One.Updated_ = Now;
}

double rankOf(const Shares &All, TeamIndex Team) {
  const TeamShare &One = All.Teams_[Team];
  return (dominantPart(All, One.Running_) + One.Usage_) / 2 / One.Weight_;
}

bool withinLimit(const Shares &All, TeamIndex Team, const Resources &Need) {
  const TeamShare &One = All.Teams_[Team];
  const auto Limit = amounts(One.Limit_.Work_);
  const auto Running = amounts(One.Running_);
  const auto More = amounts(Need);
  for (std::size_t I = 0; I < Limit.size(); ++I)
    if (More[I] > 0 && Running[I] > Limit[I] - More[I])
      return false;
  return true;
}

std::vector<double> distances(const Shares &All, std::span<const TeamIndex> Busy) {
  double Used = 0;
  double Weights = 0;
  for (const TeamIndex Team : Busy) {
    Used += dominantPart(All, All.Teams_[Team].Running_);
    Weights += All.Teams_[Team].Weight_;
  }
  std::vector<double> Result;
  for (const TeamIndex Team : Busy)
    Result.push_back(dominantPart(All, All.Teams_[Team].Running_) -
                     Used * All.Teams_[Team].Weight_ / Weights);
  return Result;
}

} // namespace masticdrift::policy
