#include "masticdrift/config/ConfigState.h"

#include "masticdrift/config/Key.h"

#include <atomic>
#include <random>
#include <thread>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace masticdrift;
using config::ConfigState;
using config::entryOf;
using config::Give;
using config::KeyGrant;
using config::KeyRevoke;
using config::KeyStatus;
using config::Limit;
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
  return entryOf(Submit{std::move(Id), Base + 1, Base, std::move(Author), 1000, "", Text.dump()});
}

} // namespace

// Guards against a version that wins on one daemon and loses on another (P10).
Test(ConfigStateConflict, theFirstOfTwoSubmissionsOnOneBaseWinsAndNothingReverts) {
  ConfigState State;
  cr_assert_eq(State.current()->Version_, 0);
  cr_assert(State.apply(5, 0, submit("s1", 0, "amina", text(10))));
  cr_assert(State.apply(6, 0, submit("s2", 1, "bilal", text(20))));
  cr_assert(!State.apply(7, 0, submit("s3", 1, "amina", text(30))));
  cr_assert_eq(State.version(), 2);
  cr_assert_eq(State.current()->Version_, 2);
  cr_assert_eq(State.current()->team("punjab-rural")->Limit_.Slots_, 20);
  const auto Lost = State.result("s3");
  cr_assert(Lost->Outcome_ == SubmitOutcome::Conflict);
  cr_assert(Lost->Winner_ == "bilal");
  cr_assert_eq(Lost->Version_, 2);
  cr_assert(State.result("s2")->Outcome_ == SubmitOutcome::Accepted);
  cr_assert(!State.result("s4"));
  // A submission on a base that was overtaken twice names the version that followed its base.
  State.apply(8, 0, submit("s5", 2, "chandni", text(40)));
  State.apply(9, 0, submit("s6", 1, "dawood", text(50)));
  cr_assert_eq(State.result("s6")->Version_, 2);
  cr_assert(State.result("s6")->Winner_ == "bilal");
  cr_assert_eq(State.version(), 3);
}

Test(ConfigStateConflict, aBaseThatDoesNotExistIsAConflict) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text()));
  State.apply(1, 0, submit("s2", 7, "bilal", text()));
  cr_assert(State.result("s2")->Outcome_ == SubmitOutcome::Conflict);
  cr_assert(State.result("s2")->Winner_ == "amina");
  cr_assert_eq(State.version(), 1);
}

// The writer may repeat a submission whose outcome it does not know.
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
  json Wrong = text();
  Wrong["queues"][0]["teams"][0] = "punjab-rurl";
  cr_assert(!State.apply(1, 0, submit("s2", 1, "bilal", Wrong)));
  const auto Result = State.result("s2");
  cr_assert(Result->Outcome_ == SubmitOutcome::Invalid);
  cr_assert(Result->Message_.find("/queues/0/teams/0") == 0, "%s", Result->Message_.c_str());
  cr_assert_eq(State.version(), 1);
  // The canonical form keeps only one of two equal keys, so the text itself must be checked.
  const std::string Twice = R"({"fleet":"x",)" + text().dump().substr(1);
  State.apply(2, 0, entryOf(Submit{"s3", 2, 1, "bilal", 0, "", Twice}));
  cr_assert(State.result("s3")->Outcome_ == SubmitOutcome::Invalid);
  // A rejected submission does not block the next one on the same base.
  cr_assert(State.apply(3, 0, submit("s4", 1, "bilal", text(11))));
}

Test(ConfigStateReplay, aDeltaGivesTheSameStateAsTheWholeText) {
  ConfigState ByText;
  ConfigState ByDelta;
  for (ConfigState *Each : {&ByText, &ByDelta})
    Each->apply(0, 0, submit("s1", 0, "amina", text(10)));
  ByText.apply(1, 0, submit("s2", 1, "bilal", text(20)));
  const auto Delta = config::delta(ByDelta.text(), text(20).dump());
  ByDelta.apply(1, 0, entryOf(Submit{"s2", 2, 1, "bilal", 1000, *Delta, ""}));
  cr_assert(ByText.encode() == ByDelta.encode());
  ByDelta.apply(2, 0, entryOf(Submit{"s3", 3, 2, "bilal", 0, R"([{"op":"remove","path":"/x"}])"}));
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

/// A mix of all records, valid and not, from a fixed seed.
std::vector<Entry> randomRecords(unsigned Seed) {
  std::mt19937 Random(Seed);
  const auto Draw = [&](int Max) { return std::uniform_int_distribution<int>(0, Max)(Random); };
  std::vector<Entry> Out{submit("first", 0, "amina", text())};
  std::uint64_t Guess = 1;
  for (int I = 0; I < 60; ++I) {
    const std::string Id = "k" + std::to_string(Draw(9));
    switch (Draw(4)) {
    case 0: // right or outdated base
      Out.push_back(submit("s" + std::to_string(I), Guess - static_cast<unsigned>(Draw(1)),
                           "author" + std::to_string(Draw(3)), text(Draw(20))));
      Guess += static_cast<unsigned>(Draw(1));
      break;
    case 1:
      Out.push_back(entryOf(
          KeyGrant{Draw(3) == 0 ? "nobody" : "punjab-rural", Id, config::hashKey(Id), "amina", I}));
      break;
    case 2:
      Out.push_back(entryOf(KeyRevoke{Id, "bilal", I}));
      break;
    default:
      Out.push_back(entryOf(Give{"punjab-rural", "lahore-a", "karachi-a",
                                 Limit{Draw(3), {std::int64_t{1000} * Draw(3), 0, 0}}, Guess}));
    }
  }
  return Out;
}

} // namespace

// Guards against a snapshot that loses or adds anything compared with replay.
Test(ConfigStateSnapshot, snapshotPlusRestEqualsReplayAtEveryPosition) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    const auto Records = randomRecords(Seed);
    ConfigState Whole;
    std::vector<std::string> Snapshots;
    for (std::size_t I = 0; I < Records.size(); ++I) {
      Whole.apply(I / 3, I % 3, Records[I]);
      Snapshots.push_back(Whole.encode());
    }
    for (std::size_t I = 0; I < Records.size(); ++I) {
      ConfigState Part;
      cr_assert(Part.load(Snapshots[I]));
      cr_assert(Part.encode() == Snapshots[I]);
      // Starting too early is harmless: applied positions are skipped.
      for (std::size_t J = I / 2; J < Records.size(); ++J)
        Part.apply(J / 3, J % 3, Records[J]);
      cr_assert(Part.encode() == Snapshots.back(), "seed %u position %zu", Seed, I);
      cr_assert_eq(Part.current()->Version_, Whole.current()->Version_);
      cr_assert(Part.result("first")->Outcome_ == SubmitOutcome::Accepted);
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
      State.apply(1, 0, entryOf(KeyGrant{"punjab-rural", Key.KeyId_, Key.Hash_, "amina", 10})));
  const auto Found = State.findKey(Key.Text_);
  cr_assert(Found.Status_ == KeyStatus::Valid);
  cr_assert(Found.Team_ == "punjab-rural");
  cr_assert(Found.KeyId_ == Key.KeyId_);
  // The id alone, or another secret under the same id, is not the key.
  cr_assert(State.findKey(Key.KeyId_).Status_ == KeyStatus::Unknown);
  cr_assert(State.findKey(Key.KeyId_ + "." + std::string(64, '0')).Status_ == KeyStatus::Unknown);
  cr_assert(State.findKey("").Status_ == KeyStatus::Unknown);

  cr_assert(State.apply(2, 0, entryOf(KeyRevoke{Key.KeyId_, "bilal", 20})));
  cr_assert(State.findKey(Key.Text_).Status_ == KeyStatus::Revoked);
  cr_assert(State.key(Key.KeyId_)->RevokedBy_ == "bilal");
  // A second grant under the same id does not bring a revoked key back.
  cr_assert(
      !State.apply(3, 0, entryOf(KeyGrant{"punjab-rural", Key.KeyId_, Key.Hash_, "amina", 30})));
  cr_assert(State.findKey(Key.Text_).Status_ == KeyStatus::Revoked);
  ConfigState Copy;
  cr_assert(Copy.load(State.encode()));
  cr_assert(Copy.findKey(Key.Text_).Status_ == KeyStatus::Revoked);
}

Test(ConfigStateKeys, aKeyOfARemovedTeamIsUnknown) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text()));
  const config::NewKey Key = config::newKey();
  State.apply(1, 0, entryOf(KeyGrant{"punjab-rural", Key.KeyId_, Key.Hash_, "amina", 10}));
  json Without = text();
  Without["teams"] = json::array();
  Without["queues"] = json::array();
  cr_assert(State.apply(2, 0, submit("s2", 1, "amina", Without)));
  cr_assert(State.findKey(Key.Text_).Status_ == KeyStatus::Unknown);
}

Test(ConfigStateAudit, everyChangeAndRejectionIsRecorded) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text()));
  State.apply(1, 0, submit("s2", 0, "bilal", text()));
  State.apply(2, 0, entryOf(KeyGrant{"nobody", "k1", "h", "chandni", 10}));
  State.apply(3, 0, entryOf(KeyRevoke{"k9", "dawood", 20}));
  const auto All = State.audit();
  cr_assert_eq(All.size(), 4);
  cr_assert(All[0].Accepted_ && All[0].Action_ == "submit" && All[0].Object_ == "version 1");
  cr_assert(!All[1].Accepted_ && All[1].Author_ == "bilal");
  cr_assert(All[1].Detail_ == "conflict with version 1 by amina", "%s", All[1].Detail_.c_str());
  cr_assert(!All[2].Accepted_ && All[2].Detail_ == "unknown team nobody");
  cr_assert(!All[3].Accepted_ && All[3].Object_ == "k9" && All[3].WallMs_ == 20);
  cr_assert_eq(State.history().size(), 1);
}

// Unbounded lists would grow the snapshot with the age of the fleet.
Test(ConfigStateAudit, oldEntriesAreDropped) {
  ConfigState State;
  State.apply(0, 0, submit("first", 0, "amina", text()));
  for (std::size_t I = 1; I <= ConfigState::KeptEntries + 10; ++I)
    State.apply(I, 0, submit("s" + std::to_string(I), 0, "bilal", text()));
  cr_assert_eq(State.audit().size(), ConfigState::KeptEntries);
  cr_assert(!State.result("first"));
  cr_assert(!State.result("s10"));
  cr_assert(State.result("s11").has_value());
  cr_assert_eq(State.version(), 1);
}

// Guards the size that the comment of KeptEntries states, for versions of one change each.
Test(ConfigStateSnapshot, fullListsStayUnderTwoMegabytes) {
  ConfigState State;
  for (std::uint64_t I = 0; I < ConfigState::KeptEntries; ++I)
    State.apply(I, 0,
                submit("0123456789abcdef0123456789abcd" + std::to_string(I), I, "operator-name",
                       text(static_cast<std::int64_t>(I) + 1)));
  cr_assert_eq(State.history().size(), ConfigState::KeptEntries);
  const std::size_t Size = State.encode().size();
  cr_assert(Size < 2'000'000, "%zu", Size);
}

Test(ConfigStateGive, movesKeepTheSumAndAreVoidUnderANewLimit) {
  ConfigState State;
  State.apply(0, 0, submit("s1", 0, "amina", text(10)));
  cr_assert_eq(State.limitVersion("punjab-rural"), 1);
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 5);
  const Limit Three{3, {1000, 0, 0}};
  State.apply(1, 0, entryOf(Give{"punjab-rural", "lahore-a", "karachi-a", Three, 1}));
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 2);
  cr_assert_eq(State.allotment("punjab-rural", "karachi-a").Slots_, 8);
  // More than is left, a negative amount, the wrong limit version and unknown names move nothing.
  State.apply(2, 0, entryOf(Give{"punjab-rural", "lahore-a", "karachi-a", Three, 1}));
  State.apply(3, 0, entryOf(Give{"punjab-rural", "lahore-a", "karachi-a", Limit{-1, {}}, 1}));
  State.apply(4, 0, entryOf(Give{"punjab-rural", "karachi-a", "lahore-a", Three, 2}));
  State.apply(5, 0, entryOf(Give{"punjab-rural", "karachi-a", "multan-a", Three, 1}));
  State.apply(6, 0, entryOf(Give{"nobody", "karachi-a", "lahore-a", Three, 1}));
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 2);
  cr_assert_eq(State.allotment("punjab-rural", "karachi-a").Slots_, 8);
  // A version that leaves the limit alone keeps the moves.
  json Other = text(10);
  Other["teams"][0]["share"] = 9;
  State.apply(7, 0, submit("s2", 1, "amina", Other));
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 2);
  cr_assert_eq(State.limitVersion("punjab-rural"), 1);
  // A new limit voids them, and later moves made under the old limit do nothing.
  State.apply(8, 0, submit("s3", 2, "amina", text(12)));
  cr_assert_eq(State.limitVersion("punjab-rural"), 3);
  State.apply(9, 0, entryOf(Give{"punjab-rural", "lahore-a", "karachi-a", Three, 1}));
  cr_assert_eq(State.allotment("punjab-rural", "lahore-a").Slots_, 6);
  cr_assert_eq(State.allotment("punjab-rural", "karachi-a").Slots_, 6);
}

// Guards against a reader that sees a configuration of one version with the number of another.
Test(ConfigStateThreads, readersSeeWholeVersionsWhileRecordsAreApplied) {
  ConfigState State;
  State.apply(0, 0, submit("s0", 0, "amina", text(1)));
  std::atomic<bool> Done = false;
  std::atomic<bool> Mixed = false;
  constexpr int Count = 2;
  std::vector<std::thread> Readers;
  Readers.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Readers.emplace_back([&] {
      std::uint64_t Last = 0;
      while (!Done) {
        const auto Now = State.current();
        const auto Slots = static_cast<std::uint64_t>(Now->team("punjab-rural")->Limit_.Slots_);
        if (Slots != Now->Version_ || Now->Version_ < Last)
          Mixed = true;
        Last = Now->Version_;
        (void)State.findKey("k000000000000.0");
        (void)State.audit();
      }
    });
  for (std::uint64_t I = 1; I < 200; ++I)
    State.apply(
        I, 0, submit("s" + std::to_string(I), I, "amina", text(static_cast<std::int64_t>(I) + 1)));
  Done = true;
  for (std::thread &Each : Readers)
    Each.join();
  cr_assert(!Mixed);
  cr_assert_eq(State.version(), 200);
}
