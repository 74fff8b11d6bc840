#include "masticdrift/settings/Settings.h"

#include <fstream>
#include <iterator>
#include <set>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace masticdrift;
using core::ErrorKind;
using nlohmann::json;
using settings::Mistake;

namespace {

json minimal() {
  return json::parse(R"({"instance":{"name":"lahore-a-1","domain":"lahore-a","region":"Punjab"},
    "fleet":{"name":"roshan","entry_instances":7,
             "domains":[{"name":"lahore-a","region":"Punjab"},{"name":"karachi-a","region":"Sindh"}]},
    "platform":{"log_url":"http://127.0.0.1:1","instances_url":"http://127.0.0.1:2/"}})");
}

std::vector<Mistake> mistakesWith(std::string_view Pointer, const json &Value) {
  json Text = minimal();
  Text[json::json_pointer(std::string(Pointer))] = Value;
  return settings::parse(Text.dump()).Mistakes_;
}

void expectOne(const std::vector<Mistake> &All, ErrorKind Kind, std::string_view Pointer,
               std::string_view Part) {
  cr_assert_eq(All.size(), 1);
  cr_assert(All[0].Kind_ == Kind, "%s", All[0].text().c_str());
  cr_assert(All[0].Pointer_ == Pointer, "%s", All[0].text().c_str());
  cr_assert(All[0].Message_.find(Part) != std::string::npos, "%s", All[0].text().c_str());
}

} // namespace

Test(SettingsParse, aMinimalTextGetsAllDefaults) {
  const auto Parsed = settings::parse(minimal().dump());
  cr_assert(Parsed.Mistakes_.empty());
  const settings::Settings &All = Parsed.Settings_;
  cr_assert(All.Instance_.Name_ == "lahore-a-1");
  cr_assert_eq(All.Fleet_.EntryInstances_, 7);
  cr_assert_eq(All.Fleet_.Domains_.size(), 2);
  cr_assert(All.Platform_.InstancesUrl_ == "http://127.0.0.1:2");
  cr_assert_eq(All.Timing_.OwnerLease_.count(), 4000);
  cr_assert_eq(All.Timing_.LeaseMargin_.count(), 500);
  cr_assert_eq(All.Timing_.ConfigurationFresh_.count(), 5000);
  cr_assert_eq(All.Limits_.MaxDeadline_.count(), 5000);
  cr_assert_eq(All.Limits_.SlotsPerExecutor_, 8);
  cr_assert_eq(All.Limits_.ConnectionsPerExecutor_, 16);
}

Test(SettingsParse, everyGivenValueArrives) {
  json Text = minimal();
  Text["caller"] = {{"address", "10.0.0.1"}, {"port", 8080}, {"threads", 8}};
  Text["peer"] = {{"port", 8070}};
  Text["routes"] = {{"karachi-a-1", "127.0.0.1:9"}};
  Text["timing"] = {{"owner_lease_ms", 3000}};
  Text["operator"] = {{"key_hashes", {std::string(64, 'a')}}};
  Text["log_level"] = "debug";
  const auto Parsed = settings::parse(Text.dump());
  cr_assert(Parsed.Mistakes_.empty());
  const settings::Settings &All = Parsed.Settings_;
  cr_assert(All.Caller_.Address_ == "10.0.0.1");
  cr_assert_eq(All.Caller_.Port_, 8080);
  cr_assert_eq(All.Caller_.Threads_, 8);
  cr_assert_eq(All.Peer_.Port_, 8070);
  cr_assert(All.Routes_.at("karachi-a-1") == "127.0.0.1:9");
  cr_assert_eq(All.Timing_.OwnerLease_.count(), 3000);
  cr_assert_eq(All.Operator_.KeyHashes_.size(), 1);
  cr_assert(All.LogLevel_ == "debug");
}

// Each kind of mistake: a daemon that starts with a misread setting breaks promises to others.
Test(SettingsMistakes, anUnknownKeyNamesTheNearest) {
  expectOne(mistakesWith("/timing/owner_leese_ms", 1), ErrorKind::UnknownField,
            "/timing/owner_leese_ms", "nearest is \"owner_lease_ms\"");
  expectOne(mistakesWith("/timings", json::object()), ErrorKind::UnknownField, "/timings",
            "nearest is \"timing\"");
}

Test(SettingsMistakes, aWrongTypeIsReported) {
  expectOne(mistakesWith("/peer/port", "8070"), ErrorKind::WrongType, "/peer/port",
            "expected a number, found a string");
}

Test(SettingsMistakes, aMissingKeyIsReported) {
  json Text = minimal();
  Text["platform"].erase("log_url");
  expectOne(settings::parse(Text.dump()).Mistakes_, ErrorKind::MissingField, "/platform/log_url",
            "missing");
  Text = minimal();
  Text.erase("fleet");
  expectOne(settings::parse(Text.dump()).Mistakes_, ErrorKind::MissingField, "/fleet", "missing");
}

Test(SettingsMistakes, anOutOfRangeValueIsReported) {
  expectOne(mistakesWith("/peer/port", 70000), ErrorKind::OutOfRange, "/peer/port",
            "70000 is outside 0..65535");
}

Test(SettingsMistakes, malformedTextHasByteAndLine) {
  expectOne(settings::parse("{\n\"instance\": }").Mistakes_, ErrorKind::MalformedJson, "",
            "line 2");
}

Test(SettingsMistakes, anUnknownDomainNamesTheNearest) {
  expectOne(mistakesWith("/instance/domain", "lahore-b"), ErrorKind::OutOfRange, "/instance/domain",
            "nearest is \"lahore-a\"");
  expectOne(mistakesWith("/instance/region", "Sindh"), ErrorKind::OutOfRange, "/instance/region",
            "is in region \"Punjab\"");
}

Test(SettingsMistakes, formatsOfTextsAreChecked) {
  expectOne(mistakesWith("/operator/key_hashes", {"secret"}), ErrorKind::OutOfRange,
            "/operator/key_hashes/0", "SHA-256");
  expectOne(mistakesWith("/routes/karachi-a-1", "127.0.0.1"), ErrorKind::OutOfRange,
            "/routes/karachi-a-1", "host:port");
  expectOne(mistakesWith("/platform/log_url", "ftp://x"), ErrorKind::OutOfRange,
            "/platform/log_url", "http://");
  expectOne(mistakesWith("/log_level", "inform"), ErrorKind::OutOfRange, "/log_level",
            "nearest is \"info\"");
  expectOne(mistakesWith("/instance/name", ""), ErrorKind::OutOfRange, "/instance/name", "empty");
}

Test(SettingsMistakes, aLeaseThatEndsBeforeItsSecondRenewalIsRefused) {
  expectOne(mistakesWith("/timing/owner_renew_ms", 2001), ErrorKind::OutOfRange,
            "/timing/owner_renew_ms", "half of owner_lease_ms");
  expectOne(mistakesWith("/timing/worker_renew_ms", 6000), ErrorKind::OutOfRange,
            "/timing/worker_renew_ms", "half of worker_lease_ms");
}

// Guards against a table that documents other ranges or defaults than those in force.
Test(SettingsTable, everyIntegerRowIsEnforced) {
  std::set<std::string> Seen;
  for (const settings::SettingInfo &Row : settings::settingTable()) {
    cr_assert(Seen.insert(Row.Pointer_).second, "%s", Row.Pointer_.c_str());
    cr_assert(!Row.Help_.empty());
    if (!Row.Min_)
      continue;
    cr_assert(Row.Default_.empty() ||
              (std::stoll(Row.Default_) >= *Row.Min_ && std::stoll(Row.Default_) <= *Row.Max_));
    for (const std::int64_t Outside : {*Row.Min_ - 1, *Row.Max_ + 1})
      expectOne(mistakesWith(Row.Pointer_, Outside), ErrorKind::OutOfRange, Row.Pointer_,
                "is outside");
  }
}

Test(SettingsTable, theDocumentationPageIsCurrent) {
  std::ifstream In(MASTICDRIFT_SOURCE_DIR "/docs/settings.md");
  const std::string Page{std::istreambuf_iterator<char>(In), {}};
  cr_assert(Page.find(settings::settingTableMarkdown()) != std::string::npos,
            "docs/settings.md differs from settingTableMarkdown()");
}
