// How fast ended jobs leave the log.
#include "masticdrift/daemon/Retention.h"

#include <criterion/criterion.h>

using namespace masticdrift;

// Guards against entries of ended jobs that only grow: 200 jobs in five seconds are fewer than a
// deployment of 147 instances accepts (56 a second).
Test(Retention, aBacklogIsRemovedFasterThanJobsAreAccepted) {
  constexpr std::size_t AcceptedPerSecond = 56;
  const auto Pause =
      static_cast<std::size_t>(daemon::pauseAfterRemoval(daemon::MaxJobsPerRemoval).count());
  cr_expect_gt(daemon::MaxJobsPerRemoval * 1000, 2 * AcceptedPerSecond * Pause);
}

// Guards against calls to the store that remove one job each.
Test(Retention, fewJobsAreRemovedTogether) {
  cr_expect_geq(daemon::pauseAfterRemoval(daemon::MaxJobsPerRemoval - 1).count(), 5000);
  cr_expect_geq(daemon::pauseAfterRemoval(0).count(), 5000);
}
