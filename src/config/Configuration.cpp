#include "masticdrift/config/Configuration.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

namespace masticdrift::config {

namespace {

using core::ErrorKind;
using nlohmann::json;
using settings::Node;

// The limits keep the products in splitAmount() within 63 bits: 10^10 times 10^5.
constexpr std::int64_t MaxWeight = 100'000;
constexpr std::int64_t MaxAmount = 10'000'000'000;
constexpr std::int64_t MaxReplicas = 100'000;
constexpr std::size_t MaxNameLength = 63;
constexpr std::array<std::string_view, 3> QueueClassNames{"interactive", "batch", "urgent"};

template <typename T> const T *findByName(const std::vector<T> &Elements, std::string_view Name) {
  const auto Found = std::ranges::find(Elements, Name, &T::Name_);
  return Found == Elements.end() ? nullptr : &*Found;
}

std::string quote(std::string_view Text) { return "\"" + std::string(Text) + "\""; }

/// Reads a name. Names are parts of job ids, paths and stream names, so only lower-case letters,
/// digits and hyphens are allowed.
std::string readName(const Node &Parent, std::string_view Key) {
  const Node Value = Parent.required(Key);
  std::string Name = Value.asString();
  if (!Value.present() || Name.empty()) {
    if (Value.present())
      Value.fail(ErrorKind::OutOfRange, "must not be empty");
    return Name;
  }
  const bool Valid =
      Name.size() <= MaxNameLength && Name.front() != '-' && std::ranges::all_of(Name, [](char C) {
        return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
      });
  if (!Valid)
    Value.fail(ErrorKind::OutOfRange, "expected at most " + std::to_string(MaxNameLength) +
                                          " lower-case letters, digits and hyphens");
  return Name;
}

template <typename T> std::vector<std::string_view> namesOf(const std::vector<T> &Elements) {
  std::vector<std::string_view> Names;
  Names.reserve(Elements.size());
  for (const T &Element : Elements)
    Names.emplace_back(Element.Name_);
  return Names;
}

/// References by name, which are checked after all elements have been read.
class References {
public:
  void add(Node Value, std::string Name) {
    References_.emplace_back(std::move(Value), std::move(Name));
  }

  template <typename T>
  void check(const std::vector<T> &Elements, std::string_view ElementType, ErrorKind Kind) const {
    const std::vector<std::string_view> Names = namesOf(Elements);
    const std::set<std::string_view> KnownNames(Names.begin(), Names.end());
    for (const auto &[Value, Name] : References_) {
      if (!Value.present() || Name.empty() || KnownNames.contains(Name))
        continue;
      const std::string_view Nearest = settings::nearestName(Name, Names);
      Value.fail(Kind, quote(Name) + " is not a known " + std::string(ElementType) +
                           (Nearest.empty() ? "" : ", nearest is " + quote(Nearest)));
    }
  }

private:
  std::vector<std::pair<Node, std::string>> References_;
};

core::Resources readResources(const Node &Object, bool Required) {
  core::Resources Result;
  if (Required) {
    Result.MilliCores_ = Object.milli("cores", 0, MaxAmount);
    Result.MemoryMb_ = Object.integer("memory_mb", 0, MaxAmount);
  } else {
    Result.MilliCores_ = Object.milli("cores", 0, MaxAmount, 0);
    Result.MemoryMb_ = Object.integer("memory_mb", 0, MaxAmount, 0);
  }
  Result.Accelerators_ = Object.integer("accelerators", 0, MaxAmount, 0);
  return Result;
}

/// Reads the elements of one array and reports duplicate names.
template <typename T, typename Read>
void readList(const Node &Root, std::string_view Key, bool Required, std::vector<T> &Out,
              Read ReadOne) {
  const Node List = Root.optional(Key);
  if (Required)
    Root.required(Key);
  std::map<std::string, std::string> PointersByName;
  for (const Node &Element : List.items()) {
    Out.push_back(ReadOne(Element));
    const std::string &Name = Out.back().Name_;
    const auto [FirstUse, Inserted] = PointersByName.emplace(Name, Element.pointer());
    if (!Inserted && !Name.empty())
      Element.optional("name").fail(ErrorKind::OutOfRange,
                                    quote(Name) + " is already the name of " + FirstUse->second);
  }
}

/// Depth-first search for dependency cycles, in the order of the services in the text.
class CycleSearch {
public:
  explicit CycleSearch(const std::vector<Service> &Services) : Services_(Services) {
    for (std::size_t I = 0; I < Services.size(); ++I)
      Index_.emplace(Services[I].Name_, I);
    Marks_.resize(Services.size());
  }

  /// Calls \p OnCycle for every back edge. Iterative, because recursion over a long chain of
  /// dependencies would overflow the stack.
  template <typename Report> void run(Report OnCycle) {
    for (std::size_t Start = 0; Start < Services_.size(); ++Start) {
      if (Marks_[Start] != Mark::Unvisited)
        continue;
      std::vector<std::pair<std::size_t, std::size_t>> Path{{Start, 0}};
      Marks_[Start] = Mark::OnPath;
      while (!Path.empty()) {
        auto &[Current, NextEdge] = Path.back();
        if (NextEdge == Services_[Current].DependsOn_.size()) {
          Marks_[Current] = Mark::Done;
          Path.pop_back();
          continue;
        }
        const std::size_t Edge = NextEdge++;
        const std::size_t Dependent = Current;
        const auto Found = Index_.find(Services_[Dependent].DependsOn_[Edge]);
        if (Found == Index_.end() || Marks_[Found->second] == Mark::Done)
          continue;
        if (Marks_[Found->second] == Mark::Unvisited) {
          Marks_[Found->second] = Mark::OnPath;
          Path.emplace_back(Found->second, 0);
          continue;
        }
        std::string CyclePath;
        const auto CycleStart =
            std::ranges::find(Path, Found->second, &std::pair<std::size_t, std::size_t>::first);
        for (auto Entry = CycleStart; Entry != Path.end(); ++Entry)
          CyclePath += Services_[Entry->first].Name_ + " -> ";
        OnCycle(Dependent, Edge, CyclePath + Services_[Found->second].Name_);
      }
    }
  }

private:
  enum class Mark : std::uint8_t { Unvisited, OnPath, Done };
  const std::vector<Service> &Services_;
  std::map<std::string_view, std::size_t> Index_;
  std::vector<Mark> Marks_;
};

std::string coresText(std::int64_t Milli) {
  return Milli % 1000 == 0 ? std::to_string(Milli / 1000)
                           : json(static_cast<double>(Milli) / 1000).dump();
}

std::string joinNames(const std::vector<std::string> &Names) {
  std::string Result;
  for (const std::string &Name : Names)
    Result += (Result.empty() ? "" : " ") + Name;
  return "[" + Result + "]";
}

using Fields = std::vector<std::pair<std::string_view, std::string>>;

void addResources(Fields &Out, const core::Resources &Resources) {
  Out.emplace_back("cores", coresText(Resources.MilliCores_));
  Out.emplace_back("memory_mb", std::to_string(Resources.MemoryMb_));
  Out.emplace_back("accelerators", std::to_string(Resources.Accelerators_));
}

Fields fieldsOf(const Domain &Object) {
  return {{"region", Object.Region_}, {"weight", std::to_string(Object.Weight_)}};
}

Fields fieldsOf(const Team &Object) {
  Fields Out{{"share", std::to_string(Object.Share_)},
             {"slots", std::to_string(Object.Limit_.Slots_)}};
  addResources(Out, Object.Limit_.Resources_);
  return Out;
}

Fields fieldsOf(const Queue &Object) {
  return {{"pool", Object.Pool_},
          {"class", std::string(queueClassName(Object.Class_))},
          {"open", Object.Open_ ? "true" : "false"},
          {"teams", joinNames(Object.Teams_)}};
}

Fields fieldsOf(const Service &Object) {
  Fields Out{{"team", Object.Team_},
             {"domain", Object.Domain_.empty() ? "any" : Object.Domain_},
             {"replicas", std::to_string(Object.Replicas_)}};
  addResources(Out, Object.ReplicaResources_);
  Out.emplace_back("run", Object.Run_);
  Out.emplace_back("depends_on", joinNames(Object.DependsOn_));
  return Out;
}

template <typename T>
void diffList(std::string_view ObjectType, const std::vector<T> &Old, const std::vector<T> &New,
              std::vector<std::string> &Out) {
  std::map<std::string_view, const T *> OldByName;
  std::map<std::string_view, const T *> NewByName;
  for (const T &Element : Old)
    OldByName.emplace(Element.Name_, &Element);
  for (const T &Element : New)
    NewByName.emplace(Element.Name_, &Element);
  const std::string Prefix = std::string(ObjectType) + " ";
  for (const T &Element : Old)
    if (!NewByName.contains(Element.Name_))
      Out.push_back("- " + Prefix + Element.Name_);
  for (const T &Element : New) {
    const Fields NewFields = fieldsOf(Element);
    const auto Found = OldByName.find(Element.Name_);
    std::string Line;
    if (Found == OldByName.end()) {
      for (const auto &[Key, Value] : NewFields)
        Line += (Line.empty() ? "" : ", ") + std::string(Key) + " " + Value;
      Out.push_back("+ " + Prefix + Element.Name_ + ": " + Line);
      continue;
    }
    const Fields OldFields = fieldsOf(*Found->second);
    for (std::size_t I = 0; I < NewFields.size(); ++I)
      if (NewFields[I].second != OldFields[I].second)
        Line += (Line.empty() ? "" : ", ") + std::string(NewFields[I].first) + " " +
                OldFields[I].second + " -> " + NewFields[I].second;
    if (!Line.empty())
      Out.push_back("~ " + Prefix + Element.Name_ + ": " + Line);
  }
}

} // namespace

std::string_view queueClassName(QueueClass Class) {
  return QueueClassNames[static_cast<std::size_t>(Class)];
}

const Domain *Configuration::domain(std::string_view Name) const {
  return findByName(Domains_, Name);
}
const Team *Configuration::team(std::string_view Name) const { return findByName(Teams_, Name); }
const Queue *Configuration::queue(std::string_view Name) const { return findByName(Queues_, Name); }
const Service *Configuration::service(std::string_view Name) const {
  return findByName(Services_, Name);
}

bool allows(const Queue &Queue, std::string_view Team) {
  return Queue.Open_ || std::ranges::find(Queue.Teams_, Team) != Queue.Teams_.end();
}

ParsedConfiguration parse(std::string_view Text) {
  settings::Reader Reader(Text);
  const Node Root = Reader.root();
  ParsedConfiguration Parsed;
  Configuration &Out = Parsed.Configuration_;
  References Teams;
  References Domains;
  References Dependencies;
  std::vector<std::vector<Node>> DependencyNodes;
  std::vector<Node> ServiceNodes;

  Out.Fleet_ = readName(Root, "fleet");
  readList(Root, "domains", true, Out.Domains_, [&](const Node &Object) {
    return Domain{readName(Object, "name"), Object.string("region"),
                  Object.integer("weight", 0, MaxWeight, 1)};
  });
  if (Root.optional("domains").present() && Out.Domains_.empty())
    Root.optional("domains").fail(ErrorKind::OutOfRange, "expected at least one domain");
  readList(Root, "teams", true, Out.Teams_, [&](const Node &Object) {
    const Node LimitObject = Object.required("limit");
    return Team{
        readName(Object, "name"), Object.integer("share", 1, MaxWeight),
        Limit{LimitObject.integer("slots", 0, MaxAmount), readResources(LimitObject, true)}};
  });
  readList(Root, "queues", true, Out.Queues_, [&](const Node &Object) {
    Queue NewQueue;
    NewQueue.Name_ = readName(Object, "name");
    const std::string Class = Object.choice("class", QueueClassNames);
    NewQueue.Class_ = static_cast<QueueClass>(
        std::max<std::ptrdiff_t>(0, std::ranges::find(QueueClassNames, Class) -
                                        QueueClassNames.begin()) %
        3);
    NewQueue.Pool_ = Object.string("pool", "");
    if (Object.present() && Class == QueueClassNames[0] && NewQueue.Pool_.empty())
      Object.optional("pool").fail(ErrorKind::MissingField,
                                   "an interactive queue needs a pool of executors");
    NewQueue.Open_ = Object.boolean("open", false);
    for (const Node &TeamNode : Object.optional("teams").items()) {
      NewQueue.Teams_.push_back(TeamNode.asString());
      Teams.add(TeamNode, NewQueue.Teams_.back());
    }
    return NewQueue;
  });
  readList(Root, "services", false, Out.Services_, [&](const Node &Object) {
    Service NewService;
    NewService.Name_ = readName(Object, "name");
    NewService.Team_ = Object.string("team");
    Teams.add(Object.optional("team"), NewService.Team_);
    NewService.Domain_ = Object.string("domain", "");
    Domains.add(Object.optional("domain"), NewService.Domain_);
    NewService.Replicas_ = Object.integer("replicas", 0, MaxReplicas, 1);
    NewService.ReplicaResources_ = readResources(Object, true);
    NewService.Run_ = Object.string("run");
    DependencyNodes.emplace_back(Object.optional("depends_on").items());
    ServiceNodes.push_back(Object);
    for (const Node &DependencyNode : DependencyNodes.back()) {
      NewService.DependsOn_.push_back(DependencyNode.asString());
      Dependencies.add(DependencyNode, NewService.DependsOn_.back());
    }
    return NewService;
  });

  Domains.check(Out.Domains_, "domain", ErrorKind::OutOfRange);
  Teams.check(Out.Teams_, "team", ErrorKind::OutOfRange);
  Dependencies.check(Out.Services_, "service", ErrorKind::UnknownDependency);
  CycleSearch(Out.Services_)
      .run([&](std::size_t Dependent, std::size_t Edge, const std::string &Path) {
        DependencyNodes[Dependent][Edge].fail(ErrorKind::DependencyCycle, "cycle " + Path);
      });
  // Skipped after other errors: an invalid limit reads as 0, and every service would exceed it.
  const bool NoErrors = Reader.errorCount() == 0;
  for (std::size_t I = 0; NoErrors && I < Out.Services_.size(); ++I) {
    const Service &ParsedService = Out.Services_[I];
    const Team *OwningTeam = Out.team(ParsedService.Team_);
    if (OwningTeam != nullptr &&
        !core::fits(ParsedService.ReplicaResources_, OwningTeam->Limit_.Resources_))
      ServiceNodes[I].fail(ErrorKind::OutOfRange, "one replica needs more than the limit of team " +
                                                      quote(ParsedService.Team_));
  }
  Parsed.Errors_ = Reader.finish();
  return Parsed;
}

std::vector<std::size_t> startOrder(const Configuration &Config) {
  const std::vector<Service> &Services = Config.Services_;
  std::map<std::string_view, std::size_t> Index;
  for (std::size_t I = 0; I < Services.size(); ++I)
    Index.emplace(Services[I].Name_, I);
  std::vector<std::size_t> UnmetDependencies(Services.size(), 0);
  std::vector<std::vector<std::size_t>> Dependents(Services.size());
  for (std::size_t I = 0; I < Services.size(); ++I)
    for (const std::string &Name : Services[I].DependsOn_)
      if (const auto Found = Index.find(Name); Found != Index.end()) {
        ++UnmetDependencies[I];
        Dependents[Found->second].push_back(I);
      }
  std::map<std::string_view, std::size_t> Ready;
  for (std::size_t I = 0; I < Services.size(); ++I)
    if (UnmetDependencies[I] == 0)
      Ready.emplace(Services[I].Name_, I);
  std::vector<std::size_t> Order;
  while (!Ready.empty()) {
    const std::size_t Next = Ready.extract(Ready.begin()).mapped();
    Order.push_back(Next);
    for (const std::size_t Dependent : Dependents[Next])
      if (--UnmetDependencies[Dependent] == 0)
        Ready.emplace(Services[Dependent].Name_, Dependent);
  }
  return Order;
}

std::vector<std::string> diff(const Configuration &Old, const Configuration &New) {
  std::vector<std::string> Out;
  if (Old.Fleet_ != New.Fleet_)
    Out.push_back("~ fleet: " + Old.Fleet_ + " -> " + New.Fleet_);
  diffList("domain", Old.Domains_, New.Domains_, Out);
  diffList("team", Old.Teams_, New.Teams_, Out);
  diffList("queue", Old.Queues_, New.Queues_, Out);
  diffList("service", Old.Services_, New.Services_, Out);
  return Out;
}

std::optional<std::string> canonicalText(std::string_view Text) {
  try {
    return json::parse(Text).dump(2);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::optional<std::string> delta(std::string_view OldText, std::string_view NewText) {
  try {
    return json::diff(json::parse(OldText), json::parse(NewText)).dump();
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::optional<std::string> applyDelta(std::string_view Text, std::string_view Delta) {
  try {
    return json::parse(Text).patch(json::parse(Delta)).dump(2);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace masticdrift::config
