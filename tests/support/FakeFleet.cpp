#include "support/FakeFleet.h"

#include <algorithm>
#include <iostream>

namespace masticdrift::tests {

namespace {

using fleet::OrderOutcome;

constexpr core::Millis TickInterval{10};
constexpr core::Millis FlushTime{8};
constexpr core::Millis OrderTimeout{700};
constexpr core::Millis HoldAnswerTime{700};
constexpr core::Millis StopTime{100};
constexpr core::Millis LatestOrder{12'000};
constexpr core::Millis LongestLease{10'000};
/// Executors' clocks may be this much slow.
constexpr double ClockRate = 0.98;
/// The wall clock and the virtual clock start together.
constexpr std::int64_t WallZero = 1'700'000'000'000;

std::string nameOf(const work::TaskRef &Task) {
  return Task.Job_ + '.' + std::to_string(Task.Occurrence_) + '.' + std::to_string(Task.Step_) +
         '.' + std::to_string(Task.Index_);
}

std::int64_t wallOf(core::TimePoint Now) {
  return WallZero + core::toMillis(Now.time_since_epoch());
}

} // namespace

FakeFleet::FakeFleet(FakeFleetOptions Options) : Options_(Options), Random_(Options.Seed_) {
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Queue.MaxAttempts_ = 4;
  Queue.Stretch_ = 2;
  Manifest_.Version_ = 1;
  Manifest_.Queues_.push_back(Queue);
  Manifest_.Pools_["pool"] = {"pool", false};
  lead();
}

void FakeFleet::at(core::TimePoint When, std::function<void()> Work) {
  Events_.push({When, NextOrder_++, std::move(Work)});
}

std::int64_t FakeFleet::clockOf(const Executor &One) const {
  return static_cast<std::int64_t>(static_cast<double>(core::toMillis(Now_ - One.ClockZero_)) *
                                   ClockRate);
}

void FakeFleet::addExecutor(const std::string &Id, core::Resources Capacity) {
  Executor &Made = Executors_[Id];
  Made.Info_.Id_ = Id;
  Made.Info_.Address_ = Id;
  Made.Info_.Pool_ = "pool";
  Made.Info_.Capacity_ = Capacity;
  Made.Info_.Labels_ = {"a", "r1"};
  Made.Info_.IncarnationStartMs_ = wallOf(Now_);
  Made.ClockZero_ = Now_;
  for (auto &[Of, One] : Terms_)
    if (Of->Alive_)
      One->onExecutor(Made.Info_, Now_);
}

void FakeFleet::crash(const std::string &Id, core::Millis Down) {
  Executor &One = Executors_.at(Id);
  One.Up_ = false;
  One.Running_.clear();
  One.Waiting_ = nullptr;
  at(Now_ + Down, [this, Id] {
    Executor &Again = Executors_.at(Id);
    const fleet::ExecutorInfo Info = Again.Info_;
    Again = {};
    Again.Info_ = Info;
    Again.Info_.IncarnationStartMs_ = wallOf(Now_);
    Again.ClockZero_ = Now_;
    // The list lags behind.
    at(Now_ + core::Millis(800), [this, Fresh = Again.Info_] {
      for (auto &[Of, Each] : Terms_)
        if (Of->Alive_)
          Each->onExecutor(Fresh, Now_);
    });
  });
}

void FakeFleet::cut(const std::string &Id, core::Millis Time) {
  Executors_.at(Id).CutUntil_ = Now_ + Time;
}

void FakeFleet::submit(const std::string &Id, work::JobSpec Spec, const std::string &Queue) {
  Submitted_[Id] = Spec;
  SubmittedAt_[Id] = Now_;
  Ledger_.applySpec(Id, work::encodeSpec(Id, Spec).Value_);
  const work::LogRecord Entry =
      work::encodeAccepted(Id, {*work::findQueueByName(Manifest_, Queue), "c", wallOf(Now_)});
  Ledger_.apply(Offset_++, Entry.Key_, Entry.Value_);
  for (auto &[Of, One] : Terms_)
    if (Of->Alive_)
      timed([this, &Leader = One, &Id] { Leader->onJob(*Ledger_.find(Id), Now_, wallOf(Now_)); });
}

void FakeFleet::submitBegun(const std::string &Id, work::JobSpec Spec, std::uint64_t Term) {
  const work::LogRecord Entry = work::encodeStarted(Id, Term);
  Ledger_.apply(Offset_++, Entry.Key_, Entry.Value_);
  submit(Id, std::move(Spec));
}

void FakeFleet::cancel(const std::string &Id) {
  const work::LogRecord Entry = work::encodeCancelled(Id, {wallOf(Now_)});
  Ledger_.apply(Offset_++, Entry.Key_, Entry.Value_);
  for (auto &[Of, One] : Terms_)
    if (Of->Alive_)
      timed([this, &Leader = One, &Id] { Leader->onJob(*Ledger_.find(Id), Now_, wallOf(Now_)); });
}

void FakeFleet::setManifest(work::Manifest Manifest) {
  Manifest_ = std::move(Manifest);
  for (auto &[Of, One] : Terms_)
    if (Of->Alive_)
      One->setManifest(Manifest_, Now_);
}

void FakeFleet::takeOver(core::Millis OldGoesOn) {
  if (OldGoesOn.count() == 0)
    Current_->Alive_ = false;
  else
    at(Now_ + OldGoesOn, [Old = Current_] { Old->Alive_ = false; });
  lead();
}

core::Millis FakeFleet::sinceTakeover() const {
  return std::chrono::duration_cast<core::Millis>(Now_ - TookOverAt_);
}

void FakeFleet::lead() {
  const auto Of = std::make_shared<Term>();
  Of->Token_ = ++Token_;
  Fence_ = Token_;
  TookOverAt_ = Now_;
  Current_ = Of;
  Terms_.emplace_back(Of, nullptr);
  const std::size_t Index = Terms_.size() - 1;
  lead::Ports Out;
  const auto Target = [this, Index]() -> lead::Scheduler & { return *Terms_[Index].second; };
  Out.Start_ = [this, Of, Target](const fleet::ExecutorInfo &Info, const fleet::StartOrder &Order) {
    const lead::RunKey Key{Order.Task_, Order.Run_};
    const std::string Id = Info.Id_;
    if (Options_.NotConnected_ > 0 && chance(Options_.NotConnected_)) {
      at(Now_ + OrderTimeout, [this, Of, Target, Id, Key] {
        if (Of->Alive_)
          timed([&] { Target().onStarted(Id, Key, OrderOutcome::NotSent, 0, Now_); });
      });
      return;
    }
    const bool Late = chance(Options_.OrderLate_);
    const bool Lost = Late || std::exchange(LoseNextStart_, false) || chance(Options_.AnswerLost_);
    const auto Answered = std::make_shared<bool>(false);
    core::Millis Delay = Options_.Latency_;
    if (Late)
      Delay = Options_.LateBy_.count() > 0
                  ? Options_.LateBy_
                  : core::Millis(std::uniform_int_distribution<>(
                        2000, static_cast<int>(LatestOrder.count()))(Random_));
    at(Now_ + Delay, [this, Of, Target, Order, Id, Key, Lost, Late, Answered,
                      Born = Executors_.at(Id).Info_.IncarnationStartMs_] {
      Executor &One = Executors_.at(Id);
      // An order that the executor has put off dies with it.
      if (!reaches(One) ||
          (Late && !Options_.LateSurvives_ && One.Info_.IncarnationStartMs_ != Born))
        return;
      const OrderOutcome Outcome = start(One, Order);
      if (Lost)
        return;
      at(Now_ + Options_.Latency_,
         [this, Of, Target, Id, Key, Outcome, Answered, Clock = clockOf(One)] {
           if (std::exchange(*Answered, true) || !Of->Alive_ || Executors_.at(Id).CutUntil_ > Now_)
             return;
           timed([&] { Target().onStarted(Id, Key, Outcome, Clock, Now_); });
         });
    });
    at(Now_ + OrderTimeout, [this, Of, Target, Id, Key, Answered] {
      if (!std::exchange(*Answered, true) && Of->Alive_)
        timed([&] { Target().onStarted(Id, Key, OrderOutcome::NoAnswer, 0, Now_); });
    });
  };
  Out.Stop_ = [this, Of, Target](const fleet::ExecutorInfo &Info, const lead::RunKey &Key) {
    const std::string Id = Info.Id_;
    const auto Answered = std::make_shared<bool>(false);
    const bool Lost = chance(Options_.AnswerLost_);
    at(Now_ + Options_.Latency_, [this, Of, Target, Id, Key, Lost, Answered] {
      Executor &One = Executors_.at(Id);
      if (!reaches(One))
        return;
      const OrderOutcome Outcome = stop(One, Key, Of->Token_);
      if (Lost)
        return;
      at(Now_ + Options_.Latency_, [this, Of, Target, Id, Key, Outcome, Answered] {
        if (!std::exchange(*Answered, true) && Of->Alive_)
          timed([&] { Target().onStopped(Id, Key, Outcome, Now_); });
      });
    });
    at(Now_ + OrderTimeout, [this, Of, Target, Id, Key, Answered] {
      if (!std::exchange(*Answered, true) && Of->Alive_)
        timed([&] { Target().onStopped(Id, Key, OrderOutcome::NoAnswer, Now_); });
    });
  };
  Out.Pace_ = [](const fleet::ExecutorInfo &, const lead::RunKey &, int) {};
  Out.Hold_ = [this, Of, Target](const fleet::ExecutorInfo &Info, std::uint64_t Seen,
                                 std::int64_t Until, core::Millis Wait) {
    const std::string Id = Info.Id_;
    const core::TimePoint SentAt = Now_;
    const auto Answered = std::make_shared<bool>(false);
    const bool Lost = chance(Options_.AnswerLost_);
    const core::Millis Jitter(std::uniform_int_distribution<>(0, Options_.JitterMs_)(Random_));
    at(Now_ + Options_.Latency_ + Jitter,
       [this, Of, Target, Id, Seen, Until, Wait, SentAt, Lost, Answered] {
         Executor &One = Executors_.at(Id);
         if (!reaches(One))
           return;
         const auto Reply = [this, Of, Target, Id, SentAt, Answered](OrderOutcome Outcome) {
           Executor &From = Executors_.at(Id);
           if (!reaches(From) || std::exchange(*Answered, true) || !Of->Alive_)
             return;
           const fleet::Report Report = reportOf(From);
           timed([&] { Target().onHold(Id, Outcome, Report, SentAt, Now_); });
         };
         if (Of->Token_ < One.Token_) {
           Reply(OrderOutcome::Fenced);
           return;
         }
         One.Token_ = Of->Token_;
         note(One, Seen);
         if (Until > 0)
           renew(One, Until);
         if (Lost)
           return;
         if (Wait.count() == 0 || !One.Ended_.empty()) {
           Reply(OrderOutcome::Done);
           return;
         }
         One.Waiting_ = [Reply] { Reply(OrderOutcome::Done); };
         at(Now_ + Wait, [Reply] { Reply(OrderOutcome::Done); });
       });
    at(Now_ + Wait + HoldAnswerTime, [this, Of, Target, Id, SentAt, Answered] {
      if (!std::exchange(*Answered, true) && Of->Alive_)
        timed([&] { Target().onHold(Id, OrderOutcome::NoAnswer, {}, SentAt, Now_); });
    });
  };
  Out.Advise_ = [this, Of, Target](const work::TaskRef &Step, std::vector<std::string> Asked,
                                   double ExpectedMs, std::pair<int, core::TimePoint>) {
    at(Now_ + core::Millis(static_cast<std::int64_t>(ExpectedMs)),
       [this, Of, Target, Step, Asked = std::move(Asked)] {
         std::vector<fleet::AdvisedExecutor> Good;
         for (const std::string &One : Asked)
           if ((std::hash<std::string>{}(Step.Job_ + One) % 10) < 6)
             Good.push_back({One, "ticket"});
         if (Of->Alive_)
           timed([&] { Target().onAdvice(Step, Asked, Good, Now_); });
       });
  };
  Out.Note_ = [this, Of](std::string_view Event, const work::TaskRef &Task, std::uint64_t Run,
                         std::string_view At, std::string_view Detail) {
    if (Options_.Trace_)
      std::cerr << core::toMillis(Now_.time_since_epoch()) % 3'600'000 << " t" << Of->Token_ << ' '
                << Event << ' ' << nameOf(Task) << " run " << Run << ' ' << At << ' ' << Detail
                << '\n';
  };
  Terms_[Index].second =
      std::make_unique<lead::Scheduler>(Of->Token_, lead::Timing{}, std::move(Out), Now_, false);
  Leader_ = Terms_[Index].second.get();
  Leader_->setManifest(Manifest_, Now_);
  for (const auto &[Id, One] : Executors_)
    Leader_->onExecutor(One.Info_, Now_);
  for (const auto &[Id, Job] : Ledger_.jobs())
    if (!ReadLate_.contains(Id))
      Leader_->onJob(Job, Now_, wallOf(Now_));
  for (const auto &[Id, Time] : std::exchange(ReadLate_, {}))
    at(Now_ + Time, [this, Of, Target, Job = Id] {
      if (Of->Alive_)
        Target().onJob(*Ledger_.find(Job), Now_, wallOf(Now_));
    });
  tick(Of);
}

void FakeFleet::tick(const std::shared_ptr<Term> &Of) {
  if (!Of->Alive_)
    return;
  const auto Found = std::ranges::find(Terms_, Of, [](const auto &One) { return One.first; });
  lead::Scheduler &Target = *Found->second;
  timed([&] { Target.tick(Now_, wallOf(Now_)); });
  if (Target.fenced()) {
    Of->Alive_ = false;
    return;
  }
  if (!Of->Flushing_ && !StoreDown_)
    if (auto [Number, Entries] = Target.takeProgress(); Number != 0) {
      Of->Flushing_ = true;
      at(Now_ + FlushTime, [this, Of, &Target, Number = Number, Entries = std::move(Entries)] {
        Of->Flushing_ = false;
        if (!Of->Alive_)
          return;
        if (Of->Token_ < Fence_) {
          Of->Alive_ = false;
          return;
        }
        for (const work::LogRecord &One : Entries)
          Ledger_.apply(Offset_++, One.Key_, One.Value_);
        timed([&] { Target.onFlushed(Number, Now_); });
      });
    }
  at(Now_ + TickInterval, [this, Of] { tick(Of); });
}

const work::StepSpec &FakeFleet::specOf(const work::TaskRef &Task) const {
  return Submitted_.at(Task.Job_).Steps_.at(Task.Step_);
}

void FakeFleet::renew(Executor &At, std::int64_t UntilMs) {
  const std::int64_t Until = std::min(UntilMs, clockOf(At) + LongestLease.count());
  At.LeaseEnd_ =
      std::max(At.LeaseEnd_, At.ClockZero_ + core::Millis(static_cast<std::int64_t>(
                                                 static_cast<double>(Until) / ClockRate)));
}

OrderOutcome FakeFleet::start(Executor &At, const fleet::StartOrder &Order) {
  if (Order.FencingToken_ < At.Token_)
    return OrderOutcome::Fenced;
  At.Token_ = Order.FencingToken_;
  if (const auto Over = At.Over_.find(Order.Task_);
      Over != At.Over_.end() && Order.Run_ <= Over->second)
    return OrderOutcome::Superseded;
  if (Order.LeaseEndMs_ <= clockOf(At))
    return OrderOutcome::LeaseOver;
  if (const auto There = At.Running_.find(Order.Task_); There != At.Running_.end())
    return There->second.Run_ == Order.Run_ ? OrderOutcome::Done : OrderOutcome::Superseded;
  renew(At, Order.LeaseEndMs_);
  const work::StepSpec &Spec = specOf(Order.Task_);
  for (const auto &[Id, Other] : Executors_)
    if (Other.Up_ && Other.Running_.contains(Order.Task_) && !Spec.AllowDuplicates_)
      broke("two runs of " + nameOf(Order.Task_) + " on " + Id + " and " + At.Info_.Id_);
  for (const Done &One : Dones_[Order.Task_])
    if (One.Noted_)
      broke(nameOf(Order.Task_) + " run " + std::to_string(Order.Run_) + " started on " +
            At.Info_.Id_ + " after its end on " + One.Executor_ + " was noted");
  Starts_[Order.Task_].push_back(Now_);
  ++StartCount_;
  Running &Made = At.Running_[Order.Task_];
  Made.Run_ = Order.Run_;
  Made.StartedAt_ = Now_;
  Made.Need_ = Spec.Need_;
  Made.Work_ = core::Millis(Spec.EstimatedMs_ * At.Slow_);
  Made.Fails_ = At.Spoiled_ || Poisoned_.contains(Order.Task_.Job_) || chance(Options_.TaskFails_);
  Made.Generation_ = ++Generation_;
  core::Resources Used;
  for (const auto &[Task, One] : At.Running_)
    Used += One.Need_;
  if (!core::fits(Used, At.Info_.Capacity_))
    broke(At.Info_.Id_ + " is over its capacity");
  if (!Spec.LongRunning_)
    at(Now_ + Made.Work_,
       [this, Id = At.Info_.Id_, Task = Order.Task_, Generation = Made.Generation_] {
         Executor &One = Executors_.at(Id);
         const auto There = One.Running_.find(Task);
         if (There != One.Running_.end() && There->second.Generation_ == Generation && !One.Halted_)
           end(One, Task, There->second.Fails_ ? fleet::EndKind::Failed : fleet::EndKind::Done);
       });
  return OrderOutcome::Done;
}

OrderOutcome FakeFleet::stop(Executor &At, const lead::RunKey &Which, std::uint64_t Token) {
  if (Token < At.Token_)
    return OrderOutcome::Fenced;
  At.Token_ = Token;
  std::uint64_t &Over = At.Over_[Which.first];
  Over = std::max(Over, Which.second);
  if (At.Running_.contains(Which.first))
    at(Now_ + StopTime, [this, Id = At.Info_.Id_, Which] {
      Executor &One = Executors_.at(Id);
      const auto There = One.Running_.find(Which.first);
      if (There != One.Running_.end() && There->second.Run_ <= Which.second)
        end(One, Which.first, fleet::EndKind::Stopped);
    });
  return OrderOutcome::Done;
}

void FakeFleet::end(Executor &At, const work::TaskRef &Task, fleet::EndKind Kind) {
  const std::uint64_t Number = At.Running_.at(Task).Run_;
  At.Running_.erase(Task);
  std::uint64_t &Over = At.Over_[Task];
  Over = std::max(Over, Number);
  At.Ended_.push_back({At.NextEnd_++, Task, Number, Kind, {}});
  if (Kind == fleet::EndKind::Done) {
    Dones_[Task].push_back({Now_, At.Info_.Id_, At.Ended_.back().SequenceNumber_,
                            At.Info_.IncarnationStartMs_, false});
    LastEnd_[Task.Job_] = Now_;
  }
  if (auto Waiting = std::exchange(At.Waiting_, nullptr))
    at(Now_ + Options_.Latency_, std::move(Waiting));
}

void FakeFleet::note(Executor &At, std::uint64_t Seen) {
  for (const fleet::ReportedEnd &One : At.Ended_) {
    if (One.SequenceNumber_ > Seen || One.Kind_ != fleet::EndKind::Done)
      continue;
    for (Done &Each : Dones_[One.Task_])
      if (Each.Executor_ == At.Info_.Id_ && Each.Number_ == One.SequenceNumber_ &&
          Each.Born_ == At.Info_.IncarnationStartMs_) {
        // An end before a lapse does not count: its task may have started elsewhere.
        if (std::ranges::any_of(At.Lapses_, [&](core::TimePoint When) { return When >= Each.At_; }))
          continue;
        Each.Noted_ = true;
        if (!specOf(One.Task_).AllowDuplicates_ &&
            std::ranges::any_of(Starts_[One.Task_],
                                [&](core::TimePoint When) { return When > Each.At_; }))
          broke(nameOf(One.Task_) + " was started after an end that was noted later");
      }
  }
  std::erase_if(At.Ended_,
                [Seen](const fleet::ReportedEnd &One) { return One.SequenceNumber_ <= Seen; });
}

fleet::Report FakeFleet::reportOf(const Executor &One) const {
  fleet::Report Out;
  Out.ClockMs_ = clockOf(One);
  Out.IncarnationStartMs_ = One.Info_.IncarnationStartMs_;
  for (const auto &[Task, Run] : One.Running_) {
    const double Part = Run.Work_.count() == 0 || One.Halted_
                            ? 0
                            : static_cast<double>(core::toMillis(Now_ - Run.StartedAt_)) /
                                  static_cast<double>(Run.Work_.count());
    Out.Running_.push_back({Task, Run.Run_, {}, static_cast<int>(100 * Part), 0});
  }
  Out.Ended_ = One.Ended_;
  return Out;
}

void FakeFleet::run(core::Millis Time) {
  const core::TimePoint End = Now_ + Time;
  while (!Events_.empty() && Events_.top().At_ <= End) {
    const Event Next = Events_.top();
    Events_.pop();
    Now_ = std::max(Now_, Next.At_);
    // Leases that lapsed since the last event.
    for (auto &[Id, One] : Executors_)
      if (One.Up_ && Now_ >= One.LeaseEnd_) {
        if (One.Lapses_.empty() || One.Lapses_.back() < One.LeaseEnd_)
          One.Lapses_.push_back(One.LeaseEnd_);
        while (!One.Running_.empty())
          end(One, One.Running_.begin()->first, fleet::EndKind::LeaseLapsed);
      }
    Next.Work_();
  }
  Now_ = End;
}

work::JobState FakeFleet::stateOf(const std::string &Id) const { return Ledger_.find(Id)->state(); }

int FakeFleet::startsOf(const work::TaskRef &Task) const {
  const auto Found = Starts_.find(Task);
  return Found == Starts_.end() ? 0 : static_cast<int>(Found->second.size());
}

std::vector<std::string> FakeFleet::placesOf(const std::string &Job) const {
  std::vector<std::string> Out;
  for (const auto &[Id, One] : Executors_)
    for (const auto &[Task, Run] : One.Running_)
      if (One.Up_ && Task.Job_ == Job)
        Out.push_back(Id);
  return Out;
}

std::optional<core::Millis> FakeFleet::tookOf(const std::string &Id) const {
  const auto Found = LastEnd_.find(Id);
  if (Found == LastEnd_.end() || stateOf(Id) != work::JobState::Completed)
    return std::nullopt;
  return std::chrono::duration_cast<core::Millis>(Found->second - SubmittedAt_.at(Id));
}

} // namespace masticdrift::tests
