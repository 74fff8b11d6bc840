/// \file
/// The leader's replies to queries for the states of jobs.
#ifndef MASTICDRIFT_DAEMON_JOBSTATEWAITERS_H
#define MASTICDRIFT_DAEMON_JOBSTATEWAITERS_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/protocol/PeerMessages.h"
#include "masticdrift/work/Ledger.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::daemon {

/// \returns the state of a job according to the ledger.
protocol::JobStateReply jobStateReply(const work::JobTable &Ledger, std::string_view JobId);

/// Holds queries for jobs whose end is being written, until the end is durable or a deadline
/// passes. Does no I/O.
class JobStateWaiters {
public:
  using ReplyCallback = std::function<void(const protocol::JobStateReply &)>;

  /// Adds a query.
  ///
  /// \param Deadline when the job's durable state is the reply, whatever it is.
  void add(std::string JobId, core::TimePoint Deadline, ReplyCallback OnReply);

  /// Answers the queries whose job is final or was removed, and those whose deadline has passed.
  void answerReady(const work::JobTable &Ledger, core::TimePoint Now);

  /// \returns the number of waiting queries.
  std::size_t size() const { return Waiters_.size(); }

private:
  struct Waiter {
    std::string JobId_;
    core::TimePoint Deadline_;
    ReplyCallback OnReply_;
  };
  std::vector<Waiter> Waiters_;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_JOBSTATEWAITERS_H
