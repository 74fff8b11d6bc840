#include "masticdrift/lead/Scheduler.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

/// Executors that the objective's chain of work counts for one call of advice.
constexpr int AdviceExecutorsInChain = 30;
/// An objective missed by this factor earns nothing.
constexpr int WorthlessFactor = 3;
/// An acceptance time of another machine's clock is trusted up to this age.
constexpr core::Millis MaxAcceptedAge{60'000};

std::int64_t chainMs(const work::JobSpec &Spec, const work::Queue &Queue) {
  std::int64_t Advice = 0;
  if (Queue.Advice_)
    Advice = static_cast<std::int64_t>(Queue.Advice_->FixedMs_ +
                                       Queue.Advice_->PerExecutorMs_ * AdviceExecutorsInChain);
  std::vector<std::int64_t> Until(Spec.Steps_.size());
  std::int64_t Longest = 0;
  for (std::size_t I = 0; I < Spec.Steps_.size(); ++I) {
    for (const std::uint32_t Earlier : Spec.Steps_[I].DependsOn_)
      Until[I] = std::max(Until[I], Until[Earlier]);
    Until[I] += Spec.Steps_[I].EstimatedMs_ + Advice;
    Longest = std::max(Longest, Until[I]);
  }
  return Longest;
}

work::StepProgress &progressOf(work::ProgressRecord &In, std::uint32_t Occurrence,
                               std::uint32_t Step, std::size_t Count) {
  for (work::StepProgress &One : In.Steps_)
    if (One.Occurrence_ == Occurrence && One.Step_ == Step)
      return One;
  In.Steps_.push_back({Occurrence, Step, std::vector<bool>(Count)});
  return In.Steps_.back();
}

} // namespace

Scheduler::Scheduler(std::uint64_t Token, Timing Times, Ports Out, core::TimePoint Now,
                     bool FreshList)
    : Token_(Token), Times_(Times), Out_(std::move(Out)), TermStart_(Now), FreshList_(FreshList) {}

void Scheduler::setManifest(const work::Manifest &Manifest, core::TimePoint Now) {
  Manifest_ = Manifest;
  for (auto &[Id, Job] : Jobs_)
    if (const work::Queue *Queue = work::findQueueByName(Manifest_, Job.What_.Queue_.Name_))
      Job.Queue_ = *Queue;
  PlaceDue_ = true;
  NextPlace_ = std::min(NextPlace_, Now);
}

void Scheduler::onJob(const work::JobTableEntry &Job, core::TimePoint Now, std::int64_t WallMs) {
  if (const auto Found = Jobs_.find(Job.Id_); Found != Jobs_.end()) {
    if (Job.Cancelled_ && !Found->second.Ended_)
      endJob(Found->second, work::JobState::Cancelled, Now);
    return;
  }
  if (Job.Accepted_ && work::isFinal(Job.state()))
    Final_.insert(Job.Id_);
  if (!Job.Accepted_ || !Job.HasSpec_ || work::isFinal(Job.state()))
    return;
  JobRun &Made = Jobs_[Job.Id_];
  Made.Id_ = Job.Id_;
  Made.What_ = Job.Acceptance_;
  Made.Spec_ = Job.Spec_;
  Made.Queue_ = Job.Acceptance_.Queue_;
  if (const work::Queue *Queue = work::findQueueByName(Manifest_, Made.Queue_.Name_))
    Made.Queue_ = *Queue;
  if (Job.Progress_)
    Made.Progress_ = *Job.Progress_;
  const bool Mine = Made.Progress_.Term_ == Token_ || Job.StartedTerm_ == Token_;
  Made.Inherited_ = !Mine && (Made.Progress_.Term_ != 0 || Job.StartedTerm_ != 0);
  build(Made, Now, WallMs);
  if (!Mine && !Made.Inherited_) {
    // Durable before the first start, so that a later leader knows which jobs were never begun.
    Made.BegunWith_ = NextFlush_;
    markDirty(Made);
  }
  if (!Made.Inherited_)
    Made.Progress_.Term_ = Token_;
  settleLateJob(Made, Now);
  PlaceDue_ = true;
}

void Scheduler::build(JobRun &Job, core::TimePoint Now, std::int64_t WallMs) {
  const work::JobSpec &Spec = Job.Spec_;
  const core::Millis Age =
      std::clamp(core::Millis(WallMs - Job.What_.AcceptedMs_), core::Millis(0), MaxAcceptedAge);
  Job.AcceptedAt_ = Now - Age;
  const core::Millis Objective(
      static_cast<std::int64_t>(Job.Queue_.Stretch_ *
                                static_cast<double>(chainMs(Spec, Job.Queue_))) +
      Job.Queue_.TargetMs_);
  Job.Deadline_ = Job.AcceptedAt_ + Objective;
  Job.Worthless_ = Job.AcceptedAt_ + WorthlessFactor * Objective;
  if (const auto Customer = Manifest_.Customers_.find(Job.What_.Customer_);
      Customer != Manifest_.Customers_.end() && Customer->second.Weight_ > 0) {
    // A bucket of one second; work beyond the customer's rate goes after everybody else's.
    auto &[Tokens, At] = ShareTokens_[Job.What_.Customer_];
    const double Rate = Customer->second.Weight_;
    if (At == core::TimePoint{})
      Tokens = Rate;
    else
      Tokens = std::min(
          Rate,
          Tokens +
              Rate * std::max(0.0, std::chrono::duration<double>(Job.AcceptedAt_ - At).count()));
    At = std::max(At, Job.AcceptedAt_);
    Job.OverShare_ = Tokens < 1;
    if (!Job.OverShare_)
      Tokens -= 1;
  }
  Job.Occurrences_.resize(work::occurrenceCount(Spec));
  for (std::uint32_t K = 0; K < Job.Occurrences_.size(); ++K) {
    OccurrenceRun &Occurrence = Job.Occurrences_[K];
    Occurrence.DueMs_ = Spec.RunCount_ == 0 ? 0 : Spec.FirstRunMs_ + K * Spec.IntervalMs_;
    Occurrence.Due_ = Occurrence.DueMs_ <= WallMs;
    Occurrence.Steps_.resize(Spec.Steps_.size());
    for (std::size_t I = 0; I < Spec.Steps_.size(); ++I) {
      Occurrence.Steps_[I].Tasks_.resize(Spec.Steps_[I].TaskCount_);
      Occurrence.Steps_[I].Waiting_ = Spec.Steps_[I].TaskCount_;
    }
  }
  for (const work::StepProgress &Done : Job.Progress_.Steps_) {
    if (Done.Occurrence_ >= Job.Occurrences_.size() || Done.Step_ >= Spec.Steps_.size())
      continue;
    OccurrenceRun &Occurrence = Job.Occurrences_[Done.Occurrence_];
    StepRun &Step = Occurrence.Steps_[Done.Step_];
    for (std::size_t I = 0; I < Done.Done_.size() && I < Step.Tasks_.size(); ++I)
      if (Done.Done_[I]) {
        Step.Tasks_[I].State_ = TaskState::Done;
        ++Step.Done_;
        --Step.Waiting_;
      }
    if (Step.Done_ == Step.Tasks_.size())
      ++Occurrence.StepsDone_;
  }
  for (std::uint32_t K = 0; K < Job.Occurrences_.size(); ++K)
    refreshReady(Job, K);
}

void Scheduler::refreshReady(JobRun &Job, std::uint32_t Occurrence) {
  auto &Steps = Job.Occurrences_[Occurrence].Steps_;
  for (std::size_t I = 0; I < Steps.size(); ++I)
    Steps[I].Ready_ =
        std::ranges::all_of(Job.Spec_.Steps_[I].DependsOn_, [&](std::uint32_t Earlier) {
          return Steps[Earlier].Done_ == Steps[Earlier].Tasks_.size();
        });
}

void Scheduler::finishTask(JobRun &Job, const work::TaskRef &Task, core::TimePoint Now) {
  StepRun &Step = *stepOf(Job, Task);
  TaskRun &Which = Step.Tasks_[Task.Index_];
  if (Which.State_ == TaskState::Done)
    return;
  if (Which.State_ == TaskState::Waiting)
    --Step.Waiting_;
  Which.State_ = TaskState::Done;
  ++Step.Done_;
  progressOf(Job.Progress_, Task.Occurrence_, Task.Step_, Step.Tasks_.size()).Done_[Task.Index_] =
      true;
  if (Job.Progress_.State_ == work::JobState::Queued)
    Job.Progress_.State_ = work::JobState::Running;
  markDirty(Job);
  if (Step.Done_ == Step.Tasks_.size())
    finishStep(Job, Task.Occurrence_, Task.Step_, Now);
}

void Scheduler::finishStep(JobRun &Job, std::uint32_t Occurrence, std::uint32_t,
                           core::TimePoint Now) {
  OccurrenceRun &Which = Job.Occurrences_[Occurrence];
  ++Which.StepsDone_;
  refreshReady(Job, Occurrence);
  PlaceDue_ = true;
  if (Which.StepsDone_ < Which.Steps_.size())
    return;
  ++Job.Progress_.FinishedOccurrences_;
  if (std::ranges::all_of(Job.Occurrences_, [](const OccurrenceRun &One) {
        return One.StepsDone_ == One.Steps_.size();
      }))
    endJob(Job, work::JobState::Completed, Now);
}

void Scheduler::endJob(JobRun &Job, work::JobState State, core::TimePoint Now) {
  Job.Ended_ = true;
  Job.Progress_.State_ = State;
  Job.Progress_.FinalMs_ = core::wallMillis();
  markDirty(Job);
  note("job_ended", {Job.Id_, 0, 0, 0}, 0, {}, work::nameOf(State));
  stopAllOf(Job, work::nameOf(State), Now);
}

bool Scheduler::hasEnded(const std::string &Id) const {
  const auto Found = Jobs_.find(Id);
  return Found == Jobs_.end() ? Final_.contains(Id) : Found->second.Ended_;
}

void Scheduler::countFailure(JobRun &Job, const work::TaskRef &Task, std::uint64_t Number,
                             core::TimePoint Now) {
  const std::uint32_t Index = specOf(Job, Task).Gang_ ? 0 : Task.Index_;
  auto &All = Job.Progress_.Failures_;
  auto Found = std::ranges::find_if(All, [&](const work::FailureCount &One) {
    return One.Occurrence_ == Task.Occurrence_ && One.Step_ == Task.Step_ && One.Index_ == Index;
  });
  if (Found == All.end())
    Found = All.insert(All.end(), {Task.Occurrence_, Task.Step_, Index, {}});
  if (std::ranges::find(Found->Runs_, Number) != Found->Runs_.end())
    return;
  Found->Runs_.push_back(Number);
  markDirty(Job);
  if (Found->Runs_.size() >= Job.Queue_.MaxAttempts_)
    endJob(Job, work::JobState::Failed, Now);
}

void Scheduler::markDirty(const JobRun &Job) { Dirty_.insert(Job.Id_); }

bool Scheduler::mayStart(const JobRun &Job, const work::StepSpec &Spec) const {
  if (!Job.Inherited_)
    return Flushed_ >= Job.BegunWith_;
  return Accounted_ || (AllAsked_ && Spec.AllowDuplicates_ && !Spec.Gang_);
}

JobRun *Scheduler::jobOf(const work::TaskRef &Task) {
  const auto Found = Jobs_.find(Task.Job_);
  return Found == Jobs_.end() || stepOf(Found->second, Task) == nullptr ? nullptr : &Found->second;
}

StepRun *Scheduler::stepOf(JobRun &Job, const work::TaskRef &Task) {
  if (Task.Occurrence_ >= Job.Occurrences_.size())
    return nullptr;
  auto &Steps = Job.Occurrences_[Task.Occurrence_].Steps_;
  if (Task.Step_ >= Steps.size() || Task.Index_ >= Steps[Task.Step_].Tasks_.size())
    return nullptr;
  return &Steps[Task.Step_];
}

const work::StepSpec &Scheduler::specOf(const JobRun &Job, const work::TaskRef &Task) const {
  return Job.Spec_.Steps_[Task.Step_];
}

std::pair<std::uint64_t, std::vector<work::LogRecord>> Scheduler::takeProgress() {
  if (Dirty_.empty())
    return {0, {}};
  std::vector<work::LogRecord> Out;
  for (const std::string &Id : Dirty_)
    if (const auto Found = Jobs_.find(Id); Found != Jobs_.end())
      Out.push_back(work::encodeProgress(Id, Found->second.Progress_));
  Dirty_.clear();
  return {NextFlush_++, std::move(Out)};
}

void Scheduler::onFlushed(std::uint64_t Flush, core::TimePoint Now) {
  Flushed_ = std::max(Flushed_, Flush);
  PlaceDue_ = true;
  for (auto &[Id, At] : Executors_) {
    auto &Unacked = At.Unacked_;
    std::size_t Count = 0;
    while (Count < Unacked.size() && Unacked[Count].second <= Flushed_)
      At.Seen_ = std::max(At.Seen_, Unacked[Count++].first);
    Unacked.erase(Unacked.begin(), Unacked.begin() + static_cast<std::ptrdiff_t>(Count));
    if (Count > 0)
      At.NextHold_ = std::min(At.NextHold_, Now);
  }
}

void Scheduler::tick(core::TimePoint Now, std::int64_t WallMs) {
  std::vector<std::string> Forget;
  for (auto &[Id, At] : Executors_) {
    tickExecutor(At, Now);
    if (!At.Listed_ && At.Runs_.empty() && !At.HoldOutstanding_ && Now >= At.LeaseEnd_)
      Forget.push_back(Id);
  }
  for (const std::string &Id : Forget) {
    BySlot_[Executors_.at(Id).Slot_] = nullptr;
    Executors_.erase(Id);
  }
  updateAccounted(Now);
  std::erase_if(Jobs_, [this](const auto &One) {
    const bool Over = One.second.Ended_ && One.second.Runs_ == 0 && !Dirty_.contains(One.first);
    if (Over)
      Final_.insert(One.first);
    return Over;
  });
  if (PlaceDue_ || Now >= NextPlace_) {
    PlaceDue_ = false;
    place(Now, WallMs);
  }
}

Scheduler::Counts Scheduler::counts() const {
  Counts Out;
  Out.Jobs_ = Jobs_.size();
  Out.Executors_ = Executors_.size();
  Out.Accounted_ = Accounted_;
  for (const auto &[Id, At] : Executors_) {
    Out.Running_ += At.Runs_.size();
    Out.Silent_ += At.Silent_ ? 1 : 0;
  }
  for (const auto &[Id, Job] : Jobs_)
    for (const OccurrenceRun &Occurrence : Job.Occurrences_)
      for (const StepRun &Step : Occurrence.Steps_)
        Out.Waiting_ += Occurrence.Due_ && Step.Ready_ && !Job.Ended_ ? Step.Waiting_ : 0;
  return Out;
}

void Scheduler::note(std::string_view Event, const work::TaskRef &Task, std::uint64_t Number,
                     std::string_view Executor, std::string_view Detail) const {
  if (Out_.Note_)
    Out_.Note_(Event, Task, Number, Executor, Detail);
}

} // namespace masticdrift::lead
