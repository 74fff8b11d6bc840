/// \file
/// How much memory the jobs of the deployment may take.
#ifndef MASTICDRIFT_DAEMON_WORKLIMIT_H
#define MASTICDRIFT_DAEMON_WORKLIMIT_H

#include "masticdrift/core/Clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace masticdrift::daemon {

/// The smallest share that a machine of the deployment has for jobs. Any daemon may come to lead,
/// and a leader holds all jobs that were accepted by the leaders before it.
class WorkLimit {
public:
  /// \param OwnBytes share of this daemon's machine.
  explicit WorkLimit(std::size_t OwnBytes) : OwnBytes_(OwnBytes) {}

  /// Notes the share of another daemon's machine.
  ///
  /// \param Bytes 0 when it is unknown.
  void noteDaemon(const std::string &PeerAddress, std::size_t Bytes, core::TimePoint Now);

  /// Notes the limit that the leader has told.
  ///
  /// \param Bytes 0 when it is unknown.
  void noteLeader(std::size_t Bytes, core::TimePoint Now) { noteDaemon({}, Bytes, Now); }

  /// \returns the limit, in bytes.
  std::size_t current(core::TimePoint Now) const;

private:
  struct Share {
    std::size_t Bytes_ = 0;
    core::TimePoint NotedAt_;
  };
  const std::size_t OwnBytes_;
  std::map<std::string, Share> Shares_; ///< by peer address; the leader's limit without one
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_WORKLIMIT_H
