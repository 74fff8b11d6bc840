/// \file
/// Memory that jobs take, in total and by customer.
#ifndef MASTICDRIFT_WORK_HELDWORK_H
#define MASTICDRIFT_WORK_HELDWORK_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace masticdrift::work {

/// Sums of what jobs take. All amounts are in bytes.
class HeldWork {
public:
  void add(std::string_view Customer, std::size_t Bytes);

  /// \param Bytes must have been added before.
  void remove(std::string_view Customer, std::size_t Bytes);

  std::size_t total() const { return Total_; }
  std::size_t of(std::string_view Customer) const;

private:
  std::size_t Total_ = 0;
  std::map<std::string, std::size_t, std::less<>> ByCustomer_;
};

} // namespace masticdrift::work

#endif // MASTICDRIFT_WORK_HELDWORK_H
