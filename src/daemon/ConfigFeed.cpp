#include "masticdrift/daemon/ConfigFeed.h"

#include "masticdrift/core/Compress.h"
#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"
#include "platform/Text.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include <asio/steady_timer.hpp>

namespace masticdrift::daemon {

namespace {

/// Long-poll time of a read of the topic, after which the followers learn that nothing is new. What
/// is left of MaxConfigAge is the time for the transfer of a configuration to the source.
constexpr core::Millis TopicLongPoll{400};
/// Limit of the wait for an answer from a source; it answers after each of its own reads.
constexpr core::Millis SourceWait{900};
/// Time for the answer itself, in addition to the wait. A source that hangs is left earlier, when
/// the last sign of it is MaxConfigAge old.
constexpr core::Millis SourceTimeoutMargin{2000};
/// Longest additional age at which a daemon leaves its source. Spreads the reads of the daemons
/// that have the same source.
constexpr core::Millis MaxLeaveDelay{400};
/// Delay before a source that did not answer, or is out of date, is asked again.
constexpr core::Millis SourceRetryDelay{500};
/// Largest configuration that is accepted from another daemon.
constexpr std::uint64_t MaxConfigBytes = 16U << 20U;
/// Operators' records for which it is remembered that they were logged as not served.
constexpr std::size_t MaxRememberedRequests = 1000;
/// Longest part of a key in a log line.
constexpr std::size_t MaxLoggedKeyBytes = 64;

std::set<std::string, std::less<>> domainsOf(const platform::MachineSettings &Settings) {
  std::set<std::string, std::less<>> Domains;
  for (const auto &[Domain, Region] : Settings.RegionOfDomain_)
    Domains.insert(Domain);
  return Domains;
}

} // namespace

struct ConfigFeed::Impl : std::enable_shared_from_this<ConfigFeed::Impl> {
  /// The newest configuration, as it is passed on.
  struct Configuration {
    std::uint64_t Offset_ = 0;
    std::size_t Size_ = 0; ///< before compression
    std::string Compressed_;
  };

  struct Waiter {
    protocol::ConfigRequest Request_;
    core::TimePoint ReceivedAt_;
    ReplyCallback OnReply_;
  };

  Impl(FleetContext &Context, RecordCallback OnRecord, std::function<void()> OnEvacuations)
      : Context_(Context), OnRecord_(std::move(OnRecord)), OnEvacuations_(std::move(OnEvacuations)),
        Evacuations_(domainsOf(Context.Settings_)),
        LeaveDelay_(leaveDelay(Context.Settings_.Instance_)), RetryTimer_(Context.Loop_),
        Tail_(Context.Loop_, Context.Store_, tailOptions(Context.Settings_.LinkMbps_),
              {[this](const platform::KeyedRecord &Record) { onTopicRecord(Record); },
               [this](const std::set<std::string> &Keys) { onTopicLoaded(Keys); },
               [this] { onTopicRead(); }}) {}

  static TailOptions tailOptions(double LinkMbps) {
    TailOptions Options;
    Options.Topic_ = ConfigTopic;
    Options.LongPollTime_ = TopicLongPoll;
    Options.LinkMbps_ = LinkMbps;
    return Options;
  }

  void onTopicRecord(const platform::KeyedRecord &Record) {
    const platform::OperatorRequest Request = platform::decodeOperatorKey(Record.Key_);
    if (Request.Kind_ != platform::OperatorRequestKind::Configuration) {
      onOtherRequest(Request, Record);
      return;
    }
    if (Record.Value_.empty())
      return;
    core::count("masticdrift_config_bytes_total", {{"source", "log"}},
                static_cast<double>(Record.Value_.size()));
    accept(Record, core::compress(Record.Value_));
  }

  void onOtherRequest(const platform::OperatorRequest &Request,
                      const platform::KeyedRecord &Record) {
    if (Request.Kind_ == platform::OperatorRequestKind::Evacuation &&
        Context_.Settings_.PlacesInForce_)
      onEvacuation(Request.Domain_, Record);
    else if (!Record.Value_.empty())
      noteUnserved(Record);
  }

  void onEvacuation(std::string_view Domain, const platform::KeyedRecord &Record) {
    using enum work::EvacuationChange;
    switch (Evacuations_.apply(Domain, Record.Value_.empty(), Record.Offset_)) {
    case None:
      return;
    case Requested:
      logEvacuation("evacuation was requested", {std::string(Domain), Record.Offset_});
      break;
    case Withdrawn:
      logEvacuation("evacuation was withdrawn", {std::string(Domain), Record.Offset_});
      break;
    case UnknownDomain:
      core::count("masticdrift_operator_requests_total", {{"outcome", "unknown_domain"}});
      core::log(core::LogLevel::Error, "evacuation of an unknown failure domain",
                {{"domain", std::string(Domain.substr(0, MaxLoggedKeyBytes))},
                 {"offset", std::to_string(Record.Offset_)}});
      return;
    }
    OnEvacuations_();
  }

  static void logEvacuation(std::string_view Event, const work::Evacuation &Evacuation) {
    core::count("masticdrift_operator_requests_total", {{"outcome", "evacuation"}});
    core::log(core::LogLevel::Info, Event,
              {{"domain", Evacuation.Domain_}, {"offset", std::to_string(Evacuation.Offset_)}});
  }

  /// Logs each record once, so that an operator sees that nothing follows from it.
  void noteUnserved(const platform::KeyedRecord &Record) {
    if (Unserved_.size() >= MaxRememberedRequests)
      Unserved_.clear();
    if (!Unserved_.emplace(Record.Key_, Record.Offset_).second)
      return;
    core::count("masticdrift_operator_requests_total", {{"outcome", "not_served"}});
    core::log(core::LogLevel::Error, "operator request is not served",
              {{"key", Record.Key_.substr(0, MaxLoggedKeyBytes)},
               {"offset", std::to_string(Record.Offset_)}});
  }

  /// After a part of the history was lost, what is missing was withdrawn.
  void onTopicLoaded(const std::set<std::string> &Keys) {
    std::set<std::string, std::less<>> Domains;
    for (const std::string &Key : Keys)
      if (const auto Request = platform::decodeOperatorKey(Key);
          Request.Kind_ == platform::OperatorRequestKind::Evacuation)
        Domains.emplace(Request.Domain_);
    const std::vector<work::Evacuation> Withdrawn = Evacuations_.retain(Domains);
    for (const work::Evacuation &Evacuation : Withdrawn)
      logEvacuation("evacuation was withdrawn", Evacuation);
    if (!Withdrawn.empty())
      OnEvacuations_();
  }

  /// Passes a new configuration on before it comes into force here, which takes longer.
  void accept(const platform::KeyedRecord &Record, std::string Compressed) {
    if (Newest_ && Record.Offset_ <= Newest_->Offset_)
      return;
    Newest_ = {Record.Offset_, Record.Value_.size(), std::move(Compressed)};
    NextOffset_ = std::max(NextOffset_, Record.Offset_ + 1);
    answerWaiters();
    OnRecord_(Record);
  }

  void onTopicRead() {
    NextOffset_ = std::max(NextOffset_, Tail_.nextOffset());
    ReadUpTo_ = std::max(ReadUpTo_, Tail_.readUpTo());
    answerWaiters();
  }

  // -- following a source --

  void setSource(std::string PeerAddress) {
    if (PeerAddress == Source_)
      return;
    Source_ = std::move(PeerAddress);
    ++Session_;
    RetryTimer_.cancel();
    core::log(core::LogLevel::Info, "source of the configuration",
              {{"source", Source_.empty() ? "log service" : Source_}});
    if (Source_.empty())
      readTopic();
    else
      askSource();
  }

  void askSource() {
    http::ClientRequest HttpRequest;
    HttpRequest.Method_ = "POST";
    HttpRequest.Url_ = "http://" + Source_ + protocol::ConfigPath;
    HttpRequest.Body_ =
        core::pack(protocol::ConfigRequest{NextOffset_, Following_ ? SourceWait.count() : 0});
    HttpRequest.Timeout_ = SourceWait + SourceTimeoutMargin;
    Context_.Client_.send(std::move(HttpRequest),
                          [Self = shared_from_this(), Session = Session_,
                           SentAt = core::Clock::now()](const http::ClientResult &Result) {
                            if (Self->Closed_ || Session != Self->Session_)
                              return;
                            if (!Self->onSourceAnswer(Result, SentAt))
                              Self->askLater();
                            else
                              Self->askSource();
                          });
  }

  void askLater() {
    RetryTimer_.expires_after(SourceRetryDelay);
    RetryTimer_.async_wait([Self = shared_from_this(), Session = Session_](std::error_code Error) {
      if (!Error && !Self->Closed_ && Session == Self->Session_)
        Self->askSource();
    });
  }

  /// \returns false when the answer shows no source that is up to date.
  bool onSourceAnswer(const http::ClientResult &Result, core::TimePoint SentAt) {
    if (Result.Transfer_ != http::Transfer::Complete || Result.Answer_.Status_ != 200)
      return false;
    auto Reply = core::unpack<protocol::ConfigReply>(Result.Answer_.Body_);
    if (!Reply || !Reply->Known_ || Reply->NextOffset_ < NextOffset_)
      return false;
    if (!Reply->Compressed_.empty() && !acceptFromSource(*Reply))
      return false;
    // Without any configuration the log service has to be asked.
    if (!Newest_)
      return false;
    NextOffset_ = std::max(NextOffset_, Reply->NextOffset_);
    ReadUpTo_ = std::max(ReadUpTo_, SentAt + core::Millis(Reply->ReadUpToMs_));
    if (Context_.Settings_.PlacesInForce_ && Evacuations_.replace(Reply->Evacuations_))
      OnEvacuations_();
    answerWaiters();
    if (isOutOfDate(core::Clock::now()))
      return false;
    follow();
    return true;
  }

  bool acceptFromSource(protocol::ConfigReply &Reply) {
    auto Value = Reply.Size_ <= MaxConfigBytes ? core::decompress(Reply.Compressed_, Reply.Size_)
                                               : std::nullopt;
    if (!Value) {
      core::log(core::LogLevel::Warning, "configuration from another daemon cannot be decoded",
                {{"source", Source_}, {"bytes", std::to_string(Reply.Compressed_.size())}});
      return false;
    }
    core::count("masticdrift_config_bytes_total", {{"source", "daemon"}},
                static_cast<double>(Reply.Compressed_.size()));
    accept({Reply.Offset_, ConfigKey, std::move(*Value)}, std::move(Reply.Compressed_));
    return true;
  }

  bool isOutOfDate(core::TimePoint Now) const {
    return Now - ReadUpTo_ > MaxConfigAge + LeaveDelay_;
  }

  static core::Millis leaveDelay(std::string_view Instance) {
    const std::size_t Hash = std::hash<std::string_view>{}(Instance);
    return core::Millis(static_cast<std::int64_t>(Hash % MaxLeaveDelay.count()));
  }

  void follow() {
    if (std::exchange(Following_, true))
      return;
    Tail_.suspend();
  }

  void catchUp(core::Millis Timeout, std::function<void(bool)> OnDone) {
    if (!Context_.Settings_.PlacesInForce_) {
      OnDone(true);
      return;
    }
    Tail_.catchUp(Timeout, [Self = shared_from_this(), OnDone = std::move(OnDone)](bool Complete) {
      OnDone(Complete && Self->Tail_.loaded() && !Self->Following_);
    });
  }

  /// Continues in the log service where the source has left off.
  void readTopic() {
    if (!std::exchange(Following_, false))
      return;
    Tail_.startAt(NextOffset_);
  }

  // -- being a source --

  void answerWaiters() {
    // A follower may send its next request while it is answered.
    for (const Waiter &Entry : std::exchange(Waiters_, {}))
      reply(Entry);
  }

  void reply(const Waiter &Entry) {
    protocol::ConfigReply Reply;
    Reply.Known_ = Newest_.has_value() && ReadUpTo_ != core::TimePoint{};
    if (Reply.Known_) {
      Reply.ReadUpToMs_ = core::toMillis(ReadUpTo_ - Entry.ReceivedAt_);
      Reply.NextOffset_ = NextOffset_;
      Reply.Offset_ = Newest_->Offset_;
      Reply.Size_ = Newest_->Size_;
      Reply.Evacuations_ = Evacuations_.list();
      if (Newest_->Offset_ >= Entry.Request_.FromOffset_)
        Reply.Compressed_ = Newest_->Compressed_;
    }
    Entry.OnReply_(Reply);
  }

  void answer(const protocol::ConfigRequest &Request, ReplyCallback OnReply) {
    Waiter Entry{Request, core::Clock::now(), std::move(OnReply)};
    const bool HasNews = Newest_ && Newest_->Offset_ >= Request.FromOffset_;
    if (HasNews || Request.WaitMs_ <= 0)
      reply(Entry);
    else
      Waiters_.push_back(std::move(Entry));
  }

  void expire(core::TimePoint Now) {
    const auto FirstDue =
        std::partition(Waiters_.begin(), Waiters_.end(), [&](const Waiter &Entry) {
          return Now - Entry.ReceivedAt_ < core::Millis(Entry.Request_.WaitMs_);
        });
    const std::vector<Waiter> Due(std::make_move_iterator(FirstDue),
                                  std::make_move_iterator(Waiters_.end()));
    Waiters_.erase(FirstDue, Waiters_.end());
    for (const Waiter &Entry : Due)
      reply(Entry);
    if (!Following_ || !isOutOfDate(Now))
      return;
    core::count("masticdrift_config_source_lost_total");
    core::log(core::LogLevel::Warning, "source of the configuration is out of date",
              {{"source", Source_}, {"age_ms", std::to_string(core::toMillis(Now - ReadUpTo_))}});
    readTopic();
  }

  FleetContext &Context_;
  const RecordCallback OnRecord_;
  const std::function<void()> OnEvacuations_;
  work::EvacuationTable Evacuations_;
  /// Keys and offsets of records that were logged as not served.
  std::set<std::pair<std::string, std::uint64_t>> Unserved_;
  const core::Millis LeaveDelay_;
  asio::steady_timer RetryTimer_;
  TopicTail Tail_;
  bool Closed_ = false;
  std::string Source_;        ///< as named by the leader; empty for the log service
  bool Following_ = false;    ///< the source is up to date, and the log service is not read
  std::uint64_t Session_ = 0; ///< changes with the source; answers of earlier ones are void
  std::optional<Configuration> Newest_;
  std::uint64_t NextOffset_ = 0; ///< the topic is known up to this offset
  core::TimePoint ReadUpTo_{};   ///< all records that were stored before are known
  std::vector<Waiter> Waiters_;  ///< followers that wait for the next read of the topic
};

ConfigFeed::ConfigFeed(FleetContext &Context, RecordCallback OnRecord,
                       std::function<void()> OnEvacuations)
    : Impl_(std::make_shared<Impl>(Context, std::move(OnRecord), std::move(OnEvacuations))) {}

ConfigFeed::~ConfigFeed() {
  Impl_->Closed_ = true;
  Impl_->RetryTimer_.cancel();
}

void ConfigFeed::start() { Impl_->Tail_.start(); }

void ConfigFeed::setSource(std::string PeerAddress) { Impl_->setSource(std::move(PeerAddress)); }

void ConfigFeed::answer(const protocol::ConfigRequest &Request, ReplyCallback OnReply) {
  Impl_->answer(Request, std::move(OnReply));
}

void ConfigFeed::expire(core::TimePoint Now) { Impl_->expire(Now); }

void ConfigFeed::catchUp(core::Millis Timeout, std::function<void(bool)> OnDone) {
  Impl_->catchUp(Timeout, std::move(OnDone));
}

const work::EvacuationTable &ConfigFeed::evacuations() const { return Impl_->Evacuations_; }

bool ConfigFeed::failing() const { return !Impl_->Following_ && Impl_->Tail_.failing(); }

} // namespace masticdrift::daemon
