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

/// A read waits this long for replay to pass the moment of the query; then it is answered from what
/// is known.
constexpr core::Millis ReadBarrier{1'000};
/// A query to another domain's daemon.
constexpr core::Millis QueryTimeout{2'500};
/// Tasks listed in full in a status answer.
constexpr std::size_t MostTasksListed = 200;

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string_view reasonName(policy::WaitReason Reason) {
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

Json taskJson(const jobs::Task &One, std::size_t Number) {
  Json To{{"task", Number}, {"state", jobs::nameOf(One.State_)}, {"attempt", One.Attempt_}};
  if (!One.Worker_.empty())
    To["worker"] = One.Worker_;
  if (One.ExitCode_ != 0)
    To["exit"] = One.ExitCode_;
  if (!One.Reason_.empty())
    To["reason"] = One.Reason_;
  return To;
}

Json jobJson(const jobs::Job &Of) {
  Json To{{"id", Of.Spec_->Id_},
          {"team", Of.Spec_->Team_},
          {"queue", Of.Spec_->Queue_},
          {"kind", jobs::nameOf(Of.Spec_->Kind_)},
          {"state", jobs::nameOf(Of.State_)},
          {"accepted_ms", Of.Spec_->AcceptedWallMs_}};
  if (Of.CancelRequested_)
    To["cancelled_by"] = Of.CancelledBy_;
  std::map<std::string_view, std::size_t> Counts;
  for (const jobs::Task &One : Of.Tasks_)
    ++Counts[jobs::nameOf(One.State_)];
  To["task_counts"] = Counts;
  Json Tasks = Json::array();
  for (std::size_t I = 0; I < std::min(Of.Tasks_.size(), MostTasksListed); ++I)
    Tasks.push_back(taskJson(Of.Tasks_[I], I));
  To["tasks"] = std::move(Tasks);
  return To;
}

core::Failure failureOf(std::error_code Error) {
  const ErrorKind Kind = core::kindOf(Error);
  if (Kind == ErrorKind::None)
    return {};
  return {Kind, std::string(Kind == ErrorKind::AppendUnknown
                                ? "the log service did not answer; the record may have been taken"
                                : "the log service did not take the record")};
}

} // namespace

std::string_view homeDomain(std::span<const config::Domain> Domains, std::string_view Team,
                            std::string_view RequestId) {
  std::string_view Best;
  XXH64_hash_t BestHash = 0;
  for (const config::Domain &One : Domains) {
    const std::string Key = One.Name_ + '\0' + std::string(Team) + '\0' + std::string(RequestId);
    const XXH64_hash_t Hash = XXH3_64bits(Key.data(), Key.size());
    if (Best.empty() || Hash > BestHash) {
      Best = One.Name_;
      BestHash = Hash;
    }
  }
  return Best;
}

std::string streamOf(std::string_view Domain) { return "domain." + std::string(Domain); }

std::string_view domainOf(std::string_view JobId) {
  const std::size_t Slash = JobId.find('/');
  return Slash == std::string_view::npos ? std::string_view() : JobId.substr(0, Slash);
}

struct JobService::Impl : std::enable_shared_from_this<Impl> {
  Impl(JobServiceOptions Options, DomainStream &Own, const Controller &Cell, legacy::LogClient &Log,
       core::Timers &Timers, protocol::Link &Peers, const membership::PeerTable &Table)
      : Options_(std::move(Options)), Own_(Own), Cell_(Cell), Log_(Log), Timers_(Timers),
        Peers_(Peers), Table_(Table) {}

  void append(std::string_view Domain, std::vector<journal::Entry> Entries,
              std::function<void(std::error_code, std::uint64_t)> Done) {
    if (Domain == Options_.Domain_)
      return Own_.append(std::move(Entries), std::move(Done));
    appenderOf(Domain).append(
        std::move(Entries), [Self = shared_from_this(), Domain = std::string(Domain),
                             Done = std::move(Done)](std::error_code Error, std::uint64_t Offset) {
          if (!Error)
            Self->notify(Domain, Offset);
          Done(Error, Offset);
        });
  }

  /// Other domains' streams are written rarely, so their appenders are made when needed.
  journal::Appender &appenderOf(std::string_view Domain) {
    const std::lock_guard Lock(Mutex_);
    auto &Slot = Appenders_[std::string(Domain)];
    if (!Slot) {
      journal::AppenderOptions To;
      To.Stream_ = streamOf(Domain);
      To.Writer_ = Options_.Self_;
      To.Incarnation_ = Options_.Incarnation_;
      To.MaxBatchAge_ = Options_.BatchClose_;
      To.AppendsPerSecond_ = Options_.AppendsPerSecond_;
      Slot = std::make_unique<journal::Appender>(To, journal::appendTo(Log_, To.Stream_), Timers_);
    }
    return *Slot;
  }

  /// Tells the owner, so that it doesn't wait for its next poll.
  void notify(const std::string &Domain, std::uint64_t Offset) {
    const auto Owner = Table_.owner(Domain);
    if (Owner && Owner->Owner_ != Options_.Self_)
      Peers_.send(Owner->Owner_, protocol::MessageKind::Notice, 0,
                  core::pack(protocol::Notice{streamOf(Domain), Offset}));
  }

  void accept(jobs::JobSpec Spec, JobCallback Done) {
    const std::string Id = Spec.Id_;
    const std::string Team = Spec.Team_;
    const std::int64_t AcceptedMs = Spec.AcceptedWallMs_;
    Json Fallback{{"id", Id}, {"team", Team}, {"queue", Spec.Queue_}, {"state", "accepted"}};
    append(domainOf(Id), {jobs::toEntry(jobs::Accept{std::move(Spec)})},
           [Self = shared_from_this(), Id, Team, AcceptedMs, Fallback = std::move(Fallback),
            Done = std::move(Done)](std::error_code Error, std::uint64_t) {
             if (Error)
               return Done(failureOf(Error), {});
             Self->reportAccepted(Id, Team, AcceptedMs, Fallback, Done);
           });
  }

  /// Reads the job back, because an earlier submission with the same id counts. If it can't be
  /// read, the job is accepted all the same.
  void reportAccepted(const std::string &Id, const std::string &Team, std::int64_t AcceptedMs,
                      const Json &Fallback, const JobCallback &Done) {
    status(Id, Team,
           [AcceptedMs, Fallback, Done](const core::Failure &Error, const std::string &Text) {
             Json State = Error ? Fallback : Json::parse(Text, nullptr, false);
             if (!State.is_object())
               State = Fallback;
             if (!Error && State.value("accepted_ms", AcceptedMs) != AcceptedMs)
               State["duplicate"] = true;
             Done({}, dump(State));
           });
  }

  void cancel(std::span<const std::string> Ids, std::string_view By,
              std::function<void(core::Failure)> Done) {
    std::map<std::string, std::vector<journal::Entry>, std::less<>> ByDomain;
    for (const std::string &Id : Ids)
      ByDomain[std::string(domainOf(Id))].push_back(
          jobs::toEntry(jobs::Cancel{Id, std::string(By)}));
    if (ByDomain.empty())
      return Done({});
    struct Wave {
      std::atomic<std::size_t> Left_;
      std::mutex Mutex_;
      core::Failure First_;
    };
    auto All = std::make_shared<Wave>();
    All->Left_ = ByDomain.size();
    for (auto &[Domain, Entries] : ByDomain)
      append(Domain, std::move(Entries), [All, Done](std::error_code Error, std::uint64_t) {
        {
          const std::lock_guard Lock(All->Mutex_);
          if (Error && !All->First_)
            All->First_ = failureOf(Error);
        }
        if (--All->Left_ == 0)
          Done(All->First_);
      });
  }

  void status(std::string_view Id, std::string_view Team, JobCallback Done) {
    if (domainOf(Id) == Options_.Domain_)
      return localStatus(std::string(Id), std::string(Team), std::move(Done));
    query(std::string(domainOf(Id)), {{"op", "status"}, {"id", Id}, {"team", Team}},
          std::move(Done));
  }

  void localStatus(std::string Id, std::string Team, JobCallback Done) {
    Own_.barrier(ReadBarrier,
                 [Self = shared_from_this(), Id = std::move(Id), Team = std::move(Team),
                  Done = std::move(Done)](std::error_code Stale) {
                   const auto Job = Self->Own_.jobs().find(Id);
                   if (!Job || (!Team.empty() && Job->Spec_->Team_ != Team))
                     return Done({ErrorKind::UnknownJob, "job \"" + Id + "\" does not exist"}, {});
                   Json To = jobJson(*Job);
                   if (Stale)
                     To["stale"] = true; // the store is away: the state is as of the last read
                   Self->explainIfWaiting(*Job, std::move(To), Done);
                 });
  }

  /// The owner adds why the job waits.
  void explainIfWaiting(const jobs::Job &Job, Json To, const JobCallback &Done) {
    if (jobs::isFinished(Job.State_) || !Own_.ownership().holds(core::Clock::now()))
      return Done({}, dump(To));
    Cell_.explain(Job.Spec_->Id_,
                  [To = std::move(To), Done](const policy::Explanation &Why) mutable {
                    addExplanation(To, Why);
                    Done({}, dump(To));
                  });
  }

  static void addExplanation(Json &To, const policy::Explanation &Why) {
    if (Why.Reason_ == policy::WaitReason::NotWaiting)
      return;
    Json Part{{"reason", reasonName(Why.Reason_)}, {"text", Why.Text_}};
    if (Why.Tasks_ > 1)
      Part["fitting_tasks"] = Why.FittingTasks_;
    if (Why.EstimatedStart_)
      Part["estimated_start_in_ms"] = core::toMillis(*Why.EstimatedStart_ - core::Clock::now());
    To["waits_for"] = std::move(Part);
  }

  void localList(const std::string &Team, const JobCallback &Done) const {
    Json Rows = Json::array();
    for (const jobs::Job &One : Own_.jobs().list(Team)) {
      Json Row = jobJson(One);
      Row.erase("tasks");
      Rows.push_back(std::move(Row));
    }
    Done({}, dump(Rows));
  }

  /// Asks the owner of a domain, else any other daemon of it.
  void query(const std::string &Domain, const Json &Question, JobCallback Done) {
    const std::string Target = daemonOf(Domain);
    if (Target.empty())
      return Done({ErrorKind::PeerUnreachable, "no daemon of domain \"" + Domain + "\" is known"},
                  {});
    Peers_.call(
        Target, protocol::MessageKind::JobQuery, core::pack(protocol::JobQuery{dump(Question)}),
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

  std::string daemonOf(const std::string &Domain) const {
    if (const auto Owner = Table_.owner(Domain); Owner && !Owner->Owner_.empty())
      return Owner->Owner_;
    for (const membership::Peer &One : Table_.peers())
      if (One.Member_.Domain_ == Domain)
        return One.Member_.Name_;
    return {};
  }

  void list(std::string_view Team, std::span<const std::string> Domains, JobCallback Done) {
    struct Collected {
      std::mutex Mutex_;
      Json Rows_ = Json::array();
      Json Missing_ = Json::array();
      std::size_t Left_ = 0;
    };
    auto All = std::make_shared<Collected>();
    All->Left_ = Domains.size();
    if (Domains.empty())
      return Done({}, dump(Json{{"jobs", Json::array()}, {"unreachable_domains", Json::array()}}));
    for (const std::string &Domain : Domains) {
      auto Part = [All, Domain, Done](const core::Failure &Error, const std::string &Text) {
        const std::unique_lock Lock(All->Mutex_);
        const Json Rows = Error ? Json() : Json::parse(Text, nullptr, false);
        if (Rows.is_array())
          All->Rows_.insert(All->Rows_.end(), Rows.begin(), Rows.end());
        else
          All->Missing_.push_back(Domain);
        if (--All->Left_ == 0)
          Done({}, dump(Json{{"jobs", All->Rows_}, {"unreachable_domains", All->Missing_}}));
      };
      if (Domain == Options_.Domain_)
        localList(std::string(Team), Part);
      else
        query(Domain, {{"op", "list"}, {"team", Team}}, Part);
    }
  }

  void onQuery(const protocol::Envelope &Message) {
    const auto Query = core::unpack<protocol::JobQuery>(Message.Body_);
    const Json Question = Query ? Json::parse(Query->Text_, nullptr, false) : Json();
    const auto Reply = [Self = shared_from_this(), Message](const core::Failure &Error,
                                                            const std::string &Text) {
      const protocol::JobReply To{static_cast<std::int32_t>(Error.Kind_),
                                  Error ? Error.Message_ : Text};
      Self->Peers_.reply(Message, protocol::MessageKind::JobReply, core::pack(To));
    };
    if (!Question.is_object())
      return Reply({ErrorKind::MalformedMessage, "JobQuery is malformed"}, {});
    const std::string Team = Question.value("team", "");
    if (Question.value("op", "") == "list")
      return localList(Team, Reply);
    localStatus(Question.value("id", ""), Team, Reply);
  }

  const JobServiceOptions Options_;
  DomainStream &Own_;
  const Controller &Cell_;
  legacy::LogClient &Log_;
  core::Timers &Timers_;
  protocol::Link &Peers_;
  const membership::PeerTable &Table_;
  std::mutex Mutex_;
  std::map<std::string, std::unique_ptr<journal::Appender>> Appenders_;
};

JobService::JobService(JobServiceOptions Options, DomainStream &Own, const Controller &Cell,
                       legacy::LogClient &Log, core::Timers &Timers, protocol::Link &Peers,
                       const membership::PeerTable &Table)
    : Impl_(std::make_shared<Impl>(std::move(Options), Own, Cell, Log, Timers, Peers, Table)) {}

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
