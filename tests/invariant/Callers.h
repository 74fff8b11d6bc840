/// \file
/// Load from concurrent callers, and checks of their answers against the executors' records.
#ifndef MASTICDRIFT_INVARIANT_CALLERS_H
#define MASTICDRIFT_INVARIANT_CALLERS_H

#include "support/Api.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace masticdrift::testing {

/// One request and its answer as seen by the caller.
struct RequestRecord {
  std::string RequestId_;
  std::string RequestBody_;
  bool Idempotent_ = false;
  Reply Reply_;
  std::int64_t DurationMs_ = 0;
};

struct LoadOptions {
  int CallerCount_ = 24;
  int WorkMs_ = 20;
  int DeadlineMs_ = 2000;
  std::string Key_;
  std::string Queue_ = "reorder";
  /// Every n-th request is idempotent; 0 for none.
  int IdempotentEvery_ = 0;
};

/// Pause of a caller after an answer that is not "completed", as the retry hint asks for.
constexpr core::Millis RetryPause{20};

/// Runs each caller on its own thread. A caller sends its next request after the previous answer
/// and uses the given daemons in turn.
class LoadGenerator {
public:
  LoadGenerator(Fleet &TestFleet, std::vector<std::string> Daemons, LoadOptions Options,
                std::string Prefix)
      : Fleet_(TestFleet), Daemons_(std::move(Daemons)), Options_(std::move(Options)),
        Prefix_(std::move(Prefix)) {
    for (int I = 0; I < Options_.CallerCount_; ++I)
      Threads_.emplace_back([this, I] { run(I); });
  }
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;
  ~LoadGenerator() { stop(); }

  /// Stops the callers after their outstanding answers.
  /// \returns all requests and answers.
  const std::vector<RequestRecord> &stop() {
    StopRequested_ = true;
    for (std::thread &Thread : Threads_)
      if (Thread.joinable())
        Thread.join();
    return Records_;
  }

  /// \returns the number of answers so far with \p Outcome, or of all answers if it is empty.
  std::size_t countAnswers(const std::string &Outcome = {}) {
    const std::lock_guard Lock(Mutex_);
    return static_cast<std::size_t>(
        std::ranges::count_if(Records_, [&](const RequestRecord &Record) {
          return Outcome.empty() || Record.Reply_.Outcome_ == Outcome;
        }));
  }

  /// Waits until \p Count more answers with \p Outcome have arrived.
  /// \returns false if they did not arrive within \p Deadline.
  bool awaitAnswers(std::size_t Count, core::Millis Deadline, const std::string &Outcome = {}) {
    const std::size_t Target = countAnswers(Outcome) + Count;
    return waitFor(Deadline, [&] { return countAnswers(Outcome) >= Target; });
  }

private:
  void run(int Caller) {
    for (int RequestNumber = 0; !StopRequested_; ++RequestNumber) {
      RequestRecord Record;
      Record.RequestId_ =
          Prefix_ + "-" + std::to_string(Caller) + "-" + std::to_string(RequestNumber);
      // Long enough that a truncated answer differs from a complete one, and unique to each
      // request.
      Record.RequestBody_ = "work-ms=" + std::to_string(Options_.WorkMs_) + " ";
      for (int I = 0; I < 20; ++I)
        Record.RequestBody_ += Record.RequestId_ + "/";
      Record.Idempotent_ =
          Options_.IdempotentEvery_ > 0 && RequestNumber % Options_.IdempotentEvery_ == 0;
      const std::size_t DaemonIndex =
          static_cast<std::size_t>(Caller + RequestNumber) % Daemons_.size();
      const core::TimePoint Start = core::Clock::now();
      Record.Reply_ = Api(Fleet_, Daemons_[DaemonIndex])
                          .request(Options_.Queue_, Record.RequestBody_,
                                   {.Key_ = Options_.Key_,
                                    .Id_ = Record.RequestId_,
                                    .Idempotent_ = Record.Idempotent_,
                                    .DeadlineMs_ = Options_.DeadlineMs_,
                                    .ExtraHeaders_ = {}});
      Record.DurationMs_ = core::toMillis(core::Clock::now() - Start);
      const bool Completed = Record.Reply_.Outcome_ == "completed";
      {
        const std::lock_guard Lock(Mutex_);
        Records_.push_back(std::move(Record));
      }
      if (!Completed)
        std::this_thread::sleep_for(RetryPause);
    }
  }

  Fleet &Fleet_;
  const std::vector<std::string> Daemons_;
  const LoadOptions Options_;
  const std::string Prefix_;
  std::atomic<bool> StopRequested_{false};
  std::mutex Mutex_;
  std::vector<RequestRecord> Records_;
  std::vector<std::thread> Threads_;
};

/// Waits up to 6 s until no executor runs a request.
/// \returns the executors' records.
inline Json evidenceWhenIdle(Fleet &TestFleet) {
  Json Executors;
  waitFor(core::Millis(6000), [&] {
    Executors = TestFleet.evidence(Standin::Executor).at("executors");
    return std::ranges::all_of(Executors,
                               [](const Json &Executor) { return Executor.at("busy") == 0; });
  });
  return Executors;
}

/// \returns how often each request ran on all executors together, by request id.
inline std::map<std::string, int> runsByRequest(const Json &Executors) {
  std::map<std::string, int> Runs;
  for (const Json &Executor : Executors)
    for (const Json &Run : Executor.at("requests"))
      Runs[Run.at("id").get<std::string>()] += Run.at("times").get<int>();
  return Runs;
}

/// Result of checking answers against the executors' records: whether P5 (completed answers are
/// complete and belong to their request), P6 (what is answered "not_run" did not run) and P7 (a
/// non-idempotent request runs at most once) hold.
struct CheckResult {
  std::map<std::string, int> Outcomes_; ///< number of answers by outcome and error id
  std::vector<std::string> Violations_; ///< one line per violated invariant

  std::string summary() const {
    std::string Text;
    for (const auto &[Name, Count] : Outcomes_)
      Text += (Name.empty() ? "connection lost" : Name) + "=" + std::to_string(Count) + " ";
    Text += "broken=" + std::to_string(Violations_.size());
    for (std::size_t I = 0; I < std::min<std::size_t>(Violations_.size(), 5); ++I)
      Text += "\n  " + Violations_[I];
    return Text;
  }
};

/// Checks P5, P6 and P7.
///
/// \param ConnectionsMayBreak true if a daemon with connected callers was killed or paused, so that
///        connections may end without an answer.
inline CheckResult checkAnswers(const std::vector<RequestRecord> &Records, const Json &Executors,
                                bool ConnectionsMayBreak) {
  const std::map<std::string, int> RunCounts = runsByRequest(Executors);
  CheckResult Result;
  for (const RequestRecord &Record : Records) {
    const std::string &Outcome = Record.Reply_.Outcome_;
    ++Result.Outcomes_[Outcome +
                       (Record.Reply_.errorId().empty() ? "" : ":" + Record.Reply_.errorId())];
    const auto Found = RunCounts.find(Record.RequestId_);
    const int RunCount = Found == RunCounts.end() ? 0 : Found->second;
    const std::string Description =
        Record.RequestId_ + (Record.Idempotent_ ? " (idempotent)" : "") + " ended " + Outcome +
        " " + Record.Reply_.errorId() + " after " + std::to_string(Record.DurationMs_) +
        " ms and ran " + std::to_string(RunCount) + " times: ";
    if (!Record.Idempotent_ && RunCount > 1)
      Result.Violations_.push_back(Description + "P7");
    if (Outcome == "not_run" && RunCount != 0)
      Result.Violations_.push_back(Description + "P6");
    if (Outcome == "completed" && (!Record.Reply_.Complete_ || RunCount < 1 ||
                                   Record.Reply_.Body_ != "echo:" + Record.RequestBody_))
      Result.Violations_.push_back(Description + "P5, body \"" + Record.Reply_.Body_.substr(0, 40) +
                                   "\"");
    if (Outcome != "completed" && Outcome != "not_run" && Outcome != "failed" &&
        Outcome != "unknown" && !(ConnectionsMayBreak && Outcome.empty()))
      Result.Violations_.push_back(Description +
                                   "outcome is not completed, not_run, failed or unknown");
  }
  return Result;
}

/// \returns one line for each executor that was sent more than its capacity. A full executor
/// refuses requests, so refusals show an overcommitment that the peak alone can't show.
inline std::string overcommittedExecutors(const Json &Executors) {
  std::string Text;
  for (const auto &[Name, Executor] : Executors.items())
    if (Executor.at("peak_slots") > 8 || Executor.at("peak_connections") > 64 ||
        Executor.at("refused_full") > 0 || Executor.at("refused_connections") > 0)
      Text += "\n  " + Name + ": peak_slots " + Executor.at("peak_slots").dump() +
              ", refused_full " + Executor.at("refused_full").dump() + ", peak_connections " +
              Executor.at("peak_connections").dump() + ", refused_connections " +
              Executor.at("refused_connections").dump();
  return Text;
}

/// \returns the daemon in \p Daemons that reports itself as the owner, or an empty name.
inline std::string findOwner(Fleet &TestFleet, const std::vector<std::string> &Daemons) {
  for (const std::string &Name : Daemons) {
    const Json Status = Api(TestFleet, Name).status();
    if (Status.is_object() && Status.value("is_owner", false))
      return Name;
  }
  return {};
}

} // namespace masticdrift::testing

#endif // MASTICDRIFT_INVARIANT_CALLERS_H
