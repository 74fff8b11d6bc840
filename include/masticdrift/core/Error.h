/// \file
/// The error kinds and the table that maps each kind to its answer.
#ifndef MASTICDRIFT_CORE_ERROR_H
#define MASTICDRIFT_CORE_ERROR_H

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace masticdrift::core {

/// The kinds of failure. The value of a kind is the number in its stable id ("MD-101").
enum class ErrorKind : int {
  None = 0,
  MalformedJson = 101,
  BodyTooLarge = 102,
  HeaderTooLarge = 103,
  SlowSender = 104,
  UnknownField = 105,
  WrongType = 106,
  OutOfRange = 107,
  UnknownPath = 108,
  MethodNotAllowed = 109,
  MissingField = 110,
  MalformedMessage = 111,
  MissingKey = 201,
  UnknownKey = 202,
  RevokedKey = 203,
  KeyTeamMismatch = 204,
  ConfigurationStale = 205,
  UnknownQueue = 301,
  ImpossibleSize = 302,
  UnknownJob = 303,
  TeamLimit = 304,
  QueueFull = 305,
  DeadlineExpired = 306,
  AlreadyFinished = 307,
  NoUpstream = 401,
  UpstreamFailed = 402,
  AnswerTruncated = 403,
  OutcomeUnknown = 404,
  RetryBudgetSpent = 405,
  UpstreamRefused = 406,
  StoreUnavailable = 501,
  AppendUnknown = 502,
  RecordsExpired = 503,
  VersionConflict = 601,
  ConfigurationInvalid = 602,
  DependencyCycle = 603,
  UnknownDependency = 604,
  NotOwner = 701,
  LeaseLapsed = 702,
  PeerUnreachable = 703,
  Stopping = 704,
  ForwardLimit = 705,
  SettingsInvalid = 801,
  Internal = 901,
};

/// Whether the requested work ran before the error.
enum class RunState { NotRun, MayHaveRun, Ran };

/// The answer that belongs to one error kind.
struct ErrorInfo {
  ErrorKind Kind_;
  std::string_view Id_;      ///< stable id, for example "MD-203"
  std::string_view Name_;    ///< stable name, for example "revoked_key"
  int HttpStatus_;           ///< status of the HTTP answer
  RunState Ran_;             ///< whether the work may have run
  bool Retry_;               ///< whether the same request can succeed later
  std::string_view Hint_;    ///< what the caller can do
  std::string_view Example_; ///< an example of the message
};

/// \returns the table row of \p Kind, or the row of Internal for an unknown value.
const ErrorInfo &describe(ErrorKind Kind);

/// \returns all rows, ordered by kind.
std::span<const ErrorInfo> errorTable();

/// \returns the category named "masticdrift" whose values are ErrorKind.
const std::error_category &errorCategory() noexcept;

/// Lets an ErrorKind convert to std::error_code; found by argument-dependent lookup.
std::error_code make_error_code(ErrorKind Kind) noexcept; // NOLINT(readability-identifier-naming)

/// \returns the kind of \p Code, Internal for a code of another category, or None for success.
ErrorKind kindOf(std::error_code Code) noexcept;

/// A failure: its kind and a human-readable message.
struct Failure {
  ErrorKind Kind_ = ErrorKind::None;
  std::string Message_;

  /// \returns true when there is a failure.
  explicit operator bool() const { return Kind_ != ErrorKind::None; }
};

/// Renders the JSON body of an HTTP error response.
///
/// \param Kind the kind of failure.
/// \param Message human-readable description of the failure.
/// \param RequestId the id of the request; left out of the body when empty.
/// \returns a JSON object with id, name, message, ran ("not_run", "may_have_run", "ran"), retry,
/// hint and, unless empty, request_id. Invalid UTF-8 is replaced.
std::string errorBody(ErrorKind Kind, std::string_view Message, std::string_view RequestId);

} // namespace masticdrift::core

template <> struct std::is_error_code_enum<masticdrift::core::ErrorKind> : std::true_type {};

#endif // MASTICDRIFT_CORE_ERROR_H
