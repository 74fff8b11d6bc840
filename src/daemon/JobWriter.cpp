#include "masticdrift/daemon/JobWriter.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"

#include <algorithm>

namespace masticdrift::daemon {

namespace {

/// Once a batch has this size, no further write is added; the service accepts 2 MB.
constexpr std::size_t MaxBatchBytes = 1U << 20U;

} // namespace

core::Millis nextAppendTimeout(core::Duration CallTime) {
  return std::clamp(std::chrono::duration_cast<core::Millis>(AppendTimeoutFactor * CallTime),
                    MinAppendTimeout, MaxAppendTimeout);
}

JobWriter::JobWriter(platform::Store &Store, std::string Topic,
                     std::function<void(std::uint64_t, const work::LogRecord &)> OnStored)
    : Store_(Store), Topic_(std::move(Topic)), OnStored_(std::move(OnStored)),
      AppendTimeout_(MinAppendTimeout) {}

void JobWriter::write(std::vector<work::LogRecord> Entries, core::TimePoint Deadline,
                      Callback OnDone) {
  Queued_.push_back({std::move(Entries), Deadline, std::move(OnDone)});
  flush();
}

void JobWriter::flush() {
  if (CallInFlight_ || Queued_.empty())
    return;
  std::vector<platform::KeyedRecord> Records;
  for (std::size_t Bytes = 0; !Queued_.empty() && Bytes < MaxBatchBytes;) {
    PendingWrite &Write = Queued_.front();
    for (const work::LogRecord &Entry : Write.Entries_) {
      Bytes += Entry.Key_.size() + Entry.Value_.size();
      Records.push_back({0, Entry.Key_, Entry.Value_});
    }
    InFlight_.push_back(std::move(Write));
    Queued_.pop_front();
  }
  CallInFlight_ = true;
  const core::TimePoint SentAt = core::Clock::now();
  Store_.append(Topic_, Records, {}, AppendTimeout_,
                [this, WeakAlive = std::weak_ptr<bool>(Alive_), SentAt,
                 CallNumber = ++CallNumber_](const platform::AppendResult &Result) {
                  if (!WeakAlive.expired() && CallNumber == CallNumber_)
                    onAppended(Result, SentAt);
                });
}

void JobWriter::logFailure(const std::vector<PendingWrite> &Batch,
                           const platform::AppendResult &Result, core::TimePoint SentAt) const {
  core::count("masticdrift_store_failures_total", {{"topic", Topic_}});
  const bool KnownRefused = Result.Outcome_ == platform::AppendOutcome::Refused;
  core::log(core::LogLevel::Warning, "append call was not confirmed",
            {{"topic", Topic_},
             {"first_key", Batch.front().Entries_.back().Key_},
             {"records", std::to_string(Batch.size())},
             {"uncertain", KnownRefused ? "false" : "true"},
             {"detail", Result.Detail_},
             {"ms", std::to_string(core::toMillis(core::Clock::now() - SentAt))}});
}

void JobWriter::onAppended(const platform::AppendResult &Result, core::TimePoint SentAt) {
  using enum platform::AppendOutcome;
  const core::Duration CallTime = core::Clock::now() - SentAt;
  CallInFlight_ = false;
  std::vector<PendingWrite> Batch;
  Batch.swap(InFlight_);
  if (Result.Outcome_ == Stored) {
    core::observe("masticdrift_store_seconds", std::chrono::duration<double>(CallTime).count(),
                  {{"call", "append"}});
    // The callbacks run last because they may call write().
    std::uint64_t Offset = Result.Offset_;
    for (const PendingWrite &Write : Batch)
      for (const work::LogRecord &Entry : Write.Entries_)
        OnStored_(Offset++, Entry);
  } else {
    logFailure(Batch, Result, SentAt);
  }
  if (Result.Outcome_ != Refused)
    AppendTimeout_ = nextAppendTimeout(CallTime);
  std::vector<PendingWrite> Retries;
  for (PendingWrite &Write : Batch) {
    if (!Write.OnDone_)
      continue; // completed while the call was in flight
    if (Result.Outcome_ == Stored) {
      Write.OnDone_(WriteOutcome::Stored);
    } else if (Result.Outcome_ == Refused && !Write.MayBeStored_) {
      Write.OnDone_(WriteOutcome::Refused);
    } else {
      Write.MayBeStored_ = Write.MayBeStored_ || Result.Outcome_ != Refused;
      Retries.push_back(std::move(Write));
    }
  }
  Queued_.insert(Queued_.begin(), std::make_move_iterator(Retries.begin()),
                 std::make_move_iterator(Retries.end()));
  // After a refusal the next call is left to expire(), instead of retrying at once.
  if (Result.Outcome_ != Refused)
    flush();
}

void JobWriter::confirmStored(std::string_view Key) {
  const auto Confirm = [Key](auto &Writes) {
    for (PendingWrite &Write : Writes)
      if (Write.Entries_.back().Key_ == Key && Write.OnDone_)
        std::exchange(Write.OnDone_, nullptr)(WriteOutcome::Stored);
  };
  Confirm(InFlight_);
  Confirm(Queued_);
  std::erase_if(Queued_, [](const PendingWrite &Write) { return !Write.OnDone_; });
  if (!CallInFlight_ || InFlight_.empty() ||
      std::ranges::any_of(InFlight_,
                          [](const PendingWrite &Write) { return Write.OnDone_ != nullptr; }))
    return;
  // All records of the call are in the log, so its answer is late or lost. Continue without it.
  ++CallNumber_;
  CallInFlight_ = false;
  InFlight_.clear();
  flush();
}

void JobWriter::expire(core::TimePoint Now) {
  for (PendingWrite &Write : InFlight_)
    if (Write.OnDone_ && Now >= Write.Deadline_)
      std::exchange(Write.OnDone_, nullptr)(WriteOutcome::Unknown);
  std::deque<PendingWrite> Unexpired;
  for (PendingWrite &Write : Queued_)
    if (Now >= Write.Deadline_)
      Write.OnDone_(Write.MayBeStored_ ? WriteOutcome::Unknown : WriteOutcome::Refused);
    else
      Unexpired.push_back(std::move(Write));
  Queued_ = std::move(Unexpired);
  flush();
}

} // namespace masticdrift::daemon
