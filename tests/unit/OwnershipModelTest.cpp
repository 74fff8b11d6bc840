// Property test of the ownership lease over a deterministic model of members, messages and the log.
#include "masticdrift/core/Error.h"
#include "masticdrift/ownership/OwnershipDriver.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::ownership;

namespace {

constexpr std::int64_t StepMs = 50;
constexpr std::int64_t FaultPhaseMs = 120'000;
constexpr std::int64_t RecoveryMs = 10'000;
constexpr int SeedCount = 1000;

using Callback = std::function<void()>;

struct Node {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;
  std::int64_t ClockOffsetMs_ = 0;
  double ClockRate_ = 1;
  std::int64_t PausedUntilMs_ = 0;
  std::int64_t StoreCutUntilMs_ = 0; ///< the store is unreachable until then
  std::size_t NextLogIndex_ = 0;
  std::int64_t NextReadMs_ = 0;
  std::int64_t NextProbeMs_ = 0;
  std::int64_t LastReadMs_ = -1;
  std::uint64_t NextSequence_ = 0;
  std::map<std::uint64_t, std::uint64_t> LastSequence_; ///< last replayed sequence, by writer
  std::map<std::string, std::int64_t> LastReplyMs_;     ///< time of the last reply, by member
  std::map<std::string, std::int64_t> StoreReadMs_;     ///< last store read that a member reported
  std::vector<Callback> Inbox_;                         ///< callbacks that arrived while paused
  std::unique_ptr<OwnershipDriver> Driver_;
};

struct Batch {
  std::uint64_t Writer_ = 0; ///< incarnation, unique in the model
  std::uint64_t Sequence_ = 0;
  std::vector<journal::Entry> Entries_;
};

struct ScheduledEvent {
  std::int64_t DueMs_;
  Callback Run_;
};

/// Result of one run. The texts describe violated properties; empty if a property held.
struct RunResult {
  std::string TwoHolders_;
  std::string SlotsTooEarly_;
  std::string NoOwner_;
  int Acquisitions_ = 0;
};

class ClusterModel {
public:
  ClusterModel(std::uint64_t Seed, OwnershipOptions Options)
      : Random_(Seed), Options_(std::move(Options)) {
    // Each seed has its own mix of faults: some faults are found only while others are absent.
    constexpr double Scales[] = {0, 0.5, 1, 3};
    for (double *Scale :
         {&LossScale_, &OutageScale_, &StoreCutScale_, &PauseScale_, &LinkCutScale_, &ChurnScale_})
      *Scale = Scales[randomBelow(4)];
    const auto Members = 2 + randomBelow(3);
    for (std::int64_t I = 0; I < Members; ++I)
      addNode("m" + std::to_string(I));
    NextNameNumber_ = Members;
  }

  RunResult run() {
    // The first owner is established before faults begin.
    while (NowMs_ < 8'000)
      step(false);
    while (NowMs_ < FaultPhaseMs)
      step(true);
    endFaults();
    const auto RecoveryEndMs = NowMs_ + RecoveryMs;
    bool Held = false;
    while (NowMs_ < RecoveryEndMs && !Held) {
      step(false);
      Held = !holders().empty();
    }
    if (!Held)
      Result_.NoOwner_ = "no member holds the lease 10 s after the faults ended";
    return Result_;
  }

private:
  std::int64_t randomBelow(std::int64_t Below) {
    return std::uniform_int_distribution<std::int64_t>(0, Below - 1)(Random_);
  }
  bool chance(double Probability) {
    return std::uniform_real_distribution<>(0, 1)(Random_) < Probability;
  }
  static core::TimePoint nodeTime(const Node &Member, std::int64_t ModelMs) {
    return core::TimePoint(core::Duration(
        static_cast<std::int64_t>(1e6 * (static_cast<double>(Member.ClockOffsetMs_) +
                                         static_cast<double>(ModelMs) * Member.ClockRate_))));
  }
  static std::int64_t modelTimeMs(const Node &Member, core::TimePoint Time) {
    return static_cast<std::int64_t>((static_cast<double>(Time.time_since_epoch().count()) / 1e6 -
                                      static_cast<double>(Member.ClockOffsetMs_)) /
                                     Member.ClockRate_);
  }
  std::shared_ptr<Node> find(const std::string &Name, std::uint64_t Incarnation = 0) {
    for (const auto &Candidate : Nodes_)
      if (Candidate->Name_ == Name && (Incarnation == 0 || Candidate->Incarnation_ == Incarnation))
        return Candidate;
    return nullptr;
  }
  bool storeReachable(const Node &Member) const {
    return NowMs_ >= StoreDownUntilMs_ && NowMs_ >= Member.StoreCutUntilMs_;
  }

  void schedule(std::int64_t DelayMs, Callback Run) {
    Events_.push_back({NowMs_ + DelayMs, std::move(Run)});
  }

  void addNode(const std::string &Name) {
    auto NewNode = std::make_shared<Node>();
    NewNode->Name_ = Name;
    NewNode->Incarnation_ = ++NextIncarnation_;
    NewNode->ClockOffsetMs_ = 100'000 + randomBelow(1'000'000);
    NewNode->ClockRate_ = 0.995 + 0.001 * static_cast<double>(randomBelow(11));
    OwnershipOptions Options = Options_;
    Options.Instance_ = Name;
    Options.Incarnation_ = NewNode->Incarnation_;
    Options.Address_ = Name + ":1";
    OwnershipHooks Hooks;
    const std::weak_ptr<Node> Weak = NewNode;
    Hooks.Append_ = [this, Weak](auto Entries, auto Done) { append(Weak, Entries, Done); };
    Hooks.ReadNow_ = [Weak] {
      if (const auto Self = Weak.lock())
        Self->NextReadMs_ = 0;
    };
    Hooks.RequestConsent_ = [this, Weak](const std::string &Member,
                                         const protocol::ConsentRequest &Request, auto Done) {
      requestConsent(Weak, Member, Request, Done);
    };
    Hooks.TimeSinceReply_ = [this, Weak](const std::string &Member,
                                         core::TimePoint) -> std::optional<core::Duration> {
      const auto Self = Weak.lock();
      const auto LastReply = Self->LastReplyMs_.find(Member);
      return LastReply == Self->LastReplyMs_.end()
                 ? std::nullopt
                 : std::optional<core::Duration>(core::Millis(NowMs_ - LastReply->second));
    };
    Hooks.StoreReadAge_ = [this, Weak](const std::string &Member,
                                       core::TimePoint) -> std::optional<core::Duration> {
      const auto Self = Weak.lock();
      const auto LastRead = Self->StoreReadMs_.find(Member);
      return LastRead == Self->StoreReadMs_.end()
                 ? std::nullopt
                 : std::optional<core::Duration>(core::Millis(NowMs_ - LastRead->second));
    };
    Hooks.IsTerminated_ = [this](const std::string &Member) {
      const auto TerminatedAt = TerminatedAtMs_.find(Member);
      return TerminatedAt != TerminatedAtMs_.end() && NowMs_ - TerminatedAt->second > 20'000;
    };
    Hooks.OnAcquired_ = [this, Weak](std::uint64_t Term, core::TimePoint SlotsFreeAt) {
      acquired(*Weak.lock(), Term, SlotsFreeAt);
    };
    NewNode->Driver_ = std::make_unique<OwnershipDriver>(Options, std::move(Hooks));
    Nodes_.push_back(NewNode);
  }

  void acquired(const Node &NewOwner, std::uint64_t Term, core::TimePoint SlotsFreeAt) {
    ++Result_.Acquisitions_;
    for (const auto &[Id, LastHeldAtMs] : LastHeldMs_)
      if (Id.second != NewOwner.Incarnation_ && !Finished_.contains(Id.second) &&
          modelTimeMs(NewOwner, SlotsFreeAt) < LastHeldAtMs + 5'000)
        Result_.SlotsTooEarly_ = NewOwner.Name_ + " uses slots of term " + std::to_string(Term) +
                                 " too early after " + Id.first;
  }

  void appendToLog(const Batch &Record) { Log_.push_back(Record); }

  void append(const std::weak_ptr<Node> &Writer, const std::vector<journal::Entry> &Entries,
              const std::function<void(std::error_code, std::uint64_t)> &Done) {
    const auto Self = Writer.lock();
    const auto Answer = [this, Writer, Done](std::error_code Error, std::int64_t DelayMs) {
      schedule(DelayMs, [this, Writer, Done, Error] {
        if (const auto Alive = Writer.lock())
          deliver(Alive, [Done, Error] { Done(Error, 0); });
      });
    };
    const Batch Record{Self->Incarnation_, ++Self->NextSequence_, Entries};
    if (!storeReachable(*Self)) {
      // The connection may be cut after the request left: the record arrives much later, or never.
      if (Faults_ && chance(0.5))
        schedule(randomBelow(25'000), [this, Record] { appendWhenStoreIsUp(Record); });
      Answer(core::ErrorKind::AppendUnknown, 1'000);
      return;
    }
    if (Faults_ && chance(0.1)) { // lost or delayed
      if (chance(0.7))
        schedule(randomBelow(20'000), [this, Record] { appendWhenStoreIsUp(Record); });
      Answer(core::ErrorKind::AppendUnknown, 1'000);
      return;
    }
    const auto DelayMs = randomBelow(200);
    schedule(DelayMs, [this, Record] { appendWhenStoreIsUp(Record); });
    if (Faults_ && chance(0.1))
      Answer(core::ErrorKind::AppendUnknown, 1'000);
    else
      Answer({}, DelayMs + randomBelow(100));
  }

  void appendWhenStoreIsUp(const Batch &Record) {
    if (NowMs_ >= StoreDownUntilMs_)
      appendToLog(Record);
    else
      schedule(StoreDownUntilMs_ - NowMs_ + randomBelow(500),
               [this, Record] { appendWhenStoreIsUp(Record); });
  }

  void deliver(const std::shared_ptr<Node> &Recipient, Callback Run) {
    if (NowMs_ < Recipient->PausedUntilMs_)
      Recipient->Inbox_.push_back(std::move(Run));
    else
      Run();
  }

  /// Sends one message; it may be lost or delayed while faults are injected.
  void send(const Node &Sender, const std::weak_ptr<Node> &Recipient, Callback Run) {
    const auto Target = Recipient.lock();
    if (!Target)
      return;
    const auto Pair = std::minmax(Sender.Name_, Target->Name_);
    const auto Cut = LinkCutUntilMs_.find({Pair.first, Pair.second});
    if (Cut != LinkCutUntilMs_.end() && NowMs_ < Cut->second)
      return;
    if (Faults_ && chance(LossProbability_))
      return;
    const auto DelayMs = Faults_ && chance(0.02) ? randomBelow(10'000) : randomBelow(150);
    schedule(DelayMs, [this, Recipient, Run = std::move(Run)] {
      if (const auto Receiver = Recipient.lock())
        deliver(Receiver, Run);
    });
  }

  void requestConsent(const std::weak_ptr<Node> &Claimant, const std::string &Member,
                      const protocol::ConsentRequest &Request,
                      const std::function<void(std::optional<protocol::Consent>)> &Done) {
    const auto VoterNode = find(Member);
    if (!VoterNode)
      return;
    const std::weak_ptr<Node> WeakVoter = VoterNode;
    send(*Claimant.lock(), WeakVoter, [this, Claimant, WeakVoter, Request, Done] {
      const auto Voter = WeakVoter.lock();
      const auto Answer = Voter->Driver_->onConsentRequest(Request, nodeTime(*Voter, NowMs_));
      send(*Voter, Claimant, [Answer, Done] { Done(Answer); });
    });
  }

  void probe(const std::shared_ptr<Node> &ProberNode, const std::shared_ptr<Node> &ReplierNode) {
    const std::weak_ptr<Node> WeakProber = ProberNode;
    const std::weak_ptr<Node> WeakReplier = ReplierNode;
    protocol::Probe Request;
    const auto Sent = nodeTime(*ProberNode, NowMs_);
    const auto SentMs = NowMs_;
    ProberNode->Driver_->fillProbe(Request, Sent);
    send(*ProberNode, WeakReplier,
         [=, this, Name = ProberNode->Name_, Incarnation = ProberNode->Incarnation_] {
           const auto Replier = WeakReplier.lock();
           protocol::ProbeReply Reply;
           Replier->Driver_->fillReply(Name, Incarnation, Request, Reply,
                                       nodeTime(*Replier, NowMs_));
           const auto LastReadMs = Replier->LastReadMs_;
           send(
               *Replier, WeakProber,
               [=, this, ReplierName = Replier->Name_, ReplierIncarnation = Replier->Incarnation_] {
                 const auto Prober = WeakProber.lock();
                 Prober->LastReplyMs_[ReplierName] = NowMs_;
                 if (LastReadMs >= 0)
                   Prober->StoreReadMs_[ReplierName] = LastReadMs;
                 Prober->Driver_->onProbeReply(ReplierName, ReplierIncarnation, Sent, Reply);
                 (void)SentMs;
               });
         });
  }

  void read(Node &Reader) {
    Reader.NextReadMs_ = NowMs_ + 200;
    if (!storeReachable(Reader))
      return;
    auto End = Log_.size();
    if (Faults_ && chance(0.1) && End > Reader.NextLogIndex_) // a partial answer
      End = Reader.NextLogIndex_ + static_cast<std::size_t>(randomBelow(
                                       static_cast<std::int64_t>(End - Reader.NextLogIndex_) + 1));
    for (; Reader.NextLogIndex_ < End; ++Reader.NextLogIndex_) {
      auto &Last = Reader.LastSequence_[Log_[Reader.NextLogIndex_].Writer_];
      if (Log_[Reader.NextLogIndex_].Sequence_ <= Last)
        continue; // a delayed append that a later one has overtaken
      Last = Log_[Reader.NextLogIndex_].Sequence_;
      for (const auto &Entry : Log_[Reader.NextLogIndex_].Entries_) {
        Reader.Driver_->onRecord(Reader.NextLogIndex_ + 1, Entry.Type_, Entry.Body_,
                                 nodeTime(Reader, NowMs_));
        if (Faults_ && chance(0.05)) // the timer thread runs between two records
          Reader.Driver_->tick(nodeTime(Reader, NowMs_));
      }
    }
    if (End == Log_.size()) {
      Reader.Driver_->onReadComplete(nodeTime(Reader, NowMs_));
      Reader.LastReadMs_ = NowMs_;
    }
  }

  void killNode(std::size_t Index) {
    recordLastHeld(*Nodes_[Index]);
    Nodes_.erase(Nodes_.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  void recordLastHeld(const Node &Member) {
    if (Member.Driver_->holds(nodeTime(Member, NowMs_)))
      LastHeldMs_[{Member.Name_, Member.Incarnation_}] = NowMs_;
  }

  void injectFaults() {
    if (chance(0.003))
      LossProbability_ = LossScale_ * (chance(0.5) ? 0.02 : 0.15);
    if (chance(0.004 * OutageScale_) && NowMs_ >= StoreDownUntilMs_)
      StoreDownUntilMs_ = NowMs_ + randomBelow(20'000);
    for (const auto &Member : Nodes_) {
      if (chance(0.003 * StoreCutScale_))
        Member->StoreCutUntilMs_ = NowMs_ + randomBelow(25'000);
      if (chance(0.002 * PauseScale_))
        Member->PausedUntilMs_ = NowMs_ + randomBelow(9'000);
      for (const auto &Other : Nodes_)
        if (Member->Name_ < Other->Name_ && chance(0.002 * LinkCutScale_))
          LinkCutUntilMs_[{Member->Name_, Other->Name_}] = NowMs_ + randomBelow(15'000);
    }
    if (!Nodes_.empty() && chance(0.005 * ChurnScale_)) {
      const auto Index =
          static_cast<std::size_t>(randomBelow(static_cast<std::int64_t>(Nodes_.size())));
      const auto Name = Nodes_[Index]->Name_;
      if (chance(0.3)) {
        Nodes_[Index]->Driver_->beginStop();
        Nodes_[Index]->Driver_->finishStop(nodeTime(*Nodes_[Index], NowMs_));
        GracefullyStopping_.insert(Nodes_[Index]->Incarnation_);
      } else if (chance(0.6)) {
        killNode(Index);
        RestartAtMs_[Name] = NowMs_ + randomBelow(5'000);
      } else {
        killNode(Index);
        TerminatedAtMs_[Name] = NowMs_;
      }
    }
    if (Nodes_.size() + RestartAtMs_.size() < 4 && chance(0.01))
      addNode("m" + std::to_string(NextNameNumber_++));
  }

  void restartDueNodes() {
    for (auto It = RestartAtMs_.begin(); It != RestartAtMs_.end();)
      if (NowMs_ >= It->second) {
        addNode(It->first);
        It = RestartAtMs_.erase(It);
      } else {
        ++It;
      }
  }

  void endFaults() {
    Faults_ = false;
    StoreDownUntilMs_ = 0;
    LinkCutUntilMs_.clear();
    for (const auto &Member : Nodes_)
      Member->StoreCutUntilMs_ = Member->PausedUntilMs_ = 0;
    for (auto &Restart : RestartAtMs_)
      Restart.second = NowMs_;
    for (auto &Termination : TerminatedAtMs_)
      Termination.second = NowMs_ - 30'000;
    // Delayed messages and appends arrive now.
    for (auto &Event : Events_)
      Event.DueMs_ = std::min(Event.DueMs_, NowMs_ + 300);
    const bool AllStop = std::ranges::all_of(Nodes_, [&](const auto &Member) {
      return GracefullyStopping_.contains(Member->Incarnation_);
    });
    if (AllStop && RestartAtMs_.empty()) // otherwise no member could own the domain
      addNode("m" + std::to_string(NextNameNumber_++));
  }

  std::vector<const Node *> holders() {
    std::vector<const Node *> Holders;
    for (const auto &Member : Nodes_)
      if (Member->Driver_->holds(nodeTime(*Member, NowMs_)))
        Holders.push_back(Member.get());
    return Holders;
  }

  void checkSingleHolder() {
    const auto Holders = holders();
    if (Holders.size() > 1)
      Result_.TwoHolders_ = "at " + std::to_string(NowMs_) + " ms both " + Holders[0]->Name_ +
                            " (term " + std::to_string(Holders[0]->Driver_->ownTerm()) + ") and " +
                            Holders[1]->Name_ + " (term " +
                            std::to_string(Holders[1]->Driver_->ownTerm()) + ") hold the lease";
    for (const auto *Holder : Holders)
      LastHeldMs_[{Holder->Name_, Holder->Incarnation_}] = NowMs_;
  }

  void step(bool WithFaults) {
    NowMs_ += StepMs;
    Faults_ = WithFaults;
    if (WithFaults)
      injectFaults();
    restartDueNodes();
    std::vector<ScheduledEvent> Due;
    for (std::size_t I = 0; I < Events_.size();)
      if (Events_[I].DueMs_ <= NowMs_) {
        Due.push_back(std::move(Events_[I]));
        Events_[I] = std::move(Events_.back());
        Events_.pop_back();
      } else {
        ++I;
      }
    for (auto &Event : Due)
      Event.Run_();
    const auto Nodes = Nodes_; // copy: graceful stops below change the list
    for (const auto &Member : Nodes) {
      if (NowMs_ < Member->PausedUntilMs_)
        continue;
      auto Inbox = std::exchange(Member->Inbox_, {});
      // The order of tick, messages and reads after a pause is arbitrary.
      const bool TickFirst = chance(0.5);
      if (TickFirst)
        Member->Driver_->tick(nodeTime(*Member, NowMs_));
      std::ranges::shuffle(Inbox, Random_);
      for (auto &Run : Inbox)
        Run();
      if (NowMs_ >= Member->NextReadMs_)
        read(*Member);
      if (!TickFirst)
        Member->Driver_->tick(nodeTime(*Member, NowMs_));
      if (NowMs_ >= Member->NextProbeMs_) {
        Member->NextProbeMs_ = NowMs_ + 1'000;
        for (const auto &Other : Nodes)
          if (Other != Member)
            probe(Member, Other);
      }
    }
    checkSingleHolder();
    std::erase_if(Nodes_, [&](const auto &Member) {
      if (!Member->Driver_->hasLeft())
        return false;
      Finished_.insert(Member->Incarnation_);
      TerminatedAtMs_[Member->Name_] = NowMs_;
      return true;
    });
    // Another member may acquire a released lease before the old owner has read its Release back.
    for (const auto &Member : Nodes_)
      if (GracefullyStopping_.contains(Member->Incarnation_) && Member->Driver_->ownTerm() == 0)
        Finished_.insert(Member->Incarnation_);
  }

  std::mt19937_64 Random_;
  OwnershipOptions Options_;
  std::int64_t NowMs_ = 0;
  bool Faults_ = false;
  double LossProbability_ = 0.05;
  double LossScale_ = 1;
  double OutageScale_ = 1;
  double StoreCutScale_ = 1;
  double PauseScale_ = 1;
  double LinkCutScale_ = 1;
  double ChurnScale_ = 1;
  std::int64_t StoreDownUntilMs_ = 0;
  std::int64_t NextNameNumber_ = 0;
  std::uint64_t NextIncarnation_ = 0;
  std::vector<std::shared_ptr<Node>> Nodes_;
  std::vector<Batch> Log_;
  std::vector<ScheduledEvent> Events_;
  std::map<std::pair<std::string, std::string>, std::int64_t> LinkCutUntilMs_;
  std::map<std::string, std::int64_t> RestartAtMs_;
  std::map<std::string, std::int64_t> TerminatedAtMs_;
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> LastHeldMs_;
  std::set<std::uint64_t> GracefullyStopping_; ///< incarnations that stop gracefully
  std::set<std::uint64_t> Finished_;           ///< of these, the ones that released their lease
  RunResult Result_;
};

/// Number of seeds that violated a property, and of acquisitions in all runs.
struct Totals {
  int TwoHolders_ = 0;
  int SlotsTooEarly_ = 0;
  int NoOwner_ = 0;
  int Acquisitions_ = 0;
};

/// Runs the model with all seeds and prints those that violate a property.
///
/// \param RunAllSeeds false to stop at the first seed with two holders.
Totals runAll(const char *Label, const OwnershipOptions &Options, bool RunAllSeeds) {
  Totals Sum;
  for (int Seed = 1; Seed <= SeedCount; ++Seed) {
    const auto Result = ClusterModel(static_cast<std::uint64_t>(Seed), Options).run();
    for (const auto *Failure : {&Result.TwoHolders_, &Result.SlotsTooEarly_, &Result.NoOwner_})
      if (!Failure->empty())
        std::fprintf(stderr, "%s: seed %d: %s\n", Label, Seed, Failure->c_str());
    Sum.TwoHolders_ += Result.TwoHolders_.empty() ? 0 : 1;
    Sum.SlotsTooEarly_ += Result.SlotsTooEarly_.empty() ? 0 : 1;
    Sum.NoOwner_ += Result.NoOwner_.empty() ? 0 : 1;
    Sum.Acquisitions_ += Result.Acquisitions_;
    if (!RunAllSeeds && Sum.TwoHolders_ > 0)
      return Sum;
  }
  std::fprintf(stderr,
               "%s: seeds 1-%d: %d with two holders, %d with slots used early, %d without an owner "
               "after recovery, %d acquisitions\n",
               Label, SeedCount, Sum.TwoHolders_, Sum.SlotsTooEarly_, Sum.NoOwner_,
               Sum.Acquisitions_);
  return Sum;
}

} // namespace

// Guards against two owners of one domain (P2), and against a domain that has no owner after faults
// have ended.
Test(OwnershipModel, keepsSingleHolderAndRecoversAfterFaults) {
  const auto Sum = runAll("all mechanisms", {}, true);
  cr_assert_eq(Sum.TwoHolders_, 0);
  cr_assert_eq(Sum.SlotsTooEarly_, 0);
  cr_assert_eq(Sum.NoOwner_, 0);
  cr_assert_gt(Sum.Acquisitions_, 2 * SeedCount, "too few changes of owner for a meaningful test");
}

// The following tests disable one mechanism each and check that the model detects two holders then.
Test(OwnershipModel, detectsTwoHoldersWithoutVersionCheck) {
  OwnershipOptions Options;
  Options.CheckVersion_ = false;
  cr_assert_gt(runAll("no version check", Options, false).TwoHolders_, 0);
}

Test(OwnershipModel, detectsTwoHoldersWhenPromisesAreIgnored) {
  OwnershipOptions Options;
  Options.HonourPromises_ = false;
  cr_assert_gt(runAll("promises ignored", Options, false).TwoHolders_, 0);
}

Test(OwnershipModel, detectsTwoHoldersWhenPromisesAreGrantedDuringOpenClaim) {
  OwnershipOptions Options;
  Options.BlockWhileClaimOpen_ = false;
  cr_assert_gt(runAll("promises during an open claim", Options, false).TwoHolders_, 0);
}

Test(OwnershipModel, detectsTwoHoldersWithoutConsent) {
  OwnershipOptions Options;
  Options.RequireConsent_ = false;
  cr_assert_gt(runAll("no consent", Options, false).TwoHolders_, 0);
}
