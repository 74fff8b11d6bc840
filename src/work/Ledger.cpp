#include "masticdrift/work/Ledger.h"

#include "masticdrift/core/Pack.h"

namespace masticdrift::work {

namespace {

constexpr char AcceptedPrefix = 'a';
constexpr char CancelledPrefix = 'c';
constexpr char ProgressPrefix = 'p';
constexpr char StartedPrefix = 'b';

/// Memory of a job that is over, or of one whose acceptance is unknown: the entry with its node,
/// keys and names, and its place in the leader's index of ended jobs.
constexpr std::size_t BytesPerEntry = sizeof(JobTableEntry) + 640;

std::string recordKey(char Prefix, std::string_view Id) { return Prefix + std::string(Id); }

/// Drops the details of a final job, unless they are needed to tell what its runs still use.
void dropUnneeded(JobTableEntry &Job) {
  if (!Job.Progress_ || !isFinal(Job.Progress_->State_) || (Job.HasSpec_ && !Job.SpecRemoved_))
    return;
  Job.HasSpec_ = false;
  Job.Spec_ = {};
  Job.Progress_->Steps_.clear();
  Job.Progress_->Failures_.clear();
}

/// \returns the customer for which the job is counted; a specification may be read before the
/// acceptance, which names the customer.
std::string_view countedCustomer(const JobTableEntry &Job) {
  return Job.CustomerKnown_ ? std::string_view(Job.Acceptance_.Customer_) : std::string_view();
}

} // namespace

JobState JobTableEntry::state() const {
  if (Progress_ && isFinal(Progress_->State_))
    return Progress_->State_;
  if (Cancelled_)
    return JobState::Cancelled;
  return Progress_ ? Progress_->State_ : JobState::Queued;
}

FailureReason JobTableEntry::failureReason() const {
  return state() == JobState::Failed ? Progress_->FailureReason_ : FailureReason::None;
}

LogRecord encodeAccepted(std::string_view Id, const AcceptedRecord &Record) {
  return {recordKey(AcceptedPrefix, Id), core::pack(Record)};
}

LogRecord encodeCancelled(std::string_view Id, const CancelledRecord &Record) {
  return {recordKey(CancelledPrefix, Id), core::pack(Record)};
}

LogRecord encodeProgress(std::string_view Id, const ProgressRecord &Record) {
  return {recordKey(ProgressPrefix, Id), core::pack(Record)};
}

LogRecord encodeSpec(std::string_view Id, const JobSpec &Spec) {
  return {std::string(Id), core::pack(Spec)};
}

std::vector<LogRecord> encodeTombstones(std::string_view Id) {
  return {{recordKey(AcceptedPrefix, Id), {}},
          {recordKey(CancelledPrefix, Id), {}},
          {recordKey(ProgressPrefix, Id), {}},
          {recordKey(StartedPrefix, Id), {}}};
}

LogRecord encodeStarted(std::string_view Id, std::uint64_t Term) {
  return {recordKey(StartedPrefix, Id), core::pack(Term)};
}

std::string_view acceptedJobId(const LogRecord &Record) {
  return Record.Key_.starts_with(AcceptedPrefix) ? std::string_view(Record.Key_).substr(1)
                                                 : std::string_view();
}

JobTableChange JobTable::apply(std::uint64_t Offset, std::string_view Key, std::string_view Value) {
  return reported(applyRecord(Offset, Key, Value));
}

JobTableChange JobTable::applySpec(std::string_view Id, std::string_view Value) {
  return reported(applySpecRecord(Id, Value));
}

JobTableChange JobTable::reported(JobTableChange Change) const {
  if (OnChange_ && Change.Kind_ != JobTableChange::Kind::None)
    OnChange_(Change);
  return Change;
}

JobTableChange JobTable::applyRecord(std::uint64_t Offset, std::string_view Key,
                                     std::string_view Value) {
  using enum JobTableChange::Kind;
  if (Key.size() < 2)
    return {Unreadable, std::string(Key)};
  const char Kind = Key.front();
  std::string Id(Key.substr(1));
  if (Value.empty()) {
    const auto Position = Jobs_.find(Id);
    if (Position == Jobs_.end() || Kind != AcceptedPrefix)
      return {None, std::move(Id)};
    QueuedByQueue_[Position->second.Acceptance_.Queue_.Name_].erase(Id);
    erase(Position);
    return {Removed, std::move(Id)};
  }
  JobTableEntry &Job = Jobs_[Id];
  Job.Id_ = Id;
  JobTableChange Change{None, Id};
  if (Kind == AcceptedPrefix && !Job.Accepted_) {
    auto Record = core::unpack<AcceptedRecord>(Value);
    if (!Record)
      return {Unreadable, std::move(Id)};
    Job.Acceptance_ = std::move(*Record);
    Job.Accepted_ = true;
    Job.AcceptedOffset_ = Offset;
    Change.Kind_ = Accepted;
  } else if (Kind == CancelledPrefix && !Job.Cancelled_) {
    Job.Cancelled_ = true;
    Change.Kind_ = Cancelled;
  } else if (Kind == StartedPrefix) {
    const auto Term = core::unpack<std::uint64_t>(Value);
    if (!Term)
      return {Unreadable, std::move(Id)};
    if (Job.StartedTerm_ != *Term)
      Change.Kind_ = Begun;
    Job.StartedTerm_ = *Term;
  } else if (Kind == ProgressPrefix && (!Job.Progress_ || Offset > Job.ProgressOffset_)) {
    auto Record = core::unpack<ProgressRecord>(Value);
    if (!Record)
      return {Unreadable, std::move(Id)};
    Job.Progress_ = std::move(*Record);
    Job.ProgressOffset_ = Offset;
    Change.Kind_ = Progressed;
    dropUnneeded(Job);
  }
  updateQueued(Job);
  updateHeld(Job);
  return Change;
}

JobTableChange JobTable::applySpecRecord(std::string_view Id, std::string_view Value) {
  using enum JobTableChange::Kind;
  const auto Position = Jobs_.find(std::string(Id));
  const bool IsKnown = Position != Jobs_.end();
  if (Value.empty()) {
    // Remove the entry of a specification whose job was never accepted.
    if (IsKnown && !Position->second.Accepted_ && !Position->second.Progress_) {
      erase(Position);
    } else if (IsKnown) {
      Position->second.SpecRemoved_ = true;
      dropUnneeded(Position->second);
      updateHeld(Position->second);
    }
    return {None, std::string(Id)};
  }
  if (IsKnown && (Position->second.HasSpec_ || Position->second.SpecRemoved_))
    return {None, std::string(Id)};
  auto Spec = core::unpack<JobSpec>(Value);
  if (!Spec)
    return {Unreadable, std::string(Id)};
  JobTableEntry &Job = IsKnown ? Position->second : Jobs_[std::string(Id)];
  Job.Id_ = Id;
  Job.Spec_ = std::move(*Spec);
  Job.HasSpec_ = true;
  updateHeld(Job);
  return {Specified, std::string(Id)};
}

void JobTable::updateHeld(JobTableEntry &Job) {
  const bool Over = Job.Progress_ && isFinal(Job.Progress_->State_) && !Job.HasSpec_;
  std::size_t Bytes = BytesPerEntry;
  if (!Over)
    Bytes += Job.Accepted_ ? Job.Acceptance_.MemoryBytes_ : specMemory(Job.Spec_);
  if (Bytes == Job.HeldBytes_)
    return;
  Held_.remove(countedCustomer(Job), Job.HeldBytes_);
  Job.HeldBytes_ = Bytes;
  Job.CustomerKnown_ = Job.Accepted_;
  Held_.add(countedCustomer(Job), Bytes);
}

void JobTable::erase(std::unordered_map<std::string, JobTableEntry>::iterator Position) {
  Held_.remove(countedCustomer(Position->second), Position->second.HeldBytes_);
  Jobs_.erase(Position);
}

void JobTable::updateQueued(const JobTableEntry &Job) {
  if (!Job.Accepted_)
    return;
  auto &Queued = QueuedByQueue_[Job.Acceptance_.Queue_.Name_];
  if (Job.state() == JobState::Queued)
    Queued.insert(Job.Id_);
  else
    Queued.erase(Job.Id_);
}

const JobTableEntry *JobTable::find(std::string_view Id) const {
  const auto Position = Jobs_.find(std::string(Id));
  return Position == Jobs_.end() || !Position->second.Accepted_ ? nullptr : &Position->second;
}

std::size_t JobTable::pendingCount(std::string_view Queue) const {
  const auto Position = QueuedByQueue_.find(Queue);
  return Position == QueuedByQueue_.end() ? 0 : Position->second.size();
}

} // namespace masticdrift::work
