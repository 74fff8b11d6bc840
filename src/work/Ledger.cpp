#include "masticdrift/work/Ledger.h"

#include "masticdrift/core/Pack.h"

namespace masticdrift::work {

namespace {

constexpr char AcceptedKind = 'a';
constexpr char CancelledKind = 'c';
constexpr char ProgressKind = 'p';
constexpr char BegunKind = 'b';

std::string keyOf(char Kind, std::string_view Id) { return Kind + std::string(Id); }

} // namespace

JobState LedgerJob::state() const {
  if (Progress_ && isFinal(Progress_->State_))
    return Progress_->State_;
  if (Cancelled_)
    return JobState::Cancelled;
  return Progress_ ? Progress_->State_ : JobState::Queued;
}

LedgerEntry acceptedEntry(std::string_view Id, const AcceptedRecord &Record) {
  return {keyOf(AcceptedKind, Id), core::pack(Record)};
}

LedgerEntry cancelledEntry(std::string_view Id, const CancelledRecord &Record) {
  return {keyOf(CancelledKind, Id), core::pack(Record)};
}

LedgerEntry progressEntry(std::string_view Id, const ProgressRecord &Record) {
  return {keyOf(ProgressKind, Id), core::pack(Record)};
}

LedgerEntry specEntry(std::string_view Id, const JobSpec &Spec) {
  return {std::string(Id), core::pack(Spec)};
}

std::vector<LedgerEntry> forgetEntries(std::string_view Id) {
  return {{keyOf(AcceptedKind, Id), {}},
          {keyOf(CancelledKind, Id), {}},
          {keyOf(ProgressKind, Id), {}},
          {keyOf(BegunKind, Id), {}}};
}

LedgerEntry begunEntry(std::string_view Id, std::uint64_t Term) {
  return {keyOf(BegunKind, Id), core::pack(Term)};
}

std::string_view acceptedIdOf(const LedgerEntry &Entry) {
  return Entry.Key_.starts_with(AcceptedKind) ? std::string_view(Entry.Key_).substr(1)
                                              : std::string_view();
}

LedgerChange Ledger::apply(std::uint64_t Offset, std::string_view Key, std::string_view Value) {
  using enum LedgerChange::Kind;
  if (Key.size() < 2)
    return {Unreadable, std::string(Key)};
  const char Kind = Key.front();
  std::string Id(Key.substr(1));
  if (Value.empty()) {
    const auto Found = Jobs_.find(Id);
    if (Found == Jobs_.end() || Kind != AcceptedKind)
      return {None, std::move(Id)};
    QueuedOf_[Found->second.What_.Queue_.Name_].erase(Id);
    Jobs_.erase(Found);
    return {Forgotten, std::move(Id)};
  }
  LedgerJob &Job = Jobs_[Id];
  Job.Id_ = Id;
  LedgerChange Change{None, Id};
  if (Kind == AcceptedKind && !Job.Accepted_) {
    auto Record = core::unpack<AcceptedRecord>(Value);
    if (!Record)
      return {Unreadable, std::move(Id)};
    Job.What_ = std::move(*Record);
    Job.Accepted_ = true;
    Job.AcceptedOffset_ = Offset;
    Change.Kind_ = Accepted;
  } else if (Kind == CancelledKind && !Job.Cancelled_) {
    Job.Cancelled_ = true;
    Change.Kind_ = Cancelled;
  } else if (Kind == BegunKind) {
    const auto Term = core::unpack<std::uint64_t>(Value);
    if (!Term)
      return {Unreadable, std::move(Id)};
    Job.BegunTerm_ = *Term;
  } else if (Kind == ProgressKind && (!Job.Progress_ || Offset > Job.ProgressOffset_)) {
    auto Record = core::unpack<ProgressRecord>(Value);
    if (!Record)
      return {Unreadable, std::move(Id)};
    Job.Progress_ = std::move(*Record);
    Job.ProgressOffset_ = Offset;
    Change.Kind_ = Progressed;
    // What a final job was made of is not needed any more.
    if (isFinal(Job.Progress_->State_)) {
      Job.Spec_ = {};
      Job.Progress_->Steps_.clear();
      Job.Progress_->Failures_.clear();
    }
  }
  track(Job);
  return Change;
}

LedgerChange Ledger::applySpec(std::string_view Id, std::string_view Value) {
  using enum LedgerChange::Kind;
  const auto Found = Jobs_.find(std::string(Id));
  const bool Known = Found != Jobs_.end();
  if (Value.empty()) {
    // A specification whose job was never accepted.
    if (Known && !Found->second.Accepted_ && !Found->second.Progress_)
      Jobs_.erase(Found);
    return {None, std::string(Id)};
  }
  if (Known && (Found->second.Specified_ || isFinal(Found->second.state())))
    return {None, std::string(Id)};
  auto Spec = core::unpack<JobSpec>(Value);
  if (!Spec)
    return {Unreadable, std::string(Id)};
  LedgerJob &Job = Known ? Found->second : Jobs_[std::string(Id)];
  Job.Id_ = Id;
  Job.Spec_ = std::move(*Spec);
  Job.Specified_ = true;
  return {Specified, std::string(Id)};
}

void Ledger::track(const LedgerJob &Job) {
  if (!Job.Accepted_)
    return;
  auto &Queued = QueuedOf_[Job.What_.Queue_.Name_];
  if (Job.state() == JobState::Queued)
    Queued.insert(Job.Id_);
  else
    Queued.erase(Job.Id_);
}

const LedgerJob *Ledger::find(std::string_view Id) const {
  const auto Found = Jobs_.find(std::string(Id));
  return Found == Jobs_.end() || !Found->second.Accepted_ ? nullptr : &Found->second;
}

std::size_t Ledger::pendingOf(std::string_view Queue) const {
  const auto Found = QueuedOf_.find(Queue);
  return Found == QueuedOf_.end() ? 0 : Found->second.size();
}

} // namespace masticdrift::work
