#include "masticdrift/journal/Batch.h"

#include <utility>

namespace masticdrift::journal {

namespace {

/// Decodes an array with exactly one element per field. Decoding to std::tuple would accept shorter
/// arrays.
template <typename... T> void convertArray(const msgpack::object &Object, T &...Fields) {
  if (Object.type != msgpack::type::ARRAY || Object.via.array.size != sizeof...(Fields))
    throw msgpack::type_error();
  const msgpack::object *Element = Object.via.array.ptr;
  (Element++->convert(Fields), ...);
}

struct WireEntry {
  std::uint8_t Type_ = 0;
  std::string Body_;
  void msgpack_unpack(const msgpack::object &Object) { convertArray(Object, Type_, Body_); }
};

struct WireBatch {
  std::string Writer_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  std::vector<WireEntry> Entries_;
  void msgpack_unpack(const msgpack::object &Object) {
    convertArray(Object, Writer_, Incarnation_, Sequence_, Entries_);
  }
};

} // namespace

std::string encodeBatch(const Batch &Value) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(4);
  Packer.pack(Value.Writer_);
  Packer.pack(Value.Incarnation_);
  Packer.pack(Value.Sequence_);
  Packer.pack_array(static_cast<std::uint32_t>(Value.Entries_.size()));
  for (const Entry &BatchEntry : Value.Entries_) {
    Packer.pack_array(2);
    Packer.pack(static_cast<std::uint8_t>(BatchEntry.Type_));
    // Encoded as bin instead of str: the body is msgpack, not text.
    Packer.pack_bin(static_cast<std::uint32_t>(BatchEntry.Body_.size()));
    Packer.pack_bin_body(BatchEntry.Body_.data(),
                         static_cast<std::uint32_t>(BatchEntry.Body_.size()));
  }
  return {Buffer.data(), Buffer.size()};
}

std::optional<Batch> decodeBatch(std::string_view Bytes) {
  auto Wire = core::unpack<WireBatch>(Bytes);
  if (!Wire)
    return std::nullopt;
  Batch Result{std::move(Wire->Writer_), Wire->Incarnation_, Wire->Sequence_, {}};
  Result.Entries_.reserve(Wire->Entries_.size());
  for (WireEntry &BatchEntry : Wire->Entries_)
    Result.Entries_.push_back(
        {static_cast<RecordType>(BatchEntry.Type_), std::move(BatchEntry.Body_)});
  return Result;
}

} // namespace masticdrift::journal
