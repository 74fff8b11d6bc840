#include "masticdrift/daemon/VerdictMemory.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace masticdrift::daemon {

namespace {

std::size_t sizeOf(const protocol::KnownVerdicts &Verdicts) {
  std::size_t Bytes = Verdicts.JobId_.size();
  for (const auto *Texts : {&Verdicts.Allowed_, &Verdicts.Tickets_, &Verdicts.Excluded_})
    for (const std::string &Text : *Texts)
      Bytes += Text.size();
  return Bytes;
}

} // namespace

void VerdictMemory::add(const protocol::AdviseRequest &Call,
                        const std::vector<fleet::AdvisedExecutor> &Allowed, core::TimePoint Now) {
  Entry Added{{Call.JobId_, Call.Occurrence_, Call.Step_, {}, {}, {}, 0}, Now, 0};
  std::set<std::string_view> AllowedIds;
  for (const fleet::AdvisedExecutor &Executor : Allowed) {
    AllowedIds.insert(Executor.Executor_);
    Added.Verdicts_.Allowed_.push_back(Executor.Executor_);
    Added.Verdicts_.Tickets_.push_back(Executor.Ticket_);
  }
  for (const std::string &Id : Call.Executors_)
    if (!AllowedIds.contains(Id))
      Added.Verdicts_.Excluded_.push_back(Id);
  Added.Bytes_ = sizeOf(Added.Verdicts_);
  Bytes_ += Added.Bytes_;
  Entries_.push_back(std::move(Added));
  while (!Entries_.empty() &&
         (Bytes_ > MaxVerdictBytes || Now - Entries_.front().AnsweredAt_ > VerdictRetention)) {
    Bytes_ -= Entries_.front().Bytes_;
    Entries_.pop_front();
  }
}

std::vector<protocol::KnownVerdicts> VerdictMemory::list(core::TimePoint Now) const {
  std::vector<protocol::KnownVerdicts> Verdicts;
  for (auto Known = Entries_.rbegin(); Known != Entries_.rend(); ++Known) {
    if (Now - Known->AnsweredAt_ > VerdictRetention)
      break;
    Verdicts.push_back(Known->Verdicts_);
    Verdicts.back().AgeMs_ = core::toMillis(Now - Known->AnsweredAt_);
  }
  return Verdicts;
}

std::vector<protocol::KnownVerdicts> VerdictMemory::take(core::TimePoint Now) {
  std::vector<protocol::KnownVerdicts> Verdicts = list(Now);
  Entries_.clear();
  Bytes_ = 0;
  return Verdicts;
}

} // namespace masticdrift::daemon
