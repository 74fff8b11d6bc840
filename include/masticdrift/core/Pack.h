/// \file
/// msgpack encoding and decoding of structs that declare MSGPACK_DEFINE_ARRAY.
#ifndef MASTICDRIFT_CORE_PACK_H
#define MASTICDRIFT_CORE_PACK_H

#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace masticdrift::core {

/// \returns \p Value encoded as msgpack.
template <typename T> std::string pack(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

/// Decodes untrusted input.
///
/// \param Bytes the encoded value.
/// \returns the value, or std::nullopt when \p Bytes is not exactly one value of type T.
template <typename T> std::optional<T> unpack(std::string_view Bytes) {
  // Limits the memory that forged length fields can make the decoder allocate.
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
