#include "masticdrift/config/Configuration.h"

#include <algorithm>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace masticdrift;
using config::Configuration;
using core::ErrorKind;
using nlohmann::json;
using settings::ValidationError;

namespace {

json baseConfiguration() {
  return json::parse(R"({"fleet":"roshan",
    "domains":[{"name":"lahore-a","region":"Punjab","weight":3},
               {"name":"karachi-a","region":"Sindh","weight":2}],
    "teams":[{"name":"punjab-rural","share":4,
              "limit":{"slots":10,"cores":20,"memory_mb":4096,"accelerators":0}},
             {"name":"sindh-coop","share":2,"limit":{"slots":5,"cores":2.5,"memory_mb":1024}}],
    "queues":[{"name":"reorder-check","pool":"reorder-desk","class":"interactive",
               "teams":["punjab-rural"]},
              {"name":"hours","pool":"reorder-desk","class":"interactive","open":true},
              {"name":"print","class":"batch","teams":["punjab-rural","sindh-coop"]}],
    "services":[
      {"name":"watch","team":"punjab-rural","cores":1,"memory_mb":64,"run":"w",
       "depends_on":["register","archive"]},
      {"name":"register","team":"punjab-rural","domain":"lahore-a","replicas":2,"cores":1,
       "memory_mb":64,"run":"r"},
      {"name":"archive","team":"sindh-coop","cores":0.5,"memory_mb":64,"run":"a",
       "depends_on":["register"]}]})");
}

std::vector<ValidationError> errorsWith(std::string_view Pointer, const json &Value) {
  json Text = baseConfiguration();
  Text[json::json_pointer(std::string(Pointer))] = Value;
  return config::parse(Text.dump()).Errors_;
}

void expectSingleError(const std::vector<ValidationError> &Errors, ErrorKind Kind,
                       std::string_view Pointer, std::string_view MessagePart) {
  for (const ValidationError &Error : Errors)
    cr_log_info("%s", Error.text().c_str());
  cr_assert_eq(Errors.size(), 1);
  cr_assert(Errors[0].Kind_ == Kind, "%s", Errors[0].text().c_str());
  cr_assert(Errors[0].Pointer_ == Pointer, "%s", Errors[0].text().c_str());
  cr_assert(Errors[0].Message_.find(MessagePart) != std::string::npos, "%s",
            Errors[0].text().c_str());
}

Configuration parseValid(const json &Text) {
  auto Parsed = config::parse(Text.dump());
  cr_assert(Parsed.Errors_.empty());
  return Parsed.Configuration_;
}

} // namespace

Test(ConfigurationParse, allValuesArrive) {
  const Configuration Config = parseValid(baseConfiguration());
  cr_assert(Config.Fleet_ == "roshan");
  cr_assert_eq(Config.domain("karachi-a")->Weight_, 2);
  cr_assert_eq(Config.team("sindh-coop")->Limit_.Resources_.MilliCores_, 2500);
  cr_assert_eq(Config.team("sindh-coop")->Limit_.Resources_.Accelerators_, 0);
  cr_assert(Config.queue("print")->Class_ == config::QueueClass::Batch);
  cr_assert_eq(Config.service("register")->Replicas_, 2);
  cr_assert_eq(Config.service("watch")->Replicas_, 1);
  cr_assert_null(Config.service("nothing"));
}

// Guards against accepting work of a team that the queue does not list (P3).
Test(ConfigurationParse, onlyListedTeamsMayUseAQueueThatIsNotOpen) {
  const Configuration Config = parseValid(baseConfiguration());
  cr_assert(config::allows(*Config.queue("reorder-check"), "punjab-rural"));
  cr_assert(!config::allows(*Config.queue("reorder-check"), "sindh-coop"));
  cr_assert(!config::allows(*Config.queue("reorder-check"), ""));
  cr_assert(config::allows(*Config.queue("hours"), ""));
}

Test(ConfigurationMistakes, anUnknownTeamNamesTheNearest) {
  expectSingleError(errorsWith("/queues/2/teams/1", "sind-coop"), ErrorKind::OutOfRange,
                    "/queues/2/teams/1", "nearest is \"sindh-coop\"");
  expectSingleError(errorsWith("/services/0/team", "punjab-rurl"), ErrorKind::OutOfRange,
                    "/services/0/team", "nearest is \"punjab-rural\"");
}

Test(ConfigurationMistakes, anUnknownDomainNamesTheNearest) {
  expectSingleError(errorsWith("/services/1/domain", "lahore-b"), ErrorKind::OutOfRange,
                    "/services/1/domain", "nearest is \"lahore-a\"");
}

Test(ConfigurationMistakes, anUnknownDependencyNamesTheNearest) {
  expectSingleError(errorsWith("/services/2/depends_on/0", "registr"), ErrorKind::UnknownDependency,
                    "/services/2/depends_on/0", "nearest is \"register\"");
}

Test(ConfigurationMistakes, aDuplicateNameIsReported) {
  expectSingleError(
      errorsWith("/teams/1/name", "punjab-rural").empty()
          ? std::vector<ValidationError>{}
          : std::vector<ValidationError>{errorsWith("/teams/1/name", "punjab-rural").front()},
      ErrorKind::OutOfRange, "/teams/1/name", "already the name of /teams/0");
}

// Names are parts of job ids and paths; with a slash, two different jobs could have the same id.
Test(ConfigurationMistakes, aNameWithASlashIsRefused) {
  expectSingleError(errorsWith("/queues/1/name", "a/b"), ErrorKind::OutOfRange, "/queues/1/name",
                    "lower-case letters");
}

Test(ConfigurationMistakes, unknownKeysAndWrongTypesHavePointers) {
  expectSingleError(errorsWith("/services/0/replica", 2), ErrorKind::UnknownField,
                    "/services/0/replica", "nearest is \"replicas\"");
  expectSingleError(errorsWith("/teams/0/share", "4"), ErrorKind::WrongType, "/teams/0/share",
                    "expected a number");
  expectSingleError(errorsWith("/teams/0/limit/cores", -1), ErrorKind::OutOfRange,
                    "/teams/0/limit/cores", "outside");
  expectSingleError(errorsWith("/queues/0/class", "interactiv"), ErrorKind::OutOfRange,
                    "/queues/0/class", "nearest is \"interactive\"");
}

Test(ConfigurationMistakes, aReplicaLargerThanItsTeamsLimitIsRefused) {
  expectSingleError(errorsWith("/services/2/cores", 3), ErrorKind::OutOfRange, "/services/2",
                    "limit of team \"sindh-coop\"");
}

Test(ConfigurationCycles, aCycleIsShownAsPath) {
  expectSingleError(errorsWith("/services/1/depends_on", {"watch"}), ErrorKind::DependencyCycle,
                    "/services/1/depends_on/0", "cycle watch -> register -> watch");
}

Test(ConfigurationCycles, aServiceThatDependsOnItselfIsACycle) {
  expectSingleError(errorsWith("/services/1/depends_on", {"register"}), ErrorKind::DependencyCycle,
                    "/services/1/depends_on/0", "cycle register -> register");
}

// Guards against a recursive cycle search, which would overflow the stack.
Test(ConfigurationCycles, aLongChainIsNoCycle) {
  json Text = baseConfiguration();
  Text["services"] = json::array();
  constexpr int Length = 20'000;
  for (int I = 0; I < Length; ++I) {
    json NewService{{"name", "s" + std::to_string(I)},
                    {"team", "punjab-rural"},
                    {"cores", 1},
                    {"memory_mb", 1},
                    {"run", "x"}};
    if (I + 1 < Length)
      NewService["depends_on"] = {"s" + std::to_string(I + 1)};
    Text["services"].push_back(NewService);
  }
  const Configuration Config = parseValid(Text);
  const auto Order = config::startOrder(Config);
  cr_assert_eq(Order.size(), Length);
  cr_assert_eq(Order.front(), Length - 1);
  cr_assert_eq(Order.back(), 0);
}

Test(ConfigurationStartOrder, dependenciesComeFirst) {
  const Configuration Config = parseValid(baseConfiguration());
  std::vector<std::string> Names;
  for (const std::size_t I : config::startOrder(Config))
    Names.push_back(Config.Services_[I].Name_);
  cr_assert((Names == std::vector<std::string>{"register", "archive", "watch"}));
}

Test(ConfigurationDiff, addedRemovedAndChangedObjectsHaveOneLineEach) {
  json Text = baseConfiguration();
  Text["services"][1]["replicas"] = 3;
  Text["queues"].erase(1);
  Text["teams"].push_back(
      {{"name", "indus"}, {"share", 1}, {"limit", {{"slots", 1}, {"cores", 1}, {"memory_mb", 1}}}});
  const auto Lines = config::diff(parseValid(baseConfiguration()), parseValid(Text));
  cr_assert_eq(Lines.size(), 3);
  cr_assert(Lines[0].starts_with("+ team indus: share 1, slots 1, cores 1"));
  cr_assert(Lines[1] == "- queue hours");
  cr_assert(Lines[2] == "~ service register: replicas 2 -> 3");
}

Test(ConfigurationDelta, applyingTheDeltaGivesTheNewText) {
  json Text = baseConfiguration();
  Text["services"][1]["replicas"] = 3;
  Text["queues"].erase(1);
  const auto Delta = config::delta(baseConfiguration().dump(), Text.dump());
  cr_assert(Delta.has_value());
  cr_assert(config::applyDelta(baseConfiguration().dump(), *Delta) ==
            config::canonicalText(Text.dump()));
}

Test(ConfigurationDelta, aDeltaThatDoesNotApplyGivesNothing) {
  cr_assert(!config::applyDelta("{}", R"([{"op":"remove","path":"/a"}])"));
  cr_assert(!config::applyDelta("{}", "nonsense"));
  cr_assert(!config::canonicalText("{"));
}
