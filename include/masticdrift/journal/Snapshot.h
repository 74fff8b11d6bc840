/// \file
/// Snapshots of replayed state, written into the stream in parts.
#ifndef MASTICDRIFT_JOURNAL_SNAPSHOT_H
#define MASTICDRIFT_JOURNAL_SNAPSHOT_H

#include "masticdrift/journal/Batch.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::journal {

/// Last sequence number that replay has read from one writer incarnation.
struct WriterSequence {
  std::string Writer_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Offset_ = 0; ///< offset of that batch
  MSGPACK_DEFINE_ARRAY(Writer_, Incarnation_, Sequence_, Offset_)
  bool operator==(const WriterSequence &) const = default;
};

/// Replayed state of a stream at an offset, with one section per package that replays it.
struct SnapshotBody {
  std::vector<WriterSequence> Sequences_;
  std::vector<std::pair<std::string, std::string>> Sections_; ///< name and encoded state
  MSGPACK_DEFINE_ARRAY(Sequences_, Sections_)

  /// \returns the bytes of the section \p Name, or std::nullopt when there is none.
  std::optional<std::string_view> section(std::string_view Name) const;
};

/// Body of Snapshot and ConfigSnapshot records.
struct SnapshotPart {
  std::uint64_t BaseOffset_ = 0; ///< last offset that the snapshot includes
  std::uint32_t Part_ = 0;       ///< index from 0
  std::uint32_t Parts_ = 0;
  std::uint64_t Digest_ = 0; ///< XXH3 hash of the whole snapshot
  std::string Bytes_;
  MSGPACK_DEFINE_ARRAY(BaseOffset_, Part_, Parts_, Digest_, Bytes_)
};

/// Size of one part: the batch limit of 64 KB less space for headers.
inline constexpr std::size_t SnapshotPartBytes = 60U << 10U;

/// Largest number of parts that readers accept.
inline constexpr std::uint32_t MaxSnapshotParts = 4096;

/// Splits an encoded snapshot into parts. Append each entry in a separate call.
///
/// \param Type Snapshot or ConfigSnapshot.
/// \param BaseOffset last offset that \p Bytes includes.
/// \param Bytes the encoded SnapshotBody.
/// \param PartBytes largest number of bytes per part.
/// \returns the parts in order, at least one.
std::vector<Entry> splitSnapshot(RecordType Type, std::uint64_t BaseOffset, std::string_view Bytes,
                                 std::size_t PartBytes = SnapshotPartBytes);

/// A snapshot whose parts have all been read.
struct CompleteSnapshot {
  std::uint64_t BaseOffset_ = 0;
  std::uint64_t Offset_ = 0; ///< offset of the last part
  std::string Bytes_;
};

/// Reassembles snapshots from their parts. Not thread-safe.
///
/// Parts of one snapshot come in order from one writer incarnation; parts of different writers may
/// be interleaved.
class SnapshotAssembler {
public:
  /// Adds one part; malformed bodies and parts out of order are dropped.
  ///
  /// \returns true when the part completed a snapshot, which last() then returns.
  bool add(std::uint64_t Offset, const BatchInfo &Info, std::string_view Body);

  /// \returns the last complete snapshot.
  const std::optional<CompleteSnapshot> &last() const { return Last_; }

  /// Frees the bytes of the last complete snapshot but keeps its offsets.
  void dropBytes();

private:
  struct Partial {
    BatchInfo Info_;
    SnapshotPart Header_;
    std::string Bytes_;
  };
  std::vector<Partial> Partials_;
  std::optional<CompleteSnapshot> Last_;
};

} // namespace masticdrift::journal

#endif // MASTICDRIFT_JOURNAL_SNAPSHOT_H
