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

/// Last sequence that replay has seen of one writer incarnation.
struct WriterSequence {
  std::string Writer_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Offset_ = 0; ///< offset of that batch
  MSGPACK_DEFINE_ARRAY(Writer_, Incarnation_, Sequence_, Offset_)
  bool operator==(const WriterSequence &) const = default;
};

/// The state of a stream as of an offset: one section for each package that replays it.
struct SnapshotBody {
  std::vector<WriterSequence> Sequences_;
  std::vector<std::pair<std::string, std::string>> Sections_; ///< name and bytes
  MSGPACK_DEFINE_ARRAY(Sequences_, Sections_)

  /// \returns the bytes of the section called \p Name, nothing when there is none.
  std::optional<std::string_view> section(std::string_view Name) const;
};

/// Body of Snapshot and ConfigSnapshot records.
struct SnapshotPart {
  std::uint64_t BaseOffset_ = 0; ///< last offset whose effect the snapshot contains
  std::uint32_t Part_ = 0;       ///< from 0
  std::uint32_t Parts_ = 0;
  std::uint64_t Digest_ = 0; ///< XXH3 of the whole byte string
  std::string Bytes_;
  MSGPACK_DEFINE_ARRAY(BaseOffset_, Part_, Parts_, Digest_, Bytes_)
};

/// Bytes of one part; below the batch size of 64 KB with room for the headers.
inline constexpr std::size_t SnapshotPartBytes = 60U << 10U;

/// Largest number of parts that readers accept.
inline constexpr std::uint32_t MaxSnapshotParts = 4096;

/// Splits a byte string into records. Append each entry with a call of its own.
///
/// \param Type Snapshot or ConfigSnapshot.
/// \param BaseOffset last offset whose effect \p Bytes contains.
/// \param Bytes the encoded SnapshotBody.
std::vector<Entry> splitSnapshot(RecordType Type, std::uint64_t BaseOffset, std::string_view Bytes,
                                 std::size_t PartBytes = SnapshotPartBytes);

/// A snapshot whose parts have all been read.
struct CompleteSnapshot {
  std::uint64_t BaseOffset_ = 0;
  std::uint64_t Offset_ = 0; ///< offset of the last part
  std::string Bytes_;
};

/// Puts parts together again. Not thread-safe.
///
/// Parts of one snapshot come in order from one writer incarnation; parts of different writers may
/// be interleaved.
class SnapshotAssembler {
public:
  /// Adds one part; malformed bodies and parts out of order are dropped.
  ///
  /// \returns true when the part completed a snapshot, which then is the one last() returns.
  bool add(std::uint64_t Offset, const BatchInfo &Info, std::string_view Body);

  /// \returns the last complete snapshot.
  const std::optional<CompleteSnapshot> &last() const { return Last_; }

  /// Releases the bytes of the last complete snapshot; its offsets stay.
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
