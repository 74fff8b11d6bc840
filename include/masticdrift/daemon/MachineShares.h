/// \file
/// Divides the memory and the descriptors of a daemon's machine among all that clients make it
/// hold.
#ifndef MASTICDRIFT_DAEMON_MACHINESHARES_H
#define MASTICDRIFT_DAEMON_MACHINESHARES_H

#include <cstddef>
#include <cstdint>

namespace masticdrift::daemon {

/// Part of the machine that one server may take.
struct ServerShare {
  std::size_t HeldBytes_ = 0;          ///< of its connections, their requests, answers and buffers
  std::size_t Connections_ = 0;        ///< open at the same time
  std::size_t ServedRequestBytes_ = 0; ///< a request beside its content, while it is served
  std::size_t BufferBytes_ = 0;        ///< each of the kernel's two buffers of a connection
};

/// Parts of the machine. What is left of the memory is for the program itself, the state of the
/// executors and the answers to its own calls; what is left of the descriptors for files.
struct MachineShares {
  ServerShare Callers_;
  ServerShare Readiness_;
  ServerShare Peers_;
  std::size_t OutgoingConnections_ = 0; ///< to executors, the platform and other daemons
  std::size_t AcceptedWorkBytes_ = 0;   ///< of all jobs that are known
};

/// \returns how many runs a leader may have beside jobs that take up to \p WorkBytes.
std::size_t maxRuns(std::size_t WorkBytes);

/// \param MemoryMb memory of the machine, in megabytes.
/// \param MaxDescriptors descriptors of the process.
MachineShares sharesOf(std::int64_t MemoryMb, std::int64_t MaxDescriptors);

/// Raises the process's own limit of descriptors to \p Wanted, as far as that needs no privileges.
///
/// \returns how many descriptors the process may open, at most \p Wanted.
std::int64_t raiseDescriptorLimit(std::int64_t Wanted);

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_MACHINESHARES_H
