/// \file
/// Decides when this daemon joins, claims, renews, evicts, yields and releases.
#ifndef MASTICDRIFT_OWNERSHIP_OWNERSHIPDRIVER_H
#define MASTICDRIFT_OWNERSHIP_OWNERSHIPDRIVER_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/ownership/ClaimTable.h"
#include "masticdrift/ownership/OwnerLease.h"
#include "masticdrift/ownership/PromiseTracker.h"
#include "masticdrift/protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace masticdrift::ownership {

struct OwnershipOptions {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0; ///< rises with every start of the instance
  std::string Address_;           ///< "host:port" of the peer port
  core::Duration LeaseDuration_ = core::Millis(4000);
  core::Duration SafetyMargin_ = core::Millis(500); ///< for clock drift and pauses
  core::Duration RenewInterval_ = core::Millis(1000);
  core::Duration YieldAfter_ = core::Millis(10000);
  core::Duration MaxYieldTargetReadAge_ =
      core::Millis(3000); ///< a member with a younger read is better
  core::Duration EvictAfter_ = core::Millis(30000);
  core::Duration MaxRequestDeadline_ = core::Millis(5000);
  core::Duration SlotGrace_ = core::Millis(250);
  core::Duration MaxClaimReadAge_ =
      core::Millis(2000); ///< a claimant has read the stream so recently
  core::Duration RetryInterval_ = core::Millis(1000); ///< before an unanswered append is repeated
  /// The following are false only in tests that show what each mechanism prevents.
  bool CheckVersion_ = true;
  bool HonourPromises_ = true;
  bool BlockWhileClaimOpen_ = true;
  bool RequireConsent_ = true;
};

/// Connections to the rest of the daemon. All are called without the driver's lock held, from the
/// thread that called the driver.
struct OwnershipHooks {
  /// Appends to the domain stream; the callback gets an error or the offset.
  std::function<void(std::vector<journal::Entry>,
                     std::function<void(std::error_code, std::uint64_t)>)>
      Append_;
  /// Asks for a read of the domain stream now.
  std::function<void()> ReadNow_;
  /// Sends a ConsentRequest to a member; the callback gets the answer or nothing.
  std::function<void(const std::string &Member, const protocol::ConsentRequest &,
                     std::function<void(std::optional<protocol::Consent>)>)>
      RequestConsent_;
  /// How long a member has not replied; nothing when unknown.
  std::function<std::optional<core::Duration>(const std::string &Member, core::TimePoint Now)>
      TimeSinceReply_;
  /// Age of a member's last read of the store; nothing when unknown.
  std::function<std::optional<core::Duration>(const std::string &Member, core::TimePoint Now)>
      StoreReadAge_;
  /// Whether the platform has terminated an instance for good. Without an owner, any member evicts
  /// such instances, since otherwise a domain whose instances were all replaced had no consenter.
  std::function<bool(const std::string &Member)> IsTerminated_;
  /// This daemon won \p Term and holds its lease; executor slots may be used from \p SlotsFreeAt
  /// on. holds() is false until it has returned. The two callbacks are called in order, one at a
  /// time, and must not call onRecord(), tick() or finishStop().
  std::function<void(std::uint64_t Term, core::TimePoint SlotsFreeAt)> OnAcquired_;
  /// \p Term is not this daemon's any more. A lease that lapsed within its term is not reported;
  /// holds() shows it.
  std::function<void(std::uint64_t Term)> OnLost_;
};

/// Ties ClaimTable, PromiseBook and OwnerLease together. Thread-safe.
class OwnershipDriver {
public:
  OwnershipDriver(OwnershipOptions Options, OwnershipHooks Hooks);
  OwnershipDriver(const OwnershipDriver &) = delete;
  OwnershipDriver &operator=(const OwnershipDriver &) = delete;
  ~OwnershipDriver();

  /// Takes one record of the domain stream, in offset order; the tailer's sink.
  void onRecord(std::uint64_t Offset, journal::RecordType Type, std::string_view Body,
                core::TimePoint Now);

  /// The stream was read to its end by a read sent at \p Sent. Nothing is claimed before the first.
  void onReadComplete(core::TimePoint Sent);

  /// Decides and acts; call every 100 to 250 ms.
  void tick(core::TimePoint Now);

  /// Adds the request for a promise to a probe that is created at \p Now.
  void fillProbe(protocol::Probe &Message, core::TimePoint Now);

  /// Answers the request for a promise, and fills owner and term.
  void fillReply(std::string_view Sender, std::uint64_t Incarnation, const protocol::Probe &Message,
                 protocol::ProbeReply &Reply, core::TimePoint Now);

  /// Takes a reply to a probe that was created at \p Sent.
  void onProbeReply(std::string_view Member, std::uint64_t Incarnation, core::TimePoint Sent,
                    const protocol::ProbeReply &Reply);

  /// Answers a ConsentRequest.
  protocol::Consent onConsentRequest(const protocol::ConsentRequest &Request, core::TimePoint Now);

  /// \returns whether this daemon holds the lease at \p Now. Lock-free; call it immediately before
  /// each send to an upstream and after every wait.
  bool holds(core::TimePoint Now) const;

  /// \returns the end of the lease; the clock's epoch when no term is owned.
  core::TimePoint leaseEnd() const;

  /// \returns the term that this daemon owns, 0 for none.
  std::uint64_t ownTerm() const;

  /// \returns a copy of the replayed state.
  ClaimState state() const;

  /// Loads the state of a snapshot; the wait of a claimant starts anew at \p Now.
  void restore(ClaimState State, core::TimePoint Now);

  /// Stops claiming; call when the graceful stop begins, with all requests still served.
  void beginStop();

  /// Gives the lease up and leaves the domain; call after the last request has ended. The Release
  /// is written no earlier than the slots of earlier owners are free.
  void finishStop(core::TimePoint Now);

  /// \returns whether the records of finishStop() have been read back. Without the store this stays
  /// false; the caller bounds the wait, and the instance is evicted later.
  bool hasLeft() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::ownership

#endif // MASTICDRIFT_OWNERSHIP_OWNERSHIPDRIVER_H
