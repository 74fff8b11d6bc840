#include "masticdrift/daemon/FleetDaemon.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"
#include "masticdrift/daemon/ConfigFeed.h"
#include "masticdrift/daemon/EntryService.h"
#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/LeaderDriver.h"
#include "masticdrift/daemon/MachineShares.h"
#include "masticdrift/daemon/OrderRelay.h"
#include "masticdrift/http/Server.h"
#include "masticdrift/lead/Election.h"
#include "platform/Executors.h"
#include "platform/Text.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <utility>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

namespace masticdrift::daemon {

namespace {

/// Maximum number of connections kept open for reuse: four for each of 350 executors plus some for
/// the platform, within the 3,900 descriptors that the smallest machines have for sockets.
constexpr long MaxKeptConnections = 1500;
constexpr std::chrono::seconds IdleConnectionTimeout{30};
/// Connections that wait to be accepted, each with what its client has sent: 512 of them take 8 MB
/// at most. 64 are accepted in each round of the event loop.
constexpr int MaxPendingConnections = 512;
/// Largest request body that is read; the limit of the configuration is lower.
constexpr std::size_t MaxBodyBytes = 1U << 20U;
constexpr core::Millis JobsLongPoll{700};
constexpr core::Millis SpecsLongPoll{1000};
constexpr core::Millis ExecutorsLongPoll{1000};
/// Pauses after a read that returned records. The leader appends nearly all records itself and
/// answers the state queries of the followers. Followers need the records only for the number of
/// pending jobs, which may be 2 s old, and for the next takeover.
constexpr core::Millis LeaderReadPause{80};
constexpr core::Millis FollowerJobsPause{1200};
/// Pause between a follower's reads of the jobs while no leader answers. Callers then get the state
/// that this daemon has read; they poll about every 250 ms.
constexpr core::Millis NoLeaderJobsPause{180};
/// Pause between a follower's reads of the job steps, which it needs only for the next takeover.
constexpr core::Millis FollowerSpecsPause{2000};
/// Executors rewrite their entries every heartbeat, so only a leader reads the list: read by each
/// of 147 daemons, 1,100 entries filled a link of 150 Mbit/s between two regions.
constexpr core::Millis LeaderExecutorsPause{200};
constexpr core::Millis ExpiryInterval{50};
/// Time for which the entry of an executor that was removed from the list is kept. A leader that
/// finds the executor in the roster sends its orders through the entry's failure domain.
constexpr core::Millis UnlistedExecutorRetention{15'000};
/// Number of rejected entries of the executor list for which it is known that they were logged.
constexpr std::size_t MaxRememberedRejections = 1000;
constexpr std::size_t MaxLoggedIdBytes = 64;
/// Minimum time for which a stopping daemon keeps serving. The load balancer stops sending new
/// connections after two failed readiness checks, made once per second.
constexpr core::Millis MinStopTime{2300};
/// The process exits this long before the platform kills it.
constexpr core::Millis StopMargin{800};
constexpr core::Millis StopPollInterval{50};

std::string newIncarnation() {
  std::random_device Random;
  std::ostringstream Text;
  Text << std::hex << Random() << Random();
  return Text.str();
}

/// \returns the start of \p Id with '?' for all but printable ASCII characters.
std::string printable(std::string_view Id) {
  std::string Text(Id.substr(0, MaxLoggedIdBytes));
  std::ranges::replace_if(
      Text, [](char C) { return C < ' ' || C > '~'; }, '?');
  return Text;
}

http::ServerOptions serverOptions(asio::io_context &Loop, const platform::Endpoint &Listen,
                                  const ServerShare &Share) {
  http::ServerOptions Options;
  Options.MaxHeldBytes_ = Share.HeldBytes_;
  Options.MaxConnections_ = Share.Connections_;
  Options.MaxPendingConnections_ = MaxPendingConnections;
  Options.ServedRequestBytes_ = Share.ServedRequestBytes_;
  Options.ReceiveBufferBytes_ = Options.SendBufferBytes_ = Share.BufferBytes_;
  Options.Address_ = Listen.Address_;
  Options.Port_ = Listen.Port_;
  Options.Loop_ = &Loop;
  Options.MaxBodyBytes_ = MaxBodyBytes;
  // Callers keep connections open between requests.
  Options.ReadTimeout_ = std::chrono::seconds(60);
  return Options;
}

/// \returns the shares of the machine, by its settings and the limits of the process.
MachineShares machineShares(const platform::MachineSettings &Settings) {
  const std::int64_t Descriptors = raiseDescriptorLimit(Settings.MaxDescriptors_);
  if (Descriptors < Settings.MaxDescriptors_)
    core::log(core::LogLevel::Warning, "the process may open fewer files than its machine allows",
              {{"max_fds", std::to_string(Settings.MaxDescriptors_)},
               {"limit", std::to_string(Descriptors)}});
  return sharesOf(Settings.MemoryMb_, Descriptors);
}

class FleetDaemon {
public:
  FleetDaemon(const platform::MachineSettings &Settings, std::string SettingsPath)
      : Settings_(Settings), SettingsPath_(std::move(SettingsPath)),
        Shares_(machineShares(Settings)), Client_(Loop_, IdleConnectionTimeout, MaxKeptConnections,
                                                  static_cast<long>(Shares_.OutgoingConnections_)),
        Store_(Client_, Settings.StoreAddress_), Context_{Loop_,
                                                          Client_,
                                                          Store_,
                                                          Settings_,
                                                          Settings.PeerEndpoint_.Address_ + ':' +
                                                              std::to_string(
                                                                  Settings.PeerEndpoint_.Port_),
                                                          newIncarnation(),
                                                          {},
                                                          {},
                                                          {},
                                                          false,
                                                          Shares_.AcceptedWorkBytes_,
                                                          {}},
        JobTail_(Loop_, Store_,
                 {JobsTopic, JobsLongPoll,
                  [this] {
                    if (Leader_.leading())
                      return LeaderReadPause;
                    return Leader_.leaderResponsive() ? FollowerJobsPause : NoLeaderJobsPause;
                  },
                  !lead::isPreferredLeader(Settings.Cores_), Settings.LinkMbps_},
                 {[this](const platform::KeyedRecord &Record) { onJobRecord(Record); },
                  [](const auto &) {}}),
        SpecTail_(Loop_, Store_,
                  {SpecsTopic, SpecsLongPoll,
                   [this] { return Leader_.leading() ? LeaderReadPause : FollowerSpecsPause; },
                   true, Settings.LinkMbps_},
                  {[this](const platform::KeyedRecord &Record) { onSpecRecord(Record); },
                   [](const auto &) {}}),
        ConfigFeed_(
            Context_, [this](const platform::KeyedRecord &Record) { onConfigRecord(Record); },
            [this] { Leader_.onEvacuations(); }),
        ExecutorTail_(Loop_, Store_,
                      {ExecutorsTopic, ExecutorsLongPoll, [] { return LeaderExecutorsPause; },
                       false, Settings.LinkMbps_},
                      {[this](const platform::KeyedRecord &Record) { onExecutorRecord(Record); },
                       [this](const std::set<std::string> &Keys) { onExecutorsLoaded(Keys); }}),
        RecordWriter_(Store_, JobsTopic,
                      [this](std::uint64_t Offset, const work::LogRecord &Entry) {
                        onJobRecord({Offset, Entry.Key_, Entry.Value_});
                      }),
        SpecWriter_(Store_, SpecsTopic,
                    [this](std::uint64_t Offset, const work::LogRecord &Entry) {
                      if (SpecTail_.started())
                        onSpecRecord({Offset, Entry.Key_, Entry.Value_});
                    }),
        Leader_(Context_, JobTail_, SpecTail_, ExecutorTail_, ConfigFeed_), OrderRelay_(Context_),
        EntryService_(Context_, JobTail_, SpecWriter_, RecordWriter_, Leader_),
        CallerServer_(serverOptions(Loop_, Settings.CallerEndpoint_, Shares_.Callers_),
                      [this](const http::Request &HttpRequest, const http::Responder &Respond) {
                        EntryService_.handle(HttpRequest, Respond);
                      }),
        ReadyServer_(serverOptions(Loop_, Settings.ReadyEndpoint_, Shares_.Readiness_),
                     [this](const http::Request &, const http::Responder &Respond) {
                       answerReadiness(Respond);
                     }),
        PeerServer_(serverOptions(Loop_, Settings.PeerEndpoint_, Shares_.Peers_),
                    [this](const http::Request &HttpRequest, const http::Responder &Respond) {
                      handlePeerRequest(HttpRequest, Respond);
                    }),
        Signals_(Loop_, SIGTERM, SIGINT, SIGHUP), ExpiryTimer_(Loop_), StopTimer_(Loop_) {
    Context_.JobTable_.onChange(
        [this](const work::JobTableChange &Change) { onJobChange(Change); });
  }

  bool run() {
    core::log(core::LogLevel::Info, "start",
              {{"version", MASTICDRIFT_VERSION},
               {"domain", Settings_.Domain_},
               {"incarnation", Context_.Incarnation_},
               {"store", Settings_.StoreAddress_}});
    JobTail_.start();
    if (lead::isPreferredLeader(Settings_.Cores_))
      SpecTail_.start();
    ConfigFeed_.start();
    Leader_.start();
    awaitSignal();
    removeExpired();
    Loop_.run();
    core::log(core::LogLevel::Info, "stop",
              {{"open_requests", std::to_string(EntryService_.openRequests())},
               {"log_lines_dropped", std::to_string(core::droppedLogLines())}});
    return EntryService_.openRequests() == 0;
  }

private:
  /// Informs the leader of every change of the job table. Records reach the table in several ways:
  /// read from the log, appended by this daemon, or confirmed by another leader's answer.
  void onJobChange(const work::JobTableChange &Change) {
    using enum work::JobTableChange::Kind;
    switch (Change.Kind_) {
    case Accepted:
    case Begun:
    case Specified:
    case Cancelled:
    case Removed:
      Leader_.onJob(Change.Id_);
      return;
    case None:
    case Progressed: // written by the leader itself
    case Unreadable:
      return;
    }
  }

  void onJobRecord(const platform::KeyedRecord &Record) {
    const work::JobTableChange Change =
        Context_.JobTable_.apply(Record.Offset_, Record.Key_, Record.Value_);
    using enum work::JobTableChange::Kind;
    if (Change.Kind_ == Unreadable)
      core::log(core::LogLevel::Warning, "job record cannot be decoded",
                {{"request_id", Change.Id_}, {"offset", std::to_string(Record.Offset_)}});
    if (Change.Kind_ == Progressed)
      Leader_.onProgressRead(Record.Key_, Record.Value_);
    if (!Record.Value_.empty())
      RecordWriter_.confirmStored(Record.Key_);
  }

  void onSpecRecord(const platform::KeyedRecord &Record) {
    const work::JobTableChange Change = Context_.JobTable_.applySpec(Record.Key_, Record.Value_);
    if (Change.Kind_ == work::JobTableChange::Kind::Unreadable)
      core::log(core::LogLevel::Warning, "job specification cannot be decoded",
                {{"request_id", Change.Id_}, {"offset", std::to_string(Record.Offset_)}});
    if (!Record.Value_.empty())
      SpecWriter_.confirmStored(Record.Key_);
  }

  void onConfigRecord(const platform::KeyedRecord &Record) {
    auto Manifest = platform::decodeManifest(Record.Value_);
    if (!Manifest) {
      core::log(core::LogLevel::Warning, "configuration cannot be decoded",
                {{"offset", std::to_string(Record.Offset_)}});
      return;
    }
    if (Context_.Manifest_ && Manifest->Version_ <= Context_.Manifest_->Version_)
      return;
    core::log(core::LogLevel::Info, "configuration in force",
              {{"version", std::to_string(Manifest->Version_)},
               {"offset", std::to_string(Record.Offset_)},
               {"bytes", std::to_string(Record.Value_.size())},
               {"queues", std::to_string(Manifest->Queues_.size())},
               {"customers", std::to_string(Manifest->Customers_.size())}});
    core::setGauge("masticdrift_config_version", static_cast<double>(Manifest->Version_));
    Context_.Manifest_ = std::move(*Manifest);
    Leader_.onManifest();
  }

  void onExecutorRecord(const platform::KeyedRecord &Record) {
    if (Record.Value_.empty()) {
      RejectedEntries_.erase(Record.Key_);
      unlistExecutor(Record.Key_);
      return;
    }
    std::string_view RejectedPart;
    auto Info = platform::decodeExecutor(Record.Key_, Record.Value_, &RejectedPart);
    if (!Info) {
      rejectExecutorEntry(Record, RejectedPart);
      return;
    }
    RejectedEntries_.erase(Record.Key_);
    Context_.ExecutorEntries_[Record.Key_] = {std::move(*Info), true, core::Clock::now()};
    Leader_.onExecutor(Record.Key_);
  }

  /// Ignores an entry that names no executor to use. An executor that had a valid entry before gets
  /// no new runs until it has one again, as if its entry had been removed.
  void rejectExecutorEntry(const platform::KeyedRecord &Record, std::string_view RejectedPart) {
    core::count("masticdrift_executor_entries_rejected_total",
                {{"part", std::string(RejectedPart)}});
    if (RejectedEntries_.size() >= MaxRememberedRejections &&
        !RejectedEntries_.contains(Record.Key_))
      RejectedEntries_.clear();
    // Logged again only when something else is wrong, because executors rewrite their entries.
    if (std::exchange(RejectedEntries_[Record.Key_], RejectedPart) != RejectedPart)
      core::log(core::LogLevel::Warning, "executor entry names no executor to use",
                {{"executor", printable(Record.Key_)},
                 {"rejected_part", std::string(RejectedPart)},
                 {"bytes", std::to_string(Record.Value_.size())},
                 {"offset", std::to_string(Record.Offset_)}});
    unlistExecutor(Record.Key_);
  }

  void unlistExecutor(const std::string &Id) {
    const auto Found = Context_.ExecutorEntries_.find(Id);
    if (Found == Context_.ExecutorEntries_.end() || !Found->second.Listed_)
      return;
    Found->second.Listed_ = false;
    Found->second.ChangedAt_ = core::Clock::now();
    core::log(core::LogLevel::Info, "executor was removed from the list", {{"executor", Id}});
    Leader_.onExecutor(Id);
  }

  void onExecutorsLoaded(const std::set<std::string> &Keys) {
    std::vector<std::string> UnlistedIds;
    for (const auto &[Id, Entry] : Context_.ExecutorEntries_)
      if (!Keys.contains(Id))
        UnlistedIds.push_back(Id);
    for (const std::string &Id : UnlistedIds)
      unlistExecutor(Id);
  }

  void answerReadiness(const http::Responder &Respond) const {
    http::Response Response;
    // While the jobs are being loaded, the leader answers state queries.
    const bool Ready = !Context_.Stopping_ && Context_.Manifest_ &&
                       (JobTail_.loaded() || Leader_.leaderResponsive()) && !JobTail_.failing() &&
                       !ConfigFeed_.failing();
    Response.Status_ = Ready ? 200 : 503;
    Response.ContentType_ = "text/plain";
    Respond(std::move(Response));
  }

  void handlePeerRequest(const http::Request &HttpRequest, const http::Responder &Respond) {
    if (HttpRequest.Path_ == "/metrics") {
      core::setGauge("masticdrift_log_lines_dropped", static_cast<double>(core::droppedLogLines()));
      Respond({200, core::renderMetrics(), "text/plain; version=0.0.4", {}, false});
    } else if (HttpRequest.Path_ == protocol::HelloPath) {
      protocol::HelloReply Reply{Context_.Incarnation_};
      if (const auto Hello = core::unpack<protocol::Hello>(HttpRequest.Body_))
        Reply = Leader_.onHello(*Hello);
      Respond({Leader_.leadsWithoutStore() ? 503 : 200,
               core::pack(Reply),
               "application/msgpack",
               {},
               false});
    } else if (HttpRequest.Path_ == protocol::ConfigPath) {
      handleConfigRequest(HttpRequest, Respond);
    } else if (HttpRequest.Path_ == protocol::AdvisePath) {
      handleAdvise(HttpRequest, Respond);
    } else if (HttpRequest.Path_ == protocol::SubmitPath) {
      handlePeerSubmit(HttpRequest, Respond);
    } else if (HttpRequest.Path_ == protocol::JobStatePath) {
      handlePeerStateQuery(HttpRequest, Respond);
    } else if (HttpRequest.Path_ == protocol::OrdersPath) {
      handleOneWay<protocol::OrdersRequest>(
          HttpRequest, Respond, [this](const auto &Call) { OrderRelay_.forward(Call); });
    } else if (HttpRequest.Path_ == protocol::ResultsPath) {
      handleOneWay<protocol::ResultsRequest>(HttpRequest, Respond,
                                             [this](const auto &Call) { Leader_.onResults(Call); });
    } else {
      Respond({404, {}, "text/plain", {}, false});
    }
  }

  /// Acknowledges a one-way message and then handles it.
  template <typename Message, typename Handler>
  static void handleOneWay(const http::Request &HttpRequest, const http::Responder &Respond,
                           Handler Handle) {
    const auto Call = core::unpack<Message>(HttpRequest.Body_);
    Respond({Call ? 200 : 400, {}, "text/plain", {}, false});
    if (Call)
      Handle(*Call);
    else
      core::log(core::LogLevel::Warning, "message from another daemon cannot be decoded",
                {{"path", HttpRequest.Path_}});
  }

  void handleConfigRequest(const http::Request &HttpRequest, const http::Responder &Respond) {
    const auto Call = core::unpack<protocol::ConfigRequest>(HttpRequest.Body_);
    if (!Call) {
      Respond({400, {}, "text/plain", {}, false});
      return;
    }
    ConfigFeed_.answer(*Call, [Respond](const protocol::ConfigReply &Reply) {
      Respond({200, core::pack(Reply), "application/msgpack", {}, false});
    });
  }

  void handleAdvise(const http::Request &HttpRequest, const http::Responder &Respond) {
    const auto Call = core::unpack<protocol::AdviseRequest>(HttpRequest.Body_);
    if (!Call) {
      Respond({400, {}, "text/plain", {}, false});
      return;
    }
    platform::requestAdvice(Client_, Settings_.AdviceAddress_,
                            {Call->JobId_, Call->Occurrence_, Call->Step_, 0}, Call->Executors_,
                            core::Millis(Call->TimeoutMs_),
                            [this, Respond, Call = *Call](
                                const std::optional<std::vector<fleet::AdvisedExecutor>> &Advice) {
                              if (Advice)
                                Leader_.onAdvised(Call, *Advice);
                              protocol::AdviseReply Reply;
                              Reply.Answered_ = Advice.has_value();
                              if (Advice)
                                for (const fleet::AdvisedExecutor &Candidate : *Advice) {
                                  Reply.Executors_.push_back(Candidate.Executor_);
                                  Reply.Tickets_.push_back(Candidate.Ticket_);
                                }
                              Respond({200, core::pack(Reply), "application/msgpack", {}, false});
                            });
  }

  void handlePeerSubmit(const http::Request &HttpRequest, const http::Responder &Respond) {
    auto Call = core::unpack<protocol::SubmitRequest>(HttpRequest.Body_);
    if (!Call) {
      Respond({400, {}, "text/plain", {}, false});
      return;
    }
    EntryService_.submitForPeer(std::move(*Call), [Respond](const protocol::SubmitReply &Reply) {
      Respond({200, core::pack(Reply), "application/msgpack", {}, false});
    });
  }

  void handlePeerStateQuery(const http::Request &HttpRequest, const http::Responder &Respond) {
    const auto Call = core::unpack<protocol::JobStateRequest>(HttpRequest.Body_);
    if (!Call) {
      Respond({400, {}, "text/plain", {}, false});
      return;
    }
    Leader_.queryJobState(Call->JobId_, [Respond](const protocol::JobStateReply &Reply) {
      Respond({200, core::pack(Reply), "application/msgpack", {}, false});
    });
  }

  void removeExpired() {
    const core::TimePoint Now = core::Clock::now();
    ConfigFeed_.expire(Now);
    SpecWriter_.expire(Now);
    RecordWriter_.expire(Now);
    EntryService_.forgetSettledAttempts();
    std::erase_if(Context_.ExecutorEntries_, [&](const auto &Entry) {
      return !Entry.second.Listed_ && Now - Entry.second.ChangedAt_ > UnlistedExecutorRetention;
    });
    ExpiryTimer_.expires_after(ExpiryInterval);
    ExpiryTimer_.async_wait([this](std::error_code Error) {
      if (!Error)
        removeExpired();
    });
  }

  void awaitSignal() {
    Signals_.async_wait([this](std::error_code Error, int Signal) {
      if (Error)
        return;
      awaitSignal();
      if (Signal == SIGHUP)
        reloadSettings();
      else
        stop();
    });
  }

  void reloadSettings() {
    std::ifstream File(SettingsPath_, std::ios::binary);
    std::ostringstream Text;
    Text << File.rdbuf();
    platform::MachineSettings NewSettings;
    std::string ParseError;
    if (!platform::decodeSettings(Text.str(), NewSettings, ParseError)) {
      core::log(core::LogLevel::Warning, "settings are invalid, keeping the current ones",
                {{"mistake", ParseError}});
      return;
    }
    Settings_.AdviceAddress_ = NewSettings.AdviceAddress_;
    Settings_.StopGraceMs_ = NewSettings.StopGraceMs_;
    core::log(core::LogLevel::Info, "settings reloaded");
  }

  void stop() {
    if (Context_.Stopping_)
      return;
    Context_.Stopping_ = true;
    StopStartedAt_ = core::Clock::now();
    core::log(core::LogLevel::Info, "stopping",
              {{"open_requests", std::to_string(EntryService_.openRequests())},
               {"leading", Leader_.leading() ? "true" : "false"}});
    Leader_.release();
    awaitIdle();
  }

  void awaitIdle() {
    const core::Duration Elapsed = core::Clock::now() - StopStartedAt_;
    const bool Idle = EntryService_.openRequests() == 0 && SpecWriter_.idle() &&
                      RecordWriter_.idle() && Leader_.released();
    if ((Idle && Elapsed >= MinStopTime) ||
        Elapsed >= core::Millis(Settings_.StopGraceMs_) - StopMargin) {
      Loop_.stop();
      return;
    }
    StopTimer_.expires_after(StopPollInterval);
    StopTimer_.async_wait([this](std::error_code Error) {
      if (!Error)
        awaitIdle();
    });
  }

  platform::MachineSettings Settings_;
  const std::string SettingsPath_;
  const MachineShares Shares_;
  asio::io_context Loop_{1};
  http::LoopClient Client_;
  platform::Store Store_;
  FleetContext Context_;
  TopicTail JobTail_;
  TopicTail SpecTail_;
  ConfigFeed ConfigFeed_;
  TopicTail ExecutorTail_;
  JobWriter RecordWriter_;
  JobWriter SpecWriter_;
  LeaderDriver Leader_;
  OrderRelay OrderRelay_;
  EntryService EntryService_;
  http::Server CallerServer_;
  http::Server ReadyServer_;
  http::Server PeerServer_;
  asio::signal_set Signals_;
  asio::steady_timer ExpiryTimer_;
  asio::steady_timer StopTimer_;
  core::TimePoint StopStartedAt_{};
  /// Rejected part of each entry that names no executor to use, by key.
  std::map<std::string, std::string_view> RejectedEntries_;
};

} // namespace

bool runFleetDaemon(const platform::MachineSettings &Settings, const std::string &SettingsPath) {
  return FleetDaemon(Settings, SettingsPath).run();
}

} // namespace masticdrift::daemon
