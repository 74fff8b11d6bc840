/// \file
/// Resource amounts of workers and tasks.
#ifndef MASTICDRIFT_CORE_RESOURCES_H
#define MASTICDRIFT_CORE_RESOURCES_H

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <msgpack.hpp>

namespace masticdrift::core {

/// Cores, memory and accelerators of a worker or a task. The amounts are integers so that sums are
/// exact.
struct Resources {
  std::int64_t MilliCores_ = 0; ///< thousandths of a core
  std::int64_t MemoryMb_ = 0;   ///< mebibytes
  std::int64_t Accelerators_ = 0;
  MSGPACK_DEFINE_ARRAY(MilliCores_, MemoryMb_, Accelerators_)

  bool operator==(const Resources &) const = default;

  Resources &operator+=(const Resources &Other) {
    MilliCores_ += Other.MilliCores_;
    MemoryMb_ += Other.MemoryMb_;
    Accelerators_ += Other.Accelerators_;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    MilliCores_ -= Other.MilliCores_;
    MemoryMb_ -= Other.MemoryMb_;
    Accelerators_ -= Other.Accelerators_;
    return *this;
  }
  friend Resources operator+(Resources A, const Resources &B) { return A += B; }
  friend Resources operator-(Resources A, const Resources &B) { return A -= B; }
  friend Resources operator*(Resources A, std::int64_t Factor) {
    return {A.MilliCores_ * Factor, A.MemoryMb_ * Factor, A.Accelerators_ * Factor};
  }
};

/// Number of resource kinds; amounts() and ResourceNames list them in the same order.
inline constexpr std::size_t ResourceKinds = 3;
inline constexpr std::array<std::string_view, ResourceKinds> ResourceNames{"cores", "memory_mb",
                                                                           "accelerators"};

/// \returns the amounts in the order of ResourceNames (cores in thousandths of a core).
constexpr std::array<std::int64_t, ResourceKinds> amounts(const Resources &Value) {
  return {Value.MilliCores_, Value.MemoryMb_, Value.Accelerators_};
}

/// \returns true when \p Required is at most \p Available for every resource kind.
constexpr bool fits(const Resources &Required, const Resources &Available) {
  return Required.MilliCores_ <= Available.MilliCores_ &&
         Required.MemoryMb_ <= Available.MemoryMb_ &&
         Required.Accelerators_ <= Available.Accelerators_;
}

/// \returns the larger amount of each resource kind.
constexpr Resources max(const Resources &A, const Resources &B) {
  return {std::max(A.MilliCores_, B.MilliCores_), std::max(A.MemoryMb_, B.MemoryMb_),
          std::max(A.Accelerators_, B.Accelerators_)};
}

} // namespace masticdrift::core

#endif // MASTICDRIFT_CORE_RESOURCES_H
