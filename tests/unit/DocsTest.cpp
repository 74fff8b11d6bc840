// The reference pages match the tables of errors, metrics and settings in the code. A failing table
// test prints the expected table.
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

std::string readPage(const std::string &Name) {
  std::ifstream File(MASTICDRIFT_SOURCE_DIR "/" + Name);
  std::string Text{std::istreambuf_iterator<char>(File), {}};
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

std::string tableRow(std::initializer_list<std::string_view> Cells) {
  std::string Line = "|";
  for (const std::string_view Cell : Cells)
    Line += " " + std::string(Cell) + " |";
  return Line + "\n";
}

std::string quoted(std::string_view Text) { return "`" + std::string(Text) + "`"; }

std::string errorTableMarkdown() {
  std::string Table = tableRow({"id", "name", "HTTP status", "ran", "retry", "hint", "example"}) +
                      tableRow({"---", "---", "---", "---", "---", "---", "---"});
  for (const core::ErrorInfo &Info : core::errorTable())
    Table +=
        tableRow({Info.Id_, quoted(Info.Name_), std::to_string(Info.HttpStatus_), nameOf(Info.Ran_),
                  Info.Retry_ ? "yes" : "no", Info.Hint_, quoted(Info.Example_)});
  return Table;
}

std::string metricTableMarkdown() {
  std::string Table = tableRow({"metric", "type", "meaning"}) + tableRow({"---", "---", "---"});
  for (const core::MetricInfo &Info : core::metricTable())
    Table += tableRow({quoted(Info.Name_), nameOf(Info.Type_), Info.Help_});
  return Table;
}

void expectTable(const std::string &Name, const std::string &Table) {
  const bool Found = readPage(Name).find(Table) != std::string::npos;
  if (!Found)
    std::cerr << Table;
  cr_expect(Found, "%s does not contain the table above", Name.c_str());
}

/// \returns the first capture group of every match of \p Pattern in \p Text.
std::set<std::string> findNames(const std::string &Text, const char *Pattern) {
  const std::regex Expression(Pattern);
  std::set<std::string> Names;
  for (std::sregex_iterator Match(Text.begin(), Text.end(), Expression), End; Match != End; ++Match)
    Names.insert((*Match)[1]);
  return Names;
}

bool isMetric(const std::string &Name) {
  return std::ranges::any_of(core::metricTable(), [&](const core::MetricInfo &Info) {
    if (Name == Info.Name_)
      return true;
    const std::string MetricName(Info.Name_);
    return Info.Type_ == core::MetricType::Histogram &&
           (Name == MetricName + "_bucket" || Name == MetricName + "_sum" ||
            Name == MetricName + "_count");
  });
}

const std::array<std::string, 4> Pages{"docs/errors.md", "docs/OPERATIONS.md", "docs/settings.md",
                                       "README.md"};

} // namespace

// Guards against an error, a metric or a setting that the pages omit or describe differently.
Test(Docs, pagesContainTheTables) {
  expectTable("docs/errors.md", errorTableMarkdown());
  expectTable("docs/OPERATIONS.md", metricTableMarkdown());
  expectTable("docs/settings.md", settings::settingTableMarkdown());
}

// Guards against pages that mention an error, a metric or a setting that the code does not have.
Test(Docs, pagesNameOnlyKnownItems) {
  for (const std::string &Name : Pages) {
    const std::string Text = readPage(Name);
    for (const std::string &Id : findNames(Text, R"((MD-[0-9]+))"))
      cr_expect(std::ranges::any_of(core::errorTable(),
                                    [&](const core::ErrorInfo &Info) { return Info.Id_ == Id; }),
                "%s mentions the unknown error %s", Name.c_str(), Id.c_str());
    for (const std::string &Metric : findNames(Text, R"(\b(masticdrift_[a-z_]+))"))
      cr_expect(isMetric(Metric), "%s mentions the unknown metric %s", Name.c_str(),
                Metric.c_str());
    for (const std::string &Setting : findNames(
             Text, R"(`(/(?:instance|fleet|caller|operator|peer|platform|routes|timing|limits|)"
                   R"(log_level)(?:/[a-z_*]+)*)`)"))
      cr_expect(std::ranges::any_of(
                    settings::settingTable(),
                    [&](const settings::SettingInfo &Info) { return Info.Pointer_ == Setting; }),
                "%s mentions the unknown setting %s", Name.c_str(), Setting.c_str());
  }
}

// Guards against patterns that match nothing, which would let the test above pass on any page.
Test(Docs, patternsFindNames) {
  cr_expect_geq(findNames(readPage("docs/errors.md"), R"((MD-[0-9]+))").size(),
                core::errorTable().size());
  cr_expect_geq(findNames(readPage("docs/OPERATIONS.md"), R"(\b(masticdrift_[a-z_]+))").size(),
                core::metricTable().size());
  cr_expect(!isMetric("masticdrift_nothing"));
}
