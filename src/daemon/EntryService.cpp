#include "masticdrift/daemon/EntryService.h"

#include "masticdrift/core/Error.h"
#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"
#include "platform/Text.h"

namespace masticdrift::daemon {

namespace {

using core::ErrorKind;

/// A write is given up this long before its caller gives up, so that the answer still arrives.
constexpr core::Millis AnswerMargin{250};
/// For callers that do not say how long they wait.
constexpr core::Millis DefaultDeadline{3000};
constexpr core::Millis MaxDeadline{10'000};
constexpr core::Millis LookTimeout{1500};
/// Time for the relay's own exchange.
constexpr core::Millis RelayMargin{100};
/// A leader that takes longer is left aside; enough for an append at a very slow store.
constexpr core::Millis MostRelayTime{1700};
/// The leader's own wait for a write and twice a slow link's way.
constexpr core::Millis LookRelayTimeout = MostLookWait + core::Millis(300);
/// Whole seconds, the smallest that the header can say. Another daemon takes the retry.
constexpr const char *RetryAfterSeconds = "1";

} // namespace

/// One request until it is answered.
struct EntryService::Call {
  platform::CallerRequest What_;
  http::Responder To_;
  std::string Job_;
  const work::Queue *Queue_ = nullptr; ///< valid while the request is first handled
  std::string Customer_;
  core::TimePoint ReceivedAt_;
  core::TimePoint Deadline_;
  bool Answered_ = false;
  std::function<void(http::Response)> Finish_;

  void answer(int Status, std::string Body) {
    http::Response Out;
    Out.Status_ = Status;
    Out.Body_ = std::move(Body);
    Finish_(std::move(Out));
  }
};

EntryService::EntryService(FleetContext &Context, TopicTail &Jobs, JobWriter &Specs,
                           JobWriter &Writer, LeaderDriver &Leader)
    : Context_(Context), Jobs_(Jobs), Specs_(Specs), Writer_(Writer), Leader_(Leader) {}

void EntryService::refuse(const std::shared_ptr<Call> &Of, ErrorKind Kind,
                          std::string_view Message) {
  const core::ErrorInfo &Info = core::describe(Kind);
  http::Response Out;
  Out.Status_ = platform::httpStatusOf(Kind);
  Out.Body_ = core::errorBody(Kind, Message, Of->Job_);
  if (Out.Status_ == 503 || Out.Status_ == 429)
    Out.Headers_.emplace_back("Retry-After", RetryAfterSeconds);
  core::count("masticdrift_submissions_total", {{"outcome", std::string(Info.Name_)}});
  core::log(core::LogLevel::Info, "refused",
            {{"request_id", Of->Job_},
             {"error", std::string(Info.Id_)},
             {"status", std::to_string(Out.Status_)},
             {"message", std::string(Message)},
             {"config", Context_.Manifest_ ? std::to_string(Context_.Manifest_->Version_) : "none"},
             {"read_to", std::to_string(Jobs_.next())}});
  Of->Finish_(std::move(Out));
}

void EntryService::handle(const http::Request &From, const http::Responder &To) {
  const auto Of = std::make_shared<Call>();
  Of->What_ = platform::decodeCallerRequest(From);
  Of->ReceivedAt_ = core::Clock::now();
  const core::Millis Wait = Of->What_.DeadlineMs_ > 0
                                ? std::min(core::Millis(Of->What_.DeadlineMs_), MaxDeadline)
                                : DefaultDeadline;
  Of->Deadline_ = Of->ReceivedAt_ + Wait - AnswerMargin;
  ++Open_;
  Of->Finish_ = [this, To, Held = std::weak_ptr<Call>(Of)](http::Response Out) {
    const auto Call = Held.lock();
    if (!Call || std::exchange(Call->Answered_, true))
      return;
    --Open_;
    Out.Close_ = Context_.Stopping_;
    To(std::move(Out));
  };
  if (!Context_.Manifest_) {
    refuse(Of, ErrorKind::ConfigurationStale, "no configuration has been read yet");
    return;
  }
  const work::Manifest &Manifest = *Context_.Manifest_;
  Of->Queue_ = work::findQueue(Manifest, Of->What_.Host_, Of->What_.Path_);
  if (Of->Queue_ == nullptr) {
    refuse(Of, ErrorKind::UnknownQueue, "no queue has this host and path");
    return;
  }
  const std::string_view Rest =
      std::string_view(Of->What_.Path_).substr(Of->Queue_->PathPrefix_.size());
  if (platform::isJobId(Rest))
    Of->Job_ = Rest;
  const auto Key = Manifest.CustomerOfKey_.find(Of->What_.Key_);
  if (Key != Manifest.CustomerOfKey_.end()) {
    Of->Customer_ = Key->second;
  } else if (!Of->Queue_->AllowsAnonymous_) {
    refuse(Of, Of->What_.Key_.empty() ? ErrorKind::MissingKey : ErrorKind::UnknownKey,
           "the request carries no key of the configuration in force");
    return;
  }
  if (Rest.empty() && Of->What_.Method_ == platform::CallerMethod::Query) {
    if (!Jobs_.loaded()) {
      refuse(Of, ErrorKind::StoreUnavailable, "the jobs are still being read");
      return;
    }
    Of->answer(200, platform::encodePending(Context_.Ledger_.pendingCount(Of->Queue_->Name_)));
    return;
  }
  if (Of->Job_.empty()) {
    refuse(Of, ErrorKind::UnknownPath, "the path does not end with a job id");
    return;
  }
  switch (Of->What_.Method_) {
  case platform::CallerMethod::Submit:
    submit(Of, From.Body_);
    return;
  case platform::CallerMethod::Query:
    look(Of);
    return;
  case platform::CallerMethod::Cancel:
    cancel(Of);
    return;
  case platform::CallerMethod::Other:
    refuse(Of, ErrorKind::MethodNotAllowed, "a job takes POST, GET and DELETE");
    return;
  }
}

void EntryService::submit(const std::shared_ptr<Call> &Of, const std::string &Body) {
  if (Context_.Ledger_.find(Of->Job_) != nullptr) {
    // A repeat of a submission whose answer was lost.
    answerWrite(Of, WriteOutcome::Stored);
    return;
  }
  if (Context_.Manifest_->MaxBodyBytes_ > 0 && Body.size() > Context_.Manifest_->MaxBodyBytes_) {
    refuse(Of, ErrorKind::BodyTooLarge, "the body has " + std::to_string(Body.size()) + " bytes");
    return;
  }
  auto [Spec, Mistake] = platform::decodeJob(Body);
  if (!Spec) {
    refuse(Of, ErrorKind::MalformedJson, Mistake);
    return;
  }
  const work::AcceptedRecord Record{*Of->Queue_, Of->Customer_, core::wallMillis()};
  store(Of, {work::encodeAccepted(Of->Job_, Record), core::pack(*Spec)},
        [this, Of](WriteOutcome Outcome) { answerWrite(Of, Outcome); });
}

void EntryService::answerWrite(const std::shared_ptr<Call> &Of, WriteOutcome Outcome) {
  switch (Outcome) {
  case WriteOutcome::Refused:
    refuse(Of, ErrorKind::StoreUnavailable, "the job store refuses writes; nothing was stored");
    return;
  case WriteOutcome::Unknown:
    refuse(Of, ErrorKind::AppendUnknown, "the job store has not answered; ask with the same id");
    return;
  case WriteOutcome::Stored:
    break;
  }
  const double Seconds =
      std::chrono::duration<double>(core::Clock::now() - Of->ReceivedAt_).count();
  const bool Submit = Of->What_.Method_ == platform::CallerMethod::Submit;
  if (Submit) {
    core::count("masticdrift_submissions_total", {{"outcome", "accepted"}});
    core::observe("masticdrift_submission_seconds", Seconds);
  }
  core::log(core::LogLevel::Info, Submit ? "accepted" : "cancelled",
            {{"request_id", Of->Job_},
             {"customer", Of->Customer_},
             {"config", std::to_string(Context_.Manifest_->Version_)},
             {"ms", std::to_string(static_cast<int>(Seconds * 1000))}});
  Of->answer(200, "{}");
}

void EntryService::store(const std::shared_ptr<Call> &Of, Submission What,
                         std::function<void(WriteOutcome)> Done) {
  // One writer at a time keeps the partition's queue short when the store is slow, and tells the
  // leader of the job at once.
  const std::string Leader = Leader_.leaderAddress();
  if (!Leader.empty() && (Leader_.leaderHeard() || Jobs_.failing())) {
    relay(Of, Leader, std::move(What), std::move(Done));
    return;
  }
  if (Jobs_.failing())
    Done(WriteOutcome::Refused);
  else
    append(std::move(What), Of->Deadline_, std::move(Done));
}

void EntryService::append(Submission What, core::TimePoint Deadline,
                          std::function<void(WriteOutcome)> Done) {
  if (What.Spec_.empty()) {
    Writer_.write(entriesFor(std::move(What.Record_)), Deadline, std::move(Done));
    return;
  }
  const std::string Id(work::acceptedJobId(What.Record_));
  Specs_.write({{Id, std::move(What.Spec_)}}, Deadline,
               [this, Record = std::move(What.Record_), Deadline,
                Done = std::move(Done)](WriteOutcome Outcome) mutable {
                 // Steps alone are no job, so nothing will run.
                 if (Outcome != WriteOutcome::Stored)
                   Done(WriteOutcome::Refused);
                 else
                   Writer_.write(entriesFor(std::move(Record)), Deadline, std::move(Done));
               });
}

std::vector<work::LogRecord> EntryService::entriesFor(work::LogRecord Entry) const {
  std::vector<work::LogRecord> Out;
  // The leader begins a job with its acceptance, which saves an append before the first start.
  if (const std::string_view Id = work::acceptedJobId(Entry); !Id.empty() && Leader_.leading())
    Out.push_back(work::encodeStarted(Id, Leader_.term()));
  Out.push_back(std::move(Entry));
  return Out;
}

void EntryService::relay(const std::shared_ptr<Call> &Of, const std::string &Leader,
                         Submission What, std::function<void(WriteOutcome)> Done) {
  const core::Millis Left =
      std::chrono::duration_cast<core::Millis>(Of->Deadline_ - core::Clock::now());
  const core::Millis Wait = std::min(Left - RelayMargin, MostRelayTime);
  http::ClientRequest Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + Leader + protocol::SubmitPath;
  Call.Body_ = core::pack(
      protocol::SubmitCall{What.Record_.Key_, What.Record_.Value_, What.Spec_, Wait.count()});
  Call.Timeout_ = Wait + RelayMargin;
  Context_.Client_.send(std::move(Call), [this, Of, What = std::move(What), Done = std::move(Done)](
                                             const http::ClientResult &Result) mutable {
    const auto Reply = Result.Transfer_ == http::Transfer::Complete
                           ? core::unpack<protocol::SubmitReply>(Result.Answer_.Body_)
                           : std::nullopt;
    if (Reply && Reply->Stored_) {
      Context_.Ledger_.apply(Reply->Offset_, What.Record_.Key_, What.Record_.Value_);
      Done(WriteOutcome::Stored);
      return;
    }
    const bool NothingDone =
        (Reply && Reply->Refused_) || Result.Transfer_ == http::Transfer::NotConnected;
    core::log(core::LogLevel::Warning, "relay was not confirmed",
              {{"request_id", Of->Job_},
               {"uncertain", NothingDone ? "false" : "true"},
               {"detail", Reply ? "leader could not store" : Result.Error_}});
    if (!Reply)
      Leader_.leaderFailed();
    if (Jobs_.failing()) {
      Done(NothingDone ? WriteOutcome::Refused : WriteOutcome::Unknown);
      return;
    }
    // A second copy under the same key does no harm. What the relay may have stored can't be
    // called refused any more.
    append(std::move(What), Of->Deadline_,
           [NothingDone, Done = std::move(Done)](WriteOutcome Outcome) {
             const bool Unsure = Outcome == WriteOutcome::Refused && !NothingDone;
             Done(Unsure ? WriteOutcome::Unknown : Outcome);
           });
  });
}

void EntryService::submitFor(protocol::SubmitCall Call,
                             std::function<void(protocol::SubmitReply)> Done) {
  if (Jobs_.failing()) {
    Done({false, true, 0});
    return;
  }
  const core::TimePoint Deadline = core::Clock::now() + core::Millis(Call.TimeoutMs_);
  const std::string Id = Call.Key_.empty() ? std::string() : Call.Key_.substr(1);
  if (const work::JobTableEntry *Job = Context_.Ledger_.find(Id);
      Job != nullptr && !Call.Spec_.empty()) {
    // A repeat that reached another daemon.
    Done({true, false, Job->AcceptedOffset_});
    return;
  }
  append({{std::move(Call.Key_), std::move(Call.Value_)}, std::move(Call.Spec_)}, Deadline,
         [this, Id, Done = std::move(Done)](WriteOutcome Outcome) {
           protocol::SubmitReply Reply;
           Reply.Stored_ = Outcome == WriteOutcome::Stored;
           Reply.Refused_ = Outcome == WriteOutcome::Refused;
           if (const work::JobTableEntry *Job = Context_.Ledger_.find(Id))
             Reply.Offset_ = Job->AcceptedOffset_;
           Done(Reply);
         });
}

void EntryService::resolve(const std::shared_ptr<Call> &Of, Found Then) {
  const protocol::LookReply Own = lookedUp(Context_.Ledger_, Of->Job_);
  if (Own.Known_ && work::isFinal(static_cast<work::JobState>(Own.State_))) {
    resolved(Of, "own", Own, Then);
    return;
  }
  const std::string Leader = Leader_.leaderAddress();
  if (Leader_.leading())
    Leader_.look(Of->Job_, [this, Of, Then = std::move(Then)](const protocol::LookReply &Reply) {
      resolved(Of, "leader", Reply, Then);
    });
  else if (!Leader.empty() && Leader_.leaderHeard())
    askLeader(Of, Leader, std::move(Then));
  else
    resolveHere(Of, Then);
}

void EntryService::askLeader(const std::shared_ptr<Call> &Of, const std::string &Leader,
                             Found Then) {
  http::ClientRequest Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + Leader + protocol::LookPath;
  Call.Body_ = core::pack(protocol::LookCall{Of->Job_});
  Call.Timeout_ = LookRelayTimeout;
  Context_.Client_.send(
      std::move(Call), [this, Of, Then = std::move(Then)](const http::ClientResult &Result) {
        const auto Reply = Result.Transfer_ == http::Transfer::Complete
                               ? core::unpack<protocol::LookReply>(Result.Answer_.Body_)
                               : std::nullopt;
        if (!Reply) {
          core::log(core::LogLevel::Warning, "leader did not tell a job's state",
                    {{"request_id", Of->Job_}, {"detail", Result.Error_}});
          Leader_.leaderFailed();
        }
        resolved(Of, "leader", Reply.value_or(protocol::LookReply{}), Then);
      });
}

void EntryService::resolveHere(const std::shared_ptr<Call> &Of, const Found &Then) {
  const protocol::LookReply Own = lookedUp(Context_.Ledger_, Of->Job_);
  if (Own.Known_) {
    resolved(Of, "own", Own, Then);
    return;
  }
  if (!Jobs_.loaded() || Jobs_.failing()) {
    refuse(Of, ErrorKind::StoreUnavailable, "the job store can't be read at the moment");
    return;
  }
  // "No such job" is only true of the whole log.
  Jobs_.catchUp(LookTimeout, [this, Of, Then](bool Complete) {
    const protocol::LookReply Read = lookedUp(Context_.Ledger_, Of->Job_);
    if (Read.Known_)
      resolved(Of, "own", Read, Then);
    else if (Complete)
      refuse(Of, ErrorKind::UnknownJob, "no such job");
    else
      refuse(Of, ErrorKind::StoreUnavailable, "the job store can't be read at the moment");
  });
}

void EntryService::resolved(const std::shared_ptr<Call> &Of, std::string_view Source,
                            const protocol::LookReply &Reply, const Found &Then) {
  if (!Reply.Answered_ || !Reply.Known_) {
    resolveHere(Of, Then);
    return;
  }
  if (Reply.Customer_ != Of->Customer_) {
    refuse(Of, ErrorKind::UnknownJob, "no such job");
    return;
  }
  core::count("masticdrift_looks_total", {{"source", std::string(Source)}});
  Then(static_cast<work::JobState>(Reply.State_));
}

void EntryService::look(const std::shared_ptr<Call> &Of) {
  resolve(Of, [Of](work::JobState State) { Of->answer(200, platform::encodeState(State)); });
}

void EntryService::cancel(const std::shared_ptr<Call> &Of) {
  resolve(Of, [this, Of](work::JobState State) {
    if (work::isFinal(State)) {
      answerWrite(Of, WriteOutcome::Stored);
      return;
    }
    store(Of, {work::encodeCancelled(Of->Job_, {core::wallMillis()}), {}},
          [this, Of](WriteOutcome Outcome) { answerWrite(Of, Outcome); });
  });
}

} // namespace masticdrift::daemon
