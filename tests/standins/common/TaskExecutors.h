/// \file
/// The platform's executors: orders, leases on the executor's clock, ends until they are
/// acknowledged. What breaks a promise is counted.
#ifndef MASTICDRIFT_STANDINS_COMMON_TASKEXECUTORS_H
#define MASTICDRIFT_STANDINS_COMMON_TASKEXECUTORS_H

#include "standins/common/Program.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace masticdrift::standins {

/// Executors that share one address; the first part of the path names one of them.
class TaskExecutors {
public:
  /// \param Cores of each executor.
  TaskExecutors(asio::io_context &Io, int Count, int Cores);

  void add(const std::string &Id);

  /// Serves /e/ID/run-start, run-stop, hold and pace. \returns false for another path.
  bool handle(const http::Request &Incoming, const ReplyCallback &Answer);

  /// \returns the list entry of each executor, by id. \param Address of this process.
  std::map<std::string, Json> entries(const std::string &Address) const;

  /// Switches of one executor ("executor"): "silent" answers nothing, "crash" starts it again
  /// empty, "still" lets its tasks stand still.
  void control(const Json &Body);

  /// \returns starts by task, tasks that ran twice at a time, and starts over capacity.
  Json evidence() const;

private:
  using Instant = std::chrono::steady_clock::time_point;
  struct Task {
    std::uint64_t Run_ = 0;
    Instant StartedAt_;
    std::chrono::milliseconds RunTime_{0};
    std::uint64_t Generation_ = 0;
  };
  struct Executor {
    std::string Id_;
    Instant StartTime_;
    std::int64_t StartWallMs_ = 0;
    std::uint64_t FencingToken_ = 0;
    Instant LeaseEnd_{};
    std::map<std::string, Task> Running_;
    std::map<std::string, std::uint64_t> LastEndedRuns_;
    std::vector<Json> EndedTasks_;
    std::uint64_t NextEndSequence_ = 1;
    std::vector<std::function<void()>> PendingHolds_;
    bool Silent_ = false;
    bool Stalled_ = false;
  };

  std::int64_t clockMs(const Executor &Target) const;
  Json taskReport(const Executor &Target) const;
  Reply start(Executor &Target, const Json &Order);
  Reply stop(Executor &Target, const Json &Order);
  void hold(Executor &Target, const Json &Order, const ReplyCallback &Answer);
  void renewLease(Executor &Target, const Json &Order);
  void end(Executor &Target, const std::string &Name, const char *Outcome);
  void finish(const std::string &Id, const std::string &Name, std::uint64_t Generation);
  bool isRunningElsewhere(const Executor &Target, const std::string &Name) const;

  asio::io_context &Io_;
  const int Cores_;
  std::map<std::string, Executor> Executors_;
  std::map<std::string, int> Starts_;
  std::set<std::string> DuplicatedTasks_;
  std::set<std::string> AcknowledgedTasks_; ///< tasks whose end as done was acknowledged
  std::uint64_t Generation_ = 0;
};

} // namespace masticdrift::standins

#endif // MASTICDRIFT_STANDINS_COMMON_TASKEXECUTORS_H
