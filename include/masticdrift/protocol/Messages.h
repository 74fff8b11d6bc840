/// \file
/// Messages between daemons: the message kinds and the body struct of each kind.
#ifndef MASTICDRIFT_PROTOCOL_MESSAGES_H
#define MASTICDRIFT_PROTOCOL_MESSAGES_H

#include "masticdrift/core/Pack.h"
#include "masticdrift/core/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::protocol {

/// Message kinds. The numbers are part of the wire format and are never reused.
enum class MessageKind : std::uint8_t {
  Probe = 1,
  ProbeReply = 2,
  Forward = 3,
  Answer = 4,
  Notice = 5,
  JobQuery = 6,
  JobReply = 7,
  StatusQuery = 8,
  StatusReply = 9,
  ConfigFetch = 10,
  ConfigCopy = 11,
  ConsentRequest = 12,
  Consent = 13,
  Pending = 14,
};

/// \returns whether \p Kind is a reply, which is matched to its request by correlation id.
bool isReply(MessageKind Kind);

/// \returns the reply kind of \p Request; nothing for a kind without a reply.
std::optional<MessageKind> replyTo(MessageKind Request);

/// Header and body of every message.
struct Envelope {
  std::uint8_t Kind_ = 0;         ///< MessageKind
  std::uint64_t Correlation_ = 0; ///< set by the requester and copied to the reply
  std::string Sender_;            ///< instance name of the sender
  std::uint64_t Incarnation_ = 0; ///< incarnation of the sender
  std::int64_t DeadlineMs_ =
      0; ///< remaining time when the sender passed the message to the connection
  std::int64_t SentMs_ =
      0; ///< boot clock of the sender at that moment; comparable only with its own times
  std::string Body_; ///< msgpack of the kind's struct
  MSGPACK_DEFINE_ARRAY(Kind_, Correlation_, Sender_, Incarnation_, DeadlineMs_, SentMs_, Body_)
};

/// Decodes an envelope.
///
/// \returns the envelope; nothing when \p Bytes are not a valid envelope of a known kind.
std::optional<Envelope> decodeEnvelope(std::string_view Bytes);

/// Requests the state of a member and, from an owner, its promise not to claim the domain.
struct Probe {
  std::string Domain_;           ///< domain of the prober
  bool RequestsPromise_ = false; ///< the prober owns the domain and requests a promise
  std::uint64_t Term_ = 0;       ///< term of the requested promise
  std::uint64_t Version_ = 0;    ///< claim version that the owner has read
  bool RequestsSummary_ = false; ///< the prober is in another domain
  MSGPACK_DEFINE_ARRAY(Domain_, RequestsPromise_, Term_, Version_, RequestsSummary_)
};

/// State of one domain member as reported by the representative of the domain.
struct MemberSummary {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t ConfigOffset_ = 0;
  bool ConfirmsConfig_ = false;
  std::int64_t AgeMs_ = 0; ///< time since the probe that the member answered was sent
  MSGPACK_DEFINE_ARRAY(Name_, Incarnation_, ConfigOffset_, ConfirmsConfig_, AgeMs_)
};

/// Reply to Probe: state of the replier.
struct ProbeReply {
  std::string Domain_;
  std::uint64_t ConfigOffset_ = 0;
  std::int64_t StoreAgeMs_ = -1; ///< time since its last complete config read was sent; -1: never
  bool ConfirmsConfig_ = false;  ///< it can confirm its configuration (design, section 9)
  std::string Owner_;            ///< owner of its domain, empty when none is known
  std::uint64_t Term_ = 0;
  core::Resources Free_;               ///< free capacity of its domain, filled by owners
  std::int64_t FreeSlots_ = 0;         ///< free executor slots, filled by owners
  bool PromiseGranted_ = false;        ///< reply to Probe::RequestsPromise_
  std::uint64_t PromiseTerm_ = 0;      ///< term of the promise
  std::vector<MemberSummary> Members_; ///< members of its domain, only on request
  MSGPACK_DEFINE_ARRAY(Domain_, ConfigOffset_, StoreAgeMs_, ConfirmsConfig_, Owner_, Term_, Free_,
                       FreeSlots_, PromiseGranted_, PromiseTerm_, Members_)
};

/// Interactive request that is forwarded to the owner of a domain.
struct Forward {
  std::string RequestId_;
  std::string Team_;
  std::string KeyId_; ///< id of the key, never the key itself
  std::string Queue_;
  std::string Pool_;
  bool Idempotent_ = false;
  std::int64_t DeadlineMs_ = 0; ///< remaining time of the request
  std::uint32_t HopCount_ = 0;
  std::string Body_;
  std::string ContentType_;
  MSGPACK_DEFINE_ARRAY(RequestId_, Team_, KeyId_, Queue_, Pool_, Idempotent_, DeadlineMs_,
                       HopCount_, Body_, ContentType_)
};

/// Outcome of an interactive request.
enum class Outcome : std::uint8_t { Completed = 1, RefusedNotRun = 2, Failed = 3, Unknown = 4 };

/// Reply to Forward: outcome of the request.
struct Answer {
  std::uint8_t Outcome_ = static_cast<std::uint8_t>(Outcome::Unknown);
  std::int32_t ErrorKind_ = 0; ///< a core::ErrorKind
  std::int32_t Status_ = 0;    ///< HTTP status of the upstream
  std::string ContentType_;
  std::string Body_;
  std::string Message_;       ///< human-readable
  std::uint8_t RunState_ = 0; ///< core::RunState
  MSGPACK_DEFINE_ARRAY(Outcome_, ErrorKind_, Status_, ContentType_, Body_, Message_, RunState_)
};

/// Announces that a record was appended to a stream, so that the recipients read it before their
/// next poll. Sent to all peers for the configuration and to the owner for a domain's stream.
struct Notice {
  std::string Stream_;
  std::uint64_t Offset_ = 0; ///< offset of the appended record
  MSGPACK_DEFINE_ARRAY(Stream_, Offset_)
};

/// Requests the state of a job from the owner.
struct JobQuery {
  std::string Text_; ///< JSON object with the parameters of the query
  MSGPACK_DEFINE_ARRAY(Text_)
};

/// Reply to JobQuery.
struct JobReply {
  std::int32_t ErrorKind_ = 0; ///< a core::ErrorKind, 0 on success
  std::string Text_;           ///< JSON reply; the error message when ErrorKind_ is not 0
  MSGPACK_DEFINE_ARRAY(ErrorKind_, Text_)
};

/// Requests the status of an owner.
struct StatusQuery {
  std::string Text_; ///< JSON
  MSGPACK_DEFINE_ARRAY(Text_)
};

/// Reply to StatusQuery.
struct StatusReply {
  std::int32_t ErrorKind_ = 0;
  std::string Text_; ///< status of the owner as JSON
  MSGPACK_DEFINE_ARRAY(ErrorKind_, Text_)
};

/// Requests the configuration from a peer when the store is unreachable.
struct ConfigFetch {
  std::uint64_t KnownConfigOffset_ = 0; ///< config offset of the requester
  MSGPACK_DEFINE_ARRAY(KnownConfigOffset_)
};

/// Reply to ConfigFetch: the replayed configuration state of the peer.
struct ConfigCopy {
  bool Present_ = false;     ///< false when the peer has not caught up with the log
  std::uint64_t Offset_ = 0; ///< offset of the first record that State_ does not include
  std::string State_;        ///< encoded by package config
  MSGPACK_DEFINE_ARRAY(Present_, Offset_, State_)
};

/// Requests consent to a claim; sent by a claimant outside the owner's member view to a member
/// inside it.
struct ConsentRequest {
  std::uint64_t Term_ = 0;    ///< term of the owner whose lease expired
  std::uint64_t Version_ = 0; ///< claim version on which the claim will be based
  MSGPACK_DEFINE_ARRAY(Term_, Version_)
};

/// Reply to ConsentRequest.
struct Consent {
  bool Granted_ = false;
  std::uint64_t Term_ = 0;
  std::uint64_t Version_ = 0;
  MSGPACK_DEFINE_ARRAY(Granted_, Term_, Version_)
};

/// Announces to all daemons that a configuration or a revocation is about to be appended.
struct Pending {
  std::uint64_t Version_ = 0;
  std::string Submitter_;
  MSGPACK_DEFINE_ARRAY(Version_, Submitter_)
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_MESSAGES_H
