// The reference pages agree with the tables in the code. A failing table test prints the expected
// table.
#include "masticdrift/core/Error.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/settings/Settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace masticdrift;

namespace {

std::string page(const std::string &Name) {
  std::ifstream In(MASTICDRIFT_SOURCE_DIR "/" + Name);
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  cr_assert(!Text.empty(), "%s is missing or empty", Name.c_str());
  return Text;
}

std::string_view nameOf(core::RunState State) {
  if (State == core::RunState::NotRun)
    return "not run";
  return State == core::RunState::Ran ? "ran" : "may have run";
}

std::string_view nameOf(core::MetricType Type) {
  if (Type == core::MetricType::Counter)
    return "counter";
  return Type == core::MetricType::Gauge ? "gauge" : "histogram";
}

std::string row(std::initializer_list<std::string_view> Cells) {
  std::string Line = "|";
  for (const std::string_view Cell : Cells)
    Line += " " + std::string(Cell) + " |";
  return Line + "\n";
}

std::string quoted(std::string_view Text) { return "`" + std::string(Text) + "`"; }

std::string errorTableMarkdown() {
  std::string To = row({"id", "name", "HTTP status", "ran", "retry", "hint", "example"}) +
                   row({"---", "---", "---", "---", "---", "---", "---"});
  for (const core::ErrorInfo &One : core::errorTable())
    To += row({One.Id_, quoted(One.Name_), std::to_string(One.HttpStatus_), nameOf(One.Ran_),
               One.Retry_ ? "yes" : "no", One.Hint_, quoted(One.Example_)});
  return To;
}

std::string metricTableMarkdown() {
  std::string To = row({"metric", "type", "meaning"}) + row({"---", "---", "---"});
  for (const core::MetricInfo &One : core::metricTable())
    To += row({quoted(One.Name_), nameOf(One.Type_), One.Help_});
  return To;
}

void expectTable(const std::string &Name, const std::string &Table) {
  const bool Found = page(Name).find(Table) != std::string::npos;
  if (!Found)
    std::cerr << Table;
  cr_expect(Found, "%s does not contain the table above", Name.c_str());
}

/// \returns every match of \p Pattern's first group in \p Text.
std::set<std::string> named(const std::string &Text, const char *Pattern) {
  const std::regex Expression(Pattern);
  std::set<std::string> To;
  for (std::sregex_iterator I(Text.begin(), Text.end(), Expression), End; I != End; ++I)
    To.insert((*I)[1]);
  return To;
}

bool isMetric(const std::string &Name) {
  return std::ranges::any_of(core::metricTable(), [&](const core::MetricInfo &One) {
    if (Name == One.Name_)
      return true;
    const std::string Full(One.Name_);
    return One.Type_ == core::MetricType::Histogram &&
           (Name == Full + "_bucket" || Name == Full + "_sum" || Name == Full + "_count");
  });
}

const std::array<std::string, 4> Pages{"docs/errors.md", "docs/OPERATIONS.md", "docs/settings.md",
                                       "README.md"};

} // namespace

// Guards against an error, a metric or a setting that the pages leave out or describe differently.
Test(Docs, theTablesAreComplete) {
  expectTable("docs/errors.md", errorTableMarkdown());
  expectTable("docs/OPERATIONS.md", metricTableMarkdown());
  expectTable("docs/settings.md", settings::settingTableMarkdown());
}

// Guards against pages that name what the code no longer has.
Test(Docs, thePagesNameOnlyWhatExists) {
  for (const std::string &Name : Pages) {
    const std::string Text = page(Name);
    for (const std::string &Id : named(Text, R"((MD-[0-9]+))"))
      cr_expect(std::ranges::any_of(core::errorTable(),
                                    [&](const core::ErrorInfo &One) { return One.Id_ == Id; }),
                "%s names the unknown error %s", Name.c_str(), Id.c_str());
    for (const std::string &Metric : named(Text, R"(\b(masticdrift_[a-z_]+))"))
      cr_expect(isMetric(Metric), "%s names the unknown metric %s", Name.c_str(), Metric.c_str());
    for (const std::string &Setting :
         named(Text, R"(`(/(?:instance|fleet|caller|operator|peer|platform|routes|timing|limits|)"
                     R"(log_level)(?:/[a-z_*]+)*)`)"))
      cr_expect(std::ranges::any_of(
                    settings::settingTable(),
                    [&](const settings::SettingInfo &One) { return One.Pointer_ == Setting; }),
                "%s names the unknown setting %s", Name.c_str(), Setting.c_str());
  }
}

// Guards against a checker that finds nothing: each pattern must match what the pages contain.
Test(Docs, theCheckFindsNames) {
  cr_expect_geq(named(page("docs/errors.md"), R"((MD-[0-9]+))").size(), core::errorTable().size());
  cr_expect_geq(named(page("docs/OPERATIONS.md"), R"(\b(masticdrift_[a-z_]+))").size(),
                core::metricTable().size());
  cr_expect(!isMetric("masticdrift_nothing"));
}
