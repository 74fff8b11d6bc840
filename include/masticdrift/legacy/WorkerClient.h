/// \file
/// HTTP client for the lease and task commands of workers.
///
/// The namespace legacy holds the clients of the platform's first version, which masticdriftd uses
/// when it runs without --platform.
#ifndef MASTICDRIFT_LEGACY_WORKERCLIENT_H
#define MASTICDRIFT_LEGACY_WORKERCLIENT_H

#include "masticdrift/core/Resources.h"
#include "masticdrift/http/Client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::legacy {

/// Result of a command to a worker.
enum class WorkerStatus : std::uint8_t {
  Done,         ///< executed, now or by an earlier copy of the command
  Refused,      ///< malformed, unknown or invalid in the task's state; had no effect
  StaleTerm,    ///< the worker has accepted a higher term; had no effect
  NoRoom,       ///< not enough free resources; had no effect
  Leaving,      ///< the worker is shutting down and accepts no new work; had no effect
  NotConnected, ///< nothing was sent
  NoAnswer,     ///< no valid response; the command may have been executed
};

/// \returns true when the command definitely had no effect.
constexpr bool hadNoEffect(WorkerStatus Status) {
  return Status != WorkerStatus::Done && Status != WorkerStatus::NoAnswer;
}

/// Task state reported by the worker.
enum class WorkerTaskState : std::uint8_t { Running, Finished, Failed, Stopped };

/// One task in the response to a lease renewal.
struct WorkerTask {
  std::string Id_;
  std::uint32_t Attempt_ = 0;
  WorkerTaskState State_ = WorkerTaskState::Running;
  std::int32_t ExitCode_ = 0;
  std::string Reason_; ///< why the task was stopped, for example "checkpoint"; may be empty
};

/// Acknowledges the end of a task attempt, so that the worker can delete its record.
struct TaskAck {
  std::string Id_;
  std::uint32_t Attempt_ = 0;
};

/// Request to renew the lease of a worker.
struct LeaseRequest {
  std::uint64_t Term_ = 0;
  std::string Owner_;
  std::int64_t TtlMs_ = 10'000;
  std::vector<TaskAck> Acks_;
};

/// Response to a lease renewal.
struct LeaseAnswer {
  std::string Boot_; ///< lease generation; changes when the worker restarts
  std::uint64_t Term_ = 0;
  std::vector<WorkerTask> Tasks_;
  core::Resources Usage_;
  bool Leaving_ = false; ///< the worker accepts no new work
};

/// Request to start one attempt of a task.
struct StartRequest {
  std::string Id_;
  std::uint64_t Term_ = 0;
  std::uint32_t Attempt_ = 0;
  core::Resources Need_;
  std::string Boot_; ///< lease generation; a worker rejects a start that names a different one
  std::int64_t RunMs_ = 0;
  std::string Command_;
  bool Fail_ = false; ///< makes stand-in workers report the task as failed
};

/// Sends commands to workers. Thread-safe; callbacks run on the HTTP client's thread and must not
/// block. Every callback is called once.
///
/// \p Address is "address:port", optionally followed by a base path.
class WorkerClient {
public:
  using Callback = std::function<void(WorkerStatus)>;
  using LeaseCallback = std::function<void(WorkerStatus, LeaseAnswer)>;

  /// \param Http must outlive this object.
  explicit WorkerClient(http::Client &Http,
                        std::chrono::milliseconds Timeout = std::chrono::milliseconds(1000));

  /// Renews the lease that covers all tasks of a worker.
  ///
  /// \param Done gets an empty LeaseAnswer unless the status is Done; on StaleTerm its Term_ holds
  /// the higher term if the worker reported it.
  void lease(std::string_view Address, const LeaseRequest &Request, LeaseCallback Done);

  /// Starts a task. Idempotent for the same attempt.
  void startTask(std::string_view Address, const StartRequest &Request, Callback Done);

  /// Stops a task. A task that the worker does not know yields Done.
  void stopTask(std::string_view Address, std::string_view Id, std::uint64_t Term, Callback Done);

  void checkpoint(std::string_view Address, std::string_view Id, std::uint64_t Term, Callback Done);

  void throttle(std::string_view Address, std::string_view Id, std::uint64_t Term, Callback Done);

private:
  void postTaskCommand(std::string_view Address, std::string_view Id, std::string_view Command,
                       std::uint64_t Term, Callback Done);

  http::Client &Http_;
  std::chrono::milliseconds Timeout_;
};

} // namespace masticdrift::legacy

#endif // MASTICDRIFT_LEGACY_WORKERCLIENT_H
