#include "masticdrift/daemon/WorkMeter.h"

#include <cmath>
#include <utility>

namespace masticdrift::daemon {

void noteWork(WorkMeter &Meter, core::Duration Taken) {
  ++Meter.Count_;
  Meter.Time_ += Taken;
}

std::string takeRate(WorkMeter &Meter, core::Duration Since) {
  const WorkMeter Taken = std::exchange(Meter, {});
  const double Seconds = std::chrono::duration<double>(Since).count();
  if (Seconds <= 0)
    return "0/s 0 ms/s";
  const double Milliseconds = std::chrono::duration<double, std::milli>(Taken.Time_).count();
  return std::to_string(std::lround(static_cast<double>(Taken.Count_) / Seconds)) + "/s " +
         std::to_string(std::lround(Milliseconds / Seconds)) + " ms/s";
}

} // namespace masticdrift::daemon
