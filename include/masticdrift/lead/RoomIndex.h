/// \file
/// What the runs of each executor and customer will release, and which executors accept runs. Kept
/// up to date executor by executor, so that a placement pass reads only what has changed.
#ifndef MASTICDRIFT_LEAD_ROOMINDEX_H
#define MASTICDRIFT_LEAD_ROOMINDEX_H

#include "masticdrift/lead/Model.h"
#include "masticdrift/lead/RoomPlan.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticdrift::lead {

/// Resources that the runs of a customer are expected to release at one time.
struct CustomerRelease {
  core::Resources Amount_;
  std::uint32_t Runs_ = 0;
};

/// The releases of one customer.
using CustomerReleases = std::map<core::TimePoint, CustomerRelease>;

/// What one run adds to the releases of its customer.
struct ReleaseOfCustomer {
  CustomerReleases *Customer_ = nullptr;
  core::TimePoint At_;
  core::Resources Amount_;

  bool operator==(const ReleaseOfCustomer &) const = default;
};

/// Room of one executor as of its last refresh.
struct ExecutorRoom {
  RoomAccount Account_;
  bool Open_ = false;                          ///< accepts new runs
  bool Silent_ = false;                        ///< its runs count as over when their lease ends
  std::uint32_t Pool_ = 0;                     ///< index of the pool's name
  std::vector<ReleaseOfCustomer> OfCustomers_; ///< in the order of the runs
};

/// Room of all executors.
struct RoomIndex {
  std::vector<ExecutorRoom> Executors_; ///< by ordinal
  /// By name. Entries stay, because executors refer to them.
  std::unordered_map<std::string, CustomerReleases> Customers_;
  std::map<std::string, std::uint32_t, std::less<>> Pools_; ///< indexes by name
};

/// Takes over the present state of an executor.
///
/// \param Open true when the executor accepts new runs.
void refresh(RoomIndex &Index, const ExecutorState &Executor, bool Open);

/// Removes an executor that is not tracked any more.
void remove(RoomIndex &Index, std::uint32_t Ordinal);

/// \returns true when the executor accepted new runs at its last refresh.
inline bool isOpen(const RoomIndex &Index, std::uint32_t Ordinal) {
  return Ordinal < Index.Executors_.size() && Index.Executors_[Ordinal].Open_;
}

/// \returns the ordinals of the executors of each pool that accept runs, by the pool's index.
std::vector<std::vector<std::uint32_t>> openExecutors(const RoomIndex &Index);

/// \returns the unclaimed room of all executors at time \p By, by ordinal.
std::vector<core::Resources> roomOfExecutors(const RoomIndex &Index,
                                             std::span<const core::Resources> Claimed,
                                             core::TimePoint By);

/// \returns an account with the releases of a customer.
RoomAccount accountOf(const RoomIndex &Index, const std::string &Customer,
                      const core::Resources &Free);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_ROOMINDEX_H
