/// \file
/// Scheduler's view of one failure domain: workers, placements and reservations.
///
/// Modify the view only through the functions below: they keep the resource totals and the index of
/// free resources consistent. The view is a plain value. The owner rebuilds it by replay, and
/// callers may work on a copy to evaluate alternatives.
#ifndef MASTICDRIFT_POLICY_CELL_H
#define MASTICDRIFT_POLICY_CELL_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Resources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticdrift::policy {

using core::Duration;
using core::Resources;
using core::TimePoint;

/// Kind of work: a service runs without an end, batch tasks start independently of each other, and
/// the tasks of a gang start together.
enum class JobKind : std::uint8_t { Service, Batch, Gang };

/// Health of a worker. A quarantined worker gets no tasks; a probing worker gets one idempotent
/// batch task at a time.
enum class Health : std::uint8_t { Healthy, Quarantined, Probing };

/// How a placement is made to free resources, in order of preference.
enum class PreemptionMethod : std::uint8_t { Checkpoint, Throttle, Stop };

/// Index into CellView::Workers_; never reused.
using WorkerIndex = std::uint32_t;
/// Index into CellView::Placements_; reused after release().
using PlacementIndex = std::uint32_t;

/// A task placed on a worker.
struct Placement {
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::string Team_;
  std::string Family_;
  JobKind Kind_ = JobKind::Batch;
  bool Urgent_ = false;
  bool Checkpointable_ = false;
  bool Throttleable_ = false;
  bool Idempotent_ = true; ///< if false, the task is never stopped for other work
  Resources Size_;         ///< allocated on the worker; lowered when the task is throttled
  Resources FullSize_;     ///< size before throttling
  TimePoint Started_;
  TimePoint ExpectedEnd_ = TimePoint::max(); ///< TimePoint::max() for services
  WorkerIndex Worker_ = 0;
  /// Preemption that the worker has not yet confirmed.
  std::optional<PreemptionMethod> PendingPreemption_;
  bool Throttled_ = false;
  bool InUse_ = false; ///< false when the entry can be reused
};

/// Resources of one worker that are reserved for a waiting job.
struct WorkerReservation {
  std::string Job_;
  Resources Amount_;
  /// Backfill: other tasks may use the resources if they end by this time.
  TimePoint Until_;
  /// Disables backfill. Set when the reservation is older than DecideLimits::ExclusiveAfter_.
  bool Exclusive_ = false;
  bool Urgent_ = false;
};

/// A worker, its resources and the tasks placed on it.
struct Worker {
  std::string Name_;
  std::string Rack_;
  Resources Capacity_;
  Resources Used_;
  Health Health_ = Health::Healthy;
  bool Leaving_ = false;
  bool Present_ = true; ///< false after removeWorker()
  std::vector<PlacementIndex> Placements_;
  std::vector<WorkerReservation> Reserved_;
  std::uint32_t BucketIndex_ = UINT32_MAX; ///< index into FreeIndex; UINT32_MAX: not indexed
  std::uint32_t PositionInBucket_ = 0;     ///< index within the bucket
};

namespace detail {

/// Index of workers by free accelerators, by the free amount of the scarce resource and by that of
/// the other one (cores or memory).
///
/// Amounts fall into 48 logarithmic buckets, about four per power of two, so that a search skips
/// workers that are too full without examining them.
struct FreeIndex {
  static constexpr std::uint32_t BucketsPerKind = 48;
  static constexpr std::uint32_t AcceleratorLevels = 17;  ///< 0 to 15, and 16 or more
  std::vector<std::vector<WorkerIndex>> WorkersByBucket_; ///< [level][scarce][other]
  std::array<std::array<std::uint64_t, BucketsPerKind>, AcceleratorLevels>
      NonEmptyOther_{}; ///< bit per bucket of the other resource
  std::array<std::uint64_t, AcceleratorLevels> NonEmptyScarce_{}; ///< bit per scarce bucket
};

} // namespace detail

/// Workers and placements of one failure domain.
struct CellView {
  std::vector<Worker> Workers_;
  std::unordered_map<std::string, WorkerIndex> WorkersByName_;
  std::vector<Placement> Placements_;
  std::vector<PlacementIndex> FreePlacements_;
  std::unordered_map<std::string, std::map<std::uint32_t, PlacementIndex>> ByJob_;
  std::map<std::string, std::vector<WorkerIndex>, std::less<>> Racks_;
  Resources Capacity_; ///< capacity of the workers that accept new work, see acceptsWork()
  Resources Used_;     ///< resources used by all placements
  std::uint32_t PresentWorkers_ = 0;
  std::set<WorkerIndex> Probing_;
  /// Number of tasks per service and rack, for spreading services over racks.
  std::unordered_map<std::string, std::map<std::string, std::uint32_t>> ServiceRacks_;
  /// Resource by which the index is ordered first: 0 is cores, 1 is memory.
  std::size_t ScarceResource_ = 0;
  detail::FreeIndex Index_;
  /// Log of the workers on which resources became free, oldest first. A shape that did not fit is
  /// retried only on these workers. FreedLogStart_ is the sequence number of the first entry.
  std::vector<WorkerIndex> FreedLog_;
  std::uint64_t FreedLogStart_ = 0;
};

/// Adds a worker, or updates the rack, capacity and leaving state of a known one.
/// \returns the worker's index.
WorkerIndex addWorker(CellView &Cell, std::string_view Name, std::string_view Rack,
                      const Resources &Capacity, bool Leaving = false);

/// Removes a worker from the cell. Its placements stay until the caller releases them, because the
/// tasks may run on until the worker's lease expires.
void removeWorker(CellView &Cell, std::string_view Name);

void setLeaving(CellView &Cell, WorkerIndex Index, bool Leaving);
void setHealth(CellView &Cell, WorkerIndex Index, Health NewHealth);

std::optional<WorkerIndex> findWorker(const CellView &Cell, std::string_view Name);

/// Adds a placement that was decided here, replayed, or reported by a worker. Free resources are
/// not checked: a task that a worker reports as running is counted even if the worker is then
/// overcommitted.
/// \param NewPlacement all fields except Worker_ and InUse_.
/// \returns the index of the placement; that of the existing one if (job, task) is already placed.
PlacementIndex place(CellView &Cell, WorkerIndex HostIndex, Placement NewPlacement);

/// Removes a placement after its task ended or its worker's lease expired.
/// \returns the removed placement, or nothing if (job, task) is not placed.
std::optional<Placement> release(CellView &Cell, std::string_view Job, std::uint32_t Task);

/// Reverts a place() of the same decision without adding an entry to CellView::FreedLog_.
void undoPlace(CellView &Cell, std::string_view Job, std::uint32_t Task);

/// Records that a worker throttled a task, and frees the resources above throttledSize().
void applyThrottle(CellView &Cell, std::string_view Job, std::uint32_t Task);

/// Records that a preemption was refused or its answer was lost; the task may be preempted again.
void preemptFailed(CellView &Cell, std::string_view Job, std::uint32_t Task);

const Placement *findPlacement(const CellView &Cell, std::string_view Job, std::uint32_t Task);

/// Returns what a throttled task keeps: all memory and accelerators, and a quarter of the cores.
Resources throttledSize(const Resources &Full);

inline Resources freeOf(const Worker &Host) { return Host.Capacity_ - Host.Used_; }

/// Returns whether new tasks may be placed on \p Host.
inline bool acceptsWork(const Worker &Host) {
  return Host.Present_ && !Host.Leaving_ && Host.Health_ == Health::Healthy;
}

/// Returns the sequence number of the next entry of CellView::FreedLog_.
inline std::uint64_t freedLogEnd(const CellView &Cell) {
  return Cell.FreedLogStart_ + Cell.FreedLog_.size();
}

/// Records in CellView::FreedLog_ that resources became free on a worker.
void recordFreed(CellView &Cell, WorkerIndex Index);

/// Reserves resources of a worker for the job named in \p NewReservation.
void reserve(CellView &Cell, WorkerIndex HostIndex, WorkerReservation NewReservation);
/// Drops all reservations of \p Job on a worker.
void unreserve(CellView &Cell, WorkerIndex HostIndex, std::string_view Job);

/// Selects the resource by which tasks are packed: cores or memory, whichever has the higher
/// utilization. Rebuilds the index if the selection changes.
/// Cost: linear in the number of workers for a rebuild, constant otherwise.
void updateScarceResource(CellView &Cell);

/// Returns the highest utilization of the three resources, as a fraction of the capacity.
double utilization(const CellView &Cell);

/// Checks the invariants of the view; for tests.
/// \returns a description of every violation; empty if there is none.
/// Cost: linear in the number of workers and placements.
std::string checkCell(const CellView &Cell);

namespace detail {

/// Returns the bucket of an amount: exact below 4, then four buckets per power of two.
std::uint32_t bucketOf(std::int64_t Units);
/// Returns the buckets of \p Amount for the scarce resource and for the other one.
std::pair<std::uint32_t, std::uint32_t> bucketsOf(const CellView &Cell, const Resources &Amount);
/// Returns the index level for a number of accelerators, see FreeIndex::AcceleratorLevels.
std::uint32_t levelOf(std::int64_t Accelerators);

} // namespace detail

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_CELL_H
