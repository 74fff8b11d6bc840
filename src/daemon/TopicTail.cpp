#include "masticdrift/daemon/TopicTail.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"

#include <utility>

#include <asio/steady_timer.hpp>

namespace masticdrift::daemon {

namespace {

/// Added to the wait of a read for the answer itself; a store sixty times slower than usual
/// answers in 0.3 s.
constexpr core::Millis AnswerTime{1300};
/// Of one read. Two dozen daemons that catch up over a link of 60 Mbit/s at the same time must
/// neither miss the time limit of a read nor crowd out the calls to executors.
constexpr int ReadKb = 96;
/// Between reads while catching up, for the same reason.
constexpr core::Millis CatchUpRest{120};
/// Between pages of a gentle load: this long at least, and this many times as long as a page took.
/// 17 small machines that start together then leave half of a link of 60 Mbit/s free.
constexpr core::Millis LeastPageRest{200};
constexpr int PageRestFactor = 3;
constexpr core::Millis FirstRetry{100};
constexpr core::Millis LastRetry{800};

} // namespace

struct TopicTail::Impl : std::enable_shared_from_this<TopicTail::Impl> {
  Impl(asio::io_context &Loop, platform::Store &Store, TailOptions Options, Sink To)
      : Store_(Store), Options_(std::move(Options)), To_(std::move(To)), Timer_(Loop) {}

  void load(const std::string &After) {
    PageAskedAt_ = core::Clock::now();
    Store_.readNewest(Options_.Topic_, After, AnswerTime,
                      [Self = shared_from_this(), After](platform::NewestRecordsPage Page) {
                        if (!Self->Closed_)
                          Self->onPage(After, std::move(Page));
                      });
  }

  void onPage(const std::string &After, platform::NewestRecordsPage Page) {
    if (!Page.Complete_) {
      failed(Page.Detail_);
      later(Retry_, [this] { load({}); });
      return;
    }
    answered();
    if (After.empty()) {
      // Pages are no snapshot: what changes meanwhile comes again with the reads.
      LoadEnd_ = Page.End_;
      Keys_.clear();
    }
    for (const platform::KeyedRecord &One : Page.Records_) {
      Keys_.insert(One.Key_);
      To_.Record_(One);
    }
    if (Page.HasMore_ && !Page.Records_.empty()) {
      loadAfter(Page.Records_.back().Key_);
      return;
    }
    Next_ = LoadEnd_;
    Loaded_ = true;
    To_.Loaded_(Keys_);
    Keys_.clear();
    read();
  }

  void loadAfter(const std::string &Key) {
    if (!Options_.Gentle_ || Hurried_) {
      load(Key);
      return;
    }
    const core::Duration Took = core::Clock::now() - PageAskedAt_;
    rest(std::max(LeastPageRest, std::chrono::duration_cast<core::Millis>(PageRestFactor * Took)),
         [this, Key] { load(Key); });
  }

  void read() {
    Store_.read(Options_.Topic_, Next_, Options_.Wait_, ReadKb, Options_.Wait_ + AnswerTime,
                [Self = shared_from_this()](platform::ReadResult Result) {
                  if (!Self->Closed_)
                    Self->onRead(std::move(Result));
                });
  }

  void onRead(platform::ReadResult Result) {
    switch (Result.Outcome_) {
    case platform::ReadOutcome::Failed:
      failed(Result.Detail_);
      later(Retry_, [this] { read(); });
      return;
    case platform::ReadOutcome::Expired:
      answered();
      core::log(core::LogLevel::Info, "topic history expired",
                {{"topic", Options_.Topic_}, {"from", std::to_string(Next_)}});
      load({});
      return;
    case platform::ReadOutcome::Complete:
      break;
    }
    answered();
    const bool News = !Result.Records_.empty();
    take(Result);
    const core::Millis Rest =
        !CaughtUp_ ? CatchUpRest : (News ? Options_.Rest_() : core::Millis(0));
    if (Rest.count() == 0) {
      read();
      return;
    }
    rest(Rest, [this] { read(); });
  }

  void rest(core::Millis Time, std::function<void()> Then) {
    AfterRest_ = std::move(Then);
    later(Time, [this] { endRest(); });
  }

  void endRest() {
    if (const auto Then = std::exchange(AfterRest_, nullptr)) {
      Timer_.cancel();
      Then();
    }
  }

  void take(const platform::ReadResult &Result) {
    for (const platform::KeyedRecord &One : Result.Records_) {
      To_.Record_(One);
      Next_ = std::max(Next_, One.Offset_ + 1);
    }
    CaughtUp_ = Next_ >= Result.End_;
  }

  void catchUp(core::Millis Timeout, std::function<void(bool)> Done) {
    // In one call: the caller waits for it.
    constexpr int WholeKb = 1024;
    Store_.read(Options_.Topic_, Next_, core::Millis(0), WholeKb, Timeout,
                [Self = shared_from_this(), Done = std::move(Done)](platform::ReadResult Result) {
                  if (Self->Closed_)
                    return;
                  const bool Complete = Result.Outcome_ == platform::ReadOutcome::Complete;
                  if (Complete) {
                    Self->answered();
                    Self->take(Result);
                  }
                  Done(Complete && Self->CaughtUp_);
                });
  }

  void answered() {
    if (Failing_)
      core::log(core::LogLevel::Info, "topic answers again", {{"topic", Options_.Topic_}});
    Failing_ = false;
    Retry_ = FirstRetry;
    LastAnswer_ = core::Clock::now();
  }

  void failed(const std::string &Detail) {
    core::count("masticdrift_store_failures_total", {{"topic", Options_.Topic_}});
    if (!Failing_)
      core::log(core::LogLevel::Warning, "topic can't be read",
                {{"topic", Options_.Topic_}, {"detail", Detail}});
    Failing_ = true;
    Retry_ = std::min(2 * Retry_, LastRetry);
  }

  void later(core::Millis Delay, std::function<void()> Work) {
    Timer_.expires_after(Delay);
    Timer_.async_wait([Self = shared_from_this(), Work = std::move(Work)](std::error_code Error) {
      if (!Error && !Self->Closed_)
        Work();
    });
  }

  platform::Store &Store_;
  const TailOptions Options_;
  const Sink To_;
  asio::steady_timer Timer_;
  core::Millis Retry_ = FirstRetry;
  bool Closed_ = false;
  bool Started_ = false;
  bool Failing_ = false;
  bool Loaded_ = false;
  bool CaughtUp_ = false;
  bool Hurried_ = false;
  std::function<void()> AfterRest_; ///< set between two calls
  std::uint64_t LoadEnd_ = 0;
  std::uint64_t Next_ = 0;
  std::set<std::string> Keys_;
  core::TimePoint LastAnswer_{};
  core::TimePoint PageAskedAt_{};
};

TopicTail::TopicTail(asio::io_context &Loop, platform::Store &Store, TailOptions Options, Sink To)
    : Impl_(std::make_shared<Impl>(Loop, Store, std::move(Options), std::move(To))) {}

TopicTail::~TopicTail() {
  Impl_->Closed_ = true;
  Impl_->Timer_.cancel();
}

void TopicTail::start() {
  if (!std::exchange(Impl_->Started_, true))
    Impl_->load({});
}

void TopicTail::hurry() {
  Impl_->Hurried_ = true;
  Impl_->endRest();
}

void TopicTail::catchUp(core::Millis Timeout, std::function<void(bool)> Done) {
  Impl_->catchUp(Timeout, std::move(Done));
}

bool TopicTail::started() const { return Impl_->Started_; }
bool TopicTail::loaded() const { return Impl_->Loaded_; }
bool TopicTail::caughtUp() const { return Impl_->Loaded_ && Impl_->CaughtUp_; }
bool TopicTail::failing() const { return Impl_->Failing_; }
core::TimePoint TopicTail::lastAnswer() const { return Impl_->LastAnswer_; }
std::uint64_t TopicTail::next() const { return Impl_->Next_; }

} // namespace masticdrift::daemon
