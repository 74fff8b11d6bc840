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

// Bounds keep the products of the allotment split within 63 bits: 10^10 times 10^5.
constexpr std::int64_t MaxWeight = 100'000;
constexpr std::int64_t MaxAmount = 10'000'000'000;
constexpr std::int64_t MaxReplicas = 100'000;
constexpr std::size_t MaxName = 63;
constexpr std::array<std::string_view, 3> Classes{"interactive", "batch", "urgent"};

template <typename T> const T *findByName(const std::vector<T> &In, std::string_view Name) {
  const auto Found = std::ranges::find(In, Name, &T::Name_);
  return Found == In.end() ? nullptr : &*Found;
}

std::string quote(std::string_view Text) { return "\"" + std::string(Text) + "\""; }

/// Names are parts of job ids, paths and stream names, so only lower-case letters, digits and
/// hyphens are allowed.
std::string readName(const Node &From, std::string_view Key) {
  const Node Value = From.required(Key);
  std::string Name = Value.asString();
  if (!Value.present() || Name.empty()) {
    if (Value.present())
      Value.fail(ErrorKind::OutOfRange, "must not be empty");
    return Name;
  }
  const bool Correct =
      Name.size() <= MaxName && Name.front() != '-' && std::ranges::all_of(Name, [](char C) {
        return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
      });
  if (!Correct)
    Value.fail(ErrorKind::OutOfRange, "expected at most " + std::to_string(MaxName) +
                                          " lower-case letters, digits and hyphens");
  return Name;
}

template <typename T> std::vector<std::string_view> namesOf(const std::vector<T> &In) {
  std::vector<std::string_view> Names;
  Names.reserve(In.size());
  for (const T &Each : In)
    Names.emplace_back(Each.Name_);
  return Names;
}

/// Positions of what has to be checked after all objects are known.
class References {
public:
  void add(Node At, std::string Name) { All_.emplace_back(std::move(At), std::move(Name)); }

  template <typename T>
  void check(const std::vector<T> &In, std::string_view What, ErrorKind Kind) const {
    const std::vector<std::string_view> Names = namesOf(In);
    const std::set<std::string_view> Known(Names.begin(), Names.end());
    for (const auto &[At, Name] : All_) {
      if (!At.present() || Name.empty() || Known.contains(Name))
        continue;
      const std::string_view Nearest = settings::nearestName(Name, Names);
      At.fail(Kind, quote(Name) + " is not a known " + std::string(What) +
                        (Nearest.empty() ? "" : ", nearest is " + quote(Nearest)));
    }
  }

private:
  std::vector<std::pair<Node, std::string>> All_;
};

core::Resources readResources(const Node &From, bool Required) {
  core::Resources Out;
  if (Required) {
    Out.MilliCores_ = From.milli("cores", 0, MaxAmount);
    Out.MemoryMb_ = From.integer("memory_mb", 0, MaxAmount);
  } else {
    Out.MilliCores_ = From.milli("cores", 0, MaxAmount, 0);
    Out.MemoryMb_ = From.integer("memory_mb", 0, MaxAmount, 0);
  }
  Out.Accelerators_ = From.integer("accelerators", 0, MaxAmount, 0);
  return Out;
}

/// Reads the elements of one list and reports names that appear twice.
template <typename T, typename Read>
void readList(const Node &Root, std::string_view Key, bool Required, std::vector<T> &Out,
              Read ReadOne) {
  const Node List = Root.optional(Key);
  if (Required)
    Root.required(Key);
  std::map<std::string, std::string> Seen;
  for (const Node &Each : List.items()) {
    Out.push_back(ReadOne(Each));
    const std::string &Name = Out.back().Name_;
    const auto [First, New] = Seen.emplace(Name, Each.pointer());
    if (!New && !Name.empty())
      Each.optional("name").fail(ErrorKind::OutOfRange,
                                 quote(Name) + " is already the name of " + First->second);
  }
}

/// Finds one cycle through the dependencies, starting with the first service of the text.
class CycleSearch {
public:
  explicit CycleSearch(const std::vector<Service> &Services) : Services_(Services) {
    for (std::size_t I = 0; I < Services.size(); ++I)
      Index_.emplace(Services[I].Name_, I);
    Marks_.resize(Services.size());
  }

  /// Reports every dependency that closes a cycle. Iterative, because a chain of dependencies can
  /// be as long as the text.
  template <typename Report> void run(Report OnCycle) {
    for (std::size_t Start = 0; Start < Services_.size(); ++Start) {
      if (Marks_[Start] != Mark::New)
        continue;
      std::vector<std::pair<std::size_t, std::size_t>> Path{{Start, 0}};
      Marks_[Start] = Mark::OnPath;
      while (!Path.empty()) {
        auto &[At, Next] = Path.back();
        if (Next == Services_[At].DependsOn_.size()) {
          Marks_[At] = Mark::Done;
          Path.pop_back();
          continue;
        }
        const std::size_t Edge = Next++;
        const std::size_t From = At;
        const auto Found = Index_.find(Services_[From].DependsOn_[Edge]);
        if (Found == Index_.end() || Marks_[Found->second] == Mark::Done)
          continue;
        if (Marks_[Found->second] == Mark::New) {
          Marks_[Found->second] = Mark::OnPath;
          Path.emplace_back(Found->second, 0);
          continue;
        }
        std::string Text;
        const auto Begin =
            std::ranges::find(Path, Found->second, &std::pair<std::size_t, std::size_t>::first);
        for (auto Step = Begin; Step != Path.end(); ++Step)
          Text += Services_[Step->first].Name_ + " -> ";
        OnCycle(From, Edge, Text + Services_[Found->second].Name_);
      }
    }
  }

private:
  enum class Mark : std::uint8_t { New, OnPath, Done };
  const std::vector<Service> &Services_;
  std::map<std::string_view, std::size_t> Index_;
  std::vector<Mark> Marks_;
};

std::string coresText(std::int64_t Milli) {
  return Milli % 1000 == 0 ? std::to_string(Milli / 1000)
                           : json(static_cast<double>(Milli) / 1000).dump();
}

std::string joined(const std::vector<std::string> &Names) {
  std::string Out;
  for (const std::string &Each : Names)
    Out += (Out.empty() ? "" : " ") + Each;
  return "[" + Out + "]";
}

using Fields = std::vector<std::pair<std::string_view, std::string>>;

void addResources(Fields &Out, const core::Resources &Of) {
  Out.emplace_back("cores", coresText(Of.MilliCores_));
  Out.emplace_back("memory_mb", std::to_string(Of.MemoryMb_));
  Out.emplace_back("accelerators", std::to_string(Of.Accelerators_));
}

Fields fieldsOf(const Domain &Of) {
  return {{"region", Of.Region_}, {"weight", std::to_string(Of.Weight_)}};
}

Fields fieldsOf(const Team &Of) {
  Fields Out{{"share", std::to_string(Of.Share_)}, {"slots", std::to_string(Of.Limit_.Slots_)}};
  addResources(Out, Of.Limit_.Resources_);
  return Out;
}

Fields fieldsOf(const Queue &Of) {
  return {{"pool", Of.Pool_},
          {"class", std::string(className(Of.Class_))},
          {"open", Of.Open_ ? "true" : "false"},
          {"teams", joined(Of.Teams_)}};
}

Fields fieldsOf(const Service &Of) {
  Fields Out{{"team", Of.Team_},
             {"domain", Of.Domain_.empty() ? "any" : Of.Domain_},
             {"replicas", std::to_string(Of.Replicas_)}};
  addResources(Out, Of.Each_);
  Out.emplace_back("run", Of.Run_);
  Out.emplace_back("depends_on", joined(Of.DependsOn_));
  return Out;
}

template <typename T>
void diffList(std::string_view What, const std::vector<T> &Old, const std::vector<T> &New,
              std::vector<std::string> &Out) {
  std::map<std::string_view, const T *> Before;
  std::map<std::string_view, const T *> After;
  for (const T &Each : Old)
    Before.emplace(Each.Name_, &Each);
  for (const T &Each : New)
    After.emplace(Each.Name_, &Each);
  const std::string Prefix = std::string(What) + " ";
  for (const T &Each : Old)
    if (!After.contains(Each.Name_))
      Out.push_back("- " + Prefix + Each.Name_);
  for (const T &Each : New) {
    const Fields Now = fieldsOf(Each);
    const auto Found = Before.find(Each.Name_);
    std::string Line;
    if (Found == Before.end()) {
      for (const auto &[Key, Value] : Now)
        Line += (Line.empty() ? "" : ", ") + std::string(Key) + " " + Value;
      Out.push_back("+ " + Prefix + Each.Name_ + ": " + Line);
      continue;
    }
    const Fields Then = fieldsOf(*Found->second);
    for (std::size_t I = 0; I < Now.size(); ++I)
      if (Now[I].second != Then[I].second)
        Line += (Line.empty() ? "" : ", ") + std::string(Now[I].first) + " " + Then[I].second +
                " -> " + Now[I].second;
    if (!Line.empty())
      Out.push_back("~ " + Prefix + Each.Name_ + ": " + Line);
  }
}

} // namespace

std::string_view className(QueueClass Class) { return Classes[static_cast<std::size_t>(Class)]; }

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
  readList(Root, "domains", true, Out.Domains_, [&](const Node &From) {
    return Domain{readName(From, "name"), From.string("region"),
                  From.integer("weight", 0, MaxWeight, 1)};
  });
  if (Root.optional("domains").present() && Out.Domains_.empty())
    Root.optional("domains").fail(ErrorKind::OutOfRange, "expected at least one domain");
  readList(Root, "teams", true, Out.Teams_, [&](const Node &From) {
    const Node Whole = From.required("limit");
    return Team{readName(From, "name"), From.integer("share", 1, MaxWeight),
                Limit{Whole.integer("slots", 0, MaxAmount), readResources(Whole, true)}};
  });
  readList(Root, "queues", true, Out.Queues_, [&](const Node &From) {
    Queue One;
    One.Name_ = readName(From, "name");
    const std::string Class = From.choice("class", Classes);
    One.Class_ = static_cast<QueueClass>(
        std::max<std::ptrdiff_t>(0, std::ranges::find(Classes, Class) - Classes.begin()) % 3);
    One.Pool_ = From.string("pool", "");
    if (From.present() && Class == Classes[0] && One.Pool_.empty())
      From.optional("pool").fail(ErrorKind::MissingField,
                                 "an interactive queue needs a pool of executors");
    One.Open_ = From.boolean("open", false);
    for (const Node &Each : From.optional("teams").items()) {
      One.Teams_.push_back(Each.asString());
      Teams.add(Each, One.Teams_.back());
    }
    return One;
  });
  readList(Root, "services", false, Out.Services_, [&](const Node &From) {
    Service One;
    One.Name_ = readName(From, "name");
    One.Team_ = From.string("team");
    Teams.add(From.optional("team"), One.Team_);
    One.Domain_ = From.string("domain", "");
    Domains.add(From.optional("domain"), One.Domain_);
    One.Replicas_ = From.integer("replicas", 0, MaxReplicas, 1);
    One.Each_ = readResources(From, true);
    One.Run_ = From.string("run");
    DependencyNodes.emplace_back(From.optional("depends_on").items());
    ServiceNodes.push_back(From);
    for (const Node &Each : DependencyNodes.back()) {
      One.DependsOn_.push_back(Each.asString());
      Dependencies.add(Each, One.DependsOn_.back());
    }
    return One;
  });

  Domains.check(Out.Domains_, "domain", ErrorKind::OutOfRange);
  Teams.check(Out.Teams_, "team", ErrorKind::OutOfRange);
  Dependencies.check(Out.Services_, "service", ErrorKind::UnknownDependency);
  CycleSearch(Out.Services_).run([&](std::size_t From, std::size_t Edge, const std::string &Path) {
    DependencyNodes[From][Edge].fail(ErrorKind::DependencyCycle, "cycle " + Path);
  });
  // Only on a correct text: a mistaken limit reads as 0 and would make every service too large.
  const bool Correct = Reader.mistakeCount() == 0;
  for (std::size_t I = 0; Correct && I < Out.Services_.size(); ++I) {
    const Service &One = Out.Services_[I];
    const Team *Owner = Out.team(One.Team_);
    if (Owner != nullptr && !core::fits(One.Each_, Owner->Limit_.Resources_))
      ServiceNodes[I].fail(ErrorKind::OutOfRange,
                           "one replica needs more than the limit of team " + quote(One.Team_));
  }
  Parsed.Mistakes_ = Reader.finish();
  return Parsed;
}

std::vector<std::size_t> startOrder(const Configuration &Of) {
  const std::vector<Service> &All = Of.Services_;
  std::map<std::string_view, std::size_t> Index;
  for (std::size_t I = 0; I < All.size(); ++I)
    Index.emplace(All[I].Name_, I);
  std::vector<std::size_t> Waiting(All.size(), 0);
  std::vector<std::vector<std::size_t>> Dependents(All.size());
  for (std::size_t I = 0; I < All.size(); ++I)
    for (const std::string &Name : All[I].DependsOn_)
      if (const auto Found = Index.find(Name); Found != Index.end()) {
        ++Waiting[I];
        Dependents[Found->second].push_back(I);
      }
  std::map<std::string_view, std::size_t> Ready;
  for (std::size_t I = 0; I < All.size(); ++I)
    if (Waiting[I] == 0)
      Ready.emplace(All[I].Name_, I);
  std::vector<std::size_t> Order;
  while (!Ready.empty()) {
    const std::size_t Next = Ready.extract(Ready.begin()).mapped();
    Order.push_back(Next);
    for (const std::size_t Each : Dependents[Next])
      if (--Waiting[Each] == 0)
        Ready.emplace(All[Each].Name_, Each);
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
