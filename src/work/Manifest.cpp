#include "masticdrift/work/Manifest.h"

#include <algorithm>

namespace masticdrift::work {

const Queue *findQueue(const Manifest &In, std::string_view Host, std::string_view Path) {
  Host = Host.substr(0, Host.find(':'));
  const Queue *Best = nullptr;
  for (const Queue &One : In.Queues_)
    if (One.Host_ == Host && Path.starts_with(One.PathPrefix_) &&
        (Best == nullptr || One.PathPrefix_.size() > Best->PathPrefix_.size()))
      Best = &One;
  return Best;
}

const Queue *queueNamed(const Manifest &In, std::string_view Name) {
  const auto Found = std::ranges::find(In.Queues_, Name, &Queue::Name_);
  return Found == In.Queues_.end() ? nullptr : &*Found;
}

} // namespace masticdrift::work
