// Keys and configuration under faults: P3 and P10, and sections 8 and 9 of the design.
#include "DaemonTraffic.h"

#include <algorithm>
#include <optional>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// The freshness bound of 5 s and 1 s for the measurement.
constexpr core::Millis RevokedWithin{6000};
/// Everything is served this long after the end of all faults.
constexpr core::Millis RecoveredWithin{10'000};

std::vector<std::string> without(std::vector<std::string> Names,
                                 const std::vector<std::string> &Removed) {
  std::erase_if(Names, [&](const std::string &One) {
    return std::ranges::find(Removed, One) != Removed.end();
  });
  return Names;
}

/// The configuration in force at a daemon, or 0 while it has none.
std::uint64_t versionAt(Fleet &Of, const std::string &Name) {
  const Json Status = Api(Of, Name).status();
  return Status.is_object() ? Status.value("config_version", std::uint64_t{0}) : 0;
}

bool allAt(Fleet &Of, const std::vector<std::string> &Daemons, std::uint64_t Version) {
  return std::ranges::all_of(
      Daemons, [&](const std::string &Name) { return versionAt(Of, Name) == Version; });
}

/// Reads config_version at all daemons until finish() and records the first decrease.
class VersionWatch {
public:
  /// The daemon whose ports change during the watch; the scenario reads it itself.
  static constexpr const char *Excluded = "karachi-a-2";

  explicit VersionWatch(Fleet &Of) : Watcher_([this, &Of] { run(Of); }) {}
  VersionWatch(const VersionWatch &) = delete;
  VersionWatch &operator=(const VersionWatch &) = delete;
  ~VersionWatch() { finish(); }

  /// \returns the decrease, empty if there was none.
  std::string finish() {
    Stop_ = true;
    if (Watcher_.joinable())
      Watcher_.join();
    return Decrease_;
  }
  std::size_t readings() const { return Readings_; }

private:
  void run(Fleet &Of) {
    const std::vector<std::string> Names = Of.names();
    std::map<std::string, std::uint64_t> Highest;
    while (!Stop_) {
      for (const std::string &Name : Names) {
        if (Name == Excluded)
          continue;
        const std::uint64_t Version = versionAt(Of, Name);
        if (Version == 0) // no answer
          continue;
        ++Readings_;
        if (Version < Highest[Name])
          Decrease_ = Name + " went from version " + std::to_string(Highest[Name]) + " to " +
                      std::to_string(Version);
        Highest[Name] = std::max(Highest[Name], Version);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  std::atomic<bool> Stop_{false};
  std::atomic<std::size_t> Readings_{0};
  std::string Decrease_;
  std::thread Watcher_; ///< last, because it uses the members above
};

Json withShare(int Share) {
  Json Text = defaultConfiguration();
  Text["teams"][0]["share"] = Share;
  return Text;
}

/// Repeats a submission with the same request id until its outcome is known.
Reply submitUntilKnown(Api At, const Json &Text, std::uint64_t Base, const std::string &Author,
                       const std::string &Id) {
  Reply Last;
  waitFor(core::Millis(20'000), [&] {
    Last = At.submitConfig(Text, Base, Author, Id);
    return Last.Complete_ && Last.errorId() != "MD-501" && Last.errorId() != "MD-502";
  });
  return Last;
}

} // namespace

// Guards against a revoked key that goes on working at a daemon that did not hear of the
// revocation.
Test(RevokedKey, stopsWorkingEverywhereWithinTheFreshnessBound) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::vector<std::string> Names = All.names();
  std::string Key;
  std::string KeyId;
  {
    const Step Label("granted at one daemon, works at all");
    const Reply Granted =
        Api(All, Names.front())
            .operatorCall("POST", "/v1/keys", Json{{"team", "mfi"}, {"author", "test"}}.dump());
    cr_assert_eq(Granted.Status_, 201, "%s", Granted.Body_.c_str());
    Key = Granted.json().at("key");
    KeyId = Granted.json().at("key_id");
    const std::string Refusal = awaitServing(All, Names, "reorder", Key, core::Millis(5000));
    cr_assert(Refusal.empty(), "%s", Refusal.c_str());
  }

  // karachi-a keeps its links inside, so its owner keeps the lease and could run the work.
  const std::string Alone = nonOwnerIn(All, "lahore-a");
  const std::vector<std::string> CutDomain = All.namesIn("karachi-a");
  Traffic Keyed(All, Names, {.Queue_ = "reorder", .Key_ = Key, .DeadlineMs_ = 500});
  Traffic Open(All, without(Names, {Alone}), {.Queue_ = "status"});
  cr_assert(waitFor(core::Millis(2000), [&] { return Keyed.samples().size() > 50; }));
  core::TimePoint Revoked;
  {
    const Step Label("cut one daemon alone and one domain, then revoke");
    isolateDaemon(All, Alone);
    All.cutDomain("karachi-a");
    const Reply Answer =
        Api(All, "faisalabad-b-1")
            .operatorCall("DELETE", "/v1/keys/" + KeyId, {}, {{"Masticdrift-Author", "test"}});
    Revoked = core::Clock::now();
    cr_assert_eq(Answer.Status_, 200, "%d %s", Answer.Status_, Answer.Body_.c_str());
  }
  {
    const Step Label("traffic until 3 s after the bound");
    cr_assert(waitFor(RevokedWithin + core::Millis(4000), [&] {
      return core::Clock::now() > Revoked + RevokedWithin + core::Millis(3000);
    }));
  }
  const std::vector<Sample> KeyedSamples = Keyed.finish();
  const std::vector<Sample> OpenSamples = Open.finish();

  std::map<std::string, std::int64_t> LastAccepted;
  std::map<std::string, std::set<std::string>> Refusals;
  for (const Sample &One : KeyedSamples) {
    const std::int64_t After = core::toMillis(One.Sent_ - Revoked);
    if (One.completed())
      LastAccepted[One.Daemon_] = std::max(LastAccepted[One.Daemon_], After);
    if (One.Sent_ <= Revoked + RevokedWithin)
      continue;
    Refusals[One.Daemon_].insert(One.Answer_.errorId());
    cr_expect(!One.completed(), "accepted %lld ms after the revocation: %s",
              static_cast<long long>(After), One.text().c_str());
    cr_expect(One.Answer_.Outcome_ == "not_run", "%s", One.text().c_str());
  }
  for (const std::string &Name : Names) {
    std::fprintf(stderr, "  %s: last accepted request sent %lld ms after the revocation, then",
                 Name.c_str(), static_cast<long long>(LastAccepted[Name]));
    for (const std::string &Id : Refusals[Name]) {
      std::fprintf(stderr, " %s", Id.c_str());
      cr_expect(Id == "MD-203" || Id == "MD-205", "%s: %s", Name.c_str(), Id.c_str());
    }
    std::fprintf(stderr, "\n");
    cr_expect(!Refusals[Name].empty(), "%s was not asked after the bound", Name.c_str());
  }
  cr_expect(Refusals[Alone] == std::set<std::string>{"MD-205"});

  std::size_t OpenRefused = 0;
  for (const Sample &One : OpenSamples)
    if (!One.completed()) {
      ++OpenRefused;
      std::fprintf(stderr, "  open: %lld ms after the revocation: %s\n",
                   static_cast<long long>(core::toMillis(One.Sent_ - Revoked)), One.text().c_str());
    }
  cr_expect_eq(OpenRefused, 0U, "%zu of %zu open requests were not served", OpenRefused,
               OpenSamples.size());
  std::vector<Sample> Both = KeyedSamples;
  Both.insert(Both.end(), OpenSamples.begin(), OpenSamples.end());
  const std::string Wrong = findContradiction(All, Both);
  cr_expect(Wrong.empty(), "%s", Wrong.c_str());
}

// Guards against a lost or reverted configuration when operators submit at the same time and the
// store's answers are lost.
Test(ConcurrentOperators, oneVersionWinsAndIsNeverReverted) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::vector<std::string> Names = All.names();
  const std::string Restarted = VersionWatch::Excluded;
  VersionWatch Watch(All);
  std::uint64_t Version = versionAt(All, Names.front());
  std::uint64_t LastSeen = Version;
  for (const char *Mode : {"close", "hang", "close", "hang"}) {
    const Step Label(std::string("two submissions, lost answers: ") + Mode);
    const std::int64_t LostBefore = All.evidence(Standin::Log).at("answers_lost");
    All.control(Standin::Log, {{"lose_answers", 6}, {"lose_mode", Mode}});
    Reply First;
    Reply Second;
    const Json FirstText = withShare(10 + static_cast<int>(Version));
    const Json SecondText = withShare(50 + static_cast<int>(Version));
    const std::string Round = std::to_string(Version);
    {
      std::thread Other([&] {
        Second = submitUntilKnown(Api(All, "karachi-a-1"), SecondText, Version, "bilal",
                                  "bilal-" + Round);
      });
      First =
          submitUntilKnown(Api(All, "lahore-a-1"), FirstText, Version, "ayesha", "ayesha-" + Round);
      Other.join();
    }
    const std::int64_t LostAfter = All.evidence(Standin::Log).at("answers_lost");
    cr_assert(LostAfter > LostBefore, "no answer was lost");
    cr_assert(First.Status_ == 200 || Second.Status_ == 200, "%s %s", First.Body_.c_str(),
              Second.Body_.c_str());
    const bool FirstWon = First.Status_ == 200;
    const Reply &Loser = FirstWon ? Second : First;
    cr_assert_eq(Loser.errorId(), "MD-601", "%d %s", Loser.Status_, Loser.Body_.c_str());
    cr_assert(Loser.Body_.find(FirstWon ? "ayesha" : "bilal") != std::string::npos, "%s",
              Loser.Body_.c_str());
    cr_assert_eq(Loser.json().value("current_version", std::uint64_t{0}), Version + 1);
    ++Version;
    const core::TimePoint Answered = core::Clock::now();
    cr_assert(waitFor(core::Millis(5000), [&] { return allAt(All, Names, Version); }),
              "version %llu is not in force everywhere", static_cast<unsigned long long>(Version));
    std::fprintf(stderr, "  in force everywhere %lld ms after the answer\n",
                 static_cast<long long>(core::toMillis(core::Clock::now() - Answered)));
    const Json &Winner = FirstWon ? FirstText : SecondText;
    for (const std::string &Name : Names) {
      const Json Text = Json::parse(
          Api(All, Name).operatorCall("GET", "/v1/config").json().at("text").get<std::string>());
      cr_assert(Text == Winner, "%s has another text", Name.c_str());
    }
    const std::uint64_t Now = versionAt(All, Restarted);
    cr_assert(Now >= LastSeen);
    LastSeen = Now;
    All.control(Standin::Log, {{"lose_answers", 0}});
  }
  {
    const Step Label("restart during a store outage");
    All.control(Standin::Log, {{"outage", "refuse"}});
    All.restart(Restarted);
    Api At(All, Restarted);
    std::size_t BeforeCopy = 0;
    const bool Copied = waitFor(core::Millis(10'000), [&] {
      const Reply Answer = At.request("status", "ping");
      const std::uint64_t Seen = versionAt(All, Restarted);
      cr_assert(Seen == 0 || Seen == Version, "serves version %llu",
                static_cast<unsigned long long>(Seen));
      if (Seen == 0) {
        ++BeforeCopy;
        cr_assert(Answer.Outcome_ == "not_run", "%d %s", Answer.Status_, Answer.Body_.c_str());
      }
      return Seen == Version && Answer.Status_ == 200;
    });
    cr_assert(Copied, "no configuration from a peer");
    std::fprintf(stderr, "  %zu readings before the copy\n", BeforeCopy);
    cr_assert(allAt(All, Names, Version));
  }
  {
    const Step Label("store back: all fresh");
    All.clearFaults();
    cr_assert(waitFor(RecoveredWithin, [&] {
      return std::ranges::all_of(Names, [&](const std::string &Name) {
        const Json Status = Api(All, Name).status();
        return Status.value("config_fresh", false) &&
               Status.value("config_version", std::uint64_t{0}) == Version;
      });
    }));
  }
  const std::string Decrease = Watch.finish();
  cr_assert(Decrease.empty(), "%s", Decrease.c_str());
  cr_assert(Watch.readings() > 100U);
}

namespace {

/// Interactive requests with all daemons connected while the store is away.
void storeAway(const char *Mode) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::vector<std::string> Names = All.names();
  const std::string Key = Api(All, Names.front()).createKey("mfi");
  std::string Refusal = awaitServing(All, Names, "reorder", Key, core::Millis(5000));
  cr_assert(Refusal.empty(), "%s", Refusal.c_str());
  const std::uint64_t Version = versionAt(All, Names.front());
  std::map<std::string, std::string> Owners;
  for (const char *Domain : {"lahore-a", "faisalabad-b", "karachi-a"})
    Owners[Domain] = ownerIn(All, Domain);

  Reply Refused;
  const Json Changed = withShare(9);
  {
    const Step Label(std::string("15 s of outage, mode ") + Mode);
    Traffic Keyed(All, Names, {.Queue_ = "reorder", .Key_ = Key});
    const core::TimePoint Since = core::Clock::now();
    All.control(Standin::Log, {{"outage", Mode}});
    const auto Until = [&](core::Millis After) {
      cr_assert(
          waitFor(After + core::Millis(2000), [&] { return core::Clock::now() >= Since + After; }));
    };
    Until(core::Millis(7000));
    Refused = Api(All, "lahore-a-2").submitConfig(Changed, Version, "ayesha", "outage-1");
    cr_expect(Refused.errorId() == "MD-501" || Refused.errorId() == "MD-502", "%d %s",
              Refused.Status_, Refused.Body_.c_str());
    Until(core::Millis(15'000));
    const std::vector<Sample> Samples = Keyed.finish();
    std::size_t NotServed = 0;
    for (const Sample &One : Samples)
      if (!One.completed() && ++NotServed <= 5)
        std::fprintf(stderr, "  %lld ms into the outage: %s\n",
                     static_cast<long long>(core::toMillis(One.Sent_ - Since)), One.text().c_str());
    cr_expect_eq(NotServed, 0U, "%zu of %zu keyed requests were not served", NotServed,
                 Samples.size());
    std::fprintf(stderr, "  %zu keyed requests, %zu not served\n", Samples.size(), NotServed);
    for (const auto &[Domain, Owner] : Owners)
      cr_expect_eq(ownerIn(All, Domain), Owner, "the lease of %s moved", Domain.c_str());
    const std::string Wrong = findContradiction(All, Samples);
    cr_expect(Wrong.empty(), "%s", Wrong.c_str());
  }
  {
    const Step Label("one daemon cut off as well");
    const std::string Alone = nonOwnerIn(All, "lahore-a");
    const std::vector<std::string> Others = without(Names, {Alone});
    Traffic Open(All, Others, {.Queue_ = "status"});
    isolateDaemon(All, Alone);
    const core::TimePoint Since = core::Clock::now();
    Traffic Keyed(All, Names, {.Queue_ = "reorder", .Key_ = Key});
    cr_assert(waitFor(core::Millis(10'000),
                      [&] { return core::Clock::now() >= Since + core::Millis(8000); }));
    std::set<std::string> Stale;
    for (const Sample &One : Keyed.finish())
      if (One.Sent_ > Since + RevokedWithin) {
        cr_expect(One.Answer_.errorId() == "MD-205" && One.Answer_.Outcome_ == "not_run", "%s",
                  One.text().c_str());
        Stale.insert(One.Daemon_);
      }
    cr_expect_eq(Stale.size(), Names.size());
    for (const Sample &One : Open.finish())
      cr_expect(One.completed(), "%lld ms after the cut: %s",
                static_cast<long long>(core::toMillis(One.Sent_ - Since)), One.text().c_str());
    const std::string Wrong = findContradiction(All, Open.finish());
    cr_expect(Wrong.empty(), "%s", Wrong.c_str());
  }
  {
    const Step Label("healed: everything is back");
    const core::TimePoint Since = core::Clock::now();
    All.clearFaults();
    Refusal = awaitServing(All, Names, "reorder", Key, RecoveredWithin);
    cr_expect(Refusal.empty(), "%s", Refusal.c_str());
    if (Refused.errorId() == "MD-501")
      cr_expect(allAt(All, Names, Version), "a submission reported as not run is in force");
    const Reply Again =
        submitUntilKnown(Api(All, "lahore-a-2"), Changed, Version, "ayesha", "outage-1");
    cr_expect_eq(Again.Status_, 200, "%d %s", Again.Status_, Again.Body_.c_str());
    cr_expect(waitFor(RecoveredWithin, [&] { return allAt(All, Names, Version + 1); }));
    cr_expect(core::Clock::now() - Since <= RecoveredWithin, "took longer than 10 s");
  }
}

} // namespace

// Guards against a store outage that stops interactive work, or that lets a daemon accept keys
// without knowing that they are current.
Test(StoreOutage, servesWhileTheStoreHangs) { storeAway("hang"); }

Test(StoreOutage, servesWhileTheStoreRefuses) { storeAway("refuse"); }
