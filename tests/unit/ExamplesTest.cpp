#include "masticdrift/config/Configuration.h"
#include "masticdrift/settings/Settings.h"

#include <fstream>
#include <iterator>

#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

std::string readExample(const std::string &Name) {
  std::ifstream File(std::string(MASTICDRIFT_SOURCE_DIR "/examples/") + Name);
  cr_assert(File.is_open(), "cannot open the example %s", Name.c_str());
  return {std::istreambuf_iterator<char>(File), {}};
}

void assertExampleIsValid(const std::string &Folder, const std::string &SettingsName) {
  const auto ParsedSettings = settings::parse(readExample(Folder + "/" + SettingsName));
  for (const auto &Mistake : ParsedSettings.Errors_)
    cr_log_error("%s", Mistake.text().c_str());
  cr_assert(ParsedSettings.Errors_.empty());
  const auto Parsed = config::parse(readExample(Folder + "/configuration.json"));
  for (const auto &Mistake : Parsed.Errors_)
    cr_log_error("%s", Mistake.text().c_str());
  cr_assert(Parsed.Errors_.empty());
  const config::Configuration &FleetConfiguration = Parsed.Configuration_;
  cr_assert_eq(FleetConfiguration.Teams_.size(), 6);
  cr_assert(FleetConfiguration.Fleet_ == ParsedSettings.Settings_.Fleet_.Name_);
  cr_assert_eq(ParsedSettings.Settings_.Fleet_.EntryInstances_, 7);
  cr_assert_eq(FleetConfiguration.Domains_.size(), ParsedSettings.Settings_.Fleet_.Domains_.size());
  for (const auto &Domain : ParsedSettings.Settings_.Fleet_.Domains_)
    cr_assert(FleetConfiguration.domain(Domain.Name_) != nullptr &&
              FleetConfiguration.domain(Domain.Name_)->Region_ == Domain.Region_);
  cr_assert_eq(config::startOrder(FleetConfiguration).size(), FleetConfiguration.Services_.size());
}

} // namespace

// Guards against example files that the parsers no longer accept or that contradict each other.
Test(Examples, roshanIsValid) { assertExampleIsValid("roshan", "settings-lahore-a-1.json"); }

Test(Examples, samvarpIsValid) { assertExampleIsValid("samvarp", "settings-sudvestur-a-1.json"); }
