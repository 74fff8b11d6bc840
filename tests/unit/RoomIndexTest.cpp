// The index of room that a leader keeps from report to report.
#include "masticdrift/lead/RoomIndex.h"

#include <random>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

const core::TimePoint Begin{std::chrono::hours(1)};
constexpr core::Resources Capacity{16'000, 32'000, 0};

/// Gives an executor random runs of two customers, as after a report.
void drawRuns(lead::ExecutorState &Executor, std::mt19937 &Random) {
  Executor.Runs_.clear();
  Executor.Used_ = {};
  Executor.Silent_ = Random() % 4 == 0;
  Executor.LeaseEnd_ = Begin + Millis(Random() % 5000);
  for (std::uint32_t I = Random() % 5; I > 0; --I) {
    const work::TaskRef Task{"job", 0, 0, I};
    lead::Run &Added = Executor.Runs_[{Task, 1}];
    Added.Customer_ = Random() % 2 == 0 ? "a" : "b";
    Added.Need_ = {static_cast<std::int64_t>(500 + Random() % 1000), 100, 0};
    Added.CountedInUse_ = Random() % 8 != 0;
    Added.ExpectedEndAt_ =
        Random() % 8 == 0 ? core::TimePoint::max() : Begin + Millis(Random() % 5000);
    Executor.Used_ += Added.Need_;
  }
}

lead::RoomIndex indexOf(std::span<const lead::ExecutorState> Executors) {
  lead::RoomIndex Index;
  for (const lead::ExecutorState &Executor : Executors)
    refresh(Index, Executor, true);
  return Index;
}

void expectEqual(const lead::RoomIndex &Kept, const lead::RoomIndex &Rebuilt, core::TimePoint By) {
  const std::vector<core::Resources> None(Rebuilt.Executors_.size());
  cr_expect(roomOfExecutors(Kept, None, By) == roomOfExecutors(Rebuilt, None, By));
  for (const char *Customer : {"a", "b"})
    cr_expect(roomWithin(accountOf(Kept, Customer, {}), By) ==
              roomWithin(accountOf(Rebuilt, Customer, {}), By));
}

} // namespace

// --- Kept up to date ---

// Guards against room that drifts from report to report: calls for advice would be made for tasks
// that cannot start, or not be made for those that can.
Test(RoomIndex, refreshesAddUpToTheSameAsANewIndex) {
  std::mt19937 Random(1);
  std::vector<lead::ExecutorState> Executors(20);
  for (std::uint32_t Ordinal = 0; Ordinal < Executors.size(); ++Ordinal) {
    Executors[Ordinal].Ordinal_ = Ordinal;
    Executors[Ordinal].Info_.Pool_ = Ordinal % 2 == 0 ? "even" : "odd";
    Executors[Ordinal].Info_.Capacity_ = Capacity;
  }
  lead::RoomIndex Kept = indexOf(Executors);
  for (int I = 0; I < 2000; ++I) {
    lead::ExecutorState &Changed = Executors[Random() % Executors.size()];
    drawRuns(Changed, Random);
    refresh(Kept, Changed, true);
    if (I % 50 == 0)
      expectEqual(Kept, indexOf(Executors), Begin + Millis(Random() % 6000));
  }
}

// Guards against the room of an executor that has left the fleet.
Test(RoomIndex, aRemovedExecutorReleasesNothing) {
  std::mt19937 Random(2);
  lead::ExecutorState Executor;
  Executor.Info_.Pool_ = "pool";
  Executor.Info_.Capacity_ = Capacity;
  while (Executor.Runs_.size() < 4)
    drawRuns(Executor, Random);
  lead::RoomIndex Index;
  refresh(Index, Executor, true);
  cr_expect(isOpen(Index, 0));
  remove(Index, 0);
  cr_expect(!isOpen(Index, 0));
  cr_expect(openExecutors(Index).front().empty());
  for (const char *Customer : {"a", "b"})
    cr_expect(accountOf(Index, Customer, {}).Releases_.empty());
}

// --- The times of releases ---

// Guards against a limit that counts as free before the runs that hold it are expected to end.
Test(RoomIndex, aCustomersRoomIsNeverReleasedTooEarly) {
  for (int Ms = 0; Ms < 200; Ms += 7) {
    lead::ExecutorState Executor;
    lead::Run &Added = Executor.Runs_[{{"job", 0, 0, 0}, 1}];
    Added.Customer_ = "a";
    Added.Need_ = {1000, 100, 0};
    Added.CountedInUse_ = true;
    Added.ExpectedEndAt_ = Begin + Millis(Ms);
    lead::RoomIndex Index;
    refresh(Index, Executor, true);
    const lead::RoomAccount Account = accountOf(Index, "a", {});
    cr_assert_eq(Account.Releases_.size(), 1);
    cr_expect_geq(core::toMillis(Account.Releases_.front().At_ - Begin), Ms);
    cr_expect_lt(core::toMillis(Account.Releases_.front().At_ - Begin), Ms + 50);
  }
}
