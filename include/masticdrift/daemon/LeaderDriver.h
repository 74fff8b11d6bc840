/// \file
/// Takes part in the election and, while leading, carries out what the scheduler decides.
#ifndef MASTICDRIFT_DAEMON_LEADERDRIVER_H
#define MASTICDRIFT_DAEMON_LEADERDRIVER_H

#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/JobStateWaiters.h"
#include "masticdrift/daemon/TopicTail.h"
#include "masticdrift/protocol/PeerMessages.h"
#include "masticdrift/protocol/RelayMessages.h"

#include <functional>
#include <memory>
#include <string_view>

namespace masticdrift::daemon {

class LeaderDriver {
public:
  /// \param Jobs the tail that fills the context's ledger.
  /// \param Specs the tail that adds the steps of jobs to it.
  /// \param Executors the tail that fills the context's roster.
  LeaderDriver(FleetContext &Context, TopicTail &Jobs, TopicTail &Specs, TopicTail &Executors);
  LeaderDriver(const LeaderDriver &) = delete;
  LeaderDriver &operator=(const LeaderDriver &) = delete;
  ~LeaderDriver();

  void start();

  /// Gives the leadership up so that another daemon takes over at once, and claims no more.
  void release();

  void onJob(std::string_view JobId);
  void onProgressRead(std::string_view Key, std::string_view Value);
  void onManifest();
  void onExecutor(std::string_view ExecutorId);

  /// A daemon offers help.
  /// \returns true while this daemon leads.
  bool onHello(const protocol::Hello &Hello);

  /// Results of orders that another daemon has carried for this one.
  void onResults(const protocol::ResultsRequest &Request);

  /// Answers for a job's state. While the job's end is being written, the answer waits for that, up
  /// to \c MaxJobStateWait.
  void queryJobState(const std::string &JobId, JobStateWaiters::ReplyCallback OnReply);

  /// \returns true while this daemon leads and the store refuses it: another one should take over.
  bool leadsWithoutStore() const;
  bool leading() const;
  /// \returns the term of the leadership, while this daemon leads.
  std::uint64_t term() const;
  /// \returns true once nothing of the leadership is left to hand over.
  bool released() const;
  /// \returns the leader's peer address, empty when none is known or it is this daemon.
  std::string leaderAddress() const;
  /// \returns true while the leader answers this daemon's offers of help.
  bool leaderResponsive() const;
  /// A call to the leader brought no answer; it counts as not heard until the next offer.
  void onLeaderFailure();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

/// An append at a sound store takes 5 to 40 ms; callers look again after about 250 ms.
inline constexpr core::Millis MaxJobStateWait{200};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_LEADERDRIVER_H
