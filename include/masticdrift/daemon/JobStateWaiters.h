/// \file
/// The leader's answers about the states of jobs.
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

/// \returns what the ledger says about a job.
protocol::JobStateReply jobStateReply(const work::Ledger &Ledger, std::string_view JobId);

/// Holds looks at jobs whose end is being written, until it is durable or their time is over. No
/// I/O.
class JobStateWaiters {
public:
  using ReplyCallback = std::function<void(const protocol::JobStateReply &)>;

  /// \param Until the job's durable state is the answer then, whatever it is.
  void add(std::string JobId, core::TimePoint Deadline, ReplyCallback OnReply);

  /// Answers looks at jobs that are final now, and those whose time is over.
  void answerReady(const work::Ledger &Ledger, core::TimePoint Now);

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
