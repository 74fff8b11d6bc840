/// \file
/// Keeps the configuration and the operators' other requests up to date, from the log service or
/// from another daemon that reads it.
#ifndef MASTICDRIFT_DAEMON_CONFIGFEED_H
#define MASTICDRIFT_DAEMON_CONFIGFEED_H

#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/TopicTail.h"
#include "masticdrift/protocol/ConfigMessages.h"
#include "masticdrift/work/Evacuations.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticdrift::daemon {

/// Delivers each new configuration of the topic, and the evacuations of failure domains where the
/// settings say that the rules on places are in force. Logs and counts operators' records that are
/// not served.
///
/// Reads the log service, or follows the daemon that the leader names as source. A source tells
/// with each answer up to which time it has read the topic. A daemon that has not been told so for
/// \c MaxConfigAge reads the log service itself until its source is up to date again, so it depends
/// on nobody for longer than that.
class ConfigFeed {
public:
  using RecordCallback = std::function<void(const platform::KeyedRecord &)>;
  using ReplyCallback = std::function<void(const protocol::ConfigReply &)>;

  /// \param OnRecord called with each new record of the configuration's key.
  /// \param OnEvacuations called when the evacuations in force have changed.
  ConfigFeed(FleetContext &Context, RecordCallback OnRecord, std::function<void()> OnEvacuations);
  ConfigFeed(const ConfigFeed &) = delete;
  ConfigFeed &operator=(const ConfigFeed &) = delete;
  ~ConfigFeed();

  /// Starts reading the log service.
  void start();

  /// Sets the daemon to get the configuration from; an empty address for the log service.
  void setSource(std::string PeerAddress);

  /// Answers a daemon that follows this one, after the next read of the topic.
  void answer(const protocol::ConfigRequest &Request, ReplyCallback OnReply);

  /// Answers requests that have waited long enough, and leaves a source that is out of date. Must
  /// be called several times a second.
  void expire(core::TimePoint Now);

  /// Reads the topic up to its present end at once, so that all evacuations that were confirmed are
  /// known. The daemon must not follow a source. Does nothing where evacuations are not in force.
  ///
  /// \param OnDone called with true if the end was reached.
  void catchUp(core::Millis Timeout, std::function<void(bool)> OnDone);

  /// \returns the evacuations in force, as far as they were read.
  const work::EvacuationTable &evacuations() const;

  /// \returns true while the configuration cannot be read.
  bool failing() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

/// Age of the last sign that a source is up to date, from which on daemons read the log service, up
/// to 0.4 s apart. Leaves half a second for that read before a configuration has to be in force.
inline constexpr core::Millis MaxConfigAge{1500};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_CONFIGFEED_H
