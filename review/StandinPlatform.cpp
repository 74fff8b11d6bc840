#include "review/StandinPlatform.h"

#include "platform/Store.h"

#include <algorithm>
#include <csignal>
#include <iostream>

#include <fcntl.h>
#include <openssl/evp.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace masticdrift::review {

namespace {

using standins::HttpStub;
using standins::jsonReply;
using standins::ReplyMode;
using standins::runAfter;

constexpr std::size_t RecordBytes = 262'144;
constexpr std::size_t CallBytes = 2'097'152;
constexpr std::size_t PageItems = 500;
constexpr std::size_t PageBytes = 1U << 20U;
constexpr std::size_t EndsPerReport = 500;
constexpr std::size_t RepeatsKnown = 5;
constexpr Millis AppendTime{3};
constexpr Millis Heartbeat{1500};
constexpr int HeartbeatsToExpire = 3;
constexpr Millis StopTime{100};
constexpr std::int64_t MaxLeaseMs = 10'000;
constexpr const char *Key = "k-6f1c02";
constexpr const char *Host = "queue.example";

std::int64_t wallMs() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string bigEndian(std::uint64_t Value) {
  std::string Out;
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Out += static_cast<char>((Value >> static_cast<unsigned>(Shift)) & 0xffU);
  return Out;
}

std::string base64(const std::string &Bytes) {
  std::string Out(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  Out.resize(static_cast<std::size_t>(EVP_EncodeBlock(
      reinterpret_cast<unsigned char *>(Out.data()),
      reinterpret_cast<const unsigned char *>(Bytes.data()), static_cast<int>(Bytes.size()))));
  return Out;
}

std::vector<platform::KeyedRecord> decodeRecords(const std::string &Body) {
  return platform::decodeRead(bigEndian(0) + bigEndian(0) + Body, 0).Records_;
}

std::uint64_t queryNumber(const http::Request &Incoming, std::string_view Name,
                          std::uint64_t Default = 0) {
  const std::string Text = http::queryValue(Incoming.Query_, Name);
  return Text.empty() ? Default : std::stoull(Text);
}

Reply noAnswer() {
  Reply Out;
  Out.Mode_ = ReplyMode::Hang;
  return Out;
}

/// \returns a port that is free now, below those of outgoing connections.
std::uint16_t freePort() {
  constexpr int First = 10'000;
  constexpr int Range = 20'000;
  static int Next = static_cast<int>(getpid()) * 61 % Range;
  for (int Tried = 0; Tried < Range; ++Tried) {
    const auto Port = static_cast<std::uint16_t>(First + Next);
    Next = (Next + 1) % Range;
    asio::io_context Io;
    asio::ip::tcp::acceptor Acceptor(Io, asio::ip::tcp::v4());
    std::error_code Error;
    Acceptor.bind({asio::ip::address_v4::loopback(), Port}, Error);
    if (!Error)
      return Port;
  }
  throw std::runtime_error("no free port");
}

std::string loopback(std::uint16_t Port) { return "127.0.0.1:" + std::to_string(Port); }

/// \returns the run time of a task, by a payload "ms=N" or "ms=N-M"; 100 ms without one.
Millis runTimeOf(const std::string &Payload, const std::string &Task) {
  if (!Payload.starts_with("ms="))
    return Millis(100);
  const int Shortest = std::stoi(Payload.substr(3));
  const std::size_t Dash = Payload.find('-');
  if (Dash == std::string::npos)
    return Millis(Shortest);
  const int Longest = std::stoi(Payload.substr(Dash + 1));
  const auto Spread = static_cast<std::size_t>(Longest) - static_cast<std::size_t>(Shortest) + 1;
  return Millis(Shortest + static_cast<int>(std::hash<std::string>{}(Task) % Spread));
}

Json manifest(const Json &UpperLimit) {
  Json Tenant{{"name", "coop"}, {"api_keys", {Key}}, {"weight", 100}};
  if (!UpperLimit.is_null())
    Tenant["upper_limit"] = UpperLimit;
  return {{"version", 3},
          {"routes",
           {{{"name", "work"},
             {"host", Host},
             {"path_prefix", QueuePath},
             {"service", "desk"},
             {"priority", 0},
             {"max_attempts", 3},
             {"stretch", 2.0},
             {"target_completion_ms", 400}}}},
          {"services", {{{"name", "desk"}, {"admission_check", false}}}},
          {"tenants", {Tenant}},
          {"limits", {{"max_body_bytes", 262'144}}}};
}

} // namespace

std::int64_t elapsedMs() {
  static const SteadyTime Begin = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - Begin).count();
}

std::string jobOf(const std::string &Task) { return Task.substr(0, Task.find('.')); }

void Record::note(const std::string &Line) {
  const std::int64_t Now = elapsedMs();
  File_ << Now / 1000 << '.' << std::to_string(1000 + Now % 1000).substr(1) << "  " << Line
        << std::endl;
}

// -- store --

void Store::expire(Topic &Target) const {
  const SteadyTime Oldest = std::chrono::steady_clock::now() - Keep_;
  while (!Target.History_.empty() && Target.History_.front().StoredAt_ < Oldest) {
    Target.History_.pop_front();
    ++Target.First_;
  }
}

void Store::handle(const http::Request &Incoming, const ReplyCallback &Answer) {
  Topic &Target = Topics_[http::queryValue(Incoming.Query_, "topic")];
  expire(Target);
  if (Incoming.Path_ == "/log-append") {
    const Reply Out = append(Target, Incoming);
    runAfter(Io_, AppendTime, [Out, Answer] { Answer(Out); });
  } else if (Incoming.Path_ == "/log-read") {
    read(Target, Incoming, Answer);
  } else if (Incoming.Path_ == "/log-newest") {
    Answer(newestReply(Target, http::queryValue(Incoming.Query_, "depends_on")));
  } else {
    Answer(standins::errorReply(404, "unknown path"));
  }
}

Reply Store::append(Topic &Target, const http::Request &Incoming) {
  const std::vector<platform::KeyedRecord> Records = decodeRecords(Incoming.Body_);
  const bool TooLarge = std::ranges::any_of(Records, [](const platform::KeyedRecord &Added) {
    return 1 + Added.Key_.size() + Added.Value_.size() > RecordBytes;
  });
  if (TooLarge || Incoming.Body_.size() > CallBytes) {
    ++OversizedAppends_;
    LargestRejectedBytes_ = std::max(LargestRejectedBytes_, Incoming.Body_.size());
    return standins::errorReply(400, "the records are too large");
  }
  const std::string At = http::queryValue(Incoming.Query_, "at");
  if (!At.empty() && std::stoull(At) != Target.end())
    return jsonReply({{"end", Target.end()}}, 412);
  const std::string Name = http::queryValue(Incoming.Query_, "producer");
  if (Name.empty())
    return storeRecords(Target, Incoming.Body_);
  const std::uint64_t Epoch = queryNumber(Incoming, "epoch");
  const std::uint64_t Sequence = queryNumber(Incoming, "sequence");
  Producer &Sender = Target.Producers_[Name];
  if (Epoch < Sender.Epoch_)
    return jsonReply({{"reason", "fenced"}}, 409);
  if (Epoch > Sender.Epoch_)
    Sender = {Epoch, Sequence, {}};
  if (Incoming.Body_.empty())
    return jsonReply({{"offset", Target.end()}, {"end", Target.end()}});
  for (const auto &[Number, Earlier] : Sender.Replies_)
    if (Number == Sequence)
      return Earlier;
  if (!Sender.Replies_.empty() && Sequence != Sender.NextSequence_)
    return jsonReply({{"reason", "seq"}, {"sequence", Sender.NextSequence_}}, 409);
  Sender.NextSequence_ = Sequence + 1;
  Sender.Replies_.emplace_back(Sequence, storeRecords(Target, Incoming.Body_));
  if (Sender.Replies_.size() > RepeatsKnown)
    Sender.Replies_.pop_front();
  return Sender.Replies_.back().second;
}

Reply Store::storeRecords(Topic &Target, const std::string &Body) {
  const std::uint64_t Offset = Target.end();
  Target.Bytes_ += Body.size();
  for (platform::KeyedRecord &Added : decodeRecords(Body)) {
    if (Added.Value_.empty())
      Target.Newest_.erase(Added.Key_);
    else
      Target.Newest_[Added.Key_] = {Target.end(), Added.Value_};
    Target.History_.push_back(
        {std::move(Added.Key_), std::move(Added.Value_), std::chrono::steady_clock::now()});
  }
  for (const auto &Resume : std::exchange(Target.Readers_, {}))
    Resume();
  return jsonReply({{"offset", Offset}, {"end", Target.end()}});
}

Reply Store::readReply(Topic &Source, std::uint64_t From, std::size_t MaxBytes) {
  expire(Source);
  if (From < Source.First_)
    return jsonReply({{"first", Source.First_}}, 410);
  std::vector<platform::KeyedRecord> Records;
  std::size_t Bytes = 0;
  for (std::uint64_t I = From; I < Source.end() && (I == From || Bytes < MaxBytes); ++I) {
    const Entry &Stored = Source.History_[I - Source.First_];
    Records.push_back({I, Stored.Key_, Stored.Value_});
    Bytes += Stored.Key_.size() + Stored.Value_.size();
  }
  return {200,
          bigEndian(Source.end()) + bigEndian(Source.First_) + platform::encodeRecords(Records),
          "application/octet-stream"};
}

void Store::read(Topic &Source, const http::Request &Incoming, const ReplyCallback &Answer) {
  const std::uint64_t From = queryNumber(Incoming, "from");
  const std::size_t MaxBytes = queryNumber(Incoming, "max_kb", 1024) << 10U;
  const Millis Wait(queryNumber(Incoming, "wait_ms"));
  if (From < Source.end() || Wait.count() == 0)
    return Answer(readReply(Source, From, MaxBytes));
  const auto Sent = std::make_shared<bool>(false);
  const auto Respond = [this, &Source, From, MaxBytes, Answer, Sent] {
    if (!std::exchange(*Sent, true))
      Answer(readReply(Source, From, MaxBytes));
  };
  Source.Readers_.emplace_back(Respond);
  runAfter(Io_, Wait, Respond);
}

Reply Store::newestReply(const Topic &Source, const std::string &AfterKey) {
  Json Items = Json::array();
  std::size_t Bytes = 0;
  auto Next = AfterKey.empty() ? Source.Newest_.begin() : Source.Newest_.upper_bound(AfterKey);
  for (; Next != Source.Newest_.end() && Items.size() < PageItems && Bytes < PageBytes; ++Next) {
    const auto &[Offset, Value] = Next->second;
    Bytes += Next->first.size() + Value.size();
    Items.push_back({{"key", Next->first}, {"value", base64(Value)}, {"offset", Offset}});
  }
  return jsonReply(
      {{"items", Items}, {"has_more", Next != Source.Newest_.end()}, {"end", Source.end()}});
}

void Store::put(const std::string &Topic, const std::string &Key, const std::string &Value) {
  const std::vector<platform::KeyedRecord> Records{{0, Key, Value}};
  storeRecords(Topics_[Topic], platform::encodeRecords(Records));
}

std::optional<std::string> Store::newest(const std::string &Topic, const std::string &Key) const {
  const auto Found = Topics_.find(Topic);
  if (Found == Topics_.end())
    return std::nullopt;
  const auto Entry = Found->second.Newest_.find(Key);
  return Entry == Found->second.Newest_.end() ? std::nullopt : std::optional(Entry->second.second);
}

std::size_t Store::bytesAppended(const std::string &Topic) const {
  const auto Found = Topics_.find(Topic);
  return Found == Topics_.end() ? 0 : Found->second.Bytes_;
}

// -- executors --

Executor::Executor(asio::io_context &Io, Store &Registry, std::string Id, std::string Zone,
                   int MilliCores, int MemoryMb)
    : Io_(Io), Registry_(Registry), Id_(std::move(Id)), Zone_(std::move(Zone)),
      MilliCores_(MilliCores), MemoryMb_(MemoryMb), BornAt_(std::chrono::steady_clock::now()),
      BornMs_(wallMs()), Server_(Io, 0, [this](http::Request Incoming, ReplyCallback Answer) {
        handle(Incoming, Answer);
      }) {
  announce();
}

void Executor::announce() {
  runAfter(Io_, Heartbeat, [this] { announce(); });
  MissedHeartbeats_ = Silent_ ? MissedHeartbeats_ + 1 : 0;
  if (MissedHeartbeats_ == HeartbeatsToExpire)
    Registry_.put("keyed.servers", Id_, {});
  if (Silent_)
    return;
  const Json Entry{{"service", "desk"},
                   {"address", loopback(Server_.port())},
                   {"zone", Zone_},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"cold_remaining_ms", 0},
                   {"capacity", {{"cpu", MilliCores_}, {"mem_mb", MemoryMb_}, {"gpu", 0}}},
                   {"labels", {"a", "r1-1"}},
                   {"born", BornMs_},
                   {"sequence", ++Sequence_}};
  Registry_.put("keyed.servers", Id_, Entry.dump());
}

std::int64_t Executor::clockMs() const {
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - BornAt_).count();
}

void Executor::handle(const http::Request &Incoming, const ReplyCallback &Answer) {
  if (Silent_)
    return Answer(noAnswer());
  if (http::findHeader(Incoming.Headers_, "X-Masticdrift-Target-Instance") != Id_)
    return Answer(standins::errorReply(421, "another executor"));
  standins::withJson(Incoming, Answer, [&](const Json &Order) {
    const auto Token = Order.value("fencing_token", std::uint64_t{0});
    if (Token < Fence_)
      return Answer(jsonReply({{"clock_ms", clockMs()}, {"reason", "fence"}}, 409));
    Fence_ = Token;
    if (Incoming.Path_ == "/hold")
      hold(Order, Answer);
    else if (Incoming.Path_ == "/run-start")
      Answer(start(Order));
    else if (Incoming.Path_ == "/run-stop")
      Answer(stop(Order));
    else
      Answer(jsonReply({{"clock_ms", clockMs()}}));
  });
}

void Executor::renew(const Json &Order) {
  const std::int64_t Until =
      std::min(Order.value("until_ms", std::int64_t{0}), clockMs() + MaxLeaseMs);
  if (Until <= LeaseEndMs_)
    return;
  LeaseEndMs_ = Until;
  runAfter(Io_, Millis(std::max<std::int64_t>(Until - clockMs(), 1)), [this] { checkLease(); });
}

void Executor::checkLease() {
  if (clockMs() < LeaseEndMs_)
    return;
  while (!Running_.empty())
    end(Running_.begin()->first, "lapsed");
}

Reply Executor::start(const Json &Order) {
  const auto Name = Order.at("task").get<std::string>();
  const auto Run = Order.at("run").get<std::uint64_t>();
  const auto Reject = [this](const char *Reason) {
    return jsonReply({{"clock_ms", clockMs()}, {"reason", Reason}}, 409);
  };
  renew(Order);
  if (const auto Last = LastEnded_.find(Name); Last != LastEnded_.end() && Run <= Last->second)
    return Reject("old");
  if (clockMs() >= LeaseEndMs_)
    return Reject("late");
  if (const auto Present = Running_.find(Name); Present != Running_.end())
    return Seen_[Present->second.SeenIndex_].Run_ == Run ? jsonReply({{"clock_ms", clockMs()}})
                                                         : Reject("old");
  const auto Payload = Order.value("spec", std::string());
  const Millis RunTime = runTimeOf(Payload, Name);
  Running_[Name] = {Seen_.size(), std::chrono::steady_clock::now(), RunTime};
  Seen_.push_back({Name, Run, Id_, elapsedMs(), -1, {}, -1});
  runAfter(Io_, RunTime, [this, Name, Run] {
    const auto Found = Running_.find(Name);
    if (Found != Running_.end() && Seen_[Found->second.SeenIndex_].Run_ == Run)
      end(Name, "done");
  });
  return jsonReply({{"clock_ms", clockMs()}});
}

Reply Executor::stop(const Json &Order) {
  const auto Name = Order.at("task").get<std::string>();
  const auto Run = Order.at("run").get<std::uint64_t>();
  LastEnded_[Name] = std::max(LastEnded_[Name], Run);
  runAfter(Io_, StopTime, [this, Name, Run] {
    const auto Found = Running_.find(Name);
    if (Found != Running_.end() && Seen_[Found->second.SeenIndex_].Run_ <= Run)
      end(Name, "stopped");
  });
  return jsonReply({{"clock_ms", clockMs()}});
}

void Executor::end(const std::string &Name, const char *How) {
  const auto Node = Running_.extract(Name);
  SeenRun &Ended = Seen_[Node.mapped().SeenIndex_];
  Ended.EndedMs_ = elapsedMs();
  Ended.How_ = How;
  LastEnded_[Name] = std::max(LastEnded_[Name], Ended.Run_);
  Ended_.emplace_back(NextEnd_++, Node.mapped().SeenIndex_);
  for (const auto &Resume : std::exchange(Waiting_, {}))
    Resume();
}

Reply Executor::report() const {
  Json Running = Json::array();
  for (const auto &[Name, Present] : Running_) {
    const auto Age =
        std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - Present.StartedAt_);
    const auto Percent =
        std::min<std::int64_t>(99, 100 * Age / std::max(Present.RunTime_, Millis(1)));
    Running.push_back(Json::array({Name, Seen_[Present.SeenIndex_].Run_, "", Percent, 100}));
  }
  Json Ended = Json::array();
  for (const auto &[Number, Index] : Ended_) {
    if (Ended.size() == EndsPerReport)
      break;
    Ended.push_back(
        Json::array({Number, Seen_[Index].Task_, Seen_[Index].Run_, Seen_[Index].How_, ""}));
  }
  return jsonReply(
      {{"clock_ms", clockMs()}, {"born", BornMs_}, {"running", Running}, {"ended", Ended}});
}

void Executor::hold(const Json &Order, const ReplyCallback &Answer) {
  const auto SeenUpTo = Order.value("seen_upto", std::uint64_t{0});
  while (!Ended_.empty() && Ended_.front().first <= SeenUpTo) {
    Seen_[Ended_.front().second].NotedMs_ = elapsedMs();
    Ended_.pop_front();
  }
  renew(Order);
  const Millis Wait(Order.value("wait_ms", 0));
  if (Wait.count() == 0 || !Ended_.empty())
    return Answer(report());
  const auto Sent = std::make_shared<bool>(false);
  const auto Respond = [this, Answer, Sent] {
    if (!std::exchange(*Sent, true))
      Answer(Silent_ ? noAnswer() : report());
  };
  Waiting_.emplace_back(Respond);
  runAfter(Io_, Wait, Respond);
}

// -- site --

void Site::advise(const http::Request &Incoming, const ReplyCallback &Answer) {
  standins::withJson(Incoming, Answer, [&](const Json &Call) {
    Json Good = Json::array();
    for (const Json &Worker : Call.at("workers"))
      Good.push_back(Json::array({Worker, "ticket"}));
    Answer(jsonReply({{"good", Good}}));
  });
}

Site::Site(const SiteOptions &Options, Record &Log)
    : Log_(Log), Program_(Options.Daemon_), Store_(Io_, Options.Keep_),
      Client_(Io_, std::chrono::seconds(10), 100),
      Advice_(Io_, 0, [](const http::Request &Incoming, const ReplyCallback &Answer) {
        advise(Incoming, Answer);
      }) {
  Store_.put("keyed.op", "config", manifest(Options.UpperLimit_).dump());
  for (int I = 0; I < Options.Executors_; ++I)
    Executors_.push_back(std::make_unique<Executor>(
        Io_, Store_, "x" + std::to_string(100 + I),
        Options.Zones_[static_cast<std::size_t>(I) % Options.Zones_.size()], Options.MilliCores_,
        Options.MemoryMb_));
  for (std::size_t I = 0; I < Options.Zones_.size(); ++I)
    addDaemon(Options, I);
}

void Site::addDaemon(const SiteOptions &Options, std::size_t Index) {
  auto Added = std::make_unique<Daemon>();
  Daemon &New = *Added;
  Daemons_.push_back(std::move(Added));
  New.Name_ = "public-" + Options.Zones_[Index] + "-" + std::to_string(Index + 1);
  New.Frontend_ = loopback(freePort());
  New.Ready_ = loopback(freePort());
  const std::uint16_t Internal = freePort();
  New.Peer_ = loopback(Internal);
  New.StoreLink_ = std::make_unique<HttpStub>(
      Io_, 0, [this, &New](const http::Request &Incoming, const ReplyCallback &Answer) {
        if (New.Cut_)
          return Answer(noAnswer());
        // What was asked before a cut is not answered during it either.
        Store_.handle(Incoming, [&New, Answer](Reply Out) {
          Answer(New.Cut_ ? noAnswer() : std::move(Out));
        });
      });
  Json Zones = Json::object();
  for (const std::string &Zone : Options.Zones_)
    Zones[Zone] = "punjab";
  const Json Settings{{"node_name", New.Name_},
                      {"role", "daemon"},
                      {"machine_class", "public"},
                      {"serves", {"public"}},
                      {"ip", "127.0.0.1"},
                      {"zone", Options.Zones_[Index]},
                      {"region", "punjab"},
                      {"zones", Zones},
                      {"bind_addresses", {{"frontend", New.Frontend_}, {"ready", New.Ready_}}},
                      {"internal_ports", {Internal, Internal}},
                      {"bootstrap", true},
                      {"limits",
                       {{"cpu_share", 0.25},
                        {"cores", 1},
                        {"memory_mb", 260},
                        {"max_fds", 4100},
                        {"link_mbps", 1000.0}}},
                      {"heartbeat_ms", Heartbeat.count()},
                      {"contracts",
                       {"base", "drain", "config", "cost", "recover", "sched", "tenants", "quota",
                        "platform", "advice", "upkeep", "sharing"}},
                      {"bounds",
                       {{"contact_ms", 3000},
                        {"ack_ms", 4000},
                        {"grace_s", 6},
                        {"hold_max_ms", MaxLeaseMs},
                        {"stop_ms", 200},
                        {"gang_ms", 3000},
                        {"cancel_ms", 3000},
                        {"visible_ms", 3000},
                        {"early_ms", 250},
                        {"finish_s", 14},
                        {"status_s", Options.StatusSeconds_}}},
                      {"orders", "invoke"},
                      {"advice", loopback(Advice_.port())},
                      {"platform",
                       {{"address", loopback(New.StoreLink_->port())},
                        {"form", "log"},
                        {"parts", 16},
                        {"record_bytes", RecordBytes},
                        {"call_bytes", CallBytes},
                        {"keep_s", Options.Keep_.count() / 1000}}}};
  New.SettingsFile_ = Options.Folder_ + "/" + New.Name_ + ".json";
  New.OutputFile_ = Options.Folder_ + "/" + New.Name_ + ".log";
  std::ofstream(New.SettingsFile_) << Settings.dump(1);
  launch(Index);
}

void Site::launch(std::size_t Daemon) {
  const std::string &Settings = Daemons_[Daemon]->SettingsFile_;
  const std::string &Output = Daemons_[Daemon]->OutputFile_;
  const pid_t Started = fork();
  if (Started == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("MASTICDRIFT_SETTINGS", Settings.c_str(), 1);
    const int Log = open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    execl(Program_.c_str(), Program_.c_str(), "--platform", nullptr);
    _exit(127);
  }
  Daemons_[Daemon]->Process_ = Started;
  Log_.note("daemon " + Daemons_[Daemon]->Name_ + " started");
}

Site::~Site() {
  for (std::size_t I = 0; I < Daemons_.size(); ++I)
    kill(I);
}

void Site::run(Millis Time) {
  Io_.restart();
  Io_.run_for(Time);
}

bool Site::await(Millis Timeout, const std::function<bool()> &Condition) {
  const SteadyTime End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    run(Millis(50));
  }
  return true;
}

http::ClientResult Site::send(const std::string &Method, const std::string &Url,
                              const std::string &Body, http::Headers Headers, Millis Timeout) {
  http::ClientRequest Request;
  Request.Method_ = Method;
  Request.Url_ = "http://" + Url;
  Request.Body_ = Body;
  Request.Headers_ = std::move(Headers);
  Request.Timeout_ = Timeout;
  const auto Shared = std::make_shared<std::optional<http::ClientResult>>();
  Client_.send(std::move(Request),
               [Shared](http::ClientResult Answer) { *Shared = std::move(Answer); });
  Io_.restart();
  while (!*Shared)
    Io_.run_one();
  return std::move(**Shared);
}

int Site::call(std::size_t Daemon, const std::string &Method, const std::string &Path,
               const std::string &Body, std::string *AnswerBody) {
  const http::ClientResult Result = send(Method, Daemons_[Daemon]->Frontend_ + Path, Body,
                                         {{"Host", Host},
                                          {"Content-Type", "application/json"},
                                          {"X-Masticdrift-Request-Deadline", "3000"},
                                          {"Authorization", std::string("Token ") + Key}});
  const int Status = Result.Transfer_ == http::Transfer::Complete ? Result.Answer_.Status_ : 0;
  if (AnswerBody != nullptr)
    *AnswerBody = Result.Answer_.Body_;
  return Status;
}

std::string Site::stateOf(std::size_t Daemon, const std::string &JobId) {
  std::string Body;
  const int Status = call(Daemon, "GET", QueuePath + JobId, {}, &Body);
  return Status == 200 ? Json::parse(Body).value("state", "?") : std::to_string(Status);
}

bool Site::ready(std::size_t Daemon) {
  return send("GET", Daemons_[Daemon]->Ready_ + "/ready", {}, {}).Answer_.Status_ == 200;
}

bool Site::answers(std::size_t Daemon) {
  return send("GET", Daemons_[Daemon]->Ready_ + "/ready", {}, {}, Millis(500)).Transfer_ ==
         http::Transfer::Complete;
}

bool Site::leads(std::size_t Daemon) {
  return alive(Daemon) &&
         send("GET", Daemons_[Daemon]->Peer_ + "/metrics", {}, {})
                 .Answer_.Body_.find("\nmasticdrift_leader 1") != std::string::npos;
}

std::optional<std::size_t> Site::leader() {
  for (std::size_t I = 0; I < Daemons_.size(); ++I)
    if (leads(I))
      return I;
  return std::nullopt;
}

void Site::kill(std::size_t Daemon) {
  pid_t &Process = Daemons_[Daemon]->Process_;
  if (Process <= 0)
    return;
  ::kill(Process, SIGKILL);
  waitpid(Process, nullptr, 0);
  Process = 0;
  Log_.note("daemon " + Daemons_[Daemon]->Name_ + " killed");
}

void Site::terminate(std::size_t Daemon) {
  ::kill(Daemons_[Daemon]->Process_, SIGTERM);
  Log_.note("daemon " + Daemons_[Daemon]->Name_ + " gets SIGTERM");
}

void Site::freeze(std::size_t Daemon, bool Frozen) {
  ::kill(Daemons_[Daemon]->Process_, Frozen ? SIGSTOP : SIGCONT);
  Log_.note("daemon " + Daemons_[Daemon]->Name_ + (Frozen ? " freezes" : " wakes"));
}

bool Site::alive(std::size_t Daemon) {
  pid_t &Process = Daemons_[Daemon]->Process_;
  if (Process > 0 && waitpid(Process, nullptr, WNOHANG) == Process) {
    Process = 0;
    Log_.note("daemon " + Daemons_[Daemon]->Name_ + " has ended by itself");
  }
  return Process > 0;
}

void Site::cutFromStore(std::size_t Daemon, bool Cut) {
  Daemons_[Daemon]->Cut_ = Cut;
  Log_.note("daemon " + Daemons_[Daemon]->Name_ +
            (Cut ? " is cut off from the store" : " reaches the store again"));
}

} // namespace masticdrift::review
