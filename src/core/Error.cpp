#include "masticdrift/core/Error.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace masticdrift::core {

namespace {

using enum ErrorKind;
constexpr RunState NotRun = RunState::NotRun;
constexpr RunState MayHaveRun = RunState::MayHaveRun;
constexpr RunState Ran = RunState::Ran;

constexpr std::array Table{
    ErrorInfo{MalformedJson, "MD-101", "malformed_json", 400, NotRun, false,
              "send one valid JSON document", "byte 17: expected ':'"},
    ErrorInfo{BodyTooLarge, "MD-102", "body_too_large", 413, NotRun, false,
              "send at most the documented body size", "body has 1200000 bytes, limit 1048576"},
    ErrorInfo{HeaderTooLarge, "MD-103", "header_too_large", 431, NotRun, false,
              "send at most the documented header size", "header field has 9000 bytes, limit 8192"},
    ErrorInfo{SlowSender, "MD-104", "slow_sender", 408, NotRun, true,
              "send the whole request within the read timeout",
              "request not complete after 5000 ms"},
    ErrorInfo{UnknownField, "MD-105", "unknown_field", 400, NotRun, false,
              "remove or correct the field", "/tasks/corse: unknown key, nearest is \"cores\""},
    ErrorInfo{WrongType, "MD-106", "wrong_type", 400, NotRun, false, "correct the value's type",
              "/tasks: expected a number, found a string"},
    ErrorInfo{OutOfRange, "MD-107", "out_of_range", 400, NotRun, false,
              "choose a value within the range", "/tasks: 0 is outside 1..10000"},
    ErrorInfo{UnknownPath, "MD-108", "unknown_path", 404, NotRun, false, "see the API reference",
              "no such path: /v1/queue"},
    ErrorInfo{MethodNotAllowed, "MD-109", "method_not_allowed", 405, NotRun, false,
              "see the API reference", "PATCH is not allowed here"},
    ErrorInfo{MissingField, "MD-110", "missing_field", 400, NotRun, false, "add the field",
              "/kind: required field is missing"},
    ErrorInfo{MalformedMessage, "MD-111", "malformed_message", 400, NotRun, false,
              "check that all daemons run compatible versions", "message kind 99 is unknown"},
    ErrorInfo{MissingKey, "MD-201", "missing_key", 401, NotRun, false,
              "send the team's key as a bearer token", "queue \"print\" needs a key"},
    ErrorInfo{UnknownKey, "MD-202", "unknown_key", 401, NotRun, false, "ask an operator for a key",
              "key is not known"},
    ErrorInfo{RevokedKey, "MD-203", "revoked_key", 401, NotRun, false,
              "ask an operator for a new key", "key k-17 was revoked"},
    ErrorInfo{KeyTeamMismatch, "MD-204", "key_team_mismatch", 403, NotRun, false,
              "use a queue of the key's team", "queue \"print\" is not open to team \"sindh\""},
    ErrorInfo{ConfigurationStale, "MD-205", "configuration_stale", 503, NotRun, true,
              "retry later or at another instance",
              "configuration last confirmed 6100 ms ago, limit 5000 ms"},
    ErrorInfo{UnknownQueue, "MD-301", "unknown_queue", 404, NotRun, false,
              "use a queue of the configuration", "queue \"prnt\" does not exist"},
    ErrorInfo{ImpossibleSize, "MD-302", "impossible_size", 422, NotRun, false,
              "ask for less per task", "a task needs 64 cores, the largest worker has 16"},
    ErrorInfo{UnknownJob, "MD-303", "unknown_job", 404, NotRun, false, "check the job id",
              "job \"lahore-a/sindh/42\" does not exist"},
    ErrorInfo{TeamLimit, "MD-304", "team_limit", 429, NotRun, true,
              "wait for the team's running work to end", "team \"sindh\" uses all of its 40 slots"},
    ErrorInfo{QueueFull, "MD-305", "queue_full", 429, NotRun, true, "retry after the hinted time",
              "team \"sindh\" has 200 requests waiting"},
    ErrorInfo{DeadlineExpired, "MD-306", "deadline_expired", 504, NotRun, true,
              "send a longer deadline", "deadline passed while the request was queued"},
    ErrorInfo{AlreadyFinished, "MD-307", "already_finished", 409, Ran, false,
              "read the job's outcome", "job \"lahore-a/sindh/42\" has finished"},
    ErrorInfo{NoUpstream, "MD-401", "no_upstream", 503, NotRun, true, "retry later",
              "no executor of \"reorder-desk\" is reachable"},
    ErrorInfo{UpstreamFailed, "MD-402", "upstream_failed", 502, Ran, false,
              "see the upstream's answer", "executor answered 500"},
    ErrorInfo{AnswerTruncated, "MD-403", "answer_truncated", 502, MayHaveRun, false,
              "check the outcome before sending again", "answer ended after 10 of 200 bytes"},
    ErrorInfo{OutcomeUnknown, "MD-404", "outcome_unknown", 504, MayHaveRun, false,
              "check the outcome before sending again", "no answer before the deadline"},
    ErrorInfo{RetryBudgetSpent, "MD-405", "retry_budget_spent", 503, MayHaveRun, true,
              "retry later", "retry budget is empty after 1 attempt"},
    ErrorInfo{UpstreamRefused, "MD-406", "upstream_refused", 503, NotRun, true, "retry later",
              "executor refused the request before running it"},
    ErrorInfo{StoreUnavailable, "MD-501", "store_unavailable", 503, NotRun, true, "retry later",
              "log service did not take the record"},
    ErrorInfo{AppendUnknown, "MD-502", "append_unknown", 504, MayHaveRun, true,
              "send again with the same request id",
              "log service did not answer; the record may have been taken"},
    ErrorInfo{RecordsExpired, "MD-503", "records_expired", 503, NotRun, false,
              "see the runbook on record gaps", "stream \"config\" starts at 900, needed 850"},
    ErrorInfo{VersionConflict, "MD-601", "version_conflict", 409, NotRun, true,
              "fetch the current version and submit again",
              "version 8 was submitted by \"amina\" first"},
    ErrorInfo{ConfigurationInvalid, "MD-602", "configuration_invalid", 422, NotRun, false,
              "correct the text", "/teams/0/share: expected a number"},
    ErrorInfo{DependencyCycle, "MD-603", "dependency_cycle", 422, NotRun, false, "break the cycle",
              "/services/2/depends_on/0: cycle a -> b -> a"},
    ErrorInfo{UnknownDependency, "MD-604", "unknown_dependency", 422, NotRun, false,
              "correct the name", "/services/2/depends_on/0: \"ledgr\" is unknown"},
    ErrorInfo{NotOwner, "MD-701", "not_owner", 503, NotRun, true, "retry",
              "lahore-a-2 does not own lahore-a"},
    ErrorInfo{LeaseLapsed, "MD-702", "lease_lapsed", 503, NotRun, true, "retry",
              "lease of lahore-a ended 120 ms ago"},
    ErrorInfo{PeerUnreachable, "MD-703", "peer_unreachable", 503, NotRun, true, "retry",
              "lahore-a-1 does not answer"},
    ErrorInfo{Stopping, "MD-704", "stopping", 503, NotRun, true, "retry at another instance",
              "the daemon is shutting down"},
    ErrorInfo{ForwardLimit, "MD-705", "forward_limit", 503, NotRun, true, "retry",
              "request was forwarded already"},
    ErrorInfo{SettingsInvalid, "MD-801", "settings_invalid", 500, NotRun, false,
              "correct the settings file", "/peer/port: 70000 is outside 0..65535"},
    ErrorInfo{Internal, "MD-901", "internal", 500, MayHaveRun, false, "report the request id",
              "unexpected state"},
};

class Category : public std::error_category {
public:
  const char *name() const noexcept override { return "masticdrift"; }
  std::string message(int Value) const override {
    return std::string(describe(static_cast<ErrorKind>(Value)).Name_);
  }
};

std::string_view runStateName(RunState State) {
  switch (State) {
  case RunState::NotRun:
    return "not_run";
  case RunState::MayHaveRun:
    return "may_have_run";
  case RunState::Ran:
    return "ran";
  }
  return "may_have_run";
}

} // namespace

const ErrorInfo &describe(ErrorKind Kind) {
  const auto *Found = std::ranges::find(Table, Kind, &ErrorInfo::Kind_);
  return Found == Table.end() ? Table.back() : *Found;
}

std::span<const ErrorInfo> errorTable() { return Table; }

const std::error_category &errorCategory() noexcept {
  static const Category Instance;
  return Instance;
}

std::error_code make_error_code(ErrorKind Kind) noexcept {
  return {static_cast<int>(Kind), errorCategory()};
}

ErrorKind kindOf(std::error_code Code) noexcept {
  if (!Code)
    return ErrorKind::None;
  if (Code.category() != errorCategory())
    return ErrorKind::Internal;
  return static_cast<ErrorKind>(Code.value());
}

std::string errorBody(ErrorKind Kind, std::string_view Message, std::string_view RequestId) {
  const ErrorInfo &Info = describe(Kind);
  nlohmann::ordered_json Body{{"id", Info.Id_},       {"name", Info.Name_},
                              {"message", Message},   {"ran", runStateName(Info.Ran_)},
                              {"retry", Info.Retry_}, {"hint", Info.Hint_}};
  if (!RequestId.empty())
    Body["request_id"] = RequestId;
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace masticdrift::core
