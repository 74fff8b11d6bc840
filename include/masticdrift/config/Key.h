/// \file
/// Keys of teams and operators.
#ifndef MASTICDRIFT_CONFIG_KEY_H
#define MASTICDRIFT_CONFIG_KEY_H

#include <string>
#include <string_view>

namespace masticdrift::config {

/// A key as handed to its holder once. Only KeyId_ and Hash_ may be stored or logged.
struct NewKey {
  std::string KeyId_; ///< "k" and 12 hexadecimal digits
  std::string Text_;  ///< "<key id>.<64 hexadecimal digits>", the secret
  std::string Hash_;  ///< hashKey(Text_)
};

/// \returns a key of 256 random bits.
/// \throws std::runtime_error when the random generator fails.
NewKey newKey();

/// \returns the SHA-256 hash of the whole presented text, 64 hexadecimal digits in lower case.
std::string hashKey(std::string_view Text);

/// \returns the id part of a presented key, or an empty view when it has no id. Safe to log.
std::string_view keyIdOf(std::string_view Text);

/// Compares two hashes in a time that depends only on their length.
bool constantTimeEqual(std::string_view A, std::string_view B);

} // namespace masticdrift::config

#endif // MASTICDRIFT_CONFIG_KEY_H
