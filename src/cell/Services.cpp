#include "masticdrift/cell/Services.h"

#include "masticdrift/core/Clock.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <ranges>
#include <set>

#include <xxhash.h>

namespace masticdrift::cell {

namespace {

/// Identifies a replica by service name and number.
using ReplicaKey = std::pair<std::string, std::int64_t>;

/// Existing jobs of one replica.
struct ReplicaJobs {
  const jobs::Job *LiveJob_ = nullptr;
  std::uint64_t NextGeneration_ = 0; ///< generation of the next job
};

/// Splits "service.<name>.<replica>.<generation>"; the name may contain dots.
bool parseRequestId(std::string_view Id, ReplicaKey &Key, std::uint64_t &Generation) {
  if (!Id.starts_with(ServiceRequestIdPrefix))
    return false;
  Id.remove_prefix(ServiceRequestIdPrefix.size());
  const std::size_t LastDot = Id.rfind('.');
  const std::size_t ReplicaDot =
      LastDot == std::string_view::npos || LastDot == 0 ? LastDot : Id.rfind('.', LastDot - 1);
  if (LastDot == std::string_view::npos || ReplicaDot == std::string_view::npos ||
      ReplicaDot >= LastDot)
    return false;
  const std::string_view ReplicaText = Id.substr(ReplicaDot + 1, LastDot - ReplicaDot - 1);
  const std::string_view GenerationText = Id.substr(LastDot + 1);
  Key.first = std::string(Id.substr(0, ReplicaDot));
  const auto ReplicaResult =
      std::from_chars(ReplicaText.data(), ReplicaText.data() + ReplicaText.size(), Key.second);
  const auto GenerationResult = std::from_chars(
      GenerationText.data(), GenerationText.data() + GenerationText.size(), Generation);
  return ReplicaResult.ec == std::errc() && GenerationResult.ec == std::errc();
}

std::map<ReplicaKey, ReplicaJobs> groupByReplica(std::span<const jobs::Job> Existing) {
  std::map<ReplicaKey, ReplicaJobs> Replicas;
  for (const jobs::Job &Job : Existing) {
    ReplicaKey Key;
    std::uint64_t Generation = 0;
    if (Job.Spec_->Kind_ != jobs::JobKind::Service ||
        !parseRequestId(Job.Spec_->RequestId_, Key, Generation))
      continue;
    ReplicaJobs &Replica = Replicas[Key];
    Replica.NextGeneration_ = std::max(Replica.NextGeneration_, Generation + 1);
    if (!jobs::isFinished(Job.State_))
      Replica.LiveJob_ = &Job;
  }
  return Replicas;
}

jobs::JobSpec makeSpec(const config::Service &Service, std::string_view Domain,
                       std::int64_t Replica, std::uint64_t Generation) {
  jobs::JobSpec Spec;
  Spec.Team_ = Service.Team_;
  Spec.Queue_ = "service";
  Spec.Kind_ = jobs::JobKind::Service;
  Spec.Need_ = Service.ReplicaResources_;
  Spec.Idempotent_ = true;
  Spec.RequestId_ = std::string(ServiceRequestIdPrefix) + Service.Name_ + "." +
                    std::to_string(Replica) + "." + std::to_string(Generation);
  Spec.Id_ = std::string(Domain) + "/" + Service.Team_ + "/" + Spec.RequestId_;
  Spec.Command_ = Service.Run_;
  Spec.AcceptedWallMs_ = core::wallMillis();
  Spec.Family_ = Service.Name_;
  return Spec;
}

bool hasSameDefinition(const jobs::JobSpec &Running, const config::Service &Wanted) {
  return Running.Team_ == Wanted.Team_ && Running.Need_ == Wanted.ReplicaResources_ &&
         Running.Command_ == Wanted.Run_;
}

bool isRunning(const jobs::Job &Job) {
  return std::ranges::any_of(
      Job.Tasks_, [](const jobs::Task &Task) { return Task.State_ == jobs::TaskState::Running; });
}

} // namespace

std::string_view domainOfReplica(const config::Configuration &Config,
                                 const config::Service &Service, std::int64_t Replica) {
  if (!Service.Domain_.empty() || Config.Domains_.empty())
    return Service.Domain_;
  const std::uint64_t FirstDomain = XXH3_64bits(Service.Name_.data(), Service.Name_.size());
  return Config
      .Domains_[(FirstDomain + static_cast<std::uint64_t>(Replica)) % Config.Domains_.size()]
      .Name_;
}

ServicePlan planServices(const config::Configuration &Config, std::string_view Domain,
                         std::span<const jobs::Job> Existing,
                         const std::function<bool(const config::Service &)> &RunsInOtherDomain) {
  ServicePlan Plan;
  const auto Present = groupByReplica(Existing);
  std::set<ReplicaKey> Wanted;
  std::set<std::string_view> RunsHere;
  std::set<std::string_view> HasReplicaHere;
  for (const std::size_t Index : config::startOrder(Config)) {
    const config::Service &Service = Config.Services_[Index];
    const bool DependenciesRun =
        std::ranges::all_of(Service.DependsOn_, [&](const std::string &Name) {
          const config::Service *Dependency = Config.service(Name);
          return RunsHere.contains(Name) ||
                 (Dependency && !HasReplicaHere.contains(Name) && RunsInOtherDomain(*Dependency));
        });
    for (std::int64_t Replica = 0; Replica < Service.Replicas_; ++Replica) {
      if (domainOfReplica(Config, Service, Replica) != Domain)
        continue;
      HasReplicaHere.insert(Service.Name_);
      const ReplicaKey Key{Service.Name_, Replica};
      Wanted.insert(Key);
      const auto Found = Present.find(Key);
      const jobs::Job *Live = Found == Present.end() ? nullptr : Found->second.LiveJob_;
      if (Live && isRunning(*Live))
        RunsHere.insert(Service.Name_);
      if (Live && !Live->CancelRequested_ && !hasSameDefinition(*Live->Spec_, Service))
        Plan.Cancel_.push_back(Live->Spec_->Id_);
      if (!Live && DependenciesRun)
        Plan.Accept_.push_back(makeSpec(
            Service, Domain, Replica, Found == Present.end() ? 0 : Found->second.NextGeneration_));
    }
  }
  // Dependents stop before their dependencies.
  std::ranges::reverse(Plan.Cancel_);
  for (const auto &[Key, Replica] : Present)
    if (!Wanted.contains(Key) && Replica.LiveJob_ && !Replica.LiveJob_->CancelRequested_)
      Plan.Cancel_.push_back(Replica.LiveJob_->Spec_->Id_);
  return Plan;
}

} // namespace masticdrift::cell
