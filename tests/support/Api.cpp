#include "support/Api.h"

#include <set>
#include <stdexcept>

namespace masticdrift::testing {

std::string Reply::errorId() const {
  const Json Body = json();
  return Body.is_object() ? Body.value("id", "") : "";
}

Reply call(const std::string &Method, const std::string &Url, const std::string &Body,
           const http::Headers &Headers, core::Millis Timeout) {
  static http::Client Client;
  http::ClientRequest Request;
  Request.Method_ = Method;
  Request.Url_ = Url;
  Request.Body_ = Body;
  Request.Headers_ = Headers;
  Request.Timeout_ = Timeout;
  Request.FreshConnection_ = true;
  const http::ClientResult Result = Client.sendAndWait(std::move(Request));
  Reply Answer;
  Answer.Complete_ = Result.Transfer_ == http::Transfer::Complete;
  Answer.Status_ = Result.Answer_.Status_;
  Answer.Body_ = Result.Answer_.Body_;
  Answer.Outcome_ = std::string(http::findHeader(Result.Answer_.Headers_, "Masticdrift-Outcome"));
  return Answer;
}

Json defaultConfiguration() {
  return Json::parse(R"({
    "fleet": "roshan",
    "domains": [
      {"name": "lahore-a", "region": "punjab", "weight": 1},
      {"name": "faisalabad-b", "region": "punjab", "weight": 1},
      {"name": "karachi-a", "region": "sindh", "weight": 1}],
    "teams": [
      {"name": "mfi", "share": 4, "limit": {"slots": 300, "cores": 300, "memory_mb": 600000, "accelerators": 0}},
      {"name": "coop", "share": 2, "limit": {"slots": 300, "cores": 300, "memory_mb": 600000, "accelerators": 0}},
      {"name": "small", "share": 1, "limit": {"slots": 6, "cores": 12, "memory_mb": 24000, "accelerators": 0}}],
    "queues": [
      {"name": "reorder", "pool": "reorder-desk", "class": "interactive", "teams": ["mfi", "coop", "small"]},
      {"name": "status", "pool": "reorder-desk", "class": "interactive", "open": true},
      {"name": "print", "class": "batch", "teams": ["mfi", "coop", "small"]},
      {"name": "urgent-print", "class": "urgent", "teams": ["mfi", "coop"]}],
    "services": []})");
}

Reply Api::operatorCall(const std::string &Method, const std::string &Path, const std::string &Body,
                        http::Headers Headers) {
  Headers.emplace_back("Authorization", std::string("Bearer ") + OperatorToken);
  return call(Method, Fleet_.operatorUrl(Daemon_) + Path, Body, Headers);
}

Reply Api::submitConfig(const Json &Configuration, std::uint64_t BaseVersion,
                        const std::string &Author, const std::string &RequestId) {
  http::Headers Headers{{"Masticdrift-Base-Version", std::to_string(BaseVersion)},
                        {"Masticdrift-Author", Author}};
  if (!RequestId.empty())
    Headers.emplace_back("Masticdrift-Request-Id", RequestId);
  return operatorCall("POST", "/v1/config", Configuration.dump(), std::move(Headers));
}

std::string Api::createKey(const std::string &Team) {
  const Reply Answer =
      operatorCall("POST", "/v1/keys", Json{{"team", Team}, {"author", "test"}}.dump());
  if (Answer.Status_ != 201)
    throw std::runtime_error("cannot create a key for team " + Team + ": " +
                             std::to_string(Answer.Status_) + " " + Answer.Body_);
  return Answer.json().at("key");
}

Reply Api::request(const std::string &Queue, const std::string &Body,
                   const RequestOptions &Options) {
  http::Headers Headers{{"Masticdrift-Deadline-Ms", std::to_string(Options.DeadlineMs_)},
                        {"Masticdrift-Idempotent", Options.Idempotent_ ? "true" : "false"}};
  if (!Options.Key_.empty())
    Headers.emplace_back("Authorization", "Bearer " + Options.Key_);
  if (!Options.Id_.empty())
    Headers.emplace_back("Masticdrift-Request-Id", Options.Id_);
  Headers.insert(Headers.end(), Options.ExtraHeaders_.begin(), Options.ExtraHeaders_.end());
  return call("POST", Fleet_.callerUrl(Daemon_) + "/v1/queues/" + Queue + "/requests", Body,
              Headers, core::Millis(Options.DeadlineMs_ + 2000));
}

Reply Api::submitJob(const std::string &Queue, const Json &Job, const std::string &Key) {
  return call("POST", Fleet_.callerUrl(Daemon_) + "/v1/queues/" + Queue + "/jobs", Job.dump(),
              {{"Authorization", "Bearer " + Key}});
}

Reply Api::job(const std::string &Id, const std::string &Key) {
  return call("GET", Fleet_.callerUrl(Daemon_) + "/v1/jobs/" + Id, {},
              {{"Authorization", "Bearer " + Key}});
}

Reply Api::cancelJob(const std::string &JobId, const std::string &Key) {
  return call("DELETE", Fleet_.callerUrl(Daemon_) + "/v1/jobs/" + JobId, {},
              {{"Authorization", "Bearer " + Key}});
}

Json Api::status() { return operatorCall("GET", "/v1/status").json(); }

bool bringUp(Fleet &Cluster, const Json &Configuration, core::Millis Deadline) {
  const core::TimePoint DeadlineTime = core::Clock::now() + Deadline;
  const auto RemainingTime = [&] {
    return std::chrono::duration_cast<core::Millis>(DeadlineTime - core::Clock::now());
  };
  Api FirstDaemon(Cluster, Cluster.names().front());
  if (!waitFor(RemainingTime(),
               [&] { return FirstDaemon.submitConfig(Configuration, 0).Status_ == 200; }))
    return false;
  return waitFor(RemainingTime(), [&] {
    std::set<std::string> Domains;
    std::set<std::string> OwnedDomains;
    for (const std::string &Name : Cluster.names()) {
      const Json Status = Api(Cluster, Name).status();
      if (!Status.is_object() || Status.value("config_version", 0) < 1 ||
          !Status.value("config_fresh", false) ||
          Status.value("reachable_domains", 0U) < Cluster.domains())
        return false;
      Domains.insert(Status.at("domain"));
      if (Status.value("is_owner", false) && Status.value("free_slots", 0) > 0 &&
          Status.value("usable_workers", 0) > 0)
        OwnedDomains.insert(Status.at("domain"));
    }
    return OwnedDomains == Domains;
  });
}

} // namespace masticdrift::testing
