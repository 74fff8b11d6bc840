#include "Print.h"

#include <algorithm>
#include <iostream>
#include <vector>

#include <nlohmann/json.hpp>

namespace masticdrift::ctl {

namespace {

using json = nlohmann::ordered_json;

std::string cell(const json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_null())
    return "-";
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void printTable(const json &Rows) {
  std::vector<std::string> Columns;
  for (const json &Row : Rows)
    for (const auto &[Name, Value] : Row.items())
      if (std::ranges::find(Columns, Name) == Columns.end())
        Columns.push_back(Name);
  std::vector<std::vector<std::string>> Lines{Columns};
  for (const json &Row : Rows) {
    Lines.emplace_back();
    for (const std::string &Name : Columns)
      Lines.back().push_back(Row.contains(Name) ? cell(Row[Name]) : "-");
  }
  std::vector<std::size_t> Widths(Columns.size(), 0);
  for (const auto &Line : Lines)
    for (std::size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  for (const auto &Line : Lines) {
    std::string Text;
    for (std::size_t I = 0; I < Line.size(); ++I) {
      Text += Line[I];
      if (I + 1 < Line.size())
        Text += std::string(Widths[I] - Line[I].size() + 2, ' ');
    }
    std::cout << Text << '\n';
  }
}

bool isTable(const json &Value) {
  return Value.is_array() && !Value.empty() &&
         std::ranges::all_of(Value, [](const json &Row) { return Row.is_object(); });
}

} // namespace

void printBody(std::string_view Body, bool Json) {
  const json Value = json::parse(Body, nullptr, false);
  if (Json || Value.is_discarded()) {
    std::cout << Body << (Body.ends_with('\n') ? "" : "\n");
    return;
  }
  if (isTable(Value)) {
    printTable(Value);
  } else if (Value.is_array()) {
    for (const json &Element : Value)
      std::cout << cell(Element) << '\n';
  } else if (!Value.is_object()) {
    std::cout << cell(Value) << '\n';
  } else {
    for (const auto &[Name, Element] : Value.items()) {
      if (!isTable(Element)) {
        std::cout << Name << ' ' << cell(Element) << '\n';
        continue;
      }
      std::cout << Name << ":\n";
      printTable(Element);
    }
  }
}

std::string memberText(std::string_view Body, std::string_view Name) {
  const json Value = json::parse(Body, nullptr, false);
  const std::string Key(Name);
  return Value.is_object() && Value.contains(Key) ? cell(Value[Key]) : "";
}

} // namespace masticdrift::ctl
