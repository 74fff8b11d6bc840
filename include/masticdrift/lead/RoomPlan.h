/// \file
/// Room that one placement pass can still promise to waiting tasks.
///
/// A verdict of the advice service is only useful while a task can start with it. The plan holds
/// the free room of each executor and the free part of each customer's limit, with the time at
/// which running tasks are expected to release more. Waiting steps claim from it in the order in
/// which they would start, so that steps that cannot start soon request no advice.
#ifndef MASTICDRIFT_LEAD_ROOMPLAN_H
#define MASTICDRIFT_LEAD_ROOMPLAN_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticdrift::lead {

/// Resources that runs are expected to release.
struct RoomRelease {
  core::TimePoint At_;
  core::Resources Amount_;
};

/// Unclaimed room of one executor or customer. \c Free_ becomes negative when room is claimed that
/// is yet to be released.
struct RoomAccount {
  core::Resources Free_;
  /// After accumulateReleases(): in the order of time, each with the sum of the amounts up to it.
  std::vector<RoomRelease> Releases_;
};

/// Unclaimed room of all executors and customers.
struct RoomPlan {
  /// Unclaimed room of each executor, by ordinal, at the times by which steps ask for it. There are
  /// as many times as queues with different advice.
  std::map<core::TimePoint, std::vector<core::Resources>> Executors_;
  std::vector<core::Resources> Claimed_; ///< room that was claimed on each executor, by ordinal
  /// The customers with a limit that were asked for. Steps that are not ready claim nothing here:
  /// they may wait for much longer than expected.
  std::unordered_map<std::string, RoomAccount> Customers_;
  /// The same, with the claims of all steps; for those that are not ready.
  std::unordered_map<std::string, RoomAccount> CustomersAhead_;
};

/// Stands for the free room of a resource without a limit.
inline constexpr std::int64_t UnlimitedRoom = std::int64_t{1} << 50;

/// Prepares the releases of an account for slotsWithin().
void accumulateReleases(RoomAccount &Account);

/// \returns the unclaimed room of an account at time \p By.
core::Resources roomWithin(const RoomAccount &Account, core::TimePoint By);

/// \returns how many tasks fit into \p Room, at most \p MaxTasks.
std::uint32_t slotsIn(const core::Resources &Room, const core::Resources &Need,
                      std::uint32_t MaxTasks);

/// Determines how many tasks fit into an account at time \p By.
///
/// \param MaxTasks upper bound of the result.
/// \param Withheld room that the tasks must leave free.
/// \returns the number of tasks.
/// \remark Cost: logarithmic in the number of releases.
std::uint32_t slotsWithin(const RoomAccount &Account, const core::Resources &Need,
                          core::TimePoint By, std::uint32_t MaxTasks,
                          const core::Resources &Withheld = {});

/// Takes the room of \p Tasks tasks from an account.
void claim(RoomAccount &Account, const core::Resources &Need, std::uint32_t Tasks);

/// Takes the room of \p Tasks tasks from an executor.
void claim(RoomPlan &Plan, std::uint32_t Ordinal, const core::Resources &Need, std::uint32_t Tasks);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_ROOMPLAN_H
