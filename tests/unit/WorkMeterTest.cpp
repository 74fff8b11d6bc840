// The rates of a leader's work in its log.
#include "masticdrift/daemon/WorkMeter.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using core::Millis;

// Guards against figures that hide whether work is done too often or takes too long.
Test(WorkMeter, namesRateAndTime) {
  daemon::WorkMeter Meter;
  for (int I = 0; I < 60; ++I)
    daemon::noteWork(Meter, Millis(4));
  cr_expect(daemon::takeRate(Meter, Millis(2000)) == "30/s 120 ms/s");
  cr_expect(daemon::takeRate(Meter, Millis(2000)) == "0/s 0 ms/s", "the meter was not reset");
}

// Guards against a division by no time.
Test(WorkMeter, noTimeHasNoRate) {
  daemon::WorkMeter Meter;
  daemon::noteWork(Meter, Millis(4));
  cr_expect(daemon::takeRate(Meter, Millis(0)) == "0/s 0 ms/s");
}
