/// \file
/// The HTTP interface for callers.
#ifndef MASTICDRIFT_GATEWAY_CALLERAPI_H
#define MASTICDRIFT_GATEWAY_CALLERAPI_H

#include "masticdrift/cell/JobService.h"
#include "masticdrift/http/Server.h"
#include "masticdrift/legacy/InstanceList.h"
#include "masticdrift/replica/ConfigReplica.h"
#include "masticdrift/routing/Router.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace masticdrift::gateway {

struct CallerApiOptions {
  core::Millis DefaultDeadline_{2000};
  core::Millis MaxDeadline_{5000};
  core::Duration FreshnessBound_ = core::Millis(5000);
};

/// Serves interactive requests, jobs and health checks of callers. Thread-safe.
class CallerApi {
public:
  CallerApi(CallerApiOptions Options, replica::ConfigReplica &Config, routing::Router &Router,
            cell::JobService &Jobs, const legacy::InstanceList &Instances);
  CallerApi(const CallerApi &) = delete;
  CallerApi &operator=(const CallerApi &) = delete;
  ~CallerApi();

  /// Handles one HTTP request; passed to an http::Server.
  void handle(http::Request Request, http::Responder Respond);

  /// From now on, /readyz answers 503, so that the load balancer sends no new callers. Requests are
  /// still served.
  void reportNotReady();

  /// From now on, refuses new requests with the error Stopping.
  void refuseNewRequests();

  /// \returns the number of requests without an answer.
  std::int64_t inFlight() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::gateway

#endif // MASTICDRIFT_GATEWAY_CALLERAPI_H
