#include "masticdrift/journal/Snapshot.h"

#include <algorithm>

#include <xxhash.h>

namespace masticdrift::journal {

namespace {

/// Limits the memory of incomplete snapshots. Owners write one snapshot at a time, so any above
/// this number come from writers that have crashed.
constexpr std::size_t MaxPartials = 4;

std::uint64_t digestOf(std::string_view Bytes) { return XXH3_64bits(Bytes.data(), Bytes.size()); }

bool sameWriter(const BatchInfo &A, const BatchInfo &B) {
  return A.Incarnation_ == B.Incarnation_ && A.Writer_ == B.Writer_;
}

bool sameSnapshot(const SnapshotPart &A, const SnapshotPart &B) {
  return A.BaseOffset_ == B.BaseOffset_ && A.Parts_ == B.Parts_ && A.Digest_ == B.Digest_;
}

} // namespace

std::optional<std::string_view> SnapshotBody::section(std::string_view Name) const {
  const auto Found = std::ranges::find(
      Sections_, Name, [](const auto &Section) { return std::string_view(Section.first); });
  if (Found == Sections_.end())
    return std::nullopt;
  return Found->second;
}

std::vector<Entry> splitSnapshot(RecordType Type, std::uint64_t BaseOffset, std::string_view Bytes,
                                 std::size_t PartBytes) {
  PartBytes = std::max<std::size_t>(PartBytes, 1);
  const std::size_t Parts = std::max<std::size_t>(1, (Bytes.size() + PartBytes - 1) / PartBytes);
  const std::uint64_t Digest = digestOf(Bytes);
  std::vector<Entry> Result;
  Result.reserve(Parts);
  for (std::size_t Part = 0; Part < Parts; ++Part) {
    const SnapshotPart NewPart{BaseOffset, static_cast<std::uint32_t>(Part),
                               static_cast<std::uint32_t>(Parts), Digest,
                               std::string(Bytes.substr(Part * PartBytes, PartBytes))};
    Result.push_back(makeEntry(Type, NewPart));
  }
  return Result;
}

bool SnapshotAssembler::add(std::uint64_t Offset, const BatchInfo &Info, std::string_view Body) {
  auto Part = core::unpack<SnapshotPart>(Body);
  if (!Part || Part->Parts_ == 0 || Part->Parts_ > MaxSnapshotParts || Part->Part_ >= Part->Parts_)
    return false;
  auto Found = std::ranges::find_if(
      Partials_, [&](const Partial &Candidate) { return sameWriter(Candidate.Info_, Info); });
  if (Found != Partials_.end() && sameSnapshot(Found->Header_, *Part)) {
    // Skips a duplicate: a part is written again when the outcome of its append was unknown.
    if (Part->Part_ <= Found->Header_.Part_)
      return false;
    if (Part->Part_ != Found->Header_.Part_ + 1) {
      Partials_.erase(Found);
      return false;
    }
    Found->Header_.Part_ = Part->Part_;
  } else {
    // A new snapshot replaces the incomplete one of the same writer.
    if (Found != Partials_.end())
      Partials_.erase(Found);
    if (Part->Part_ != 0)
      return false;
    if (Partials_.size() >= MaxPartials)
      Partials_.erase(Partials_.begin());
    Partials_.push_back({Info, {Part->BaseOffset_, 0, Part->Parts_, Part->Digest_, {}}, {}});
    Found = Partials_.end() - 1;
  }
  Found->Bytes_ += Part->Bytes_;
  if (Part->Part_ + 1 < Part->Parts_)
    return false;
  CompleteSnapshot Complete{Part->BaseOffset_, Offset, std::move(Found->Bytes_)};
  Partials_.erase(Found);
  // The base offset must precede the parts, otherwise the records in between would be lost.
  if (digestOf(Complete.Bytes_) != Part->Digest_ || Complete.BaseOffset_ >= Offset)
    return false;
  // A slow writer can complete an older snapshot later, when the records after its base may have
  // expired.
  if (Last_ && Complete.BaseOffset_ < Last_->BaseOffset_)
    return false;
  Last_ = std::move(Complete);
  return true;
}

void SnapshotAssembler::dropBytes() {
  if (!Last_)
    return;
  Last_->Bytes_.clear();
  Last_->Bytes_.shrink_to_fit();
}

} // namespace masticdrift::journal
