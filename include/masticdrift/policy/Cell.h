/// \file
/// The view of one failure domain on which placements are decided.
///
/// All changes go through the functions below, because they keep the sums and the index of free
/// amounts. The view is a plain value: the owner rebuilds it by replay, and a copy may be used for
/// trials.
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

enum class JobKind : std::uint8_t { Service, Batch, Gang };

/// Whether a worker gets work. A quarantined worker gets none; a probing worker gets one idempotent
/// batch task at a time.
enum class Health : std::uint8_t { Healthy, Quarantined, Probing };

/// How a placement frees room, in the order of preference.
enum class PreemptionMethod : std::uint8_t { Checkpoint, Throttle, Stop };

/// Index of a worker in CellView::Workers_; not reused.
using WorkerIndex = std::uint32_t;
/// Index of a placement in CellView::Placements_; reused after release().
using PlacementIndex = std::uint32_t;

/// One task on one worker.
struct Placement {
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::string Team_;
  std::string Family_;
  JobKind Kind_ = JobKind::Batch;
  bool Urgent_ = false;
  bool Checkpointable_ = false;
  bool Throttleable_ = false;
  bool Idempotent_ = true; ///< a task that is not is never stopped for other work
  Resources Size_;         ///< reserved on the worker; lowered when the task is throttled
  Resources FullSize_;     ///< size before throttling
  TimePoint Started_;
  TimePoint ExpectedEnd_ = TimePoint::max(); ///< max for services
  WorkerIndex Worker_ = 0;
  std::optional<PreemptionMethod> PendingPreemption_; ///< decided, not confirmed by the worker yet
  bool Throttled_ = false;
  bool InUse_ = false; ///< false when the entry is free
};

/// Room kept on a worker for a waiting job.
struct WorkerReservation {
  std::string Job_;
  Resources Amount_;
  /// Other work may use the room if it ends before this time.
  TimePoint Until_;
  /// No other work may use the room; set when the reservation is old.
  bool Exclusive_ = false;
  bool Urgent_ = false;
};

struct Worker {
  std::string Name_;
  std::string Rack_;
  Resources Capacity_;
  Resources Used_;
  Health Health_ = Health::Healthy;
  bool Leaving_ = false;
  bool Present_ = true; ///< false after removeWorker
  std::vector<PlacementIndex> Placements_;
  std::vector<WorkerReservation> Reserved_;
  std::uint32_t BucketIndex_ = UINT32_MAX; ///< place in the index, see FreeIndex
  std::uint32_t PositionInBucket_ = 0;     ///< within the bucket
};

namespace detail {

/// Workers by free accelerators, free amount of the scarce resource and of the other one.
///
/// Amounts fall into 48 buckets of about a quarter octave, so that a search skips all workers that
/// are too full without touching them.
struct FreeIndex {
  static constexpr std::uint32_t BucketsPerKind = 48;
  static constexpr std::uint32_t AcceleratorLevels = 17;  ///< 0 to 15, and 16 or more
  std::vector<std::vector<WorkerIndex>> WorkersByBucket_; ///< [level][scarce][other]
  std::array<std::array<std::uint64_t, BucketsPerKind>, AcceleratorLevels>
      NonEmptyOther_{};                                           ///< bits: other
  std::array<std::uint64_t, AcceleratorLevels> NonEmptyScarce_{}; ///< bits: scarce
};

} // namespace detail

/// The workers and placements of one failure domain.
struct CellView {
  std::vector<Worker> Workers_;
  std::unordered_map<std::string, WorkerIndex> WorkersByName_;
  std::vector<Placement> Placements_;
  std::vector<PlacementIndex> FreePlacements_;
  std::unordered_map<std::string, std::map<std::uint32_t, PlacementIndex>> ByJob_;
  std::map<std::string, std::vector<WorkerIndex>, std::less<>> Racks_;
  Resources Capacity_; ///< of present workers that are not leaving and not quarantined
  Resources Used_;     ///< of all placements
  std::uint32_t Present_ = 0;
  std::set<WorkerIndex> Probing_;
  /// Tasks of each service per rack, to spread them.
  std::unordered_map<std::string, std::map<std::string, std::uint32_t>> ServiceRacks_;
  /// Kind of resource (0 cores, 1 memory) by which the index is ordered.
  std::size_t ScarceResource_ = 0;
  detail::FreeIndex Index_;
  /// Workers on which room appeared, in order, so that a shape of work that did not fit is tried
  /// only on these. FreedLogStart_ is the number of the first entry.
  std::vector<WorkerIndex> FreedLog_;
  std::uint64_t FreedLogStart_ = 0;
};

/// Adds a worker or updates the capacity, rack and leaving state of a known one.
WorkerIndex addWorker(CellView &Cell, std::string_view Name, std::string_view Rack,
                      const Resources &Capacity, bool Leaving = false);

/// Takes a worker out of the cell. Its placements stay until the caller releases them, because the
/// tasks may still run until the worker's lease ends.
void removeWorker(CellView &Cell, std::string_view Name);

void setLeaving(CellView &Cell, WorkerIndex Index, bool Leaving);
void setHealth(CellView &Cell, WorkerIndex Index, Health NewHealth);

std::optional<WorkerIndex> findWorker(const CellView &Cell, std::string_view Name);

/// Adds a placement, whether decided here or found by replay or on the worker. Room is not checked:
/// what a worker reports as running is counted even if it overfills the worker.
/// \param What all fields but Worker_ and InUse_.
/// \returns its index; the existing one when (job, task) is already placed.
PlacementIndex place(CellView &Cell, WorkerIndex HostIndex, Placement NewPlacement);

/// Removes a placement after its task ended or its worker's lease is over.
/// \returns the removed placement, or nothing when (job, task) is not placed.
std::optional<Placement> release(CellView &Cell, std::string_view Job, std::uint32_t Task);

/// Undoes a place() of the same decision; notes no freed room.
void undoPlace(CellView &Cell, std::string_view Job, std::uint32_t Task);

/// Confirms that a worker throttled a task; frees the room above throttledSize().
void applyThrottle(CellView &Cell, std::string_view Job, std::uint32_t Task);

/// Records that a preemption was refused or its answer lost; the task may be chosen again.
void preemptFailed(CellView &Cell, std::string_view Job, std::uint32_t Task);

const Placement *findPlacement(const CellView &Cell, std::string_view Job, std::uint32_t Task);

/// \returns what a throttled task keeps: all memory and accelerators, a quarter of the cores.
Resources throttledSize(const Resources &Full);

inline Resources freeOf(const Worker &Host) { return Host.Capacity_ - Host.Used_; }

/// \returns true when new work may be placed on \p One.
inline bool acceptsWork(const Worker &Host) {
  return Host.Present_ && !Host.Leaving_ && Host.Health_ == Health::Healthy;
}

/// \returns the number of the next entry of CellView::FreedLog_.
inline std::uint64_t freedLogEnd(const CellView &Cell) {
  return Cell.FreedLogStart_ + Cell.FreedLog_.size();
}

/// Records that room appeared on a worker.
void recordFreed(CellView &Cell, WorkerIndex Index);

/// Keeps \p Part on a worker for \p Job.
void reserve(CellView &Cell, WorkerIndex HostIndex, WorkerReservation NewReservation);
/// Drops all parts of \p Job on a worker.
void unreserve(CellView &Cell, WorkerIndex HostIndex, std::string_view Job);

/// Chooses the kind of resource by which work is packed: the one (cores or memory) of which the
/// larger part is used. Rebuilds the index when the choice changes. Cost: constant otherwise.
void updateScarceResource(CellView &Cell);

/// \returns part of the capacity of the scarcest resource (of all three) that is used.
double utilization(const CellView &Cell);

/// \returns the reasons why the view contradicts itself, empty when it is sound. For tests. Cost:
/// linear.
std::string checkCell(const CellView &Cell);

namespace detail {

std::uint32_t bucketOf(std::int64_t Units);
/// Bucket of the scarce and of the other kind for an amount.
std::pair<std::uint32_t, std::uint32_t> bucketsOf(const CellView &Cell, const Resources &Amount);
std::uint32_t levelOf(std::int64_t Accelerators);

} // namespace detail

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_CELL_H
