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
constexpr std::int64_t FaultsMs = 120'000;
constexpr std::int64_t RecoveryMs = 10'000;
constexpr int Seeds = 1000;

using Work = std::function<void()>;

struct Node {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;
  std::int64_t ClockOffset_ = 0;
  double ClockRate_ = 1;
  std::int64_t PausedUntil_ = 0;
  std::int64_t CutUntil_ = 0; ///< from the store
  std::size_t ReadTo_ = 0;
  std::int64_t NextRead_ = 0;
  std::int64_t NextProbe_ = 0;
  std::int64_t LastReadAt_ = -1;
  std::uint64_t NextSequence_ = 0;
  std::map<std::uint64_t, std::uint64_t> LastSequence_; ///< of the replay, by writer
  std::map<std::string, std::int64_t> Heard_;           ///< by member
  std::map<std::string, std::int64_t> StoreRead_;       ///< reported by member
  std::vector<Work> Inbox_;                             ///< delivered while paused
  std::unique_ptr<OwnershipDriver> Driver_;
};

struct Batch {
  std::uint64_t Writer_ = 0; ///< incarnation, unique in the model
  std::uint64_t Sequence_ = 0;
  std::vector<journal::Entry> Entries_;
};

struct Flight {
  std::int64_t At_;
  Work Do_;
};

/// Failure found by a run; empty when all properties held.
struct Verdict {
  std::string TwoHolders_;
  std::string SlotsTooEarly_;
  std::string NoOwner_;
  int Acquisitions_ = 0;
};

class World {
public:
  World(std::uint64_t Seed, OwnershipOptions Options)
      : Random_(Seed), Options_(std::move(Options)) {
    // Each seed has its own mix of faults; rare ones need the others to stay away.
    constexpr double Rates[] = {0, 0.5, 1, 3};
    for (double *Rate : {&LossRate_, &OutageRate_, &CutRate_, &PauseRate_, &PairRate_, &ChurnRate_})
      *Rate = Rates[pick(4)];
    const auto Members = 2 + pick(3);
    for (std::int64_t I = 0; I < Members; ++I)
      add("m" + std::to_string(I));
    NextName_ = Members;
  }

  Verdict run() {
    // The first owner is established before faults begin.
    while (Now_ < 8'000)
      step(false);
    while (Now_ < FaultsMs)
      step(true);
    endFaults();
    const auto Deadline = Now_ + RecoveryMs;
    bool Held = false;
    while (Now_ < Deadline && !Held) {
      step(false);
      Held = !holders().empty();
    }
    if (!Held)
      Result_.NoOwner_ = "no member holds the lease 10 s after the faults ended";
    return Result_;
  }

private:
  std::int64_t pick(std::int64_t Below) {
    return std::uniform_int_distribution<std::int64_t>(0, Below - 1)(Random_);
  }
  bool chance(double Probability) {
    return std::uniform_real_distribution<>(0, 1)(Random_) < Probability;
  }
  static core::TimePoint at(const Node &Of, std::int64_t Now) {
    return core::TimePoint(core::Duration(static_cast<std::int64_t>(
        1e6 * (static_cast<double>(Of.ClockOffset_) + static_cast<double>(Now) * Of.ClockRate_))));
  }
  static std::int64_t back(const Node &Of, core::TimePoint Time) {
    return static_cast<std::int64_t>((static_cast<double>(Time.time_since_epoch().count()) / 1e6 -
                                      static_cast<double>(Of.ClockOffset_)) /
                                     Of.ClockRate_);
  }
  std::shared_ptr<Node> find(const std::string &Name, std::uint64_t Incarnation = 0) {
    for (const auto &Each : Nodes_)
      if (Each->Name_ == Name && (Incarnation == 0 || Each->Incarnation_ == Incarnation))
        return Each;
    return nullptr;
  }
  bool storeReachable(const Node &Of) const {
    return Now_ >= StoreDownUntil_ && Now_ >= Of.CutUntil_;
  }

  void later(std::int64_t Delay, Work Do) { Flights_.push_back({Now_ + Delay, std::move(Do)}); }

  void add(const std::string &Name) {
    auto Fresh = std::make_shared<Node>();
    Fresh->Name_ = Name;
    Fresh->Incarnation_ = ++NextIncarnation_;
    Fresh->ClockOffset_ = 100'000 + pick(1'000'000);
    Fresh->ClockRate_ = 0.995 + 0.001 * static_cast<double>(pick(11));
    OwnershipOptions Options = Options_;
    Options.Instance_ = Name;
    Options.Incarnation_ = Fresh->Incarnation_;
    Options.Address_ = Name + ":1";
    OwnershipHooks Hooks;
    const std::weak_ptr<Node> Weak = Fresh;
    Hooks.Append_ = [this, Weak](auto Entries, auto Done) { append(Weak, Entries, Done); };
    Hooks.ReadNow_ = [Weak] {
      if (const auto Self = Weak.lock())
        Self->NextRead_ = 0;
    };
    Hooks.AskConsent_ = [this, Weak](const std::string &Member, const protocol::ConsentRequest &Ask,
                                     auto Done) { askConsent(Weak, Member, Ask, Done); };
    Hooks.MissedFor_ = [this, Weak](const std::string &Member,
                                    core::TimePoint) -> std::optional<core::Duration> {
      const auto Self = Weak.lock();
      const auto Heard = Self->Heard_.find(Member);
      return Heard == Self->Heard_.end()
                 ? std::nullopt
                 : std::optional<core::Duration>(core::Millis(Now_ - Heard->second));
    };
    Hooks.StoreAge_ = [this, Weak](const std::string &Member,
                                   core::TimePoint) -> std::optional<core::Duration> {
      const auto Self = Weak.lock();
      const auto Read = Self->StoreRead_.find(Member);
      return Read == Self->StoreRead_.end()
                 ? std::nullopt
                 : std::optional<core::Duration>(core::Millis(Now_ - Read->second));
    };
    Hooks.IsGone_ = [this](const std::string &Member) {
      const auto Since = Terminated_.find(Member);
      return Since != Terminated_.end() && Now_ - Since->second > 20'000;
    };
    Hooks.OnAcquired_ = [this, Weak](std::uint64_t Term, core::TimePoint SlotsFreeAt) {
      acquired(*Weak.lock(), Term, SlotsFreeAt);
    };
    Fresh->Driver_ = std::make_unique<OwnershipDriver>(Options, std::move(Hooks));
    Nodes_.push_back(Fresh);
  }

  void acquired(const Node &By, std::uint64_t Term, core::TimePoint SlotsFreeAt) {
    ++Result_.Acquisitions_;
    for (const auto &[Id, Last] : LastHeld_)
      if (Id.second != By.Incarnation_ && !Finished_.contains(Id.second) &&
          back(By, SlotsFreeAt) < Last + 5'000)
        Result_.SlotsTooEarly_ = By.Name_ + " uses slots of term " + std::to_string(Term) +
                                 " too early after " + Id.first;
  }

  void land(const Batch &Record) { Log_.push_back(Record); }

  void append(const std::weak_ptr<Node> &By, const std::vector<journal::Entry> &Entries,
              const std::function<void(std::error_code, std::uint64_t)> &Done) {
    const auto Self = By.lock();
    const auto Answer = [this, By, Done](std::error_code Error, std::int64_t Delay) {
      later(Delay, [this, By, Done, Error] {
        if (const auto Alive = By.lock())
          deliver(Alive, [Done, Error] { Done(Error, 0); });
      });
    };
    const Batch Record{Self->Incarnation_, ++Self->NextSequence_, Entries};
    if (!storeReachable(*Self)) {
      // The connection may be cut after the request left: it can land much later, or never.
      if (Faults_ && chance(0.5))
        later(pick(25'000), [this, Record] { whenStoreIsUp(Record); });
      Answer(core::ErrorKind::AppendUnknown, 1'000);
      return;
    }
    if (Faults_ && chance(0.1)) { // lost or delayed
      if (chance(0.7))
        later(pick(20'000), [this, Record] { whenStoreIsUp(Record); });
      Answer(core::ErrorKind::AppendUnknown, 1'000);
      return;
    }
    const auto Delay = pick(200);
    later(Delay, [this, Record] { whenStoreIsUp(Record); });
    if (Faults_ && chance(0.1))
      Answer(core::ErrorKind::AppendUnknown, 1'000);
    else
      Answer({}, Delay + pick(100));
  }

  void whenStoreIsUp(const Batch &Record) {
    if (Now_ >= StoreDownUntil_)
      land(Record);
    else
      later(StoreDownUntil_ - Now_ + pick(500), [this, Record] { whenStoreIsUp(Record); });
  }

  void deliver(const std::shared_ptr<Node> &To, Work Do) {
    if (Now_ < To->PausedUntil_)
      To->Inbox_.push_back(std::move(Do));
    else
      Do();
  }

  /// One message; may be lost or late while faults last.
  void message(const Node &From, const std::weak_ptr<Node> &To, Work Do) {
    const auto Target = To.lock();
    if (!Target)
      return;
    const auto Pair = std::minmax(From.Name_, Target->Name_);
    const auto Cut = PairCut_.find({Pair.first, Pair.second});
    if (Cut != PairCut_.end() && Now_ < Cut->second)
      return;
    if (Faults_ && chance(Loss_))
      return;
    const auto Delay = Faults_ && chance(0.02) ? pick(10'000) : pick(150);
    later(Delay, [this, To, Do = std::move(Do)] {
      if (const auto Alive = To.lock())
        deliver(Alive, Do);
    });
  }

  void askConsent(const std::weak_ptr<Node> &By, const std::string &Member,
                  const protocol::ConsentRequest &Ask,
                  const std::function<void(std::optional<protocol::Consent>)> &Done) {
    const auto Target = find(Member);
    if (!Target)
      return;
    const std::weak_ptr<Node> To = Target;
    message(*By.lock(), To, [this, By, To, Ask, Done] {
      const auto Voter = To.lock();
      const auto Answer = Voter->Driver_->onConsentRequest(Ask, at(*Voter, Now_));
      message(*Voter, By, [Answer, Done] { Done(Answer); });
    });
  }

  void probe(const std::shared_ptr<Node> &From, const std::shared_ptr<Node> &To) {
    const std::weak_ptr<Node> Asker = From;
    const std::weak_ptr<Node> Member = To;
    protocol::Probe Ask;
    const auto Sent = at(*From, Now_);
    const auto SentAt = Now_;
    From->Driver_->fillProbe(Ask, Sent);
    message(*From, Member, [=, this, Name = From->Name_, Incarnation = From->Incarnation_] {
      const auto Replier = Member.lock();
      protocol::ProbeReply Reply;
      Replier->Driver_->fillReply(Name, Incarnation, Ask, Reply, at(*Replier, Now_));
      const auto Read = Replier->LastReadAt_;
      message(*Replier, Asker,
              [=, this, By = Replier->Name_, ByIncarnation = Replier->Incarnation_] {
                const auto Back = Asker.lock();
                Back->Heard_[By] = Now_;
                if (Read >= 0)
                  Back->StoreRead_[By] = Read;
                Back->Driver_->onProbeReply(By, ByIncarnation, Sent, Reply);
                (void)SentAt;
              });
    });
  }

  void read(Node &By) {
    By.NextRead_ = Now_ + 200;
    if (!storeReachable(By))
      return;
    auto End = Log_.size();
    if (Faults_ && chance(0.1) && End > By.ReadTo_) // a partial answer
      End = By.ReadTo_ +
            static_cast<std::size_t>(pick(static_cast<std::int64_t>(End - By.ReadTo_) + 1));
    for (; By.ReadTo_ < End; ++By.ReadTo_) {
      auto &Last = By.LastSequence_[Log_[By.ReadTo_].Writer_];
      if (Log_[By.ReadTo_].Sequence_ <= Last)
        continue; // a delayed copy of an abandoned append
      Last = Log_[By.ReadTo_].Sequence_;
      for (const auto &Each : Log_[By.ReadTo_].Entries_) {
        By.Driver_->onRecord(By.ReadTo_ + 1, Each.Type_, Each.Body_, at(By, Now_));
        if (Faults_ && chance(0.05)) // the timer thread runs between two records
          By.Driver_->tick(at(By, Now_));
      }
    }
    if (End == Log_.size()) {
      By.Driver_->onReadComplete(at(By, Now_));
      By.LastReadAt_ = Now_;
    }
  }

  void kill(std::size_t Index) {
    LastHeldOfDead(*Nodes_[Index]);
    Nodes_.erase(Nodes_.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  void LastHeldOfDead(const Node &Of) { // NOLINT(readability-identifier-naming)
    if (Of.Driver_->holds(at(Of, Now_)))
      LastHeld_[{Of.Name_, Of.Incarnation_}] = Now_;
  }

  void faults() {
    if (chance(0.003))
      Loss_ = LossRate_ * (chance(0.5) ? 0.02 : 0.15);
    if (chance(0.004 * OutageRate_) && Now_ >= StoreDownUntil_)
      StoreDownUntil_ = Now_ + pick(20'000);
    for (const auto &Each : Nodes_) {
      if (chance(0.003 * CutRate_))
        Each->CutUntil_ = Now_ + pick(25'000);
      if (chance(0.002 * PauseRate_))
        Each->PausedUntil_ = Now_ + pick(9'000);
      for (const auto &Other : Nodes_)
        if (Each->Name_ < Other->Name_ && chance(0.002 * PairRate_))
          PairCut_[{Each->Name_, Other->Name_}] = Now_ + pick(15'000);
    }
    if (!Nodes_.empty() && chance(0.005 * ChurnRate_)) {
      const auto Index = static_cast<std::size_t>(pick(static_cast<std::int64_t>(Nodes_.size())));
      const auto Name = Nodes_[Index]->Name_;
      if (chance(0.3)) {
        Nodes_[Index]->Driver_->beginStop();
        Nodes_[Index]->Driver_->finishStop(at(*Nodes_[Index], Now_));
        Finishing_.insert(Nodes_[Index]->Incarnation_);
      } else if (chance(0.6)) {
        kill(Index);
        Restart_[Name] = Now_ + pick(5'000);
      } else {
        kill(Index);
        Terminated_[Name] = Now_;
      }
    }
    if (Nodes_.size() + Restart_.size() < 4 && chance(0.01))
      add("m" + std::to_string(NextName_++));
  }

  void restarts() {
    for (auto Each = Restart_.begin(); Each != Restart_.end();)
      if (Now_ >= Each->second) {
        add(Each->first);
        Each = Restart_.erase(Each);
      } else {
        ++Each;
      }
  }

  void endFaults() {
    Faults_ = false;
    StoreDownUntil_ = 0;
    PairCut_.clear();
    for (const auto &Each : Nodes_)
      Each->CutUntil_ = Each->PausedUntil_ = 0;
    for (auto &Each : Restart_)
      Each.second = Now_;
    for (auto &Each : Terminated_)
      Each.second = Now_ - 30'000;
    // Delayed messages and appends arrive now.
    for (auto &Each : Flights_)
      Each.At_ = std::min(Each.At_, Now_ + 300);
    const bool AllStop = std::ranges::all_of(
        Nodes_, [&](const auto &Each) { return Finishing_.contains(Each->Incarnation_); });
    if (AllStop && Restart_.empty()) // nobody would be left to own the domain
      add("m" + std::to_string(NextName_++));
  }

  std::vector<const Node *> holders() {
    std::vector<const Node *> Out;
    for (const auto &Each : Nodes_)
      if (Each->Driver_->holds(at(*Each, Now_)))
        Out.push_back(Each.get());
    return Out;
  }

  void check() {
    const auto Holders = holders();
    if (Holders.size() > 1)
      Result_.TwoHolders_ = "at " + std::to_string(Now_) + " ms both " + Holders[0]->Name_ +
                            " (term " + std::to_string(Holders[0]->Driver_->ownTerm()) + ") and " +
                            Holders[1]->Name_ + " (term " +
                            std::to_string(Holders[1]->Driver_->ownTerm()) + ") hold the lease";
    for (const auto *Each : Holders)
      LastHeld_[{Each->Name_, Each->Incarnation_}] = Now_;
  }

  void step(bool WithFaults) {
    Now_ += StepMs;
    Faults_ = WithFaults;
    if (WithFaults)
      faults();
    restarts();
    std::vector<Flight> Due;
    for (std::size_t I = 0; I < Flights_.size();)
      if (Flights_[I].At_ <= Now_) {
        Due.push_back(std::move(Flights_[I]));
        Flights_[I] = std::move(Flights_.back());
        Flights_.pop_back();
      } else {
        ++I;
      }
    for (auto &Each : Due)
      Each.Do_();
    const auto Nodes = Nodes_; // hooks do not change the list, graceful stops below do
    for (const auto &Each : Nodes) {
      if (Now_ < Each->PausedUntil_)
        continue;
      auto Inbox = std::exchange(Each->Inbox_, {});
      // What runs first after a pause is arbitrary.
      const bool TickFirst = chance(0.5);
      if (TickFirst)
        Each->Driver_->tick(at(*Each, Now_));
      std::ranges::shuffle(Inbox, Random_);
      for (auto &Do : Inbox)
        Do();
      if (Now_ >= Each->NextRead_)
        read(*Each);
      if (!TickFirst)
        Each->Driver_->tick(at(*Each, Now_));
      if (Now_ >= Each->NextProbe_) {
        Each->NextProbe_ = Now_ + 1'000;
        for (const auto &Other : Nodes)
          if (Other != Each)
            probe(Each, Other);
      }
    }
    check();
    std::erase_if(Nodes_, [&](const auto &Each) {
      if (!Each->Driver_->left())
        return false;
      Finished_.insert(Each->Incarnation_);
      Terminated_[Each->Name_] = Now_;
      return true;
    });
    // A released lease may be taken while its old owner still waits to read the record back.
    for (const auto &Each : Nodes_)
      if (Finishing_.contains(Each->Incarnation_) && Each->Driver_->ownTerm() == 0)
        Finished_.insert(Each->Incarnation_);
  }

  std::mt19937_64 Random_;
  OwnershipOptions Options_;
  std::int64_t Now_ = 0;
  bool Faults_ = false;
  double Loss_ = 0.05;
  double LossRate_ = 1;
  double OutageRate_ = 1;
  double CutRate_ = 1;
  double PauseRate_ = 1;
  double PairRate_ = 1;
  double ChurnRate_ = 1;
  std::int64_t StoreDownUntil_ = 0;
  std::int64_t NextName_ = 0;
  std::uint64_t NextIncarnation_ = 0;
  std::vector<std::shared_ptr<Node>> Nodes_;
  std::vector<Batch> Log_;
  std::vector<Flight> Flights_;
  std::map<std::pair<std::string, std::string>, std::int64_t> PairCut_;
  std::map<std::string, std::int64_t> Restart_;
  std::map<std::string, std::int64_t> Terminated_;
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> LastHeld_;
  std::set<std::uint64_t> Finishing_; ///< incarnations that stop gracefully
  std::set<std::uint64_t> Finished_;  ///< of these, the ones that gave up their lease
  Verdict Result_;
};

/// Runs all seeds and prints those that fail.
struct Totals {
  int TwoHolders_ = 0;
  int SlotsTooEarly_ = 0;
  int NoOwner_ = 0;
  int Acquisitions_ = 0;
};

/// \param Expected with all mechanisms; otherwise the first seed with two holders ends the run.
Totals runAll(const char *Label, const OwnershipOptions &Options, bool Expected) {
  Totals Sum;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Result = World(static_cast<std::uint64_t>(Seed), Options).run();
    for (const auto *Text : {&Result.TwoHolders_, &Result.SlotsTooEarly_, &Result.NoOwner_})
      if (!Text->empty())
        std::fprintf(stderr, "%s: seed %d: %s\n", Label, Seed, Text->c_str());
    Sum.TwoHolders_ += Result.TwoHolders_.empty() ? 0 : 1;
    Sum.SlotsTooEarly_ += Result.SlotsTooEarly_.empty() ? 0 : 1;
    Sum.NoOwner_ += Result.NoOwner_.empty() ? 0 : 1;
    Sum.Acquisitions_ += Result.Acquisitions_;
    if (!Expected && Sum.TwoHolders_ > 0)
      return Sum;
  }
  std::fprintf(stderr,
               "%s: seeds 1-%d: %d with two holders, %d with slots used early, %d without an owner "
               "after recovery, %d acquisitions\n",
               Label, Seeds, Sum.TwoHolders_, Sum.SlotsTooEarly_, Sum.NoOwner_, Sum.Acquisitions_);
  return Sum;
}

} // namespace

// Guards against two owners of one domain (P2) and against a domain that stays without one.
Test(OwnershipModel, atMostOneMemberHoldsTheLeaseAndOneIsFoundAfterFaults) {
  const auto Sum = runAll("all mechanisms", {}, true);
  cr_assert_eq(Sum.TwoHolders_, 0);
  cr_assert_eq(Sum.SlotsTooEarly_, 0);
  cr_assert_eq(Sum.NoOwner_, 0);
  cr_assert_gt(Sum.Acquisitions_, 2 * Seeds, "the model hardly ever changed owners");
}

// The following show that the model can see the faults that each mechanism prevents.
Test(OwnershipModel, claimsWithoutTheVersionAreSeenToFail) {
  OwnershipOptions Options;
  Options.CheckVersion_ = false;
  cr_assert_gt(runAll("no version check", Options, false).TwoHolders_, 0);
}

Test(OwnershipModel, aClaimantThatIgnoresItsPromiseIsSeenToFail) {
  OwnershipOptions Options;
  Options.HonourPromises_ = false;
  cr_assert_gt(runAll("promises ignored", Options, false).TwoHolders_, 0);
}

Test(OwnershipModel, promisesDuringAnOpenClaimAreSeenToFail) {
  OwnershipOptions Options;
  Options.BlockWhileClaimOpen_ = false;
  cr_assert_gt(runAll("promises during an open claim", Options, false).TwoHolders_, 0);
}

Test(OwnershipModel, aNewMemberWithoutConsentIsSeenToFail) {
  OwnershipOptions Options;
  Options.AskConsent_ = false;
  cr_assert_gt(runAll("no consent", Options, false).TwoHolders_, 0);
}
