#include "masticdrift/core/Compress.h"

#include <zlib.h>

namespace masticdrift::core {

namespace {

const Bytef *bytesOf(std::string_view Text) { return reinterpret_cast<const Bytef *>(Text.data()); }

Bytef *bytesOf(std::string &Text) { return reinterpret_cast<Bytef *>(Text.data()); }

} // namespace

std::string compress(std::string_view Text) {
  uLongf Size = compressBound(Text.size());
  std::string Compressed(Size, '\0');
  // Fails only without memory or with too small a buffer.
  if (compress2(bytesOf(Compressed), &Size, bytesOf(Text), Text.size(), Z_BEST_SPEED) != Z_OK)
    Size = 0;
  Compressed.resize(Size);
  return Compressed;
}

std::optional<std::string> decompress(std::string_view Compressed, std::size_t Size) {
  std::string Text(Size, '\0');
  uLongf Decompressed = Size;
  if (uncompress(bytesOf(Text), &Decompressed, bytesOf(Compressed), Compressed.size()) != Z_OK ||
      Decompressed != Size)
    return std::nullopt;
  return Text;
}

} // namespace masticdrift::core
