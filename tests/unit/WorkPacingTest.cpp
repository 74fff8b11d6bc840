// The share of the processor that passes of the scheduler take under a backlog.
#include "masticdrift/daemon/WorkPacing.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

namespace {

/// Does work that takes \p Cost whenever it is allowed, in rounds 30 ms apart.
/// \returns the share of the time that it took.
double shareOf(Millis Cost) {
  constexpr Millis RoundInterval{30};
  daemon::WorkPacing Pacing;
  const core::TimePoint Begin{std::chrono::hours(1)};
  core::TimePoint Now = Begin;
  core::Duration Worked{0};
  while (Now - Begin < std::chrono::seconds(60)) {
    if (daemon::mayWork(Pacing, Now)) {
      daemon::noteWork(Pacing, Now, Now + Cost);
      Worked += Cost;
      Now += Cost;
    }
    Now += RoundInterval;
  }
  return std::chrono::duration<double>(Worked) / std::chrono::duration<double>(Now - Begin);
}

} // namespace

// Guards against a leader whose passes take the processor from answers: the more tasks wait, the
// longer a pass takes, and answers that wait for it count as lost and make more tasks wait.
Test(WorkPacing, longPassesLeaveHalfOfTheTime) {
  for (const int CostMs : {5, 20, 40, 60})
    cr_expect_leq(shareOf(Millis(CostMs)), 0.5, "%d ms", CostMs);
}

// Guards against tasks that wait for a pass although there is hardly any work.
Test(WorkPacing, shortPassesAreNotHeldBack) {
  daemon::WorkPacing Pacing;
  const core::TimePoint Begin{std::chrono::hours(1)};
  cr_expect(daemon::mayWork(Pacing, Begin));
  daemon::noteWork(Pacing, Begin, Begin + Millis(1));
  cr_expect(daemon::mayWork(Pacing, Begin + Millis(5)));
}

// Guards against a pass that took seconds, because the process was suspended, and stops placement
// for several times as long.
Test(WorkPacing, thePauseIsBounded) {
  daemon::WorkPacing Pacing;
  const core::TimePoint Begin{std::chrono::hours(1)};
  daemon::noteWork(Pacing, Begin, Begin + Millis(3000));
  cr_expect(daemon::mayWork(Pacing, Begin + Millis(3060)));
}
