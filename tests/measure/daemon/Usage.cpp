#include "Usage.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace masticdrift::measure {

Usage usageOf(pid_t Process) {
  Usage Result;
  std::ifstream Stat("/proc/" + std::to_string(Process) + "/stat");
  std::string Text((std::istreambuf_iterator<char>(Stat)), {});
  // The command name may contain spaces and is closed by ')'; utime and stime are fields 14 and 15.
  std::istringstream Rest(Text.substr(Text.rfind(')') + 1));
  std::string Field;
  long Ticks = 0;
  for (int I = 3; I <= 15 && Rest >> Field; ++I)
    if (I >= 14)
      Ticks += std::atol(Field.c_str());
  Result.CpuSeconds_ = static_cast<double>(Ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream Memory("/proc/" + std::to_string(Process) + "/statm");
  long Total = 0;
  long Resident = 0;
  Memory >> Total >> Resident;
  Result.ResidentMb_ =
      static_cast<double>(Resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576.0;
  return Result;
}

double metricSum(std::string_view Text, std::string_view Name) {
  double Sum = 0;
  std::istringstream Lines{std::string(Text)};
  for (std::string Line; std::getline(Lines, Line);) {
    const bool IsMetric = Line.starts_with(Name) && Line.size() > Name.size() &&
                          (Line[Name.size()] == '{' || Line[Name.size()] == ' ');
    if (IsMetric)
      Sum += std::strtod(Line.c_str() + Line.rfind(' ') + 1, nullptr);
  }
  return Sum;
}

} // namespace masticdrift::measure
