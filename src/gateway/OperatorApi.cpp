#include "masticdrift/gateway/OperatorApi.h"

#include "masticdrift/config/Key.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/gateway/Answer.h"
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

/// \returns a whole number that is not negative, or nothing for any other text.
std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size() || Value < 0)
    return std::nullopt;
  return Value;
}

http::Response notANumber(std::string_view Where) {
  return errorAnswer({ErrorKind::OutOfRange,
                      std::string(Where) + ": expected a whole number that is not negative"});
}

/// Every path of the interface; "*" stands for a key id.
constexpr std::array<std::string_view, 10> Paths{
    "metrics", "healthz",   "v1/config", "v1/config/history", "v1/inforce",
    "v1/keys", "v1/keys/*", "v1/audit",  "v1/status",         "v1/drain"};

std::string patternOf(const std::vector<std::string> &Path) {
  std::string Pattern;
  for (std::size_t I = 0; I < Path.size(); ++I) {
    const bool KeyId = I == 2 && Pattern == "v1/keys";
    Pattern += (I == 0 ? "" : "/") + (KeyId ? "*" : Path[I]);
  }
  return Pattern;
}

Json versionJson(const config::VersionInfo &One) {
  return {{"version", One.Version_},
          {"author", One.Author_},
          {"time_ms", One.WallMs_},
          {"changes", One.Changes_}};
}

Json keyJson(const config::KeyInfo &One) {
  Json To{{"key_id", One.KeyId_},
          {"team", One.Team_},
          {"granted_by", One.GrantedBy_},
          {"granted_ms", One.GrantedMs_},
          {"revoked", One.Revoked_}};
  if (One.Revoked_) {
    To["revoked_by"] = One.RevokedBy_;
    To["revoked_ms"] = One.RevokedMs_;
  }
  return To;
}

Json auditJson(const config::AuditEntry &One) {
  return {{"offset", One.Offset_}, {"time_ms", One.WallMs_}, {"author", One.Author_},
          {"action", One.Action_}, {"object", One.Object_},  {"accepted", One.Accepted_},
          {"detail", One.Detail_}};
}

http::Response configAnswer(const replica::ConfigResponse &From) {
  if (!From.Error_)
    return jsonAnswer(dump({{"version", From.Version_}}));
  http::Response To = errorAnswer(From.Error_);
  if (From.Error_.Kind_ == ErrorKind::VersionConflict) {
    Json Body = Json::parse(To.Body_);
    Body["current_version"] = From.Version_;
    To.Body_ = dump(Body);
  }
  return To;
}

} // namespace

struct OperatorApi::Impl : std::enable_shared_from_this<Impl> {
  Impl(std::vector<std::string> KeyHashes, std::size_t FleetSize, replica::ConfigReplica &Config,
       OperatorApiHooks Hooks)
      : KeyHashes_(std::move(KeyHashes)), FleetSize_(FleetSize), Config_(Config),
        Hooks_(std::move(Hooks)) {}

  bool authorized(const http::Request &Incoming) const {
    const std::string Hash = config::hashKey(bearerToken(Incoming));
    bool Found = false;
    for (const std::string &Known : KeyHashes_)
      Found = config::constantTimeEqual(Known, Hash) || Found;
    return Found;
  }

  void handle(http::Request Incoming, http::Responder Respond) {
    const auto Path = http::pathSegments(Incoming.Path_);
    const std::string Pattern = patternOf(Path);
    const std::string Route = Incoming.Method_ + " " + Pattern;
    if (Route == "GET metrics")
      return Respond({200, core::renderMetrics(), "text/plain; version=0.0.4", {}});
    if (Route == "GET healthz")
      return Respond(jsonAnswer(R"({"status":"ok"})"));
    if (!authorized(Incoming))
      return Respond(errorAnswer(
          {bearerToken(Incoming).empty() ? ErrorKind::MissingKey : ErrorKind::UnknownKey,
           "an operator's key is needed"}));
    if (Route == "GET v1/config")
      return Respond(current());
    if (Route == "GET v1/config/history")
      return Respond(history());
    if (Route == "POST v1/config")
      return submit(Incoming, std::move(Respond));
    if (Route == "GET v1/inforce")
      return Respond(inForce(Incoming));
    if (Route == "GET v1/keys")
      return Respond(keys());
    if (Route == "POST v1/keys")
      return grant(Incoming, std::move(Respond));
    if (Route == "DELETE v1/keys/*")
      return revoke(Path[2], Incoming, std::move(Respond));
    if (Route == "GET v1/audit")
      return Respond(audit(Incoming));
    if (Route == "GET v1/status")
      return Respond(jsonAnswer(Hooks_.Status_()));
    if (Route == "POST v1/drain") {
      Hooks_.Drain_();
      return Respond(jsonAnswer(R"({"status":"draining"})", 202));
    }
    if (std::ranges::find(Paths, Pattern) != Paths.end())
      return Respond(
          errorAnswer({ErrorKind::MethodNotAllowed, Incoming.Method_ + " is not allowed here"}));
    Respond(errorAnswer({ErrorKind::UnknownPath, "no such path: " + Incoming.Path_}));
  }

  http::Response current() const {
    return jsonAnswer(
        dump({{"version", Config_.state().version()}, {"text", Config_.state().text()}}));
  }

  http::Response history() const {
    Json All = Json::array();
    for (const config::VersionInfo &One : Config_.state().history())
      All.push_back(versionJson(One));
    return jsonAnswer(dump(All));
  }

  http::Response keys() const {
    Json All = Json::array();
    for (const config::KeyInfo &One : Config_.state().keys())
      All.push_back(keyJson(One));
    return jsonAnswer(dump(All));
  }

  http::Response audit(const http::Request &Incoming) const {
    const std::string Given = http::queryValue(Incoming.Query_, "since");
    const auto Since = Given.empty() ? std::optional<std::int64_t>(0) : parseNumber(Given);
    if (!Since)
      return notANumber("since");
    const std::string Author = http::queryValue(Incoming.Query_, "author");
    const std::string Object = http::queryValue(Incoming.Query_, "object");
    Json All = Json::array();
    for (const config::AuditEntry &One : Config_.state().audit())
      if (One.WallMs_ >= *Since && (Author.empty() || One.Author_ == Author) &&
          (Object.empty() || One.Object_ == Object))
        All.push_back(auditJson(One));
    return jsonAnswer(dump(All));
  }

  http::Response inForce(const http::Request &Incoming) const {
    const auto Parsed = parseNumber(http::queryValue(Incoming.Query_, "version"));
    if (!Parsed)
      return notANumber("version");
    const std::int64_t Version = *Parsed;
    std::uint64_t Needed = UINT64_MAX;
    for (const config::VersionInfo &One : Config_.state().history())
      if (static_cast<std::int64_t>(One.Version_) == Version)
        Needed = One.Offset_;
    Json Instances = Json::array();
    std::size_t Count = 0;
    for (const InstanceOffset &One : Hooks_.Offsets_()) {
      // Offsets count applied records, so a version is in force above its own offset.
      const bool Has = One.Heard_ && One.ConfigOffset_ > Needed;
      Count += Has ? 1 : 0;
      Instances.push_back({{"name", One.Name_}, {"in_force", Has}, {"heard", One.Heard_}});
    }
    const bool All = Count == Instances.size() && Count >= FleetSize_;
    return jsonAnswer(dump({{"version", Version}, {"all", All}, {"instances", Instances}}));
  }

  void submit(const http::Request &Incoming, http::Responder Respond) {
    const std::string_view Base = http::findHeader(Incoming.Headers_, "Masticdrift-Base-Version");
    const std::string_view Author = http::findHeader(Incoming.Headers_, "Masticdrift-Author");
    std::string_view GivenId = http::findHeader(Incoming.Headers_, "Masticdrift-Request-Id");
    const std::string Id = GivenId.empty() ? newRequestId() : std::string(GivenId);
    if (Base.empty())
      return Respond(errorAnswer(
          {ErrorKind::MissingField, "Masticdrift-Base-Version: required header is missing"}));
    const auto Number = parseNumber(Base);
    if (!Number)
      return Respond(notANumber("Masticdrift-Base-Version"));
    if (Author.empty())
      return Respond(
          errorAnswer({ErrorKind::MissingField, "Masticdrift-Author: required header is missing"}));
    Config_.submit(Id, Incoming.Body_, static_cast<std::uint64_t>(*Number), Author,
                   [Respond = std::move(Respond)](const replica::ConfigResponse &From) {
                     Respond(configAnswer(From));
                   });
  }

  void grant(const http::Request &Incoming, http::Responder Respond) {
    settings::Reader Reader(Incoming.Body_);
    const std::string Team = Reader.root().string("team");
    const std::string Author = Reader.root().string("author");
    if (const auto Mistakes = Reader.finish(); !Mistakes.empty())
      return Respond(errorAnswer(Mistakes.front().failure()));
    Config_.grant(
        Team, Author, [Team, Respond = std::move(Respond)](const replica::ConfigResponse &From) {
          Respond(
              From.Error_
                  ? errorAnswer(From.Error_)
                  : jsonAnswer(dump({{"key_id", From.KeyId_}, {"team", Team}, {"key", From.Key_}}),
                               201));
        });
  }

  void revoke(const std::string &KeyId, const http::Request &Incoming, http::Responder Respond) {
    const std::string_view Author = http::findHeader(Incoming.Headers_, "Masticdrift-Author");
    if (Author.empty())
      return Respond(
          errorAnswer({ErrorKind::MissingField, "Masticdrift-Author: required header is missing"}));
    Config_.revoke(
        KeyId, Author, [Respond = std::move(Respond)](const replica::ConfigResponse &From) {
          Respond(From.Error_ ? errorAnswer(From.Error_)
                              : jsonAnswer(dump({{"key_id", From.KeyId_}, {"revoked", true}})));
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

void OperatorApi::handle(http::Request Incoming, http::Responder Respond) {
  Impl_->handle(std::move(Incoming), std::move(Respond));
}

} // namespace masticdrift::gateway
