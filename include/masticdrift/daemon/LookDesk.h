/// \file
/// The leader's answers about the states of jobs.
#ifndef MASTICDRIFT_DAEMON_LOOKDESK_H
#define MASTICDRIFT_DAEMON_LOOKDESK_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/protocol/Fleet.h"
#include "masticdrift/work/Ledger.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::daemon {

/// \returns what the ledger says about a job.
protocol::LookReply lookedUp(const work::JobTable &Known, std::string_view Job);

/// Holds looks at jobs whose end is being written, until it is durable or their time is over. No
/// I/O.
class LookDesk {
public:
  using Done = std::function<void(const protocol::LookReply &)>;

  /// \param Until the job's durable state is the answer then, whatever it is.
  void wait(std::string Job, core::TimePoint Until, Done Answer);

  /// Answers looks at jobs that are final now, and those whose time is over.
  void settle(const work::JobTable &Known, core::TimePoint Now);

  std::size_t waiting() const { return Looks_.size(); }

private:
  struct Look {
    std::string Job_;
    core::TimePoint Until_;
    Done Answer_;
  };
  std::vector<Look> Looks_;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_LOOKDESK_H
