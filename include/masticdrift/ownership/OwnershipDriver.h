/// \file
/// Ownership protocol of one daemon: joining, claiming, renewing, evicting, yielding and releasing.
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
  std::uint64_t Incarnation_ = 0; ///< increases with every start of the instance
  std::string Address_;           ///< "host:port" of the peer port
  core::Duration LeaseDuration_ = core::Millis(4000);
  core::Duration SafetyMargin_ = core::Millis(500); ///< margin for clock drift and pauses
  core::Duration RenewInterval_ = core::Millis(1000);
  core::Duration YieldAfter_ = core::Millis(10000);
  /// The owner yields only to a member whose last read of the store is younger.
  core::Duration MaxYieldTargetReadAge_ = core::Millis(3000);
  core::Duration EvictAfter_ = core::Millis(30000);
  core::Duration MaxRequestDeadline_ = core::Millis(5000);
  core::Duration SlotGrace_ = core::Millis(250);
  /// Maximum age of a claimant's last complete read.
  core::Duration MaxClaimReadAge_ = core::Millis(2000);
  /// Time before an unanswered append is repeated.
  core::Duration RetryInterval_ = core::Millis(1000);
  /// The following are false only in tests, which show the faults that each mechanism prevents.
  bool CheckVersion_ = true;
  bool HonourPromises_ = true;
  bool BlockWhileClaimOpen_ = true;
  bool RequireConsent_ = true;
};

/// Functions that the driver calls, without its lock held and on the thread that called the driver.
struct OwnershipHooks {
  /// Appends to the domain stream; the callback receives an error or the offset.
  std::function<void(std::vector<journal::Entry>,
                     std::function<void(std::error_code, std::uint64_t)>)>
      Append_;
  /// Requests an immediate read of the domain stream.
  std::function<void()> ReadNow_;
  /// Sends a ConsentRequest to a member; the callback receives the answer, or nothing
  /// if there was none.
  std::function<void(const std::string &Member, const protocol::ConsentRequest &,
                     std::function<void(std::optional<protocol::Consent>)>)>
      RequestConsent_;
  /// Returns the time since a member's last reply; nothing if unknown.
  std::function<std::optional<core::Duration>(const std::string &Member, core::TimePoint Now)>
      TimeSinceReply_;
  /// Returns the age of a member's last read of the store; nothing if unknown.
  std::function<std::optional<core::Duration>(const std::string &Member, core::TimePoint Now)>
      StoreReadAge_;
  /// Returns whether the platform has terminated an instance permanently. While there is no owner,
  /// any member evicts such instances; otherwise a domain whose instances were all replaced would
  /// have no member that can consent to a claim.
  std::function<bool(const std::string &Member)> IsTerminated_;
  /// Called when this daemon has acquired the lease of \p Term; executor slots may be used from
  /// \p SlotsFreeAt on. holds() is false until the callback has returned. OnAcquired_ and OnLost_
  /// are called in order, one at a time, and must not call onRecord(), tick() or finishStop().
  std::function<void(std::uint64_t Term, core::TimePoint SlotsFreeAt)> OnAcquired_;
  /// Called when this daemon no longer owns \p Term. The expiry of a lease within its term is not
  /// reported; holds() shows it.
  std::function<void(std::uint64_t Term)> OnLost_;
};

/// Runs the ownership protocol on ClaimTable, PromiseTracker and OwnerLease. Thread-safe.
class OwnershipDriver {
public:
  OwnershipDriver(OwnershipOptions Options, OwnershipHooks Hooks);
  OwnershipDriver(const OwnershipDriver &) = delete;
  OwnershipDriver &operator=(const OwnershipDriver &) = delete;
  ~OwnershipDriver();

  /// Applies one record of the domain stream. Records must arrive in offset order.
  void onRecord(std::uint64_t Offset, journal::RecordType Type, std::string_view Body,
                core::TimePoint Now);

  /// Notes that a read sent at \p Sent reached the end of the stream. The driver claims nothing
  /// before the first such read.
  void onReadComplete(core::TimePoint Sent);

  /// Runs the periodic decisions; call every 100 to 250 ms.
  void tick(core::TimePoint Now);

  /// Adds a promise request to a probe that is created at \p Now, if this daemon is the
  /// owner and does not yield.
  void fillProbe(protocol::Probe &Message, core::TimePoint Now);

  /// Answers the promise request of a probe, and sets the reply's owner and term.
  void fillReply(std::string_view Sender, std::uint64_t Incarnation, const protocol::Probe &Message,
                 protocol::ProbeReply &Reply, core::TimePoint Now);

  /// Handles the reply to a probe that was created at \p Sent.
  void onProbeReply(std::string_view Member, std::uint64_t Incarnation, core::TimePoint Sent,
                    const protocol::ProbeReply &Reply);

  /// Answers a ConsentRequest.
  protocol::Consent onConsentRequest(const protocol::ConsentRequest &Request, core::TimePoint Now);

  /// \returns whether this daemon holds the lease at \p Now. Lock-free; call it immediately before
  /// each send to an upstream and after every wait.
  bool holds(core::TimePoint Now) const;

  /// \returns the end of the lease; the clock's epoch if no term is owned.
  core::TimePoint leaseEnd() const;

  /// \returns the term that this daemon owns, 0 for none.
  std::uint64_t ownTerm() const;

  /// \returns a copy of the replayed state.
  ClaimState state() const;

  /// Loads the state of a snapshot; a claimant's wait for the end of the old lease restarts at
  /// \p Now.
  void restore(ClaimState State, core::TimePoint Now);

  /// Stops claiming. Call it when the graceful stop begins; requests are still served.
  void beginStop();

  /// Releases the lease and leaves the domain; call it after the last request has ended. The
  /// Release record is not written before the slots of earlier owners are free.
  void finishStop(core::TimePoint Now);

  /// \returns whether the records of finishStop() have been read back. It stays false while the
  /// store is unavailable, so the caller must bound its wait; the instance is then evicted later.
  bool hasLeft() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::ownership

#endif // MASTICDRIFT_OWNERSHIP_OWNERSHIPDRIVER_H
