#include "masticdrift/gateway/CallerApi.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/gateway/JobRequest.h"
#include "masticdrift/gateway/Response.h"

#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

namespace masticdrift::gateway {

namespace {

using core::ErrorKind;
using core::Failure;
using core::TimePoint;

/// Maximum number of job ids in one bulk cancellation.
constexpr std::size_t MaxCancelledJobs = 10'000;

/// Team and key of a caller, or why the caller was refused.
struct CallerIdentity {
  Failure Error_;
  std::string Team_;
  std::string KeyId_;
};

std::optional<std::int64_t> parseInteger(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

http::Response completedResponse(routing::Outcome Result, const std::string &RequestId) {
  http::Response Response;
  Response.Status_ = Result.Status_;
  Response.Body_ = std::move(Result.Body_);
  Response.ContentType_ =
      Result.ContentType_.empty() ? "application/octet-stream" : std::move(Result.ContentType_);
  Response.Headers_ = {{"Masticdrift-Outcome", "completed"}, {"Masticdrift-Request-Id", RequestId}};
  return Response;
}

std::string_view outcomeLabel(const routing::Outcome &Result) {
  if (Result.Kind_ == ErrorKind::None)
    return "completed";
  switch (Result.Ran_) {
  case core::RunState::NotRun:
    return "not_run";
  case core::RunState::Ran:
    return "failed";
  case core::RunState::MayHaveRun:
    break;
  }
  return "unknown";
}

} // namespace

struct CallerApi::Impl : std::enable_shared_from_this<Impl> {
  Impl(CallerApiOptions Options, replica::ConfigReplica &Config, routing::Router &Router,
       cell::JobService &Jobs, const legacy::InstanceList &Instances)
      : Options_(Options), Config_(Config), Router_(Router), Jobs_(Jobs), Instances_(Instances) {}

  void handle(http::Request Request, http::Responder Respond) {
    const auto Segments = http::pathSegments(Request.Path_);
    if (Segments.size() == 1 && Segments[0] == "healthz")
      return Respond(jsonResponse(R"({"status":"ok"})"));
    if (Segments.size() == 1 && Segments[0] == "readyz")
      return Respond(readiness());
    ++InFlight_;
    auto CountedRespond = [Self = shared_from_this(),
                           Respond = std::move(Respond)](http::Response Response) {
      Respond(std::move(Response));
      --Self->InFlight_;
    };
    if (RefuseNew_)
      return CountedRespond(errorResponse({ErrorKind::Stopping, "the daemon is shutting down"}));
    route(Segments, Request, std::move(CountedRespond));
  }

  void route(const std::vector<std::string> &Segments, http::Request &Request,
             http::Responder Respond) {
    const bool IsV1 = !Segments.empty() && Segments[0] == "v1";
    if (IsV1 && Segments.size() == 4 && Segments[1] == "queues" && Segments[3] == "requests")
      return onlyMethod("POST", Request, Respond)
                 ? submitRequest(Segments[2], Request, std::move(Respond))
                 : void();
    if (IsV1 && Segments.size() == 4 && Segments[1] == "queues" && Segments[3] == "jobs")
      return onlyMethod("POST", Request, Respond)
                 ? submitJob(Segments[2], Request, std::move(Respond))
                 : void();
    if (IsV1 && Segments.size() == 2 && Segments[1] == "jobs")
      return onlyMethod("GET", Request, Respond) ? listJobs(Request, std::move(Respond)) : void();
    if (IsV1 && Segments.size() == 3 && Segments[1] == "jobs" && Segments[2] == "cancel")
      return onlyMethod("POST", Request, Respond) ? cancelJobs(Request, std::move(Respond))
                                                  : void();
    if (IsV1 && Segments.size() == 5 && Segments[1] == "jobs")
      return handleJob(Segments[2] + "/" + Segments[3] + "/" + Segments[4], Request,
                       std::move(Respond));
    Respond(errorResponse({ErrorKind::UnknownPath, "no such path: " + Request.Path_}));
  }

  static bool onlyMethod(std::string_view Allowed, const http::Request &Request,
                         const http::Responder &Respond) {
    if (Request.Method_ == Allowed)
      return true;
    Respond(errorResponse({ErrorKind::MethodNotAllowed, Request.Method_ + " is not allowed here"}));
    return false;
  }

  http::Response readiness() const {
    const bool Ready = !NotReady_ && Config_.loaded() && Router_.reachableDomains() > 0;
    return jsonResponse(Ready ? R"({"status":"ready"})" : R"({"status":"not ready"})",
                        Ready ? 200 : 503);
  }

  // --- Admission ---

  Failure staleConfigFailure(TimePoint Now) const {
    const auto Age = Config_.age(Now);
    return {ErrorKind::ConfigurationStale,
            "configuration last confirmed " +
                (Age ? std::to_string(core::toMillis(*Age)) + " ms ago" : "never") + ", limit " +
                std::to_string(core::toMillis(Options_.FreshnessBound_)) + " ms"};
  }

  /// Identifies the team by its key. Keys are accepted only while the configuration is fresh,
  /// because a stale one may lack a revocation.
  CallerIdentity identify(const http::Request &Request, TimePoint Now) const {
    const std::string_view Token = bearerToken(Request);
    if (Token.empty())
      return {{ErrorKind::MissingKey, "send the team's key as a bearer token"}};
    const config::KeyLookup Lookup = Config_.state().findKey(Token);
    if (Lookup.Status_ == config::KeyStatus::Revoked)
      return {{ErrorKind::RevokedKey, "key " + Lookup.KeyId_ + " was revoked"}};
    if (!Config_.fresh(Now))
      return {staleConfigFailure(Now)};
    if (Lookup.Status_ == config::KeyStatus::Unknown)
      return {{ErrorKind::UnknownKey, "key is not known"}};
    return {{}, Lookup.Team_, Lookup.KeyId_};
  }

  CallerIdentity admit(const config::Configuration &Current, const std::string &QueueName,
                       const http::Request &Request, TimePoint Now) const {
    if (!Config_.loaded())
      return {staleConfigFailure(Now)};
    const config::Queue *Queue = Current.queue(QueueName);
    if (!Queue)
      return {Config_.fresh(Now)
                  ? Failure{ErrorKind::UnknownQueue, "queue \"" + QueueName + "\" does not exist"}
                  : staleConfigFailure(Now)};
    if (Queue->Open_ && bearerToken(Request).empty())
      return {};
    CallerIdentity Caller = identify(Request, Now);
    // An open queue serves callers even while a stale configuration prevents checking their key.
    if (Queue->Open_ && Caller.Error_.Kind_ == ErrorKind::ConfigurationStale)
      return {};
    if (!Caller.Error_ && !Queue->Open_ && !config::allows(*Queue, Caller.Team_))
      return {{ErrorKind::KeyTeamMismatch,
               "queue \"" + QueueName + "\" is not open to team \"" + Caller.Team_ + "\""}};
    return Caller;
  }

  // --- Interactive requests ---

  void submitRequest(const std::string &QueueName, http::Request &Request,
                     http::Responder Respond) {
    const TimePoint Now = core::Clock::now();
    const std::string_view ClientRequestId =
        http::findHeader(Request.Headers_, "Masticdrift-Request-Id");
    const std::string RequestId =
        ClientRequestId.empty() ? newRequestId() : std::string(ClientRequestId);
    const auto Current = Config_.state().current();
    CallerIdentity Caller = admit(*Current, QueueName, Request, Now);
    const config::Queue *Queue = Current->queue(QueueName);
    if (!Caller.Error_ && Queue->Class_ != config::QueueClass::Interactive)
      Caller.Error_ = {ErrorKind::UnknownQueue,
                       "queue \"" + QueueName + "\" accepts jobs, not interactive requests"};
    routing::InteractiveRequest Submission;
    if (!Caller.Error_)
      Caller.Error_ = readOptions(Request, Now, Submission);
    if (Caller.Error_) {
      core::count("masticdrift_requests_total",
                  {{"outcome", "not_run"},
                   {"kind", std::string(core::describe(Caller.Error_.Kind_).Name_)}});
      return Respond(errorResponse(Caller.Error_, RequestId));
    }
    Submission.RequestId_ = RequestId;
    Submission.Team_ = std::move(Caller.Team_);
    Submission.KeyId_ = std::move(Caller.KeyId_);
    Submission.Queue_ = QueueName;
    Submission.Pool_ = Queue->Pool_;
    Submission.ContentType_ = std::string(http::findHeader(Request.Headers_, "Content-Type"));
    Submission.Body_ = std::move(Request.Body_);
    Router_.submit(std::move(Submission),
                   [RequestId, Now, Respond = std::move(Respond)](routing::Outcome Result) {
                     respondWith(std::move(Result), RequestId, Now, Respond);
                   });
  }

  static void respondWith(routing::Outcome Result, const std::string &RequestId, TimePoint Received,
                          const http::Responder &Respond) {
    const std::string Kind(Result.Kind_ == ErrorKind::None ? "none"
                                                           : core::describe(Result.Kind_).Name_);
    core::count("masticdrift_requests_total",
                {{"outcome", std::string(outcomeLabel(Result))}, {"kind", Kind}});
    core::observe("masticdrift_request_seconds",
                  std::chrono::duration<double>(core::Clock::now() - Received).count());
    if (Result.Kind_ == ErrorKind::None)
      return Respond(completedResponse(std::move(Result), RequestId));
    core::log(core::LogLevel::Debug, "request not completed",
              {{"request_id", RequestId}, {"kind", Kind}, {"message", Result.Message_}});
    Respond(errorResponse({Result.Kind_, std::move(Result.Message_)}, RequestId));
  }

  Failure readOptions(const http::Request &Request, TimePoint Now,
                      routing::InteractiveRequest &Submission) const {
    const std::string_view Deadline = http::findHeader(Request.Headers_, "Masticdrift-Deadline-Ms");
    const auto Value =
        Deadline.empty() ? Options_.DefaultDeadline_.count() : parseInteger(Deadline);
    if (!Value || *Value < 1 || *Value > Options_.MaxDeadline_.count())
      return {ErrorKind::OutOfRange, "Masticdrift-Deadline-Ms: expected an integer from 1 to " +
                                         std::to_string(Options_.MaxDeadline_.count())};
    Submission.Deadline_ = Now + core::Millis(*Value);
    const std::string_view Idempotent =
        http::findHeader(Request.Headers_, "Masticdrift-Idempotent");
    if (!Idempotent.empty() && Idempotent != "true" && Idempotent != "false")
      return {ErrorKind::OutOfRange, "Masticdrift-Idempotent: expected true or false"};
    Submission.Idempotent_ = Idempotent == "true";
    return {};
  }

  // --- Jobs ---

  void submitJob(const std::string &QueueName, const http::Request &Request,
                 http::Responder Respond) {
    const TimePoint Now = core::Clock::now();
    const auto Current = Config_.state().current();
    const CallerIdentity Caller = admit(*Current, QueueName, Request, Now);
    if (Caller.Error_)
      return Respond(errorResponse(Caller.Error_));
    const config::Queue *Queue = Current->queue(QueueName);
    if (Queue->Class_ == config::QueueClass::Interactive)
      return Respond(
          errorResponse({ErrorKind::UnknownQueue,
                         "queue \"" + QueueName + "\" accepts interactive requests, not jobs"}));
    ParsedJob Parsed = parseJob(Request.Body_);
    if (Parsed.Error_)
      return Respond(errorResponse(Parsed.Error_));
    jobs::JobSpec &Spec = Parsed.Spec_;
    if (Spec.RequestId_.empty())
      Spec.RequestId_ = newRequestId();
    Spec.Team_ = Caller.Team_.empty() ? "open" : Caller.Team_;
    Spec.Queue_ = QueueName;
    Spec.Urgent_ = Queue->Class_ == config::QueueClass::Urgent;
    Spec.AcceptedWallMs_ = core::wallMillis();
    const std::string HomeDomain =
        Parsed.HomeDomain_.empty()
            ? std::string(cell::homeDomain(Current->Domains_, Spec.Team_, Spec.RequestId_))
            : Parsed.HomeDomain_;
    if (!Current->domain(HomeDomain))
      return Respond(errorResponse(
          {ErrorKind::OutOfRange, "/domain: \"" + HomeDomain + "\" is not a failure domain"}));
    Spec.Id_ = HomeDomain + "/" + Spec.Team_ + "/" + Spec.RequestId_;
    if (const Failure Error = checkJobResources(Spec, HomeDomain))
      return Respond(errorResponse(Error, Spec.RequestId_));
    const std::string RequestId = Spec.RequestId_;
    Jobs_.accept(std::move(Spec), [RequestId, Respond = std::move(Respond)](const Failure &Error,
                                                                            std::string Json) {
      Respond(Error ? errorResponse(Error, RequestId) : jsonResponse(std::move(Json), 202));
    });
  }

  Failure checkJobResources(const jobs::JobSpec &Spec, const std::string &HomeDomain) const {
    const auto Snapshot = Instances_.current();
    if (!Snapshot)
      return {};
    config::Limit Allotment = Config_.state().allotment(Spec.Team_, HomeDomain);
    if (Spec.Team_ == "open")
      Allotment.Resources_ = {INT64_MAX, INT64_MAX, INT64_MAX};
    return checkJobFits(Spec, HomeDomain, Snapshot->Instances_, Allotment);
  }

  void handleJob(const std::string &JobId, const http::Request &Request, http::Responder Respond) {
    const CallerIdentity Caller = identify(Request, core::Clock::now());
    if (Caller.Error_)
      return Respond(errorResponse(Caller.Error_));
    if (Request.Method_ == "DELETE")
      return cancelJob(JobId, Caller, std::move(Respond));
    if (!onlyMethod("GET", Request, Respond))
      return;
    Jobs_.status(JobId, Caller.Team_,
                 [Respond = std::move(Respond)](const Failure &Error, std::string Json) {
                   Respond(Error ? errorResponse(Error) : jsonResponse(std::move(Json)));
                 });
  }

  static bool belongsToTeam(std::string_view JobId, std::string_view Team) {
    const std::size_t FirstSlash = JobId.find('/');
    const std::size_t SecondSlash =
        FirstSlash == std::string_view::npos ? FirstSlash : JobId.find('/', FirstSlash + 1);
    return SecondSlash != std::string_view::npos &&
           JobId.substr(FirstSlash + 1, SecondSlash - FirstSlash - 1) == Team;
  }

  bool domainExists(std::string_view JobId) const {
    return Config_.state().current()->domain(cell::domainOfJob(JobId)) != nullptr;
  }

  void cancelJob(const std::string &JobId, const CallerIdentity &Caller, http::Responder Respond) {
    if (!belongsToTeam(JobId, Caller.Team_) || !domainExists(JobId))
      return Respond(
          errorResponse({ErrorKind::UnknownJob, "job \"" + JobId + "\" does not exist"}));
    Jobs_.status(JobId, Caller.Team_,
                 [Self = shared_from_this(), JobId, KeyId = Caller.KeyId_,
                  Respond = std::move(Respond)](const Failure &Error, const std::string &) {
                   // A job whose status can't be read now is cancelled anyway: cancelling an
                   // unknown job has no effect.
                   if (Error.Kind_ == ErrorKind::UnknownJob)
                     return Respond(errorResponse(Error));
                   Self->cancel({JobId}, KeyId, Respond);
                 });
  }

  void cancelJobs(const http::Request &Request, http::Responder Respond) {
    const CallerIdentity Caller = identify(Request, core::Clock::now());
    if (Caller.Error_)
      return Respond(errorResponse(Caller.Error_));
    const auto Body = nlohmann::json::parse(Request.Body_, nullptr, false);
    if (!Body.is_array() || Body.size() > MaxCancelledJobs)
      return Respond(
          errorResponse({ErrorKind::WrongType, "expected an array of at most 10000 job ids"}));
    std::vector<std::string> JobIds;
    for (const auto &Entry : Body) {
      if (!Entry.is_string() ||
          !belongsToTeam(Entry.get_ref<const std::string &>(), Caller.Team_) ||
          !domainExists(Entry.get_ref<const std::string &>()))
        return Respond(errorResponse(
            {ErrorKind::UnknownJob, "entry is not a job of this team: " + Entry.dump()}));
      JobIds.push_back(Entry.get<std::string>());
    }
    // The jobs are not looked up, so the count in the answer may include jobs that do not exist.
    cancel(JobIds, Caller.KeyId_, Respond);
  }

  void cancel(const std::vector<std::string> &JobIds, const std::string &KeyId,
              const http::Responder &Respond) {
    Jobs_.cancel(JobIds, KeyId, [Respond, Count = JobIds.size()](const Failure &Error) {
      Respond(Error ? errorResponse(Error)
                    : jsonResponse(nlohmann::json{{"cancel_requested", Count}}.dump(), 202));
    });
  }

  void listJobs(const http::Request &Request, http::Responder Respond) {
    const CallerIdentity Caller = identify(Request, core::Clock::now());
    if (Caller.Error_)
      return Respond(errorResponse(Caller.Error_));
    std::vector<std::string> DomainNames;
    for (const config::Domain &Domain : Config_.state().current()->Domains_)
      DomainNames.push_back(Domain.Name_);
    Jobs_.list(Caller.Team_, DomainNames,
               [Respond = std::move(Respond)](const Failure &Error, std::string Json) {
                 Respond(Error ? errorResponse(Error) : jsonResponse(std::move(Json)));
               });
  }

  const CallerApiOptions Options_;
  replica::ConfigReplica &Config_;
  routing::Router &Router_;
  cell::JobService &Jobs_;
  const legacy::InstanceList &Instances_;
  std::atomic<bool> NotReady_{false};
  std::atomic<bool> RefuseNew_{false};
  std::atomic<std::int64_t> InFlight_{0};
};

CallerApi::CallerApi(CallerApiOptions Options, replica::ConfigReplica &Config,
                     routing::Router &Router, cell::JobService &Jobs,
                     const legacy::InstanceList &Instances)
    : Impl_(std::make_shared<Impl>(Options, Config, Router, Jobs, Instances)) {}

CallerApi::~CallerApi() = default;

void CallerApi::handle(http::Request Request, http::Responder Respond) {
  Impl_->handle(std::move(Request), std::move(Respond));
}

void CallerApi::reportNotReady() { Impl_->NotReady_ = true; }
void CallerApi::refuseNewRequests() { Impl_->RefuseNew_ = true; }
std::int64_t CallerApi::inFlight() const { return Impl_->InFlight_; }

} // namespace masticdrift::gateway
