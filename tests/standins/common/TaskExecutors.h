/// \file
/// Simulates the platform's executors: orders, leases on the executor's clock, and task ends that
/// are kept until they are acknowledged. Duplicate runs are recorded.
#ifndef MASTICDRIFT_STANDINS_COMMON_TASKEXECUTORS_H
#define MASTICDRIFT_STANDINS_COMMON_TASKEXECUTORS_H

#include "standins/common/Program.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace masticdrift::standins {

/// Executors on one port. The path /e/NAME is the address of one of them, which has NAME as its id
/// until another executor takes its place.
class TaskExecutors {
public:
  /// Called when another executor answers at the address of one that has crashed.
  using ReplacementHandler =
      std::function<void(const std::string &OldId, const std::string &NewId)>;

  /// \param Cores cores of each executor.
  TaskExecutors(asio::io_context &Io, int Count, int Cores);

  void onReplacement(ReplacementHandler Handler) { OnReplacement_ = std::move(Handler); }

  void add(const std::string &Id);

  /// Serves /e/NAME/run-start, run-stop, hold and pace. Requests for another executor than the
  /// present one are answered with 421; those to a crashed one are closed without an answer.
  ///
  /// \returns false for any other path.
  bool handle(const http::Request &Incoming, const ReplyCallback &Answer);

  /// \param Address address of this process.
  /// \returns the list entry of each executor, by id.
  std::map<std::string, Json> entries(const std::string &Address) const;

  /// Sets faults of the executor named by "executor": "silent" sends no responses, "crash" restarts
  /// it without tasks, "still" stops the progress of its tasks, "cpu" changes its capacity.
  /// "deadly" names a task each start of which crashes its executor.
  void control(const Json &Body);

  /// \returns the number of starts by task, the tasks that run now, the tasks that were started
  /// while they ran elsewhere or after their end was acknowledged, those that brought their
  /// executor over its capacity, and the number of crashes by deadly task.
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
    std::string Name_; ///< in the path
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
    int MilliCores_ = 0;
    bool Crashed_ = false; ///< and not yet replaced
  };

  std::int64_t clockMs(const Executor &Target) const;
  Json taskReport(const Executor &Target) const;
  Reply start(Executor &Target, const Json &Order);
  Reply stop(Executor &Target, const Json &Order);
  void hold(Executor &Target, const Json &Order, const ReplyCallback &Answer);
  void renewLease(Executor &Target, const Json &Order);
  void end(Executor &Target, const std::string &Name, const char *Outcome);
  void finish(const std::string &ExecutorName, const std::string &Name, std::uint64_t Generation);
  void crash(const std::string &ExecutorName, const std::string &Name, std::uint64_t Generation);
  void replace(const std::string &ExecutorName);
  bool isRunningElsewhere(const Executor &Target, const std::string &Name) const;

  asio::io_context &Io_;
  const int Cores_;
  ReplacementHandler OnReplacement_;
  std::map<std::string, Executor> Executors_; ///< by name
  std::map<std::string, int> Starts_;
  std::set<std::string> DeadlyTasks_;
  std::map<std::string, int> Crashes_; ///< by deadly task
  std::set<std::string> DuplicatedTasks_;
  std::set<std::string> OverCapacityTasks_;
  std::set<std::string> AcknowledgedTasks_; ///< tasks whose end with "done" was acknowledged
  std::uint64_t Generation_ = 0;
};

} // namespace masticdrift::standins

#endif // MASTICDRIFT_STANDINS_COMMON_TASKEXECUTORS_H
