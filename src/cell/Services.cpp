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

/// One wanted replica: service name and number.
using ReplicaKey = std::pair<std::string, std::int64_t>;

/// What exists of one replica.
struct Generations {
  const jobs::Job *Live_ = nullptr;
  std::uint64_t Next_ = 0; ///< generation of the next job
};

/// Splits "service.<name>.<replica>.<generation>"; the name may contain dots.
bool parseRequestId(std::string_view Id, ReplicaKey &Key, std::uint64_t &Generation) {
  if (!Id.starts_with(ServicePrefix))
    return false;
  Id.remove_prefix(ServicePrefix.size());
  const std::size_t Last = Id.rfind('.');
  const std::size_t Before =
      Last == std::string_view::npos || Last == 0 ? Last : Id.rfind('.', Last - 1);
  if (Last == std::string_view::npos || Before == std::string_view::npos || Before >= Last)
    return false;
  const std::string_view Replica = Id.substr(Before + 1, Last - Before - 1);
  const std::string_view Number = Id.substr(Last + 1);
  Key.first = std::string(Id.substr(0, Before));
  const auto First = std::from_chars(Replica.data(), Replica.data() + Replica.size(), Key.second);
  const auto Second = std::from_chars(Number.data(), Number.data() + Number.size(), Generation);
  return First.ec == std::errc() && Second.ec == std::errc();
}

std::map<ReplicaKey, Generations> group(std::span<const jobs::Job> Existing) {
  std::map<ReplicaKey, Generations> All;
  for (const jobs::Job &One : Existing) {
    ReplicaKey Key;
    std::uint64_t Generation = 0;
    if (One.Spec_->Kind_ != jobs::JobKind::Service ||
        !parseRequestId(One.Spec_->RequestId_, Key, Generation))
      continue;
    Generations &Of = All[Key];
    Of.Next_ = std::max(Of.Next_, Generation + 1);
    if (!jobs::isFinished(One.State_))
      Of.Live_ = &One;
  }
  return All;
}

jobs::JobSpec specOf(const config::Service &Service, std::string_view Domain, std::int64_t Replica,
                     std::uint64_t Generation) {
  jobs::JobSpec To;
  To.Team_ = Service.Team_;
  To.Queue_ = "service";
  To.Kind_ = jobs::JobKind::Service;
  To.Need_ = Service.ReplicaResources_;
  To.Idempotent_ = true;
  To.RequestId_ = std::string(ServicePrefix) + Service.Name_ + "." + std::to_string(Replica) + "." +
                  std::to_string(Generation);
  To.Id_ = std::string(Domain) + "/" + Service.Team_ + "/" + To.RequestId_;
  To.Command_ = Service.Run_;
  To.AcceptedWallMs_ = core::wallMillis();
  To.Family_ = Service.Name_;
  return To;
}

bool sameDefinition(const jobs::JobSpec &Running, const config::Service &Wanted) {
  return Running.Team_ == Wanted.Team_ && Running.Need_ == Wanted.ReplicaResources_ &&
         Running.Command_ == Wanted.Run_;
}

bool isRunning(const jobs::Job &Of) {
  return std::ranges::any_of(
      Of.Tasks_, [](const jobs::Task &One) { return One.State_ == jobs::TaskState::Running; });
}

} // namespace

std::string_view domainOfReplica(const config::Configuration &Of, const config::Service &Service,
                                 std::int64_t Replica) {
  if (!Service.Domain_.empty() || Of.Domains_.empty())
    return Service.Domain_;
  const std::uint64_t First = XXH3_64bits(Service.Name_.data(), Service.Name_.size());
  return Of.Domains_[(First + static_cast<std::uint64_t>(Replica)) % Of.Domains_.size()].Name_;
}

ServicePlan planServices(const config::Configuration &Of, std::string_view Domain,
                         std::span<const jobs::Job> Existing,
                         const std::function<bool(const config::Service &)> &RunsElsewhere) {
  ServicePlan Plan;
  const auto Present = group(Existing);
  std::set<ReplicaKey> Wanted;
  std::set<std::string_view> RunsHere;
  std::set<std::string_view> HasReplicaHere;
  for (const std::size_t Index : config::startOrder(Of)) {
    const config::Service &Service = Of.Services_[Index];
    const bool Ready = std::ranges::all_of(Service.DependsOn_, [&](const std::string &Name) {
      const config::Service *Other = Of.service(Name);
      return RunsHere.contains(Name) ||
             (Other && !HasReplicaHere.contains(Name) && RunsElsewhere(*Other));
    });
    for (std::int64_t Replica = 0; Replica < Service.Replicas_; ++Replica) {
      if (domainOfReplica(Of, Service, Replica) != Domain)
        continue;
      HasReplicaHere.insert(Service.Name_);
      const ReplicaKey Key{Service.Name_, Replica};
      Wanted.insert(Key);
      const auto Found = Present.find(Key);
      const jobs::Job *Live = Found == Present.end() ? nullptr : Found->second.Live_;
      if (Live && isRunning(*Live))
        RunsHere.insert(Service.Name_);
      if (Live && !Live->CancelRequested_ && !sameDefinition(*Live->Spec_, Service))
        Plan.Cancel_.push_back(Live->Spec_->Id_);
      if (!Live && Ready)
        Plan.Accept_.push_back(
            specOf(Service, Domain, Replica, Found == Present.end() ? 0 : Found->second.Next_));
    }
  }
  // What depends on others stops first.
  std::ranges::reverse(Plan.Cancel_);
  for (const auto &[Key, Of] : Present)
    if (!Wanted.contains(Key) && Of.Live_ && !Of.Live_->CancelRequested_)
      Plan.Cancel_.push_back(Of.Live_->Spec_->Id_);
  return Plan;
}

} // namespace masticdrift::cell
