/// \file
/// Follows a topic of the log service from its newest records on.
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
  core::Millis LongPollTime_{1000}; ///< the service answers an empty read after this time
  /// Rest between an answer with records and the next read; bounds calls and bytes.
  std::function<core::Millis()> ReadPause_ = [] { return core::Millis(0); };
  /// Leaves most of the link to others while the newest records are loaded.
  bool ThrottleLoad_ = false;
};

/// Reads a topic for as long as it lives: first the newest record of each key, then new records.
/// When the service has dropped what comes next, it starts again with the newest records.
class TopicTail {
public:
  struct Hooks {
    std::function<void(const platform::KeyedRecord &)> OnRecord_;
    /// All newest records were delivered; the argument has their keys.
    std::function<void(const std::set<std::string> &)> OnLoaded_;
  };

  TopicTail(asio::io_context &Loop, platform::Store &Store, TailOptions Options, Hooks Callbacks);
  TopicTail(const TopicTail &) = delete;
  TopicTail &operator=(const TopicTail &) = delete;
  ~TopicTail();

  /// Does nothing when it was called before.
  void start();

  /// Ends a rest between two calls, and loads without rests from now on.
  void expedite();

  /// Reads up to the present now, beside the running read.
  ///
  /// \param OnDone gets false when the service did not answer.
  void catchUp(core::Millis Timeout, std::function<void(bool)> OnDone);

  bool started() const;
  bool loaded() const;
  /// \returns true when the last read reached the end of the topic.
  bool caughtUp() const;
  /// \returns true from a read that failed until one that was answered.
  bool failing() const;
  /// \returns when the service last answered.
  core::TimePoint lastAnsweredAt() const;
  /// \returns the offset that the next new record will have, as far as known.
  std::uint64_t nextOffset() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_TOPICTAIL_H
