#include "masticdrift/gateway/CallerApi.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/gateway/Answer.h"
#include "masticdrift/gateway/JobRequest.h"

#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

namespace masticdrift::gateway {

namespace {

using core::ErrorKind;
using core::Failure;
using core::TimePoint;

/// Most job ids in one bulk cancellation.
constexpr std::size_t MostCancels = 10'000;

/// Who is asking, and for which queue.
struct Admission {
  Failure Error_;
  std::string Team_;
  std::string KeyId_;
};

std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

http::Response completed(routing::Outcome Result, const std::string &RequestId) {
  http::Response To;
  To.Status_ = Result.Status_;
  To.Body_ = std::move(Result.Body_);
  To.ContentType_ =
      Result.ContentType_.empty() ? "application/octet-stream" : std::move(Result.ContentType_);
  To.Headers_ = {{"Masticdrift-Outcome", "completed"}, {"Masticdrift-Request-Id", RequestId}};
  return To;
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

  void handle(http::Request Incoming, http::Responder Respond) {
    const auto Path = http::pathSegments(Incoming.Path_);
    if (Path.size() == 1 && Path[0] == "healthz")
      return Respond(jsonAnswer(R"({"status":"ok"})"));
    if (Path.size() == 1 && Path[0] == "readyz")
      return Respond(ready());
    ++InFlight_;
    auto Done = [Self = shared_from_this(), Respond = std::move(Respond)](http::Response Answer) {
      Respond(std::move(Answer));
      --Self->InFlight_;
    };
    if (Refusing_)
      return Done(errorAnswer({ErrorKind::Stopping, "the daemon is shutting down"}));
    route(Path, Incoming, std::move(Done));
  }

  void route(const std::vector<std::string> &Path, http::Request &Incoming, http::Responder Done) {
    const bool V1 = !Path.empty() && Path[0] == "v1";
    if (V1 && Path.size() == 4 && Path[1] == "queues" && Path[3] == "requests")
      return onlyMethod("POST", Incoming, Done) ? request(Path[2], Incoming, std::move(Done))
                                                : void();
    if (V1 && Path.size() == 4 && Path[1] == "queues" && Path[3] == "jobs")
      return onlyMethod("POST", Incoming, Done) ? submitJob(Path[2], Incoming, std::move(Done))
                                                : void();
    if (V1 && Path.size() == 2 && Path[1] == "jobs")
      return onlyMethod("GET", Incoming, Done) ? listJobs(Incoming, std::move(Done)) : void();
    if (V1 && Path.size() == 3 && Path[1] == "jobs" && Path[2] == "cancel")
      return onlyMethod("POST", Incoming, Done) ? cancelMany(Incoming, std::move(Done)) : void();
    if (V1 && Path.size() == 5 && Path[1] == "jobs")
      return oneJob(Path[2] + "/" + Path[3] + "/" + Path[4], Incoming, std::move(Done));
    Done(errorAnswer({ErrorKind::UnknownPath, "no such path: " + Incoming.Path_}));
  }

  static bool onlyMethod(std::string_view Allowed, const http::Request &Incoming,
                         const http::Responder &Done) {
    if (Incoming.Method_ == Allowed)
      return true;
    Done(errorAnswer({ErrorKind::MethodNotAllowed, Incoming.Method_ + " is not allowed here"}));
    return false;
  }

  http::Response ready() const {
    const bool Ready = !Stopping_ && Config_.loaded() && Router_.reachableDomains() > 0;
    return jsonAnswer(Ready ? R"({"status":"ready"})" : R"({"status":"not ready"})",
                      Ready ? 200 : 503);
  }

  // --- Admission ---

  Failure stale(TimePoint Now) const {
    const auto Age = Config_.age(Now);
    return {ErrorKind::ConfigurationStale,
            "configuration last confirmed " +
                (Age ? std::to_string(core::toMillis(*Age)) + " ms ago" : "never") + ", limit " +
                std::to_string(core::toMillis(Options_.FreshnessBound_)) + " ms"};
  }

  /// Identifies the team by the presented key. Only a fresh configuration shows that a key is not
  /// revoked.
  Admission identify(const http::Request &Incoming, TimePoint Now) const {
    const std::string_view Token = bearerToken(Incoming);
    if (Token.empty())
      return {{ErrorKind::MissingKey, "send the team's key as a bearer token"}};
    const config::KeyLookup Found = Config_.state().findKey(Token);
    if (Found.Status_ == config::KeyStatus::Revoked)
      return {{ErrorKind::RevokedKey, "key " + Found.KeyId_ + " was revoked"}};
    if (!Config_.fresh(Now))
      return {stale(Now)};
    if (Found.Status_ == config::KeyStatus::Unknown)
      return {{ErrorKind::UnknownKey, "key is not known"}};
    return {{}, Found.Team_, Found.KeyId_};
  }

  Admission admit(const config::Configuration &Current, const std::string &QueueName,
                  const http::Request &Incoming, TimePoint Now) const {
    if (!Config_.loaded())
      return {stale(Now)};
    const config::Queue *Queue = Current.queue(QueueName);
    if (!Queue)
      return {Config_.fresh(Now)
                  ? Failure{ErrorKind::UnknownQueue, "queue \"" + QueueName + "\" does not exist"}
                  : stale(Now)};
    if (Queue->Open_ && bearerToken(Incoming).empty())
      return {};
    Admission Who = identify(Incoming, Now);
    // A queue that is open to all serves callers also while nothing can be said about their key.
    if (Queue->Open_ && Who.Error_.Kind_ == ErrorKind::ConfigurationStale)
      return {};
    if (!Who.Error_ && !Queue->Open_ && !config::allows(*Queue, Who.Team_))
      return {{ErrorKind::KeyTeamMismatch,
               "queue \"" + QueueName + "\" is not open to team \"" + Who.Team_ + "\""}};
    return Who;
  }

  // --- Interactive requests ---

  void request(const std::string &QueueName, http::Request &Incoming, http::Responder Done) {
    const TimePoint Now = core::Clock::now();
    const std::string_view GivenId = http::findHeader(Incoming.Headers_, "Masticdrift-Request-Id");
    const std::string Id = GivenId.empty() ? newRequestId() : std::string(GivenId);
    const auto Current = Config_.state().current();
    Admission Who = admit(*Current, QueueName, Incoming, Now);
    const config::Queue *Queue = Current->queue(QueueName);
    if (!Who.Error_ && Queue->Class_ != config::QueueClass::Interactive)
      Who.Error_ = {ErrorKind::UnknownQueue,
                    "queue \"" + QueueName + "\" takes jobs, not interactive requests"};
    routing::InteractiveRequest To;
    if (!Who.Error_)
      Who.Error_ = readOptions(Incoming, Now, To);
    if (Who.Error_) {
      core::count(
          "masticdrift_requests_total",
          {{"outcome", "not_run"}, {"kind", std::string(core::describe(Who.Error_.Kind_).Name_)}});
      return Done(errorAnswer(Who.Error_, Id));
    }
    To.RequestId_ = Id;
    To.Team_ = std::move(Who.Team_);
    To.KeyId_ = std::move(Who.KeyId_);
    To.Queue_ = QueueName;
    To.Pool_ = Queue->Pool_;
    To.ContentType_ = std::string(http::findHeader(Incoming.Headers_, "Content-Type"));
    To.Body_ = std::move(Incoming.Body_);
    Router_.submit(std::move(To), [Id, Now, Done = std::move(Done)](routing::Outcome Result) {
      answer(std::move(Result), Id, Now, Done);
    });
  }

  static void answer(routing::Outcome Result, const std::string &Id, TimePoint Received,
                     const http::Responder &Done) {
    const std::string Kind(Result.Kind_ == ErrorKind::None ? "none"
                                                           : core::describe(Result.Kind_).Name_);
    core::count("masticdrift_requests_total",
                {{"outcome", std::string(outcomeLabel(Result))}, {"kind", Kind}});
    core::observe("masticdrift_request_seconds",
                  std::chrono::duration<double>(core::Clock::now() - Received).count());
    if (Result.Kind_ == ErrorKind::None)
      return Done(completed(std::move(Result), Id));
    core::log(core::LogLevel::Debug, "request not completed",
              {{"request_id", Id}, {"kind", Kind}, {"message", Result.Message_}});
    Done(errorAnswer({Result.Kind_, std::move(Result.Message_)}, Id));
  }

  Failure readOptions(const http::Request &Incoming, TimePoint Now,
                      routing::InteractiveRequest &To) const {
    const std::string_view Deadline =
        http::findHeader(Incoming.Headers_, "Masticdrift-Deadline-Ms");
    const auto Value = Deadline.empty() ? Options_.DefaultDeadline_.count() : parseNumber(Deadline);
    if (!Value || *Value < 1 || *Value > Options_.MaxDeadline_.count())
      return {ErrorKind::OutOfRange, "Masticdrift-Deadline-Ms: expected a whole number of 1.." +
                                         std::to_string(Options_.MaxDeadline_.count())};
    To.Deadline_ = Now + core::Millis(*Value);
    const std::string_view Idempotent =
        http::findHeader(Incoming.Headers_, "Masticdrift-Idempotent");
    if (!Idempotent.empty() && Idempotent != "true" && Idempotent != "false")
      return {ErrorKind::OutOfRange, "Masticdrift-Idempotent: expected true or false"};
    To.Idempotent_ = Idempotent == "true";
    return {};
  }

  // --- Jobs ---

  void submitJob(const std::string &QueueName, const http::Request &Incoming,
                 http::Responder Done) {
    const TimePoint Now = core::Clock::now();
    const auto Current = Config_.state().current();
    const Admission Who = admit(*Current, QueueName, Incoming, Now);
    if (Who.Error_)
      return Done(errorAnswer(Who.Error_));
    const config::Queue *Queue = Current->queue(QueueName);
    if (Queue->Class_ == config::QueueClass::Interactive)
      return Done(
          errorAnswer({ErrorKind::UnknownQueue,
                       "queue \"" + QueueName + "\" takes interactive requests, not jobs"}));
    ParsedJob Job = parseJob(Incoming.Body_);
    if (Job.Error_)
      return Done(errorAnswer(Job.Error_));
    jobs::JobSpec &Spec = Job.Spec_;
    if (Spec.RequestId_.empty())
      Spec.RequestId_ = newRequestId();
    Spec.Team_ = Who.Team_.empty() ? "open" : Who.Team_;
    Spec.Queue_ = QueueName;
    Spec.Urgent_ = Queue->Class_ == config::QueueClass::Urgent;
    Spec.AcceptedWallMs_ = core::wallMillis();
    const std::string Domain =
        Job.Domain_.empty()
            ? std::string(cell::homeDomain(Current->Domains_, Spec.Team_, Spec.RequestId_))
            : Job.Domain_;
    if (!Current->domain(Domain))
      return Done(errorAnswer(
          {ErrorKind::OutOfRange, "/domain: \"" + Domain + "\" is not a failure domain"}));
    Spec.Id_ = Domain + "/" + Spec.Team_ + "/" + Spec.RequestId_;
    if (const Failure Error = checkedSize(Spec, Domain))
      return Done(errorAnswer(Error, Spec.RequestId_));
    const std::string RequestId = Spec.RequestId_;
    Jobs_.accept(std::move(Spec),
                 [RequestId, Done = std::move(Done)](const Failure &Error, std::string Json) {
                   Done(Error ? errorAnswer(Error, RequestId) : jsonAnswer(std::move(Json), 202));
                 });
  }

  Failure checkedSize(const jobs::JobSpec &Spec, const std::string &Domain) const {
    const auto List = Instances_.current();
    if (!List)
      return {};
    config::Limit Allotment = Config_.state().allotment(Spec.Team_, Domain);
    if (Spec.Team_ == "open")
      Allotment.Resources_ = {INT64_MAX, INT64_MAX, INT64_MAX};
    return checkSize(Spec, Domain, List->Instances_, Allotment);
  }

  void oneJob(const std::string &Id, const http::Request &Incoming, http::Responder Done) {
    const Admission Who = identify(Incoming, core::Clock::now());
    if (Who.Error_)
      return Done(errorAnswer(Who.Error_));
    if (Incoming.Method_ == "DELETE")
      return cancelOne(Id, Who, std::move(Done));
    if (!onlyMethod("GET", Incoming, Done))
      return;
    Jobs_.status(Id, Who.Team_, [Done = std::move(Done)](const Failure &Error, std::string Json) {
      Done(Error ? errorAnswer(Error) : jsonAnswer(std::move(Json)));
    });
  }

  static bool ownedBy(std::string_view JobId, std::string_view Team) {
    const std::size_t First = JobId.find('/');
    const std::size_t Second = First == std::string_view::npos ? First : JobId.find('/', First + 1);
    return Second != std::string_view::npos && JobId.substr(First + 1, Second - First - 1) == Team;
  }

  bool known(std::string_view JobId) const {
    return Config_.state().current()->domain(cell::domainOfJob(JobId)) != nullptr;
  }

  void cancelOne(const std::string &Id, const Admission &Who, http::Responder Done) {
    if (!ownedBy(Id, Who.Team_) || !known(Id))
      return Done(errorAnswer({ErrorKind::UnknownJob, "job \"" + Id + "\" does not exist"}));
    Jobs_.status(Id, Who.Team_,
                 [Self = shared_from_this(), Id, Key = Who.KeyId_,
                  Done = std::move(Done)](const Failure &Error, const std::string &) {
                   // A job that can't be looked up now is cancelled all the same; a cancel of an
                   // unknown job has no effect.
                   if (Error.Kind_ == ErrorKind::UnknownJob)
                     return Done(errorAnswer(Error));
                   Self->cancel({Id}, Key, Done);
                 });
  }

  void cancelMany(const http::Request &Incoming, http::Responder Done) {
    const Admission Who = identify(Incoming, core::Clock::now());
    if (Who.Error_)
      return Done(errorAnswer(Who.Error_));
    const auto Body = nlohmann::json::parse(Incoming.Body_, nullptr, false);
    if (!Body.is_array() || Body.size() > MostCancels)
      return Done(
          errorAnswer({ErrorKind::WrongType, "expected an array of at most 10000 job ids"}));
    std::vector<std::string> Ids;
    for (const auto &One : Body) {
      if (!One.is_string() || !ownedBy(One.get_ref<const std::string &>(), Who.Team_) ||
          !known(One.get_ref<const std::string &>()))
        return Done(errorAnswer({ErrorKind::UnknownJob, "not a job of this team: " + One.dump()}));
      Ids.push_back(One.get<std::string>());
    }
    cancel(Ids, Who.KeyId_, Done);
  }

  void cancel(const std::vector<std::string> &Ids, const std::string &By,
              const http::Responder &Done) {
    Jobs_.cancel(Ids, By, [Done, Count = Ids.size()](const Failure &Error) {
      Done(Error ? errorAnswer(Error)
                 : jsonAnswer(nlohmann::json{{"cancel_requested", Count}}.dump(), 202));
    });
  }

  void listJobs(const http::Request &Incoming, http::Responder Done) {
    const Admission Who = identify(Incoming, core::Clock::now());
    if (Who.Error_)
      return Done(errorAnswer(Who.Error_));
    std::vector<std::string> Domains;
    for (const config::Domain &One : Config_.state().current()->Domains_)
      Domains.push_back(One.Name_);
    Jobs_.list(Who.Team_, Domains,
               [Done = std::move(Done)](const Failure &Error, std::string Json) {
                 Done(Error ? errorAnswer(Error) : jsonAnswer(std::move(Json)));
               });
  }

  const CallerApiOptions Options_;
  replica::ConfigReplica &Config_;
  routing::Router &Router_;
  cell::JobService &Jobs_;
  const legacy::InstanceList &Instances_;
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> Refusing_{false};
  std::atomic<std::int64_t> InFlight_{0};
};

CallerApi::CallerApi(CallerApiOptions Options, replica::ConfigReplica &Config,
                     routing::Router &Router, cell::JobService &Jobs,
                     const legacy::InstanceList &Instances)
    : Impl_(std::make_shared<Impl>(Options, Config, Router, Jobs, Instances)) {}

CallerApi::~CallerApi() = default;

void CallerApi::handle(http::Request Incoming, http::Responder Respond) {
  Impl_->handle(std::move(Incoming), std::move(Respond));
}

void CallerApi::announceStop() { Impl_->Stopping_ = true; }
void CallerApi::refuseNew() { Impl_->Refusing_ = true; }
std::int64_t CallerApi::inFlight() const { return Impl_->InFlight_; }

} // namespace masticdrift::gateway
