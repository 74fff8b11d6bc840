/// \file
/// Client of the workers: leases and tasks.
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

/// How a command to a worker ended.
enum class WorkerStatus : std::uint8_t {
  Done,         ///< carried out, now or by an earlier copy of the command
  Refused,      ///< malformed, unknown or not fitting the task's state; had no effect
  StaleTerm,    ///< the worker has accepted a higher term; had no effect
  NoRoom,       ///< not enough free resources; had no effect
  Leaving,      ///< the worker is leaving and takes no new work; had no effect
  NotConnected, ///< nothing was sent
  NoAnswer,     ///< the command may have been carried out
};

/// \returns true when the command certainly had no effect.
constexpr bool hadNoEffect(WorkerStatus Status) {
  return Status != WorkerStatus::Done && Status != WorkerStatus::NoAnswer;
}

/// State of a task as its worker reports it.
enum class WorkerTaskState : std::uint8_t { Running, Finished, Failed, Stopped };

/// One task of a lease answer.
struct WorkerTask {
  std::string Id_;
  std::uint32_t Attempt_ = 0;
  WorkerTaskState State_ = WorkerTaskState::Running;
  std::int32_t Exit_ = 0;
  std::string Reason_; ///< why a task was stopped, for example "checkpoint"; may be empty
};

/// A finished task that the worker may forget.
struct TaskAck {
  std::string Id_;
  std::uint32_t Attempt_ = 0;
};

struct LeaseRequest {
  std::uint64_t Term_ = 0;
  std::string Owner_;
  std::int64_t TtlMs_ = 10'000;
  std::vector<TaskAck> Acks_;
};

struct LeaseAnswer {
  std::string Boot_; ///< changes when the worker restarts
  std::uint64_t Term_ = 0;
  std::vector<WorkerTask> Tasks_;
  core::Resources Usage_;
  bool Leaving_ = false; ///< the worker takes no new work
};

struct StartRequest {
  std::string Id_;
  std::uint64_t Term_ = 0;
  std::uint32_t Attempt_ = 0;
  core::Resources Need_;
  std::string Boot_; ///< generation of the lease; a worker refuses a start that names another one
  std::int64_t RunMs_ = 0;
  std::string Command_;
  bool Fail_ = false; ///< stand-in workers end the task with a failure
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

  /// Renews the lease of all tasks of a worker. The answer is empty unless the status is Done; on
  /// StaleTerm its Term_ holds the higher term when the worker told it.
  void lease(std::string_view Address, const LeaseRequest &Request, LeaseCallback Done);

  /// Starts a task; a repeated start of the same attempt has no second effect.
  void startTask(std::string_view Address, const StartRequest &Request, Callback Done);

  /// Stops a task; a task that the worker does not know counts as Done.
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
