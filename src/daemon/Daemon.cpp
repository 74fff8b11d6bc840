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

/// Interval at which the routing view of the domains is rebuilt.
constexpr core::Millis ViewInterval{50};
/// Interval at which the service jobs are compared with the configuration.
constexpr core::Millis ServiceInterval{500};
constexpr core::Millis MetricsInterval{1'000};
/// A peer that answered a probe within this time counts as reachable.
constexpr core::Millis ReachabilityTimeout{4'000};
/// Time for the load balancer to notice that readiness fails; requests are still served.
constexpr core::Millis StopAnnouncementTime{1'000};
constexpr core::Millis StopPollInterval{10};
/// Time for reading the release of the lease back from the log.
constexpr core::Millis LeaseReleaseTimeout{5'000};
constexpr core::Millis ConsentTimeout{1'000};
/// A missing instance counts as terminated only if the list is at most this old.
constexpr core::Millis MaxInstanceListAge{5'000};

/// Increases with every start of the instance, because the clocks of the platform's instances are
/// never set back by more than a start takes.
std::uint64_t newIncarnation() { return static_cast<std::uint64_t>(core::wallMillis()); }

cell::WorkerLeaseTiming leaseTiming(const settings::Timing &Timing) {
  cell::WorkerLeaseTiming LeaseTiming;
  LeaseTiming.Ttl_ = Timing.WorkerLease_;
  LeaseTiming.RenewInterval_ = Timing.WorkerRenew_;
  LeaseTiming.RequestTimeout_ = Timing.WorkerTimeout_;
  LeaseTiming.SafetyMargin_ = Timing.LeaseMargin_;
  return LeaseTiming;
}

} // namespace

struct Daemon::Impl {
  Impl(settings::Settings Settings, std::function<void()> OnDrain)
      : Settings_(std::move(Settings)), OnDrain_(std::move(OnDrain)),
        Incarnation_(newIncarnation()),
        Link_(linkOptions(), [this](const protocol::Envelope &Message) { onMessage(Message); }),
        PlatformHttp_(0, std::chrono::seconds(10)), WorkerHttp_(0, std::chrono::seconds(30)),
        LogClient_(PlatformHttp_, logOptions()),
        WorkerClient_(WorkerHttp_, Settings_.Timing_.WorkerTimeout_),
        PeerTable_(Settings_.Instance_.Name_, Settings_.Instance_.Domain_),
        Config_(configOptions(), configHooks(), LogClient_, Timers_, Link_, PeerTable_),
        Stream_(streamOptions(), streamHooks(), LogClient_, Timers_),
        Controller_(controllerOptions(), controllerHooks(), CellTimers_, WorkerClient_,
                    Stream_.jobs()),
        Dispatcher_(dispatcherOptions(), Timers_,
                    [this](TimePoint Now) { return Stream_.ownership().holds(Now); }),
        Router_(routerOptions(), Link_, Dispatcher_, [this] { return domainViews(); }),
        JobService_(jobServiceOptions(), Stream_, Controller_, LogClient_, Timers_, Link_,
                    PeerTable_),
        Heartbeat_(heartbeatOptions(), heartbeatHooks(), Timers_, Link_, PeerTable_),
        InstanceList_(PlatformHttp_, Timers_, instanceListOptions(),
                      [this] { Timers_.post([this] { applyInstances(); }); }),
        CallerApi_(callerOptions(), Config_, Router_, JobService_, InstanceList_),
        OperatorApi_(Settings_.Operator_.KeyHashes_,
                     static_cast<std::size_t>(Settings_.Fleet_.EntryInstances_), Config_,
                     operatorHooks()) {
    AcceptsMessages_ = true;
    Config_.start();
    Stream_.start();
    Controller_.start();
    Heartbeat_.start();
    InstanceList_.start();
    Timers_.every(ViewInterval, [this] { rebuildViews(); });
    Timers_.every(ServiceInterval, [this] { reconcileServices(); });
    Timers_.every(MetricsInterval, [this] { publishMetrics(); });
    CallerServer_ =
        std::make_unique<http::Server>(callerServerOptions(), [this](auto Incoming, auto Respond) {
          CallerApi_.handle(std::move(Incoming), std::move(Respond));
        });
    OperatorServer_ = std::make_unique<http::Server>(
        operatorServerOptions(), [this](auto Incoming, auto Respond) {
          OperatorApi_.handle(std::move(Incoming), std::move(Respond));
        });
  }

  ~Impl() {
    CallerServer_.reset();
    OperatorServer_.reset();
    AcceptsMessages_ = false;
    Link_.stop();
    InstanceList_.stop();
    Config_.stop();
    Stream_.stop();
    CellTimers_.stop();
    Timers_.stop();
  }

  // --- Options ---

  protocol::LinkOptions linkOptions() const {
    protocol::LinkOptions Options;
    Options.Name_ = Settings_.Instance_.Name_;
    Options.Incarnation_ = Incarnation_;
    Options.ListenAddress_ = Settings_.Peer_.Address_ + ":" + std::to_string(Settings_.Peer_.Port_);
    return Options;
  }

  legacy::LogClientOptions logOptions() const {
    legacy::LogClientOptions Options;
    Options.BaseUrl_ = Settings_.Platform_.LogUrl_;
    Options.ReadTimeout_ = Settings_.Timing_.StoreTimeout_;
    return Options;
  }

  replica::ConfigReplicaOptions configOptions() const {
    replica::ConfigReplicaOptions Options;
    Options.InstanceName_ = Settings_.Instance_.Name_;
    Options.Incarnation_ = Incarnation_;
    Options.FleetSize_ = static_cast<std::size_t>(Settings_.Fleet_.EntryInstances_);
    Options.FreshnessBound_ = Settings_.Timing_.ConfigurationFresh_;
    Options.MaxStoreAge_ = Settings_.Timing_.StoreReachable_;
    Options.PollInterval_ = Settings_.Timing_.PollStream_;
    Options.BatchWindow_ = Settings_.Timing_.BatchClose_;
    Options.AppendsPerSecond_ = static_cast<double>(Settings_.Limits_.AppendsPerSecond_);
    Options.LogRetention_ = Settings_.Timing_.StoreRetention_;
    return Options;
  }

  replica::ConfigReplicaHooks configHooks() {
    replica::ConfigReplicaHooks Hooks;
    Hooks.OnChange_ = [this] { applyTeams(); };
    Hooks.WritesSnapshots_ = [this] { return writesConfigSnapshots(); };
    Hooks.Members_ = [this] {
      std::set<std::string> Names;
      for (const auto &[Name, Member] : Stream_.ownership().state().Members_)
        Names.insert(Name);
      return Names;
    };
    return Hooks;
  }

  bool writesConfigSnapshots() const {
    std::string FirstDomain = Settings_.Fleet_.Domains_.front().Name_;
    for (const settings::FleetDomain &Domain : Settings_.Fleet_.Domains_)
      FirstDomain = std::min(FirstDomain, Domain.Name_);
    return FirstDomain == Settings_.Instance_.Domain_ &&
           Stream_.ownership().holds(core::Clock::now());
  }

  cell::DomainStreamOptions streamOptions() const {
    cell::DomainStreamOptions Options;
    const settings::Timing &Timing = Settings_.Timing_;
    Options.Stream_ = cell::domainStreamName(Settings_.Instance_.Domain_);
    Options.PollInterval_ = Timing.PollStream_;
    Options.BatchCloseDelay_ = Timing.BatchClose_;
    Options.AppendsPerSecond_ = static_cast<double>(Settings_.Limits_.AppendsPerSecond_);
    Options.Retention_ = Timing.StoreRetention_;
    Options.Ownership_.Instance_ = Settings_.Instance_.Name_;
    Options.Ownership_.Incarnation_ = Incarnation_;
    Options.Ownership_.Address_ = Settings_.Peer_.Address_ + ":" + std::to_string(Link_.port());
    Options.Ownership_.LeaseDuration_ = Timing.OwnerLease_;
    Options.Ownership_.SafetyMargin_ = Timing.LeaseMargin_;
    Options.Ownership_.RenewInterval_ = Timing.OwnerRenew_;
    Options.Ownership_.YieldAfter_ = Timing.StoreGiveUp_;
    Options.Ownership_.MaxYieldTargetReadAge_ = Timing.StoreReachable_;
    Options.Ownership_.EvictAfter_ = Timing.EvictMember_;
    Options.Ownership_.MaxRequestDeadline_ = Settings_.Limits_.MaxDeadline_;
    Options.Ownership_.SlotGrace_ = Timing.SlotGrace_;
    return Options;
  }

  cell::DomainStreamHooks streamHooks() {
    cell::DomainStreamHooks Hooks;
    Hooks.OnChange_ = [this](const jobs::Change &Change) { Controller_.onChange(Change); };
    Hooks.OnAcquired_ = [this](std::uint64_t Term, TimePoint SlotsFreeAt) {
      core::count("masticdrift_takeovers_total");
      core::log(core::LogLevel::Info, "lease acquired",
                {{"domain", Settings_.Instance_.Domain_}, {"term", std::to_string(Term)}});
      Dispatcher_.onLeaseAcquired(SlotsFreeAt);
      Controller_.onLeaseAcquired(Term);
      Timers_.post([this] { rebuildViews(); });
    };
    Hooks.OnLost_ = [this](std::uint64_t Term) {
      core::log(core::LogLevel::Warning, "lease lost",
                {{"domain", Settings_.Instance_.Domain_}, {"term", std::to_string(Term)}});
      Dispatcher_.onLeaseLost();
      Controller_.onLeaseLost();
      Timers_.post([this] { rebuildViews(); });
    };
    Hooks.RequestConsent_ = [this](const std::string &Member,
                                   const protocol::ConsentRequest &Request, auto OnDone) {
      Link_.call(
          Member, MessageKind::ConsentRequest, core::pack(Request), ConsentTimeout,
          [OnDone = std::move(OnDone)](std::error_code Error, const protocol::Envelope &Reply) {
            OnDone(Error ? std::nullopt : core::unpack<protocol::Consent>(Reply.Body_));
          });
    };
    Hooks.TimeSinceReply_ = [this](const std::string &Member, TimePoint Now) {
      return PeerTable_.timeSinceReply(Member, Now);
    };
    Hooks.StoreReadAge_ = [this](const std::string &Member, TimePoint Now) {
      return PeerTable_.storeAge(Member, Now);
    };
    Hooks.IsTerminated_ = [this](const std::string &Member) { return hasTerminated(Member); };
    return Hooks;
  }

  bool hasTerminated(const std::string &Member) const {
    const auto List = InstanceList_.current();
    if (!List || core::Clock::now() - List->SentAt_ > MaxInstanceListAge)
      return false;
    return std::ranges::none_of(List->Instances_, [&](const legacy::Instance &Instance) {
      return Instance.Name_ == Member;
    });
  }

  cell::ControllerOptions controllerOptions() const {
    cell::ControllerOptions Options;
    Options.Instance_ = Settings_.Instance_.Name_;
    Options.Domain_ = Settings_.Instance_.Domain_;
    Options.LeaseTiming_ = leaseTiming(Settings_.Timing_);
    Options.FirstProbeDelay_ = Settings_.Timing_.QuarantineProbe_;
    return Options;
  }

  cell::ControllerHooks controllerHooks() {
    cell::ControllerHooks Hooks;
    Hooks.HoldsLease_ = [this](TimePoint Now) { return Stream_.ownership().holds(Now); };
    Hooks.Append_ = [this](auto Entries, auto OnDone) {
      Stream_.append(std::move(Entries), std::move(OnDone));
    };
    return Hooks;
  }

  routing::DispatcherOptions dispatcherOptions() const {
    routing::DispatcherOptions Options;
    Options.SlotsPerExecutor_ = static_cast<std::uint32_t>(Settings_.Limits_.SlotsPerExecutor_);
    Options.ConnectionsPerExecutor_ =
        static_cast<std::uint32_t>(Settings_.Limits_.ConnectionsPerExecutor_);
    Options.MaxQueuedPerTeam_ = static_cast<std::size_t>(Settings_.Limits_.QueuePerTeam_);
    Options.RetryPercent_ = Settings_.Limits_.RetryPercent_;
    Options.SlotGrace_ = Settings_.Timing_.SlotGrace_;
    Options.EjectionPeriod_ = Settings_.Timing_.EjectExecutor_;
    Options.IdleConnectionTimeout_ =
        std::chrono::ceil<std::chrono::seconds>(Settings_.Timing_.IdleConnection_);
    Options.MaxConnectionAge_ =
        std::chrono::ceil<std::chrono::seconds>(Settings_.Timing_.ConnectionLife_);
    return Options;
  }

  routing::RouterOptions routerOptions() const {
    return {Settings_.Instance_.Name_, Settings_.Instance_.Domain_, Settings_.Instance_.Region_,
            Settings_.Limits_.RetryPercent_, Settings_.Timing_.SlotGrace_};
  }

  cell::JobServiceOptions jobServiceOptions() const {
    return {Settings_.Instance_.Name_, Settings_.Instance_.Domain_, Incarnation_,
            Settings_.Timing_.BatchClose_,
            static_cast<double>(Settings_.Limits_.AppendsPerSecond_)};
  }

  membership::HeartbeatOptions heartbeatOptions() const {
    membership::HeartbeatOptions Options;
    Options.InstanceName_ = Settings_.Instance_.Name_;
    Options.Domain_ = Settings_.Instance_.Domain_;
    Options.OwnDomainInterval_ = Settings_.Timing_.ProbeOwnDomain_;
    Options.OtherDomainInterval_ = Settings_.Timing_.ProbeOtherDomain_;
    return Options;
  }

  membership::HeartbeatHooks heartbeatHooks() {
    membership::HeartbeatHooks Hooks;
    Hooks.FillProbe_ = [this](const membership::Member &Target, protocol::Probe &Message) {
      if (Target.Domain_ == Settings_.Instance_.Domain_)
        Stream_.ownership().fillProbe(Message, core::Clock::now());
    };
    Hooks.FillReply_ = [this](const protocol::Envelope &Sender, const protocol::Probe &Message,
                              protocol::ProbeReply &Reply) { fillReply(Sender, Message, Reply); };
    Hooks.OnReply_ = [this](const membership::Member &Sender, std::uint64_t Incarnation,
                            TimePoint Sent, const protocol::ProbeReply &Reply) {
      Config_.onProbeReply(Sent, Reply);
      if (Sender.Domain_ == Settings_.Instance_.Domain_)
        Stream_.ownership().onProbeReply(Sender.Name_, Incarnation, Sent, Reply);
    };
    return Hooks;
  }

  void fillReply(const protocol::Envelope &Sender, const protocol::Probe &Message,
                 protocol::ProbeReply &Reply) {
    const TimePoint Now = core::Clock::now();
    Config_.fillProbeReply(Reply, Now);
    Stream_.ownership().fillReply(Sender.Sender_, Sender.Incarnation_, Message, Reply, Now);
    if (Stream_.ownership().holds(Now)) {
      Reply.FreeSlots_ = Dispatcher_.stats().FreeSlots_;
      Reply.Free_ = Controller_.stats().FreeResources_;
      return;
    }
    // A representative that is not the owner reports the last values that the owner sent to it.
    if (const auto Owner = PeerTable_.find(Reply.Owner_)) {
      Reply.FreeSlots_ = Owner->FreeSlots_;
      Reply.Free_ = Owner->Free_;
    }
  }

  legacy::InstanceListOptions instanceListOptions() const {
    legacy::InstanceListOptions Options;
    Options.Url_ = Settings_.Platform_.InstancesUrl_ + "/instances";
    Options.Interval_ = Settings_.Timing_.PollInstances_;
    Options.Timeout_ = Settings_.Timing_.StoreTimeout_;
    return Options;
  }

  gateway::CallerApiOptions callerOptions() const {
    return {Settings_.Timing_.DefaultDeadline_, Settings_.Limits_.MaxDeadline_,
            Settings_.Timing_.ConfigurationFresh_};
  }

  gateway::OperatorApiHooks operatorHooks() {
    gateway::OperatorApiHooks Hooks;
    Hooks.StatusJson_ = [this] { return statusJson(); };
    Hooks.ConfigOffsets_ = [this] { return offsets(); };
    Hooks.Drain_ = OnDrain_;
    return Hooks;
  }

  http::ServerOptions callerServerOptions() const {
    http::ServerOptions Options;
    Options.Address_ = Settings_.Caller_.Address_;
    Options.Port_ = Settings_.Caller_.Port_;
    Options.ThreadCount_ = static_cast<unsigned>(Settings_.Caller_.Threads_);
    Options.MaxBodyBytes_ = static_cast<std::size_t>(Settings_.Caller_.MaxBodyBytes_);
    Options.ReadTimeout_ = Settings_.Caller_.ReadTimeout_;
    return Options;
  }

  http::ServerOptions operatorServerOptions() const {
    http::ServerOptions Options;
    Options.Address_ = Settings_.Operator_.Address_;
    Options.Port_ = Settings_.Operator_.Port_;
    Options.ThreadCount_ = 1;
    Options.ReadTimeout_ = Settings_.Caller_.ReadTimeout_;
    return Options;
  }

  // --- Messages from other daemons ---

  void onMessage(const protocol::Envelope &Message) {
    if (!AcceptsMessages_)
      return;
    switch (static_cast<MessageKind>(Message.Kind_)) {
    case MessageKind::Probe:
      return Heartbeat_.onProbe(Message);
    case MessageKind::Forward:
      return Router_.onForward(Message);
    case MessageKind::Notice:
      return onNotice(Message);
    case MessageKind::JobQuery:
      return JobService_.onQuery(Message);
    case MessageKind::StatusQuery:
      Link_.reply(Message, MessageKind::StatusReply,
                  core::pack(protocol::StatusReply{0, statusJson()}));
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
    if (Body && Body->Stream_ == cell::domainStreamName(Settings_.Instance_.Domain_))
      Stream_.readNow();
    else if (Body && Body->Stream_ == "config")
      Config_.readNow();
  }

  // --- Changes to instances and configuration ---

  void applyInstances() {
    const auto List = InstanceList_.current();
    if (!List)
      return;
    std::vector<membership::Member> Members;
    std::vector<legacy::Instance> Executors;
    std::vector<legacy::Instance> Workers;
    for (const legacy::Instance &Instance : List->Instances_) {
      const bool InOwnDomain = Instance.Domain_ == Settings_.Instance_.Domain_;
      if (Instance.Kind_ == legacy::InstanceKind::Entry)
        Members.push_back(
            {Instance.Name_, Instance.Domain_, Instance.Region_, peerAddress(Instance)});
      else if (InOwnDomain && Instance.Kind_ == legacy::InstanceKind::Executor)
        Executors.push_back(Instance);
      else if (InOwnDomain && Instance.Kind_ == legacy::InstanceKind::Worker)
        Workers.push_back(Instance);
    }
    Heartbeat_.setMembers(Members);
    Dispatcher_.setExecutors(Executors);
    Controller_.setWorkers(std::move(Workers));
  }

  std::string peerAddress(const legacy::Instance &Peer) const {
    const auto Route = Settings_.Routes_.find(Peer.Name_);
    return Route == Settings_.Routes_.end() ? Peer.Address_ : Route->second;
  }

  void applyTeams() {
    const auto Configuration = Config_.state().current();
    std::vector<routing::TeamSlotQuota> Slots;
    std::vector<cell::TeamQuota> Quotas;
    for (const config::Team &Team : Configuration->Teams_) {
      const config::Limit Allotment =
          Config_.state().allotment(Team.Name_, Settings_.Instance_.Domain_);
      Slots.push_back({Team.Name_, static_cast<double>(Team.Share_), Allotment.Slots_});
      Quotas.push_back({Team.Name_, static_cast<double>(Team.Share_), Allotment.Resources_});
    }
    Dispatcher_.setTeamQuotas(Slots);
    Controller_.setTeams(std::move(Quotas));
  }

  void reconcileServices() {
    const TimePoint Now = core::Clock::now();
    const auto ReadAt = Stream_.completeAsOf();
    if (!Stream_.ownership().holds(Now) || !Config_.loaded() || ServiceAppendInFlight_ || !ReadAt ||
        Now - *ReadAt > Settings_.Timing_.StoreReachable_)
      return;
    const auto Configuration = Config_.state().current();
    std::vector<jobs::Job> ServiceJobs;
    for (jobs::Job &Job : Stream_.jobs().list())
      if (Job.Spec_->Kind_ == jobs::JobKind::Service)
        ServiceJobs.push_back(std::move(Job));
    cell::ServicePlan Plan = cell::planServices(
        *Configuration, Settings_.Instance_.Domain_, ServiceJobs,
        [this](const config::Service &Service) { return runsElsewhere(Service); });
    std::vector<journal::Entry> Records;
    for (const std::string &Id : Plan.Cancel_)
      Records.push_back(jobs::toEntry(jobs::Cancel{Id, "configuration"}));
    for (jobs::JobSpec &Spec : Plan.Accept_)
      Records.push_back(jobs::toEntry(jobs::Accept{std::move(Spec)}));
    if (Records.empty())
      return;
    ServiceAppendInFlight_ = true;
    Stream_.append(std::move(Records),
                   [this](std::error_code, std::uint64_t) { ServiceAppendInFlight_ = false; });
  }

  /// \returns whether a service that has no replica in this domain runs in another one, as last
  ///   known; starts a query that updates this for a later round.
  bool runsElsewhere(const config::Service &Service) {
    const auto Configuration = Config_.state().current();
    const std::string Domain(cell::domainOfReplica(*Configuration, Service, 0));
    const std::string IdPrefix = Domain + "/" + Service.Team_ + "/" +
                                 std::string(cell::ServiceRequestIdPrefix) + Service.Name_ + ".0.";
    JobService_.list(
        Service.Team_, std::span(&Domain, 1),
        [this, IdPrefix, Name = Service.Name_](const core::Failure &Error,
                                               const std::string &Response) {
          const auto JobList =
              Error ? nlohmann::json() : nlohmann::json::parse(Response, nullptr, false);
          bool RunsInDomain = false;
          if (JobList.is_object())
            for (const auto &Row : JobList.at("jobs"))
              RunsInDomain = RunsInDomain || (Row.value("id", "").starts_with(IdPrefix) &&
                                              Row.value("state", "") == "running");
          Timers_.post([this, Name, RunsInDomain] { ServicesElsewhere_[Name] = RunsInDomain; });
        });
    return ServicesElsewhere_[Service.Name_];
  }

  // --- Views ---

  std::vector<routing::DomainView> domainViews() const {
    const std::lock_guard Lock(ViewMutex_);
    return Views_;
  }

  void rebuildViews() {
    const TimePoint Now = core::Clock::now();
    const auto RemoteDomains = PeerTable_.domains();
    std::vector<routing::DomainView> Views;
    for (const settings::FleetDomain &Domain : Settings_.Fleet_.Domains_) {
      routing::DomainView View;
      View.Name_ = Domain.Name_;
      View.Region_ = Domain.Region_;
      if (Domain.Name_ == Settings_.Instance_.Domain_)
        fillOwnView(View, Now);
      else if (const auto Found = RemoteDomains.find(Domain.Name_); Found != RemoteDomains.end()) {
        View.Owner_ = Found->second.Owner_;
        View.FreeSlots_ = Found->second.FreeSlots_;
        View.OwnerReachable_ = Now - Found->second.AsOf_ < ReachabilityTimeout;
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
      View.QueuedRequests_ = Stats.QueuedRequests_;
      View.OwnerReachable_ = true;
      return;
    }
    const auto Owner = PeerTable_.owner(View.Name_);
    const auto Peer = Owner ? PeerTable_.find(Owner->Owner_) : std::nullopt;
    if (!Peer)
      return;
    View.Owner_ = Owner->Owner_;
    View.FreeSlots_ = Peer->FreeSlots_;
    View.OwnerReachable_ =
        Peer->LastAnsweredProbeSent_ && Now - *Peer->LastAnsweredProbeSent_ < ReachabilityTimeout;
  }

  std::vector<gateway::InstanceConfigOffset> offsets() const {
    const TimePoint Now = core::Clock::now();
    std::map<std::string, gateway::InstanceConfigOffset> OffsetsByInstance;
    OffsetsByInstance[Settings_.Instance_.Name_] = {Settings_.Instance_.Name_, Config_.offset(),
                                                    true};
    for (const membership::Peer &Peer : PeerTable_.peers()) {
      gateway::InstanceConfigOffset &Entry = OffsetsByInstance[Peer.Member_.Name_];
      Entry.Name_ = Peer.Member_.Name_;
      if (Peer.LastAnsweredProbeSent_ && Now - *Peer.LastAnsweredProbeSent_ < ReachabilityTimeout)
        Entry = {Entry.Name_, std::max(Entry.ConfigOffset_, Peer.ConfigOffset_), true};
    }
    for (const auto &[Domain, View] : PeerTable_.domains())
      for (const protocol::MemberSummary &Member : View.Members_) {
        gateway::InstanceConfigOffset &Entry = OffsetsByInstance[Member.Name_];
        Entry.Name_ = Member.Name_;
        if (Now - View.AsOf_ + core::Millis(Member.AgeMs_) < ReachabilityTimeout)
          Entry = {Entry.Name_, std::max(Entry.ConfigOffset_, Member.ConfigOffset_), true};
      }
    std::vector<gateway::InstanceConfigOffset> List;
    List.reserve(OffsetsByInstance.size());
    for (auto &[Name, Entry] : OffsetsByInstance)
      List.push_back(std::move(Entry));
    return List;
  }

  std::string statusJson() const {
    const TimePoint Now = core::Clock::now();
    const ownership::ClaimState Claims = Stream_.ownership().state();
    const cell::ControllerStats TaskStats = Controller_.stats();
    const routing::DispatcherStats SlotStats = Dispatcher_.stats();
    const auto Age = Config_.age(Now);
    nlohmann::ordered_json Status{
        {"instance", Settings_.Instance_.Name_},
        {"domain", Settings_.Instance_.Domain_},
        {"region", Settings_.Instance_.Region_},
        {"version", MASTICDRIFT_VERSION},
        {"config_version", Config_.state().version()},
        {"config_fresh", Config_.fresh(Now)},
        {"config_age_ms",
         Age ? nlohmann::ordered_json(core::toMillis(*Age)) : nlohmann::ordered_json()},
        {"owner", Claims.Owner_},
        {"term", Claims.Term_},
        {"is_owner", Stream_.ownership().holds(Now)},
        {"reachable_domains", Router_.reachableDomains()},
        {"free_slots", SlotStats.FreeSlots_},
        {"requests_waiting", SlotStats.QueuedRequests_},
        {"requests_in_flight", SlotStats.RequestsInFlight_},
        {"workers", TaskStats.Workers_},
        {"usable_workers", TaskStats.UsableWorkers_},
        {"tasks_running", TaskStats.RunningTasks_},
        {"tasks_waiting", TaskStats.WaitingTasks_}};
    nlohmann::ordered_json JobCounts = nlohmann::ordered_json::object();
    for (const auto &[State, Count] : Stream_.jobs().counts())
      JobCounts[std::string(jobs::nameOf(State))] = Count;
    Status["jobs"] = std::move(JobCounts);
    return Status.dump();
  }

  void publishMetrics() {
    const TimePoint Now = core::Clock::now();
    const bool IsOwner = Stream_.ownership().holds(Now);
    const routing::DispatcherStats Stats = Dispatcher_.stats();
    core::setGauge("masticdrift_owner", IsOwner ? 1 : 0);
    core::setGauge(
        "masticdrift_lease_seconds",
        IsOwner ? std::chrono::duration<double>(Stream_.ownership().leaseEnd() - Now).count() : 0);
    core::setGauge("masticdrift_slots_in_use", static_cast<double>(Stats.RequestsInFlight_));
    core::setGauge("masticdrift_queue_length", static_cast<double>(Stats.QueuedRequests_));
    for (const auto &[State, Count] : Stream_.jobs().counts())
      core::setGauge("masticdrift_jobs", static_cast<double>(Count),
                     {{"state", std::string(jobs::nameOf(State))}});
  }

  // --- Graceful stop ---

  bool stop(const std::function<bool()> &StopForced) {
    const TimePoint Deadline = core::Clock::now() + Settings_.Timing_.StopGrace_;
    core::log(core::LogLevel::Info, "stopping");
    CallerApi_.reportNotReady();
    Stream_.ownership().beginStop();
    waitUntil(core::Clock::now() + StopAnnouncementTime, StopForced, [] { return false; });
    CallerApi_.refuseNewRequests();
    Router_.refuseForwards();
    const bool Idle = waitUntil(Deadline, StopForced, [this] {
      return CallerApi_.inFlight() == 0 && Router_.inFlight() == 0 &&
             Dispatcher_.stats().RequestsInFlight_ == 0;
    });
    Controller_.onLeaseLost();
    const bool Written = waitUntil(Deadline, StopForced, [this] { return Stream_.idle(); });
    Stream_.ownership().finishStop(core::Clock::now());
    const bool LeaseReleased =
        waitUntil(std::min(Deadline, core::Clock::now() + LeaseReleaseTimeout), StopForced,
                  [this] { return Stream_.ownership().hasLeft(); });
    core::log(core::LogLevel::Info, "stopped",
              {{"idle", Idle ? "true" : "false"}, {"left", LeaseReleased ? "true" : "false"}});
    return Idle && Written;
  }

  template <typename Predicate>
  static bool waitUntil(TimePoint Deadline, const std::function<bool()> &StopForced,
                        Predicate Done) {
    while (!Done()) {
      if (core::Clock::now() >= Deadline || StopForced())
        return false;
      std::this_thread::sleep_for(StopPollInterval);
    }
    return true;
  }

  const settings::Settings Settings_;
  const std::function<void()> OnDrain_;
  const std::uint64_t Incarnation_;
  /// Messages are dropped while this is false: until all members are constructed, because Link_ is
  /// constructed before the members that handle messages, and from the start of destruction on,
  /// because those members are then being stopped.
  std::atomic<bool> AcceptsMessages_{false};
  core::Timers Timers_;
  core::Timers CellTimers_;
  protocol::Link Link_;
  http::Client PlatformHttp_;
  http::Client WorkerHttp_;
  legacy::LogClient LogClient_;
  legacy::WorkerClient WorkerClient_;
  membership::PeerTable PeerTable_;
  replica::ConfigReplica Config_;
  cell::DomainStream Stream_;
  cell::Controller Controller_;
  routing::Dispatcher Dispatcher_;
  routing::Router Router_;
  cell::JobService JobService_;
  membership::Heartbeat Heartbeat_;
  legacy::InstanceList InstanceList_;
  gateway::CallerApi CallerApi_;
  gateway::OperatorApi OperatorApi_;
  std::unique_ptr<http::Server> CallerServer_;
  std::unique_ptr<http::Server> OperatorServer_;
  mutable std::mutex ViewMutex_;
  std::vector<routing::DomainView> Views_;
  // Only the timer thread uses the members below.
  std::map<std::string, bool>
      ServicesElsewhere_; ///< whether a service without a replica here runs in another domain
  std::atomic<bool> ServiceAppendInFlight_{false};
};

Daemon::Daemon(settings::Settings Settings, std::function<void()> OnDrain)
    : Impl_(std::make_unique<Impl>(std::move(Settings), std::move(OnDrain))) {}

Daemon::~Daemon() = default;

Ports Daemon::ports() const {
  return {Impl_->CallerServer_->port(), Impl_->OperatorServer_->port(), Impl_->Link_.port()};
}

bool Daemon::stop(const std::function<bool()> &StopForced) { return Impl_->stop(StopForced); }

} // namespace masticdrift::daemon
