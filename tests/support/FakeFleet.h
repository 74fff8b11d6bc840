/// \file
/// Executors, a log and advice in virtual time around the scheduler: no network, no threads.
///
/// The fake executors follow the platform's contract: tokens, run numbers, leases on their own
/// clock, ends that are listed until they are acknowledged, orders that are lost or come late. What
/// breaks a promise is collected as text.
#ifndef MASTICDRIFT_TESTS_SUPPORT_FAKEFLEET_H
#define MASTICDRIFT_TESTS_SUPPORT_FAKEFLEET_H

#include "masticdrift/lead/Scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticdrift::tests {

/// Probabilities and times of the world.
struct FakeFleetOptions {
  unsigned Seed_ = 1;
  double AnswerLost_ = 0;     ///< orders that are carried out and not answered
  double OrderLate_ = 0;      ///< orders that are not answered and carried out up to 12 s later
  double TaskFails_ = 0;      ///< runs that end failed
  double NotConnected_ = 0;   ///< start orders that find no connection within their time limit
  core::Millis LateBy_{0};    ///< how late, 0 for 2 to 12 s
  bool LateSurvives_ = false; ///< late orders reach an executor that has started again meanwhile
  core::Millis Latency_{1};
  int JitterMs_ = 0;   ///< requests for lists take up to this much longer
  bool Trace_ = false; ///< prints every decision to standard error
};

class FakeFleet {
public:
  explicit FakeFleet(FakeFleetOptions Options);

  // -- the world --
  void addExecutor(const std::string &Id, core::Resources Capacity);
  /// Kills what runs there; the executor starts again empty after \p Down.
  void crash(const std::string &Id, core::Millis Down);
  /// Nothing reaches the executor and nothing comes back for \p Time.
  void cut(const std::string &Id, core::Millis Time);
  /// Submits a job that was accepted now.
  void submit(const std::string &Id, work::JobSpec Spec, const std::string &Queue = "q");
  /// The same, accepted and begun by the leader of \p Term in one append.
  void submitBegun(const std::string &Id, work::JobSpec Spec, std::uint64_t Term);
  std::uint64_t term() const { return Token_; }
  void cancel(const std::string &Id);
  void setManifest(work::Manifest Manifest);
  /// A new leader with a higher token takes over; the old one goes on giving orders for
  /// \p OldGoesOn if that is not zero.
  void takeOver(core::Millis OldGoesOn = core::Millis(0));
  void run(core::Millis Time);

  // -- what can be seen --
  work::JobState stateOf(const std::string &Id) const;
  const std::vector<std::string> &broken() const { return Broken_; }
  /// \returns how often a task was started at any executor.
  int startsOf(const work::TaskRef &Task) const;
  /// \returns the executors on which a task runs now.
  std::vector<std::string> placesOf(const std::string &Job) const;
  core::TimePoint now() const { return Now_; }
  lead::Scheduler &leader() { return *Leader_; }
  core::Millis sinceTakeover() const;
  /// Time from acceptance to the last end, of a completed job.
  std::optional<core::Millis> tookOf(const std::string &Id) const;

  /// \returns processor time spent in the leaders' decisions, wall time of this machine.
  std::chrono::steady_clock::duration decisionTime() const { return DecisionTime_; }
  std::size_t starts() const { return StartCount_; }

  /// The next leader reads this job only \p Time after it has begun to lead.
  void readLate(const std::string &Job, core::Millis Time) { ReadLate_[Job] = Time; }

  /// Every run at this executor fails.
  void spoil(const std::string &Id) { Executors_.at(Id).Spoiled_ = true; }
  /// Runs that start there from now on take this many times as long.
  void slow(const std::string &Id, int Factor) { Executors_.at(Id).Slow_ = Factor; }
  /// What runs there stands still, for good, while the executor goes on answering.
  void halt(const std::string &Id) { Executors_.at(Id).Halted_ = true; }
  /// Every run of this job fails.
  void poison(const std::string &Job) { Poisoned_.insert(Job); }

  /// While set, nothing the leader writes is stored.
  void setStoreDown(bool Down) { StoreDown_ = Down; }

  /// Loses the next answer to a start order.
  void loseNextStartAnswer() { LoseNextStart_ = true; }

private:
  struct Running {
    std::uint64_t Run_ = 0;
    core::TimePoint StartedAt_;
    core::Millis Work_{0};
    bool Fails_ = false;
    core::Resources Need_;
    int Generation_ = 0;
  };
  struct Executor {
    fleet::ExecutorInfo Info_;
    bool Up_ = true;
    bool Spoiled_ = false;
    bool Halted_ = false;
    int Slow_ = 1;
    core::TimePoint CutUntil_{};
    core::TimePoint ClockZero_;
    std::uint64_t Token_ = 0;
    core::TimePoint LeaseEnd_{};
    std::vector<core::TimePoint> Lapses_;
    std::map<work::TaskRef, Running> Running_;
    std::map<work::TaskRef, std::uint64_t> Over_;
    std::vector<fleet::ReportedEnd> Ended_;
    std::uint64_t NextEnd_ = 1;
    std::function<void()> Waiting_; ///< a request that waits for an end
  };
  struct Done {
    core::TimePoint At_;
    std::string Executor_;
    std::uint64_t Number_;
    std::int64_t Born_;
    bool Noted_ = false;
  };
  struct Event {
    core::TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Work_;
    bool operator>(const Event &Other) const {
      return std::tie(At_, Order_) > std::tie(Other.At_, Other.Order_);
    }
  };
  struct Term {
    std::uint64_t Token_ = 0;
    bool Alive_ = true;
    bool Flushing_ = false;
  };

  void at(core::TimePoint When, std::function<void()> Work);
  bool reaches(const Executor &One) const { return One.Up_ && Now_ >= One.CutUntil_; }
  bool chance(double P) { return std::uniform_real_distribution<>(0, 1)(Random_) < P; }
  template <typename Work> void timed(Work Do) {
    const auto Begin = std::chrono::steady_clock::now();
    Do();
    DecisionTime_ += std::chrono::steady_clock::now() - Begin;
  }
  void lead();
  void tick(const std::shared_ptr<Term> &Of);
  void renew(Executor &At, std::int64_t UntilMs);
  fleet::OrderOutcome start(Executor &At, const fleet::StartOrder &Order);
  fleet::OrderOutcome stop(Executor &At, const lead::RunKey &Which, std::uint64_t Token);
  void end(Executor &At, const work::TaskRef &Task, fleet::EndKind Kind);
  void note(Executor &At, std::uint64_t Seen);
  std::int64_t clockOf(const Executor &One) const;
  fleet::Report reportOf(const Executor &One) const;
  const work::StepSpec &specOf(const work::TaskRef &Task) const;
  void broke(const std::string &What) { Broken_.push_back(What); }

  const FakeFleetOptions Options_;
  std::mt19937 Random_;
  core::TimePoint Now_{std::chrono::hours(1)};
  core::TimePoint TookOverAt_{};
  std::uint64_t NextOrder_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::map<std::string, Executor> Executors_;
  std::map<std::string, work::JobSpec> Submitted_;
  std::map<work::TaskRef, std::vector<core::TimePoint>> Starts_;
  std::map<work::TaskRef, std::vector<Done>> Dones_;
  std::map<std::string, core::TimePoint> SubmittedAt_;
  std::map<std::string, core::TimePoint> LastEnd_;
  std::vector<std::string> Broken_;
  work::JobTable Ledger_;
  work::Manifest Manifest_;
  std::uint64_t Offset_ = 0;
  std::uint64_t Fence_ = 0;
  std::uint64_t Token_ = 0;
  std::set<std::string> Poisoned_;
  std::map<std::string, core::Millis> ReadLate_;
  bool LoseNextStart_ = false;
  bool StoreDown_ = false;
  int Generation_ = 0;
  std::chrono::steady_clock::duration DecisionTime_{};
  std::size_t StartCount_ = 0;
  std::shared_ptr<Term> Current_;
  std::vector<std::pair<std::shared_ptr<Term>, std::unique_ptr<lead::Scheduler>>> Terms_;
  lead::Scheduler *Leader_ = nullptr;
};

} // namespace masticdrift::tests

#endif // MASTICDRIFT_TESTS_SUPPORT_FAKEFLEET_H
