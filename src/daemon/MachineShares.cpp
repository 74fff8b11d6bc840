#include "masticdrift/daemon/MachineShares.h"

#include <algorithm>

#include <sys/resource.h>

namespace masticdrift::daemon {

namespace {

/// Bounds for machines whose settings say something else.
constexpr std::int64_t MinMemoryMb = 32;
constexpr std::int64_t MinSockets = 64;
/// Descriptors that are not for sockets.
constexpr std::int64_t FileDescriptors = 200;

// Shares of the memory, in 64ths. 13 are left for the rest.
constexpr std::size_t MemoryParts = 64;
constexpr std::size_t CallerParts = 16;
constexpr std::size_t PeerParts = 12;
constexpr std::size_t ReadinessParts = 1;
constexpr std::size_t WorkParts = 16;
constexpr std::size_t RunParts = 6;
/// A run's record in the scheduler with its ids, and what waits to be sent for it.
constexpr std::size_t BytesPerRun = 1536;

/// Callers and other daemons have a server each with as many descriptors, so that neither can keep
/// the other out.
constexpr std::size_t ServerSocketDivisor = 4;
/// One connection a second asks for readiness.
constexpr std::size_t MaxReadinessConnections = 64;
constexpr std::size_t ReadinessSocketDivisor = 16;
/// Connections that are accepted or being closed beyond the limits of the servers.
constexpr std::size_t MaxTransientConnections = 128;
constexpr std::size_t TransientSocketDivisor = 16;

/// Requests of callers are small, and so are the answers. Other daemons send orders and reports of
/// some 10 kB over links with a delay of up to 16 ms.
constexpr std::size_t CallerBufferBytes = 8U << 10U;
constexpr std::size_t PeerBufferBytes = 16U << 10U;
constexpr std::size_t ReadinessBufferBytes = 4U << 10U;
/// The record of the request, and the handle and buffers of the call to the leader or the store
/// that is made for it.
constexpr std::size_t ServedCallerBytes = 24U << 10U;
constexpr std::size_t ServedPeerBytes = 8U << 10U;

} // namespace

MachineShares sharesOf(std::int64_t MemoryMb, std::int64_t MaxDescriptors) {
  const std::size_t Part =
      (static_cast<std::size_t>(std::max(MemoryMb, MinMemoryMb)) << 20U) / MemoryParts;
  const auto Sockets =
      static_cast<std::size_t>(std::max(MaxDescriptors - FileDescriptors, MinSockets));
  MachineShares Shares;
  Shares.Callers_ = {CallerParts * Part, Sockets / ServerSocketDivisor, ServedCallerBytes,
                     CallerBufferBytes};
  Shares.Peers_ = {PeerParts * Part, Sockets / ServerSocketDivisor, ServedPeerBytes,
                   PeerBufferBytes};
  Shares.Readiness_ = {ReadinessParts * Part,
                       std::min(Sockets / ReadinessSocketDivisor, MaxReadinessConnections), 0,
                       ReadinessBufferBytes};
  Shares.OutgoingConnections_ = Sockets - Shares.Callers_.Connections_ -
                                Shares.Peers_.Connections_ - Shares.Readiness_.Connections_ -
                                std::min(Sockets / TransientSocketDivisor, MaxTransientConnections);
  Shares.AcceptedWorkBytes_ = WorkParts * Part;
  return Shares;
}

std::size_t maxRuns(std::size_t WorkBytes) {
  return WorkBytes / WorkParts * RunParts / BytesPerRun;
}

std::int64_t raiseDescriptorLimit(std::int64_t Wanted) {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return Wanted;
  const auto Needed = static_cast<rlim_t>(std::max<std::int64_t>(Wanted, 0));
  if (Limit.rlim_cur >= Needed)
    return Wanted;
  const rlimit Raised{std::min(Needed, Limit.rlim_max), Limit.rlim_max};
  if (setrlimit(RLIMIT_NOFILE, &Raised) == 0)
    Limit = Raised;
  return static_cast<std::int64_t>(Limit.rlim_cur);
}

} // namespace masticdrift::daemon
