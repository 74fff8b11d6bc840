#include "masticdrift/daemon/LeaderDriver.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/daemon/AdviceDesk.h"
#include "masticdrift/daemon/JobWriter.h"
#include "masticdrift/daemon/OrderDesk.h"
#include "masticdrift/daemon/Retention.h"
#include "masticdrift/lead/Election.h"
#include "masticdrift/lead/Scheduler.h"
#include "platform/Executors.h"
#include "platform/Text.h"

#include <algorithm>
#include <optional>

#include <asio/steady_timer.hpp>

namespace masticdrift::daemon {

namespace {

constexpr const char *LeadKey = "leader";
constexpr const char *LeaderProducer = "leader";

/// Between looks at the election.
constexpr core::Millis ElectionInterval{120};
/// Between offers of help to the leader.
constexpr core::Millis HelloInterval{500};
constexpr core::Millis HelloTimeout{900};
/// A failed connection that took less was refused, not timed out.
constexpr core::Millis RefusalTime{200};
/// Between two rounds of the scheduler without an event, and after an event.
constexpr core::Millis TickInterval{30};
constexpr core::Millis EventDelay{3};
/// After an event the next round waits for this many times the length of the last one, so that
/// rounds leave four fifths of the processor to orders and answers.
constexpr int RoundSpacing = 4;
/// Between two appends of progress.
constexpr core::Millis FlushSpacing{30};
constexpr core::Millis BeatTimeout{1500};
constexpr core::Millis FenceTimeout{1500};
constexpr core::Millis RetryDelay{100};
/// Added to the expected time of a call for advice.
constexpr core::Millis AdviceSlack{900};
/// A list read by a process younger than this may lack entries, if the store was away before.
constexpr core::Millis FreshProcess{12'000};
/// The list and the beats are read at different times.
constexpr core::Millis UnlistedOverlap{4000};
/// Between updates of the leader's gauges.
constexpr core::Millis GaugeInterval{2000};

} // namespace

struct LeaderDriver::Impl : std::enable_shared_from_this<LeaderDriver::Impl> {
  enum class Role { Follower, Preparing, Leading };

  Impl(FleetContext &Context, TopicTail &Jobs, TopicTail &Specs, TopicTail &Executors)
      : Context_(Context), Jobs_(Jobs), Specs_(Specs), Executors_(Executors),
        Lead_(Context.Loop_, Context.Store_,
              {LeadTopic, core::Millis(2000), [] { return core::Millis(50); }},
              {[this](const platform::KeyedRecord &One) { onLeadRecord(One); },
               [this](const auto &) { onLeadLoaded(); }}),
        ElectionTimer_(Context.Loop_), HelloTimer_(Context.Loop_), TickTimer_(Context.Loop_),
        BeatTimer_(Context.Loop_), RetryTimer_(Context.Loop_), Orders_(Context),
        Retention_(Context), Desk_([this](const std::string &Adviser, AdviceJob Job) {
          sendAdvice(Adviser, std::move(Job));
        }) {}

  // -- election --

  void onLeadLoaded() {
    if (!Newest_)
      NewsAt_ = core::Clock::now();
    Loaded_ = true;
  }

  void onLeadRecord(const platform::KeyedRecord &One) {
    if (One.Key_ != LeadKey || (Newest_ && One.Offset_ <= NewestOffset_))
      return;
    auto Record = core::unpack<lead::LeadRecord>(One.Value_);
    if (!Record) {
      core::log(core::LogLevel::Warning, "leadership record is unreadable",
                {{"offset", std::to_string(One.Offset_)}});
      return;
    }
    const bool Change = !Newest_ || Newest_->Term_ != Record->Term_;
    FoundOnStart_ = !Loaded_;
    Newest_ = std::move(*Record);
    NewestOffset_ = One.Offset_;
    NewsAt_ = core::Clock::now();
    Refused_ = false;
    LeaderCutOff_ = false;
    LeaderHeard_ = LeaderHeard_ && !Change;
    if (Change)
      core::log(core::LogLevel::Info, "leader is known",
                {{"leader", Newest_->Instance_},
                 {"term", std::to_string(Newest_->Term_)},
                 {"offset", std::to_string(NewestOffset_)}});
    const bool Mine = mine();
    if (Mine && !Newest_->Released_ && Role_ == Role::Follower && !Context_.Stopping_)
      prepare();
    else if (Role_ != Role::Follower && (!Mine || Newest_->Term_ != Term_))
      stepDown("another daemon leads");
  }

  bool mine() const { return Newest_ && Newest_->Incarnation_ == Context_.Incarnation_; }

  void electionTick() {
    after(ElectionTimer_, ElectionInterval, [this] { electionTick(); });
    if (Claiming_)
      return;
    if (Context_.Stopping_ || Role_ != Role::Follower || !Loaded_ || !Context_.Manifest_ ||
        !Jobs_.loaded()) {
      GoneSince_ = {};
      return;
    }
    lead::ElectionView View{
        core::Clock::now(), Lead_.lastAnswer(), NewsAt_, Newest_ ? &*Newest_ : nullptr,
        core::wallMillis(), FoundOnStart_,
        // While the store is away from this daemon too, nothing is gained by a claim.
        Refused_ || (LeaderCutOff_ && !Lead_.failing() && !Jobs_.failing()),
        lead::rankOf(Context_.Settings_.Instance_, Context_.Settings_.Cores_), GoneSince_,
        Context_.Store_.shortestCallTime()};
    if (!lead::leaderIsGone(View, {})) {
      GoneSince_ = {};
      return;
    }
    if (GoneSince_ == core::TimePoint{})
      View.GoneSince_ = GoneSince_ = View.Now_;
    if (lead::shouldClaim(View, {}))
      claim();
  }

  platform::KeyedRecord leadRecord(std::uint64_t Term, bool Released) const {
    lead::LeadRecord Record{Context_.Settings_.Instance_, Context_.PeerAddress_, Term, Released,
                            core::wallMillis(),           Context_.Incarnation_, {}};
    if (Scheduler_) {
      for (const fleet::ExecutorInfo &One : Scheduler_->unlisted())
        Record.Unlisted_.push_back({One.Id_, One.Address_});
    } else if (Newest_) {
      Record.Unlisted_ = Newest_->Unlisted_;
    }
    return {0, LeadKey, core::pack(Record)};
  }

  void appendLead(std::uint64_t At, std::uint64_t Term, bool Released,
                  std::function<void(platform::AppendOutcome)> Done) {
    const std::vector<platform::KeyedRecord> Records{leadRecord(Term, Released)};
    platform::AppendConditions Terms;
    Terms.ExpectedEnd_ = At;
    Context_.Store_.append(LeadTopic, Records, Terms, BeatTimeout,
                           [Self = shared_from_this(), Record = Records.front(),
                            Done = std::move(Done)](const platform::AppendResult &Result) mutable {
                             if (Self->Closed_)
                               return;
                             if (Result.Outcome_ == platform::AppendOutcome::Stored) {
                               Record.Offset_ = Result.Offset_;
                               Self->onLeadRecord(Record);
                             }
                             Done(Result.Outcome_);
                           });
  }

  void claim() {
    Claiming_ = true;
    const std::uint64_t At = std::max(Lead_.next(), Newest_ ? NewestOffset_ + 1 : 0);
    BeatGap_ = Newest_ ? core::Millis(core::wallMillis() - Newest_->WallMs_) : core::Millis(0);
    core::log(core::LogLevel::Info, "claims the leadership",
              {{"at", std::to_string(At)},
               {"silent_ms", std::to_string(core::toMillis(core::Clock::now() - NewsAt_))},
               {"refused", Refused_ ? "true" : "false"}});
    appendLead(At, At + 1, false, [this](platform::AppendOutcome) { Claiming_ = false; });
  }

  void beat() {
    if (Role_ == Role::Follower)
      return;
    after(BeatTimer_, lead::ElectionTiming{}.Beat_, [this] { beat(); });
    if (Beating_)
      return;
    Beating_ = true;
    appendLead(NewestOffset_ + 1, Term_, false,
               [this](platform::AppendOutcome) { Beating_ = false; });
  }

  // -- a term --

  void prepare() {
    Role_ = Role::Preparing;
    Term_ = Newest_->Term_;
    Sequence_ = 0;
    Specs_.start();
    Specs_.hurry();
    Executors_.hurry();
    core::count("masticdrift_takeovers_total");
    core::log(core::LogLevel::Info, "term begins", {{"term", std::to_string(Term_)}});
    fence();
    after(BeatTimer_, lead::ElectionTiming{}.Beat_, [this] { beat(); });
  }

  /// Shuts earlier leaders out of the jobs topic; after that its end is known to be final for them.
  void fence() {
    platform::AppendConditions Terms;
    Terms.Producer_ = LeaderProducer;
    Terms.Epoch_ = Term_;
    Context_.Store_.append(
        JobsTopic, {}, Terms, FenceTimeout,
        [Self = shared_from_this(), Term = Term_](const platform::AppendResult &Result) {
          if (Self->Closed_ || Self->Role_ != Role::Preparing || Self->Term_ != Term)
            return;
          if (Result.Outcome_ == platform::AppendOutcome::Fenced)
            Self->stepDown("jobs topic is fenced");
          else if (Result.Outcome_ == platform::AppendOutcome::Stored)
            Self->readUp();
          else
            after(Self->RetryTimer_, RetryDelay, [Self] { Self->retryFence(); });
        });
  }

  void retryFence() {
    if (Role_ == Role::Preparing)
      fence();
  }

  /// Steps are stored before the acceptance, so they are read after it. Executors come last: the
  /// earlier leader may have started something on one that has just joined.
  void readUp() {
    readTopic(Jobs_,
              [this] { readTopic(Specs_, [this] { readTopic(Executors_, [this] { lead(); }); }); });
  }

  /// Reads up to the present and goes on with \p Then, or begins anew with readUp().
  void readTopic(TopicTail &Topic, std::function<void()> Then) {
    Topic.catchUp(FenceTimeout, [Self = shared_from_this(), &Topic, Term = Term_,
                                 Then = std::move(Then)](bool Complete) {
      if (Self->Closed_ || Self->Role_ != Role::Preparing || Self->Term_ != Term)
        return;
      if (Complete && Topic.loaded())
        Then();
      else
        after(Self->RetryTimer_, RetryDelay, [Self] {
          if (Self->Role_ == Role::Preparing)
            Self->readUp();
        });
    });
  }

  void lead() {
    const core::TimePoint Now = core::Clock::now();
    Role_ = Role::Leading;
    Flushing_ = false;
    FlushNumber_ = 0;
    Sequence_ = 1;
    FlushTimeout_ = LeastAppendTimeout;
    // Entries lapse after three heartbeats; beats that came until then show a store that was there.
    const bool ListMayLack = Now - Context_.StartedAt_ < FreshProcess &&
                             BeatGap_ >= core::Millis(3 * Context_.Settings_.HeartbeatMs_);
    lead::Timing Times;
    Times.LongestLease_ = core::Millis(Context_.Settings_.MaxLeaseMs_);
    Scheduler_.emplace(Term_, Times, ports(), Now, ListMayLack);
    if (Context_.Manifest_)
      Scheduler_->setManifest(*Context_.Manifest_, Now);
    for (const auto &[Id, Entry] : Context_.Roster_) {
      // The earlier leader's beats name the executors without an entry that it still counted on;
      // later losses are known from the list.
      if (!Entry.Listed_ && Entry.ChangedAt_ < NewsAt_ - UnlistedOverlap)
        continue;
      Scheduler_->onExecutor(Entry.Info_, Now);
      if (!Entry.Listed_)
        Scheduler_->onExecutorGone(Id, Now);
    }
    for (const lead::UnlistedExecutor &One : Newest_->Unlisted_)
      if (const auto Known = Context_.Roster_.find(One.Id_);
          Known == Context_.Roster_.end() || !Known->second.Listed_) {
        fleet::ExecutorInfo Info;
        if (Known != Context_.Roster_.end())
          Info = Known->second.Info_;
        Info.Id_ = One.Id_;
        Info.Address_ = One.Address_;
        Scheduler_->onExecutor(Info, Now);
        Scheduler_->onExecutorGone(One.Id_, Now);
      }
    for (const auto &[Id, Job] : Context_.Ledger_.jobs())
      Scheduler_->onJob(Job, Now, core::wallMillis());
    Desk_.offer({}, Now);
    // From now on these reads rest as a leader's do.
    Jobs_.hurry();
    Specs_.hurry();
    const auto Counts = Scheduler_->counts();
    core::setGauge("masticdrift_leader", 1);
    core::log(core::LogLevel::Info, "leads",
              {{"term", std::to_string(Term_)},
               {"jobs", std::to_string(Counts.Jobs_)},
               {"executors", std::to_string(Counts.Executors_)}});
    tick();
  }

  void stepDown(std::string_view Why) {
    if (Role_ == Role::Follower)
      return;
    core::log(core::LogLevel::Warning, "term ends",
              {{"term", std::to_string(Term_)}, {"reason", std::string(Why)}});
    Role_ = Role::Follower;
    Scheduler_.reset();
    Looks_.settle(Context_.Ledger_, core::Clock::now() + MostLookWait);
    core::setGauge("masticdrift_leader", 0);
    NewsAt_ = core::Clock::now();
  }

  void release(std::string_view Why) {
    if (Role_ == Role::Follower || Releasing_)
      return;
    Releasing_ = true;
    const std::uint64_t Term = Term_;
    stepDown(Why);
    releaseNow(Term, 0);
  }

  void releaseNow(std::uint64_t Term, int Attempt) {
    constexpr int MaxAttempts = 3;
    appendLead(NewestOffset_ + 1, Term, true,
               [this, Term, Attempt](platform::AppendOutcome Outcome) {
                 const bool Again = Outcome != platform::AppendOutcome::Stored && mine() &&
                                    !Newest_->Released_ && Attempt < MaxAttempts;
                 if (Again)
                   releaseNow(Term, Attempt + 1);
                 else
                   Releasing_ = false;
               });
  }

  // -- leading --

  void tickSoon() {
    if (Role_ != Role::Leading || TickSoon_)
      return;
    TickSoon_ = true;
    const core::Millis Rest = std::chrono::duration_cast<core::Millis>(RoundSpacing * LastRound_);
    after(TickTimer_, std::clamp(Rest, EventDelay, TickInterval), [this] { tick(); });
  }

  void tick() {
    if (Role_ != Role::Leading)
      return;
    TickSoon_ = false;
    const core::TimePoint Now = core::Clock::now();
    Scheduler_->tick(Now, core::wallMillis());
    LastRound_ = core::Clock::now() - Now;
    core::observe("masticdrift_decision_seconds",
                  std::chrono::duration<double>(LastRound_).count());
    if (Scheduler_->fenced()) {
      stepDown("an executor has seen a newer term");
      return;
    }
    Desk_.offer({}, Now);
    Desk_.dispatch(Now);
    Orders_.flush(Now);
    Retention_.tidy(Now, core::wallMillis());
    flush(Now);
    Looks_.settle(Context_.Ledger_, Now);
    if (Now - GaugesAt_ >= GaugeInterval)
      gauges(Now);
    after(TickTimer_, TickInterval, [this] { tick(); });
  }

  void gauges(core::TimePoint Now) {
    GaugesAt_ = Now;
    const auto Counts = Scheduler_->counts();
    core::setGauge("masticdrift_waiting_tasks", static_cast<double>(Counts.Waiting_));
    core::setGauge("masticdrift_running_tasks", static_cast<double>(Counts.Running_));
    core::setGauge("masticdrift_silent_executors", static_cast<double>(Counts.Silent_));
    core::log(core::LogLevel::Info, "leader state",
              {{"term", std::to_string(Term_)},
               {"jobs", std::to_string(Counts.Jobs_)},
               {"waiting", std::to_string(Counts.Waiting_)},
               {"running", std::to_string(Counts.Running_)},
               {"executors", std::to_string(Counts.Executors_)},
               {"silent", std::to_string(Counts.Silent_)},
               {"accounted", Counts.Accounted_ ? "true" : "false"}});
  }

  void flush(core::TimePoint Now) {
    if (Flushing_ || Now - FlushedAt_ < FlushSpacing)
      return;
    auto [Number, Entries] = Scheduler_->takeProgress();
    if (Number == 0)
      return;
    std::vector<platform::KeyedRecord> Records;
    for (work::LogRecord &One : Entries)
      Records.push_back({0, std::move(One.Key_), std::move(One.Value_)});
    if (Records.empty()) {
      Scheduler_->onFlushed(Number, Now);
      return;
    }
    Flushing_ = true;
    FlushedAt_ = Now;
    FlushNumber_ = Number;
    Flushed_ = std::make_shared<std::vector<platform::KeyedRecord>>(std::move(Records));
    append(Number, Flushed_);
  }

  void append(std::uint64_t Number, std::shared_ptr<std::vector<platform::KeyedRecord>> Records) {
    platform::AppendConditions Terms;
    Terms.Producer_ = LeaderProducer;
    Terms.Epoch_ = Term_;
    Terms.Sequence_ = Sequence_;
    Context_.Store_.append(JobsTopic, *Records, Terms, FlushTimeout_,
                           [Self = shared_from_this(), Term = Term_, Number, Records,
                            SentAt = core::Clock::now()](const platform::AppendResult &Result) {
                             if (Self->Closed_ || Self->Role_ != Role::Leading ||
                                 Self->Term_ != Term || Self->FlushNumber_ != Number)
                               return;
                             if (Result.Outcome_ != platform::AppendOutcome::Refused)
                               Self->FlushTimeout_ = nextAppendTimeout(core::Clock::now() - SentAt);
                             Self->onAppended(Number, Records, Result);
                           });
  }

  /// A progress record was read back from the log.
  void onProgressRead(std::string_view Key, std::string_view Value) {
    // Later records of a call are stored with the earlier ones, so the last one settles it.
    if (Role_ != Role::Leading || !Flushing_ || !Flushed_ || Flushed_->back().Key_ != Key ||
        Flushed_->back().Value_ != Value)
      return;
    confirmed();
  }

  void confirmed() {
    ++Sequence_;
    Flushing_ = false;
    const std::uint64_t Number = std::exchange(FlushNumber_, 0);
    Flushed_.reset();
    Scheduler_->onFlushed(Number, core::Clock::now());
    Looks_.settle(Context_.Ledger_, core::Clock::now());
    tickSoon();
  }

  void onAppended(std::uint64_t Number,
                  const std::shared_ptr<std::vector<platform::KeyedRecord>> &Records,
                  const platform::AppendResult &Result) {
    using enum platform::AppendOutcome;
    switch (Result.Outcome_) {
    case Stored: {
      std::uint64_t Offset = Result.Offset_;
      for (const platform::KeyedRecord &One : *Records) {
        const work::JobTableChange Change = Context_.Ledger_.apply(Offset++, One.Key_, One.Value_);
        const work::JobTableEntry *Job = Context_.Ledger_.find(Change.Id_);
        if (Job != nullptr && work::isFinal(Job->state()))
          Retention_.ended(Change.Id_);
      }
      confirmed();
      return;
    }
    case Fenced:
      stepDown("jobs topic is fenced");
      return;
    case WrongSequence:
      core::log(core::LogLevel::Warning, "sequence is corrected",
                {{"sent", std::to_string(Sequence_)},
                 {"expected", std::to_string(Result.ExpectedSequence_)}});
      Sequence_ = Result.ExpectedSequence_;
      break;
    default:
      core::count("masticdrift_store_failures_total", {{"topic", JobsTopic}});
      core::log(core::LogLevel::Warning, "progress was not confirmed",
                {{"sequence", std::to_string(Sequence_)},
                 {"records", std::to_string(Records->size())},
                 {"detail", Result.Detail_}});
      break;
    }
    // The same records under the same sequence: a copy that was stored meanwhile is not repeated.
    after(RetryTimer_, RetryDelay, [this, Number, Records, Term = Term_] {
      if (Role_ == Role::Leading && Term_ == Term && FlushNumber_ == Number)
        append(Number, Records);
    });
  }

  lead::Ports ports() {
    lead::Ports Out;
    Out.Start_ = [this](const fleet::ExecutorInfo &At, const fleet::StartOrder &Order) {
      core::count("masticdrift_task_starts_total");
      Orders_.start(At, Order,
                    led<platform::OrderResponse>(
                        [this, Id = At.Id_, Key = lead::RunKey{Order.Task_, Order.Run_}](
                            const platform::OrderResponse &Answer) {
                          Scheduler_->onStarted(Id, Key, Answer.Outcome_, Answer.ClockMs_,
                                                core::Clock::now());
                        }));
    };
    Out.Stop_ = [this](const fleet::ExecutorInfo &At, const lead::RunKey &Key) {
      Orders_.stop(At, Key, Term_,
                   led<platform::OrderResponse>(
                       [this, Id = At.Id_, Key](const platform::OrderResponse &Answer) {
                         Scheduler_->onStopped(Id, Key, Answer.Outcome_, core::Clock::now());
                       }));
    };
    Out.Pace_ = [this](const fleet::ExecutorInfo &At, const lead::RunKey &Key, int Percent) {
      Orders_.pace(At, Key, Term_, Percent, [Key](const platform::OrderResponse &Answer) {
        if (Answer.Outcome_ != fleet::OrderOutcome::Done)
          core::log(core::LogLevel::Warning, "pace was not set",
                    {{"task", platform::taskName(Key.first)},
                     {"outcome", std::string(nameOf(Answer.Outcome_))}});
      });
    };
    Out.Hold_ = [this](const fleet::ExecutorInfo &At, std::uint64_t Seen, std::int64_t Until,
                       core::Millis Wait) {
      Orders_.hold(
          At, Term_, Seen, Until, Wait,
          led<platform::LeaseRenewalResult>([this, Id = At.Id_, SentAt = core::Clock::now()](
                                                const platform::LeaseRenewalResult &Answer) {
            for (const fleet::ReportedEnd &One : Answer.Report_.Ended_)
              core::count("masticdrift_run_ends_total", {{"kind", std::string(nameOf(One.Kind_))}});
            Scheduler_->onHold(Id, Answer.Outcome_, Answer.Report_, SentAt, core::Clock::now());
          }));
    };
    Out.Advise_ = [this](const work::TaskRef &Step, std::vector<std::string> Executors,
                         double ExpectedMs, std::pair<int, core::TimePoint> Urgency) {
      Desk_.ask({Step, std::move(Executors), ExpectedMs, Urgency}, core::Clock::now());
    };
    Out.Note_ = [this](std::string_view Event, const work::TaskRef &Task, std::uint64_t Run,
                       std::string_view Executor, std::string_view Detail) {
      if (Task.Job_.empty()) { // about an executor as a whole
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
    return Out;
  }

  /// Wraps a result's handler: it runs only within the term that gave the order.
  template <typename Answer>
  std::function<void(Answer)> led(std::function<void(const Answer &)> Handle) {
    return [Self = shared_from_this(), Term = Term_,
            Handle = std::move(Handle)](const Answer &Result) {
      if (Self->Closed_ || Self->Role_ != Role::Leading || Self->Term_ != Term)
        return;
      Handle(Result);
      Self->tickSoon();
    };
  }

  void look(const std::string &Job, LookDesk::Done Answer) {
    protocol::LookReply Durable = lookedUp(Context_.Ledger_, Job);
    Durable.Answered_ = Role_ == Role::Leading;
    const bool EndIsWritten = Durable.Answered_ && Durable.Known_ && !Jobs_.failing() &&
                              !work::isFinal(static_cast<work::JobState>(Durable.State_)) &&
                              Scheduler_->hasEnded(Job);
    if (EndIsWritten)
      Looks_.wait(Job, core::Clock::now() + MostLookWait, std::move(Answer));
    else
      Answer(Durable);
  }

  // -- advice --

  void sendAdvice(const std::string &Adviser, AdviceJob Job) {
    const core::Millis Timeout =
        core::Millis(static_cast<std::int64_t>(Job.ExpectedMs_)) + AdviceSlack;
    const auto Asked = std::make_shared<AdviceJob>(std::move(Job));
    auto Done = [Self = shared_from_this(), Adviser, Asked, SentAt = core::Clock::now()](
                    const std::optional<std::vector<fleet::AdvisedExecutor>> &Good) {
      if (!Self->Closed_)
        Self->onAdvice(Adviser, *Asked, Good, SentAt);
    };
    if (Adviser.empty()) {
      platform::requestAdvice(Context_.Client_, Context_.Settings_.AdviceAddress_, Asked->Step_,
                              Asked->Executors_, Timeout, std::move(Done));
      return;
    }
    http::ClientRequest Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + Adviser + protocol::AdvisePath;
    Call.Body_ =
        core::pack(protocol::AdviseCall{Asked->Step_.Job_, Asked->Step_.Occurrence_,
                                        Asked->Step_.Step_, Asked->Executors_, Timeout.count()});
    Call.Timeout_ = Timeout;
    Context_.Client_.send(
        std::move(Call), [Done = std::move(Done)](const http::ClientResult &Result) {
          auto Reply = core::unpack<protocol::AdviseReply>(Result.Answer_.Body_);
          if (Result.Transfer_ != http::Transfer::Complete || !Reply || !Reply->Answered_ ||
              Reply->Executors_.size() != Reply->Tickets_.size()) {
            Done(std::nullopt);
            return;
          }
          std::vector<fleet::AdvisedExecutor> Good;
          for (std::size_t I = 0; I < Reply->Executors_.size(); ++I)
            Good.push_back({std::move(Reply->Executors_[I]), std::move(Reply->Tickets_[I])});
          Done(std::move(Good));
        });
  }

  void onAdvice(const std::string &Adviser, const AdviceJob &Job,
                const std::optional<std::vector<fleet::AdvisedExecutor>> &Good,
                core::TimePoint SentAt) {
    const core::TimePoint Now = core::Clock::now();
    core::observe("masticdrift_advice_seconds",
                  std::chrono::duration<double>(Now - SentAt).count());
    core::log(core::LogLevel::Info, "advice",
              {{"request_id", Job.Step_.Job_},
               {"step", std::to_string(Job.Step_.Step_)},
               {"adviser", Adviser},
               {"asked", std::to_string(Job.Executors_.size())},
               {"good", Good ? std::to_string(Good->size()) : "no answer"},
               {"ms", std::to_string(core::toMillis(Now - SentAt))}});
    Desk_.done(Adviser, Good.has_value(), Now);
    if (Role_ != Role::Leading)
      return;
    Scheduler_->onAdvice(Job.Step_, Job.Executors_, Good, Now);
    tickSoon();
  }

  // -- followers --

  void helloTick() {
    after(HelloTimer_, HelloInterval, [this] { helloTick(); });
    if (Role_ != Role::Follower || !Newest_ || mine() || Newest_->Released_)
      return;
    http::ClientRequest Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + Newest_->PeerAddress_ + protocol::HelloPath;
    const bool CanLead = lead::mayLead(Context_.Settings_.Cores_) && !Context_.Stopping_ &&
                         Jobs_.loaded() && !Jobs_.failing() && !Lead_.failing();
    Call.Body_ =
        core::pack(protocol::Hello{Context_.Settings_.Instance_, Context_.PeerAddress_,
                                   Context_.Settings_.Domain_, Context_.Settings_.Cores_, CanLead});
    Call.Timeout_ = HelloTimeout;
    Context_.Client_.send(
        std::move(Call), [Self = shared_from_this(), Term = Newest_->Term_,
                          SentAt = core::Clock::now()](const http::ClientResult &Result) {
          if (Self->Closed_ || !Self->Newest_ || Self->Newest_->Term_ != Term)
            return;
          const bool Refused = Result.Transfer_ == http::Transfer::NotConnected &&
                               core::Clock::now() - SentAt < RefusalTime;
          // Another process may answer at the address of a leader that is gone.
          const bool Replaced = Result.Transfer_ == http::Transfer::Complete &&
                                Result.Answer_.Body_ != Self->Newest_->Incarnation_;
          Self->Refused_ = Refused || Replaced;
          // Its own answer tells that the store refuses it.
          Self->LeaderCutOff_ =
              Result.Transfer_ == http::Transfer::Complete && Result.Answer_.Status_ != 200;
          Self->hear(Result.Transfer_ == http::Transfer::Complete && !Replaced);
        });
  }

  /// Without a leader that answers, this daemon's own reads are all that callers have.
  void hear(bool Heard) {
    if (std::exchange(LeaderHeard_, Heard) && !Heard)
      Jobs_.hurry();
  }

  static void after(asio::steady_timer &Timer, core::Millis Delay, std::function<void()> Work) {
    Timer.expires_after(Delay);
    Timer.async_wait([Work = std::move(Work)](std::error_code Error) {
      if (!Error)
        Work();
    });
  }

  void close() {
    Closed_ = true;
    for (asio::steady_timer *One :
         {&ElectionTimer_, &HelloTimer_, &TickTimer_, &BeatTimer_, &RetryTimer_})
      One->cancel();
  }

  FleetContext &Context_;
  TopicTail &Jobs_;
  TopicTail &Specs_;
  TopicTail &Executors_;
  TopicTail Lead_;
  asio::steady_timer ElectionTimer_;
  asio::steady_timer HelloTimer_;
  asio::steady_timer TickTimer_;
  asio::steady_timer BeatTimer_;
  asio::steady_timer RetryTimer_;
  OrderDesk Orders_;
  Retention Retention_;
  AdviceDesk Desk_;
  LookDesk Looks_;
  bool Closed_ = false;
  bool Loaded_ = false;
  bool Claiming_ = false;
  bool Beating_ = false;
  bool Releasing_ = false;
  bool FoundOnStart_ = false;
  bool Refused_ = false;
  bool LeaderCutOff_ = false;
  bool LeaderHeard_ = false; ///< the leader answered the last offer of help
  Role Role_ = Role::Follower;
  std::optional<lead::LeadRecord> Newest_;
  std::uint64_t NewestOffset_ = 0;
  core::TimePoint NewsAt_{};
  core::TimePoint GoneSince_{}; ///< since when no leader is known; zero while there is one
  core::Millis BeatGap_{0};     ///< between the last beat of the earlier leader and the claim
  std::uint64_t Term_ = 0;
  std::uint64_t Sequence_ = 0;
  bool Flushing_ = false;
  bool TickSoon_ = false;
  core::Duration LastRound_{0}; ///< time that the last round took
  core::TimePoint FlushedAt_{};
  core::TimePoint GaugesAt_{};
  std::uint64_t FlushNumber_ = 0; ///< of the append that is waited for, 0 for none
  std::shared_ptr<std::vector<platform::KeyedRecord>> Flushed_;
  core::Millis FlushTimeout_ = LeastAppendTimeout;
  std::optional<lead::Scheduler> Scheduler_;
};

LeaderDriver::LeaderDriver(FleetContext &Context, TopicTail &Jobs, TopicTail &Specs,
                           TopicTail &Executors)
    : Impl_(std::make_shared<Impl>(Context, Jobs, Specs, Executors)) {}

LeaderDriver::~LeaderDriver() { Impl_->close(); }

void LeaderDriver::start() {
  Impl_->Lead_.start();
  Impl_->electionTick();
  Impl_->helloTick();
}

void LeaderDriver::release() { Impl_->release("stopping"); }

void LeaderDriver::onJob(std::string_view Id) {
  if (Impl_->Role_ != Impl::Role::Leading)
    return;
  const auto Found = Impl_->Context_.Ledger_.jobs().find(std::string(Id));
  if (Found == Impl_->Context_.Ledger_.jobs().end()) {
    Impl_->Scheduler_->onJobForgotten(std::string(Id));
    return;
  }
  Impl_->Scheduler_->onJob(Found->second, core::Clock::now(), core::wallMillis());
  Impl_->tickSoon();
}

void LeaderDriver::onManifest() {
  if (Impl_->Role_ == Impl::Role::Leading)
    Impl_->Scheduler_->setManifest(*Impl_->Context_.Manifest_, core::Clock::now());
}

void LeaderDriver::onExecutor(std::string_view Id) {
  if (Impl_->Role_ != Impl::Role::Leading)
    return;
  const auto Found = Impl_->Context_.Roster_.find(Id);
  if (Found == Impl_->Context_.Roster_.end() || !Found->second.Listed_)
    Impl_->Scheduler_->onExecutorGone(Id, core::Clock::now());
  else
    Impl_->Scheduler_->onExecutor(Found->second.Info_, core::Clock::now());
}

void LeaderDriver::onProgressRead(std::string_view Key, std::string_view Value) {
  Impl_->onProgressRead(Key, Value);
}

bool LeaderDriver::onHello(const protocol::Hello &From) {
  if (Impl_->Role_ != Impl::Role::Leading)
    return false;
  Impl_->Desk_.offer(From.PeerAddress_, core::Clock::now());
  Impl_->Orders_.offer(From, core::Clock::now());
  if (From.CanLead_ && !lead::mayLead(Impl_->Context_.Settings_.Cores_))
    Impl_->release("a larger machine can lead");
  return true;
}

void LeaderDriver::onResults(const protocol::ResultsCall &Call) { Impl_->Orders_.onResults(Call); }

bool LeaderDriver::cutOff() const {
  return leading() && Impl_->Lead_.failing() && Impl_->Jobs_.failing();
}

bool LeaderDriver::leading() const { return Impl_->Role_ == Impl::Role::Leading; }

std::uint64_t LeaderDriver::term() const { return Impl_->Term_; }

bool LeaderDriver::released() const {
  return Impl_->Role_ == Impl::Role::Follower && !Impl_->Releasing_;
}

std::string LeaderDriver::leaderAddress() const {
  return Impl_->Newest_ && !Impl_->mine() && !Impl_->Newest_->Released_
             ? Impl_->Newest_->PeerAddress_
             : std::string();
}

bool LeaderDriver::leaderHeard() const { return Impl_->LeaderHeard_; }

void LeaderDriver::leaderFailed() { Impl_->hear(false); }

void LeaderDriver::look(const std::string &Job, LookDesk::Done Answer) {
  Impl_->look(Job, std::move(Answer));
}

} // namespace masticdrift::daemon
