/// \file
/// The leader's picture of jobs, runs and executors.
#ifndef MASTICDRIFT_LEAD_MODEL_H
#define MASTICDRIFT_LEAD_MODEL_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/fleet/Orders.h"
#include "masticdrift/lead/Progress.h"
#include "masticdrift/work/Ledger.h"
#include "masticdrift/work/Manifest.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticdrift::lead {

/// Where a run stands at its executor.
enum class RunState {
  Starting, ///< ordered, not answered
  Running,  ///< answered or listed
  Stopping, ///< a stop is due or ordered; its room stays taken until it is known to be over
};

/// One run of a task at one executor; exists until it is known to be over there.
struct Run {
  work::TaskRef Task_;
  std::uint64_t Number_ = 0;
  std::string Executor_;
  core::Resources Need_;
  bool Fills_ = false;
  bool Serves_ = false; ///< has a response time target
  std::int64_t TargetMs_ = 0;
  std::string Customer_;
  RunState State_ = RunState::Starting;
  core::TimePoint OrderedAt_;     ///< first start order
  core::TimePoint ConfirmedAt_{}; ///< when known to be there; zero before
  bool Counted_ = false;          ///< in what its job, customer and executor have in use
  int Unanswered_ = 0;            ///< start orders without an answer
  bool OrderOutstanding_ = false; ///< a start or stop is on its way
  core::TimePoint NextOrderAt_{}; ///< when to repeat the outstanding order
  core::TimePoint StoppedAt_{};   ///< when a stop was answered; zero before
  Progress Progress_;
  std::string Checkpoint_;
  int Pace_ = 100;
  double Figure_ = 0;
  fleet::StartOrder Order_;
};

using RunKey = std::pair<work::TaskRef, std::uint64_t>;

enum class TaskState { Waiting, Placed, Done };

struct TaskRun {
  TaskState State_ = TaskState::Waiting;
  std::uint64_t RunCounter_ = 0; ///< low part of the next run number
  std::string Checkpoint_;
  std::string Avoid_; ///< executor on which the last run failed
  int Runs_ = 0;      ///< runs that are not known to be over
  int Moves_ = 0;     ///< runs given up because they were too slow
};

/// What advice has said about one executor for a step.
struct Advice {
  bool May_ = false;
  std::string Ticket_;
  core::TimePoint ValidUntil_{};
  std::int64_t Born_ = 0; ///< incarnation that the ticket is for
};

struct StepRun {
  bool Ready_ = false;
  std::uint32_t Done_ = 0;
  std::uint32_t Waiting_ = 0;
  std::vector<TaskRun> Tasks_;
  std::unordered_map<std::uint32_t, Advice> Advice_; ///< by the executor's slot
  bool Asking_ = false;
  core::TimePoint AskAgainAt_{};
  std::uint64_t GangCounter_ = 0;
  core::TimePoint FirstStart_{};
  core::Duration EndedTime_{0}; ///< run times of the tasks that ended done, summed
  std::uint32_t EndedRuns_ = 0; ///< their number
  std::unordered_map<std::uint32_t, std::uint32_t> PerExecutor_; ///< runs, by the executor's slot
};

struct OccurrenceRun {
  bool Due_ = false;
  std::int64_t DueMs_ = 0; ///< wall clock
  std::uint32_t StepsDone_ = 0;
  std::vector<StepRun> Steps_;
};

/// A job that the leader works on.
struct JobRun {
  std::string Id_;
  work::AcceptedRecord What_;
  work::JobSpec Spec_;
  work::Queue Queue_; ///< as of the newest configuration that has it
  work::ProgressRecord Progress_;
  bool Inherited_ = false;      ///< begun by an earlier leader
  std::uint64_t BegunWith_ = 0; ///< flush that makes the beginning durable
  bool OverShare_ = false;      ///< beyond its customer's rate
  bool Ended_ = false;          ///< final; kept until all runs are over
  int Runs_ = 0;
  std::set<std::string> FailedOn_; ///< executors on which its runs failed
  core::TimePoint AcceptedAt_;
  core::TimePoint Deadline_;  ///< objective
  core::TimePoint Worthless_; ///< after this the objective is missed by far
  std::vector<OccurrenceRun> Occurrences_;
};

/// An executor with its lease and runs.
struct ExecutorState {
  fleet::ExecutorInfo Info_;
  std::uint32_t Slot_ = 0; ///< number of this executor within the term, never given again
  bool Listed_ = false;
  core::TimePoint UnlistedAt_{};
  bool Held_ = false; ///< has answered under this term in its present incarnation
  std::int64_t Born_ = 0;
  std::int64_t ClockMs_ = 0;
  core::TimePoint ClockAt_{};
  core::TimePoint LastAnswer_{};
  core::TimePoint LeaseEnd_{}; ///< by then a lease that it may hold has surely lapsed
  bool Silent_ = false;
  bool HoldOutstanding_ = false;
  core::TimePoint NextHold_{};
  core::TimePoint LastHold_{};
  std::uint64_t Processed_ = 0; ///< highest end number taken in
  std::uint64_t Seen_ = 0;      ///< highest end number whose effect is durable
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Unacked_; ///< end number, flush
  core::Resources Used_; ///< by all runs, without the processor time of filling ones
  std::int64_t FillMilliCores_ = 0;
  core::TimePoint PacedAt_{}; ///< when filling runs were last slowed down or sped up
  std::map<RunKey, Run> Runs_;
  bool Unsettled_ = false; ///< an order of some run may be due
  /// Start orders without an answer and when they were given up; they may still be carried out.
  std::vector<std::pair<RunKey, core::TimePoint>> LostStarts_;
  std::set<std::string> FailedJobs_; ///< whose runs failed here since the last success
  core::TimePoint UnknownSince_{};   ///< when the end of a run of an unknown job was first listed
  std::vector<fleet::ReportedEnd> Postponed_; ///< that end and the later ones of the last list
  core::TimePoint AvoidUntil_{};
  Slowness Slowness_;
  core::TimePoint DrainEnd_{}; ///< zero while not draining
};

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_MODEL_H
