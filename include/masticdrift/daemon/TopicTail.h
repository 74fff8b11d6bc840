/// \file
/// Follows a topic of the log service, starting with the newest record of each key.
#ifndef MASTICDRIFT_DAEMON_TOPICTAIL_H
#define MASTICDRIFT_DAEMON_TOPICTAIL_H

#include "masticdrift/core/Clock.h"
#include "platform/Store.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <asio/io_context.hpp>

namespace masticdrift::daemon {

struct TailOptions {
  std::string Topic_;
  core::Millis LongPollTime_{1000}; ///< after this time the service answers a read without records
  /// Pause between an answer with records and the next read; limits the calls and the traffic.
  std::function<core::Millis()> ReadPause_ = [] { return core::Millis(0); };
  /// Pauses between the pages while the newest records are loaded, which leaves most of the link's
  /// bandwidth to others.
  bool ThrottleLoad_ = false;
  double LinkMbps_ = 1000; ///< bandwidth of this machine's link, which bounds how fast pages arrive
};

/// Reads a topic until destruction: first the newest record of each key, then new records. If the
/// service has expired the next records, reading starts again with the newest ones.
class TopicTail {
public:
  struct Hooks {
    std::function<void(const platform::KeyedRecord &)> OnRecord_;
    /// Called after all newest records were delivered, with their keys.
    std::function<void(const std::set<std::string> &)> OnLoaded_;
    /// Called after the records of each complete read were delivered; may be empty.
    std::function<void()> OnRead_ = nullptr;
  };

  TopicTail(asio::io_context &Loop, platform::Store &Store, TailOptions Options, Hooks Callbacks);
  TopicTail(const TopicTail &) = delete;
  TopicTail &operator=(const TopicTail &) = delete;
  ~TopicTail();

  /// Starts reading; repeated calls have no effect.
  void start();

  /// Starts reading at an offset, when the records before it are known from elsewhere. Call it
  /// before start() or after suspend().
  void startAt(std::uint64_t Offset);

  /// Stops reading until the next start(), which loads the newest records again.
  void suspend();

  /// Ends the current pause between two calls and loads without pauses from now on.
  void expedite();

  /// Reads the newest record of each key again, after the current call.
  void reload();

  /// Reads up to the current end of the topic at once, in parallel to the running read.
  ///
  /// \param OnDone called with true if the end was reached, and with false if the service did not
  ///   answer or more records remain.
  void catchUp(core::Millis Timeout, std::function<void(bool)> OnDone);

  bool started() const;
  bool loaded() const;
  /// \returns true if the last read reached the end of the topic.
  bool caughtUp() const;
  /// \returns true after a failed read, until the service answers again.
  bool failing() const;
  /// \returns the time of the service's last answer.
  core::TimePoint lastAnsweredAt() const;
  /// \returns a time up to which all records that were stored have been delivered; zero before the
  /// end of the topic was reached.
  core::TimePoint readUpTo() const;
  /// \returns the offset of the next new record, as far as known.
  std::uint64_t nextOffset() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_TOPICTAIL_H
