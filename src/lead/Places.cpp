// Places: evacuated failure domains, cold executors, and the regions in which jobs may run.
#include "masticdrift/lead/Scheduler.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

/// \returns the regions that both lists allow, or nothing when neither is a restriction.
std::optional<std::set<std::string, std::less<>>>
commonRegions(const std::vector<std::string> &Left, const std::vector<std::string> &Right) {
  if (Left.empty() && Right.empty())
    return std::nullopt;
  std::set<std::string, std::less<>> Regions(Left.begin(), Left.end());
  if (Left.empty())
    Regions.insert(Right.begin(), Right.end());
  else if (!Right.empty())
    std::erase_if(Regions, [&](const std::string &Region) {
      return std::ranges::find(Right, Region) == Right.end();
    });
  return Regions;
}

} // namespace

void Scheduler::enablePlaces(std::map<std::string, std::string, std::less<>> RegionOfDomain) {
  PlacesEnabled_ = true;
  RegionOfDomain_ = std::move(RegionOfDomain);
}

void Scheduler::setEvacuatedDomains(std::set<std::string, std::less<>> Domains,
                                    core::TimePoint Now) {
  if (Domains == EvacuatedDomains_)
    return;
  EvacuatedDomains_ = std::move(Domains);
  for (auto &[Id, Executor] : Executors_) {
    const bool Evacuated = EvacuatedDomains_.contains(Executor.Info_.Domain_);
    if (std::exchange(Executor.Evacuated_, Evacuated) != Evacuated)
      noteRoomChange(Executor);
  }
  PlacementDue_ = true;
  NextPlacementAt_ = std::min(NextPlacementAt_, Now);
}

void Scheduler::updatePlace(ExecutorState &Executor, core::TimePoint Now) {
  Executor.Evacuated_ = EvacuatedDomains_.contains(Executor.Info_.Domain_);
  if (!PlacesEnabled_)
    return;
  const auto Region = RegionOfDomain_.find(Executor.Info_.Domain_);
  Executor.Region_ = Region == RegionOfDomain_.end() ? std::string() : Region->second;
  Executor.ColdUntil_ = Executor.Info_.ColdRemainingMs_ > 0
                            ? Now + core::Millis(Executor.Info_.ColdRemainingMs_)
                            : core::TimePoint{};
}

void Scheduler::updateRegions(TrackedJob &Job) const {
  Job.Regions_.reset();
  if (!PlacesEnabled_)
    return;
  const auto Customer = Manifest_.Customers_.find(Job.Acceptance_.Customer_);
  Job.Regions_ = commonRegions(Job.Queue_.AllowedRegions_, Customer == Manifest_.Customers_.end()
                                                               ? std::vector<std::string>()
                                                               : Customer->second.AllowedRegions_);
}

} // namespace masticdrift::lead
