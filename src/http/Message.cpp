#include "masticdrift/http/Message.h"

#include <algorithm>
#include <cctype>

namespace masticdrift::http {

namespace {

bool sameIgnoringCase(std::string_view A, std::string_view B) {
  return std::ranges::equal(
      A, B, [](unsigned char X, unsigned char Y) { return std::tolower(X) == std::tolower(Y); });
}

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string percentDecode(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const bool Escaped = Text[I] == '%' && I + 2 < Text.size() && hexDigit(Text[I + 1]) >= 0 &&
                         hexDigit(Text[I + 2]) >= 0;
    if (!Escaped) {
      Decoded += Text[I];
      continue;
    }
    Decoded += static_cast<char>(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2]));
    I += 2;
  }
  return Decoded;
}

} // namespace

std::string_view findHeader(const Headers &HeaderList, std::string_view Name) {
  for (const auto &[Key, Value] : HeaderList)
    if (sameIgnoringCase(Key, Name))
      return Value;
  return {};
}

std::string queryValue(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    const std::size_t End = std::min(Query.find('&'), Query.size());
    const std::string_view Pair = Query.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos ? "" : percentDecode(Pair.substr(Equals + 1));
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return {};
}

std::string percentEncode(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (const char Byte : Text) {
    if ((Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'z') ||
        (Byte >= 'A' && Byte <= 'Z') ||
        std::string_view("-._~/").find(Byte) != std::string_view::npos) {
      Encoded += Byte;
      continue;
    }
    const auto Value = static_cast<unsigned char>(Byte);
    Encoded += '%';
    Encoded += Digits[Value >> 4U];
    Encoded += Digits[Value & 0xfU];
  }
  return Encoded;
}

std::vector<std::string> pathSegments(std::string_view Path) {
  std::vector<std::string> Segments;
  while (!Path.empty()) {
    const std::size_t End = std::min(Path.find('/'), Path.size());
    if (End > 0)
      Segments.push_back(percentDecode(Path.substr(0, End)));
    Path.remove_prefix(std::min(End + 1, Path.size()));
  }
  return Segments;
}

} // namespace masticdrift::http
