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
/// An append that has started is either in the log or lost after this time: batch deadline (3 s),
/// one more exchange (1 s), and a margin for bytes still in flight on a closed connection.
constexpr core::Millis PendingAppendTimeout{10'000};
/// Limit on the wait for an appended record to be read back.
constexpr core::Millis ReadBackTimeout{4'000};
/// A daemon that has not read the store for this time fetches the state from a peer.
constexpr core::Millis PeerFetchDelay{1'000};
constexpr core::Millis TickPeriod{250};

} // namespace

struct ConfigReplica::Impl : std::enable_shared_from_this<Impl> {
  Impl(ConfigReplicaOptions Options, ConfigReplicaHooks Hooks, legacy::LogClient &Log,
       core::Timers &Timers, protocol::Link &Peers, membership::PeerTable &Table)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)), Timers_(Timers), Peers_(Peers),
        Table_(Table), Freshness_(Options_.FreshnessBound_), StartedAt_(core::Clock::now()),
        Appender_(appenderOptions(Options_), journal::appendTo(Log, std::string(StreamName)),
                  Timers),
        Tailer_(tailerOptions(Options_), journal::readFrom(Log, std::string(StreamName)), Timers,
                tailerHooks()) {}

  static journal::AppenderOptions appenderOptions(const ConfigReplicaOptions &ReplicaOptions) {
    journal::AppenderOptions Result;
    Result.Stream_ = StreamName;
    Result.Writer_ = ReplicaOptions.InstanceName_;
    Result.Incarnation_ = ReplicaOptions.Incarnation_;
    Result.MaxBatchAge_ = ReplicaOptions.BatchWindow_;
    Result.AppendsPerSecond_ = ReplicaOptions.AppendsPerSecond_;
    return Result;
  }

  static journal::TailerOptions tailerOptions(const ConfigReplicaOptions &ReplicaOptions) {
    journal::TailerOptions Result;
    Result.Stream_ = StreamName;
    Result.Interval_ = ReplicaOptions.PollInterval_;
    Result.SnapshotType_ = journal::RecordType::ConfigSnapshot;
    return Result;
  }

  journal::TailerHooks tailerHooks() {
    journal::TailerHooks Result;
    Result.OnEntry_ = [this](std::uint64_t Offset, std::uint32_t Index, const journal::BatchInfo &,
                             const journal::Entry &Record) {
      if (State_.apply(Offset, Index, Record))
        Changed_ = true;
    };
    Result.OnBatchEnd_ = [this](std::uint64_t Offset, const journal::BatchInfo &Info, bool) {
      Appender_.observed(Info, Offset);
      Offset_ = Tailer_.nextOffset();
      checkWaiters();
    };
    Result.OnCaughtUp_ = [this] { onCaughtUp(); };
    Result.OnGap_ = [](const journal::Gap &Missing) {
      core::log(
          core::LogLevel::Error, "config records expired before they were read",
          {{"needed", std::to_string(Missing.Needed_)}, {"first", std::to_string(Missing.First_)}});
    };
    Result.LoadSnapshot_ = [this](const journal::SnapshotBody &Body, std::uint64_t) {
      const auto Section = Body.section(StateSection);
      Changed_ = true;
      return Section && State_.load(*Section);
    };
    return Result;
  }

  void onCaughtUp() {
    const auto AsOf = Tailer_.completeAsOf();
    if (!AsOf)
      return;
    {
      const std::lock_guard Lock(Mutex_);
      Freshness_.recordRead(*AsOf);
      StoreAsOf_ = *AsOf;
      Offset_ = Tailer_.nextOffset();
      std::erase_if(PendingAppends_, [&](const PendingAppend &Append) {
        return State_.version() >= Append.Version_ ||
               *AsOf > Append.AnnouncedAt_ + PendingAppendTimeout;
      });
      if (UnknownAppendAt_ && *AsOf > *UnknownAppendAt_ + PendingAppendTimeout)
        UnknownAppendAt_.reset();
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
    if (!ReadAt || Now - *ReadAt > PeerFetchDelay)
      fetchFromPeer(Now);
    confirmUnanimously(Now);
    core::setGauge("masticdrift_config_fresh", fresh(Now) ? 1 : 0);
    if (ReadAt)
      core::setGauge("masticdrift_store_age_seconds",
                     std::chrono::duration<double>(Now - *ReadAt).count());
  }

  /// Renews the freshness during a store outage, when all daemons of the fleet confirm the same
  /// configuration (section 9 of the design).
  void confirmUnanimously(TimePoint Now) {
    const auto Evidence = Table_.evidence();
    const std::lock_guard Lock(Mutex_);
    const membership::OwnConfig Own{Options_.InstanceName_, Offset_, confirmsConfigLocked()};
    if (const auto AsOf =
            membership::confirmedAsOf(Own, Evidence, Hooks_.Members_(), Options_.FleetSize_, Now))
      Freshness_.recordUnanimous(*AsOf);
  }

  bool confirmsConfigLocked() const {
    // The state is outdated while a record that this daemon appended has not been read back.
    return StoreAsOf_ && PendingAppends_.empty() && !UnknownAppendAt_ && AppendsInFlight_ == 0 &&
           Offset_ >= AppendedEndOffset_;
  }

  /// Without the store, loads the state of the peer with the highest config offset.
  void fetchFromPeer(TimePoint Now) {
    if (Now - StartedAt_ < PeerFetchDelay || FetchInProgress_.exchange(true))
      return;
    std::string BestPeer;
    std::uint64_t BestPeerOffset = 0;
    for (const membership::Peer &Candidate : Table_.peers())
      if (Candidate.LastAnsweredProbeSent_ &&
          (BestPeer.empty() || Candidate.ConfigOffset_ > BestPeerOffset)) {
        BestPeer = Candidate.Member_.Name_;
        BestPeerOffset = Candidate.ConfigOffset_;
      }
    if (BestPeer.empty() || (Loaded_ && BestPeerOffset <= Offset_)) {
      FetchInProgress_ = false;
      return;
    }
    Peers_.call(
        BestPeer, protocol::MessageKind::ConfigFetch, core::pack(protocol::ConfigFetch{Offset_}),
        core::Millis(2000),
        [Self = shared_from_this()](std::error_code Error, const protocol::Envelope &Reply) {
          Self->Timers_.post([Self, Error, Body = Reply.Body_] {
            Self->FetchInProgress_ = false;
            if (!Error)
              Self->loadPeerCopy(Body);
          });
        });
  }

  void loadPeerCopy(const std::string &Body) {
    const auto Copy = core::unpack<protocol::ConfigCopy>(Body);
    if (!Copy || !Copy->Present_)
      return;
    const auto Snapshot = core::unpack<journal::SnapshotBody>(Copy->State_);
    const auto Section = Snapshot ? Snapshot->section(StateSection) : std::nullopt;
    if (!Section || !Tailer_.resume({Copy->Offset_, Snapshot->Sequences_}))
      return;
    State_.load(*Section);
    Offset_ = Copy->Offset_;
    Loaded_ = true;
    Changed_ = true;
    core::log(core::LogLevel::Info, "configuration copied from a peer",
              {{"offset", std::to_string(Copy->Offset_)}});
    notifyIfChanged();
  }

  protocol::ConfigCopy copyForPeer() {
    protocol::ConfigCopy Copy;
    Copy.Present_ = Loaded_;
    if (!Copy.Present_)
      return Copy;
    // The copy is made on the timer thread, so that its position matches its state.
    const std::lock_guard Lock(PeerCopyMutex_);
    Copy.Offset_ = PeerCopy_.Offset_;
    Copy.State_ = PeerCopy_.State_;
    Copy.Present_ = !Copy.State_.empty();
    return Copy;
  }

  /// Encodes the state for peers. Runs on the timer thread.
  void refreshPeerCopy() {
    const journal::Position Position = Tailer_.position();
    if (Position.NextOffset_ == PeerCopy_.Offset_ && !PeerCopy_.State_.empty())
      return;
    journal::SnapshotBody Snapshot;
    Snapshot.Sequences_ = Position.Sequences_;
    Snapshot.Sections_.emplace_back(StateSection, State_.encode());
    const std::lock_guard Lock(PeerCopyMutex_);
    PeerCopy_.Offset_ = Position.NextOffset_;
    PeerCopy_.State_ = core::pack(Snapshot);
  }

  void writeSnapshotIfDue() {
    const TimePoint Now = core::Clock::now();
    refreshPeerCopy();
    const auto LatestSnapshot = Tailer_.lastSnapshot();
    if (LatestSnapshot && LatestSnapshot->Offset_ != LastSnapshotOffset_) {
      LastSnapshotOffset_ = LatestSnapshot->Offset_;
      LastSnapshotAt_ = Now;
    }
    const TimePoint Due = LastSnapshotAt_ ? *LastSnapshotAt_ + Options_.LogRetention_ / 2
                                          : StartedAt_ + Options_.LogRetention_ / 8;
    if (Now < Due || !Hooks_.WritesSnapshots_() || Tailer_.nextOffset() == 0)
      return;
    LastSnapshotAt_ = Now;
    const std::uint64_t BaseOffset = PeerCopy_.Offset_ - 1;
    auto Parts =
        journal::splitSnapshot(journal::RecordType::ConfigSnapshot, BaseOffset, PeerCopy_.State_);
    for (journal::Entry &Part : Parts)
      Appender_.append({std::move(Part)}, [](std::error_code, std::uint64_t) {});
  }

  // --- Submissions ---

  /// A caller that waits for its record to be read back.
  struct Waiter {
    TimePoint WaitingSince_;
    /// Returns the response once replay has applied the record.
    std::function<std::optional<ConfigResponse>()> Check_;
    Callback Done_;
  };

  /// Announces the append to all peers, appends the record and waits until it is read back.
  void append(journal::Entry Record, std::uint64_t Version,
              std::function<std::optional<ConfigResponse>()> Check, Callback Done) {
    // Nothing is announced during a known store outage: an announced append without an outcome
    // prevents the unanimous confirmation, and the whole fleet would refuse requests with a key.
    if (!storeReachable(core::Clock::now())) {
      ConfigResponse Response;
      Response.Error_ = {ErrorKind::StoreUnavailable,
                         "the log service is unreachable, so the record was not appended"};
      return Done(std::move(Response));
    }
    announceAppend(Version);
    {
      const std::lock_guard Lock(Mutex_);
      ++AppendsInFlight_;
    }
    Appender_.append({std::move(Record)},
                     [Self = shared_from_this(), Check = std::move(Check),
                      Done = std::move(Done)](std::error_code Error, std::uint64_t Offset) mutable {
                       Self->onAppended(Error, Offset, std::move(Check), std::move(Done));
                     });
  }

  /// Tells all peers to read the stream now instead of at their next poll.
  void notifyPeers(std::uint64_t Offset) {
    const std::string Body = core::pack(protocol::Notice{std::string(StreamName), Offset});
    for (const membership::Peer &Recipient : Table_.peers())
      Peers_.send(Recipient.Member_.Name_, protocol::MessageKind::Notice, 0, Body);
  }

  bool storeReachable(TimePoint Now) const {
    const std::lock_guard Lock(Mutex_);
    return StoreAsOf_ && Now - *StoreAsOf_ <= Options_.MaxStoreAge_;
  }

  void announceAppend(std::uint64_t Version) {
    const std::string Body = core::pack(protocol::Pending{Version, Options_.InstanceName_});
    for (const membership::Peer &Recipient : Table_.peers())
      Peers_.send(Recipient.Member_.Name_, protocol::MessageKind::Pending, 0, Body);
  }

  void onAppended(std::error_code Error, std::uint64_t Offset,
                  std::function<std::optional<ConfigResponse>()> Check, Callback Done) {
    {
      const std::lock_guard Lock(Mutex_);
      --AppendsInFlight_;
      if (!Error)
        AppendedEndOffset_ = std::max(AppendedEndOffset_, Offset + 1);
      if (core::kindOf(Error) == ErrorKind::AppendUnknown)
        UnknownAppendAt_ = core::Clock::now();
    }
    if (Error && core::kindOf(Error) != ErrorKind::AppendUnknown) {
      ConfigResponse Response;
      Response.Error_ = {core::kindOf(Error), "the log service did not append the record"};
      return Done(std::move(Response));
    }
    notifyPeers(Offset);
    Waiters_.push_back({core::Clock::now(), std::move(Check), std::move(Done)});
    Tailer_.readNow();
  }

  void checkWaiters() {
    std::vector<std::pair<Callback, ConfigResponse>> Ready;
    for (auto It = Waiters_.begin(); It != Waiters_.end();) {
      if (auto Response = It->Check_()) {
        Ready.emplace_back(std::move(It->Done_), std::move(*Response));
        It = Waiters_.erase(It);
      } else {
        ++It;
      }
    }
    for (auto &[Done, Response] : Ready)
      Done(std::move(Response));
  }

  void expireWaiters(TimePoint Now) {
    std::vector<Callback> Expired;
    for (auto It = Waiters_.begin(); It != Waiters_.end();) {
      if (Now - It->WaitingSince_ > ReadBackTimeout) {
        Expired.push_back(std::move(It->Done_));
        It = Waiters_.erase(It);
      } else {
        ++It;
      }
    }
    for (Callback &Done : Expired) {
      ConfigResponse Response;
      Response.Error_ = {ErrorKind::AppendUnknown,
                         "the appended record was not read back in time and may be in force"};
      Done(std::move(Response));
    }
  }

  void submit(std::string Id, std::string Text, std::uint64_t BaseVersion, std::string Author,
              Callback Done) {
    if (auto EarlierResponse = findResponse(Id, BaseVersion))
      return Done(std::move(*EarlierResponse));
    const config::ParsedConfiguration Parsed = config::parse(Text);
    ConfigResponse Rejection;
    Rejection.Version_ = State_.version();
    if (!Parsed.Errors_.empty()) {
      Rejection.Error_ = Parsed.Errors_.front().failure();
      for (std::size_t I = 1; I < Parsed.Errors_.size(); ++I)
        Rejection.Error_.Message_ += "\n" + Parsed.Errors_[I].text();
      return Done(std::move(Rejection));
    }
    if (BaseVersion != State_.version()) {
      Rejection.Error_ = {ErrorKind::VersionConflict,
                          conflictText(State_.version(), authorOf(State_.version()), BaseVersion)};
      return Done(std::move(Rejection));
    }
    config::Submit Record;
    Record.SubmissionId_ = std::move(Id);
    Record.BaseVersion_ = BaseVersion;
    Record.Version_ = BaseVersion + 1;
    Record.Author_ = std::move(Author);
    Record.WallMs_ = core::wallMillis();
    const auto Delta = BaseVersion > 0 ? config::delta(State_.text(), Text) : std::nullopt;
    if (Delta && Delta->size() < Text.size())
      Record.Delta_ = *Delta;
    else
      Record.Text_ = std::move(Text);
    append(
        config::makeEntry(Record), Record.Version_,
        [this, Id = Record.SubmissionId_, BaseVersion] { return findResponse(Id, BaseVersion); },
        std::move(Done));
  }

  std::optional<ConfigResponse> findResponse(const std::string &SubmissionId,
                                             std::uint64_t BaseVersion) const {
    const auto Result = State_.result(SubmissionId);
    if (!Result)
      return std::nullopt;
    ConfigResponse Response;
    Response.Version_ = Result->Version_;
    if (Result->Outcome_ == config::SubmitOutcome::Conflict)
      Response.Error_ = {ErrorKind::VersionConflict,
                         conflictText(Result->Version_, Result->WinningAuthor_, BaseVersion)};
    else if (Result->Outcome_ == config::SubmitOutcome::Invalid)
      Response.Error_ = {ErrorKind::ConfigurationInvalid, Result->Message_};
    return Response;
  }

  std::string authorOf(std::uint64_t Version) const {
    for (const config::VersionInfo &Accepted : State_.history())
      if (Accepted.Version_ == Version)
        return Accepted.Author_;
    return {};
  }

  static std::string conflictText(std::uint64_t Version, const std::string &Winner,
                                  std::uint64_t BaseVersion) {
    return "version " + std::to_string(Version) + " was submitted by \"" + Winner +
           "\" first; this submission builds on version " + std::to_string(BaseVersion);
  }

  void grant(std::string Team, std::string Author, Callback Done) {
    ConfigResponse Response;
    Response.Version_ = State_.version();
    if (!State_.current()->team(Team)) {
      Response.Error_ = {ErrorKind::ConfigurationInvalid, "team \"" + Team + "\" does not exist"};
      return Done(std::move(Response));
    }
    config::NewKey Key;
    try {
      Key = config::newKey();
    } catch (const std::exception &Error) {
      Response.Error_ = {ErrorKind::Internal, Error.what()};
      return Done(std::move(Response));
    }
    Response.KeyId_ = Key.KeyId_;
    Response.Key_ = Key.Text_;
    const config::KeyGrant Record{Team, Key.KeyId_, Key.Hash_, std::move(Author),
                                  core::wallMillis()};
    append(
        config::makeEntry(Record), 0,
        [this, Response]() -> std::optional<ConfigResponse> {
          return State_.key(Response.KeyId_) ? std::optional(Response) : std::nullopt;
        },
        std::move(Done));
  }

  void revoke(std::string KeyId, std::string Author, Callback Done) {
    ConfigResponse Response;
    Response.Version_ = State_.version();
    Response.KeyId_ = KeyId;
    if (!State_.key(KeyId)) {
      Response.Error_ = {ErrorKind::UnknownKey, "key " + KeyId + " does not exist"};
      return Done(std::move(Response));
    }
    const config::KeyRevoke Record{KeyId, std::move(Author), core::wallMillis()};
    // A revocation changes no version; peers treat it as pending until PendingAppendTimeout has
    // passed.
    append(
        config::makeEntry(Record), UINT64_MAX,
        [this, Response]() -> std::optional<ConfigResponse> {
          const auto Key = State_.key(Response.KeyId_);
          return Key && Key->Revoked_ ? std::optional(Response) : std::nullopt;
        },
        std::move(Done));
  }

  bool fresh(TimePoint Now) const {
    const std::lock_guard Lock(Mutex_);
    return Freshness_.isFresh(Now);
  }

  /// An append announced by a peer whose record has not been replayed.
  struct PendingAppend {
    std::uint64_t Version_;
    TimePoint AnnouncedAt_;
  };

  const ConfigReplicaOptions Options_;
  const ConfigReplicaHooks Hooks_;
  core::Timers &Timers_;
  protocol::Link &Peers_;
  membership::PeerTable &Table_;
  config::ConfigState State_;
  std::atomic<std::uint64_t> Offset_{0};
  std::atomic<bool> Loaded_{false};

  mutable std::mutex Mutex_; ///< guards the members up to PeerCopyMutex_
  membership::Freshness Freshness_;
  std::optional<TimePoint> StoreAsOf_;
  std::vector<PendingAppend> PendingAppends_;
  std::optional<TimePoint> UnknownAppendAt_;
  int AppendsInFlight_ = 0;
  std::uint64_t AppendedEndOffset_ = 0; ///< offset after the last record that this daemon appended

  std::mutex PeerCopyMutex_; ///< guards PeerCopy_
  protocol::ConfigCopy PeerCopy_;

  // The members below are used only on the timer thread.
  const TimePoint StartedAt_;
  bool Changed_ = false;
  std::atomic<bool> FetchInProgress_{false};
  std::list<Waiter> Waiters_;
  std::optional<TimePoint> LastSnapshotAt_;
  std::uint64_t LastSnapshotOffset_ = 0;
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

void ConfigReplica::submit(std::string_view SubmissionId, std::string_view Text,
                           std::uint64_t BaseVersion, std::string_view Author, Callback Done) {
  Impl_->Timers_.post([Self = Impl_, Id = std::string(SubmissionId), Text = std::string(Text),
                       BaseVersion, Author = std::string(Author),
                       Done = std::move(Done)]() mutable {
    Self->submit(std::move(Id), std::move(Text), BaseVersion, std::move(Author), std::move(Done));
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

void ConfigReplica::fillProbeReply(protocol::ProbeReply &Reply, TimePoint Now) const {
  const std::lock_guard Lock(Impl_->Mutex_);
  Reply.ConfigOffset_ = Impl_->Offset_;
  Reply.StoreAgeMs_ = Impl_->StoreAsOf_ ? core::toMillis(Now - *Impl_->StoreAsOf_) : -1;
  Reply.ConfirmsConfig_ = Impl_->confirmsConfigLocked();
}

void ConfigReplica::onProbeReply(TimePoint SentAt, const protocol::ProbeReply &Reply) {
  if (Reply.StoreAgeMs_ < 0)
    return;
  const std::lock_guard Lock(Impl_->Mutex_);
  // Plus one millisecond, because the reported age was rounded down.
  Impl_->Freshness_.recordPeerReport(SentAt, core::Millis(Reply.StoreAgeMs_ + 1),
                                     Reply.ConfigOffset_, Impl_->Offset_);
}

void ConfigReplica::onPending(const protocol::Pending &Message) {
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->PendingAppends_.push_back({Message.Version_, core::Clock::now()});
}

protocol::ConfigCopy ConfigReplica::copyForPeer(const protocol::ConfigFetch &) const {
  return Impl_->copyForPeer();
}

} // namespace masticdrift::replica
