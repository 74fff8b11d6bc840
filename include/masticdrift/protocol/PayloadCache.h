/// \file
/// Sends the payload of a job to a relay once, although its tasks start in several batches.
#ifndef MASTICDRIFT_PROTOCOL_PAYLOADCACHE_H
#define MASTICDRIFT_PROTOCOL_PAYLOADCACHE_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/protocol/RelayMessages.h"

#include <map>
#include <string>

namespace masticdrift::protocol {

/// Time for which a relay keeps a payload after its last use. The steps of a job start within
/// seconds of each other; payloads that are kept longer cost memory on small machines.
inline constexpr core::Millis PayloadRetention{10'000};
/// The leader sends a payload again when it was used last longer ago than this.
inline constexpr core::Millis PayloadReuse{8'000};

/// The leader's knowledge of the payloads that one relay has.
class SentPayloads {
public:
  /// Moves the payloads of the starts out of a batch's orders. Those that the relay lacks are put
  /// into the batch.
  void extract(OrdersRequest &Batch, core::TimePoint Now);
  /// Forgets all payloads, because a batch was lost or the relay lacks one.
  void clear() { LastUsedAt_.clear(); }

private:
  std::map<std::string, core::TimePoint> LastUsedAt_; ///< by job
};

/// The payloads that a relay has received.
class ReceivedPayloads {
public:
  /// Gives the starts of a batch their payloads back.
  ///
  /// \returns the starts whose payloads are unknown; they were removed from the batch.
  std::vector<RelayedOrder> restore(OrdersRequest &Batch, core::TimePoint Now);

private:
  struct Payload {
    std::string Text_;
    core::TimePoint LastUsedAt_;
  };
  std::map<std::string, Payload> Payloads_; ///< by job
  core::TimePoint CleanedAt_{};
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_PAYLOADCACHE_H
