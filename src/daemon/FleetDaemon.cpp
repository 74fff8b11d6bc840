#include "masticdrift/daemon/FleetDaemon.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/daemon/EntryService.h"
#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/LeaderDriver.h"
#include "masticdrift/daemon/OrderRelay.h"
#include "masticdrift/http/Server.h"
#include "masticdrift/lead/Election.h"
#include "platform/Executors.h"
#include "platform/Text.h"

#include <csignal>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

namespace masticdrift::daemon {

namespace {

/// Connections kept open for reuse: four to each of 350 executors and some to the platform, within
/// the 3,900 descriptors that the smallest machines have for sockets.
constexpr long MaxKeptConnections = 1500;
constexpr std::chrono::seconds IdleConnections{30};
/// Bodies up to this size are read; the configuration's own limit is lower.
constexpr std::size_t MaxBody = 1U << 20U;
/// A configuration must be in force within 2.5 s, also when its connection has gone silent.
constexpr core::Millis ConfigWait{1200};
constexpr core::Millis JobsWait{700};
constexpr core::Millis SpecsWait{1000};
constexpr core::Millis ExecutorsWait{1000};
/// Rests between reads with records. The leader appends nearly all of them itself and answers the
/// looks at jobs of the others, whose own records are needed for the number of pending jobs, which
/// may be 2 s old, and at the next takeover.
constexpr core::Millis LeaderJobsRest{80};
constexpr core::Millis FollowerJobsRest{1200};
/// While no leader answers, callers are told what was read; they look about every 250 ms.
constexpr core::Millis UnledJobsRest{180};
/// Steps of jobs are needed at the next takeover only.
constexpr core::Millis FollowerSpecsRest{2000};
constexpr core::Millis LeaderExecutorsRest{200};
constexpr core::Millis FollowerExecutorsRest{1800};
constexpr core::Millis ExpiryInterval{50};
/// An executor whose entry went away may still run what an earlier leader started.
constexpr core::Millis RosterMemory{15'000};
/// The load balancer needs two missed looks, one a second, to send new connections elsewhere.
constexpr core::Millis LeastStopTime{2300};
/// The process ends this long before the platform kills it.
constexpr core::Millis StopMargin{800};
constexpr core::Millis StopPoll{50};

std::string newIncarnation() {
  std::random_device Random;
  std::ostringstream Text;
  Text << std::hex << Random() << Random();
  return Text.str();
}

http::ServerOptions serverOptions(asio::io_context &Loop, const platform::Endpoint &At) {
  http::ServerOptions Out;
  Out.Address_ = At.Address_;
  Out.Port_ = At.Port_;
  Out.Loop_ = &Loop;
  Out.MaxBody_ = MaxBody;
  // Callers keep connections open between requests.
  Out.ReadTimeout_ = std::chrono::seconds(60);
  return Out;
}

class FleetDaemon {
public:
  FleetDaemon(const platform::MachineSettings &Settings, std::string SettingsPath)
      : Settings_(Settings), SettingsPath_(std::move(SettingsPath)),
        Client_(Loop_, IdleConnections, MaxKeptConnections),
        Store_(Client_, Settings.StoreAddress_), Context_{Loop_,
                                                          Client_,
                                                          Store_,
                                                          Settings_,
                                                          Settings.PeerEndpoint_.Address_ + ':' +
                                                              std::to_string(
                                                                  Settings.PeerEndpoint_.Port_),
                                                          newIncarnation(),
                                                          core::Clock::now(),
                                                          {},
                                                          {},
                                                          {},
                                                          false},
        Jobs_(
            Loop_, Store_,
            {JobsTopic, JobsWait,
             [this] {
               if (Leader_.leading())
                 return LeaderJobsRest;
               return Leader_.leaderHeard() ? FollowerJobsRest : UnledJobsRest;
             },
             !lead::mayLead(Settings.Cores_)},
            {[this](const platform::KeyedRecord &One) { onJobRecord(One); }, [](const auto &) {}}),
        Specs_(
            Loop_, Store_,
            {SpecsTopic, SpecsWait,
             [this] { return Leader_.leading() ? LeaderJobsRest : FollowerSpecsRest; }, true},
            {[this](const platform::KeyedRecord &One) { onSpecRecord(One); }, [](const auto &) {}}),
        Config_(Loop_, Store_, {ConfigTopic, ConfigWait},
                {[this](const platform::KeyedRecord &One) { onConfigRecord(One); },
                 [](const auto &) {}}),
        Executors_(
            Loop_, Store_,
            {ExecutorsTopic, ExecutorsWait,
             [this] { return Leader_.leading() ? LeaderExecutorsRest : FollowerExecutorsRest; },
             true},
            {[this](const platform::KeyedRecord &One) { onExecutorRecord(One); },
             [this](const std::set<std::string> &Keys) { onExecutorsLoaded(Keys); }}),
        Writer_(Store_, JobsTopic,
                [this](std::uint64_t Offset, const work::LogRecord &One) {
                  onJobRecord({Offset, One.Key_, One.Value_});
                }),
        SpecWriter_(Store_, SpecsTopic,
                    [this](std::uint64_t Offset, const work::LogRecord &One) {
                      if (Specs_.started())
                        onSpecRecord({Offset, One.Key_, One.Value_});
                    }),
        Leader_(Context_, Jobs_, Specs_, Executors_), Relay_(Context_),
        Entry_(Context_, Jobs_, SpecWriter_, Writer_, Leader_),
        Callers_(serverOptions(Loop_, Settings.CallerEndpoint_),
                 [this](const http::Request &From, const http::Responder &To) {
                   Entry_.handle(From, To);
                 }),
        Ready_(serverOptions(Loop_, Settings.ReadyEndpoint_),
               [this](const http::Request &, const http::Responder &To) { answerReady(To); }),
        Peers_(
            serverOptions(Loop_, Settings.PeerEndpoint_),
            [this](const http::Request &From, const http::Responder &To) { answerPeer(From, To); }),
        Signals_(Loop_, SIGTERM, SIGINT, SIGHUP), ExpiryTimer_(Loop_), StopTimer_(Loop_) {}

  bool run() {
    core::log(core::LogLevel::Info, "start",
              {{"version", MASTICDRIFT_VERSION},
               {"domain", Settings_.Domain_},
               {"incarnation", Context_.Incarnation_},
               {"store", Settings_.StoreAddress_}});
    Jobs_.start();
    if (lead::mayLead(Settings_.Cores_))
      Specs_.start();
    Config_.start();
    Executors_.start();
    Leader_.start();
    awaitSignal();
    expire();
    Loop_.run();
    core::log(core::LogLevel::Info, "stop",
              {{"open_requests", std::to_string(Entry_.open())},
               {"log_lines_dropped", std::to_string(core::droppedLogLines())}});
    return Entry_.open() == 0;
  }

private:
  void onJobRecord(const platform::KeyedRecord &One) {
    const work::JobTableChange Change = Context_.Ledger_.apply(One.Offset_, One.Key_, One.Value_);
    using enum work::JobTableChange::Kind;
    if (Change.Kind_ == Unreadable)
      core::log(core::LogLevel::Warning, "job record is unreadable",
                {{"request_id", Change.Id_}, {"offset", std::to_string(One.Offset_)}});
    if (Change.Kind_ == Progressed)
      Leader_.onProgressRead(One.Key_, One.Value_);
    if (Change.Kind_ == Removed)
      Leader_.onJob(Change.Id_);
    if (Change.Kind_ == Accepted || Change.Kind_ == Cancelled) {
      Writer_.seen(One.Key_);
      Leader_.onJob(Change.Id_);
    }
  }

  void onSpecRecord(const platform::KeyedRecord &One) {
    const work::JobTableChange Change = Context_.Ledger_.applySpec(One.Key_, One.Value_);
    using enum work::JobTableChange::Kind;
    if (Change.Kind_ == Unreadable)
      core::log(core::LogLevel::Warning, "job specification is unreadable",
                {{"request_id", Change.Id_}, {"offset", std::to_string(One.Offset_)}});
    if (Change.Kind_ == Specified) {
      SpecWriter_.seen(One.Key_);
      Leader_.onJob(Change.Id_);
    }
  }

  void onConfigRecord(const platform::KeyedRecord &One) {
    if (One.Key_ != ConfigKey || One.Value_.empty())
      return;
    auto Manifest = platform::decodeManifest(One.Value_);
    if (!Manifest) {
      core::log(core::LogLevel::Warning, "configuration is unreadable",
                {{"offset", std::to_string(One.Offset_)}});
      return;
    }
    if (Context_.Manifest_ && Manifest->Version_ <= Context_.Manifest_->Version_)
      return;
    core::log(core::LogLevel::Info, "configuration in force",
              {{"version", std::to_string(Manifest->Version_)},
               {"offset", std::to_string(One.Offset_)},
               {"queues", std::to_string(Manifest->Queues_.size())},
               {"customers", std::to_string(Manifest->Customers_.size())}});
    core::setGauge("masticdrift_config_version", static_cast<double>(Manifest->Version_));
    Context_.Manifest_ = std::move(*Manifest);
    Leader_.onManifest();
  }

  void onExecutorRecord(const platform::KeyedRecord &One) {
    if (One.Value_.empty()) {
      executorGone(One.Key_);
      return;
    }
    auto Info = platform::decodeExecutor(One.Key_, One.Value_);
    if (!Info) {
      if (Malformed_.insert(One.Key_).second)
        core::log(core::LogLevel::Warning, "executor entry names no executor",
                  {{"executor", One.Key_}, {"offset", std::to_string(One.Offset_)}});
      return;
    }
    Context_.Roster_[One.Key_] = {std::move(*Info), true, core::Clock::now()};
    Leader_.onExecutor(One.Key_);
  }

  void executorGone(const std::string &Id) {
    const auto Found = Context_.Roster_.find(Id);
    if (Found == Context_.Roster_.end() || !Found->second.Listed_)
      return;
    Found->second.Listed_ = false;
    Found->second.ChangedAt_ = core::Clock::now();
    core::log(core::LogLevel::Info, "executor entry is gone", {{"executor", Id}});
    Leader_.onExecutor(Id);
  }

  void onExecutorsLoaded(const std::set<std::string> &Keys) {
    std::vector<std::string> Gone;
    for (const auto &[Id, Entry] : Context_.Roster_)
      if (!Keys.contains(Id))
        Gone.push_back(Id);
    for (const std::string &Id : Gone)
      executorGone(Id);
  }

  void answerReady(const http::Responder &To) const {
    http::Response Out;
    // Until the jobs are loaded the leader tells their states.
    const bool Ready = !Context_.Stopping_ && Context_.Manifest_ &&
                       (Jobs_.loaded() || Leader_.leaderHeard()) && !Jobs_.failing() &&
                       !Config_.failing();
    Out.Status_ = Ready ? 200 : 503;
    Out.ContentType_ = "text/plain";
    To(std::move(Out));
  }

  void answerPeer(const http::Request &From, const http::Responder &To) {
    if (From.Path_ == "/metrics") {
      core::setGauge("masticdrift_log_lines_dropped", static_cast<double>(core::droppedLogLines()));
      To({200, core::renderMetrics(), "text/plain; version=0.0.4", {}, false});
    } else if (From.Path_ == protocol::HelloPath) {
      if (const auto Hello = core::unpack<protocol::Hello>(From.Body_))
        Leader_.onHello(*Hello);
      To({Leader_.cutOff() ? 503 : 200, Context_.Incarnation_, "text/plain", {}, false});
    } else if (From.Path_ == protocol::AdvisePath) {
      advise(From, To);
    } else if (From.Path_ == protocol::SubmitPath) {
      submitFor(From, To);
    } else if (From.Path_ == protocol::LookPath) {
      lookFor(From, To);
    } else if (From.Path_ == protocol::OrdersPath) {
      take<protocol::OrdersCall>(From, To, [this](const auto &Call) { Relay_.carry(Call); });
    } else if (From.Path_ == protocol::ResultsPath) {
      take<protocol::ResultsCall>(From, To, [this](const auto &Call) { Leader_.onResults(Call); });
    } else {
      To({404, {}, "text/plain", {}, false});
    }
  }

  /// Answers a one-way message and handles it.
  template <typename Message, typename Work>
  static void take(const http::Request &From, const http::Responder &To, Work Do) {
    const auto Call = core::unpack<Message>(From.Body_);
    To({Call ? 200 : 400, {}, "text/plain", {}, false});
    if (Call)
      Do(*Call);
    else
      core::log(core::LogLevel::Warning, "message of another daemon is unreadable",
                {{"path", From.Path_}});
  }

  void advise(const http::Request &From, const http::Responder &To) {
    const auto Call = core::unpack<protocol::AdviseCall>(From.Body_);
    if (!Call) {
      To({400, {}, "text/plain", {}, false});
      return;
    }
    platform::requestAdvice(Client_, Settings_.AdviceAddress_,
                            {Call->Job_, Call->Occurrence_, Call->Step_, 0}, Call->Executors_,
                            core::Millis(Call->TimeoutMs_),
                            [To](const std::optional<std::vector<fleet::AdvisedExecutor>> &Good) {
                              protocol::AdviseReply Reply;
                              Reply.Answered_ = Good.has_value();
                              if (Good)
                                for (const fleet::AdvisedExecutor &One : *Good) {
                                  Reply.Executors_.push_back(One.Executor_);
                                  Reply.Tickets_.push_back(One.Ticket_);
                                }
                              To({200, core::pack(Reply), "application/msgpack", {}, false});
                            });
  }

  void submitFor(const http::Request &From, const http::Responder &To) {
    auto Call = core::unpack<protocol::SubmitCall>(From.Body_);
    if (!Call) {
      To({400, {}, "text/plain", {}, false});
      return;
    }
    Entry_.submitFor(std::move(*Call), [To](const protocol::SubmitReply &Reply) {
      To({200, core::pack(Reply), "application/msgpack", {}, false});
    });
  }

  void lookFor(const http::Request &From, const http::Responder &To) {
    const auto Call = core::unpack<protocol::LookCall>(From.Body_);
    if (!Call) {
      To({400, {}, "text/plain", {}, false});
      return;
    }
    Leader_.look(Call->Job_, [To](const protocol::LookReply &Reply) {
      To({200, core::pack(Reply), "application/msgpack", {}, false});
    });
  }

  void expire() {
    const core::TimePoint Now = core::Clock::now();
    SpecWriter_.expire(Now);
    Writer_.expire(Now);
    std::erase_if(Context_.Roster_, [&](const auto &One) {
      return !One.second.Listed_ && Now - One.second.ChangedAt_ > RosterMemory;
    });
    ExpiryTimer_.expires_after(ExpiryInterval);
    ExpiryTimer_.async_wait([this](std::error_code Error) {
      if (!Error)
        expire();
    });
  }

  void awaitSignal() {
    Signals_.async_wait([this](std::error_code Error, int Signal) {
      if (Error)
        return;
      awaitSignal();
      if (Signal == SIGHUP)
        reload();
      else
        stop();
    });
  }

  void reload() {
    std::ifstream In(SettingsPath_, std::ios::binary);
    std::ostringstream Text;
    Text << In.rdbuf();
    platform::MachineSettings Fresh;
    std::string Mistake;
    if (!platform::decodeSettings(Text.str(), Fresh, Mistake)) {
      core::log(core::LogLevel::Warning, "settings are invalid, the old ones stay",
                {{"mistake", Mistake}});
      return;
    }
    Settings_.AdviceAddress_ = Fresh.AdviceAddress_;
    Settings_.StopGraceMs_ = Fresh.StopGraceMs_;
    core::log(core::LogLevel::Info, "settings are read again");
  }

  void stop() {
    if (Context_.Stopping_)
      return;
    Context_.Stopping_ = true;
    StopAt_ = core::Clock::now();
    core::log(core::LogLevel::Info, "stopping",
              {{"open_requests", std::to_string(Entry_.open())},
               {"leading", Leader_.leading() ? "true" : "false"}});
    Leader_.release();
    awaitEnd();
  }

  void awaitEnd() {
    const core::Duration Spent = core::Clock::now() - StopAt_;
    const bool Idle =
        Entry_.open() == 0 && SpecWriter_.idle() && Writer_.idle() && Leader_.released();
    if ((Idle && Spent >= LeastStopTime) ||
        Spent >= core::Millis(Settings_.StopGraceMs_) - StopMargin) {
      Loop_.stop();
      return;
    }
    StopTimer_.expires_after(StopPoll);
    StopTimer_.async_wait([this](std::error_code Error) {
      if (!Error)
        awaitEnd();
    });
  }

  platform::MachineSettings Settings_;
  const std::string SettingsPath_;
  asio::io_context Loop_{1};
  http::LoopClient Client_;
  platform::Store Store_;
  FleetContext Context_;
  TopicTail Jobs_;
  TopicTail Specs_;
  TopicTail Config_;
  TopicTail Executors_;
  JobWriter Writer_;
  JobWriter SpecWriter_;
  LeaderDriver Leader_;
  OrderRelay Relay_;
  EntryService Entry_;
  http::Server Callers_;
  http::Server Ready_;
  http::Server Peers_;
  asio::signal_set Signals_;
  asio::steady_timer ExpiryTimer_;
  asio::steady_timer StopTimer_;
  core::TimePoint StopAt_{};
  std::set<std::string> Malformed_;
};

} // namespace

bool runFleetDaemon(const platform::MachineSettings &Settings, const std::string &SettingsPath) {
  return FleetDaemon(Settings, SettingsPath).run();
}

} // namespace masticdrift::daemon
