/// \file
/// Concurrent callers and the comparison of their answers with the evidence of the executors.
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

/// One request as its caller saw it.
struct Exchange {
  std::string Id_;
  std::string Sent_;
  bool Idempotent_ = false;
  Reply Answer_;
  std::int64_t TookMs_ = 0;
};

struct Load {
  int Callers_ = 24;
  int WorkMs_ = 20;
  int DeadlineMs_ = 2000;
  std::string Key_;
  std::string Queue_ = "reorder";
  /// Every n-th request is idempotent; 0 for none.
  int IdempotentEvery_ = 0;
};

/// A caller waits this long after an answer that is not "completed", as the retry hint asks.
constexpr core::Millis CallerPause{20};

/// Callers on threads of their own, each sending its next request after the last answer, through
/// the given daemons in turn.
class Callers {
public:
  Callers(Fleet &Of, std::vector<std::string> Daemons, Load How, std::string Prefix)
      : Fleet_(Of), Daemons_(std::move(Daemons)), How_(std::move(How)), Prefix_(std::move(Prefix)) {
    for (int I = 0; I < How_.Callers_; ++I)
      Threads_.emplace_back([this, I] { run(I); });
  }
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;
  ~Callers() { finish(); }

  /// Ends the load and waits for the outstanding answers.
  const std::vector<Exchange> &finish() {
    Stop_ = true;
    for (std::thread &One : Threads_)
      if (One.joinable())
        One.join();
    return All_;
  }

  /// \returns the number of answers so far whose outcome is \p Outcome, of all when it is empty.
  std::size_t answers(const std::string &Outcome = {}) {
    const std::lock_guard Lock(Mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(All_, [&](const Exchange &One) {
      return Outcome.empty() || One.Answer_.Outcome_ == Outcome;
    }));
  }

  /// Waits until \p More further answers with \p Outcome have arrived.
  bool await(std::size_t More, core::Millis Deadline, const std::string &Outcome = {}) {
    const std::size_t Goal = answers(Outcome) + More;
    return waitFor(Deadline, [&] { return answers(Outcome) >= Goal; });
  }

private:
  void run(int Caller) {
    for (int Turn = 0; !Stop_; ++Turn) {
      Exchange One;
      One.Id_ = Prefix_ + "-" + std::to_string(Caller) + "-" + std::to_string(Turn);
      // Long enough that a cut answer differs from a whole one, and different for each request.
      One.Sent_ = "work-ms=" + std::to_string(How_.WorkMs_) + " ";
      for (int I = 0; I < 20; ++I)
        One.Sent_ += One.Id_ + "/";
      One.Idempotent_ = How_.IdempotentEvery_ > 0 && Turn % How_.IdempotentEvery_ == 0;
      const std::size_t At = static_cast<std::size_t>(Caller + Turn) % Daemons_.size();
      const core::TimePoint Begin = core::Clock::now();
      One.Answer_ = Api(Fleet_, Daemons_[At])
                        .request(How_.Queue_, One.Sent_,
                                 {.Key_ = How_.Key_,
                                  .Id_ = One.Id_,
                                  .Idempotent_ = One.Idempotent_,
                                  .DeadlineMs_ = How_.DeadlineMs_,
                                  .ExtraHeaders_ = {}});
      One.TookMs_ = core::toMillis(core::Clock::now() - Begin);
      const bool Completed = One.Answer_.Outcome_ == "completed";
      {
        const std::lock_guard Lock(Mutex_);
        All_.push_back(std::move(One));
      }
      if (!Completed)
        std::this_thread::sleep_for(CallerPause);
    }
  }

  Fleet &Fleet_;
  const std::vector<std::string> Daemons_;
  const Load How_;
  const std::string Prefix_;
  std::atomic<bool> Stop_{false};
  std::mutex Mutex_;
  std::vector<Exchange> All_;
  std::vector<std::thread> Threads_;
};

/// \returns the executors' evidence after their last run has ended.
inline Json settledEvidence(Fleet &Of) {
  Json Last;
  waitFor(core::Millis(6000), [&] {
    Last = Of.evidence(Standin::Executor).at("executors");
    return std::ranges::all_of(Last, [](const Json &One) { return One.at("busy") == 0; });
  });
  return Last;
}

/// \returns how often each request ran, over all executors.
inline std::map<std::string, int> runsOf(const Json &Executors) {
  std::map<std::string, int> Runs;
  for (const Json &One : Executors)
    for (const Json &Run : One.at("requests"))
      Runs[Run.at("id").get<std::string>()] += Run.at("times").get<int>();
  return Runs;
}

/// What the answers and the evidence say about P5, P6 and P7.
struct Verdict {
  std::map<std::string, int> Outcomes_; ///< answers by outcome and error id
  std::vector<std::string> Faults_;     ///< one line per broken promise

  std::string text() const {
    std::string Out;
    for (const auto &[Name, Count] : Outcomes_)
      Out += (Name.empty() ? "connection lost" : Name) + "=" + std::to_string(Count) + " ";
    Out += "broken=" + std::to_string(Faults_.size());
    for (std::size_t I = 0; I < std::min<std::size_t>(Faults_.size(), 5); ++I)
      Out += "\n  " + Faults_[I];
    return Out;
  }
};

/// \param MayLose true when a daemon that callers were connected to was killed or paused: their
///        connections then end without an answer.
inline Verdict judge(const std::vector<Exchange> &All, const Json &Executors, bool MayLose) {
  const std::map<std::string, int> Runs = runsOf(Executors);
  Verdict Out;
  for (const Exchange &One : All) {
    const std::string &Outcome = One.Answer_.Outcome_;
    ++Out.Outcomes_[Outcome + (One.Answer_.errorId().empty() ? "" : ":" + One.Answer_.errorId())];
    const auto Found = Runs.find(One.Id_);
    const int Times = Found == Runs.end() ? 0 : Found->second;
    const std::string What = One.Id_ + (One.Idempotent_ ? " (idempotent)" : "") + " ended " +
                             Outcome + " " + One.Answer_.errorId() + " after " +
                             std::to_string(One.TookMs_) + " ms and ran " + std::to_string(Times) +
                             " times: ";
    if (!One.Idempotent_ && Times > 1)
      Out.Faults_.push_back(What + "P7");
    if (Outcome == "not_run" && Times != 0)
      Out.Faults_.push_back(What + "P6");
    if (Outcome == "completed" &&
        (!One.Answer_.Complete_ || Times < 1 || One.Answer_.Body_ != "echo:" + One.Sent_))
      Out.Faults_.push_back(What + "P5, body \"" + One.Answer_.Body_.substr(0, 40) + "\"");
    if (Outcome != "completed" && Outcome != "not_run" && Outcome != "failed" &&
        Outcome != "unknown" && !(MayLose && Outcome.empty()))
      Out.Faults_.push_back(What + "outcome is not one of the closed list");
  }
  return Out;
}

/// \returns one line for every executor that was sent more than it can take. A full executor
/// refuses, so refusals show an overcommitment that the peak alone can't show.
inline std::string overcommitted(const Json &Executors) {
  std::string Out;
  for (const auto &[Name, One] : Executors.items())
    if (One.at("peak_slots") > 8 || One.at("peak_connections") > 64 || One.at("refused_full") > 0 ||
        One.at("refused_connections") > 0)
      Out += "\n  " + Name + ": peak_slots " + One.at("peak_slots").dump() + ", refused_full " +
             One.at("refused_full").dump() + ", peak_connections " +
             One.at("peak_connections").dump() + ", refused_connections " +
             One.at("refused_connections").dump();
  return Out;
}

/// \returns the owner of a domain, empty when no daemon in \p Among says that it is.
inline std::string ownerOf(Fleet &Of, const std::vector<std::string> &Among) {
  for (const std::string &Name : Among) {
    const Json Status = Api(Of, Name).status();
    if (Status.is_object() && Status.value("is_owner", false))
      return Name;
  }
  return {};
}

} // namespace masticdrift::testing

#endif // MASTICDRIFT_INVARIANT_CALLERS_H
