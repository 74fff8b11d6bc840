/// \file
/// Numbers of all record types in the log, in one list so that no two packages reuse a number.
#ifndef MASTICDRIFT_JOURNAL_RECORDTYPE_H
#define MASTICDRIFT_JOURNAL_RECORDTYPE_H

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace masticdrift::journal {

/// Type of one record. The numbers are stored in the log and must never be reused.
enum class RecordType : std::uint8_t {
  // Package ownership, domain streams.
  Join = 1,
  Leave = 2,
  Claim = 3,
  Renew = 4,
  Release = 5,
  Evict = 6,
  // Package jobs, domain streams.
  Accept = 20,
  Cancel = 21,
  Start = 22,
  End = 23,
  Hold = 24,
  Snapshot = 25,
  // Package config, stream "config".
  Submit = 50,
  KeyGrant = 51,
  KeyRevoke = 52,
  Give = 53,
  ConfigSnapshot = 54,
};

/// One record: its type and the msgpack encoding of its struct.
struct Entry {
  RecordType Type_{};
  std::string Body_;
};

} // namespace masticdrift::journal

#endif // MASTICDRIFT_JOURNAL_RECORDTYPE_H
