/// \file
/// Message transport between daemons over nng: one pull socket for incoming messages and one push
/// socket per peer.
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

/// Settings of a Link.
struct LinkOptions {
  std::string Name_;                                ///< instance name of this daemon
  std::uint64_t Incarnation_ = 0;                   ///< increases with each start of the instance
  std::string ListenAddress_ = "127.0.0.1:0";       ///< "host:port"; port 0 selects a free port
  std::size_t MaxQueuedMessages_ = 1024;            ///< per peer
  std::size_t MaxQueuedBytes_ = 8U << 20U;          ///< per peer, message bodies only
  std::size_t MaxMessageBytes_ = 4U << 20U;         ///< largest message body
  core::Duration SendTimeout_ = core::Millis(5000); ///< deadline of messages sent by send()
};

/// Sends messages to peers and receives theirs. All methods are thread-safe.
///
/// Delivery is at most once: a message waits in the bounded queue of its peer until the connection
/// accepts it, and is never retransmitted. Callbacks and the handler must not block.
class Link {
public:
  /// Handles messages that are not replies. Runs on one of the two receiver threads.
  using Handler = std::function<void(const Envelope &Message)>;
  /// Completes a call with its reply, or with an error and an empty envelope.
  using Callback = std::function<void(std::error_code Error, const Envelope &Reply)>;

  /// Binds the listening socket and starts the receiver threads.
  ///
  /// \throws std::runtime_error when the address cannot be bound.
  Link(LinkOptions Options, Handler OnMessage);
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  ~Link();

  /// \returns the TCP port that the link listens on.
  std::uint16_t port() const;

  /// Sets or changes the address of a peer and starts to connect to it without blocking.
  ///
  /// \param Peer instance name.
  /// \param Address "host:port".
  void setRoute(std::string_view Peer, std::string_view Address);

  /// Closes the connection to \p Peer and forgets its address.
  void removeRoute(std::string_view Peer);

  /// Replaces the connection to \p Peer with a new one. Messages that the old connection has not
  /// accepted are dropped and their calls fail with PeerUnreachable.
  void reconnect(std::string_view Peer);

  /// \returns whether a connection to \p Peer is established.
  bool connected(std::string_view Peer) const;

  /// Queues a message that expects no reply.
  ///
  /// \returns success, or an error that means that nothing was sent: PeerUnreachable (unknown peer,
  /// not connected, or queue full), BodyTooLarge or Stopping.
  std::error_code send(std::string_view Peer, MessageKind Kind, std::uint64_t Correlation,
                       std::string Body);

  /// Sends a reply to the sender of \p Request, with the request's correlation id and remaining
  /// time.
  ///
  /// \returns the same results as send().
  std::error_code reply(const Envelope &Request, MessageKind Kind, std::string Body);

  /// Sends a request asynchronously and reports its reply to \p Done.
  ///
  /// \param Done called exactly once, on a thread of the link, or from within call() when the link
  /// has been stopped. Errors: PeerUnreachable, BodyTooLarge and Stopping mean that nothing was
  /// sent; OutcomeUnknown means that the peer may have received the request (no reply within
  /// \p Timeout, or the link was stopped).
  void call(std::string_view Peer, MessageKind Kind, std::string Body, core::Duration Timeout,
            Callback Done);

  /// Closes all connections, fails pending calls and joins the threads. Idempotent. Must not be
  /// called from the handler or a callback.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_LINK_H
