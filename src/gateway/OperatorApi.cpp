#include "masticdrift/gateway/OperatorApi.h"

#include "masticdrift/config/Key.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/gateway/Response.h"
#include "masticdrift/settings/Reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

namespace masticdrift::gateway {

namespace {

using core::ErrorKind;
using Json = nlohmann::ordered_json;

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// \returns the value of a non-negative integer, or nothing for any other text.
std::optional<std::int64_t> parseNonNegative(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size() || Value < 0)
    return std::nullopt;
  return Value;
}

http::Response invalidNumberResponse(std::string_view FieldName) {
  return errorResponse(
      {ErrorKind::OutOfRange, std::string(FieldName) + ": expected a non-negative integer"});
}

/// All paths of the interface; "*" stands for a key id.
constexpr std::array<std::string_view, 10> KnownPaths{
    "metrics", "healthz",   "v1/config", "v1/config/history", "v1/inforce",
    "v1/keys", "v1/keys/*", "v1/audit",  "v1/status",         "v1/drain"};

std::string pathPattern(const std::vector<std::string> &Segments) {
  std::string Pattern;
  for (std::size_t Index = 0; Index < Segments.size(); ++Index) {
    const bool IsKeyId = Index == 2 && Pattern == "v1/keys";
    Pattern += (Index == 0 ? "" : "/") + (IsKeyId ? "*" : Segments[Index]);
  }
  return Pattern;
}

Json versionJson(const config::VersionInfo &Version) {
  return {{"version", Version.Version_},
          {"author", Version.Author_},
          {"time_ms", Version.WallMs_},
          {"changes", Version.Changes_}};
}

Json keyJson(const config::KeyInfo &Key) {
  Json KeyObject{{"key_id", Key.KeyId_},
                 {"team", Key.Team_},
                 {"granted_by", Key.GrantedBy_},
                 {"granted_ms", Key.GrantedMs_},
                 {"revoked", Key.Revoked_}};
  if (Key.Revoked_) {
    KeyObject["revoked_by"] = Key.RevokedBy_;
    KeyObject["revoked_ms"] = Key.RevokedMs_;
  }
  return KeyObject;
}

Json auditJson(const config::AuditEntry &Entry) {
  return {{"offset", Entry.Offset_}, {"time_ms", Entry.WallMs_}, {"author", Entry.Author_},
          {"action", Entry.Action_}, {"object", Entry.Object_},  {"accepted", Entry.Accepted_},
          {"detail", Entry.Detail_}};
}

http::Response configResponse(const replica::ConfigResponse &Result) {
  if (!Result.Error_)
    return jsonResponse(dump({{"version", Result.Version_}}));
  http::Response Response = errorResponse(Result.Error_);
  if (Result.Error_.Kind_ == ErrorKind::VersionConflict) {
    Json Body = Json::parse(Response.Body_);
    Body["current_version"] = Result.Version_;
    Response.Body_ = dump(Body);
  }
  return Response;
}

} // namespace

struct OperatorApi::Impl : std::enable_shared_from_this<Impl> {
  Impl(std::vector<std::string> KeyHashes, std::size_t FleetSize, replica::ConfigReplica &Config,
       OperatorApiHooks Hooks)
      : KeyHashes_(std::move(KeyHashes)), FleetSize_(FleetSize), Config_(Config),
        Hooks_(std::move(Hooks)) {}

  bool isAuthorized(const http::Request &Request) const {
    const std::string Hash = config::hashKey(bearerToken(Request));
    bool Matches = false;
    for (const std::string &KnownHash : KeyHashes_)
      Matches = config::constantTimeEqual(KnownHash, Hash) || Matches;
    return Matches;
  }

  void handle(http::Request Request, http::Responder Respond) {
    const auto Segments = http::pathSegments(Request.Path_);
    const std::string Pattern = pathPattern(Segments);
    const std::string Route = Request.Method_ + " " + Pattern;
    if (Route == "GET metrics")
      return Respond({200, core::renderMetrics(), "text/plain; version=0.0.4", {}});
    if (Route == "GET healthz")
      return Respond(jsonResponse(R"({"status":"ok"})"));
    if (!isAuthorized(Request))
      return Respond(errorResponse(
          {bearerToken(Request).empty() ? ErrorKind::MissingKey : ErrorKind::UnknownKey,
           "an operator key is required"}));
    if (Route == "GET v1/config")
      return Respond(currentConfig());
    if (Route == "GET v1/config/history")
      return Respond(configHistory());
    if (Route == "POST v1/config")
      return submitConfig(Request, std::move(Respond));
    if (Route == "GET v1/inforce")
      return Respond(versionInForce(Request));
    if (Route == "GET v1/keys")
      return Respond(listKeys());
    if (Route == "POST v1/keys")
      return grantKey(Request, std::move(Respond));
    if (Route == "DELETE v1/keys/*")
      return revokeKey(Segments[2], Request, std::move(Respond));
    if (Route == "GET v1/audit")
      return Respond(listAudit(Request));
    if (Route == "GET v1/status")
      return Respond(jsonResponse(Hooks_.StatusJson_()));
    if (Route == "POST v1/drain") {
      Hooks_.Drain_();
      return Respond(jsonResponse(R"({"status":"draining"})", 202));
    }
    if (std::ranges::find(KnownPaths, Pattern) != KnownPaths.end())
      return Respond(
          errorResponse({ErrorKind::MethodNotAllowed, Request.Method_ + " is not allowed here"}));
    Respond(errorResponse({ErrorKind::UnknownPath, "no such path: " + Request.Path_}));
  }

  http::Response currentConfig() const {
    return jsonResponse(
        dump({{"version", Config_.state().version()}, {"text", Config_.state().text()}}));
  }

  http::Response configHistory() const {
    Json Versions = Json::array();
    for (const config::VersionInfo &Version : Config_.state().history())
      Versions.push_back(versionJson(Version));
    return jsonResponse(dump(Versions));
  }

  http::Response listKeys() const {
    Json Keys = Json::array();
    for (const config::KeyInfo &Key : Config_.state().keys())
      Keys.push_back(keyJson(Key));
    return jsonResponse(dump(Keys));
  }

  http::Response listAudit(const http::Request &Request) const {
    const std::string SinceText = http::queryValue(Request.Query_, "since");
    const auto Since =
        SinceText.empty() ? std::optional<std::int64_t>(0) : parseNonNegative(SinceText);
    if (!Since)
      return invalidNumberResponse("since");
    const std::string Author = http::queryValue(Request.Query_, "author");
    const std::string Object = http::queryValue(Request.Query_, "object");
    Json Entries = Json::array();
    for (const config::AuditEntry &Entry : Config_.state().audit())
      if (Entry.WallMs_ >= *Since && (Author.empty() || Entry.Author_ == Author) &&
          (Object.empty() || Entry.Object_ == Object))
        Entries.push_back(auditJson(Entry));
    return jsonResponse(dump(Entries));
  }

  http::Response versionInForce(const http::Request &Request) const {
    const auto ParsedVersion = parseNonNegative(http::queryValue(Request.Query_, "version"));
    if (!ParsedVersion)
      return invalidNumberResponse("version");
    const std::int64_t Version = *ParsedVersion;
    std::uint64_t VersionOffset = UINT64_MAX;
    for (const config::VersionInfo &Info : Config_.state().history())
      if (static_cast<std::int64_t>(Info.Version_) == Version)
        VersionOffset = Info.Offset_;
    Json Instances = Json::array();
    std::size_t InForceCount = 0;
    for (const InstanceConfigOffset &Instance : Hooks_.ConfigOffsets_()) {
      // An offset is the number of applied records, so a version is in force at a daemon whose
      // offset is greater than the offset of the version's record.
      const bool InForce = Instance.Reachable_ && Instance.ConfigOffset_ > VersionOffset;
      InForceCount += InForce ? 1 : 0;
      Instances.push_back(
          {{"name", Instance.Name_}, {"in_force", InForce}, {"heard", Instance.Reachable_}});
    }
    const bool InForceEverywhere = InForceCount == Instances.size() && InForceCount >= FleetSize_;
    return jsonResponse(
        dump({{"version", Version}, {"all", InForceEverywhere}, {"instances", Instances}}));
  }

  void submitConfig(const http::Request &Request, http::Responder Respond) {
    const std::string_view BaseVersionText =
        http::findHeader(Request.Headers_, "Masticdrift-Base-Version");
    const std::string_view Author = http::findHeader(Request.Headers_, "Masticdrift-Author");
    std::string_view ClientRequestId = http::findHeader(Request.Headers_, "Masticdrift-Request-Id");
    const std::string RequestId =
        ClientRequestId.empty() ? newRequestId() : std::string(ClientRequestId);
    if (BaseVersionText.empty())
      return Respond(errorResponse(
          {ErrorKind::MissingField, "Masticdrift-Base-Version: required header is missing"}));
    const auto BaseVersion = parseNonNegative(BaseVersionText);
    if (!BaseVersion)
      return Respond(invalidNumberResponse("Masticdrift-Base-Version"));
    if (Author.empty())
      return Respond(errorResponse(
          {ErrorKind::MissingField, "Masticdrift-Author: required header is missing"}));
    Config_.submit(RequestId, Request.Body_, static_cast<std::uint64_t>(*BaseVersion), Author,
                   [Respond = std::move(Respond)](const replica::ConfigResponse &Result) {
                     Respond(configResponse(Result));
                   });
  }

  void grantKey(const http::Request &Request, http::Responder Respond) {
    settings::Reader Reader(Request.Body_);
    const std::string Team = Reader.root().string("team");
    const std::string Author = Reader.root().string("author");
    if (const auto Errors = Reader.finish(); !Errors.empty())
      return Respond(errorResponse(Errors.front().failure()));
    Config_.grant(
        Team, Author, [Team, Respond = std::move(Respond)](const replica::ConfigResponse &Result) {
          Respond(Result.Error_
                      ? errorResponse(Result.Error_)
                      : jsonResponse(
                            dump({{"key_id", Result.KeyId_}, {"team", Team}, {"key", Result.Key_}}),
                            201));
        });
  }

  void revokeKey(const std::string &KeyId, const http::Request &Request, http::Responder Respond) {
    const std::string_view Author = http::findHeader(Request.Headers_, "Masticdrift-Author");
    if (Author.empty())
      return Respond(errorResponse(
          {ErrorKind::MissingField, "Masticdrift-Author: required header is missing"}));
    Config_.revoke(
        KeyId, Author, [Respond = std::move(Respond)](const replica::ConfigResponse &Result) {
          Respond(Result.Error_
                      ? errorResponse(Result.Error_)
                      : jsonResponse(dump({{"key_id", Result.KeyId_}, {"revoked", true}})));
        });
  }

  const std::vector<std::string> KeyHashes_;
  const std::size_t FleetSize_;
  replica::ConfigReplica &Config_;
  const OperatorApiHooks Hooks_;
};

OperatorApi::OperatorApi(std::vector<std::string> KeyHashes, std::size_t FleetSize,
                         replica::ConfigReplica &Config, OperatorApiHooks Hooks)
    : Impl_(std::make_shared<Impl>(std::move(KeyHashes), FleetSize, Config, std::move(Hooks))) {}

OperatorApi::~OperatorApi() = default;

void OperatorApi::handle(http::Request Request, http::Responder Respond) {
  Impl_->handle(std::move(Request), std::move(Respond));
}

} // namespace masticdrift::gateway
