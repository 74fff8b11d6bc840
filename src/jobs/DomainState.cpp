#include "masticdrift/jobs/DomainState.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <xxhash.h>

namespace masticdrift::jobs {

namespace {

constexpr std::size_t Shards = 16;

/// Jobs in one array of a snapshot; core::unpack refuses arrays above 100,000 elements.
constexpr std::size_t JobsPerChunk = 10'000;

std::size_t shardOf(std::string_view Id) { return XXH3_64bits(Id.data(), Id.size()) % Shards; }

/// State of a task after its current attempt has ended.
TaskState stateAfter(const Job &Of, const End &Record) {
  const JobSpec &Spec = *Of.Spec_;
  const bool Service = Spec.Kind_ == JobKind::Service;
  const bool Again = mayRunAgain(Spec, Record.Outcome_);
  switch (Record.Outcome_) {
  case TaskOutcome::Succeeded:
    if (!Service)
      return TaskState::Succeeded;
    return Of.CancelRequested_ ? TaskState::Cancelled : TaskState::Queued;
  case TaskOutcome::Failed:
    if (Of.CancelRequested_)
      return Service ? TaskState::Cancelled : TaskState::Failed;
    return Again && (Record.Again_ || Service) ? TaskState::Queued : TaskState::Failed;
  case TaskOutcome::Stopped:
    if (Of.CancelRequested_)
      return TaskState::Cancelled;
    return Again && (Record.Again_ || Service) ? TaskState::Queued : TaskState::Failed;
  case TaskOutcome::Lost:
    if (!Again)
      return TaskState::Held;
    return Of.CancelRequested_ ? TaskState::Cancelled : TaskState::Queued;
  case TaskOutcome::Checkpointed:
  case TaskOutcome::NeverRan:
    return Of.CancelRequested_ ? TaskState::Cancelled : TaskState::Queued;
  }
  return TaskState::Held;
}

ChangeKind changeOf(TaskState State) {
  if (State == TaskState::Queued)
    return ChangeKind::Requeued;
  return State == TaskState::Held ? ChangeKind::Held : ChangeKind::Ended;
}

/// A job as it is kept in snapshots; its state follows from its tasks.
struct WireJob {
  JobSpec Spec_;
  std::uint64_t AcceptOffset_ = 0;
  std::uint64_t AcceptSequence_ = 0;
  std::uint64_t FinishSequence_ = 0;
  bool CancelRequested_ = false;
  std::string CancelledBy_;
  std::vector<Task> Tasks_;
  MSGPACK_DEFINE_ARRAY(Spec_, AcceptOffset_, AcceptSequence_, FinishSequence_, CancelRequested_,
                       CancelledBy_, Tasks_)
};

struct WireState {
  std::uint32_t Version_ = 1;
  std::uint64_t Accepted_ = 0;
  std::uint64_t Finished_ = 0;
  std::vector<std::vector<WireJob>> Chunks_;
  MSGPACK_DEFINE_ARRAY(Version_, Accepted_, Finished_, Chunks_)
};

bool isValid(const WireJob &From) {
  if (!jobs::isValid(From.Spec_) || From.Tasks_.size() != From.Spec_.Tasks_)
    return false;
  for (const Task &One : From.Tasks_)
    if (One.State_ > TaskState::Held || (One.State_ == TaskState::Running && One.Attempt_ == 0))
      return false;
  return isFinished(stateOf(From.Tasks_)) == (From.FinishSequence_ != 0);
}

using TaskKey = std::pair<std::string, std::uint32_t>;
using WorkerIndex = std::map<std::string, std::map<TaskKey, RunningTask>, std::less<>>;
using JobMap = std::unordered_map<std::string, Job>;
using ActiveMap = std::map<std::uint64_t, Job *>;

RunningTask runningTask(const Job &Of, std::uint32_t Number) {
  const Task &One = Of.Tasks_[Number];
  return {Of.Spec_,  Number,      One.Attempt_,        One.Worker_,
          One.Term_, One.Offset_, Of.CancelRequested_, One.Boot_};
}

} // namespace

struct DomainState::Impl {
  struct Shard {
    mutable std::mutex Mutex_;
    JobMap Jobs_;
    ActiveMap Active_; ///< unfinished jobs by order of acceptance
  };

  Shard &shard(std::string_view Id) { return Shards_.at(shardOf(Id)); }

  /// A job under its shard's lock.
  struct Locked {
    std::unique_lock<std::mutex> Lock_;
    Shard *Shard_;
    Job *Job_;
  };

  Locked lock(const std::string &Id) {
    Shard &In = shard(Id);
    std::unique_lock Lock(In.Mutex_);
    const auto Found = In.Jobs_.find(Id);
    return {std::move(Lock), &In, Found == In.Jobs_.end() ? nullptr : &Found->second};
  }

  Change accept(const Accept &Record, std::uint64_t Offset) {
    if (!isValid(Record.Job_))
      return {ChangeKind::Malformed};
    const std::string &Id = Record.Job_.Id_;
    Shard &In = shard(Id);
    const std::lock_guard Lock(In.Mutex_);
    auto [Place, Added] = In.Jobs_.try_emplace(Id);
    if (!Added)
      return {ChangeKind::Duplicate, Id};
    Job &New = Place->second;
    New.Spec_ = std::make_shared<const JobSpec>(Record.Job_);
    New.AcceptOffset_ = Offset;
    New.AcceptSequence_ = ++Accepted_;
    New.Tasks_.resize(Record.Job_.Tasks_);
    In.Active_.emplace(New.AcceptSequence_, &New);
    return {ChangeKind::Accepted, Id};
  }

  Change cancel(const Cancel &Record, std::uint64_t Offset) {
    Locked Found = lock(Record.Job_);
    if (!Found.Job_)
      return {ChangeKind::UnknownJob, Record.Job_};
    Job &Target = *Found.Job_;
    if (isFinished(Target.State_) || Target.CancelRequested_)
      return {ChangeKind::NotApplicable, Record.Job_};
    Target.CancelRequested_ = true;
    Target.CancelledBy_ = Record.By_;
    for (std::uint32_t Number = 0; Number < Target.Tasks_.size(); ++Number) {
      Task &One = Target.Tasks_[Number];
      if (One.State_ == TaskState::Queued) {
        One.State_ = TaskState::Cancelled;
        One.Offset_ = Offset;
      } else if (One.State_ == TaskState::Running) {
        addToIndex(Target, Number);
      }
    }
    Change Result{ChangeKind::CancelRequested, Record.Job_};
    Result.JobFinished_ = updateState(Found);
    return Result;
  }

  Change start(const Start &Record, std::uint64_t Offset) {
    Locked Found = lock(Record.Job_);
    if (!Found.Job_ || Record.Task_ >= Found.Job_->Tasks_.size())
      return {ChangeKind::UnknownJob, Record.Job_, Record.Task_, Record.Attempt_};
    Job &Target = *Found.Job_;
    Task &One = Target.Tasks_[Record.Task_];
    if (One.State_ != TaskState::Queued || Record.Attempt_ != One.Attempt_ + 1)
      return {ChangeKind::NotApplicable, Record.Job_, Record.Task_, Record.Attempt_};
    One.State_ = TaskState::Running;
    One.Attempt_ = Record.Attempt_;
    One.Worker_ = Record.Worker_;
    One.Term_ = Record.Term_;
    One.Boot_ = Record.Boot_;
    One.Offset_ = Offset;
    One.Exit_ = 0;
    addToIndex(Target, Record.Task_);
    updateState(Found);
    return {ChangeKind::Started, Record.Job_, Record.Task_, Record.Attempt_, Record.Worker_};
  }

  Change end(const End &Record, std::uint64_t Offset) {
    if (Record.Outcome_ > TaskOutcome::NeverRan)
      return {ChangeKind::Malformed};
    Locked Found = lock(Record.Job_);
    if (!Found.Job_ || Record.Task_ >= Found.Job_->Tasks_.size())
      return {ChangeKind::UnknownJob, Record.Job_, Record.Task_, Record.Attempt_};
    Task &One = Found.Job_->Tasks_[Record.Task_];
    TaskState After = stateAfter(*Found.Job_, Record);
    if (One.State_ == TaskState::Held) {
      // The owner has learned how a held attempt ended. It is settled, but never run again.
      const bool Settles =
          Record.Outcome_ == TaskOutcome::Succeeded || Record.Outcome_ == TaskOutcome::Failed;
      After = Record.Outcome_ == TaskOutcome::Succeeded ? TaskState::Succeeded : TaskState::Failed;
      if (!Settles || Record.Attempt_ != One.Attempt_)
        return {ChangeKind::NotApplicable, Record.Job_, Record.Task_, Record.Attempt_};
    } else if (One.State_ != TaskState::Running || Record.Attempt_ != One.Attempt_) {
      return {ChangeKind::NotApplicable, Record.Job_, Record.Task_, Record.Attempt_};
    }
    return leaveWorker(Found, Record.Task_, After, Record.Exit_, {}, Offset);
  }

  Change hold(const Hold &Record, std::uint64_t Offset) {
    Locked Found = lock(Record.Job_);
    if (!Found.Job_ || Record.Task_ >= Found.Job_->Tasks_.size())
      return {ChangeKind::UnknownJob, Record.Job_, Record.Task_, Record.Attempt_};
    const Task &One = Found.Job_->Tasks_[Record.Task_];
    if (One.State_ != TaskState::Running || Record.Attempt_ != One.Attempt_)
      return {ChangeKind::NotApplicable, Record.Job_, Record.Task_, Record.Attempt_};
    return leaveWorker(Found, Record.Task_, TaskState::Held, 0, Record.Reason_, Offset);
  }

  Change leaveWorker(Locked &Found, std::uint32_t Number, TaskState After, std::int32_t Exit,
                     const std::string &Reason, std::uint64_t Offset) {
    Task &One = Found.Job_->Tasks_[Number];
    removeFromIndex(*Found.Job_, Number);
    One.State_ = After;
    One.Exit_ = Exit;
    One.Reason_ = Reason;
    One.Offset_ = Offset;
    Change Result{changeOf(After), Found.Job_->Spec_->Id_, Number, One.Attempt_, One.Worker_};
    Result.JobFinished_ = updateState(Found);
    return Result;
  }

  /// Derives the job's state again.
  ///
  /// \returns true when the job reached another final state.
  bool updateState(Locked &Found) {
    Job &Target = *Found.Job_;
    const JobState Before = std::exchange(Target.State_, stateOf(Target.Tasks_));
    if (!isFinished(Target.State_) || Target.State_ == Before)
      return false;
    if (Target.FinishSequence_ == 0) {
      Target.FinishSequence_ = ++Finished_;
      Found.Shard_->Active_.erase(Target.AcceptSequence_);
      FinishedIds_.push_back(Target.Spec_->Id_);
    }
    return true;
  }

  /// Drops the oldest finished jobs. Called without a shard lock.
  void prune() {
    while (FinishedIds_.size() > Options_.KeepFinished_) {
      const std::string Id = std::move(FinishedIds_.front());
      FinishedIds_.pop_front();
      Shard &In = shard(Id);
      const std::lock_guard Lock(In.Mutex_);
      In.Jobs_.erase(Id);
    }
  }

  void addToIndex(const Job &Of, std::uint32_t Number) {
    const std::lock_guard Lock(IndexMutex_);
    Index_[Of.Tasks_[Number].Worker_].insert_or_assign(TaskKey{Of.Spec_->Id_, Number},
                                                       runningTask(Of, Number));
  }

  void removeFromIndex(const Job &Of, std::uint32_t Number) {
    const std::lock_guard Lock(IndexMutex_);
    const auto Found = Index_.find(Of.Tasks_[Number].Worker_);
    if (Found == Index_.end())
      return;
    Found->second.erase(TaskKey{Of.Spec_->Id_, Number});
    if (Found->second.empty())
      Index_.erase(Found);
  }

  /// Decodes a record that carries a term, checks the term and applies the record.
  template <typename T, typename F>
  static Change withTerm(const journal::Entry &From, std::uint64_t TermInForce, F Apply) {
    const auto Record = core::unpack<T>(From.Body_);
    if (!Record)
      return {ChangeKind::Malformed};
    if (Record->Term_ != TermInForce)
      return {ChangeKind::StaleTerm, Record->Job_, Record->Task_, Record->Attempt_};
    return Apply(*Record);
  }

  Change apply(const journal::Entry &From, std::uint64_t Offset, std::uint64_t TermInForce) {
    using journal::RecordType;
    switch (From.Type_) {
    case RecordType::Accept: {
      const auto Record = core::unpack<Accept>(From.Body_);
      return Record ? accept(*Record, Offset) : Change{ChangeKind::Malformed};
    }
    case RecordType::Cancel: {
      const auto Record = core::unpack<Cancel>(From.Body_);
      return Record ? cancel(*Record, Offset) : Change{ChangeKind::Malformed};
    }
    case RecordType::Start:
      return withTerm<Start>(From, TermInForce, [&](const Start &R) { return start(R, Offset); });
    case RecordType::End:
      return withTerm<End>(From, TermInForce, [&](const End &R) { return end(R, Offset); });
    case RecordType::Hold:
      return withTerm<Hold>(From, TermInForce, [&](const Hold &R) { return hold(R, Offset); });
    default:
      return {};
    }
  }

  std::vector<const Job *> byAcceptance() const {
    std::vector<const Job *> All;
    for (const Shard &In : Shards_)
      for (const auto &[Id, One] : In.Jobs_)
        All.push_back(&One);
    std::ranges::sort(All, {}, [](const Job *One) { return One->AcceptSequence_; });
    return All;
  }

  const DomainStateOptions Options_;
  std::array<Shard, Shards> Shards_;
  mutable std::mutex IndexMutex_; ///< taken after a shard's lock
  WorkerIndex Index_;
  // Only the replay thread uses the members below.
  std::uint64_t Accepted_ = 0;
  std::uint64_t Finished_ = 0;
  std::deque<std::string> FinishedIds_; ///< finished jobs, oldest first

  explicit Impl(DomainStateOptions Options) : Options_(Options) {}
};

DomainState::DomainState(DomainStateOptions Options) : Impl_(std::make_unique<Impl>(Options)) {}

DomainState::~DomainState() = default;

Change DomainState::apply(const journal::Entry &Record, std::uint64_t Offset,
                          std::uint64_t TermInForce) {
  Change Result = Impl_->apply(Record, Offset, TermInForce);
  Impl_->prune();
  return Result;
}

std::optional<Job> DomainState::find(std::string_view Id) const {
  const Impl::Locked Found = Impl_->lock(std::string(Id));
  if (!Found.Job_)
    return std::nullopt;
  return *Found.Job_;
}

std::optional<TaskView> DomainState::findTask(std::string_view Id, std::uint32_t Number) const {
  const Impl::Locked Found = Impl_->lock(std::string(Id));
  if (!Found.Job_ || Number >= Found.Job_->Tasks_.size())
    return std::nullopt;
  return TaskView{Found.Job_->Spec_, Found.Job_->Tasks_[Number], Found.Job_->CancelRequested_};
}

std::vector<Job> DomainState::list(std::string_view Team) const {
  std::vector<Job> Result;
  for (const Impl::Shard &In : Impl_->Shards_) {
    const std::lock_guard Lock(In.Mutex_);
    for (const auto &[Id, One] : In.Jobs_)
      if (Team.empty() || One.Spec_->Team_ == Team)
        Result.push_back(One);
  }
  std::ranges::sort(Result, {}, &Job::AcceptSequence_);
  return Result;
}

std::vector<RunnableJob> DomainState::runnable() const {
  std::vector<RunnableJob> Result;
  for (const Impl::Shard &In : Impl_->Shards_) {
    const std::lock_guard Lock(In.Mutex_);
    for (const auto &[Sequence, One] : In.Active_) {
      if (One->CancelRequested_)
        continue;
      RunnableJob View{One->Spec_, Sequence};
      for (std::uint32_t Number = 0; Number < One->Tasks_.size(); ++Number) {
        const Task &Each = One->Tasks_[Number];
        if (Each.State_ == TaskState::Queued)
          View.Tasks_.push_back({Number, Each.Attempt_ + 1});
        else if (Each.State_ == TaskState::Running)
          ++View.Running_;
      }
      if (!View.Tasks_.empty())
        Result.push_back(std::move(View));
    }
  }
  std::ranges::sort(Result, {}, &RunnableJob::AcceptSequence_);
  return Result;
}

std::vector<RunningTask> DomainState::runningOn(std::string_view Worker) const {
  std::vector<RunningTask> Result;
  const std::lock_guard Lock(Impl_->IndexMutex_);
  const auto Found = Impl_->Index_.find(Worker);
  if (Found == Impl_->Index_.end())
    return Result;
  for (const auto &[Key, One] : Found->second)
    Result.push_back(One);
  return Result;
}

std::map<std::string, std::vector<RunningTask>> DomainState::runningByWorker() const {
  std::map<std::string, std::vector<RunningTask>> Result;
  const std::lock_guard Lock(Impl_->IndexMutex_);
  for (const auto &[Worker, Tasks] : Impl_->Index_)
    for (const auto &[Key, One] : Tasks)
      Result[Worker].push_back(One);
  return Result;
}

JobCounts DomainState::counts() const {
  JobCounts Result;
  for (const Impl::Shard &In : Impl_->Shards_) {
    const std::lock_guard Lock(In.Mutex_);
    for (const auto &[Id, One] : In.Jobs_)
      ++Result[One.State_];
  }
  return Result;
}

std::string DomainState::encode() const {
  WireState Wire;
  Wire.Accepted_ = Impl_->Accepted_;
  Wire.Finished_ = Impl_->Finished_;
  // Only the replay thread changes jobs, and it is the caller: no lock is needed to read them.
  for (const Job *One : Impl_->byAcceptance()) {
    if (Wire.Chunks_.empty() || Wire.Chunks_.back().size() >= JobsPerChunk)
      Wire.Chunks_.emplace_back();
    Wire.Chunks_.back().push_back({*One->Spec_, One->AcceptOffset_, One->AcceptSequence_,
                                   One->FinishSequence_, One->CancelRequested_, One->CancelledBy_,
                                   One->Tasks_});
  }
  return core::pack(Wire);
}

bool DomainState::decode(std::string_view Bytes) {
  auto Wire = core::unpack<WireState>(Bytes);
  if (!Wire || Wire->Version_ != 1)
    return false;
  std::array<JobMap, Shards> Jobs;
  std::map<std::uint64_t, std::string> FinishOrder;
  std::unordered_set<std::uint64_t> AcceptOrder;
  for (auto &Chunk : Wire->Chunks_) {
    for (WireJob &From : Chunk) {
      if (!isValid(From) || From.AcceptSequence_ > Wire->Accepted_ ||
          From.FinishSequence_ > Wire->Finished_ ||
          !AcceptOrder.insert(From.AcceptSequence_).second)
        return false;
      const std::string Id = From.Spec_.Id_;
      if (From.FinishSequence_ != 0 && !FinishOrder.emplace(From.FinishSequence_, Id).second)
        return false;
      Job One;
      One.State_ = stateOf(From.Tasks_);
      One.AcceptOffset_ = From.AcceptOffset_;
      One.AcceptSequence_ = From.AcceptSequence_;
      One.FinishSequence_ = From.FinishSequence_;
      One.CancelRequested_ = From.CancelRequested_;
      One.CancelledBy_ = std::move(From.CancelledBy_);
      One.Tasks_ = std::move(From.Tasks_);
      One.Spec_ = std::make_shared<const JobSpec>(std::move(From.Spec_));
      if (!Jobs.at(shardOf(Id)).emplace(Id, std::move(One)).second)
        return false;
    }
  }
  WorkerIndex Index;
  for (std::size_t Number = 0; Number < Shards; ++Number) {
    Impl::Shard &In = Impl_->Shards_.at(Number);
    const std::lock_guard Lock(In.Mutex_);
    In.Active_.clear();
    In.Jobs_ = std::move(Jobs.at(Number));
    for (auto &[Id, One] : In.Jobs_) {
      if (!isFinished(One.State_))
        In.Active_.emplace(One.AcceptSequence_, &One);
      for (std::uint32_t Each = 0; Each < One.Tasks_.size(); ++Each)
        if (One.Tasks_[Each].State_ == TaskState::Running)
          Index[One.Tasks_[Each].Worker_].emplace(TaskKey{Id, Each}, runningTask(One, Each));
    }
  }
  {
    const std::lock_guard Lock(Impl_->IndexMutex_);
    Impl_->Index_ = std::move(Index);
  }
  Impl_->Accepted_ = Wire->Accepted_;
  Impl_->Finished_ = Wire->Finished_;
  Impl_->FinishedIds_.clear();
  for (auto &[Sequence, Id] : FinishOrder)
    Impl_->FinishedIds_.push_back(std::move(Id));
  Impl_->prune();
  return true;
}

} // namespace masticdrift::jobs
