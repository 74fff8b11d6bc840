#include "masticdrift/lead/Suspicion.h"

#include <algorithm>
#include <span>

namespace masticdrift::lead {

namespace {

bool concerns(const work::SuspectTask &Suspect, const work::TaskRef &Task) {
  return Suspect.Occurrence_ == Task.Occurrence_ && Suspect.Step_ == Task.Step_ &&
         Suspect.Index_ == Task.Index_;
}

std::span<const work::SuspectRun> suspectRuns(const work::ProgressRecord &Record,
                                              const work::TaskRef &Task) {
  const auto Found = std::ranges::find_if(
      Record.Suspects_, [&](const auto &Suspect) { return concerns(Suspect, Task); });
  return Found == Record.Suspects_.end() ? std::span<const work::SuspectRun>() : Found->Runs_;
}

/// Counts the open suspicions that meet \p Condition.
template <typename Predicate>
std::vector<work::TaskRef> confirmIf(work::ProgressRecord &Record, std::string_view Job,
                                     Predicate Condition) {
  std::vector<work::TaskRef> Confirmed;
  for (work::SuspectTask &Suspect : Record.Suspects_)
    for (work::SuspectRun &Run : Suspect.Runs_) {
      if (Run.Crashed_ || !Condition(Run))
        continue;
      Run.Crashed_ = true;
      Confirmed.push_back({std::string(Job), Suspect.Occurrence_, Suspect.Step_, Suspect.Index_});
    }
  return Confirmed;
}

} // namespace

std::size_t crashCount(const work::ProgressRecord &Record, const work::TaskRef &Task) {
  const std::span<const work::SuspectRun> Runs = suspectRuns(Record, Task);
  return static_cast<std::size_t>(std::ranges::count(Runs, true, &work::SuspectRun::Crashed_));
}

std::size_t confirmedCrashCount(const work::ProgressRecord &Record, const work::TaskRef &Task) {
  const std::span<const work::SuspectRun> Runs = suspectRuns(Record, Task);
  return static_cast<std::size_t>(std::ranges::count_if(
      Runs, [](const work::SuspectRun &Suspect) { return Suspect.Crashed_ && Suspect.Started_; }));
}

bool hasOpenSuspicion(const work::ProgressRecord &Record, const work::TaskRef &Task) {
  return std::ranges::any_of(suspectRuns(Record, Task),
                             [](const work::SuspectRun &Run) { return !Run.Crashed_; });
}

bool hasCrashedAt(const work::ProgressRecord &Record, const work::TaskRef &Task,
                  std::string_view Address) {
  return std::ranges::any_of(suspectRuns(Record, Task), [&](const work::SuspectRun &Run) {
    return Run.Crashed_ && Run.Address_ == Address;
  });
}

bool addSuspicion(work::ProgressRecord &Record, const work::TaskRef &Task, work::SuspectRun Run) {
  auto Suspect = std::ranges::find_if(
      Record.Suspects_, [&](const auto &Existing) { return concerns(Existing, Task); });
  if (Suspect == Record.Suspects_.end())
    Suspect = Record.Suspects_.insert(Record.Suspects_.end(),
                                      {Task.Occurrence_, Task.Step_, Task.Index_, {}});
  const auto Known = std::ranges::find(Suspect->Runs_, Run.Run_, &work::SuspectRun::Run_);
  if (Known == Suspect->Runs_.end()) {
    Suspect->Runs_.push_back(std::move(Run));
    return true;
  }
  const bool NewlyCrashed = Run.Crashed_ && !Known->Crashed_;
  Known->Crashed_ = Known->Crashed_ || Run.Crashed_;
  return NewlyCrashed;
}

std::vector<work::TaskRef> confirmCrash(work::ProgressRecord &Record, std::string_view Job,
                                        std::string_view ExecutorId, std::int64_t Incarnation) {
  return confirmIf(Record, Job, [&](const work::SuspectRun &Run) {
    return Run.ExecutorId_ == ExecutorId && (Incarnation == 0 || Run.Incarnation_ != Incarnation);
  });
}

std::vector<work::TaskRef> confirmReplacement(work::ProgressRecord &Record, std::string_view Job,
                                              std::string_view Address,
                                              std::string_view ExecutorId) {
  return confirmIf(Record, Job, [&](const work::SuspectRun &Run) {
    return Run.Address_ == Address && Run.ExecutorId_ != ExecutorId;
  });
}

bool dismissSilence(work::ProgressRecord &Record, std::string_view ExecutorId,
                    std::int64_t Incarnation) {
  std::size_t Dismissed = 0;
  for (work::SuspectTask &Suspect : Record.Suspects_)
    Dismissed += std::erase_if(Suspect.Runs_, [&](const work::SuspectRun &Run) {
      return !Run.Crashed_ && Run.ExecutorId_ == ExecutorId && Run.Incarnation_ == Incarnation;
    });
  std::erase_if(Record.Suspects_, [](const auto &Suspect) { return Suspect.Runs_.empty(); });
  return Dismissed > 0;
}

bool clearTask(work::ProgressRecord &Record, const work::TaskRef &Task) {
  return std::erase_if(Record.Suspects_,
                       [&](const auto &Suspect) { return concerns(Suspect, Task); }) > 0;
}

} // namespace masticdrift::lead
