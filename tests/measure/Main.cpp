// Measures the decisions of package policy under load; prints one JSON object per line.
// Usage: measure-policy [steady|overload|faults|interactive|scale|cancel|lead|all] [SEED]
#include "Load.h"

#include <cstdio>
#include <cstdlib>

using namespace masticdrift::measure;

namespace {

std::string Command; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

void print(nlohmann::ordered_json Line) {
  Line["command"] = Command;
  std::printf("%s\n", Line.dump().c_str());
  std::fflush(stdout);
}

void loads(const std::string &Name, std::uint64_t Seed) {
  for (const User &Who : {roshan(), samvarp()})
    for (const bool Baseline : {false, true}) {
      Setting How{.Name_ = Name, .Seed_ = Seed, .Baseline_ = Baseline};
      How.Load_ = Name == "steady" ? 0.8 : Name == "overload" ? 1.5 : 1.2;
      How.Faults_ = Name == "faults";
      print(runLoad(Who, How));
    }
}

} // namespace

int main(int Count, char **Words) {
  const std::string What = Count > 1 ? Words[1] : "all";
  const std::uint64_t Seed = Count > 2 ? std::strtoull(Words[2], nullptr, 10) : 1;
  Command = "measure-policy " + What + " " + std::to_string(Seed);
  const bool All = What == "all";
  for (const char *Name : {"steady", "overload", "faults"})
    if (All || What == Name)
      loads(Name, Seed);
  if (All || What == "interactive")
    for (const double Load : {0.8, 1.5})
      for (const bool Baseline : {false, true})
        print(runInteractive(Seed, Baseline, Load));
  if (All || What == "scale")
    for (const bool Full : {false, true})
      for (const std::uint32_t Workers : {48U, 480U, 1800U})
        print(runScale(Seed, Workers, Full));
  if (What == "scale-full")
    print(runScale(Seed, 1800U, true));
  if (All || What == "cancel")
    print(runCancelWave(Seed));
  if (All || What == "lead")
    for (const int Executors : {48, 350})
      print(runLead(Seed, Executors));
  return 0;
}
