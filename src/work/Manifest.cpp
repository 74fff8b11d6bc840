#include "masticdrift/work/Manifest.h"

#include <algorithm>

namespace masticdrift::work {

const Queue *findQueue(const Manifest &Configuration, std::string_view Host,
                       std::string_view Path) {
  Host = Host.substr(0, Host.find(':'));
  const Queue *Best = nullptr;
  for (const Queue &Candidate : Configuration.Queues_)
    if (Candidate.Host_ == Host && Path.starts_with(Candidate.PathPrefix_) &&
        (Best == nullptr || Candidate.PathPrefix_.size() > Best->PathPrefix_.size()))
      Best = &Candidate;
  return Best;
}

const Queue *findQueueByName(const Manifest &Configuration, std::string_view Name) {
  const auto Position = std::ranges::find(Configuration.Queues_, Name, &Queue::Name_);
  return Position == Configuration.Queues_.end() ? nullptr : &*Position;
}

} // namespace masticdrift::work
