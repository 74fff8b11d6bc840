#include "masticdrift/legacy/WorkerClient.h"

#include "masticdrift/core/Metrics.h"

#include <cctype>
#include <cmath>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace masticdrift::legacy {

namespace {

using Json = nlohmann::json;

constexpr auto ReplaceInvalidUtf8 = Json::error_handler_t::replace;

/// Percent-encodes an id as one path segment, because job ids contain '/'.
std::string encodeSegment(std::string_view Id) {
  static constexpr std::string_view HexDigits = "0123456789ABCDEF";
  std::string Result;
  for (const char Character : Id) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (std::isalnum(Byte) != 0 || Character == '-' || Character == '_' || Character == '.' ||
        Character == '~') {
      Result += Character;
    } else {
      Result += '%';
      Result += HexDigits[Byte >> 4U];
      Result += HexDigits[Byte & 15U];
    }
  }
  return Result;
}

std::string makeUrl(std::string_view Address, std::string_view Path) {
  std::string Url = "http://";
  Url += Address;
  Url += Path;
  return Url;
}

void countBytes(const http::ClientResult &Result) {
  core::count("masticdrift_control_bytes_total", {{"link", "worker"}, {"direction", "out"}},
              static_cast<double>(Result.BytesOut_));
  core::count("masticdrift_control_bytes_total", {{"link", "worker"}, {"direction", "in"}},
              static_cast<double>(Result.BytesIn_));
}

/// Classifies a 409 response. Its body contains the accepted term when the command's term was
/// lower. Workers also return 409 for commands that are invalid in the task's state, without a
/// term in the body. A body that is not a JSON object counts as a stale term.
WorkerStatus classifyConflict(const std::string &Body) {
  const Json Document = Json::parse(Body, nullptr, false);
  return Document.is_object() && !Document.contains("term") ? WorkerStatus::Refused
                                                            : WorkerStatus::StaleTerm;
}

WorkerStatus toWorkerStatus(const http::ClientResult &Result) {
  if (Result.Transfer_ == http::Transfer::NotConnected)
    return WorkerStatus::NotConnected;
  if (Result.Transfer_ != http::Transfer::Complete)
    return WorkerStatus::NoAnswer;
  const int Status = Result.Answer_.Status_;
  if (Status >= 200 && Status < 300)
    return WorkerStatus::Done;
  switch (Status) {
  case 409:
    return classifyConflict(Result.Answer_.Body_);
  case 503:
    return WorkerStatus::Leaving;
  case 507:
    return WorkerStatus::NoRoom;
  default:
    break;
  }
  // Any other 5xx status is outside the published list and doesn't tell whether the command had an
  // effect.
  return Status >= 400 && Status < 500 ? WorkerStatus::Refused : WorkerStatus::NoAnswer;
}

/// \returns the number of cores as a JSON integer if possible, otherwise as a float.
Json coresToJson(std::int64_t MilliCores) {
  if (MilliCores % 1000 == 0)
    return MilliCores / 1000;
  return static_cast<double>(MilliCores) / 1000.0;
}

std::optional<WorkerTaskState> parseTaskState(std::string_view Name) {
  if (Name == "running")
    return WorkerTaskState::Running;
  if (Name == "finished")
    return WorkerTaskState::Finished;
  if (Name == "failed")
    return WorkerTaskState::Failed;
  if (Name == "stopped")
    return WorkerTaskState::Stopped;
  return std::nullopt;
}

std::int64_t readScaledNumber(const Json &Object, const char *Key, double Scale) {
  const auto Member = Object.find(Key);
  if (Member == Object.end() || !Member->is_number())
    return 0;
  const double Value = Member->get<double>() * Scale;
  return Value >= 0 && Value < 1e12 ? std::llround(Value) : 0;
}

std::optional<WorkerTask> parseTask(const Json &Object) {
  const auto State = parseTaskState(Object.at("state").get<std::string>());
  const Json &Attempt = Object.at("attempt");
  if (!State || !Attempt.is_number_unsigned())
    return std::nullopt;
  WorkerTask Task;
  Task.Id_ = Object.at("id").get<std::string>();
  Task.Attempt_ = Attempt.get<std::uint32_t>();
  Task.State_ = *State;
  const auto Exit = Object.find("exit");
  if (Exit != Object.end() && Exit->is_number_integer())
    Task.ExitCode_ = Exit->get<std::int32_t>();
  Task.Reason_ = Object.value("reason", std::string());
  return Task;
}

/// \returns the decoded response; std::nullopt when any part of it is malformed, because a task
/// that is missing from the list would be treated as one that never ran.
std::optional<LeaseAnswer> parseLeaseAnswer(const std::string &Body) {
  try {
    const Json Document = Json::parse(Body);
    LeaseAnswer Answer;
    const Json &Boot = Document.at("boot");
    Answer.Boot_ = Boot.is_string() ? Boot.get<std::string>() : Boot.dump();
    Answer.Term_ = Document.at("term").get<std::uint64_t>();
    for (const Json &Element : Document.at("tasks")) {
      auto Task = parseTask(Element);
      if (!Task)
        return std::nullopt;
      Answer.Tasks_.push_back(std::move(*Task));
    }
    Answer.Leaving_ = Document.value("leaving", false);
    const auto Usage = Document.find("usage");
    if (Usage != Document.end() && Usage->is_object())
      Answer.Usage_ = {readScaledNumber(*Usage, "cores", 1000.0),
                       readScaledNumber(*Usage, "memory_mb", 1.0),
                       readScaledNumber(*Usage, "accelerators", 1.0)};
    return Answer;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

/// \returns the higher term in the body of a rejection; 0 when it contains none.
std::uint64_t parseAcceptedTerm(const std::string &Body) {
  const Json Document = Json::parse(Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("term") || !Document["term"].is_number_unsigned())
    return 0;
  return Document["term"].get<std::uint64_t>();
}

void completeLease(const http::ClientResult &Result, const WorkerClient::LeaseCallback &Done) {
  const WorkerStatus Status = toWorkerStatus(Result);
  LeaseAnswer Answer;
  if (Status == WorkerStatus::StaleTerm)
    Answer.Term_ = parseAcceptedTerm(Result.Answer_.Body_);
  if (Status != WorkerStatus::Done)
    return Done(Status, std::move(Answer));
  auto ParsedLease = parseLeaseAnswer(Result.Answer_.Body_);
  if (!ParsedLease)
    return Done(WorkerStatus::NoAnswer, {});
  Done(WorkerStatus::Done, std::move(*ParsedLease));
}

} // namespace

WorkerClient::WorkerClient(http::Client &Http, std::chrono::milliseconds Timeout)
    : Http_(Http), Timeout_(Timeout) {}

void WorkerClient::lease(std::string_view Address, const LeaseRequest &Request,
                         LeaseCallback Done) {
  Json Acks = Json::array();
  for (const TaskAck &Ack : Request.Acks_)
    Acks.push_back({{"id", Ack.Id_}, {"attempt", Ack.Attempt_}});
  const Json Body{{"term", Request.Term_},
                  {"owner", Request.Owner_},
                  {"ttl_ms", Request.TtlMs_},
                  {"ack", std::move(Acks)}};
  http::ClientRequest HttpRequest;
  HttpRequest.Method_ = "PUT";
  HttpRequest.Url_ = makeUrl(Address, "/lease");
  HttpRequest.Body_ = Body.dump(-1, ' ', false, ReplaceInvalidUtf8);
  HttpRequest.Headers_ = {{"Content-Type", "application/json"}};
  HttpRequest.Timeout_ = Timeout_;
  Http_.send(std::move(HttpRequest), [Done = std::move(Done)](const http::ClientResult &Result) {
    countBytes(Result);
    completeLease(Result, Done);
  });
}

void WorkerClient::startTask(std::string_view Address, const StartRequest &Request, Callback Done) {
  const Json Body{{"term", Request.Term_},
                  {"boot", Request.Boot_},
                  {"attempt", Request.Attempt_},
                  {"cores", coresToJson(Request.Need_.MilliCores_)},
                  {"memory_mb", Request.Need_.MemoryMb_},
                  {"accelerators", Request.Need_.Accelerators_},
                  {"run_ms", Request.RunMs_},
                  {"command", Request.Command_},
                  {"fail", Request.Fail_}};
  http::ClientRequest HttpRequest;
  HttpRequest.Method_ = "PUT";
  HttpRequest.Url_ = makeUrl(Address, "/tasks/" + encodeSegment(Request.Id_));
  HttpRequest.Body_ = Body.dump(-1, ' ', false, ReplaceInvalidUtf8);
  HttpRequest.Headers_ = {{"Content-Type", "application/json"}};
  HttpRequest.Timeout_ = Timeout_;
  // libcurl resends a request when a reused connection closes before the first response byte.
  HttpRequest.FreshConnection_ = true;
  Http_.send(std::move(HttpRequest), [Done = std::move(Done)](const http::ClientResult &Result) {
    countBytes(Result);
    Done(toWorkerStatus(Result));
  });
}

void WorkerClient::stopTask(std::string_view Address, std::string_view Id, std::uint64_t Term,
                            Callback Done) {
  http::ClientRequest HttpRequest;
  HttpRequest.Method_ = "DELETE";
  HttpRequest.Url_ =
      makeUrl(Address, "/tasks/" + encodeSegment(Id) + "?term=" + std::to_string(Term));
  HttpRequest.Timeout_ = Timeout_;
  Http_.send(std::move(HttpRequest), [Done = std::move(Done)](const http::ClientResult &Result) {
    countBytes(Result);
    const bool IsUnknownTask =
        Result.Transfer_ == http::Transfer::Complete && Result.Answer_.Status_ == 404;
    Done(IsUnknownTask ? WorkerStatus::Done : toWorkerStatus(Result));
  });
}

void WorkerClient::checkpoint(std::string_view Address, std::string_view Id, std::uint64_t Term,
                              Callback Done) {
  postTaskCommand(Address, Id, "/checkpoint", Term, std::move(Done));
}

void WorkerClient::throttle(std::string_view Address, std::string_view Id, std::uint64_t Term,
                            Callback Done) {
  postTaskCommand(Address, Id, "/throttle", Term, std::move(Done));
}

void WorkerClient::postTaskCommand(std::string_view Address, std::string_view Id,
                                   std::string_view Command, std::uint64_t Term, Callback Done) {
  http::ClientRequest HttpRequest;
  HttpRequest.Method_ = "POST";
  HttpRequest.Url_ = makeUrl(Address, "/tasks/" + encodeSegment(Id) + std::string(Command) +
                                          "?term=" + std::to_string(Term));
  HttpRequest.Body_ = Json{{"term", Term}}.dump();
  HttpRequest.Headers_ = {{"Content-Type", "application/json"}};
  HttpRequest.Timeout_ = Timeout_;
  Http_.send(std::move(HttpRequest), [Done = std::move(Done)](const http::ClientResult &Result) {
    countBytes(Result);
    Done(toWorkerStatus(Result));
  });
}

} // namespace masticdrift::legacy
