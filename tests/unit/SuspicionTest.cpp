// Tests of the suspicions against tasks that may crash executors.
#include "masticdrift/lead/Suspicion.h"

#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

const work::TaskRef First{"j", 0, 0, 0};
const work::TaskRef Second{"j", 0, 0, 1};
constexpr std::int64_t Born = 1000;
constexpr std::int64_t Reborn = 2000;

work::SuspectRun silentRun(std::uint64_t Run, const char *ExecutorId) {
  return {Run, ExecutorId, Born, false};
}

work::SuspectRun crashedRun(std::uint64_t Run, const char *ExecutorId) {
  return {Run, ExecutorId, Born, true};
}

} // namespace

// --- An executor falls silent ---

// Guards against counting a crash that nobody has seen yet.
Test(Suspicion, aSilenceIsRecordedAndDoesNotCount) {
  work::ProgressRecord Record;
  cr_expect(lead::addSuspicion(Record, First, silentRun(1, "e0")));
  cr_expect_eq(lead::crashCount(Record, First), 0);
}

// Guards against records that grow with each leader that meets the silent executor.
Test(Suspicion, aRunIsRecordedOnce) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, silentRun(1, "e0"));
  cr_expect_not(lead::addSuspicion(Record, First, silentRun(1, "e0")));
  cr_assert_eq(Record.Suspects_.size(), 1);
  cr_expect_eq(Record.Suspects_[0].Runs_.size(), 1);
}

// --- It answers again ---

// Guards against a suspicion that outlives a cut connection.
Test(Suspicion, anAnswerOfTheSameIncarnationDismissesTheSilence) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, silentRun(1, "e0"));
  lead::addSuspicion(Record, Second, silentRun(1, "e1"));
  cr_expect(lead::dismissSilence(Record, "e0", Born));
  cr_assert_eq(Record.Suspects_.size(), 1);
  cr_expect_eq(Record.Suspects_[0].Index_, Second.Index_);
  cr_expect_not(lead::dismissSilence(Record, "e0", Born));
}

// Guards against dismissing a crash because the executor is back.
Test(Suspicion, anAnswerOfANewIncarnationDismissesNothing) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, silentRun(1, "e0"));
  cr_expect_not(lead::dismissSilence(Record, "e0", Reborn));
  cr_expect_eq(lead::confirmCrash(Record, "j", "e0", Reborn).size(), 1);
  cr_expect_not(lead::dismissSilence(Record, "e0", Born));
  cr_expect_eq(lead::crashCount(Record, First), 1);
}

// Guards against counting a run of the incarnation that answers.
Test(Suspicion, runsOfTheAnsweringIncarnationAreNotConfirmed) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, silentRun(1, "e0"));
  cr_expect(lead::confirmCrash(Record, "j", "e0", Born).empty());
  cr_expect_eq(lead::crashCount(Record, First), 0);
}

// --- Another executor answers at its address ---

// Guards against blaming tasks of other executors.
Test(Suspicion, aCrashCountsForTheTasksOfThatExecutor) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, silentRun(1, "e0"));
  lead::addSuspicion(Record, Second, silentRun(1, "e1"));
  const std::vector<work::TaskRef> Confirmed = lead::confirmCrash(Record, "j", "e0", 0);
  cr_assert_eq(Confirmed.size(), 1);
  cr_expect(Confirmed[0] == First);
  cr_expect_eq(lead::crashCount(Record, First), 1);
  cr_expect_eq(lead::crashCount(Record, Second), 0);
}

// Guards against a crash that counts twice: each of two leaders sees it, first as a silence or at
// once as a crash.
Test(Suspicion, aCrashCountsOnce) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, silentRun(1, "e0"));
  lead::confirmCrash(Record, "j", "e0", 0);
  cr_expect(lead::confirmCrash(Record, "j", "e0", 0).empty());
  cr_expect_not(lead::addSuspicion(Record, First, crashedRun(1, "e0")));
  cr_expect_not(lead::addSuspicion(Record, First, silentRun(1, "e0")));
  cr_expect_eq(lead::crashCount(Record, First), 1);
}

// Guards against a crash that is lost because the silence was recorded before.
Test(Suspicion, aCrashReplacesASilence) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, silentRun(1, "e0"));
  cr_expect(lead::addSuspicion(Record, First, crashedRun(1, "e0")));
  cr_expect_eq(lead::crashCount(Record, First), 1);
}

// --- The task starts again ---

// Guards against a count by executor: one machine may crash again and again under one task.
Test(Suspicion, eachRunCounts) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, crashedRun(1, "e0"));
  lead::addSuspicion(Record, First, crashedRun(2, "e0"));
  lead::addSuspicion(Record, First, crashedRun(3, "e1"));
  cr_expect_eq(lead::crashCount(Record, First), 3);
}

// Guards against confusing the tasks of different occurrences and steps.
Test(Suspicion, tasksCountByThemselves) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, {"j", 0, 0, 3}, crashedRun(1, "e0"));
  lead::addSuspicion(Record, {"j", 0, 1, 3}, crashedRun(2, "e0"));
  lead::addSuspicion(Record, {"j", 1, 0, 3}, crashedRun(3, "e0"));
  cr_expect_eq(lead::crashCount(Record, {"j", 0, 0, 3}), 1);
  cr_expect_eq(lead::crashCount(Record, {"j", 0, 1, 3}), 1);
  cr_expect_eq(lead::crashCount(Record, {"j", 1, 0, 3}), 1);
  cr_expect_eq(lead::crashCount(Record, {"j", 1, 1, 3}), 0);
}

// Guards against a task that lasts and is given up for crashes of long ago.
Test(Suspicion, aTaskWhoseExecutorSurvivesIsCleared) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, crashedRun(1, "e0"));
  lead::addSuspicion(Record, First, silentRun(2, "e1"));
  lead::addSuspicion(Record, Second, crashedRun(1, "e0"));
  cr_expect(lead::clearTask(Record, First));
  cr_expect_eq(lead::crashCount(Record, First), 0);
  cr_expect_eq(lead::crashCount(Record, Second), 1);
  cr_expect(lead::confirmCrash(Record, "j", "e1", 0).empty());
  cr_expect_not(lead::clearTask(Record, First));
}

// --- The next leader ---

// Guards against suspicions that get lost in the store.
Test(Suspicion, suspicionsAreStoredWithTheProgress) {
  work::ProgressRecord Record;
  lead::addSuspicion(Record, First, silentRun(1, "e0"));
  lead::addSuspicion(Record, First, crashedRun(2, "e1"));
  work::JobTable Table;
  const work::LogRecord Accepted = work::encodeAccepted("j", {});
  const work::LogRecord Progress = work::encodeProgress("j", Record);
  Table.apply(0, Accepted.Key_, Accepted.Value_);
  Table.apply(1, Progress.Key_, Progress.Value_);
  const work::JobTableEntry *Job = Table.find("j");
  cr_assert(Job != nullptr && Job->Progress_);
  cr_assert_eq(Job->Progress_->Suspects_.size(), 1);
  cr_expect(Job->Progress_->Suspects_[0].Runs_ == Record.Suspects_[0].Runs_);
}
