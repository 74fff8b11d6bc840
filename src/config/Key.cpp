#include "masticdrift/config/Key.h"

#include <algorithm>
#include <array>
#include <span>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace masticdrift::config {

namespace {

constexpr std::size_t IdDigits = 12;
constexpr std::size_t SecretBytes = 32;

std::string hex(std::span<const unsigned char> Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Result;
  Result.reserve(Bytes.size() * 2);
  for (const unsigned char Byte : Bytes) {
    Result += Digits[Byte >> 4U];
    Result += Digits[Byte & 15U];
  }
  return Result;
}

} // namespace

NewKey newKey() {
  std::array<unsigned char, IdDigits / 2> Id{};
  std::array<unsigned char, SecretBytes> Secret{};
  if (RAND_bytes(Id.data(), Id.size()) != 1 || RAND_bytes(Secret.data(), Secret.size()) != 1)
    throw std::runtime_error("RAND_bytes of OpenSSL failed to generate a key");
  NewKey Key;
  Key.KeyId_ = "k" + hex(Id);
  Key.Text_ = Key.KeyId_ + "." + hex(Secret);
  Key.Hash_ = hashKey(Key.Text_);
  OPENSSL_cleanse(Secret.data(), Secret.size());
  return Key;
}

std::string hashKey(std::string_view Text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(), Digest.data());
  return hex(Digest);
}

std::string_view keyIdOf(std::string_view Text) {
  const std::string_view Id = Text.substr(0, IdDigits + 1);
  const bool HasId = Text.size() > IdDigits + 1 && Text[IdDigits + 1] == '.' && Id[0] == 'k' &&
                     std::ranges::all_of(Id.substr(1), [](char C) {
                       return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
                     });
  return HasId ? Id : std::string_view();
}

bool constantTimeEqual(std::string_view A, std::string_view B) {
  return A.size() == B.size() && !A.empty() && CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace masticdrift::config
