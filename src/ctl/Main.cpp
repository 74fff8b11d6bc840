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
// The daemon answers a submission after the log has confirmed it, which takes seconds when the log
// is slow.
constexpr milliseconds WriteTimeout{15000};
constexpr milliseconds InForcePollInterval{200};

/// Values of the options of all commands.
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
  std::ifstream Stream(Name, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  if (Stream.is_open() && !Stream.bad())
    return Text;
  std::cerr << "masticdriftctl: cannot read " << Name << '\n';
  return std::nullopt;
}

/// Replaces a key given as "@FILE" by the first line of the file.
///
/// \returns false when the file cannot be read.
bool resolveKey(Target &Credentials) {
  if (!Credentials.Key_.starts_with('@'))
    return true;
  const auto Text = readFile(Credentials.Key_.substr(1));
  if (!Text)
    return false;
  Credentials.Key_ = Text->substr(0, Text->find_first_of("\r\n"));
  return true;
}

Exit printReply(const Answer &Reply, bool Json) {
  if (Reply.Exit_ == Exit::Ok)
    printBody(Reply.Response_.Body_, Json);
  return Reply.Exit_;
}

Exit fetchAndPrint(const Target &Server, const std::string &Path, bool Json) {
  return printReply(exchange(Server, "GET", Path, "", {}, ReadTimeout, false), Json);
}

/// Reads and checks a configuration file, and prints its mistakes to standard error.
///
/// \param Text receives the content of the file.
/// \param Code receives the exit code when the file cannot be read or has mistakes.
/// \returns the configuration, or std::nullopt when Code is set.
std::optional<config::ParsedConfiguration> loadConfiguration(const std::string &Name,
                                                             std::string &Text, Exit &Code) {
  auto Content = readFile(Name);
  if (!Content) {
    Code = Exit::Usage;
    return std::nullopt;
  }
  Text = std::move(*Content);
  auto Parsed = config::parse(Text);
  if (Parsed.Errors_.empty())
    return Parsed;
  for (const auto &Mistake : Parsed.Errors_)
    std::cerr << Name << ": " << core::describe(Mistake.Kind_).Id_ << ' ' << Mistake.text() << '\n';
  Code = Exit::Refused;
  return std::nullopt;
}

Exit configCheck(const Options &Values) {
  Exit Code = Exit::Ok;
  std::string Text;
  if (!Values.Json_) {
    const auto Parsed = loadConfiguration(Values.File_, Text, Code);
    if (Parsed)
      std::cout << Values.File_ << ": correct\n";
    return Code;
  }
  const auto Content = readFile(Values.File_);
  if (!Content)
    return Exit::Usage;
  const auto Parsed = config::parse(*Content);
  json Report{{"correct", Parsed.Errors_.empty()}, {"mistakes", json::array()}};
  for (const auto &Mistake : Parsed.Errors_)
    Report["mistakes"].push_back({{"id", core::describe(Mistake.Kind_).Id_},
                                  {"pointer", Mistake.Pointer_},
                                  {"message", Mistake.Message_}});
  std::cout << Report.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
  return Parsed.Errors_.empty() ? Exit::Ok : Exit::Refused;
}

Exit configDiff(const Options &Values) {
  Exit Code = Exit::Ok;
  std::string OldText;
  std::string NewText;
  const auto Old = loadConfiguration(Values.File_, OldText, Code);
  if (!Old)
    return Code;
  const auto New = loadConfiguration(Values.OtherFile_, NewText, Code);
  if (!New)
    return Code;
  const auto Lines = config::diff(Old->Configuration_, New->Configuration_);
  if (Values.Json_) {
    json Changes{{"changes", Lines}};
    Changes["delta"] = json::parse(config::delta(OldText, NewText).value_or("[]"));
    std::cout << Changes.dump() << '\n';
    return Exit::Ok;
  }
  for (const std::string &Line : Lines)
    std::cout << Line << '\n';
  return Exit::Ok;
}

Exit configShow(const Options &Values) {
  const Answer Reply = exchange(Values.Operator_, "GET", "/v1/config", "", {}, ReadTimeout, false);
  if (Reply.Exit_ != Exit::Ok || Values.Json_)
    return printReply(Reply, true);
  std::cout << memberText(Reply.Response_.Body_, "text") << '\n';
  std::cerr << "version " << memberText(Reply.Response_.Body_, "version") << '\n';
  return Exit::Ok;
}

/// Polls until the daemon reports the version in force at every instance or WaitMs_ has passed.
Exit waitInForce(const Options &Values, const std::string &Version) {
  const auto End = std::chrono::steady_clock::now() + milliseconds(Values.WaitMs_);
  std::string LastBody;
  do {
    const Answer Reply = exchange(Values.Operator_, "GET", "/v1/inforce?version=" + Version, "", {},
                                  ReadTimeout, false);
    if (Reply.Exit_ == Exit::Refused)
      return Reply.Exit_;
    if (Reply.Exit_ == Exit::Ok) {
      LastBody = Reply.Response_.Body_;
      if (memberText(LastBody, "all") == "true")
        return Exit::Ok;
    }
    std::this_thread::sleep_for(InForcePollInterval);
  } while (std::chrono::steady_clock::now() < End);
  std::cerr << "masticdriftctl: version " << Version << " is accepted, but not in force everywhere "
            << "after " << Values.WaitMs_ << " ms";
  const json Body = json::parse(LastBody, nullptr, false);
  if (Body.is_object() && Body.contains("instances") && Body["instances"].is_array())
    for (const json &Instance : Body["instances"])
      if (Instance.is_object() && !Instance.value("in_force", true))
        std::cerr << ", missing: " << memberText(Instance.dump(), "name");
  std::cerr << '\n';
  return Exit::Refused;
}

Exit configSubmit(Options &Values) {
  Exit Code = Exit::Ok;
  std::string Text;
  if (!loadConfiguration(Values.File_, Text, Code))
    return Code;
  if (Values.RequestId_.empty())
    Values.RequestId_ = randomId();
  const Answer Reply = exchange(Values.Operator_, "POST", "/v1/config", Text,
                                {{"Content-Type", "application/json"},
                                 {"Masticdrift-Base-Version", std::to_string(Values.BaseVersion_)},
                                 {"Masticdrift-Author", Values.Author_},
                                 {"Masticdrift-Request-Id", Values.RequestId_}},
                                WriteTimeout, true);
  if (Reply.Exit_ == Exit::Unknown)
    std::cerr << "masticdriftctl: repeat with --submission-id " << Values.RequestId_ << '\n';
  if (Reply.Exit_ != Exit::Ok)
    return Reply.Exit_;
  const std::string Version = memberText(Reply.Response_.Body_, "version");
  if (Values.Wait_)
    Code = waitInForce(Values, Version);
  printBody(Reply.Response_.Body_, Values.Json_);
  return Code;
}

Exit keyNew(const Options &Values) {
  const json Body{{"team", Values.Team_}, {"author", Values.Author_}};
  return printReply(exchange(Values.Operator_, "POST", "/v1/keys", Body.dump(),
                             {{"Content-Type", "application/json"}}, WriteTimeout, true),
                    Values.Json_);
}

Exit keyRevoke(const Options &Values) {
  return printReply(exchange(Values.Operator_, "DELETE", "/v1/keys/" + encodeSegment(Values.KeyId_),
                             "", {{"Masticdrift-Author", Values.Author_}}, WriteTimeout, true),
                    Values.Json_);
}

Exit auditTrail(const Options &Values) {
  std::string Query;
  const auto Add = [&](std::string_view Name, const std::string &Value) {
    if (!Value.empty())
      Query += (Query.empty() ? "?" : "&") + std::string(Name) + "=" + encodeSegment(Value);
  };
  Add("since", Values.Since_);
  Add("author", Values.AuditAuthor_);
  Add("object", Values.Object_);
  return fetchAndPrint(Values.Operator_, "/v1/audit" + Query, Values.Json_);
}

Exit jobSubmit(Options &Values) {
  const auto Text = readFile(Values.File_);
  if (!Text)
    return Exit::Usage;
  json Body = json::parse(*Text, nullptr, false);
  if (!Body.is_object()) {
    std::cerr << "masticdriftctl: " << Values.File_ << " is not a JSON object\n";
    return Exit::Usage;
  }
  // With a request id, a submission whose answer was lost can be repeated without a second job.
  if (!Values.RequestId_.empty())
    Body["request_id"] = Values.RequestId_;
  else if (!Body.contains("request_id"))
    Body["request_id"] = randomId();
  const std::string Id = memberText(Body.dump(), "request_id");
  const Answer Reply = exchange(
      Values.Caller_, "POST", "/v1/queues/" + encodeSegment(Values.Queue_) + "/jobs", Body.dump(),
      {{"Content-Type", "application/json"}, {"Masticdrift-Request-Id", Id}}, WriteTimeout, true);
  if (Reply.Exit_ == Exit::Unknown)
    std::cerr << "masticdriftctl: repeat with --request-id " << Id << '\n';
  return printReply(Reply, Values.Json_);
}

/// \returns the path of a job id "<domain>/<team>/<request id>", or std::nullopt when it is
/// malformed.
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

Exit jobRequest(const Options &Values, const std::string &Method) {
  const auto Path = jobPath(Values.JobId_);
  if (!Path)
    return Exit::Usage;
  const bool ChangesState = Method != "GET";
  return printReply(exchange(Values.Caller_, Method, *Path, "", {},
                             ChangesState ? WriteTimeout : ReadTimeout, ChangesState),
                    Values.Json_);
}

Exit sendRequest(Options &Values) {
  const auto Body = readFile(Values.File_);
  if (!Body)
    return Exit::Usage;
  if (Values.RequestId_.empty())
    Values.RequestId_ = randomId();
  // The daemon answers within the deadline; the added second covers the network round trip.
  const milliseconds Timeout = milliseconds(Values.DeadlineMs_) + milliseconds(1000);
  const Answer Reply = exchange(Values.Caller_, "POST",
                                "/v1/queues/" + encodeSegment(Values.Queue_) + "/requests", *Body,
                                {{"Masticdrift-Deadline-Ms", std::to_string(Values.DeadlineMs_)},
                                 {"Masticdrift-Idempotent", Values.Idempotent_ ? "true" : "false"},
                                 {"Masticdrift-Request-Id", Values.RequestId_}},
                                Timeout, true);
  if (Reply.Exit_ == Exit::Ok)
    std::cout << Reply.Response_.Body_ << std::flush;
  return Reply.Exit_;
}

/// Overwrites keys in the argument list, which every user of the machine can read.
///
/// \returns the overwritten keys.
std::vector<std::string> redactArguments(int Count, char **Arguments) {
  std::vector<std::string> Keys;
  const auto Redact = [&](char *Argument) {
    Keys.emplace_back(Argument);
    std::memset(Argument, 'x', std::strlen(Argument));
  };
  for (int I = 1; I < Count; ++I) {
    for (const std::string_view Name : {"--key", "--operator-key"}) {
      const std::string_view Text = Arguments[I];
      if (Text == Name && I + 1 < Count)
        Redact(Arguments[I + 1]);
      else if (Text.starts_with(std::string(Name) + "="))
        Redact(Arguments[I] + Name.size() + 1);
    }
  }
  return Keys;
}

/// \returns \p Text with the keys replaced by "***": CLI11 repeats unexpected arguments in its
/// messages.
std::string redactKeys(std::string Text, const std::vector<std::string> &Keys) {
  for (const std::string &Key : Keys)
    for (std::size_t Position = 0;
         !Key.empty() && (Position = Text.find(Key, Position)) != std::string::npos;)
      Text.replace(Position, Key.size(), "***");
  return Text;
}

class Commands {
public:
  explicit Commands(CLI::App &Root) : Root_(Root) {
    if (const char *User = std::getenv("USER"))
      Values_.Author_ = User;
    addConfig();
    addKeys();
    addJobs();
    addOperations();
  }

  Exit run() {
    if (!resolveKey(Values_.Operator_) || !resolveKey(Values_.Caller_))
      return Exit::Usage;
    return Action_ ? Action_() : Exit::Usage;
  }

private:
  CLI::App *command(CLI::App &Parent, std::string Name, std::string Help,
                    std::function<Exit()> Action) {
    CLI::App *NewCommand = Parent.add_subcommand(std::move(Name), std::move(Help));
    NewCommand->final_callback([this, Action = std::move(Action)] { Action_ = Action; });
    return NewCommand;
  }

  // Reads the environment without CLI11's envname(), which also runs for commands that were not
  // given and then overwrites the value that they share with the given command.
  static void targetOptions(CLI::App *Command, Target &Endpoint, std::string_view ServerVariable,
                            std::string_view KeyOption, std::string_view KeyVariable) {
    const auto ReadVariable = [](std::string_view Name) {
      const char *Value = std::getenv(std::string(Name).c_str());
      return std::string(Value == nullptr ? "" : Value);
    };
    Endpoint = {ReadVariable(ServerVariable), ReadVariable(KeyVariable)};
    Command
        ->add_option("--server", Endpoint.Server_,
                     "URL of the daemon's port, default $" + std::string(ServerVariable))
        ->required(Endpoint.Server_.empty());
    Command->add_option(std::string(KeyOption), Endpoint.Key_,
                        "key, or @FILE; default $" + std::string(KeyVariable) +
                            ", which is safer than an argument");
  }

  void operatorOptions(CLI::App *Command) {
    targetOptions(Command, Values_.Operator_, "MASTICDRIFT_OPERATOR_SERVER", "--operator-key",
                  "MASTICDRIFT_OPERATOR_KEY");
  }

  void callerOptions(CLI::App *Command) {
    targetOptions(Command, Values_.Caller_, "MASTICDRIFT_SERVER", "--key", "MASTICDRIFT_KEY");
  }

  void addJsonOption(CLI::App *Command) {
    Command->add_flag("--json", Values_.Json_, "print JSON");
  }

  void addAuthorOption(CLI::App *Command) {
    Command->add_option("--author", Values_.Author_, "name for the audit trail, default $USER");
  }

  void addConfig() {
    CLI::App *Group = Root_.add_subcommand("config", "the operators' configuration text");
    Group->require_subcommand(1);
    CLI::App *Check =
        command(*Group, "check", "check a text offline", [this] { return configCheck(Values_); });
    Check->add_option("file", Values_.File_, "configuration text, - for standard input")
        ->required();
    addJsonOption(Check);
    CLI::App *Diff = command(*Group, "diff", "compare two texts offline",
                             [this] { return configDiff(Values_); });
    Diff->add_option("old", Values_.File_, "configuration text")->required();
    Diff->add_option("new", Values_.OtherFile_, "configuration text")->required();
    addJsonOption(Diff);
    CLI::App *Submit =
        command(*Group, "submit", "submit a new version", [this] { return configSubmit(Values_); });
    Submit->add_option("file", Values_.File_, "configuration text, - for standard input")
        ->required();
    // Not read from the server: a text based on an older version would silently undo later changes.
    Submit
        ->add_option("--base-version", Values_.BaseVersion_,
                     "version the text builds on, 0 for none")
        ->required();
    Submit->add_option("--submission-id", Values_.RequestId_,
                       "id of this submission; a repeated id has no second effect");
    Submit->add_flag("--wait", Values_.Wait_, "wait until the version is in force everywhere");
    Submit->add_option("--wait-ms", Values_.WaitMs_, "longest wait")->capture_default_str();
    operatorOptions(Submit);
    addAuthorOption(Submit);
    addJsonOption(Submit);
    CLI::App *Show = command(*Group, "show", "print the version in force",
                             [this] { return configShow(Values_); });
    operatorOptions(Show);
    addJsonOption(Show);
    CLI::App *History = command(*Group, "history", "list accepted versions", [this] {
      return fetchAndPrint(Values_.Operator_, "/v1/config/history", Values_.Json_);
    });
    operatorOptions(History);
    addJsonOption(History);
  }

  void addKeys() {
    CLI::App *Group = Root_.add_subcommand("key", "keys of teams");
    Group->require_subcommand(1);
    CLI::App *New =
        command(*Group, "new", "grant a key; it is shown once", [this] { return keyNew(Values_); });
    New->add_option("team", Values_.Team_, "team")->required();
    operatorOptions(New);
    addAuthorOption(New);
    addJsonOption(New);
    CLI::App *Revoke =
        command(*Group, "revoke", "revoke a key", [this] { return keyRevoke(Values_); });
    Revoke->add_option("key_id", Values_.KeyId_, "id of the key, not the key itself")->required();
    operatorOptions(Revoke);
    addAuthorOption(Revoke);
    addJsonOption(Revoke);
    CLI::App *List = command(*Group, "list", "list keys", [this] {
      return fetchAndPrint(Values_.Operator_, "/v1/keys", Values_.Json_);
    });
    operatorOptions(List);
    addJsonOption(List);
  }

  void addJobs() {
    CLI::App *Group = Root_.add_subcommand("job", "durable work");
    Group->require_subcommand(1);
    CLI::App *Submit =
        command(*Group, "submit", "submit a job", [this] { return jobSubmit(Values_); });
    Submit->add_option("queue", Values_.Queue_, "queue")->required();
    Submit->add_option("file", Values_.File_, "job as JSON, - for standard input")->required();
    Submit->add_option("--request-id", Values_.RequestId_,
                       "id of this job; a repeated id has no second effect");
    callerOptions(Submit);
    addJsonOption(Submit);
    CLI::App *Status =
        command(*Group, "status", "show a job", [this] { return jobRequest(Values_, "GET"); });
    Status->add_option("job", Values_.JobId_, "DOMAIN/TEAM/REQUEST")->required();
    callerOptions(Status);
    addJsonOption(Status);
    CLI::App *Cancel =
        command(*Group, "cancel", "cancel a job", [this] { return jobRequest(Values_, "DELETE"); });
    Cancel->add_option("job", Values_.JobId_, "DOMAIN/TEAM/REQUEST")->required();
    callerOptions(Cancel);
    addJsonOption(Cancel);
    CLI::App *List = command(*Group, "list", "list the team's jobs", [this] {
      return fetchAndPrint(Values_.Caller_, "/v1/jobs", Values_.Json_);
    });
    callerOptions(List);
    addJsonOption(List);
  }

  void addOperations() {
    CLI::App *Request = command(Root_, "request", "send an interactive request",
                                [this] { return sendRequest(Values_); });
    Request->add_option("queue", Values_.Queue_, "queue")->required();
    Request->add_option("file", Values_.File_, "request body, - for standard input")->required();
    Request->add_option("--deadline-ms", Values_.DeadlineMs_, "deadline")->capture_default_str();
    Request->add_flag("--idempotent", Values_.Idempotent_, "the request may run more than once");
    Request->add_option("--request-id", Values_.RequestId_, "id for logs and answers");
    callerOptions(Request);
    CLI::App *Status = command(Root_, "status", "show the state of the addressed daemon", [this] {
      return fetchAndPrint(Values_.Operator_, "/v1/status", Values_.Json_);
    });
    operatorOptions(Status);
    addJsonOption(Status);
    CLI::App *Drain = command(Root_, "drain", "stop the addressed daemon gracefully", [this] {
      return printReply(exchange(Values_.Operator_, "POST", "/v1/drain", "",
                                 {{"Masticdrift-Author", Values_.Author_}}, WriteTimeout, true),
                        Values_.Json_);
    });
    operatorOptions(Drain);
    addAuthorOption(Drain);
    addJsonOption(Drain);
    CLI::App *Audit =
        command(Root_, "audit", "show the audit trail", [this] { return auditTrail(Values_); });
    Audit->add_option("--since", Values_.Since_, "milliseconds since the Unix epoch");
    Audit->add_option("--by", Values_.AuditAuthor_, "only entries of this author");
    Audit->add_option("--object", Values_.Object_, "only entries on this object");
    operatorOptions(Audit);
    addJsonOption(Audit);
    command(Root_, "completion", "print a bash completion script", [this] {
      std::cout << completionScript(Root_);
      return Exit::Ok;
    });
  }

  CLI::App &Root_;
  Options Values_;
  std::function<Exit()> Action_;
};

std::string exitCodeHelp() {
  std::string Text = "Exit codes:\n";
  for (const ExitRow &Row : ExitTable)
    Text += "  " + std::to_string(static_cast<int>(Row.Code_)) + "  " + std::string(Row.Meaning_) +
            "\n";
  return Text;
}

int run(int Count, char **Arguments) {
  CLI::App Root("Controls and uses a masticdrift cluster.", "masticdriftctl");
  Root.set_version_flag("--version", MASTICDRIFT_VERSION);
  Root.require_subcommand(1);
  Root.footer(exitCodeHelp());
  Commands CommandTree(Root);
  try {
    Root.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    const auto Keys = redactArguments(Count, Arguments);
    std::ostringstream Text;
    const int Code = Root.exit(Error, Text, Text);
    (Code == 0 ? std::cout : std::cerr) << redactKeys(Text.str(), Keys);
    return Code == 0 ? 0 : static_cast<int>(Exit::Usage);
  }
  redactArguments(Count, Arguments);
  return static_cast<int>(CommandTree.run());
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
