#include "masticdrift/lead/RoomIndex.h"

#include <algorithm>

namespace masticdrift::lead {

namespace {

/// Releases of customers are kept by times this far apart: estimates of a run's end vary by more
/// from report to report.
constexpr core::Millis CustomerReleaseGrid{50};

core::TimePoint roundUp(core::TimePoint At) {
  const core::Duration Grid = CustomerReleaseGrid;
  const core::Duration Since = At.time_since_epoch();
  return core::TimePoint((Since + Grid - core::Duration(1)) / Grid * Grid);
}

void withdraw(const ReleaseOfCustomer &Entry) {
  const auto Found = Entry.Customer_->find(Entry.At_);
  Found->second.Amount_ -= Entry.Amount_;
  if (--Found->second.Runs_ == 0)
    Entry.Customer_->erase(Found);
}

void add(const ReleaseOfCustomer &Entry) {
  CustomerRelease &Release = (*Entry.Customer_)[Entry.At_];
  Release.Amount_ += Entry.Amount_;
  ++Release.Runs_;
}

/// Replaces what the executor adds to the releases of customers. Runs are in the same order each
/// time, so that most entries stay as they are.
void setReleasesOfCustomers(ExecutorRoom &Room, std::vector<ReleaseOfCustomer> Entries) {
  auto &Previous = Room.OfCustomers_;
  for (std::size_t I = 0; I < std::max(Previous.size(), Entries.size()); ++I) {
    if (I < Previous.size() && I < Entries.size() && Previous[I] == Entries[I])
      continue;
    if (I < Previous.size())
      withdraw(Previous[I]);
    if (I < Entries.size())
      add(Entries[I]);
  }
  Previous = std::move(Entries);
}

} // namespace

void refresh(RoomIndex &Index, const ExecutorState &Executor, bool Open) {
  if (Index.Executors_.size() <= Executor.Ordinal_)
    Index.Executors_.resize(Executor.Ordinal_ + 1);
  ExecutorRoom &Room = Index.Executors_[Executor.Ordinal_];
  Room.Open_ = Open;
  Room.Silent_ = Executor.Silent_;
  Room.Pool_ = Index.Pools_.try_emplace(Executor.Info_.Pool_, Index.Pools_.size()).first->second;
  Room.Account_.Free_ = Executor.Info_.Capacity_ - Executor.Used_;
  Room.Account_.Releases_.clear();
  std::vector<ReleaseOfCustomer> OfCustomers;
  for (const auto &[Key, ActiveRun] : Executor.Runs_) {
    // A run on an executor that does not answer counts as over when the lease ends.
    const core::TimePoint EndAt = Executor.Silent_
                                      ? std::min(ActiveRun.ExpectedEndAt_, Executor.LeaseEnd_)
                                      : ActiveRun.ExpectedEndAt_;
    if (EndAt == core::TimePoint::max() || !ActiveRun.CountedInUse_)
      continue;
    RoomRelease Release{EndAt, ActiveRun.Need_};
    OfCustomers.push_back(
        {&Index.Customers_[ActiveRun.Customer_], roundUp(EndAt), Release.Amount_});
    if (ActiveRun.Fills_)
      Release.Amount_.MilliCores_ = 0;
    Room.Account_.Releases_.push_back(Release);
  }
  accumulateReleases(Room.Account_);
  setReleasesOfCustomers(Room, std::move(OfCustomers));
}

void remove(RoomIndex &Index, std::uint32_t Ordinal) {
  if (Ordinal >= Index.Executors_.size())
    return;
  setReleasesOfCustomers(Index.Executors_[Ordinal], {});
  Index.Executors_[Ordinal] = {};
}

std::vector<std::vector<std::uint32_t>> openExecutors(const RoomIndex &Index) {
  std::vector<std::vector<std::uint32_t>> Open(Index.Pools_.size());
  for (std::uint32_t Ordinal = 0; Ordinal < Index.Executors_.size(); ++Ordinal)
    if (const ExecutorRoom &Room = Index.Executors_[Ordinal]; Room.Open_)
      Open[Room.Pool_].push_back(Ordinal);
  return Open;
}

std::vector<core::Resources> roomOfExecutors(const RoomIndex &Index,
                                             std::span<const core::Resources> Claimed,
                                             core::TimePoint By) {
  std::vector<core::Resources> Rooms(Index.Executors_.size());
  for (std::size_t Ordinal = 0; Ordinal < Rooms.size(); ++Ordinal)
    Rooms[Ordinal] = roomWithin(Index.Executors_[Ordinal].Account_, By) - Claimed[Ordinal];
  return Rooms;
}

RoomAccount accountOf(const RoomIndex &Index, const std::string &Customer,
                      const core::Resources &Free) {
  RoomAccount Account{Free, {}};
  if (const auto Found = Index.Customers_.find(Customer); Found != Index.Customers_.end())
    for (const auto &[At, Release] : Found->second)
      Account.Releases_.push_back({At, Release.Amount_});
  accumulateReleases(Account);
  return Account;
}

} // namespace masticdrift::lead
