/// \file
/// An interactive request and its outcome inside a daemon.
#ifndef MASTICDRIFT_ROUTING_REQUEST_H
#define MASTICDRIFT_ROUTING_REQUEST_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Error.h"

#include <functional>
#include <string>

namespace masticdrift::routing {

/// One interactive request. Deadlines are local times; daemons send each other the remaining time.
struct InteractiveRequest {
  std::string RequestId_;
  std::string Team_; ///< empty for a request without a key on an open queue
  std::string KeyId_;
  std::string Queue_;
  std::string Pool_; ///< executor pool that serves the queue
  bool Idempotent_ = false;
  core::TimePoint Deadline_;
  std::string ContentType_;
  std::string Body_;
};

/// How a request ended. Kind_ is None if it completed with the whole answer.
struct Outcome {
  core::ErrorKind Kind_ = core::ErrorKind::None;
  std::string Message_;                         ///< human-readable, set if Kind_ is not None
  core::RunState Ran_ = core::RunState::NotRun; ///< whether the work ran, as far as known
  int Status_ = 0;                              ///< HTTP status of the upstream, if it answered
  std::string ContentType_;
  std::string Body_;
};

using OutcomeCallback = std::function<void(Outcome)>;

/// \returns an outcome of \p Kind with the run state that core::errorTable() gives for it.
Outcome failedOutcome(core::ErrorKind Kind, std::string Message);

/// \returns true if the work certainly did not run, so that even a non-idempotent request may be
/// sent again.
bool certainlyNotRun(const Outcome &Result);

} // namespace masticdrift::routing

#endif // MASTICDRIFT_ROUTING_REQUEST_H
