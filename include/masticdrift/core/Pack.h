/// \file
/// msgpack encoding and decoding of plain structs that carry MSGPACK_DEFINE_ARRAY.
#ifndef MASTICDRIFT_CORE_PACK_H
#define MASTICDRIFT_CORE_PACK_H

#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace masticdrift::core {

/// \returns \p Value as msgpack.
template <typename T> std::string pack(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

/// Decodes input that may come from the network.
///
/// \param Bytes the encoded value.
/// \returns the value, or nothing when the bytes are not exactly one value of this type.
template <typename T> std::optional<T> unpack(std::string_view Bytes) {
  // Bounds what hostile lengths can make the decoder reserve.
  const msgpack::unpack_limit Limits(100'000, 100'000, 64U << 20U, 64U << 20U, 1U << 20U, 32);
  try {
    std::size_t ConsumedBytes = 0;
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), ConsumedBytes, nullptr, nullptr, Limits);
    if (ConsumedBytes != Bytes.size())
      return std::nullopt;
    return Handle.get().as<T>();
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_PACK_H
