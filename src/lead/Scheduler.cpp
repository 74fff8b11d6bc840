#include "masticdrift/lead/Scheduler.h"

#include "masticdrift/lead/Capacity.h"
#include "masticdrift/lead/detail/Times.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

using detail::isUnset;

/// Number of executors per advice request that the completion objective assumes.
constexpr int AdviceExecutorsPerCall = 30;
/// A job has no value once its objective is exceeded by this factor.
constexpr int ValueExpiryFactor = 3;
/// Time of a term from which on no larger executors than those listed are expected: entries that
/// expired while the log service was away are back within seconds of its return.
constexpr core::Millis CapacityCatalogTime{10'000};
/// Maximum age of a job that is derived from the acceptance time on another machine's clock.
constexpr core::Millis MaxTrustedAge{60'000};

/// \returns the time of the request for advice that a step waits for.
core::Millis adviceTime(const work::Queue &Queue) {
  if (!Queue.Advice_)
    return core::Millis(0);
  return core::Millis(static_cast<std::int64_t>(
      Queue.Advice_->FixedMs_ + Queue.Advice_->PerExecutorMs_ * AdviceExecutorsPerCall));
}

/// \returns the run time of the longest chain of dependent steps from each step on, including the
/// advice requests of the steps after it.
std::vector<core::Millis> remainingChains(const work::JobSpec &Spec, const work::Queue &Queue,
                                          std::span<const core::Millis> StepTimes) {
  std::vector<core::Millis> Chains(StepTimes.begin(), StepTimes.end());
  // Steps depend on earlier ones only.
  for (std::size_t I = Spec.Steps_.size(); I-- > 0;)
    for (const std::uint32_t Earlier : Spec.Steps_[I].DependsOn_)
      Chains[Earlier] =
          std::max(Chains[Earlier], StepTimes[Earlier] + adviceTime(Queue) + Chains[I]);
  return Chains;
}

/// \returns the run time of the longest chain of dependent steps, including their advice requests.
core::Millis longestChain(const work::Queue &Queue, std::span<const core::Millis> Chains) {
  core::Millis Longest{0};
  for (const core::Millis Chain : Chains)
    Longest = std::max(Longest, Chain);
  return Longest + adviceTime(Queue);
}

core::Millis objectiveOf(const work::Queue &Queue, core::Millis Chain) {
  return core::Millis(
      static_cast<std::int64_t>(Queue.Stretch_ * static_cast<double>(Chain.count())) +
      Queue.TargetMs_);
}

/// \returns the progress of a step in \p Record; adds it when it is missing.
work::StepProgress &stepProgress(work::ProgressRecord &Record, std::uint32_t Occurrence,
                                 std::uint32_t Step, std::size_t Count) {
  for (work::StepProgress &Existing : Record.Steps_)
    if (Existing.Occurrence_ == Occurrence && Existing.Step_ == Step)
      return Existing;
  Record.Steps_.push_back({Occurrence, Step, std::vector<bool>(Count)});
  return Record.Steps_.back();
}

} // namespace

Scheduler::Scheduler(std::uint64_t Token, SchedulerTiming Timing, SchedulerActions Actions,
                     core::TimePoint Now, bool RosterComplete)
    : Token_(Token), Timing_(Timing), Actions_(std::move(Actions)), TermStart_(Now),
      RosterComplete_(RosterComplete) {}

void Scheduler::setManifest(const work::Manifest &Manifest, core::TimePoint Now) {
  Manifest_ = Manifest;
  for (auto &[Id, Job] : Jobs_)
    if (const work::Queue *Queue = work::findQueueByName(Manifest_, Job.Acceptance_.Queue_.Name_))
      Job.Queue_ = *Queue;
  if (PlacesEnabled_)
    for (auto &[Id, Job] : Jobs_)
      updateRegions(Job);
  PlacementDue_ = true;
  NextPlacementAt_ = std::min(NextPlacementAt_, Now);
}

void Scheduler::onJob(const work::JobTableEntry &Job, core::TimePoint Now, std::int64_t WallMs) {
  // Only the leader of a term writes that it has begun a job, so a later term has begun. That is
  // recorded with the job's acceptance or with its progress.
  Fenced_ =
      Fenced_ || Job.StartedTerm_ > Token_ || (Job.Progress_ && Job.Progress_->Term_ > Token_);
  // The table shows an end only when it is durable.
  if (Fenced_ || FinalJobs_.contains(Job.Id_))
    return;
  if (const auto Found = Jobs_.find(Job.Id_); Found != Jobs_.end()) {
    if (Job.Cancelled_ && !Found->second.Ended_)
      endJob(Found->second, work::JobState::Cancelled, Now);
    return;
  }
  if (!Job.Accepted_)
    return;
  if (Job.Progress_)
    for (const work::VoidedRuns &Voided : Job.Progress_->Voided_)
      VoidedRuns_.try_emplace({Job.Id_, Voided.Occurrence_, Voided.Step_, Voided.Index_},
                              VoidRecord{Voided.UpTo_, Voided.UpTo_, 0});
  const bool Ended = work::isFinal(Job.state());
  if (Ended && !Job.HasSpec_) {
    // A cancelled job is taken up with its specification, unless an earlier leader has ended it.
    if (Job.SpecRemoved_ || (Job.Progress_ && work::isFinal(Job.Progress_->State_)))
      FinalJobs_.insert(Job.Id_);
    return;
  }
  if (!Job.HasSpec_) {
    logDecision("job_waits_for_specification", {Job.Id_, 0, 0, 0}, 0, {}, {});
    return;
  }
  TrackedJob &NewJob = Jobs_[Job.Id_];
  NewJob.Id_ = Job.Id_;
  NewJob.Acceptance_ = Job.Acceptance_;
  NewJob.Spec_ = Job.Spec_;
  NewJob.Queue_ = Job.Acceptance_.Queue_;
  if (const work::Queue *Queue = work::findQueueByName(Manifest_, NewJob.Queue_.Name_))
    NewJob.Queue_ = *Queue;
  if (Job.Progress_)
    NewJob.Progress_ = *Job.Progress_;
  const bool BegunByThisTerm = NewJob.Progress_.Term_ == Token_ || Job.StartedTerm_ == Token_;
  NewJob.Inherited_ = !BegunByThisTerm && (NewJob.Progress_.Term_ != 0 || Job.StartedTerm_ != 0);
  NewJob.Ended_ = Ended;
  initJob(NewJob, Now, WallMs);
  updateRegions(NewJob);
  if (Ended) {
    takeUpEndedJob(NewJob, Now);
    return;
  }
  if (BegunByThisTerm)
    NewJob.Progress_.Term_ = Token_;
  else if (!NewJob.Inherited_)
    NewJob.BegunFlush_ = NoFlush;
  if (!NewJob.Queue_.Advice_)
    beginJob(NewJob);
  logDecision("job_taken", {Job.Id_, 0, 0, 0}, 0, {},
              std::string(NewJob.Inherited_
                              ? "begun by an earlier leader"
                              : (BegunByThisTerm ? "begun with its acceptance" : "new")) +
                  (NewJob.OverRate_ ? ", over its customer's rate" : ""));
  reconcileLateJob(NewJob, Now);
  voidRunsOfLateJob(NewJob, WallMs);
  settleInheritedSuspicions(NewJob, Now);
  if (Accounted_)
    stopIncompleteGangs(NewJob, Now);
  PlacementDue_ = true;
}

/// Makes durable that the job may have runs from now on, unless that was done. A job is begun when
/// its first start comes into sight: the tasks of jobs that were never begun need not wait for the
/// runs of earlier leaders.
void Scheduler::beginJob(TrackedJob &Job) {
  if (Job.BegunFlush_ != NoFlush)
    return;
  Job.Progress_.Term_ = Token_;
  Job.BegunFlush_ = NextFlush_;
  markDirty(Job);
}

void Scheduler::onJobForgotten(const std::string &Id) {
  FinalJobs_.erase(Id);
  const auto IsOfJob = [&Id](const auto &Entry) { return Entry.first.Job_ == Id; };
  std::erase_if(VoidedRuns_, IsOfJob);
  std::erase_if(LapsedBeforeRead_, IsOfJob);
}

/// Tracks a job that has ended before this leader has read it until all its runs are over.
void Scheduler::takeUpEndedJob(TrackedJob &Job, core::TimePoint Now) {
  logDecision("ended_job_taken", {Job.Id_, 0, 0, 0}, 0, {},
              Job.Inherited_ ? "may have runs of an earlier leader" : "never begun");
  reconcileLateJob(Job, Now);
  // Nobody led when the job was cancelled.
  if (!work::isFinal(Job.Progress_.State_))
    endJob(Job, work::JobState::Cancelled, Now);
}

void Scheduler::initJob(TrackedJob &Job, core::TimePoint Now, std::int64_t WallMs) {
  const work::JobSpec &Spec = Job.Spec_;
  const core::Millis Age = std::clamp(core::Millis(WallMs - Job.Acceptance_.AcceptedMs_),
                                      core::Millis(0), MaxTrustedAge);
  Job.AcceptedAt_ = Now - Age;
  for (std::uint32_t I = 0; I < Spec.Steps_.size(); ++I)
    Job.ExpectedTimes_.push_back(RunTimes_
                                     .predict({Job.Queue_.Name_, Job.Acceptance_.Customer_, I},
                                              core::Millis(Spec.Steps_[I].EstimatedMs_))
                                     .Mean_);
  Job.RemainingChains_ = remainingChains(Spec, Job.Queue_, Job.ExpectedTimes_);
  Job.Objective_ = objectiveOf(Job.Queue_, longestChain(Job.Queue_, Job.RemainingChains_));
  Job.Deadline_ = Job.AcceptedAt_ + Job.Objective_;
  Job.ValueExpiresAt_ = Job.AcceptedAt_ + ValueExpiryFactor * Job.Objective_;
  if (const auto Customer = Manifest_.Customers_.find(Job.Acceptance_.Customer_);
      Customer != Manifest_.Customers_.end() && Customer->second.Weight_ > 0 && !Job.Ended_) {
    // Jobs over the customer's rate are placed after the jobs of all customers within theirs.
    RateTokens &Tokens = RateTokens_[Job.Acceptance_.Customer_];
    Tokens = refilled(Tokens, Customer->second.Weight_, Job.AcceptedAt_);
    Job.OverRate_ = takeToken(Tokens, Customer->second.Weight_, Job.Queue_.Priority_ == 0);
  }
  Job.Occurrences_.resize(work::occurrenceCount(Spec));
  for (std::uint32_t K = 0; K < Job.Occurrences_.size(); ++K) {
    TrackedOccurrence &Occurrence = Job.Occurrences_[K];
    Occurrence.DueMs_ = Spec.RunCount_ == 0 ? 0 : Spec.FirstRunMs_ + K * Spec.IntervalMs_;
    Occurrence.Due_ = Occurrence.DueMs_ <= WallMs;
    Occurrence.Steps_.resize(Spec.Steps_.size());
    for (std::size_t I = 0; I < Spec.Steps_.size(); ++I) {
      Occurrence.Steps_[I].Tasks_.resize(Spec.Steps_[I].TaskCount_);
      Occurrence.Steps_[I].WaitingTasks_ = Spec.Steps_[I].TaskCount_;
    }
  }
  // The table may have dropped the done tasks of a job that has ended.
  if (Job.Progress_.State_ == work::JobState::Completed)
    for (TrackedOccurrence &Occurrence : Job.Occurrences_)
      for (TrackedStep &Step : Occurrence.Steps_) {
        std::ranges::fill(Step.Tasks_, TrackedTask{TaskState::Done});
        Step.DoneTasks_ = std::exchange(Step.WaitingTasks_, 0);
      }
  for (const work::StepProgress &Saved : Job.Progress_.Steps_) {
    if (Saved.Occurrence_ >= Job.Occurrences_.size() || Saved.Step_ >= Spec.Steps_.size())
      continue;
    TrackedOccurrence &Occurrence = Job.Occurrences_[Saved.Occurrence_];
    TrackedStep &Step = Occurrence.Steps_[Saved.Step_];
    for (std::size_t I = 0; I < Saved.Done_.size() && I < Step.Tasks_.size(); ++I)
      if (Saved.Done_[I] && Step.Tasks_[I].State_ != TaskState::Done) {
        Step.Tasks_[I].State_ = TaskState::Done;
        ++Step.DoneTasks_;
        --Step.WaitingTasks_;
      }
    if (Step.DoneTasks_ == Step.Tasks_.size())
      ++Occurrence.DoneSteps_;
  }
  for (std::uint32_t K = 0; K < Job.Occurrences_.size(); ++K)
    updateReadySteps(Job, K);
  if (!Job.Progress_.Suspects_.empty() && !Job.Ended_)
    SuspectJobs_.insert(Job.Id_);
}

bool Scheduler::isOverRate(const std::string &Customer, int Priority, core::TimePoint Now) const {
  const auto Entry = Manifest_.Customers_.find(Customer);
  const auto Tokens = RateTokens_.find(Customer);
  return Entry != Manifest_.Customers_.end() && Entry->second.Weight_ > 0 &&
         Tokens != RateTokens_.end() &&
         exceedsRate(refilled(Tokens->second, Entry->second.Weight_, Now), Priority == 0);
}

void Scheduler::surveyStep(const TrackedJob &Job, std::size_t Step, const TrackedStep &Waiting,
                           bool InTime) {
  const work::StepSpec &Spec = Job.Spec_.Steps_[Step];
  // Lasting tasks take their room for good, and filling ones only what is left.
  // What fits nowhere keeps nothing from starting.
  if (Waiting.WaitingTasks_ == 0 || Spec.LongRunning_ || Spec.BestEffort_ ||
      !Capacities_.mayFit(Job.Queue_.Pool_, Spec.RequiredLabel_, Spec.Need_))
    return;
  Admission_.add(Job.Acceptance_.Customer_, Job.Queue_.Pool_, Job.Queue_.Priority_, InTime,
                 resourceTime(Spec.Need_, Waiting.WaitingTasks_, Job.ExpectedTimes_[Step]));
}

AdmissionDecision Scheduler::admit(std::string_view JobId, const work::AcceptedRecord &Acceptance,
                                   const work::JobSpec &Spec, const WorkMemory &Memory,
                                   core::TimePoint Now) {
  const work::Queue &Queue = Acceptance.Queue_;
  AdmissionDecision Decision;
  // The daemon that received the job may have a newer configuration.
  const work::Queue *KnownQueue = work::findQueueByName(Manifest_, Queue.Name_);
  if (KnownQueue != nullptr && KnownQueue->Pool_ == Queue.Pool_ &&
      !Manifest_.Pools_.contains(Queue.Pool_)) {
    Decision.Outcome_ = AdmissionOutcome::UnknownPool;
    return Decision;
  }
  const bool SizesKnown = Now - TermStart_ >= CapacityCatalogTime;
  std::vector<core::Millis> StepTimes;
  ResourceTime Work;
  bool Lasting = false;
  for (std::uint32_t I = 0; I < Spec.Steps_.size(); ++I) {
    const work::StepSpec &Step = Spec.Steps_[I];
    core::Resources Need = Step.Need_;
    if (Step.BestEffort_)
      Need.MilliCores_ = 0;
    const bool Fits = Capacities_.mayFit(Queue.Pool_, Step.RequiredLabel_, Need);
    if (SizesKnown && !Fits) {
      Decision.Outcome_ = AdmissionOutcome::ImpossibleSize;
      return Decision;
    }
    // All tasks of a gang run at the same time.
    if (Step.Gang_ && Step.TaskCount_ > RunLimit_) {
      Decision.Outcome_ = AdmissionOutcome::ImpossibleMemory;
      return Decision;
    }
    Lasting = Lasting || Step.LongRunning_;
    StepTimes.push_back(
        RunTimes_.predict({Queue.Name_, Acceptance.Customer_, I}, core::Millis(Step.EstimatedMs_))
            .Mean_);
    if (!Step.BestEffort_ && Fits)
      Work += resourceTime(Step.Need_, Step.TaskCount_, StepTimes.back());
  }
  const std::size_t JobBytes = Acceptance.MemoryBytes_ > 0
                                   ? static_cast<std::size_t>(Acceptance.MemoryBytes_)
                                   : jobMemory(Spec);
  Decision = admitMemory(Memory, JobBytes, JobId);
  if (Decision.Outcome_ != AdmissionOutcome::Accepted)
    return Decision;
  // Jobs that last or are due later wait for other things than this backlog.
  const auto Customer = Manifest_.Customers_.find(Acceptance.Customer_);
  if (Lasting || Spec.RunCount_ > 0 || Customer == Manifest_.Customers_.end())
    return Decision;
  AdmissionRequest Request;
  Request.Customer_ = Acceptance.Customer_;
  Request.Pool_ = Queue.Pool_;
  Request.JobId_ = JobId;
  Request.Priority_ = Queue.Priority_;
  Request.OverRate_ = isOverRate(Acceptance.Customer_, Queue.Priority_, Now);
  Request.Chain_ = longestChain(Queue, remainingChains(Spec, Queue, StepTimes));
  Request.Objective_ = objectiveOf(Queue, Request.Chain_);
  Request.ValueExpiry_ = ValueExpiryFactor * Request.Objective_;
  Request.CustomerLimit_ = Customer->second.UpperLimit_;
  Decision = Admission_.decide(Request);
  if (Decision.Outcome_ == AdmissionOutcome::Accepted)
    Admission_.add(Acceptance.Customer_, Queue.Pool_, Queue.Priority_, !Request.OverRate_, Work);
  return Decision;
}

void Scheduler::updateReadySteps(TrackedJob &Job, std::uint32_t Occurrence) {
  auto &Steps = Job.Occurrences_[Occurrence].Steps_;
  for (std::size_t I = 0; I < Steps.size(); ++I)
    Steps[I].Ready_ =
        std::ranges::all_of(Job.Spec_.Steps_[I].DependsOn_, [&](std::uint32_t Earlier) {
          return Steps[Earlier].DoneTasks_ == Steps[Earlier].Tasks_.size();
        });
}

void Scheduler::finishTask(TrackedJob &Job, const work::TaskRef &Task, core::TimePoint Now) {
  TrackedStep &Step = *findStep(Job, Task);
  TrackedTask &Tracked = Step.Tasks_[Task.Index_];
  if (Tracked.State_ == TaskState::Done)
    return;
  if (Tracked.State_ == TaskState::Waiting)
    --Step.WaitingTasks_;
  Tracked.State_ = TaskState::Done;
  ++Step.DoneTasks_;
  stepProgress(Job.Progress_, Task.Occurrence_, Task.Step_, Step.Tasks_.size()).Done_[Task.Index_] =
      true;
  if (Job.Progress_.State_ == work::JobState::Queued)
    Job.Progress_.State_ = work::JobState::Running;
  markDirty(Job);
  if (Step.DoneTasks_ == Step.Tasks_.size())
    finishStep(Job, Task.Occurrence_, Task.Step_, Now);
}

void Scheduler::finishStep(TrackedJob &Job, std::uint32_t Occurrence, std::uint32_t,
                           core::TimePoint Now) {
  TrackedOccurrence &Tracked = Job.Occurrences_[Occurrence];
  ++Tracked.DoneSteps_;
  updateReadySteps(Job, Occurrence);
  PlacementDue_ = true;
  if (Tracked.DoneSteps_ < Tracked.Steps_.size())
    return;
  ++Job.Progress_.FinishedOccurrences_;
  if (std::ranges::all_of(Job.Occurrences_, [](const TrackedOccurrence &Other) {
        return Other.DoneSteps_ == Other.Steps_.size();
      }))
    endJob(Job, work::JobState::Completed, Now);
}

void Scheduler::endJob(TrackedJob &Job, work::JobState State, core::TimePoint Now,
                       work::FailureReason Reason) {
  Job.Ended_ = true;
  Job.Progress_.State_ = State;
  Job.Progress_.FailureReason_ = Reason;
  Job.Progress_.FinalMs_ = core::wallMillis();
  Job.EndFlush_ = NextFlush_;
  markDirty(Job);
  const bool Failed = State == work::JobState::Failed;
  logDecision("job_ended", {Job.Id_, 0, 0, 0}, 0, {},
              std::string(work::nameOf(State)) +
                  (Failed ? ", " + std::string(work::nameOf(Reason)) : std::string()));
  if (Failed && Actions_.CountFailedJob_)
    Actions_.CountFailedJob_(Reason);
  stopJobRuns(Job, work::nameOf(State), Now);
}

bool Scheduler::hasEnded(const std::string &Id) const {
  return knowledgeOf(Id) == JobKnowledge::Ended;
}

JobKnowledge Scheduler::knowledgeOf(const std::string &Id) const {
  const auto Found = Jobs_.find(Id);
  if (Found != Jobs_.end())
    return Found->second.Ended_ ? JobKnowledge::Ended : JobKnowledge::Tracked;
  return FinalJobs_.contains(Id) ? JobKnowledge::Ended : JobKnowledge::Unknown;
}

/// Stops the adopted runs of gangs that have lost a member together with the earlier leader.
void Scheduler::stopIncompleteGangs(TrackedJob &Job, core::TimePoint Now) {
  if (!Job.Inherited_ || Job.Ended_)
    return;
  for (std::uint32_t K = 0; K < Job.Occurrences_.size(); ++K)
    for (std::uint32_t I = 0; I < Job.Spec_.Steps_.size(); ++I)
      if (Job.Spec_.Steps_[I].Gang_ && Job.Occurrences_[K].Steps_[I].WaitingTasks_ > 0)
        stopStepRuns(Job, {Job.Id_, K, I, 0}, "gang is not complete", Now);
}

void Scheduler::countFailure(TrackedJob &Job, const work::TaskRef &Task, std::uint64_t Number,
                             core::TimePoint Now) {
  const std::uint32_t Index = stepSpec(Job, Task).Gang_ ? 0 : Task.Index_;
  auto &Failures = Job.Progress_.Failures_;
  auto Found = std::ranges::find_if(Failures, [&](const work::FailureCount &Failure) {
    return Failure.Occurrence_ == Task.Occurrence_ && Failure.Step_ == Task.Step_ &&
           Failure.Index_ == Index;
  });
  if (Found == Failures.end())
    Found = Failures.insert(Failures.end(), {Task.Occurrence_, Task.Step_, Index, {}});
  if (std::ranges::find(Found->Runs_, Number) != Found->Runs_.end())
    return;
  Found->Runs_.push_back(Number);
  markDirty(Job);
  if (Found->Runs_.size() >= Job.Queue_.MaxAttempts_)
    endJob(Job, work::JobState::Failed, Now, work::FailureReason::AttemptsSpent);
}

void Scheduler::markDirty(const TrackedJob &Job) { DirtyJobs_.insert(Job.Id_); }

bool Scheduler::recordsAllowStart(const TrackedJob &Job) const {
  if (DurableFlush_ < Job.VoidFlush_)
    return false;
  // A hidden end may be that of the task.
  return Job.Inherited_ ? !EndsHidden_ : DurableFlush_ >= Job.BegunFlush_;
}

bool Scheduler::mayStart(const TrackedJob &Job, const work::StepSpec &Spec) const {
  if (!recordsAllowStart(Job))
    return false;
  return !Job.Inherited_ || Accounted_ || (AllContacted_ && Spec.AllowDuplicates_ && !Spec.Gang_);
}

TrackedJob *Scheduler::findJob(const work::TaskRef &Task) {
  const auto Found = Jobs_.find(Task.Job_);
  return Found == Jobs_.end() || findStep(Found->second, Task) == nullptr ? nullptr
                                                                          : &Found->second;
}

TrackedStep *Scheduler::findStep(TrackedJob &Job, const work::TaskRef &Task) {
  if (Task.Occurrence_ >= Job.Occurrences_.size())
    return nullptr;
  auto &Steps = Job.Occurrences_[Task.Occurrence_].Steps_;
  if (Task.Step_ >= Steps.size() || Task.Index_ >= Steps[Task.Step_].Tasks_.size())
    return nullptr;
  return &Steps[Task.Step_];
}

const work::StepSpec &Scheduler::stepSpec(const TrackedJob &Job, const work::TaskRef &Task) const {
  return Job.Spec_.Steps_[Task.Step_];
}

std::pair<std::uint64_t, std::vector<work::LogRecord>> Scheduler::takeProgress() {
  if (DirtyJobs_.empty())
    return {0, {}};
  std::vector<work::LogRecord> Entries;
  for (const std::string &Id : DirtyJobs_)
    if (const auto Found = Jobs_.find(Id); Found != Jobs_.end())
      Entries.push_back(work::encodeProgress(Id, Found->second.Progress_));
  DirtyJobs_.clear();
  return {NextFlush_++, std::move(Entries)};
}

void Scheduler::onFlushed(std::uint64_t Flush, core::TimePoint Now) {
  DurableFlush_ = std::max(DurableFlush_, Flush);
  PlacementDue_ = true;
  StatesRead_.Executors_ += WithUnackedEnds_.size();
  std::erase_if(WithUnackedEnds_, [&](std::uint32_t Ordinal) {
    if (ByOrdinal_[Ordinal] == nullptr)
      return true;
    ExecutorState &Executor = *ByOrdinal_[Ordinal];
    auto &Unacked = Executor.UnackedEnds_;
    std::size_t Count = 0;
    while (Count < Unacked.size() && Unacked[Count].second <= DurableFlush_)
      Executor.DurableEnd_ = std::max(Executor.DurableEnd_, Unacked[Count++].first);
    Unacked.erase(Unacked.begin(), Unacked.begin() + static_cast<std::ptrdiff_t>(Count));
    if (Count > 0) {
      Executor.NextHoldAt_ = std::min(Executor.NextHoldAt_, Now);
      noteChange(Executor);
    }
    return Unacked.empty();
  });
}

/// \returns true when the end of a job is durable and none of its runs may still be under way.
/// \param JobsWithOpenStarts the jobs with start orders that may still be carried out.
bool Scheduler::isFinished(const TrackedJob &Job,
                           const std::set<std::string_view> &JobsWithOpenStarts) const {
  return Job.Ended_ && Job.ActiveRuns_ == 0 && (Accounted_ || !Job.Inherited_) &&
         DurableFlush_ >= Job.EndFlush_ && !DirtyJobs_.contains(Job.Id_) &&
         !JobsWithOpenStarts.contains(Job.Id_);
}

/// \returns true when an executor that left the list has no runs, and later leaders need not know
/// that it had any.
bool Scheduler::mayForget(const ExecutorState &Executor) const {
  const bool EndsDurable = std::ranges::all_of(
      Executor.UnackedEnds_, [](const auto &End) { return End.second == NoFlush; });
  // Unknown runs are recorded as void with the jobs that were stored when they lapsed.
  const bool Accounted = isAccountedFor(Executor) || (Accounted_ && AccountedAt_ < JobsReadUpTo_);
  return !Executor.Listed_ && Executor.Runs_.empty() && Executor.OpenStarts_.empty() &&
         EndsDurable && Accounted && voidsAreStored() && !Executor.HoldInFlight_ &&
         ConfirmedAt_ >= Executor.LeaseEnd_;
}

void Scheduler::noteDue(ExecutorState &Executor) {
  if (!std::exchange(Executor.Changed_, true))
    Changed_.push_back(Executor.Ordinal_);
}

void Scheduler::noteRoomChange(ExecutorState &Executor) {
  if (!std::exchange(Executor.RoomStale_, true))
    StaleRooms_.push_back(Executor.Ordinal_);
}

void Scheduler::noteChange(ExecutorState &Executor) {
  noteDue(Executor);
  noteRoomChange(Executor);
}

void Scheduler::serve(ExecutorState &Executor, core::TimePoint Now) {
  ++StatesRead_.Executors_;
  Executor.Changed_ = false;
  tickExecutor(Executor, Now);
  const bool HoldDue = !Executor.HoldInFlight_ && Executor.NextHoldAt_ < NextSweepAt_;
  const bool ReportDue = !isUnset(Executor.ReportDueAt_) && Executor.ReportDueAt_ < NextSweepAt_;
  if (HoldDue || ReportDue || Executor.OrdersPending_)
    noteDue(Executor);
}

void Scheduler::forget(ExecutorState &Executor) {
  const std::string Id = Executor.Info_.Id_;
  ByOrdinal_[Executor.Ordinal_] = nullptr;
  remove(Rooms_, Executor.Ordinal_);
  RunTimes_.forgetExecutor(Id);
  Unrecorded_.erase(Id);
  Executors_.erase(Id);
}

void Scheduler::advance(core::TimePoint Now, std::int64_t WallMs) {
  if (Fenced_)
    return;
  if (Now >= NextSweepAt_) {
    sweep(Now, WallMs);
    return;
  }
  for (const std::uint32_t Ordinal : std::exchange(Changed_, {}))
    if (ByOrdinal_[Ordinal] != nullptr)
      serve(*ByOrdinal_[Ordinal], Now);
}

void Scheduler::sweep(core::TimePoint Now, std::int64_t WallMs) {
  NextSweepAt_ = Now + Timing_.SweepInterval_;
  // A job that was stored before its runs lapsed has been read by then, or does not exist.
  std::erase_if(LapsedBeforeRead_,
                [this](const auto &Entry) { return Entry.second.LapsedAt_ < JobsReadUpTo_; });
  for (const std::uint32_t Ordinal : std::exchange(Changed_, {}))
    if (ByOrdinal_[Ordinal] != nullptr)
      ByOrdinal_[Ordinal]->Changed_ = false;
  std::vector<ExecutorState *> Forgotten;
  for (ExecutorState *Executor : ByOrdinal_) {
    if (Executor == nullptr)
      continue;
    serve(*Executor, Now);
    if (mayForget(*Executor))
      Forgotten.push_back(Executor);
    if (acceptsWork(*Executor, Now) != isOpen(Rooms_, Executor->Ordinal_))
      noteRoomChange(*Executor);
  }
  for (ExecutorState *Executor : Forgotten)
    forget(*Executor);
  const bool WasAccounted = Accounted_;
  updateAccounted(Now, WallMs);
  if (Accounted_ && !WasAccounted)
    for (auto &[Id, Job] : Jobs_)
      stopIncompleteGangs(Job, Now);
  StatesRead_.Executors_ += Executors_.size();
  EndsHidden_ = false;
  std::set<std::string_view> JobsWithOpenStarts;
  for (const auto &[Id, Executor] : Executors_) {
    const bool Answers = Executor.Reported_ && !Executor.Silent_;
    EndsHidden_ =
        EndsHidden_ || (Executor.ReportFull_ && (Answers || ConfirmedAt_ < Executor.LeaseEnd_));
    for (const auto &[Key, Open] : Executor.OpenStarts_)
      JobsWithOpenStarts.insert(Key.first.Job_);
  }
  std::erase_if(Jobs_, [&](const auto &Entry) {
    if (!isFinished(Entry.second, JobsWithOpenStarts))
      return false;
    FinalJobs_.insert(Entry.first);
    FinishedJobs_.push_back(Entry.first);
    return true;
  });
}

Scheduler::Counts Scheduler::counts() const {
  Counts Result;
  Result.Jobs_ = Jobs_.size();
  Result.Executors_ = Executors_.size();
  Result.Accounted_ = Accounted_;
  Result.UnaccountedRuns_ = UnaccountedRuns_;
  Result.ReappearedRuns_ = ReappearedRuns_;
  Result.AdviceCalls_ = AdviceCalls_;
  Result.Verdicts_ = Verdicts_;
  Result.AdvisedStarts_ = AdvisedStarts_;
  Result.OutstandingAdviceCalls_ = OutstandingAdvice_.size();
  for (const std::string &Domain : EvacuatedDomains_)
    Result.RunsInEvacuation_[Domain] = 0;
  for (const auto &[Id, Executor] : Executors_) {
    Result.Running_ += Executor.Runs_.size();
    if (Executor.Evacuated_)
      Result.RunsInEvacuation_[Executor.Info_.Domain_] += Executor.Runs_.size();
    Result.Silent_ += Executor.Silent_ ? 1 : 0;
    Result.Unlisted_ += Executor.Listed_ ? 0 : 1;
    Result.OverCapacity_ += Executor.Listed_ && exceedsCapacity(Executor) ? 1 : 0;
  }
  for (const auto &[Id, Job] : Jobs_)
    for (const TrackedOccurrence &Occurrence : Job.Occurrences_)
      for (const TrackedStep &Step : Occurrence.Steps_)
        if (Occurrence.Due_ && Step.Ready_ && !Job.Ended_) {
          Result.Waiting_ += Step.WaitingTasks_;
          Result.WaitingByReason_[static_cast<std::size_t>(Step.Wait_.Reason_)] +=
              Step.WaitingTasks_;
        }
  return Result;
}

void Scheduler::logDecision(std::string_view Event, const work::TaskRef &Task, std::uint64_t Number,
                            std::string_view ExecutorId, std::string_view Detail) const {
  if (Actions_.LogDecision_)
    Actions_.LogDecision_(Event, Task, Number, ExecutorId, Detail);
}

} // namespace masticdrift::lead
