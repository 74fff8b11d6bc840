/// \file
/// Takes part in the leader election and, while leading, carries out the scheduler's decisions.
#ifndef MASTICDRIFT_DAEMON_LEADERDRIVER_H
#define MASTICDRIFT_DAEMON_LEADERDRIVER_H

#include "masticdrift/daemon/ConfigFeed.h"
#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/JobStateWaiters.h"
#include "masticdrift/daemon/TopicTail.h"
#include "masticdrift/lead/Admission.h"
#include "masticdrift/protocol/PeerMessages.h"
#include "masticdrift/protocol/RelayMessages.h"

#include <functional>
#include <memory>
#include <string_view>

namespace masticdrift::daemon {

/// Runs this daemon's part of the election, and the scheduler with its I/O while the daemon leads.
class LeaderDriver {
public:
  /// \param Jobs reader of the job records; it fills the context's job table.
  /// \param Specs reader of the jobs' steps; it adds them to the job table.
  /// \param Executors reader of the executor list; it fills the context's executor entries.
  /// \param Config gets the configuration from the source that the leader names.
  LeaderDriver(FleetContext &Context, TopicTail &Jobs, TopicTail &Specs, TopicTail &Executors,
               ConfigFeed &Config);
  LeaderDriver(const LeaderDriver &) = delete;
  LeaderDriver &operator=(const LeaderDriver &) = delete;
  ~LeaderDriver();

  /// Starts to follow the leadership topic and to take part in elections.
  void start();

  /// Releases the leadership so that another daemon takes over at once. This one leads until the
  /// release is stored. Called when the daemon stops; it makes no further claims then.
  void release();

  /// Passes a job on to the scheduler after its job table entry changed or was removed.
  void onJob(std::string_view JobId);
  /// Handles a progress record that was read from the log; it may confirm an outstanding append.
  void onProgressRead(std::string_view Key, std::string_view Value);
  /// Passes a new configuration on to the scheduler.
  void onManifest();
  /// Passes the evacuations in force on to the scheduler.
  void onEvacuations();
  /// Passes an executor on to the scheduler after its entry changed or was removed.
  void onExecutor(std::string_view ExecutorId);

  /// Registers another daemon as an adviser and a relay. Hands the leadership over, also while this
  /// daemon prepares to lead, if only the other machine is large enough to lead.
  ///
  /// \returns the answer, which assigns no tasks to the other daemon while this one does not lead.
  protocol::HelloReply onHello(const protocol::Hello &Hello);

  /// Notes the answer to a call that this daemon has made for the leader, for the next one.
  void onAdvised(const protocol::AdviseRequest &Call,
                 const std::vector<fleet::AdvisedExecutor> &Allowed);

  /// Handles results of orders that were sent through a relay.
  void onResults(const protocol::ResultsRequest &Request);

  /// Looks up the state of a job. While the end of the job is being written, the reply waits until
  /// it is durable, at most \c MaxJobStateWait.
  void queryJobState(const std::string &JobId, JobStateWaiters::ReplyCallback OnReply);

  /// \returns true while this daemon leads but can't read the store, so that another one should
  /// take over.
  bool leadsWithoutStore() const;
  /// Decides whether this daemon, which must lead, accepts a job.
  lead::AdmissionDecision admit(std::string_view JobId, const work::AcceptedRecord &Acceptance,
                                const work::JobSpec &Spec);
  /// \returns true when there is memory for a job, as far as this daemon knows the other jobs.
  bool hasMemoryFor(std::string_view Customer, std::size_t JobBytes) const;
  /// \returns true while this daemon leads and has so much waiting work that a job which is
  /// accepted now will not start soon.
  bool hasBacklog() const;
  /// \returns true while this daemon leads.
  bool leading() const;
  /// \returns the term of the leadership; only meaningful while this daemon leads.
  std::uint64_t term() const;
  /// \returns true when this daemon neither leads nor prepares to: its release is stored, or
  /// another daemon has taken over.
  bool released() const;
  /// \returns the leader's peer address, or an empty string when no leader is known or this daemon
  /// leads.
  std::string leaderAddress() const;
  /// \returns true while the leader answers this daemon's hellos.
  bool leaderResponsive() const;
  /// Marks the leader as unresponsive, after a request without an answer, until it answers a hello.
  void onLeaderFailure();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

/// Limit of the wait in queryJobState(). An append to a healthy store takes 5 to 40 ms; callers
/// poll about every 250 ms.
inline constexpr core::Millis MaxJobStateWait{200};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_LEADERDRIVER_H
