#include "masticdrift/daemon/JobStateWaiters.h"

#include <algorithm>
#include <iterator>

namespace masticdrift::daemon {

protocol::JobStateReply jobStateReply(const work::JobTable &Ledger, std::string_view JobId) {
  const work::JobTableEntry *Job = Ledger.find(JobId);
  if (Job == nullptr)
    return {true, false, {}, 0, 0, {}};
  return {true,
          true,
          Job->Acceptance_.Customer_,
          static_cast<std::uint8_t>(Job->state()),
          static_cast<std::uint8_t>(Job->failureReason()),
          Job->Acceptance_.Queue_.Name_};
}

void JobStateWaiters::add(std::string JobId, core::TimePoint Deadline, ReplyCallback OnReply) {
  Waiters_.push_back({std::move(JobId), Deadline, std::move(OnReply)});
}

void JobStateWaiters::answerReady(const work::JobTable &Ledger, core::TimePoint Now) {
  const auto FirstReady =
      std::partition(Waiters_.begin(), Waiters_.end(), [&](const Waiter &Entry) {
        const work::JobTableEntry *Job = Ledger.find(Entry.JobId_);
        return Job != nullptr && !work::isFinal(Job->state()) && Now < Entry.Deadline_;
      });
  std::vector<Waiter> ReadyWaiters(std::make_move_iterator(FirstReady),
                                   std::make_move_iterator(Waiters_.end()));
  Waiters_.erase(FirstReady, Waiters_.end());
  // A callback may add the next query, so the ready ones were removed first.
  for (const Waiter &Entry : ReadyWaiters)
    Entry.OnReply_(jobStateReply(Ledger, Entry.JobId_));
}

} // namespace masticdrift::daemon
