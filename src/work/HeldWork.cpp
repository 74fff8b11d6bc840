#include "masticdrift/work/HeldWork.h"

namespace masticdrift::work {

void HeldWork::add(std::string_view Customer, std::size_t Bytes) {
  if (Bytes == 0)
    return;
  Total_ += Bytes;
  const auto Found = ByCustomer_.find(Customer);
  if (Found == ByCustomer_.end())
    ByCustomer_.emplace(Customer, Bytes);
  else
    Found->second += Bytes;
}

void HeldWork::remove(std::string_view Customer, std::size_t Bytes) {
  const auto Found = ByCustomer_.find(Customer);
  if (Found == ByCustomer_.end())
    return;
  Total_ -= Bytes;
  Found->second -= Bytes;
  if (Found->second == 0)
    ByCustomer_.erase(Found);
}

std::size_t HeldWork::of(std::string_view Customer) const {
  const auto Found = ByCustomer_.find(Customer);
  return Found == ByCustomer_.end() ? 0 : Found->second;
}

} // namespace masticdrift::work
