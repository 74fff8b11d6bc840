// Results of orders that arrive after their executor has restarted and got other orders for the
// same run.
#include "masticdrift/lead/Scheduler.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using fleet::OrderOutcome;

namespace {

constexpr const char *ExecutorId = "e0";
constexpr std::int64_t FirstLife = 100;
constexpr std::int64_t SecondLife = 200;

struct SentOrder {
  lead::RunKey Run_;
  core::TimePoint At_;
};

/// A leader whose orders are kept instead of sent, with one executor and a job of one task.
struct Leader {
  Leader() {
    lead::SchedulerActions Actions;
    Actions.Start_ = [this](const fleet::ExecutorInfo &, const fleet::StartOrder &Order) {
      Starts_.push_back({{Order.Task_, Order.Run_}, Now_});
    };
    Actions.Stop_ = [this](const fleet::ExecutorInfo &, const lead::RunKey &Run) {
      Stops_.push_back({Run, Now_});
    };
    Actions.Hold_ = [this](const fleet::ExecutorInfo &, std::uint64_t, std::int64_t, Millis) {
      ++Holds_;
    };
    Actions.LogDecision_ = [this](std::string_view Event, const work::TaskRef &, std::uint64_t,
                                  std::string_view,
                                  std::string_view) { RunsOver_ += Event == "run_over" ? 1 : 0; };
    Scheduler_.emplace(1, lead::SchedulerTiming{}, Actions, Now_, true);
    work::Manifest Manifest;
    work::Queue Queue;
    Queue.Name_ = "q";
    Queue.Pool_ = "p";
    Manifest.Queues_.push_back(Queue);
    Scheduler_->setManifest(Manifest, Now_);
    fleet::ExecutorInfo Executor;
    Executor.Id_ = Executor.Address_ = ExecutorId;
    Executor.Pool_ = "p";
    Executor.Capacity_ = {4000, 4000, 0};
    Executor.IncarnationStartMs_ = FirstLife;
    Scheduler_->onExecutor(Executor, Now_);
    Scheduler_->onExecutorRecorded(ExecutorId, ExecutorId);
    report(FirstLife, 1000);
    work::JobSpec Spec;
    Spec.Steps_.emplace_back();
    Spec.Steps_[0].TaskCount_ = 1;
    Spec.Steps_[0].Need_ = {1000, 100, 0};
    work::JobTable Table;
    Table.applySpec("j", work::encodeSpec("j", Spec).Value_);
    const work::LogRecord Accepted = work::encodeAccepted("j", {Queue, "c", 0});
    Table.apply(0, Accepted.Key_, Accepted.Value_);
    Scheduler_->onJob(*Table.find("j"), Now_, 0);
    pass(Millis(0));
    cr_assert_eq(Starts_.size(), 1);
  }

  /// Lets time pass and carries out a scheduling round; all records are stored.
  void pass(Millis Time) {
    Now_ += Time;
    Scheduler_->onHeartbeatStored(Now_);
    if (const auto [Number, Records] = Scheduler_->takeProgress(); Number != 0)
      Scheduler_->onFlushed(Number, Now_);
    Scheduler_->tick(Now_, 0);
  }
  void report(std::int64_t Incarnation, std::int64_t ClockMs,
              std::vector<fleet::ReportedEnd> Ends = {}) {
    pass(Millis(30));
    const core::TimePoint SentAt = Now_;
    Now_ += Millis(5);
    Scheduler_->onHoldResult(ExecutorId, OrderOutcome::Done,
                             {ClockMs, Incarnation, {}, std::move(Ends)}, SentAt, Now_);
    pass(Millis(0));
  }
  void answerStart(std::size_t Index, OrderOutcome Outcome, std::int64_t ClockMs) {
    Scheduler_->onStartResult(ExecutorId, Starts_[Index].Run_, Outcome, ClockMs, Starts_[Index].At_,
                              Now_);
    pass(Millis(0));
  }

  core::TimePoint Now_{std::chrono::hours(1)};
  std::vector<SentOrder> Starts_;
  std::vector<SentOrder> Stops_;
  int RunsOver_ = 0;
  int Holds_ = 0;
  std::optional<lead::Scheduler> Scheduler_;
};

} // namespace

// Guards against two runs at the same time: the refusal of a repeated start by the earlier life of
// an executor is taken for the answer to the stop that shall prevent the first start, which is
// still on its way to the new life.
Test(SchedulerOrderResult, aLateStartResultDoesNotAnswerAStop) {
  Leader Leader;
  const lead::RunKey Run = Leader.Starts_[0].Run_;
  Leader.Now_ += Millis(450);
  Leader.answerStart(0, OrderOutcome::NoAnswer, 0);
  Leader.pass(Millis(100));
  cr_assert_eq(Leader.Starts_.size(), 2);
  Leader.report(FirstLife, 1700, {{1, Run.first, Run.second, fleet::EndKind::Failed, {}}});
  Leader.report(SecondLife, 40);
  cr_assert_eq(Leader.Stops_.size(), 1);
  cr_assert(Leader.Stops_[0].Run_ == Run);
  Leader.RunsOver_ = 0;

  Leader.answerStart(1, OrderOutcome::Superseded, 1720);
  Leader.report(SecondLife, 110);
  cr_expect_eq(Leader.RunsOver_, 0);

  Leader.Scheduler_->onStopResult(ExecutorId, Run, OrderOutcome::Done, 0, Leader.Stops_[0].At_,
                                  Leader.Now_);
  Leader.report(SecondLife, 150);
  cr_expect_eq(Leader.RunsOver_, 1);
}

// Guards against the same by the answer to an earlier stop of the run.
Test(SchedulerOrderResult, aLateStopResultDoesNotAnswerAnotherStop) {
  Leader Leader;
  const lead::RunKey Run = Leader.Starts_[0].Run_;
  Leader.Now_ += Millis(450);
  Leader.answerStart(0, OrderOutcome::NoAnswer, 0);
  Leader.pass(Millis(100));
  Leader.answerStart(1, OrderOutcome::Unhealthy, 1600);
  cr_assert_eq(Leader.Stops_.size(), 1);
  Leader.report(FirstLife, 1700, {{1, Run.first, Run.second, fleet::EndKind::Stopped, {}}});
  Leader.report(SecondLife, 40);
  cr_assert_eq(Leader.Stops_.size(), 2);
  Leader.RunsOver_ = 0;

  Leader.Scheduler_->onStopResult(ExecutorId, Run, OrderOutcome::Done, 0, Leader.Stops_[0].At_,
                                  Leader.Now_);
  Leader.report(SecondLife, 110);
  cr_expect_eq(Leader.RunsOver_, 0);
}

// Guards against a new incarnation that is never met: each of its answers to earlier requests makes
// the request for its report outdated.
Test(SchedulerOrderResult, outdatedAnswersOfANewIncarnationRequestOneReport) {
  Leader Leader;
  const core::TimePoint Earlier = Leader.Now_ - Millis(1000);
  const int HoldsBefore = Leader.Holds_;
  for (int I = 0; I < 3; ++I) {
    Leader.Scheduler_->onHoldResult(ExecutorId, OrderOutcome::Done, {10, SecondLife, {}, {}},
                                    Earlier, Leader.Now_);
    Leader.pass(Millis(1));
  }
  cr_expect_eq(Leader.Holds_, HoldsBefore + 1);
}

// Guards against a new incarnation that stays unmet, so that no stop prevents its late starts,
// although it has answered: the refusal of a start shows its clock.
Test(SchedulerOrderResult, theRefusalOfAStartShowsANewIncarnation) {
  Leader Leader;
  const int HoldsBefore = Leader.Holds_;
  constexpr std::int64_t ClockMs = 40; // the first life has reported more
  Leader.answerStart(0, OrderOutcome::Unhealthy, ClockMs);
  cr_expect_eq(Leader.Holds_, HoldsBefore + 1);
}

// Guards against a new incarnation that is never met because several answers show its clock, and
// each makes the request for its report outdated.
Test(SchedulerOrderResult, refusalsOfSeveralStartsRequestOneReport) {
  Leader Leader;
  const int HoldsBefore = Leader.Holds_;
  constexpr std::int64_t ClockMs = 40;
  for (int I = 0; I < 3; ++I)
    Leader.answerStart(0, OrderOutcome::Unhealthy, ClockMs);
  cr_expect_eq(Leader.Holds_, HoldsBefore + 1);
}

// Guards against the clock of another executor at the address being taken for this one's.
Test(SchedulerOrderResult, theAnswerOfAnotherInstanceShowsNoNewIncarnation) {
  Leader Leader;
  const int HoldsBefore = Leader.Holds_;
  constexpr std::int64_t ClockMs = 40;
  Leader.answerStart(0, OrderOutcome::OtherInstance, ClockMs);
  cr_expect_eq(Leader.Holds_, HoldsBefore);
}

// Guards against a second run of a task beside the first: the start and the hold that shows a
// restart were sent in one round, the start later, and its result overtakes that of the hold. By
// the time of their round, the start is not older than the hold.
Test(SchedulerOrderResult, aStartOfTheSameRoundIsNotOlderThanTheHold) {
  Leader Leader;
  const core::TimePoint Round = Leader.Starts_[0].At_;
  Leader.Starts_[0].At_ = Round + Millis(20);
  Leader.Now_ += Millis(40);
  Leader.RunsOver_ = 0;
  constexpr std::int64_t ClockMs = 1500; // the second life is older than the first one was
  Leader.answerStart(0, OrderOutcome::Done, ClockMs);
  Leader.Scheduler_->onHoldResult(ExecutorId, OrderOutcome::Done, {ClockMs, SecondLife, {}, {}},
                                  Round + Millis(10), Leader.Now_);
  cr_expect_eq(Leader.RunsOver_, 0);
}
