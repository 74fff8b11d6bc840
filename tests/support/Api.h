/// \file
/// Calls to the caller and operator interfaces of a fleet, for tests.
#ifndef MASTICDRIFT_TESTING_API_H
#define MASTICDRIFT_TESTING_API_H

#include "support/Fleet.h"

#include <string>
#include <vector>

namespace masticdrift::testing {

/// An HTTP answer with its transfer result.
struct Reply {
  bool Complete_ = false;
  int Status_ = 0;
  std::string Body_;
  std::string Outcome_; ///< header Masticdrift-Outcome

  /// \returns the body as JSON, discarded when it is not JSON.
  Json json() const { return Json::parse(Body_, nullptr, false); }
  /// \returns the stable error id of an error answer, empty otherwise.
  std::string errorId() const;
};

/// Key, id and headers of an interactive request.
struct RequestOptions {
  std::string Key_;
  std::string Id_;
  bool Idempotent_ = false;
  int DeadlineMs_ = 2000;
  http::Headers ExtraHeaders_;
};

/// Sends one HTTP request on a new connection.
Reply call(const std::string &Method, const std::string &Url, const std::string &Body = {},
           const http::Headers &Headers = {}, core::Millis Timeout = core::Millis(8000));

/// The operators' configuration of the default fleet: teams "mfi" (share 4), "coop" (share 2) and
/// "small" (share 1); queues "reorder" (interactive, keyed), "status" (interactive, open), "print"
/// (batch), "urgent-print" (urgent).
Json defaultConfiguration();

/// Client of the caller and operator interfaces of one daemon.
class Api {
public:
  Api(Fleet &Cluster, std::string Daemon) : Fleet_(Cluster), Daemon_(std::move(Daemon)) {}

  Reply operatorCall(const std::string &Method, const std::string &Path,
                     const std::string &Body = {}, http::Headers Headers = {});
  Reply submitConfig(const Json &Configuration, std::uint64_t BaseVersion,
                     const std::string &Author = "test", const std::string &RequestId = {});
  /// \returns the secret of a new key of the team.
  /// \throws std::runtime_error when the daemon refuses it.
  std::string createKey(const std::string &Team);
  Reply request(const std::string &Queue, const std::string &Body,
                const RequestOptions &Options = {});
  Reply submitJob(const std::string &Queue, const Json &Job, const std::string &Key);
  Reply job(const std::string &JobId, const std::string &Key);
  Reply cancelJob(const std::string &JobId, const std::string &Key);
  Json status();

private:
  Fleet &Fleet_;
  std::string Daemon_;
};

/// Submits the default configuration through the first daemon and waits until it is in force
/// at every daemon and every domain has an owner with free slots and usable workers.
/// \returns false when this takes longer than \p Deadline.
bool bringUp(Fleet &Cluster, const Json &Configuration = defaultConfiguration(),
             core::Millis Deadline = core::Millis(20'000));

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTING_API_H
