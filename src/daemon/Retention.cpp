#include "masticdrift/daemon/Retention.h"

#include "masticdrift/core/Log.h"

namespace masticdrift::daemon {

namespace {

/// Intervals between removals, which share the limit of store calls with all other calls.
constexpr core::Millis SpecRemovalInterval{1000};
constexpr core::Millis JobRemovalInterval{5000};
/// The same while an append does not suffice for all jobs that are due.
constexpr core::Millis BacklogRemovalInterval{500};
/// Added to the time for which a job's state must be reported, because clocks differ.
constexpr std::int64_t RetentionMarginMs = 15'000;
constexpr core::Millis AppendTimeout{2000};

} // namespace

core::Millis pauseAfterRemoval(std::size_t Jobs) {
  return Jobs < MaxJobsPerRemoval ? JobRemovalInterval : BacklogRemovalInterval;
}

void Retention::removeDue(core::TimePoint Now, std::int64_t WallMs) {
  if (AppendsInFlight_ > 0)
    return;
  if (Now >= NextSpecRemoval_ && !FinishedJobs_.empty()) {
    NextSpecRemoval_ = Now + SpecRemovalInterval;
    removeSpecs();
  }
  if (Now >= NextJobRemoval_) {
    removeJobs(Now, WallMs);
  }
}

void Retention::removeSpecs() {
  std::vector<platform::KeyedRecord> Records;
  for (const std::string &Id : FinishedJobs_)
    Records.push_back({0, Id, {}});
  append(SpecsTopic, std::move(Records), std::exchange(FinishedJobs_, {}));
}

void Retention::removeJobs(core::TimePoint Now, std::int64_t WallMs) {
  const std::int64_t FinalBeforeMs =
      WallMs - Context_.Settings_.EndedJobRetentionMs_ - RetentionMarginMs;
  std::vector<platform::KeyedRecord> Records;
  std::size_t Count = 0;
  for (const auto &[Id, Job] : Context_.JobTable_.jobs()) {
    if (Count == MaxJobsPerRemoval)
      break;
    if (!Job.Accepted_ || !Job.Progress_ || !work::isFinal(Job.Progress_->State_) ||
        Job.Progress_->FinalMs_ >= FinalBeforeMs)
      continue;
    ++Count;
    for (work::LogRecord &Entry : work::encodeTombstones(Id))
      Records.push_back({0, std::move(Entry.Key_), {}});
  }
  NextJobRemoval_ = Now + pauseAfterRemoval(Count);
  if (Count == 0)
    return;
  core::log(core::LogLevel::Info, "removing ended jobs", {{"count", std::to_string(Count)}});
  append(JobsTopic, std::move(Records), {});
}

void Retention::append(const char *Topic, std::vector<platform::KeyedRecord> Records,
                       std::vector<std::string> RetryIds) {
  ++AppendsInFlight_;
  Context_.Store_.append(Topic, Records, {}, AppendTimeout,
                         [this, WeakAlive = std::weak_ptr<bool>(Alive_), Topic = std::string(Topic),
                          RetryIds = std::move(RetryIds)](const platform::AppendResult &Result) {
                           if (WeakAlive.expired())
                             return;
                           --AppendsInFlight_;
                           if (Result.Outcome_ == platform::AppendOutcome::Stored)
                             return;
                           core::log(core::LogLevel::Warning, "removal was not confirmed",
                                     {{"topic", Topic}, {"detail", Result.Detail_}});
                           FinishedJobs_.insert(FinishedJobs_.end(), RetryIds.begin(),
                                                RetryIds.end());
                         });
}

} // namespace masticdrift::daemon
