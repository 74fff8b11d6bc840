// A scheduling pass takes time: its orders leave later than the time that it takes for the present.
#include "masticdrift/lead/Scheduler.h"
#include "support/SimpleJobs.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using fleet::OrderOutcome;

namespace {

constexpr std::int64_t EarlierBornMs = 1000;
constexpr std::int64_t LaterBornMs = 9000;
constexpr Millis AnswerTime{5};

/// A scheduler with one executor that has answered, whose orders leave \c PassTime after the
/// beginning of the pass that decides them.
struct Fixture {
  static constexpr Millis PassTime{40};
  core::TimePoint Now_{std::chrono::hours(1)};
  std::vector<lead::RunKey> Started_;
  std::vector<lead::RunKey> Stopped_;
  std::map<std::string, core::TimePoint> HoldsSentAt_; ///< of the latest hold, by executor
  lead::Scheduler Scheduler_;

  Fixture() : Scheduler_(7, lead::SchedulerTiming{}, makeActions(), Now_, true) {
    work::Manifest Manifest;
    work::Queue Queue;
    Queue.Name_ = "q";
    Queue.Pool_ = "pool";
    Queue.MaxAttempts_ = 4;
    Queue.Stretch_ = 2;
    Manifest.Queues_.push_back(Queue);
    Scheduler_.setManifest(Manifest, Now_);
    addExecutor("e0");
  }

  void listExecutor(const std::string &Id, std::int64_t BornMs) {
    fleet::ExecutorInfo Info;
    Info.Id_ = Info.Address_ = Id;
    Info.Pool_ = "pool";
    Info.Capacity_ = {4000, 8000, 0};
    Info.IncarnationStartMs_ = BornMs;
    Scheduler_.onExecutor(Info, Now_);
  }

  void addExecutor(const std::string &Id) {
    listExecutor(Id, EarlierBornMs);
    Scheduler_.onExecutorRecorded(Id, Id);
    pass();
    answerHold(Id, EarlierBornMs, 100'000, {});
  }

  lead::SchedulerActions makeActions() {
    lead::SchedulerActions Actions;
    Actions.Hold_ = [this](const fleet::ExecutorInfo &Info, std::uint64_t, std::int64_t, Millis) {
      HoldsSentAt_[Info.Id_] = Now_ + PassTime;
    };
    Actions.Start_ = [this](const fleet::ExecutorInfo &, const fleet::StartOrder &Order) {
      Started_.emplace_back(Order.Task_, Order.Run_);
    };
    Actions.Stop_ = [this](const fleet::ExecutorInfo &, const lead::RunKey &Key) {
      Stopped_.push_back(Key);
    };
    return Actions;
  }

  void submit(const std::string &Id) {
    work::JobTableEntry Job;
    Job.Id_ = Id;
    Job.Accepted_ = Job.HasSpec_ = true;
    Job.Acceptance_.Queue_.Name_ = "q";
    Job.Spec_ = tests::makeJob(1, 5000);
    Scheduler_.onJob(Job, Now_, 1);
    flush();
  }

  void flush() {
    if (const auto Flush = Scheduler_.takeProgress().first; Flush != 0)
      Scheduler_.onFlushed(Flush, Now_);
  }

  /// Makes a pass; afterwards it is the time at which its orders leave.
  void pass() {
    Scheduler_.onHeartbeatStored(Now_);
    Scheduler_.tick(Now_, 1);
    Now_ += PassTime;
    flush();
  }

  void answerHold(const std::string &Id, std::int64_t BornMs, std::int64_t ClockMs,
                  std::vector<fleet::ReportedRun> Running) {
    fleet::Report Report;
    Report.IncarnationStartMs_ = BornMs;
    Report.ClockMs_ = ClockMs;
    Report.Running_ = std::move(Running);
    Scheduler_.onHoldResult(Id, OrderOutcome::Done, Report, HoldsSentAt_.at(Id), Now_);
  }
};

} // namespace

// Guards against two runs at the same time: an executor has started again, its new incarnation
// answers a hold request and then carries out a start of the same pass. The leader reads the answer
// to the start first, takes the run for one of the earlier incarnation and starts its task again.
Test(SchedulerPassTime, startAfterTheReportOfANewIncarnationIsNotTakenForEarlier) {
  Fixture Fleet;
  Fleet.submit("j1");
  Fleet.HoldsSentAt_.clear();
  Fleet.pass();
  cr_assert_eq(Fleet.Started_.size(), 1);
  cr_assert_eq(Fleet.HoldsSentAt_.size(), 1, "no request was sent in the pass of the start");
  const lead::RunKey Key = Fleet.Started_.front();
  const core::TimePoint SentAt = std::exchange(Fleet.Now_, Fleet.Now_ + AnswerTime);
  Fleet.Scheduler_.onStartResult("e0", Key, OrderOutcome::Done, 52, SentAt, Fleet.Now_);
  Fleet.answerHold("e0", LaterBornMs, 50, {});
  Fleet.addExecutor("e1");
  for (int I = 0; I < 3; ++I)
    Fleet.pass();
  cr_expect_eq(Fleet.Started_.size(), 1, "the task was started again");
  cr_expect_eq(Fleet.Scheduler_.counts().Running_, 1);
  Fleet.answerHold("e0", LaterBornMs, 300, {{Key.first, Key.second, {}, 5, 0}});
  Fleet.pass();
  cr_expect(Fleet.Stopped_.empty(), "the run was stopped");
  cr_expect_eq(Fleet.Scheduler_.counts().Running_, 1);
}

// Guards against a task that waits for a run which ended with the earlier incarnation of its
// executor, after the start had been answered.
Test(SchedulerPassTime, startThatOnlyTheEarlierIncarnationCarriedOutIsRepeated) {
  Fixture Fleet;
  Fleet.submit("j1");
  Fleet.pass();
  cr_assert_eq(Fleet.Started_.size(), 1);
  const core::TimePoint SentAt = std::exchange(Fleet.Now_, Fleet.Now_ + AnswerTime);
  Fleet.Scheduler_.onStartResult("e0", Fleet.Started_.front(), OrderOutcome::Done, 100'200, SentAt,
                                 Fleet.Now_);
  Fleet.answerHold("e0", LaterBornMs, 50, {});
  Fleet.pass();
  Fleet.answerHold("e0", LaterBornMs, 100, {});
  Fleet.Now_ += lead::SchedulerTiming{}.MaxListDelay_;
  for (int I = 0; I < 3; ++I) {
    Fleet.pass();
    Fleet.answerHold("e0", LaterBornMs, 6000 + 100 * I, {});
  }
  cr_expect_geq(Fleet.Started_.size(), 2, "the task was not started again");
}

// Guards against two runs at the same time: a start reaches a new incarnation, whose lease lasts
// for up to the platform's maximum on its own clock. The executor list shows the incarnation, which
// then does not answer, and the leader waits only for the lease of the earlier one.
Test(SchedulerPassTime, leaseOfAnIncarnationThatTheListShowsIsWaitedFor) {
  Fixture Fleet;
  // Leases of an earlier leader are over.
  Fleet.Now_ += 2 * lead::SchedulerTiming{}.MaxLease_;
  Fleet.pass();
  Fleet.answerHold("e0", EarlierBornMs, 120'000, {});
  Fleet.submit("j1");
  const core::TimePoint OrderedAt = Fleet.Now_;
  Fleet.pass();
  cr_assert_eq(Fleet.Started_.size(), 1);
  Fleet.listExecutor("e0", LaterBornMs);
  while (Fleet.Now_ < OrderedAt + lead::SchedulerTiming{}.MaxLease_) {
    Fleet.Scheduler_.onHoldResult("e0", OrderOutcome::NoAnswer, {}, Fleet.Now_, Fleet.Now_);
    Fleet.pass();
    cr_assert_eq(Fleet.Scheduler_.counts().Running_, 1, "given up after %ld ms",
                 static_cast<long>(core::toMillis(Fleet.Now_ - OrderedAt)));
  }
}
