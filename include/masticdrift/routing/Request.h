/// \file
/// An interactive request and its outcome, as they pass between the parts of a daemon.
#ifndef MASTICDRIFT_ROUTING_REQUEST_H
#define MASTICDRIFT_ROUTING_REQUEST_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Error.h"

#include <functional>
#include <string>

namespace masticdrift::routing {

/// One interactive request. Deadlines are local times; between daemons the remaining time travels.
struct InteractiveRequest {
  std::string RequestId_;
  std::string Team_; ///< empty on a queue open to all without a key
  std::string KeyId_;
  std::string Queue_;
  std::string Pool_; ///< executors that serve the queue
  bool Idempotent_ = false;
  core::TimePoint Deadline_;
  std::string ContentType_;
  std::string Body_;
};

/// How a request ended. Kind_ None means completed with the whole answer.
struct Outcome {
  core::ErrorKind Kind_ = core::ErrorKind::None;
  std::string Message_;                         ///< for people, when Kind_ is not None
  core::RunState Ran_ = core::RunState::NotRun; ///< what is known of the work
  int Status_ = 0;                              ///< upstream's status, when it answered
  std::string ContentType_;
  std::string Body_;
};

using OutcomeCallback = std::function<void(Outcome)>;

/// \returns an outcome of \p Kind whose run state is the table's.
Outcome failedOutcome(core::ErrorKind Kind, std::string Message);

/// \returns true when the work certainly did not run, so that it may be sent again even if it is
/// not idempotent.
bool certainlyNotRun(const Outcome &Result);

} // namespace masticdrift::routing

#endif // MASTICDRIFT_ROUTING_REQUEST_H
