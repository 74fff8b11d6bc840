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

constexpr std::size_t ShardCount = 16;

/// Jobs per array of a snapshot, because core::unpack rejects arrays of more than 100,000 elements.
constexpr std::size_t MaxJobsPerChunk = 10'000;

std::size_t shardIndex(std::string_view Id) {
  return XXH3_64bits(Id.data(), Id.size()) % ShardCount;
}

/// \returns the state of a task after its current attempt has ended.
TaskState stateAfter(const Job &ParentJob, const End &Record) {
  const JobSpec &Spec = *ParentJob.Spec_;
  const bool IsService = Spec.Kind_ == JobKind::Service;
  const bool MayRunAgain = mayRunAgain(Spec, Record.Outcome_);
  switch (Record.Outcome_) {
  case TaskOutcome::Succeeded:
    if (!IsService)
      return TaskState::Succeeded;
    return ParentJob.CancelRequested_ ? TaskState::Cancelled : TaskState::Queued;
  case TaskOutcome::Failed:
    if (ParentJob.CancelRequested_)
      return IsService ? TaskState::Cancelled : TaskState::Failed;
    return MayRunAgain && (Record.RunAgain_ || IsService) ? TaskState::Queued : TaskState::Failed;
  case TaskOutcome::Stopped:
    if (ParentJob.CancelRequested_)
      return TaskState::Cancelled;
    return MayRunAgain && (Record.RunAgain_ || IsService) ? TaskState::Queued : TaskState::Failed;
  case TaskOutcome::Lost:
    if (!MayRunAgain)
      return TaskState::Held;
    return ParentJob.CancelRequested_ ? TaskState::Cancelled : TaskState::Queued;
  case TaskOutcome::Checkpointed:
  case TaskOutcome::NeverRan:
    return ParentJob.CancelRequested_ ? TaskState::Cancelled : TaskState::Queued;
  }
  return TaskState::Held;
}

ChangeKind changeOf(TaskState State) {
  if (State == TaskState::Queued)
    return ChangeKind::Requeued;
  return State == TaskState::Held ? ChangeKind::Held : ChangeKind::Ended;
}

/// A job in a snapshot. Its state is not stored, because it is derived from its tasks.
struct SnapshotJob {
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

/// Content of a snapshot.
struct SnapshotState {
  std::uint32_t Version_ = 1;
  std::uint64_t Accepted_ = 0;
  std::uint64_t Finished_ = 0;
  std::vector<std::vector<SnapshotJob>> Chunks_;
  MSGPACK_DEFINE_ARRAY(Version_, Accepted_, Finished_, Chunks_)
};

bool isValid(const SnapshotJob &Candidate) {
  if (!jobs::isValid(Candidate.Spec_) || Candidate.Tasks_.size() != Candidate.Spec_.TaskCount_)
    return false;
  for (const Task &JobTask : Candidate.Tasks_)
    if (JobTask.State_ > TaskState::Held ||
        (JobTask.State_ == TaskState::Running && JobTask.Attempt_ == 0))
      return false;
  return isFinished(stateOf(Candidate.Tasks_)) == (Candidate.FinishSequence_ != 0);
}

using TaskKey = std::pair<std::string, std::uint32_t>;
using WorkerIndex = std::map<std::string, std::map<TaskKey, RunningTask>, std::less<>>;
using JobMap = std::unordered_map<std::string, Job>;
using ActiveMap = std::map<std::uint64_t, Job *>;

RunningTask runningTask(const Job &ParentJob, std::uint32_t TaskIndex) {
  const Task &JobTask = ParentJob.Tasks_[TaskIndex];
  return {ParentJob.Spec_, TaskIndex,       JobTask.Attempt_,           JobTask.Worker_,
          JobTask.Term_,   JobTask.Offset_, ParentJob.CancelRequested_, JobTask.LeaseGeneration_};
}

} // namespace

struct DomainState::Impl {
  struct Shard {
    mutable std::mutex Mutex_;
    JobMap Jobs_;
    ActiveMap Active_; ///< unfinished jobs in order of acceptance
  };

  Shard &shard(std::string_view Id) { return Shards_.at(shardIndex(Id)); }

  /// A job, null when unknown, and the lock of its shard.
  struct LockedJob {
    std::unique_lock<std::mutex> Lock_;
    Shard *Shard_;
    Job *Job_;
  };

  LockedJob lockJob(const std::string &Id) {
    Shard &JobShard = shard(Id);
    std::unique_lock Lock(JobShard.Mutex_);
    const auto Position = JobShard.Jobs_.find(Id);
    return {std::move(Lock), &JobShard,
            Position == JobShard.Jobs_.end() ? nullptr : &Position->second};
  }

  Change accept(const Accept &Record, std::uint64_t Offset) {
    if (!isValid(Record.Job_))
      return {ChangeKind::Malformed};
    const std::string &Id = Record.Job_.Id_;
    Shard &JobShard = shard(Id);
    const std::lock_guard Lock(JobShard.Mutex_);
    auto [Position, Added] = JobShard.Jobs_.try_emplace(Id);
    if (!Added)
      return {ChangeKind::Duplicate, Id};
    Job &NewJob = Position->second;
    NewJob.Spec_ = std::make_shared<const JobSpec>(Record.Job_);
    NewJob.AcceptOffset_ = Offset;
    NewJob.AcceptSequence_ = ++Accepted_;
    NewJob.Tasks_.resize(Record.Job_.TaskCount_);
    JobShard.Active_.emplace(NewJob.AcceptSequence_, &NewJob);
    return {ChangeKind::Accepted, Id};
  }

  Change cancel(const Cancel &Record, std::uint64_t Offset) {
    LockedJob Handle = lockJob(Record.Job_);
    if (!Handle.Job_)
      return {ChangeKind::UnknownJob, Record.Job_};
    Job &TargetJob = *Handle.Job_;
    if (isFinished(TargetJob.State_) || TargetJob.CancelRequested_)
      return {ChangeKind::NotApplicable, Record.Job_};
    TargetJob.CancelRequested_ = true;
    TargetJob.CancelledBy_ = Record.RequestedBy_;
    for (std::uint32_t TaskIndex = 0; TaskIndex < TargetJob.Tasks_.size(); ++TaskIndex) {
      Task &JobTask = TargetJob.Tasks_[TaskIndex];
      if (JobTask.State_ == TaskState::Queued) {
        JobTask.State_ = TaskState::Cancelled;
        JobTask.Offset_ = Offset;
      } else if (JobTask.State_ == TaskState::Running) {
        addToIndex(TargetJob, TaskIndex);
      }
    }
    Change Result{ChangeKind::CancelRequested, Record.Job_};
    Result.JobFinished_ = updateState(Handle);
    return Result;
  }

  Change start(const Start &Record, std::uint64_t Offset) {
    LockedJob Handle = lockJob(Record.Job_);
    if (!Handle.Job_ || Record.Task_ >= Handle.Job_->Tasks_.size())
      return {ChangeKind::UnknownJob, Record.Job_, Record.Task_, Record.Attempt_};
    Job &TargetJob = *Handle.Job_;
    Task &JobTask = TargetJob.Tasks_[Record.Task_];
    if (JobTask.State_ != TaskState::Queued || Record.Attempt_ != JobTask.Attempt_ + 1)
      return {ChangeKind::NotApplicable, Record.Job_, Record.Task_, Record.Attempt_};
    JobTask.State_ = TaskState::Running;
    JobTask.Attempt_ = Record.Attempt_;
    JobTask.Worker_ = Record.Worker_;
    JobTask.Term_ = Record.Term_;
    JobTask.LeaseGeneration_ = Record.LeaseGeneration_;
    JobTask.Offset_ = Offset;
    JobTask.ExitCode_ = 0;
    addToIndex(TargetJob, Record.Task_);
    updateState(Handle);
    return {ChangeKind::Started, Record.Job_, Record.Task_, Record.Attempt_, Record.Worker_};
  }

  Change end(const End &Record, std::uint64_t Offset) {
    if (Record.Outcome_ > TaskOutcome::NeverRan)
      return {ChangeKind::Malformed};
    LockedJob Handle = lockJob(Record.Job_);
    if (!Handle.Job_ || Record.Task_ >= Handle.Job_->Tasks_.size())
      return {ChangeKind::UnknownJob, Record.Job_, Record.Task_, Record.Attempt_};
    Task &JobTask = Handle.Job_->Tasks_[Record.Task_];
    TaskState NewState = stateAfter(*Handle.Job_, Record);
    if (JobTask.State_ == TaskState::Held) {
      // The owner has learned how a held attempt ended: the task finishes, but never runs again.
      const bool Settles =
          Record.Outcome_ == TaskOutcome::Succeeded || Record.Outcome_ == TaskOutcome::Failed;
      NewState =
          Record.Outcome_ == TaskOutcome::Succeeded ? TaskState::Succeeded : TaskState::Failed;
      if (!Settles || Record.Attempt_ != JobTask.Attempt_)
        return {ChangeKind::NotApplicable, Record.Job_, Record.Task_, Record.Attempt_};
    } else if (JobTask.State_ != TaskState::Running || Record.Attempt_ != JobTask.Attempt_) {
      return {ChangeKind::NotApplicable, Record.Job_, Record.Task_, Record.Attempt_};
    }
    return finishAttempt(Handle, Record.Task_, NewState, Record.ExitCode_, {}, Offset);
  }

  Change hold(const Hold &Record, std::uint64_t Offset) {
    LockedJob Handle = lockJob(Record.Job_);
    if (!Handle.Job_ || Record.Task_ >= Handle.Job_->Tasks_.size())
      return {ChangeKind::UnknownJob, Record.Job_, Record.Task_, Record.Attempt_};
    const Task &JobTask = Handle.Job_->Tasks_[Record.Task_];
    if (JobTask.State_ != TaskState::Running || Record.Attempt_ != JobTask.Attempt_)
      return {ChangeKind::NotApplicable, Record.Job_, Record.Task_, Record.Attempt_};
    return finishAttempt(Handle, Record.Task_, TaskState::Held, 0, Record.Reason_, Offset);
  }

  Change finishAttempt(LockedJob &Handle, std::uint32_t TaskIndex, TaskState NewState,
                       std::int32_t ExitCode, const std::string &Reason, std::uint64_t Offset) {
    Task &JobTask = Handle.Job_->Tasks_[TaskIndex];
    removeFromIndex(*Handle.Job_, TaskIndex);
    JobTask.State_ = NewState;
    JobTask.ExitCode_ = ExitCode;
    JobTask.Reason_ = Reason;
    JobTask.Offset_ = Offset;
    Change Result{changeOf(NewState), Handle.Job_->Spec_->Id_, TaskIndex, JobTask.Attempt_,
                  JobTask.Worker_};
    Result.JobFinished_ = updateState(Handle);
    return Result;
  }

  /// Updates the job's state from its tasks.
  ///
  /// \returns true when the job changed to a final state.
  bool updateState(LockedJob &Handle) {
    Job &TargetJob = *Handle.Job_;
    const JobState Before = std::exchange(TargetJob.State_, stateOf(TargetJob.Tasks_));
    if (!isFinished(TargetJob.State_) || TargetJob.State_ == Before)
      return false;
    if (TargetJob.FinishSequence_ == 0) {
      TargetJob.FinishSequence_ = ++Finished_;
      Handle.Shard_->Active_.erase(TargetJob.AcceptSequence_);
      FinishedIds_.push_back(TargetJob.Spec_->Id_);
    }
    return true;
  }

  /// Removes the oldest finished jobs above the limit. The caller must not hold a shard lock.
  void prune() {
    while (FinishedIds_.size() > Options_.MaxFinishedJobs_) {
      const std::string Id = std::move(FinishedIds_.front());
      FinishedIds_.pop_front();
      Shard &JobShard = shard(Id);
      const std::lock_guard Lock(JobShard.Mutex_);
      JobShard.Jobs_.erase(Id);
    }
  }

  void addToIndex(const Job &ParentJob, std::uint32_t TaskIndex) {
    const std::lock_guard Lock(IndexMutex_);
    Index_[ParentJob.Tasks_[TaskIndex].Worker_].insert_or_assign(
        TaskKey{ParentJob.Spec_->Id_, TaskIndex}, runningTask(ParentJob, TaskIndex));
  }

  void removeFromIndex(const Job &ParentJob, std::uint32_t TaskIndex) {
    const std::lock_guard Lock(IndexMutex_);
    const auto WorkerTasks = Index_.find(ParentJob.Tasks_[TaskIndex].Worker_);
    if (WorkerTasks == Index_.end())
      return;
    WorkerTasks->second.erase(TaskKey{ParentJob.Spec_->Id_, TaskIndex});
    if (WorkerTasks->second.empty())
      Index_.erase(WorkerTasks);
  }

  /// Decodes a record with a term and applies it if its term is in force.
  template <typename T, typename F>
  static Change withTerm(const journal::Entry &LogEntry, std::uint64_t TermInForce, F Apply) {
    const auto Record = core::unpack<T>(LogEntry.Body_);
    if (!Record)
      return {ChangeKind::Malformed};
    if (Record->Term_ != TermInForce)
      return {ChangeKind::StaleTerm, Record->Job_, Record->Task_, Record->Attempt_};
    return Apply(*Record);
  }

  Change apply(const journal::Entry &LogEntry, std::uint64_t Offset, std::uint64_t TermInForce) {
    using journal::RecordType;
    switch (LogEntry.Type_) {
    case RecordType::Accept: {
      const auto Record = core::unpack<Accept>(LogEntry.Body_);
      return Record ? accept(*Record, Offset) : Change{ChangeKind::Malformed};
    }
    case RecordType::Cancel: {
      const auto Record = core::unpack<Cancel>(LogEntry.Body_);
      return Record ? cancel(*Record, Offset) : Change{ChangeKind::Malformed};
    }
    case RecordType::Start:
      return withTerm<Start>(LogEntry, TermInForce,
                             [&](const Start &Record) { return start(Record, Offset); });
    case RecordType::End:
      return withTerm<End>(LogEntry, TermInForce,
                           [&](const End &Record) { return end(Record, Offset); });
    case RecordType::Hold:
      return withTerm<Hold>(LogEntry, TermInForce,
                            [&](const Hold &Record) { return hold(Record, Offset); });
    default:
      return {};
    }
  }

  std::vector<const Job *> byAcceptance() const {
    std::vector<const Job *> Sorted;
    for (const Shard &JobShard : Shards_)
      for (const auto &[Id, KnownJob] : JobShard.Jobs_)
        Sorted.push_back(&KnownJob);
    std::ranges::sort(Sorted, {}, [](const Job *KnownJob) { return KnownJob->AcceptSequence_; });
    return Sorted;
  }

  const DomainStateOptions Options_;
  std::array<Shard, ShardCount> Shards_;
  mutable std::mutex IndexMutex_; ///< lock order: after the mutex of a shard
  WorkerIndex Index_;
  // The following members are used only by the replay thread.
  std::uint64_t Accepted_ = 0;
  std::uint64_t Finished_ = 0;
  std::deque<std::string> FinishedIds_; ///< ids of finished jobs, oldest first

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
  const Impl::LockedJob Handle = Impl_->lockJob(std::string(Id));
  if (!Handle.Job_)
    return std::nullopt;
  return *Handle.Job_;
}

std::optional<TaskView> DomainState::findTask(std::string_view Id, std::uint32_t TaskIndex) const {
  const Impl::LockedJob Handle = Impl_->lockJob(std::string(Id));
  if (!Handle.Job_ || TaskIndex >= Handle.Job_->Tasks_.size())
    return std::nullopt;
  return TaskView{Handle.Job_->Spec_, Handle.Job_->Tasks_[TaskIndex],
                  Handle.Job_->CancelRequested_};
}

std::vector<Job> DomainState::list(std::string_view Team) const {
  std::vector<Job> Result;
  for (const Impl::Shard &JobShard : Impl_->Shards_) {
    const std::lock_guard Lock(JobShard.Mutex_);
    for (const auto &[Id, KnownJob] : JobShard.Jobs_)
      if (Team.empty() || KnownJob.Spec_->Team_ == Team)
        Result.push_back(KnownJob);
  }
  std::ranges::sort(Result, {}, &Job::AcceptSequence_);
  return Result;
}

std::vector<RunnableJob> DomainState::runnable() const {
  std::vector<RunnableJob> Result;
  for (const Impl::Shard &JobShard : Impl_->Shards_) {
    const std::lock_guard Lock(JobShard.Mutex_);
    for (const auto &[Sequence, ActiveJob] : JobShard.Active_) {
      if (ActiveJob->CancelRequested_)
        continue;
      RunnableJob View{ActiveJob->Spec_, Sequence};
      for (std::uint32_t TaskIndex = 0; TaskIndex < ActiveJob->Tasks_.size(); ++TaskIndex) {
        const Task &JobTask = ActiveJob->Tasks_[TaskIndex];
        if (JobTask.State_ == TaskState::Queued)
          View.Tasks_.push_back({TaskIndex, JobTask.Attempt_ + 1});
        else if (JobTask.State_ == TaskState::Running)
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
  const auto WorkerTasks = Impl_->Index_.find(Worker);
  if (WorkerTasks == Impl_->Index_.end())
    return Result;
  for (const auto &[Key, Running] : WorkerTasks->second)
    Result.push_back(Running);
  return Result;
}

std::map<std::string, std::vector<RunningTask>> DomainState::runningByWorker() const {
  std::map<std::string, std::vector<RunningTask>> Result;
  const std::lock_guard Lock(Impl_->IndexMutex_);
  for (const auto &[Worker, Tasks] : Impl_->Index_)
    for (const auto &[Key, Running] : Tasks)
      Result[Worker].push_back(Running);
  return Result;
}

JobCounts DomainState::counts() const {
  JobCounts Result;
  for (const Impl::Shard &JobShard : Impl_->Shards_) {
    const std::lock_guard Lock(JobShard.Mutex_);
    for (const auto &[Id, KnownJob] : JobShard.Jobs_)
      ++Result[KnownJob.State_];
  }
  return Result;
}

std::string DomainState::encode() const {
  SnapshotState State;
  State.Accepted_ = Impl_->Accepted_;
  State.Finished_ = Impl_->Finished_;
  // No lock is needed: only the replay thread changes jobs, and it is the caller.
  for (const Job *KnownJob : Impl_->byAcceptance()) {
    if (State.Chunks_.empty() || State.Chunks_.back().size() >= MaxJobsPerChunk)
      State.Chunks_.emplace_back();
    State.Chunks_.back().push_back({*KnownJob->Spec_, KnownJob->AcceptOffset_,
                                    KnownJob->AcceptSequence_, KnownJob->FinishSequence_,
                                    KnownJob->CancelRequested_, KnownJob->CancelledBy_,
                                    KnownJob->Tasks_});
  }
  return core::pack(State);
}

bool DomainState::decode(std::string_view Bytes) {
  auto State = core::unpack<SnapshotState>(Bytes);
  if (!State || State->Version_ != 1)
    return false;
  std::array<JobMap, ShardCount> Jobs;
  std::map<std::uint64_t, std::string> FinishOrder;
  std::unordered_set<std::uint64_t> AcceptOrder;
  for (auto &Chunk : State->Chunks_) {
    for (SnapshotJob &Encoded : Chunk) {
      if (!isValid(Encoded) || Encoded.AcceptSequence_ > State->Accepted_ ||
          Encoded.FinishSequence_ > State->Finished_ ||
          !AcceptOrder.insert(Encoded.AcceptSequence_).second)
        return false;
      const std::string Id = Encoded.Spec_.Id_;
      if (Encoded.FinishSequence_ != 0 && !FinishOrder.emplace(Encoded.FinishSequence_, Id).second)
        return false;
      Job Decoded;
      Decoded.State_ = stateOf(Encoded.Tasks_);
      Decoded.AcceptOffset_ = Encoded.AcceptOffset_;
      Decoded.AcceptSequence_ = Encoded.AcceptSequence_;
      Decoded.FinishSequence_ = Encoded.FinishSequence_;
      Decoded.CancelRequested_ = Encoded.CancelRequested_;
      Decoded.CancelledBy_ = std::move(Encoded.CancelledBy_);
      Decoded.Tasks_ = std::move(Encoded.Tasks_);
      Decoded.Spec_ = std::make_shared<const JobSpec>(std::move(Encoded.Spec_));
      if (!Jobs.at(shardIndex(Id)).emplace(Id, std::move(Decoded)).second)
        return false;
    }
  }
  WorkerIndex Index;
  for (std::size_t ShardNumber = 0; ShardNumber < ShardCount; ++ShardNumber) {
    Impl::Shard &JobShard = Impl_->Shards_.at(ShardNumber);
    const std::lock_guard Lock(JobShard.Mutex_);
    JobShard.Active_.clear();
    JobShard.Jobs_ = std::move(Jobs.at(ShardNumber));
    for (auto &[Id, KnownJob] : JobShard.Jobs_) {
      if (!isFinished(KnownJob.State_))
        JobShard.Active_.emplace(KnownJob.AcceptSequence_, &KnownJob);
      for (std::uint32_t TaskIndex = 0; TaskIndex < KnownJob.Tasks_.size(); ++TaskIndex)
        if (KnownJob.Tasks_[TaskIndex].State_ == TaskState::Running)
          Index[KnownJob.Tasks_[TaskIndex].Worker_].emplace(TaskKey{Id, TaskIndex},
                                                            runningTask(KnownJob, TaskIndex));
    }
  }
  {
    const std::lock_guard Lock(Impl_->IndexMutex_);
    Impl_->Index_ = std::move(Index);
  }
  Impl_->Accepted_ = State->Accepted_;
  Impl_->Finished_ = State->Finished_;
  Impl_->FinishedIds_.clear();
  for (auto &[Sequence, Id] : FinishOrder)
    Impl_->FinishedIds_.push_back(std::move(Id));
  Impl_->prune();
  return true;
}

} // namespace masticdrift::jobs
