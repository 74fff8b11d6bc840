#include "masticdrift/protocol/Messages.h"

namespace masticdrift::protocol {

namespace {

constexpr auto FirstKind = static_cast<std::uint8_t>(MessageKind::Probe);
constexpr auto LastKind = static_cast<std::uint8_t>(MessageKind::Pending);

} // namespace

bool isReply(MessageKind Kind) {
  switch (Kind) {
  case MessageKind::ProbeReply:
  case MessageKind::Answer:
  case MessageKind::JobReply:
  case MessageKind::StatusReply:
  case MessageKind::ConfigCopy:
  case MessageKind::Consent:
    return true;
  default:
    return false;
  }
}

std::optional<MessageKind> replyTo(MessageKind Request) {
  switch (Request) {
  case MessageKind::Probe:
    return MessageKind::ProbeReply;
  case MessageKind::Forward:
    return MessageKind::Answer;
  case MessageKind::JobQuery:
    return MessageKind::JobReply;
  case MessageKind::StatusQuery:
    return MessageKind::StatusReply;
  case MessageKind::ConfigFetch:
    return MessageKind::ConfigCopy;
  case MessageKind::ConsentRequest:
    return MessageKind::Consent;
  default:
    return std::nullopt;
  }
}

std::optional<Envelope> decodeEnvelope(std::string_view Bytes) {
  auto Frame = core::unpack<Envelope>(Bytes);
  if (!Frame || Frame->Kind_ < FirstKind || Frame->Kind_ > LastKind || Frame->Sender_.empty())
    return std::nullopt;
  return Frame;
}

} // namespace masticdrift::protocol
