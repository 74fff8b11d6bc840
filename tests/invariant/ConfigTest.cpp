// Keys and configuration under faults: invariants P3 and P10, sections 8 and 9 of the design.
#include "DaemonTraffic.h"

#include <algorithm>
#include <optional>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

namespace {

/// The freshness bound of 5 s plus 1 s of tolerance for the measurement.
constexpr core::Millis RevokedWithin{6000};
/// All requests are served again within this time after the end of all faults.
constexpr core::Millis RecoveredWithin{10'000};

std::vector<std::string> without(std::vector<std::string> Names,
                                 const std::vector<std::string> &Removed) {
  std::erase_if(Names, [&](const std::string &Name) {
    return std::ranges::find(Removed, Name) != Removed.end();
  });
  return Names;
}

/// \returns the version in force at a daemon, or 0 when it has none or does not respond.
std::uint64_t versionAt(Fleet &Cluster, const std::string &Name) {
  const Json Status = Api(Cluster, Name).status();
  return Status.is_object() ? Status.value("config_version", std::uint64_t{0}) : 0;
}

bool allAt(Fleet &Cluster, const std::vector<std::string> &Daemons, std::uint64_t Version) {
  return std::ranges::all_of(
      Daemons, [&](const std::string &Name) { return versionAt(Cluster, Name) == Version; });
}

/// Polls config_version of all daemons until finish() and records a decrease.
class VersionMonitor {
public:
  /// This daemon is restarted on other ports during the test, which polls it separately.
  static constexpr const char *Excluded = "karachi-a-2";

  explicit VersionMonitor(Fleet &Cluster) : Thread_([this, &Cluster] { run(Cluster); }) {}
  VersionMonitor(const VersionMonitor &) = delete;
  VersionMonitor &operator=(const VersionMonitor &) = delete;
  ~VersionMonitor() { finish(); }

  /// \returns the decrease, empty if there was none.
  std::string finish() {
    Stop_ = true;
    if (Thread_.joinable())
      Thread_.join();
    return Decrease_;
  }
  std::size_t readings() const { return Readings_; }

private:
  void run(Fleet &Cluster) {
    const std::vector<std::string> Names = Cluster.names();
    std::map<std::string, std::uint64_t> Highest;
    while (!Stop_) {
      for (const std::string &Name : Names) {
        if (Name == Excluded)
          continue;
        const std::uint64_t Version = versionAt(Cluster, Name);
        if (Version == 0) // no response
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
  std::thread Thread_; ///< declared last, because it uses the members above
};

Json configurationWithShare(int Share) {
  Json Text = defaultConfiguration();
  Text["teams"][0]["share"] = Share;
  return Text;
}

/// Repeats a submission with the same request id until its outcome is known.
Reply submitUntilKnown(Api Client, const Json &Text, std::uint64_t Base, const std::string &Author,
                       const std::string &Id) {
  Reply Response;
  waitFor(core::Millis(20'000), [&] {
    Response = Client.submitConfig(Text, Base, Author, Id);
    return Response.Complete_ && Response.errorId() != "MD-501" && Response.errorId() != "MD-502";
  });
  return Response;
}

} // namespace

// Guards against a revoked key that is still accepted by a daemon that cannot receive the
// revocation.
Test(RevokedKey, stopsWorkingEverywhereWithinTheFreshnessBound) {
  Fleet Cluster;
  cr_assert(bringUp(Cluster), "the fleet did not come up");
  const std::vector<std::string> Names = Cluster.names();
  std::string Key;
  std::string KeyId;
  {
    const Step Label("key granted at one daemon is accepted by all");
    const Reply Granted =
        Api(Cluster, Names.front())
            .operatorCall("POST", "/v1/keys", Json{{"team", "mfi"}, {"author", "test"}}.dump());
    cr_assert_eq(Granted.Status_, 201, "%s", Granted.Body_.c_str());
    Key = Granted.json().at("key");
    KeyId = Granted.json().at("key_id");
    const std::string Refusal = awaitServing(Cluster, Names, "reorder", Key, core::Millis(5000));
    cr_assert(Refusal.empty(), "%s", Refusal.c_str());
  }

  // The daemons of karachi-a still reach each other, so the owner keeps its lease and could run
  // requests.
  const std::string Isolated = nonOwnerIn(Cluster, "lahore-a");
  const std::vector<std::string> CutDomain = Cluster.namesIn("karachi-a");
  Traffic Keyed(Cluster, Names, {.Queue_ = "reorder", .Key_ = Key, .DeadlineMs_ = 500});
  Traffic Open(Cluster, without(Names, {Isolated}), {.Queue_ = "status"});
  cr_assert(waitFor(core::Millis(2000), [&] { return Keyed.samples().size() > 50; }));
  core::TimePoint Revoked;
  {
    const Step Label("isolate one daemon and one domain, then revoke the key");
    isolateDaemon(Cluster, Isolated);
    Cluster.cutDomain("karachi-a");
    const Reply Response =
        Api(Cluster, "faisalabad-b-1")
            .operatorCall("DELETE", "/v1/keys/" + KeyId, {}, {{"Masticdrift-Author", "test"}});
    Revoked = core::Clock::now();
    cr_assert_eq(Response.Status_, 200, "%d %s", Response.Status_, Response.Body_.c_str());
  }
  {
    const Step Label("requests until 3 s after the freshness bound");
    cr_assert(waitFor(RevokedWithin + core::Millis(4000), [&] {
      return core::Clock::now() > Revoked + RevokedWithin + core::Millis(3000);
    }));
  }
  const std::vector<Sample> KeyedSamples = Keyed.finish();
  const std::vector<Sample> OpenSamples = Open.finish();

  std::map<std::string, std::int64_t> LastAccepted;
  std::map<std::string, std::set<std::string>> Refusals;
  for (const Sample &RequestSample : KeyedSamples) {
    const std::int64_t After = core::toMillis(RequestSample.Sent_ - Revoked);
    if (RequestSample.completed())
      LastAccepted[RequestSample.Daemon_] = std::max(LastAccepted[RequestSample.Daemon_], After);
    if (RequestSample.Sent_ <= Revoked + RevokedWithin)
      continue;
    Refusals[RequestSample.Daemon_].insert(RequestSample.Answer_.errorId());
    cr_expect(!RequestSample.completed(), "accepted %lld ms after the revocation: %s",
              static_cast<long long>(After), RequestSample.text().c_str());
    cr_expect(RequestSample.Answer_.Outcome_ == "not_run", "%s", RequestSample.text().c_str());
  }
  for (const std::string &Name : Names) {
    std::fprintf(stderr, "  %s: last accepted request sent %lld ms after the revocation, then",
                 Name.c_str(), static_cast<long long>(LastAccepted[Name]));
    for (const std::string &Id : Refusals[Name]) {
      std::fprintf(stderr, " %s", Id.c_str());
      cr_expect(Id == "MD-203" || Id == "MD-205", "%s: %s", Name.c_str(), Id.c_str());
    }
    std::fprintf(stderr, "\n");
    cr_expect(!Refusals[Name].empty(), "%s received no request after the bound", Name.c_str());
  }
  cr_expect(Refusals[Isolated] == std::set<std::string>{"MD-205"});

  std::size_t OpenRefused = 0;
  for (const Sample &RequestSample : OpenSamples)
    if (!RequestSample.completed()) {
      ++OpenRefused;
      std::fprintf(stderr, "  open: %lld ms after the revocation: %s\n",
                   static_cast<long long>(core::toMillis(RequestSample.Sent_ - Revoked)),
                   RequestSample.text().c_str());
    }
  cr_expect_eq(OpenRefused, 0U, "%zu of %zu open requests were not served", OpenRefused,
               OpenSamples.size());
  std::vector<Sample> AllSamples = KeyedSamples;
  AllSamples.insert(AllSamples.end(), OpenSamples.begin(), OpenSamples.end());
  const std::string Contradiction = findContradiction(Cluster, AllSamples);
  cr_expect(Contradiction.empty(), "%s", Contradiction.c_str());
}

// Guards against a lost or reverted configuration when operators submit concurrently and responses
// of the store are lost.
Test(ConcurrentOperators, oneVersionWinsAndIsNeverReverted) {
  Fleet Cluster;
  cr_assert(bringUp(Cluster), "the fleet did not come up");
  const std::vector<std::string> Names = Cluster.names();
  const std::string Restarted = VersionMonitor::Excluded;
  VersionMonitor Monitor(Cluster);
  std::uint64_t Version = versionAt(Cluster, Names.front());
  std::uint64_t LastSeen = Version;
  for (const char *Mode : {"close", "hang", "close", "hang"}) {
    const Step Label(std::string("two submissions, lost responses: ") + Mode);
    const std::int64_t LostBefore = Cluster.evidence(Standin::Log).at("answers_lost");
    Cluster.control(Standin::Log, {{"lose_answers", 6}, {"lose_mode", Mode}});
    Reply First;
    Reply Second;
    const Json FirstText = configurationWithShare(10 + static_cast<int>(Version));
    const Json SecondText = configurationWithShare(50 + static_cast<int>(Version));
    const std::string Round = std::to_string(Version);
    {
      std::thread Other([&] {
        Second = submitUntilKnown(Api(Cluster, "karachi-a-1"), SecondText, Version, "bilal",
                                  "bilal-" + Round);
      });
      First = submitUntilKnown(Api(Cluster, "lahore-a-1"), FirstText, Version, "ayesha",
                               "ayesha-" + Round);
      Other.join();
    }
    const std::int64_t LostAfter = Cluster.evidence(Standin::Log).at("answers_lost");
    cr_assert(LostAfter > LostBefore, "no response was lost");
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
    cr_assert(waitFor(core::Millis(5000), [&] { return allAt(Cluster, Names, Version); }),
              "version %llu is not in force everywhere", static_cast<unsigned long long>(Version));
    std::fprintf(stderr, "  in force everywhere %lld ms after the answer\n",
                 static_cast<long long>(core::toMillis(core::Clock::now() - Answered)));
    const Json &Winner = FirstWon ? FirstText : SecondText;
    for (const std::string &Name : Names) {
      const Json Text = Json::parse(Api(Cluster, Name)
                                        .operatorCall("GET", "/v1/config")
                                        .json()
                                        .at("text")
                                        .get<std::string>());
      cr_assert(Text == Winner, "%s serves another configuration", Name.c_str());
    }
    const std::uint64_t CurrentVersion = versionAt(Cluster, Restarted);
    cr_assert(CurrentVersion >= LastSeen);
    LastSeen = CurrentVersion;
    Cluster.control(Standin::Log, {{"lose_answers", 0}});
  }
  {
    const Step Label("restart during a store outage");
    Cluster.control(Standin::Log, {{"outage", "refuse"}});
    Cluster.restart(Restarted);
    Api Client(Cluster, Restarted);
    std::size_t BeforeCopy = 0;
    const bool Copied = waitFor(core::Millis(10'000), [&] {
      const Reply Response = Client.request("status", "ping");
      const std::uint64_t Seen = versionAt(Cluster, Restarted);
      cr_assert(Seen == 0 || Seen == Version, "serves version %llu",
                static_cast<unsigned long long>(Seen));
      if (Seen == 0) {
        ++BeforeCopy;
        cr_assert(Response.Outcome_ == "not_run", "%d %s", Response.Status_,
                  Response.Body_.c_str());
      }
      return Seen == Version && Response.Status_ == 200;
    });
    cr_assert(Copied, "no configuration was copied from a peer");
    std::fprintf(stderr, "  %zu readings before the copy\n", BeforeCopy);
    cr_assert(allAt(Cluster, Names, Version));
  }
  {
    const Step Label("store restored: every configuration is fresh");
    Cluster.clearFaults();
    cr_assert(waitFor(RecoveredWithin, [&] {
      return std::ranges::all_of(Names, [&](const std::string &Name) {
        const Json Status = Api(Cluster, Name).status();
        return Status.value("config_fresh", false) &&
               Status.value("config_version", std::uint64_t{0}) == Version;
      });
    }));
  }
  const std::string Decrease = Monitor.finish();
  cr_assert(Decrease.empty(), "%s", Decrease.c_str());
  cr_assert(Monitor.readings() > 100U);
}

namespace {

/// Sends interactive requests during a store outage, first with all daemons connected.
void runStoreOutage(const char *Mode) {
  Fleet Cluster;
  cr_assert(bringUp(Cluster), "the fleet did not come up");
  const std::vector<std::string> Names = Cluster.names();
  const std::string Key = Api(Cluster, Names.front()).createKey("mfi");
  std::string Refusal = awaitServing(Cluster, Names, "reorder", Key, core::Millis(5000));
  cr_assert(Refusal.empty(), "%s", Refusal.c_str());
  const std::uint64_t Version = versionAt(Cluster, Names.front());
  std::map<std::string, std::string> Owners;
  for (const char *Domain : {"lahore-a", "faisalabad-b", "karachi-a"})
    Owners[Domain] = ownerIn(Cluster, Domain);

  Reply Refused;
  const Json Changed = configurationWithShare(9);
  {
    const Step Label(std::string("15 s of store outage, mode ") + Mode);
    Traffic Keyed(Cluster, Names, {.Queue_ = "reorder", .Key_ = Key});
    const core::TimePoint Start = core::Clock::now();
    Cluster.control(Standin::Log, {{"outage", Mode}});
    const auto WaitUntil = [&](core::Millis After) {
      cr_assert(
          waitFor(After + core::Millis(2000), [&] { return core::Clock::now() >= Start + After; }));
    };
    WaitUntil(core::Millis(7000));
    Refused = Api(Cluster, "lahore-a-2").submitConfig(Changed, Version, "ayesha", "outage-1");
    cr_expect(Refused.errorId() == "MD-501" || Refused.errorId() == "MD-502", "%d %s",
              Refused.Status_, Refused.Body_.c_str());
    WaitUntil(core::Millis(15'000));
    const std::vector<Sample> Samples = Keyed.finish();
    std::size_t NotServed = 0;
    for (const Sample &RequestSample : Samples)
      if (!RequestSample.completed() && ++NotServed <= 5)
        std::fprintf(stderr, "  %lld ms into the outage: %s\n",
                     static_cast<long long>(core::toMillis(RequestSample.Sent_ - Start)),
                     RequestSample.text().c_str());
    cr_expect_eq(NotServed, 0U, "%zu of %zu keyed requests were not served", NotServed,
                 Samples.size());
    std::fprintf(stderr, "  %zu keyed requests, %zu not served\n", Samples.size(), NotServed);
    for (const auto &[Domain, Owner] : Owners)
      cr_expect_eq(ownerIn(Cluster, Domain), Owner, "the lease of %s moved", Domain.c_str());
    const std::string Contradiction = findContradiction(Cluster, Samples);
    cr_expect(Contradiction.empty(), "%s", Contradiction.c_str());
  }
  {
    const Step Label("one daemon isolated as well");
    const std::string Isolated = nonOwnerIn(Cluster, "lahore-a");
    const std::vector<std::string> Others = without(Names, {Isolated});
    Traffic Open(Cluster, Others, {.Queue_ = "status"});
    isolateDaemon(Cluster, Isolated);
    const core::TimePoint Start = core::Clock::now();
    Traffic Keyed(Cluster, Names, {.Queue_ = "reorder", .Key_ = Key});
    cr_assert(waitFor(core::Millis(10'000),
                      [&] { return core::Clock::now() >= Start + core::Millis(8000); }));
    std::set<std::string> StaleDaemons;
    for (const Sample &RequestSample : Keyed.finish())
      if (RequestSample.Sent_ > Start + RevokedWithin) {
        cr_expect(RequestSample.Answer_.errorId() == "MD-205" &&
                      RequestSample.Answer_.Outcome_ == "not_run",
                  "%s", RequestSample.text().c_str());
        StaleDaemons.insert(RequestSample.Daemon_);
      }
    cr_expect_eq(StaleDaemons.size(), Names.size());
    for (const Sample &RequestSample : Open.finish())
      cr_expect(RequestSample.completed(), "%lld ms after the cut: %s",
                static_cast<long long>(core::toMillis(RequestSample.Sent_ - Start)),
                RequestSample.text().c_str());
    const std::string Contradiction = findContradiction(Cluster, Open.finish());
    cr_expect(Contradiction.empty(), "%s", Contradiction.c_str());
  }
  {
    const Step Label("faults ended: all requests are served again");
    const core::TimePoint Start = core::Clock::now();
    Cluster.clearFaults();
    Refusal = awaitServing(Cluster, Names, "reorder", Key, RecoveredWithin);
    cr_expect(Refusal.empty(), "%s", Refusal.c_str());
    if (Refused.errorId() == "MD-501")
      cr_expect(allAt(Cluster, Names, Version), "a submission reported as not run is in force");
    const Reply Retried =
        submitUntilKnown(Api(Cluster, "lahore-a-2"), Changed, Version, "ayesha", "outage-1");
    cr_expect_eq(Retried.Status_, 200, "%d %s", Retried.Status_, Retried.Body_.c_str());
    cr_expect(waitFor(RecoveredWithin, [&] { return allAt(Cluster, Names, Version + 1); }));
    cr_expect(core::Clock::now() - Start <= RecoveredWithin, "recovery took longer than 10 s");
  }
}

} // namespace

// Guards against a store outage that stops interactive requests, or during which a daemon accepts
// keys that it does not know to be current.
Test(StoreOutage, servesWhileTheStoreHangs) { runStoreOutage("hang"); }

Test(StoreOutage, servesWhileTheStoreRefuses) { runStoreOutage("refuse"); }
