/// \file
/// Record types of the "config" stream.
#ifndef MASTICDRIFT_CONFIG_RECORDS_H
#define MASTICDRIFT_CONFIG_RECORDS_H

#include "masticdrift/config/Configuration.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/journal/RecordType.h"

#include <cstdint>
#include <string>

namespace masticdrift::config {

/// Submits a new version of the configuration. Accepted only when BaseVersion_ is the current
/// version at the record's offset. Exactly one of Delta_ and Text_ is not empty.
struct Submit {
  static constexpr auto Type = journal::RecordType::Submit;
  std::string SubmissionId_;      ///< idempotency key; a record with a known id is ignored
  std::uint64_t Version_ = 0;     ///< BaseVersion_ + 1
  std::uint64_t BaseVersion_ = 0; ///< 0 for the first version
  std::string Author_;
  std::int64_t WallMs_ = 0;
  std::string Delta_; ///< RFC 6902 patch to the canonical text of the base version
  std::string Text_;
  MSGPACK_DEFINE_ARRAY(SubmissionId_, Version_, BaseVersion_, Author_, WallMs_, Delta_, Text_)
};

/// Adds a key of a team.
struct KeyGrant {
  static constexpr auto Type = journal::RecordType::KeyGrant;
  std::string Team_, KeyId_, Hash_, Author_;
  std::int64_t WallMs_ = 0;
  MSGPACK_DEFINE_ARRAY(Team_, KeyId_, Hash_, Author_, WallMs_)
};

/// Revokes a key.
struct KeyRevoke {
  static constexpr auto Type = journal::RecordType::KeyRevoke;
  std::string KeyId_, Author_;
  std::int64_t WallMs_ = 0;
  MSGPACK_DEFINE_ARRAY(KeyId_, Author_, WallMs_)
};

/// Transfers part of a team's allotment to another domain. The owner of FromDomain_ writes it after
/// it has lowered its own use.
struct AllotmentTransfer {
  static constexpr auto Type = journal::RecordType::Give;
  std::string Team_, FromDomain_, ToDomain_;
  Limit Amount_;
  std::uint64_t LimitVersion_ = 0; ///< ConfigState::limitVersion() at the time of the transfer
  MSGPACK_DEFINE_ARRAY(Team_, FromDomain_, ToDomain_, Amount_, LimitVersion_)
};

/// One part of a snapshot from ConfigState::encode().
struct ConfigSnapshot {
  static constexpr auto Type = journal::RecordType::ConfigSnapshot;
  std::uint64_t BaseOffset_ = 0; ///< last offset whose records the snapshot contains
  std::uint32_t PartIndex_ = 0, PartCount_ = 0;
  std::string Bytes_;
  MSGPACK_DEFINE_ARRAY(BaseOffset_, PartIndex_, PartCount_, Bytes_)
};

/// \returns \p Record serialized as a log entry.
template <typename T> journal::Entry makeEntry(const T &Record) {
  return {T::Type, core::pack(Record)};
}

} // namespace masticdrift::config

#endif // MASTICDRIFT_CONFIG_RECORDS_H
