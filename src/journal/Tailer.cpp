#include "masticdrift/journal/Tailer.h"

#include "masticdrift/core/Log.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

namespace masticdrift::journal {

namespace {

/// Limit of the writer incarnations whose last sequence is kept. A duplicate of an abandoned append
/// arrives within minutes, while a few hundred daemons restart on an ordinary day.
constexpr std::size_t MaxWriters = 4096;

/// Last sequence number of each writer incarnation.
class SequenceTable {
public:
  SequenceTable() = default;
  explicit SequenceTable(const std::vector<WriterSequence> &Sequences) {
    for (const WriterSequence &Element : Sequences)
      Last_[{Element.Writer_, Element.Incarnation_}] = Element;
  }

  /// \returns false for a duplicate, that is, a sequence number not above the last one.
  bool advance(const Batch &Source, std::uint64_t Offset) {
    auto [Slot, Added] = Last_.try_emplace({Source.Writer_, Source.Incarnation_});
    if (!Added && Source.Sequence_ <= Slot->second.Sequence_)
      return false;
    Slot->second = {Source.Writer_, Source.Incarnation_, Source.Sequence_, Offset};
    // Drops the lowest offset, so that all readers drop the same incarnation.
    if (Last_.size() > MaxWriters)
      Last_.erase(std::ranges::min_element(Last_, {},
                                           [](const auto &Item) { return Item.second.Offset_; }));
    return true;
  }

  std::vector<WriterSequence> all() const {
    std::vector<WriterSequence> Result;
    Result.reserve(Last_.size());
    for (const auto &[Key, Value] : Last_)
      Result.push_back(Value);
    return Result;
  }

private:
  std::map<std::pair<std::string, std::uint64_t>, WriterSequence> Last_;
};

} // namespace

ReadFunction readFrom(legacy::LogClient &Client, std::string Stream) {
  return [&Client, Stream = std::move(Stream)](
             std::uint64_t From, std::uint32_t Max,
             std::function<void(std::error_code, legacy::ReadResult)> Done) {
    Client.read(Stream, From, Max, std::move(Done));
  };
}

struct Tailer::Impl : std::enable_shared_from_this<Tailer::Impl> {
  /// Records read after a gap, buffered until a snapshot is complete.
  struct Collected {
    std::uint64_t From_ = 0; ///< every record from here to Next_ is in Records_
    std::uint64_t Next_ = 0;
    std::size_t Bytes_ = 0;
    std::deque<legacy::LogRecord> Records_;
    bool LoadFailed_ = false; ///< the last complete snapshot could not be decoded
  };

  Impl(TailerOptions Options, ReadFunction Read, core::Timers &Timers, TailerHooks Hooks,
       std::function<core::TimePoint()> Now)
      : Options_(std::move(Options)), Read_(std::move(Read)), Timers_(Timers),
        Hooks_(std::move(Hooks)), Now_(std::move(Now)) {}

  std::function<void()> makeTask(void (Impl::*Method)()) {
    return [Weak = weak_from_this(), Method] {
      if (const auto Self = Weak.lock())
        ((*Self).*Method)();
    };
  }

  /// Sends a read unless one is in flight. Runs on the timer thread.
  void poll() {
    std::uint64_t From = 0;
    std::uint64_t Epoch = 0;
    {
      const std::lock_guard Lock(Mutex_);
      if (Stopped_)
        return;
      if (Reading_) {
        ReadAgain_ = true;
        return;
      }
      Reading_ = true;
      ReadAgain_ = false;
      ++Reads_;
      From = Collected_ ? Collected_->Next_ : NextOffset_;
      Epoch = Epoch_;
    }
    const core::TimePoint SentAt = Now_();
    Read_(From, Options_.MaxRecords_,
          [Weak = weak_from_this(), From, Epoch, SentAt](std::error_code Error,
                                                         legacy::ReadResult Result) {
            const auto Self = Weak.lock();
            if (!Self)
              return;
            auto Shared = std::make_shared<legacy::ReadResult>(std::move(Result));
            Self->Timers_.post([Weak, From, Epoch, SentAt, Error, Shared] {
              if (const auto Strong = Weak.lock())
                Strong->received(Error, *Shared, From, Epoch, SentAt);
            });
          });
  }

  void received(std::error_code Error, legacy::ReadResult &Result, std::uint64_t From,
                std::uint64_t Epoch, core::TimePoint SentAt) {
    bool Again = false;
    {
      const std::lock_guard Lock(Mutex_);
      Reading_ = false;
      if (Stopped_)
        return;
      Again = std::exchange(ReadAgain_, false);
    }
    const bool Resumed = Epoch != epoch();
    if (!Error && !Resumed)
      Again |= process(Result, From, SentAt);
    if (Again || Resumed)
      return poll();
    schedule(SentAt);
  }

  /// Sets the timer of the next poll unless it is set: a call of readNow() must not start a second
  /// chain of timers.
  void schedule(core::TimePoint SentAt) {
    {
      const std::lock_guard Lock(Mutex_);
      if (std::exchange(Scheduled_, true))
        return;
    }
    const core::Duration Delay = SentAt + Options_.Interval_ - Now_();
    Timers_.after(std::max(Delay, core::Duration::zero()), makeTask(&Impl::scheduledPoll));
  }

  void scheduledPoll() {
    {
      const std::lock_guard Lock(Mutex_);
      Scheduled_ = false;
      // The read in flight sets the next timer.
      if (Reading_)
        return;
    }
    poll();
  }

  /// \returns true when there is more to read immediately.
  bool process(legacy::ReadResult &Result, std::uint64_t From, core::TimePoint SentAt) {
    if (Result.Next_ < From) {
      core::log(core::LogLevel::Error, "stream ends before the offset that was read up to",
                {{"stream", Options_.Stream_},
                 {"next", std::to_string(Result.Next_)},
                 {"read_up_to", std::to_string(From)}});
      return false;
    }
    if (Result.First_ > From)
      startCollecting(Result.First_);
    const bool Progress = !Result.Records_.empty() || Result.First_ > From;
    if (collecting()) {
      for (legacy::LogRecord &Record : Result.Records_)
        collect(std::move(Record));
      // Compares the end with the collected offset: an empty answer may have moved the end.
      if (collectedUpTo() < Result.Next_)
        return Progress;
      if (!loadSnapshot())
        return false;
    } else if (!deliverAll(Result.Records_)) {
      return false;
    }
    return finishRead(Result.Next_, SentAt, Progress);
  }

  bool finishRead(std::uint64_t End, core::TimePoint SentAt, bool Progress) {
    {
      const std::lock_guard Lock(Mutex_);
      if (Stopped_)
        return false;
      if (NextOffset_ < End)
        return Progress;
      CompleteAsOf_ = SentAt;
    }
    if (Hooks_.OnCaughtUp_)
      Hooks_.OnCaughtUp_();
    return false;
  }

  void startCollecting(std::uint64_t First) {
    const std::lock_guard Lock(Mutex_);
    Collected NewBuffer;
    NewBuffer.From_ = First;
    NewBuffer.Next_ = First;
    Collected_ = std::move(NewBuffer);
  }

  bool collecting() const {
    const std::lock_guard Lock(Mutex_);
    return Collected_.has_value();
  }

  std::uint64_t collectedUpTo() const {
    const std::lock_guard Lock(Mutex_);
    return Collected_->Next_;
  }

  std::uint64_t epoch() const {
    const std::lock_guard Lock(Mutex_);
    return Epoch_;
  }

  /// Buffers a record and drops those that a complete snapshot covers or that exceed the limit.
  void collect(legacy::LogRecord Record) {
    const auto Decoded = decodeBatch(Record.Bytes_);
    const std::lock_guard Lock(Mutex_);
    Collected &Buffer = *Collected_;
    if (Decoded && addSnapshotParts(*Decoded, Record.Offset_))
      Buffer.LoadFailed_ = false;
    Buffer.Next_ = Record.Offset_ + 1;
    Buffer.Bytes_ += Record.Bytes_.size();
    Buffer.Records_.push_back(std::move(Record));
    const auto &Last = Assembler_.last();
    const bool Usable = Last && !Last->Bytes_.empty();
    while (!Buffer.Records_.empty() &&
           (Buffer.Bytes_ > Options_.MaxCollectedBytes_ ||
            (Usable && Buffer.Records_.front().Offset_ <= Last->BaseOffset_))) {
      Buffer.Bytes_ -= Buffer.Records_.front().Bytes_.size();
      Buffer.From_ = Buffer.Records_.front().Offset_ + 1;
      Buffer.Records_.pop_front();
    }
  }

  /// \returns true when a snapshot was completed.
  bool addSnapshotParts(const Batch &Source, std::uint64_t Offset) {
    bool Completed = false;
    for (const Entry &Element : Source.Entries_)
      if (Element.Type_ == Options_.SnapshotType_)
        Completed |= Assembler_.add(Offset, {Source.Writer_, Source.Incarnation_, Source.Sequence_},
                                    Element.Body_);
    return Completed;
  }

  /// Loads the last complete snapshot and applies the records after it.
  ///
  /// \returns false when no snapshot is contiguous with the buffered records; the gap has then been
  /// reported.
  bool loadSnapshot() {
    std::optional<CompleteSnapshot> Last;
    {
      const std::lock_guard Lock(Mutex_);
      const auto &Found = Assembler_.last();
      if (Found && !Found->Bytes_.empty() && !Collected_->LoadFailed_ &&
          Found->BaseOffset_ >= NextOffset_ && Found->BaseOffset_ + 1 >= Collected_->From_)
        Last = Found;
    }
    std::optional<SnapshotBody> Body;
    if (Last)
      Body = core::unpack<SnapshotBody>(Last->Bytes_);
    if (!Body || !Hooks_.LoadSnapshot_ || !Hooks_.LoadSnapshot_(*Body, Last->BaseOffset_)) {
      reportGap(Last.has_value());
      return false;
    }
    std::vector<legacy::LogRecord> RecordsAfterBase;
    {
      const std::lock_guard Lock(Mutex_);
      for (legacy::LogRecord &Record : Collected_->Records_)
        if (Record.Offset_ > Last->BaseOffset_)
          RecordsAfterBase.push_back(std::move(Record));
      Collected_.reset();
      Gap_.reset();
      Assembler_.dropBytes();
      Sequences_ = SequenceTable(Body->Sequences_);
      NextOffset_ = Last->BaseOffset_ + 1;
    }
    core::log(core::LogLevel::Info, "snapshot loaded",
              {{"stream", Options_.Stream_}, {"base", std::to_string(Last->BaseOffset_)}});
    return deliverAll(RecordsAfterBase);
  }

  void reportGap(bool LoadFailed) {
    Gap NewGap;
    {
      const std::lock_guard Lock(Mutex_);
      Collected_->LoadFailed_ |= LoadFailed;
      NewGap = {NextOffset_, Collected_->From_};
      if (Gap_ && Gap_->Needed_ == NewGap.Needed_ && Gap_->First_ == NewGap.First_)
        return;
      Gap_ = NewGap;
      CompleteAsOf_.reset();
    }
    core::log(core::LogLevel::Error, "records expired without a complete snapshot",
              {{"stream", Options_.Stream_},
               {"needed", std::to_string(NewGap.Needed_)},
               {"first", std::to_string(NewGap.First_)}});
    if (Hooks_.OnGap_)
      Hooks_.OnGap_(NewGap);
  }

  /// \returns false when a hook stopped the tailer or changed its position.
  bool deliverAll(const std::vector<legacy::LogRecord> &Records) {
    const std::uint64_t Epoch = epoch();
    for (const legacy::LogRecord &Record : Records) {
      deliver(Record);
      const std::lock_guard Lock(Mutex_);
      if (Stopped_ || Epoch_ != Epoch)
        return false;
    }
    return true;
  }

  void deliver(const legacy::LogRecord &Record) {
    const auto Decoded = decodeBatch(Record.Bytes_);
    bool IsNew = false;
    {
      const std::lock_guard Lock(Mutex_);
      if (Decoded)
        IsNew = Sequences_.advance(*Decoded, Record.Offset_);
      if (IsNew && addSnapshotParts(*Decoded, Record.Offset_))
        Assembler_.dropBytes();
    }
    const BatchInfo Info =
        Decoded ? BatchInfo{Decoded->Writer_, Decoded->Incarnation_, Decoded->Sequence_}
                : BatchInfo{};
    if (IsNew && Hooks_.OnEntry_) {
      std::uint32_t Index = 0;
      for (const Entry &Element : Decoded->Entries_)
        Hooks_.OnEntry_(Record.Offset_, Index++, Info, Element);
    }
    {
      const std::lock_guard Lock(Mutex_);
      NextOffset_ = Record.Offset_ + 1;
    }
    if (!Decoded)
      core::log(core::LogLevel::Error, "record is not a batch and is skipped",
                {{"stream", Options_.Stream_}, {"offset", std::to_string(Record.Offset_)}});
    else if (Hooks_.OnBatchEnd_)
      Hooks_.OnBatchEnd_(Record.Offset_, Info, !IsNew);
  }

  bool resume(const Position &Start) {
    const std::lock_guard Lock(Mutex_);
    if (Start.NextOffset_ <= NextOffset_)
      return false;
    NextOffset_ = Start.NextOffset_;
    Sequences_ = SequenceTable(Start.Sequences_);
    Collected_.reset();
    Gap_.reset();
    Assembler_.dropBytes();
    ++Epoch_;
    return true;
  }

  const TailerOptions Options_;
  const ReadFunction Read_;
  core::Timers &Timers_;
  const TailerHooks Hooks_;
  const std::function<core::TimePoint()> Now_;
  mutable std::mutex Mutex_; ///< not held while hooks run
  std::uint64_t NextOffset_ = 0;
  SequenceTable Sequences_;
  SnapshotAssembler Assembler_;
  std::optional<Collected> Collected_;
  std::optional<Gap> Gap_;
  std::optional<core::TimePoint> CompleteAsOf_;
  std::uint64_t Reads_ = 0;
  std::uint64_t Epoch_ = 0; ///< incremented by resume(), so that earlier reads are not applied
  bool Reading_ = false;
  bool ReadAgain_ = false;
  bool Scheduled_ = false;
  bool Started_ = false;
  bool Stopped_ = false;
};

Tailer::Tailer(TailerOptions Options, ReadFunction Read, core::Timers &Timers, TailerHooks Hooks,
               std::function<core::TimePoint()> Now)
    : Impl_(std::make_shared<Impl>(std::move(Options), std::move(Read), Timers, std::move(Hooks),
                                   std::move(Now))) {}

Tailer::~Tailer() { stop(); }

void Tailer::start() {
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    if (std::exchange(Impl_->Started_, true))
      return;
  }
  Impl_->Timers_.post(Impl_->makeTask(&Impl::poll));
}

void Tailer::stop() {
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->Stopped_ = true;
}

void Tailer::readNow() {
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    if (!Impl_->Started_)
      return;
  }
  Impl_->Timers_.post(Impl_->makeTask(&Impl::poll));
}

bool Tailer::resume(const Position &Start) { return Impl_->resume(Start); }

std::optional<core::TimePoint> Tailer::completeAsOf() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->CompleteAsOf_;
}

std::uint64_t Tailer::nextOffset() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->NextOffset_;
}

Position Tailer::position() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return {Impl_->NextOffset_, Impl_->Sequences_.all()};
}

std::optional<Gap> Tailer::gap() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->Gap_;
}

std::optional<CompleteSnapshot> Tailer::lastSnapshot() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  std::optional<CompleteSnapshot> Result;
  if (const auto &Last = Impl_->Assembler_.last())
    Result = CompleteSnapshot{Last->BaseOffset_, Last->Offset_, {}};
  return Result;
}

std::uint64_t Tailer::reads() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->Reads_;
}

} // namespace masticdrift::journal
