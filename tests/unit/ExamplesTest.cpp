#include "masticdrift/config/Configuration.h"
#include "masticdrift/settings/Settings.h"

#include <fstream>
#include <iterator>

#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

std::string readExample(const std::string &Name) {
  std::ifstream In(std::string(MASTICDRIFT_SOURCE_DIR "/examples/") + Name);
  cr_assert(In.is_open(), "%s", Name.c_str());
  return {std::istreambuf_iterator<char>(In), {}};
}

void expectCorrect(const std::string &Folder, const std::string &SettingsName) {
  const auto Settings = settings::parse(readExample(Folder + "/" + SettingsName));
  for (const auto &Each : Settings.Errors_)
    cr_log_error("%s", Each.text().c_str());
  cr_assert(Settings.Errors_.empty());
  const auto Text = config::parse(readExample(Folder + "/configuration.json"));
  for (const auto &Each : Text.Errors_)
    cr_log_error("%s", Each.text().c_str());
  cr_assert(Text.Errors_.empty());
  const config::Configuration &All = Text.Configuration_;
  cr_assert_eq(All.Teams_.size(), 6);
  cr_assert(All.Fleet_ == Settings.Settings_.Fleet_.Name_);
  cr_assert_eq(Settings.Settings_.Fleet_.EntryInstances_, 7);
  cr_assert_eq(All.Domains_.size(), Settings.Settings_.Fleet_.Domains_.size());
  for (const auto &Each : Settings.Settings_.Fleet_.Domains_)
    cr_assert(All.domain(Each.Name_) != nullptr && All.domain(Each.Name_)->Region_ == Each.Region_);
  cr_assert_eq(config::startOrder(All).size(), All.Services_.size());
}

} // namespace

// Guards against examples that the programs no longer accept.
Test(Examples, roshanIsCorrect) { expectCorrect("roshan", "settings-lahore-a-1.json"); }

Test(Examples, samvarpIsCorrect) { expectCorrect("samvarp", "settings-sudvestur-a-1.json"); }
