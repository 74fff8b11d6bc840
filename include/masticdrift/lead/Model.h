/// \file
/// The leader's in-memory state of jobs, runs and executors.
#ifndef MASTICDRIFT_LEAD_MODEL_H
#define MASTICDRIFT_LEAD_MODEL_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/fleet/Orders.h"
#include "masticdrift/lead/Progress.h"
#include "masticdrift/lead/WaitReason.h"
#include "masticdrift/work/Ledger.h"
#include "masticdrift/work/Manifest.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticdrift::lead {

/// State of a run at its executor.
enum class RunState {
  Starting, ///< ordered, not yet answered
  Running,  ///< confirmed by an answer or a report
  /// A stop is due or was ordered. The run's resources stay reserved until it is known to be over.
  Stopping,
};

/// One run of a task at one executor. Kept until the run is known to be over.
struct Run {
  work::TaskRef Task_;
  std::uint64_t Number_ = 0;
  std::string ExecutorId_;
  core::Resources Need_;
  bool Fills_ = false; ///< uses only processor time that other runs leave
  bool HasResponseTarget_ = false;
  std::int64_t TargetMs_ = 0;
  std::string Customer_;
  RunState State_ = RunState::Starting;
  core::TimePoint OrderedAt_;     ///< time of the first start order
  core::TimePoint ConfirmedAt_{}; ///< when the executor confirmed the run; zero before
  /// The executor's clock soon after the start; 0 until the present incarnation has confirmed it.
  std::int64_t StartClockMs_ = 0;
  /// Included in the resources in use of its job, customer and executor.
  bool CountedInUse_ = false;
  int UnansweredStarts_ = 0;         ///< start orders without an answer so far
  bool OrderInFlight_ = false;       ///< a start or stop order is awaiting its result
  core::TimePoint OrderSentAt_{};    ///< when the latest start or stop order was sent
  core::TimePoint OrderRetryAt_{};   ///< when to repeat an unanswered order
  core::TimePoint StopAnsweredAt_{}; ///< when a stop order was answered; zero before
  Progress Progress_;
  /// When the run is expected to release its resources; far in the future for long-running tasks.
  core::TimePoint ExpectedEndAt_ = core::TimePoint::max();
  std::string Checkpoint_;
  int PacePercent_ = 100;
  /// Response time (ms) of a run with a response time target, else thousandths of a core in use.
  double ReportedMetric_ = 0;
  fleet::StartOrder Order_; ///< without the payload
  /// An earlier leader has recorded the run of a silent executor, which has not listed it since.
  bool Assumed_ = false;
};

/// Task and run number.
using RunKey = std::pair<work::TaskRef, std::uint64_t>;

/// The start orders of one run that an executor may still carry out.
struct OpenStart {
  int Sent_ = 0;          ///< start orders sent so far
  bool InFlight_ = false; ///< the latest order is awaiting its result
  /// The only order sent so far has been carried out, because a report has listed the run.
  bool Settled_ = false;
  /// When the leader stopped waiting for an answer to the latest lost order; zero without one.
  core::TimePoint LostAt_{};
};

/// Scheduling state of a task; Placed means that a run was started and has not completed.
enum class TaskState { Waiting, Placed, Done };

/// Scheduling state of one task.
struct TrackedTask {
  TaskState State_ = TaskState::Waiting;
  std::uint64_t RunCounter_ = 0; ///< low bits of the last run number
  std::string Checkpoint_;
  std::string AvoidExecutor_; ///< executor on which the last run failed or was too slow
  int ActiveRuns_ = 0;        ///< runs that are not known to be over
  int AssumedRuns_ = 0;       ///< of these, runs with Run::Assumed_
  bool InheritedRun_ = false; ///< an executor has listed a run of an earlier term as running
  /// A run of an earlier term was listed as running in this term and has ended since, so no
  /// executor has another one that this leader does not know. Only for tasks that may fail without
  /// limit.
  bool RunsKnown_ = false;
  int Moves_ = 0; ///< runs stopped because they were too slow or stalled
};

/// Answer of the advice service for one executor and one step.
struct ExecutorAdvice {
  bool Allowed_ = false;
  std::string Ticket_;
  core::TimePoint ValidUntil_{};
  std::int64_t Incarnation_ = 0; ///< executor incarnation that the ticket is valid for
};

/// Runs of a task that count as over because leases have lapsed.
struct VoidRecord {
  std::uint64_t UpTo_ = 0; ///< highest number of these runs
  /// The task may have been started again after the runs up to this number.
  std::uint64_t RestartedAfter_ = 0;
  std::uint64_t LastStart_ = 0; ///< Scheduler::lastStartOf() when the last of them was voided
};

/// Scheduling state of one step of an occurrence.
struct TrackedStep {
  bool Ready_ = false;
  std::uint32_t DoneTasks_ = 0;
  std::uint32_t WaitingTasks_ = 0;
  std::uint32_t InheritedRuns_ = 0; ///< tasks with TrackedTask::InheritedRun_
  std::vector<TrackedTask> Tasks_;
  std::unordered_map<std::uint32_t, ExecutorAdvice> Advice_; ///< by executor ordinal
  bool AdvicePending_ = false;
  std::vector<std::uint32_t> AskedExecutors_; ///< by ordinal, while advice is pending
  core::TimePoint AdviceRetryAt_{};
  core::TimePoint NextAheadCheckAt_{}; ///< the steps before it end later than that
  core::TimePoint NextSearchAt_{};     ///< no search for executors to request advice about before
  StepWait Wait_;                      ///< as of the last placement pass
  core::TimePoint TurnAt_{};           ///< when the step last had the turn of overdue work
  std::uint64_t LastGangRun_ = 0;      ///< run number of the latest gang start
  core::TimePoint FirstStartAt_{};
  core::Duration CompletedRunTime_{0}; ///< total run time of the completed tasks
  std::uint32_t CompletedRuns_ = 0;    ///< number of runs in CompletedRunTime_
  std::unordered_map<std::uint32_t, std::uint32_t> RunsPerExecutor_; ///< runs by executor ordinal
};

/// Scheduling state of one occurrence of a job.
struct TrackedOccurrence {
  bool Due_ = false;
  std::int64_t DueMs_ = 0; ///< Unix milliseconds
  std::uint32_t DoneSteps_ = 0;
  std::vector<TrackedStep> Steps_;
};

/// Number of no flush: that of an end which is left unprocessed, and of a job which is not begun.
inline constexpr std::uint64_t NoFlush = std::numeric_limits<std::uint64_t>::max();

/// Scheduling state of an accepted job that has not ended or still has runs.
struct TrackedJob {
  std::string Id_;
  work::AcceptedRecord Acceptance_;
  work::JobSpec Spec_;
  work::Queue Queue_; ///< from the newest configuration that contains the queue
  work::ProgressRecord Progress_;
  bool Inherited_ = false; ///< started by an earlier leader
  /// Flush that makes it durable that the job may have runs; NoFlush until it is begun, 0 when it
  /// was begun before.
  std::uint64_t BegunFlush_ = 0;
  std::uint64_t EndFlush_ = 0;    ///< flush that makes the end of the job durable
  std::uint64_t CrashFlush_ = 0;  ///< flush that makes the last counted crash durable
  std::uint64_t VoidFlush_ = 0;   ///< flush that makes the last voided run durable
  core::TimePoint LastCrashAt_{}; ///< when a crash was counted last
  /// Regions in which its tasks may start, or nothing when they may start everywhere.
  std::optional<std::set<std::string, std::less<>>> Regions_;
  bool OverRate_ = false; ///< exceeds its customer's submission rate
  bool Ended_ = false;    ///< final; the job is kept until all its runs are over
  int ActiveRuns_ = 0;
  std::set<std::string> FailedOn_; ///< executors on which runs of the job failed
  core::TimePoint AcceptedAt_;
  core::Millis Objective_{0}; ///< completion objective, from the acceptance or the due time on
  core::TimePoint Deadline_;  ///< completion objective
  /// From then on the objective is missed by so much that the job is placed last.
  core::TimePoint ValueExpiresAt_;
  /// Expected run time of a task of each step, and of the longest chain of steps from it on.
  std::vector<core::Millis> ExpectedTimes_;
  std::vector<core::Millis> RemainingChains_;
  std::vector<TrackedOccurrence> Occurrences_;
};

/// State of an executor: its lease, its reports and its runs.
struct ExecutorState {
  fleet::ExecutorInfo Info_;
  std::uint32_t Ordinal_ = 0; ///< unique within the term, never reused
  bool Listed_ = false;
  bool Recorded_ = false; ///< in the roster; nothing is started on other executors
  bool InheritedRuns_ =
      false; ///< may have runs of earlier terms: in the roster when the term began
  /// True once the current incarnation has sent a report to this leader.
  bool Reported_ = false;
  bool Replaced_ = false;   ///< another executor answers at its address, so all its runs are over
  bool ReportFull_ = false; ///< the last report had no room for further ends
  std::int64_t Incarnation_ = 0;
  /// When a new incarnation first reported. Orders sent earlier may have reached its predecessor.
  core::TimePoint MetAt_{};
  std::int64_t ClockMs_ = 0;
  core::TimePoint ClockReadAt_{};
  /// How long the reading was on its way at least, if it arrived late. Leases that are computed
  /// from it end so much earlier.
  core::Duration ClockLag_{0};
  core::TimePoint LastAnswerAt_{};
  /// Any lease that the executor may hold has ended by this time.
  core::TimePoint LeaseEnd_{};
  /// End of the lease that was granted last: at this leader, and on the executor's clock; zero
  /// before the present incarnation was granted one.
  core::TimePoint GrantedUntil_{};
  std::int64_t GrantedUntilMs_ = 0;
  bool Silent_ = false;
  /// The result of the last hold request was lost, and the executor has not answered since.
  bool AnswerOverdue_ = false;
  bool RunsKnown_ = false;        ///< has sent a report to this leader
  bool SilenceInherited_ = false; ///< an earlier leader has recorded all its runs
  /// A record may be stored which says that the executor gets no lease. Until its removal is
  /// stored, nothing is started and no lease is renewed there.
  bool LeaseWithheld_ = false;
  bool SilenceSettled_ = false; ///< the record says that nothing runs there any more
  /// A record may be stored which says that nothing is started there but the runs that it names.
  /// Until its removal is stored, nothing is.
  bool StartsWithheld_ = false;
  core::TimePoint SilentSince_{};       ///< valid while Silent_
  core::TimePoint RunsKnownSince_{};    ///< when it sent the first report; valid while RunsKnown_
  core::TimePoint SilenceRecordedAt_{}; ///< when the record was last written; zero without one
  core::TimePoint DrainRecordedAt_{};   ///< the same for the record that rules starts out
  std::string DrainRecord_;             ///< content of that record, once this leader has stored it
  /// From then on the record of an earlier leader names all runs; zero without one.
  core::TimePoint DrainHoldsFrom_{};
  /// A hold request, which requests the executor's report, acknowledges ends and renews the lease,
  /// is awaiting its result.
  bool HoldInFlight_ = false;
  core::TimePoint NextHoldAt_{}; ///< earliest time of the next hold request
  core::TimePoint LastHoldAt_{}; ///< when the last hold request was sent
  /// Answers to hold requests that were sent earlier are outdated or of an earlier incarnation.
  core::TimePoint HoldsValidSince_{};
  /// Highest processed end number; lower ones may be postponed.
  std::uint64_t ProcessedEnd_ = 0;
  /// Highest end number whose effect is durable; acknowledged with the next hold request.
  std::uint64_t DurableEnd_ = 0;
  /// End number, and the flush that makes its effect durable; in order of the numbers.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> UnackedEnds_;
  /// Completions of voided runs whose tasks may have been started again. They are never
  /// acknowledged.
  std::set<std::uint64_t> WithheldEnds_;
  std::vector<RunKey> ReportedEnds_; ///< runs that the last report lists as ended
  std::uint64_t LastLapse_ = 0;      ///< highest number of a reported end by a lapsed lease
  /// Resources of all runs, without the processor time of filling runs.
  core::Resources Used_;
  std::int64_t FillMilliCores_ = 0; ///< processor time of filling runs
  core::TimePoint PaceChangedAt_{}; ///< when the pace of filling runs last changed
  std::map<RunKey, Run> Runs_;
  std::size_t UnsizedRuns_ =
      0; ///< runs that are not counted in Used_, because their job is unknown
  /// Run of a suspect task that the executor has not been seen to survive. Nothing is started
  /// beside it, so that a crash has one possible cause.
  std::optional<RunKey> Trial_;
  /// When to request a report beside the request in flight, to learn whether a trial was survived
  /// or a start order without an answer was carried out; zero for never.
  core::TimePoint ReportDueAt_{};
  /// Start orders that are in flight or got no answer. Later incarnations may carry them out too.
  std::map<RunKey, OpenStart> OpenStarts_;
  std::set<std::string> FailedJobs_; ///< jobs with failed runs here since the last success
  /// When an end of a run of an unknown job was first reported; zero without one.
  core::TimePoint UnknownJobSince_{};
  std::uint64_t UnknownJobUpTo_ = 0; ///< highest end number that was reported by then
  /// The unprocessed ends of runs of unknown jobs in the last report.
  std::vector<fleet::ReportedEnd> PostponedEnds_;
  core::TimePoint AvoidUntil_{}; ///< no new runs before this time
  Slowness Slowness_;
  double RunTimeFactor_ = 1;       ///< learned run time relative to an average executor
  core::TimePoint DrainEnd_{};     ///< zero while not draining
  std::string Region_;             ///< empty where regions do not matter
  core::TimePoint ColdUntil_{};    ///< it is slow before, because it has just started
  double ColdStarts_ = 0;          ///< starts that it bears now; valid before ColdUntil_
  core::TimePoint ColdStartsAt_{}; ///< when ColdStarts_ was updated
  bool Evacuated_ = false;         ///< its failure domain is being evacuated
  bool OrdersPending_ = false;     ///< some run may need an order
  bool Changed_ = false;           ///< in Scheduler::Changed_
  bool RoomStale_ = false;         ///< in Scheduler::StaleRooms_
};

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_MODEL_H
