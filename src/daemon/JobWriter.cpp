#include "masticdrift/daemon/JobWriter.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"

#include <algorithm>

namespace masticdrift::daemon {

namespace {

/// Records of one call; the service takes 2 MB.
constexpr std::size_t MaxBatchBytes = 1U << 20U;

} // namespace

core::Millis nextAppendTimeout(core::Duration Took) {
  return std::clamp(std::chrono::duration_cast<core::Millis>(AppendTimeoutFactor * Took),
                    LeastAppendTimeout, MostAppendTimeout);
}

JobWriter::JobWriter(platform::Store &Store, std::string Topic,
                     std::function<void(std::uint64_t, const work::LogRecord &)> Applied)
    : Store_(Store), Topic_(std::move(Topic)), Applied_(std::move(Applied)),
      Timeout_(LeastAppendTimeout) {}

void JobWriter::write(std::vector<work::LogRecord> Entries, core::TimePoint Deadline,
                      Callback Done) {
  Waiting_.push_back({std::move(Entries), Deadline, std::move(Done)});
  flush();
}

void JobWriter::flush() {
  if (Outstanding_ || Waiting_.empty())
    return;
  std::vector<platform::KeyedRecord> Records;
  for (std::size_t Bytes = 0; !Waiting_.empty() && Bytes < MaxBatchBytes;) {
    Item &Next = Waiting_.front();
    for (const work::LogRecord &One : Next.Entries_) {
      Bytes += One.Key_.size() + One.Value_.size();
      Records.push_back({0, One.Key_, One.Value_});
    }
    Sent_.push_back(std::move(Next));
    Waiting_.pop_front();
  }
  Outstanding_ = true;
  const core::TimePoint SentAt = core::Clock::now();
  Store_.append(Topic_, Records, {}, Timeout_,
                [this, Held = std::weak_ptr<bool>(Alive_), SentAt,
                 Call = ++Call_](const platform::AppendResult &Result) {
                  if (!Held.expired() && Call == Call_)
                    onAppended(Result, SentAt);
                });
}

void JobWriter::logFailure(const std::vector<Item> &Batch, const platform::AppendResult &Result,
                           core::TimePoint SentAt) const {
  core::count("masticdrift_store_failures_total", {{"topic", Topic_}});
  const bool Certain = Result.Outcome_ == platform::AppendOutcome::Refused;
  core::log(core::LogLevel::Warning, "append was not confirmed",
            {{"topic", Topic_},
             {"first_key", Batch.front().Entries_.back().Key_},
             {"records", std::to_string(Batch.size())},
             {"uncertain", Certain ? "false" : "true"},
             {"detail", Result.Detail_},
             {"ms", std::to_string(core::toMillis(core::Clock::now() - SentAt))}});
}

void JobWriter::onAppended(const platform::AppendResult &Result, core::TimePoint SentAt) {
  using enum platform::AppendOutcome;
  const core::Duration Took = core::Clock::now() - SentAt;
  Outstanding_ = false;
  std::vector<Item> Batch;
  Batch.swap(Sent_);
  if (Result.Outcome_ == Stored) {
    core::observe("masticdrift_store_seconds", std::chrono::duration<double>(Took).count(),
                  {{"call", "append"}});
    // Callbacks come last: one of them may write again.
    std::uint64_t Offset = Result.Offset_;
    for (const Item &One : Batch)
      for (const work::LogRecord &Entry : One.Entries_)
        Applied_(Offset++, Entry);
  } else {
    logFailure(Batch, Result, SentAt);
  }
  if (Result.Outcome_ != Refused)
    Timeout_ = nextAppendTimeout(Took);
  std::vector<Item> Again;
  for (Item &One : Batch) {
    if (!One.Done_)
      continue; // answered meanwhile
    if (Result.Outcome_ == Stored) {
      One.Done_(WriteOutcome::Stored);
    } else if (Result.Outcome_ == Refused && !One.Uncertain_) {
      One.Done_(WriteOutcome::Refused);
    } else {
      One.Uncertain_ = One.Uncertain_ || Result.Outcome_ != Refused;
      Again.push_back(std::move(One));
    }
  }
  Waiting_.insert(Waiting_.begin(), std::make_move_iterator(Again.begin()),
                  std::make_move_iterator(Again.end()));
  // A refusing service is asked again by expire(), not at once.
  if (Result.Outcome_ != Refused)
    flush();
}

void JobWriter::seen(std::string_view Key) {
  const auto Settle = [Key](auto &Items) {
    for (Item &One : Items)
      if (One.Entries_.back().Key_ == Key && One.Done_)
        std::exchange(One.Done_, nullptr)(WriteOutcome::Stored);
  };
  Settle(Sent_);
  Settle(Waiting_);
  std::erase_if(Waiting_, [](const Item &One) { return !One.Done_; });
  if (!Outstanding_ || Sent_.empty() ||
      std::ranges::any_of(Sent_, [](const Item &One) { return One.Done_ != nullptr; }))
    return;
  // All of the call's records are in the log, so its answer is late or lost: go on without it.
  ++Call_;
  Outstanding_ = false;
  Sent_.clear();
  flush();
}

void JobWriter::expire(core::TimePoint Now) {
  for (Item &One : Sent_)
    if (One.Done_ && Now >= One.Deadline_)
      std::exchange(One.Done_, nullptr)(WriteOutcome::Unknown);
  std::deque<Item> Kept;
  for (Item &One : Waiting_)
    if (Now >= One.Deadline_)
      One.Done_(One.Uncertain_ ? WriteOutcome::Unknown : WriteOutcome::Refused);
    else
      Kept.push_back(std::move(One));
  Waiting_ = std::move(Kept);
  flush();
}

} // namespace masticdrift::daemon
