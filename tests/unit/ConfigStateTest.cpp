#include "masticdrift/config/ConfigState.h"

#include "masticdrift/config/Key.h"

#include <atomic>
#include <random>
#include <thread>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace masticdrift;
using config::AllotmentTransfer;
using config::ConfigState;
using config::KeyGrant;
using config::KeyRevoke;
using config::KeyStatus;
using config::Limit;
using config::makeEntry;
using config::Submit;
using config::SubmitOutcome;
using journal::Entry;
using nlohmann::json;

namespace {

json text(std::int64_t Slots = 10) {
  json Out = json::parse(R"({"fleet":"roshan",
    "domains":[{"name":"lahore-a","region":"Punjab","weight":1},
               {"name":"karachi-a","region":"Sindh","weight":1}],
    "teams":[{"name":"punjab-rural","share":4,"limit":{"slots":1,"cores":20,"memory_mb":4096}}],
    "queues":[{"name":"print","class":"batch","teams":["punjab-rural"]}]})");
  Out["teams"][0]["limit"]["slots"] = Slots;
  return Out;
}

Entry submit(std::string Id, std::uint64_t Base, std::string Author, const json &Text) {
  return makeEntry(Submit{std::move(Id), Base + 1, Base, std::move(Author), 1000, "", Text.dump()});
}

} // namespace

// Guards against a submission that is accepted on one daemon and rejected on another (P10).
Test(ConfigStateConflict, theFirstOfTwoSubmissionsOnOneBaseWinsAndNothingReverts) {
  ConfigState State;
  cr_assert_eq(State.current()->Version_, 0);
  cr_assert(State.apply(5, 0, submit("s1", 0, "amina", text(10))));
  cr_assert(State.apply(6, 0, submit("s2", 1, "bilal", text(20))));
  cr_assert(!State.apply(7, 0, submit("s3", 1, "amina", text(30))));
  cr_assert_eq(State.version(), 2);
  cr_assert_eq(State.current()->Version_, 2);
  cr_assert_eq(State.current()->team("punjab-rural")->Limit_.Slots_, 20);
  const auto Conflict = State.result("s3");
  cr_assert(Conflict->Outcome_ == SubmitOutcome::Conflict);
  cr_assert(Conflict->WinningAuthor_ == "bilal");
  cr_assert_eq(Conflict->Version_, 2);
  cr_assert(State.result("s2")->Outcome_ == SubmitOutcome::Accepted);
  cr_assert(!State.result("s4"));
  // When the base is two versions old, the result names the version that followed that base.
  State.apply(8, 0, submit("s5", 2, "chandni", text(40)));
  State.apply(9, 0, submit("s6", 1, "dawood", text(50)));
  cr_assert_eq(State.result("s6")->Version_, 2);
  cr_assert(State.result("s6")->WinningAuthor_ == "bilal");
  cr_assert_eq(State.version(), 3);
}

Test(ConfigStateConflict, aBaseThatDoesNotExistIsAConflict) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text()));
  State.apply(1, 0, submit("s2", 7, "bilal", text()));
  cr_assert(State.result("s2")->Outcome_ == SubmitOutcome::Conflict);
  cr_assert(State.result("s2")->WinningAuthor_ == "amina");
  cr_assert_eq(State.version(), 1);
}

// A writer repeats a submission when it does not know the outcome.
Test(ConfigStateConflict, aRepeatedSubmissionIdHasNoSecondEffect) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text(10)));
  State.apply(1, 0, submit("s1", 1, "amina", text(20)));
  cr_assert_eq(State.version(), 1);
  cr_assert_eq(State.result("s1")->Version_, 1);
  cr_assert_eq(State.audit().size(), 1);
}

Test(ConfigStateReplay, aCopyOfAnAppliedPositionChangesNothing) {
  ConfigState State;
  State.apply(3, 1, submit("s1", 0, "amina", text(10)));
  cr_assert(!State.apply(3, 1, submit("s2", 1, "bilal", text(20))));
  cr_assert(!State.apply(3, 0, submit("s2", 1, "bilal", text(20))));
  cr_assert(!State.apply(2, 9, submit("s2", 1, "bilal", text(20))));
  cr_assert_eq(State.version(), 1);
  cr_assert_eq(*State.appliedOffset(), 3);
}

Test(ConfigStateReplay, aTextThatFailsTheCheckIsRejected) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text()));
  json Invalid = text();
  Invalid["queues"][0]["teams"][0] = "punjab-rurl";
  cr_assert(!State.apply(1, 0, submit("s2", 1, "bilal", Invalid)));
  const auto Result = State.result("s2");
  cr_assert(Result->Outcome_ == SubmitOutcome::Invalid);
  cr_assert(Result->Message_.find("/queues/0/teams/0") == 0, "%s", Result->Message_.c_str());
  cr_assert_eq(State.version(), 1);
  // The canonical form keeps only one of two duplicate keys, so the submitted text is validated.
  const std::string DuplicateKey = R"({"fleet":"x",)" + text().dump().substr(1);
  State.apply(2, 0, makeEntry(Submit{"s3", 2, 1, "bilal", 0, "", DuplicateKey}));
  cr_assert(State.result("s3")->Outcome_ == SubmitOutcome::Invalid);
  // A rejected submission does not block the next one on the same base.
  cr_assert(State.apply(3, 0, submit("s4", 1, "bilal", text(11))));
}

Test(ConfigStateReplay, aDeltaGivesTheSameStateAsTheWholeText) {
  ConfigState ByText;
  ConfigState ByDelta;
  for (ConfigState *State : {&ByText, &ByDelta})
    State->apply(0, 0, submit("s1", 0, "amina", text(10)));
  ByText.apply(1, 0, submit("s2", 1, "bilal", text(20)));
  const auto Delta = config::delta(ByDelta.text(), text(20).dump());
  ByDelta.apply(1, 0, makeEntry(Submit{"s2", 2, 1, "bilal", 1000, *Delta, ""}));
  cr_assert(ByText.encode() == ByDelta.encode());
  ByDelta.apply(2, 0,
                makeEntry(Submit{"s3", 3, 2, "bilal", 0, R"([{"op":"remove","path":"/x"}])"}));
  cr_assert(ByDelta.result("s3")->Outcome_ == SubmitOutcome::Invalid);
}

Test(ConfigStateReplay, undecodableAndForeignRecordsAreSkipped) {
  ConfigState State;
  cr_assert(!State.apply(0, 0, {journal::RecordType::Submit, "\xc1garbage"}));
  cr_assert(!State.apply(1, 0, {journal::RecordType::Join, ""}));
  cr_assert(!State.apply(2, 0, {static_cast<journal::RecordType>(250), ""}));
  cr_assert_eq(State.version(), 0);
  cr_assert_eq(*State.appliedOffset(), 2);
}

namespace {

/// Random valid and invalid records of all types, from a fixed seed.
std::vector<Entry> randomRecords(unsigned Seed) {
  std::mt19937 Random(Seed);
  const auto RandomUpTo = [&](int Max) {
    return std::uniform_int_distribution<int>(0, Max)(Random);
  };
  std::vector<Entry> Out{submit("first", 0, "amina", text())};
  std::uint64_t NextVersion = 1;
  for (int I = 0; I < 60; ++I) {
    const std::string Id = "k" + std::to_string(RandomUpTo(9));
    switch (RandomUpTo(4)) {
    case 0: // current or outdated base
      Out.push_back(submit("s" + std::to_string(I),
                           NextVersion - static_cast<unsigned>(RandomUpTo(1)),
                           "author" + std::to_string(RandomUpTo(3)), text(RandomUpTo(20))));
      NextVersion += static_cast<unsigned>(RandomUpTo(1));
      break;
    case 1:
      Out.push_back(makeEntry(KeyGrant{RandomUpTo(3) == 0 ? "nobody" : "punjab-rural", Id,
                                       config::hashKey(Id), "amina", I}));
      break;
    case 2:
      Out.push_back(makeEntry(KeyRevoke{Id, "bilal", I}));
      break;
    default:
      Out.push_back(makeEntry(AllotmentTransfer{
          "punjab-rural", "lahore-a", "karachi-a",
          Limit{RandomUpTo(3), {std::int64_t{1000} * RandomUpTo(3), 0, 0}}, NextVersion}));
    }
  }
  return Out;
}

} // namespace

// Guards against a snapshot whose state differs from that of a full replay.
Test(ConfigStateSnapshot, snapshotPlusRestEqualsReplayAtEveryPosition) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    const auto Records = randomRecords(Seed);
    ConfigState Replayed;
    std::vector<std::string> Snapshots;
    for (std::size_t I = 0; I < Records.size(); ++I) {
      Replayed.apply(I / 3, I % 3, Records[I]);
      Snapshots.push_back(Replayed.encode());
    }
    for (std::size_t I = 0; I < Records.size(); ++I) {
      ConfigState Restored;
      cr_assert(Restored.load(Snapshots[I]));
      cr_assert(Restored.encode() == Snapshots[I]);
      // Replay from an earlier position is allowed, because applied positions are skipped.
      for (std::size_t J = I / 2; J < Records.size(); ++J)
        Restored.apply(J / 3, J % 3, Records[J]);
      cr_assert(Restored.encode() == Snapshots.back(), "seed %u position %zu", Seed, I);
      cr_assert_eq(Restored.current()->Version_, Replayed.current()->Version_);
      cr_assert(Restored.result("first")->Outcome_ == SubmitOutcome::Accepted);
    }
  }
}

Test(ConfigStateSnapshot, anOlderSnapshotNeverReverts) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text(10)));
  const std::string Old = State.encode();
  State.apply(1, 0, submit("s2", 1, "bilal", text(20)));
  cr_assert(!State.load(Old));
  cr_assert(!State.load(State.encode()));
  cr_assert(!State.load("garbage"));
  cr_assert(!State.load(""));
  cr_assert_eq(State.version(), 2);
}

Test(ConfigStateKeys, aGrantedKeyIsValidUntilItIsRevoked) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text()));
  const config::NewKey Key = config::newKey();
  cr_assert(State.findKey(Key.Text_).Status_ == KeyStatus::Unknown);
  cr_assert(
      State.apply(1, 0, makeEntry(KeyGrant{"punjab-rural", Key.KeyId_, Key.Hash_, "amina", 10})));
  const auto Found = State.findKey(Key.Text_);
  cr_assert(Found.Status_ == KeyStatus::Valid);
  cr_assert(Found.Team_ == "punjab-rural");
  cr_assert(Found.KeyId_ == Key.KeyId_);
  // The id alone, or the id with another secret, is not accepted.
  cr_assert(State.findKey(Key.KeyId_).Status_ == KeyStatus::Unknown);
  cr_assert(State.findKey(Key.KeyId_ + "." + std::string(64, '0')).Status_ == KeyStatus::Unknown);
  cr_assert(State.findKey("").Status_ == KeyStatus::Unknown);

  cr_assert(State.apply(2, 0, makeEntry(KeyRevoke{Key.KeyId_, "bilal", 20})));
  cr_assert(State.findKey(Key.Text_).Status_ == KeyStatus::Revoked);
  cr_assert(State.key(Key.KeyId_)->RevokedBy_ == "bilal");
  // A second grant with the same id does not restore a revoked key.
  cr_assert(
      !State.apply(3, 0, makeEntry(KeyGrant{"punjab-rural", Key.KeyId_, Key.Hash_, "amina", 30})));
  cr_assert(State.findKey(Key.Text_).Status_ == KeyStatus::Revoked);
  ConfigState Copy;
  cr_assert(Copy.load(State.encode()));
  cr_assert(Copy.findKey(Key.Text_).Status_ == KeyStatus::Revoked);
}

Test(ConfigStateKeys, aKeyOfARemovedTeamIsUnknown) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text()));
  const config::NewKey Key = config::newKey();
  State.apply(1, 0, makeEntry(KeyGrant{"punjab-rural", Key.KeyId_, Key.Hash_, "amina", 10}));
  json WithoutTeams = text();
  WithoutTeams["teams"] = json::array();
  WithoutTeams["queues"] = json::array();
  cr_assert(State.apply(2, 0, submit("s2", 1, "amina", WithoutTeams)));
  cr_assert(State.findKey(Key.Text_).Status_ == KeyStatus::Unknown);
}

Test(ConfigStateAudit, everyChangeAndRejectionIsRecorded) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text()));
  State.apply(1, 0, submit("s2", 0, "bilal", text()));
  State.apply(2, 0, makeEntry(KeyGrant{"nobody", "k1", "h", "chandni", 10}));
  State.apply(3, 0, makeEntry(KeyRevoke{"k9", "dawood", 20}));
  const auto Entries = State.audit();
  cr_assert_eq(Entries.size(), 4);
  cr_assert(Entries[0].Accepted_ && Entries[0].Action_ == "submit" &&
            Entries[0].Object_ == "version 1");
  cr_assert(!Entries[1].Accepted_ && Entries[1].Author_ == "bilal");
  cr_assert(Entries[1].Detail_ == "conflict with version 1 by amina", "%s",
            Entries[1].Detail_.c_str());
  cr_assert(!Entries[2].Accepted_ && Entries[2].Detail_ == "unknown team nobody");
  cr_assert(!Entries[3].Accepted_ && Entries[3].Object_ == "k9" && Entries[3].WallMs_ == 20);
  cr_assert_eq(State.history().size(), 1);
}

// Without a bound, the snapshot would grow with the age of the fleet.
Test(ConfigStateAudit, oldEntriesAreDropped) {
  ConfigState State;
  State.apply(0, 0, submit("first", 0, "amina", text()));
  for (std::size_t I = 1; I <= ConfigState::MaxRetainedEntries + 10; ++I)
    State.apply(I, 0, submit("s" + std::to_string(I), 0, "bilal", text()));
  cr_assert_eq(State.audit().size(), ConfigState::MaxRetainedEntries);
  cr_assert(!State.result("first"));
  cr_assert(!State.result("s10"));
  cr_assert(State.result("s11").has_value());
  cr_assert_eq(State.version(), 1);
}

// Guards the snapshot size documented at MaxRetainedEntries, for versions of one change each.
Test(ConfigStateSnapshot, fullListsStayUnderTwoMegabytes) {
  ConfigState State;
  for (std::uint64_t I = 0; I < ConfigState::MaxRetainedEntries; ++I)
    State.apply(I, 0,
                submit("0123456789abcdef0123456789abcd" + std::to_string(I), I, "operator-name",
                       text(static_cast<std::int64_t>(I) + 1)));
  cr_assert_eq(State.history().size(), ConfigState::MaxRetainedEntries);
  const std::size_t Size = State.encode().size();
  cr_assert(Size < 2'000'000, "%zu", Size);
}

Test(ConfigStateGive, movesKeepTheSumAndAreVoidUnderANewLimit) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text(10)));
  cr_assert_eq(State.limitVersion("punjab-rural"), 1);
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 5);
  const Limit Amount{3, {1000, 0, 0}};
  State.apply(1, 0,
              makeEntry(AllotmentTransfer{"punjab-rural", "lahore-a", "karachi-a", Amount, 1}));
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 2);
  cr_assert_eq(State.allotment("punjab-rural", "karachi-a").Slots_, 8);
  // Rejected: more than the allotment, a negative amount, a wrong limit version, unknown names.
  State.apply(2, 0,
              makeEntry(AllotmentTransfer{"punjab-rural", "lahore-a", "karachi-a", Amount, 1}));
  State.apply(
      3, 0,
      makeEntry(AllotmentTransfer{"punjab-rural", "lahore-a", "karachi-a", Limit{-1, {}}, 1}));
  State.apply(4, 0,
              makeEntry(AllotmentTransfer{"punjab-rural", "karachi-a", "lahore-a", Amount, 2}));
  State.apply(5, 0,
              makeEntry(AllotmentTransfer{"punjab-rural", "karachi-a", "multan-a", Amount, 1}));
  State.apply(6, 0, makeEntry(AllotmentTransfer{"nobody", "karachi-a", "lahore-a", Amount, 1}));
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 2);
  cr_assert_eq(State.allotment("punjab-rural", "karachi-a").Slots_, 8);
  // A version with the same limit preserves the transfers.
  json ChangedShare = text(10);
  ChangedShare["teams"][0]["share"] = 9;
  State.apply(7, 0, submit("s2", 1, "amina", ChangedShare));
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 2);
  cr_assert_eq(State.limitVersion("punjab-rural"), 1);
  // A new limit discards them, and transfers made under the old limit are rejected.
  State.apply(8, 0, submit("s3", 2, "amina", text(12)));
  cr_assert_eq(State.limitVersion("punjab-rural"), 3);
  State.apply(9, 0,
              makeEntry(AllotmentTransfer{"punjab-rural", "lahore-a", "karachi-a", Amount, 1}));
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 6);
  cr_assert_eq(State.allotment("punjab-rural", "karachi-a").Slots_, 6);
}

// Guards against a reader that sees the content of one version with the number of another.
Test(ConfigStateThreads, readersSeeWholeVersionsWhileRecordsAreApplied) {
  ConfigState State;
  State.apply(0, 0, submit("s0", 0, "amina", text(1)));
  std::atomic<bool> Done = false;
  std::atomic<bool> Inconsistent = false;
  constexpr int ReaderCount = 2;
  std::vector<std::thread> Readers;
  Readers.reserve(ReaderCount);
  for (int I = 0; I < ReaderCount; ++I)
    Readers.emplace_back([&] {
      std::uint64_t LastVersion = 0;
      while (!Done) {
        const auto Current = State.current();
        const auto Slots = static_cast<std::uint64_t>(Current->team("punjab-rural")->Limit_.Slots_);
        if (Slots != Current->Version_ || Current->Version_ < LastVersion)
          Inconsistent = true;
        LastVersion = Current->Version_;
        (void)State.findKey("k000000000000.0");
        (void)State.audit();
      }
    });
  for (std::uint64_t I = 1; I < 200; ++I)
    State.apply(
        I, 0, submit("s" + std::to_string(I), I, "amina", text(static_cast<std::int64_t>(I) + 1)));
  Done = true;
  for (std::thread &Reader : Readers)
    Reader.join();
  cr_assert(!Inconsistent);
  cr_assert_eq(State.version(), 200);
}
