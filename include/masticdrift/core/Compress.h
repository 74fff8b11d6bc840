/// \file
/// Compression of large messages between daemons.
#ifndef MASTICDRIFT_CORE_COMPRESS_H
#define MASTICDRIFT_CORE_COMPRESS_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace masticdrift::core {

/// \returns \p Text in the zlib format, compressed at its fastest level.
std::string compress(std::string_view Text);

/// \param Size size of the result.
/// \returns the text that compress() was called with; nothing when \p Compressed is damaged or does
/// not contain \p Size bytes.
std::optional<std::string> decompress(std::string_view Compressed, std::size_t Size);

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_COMPRESS_H
