#include "masticdrift/daemon/TopicTail.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"

#include <algorithm>
#include <utility>

#include <asio/steady_timer.hpp>

namespace masticdrift::daemon {

namespace {

/// Time for the answer itself, in addition to the long-poll time of a read. A store that is sixty
/// times slower than usual answers in 0.3 s.
constexpr core::Millis ResponseTimeout{1300};
/// When two dozen daemons catch up over a link of 60 Mbit/s at the same time, their reads must
/// neither time out nor delay the calls to executors.
constexpr int MaxReadKb = 96;
/// Pause between reads while catching up, for the same reason.
constexpr core::Millis CatchUpPause{120};
/// Pauses between the pages of a throttled load last at least this long, and PagePauseFactor times
/// as long as the last page took. 17 small machines that start together then leave half of a link
/// of 60 Mbit/s free.
constexpr core::Millis MinPagePause{200};
constexpr int PagePauseFactor = 3;
/// Largest page of the newest records, in kilobytes of JSON with values in base64.
constexpr int MaxPageKb = 1400;
/// A transfer may take this multiple of the time that it would take on an idle link.
constexpr double BusyLinkFactor = 2;
/// Extra time after the first response that was given up while it arrived. It doubles with each
/// further one: over a full link a read that begins anew sends the same bytes again, which keeps
/// the link full.
constexpr core::Millis FirstExtraTime{1250};
constexpr core::Millis MaxExtraTime{10000};
constexpr core::Millis MinRetryDelay{100};
constexpr core::Millis MaxRetryDelay{800};

} // namespace

struct TopicTail::Impl : std::enable_shared_from_this<TopicTail::Impl> {
  Impl(asio::io_context &Loop, platform::Store &Store, TailOptions Options, Hooks Callbacks)
      : Store_(Store), Options_(std::move(Options)), Callbacks_(std::move(Callbacks)),
        Timer_(Loop) {}

  /// \returns the time that an answer of \p Kilobytes may take on this machine's link.
  core::Millis transferTime(int Kilobytes) const {
    constexpr double BitsPerKilobyte = 8 * 1024;
    const double BitsPerMs = Options_.LinkMbps_ * 1000;
    return core::Millis(
        static_cast<std::int64_t>(BusyLinkFactor * Kilobytes * BitsPerKilobyte / BitsPerMs));
  }

  /// \returns the time limits of a call that is silent for \p MaxSilence at most. Only a response
  /// that arrives gets the extra time, so that the return of a silent store is noticed at once.
  platform::CallTimes timesFor(core::Millis MaxSilence) const {
    return {MaxSilence + ExtraTime_, MaxSilence};
  }

  void load(const std::string &AfterKey) {
    PageRequestedAt_ = core::Clock::now();
    Store_.readNewest(Options_.Topic_, AfterKey,
                      timesFor(ResponseTimeout + transferTime(MaxPageKb)),
                      [Self = shared_from_this(), AfterKey,
                       Session = Session_](platform::NewestRecordsPage Page) {
                        if (!Self->Closed_ && Session == Self->Session_)
                          Self->onPage(AfterKey, std::move(Page));
                      });
  }

  void onPage(const std::string &AfterKey, platform::NewestRecordsPage Page) {
    countBytes(Page.BytesReceived_, Page.Complete_);
    if (!Page.Complete_) {
      onFailure(Page.Detail_, Page.BytesReceived_, Page.Partial_);
      schedule(RetryDelay_, [this, AfterKey] { load(AfterKey); });
      return;
    }
    onAnswered();
    if (AfterKey.empty()) {
      // The pages are not a snapshot: records that change during the load are read again
      // afterwards.
      LoadEnd_ = Page.End_;
      LoadedKeys_.clear();
    }
    for (const platform::KeyedRecord &Record : Page.Records_) {
      LoadedKeys_.insert(Record.Key_);
      Callbacks_.OnRecord_(Record);
    }
    if (Page.HasMore_ && !Page.Records_.empty()) {
      loadNextPage(Page.Records_.back().Key_);
      return;
    }
    NextOffset_ = LoadEnd_;
    Loaded_ = true;
    Callbacks_.OnLoaded_(LoadedKeys_);
    LoadedKeys_.clear();
    read();
  }

  void loadNextPage(const std::string &AfterKey) {
    if (!Options_.ThrottleLoad_ || Expedited_) {
      load(AfterKey);
      return;
    }
    const core::Duration PageTime = core::Clock::now() - PageRequestedAt_;
    pause(std::max(MinPagePause,
                   std::chrono::duration_cast<core::Millis>(PagePauseFactor * PageTime)),
          [this, AfterKey] { load(AfterKey); });
  }

  void read() {
    if (std::exchange(ReloadDue_, false)) {
      load({});
      return;
    }
    // After a failure the answer alone matters: it shows that the store is back.
    const core::Millis LongPollTime = Failing_ ? core::Millis(0) : Options_.LongPollTime_;
    Store_.read(Options_.Topic_, NextOffset_, LongPollTime, MaxReadKb,
                timesFor(LongPollTime + ResponseTimeout + transferTime(MaxReadKb)),
                [Self = shared_from_this(), Session = Session_,
                 SentAt = core::Clock::now()](const platform::ReadResult &Result) {
                  if (!Self->Closed_ && Session == Self->Session_)
                    Self->onRead(Result, SentAt);
                });
  }

  void onRead(const platform::ReadResult &Result, core::TimePoint SentAt) {
    countBytes(Result.BytesReceived_, Result.Outcome_ != platform::ReadOutcome::Failed);
    switch (Result.Outcome_) {
    case platform::ReadOutcome::Failed:
      onFailure(Result.Detail_, Result.BytesReceived_, Result.Partial_);
      schedule(RetryDelay_, [this] { read(); });
      return;
    case platform::ReadOutcome::Expired:
      onAnswered();
      core::log(core::LogLevel::Info, "topic history expired, loading the newest records again",
                {{"topic", Options_.Topic_}, {"from", std::to_string(NextOffset_)}});
      load({});
      return;
    case platform::ReadOutcome::Complete:
      break;
    }
    onAnswered();
    const bool HasRecords = !Result.Records_.empty();
    deliver(Result, SentAt);
    const core::Millis Pause =
        !CaughtUp_ ? CatchUpPause : (HasRecords ? Options_.ReadPause_() : core::Millis(0));
    if (Pause.count() == 0) {
      read();
      return;
    }
    pause(Pause, [this] { read(); });
  }

  void pause(core::Millis Delay, std::function<void()> Continue) {
    AfterPause_ = std::move(Continue);
    schedule(Delay, [this] { endPause(); });
  }

  void endPause() {
    if (const auto Continue = std::exchange(AfterPause_, nullptr)) {
      Timer_.cancel();
      Continue();
    }
  }

  /// \param SentAt when the read was sent; the answer contains what was stored before.
  void deliver(const platform::ReadResult &Result, core::TimePoint SentAt) {
    for (const platform::KeyedRecord &Record : Result.Records_) {
      if (Record.Offset_ < NextOffset_)
        continue; // delivered by a read that was answered earlier
      Callbacks_.OnRecord_(Record);
      NextOffset_ = Record.Offset_ + 1;
    }
    CaughtUp_ = NextOffset_ >= Result.End_;
    if (CaughtUp_)
      ReadUpTo_ = std::max(ReadUpTo_, SentAt);
    if (Callbacks_.OnRead_)
      Callbacks_.OnRead_();
  }

  void catchUp(core::Millis Timeout, std::function<void(bool)> OnDone) {
    // Large enough to catch up in one call, because a caller waits for it.
    constexpr int CatchUpReadKb = 1024;
    const core::Millis CallTime = Timeout + transferTime(CatchUpReadKb);
    Store_.read(Options_.Topic_, NextOffset_, core::Millis(0), CatchUpReadKb, {CallTime, CallTime},
                [Self = shared_from_this(), Session = Session_, SentAt = core::Clock::now(),
                 OnDone = std::move(OnDone)](const platform::ReadResult &Result) {
                  if (Self->Closed_)
                    return;
                  const bool Complete = Session == Self->Session_ &&
                                        Result.Outcome_ == platform::ReadOutcome::Complete;
                  if (Complete) {
                    Self->onAnswered();
                    Self->deliver(Result, SentAt);
                  }
                  OnDone(Complete && Self->CaughtUp_);
                });
  }

  void suspend() {
    ++Session_;
    Timer_.cancel();
    AfterPause_ = nullptr;
    LoadedKeys_.clear();
    Started_ = Loaded_ = CaughtUp_ = Expedited_ = ReloadDue_ = Failing_ = false;
    RetryDelay_ = MinRetryDelay;
    ExtraTime_ = core::Millis(0);
  }

  void onAnswered() {
    if (Failing_)
      core::log(core::LogLevel::Info, "topic can be read again", {{"topic", Options_.Topic_}});
    Failing_ = false;
    RetryDelay_ = MinRetryDelay;
    ExtraTime_ = core::Millis(0);
    LastAnsweredAt_ = core::Clock::now();
  }

  void countBytes(std::size_t Bytes, bool Complete) const {
    core::count("masticdrift_topic_bytes_total",
                {{"topic", Options_.Topic_}, {"result", Complete ? "complete" : "given_up"}},
                static_cast<double>(Bytes));
  }

  /// \param BytesReceived part of the response that had arrived.
  /// \param Partial whether the response began to arrive and did not end.
  void onFailure(const std::string &Detail, std::size_t BytesReceived, bool Partial) {
    core::count("masticdrift_store_failures_total", {{"topic", Options_.Topic_}});
    if (!Failing_)
      core::log(core::LogLevel::Warning, "topic cannot be read",
                {{"topic", Options_.Topic_},
                 {"detail", Detail},
                 {"bytes", std::to_string(BytesReceived)}});
    Failing_ = true;
    RetryDelay_ = std::min(2 * RetryDelay_, MaxRetryDelay);
    if (Partial)
      ExtraTime_ = std::clamp(2 * ExtraTime_, FirstExtraTime, MaxExtraTime);
  }

  void schedule(core::Millis Delay, std::function<void()> Action) {
    Timer_.expires_after(Delay);
    Timer_.async_wait(
        [Self = shared_from_this(), Action = std::move(Action)](std::error_code Error) {
          if (!Error && !Self->Closed_)
            Action();
        });
  }

  platform::Store &Store_;
  const TailOptions Options_;
  const Hooks Callbacks_;
  asio::steady_timer Timer_;
  core::Millis RetryDelay_ = MinRetryDelay;
  core::Millis ExtraTime_{0}; ///< for a response that arrives slowly
  std::uint64_t Session_ =
      0; ///< changes when reading is suspended; answers of earlier ones are void
  bool Closed_ = false;
  bool Started_ = false;
  bool Failing_ = false;
  bool Loaded_ = false;
  bool CaughtUp_ = false;
  bool Expedited_ = false;
  bool ReloadDue_ = false;
  std::function<void()> AfterPause_; ///< set during a pause between two calls
  std::uint64_t LoadEnd_ = 0;
  std::uint64_t NextOffset_ = 0;
  std::set<std::string> LoadedKeys_;
  core::TimePoint LastAnsweredAt_{};
  core::TimePoint ReadUpTo_{};
  core::TimePoint PageRequestedAt_{};
};

TopicTail::TopicTail(asio::io_context &Loop, platform::Store &Store, TailOptions Options,
                     Hooks Callbacks)
    : Impl_(std::make_shared<Impl>(Loop, Store, std::move(Options), std::move(Callbacks))) {}

TopicTail::~TopicTail() {
  Impl_->Closed_ = true;
  Impl_->Timer_.cancel();
}

void TopicTail::start() {
  if (!std::exchange(Impl_->Started_, true))
    Impl_->load({});
}

void TopicTail::startAt(std::uint64_t Offset) {
  if (std::exchange(Impl_->Started_, true))
    return;
  Impl_->NextOffset_ = Offset;
  Impl_->Loaded_ = true;
  Impl_->read();
}

void TopicTail::suspend() { Impl_->suspend(); }

void TopicTail::expedite() {
  Impl_->Expedited_ = true;
  Impl_->endPause();
}

void TopicTail::reload() {
  Impl_->ReloadDue_ = true;
  Impl_->endPause();
}

void TopicTail::catchUp(core::Millis Timeout, std::function<void(bool)> OnDone) {
  Impl_->catchUp(Timeout, std::move(OnDone));
}

bool TopicTail::started() const { return Impl_->Started_; }
bool TopicTail::loaded() const { return Impl_->Loaded_; }
bool TopicTail::caughtUp() const { return Impl_->Loaded_ && Impl_->CaughtUp_; }
bool TopicTail::failing() const { return Impl_->Failing_; }
core::TimePoint TopicTail::lastAnsweredAt() const { return Impl_->LastAnsweredAt_; }
core::TimePoint TopicTail::readUpTo() const { return Impl_->ReadUpTo_; }
std::uint64_t TopicTail::nextOffset() const { return Impl_->NextOffset_; }

} // namespace masticdrift::daemon
