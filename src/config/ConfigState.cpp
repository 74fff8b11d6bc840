#include "masticdrift/config/ConfigState.h"

#include "masticdrift/config/Allotment.h"
#include "masticdrift/config/Key.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace masticdrift::config {

namespace {

/// Lines of diff() stored per version; the full diff can be computed from the texts.
constexpr std::size_t MaxChangeLines = 8;
/// Longer lines of diff() are truncated.
constexpr std::size_t MaxChangeLineBytes = 200;

struct KeyRow {
  std::string KeyId_, Team_, Hash_, GrantedBy_;
  std::int64_t GrantedMs_ = 0;
  bool Revoked_ = false;
  std::string RevokedBy_;
  std::int64_t RevokedMs_ = 0;
  MSGPACK_DEFINE_ARRAY(KeyId_, Team_, Hash_, GrantedBy_, GrantedMs_, Revoked_, RevokedBy_,
                       RevokedMs_)
};

struct ResultRow {
  std::string SubmissionId_;
  std::uint8_t Outcome_ = 0;
  std::uint64_t Version_ = 0;
  std::string WinningAuthor_, Message_;
  MSGPACK_DEFINE_ARRAY(SubmissionId_, Outcome_, Version_, WinningAuthor_, Message_)
};

/// Allotments of one team by domain name, and the version of the limit they were split from.
struct TeamAllotments {
  std::uint64_t LimitVersion_ = 0;
  std::map<std::string, Limit> LimitsByDomain_;
  MSGPACK_DEFINE_ARRAY(LimitVersion_, LimitsByDomain_)
};

/// The complete result of replay; serialized as the snapshot.
struct ReplayedState {
  std::uint32_t FormatVersion_ = 1;
  bool HasPosition_ = false; ///< whether Offset_ and Index_ are set
  std::uint64_t Offset_ = 0;
  std::uint32_t Index_ = 0;
  std::uint64_t Version_ = 0;
  std::string Text_;
  std::map<std::string, KeyRow> Keys_;
  std::map<std::string, TeamAllotments> Teams_;
  std::deque<VersionInfo> History_;
  std::deque<AuditEntry> Audit_;
  std::deque<ResultRow> Results_;
  MSGPACK_DEFINE_ARRAY(FormatVersion_, HasPosition_, Offset_, Index_, Version_, Text_, Keys_,
                       Teams_, History_, Audit_, Results_)
};

/// Appends an element and drops the oldest one when the list is full.
template <typename T> void appendBounded(std::deque<T> &List, T Value) {
  List.push_back(std::move(Value));
  if (List.size() > ConfigState::MaxRetainedEntries)
    List.pop_front();
}

bool hasNegative(const Limit &Amount) {
  return Amount.Slots_ < 0 || Amount.Resources_.MilliCores_ < 0 ||
         Amount.Resources_.MemoryMb_ < 0 || Amount.Resources_.Accelerators_ < 0;
}

KeyInfo toKeyInfo(const KeyRow &Row) {
  return {Row.KeyId_,   Row.Team_,      Row.GrantedBy_, Row.GrantedMs_,
          Row.Revoked_, Row.RevokedBy_, Row.RevokedMs_};
}

} // namespace

struct ConfigState::Impl {
  mutable std::shared_mutex Mutex_;
  ReplayedState Replayed_;
  std::shared_ptr<const Configuration> Current_ = std::make_shared<const Configuration>();
  std::map<std::string, SubmitResult, std::less<>> ResultIndex_;

  bool apply(std::uint64_t Offset, const journal::Entry &Entry);
  bool submit(std::uint64_t Offset, Submit Record);
  void transfer(std::uint64_t Offset, const AllotmentTransfer &Record);
  bool grant(std::uint64_t Offset, KeyGrant Record);
  bool revoke(std::uint64_t Offset, const KeyRevoke &Record);
  void updateAllotments(const Configuration &New);
  void addAuditEntry(std::uint64_t Offset, std::int64_t WallMs, std::string Author,
                     std::string Action, std::string Object, bool Accepted, std::string Detail) {
    appendBounded(Replayed_.Audit_, AuditEntry{Offset, WallMs, std::move(Author), std::move(Action),
                                               std::move(Object), Accepted, std::move(Detail)});
  }
};

bool ConfigState::Impl::submit(std::uint64_t Offset, Submit Record) {
  if (ResultIndex_.contains(Record.SubmissionId_))
    return false;
  SubmitResult Result;
  std::string Detail;
  Configuration New;
  std::string Text;
  if (Record.BaseVersion_ != Replayed_.Version_) {
    Result.Outcome_ = SubmitOutcome::Conflict;
    // The winner is the version that followed the same base, or the current version when that one
    // is no longer retained or the base does not exist.
    const auto Winner =
        std::ranges::find(Replayed_.History_, Record.BaseVersion_ + 1, &VersionInfo::Version_);
    const bool Retained = Winner != Replayed_.History_.end();
    Result.Version_ = Retained ? Winner->Version_ : Replayed_.Version_;
    if (Retained)
      Result.WinningAuthor_ = Winner->Author_;
    else if (!Replayed_.History_.empty())
      Result.WinningAuthor_ = Replayed_.History_.back().Author_;
    Detail =
        "conflict with version " + std::to_string(Result.Version_) + " by " + Result.WinningAuthor_;
  } else {
    const std::optional<std::string> CanonicalText =
        Record.Delta_.empty() ? canonicalText(Record.Text_)
                              : applyDelta(Replayed_.Text_, Record.Delta_);
    if (Record.Version_ != Record.BaseVersion_ + 1) {
      Result.Message_ = "version " + std::to_string(Record.Version_) + " does not follow version " +
                        std::to_string(Record.BaseVersion_);
    } else if (Record.Delta_.empty() == Record.Text_.empty()) {
      Result.Message_ = "expected either a text or a delta";
    } else if (!Record.Delta_.empty() && !CanonicalText) {
      Result.Message_ = "the delta does not apply to the base version";
    } else {
      // The submitted text is validated, because the canonical form hides duplicate keys.
      Text = CanonicalText.value_or("");
      ParsedConfiguration Parsed = parse(Record.Delta_.empty() ? Record.Text_ : Text);
      if (!Parsed.Errors_.empty())
        Result.Message_ = Parsed.Errors_.front().text();
      else if (!CanonicalText)
        Result.Message_ = "the text has no canonical form";
      New = std::move(Parsed.Configuration_);
    }
    Result.Outcome_ = Result.Message_.empty() ? SubmitOutcome::Accepted : SubmitOutcome::Invalid;
    Detail = Result.Message_;
  }

  const bool Accepted = Result.Outcome_ == SubmitOutcome::Accepted;
  if (Accepted) {
    Result.Version_ = Record.Version_;
    New.Version_ = Record.Version_;
    std::vector<std::string> Changes = diff(*Current_, New);
    Detail = std::to_string(Changes.size()) + " changes";
    if (Changes.size() > MaxChangeLines) {
      const std::size_t Omitted = Changes.size() - MaxChangeLines;
      Changes.resize(MaxChangeLines);
      Changes.push_back("and " + std::to_string(Omitted) + " more");
    }
    for (std::string &Line : Changes)
      if (Line.size() > MaxChangeLineBytes)
        Line = Line.substr(0, MaxChangeLineBytes) + "...";
    Replayed_.Version_ = Record.Version_;
    Replayed_.Text_ = std::move(Text);
    updateAllotments(New);
    appendBounded(Replayed_.History_,
                  VersionInfo{Record.Version_, Offset, Record.Author_, Record.SubmissionId_,
                              Record.WallMs_, std::move(Changes)});
    Current_ = std::make_shared<const Configuration>(std::move(New));
  }
  addAuditEntry(Offset, Record.WallMs_, Record.Author_, "submit",
                "version " + std::to_string(Record.Version_), Accepted, Detail);
  if (Replayed_.Results_.size() == MaxRetainedEntries) // appendBounded() drops this row
    ResultIndex_.erase(Replayed_.Results_.front().SubmissionId_);
  appendBounded(Replayed_.Results_,
                ResultRow{Record.SubmissionId_, static_cast<std::uint8_t>(Result.Outcome_),
                          Result.Version_, Result.WinningAuthor_, Result.Message_});
  ResultIndex_.emplace(Record.SubmissionId_, std::move(Result));
  return Accepted;
}

void ConfigState::Impl::updateAllotments(const Configuration &New) {
  const bool SameDomains =
      std::ranges::is_permutation(Current_->Domains_, New.Domains_, std::ranges::equal_to{});
  std::map<std::string, TeamAllotments> Rows;
  for (const Team &NewTeam : New.Teams_) {
    const Team *OldTeam = Current_->team(NewTeam.Name_);
    const auto Row = Replayed_.Teams_.find(NewTeam.Name_);
    // A changed limit or set of domains discards the transfers made under the old one.
    if (SameDomains && OldTeam != nullptr && OldTeam->Limit_ == NewTeam.Limit_ &&
        Row != Replayed_.Teams_.end()) {
      Rows.emplace(NewTeam.Name_, std::move(Row->second));
      continue;
    }
    TeamAllotments NewRow;
    NewRow.LimitVersion_ = New.Version_;
    const std::vector<Limit> Parts = splitLimit(NewTeam.Limit_, New.Domains_);
    for (std::size_t I = 0; I < Parts.size(); ++I)
      NewRow.LimitsByDomain_.emplace(New.Domains_[I].Name_, Parts[I]);
    Rows.emplace(NewTeam.Name_, std::move(NewRow));
  }
  Replayed_.Teams_ = std::move(Rows);
}

void ConfigState::Impl::transfer(std::uint64_t Offset, const AllotmentTransfer &Record) {
  std::string Reason;
  const auto Row = Replayed_.Teams_.find(Record.Team_);
  if (Row == Replayed_.Teams_.end()) {
    Reason = "unknown team";
  } else if (Row->second.LimitVersion_ != Record.LimitVersion_) {
    Reason = "the limit changed in version " + std::to_string(Row->second.LimitVersion_);
  } else {
    auto &Parts = Row->second.LimitsByDomain_;
    const auto Source = Parts.find(Record.FromDomain_);
    const auto Destination = Parts.find(Record.ToDomain_);
    const Limit &Amount = Record.Amount_;
    if (Source == Parts.end() || Destination == Parts.end() || Source == Destination)
      Reason = "unknown domain or the same domain twice";
    else if (hasNegative(Amount))
      Reason = "negative amount";
    else if (Amount.Slots_ > Source->second.Slots_ ||
             !core::fits(Amount.Resources_, Source->second.Resources_))
      Reason = "more than the allotment of " + Record.FromDomain_;
    if (Reason.empty()) {
      Source->second.Slots_ -= Amount.Slots_;
      Source->second.Resources_ -= Amount.Resources_;
      Destination->second.Slots_ += Amount.Slots_;
      Destination->second.Resources_ += Amount.Resources_;
    }
  }
  // Daemons make accepted transfers frequently, so the audit trail contains only rejected ones.
  if (!Reason.empty())
    addAuditEntry(Offset, 0, Record.FromDomain_, "give", Record.Team_, false, Reason);
}

bool ConfigState::Impl::grant(std::uint64_t Offset, KeyGrant Record) {
  std::string Reason;
  if (Current_->team(Record.Team_) == nullptr)
    Reason = "unknown team " + Record.Team_;
  else if (Replayed_.Keys_.contains(Record.KeyId_))
    Reason = "key id is already in use";
  const bool Accepted = Reason.empty();
  addAuditEntry(Offset, Record.WallMs_, Record.Author_, "key_grant", Record.KeyId_, Accepted,
                Accepted ? "team " + Record.Team_ : Reason);
  if (Accepted)
    Replayed_.Keys_.emplace(Record.KeyId_, KeyRow{Record.KeyId_, Record.Team_, Record.Hash_,
                                                  Record.Author_, Record.WallMs_, false, "", 0});
  return Accepted;
}

bool ConfigState::Impl::revoke(std::uint64_t Offset, const KeyRevoke &Record) {
  const auto Found = Replayed_.Keys_.find(Record.KeyId_);
  std::string Reason;
  if (Found == Replayed_.Keys_.end())
    Reason = "unknown key id";
  else if (Found->second.Revoked_)
    Reason = "already revoked";
  const bool Accepted = Reason.empty();
  if (Accepted) {
    Found->second.Revoked_ = true;
    Found->second.RevokedBy_ = Record.Author_;
    Found->second.RevokedMs_ = Record.WallMs_;
  }
  addAuditEntry(Offset, Record.WallMs_, Record.Author_, "key_revoke", Record.KeyId_, Accepted,
                Accepted ? "team " + Found->second.Team_ : Reason);
  return Accepted;
}

bool ConfigState::Impl::apply(std::uint64_t Offset, const journal::Entry &Entry) {
  switch (Entry.Type_) {
  case journal::RecordType::Submit:
    if (auto Record = core::unpack<Submit>(Entry.Body_))
      return submit(Offset, std::move(*Record));
    return false;
  case journal::RecordType::KeyGrant:
    if (auto Record = core::unpack<KeyGrant>(Entry.Body_))
      return grant(Offset, std::move(*Record));
    return false;
  case journal::RecordType::KeyRevoke:
    if (const auto Record = core::unpack<KeyRevoke>(Entry.Body_))
      return revoke(Offset, *Record);
    return false;
  case journal::RecordType::Give:
    if (const auto Record = core::unpack<AllotmentTransfer>(Entry.Body_))
      transfer(Offset, *Record);
    return false;
  default:
    return false;
  }
}

ConfigState::ConfigState() : Impl_(std::make_unique<Impl>()) {}
ConfigState::~ConfigState() = default;

bool ConfigState::apply(std::uint64_t Offset, std::uint32_t Index, const journal::Entry &Entry) {
  const std::unique_lock Lock(Impl_->Mutex_);
  ReplayedState &Replayed = Impl_->Replayed_;
  if (Replayed.HasPosition_ &&
      std::pair(Offset, Index) <= std::pair(Replayed.Offset_, Replayed.Index_))
    return false;
  Replayed.HasPosition_ = true;
  Replayed.Offset_ = Offset;
  Replayed.Index_ = Index;
  return Impl_->apply(Offset, Entry);
}

std::string ConfigState::encode() const {
  const std::shared_lock Lock(Impl_->Mutex_);
  return core::pack(Impl_->Replayed_);
}

bool ConfigState::load(std::string_view Bytes) {
  auto Loaded = core::unpack<ReplayedState>(Bytes);
  if (!Loaded || Loaded->FormatVersion_ != ReplayedState().FormatVersion_ || !Loaded->HasPosition_)
    return false;
  auto Current = std::make_shared<Configuration>();
  if (Loaded->Version_ > 0) {
    ParsedConfiguration Parsed = parse(Loaded->Text_);
    if (!Parsed.Errors_.empty())
      return false;
    *Current = std::move(Parsed.Configuration_);
    Current->Version_ = Loaded->Version_;
  }
  std::map<std::string, SubmitResult, std::less<>> ResultIndex;
  for (const ResultRow &Row : Loaded->Results_)
    ResultIndex.emplace(Row.SubmissionId_,
                        SubmitResult{static_cast<SubmitOutcome>(Row.Outcome_), Row.Version_,
                                     Row.WinningAuthor_, Row.Message_});
  const std::unique_lock Lock(Impl_->Mutex_);
  const ReplayedState &Replayed = Impl_->Replayed_;
  if (Replayed.HasPosition_ &&
      std::pair(Loaded->Offset_, Loaded->Index_) <= std::pair(Replayed.Offset_, Replayed.Index_))
    return false;
  Impl_->Replayed_ = std::move(*Loaded);
  Impl_->Current_ = std::move(Current);
  Impl_->ResultIndex_ = std::move(ResultIndex);
  return true;
}

std::shared_ptr<const Configuration> ConfigState::current() const {
  const std::shared_lock Lock(Impl_->Mutex_);
  return Impl_->Current_;
}

std::uint64_t ConfigState::version() const {
  const std::shared_lock Lock(Impl_->Mutex_);
  return Impl_->Replayed_.Version_;
}

std::string ConfigState::text() const {
  const std::shared_lock Lock(Impl_->Mutex_);
  return Impl_->Replayed_.Text_;
}

std::optional<std::uint64_t> ConfigState::appliedOffset() const {
  const std::shared_lock Lock(Impl_->Mutex_);
  if (!Impl_->Replayed_.HasPosition_)
    return std::nullopt;
  return Impl_->Replayed_.Offset_;
}

KeyLookup ConfigState::findKey(std::string_view PresentedKey) const {
  const std::string Id(keyIdOf(PresentedKey));
  const std::string Hash = hashKey(PresentedKey);
  const std::shared_lock Lock(Impl_->Mutex_);
  const auto Found = Impl_->Replayed_.Keys_.find(Id);
  if (Found == Impl_->Replayed_.Keys_.end() || !constantTimeEqual(Found->second.Hash_, Hash))
    return {};
  const KeyRow &Row = Found->second;
  if (Row.Revoked_)
    return {KeyStatus::Revoked, Row.Team_, Row.KeyId_};
  if (Impl_->Current_->team(Row.Team_) == nullptr)
    return {};
  return {KeyStatus::Valid, Row.Team_, Row.KeyId_};
}

std::optional<KeyInfo> ConfigState::key(std::string_view KeyId) const {
  const std::shared_lock Lock(Impl_->Mutex_);
  const auto Found = Impl_->Replayed_.Keys_.find(std::string(KeyId));
  if (Found == Impl_->Replayed_.Keys_.end())
    return std::nullopt;
  return toKeyInfo(Found->second);
}

std::vector<KeyInfo> ConfigState::keys() const {
  const std::shared_lock Lock(Impl_->Mutex_);
  std::vector<KeyInfo> Result;
  for (const auto &[Id, Row] : Impl_->Replayed_.Keys_)
    Result.push_back(toKeyInfo(Row));
  return Result;
}

std::optional<SubmitResult> ConfigState::result(std::string_view SubmissionId) const {
  const std::shared_lock Lock(Impl_->Mutex_);
  const auto Found = Impl_->ResultIndex_.find(SubmissionId);
  if (Found == Impl_->ResultIndex_.end())
    return std::nullopt;
  return Found->second;
}

std::vector<VersionInfo> ConfigState::history() const {
  const std::shared_lock Lock(Impl_->Mutex_);
  return {Impl_->Replayed_.History_.begin(), Impl_->Replayed_.History_.end()};
}

std::vector<AuditEntry> ConfigState::audit() const {
  const std::shared_lock Lock(Impl_->Mutex_);
  return {Impl_->Replayed_.Audit_.begin(), Impl_->Replayed_.Audit_.end()};
}

Limit ConfigState::allotment(std::string_view Team, std::string_view Domain) const {
  const std::shared_lock Lock(Impl_->Mutex_);
  const auto Row = Impl_->Replayed_.Teams_.find(std::string(Team));
  if (Row == Impl_->Replayed_.Teams_.end())
    return {};
  const auto DomainLimit = Row->second.LimitsByDomain_.find(std::string(Domain));
  return DomainLimit == Row->second.LimitsByDomain_.end() ? Limit{} : DomainLimit->second;
}

std::uint64_t ConfigState::limitVersion(std::string_view Team) const {
  const std::shared_lock Lock(Impl_->Mutex_);
  const auto Row = Impl_->Replayed_.Teams_.find(std::string(Team));
  return Row == Impl_->Replayed_.Teams_.end() ? 0 : Row->second.LimitVersion_;
}

} // namespace masticdrift::config
