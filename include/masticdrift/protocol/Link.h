/// \file
/// Messages between daemons over nng: one pull socket, one push socket for each peer.
#ifndef MASTICDRIFT_PROTOCOL_LINK_H
#define MASTICDRIFT_PROTOCOL_LINK_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Error.h"
#include "masticdrift/protocol/Messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace masticdrift::protocol {

struct LinkOptions {
  std::string Name_; ///< own instance name
  std::uint64_t Incarnation_ = 0;
  std::string ListenAddress_ = "127.0.0.1:0";       ///< port 0 lets the kernel choose
  std::size_t MaxQueuedMessages_ = 1024;            ///< for each peer
  std::size_t MaxQueuedBytes_ = 8U << 20U;          ///< for each peer
  std::size_t MaxMessageBytes_ = 4U << 20U;         ///< encoded size
  core::Duration SendTimeout_ = core::Millis(5000); ///< deadline of messages sent without one
};

/// Sends and receives messages. All methods are thread-safe.
///
/// A message is sent at most once: it waits in a bounded queue of its peer until the connection
/// takes it and is never repeated. Callbacks and the handler must not block.
class Link {
public:
  /// Receives messages that are not replies. Runs on one of the two threads of the link.
  using Handler = std::function<void(const Envelope &Message)>;
  /// Receives the reply, or an error with an empty envelope.
  using Callback = std::function<void(std::error_code Error, const Envelope &Reply)>;

  /// Listens and starts to receive.
  ///
  /// Errors: throws std::runtime_error when the address cannot be used.
  Link(LinkOptions Options, Handler OnMessage);
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  ~Link();

  /// \returns the port that is listened on.
  std::uint16_t port() const;

  /// Sets or changes the address of a peer and dials it without blocking.
  ///
  /// \param Peer instance name.
  /// \param Address "host:port".
  void setRoute(std::string_view Peer, std::string_view Address);

  /// Closes the connection to \p Peer and forgets its address.
  void removeRoute(std::string_view Peer);

  /// Replaces the connection to \p Peer by a new one. Messages that the old one has not taken are
  /// dropped, their calls fail with PeerUnreachable.
  void reconnect(std::string_view Peer);

  /// \returns whether a connection to \p Peer is established.
  bool connected(std::string_view Peer) const;

  /// Queues a message.
  ///
  /// \returns success; PeerUnreachable when the peer is unknown, not connected or its queue is
  /// full, BodyTooLarge, Stopping. An error means that nothing was sent.
  std::error_code send(std::string_view Peer, MessageKind Kind, std::uint64_t Correlation,
                       std::string Body);

  /// Sends a reply to the sender of \p Request with its correlation id and remaining time.
  ///
  /// \returns as send().
  std::error_code reply(const Envelope &Request, MessageKind Kind, std::string Body);

  /// Sends a request and waits for its reply without blocking.
  ///
  /// \param Done called exactly once, on a thread of the link; from within call() only after
  /// stop(). Errors: PeerUnreachable, BodyTooLarge and Stopping mean that nothing was sent;
  /// OutcomeUnknown means that the peer may have received it (no reply within \p Timeout, or the
  /// link was stopped).
  void call(std::string_view Peer, MessageKind Kind, std::string Body, core::Duration Timeout,
            Callback Done);

  /// Closes all connections, fails open calls and joins the threads. Idempotent; must not be
  /// called from the handler or a callback.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_LINK_H
