#include "masticdrift/settings/Settings.h"

#include <fstream>
#include <iterator>
#include <set>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace masticdrift;
using core::ErrorKind;
using nlohmann::json;
using settings::ValidationError;

namespace {

json minimalSettings() {
  return json::parse(R"({"instance":{"name":"lahore-a-1","domain":"lahore-a","region":"Punjab"},
    "fleet":{"name":"roshan","entry_instances":7,
             "domains":[{"name":"lahore-a","region":"Punjab"},{"name":"karachi-a","region":"Sindh"}]},
    "platform":{"log_url":"http://127.0.0.1:1","instances_url":"http://127.0.0.1:2/"}})");
}

std::vector<ValidationError> errorsWith(std::string_view Pointer, const json &Value) {
  json Text = minimalSettings();
  Text[json::json_pointer(std::string(Pointer))] = Value;
  return settings::parse(Text.dump()).Errors_;
}

void expectSingleError(const std::vector<ValidationError> &Errors, ErrorKind Kind,
                       std::string_view Pointer, std::string_view MessagePart) {
  cr_assert_eq(Errors.size(), 1);
  cr_assert(Errors[0].Kind_ == Kind, "%s", Errors[0].text().c_str());
  cr_assert(Errors[0].Pointer_ == Pointer, "%s", Errors[0].text().c_str());
  cr_assert(Errors[0].Message_.find(MessagePart) != std::string::npos, "%s",
            Errors[0].text().c_str());
}

} // namespace

Test(SettingsParse, aMinimalTextGetsAllDefaults) {
  const auto Parsed = settings::parse(minimalSettings().dump());
  cr_assert(Parsed.Errors_.empty());
  const settings::Settings &Result = Parsed.Settings_;
  cr_assert(Result.Instance_.Name_ == "lahore-a-1");
  cr_assert_eq(Result.Fleet_.EntryInstances_, 7);
  cr_assert_eq(Result.Fleet_.Domains_.size(), 2);
  cr_assert(Result.Platform_.InstancesUrl_ == "http://127.0.0.1:2");
  cr_assert_eq(Result.Timing_.OwnerLease_.count(), 4000);
  cr_assert_eq(Result.Timing_.LeaseMargin_.count(), 500);
  cr_assert_eq(Result.Timing_.ConfigurationFresh_.count(), 5000);
  cr_assert_eq(Result.Limits_.MaxDeadline_.count(), 5000);
  cr_assert_eq(Result.Limits_.SlotsPerExecutor_, 8);
  cr_assert_eq(Result.Limits_.ConnectionsPerExecutor_, 16);
}

Test(SettingsParse, everyGivenValueArrives) {
  json Text = minimalSettings();
  Text["caller"] = {{"address", "10.0.0.1"}, {"port", 8080}, {"threads", 8}};
  Text["peer"] = {{"port", 8070}};
  Text["routes"] = {{"karachi-a-1", "127.0.0.1:9"}};
  Text["timing"] = {{"owner_lease_ms", 3000}};
  Text["operator"] = {{"key_hashes", {std::string(64, 'a')}}};
  Text["log_level"] = "debug";
  const auto Parsed = settings::parse(Text.dump());
  cr_assert(Parsed.Errors_.empty());
  const settings::Settings &Result = Parsed.Settings_;
  cr_assert(Result.Caller_.Address_ == "10.0.0.1");
  cr_assert_eq(Result.Caller_.Port_, 8080);
  cr_assert_eq(Result.Caller_.Threads_, 8);
  cr_assert_eq(Result.Peer_.Port_, 8070);
  cr_assert(Result.Routes_.at("karachi-a-1") == "127.0.0.1:9");
  cr_assert_eq(Result.Timing_.OwnerLease_.count(), 3000);
  cr_assert_eq(Result.Operator_.KeyHashes_.size(), 1);
  cr_assert(Result.LogLevel_ == "debug");
}

// Guards against a daemon that starts with misread settings and breaks guarantees to its peers.
Test(SettingsMistakes, anUnknownKeyNamesTheNearest) {
  expectSingleError(errorsWith("/timing/owner_leese_ms", 1), ErrorKind::UnknownField,
                    "/timing/owner_leese_ms", "nearest is \"owner_lease_ms\"");
  expectSingleError(errorsWith("/timings", json::object()), ErrorKind::UnknownField, "/timings",
                    "nearest is \"timing\"");
}

Test(SettingsMistakes, aWrongTypeIsReported) {
  expectSingleError(errorsWith("/peer/port", "8070"), ErrorKind::WrongType, "/peer/port",
                    "expected a number, found a string");
}

Test(SettingsMistakes, aMissingKeyIsReported) {
  json Text = minimalSettings();
  Text["platform"].erase("log_url");
  expectSingleError(settings::parse(Text.dump()).Errors_, ErrorKind::MissingField,
                    "/platform/log_url", "missing");
  Text = minimalSettings();
  Text.erase("fleet");
  expectSingleError(settings::parse(Text.dump()).Errors_, ErrorKind::MissingField, "/fleet",
                    "missing");
}

Test(SettingsMistakes, anOutOfRangeValueIsReported) {
  expectSingleError(errorsWith("/peer/port", 70000), ErrorKind::OutOfRange, "/peer/port",
                    "70000 is outside 0..65535");
}

Test(SettingsMistakes, malformedTextHasByteAndLine) {
  expectSingleError(settings::parse("{\n\"instance\": }").Errors_, ErrorKind::MalformedJson, "",
                    "line 2");
}

Test(SettingsMistakes, anUnknownDomainNamesTheNearest) {
  expectSingleError(errorsWith("/instance/domain", "lahore-b"), ErrorKind::OutOfRange,
                    "/instance/domain", "nearest is \"lahore-a\"");
  expectSingleError(errorsWith("/instance/region", "Sindh"), ErrorKind::OutOfRange,
                    "/instance/region", "is in region \"Punjab\"");
}

Test(SettingsMistakes, formatsOfTextsAreChecked) {
  expectSingleError(errorsWith("/operator/key_hashes", {"secret"}), ErrorKind::OutOfRange,
                    "/operator/key_hashes/0", "SHA-256");
  expectSingleError(errorsWith("/routes/karachi-a-1", "127.0.0.1"), ErrorKind::OutOfRange,
                    "/routes/karachi-a-1", "host:port");
  expectSingleError(errorsWith("/platform/log_url", "ftp://x"), ErrorKind::OutOfRange,
                    "/platform/log_url", "http://");
  expectSingleError(errorsWith("/log_level", "inform"), ErrorKind::OutOfRange, "/log_level",
                    "nearest is \"info\"");
  expectSingleError(errorsWith("/instance/name", ""), ErrorKind::OutOfRange, "/instance/name",
                    "empty");
}

Test(SettingsMistakes, aLeaseThatEndsBeforeItsSecondRenewalIsRefused) {
  expectSingleError(errorsWith("/timing/owner_renew_ms", 2001), ErrorKind::OutOfRange,
                    "/timing/owner_renew_ms", "half of owner_lease_ms");
  expectSingleError(errorsWith("/timing/worker_renew_ms", 6000), ErrorKind::OutOfRange,
                    "/timing/worker_renew_ms", "half of worker_lease_ms");
}

// Guards against a table whose ranges or defaults differ from the enforced ones.
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
      expectSingleError(errorsWith(Row.Pointer_, Outside), ErrorKind::OutOfRange, Row.Pointer_,
                        "is outside");
  }
}

Test(SettingsTable, theDocumentationPageIsCurrent) {
  std::ifstream File(MASTICDRIFT_SOURCE_DIR "/docs/settings.md");
  const std::string Page{std::istreambuf_iterator<char>(File), {}};
  cr_assert(Page.find(settings::settingTableMarkdown()) != std::string::npos,
            "docs/settings.md differs from settingTableMarkdown()");
}
