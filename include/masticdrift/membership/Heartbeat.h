/// \file
/// Sends probes to the other daemons and answers theirs.
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

struct HeartbeatOptions {
  std::string Self_;
  std::string Domain_;
  core::Duration OwnDomainInterval_ = core::Millis(1000);
  core::Duration OtherDomainInterval_ = core::Millis(2000);
  int MissesBeforeReconnect_ = 3;
};

/// Called from the timer thread or a thread of the link; must not block. Empty ones are skipped.
struct HeartbeatHooks {
  /// Completes a probe before it is sent, for example with the request for a promise.
  std::function<void(const Member &To, protocol::Probe &Message)> FillProbe_;
  /// Fills the reply to a probe; Domain_ and Members_ are already set.
  std::function<void(const protocol::Envelope &From, const protocol::Probe &Message,
                     protocol::ProbeReply &Reply)>
      FillReply_;
  /// A peer replied to a probe that was created at \p Sent. Runs after the table was updated.
  std::function<void(const Member &From, std::uint64_t Incarnation, core::TimePoint Sent,
                     const protocol::ProbeReply &Reply)>
      OnReply_;
  /// A probe was not answered in time or could not be sent.
  std::function<void(const Member &To)> OnMiss_;
};

/// Drives the heartbeats of one daemon.
///
/// \p Schedule, \p Connection and \p Table must outlive it, and the link must be stopped before
/// it is destroyed.
class Heartbeat {
public:
  Heartbeat(HeartbeatOptions Options, HeartbeatHooks Hooks, core::Timers &Schedule,
            protocol::Link &Connection, PeerTable &Table);
  Heartbeat(const Heartbeat &) = delete;
  Heartbeat &operator=(const Heartbeat &) = delete;
  ~Heartbeat();

  /// Starts the periodic probes; call once.
  void start();

  /// Replaces the list of daemons, updates the table and the routes of the link.
  void setMembers(const std::vector<Member> &Members);

  /// Answers a Probe; the link's handler passes messages of that kind here.
  void onProbe(const protocol::Envelope &Message);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::membership

#endif // MASTICDRIFT_MEMBERSHIP_HEARTBEAT_H
