/// \file
/// Selects the domain for a received interactive request and forwards it to the domain's owner.
#ifndef MASTICDRIFT_ROUTING_ROUTER_H
#define MASTICDRIFT_ROUTING_ROUTER_H

#include "masticdrift/protocol/Link.h"
#include "masticdrift/routing/Dispatcher.h"
#include "masticdrift/routing/DomainRanking.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace masticdrift::routing {

struct RouterOptions {
  std::string InstanceName_;
  std::string Domain_;
  std::string Region_;
  std::int64_t RetryPercent_ = 10;
  /// How long after the deadline an owner's answer is awaited before the outcome counts as unknown.
  core::Duration AnswerGrace_ = core::Millis(250);
};

/// Sends requests to the owner of a domain and serves forwarded ones. A request is forwarded at
/// most once. Thread-safe.
class Router {
public:
  /// \param ListDomains returns the currently known state of all domains.
  Router(RouterOptions Options, protocol::Link &PeerLink, Dispatcher &LocalDispatcher,
         std::function<std::vector<DomainView>()> ListDomains);
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;
  ~Router();

  /// Serves a request in the best-ranked domain that accepts it. \p OnDone is called exactly once.
  void submit(InteractiveRequest Request, OutcomeCallback OnDone);

  /// Serves a request that another daemon forwarded.
  void onForward(const protocol::Envelope &Message);

  /// \returns the number of domains whose owner is reachable.
  std::size_t reachableDomains() const;

  /// From now on, refuses forwarded requests with the error Stopping.
  void refuseForwards();

  /// \returns the number of accepted requests without an answer, direct and forwarded ones.
  std::int64_t inFlight() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::routing

#endif // MASTICDRIFT_ROUTING_ROUTER_H
