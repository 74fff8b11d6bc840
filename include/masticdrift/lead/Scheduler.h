/// \file
/// The leader's scheduler: places tasks on executors, delays orders until the records that they
/// depend on are durable, and resolves the runs of lost executors and earlier leaders.
///
/// Performs no I/O and reads no clock: the driver passes the current time in and carries out the
/// SchedulerActions.
#ifndef MASTICDRIFT_LEAD_SCHEDULER_H
#define MASTICDRIFT_LEAD_SCHEDULER_H

#include "masticdrift/lead/Admission.h"
#include "masticdrift/lead/Drain.h"
#include "masticdrift/lead/JobMemory.h"
#include "masticdrift/lead/LimitReserve.h"
#include "masticdrift/lead/Model.h"
#include "masticdrift/lead/RateTokens.h"
#include "masticdrift/lead/RoomIndex.h"
#include "masticdrift/lead/RunTimeModel.h"
#include "masticdrift/lead/Silence.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

namespace masticdrift::lead {

/// Timeouts, delays and limits of the scheduler.
struct SchedulerTiming {
  /// Lease of every run. Outlasts a takeover (about 3 s) plus a second round of renewals, and is
  /// short enough that the tasks of a lost executor restart soon.
  core::Millis Lease_{7000};
  /// Upper bound that executors apply to every lease (a platform setting). A new incarnation can
  /// receive a lease of this length from an order that was computed for its predecessor's clock.
  core::Millis MaxLease_{10'000};
  /// Clock rate error of an executor (2%), plus another 2% for rounding and queueing.
  double ClockRateMargin_ = 1.04;
  /// Time after its last confirmed heartbeat for which a leader grants full leases. A later leader
  /// waits this long, in addition to a lease, for the runs of an executor that does not answer.
  core::Millis StaleLeaderTime_{3000};
  /// Interval of the walks over all executors, which find what has become due by time. Between them
  /// only executors with events are served.
  core::Millis SweepInterval_{30};
  /// Longest time in which a change of an executor reaches the executor list. New incarnations get
  /// no runs before their entry is read or this time has passed.
  core::Millis MaxListDelay_{4500};
  /// Wait time of a hold request before an executor without new ends answers.
  core::Millis HoldWait_{900};
  /// Delay between a report with ends and the next hold request.
  core::Millis HoldSpacing_{25};
  /// Minimum wait time of a hold request while a run with a known typical run time is about to end
  /// or overdue.
  core::Millis OverdueHoldWait_{250};
  /// Time after which an unanswered order can no longer be carried out (12 s plus its transit
  /// time).
  core::Millis MaxOrderDelay_{13'000};
  /// Delay before a failed hold request or stop order is repeated.
  core::Millis HoldRetryDelay_{300};
  /// Time for which an executor counts as answering although relays return no results from it.
  /// Leaves more than half of a lease to settle its runs.
  core::Millis MaxResultLoss_{3000};
  /// A start order carries the lease that the executor has been granted already if it lasts for
  /// longer than this. Leaves more than two rounds of renewals.
  core::Millis MinStartLease_{4000};
  /// Time after the first start order of a run in which it is repeated. Each order may start a
  /// lease, and the task waits for the last one if the executor is lost.
  core::Millis MaxStartRepeatTime_{1100};
  /// Age of the executor's last answer up to which a start order is repeated: an executor without
  /// new ends answers each hold request after this time.
  core::Millis MaxRepeatAnswerAge_ = HoldWait_;
  /// Minimum interval of hold requests while the effects of reported ends are not durable or ends
  /// are left unprocessed.
  core::Millis UnackedHoldSpacing_{400};
  /// Delay before an unanswered start order is repeated.
  core::Millis OrderRetryDelay_{60};
  /// Time for which an executor with consecutive failures gets no new runs.
  core::Millis AvoidFailingTime_{4000};
  core::Millis TicketMargin_{200}; ///< tickets are treated as expired this much earlier
  /// Delay before advice is requested again after a request without a usable answer.
  core::Millis AdviceRetryDelay_{150};
  /// Time for which an executor with stalled runs gets no new runs.
  core::Millis AvoidStalledTime_{1500};
  core::Millis MoveTime_{400}; ///< time lost by stopping a run and restarting it elsewhere
  /// Runs on a draining executor are stopped this long before it shuts down.
  core::Millis DrainMargin_{700};
  int MaxStartAttempts_ = 3; ///< unanswered start orders before the run is stopped
  /// Limit of concurrent start orders that one machine sends. The smallest machines (0.12 cores)
  /// handle about 600 orders a second, so this many are served within half of an order's timeout.
  int MaxStartsInFlight_ = 128;
  /// A run is slow from this multiple of the typical run time on; the normal variation between
  /// executors is a factor of 1.6.
  double SlowFactor_ = 2;
  int MinSlowJobs_ = 2;   ///< jobs with slow runs that mark an executor as slow
  int MaxMoves_ = 3;      ///< how often a task may be moved because it is slow or stalled
  int MinFailedJobs_ = 2; ///< jobs failing in a row that mark an executor as failing
  /// An executor that still answers this long after a start has survived it. Tasks that crash
  /// executors do so 10 ms after the start on the platform; the rest is for slower ones. A longer
  /// time blames more crashes that have other causes on tasks that had just started.
  core::Millis StartSurvivalTime_{300};
  /// Time by which a crash is noticed: at once when its connections are reset, otherwise when the
  /// longest hold request has timed out. Runs that started earlier before a loss are not suspect.
  core::Millis LossNoticeTime_{3000};
  /// The same for runs without an answer to their start. Their orders may not have arrived at all.
  core::Millis UnansweredNoticeTime_{500};
  /// Executors that may crash right after they have started a task before its job fails. The
  /// platform allows two and forbids further starts after three; the third crash shows that those
  /// before were no coincidence.
  std::size_t MaxCrashes_ = 3;
  /// Of these, the executors that must have confirmed the start. One that restarts by itself while
  /// an unanswered start is on its way may never have seen the task.
  std::size_t MinConfirmedCrashes_ = 3;
  /// Crashes that fail the job although fewer starts were confirmed.
  std::size_t MaxUnconfirmedCrashes_ = 4;
  /// Time after a counted crash for which its task waits for an executor on which a crash would
  /// have no other cause. Bounds the wait where few executors may run the task.
  core::Millis MaxTrialWait_{10'000};
  /// Waiting steps from which on jobs are accepted without being begun. A calm day of 1,100
  /// executors has some dozens.
  std::size_t BacklogSteps_ = 200;
  /// Interval of the surveys of waiting work, by which jobs are admitted. Jobs accepted between two
  /// surveys are added to the last one.
  core::Millis SurveyInterval_{200};
};

/// Calls to the advice service that are expected to take longer count as long.
inline constexpr double LongAdviceMs = 150;

/// Calls to the advice service that may be outstanding. Few calls wait in a queue, so that each
/// call is chosen by what can start when it is made.
struct AdviceLimits {
  std::size_t Calls_ = std::numeric_limits<std::size_t>::max();
  std::size_t LongCalls_ = std::numeric_limits<std::size_t>::max();
};

/// Operations that the driver carries out for the scheduler. Results are passed to
/// Scheduler::onStartResult(), onStopResult(), onHoldResult() and onAdvice().
struct SchedulerActions {
  std::function<void(const fleet::ExecutorInfo &, const fleet::StartOrder &)> Start_;
  std::function<void(const fleet::ExecutorInfo &, const RunKey &)> Stop_;
  /// Limits a filling run to \c Percent of its speed.
  std::function<void(const fleet::ExecutorInfo &, const RunKey &, int Percent)> Pace_;
  /// Sends a hold request: requests the report of an executor, acknowledges ends up to \c SeenUpTo
  /// and renews the executor's lease until \c UntilMs on its clock (0 leaves the lease unchanged).
  /// The executor answers after \c Wait, or as soon as a run ends.
  std::function<void(const fleet::ExecutorInfo &, std::uint64_t SeenUpTo, std::int64_t UntilMs,
                     core::Millis Wait)>
      Hold_;
  /// Asks the advice service which executors may run a step. Requests with lower urgency values are
  /// sent first.
  std::function<void(const work::TaskRef &Step, std::vector<std::string> Executors,
                     double ExpectedMs, std::pair<int, core::TimePoint> Urgency)>
      RequestAdvice_;
  /// Logs a decision.
  std::function<void(std::string_view Event, const work::TaskRef &Task, std::uint64_t Run,
                     std::string_view ExecutorId, std::string_view Detail)>
      LogDecision_;
  /// Counts a crash of an executor, for which \p Suspects tasks come into question.
  std::function<void(std::size_t Suspects)> CountCrash_;
  /// Counts a job that has ended as failed.
  std::function<void(work::FailureReason)> CountFailedJob_;
};

/// What a scheduler knows of a job.
enum class JobKnowledge {
  Unknown,
  Tracked, ///< has not ended
  Ended,   ///< its end may not be durable yet
};

/// Work of a scheduler that grows with the fleet when it does more than events ask for.
struct StatesRead {
  std::uint64_t Executors_ = 0; ///< executors that walks over them have come to
  std::uint64_t Runs_ = 0;      ///< runs that walks over them have come to
};

/// Schedules the tasks of all accepted jobs during one term of leadership.
class Scheduler {
public:
  /// \param FencingToken fencing token of this term, higher than those of all earlier terms.
  /// \param RosterComplete true when every executor that may have runs of earlier terms is passed
  /// to onInheritedExecutor() before the first tick(). Otherwise such runs count until all leases
  /// have lapsed.
  Scheduler(std::uint64_t FencingToken, SchedulerTiming Timing, SchedulerActions Actions,
            core::TimePoint Now, bool RosterComplete);

  /// Applies a new configuration.
  void setManifest(const work::Manifest &Manifest, core::TimePoint Now);

  /// Enables the rules on places: cold executors, and regions of queues and customers. To be called
  /// before any executor or job is added.
  /// \param RegionOfDomain region of each failure domain.
  void enablePlaces(std::map<std::string, std::string, std::less<>> RegionOfDomain);

  /// Sets the failure domains in which nothing is started. What runs there goes on to its end.
  void setEvacuatedDomains(std::set<std::string, std::less<>> Domains, core::TimePoint Now);

  /// Adds or updates a job after one of its records was applied to the job table.
  void onJob(const work::JobTableEntry &Job, core::TimePoint Now, std::int64_t WallMs);

  /// \returns true when the leader has ended the job; the record of the end may not be durable yet.
  bool hasEnded(const std::string &Id) const;

  /// \returns what this scheduler knows of the job.
  JobKnowledge knowledgeOf(const std::string &Id) const;

  /// Decides whether a job is accepted, by the memory for jobs and the work that waits before it.
  /// Counts the work of an accepted job from then on.
  AdmissionDecision admit(std::string_view JobId, const work::AcceptedRecord &Acceptance,
                          const work::JobSpec &Spec, const WorkMemory &Memory, core::TimePoint Now);

  /// What is learned about run times, for later leaders and operators.
  const RunTimeModel &runTimes() const { return RunTimes_; }
  /// Takes over what an earlier leader has learned. To be called before onJob().
  void restoreRunTimes(const RunTimeSummary &Summary) { RunTimes_.restore(Summary); }

  /// Handles that all jobs that were stored before \p ReadUpTo have been read.
  void onJobsRead(core::TimePoint ReadUpTo) { JobsReadUpTo_ = std::max(JobsReadUpTo_, ReadUpTo); }

  /// Forgets an ended job that was removed from the log.
  void onJobForgotten(const std::string &Id);

  /// Handles a new or changed entry of the executor list.
  void onExecutor(const fleet::ExecutorInfo &Info, core::TimePoint Now);
  /// Handles the removal of an entry from the executor list.
  void onExecutorGone(std::string_view Id);
  /// Marks an executor that was in the roster when the term began, and may have runs of earlier
  /// terms. onExecutor() must have been called for it.
  void onInheritedExecutor(std::string_view Id, std::string_view Address);
  /// Handles that the roster holds the executor under \p Address, so that a later leader asks it
  /// for its runs. Nothing is started there before.
  void onExecutorRecorded(std::string_view Id, std::string_view Address);

  /// Takes over what an earlier leader has recorded of a silent executor. onInheritedExecutor() and
  /// onJob() for all jobs must have been called.
  void onInheritedSilence(std::string_view ExecutorId, const KnownSilence &Known,
                          core::TimePoint Now);
  /// Takes the records of silent executors to append with the next heartbeat, in bounded size.
  /// \returns the records, some of which remove an executor that answers again.
  std::vector<work::LogRecord> takeSilenceChanges(core::TimePoint Now);
  /// Handles that \p Changes are stored.
  void onSilenceChangesStored(std::span<const work::LogRecord> Changes, core::TimePoint Now);
  /// \returns true while an executor that answers gets no lease because its record may be stored.
  bool hasSilenceToClear() const;
  /// \returns true when a record of the executor's silence may be stored and is kept up to date.
  bool isSilenceRecorded(std::string_view ExecutorId) const;

  /// Takes over which runs an earlier leader has recorded of a draining executor. To be called
  /// after onInheritedSilence().
  void onInheritedDrain(std::string_view ExecutorId, const KnownDrain &Known, core::TimePoint Now);
  /// Takes the records of draining executors to append with the next heartbeat, in bounded size.
  /// \returns the records, some of which remove an executor that does not drain any more.
  std::vector<work::LogRecord> takeDrainChanges(core::TimePoint Now);
  /// Handles that \p Changes are stored.
  void onDrainChangesStored(std::span<const work::LogRecord> Changes);
  /// \returns true while nothing is started on an executor that does not drain any more, because
  /// its record may be stored.
  bool hasDrainToClear() const;
  /// \returns true when a record of the executor's draining may be stored and is kept up to date.
  bool isDrainRecorded(std::string_view ExecutorId) const;

  /// \returns true when runs count as over as soon as a heartbeat is stored that is sent now.
  bool awaitsHeartbeat(core::TimePoint Now) const;
  /// Handles that a heartbeat which was sent at \p SentAt is stored: no later term had begun then.
  void onHeartbeatStored(core::TimePoint SentAt);

  /// Handles the result of a hold request that was sent at \p SentAt.
  void onHoldResult(std::string_view ExecutorId, fleet::OrderOutcome Outcome,
                    const fleet::Report &Report, core::TimePoint SentAt, core::TimePoint Now);
  /// Handles the result of a hold request that was reported as lost before. It shows that the
  /// executor has answered or restarted, and which runs have ended, but not which still run.
  void onLateHoldResult(std::string_view ExecutorId, const fleet::Report &Report,
                        core::TimePoint Now);
  /// Handles the result of a start order.
  /// \param ClockMs the executor's clock, 0 when unknown.
  /// \param SentAt when the order was passed to SchedulerActions::Start_, or later; tells the
  /// results of one run's orders apart.
  void onStartResult(std::string_view ExecutorId, const RunKey &Key, fleet::OrderOutcome Outcome,
                     std::int64_t ClockMs, core::TimePoint SentAt, core::TimePoint Now);
  /// Handles the result of a stop order.
  /// \param ClockMs the executor's clock, 0 when unknown.
  /// \param SentAt when the order was passed to SchedulerActions::Stop_, or later.
  void onStopResult(std::string_view ExecutorId, const RunKey &Key, fleet::OrderOutcome Outcome,
                    std::int64_t ClockMs, core::TimePoint SentAt, core::TimePoint Now);
  /// Handles the answer to a request for advice.
  /// \param Allowed executors that may run the step, or nothing without a usable answer.
  void onAdvice(const work::TaskRef &Step, std::span<const std::string> Asked,
                const std::optional<std::vector<fleet::AdvisedExecutor>> &Allowed,
                core::TimePoint Now);

  /// Takes over the answer to a call for advice of an earlier leader. What this leader has learned
  /// itself stays.
  /// \param Excluded executors that may not run the step.
  /// \param Age time since the answer; tickets expire accordingly.
  void onInheritedAdvice(const work::TaskRef &Step, std::span<const fleet::AdvisedExecutor> Allowed,
                         std::span<const std::string> Excluded, core::Millis Age,
                         core::TimePoint Now);

  /// Limits the outstanding calls to the advice service.
  void setAdviceLimits(AdviceLimits Limits) { AdviceLimits_ = Limits; }
  /// Limits the concurrent start orders, when several machines send them.
  void setStartLimit(int Starts) { StartLimit_ = Starts; }
  /// Sets how many runs may exist at the same time. A customer may have as many as are free, as
  /// with the memory for jobs (admitMemory()).
  void setRunLimit(std::size_t Runs) { RunLimit_ = Runs; }

  /// Performs all due work but placement: orders, hold requests, and what follows from leases. What
  /// becomes due by time alone may be done up to one sweep interval later.
  void advance(core::TimePoint Now, std::int64_t WallMs);
  /// \returns true when tasks may be placed, and a pass may find something to place.
  bool isPlacementDue(core::TimePoint Now) const {
    return !Fenced_ && mayGrantLeases(Now) && (PlacementDue_ || Now >= NextPlacementAt_);
  }
  /// \returns true while so many steps wait that a job which is accepted now will not start soon.
  bool hasBacklog() const { return WaitingSteps_ > Timing_.BacklogSteps_; }
  /// Places waiting tasks and requests advice. Takes longer the more tasks wait.
  void place(core::TimePoint Now, std::int64_t WallMs);
  /// Performs all due work.
  void tick(core::TimePoint Now, std::int64_t WallMs) {
    advance(Now, WallMs);
    if (isPlacementDue(Now))
      place(Now, WallMs);
  }

  /// Takes the progress records that changed since the last call.
  /// \returns the number of the flush and the records to append; 0 and no records without changes.
  std::pair<std::uint64_t, std::vector<work::LogRecord>> takeProgress();
  /// Handles that the records of \p Flush are durable.
  void onFlushed(std::uint64_t Flush, core::TimePoint Now);

  /// Takes the ended jobs whose runs are all over and whose ends are durable, each once.
  std::vector<std::string> takeFinishedJobs() { return std::exchange(FinishedJobs_, {}); }

  /// \returns true after an executor rejected this leader's token, or a job was read that a newer
  /// leader has begun.
  bool fenced() const { return Fenced_; }

  /// \returns the executors to be recorded in the roster, with their addresses.
  const std::map<std::string, std::string, std::less<>> &unrecordedExecutors() const {
    return Unrecorded_;
  }
  /// \returns false for unknown executors, and for executors without an entry in the executor list
  /// whose runs are over and durably recorded, and to which no order is on its way.
  bool isTracked(std::string_view ExecutorId) const { return Executors_.contains(ExecutorId); }
  /// \returns false when a later leader need not ask the executor: it is not tracked, or it drains
  /// and has no runs.
  bool belongsInRoster(std::string_view ExecutorId) const;

  struct Counts {
    std::size_t Jobs_ = 0, Waiting_ = 0, Running_ = 0, Executors_ = 0, Silent_ = 0;
    std::size_t Unlisted_ = 0;     ///< executors without an entry in the executor list
    std::size_t OverCapacity_ = 0; ///< listed executors whose runs need more than their capacity
    /// Runs of earlier terms that were reported only after the runs of all earlier terms counted as
    /// known or over. Their tasks may have been started a second time.
    std::size_t UnaccountedRuns_ = 0;
    /// Runs of this term that an executor reported after the leader had taken them for over.
    std::size_t ReappearedRuns_ = 0;
    bool Accounted_ = false;
    /// Since the term began: calls to the advice service, executors that they allowed, and starts
    /// with such a verdict.
    std::size_t AdviceCalls_ = 0, Verdicts_ = 0, AdvisedStarts_ = 0;
    std::size_t OutstandingAdviceCalls_ = 0;
    std::map<std::string, std::size_t> RunsInEvacuation_; ///< by evacuated domain
    WaitCounts WaitingByReason_{}; ///< the waiting tasks by the reason for which their step waits
  };
  Counts counts() const;
  /// \returns what was read since the previous call.
  StatesRead takeStatesRead() { return std::exchange(StatesRead_, {}); }

private:
  friend struct PlacementPass;

  // Jobs.
  void beginJob(TrackedJob &Job);
  void initJob(TrackedJob &Job, core::TimePoint Now, std::int64_t WallMs);
  /// \returns true when a job of the customer exceeds its rate.
  bool isOverRate(const std::string &Customer, int Priority, core::TimePoint Now) const;
  /// Adds the waiting work of a step to the survey for admissions.
  void surveyStep(const TrackedJob &Job, std::size_t Step, const TrackedStep &Waiting, bool InTime);
  /// \returns how long a task of the step will run on an average executor.
  RunTimePrediction expectedRunTime(const TrackedJob &Job, const work::TaskRef &Task) const;
  void updateRegions(TrackedJob &Job) const;
  void updatePlace(ExecutorState &Executor, core::TimePoint Now);
  void takeUpEndedJob(TrackedJob &Job, core::TimePoint Now);
  bool mayForget(const ExecutorState &Executor) const;
  bool isFinished(const TrackedJob &Job,
                  const std::set<std::string_view> &JobsWithOpenStarts) const;
  void updateReadySteps(TrackedJob &Job, std::uint32_t Occurrence);
  void finishTask(TrackedJob &Job, const work::TaskRef &Task, core::TimePoint Now);
  void finishStep(TrackedJob &Job, std::uint32_t Occurrence, std::uint32_t Step,
                  core::TimePoint Now);
  void endJob(TrackedJob &Job, work::JobState State, core::TimePoint Now,
              work::FailureReason Reason = work::FailureReason::None);
  void countFailure(TrackedJob &Job, const work::TaskRef &Task, std::uint64_t Number,
                    core::TimePoint Now);
  void stopIncompleteGangs(TrackedJob &Job, core::TimePoint Now);
  void markDirty(const TrackedJob &Job);
  /// \returns true when no unknown run of an earlier leader prevents a start of the step's tasks.
  bool mayStart(const TrackedJob &Job, const work::StepSpec &Spec) const;
  /// \returns true when the stored records allow starts of the job's tasks, as far as all their
  /// earlier runs are known.
  bool recordsAllowStart(const TrackedJob &Job) const;
  TrackedJob *findJob(const work::TaskRef &Task);
  TrackedStep *findStep(TrackedJob &Job, const work::TaskRef &Task);
  const work::StepSpec &stepSpec(const TrackedJob &Job, const work::TaskRef &Task) const;

  // Runs and executors.
  Run &addRun(ExecutorState &Executor, TrackedJob *Job, const work::TaskRef &Task,
              std::uint64_t Number, RunState State, core::TimePoint Now);
  void removeRun(ExecutorState &Executor, const RunKey &Key, core::TimePoint Now);
  /// \returns true while the executor may carry out a start order of a run that it has not listed.
  static bool mayStillStart(const ExecutorState &Executor, const RunKey &Key);
  /// Notes that a report lists a run as running or ended.
  static void settleListedStart(ExecutorState &Executor, const RunKey &Key);
  /// Notes the result of the latest start order of a run.
  static void settleStart(ExecutorState &Executor, const RunKey &Key, fleet::OrderOutcome Outcome,
                          core::TimePoint Now);
  void noticeClock(ExecutorState &Executor, fleet::OrderOutcome Outcome, std::int64_t ClockMs,
                   core::TimePoint SentAt, core::TimePoint Now);
  void onUnmetIncarnation(ExecutorState &Executor, std::string_view Evidence, core::TimePoint Now);
  void noticeIncarnation(ExecutorState &Executor, const fleet::Report &Report, core::TimePoint Now);
  void processLateEnds(ExecutorState &Executor, const fleet::Report &Report, core::TimePoint Now);
  void sendStart(ExecutorState &Executor, Run &ActiveRun, core::TimePoint Now);
  void sendStop(ExecutorState &Executor, Run &ActiveRun, core::TimePoint Now);
  void stopRun(ExecutorState &Executor, Run &ActiveRun, std::string_view Reason,
               core::TimePoint Now);
  void stopJobRuns(TrackedJob &Job, std::string_view Reason, core::TimePoint Now);
  void stopStepRuns(TrackedJob &Job, const work::TaskRef &Task, std::string_view Reason,
                    core::TimePoint Now);
  void processEnd(ExecutorState &Executor, const fleet::ReportedEnd &End, core::TimePoint Now);
  void noteUnackedEnd(ExecutorState &Executor, std::uint64_t SequenceNumber, std::uint64_t Flush);
  void voidRuns(TrackedJob &Job, const work::TaskRef &Task, std::uint64_t UpTo);
  void voidUnknownRuns(TrackedJob &Job, std::int64_t WallMs);
  void voidRunsOfLateJob(TrackedJob &Job, std::int64_t WallMs);
  /// \returns true when all voided runs are known to later leaders.
  bool voidsAreStored() const;
  /// \returns a number that changes with each start of the task in this term.
  std::uint64_t lastStartOf(const TrackedJob &Job, const work::TaskRef &Task) const;
  bool mustWithhold(const ExecutorState &Executor, const fleet::ReportedEnd &End);
  void withhold(ExecutorState &Executor, const fleet::ReportedEnd &End);
  void reportReappeared(const ExecutorState &Executor, const work::TaskRef &Task,
                        std::uint64_t Number, std::string_view State);
  void reportUnaccounted(const ExecutorState &Executor, const work::TaskRef &Task,
                         std::uint64_t Number, std::string_view State);
  void recordFailure(ExecutorState &Executor, const fleet::ReportedEnd &End, core::TimePoint Now);
  void applyEnd(TrackedJob &Job, const fleet::ReportedEnd &End, std::string_view ExecutorId,
                bool RunWasKnown, core::TimePoint Now);
  static void noteInheritedRun(TrackedStep &Step, const work::TaskRef &Task);
  void processRunning(ExecutorState &Executor, const fleet::ReportedRun &Row, core::TimePoint Now);
  void removeMissingRuns(ExecutorState &Executor, const fleet::Report &Report,
                         core::TimePoint SentAt, core::TimePoint Now);
  void processEnds(ExecutorState &Executor, std::span<const fleet::ReportedEnd> Rows,
                   core::TimePoint Now);
  void reconcileLateJob(TrackedJob &Job, core::TimePoint Now);
  bool mustWaitForJob(ExecutorState &Executor, const fleet::ReportedEnd &End,
                      std::uint64_t LastReported, core::TimePoint Now);
  void preventOpenStarts(ExecutorState &Executor, const std::set<RunKey> &ListedRuns,
                         core::TimePoint Now);
  void handleRestart(ExecutorState &Executor, const fleet::Report &Report, core::TimePoint SentAt,
                     core::TimePoint Now);
  static void resetIncarnation(ExecutorState &Executor);
  void removeAllRuns(ExecutorState &Executor, std::string_view Reason, core::TimePoint Now);

  // Crashes.
  bool hasSurvivedStart(const ExecutorState &Executor, const Run &ActiveRun) const;
  std::size_t suspectStartedRuns(ExecutorState &Executor, bool Crashed,
                                 std::span<const fleet::ReportedRun> Survivors,
                                 core::TimePoint Now);
  void onExecutorCrashed(ExecutorState &Executor, std::span<const fleet::ReportedRun> Survivors,
                         core::TimePoint Now);
  std::size_t onAnswerAfterSilence(const ExecutorState &Executor, std::int64_t Incarnation,
                                   core::TimePoint Now);
  void countCrash(TrackedJob &Job, const work::TaskRef &Task, std::string_view ExecutorId,
                  core::TimePoint Now);
  void onExecutorReplaced(std::string_view Address, std::string_view ExecutorId,
                          core::TimePoint Now);
  void settleInheritedSuspicions(TrackedJob &Job, core::TimePoint Now);
  void forgetSettledSuspects();
  void checkTrial(ExecutorState &Executor);

  // Silent executors.
  bool knowsRunsOf(const ExecutorState &Executor) const;
  SilenceRecord describeSilence(const ExecutorState &Executor, core::TimePoint Now) const;
  /// \returns true when no run of earlier terms on the executor is unknown.
  static bool isAccountedFor(const ExecutorState &Executor);
  DrainRecord describeDrain(const ExecutorState &Executor, core::TimePoint Now) const;
  void assumeRun(ExecutorState &Executor, const work::TaskRef &Task, std::uint64_t Number,
                 core::TimePoint Now);
  void settleAssumedRun(Run &Settled);
  bool needsRun(const TrackedJob &Job, const TrackedStep &Step, const fleet::ReportedRun &Row,
                core::TimePoint Now);
  /// \returns true when all assumed runs of the task have lower numbers.
  bool isLaterThanAssumed(const fleet::ReportedRun &Row) const;
  void dropAssumedRuns(const work::TaskRef &Task, std::uint64_t Below, core::TimePoint Now);

  /// \returns the time up to which this leader may grant leases.
  core::TimePoint leaseLimit() const;
  /// \returns false when a run that starts now would soon lapse for want of a stored heartbeat.
  bool mayGrantLeases(core::TimePoint Now) const {
    return leaseLimit() - Now >= Timing_.StaleLeaderTime_;
  }
  /// Grants an executor a lease that starts now.
  /// \returns its end on the executor's clock.
  std::int64_t grantLease(ExecutorState &Executor, core::TimePoint Now);
  /// Notes that an order which is sent now may start a lease.
  void extendLeaseEnd(ExecutorState &Executor, core::TimePoint Now);
  void tickExecutor(ExecutorState &Executor, core::TimePoint Now);
  /// Notes that an executor may be due, and that its room may have changed.
  void noteChange(ExecutorState &Executor);
  void noteDue(ExecutorState &Executor);        ///< tickExecutor() may find something to do
  void noteRoomChange(ExecutorState &Executor); ///< Rooms_ may be out of date
  /// Serves an executor, and again in the next round if it will be due before the next sweep.
  void serve(ExecutorState &Executor, core::TimePoint Now);
  /// Serves all executors, and does what depends on all of them.
  void sweep(core::TimePoint Now, std::int64_t WallMs);
  void forget(ExecutorState &Executor);
  bool acceptsWork(const ExecutorState &Executor, core::TimePoint Now) const;
  /// \returns the executors with runs of a step, by ordinal.
  std::vector<ExecutorState *> executorsWithRunsOf(const TrackedStep &Step);
  /// Calls \p Visit with each run of the tasks from \p First up to \p Last on an executor.
  template <typename Visitor>
  void visitRuns(ExecutorState &Executor, const work::TaskRef &First, const work::TaskRef &Last,
                 Visitor Visit);
  /// \returns when the last run of a step is expected to end; zero without runs.
  core::TimePoint expectedEndOf(const TrackedJob &Job, std::uint32_t Occurrence,
                                std::uint32_t Step);
  static void releaseDrained(ExecutorState &Executor);
  /// Sends the order that a run needs now.
  /// \returns true while the run may need another order.
  bool tickRun(ExecutorState &Executor, Run &ActiveRun, core::TimePoint Now);
  void stopDrainingRuns(ExecutorState &Executor, core::TimePoint Now);
  /// \returns the run time of comparable tasks, or nothing while too few have ended.
  std::optional<core::Millis> typicalRunTime(const TrackedJob &Job,
                                             const work::TaskRef &Task) const;
  void updateExpectedEnd(Run &ActiveRun, core::TimePoint Now) const;
  void recordRunTime(TrackedJob &Job, ExecutorState &Executor, const Run &EndedRun,
                     core::TimePoint Now);
  void checkProgress(ExecutorState &Executor, core::TimePoint Now);
  void moveRun(ExecutorState &Executor, Run &ActiveRun, std::string_view Reason,
               core::TimePoint Now);
  /// Stops all runs of a task except \p EndedRun.
  void stopCopies(const work::TaskRef &Task, std::uint64_t EndedRun, core::TimePoint Now);
  core::Millis holdWait(const ExecutorState &Executor, core::TimePoint Now) const;
  void adjustPace(ExecutorState &Executor, core::TimePoint Now);
  void updateAccounted(core::TimePoint Now, std::int64_t WallMs);

  // Placement.
  void logDecision(std::string_view Event, const work::TaskRef &Task, std::uint64_t Number,
                   std::string_view ExecutorId, std::string_view Detail) const;

  const std::uint64_t Token_;
  const SchedulerTiming Timing_;
  const SchedulerActions Actions_;
  const core::TimePoint TermStart_;
  core::TimePoint ConfirmedAt_{}; ///< the latest time at which no later term had begun
  const bool RosterComplete_;
  bool Fenced_ = false;
  bool Accounted_ = false;          ///< every run of earlier leaders is known or over
  core::TimePoint AccountedAt_{};   ///< since when
  bool AccountedByReports_ = false; ///< accounted because all executors answered
  std::size_t UnaccountedRuns_ = 0;
  std::size_t ReappearedRuns_ = 0;
  core::TimePoint SilencesWrittenAt_{}; ///< when records of silent executors were written last
  core::TimePoint DrainsWrittenAt_{};   ///< the same for draining executors
  /// Like Accounted_, except for runs on executors that did not answer.
  bool AllContacted_ = false;
  bool EndsHidden_ = false; ///< some executor has ends that did not fit into its last report
  bool PlacementDue_ = true;
  int StartsInFlight_ = 0; ///< start orders without a result
  int StartLimit_ = Timing_.MaxStartsInFlight_;
  work::HeldWork RunCounts_; ///< runs of known jobs, each counted as 1
  std::size_t RunLimit_ = std::numeric_limits<std::size_t>::max();
  core::TimePoint NextPlacementAt_{};
  std::size_t WaitingSteps_ = 0; ///< in the last placement pass
  work::Manifest Manifest_;
  bool PlacesEnabled_ = false;
  bool LastCallWasTurn_ = false; ///< the last call for advice was for overdue work with its turn
  std::map<std::string, std::string, std::less<>> RegionOfDomain_;
  std::set<std::string, std::less<>> EvacuatedDomains_;
  std::unordered_map<std::string, TrackedJob> Jobs_;
  core::TimePoint JobsReadUpTo_{};  ///< all jobs stored before this time have been read
  std::set<std::string> FinalJobs_; ///< ended jobs without runs that are still in the log
  std::map<work::TaskRef, VoidRecord> VoidedRuns_;
  struct LapsedRun {
    std::uint64_t Number_ = 0; ///< highest number of the task's runs that were given up
    core::TimePoint LapsedAt_;
  };
  /// Runs that were given up with a lease before their job was read.
  std::map<work::TaskRef, LapsedRun> LapsedBeforeRead_;
  std::uint64_t LastVoidFlush_ = 0; ///< flush that makes the last voided run durable
  /// Runs of earlier terms that no executor has listed count as over because leases have lapsed.
  bool UnknownRunsLapsed_ = false;
  std::vector<std::string> FinishedJobs_; ///< jobs that takeFinishedJobs() returns next
  std::map<std::string, ExecutorState, std::less<>> Executors_;
  std::vector<ExecutorState *> ByOrdinal_; ///< null for removed executors
  RoomIndex Rooms_;
  std::vector<std::uint32_t> StaleRooms_; ///< ordinals of executors to refresh in Rooms_
  std::vector<std::uint32_t> Changed_;    ///< ordinals of executors that may be due
  core::TimePoint NextSweepAt_{};
  std::set<std::uint32_t> WithUnackedEnds_; ///< ordinals of executors with UnackedEnds_, and others
  /// Ordinals of executors with runs or ends of jobs that have not been read, and others.
  std::set<std::uint32_t> WithUnknownJobs_;
  std::map<std::string, std::string, std::less<>> Unrecorded_; ///< addresses by executor id
  std::unordered_map<std::string, core::Resources> UsedByCustomer_;
  std::unordered_map<std::string, DemandPeak> UrgentPeaks_; ///< first-priority work, by customer
  std::unordered_map<std::string, RateTokens> RateTokens_;  ///< by customer
  std::set<std::string> DirtyJobs_; ///< jobs whose progress record has changed
  std::set<std::string>
      SuspectJobs_; ///< jobs with suspicions against their tasks, and maybe others
  std::unordered_map<std::string, double> AdviceYield_; ///< fraction of allowed executors by queue
  AdviceLimits AdviceLimits_;
  std::size_t AdviceCalls_ = 0;
  std::size_t Verdicts_ = 0;
  std::size_t AdvisedStarts_ = 0;
  std::map<work::TaskRef, bool> OutstandingAdvice_; ///< by step; true for a long call
  std::size_t OutstandingLongCalls_ = 0;
  WaitLogBudget WaitLogBudget_;
  /// Work that overdue work is owed, in thousandths of a core times milliseconds.
  double OverdueCredit_ = 0;
  StatesRead StatesRead_;
  std::unordered_map<std::string, RunTimeRatio> RunTimeRatios_; ///< by queue and image
  RunTimeModel RunTimes_;
  AdmissionControl Admission_;
  CapacityCatalog Capacities_;
  core::TimePoint NextSurveyAt_{};
  std::uint64_t NextFlush_ = 1;
  std::uint64_t DurableFlush_ = 0;
};

/// Bits of a run number that count the runs of a task under one token.
inline constexpr unsigned RunCounterBits = 20;

/// \returns the number of the \p Counter-th run under a token; increases with both arguments.
constexpr std::uint64_t runNumber(std::uint64_t Token, std::uint64_t Counter) {
  return (Token << RunCounterBits) + Counter;
}

/// \returns the token under which a run was started.
constexpr std::uint64_t tokenOf(std::uint64_t RunNumber) { return RunNumber >> RunCounterBits; }

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_SCHEDULER_H
