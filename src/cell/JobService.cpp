#include "masticdrift/cell/JobService.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/jobs/Records.h"

#include <atomic>
#include <map>
#include <mutex>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace masticdrift::cell {

namespace {

using core::ErrorKind;
using core::TimePoint;
using Json = nlohmann::ordered_json;

/// Longest wait of a status query for the replay of earlier records; after it, the query is
/// answered from the state replayed so far.
constexpr core::Millis ReadBarrierTimeout{1'000};
/// Timeout of a query to a daemon of another domain.
constexpr core::Millis QueryTimeout{2'500};
/// Limits the size of a status answer; the task counts cover all tasks.
constexpr std::size_t MaxTasksListed = 200;

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string_view waitReasonName(policy::WaitReason Reason) {
  switch (Reason) {
  case policy::WaitReason::NotWaiting:
    return "not_waiting";
  case policy::WaitReason::Next:
    return "next";
  case policy::WaitReason::Limit:
    return "limit";
  case policy::WaitReason::Share:
    return "share";
  case policy::WaitReason::NoFittingWorker:
    return "no_fitting_worker";
  case policy::WaitReason::NoRoom:
    return "no_room";
  case policy::WaitReason::GangTasks:
    return "gang_tasks";
  case policy::WaitReason::Quarantine:
    return "quarantine";
  case policy::WaitReason::ReservedForGang:
    return "reserved_for_gang";
  case policy::WaitReason::FreeingRoom:
    return "freeing_room";
  }
  return "unknown";
}

Json taskJson(const jobs::Task &Task, std::size_t Index) {
  Json Result{{"task", Index}, {"state", jobs::nameOf(Task.State_)}, {"attempt", Task.Attempt_}};
  if (!Task.Worker_.empty())
    Result["worker"] = Task.Worker_;
  if (Task.ExitCode_ != 0)
    Result["exit"] = Task.ExitCode_;
  if (!Task.Reason_.empty())
    Result["reason"] = Task.Reason_;
  return Result;
}

Json jobJson(const jobs::Job &Job) {
  Json Result{{"id", Job.Spec_->Id_},
              {"team", Job.Spec_->Team_},
              {"queue", Job.Spec_->Queue_},
              {"kind", jobs::nameOf(Job.Spec_->Kind_)},
              {"state", jobs::nameOf(Job.State_)},
              {"accepted_ms", Job.Spec_->AcceptedWallMs_}};
  if (Job.CancelRequested_)
    Result["cancelled_by"] = Job.CancelledBy_;
  std::map<std::string_view, std::size_t> Counts;
  for (const jobs::Task &Task : Job.Tasks_)
    ++Counts[jobs::nameOf(Task.State_)];
  Result["task_counts"] = Counts;
  Json Tasks = Json::array();
  for (std::size_t I = 0; I < std::min(Job.Tasks_.size(), MaxTasksListed); ++I)
    Tasks.push_back(taskJson(Job.Tasks_[I], I));
  Result["tasks"] = std::move(Tasks);
  return Result;
}

core::Failure appendFailure(std::error_code Error) {
  const ErrorKind Kind = core::kindOf(Error);
  if (Kind == ErrorKind::None)
    return {};
  return {Kind, std::string(Kind == ErrorKind::AppendUnknown
                                ? "the log service did not answer; it may have appended the record"
                                : "the log service did not append the record")};
}

} // namespace

std::string_view homeDomain(std::span<const config::Domain> Domains, std::string_view Team,
                            std::string_view RequestId) {
  std::string_view Best;
  XXH64_hash_t BestHash = 0;
  for (const config::Domain &Candidate : Domains) {
    const std::string Key =
        Candidate.Name_ + '\0' + std::string(Team) + '\0' + std::string(RequestId);
    const XXH64_hash_t Hash = XXH3_64bits(Key.data(), Key.size());
    if (Best.empty() || Hash > BestHash) {
      Best = Candidate.Name_;
      BestHash = Hash;
    }
  }
  return Best;
}

std::string domainStreamName(std::string_view Domain) { return "domain." + std::string(Domain); }

std::string_view domainOfJob(std::string_view JobId) {
  const std::size_t Slash = JobId.find('/');
  return Slash == std::string_view::npos ? std::string_view() : JobId.substr(0, Slash);
}

struct JobService::Impl : std::enable_shared_from_this<Impl> {
  Impl(JobServiceOptions Options, DomainStream &OwnStream, const Controller &DomainController,
       legacy::LogClient &Log, core::Timers &Timers, protocol::Link &PeerLink,
       const membership::PeerTable &PeerTable)
      : Options_(std::move(Options)), OwnStream_(OwnStream), Controller_(DomainController),
        Log_(Log), Timers_(Timers), PeerLink_(PeerLink), PeerTable_(PeerTable) {}

  void append(std::string_view Domain, std::vector<journal::Entry> Entries,
              std::function<void(std::error_code, std::uint64_t)> Done) {
    if (Domain == Options_.Domain_)
      return OwnStream_.append(std::move(Entries), std::move(Done));
    appenderFor(Domain).append(
        std::move(Entries), [Self = shared_from_this(), Domain = std::string(Domain),
                             Done = std::move(Done)](std::error_code Error, std::uint64_t Offset) {
          if (!Error)
            Self->notifyOwner(Domain, Offset);
          Done(Error, Offset);
        });
  }

  /// Returns the appender of another domain's stream. Such streams are written rarely, so the
  /// appender is created at the first use.
  journal::Appender &appenderFor(std::string_view Domain) {
    const std::lock_guard Lock(Mutex_);
    auto &Appender = Appenders_[std::string(Domain)];
    if (!Appender) {
      journal::AppenderOptions Options;
      Options.Stream_ = domainStreamName(Domain);
      Options.Writer_ = Options_.Instance_;
      Options.Incarnation_ = Options_.Incarnation_;
      Options.MaxBatchAge_ = Options_.BatchCloseDelay_;
      Options.AppendsPerSecond_ = Options_.AppendsPerSecond_;
      Appender = std::make_unique<journal::Appender>(
          Options, journal::appendTo(Log_, Options.Stream_), Timers_);
    }
    return *Appender;
  }

  /// Notifies the domain's owner of an append, so that it reads the record before its next poll.
  void notifyOwner(const std::string &Domain, std::uint64_t Offset) {
    const auto Owner = PeerTable_.owner(Domain);
    if (Owner && Owner->Owner_ != Options_.Instance_)
      PeerLink_.send(Owner->Owner_, protocol::MessageKind::Notice, 0,
                     core::pack(protocol::Notice{domainStreamName(Domain), Offset}));
  }

  void accept(jobs::JobSpec Spec, JobCallback Done) {
    const std::string Id = Spec.Id_;
    const std::string Team = Spec.Team_;
    const std::int64_t AcceptedMs = Spec.AcceptedWallMs_;
    Json Fallback{{"id", Id}, {"team", Team}, {"queue", Spec.Queue_}, {"state", "accepted"}};
    append(domainOfJob(Id), {jobs::toEntry(jobs::Accept{std::move(Spec)})},
           [Self = shared_from_this(), Id, Team, AcceptedMs, Fallback = std::move(Fallback),
            Done = std::move(Done)](std::error_code Error, std::uint64_t) {
             if (Error)
               return Done(appendFailure(Error), {});
             Self->reportAccepted(Id, Team, AcceptedMs, Fallback, Done);
           });
  }

  /// Reads the job back, because an earlier submission with the same request id takes precedence.
  /// If the read fails, the job is accepted all the same and \p Fallback is reported.
  void reportAccepted(const std::string &Id, const std::string &Team, std::int64_t AcceptedMs,
                      const Json &Fallback, const JobCallback &Done) {
    status(Id, Team,
           [AcceptedMs, Fallback, Done](const core::Failure &Error, const std::string &Text) {
             Json State = Error ? Fallback : Json::parse(Text, nullptr, false);
             if (!State.is_object())
               State = Fallback;
             // A different acceptance time is that of an earlier submission with the same id.
             if (!Error && State.value("accepted_ms", AcceptedMs) != AcceptedMs)
               State["duplicate"] = true;
             Done({}, dump(State));
           });
  }

  void cancel(std::span<const std::string> Ids, std::string_view By,
              std::function<void(core::Failure)> Done) {
    std::map<std::string, std::vector<journal::Entry>, std::less<>> ByDomain;
    for (const std::string &Id : Ids)
      ByDomain[std::string(domainOfJob(Id))].push_back(
          jobs::toEntry(jobs::Cancel{Id, std::string(By)}));
    if (ByDomain.empty())
      return Done({});
    struct PendingAppends {
      std::atomic<std::size_t> Remaining_;
      std::mutex Mutex_;
      core::Failure FirstFailure_;
    };
    auto Pending = std::make_shared<PendingAppends>();
    Pending->Remaining_ = ByDomain.size();
    for (auto &[Domain, Entries] : ByDomain)
      append(Domain, std::move(Entries), [Pending, Done](std::error_code Error, std::uint64_t) {
        {
          const std::lock_guard Lock(Pending->Mutex_);
          if (Error && !Pending->FirstFailure_)
            Pending->FirstFailure_ = appendFailure(Error);
        }
        if (--Pending->Remaining_ == 0)
          Done(Pending->FirstFailure_);
      });
  }

  void status(std::string_view Id, std::string_view Team, JobCallback Done) {
    if (domainOfJob(Id) == Options_.Domain_)
      return localStatus(std::string(Id), std::string(Team), std::move(Done));
    query(std::string(domainOfJob(Id)), {{"op", "status"}, {"id", Id}, {"team", Team}},
          std::move(Done));
  }

  void localStatus(std::string Id, std::string Team, JobCallback Done) {
    OwnStream_.barrier(ReadBarrierTimeout, [Self = shared_from_this(), Id = std::move(Id),
                                            Team = std::move(Team),
                                            Done = std::move(Done)](std::error_code BarrierError) {
      const auto Job = Self->OwnStream_.jobs().find(Id);
      if (!Job || (!Team.empty() && Job->Spec_->Team_ != Team))
        return Done({ErrorKind::UnknownJob, "job \"" + Id + "\" does not exist"}, {});
      Json Result = jobJson(*Job);
      if (BarrierError)
        Result["stale"] = true; // the store did not answer: the state is as of the last read
      Self->explainIfWaiting(*Job, std::move(Result), Done);
    });
  }

  /// Adds why the job waits; only the owner knows it.
  void explainIfWaiting(const jobs::Job &Job, Json Result, const JobCallback &Done) {
    if (jobs::isFinished(Job.State_) || !OwnStream_.ownership().holds(core::Clock::now()))
      return Done({}, dump(Result));
    Controller_.explain(Job.Spec_->Id_, [Result = std::move(Result),
                                         Done](const policy::Explanation &Explanation) mutable {
      addExplanation(Result, Explanation);
      Done({}, dump(Result));
    });
  }

  static void addExplanation(Json &Result, const policy::Explanation &Explanation) {
    if (Explanation.Reason_ == policy::WaitReason::NotWaiting)
      return;
    Json WaitJson{{"reason", waitReasonName(Explanation.Reason_)}, {"text", Explanation.Text_}};
    if (Explanation.Tasks_ > 1)
      WaitJson["fitting_tasks"] = Explanation.FittingTasks_;
    if (Explanation.EstimatedStart_)
      WaitJson["estimated_start_in_ms"] =
          core::toMillis(*Explanation.EstimatedStart_ - core::Clock::now());
    Result["waits_for"] = std::move(WaitJson);
  }

  void localList(const std::string &Team, const JobCallback &Done) const {
    Json Rows = Json::array();
    for (const jobs::Job &Job : OwnStream_.jobs().list(Team)) {
      Json Row = jobJson(Job);
      Row.erase("tasks");
      Rows.push_back(std::move(Row));
    }
    Done({}, dump(Rows));
  }

  /// Queries the owner of a domain or, if none is known, another daemon of the domain.
  void query(const std::string &Domain, const Json &Request, JobCallback Done) {
    const std::string Target = daemonInDomain(Domain);
    if (Target.empty())
      return Done({ErrorKind::PeerUnreachable, "no daemon of domain \"" + Domain + "\" is known"},
                  {});
    PeerLink_.call(
        Target, protocol::MessageKind::JobQuery, core::pack(protocol::JobQuery{dump(Request)}),
        QueryTimeout,
        [Target, Done = std::move(Done)](std::error_code Error, const protocol::Envelope &Reply) {
          const auto Answer = Error ? std::nullopt : core::unpack<protocol::JobReply>(Reply.Body_);
          if (!Answer)
            return Done({ErrorKind::PeerUnreachable, Target + " does not answer"}, {});
          const auto Kind = static_cast<ErrorKind>(Answer->ErrorKind_);
          if (Kind != ErrorKind::None)
            return Done({Kind, Answer->Text_}, {});
          Done({}, Answer->Text_);
        });
  }

  std::string daemonInDomain(const std::string &Domain) const {
    if (const auto Owner = PeerTable_.owner(Domain); Owner && !Owner->Owner_.empty())
      return Owner->Owner_;
    for (const membership::Peer &Peer : PeerTable_.peers())
      if (Peer.Member_.Domain_ == Domain)
        return Peer.Member_.Name_;
    return {};
  }

  void list(std::string_view Team, std::span<const std::string> Domains, JobCallback Done) {
    struct DomainListing {
      std::mutex Mutex_;
      Json Rows_ = Json::array();
      Json UnreachableDomains_ = Json::array();
      std::size_t Remaining_ = 0;
    };
    auto Listing = std::make_shared<DomainListing>();
    Listing->Remaining_ = Domains.size();
    if (Domains.empty())
      return Done({}, dump(Json{{"jobs", Json::array()}, {"unreachable_domains", Json::array()}}));
    for (const std::string &Domain : Domains) {
      auto OnDomainAnswer = [Listing, Domain, Done](const core::Failure &Error,
                                                    const std::string &Text) {
        const std::unique_lock Lock(Listing->Mutex_);
        const Json Rows = Error ? Json() : Json::parse(Text, nullptr, false);
        if (Rows.is_array())
          Listing->Rows_.insert(Listing->Rows_.end(), Rows.begin(), Rows.end());
        else
          Listing->UnreachableDomains_.push_back(Domain);
        if (--Listing->Remaining_ == 0)
          Done({}, dump(Json{{"jobs", Listing->Rows_},
                             {"unreachable_domains", Listing->UnreachableDomains_}}));
      };
      if (Domain == Options_.Domain_)
        localList(std::string(Team), OnDomainAnswer);
      else
        query(Domain, {{"op", "list"}, {"team", Team}}, OnDomainAnswer);
    }
  }

  void onQuery(const protocol::Envelope &Message) {
    const auto Query = core::unpack<protocol::JobQuery>(Message.Body_);
    const Json Request = Query ? Json::parse(Query->Text_, nullptr, false) : Json();
    const auto Reply = [Self = shared_from_this(), Message](const core::Failure &Error,
                                                            const std::string &Text) {
      const protocol::JobReply Answer{static_cast<std::int32_t>(Error.Kind_),
                                      Error ? Error.Message_ : Text};
      Self->PeerLink_.reply(Message, protocol::MessageKind::JobReply, core::pack(Answer));
    };
    if (!Request.is_object())
      return Reply({ErrorKind::MalformedMessage, "JobQuery is malformed"}, {});
    const std::string Team = Request.value("team", "");
    if (Request.value("op", "") == "list")
      return localList(Team, Reply);
    localStatus(Request.value("id", ""), Team, Reply);
  }

  const JobServiceOptions Options_;
  DomainStream &OwnStream_;
  const Controller &Controller_;
  legacy::LogClient &Log_;
  core::Timers &Timers_;
  protocol::Link &PeerLink_;
  const membership::PeerTable &PeerTable_;
  std::mutex Mutex_;
  std::map<std::string, std::unique_ptr<journal::Appender>> Appenders_;
};

JobService::JobService(JobServiceOptions Options, DomainStream &OwnStream,
                       const Controller &DomainController, legacy::LogClient &Log,
                       core::Timers &Timers, protocol::Link &PeerLink,
                       const membership::PeerTable &PeerTable)
    : Impl_(std::make_shared<Impl>(std::move(Options), OwnStream, DomainController, Log, Timers,
                                   PeerLink, PeerTable)) {}

JobService::~JobService() = default;

void JobService::accept(jobs::JobSpec Spec, JobCallback Done) {
  Impl_->accept(std::move(Spec), std::move(Done));
}

void JobService::cancel(std::span<const std::string> Ids, std::string_view By,
                        std::function<void(core::Failure)> Done) {
  Impl_->cancel(Ids, By, std::move(Done));
}

void JobService::status(std::string_view Id, std::string_view Team, JobCallback Done) {
  Impl_->status(Id, Team, std::move(Done));
}

void JobService::list(std::string_view Team, std::span<const std::string> Domains,
                      JobCallback Done) {
  Impl_->list(Team, Domains, std::move(Done));
}

void JobService::onQuery(const protocol::Envelope &Message) { Impl_->onQuery(Message); }

} // namespace masticdrift::cell
