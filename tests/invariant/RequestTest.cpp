// Promises about interactive requests under faults. The evidence is the executors' record of what
// ran and the answers that the callers received.
#include "invariant/RequestChecks.h"

using namespace masticdrift;
using namespace masticdrift::testing;

// Guards against two owners' requests meeting in the slots of one executor: the requests of a
// killed owner still run when the next owner starts to send.
Test(OverloadAndTakeover, slotsAreNeverOvercommitted) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  cr_assert(keyWorksEverywhere(All, Key));
  const std::string Domain = "lahore-a";
  const std::vector<std::string> Members = All.namesIn(Domain);
  const std::string Owner = ownerOf(All, Members);
  cr_assert(!Owner.empty(), "%s has no owner", Domain.c_str());
  std::vector<std::string> Others = Members;
  std::erase(Others, Owner);

  // 48 slots in the fleet. The long requests last almost as long as the longest deadline allows, so
  // those of the killed owner still run at the takeover.
  Callers Long(All, All.names(),
               {.Callers_ = 60, .WorkMs_ = 4800, .DeadlineMs_ = 5000, .Key_ = Key}, "long");
  cr_expect(waitFor(core::Millis(5000), [&] { return sumIn(All, Domain, "busy") == 16; }),
            "the slots of %s did not fill: %zu", Domain.c_str(), sumIn(All, Domain, "busy"));
  All.kill(Owner);
  Callers Short(All, All.names(),
                {.Callers_ = 30, .DeadlineMs_ = 3000, .Key_ = Key, .IdempotentEvery_ = 2}, "short");
  // Takeover: 4.5 s after the last renewal.
  std::string Next;
  cr_expect(waitFor(core::Millis(8000), [&] { return !(Next = ownerOf(All, Others)).empty(); }),
            "no takeover after the owner was killed");
  const std::size_t Before = sumIn(All, Domain, "requests");
  // Slots: the longest deadline and the grace after the old lease ended.
  cr_expect(
      waitFor(core::Millis(8000), [&] { return sumIn(All, Domain, "requests") >= Before + 16; }),
      "%s sends nothing", Next.c_str());
  std::vector<Exchange> Answers = Long.finish();
  cr_expect(Short.await(20, core::Millis(10'000), "completed"), "no answers after the takeover");
  const auto &More = Short.finish();
  Answers.insert(Answers.end(), More.begin(), More.end());
  expectPromisesKept("kill", Answers, settledEvidence(All), true);
}

// Guards against a resumed owner that sends with the claim it held before it was paused.
Test(PausedOwner, sendsNothingWithItsOldClaim) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  const std::string Key = Api(All, All.names().front()).createKey("mfi");
  cr_assert(keyWorksEverywhere(All, Key));
  const std::string Domain = "lahore-a";
  const std::vector<std::string> Members = All.namesIn(Domain);
  const std::string Owner = ownerOf(All, Members);
  cr_assert(!Owner.empty(), "no owner");
  std::vector<std::string> Others = Members;
  std::erase(Others, Owner);
  // Enough callers that requests are queued behind the 16 slots of the domain when the owner stops.
  Callers Load(
      All, Members,
      {.Callers_ = 90, .WorkMs_ = 300, .DeadlineMs_ = 5000, .Key_ = Key, .IdempotentEvery_ = 2},
      "load");
  cr_expect(Load.await(100, core::Millis(10'000), "completed"), "no answers before the pause");
  const auto Waiting = [&] { return Api(All, Owner).status().value("requests_waiting", 0); };
  cr_expect(waitFor(core::Millis(5000), [&] { return Waiting() > 0; }), "no request is queued");
  All.pause(Owner);
  std::string Next;
  cr_expect(waitFor(core::Millis(8000), [&] { return !(Next = ownerOf(All, Others)).empty(); }),
            "no takeover after the owner was paused");
  // Before the new owner may use the slots nobody may send, so every run that starts after the
  // resumed owner's first step would be its own.
  cr_expect(waitFor(core::Millis(6000), [&] { return sumIn(All, Domain, "busy") == 0; }),
            "runs do not end");
  const std::size_t Before = sumIn(All, Domain, "requests");
  All.resume(Owner);
  cr_expect(waitFor(core::Millis(5000),
                    [&] { return !Api(All, Owner).status().value("is_owner", true); }),
            "the resumed daemon still says that it owns the domain");
  cr_expect(sumIn(All, Domain, "requests") == Before,
            "the resumed owner sent %zu requests with its old claim",
            sumIn(All, Domain, "requests") - Before);
  cr_expect(
      waitFor(core::Millis(10'000), [&] { return sumIn(All, Domain, "requests") >= Before + 16; }),
      "%s sends nothing", Next.c_str());
  cr_expect(Load.await(50, core::Millis(10'000), "completed"), "no answers after the takeover");
  const auto &Answers = Load.finish();
  expectPromisesKept("pause", Answers, settledEvidence(All), true);
}
