#include "masticdrift/policy/Executors.h"
#include "masticdrift/policy/RequestQueue.h"
#include "masticdrift/policy/RetryBudget.h"

#include <algorithm>
#include <criterion/criterion.h>

#include <map>
#include <random>

using namespace masticdrift;
using namespace masticdrift::policy;
using core::Millis;
using core::TimePoint;

namespace {
const TimePoint Start{std::chrono::seconds(1000)};

RequestQueue makeQueue() {
  RequestQueue Queue;
  Queue.Limits_.WaitFraction_ = 1000; // no refusals by expected wait unless a test enables them
  setSlotCapacity(Queue, 8);
  return Queue;
}
} // namespace

// Guards against slots that are assigned by arrival order instead of by share.
Test(PolicyRequests, slotsGoByShare) {
  RequestQueue Queue = makeQueue();
  setTeam(Queue, "a", 3, 100);
  setTeam(Queue, "b", 1, 100);
  for (std::uint64_t I = 0; I < 100; ++I) {
    pushRequest(Queue, {I, "b", Start, Start + Millis(2000)}, Start);
    pushRequest(Queue, {1000 + I, "a", Start, Start + Millis(2000)}, Start);
  }
  std::vector<QueuedRequest> Shed;
  std::map<std::string, int> Counts;
  for (int I = 0; I < 80; ++I)
    ++Counts[popRequest(Queue, Start, Shed)->Team_];
  cr_assert_eq(Counts["a"], 60);
  cr_assert_eq(Counts["b"], 20);
}

// Guards against a team that exceeds its slot limit, and against one that blocks other teams.
Test(PolicyRequests, theSlotLimitHoldsForOneTeamOnly) {
  RequestQueue Queue = makeQueue();
  setTeam(Queue, "a", 1, 2);
  for (std::uint64_t I = 0; I < 5; ++I)
    pushRequest(Queue, {I, "a", Start, Start + Millis(2000)}, Start);
  pushRequest(Queue, {9, "b", Start, Start + Millis(2000)}, Start);
  std::vector<QueuedRequest> Shed;
  std::map<std::string, int> Counts;
  while (auto Next = popRequest(Queue, Start, Shed))
    ++Counts[Next->Team_];
  cr_assert_eq(Counts["a"], 2);
  cr_assert_eq(Counts["b"], 1);
  finishSlot(Queue, "a", Millis(50));
  cr_assert(popRequest(Queue, Start, Shed)->Team_ == "a");
  cr_assert(!popRequest(Queue, Start, Shed));
}

// Guards against an expired request that takes a slot, and against an unbounded queue.
Test(PolicyRequests, expiredAndExcessRequestsAreShed) {
  RequestQueue Queue = makeQueue();
  Queue.Limits_.MaxPerTeam_ = 3;
  pushRequest(Queue, {1, "a", Start, Start + Millis(10)}, Start);
  pushRequest(Queue, {2, "a", Start, Start + Millis(500)}, Start);
  pushRequest(Queue, {3, "a", Start, Start + Millis(500)}, Start);
  cr_assert(pushRequest(Queue, {4, "a", Start, Start + Millis(500)}, Start).Admission_ ==
            Admission::QueueFull);
  cr_assert(pushRequest(Queue, {5, "b", Start, Start}, Start).Admission_ == Admission::TooLate);
  std::vector<QueuedRequest> Shed;
  cr_assert_eq(popRequest(Queue, Start + Millis(20), Shed)->Id_, 2);
  cr_assert_eq(Shed.size(), 1);
  cr_assert_eq(Shed[0].Id_, 1);
  cr_assert(removeRequest(Queue, "a", 3));
  cr_assert_eq(Queue.Waiting_, 0);
  cr_assert(!popRequest(Queue, Start + Millis(20), Shed));
}

// Guards against queueing a request that would be refused only at its deadline.
Test(PolicyRequests, aRequestThatWouldWaitTooLongIsRefusedAtOnce) {
  RequestQueue Queue = makeQueue();
  Queue.Limits_.WaitFraction_ = 0.5;
  std::vector<QueuedRequest> Shed;
  int Refused = 0;
  for (std::uint64_t I = 0; I < 200; ++I) {
    const auto Answer = pushRequest(Queue, {I, "a", Start, Start + Millis(200)}, Start);
    if (Answer.Admission_ == Admission::TooLate) {
      ++Refused;
      cr_assert(Answer.RetryAfter_ > Millis(0));
    }
  }
  cr_assert(Refused > 150, "only %d of 200 requests were refused", Refused);
  cr_assert(Queue.Waiting_ > 0);
}

// Guards against wrong slot counts, with random requests.
Test(PolicyRequests, randomUseKeepsTheCounts) {
  constexpr std::uint64_t Seed = 11;
  std::printf("seed %lu\n", Seed);
  std::mt19937_64 Random(Seed);
  RequestQueue Queue = makeQueue();
  setTeam(Queue, "a", 2, 3);
  setTeam(Queue, "b", 1, 2);
  std::multimap<TimePoint, std::string> Running;
  TimePoint Now = Start;
  for (std::uint64_t Step = 0; Step < 20'000; ++Step) {
    Now += Millis(Random() % 5);
    pushRequest(Queue,
                {Step, std::string(1, static_cast<char>('a' + Random() % 3)), Now,
                 Now + Millis(Random() % 100)},
                Now);
    while (!Running.empty() && Running.begin()->first <= Now) {
      finishSlot(Queue, Running.begin()->second, Millis(10));
      Running.erase(Running.begin());
    }
    std::vector<QueuedRequest> Shed;
    while (Running.size() < 6) {
      auto Next = popRequest(Queue, Now, Shed);
      if (!Next)
        break;
      cr_assert(Next->Deadline_ > Now, "an expired request took a slot");
      Running.emplace(Now + Millis(1 + Random() % 20), Next->Team_);
    }
    std::size_t Waiting = 0;
    for (const RequestTeam &Team : Queue.Teams_) {
      Waiting += Team.Waiting_.size();
      cr_assert(Team.Slots_ <= Team.SlotLimit_);
      std::size_t Held = 0;
      for (const auto &[At, Name] : Running)
        Held += Name == Team.Name_ ? 1 : 0;
      cr_assert_eq(Held, Team.Slots_);
      // No request waits while a slot is free and its team is below its limit.
      cr_assert(Running.size() >= 6 || Team.Waiting_.empty() || Team.Slots_ == Team.SlotLimit_);
    }
    cr_assert_eq(Waiting, Queue.Waiting_);
    cr_assert_eq(Running.size(), Queue.SlotsInUse_);
  }
}

// Guards against more than 8 requests or 16 connections per executor.
Test(PolicyExecutors, slotsAndConnectionsAreBounded) {
  ExecutorPool Pool;
  addExecutor(Pool, "e0");
  addExecutor(Pool, "e1");
  std::map<std::size_t, int> Counts;
  while (auto Index = chooseExecutor(Pool, Start)) {
    takeSlot(Pool, *Index, Start);
    ++Counts[*Index];
    cr_assert(std::abs(Counts[0] - Counts[1]) <= 1, "requests are not balanced");
  }
  cr_assert(Counts[0] == 8 && Counts[1] == 8);
  int Opened = 0;
  while (recordConnectionOpened(Pool, 0))
    ++Opened;
  cr_assert_eq(Opened, 16);
}

// Guards against reusing a slot while the executor is still working on a timed-out request.
Test(PolicyExecutors, theSlotOfATimedOutRequestStaysTaken) {
  ExecutorPool Pool;
  addExecutor(Pool, "e0");
  for (int I = 0; I < 8; ++I)
    takeSlot(Pool, 0, Start);
  holdSlot(Pool, 0, Start, Start + Millis(250), Millis(500));
  cr_assert(!chooseExecutor(Pool, Start + Millis(249)));
  cr_assert(chooseExecutor(Pool, Start + Millis(251)));
  takeSlot(Pool, 0, Start + Millis(251));
  cr_assert(!chooseExecutor(Pool, Start + Millis(251)));
}

// While all executors of a pool are ejected, requests wait in the queue until the next trial has
// little time left, and its timeout was counted as a failure. Guards against an executor that has
// recovered but stays ejected, twice as long after each such trial.
Test(PolicyExecutors, aTrialWithTooLittleTimeIsIgnored) {
  ExecutorPool Pool;
  addExecutor(Pool, "e0");
  for (int I = 0; I < 64; ++I) {
    takeSlot(Pool, 0, Start);
    finishRequest(Pool, 0, Start, Millis(100), true);
  }
  for (int I = 0; I < 5; ++I) {
    takeSlot(Pool, 0, Start);
    finishRequest(Pool, 0, Start, Millis(100), false);
  }
  cr_assert(!chooseExecutor(Pool, Start + Millis(1999)), "the executor was not ejected");
  const core::TimePoint Trial = Start + Millis(2000);
  cr_assert(chooseExecutor(Pool, Trial));
  takeSlot(Pool, 0, Trial);
  holdSlot(Pool, 0, Trial + Millis(50), Trial + Millis(300), Millis(50));
  cr_expect(chooseExecutor(Pool, Trial + Millis(51)), "the next request did not become the trial");
  takeSlot(Pool, 0, Trial + Millis(51));
  holdSlot(Pool, 0, Trial + Millis(500), Trial + Millis(800), Millis(449));
  cr_expect(!chooseExecutor(Pool, Trial + Millis(3000)),
            "the second trial had enough time, but its timeout was not counted");
}

// Guards against an ejected executor that gets several trial requests at a time, or none at all.
Test(PolicyExecutors, ejectionAndSingleTrials) {
  ExecutorPool Pool;
  addExecutor(Pool, "bad");
  addExecutor(Pool, "good");
  for (int I = 0; I < 5; ++I) {
    takeSlot(Pool, 0, Start);
    finishRequest(Pool, 0, Start, Millis(10), false);
  }
  cr_assert(chooseExecutor(Pool, Start) == 1U);
  const TimePoint Later = Start + Millis(2000);
  cr_assert(chooseExecutor(Pool, Later) == 0U, "no trial request after the ejection expired");
  takeSlot(Pool, 0, Later);
  cr_assert(chooseExecutor(Pool, Later) == 1U, "a second trial request was sent during the first");
  finishRequest(Pool, 0, Later, Millis(10), false);
  cr_assert(chooseExecutor(Pool, Later + Millis(3900)) == 1U, "the back-off did not increase");
  const TimePoint Last = Later + Millis(4000);
  cr_assert(chooseExecutor(Pool, Last) == 0U);
  takeSlot(Pool, 0, Last);
  finishRequest(Pool, 0, Last, Millis(10), true);
  cr_assert(!Pool.Members_[0].EjectedUntil_);
}

// Guards against a slow executor in a pool that delays every eighth request.
Test(PolicyExecutors, anExecutorThreeTimesSlowerThanTheMedianIsEjected) {
  ExecutorPool Pool;
  for (int I = 0; I < 5; ++I)
    addExecutor(Pool, "e" + std::to_string(I));
  for (int Round = 0; Round < 100; ++Round)
    for (std::size_t I = 0; I < 5; ++I) {
      if (Pool.Members_[I].EjectedUntil_)
        continue;
      takeSlot(Pool, I, Start);
      finishRequest(Pool, I, Start, Millis(I == 3 ? 100 : 20), true);
    }
  for (std::size_t I = 0; I < 5; ++I)
    cr_assert_eq(Pool.Members_[I].EjectedUntil_.has_value(), I == 3, "executor %zu", I);
}

// Guards against ejecting a whole pool: when the load rises, all executors become slow compared to
// the previous median.
Test(PolicyExecutors, aPoolThatSlowsDownAsAWholeIsNotEjected) {
  ExecutorPool Pool;
  for (int I = 0; I < 4; ++I)
    addExecutor(Pool, "e" + std::to_string(I));
  for (const int Latency : {1, 8, 300})
    for (int Round = 0; Round < 50; ++Round)
      for (std::size_t I = 0; I < 4; ++I) {
        if (Pool.Members_[I].EjectedUntil_)
          continue;
        takeSlot(Pool, I, Start);
        finishRequest(Pool, I, Start, Millis(Latency), true);
      }
  const auto Ejected = std::ranges::count_if(
      Pool.Members_, [](const Executor &Member) { return Member.EjectedUntil_.has_value(); });
  cr_assert_leq(Ejected, 2, "%ld of 4 executors were ejected", static_cast<long>(Ejected));
}

// Guards against retries that multiply the load during an outage.
Test(PolicyRetryBudget, retriesStayUnderATenthOfTheRequests) {
  constexpr std::uint64_t Seed = 12;
  std::printf("seed %lu\n", Seed);
  std::mt19937_64 Random(Seed);
  RetryBudget Budget;
  int Requests = 0;
  int Retries = 0;
  for (int I = 0; I < 10'000; ++I) {
    if (Random() % 2 == 0) {
      countRequest(Budget);
      ++Requests;
    } else if (takeRetry(Budget)) {
      ++Retries;
    }
    cr_assert(Retries * 10 <= Requests);
  }
  cr_assert(Retries > 300);
}
