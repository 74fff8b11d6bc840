#include "masticdrift/settings/Settings.h"

#include <algorithm>
#include <array>
#include <set>

namespace masticdrift::settings {

namespace {

using core::ErrorKind;
using core::Millis;

/// Gets and sets one setting as an integer, independent of its type in the struct.
struct IntegerAccessor {
  std::int64_t (*Get_)(const Settings &);
  void (*Set_)(Settings &, std::int64_t);
};

template <auto Section, auto Member> constexpr IntegerAccessor accessor() {
  return {[](const Settings &Source) {
            const auto &Value = Source.*Section.*Member;
            if constexpr (requires { Value.count(); })
              return static_cast<std::int64_t>(Value.count());
            else
              return static_cast<std::int64_t>(Value);
          },
          [](Settings &Target, std::int64_t Number) {
            auto &Value = Target.*Section.*Member;
            Value = static_cast<std::remove_reference_t<decltype(Value)>>(Number);
          }};
}

/// Description of an optional integer setting.
struct IntegerSetting {
  std::string_view Section_, Name_, Unit_;
  std::int64_t Min_, Max_;
  IntegerAccessor Accessor_;
  std::string_view Help_;
};

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t HourMs = 3'600'000;
constexpr std::int64_t YearMs = HourMs * 24 * 365;

#define MASTICDRIFT_TIMING(Name, Member, Min, Max, Help)                                           \
  IntegerSetting {                                                                                 \
    "timing", Name, "ms", Min, Max, accessor<&Settings::Timing_, &Timing::Member>(), Help          \
  }

const std::array IntegerSettings{
    IntegerSetting{"caller", "port", "", 0, MaxPort,
                   accessor<&Settings::Caller_, &CallerListener::Port_>(),
                   "port for callers; 0 lets the kernel choose"},
    IntegerSetting{"caller", "threads", "threads", 1, 256,
                   accessor<&Settings::Caller_, &CallerListener::Threads_>(),
                   "threads that serve callers"},
    IntegerSetting{"caller", "max_body_bytes", "bytes", 1024, 64 << 20,
                   accessor<&Settings::Caller_, &CallerListener::MaxBodyBytes_>(),
                   "largest request body"},
    IntegerSetting{"caller", "read_timeout_ms", "ms", 100, HourMs,
                   accessor<&Settings::Caller_, &CallerListener::ReadTimeout_>(),
                   "time for one whole request to arrive"},
    IntegerSetting{"operator", "port", "", 0, MaxPort,
                   accessor<&Settings::Operator_, &OperatorListener::Port_>(),
                   "port for operators; 0 lets the kernel choose"},
    IntegerSetting{"peer", "port", "", 0, MaxPort,
                   accessor<&Settings::Peer_, &PeerListener::Port_>(),
                   "port for other daemons; 0 lets the kernel choose"},
    MASTICDRIFT_TIMING("probe_own_domain_ms", ProbeOwnDomain_, 10, HourMs,
                       "between probes to a member of the own domain"),
    MASTICDRIFT_TIMING("probe_other_domain_ms", ProbeOtherDomain_, 10, HourMs,
                       "between probes to each other domain"),
    MASTICDRIFT_TIMING("owner_lease_ms", OwnerLease_, 100, HourMs,
                       "ownership lease and promises, from the send time of a renewal"),
    MASTICDRIFT_TIMING("owner_renew_ms", OwnerRenew_, 10, HourMs,
                       "between renewals of the ownership lease"),
    MASTICDRIFT_TIMING(
        "lease_margin_ms", LeaseMargin_, 10, HourMs,
        "margin for clock drift and pauses, added by whoever waits for a lease's end"),
    MASTICDRIFT_TIMING("store_give_up_ms", StoreGiveUp_, 100, HourMs,
                       "an owner without the store this long lets its lease expire"),
    MASTICDRIFT_TIMING("store_reachable_ms", StoreReachable_, 100, HourMs,
                       "a member with a store age below this counts as reaching the store"),
    MASTICDRIFT_TIMING("configuration_fresh_ms", ConfigurationFresh_, 100, HourMs,
                       "keyed work is accepted while the configuration is at most this old"),
    MASTICDRIFT_TIMING("poll_stream_ms", PollStream_, 10, HourMs, "between reads of a log stream"),
    MASTICDRIFT_TIMING("poll_instances_ms", PollInstances_, 10, HourMs,
                       "between reads of the instance list"),
    MASTICDRIFT_TIMING("store_timeout_ms", StoreTimeout_, 10, HourMs,
                       "one exchange with the log service or the instance list"),
    MASTICDRIFT_TIMING("batch_close_ms", BatchClose_, 0, HourMs,
                       "a group commit closes after this time"),
    MASTICDRIFT_TIMING("store_retention_ms", StoreRetention_, 1000, YearMs,
                       "how long the log keeps records; snapshots are written after half of it"),
    MASTICDRIFT_TIMING("default_deadline_ms", DefaultDeadline_, 1, HourMs,
                       "deadline of interactive requests that name none"),
    MASTICDRIFT_TIMING("slot_grace_ms", SlotGrace_, 0, HourMs,
                       "the slot of a request that timed out stays taken this long"),
    MASTICDRIFT_TIMING("idle_connection_ms", IdleConnection_, 1000, HourMs,
                       "idle connections to executors are closed"),
    MASTICDRIFT_TIMING("connection_life_ms", ConnectionLife_, 1000, HourMs,
                       "every connection to an executor is closed after this time"),
    MASTICDRIFT_TIMING("eject_executor_ms", EjectExecutor_, 10, HourMs,
                       "an ejected executor receives its first trial request after this time"),
    MASTICDRIFT_TIMING("worker_lease_ms", WorkerLease_, 100, HourMs, "lease of a worker's tasks"),
    MASTICDRIFT_TIMING("worker_renew_ms", WorkerRenew_, 10, HourMs,
                       "between renewals of a worker's lease"),
    MASTICDRIFT_TIMING("worker_timeout_ms", WorkerTimeout_, 10, HourMs,
                       "one exchange with a worker"),
    MASTICDRIFT_TIMING("quarantine_probe_ms", QuarantineProbe_, 10, HourMs,
                       "between probes of a quarantined worker"),
    MASTICDRIFT_TIMING("evict_member_ms", EvictMember_, 100, HourMs,
                       "a member that no peer has heard from this long is evicted"),
    MASTICDRIFT_TIMING("stop_grace_ms", StopGrace_, 0, HourMs,
                       "a graceful stop waits at most this long for work in flight"),
    IntegerSetting{"limits", "queue_per_team", "requests", 1, 1'000'000,
                   accessor<&Settings::Limits_, &Limits::QueuePerTeam_>(),
                   "interactive requests of one team that may wait"},
    IntegerSetting{"limits", "max_deadline_ms", "ms", 1, HourMs,
                   accessor<&Settings::Limits_, &Limits::MaxDeadline_>(),
                   "longest deadline of an interactive request"},
    IntegerSetting{"limits", "slots_per_executor", "slots", 1, 10'000,
                   accessor<&Settings::Limits_, &Limits::SlotsPerExecutor_>(),
                   "requests at one executor at the same time"},
    IntegerSetting{"limits", "connections_per_executor", "connections", 1, 10'000,
                   accessor<&Settings::Limits_, &Limits::ConnectionsPerExecutor_>(),
                   "connections to one executor"},
    IntegerSetting{"limits", "appends_per_second", "1/s", 1, 10'000,
                   accessor<&Settings::Limits_, &Limits::AppendsPerSecond_>(),
                   "append budget of this daemon"},
    IntegerSetting{"limits", "retry_percent", "%", 0, 100,
                   accessor<&Settings::Limits_, &Limits::RetryPercent_>(),
                   "retries per hundred interactive requests"},
};

#undef MASTICDRIFT_TIMING

constexpr std::int64_t MaxEntryInstances = 10'000;
constexpr std::array<std::string_view, 4> LogLevels{"debug", "info", "warning", "error"};

std::vector<SettingInfo> buildTable() {
  const Settings Defaults;
  const auto Quote = [](const std::string &Text) { return "\"" + Text + "\""; };
  std::vector<SettingInfo> Table;
  const auto Text = [&](std::string Pointer, std::string Default, std::string_view Help,
                        std::string_view Type = "string") {
    Table.push_back({std::move(Pointer), Type, "", {}, {}, std::move(Default), Help});
  };
  const auto Section = [&](std::string_view Name) {
    for (const IntegerSetting &Row : IntegerSettings)
      if (Row.Section_ == Name)
        Table.push_back({"/" + std::string(Name) + "/" + std::string(Row.Name_), "integer",
                         Row.Unit_, Row.Min_, Row.Max_,
                         std::to_string(Row.Accessor_.Get_(Defaults)), Row.Help_});
  };
  Text("/instance/name", "", "name of this instance, as in the instance list");
  Text("/instance/domain", "", "failure domain of this instance, one of /fleet/domains");
  Text("/instance/region", "", "region of that domain");
  Text("/fleet/name", "", "name of the fleet, as in the configuration text");
  Table.push_back({"/fleet/entry_instances", "integer", "instances", 1, MaxEntryInstances, "",
                   "number of daemons of the whole fleet"});
  Text("/fleet/domains/*/name", "", "name of a failure domain");
  Text("/fleet/domains/*/region", "", "region of that domain");
  Text("/caller/address", Quote(Defaults.Caller_.Address_), "IP address for callers");
  Section("caller");
  Text("/operator/address", Quote(Defaults.Operator_.Address_), "IP address for operators");
  Section("operator");
  Text("/operator/key_hashes/*", "[]", "SHA-256 of an operator key, 64 hexadecimal digits");
  Text("/peer/address", Quote(Defaults.Peer_.Address_), "IP address for other daemons");
  Section("peer");
  Text("/platform/log_url", "", "base URL of the log service");
  Text("/platform/instances_url", "", "base URL of the instance list");
  Text("/routes/*", "{}", "\"host:port\" that replaces the peer address of the named instance");
  Section("timing");
  Section("limits");
  Text("/log_level", Quote(Defaults.LogLevel_), "lowest level written: debug, info, warning, error",
       "choice");
  return Table;
}

std::string readNonEmptyString(const Node &Parent, std::string_view Name) {
  const Node Value = Parent.required(Name);
  std::string Text = Value.asString("?");
  if (Text.empty())
    Value.fail(ErrorKind::OutOfRange, "must not be empty");
  return Text;
}

std::string readUrl(const Node &Parent, std::string_view Name) {
  const Node Value = Parent.required(Name);
  std::string Text = Value.asString();
  if (Value.present() && !Text.starts_with("http://") && !Text.starts_with("https://"))
    Value.fail(ErrorKind::OutOfRange, "expected a URL with http:// or https://");
  while (Text.ends_with('/'))
    Text.pop_back();
  return Text;
}

bool isHostPort(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  const std::string_view Port = Text.substr(Colon + 1);
  if (Port.empty() || Port.size() > 5 ||
      !std::ranges::all_of(Port, [](char C) { return C >= '0' && C <= '9'; }))
    return false;
  const int Number = std::stoi(std::string(Port));
  return Number >= 1 && Number <= MaxPort;
}

bool isSha256Hex(std::string_view Text) {
  return Text.size() == 64 && std::ranges::all_of(Text, [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

void readFleet(const Node &Root, Settings &Out) {
  const Node Fleet = Root.required("fleet");
  Out.Fleet_.Name_ = readNonEmptyString(Fleet, "name");
  Out.Fleet_.EntryInstances_ = Fleet.integer("entry_instances", 1, MaxEntryInstances);
  const Node Domains = Fleet.required("domains");
  std::set<std::string> SeenNames;
  for (const Node &DomainObject : Domains.items()) {
    Out.Fleet_.Domains_.push_back(
        {readNonEmptyString(DomainObject, "name"), readNonEmptyString(DomainObject, "region")});
    const std::string &Name = Out.Fleet_.Domains_.back().Name_;
    if (!SeenNames.insert(Name).second)
      DomainObject.optional("name").fail(ErrorKind::OutOfRange,
                                         "domain \"" + Name + "\" appears twice");
  }
  if (Domains.present() && Out.Fleet_.Domains_.empty())
    Domains.fail(ErrorKind::OutOfRange, "expected at least one domain");
}

void readInstance(const Node &Root, Settings &Out) {
  const Node Instance = Root.required("instance");
  Out.Instance_ = {readNonEmptyString(Instance, "name"), readNonEmptyString(Instance, "domain"),
                   readNonEmptyString(Instance, "region")};
  const Node Domain = Instance.optional("domain");
  if (!Domain.present() || Out.Fleet_.Domains_.empty())
    return;
  const auto Found =
      std::ranges::find(Out.Fleet_.Domains_, Out.Instance_.Domain_, &FleetDomain::Name_);
  if (Found == Out.Fleet_.Domains_.end()) {
    std::vector<std::string_view> Names;
    for (const FleetDomain &ListedDomain : Out.Fleet_.Domains_)
      Names.emplace_back(ListedDomain.Name_);
    const std::string_view Nearest = nearestName(Out.Instance_.Domain_, Names);
    Domain.fail(ErrorKind::OutOfRange,
                "\"" + Out.Instance_.Domain_ + "\" is not in /fleet/domains" +
                    (Nearest.empty() ? "" : ", nearest is \"" + std::string(Nearest) + "\""));
  } else if (Instance.optional("region").present() && Found->Region_ != Out.Instance_.Region_) {
    Instance.optional("region").fail(ErrorKind::OutOfRange, "domain \"" + Found->Name_ +
                                                                "\" is in region \"" +
                                                                Found->Region_ + "\"");
  }
}

/// Checks settings against each other, so that no lease ends before its renewal or outlasts the
/// checks on it.
void checkUpperBounds(const Node &Root, const Settings &Parsed) {
  struct UpperBound {
    std::string_view Section_, Name_, BoundName_;
    Millis Value_, Bound_;
    std::string_view Reason_;
  };
  const Timing &T = Parsed.Timing_;
  const std::array UpperBounds{
      UpperBound{"timing", "owner_renew_ms", "half of owner_lease_ms", T.OwnerRenew_,
                 T.OwnerLease_ / 2, "one lost renewal would end the lease"},
      UpperBound{"timing", "probe_own_domain_ms", "half of owner_lease_ms", T.ProbeOwnDomain_,
                 T.OwnerLease_ / 2, "probes carry the promises that renew the lease"},
      UpperBound{"timing", "lease_margin_ms", "owner_lease_ms", T.LeaseMargin_, T.OwnerLease_,
                 "the margin is a part of the lease"},
      UpperBound{"timing", "worker_renew_ms", "half of worker_lease_ms", T.WorkerRenew_,
                 T.WorkerLease_ / 2, "one lost renewal would stop the worker's tasks"},
      UpperBound{"timing", "poll_stream_ms", "half of configuration_fresh_ms", T.PollStream_,
                 T.ConfigurationFresh_ / 2, "the configuration would go stale between reads"},
      UpperBound{"timing", "store_reachable_ms", "store_give_up_ms", T.StoreReachable_,
                 T.StoreGiveUp_,
                 "an owner would give up while members still count as reaching the store"},
      UpperBound{"timing", "default_deadline_ms", "limits/max_deadline_ms", T.DefaultDeadline_,
                 Parsed.Limits_.MaxDeadline_, "the default deadline must be allowed"},
      UpperBound{"timing", "idle_connection_ms", "connection_life_ms", T.IdleConnection_,
                 T.ConnectionLife_, "a connection must not idle longer than its lifetime"},
  };
  for (const UpperBound &Check : UpperBounds)
    if (Check.Value_ > Check.Bound_)
      Root.optional(Check.Section_)
          .optional(Check.Name_)
          .fail(ErrorKind::OutOfRange, std::to_string(Check.Value_.count()) + " is more than " +
                                           std::string(Check.BoundName_) + " (" +
                                           std::to_string(Check.Bound_.count()) +
                                           "): " + std::string(Check.Reason_));
}

} // namespace

std::span<const SettingInfo> settingTable() {
  static const std::vector<SettingInfo> Table = buildTable();
  return Table;
}

std::string settingTableMarkdown() {
  std::string Table = "| setting | type | unit | range | default | meaning |\n"
                      "| --- | --- | --- | --- | --- | --- |\n";
  for (const SettingInfo &Row : settingTable()) {
    const std::string Range =
        Row.Min_ ? std::to_string(*Row.Min_) + ".." + std::to_string(*Row.Max_) : "";
    Table += "| `" + Row.Pointer_ + "` | " + std::string(Row.Type_) + " | " +
             std::string(Row.Unit_) + " | " + Range + " | " +
             (Row.Default_.empty() ? std::string("required") : "`" + Row.Default_ + "`") + " | " +
             std::string(Row.Help_) + " |\n";
  }
  return Table;
}

ParsedSettings parse(std::string_view Text) {
  Reader Reader(Text);
  const Node Root = Reader.root();
  ParsedSettings Out;
  Settings &Result = Out.Settings_;
  readFleet(Root, Result);
  readInstance(Root, Result);
  const Node Platform = Root.required("platform");
  Result.Platform_ = {readUrl(Platform, "log_url"), readUrl(Platform, "instances_url")};

  const std::size_t ErrorCountBefore = Reader.errorCount();
  for (const IntegerSetting &Row : IntegerSettings)
    Row.Accessor_.Set_(Result,
                       Root.optional(Row.Section_)
                           .integer(Row.Name_, Row.Min_, Row.Max_, Row.Accessor_.Get_(Result)));
  const bool IntegersValid = Reader.errorCount() == ErrorCountBefore;
  Result.Caller_.Address_ = Root.optional("caller").string("address", Result.Caller_.Address_);
  Result.Operator_.Address_ =
      Root.optional("operator").string("address", Result.Operator_.Address_);
  Result.Peer_.Address_ = Root.optional("peer").string("address", Result.Peer_.Address_);
  for (const Node &HashNode : Root.optional("operator").optional("key_hashes").items()) {
    Result.Operator_.KeyHashes_.push_back(HashNode.asString(std::string(64, '0')));
    if (!isSha256Hex(Result.Operator_.KeyHashes_.back()))
      HashNode.fail(ErrorKind::OutOfRange,
                    "expected a SHA-256 hash of 64 lower-case hexadecimal digits");
  }
  for (const auto &[Name, RouteNode] : Root.optional("routes").members()) {
    Result.Routes_[Name] = RouteNode.asString("unset:1");
    if (!isHostPort(Result.Routes_[Name]))
      RouteNode.fail(ErrorKind::OutOfRange, "expected \"host:port\"");
  }
  Result.LogLevel_ = Root.optional("log_level").asChoice(LogLevels, Result.LogLevel_);
  if (IntegersValid)
    checkUpperBounds(Root, Result);
  Out.Errors_ = Reader.finish();
  return Out;
}

} // namespace masticdrift::settings
