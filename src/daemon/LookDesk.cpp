#include "masticdrift/daemon/LookDesk.h"

#include <algorithm>
#include <iterator>

namespace masticdrift::daemon {

protocol::LookReply lookedUp(const work::JobTable &Known, std::string_view Job) {
  const work::JobTableEntry *Found = Known.find(Job);
  if (Found == nullptr)
    return {true, false, {}, 0};
  return {true, true, Found->Acceptance_.Customer_, static_cast<std::uint8_t>(Found->state())};
}

void LookDesk::wait(std::string Job, core::TimePoint Until, Done Answer) {
  Looks_.push_back({std::move(Job), Until, std::move(Answer)});
}

void LookDesk::settle(const work::JobTable &Known, core::TimePoint Now) {
  const auto Due = std::partition(Looks_.begin(), Looks_.end(), [&](const Look &One) {
    const work::JobTableEntry *Job = Known.find(One.Job_);
    return Job != nullptr && !work::isFinal(Job->state()) && Now < One.Until_;
  });
  std::vector<Look> Answered(std::make_move_iterator(Due), std::make_move_iterator(Looks_.end()));
  Looks_.erase(Due, Looks_.end());
  // An answer may bring the next look.
  for (const Look &One : Answered)
    One.Answer_(lookedUp(Known, One.Job_));
}

} // namespace masticdrift::daemon
