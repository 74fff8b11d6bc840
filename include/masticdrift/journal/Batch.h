/// \file
/// Encoding of a log record, which holds the entries of one group commit.
#ifndef MASTICDRIFT_JOURNAL_BATCH_H
#define MASTICDRIFT_JOURNAL_BATCH_H

#include "masticdrift/core/Pack.h"
#include "masticdrift/journal/RecordType.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::journal {

/// Identifies a batch. A batch that is sent again keeps its identity.
struct BatchInfo {
  std::string Writer_;
  std::uint64_t Incarnation_ = 0; ///< differs between restarts of the same writer
  std::uint64_t Sequence_ = 0;    ///< increases with every batch of an incarnation
};

/// The content of one log record.
struct Batch {
  std::string Writer_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  std::vector<Entry> Entries_;
};

/// \returns \p Value encoded as msgpack [writer, incarnation, sequence, [[type, body], ...]].
std::string encodeBatch(const Batch &Value);

/// \returns the batch, or std::nullopt when \p Bytes is not an encoded batch.
std::optional<Batch> decodeBatch(std::string_view Bytes);

/// Makes an entry from a struct that declares MSGPACK_DEFINE_ARRAY.
template <typename T> Entry makeEntry(RecordType Type, const T &Value) {
  return {Type, core::pack(Value)};
}

} // namespace masticdrift::journal

#endif // MASTICDRIFT_JOURNAL_BATCH_H
