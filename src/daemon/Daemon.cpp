#include "masticdrift/daemon/Daemon.h"

#include "masticdrift/cell/Controller.h"
#include "masticdrift/cell/DomainStream.h"
#include "masticdrift/cell/JobService.h"
#include "masticdrift/cell/Services.h"
#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/gateway/CallerApi.h"
#include "masticdrift/gateway/OperatorApi.h"
#include "masticdrift/http/Client.h"
#include "masticdrift/http/Server.h"
#include "masticdrift/jobs/Records.h"
#include "masticdrift/legacy/InstanceList.h"
#include "masticdrift/legacy/LogClient.h"
#include "masticdrift/membership/Heartbeat.h"
#include "masticdrift/protocol/Link.h"
#include "masticdrift/replica/ConfigReplica.h"
#include "masticdrift/routing/Dispatcher.h"
#include "masticdrift/routing/Router.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <nlohmann/json.hpp>

namespace masticdrift::daemon {

namespace {

using core::TimePoint;
using protocol::MessageKind;

/// How often the view of the domains for routing is rebuilt.
constexpr core::Millis ViewPeriod{50};
/// How often the service jobs are compared with the configuration.
constexpr core::Millis ServicePeriod{500};
constexpr core::Millis MetricsPeriod{1'000};
/// A peer that answered a probe within this time counts as reachable.
constexpr core::Millis ReachableFor{4'000};
/// Time for the balancer to notice that readiness fails, while requests are still served.
constexpr core::Millis AnnounceStop{1'000};
constexpr core::Millis StopPoll{10};
/// Time for the release of the lease to be read back.
constexpr core::Millis ReleaseLimit{5'000};
constexpr core::Millis ConsentTimeout{1'000};
/// An instance counts as terminated only by a list at most this old.
constexpr core::Millis ListTrusted{5'000};

/// Rises with every start of the instance, because the clock of the platform's instances only goes
/// forward by more than a start takes.
std::uint64_t newIncarnation() { return static_cast<std::uint64_t>(core::wallMillis()); }

cell::WorkerLeaseTiming leaseTiming(const settings::Timing &From) {
  cell::WorkerLeaseTiming To;
  To.Ttl_ = From.WorkerLease_;
  To.Renew_ = From.WorkerRenew_;
  To.Timeout_ = From.WorkerTimeout_;
  To.Margin_ = From.LeaseMargin_;
  return To;
}

} // namespace

struct Daemon::Impl {
  Impl(settings::Settings Settings, std::function<void()> Drain)
      : Settings_(std::move(Settings)), Drain_(std::move(Drain)), Incarnation_(newIncarnation()),
        Link_(linkOptions(), [this](const protocol::Envelope &Message) { onMessage(Message); }),
        Http_(0, std::chrono::seconds(10)), WorkerHttp_(0, std::chrono::seconds(30)),
        Log_(Http_, logOptions()), Workers_(WorkerHttp_, Settings_.Timing_.WorkerTimeout_),
        Table_(Settings_.Instance_.Name_, Settings_.Instance_.Domain_),
        Config_(configOptions(), configHooks(), Log_, Timers_, Link_, Table_),
        Stream_(streamOptions(), streamHooks(), Log_, Timers_),
        Controller_(controllerOptions(), controllerHooks(), CellTimers_, Workers_, Stream_.jobs()),
        Dispatcher_(dispatcherOptions(), Timers_,
                    [this](TimePoint Now) { return Stream_.ownership().holds(Now); }),
        Router_(routerOptions(), Link_, Dispatcher_, [this] { return domainViews(); }),
        Jobs_(jobOptions(), Stream_, Controller_, Log_, Timers_, Link_, Table_),
        Heartbeat_(heartbeatOptions(), heartbeatHooks(), Timers_, Link_, Table_),
        Instances_(Http_, Timers_, listOptions(),
                   [this] { Timers_.post([this] { applyInstances(); }); }),
        Callers_(callerOptions(), Config_, Router_, Jobs_, Instances_),
        Operators_(Settings_.Operator_.KeyHashes_,
                   static_cast<std::size_t>(Settings_.Fleet_.EntryInstances_), Config_,
                   operatorHooks()) {
    Ready_ = true;
    Config_.start();
    Stream_.start();
    Controller_.start();
    Heartbeat_.start();
    Instances_.start();
    Timers_.every(ViewPeriod, [this] { rebuildViews(); });
    Timers_.every(ServicePeriod, [this] { reconcileServices(); });
    Timers_.every(MetricsPeriod, [this] { publishMetrics(); });
    CallerServer_ =
        std::make_unique<http::Server>(callerServerOptions(), [this](auto Incoming, auto Respond) {
          Callers_.handle(std::move(Incoming), std::move(Respond));
        });
    OperatorServer_ = std::make_unique<http::Server>(
        operatorServerOptions(), [this](auto Incoming, auto Respond) {
          Operators_.handle(std::move(Incoming), std::move(Respond));
        });
  }

  ~Impl() {
    CallerServer_.reset();
    OperatorServer_.reset();
    Ready_ = false;
    Link_.stop();
    Instances_.stop();
    Config_.stop();
    Stream_.stop();
    CellTimers_.stop();
    Timers_.stop();
  }

  // --- Options ---

  protocol::LinkOptions linkOptions() const {
    protocol::LinkOptions To;
    To.Name_ = Settings_.Instance_.Name_;
    To.Incarnation_ = Incarnation_;
    To.Listen_ = Settings_.Peer_.Address_ + ":" + std::to_string(Settings_.Peer_.Port_);
    return To;
  }

  legacy::LogClientOptions logOptions() const {
    legacy::LogClientOptions To;
    To.BaseUrl_ = Settings_.Platform_.LogUrl_;
    To.ReadTimeout_ = Settings_.Timing_.StoreTimeout_;
    return To;
  }

  replica::ConfigReplicaOptions configOptions() const {
    replica::ConfigReplicaOptions To;
    To.InstanceName_ = Settings_.Instance_.Name_;
    To.Incarnation_ = Incarnation_;
    To.FleetSize_ = static_cast<std::size_t>(Settings_.Fleet_.EntryInstances_);
    To.FreshnessBound_ = Settings_.Timing_.ConfigurationFresh_;
    To.MaxStoreAge_ = Settings_.Timing_.StoreReachable_;
    To.PollInterval_ = Settings_.Timing_.PollStream_;
    To.BatchWindow_ = Settings_.Timing_.BatchClose_;
    To.AppendsPerSecond_ = static_cast<double>(Settings_.Limits_.AppendsPerSecond_);
    To.LogRetention_ = Settings_.Timing_.StoreRetention_;
    return To;
  }

  replica::ConfigReplicaHooks configHooks() {
    replica::ConfigReplicaHooks To;
    To.OnChange_ = [this] { applyTeams(); };
    To.WritesSnapshots_ = [this] { return writesConfigSnapshots(); };
    To.Members_ = [this] {
      std::set<std::string> Names;
      for (const auto &[Name, One] : Stream_.ownership().state().Members_)
        Names.insert(Name);
      return Names;
    };
    return To;
  }

  bool writesConfigSnapshots() const {
    std::string First = Settings_.Fleet_.Domains_.front().Name_;
    for (const settings::FleetDomain &One : Settings_.Fleet_.Domains_)
      First = std::min(First, One.Name_);
    return First == Settings_.Instance_.Domain_ && Stream_.ownership().holds(core::Clock::now());
  }

  cell::DomainStreamOptions streamOptions() const {
    cell::DomainStreamOptions To;
    const settings::Timing &Timing = Settings_.Timing_;
    To.Stream_ = cell::streamOf(Settings_.Instance_.Domain_);
    To.Poll_ = Timing.PollStream_;
    To.BatchClose_ = Timing.BatchClose_;
    To.AppendsPerSecond_ = static_cast<double>(Settings_.Limits_.AppendsPerSecond_);
    To.Retention_ = Timing.StoreRetention_;
    To.Ownership_.Instance_ = Settings_.Instance_.Name_;
    To.Ownership_.Incarnation_ = Incarnation_;
    To.Ownership_.Address_ = Settings_.Peer_.Address_ + ":" + std::to_string(Link_.port());
    To.Ownership_.Lease_ = Timing.OwnerLease_;
    To.Ownership_.Margin_ = Timing.LeaseMargin_;
    To.Ownership_.RenewEvery_ = Timing.OwnerRenew_;
    To.Ownership_.YieldAfter_ = Timing.StoreGiveUp_;
    To.Ownership_.YieldMemberAge_ = Timing.StoreReachable_;
    To.Ownership_.EvictAfter_ = Timing.EvictMember_;
    To.Ownership_.LongestDeadline_ = Settings_.Limits_.MaxDeadline_;
    To.Ownership_.SlotGrace_ = Timing.SlotGrace_;
    return To;
  }

  cell::DomainStreamHooks streamHooks() {
    cell::DomainStreamHooks To;
    To.OnChange_ = [this](const jobs::Change &What) { Controller_.onChange(What); };
    To.OnAcquired_ = [this](std::uint64_t Term, TimePoint SlotsFreeAt) {
      core::count("masticdrift_takeovers_total");
      core::log(core::LogLevel::Info, "lease acquired",
                {{"domain", Settings_.Instance_.Domain_}, {"term", std::to_string(Term)}});
      Dispatcher_.acquired(SlotsFreeAt);
      Controller_.acquired(Term);
      Timers_.post([this] { rebuildViews(); });
    };
    To.OnLost_ = [this](std::uint64_t Term) {
      core::log(core::LogLevel::Warning, "lease lost",
                {{"domain", Settings_.Instance_.Domain_}, {"term", std::to_string(Term)}});
      Dispatcher_.lost();
      Controller_.lost();
      Timers_.post([this] { rebuildViews(); });
    };
    To.AskConsent_ = [this](const std::string &Member, const protocol::ConsentRequest &Request,
                            auto Done) {
      Link_.call(Member, MessageKind::ConsentRequest, core::pack(Request), ConsentTimeout,
                 [Done = std::move(Done)](std::error_code Error, const protocol::Envelope &Reply) {
                   Done(Error ? std::nullopt : core::unpack<protocol::Consent>(Reply.Body_));
                 });
    };
    To.MissedFor_ = [this](const std::string &Member, TimePoint Now) {
      return Table_.missedFor(Member, Now);
    };
    To.StoreAge_ = [this](const std::string &Member, TimePoint Now) {
      return Table_.storeAge(Member, Now);
    };
    To.IsGone_ = [this](const std::string &Member) { return isGone(Member); };
    return To;
  }

  bool isGone(const std::string &Member) const {
    const auto List = Instances_.current();
    if (!List || core::Clock::now() - List->SentAt_ > ListTrusted)
      return false;
    return std::ranges::none_of(List->Instances_,
                                [&](const legacy::Instance &One) { return One.Name_ == Member; });
  }

  cell::ControllerOptions controllerOptions() const {
    cell::ControllerOptions To;
    To.Instance_ = Settings_.Instance_.Name_;
    To.Domain_ = Settings_.Instance_.Domain_;
    To.Lease_ = leaseTiming(Settings_.Timing_);
    To.QuarantineProbe_ = Settings_.Timing_.QuarantineProbe_;
    return To;
  }

  cell::ControllerHooks controllerHooks() {
    cell::ControllerHooks To;
    To.HoldsLease_ = [this](TimePoint Now) { return Stream_.ownership().holds(Now); };
    To.Append_ = [this](auto Entries, auto Done) {
      Stream_.append(std::move(Entries), std::move(Done));
    };
    return To;
  }

  routing::DispatcherOptions dispatcherOptions() const {
    routing::DispatcherOptions To;
    To.SlotsPerExecutor_ = static_cast<std::uint32_t>(Settings_.Limits_.SlotsPerExecutor_);
    To.ConnectionsPerExecutor_ =
        static_cast<std::uint32_t>(Settings_.Limits_.ConnectionsPerExecutor_);
    To.QueuePerTeam_ = static_cast<std::size_t>(Settings_.Limits_.QueuePerTeam_);
    To.RetryPercent_ = Settings_.Limits_.RetryPercent_;
    To.SlotGrace_ = Settings_.Timing_.SlotGrace_;
    To.EjectFor_ = Settings_.Timing_.EjectExecutor_;
    To.IdleConnection_ = std::chrono::ceil<std::chrono::seconds>(Settings_.Timing_.IdleConnection_);
    To.ConnectionLife_ = std::chrono::ceil<std::chrono::seconds>(Settings_.Timing_.ConnectionLife_);
    return To;
  }

  routing::RouterOptions routerOptions() const {
    return {Settings_.Instance_.Name_, Settings_.Instance_.Domain_, Settings_.Instance_.Region_,
            Settings_.Limits_.RetryPercent_, Settings_.Timing_.SlotGrace_};
  }

  cell::JobServiceOptions jobOptions() const {
    return {Settings_.Instance_.Name_, Settings_.Instance_.Domain_, Incarnation_,
            Settings_.Timing_.BatchClose_,
            static_cast<double>(Settings_.Limits_.AppendsPerSecond_)};
  }

  membership::HeartbeatOptions heartbeatOptions() const {
    membership::HeartbeatOptions To;
    To.Self_ = Settings_.Instance_.Name_;
    To.Domain_ = Settings_.Instance_.Domain_;
    To.OwnDomainEvery_ = Settings_.Timing_.ProbeOwnDomain_;
    To.OtherDomainEvery_ = Settings_.Timing_.ProbeOtherDomain_;
    return To;
  }

  membership::HeartbeatHooks heartbeatHooks() {
    membership::HeartbeatHooks To;
    To.FillProbe_ = [this](const membership::Member &Target, protocol::Probe &Message) {
      if (Target.Domain_ == Settings_.Instance_.Domain_)
        Stream_.ownership().fillProbe(Message, core::Clock::now());
    };
    To.FillReply_ = [this](const protocol::Envelope &From, const protocol::Probe &Message,
                           protocol::ProbeReply &Reply) { fillReply(From, Message, Reply); };
    To.OnReply_ = [this](const membership::Member &From, std::uint64_t Incarnation, TimePoint Sent,
                         const protocol::ProbeReply &Reply) {
      Config_.onProbeReply(Sent, Reply);
      if (From.Domain_ == Settings_.Instance_.Domain_)
        Stream_.ownership().onProbeReply(From.Name_, Incarnation, Sent, Reply);
    };
    return To;
  }

  void fillReply(const protocol::Envelope &From, const protocol::Probe &Message,
                 protocol::ProbeReply &Reply) {
    const TimePoint Now = core::Clock::now();
    Config_.fillProbeReply(Reply, Now);
    Stream_.ownership().fillReply(From.Sender_, From.Incarnation_, Message, Reply, Now);
    if (Stream_.ownership().holds(Now)) {
      Reply.FreeSlots_ = Dispatcher_.stats().FreeSlots_;
      Reply.Free_ = Controller_.stats().Free_;
      return;
    }
    // A representative that is not the owner passes on what it heard from the owner.
    if (const auto Owner = Table_.find(Reply.Owner_)) {
      Reply.FreeSlots_ = Owner->FreeSlots_;
      Reply.Free_ = Owner->Free_;
    }
  }

  legacy::InstanceListOptions listOptions() const {
    legacy::InstanceListOptions To;
    To.Url_ = Settings_.Platform_.InstancesUrl_ + "/instances";
    To.Interval_ = Settings_.Timing_.PollInstances_;
    To.Timeout_ = Settings_.Timing_.StoreTimeout_;
    return To;
  }

  gateway::CallerApiOptions callerOptions() const {
    return {Settings_.Timing_.DefaultDeadline_, Settings_.Limits_.MaxDeadline_,
            Settings_.Timing_.ConfigurationFresh_};
  }

  gateway::OperatorApiHooks operatorHooks() {
    gateway::OperatorApiHooks To;
    To.Status_ = [this] { return statusText(); };
    To.Offsets_ = [this] { return offsets(); };
    To.Drain_ = Drain_;
    return To;
  }

  http::ServerOptions callerServerOptions() const {
    http::ServerOptions To;
    To.Address_ = Settings_.Caller_.Address_;
    To.Port_ = Settings_.Caller_.Port_;
    To.Threads_ = static_cast<unsigned>(Settings_.Caller_.Threads_);
    To.MaxBody_ = static_cast<std::size_t>(Settings_.Caller_.MaxBodyBytes_);
    To.ReadTimeout_ = Settings_.Caller_.ReadTimeout_;
    return To;
  }

  http::ServerOptions operatorServerOptions() const {
    http::ServerOptions To;
    To.Address_ = Settings_.Operator_.Address_;
    To.Port_ = Settings_.Operator_.Port_;
    To.Threads_ = 1;
    To.ReadTimeout_ = Settings_.Caller_.ReadTimeout_;
    return To;
  }

  // --- Messages of other daemons ---

  void onMessage(const protocol::Envelope &Message) {
    if (!Ready_)
      return;
    switch (static_cast<MessageKind>(Message.Kind_)) {
    case MessageKind::Probe:
      return Heartbeat_.onProbe(Message);
    case MessageKind::Forward:
      return Router_.onForward(Message);
    case MessageKind::Notice:
      return onNotice(Message);
    case MessageKind::JobQuery:
      return Jobs_.onQuery(Message);
    case MessageKind::StatusQuery:
      Link_.reply(Message, MessageKind::StatusReply,
                  core::pack(protocol::StatusReply{0, statusText()}));
      return;
    case MessageKind::ConfigFetch:
      if (const auto Request = core::unpack<protocol::ConfigFetch>(Message.Body_))
        Link_.reply(Message, MessageKind::ConfigCopy, core::pack(Config_.copyForPeer(*Request)));
      return;
    case MessageKind::Pending:
      if (const auto Body = core::unpack<protocol::Pending>(Message.Body_))
        Config_.onPending(*Body);
      return;
    case MessageKind::ConsentRequest:
      if (const auto Request = core::unpack<protocol::ConsentRequest>(Message.Body_))
        Link_.reply(Message, MessageKind::Consent,
                    core::pack(Stream_.ownership().onConsentRequest(*Request, core::Clock::now())));
      return;
    default:
      return;
    }
  }

  void onNotice(const protocol::Envelope &Message) {
    const auto Body = core::unpack<protocol::Notice>(Message.Body_);
    if (Body && Body->Stream_ == cell::streamOf(Settings_.Instance_.Domain_))
      Stream_.readNow();
    else if (Body && Body->Stream_ == "config")
      Config_.readNow();
  }

  // --- Changes of instances and configuration ---

  void applyInstances() {
    const auto List = Instances_.current();
    if (!List)
      return;
    std::vector<membership::Member> Members;
    std::vector<legacy::Instance> Executors;
    std::vector<legacy::Instance> Workers;
    for (const legacy::Instance &One : List->Instances_) {
      const bool Own = One.Domain_ == Settings_.Instance_.Domain_;
      if (One.Kind_ == legacy::InstanceKind::Entry)
        Members.push_back({One.Name_, One.Domain_, One.Region_, routeOf(One)});
      else if (Own && One.Kind_ == legacy::InstanceKind::Executor)
        Executors.push_back(One);
      else if (Own && One.Kind_ == legacy::InstanceKind::Worker)
        Workers.push_back(One);
    }
    Heartbeat_.setMembers(Members);
    Dispatcher_.setExecutors(Executors);
    Controller_.setWorkers(std::move(Workers));
  }

  std::string routeOf(const legacy::Instance &Peer) const {
    const auto Found = Settings_.Routes_.find(Peer.Name_);
    return Found == Settings_.Routes_.end() ? Peer.Address_ : Found->second;
  }

  void applyTeams() {
    const auto Current = Config_.state().current();
    std::vector<routing::TeamSlots> Slots;
    std::vector<cell::TeamQuota> Quotas;
    for (const config::Team &One : Current->Teams_) {
      const config::Limit Part = Config_.state().allotment(One.Name_, Settings_.Instance_.Domain_);
      Slots.push_back({One.Name_, static_cast<double>(One.Share_), Part.Slots_});
      Quotas.push_back({One.Name_, static_cast<double>(One.Share_), Part.Resources_});
    }
    Dispatcher_.setTeams(Slots);
    Controller_.setTeams(std::move(Quotas));
  }

  void reconcileServices() {
    const TimePoint Now = core::Clock::now();
    const auto ReadAt = Stream_.completeAsOf();
    if (!Stream_.ownership().holds(Now) || !Config_.loaded() || ServicesInFlight_ || !ReadAt ||
        Now - *ReadAt > Settings_.Timing_.StoreReachable_)
      return;
    const auto Current = Config_.state().current();
    std::vector<jobs::Job> Existing;
    for (jobs::Job &One : Stream_.jobs().list())
      if (One.Spec_->Kind_ == jobs::JobKind::Service)
        Existing.push_back(std::move(One));
    cell::ServicePlan Plan =
        cell::planServices(*Current, Settings_.Instance_.Domain_, Existing,
                           [this](const config::Service &One) { return runsElsewhere(One); });
    std::vector<journal::Entry> Records;
    for (const std::string &Id : Plan.Cancel_)
      Records.push_back(jobs::toEntry(jobs::Cancel{Id, "configuration"}));
    for (jobs::JobSpec &Spec : Plan.Accept_)
      Records.push_back(jobs::toEntry(jobs::Accept{std::move(Spec)}));
    if (Records.empty())
      return;
    ServicesInFlight_ = true;
    Stream_.append(std::move(Records),
                   [this](std::error_code, std::uint64_t) { ServicesInFlight_ = false; });
  }

  /// Whether a service that has no replica in this domain runs in another one; asked again every
  /// few rounds.
  bool runsElsewhere(const config::Service &Service) {
    const auto Current = Config_.state().current();
    const std::string Domain(cell::domainOfReplica(*Current, Service, 0));
    const std::string Id = Domain + "/" + Service.Team_ + "/" + std::string(cell::ServicePrefix) +
                           Service.Name_ + ".0.";
    Jobs_.list(
        Service.Team_, std::span(&Domain, 1),
        [this, Id, Name = Service.Name_](const core::Failure &Error, const std::string &Text) {
          const auto Answer =
              Error ? nlohmann::json() : nlohmann::json::parse(Text, nullptr, false);
          bool Runs = false;
          if (Answer.is_object())
            for (const auto &Row : Answer.at("jobs"))
              Runs = Runs ||
                     (Row.value("id", "").starts_with(Id) && Row.value("state", "") == "running");
          Timers_.post([this, Name, Runs] { Elsewhere_[Name] = Runs; });
        });
    return Elsewhere_[Service.Name_];
  }

  // --- Views ---

  std::vector<routing::DomainView> domainViews() const {
    const std::lock_guard Lock(ViewMutex_);
    return Views_;
  }

  void rebuildViews() {
    const TimePoint Now = core::Clock::now();
    const auto Remote = Table_.domains();
    std::vector<routing::DomainView> Views;
    for (const settings::FleetDomain &One : Settings_.Fleet_.Domains_) {
      routing::DomainView View;
      View.Name_ = One.Name_;
      View.Region_ = One.Region_;
      if (One.Name_ == Settings_.Instance_.Domain_)
        fillOwnView(View, Now);
      else if (const auto Found = Remote.find(One.Name_); Found != Remote.end()) {
        View.Owner_ = Found->second.Owner_;
        View.FreeSlots_ = Found->second.FreeSlots_;
        View.Reachable_ = Now - Found->second.AsOf_ < ReachableFor;
      }
      Views.push_back(std::move(View));
    }
    const std::lock_guard Lock(ViewMutex_);
    Views_ = std::move(Views);
  }

  void fillOwnView(routing::DomainView &View, TimePoint Now) const {
    if (Stream_.ownership().holds(Now)) {
      const routing::DispatcherStats Stats = Dispatcher_.stats();
      View.Owner_ = Settings_.Instance_.Name_;
      View.FreeSlots_ = Stats.FreeSlots_;
      View.Queued_ = Stats.Waiting_;
      View.Reachable_ = true;
      return;
    }
    const auto Owner = Table_.owner(View.Name_);
    const auto Peer = Owner ? Table_.find(Owner->Owner_) : std::nullopt;
    if (!Peer)
      return;
    View.Owner_ = Owner->Owner_;
    View.FreeSlots_ = Peer->FreeSlots_;
    View.Reachable_ = Peer->LastReplySent_ && Now - *Peer->LastReplySent_ < ReachableFor;
  }

  std::vector<gateway::InstanceOffset> offsets() const {
    const TimePoint Now = core::Clock::now();
    std::map<std::string, gateway::InstanceOffset> All;
    All[Settings_.Instance_.Name_] = {Settings_.Instance_.Name_, Config_.offset(), true};
    for (const membership::Peer &One : Table_.peers()) {
      gateway::InstanceOffset &Entry = All[One.Member_.Name_];
      Entry.Name_ = One.Member_.Name_;
      if (One.LastReplySent_ && Now - *One.LastReplySent_ < ReachableFor)
        Entry = {Entry.Name_, std::max(Entry.ConfigOffset_, One.ConfigOffset_), true};
    }
    for (const auto &[Domain, View] : Table_.domains())
      for (const protocol::MemberSummary &One : View.Members_) {
        gateway::InstanceOffset &Entry = All[One.Name_];
        Entry.Name_ = One.Name_;
        if (Now - View.AsOf_ + core::Millis(One.AgeMs_) < ReachableFor)
          Entry = {Entry.Name_, std::max(Entry.ConfigOffset_, One.ConfigOffset_), true};
      }
    std::vector<gateway::InstanceOffset> List;
    List.reserve(All.size());
    for (auto &[Name, Entry] : All)
      List.push_back(std::move(Entry));
    return List;
  }

  std::string statusText() const {
    const TimePoint Now = core::Clock::now();
    const ownership::ClaimState Claims = Stream_.ownership().state();
    const cell::ControllerStats Cell = Controller_.stats();
    const routing::DispatcherStats Slots = Dispatcher_.stats();
    const auto Age = Config_.age(Now);
    nlohmann::ordered_json To{{"instance", Settings_.Instance_.Name_},
                              {"domain", Settings_.Instance_.Domain_},
                              {"region", Settings_.Instance_.Region_},
                              {"version", MASTICDRIFT_VERSION},
                              {"config_version", Config_.state().version()},
                              {"config_fresh", Config_.fresh(Now)},
                              {"config_age_ms", Age ? nlohmann::ordered_json(core::toMillis(*Age))
                                                    : nlohmann::ordered_json()},
                              {"owner", Claims.Owner_},
                              {"term", Claims.Term_},
                              {"is_owner", Stream_.ownership().holds(Now)},
                              {"reachable_domains", Router_.reachableDomains()},
                              {"free_slots", Slots.FreeSlots_},
                              {"requests_waiting", Slots.Waiting_},
                              {"requests_in_flight", Slots.InFlight_},
                              {"workers", Cell.Workers_},
                              {"usable_workers", Cell.UsableWorkers_},
                              {"tasks_running", Cell.Running_},
                              {"tasks_waiting", Cell.Waiting_}};
    nlohmann::ordered_json Jobs = nlohmann::ordered_json::object();
    for (const auto &[State, Number] : Stream_.jobs().counts())
      Jobs[std::string(jobs::nameOf(State))] = Number;
    To["jobs"] = std::move(Jobs);
    return To.dump();
  }

  void publishMetrics() {
    const TimePoint Now = core::Clock::now();
    const bool Holds = Stream_.ownership().holds(Now);
    const routing::DispatcherStats Stats = Dispatcher_.stats();
    core::setGauge("masticdrift_owner", Holds ? 1 : 0);
    core::setGauge(
        "masticdrift_lease_seconds",
        Holds ? std::chrono::duration<double>(Stream_.ownership().leaseUntil() - Now).count() : 0);
    core::setGauge("masticdrift_slots_in_use", static_cast<double>(Stats.InFlight_));
    core::setGauge("masticdrift_queue_length", static_cast<double>(Stats.Waiting_));
    for (const auto &[State, Number] : Stream_.jobs().counts())
      core::setGauge("masticdrift_jobs", static_cast<double>(Number),
                     {{"state", std::string(jobs::nameOf(State))}});
  }

  // --- Graceful stop ---

  bool stop(const std::function<bool()> &Forced) {
    const TimePoint End = core::Clock::now() + Settings_.Timing_.StopGrace_;
    core::log(core::LogLevel::Info, "stopping");
    Callers_.announceStop();
    Stream_.ownership().beginStop();
    waitUntil(core::Clock::now() + AnnounceStop, Forced, [] { return false; });
    Callers_.refuseNew();
    Router_.refuseForwards();
    const bool Idle = waitUntil(End, Forced, [this] {
      return Callers_.inFlight() == 0 && Router_.inFlight() == 0 &&
             Dispatcher_.stats().InFlight_ == 0;
    });
    Controller_.lost();
    const bool Written = waitUntil(End, Forced, [this] { return Stream_.idle(); });
    Stream_.ownership().finishStop(core::Clock::now());
    const bool Left = waitUntil(std::min(End, core::Clock::now() + ReleaseLimit), Forced,
                                [this] { return Stream_.ownership().left(); });
    core::log(core::LogLevel::Info, "stopped",
              {{"idle", Idle ? "true" : "false"}, {"left", Left ? "true" : "false"}});
    return Idle && Written;
  }

  template <typename Predicate>
  static bool waitUntil(TimePoint End, const std::function<bool()> &Forced, Predicate Done) {
    while (!Done()) {
      if (core::Clock::now() >= End || Forced())
        return false;
      std::this_thread::sleep_for(StopPoll);
    }
    return true;
  }

  const settings::Settings Settings_;
  const std::function<void()> Drain_;
  const std::uint64_t Incarnation_;
  std::atomic<bool> Ready_{false};
  core::Timers Timers_;
  core::Timers CellTimers_;
  protocol::Link Link_;
  http::Client Http_;
  http::Client WorkerHttp_;
  legacy::LogClient Log_;
  legacy::WorkerClient Workers_;
  membership::PeerTable Table_;
  replica::ConfigReplica Config_;
  cell::DomainStream Stream_;
  cell::Controller Controller_;
  routing::Dispatcher Dispatcher_;
  routing::Router Router_;
  cell::JobService Jobs_;
  membership::Heartbeat Heartbeat_;
  legacy::InstanceList Instances_;
  gateway::CallerApi Callers_;
  gateway::OperatorApi Operators_;
  std::unique_ptr<http::Server> CallerServer_;
  std::unique_ptr<http::Server> OperatorServer_;
  mutable std::mutex ViewMutex_;
  std::vector<routing::DomainView> Views_;
  // Only the timer thread uses the members below.
  std::map<std::string, bool>
      Elsewhere_; ///< services without a replica here that run in another domain
  std::atomic<bool> ServicesInFlight_{false};
};

Daemon::Daemon(settings::Settings Settings, std::function<void()> Drain)
    : Impl_(std::make_unique<Impl>(std::move(Settings), std::move(Drain))) {}

Daemon::~Daemon() = default;

Ports Daemon::ports() const {
  return {Impl_->CallerServer_->port(), Impl_->OperatorServer_->port(), Impl_->Link_.port()};
}

bool Daemon::stop(const std::function<bool()> &Forced) { return Impl_->stop(Forced); }

} // namespace masticdrift::daemon
