#include "masticdrift/journal/Batch.h"

#include <tuple>
#include <utility>

namespace masticdrift::journal {

namespace {

using WireEntry = std::tuple<std::uint8_t, std::string>;
using WireBatch = std::tuple<std::string, std::uint64_t, std::uint64_t, std::vector<WireEntry>>;

} // namespace

std::string encodeBatch(const Batch &Value) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(4);
  Packer.pack(Value.Writer_);
  Packer.pack(Value.Incarnation_);
  Packer.pack(Value.Sequence_);
  Packer.pack_array(static_cast<std::uint32_t>(Value.Entries_.size()));
  for (const Entry &One : Value.Entries_) {
    Packer.pack_array(2);
    Packer.pack(static_cast<std::uint8_t>(One.Type_));
    // Bin and not str: the body is msgpack, not text.
    Packer.pack_bin(static_cast<std::uint32_t>(One.Body_.size()));
    Packer.pack_bin_body(One.Body_.data(), static_cast<std::uint32_t>(One.Body_.size()));
  }
  return {Buffer.data(), Buffer.size()};
}

std::optional<Batch> decodeBatch(std::string_view Bytes) {
  auto Wire = core::unpack<WireBatch>(Bytes);
  if (!Wire)
    return std::nullopt;
  Batch Result;
  Result.Writer_ = std::move(std::get<0>(*Wire));
  Result.Incarnation_ = std::get<1>(*Wire);
  Result.Sequence_ = std::get<2>(*Wire);
  Result.Entries_.reserve(std::get<3>(*Wire).size());
  for (WireEntry &One : std::get<3>(*Wire))
    Result.Entries_.push_back(
        {static_cast<RecordType>(std::get<0>(One)), std::move(std::get<1>(One))});
  return Result;
}

} // namespace masticdrift::journal
