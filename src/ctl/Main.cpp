#include "Api.h"
#include "Completion.h"
#include "Print.h"

#include "masticdrift/config/Configuration.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

namespace masticdrift::ctl {

namespace {

using std::chrono::milliseconds;
using json = nlohmann::ordered_json;

constexpr milliseconds ReadTimeout{5000};
// A submission is answered after the log has confirmed it, which takes seconds when it is slow.
constexpr milliseconds WriteTimeout{15000};
constexpr milliseconds WaitPoll{200};

/// Values of all options.
struct Options {
  Target Operator_, Caller_;
  bool Json_ = false;
  std::string Author_;
  std::string File_, OtherFile_;
  std::uint64_t BaseVersion_ = 0;
  bool Wait_ = false;
  std::int64_t WaitMs_ = 30'000;
  std::string RequestId_;
  std::string Team_, KeyId_, Queue_, JobId_;
  std::string Since_, Object_, AuditAuthor_;
  std::int64_t DeadlineMs_ = 2000;
  bool Idempotent_ = false;
};

std::optional<std::string> readFile(const std::string &Name) {
  if (Name == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream In(Name, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  if (In.is_open() && !In.bad())
    return Text;
  std::cerr << "masticdriftctl: cannot read " << Name << '\n';
  return std::nullopt;
}

/// A key given as "@FILE" is read from the file.
bool resolveKey(Target &Of) {
  if (!Of.Key_.starts_with('@'))
    return true;
  const auto Text = readFile(Of.Key_.substr(1));
  if (!Text)
    return false;
  Of.Key_ = Text->substr(0, Text->find_first_of("\r\n"));
  return true;
}

Exit show(const Answer &From, bool Json) {
  if (From.Exit_ == Exit::Ok)
    printBody(From.Response_.Body_, Json);
  return From.Exit_;
}

Exit readFrom(const Target &To, const std::string &Path, bool Json) {
  return show(exchange(To, "GET", Path, "", {}, ReadTimeout, false), Json);
}

/// Reads and checks a configuration file and prints its mistakes.
std::optional<config::ParsedConfiguration> load(const std::string &Name, std::string &Text,
                                                Exit &Code) {
  auto Read = readFile(Name);
  if (!Read) {
    Code = Exit::Usage;
    return std::nullopt;
  }
  Text = std::move(*Read);
  auto Parsed = config::parse(Text);
  if (Parsed.Errors_.empty())
    return Parsed;
  for (const auto &Each : Parsed.Errors_)
    std::cerr << Name << ": " << core::describe(Each.Kind_).Id_ << ' ' << Each.text() << '\n';
  Code = Exit::Refused;
  return std::nullopt;
}

Exit configCheck(const Options &In) {
  Exit Code = Exit::Ok;
  std::string Text;
  if (!In.Json_) {
    const auto Parsed = load(In.File_, Text, Code);
    if (Parsed)
      std::cout << In.File_ << ": correct\n";
    return Code;
  }
  const auto Read = readFile(In.File_);
  if (!Read)
    return Exit::Usage;
  const auto Parsed = config::parse(*Read);
  json Out{{"correct", Parsed.Errors_.empty()}, {"mistakes", json::array()}};
  for (const auto &Each : Parsed.Errors_)
    Out["mistakes"].push_back({{"id", core::describe(Each.Kind_).Id_},
                               {"pointer", Each.Pointer_},
                               {"message", Each.Message_}});
  std::cout << Out.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
  return Parsed.Errors_.empty() ? Exit::Ok : Exit::Refused;
}

Exit configDiff(const Options &In) {
  Exit Code = Exit::Ok;
  std::string OldText;
  std::string NewText;
  const auto Old = load(In.File_, OldText, Code);
  if (!Old)
    return Code;
  const auto New = load(In.OtherFile_, NewText, Code);
  if (!New)
    return Code;
  const auto Lines = config::diff(Old->Configuration_, New->Configuration_);
  if (In.Json_) {
    json Out{{"changes", Lines}};
    Out["delta"] = json::parse(config::delta(OldText, NewText).value_or("[]"));
    std::cout << Out.dump() << '\n';
    return Exit::Ok;
  }
  for (const std::string &Line : Lines)
    std::cout << Line << '\n';
  return Exit::Ok;
}

Exit configShow(const Options &In) {
  const Answer From = exchange(In.Operator_, "GET", "/v1/config", "", {}, ReadTimeout, false);
  if (From.Exit_ != Exit::Ok || In.Json_)
    return show(From, true);
  std::cout << memberText(From.Response_.Body_, "text") << '\n';
  std::cerr << "version " << memberText(From.Response_.Body_, "version") << '\n';
  return Exit::Ok;
}

/// Asks until the daemon reports that every instance has the version in force.
Exit waitInForce(const Options &In, const std::string &Version) {
  const auto End = std::chrono::steady_clock::now() + milliseconds(In.WaitMs_);
  std::string Last;
  do {
    const Answer From =
        exchange(In.Operator_, "GET", "/v1/inforce?version=" + Version, "", {}, ReadTimeout, false);
    if (From.Exit_ == Exit::Refused)
      return From.Exit_;
    if (From.Exit_ == Exit::Ok) {
      Last = From.Response_.Body_;
      if (memberText(Last, "all") == "true")
        return Exit::Ok;
    }
    std::this_thread::sleep_for(WaitPoll);
  } while (std::chrono::steady_clock::now() < End);
  std::cerr << "masticdriftctl: version " << Version << " is accepted, but not in force everywhere "
            << "after " << In.WaitMs_ << " ms";
  const json Body = json::parse(Last, nullptr, false);
  if (Body.is_object() && Body.contains("instances") && Body["instances"].is_array())
    for (const json &Each : Body["instances"])
      if (Each.is_object() && !Each.value("in_force", true))
        std::cerr << ", missing: " << memberText(Each.dump(), "name");
  std::cerr << '\n';
  return Exit::Refused;
}

Exit configSubmit(Options &In) {
  Exit Code = Exit::Ok;
  std::string Text;
  if (!load(In.File_, Text, Code))
    return Code;
  if (In.RequestId_.empty())
    In.RequestId_ = randomId();
  const Answer From = exchange(In.Operator_, "POST", "/v1/config", Text,
                               {{"Content-Type", "application/json"},
                                {"Masticdrift-Base-Version", std::to_string(In.BaseVersion_)},
                                {"Masticdrift-Author", In.Author_},
                                {"Masticdrift-Request-Id", In.RequestId_}},
                               WriteTimeout, true);
  if (From.Exit_ == Exit::Unknown)
    std::cerr << "masticdriftctl: repeat with --submission-id " << In.RequestId_ << '\n';
  if (From.Exit_ != Exit::Ok)
    return From.Exit_;
  const std::string Version = memberText(From.Response_.Body_, "version");
  if (In.Wait_)
    Code = waitInForce(In, Version);
  printBody(From.Response_.Body_, In.Json_);
  return Code;
}

Exit keyNew(const Options &In) {
  const json Body{{"team", In.Team_}, {"author", In.Author_}};
  return show(exchange(In.Operator_, "POST", "/v1/keys", Body.dump(),
                       {{"Content-Type", "application/json"}}, WriteTimeout, true),
              In.Json_);
}

Exit keyRevoke(const Options &In) {
  return show(exchange(In.Operator_, "DELETE", "/v1/keys/" + encodeSegment(In.KeyId_), "",
                       {{"Masticdrift-Author", In.Author_}}, WriteTimeout, true),
              In.Json_);
}

Exit audit(const Options &In) {
  std::string Query;
  const auto Add = [&](std::string_view Name, const std::string &Value) {
    if (!Value.empty())
      Query += (Query.empty() ? "?" : "&") + std::string(Name) + "=" + encodeSegment(Value);
  };
  Add("since", In.Since_);
  Add("author", In.AuditAuthor_);
  Add("object", In.Object_);
  return readFrom(In.Operator_, "/v1/audit" + Query, In.Json_);
}

Exit jobSubmit(Options &In) {
  const auto Text = readFile(In.File_);
  if (!Text)
    return Exit::Usage;
  json Body = json::parse(*Text, nullptr, false);
  if (!Body.is_object()) {
    std::cerr << "masticdriftctl: " << In.File_ << " is not a JSON object\n";
    return Exit::Usage;
  }
  // With an id, a submission whose answer was lost can be repeated without a second job.
  if (!In.RequestId_.empty())
    Body["request_id"] = In.RequestId_;
  else if (!Body.contains("request_id"))
    Body["request_id"] = randomId();
  const std::string Id = memberText(Body.dump(), "request_id");
  const Answer From = exchange(
      In.Caller_, "POST", "/v1/queues/" + encodeSegment(In.Queue_) + "/jobs", Body.dump(),
      {{"Content-Type", "application/json"}, {"Masticdrift-Request-Id", Id}}, WriteTimeout, true);
  if (From.Exit_ == Exit::Unknown)
    std::cerr << "masticdriftctl: repeat with --request-id " << Id << '\n';
  return show(From, In.Json_);
}

/// \returns the path of a job id "<domain>/<team>/<request id>", or nothing when it is malformed.
std::optional<std::string> jobPath(const std::string &Id) {
  const std::size_t First = Id.find('/');
  const std::size_t Second = First == std::string::npos ? First : Id.find('/', First + 1);
  if (First == 0 || Second == std::string::npos || Second == First + 1 || Second + 1 == Id.size()) {
    std::cerr << "masticdriftctl: expected a job id DOMAIN/TEAM/REQUEST\n";
    return std::nullopt;
  }
  return "/v1/jobs/" + encodeSegment(Id.substr(0, First)) + "/" +
         encodeSegment(Id.substr(First + 1, Second - First - 1)) + "/" +
         encodeSegment(Id.substr(Second + 1));
}

Exit jobCall(const Options &In, const std::string &Method) {
  const auto Path = jobPath(In.JobId_);
  if (!Path)
    return Exit::Usage;
  const bool Writes = Method != "GET";
  return show(
      exchange(In.Caller_, Method, *Path, "", {}, Writes ? WriteTimeout : ReadTimeout, Writes),
      In.Json_);
}

Exit request(Options &In) {
  const auto Body = readFile(In.File_);
  if (!Body)
    return Exit::Usage;
  if (In.RequestId_.empty())
    In.RequestId_ = randomId();
  // The daemon answers within the deadline; the rest is for the way there and back.
  const milliseconds Timeout = milliseconds(In.DeadlineMs_) + milliseconds(1000);
  const Answer From =
      exchange(In.Caller_, "POST", "/v1/queues/" + encodeSegment(In.Queue_) + "/requests", *Body,
               {{"Masticdrift-Deadline-Ms", std::to_string(In.DeadlineMs_)},
                {"Masticdrift-Idempotent", In.Idempotent_ ? "true" : "false"},
                {"Masticdrift-Request-Id", In.RequestId_}},
               Timeout, true);
  if (From.Exit_ == Exit::Ok)
    std::cout << From.Response_.Body_ << std::flush;
  return From.Exit_;
}

/// Overwrites keys in the argument list, which every user of the machine can read.
///
/// \returns the keys.
std::vector<std::string> hideKeys(int Count, char **Arguments) {
  std::vector<std::string> Keys;
  const auto Hide = [&](char *From) {
    Keys.emplace_back(From);
    std::memset(From, 'x', std::strlen(From));
  };
  for (int I = 1; I < Count; ++I) {
    for (const std::string_view Name : {"--key", "--operator-key"}) {
      const std::string_view Text = Arguments[I];
      if (Text == Name && I + 1 < Count)
        Hide(Arguments[I + 1]);
      else if (Text.starts_with(std::string(Name) + "="))
        Hide(Arguments[I] + Name.size() + 1);
    }
  }
  return Keys;
}

/// \returns \p Text without the keys; messages about unexpected arguments repeat them.
std::string withoutKeys(std::string Text, const std::vector<std::string> &Keys) {
  for (const std::string &Key : Keys)
    for (std::size_t At = 0; !Key.empty() && (At = Text.find(Key, At)) != std::string::npos;)
      Text.replace(At, Key.size(), "***");
  return Text;
}

class Commands {
public:
  explicit Commands(CLI::App &Root) : Root_(Root) {
    if (const char *User = std::getenv("USER"))
      In_.Author_ = User;
    addConfig();
    addKeys();
    addJobs();
    addOthers();
  }

  Exit run() {
    if (!resolveKey(In_.Operator_) || !resolveKey(In_.Caller_))
      return Exit::Usage;
    return Action_ ? Action_() : Exit::Usage;
  }

private:
  CLI::App *command(CLI::App &Parent, std::string Name, std::string Help,
                    std::function<Exit()> Action) {
    CLI::App *Added = Parent.add_subcommand(std::move(Name), std::move(Help));
    Added->final_callback([this, Action = std::move(Action)] { Action_ = Action; });
    return Added;
  }

  // The environment is read here and not through CLI11's envname(), which also runs for commands
  // that were not given and then overwrites the shared value of the given one.
  static void targetOptions(CLI::App *To, Target &Into, std::string_view ServerVariable,
                            std::string_view KeyOption, std::string_view KeyVariable) {
    const auto Read = [](std::string_view Name) {
      const char *Value = std::getenv(std::string(Name).c_str());
      return std::string(Value == nullptr ? "" : Value);
    };
    Into = {Read(ServerVariable), Read(KeyVariable)};
    To->add_option("--server", Into.Server_,
                   "URL of the daemon's port, default $" + std::string(ServerVariable))
        ->required(Into.Server_.empty());
    To->add_option(std::string(KeyOption), Into.Key_,
                   "key, or @FILE; default $" + std::string(KeyVariable) +
                       ", which is safer than an argument");
  }

  void operatorOptions(CLI::App *To) {
    targetOptions(To, In_.Operator_, "MASTICDRIFT_OPERATOR_SERVER", "--operator-key",
                  "MASTICDRIFT_OPERATOR_KEY");
  }

  void callerOptions(CLI::App *To) {
    targetOptions(To, In_.Caller_, "MASTICDRIFT_SERVER", "--key", "MASTICDRIFT_KEY");
  }

  void jsonOption(CLI::App *To) { To->add_flag("--json", In_.Json_, "print JSON"); }

  void authorOption(CLI::App *To) {
    To->add_option("--author", In_.Author_, "name for the audit trail, default $USER");
  }

  void addConfig() {
    CLI::App *Group = Root_.add_subcommand("config", "the operators' configuration text");
    Group->require_subcommand(1);
    CLI::App *Check =
        command(*Group, "check", "check a text offline", [this] { return configCheck(In_); });
    Check->add_option("file", In_.File_, "configuration text, - for standard input")->required();
    jsonOption(Check);
    CLI::App *Diff =
        command(*Group, "diff", "compare two texts offline", [this] { return configDiff(In_); });
    Diff->add_option("old", In_.File_, "configuration text")->required();
    Diff->add_option("new", In_.OtherFile_, "configuration text")->required();
    jsonOption(Diff);
    CLI::App *Submit =
        command(*Group, "submit", "submit a new version", [this] { return configSubmit(In_); });
    Submit->add_option("file", In_.File_, "configuration text, - for standard input")->required();
    // Not filled in from the server: a change made on an old version would silently undo others.
    Submit->add_option("--base-version", In_.BaseVersion_, "version the text builds on, 0 for none")
        ->required();
    Submit->add_option("--submission-id", In_.RequestId_,
                       "id of this submission; a repeated id has no second effect");
    Submit->add_flag("--wait", In_.Wait_, "wait until the version is in force everywhere");
    Submit->add_option("--wait-ms", In_.WaitMs_, "longest wait")->capture_default_str();
    operatorOptions(Submit);
    authorOption(Submit);
    jsonOption(Submit);
    CLI::App *Show =
        command(*Group, "show", "print the version in force", [this] { return configShow(In_); });
    operatorOptions(Show);
    jsonOption(Show);
    CLI::App *History = command(*Group, "history", "list accepted versions", [this] {
      return readFrom(In_.Operator_, "/v1/config/history", In_.Json_);
    });
    operatorOptions(History);
    jsonOption(History);
  }

  void addKeys() {
    CLI::App *Group = Root_.add_subcommand("key", "keys of teams");
    Group->require_subcommand(1);
    CLI::App *New =
        command(*Group, "new", "grant a key; it is shown once", [this] { return keyNew(In_); });
    New->add_option("team", In_.Team_, "team")->required();
    operatorOptions(New);
    authorOption(New);
    jsonOption(New);
    CLI::App *Revoke = command(*Group, "revoke", "revoke a key", [this] { return keyRevoke(In_); });
    Revoke->add_option("key_id", In_.KeyId_, "id of the key, not the key itself")->required();
    operatorOptions(Revoke);
    authorOption(Revoke);
    jsonOption(Revoke);
    CLI::App *List = command(*Group, "list", "list keys",
                             [this] { return readFrom(In_.Operator_, "/v1/keys", In_.Json_); });
    operatorOptions(List);
    jsonOption(List);
  }

  void addJobs() {
    CLI::App *Group = Root_.add_subcommand("job", "durable work");
    Group->require_subcommand(1);
    CLI::App *Submit = command(*Group, "submit", "submit a job", [this] { return jobSubmit(In_); });
    Submit->add_option("queue", In_.Queue_, "queue")->required();
    Submit->add_option("file", In_.File_, "job as JSON, - for standard input")->required();
    Submit->add_option("--request-id", In_.RequestId_,
                       "id of this job; a repeated id has no second effect");
    callerOptions(Submit);
    jsonOption(Submit);
    CLI::App *Status =
        command(*Group, "status", "show a job", [this] { return jobCall(In_, "GET"); });
    Status->add_option("job", In_.JobId_, "DOMAIN/TEAM/REQUEST")->required();
    callerOptions(Status);
    jsonOption(Status);
    CLI::App *Cancel =
        command(*Group, "cancel", "cancel a job", [this] { return jobCall(In_, "DELETE"); });
    Cancel->add_option("job", In_.JobId_, "DOMAIN/TEAM/REQUEST")->required();
    callerOptions(Cancel);
    jsonOption(Cancel);
    CLI::App *List = command(*Group, "list", "list the team's jobs",
                             [this] { return readFrom(In_.Caller_, "/v1/jobs", In_.Json_); });
    callerOptions(List);
    jsonOption(List);
  }

  void addOthers() {
    CLI::App *Request =
        command(Root_, "request", "send an interactive request", [this] { return request(In_); });
    Request->add_option("queue", In_.Queue_, "queue")->required();
    Request->add_option("file", In_.File_, "request body, - for standard input")->required();
    Request->add_option("--deadline-ms", In_.DeadlineMs_, "deadline")->capture_default_str();
    Request->add_flag("--idempotent", In_.Idempotent_, "the request may run more than once");
    Request->add_option("--request-id", In_.RequestId_, "id for logs and answers");
    callerOptions(Request);
    CLI::App *Status = command(Root_, "status", "show the state of the addressed daemon",
                               [this] { return readFrom(In_.Operator_, "/v1/status", In_.Json_); });
    operatorOptions(Status);
    jsonOption(Status);
    CLI::App *Drain = command(Root_, "drain", "stop the addressed daemon gracefully", [this] {
      return show(exchange(In_.Operator_, "POST", "/v1/drain", "",
                           {{"Masticdrift-Author", In_.Author_}}, WriteTimeout, true),
                  In_.Json_);
    });
    operatorOptions(Drain);
    authorOption(Drain);
    jsonOption(Drain);
    CLI::App *Audit =
        command(Root_, "audit", "show the audit trail", [this] { return audit(In_); });
    Audit->add_option("--since", In_.Since_, "milliseconds since the Unix epoch");
    Audit->add_option("--by", In_.AuditAuthor_, "only entries of this author");
    Audit->add_option("--object", In_.Object_, "only entries on this object");
    operatorOptions(Audit);
    jsonOption(Audit);
    command(Root_, "completion", "print a bash completion script", [this] {
      std::cout << completionScript(Root_);
      return Exit::Ok;
    });
  }

  CLI::App &Root_;
  Options In_;
  std::function<Exit()> Action_;
};

std::string exitCodes() {
  std::string Out = "Exit codes:\n";
  for (const ExitRow &Row : ExitTable)
    Out += "  " + std::to_string(static_cast<int>(Row.Code_)) + "  " + std::string(Row.Meaning_) +
           "\n";
  return Out;
}

int run(int Count, char **Arguments) {
  CLI::App Root("Controls and uses a masticdrift cluster.", "masticdriftctl");
  Root.set_version_flag("--version", MASTICDRIFT_VERSION);
  Root.require_subcommand(1);
  Root.footer(exitCodes());
  Commands All(Root);
  try {
    Root.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    const auto Keys = hideKeys(Count, Arguments);
    std::ostringstream Text;
    const int Code = Root.exit(Error, Text, Text);
    (Code == 0 ? std::cout : std::cerr) << withoutKeys(Text.str(), Keys);
    return Code == 0 ? 0 : static_cast<int>(Exit::Usage);
  }
  hideKeys(Count, Arguments);
  return static_cast<int>(All.run());
}

} // namespace

} // namespace masticdrift::ctl

int main(int Count, char **Arguments) {
  try {
    return masticdrift::ctl::run(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "masticdriftctl: " << Error.what() << '\n';
    return static_cast<int>(masticdrift::ctl::Exit::Refused);
  }
}
