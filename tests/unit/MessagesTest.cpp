#include "masticdrift/protocol/Messages.h"
#include "masticdrift/ownership/ClaimTable.h"

#include <random>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::protocol;

namespace {

constexpr std::uint32_t Seed = 20261204;

template <typename T> std::size_t countDecoded(std::string_view Bytes) {
  return core::unpack<T>(Bytes) ? 1 : 0;
}

std::size_t countDecodable(std::string_view Bytes) {
  return (decodeEnvelope(Bytes) ? 1U : 0U) + countDecoded<Probe>(Bytes) +
         countDecoded<ProbeReply>(Bytes) + countDecoded<Forward>(Bytes) +
         countDecoded<Answer>(Bytes) + countDecoded<Notice>(Bytes) + countDecoded<JobQuery>(Bytes) +
         countDecoded<JobReply>(Bytes) + countDecoded<StatusQuery>(Bytes) +
         countDecoded<StatusReply>(Bytes) + countDecoded<ConfigFetch>(Bytes) +
         countDecoded<ConfigCopy>(Bytes) + countDecoded<ConsentRequest>(Bytes) +
         countDecoded<Consent>(Bytes) + countDecoded<Pending>(Bytes);
}

ProbeReply sampleReply() {
  ProbeReply Reply;
  Reply.Domain_ = "lahore-a";
  Reply.ConfigOffset_ = 812;
  Reply.StoreAgeMs_ = 240;
  Reply.ConfirmsConfig_ = true;
  Reply.Owner_ = "entry-2";
  Reply.Term_ = 9;
  Reply.Free_ = {64000, 128000, 2};
  Reply.Members_ = {{"entry-1", 4, 812, true, 31}, {"entry-3", 5, 811, false, 900}};
  return Reply;
}

} // namespace

// Guards against fields that are lost or swapped in encoding or decoding.
Test(Messages, aReplyKeepsItsFields) {
  const auto Decoded = core::unpack<ProbeReply>(core::pack(sampleReply()));
  cr_assert(Decoded.has_value());
  cr_assert_eq(Decoded->Term_, 9U);
  cr_assert_eq(Decoded->Members_.size(), 2U);
  cr_assert_eq(Decoded->Members_[1].AgeMs_, 900);
  cr_assert(Decoded->Free_ == sampleReply().Free_);
}

// Guards against decoding a kind of a later version as a known kind.
Test(Messages, anUnknownKindIsRefused) {
  Envelope Frame;
  Frame.Sender_ = "entry-1";
  for (int Kind = 0; Kind < 256; ++Kind) {
    Frame.Kind_ = static_cast<std::uint8_t>(Kind);
    cr_assert_eq(decodeEnvelope(core::pack(Frame)).has_value(), Kind >= 1 && Kind <= 14, "kind %d",
                 Kind);
  }
}

Test(Messages, everyRequestHasAReplyKind) {
  for (int Kind = 1; Kind <= 14; ++Kind)
    if (const auto Reply = replyTo(static_cast<MessageKind>(Kind)))
      cr_assert(isReply(*Reply) && !isReply(static_cast<MessageKind>(Kind)));
}

// Guards against crashes, hangs and large allocations on malicious input.
Test(Messages, randomBytesAreRefusedOrDecoded) {
  std::mt19937 Random(Seed);
  std::size_t Decoded = 0;
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes(Random() % 200, '\0');
    for (char &Each : Bytes)
      Each = static_cast<char>(Random());
    Decoded += countDecodable(Bytes);
  }
  cr_log_info("seed %u: %zu of the random inputs decoded", Seed, Decoded);
}

// Same failures, with mutated valid messages as input.
Test(Messages, damagedMessagesAreRefusedOrDecoded) {
  std::mt19937 Random(Seed + 1);
  Envelope Frame{2, 77, "entry-1", 3, 1000, 5, core::pack(sampleReply())};
  const std::string Samples[] = {
      core::pack(Frame), core::pack(sampleReply()),
      core::pack(Forward{"r", "t", "k", "q", "p", true, 10, 1, "b", "c"}),
      core::pack(Answer{1, 0, 200, "text/plain", "body", "m", 2})};
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes = Samples[Random() % 4];
    for (auto Mutations = 1 + Random() % 4; Mutations > 0; --Mutations)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    if (Random() % 3 == 0)
      Bytes.resize(Random() % (Bytes.size() + 1));
    (void)countDecodable(Bytes);
  }
  for (const auto &Sample : Samples)
    for (std::size_t Size = 0; Size < Sample.size(); ++Size)
      cr_assert_eq(countDecodable(std::string_view(Sample).substr(0, Size)), 0U,
                   "a truncated message was decoded");
}

// Guards against corrupt log records that stop the replay of a domain.
Test(Messages, damagedOwnershipRecordsAreIgnored) {
  std::mt19937 Random(Seed + 2);
  ownership::ClaimTable Table;
  for (std::uint64_t Offset = 1; Offset < 20'000; ++Offset) {
    std::string Bytes = core::pack(ownership::Renew{"entry-1", 1, 1, 1, 1});
    for (auto Mutations = Random() % 4; Mutations > 0; --Mutations)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    Table.apply(Offset, static_cast<journal::RecordType>(Random() % 7), Bytes);
  }
  cr_assert_eq(Table.state().AppliedOffset_, 19'999U);
  cr_assert(Table.state().Owner_.empty() || Table.state().Term_ > 0);
}
