#include "masticdrift/daemon/LeaderDriver.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/daemon/AdviceDispatcher.h"
#include "masticdrift/daemon/ConfigReaderTable.h"
#include "masticdrift/daemon/JobWriter.h"
#include "masticdrift/daemon/LoopLag.h"
#include "masticdrift/daemon/MachineShares.h"
#include "masticdrift/daemon/OrderRouter.h"
#include "masticdrift/daemon/Retention.h"
#include "masticdrift/daemon/StandbyTable.h"
#include "masticdrift/daemon/StoredJobCheck.h"
#include "masticdrift/daemon/VerdictMemory.h"
#include "masticdrift/daemon/WorkLimit.h"
#include "masticdrift/daemon/WorkMeter.h"
#include "masticdrift/daemon/WorkPacing.h"
#include "masticdrift/lead/Election.h"
#include "masticdrift/lead/Roster.h"
#include "masticdrift/lead/Scheduler.h"
#include "platform/Executors.h"
#include "platform/Text.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include <asio/steady_timer.hpp>

namespace masticdrift::daemon {

namespace {

constexpr const char *LeaderKey = "leader";
constexpr const char *LeaderProducer = "leader";

/// Interval between checks whether to claim the leadership.
constexpr core::Millis ElectionInterval{120};
/// Interval between hellos to the leader.
constexpr core::Millis HelloInterval{500};
constexpr core::Millis HelloTimeout{900};
/// Time after the hello of a larger machine in which the leader hands over to it; two intervals, so
/// that one that does not come any more ends the request.
constexpr core::Millis HandOverRequestTime{1000};
/// A connection attempt that fails faster was refused; a slower one timed out.
constexpr core::Millis MaxRefusalTime{200};
/// Interval between scheduling rounds without events, which is also the longest delay after an
/// event, and the shortest delay after an event.
constexpr core::Millis TickInterval{30};
constexpr core::Millis MinEventDelay{3};
/// Delay of the round after an event, in multiples of the last round's duration, so that rounds
/// leave four fifths of the processor time to orders and answers.
constexpr int RoundDelayFactor = 4;
/// Shortest interval between two appends of progress records.
constexpr core::Millis MinFlushInterval{30};
constexpr core::Millis HeartbeatTimeout{1500};
constexpr core::Millis FenceTimeout{1500};
constexpr core::Millis RetryDelay{100};
/// Added to the expected duration of a call to the advice service.
constexpr core::Millis AdviceTimeoutMargin{900};
constexpr core::Millis GaugeUpdateInterval{2000};
/// Shortest interval between two summaries of run times that go to standbys.
constexpr core::Millis RunTimesInterval{2000};
/// Interval between log lines about the errors of predicted run times.
constexpr core::Millis RunTimeErrorInterval{10'000};
/// Interval of the additional heartbeats for silent executors that answer again or whose leases are
/// over, and for executors that stop draining. A store that is down must not be called in each
/// round.
constexpr core::Millis ExtraHeartbeatInterval{200};
/// Calls whose verdicts are kept while this daemon prepares to lead.
constexpr std::size_t MaxInheritedVerdicts = 5000;
/// Interval between reloads of the specifications while a job lacks its own.
constexpr core::Millis SpecReloadInterval{5000};

std::int64_t perSecond(std::size_t Count, core::Duration Time) {
  const double Seconds = std::chrono::duration<double>(Time).count();
  return Seconds > 0 ? std::llround(static_cast<double>(Count) / Seconds) : 0;
}

} // namespace

struct LeaderDriver::Impl : std::enable_shared_from_this<LeaderDriver::Impl> {
  enum class Role { Follower, Preparing, Leading };

  Impl(FleetContext &Context, TopicTail &Jobs, TopicTail &Specs, TopicTail &Executors,
       ConfigFeed &Config)
      : Context_(Context), Jobs_(Jobs), Specs_(Specs), Executors_(Executors), Config_(Config),
        Leadership_(Context.Loop_, Context.Store_,
                    {LeadershipTopic, core::Millis(2000), [] { return core::Millis(50); }},
                    {[this](const platform::KeyedRecord &Entry) { onTopicRecord(Entry); },
                     [this](const auto &Keys) { onLeadershipLoaded(Keys); }}),
        ElectionTimer_(Context.Loop_), HelloTimer_(Context.Loop_), TickTimer_(Context.Loop_),
        HeartbeatTimer_(Context.Loop_), RetryTimer_(Context.Loop_), LoopLag_(Context.Loop_),
        OrderRouter_(Context), Retention_(Context), WorkLimit_(Context.WorkShareBytes_),
        AdviceDispatcher_([this](const std::string &Adviser, AdviceCall Call) {
          sendAdviceRequest(Adviser, std::move(Call));
        }) {}

  // -- election --

  void onLeadershipLoaded(const std::set<std::string> &Keys) {
    lead::retainRosterKeys(Roster_, Keys);
    lead::retainSilenceKeys(Silences_, Keys);
    lead::retainDrainKeys(Drains_, Keys);
    voidUnkeptRecords();
    if (!NewestRecord_)
      NewestReadAt_ = core::Clock::now();
    LeadershipLoaded_ = true;
  }

  /// Marks the records as void that the leader of the newest record does not keep.
  void voidUnkeptRecords() {
    if (NewestRecord_ && !NewestRecord_->SilencesHold_)
      lead::voidSilences(Silences_);
    if (NewestRecord_ && !NewestRecord_->DrainsHold_)
      lead::voidDrains(Drains_);
  }

  /// Handles a record that was read from the topic.
  void onTopicRecord(const platform::KeyedRecord &Entry) {
    lead::applyRosterRecord(Roster_, Entry.Key_, Entry.Value_);
    lead::applySilenceRecord(Silences_, Entry.Key_, Entry.Value_, core::Clock::now());
    lead::applyDrainRecord(Drains_, Entry.Key_, Entry.Value_, core::Clock::now());
    onLeadershipRecord(Entry);
  }

  void onLeadershipRecord(const platform::KeyedRecord &Entry) {
    if (Entry.Key_ != LeaderKey || (NewestRecord_ && Entry.Offset_ <= NewestRecordOffset_))
      return;
    auto Record = core::unpack<lead::LeadershipRecord>(Entry.Value_);
    if (!Record) {
      core::log(core::LogLevel::Warning, "failed to decode leadership record",
                {{"offset", std::to_string(Entry.Offset_)}});
      return;
    }
    const bool TermChanged = !NewestRecord_ || NewestRecord_->Term_ != Record->Term_;
    RecordFoundOnStart_ = !LeadershipLoaded_;
    NewestRecord_ = std::move(*Record);
    voidUnkeptRecords();
    NewestRecordOffset_ = Entry.Offset_;
    NewestReadAt_ = core::Clock::now();
    LeaderGone_ = false;
    LeaderWithoutStore_ = false;
    if (TermChanged)
      LeaderAnsweredAt_ = NewestReadAt_;
    LeaderResponsive_ = LeaderResponsive_ && !TermChanged;
    if (TermChanged)
      core::log(core::LogLevel::Info, "leader changed",
                {{"leader", NewestRecord_->Instance_},
                 {"term", std::to_string(NewestRecord_->Term_)},
                 {"offset", std::to_string(NewestRecordOffset_)}});
    const bool OwnRecord = ownsNewestRecord();
    // The answer to a heartbeat may arrive after this daemon has given up the term. Beginning the
    // term a second time would use its run numbers again.
    const bool OwnClaim = OwnRecord && lead::isClaim(*NewestRecord_, NewestRecordOffset_);
    if (OwnClaim && Role_ == Role::Follower && !Context_.Stopping_)
      beginTerm();
    else if (Role_ != Role::Follower && (!OwnRecord || NewestRecord_->Term_ != Term_))
      stepDown("another daemon became the leader");
    else if (Role_ != Role::Follower && NewestRecord_->Released_)
      stepDown("handed over");
    else if (TermChanged && LeadershipLoaded_)
      greetNewLeader();
  }

  bool ownsNewestRecord() const {
    return NewestRecord_ && NewestRecord_->Incarnation_ == Context_.Incarnation_;
  }

  void electionTick() {
    runAfter(ElectionTimer_, ElectionInterval, [this] { electionTick(); });
    if (ClaimOutstanding_)
      return;
    if (Context_.Stopping_ || Role_ != Role::Follower || !LeadershipLoaded_ ||
        !Context_.Manifest_ || !Jobs_.loaded()) {
      GoneSince_ = {};
      return;
    }
    lead::ElectionView View{
        core::Clock::now(), Leadership_.lastAnsweredAt(), NewestReadAt_,
        NewestRecord_ ? &*NewestRecord_ : nullptr, core::wallMillis(), RecordFoundOnStart_,
        // A claim gains nothing while this daemon can't read the store either.
        LeaderGone_ || (LeaderWithoutStore_ && !Leadership_.failing() && !Jobs_.failing()),
        LeaderAnsweredAt_, rank(), GoneSince_, Context_.Store_.shortestCallTime()};
    if (!lead::isLeaderGone(View, {})) {
      GoneSince_ = {};
      return;
    }
    if (GoneSince_ == core::TimePoint{})
      View.LeaderGoneSince_ = GoneSince_ = View.Now_;
    if (lead::shouldClaim(View, {}))
      claimLeadership();
  }

  platform::KeyedRecord makeLeadershipRecord(std::uint64_t Term, bool Released) const {
    lead::LeadershipRecord Record{
        Context_.Settings_.Instance_,
        Context_.PeerAddress_,
        Term,
        Released,
        core::wallMillis(),
        Context_.Incarnation_,
        {},
        rosterComplete(),
        // A heartbeat of a scheduler removes the records that it does not keep.
        Scheduler_.has_value() || lead::allSilencesHold(Silences_),
        Scheduler_.has_value() || lead::allDrainsHold(Drains_)};
    return {0, LeaderKey, core::pack(Record)};
  }

  /// \returns true when no executor outside the roster may have runs. If an earlier leader kept no
  /// roster, this becomes true when its runs are over and all executors are recorded.
  bool rosterComplete() const {
    if (!NewestRecord_)
      return Leadership_.nextOffset() == 0;
    return NewestRecord_->RosterComplete_ || (Scheduler_ && Scheduler_->counts().Accounted_ &&
                                              Scheduler_->unrecordedExecutors().empty());
  }

  /// Appends a record of the leadership and before it \p RosterChanges, all or nothing.
  void appendLeadershipRecord(std::uint64_t Offset, std::uint64_t Term, bool Released,
                              std::span<const work::LogRecord> RosterChanges,
                              std::function<void(platform::AppendOutcome)> OnOutcome) {
    std::vector<platform::KeyedRecord> Records;
    for (const work::LogRecord &Change : RosterChanges)
      Records.push_back({0, Change.Key_, Change.Value_});
    Records.push_back(makeLeadershipRecord(Term, Released));
    platform::AppendConditions Conditions;
    Conditions.ExpectedEnd_ = Offset;
    Context_.Store_.append(
        LeadershipTopic, Records, Conditions, HeartbeatTimeout,
        [Self = shared_from_this(), Record = Records.back(), Changes = RosterChanges.size(),
         OnOutcome = std::move(OnOutcome)](const platform::AppendResult &Result) mutable {
          if (Self->Closed_)
            return;
          if (Result.Outcome_ == platform::AppendOutcome::Stored) {
            Record.Offset_ = Result.Offset_ + Changes;
            Self->onLeadershipRecord(Record);
          }
          OnOutcome(Result.Outcome_);
        });
  }

  void claimLeadership() {
    ClaimOutstanding_ = true;
    // Not beyond the records that were read: the roster must be complete when the claim succeeds.
    const std::uint64_t Offset = Leadership_.nextOffset();
    core::log(
        core::LogLevel::Info, "claiming the leadership",
        {{"at", std::to_string(Offset)},
         {"silent_ms", std::to_string(core::toMillis(core::Clock::now() - NewestReadAt_))},
         {"refused", LeaderGone_ ? "true" : "false"},
         {"unanswered_ms", std::to_string(core::toMillis(core::Clock::now() - LeaderAnsweredAt_))},
         {"turn", std::to_string(rank())},
         {"standby", Standby_ ? "true" : "false"},
         {"specs_loaded", Specs_.loaded() ? "true" : "false"}});
    appendLeadershipRecord(Offset, Offset + 1, false, {},
                           [this](platform::AppendOutcome) { ClaimOutstanding_ = false; });
  }

  void sendHeartbeat() {
    if (Role_ == Role::Follower)
      return;
    runAfter(HeartbeatTimer_, lead::ElectionTiming{}.HeartbeatInterval_,
             [this] { sendHeartbeat(); });
    appendHeartbeat();
  }

  /// Appends a heartbeat and the pending changes of the roster and of the executors' records. While
  /// a hand-over is due, the heartbeat releases the leadership.
  void appendHeartbeat() {
    if (HeartbeatOutstanding_)
      return;
    HeartbeatOutstanding_ = true;
    const std::vector<work::LogRecord> Changes = takeRosterChanges();
    lead::Roster Added;
    for (const work::LogRecord &Change : Changes)
      lead::applyRosterRecord(Added, Change.Key_, Change.Value_);
    appendLeadershipRecord(
        NewestRecordOffset_ + 1, Term_, isHandOverDue(), Changes,
        [this, Term = Term_, SentAt = core::Clock::now(), Changes,
         Added = std::move(Added)](platform::AppendOutcome Outcome) {
          HeartbeatOutstanding_ = false;
          if (Role_ != Role::Follower && isHandOverDue())
            runAfter(HeartbeatTimer_, ExtraHeartbeatInterval, [this] { sendHeartbeat(); });
          if (Outcome != platform::AppendOutcome::Stored || Role_ != Role::Leading || Term_ != Term)
            return;
          Scheduler_->onHeartbeatStored(SentAt);
          Scheduler_->onSilenceChangesStored(Changes, core::Clock::now());
          Scheduler_->onDrainChangesStored(Changes);
          onExecutorsRecorded(Added);
        });
  }

  /// \returns the changes of the roster and of the records of silent and draining executors.
  std::vector<work::LogRecord> takeRosterChanges() {
    std::vector<work::LogRecord> Changes;
    if (!Scheduler_)
      return Changes;
    for (const auto &[Id, Address] : Scheduler_->unrecordedExecutors())
      Changes.push_back(lead::encodeRosterEntry(Id, Address));
    for (const auto &[Id, Address] : Roster_)
      if (!Scheduler_->belongsInRoster(Id))
        Changes.push_back(lead::encodeRosterRemoval(Id));
    for (const auto &[Id, Known] : Silences_)
      if (!Scheduler_->isSilenceRecorded(Id))
        Changes.push_back(lead::encodeSilenceRemoval(Id));
    for (work::LogRecord &Change : Scheduler_->takeSilenceChanges(core::Clock::now()))
      Changes.push_back(std::move(Change));
    for (const auto &[Id, Known] : Drains_)
      if (!Scheduler_->isDrainRecorded(Id))
        Changes.push_back(lead::encodeDrainRemoval(Id));
    for (work::LogRecord &Change : Scheduler_->takeDrainChanges(core::Clock::now()))
      Changes.push_back(std::move(Change));
    return Changes;
  }

  void onExecutorsRecorded(const lead::Roster &Added) {
    for (const auto &[Id, Address] : Added)
      Scheduler_->onExecutorRecorded(Id, Address);
    if (!Added.empty())
      core::log(core::LogLevel::Info, "executors recorded",
                {{"count", std::to_string(Added.size())},
                 {"first", Added.begin()->first},
                 {"term", std::to_string(Term_)}});
    recordNewExecutors();
    scheduleTick();
  }

  /// Records executors at once, because nothing is started on them before.
  void recordNewExecutors() {
    if (Role_ == Role::Leading && !Scheduler_->unrecordedExecutors().empty())
      appendHeartbeat();
  }

  // -- terms --

  void beginTerm() {
    Role_ = Role::Preparing;
    Term_ = NewestRecord_->Term_;
    TermBegunAt_ = core::Clock::now();
    InheritedVerdicts_.clear();
    HandOverUntil_ = {};
    Sequence_ = 0;
    ConfigReaders_ = {};
    Config_.setSource({});
    Specs_.start();
    Specs_.expedite();
    Executors_.start();
    core::count("masticdrift_takeovers_total");
    core::log(core::LogLevel::Info, "term started", {{"term", std::to_string(Term_)}});
    fenceEarlierLeaders();
    runAfter(HeartbeatTimer_, lead::ElectionTiming{}.HeartbeatInterval_,
             [this] { sendHeartbeat(); });
  }

  /// Fences earlier leaders: nothing that they still send is appended to the jobs topic, so it
  /// holds all that they will ever have written.
  void fenceEarlierLeaders() {
    platform::AppendConditions Conditions;
    Conditions.Producer_ = LeaderProducer;
    Conditions.Epoch_ = Term_;
    Context_.Store_.append(
        JobsTopic, {}, Conditions, FenceTimeout,
        [Self = shared_from_this(), Term = Term_](const platform::AppendResult &Result) {
          if (Self->Closed_ || Self->Role_ != Role::Preparing || Self->Term_ != Term)
            return;
          if (Result.Outcome_ == platform::AppendOutcome::Fenced)
            Self->stepDown("jobs topic was fenced by a newer term");
          else if (Result.Outcome_ == platform::AppendOutcome::Stored)
            Self->catchUpTopics();
          else
            runAfter(Self->RetryTimer_, RetryDelay, [Self] { Self->retryFence(); });
        });
  }

  void retryFence() {
    if (Role_ == Role::Preparing)
      fenceEarlierLeaders();
  }

  /// Reads all topics up to their present ends and then leads. Steps are read after the jobs
  /// because they are stored before the job's acceptance record. Executors are read after both
  /// because the earlier leader may have started runs on one that has just joined. Evacuations must
  /// be known before the first start.
  void catchUpTopics() {
    catchUpTopic(Jobs_, [this] {
      catchUpTopic(Specs_, [this] { catchUpTopic(Executors_, [this] { catchUpEvacuations(); }); });
    });
  }

  void catchUpEvacuations() {
    Config_.catchUp(FenceTimeout, [Self = shared_from_this(), Term = Term_](bool Complete) {
      if (Self->Closed_ || Self->Role_ != Role::Preparing || Self->Term_ != Term)
        return;
      if (Complete)
        Self->startLeading();
      else
        Self->catchUpLater();
    });
  }

  void catchUpLater() {
    runAfter(RetryTimer_, RetryDelay, [this] {
      if (Role_ == Role::Preparing)
        catchUpTopics();
    });
  }

  /// Reads a topic up to its present end and calls \p OnCaughtUp; on failure starts again with
  /// catchUpTopics().
  void catchUpTopic(TopicTail &Topic, std::function<void()> OnCaughtUp) {
    Topic.catchUp(FenceTimeout, [Self = shared_from_this(), &Topic, Term = Term_,
                                 OnCaughtUp = std::move(OnCaughtUp)](bool Complete) {
      if (Self->Closed_ || Self->Role_ != Role::Preparing || Self->Term_ != Term)
        return;
      if (Complete && Topic.loaded())
        OnCaughtUp();
      else
        Self->catchUpLater();
    });
  }

  void startLeading() {
    const core::TimePoint Now = core::Clock::now();
    Role_ = Role::Leading;
    OrderRouter_.beginTerm(Now);
    PlacementPacing_ = {};
    LoopLag_.takeLongest(); // what delayed the follower says nothing about the term
    Flushing_ = false;
    FlushNumber_ = 0;
    Sequence_ = 1;
    FlushTimeout_ = MinAppendTimeout;
    lead::SchedulerTiming Timings;
    Timings.MaxLease_ = core::Millis(Context_.Settings_.MaxLeaseMs_);
    Timings.MaxListDelay_ = core::Millis(Context_.Settings_.MaxListDelayMs_);
    Scheduler_.emplace(Term_, Timings, makePorts(), Now, NewestRecord_->RosterComplete_);
    if (Context_.Settings_.PlacesInForce_) {
      Scheduler_->enablePlaces(Context_.Settings_.RegionOfDomain_);
      applyEvacuations(Now);
    }
    if (Context_.Manifest_)
      Scheduler_->setManifest(*Context_.Manifest_, Now);
    for (const auto &[Id, Entry] : Context_.ExecutorEntries_) {
      if (Entry.Listed_)
        Scheduler_->onExecutor(Entry.Info_, Now);
    }
    for (const auto &[Id, Address] : Roster_) {
      if (!Scheduler_->isTracked(Id))
        addUnlistedExecutor(Id, Address, Now);
      Scheduler_->onInheritedExecutor(Id, Address);
    }
    Scheduler_->restoreRunTimes(RunTimes_);
    for (const auto &[Id, Job] : Context_.JobTable_.jobs())
      Scheduler_->onJob(Job, Now, core::wallMillis());
    takeOverVerdicts(VerdictMemory_.take(Now), Now);
    takeOverVerdicts(std::exchange(InheritedVerdicts_, {}), Now);
    for (const auto &[Id, Known] : Silences_)
      if (Roster_.contains(Id))
        Scheduler_->onInheritedSilence(Id, Known, Now);
    for (const auto &[Id, Known] : Drains_)
      if (Roster_.contains(Id))
        Scheduler_->onInheritedDrain(Id, Known, Now);
    StoredJobCheck_.reset(Now);
    AdviceDispatcher_.registerAdviser({}, Now);
    // Ends the longer pauses between a follower's reads.
    Jobs_.expedite();
    Specs_.expedite();
    const auto Counts = Scheduler_->counts();
    core::setGauge("masticdrift_leader", 1);
    core::observe("masticdrift_takeover_seconds",
                  std::chrono::duration<double>(Now - TermBegunAt_).count());
    core::log(core::LogLevel::Info, "leads",
              {{"term", std::to_string(Term_)},
               {"prepared_ms", std::to_string(core::toMillis(Now - TermBegunAt_))},
               {"jobs", std::to_string(Counts.Jobs_)},
               {"executors", std::to_string(Counts.Executors_)},
               {"unlisted", std::to_string(Counts.Unlisted_)},
               {"roster", std::to_string(Roster_.size())},
               {"roster_complete", NewestRecord_->RosterComplete_ ? "true" : "false"}});
    // Nothing is started before a heartbeat is stored.
    appendHeartbeat();
    tick();
  }

  /// Passes verdicts of calls for earlier leaders on to the scheduler.
  void takeOverVerdicts(const std::vector<protocol::KnownVerdicts> &Verdicts, core::TimePoint Now) {
    for (const protocol::KnownVerdicts &Known : Verdicts) {
      std::vector<fleet::AdvisedExecutor> Allowed;
      for (std::size_t I = 0; I < Known.Allowed_.size(); ++I)
        Allowed.push_back(
            {Known.Allowed_[I], I < Known.Tickets_.size() ? Known.Tickets_[I] : std::string()});
      Scheduler_->onInheritedAdvice({Known.JobId_, Known.Occurrence_, Known.Step_, 0}, Allowed,
                                    Known.Excluded_, core::Millis(Known.AgeMs_), Now);
    }
  }

  /// \returns what the leader has learned about run times, for a standby; empty when there is
  /// nothing new.
  std::string runTimesForStandby(core::TimePoint Now) {
    const bool Due = Now - RunTimesSentAt_ >= RunTimesInterval;
    if (Due && Scheduler_->runTimes().version() != SentRunTimes_) {
      SentRunTimes_ = Scheduler_->runTimes().version();
      RunTimesSentAt_ = Now;
      PackedRunTimes_ = core::pack(Scheduler_->runTimes().summary());
    }
    return Now - RunTimesSentAt_ < HelloInterval ? PackedRunTimes_ : std::string();
  }

  void logRunTimeErrors() const {
    for (const lead::RunTimeErrors &Errors : Scheduler_->runTimes().errors()) {
      core::setGauge("masticdrift_run_time_error", Errors.Estimate_,
                     {{"queue", Errors.Queue_}, {"source", "estimate"}});
      core::setGauge("masticdrift_run_time_error", Errors.Prediction_,
                     {{"queue", Errors.Queue_}, {"source", "learned"}});
      core::log(core::LogLevel::Info, "run times",
                {{"queue", Errors.Queue_},
                 {"runs", std::to_string(Errors.Runs_)},
                 {"estimate_error", std::to_string(Errors.Estimate_)},
                 {"learned_error", std::to_string(Errors.Prediction_)}});
    }
  }

  void applyEvacuations(core::TimePoint Now) {
    std::set<std::string, std::less<>> Domains;
    for (work::Evacuation &Evacuation : Config_.evacuations().list())
      Domains.insert(std::move(Evacuation.Domain_));
    Scheduler_->setEvacuatedDomains(std::move(Domains), Now);
    setEvacuationGauges(Scheduler_->counts().RunsInEvacuation_);
  }

  /// Adds a recorded executor that has no entry in the executor list.
  void addUnlistedExecutor(const std::string &Id, const std::string &Address, core::TimePoint Now) {
    fleet::ExecutorInfo Info;
    if (const auto Entry = Context_.ExecutorEntries_.find(Id);
        Entry != Context_.ExecutorEntries_.end())
      Info = Entry->second.Info_;
    Info.Id_ = Id;
    Info.Address_ = Address;
    Scheduler_->onExecutor(Info, Now);
    Scheduler_->onExecutorGone(Id);
  }

  void stepDown(std::string_view Reason) {
    if (Role_ == Role::Follower)
      return;
    core::log(core::LogLevel::Warning, "term ended",
              {{"term", std::to_string(Term_)}, {"reason", std::string(Reason)}});
    Role_ = Role::Follower;
    Scheduler_.reset();
    Executors_.suspend();
    JobStateWaiters_.answerReady(Context_.JobTable_, core::Clock::now() + MaxJobStateWait);
    core::setGauge("masticdrift_leader", 0);
    NewestReadAt_ = core::Clock::now();
  }

  /// Releases the leadership with the next heartbeat. The term ends when that is stored: until
  /// another daemon can claim the leadership, somebody has to renew the leases.
  /// \param Until when the request expires, if the release has not been stored by then.
  void requestHandOver(std::string_view Reason, core::TimePoint Until) {
    if (Role_ == Role::Follower)
      return;
    const bool Requested = isHandOverDue();
    HandOverUntil_ = std::max(HandOverUntil_, Until);
    if (Requested)
      return;
    core::count("masticdrift_hand_overs_total");
    core::log(core::LogLevel::Info, "handing over the leadership",
              {{"term", std::to_string(Term_)},
               {"reason", std::string(Reason)},
               {"leads", Role_ == Role::Leading ? "true" : "false"}});
    appendHeartbeat();
  }

  bool isHandOverDue() const { return core::Clock::now() < HandOverUntil_; }

  // -- leading --

  void scheduleTick() {
    if (Role_ != Role::Leading || TickScheduled_)
      return;
    TickScheduled_ = true;
    const core::Millis Delay =
        std::chrono::duration_cast<core::Millis>(RoundDelayFactor * LastRoundDuration_);
    const core::Millis MinDelay =
        std::clamp(OrderRouter_.minOrderWait(), MinEventDelay, TickInterval);
    runAfter(TickTimer_, std::clamp(Delay, MinDelay, TickInterval), [this] { tick(); });
  }

  void tick() {
    if (Role_ != Role::Leading)
      return;
    TickScheduled_ = false;
    const core::TimePoint Now = core::Clock::now();
    Scheduler_->onJobsRead(std::min(Jobs_.readUpTo(), Specs_.readUpTo()));
    Scheduler_->setAdviceLimits(AdviceDispatcher_.limits(Now));
    Scheduler_->setStartLimit(OrderRouter_.startLimit());
    Scheduler_->setRunLimit(maxRuns(WorkLimit_.current(Now)));
    Scheduler_->advance(Now, core::wallMillis());
    const core::Duration AdvanceTime = core::Clock::now() - Now;
    noteWork(RoundMeter_, AdvanceTime);
    core::observe("masticdrift_decision_seconds",
                  std::chrono::duration<double>(AdvanceTime).count());
    place();
    LastRoundDuration_ = core::Clock::now() - Now;
    if (Scheduler_->fenced()) {
      stepDown("an executor has seen a higher fencing token");
      return;
    }
    for (const std::string &Id : Scheduler_->takeFinishedJobs())
      Retention_.onJobFinished(Id);
    AdviceDispatcher_.registerAdviser({}, Now);
    AdviceDispatcher_.dispatch(Now);
    OrderRouter_.flush(Now);
    Retention_.removeDue(Now, core::wallMillis());
    flushProgress(Now);
    JobStateWaiters_.answerReady(Context_.JobTable_, Now);
    if (StoredJobCheck_.due(Now))
      takeUpMissedJobs(Now);
    if (Now - ExtraHeartbeatAt_ >= ExtraHeartbeatInterval &&
        Now - ExtraHeartbeatCheckedAt_ >= TickInterval) {
      ExtraHeartbeatCheckedAt_ = Now;
      appendExtraHeartbeat(Now);
    }
    if (Now - GaugesUpdatedAt_ >= GaugeUpdateInterval)
      updateGauges(Now);
    runAfter(TickTimer_, TickInterval, [this] { tick(); });
  }

  /// Appends a heartbeat for executors that wait for one.
  void appendExtraHeartbeat(core::TimePoint Now) {
    if (!Scheduler_->hasSilenceToClear() && !Scheduler_->hasDrainToClear() &&
        !Scheduler_->awaitsHeartbeat(Now))
      return;
    ExtraHeartbeatAt_ = Now;
    appendHeartbeat();
  }

  /// Places waiting tasks unless passes have taken their share of the processor.
  void place() {
    const core::TimePoint Begin = core::Clock::now();
    if (!mayWork(PlacementPacing_, Begin) || !Scheduler_->isPlacementDue(Begin))
      return;
    Scheduler_->place(Begin, core::wallMillis());
    const core::TimePoint End = core::Clock::now();
    noteWork(PlacementPacing_, Begin, End);
    noteWork(PassMeter_, End - Begin);
    core::observe("masticdrift_placement_seconds",
                  std::chrono::duration<double>(End - Begin).count());
  }

  void updateGauges(core::TimePoint Now) {
    const core::Duration SinceLast = Now - std::exchange(GaugesUpdatedAt_, Now);
    const auto OrderDelays = OrderRouter_.takeDelays();
    const std::int64_t LostPerSecond = perSecond(OrderDelays.LostResults_, SinceLast);
    const lead::StatesRead Read = Scheduler_->takeStatesRead();
    const auto Counts = Scheduler_->counts();
    core::setGauge("masticdrift_waiting_tasks", static_cast<double>(Counts.Waiting_));
    core::setGauge("masticdrift_running_tasks", static_cast<double>(Counts.Running_));
    core::setGauge("masticdrift_silent_executors", static_cast<double>(Counts.Silent_));
    core::setGauge("masticdrift_executors_over_capacity",
                   static_cast<double>(Counts.OverCapacity_));
    core::setGauge("masticdrift_unaccounted_runs", static_cast<double>(Counts.UnaccountedRuns_));
    core::setGauge("masticdrift_reappeared_runs", static_cast<double>(Counts.ReappearedRuns_));
    core::setGauge("masticdrift_advice_verdicts", static_cast<double>(Counts.Verdicts_));
    core::setGauge("masticdrift_advised_starts", static_cast<double>(Counts.AdvisedStarts_));
    core::setGauge("masticdrift_advice_calls_outstanding",
                   static_cast<double>(Counts.OutstandingAdviceCalls_));
    setEvacuationGauges(Counts.RunsInEvacuation_);
    const lead::WorkMemory Memory = workMemory({}, Now);
    core::setGauge("masticdrift_work_bytes", static_cast<double>(Memory.Held_));
    core::setGauge("masticdrift_work_limit_bytes", static_cast<double>(Memory.Limit_));
    if (Now - RunTimeErrorsAt_ >= RunTimeErrorInterval) {
      RunTimeErrorsAt_ = Now;
      logRunTimeErrors();
    }
    for (std::size_t I = 0; I < lead::WaitReasons; ++I)
      core::setGauge("masticdrift_waiting_tasks_by_reason",
                     static_cast<double>(Counts.WaitingByReason_[I]),
                     {{"reason", std::string(nameOf(static_cast<lead::WaitReason>(I)))}});
    core::log(core::LogLevel::Info, "leader state",
              {{"term", std::to_string(Term_)},
               {"jobs", std::to_string(Counts.Jobs_)},
               {"waiting", std::to_string(Counts.Waiting_)},
               {"running", std::to_string(Counts.Running_)},
               {"executors", std::to_string(Counts.Executors_)},
               {"silent", std::to_string(Counts.Silent_)},
               {"accounted", Counts.Accounted_ ? "true" : "false"},
               {"advice_calls", std::to_string(Counts.AdviceCalls_)},
               {"advice_outstanding", std::to_string(Counts.OutstandingAdviceCalls_)},
               {"verdicts", std::to_string(Counts.Verdicts_)},
               {"advised_starts", std::to_string(Counts.AdvisedStarts_)},
               {"loop_lag_ms", std::to_string(core::toMillis(LoopLag_.takeLongest()))},
               {"results_ms", std::to_string(core::toMillis(std::exchange(LongestResults_, {})))},
               {"order_wait_ms", std::to_string(core::toMillis(OrderDelays.LongestWait_))},
               {"results_lost_per_s", std::to_string(LostPerSecond)},
               {"rounds", takeRate(RoundMeter_, SinceLast)},
               {"passes", takeRate(PassMeter_, SinceLast)},
               {"results", takeRate(ResultsMeter_, SinceLast)},
               {"executors_read_per_s", std::to_string(perSecond(Read.Executors_, SinceLast))},
               {"runs_read_per_s", std::to_string(perSecond(Read.Runs_, SinceLast))},
               {"work_bytes", std::to_string(Memory.Held_)},
               {"work_limit_bytes", std::to_string(Memory.Limit_)},
               {"evacuated", describeEvacuations(Counts.RunsInEvacuation_)},
               {"waiting_by_reason", lead::describeCounts(Counts.WaitingByReason_)}});
  }

  /// Shows the evacuations in force and the runs left there; 0 and 0 for those that have ended.
  void setEvacuationGauges(const std::map<std::string, std::size_t> &RunsLeft) {
    for (const auto &[Domain, Runs] : RunsLeft)
      EvacuatedBefore_.insert(Domain);
    for (const std::string &Domain : EvacuatedBefore_) {
      const auto Found = RunsLeft.find(Domain);
      const bool InForce = Found != RunsLeft.end();
      core::setGauge("masticdrift_evacuated", InForce ? 1 : 0, {{"domain", Domain}});
      core::setGauge("masticdrift_evacuated_domain_runs",
                     InForce ? static_cast<double>(Found->second) : 0, {{"domain", Domain}});
    }
  }

  /// \returns the evacuated domains with the numbers of runs left, such as "lahore-a 12".
  static std::string describeEvacuations(const std::map<std::string, std::size_t> &RunsLeft) {
    std::string Text;
    for (const auto &[Domain, Runs] : RunsLeft)
      Text += (Text.empty() ? "" : ", ") + Domain + ' ' + std::to_string(Runs);
    return Text;
  }

  void onResults(const protocol::ResultsRequest &Request) {
    const core::TimePoint Begin = core::Clock::now();
    OrderRouter_.onResults(Request);
    const core::Duration Taken = core::Clock::now() - Begin;
    LongestResults_ = std::max(LongestResults_, Taken);
    noteWork(ResultsMeter_, Taken);
    core::observe("masticdrift_results_seconds", std::chrono::duration<double>(Taken).count());
  }

  /// Passes stored jobs that the scheduler has missed on to it.
  void takeUpMissedJobs(core::TimePoint Now) {
    const StoredJobGaps Gaps = StoredJobCheck_.check(Context_.JobTable_, *Scheduler_, Now);
    const auto Report = [](const std::vector<std::string> &Ids, const char *Kind) {
      for (const std::string &Id : Ids) {
        core::count("masticdrift_missed_jobs_total", {{"kind", Kind}});
        core::log(core::LogLevel::Warning, "stored job is missing in the scheduler",
                  {{"request_id", Id}, {"kind", Kind}});
      }
    };
    Report(Gaps.Unknown_, "unknown");
    Report(Gaps.NotCancelled_, "not_cancelled");
    for (const auto *Ids : {&Gaps.Unknown_, &Gaps.NotCancelled_})
      for (const std::string &Id : *Ids)
        Scheduler_->onJob(*Context_.JobTable_.find(Id), Now, core::wallMillis());
    if (Gaps.WithoutSpec_.empty() || Now < NextSpecReload_)
      return;
    NextSpecReload_ = Now + SpecReloadInterval;
    Report(Gaps.WithoutSpec_, "without_specification");
    Specs_.reload();
  }

  void flushProgress(core::TimePoint Now) {
    if (Flushing_ || Now - LastFlushAt_ < MinFlushInterval)
      return;
    auto [FlushNumber, Entries] = Scheduler_->takeProgress();
    if (FlushNumber == 0)
      return;
    std::vector<platform::KeyedRecord> Records;
    for (work::LogRecord &Entry : Entries)
      Records.push_back({0, std::move(Entry.Key_), std::move(Entry.Value_)});
    if (Records.empty()) {
      Scheduler_->onFlushed(FlushNumber, Now);
      return;
    }
    Flushing_ = true;
    LastFlushAt_ = Now;
    FlushNumber_ = FlushNumber;
    FlushedRecords_ = std::make_shared<std::vector<platform::KeyedRecord>>(std::move(Records));
    appendProgress(FlushNumber, FlushedRecords_);
  }

  void appendProgress(std::uint64_t FlushNumber,
                      std::shared_ptr<std::vector<platform::KeyedRecord>> Records) {
    platform::AppendConditions Conditions;
    Conditions.Producer_ = LeaderProducer;
    Conditions.Epoch_ = Term_;
    Conditions.Sequence_ = Sequence_;
    Context_.Store_.append(JobsTopic, *Records, Conditions, FlushTimeout_,
                           [Self = shared_from_this(), Term = Term_, FlushNumber, Records,
                            SentAt = core::Clock::now()](const platform::AppendResult &Result) {
                             if (Self->Closed_ || Self->Role_ != Role::Leading ||
                                 Self->Term_ != Term || Self->FlushNumber_ != FlushNumber)
                               return;
                             if (Result.Outcome_ != platform::AppendOutcome::Refused)
                               Self->FlushTimeout_ = nextAppendTimeout(core::Clock::now() - SentAt);
                             Self->onProgressAppended(FlushNumber, Records, Result);
                           });
  }

  /// Handles a progress record that was read back from the log.
  void onProgressRead(std::string_view Key, std::string_view Value) {
    // An append stores all of its records or none, so the last one confirms the whole flush.
    if (Role_ != Role::Leading || !Flushing_ || !FlushedRecords_ ||
        FlushedRecords_->back().Key_ != Key || FlushedRecords_->back().Value_ != Value)
      return;
    onFlushConfirmed();
  }

  void onFlushConfirmed() {
    ++Sequence_;
    Flushing_ = false;
    const std::uint64_t FlushNumber = std::exchange(FlushNumber_, 0);
    FlushedRecords_.reset();
    Scheduler_->onFlushed(FlushNumber, core::Clock::now());
    JobStateWaiters_.answerReady(Context_.JobTable_, core::Clock::now());
    scheduleTick();
  }

  void onProgressAppended(std::uint64_t FlushNumber,
                          const std::shared_ptr<std::vector<platform::KeyedRecord>> &Records,
                          const platform::AppendResult &Result) {
    using enum platform::AppendOutcome;
    switch (Result.Outcome_) {
    case Stored: {
      std::uint64_t Offset = Result.Offset_;
      for (const platform::KeyedRecord &Record : *Records)
        Context_.JobTable_.apply(Offset++, Record.Key_, Record.Value_);
      onFlushConfirmed();
      return;
    }
    case Fenced:
      stepDown("jobs topic was fenced by a newer term");
      return;
    case WrongSequence:
      core::log(core::LogLevel::Warning, "producer sequence corrected",
                {{"sent", std::to_string(Sequence_)},
                 {"expected", std::to_string(Result.ExpectedSequence_)}});
      Sequence_ = Result.ExpectedSequence_;
      break;
    default:
      core::count("masticdrift_store_failures_total", {{"topic", JobsTopic}});
      core::log(core::LogLevel::Warning, "append of progress records was not confirmed",
                {{"sequence", std::to_string(Sequence_)},
                 {"records", std::to_string(Records->size())},
                 {"detail", Result.Detail_}});
      break;
    }
    // Repeats the same records under the same sequence number, so that the store drops them if the
    // earlier append was stored after all.
    runAfter(RetryTimer_, RetryDelay, [this, FlushNumber, Records, Term = Term_] {
      if (Role_ == Role::Leading && Term_ == Term && FlushNumber_ == FlushNumber)
        appendProgress(FlushNumber, Records);
    });
  }

  lead::SchedulerActions makePorts() {
    lead::SchedulerActions SchedulerPorts;
    SchedulerPorts.Start_ = [this](const fleet::ExecutorInfo &Executor,
                                   const fleet::StartOrder &Order) {
      core::count("masticdrift_task_starts_total");
      OrderRouter_.start(Executor, Order,
                         whileLeading<platform::OrderResponse>(
                             [this, Id = Executor.Id_, Run = lead::RunKey{Order.Task_, Order.Run_},
                              SentAt = core::Clock::now()](const platform::OrderResponse &Answer) {
                               Scheduler_->onStartResult(Id, Run, Answer.Outcome_, Answer.ClockMs_,
                                                         SentAt, core::Clock::now());
                             }));
    };
    SchedulerPorts.Stop_ = [this](const fleet::ExecutorInfo &Executor, const lead::RunKey &Run) {
      OrderRouter_.stop(Executor, Run, Term_,
                        whileLeading<platform::OrderResponse>(
                            [this, Id = Executor.Id_, Run,
                             SentAt = core::Clock::now()](const platform::OrderResponse &Answer) {
                              Scheduler_->onStopResult(Id, Run, Answer.Outcome_, Answer.ClockMs_,
                                                       SentAt, core::Clock::now());
                            }));
    };
    SchedulerPorts.Pace_ = [this](const fleet::ExecutorInfo &Executor, const lead::RunKey &Run,
                                  int Percent) {
      OrderRouter_.pace(Executor, Run, Term_, Percent,
                        [Run](const platform::OrderResponse &Answer) {
                          if (Answer.Outcome_ != fleet::OrderOutcome::Done)
                            core::log(core::LogLevel::Warning, "failed to set the pace of a run",
                                      {{"task", platform::taskName(Run.first)},
                                       {"outcome", std::string(nameOf(Answer.Outcome_))}});
                        });
    };
    SchedulerPorts.Hold_ = [this](const fleet::ExecutorInfo &Executor, std::uint64_t SeenUpTo,
                                  std::int64_t UntilMs, core::Millis Wait) {
      OrderRouter_.hold(
          Executor, Term_, SeenUpTo, UntilMs, Wait,
          whileLeading<platform::LeaseRenewalResult>([this, Id = Executor.Id_,
                                                      SentAt = core::Clock::now()](
                                                         const platform::LeaseRenewalResult
                                                             &Answer) {
            for (const fleet::ReportedEnd &End : Answer.Report_.Ended_)
              core::count("masticdrift_run_ends_total", {{"kind", std::string(nameOf(End.Kind_))}});
            Scheduler_->onHoldResult(Id, Answer.Outcome_, Answer.Report_, SentAt,
                                     core::Clock::now());
          }),
          whileLeading<platform::LeaseRenewalResult>(
              [this, Id = Executor.Id_](const platform::LeaseRenewalResult &Answer) {
                Scheduler_->onLateHoldResult(Id, Answer.Report_, core::Clock::now());
              }));
    };
    SchedulerPorts.RequestAdvice_ = [this](const work::TaskRef &Step,
                                           std::vector<std::string> Executors, double ExpectedMs,
                                           std::pair<int, core::TimePoint> Priority) {
      AdviceDispatcher_.enqueue({Step, std::move(Executors), ExpectedMs, Priority},
                                core::Clock::now());
    };
    SchedulerPorts.CountCrash_ = [](std::size_t Suspects) {
      core::count("masticdrift_executor_crashes_total",
                  {{"suspects", Suspects > 1 ? "several" : (Suspects == 1 ? "one" : "none")}});
    };
    SchedulerPorts.CountFailedJob_ = [](work::FailureReason Reason) {
      core::count("masticdrift_failed_jobs_total", {{"reason", std::string(nameOf(Reason))}});
    };
    SchedulerPorts.LogDecision_ = [this](std::string_view Event, const work::TaskRef &Task,
                                         std::uint64_t Run, std::string_view Executor,
                                         std::string_view Detail) {
      if (Task.Job_.empty()) { // concerns the executor, not one of its tasks
        core::log(core::LogLevel::Info, Event,
                  {{"executor", std::string(Executor)},
                   {"detail", std::string(Detail)},
                   {"term", std::to_string(Term_)}});
        return;
      }
      core::log(core::LogLevel::Info, Event,
                {{"request_id", Task.Job_},
                 {"task", platform::taskName(Task)},
                 {"run", std::to_string(Run)},
                 {"executor", std::string(Executor)},
                 {"detail", std::string(Detail)},
                 {"term", std::to_string(Term_)}});
    };
    return SchedulerPorts;
  }

  /// Wraps the handler of an order's answer so that it only runs within the term that sent the
  /// order.
  template <typename Answer>
  std::function<void(Answer)> whileLeading(std::function<void(const Answer &)> Handler) {
    return [Self = shared_from_this(), Term = Term_,
            Handler = std::move(Handler)](const Answer &Result) {
      if (Self->Closed_ || Self->Role_ != Role::Leading || Self->Term_ != Term)
        return;
      Handler(Result);
      Self->scheduleTick();
    };
  }

  void queryJobState(const std::string &JobId, JobStateWaiters::ReplyCallback OnReply) {
    protocol::JobStateReply DurableState = jobStateReply(Context_.JobTable_, JobId);
    DurableState.Answered_ = Role_ == Role::Leading;
    const bool EndBeingWritten = DurableState.Answered_ && DurableState.Known_ &&
                                 !Jobs_.failing() &&
                                 !work::isFinal(static_cast<work::JobState>(DurableState.State_)) &&
                                 Scheduler_->hasEnded(JobId);
    if (EndBeingWritten)
      JobStateWaiters_.add(JobId, core::Clock::now() + MaxJobStateWait, std::move(OnReply));
    else
      OnReply(DurableState);
  }

  // -- advice --

  void sendAdviceRequest(const std::string &Adviser, AdviceCall Call) {
    const core::Millis Timeout =
        core::Millis(static_cast<std::int64_t>(Call.ExpectedMs_)) + AdviceTimeoutMargin;
    const auto SharedCall = std::make_shared<AdviceCall>(std::move(Call));
    auto OnReply = [Self = shared_from_this(), Adviser, SharedCall, SentAt = core::Clock::now()](
                       const std::optional<std::vector<fleet::AdvisedExecutor>> &UsableExecutors) {
      if (!Self->Closed_)
        Self->onAdvice(Adviser, *SharedCall, UsableExecutors, SentAt);
    };
    if (Adviser.empty()) {
      platform::requestAdvice(Context_.Client_, Context_.Settings_.AdviceAddress_,
                              SharedCall->Step_, SharedCall->Executors_, Timeout,
                              std::move(OnReply));
      return;
    }
    http::ClientRequest HttpRequest;
    HttpRequest.Method_ = "POST";
    HttpRequest.Url_ = "http://" + Adviser + protocol::AdvisePath;
    HttpRequest.Body_ = core::pack(
        protocol::AdviseRequest{SharedCall->Step_.Job_, SharedCall->Step_.Occurrence_,
                                SharedCall->Step_.Step_, SharedCall->Executors_, Timeout.count()});
    HttpRequest.Timeout_ = Timeout;
    Context_.Client_.send(std::move(HttpRequest), [OnReply = std::move(OnReply)](
                                                      const http::ClientResult &Result) {
      auto Reply = core::unpack<protocol::AdviseReply>(Result.Answer_.Body_);
      if (Result.Transfer_ != http::Transfer::Complete || !Reply || !Reply->Answered_ ||
          Reply->Executors_.size() != Reply->Tickets_.size()) {
        OnReply(std::nullopt);
        return;
      }
      std::vector<fleet::AdvisedExecutor> UsableExecutors;
      for (std::size_t I = 0; I < Reply->Executors_.size(); ++I)
        UsableExecutors.push_back({std::move(Reply->Executors_[I]), std::move(Reply->Tickets_[I])});
      OnReply(std::move(UsableExecutors));
    });
  }

  void onAdvice(const std::string &Adviser, const AdviceCall &Call,
                const std::optional<std::vector<fleet::AdvisedExecutor>> &UsableExecutors,
                core::TimePoint SentAt) {
    const core::TimePoint Now = core::Clock::now();
    core::observe("masticdrift_advice_seconds",
                  std::chrono::duration<double>(Now - SentAt).count());
    core::log(core::LogLevel::Info, "advice",
              {{"request_id", Call.Step_.Job_},
               {"step", std::to_string(Call.Step_.Step_)},
               {"adviser", Adviser},
               {"asked", std::to_string(Call.Executors_.size())},
               {"good", UsableExecutors ? std::to_string(UsableExecutors->size()) : "no answer"},
               {"ms", std::to_string(core::toMillis(Now - SentAt))}});
    AdviceDispatcher_.onCallFinished(Adviser, UsableExecutors.has_value(), Now);
    if (Adviser.empty() && UsableExecutors)
      VerdictMemory_.add(
          {Call.Step_.Job_, Call.Step_.Occurrence_, Call.Step_.Step_, Call.Executors_, 0},
          *UsableExecutors, Now);
    if (Role_ != Role::Leading)
      return;
    Scheduler_->onAdvice(Call.Step_, Call.Executors_, UsableExecutors, Now);
    scheduleTick();
  }

  // -- followers --

  /// \returns the memory for jobs and what all jobs and those of \p Customer take, also of those
  /// that are being stored.
  lead::WorkMemory workMemory(std::string_view Customer, core::TimePoint Now) const {
    const work::HeldWork &Stored = Context_.JobTable_.held();
    return {WorkLimit_.current(Now), Stored.total() + Context_.UnstoredWork_.total(),
            Stored.of(Customer) + Context_.UnstoredWork_.of(Customer)};
  }

  /// A new leader sends its first orders through the relays that it knows by then. Only large
  /// daemons serve as relays for many executors, so that the others do not call all at once.
  void greetNewLeader() {
    if (lead::isPreferredLeader(Context_.Settings_.Cores_))
      helloTick();
  }

  void helloTick() {
    runAfter(HelloTimer_, HelloInterval, [this] { helloTick(); });
    if (Role_ != Role::Follower || !NewestRecord_ || ownsNewestRecord() || NewestRecord_->Released_)
      return;
    http::ClientRequest HttpRequest;
    HttpRequest.Method_ = "POST";
    HttpRequest.Url_ = "http://" + NewestRecord_->PeerAddress_ + protocol::HelloPath;
    const bool CanLead = lead::isPreferredLeader(Context_.Settings_.Cores_) &&
                         !Context_.Stopping_ && Context_.Manifest_ && Jobs_.loaded() &&
                         !Jobs_.failing() && !Leadership_.failing();
    const bool SendsVerdicts = VerdictsKnownToTerm_ != NewestRecord_->Term_;
    HttpRequest.Body_ = core::pack(protocol::Hello{
        Context_.Settings_.Instance_, Context_.PeerAddress_, Context_.Settings_.Domain_,
        Context_.Settings_.Cores_, CanLead, Context_.Settings_.LinkMbps_,
        SendsVerdicts ? VerdictMemory_.list(core::Clock::now())
                      : std::vector<protocol::KnownVerdicts>(),
        Context_.WorkShareBytes_});
    HttpRequest.Timeout_ = HelloTimeout;
    Context_.Client_.send(
        std::move(HttpRequest), [Self = shared_from_this(), Term = NewestRecord_->Term_,
                                 SentAt = core::Clock::now()](const http::ClientResult &Result) {
          if (Self->Closed_ || !Self->NewestRecord_ || Self->NewestRecord_->Term_ != Term)
            return;
          const bool Refused = Result.Transfer_ == http::Transfer::NotConnected &&
                               core::Clock::now() - SentAt < MaxRefusalTime;
          const auto Reply = Result.Transfer_ == http::Transfer::Complete
                                 ? core::unpack<protocol::HelloReply>(Result.Answer_.Body_)
                                 : std::nullopt;
          // After the leader is gone, another process may answer at its address.
          const bool Replaced =
              Result.Transfer_ == http::Transfer::Complete &&
              (!Reply || Reply->Incarnation_ != Self->NewestRecord_->Incarnation_);
          if (Reply && !Replaced) {
            Self->setStandby(Reply->Standby_);
            Self->WorkLimit_.noteLeader(Reply->WorkLimitBytes_, core::Clock::now());
            Self->VerdictsKnownToTerm_ = Term;
            if (!Reply->RunTimes_.empty())
              if (auto RunTimes = core::unpack<lead::RunTimeSummary>(Reply->RunTimes_))
                Self->RunTimes_ = std::move(*RunTimes);
            if (Reply->SourceKnown_ && Self->Role_ == Role::Follower)
              Self->Config_.setSource(Reply->ConfigSource_);
          }
          Self->LeaderGone_ = Refused || Replaced;
          if (Result.Transfer_ == http::Transfer::Complete && !Replaced)
            Self->LeaderAnsweredAt_ = core::Clock::now();
          // A leader that can't read the store answers hellos with 503.
          Self->LeaderWithoutStore_ =
              Result.Transfer_ == http::Transfer::Complete && Result.Answer_.Status_ != 200;
          Self->setLeaderResponsive(Result.Transfer_ == http::Transfer::Complete && !Replaced);
        });
  }

  /// A standby reads the specifications, which others load only when they come to lead.
  void setStandby(bool Standby) {
    if (std::exchange(Standby_, Standby) == Standby || Role_ != Role::Follower)
      return;
    core::log(core::LogLevel::Info, Standby ? "standby" : "no longer standby",
              {{"leader", NewestRecord_->Instance_}});
    if (Standby)
      Specs_.start();
    else if (!lead::isPreferredLeader(Context_.Settings_.Cores_))
      Specs_.suspend();
  }

  /// \returns the turn of this daemon among those that may claim.
  unsigned rank() const {
    constexpr double StandbyCores = 1; // as prepared as a larger machine
    return lead::claimRank(Context_.Settings_.Instance_,
                           Standby_ ? StandbyCores : Context_.Settings_.Cores_);
  }

  /// Callers depend on this daemon's own reads once the leader stops answering, so these must not
  /// pause any longer.
  void setLeaderResponsive(bool Responsive) {
    if (std::exchange(LeaderResponsive_, Responsive) && !Responsive)
      Jobs_.expedite();
  }

  static void runAfter(asio::steady_timer &Timer, core::Millis Delay,
                       std::function<void()> Callback) {
    Timer.expires_after(Delay);
    Timer.async_wait([Callback = std::move(Callback)](std::error_code Error) {
      if (!Error)
        Callback();
    });
  }

  void close() {
    Closed_ = true;
    for (asio::steady_timer *Timer :
         {&ElectionTimer_, &HelloTimer_, &TickTimer_, &HeartbeatTimer_, &RetryTimer_})
      Timer->cancel();
    LoopLag_.stop();
  }

  FleetContext &Context_;
  TopicTail &Jobs_;
  TopicTail &Specs_;
  TopicTail &Executors_;
  ConfigFeed &Config_;
  TopicTail Leadership_;
  asio::steady_timer ElectionTimer_;
  asio::steady_timer HelloTimer_;
  asio::steady_timer TickTimer_;
  asio::steady_timer HeartbeatTimer_;
  asio::steady_timer RetryTimer_;
  LoopLag LoopLag_;
  OrderRouter OrderRouter_;
  StandbyTable Standbys_;           ///< while leading
  ConfigReaderTable ConfigReaders_; ///< while leading
  bool Standby_ = false;            ///< as the leader has told this daemon
  Retention Retention_;
  WorkLimit WorkLimit_;
  StoredJobCheck StoredJobCheck_;
  AdviceDispatcher AdviceDispatcher_;
  VerdictMemory VerdictMemory_;           ///< of calls that this daemon has made
  std::uint64_t VerdictsKnownToTerm_ = 0; ///< the term whose leader was sent them
  /// What other daemons know, until the scheduler of this term takes it over.
  std::vector<protocol::KnownVerdicts> InheritedVerdicts_;
  lead::RunTimeSummary RunTimes_;  ///< as the leader of an earlier term has learned
  std::string PackedRunTimes_;     ///< as sent last
  std::uint64_t SentRunTimes_ = 0; ///< version of what standbys were sent
  core::TimePoint RunTimesSentAt_{};
  core::TimePoint RunTimeErrorsAt_{};
  JobStateWaiters JobStateWaiters_;
  bool Closed_ = false;
  bool LeadershipLoaded_ = false;
  bool ClaimOutstanding_ = false;
  bool HeartbeatOutstanding_ = false;
  bool RecordFoundOnStart_ = false; ///< the newest record is older than this process
  bool LeaderGone_ = false; ///< its address refuses connections or belongs to another process
  core::TimePoint LeaderAnsweredAt_{}; ///< to a hello, or when its first record was read
  bool LeaderWithoutStore_ = false;    ///< the leader reports that it can't read the store
  bool LeaderResponsive_ = false;      ///< the leader answered the last hello
  Role Role_ = Role::Follower;
  std::optional<lead::LeadershipRecord> NewestRecord_;
  std::uint64_t NewestRecordOffset_ = 0;
  core::TimePoint NewestReadAt_{}; ///< when the newest record was read, or this daemon's term ended
  core::TimePoint TermBegunAt_{};  ///< when this daemon's last term began
  core::TimePoint HandOverUntil_{}; ///< until then heartbeats release the leadership
  core::TimePoint GoneSince_{}; ///< when the leader was found to be gone; zero while there is one
  lead::Roster Roster_;         ///< as read from the leadership topic
  lead::SilenceTable Silences_; ///< the same, of silent executors
  lead::DrainTable Drains_;     ///< the same, of draining executors
  core::TimePoint ExtraHeartbeatAt_{}; ///< when an additional heartbeat was sent
  core::TimePoint ExtraHeartbeatCheckedAt_{};
  std::uint64_t Term_ = 0;
  std::uint64_t Sequence_ = 0; ///< producer sequence of the next append to the jobs topic
  bool Flushing_ = false;
  bool TickScheduled_ = false;
  core::Duration LastRoundDuration_{0};
  WorkPacing PlacementPacing_;
  core::TimePoint LastFlushAt_{};
  core::TimePoint GaugesUpdatedAt_{};
  // Since the gauges were updated:
  core::Duration LongestResults_{0}; ///< longest time of a batch of results
  WorkMeter RoundMeter_;
  WorkMeter PassMeter_;
  WorkMeter ResultsMeter_;
  core::TimePoint NextSpecReload_{};
  std::set<std::string> EvacuatedBefore_; ///< domains whose gauges were set
  std::uint64_t FlushNumber_ = 0;         ///< number of the outstanding flush, 0 for none
  std::shared_ptr<std::vector<platform::KeyedRecord>> FlushedRecords_; ///< of the outstanding flush
  core::Millis FlushTimeout_ = MinAppendTimeout;
  std::optional<lead::Scheduler> Scheduler_;
};

LeaderDriver::LeaderDriver(FleetContext &Context, TopicTail &Jobs, TopicTail &Specs,
                           TopicTail &Executors, ConfigFeed &Config)
    : Impl_(std::make_shared<Impl>(Context, Jobs, Specs, Executors, Config)) {}

LeaderDriver::~LeaderDriver() { Impl_->close(); }

void LeaderDriver::start() {
  Impl_->Leadership_.start();
  Impl_->electionTick();
  Impl_->helloTick();
  Impl_->LoopLag_.start();
}

void LeaderDriver::release() { Impl_->requestHandOver("stopping", core::TimePoint::max()); }

void LeaderDriver::onJob(std::string_view JobId) {
  if (Impl_->Role_ != Impl::Role::Leading)
    return;
  const auto Entry = Impl_->Context_.JobTable_.jobs().find(std::string(JobId));
  if (Entry == Impl_->Context_.JobTable_.jobs().end()) {
    Impl_->Scheduler_->onJobForgotten(std::string(JobId));
    return;
  }
  Impl_->Scheduler_->onJob(Entry->second, core::Clock::now(), core::wallMillis());
  if (Impl_->Scheduler_->fenced())
    Impl_->stepDown("a newer term has begun a job");
  else
    Impl_->scheduleTick();
}

void LeaderDriver::onManifest() {
  if (Impl_->Role_ == Impl::Role::Leading)
    Impl_->Scheduler_->setManifest(*Impl_->Context_.Manifest_, core::Clock::now());
}

void LeaderDriver::onEvacuations() {
  if (Impl_->Role_ != Impl::Role::Leading)
    return;
  Impl_->applyEvacuations(core::Clock::now());
  Impl_->scheduleTick();
}

void LeaderDriver::onExecutor(std::string_view ExecutorId) {
  if (Impl_->Role_ != Impl::Role::Leading)
    return;
  const auto Entry = Impl_->Context_.ExecutorEntries_.find(ExecutorId);
  if (Entry == Impl_->Context_.ExecutorEntries_.end() || !Entry->second.Listed_)
    Impl_->Scheduler_->onExecutorGone(ExecutorId);
  else
    Impl_->Scheduler_->onExecutor(Entry->second.Info_, core::Clock::now());
  Impl_->recordNewExecutors();
}

void LeaderDriver::onProgressRead(std::string_view Key, std::string_view Value) {
  Impl_->onProgressRead(Key, Value);
}

protocol::HelloReply LeaderDriver::onHello(const protocol::Hello &Hello) {
  protocol::HelloReply Reply{Impl_->Context_.Incarnation_};
  const core::TimePoint Now = core::Clock::now();
  if (Hello.CanLead_ && !lead::isPreferredLeader(Impl_->Context_.Settings_.Cores_))
    Impl_->requestHandOver("a larger machine can take over", Now + HandOverRequestTime);
  if (Impl_->Role_ == Impl::Role::Follower)
    return Reply;
  // Also while it prepares: the first orders go out as soon as this daemon leads.
  Impl_->WorkLimit_.noteDaemon(Hello.PeerAddress_, Hello.WorkBytes_, Now);
  Impl_->OrderRouter_.registerRelay(Hello, Now);
  Impl_->AdviceDispatcher_.registerAdviser(Hello.PeerAddress_, Now);
  if (Impl_->Role_ == Impl::Role::Leading)
    Impl_->takeOverVerdicts(Hello.Verdicts_, Now);
  else if (Impl_->InheritedVerdicts_.size() < MaxInheritedVerdicts)
    Impl_->InheritedVerdicts_.insert(Impl_->InheritedVerdicts_.end(), Hello.Verdicts_.begin(),
                                     Hello.Verdicts_.end());
  if (Impl_->Role_ != Impl::Role::Leading)
    return Reply;
  Impl_->Standbys_.registerDaemon(Hello, Now);
  Impl_->ConfigReaders_.registerDaemon(Hello, Now);
  Reply.WorkLimitBytes_ = Impl_->WorkLimit_.current(Now);
  Reply.Standby_ = Impl_->Standbys_.isStandby(Hello.PeerAddress_, Now);
  if (Reply.Standby_)
    Reply.RunTimes_ = Impl_->runTimesForStandby(Now);
  if (auto Source = Impl_->ConfigReaders_.sourceFor(Hello.PeerAddress_, Now)) {
    Reply.SourceKnown_ = true;
    Reply.ConfigSource_ = std::move(*Source);
  }
  return Reply;
}

void LeaderDriver::onResults(const protocol::ResultsRequest &Request) { Impl_->onResults(Request); }

bool LeaderDriver::leadsWithoutStore() const {
  return leading() && Impl_->Leadership_.failing() && Impl_->Jobs_.failing();
}

lead::AdmissionDecision LeaderDriver::admit(std::string_view JobId,
                                            const work::AcceptedRecord &Acceptance,
                                            const work::JobSpec &Spec) {
  const core::TimePoint Now = core::Clock::now();
  const lead::WorkMemory Memory = Impl_->workMemory(Acceptance.Customer_, Now);
  const lead::AdmissionDecision Decision =
      Impl_->Scheduler_->admit(JobId, Acceptance, Spec, Memory, Now);
  if (Decision.Outcome_ == lead::AdmissionOutcome::Accepted)
    return Decision;
  core::count("masticdrift_admission_refusals_total",
              {{"reason", std::string(nameOf(Decision.Outcome_))}});
  core::log(core::LogLevel::Info, "job is not admitted",
            {{"request_id", std::string(JobId)},
             {"customer", Acceptance.Customer_},
             {"reason", std::string(nameOf(Decision.Outcome_))},
             {"wait_ms", std::to_string(Decision.Wait_.count())},
             {"allowed_ms", std::to_string(Decision.Allowed_.count())},
             {"job_bytes", std::to_string(Acceptance.MemoryBytes_)},
             {"held_bytes", std::to_string(Memory.Held_)},
             {"held_bytes_of_customer", std::to_string(Memory.HeldByCustomer_)},
             {"limit_bytes", std::to_string(Memory.Limit_)},
             {"retry_after_ms", std::to_string(Decision.RetryAfter_.count())}});
  return Decision;
}

bool LeaderDriver::hasMemoryFor(std::string_view Customer, std::size_t JobBytes) const {
  return lead::admitMemory(Impl_->workMemory(Customer, core::Clock::now()), JobBytes, {})
             .Outcome_ == lead::AdmissionOutcome::Accepted;
}

void LeaderDriver::onAdvised(const protocol::AdviseRequest &Call,
                             const std::vector<fleet::AdvisedExecutor> &Allowed) {
  Impl_->VerdictMemory_.add(Call, Allowed, core::Clock::now());
}

bool LeaderDriver::hasBacklog() const { return leading() && Impl_->Scheduler_->hasBacklog(); }

bool LeaderDriver::leading() const { return Impl_->Role_ == Impl::Role::Leading; }

std::uint64_t LeaderDriver::term() const { return Impl_->Term_; }

bool LeaderDriver::released() const { return Impl_->Role_ == Impl::Role::Follower; }

std::string LeaderDriver::leaderAddress() const {
  return Impl_->NewestRecord_ && !Impl_->ownsNewestRecord() && !Impl_->NewestRecord_->Released_
             ? Impl_->NewestRecord_->PeerAddress_
             : std::string();
}

bool LeaderDriver::leaderResponsive() const { return Impl_->LeaderResponsive_; }

void LeaderDriver::onLeaderFailure() { Impl_->setLeaderResponsive(false); }

void LeaderDriver::queryJobState(const std::string &JobId, JobStateWaiters::ReplyCallback OnReply) {
  Impl_->queryJobState(JobId, std::move(OnReply));
}

} // namespace masticdrift::daemon
