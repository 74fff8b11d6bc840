// What daemons and a new leader keep of the answers of the advice service.
#include "masticdrift/daemon/VerdictMemory.h"
#include "masticdrift/daemon/AdviceDispatcher.h"
#include "support/FakeFleet.h"
#include "support/SimpleJobs.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;
using daemon::VerdictMemory;

namespace {

const core::TimePoint Start{std::chrono::hours(1)};

protocol::AdviseRequest makeCall(const std::string &Job, int Executors = 3) {
  protocol::AdviseRequest Call{Job, 0, 1, {}, 500};
  for (int I = 0; I < Executors; ++I)
    Call.Executors_.push_back("e" + std::to_string(I));
  return Call;
}

} // namespace

// --- At the daemons ---

// Guards against verdicts that are lost with the leader: both kinds hold for good.
Test(VerdictMemory, keepsWhoMayAndWhoMayNot) {
  VerdictMemory Memory;
  Memory.add(makeCall("job"), {{"e1", "ticket"}}, Start);
  const auto Known = Memory.list(Start + Millis(700));
  cr_assert_eq(Known.size(), 1);
  cr_expect(Known[0].Allowed_ == std::vector<std::string>({"e1"}));
  cr_expect(Known[0].Tickets_ == std::vector<std::string>({"ticket"}));
  cr_expect(Known[0].Excluded_ == std::vector<std::string>({"e0", "e2"}));
  cr_expect_eq(Known[0].AgeMs_, 700);
  cr_expect(Memory.list(Start + daemon::VerdictRetention + Millis(1)).empty());
}

// Load: many calls in a short time. Guards against a first hello that fills a small machine's link.
Test(VerdictMemory, itsSizeIsBounded) {
  VerdictMemory Memory;
  for (int I = 0; I < 2000; ++I)
    Memory.add(makeCall("job" + std::to_string(I), 60), {{"e1", "ticket"}}, Start);
  const auto Known = Memory.list(Start);
  std::size_t Bytes = 0;
  for (const protocol::KnownVerdicts &Verdicts : Known)
    Bytes += Verdicts.Allowed_.size() + Verdicts.Excluded_.size();
  cr_expect_lt(2 * Bytes, daemon::MaxVerdictBytes);
  cr_expect(Known.front().JobId_ == "job1999", "the newest are kept");
}

// --- At a new leader ---

// Load: a step with a lost leader before its start. Guards against advice that is requested again
// although a daemon has handed over a valid ticket.
Test(InheritedAdvice, aValidTicketIsUsedWithoutAnotherCall) {
  tests::FakeFleet Fleet(tests::FakeFleetOptions{});
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Queue.MaxAttempts_ = 4;
  Queue.Advice_ = work::AdvicePolicy{2000, 1, 2500};
  work::Manifest Manifest;
  Manifest.Queues_ = {Queue};
  Fleet.setManifest(Manifest);
  Fleet.addExecutor("e0", {4000, 65'536, 0});
  Fleet.run(Millis(300));
  Fleet.submit("job", tests::makeJob(2, 300));
  const std::vector<fleet::AdvisedExecutor> Allowed{{"e0", "ticket"}};
  Fleet.leader().onInheritedAdvice({"job", 0, 0, 0}, Allowed, {}, Millis(100), Fleet.now());
  Fleet.run(Millis(200));
  cr_expect_eq(Fleet.executorsRunning("job").size(), 2);
  cr_expect(Fleet.violations().empty());
}

// Guards against an expired ticket that is used, and against an older verdict that replaces a
// newer one or one for a step that is unknown.
Test(InheritedAdvice, oldAndUnknownVerdictsDoNoHarm) {
  tests::FakeFleetOptions Options;
  Options.AdviceYield_ = 1;
  tests::FakeFleet Fleet(Options);
  work::Queue Queue;
  Queue.Name_ = "q";
  Queue.Pool_ = "pool";
  Queue.MaxAttempts_ = 4;
  Queue.Advice_ = work::AdvicePolicy{20, 1, 2500};
  work::Manifest Manifest;
  Manifest.Queues_ = {Queue};
  Fleet.setManifest(Manifest);
  Fleet.addExecutor("e0", {4000, 65'536, 0});
  Fleet.run(Millis(300));
  Fleet.submit("job", tests::makeJob(2, 300));
  const std::vector<fleet::AdvisedExecutor> Allowed{{"e0", "old"}, {"unknown", "ticket"}};
  const std::vector<std::string> Excluded{"e0"};
  Fleet.leader().onInheritedAdvice({"job", 0, 0, 0}, Allowed, Excluded, Millis(9000), Fleet.now());
  Fleet.leader().onInheritedAdvice({"nothing", 0, 0, 0}, Allowed, {}, Millis(10), Fleet.now());
  Fleet.leader().onInheritedAdvice({"job", 0, 7, 0}, Allowed, {}, Millis(10), Fleet.now());
  Fleet.run(Millis(2000));
  cr_expect(Fleet.stateOf("job") == work::JobState::Completed);
  cr_expect(Fleet.violations().empty());
}

// --- Calls ---

// Load: many short calls to daemons far away. Guards against a service that is idle while the
// answer is on its way to the leader and the next call on its way back.
Test(AdviceDispatcher, aShortCallFollowsAnotherOne) {
  std::vector<std::string> Sent;
  daemon::AdviceDispatcher Dispatcher(
      [&](const std::string &Adviser, const daemon::AdviceCall &) { Sent.push_back(Adviser); });
  Dispatcher.registerAdviser("p1", Start);
  Dispatcher.registerAdviser("p2", Start);
  for (int I = 0; I < 6; ++I)
    Dispatcher.enqueue({{}, {}, 30, {0, Start}}, Start);
  cr_assert_eq(Sent.size(), 4);
  cr_expect(Sent[0] != Sent[1], "idle daemons come first");
  Dispatcher.onCallFinished("p1", true, Start);
  cr_expect(Sent.size() == 5 && Sent.back() == "p1");
}

// Guards against short calls that wait behind a long one at the same daemon.
Test(AdviceDispatcher, noShortCallFollowsALongOne) {
  std::vector<std::string> Sent;
  daemon::AdviceDispatcher Dispatcher(
      [&](const std::string &Adviser, const daemon::AdviceCall &) { Sent.push_back(Adviser); });
  Dispatcher.registerAdviser("p1", Start);
  Dispatcher.registerAdviser("p2", Start);
  Dispatcher.enqueue({{}, {}, 500, {0, Start}}, Start);
  const std::string Busy = Sent.back();
  for (int I = 0; I < 3; ++I)
    Dispatcher.enqueue({{}, {}, 30, {0, Start}}, Start);
  cr_assert_eq(Sent.size(), 3);
  cr_expect(Sent[1] != Busy && Sent[2] != Busy);
}
