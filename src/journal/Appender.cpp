#include "masticdrift/journal/Appender.h"

#include "masticdrift/core/Error.h"
#include "masticdrift/core/Metrics.h"

#include <algorithm>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace masticdrift::journal {

namespace {

/// Counted per entry on top of its body: type, length and array headers.
constexpr std::size_t EntryOverhead = 8;

/// Largest multiple of RetryDelay_ between two attempts.
constexpr int MaxRetryFactor = 4;

std::size_t sizeOf(const std::vector<Entry> &Entries) {
  std::size_t Total = 0;
  for (const Entry &One : Entries)
    Total += One.Body_.size() + EntryOverhead;
  return Total;
}

core::Duration seconds(double Value) {
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(Value));
}

} // namespace

AppendFunction appendTo(legacy::LogClient &Client, std::string Stream) {
  return [&Client, Stream = std::move(Stream)](
             std::string Bytes, std::function<void(std::error_code, std::uint64_t)> Done) {
    Client.append(Stream, std::move(Bytes), std::move(Done));
  };
}

struct Appender::Impl : std::enable_shared_from_this<Appender::Impl> {
  /// A batch from its first entry until its callers have their answer.
  struct Pending {
    std::vector<Entry> Entries_;
    std::vector<Callback> Callbacks_;
    std::size_t Bytes_ = 0;
    core::TimePoint OpenedAt_{};
    core::TimePoint NextAttempt_{};
    std::uint64_t Sequence_ = 0; ///< 0 until the first attempt
    std::string Encoded_;
    int Attempts_ = 0;
    bool MayBeTaken_ = false; ///< an attempt ended without a certain answer
    bool Settled_ = false;    ///< callers have their answer
  };

  /// Answers that are given after the lock has been released.
  struct Answer {
    std::vector<Callback> Callbacks_;
    std::error_code Error_;
    std::uint64_t Offset_ = 0;
  };
  using Answers = std::vector<Answer>;

  Impl(AppenderOptions Options, AppendFunction Send, core::Timers &Timers, ClockFunction Now)
      : Options_(std::move(Options)), Send_(std::move(Send)), Timers_(Timers), Now_(std::move(Now)),
        Tokens_(Options_.Burst_), RefilledAt_(Now_()) {}

  void append(std::vector<Entry> Entries, Callback Done) {
    const std::size_t Bytes = sizeOf(Entries);
    std::unique_lock Lock(Mutex_);
    if (const std::error_code Refusal = refusalOf(Bytes)) {
      Lock.unlock();
      Timers_.post([Done = std::move(Done), Refusal] { Done(Refusal, 0); });
      return;
    }
    const bool Open = !Queue_.empty() && Queue_.back().Sequence_ == 0 &&
                      Queue_.back().Bytes_ + Bytes <= Options_.CloseAtBytes_;
    if (!Open) {
      Queue_.emplace_back();
      Queue_.back().OpenedAt_ = Now_();
    }
    Pending &Into = Queue_.back();
    Into.Entries_.insert(Into.Entries_.end(), std::make_move_iterator(Entries.begin()),
                         std::make_move_iterator(Entries.end()));
    Into.Callbacks_.push_back(std::move(Done));
    Into.Bytes_ += Bytes;
    Buffered_ += Bytes;
    if (!Open || isFull(Into)) {
      Lock.unlock();
      Timers_.post(pumpLater());
    }
  }

  std::error_code refusalOf(std::size_t Bytes) const {
    if (Stopping_)
      return core::ErrorKind::Stopping;
    if (Bytes > Options_.MaxAppendBytes_)
      return core::ErrorKind::BodyTooLarge;
    if (Buffered_ + Bytes > Options_.MaxBufferedBytes_)
      return core::ErrorKind::StoreUnavailable;
    return {};
  }

  /// A batch that is followed by another one takes no more entries.
  bool isFull(const Pending &One) const {
    return One.Bytes_ >= Options_.CloseAtBytes_ || &One != &Queue_.back();
  }

  std::function<void()> pumpLater() {
    return [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->pump();
    };
  }

  /// Sends the next batch if it is due. Runs on the timer thread.
  void pump() {
    Answers Due;
    std::string Bytes;
    std::uint64_t Sequence = 0;
    {
      const std::lock_guard Lock(Mutex_);
      dropDone(Due);
      if (!Queue_.empty() && !InFlight_ && isDue(Queue_.front())) {
        Bytes = startAttempt(Queue_.front());
        Sequence = Queue_.front().Sequence_;
      }
    }
    give(Due);
    if (Sequence == 0)
      return;
    Send_(std::move(Bytes),
          [Weak = weak_from_this(), Sequence](std::error_code Error, std::uint64_t Offset) {
            const auto Self = Weak.lock();
            if (!Self)
              return;
            Self->Timers_.post([Weak, Sequence, Error, Offset] {
              if (const auto Strong = Weak.lock())
                Strong->attemptEnded(Sequence, Error, Offset);
            });
          });
  }

  /// Removes settled batches and those past their deadline from the front. A batch stays in front
  /// while its attempt is outstanding, so that at most one append is.
  void dropDone(Answers &Due) {
    const core::TimePoint Now = Now_();
    while (!Queue_.empty() && !InFlight_) {
      Pending &Front = Queue_.front();
      if (!Front.Settled_ && Now - Front.OpenedAt_ >= Options_.BatchDeadline_)
        settle(Front,
               Front.MayBeTaken_ ? core::ErrorKind::AppendUnknown
                                 : core::ErrorKind::StoreUnavailable,
               0, Due);
      if (!Front.Settled_)
        return;
      Buffered_ -= Front.Bytes_;
      Queue_.pop_front();
    }
  }

  /// \returns true when the batch can be sent now; otherwise sets a timer for when it may be.
  bool isDue(Pending &Front) {
    const core::TimePoint Now = Now_();
    core::TimePoint At = Front.NextAttempt_;
    if (Front.Sequence_ == 0 && !isFull(Front) && !Stopping_)
      At = std::max(At, Front.OpenedAt_ + Options_.CloseAfter_);
    refill(Now);
    if (Tokens_ < 1)
      At = std::max(At, Now + seconds((1 - Tokens_) / Options_.AppendsPerSecond_));
    if (At <= Now)
      return true;
    At = std::min(At, Front.OpenedAt_ + Options_.BatchDeadline_);
    // Rounded up, so that the timer does not fire just before the instant.
    Timers_.after(std::max(At - Now, core::Duration::zero()) + std::chrono::microseconds(200),
                  pumpLater());
    return false;
  }

  void refill(core::TimePoint Now) {
    const double Elapsed = std::chrono::duration<double>(Now - RefilledAt_).count();
    Tokens_ = std::min(Options_.Burst_, Tokens_ + Elapsed * Options_.AppendsPerSecond_);
    RefilledAt_ = Now;
  }

  std::string startAttempt(Pending &Front) {
    Tokens_ -= 1;
    InFlight_ = true;
    ++Front.Attempts_;
    if (Front.Sequence_ == 0) {
      Front.Sequence_ = ++LastSequence_;
      Records_ = Front.Entries_.size();
      Front.Encoded_ = encodeBatch(
          {Options_.Writer_, Options_.Incarnation_, Front.Sequence_, std::move(Front.Entries_)});
      Front.Entries_.clear();
    }
    return Front.Encoded_;
  }

  void attemptEnded(std::uint64_t Sequence, std::error_code Error, std::uint64_t Offset) {
    Answers Due;
    {
      const std::lock_guard Lock(Mutex_);
      if (!InFlight_ || Queue_.empty() || Queue_.front().Sequence_ != Sequence)
        return;
      InFlight_ = false;
      Pending &Front = Queue_.front();
      if (!Error) {
        settle(Front, {}, Offset, Due);
      } else {
        const core::ErrorKind Kind = core::kindOf(Error);
        Front.MayBeTaken_ |= Kind != core::ErrorKind::StoreUnavailable;
        core::count(
            "masticdrift_appends_total",
            {{"stream", Options_.Stream_}, {"result", std::string(core::describe(Kind).Name_)}});
        const int Factor = std::min(1 << std::min(Front.Attempts_ - 1, 8), MaxRetryFactor);
        Front.NextAttempt_ = Now_() + Options_.RetryDelay_ * Factor;
      }
    }
    give(Due);
    pump();
  }

  void observed(const BatchInfo &Info, std::uint64_t Offset) {
    if (Info.Incarnation_ != Options_.Incarnation_ || Info.Writer_ != Options_.Writer_)
      return;
    {
      const std::lock_guard Lock(Mutex_);
      if (Queue_.empty() || Queue_.front().Sequence_ != Info.Sequence_ || Queue_.front().Settled_)
        return;
    }
    Timers_.post([Weak = weak_from_this(), Sequence = Info.Sequence_, Offset] {
      if (const auto Self = Weak.lock())
        Self->settleObserved(Sequence, Offset);
    });
  }

  void settleObserved(std::uint64_t Sequence, std::uint64_t Offset) {
    Answers Due;
    {
      const std::lock_guard Lock(Mutex_);
      if (!Queue_.empty() && Queue_.front().Sequence_ == Sequence && !Queue_.front().Settled_)
        settle(Queue_.front(), {}, Offset, Due);
    }
    give(Due);
    pump();
  }

  void settle(Pending &One, std::error_code Error, std::uint64_t Offset, Answers &Due) {
    One.Settled_ = true;
    if (!Error) {
      core::count("masticdrift_appends_total", {{"stream", Options_.Stream_}, {"result", "ok"}});
      core::count("masticdrift_records_total", {{"stream", Options_.Stream_}},
                  static_cast<double>(Records_));
    }
    Due.push_back({std::move(One.Callbacks_), Error, Offset});
    One.Callbacks_.clear();
  }

  static void give(const Answers &Due) {
    for (const Answer &One : Due)
      for (const Callback &Done : One.Callbacks_)
        Done(One.Error_, One.Offset_);
  }

  const AppenderOptions Options_;
  const AppendFunction Send_;
  core::Timers &Timers_;
  const ClockFunction Now_;
  mutable std::mutex Mutex_;
  std::deque<Pending> Queue_; ///< the front one is being sent, the back one takes entries
  std::size_t Buffered_ = 0;
  std::size_t Records_ = 0; ///< entries of the front batch
  std::uint64_t LastSequence_ = 0;
  double Tokens_;
  core::TimePoint RefilledAt_;
  bool InFlight_ = false;
  bool Stopping_ = false;
};

Appender::Appender(AppenderOptions Options, AppendFunction Send, core::Timers &Timers,
                   ClockFunction Now)
    : Impl_(std::make_shared<Impl>(std::move(Options), std::move(Send), Timers, std::move(Now))) {}

Appender::~Appender() = default;

void Appender::append(std::vector<Entry> Entries, Callback Done) {
  Impl_->append(std::move(Entries), std::move(Done));
}

void Appender::observed(const BatchInfo &Info, std::uint64_t Offset) {
  Impl_->observed(Info, Offset);
}

void Appender::stop() {
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->Stopping_ = true;
}

bool Appender::idle() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->Queue_.empty();
}

std::size_t Appender::bufferedBytes() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->Buffered_;
}

} // namespace masticdrift::journal
