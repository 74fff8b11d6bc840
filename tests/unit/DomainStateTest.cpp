#include "masticdrift/jobs/DomainState.h"

#include <random>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::jobs;

namespace {

JobSpec spec(const std::string &Id, std::uint32_t Tasks = 1, bool Idempotent = false,
             JobKind Kind = JobKind::Batch) {
  JobSpec Spec;
  Spec.Id_ = Id;
  Spec.Team_ = "sindh";
  Spec.Queue_ = "print";
  Spec.Kind_ = Kind;
  Spec.TaskCount_ = Tasks;
  Spec.Need_ = {1000, 512, 0};
  Spec.Idempotent_ = Idempotent;
  return Spec;
}

/// A state to which records are applied at consecutive offsets under one term.
struct ReplayedState {
  template <typename T> Change operator()(const T &Record) {
    return State_.apply(toEntry(Record), Offset_++, Term_);
  }
  explicit ReplayedState(DomainStateOptions Options = {}) : State_(Options) {}
  DomainState State_;
  std::uint64_t Offset_ = 1;
  std::uint64_t Term_ = 5;
};

bool jobHasState(const DomainState &State, const std::string &Id, JobState Expected) {
  const auto KnownJob = State.find(Id);
  return KnownJob && KnownJob->State_ == Expected;
}

/// \returns a random record; most refer to existing jobs and current attempts.
journal::Entry randomRecord(std::mt19937 &Random, const DomainState &State) {
  const std::string Id = "d/t/" + std::to_string(Random() % 30);
  const auto Job = State.find(Id);
  const auto Task = static_cast<std::uint32_t>(Random() % 3);
  const std::uint32_t Attempt =
      (Job && Task < Job->Tasks_.size() ? Job->Tasks_[Task].Attempt_ : 0U) +
      (Random() % 10 == 0 ? 1U : 0U);
  const std::uint64_t Term = Random() % 10 == 0 ? 4 : 5;
  const std::string Worker = "w" + std::to_string(Random() % 4);
  switch (Random() % 6) {
  case 0:
    return toEntry(
        Accept{spec(Id, 1 + Random() % 3, Random() % 2 == 0, static_cast<JobKind>(Random() % 3))});
  case 1:
    if (Random() % 4 == 0)
      return toEntry(Cancel{Id, "amina"});
    return {journal::RecordType::Renew, "irrelevant"};
  case 2:
  case 3:
    return toEntry(Start{Id, Task, Attempt + 1, Worker, Term});
  case 4:
    return toEntry(
        End{Id, Task, Attempt, static_cast<TaskOutcome>(Random() % 6), Term, 1, Random() % 2 == 0});
  default:
    if (Random() % 4 == 0)
      return toEntry(Hold{Id, Task, Attempt, "lost", Term});
    return toEntry(End{Id, Task, Attempt, TaskOutcome::Succeeded, Term, 0, false});
  }
}

} // namespace

// Guards against a resubmission that runs a job twice or changes its specification.
Test(JobLifecycle, theFirstAcceptOfAnIdCounts) {
  ReplayedState Apply;
  cr_assert(Apply(Accept{spec("d/t/1", 2)}).Kind_ == ChangeKind::Accepted);
  const Change Resubmission = Apply(Accept{spec("d/t/1", 3)});
  cr_assert(Resubmission.Kind_ == ChangeKind::Duplicate);
  cr_assert(Resubmission.Job_ == "d/t/1");
  cr_assert_eq(Apply.State_.find("d/t/1")->Tasks_.size(), 2);
  cr_assert_eq(Apply.State_.runnable().size(), 1);
}

// Guards against lost state changes between acceptance and completion of a job.
Test(JobLifecycle, aJobRunsToItsEnd) {
  ReplayedState Apply;
  Apply(Accept{spec("d/t/1", 2)});
  const auto Runnable = Apply.State_.runnable();
  cr_assert_eq(Runnable.at(0).Tasks_.size(), 2);
  cr_assert_eq(Runnable.at(0).Tasks_[0].Attempt_, 1);
  cr_assert(Apply(Start{"d/t/1", 0, 1, "w1", 5}).Kind_ == ChangeKind::Started);
  cr_assert(Apply(Start{"d/t/1", 1, 1, "w2", 5}).Kind_ == ChangeKind::Started);
  cr_assert(Apply.State_.runnable().empty());
  cr_assert_eq(Apply.State_.runningOn("w1").size(), 1);
  cr_assert_eq(Apply.State_.runningOn("w1")[0].StartOffset_, 2);
  cr_assert_eq(Apply.State_.runningByWorker().size(), 2);
  cr_assert(jobHasState(Apply.State_, "d/t/1", JobState::Running));
  Change EndChange = Apply(End{"d/t/1", 0, 1, TaskOutcome::Succeeded, 5, 0, false});
  cr_assert(EndChange.Kind_ == ChangeKind::Ended && !EndChange.JobFinished_ &&
            EndChange.Worker_ == "w1");
  EndChange = Apply(End{"d/t/1", 1, 1, TaskOutcome::Succeeded, 5, 0, false});
  cr_assert(EndChange.JobFinished_);
  cr_assert(jobHasState(Apply.State_, "d/t/1", JobState::Succeeded));
  cr_assert(Apply.State_.runningByWorker().empty());
  cr_assert_eq(Apply.State_.counts().at(JobState::Succeeded), 1);
}

// Guards against applying records of a previous owner that arrive after a takeover.
Test(JobLifecycle, recordsOfAnotherTermHaveNoEffect) {
  ReplayedState Apply;
  Apply(Accept{spec("d/t/1")});
  const std::string Before = Apply.State_.encode();
  cr_assert(Apply(Start{"d/t/1", 0, 1, "w1", 4}).Kind_ == ChangeKind::StaleTerm);
  cr_assert(Apply(Start{"d/t/1", 0, 1, "w1", 6}).Kind_ == ChangeKind::StaleTerm);
  cr_assert(Apply(Hold{"d/t/1", 0, 1, "x", 4}).Kind_ == ChangeKind::StaleTerm);
  cr_assert(Apply.State_.encode() == Before);
  cr_assert(Apply(Start{"d/t/1", 0, 1, "w1", 5}).Kind_ == ChangeKind::Started);
  cr_assert(Apply(End{"d/t/1", 0, 1, TaskOutcome::Failed, 4, 1, false}).Kind_ ==
            ChangeKind::StaleTerm);
  // The next owner may end an attempt that the previous one started.
  Apply.Term_ = 6;
  cr_assert(Apply(End{"d/t/1", 0, 1, TaskOutcome::Succeeded, 6, 0, false}).Kind_ ==
            ChangeKind::Ended);
}

// Guards against starting an attempt twice or ending it by a record of another attempt.
Test(JobLifecycle, onlyTheCurrentAttemptCounts) {
  ReplayedState Apply;
  Apply(Accept{spec("d/t/1", 1, true)});
  cr_assert(Apply(Start{"d/t/1", 0, 2, "w1", 5}).Kind_ == ChangeKind::NotApplicable);
  Apply(Start{"d/t/1", 0, 1, "w1", 5});
  cr_assert(Apply(Start{"d/t/1", 0, 1, "w2", 5}).Kind_ == ChangeKind::NotApplicable);
  cr_assert(Apply(Start{"d/t/1", 0, 2, "w2", 5}).Kind_ == ChangeKind::NotApplicable);
  cr_assert(Apply(End{"d/t/1", 0, 1, TaskOutcome::Lost, 5, 0, true}).Kind_ == ChangeKind::Requeued);
  cr_assert_eq(Apply.State_.runnable().at(0).Tasks_.at(0).Attempt_, 2);
  Apply(Start{"d/t/1", 0, 2, "w2", 5});
  cr_assert(Apply(End{"d/t/1", 0, 1, TaskOutcome::Succeeded, 5, 0, false}).Kind_ ==
            ChangeKind::NotApplicable);
  cr_assert(jobHasState(Apply.State_, "d/t/1", JobState::Running));
  cr_assert(Apply(End{"d/t/1", 7, 1, TaskOutcome::Succeeded, 5, 0, false}).Kind_ ==
            ChangeKind::UnknownJob);
}

// Guards against running a task again that is not idempotent and may have run.
Test(JobLifecycle, aTaskThatMayHaveRunIsHeld) {
  ReplayedState Apply;
  Apply(Accept{spec("d/t/1")});
  Apply(Start{"d/t/1", 0, 1, "w1", 5});
  // The owner's request for another attempt is ignored.
  const Change LostChange = Apply(End{"d/t/1", 0, 1, TaskOutcome::Lost, 5, 0, true});
  cr_assert(LostChange.Kind_ == ChangeKind::Held && LostChange.JobFinished_);
  cr_assert(jobHasState(Apply.State_, "d/t/1", JobState::Unknown));
  cr_assert(Apply.State_.runnable().empty());
  cr_assert(Apply(Start{"d/t/1", 0, 2, "w2", 5}).Kind_ == ChangeKind::NotApplicable);
  cr_assert(Apply(End{"d/t/1", 0, 1, TaskOutcome::NeverRan, 5, 0, true}).Kind_ ==
            ChangeKind::NotApplicable);
  // A worker that reconnects reports how the attempt ended.
  cr_assert(Apply(End{"d/t/1", 0, 1, TaskOutcome::Succeeded, 5, 0, false}).Kind_ ==
            ChangeKind::Ended);
  cr_assert(jobHasState(Apply.State_, "d/t/1", JobState::Succeeded));

  Apply(Accept{spec("d/t/2")});
  Apply(Start{"d/t/2", 0, 1, "w1", 5});
  cr_assert(Apply(End{"d/t/2", 0, 1, TaskOutcome::NeverRan, 5, 0, false}).Kind_ ==
            ChangeKind::Requeued);
  Apply(Start{"d/t/2", 0, 2, "w1", 5});
  cr_assert(Apply(Hold{"d/t/2", 0, 2, "worker vanished", 5}).Kind_ == ChangeKind::Held);
  cr_assert(Apply.State_.find("d/t/2")->Tasks_[0].Reason_ == "worker vanished");
  cr_assert(Apply.State_.runningOn("w1").empty());
}

// Guards against not restarting a service, and against restarting a cancelled one.
Test(JobLifecycle, aServiceRestartsUntilItIsCancelled) {
  ReplayedState Apply;
  Apply(Accept{spec("d/t/s", 1, false, JobKind::Service)});
  std::uint32_t Attempt = 0;
  for (const TaskOutcome Outcome :
       {TaskOutcome::Succeeded, TaskOutcome::Failed, TaskOutcome::Stopped, TaskOutcome::Lost}) {
    Apply(Start{"d/t/s", 0, ++Attempt, "w1", 5});
    cr_assert(Apply(End{"d/t/s", 0, Attempt, Outcome, 5, 0, false}).Kind_ == ChangeKind::Requeued);
  }
  Apply(Start{"d/t/s", 0, ++Attempt, "w1", 5});
  Apply(Cancel{"d/t/s", "amina"});
  Apply(End{"d/t/s", 0, Attempt, TaskOutcome::Stopped, 5, 0, true});
  cr_assert(jobHasState(Apply.State_, "d/t/s", JobState::Cancelled));
}

// Guards against accepting a cancellation without a target and against starts after a cancellation.
Test(Cancellation, aCancelStopsWhatWaitsAndMarksWhatRuns) {
  ReplayedState Apply;
  cr_assert(Apply(Cancel{"d/t/none", "amina"}).Kind_ == ChangeKind::UnknownJob);
  Apply(Accept{spec("d/t/1", 2)});
  Apply(Start{"d/t/1", 0, 1, "w1", 5});
  const Change CancelChange = Apply(Cancel{"d/t/1", "amina"});
  cr_assert(CancelChange.Kind_ == ChangeKind::CancelRequested && !CancelChange.JobFinished_);
  cr_assert(Apply(Cancel{"d/t/1", "bela"}).Kind_ == ChangeKind::NotApplicable);
  cr_assert(Apply.State_.find("d/t/1")->CancelledBy_ == "amina");
  cr_assert(Apply.State_.runningOn("w1").at(0).CancelRequested_);
  cr_assert(Apply.State_.runnable().empty());
  cr_assert(Apply(Start{"d/t/1", 1, 1, "w2", 5}).Kind_ == ChangeKind::NotApplicable);
  Apply(End{"d/t/1", 0, 1, TaskOutcome::Stopped, 5, 0, false});
  cr_assert(jobHasState(Apply.State_, "d/t/1", JobState::Cancelled));
  cr_assert(Apply(Cancel{"d/t/1", "amina"}).Kind_ == ChangeKind::NotApplicable);

  Apply(Accept{spec("d/t/2", 3)});
  cr_assert(Apply(Cancel{"d/t/2", "amina"}).JobFinished_);
}

// Guards against keeping finished jobs without limit and against dropping unfinished ones.
Test(Retention, theOldestFinishedJobsAreDropped) {
  ReplayedState Apply({3});
  Apply(Accept{spec("d/t/open")});
  for (int I = 0; I < 6; ++I) {
    Apply(Accept{spec("d/t/" + std::to_string(I))});
    Apply(Cancel{"d/t/" + std::to_string(I), "amina"});
  }
  cr_assert(Apply.State_.find("d/t/open").has_value());
  cr_assert(!Apply.State_.find("d/t/2").has_value());
  cr_assert(Apply.State_.find("d/t/3").has_value());
  cr_assert(Apply(Accept{spec("d/t/5")}).Kind_ == ChangeKind::Duplicate);
  cr_assert_eq(Apply.State_.list("sindh").size(), 4);
  cr_assert(Apply.State_.list("other").empty());
}

// Guards against a snapshot that loses or changes state: replay from a snapshot must reach the same
// state as full replay.
Test(Snapshots, aSnapshotPlusTheTailEqualsFullReplay) {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    cr_log_info("seed %u", Seed);
    std::mt19937 Random(Seed);
    DomainState Full({10});
    DomainState Restored({10});
    const std::uint64_t RecordCount = 200 + Random() % 800;
    const std::uint64_t SnapshotOffset = Random() % RecordCount;
    for (std::uint64_t Offset = 0; Offset < RecordCount; ++Offset) {
      const journal::Entry Record = randomRecord(Random, Full);
      const Change FullChange = Full.apply(Record, Offset, 5);
      if (Offset == SnapshotOffset)
        cr_assert(Restored.decode(Full.encode()), "seed %u", Seed);
      if (Offset <= SnapshotOffset)
        continue;
      const Change RestoredChange = Restored.apply(Record, Offset, 5);
      cr_assert(FullChange.Kind_ == RestoredChange.Kind_, "seed %u offset %lu", Seed, Offset);
      cr_assert_eq(FullChange.JobFinished_, RestoredChange.JobFinished_, "seed %u offset %lu", Seed,
                   Offset);
    }
    cr_assert(Full.encode() == Restored.encode(), "seed %u", Seed);
    cr_assert(Full.counts() == Restored.counts(), "seed %u", Seed);
    const auto FullRunning = Full.runningByWorker();
    const auto RestoredRunning = Restored.runningByWorker();
    cr_assert_eq(FullRunning.size(), RestoredRunning.size(), "seed %u", Seed);
    for (const auto &[Worker, Tasks] : FullRunning)
      cr_assert_eq(Tasks.size(), RestoredRunning.at(Worker).size(), "seed %u", Seed);
    cr_assert_eq(Full.runnable().size(), Restored.runnable().size(), "seed %u", Seed);
  }
}

// Guards against an index of running tasks that disagrees with the states of the tasks.
Test(Snapshots, theWorkerIndexMatchesTheTasks) {
  for (unsigned Seed = 100; Seed < 110; ++Seed) {
    std::mt19937 Random(Seed);
    DomainState State({10});
    for (std::uint64_t Offset = 0; Offset < 1000; ++Offset)
      State.apply(randomRecord(Random, State), Offset, 5);
    std::size_t RunningCount = 0;
    for (const Job &KnownJob : State.list())
      for (const Task &JobTask : KnownJob.Tasks_)
        RunningCount += JobTask.State_ == TaskState::Running ? 1 : 0;
    std::size_t IndexedCount = 0;
    for (const auto &[Worker, Tasks] : State.runningByWorker())
      IndexedCount += Tasks.size();
    cr_assert_eq(RunningCount, IndexedCount, "seed %u", Seed);
  }
}

// Guards against crashes on damaged records or snapshots, and against replacing the state by a
// damaged snapshot.
Test(Snapshots, randomBytesNeverCrashOrChangeTheState) {
  ReplayedState Apply;
  Apply(Accept{spec("d/t/1", 2)});
  Apply(Start{"d/t/1", 0, 1, "w1", 5});
  const std::string ValidBytes = Apply.State_.encode();
  const std::vector<journal::Entry> Records{
      toEntry(Accept{spec("d/t/1", 2)}), toEntry(Cancel{"d/t/1", "a"}),
      toEntry(Start{"d/t/1", 1, 1, "w", 5}),
      toEntry(End{"d/t/1", 0, 1, TaskOutcome::Lost, 5, 0, true}),
      toEntry(Hold{"d/t/1", 0, 1, "r", 5})};
  for (const unsigned Seed : {21U, 22U, 23U}) {
    cr_log_info("seed %u", Seed);
    std::mt19937 Random(Seed);
    DomainState Replayed;
    for (int Round = 0; Round < 20'000; ++Round) {
      journal::Entry Record = Records[Random() % Records.size()];
      Record.Body_[Random() % Record.Body_.size()] = static_cast<char>(Random());
      if (Random() % 4 == 0)
        Record.Body_.resize(Random() % Record.Body_.size());
      Replayed.apply(Record, static_cast<std::uint64_t>(Round), 5);
      std::string DamagedBytes = ValidBytes;
      DamagedBytes.resize(Random() % DamagedBytes.size());
      cr_assert(!Apply.State_.decode(DamagedBytes), "seed %u", Seed);
      DamagedBytes = ValidBytes;
      DamagedBytes[Random() % DamagedBytes.size()] = static_cast<char>(Random());
      DomainState Restored;
      const std::string InitialBytes = Restored.encode();
      if (!Restored.decode(DamagedBytes))
        cr_assert(Restored.encode() == InitialBytes, "seed %u", Seed);
      else
        (void)Restored.runnable();
    }
  }
  cr_assert(Apply.State_.encode() == ValidBytes);
}

// Guards against data races between replay and status queries.
Test(Sharding, readersRunBesideReplay) {
  DomainState State({20});
  std::atomic<bool> Done{false};
  std::vector<std::thread> Readers;
  Readers.reserve(3);
  for (int I = 0; I < 3; ++I)
    Readers.emplace_back([&] {
      while (!Done) {
        (void)State.find("d/t/3");
        (void)State.list();
        (void)State.runnable();
        (void)State.runningOn("w1");
        (void)State.counts();
      }
    });
  std::mt19937 Random(7);
  for (std::uint64_t Offset = 0; Offset < 5000; ++Offset)
    State.apply(randomRecord(Random, State), Offset, 5);
  Done = true;
  for (auto &Reader : Readers)
    Reader.join();
  DomainState Restored({20});
  cr_assert(Restored.decode(State.encode()));
}
