// The parts of a machine that clients may take.
#include "masticdrift/daemon/MachineShares.h"

#include <cstdint>

#include <criterion/criterion.h>

using namespace masticdrift::daemon;

namespace {

std::size_t memoryOf(const MachineShares &Shares) {
  return Shares.Callers_.HeldBytes_ + Shares.Peers_.HeldBytes_ + Shares.Readiness_.HeldBytes_ +
         Shares.AcceptedWorkBytes_;
}

std::size_t socketsOf(const MachineShares &Shares) {
  return Shares.Callers_.Connections_ + Shares.Peers_.Connections_ +
         Shares.Readiness_.Connections_ + Shares.OutgoingConnections_;
}

} // namespace

// Guards against shares that together exceed the machine: the servers had three quarters of the
// memory, and the connections of servers and client more descriptors than there are.
Test(MachineShares, togetherTheyLeaveRoomForTheRest) {
  struct Machine {
    std::int64_t MemoryMb_;
    std::int64_t Descriptors_;
  };
  for (const Machine Size : {Machine{96, 600}, Machine{160, 4100}, Machine{160, 8192},
                             Machine{260, 4100}, Machine{512, 8192}}) {
    const MachineShares Shares = sharesOf(Size.MemoryMb_, Size.Descriptors_);
    const auto Memory = static_cast<std::size_t>(Size.MemoryMb_) << 20U;
    cr_expect_leq(memoryOf(Shares), Memory / 4 * 3, "%ld MB", static_cast<long>(Size.MemoryMb_));
    cr_expect_lt(socketsOf(Shares), static_cast<std::size_t>(Size.Descriptors_ - 200),
                 "%ld descriptors", static_cast<long>(Size.Descriptors_));
  }
}

// Guards against machines that are too small for any connection.
Test(MachineShares, smallMachinesGetTheLeast) {
  const MachineShares Shares = sharesOf(0, 0);
  cr_expect_gt(Shares.Callers_.HeldBytes_, 0);
  cr_expect_gt(Shares.Callers_.Connections_, 0);
  cr_expect_gt(Shares.OutgoingConnections_, 0);
}
