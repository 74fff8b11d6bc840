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

/// Encoded bytes of an entry besides its body: type, length and array headers.
constexpr std::size_t EntryOverheadBytes = 8;

/// Largest multiple of RetryDelay_ between two attempts.
constexpr int MaxRetryFactor = 4;

std::size_t encodedSize(const std::vector<Entry> &Entries) {
  std::size_t Total = 0;
  for (const Entry &Element : Entries)
    Total += Element.Body_.size() + EntryOverheadBytes;
  return Total;
}

core::Duration toDuration(double Value) {
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
  /// A batch that takes entries or is being sent; it ends when its callbacks have been called.
  struct PendingBatch {
    std::vector<Entry> Entries_;
    std::vector<Callback> Callbacks_;
    std::size_t Bytes_ = 0;
    core::TimePoint OpenedAt_{};
    core::TimePoint NextAttempt_{};
    std::uint64_t Sequence_ = 0; ///< 0 until the first attempt
    std::string Encoded_;
    int Attempts_ = 0;
    bool MayBeWritten_ = false; ///< an attempt had an unknown outcome
    bool Settled_ = false;      ///< the result is decided
  };

  /// Result of a batch, whose callbacks run after the lock has been released.
  struct Completion {
    std::vector<Callback> Callbacks_;
    std::error_code Error_;
    std::uint64_t Offset_ = 0;
  };
  using Completions = std::vector<Completion>;

  Impl(AppenderOptions Options, AppendFunction Send, core::Timers &Timers, ClockFunction Now)
      : Options_(std::move(Options)), Send_(std::move(Send)), Timers_(Timers), Now_(std::move(Now)),
        Tokens_(Options_.Burst_), RefilledAt_(Now_()) {}

  void append(std::vector<Entry> Entries, Callback Done) {
    const std::size_t Bytes = encodedSize(Entries);
    std::unique_lock Lock(Mutex_);
    if (const std::error_code Refusal = admissionError(Bytes)) {
      Lock.unlock();
      Timers_.post([Done = std::move(Done), Refusal] { Done(Refusal, 0); });
      return;
    }
    const bool FitsOpenBatch = !Queue_.empty() && Queue_.back().Sequence_ == 0 &&
                               Queue_.back().Bytes_ + Bytes <= Options_.MaxBatchBytes_;
    if (!FitsOpenBatch) {
      Queue_.emplace_back();
      Queue_.back().OpenedAt_ = Now_();
    }
    PendingBatch &OpenBatch = Queue_.back();
    OpenBatch.Entries_.insert(OpenBatch.Entries_.end(), std::make_move_iterator(Entries.begin()),
                              std::make_move_iterator(Entries.end()));
    OpenBatch.Callbacks_.push_back(std::move(Done));
    OpenBatch.Bytes_ += Bytes;
    BufferedBytes_ += Bytes;
    if (!FitsOpenBatch || isFull(OpenBatch)) {
      Lock.unlock();
      Timers_.post(makeSendTask());
    }
  }

  std::error_code admissionError(std::size_t Bytes) const {
    if (Stopping_)
      return core::ErrorKind::Stopping;
    if (Bytes > Options_.MaxAppendBytes_)
      return core::ErrorKind::BodyTooLarge;
    if (BufferedBytes_ + Bytes > Options_.MaxBufferedBytes_)
      return core::ErrorKind::StoreUnavailable;
    return {};
  }

  /// A batch that is followed by another one accepts no more entries.
  bool isFull(const PendingBatch &Item) const {
    return Item.Bytes_ >= Options_.MaxBatchBytes_ || &Item != &Queue_.back();
  }

  std::function<void()> makeSendTask() {
    return [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->sendIfDue();
    };
  }

  /// Sends the next batch if it is due. Runs on the timer thread.
  void sendIfDue() {
    Completions Finished;
    std::string Bytes;
    std::uint64_t Sequence = 0;
    {
      const std::lock_guard Lock(Mutex_);
      removeFinished(Finished);
      if (!Queue_.empty() && !InFlight_ && isDue(Queue_.front())) {
        Bytes = startAttempt(Queue_.front());
        Sequence = Queue_.front().Sequence_;
      }
    }
    invokeCallbacks(Finished);
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

  /// Removes settled and expired batches from the front. A batch stays at the front while its
  /// append is in flight, so that at most one is in flight.
  void removeFinished(Completions &Finished) {
    const core::TimePoint Now = Now_();
    while (!Queue_.empty() && !InFlight_) {
      PendingBatch &Front = Queue_.front();
      if (!Front.Settled_ && Now - Front.OpenedAt_ >= Options_.BatchDeadline_)
        settle(Front,
               Front.MayBeWritten_ ? core::ErrorKind::AppendUnknown
                                   : core::ErrorKind::StoreUnavailable,
               0, Finished);
      if (!Front.Settled_)
        return;
      BufferedBytes_ -= Front.Bytes_;
      Queue_.pop_front();
    }
  }

  /// Sets a timer for the send time when the batch cannot be sent yet.
  ///
  /// \returns true when the batch can be sent now.
  bool isDue(PendingBatch &Front) {
    const core::TimePoint Now = Now_();
    core::TimePoint SendTime = Front.NextAttempt_;
    if (Front.Sequence_ == 0 && !isFull(Front) && !Stopping_)
      SendTime = std::max(SendTime, Front.OpenedAt_ + Options_.MaxBatchAge_);
    refill(Now);
    if (Tokens_ < 1)
      SendTime = std::max(SendTime, Now + toDuration((1 - Tokens_) / Options_.AppendsPerSecond_));
    if (SendTime <= Now)
      return true;
    SendTime = std::min(SendTime, Front.OpenedAt_ + Options_.BatchDeadline_);
    // The added time keeps the timer from firing just before the send time.
    Timers_.after(std::max(SendTime - Now, core::Duration::zero()) + std::chrono::microseconds(200),
                  makeSendTask());
    return false;
  }

  void refill(core::TimePoint Now) {
    const double Elapsed = std::chrono::duration<double>(Now - RefilledAt_).count();
    Tokens_ = std::min(Options_.Burst_, Tokens_ + Elapsed * Options_.AppendsPerSecond_);
    RefilledAt_ = Now;
  }

  std::string startAttempt(PendingBatch &Front) {
    Tokens_ -= 1;
    InFlight_ = true;
    ++Front.Attempts_;
    if (Front.Sequence_ == 0) {
      Front.Sequence_ = ++LastSequence_;
      FrontEntryCount_ = Front.Entries_.size();
      Front.Encoded_ = encodeBatch(
          {Options_.Writer_, Options_.Incarnation_, Front.Sequence_, std::move(Front.Entries_)});
      Front.Entries_.clear();
    }
    return Front.Encoded_;
  }

  void attemptEnded(std::uint64_t Sequence, std::error_code Error, std::uint64_t Offset) {
    Completions Finished;
    {
      const std::lock_guard Lock(Mutex_);
      if (!InFlight_ || Queue_.empty() || Queue_.front().Sequence_ != Sequence)
        return;
      InFlight_ = false;
      PendingBatch &Front = Queue_.front();
      if (!Error) {
        settle(Front, {}, Offset, Finished);
      } else {
        const core::ErrorKind Kind = core::kindOf(Error);
        Front.MayBeWritten_ |= Kind != core::ErrorKind::StoreUnavailable;
        core::count(
            "masticdrift_appends_total",
            {{"stream", Options_.Stream_}, {"result", std::string(core::describe(Kind).Name_)}});
        const int Factor = std::min(1 << std::min(Front.Attempts_ - 1, 8), MaxRetryFactor);
        Front.NextAttempt_ = Now_() + Options_.RetryDelay_ * Factor;
      }
    }
    invokeCallbacks(Finished);
    sendIfDue();
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
    Completions Finished;
    {
      const std::lock_guard Lock(Mutex_);
      if (!Queue_.empty() && Queue_.front().Sequence_ == Sequence && !Queue_.front().Settled_)
        settle(Queue_.front(), {}, Offset, Finished);
    }
    invokeCallbacks(Finished);
    sendIfDue();
  }

  void settle(PendingBatch &Item, std::error_code Error, std::uint64_t Offset,
              Completions &Finished) {
    Item.Settled_ = true;
    if (!Error) {
      core::count("masticdrift_appends_total", {{"stream", Options_.Stream_}, {"result", "ok"}});
      core::count("masticdrift_records_total", {{"stream", Options_.Stream_}},
                  static_cast<double>(FrontEntryCount_));
    }
    Finished.push_back({std::move(Item.Callbacks_), Error, Offset});
    Item.Callbacks_.clear();
  }

  static void invokeCallbacks(const Completions &Finished) {
    for (const Completion &Element : Finished)
      for (const Callback &Done : Element.Callbacks_)
        Done(Element.Error_, Element.Offset_);
  }

  const AppenderOptions Options_;
  const AppendFunction Send_;
  core::Timers &Timers_;
  const ClockFunction Now_;
  mutable std::mutex Mutex_;
  std::deque<PendingBatch> Queue_; ///< the front is sent, the back accepts entries
  std::size_t BufferedBytes_ = 0;
  std::size_t FrontEntryCount_ = 0; ///< number of entries in the front batch
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
  return Impl_->BufferedBytes_;
}

} // namespace masticdrift::journal
