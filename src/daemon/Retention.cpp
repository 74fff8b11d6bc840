#include "masticdrift/daemon/Retention.h"

#include "masticdrift/core/Log.h"

namespace masticdrift::daemon {

namespace {

/// Between removals; they share the budget of calls with everything else.
constexpr core::Millis SpecsSpacing{1000};
constexpr core::Millis JobsSpacing{5000};
/// Jobs forgotten in one call.
constexpr std::size_t MostForgotten = 200;
/// Beyond the time that a job's state has to be known: clocks differ.
constexpr std::int64_t ForgetMarginMs = 15'000;
constexpr core::Millis AppendTimeout{2000};

} // namespace

void Retention::tidy(core::TimePoint Now, std::int64_t WallMs) {
  if (Calls_ > 0)
    return;
  if (Now >= NextSpecs_ && !Ended_.empty()) {
    NextSpecs_ = Now + SpecsSpacing;
    dropSpecs();
  }
  if (Now >= NextJobs_) {
    NextJobs_ = Now + JobsSpacing;
    forgetJobs(WallMs);
  }
}

void Retention::dropSpecs() {
  std::vector<platform::KeyedRecord> Records;
  for (const std::string &Id : Ended_)
    Records.push_back({0, Id, {}});
  append(SpecsTopic, std::move(Records), std::exchange(Ended_, {}));
}

void Retention::forgetJobs(std::int64_t WallMs) {
  const std::int64_t Before = WallMs - Context_.Settings_.EndedJobRetentionMs_ - ForgetMarginMs;
  std::vector<platform::KeyedRecord> Records;
  std::size_t Count = 0;
  for (const auto &[Id, Job] : Context_.Ledger_.jobs()) {
    if (Count == MostForgotten)
      break;
    if (!Job.Accepted_ || !Job.Progress_ || !work::isFinal(Job.Progress_->State_) ||
        Job.Progress_->FinalMs_ >= Before)
      continue;
    ++Count;
    for (work::LogRecord &One : work::encodeTombstones(Id))
      Records.push_back({0, std::move(One.Key_), {}});
  }
  if (Count == 0)
    return;
  core::log(core::LogLevel::Info, "forgets ended jobs", {{"count", std::to_string(Count)}});
  append(JobsTopic, std::move(Records), {});
}

void Retention::append(const char *Topic, std::vector<platform::KeyedRecord> Records,
                       std::vector<std::string> Again) {
  ++Calls_;
  Context_.Store_.append(Topic, Records, {}, AppendTimeout,
                         [this, Held = std::weak_ptr<bool>(Alive_), Topic = std::string(Topic),
                          Again = std::move(Again)](const platform::AppendResult &Result) {
                           if (Held.expired())
                             return;
                           --Calls_;
                           if (Result.Outcome_ == platform::AppendOutcome::Stored)
                             return;
                           core::log(core::LogLevel::Warning, "removal was not confirmed",
                                     {{"topic", Topic}, {"detail", Result.Detail_}});
                           Ended_.insert(Ended_.end(), Again.begin(), Again.end());
                         });
}

} // namespace masticdrift::daemon
