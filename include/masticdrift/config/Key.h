/// \file
/// Generation and hashing of API keys of teams and operators.
#ifndef MASTICDRIFT_CONFIG_KEY_H
#define MASTICDRIFT_CONFIG_KEY_H

#include <string>
#include <string_view>

namespace masticdrift::config {

/// A generated key, shown once to its holder. Only KeyId_ and Hash_ may be stored or logged.
struct NewKey {
  std::string KeyId_; ///< "k" and 12 hexadecimal digits
  std::string Text_;  ///< "<key id>.<64 hexadecimal digits>", the secret
  std::string Hash_;  ///< hashKey(Text_)
};

/// Generates a key.
///
/// \returns a key with a secret of 256 random bits.
/// \throws std::runtime_error when the random number generator of OpenSSL fails.
NewKey newKey();

/// \returns the SHA-256 hash of the whole key text as 64 lower-case hexadecimal digits.
std::string hashKey(std::string_view Text);

/// \returns the id part of a key text, which is safe to log, or an empty view when the text is not
/// a well-formed key.
std::string_view keyIdOf(std::string_view Text);

/// Compares two hashes in constant time, so that the duration depends only on their length.
///
/// \returns whether they are equal; false for empty hashes.
bool constantTimeEqual(std::string_view A, std::string_view B);

} // namespace masticdrift::config

#endif // MASTICDRIFT_CONFIG_KEY_H
