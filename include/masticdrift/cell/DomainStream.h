/// \file
/// Stream of this daemon's domain: replay, group commit, ownership and snapshots.
#ifndef MASTICDRIFT_CELL_DOMAINSTREAM_H
#define MASTICDRIFT_CELL_DOMAINSTREAM_H

#include "masticdrift/cell/Controller.h"
#include "masticdrift/jobs/DomainState.h"
#include "masticdrift/journal/Appender.h"
#include "masticdrift/journal/Tailer.h"
#include "masticdrift/ownership/OwnershipDriver.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticdrift::cell {

struct DomainStreamOptions {
  std::string Stream_;
  core::Duration PollInterval_ = core::Millis(250);
  core::Duration BatchCloseDelay_ = core::Millis(20);
  double AppendsPerSecond_ = 20;
  core::Duration Retention_ = std::chrono::hours(24); ///< how long the log keeps records
  ownership::OwnershipOptions Ownership_;
};

/// Functions that the stream calls; the ones after OnLost_ are described at OwnershipHooks.
struct DomainStreamHooks {
  std::function<void(const jobs::Change &)> OnChange_;
  std::function<void(std::uint64_t Term, core::TimePoint SlotsFreeAt)> OnAcquired_;
  std::function<void(std::uint64_t Term)> OnLost_;
  std::function<void(const std::string &Member, const protocol::ConsentRequest &,
                     std::function<void(std::optional<protocol::Consent>)>)>
      RequestConsent_;
  std::function<std::optional<core::Duration>(const std::string &Member, core::TimePoint Now)>
      TimeSinceReply_;
  std::function<std::optional<core::Duration>(const std::string &Member, core::TimePoint Now)>
      StoreReadAge_;
  std::function<bool(const std::string &Member)> IsTerminated_;
};

/// Replays the stream of this daemon's domain and appends to it. Runs on the thread of the given
/// timers.
class DomainStream {
public:
  DomainStream(DomainStreamOptions Options, DomainStreamHooks Hooks, legacy::LogClient &Log,
               core::Timers &Timers);
  DomainStream(const DomainStream &) = delete;
  DomainStream &operator=(const DomainStream &) = delete;
  ~DomainStream();

  /// Starts reading the stream and the ownership tick.
  void start();
  /// Stops reading the stream.
  void stop();

  /// Appends to the domain's stream; see journal::Appender::append().
  void append(std::vector<journal::Entry> Entries,
              std::function<void(std::error_code, std::uint64_t)> Done);

  /// Reads the stream now instead of at the next poll.
  void readNow();

  /// Calls \p Done on the timer thread once all records that were in the stream before this call
  /// have been replayed, or with StoreUnavailable after \p Timeout.
  void barrier(core::Duration Timeout, std::function<void(std::error_code)> Done);

  const jobs::DomainState &jobs() const;
  ownership::OwnershipDriver &ownership();
  const ownership::OwnershipDriver &ownership() const;

  /// \returns the send time of the last read that reached the end of the stream.
  std::optional<core::TimePoint> completeAsOf() const;
  /// \returns the records that expired before they were read, if any.
  std::optional<journal::Gap> gap() const;
  /// \returns true when no append is queued or in flight.
  bool idle() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::cell

#endif // MASTICDRIFT_CELL_DOMAINSTREAM_H
