#include "masticdrift/policy/Quarantine.h"

#include <algorithm>

namespace masticdrift::policy {

bool recordEnd(Quarantine &All, CellView &Cell, WorkerIndex Where, std::string_view Job,
               TimePoint Started, bool Succeeded, TimePoint Now) {
  const Health Before = Cell.Workers_[Where].Health_;
  const std::string &Name = Cell.Workers_[Where].Name_;
  if (Succeeded) {
    const auto Known = All.Workers_.find(Name);
    if (Known == All.Workers_.end() || Started < Known->second.FirstFailure_)
      return false;
    All.Workers_.erase(Known);
    if (Before != Health::Healthy)
      setHealth(Cell, Where, Health::Healthy);
    return Before != Health::Healthy;
  }
  WorkerRecord &Record = All.Workers_[Name];
  if (Record.FailedJobs_.empty())
    Record.FirstFailure_ = Now;
  if (std::find(Record.FailedJobs_.begin(), Record.FailedJobs_.end(), Job) ==
          Record.FailedJobs_.end() &&
      Record.FailedJobs_.size() < All.Rules_.FailuresInRow_)
    Record.FailedJobs_.emplace_back(Job);
  if (Before == Health::Healthy && Record.FailedJobs_.size() < All.Rules_.FailuresInRow_)
    return false;
  if (Before == Health::Probing)
    ++Record.FailedProbes_;
  // Tasks started before the quarantine may still fail; they do not extend it.
  if (Before != Health::Quarantined)
    Record.NextProbe_ =
        Now + std::min<Duration>(All.Rules_.MostBackOff_,
                                 All.Rules_.FirstProbe_ *
                                     (1LL << std::min<std::uint32_t>(Record.FailedProbes_, 16)));
  setHealth(Cell, Where, Health::Quarantined);
  return Before != Health::Quarantined;
}

void openProbes(Quarantine &All, CellView &Cell, TimePoint Now) {
  for (const auto &[Name, Record] : All.Workers_) {
    const auto Where = findWorker(Cell, Name);
    if (Where && Cell.Workers_[*Where].Health_ == Health::Quarantined && Record.NextProbe_ <= Now)
      setHealth(Cell, *Where, Health::Probing);
  }
}

void forgetWorker(Quarantine &All, CellView &Cell, WorkerIndex Where) {
  All.Workers_.erase(Cell.Workers_[Where].Name_);
  if (Cell.Workers_[Where].Health_ != Health::Healthy)
    setHealth(Cell, Where, Health::Healthy);
}

} // namespace masticdrift::policy
