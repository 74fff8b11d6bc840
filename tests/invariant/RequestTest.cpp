// Invariants of interactive requests when the owner of a domain fails. They are checked on the
// executors' record of what ran and the answers that the callers received.
#include "invariant/RequestChecks.h"

using namespace masticdrift;
using namespace masticdrift::testing;

// Guards against overcommitted executors after a takeover: requests of a killed owner still run
// when the next owner starts to send.
Test(OverloadAndTakeover, slotsAreNeverOvercommitted) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  cr_assert(awaitKeyEverywhere(TestFleet, Key));
  const std::string Domain = "lahore-a";
  const std::vector<std::string> Daemons = TestFleet.namesIn(Domain);
  const std::string Owner = findOwner(TestFleet, Daemons);
  cr_assert(!Owner.empty(), "%s has no owner", Domain.c_str());
  std::vector<std::string> OtherDaemons = Daemons;
  std::erase(OtherDaemons, Owner);

  // The fleet has 48 slots. The long requests take almost the longest deadline, so those of the
  // killed owner still run at the takeover.
  LoadGenerator Long(TestFleet, TestFleet.names(),
                     {.CallerCount_ = 60, .WorkMs_ = 4800, .DeadlineMs_ = 5000, .Key_ = Key},
                     "long");
  cr_expect(
      waitFor(core::Millis(5000), [&] { return sumOverDomain(TestFleet, Domain, "busy") == 16; }),
      "the slots of %s did not fill: %zu", Domain.c_str(),
      sumOverDomain(TestFleet, Domain, "busy"));
  TestFleet.kill(Owner);
  LoadGenerator Short(TestFleet, TestFleet.names(),
                      {.CallerCount_ = 30, .DeadlineMs_ = 3000, .Key_ = Key, .IdempotentEvery_ = 2},
                      "short");
  // The takeover happens 4.5 s after the last lease renewal.
  std::string NewOwner;
  cr_expect(waitFor(core::Millis(8000),
                    [&] { return !(NewOwner = findOwner(TestFleet, OtherDaemons)).empty(); }),
            "no takeover after the owner was killed");
  const std::size_t ReceivedBefore = sumOverDomain(TestFleet, Domain, "requests");
  // The new owner may use the slots after the end of the old lease, the longest deadline and the
  // slot grace period.
  cr_expect(
      waitFor(core::Millis(8000),
              [&] { return sumOverDomain(TestFleet, Domain, "requests") >= ReceivedBefore + 16; }),
      "the new owner %s sends no requests", NewOwner.c_str());
  std::vector<RequestRecord> Records = Long.stop();
  cr_expect(Short.awaitAnswers(20, core::Millis(10'000), "completed"),
            "no answers after the takeover");
  const auto &ShortRecords = Short.stop();
  Records.insert(Records.end(), ShortRecords.begin(), ShortRecords.end());
  expectInvariants("kill", Records, evidenceWhenIdle(TestFleet), true);
}

// Guards against a paused owner that, once resumed, sends requests although its lease has expired.
Test(PausedOwner, sendsNothingAfterLosingTheLease) {
  Fleet TestFleet;
  cr_assert(bringUp(TestFleet), "the fleet did not come up");
  const std::string Key = Api(TestFleet, TestFleet.names().front()).createKey("mfi");
  cr_assert(awaitKeyEverywhere(TestFleet, Key));
  const std::string Domain = "lahore-a";
  const std::vector<std::string> Daemons = TestFleet.namesIn(Domain);
  const std::string Owner = findOwner(TestFleet, Daemons);
  cr_assert(!Owner.empty(), "the domain has no owner");
  std::vector<std::string> OtherDaemons = Daemons;
  std::erase(OtherDaemons, Owner);
  // Enough callers that requests are queued behind the 16 slots of the domain when the owner is
  // paused.
  LoadGenerator Load(
      TestFleet, Daemons,
      {.CallerCount_ = 90, .WorkMs_ = 300, .DeadlineMs_ = 5000, .Key_ = Key, .IdempotentEvery_ = 2},
      "load");
  cr_expect(Load.awaitAnswers(100, core::Millis(10'000), "completed"),
            "no answers before the pause");
  const auto Waiting = [&] { return Api(TestFleet, Owner).status().value("requests_waiting", 0); };
  cr_expect(waitFor(core::Millis(5000), [&] { return Waiting() > 0; }), "no request is queued");
  TestFleet.pause(Owner);
  std::string NewOwner;
  cr_expect(waitFor(core::Millis(8000),
                    [&] { return !(NewOwner = findOwner(TestFleet, OtherDaemons)).empty(); }),
            "no takeover after the owner was paused");
  // Nobody may send until the new owner may use the slots, so any run that starts from now on was
  // sent by the resumed owner.
  cr_expect(
      waitFor(core::Millis(6000), [&] { return sumOverDomain(TestFleet, Domain, "busy") == 0; }),
      "the executors of the domain did not finish their runs");
  const std::size_t ReceivedBefore = sumOverDomain(TestFleet, Domain, "requests");
  TestFleet.resume(Owner);
  cr_expect(waitFor(core::Millis(5000),
                    [&] { return !Api(TestFleet, Owner).status().value("is_owner", true); }),
            "the resumed daemon still says that it owns the domain");
  cr_expect(sumOverDomain(TestFleet, Domain, "requests") == ReceivedBefore,
            "the resumed owner sent %zu requests after its lease had expired",
            sumOverDomain(TestFleet, Domain, "requests") - ReceivedBefore);
  cr_expect(
      waitFor(core::Millis(10'000),
              [&] { return sumOverDomain(TestFleet, Domain, "requests") >= ReceivedBefore + 16; }),
      "the new owner %s sends no requests", NewOwner.c_str());
  cr_expect(Load.awaitAnswers(50, core::Millis(10'000), "completed"),
            "no answers after the takeover");
  const auto &Records = Load.stop();
  expectInvariants("pause", Records, evidenceWhenIdle(TestFleet), true);
}
