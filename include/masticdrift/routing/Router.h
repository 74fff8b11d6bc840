/// \file
/// Receiver side of interactive requests: chooses the domain and forwards to its owner.
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
  /// Time that an owner's answer may take after the deadline before the outcome counts as unknown.
  core::Duration AnswerGrace_ = core::Millis(250);
};

/// Sends requests to the owner of a domain, one hop, and receives forwarded ones. Thread-safe.
class Router {
public:
  /// \param ListDomains returns what is known of all domains now.
  Router(RouterOptions Options, protocol::Link &PeerLink, Dispatcher &LocalDispatcher,
         std::function<std::vector<DomainView>()> ListDomains);
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;
  ~Router();

  /// Serves a request in the nearest domain that can. \p OnDone is called exactly once.
  void submit(InteractiveRequest Request, OutcomeCallback OnDone);

  /// Serves a Forward message of another daemon.
  void onForward(const protocol::Envelope &Message);

  /// \returns the number of domains whose owner is reachable now.
  std::size_t reachableDomains() const;

  /// Refuses forwarded requests with Stopping from here on.
  void refuseForwards();

  /// \returns requests accepted here and not answered, own and forwarded ones.
  std::int64_t inFlight() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::routing

#endif // MASTICDRIFT_ROUTING_ROUTER_H
