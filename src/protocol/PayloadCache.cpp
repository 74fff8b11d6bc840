#include "masticdrift/protocol/PayloadCache.h"

#include <algorithm>
#include <utility>

namespace masticdrift::protocol {

namespace {

/// Interval between removals of payloads that are no longer used.
constexpr core::Millis CleanInterval{1000};

bool isStart(const RelayedOrder &Order) {
  return static_cast<RelayKind>(Order.Kind_) == RelayKind::Start;
}

} // namespace

void SentPayloads::extract(OrdersRequest &Batch, core::TimePoint Now) {
  std::erase_if(LastUsedAt_,
                [Now](const auto &Entry) { return Now - Entry.second > PayloadReuse; });
  for (RelayedOrder &Order : Batch.Orders_) {
    if (!isStart(Order))
      continue;
    std::string Payload = std::exchange(Order.Order_.Payload_, {});
    const auto [Entry, Added] = LastUsedAt_.insert_or_assign(Order.Order_.Task_.Job_, Now);
    if (Added)
      Batch.Payloads_[Entry->first] = std::move(Payload);
  }
}

std::vector<RelayedOrder> ReceivedPayloads::restore(OrdersRequest &Batch, core::TimePoint Now) {
  for (auto &[Job, Text] : Batch.Payloads_)
    Payloads_[Job] = {std::move(Text), Now};
  std::vector<RelayedOrder> Incomplete;
  std::erase_if(Batch.Orders_, [&](RelayedOrder &Order) {
    if (!isStart(Order))
      return false;
    const auto Found = Payloads_.find(Order.Order_.Task_.Job_);
    if (Found == Payloads_.end()) {
      Incomplete.push_back(std::move(Order));
      return true;
    }
    Found->second.LastUsedAt_ = Now;
    Order.Order_.Payload_ = Found->second.Text_;
    return false;
  });
  if (Now - CleanedAt_ >= CleanInterval) {
    CleanedAt_ = Now;
    std::erase_if(Payloads_, [Now](const auto &Entry) {
      return Now - Entry.second.LastUsedAt_ > PayloadRetention;
    });
  }
  return Incomplete;
}

} // namespace masticdrift::protocol
