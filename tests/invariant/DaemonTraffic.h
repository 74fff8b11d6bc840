/// \file
/// Interactive load on selected daemons during a scenario, with a check of the outcomes.
#ifndef MASTICDRIFT_INVARIANT_DAEMONTRAFFIC_H
#define MASTICDRIFT_INVARIANT_DAEMONTRAFFIC_H

#include "support/Api.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace masticdrift::testing {

/// Prints the label and the duration of one step of a scenario on destruction.
class Step {
public:
  explicit Step(std::string Label) : Label_(std::move(Label)) {}
  Step(const Step &) = delete;
  Step &operator=(const Step &) = delete;
  ~Step() {
    std::fprintf(stderr, "  %s: %lld ms\n", Label_.c_str(), static_cast<long long>(elapsed()));
  }
  std::int64_t elapsed() const { return core::toMillis(core::Clock::now() - StartedAt_); }

private:
  std::string Label_;
  core::TimePoint StartedAt_ = core::Clock::now();
};

/// One request and its answer.
struct Sample {
  std::string Daemon_;
  std::string Id_;
  std::string Body_;
  core::TimePoint Sent_;
  core::TimePoint Answered_;
  Reply Answer_;
  bool completed() const { return Answer_.Complete_ && Answer_.Status_ == 200; }
  std::string text() const {
    return Daemon_ + " " + Id_ + ": " + std::to_string(Answer_.Status_) + " " + Answer_.Outcome_ +
           " " + Answer_.Body_;
  }
};

/// Queue, size and rate of the requests.
struct TrafficOptions {
  std::string Queue_;
  std::string Key_; ///< empty for an open queue
  int WorkMs_ = 0;
  int DeadlineMs_ = 1000;
  int SendersPerDaemon_ = 1; ///< concurrent senders at each daemon
  /// Pause between the requests of a sender, so that a daemon that refuses them is not flooded.
  core::Millis SendInterval_{25};
};

/// Sends requests to every given daemon until finish(); each sender has one request in flight.
class Traffic {
public:
  Traffic(Fleet &TestFleet, const std::vector<std::string> &Daemons, TrafficOptions Options)
      : Options_(std::move(Options)) {
    for (const std::string &Name : Daemons)
      for (int I = 0; I < Options_.SendersPerDaemon_; ++I)
        Senders_.emplace_back([this, Name, I, DaemonApi = Api(TestFleet, Name)]() mutable {
          run(DaemonApi, Name, I);
        });
  }
  Traffic(const Traffic &) = delete;
  Traffic &operator=(const Traffic &) = delete;
  ~Traffic() { finish(); }

  /// Stops the senders after their current requests are answered.
  /// \returns all samples.
  const std::vector<Sample> &finish() {
    Stopping_ = true;
    for (std::thread &Thread : Senders_)
      if (Thread.joinable())
        Thread.join();
    return Samples_;
  }

  /// \returns a copy of the samples so far.
  std::vector<Sample> samples() const {
    const std::lock_guard Lock(Mutex_);
    return Samples_;
  }

private:
  void run(Api &DaemonApi, const std::string &Name, int Sender) {
    for (int I = 0; !Stopping_; ++I) {
      Sample Request;
      Request.Daemon_ = Name;
      Request.Id_ = Options_.Queue_ + "-" + Name + "-" + std::to_string(Sender) + "-" +
                    std::to_string(I) + "-" + std::to_string(ObjectNumber_);
      Request.Body_ = "work-ms=" + std::to_string(Options_.WorkMs_) + " " + Request.Id_;
      Request.Sent_ = core::Clock::now();
      Request.Answer_ = DaemonApi.request(
          Options_.Queue_, Request.Body_,
          {.Key_ = Options_.Key_, .Id_ = Request.Id_, .DeadlineMs_ = Options_.DeadlineMs_});
      Request.Answered_ = core::Clock::now();
      {
        const std::lock_guard Lock(Mutex_);
        Samples_.push_back(std::move(Request));
      }
      std::this_thread::sleep_for(Options_.SendInterval_);
    }
  }

  static std::uint64_t nextObjectNumber() {
    static std::atomic<std::uint64_t> Next{0};
    return Next++;
  }

  const TrafficOptions Options_;
  const std::uint64_t ObjectNumber_ =
      nextObjectNumber(); ///< makes request ids unique across objects
  std::atomic<bool> Stopping_{false};
  mutable std::mutex Mutex_;
  std::vector<Sample> Samples_;
  std::vector<std::thread> Senders_;
};

/// Compares the answers with the executors' records.
/// \returns the first contradiction, empty if there is none: a completed request that did not run
/// once or whose answer belongs to another request, a request reported as not run that ran, a
/// request that ran twice, an executor above 8 slots.
inline std::string findContradiction(Fleet &TestFleet, const std::vector<Sample> &Samples) {
  const Json Evidence = TestFleet.evidence(Standin::Executor);
  std::set<std::string> RunIds;
  for (const auto &[Name, Executor] : Evidence.at("executors").items()) {
    if (Executor.at("peak_slots").get<int>() > 8)
      return Name + " ran " + Executor.at("peak_slots").dump() + " requests at once";
    for (const Json &Request : Executor.at("requests"))
      RunIds.insert(Request.at("id").get<std::string>());
  }
  if (!Evidence.at("repeated").empty())
    return "ran more than once: " + Evidence.at("repeated").dump();
  for (const Sample &Request : Samples) {
    if (Request.completed() &&
        (!RunIds.contains(Request.Id_) || Request.Answer_.Body_ != "echo:" + Request.Body_))
      return "wrong answer: " + Request.text();
    if (Request.Answer_.Outcome_ == "not_run" && RunIds.contains(Request.Id_))
      return "reported as not run, but ran: " + Request.text();
  }
  return {};
}

/// \returns the first daemon that does not complete a request and its answer, empty when all do.
inline std::string findNotServing(Fleet &TestFleet, const std::vector<std::string> &Daemons,
                                  const std::string &Queue, const std::string &Key) {
  for (const std::string &Name : Daemons) {
    const Reply Answer = Api(TestFleet, Name).request(Queue, "ping", {.Key_ = Key});
    if (!Answer.Complete_ || Answer.Status_ != 200)
      return Name + ": " + std::to_string(Answer.Status_) + " " + Answer.Body_;
  }
  return {};
}

/// Waits until every daemon completes a request.
/// \returns the last refusal, empty on success.
inline std::string awaitServing(Fleet &TestFleet, const std::vector<std::string> &Daemons,
                                const std::string &Queue, const std::string &Key,
                                core::Millis Deadline) {
  std::string LastRefusal;
  waitFor(Deadline, [&] {
    LastRefusal = findNotServing(TestFleet, Daemons, Queue, Key);
    return LastRefusal.empty();
  });
  return LastRefusal;
}

/// \returns a daemon of the domain that does not hold its lease.
inline std::string nonOwnerIn(Fleet &TestFleet, const std::string &Domain) {
  for (const std::string &Name : TestFleet.namesIn(Domain))
    if (!Api(TestFleet, Name).status().value("is_owner", false))
      return Name;
  return {};
}

/// \returns the daemon of the domain that holds its lease, empty if none does.
inline std::string ownerIn(Fleet &TestFleet, const std::string &Domain) {
  for (const std::string &Name : TestFleet.namesIn(Domain)) {
    const Json Status = Api(TestFleet, Name).status();
    if (Status.is_object() && Status.value("is_owner", false))
      return Name;
  }
  return {};
}

/// Disconnects a daemon from the store and from all peers.
inline void isolateDaemon(Fleet &TestFleet, const std::string &Name) {
  TestFleet.cutStore(Name);
  for (const std::string &Peer : TestFleet.names())
    if (Peer != Name)
      TestFleet.cutPeer(Name, Peer);
}

/// \returns \p Names without \p Removed.
inline std::vector<std::string> difference(std::vector<std::string> Names,
                                           const std::vector<std::string> &Removed) {
  std::erase_if(Names, [&](const std::string &Name) {
    return std::ranges::find(Removed, Name) != Removed.end();
  });
  return Names;
}

/// \returns both lists of samples in one.
inline std::vector<Sample> concatenated(std::vector<Sample> First,
                                        const std::vector<Sample> &Second) {
  First.insert(First.end(), Second.begin(), Second.end());
  return First;
}

} // namespace masticdrift::testing

#endif // MASTICDRIFT_INVARIANT_DAEMONTRAFFIC_H
