/// \file
/// The leader's decisions: which task runs where, what is durable before which order is given, and
/// how runs of lost executors and earlier leaders are settled.
///
/// No I/O and no clock: the driver passes the time in and carries out what Ports ask for.
#ifndef MASTICDRIFT_LEAD_SCHEDULER_H
#define MASTICDRIFT_LEAD_SCHEDULER_H

#include "masticdrift/lead/Model.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace masticdrift::lead {

/// Times of the leader.
struct Timing {
  /// Lease of everything that runs. Long enough for a takeover (about 3 s) and a second round of
  /// renewals; short enough that work of a lost executor starts again soon.
  core::Millis Lease_{7000};
  /// Executors shorten every lease to this (a setting of the platform). A new incarnation can get
  /// it from an order that was meant for the clock of the one before.
  core::Millis LongestLease_{10'000};
  /// Clock rate error of an executor (2%) plus the same again for rounding and queueing.
  double LeaseMargin_ = 1.04;
  /// An earlier leader has met a newer token at some executor by this time, because it asks each
  /// one about every second.
  core::Millis StaleLeader_{3000};
  /// A list read by a new process may lack entries that lapsed in a store outage; they are back
  /// about 2 s after its return.
  core::Millis ListSettles_{2500};
  core::Millis HoldWait_{900};        ///< an executor without news answers after this time
  core::Millis HoldSpacing_{25};      ///< between an answer with ends and the next request
  core::Millis OverdueHoldWait_{250}; ///< the same when a run there should have ended
  /// Until then an order without an answer may be carried out (12 s, and its way).
  core::Millis LatestOrder_{13'000};
  core::Millis HoldRetry_{300};   ///< after a request without an answer
  core::Millis UnackedHold_{400}; ///< between requests while ends are not durable
  core::Millis OrderRetry_{60};   ///< before an unanswered order is repeated
  /// An accepted job is read by then: the reads' wait, a slow store's answer and a rest.
  core::Millis UnknownJob_{3000};
  core::Millis AvoidFailing_{4000}; ///< an executor that fails runs in a row gets no new ones
  core::Millis TicketMargin_{200};  ///< tickets count as expired this much earlier
  core::Millis AdviceRetry_{150};   ///< after advice that brought nothing
  core::Millis AvoidStill_{1500};   ///< an executor on which runs stand still gets no new ones
  core::Millis MoveTime_{400};      ///< lost when a run is stopped and started elsewhere
  core::Millis DrainMargin_{700};   ///< runs are stopped this long before a draining executor ends
  /// A request sent this long after a draining executor's entry went away finds it gone.
  core::Millis LeaveMargin_{200};
  int StartAttempts_ = 3; ///< start orders before a stop settles the run
  /// Start orders on their way at the same time. The smallest machines (0.12 cores) handle about
  /// 600 a second, so that these are served within half of an order's time limit.
  int StartsOnTheWay_ = 128;
  /// Run times in multiples of the typical one that count as slow; executors differ by 1.6 anyway.
  double SlowFactor_ = 2;
  int SlowJobsToMove_ = 2;    ///< slow jobs that make an executor slow
  int MostMoves_ = 3;         ///< runs of one task given up because they were too slow
  int FailedJobsToAvoid_ = 2; ///< jobs failing in a row that make an executor suspect
};

/// What the driver carries out. Results come back through the Scheduler's on... functions.
struct Ports {
  std::function<void(const fleet::ExecutorInfo &, const fleet::StartOrder &)> Start_;
  std::function<void(const fleet::ExecutorInfo &, const RunKey &)> Stop_;
  std::function<void(const fleet::ExecutorInfo &, const RunKey &, int Percent)> Pace_;
  std::function<void(const fleet::ExecutorInfo &, std::uint64_t SeenUpTo, std::int64_t UntilMs,
                     core::Millis Wait)>
      Hold_;
  /// Ask which executors may run a step; lower urgency values go first.
  std::function<void(const work::TaskRef &Step, std::vector<std::string> Executors,
                     double ExpectedMs, std::pair<int, core::TimePoint> Urgency)>
      Advise_;
  /// A decision for the log: event, task, run, executor, detail.
  std::function<void(std::string_view Event, const work::TaskRef &Task, std::uint64_t Run,
                     std::string_view Executor, std::string_view Detail)>
      Note_;
};

class Scheduler {
public:
  /// \param Token fencing token of this term, higher than that of every earlier one.
  /// \param FreshList true when the executor list was first read moments ago.
  Scheduler(std::uint64_t Token, Timing Times, Ports Out, core::TimePoint Now, bool FreshList);

  /// Takes a new configuration into force.
  void setManifest(const work::Manifest &Manifest, core::TimePoint Now);

  /// Takes over or updates a job after a record of it was applied.
  void onJob(const work::JobTableEntry &Job, core::TimePoint Now, std::int64_t WallMs);

  /// \returns true when a job has ended by this leader's decision; its record may not be durable
  /// yet.
  bool hasEnded(const std::string &Id) const;

  /// A job that ended long ago is gone from the log.
  void onJobForgotten(const std::string &Id) { Final_.erase(Id); }

  /// An entry of the executor list appeared or changed.
  void onExecutor(const fleet::ExecutorInfo &Info, core::TimePoint Now);
  /// An entry of the executor list went away.
  void onExecutorGone(std::string_view Id, core::TimePoint Now);

  void onHold(std::string_view Executor, fleet::OrderOutcome Outcome, const fleet::Report &Report,
              core::TimePoint SentAt, core::TimePoint Now);
  void onStarted(std::string_view Executor, const RunKey &Which, fleet::OrderOutcome Outcome,
                 std::int64_t ClockMs, core::TimePoint Now);
  void onStopped(std::string_view Executor, const RunKey &Which, fleet::OrderOutcome Outcome,
                 core::TimePoint Now);
  /// \param Good empty optional when no usable answer came.
  void onAdvice(const work::TaskRef &Step, std::span<const std::string> Asked,
                const std::optional<std::vector<fleet::AdvisedExecutor>> &Good,
                core::TimePoint Now);

  /// Does everything that is due: orders, holds, placements.
  void tick(core::TimePoint Now, std::int64_t WallMs);

  /// \returns the progress records to append now, and their flush number; empty when none are due.
  std::pair<std::uint64_t, std::vector<work::LogRecord>> takeProgress();
  /// The flush is durable.
  void onFlushed(std::uint64_t Flush, core::TimePoint Now);

  /// \returns true after an executor has seen a higher token: another leader is at work.
  bool fenced() const { return Fenced_; }

  /// \returns executors without an entry in the list that may still run something.
  std::vector<fleet::ExecutorInfo> unlisted() const;

  struct Counts {
    std::size_t Jobs_ = 0, Waiting_ = 0, Running_ = 0, Executors_ = 0, Silent_ = 0;
    bool Accounted_ = false;
  };
  Counts counts() const;

private:
  friend struct PlacementPass;

  // Jobs.
  void build(JobRun &Job, core::TimePoint Now, std::int64_t WallMs);
  void refreshReady(JobRun &Job, std::uint32_t Occurrence);
  void finishTask(JobRun &Job, const work::TaskRef &Task, core::TimePoint Now);
  void finishStep(JobRun &Job, std::uint32_t Occurrence, std::uint32_t Step, core::TimePoint Now);
  void endJob(JobRun &Job, work::JobState State, core::TimePoint Now);
  void countFailure(JobRun &Job, const work::TaskRef &Task, std::uint64_t Number,
                    core::TimePoint Now);
  void markDirty(const JobRun &Job);
  /// \returns true when no run of a step's tasks that this leader does not know of is in the way.
  bool mayStart(const JobRun &Job, const work::StepSpec &Spec) const;
  JobRun *jobOf(const work::TaskRef &Task);
  StepRun *stepOf(JobRun &Job, const work::TaskRef &Task);
  const work::StepSpec &specOf(const JobRun &Job, const work::TaskRef &Task) const;

  // Runs and executors.
  Run &addRun(ExecutorState &At, JobRun *Job, const work::TaskRef &Task, std::uint64_t Number,
              RunState State, core::TimePoint Now);
  void dropRun(ExecutorState &At, const RunKey &Which, core::TimePoint Now);
  void orderStart(ExecutorState &At, Run &Which, core::TimePoint Now);
  void orderStop(ExecutorState &At, Run &Which, core::TimePoint Now);
  void stopRun(ExecutorState &At, Run &Which, std::string_view Why, core::TimePoint Now);
  void stopAllOf(JobRun &Job, std::string_view Why, core::TimePoint Now);
  void stopStep(JobRun &Job, const work::TaskRef &Task, std::string_view Why, core::TimePoint Now);
  void takeEnd(ExecutorState &At, const fleet::ReportedEnd &End, core::TimePoint Now);
  void judgeFailure(ExecutorState &At, const fleet::ReportedEnd &End, core::TimePoint Now);
  void applyEnd(JobRun &Job, const fleet::ReportedEnd &End, std::string_view Executor,
                bool RunWasKnown, core::TimePoint Now);
  void takeRunning(ExecutorState &At, const fleet::ReportedRun &Row, core::TimePoint Now);
  void settleMissing(ExecutorState &At, const fleet::Report &Report, core::TimePoint SentAt,
                     core::TimePoint Now);
  void takeEnds(ExecutorState &At, std::span<const fleet::ReportedEnd> Rows, core::TimePoint Now);
  void settleLateJob(JobRun &Job, core::TimePoint Now);
  bool mustWaitForJob(ExecutorState &At, const fleet::ReportedEnd &End, core::TimePoint Now);
  void preventLostStarts(ExecutorState &At, core::TimePoint Now);
  void reborn(ExecutorState &At, const fleet::Report &Report, core::TimePoint Now);
  static void forgetIncarnation(ExecutorState &At);
  void loseAll(ExecutorState &At, std::string_view Why, core::TimePoint Now);
  void renewed(ExecutorState &At, core::TimePoint Now);
  std::int64_t untilOf(const ExecutorState &At, core::TimePoint Now) const;
  void tickExecutor(ExecutorState &At, core::TimePoint Now);
  /// Gives the order that a run needs now. \returns true while the run may need another one.
  bool tickRun(ExecutorState &At, Run &Which, core::TimePoint Now);
  void drain(ExecutorState &At, core::TimePoint Now);
  /// \returns the run time of a task's like, or nothing while too few have ended.
  std::optional<core::Millis> typicalTime(const JobRun &Job, const work::TaskRef &Task) const;
  void learnRunTime(JobRun &Job, ExecutorState &At, const Run &Ended, core::TimePoint Now);
  void watchProgress(ExecutorState &At, core::TimePoint Now);
  void moveRun(ExecutorState &At, Run &Which, std::string_view Why, core::TimePoint Now);
  /// Stops all runs of a task but the one that has ended.
  void stopCopies(const work::TaskRef &Task, std::uint64_t Ended, core::TimePoint Now);
  core::Millis holdWaitOf(const ExecutorState &At, core::TimePoint Now) const;
  void shieldServing(ExecutorState &At, core::TimePoint Now);
  void updateAccounted(core::TimePoint Now);

  // Placement.
  void place(core::TimePoint Now, std::int64_t WallMs);
  void note(std::string_view Event, const work::TaskRef &Task, std::uint64_t Number,
            std::string_view Executor, std::string_view Detail) const;

  const std::uint64_t Token_;
  const Timing Times_;
  const Ports Out_;
  const core::TimePoint TermStart_;
  const bool FreshList_;
  bool Fenced_ = false;
  bool Accounted_ = false; ///< every run of earlier leaders is known or over
  bool AllAsked_ = false;  ///< the same but for executors that have not answered when asked
  bool PlaceDue_ = true;
  int StartsOnTheWay_ = 0; ///< start orders without a result
  core::TimePoint NextPlace_{};
  work::Manifest Manifest_;
  std::unordered_map<std::string, JobRun> Jobs_;
  std::set<std::string> Final_; ///< ended jobs that the log still knows
  std::map<std::string, ExecutorState, std::less<>> Executors_;
  std::vector<ExecutorState *> BySlot_;                     ///< null once the executor is forgotten
  std::unordered_map<std::string, core::Resources> UsedBy_; ///< by customer
  /// What each customer's first-priority work used at its peak, decaying.
  struct Peak {
    core::Resources Highest_; ///< in use and waiting
    core::Resources Now_;     ///< the same at the last pass
    core::Resources InUse_;
    core::TimePoint At_;
  };
  std::unordered_map<std::string, Peak> UrgentPeaks_;
  std::unordered_map<std::string, std::pair<double, core::TimePoint>> ShareTokens_;
  std::set<std::string> Dirty_;
  std::unordered_map<std::string, double> AdviceYield_; ///< part of good answers, by queue
  std::unordered_map<std::string, RunTimes> RunTimes_;  ///< by queue and image
  std::uint64_t NextFlush_ = 1;
  std::uint64_t Flushed_ = 0;
};

/// \returns the run number of the \p Counter-th run under a token; rises with both.
constexpr std::uint64_t runNumber(std::uint64_t Token, std::uint64_t Counter) {
  constexpr unsigned CounterBits = 20;
  return (Token << CounterBits) + Counter;
}

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_SCHEDULER_H
