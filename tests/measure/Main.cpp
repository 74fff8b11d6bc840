// Measures the scheduling decisions of package policy under load and prints one JSON object per
// line. Usage: measure-policy [steady|overload|faults|interactive|scale|cancel|lead|all] [SEED]
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

void runLoads(const std::string &Name, std::uint64_t Seed) {
  for (const DeploymentProfile &Profile : {roshan(), samvarp()})
    for (const bool Baseline : {false, true}) {
      LoadOptions Options{.Name_ = Name, .Seed_ = Seed, .Baseline_ = Baseline};
      Options.Load_ = Name == "steady" ? 0.8 : Name == "overload" ? 1.5 : 1.2;
      Options.Faults_ = Name == "faults";
      print(runLoad(Profile, Options));
    }
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const std::string Measurement = ArgumentCount > 1 ? Arguments[1] : "all";
  const std::uint64_t Seed = ArgumentCount > 2 ? std::strtoull(Arguments[2], nullptr, 10) : 1;
  Command = "measure-policy " + Measurement + " " + std::to_string(Seed);
  const bool All = Measurement == "all";
  for (const char *Name : {"steady", "overload", "faults"})
    if (All || Measurement == Name)
      runLoads(Name, Seed);
  if (All || Measurement == "interactive")
    for (const double Load : {0.8, 1.5})
      for (const bool Baseline : {false, true})
        print(runInteractive(Seed, Baseline, Load));
  if (All || Measurement == "scale")
    for (const bool Full : {false, true})
      for (const std::uint32_t Workers : {48U, 480U, 1800U})
        print(runScale(Seed, Workers, Full));
  if (Measurement == "scale-full")
    print(runScale(Seed, 1800U, true));
  if (All || Measurement == "cancel")
    print(runCancelWave(Seed));
  if (All || Measurement == "lead")
    for (const int Executors : {48, 350})
      print(runLead(Seed, Executors));
  return 0;
}
