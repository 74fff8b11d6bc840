/// \file
/// Periodic probes between daemons.
#ifndef MASTICDRIFT_MEMBERSHIP_HEARTBEAT_H
#define MASTICDRIFT_MEMBERSHIP_HEARTBEAT_H

#include "masticdrift/core/Timers.h"
#include "masticdrift/membership/PeerTable.h"
#include "masticdrift/protocol/Link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace masticdrift::membership {

/// Settings of a Heartbeat.
struct HeartbeatOptions {
  std::string InstanceName_; ///< instance name of this daemon
  std::string Domain_;
  core::Duration OwnDomainInterval_ = core::Millis(1000);
  core::Duration OtherDomainInterval_ = core::Millis(2000);
  int MissesBeforeReconnect_ = 3;
};

/// Hooks that run on the timer thread or a thread of the link. They must not block; each may be
/// empty.
struct HeartbeatHooks {
  /// Fills in a probe before it is sent, for example the request for a promise, with which the
  /// owner of a domain asks a member not to claim the domain for a limited time.
  std::function<void(const Member &To, protocol::Probe &Message)> FillProbe_;
  /// Fills in the reply to a probe; Domain_ and Members_ are already set.
  std::function<void(const protocol::Envelope &From, const protocol::Probe &Message,
                     protocol::ProbeReply &Reply)>
      FillReply_;
  /// Called after a peer replied to the probe created at \p Sent and the table was updated.
  std::function<void(const Member &From, std::uint64_t Incarnation, core::TimePoint Sent,
                     const protocol::ProbeReply &Reply)>
      OnReply_;
  /// Called when a probe was not answered in time or could not be sent.
  std::function<void(const Member &To)> OnMiss_;
};

/// Probes the other daemons periodically and answers their probes.
///
/// The timers, the link and the table must outlive the Heartbeat, and the link must be stopped
/// before the Heartbeat is destroyed.
class Heartbeat {
public:
  Heartbeat(HeartbeatOptions Options, HeartbeatHooks Hooks, core::Timers &Timers,
            protocol::Link &Link, PeerTable &Table);
  Heartbeat(const Heartbeat &) = delete;
  Heartbeat &operator=(const Heartbeat &) = delete;
  ~Heartbeat();

  /// Starts the periodic probes. Must be called once.
  void start();

  /// Replaces the list of daemons and updates the table and the routes of the link.
  void setMembers(const std::vector<Member> &Members);

  /// Replies to a Probe message received by the handler of the link.
  void onProbe(const protocol::Envelope &Message);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::membership

#endif // MASTICDRIFT_MEMBERSHIP_HEARTBEAT_H
