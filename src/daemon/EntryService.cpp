#include "masticdrift/daemon/EntryService.h"

#include "masticdrift/core/Error.h"
#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/lead/JobMemory.h"
#include "platform/Text.h"

namespace masticdrift::daemon {

namespace {

using core::ErrorKind;

/// A write is abandoned this long before its caller's deadline, so that the answer still arrives.
constexpr core::Millis AnswerMargin{250};
/// Applies to requests without a deadline.
constexpr core::Millis DefaultCallerTimeout{3000};
constexpr core::Millis MaxCallerTimeout{10'000};
constexpr core::Millis CatchUpTimeout{1500};
/// Reserved for the HTTP exchange with the leader.
constexpr core::Millis ForwardMargin{100};
/// A leader that takes longer is bypassed. Covers an append to a very slow store.
constexpr core::Millis MaxForwardTime{1700};
/// The leader's own wait for a write plus a round trip over a slow link.
constexpr core::Millis StateQueryTimeout = MaxJobStateWait + core::Millis(300);
/// Length, key and kind of a record beside its value.
constexpr std::int64_t RecordOverheadBytes = 64;

/// \returns the delay in whole seconds. The smallest is for refusals of this daemon alone: another
/// one serves the retry.
std::string retryAfterSeconds(core::Millis Delay) {
  return std::to_string(
      std::max<std::int64_t>(std::chrono::ceil<std::chrono::seconds>(Delay).count(), 1));
}

/// \returns the error that callers get for a job that the leader does not accept.
ErrorKind errorOf(lead::AdmissionOutcome Outcome) {
  using enum lead::AdmissionOutcome;
  switch (Outcome) {
  case CustomerBacklog:
    return ErrorKind::TeamLimit;
  case PoolBacklog:
    return ErrorKind::QueueFull;
  case ImpossibleSize:
    return ErrorKind::ImpossibleSize;
  case UnknownPool:
    return ErrorKind::UnknownQueue;
  case MemoryBacklog:
    return ErrorKind::QueueFull;
  case ImpossibleMemory:
    return ErrorKind::ImpossibleSize;
  case Accepted:
    break;
  }
  return ErrorKind::StoreUnavailable;
}

std::string_view messageOf(lead::AdmissionOutcome Outcome) {
  using enum lead::AdmissionOutcome;
  switch (Outcome) {
  case CustomerBacklog:
    return "the customer's waiting work fills its limit for longer than the job's objective allows";
  case PoolBacklog:
    return "the waiting work fills all executors for longer than the job's objective allows";
  case ImpossibleSize:
    return "a task of the job is larger than the largest executor of its queue";
  case UnknownPool:
    return "the configuration has no executors for the queue";
  case MemoryBacklog:
    return "the customer's jobs take all memory that is free for them";
  case ImpossibleMemory:
    return "the job takes more memory than there is for all jobs";
  case Accepted:
    break;
  }
  return "the job store does not accept writes; nothing was stored";
}

} // namespace

/// A request that has not been answered yet.
struct EntryService::PendingRequest {
  platform::CallerRequest Call_;
  http::Responder Respond_;
  std::string JobId_;
  const work::Queue *Queue_ = nullptr; ///< valid during handle() only
  std::string QueueName_;
  bool NeedsNoKey_ = false; ///< the queue allows anonymous calls
  std::string Customer_;    ///< empty when the caller is not identified
  core::TimePoint ReceivedAt_;
  core::TimePoint Deadline_;
  bool Answered_ = false;
  std::function<void(http::Response)> SendResponse_;
  /// Why the leader does not accept the job.
  lead::AdmissionOutcome Admission_ = lead::AdmissionOutcome::Accepted;
  core::Millis RetryAfter_{0};

  void answer(int Status, std::string Body) {
    http::Response Response;
    Response.Status_ = Status;
    Response.Body_ = std::move(Body);
    SendResponse_(std::move(Response));
  }
};

bool EntryService::mayAccess(const PendingRequest &Request, const protocol::JobStateReply &Job) {
  if (Job.Customer_ == Request.Customer_)
    return true;
  // A key decides nothing on a queue that needs none, and a job without an owner belongs to whoever
  // may call its queue. Calls through other queues are excluded, since one of them may need no key.
  return Job.Queue_ == Request.QueueName_ && (Request.NeedsNoKey_ || Job.Customer_.empty());
}

EntryService::EntryService(FleetContext &Context, TopicTail &JobTail, JobWriter &SpecWriter,
                           JobWriter &RecordWriter, LeaderDriver &Leader)
    : Context_(Context), JobTail_(JobTail), SpecWriter_(SpecWriter), RecordWriter_(RecordWriter),
      Leader_(Leader) {}

void EntryService::refuse(const std::shared_ptr<PendingRequest> &Request, ErrorKind Kind,
                          std::string_view Message) {
  const core::ErrorInfo &Info = core::describe(Kind);
  http::Response Response;
  Response.Status_ = platform::httpStatusOf(Kind);
  Response.Body_ = core::errorBody(Kind, Message, Request->JobId_);
  if (Response.Status_ == 503 || Response.Status_ == 429)
    Response.Headers_.emplace_back("Retry-After", retryAfterSeconds(Request->RetryAfter_));
  core::count("masticdrift_submissions_total", {{"outcome", std::string(Info.Name_)}});
  core::log(core::LogLevel::Info, "refused",
            {{"request_id", Request->JobId_},
             {"error", std::string(Info.Id_)},
             {"status", std::to_string(Response.Status_)},
             {"message", std::string(Message)},
             {"config", Context_.Manifest_ ? std::to_string(Context_.Manifest_->Version_) : "none"},
             {"read_to", std::to_string(JobTail_.nextOffset())}});
  Request->SendResponse_(std::move(Response));
}

void EntryService::handle(const http::Request &HttpRequest, const http::Responder &Respond) {
  const auto Request = std::make_shared<PendingRequest>();
  Request->Call_ = platform::decodeCallerRequest(HttpRequest);
  Request->ReceivedAt_ = core::Clock::now();
  const core::Millis CallerTimeout =
      Request->Call_.DeadlineMs_ > 0
          ? std::min(core::Millis(Request->Call_.DeadlineMs_), MaxCallerTimeout)
          : DefaultCallerTimeout;
  Request->Deadline_ = Request->ReceivedAt_ + CallerTimeout - AnswerMargin;
  ++OpenRequests_;
  Request->SendResponse_ = [this, Respond, WeakRequest = std::weak_ptr<PendingRequest>(Request)](
                               http::Response Response) {
    const auto LockedRequest = WeakRequest.lock();
    if (!LockedRequest || std::exchange(LockedRequest->Answered_, true))
      return;
    --OpenRequests_;
    Response.Close_ = Context_.Stopping_;
    Respond(std::move(Response));
  };
  if (!Context_.Manifest_) {
    refuse(Request, ErrorKind::ConfigurationStale, "no configuration has been loaded yet");
    return;
  }
  const work::Manifest &Manifest = *Context_.Manifest_;
  Request->Queue_ = work::findQueue(Manifest, Request->Call_.Host_, Request->Call_.Path_);
  if (Request->Queue_ == nullptr) {
    refuse(Request, ErrorKind::UnknownQueue, "no queue matches the host and path of the request");
    return;
  }
  Request->QueueName_ = Request->Queue_->Name_;
  Request->NeedsNoKey_ = Request->Queue_->AllowsAnonymous_;
  const std::string_view PathSuffix =
      std::string_view(Request->Call_.Path_).substr(Request->Queue_->PathPrefix_.size());
  if (platform::isJobId(PathSuffix))
    Request->JobId_ = PathSuffix;
  const auto CustomerEntry = Manifest.CustomerOfKey_.find(Request->Call_.Key_);
  if (CustomerEntry != Manifest.CustomerOfKey_.end()) {
    Request->Customer_ = CustomerEntry->second;
  } else if (!Request->Queue_->AllowsAnonymous_) {
    refuse(Request, Request->Call_.Key_.empty() ? ErrorKind::MissingKey : ErrorKind::UnknownKey,
           "the API key is missing or not part of the configuration in force");
    return;
  }
  if (PathSuffix.empty() && Request->Call_.Method_ == platform::CallerMethod::Query) {
    if (!JobTail_.loaded()) {
      refuse(Request, ErrorKind::StoreUnavailable,
             "the number of pending jobs is unknown until all jobs are loaded");
      return;
    }
    Request->answer(
        200, platform::encodePending(Context_.JobTable_.pendingCount(Request->Queue_->Name_)));
    return;
  }
  if (Request->JobId_.empty()) {
    refuse(Request, ErrorKind::UnknownPath, "the path does not end with a job id");
    return;
  }
  switch (Request->Call_.Method_) {
  case platform::CallerMethod::Submit:
    submit(Request, HttpRequest.Body_);
    return;
  case platform::CallerMethod::Query:
    queryState(Request);
    return;
  case platform::CallerMethod::Cancel:
    cancel(Request);
    return;
  case platform::CallerMethod::Other:
    refuse(Request, ErrorKind::MethodNotAllowed, "a job supports only POST, GET and DELETE");
    return;
  }
}

void EntryService::submit(const std::shared_ptr<PendingRequest> &Request, const std::string &Body) {
  if (Context_.JobTable_.find(Request->JobId_) != nullptr) {
    // Repeated submission whose first answer was lost.
    answerWrite(Request, WriteOutcome::Stored);
    return;
  }
  if (Context_.Manifest_->MaxBodyBytes_ > 0 && Body.size() > Context_.Manifest_->MaxBodyBytes_) {
    refuse(Request, ErrorKind::BodyTooLarge,
           "the request body of " + std::to_string(Body.size()) + " bytes is too large");
    return;
  }
  auto [Spec, ParseError] = platform::decodeJob(Body);
  if (!Spec) {
    refuse(Request, ErrorKind::MalformedJson, ParseError);
    return;
  }
  std::string PackedSpec = core::pack(*Spec);
  // An append with such a record would be repeated in vain, and with it those of other callers.
  if (static_cast<std::int64_t>(PackedSpec.size()) >
      Context_.Settings_.MaxRecordBytes_ - RecordOverheadBytes) {
    refuse(Request, ErrorKind::ImpossibleSize,
           "the steps of the job take " + std::to_string(PackedSpec.size()) +
               " bytes, more than the store accepts");
    return;
  }
  const work::AcceptedRecord Record{*Request->Queue_, Request->Customer_, core::wallMillis(),
                                    lead::jobMemory(*Spec)};
  Attempts_.begin(Request->JobId_);
  if (Leader_.leading()) {
    const lead::AdmissionDecision Decision = Leader_.admit(Request->JobId_, Record, *Spec);
    if (Decision.Outcome_ != lead::AdmissionOutcome::Accepted) {
      Request->Admission_ = Decision.Outcome_;
      Request->RetryAfter_ = Decision.RetryAfter_;
      answerWrite(Request,
                  Attempts_.end(Request->JobId_, WriteOutcome::Refused, core::Clock::now()));
      return;
    }
  }
  store(Request,
        {work::encodeAccepted(Request->JobId_, Record), std::move(PackedSpec), Record.Customer_,
         static_cast<std::size_t>(Record.MemoryBytes_)},
        [this, Request](WriteOutcome Outcome) {
          answerWrite(Request, Attempts_.end(Request->JobId_, Outcome, core::Clock::now()));
        });
}

void EntryService::answerWrite(const std::shared_ptr<PendingRequest> &Request,
                               WriteOutcome Outcome) {
  switch (Outcome) {
  case WriteOutcome::Refused:
    refuse(Request, errorOf(Request->Admission_), messageOf(Request->Admission_));
    return;
  case WriteOutcome::Unknown:
    refuse(Request, ErrorKind::AppendUnknown,
           "the job store did not answer in time; retry with the same job id");
    return;
  case WriteOutcome::Stored:
    break;
  }
  const double Seconds =
      std::chrono::duration<double>(core::Clock::now() - Request->ReceivedAt_).count();
  const bool IsSubmission = Request->Call_.Method_ == platform::CallerMethod::Submit;
  if (IsSubmission) {
    core::count("masticdrift_submissions_total", {{"outcome", "accepted"}});
    core::observe("masticdrift_submission_seconds", Seconds);
  }
  core::log(core::LogLevel::Info, IsSubmission ? "accepted" : "cancelled",
            {{"request_id", Request->JobId_},
             {"customer", Request->Customer_},
             {"config", std::to_string(Context_.Manifest_->Version_)},
             {"ms", std::to_string(static_cast<int>(Seconds * 1000))}});
  Request->answer(200, "{}");
}

void EntryService::store(const std::shared_ptr<PendingRequest> &Request, StoreRequest Write,
                         std::function<void(WriteOutcome)> OnDone) {
  // Writing through the leader keeps the partition's queue short when the store is slow, because
  // only one daemon writes, and informs the leader of the job at once.
  const std::string LeaderAddress = Leader_.leaderAddress();
  if (!LeaderAddress.empty() && (Leader_.leaderResponsive() || JobTail_.failing())) {
    forwardToLeader(Request, LeaderAddress, std::move(Write), std::move(OnDone));
    return;
  }
  appendUnlessFailing(std::move(Write), Request->Deadline_, std::move(OnDone));
}

void EntryService::appendUnlessFailing(StoreRequest Write, core::TimePoint Deadline,
                                       std::function<void(WriteOutcome)> OnDone) {
  if (JobTail_.failing())
    OnDone(WriteOutcome::Refused);
  else
    append(std::move(Write), Deadline, std::move(OnDone));
}

void EntryService::append(StoreRequest Write, core::TimePoint Deadline,
                          std::function<void(WriteOutcome)> OnDone) {
  if (Write.Spec_.empty()) {
    RecordWriter_.write(entriesFor(std::move(Write.Record_)), Deadline, std::move(OnDone));
    return;
  }
  // A leader has decided about the job. Any other daemon can't tell whether the job was accepted
  // before, so it doesn't refuse it.
  if (!Leader_.leading() && !Leader_.hasMemoryFor(Write.Customer_, Write.MemoryBytes_)) {
    core::count("masticdrift_admission_refusals_total", {{"reason", "memory_without_leader"}});
    OnDone(WriteOutcome::Unknown);
    return;
  }
  Context_.UnstoredWork_.add(Write.Customer_, Write.MemoryBytes_);
  OnDone = [this, Customer = Write.Customer_, Bytes = Write.MemoryBytes_,
            OnDone = std::move(OnDone)](WriteOutcome Outcome) {
    Context_.UnstoredWork_.remove(Customer, Bytes);
    OnDone(Outcome);
  };
  const std::string Id(work::acceptedJobId(Write.Record_));
  SpecWriter_.write({{Id, std::move(Write.Spec_)}}, Deadline,
                    [this, Record = std::move(Write.Record_), Deadline,
                     OnDone = std::move(OnDone)](WriteOutcome Outcome) mutable {
                      // Without its record the job does not exist, so nothing will run.
                      if (Outcome != WriteOutcome::Stored)
                        OnDone(WriteOutcome::Refused);
                      else
                        RecordWriter_.write(entriesFor(std::move(Record)), Deadline,
                                            std::move(OnDone));
                    });
}

std::vector<work::LogRecord> EntryService::entriesFor(work::LogRecord Entry) const {
  std::vector<work::LogRecord> Entries;
  // The leader appends the begin record together with the acceptance, which saves an append before
  // the first task starts, unless that will take long: a later leader need not wait for the runs of
  // jobs that were not begun.
  if (const std::string_view Id = work::acceptedJobId(Entry);
      !Id.empty() && Leader_.leading() && !Leader_.hasBacklog())
    Entries.push_back(work::encodeStarted(Id, Leader_.term()));
  Entries.push_back(std::move(Entry));
  return Entries;
}

void EntryService::forwardToLeader(const std::shared_ptr<PendingRequest> &Request,
                                   const std::string &LeaderAddress, StoreRequest Write,
                                   std::function<void(WriteOutcome)> OnDone) {
  const core::Millis Remaining =
      std::chrono::duration_cast<core::Millis>(Request->Deadline_ - core::Clock::now());
  const core::Millis LeaderTimeout = std::min(Remaining - ForwardMargin, MaxForwardTime);
  http::ClientRequest LeaderRequest;
  LeaderRequest.Method_ = "POST";
  LeaderRequest.Url_ = "http://" + LeaderAddress + protocol::SubmitPath;
  LeaderRequest.Body_ = core::pack(protocol::SubmitRequest{Write.Record_.Key_, Write.Record_.Value_,
                                                           Write.Spec_, LeaderTimeout.count()});
  LeaderRequest.Timeout_ = LeaderTimeout + ForwardMargin;
  Context_.Client_.send(std::move(LeaderRequest), [this, Request, Write = std::move(Write),
                                                   OnDone = std::move(OnDone)](
                                                      const http::ClientResult &Result) mutable {
    const auto Reply = Result.Transfer_ == http::Transfer::Complete
                           ? core::unpack<protocol::SubmitReply>(Result.Answer_.Body_)
                           : std::nullopt;
    if (Reply && Reply->Stored_) {
      Context_.JobTable_.apply(Reply->Offset_, Write.Record_.Key_, Write.Record_.Value_);
      OnDone(WriteOutcome::Stored);
      return;
    }
    if (Reply && Reply->Refused_ && Reply->Admission_ != 0) {
      Request->Admission_ = static_cast<lead::AdmissionOutcome>(Reply->Admission_);
      Request->RetryAfter_ = core::Millis(Reply->RetryAfterMs_);
      OnDone(Result.EarlierCopySent_ ? WriteOutcome::Unknown : WriteOutcome::Refused);
      return;
    }
    const bool KnownNotStored = (Reply && Reply->Refused_ && !Result.EarlierCopySent_) ||
                                Result.Transfer_ == http::Transfer::NotConnected;
    core::log(core::LogLevel::Warning, "leader did not confirm a forwarded write",
              {{"request_id", Request->JobId_},
               {"uncertain", KnownNotStored ? "false" : "true"},
               {"detail", Reply ? "the leader could not store the record" : Result.Error_}});
    if (!Reply)
      Leader_.onLeaderFailure();
    if (JobTail_.failing()) {
      OnDone(KnownNotStored ? WriteOutcome::Refused : WriteOutcome::Unknown);
      return;
    }
    // A second copy under the same key is harmless. A write that the leader may have stored must
    // not be reported as refused.
    append(std::move(Write), Request->Deadline_,
           [KnownNotStored, OnDone = std::move(OnDone)](WriteOutcome Outcome) {
             const bool MayBeStored = Outcome == WriteOutcome::Refused && !KnownNotStored;
             OnDone(MayBeStored ? WriteOutcome::Unknown : Outcome);
           });
  });
}

std::optional<protocol::SubmitReply>
EntryService::refusalForPeer(const protocol::SubmitRequest &Call, const std::string &Id) {
  if (!Leader_.leading())
    return std::nullopt;
  const auto Acceptance = core::unpack<work::AcceptedRecord>(Call.Value_);
  const auto Spec = core::unpack<work::JobSpec>(Call.Spec_);
  if (!Acceptance || !Spec)
    return std::nullopt;
  const lead::AdmissionDecision Decision = Leader_.admit(Id, *Acceptance, *Spec);
  if (Decision.Outcome_ == lead::AdmissionOutcome::Accepted)
    return std::nullopt;
  protocol::SubmitReply Reply;
  Reply.Refused_ =
      Attempts_.end(Id, WriteOutcome::Refused, core::Clock::now()) == WriteOutcome::Refused;
  Reply.Admission_ = static_cast<std::uint8_t>(Decision.Outcome_);
  Reply.RetryAfterMs_ = Decision.RetryAfter_.count();
  return Reply;
}

void EntryService::submitForPeer(protocol::SubmitRequest Call,
                                 std::function<void(protocol::SubmitReply)> OnDone) {
  const core::TimePoint Deadline = core::Clock::now() + core::Millis(Call.TimeoutMs_);
  const std::string Id = Call.Key_.empty() ? std::string() : Call.Key_.substr(1);
  const bool IsSubmission = !Call.Spec_.empty();
  if (const work::JobTableEntry *Job = Context_.JobTable_.find(Id);
      Job != nullptr && IsSubmission) {
    // Repeated submission that was sent to another daemon.
    OnDone({true, false, Job->AcceptedOffset_});
    return;
  }
  if (IsSubmission) {
    Attempts_.begin(Id);
    if (const auto Refusal = refusalForPeer(Call, Id)) {
      OnDone(*Refusal);
      return;
    }
  }
  StoreRequest Write{{std::move(Call.Key_), std::move(Call.Value_)}, std::move(Call.Spec_)};
  if (IsSubmission)
    if (auto Acceptance = core::unpack<work::AcceptedRecord>(Write.Record_.Value_)) {
      Write.Customer_ = std::move(Acceptance->Customer_);
      Write.MemoryBytes_ = static_cast<std::size_t>(Acceptance->MemoryBytes_);
    }
  appendUnlessFailing(std::move(Write), Deadline,
                      [this, Id, IsSubmission, OnDone = std::move(OnDone)](WriteOutcome Outcome) {
                        if (IsSubmission)
                          Outcome = Attempts_.end(Id, Outcome, core::Clock::now());
                        protocol::SubmitReply Reply;
                        Reply.Stored_ = Outcome == WriteOutcome::Stored;
                        Reply.Refused_ = Outcome == WriteOutcome::Refused;
                        if (const work::JobTableEntry *Job = Context_.JobTable_.find(Id))
                          Reply.Offset_ = Job->AcceptedOffset_;
                        OnDone(Reply);
                      });
}

void EntryService::resolveState(const std::shared_ptr<PendingRequest> &Request,
                                StateCallback OnState) {
  const protocol::JobStateReply LocalReply = jobStateReply(Context_.JobTable_, Request->JobId_);
  if (LocalReply.Known_ && work::isFinal(static_cast<work::JobState>(LocalReply.State_))) {
    onStateReply(Request, "own", LocalReply, OnState);
    return;
  }
  const std::string LeaderAddress = Leader_.leaderAddress();
  if (Leader_.leading())
    Leader_.queryJobState(Request->JobId_, [this, Request, OnState = std::move(OnState)](
                                               const protocol::JobStateReply &Reply) {
      onStateReply(Request, "leader", Reply, OnState);
    });
  else if (!LeaderAddress.empty() && Leader_.leaderResponsive())
    queryLeader(Request, LeaderAddress, std::move(OnState));
  else
    resolveLocally(Request, OnState);
}

void EntryService::queryLeader(const std::shared_ptr<PendingRequest> &Request,
                               const std::string &LeaderAddress, StateCallback OnState) {
  http::ClientRequest LeaderRequest;
  LeaderRequest.Method_ = "POST";
  LeaderRequest.Url_ = "http://" + LeaderAddress + protocol::JobStatePath;
  LeaderRequest.Body_ = core::pack(protocol::JobStateRequest{Request->JobId_});
  LeaderRequest.Timeout_ = StateQueryTimeout;
  Context_.Client_.send(std::move(LeaderRequest), [this, Request, OnState = std::move(OnState)](
                                                      const http::ClientResult &Result) {
    const auto Reply = Result.Transfer_ == http::Transfer::Complete
                           ? core::unpack<protocol::JobStateReply>(Result.Answer_.Body_)
                           : std::nullopt;
    if (!Reply) {
      core::log(core::LogLevel::Warning, "leader did not answer a job state query",
                {{"request_id", Request->JobId_}, {"detail", Result.Error_}});
      Leader_.onLeaderFailure();
    }
    onStateReply(Request, "leader", Reply.value_or(protocol::JobStateReply{}), OnState);
  });
}

void EntryService::resolveLocally(const std::shared_ptr<PendingRequest> &Request,
                                  const StateCallback &OnState) {
  const protocol::JobStateReply LocalReply = jobStateReply(Context_.JobTable_, Request->JobId_);
  if (LocalReply.Known_) {
    onStateReply(Request, "own", LocalReply, OnState);
    return;
  }
  if (!JobTail_.loaded() || JobTail_.failing()) {
    refuse(Request, ErrorKind::StoreUnavailable, "the job store cannot be read at the moment");
    return;
  }
  // Only the complete log shows that a job does not exist.
  JobTail_.catchUp(CatchUpTimeout, [this, Request, OnState](bool Complete) {
    const protocol::JobStateReply UpdatedReply = jobStateReply(Context_.JobTable_, Request->JobId_);
    if (UpdatedReply.Known_)
      onStateReply(Request, "own", UpdatedReply, OnState);
    else if (Complete)
      refuse(Request, ErrorKind::UnknownJob, "the job does not exist");
    else
      refuse(Request, ErrorKind::StoreUnavailable, "the job store cannot be read at the moment");
  });
}

void EntryService::onStateReply(const std::shared_ptr<PendingRequest> &Request,
                                std::string_view Source, const protocol::JobStateReply &Reply,
                                const StateCallback &OnState) {
  if (!Reply.Answered_ || !Reply.Known_) {
    resolveLocally(Request, OnState);
    return;
  }
  if (!mayAccess(*Request, Reply)) {
    refuse(Request, ErrorKind::UnknownJob, "the job does not exist");
    return;
  }
  core::count("masticdrift_looks_total", {{"source", std::string(Source)}});
  OnState(static_cast<work::JobState>(Reply.State_),
          static_cast<work::FailureReason>(Reply.FailureReason_));
}

void EntryService::queryState(const std::shared_ptr<PendingRequest> &Request) {
  resolveState(Request, [Request](work::JobState State, work::FailureReason Reason) {
    Request->answer(200, platform::encodeState(State, Reason));
  });
}

void EntryService::cancel(const std::shared_ptr<PendingRequest> &Request) {
  resolveState(Request, [this, Request](work::JobState State, work::FailureReason) {
    if (work::isFinal(State)) {
      answerWrite(Request, WriteOutcome::Stored);
      return;
    }
    store(Request, {work::encodeCancelled(Request->JobId_, {core::wallMillis()}), {}},
          [this, Request](WriteOutcome Outcome) { answerWrite(Request, Outcome); });
  });
}

} // namespace masticdrift::daemon
