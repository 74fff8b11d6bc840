#include "masticdrift/replica/ConfigReplica.h"

#include "masticdrift/config/Records.h"
#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/journal/Appender.h"
#include "masticdrift/journal/Tailer.h"

#include <algorithm>
#include <atomic>
#include <list>
#include <mutex>
#include <vector>

namespace masticdrift::replica {

namespace {

using core::ErrorKind;
using core::TimePoint;

constexpr std::string_view StreamName = "config";
constexpr std::string_view StateSection = "config";
/// An append that was started by now is in the log after this time or never: batch deadline (3 s),
/// one more exchange (1 s), and a margin for bytes that are still in a closed connection.
constexpr core::Millis PendingDecided{10'000};
/// A caller waits this long for its record to be read back.
constexpr core::Millis ReadBackLimit{4'000};
/// A daemon that has not reached the store for this time asks peers that have read further.
constexpr core::Millis AskPeersAfter{1'000};
constexpr core::Millis TickPeriod{250};

} // namespace

struct ConfigReplica::Impl : std::enable_shared_from_this<Impl> {
  Impl(ConfigReplicaOptions Options, ConfigReplicaHooks Hooks, legacy::LogClient &Log,
       core::Timers &Timers, protocol::Link &Peers, membership::PeerTable &Table)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)), Timers_(Timers), Peers_(Peers),
        Table_(Table), Freshness_(Options_.Bound_), StartedAt_(core::Clock::now()),
        Appender_(appenderOptions(Options_), journal::appendTo(Log, std::string(StreamName)),
                  Timers),
        Tailer_(tailerOptions(Options_), journal::readFrom(Log, std::string(StreamName)), Timers,
                tailerHooks()) {}

  static journal::AppenderOptions appenderOptions(const ConfigReplicaOptions &From) {
    journal::AppenderOptions To;
    To.Stream_ = StreamName;
    To.Writer_ = From.Self_;
    To.Incarnation_ = From.Incarnation_;
    To.MaxBatchAge_ = From.BatchClose_;
    To.AppendsPerSecond_ = From.AppendsPerSecond_;
    return To;
  }

  static journal::TailerOptions tailerOptions(const ConfigReplicaOptions &From) {
    journal::TailerOptions To;
    To.Stream_ = StreamName;
    To.Interval_ = From.Poll_;
    To.SnapshotType_ = journal::RecordType::ConfigSnapshot;
    return To;
  }

  journal::TailerHooks tailerHooks() {
    journal::TailerHooks To;
    To.OnEntry_ = [this](std::uint64_t Offset, std::uint32_t Index, const journal::BatchInfo &,
                         const journal::Entry &Record) {
      if (State_.apply(Offset, Index, Record))
        Changed_ = true;
    };
    To.OnBatchEnd_ = [this](std::uint64_t Offset, const journal::BatchInfo &Info, bool) {
      Appender_.observed(Info, Offset);
      Offset_ = Tailer_.nextOffset();
      checkWaiters();
    };
    To.OnCaughtUp_ = [this] { caughtUp(); };
    To.OnGap_ = [](const journal::Gap &Missing) {
      core::log(
          core::LogLevel::Error, "config records expired before they were read",
          {{"needed", std::to_string(Missing.Needed_)}, {"first", std::to_string(Missing.First_)}});
    };
    To.LoadSnapshot_ = [this](const journal::SnapshotBody &Body, std::uint64_t) {
      const auto Section = Body.section(StateSection);
      Changed_ = true;
      return Section && State_.load(*Section);
    };
    return To;
  }

  void caughtUp() {
    const auto AsOf = Tailer_.completeAsOf();
    if (!AsOf)
      return;
    {
      const std::lock_guard Lock(Mutex_);
      Freshness_.direct(*AsOf);
      StoreAsOf_ = *AsOf;
      Offset_ = Tailer_.nextOffset();
      std::erase_if(Pending_, [&](const OpenAppend &One) {
        return State_.version() >= One.Version_ || *AsOf > One.Heard_ + PendingDecided;
      });
      if (UnknownSince_ && *AsOf > *UnknownSince_ + PendingDecided)
        UnknownSince_.reset();
    }
    Loaded_ = true;
    notifyIfChanged();
    checkWaiters();
    writeSnapshotIfDue();
  }

  void notifyIfChanged() {
    if (!std::exchange(Changed_, false))
      return;
    core::setGauge("masticdrift_config_version", static_cast<double>(State_.version()));
    core::log(core::LogLevel::Info, "configuration in force",
              {{"version", std::to_string(State_.version())}});
    Hooks_.OnChange_();
  }

  void tick() {
    const TimePoint Now = core::Clock::now();
    notifyIfChanged();
    expireWaiters(Now);
    const auto ReadAt = Tailer_.completeAsOf();
    if (!ReadAt || Now - *ReadAt > AskPeersAfter)
      askPeers(Now);
    confirmUnanimously(Now);
    core::setGauge("masticdrift_config_fresh", fresh(Now) ? 1 : 0);
    if (ReadAt)
      core::setGauge("masticdrift_store_age_seconds",
                     std::chrono::duration<double>(Now - *ReadAt).count());
  }

  /// Section 9 of the design: with the store away, all daemons of the fleet confirm the same
  /// configuration.
  void confirmUnanimously(TimePoint Now) {
    const auto Evidence = Table_.evidence();
    const std::lock_guard Lock(Mutex_);
    const membership::OwnConfig Own{Options_.Self_, Offset_, confirmsLocked()};
    if (const auto AsOf =
            membership::unanimousAsOf(Own, Evidence, Hooks_.Members_(), Options_.FleetSize_, Now))
      Freshness_.unanimous(*AsOf);
  }

  bool confirmsLocked() const {
    // A record of this daemon that is in the log but not read back is newer than the state.
    return StoreAsOf_ && Pending_.empty() && !UnknownSince_ && OpenAppends_ == 0 &&
           Offset_ >= AppendedUpTo_;
  }

  /// Without the store: takes the state of the peer that has read furthest.
  void askPeers(TimePoint Now) {
    if (Now - StartedAt_ < AskPeersAfter || Asking_.exchange(true))
      return;
    std::string Best;
    std::uint64_t BestOffset = 0;
    for (const membership::Peer &One : Table_.peers())
      if (One.LastReplySent_ && (Best.empty() || One.ConfigOffset_ > BestOffset)) {
        Best = One.Member_.Name_;
        BestOffset = One.ConfigOffset_;
      }
    if (Best.empty() || (Loaded_ && BestOffset <= Offset_)) {
      Asking_ = false;
      return;
    }
    Peers_.call(
        Best, protocol::MessageKind::ConfigFetch, core::pack(protocol::ConfigFetch{Offset_}),
        core::Millis(2000),
        [Self = shared_from_this()](std::error_code Error, const protocol::Envelope &Reply) {
          Self->Timers_.post([Self, Error, Body = Reply.Body_] {
            Self->Asking_ = false;
            if (!Error)
              Self->takeCopy(Body);
          });
        });
  }

  void takeCopy(const std::string &Body) {
    const auto Copy = core::unpack<protocol::ConfigCopy>(Body);
    if (!Copy || !Copy->Present_)
      return;
    const auto Position = core::unpack<journal::SnapshotBody>(Copy->State_);
    const auto Section = Position ? Position->section(StateSection) : std::nullopt;
    if (!Section || !Tailer_.resume({Copy->Offset_, Position->Sequences_}))
      return;
    State_.load(*Section);
    Offset_ = Copy->Offset_;
    Loaded_ = true;
    Changed_ = true;
    core::log(core::LogLevel::Info, "configuration copied from a peer",
              {{"offset", std::to_string(Copy->Offset_)}});
    notifyIfChanged();
  }

  protocol::ConfigCopy copyFor() {
    protocol::ConfigCopy To;
    To.Present_ = Loaded_;
    if (!To.Present_)
      return To;
    // Position and state are taken on the timer thread, so that they belong together.
    const std::lock_guard Lock(CopyMutex_);
    To.Offset_ = Copy_.Offset_;
    To.State_ = Copy_.State_;
    To.Present_ = !To.State_.empty();
    return To;
  }

  /// Keeps an encoded copy for peers; taken on the timer thread.
  void refreshCopy() {
    const journal::Position At = Tailer_.position();
    if (At.NextOffset_ == Copy_.Offset_ && !Copy_.State_.empty())
      return;
    journal::SnapshotBody Body;
    Body.Sequences_ = At.Sequences_;
    Body.Sections_.emplace_back(StateSection, State_.encode());
    const std::lock_guard Lock(CopyMutex_);
    Copy_.Offset_ = At.NextOffset_;
    Copy_.State_ = core::pack(Body);
  }

  void writeSnapshotIfDue() {
    const TimePoint Now = core::Clock::now();
    refreshCopy();
    const auto Seen = Tailer_.lastSnapshot();
    if (Seen && Seen->Offset_ != SeenSnapshot_) {
      SeenSnapshot_ = Seen->Offset_;
      SnapshotAt_ = Now;
    }
    const TimePoint Due =
        SnapshotAt_ ? *SnapshotAt_ + Options_.Retention_ / 2 : StartedAt_ + Options_.Retention_ / 8;
    if (Now < Due || !Hooks_.WritesSnapshots_() || Tailer_.nextOffset() == 0)
      return;
    SnapshotAt_ = Now;
    const std::uint64_t Base = Copy_.Offset_ - 1;
    auto Parts = journal::splitSnapshot(journal::RecordType::ConfigSnapshot, Base, Copy_.State_);
    for (journal::Entry &Part : Parts)
      Appender_.append({std::move(Part)}, [](std::error_code, std::uint64_t) {});
  }

  // --- Submissions ---

  struct Waiter {
    TimePoint Since_;
    /// \returns the answer once replay has decided it.
    std::function<std::optional<ConfigAnswer>()> Check_;
    Callback Done_;
  };

  /// Announces, appends and waits for the read-back.
  void append(journal::Entry Record, std::uint64_t Version,
              std::function<std::optional<ConfigAnswer>()> Check, Callback Done) {
    // Nothing is announced while the store is known to be away: an announcement without an outcome
    // ends the unanimous confirmation, and with it keyed work in the whole fleet.
    if (!storeReachable(core::Clock::now())) {
      ConfigAnswer Answer;
      Answer.Error_ = {ErrorKind::StoreUnavailable, "the log service can't be reached"};
      return Done(std::move(Answer));
    }
    announce(Version);
    {
      const std::lock_guard Lock(Mutex_);
      ++OpenAppends_;
    }
    Appender_.append({std::move(Record)},
                     [Self = shared_from_this(), Check = std::move(Check),
                      Done = std::move(Done)](std::error_code Error, std::uint64_t Offset) mutable {
                       Self->appended(Error, Offset, std::move(Check), std::move(Done));
                     });
  }

  /// Tells all daemons to read the stream, so that they don't wait for their next poll.
  void notify(std::uint64_t Offset) {
    const std::string Body = core::pack(protocol::Notice{std::string(StreamName), Offset});
    for (const membership::Peer &One : Table_.peers())
      Peers_.send(One.Member_.Name_, protocol::MessageKind::Notice, 0, Body);
  }

  bool storeReachable(TimePoint Now) const {
    const std::lock_guard Lock(Mutex_);
    return StoreAsOf_ && Now - *StoreAsOf_ <= Options_.StoreReachable_;
  }

  void announce(std::uint64_t Version) {
    const std::string Body = core::pack(protocol::Pending{Version, Options_.Self_});
    for (const membership::Peer &One : Table_.peers())
      Peers_.send(One.Member_.Name_, protocol::MessageKind::Pending, 0, Body);
  }

  void appended(std::error_code Error, std::uint64_t Offset,
                std::function<std::optional<ConfigAnswer>()> Check, Callback Done) {
    {
      const std::lock_guard Lock(Mutex_);
      --OpenAppends_;
      if (!Error)
        AppendedUpTo_ = std::max(AppendedUpTo_, Offset + 1);
      if (core::kindOf(Error) == ErrorKind::AppendUnknown)
        UnknownSince_ = core::Clock::now();
    }
    if (Error && core::kindOf(Error) != ErrorKind::AppendUnknown) {
      ConfigAnswer Answer;
      Answer.Error_ = {core::kindOf(Error), "the log service did not take the record"};
      return Done(std::move(Answer));
    }
    notify(Offset);
    Waiters_.push_back({core::Clock::now(), std::move(Check), std::move(Done)});
    Tailer_.readNow();
  }

  void checkWaiters() {
    std::vector<std::pair<Callback, ConfigAnswer>> Ready;
    for (auto Place = Waiters_.begin(); Place != Waiters_.end();) {
      if (auto Answer = Place->Check_()) {
        Ready.emplace_back(std::move(Place->Done_), std::move(*Answer));
        Place = Waiters_.erase(Place);
      } else {
        ++Place;
      }
    }
    for (auto &[Done, Answer] : Ready)
      Done(std::move(Answer));
  }

  void expireWaiters(TimePoint Now) {
    std::vector<Callback> Expired;
    for (auto Place = Waiters_.begin(); Place != Waiters_.end();) {
      if (Now - Place->Since_ > ReadBackLimit) {
        Expired.push_back(std::move(Place->Done_));
        Place = Waiters_.erase(Place);
      } else {
        ++Place;
      }
    }
    for (Callback &Done : Expired) {
      ConfigAnswer Answer;
      Answer.Error_ = {ErrorKind::AppendUnknown,
                       "the record was not read back in time; it may be in force"};
      Done(std::move(Answer));
    }
  }

  void submit(std::string Id, std::string Text, std::uint64_t Base, std::string Author,
              Callback Done) {
    if (auto Known = decided(Id, Base))
      return Done(std::move(*Known));
    const config::ParsedConfiguration Parsed = config::parse(Text);
    ConfigAnswer Refusal;
    Refusal.Version_ = State_.version();
    if (!Parsed.Mistakes_.empty()) {
      Refusal.Error_ = Parsed.Mistakes_.front().failure();
      for (std::size_t I = 1; I < Parsed.Mistakes_.size(); ++I)
        Refusal.Error_.Message_ += "\n" + Parsed.Mistakes_[I].text();
      return Done(std::move(Refusal));
    }
    if (Base != State_.version()) {
      Refusal.Error_ = {ErrorKind::VersionConflict,
                        conflictText(State_.version(), authorOf(State_.version()), Base)};
      return Done(std::move(Refusal));
    }
    config::Submit Record;
    Record.SubmissionId_ = std::move(Id);
    Record.BaseVersion_ = Base;
    Record.Version_ = Base + 1;
    Record.Author_ = std::move(Author);
    Record.WallMs_ = core::wallMillis();
    const auto Delta = Base > 0 ? config::delta(State_.text(), Text) : std::nullopt;
    if (Delta && Delta->size() < Text.size())
      Record.Delta_ = *Delta;
    else
      Record.Text_ = std::move(Text);
    append(
        config::entryOf(Record), Record.Version_,
        [this, Id = Record.SubmissionId_, Base] { return decided(Id, Base); }, std::move(Done));
  }

  std::optional<ConfigAnswer> decided(const std::string &SubmissionId, std::uint64_t Base) const {
    const auto Result = State_.result(SubmissionId);
    if (!Result)
      return std::nullopt;
    ConfigAnswer Answer;
    Answer.Version_ = Result->Version_;
    if (Result->Outcome_ == config::SubmitOutcome::Conflict)
      Answer.Error_ = {ErrorKind::VersionConflict,
                       conflictText(Result->Version_, Result->Winner_, Base)};
    else if (Result->Outcome_ == config::SubmitOutcome::Invalid)
      Answer.Error_ = {ErrorKind::ConfigurationInvalid, Result->Message_};
    return Answer;
  }

  std::string authorOf(std::uint64_t Version) const {
    for (const config::VersionInfo &One : State_.history())
      if (One.Version_ == Version)
        return One.Author_;
    return {};
  }

  static std::string conflictText(std::uint64_t Version, const std::string &Winner,
                                  std::uint64_t Base) {
    return "version " + std::to_string(Version) + " was submitted by \"" + Winner +
           "\" first; this submission builds on version " + std::to_string(Base);
  }

  void grant(std::string Team, std::string Author, Callback Done) {
    ConfigAnswer Answer;
    Answer.Version_ = State_.version();
    if (!State_.current()->team(Team)) {
      Answer.Error_ = {ErrorKind::ConfigurationInvalid, "team \"" + Team + "\" does not exist"};
      return Done(std::move(Answer));
    }
    config::NewKey Key;
    try {
      Key = config::newKey();
    } catch (const std::exception &Reason) {
      Answer.Error_ = {ErrorKind::Internal, Reason.what()};
      return Done(std::move(Answer));
    }
    Answer.KeyId_ = Key.KeyId_;
    Answer.Key_ = Key.Text_;
    const config::KeyGrant Record{Team, Key.KeyId_, Key.Hash_, std::move(Author),
                                  core::wallMillis()};
    append(
        config::entryOf(Record), 0,
        [this, Answer]() -> std::optional<ConfigAnswer> {
          return State_.key(Answer.KeyId_) ? std::optional(Answer) : std::nullopt;
        },
        std::move(Done));
  }

  void revoke(std::string KeyId, std::string Author, Callback Done) {
    ConfigAnswer Answer;
    Answer.Version_ = State_.version();
    Answer.KeyId_ = KeyId;
    if (!State_.key(KeyId)) {
      Answer.Error_ = {ErrorKind::UnknownKey, "key " + KeyId + " does not exist"};
      return Done(std::move(Answer));
    }
    const config::KeyRevoke Record{KeyId, std::move(Author), core::wallMillis()};
    // A revocation changes no version, so peers wait for a read that is late enough.
    append(
        config::entryOf(Record), UINT64_MAX,
        [this, Answer]() -> std::optional<ConfigAnswer> {
          const auto Known = State_.key(Answer.KeyId_);
          return Known && Known->Revoked_ ? std::optional(Answer) : std::nullopt;
        },
        std::move(Done));
  }

  bool fresh(TimePoint Now) const {
    const std::lock_guard Lock(Mutex_);
    return Freshness_.fresh(Now);
  }

  /// An announced append of this or another daemon that replay has not decided.
  struct OpenAppend {
    std::uint64_t Version_;
    TimePoint Heard_;
  };

  const ConfigReplicaOptions Options_;
  const ConfigReplicaHooks Hooks_;
  core::Timers &Timers_;
  protocol::Link &Peers_;
  membership::PeerTable &Table_;
  config::ConfigState State_;
  std::atomic<std::uint64_t> Offset_{0};
  std::atomic<bool> Loaded_{false};

  mutable std::mutex Mutex_; ///< guards the members up to the next comment
  membership::Freshness Freshness_;
  std::optional<TimePoint> StoreAsOf_;
  std::vector<OpenAppend> Pending_;
  std::optional<TimePoint> UnknownSince_;
  int OpenAppends_ = 0;
  std::uint64_t AppendedUpTo_ = 0; ///< the offset after this daemon's last confirmed record

  std::mutex CopyMutex_;
  protocol::ConfigCopy Copy_;

  // Only the timer thread uses the members below.
  const TimePoint StartedAt_;
  bool Changed_ = false;
  std::atomic<bool> Asking_{false};
  std::list<Waiter> Waiters_;
  std::optional<TimePoint> SnapshotAt_;
  std::uint64_t SeenSnapshot_ = 0;
  journal::Appender Appender_;
  journal::Tailer Tailer_;
};

ConfigReplica::ConfigReplica(ConfigReplicaOptions Options, ConfigReplicaHooks Hooks,
                             legacy::LogClient &Log, core::Timers &Timers, protocol::Link &Peers,
                             membership::PeerTable &Table)
    : Impl_(std::make_shared<Impl>(std::move(Options), std::move(Hooks), Log, Timers, Peers,
                                   Table)) {}

ConfigReplica::~ConfigReplica() { Impl_->Tailer_.stop(); }

void ConfigReplica::start() {
  Impl_->Tailer_.start();
  Impl_->Timers_.every(TickPeriod, [Weak = std::weak_ptr(Impl_)] {
    if (const auto Self = Weak.lock())
      Self->tick();
  });
}

void ConfigReplica::readNow() { Impl_->Tailer_.readNow(); }

void ConfigReplica::stop() { Impl_->Tailer_.stop(); }

const config::ConfigState &ConfigReplica::state() const { return Impl_->State_; }
bool ConfigReplica::loaded() const { return Impl_->Loaded_; }
bool ConfigReplica::fresh(TimePoint Now) const { return Impl_->fresh(Now); }
std::uint64_t ConfigReplica::offset() const { return Impl_->Offset_; }

std::optional<core::Duration> ConfigReplica::age(TimePoint Now) const {
  const std::lock_guard Lock(Impl_->Mutex_);
  const auto AsOf = Impl_->Freshness_.currentAsOf();
  return AsOf ? std::optional(Now - *AsOf) : std::nullopt;
}

void ConfigReplica::submit(std::string_view SubmissionId, std::string_view Text, std::uint64_t Base,
                           std::string_view Author, Callback Done) {
  Impl_->Timers_.post([Self = Impl_, Id = std::string(SubmissionId), Text = std::string(Text), Base,
                       Author = std::string(Author), Done = std::move(Done)]() mutable {
    Self->submit(std::move(Id), std::move(Text), Base, std::move(Author), std::move(Done));
  });
}

void ConfigReplica::grant(std::string_view Team, std::string_view Author, Callback Done) {
  Impl_->Timers_.post([Self = Impl_, Team = std::string(Team), Author = std::string(Author),
                       Done = std::move(Done)]() mutable {
    Self->grant(std::move(Team), std::move(Author), std::move(Done));
  });
}

void ConfigReplica::revoke(std::string_view KeyId, std::string_view Author, Callback Done) {
  Impl_->Timers_.post([Self = Impl_, KeyId = std::string(KeyId), Author = std::string(Author),
                       Done = std::move(Done)]() mutable {
    Self->revoke(std::move(KeyId), std::move(Author), std::move(Done));
  });
}

void ConfigReplica::fillReply(protocol::ProbeReply &Reply, TimePoint Now) const {
  const std::lock_guard Lock(Impl_->Mutex_);
  Reply.ConfigOffset_ = Impl_->Offset_;
  Reply.StoreAgeMs_ = Impl_->StoreAsOf_ ? core::toMillis(Now - *Impl_->StoreAsOf_) : -1;
  Reply.Confirms_ = Impl_->confirmsLocked();
}

void ConfigReplica::onReply(TimePoint Sent, const protocol::ProbeReply &Reply) {
  if (Reply.StoreAgeMs_ < 0)
    return;
  const std::lock_guard Lock(Impl_->Mutex_);
  // One millisecond more, because the age was rounded down.
  Impl_->Freshness_.relayed(Sent, core::Millis(Reply.StoreAgeMs_ + 1), Reply.ConfigOffset_,
                            Impl_->Offset_);
}

void ConfigReplica::onPending(const protocol::Pending &Message) {
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->Pending_.push_back({Message.Version_, core::Clock::now()});
}

protocol::ConfigCopy ConfigReplica::copyFor(const protocol::ConfigFetch &) const {
  return Impl_->copyFor();
}

} // namespace masticdrift::replica
