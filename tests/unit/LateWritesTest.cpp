// Records that reach the job table late, twice or out of order, and the leader's check that the
// scheduler has every stored job.
#include "masticdrift/core/Pack.h"
#include "masticdrift/daemon/StoredJobCheck.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using work::JobTableChange;

namespace {

constexpr const char *Job = "00000000000000a1";
const std::vector<std::string> OnlyJob{Job};
constexpr std::uint64_t Term = 7;
constexpr std::uint64_t EarlierTerm = 5;
constexpr std::uint64_t LaterTerm = 9;
constexpr const char *ExecutorId = "e";

work::Manifest makeManifest() {
  work::Manifest Manifest;
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "p";
  Manifest.Queues_.push_back(Queue);
  return Manifest;
}

work::JobSpec makeSpec() {
  work::JobSpec Spec;
  Spec.Payload_ = "payload";
  work::StepSpec Step;
  Step.TaskCount_ = 1;
  Step.Need_ = {1000, 100, 0};
  Step.EstimatedMs_ = 100;
  Spec.Steps_.push_back(Step);
  return Spec;
}

/// A leader's job table and scheduler, which the table informs only while Informs_ is set.
struct Leader {
  Leader() {
    lead::SchedulerActions Actions;
    Actions.Start_ = [this](const fleet::ExecutorInfo &, const fleet::StartOrder &Order) {
      Starts_.emplace_back(Order.Task_, Order.Run_);
    };
    Actions.Stop_ = [](const fleet::ExecutorInfo &, const lead::RunKey &) {};
    Actions.Pace_ = [](const fleet::ExecutorInfo &, const lead::RunKey &, int) {};
    Actions.Hold_ = [](const fleet::ExecutorInfo &, std::uint64_t, std::int64_t, Millis) {};
    Actions.RequestAdvice_ = [](const work::TaskRef &, const std::vector<std::string> &, double,
                                std::pair<int, core::TimePoint>) {};
    Actions.LogDecision_ = [this](std::string_view Event, const work::TaskRef &, std::uint64_t,
                                  std::string_view, std::string_view Detail) {
      Log_.push_back(std::string(Event) + (Detail.empty() ? "" : " ") + std::string(Detail));
    };
    Scheduler_.emplace(Term, lead::SchedulerTiming{}, Actions, Now_, true);
    Scheduler_->setManifest(makeManifest(), Now_);
    Check_.reset(Now_);
    Table_.onChange([this](const JobTableChange &Change) {
      Changes_.push_back(Change.Kind_);
      if (const work::JobTableEntry *Entry = Table_.find(Change.Id_); Entry != nullptr && Informs_)
        Scheduler_->onJob(*Entry, Now_, 0);
    });
  }

  void read(const work::LogRecord &Record) { Table_.apply(Offset_++, Record.Key_, Record.Value_); }
  void readAccepted() { read(work::encodeAccepted(Job, {makeManifest().Queues_[0], "c", 0})); }
  void readSpec() { Table_.applySpec(Job, work::encodeSpec(Job, makeSpec()).Value_); }
  bool logged(std::string_view Line) const { return std::ranges::find(Log_, Line) != Log_.end(); }
  /// Delivers a report of the only executor and carries out a scheduling round.
  void report(const std::vector<fleet::ReportedEnd> &Ends) {
    Now_ += Millis(100);
    Scheduler_->onHeartbeatStored(Now_);
    Scheduler_->tick(Now_, 0);
    fleet::Report Report;
    Report.ClockMs_ = core::toMillis(Now_.time_since_epoch());
    Report.Ended_ = Ends;
    Scheduler_->onHoldResult(ExecutorId, fleet::OrderOutcome::Done, Report, Now_, Now_);
    Scheduler_->tick(Now_, 0);
  }
  /// Reads the job, begun with its acceptance, and starts its task.
  void startTask() {
    fleet::ExecutorInfo Executor;
    Executor.Id_ = ExecutorId;
    Executor.Pool_ = "p";
    Executor.Capacity_ = {4000, 4000, 0};
    Scheduler_->onExecutor(Executor, Now_);
    Scheduler_->onExecutorRecorded(Executor.Id_, Executor.Address_);
    readSpec();
    read(work::encodeStarted(Job, Term));
    readAccepted();
    report({});
    cr_assert_eq(Starts_.size(), 1);
    Scheduler_->onStartResult(ExecutorId, Starts_[0], fleet::OrderOutcome::Done, 0, Now_, Now_);
  }
  daemon::StoredJobGaps checkAfter(Millis Delay) {
    Now_ += Delay;
    return Check_.check(Table_, *Scheduler_, Now_);
  }

  core::TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t Offset_ = 0;
  std::vector<lead::RunKey> Starts_;
  bool Informs_ = true;
  std::vector<std::string> Log_;
  std::vector<JobTableChange::Kind> Changes_;
  work::JobTable Table_;
  std::optional<lead::Scheduler> Scheduler_;
  daemon::StoredJobCheck Check_;
};

} // namespace

// --- Announced changes ---

// Guards against a change that is announced only by the reader of the log, which finds no change
// when another daemon's answer has brought the record before.
Test(JobTableChanges, theFirstApplicationOfARecordIsAnnouncedAndNoLaterOne) {
  using enum JobTableChange::Kind;
  Leader Leader;
  Leader.readSpec();
  Leader.readAccepted();
  Leader.readAccepted();
  Leader.readSpec();
  Leader.read(work::encodeCancelled(Job, {1}));
  Leader.read(work::encodeCancelled(Job, {1}));
  const std::vector<JobTableChange::Kind> Expected{Specified, Accepted, Cancelled};
  cr_expect(Leader.Changes_ == Expected);
}

// --- Lines about an accepted job ---

// Guards against an accepted job without a line that tells what the leader did with it.
Test(AcceptedJobLog, theLeaderLogsThatItTakesAJobOrWaitsForItsSpecification) {
  Leader Leader;
  Leader.readAccepted();
  cr_expect(Leader.logged("job_waits_for_specification"));
  cr_expect_not(Leader.logged("job_taken new"));
  Leader.readSpec();
  cr_expect(Leader.logged("job_taken new"));
}

// Guards against a job of an earlier leader that is logged, or treated, as a new one.
Test(AcceptedJobLog, theLeaderLogsWhoHasBegunAJob) {
  Leader Inheriting;
  Inheriting.readSpec();
  Inheriting.read(work::encodeStarted(Job, EarlierTerm));
  Inheriting.readAccepted();
  cr_expect(Inheriting.logged("job_taken begun by an earlier leader"));
  Leader Beginning;
  Beginning.readSpec();
  Beginning.read(work::encodeStarted(Job, Term));
  Beginning.readAccepted();
  cr_expect(Beginning.logged("job_taken begun with its acceptance"));
}

// --- Records that are read after the job was taken ---

// Guards against a leader that does not know yet that it was replaced: it would treat a job that
// the next leader has begun as inherited, and start the job's tasks a second time.
Test(LateRecords, aJobThatALaterTermHasBegunEndsTheTerm) {
  Leader Reading;
  Reading.readSpec();
  Reading.read(work::encodeStarted(Job, LaterTerm));
  Reading.readAccepted();
  cr_expect(Reading.Scheduler_->fenced());
  cr_expect(Reading.Scheduler_->knowledgeOf(Job) == lead::JobKnowledge::Unknown);
  Leader Tracking;
  Tracking.readSpec();
  Tracking.readAccepted();
  cr_expect_not(Tracking.Scheduler_->fenced());
  Tracking.read(work::encodeStarted(Job, LaterTerm));
  cr_expect(Tracking.Scheduler_->fenced());
}

// Guards against a second run of a job that has ended while the record of its end is still being
// written, after a record of an earlier leader was stored late.
Test(LateRecords, anEndedJobIsNotTakenAgain) {
  Leader Leader;
  Leader.startTask();
  Leader.report({{1, Leader.Starts_[0].first, Leader.Starts_[0].second, fleet::EndKind::Done, {}}});
  cr_assert(Leader.logged("job_ended completed"));
  Leader.Scheduler_->takeProgress();
  Leader.report({});
  cr_assert(Leader.Scheduler_->knowledgeOf(Job) == lead::JobKnowledge::Ended);
  Leader.read(work::encodeStarted(Job, EarlierTerm));
  Leader.Scheduler_->onJob(*Leader.Table_.find(Job), Leader.Now_, 0);
  Leader.report({});
  cr_expect(Leader.Scheduler_->knowledgeOf(Job) == lead::JobKnowledge::Ended);
  cr_expect_eq(Leader.Starts_.size(), 1);
}

// Guards against the removal of a specification that the next leader needs, because the record of
// the job's end was not stored.
Test(LateRecords, anEndedJobIsFinishedOnceItsEndIsStored) {
  Leader Leader;
  Leader.startTask();
  Leader.report({{1, Leader.Starts_[0].first, Leader.Starts_[0].second, fleet::EndKind::Done, {}}});
  cr_assert(Leader.logged("job_ended completed"));
  cr_expect(Leader.Scheduler_->takeFinishedJobs().empty());
  const std::uint64_t Flush = Leader.Scheduler_->takeProgress().first;
  Leader.report({});
  cr_expect(Leader.Scheduler_->takeFinishedJobs().empty());
  Leader.Scheduler_->onFlushed(Flush, Leader.Now_);
  Leader.report({});
  cr_expect(Leader.Scheduler_->takeFinishedJobs() == OnlyJob);
  Leader.report({});
  cr_expect(Leader.Scheduler_->takeFinishedJobs().empty());
}

// --- Check of the stored jobs ---

// Guards against false alarms: jobs that the scheduler has, whose end is not durable yet, or that
// were cancelled before they were known.
Test(StoredJobCheck, findsNothingWhileTheSchedulerHearsOfEveryChange) {
  Leader Leader;
  Leader.readSpec();
  cr_expect(Leader.checkAfter(Millis(1000)).empty());
  Leader.readAccepted();
  cr_expect(Leader.checkAfter(Millis(1000)).empty());
  Leader.read(work::encodeCancelled(Job, {1}));
  cr_expect(Leader.checkAfter(Millis(1000)).empty());
  Leader.Scheduler_->takeProgress();
  Leader.Scheduler_->tick(Leader.Now_, 0);
  cr_expect(Leader.checkAfter(Millis(1000)).empty());
}

// Guards against an accepted job that stays unknown to the scheduler.
Test(StoredJobCheck, findsAJobThatTheSchedulerHasMissed) {
  Leader Leader;
  Leader.Informs_ = false;
  Leader.readSpec();
  Leader.readAccepted();
  cr_expect(Leader.checkAfter(Millis(1000)).Unknown_ == OnlyJob);
  Leader.Scheduler_->onJob(*Leader.Table_.find(Job), Leader.Now_, 0);
  cr_expect(Leader.checkAfter(Millis(1000)).empty());
}

// Guards against tasks that run on because the scheduler has missed the cancellation.
Test(StoredJobCheck, findsACancellationThatTheSchedulerHasMissed) {
  Leader Leader;
  Leader.readSpec();
  Leader.readAccepted();
  Leader.Informs_ = false;
  Leader.read(work::encodeCancelled(Job, {1}));
  cr_expect(Leader.checkAfter(Millis(1000)).NotCancelled_ == OnlyJob);
  Leader.Scheduler_->onJob(*Leader.Table_.find(Job), Leader.Now_, 0);
  cr_expect(Leader.checkAfter(Millis(1000)).empty());
}

// Guards against a job that waits for a specification which was not read, without end or notice.
Test(StoredJobCheck, findsAJobThatWaitsForItsSpecification) {
  Leader Leader;
  Leader.readAccepted();
  cr_expect(Leader.checkAfter(Millis(0)).empty());
  cr_expect(Leader.checkAfter(Millis(1900)).empty());
  cr_expect(Leader.checkAfter(Millis(100)).WithoutSpec_ == OnlyJob);
  Leader.readSpec();
  cr_expect(Leader.checkAfter(Millis(1000)).empty());
}

// Guards against a job that is cancelled before its steps are read and stays in the log for good,
// because its end is never written.
Test(StoredJobCheck, aJobThatIsCancelledBeforeItsStepsAreReadIsEnded) {
  Leader Leader;
  Leader.readAccepted();
  Leader.read(work::encodeCancelled(Job, {1}));
  Leader.report({});
  cr_expect(Leader.Scheduler_->takeProgress().second.empty());
  Leader.readSpec();
  const auto [Flush, Records] = Leader.Scheduler_->takeProgress();
  cr_assert_eq(Records.size(), 1);
  cr_expect(Leader.Scheduler_->takeFinishedJobs().empty());
  Leader.Scheduler_->onFlushed(Flush, Leader.Now_);
  Leader.report({});
  cr_expect(Leader.Scheduler_->takeFinishedJobs() == OnlyJob);
}
