/// \file
/// Messages between daemons: the closed list of kinds and one struct for each.
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

/// Kind of a message. The numbers are on the wire and never change meaning.
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

/// \returns whether \p Kind answers a request and is matched by its correlation id.
bool isReply(MessageKind Kind);

/// \returns the kind that answers \p Request; nothing for a kind that has no answer.
std::optional<MessageKind> replyTo(MessageKind Request);

/// Frame of every message.
struct Envelope {
  std::uint8_t Kind_ = 0;         ///< a MessageKind
  std::uint64_t Correlation_ = 0; ///< chosen by the requester and repeated in the reply
  std::string Sender_;            ///< instance name
  std::uint64_t Incarnation_ = 0; ///< of the sender
  std::int64_t DeadlineMs_ = 0; ///< time left when the sender handed the message to the connection
  std::int64_t SentMs_ = 0;     ///< sender's boot clock at that moment, comparable only with itself
  std::string Body_;            ///< msgpack of the kind's struct
  MSGPACK_DEFINE_ARRAY(Kind_, Correlation_, Sender_, Incarnation_, DeadlineMs_, SentMs_, Body_)
};

/// Decodes a frame.
///
/// \returns nothing when the bytes are not an envelope of a known kind.
std::optional<Envelope> decodeEnvelope(std::string_view Bytes);

/// Asks for a member's state and, when sent by an owner, for its promise not to claim.
struct Probe {
  std::string Domain_;           ///< of the prober
  bool RequestsPromise_ = false; ///< the prober owns the domain and asks for a promise
  std::uint64_t Term_ = 0;       ///< term for which the promise is asked
  std::uint64_t Version_ = 0;    ///< claim version that the owner has read
  bool RequestsSummary_ = false; ///< the prober is in another domain
  MSGPACK_DEFINE_ARRAY(Domain_, RequestsPromise_, Term_, Version_, RequestsSummary_)
};

/// What a representative knows of one member of its domain.
struct MemberSummary {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t ConfigOffset_ = 0;
  bool ConfirmsConfig_ = false;
  std::int64_t AgeMs_ = 0; ///< since the probe that the member answered was sent
  MSGPACK_DEFINE_ARRAY(Name_, Incarnation_, ConfigOffset_, ConfirmsConfig_, AgeMs_)
};

/// State of the replier.
struct ProbeReply {
  std::string Domain_;
  std::uint64_t ConfigOffset_ = 0;
  std::int64_t StoreAgeMs_ = -1; ///< since its last complete config read was sent; -1 for never
  bool ConfirmsConfig_ = false;  ///< it can confirm its configuration (design, section 9)
  std::string Owner_;            ///< owner of its domain, empty when none is known
  std::uint64_t Term_ = 0;
  core::Resources Free_;               ///< free capacity of its domain, filled by owners
  std::int64_t FreeSlots_ = 0;         ///< free executor slots, filled by owners
  bool PromiseGranted_ = false;        ///< answer to Probe::RequestsPromise_
  std::uint64_t PromiseTerm_ = 0;      ///< term of the promise
  std::vector<MemberSummary> Members_; ///< of its domain, only when asked for
  MSGPACK_DEFINE_ARRAY(Domain_, ConfigOffset_, StoreAgeMs_, ConfirmsConfig_, Owner_, Term_, Free_,
                       FreeSlots_, PromiseGranted_, PromiseTerm_, Members_)
};

/// An interactive request on its way to an owner.
struct Forward {
  std::string RequestId_;
  std::string Team_;
  std::string KeyId_; ///< id of the key, never the key
  std::string Queue_;
  std::string Pool_;
  bool Idempotent_ = false;
  std::int64_t DeadlineMs_ = 0; ///< time left for the request
  std::uint32_t HopCount_ = 0;
  std::string Body_;
  std::string ContentType_;
  MSGPACK_DEFINE_ARRAY(RequestId_, Team_, KeyId_, Queue_, Pool_, Idempotent_, DeadlineMs_,
                       HopCount_, Body_, ContentType_)
};

/// Outcome of an interactive request, a closed list.
enum class Outcome : std::uint8_t { Completed = 1, RefusedNotRun = 2, Failed = 3, Unknown = 4 };

/// The outcome of a forwarded request.
struct Answer {
  std::uint8_t Outcome_ = static_cast<std::uint8_t>(Outcome::Unknown);
  std::int32_t ErrorKind_ = 0; ///< a core::ErrorKind
  std::int32_t Status_ = 0;    ///< HTTP status of the upstream
  std::string ContentType_;
  std::string Body_;
  std::string Message_;       ///< for people
  std::uint8_t RunState_ = 0; ///< a core::RunState
  MSGPACK_DEFINE_ARRAY(Outcome_, ErrorKind_, Status_, ContentType_, Body_, Message_, RunState_)
};

/// Tells an owner that its stream has grown.
struct Notice {
  std::string Stream_;
  std::uint64_t Offset_ = 0;
  MSGPACK_DEFINE_ARRAY(Stream_, Offset_)
};

/// Reads a job at the owner; \p Text_ is JSON.
struct JobQuery {
  std::string Text_;
  MSGPACK_DEFINE_ARRAY(Text_)
};

/// Answer to JobQuery.
struct JobReply {
  std::int32_t ErrorKind_ = 0;
  std::string Text_; ///< JSON
  MSGPACK_DEFINE_ARRAY(ErrorKind_, Text_)
};

/// Reads an owner's status; \p Text_ is JSON.
struct StatusQuery {
  std::string Text_;
  MSGPACK_DEFINE_ARRAY(Text_)
};

/// Answer to StatusQuery.
struct StatusReply {
  std::int32_t ErrorKind_ = 0;
  std::string Text_; ///< JSON
  MSGPACK_DEFINE_ARRAY(ErrorKind_, Text_)
};

/// Asks a peer for its configuration when the store cannot be reached.
struct ConfigFetch {
  std::uint64_t KnownConfigOffset_ = 0; ///< config offset of the asker
  MSGPACK_DEFINE_ARRAY(KnownConfigOffset_)
};

/// A peer's replayed configuration state.
struct ConfigCopy {
  bool Present_ = false; ///< false when the peer is not caught up itself
  std::uint64_t Offset_ = 0;
  std::string State_; ///< encoded by package config
  MSGPACK_DEFINE_ARRAY(Present_, Offset_, State_)
};

/// A claimant outside the owner's member view asks a member inside it.
struct ConsentRequest {
  std::uint64_t Term_ = 0;    ///< term of the lapsed owner
  std::uint64_t Version_ = 0; ///< claim version that the claim will name
  MSGPACK_DEFINE_ARRAY(Term_, Version_)
};

/// Answer to ConsentRequest.
struct Consent {
  bool Granted_ = false;
  std::uint64_t Term_ = 0;
  std::uint64_t Version_ = 0;
  MSGPACK_DEFINE_ARRAY(Granted_, Term_, Version_)
};

/// Sent to all daemons before a configuration or a revocation is appended.
struct Pending {
  std::uint64_t Version_ = 0;
  std::string Submitter_;
  MSGPACK_DEFINE_ARRAY(Version_, Submitter_)
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_MESSAGES_H
