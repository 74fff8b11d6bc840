/// \file
/// Simulates executors, the log and the advice service for the scheduler in virtual time, without
/// network or threads.
///
/// The fake executors follow the platform's contract: fencing tokens, run numbers, leases on their
/// own clocks, and ends that are reported until they are acknowledged. Orders can be lost or
/// delayed. Violations of the scheduler's guarantees are collected as text.
#ifndef MASTICDRIFT_TESTS_SUPPORT_FAKEFLEET_H
#define MASTICDRIFT_TESTS_SUPPORT_FAKEFLEET_H

#include "masticdrift/daemon/AdviceDispatcher.h"
#include "masticdrift/lead/Scheduler.h"

#include <deque>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticdrift::tests {

/// How a crashed executor comes back.
enum class ReturnAs {
  SameId, ///< as a new incarnation
  NewId,  ///< as another executor at the same address
};

/// Probabilities and delays of the simulated faults.
struct FakeFleetOptions {
  unsigned Seed_ = 1;
  /// Orders that are carried out but not answered.
  double LostAnswerProbability_ = 0;
  /// Orders that are not answered and carried out up to 12 s later.
  double LateOrderProbability_ = 0;
  /// Runs that end as failed.
  double FailedRunProbability_ = 0;
  /// Start orders that find no connection within their timeout.
  double NoConnectionProbability_ = 0;
  core::Millis LateOrderDelay_{0}; ///< delay of late orders, 0 for 2 to 12 s
  /// Late orders reach an executor even if it has restarted in the meantime.
  bool LateOrdersSurviveRestart_ = false;
  /// Late orders are lost while the leader has not met the new incarnation, because nothing can
  /// prevent them then.
  bool LateOrdersMissUnmetIncarnations_ = false;
  /// Answers to start and stop orders that take up to 600 ms, so that a new incarnation may report
  /// before them.
  double LateAnswerProbability_ = 0;
  /// Time after which the executor list shows a restart, or nothing when it never does.
  std::optional<core::Millis> RestartListDelay_ = core::Millis(800);
  /// Time after which a stopped executor leaves the list, or nothing when it stays.
  std::optional<core::Millis> ListExpiry_;
  /// Leaders that take over have not read the entries of executors that are not listed.
  bool ForgetsUnlistedEntries_ = false;
  /// Time from the start of a deadly task to the crash of its executor.
  core::Millis DeadlyDelay_{10};
  /// Time after which an executor that a deadly task has crashed is back.
  core::Millis DeadlyDownTime_{3000};
  /// How executors come back that a deadly task has crashed.
  ReturnAs DeadlyReturn_ = ReturnAs::NewId;
  core::Millis Latency_{1};
  /// Orders go through relays: those without an answer count as results that were lost, which is
  /// known later.
  bool Relayed_ = false;
  int MaxHoldJitterMs_ = 0; ///< maximum additional latency of hold requests
  /// Daemons that make calls to the advice service, one at a time each; 0 for any number of calls.
  int Advisers_ = 0;
  int SilentAdvisers_ = 0;   ///< of these, the number whose calls get no answer
  double AdviceYield_ = 0.6; ///< fraction of the executors that may run a step
  bool Trace_ = false;       ///< prints all decisions to standard error
};

/// How late a leader is. Without a pause it decides in no time and exactly when it is due.
struct LeaderLateness {
  /// Bounds of the random time between two turns of the leader. Results, read records and overdue
  /// orders wait for its next turn.
  core::Millis MinPause_{0};
  core::Millis MaxPause_{0};
  /// Longest time of a scheduling pass. Its orders leave when it ends, its time is that of its
  /// begin.
  core::Millis MaxPassTime_{0};
  /// Longest time for which an order waits at the leader, which drops it at its deadline, or at a
  /// relay, which sends it in any case.
  core::Millis MaxOrderWait_{0};
};

/// A simulated fleet with one leader at a time, or two during a takeover.
class FakeFleet {
public:
  explicit FakeFleet(FakeFleetOptions Options);
  FakeFleet(const FakeFleet &) = delete;
  FakeFleet &operator=(const FakeFleet &) = delete;
  ~FakeFleet();

  // -- Simulated events --
  void addExecutor(const std::string &Id, core::Resources Capacity,
                   const std::string &Domain = "d");
  /// Requests or withdraws the evacuation of a failure domain. Starts that are ordered there when
  /// the leader has read a request are violations.
  /// \param ReadDelay time after which the present leaders read it; later ones know it.
  void evacuate(const std::string &Domain, core::Millis ReadDelay = core::Millis(0));
  void withdrawEvacuation(const std::string &Domain);
  /// Sets the region of each failure domain, for the leaders that follow.
  void setRegions(std::map<std::string, std::string, std::less<>> RegionOfDomain) {
    RegionOfDomain_ = std::move(RegionOfDomain);
  }
  /// Shows an executor as slow for \p Remaining, because it has just started.
  void setCold(const std::string &Id, core::Millis Remaining);
  /// Stops an executor and all its runs; it restarts without runs after \p DownTime.
  void crash(const std::string &Id, core::Millis DownTime);
  /// Ends the process of an executor with all its runs, while its machine stays up: open
  /// connections are reset and new ones are refused until it is back.
  void abort(const std::string &Id, core::Millis DownTime, ReturnAs Return);
  /// Makes each start of a task crash its executor.
  void makeDeadly(const work::TaskRef &Task) { DeadlyTasks_.insert(Task); }
  /// Cuts the connection to an executor in both directions for \p Time.
  void disconnect(const std::string &Id, core::Millis Time);
  /// Changes the capacity of an executor that runs on.
  /// \param ListDelay time after which the executor list shows it; later while the store is down.
  void setCapacity(const std::string &Id, core::Resources Capacity,
                   core::Millis ListDelay = core::Millis(800));
  /// Submits a job, which is accepted immediately.
  void submit(const std::string &Id, work::JobSpec Spec, const std::string &Queue = "q",
              const std::string &Customer = "c");
  /// Limits what a customer may have in use.
  void limitCustomer(const std::string &Customer, core::Resources UpperLimit);
  /// Submits a job that the leader of \p Term has accepted and begun in one append.
  void submitBegun(const std::string &Id, work::JobSpec Spec, std::uint64_t Term);
  std::uint64_t term() const { return Token_; }
  void cancel(const std::string &Id);
  void setManifest(work::Manifest Manifest);
  /// Keeps later manifests from the present leader.
  void withholdManifests() { Current_->ReadsManifests_ = false; }
  /// Makes the present leader late from now on, or punctual again from its next turn on.
  void setLateness(LeaderLateness Lateness) { Current_->Lateness_ = Lateness; }
  /// Sets how far the wall clocks of later leaders are ahead.
  void setLeaderClock(core::Millis Ahead) { LeaderClockAhead_ = Ahead; }
  /// Ends the leader's process. Nobody leads until takeOver() is called.
  void loseLeader() { Current_->Alive_ = false; }
  /// Starts a new leader with a higher token.
  /// \param OldLeaderTime how long the old leader continues to send orders.
  void takeOver(core::Millis OldLeaderTime = core::Millis(0));
  /// Advances the virtual clock.
  void run(core::Millis Duration);

  // -- Observations --
  work::JobState stateOf(const std::string &Id) const;
  const std::vector<std::string> &violations() const { return Violations_; }
  /// \returns how often a task was started, on all executors together.
  int startsOf(const work::TaskRef &Task) const;
  /// \returns how many executors have crashed under a deadly task.
  int crashesBy(const work::TaskRef &Task) const;
  /// \returns how many executors have crashed while they ran the job's task that met most crashes.
  int crashesMetBy(const std::string &Job) const;
  /// \returns the executor that was started last at the address of \p Id, maybe itself.
  std::string latestAt(const std::string &Id) const;
  bool isUp(const std::string &Id) const { return Executors_.at(Id).Up_; }
  /// \returns the executor of each current run of a job.
  std::vector<std::string> executorsRunning(const std::string &Job) const;
  core::TimePoint now() const { return Now_; }
  /// \returns the Unix time (ms) on a clock that is neither ahead nor behind.
  std::int64_t nowMs() const;
  lead::Scheduler &leader() { return *Leader_; }
  core::Millis sinceTakeover() const;
  /// \returns the time from acceptance to the last end of a completed job, or nothing.
  std::optional<core::Millis> completionTimeOf(const std::string &Id) const;

  /// \returns the real time that the leaders' decisions took on this machine.
  std::chrono::steady_clock::duration decisionTime() const { return DecisionTime_; }
  std::size_t startCount() const { return StartCount_; }
  std::size_t adviceCallCount() const { return AdviceCallCount_; }
  /// \returns the number of runs on all executors.
  std::size_t runCount() const;
  /// \returns the longest time for which a job had nothing running although a task was ready, the
  /// executors that may run it had room for it twice over, its customer used less than half of its
  /// limit and less than half of the capacity was in use.
  core::Duration longestStarvation() const { return LongestStarvation_; }
  /// \returns the job that waited so long, and until when.
  const std::string &mostStarvedJob() const { return MostStarvedJob_; }
  /// \returns the time of the first start of any task of a job, or nothing.
  std::optional<core::TimePoint> firstStartOf(const std::string &Job) const;

  /// Makes the next leader read a job only \p Time after its term has begun.
  void delayJobRead(const std::string &Job, core::Millis Time) { ReadDelays_[Job] = Time; }

  /// Makes all runs on an executor fail.
  void failAllRunsAt(const std::string &Id) { Executors_.at(Id).FailsAllRuns_ = true; }
  /// Multiplies the run time of runs that start on an executor from now on.
  void slowDown(const std::string &Id, int Factor) { Executors_.at(Id).SlowFactor_ = Factor; }
  /// Stops the progress of all runs on an executor for good; it still answers requests.
  void stallRunsAt(const std::string &Id) { Executors_.at(Id).Stalled_ = true; }
  /// Ends all current runs of a job as failed.
  void failRunsOf(const std::string &Job);
  /// Makes all runs of a job fail.
  void failAllRunsOf(const std::string &Job) { FailingJobs_.insert(Job); }

  /// While set, the leader's records and new executors are not stored.
  void setStoreDown(bool Down);

  /// While set, the leader's progress records are not stored, but its heartbeats are.
  void holdProgress(bool Hold) { ProgressHeld_ = Hold; }

  /// Removes an executor from the executor list or adds it again; it runs on either way.
  void setListed(const std::string &Id, bool Listed);
  /// Marks an executor as draining for at least \p Remaining.
  void drain(const std::string &Id, core::Millis Remaining);
  /// Makes the stored records of draining executors void, as a leader of an earlier version does.
  void voidDrains() { lead::voidDrains(Drains_); }
  /// Ends the draining of an executor that goes on after all.
  void stopDraining(const std::string &Id);
  /// Shuts an executor down for good: its runs end and another executor answers at its address.
  void shutDown(const std::string &Id);
  /// Cuts the connection between the present leader and an executor for \p Time; other leaders
  /// reach the executor.
  void disconnectLeader(const std::string &Id, core::Millis Time);
  /// Loses the next answer of an executor to a hold request.
  void loseNextHoldAnswer(const std::string &Id) { Executors_.at(Id).LoseNextHoldAnswer_ = true; }

  /// Adds to the way back of the results of hold requests from now on.
  void delayHoldResults(core::Millis Delay) { HoldResultDelay_ = Delay; }

  /// Loses all stop orders to an executor for \p Time.
  void loseStops(const std::string &Id, core::Millis Time) {
    Executors_.at(Id).StopsLostUntil_ = Now_ + Time;
  }

  /// Loses the next answer to a start order.
  void loseNextStartAnswer() { LoseNextStartAnswer_ = true; }
  /// Makes the next start orders late, one for each of \p Delays.
  void delayNextStarts(std::initializer_list<core::Millis> Delays) { StartDelays_ = Delays; }
  /// Makes the next stop order late.
  void delayNextStop(core::Millis Delay) { StopDelays_ = {Delay}; }
  /// Makes the answer to the next order that is answered take \p Delay.
  void delayNextAnswer(core::Millis Delay) { AnswerDelays_ = {Delay}; }

private:
  struct FakeRun {
    std::uint64_t Run_ = 0;
    core::TimePoint StartedAt_;
    core::Millis RunTime_{0};
    bool Fails_ = false;
    core::Resources Need_;
    int Generation_ = 0;
  };
  struct FakeExecutor {
    fleet::ExecutorInfo Info_; ///< as the executor list shows it
    core::Resources Capacity_;
    /// Earlier capacities, with the time up to which starts may use them.
    std::vector<std::pair<core::TimePoint, core::Resources>> EarlierCapacities_;
    bool Up_ = true;
    bool Listed_ = true;
    bool ShutDown_ = false; ///< does not come back under its id
    bool Refuses_ = false;  ///< while down, connections are refused
    std::string Successor_; ///< the executor that was started at its address
    /// Resets the connections of hold requests, unless the flag tells that they were answered.
    std::vector<std::pair<std::shared_ptr<bool>, std::function<void()>>> Resets_;
    bool LoseNextHoldAnswer_ = false;
    core::TimePoint StopsLostUntil_{};
    bool FailsAllRuns_ = false;
    bool Stalled_ = false;
    int SlowFactor_ = 1;
    core::TimePoint MetAt_{}; ///< when the current leader read the first report
    std::uint64_t MetByTerm_ = 0;
    core::TimePoint DisconnectedUntil_{};
    core::TimePoint ClockStart_;
    std::uint64_t Token_ = 0;
    core::TimePoint LeaseEnd_{};
    std::vector<core::TimePoint> LeaseLapses_;
    std::map<work::TaskRef, FakeRun> Running_;
    std::map<work::TaskRef, std::uint64_t> HighestEndedRuns_;
    std::vector<fleet::ReportedEnd> Ended_;
    std::uint64_t NextEnd_ = 1;
    std::function<void()> PendingHold_; ///< hold request that waits for an end
  };
  struct Completion {
    core::TimePoint At_;
    std::string Executor_;
    std::uint64_t Number_;
    std::int64_t Incarnation_;
    bool Acknowledged_ = false;
  };
  struct Event {
    core::TimePoint At_;
    std::uint64_t Sequence_;
    std::function<void()> Action_;
    bool operator>(const Event &Other) const {
      return std::tie(At_, Sequence_) > std::tie(Other.At_, Other.Sequence_);
    }
  };
  struct Term {
    LeaderLateness Lateness_;
    bool InTurn_ = false; ///< a pass has begun and not ended
    bool HeartbeatOutstanding_ = false;
    /// What waits for the next turn: results, orders without a result at their deadline, and what
    /// was read from the store.
    std::vector<std::function<void()>> Results_;
    std::vector<std::function<void()>> Overdue_;
    std::vector<std::function<void()>> News_;
    std::uint64_t Token_ = 0;
    bool Alive_ = true;
    bool Flushing_ = false;
    bool ReadsManifests_ = true;
    core::Millis ClockAhead_{0};
    core::TimePoint HeartbeatAt_{};     ///< last stored heartbeat
    core::TimePoint JobsUnreadUntil_{}; ///< when the last delayed job is read
    std::unique_ptr<daemon::AdviceDispatcher> AdviceDispatcher_; ///< null without a call limit
  };

  void schedule(core::TimePoint Time, std::function<void()> Action);
  bool isReachable(const FakeExecutor &Executor) const {
    return Executor.Up_ && Now_ >= Executor.DisconnectedUntil_;
  }
  bool isCut(std::uint64_t Token, const std::string &Id) const {
    const auto Cut = CutPaths_.find({Token, Id});
    return Cut != CutPaths_.end() && Now_ < Cut->second;
  }
  /// \returns true when the leader of \p Token reaches \p Executor.
  bool isReachableFrom(std::uint64_t Token, const FakeExecutor &Executor) const {
    return isReachable(Executor) && !isCut(Token, Executor.Info_.Id_);
  }
  bool happens(double Probability) {
    return std::uniform_real_distribution<>(0, 1)(Random_) < Probability;
  }
  template <typename Decision> void measureDecision(Decision Decide) {
    const auto Begin = std::chrono::steady_clock::now();
    Decide();
    DecisionTime_ += std::chrono::steady_clock::now() - Begin;
  }
  /// \returns the outcome of a request to an executor that does not run, when its machine answers.
  std::optional<fleet::OrderOutcome> machineAnswer(std::uint64_t Token,
                                                   const FakeExecutor &Target) const;
  /// Starts another executor at the address of a crashed one.
  void startSuccessor(const std::string &Id);
  /// Counts the crash of an executor for the tasks that ran there.
  void countCrash(const FakeExecutor &Executor);
  void scheduleDeadlyCrash(const FakeExecutor &Executor, const work::TaskRef &Task,
                           int RunGeneration);
  /// Checks that a job which is shown as failed has a reason for it.
  void checkFailedJob(const std::string &Id);
  /// Checks that the end of a job is stored and its runs are over.
  void checkFinishedJob(const std::string &Id);
  /// \returns the delay of the next scripted order, or nothing.
  static std::optional<core::Millis> takeDelay(std::deque<core::Millis> &Delays);
  core::Millis answerDelay();
  /// \returns true when a late order for the incarnation that started at \p Born is carried out.
  bool isCarriedOutLate(const FakeExecutor &Executor, std::int64_t Born) const;
  void startTerm();
  void recordSilences(lead::Scheduler &Scheduler);
  void recordDrains(lead::Scheduler &Scheduler);
  void checkDrainRecord(const std::string &Id, const lead::RunKey &Key);
  /// Adds the advisers of a term to its dispatcher, or renews them.
  void registerAdvisers(Term &OfTerm);
  void watchStarvation();
  /// \returns true when a job could start a task but has none running.
  bool isStarved(const std::string &Id, const work::JobSpec &Spec) const;
  /// \returns the time after which an order without an answer is given up, beside its wait.
  core::Millis orderTimeout() const;
  /// \returns the outcome of an order without an answer.
  fleet::OrderOutcome unanswered() const {
    return Options_.Relayed_ ? fleet::OrderOutcome::ResultLost : fleet::OrderOutcome::NoAnswer;
  }
  /// Makes a call to the advice service that ends after \p Time.
  void callAdviser(const std::shared_ptr<Term> &ThisTerm, const std::string &Adviser,
                   const work::TaskRef &Step, std::vector<std::string> Asked, core::Millis Time);
  bool isAllowed(const work::TaskRef &Step, const std::string &ExecutorId) const;
  /// Tells the leaders that all their executors are in the roster.
  void recordExecutors();
  void removeFromRoster();
  /// Lets the executor list show the present capacity.
  void publishCapacity(const std::string &Id);
  /// Checks that a run which has just started does not bring its customer over its limit.
  /// \param SentAt when the start order was sent; earlier limits count for earlier orders.
  void checkLimit(const work::TaskRef &Task, core::TimePoint SentAt);
  /// Checks that a run which has just started does not bring its executor over its capacity.
  /// \param SentAt when the start order was sent; late orders count by the capacity of that time.
  void checkCapacity(const FakeExecutor &Executor, const work::TaskRef &Task,
                     core::TimePoint SentAt);
  std::int64_t clockOf(const Term &OfTerm) const { return nowMs() + OfTerm.ClockAhead_.count(); }
  static bool isLate(const Term &OfTerm);
  /// Calls \p Action now, or when the leader gets to it.
  /// \param Waiting where the action waits for a leader that is late.
  void deliver(const std::shared_ptr<Term> &ThisTerm,
               std::vector<std::function<void()>> Term::*Waiting, std::function<void()> Action);
  void handleWaiting(Term &OfTerm, std::vector<std::function<void()>> Term::*Waiting);
  /// Tells all leaders an entry of the executor list.
  void announceExecutor(const fleet::ExecutorInfo &Info);
  void announceGone(const std::string &Id);
  void announceEvacuations();
  std::set<std::string, std::less<>> evacuatedDomains() const;
  void announceJob(const std::string &Id);
  /// Sends an order now, or when it has waited at the leader or at a relay.
  /// \param Send sends the order; the argument tells whether it has waited.
  /// \returns false when the leader drops the order at its deadline.
  bool depart(const std::shared_ptr<Term> &ThisTerm, core::Millis Timeout,
              std::function<void(bool)> Send);
  /// \returns true when an order that has waited is lost, because its leader has not met the
  /// incarnation that it reaches.
  bool missesIncarnation(const FakeExecutor &Executor) const;
  /// Appends a heartbeat whose answer waits for the leader.
  void sendHeartbeat(const std::shared_ptr<Term> &ThisTerm, lead::Scheduler &Scheduler);
  void tick(const std::shared_ptr<Term> &ThisTerm);
  /// Begins a turn of a leader that is late.
  void beginTurn(const std::shared_ptr<Term> &ThisTerm);
  /// Makes the leader's decisions.
  /// \param PassTime the time that the leader takes for the present.
  void pass(const std::shared_ptr<Term> &ThisTerm, core::TimePoint PassTime);
  void renewLease(FakeExecutor &Executor, std::int64_t UntilMs);
  fleet::OrderOutcome handleStart(FakeExecutor &Executor, const fleet::StartOrder &Order,
                                  core::TimePoint SentAt);
  fleet::OrderOutcome handleStop(FakeExecutor &Executor, const lead::RunKey &Key,
                                 std::uint64_t Token);
  /// Ends a run as done or failed, unless it has ended otherwise. A run of a gang is done only if
  /// all members run at the same time.
  void finishRun(const std::string &Id, const work::TaskRef &Task, int RunGeneration);
  /// Ends the members of a gang together.
  void finishGang(work::TaskRef Member, std::uint64_t Run);
  bool isGangComplete(const work::TaskRef &Member, std::uint64_t Run);
  void endRun(FakeExecutor &Executor, const work::TaskRef &Task, fleet::EndKind Kind);
  void acknowledgeEnds(FakeExecutor &Executor, std::uint64_t SeenUpTo);
  std::int64_t clockOf(const FakeExecutor &Executor) const;
  fleet::Report reportOf(const FakeExecutor &Executor) const;
  const work::StepSpec &stepSpec(const work::TaskRef &Task) const;
  void addViolation(const std::string &Violation) { Violations_.push_back(Violation); }

  const FakeFleetOptions Options_;
  std::mt19937 Random_;
  core::TimePoint Now_{std::chrono::hours(1)};
  core::TimePoint TookOverAt_{};
  core::TimePoint LeaderCalledAt_{}; ///< when a leader was last told something
  std::uint64_t NextSequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::map<std::string, FakeExecutor> Executors_;
  std::map<std::string, work::JobSpec> Submitted_;
  std::map<std::string, std::string> CustomerOf_; ///< by job
  std::map<work::TaskRef, std::vector<core::TimePoint>> Starts_;
  std::map<work::TaskRef, std::vector<Completion>> Completions_;
  std::map<std::string, core::TimePoint> SubmittedAt_;
  std::map<std::string, core::TimePoint> LastCompletionAt_;
  std::vector<std::string> Violations_;
  std::set<work::TaskRef> DeadlyTasks_;
  std::map<work::TaskRef, int> Crashes_;              ///< executors that deadly tasks have crashed
  std::map<work::TaskRef, int> StartsAfterLastCrash_; ///< starts after MaxDeadlyCrashes crashes
  std::map<work::TaskRef, int> CrashesMet_;           ///< crashes of executors by running task
  /// Numbers of the failed runs; those of a gang count for its first task.
  std::map<work::TaskRef, std::set<std::uint64_t>> FailedRuns_;
  std::set<std::pair<work::TaskRef, std::uint64_t>> FinishedGangs_; ///< first task and run number
  std::set<std::string> CheckedJobs_;                  ///< failed jobs that were checked
  std::map<std::string, core::TimePoint> EvacuatedAt_; ///< when the leaders have read it, by domain
  std::map<std::string, std::string, std::less<>> RegionOfDomain_; ///< empty without such rules
  std::map<std::string, core::TimePoint> AdviserFreeAt_; ///< when its calls have been answered
  work::JobTable JobTable_;
  work::Manifest Manifest_;
  std::uint64_t Offset_ = 0;
  std::uint64_t Fence_ = 0;
  std::uint64_t Token_ = 0;
  std::set<std::string> FailingJobs_;
  std::map<std::string, core::Millis> ReadDelays_;
  /// Paths between leaders, by token, and executors, with the time until which they are cut.
  std::map<std::pair<std::uint64_t, std::string>, core::TimePoint> CutPaths_;
  bool LoseNextStartAnswer_ = false;
  core::Millis HoldResultDelay_{0};
  std::deque<core::Millis> StartDelays_;
  std::deque<core::Millis> StopDelays_;
  std::deque<core::Millis> AnswerDelays_;
  bool StoreDown_ = false;
  std::set<std::string> StoredRoster_; ///< the executors that a new leader asks for their runs
  /// Records of silent executors, as read by the daemons that do not lead.
  lead::SilenceTable Silences_;
  lead::DrainTable Drains_; ///< the same, of draining executors
  bool ProgressHeld_ = false;
  core::Millis LeaderClockAhead_{0};
  int Generation_ = 0;
  std::chrono::steady_clock::duration DecisionTime_{};
  std::size_t StartCount_ = 0;
  std::size_t AdviceCallCount_ = 0;
  core::Duration LongestStarvation_{0};
  std::string MostStarvedJob_;
  std::map<std::string, core::TimePoint> StarvedSince_;
  /// Limits before their last change, with its time, by customer.
  std::map<std::string, std::pair<core::TimePoint, core::Resources>> EarlierLimits_;
  std::shared_ptr<Term> Current_;
  std::vector<std::pair<std::shared_ptr<Term>, std::unique_ptr<lead::Scheduler>>> Terms_;
  lead::Scheduler *Leader_ = nullptr;
};

} // namespace masticdrift::tests

#endif // MASTICDRIFT_TESTS_SUPPORT_FAKEFLEET_H
