#include "masticdrift/policy/Quarantine.h"

#include <algorithm>

namespace masticdrift::policy {

bool recordTaskEnd(Quarantine &Records, CellView &Cell, WorkerIndex HostIndex, std::string_view Job,
                   TimePoint Started, bool Succeeded, TimePoint Now) {
  const Health Before = Cell.Workers_[HostIndex].Health_;
  const std::string &Name = Cell.Workers_[HostIndex].Name_;
  if (Succeeded) {
    const auto Existing = Records.Workers_.find(Name);
    if (Existing == Records.Workers_.end() || Started < Existing->second.FirstFailureAt_)
      return false;
    Records.Workers_.erase(Existing);
    if (Before != Health::Healthy)
      setHealth(Cell, HostIndex, Health::Healthy);
    return Before != Health::Healthy;
  }
  WorkerRecord &Record = Records.Workers_[Name];
  if (Record.FailedJobs_.empty())
    Record.FirstFailureAt_ = Now;
  if (std::find(Record.FailedJobs_.begin(), Record.FailedJobs_.end(), Job) ==
          Record.FailedJobs_.end() &&
      Record.FailedJobs_.size() < Records.Rules_.ConsecutiveFailures_)
    Record.FailedJobs_.emplace_back(Job);
  if (Before == Health::Healthy && Record.FailedJobs_.size() < Records.Rules_.ConsecutiveFailures_)
    return false;
  if (Before == Health::Probing)
    ++Record.FailedProbes_;
  // Failures of tasks that started before the quarantine do not extend it.
  if (Before != Health::Quarantined)
    Record.NextProbeAt_ =
        Now + std::min<Duration>(Records.Rules_.MaxBackOff_,
                                 Records.Rules_.FirstBackOff_ *
                                     (1LL << std::min<std::uint32_t>(Record.FailedProbes_, 16)));
  setHealth(Cell, HostIndex, Health::Quarantined);
  return Before != Health::Quarantined;
}

void allowProbes(Quarantine &Records, CellView &Cell, TimePoint Now) {
  for (const auto &[Name, Record] : Records.Workers_) {
    const auto HostIndex = findWorker(Cell, Name);
    if (HostIndex && Cell.Workers_[*HostIndex].Health_ == Health::Quarantined &&
        Record.NextProbeAt_ <= Now)
      setHealth(Cell, *HostIndex, Health::Probing);
  }
}

void forgetWorker(Quarantine &Records, CellView &Cell, WorkerIndex HostIndex) {
  Records.Workers_.erase(Cell.Workers_[HostIndex].Name_);
  if (Cell.Workers_[HostIndex].Health_ != Health::Healthy)
    setHealth(Cell, HostIndex, Health::Healthy);
}

} // namespace masticdrift::policy
